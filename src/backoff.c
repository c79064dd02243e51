#include "backoff.h"

#include <glib.h>

#define MAX_DOUBLINGS 30u

int64_t
backoff_ms (uint32_t failures, int64_t first_ms, int64_t max_ms)
{
  uint32_t doublings = MIN (failures > 0 ? failures - 1 : 0, MAX_DOUBLINGS);
  return MIN (first_ms << doublings, max_ms);
}
