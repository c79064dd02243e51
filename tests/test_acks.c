#include "cell_internal.h"
#include "test.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* How long an owner takes to acknowledge the ends of runs while each save
   takes long and more jobs change than one save holds.  Each worker runs the
   tasks of one job, one after the other.  */

#define WORKERS 389u
#define TASK_MS 200
#define SAVE_MS 250
#define TASK_CPU_MILLIS 1000
#define TASKS_PER_JOB 1000u
#define PLAY_MS 12000
/* The platform's bound for acknowledgements.  */
#define ACK_MS 4000

typedef struct
{
  char id[16];
  char task[WORK_NAME_BYTES]; /* "": none */
  uint32_t run;
  int64_t ends_ms;
  GPtrArray *ended; /* names of the tasks whose end is not acknowledged */
  uint64_t last_end, acknowledged;
  int64_t acknowledged_ms;             /* when an end was last acknowledged */
  int64_t poll_sent_ms, poll_until_ms; /* 0: no poll is in flight */
} busy_worker_t;

typedef struct
{
  cell_t *cell;
  clk_fake_t clock;
  busy_worker_t workers[WORKERS];
  int64_t save_sent_ms; /* 0: none */
  uint32_t most_records;
} crowd_t;

static int64_t
now_of (const crowd_t *crowd)
{
  return clk_now_ms (&crowd->clock.base);
}

static busy_worker_t *
worker_of (crowd_t *crowd, const cell_worker_ref_t *ref)
{
  unsigned number = 0;
  sscanf (ref->id, "i-%u", &number);
  return &crowd->workers[number];
}

static void
on_save (void *context, const cell_record_t *records, uint32_t count)
{
  crowd_t *crowd = context;
  crowd->save_sent_ms = now_of (crowd);
  crowd->most_records = MAX (crowd->most_records, count);
}

static void
on_start (void *context, const cell_worker_ref_t *ref,
          const cell_start_order_t *order)
{
  busy_worker_t *worker = worker_of (context, ref);
  g_strlcpy (worker->task, order->task, WORK_NAME_BYTES);
  worker->run = order->run;
  worker->ends_ms = now_of (context) + TASK_MS;
}

static void
on_stop (void *context, const cell_worker_ref_t *ref, const char *task,
         uint32_t run)
{
}

static void
on_poll (void *context, const cell_worker_ref_t *ref, int64_t lease_until_ms,
         uint64_t acknowledged_end, int64_t wait_ms)
{
  busy_worker_t *worker = worker_of (context, ref);
  worker->poll_sent_ms = now_of (context);
  worker->poll_until_ms = worker->poll_sent_ms + MAX (wait_ms, 1);
  if (acknowledged_end <= worker->acknowledged)
    return;
  g_ptr_array_remove_range (worker->ended, 0,
                            (guint)(acknowledged_end - worker->acknowledged));
  worker->acknowledged = acknowledged_end;
  worker->acknowledged_ms = worker->poll_sent_ms;
}

static void
on_log (void *context, const char *event, const char *subject,
        const char *detail)
{
}

static const cell_actions_t actions = { .save = on_save,
                                        .start = on_start,
                                        .stop = on_stop,
                                        .poll = on_poll,
                                        .log = on_log };

static void
answer_poll (crowd_t *crowd, busy_worker_t *worker)
{
  int64_t now_ms = now_of (crowd);
  if (worker->task[0] != '\0' && now_ms >= worker->ends_ms)
    {
      g_ptr_array_add (worker->ended, g_strdup (worker->task));
      worker->last_end++;
      worker->task[0] = '\0';
    }
  if (worker->poll_until_ms == 0
      || (now_ms < worker->poll_until_ms && worker->ended->len == 0))
    return;
  report_run_t run = { worker->task, worker->run, "", 10, 0 };
  report_end_t *ends = g_new0 (report_end_t, worker->ended->len + 1);
  for (guint i = 0; i < worker->ended->len; i++)
    ends[i] = (report_end_t){ worker->acknowledged + i + 1,
                              worker->ended->pdata[i], 1, END_DONE, "" };
  worker_report_t report = { .sent_ms = worker->poll_sent_ms,
                             .clock_ms = now_ms,
                             .start_ms = 1,
                             .runs = &run,
                             .run_count = worker->task[0] != '\0',
                             .ends = ends,
                             .end_count = worker->ended->len };
  worker->poll_until_ms = 0;
  cell_poll_answered (crowd->cell, worker->id, &report);
  g_free (ends);
}

