#include "cell_internal.h"
#include "test.h"

#include <stdio.h>
#include <string.h>

/* NAME
     test_pass - what a placement pass of a cell costs

   Counted in workers that a pass looks at, so that the result depends on no
   clock and no processor.  */

#define WORKER_CORES 16
#define TICKET_MS 60000

typedef struct
{
  const char *step_kind; /* what the waiting steps are */
  bool advised;          /* they need tickets ... */
  bool tickets;          /* ... and have them, for workers that are full */
  bool gang;
  uint64_t most_looks; /* that one more waiting step may add to a pass */
} pass_case_t;

/* A call for advice names 30 workers at most.  */
static const pass_case_t cases[] = {
  { "steps without advice", false, false, false, 1 },
  { "gangs without advice", false, false, true, 1 },
  { "steps that need advice", true, false, false, 1 },
  { "gangs that need advice", true, false, true, 1 },
  { "steps with tickets", true, true, false, 2 * 30 },
};

typedef struct
{
  char *worker;
  char *task;
  uint32_t run;
} start_t;

typedef struct
{
  clk_fake_t clock;
  cell_t *cell;
  bool saving;
  GArray *starts;   /* start_t */
  GPtrArray *asked; /* char *: "STEP WORKER WORKER ..." of each call */
  uint32_t jobs;
} fixture_t;

static void
on_save (void *context, const cell_record_t *records, uint32_t count)
{
  ((fixture_t *)context)->saving = true;
}

static void
on_start (void *context, const cell_worker_ref_t *worker,
          const cell_start_order_t *order)
{
  start_t start
      = { g_strdup (worker->id), g_strdup (order->task), order->run };
  g_array_append_val (((fixture_t *)context)->starts, start);
}

static void
on_stop (void *context, const cell_worker_ref_t *worker, const char *task,
         uint32_t run)
{
}

static void
on_poll (void *context, const cell_worker_ref_t *worker,
         int64_t lease_until_ms, uint64_t acknowledged_end, int64_t wait_ms)
{
}

static void
on_pace (void *context, const cell_worker_ref_t *worker, const char *task,
         uint32_t run, uint32_t percent)
{
}

static bool
on_advise (void *context, const char *step, uint32_t call,
           const char *const *workers, uint32_t count, double expected_ms)
{
  GString *text = g_string_new (step);
  for (uint32_t i = 0; i < count; i++)
    g_string_append_printf (text, " %s", workers[i]);
  g_ptr_array_add (((fixture_t *)context)->asked, g_string_free (text, FALSE));
  return true;
}

static void
on_delete_job (void *context, const char *id)
{
}

static void
on_log (void *context, const char *event, const char *subject,
        const char *detail)
{
}

static const cell_actions_t actions
    = { on_save, on_start,  on_stop,       on_poll,
        on_pace, on_advise, on_delete_job, on_log };

static queue_t *
make_queue (const char *name, bool advised, uint32_t priority)
{
  queue_t *queue = queue_new ();
  queue->name = g_strdup (name);
  queue->service = g_strdup ("service");
  queue->priority = priority;
  queue->max_attempts = 4;
  queue->stretch = 2.0;
  queue->target_ms = 1000;
  queue->advised = advised;
  queue->ticket_validity_ms = TICKET_MS;
  return queue;
}

static void
add_workers (fixture_t *fixture, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "w%u", i);
      worker_row_t row = { .id = id,
                           .address = id,
                           .service = "service",
                           .rack = "",
                           .capacity = { WORKER_CORES * 1000, 65536, 0 },
                           .remaining_ms = -1,
                           .start_ms = 1 };
      cell_worker_listed (fixture->cell, &row);
    }
}

