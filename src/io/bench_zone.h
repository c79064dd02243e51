#ifndef MAGNOLIADOCK_BENCH_ZONE_H
#define MAGNOLIADOCK_BENCH_ZONE_H

#include "sched.h"

/* NAME
     bench_zone - one sched instance with a store and workers in memory

   The store and the workers answer at once, and the clock is moved by
   bench_zone_run, so that only the cost of the scheduler itself and the order
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
} bench_zone_t;

/* PACK_RULE and ROWS_PER_S (limit of row writes) as in sched_options_t.  */
bench_zone_t *bench_zone_new (const char *pack_rule, uint32_t rows_per_s,
                              uint32_t seed);
void bench_zone_free (bench_zone_t *zone);
/* Adds COUNT workers of CAPACITY, PER_RACK in each rack.  */
void bench_zone_add_workers (bench_zone_t *zone, uint32_t count,
                             uint32_t per_rack, resource_t capacity);
/* Writes a row to the store as if another entry had done it: the scheduler is
   not told.  Takes ownership of VALUE.  */
void bench_zone_put_row (bench_zone_t *zone, const char *key, json_t *value);
/* Advances the clock by MS, rounded up to steps of 50 ms, with a tick of the
   scheduler after each step.  */
void bench_zone_run (bench_zone_t *zone, int64_t ms);
/* Submits a job of TASK_COUNT tasks that end after RUN_MS each.  */
void bench_zone_submit (bench_zone_t *zone, const char *id, const char *kind,
                        const char *class, const char *team,
                        uint32_t task_count, resource_t task_size,
                        int64_t run_ms);

#endif
