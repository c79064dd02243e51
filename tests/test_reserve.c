#include "fake_cell.h"
#include "test.h"

#include <stdio.h>
#include <string.h>

/* Room that is kept for waiting gangs, and the work that has to wait for it.
   Workers have 16 cores and 64,000 MB each, three a rack.  */

#define CORE 1000
#define MINUTE_MS 60000
/* Time that a start takes, with the pass, the save and the order.  */
#define START_MS 500

typedef struct
{
  uint32_t count;
  int64_t cpu_millis, memory_mib;
  int64_t work_ms; /* 0: lasts */
  const char *label;
} gang_t;

typedef struct
{
  const char *name;
  uint32_t workers;
  gang_t gangs[3];
  uint32_t more_copies; /* of the first gang */
  bool advice_fails;    /* the gangs' queue needs tickets and gets none */
  bool all_advised;     /* that queue gets tickets, and the stream uses it */
  /* A task of one core: how long it runs, -1: it lasts, 0: there is none, and
     how many times its estimate that is.  */
  int64_t blocker_ms;
  uint32_t blocker_factor;
  bool loses_workers; /* two, for good, just before the gangs */
  /* A steady stream of jobs with so many tasks of one core.  */
  int64_t every_ms;
  uint32_t tasks;
  int64_t work_ms;
  /* What has to hold.  */
  int64_t gang_within_ms;    /* the last gang starts; 0: none does */
  int64_t small_within_ms;   /* each job of the stream starts; 0: not promised,
                                since the gang leaves too little room */
  int64_t lasting_within_ms; /* a lasting task that is handed in 1 s after the
                                gangs starts; 0: there is none */
  bool misfit;               /* a gang does not fit, and is named */
  bool kept_long; /* room is kept for over a second, which is said */
} stream_case_t;

/* The bound for a step of the stream is 10 s where it may wait for a gang, and
   the time of a start where it must not.  */
#define KEPT_MS (10000 + START_MS)