static fixture_t *
fixture_new (uint32_t workers)
{
  const cell_options_t options
      = { .max_lease_ms = 6000, .retention_ms = 60000 };
  const cell_inheritance_t inheritance = { 0 };
  fixture_t *fixture = g_new0 (fixture_t, 1);
  clk_fake_init (&fixture->clock, 1000);
  fixture->starts = g_array_new (FALSE, FALSE, sizeof (start_t));
  fixture->asked = g_ptr_array_new_with_free_func (g_free);
  fixture->cell = cell_new (&options, &fixture->clock.base, &actions, fixture);
  queue_table_t *table = queue_table_new (1);
  g_ptr_array_add (table->queues, make_queue ("fill", false, 0));
  g_ptr_array_add (table->queues, make_queue ("plain", false, 1));
  g_ptr_array_add (table->queues, make_queue ("advised", true, 1));
  cell_set_queues (fixture->cell, table);
  queue_table_free (table);
  add_workers (fixture, workers);
  cell_begin (fixture->cell, &inheritance);
  cell_run (fixture->cell, 1000);
  for (uint32_t i = 0; i < workers; i++)
    {
      char id[16];
      worker_report_t report
          = { .sent_ms = 1000, .clock_ms = 1000, .start_ms = 1 };
      g_snprintf (id, sizeof id, "w%u", i);
      cell_poll_answered (fixture->cell, id, &report);
    }
  return fixture;
}

static void
fixture_free (fixture_t *fixture)
{
  cell_free (fixture->cell);
  g_array_unref (fixture->starts);
  g_ptr_array_unref (fixture->asked);
  g_free (fixture);
}

static work_job_t *
new_job (fixture_t *fixture, const char *queue, uint32_t steps)
{
  char id[WORK_ID_LENGTH + 1];
  g_snprintf (id, sizeof id, "%016x", ++fixture->jobs);
  work_job_t *job = work_job_new (id, queue, steps);
  job->spec = g_strdup ("spec");
  job->accepted_ms = clk_wall_ms (&fixture->clock.base);
  return job;
}

static void
add_job (fixture_t *fixture, const char *queue, uint32_t tasks,
         int64_t cpu_millis, bool gang)
{
  work_job_t *job = new_job (fixture, queue, 1);
  job->steps[0].count = tasks;
  job->steps[0].need = (resource_t){ cpu_millis, 100, 0 };
  job->steps[0].estimate_ms = 500;
  job->steps[0].gang = gang;
  job->steps[0].lasting = strcmp (queue, "fill") == 0;
  cell_add_job (fixture->cell, job);
}

/* Runs one pass, carries out its starts, and returns at how many workers it
   looked.  */
static uint64_t
run_pass (fixture_t *fixture)
{
  cell_pass_stats_t before;
  cell_pass_stats_t after;
  cell_pass_stats (fixture->cell, &before);
  clk_fake_advance_ms (&fixture->clock, 1500);
  cell_ownership_confirmed (fixture->cell, clk_now_ms (&fixture->clock.base));
  cell_run (fixture->cell, clk_wall_ms (&fixture->clock.base));
  cell_pass_stats (fixture->cell, &after);
  CU_ASSERT_EQUAL (after.passes - before.passes, 1);
  if (fixture->saving)
    {
      fixture->saving = false;
      cell_save_done (fixture->cell);
    }
  for (guint i = 0; i < fixture->starts->len; i++)
    {
      start_t *start = &g_array_index (fixture->starts, start_t, i);
      cell_start_answered (fixture->cell, start->worker, start->task,
                           start->run, ORDER_ACCEPTED, 0);
      g_free (start->worker);
      g_free (start->task);
    }
  g_array_set_size (fixture->starts, 0);
  return after.workers_looked_at - before.workers_looked_at;
}

/* Answers the first call for advice of each step: all workers are allowed.  */
static void
answer_calls (fixture_t *fixture)
{
  for (guint i = 0; i < fixture->asked->len; i++)
    {
      char **words = g_strsplit (fixture->asked->pdata[i], " ", 0);
      GArray *rows = g_array_new (FALSE, FALSE, sizeof (advice_row_t));
      for (char **word = words + 1; *word != NULL; word++)
        {
          advice_row_t row = { *word, "ticket" };
          g_array_append_val (rows, row);
        }
      cell_advice_answered (fixture->cell, words[0], 1, true,
                            (const advice_row_t *)(const void *)rows->data,
                            rows->len, TICKET_MS);
      g_array_unref (rows);
      g_strfreev (words);
    }
  g_ptr_array_set_size (fixture->asked, 0);
}

