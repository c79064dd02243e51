#include "estimate.h"

/* Of the measured 95th percentile.  */
#define MEMORY_RESERVE_PERCENT 120
/* With fewer runs the estimate does not replace a longer declared run time.
 */
#define MIN_RUNS 5

/* Lowers the estimate by 5% of a step; raises it by 95% of a step and half of
   the distance to a higher sample.  The steps alone would settle where 5% of
   the samples are higher (frugal streaming, Ma et al., 2013); the half
   distance follows a rise faster.  */
static uint32_t
update_p95 (uint32_t estimate, int64_t sample)
{
  double step = (double)estimate * 0.05 + 1.0;
  double moved = (double)estimate;
  if (sample > (int64_t)estimate)
    moved += step * 0.95 + ((double)sample - moved) * 0.5;
  else
    moved -= step * 0.05;
  return moved > 0.0 ? (uint32_t)moved : 0;
}

void
estimate_add_memory (estimate_t *estimate, int64_t memory_mib, int64_t age_ms)
{
  if (memory_mib < 0 || memory_mib > UINT32_MAX || age_ms < 0
      || age_ms > ESTIMATE_MAX_AGE_MS)
    return;
  if (estimate->memory_samples == 0)
    estimate->memory_p95_mib = (uint32_t)memory_mib;
  else
    estimate->memory_p95_mib
        = update_p95 (estimate->memory_p95_mib, memory_mib);
  if (estimate->memory_samples < UINT32_MAX)
    estimate->memory_samples++;
}

void
estimate_add_run (estimate_t *estimate, int64_t run_ms)
{
  /* Rises at once and falls slowly, so that it stays a high estimate.  */
  if (run_ms > estimate->run_ms)
    estimate->run_ms = run_ms;
  else
    estimate->run_ms -= (estimate->run_ms - run_ms) / 16;
  if (estimate->runs < UINT32_MAX)
    estimate->runs++;
}

resource_t
estimate_reserved_size (const estimate_t *estimate, resource_t declared,
                        bool throttleable)
{
  resource_t size = declared;
  int64_t used_mib
      = (int64_t)estimate->memory_p95_mib * MEMORY_RESERVE_PERCENT / 100;
  if (estimate->memory_samples > 0 && used_mib > size.memory_mib)
    size.memory_mib = used_mib;
  if (throttleable)
    size.cpu_millis
        = (size.cpu_millis * ESTIMATE_THROTTLEABLE_CPU_PERCENT + 99) / 100;
  return size;
}

int64_t
estimate_end_ms (const estimate_t *estimate, int64_t declared_ms,
                 int64_t ran_ms, int64_t now_ms)
{
  int64_t run_ms = declared_ms;
  if (estimate->runs >= MIN_RUNS
      || (estimate->runs > 0 && estimate->run_ms > declared_ms))
    run_ms = estimate->run_ms;
  if (run_ms <= 0)
    return INT64_MAX;
  /* A task that has outrun its estimate is expected to need half of its run
     time so far again.  */
  if (ran_ms >= run_ms)
    return now_ms + ran_ms / 2 + 1;
  return now_ms + run_ms - ran_ms;
}