static const stream_case_t cases[] = {
  {
      .name = "a gang in the way of a task that lasts",
      .workers = 8,
      .gangs = { { 8, 16 * CORE, 64, 0, NULL } },
      .blocker_ms = -1,
      .every_ms = 400,
      .tasks = 2,
      .work_ms = 500,
      .small_within_ms = START_MS,
      .lasting_within_ms = START_MS,
      .misfit = true,
  },
  {
      .name = "a gang that is too wide",
      .workers = 8,
      .gangs = { { 9, 16 * CORE, 64, 0, NULL } },
      .every_ms = 400,
      .tasks = 2,
      .work_ms = 500,
      .small_within_ms = START_MS,
      .lasting_within_ms = START_MS,
      .misfit = true,
  },
  {
      .name = "a gang with an end that is too wide",
      .workers = 8,
      .gangs = { { 9, 16 * CORE, 64, 2000, NULL } },
      .every_ms = 400,
      .tasks = 2,
      .work_ms = 500,
      .small_within_ms = START_MS,
      .lasting_within_ms = START_MS,
      .misfit = true,
  },
  {
      .name = "a gang for a label that no worker has",
      .workers = 8,
      .gangs = { { 2, 16 * CORE, 64, 0, "nowhere" } },
      .every_ms = 400,
      .tasks = 2,
      .work_ms = 500,
      .small_within_ms = START_MS,
      .lasting_within_ms = START_MS,
      .misfit = true,
  },
  {
      .name = "a gang that needs too much of one machine",
      .workers = 8,
      .gangs = { { 2, CORE, 70000, 0, NULL } },
      .every_ms = 400,
      .tasks = 2,
      .work_ms = 500,
      .small_within_ms = START_MS,
      .lasting_within_ms = START_MS,
      .misfit = true,
  },
  {
      .name = "a gang that gets no ticket",
      .workers = 8,
      .gangs = { { 7, 16 * CORE, 64, 0, NULL } },
      .advice_fails = true,
      .every_ms = 400,
      .tasks = 2,
      .work_ms = 500,
      .small_within_ms = START_MS,
      .lasting_within_ms = START_MS,
  },
  {
      .name = "a gang that waits for machines that have left",
      .workers = 8,
      .gangs = { { 7, 16 * CORE, 64, 0, NULL } },
      .blocker_ms = 60000,
      .blocker_factor = 1,
      .loses_workers = true,
      .every_ms = 400,
      .tasks = 2,
      .work_ms = 500,
      /* A lease passes for what was sent to the lost ones.  */
      .small_within_ms = 6650 + 2 * START_MS,
      .misfit = true,
  },
  {
      .name = "a gang that is too wide, before work that needs tickets",
      .workers = 8,
      .gangs = { { 9, 16 * CORE, 64, 0, NULL } },
      .more_copies = 2,
      .all_advised = true,
      .every_ms = 400,
      .tasks = 2,
      .work_ms = 500,
      .small_within_ms = START_MS,
      .lasting_within_ms = START_MS,
      .misfit = true,
  },
  {
      .name = "a gang in the way of lasting tasks, before work that needs "
              "tickets",
      .workers = 8,
      .gangs = { { 8, 16 * CORE, 64, 2000, NULL } },
      .all_advised = true,
      .blocker_ms = -1,
      .every_ms = 400,
      .tasks = 2,
      .work_ms = 500,
      .small_within_ms = START_MS,
      .lasting_within_ms = START_MS,
      .misfit = true,
  },
  {
      .name = "fifteen gangs that do not fit before one that does",
      .workers = 8,
      .gangs
      = { { 8, 16 * CORE, 64, 0, NULL }, { 3, 16 * CORE, 64, 0, NULL } },
      .more_copies = 14,
      .blocker_ms = -1,
      .every_ms = 400,
      .tasks = 2,
      .work_ms = 500,
      .gang_within_ms = 3000,
      .small_within_ms = 2000,
      .lasting_within_ms = START_MS,
      .misfit = true,
  },
  {
      .name = "a gang that needs nearly all workers, beside short work",
      .workers = 9,
      .gangs = { { 8, 16 * CORE, 64, 2000, NULL } },
      .every_ms = 100,
      .tasks = 4,
      .work_ms = 500,
      .gang_within_ms = 3000,
      .small_within_ms = KEPT_MS,
      .lasting_within_ms = 2500 + START_MS,
  },
  {
      .name = "the same, beside work of 5 s",
      .workers = 9,
      .gangs = { { 8, 16 * CORE, 64, 2000, NULL } },
      .every_ms = 400,
      .tasks = 2,
      .work_ms = 5000,
      .gang_within_ms = 12000,
      .small_within_ms = KEPT_MS,
      .lasting_within_ms = 2500 + START_MS,
      .kept_long = true,
  },
  {
      .name = "a gang that lasts, beside work of 5 s",
      .workers = 9,
      .gangs = { { 8, 16 * CORE, 64, 0, NULL } },
      .every_ms = 400,
      .tasks = 2,
      .work_ms = 5000,
      .gang_within_ms = 12000,
      .lasting_within_ms = MINUTE_MS,
      .kept_long = true,
  },
  {
      .name = "a gang that needs three workers, beside much work of 20 s",
      .workers = 9,
      .gangs = { { 3, 16 * CORE, 64, 0, NULL } },
      .every_ms = 2000,
      .tasks = 14,
      .work_ms = 20000,
      .gang_within_ms = 45000,
      .lasting_within_ms = MINUTE_MS,
      .kept_long = true,
  },
  {
      .name = "a gang that waits for a long task",
      .workers = 8,
      .gangs = { { 8, 16 * CORE, 64, 2000, NULL } },
      .blocker_ms = 40000,
      .blocker_factor = 1,
      .every_ms = 400,
      .tasks = 2,
      .work_ms = 500,
      .gang_within_ms = 42000,
      .small_within_ms = KEPT_MS,
      .kept_long = true,
  },
  {
      .name = "a gang that waits for a task much longer than expected",
      .workers = 8,
      .gangs = { { 8, 16 * CORE, 64, 2000, NULL } },
      .blocker_ms = 1000,
      .blocker_factor = 40,
      .every_ms = 400,
      .tasks = 2,
      .work_ms = 500,
      .gang_within_ms = MINUTE_MS,
      .small_within_ms = KEPT_MS,
      .kept_long = true,
  },
  {
      .name = "two gangs that need nearly all workers",
      .workers = 9,
      .gangs
      = { { 8, 16 * CORE, 64, 2000, NULL }, { 8, 16 * CORE, 64, 2000, NULL } },
      .every_ms = 400,
      .tasks = 2,
      .work_ms = 500,
      .gang_within_ms = 8000,
      .small_within_ms = KEPT_MS,
      .lasting_within_ms = 2500 + START_MS,
      .kept_long = true,
  },
};