/* Looks of a pass over STEPS waiting steps of the kind of ROW, none of which
   fits on one of the WORKERS, all full.  */
static uint64_t
looks_of_pass (const pass_case_t *row, uint32_t workers, uint32_t steps)
{
  fixture_t *fixture = fixture_new (workers);
  for (uint32_t i = 0; row->tickets && i < steps; i++)
    add_job (fixture, "advised", 1, 1000, false);
  if (row->tickets)
    run_pass (fixture);
  add_job (fixture, "fill", workers, WORKER_CORES * 1000 - 500, false);
  run_pass (fixture);
  answer_calls (fixture);
  for (uint32_t i = 0; !row->tickets && i < steps; i++)
    add_job (fixture, row->advised ? "advised" : "plain", row->gang ? 4 : 1,
             1000, row->gang);
  run_pass (fixture);
  uint64_t looks = run_pass (fixture);
  cell_totals_t totals;
  cell_totals (fixture->cell, &totals);
  CU_ASSERT_EQUAL (totals.placed_tasks, workers);
  CU_ASSERT_EQUAL (totals.waiting_tasks, steps * (row->gang ? 4 : 1));
  fixture_free (fixture);
  return looks;
}

/* Guards against passes that look at every worker for every waiting step: an
   owner with little processor time then starts ever less the more steps wait,
   and its tickets expire (docs/incidents/lost-short.md).  */
static void
test_looks_by_waiting_steps (void)
{
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      uint64_t few = looks_of_pass (&cases[i], 200, 100);
      uint64_t many = looks_of_pass (&cases[i], 200, 300);
      if (many > few + 200 * cases[i].most_looks)
        printf ("%s: %llu looks with 100, %llu with 300\n", cases[i].step_kind,
                (unsigned long long)few, (unsigned long long)many);
      CU_ASSERT_TRUE (many <= few + 200 * cases[i].most_looks);
    }
}

/* Runs COUNT passes, 120 ms apart, and returns how many look at a worker for
   some step.  */
static uint32_t
passes_that_look (fixture_t *fixture, uint32_t count)
{
  uint32_t looking = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      cell_pass_stats_t before;
      cell_pass_stats_t after;
      cell_pass_stats (fixture->cell, &before);
      clk_fake_advance_ms (&fixture->clock, 120);
      cell_run (fixture->cell, clk_wall_ms (&fixture->clock.base));
      cell_pass_stats (fixture->cell, &after);
      CU_ASSERT_EQUAL (after.passes - before.passes, 1);
      looking += after.workers_looked_at > before.workers_looked_at;
    }
  return looking;
}

/* Guards against an owner that can't keep up because of steps whose jobs have
   lost their value: while many steps wait they are left out of most passes,
   and while few wait of none.  */
static void
test_too_late_steps (void)
{
  static const struct
  {
    uint32_t steps;
    uint32_t looking; /* passes of 12, 120 ms apart */
  } rows[] = { { 100, 12 }, { 101, 4 } };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      fixture_t *fixture = fixture_new (20);
      add_job (fixture, "fill", 20, WORKER_CORES * 1000 - 500, false);
      run_pass (fixture);
      for (uint32_t j = 0; j < rows[i].steps; j++)
        add_job (fixture, "plain", 1, 1000, false);
      /* The objective is 2 * 500 + 1000 ms.  */
      clk_fake_advance_ms (&fixture->clock, 30000);
      run_pass (fixture);
      CU_ASSERT_EQUAL (passes_that_look (fixture, 12), rows[i].looking);
      fixture_free (fixture);
    }
}

/* Guards against shedding lasting tasks, and what has to be done before they
   can start, however long they wait.  */
