#include "patience.h"

#include <glib.h>

/* The timeout aims at this many times the last answer time.  */
#define TIMEOUT_FACTOR 4
/* With each answer, a timeout above its target falls by the difference divided
   by this.  */
#define FALL_DIVISOR 4
/* A new answer has the weight 1 / this in the moving average.  */
#define AVERAGE_DIVISOR 3

void
patience_init (patience_t *patience, int64_t min_ms, int64_t max_ms)
{
  *patience = (patience_t){ min_ms, max_ms, min_ms, 0 };
}

void
patience_answered (patience_t *patience, int64_t took_ms)
{
  patience->mean_answer_ms
      += (took_ms - patience->mean_answer_ms) / AVERAGE_DIVISOR;
  int64_t target_ms
      = CLAMP (took_ms * TIMEOUT_FACTOR, patience->min_ms, patience->max_ms);
  if (target_ms >= patience->timeout_ms)
    patience->timeout_ms = target_ms;
  else
    patience->timeout_ms
        -= (patience->timeout_ms - target_ms + FALL_DIVISOR - 1)
           / FALL_DIVISOR;
}

void
patience_missed (patience_t *patience, int64_t timeout_ms)
{
  /* Several calls with the same timeout may be missed at once; they double it
     only once.  */
  if (timeout_ms >= patience->timeout_ms)
    patience->timeout_ms = MIN (timeout_ms * 2, patience->max_ms);
}
