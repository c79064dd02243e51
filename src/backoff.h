#ifndef MAGNOLIADOCK_BACKOFF_H
#define MAGNOLIADOCK_BACKOFF_H

#include <stdint.h>

/* NAME
     backoff - growing pauses between attempts that keep failing  */

/* Returns the pause after FAILURES failures in a row, at least 1: FIRST_MS,
   and twice as long after each further one, up to MAX_MS.  */
int64_t backoff_ms (uint32_t failures, int64_t first_ms, int64_t max_ms);

#endif
