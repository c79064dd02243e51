#include "lease.h"

int64_t
lease_gone_wait_ms (void)
{
  int64_t wait_ms = LEASE_LIST_LAG_MS + LEASE_MS;
  return wait_ms + wait_ms * LEASE_CLOCK_DRIFT_PERCENT / 100 + LEASE_MARGIN_MS;
}

bool
lease_may_move (const lease_holder_t *holder, int64_t now_ms)
{
  if (holder->confirmed_stop)
    return true;
  if (holder->latest_incarnation > holder->assigned_incarnation)
    return true;
  return holder->gone_since_ms >= 0
         && now_ms - holder->gone_since_ms >= lease_gone_wait_ms ();
}
