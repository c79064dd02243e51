#ifndef MAGNOLIADOCK_WORKER_HEALTH_H
#define MAGNOLIADOCK_WORKER_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

/* NAME
     worker_health - tells a faulty worker from faulty jobs

   A worker is held back, that is, given no tasks, when more than half of its
   last 20 starts failed, but fewer than a tenth of those of its peers.  After
   30 s it is probed with one task; each failed probe doubles the wait until
   the next one, up to 10 min, and a successful one lets tasks be placed there
   again.  */

#define WORKER_HEALTH_WINDOW_STARTS 20
#define WORKER_HEALTH_FIRST_PROBE_MS 30000
#define WORKER_HEALTH_MAX_PROBE_MS 600000
/* A job that failed on this many healthy workers is faulty itself.  */
#define FAULTY_JOB_WORKERS 3

typedef struct
{
  uint32_t failed_starts; /* one bit for each start; bit 0 is the newest */
  uint8_t start_count;    /* valid bits */
  bool held_back;
  bool probing; /* the task of a probe is placed there */
  int64_t probe_at_ms;
  int64_t probe_wait_ms;
} worker_health_t;

typedef struct
{
  uint32_t starts;
  uint32_t failures;
} worker_health_starts_t;

/* Records the result of a start at NOW_MS.  PEERS holds the recent starts of
   the other workers; if there are none, the worker is not held back.  Returns
   whether HELD_BACK has changed.  */
bool worker_health_record_start (worker_health_t *health, bool failed,
                                 const worker_health_starts_t *peers,
                                 int64_t now_ms);

/* Sets the state read from the worker's row.  A change clears the recorded
   starts and restarts the wait for a probe.  */
void worker_health_set_held_back (worker_health_t *health, bool held_back,
                                  int64_t now_ms);

/* Returns whether a task may be placed on the worker at NOW_MS; if the worker
   is held back, that task is a probe.  */
bool worker_health_may_place (const worker_health_t *health, int64_t now_ms);

/* Adds the worker's recent starts to PEERS.  */
void worker_health_add_starts (const worker_health_t *health,
                               worker_health_starts_t *peers);

#endif
