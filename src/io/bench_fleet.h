#ifndef MAGNOLIADOCK_BENCH_FLEET_H
#define MAGNOLIADOCK_BENCH_FLEET_H

#include "sched.h"

/* NAME
     bench_fleet - one sched instance with a store and workers in memory

   The store and the workers answer at once, and the clock is moved by
   bench_fleet_run, so that only the cost of the scheduler itself and the order
   of its decisions are measured.  */

typedef struct
{
  clk_fake_t clock;
  counter_registry_t *registry;
  sched_t *sched;
  GHashTable *rows;    /* key -> bench_row_t */
  GHashTable *workers; /* id -> bench_worker_t */
  uint64_t row_writes, tasks_started;
  uint64_t answers; /* to submissions and cancels, refusals included */
  uint64_t refused;
  /* Called with CONTEXT for each task that starts; may be NULL.  */
  void (*on_start) (void *context, const char *job, int64_t now_ms);
  void *context;
} bench_fleet_t;

/* PACK_RULE and ROWS_PER_S (limit of row writes) as in sched_options_t.  */
bench_fleet_t *bench_fleet_new (const char *pack_rule, uint32_t rows_per_s,
                                uint32_t seed);
void bench_fleet_free (bench_fleet_t *fleet);
/* Adds COUNT workers of CAPACITY, PER_RACK in each rack.  */
void bench_fleet_add_workers (bench_fleet_t *fleet, uint32_t count,
                              uint32_t per_rack, resource_t capacity);
/* Writes a row to the store as if another entry had done it: the scheduler is
   not told.  Takes ownership of VALUE.  */
void bench_fleet_put_row (bench_fleet_t *fleet, const char *key,
                          json_t *value);
/* Advances the clock by MS, rounded up to steps of 50 ms, with a tick of the
   scheduler after each step.  */
void bench_fleet_run (bench_fleet_t *fleet, int64_t ms);
/* Submits a job of TASK_COUNT tasks that end after RUN_MS each.  */
void bench_fleet_submit (bench_fleet_t *fleet, const char *id,
                         const char *kind, const char *class, const char *team,
                         uint32_t task_count, resource_t task_size,
                         int64_t run_ms);

#endif