static work_job_t *
job_new (const char *queue, uint32_t number, uint32_t count,
         int64_t cpu_millis, int64_t work_ms)
{
  char id[WORK_ID_LENGTH + 1];
  g_snprintf (id, sizeof id, "%016x", number);
  work_job_t *job = work_job_new (id, queue, 1);
  job->spec = g_strdup ("spec");
  job->steps[0].count = count;
  job->steps[0].need = (resource_t){ cpu_millis, 64, 0 };
  job->steps[0].estimate_ms = work_ms > 0 ? work_ms : 1000;
  job->steps[0].lasting = work_ms <= 0;
  return job;
}

static void
submit_gang (fake_cell_t *sim, uint32_t number, const gang_t *gang)
{
  work_job_t *job = job_new ("queue", number, gang->count, gang->cpu_millis,
                             gang->work_ms);
  job->accepted_ms = fake_cell_time_ms (sim);
  job->steps[0].need.memory_mib = gang->memory_mib;
  job->steps[0].gang = true;
  job->steps[0].label = g_strdup (gang->label);
  fake_cell_submit (sim, job);
}

/* When the first task of job NUMBER was started, 0: never.  */
static int64_t
started_ms (const fake_cell_t *sim, uint32_t number)
{
  char name[WORK_NAME_BYTES];
  g_snprintf (name, sizeof name, "%016x.0.0.0", number);
  return fake_cell_first_start_ms (sim, name);
}

/* Numbers of jobs: blocker, gangs, lasting task, stream.  */
enum
{
  BLOCKER = 1,
  FIRST_GANG = 10,
  LASTING = 100,
  FIRST_SMALL = 1000
};

static uint32_t
submit_gangs (fake_cell_t *sim, const stream_case_t *row)
{
  uint32_t gang = FIRST_GANG;
  for (uint32_t i = 0; i <= row->more_copies; i++)
    submit_gang (sim, gang++, &row->gangs[0]);
  for (uint32_t i = 1; row->gangs[i].count > 0; i++)
    submit_gang (sim, gang++, &row->gangs[i]);
  return gang - 1;
}

/* Longest time until a job of the stream has started, or until now for one
   that has not.  */
static int64_t
longest_wait_ms (const fake_cell_t *sim, const stream_case_t *row,
                 const int64_t *sent_ms, uint32_t count)
{
  int64_t longest_ms = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      int64_t at_ms = started_ms (sim, FIRST_SMALL + i);
      if (at_ms == 0)
        at_ms = fake_cell_time_ms (sim);
      longest_ms = MAX (longest_ms, at_ms - sent_ms[i]);
    }
  return longest_ms;
}

/* Hands in the stream, after a while the blocker and the gangs, and a second
   later a task that lasts.  */
