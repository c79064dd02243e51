#include "retry.h"

#include <glib.h>

/* A service with few requests, which earn few tokens, may still retry some
   failures.  */
#define BUDGET_START_TOKENS 10.0
#define BUDGET_MAX_TOKENS 100.0

#define FIRST_BACKOFF_MS 10
#define MAX_BACKOFF_MS 500

void
retry_budget_init (retry_budget_t *budget, uint32_t percent)
{
  budget->tokens = BUDGET_START_TOKENS;
  budget->tokens_per_request = percent / 100.0;
}

void
retry_budget_earn (retry_budget_t *budget)
{
  budget->tokens
      = MIN (BUDGET_MAX_TOKENS, budget->tokens + budget->tokens_per_request);
}

bool
retry_budget_take (retry_budget_t *budget)
{
  if (budget->tokens < 1.0)
    return false;
  budget->tokens -= 1.0;
  return true;
}

bool
retry_is_broken (err_kind_t kind, outcome_t outcome)
{
  return outcome != OUTCOME_NOT_RUN
         && (kind == ERR_CONNECTION_LOST || kind == ERR_ANSWER_CUT);
}

bool
retry_allowed (const retry_failure_t *failed)
{
  if (failed->answer_started || failed->attempts >= RETRY_MAX_ATTEMPTS
      || failed->broken >= RETRY_MAX_BROKEN
      || !err_info (failed->kind)->retryable)
    return false;
  /* No byte of the request was sent, so its body is still complete.  */
  if (failed->kind == ERR_CONNECT_FAILED && failed->outcome == OUTCOME_NOT_RUN)
    return true;
  return failed->replayable
         && (failed->idempotent || failed->outcome == OUTCOME_NOT_RUN);
}

int64_t
retry_backoff_ms (uint32_t attempts, uint32_t random)
{
  uint32_t doublings = MIN (attempts > 0 ? attempts - 1 : 0, 8);
  int64_t bound_ms = MIN (FIRST_BACKOFF_MS << doublings, MAX_BACKOFF_MS);
  return random % (bound_ms + 1);
}

outcome_t
retry_combine_outcomes (outcome_t so_far, outcome_t attempt)
{
  if (so_far == OUTCOME_RAN || attempt == OUTCOME_RAN)
    return OUTCOME_RAN;
  if (so_far == OUTCOME_UNKNOWN || attempt == OUTCOME_UNKNOWN)
    return OUTCOME_UNKNOWN;
  return OUTCOME_NOT_RUN;
}
