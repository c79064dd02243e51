#include "blame.h"
#include "cell.h"
#include "tenure.h"
#include "test.h"

#include <glib.h>
#include <string.h>

/* An owner at the edges of its permission: after a pause, after a takeover.
   Calls of the cell are recorded instead of sent.  */

#define LEASE_MS 6000
#define JOB_ID "5c0e7a21d94b36f8"
#define OTHER_JOB_ID "6d1f8b32e05c47a9"

typedef struct
{
  cell_t *cell;
  clk_fake_t clock;
  uint32_t starts, stops;
  char started_on[16]; /* worker of the last start */
  char started_task[WORK_NAME_BYTES];
  uint32_t polls;
  uint32_t polls_of_record; /* at the address in test_recorded_address */
  int64_t poll_lease_ms;    /* of the last poll */
  bool save_pending;
  char record[512];     /* saved last */
  char end_detail[256]; /* of the last line about the end of a job */
} owner_t;

static void
on_save (void *context, const cell_record_t *records, uint32_t count)
{
  owner_t *owner = context;
  owner->save_pending = true;
  g_strlcpy (owner->record, records[count - 1].text, sizeof owner->record);
}

static void
on_start (void *context, const cell_worker_ref_t *worker,
          const cell_start_order_t *order)
{
  owner_t *owner = context;
  owner->starts++;
  g_strlcpy (owner->started_on, worker->id, sizeof owner->started_on);
  g_strlcpy (owner->started_task, order->task, sizeof owner->started_task);
}

static void
on_stop (void *context, const cell_worker_ref_t *worker, const char *task,
         uint32_t run)
{
  owner_t *owner = context;
  owner->stops++;
  CU_ASSERT_STRING_NOT_EQUAL (worker->address, "");
}

static void
on_poll (void *context, const cell_worker_ref_t *worker,
         int64_t lease_until_ms, uint64_t acknowledged_end, int64_t wait_ms)
{
  owner_t *owner = context;
  owner->polls++;
  owner->polls_of_record += strcmp (worker->address, "10.0.0.9:80") == 0;
  owner->poll_lease_ms = lease_until_ms;
}

static void
on_log (void *context, const char *event, const char *subject,
        const char *detail)
{
  owner_t *owner = context;
  if (g_getenv ("OWNER_LOG") != NULL)
    g_print ("%s %s %s\n", event, subject, detail);
  if (g_str_has_prefix (event, "job_"))
    g_strlcpy (owner->end_detail, detail, sizeof owner->end_detail);
}

static const cell_actions_t actions = { .save = on_save,
                                        .start = on_start,
                                        .stop = on_stop,
                                        .poll = on_poll,
                                        .log = on_log };

static void
list_life (owner_t *owner, const char *id, int64_t start_ms,
           int64_t cpu_millis)
{
  worker_row_t row = { .id = id,
                       .address = id,
                       .service = "pool",
                       .rack = "r1-1",
                       .capacity = { cpu_millis, 64000, 8 },
                       .remaining_ms = -1,
                       .start_ms = start_ms };
  cell_worker_listed (owner->cell, &row);
}

static void
list_worker (owner_t *owner, const char *id)
{
  list_life (owner, id, 1, 16000);
}

/* START_MS: of the life that answers.  RUNS: whether the first task of the job
   runs there.  If the answer raises the token, the poll with the raised one is
   answered too.  */
static void
answer_poll_as (owner_t *owner, const char *id, int64_t start_ms, bool runs)
{
  int64_t now_ms = clk_now_ms (&owner->clock.base);
  uint32_t raises = cell_worker_raises (owner->cell, id);
  report_run_t run = { JOB_ID ".0.0.0", 1, "", 10, 0 };
  worker_report_t report = { .sent_ms = now_ms,
                             .raises = raises,
                             .clock_ms = now_ms,
                             .start_ms = start_ms,
                             .runs = &run,
                             .run_count = runs };
  cell_poll_answered (owner->cell, id, &report);
  report.raises = cell_worker_raises (owner->cell, id);
  if (report.raises > raises)
    cell_poll_answered (owner->cell, id, &report);
}

