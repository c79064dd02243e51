#ifndef MAGNOLIADOCK_RATELIMIT_H
#define MAGNOLIADOCK_RATELIMIT_H

#include <stdbool.h>
#include <stdint.h>

/* NAME
     ratelimit - token bucket

   Used for the urgent marks of a team and for repeated log lines.  The
   caller passes the time, so that one clock reading serves several buckets. */

typedef struct
{
  double per_s;
  double burst; /* most tokens that are kept */
  double tokens;
  int64_t last_ms;
} ratelimit_t;

/* Sets up a full bucket.  */
void ratelimit_init (ratelimit_t *limit, double per_s, double burst,
                     int64_t now_ms);

/* Changes the rate and keeps what is in the bucket, up to BURST.  */
void ratelimit_change (ratelimit_t *limit, double per_s, double burst,
                       int64_t now_ms);

/* Takes one token if there is one.  */
bool ratelimit_take (ratelimit_t *limit, int64_t now_ms);

#endif
