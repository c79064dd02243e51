#include "fake_cell.h"
#include "test.h"

#include <stdio.h>
#include <string.h>

/* Tasks that crash the workers that start them, and what runs beside them.  */

#define DEADLY_JOB "0000000000000001"
#define OTHER_JOBS 40

static work_job_t *
job_new (uint32_t number, uint32_t count, int64_t work_ms)
{
  char id[WORK_ID_LENGTH + 1];
  g_snprintf (id, sizeof id, "%016x", number);
  work_job_t *job = work_job_new (id, "queue", 1);
  job->spec = g_strdup ("spec");
  job->accepted_ms = 1000;
  job->steps[0].count = count;
  job->steps[0].need = (resource_t){ 2000, 1000, 0 };
  job->steps[0].estimate_ms = work_ms;
  return job;
}

typedef enum
{
  KIND_PLAIN,
  KIND_GANG,
  KIND_LASTING,
  KIND_RECURRING
} job_kind_t;

static work_job_t *
deadly_job_new (job_kind_t kind)
{
  work_job_t *job = job_new (1, 4, 4000);
  job->steps[0].gang = kind == KIND_GANG;
  job->steps[0].lasting = kind == KIND_LASTING;
  if (kind == KIND_RECURRING)
    {
      job->times = 3;
      job->first_due_ms = 1000;
      job->interval_ms = 5000;
    }
  return job;
}

/* By default a deadly task crashes its worker 10 ms after the start, and the
   worker is back 3 s later under another id.  */
static const struct
{
  const char *name;
  fake_faults_t faults;
  job_kind_t kind;
  int64_t takeover_period_ms; /* 0: the owner stays */
  uint32_t workers;           /* 0: 12 */
} deadly_cases[] = {
  { "one owner", { 0 }, KIND_PLAIN, 0, 0 },
  { "the owner is lost between the crashes", { 0 }, KIND_PLAIN, 3700, 0 },
  { "the owner is lost again and again", { 0 }, KIND_PLAIN, 900, 0 },
  { "crashed workers answer nothing",
    { .crash_is_dark = true },
    KIND_PLAIN,
    0,
    0 },
  { "crashed workers answer nothing, answers are lost",
    { .crash_is_dark = true, .answer_lost = 50 },
    KIND_PLAIN,
    0,
    0 },
  { "crashed workers answer nothing, of three",
    { .crash_is_dark = true },
    KIND_PLAIN,
    0,
    3 },
  { "answers are lost", { .answer_lost = 100 }, KIND_PLAIN, 0, 0 },
  { "orders are dropped, owners lost",
    { .order_dropped = 80 },
    KIND_PLAIN,
    2500,
    0 },
  { "the store is away", { .store_outage = 30 }, KIND_PLAIN, 0, 0 },
  { "the store is away, owners lost",
    { .store_outage = 30 },
    KIND_PLAIN,
    4100,
    0 },
  { "slow saves", { .save_ms = 700 }, KIND_PLAIN, 0, 0 },
  { "tickets", { .ticket_validity_ms = 1500 }, KIND_PLAIN, 0, 0 },
  { "workers are cut off", { .worker_disconnect = 20 }, KIND_PLAIN, 0, 0 },
  { "the crash comes 300 ms after the start",
    { .deadly_after_ms = 300 },
    KIND_PLAIN,
    0,
    0 },
  { "the crash comes 1 s after the start",
    { .deadly_after_ms = 1000 },
    KIND_PLAIN,
    0,
    0 },
  { "the crash comes 3.5 s after the start",
    { .deadly_after_ms = 3500 },
    KIND_PLAIN,
    0,
    0 },
  { "workers are back after their lease",
    { .crash_down_ms = 9000 },
    KIND_PLAIN,
    0,
    0 },
  { "a gang", { 0 }, KIND_GANG, 0, 0 },
  { "a gang, owners lost", { 0 }, KIND_GANG, 3700, 0 },
  { "a lasting task", { 0 }, KIND_LASTING, 0, 0 },
  { "a lasting task, owners lost", { 0 }, KIND_LASTING, 3700, 0 },
  { "a recurring job", { 0 }, KIND_RECURRING, 0, 0 },
};

/* Runs a deadly job among others.  Returns what was wrong, NULL if nothing
   (g_free).  */