static void
answer_poll (owner_t *owner, const char *id, bool runs)
{
  answer_poll_as (owner, id, 1, runs);
}

/* Adds the job ID of COUNT tasks.  RECORD: of an earlier owner; NULL: none. */
static void
add_job (owner_t *owner, const char *id, uint32_t count, const char *record)
{
  work_job_t *job = work_job_new (id, "queue", 1);
  job->spec = g_strdup ("x");
  job->steps[0].count = count;
  job->steps[0].need = (resource_t){ 1000, 1000, 0 };
  job->steps[0].estimate_ms = 10000;
  cell_add_job (owner->cell, job);
  cell_record_t row = { id, record };
  if (record != NULL)
    CU_ASSERT_TRUE (cell_load_record (owner->cell, id, &row, 1));
}

static void
make_limited (owner_t *owner, int64_t list_limit_ms)
{
  const cell_options_t options = { .max_lease_ms = LEASE_MS,
                                   .retention_ms = 120000,
                                   .list_limit_ms = list_limit_ms };
  *owner = (owner_t){ 0 };
  clk_fake_init (&owner->clock, 100000);
  owner->cell = cell_new (&options, &owner->clock.base, &actions, owner);
}

static void
make (owner_t *owner)
{
  make_limited (owner, 0);
}

/* The owner before was heard of just now.  */
static void
begin_cell (owner_t *owner)
{
  int64_t end_ms = clk_now_ms (&owner->clock.base) + TENURE_BOUND_MS;
  cell_inheritance_t inheritance = { end_ms, end_ms, NULL };
  cell_begin (owner->cell, &inheritance);
}

/* Begins an owner with the job JOB_ID; see add_job.  */
static void
begin (owner_t *owner, uint32_t count, const char *record)
{
  make (owner);
  add_job (owner, JOB_ID, count, record);
  begin_cell (owner);
}

static void
run_for (owner_t *owner, int64_t for_ms)
{
  for (int64_t done_ms = 0; done_ms < for_ms; done_ms += CELL_TICK_MS)
    {
      clk_fake_advance_ms (&owner->clock, CELL_TICK_MS);
      cell_run (owner->cell, clk_now_ms (&owner->clock.base));
      if (owner->save_pending)
        {
          owner->save_pending = false;
          cell_ownership_confirmed (owner->cell,
                                    clk_now_ms (&owner->clock.base));
          cell_save_done (owner->cell);
        }
    }
}

/* Guards against an owner that was paused and extends leases after its
   ownership was last confirmed too long ago: the next owner counts on their
   end.  */
static void
test_leases_after_pause (void)
{
  owner_t owner;
  begin (&owner, 1, NULL);
  list_worker (&owner, "i-1");
  run_for (&owner, 100);
  answer_poll (&owner, "i-1", false);
  run_for (&owner, 100);
  CU_ASSERT_EQUAL (owner.starts, 1);
  cell_start_answered (owner.cell, "i-1", JOB_ID ".0.0.0", 1, ORDER_ACCEPTED,
                       0);
  CU_ASSERT_TRUE (owner.poll_lease_ms > 0);
  /* No save is confirmed any more.  */
  clk_fake_advance_ms (&owner.clock, TENURE_BOUND_MS);
  uint32_t polls = owner.polls;
  answer_poll (&owner, "i-1", true);
  cell_run (owner.cell, clk_now_ms (&owner.clock.base));
  CU_ASSERT_TRUE (owner.polls > polls);
  CU_ASSERT_EQUAL (owner.poll_lease_ms, 0);
  cell_free (owner.cell);
}

/* Guards against tasks on a worker that has left the list, but is named by a
   record of the owner before.  */
static void
test_worker_only_in_record (void)
{
  owner_t owner;
  begin (&owner, 4, "1 R 0\ng 0 0 0 -\nt 0 a 1 0 i-9 -\n");
  list_worker (&owner, "i-1");
  run_for (&owner, 100);
  answer_poll (&owner, "i-1", false);
  run_for (&owner, 500);
  /* The run on i-9 may go on until its lease has expired.  */
  CU_ASSERT_EQUAL (owner.starts, 3);
  CU_ASSERT_STRING_EQUAL (owner.started_on, "i-1");
  run_for (&owner, TENURE_BOUND_MS + 1000);
  CU_ASSERT_EQUAL (owner.starts, 4);
  CU_ASSERT_STRING_EQUAL (owner.started_on, "i-1");
  cell_free (owner.cell);
}

