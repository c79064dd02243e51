#include "test.h"

#include "outcome.h"

#include <string.h>

#define RETENTION_MS 1000
#define CAPACITY 1000

static outcome_seen_t
run_step (outcome_table_t *table, char step, int64_t *now_ms,
          outcome_seen_t seen, outcome_record_t *got)
{
  outcome_key_t key = { 7, 9 };
  outcome_record_t sent = { OUTCOME_RAN, ERR_OK, 201 };
  switch (step)
    {
    case 'b':
      return outcome_begin (table, key, *now_ms, got);
    case 'q':
      return outcome_query (table, key, *now_ms, got);
    case 'e':
      outcome_end (table, key, *now_ms, sent);
      break;
    case 'f':
      outcome_remove (table, key);
      break;
    default:
      *now_ms += RETENTION_MS;
      break;
    }
  return seen;
}

/* Guards against a repeated or late request that runs although its key is in
   flight, ended or barred.  Each step is the first letter of begin, end,
   forget (outcome_remove), query or wait (for RETENTION_MS).  */
static void
test_sequences (void)
{
  static const struct
  {
    const char *steps;
    outcome_seen_t last;
  } cases[] = {
    { "b", OUTCOME_SEEN_NEVER },       { "bb", OUTCOME_SEEN_IN_FLIGHT },
    { "bq", OUTCOME_SEEN_IN_FLIGHT },  { "beb", OUTCOME_SEEN_ENDED },
    { "beq", OUTCOME_SEEN_ENDED },     { "bewb", OUTCOME_SEEN_NEVER },
    { "bwb", OUTCOME_SEEN_IN_FLIGHT }, { "bfb", OUTCOME_SEEN_NEVER },
    { "befb", OUTCOME_SEEN_NEVER },    { "qb", OUTCOME_SEEN_BARRED },
    { "qq", OUTCOME_SEEN_BARRED },     { "qeb", OUTCOME_SEEN_BARRED },
    { "qwb", OUTCOME_SEEN_NEVER },     { "bfbeb", OUTCOME_SEEN_ENDED },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      outcome_table_t *table = outcome_table_new (RETENTION_MS, CAPACITY);
      outcome_record_t got = { OUTCOME_NOT_RUN, ERR_OK, 0 };
      outcome_seen_t seen = OUTCOME_TABLE_FULL;
      int64_t now_ms = 0;
      for (const char *step = cases[i].steps; *step != '\0'; step++)
        seen = run_step (table, *step, &now_ms, seen, &got);
      CU_ASSERT_EQUAL (seen, cases[i].last);
      if (seen == OUTCOME_SEEN_ENDED)
        {
          CU_ASSERT_EQUAL (got.outcome, OUTCOME_RAN);
          CU_ASSERT_EQUAL (got.status, 201);
        }
      outcome_table_free (table);
    }
}

/* Guards against a full table that drops an outcome too early, and against one
   that never accepts a key again.  */
static void
test_full (void)
{
  outcome_table_t *table = outcome_table_new (RETENTION_MS, CAPACITY);
  outcome_record_t sent = { OUTCOME_RAN, ERR_OK, 200 };
  for (uint64_t id = 0; id < 2 * CAPACITY; id++)
    {
      outcome_key_t key = { 1, id };
      CU_ASSERT_EQUAL (outcome_begin (table, key, 0, NULL),
                       id < CAPACITY ? OUTCOME_SEEN_NEVER
                                     : OUTCOME_TABLE_FULL);
      outcome_end (table, key, 0, sent);
    }
  for (uint64_t id = 0; id < CAPACITY; id++)
    {
      outcome_key_t key = { 1, id };
      CU_ASSERT_EQUAL (outcome_begin (table, key, RETENTION_MS - 1, NULL),
                       OUTCOME_SEEN_ENDED);
    }
  outcome_expire (table, RETENTION_MS);
  CU_ASSERT_EQUAL (outcome_count (table), 0);
  outcome_key_t key = { 1, 2 * CAPACITY };
  CU_ASSERT_EQUAL (outcome_begin (table, key, RETENTION_MS, NULL),
                   OUTCOME_SEEN_NEVER);
  outcome_table_free (table);
}

/* Guards against two callers that chose the same id and get each other's
   outcome.  */
static void
test_keys (void)
{
  outcome_key_t keys[] = { outcome_caller_key ("a", "b", "c"),
                           outcome_caller_key ("ab", "", "c"),
                           outcome_caller_key ("", "ab", "c"),
                           outcome_caller_key ("a", "", "bc"),
                           outcome_caller_key ("b", "a", "c") };
  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    for (size_t k = 0; k < i; k++)
      CU_ASSERT (memcmp (&keys[i], &keys[k], sizeof keys[i]) != 0);
}

static CU_TestInfo outcome_tests[] = {
  { "sequences", test_sequences },
  { "full table", test_full },
  { "caller keys", test_keys },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_outcome_suites[] = {
  { "outcome", NULL, NULL, NULL, NULL, outcome_tests },
  CU_SUITE_INFO_NULL,
};
