#include "blame.h"
#include "test.h"

#include <string.h>

#define MAX_RUNS 3

/* Runs on a crashed worker and the verdict on each.  */
static const struct
{
  const char *guards_against;
  blame_run_t runs[MAX_RUNS];
  uint32_t count;
  bool common_cause;
  blame_verdict_t verdicts[MAX_RUNS];
} cases[] = {
  { "a task that is given up after one crash, alone on its worker",
    { { "a", { 0, 0, 0 }, 10, false, false } },
    1,
    false,
    { BLAME_SUSPECT } },
  { "blame for a run that had gone well beside a new one",
    { { "a", { 0, 0, 0 }, 10, false, false },
      { "b", { 0, 0, 0 }, 4000, false, false } },
    2,
    false,
    { BLAME_SUSPECT, BLAME_BYSTANDER } },
  { "a choice between runs that started together",
    { { "a", { 0, 0, 0 }, 10, false, false },
      { "b", { 0, 0, 0 }, 300, false, false } },
    2,
    false,
    { BLAME_SUSPECT, BLAME_SUSPECT } },
  { "a suspect that crashes a second worker and goes on",
    { { "a", { 1, 1, 1 }, 10, false, false },
      { "b", { 0, 0, 0 }, 900, false, false } },
    2,
    false,
    { BLAME_CULPRIT, BLAME_BYSTANDER } },
  { "blame for a suspect that has survived its time apart",
    { { "a", { 1, 1, 1 }, 900, false, false },
      { "b", { 0, 0, 0 }, 10, false, false } },
    2,
    false,
    { BLAME_BYSTANDER, BLAME_SUSPECT } },
  { "certainty about two suspects of different jobs",
    { { "a", { 1, 1, 1 }, 10, false, false },
      { "b", { 1, 1, 1 }, 10, false, false } },
    2,
    false,
    { BLAME_SUSPECT, BLAME_SUSPECT } },
  { "doubt about two suspects of one job, which fails in any case",
    { { "a", { 1, 1, 1 }, 10, false, false },
      { "a", { 1, 1, 1 }, 10, false, false } },
    2,
    false,
    { BLAME_CULPRIT, BLAME_CULPRIT } },
  { "a suspect that is given up because its rack lost power",
    { { "a", { 1, 1, 1 }, 10, false, false } },
    1,
    true,
    { BLAME_UNRELATED } },
  { "a task that crashes late and hides behind new runs",
    { { "a", { 0, 2, 2 }, 3000, false, false },
      { "b", { 0, 0, 0 }, 10, false, false } },
    2,
    false,
    { BLAME_CULPRIT, BLAME_BYSTANDER } },
  { "a run of unknown age that is taken for an old one",
    { { "a", { 0, 0, 0 }, -1, false, false },
      { "b", { 0, 0, 0 }, 4000, false, false } },
    2,
    false,
    { BLAME_SUSPECT, BLAME_BYSTANDER } },
  { "certainty about a suspect that perhaps never started",
    { { "a", { 1, 1, 1 }, -1, false, false },
      { "b", { 0, 0, 0 }, 4000, false, false } },
    2,
    false,
    { BLAME_SUSPECT, BLAME_BYSTANDER } },
  { "certainty about a suspect that had perhaps ended",
    { { "a", { 1, 1, 1 }, 10, false, true } },
    1,
    false,
    { BLAME_SUSPECT } },
  { "a lasting task that is blamed for a crash after a long time",
    { { "a", { 1, 1, 1 }, 60000, true, false } },
    1,
    false,
    { BLAME_NONE } },
  { "a task with an end that is cleared however long it runs",
    { { "a", { 0, 0, 0 }, 60000, false, false } },
    1,
    false,
    { BLAME_SUSPECT } },
};

static void
test_verdicts (void)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      blame_verdict_t verdicts[MAX_RUNS];
      blame_judge (cases[i].runs, cases[i].count, cases[i].common_cause,
                   verdicts);
      for (uint32_t j = 0; j < cases[i].count; j++)
        CU_ASSERT_EQUAL (verdicts[j], cases[i].verdicts[j]);
    }
}

/* Guards against a task that is never given up, whatever the verdicts: every
   sequence of them ends within five losses, and a first crash never ends it.
 */
