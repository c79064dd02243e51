#include "suspect.h"

#define WINDOW_MASK ((UINT32_C (1) << WORKER_HEALTH_WINDOW_STARTS) - 1)

static uint32_t
count_failures (const worker_health_t *suspect)
{
  return (uint32_t)__builtin_popcount (suspect->failed_starts & WINDOW_MASK);
}

void
worker_health_add_starts (const worker_health_t *suspect,
                          worker_health_starts_t *peers)
{
  peers->starts += suspect->start_count;
  peers->failures += count_failures (suspect);
}

void
worker_health_set_held_back (worker_health_t *suspect, bool held,
                             int64_t now_ms)
{
  if (suspect->held_back == held)
    return;
  suspect->held_back = held;
  suspect->probing = false;
  suspect->failed_starts = 0;
  suspect->start_count = 0;
  suspect->probe_wait_ms = WORKER_HEALTH_FIRST_PROBE_MS;
  suspect->probe_at_ms = now_ms + WORKER_HEALTH_FIRST_PROBE_MS;
}

static void
probe_failed (worker_health_t *suspect, int64_t now_ms)
{
  suspect->probing = false;
  suspect->probe_wait_ms *= 2;
  if (suspect->probe_wait_ms > WORKER_HEALTH_MAX_PROBE_MS)
    suspect->probe_wait_ms = WORKER_HEALTH_MAX_PROBE_MS;
  suspect->probe_at_ms = now_ms + suspect->probe_wait_ms;
}

bool
worker_health_record_start (worker_health_t *suspect, bool failed,
                            const worker_health_starts_t *peers,
                            int64_t now_ms)
{
  if (suspect->held_back)
    {
      if (failed)
        probe_failed (suspect, now_ms);
      else
        worker_health_set_held_back (suspect, false, now_ms);
      return !suspect->held_back;
    }
  suspect->failed_starts
      = ((suspect->failed_starts << 1) | failed) & WINDOW_MASK;
  if (suspect->start_count < WORKER_HEALTH_WINDOW_STARTS)
    suspect->start_count++;
  /* Without starts of peers there is nothing to compare with.  */
  if (suspect->start_count < WORKER_HEALTH_WINDOW_STARTS
      || count_failures (suspect) * 2 <= WORKER_HEALTH_WINDOW_STARTS
      || peers->starts == 0 || peers->failures * 10 >= peers->starts)
    return false;
  worker_health_set_held_back (suspect, true, now_ms);
  return true;
}

bool
worker_health_may_place (const worker_health_t *suspect, int64_t now_ms)
{
  if (!suspect->held_back)
    return true;
  return !suspect->probing && now_ms >= suspect->probe_at_ms;
}
