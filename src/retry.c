#include "retry.h"

#include <glib.h>

/* A quiet service may still retry a handful of failures at once.  */
#define BUDGET_START 10.0
#define BUDGET_MAX 100.0

#define BACKOFF_FIRST_MS 10
#define BACKOFF_MAX_MS 500

void
retry_budget_init (retry_budget_t *budget, uint32_t percent)
{
  budget->tokens = BUDGET_START;
  budget->per_request = percent / 100.0;
}

void
retry_budget_earn (retry_budget_t *budget)
{
  budget->tokens = MIN (BUDGET_MAX, budget->tokens + budget->per_request);
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
retry_allowed (const retry_case_t *failed)
{
  if (failed->answer_started || failed->attempts >= RETRY_MAX_ATTEMPTS
      || !err_info (failed->kind)->retryable)
    return false;
  /* No byte has left, so the body is whole wherever it is kept.  */
  if (failed->kind == ERR_CONNECT_FAILED && failed->outcome == OUTCOME_NOT_RUN)
    return true;
  return failed->replayable
         && (failed->idempotent || failed->outcome == OUTCOME_NOT_RUN);
}

int64_t
retry_backoff_ms (uint32_t attempts, uint32_t random)
{
  uint32_t doublings = MIN (attempts > 0 ? attempts - 1 : 0, 8);
  int64_t bound_ms = MIN (BACKOFF_FIRST_MS << doublings, BACKOFF_MAX_MS);
  return random % (bound_ms + 1);
}

outcome_t
retry_combine (outcome_t so_far, outcome_t attempt)
{
  if (so_far == OUTCOME_RAN || attempt == OUTCOME_RAN)
    return OUTCOME_RAN;
  if (so_far == OUTCOME_UNKNOWN || attempt == OUTCOME_UNKNOWN)
    return OUTCOME_UNKNOWN;
  return OUTCOME_NOT_RUN;
}
