#include "load_play.h"
#include "test.h"

#include <stdio.h>

/* Share by which durations differ from what a load says.  */
#define UNEVEN 0.15
#define TRAFFIC_MS 45000
#define FINISH_MS 15000

typedef struct
{
  const char *name;
  const char *file;
  uint32_t workers; /* 0: as in the file */
  double rate;      /* factor for the rates of patterns */
  uint32_t callers; /* calls for advice that can be made at once */
  uint32_t plays;
} size_case_t;

static const size_case_t cases[] = {
  { "as much as the fleet can do", "tests/loads/wide-gangs.load", 0, 1.0, 20,
    10 },
  { "more than that", "tests/loads/wide-gangs.load", 0, 1.15, 20, 10 },
  { "far more than that", "tests/loads/wide-gangs.load", 0, 1.3, 20, 10 },
  { "only processors are short", "tests/loads/processor-gangs.load", 0, 1.5,
    20, 5 },
  { "a recorded day", "tests/loads/recorded.load", 151, 0.0, 48, 2 },
  { "the same with fewer workers", "tests/loads/recorded.load", 140, 0.0, 48,
    2 },
  { "the same with as few workers as at its worst",
    "tests/loads/recorded.load", 127, 0.0, 48, 2 },
};

/* Whether the jobs of SIZE are served at least half as often as all of their
   kind, which is what callers were promised.  */
static bool
is_served (const load_result_t results[LOAD_SIZES], load_size_t size)
{
  uint64_t jobs = 0;
  uint64_t served = 0;
  for (int i = 0; i < LOAD_SIZES; i++)
    {
      jobs += results[i].jobs;
      served += results[i].in_time + results[i].late;
    }
  uint64_t of_size = results[size].in_time + results[size].late;
  return 2 * of_size * jobs >= served * results[size].jobs;
}

static load_t *
read_load (const size_case_t *row, uint32_t seed)
{
  char *text = NULL;
  load_t *load = NULL;
  if (g_file_get_contents (row->file, &text, NULL, NULL))
    load = load_parse (text, NULL);
  g_free (text);
  if (load == NULL)
    return NULL;
  load_draw (load, seed, TRAFFIC_MS, row->rate);
  if (row->workers > 0)
    load->workers = row->workers;
  return load;
}

/* The largest share of the room of LOAD that one gang needs.  */
static double
largest_gang_share (const load_t *load)
{
  double largest = 0.0;
  resource_t room = { load->capacity.cpu_millis * load->workers,
                      load->capacity.memory_mib * load->workers,
                      load->capacity.accelerators * load->workers };
  for (guint i = 0; i < load->jobs->len; i++)
    {
      const load_job_t *job = &g_array_index (load->jobs, load_job_t, i);
      resource_t need = { job->need.cpu_millis * job->tasks,
                          job->need.memory_mib * job->tasks,
                          job->need.accelerators * job->tasks };
      if (load_kind_of (load, job)->gang)
        largest = MAX (largest, resource_dominant_share (need, room));
    }
  return largest;
}

/* Plays one load; says which sizes are not served.  */
static void
play (const size_case_t *row, uint32_t seed)
{
  load_t *load = read_load (row, seed);
  if (load == NULL)
    {
      CU_FAIL ("the load cannot be read");
      return;
    }
  const load_play_options_t options = { .seed = seed,
                                        .callers = row->callers,
                                        .finish_ms = FINISH_MS,
                                        .uneven = UNEVEN };
  load_result_t results[LOAD_MAX_KINDS][LOAD_SIZES] = { 0 };
  int64_t *ended_ms = g_new0 (int64_t, load->jobs->len);
  load_play_stats_t stats = load_play (load, &options, ended_ms);
  /* Room is kept for no further gang once a third is.  */
  CU_ASSERT_TRUE (stats.most_kept_share
                  <= 1.0 / 3.0 + largest_gang_share (load));
  load_results (load, ended_ms, results);
  for (guint kind = 0; kind < load->kinds->len; kind++)
    for (load_size_t size = LOAD_LARGEST_TENTH; size <= LOAD_NEXT_FIFTH;
         size++)
      {
        const load_result_t *result = &results[kind][size];
        bool served = is_served (results[kind], size);
        if (!served)
          printf ("\n  %s, seed %u: of the %s of kind %s %u of %u are served",
                  row->name, seed,
                  size == LOAD_LARGEST_TENTH ? "largest tenth"
                                             : "fifth below it",
                  g_array_index (load->kinds, load_kind_t, kind).name,
                  result->in_time + result->late, result->jobs);
        CU_ASSERT_TRUE (served);
      }
  g_free (ended_ms);
  load_free (load);
}

/* Guards against large jobs that are hardly served while the others of their
   kind are.  */
static void
test_large_jobs (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    for (uint32_t j = 0; j < cases[i].plays; j++)
      play (&cases[i], test_seed () + j);
}

static CU_TestInfo size_tests[] = {
  { "large jobs beside a full fleet", test_large_jobs },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_sizes_suites[] = {
  { "sizes", NULL, NULL, NULL, NULL, size_tests },
  CU_SUITE_INFO_NULL,
};