static char *
run_deadly (uint32_t seed, size_t at, bool changes_id)
{
  char *wrong = NULL;
  char id[WORK_ID_LENGTH + 1];
  fake_faults_t faults = deadly_cases[at].faults;
  faults.deadly_task = DEADLY_JOB ".0.0.0";
  if (faults.deadly_after_ms == 0)
    faults.deadly_after_ms = 10;
  if (faults.crash_down_ms == 0)
    faults.crash_down_ms = 3000;
  faults.crash_changes_id = changes_id;
  uint32_t workers = deadly_cases[at].workers;
  fake_cell_t *sim
      = fake_cell_new (seed, workers > 0 ? workers : 12, &faults, DEFECT_NONE);
  fake_cell_submit (sim, job_new (2, 6, 800));
  fake_cell_submit (sim, deadly_job_new (deadly_cases[at].kind));
  int64_t since_takeover_ms = 0;
  for (uint32_t i = 3; i < 3 + OTHER_JOBS; i++)
    {
      fake_cell_submit (sim, job_new (i, 3, 800));
      fake_cell_run (sim, 500);
      since_takeover_ms += 500;
      if (deadly_cases[at].takeover_period_ms > 0
          && since_takeover_ms >= deadly_cases[at].takeover_period_ms)
        {
          fake_cell_take_over (sim);
          since_takeover_ms = 0;
        }
    }
  fake_cell_stop_faults (sim);
  fake_cell_run (sim, 90000);
  wrong = g_strdup (fake_cell_violation (sim));
  if (wrong == NULL
      && strcmp (fake_cell_saved_state (sim, DEADLY_JOB), "failed") != 0)
    wrong = g_strdup_printf ("the deadly job is %s after %u crashes",
                             fake_cell_saved_state (sim, DEADLY_JOB),
                             fake_cell_deadly_crashes (sim));
  for (uint32_t i = 2; i < 3 + OTHER_JOBS && wrong == NULL; i++)
    {
      g_snprintf (id, sizeof id, "%016x", i);
      if (strcmp (fake_cell_saved_state (sim, id), "completed") != 0)
        wrong = g_strdup_printf ("job %s, which ran beside, is %s", id,
                                 fake_cell_saved_state (sim, id));
    }
  fake_cell_free (sim);
  return wrong;
}

/* Guards against a task that crashes one worker after the other without end:
   after three crashes it may start twice more, and its job is shown as failed,
   but no job that ran beside it.  */
static void
test_deadly_task (void)
{
  for (size_t at = 0; at < G_N_ELEMENTS (deadly_cases); at++)
    for (uint32_t i = 0; i < 10; i++)
      {
        uint32_t seed = test_seed () + i;
        char *wrong = run_deadly (seed, at, i % 2 == 0);
        if (wrong != NULL)
          printf ("\n  %s, seed %u: %s\n", deadly_cases[at].name, seed, wrong);
        CU_ASSERT_PTR_NULL (wrong);
        g_free (wrong);
      }
}

/* Guards against an innocent task that loses its job: it runs on a rack that
   loses power three times, each time soon after its start.  */
static void
test_racks_lose_power (void)
{
  const fake_faults_t faults
      = { .crash_down_ms = 3000, .crash_changes_id = true };
  for (int64_t delay_ms = 20; delay_ms < 500; delay_ms += 40)
    {
      fake_cell_t *sim = fake_cell_new (1, 12, &faults, DEFECT_NONE);
      fake_cell_submit (sim, job_new (1, 4, 2000));
      fake_cell_run (sim, 400);
      for (uint32_t i = 0; i < 3; i++)
        {
          fake_cell_crash_rack (sim);
          for (uint32_t j = 0; j < 1000 && fake_cell_running (sim) == 0; j++)
            fake_cell_run (sim, 10);
          fake_cell_run (sim, delay_ms);
        }
      fake_cell_run (sim, 12000);
      CU_ASSERT_PTR_NULL (fake_cell_violation (sim));
      CU_ASSERT_STRING_EQUAL (fake_cell_saved_state (sim, DEADLY_JOB),
                              "completed");
      fake_cell_free (sim);
    }
}

/* Guards against a cut that is taken for a crash: the workers of a long task
   are cut off eight times for longer than their lease, and run on.  */
static void
test_cut_is_no_crash (void)
{
  fake_faults_t no_faults = { 0 };
  fake_cell_t *sim = fake_cell_new (1, 12, &no_faults, DEFECT_NONE);
  fake_cell_submit (sim, job_new (1, 1, 9000));
  fake_cell_run (sim, 400);
  for (uint32_t i = 0; i < 8; i++)
    {
      fake_cell_disconnect_busy (sim, 8000);
      fake_cell_run (sim, 8500);
    }
  CU_ASSERT_TRUE (fake_cell_starts (sim) > 5);
  fake_cell_run (sim, 20000);
  CU_ASSERT_PTR_NULL (fake_cell_violation (sim));
  CU_ASSERT_STRING_EQUAL (fake_cell_saved_state (sim, DEADLY_JOB),
                          "completed");
  fake_cell_free (sim);
}

/* Guards against innocent tasks that wait long because they are suspected:
   after their worker is back, jobs that ran beside a deadly task need a time
   apart at most before their run.  Load pattern: a job of short tasks each 250
   ms, one of them deadly.  */
