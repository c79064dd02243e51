#include "adaptive_timeout.h"

#include <glib.h>

/* The timeout aims at this many times the last answer time.  */
#define TIMEOUT_FACTOR 4
/* With each answer, a timeout above its target falls by the difference divided
   by this.  */
#define FALL_DIVISOR 4
/* The timeout is at least this many times the lag: an answer to a write comes
   after the lag, the write, and other writes that wait before it.  */
#define LAG_FACTOR 8
/* A new answer has the weight 1 / this in the moving average.  */
#define AVERAGE_DIVISOR 3

void
adaptive_timeout_init (adaptive_timeout_t *timeout, int64_t min_ms,
                       int64_t max_ms)
{
  *timeout = (adaptive_timeout_t){ min_ms, max_ms, min_ms, 0 };
}

int64_t
adaptive_timeout_with_lag (const adaptive_timeout_t *timeout, int64_t lag_ms)
{
  return MAX (timeout->timeout_ms, MIN (lag_ms * LAG_FACTOR, timeout->max_ms));
}

void
adaptive_timeout_answered (adaptive_timeout_t *timeout, int64_t took_ms)
{
  timeout->mean_answer_ms
      += (took_ms - timeout->mean_answer_ms) / AVERAGE_DIVISOR;
  int64_t target_ms
      = CLAMP (took_ms * TIMEOUT_FACTOR, timeout->min_ms, timeout->max_ms);
  if (target_ms >= timeout->timeout_ms)
    timeout->timeout_ms = target_ms;
  else
    timeout->timeout_ms
        -= (timeout->timeout_ms - target_ms + FALL_DIVISOR - 1) / FALL_DIVISOR;
}

void
adaptive_timeout_missed (adaptive_timeout_t *timeout, int64_t timeout_ms)
{
  /* Several calls with the same timeout may be missed at once; they double it
     only once.  */
  if (timeout_ms >= timeout->timeout_ms)
    timeout->timeout_ms = MIN (timeout_ms * 2, timeout->max_ms);
}