static void
add_worker_with_job (crowd_t *crowd, uint32_t at)
{
  busy_worker_t *worker = &crowd->workers[at];
  char id[WORK_ID_LENGTH + 1];
  char label[16];
  const char *labels[] = { label };
  g_snprintf (worker->id, sizeof worker->id, "i-%u", at);
  g_snprintf (label, sizeof label, "only-%u", at);
  g_snprintf (id, sizeof id, "%016x", at + 1);
  worker->ended = g_ptr_array_new_with_free_func (g_free);
  worker->acknowledged_ms = now_of (crowd);
  worker_row_t row = { .id = worker->id,
                       .address = worker->id,
                       .service = "pool",
                       .rack = "r1-1",
                       .labels = labels,
                       .label_count = 1,
                       .capacity = { TASK_CPU_MILLIS, 64000, 8 },
                       .remaining_ms = -1,
                       .start_ms = 1 };
  cell_worker_listed (crowd->cell, &row);
  work_job_t *job = work_job_new (id, "queue", 1);
  job->spec = g_strdup ("x");
  job->steps[0].count = TASKS_PER_JOB;
  job->steps[0].need = (resource_t){ TASK_CPU_MILLIS, 1000, 0 };
  job->steps[0].estimate_ms = TASK_MS;
  job->steps[0].label = g_strdup (label);
  cell_add_job (crowd->cell, job);
}

/* Guards against an owner that acknowledges no end at all while its saves
   can't keep up: workers list all of them again with each poll, and are polled
   at gaps of a second meanwhile.  */
static void
test_acks_while_saves_are_full (void)
{
  static const cell_options_t options
      = { .max_lease_ms = 6000, .retention_ms = 120000 };
  const cell_inheritance_t inheritance = { 0 };
  crowd_t *crowd = g_new0 (crowd_t, 1);
  int64_t longest_ms = 0;
  uint64_t ends = 0;
  clk_fake_init (&crowd->clock, 100000);
  crowd->cell = cell_new (&options, &crowd->clock.base, &actions, crowd);
  for (uint32_t i = 0; i < WORKERS; i++)
    add_worker_with_job (crowd, i);
  cell_begin (crowd->cell, &inheritance);
  for (int64_t at_ms = 0; at_ms < PLAY_MS; at_ms += CELL_TICK_MS)
    {
      clk_fake_advance_ms (&crowd->clock, CELL_TICK_MS);
      int64_t now_ms = now_of (crowd);
      cell_ownership_confirmed (crowd->cell, now_ms - 1);
      if (crowd->save_sent_ms != 0 && now_ms >= crowd->save_sent_ms + SAVE_MS)
        {
          crowd->save_sent_ms = 0;
          cell_save_done (crowd->cell);
        }
      for (uint32_t i = 0; i < WORKERS; i++)
        answer_poll (crowd, &crowd->workers[i]);
      cell_run (crowd->cell, now_ms);
    }
  for (uint32_t i = 0; i < WORKERS; i++)
    {
      busy_worker_t *worker = &crowd->workers[i];
      ends += worker->last_end;
      longest_ms = MAX (longest_ms, now_of (crowd) - worker->acknowledged_ms);
      g_ptr_array_unref (worker->ended);
    }
  printf (
      "acks: %u records in the largest save, %u ends, longest time without "
      "an acknowledgement %lld ms\n",
      crowd->most_records, (unsigned)ends, (long long)longest_ms);
  CU_ASSERT_TRUE (longest_ms <= ACK_MS);
  cell_free (crowd->cell);
  g_free (crowd);
}

/* Guards against a share of allowed workers over 1: the answer to a call of a
   step that has ended meanwhile names workers that nobody counted as named. */
static void
test_advice_after_end (void)
{
  static const cell_options_t options
      = { .max_lease_ms = 6000, .retention_ms = 120000 };
  const advice_row_t row = { "i-1", "ticket" };
  clk_fake_t clock;
  clk_fake_init (&clock, 100000);
  cell_t *cell = cell_new (&options, &clock.base, &actions, NULL);
  queue_table_t *table = queue_table_new (1);
  queue_t *queue = queue_new ();
  queue->name = g_strdup ("queue");
  queue->host = g_strdup ("host");
  queue->path_prefix = g_strdup ("/queue/");
  queue->service = g_strdup ("pool");
  queue->advised = true;
  g_ptr_array_add (table->queues, queue);
  cell_set_queues (cell, table);
  work_job_t *job = work_job_new ("5c0e7a21d94b36f8", "queue", 1);
  job->spec = g_strdup ("x");
  job->steps[0].count = 1;
  job->steps[0].need = (resource_t){ TASK_CPU_MILLIS, 1000, 0 };
  cell_add_job (cell, job);
  cell_advice_answered (cell, "5c0e7a21d94b36f8.0.0", 1, true, &row, 1, 2000);
  const advice_counts_t *counts
      = g_hash_table_lookup (cell->advice_counts, "queue");
  CU_ASSERT_TRUE (counts == NULL || counts->allowed <= counts->named);
  cell_free (cell);
  queue_table_free (table);
}

static CU_TestInfo ack_tests[] = {
  { "acknowledgements while saves are full", test_acks_while_saves_are_full },
  { "advice for a step that has ended", test_advice_after_end },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_ack_suites[] = {
  { "acks", NULL, NULL, NULL, NULL, ack_tests },
  CU_SUITE_INFO_NULL,
};
