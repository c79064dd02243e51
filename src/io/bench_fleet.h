#ifndef MAGNOLIADOCK_BENCH_FLEET_H
#define MAGNOLIADOCK_BENCH_FLEET_H

#include "sched.h"

/* NAME
     bench_fleet - one sched instance with a store and workers in memory

   Everything is answered at once, on a fake clock, so that only the cost of
   the scheduler itself and the order of its decisions are measured.  */

typedef struct
{
  clk_fake_t clock;
  counter_registry_t *registry;
  sched_t *sched;
  GHashTable *rows;    /* key -> bench_row_t */
  GHashTable *workers; /* id -> bench_worker_t */
  uint64_t row_writes, started, answers, refused;
  /* Called when a task starts on a worker; may be NULL.  */
  void (*on_start) (void *context, const char *job, int64_t now_ms);
  void *context;
} bench_fleet_t;

bench_fleet_t *bench_fleet_new (const char *pack_rule, uint32_t rows_per_s,
                                uint32_t seed);
void bench_fleet_free (bench_fleet_t *fleet);
/* Adds COUNT workers of CAPACITY, PER_RACK to a rack.  */
void bench_fleet_add (bench_fleet_t *fleet, uint32_t count, uint32_t per_rack,
                      resource_t capacity);
/* Puts a row into the store as if another entry had written it; VALUE is
   taken over.  */
void bench_fleet_row (bench_fleet_t *fleet, const char *key, json_t *value);
void bench_fleet_run (bench_fleet_t *fleet, int64_t ms);
void bench_fleet_submit (bench_fleet_t *fleet, const char *id,
                         const char *kind, const char *class, const char *team,
                         uint32_t tasks, resource_t size, int64_t run_ms);

#endif