static void
test_limit (void)
{
  for (uint32_t sequence = 0; sequence < 4 * 4 * 4 * 4 * 4; sequence++)
    {
      blame_history_t history = { 0 };
      uint32_t digits = sequence;
      uint32_t losses = 0;
      bool given_up = false;
      while (!given_up && losses < 6)
        {
          given_up = blame_add (
              &history, (blame_verdict_t)(BLAME_UNRELATED + digits % 4));
          digits /= 4;
          losses++;
        }
      CU_ASSERT_TRUE (given_up);
      CU_ASSERT_TRUE (losses >= 2 && losses <= 5);
    }
}

/* Guards against losses that are taken for unrelated, or for related ones.  */
static void
test_common_cause (void)
{
  static const struct
  {
    blame_loss_t losses[4]; /* worker, rack, job, from, to */
    uint32_t count;
    uint32_t others_in_rack; /* workers 2, 3, ... */
    bool common;
  } rows[] = {
    { { { 1, 1, 0, 1000, 1000 } }, 1, 1, false },
    { { { 1, 1, 0, 1000, 1000 }, { 2, 1, 0, 1200, 1200 } }, 2, 1, true },
    /* Not the whole rack.  */
    { { { 1, 1, 0, 1000, 1000 }, { 2, 1, 0, 1200, 1200 } }, 2, 2, false },
    /* The other was lost, and is not known any more.  */
    { { { 1, 1, 0, 1000, 1000 }, { 2, 1, 0, 1200, 1200 } }, 2, 0, true },
    { { { 1, 1, 0, 1000, 1000 }, { 1, 1, 0, 1200, 1200 } }, 2, 1, false },
    { { { 1, 1, 0, 1000, 1000 }, { 2, 1, 0, 200, 4000 } }, 2, 1, true },
    { { { 1, 1, 7, 1000, 1000 }, { 2, 1, 8, 1000, 1000 } }, 2, 1, true },
    /* One job may have crashed both.  */
    { { { 1, 1, 7, 1000, 1000 }, { 2, 1, 7, 1000, 1000 } }, 2, 1, false },
    { { { 1, 1, 0, 1000, 1000 }, { 2, 2, 0, 1200, 1200 } }, 2, 1, false },
    { { { 1, 1, 0, 1000, 1000 }, { 2, 2, 0, 1010, 1010 } }, 2, 1, false },
    { { { 1, 1, 0, 1000, 1000 },
        { 2, 2, 0, 1010, 1010 },
        { 3, 3, 0, 990, 990 } },
      3,
      1,
      true },
    /* Two that were lost some time since this owner began.  */
    { { { 1, 1, 0, 1000, 1000 },
        { 2, 2, 0, 200, 1500 },
        { 3, 3, 0, 200, 1500 } },
      3,
      1,
      false },
    { { { 1, 1, 0, 200, 1500 },
        { 2, 2, 0, 200, 1500 },
        { 3, 3, 0, 200, 1500 } },
      3,
      1,
      false },
    /* Many in a small cell, whose times are not known well.  */
    { { { 1, 1, 0, 200, 1500 },
        { 2, 2, 0, 200, 1500 },
        { 3, 3, 0, 200, 1500 },
        { 4, 4, 0, 200, 1500 } },
      4,
      1,
      true },
    /* The same worker twice.  */
    { { { 1, 1, 0, 1000, 1000 },
        { 2, 2, 0, 1010, 1010 },
        { 2, 2, 0, 1000, 1000 } },
      3,
      1,
      false },
    { { { 1, 1, 0, 1000, 1000 },
        { 2, 1, 0, 2000, 2000 },
        { 3, 3, 0, 900, 900 } },
      3,
      1,
      false },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      static const uint32_t rack[] = { 2, 3, 4 };
      const blame_others_t others = { rack, rows[i].others_in_rack, 8 };
      CU_ASSERT_EQUAL (blame_common_cause (rows[i].losses, rows[i].count,
                                           &rows[i].losses[0], &others),
                       rows[i].common);
    }
}

static CU_TestInfo blame_tests[] = {
  { "verdicts on the runs of a crashed worker", test_verdicts },
  { "every task is given up in the end", test_limit },
  { "losses with a common cause", test_common_cause },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_blame_suites[] = {
  { "blame", NULL, NULL, NULL, NULL, blame_tests },
  CU_SUITE_INFO_NULL,
};
