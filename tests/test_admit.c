#include "test.h"

#include "admit.h"

#include <glib.h>

#define ITEMS 4000

static const char *const policy_names[] = { "fair", "strict", "fifo" };

static admit_t *
new_admit (const char *policy, uint32_t limit)
{
  admit_settings_t settings = { policy, { 50, 35, 15 }, limit };
  admit_t *admit = admit_new (&settings);
  CU_ASSERT_PTR_NOT_NULL_FATAL (admit);
  return admit;
}

static void
push (admit_t *admit, admit_item_t *item, class_t class, uint32_t team)
{
  *item = (admit_item_t){ .class = class, .team = team };
  CU_ASSERT_TRUE (admit_push (admit, item));
}

/* Guards against a class that takes the share of another one, and against an
   unused share that no other class gets.  For each 100 items served, every
   class queues the given number of new ones.  */
static void
test_shares (void)
{
  static const struct
  {
    const char *policy;
    unsigned offered[CLASS_COUNT];    /* per 100 served */
    unsigned min_served[CLASS_COUNT]; /* of each 100 served */
  } cases[] = {
    { "fair", { 1000, 1000, 1000 }, { 50, 35, 15 } },
    { "fair", { 1000, 25, 10 }, { 65, 25, 10 } },
    { "fair", { 30, 25, 1000 }, { 30, 25, 45 } },
    { "fair", { 0, 1000, 1000 }, { 0, 85, 15 } },
    { "fair", { 45, 1000, 10 }, { 45, 45, 10 } },
    { "strict", { 1000, 25, 10 }, { 100, 0, 0 } },
    { "strict", { 30, 25, 1000 }, { 30, 25, 45 } },
    { "fifo", { 30, 25, 945 }, { 2, 2, 90 } },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      admit_t *admit = new_admit (cases[i].policy, 100000);
      admit_item_t *items = g_new (admit_item_t, 100 * 3000);
      unsigned used = 0, served[CLASS_COUNT] = { 0 };
      double due[CLASS_COUNT] = { 0 };
      for (unsigned k = 0; k < 100 * 50; k++)
        {
          for (int c = 0; c < CLASS_COUNT; c++)
            for (due[c] += cases[i].offered[c] / 100.0; due[c] >= 1.0;
                 due[c] -= 1.0)
              push (admit, &items[used++], (class_t)c, 0);
          admit_item_t *item = admit_pop (admit, k, ADMIT_NO_RESERVE, 0);
          if (item != NULL)
            served[item->class]++;
        }
      for (int c = 0; c < CLASS_COUNT; c++)
        CU_ASSERT (served[c] >= cases[i].min_served[c] * 50 * 0.97 - 2);
      g_free (items);
      admit_free (admit);
    }
}

/* Guards against a team that takes the share of the other teams of its class,
   and against weights that are not applied.  */
static void
test_teams (void)
{
  admit_t *admit = new_admit ("fair", ITEMS);
  admit_set_team_weight (admit, 2, 3);
  admit_item_t *items = g_new (admit_item_t, 3 * ITEMS);
  for (unsigned k = 0; k < ITEMS; k++)
    push (admit, &items[k], CLASS_BULK, 1);
  for (unsigned k = 0; k < ITEMS / 2; k++)
    {
      push (admit, &items[ITEMS + 2 * k], CLASS_BULK, 2);
      push (admit, &items[ITEMS + 2 * k + 1], CLASS_BULK, 3);
    }
  unsigned served[4] = { 0 };
  for (unsigned k = 0; k < 1000; k++)
    served[admit_pop (admit, 0, ADMIT_NO_RESERVE, 0)->team]++;
  CU_ASSERT (served[1] >= 190 && served[1] <= 210);
  CU_ASSERT (served[2] >= 590 && served[2] <= 610);
  CU_ASSERT (served[3] >= 190 && served[3] <= 210);
  g_free (items);
  admit_free (admit);
}

/* Guards against lost or duplicated items, wrong counts and unbounded queues
   under random pushes, pops, removals and changes of policy.  */