static void
test_lasting_is_not_shed (void)
{
  for (uint32_t steps = 1; steps <= 2; steps++)
    {
      fixture_t *fixture = fixture_new (20);
      add_job (fixture, "fill", 20, WORKER_CORES * 1000 - 500, false);
      run_pass (fixture);
      for (uint32_t i = 0; i < 150; i++)
        add_job (fixture, "plain", 1, 1000, false);
      work_job_t *job = new_job (fixture, "fill", steps);
      for (uint32_t i = 0; i < steps; i++)
        job->steps[i] = (work_step_t){ .count = 1,
                                       .need = { 1000, 100, 0 },
                                       .estimate_ms = 500,
                                       .lasting = i + 1 == steps };
      if (steps == 2)
        {
          job->steps[1].after = g_new0 (uint32_t, 1);
          job->steps[1].after_count = 1;
        }
      cell_add_job (fixture->cell, job);
      clk_fake_advance_ms (&fixture->clock, 30000);
      run_pass (fixture);
      CU_ASSERT_EQUAL (passes_that_look (fixture, 12), 12);
      fixture_free (fixture);
    }
}

/* Guards against a share of allowed workers above 1, which calls for advice
   would take for certain, after answers that come when their job has ended. */
static void
test_answer_after_end (void)
{
  fixture_t *fixture = fixture_new (20);
  add_job (fixture, "advised", 1, 1000, false);
  run_pass (fixture);
  CU_ASSERT_EQUAL (fixture->asked->len, 1);
  cell_cancel_job (fixture->cell, "0000000000000001");
  answer_calls (fixture);
  const advice_counts_t *counts
      = g_hash_table_lookup (fixture->cell->advice_counts, "advised");
  CU_ASSERT_TRUE (counts == NULL || counts->allowed <= counts->named);
  fixture_free (fixture);
}

/* A clock of which each reading takes time.  */
typedef struct
{
  clk_t base;
  int64_t now_ms;
  int64_t step_ms;
} slow_clock_t;

static struct timespec
read_slow_clock (const clk_t *self)
{
  slow_clock_t *clock = (slow_clock_t *)(void *)self;
  clock->now_ms += clock->step_ms;
  return clk_from_ms (clock->now_ms);
}

/* Guards against an owner that spends all its time in passes: the pause after
   a pass is as long as the pass, up to 100 ms.  */
static void
test_pause_after_pass (void)
{
  static const struct
  {
    int64_t pass_ms;
    int64_t pause_ms;
  } rows[] = { { 0, 0 }, { 40, 40 }, { 90, 90 }, { 300, 100 } };
  const cell_options_t options = { .max_lease_ms = 6000 };
  const cell_inheritance_t inheritance = { 0 };
  queue_table_t *queues = queue_table_new (1);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      fixture_t fixture = { 0 };
      slow_clock_t clock = { { read_slow_clock, read_slow_clock }, 1000, 0 };
      cell_pass_stats_t stats;
      cell_t *cell = cell_new (&options, &clock.base, &actions, &fixture);
      cell_begin (cell, &inheritance);
      clock.step_ms = rows[i].pass_ms;
      cell_run (cell, 1000);
      int64_t ended_ms = clock.now_ms;
      clock.step_ms = 0;
      for (int64_t pause_ms = 0; pause_ms <= rows[i].pause_ms; pause_ms++)
        {
          cell_pass_stats (cell, &stats);
          CU_ASSERT_EQUAL (stats.passes, 1);
          clock.now_ms = ended_ms + pause_ms;
          cell_set_queues (cell, queues); /* makes a pass due */
          cell_run (cell, 1000);
        }
      cell_pass_stats (cell, &stats);
      CU_ASSERT_EQUAL (stats.passes, 2);
      cell_free (cell);
    }
  queue_table_free (queues);
}

static CU_TestInfo tests[] = {
  { "looks of a pass by waiting steps", test_looks_by_waiting_steps },
  { "steps that are too late", test_too_late_steps },
  { "lasting steps are not shed", test_lasting_is_not_shed },
  { "pause after a pass", test_pause_after_pass },
  { "answer after the end of its job", test_answer_after_end },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_pass_suites[] = {
  { .pName = "pass", .pTests = tests },
  CU_SUITE_INFO_NULL,
};
