#ifndef MAGNOLIADOCK_ADAPTIVE_TIMEOUT_H
#define MAGNOLIADOCK_ADAPTIVE_TIMEOUT_H

#include <stdint.h>

/* NAME
     adaptive_timeout - time after which an unanswered call is repeated,
     computed from recent answer times

   The timeout follows the times that answers take: a lost answer costs little
   while the other side is fast, and a slow other side is not flooded with
   repeated calls.  */

typedef struct
{
  int64_t min_ms;
  int64_t max_ms;
  int64_t timeout_ms; /* the current timeout */
  int64_t
      mean_answer_ms; /* moving average of answer times; misses do not count */
} adaptive_timeout_t;

void adaptive_timeout_init (adaptive_timeout_t *timeout, int64_t min_ms,
                            int64_t max_ms);
/* The timeout of a call while LAG_MS is how late the other side answers calls
   of another kind, which come often.  A caller with few calls of its own would
   learn too late that the other side is slow, and repeated calls make it
   slower.  */
int64_t adaptive_timeout_with_lag (const adaptive_timeout_t *timeout,
                                   int64_t lag_ms);
/* An answer has arrived after TOOK_MS.  */
void adaptive_timeout_answered (adaptive_timeout_t *timeout, int64_t took_ms);
/* No answer has arrived within TIMEOUT_MS, the timeout of the call.  */
void adaptive_timeout_missed (adaptive_timeout_t *timeout, int64_t timeout_ms);

#endif
