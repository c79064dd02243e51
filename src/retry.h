#ifndef MAGNOLIADOCK_RETRY_H
#define MAGNOLIADOCK_RETRY_H

#include "error.h"

#include <stdbool.h>
#include <stdint.h>

/* NAME
     retry - which requests may be sent again, how often and how soon  */

/* Maximum number of times that one request is sent to a backend server or
   handed over to an entry, including the first time.  */
#define RETRY_MAX_ATTEMPTS 4

/* A request under which that many backend servers have broken the connection
   while it may have run is not sent to another one: it may be what crashes
   them.  */
#define RETRY_MAX_BROKEN 2

/* Retry budget shared by the requests of one service.  Each request earns
   PERCENT / 100 of a retry, so that a failing service gets at most that much
   additional load in the long run.  */
typedef struct
{
  double tokens; /* one for each retry that may be made now */
  double tokens_per_request;
} retry_budget_t;

void retry_budget_init (retry_budget_t *budget, uint32_t percent);
void retry_budget_earn (retry_budget_t *budget);
/* Takes one retry from the budget; returns false if it is used up.  */
bool retry_budget_take (retry_budget_t *budget);

/* One failed attempt.  */
typedef struct
{
  bool idempotent;
  bool replayable;     /* the whole request body is still kept */
  bool answer_started; /* the caller has received part of the answer */
  uint32_t attempts;   /* made so far, including this one */
  uint32_t broken;     /* of these, see retry_is_broken */
  err_kind_t kind;
  outcome_t outcome; /* of this attempt */
} retry_failure_t;

/* Returns whether the request may be sent again; budget and deadline are not
   checked.  A non-idempotent request may be sent again only if it certainly
   did not run.  */
bool retry_allowed (const retry_failure_t *failed);

/* Returns whether an attempt that ended with KIND and OUTCOME may have crashed
   its backend server.  */
bool retry_is_broken (err_kind_t kind, outcome_t outcome);

/* Returns the pause before attempt number ATTEMPTS + 1: uniformly distributed
   from 0 to a bound that doubles with each attempt up to a maximum.  RANDOM is
   any 32-bit random number.  */
int64_t retry_backoff_ms (uint32_t attempts, uint32_t random);

/* Returns the outcome of a request after one more attempt: it ran if any
   attempt ran, and it did not run only if no attempt did.  */
outcome_t retry_combine_outcomes (outcome_t so_far, outcome_t attempt);

#endif
