#ifndef MAGNOLIADOCK_PLATFORM_API_H
#define MAGNOLIADOCK_PLATFORM_API_H

#include "cell.h"
#include "queues.h"
#include "work.h"

#include <ev.h>

/* NAME
     platform_api - interface of the platform that a node runs on

   The calls go through a table of function pointers, so that a test or another
   platform only supplies another table.  Every DONE is called once, from the
   loop, never from inside the call; its arguments live until it returns.
   Arguments of calls are copied.  */

typedef struct platform_api platform_api_t;

/* A row of the store.  PART names the partition, which may hold rows of
   several tables.  Keys are unique within TABLE and PART.  */
typedef struct
{
  const char *table;
  const char *part;
  const char *key;
  uint64_t version;  /* 0: absent */
  const char *value; /* NULL: absent, or to be removed */
  size_t length;
} store_row_t;

/* Nodes pass these numbers to one another.  */
typedef enum
{
  STORE_OK,
  STORE_CONFLICT,     /* a row does not have the expected version */
  STORE_REFUSED,      /* not applied */
  STORE_BUSY,         /* not applied: rate limit exceeded */
  STORE_HISTORY_LOST, /* the store no longer has the requested changes */
  STORE_UNKNOWN,      /* no answer: may be applied, also later */
  STORE_INVALID,      /* not applied; refused again whenever it is sent */
  STORE_FULL          /* not applied: the store has no room */
} store_result_t;

typedef struct
{
  store_result_t result;
  uint64_t version; /* of the transaction, or the latest one of the store */
  const store_row_t *rows;
  uint32_t count;
  bool more; /* further rows follow the last one */
} store_reply_t;

typedef void (*store_reply_done_t) (void *context, const store_reply_t *reply);

/* CLOCK_MS: the worker's clock, 0: not reported.  */
typedef void (*order_done_t) (void *context, order_result_t result,
                              int64_t clock_ms);

/* REPORT is NULL unless RESULT is ORDER_ACCEPTED.  */
typedef void (*poll_done_t) (void *context, order_result_t result,
                             worker_report_t *report);

/* ROWS: the workers that may run the step, of those that the call named.
   VALID_MS: validity of their tickets from now.  OK is false if no answer
   came.  */
typedef void (*advice_done_t) (void *context, bool ok,
                               const advice_row_t *rows, uint32_t count,
                               int64_t valid_ms);

/* A worker that an order goes to.  */
typedef struct
{
  const char *id;
  const char *address;
  uint64_t token; /* fencing token of the owner */
} order_target_t;

/* A request of a caller, answered exactly once through one of the answer
   functions.  */
typedef struct caller_request caller_request_t;

/* Handlers of callers' requests.  ID points into the request.  */
typedef struct
{
  /* Returns the queue of a request to PATH at HOST and sets *REST to what
     follows its prefix, or NULL after it has answered REQUEST.  The queue
     lives until the handler of REQUEST returns.  */
  const queue_t *(*route) (void *context, caller_request_t *request,
                           const char *host, const char *path,
                           const char **rest);
  /* Takes ownership of JOB.  WAIT_MS: how long the caller waits, 0: not given.
   */
  void (*submit) (void *context, caller_request_t *request,
                  const queue_t *queue, work_job_t *job, int64_t wait_ms);
  void (*state) (void *context, caller_request_t *request,
                 const queue_t *queue, const char *id);
  void (*cancel) (void *context, caller_request_t *request,
                  const queue_t *queue, const char *id);
  void (*pending) (void *context, caller_request_t *request,
                   const queue_t *queue);
} caller_request_handlers_t;