/* Guards against counts that are lost with their owner, or with a version that
   did not keep them, and against an innocent task that a successor gives up:
   the worker of a recorded run has restarted when the successor begins.  */
static void
test_recorded_crashes (void)
{
  static const struct
  {
    const char *record;
    const char *state;
    const char *counts; /* in the next record; "": no line of the task */
  } rows[] = {
    /* Without the start of the worker a restart cannot be told.  */
    { "1 R 0\ng 0 0 0 -\nt 0 a 1 0 i-1 -\n", "running", " 0 0 0 -" },
    { "1 R 0\ng 0 0 0 -\nt 0 a 1 0 i-1 - 1 i-1 0 0 0 -\n", "running",
      " 1 1 1 -" },
    /* Perhaps the run was never started.  */
    { "1 R 0\ng 0 0 0 -\nt 0 a 2 0 i-1 - 1 i-1 1 1 1 -\n", "running",
      " 2 2 2 -" },
    { "1 R 0\ng 0 0 0 -\nt 0 a 4 0 i-1 - 1 i-1 1 1 3 1,2\n", "running",
      " 2 2 4 1,2" },
    { "1 R 0\ng 0 0 0 -\nt 0 a 5 0 i-1 - 1 i-1 0 2 4 -\n", "failed",
      " 1 3 5 -" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      owner_t owner;
      begin (&owner, 1, rows[i].record);
      list_life (&owner, "i-1", 5000, 16000);
      run_for (&owner, 100);
      answer_poll_as (&owner, "i-1", 5000, false);
      run_for (&owner, 200);
      CU_ASSERT_STRING_EQUAL (cell_state (owner.cell, JOB_ID), rows[i].state);
      CU_ASSERT_PTR_NOT_NULL (strstr (owner.record, rows[i].counts));
      cell_free (owner.cell);
    }
}

/* Guards against a stop that is sent to no address: the job is cancelled while
   only a record names its worker; once that is listed, it is stopped.  */
static void
test_cancel_on_unlisted_worker (void)
{
  owner_t owner;
  begin (&owner, 1, "1 R 0\ng 0 0 0 -\nt 0 a 1 0 i-9 - 1 - 0 0 0 -\n");
  run_for (&owner, 100);
  cell_cancel_job (owner.cell, JOB_ID);
  run_for (&owner, 500);
  CU_ASSERT_EQUAL (owner.stops, 0);
  list_worker (&owner, "i-9");
  run_for (&owner, 1000);
  CU_ASSERT_EQUAL (owner.stops, 1);
  cell_free (owner.cell);
}

/* Guards against a successor that waits for the lease of a worker which has
   left the list: it asks at the recorded address, where the worker still runs
   the task, or another one answers.  */
static void
test_recorded_address (void)
{
  static const char record[]
      = "1 R 0\ng 0 0 0 -\nt 0 a 1 0 i-9 - 1 10.0.0.9:80 0 0 0 -\n";
  owner_t owner;
  begin (&owner, 1, record);
  list_worker (&owner, "i-1");
  run_for (&owner, 100);
  answer_poll (&owner, "i-1", false);
  CU_ASSERT_EQUAL (owner.polls_of_record, 1);
  cell_poll_failed (owner.cell, "i-9", ORDER_OTHER_WORKER);
  run_for (&owner, 200);
  CU_ASSERT_EQUAL (owner.starts, 1);
  CU_ASSERT_STRING_EQUAL (owner.started_on, "i-1");
  cell_free (owner.cell);
  begin (&owner, 1, record);
  list_worker (&owner, "i-1");
  run_for (&owner, 100);
  answer_poll (&owner, "i-1", false);
  answer_poll (&owner, "i-9", true);
  run_for (&owner, 3000);
  CU_ASSERT_EQUAL (owner.starts, 0);
  cell_free (owner.cell);
}

/* Guards against a task that is blamed although its start came too late: its
   worker had crashed without a sign, under another task that had run apart by
   then for long enough.  */
static void
test_start_after_silent_crash (void)
{
  static const char suspected[]
      = "1 R 0\ng 0 0 0 -\nt 0 w 1 0 - - 0 - 1 1 1 -\n";
  const char *ids[] = { JOB_ID, OTHER_JOB_ID };
  owner_t owner;
  make (&owner);
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    add_job (&owner, ids[i], 1, suspected);
  begin_cell (&owner);
  list_worker (&owner, "i-1");
  run_for (&owner, 100);
  answer_poll (&owner, "i-1", false);
  run_for (&owner, 100);
  CU_ASSERT_EQUAL (owner.starts, 1);
  bool first_is_culprit = g_str_has_prefix (owner.started_task, JOB_ID);
  cell_start_answered (owner.cell, "i-1", owner.started_task, 2,
                       ORDER_ACCEPTED, 0);
  /* The worker crashes now.  */
  run_for (&owner, BLAME_SETTLE_MS + 100);
  CU_ASSERT_EQUAL (owner.starts, 2);
  CU_ASSERT_EQUAL (g_str_has_prefix (owner.started_task, JOB_ID),
                   !first_is_culprit);
  run_for (&owner, 1000);
  cell_poll_failed (owner.cell, "i-1", ORDER_UNKNOWN);
  cell_poll_failed (owner.cell, "i-1", ORDER_UNKNOWN);
  run_for (&owner, 300);
  cell_poll_failed (owner.cell, "i-1", ORDER_OTHER_WORKER);
  run_for (&owner, 100);
  CU_ASSERT_STRING_EQUAL (cell_state (owner.cell, ids[!first_is_culprit]),
                          "failed");
  CU_ASSERT_STRING_EQUAL (cell_state (owner.cell, ids[first_is_culprit]),
                          "running");
  cell_free (owner.cell);
}

/* Guards against a start that is sent although much changed during its save.
 */
static void
test_changes_during_save (void)
{
  static const struct
  {
    const char *change;
    int64_t start_ms, cpu_millis;
    bool draining;
  } rows[] = {
    { "nothing", 1, 16000, false },
    { "the worker shrinks", 1, 500, false },
    { "the worker drains", 1, 16000, true },
    { "the worker restarts", 5000, 16000, false },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      owner_t owner;
      begin (&owner, 1, NULL);
      list_worker (&owner, "i-1");
      run_for (&owner, 100);
      answer_poll (&owner, "i-1", false);
      clk_fake_advance_ms (&owner.clock, CELL_TICK_MS);
      cell_run (owner.cell, clk_now_ms (&owner.clock.base));
      CU_ASSERT_TRUE (owner.save_pending);
      worker_row_t row = { .id = "i-1",
                           .address = "i-1",
                           .service = "pool",
                           .rack = "r1-1",
                           .capacity = { rows[i].cpu_millis, 64000, 8 },
                           .draining = rows[i].draining,
                           .remaining_ms = -1,
                           .start_ms = rows[i].start_ms };
      cell_worker_listed (owner.cell, &row);
      owner.save_pending = false;
      cell_ownership_confirmed (owner.cell, clk_now_ms (&owner.clock.base));
      cell_save_done (owner.cell);
      CU_ASSERT_EQUAL (owner.starts, i == 0);
      run_for (&owner, 500);
      CU_ASSERT_EQUAL (owner.starts, i == 0);
      /* The capacity comes back.  */
      if (i == 1)
        list_worker (&owner, "i-1");
      run_for (&owner, 100);
      CU_ASSERT_EQUAL (owner.starts, i <= 1);
      cell_free (owner.cell);
    }
}

/* Guards against a line about the end of a job that gives times before its
   acceptance for what never was, or that this owner did not see: the start of
   a run that the owner before has started, the start and the end of a step of
   a cancelled job.  */
static void
test_times_in_log (void)
{
  owner_t owner;
  begin (&owner, 1,
         "1 R 0\ng 0 0 0 -\nt 0 a 1 0 i-1 - 1 10.0.0.9:80 0 0 0 -\n");
  list_worker (&owner, "i-1");
  run_for (&owner, 100);
  answer_poll (&owner, "i-1", true);
  run_for (&owner, 400);
  int64_t now_ms = clk_now_ms (&owner.clock.base);
  report_end_t end = { 1, JOB_ID ".0.0.0", 1, END_DONE, "" };
  worker_report_t report = { .sent_ms = now_ms,
                             .clock_ms = now_ms,
                             .start_ms = 1,
                             .ends = &end,
                             .end_count = 1 };
  cell_poll_answered (owner.cell, "i-1", &report);
  CU_ASSERT_PTR_NOT_NULL (strstr (owner.end_detail, " lost=0 "));
  const char *steps = strstr (owner.end_detail, "steps=");
  CU_ASSERT_PTR_NOT_NULL (steps != NULL ? strstr (steps, "/-1/") : NULL);
  cell_free (owner.cell);

  begin (&owner, 1, NULL);
  run_for (&owner, 400);
  cell_cancel_job (owner.cell, JOB_ID);
  CU_ASSERT_TRUE (g_str_has_suffix (owner.end_detail, "/-1/-1"));
  cell_free (owner.cell);
}

static void
answer_poll_with (owner_t *owner, const char *id, const report_run_t *runs,
                  uint32_t run_count, const report_end_t *end)
{
  int64_t now_ms = clk_now_ms (&owner->clock.base);
  worker_report_t report = { .sent_ms = now_ms,
                             .clock_ms = now_ms,
                             .start_ms = 1,
                             .runs = runs,
                             .run_count = run_count,
                             .ends = end,
                             .end_count = end != NULL };
  cell_poll_answered (owner->cell, id, &report);
}

/* Guards against a run that the log counts as lost although its gang had done
   its work: one end stands for all members, and the other member's worker is
   replaced before it lists its own.  */
static void
test_done_run_is_not_lost (void)
{
  static const report_run_t members[] = { { JOB_ID ".0.0.0", 1, "", 10, 0 },
                                          { JOB_ID ".0.0.1", 1, "", 10, 0 } };
  static const report_end_t gang_end = { 1, JOB_ID ".0.0.0", 1, END_DONE, "" };
  static const report_end_t last_end = { 1, JOB_ID ".0.1.0", 1, END_DONE, "" };
  owner_t owner;
  make (&owner);
  work_job_t *job = work_job_new (JOB_ID, "queue", 2);
  job->spec = g_strdup ("x");
  job->steps[0].count = 2;
  job->steps[0].gang = true;
  job->steps[1].count = 1;
  job->steps[1].after = g_new0 (uint32_t, 1);
  job->steps[1].after_count = 1;
  cell_add_job (owner.cell, job);
  cell_inheritance_t inheritance = { 0 };
  cell_begin (owner.cell, &inheritance);
  list_worker (&owner, "i-1");
  run_for (&owner, 100);
  answer_poll_with (&owner, "i-1", NULL, 0, NULL);
  run_for (&owner, 100);
  CU_ASSERT_EQUAL (owner.starts, 2);
  answer_poll_with (&owner, "i-1", members, 2, NULL);
  run_for (&owner, 100);
  answer_poll_with (&owner, "i-1", members + 1, 1, &gang_end);
  cell_poll_failed (owner.cell, "i-1", ORDER_OTHER_WORKER);
  list_worker (&owner, "i-2");
  run_for (&owner, 100);
  answer_poll_with (&owner, "i-2", NULL, 0, NULL);
  run_for (&owner, 100);
  CU_ASSERT_EQUAL (owner.starts, 3);
  answer_poll_with (&owner, "i-2", NULL, 0, &last_end);
  CU_ASSERT_PTR_NOT_NULL (strstr (owner.end_detail, "runs=3 failed=0 lost=0"));
  cell_free (owner.cell);
}

/* Guards against a task that is placed by the capacity of the life before: the
   restarted worker answers before the list shows it.  */
static void
test_capacity_of_new_life (void)
{
  owner_t owner;
  begin (&owner, 1, NULL);
  list_worker (&owner, "i-1");
  run_for (&owner, 100);
  answer_poll_as (&owner, "i-1", 5000, false);
  run_for (&owner, 100);
  answer_poll_as (&owner, "i-1", 5000, false);
  run_for (&owner, 500);
  CU_ASSERT_EQUAL (owner.starts, 0);
  list_life (&owner, "i-1", 5000, 500);
  run_for (&owner, 500);
  CU_ASSERT_EQUAL (owner.starts, 0);
  list_life (&owner, "i-1", 5000, 16000);
  run_for (&owner, 500);
  CU_ASSERT_EQUAL (owner.starts, 1);
  cell_free (owner.cell);
}

static void
accept_start (owner_t *owner, uint32_t run)
{
  cell_start_answered (owner->cell, "i-1", owner->started_task, run,
                       ORDER_ACCEPTED, clk_now_ms (&owner->clock.base));
}

/* Begins an owner with a task that runs on a worker, in the life that began at
   START_MS.  */
static void
begin_on_life (owner_t *owner, int64_t start_ms)
{
  begin (owner, 1, NULL);
  list_life (owner, "i-1", start_ms, 16000);
  run_for (owner, 100);
  answer_poll_as (owner, "i-1", start_ms, false);
  run_for (owner, 100);
  CU_ASSERT_EQUAL (owner->starts, 1);
  accept_start (owner, 1);
  run_for (owner, 100);
  answer_poll_as (owner, "i-1", start_ms, true);
  run_for (owner, 100);
}

/* Guards against a worker of which nothing is believed any more, because the
   clock of its machine was set back before it started again: its runs would
   count as alive for good, and it would get no others.  */
static void
test_lower_start (void)
{
  owner_t owner;
  begin_on_life (&owner, 5000);
  run_for (&owner, 100);
  answer_poll_as (&owner, "i-1", 3000, false);
  run_for (&owner, 100);
  answer_poll_as (&owner, "i-1", 3000, false);
  run_for (&owner, 2000);
  /* The list still shows the capacity of the life before.  */
  CU_ASSERT_EQUAL (owner.starts, 1);
  list_life (&owner, "i-1", 5000, 16000);
  run_for (&owner, 500);
  CU_ASSERT_EQUAL (owner.starts, 1);
  list_life (&owner, "i-1", 3000, 16000);
  run_for (&owner, 500);
  CU_ASSERT_EQUAL (owner.starts, 2);
  cell_free (owner.cell);
}

/* Guards against a run that is given up because of a row of an earlier life:
   after the clock was set back, a higher start may be one.  The worker itself
   tells.  */
static void
test_row_of_earlier_life (void)
{
  owner_t owner;
  begin_on_life (&owner, 5000);
  run_for (&owner, 100);
  answer_poll_as (&owner, "i-1", 3000, false);
  run_for (&owner, 100);
  list_life (&owner, "i-1", 3000, 16000);
  answer_poll_as (&owner, "i-1", 3000, false);
  run_for (&owner, 500);
  CU_ASSERT_EQUAL (owner.starts, 2);
  accept_start (&owner, 2);
  run_for (&owner, 100);
  int64_t now_ms = clk_now_ms (&owner.clock.base);
  report_run_t run = { JOB_ID ".0.0.0", 2, "", 10, 0 };
  worker_report_t report = { .sent_ms = now_ms,
                             .clock_ms = now_ms,
                             .start_ms = 3000,
                             .runs = &run,
                             .run_count = 1 };
  cell_poll_answered (owner.cell, "i-1", &report);
  list_life (&owner, "i-1", 6000, 16000);
  run_for (&owner, 500);
  CU_ASSERT_EQUAL (owner.starts, 2);
  report.sent_ms = clk_now_ms (&owner.clock.base);
  cell_poll_answered (owner.cell, "i-1", &report);
  list_life (&owner, "i-1", 3000, 16000);
  run_for (&owner, 500);
  CU_ASSERT_EQUAL (owner.starts, 2);
  /* It has started again after all.  */
  list_life (&owner, "i-1", 6000, 16000);
  run_for (&owner, 100);
  answer_poll_as (&owner, "i-1", 6000, false);
  run_for (&owner, 100);
  answer_poll_as (&owner, "i-1", 6000, false);
  run_for (&owner, 500);
  CU_ASSERT_EQUAL (owner.starts, 3);
  cell_free (owner.cell);
}

/* Guards against a run that is given up because of a late answer: it comes
   from an earlier life, to a poll that was sent before the list showed the
   known one.  */
static void
test_answer_of_earlier_life (void)
{
  owner_t owner;
  begin (&owner, 1, NULL);
  list_life (&owner, "i-1", 3000, 16000);
  run_for (&owner, 100);
  int64_t sent_ms = clk_now_ms (&owner.clock.base);
  run_for (&owner, 100);
  list_life (&owner, "i-1", 5000, 16000);
  worker_report_t report
      = { .sent_ms = sent_ms, .clock_ms = sent_ms, .start_ms = 3000 };
  cell_poll_answered (owner.cell, "i-1", &report);
  run_for (&owner, 100);
  CU_ASSERT_EQUAL (owner.starts, 0);
  answer_poll_as (&owner, "i-1", 5000, false);
  run_for (&owner, 500);
  CU_ASSERT_EQUAL (owner.starts, 1);
  cell_free (owner.cell);
}

/* Guards against a start that is repeated into the next life of its worker,
   which would carry it out: while a worker is silent only polls are sent.  */
static void
test_start_to_silent_worker (void)
{
  owner_t owner;
  begin (&owner, 1, NULL);
  list_worker (&owner, "i-1");
  run_for (&owner, 100);
  answer_poll (&owner, "i-1", false);
  run_for (&owner, 100);
  CU_ASSERT_EQUAL (owner.starts, 1);
  cell_start_answered (owner.cell, "i-1", JOB_ID ".0.0.0", 1, ORDER_UNKNOWN,
                       0);
  run_for (&owner, 200);
  CU_ASSERT_EQUAL (owner.starts, 2);
  cell_start_answered (owner.cell, "i-1", JOB_ID ".0.0.0", 1, ORDER_UNKNOWN,
                       0);
  run_for (&owner, 3000);
  CU_ASSERT_EQUAL (owner.starts, 2);
  answer_poll (&owner, "i-1", false);
  run_for (&owner, 200);
  CU_ASSERT_EQUAL (owner.starts, 3);
  cell_free (owner.cell);
}

static void
add_queue (queue_table_t *table, const char *name, uint32_t priority)
{
  queue_t *queue = queue_new ();
  queue->name = g_strdup (name);
  queue->host = g_strdup ("host");
  queue->path_prefix = g_strdup ("/");
  queue->service = g_strdup ("pool");
  queue->priority = priority;
  queue->max_attempts = 4;
  queue->stretch = 2.0;
  queue->target_ms = 1000;
  g_ptr_array_add (table->queues, queue);
}

/* Guards against a lasting task that has lost its worker and stands behind
   urgent steps in time, of which there are always some while the workers are
   full.  */
static void
test_restart_goes_first (void)
{
  static const char waits[] = "1 R 0\ng 0 0 0 -\nt 0 w 1 0 - - 0 - 0 0 0 -\n";
  owner_t owner;
  queue_table_t *table = queue_table_new (1);
  make (&owner);
  add_queue (table, "urgent", 0);
  add_queue (table, "last", 5);
  cell_set_queues (owner.cell, table);
  for (int lasting = 0; lasting < 2; lasting++)
    {
      const char *id = lasting ? JOB_ID : OTHER_JOB_ID;
      work_job_t *job = work_job_new (id, lasting ? "last" : "urgent", 1);
      job->spec = g_strdup ("x");
      job->accepted_ms = clk_now_ms (&owner.clock.base);
      job->steps[0].count = lasting ? 1 : 1000;
      job->steps[0].lasting = lasting;
      job->steps[0].need = (resource_t){ 16000, 1000, 0 };
      job->steps[0].estimate_ms = 10000;
      cell_add_job (owner.cell, job);
    }
  cell_record_t row = { JOB_ID, waits };
  CU_ASSERT_TRUE (cell_load_record (owner.cell, JOB_ID, &row, 1));
  begin_cell (&owner);
  list_worker (&owner, "i-1");
  run_for (&owner, 100);
  answer_poll (&owner, "i-1", false);
  run_for (&owner, 100);
  CU_ASSERT_EQUAL (owner.starts, 1);
  CU_ASSERT_STRING_EQUAL (owner.started_task, JOB_ID ".0.0.0");
  queue_table_free (table);
  cell_free (owner.cell);
}

/* Guards against a gang of which one member runs alone for good: the earlier
   owner was lost while it stopped the gang, or before it had saved the start
   of all members.  */
static void
test_partial_gang (void)
{
  owner_t owner;
  make (&owner);
  list_worker (&owner, "i-1");
  work_job_t *job = work_job_new (JOB_ID, "queue", 1);
  job->spec = g_strdup ("x");
  job->steps[0].count = 3;
  job->steps[0].gang = true;
  job->steps[0].need = (resource_t){ 1000, 1000, 0 };
  job->steps[0].estimate_ms = 10000;
  cell_add_job (owner.cell, job);
  cell_record_t row
      = { JOB_ID, "1 R 0\ng 0 0 0 -\nt 0 a 1 0 i-1 -\nt 1 w 1 0 - -\n" };
  CU_ASSERT_TRUE (cell_load_record (owner.cell, JOB_ID, &row, 1));
  begin_cell (&owner);
  CU_ASSERT_EQUAL (owner.stops, 1);
  cell_free (owner.cell);
}

/* Guards against starts on a worker that has been draining for longer than it
   takes new work, while the owner hears nothing of the list.  */
static void
test_old_list (void)
{
  const int64_t limit_ms = 1800;
  owner_t owner;
  make_limited (&owner, limit_ms);
  add_job (&owner, JOB_ID, 1, NULL);
  begin_cell (&owner);
  list_worker (&owner, "i-1");
  cell_workers_confirmed (owner.cell, clk_now_ms (&owner.clock.base));
  run_for (&owner, limit_ms + CELL_TICK_MS);
  answer_poll (&owner, "i-1", false);
  run_for (&owner, 500);
  CU_ASSERT_EQUAL (owner.starts, 0);
  cell_workers_confirmed (owner.cell, clk_now_ms (&owner.clock.base));
  run_for (&owner, 100);
  CU_ASSERT_EQUAL (owner.starts, 1);
  /* A start that waits for its save when the list grows old.  */
  add_job (&owner, OTHER_JOB_ID, 1, NULL);
  cell_run (owner.cell, clk_now_ms (&owner.clock.base));
  clk_fake_advance_ms (&owner.clock, CELL_TICK_MS);
  cell_run (owner.cell, clk_now_ms (&owner.clock.base));
  CU_ASSERT_TRUE (owner.save_pending);
  clk_fake_advance_ms (&owner.clock, limit_ms);
  run_for (&owner, 200);
  CU_ASSERT_EQUAL (owner.starts, 1);
  cell_workers_confirmed (owner.cell, clk_now_ms (&owner.clock.base));
  answer_poll (&owner, "i-1", true);
  run_for (&owner, 200);
  CU_ASSERT_EQUAL (owner.starts, 2);
  cell_free (owner.cell);
}

static CU_TestInfo owner_tests[] = {
  { "starts while the list of workers is old", test_old_list },
  { "a worker that starts again with a lower start", test_lower_start },
  { "a row of an earlier life", test_row_of_earlier_life },
  { "an answer of an earlier life", test_answer_of_earlier_life },
  { "a gang of which one member runs", test_partial_gang },
  { "times in the line about the end of a job", test_times_in_log },
  { "a run of a gang that is done is not lost", test_done_run_is_not_lost },
  { "leases after a pause", test_leases_after_pause },
  { "a worker that only a record names", test_worker_only_in_record },
  { "crashes in the record of an earlier owner", test_recorded_crashes },
  { "a cancel while only a record names the worker",
    test_cancel_on_unlisted_worker },
  { "the address of a worker that has left the list", test_recorded_address },
  { "a start after a crash without a sign", test_start_after_silent_crash },
  { "changes during the save before a start", test_changes_during_save },
  { "the capacity of a restarted worker", test_capacity_of_new_life },
  { "no start is repeated to a silent worker", test_start_to_silent_worker },
  { "a lasting task that has to run again goes first",
    test_restart_goes_first },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_owner_suites[] = {
  { "owner", NULL, NULL, NULL, NULL, owner_tests },
  CU_SUITE_INFO_NULL,
};
