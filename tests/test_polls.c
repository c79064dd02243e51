#include "cell.h"
#include "test.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* How often an owner polls its workers, each of which runs one task and
   answers after the wait of the poll.  */

#define JOB_ID "5c0e7a21d94b36f8"
#define TASK_CPU_MILLIS 1000

typedef struct
{
  char id[16];
  char task[WORK_NAME_BYTES]; /* "": none */
  int64_t answer_at_ms;       /* 0: no poll is in flight */
} polled_t;

typedef struct
{
  cell_t *cell;
  clk_fake_t clock;
  polled_t *workers;
  uint32_t count;
  uint32_t polls;
  bool save_pending;
} fleet_t;

static polled_t *
worker_of (fleet_t *fleet, const cell_worker_ref_t *ref)
{
  unsigned number = 0;
  sscanf (ref->id, "i-%u", &number);
  return &fleet->workers[number];
}

static void
on_save (void *context, const cell_record_t *records, uint32_t count)
{
  ((fleet_t *)context)->save_pending = true;
}

static void
on_start (void *context, const cell_worker_ref_t *ref,
          const cell_start_order_t *order)
{
  g_strlcpy (worker_of (context, ref)->task, order->task, WORK_NAME_BYTES);
}

static void
on_poll (void *context, const cell_worker_ref_t *ref, int64_t lease_until_ms,
         uint64_t acknowledged_end, int64_t wait_ms)
{
  fleet_t *fleet = context;
  fleet->polls++;
  worker_of (fleet, ref)->answer_at_ms
      = clk_now_ms (&fleet->clock.base) + MAX (wait_ms, 1);
}

static void
on_log (void *context, const char *event, const char *subject,
        const char *detail)
{
}

static const cell_actions_t actions
    = { .save = on_save, .start = on_start, .poll = on_poll, .log = on_log };

static void
answer_poll (fleet_t *fleet, polled_t *worker)
{
  int64_t now_ms = clk_now_ms (&fleet->clock.base);
  report_run_t run = { worker->task, 1, "", 10, 0 };
  worker_report_t report = { .sent_ms = now_ms,
                             .clock_ms = now_ms,
                             .start_ms = 1,
                             .runs = &run,
                             .run_count = worker->task[0] != '\0' };
  worker->answer_at_ms = 0;
  cell_poll_answered (fleet->cell, worker->id, &report);
}

static void
run_for (fleet_t *fleet, int64_t for_ms)
{
  for (int64_t done_ms = 0; done_ms < for_ms; done_ms += CELL_TICK_MS)
    {
      clk_fake_advance_ms (&fleet->clock, CELL_TICK_MS);
      int64_t now_ms = clk_now_ms (&fleet->clock.base);
      cell_ownership_confirmed (fleet->cell, now_ms - 1);
      if (fleet->save_pending)
        {
          fleet->save_pending = false;
          cell_save_done (fleet->cell);
        }
      for (uint32_t i = 0; i < fleet->count; i++)
        if (fleet->workers[i].answer_at_ms != 0
            && fleet->workers[i].answer_at_ms <= now_ms)
          answer_poll (fleet, &fleet->workers[i]);
      cell_run (fleet->cell, now_ms);
    }
}

/* Begins a cell of COUNT workers, all of them busy.  */
static void
begin (fleet_t *fleet, uint32_t count)
{
  static const cell_options_t options
      = { .max_lease_ms = 6000, .retention_ms = 120000 };
  const cell_inheritance_t inheritance = { 0 };
  *fleet = (fleet_t){ .count = count, .workers = g_new0 (polled_t, count) };
  clk_fake_init (&fleet->clock, 100000);
  fleet->cell = cell_new (&options, &fleet->clock.base, &actions, fleet);
  for (uint32_t i = 0; i < count; i++)
    {
      polled_t *worker = &fleet->workers[i];
      g_snprintf (worker->id, sizeof worker->id, "i-%u", i);
      worker_row_t row = { .id = worker->id,
                           .address = worker->id,
                           .service = "pool",
                           .rack = "r1-1",
                           .capacity = { TASK_CPU_MILLIS, 64000, 8 },
                           .remaining_ms = -1,
                           .start_ms = 1 };
      cell_worker_listed (fleet->cell, &row);
    }
  work_job_t *job = work_job_new (JOB_ID, "queue", 1);
  job->spec = g_strdup ("x");
  job->steps[0].count = count;
  job->steps[0].need = (resource_t){ TASK_CPU_MILLIS, 1000, 0 };
  job->steps[0].estimate_ms = 60000;
  cell_add_job (fleet->cell, job);
  cell_begin (fleet->cell, &inheritance);
  run_for (fleet, 3000);
}

/* Guards against an owner that runs out of processor time because one answer
   was lost: shorter waits for all workers multiply the polls of a large
   cell.  */
static void
test_polls_after_lost_answer (void)
{
  /* The bound that docs/cells.md states, whatever the size of the cell.  */
  const uint32_t lossy_polls_per_s = 800;
  static const uint32_t counts[] = { 50, 400, 1600 };
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    {
      fleet_t fleet;
      begin (&fleet, counts[i]);
      fleet.workers[0].answer_at_ms = 0;
      cell_poll_failed (fleet.cell, fleet.workers[0].id, ORDER_UNKNOWN);
      run_for (&fleet, 100);
      fleet.polls = 0;
      run_for (&fleet, 4000);
      uint32_t polls_per_s = fleet.polls / 4;
      printf ("polls of %u workers after a lost answer: %u a second\n",
              counts[i], polls_per_s);
      /* Each worker once a second, and a tick more.  */
      CU_ASSERT_TRUE (polls_per_s
                      <= MAX (counts[i], lossy_polls_per_s) * 11 / 10);
      /* A small cell finds out about further losses soon.  */
      if (counts[i] < lossy_polls_per_s / 4)
        CU_ASSERT_TRUE (polls_per_s >= 3 * counts[i]);
      cell_free (fleet.cell);
      g_free (fleet.workers);
    }
}

static CU_TestInfo poll_tests[] = {
  { "polls after a lost answer", test_polls_after_lost_answer },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_poll_suites[] = {
  { "polls", NULL, NULL, NULL, NULL, poll_tests },
  CU_SUITE_INFO_NULL,
};
