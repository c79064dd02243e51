#include "test.h"

#include "outlier.h"

#define GROUP 12

typedef struct
{
  unsigned ejected, reinstated;
  outlier_reason_t last;
} changes_t;

static void
count_change (void *context, uint32_t index, outlier_reason_t reason)
{
  changes_t *changes = context;
  if (reason == OUTLIER_NONE)
    changes->reinstated++;
  else
    {
      changes->ejected++;
      changes->last = reason;
    }
}

/* Guards against not ejecting a bad server, against ejecting a good one, and
   against ejecting more than a third when many or all are bad.  */
static void
test_review (void)
{
  static const struct
  {
    unsigned bad;          /* servers, of 12 */
    unsigned bad_failures; /* of 20 attempts */
    double bad_latency_ms;
    outlier_result_t failure;
    unsigned ejected;
    outlier_reason_t reason;
  } cases[] = {
    { 0, 0, 10.0, OUTLIER_FAILED, 0, OUTLIER_NONE },
    { 1, 19, 10.0, OUTLIER_FAILED, 1, OUTLIER_ERRORS },
    { 1, 2, 10.0, OUTLIER_FAILED, 0, OUTLIER_NONE },
    { 1, 0, 500.0, OUTLIER_FAILED, 1, OUTLIER_LATENCY },
    { 1, 0, 30.0, OUTLIER_FAILED, 0, OUTLIER_NONE },
    { 2, 20, 10.0, OUTLIER_CONNECT_FAILED, 2, OUTLIER_CONNECT },
    { 5, 20, 10.0, OUTLIER_FAILED, 4, OUTLIER_ERRORS },
    { 12, 20, 10.0, OUTLIER_FAILED, 0, OUTLIER_NONE },
    { 12, 20, 10.0, OUTLIER_CONNECT_FAILED, 4, OUTLIER_CONNECT },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      outlier_t group[GROUP] = { 0 };
      outlier_t *servers[GROUP];
      for (unsigned p = 0; p < GROUP; p++)
        {
          servers[p] = &group[p];
          bool bad = p < cases[i].bad;
          for (unsigned k = 0; k < 20; k++)
            if (bad && k < cases[i].bad_failures)
              outlier_record (&group[p], cases[i].failure, 1.0);
            else
              outlier_record (&group[p], OUTLIER_OK,
                              bad ? cases[i].bad_latency_ms : 10.0);
        }
      changes_t changes = { 0, 0, OUTLIER_NONE };
      outlier_review (servers, GROUP, 1000, count_change, &changes);
      CU_ASSERT_EQUAL (changes.ejected, cases[i].ejected);
      CU_ASSERT_EQUAL (changes.last, cases[i].reason);
      unsigned ejected = 0;
      for (unsigned p = 0; p < GROUP; p++)
        ejected += group[p].ejected;
      CU_ASSERT_EQUAL (ejected, cases[i].ejected);
    }
}

/* Guards against probing a dead server too often and against leaving a
   recovered one ejected.  */
static void
test_probes (void)
{
  outlier_t server = { 0 };
  CU_ASSERT_FALSE (outlier_record (&server, OUTLIER_CONNECT_FAILED, 1.0));
  CU_ASSERT_FALSE (outlier_record (&server, OUTLIER_CONNECT_FAILED, 1.0));
  CU_ASSERT_TRUE (outlier_record (&server, OUTLIER_CONNECT_FAILED, 1.0));
  CU_ASSERT_FALSE (outlier_eject (&server, 0, 2, 0));
  CU_ASSERT_TRUE (outlier_eject (&server, 0, 3, 0));
  int64_t now_ms = 0, last_ms = 0;
  unsigned probes = 0;
  for (; now_ms < 600000; now_ms += 100)
    {
      if (!outlier_probe_due (&server, now_ms))
        continue;
      CU_ASSERT (probes == 0 || now_ms - last_ms <= 61000);
      last_ms = now_ms;
      probes++;
      outlier_probe_started (&server);
      CU_ASSERT_FALSE (outlier_probe_due (&server, now_ms));
      outlier_probe_ended (&server, false, now_ms);
    }
  CU_ASSERT (probes >= 10 && probes <= 20);
  now_ms += 61000;
  CU_ASSERT_TRUE (outlier_probe_due (&server, now_ms));
  outlier_probe_started (&server);
  outlier_probe_ended (&server, true, now_ms);
  CU_ASSERT_FALSE (server.ejected);
  CU_ASSERT_EQUAL (server.connect_failures, 0);
}

/* Guards against more than a third staying ejected after the group shrank.  */
static void
test_shrinking_group (void)
{
  outlier_t group[6] = { 0 };
  outlier_t *servers[6];
  for (unsigned p = 0; p < 6; p++)
    servers[p] = &group[p];
  CU_ASSERT_TRUE (outlier_eject (&group[0], 0, 6, 0));
  CU_ASSERT_TRUE (outlier_eject (&group[1], 1, 6, 0));
  changes_t changes = { 0, 0, OUTLIER_NONE };
  outlier_review (servers, 3, 1000, count_change, &changes);
  CU_ASSERT_EQUAL (changes.reinstated, 1);
  outlier_review (servers, 2, 2000, count_change, &changes);
  CU_ASSERT_EQUAL (changes.reinstated, 2);
}

static CU_TestInfo outlier_tests[] = {
  { "review", test_review },
  { "probes", test_probes },
  { "shrinking group", test_shrinking_group },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_outlier_suites[] = {
  { "outlier", NULL, NULL, NULL, NULL, outlier_tests },
  CU_SUITE_INFO_NULL,
};
