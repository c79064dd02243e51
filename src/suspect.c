#include "suspect.h"

#define WINDOW_MASK ((UINT32_C (1) << SUSPECT_WINDOW_STARTS) - 1)

static uint32_t
count_failures (const suspect_t *suspect)
{
  return (uint32_t)__builtin_popcount (suspect->failed_starts & WINDOW_MASK);
}

void
suspect_count (const suspect_t *suspect, suspect_peers_t *peers)
{
  peers->starts += suspect->start_count;
  peers->failures += count_failures (suspect);
}

void
suspect_set_held (suspect_t *suspect, bool held, int64_t now_ms)
{
  if (suspect->held == held)
    return;
  suspect->held = held;
  suspect->probing = false;
  suspect->failed_starts = 0;
  suspect->start_count = 0;
  suspect->probe_wait_ms = SUSPECT_FIRST_PROBE_MS;
  suspect->probe_at_ms = now_ms + SUSPECT_FIRST_PROBE_MS;
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
  suspect->failed_starts
      = ((suspect->failed_starts << 1) | failed) & WINDOW_MASK;
  if (suspect->start_count < SUSPECT_WINDOW_STARTS)
    suspect->start_count++;
  /* Without starts of peers there is nothing to compare with.  */
  if (suspect->start_count < SUSPECT_WINDOW_STARTS
      || count_failures (suspect) * 2 <= SUSPECT_WINDOW_STARTS
      || peers->starts == 0 || peers->failures * 10 >= peers->starts)
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
