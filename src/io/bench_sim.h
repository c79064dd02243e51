#ifndef MAGNOLIADOCK_BENCH_SIM_H
#define MAGNOLIADOCK_BENCH_SIM_H

#include "dispatch.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     bench_sim - entries of one zone and their backend servers as events

   Runs real dispatch instances on a simulated clock; only the callers, the
   backend servers (exponential times) and the network between the entries are
   models.  The same seed gives the same figures on every machine.  */

#define BENCH_SIM_ENTRIES 8
#define BENCH_SIM_PHASES 8

typedef enum
{
  BENCH_SHARES_ESCROW,      /* slots move between entries when asked for */
  BENCH_SHARES_FIXED,       /* even parts that never move */
  BENCH_SHARES_RESPONSIBLE, /* the last entry has all; others hand over to it
                             */
  BENCH_SHARES_COUNT
} bench_shares_t;

typedef struct
{
  const char *name;
  int64_t length_ms;
  /* Requests/s by entry and class.  */
  double rate[BENCH_SIM_ENTRIES][CLASS_COUNT];
} bench_phase_t;

typedef struct
{
  uint32_t seed;
  const char *policy;
  bench_shares_t shares;
  uint32_t entries;
  uint32_t processes;
  uint32_t limit;
  double run_ms;  /* mean time of a request at a backend server */
  int64_t hop_us; /* one way between two entries */
  int64_t deadline_ms;
  int64_t settle_ms; /* start of each phase that is not counted */
  uint32_t phase_count;
  bench_phase_t phases[BENCH_SIM_PHASES];
} bench_sim_t;

/* Of one phase and class.  OFFERED, REFUSED and the waits are those of
   requests that arrived in the phase, COMPLETED counts those that ended in it.
   A wait is from arrival at the first entry to the start at a backend server,
   hops included.  */
typedef struct
{
  uint64_t offered;
  uint64_t completed;
  uint64_t refused;
  GArray *wait_us;     /* uint32_t, sorted */
  GArray *response_us; /* uint32_t, sorted */
} bench_result_t;

typedef struct
{
  bench_result_t classes[BENCH_SIM_PHASES][CLASS_COUNT];
  uint64_t messages[BENCH_SIM_PHASES]; /* between entries, heartbeats apart */
  /* From the start of the phase until 95% of all slots are in use, -1: never.
   */
  int64_t full_after_ms[BENCH_SIM_PHASES];
} bench_report_t;

/* Returns a new report.  */
bench_report_t *bench_sim_run (const bench_sim_t *sim);
void bench_report_free (bench_report_t *report);

/* Returns the value at QUANTILE (0 to 1) of a sorted array of uint32_t, 0 if
   it is empty.  */
uint32_t bench_quantile (const GArray *sorted, double quantile);
void bench_sort (GArray *values);

#endif
