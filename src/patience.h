#ifndef MAGNOLIADOCK_PATIENCE_H
#define MAGNOLIADOCK_PATIENCE_H

#include <stdint.h>

/* NAME
     patience - how long to wait for an answer before the call is repeated

   Follows the times that answers take, so that a lost answer costs little
   while the other side is quick, and a slow one is not flooded with repeats.
 */

typedef struct
{
  int64_t least_ms;
  int64_t most_ms;
  int64_t limit_ms;
  int64_t usual_ms; /* what answers took lately; misses do not raise it */
} patience_t;

void patience_init (patience_t *patience, int64_t least_ms, int64_t most_ms);
/* An answer came after TOOK_MS.  */
void patience_answered (patience_t *patience, int64_t took_ms);
/* None came within the limit that a call was given.  */
void patience_missed (patience_t *patience, int64_t limit_ms);

#endif
