#include "cell.h"
#include "test.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* A worker that starts anew under its id and then falls silent, with a lasting
   task.  The owner stays and reaches the store all the time.  */

#define JOB_ID "5c0e7a21d94b36f8"
#define TASK JOB_ID ".0.0.0"
#define OLD_WORKER "i-9"
#define NEW_WORKER "i-1"
#define MAX_HOLD_MS 6000
/* The users' rule: 4 s without disturbance, and 3 s in which it may wait.  */
#define CALM_MS 7000
#define START_MS 100000
#define BEFORE_MS 3000
#define MOST_MS 40000

typedef struct
{
  int64_t silent_ms; /* the new life of the old worker answers until then */
  int64_t late_ms;   /* a renewal of its first life is carried out; 0: none */
} course_t;

typedef struct
{
  const course_t *course;
  clk_fake_t clock;
  cell_t *cell;
  bool save_pending;
  struct
  {
    int64_t sent_ms, wait_ms;
    uint32_t raises;
    bool pending;
  } polls[2];           /* of OLD_WORKER and NEW_WORKER */
  uint32_t run;         /* on the old worker; 0: none */
  uint32_t seen_raises; /* the highest that its current life has seen; it does
                           nothing for a lower one */
  bool start_pending;   /* its start has no answer yet */
  int64_t lease_end_ms; /* of the old worker's life, time of the test */
  int64_t started_ms;   /* on NEW_WORKER; 0: not yet */
} course_state_t;

/* Time since the restart of the old worker.  */
static int64_t
time_of (const course_state_t *state)
{
  return clk_now_ms (&state->clock.base) - START_MS;
}

/* The old worker's clock begins anew with each life.  */
static int64_t
old_clock_ms (const course_state_t *state)
{
  return time_of (state) < 0 ? clk_now_ms (&state->clock.base)
                             : time_of (state) + 1;
}

static void
renew (course_state_t *state, int64_t until_ms)
{
  int64_t left_ms = MIN (until_ms - old_clock_ms (state), MAX_HOLD_MS);
  state->lease_end_ms = MAX (state->lease_end_ms, time_of (state) + left_ms);
}

static bool
old_answers (const course_state_t *state)
{
  return time_of (state) < state->course->silent_ms;
}

static void
on_save (void *context, const cell_record_t *records, uint32_t count)
{
  ((course_state_t *)context)->save_pending = true;
}

static void
on_start (void *context, const cell_worker_ref_t *worker,
          const cell_start_order_t *order)
{
  course_state_t *state = context;
  if (strcmp (worker->id, NEW_WORKER) == 0)
    {
      if (state->started_ms == 0)
        state->started_ms = time_of (state);
      return;
    }
  state->run = order->run;
  state->start_pending = true;
  renew (state, order->lease_until_ms);
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
  course_state_t *state = context;
  bool is_new = strcmp (worker->id, NEW_WORKER) == 0;
  state->polls[is_new].sent_ms = clk_now_ms (&state->clock.base);
  state->polls[is_new].wait_ms = wait_ms;
  state->polls[is_new].pending = true;
  state->polls[is_new].raises = worker->raises;
  if (is_new || !old_answers (state))
    return;
  state->seen_raises = MAX (state->seen_raises, worker->raises);
  if (lease_until_ms > 0)
    renew (state, lease_until_ms);
}

static void
on_log (void *context, const char *event, const char *subject,
        const char *detail)
{
  if (g_getenv ("RESTART_LOG") != NULL)
    g_print ("%lld %s %s %s\n", (long long)time_of (context), event, subject,
             detail);
}

static const cell_actions_t actions = { .save = on_save,
                                        .start = on_start,
                                        .stop = on_stop,
                                        .poll = on_poll,
                                        .log = on_log };

static void
list_worker (const course_state_t *state, const char *id, int64_t start_ms)
{
  worker_row_t row = { .id = id,
                       .address = id,
                       .service = "pool",
                       .rack = "r1-1",
                       .capacity = { 16000, 64000, 8 },
                       .remaining_ms = -1,
                       .start_ms = start_ms };
  cell_worker_listed (state->cell, &row);
}