static void
test_wait_of_bystanders (void)
{
  const fake_faults_t faults = { .deadly_task = DEADLY_JOB ".0.0.0",
                                 .deadly_after_ms = 10,
                                 .crash_down_ms = 3000,
                                 .crash_changes_id = true };
  const int64_t work_ms = 600;
  /* The crash, the time until the worker is back, one look at it, keeping a
     worker free for a second, saves and the run.  */
  const int64_t limit_ms = work_ms + 3000 + 300 + 1000 + 200 + work_ms;
  const uint32_t jobs = 60;
  fake_cell_t *sim = fake_cell_new (1, 12, &faults, DEFECT_NONE);
  fake_cell_submit (sim, job_new (2, 6, work_ms));
  fake_cell_submit (sim, job_new (3, 6, work_ms));
  fake_cell_submit (sim, deadly_job_new (KIND_PLAIN));
  for (uint32_t i = 4; i < 4 + jobs; i++)
    {
      char id[WORK_ID_LENGTH + 1];
      fake_cell_submit (sim, job_new (i, 5, work_ms));
      fake_cell_run (sim, 250);
      uint32_t looked_at = i - MIN (i - 4, (uint32_t)(limit_ms / 250) + 1);
      g_snprintf (id, sizeof id, "%016x", looked_at);
      if (looked_at > 4)
        CU_ASSERT_STRING_EQUAL (fake_cell_saved_state (sim, id), "completed");
    }
  CU_ASSERT_STRING_EQUAL (fake_cell_saved_state (sim, DEADLY_JOB), "failed");
  fake_cell_free (sim);
}

/* Guards against a fleet that stands still after all workers have lost power
   twice, since every task has to run apart: the third time everything is done
   in the same time as the first.  Load pattern: 24 jobs of three tasks on 12
   workers, three quarters of their room.  */
static void
test_all_workers_crash (void)
{
  const fake_faults_t faults
      = { .crash_down_ms = 3000, .crash_changes_id = true };
  const int64_t work_ms = 4000;
  fake_cell_t *sim = fake_cell_new (1, 12, &faults, DEFECT_NONE);
  const uint32_t jobs = 24;
  for (uint32_t i = 1; i <= jobs; i++)
    fake_cell_submit (sim, job_new (i, 3, work_ms));
  fake_cell_run (sim, 1500);
  for (uint32_t i = 0; i < 3; i++)
    {
      fake_cell_crash_all (sim);
      fake_cell_run (sim, 4500);
      CU_ASSERT_EQUAL (fake_cell_running (sim), 3 * jobs);
    }
  fake_cell_run (sim, work_ms);
  for (uint32_t i = 1; i <= jobs; i++)
    {
      char id[WORK_ID_LENGTH + 1];
      g_snprintf (id, sizeof id, "%016x", i);
      CU_ASSERT_STRING_EQUAL (fake_cell_saved_state (sim, id), "completed");
    }
  fake_cell_free (sim);
}

/* Guards against a job whose tasks crash many workers at the same moment, as
   if they had lost power: its first starts, and then one worker.  */
static void
test_all_tasks_deadly (void)
{
  const fake_faults_t faults = { .deadly_task = DEADLY_JOB ".0",
                                 .deadly_after_ms = 10,
                                 .crash_down_ms = 3000,
                                 .crash_changes_id = true };
  const uint32_t tasks = 6;
  fake_cell_t *sim = fake_cell_new (1, 12, &faults, DEFECT_NONE);
  work_job_t *job = job_new (1, tasks, 1000);
  job->steps[0].spread = 1;
  fake_cell_submit (sim, job);
  fake_cell_run (sim, 200);
  CU_ASSERT_EQUAL (fake_cell_deadly_crashes (sim), tasks);
  fake_cell_run (sim, 20000);
  CU_ASSERT_PTR_NULL (fake_cell_violation (sim));
  CU_ASSERT_TRUE (fake_cell_deadly_crashes (sim) <= 2 * tasks);
  CU_ASSERT_STRING_EQUAL (fake_cell_saved_state (sim, DEADLY_JOB), "failed");
  fake_cell_free (sim);
  sim = fake_cell_new (1, 12, &faults, DEFECT_NONE);
  job = job_new (1, tasks, 1000);
  job->steps[0].need.cpu_millis = 16000;
  fake_cell_submit (sim, job);
  fake_cell_run (sim, 20000);
  CU_ASSERT_TRUE (fake_cell_deadly_crashes (sim) <= 2 * tasks);
  CU_ASSERT_STRING_EQUAL (fake_cell_saved_state (sim, DEADLY_JOB), "failed");
  fake_cell_free (sim);
}

static CU_TestInfo crash_tests[] = {
  { "all workers crash three times", test_all_workers_crash },
  { "a job whose tasks are all deadly", test_all_tasks_deadly },
  { "a task beside which racks lose power", test_racks_lose_power },
  { "a task whose workers are cut off", test_cut_is_no_crash },
  { "tasks that ran beside a deadly one", test_wait_of_bystanders },
  { "a task that crashes its workers is given up", test_deadly_task },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_crash_suites[] = {
  { "crash", NULL, NULL, NULL, NULL, crash_tests },
  CU_SUITE_INFO_NULL,
};
