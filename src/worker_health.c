#include "worker_health.h"

#define WINDOW_MASK ((UINT32_C (1) << WORKER_HEALTH_WINDOW_STARTS) - 1)

static uint32_t
count_failures (const worker_health_t *health)
{
  return (uint32_t)__builtin_popcount (health->failed_starts & WINDOW_MASK);
}

void
worker_health_add_starts (const worker_health_t *health,
                          worker_health_starts_t *peers)
{
  peers->starts += health->start_count;
  peers->failures += count_failures (health);
}

void
worker_health_set_held_back (worker_health_t *health, bool held_back,
                             int64_t now_ms)
{
  if (health->held_back == held_back)
    return;
  health->held_back = held_back;
  health->probing = false;
  health->failed_starts = 0;
  health->start_count = 0;
  health->probe_wait_ms = WORKER_HEALTH_FIRST_PROBE_MS;
  health->probe_at_ms = now_ms + WORKER_HEALTH_FIRST_PROBE_MS;
}

static void
probe_failed (worker_health_t *health, int64_t now_ms)
{
  health->probing = false;
  health->probe_wait_ms *= 2;
  if (health->probe_wait_ms > WORKER_HEALTH_MAX_PROBE_MS)
    health->probe_wait_ms = WORKER_HEALTH_MAX_PROBE_MS;
  health->probe_at_ms = now_ms + health->probe_wait_ms;
}

bool
worker_health_record_start (worker_health_t *health, bool failed,
                            const worker_health_starts_t *peers,
                            int64_t now_ms)
{
  if (health->held_back)
    {
      if (failed)
        probe_failed (health, now_ms);
      else
        worker_health_set_held_back (health, false, now_ms);
      return !health->held_back;
    }
  health->failed_starts
      = ((health->failed_starts << 1) | failed) & WINDOW_MASK;
  if (health->start_count < WORKER_HEALTH_WINDOW_STARTS)
    health->start_count++;
  /* Without starts of peers there is nothing to compare with.  */
  if (health->start_count < WORKER_HEALTH_WINDOW_STARTS
      || count_failures (health) * 2 <= WORKER_HEALTH_WINDOW_STARTS
      || peers->starts == 0 || peers->failures * 10 >= peers->starts)
    return false;
  worker_health_set_held_back (health, true, now_ms);
  return true;
}

bool
worker_health_may_place (const worker_health_t *health, int64_t now_ms)
{
  if (!health->held_back)
    return true;
  return !health->probing && now_ms >= health->probe_at_ms;
}
