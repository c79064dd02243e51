#ifndef MAGNOLIADOCK_FAKE_WORKER_H
#define MAGNOLIADOCK_FAKE_WORKER_H

#include "fake_cluster.h"

/* NAME
     fake_worker - the workers of a fake_cluster, and the messages to them and
     to the table service  */

typedef enum
{
  MESSAGE_READ,
  MESSAGE_SCAN,
  MESSAGE_TXN,
  MESSAGE_START, /* this and all below go to workers */
  MESSAGE_LEASE,
  MESSAGE_STOP
} message_kind_t;

typedef struct
{
  message_kind_t kind;
  uint32_t entry;
  int64_t entry_incarnation;
  uint64_t tag;
  int64_t effect_ms; /* when it takes effect, -1: it has or never will */
  int64_t reply_ms;  /* when the sender gets the reply, -1: it has got it */
  int64_t second_effect_ms; /* when it takes effect a second time, -1: never */
  bool timed_out;           /* the sender gets ERR_TIMEOUT as the reply */
  /* Request.  */
  GPtrArray *keys;
  GArray *checks, *writes; /* sched_row_t with own keys and values */
  uint32_t worker;
  int64_t incarnation; /* of WORKER, as the sender knows it */
  int64_t lease_ms;
  int64_t reply_incarnation; /* part of the reply: of WORKER */
  GArray *items; /* fake_item_t: tasks to start, stop or acknowledge */
  /* Reply.  */
  err_kind_t result;
  GArray *rows; /* sched_row_t with own keys and values */
  GArray *versions;
  GArray *result_codes; /* uint32_t: start_result_t or stop_result_t of each
                           item */
  GArray *reports;      /* sched_task_report_t with own names */
} fake_message_t;

typedef struct
{
  char *task;
  uint32_t generation;
  stop_mode_t mode;
  resource_t size;
  job_kind_t kind;
  int64_t run_ms;
  bool fails;
} fake_item_t;

static inline int64_t
fake_cluster_now (const fake_cluster_t *cluster)
{
  return clk_to_ms (cluster->clock.now);
}

/* Counts a violation of a guarantee.  WHAT and DETAIL, for example the name of
   the task, are its description.  */
void fake_cluster_violation (fake_cluster_t *cluster, const char *what,
                             const char *detail);

/* Keeps GENERATION of task NAME and all lower ones from ever starting on
   WORKER again.  */
void fake_worker_bar (fake_worker_t *worker, const char *name,
                      uint32_t generation);

/* Apply one item of a start or stop message, or a whole lease message.  A
   start checks all guarantees about the task.  */
start_result_t fake_worker_start (fake_cluster_t *cluster,
                                  fake_worker_t *worker,
                                  const fake_message_t *message,
                                  const fake_item_t *item);
stop_result_t fake_worker_stop (fake_cluster_t *cluster, fake_worker_t *worker,
                                const fake_item_t *item);
void fake_worker_lease (fake_cluster_t *cluster, fake_worker_t *worker,
                        fake_message_t *message);

#endif
