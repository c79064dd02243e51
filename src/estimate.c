#include "estimate.h"

#define MARGIN_PERCENT 120
/* Fewer runs than this do not overrule the declared run time.  */
#define ENOUGH_RUNS 5

/* Moves the estimate up by 95 parts and down by 5 parts of a step, so that it
   settles where 5% of the samples are higher (frugal streaming, Ma et al.,
   2013).  */
static uint32_t
move_p95 (uint32_t estimate, int64_t sample)
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
estimate_usage (estimate_t *estimate, int64_t memory_mib, int64_t age_ms)
{
  if (memory_mib < 0 || memory_mib > UINT32_MAX || age_ms < 0
      || age_ms > ESTIMATE_FRESH_MS)
    return;
  if (estimate->samples == 0)
    estimate->memory_p95_mib = (uint32_t)memory_mib;
  else
    estimate->memory_p95_mib = move_p95 (estimate->memory_p95_mib, memory_mib);
  if (estimate->samples < UINT32_MAX)
    estimate->samples++;
}

void
estimate_run (estimate_t *estimate, int64_t run_ms)
{
  if (run_ms > estimate->run_ms)
    estimate->run_ms = run_ms;
  else
    estimate->run_ms -= (estimate->run_ms - run_ms) / 16;
  if (estimate->runs < UINT32_MAX)
    estimate->runs++;
}

resource_t
estimate_reserve (const estimate_t *estimate, resource_t declared,
                  bool throttle)
{
  resource_t size = declared;
  int64_t used_mib = (int64_t)estimate->memory_p95_mib * MARGIN_PERCENT / 100;
  if (estimate->samples > 0 && used_mib > size.memory_mib)
    size.memory_mib = used_mib;
  if (throttle)
    size.cpu_millis = (size.cpu_millis * ESTIMATE_THROTTLE_PERCENT + 99) / 100;
  return size;
}

int64_t
estimate_end_ms (const estimate_t *estimate, int64_t declared_ms,
                 int64_t ran_ms, int64_t now_ms)
{
  int64_t run_ms = declared_ms;
  if (estimate->runs >= ENOUGH_RUNS
      || (estimate->runs > 0 && estimate->run_ms > declared_ms))
    run_ms = estimate->run_ms;
  if (run_ms <= 0)
    return INT64_MAX;
  /* A task past its estimate is expected to need half of what it has taken
     again.  */
  if (ran_ms >= run_ms)
    return now_ms + ran_ms / 2 + 1;
  return now_ms + run_ms - ran_ms;
}
