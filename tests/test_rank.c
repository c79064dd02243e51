#include "rank.h"
#include "test.h"

#include <glib.h>

/* Guards against an objective that counts less than the job's owner grants:
   the call for advice of each step on the longest chain, not of the others. */
static void
test_chain (void)
{
  static const uint32_t after_first[] = { 0 };
  const rank_step_t steps[] = {
    { NULL, 0, 500 },
    { after_first, 1, 300 },
    { after_first, 1, 900 },
  };
  CU_ASSERT_EQUAL (rank_longest_chain_ms (steps, 3, 40.0), 1480);
  CU_ASSERT_EQUAL (rank_chain_ms (steps, 3, 1, 40.0), 340);
  CU_ASSERT_EQUAL (rank_chain_ms (steps, 3, 2, 0.0), 900);
  CU_ASSERT_EQUAL (rank_objective_ms (1.5, 1480, 250), 2470);
}

/* Guards against estimates taken as the duration of a wide step: its longest
   task takes longer, which finished steps show.  */
static void
test_longest_task (void)
{
  rank_durations_t durations;
  rank_durations_init (&durations);
  CU_ASSERT_EQUAL (rank_longest_ms (&durations, 1, 1000), 1000);
  for (int i = 0; i < 200; i++)
    rank_durations_add (&durations, 10, 1000, 1600);
  int64_t learnt_ms = rank_longest_ms (&durations, 10, 1000);
  CU_ASSERT_TRUE (ABS (learnt_ms - 1600) < 50);
  CU_ASSERT_TRUE (rank_longest_ms (&durations, 50, 1000) > learnt_ms);
  /* A task on a worker that stood still says little about the others.  */
  rank_durations_add (&durations, 10, 1000, 90000);
  CU_ASSERT_TRUE (rank_longest_ms (&durations, 10, 1000) < 1700);
  /* Steps of one task, and those not seen to the end, say nothing.  */
  rank_durations_t before = durations;
  rank_durations_add (&durations, 1, 1000, 2000);
  rank_durations_add (&durations, 10, 1000, 0);
  rank_durations_add (&durations, 10, 0, 500);
  CU_ASSERT_DOUBLE_EQUAL (before.growth, durations.growth, 0.0);
  CU_ASSERT_DOUBLE_EQUAL (before.weight, durations.weight, 0.0);
}

/* Guards against objectives that are impossible since the step does not fit
   into its part of the room at once.  */
static void
test_waves (void)
{
  CU_ASSERT_EQUAL (rank_waves (0.0), 1);
  CU_ASSERT_EQUAL (rank_waves (0.25), 1);
  CU_ASSERT_EQUAL (rank_waves (0.26), 2);
  CU_ASSERT_EQUAL (rank_waves (1.0), 4);
}

/* Guards against a wrong tier: age of the job at which a step with 1 s left of
   an objective of 4 s still has to start.  */
static void
test_tiers (void)
{
  static const struct
  {
    int64_t age_ms;
    rank_tier_t tier;
  } cases[] = {
    { 0, RANK_ON_TIME },      { 2600, RANK_ON_TIME }, { 2601, RANK_AT_RISK },
    { 3000, RANK_AT_RISK },   { 3001, RANK_LATE },    { 11000, RANK_LATE },
    { 11001, RANK_TOO_LATE },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    CU_ASSERT_EQUAL (
        rank_of_step (0, 100, 4000, 1000, 100 + cases[i].age_ms).tier,
        cases[i].tier);
}

/* Guards against batch work that takes the room of a burst of urgent steps,
   and against urgent steps that are late anyway and hold up those in time.
   Load pattern: urgent and batch steps wait at once.  */
static void
test_order (void)
{
  rank_t urgent = rank_of_step (0, 0, 1000, 500, 100);
  rank_t urgent_late = rank_of_step (0, 0, 1000, 500, 900);
  rank_t batch = rank_of_step (2, 0, 20000, 5000, 1000);
  rank_t batch_due = rank_of_step (2, 0, 20000, 5000, 12500);
  rank_t lasting = rank_without_objective (1, 0, 5000);
  rank_t restart = rank_of_restart (7, 0, 10);
  rank_t batch_alone = batch;
  rank_defer (&batch, 0, 20000);
  rank_defer (&batch_due, 0, 20000);
  rank_defer (&batch_alone, 2, 20000);
  CU_ASSERT_EQUAL (batch.tier, RANK_CAN_WAIT);
  CU_ASSERT_EQUAL (batch_due.tier, RANK_ON_TIME);
  CU_ASSERT_EQUAL (batch_alone.tier, RANK_ON_TIME);
  CU_ASSERT_TRUE (rank_compare (&restart, &urgent) < 0);
  CU_ASSERT_TRUE (rank_compare (&urgent, &lasting) < 0);
  CU_ASSERT_TRUE (rank_compare (&lasting, &batch_due) < 0);
  CU_ASSERT_TRUE (rank_compare (&batch_due, &urgent_late) < 0);
  CU_ASSERT_TRUE (rank_compare (&urgent_late, &batch) < 0);
  CU_ASSERT_EQUAL (rank_compare (&urgent, &urgent), 0);
}

/* Guards against a size of job that fares worse and stays behind, and against
   its favour going beyond its queue.  Load pattern: more work than room, wide
   steps beside narrow ones.  */
static void
test_favour (void)
{
  rank_t narrow = rank_of_step (1, 0, 10000, 5000, 4000);
  rank_t wide = rank_of_step (1, 0, 10000, 5000, 2000);
  rank_t wide_late = rank_of_step (1, 0, 10000, 5000, 6000);
  rank_t urgent = rank_of_step (0, 0, 10000, 5000, 2000);
  rank_t deferred = wide;
  CU_ASSERT_TRUE (rank_compare (&narrow, &wide) < 0);
  wide.favoured = wide_late.favoured = true;
  CU_ASSERT_TRUE (rank_compare (&wide, &narrow) < 0);
  CU_ASSERT_TRUE (rank_compare (&narrow, &wide_late) < 0);
  CU_ASSERT_TRUE (rank_compare (&urgent, &wide) < 0);
  rank_defer (&deferred, 0, 10000);
  rank_defer (&wide, 0, 10000);
  CU_ASSERT_EQUAL (deferred.tier, RANK_CAN_WAIT);
  CU_ASSERT_EQUAL (wide.tier, RANK_ON_TIME);
}

static CU_TestInfo rank_tests[] = {
  { "longest chain of steps", test_chain },
  { "duration of the longest task", test_longest_task },
  { "steps that run in waves", test_waves },
  { "tier by the time that is left", test_tiers },
  { "order of urgent, batch and lasting steps", test_order },
  { "sizes that fare worse", test_favour },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_rank_suites[] = {
  { "rank", NULL, NULL, NULL, NULL, rank_tests },
  CU_SUITE_INFO_NULL,
};