static void
run_stream (const stream_case_t *row)
{
  const int64_t for_ms = 100000;
  const int64_t gangs_at_ms = 25000;
  int64_t sent_ms[1000];
  uint32_t small = 0;
  uint32_t last_gang = 0;
  fake_faults_t faults = { .ticket_validity_ms
                           = row->advice_fails || row->all_advised ? 1000 : 0,
                           .advice_fails = row->advice_fails,
                           .advice_allows_all = true,
                           .slow_job = "0000000000000001",
                           .slow_factor = row->blocker_factor };
  fake_cell_t *sim = fake_cell_new (1, row->workers, &faults, DEFECT_NONE);
  fake_cell_run (sim, 1000);
  for (int64_t at_ms = 0; at_ms < for_ms; at_ms += 100)
    {
      if (at_ms == gangs_at_ms && row->blocker_ms != 0)
        fake_cell_submit (sim,
                          job_new ("low", BLOCKER, 1, CORE, row->blocker_ms));
      if (at_ms == gangs_at_ms + 200 && row->loses_workers)
        {
          fake_cell_disconnect (sim, 0, 10 * MINUTE_MS);
          fake_cell_disconnect (sim, 1, 10 * MINUTE_MS);
        }
      if (at_ms == gangs_at_ms + 300)
        last_gang = submit_gangs (sim, row);
      if (at_ms == gangs_at_ms + 1300 && row->lasting_within_ms > 0)
        fake_cell_submit (sim, job_new ("low", LASTING, 1, CORE, 0));
      if (at_ms % row->every_ms == 0)
        {
          work_job_t *job
              = job_new (row->all_advised ? "queue" : "low",
                         FIRST_SMALL + small, row->tasks, CORE, row->work_ms);
          job->accepted_ms = sent_ms[small++] = fake_cell_time_ms (sim);
          fake_cell_submit (sim, job);
        }
      fake_cell_run (sim, 100);
    }
  int64_t begun_ms = fake_cell_time_ms (sim) - for_ms + gangs_at_ms + 300;
  int64_t gang_ms = started_ms (sim, last_gang);
  int64_t lasting_ms = started_ms (sim, LASTING);
  int64_t small_ms = longest_wait_ms (sim, row, sent_ms, small);
  bool gang_ok
      = row->gang_within_ms == 0
            ? gang_ms == 0
            : gang_ms > 0 && gang_ms - begun_ms <= row->gang_within_ms;
  bool lasting_ok
      = row->lasting_within_ms == 0
        || (lasting_ms > 0
            && lasting_ms - begun_ms - 1000 <= row->lasting_within_ms);
  bool small_ok
      = row->small_within_ms == 0 || small_ms <= row->small_within_ms;
  if (!gang_ok || !small_ok || !lasting_ok || g_getenv ("RESERVE_LOG") != NULL)
    printf (
        "\n  %s: the gang starts after %lld ms, small work within %lld ms, "
        "a lasting task after %lld ms\n",
        row->name, gang_ms > 0 ? (long long)(gang_ms - begun_ms) : -1LL,
        (long long)small_ms,
        lasting_ms > 0 ? (long long)(lasting_ms - begun_ms - 1000) : -1LL);
  CU_ASSERT_TRUE (gang_ok);
  CU_ASSERT_TRUE (small_ok);
  CU_ASSERT_TRUE (lasting_ok);
  /* The log names the gang that does not fit, and the room that is kept for
     long.  */
  CU_ASSERT_EQUAL (fake_cell_logged (sim, "gang_misfit") > 0, row->misfit);
  CU_ASSERT_EQUAL (fake_cell_logged (sim, "room_kept") > 0, row->kept_long);
  CU_ASSERT_PTR_NULL (fake_cell_violation (sim));
  fake_cell_free (sim);
}

/* Guards against room that is kept for a gang which never comes in, or for
   longer than stated, and against gangs that never come in beside a steady
   stream of small work.  */
static void
test_streams (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    if (g_getenv ("RESERVE_CASE") == NULL
        || strstr (cases[i].name, g_getenv ("RESERVE_CASE")))
      run_stream (&cases[i]);
}

/* The users' rule: a lasting task runs within 7 s of calm if there is room for
   it twice; 14 s after the end of the traffic no job has nothing running for
   3 s while there is room for it twice and under half of it is in use.  */
#define LASTING_CALM_MS 7000
#define FINISH_MS 14000
#define IDLE_MS 3000
#define STEP_MS 50
#define RANDOM_JOBS 60u
#define RANDOM_SEEDS 40u

typedef struct
{
  char id[WORK_ID_LENGTH + 1];
  resource_t need;
  int64_t
      idle_since_ms; /* nothing of it runs although there is room; 0: not */
  bool lasting, gang, cancelled;
} watched_t;

static work_job_t *
random_job (GRand *random, uint32_t number, const fake_cell_t *sim)
{
  int kind = g_rand_int_range (random, 0, 10);
  bool gang = kind < 4;
  bool lasting = kind == 0 || kind == 1 || kind == 4;
  work_job_t *job = job_new (
      g_rand_boolean (random) ? "queue" : "low", number,
      (uint32_t)(gang ? g_rand_int_range (random, 2, 11)
                      : g_rand_int_range (random, 1, lasting ? 2 : 6)),
      CORE
          * (gang ? g_rand_int_range (random, 2, 17)
                  : g_rand_int_range (random, 1, 5)),
      lasting ? 0 : g_rand_int_range (random, 100, 6000));
  job->accepted_ms = fake_cell_time_ms (sim);
  job->steps[0].gang = gang;
  return job;
}

