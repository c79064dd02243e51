#ifndef MAGNOLIADOCK_RATELIMIT_H
#define MAGNOLIADOCK_RATELIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* NAME
     ratelimit - token bucket

   Limits how many requests of a team count as urgent.  The caller passes the
   time, so that one clock reading serves several buckets.  */

typedef struct
{
  double tokens_per_s;
  double burst; /* maximum number of tokens */
  double tokens;
  int64_t last_ms;
} ratelimit_t;

/* Sets up a full bucket.  */
void ratelimit_init (ratelimit_t *limit, double per_s, double burst,
                     int64_t now_ms);

/* Changes the rate and keeps the tokens in the bucket, up to BURST.  */
void ratelimit_change (ratelimit_t *limit, double per_s, double burst,
                       int64_t now_ms);

/* Takes one token; returns false if there is none.  */
bool ratelimit_take (ratelimit_t *limit, int64_t now_ms);

#endif
