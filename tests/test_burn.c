#include "test.h"

#include "burn.h"

#include <stdio.h>

#define NOW_MS ((int64_t)1764831600000) /* a whole hour */

static const doc_objective_t objective = {
  .availability = 0.99,
  .latency_ms = 100,
  .latency_share = 0.99,
  .wait_ms = 10,
  .wait_share = 0.9,
  .window_days = 30,
};

/* Adds 100 requests a minute, BAD of them unanswered, from FROM_MIN to TO_MIN
   minutes ago.  */
static void
add_requests (burn_t *burn, int64_t from_min, int64_t to_min, uint32_t bad)
{
  burn_count_t count = { .total = 100, .bad = { bad, 0, 0 } };
  for (int64_t ago_min = from_min; ago_min >= to_min; ago_min--)
    burn_add (burn, "a", NOW_MS / 60000 - ago_min, &count);
}

/* Guards against faults that raise no alarm, and against alarms on single
   errors and on faults that have ended.  */
static void
test_levels (void)
{
  static const struct
  {
    const char *what;
    int64_t from_min, to_min; /* ago */
    uint32_t bad;             /* percent */
    burn_level_t level;
  } rows[] = {
    { "no bad requests", 0, 0, 0, BURN_OK },
    { "total failure for 10 minutes", 9, 0, 100, BURN_PAGE },
    { "a minute of failure an hour ago", 60, 60, 100, BURN_OK },
    { "failure that ended 10 minutes ago", 60, 10, 100, BURN_PAGE },
    { "failure that ended 40 minutes ago", 90, 40, 100, BURN_TICKET },
    { "rate 7 for 6 hours", 359, 0, 7, BURN_PAGE },
    { "rate 2 for 3 days", 4319, 0, 2, BURN_TICKET },
    { "rate 2 for one hour", 59, 0, 2, BURN_OK },
    { "rate 2 that ended 7 hours ago", 4319, 420, 2, BURN_OK },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      burn_t *burn = burn_new ();
      for (int64_t ago_min = 4319; ago_min >= 0; ago_min--)
        {
          bool inside
              = ago_min <= rows[i].from_min && ago_min >= rows[i].to_min;
          add_requests (burn, ago_min, ago_min, inside ? rows[i].bad : 0);
        }
      burn_status_t status;
      burn_status (burn, "a", &objective, BURN_AVAILABILITY, NOW_MS, &status);
      CU_ASSERT_EQUAL (status.level, rows[i].level);
      if (status.level != rows[i].level)
        printf ("%s: %s\n", rows[i].what, burn_level_name (status.level));
      burn_free (burn);
    }
}

/* Guards against requests that count against the wrong objective.  */
static void
test_classification (void)
{
  static const struct
  {
    bool answered;
    int64_t latency_ms, wait_ms;
    uint64_t bad[BURN_KIND_COUNT];
  } rows[] = {
    { true, 100, 10, { 0, 0, 0 } },
    { true, 101, 10, { 0, 1, 0 } },
    { true, 1, 11, { 0, 0, 1 } },
    { false, 1, 1, { 1, 1, 0 } },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      burn_t *burn = burn_new ();
      burn_count (burn, "a", &objective, NOW_MS, rows[i].answered,
                  rows[i].latency_ms, rows[i].wait_ms);
      for (unsigned kind = 0; kind < BURN_KIND_COUNT; kind++)
        {
          burn_status_t status;
          burn_status (burn, "a", &objective, (burn_kind_t)kind, NOW_MS,
                       &status);
          CU_ASSERT_EQUAL (status.total, 1);
          CU_ASSERT_EQUAL (status.bad, rows[i].bad[kind]);
        }
      burn_free (burn);
    }
}

/* Guards against counts that are lost or counted twice when the rows of
   several entries are merged.  */
static void
test_merge (void)
{
  burn_t *all = burn_new (), *merged = burn_new ();
  for (unsigned entry = 0; entry < 3; entry++)
    {
      burn_t *one = burn_new ();
      add_requests (one, 90, 0, entry);
      add_requests (all, 90, 0, entry);
      for (int64_t hour = NOW_MS / 3600000 - 2; hour <= NOW_MS / 3600000;
           hour++)
        {
          json_t *row = burn_hour_row (one, hour);
          CU_ASSERT (row == NULL || burn_merge (merged, row));
          json_decref (row);
        }
      burn_free (one);
    }
  burn_status_t expected, status;
  burn_status (all, "a", &objective, BURN_AVAILABILITY, NOW_MS, &expected);
  burn_status (merged, "a", &objective, BURN_AVAILABILITY, NOW_MS, &status);
  CU_ASSERT_EQUAL (status.bad, expected.bad);
  CU_ASSERT_EQUAL (status.level, expected.level);
  for (unsigned i = 0; i < BURN_WINDOW_COUNT; i++)
    CU_ASSERT_DOUBLE_EQUAL (status.burn_rates[i], expected.burn_rates[i],
                            1e-9);
  CU_ASSERT_EQUAL (status.total, 3 * 91 * 100);
  /* The total row keeps the sums of the objective's window.  */
  json_t *total = burn_total_row (all);
  burn_t *hours = burn_new ();
  CU_ASSERT (burn_merge (hours, total));
  burn_status (hours, "a", &objective, BURN_AVAILABILITY, NOW_MS, &status);
  CU_ASSERT_EQUAL (status.total, expected.total);
  CU_ASSERT_EQUAL (status.bad, expected.bad);
  json_decref (total);
  burn_free (hours);
  burn_free (merged);
  burn_free (all);
}

/* Guards against malformed rows of which a part is added.  */
static void
test_malformed_rows (void)
{
  static const char *const rows[] = {
    "{}",
    "[]",
    "{\"h\":1}",
    "{\"h\":-1,\"m\":{}}",
    "{\"h\":1,\"m\":{\"a\":[[0,5,0,0,0],[60,1,0,0,0]]}}",
    "{\"h\":1,\"m\":{\"a\":[[0,5,0,0,0],[1,1,2,0,0]]}}",
    "{\"h\":{\"a\":[[1,5,0,0]]}}",
    "{\"h\":{\"a\":5}}",
    "{\"h\":{\"a\":[[1,5,0,0,\"x\"]]}}",
  };
  burn_t *burn = burn_new ();
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      json_t *row = json_loads (rows[i], 0, NULL);
      CU_ASSERT_FALSE (burn_merge (burn, row));
      json_decref (row);
    }
  json_t *left = burn_total_row (burn);
  CU_ASSERT_EQUAL (json_object_size (json_object_get (left, "h")), 0);
  json_decref (left);
  burn_free (burn);
}

static CU_TestInfo burn_tests[] = {
  { "alarm levels", test_levels },
  { "classification", test_classification },
  { "merge of entries", test_merge },
  { "malformed rows", test_malformed_rows },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_burn_suites[] = {
  { "burn", NULL, NULL, NULL, NULL, burn_tests },
  CU_SUITE_INFO_NULL,
};
