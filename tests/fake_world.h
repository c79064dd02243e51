#ifndef MAGNOLIADOCK_FAKE_WORLD_H
#define MAGNOLIADOCK_FAKE_WORLD_H

#include "fake_store.h"

/* NAME
     fake_world - entries, workers and a store around several sched instances,
     on a fake clock

   Every message is delivered after a random delay and may be lost before or
   after it took effect, delivered twice or delivered after its sender was told
   that it timed out.  Checked all the time: no task in two places, no worker
   over its capacity, nothing of a cancelled job runs.  */

#define WORLD_ENTRIES 4
#define WORLD_WORKERS 16

typedef struct fake_world fake_world_t;

typedef struct
{
  uint32_t lost_percent;       /* of requests, before they take effect */
  uint32_t reply_lost_percent; /* after they took effect */
  uint32_t late_percent;       /* takes effect after the sender's timeout */
  uint32_t twice_percent;      /* messages to workers only */
  int64_t delay_ms;            /* the most */
} fake_faults_t;

typedef struct
{
  bool up, paused;
  sched_t *sched;
  fake_world_t *world;
  uint32_t index;
  int64_t incarnation;
  counter_registry_t *registry;
} fake_entry_t;

typedef struct
{
  char *name;
  uint32_t generation;
  report_state_t state;
  resource_t size;
  int64_t end_ms;   /* INT64_MAX: runs until it is stopped */
  int64_t lease_ms; /* runs out then */
  int64_t stop_ms;  /* stops then, INT64_MAX */
  bool fails;
} fake_task_t;

typedef struct
{
  char id[16];
  char rack[16];
  resource_t capacity;
  int64_t incarnation;
  sched_instance_state_t listed;
  bool cut;   /* no message arrives, its tasks run on until the lease ends */
  bool fails; /* every task that it starts fails */
  GArray *tasks;      /* fake_task_t */
  GHashTable *barred; /* task name -> highest generation never to run again */
} fake_worker_t;

struct fake_world
{
  clk_fake_t clock;
  fake_store_t store;
  fake_entry_t entries[WORLD_ENTRIES];
  uint32_t entry_count;
  fake_worker_t workers[WORLD_WORKERS];
  uint32_t worker_count;
  GQueue messages; /* fake_message_t, in the order of their sending */
  GRand *random;
  fake_faults_t faults;
  bool store_down;
  GHashTable *answers;     /* token -> kind + 1 */
  GHashTable *submissions; /* their tokens */
  GHashTable *refused;     /* job id -> why its submission was refused */
  GHashTable *ended;       /* task name -> times it ended well */
  bool fail_next_task;
  /* Violations found; the first is described.  */
  uint32_t violations;
  char first[200];
  uint64_t worker_starts;
  int64_t orphans; /* tasks that entries, now ended, took for orphans */
};

fake_world_t *fake_world_new (uint32_t entries, uint32_t workers,
                              resource_t capacity, uint32_t seed);
void fake_world_free (fake_world_t *world);

/* Advances the clock by MS in steps of 10 ms and delivers what is due.  */
void fake_world_run (fake_world_t *world, int64_t ms);

void fake_world_entry_start (fake_world_t *world, uint32_t entry);
void fake_world_entry_crash (fake_world_t *world, uint32_t entry);
/* The list shows WORKER as gone and no message reaches it; what it runs goes
   on until the lease ends.  */
void fake_world_worker_gone (fake_world_t *world, uint32_t worker);
/* The worker starts again under a higher incarnation; nothing runs.  */
void fake_world_worker_restart (fake_world_t *world, uint32_t worker);

/* Submits a job at ENTRY; TOKEN is remembered with its answer.  */
void fake_world_submit (fake_world_t *world, uint32_t entry, const char *json,
                        void *token);
void fake_world_cancel (fake_world_t *world, uint32_t entry, const char *id,
                        void *token);
/* The answer to TOKEN, -1 if there is none yet.  */
int fake_world_answer (const fake_world_t *world, const void *token);
/* State of job ID in its row, "" if it has none.  */
const char *fake_world_job_state (const fake_world_t *world, const char *id);
/* Tasks of job ID that run now.  */
uint32_t fake_world_running (const fake_world_t *world, const char *id);

#endif
