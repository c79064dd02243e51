#ifndef MAGNOLIADOCK_FAKE_CLUSTER_H
#define MAGNOLIADOCK_FAKE_CLUSTER_H

#include "fake_store.h"

/* NAME
     fake_cluster - simulated zone on a fake clock: entries, each with a
     sched_t, and the workers and the store that they share

   Every message is delivered after a random delay.  It may be lost before or
   after it takes effect, be delivered twice, or take effect after its sender
   was told that it timed out.  Each start of a task checks that the task runs
   nowhere else, that the worker is within its capacity, that the start is
   committed, that the task has not ended, and that its job is neither refused
   nor cancelled.  */

#define CLUSTER_MAX_ENTRIES 4
#define CLUSTER_MAX_WORKERS 16

typedef struct fake_cluster fake_cluster_t;

typedef struct
{
  uint32_t request_lost_percent; /* of requests, before they take effect */
  uint32_t reply_lost_percent;   /* of replies, after the effect */
  uint32_t late_percent;         /* take effect after the sender's timeout */
  uint32_t duplicate_percent;    /* of messages to workers */
  int64_t max_delay_ms;          /* maximum, each way */
} fake_faults_t;

typedef struct
{
  bool up, paused;
  sched_t *sched;
  fake_cluster_t *cluster;
  uint32_t index; /* in the entries of CLUSTER */
  int64_t incarnation;
  counter_registry_t *registry;
} fake_entry_t;

typedef struct
{
  char *name;
  uint32_t generation;
  report_state_t state;
  resource_t size;
  int64_t end_ms;       /* INT64_MAX: runs until it is stopped */
  int64_t lease_end_ms; /* when the lease ends */
  int64_t stop_at_ms;   /* when it stops; INT64_MAX: no stop requested */
  bool fails;
} fake_task_t;

typedef struct
{
  char id[16];
  char rack[16];
  resource_t capacity;
  int64_t incarnation;
  sched_instance_state_t listed_state;
  bool
      partitioned; /* no message arrives; its tasks run until the lease ends */
  bool fails;      /* every task that it starts fails */
  int64_t crash_at_ms; /* it restarts then; 0: it does not */
  GArray *tasks;       /* fake_task_t */
  GHashTable *barred;  /* task name -> highest generation that must not
                          run again */
} fake_worker_t;

struct fake_cluster
{
  clk_fake_t clock;
  fake_store_t store;
  fake_entry_t entries[CLUSTER_MAX_ENTRIES];
  uint32_t entry_count;
  fake_worker_t workers[CLUSTER_MAX_WORKERS];
  uint32_t worker_count;
  GQueue messages; /* fake_message_t, in the order of sending */
  GRand *random;
  fake_faults_t faults;
  bool store_down;
  GHashTable *answers;     /* token -> err_kind_t + 1 */
  GHashTable *submissions; /* set of their tokens */
  GHashTable *refused;     /* job id -> reason of the refused submission */
  GHashTable *ended;       /* set of task names that ended successfully */
  bool fail_next_task;
  const char *deadly_task; /* name; its worker restarts DEADLY_AFTER_MS after
                              it has started it; NULL: none */
  int64_t deadly_after_ms;
  uint32_t deadly_crashes;
  uint32_t violations;       /* number found */
  char first_violation[200]; /* description of the first one */
  uint64_t worker_starts;
  int64_t orphan_count; /* sum of task_orphans_total of the crashed entries */
};

fake_cluster_t *fake_cluster_new (uint32_t entries, uint32_t workers,
                                  resource_t capacity, uint32_t seed);
void fake_cluster_free (fake_cluster_t *cluster);

/* Advances the clock by MS in steps of 10 ms; at each step runs the workers
   and delivers the messages that are due.  Ticks each entry at every fifth
   step.  */
void fake_cluster_run (fake_cluster_t *cluster, int64_t ms);

void fake_cluster_entry_start (fake_cluster_t *cluster, uint32_t entry);
void fake_cluster_entry_crash (fake_cluster_t *cluster, uint32_t entry);
/* Lists WORKER as gone and cuts it off from all messages; its tasks run on
   until their leases end.  */
void fake_cluster_worker_gone (fake_cluster_t *cluster, uint32_t worker);
/* Restarts WORKER with a higher incarnation and no tasks.  */
void fake_cluster_worker_restart (fake_cluster_t *cluster, uint32_t worker);

/* Submits a job at ENTRY; the answer can be looked up by TOKEN.  */
void fake_cluster_submit (fake_cluster_t *cluster, uint32_t entry,
                          const char *json, void *token);
void fake_cluster_cancel (fake_cluster_t *cluster, uint32_t entry,
                          const char *id, void *token);
/* Returns the err_kind_t answered to TOKEN, -1 if there is no answer yet.  */
int fake_cluster_answer (const fake_cluster_t *cluster, const void *token);
/* Returns the state in the row of job ID, "" if it has none.  */
const char *fake_cluster_job_state (const fake_cluster_t *cluster,
                                    const char *id);
/* Returns the number of running tasks of job ID.  */
uint32_t fake_cluster_running (const fake_cluster_t *cluster, const char *id);

#endif
