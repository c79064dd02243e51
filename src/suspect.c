#include "suspect.h"

#define WINDOW_MASK ((UINT32_C (1) << SUSPECT_WINDOW) - 1)

static uint32_t
failures_in (const suspect_t *suspect)
{
  return (uint32_t)__builtin_popcount (suspect->window & WINDOW_MASK);
}

void
suspect_count (const suspect_t *suspect, suspect_peers_t *peers)
{
  peers->starts += suspect->count;
  peers->failures += failures_in (suspect);
}

void
suspect_set_held (suspect_t *suspect, bool held, int64_t now_ms)
{
  if (suspect->held == held)
    return;
  suspect->held = held;
  suspect->probing = false;
  suspect->window = 0;
  suspect->count = 0;
  suspect->probe_wait_ms = SUSPECT_PROBE_MS;
  suspect->probe_at_ms = now_ms + SUSPECT_PROBE_MS;
}

static void
probe_failed (suspect_t *suspect, int64_t now_ms)
{
  suspect->probing = false;
  suspect->probe_wait_ms *= 2;
  if (suspect->probe_wait_ms > SUSPECT_PROBE_MAX_MS)
    suspect->probe_wait_ms = SUSPECT_PROBE_MAX_MS;
  suspect->probe_at_ms = now_ms + suspect->probe_wait_ms;
}

bool
suspect_record (suspect_t *suspect, bool failed, const suspect_peers_t *peers,
                int64_t now_ms)
{
  if (suspect->held)
    {
      if (failed)
        probe_failed (suspect, now_ms);
      else
        suspect_set_held (suspect, false, now_ms);
      return !suspect->held;
    }
  suspect->window = ((suspect->window << 1) | failed) & WINDOW_MASK;
  if (suspect->count < SUSPECT_WINDOW)
    suspect->count++;
  /* Peers without any start say nothing about the worker.  */
  if (suspect->count < SUSPECT_WINDOW
      || failures_in (suspect) * 2 <= SUSPECT_WINDOW || peers->starts == 0
      || peers->failures * 10 >= peers->starts)
    return false;
  suspect_set_held (suspect, true, now_ms);
  return true;
}

bool
suspect_may_place (const suspect_t *suspect, int64_t now_ms)
{
  if (!suspect->held)
    return true;
  return !suspect->probing && now_ms >= suspect->probe_at_ms;
}