typedef struct
{
  /* Store.  All rows of a transaction have the same PART; their tables may
     differ.  */
  void (*commit) (platform_api_t *api, const store_row_t *expect,
                  uint32_t expect_count, const store_row_t *writes,
                  uint32_t write_count, int64_t timeout_ms,
                  store_reply_done_t done, void *context);
  /* Rows with FROM <= key < TO in key order; NULL: no bound.  */
  void (*read) (platform_api_t *api, const char *table, const char *part,
                const char *from, const char *to, int64_t timeout_ms,
                store_reply_done_t done, void *context);
  /* The parts of a table: the keys of the rows in the reply, in order, from
     the one behind AFTER on; NULL: from the first one.  */
  void (*parts) (platform_api_t *api, const char *table, const char *after,
                 int64_t timeout_ms, store_reply_done_t done, void *context);
  /* Changes after version AFTER; waits up to WAIT_MS for one.  */
  void (*follow) (platform_api_t *api, const char *table, uint64_t after,
                  int64_t wait_ms, int64_t timeout_ms, store_reply_done_t done,
                  void *context);

  /* Workers.  */
  void (*start) (platform_api_t *api, const order_target_t *target,
                 const cell_start_order_t *order, int64_t timeout_ms,
                 order_done_t done, void *context);
  void (*stop) (platform_api_t *api, const order_target_t *target,
                const char *task, uint32_t run, int64_t timeout_ms,
                order_done_t done, void *context);
  /* Sets the speed of a run to PERCENT of its full speed.  */
  void (*pace) (platform_api_t *api, const order_target_t *target,
                const char *task, uint32_t run, uint32_t percent,
                int64_t timeout_ms, order_done_t done, void *context);
  /* See the action poll of cell_actions_t.  */
  void (*poll) (platform_api_t *api, const order_target_t *target,
                int64_t lease_until_ms, uint64_t acknowledged_end,
                int64_t wait_ms, int64_t timeout_ms, poll_done_t done,
                void *context);

  /* Asks the advice service which of WORKERS may run STEP.  */
  void (*advise) (platform_api_t *api, const char *step,
                  const char *const *workers, uint32_t count,
                  int64_t timeout_ms, advice_done_t done, void *context);

  /* Table of the workers' list; table of the operators' rows, and key of the
     configuration in it.  */
  const char *(*workers_table) (platform_api_t *api);
  const char *(*operator_table) (platform_api_t *api);
  const char *(*config_key) (platform_api_t *api);

  /* Parses the configuration.  NULL with ERROR if it is invalid.  */
  queue_table_t *(*parse_config) (platform_api_t *api, const char *value,
                                  size_t length, GError **error);
  /* Calls ON_WORKER once with the worker that a row describes.  Returns false
     if the row is invalid or the worker is neither ready nor draining.  */
  bool (*parse_worker) (platform_api_t *api, const char *key,
                        const char *value, size_t length,
                        void (*on_worker) (void *context,
                                           const worker_row_t *row),
                        void *context);

  /* Answers to callers.  */
  void (*answer_accepted) (caller_request_t *request);
  void (*answer_state) (caller_request_t *request, const char *state);
  void (*answer_pending) (caller_request_t *request, uint32_t pending);
  void (*answer_cancelled) (caller_request_t *request);
  void (*answer_no_job) (caller_request_t *request);
  /* RETRY_MS: delay after which the caller may retry; 0: not given.  */
  void (*answer_error) (caller_request_t *request, err_kind_t kind,
                        int64_t retry_ms);

  /* Serves callers' requests and the readiness check.  */
  bool (*serve) (platform_api_t *api,
                 const caller_request_handlers_t *handlers, void *context,
                 GError **error);
  void (*set_ready) (platform_api_t *api, bool ready);
  /* Whether connections are closed with their next answer.  */
  void (*end_connections) (platform_api_t *api, bool end);
  uint32_t (*open_requests) (const platform_api_t *api);
  /* Reads the settings again.  */
  void (*reload) (platform_api_t *api);
} platform_api_ops_t;

/* Settings of this node.  */
typedef struct
{
  char *name;
  char *zone;
  char *ip;
  uint16_t peer_port;      /* for other nodes and for metrics */
  int64_t stop_limit_ms;   /* from the signal to the process's exit */
  int64_t cpu_millis;      /* thousandths of a core that this node may use */
  int64_t config_apply_ms; /* from the store's acknowledgement of a version of
                              the configuration until it is in force */
  int64_t rollback_slack_ms; /* from the first effect of a version until no
                                request is decided by an older one */
  cell_options_t cells;
} platform_api_settings_t;

struct platform_api
{
  const platform_api_ops_t *ops;
  platform_api_settings_t settings;
};

#endif
