#include "test.h"

#include "ratelimit.h"
#include "retry.h"

/* Guards against sending a non-idempotent request again that may have run, or
   any request whose body is no longer kept or whose answer has started.  */
static void
test_allowed (void)
{
  static const struct
  {
    retry_failure_t failed;
    bool allowed;
  } cases[] = {
    /* idempotent, replayable, answer_started, attempts, broken, kind, outcome
     */
    { { true, true, false, 1, 0, ERR_CONNECT_FAILED, OUTCOME_NOT_RUN }, true },
    { { true, true, false, 1, 0, ERR_CONNECTION_LOST, OUTCOME_UNKNOWN },
      true },
    { { true, true, false, 1, 0, ERR_TIMEOUT, OUTCOME_UNKNOWN }, true },
    { { true, true, false, 1, 0, ERR_ANSWER_CUT, OUTCOME_RAN }, true },
    { { true, true, true, 1, 0, ERR_ANSWER_CUT, OUTCOME_RAN }, false },
    { { true, false, false, 1, 0, ERR_CONNECTION_LOST, OUTCOME_UNKNOWN },
      false },
    { { true, false, false, 1, 0, ERR_CONNECT_FAILED, OUTCOME_NOT_RUN },
      true },
    { { true, false, false, 1, 0, ERR_CONNECT_FAILED, OUTCOME_UNKNOWN },
      false },
    { { true, true, false, 4, 0, ERR_CONNECT_FAILED, OUTCOME_NOT_RUN },
      false },
    { { true, true, false, 1, 0, ERR_CANCELLED, OUTCOME_UNKNOWN }, false },
    { { true, true, false, 1, 0, ERR_INTERNAL, OUTCOME_UNKNOWN }, false },
    { { false, true, false, 1, 0, ERR_CONNECT_FAILED, OUTCOME_NOT_RUN },
      true },
    { { false, true, false, 1, 0, ERR_CONNECT_FAILED, OUTCOME_UNKNOWN },
      false },
    { { false, true, false, 1, 0, ERR_CONNECTION_LOST, OUTCOME_UNKNOWN },
      false },
    { { false, true, false, 1, 0, ERR_CONNECTION_LOST, OUTCOME_NOT_RUN },
      true },
    { { false, true, false, 1, 0, ERR_ANSWER_CUT, OUTCOME_RAN }, false },
    { { false, true, false, 1, 0, ERR_TIMEOUT, OUTCOME_UNKNOWN }, false },
    { { false, false, false, 1, 0, ERR_NO_CAPACITY, OUTCOME_NOT_RUN }, false },
    { { false, true, false, 1, 0, ERR_NO_CAPACITY, OUTCOME_NOT_RUN }, true },
    { { false, true, false, 1, 0, ERR_DEADLINE, OUTCOME_NOT_RUN }, false },
    /* It may be the request that crashes its servers.  */
    { { true, true, false, 2, 1, ERR_CONNECTION_LOST, OUTCOME_UNKNOWN },
      true },
    { { true, true, false, 2, 2, ERR_CONNECTION_LOST, OUTCOME_UNKNOWN },
      false },
    { { true, true, false, 3, 2, ERR_CONNECT_FAILED, OUTCOME_NOT_RUN },
      false },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    CU_ASSERT_EQUAL (retry_allowed (&cases[i].failed), cases[i].allowed);
}

/* Guards against reporting "not-run" although an attempt may have run.  */
static void
test_combine (void)
{
  static const struct
  {
    outcome_t so_far, attempt, both;
  } cases[] = {
    { OUTCOME_NOT_RUN, OUTCOME_NOT_RUN, OUTCOME_NOT_RUN },
    { OUTCOME_NOT_RUN, OUTCOME_UNKNOWN, OUTCOME_UNKNOWN },
    { OUTCOME_UNKNOWN, OUTCOME_NOT_RUN, OUTCOME_UNKNOWN },
    { OUTCOME_UNKNOWN, OUTCOME_RAN, OUTCOME_RAN },
    { OUTCOME_RAN, OUTCOME_NOT_RUN, OUTCOME_RAN },
    { OUTCOME_RAN, OUTCOME_UNKNOWN, OUTCOME_RAN },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    CU_ASSERT_EQUAL (
        retry_combine_outcomes (cases[i].so_far, cases[i].attempt),
        cases[i].both);
}

/* Guards against more retries than a tenth of the requests when all fail.  */
static void
test_budget (void)
{
  retry_budget_t budget;
  retry_budget_init (&budget, 10);
  unsigned retries = 0;
  for (unsigned i = 0; i < 10000; i++)
    {
      retry_budget_earn (&budget);
      retries += retry_budget_take (&budget);
    }
  CU_ASSERT (retries <= 1000 + 10);
  CU_ASSERT (retries >= 1000);
}

/* Guards against pauses without an upper bound or without randomness.  */
static void
test_backoff (void)
{
  for (uint32_t attempts = 0; attempts < 40; attempts++)
    {
      CU_ASSERT_EQUAL (retry_backoff_ms (attempts, 0), 0);
      CU_ASSERT (retry_backoff_ms (attempts, 123456789) <= 500);
    }
  CU_ASSERT (retry_backoff_ms (1, 10) <= 10);
  CU_ASSERT (retry_backoff_ms (3, 40) > retry_backoff_ms (3, 1));
}

/* Guards against more tokens than rate and burst allow.  */
static void
test_ratelimit (void)
{
  ratelimit_t limit;
  ratelimit_init (&limit, 10.0, 5.0, 1000);
  unsigned taken = 0;
  for (int64_t now_ms = 1000; now_ms < 11000; now_ms += 5)
    taken += ratelimit_take (&limit, now_ms);
  CU_ASSERT (taken <= 5 + 100);
  CU_ASSERT (taken >= 100);
  ratelimit_change (&limit, 0.0, 1.0, 20000);
  CU_ASSERT_TRUE (ratelimit_take (&limit, 20000));
  CU_ASSERT_FALSE (ratelimit_take (&limit, 90000));
}

static CU_TestInfo retry_tests[] = {
  { "what may be sent again", test_allowed },
  { "outcomes of several attempts", test_combine },
  { "budget", test_budget },
  { "backoff", test_backoff },
  { "token bucket", test_ratelimit },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_retry_suites[] = {
  { "retry", NULL, NULL, NULL, NULL, retry_tests },
  CU_SUITE_INFO_NULL,
};
