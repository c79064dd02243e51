#include "patience.h"

#include <glib.h>

/* An answer may take this many times the last one.  */
#define SPREAD 4
/* The limit falls by this share of its distance with each quick answer.  */
#define FALL_DIVISOR 4
/* Share of a new answer in the usual time.  */
#define USUAL_DIVISOR 3

void
patience_init (patience_t *patience, int64_t least_ms, int64_t most_ms)
{
  *patience = (patience_t){ least_ms, most_ms, least_ms, 0 };
}

void
patience_answered (patience_t *patience, int64_t took_ms)
{
  patience->usual_ms += (took_ms - patience->usual_ms) / USUAL_DIVISOR;
  int64_t wanted_ms
      = CLAMP (took_ms * SPREAD, patience->least_ms, patience->most_ms);
  if (wanted_ms >= patience->limit_ms)
    patience->limit_ms = wanted_ms;
  else
    patience->limit_ms
        -= (patience->limit_ms - wanted_ms + FALL_DIVISOR - 1) / FALL_DIVISOR;
}

void
patience_missed (patience_t *patience, int64_t limit_ms)
{
  /* Several calls of one limit may miss together.  */
  if (limit_ms >= patience->limit_ms)
    patience->limit_ms = MIN (limit_ms * 2, patience->most_ms);
}