/* Watches one job for STEP_MS.  Returns for how long it has been idle against
   the rule.  */
static int64_t
watch (const fake_cell_t *sim, watched_t *job, bool traffic)
{
  int64_t now_ms = fake_cell_time_ms (sim);
  const char *state = fake_cell_saved_state (sim, job->id);
  bool ended = strcmp (state, "queued") != 0 && strcmp (state, "running") != 0;
  bool applies = job->lasting ? true : !traffic;
  bool idle = applies && !ended && !job->cancelled && !job->gang
              && fake_cell_running_of (sim, job->id) == 0
              && fake_cell_slots (sim, job->need) >= 2
              && (job->lasting || fake_cell_used_share (sim) < 0.5);
  if (!idle)
    job->idle_since_ms = 0;
  else if (job->idle_since_ms == 0)
    job->idle_since_ms = now_ms;
  return idle ? now_ms - job->idle_since_ms : 0;
}

/* Random gangs, lasting tasks and small work for 30 s, some of it cancelled,
   then 30 s of quiet.  Returns the first breach (g_free), NULL: none.  */
static char *
run_random (uint32_t seed)
{
  const fake_faults_t no_faults = { 0 };
  GRand *random = g_rand_new_with_seed (seed);
  fake_cell_t *sim = fake_cell_new (seed, 8, &no_faults, DEFECT_NONE);
  watched_t jobs[RANDOM_JOBS];
  uint32_t count = 0;
  char *breach = NULL;
  int64_t traffic_end_ms = 0;
  for (int64_t at_ms = 0; at_ms < 60000 && breach == NULL; at_ms += STEP_MS)
    {
      if (count < RANDOM_JOBS && at_ms % 500 == 0)
        {
          work_job_t *job = random_job (random, count + 1, sim);
          watched_t *watched = &jobs[count++];
          *watched = (watched_t){ .need = job->steps[0].need,
                                  .lasting = job->steps[0].lasting,
                                  .gang = job->steps[0].gang };
          g_strlcpy (watched->id, job->id, sizeof watched->id);
          fake_cell_submit (sim, job);
          traffic_end_ms = at_ms;
        }
      if (at_ms % 2000 == 1000 && count > 0)
        {
          watched_t *victim
              = &jobs[g_rand_int_range (random, 0, (gint32)count)];
          if (victim->lasting && !victim->cancelled)
            fake_cell_cancel (sim, victim->id);
          victim->cancelled = victim->lasting;
        }
      fake_cell_run (sim, STEP_MS);
      bool traffic = at_ms < traffic_end_ms + FINISH_MS;
      for (uint32_t i = 0; i < count && breach == NULL; i++)
        {
          int64_t most_ms = jobs[i].lasting ? LASTING_CALM_MS : IDLE_MS;
          if (watch (sim, &jobs[i], traffic) >= most_ms)
            breach = g_strdup_printf ("job %s waits beside room at %lld ms",
                                      jobs[i].id, (long long)at_ms);
        }
    }
  if (breach == NULL)
    breach = g_strdup (fake_cell_violation (sim));
  fake_cell_free (sim);
  g_rand_free (random);
  return breach;
}

/* Guards against any mix of gangs, lasting tasks and small work in which kept
   room breaks the users' rule about work that waits beside room.  */
static void
test_random_mixes (void)
{
  for (uint32_t i = 0; i < RANDOM_SEEDS; i++)
    {
      char *breach = run_random (test_seed () + i);
      if (breach != NULL)
        printf ("\n  seed %u: %s\n", test_seed () + i, breach);
      CU_ASSERT_PTR_NULL (breach);
      g_free (breach);
    }
}

static CU_TestInfo reserve_tests[] = {
  { "gangs beside a stream of small work", test_streams },
  { "random mixes", test_random_mixes },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_reserve_suites[] = {
  { "reserve", NULL, NULL, NULL, NULL, reserve_tests },
  CU_SUITE_INFO_NULL,
};
