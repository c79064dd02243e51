#ifndef MAGNOLIADOCK_RETRY_H
#define MAGNOLIADOCK_RETRY_H

#include "error.h"

#include <stdbool.h>
#include <stdint.h>

/* NAME
     retry - what may be sent again, how often and how soon  */

/* Sends of one request to a process or entry, the first included.  */
#define RETRY_MAX_ATTEMPTS 4

/* Budget shared by the requests of one service: each first attempt earns
   PERCENT / 100 of a retry, so that a failing service sees at most that much
   additional load.  */
typedef struct
{
  double tokens;
  double per_request;
} retry_budget_t;

void retry_budget_init (retry_budget_t *budget, uint32_t percent);
void retry_budget_earn (retry_budget_t *budget);
/* Takes one retry; returns false if the budget is used up.  */
bool retry_budget_take (retry_budget_t *budget);

/* One failed attempt.  */
typedef struct
{
  bool idempotent;
  bool replayable;     /* the whole request body is still kept */
  bool answer_started; /* the caller has got the first byte of the answer */
  uint32_t attempts;   /* made so far */
  err_kind_t kind;
  outcome_t outcome; /* of this attempt */
} retry_case_t;

/* Returns whether the request may be sent again, budget and deadline apart.
   A non-idempotent request may only if it certainly did not start.  */
bool retry_allowed (const retry_case_t *failed);

/* Returns the pause before attempt number ATTEMPTS + 1, drawn evenly from 0 to
   a bound that doubles; RANDOM is any 32-bit random number.  */
int64_t retry_backoff_ms (uint32_t attempts, uint32_t random);

/* Returns what is known of a request after one more attempt: it ran if any
   attempt ran, and it did not run only if none did.  */
outcome_t retry_combine (outcome_t so_far, outcome_t attempt);

#endif
