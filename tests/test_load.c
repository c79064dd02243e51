#include "load.h"
#include "load_play.h"
#include "test.h"

#include <stdio.h>
#include <string.h>

#define HEAD                                                                  \
  "workers 2 1000 1000 8\n"                                                   \
  "kind gang 1 2 1000 0 0 1 1\n"                                              \
  "kind small 2 4 3000 0 0 1 0\n"

/* Guards against loads that are read otherwise than they are written: a wrong
   one is refused with its line.  */
static void
test_parse (void)
{
  static const struct
  {
    const char *name;
    const char *text;
    const char *message; /* part of the error; NULL: it can be read */
    uint32_t jobs;
  } cases[] = {
    { "jobs and comments",
      HEAD "# none\n\njob 0 gang 2 1 1 8 100 90 # a gang\n"
           "job 5 small 1 1 1 1 100 90\n",
      NULL, 2 },
    { "no fleet", "kind gang 1 2 1000 0 0 1 1\n", "workers", 0 },
    { "an unknown entry", HEAD "task 1\n", "line 4", 0 },
    { "a kind that is not named before", HEAD "job 0 other 2 1 1 8 100 90\n",
      "line 4", 0 },
    { "a field too few", HEAD "job 0 gang 2 1 1 8 100\n", "line 4", 0 },
    { "a field too many", HEAD "job 0 gang 2 1 1 8 100 90 1\n", "line 4", 0 },
    { "no number", HEAD "job 0 gang two 1 1 8 100 90\n", "line 4", 0 },
    { "no tasks", HEAD "job 0 gang 0 1 1 8 100 90\n", "line 4", 0 },
    { "jobs out of order",
      HEAD "job 9 gang 1 1 1 8 100 90\njob 0 gang 1 1 1 8 100 90\n", "line 5",
      0 },
    { "a list with a gap", HEAD "pattern gang 1 2 3 1 1 2,,4 100 200\n",
      "line 4", 0 },
    { "a pattern", HEAD "pattern gang 1 2 3 1 1 2,4 100 200\n", NULL, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GError *error = NULL;
      load_t *load = load_parse (cases[i].text, &error);
      bool ok = cases[i].message == NULL
                    ? load != NULL && load->jobs->len == cases[i].jobs
                    : load == NULL
                          && strstr (error->message, cases[i].message) != NULL;
      if (!ok)
        printf ("\n  %s\n", cases[i].name);
      CU_ASSERT_TRUE (ok);
      g_clear_error (&error);
      load_free (load);
    }
}

/* Guards against drawn loads that differ between runs with one seed, or miss
   the means of their pattern.  */
static void
test_draw (void)
{
  const char *text = HEAD "pattern small 20 5 50 1 1 1,3 100 1000\n";
  load_t *load = load_parse (text, NULL);
  load_t *same = load_parse (text, NULL);
  double tasks = 0.0;
  load_draw (load, 7, 100000, 1.0);
  load_draw (same, 7, 100000, 1.0);
  CU_ASSERT_EQUAL_FATAL (load->jobs->len, same->jobs->len);
  CU_ASSERT_EQUAL (memcmp (load->jobs->data, same->jobs->data,
                           load->jobs->len * sizeof (load_job_t)),
                   0);
  CU_ASSERT_TRUE (load->jobs->len > 1800 && load->jobs->len < 2200);
  for (guint i = 0; i < load->jobs->len; i++)
    {
      const load_job_t *job = &g_array_index (load->jobs, load_job_t, i);
      tasks += job->tasks;
      CU_ASSERT_TRUE (job->need.accelerators == 1
                      || job->need.accelerators == 3);
      CU_ASSERT_TRUE (job->task_ms <= 1000);
      CU_ASSERT_TRUE (i == 0
                      || g_array_index (load->jobs, load_job_t, i - 1).at_ms
                             <= job->at_ms);
    }
  tasks /= load->jobs->len;
  CU_ASSERT_TRUE (tasks > 4.5 && tasks < 5.5);
  load_free (load);
  load_free (same);
}

/* Guards against sizes that are not those by which callers judge.  */
static void
test_sizes (void)
{
  GString *text = g_string_new (HEAD);
  load_size_t sizes[20];
  uint32_t counts[LOAD_SIZES] = { 0 };
  for (int i = 0; i < 10; i++)
    g_string_append_printf (text, "job %d gang 1 1 1 8 %d 100\n", i,
                            100 * (i + 1));
  for (int i = 0; i < 10; i++)
    g_string_append_printf (text, "job 100 small %d 1 1 1 100 100\n", 10 - i);
  load_t *load = load_parse (text->str, NULL);
  load_sizes (load, sizes);
  for (int i = 0; i < 20; i++)
    counts[sizes[i]]++;
  CU_ASSERT_EQUAL (counts[LOAD_LARGEST_TENTH], 2);
  CU_ASSERT_EQUAL (counts[LOAD_NEXT_FIFTH], 4);
  CU_ASSERT_EQUAL (sizes[9], LOAD_LARGEST_TENTH);
  CU_ASSERT_EQUAL (sizes[8], LOAD_NEXT_FIFTH);
  CU_ASSERT_EQUAL (sizes[7], LOAD_NEXT_FIFTH);
  CU_ASSERT_EQUAL (sizes[10], LOAD_LARGEST_TENTH);
  load_free (load);
  g_string_free (text, TRUE);
}

static bool
allow_all (const load_t *load, uint32_t job, uint32_t worker)
{
  return true;
}

static bool
allow_first (const load_t *load, uint32_t job, uint32_t worker)
{
  return worker == 0;
}

/* Guards against a bound or a packing that claims more than the fleet can do,
   or less.  Objectives are 2 * 1000 + 1000 ms for gangs of 1000 ms.  */
static void
test_pack (void)
{
  static const struct
  {
    const char *name;
    const char *jobs;
    bool (*allowed) (const load_t *load, uint32_t job, uint32_t worker);
    double work_in_time, work_late;
    uint32_t in_time, late; /* of the jobs of kind "gang" */
  } cases[] = {
    { "room for all", "job 0 gang 2 1 1 8 1000 1000\n", allow_all, 1.0, 1.0, 1,
      0 },
    { "twice the work that fits until the objective",
      "job 0 gang 2 1 1 8 1000 1000\njob 0 gang 2 1 1 8 1000 1000\n"
      "job 0 gang 2 1 1 8 1000 1000\njob 0 gang 2 1 1 8 1000 1000\n"
      "job 0 gang 2 1 1 8 1000 1000\njob 0 gang 2 1 1 8 1000 1000\n",
      allow_all, 0.5, 1.0, 3, 3 },
    { "tasks that need more than half of a worker",
      "job 0 gang 3 1 501 1 1000 1000\njob 0 gang 3 1 501 1 1000 1000\n"
      "job 0 gang 2 1 501 1 1000 1000\njob 0 gang 2 1 501 1 1000 1000\n",
      allow_all, 0.6, 1.0, 2, 0 },
    { "a gang that needs more workers than it may use",
      "job 0 gang 2 1 1 8 1000 1000\n", allow_first, 1.0, 1.0, 0, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t ended_ms[8] = { 0 };
      load_result_t results[LOAD_MAX_KINDS][LOAD_SIZES] = { 0 };
      load_result_t all = { 0 };
      char *text = g_strconcat (HEAD, cases[i].jobs, NULL);
      load_t *load = load_parse (text, NULL);
      load_bound_t bound = load_bound (load);
      load_pack (load, cases[i].allowed, ended_ms);
      load_results (load, ended_ms, results);
      for (int size = 0; size < LOAD_SIZES; size++)
        {
          all.in_time += results[0][size].in_time;
          all.late += results[0][size].late;
        }
      bool ok = bound.work_in_time > cases[i].work_in_time - 0.01
                && bound.work_in_time < cases[i].work_in_time + 0.01
                && bound.work_late > cases[i].work_late - 0.01
                && bound.work_late < cases[i].work_late + 0.01
                && all.in_time == cases[i].in_time
                && all.late == cases[i].late;
      if (!ok)
        printf ("\n  %s: work %.2f in time, %.2f late; jobs %u, %u\n",
                cases[i].name, bound.work_in_time, bound.work_late,
                all.in_time, all.late);
      CU_ASSERT_TRUE (ok);
      load_free (load);
      g_free (text);
    }
}

/* Guards against a simulated site on which jobs end too early, or not at all
   where there is room for all of them.  */
static void
test_play (void)
{
  const load_play_options_t options
      = { .seed = 1, .callers = 10, .finish_ms = 5000 };
  int64_t ended_ms[3];
  load_t *load = load_parse (HEAD "job 0 gang 2 1 1 8 1000 1000\n"
                                  "job 2000 small 8 1 1 1 1500 1000\n"
                                  "job 4000 gang 3 1 1 8 100 100\n",
                             NULL);
  load_play (load, &options, ended_ms);
  CU_ASSERT_TRUE (ended_ms[0] >= 1000 && ended_ms[0] < 1200);
  CU_ASSERT_TRUE (ended_ms[1] >= 3500 && ended_ms[1] < 3700);
  CU_ASSERT_EQUAL (ended_ms[2], 0);
  load_free (load);
}

/* Guards against a size of job that starves unseen by operators: gangs that
   are too wide for their fleet beside others that are served.  */
static void
test_starving (void)
{
  const load_play_options_t options
      = { .seed = 1, .callers = 10, .finish_ms = 5000 };
  for (uint32_t wide = 1; wide <= 3; wide += 2)
    {
      GString *text = g_string_new (HEAD);
      for (int i = 0; i < 120; i++)
        g_string_append_printf (text, "job %d gang %u 1 1 8 100 100\n",
                                500 * i, i % 10 == 9 ? wide : 1);
      load_t *load = load_parse (text->str, NULL);
      int64_t *ended_ms = g_new0 (int64_t, load->jobs->len);
      load_play_stats_t stats = load_play (load, &options, ended_ms);
      /* A gang of three does not fit; its size is told each 5 s.  */
      CU_ASSERT_EQUAL (stats.starving > 0, wide == 3);
      g_free (ended_ms);
      load_free (load);
      g_string_free (text, TRUE);
    }
}

static CU_TestInfo load_tests[] = {
  { "reading", test_parse },
  { "drawing", test_draw },
  { "sizes", test_sizes },
  { "bound and packing", test_pack },
  { "simulated site", test_play },
  { "a size that starves", test_starving },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_load_suites[] = {
  { "load", NULL, NULL, NULL, NULL, load_tests },
  CU_SUITE_INFO_NULL,
};
