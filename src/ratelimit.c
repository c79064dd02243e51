#include "ratelimit.h"

#include <glib.h>

#define MS_PER_S 1000.0

static void
refill (ratelimit_t *limit, int64_t now_ms)
{
  if (now_ms > limit->last_ms)
    {
      double gained = limit->tokens_per_s * (double)(now_ms - limit->last_ms);
      limit->tokens = MIN (limit->burst, limit->tokens + gained / MS_PER_S);
      limit->last_ms = now_ms;
    }
}

void
ratelimit_init (ratelimit_t *limit, double per_s, double burst, int64_t now_ms)
{
  limit->tokens_per_s = per_s;
  limit->burst = burst;
  limit->tokens = burst;
  limit->last_ms = now_ms;
}

void
ratelimit_change (ratelimit_t *limit, double per_s, double burst,
                  int64_t now_ms)
{
  refill (limit, now_ms);
  limit->tokens_per_s = per_s;
  limit->burst = burst;
  limit->tokens = MIN (limit->tokens, burst);
}

bool
ratelimit_take (ratelimit_t *limit, int64_t now_ms)
{
  refill (limit, now_ms);
  if (limit->tokens < 1.0)
    return false;
  limit->tokens -= 1.0;
  return true;
}
