#ifndef MAGNOLIADOCK_WORKERS_H
#define MAGNOLIADOCK_WORKERS_H

#include "error.h"
#include "httpc.h"
#include "resource.h"

#include <stdbool.h>
#include <stdint.h>

/* NAME
     workers - client of the workers (docs/contracts/worker.md)

   The calls go through a table of function pointers, so that another transport
   can be added as one new file.  Arguments are copied.  The callback of each
   call is called exactly once, from the loop and within 2 s.  */

typedef struct workers workers_t;

/* A task to start.  */
typedef struct
{
  const char *task;
  int64_t generation;
  const char *job;
  const char *kind;
  resource_t size;
  const char *command;
  int64_t run_ms; /* declared run time, 0: unknown */
} workers_start_t;

typedef enum
{
  WORKERS_RUNNING,
  WORKERS_STALE, /* the worker refuses this generation of the task */
  WORKERS_NO_CAPACITY,
  WORKERS_WRONG_INCARNATION,
  WORKERS_FAILED
} workers_start_result_t;

typedef enum
{
  WORKERS_TASK_RUNNING,
  WORKERS_TASK_ENDED,
  WORKERS_TASK_FAILED,
  WORKERS_TASK_STOPPED
} workers_task_state_t;

typedef struct
{
  const char *task;
  int64_t generation;
} workers_task_id_t;

typedef struct
{
  const char *task;
  int64_t generation;
  workers_task_state_t state;
  int32_t exit;         /* exit status */
  int64_t cpu_millis;   /* used, -1: not reported */
  int64_t memory_mib;   /* used, -1: not reported */
  int64_t usage_age_ms; /* of the two above, INT64_MAX: not reported */
} workers_task_t;

typedef enum
{
  WORKERS_STOP_GRACEFUL,
  WORKERS_STOP_NOW,
  WORKERS_STOP_CHECKPOINT
} workers_stop_mode_t;

/* A task to stop.  */
typedef struct
{
  const char *task;
  int64_t generation;
  workers_stop_mode_t mode;
} workers_stop_t;

typedef enum
{
  WORKERS_STOP_STOPPED,  /* confirmed */
  WORKERS_STOP_ENDED,    /* confirmed: it had ended before */
  WORKERS_STOP_STOPPING, /* not confirmed: the task still runs */
  /* Confirmed: the worker does not have the task, and refuses this generation
     of it from now on.  */
  WORKERS_STOP_UNKNOWN
} workers_stop_result_t;

/* KIND of all callbacks: ERR_OK, ERR_CONNECT_FAILED (certainly not carried
   out), ERR_TIMEOUT (not known whether it was carried out: repeat, all calls
   are safe to repeat), ERR_NOT_FOUND, ERR_INTERNAL (answer not understood, so
   not known either).  RESULTS are in the order of the request and live until
   the callback returns.  */
typedef void (*workers_start_done_t) (void *context, err_kind_t kind,
                                      const workers_start_result_t *results,
                                      uint32_t count);
/* INCARNATION is the worker's current one; if the call was for another one,
   TASKS is empty and nothing of that incarnation runs any more.  */
typedef void (*workers_lease_done_t) (void *context, err_kind_t kind,
                                      int64_t incarnation,
                                      const workers_task_t *tasks,
                                      uint32_t count);
typedef void (*workers_stop_done_t) (void *context, err_kind_t kind,
                                     const workers_stop_result_t *results,
                                     uint32_t count);
typedef void (*workers_throttle_done_t) (void *context, err_kind_t kind);

typedef struct
{
  /* URL of all calls is that of the worker in the instance list.  The leases
     of the started tasks run out after LEASE_MS.  */
  void (*start) (workers_t *self, const char *url, int64_t incarnation,
                 int64_t lease_ms, const workers_start_t *starts,
                 uint32_t count, workers_start_done_t done, void *context);
  /* Renews the leases of all tasks of the worker, acknowledges the end of the
     tasks ACK and gets the state of all tasks.  */
  void (*lease) (workers_t *self, const char *url, int64_t incarnation,
                 int64_t lease_ms, const workers_task_id_t *ack,
                 uint32_t count, workers_lease_done_t done, void *context);
  void (*stop) (workers_t *self, const char *url, int64_t incarnation,
                const workers_stop_t *stops, uint32_t count,
                workers_stop_done_t done, void *context);
  void (*throttle) (workers_t *self, const char *url, const char *task,
                    int64_t generation, int64_t cpu_millis,
                    workers_throttle_done_t done, void *context);
} workers_ops_t;

struct workers
{
  const workers_ops_t *ops;
};

/* CLIENT is borrowed and must outlive the result.  */
workers_t *workers_http_new (httpc_t *client);
/* Cancels the calls in flight without calling their callbacks.  */
void workers_http_free (workers_t *workers);

/* The functions below interpret an answer; they are used by the calls above
   and tested on their own.  *DETAIL is set to a static text that names what is
   wrong with the answer, or to NULL.  */

/* Fill RESULTS[COUNT] in the order of TASKS, the names in the request.  An
   answer that lacks one of them is not understood.  */
err_kind_t workers_http_parse_start (const httpc_result_t *result,
                                     const char *const *tasks, uint32_t count,
                                     workers_start_result_t *results,
                                     const char **detail);
err_kind_t workers_http_parse_stop (const httpc_result_t *result,
                                    const char *const *tasks, uint32_t count,
                                    workers_stop_result_t *results,
                                    const char **detail);
/* Sets *TASKS to an array of *COUNT tasks (free with g_free) whose strings
   live as long as *ANSWER, which the caller releases with json_decref.  */
err_kind_t workers_http_parse_lease (const httpc_result_t *result,
                                     int64_t *incarnation,
                                     workers_task_t **tasks, uint32_t *count,
                                     void **answer, const char **detail);

#endif
