#include "size_stats.h"
#include "test.h"

#include <glib.h>

/* Guards against sizes that do not follow the jobs of a queue as these grow.
 */
static void
test_classes (void)
{
  size_stats_t *stats = size_stats_new ();
  for (int i = 0; i < 10; i++)
    CU_ASSERT_EQUAL (size_stats_add (stats, 100.0), SIZE_OTHERS);
  CU_ASSERT_EQUAL (size_stats_add (stats, 101.0), SIZE_LARGEST_TENTH);
  for (int i = 0; i < 100; i++)
    size_stats_add (stats, (double)i);
  CU_ASSERT_EQUAL (size_stats_add (stats, 50.0), SIZE_OTHERS);
  CU_ASSERT_EQUAL (size_stats_add (stats, 85.0), SIZE_NEXT_FIFTH);
  CU_ASSERT_EQUAL (size_stats_add (stats, 200.0), SIZE_LARGEST_TENTH);
  for (uint32_t i = 0; i < SIZE_RECENT; i++)
    size_stats_add (stats, 1000.0);
  CU_ASSERT_EQUAL (size_stats_add (stats, 200.0), SIZE_OTHERS);
  size_stats_free (stats);
}

/* Guards against outcomes that are counted for another size or for ever.  */
static void
test_window (void)
{
  size_stats_t *stats = size_stats_new ();
  size_stats_judge (stats, SIZE_OTHERS, SIZE_IN_TIME, 1000);
  size_stats_judge (stats, SIZE_LARGEST_TENTH, SIZE_MISSED, 20000);
  size_counts_t others = size_stats_recent (stats, SIZE_OTHERS, 20000);
  size_counts_t all = size_stats_recent (stats, SIZE_CLASSES, 20000);
  CU_ASSERT_EQUAL (others.in_time, 1);
  CU_ASSERT_EQUAL (others.missed, 0);
  CU_ASSERT_EQUAL (all.in_time, 1);
  CU_ASSERT_EQUAL (all.missed, 1);
  all = size_stats_recent (stats, SIZE_CLASSES, 1000 + SIZE_WINDOW_MS);
  CU_ASSERT_EQUAL (all.in_time, 0);
  CU_ASSERT_EQUAL (all.missed, 1);
  size_stats_judge (stats, SIZE_OTHERS, SIZE_IN_TIME, 1000 + SIZE_WINDOW_MS);
  all = size_stats_recent (stats, SIZE_CLASSES, 1000 + SIZE_WINDOW_MS);
  CU_ASSERT_EQUAL (all.in_time, 1);
  size_stats_free (stats);
}

/* Guards against a size that starves unseen, and against an alarm where all
   sizes fare alike or too few jobs say so.  */
static void
test_starves (void)
{
  static const struct
  {
    size_counts_t part, all;
    bool starves;
  } cases[] = {
    { { 2, 0, 8 }, { 80, 0, 20 }, true },
    { { 2, 8, 0 }, { 80, 0, 20 }, true },
    { { 5, 0, 5 }, { 80, 0, 20 }, false },
    { { 0, 0, 4 }, { 80, 0, 20 }, false },
    { { 0, 0, 5 }, { 80, 0, 20 }, true },
    { { 1, 0, 9 }, { 10, 0, 90 }, false },
    { { 0, 0, 9 }, { 0, 0, 90 }, false },
    { { 40, 0, 0 }, { 80, 0, 20 }, false },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    CU_ASSERT_EQUAL (size_starves (cases[i].part, cases[i].all),
                     cases[i].starves);
}

/* Guards against sizes that go before others for what going first does not
   mend.  */
static void
test_fares_worse (void)
{
  static const struct
  {
    size_counts_t part, all;
    bool worse;
  } cases[] = {
    { { 9, 0, 1 }, { 95, 0, 5 }, true },
    { { 9, 1, 0 }, { 95, 0, 5 }, false },
    { { 0, 9, 0 }, { 95, 0, 5 }, false },
    { { 19, 0, 1 }, { 95, 0, 5 }, false },
    { { 0, 0, 0 }, { 95, 0, 5 }, false },
    { { 0, 0, 9 }, { 0, 0, 90 }, false },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    CU_ASSERT_EQUAL (size_fares_worse (cases[i].part, cases[i].all),
                     cases[i].worse);
}

static CU_TestInfo size_stats_tests[] = {
  { "classes", test_classes },
  { "window", test_window },
  { "starvation", test_starves },
  { "faring worse", test_fares_worse },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_size_stats_suites[] = {
  { "size stats", NULL, NULL, NULL, NULL, size_stats_tests },
  CU_SUITE_INFO_NULL,
};
