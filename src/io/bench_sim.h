#ifndef MAGNOLIADOCK_BENCH_SIM_H
#define MAGNOLIADOCK_BENCH_SIM_H

#include "dispatch.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     bench_sim - event simulation of the entries of one zone

   Runs real dispatch instances on a simulated clock; only the callers (Poisson
   arrivals), the backend servers (exponential service times) and the network
   between the entries (fixed latency, no loss) are models.  The same seed
   gives the same figures on every machine.  */

#define BENCH_SIM_MAX_ENTRIES 8
#define BENCH_SIM_MAX_PHASES 8

typedef enum
{
  BENCH_SHARES_ESCROW, /* entries give each other slots on request */
  BENCH_SHARES_FIXED,  /* even shares that never change */
  /* The last entry has all slots; the others forward their requests to it.  */
  BENCH_SHARES_RESPONSIBLE,
  BENCH_SHARES_COUNT
} bench_shares_t;

typedef struct
{
  const char *name;
  int64_t length_ms;
  double rate_per_s[BENCH_SIM_MAX_ENTRIES][CLASS_COUNT]; /* of arrivals */
} bench_phase_t;

typedef struct
{
  uint32_t seed;
  const char *policy; /* of dispatch_policy_t */
  bench_shares_t shares;
  uint32_t entry_count;
  uint32_t process_count; /* backend server processes */
  uint32_t slots_per_process;
  double mean_run_ms; /* of a request at a backend server */
  int64_t hop_us;     /* one-way latency between two entries */
  int64_t deadline_ms;
  int64_t settle_ms; /* first part of each phase, not counted */
  uint32_t phase_count;
  bench_phase_t phases[BENCH_SIM_MAX_PHASES];
} bench_scenario_t;

/* Results of one class in one phase, without the settle time.  OFFERED,
   REFUSED and the times are those of requests that arrived in the phase,
   COMPLETED counts the requests that ended in it.  The times begin with the
   arrival at the first entry and include hops: the wait lasts until the
   request is sent to a backend server, the response time until the answer.  */
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
  bench_result_t results[BENCH_SIM_MAX_PHASES][CLASS_COUNT];
  /* Messages between entries, without heartbeats.  */
  uint64_t messages[BENCH_SIM_MAX_PHASES];
  /* Time from the start of the phase until 95% of all slots are in use; -1:
     never.  */
  int64_t full_after_ms[BENCH_SIM_MAX_PHASES];
} bench_report_t;

/* Returns a new report, to be freed with bench_report_free.  */
bench_report_t *bench_sim_run (const bench_scenario_t *scenario);
void bench_report_free (bench_report_t *report);

/* Returns the value at QUANTILE (0 to 1) of a sorted array of uint32_t, 0 if
   it is empty.  */
uint32_t bench_quantile (const GArray *sorted, double quantile);
/* Sorts an array of uint32_t.  */
void bench_sort (GArray *values);

#endif