static void
answer_poll (course_state_t *state, bool is_new)
{
  int64_t now_ms = clk_now_ms (&state->clock.base);
  if (!state->polls[is_new].pending
      || now_ms < state->polls[is_new].sent_ms + state->polls[is_new].wait_ms)
    return;
  state->polls[is_new].pending = false;
  if (!is_new && !old_answers (state))
    {
      cell_poll_failed (state->cell, OLD_WORKER, ORDER_NOT_DELIVERED);
      return;
    }
  report_run_t run = { TASK, state->run, "", 100, 0 };
  worker_report_t report
      = { .sent_ms = state->polls[is_new].sent_ms,
          .raises = state->polls[is_new].raises,
          .clock_ms = is_new ? now_ms : old_clock_ms (state),
          .start_ms = is_new || time_of (state) < 0 ? 1 : 2,
          .runs = &run,
          .run_count = !is_new && state->run > 0 && !state->start_pending };
  cell_poll_answered (state->cell, is_new ? NEW_WORKER : OLD_WORKER, &report);
}

static void
step (course_state_t *state)
{
  const course_t *course = state->course;
  clk_fake_advance_ms (&state->clock, CELL_TICK_MS);
  int64_t now_ms = clk_now_ms (&state->clock.base);
  if (time_of (state) == 0)
    {
      state->run = 0;
      state->seen_raises = 0;
      state->lease_end_ms = 0;
      state->start_pending = false;
      list_worker (state, OLD_WORKER, 2);
    }
  if (time_of (state) == MAX (course->silent_ms, CELL_TICK_MS))
    list_worker (state, NEW_WORKER, 1);
  if (course->late_ms > 0 && time_of (state) == course->late_ms
      && state->seen_raises == 0 && time_of (state) < state->lease_end_ms)
    renew (state, START_MS + MAX_HOLD_MS);
  cell_ownership_confirmed (state->cell, now_ms - 1);
  if (state->save_pending)
    {
      state->save_pending = false;
      cell_save_done (state->cell);
    }
  if (state->start_pending && old_answers (state))
    {
      state->start_pending = false;
      cell_start_answered (state->cell, OLD_WORKER, TASK, state->run,
                           ORDER_ACCEPTED, old_clock_ms (state));
    }
  answer_poll (state, false);
  answer_poll (state, true);
  cell_run (state->cell, now_ms);
}

/* Returns when the task runs on the new worker, and sets *LEASE_END_MS to when
   the lease of the old one ends.  */
static int64_t
play (const course_t *course, int64_t *lease_end_ms)
{
  static const cell_options_t options
      = { .max_lease_ms = MAX_HOLD_MS, .retention_ms = 120000 };
  const cell_inheritance_t inheritance = { 0 };
  course_state_t state = { .course = course };
  clk_fake_init (&state.clock, START_MS - BEFORE_MS);
  state.cell = cell_new (&options, &state.clock.base, &actions, &state);
  work_job_t *job = work_job_new (JOB_ID, "queue", 1);
  job->spec = g_strdup ("x");
  job->steps[0].count = 1;
  job->steps[0].need = (resource_t){ 1000, 1000, 0 };
  job->steps[0].lasting = true;
  cell_add_job (state.cell, job);
  list_worker (&state, OLD_WORKER, 1);
  cell_begin (state.cell, &inheritance);
  while (state.started_ms == 0 && time_of (&state) < MOST_MS)
    step (&state);
  cell_free (state.cell);
  *lease_end_ms = state.lease_end_ms;
  return state.started_ms;
}

/* Guards against a lasting task that waits for orders that cannot concern it:
   its run was confirmed by the first life of the worker, which has ended, and
   no other copy of its start is under way.  */
static void
test_restarted_and_silent (void)
{
  const course_t course = { .silent_ms = 0 };
  int64_t lease_end_ms;
  int64_t started_ms = play (&course, &lease_end_ms);
  if (started_ms <= 0 || started_ms > CALM_MS)
    printf ("\n  runs again at %lld ms", (long long)started_ms);
  CU_ASSERT_TRUE (started_ms > 0 && started_ms <= CALM_MS);
}

/* Guards against a task that runs twice: a renewal that was sent before the
   restart, and is carried out after it, gives the new life a lease that the
   owner does not expect.  */
static void
test_late_renewal_of_new_life (void)
{
  const course_t course = { .silent_ms = 2000, .late_ms = 5000 };
  int64_t lease_end_ms;
  int64_t started_ms = play (&course, &lease_end_ms);
  if (started_ms < lease_end_ms)
    printf ("\n  runs again at %lld ms, lease until %lld",
            (long long)started_ms, (long long)lease_end_ms);
  CU_ASSERT_TRUE (started_ms >= lease_end_ms);
}

static CU_TestInfo restart_tests[] = {
  { "restarted and silent", test_restarted_and_silent },
  { "a late renewal of the new life", test_late_renewal_of_new_life },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_restart_suites[] = {
  { "restart", NULL, NULL, NULL, NULL, restart_tests },
  CU_SUITE_INFO_NULL,
};