static void
test_random_operations (void)
{
  GRand *random = g_rand_new_with_seed (test_seed ());
  admit_t *admit = new_admit ("fair", 64);
  admit_item_t *items = g_new0 (admit_item_t, ITEMS);
  uint32_t queued = 0;
  for (unsigned k = 0; k < 100000; k++)
    {
      admit_item_t *item = &items[g_rand_int_range (random, 0, ITEMS)];
      uint32_t what = g_rand_int_range (random, 0, 100);
      if (what == 0)
        {
          admit_settings_t settings = {
            policy_names[g_rand_int_range (random, 0, 3)], { 50, 35, 15 }, 64
          };
          CU_ASSERT_TRUE (admit_configure (admit, &settings));
        }
      else if (what < 40 && admit_pop (admit, k, ADMIT_NO_RESERVE, 0) != NULL)
        queued--;
      else if (what < 50 && item->queued)
        {
          admit_remove (admit, item);
          queued--;
        }
      else if (!item->queued)
        {
          item->class = (class_t)g_rand_int_range (random, 0, CLASS_COUNT);
          item->team = (uint32_t)g_rand_int_range (random, 0, 5);
          if (what < 60)
            admit_push_front (admit, item);
          queued += what < 60 || admit_push (admit, item);
        }
      if (admit_count (admit) != queued)
        break;
    }
  CU_ASSERT_EQUAL (admit_count (admit), queued);
  for (; admit_pop (admit, 0, ADMIT_NO_RESERVE, 0) != NULL; queued--)
    ;
  CU_ASSERT_EQUAL (queued, 0);
  for (unsigned k = 0; k < ITEMS; k++)
    CU_ASSERT_FALSE (items[k].queued);
  g_free (items);
  admit_free (admit);
  g_rand_free (random);
}

/* Guards against an estimate that ignores the items queued ahead.  */
static void
test_wait_estimate (void)
{
  static const struct
  {
    const char *policy;
    unsigned urgent, bulk; /* queued */
    class_t class;
    int64_t min_ms, max_ms;
  } cases[] = {
    /* 10 slots, held for 100 ms each, serve 100 items a second.  */
    { "fair", 0, 0, CLASS_URGENT, 0, 0 },
    { "fair", 100, 0, CLASS_URGENT, 1000, 2000 },
    { "fair", 0, 100, CLASS_URGENT, 0, 0 },
    { "fair", 1000, 15, CLASS_BULK, 150, 1000 },
    { "strict", 100, 100, CLASS_URGENT, 1000, 1000 },
    { "strict", 100, 100, CLASS_BULK, 2000, 2000 },
    { "fifo", 100, 100, CLASS_URGENT, 2000, 2000 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      admit_t *admit = new_admit (cases[i].policy, ITEMS);
      admit_item_t *items = g_new0 (admit_item_t, 2 * ITEMS);
      CU_ASSERT_EQUAL (admit_wait_ms (admit, CLASS_URGENT, 0, 10), -1);
      admit_record_hold (admit, CLASS_URGENT, 100.0);
      for (unsigned k = 0; k < cases[i].urgent; k++)
        push (admit, &items[k], CLASS_URGENT, 0);
      for (unsigned k = 0; k < cases[i].bulk; k++)
        push (admit, &items[ITEMS + k], CLASS_BULK, 0);
      int64_t wait_ms = admit_wait_ms (admit, cases[i].class, 0, 10);
      CU_ASSERT (wait_ms >= cases[i].min_ms && wait_ms <= cases[i].max_ms);
      g_free (items);
      admit_free (admit);
    }
  admit_settings_t unknown = { "lottery", { 0 }, 1 };
  CU_ASSERT_PTR_NULL (admit_new (&unknown));
}

static CU_TestInfo admit_tests[] = {
  { "shares of classes", test_shares },
  { "shares of teams", test_teams },
  { "random operations", test_random_operations },
  { "wait estimate", test_wait_estimate },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_admit_suites[] = {
  { "admit", NULL, NULL, NULL, NULL, admit_tests },
  CU_SUITE_INFO_NULL,
};
