#include "cell_internal.h"

#include <string.h>

/* How long a worker may delay the answer to a poll until it has a new end;
   also the longest time between two renewals of its lease.  */
#define POLL_WAIT_MS 1000
/* The same while serving tasks share the worker with fillers, so that the
   speed of the fillers follows the reported tail latency.  */
#define POLL_WAIT_PACED_MS 300
/* The same while single answers of workers get lost: the loss of the answer to
   a poll shows only after its wait, and the ends that it lists are known no
   sooner.  */
#define POLL_WAIT_LOSSY_MS 250
/* How long after a lost answer more losses are expected.  */
#define LOSSY_PERIOD_MS 5000
/* Polls a second that shorter waits may lead to in the whole cell: a large one
   would leave its owner no time for anything else.  */
#define LOSSY_POLLS_PER_S 800u
/* Pause after a failed poll.  */
#define POLL_RETRY_MS 200
/* An idle worker is polled this often.  Its clock is known no better than that
   it is at most 2% slow, which shortens the lease of the next start.  */
#define IDLE_POLL_PERIOD_MS 60000
/* A worker has restarted if its clock is behind the slowest possible clock by
   more than this.  */
#define RESTART_CLOCK_MARGIN_MS 100
/* While ends are not saved yet, a poll would list them again, so polls are
   held back, except for one in each such period, which renews the lease.  */
#define UNSAVED_POLL_PERIOD_MS 1000
/* The tasks of a draining worker are stopped this long before it may leave, so
   that they save their progress and their ends are reported in time.  */
#define EVACUATE_BEFORE_MS 900

cell_worker_t *
cell_find_worker (const cell_t *cell, const char *id)
{
  return g_hash_table_lookup (cell->workers, id);
}

void
cell_worker_free (cell_worker_t *worker)
{
  g_free (worker->id);
  g_free (worker->address);
  g_free (worker->machine);
  g_free (worker->rack);
  g_hash_table_unref (worker->labels);
  g_ptr_array_unref (worker->tasks);
  g_array_unref (worker->unsaved_ends);
  g_array_unref (worker->ends);
  g_free (worker);
}

static cell_worker_t *
worker_new (cell_t *cell, const char *id)
{
  cell_worker_t *worker = g_new0 (cell_worker_t, 1);
  worker->id = g_strdup (id);
  worker->number = ++cell->last_worker_number;
  worker->address = g_strdup ("");
  worker->machine = g_strdup ("");
  worker->rack = g_strdup ("");
  worker->labels
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker->tasks = g_ptr_array_new ();
  worker->unsaved_ends = g_array_new (FALSE, TRUE, sizeof (unsaved_end_t));
  worker->ends = g_array_new (FALSE, FALSE, sizeof (cell_end_t));
  worker->added_ms = cell->now_ms;
  worker->raises = GPOINTER_TO_UINT (g_hash_table_lookup (cell->raises, id));
  g_hash_table_insert (cell->workers, worker->id, worker);
  g_ptr_array_add (cell->worker_list, worker);
  return worker;
}

cell_worker_ref_t
cell_worker_ref (const cell_worker_t *worker)
{
  return (cell_worker_ref_t){ worker->id, worker->address, worker->raises };
}

uint32_t
cell_worker_raises (const cell_t *cell, const char *id)
{
  const cell_worker_t *worker = g_hash_table_lookup (cell->workers, id);
  return worker != NULL
             ? worker->raises
             : GPOINTER_TO_UINT (g_hash_table_lookup (cell->raises, id));
}

/* Treats every run on WORKER as ended, HOW, and undoes its assignments.  */
static void
end_all_runs (cell_worker_t *worker, end_kind_t how)
{
  while (worker->tasks->len > 0)
    {
      cell_task_t *task = worker->tasks->pdata[worker->tasks->len - 1];
      if (task->state != RUN_ASSIGNED)
        cell_run_ended (task, how, NULL);
      else if (task->group->spec->gang)
        cell_stop_gang (task->group);
      else
        cell_stop_task (task);
    }
}

/* After a restart of WORKER: a start that was sent before it and not answered
   may still be carried out by the new incarnation, so such a run is stopped
   there first.  The other runs are left to the next report: one confirmed
   shortly before the restart was noticed may run in the new incarnation.  */
static void
stop_unanswered_starts (cell_worker_t *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      cell_task_t *task = worker->tasks->pdata[i];
      if (task->state != RUN_ASSIGNED
          && (task->start_unanswered || task->start_in_flight))
        cell_resend_stop (task);
    }
}

/* After a restart of WORKER: a run that the last report listed has ended with
   the life that sent it, and if its only start was answered, no order that is
   still under way can begin it again.  */
static void
end_reported_runs (cell_worker_t *worker)
{
  for (guint i = worker->tasks->len; i > 0; i--)
    {
      if (i > worker->tasks->len)
        continue;
      cell_task_t *task = worker->tasks->pdata[i - 1];
      if (task->state == RUN_LIVE && task->reported
          && task->start_confirmed_ms > 0 && !task->start_unanswered
          && !task->start_in_flight)
        cell_run_ended (task, END_STOPPED, NULL);
    }
}

static void
worker_restarted (cell_t *cell, cell_worker_t *worker, int64_t start_ms)
{
  cell_log (cell, "worker_restarted", worker->id, "tasks=%u",
            worker->tasks->len);
  bool life_known = worker->start_ms != 0;
  cell_worker_crashed (cell, worker, "restarted");
  worker->start_ms = start_ms;
  worker->processed_end = worker->saved_end = worker->end_in_save = 0;
  g_array_set_size (worker->unsaved_ends, 0);
  worker->acknowledged_end = worker->acknowledging_end = 0;
  worker->lease_end_ms = 0;
  worker->sampled_ms = 0;
  worker->fail_streak = 0;
  worker->avoid_until_ms = 0;
  worker->has_fencing_token = false;
  worker->raises = MIN (worker->raises + 1, CELL_MAX_RAISES);
  cell_expect_late_orders (cell, worker);
  if (life_known)
    end_reported_runs (worker);
  stop_unanswered_starts (worker);
}

/* Takes note of a life of WORKER that is later than the known one.  */
static void
worker_has_life (cell_t *cell, cell_worker_t *worker, int64_t start_ms)
{
  if (worker->start_ms != 0)
    worker_restarted (cell, worker, start_ms);
  worker->start_ms = start_ms;
  worker->start_known_ms = cell->now_ms;
  worker->highest_start_ms = MAX (worker->highest_start_ms, start_ms);
}

/* Whether a row of the list that names a life of WORKER which started at
   START_MS proves that it is later than the known one.  A row may be of an
   earlier life, so only a rising start does, and only as long as the clock of
   the machine is not known to have been set back.  */
static bool
row_proves_restart (const cell_worker_t *worker, int64_t start_ms)
{
  return start_ms > worker->start_ms
         && worker->start_ms == worker->highest_start_ms;
}

/* The same for a report.  One of an earlier life answers a poll that was sent
   before the known life was learned of.  */
static bool
report_proves_restart (const cell_worker_t *worker,
                       const worker_report_t *report)
{
  return report->start_ms > worker->highest_start_ms
         || report->sent_ms > worker->start_known_ms;
}

void
cell_check_worker_clock (cell_t *cell, cell_worker_t *worker, int64_t sent_ms,
                         int64_t clock_ms)
{
  if (worker->sampled_ms == 0 || clock_ms <= 0)
    return;
  /* The answer was given after the order was sent, which may be before the
     clock was sampled, since answers can overtake each other.  */
  double since_ms = (double)(sent_ms - worker->sampled_ms);
  if (since_ms > 0)
    since_ms *= 1.0 - CLOCK_MAX_SLOW_SHARE;
  /* After a restart ends are numbered from 1 again, so the next poll must not
     acknowledge a number of the previous incarnation.  */
  if ((double)(clock_ms + RESTART_CLOCK_MARGIN_MS)
      < (double)worker->sampled_clock_ms + since_ms)
    worker_restarted (cell, worker, worker->start_ms);
}

static void
replace_text (char **slot, const char *text)
{
  if (strcmp (*slot, text) == 0)
    return;
  g_free (*slot);
  *slot = g_strdup (text);
}

void
cell_worker_listed (cell_t *cell, const worker_row_t *row)
{
  cell->now_ms = clk_now_ms (cell->clock);
  cell_worker_t *worker = cell_find_worker (cell, row->id);
  if (worker == NULL)
    worker = worker_new (cell, row->id);
  bool was_draining = worker->draining;
  replace_text (&worker->address, row->address != NULL ? row->address : "");
  replace_text (&worker->machine, row->machine != NULL ? row->machine : "");
  replace_text (&worker->rack, row->rack != NULL ? row->rack : "");
  g_hash_table_remove_all (worker->labels);
  for (uint32_t i = 0; i < row->label_count; i++)
    g_hash_table_add (worker->labels, g_strdup (row->labels[i]));
  cell->fit_epoch
      += !worker->listed || worker->draining != row->draining
         || worker->listed_start_ms != row->start_ms
         || memcmp (&worker->capacity, &row->capacity, sizeof worker->capacity)
                != 0;
  worker->capacity = row->capacity;
  worker->listed = true;
  worker->draining = row->draining;
  if (row->draining && row->remaining_ms >= 0)
    worker->may_leave_ms = cell->now_ms + row->remaining_ms;
  if (row->draining && !was_draining)
    cell_log (cell, "worker_draining", worker->id, "remaining_ms=%lld",
              (long long)row->remaining_ms);
  if (row_proves_restart (worker, row->start_ms))
    worker_has_life (cell, worker, row->start_ms);
  else if (row->start_ms != 0 && row->start_ms != worker->start_ms)
    worker->check_due = true;
  worker->listed_start_ms = row->start_ms;
  cell->place_pending = true;
}

void
cell_worker_unlisted (cell_t *cell, const char *id)
{
  cell_worker_t *worker = cell_find_worker (cell, id);
  if (worker == NULL || !worker->listed)
    return;
  worker->listed = false;
  cell->fit_epoch++;
  cell_log (cell, "worker_unlisted", id, "tasks=%u draining=%d",
            worker->tasks->len, worker->draining);
}

void
cell_worker_is_silent (cell_t *cell, cell_worker_t *worker)
{
  if (!worker->responsive)
    return;
  worker->silent_ms = cell->now_ms;
  worker->responsive = false;
  cell->fit_epoch++;
  cell_check_rack (cell, worker);
}

void
cell_workers_confirmed (cell_t *cell, int64_t as_of_ms)
{
  cell->list_confirmed_ms = MAX (cell->list_confirmed_ms, as_of_ms);
}

bool
cell_list_is_current (const cell_t *cell)
{
  return cell->options.list_limit_ms == 0
         || cell->now_ms - cell->list_confirmed_ms
                <= cell->options.list_limit_ms;
}

bool
cell_worker_takes_starts (const cell_worker_t *worker)
{
  /* After a restart the list may still show the capacity of the life before.
   */
  return worker->has_fencing_token && worker->responsive && !worker->draining
         && (worker->listed_start_ms == 0
             || worker->listed_start_ms == worker->start_ms)
         && resource_fits (worker->used, worker->capacity);
}

static bool
serves_beside_fillers (const cell_worker_t *worker)
{
  bool serves = false;
  bool fills = false;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const cell_task_t *task = worker->tasks->pdata[i];
      serves = serves || task->group->spec->tail_limit_ms > 0;
      fills = fills || task->group->spec->filler;
    }
  return serves && fills;
}

static bool
has_confirmed_stop (const cell_worker_t *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const cell_task_t *task = worker->tasks->pdata[i];
      if (task->state == RUN_STOPPING && task->stop_confirmed_ms > 0)
        return true;
    }
  return false;
}

/* The end number to acknowledge with the next poll, 0 for none.  None is sent
   if the last poll was not answered or nothing new is to be acknowledged: the
   worker may have restarted, and the number would acknowledge ends of the new
   incarnation, which are numbered from 1, before they were processed.  */
static uint64_t
end_to_acknowledge (const cell_worker_t *worker)
{
  return worker->responsive && worker->failed_polls == 0
                 && worker->saved_end > worker->acknowledged_end
             ? worker->saved_end
             : 0;
}

static void
send_poll (cell_t *cell, cell_worker_t *worker, int64_t wait_ms)
{
  cell_worker_ref_t ref = cell_worker_ref (worker);
  int64_t until_ms = 0;
  if (worker->has_fencing_token && worker->responsive
      && worker->failed_polls == 0)
    until_ms = cell_give_lease (cell, worker);
  cell->load.polls++;
  worker->poll_in_flight = true;
  worker->poll_sent_ms = cell->now_ms;
  worker->poll_wait_ms = wait_ms;
  worker->check_due = false;
  worker->acknowledging_end = end_to_acknowledge (worker);
  cell->actions->poll (cell->context, &ref, until_ms,
                       worker->acknowledging_end, wait_ms);
}

/* How long polls wait while answers get lost.  */
static int64_t
lossy_wait_ms (const cell_t *cell)
{
  const int64_t ms_per_s = 1000;
  return CLAMP (cell->busy_workers * ms_per_s / LOSSY_POLLS_PER_S,
                POLL_WAIT_LOSSY_MS, POLL_WAIT_MS);
}

void
cell_poll_if_due (cell_t *cell, cell_worker_t *worker)
{
  if (worker->poll_in_flight || !cell->begun || cell->fenced
      || worker->address[0] == '\0' || cell->now_ms < worker->next_poll_ms)
    return;
  bool unsaved = worker->processed_end > worker->saved_end;
  if (unsaved
      && cell->now_ms - worker->polls_held_since_ms < UNSAVED_POLL_PERIOD_MS)
    return;
  if (!worker->has_fencing_token)
    {
      if (worker->listed || worker->tasks->len > 0)
        send_poll (cell, worker, 0);
      return;
    }
  if (worker->tasks->len == 0 && worker->stray_runs == 0
      && worker->acknowledged_end >= worker->saved_end && !worker->check_due
      && (worker->responsive || !worker->listed))
    return;
  int64_t wait_ms = POLL_WAIT_MS;
  if (serves_beside_fillers (worker))
    wait_ms = POLL_WAIT_PACED_MS;
  if (cell_renewal_is_urgent (cell, worker)
      || (cell->answer_lost_ms != 0
          && cell->now_ms - cell->answer_lost_ms < LOSSY_PERIOD_MS))
    wait_ms = MIN (wait_ms, lossy_wait_ms (cell));
  if (unsaved || worker->failed_polls > 0 || worker->sampled_ms == 0
      || has_confirmed_stop (worker) || worker->tasks->len == 0)
    wait_ms = 0;
  if (unsaved)
    worker->polls_held_since_ms = cell->now_ms;
  if (wait_ms == 0)
    worker->next_poll_ms = cell->now_ms + CELL_TICK_MS;
  send_poll (cell, worker, wait_ms);
}

static cell_task_t *
task_of_run (cell_t *cell, const cell_worker_t *worker, const char *name,
             uint32_t run)
{
  cell_task_t *task = cell_find_task (cell, name);
  if (task == NULL || task->worker != worker || task->run != run
      || task->state == RUN_ASSIGNED)
    return NULL;
  return task;
}

/* Returns the task whose run RUN was treated as ended and that has no newer
   run, NULL if there is none: if that run is reported as done after all, the
   task needs no other run.  */
static cell_task_t *
task_of_lost_run (cell_t *cell, const char *name, uint32_t run)
{
  cell_task_t *task = cell_find_task (cell, name);
  if (task == NULL || task->state != RUN_WAITING || task->run != run
      || task->worker != NULL || task->group->spec->gang)
    return NULL;
  return task;
}

/* Logs the end of a done run that has no effect, because its task has a newer
   run or its gang has to run again.  */
static void
log_ignored_end (cell_t *cell, const cell_worker_t *worker,
                 const report_end_t *end)
{
  const cell_task_t *task = cell_find_task (cell, end->task);
  if (task == NULL || task->state == RUN_DONE || task->state == RUN_JOB_ENDED)
    return;
  cell_log (cell, "end_ignored", end->task,
            "run=%u worker=%s state=%d has_run=%u has_worker=%s", end->run,
            worker->id, task->state, task->run,
            task->worker != NULL ? task->worker->id : "-");
}

/* Notes that END has to be saved with its job before it is acknowledged.  */
static void
note_unsaved_end (const cell_t *cell, cell_worker_t *worker,
                  const report_end_t *end)
{
  work_name_t parts;
  unsaved_end_t unsaved = { .number = end->number };
  if (!work_name_parse (end->task, &parts)
      || g_hash_table_lookup (cell->jobs, parts.id) == NULL)
    return;
  g_strlcpy (unsaved.job, parts.id, sizeof unsaved.job);
  g_array_append_val (worker->unsaved_ends, unsaved);
}

static void
process_ends (cell_t *cell, cell_worker_t *worker,
              const worker_report_t *report)
{
  for (uint32_t i = 0; i < report->end_count; i++)
    {
      const report_end_t *end = &report->ends[i];
      if (end->number <= worker->processed_end)
        continue;
      worker->processed_end = end->number;
      worker->polls_held_since_ms = cell->now_ms;
      cell->new_ends = true;
      note_unsaved_end (cell, worker, end);
      cell_task_t *task = task_of_run (cell, worker, end->task, end->run);
      if (task == NULL)
        cell_run_outlived_lease (cell, end->task, end->run);
      if (task == NULL && end->how == END_DONE)
        {
          task = task_of_lost_run (cell, end->task, end->run);
          if (task == NULL)
            log_ignored_end (cell, worker, end);
        }
      if (task != NULL)
        cell_run_ended (task, end->how, end->checkpoint);
    }
}

static void
update_progress (cell_t *cell, cell_task_t *task, const report_run_t *run)
{
  task->reported = true;
  task->verdict_pending = false;
  if (task->seen_running_ms == 0)
    task->seen_running_ms = cell->now_ms;
  if (task->state == RUN_ORDERED)
    {
      cell_set_task_state (task, RUN_LIVE);
      task->start_confirmed_ms = cell->now_ms;
      task->progress_ms = cell->now_ms;
      task->group->last_start_ms = cell->now_ms;
      task->group->job->started = true;
    }
  if (run->percent > task->percent)
    task->progress_ms = cell->now_ms;
  task->percent = run->percent;
  task->measure = run->measure;
  if (run->checkpoint[0] == '\0')
    return;
  char **slot = task->group->spec->gang ? &task->group->gang_checkpoint
                                        : &task->checkpoint;
  if (g_strcmp0 (*slot, run->checkpoint) != 0)
    {
      g_free (*slot);
      *slot = g_strdup (run->checkpoint);
    }
}

static void
process_runs (cell_t *cell, cell_worker_t *worker,
              const worker_report_t *report)
{
  cell_worker_ref_t ref = cell_worker_ref (worker);
  for (guint i = 0; i < worker->tasks->len; i++)
    ((cell_task_t *)worker->tasks->pdata[i])->reported = false;
  worker->stray_runs = 0;
  for (uint32_t i = 0; i < report->run_count; i++)
    {
      const report_run_t *run = &report->runs[i];
      cell_task_t *task = task_of_run (cell, worker, run->task, run->run);
      if (task != NULL)
        {
          update_progress (cell, task, run);
          continue;
        }
      worker->stray_runs++;
      cell_log (cell, "stray_run", run->task, "run=%u worker=%s", run->run,
                worker->id);
      cell->actions->stop (cell->context, &ref, run->task, run->run);
    }
}

/* Whether a report that does not list TASK's run proves that it has ended.  */
static bool
absence_means_ended (const cell_task_t *task, const worker_report_t *report)
{
  switch ((run_state_t)task->state)
    {
    case RUN_LIVE:
      return report->sent_ms > task->start_confirmed_ms;
    case RUN_STOPPING:
      return task->stop_confirmed_ms > 0
             && report->sent_ms >= task->stop_confirmed_ms;
    case RUN_DONE:
      return true;
    default:
      return false;
    }
}

static void
end_absent_runs (cell_t *cell, cell_worker_t *worker,
                 const worker_report_t *report)
{
  if (report->more_ends)
    return;
  for (guint i = worker->tasks->len; i > 0; i--)
    {
      if (i > worker->tasks->len)
        continue;
      cell_task_t *task = worker->tasks->pdata[i - 1];
      if (task->reported || !absence_means_ended (task, report))
        continue;
      if (task->state == RUN_LIVE && task->start_unanswered)
        cell_stop_task (task);
      else
        cell_run_ended (task, END_STOPPED, NULL);
    }
}

void
cell_poll_answered (cell_t *cell, const char *id,
                    const worker_report_t *report)
{
  cell->now_ms = clk_now_ms (cell->clock);
  cell_worker_t *worker = cell_find_worker (cell, id);
  if (worker == NULL)
    return;
  worker->poll_in_flight = false;
  if (worker->failed_polls == 1 && worker->responsive)
    cell->answer_lost_ms = cell->now_ms;
  worker->failed_polls = 0;
  if (!worker->responsive)
    cell_log (cell, "worker_answers", id, "tasks=%u", worker->tasks->len);
  if (report->start_ms != 0 && report->start_ms != worker->start_ms)
    {
      if (!report_proves_restart (worker, report))
        return;
      worker_has_life (cell, worker, report->start_ms);
    }
  if (!worker->has_fencing_token)
    cell_worker_reached (cell, worker);
  cell->fit_epoch += !worker->responsive;
  worker->responsive = true;
  worker->has_fencing_token
      = worker->has_fencing_token || report->raises == worker->raises;
  worker->sampled_ms = cell->now_ms;
  worker->alive_ms = cell->now_ms;
  worker->sampled_clock_ms = report->clock_ms;
  worker->acknowledged_end
      = MAX (worker->acknowledged_end, worker->acknowledging_end);
  process_ends (cell, worker, report);
  process_runs (cell, worker, report);
  end_absent_runs (cell, worker, report);
  cell_adjust_pace (cell, worker);
  cell->place_pending = true;
  cell_poll_if_due (cell, worker);
}

void
cell_poll_failed (cell_t *cell, const char *id, order_result_t result)
{
  cell->now_ms = clk_now_ms (cell->clock);
  cell_worker_t *worker = cell_find_worker (cell, id);
  if (result == ORDER_FENCED)
    cell->fenced = true;
  if (worker == NULL)
    return;
  worker->poll_in_flight = false;
  worker->failed_polls++;
  /* A waiting poll that ended before its time: the connection was there until
     now.  */
  if (result == ORDER_UNKNOWN && worker->failed_polls == 1
      && cell->now_ms - worker->poll_sent_ms < worker->poll_wait_ms)
    worker->alive_ms = cell->now_ms;
  /* A single lost answer doesn't make the worker unresponsive.  */
  if (result == ORDER_UNKNOWN && worker->failed_polls == 1
      && worker->responsive)
    {
      cell_poll_if_due (cell, worker);
      return;
    }
  worker->next_poll_ms = cell->now_ms + POLL_RETRY_MS;
  if (worker->responsive)
    cell_log (cell, "worker_silent", id, "tasks=%u result=%d",
              worker->tasks->len, result);
  cell_worker_is_silent (cell, worker);
  /* Another worker answers at its address, so this one has ended.  */
  if (result == ORDER_OTHER_WORKER)
    {
      worker->listed = false;
      worker->has_fencing_token = true;
      if (!worker->draining)
        cell_worker_crashed (cell, worker, "replaced");
      end_all_runs (worker, worker->draining ? END_LAPSED : END_CRASHED);
    }
}

/* Stops the tasks on a draining worker shortly before it may leave, except
   those of gangs.  */
static void
evacuate (cell_t *cell, cell_worker_t *worker)
{
  if (worker->may_leave_ms == 0
      || cell->now_ms < worker->may_leave_ms - EVACUATE_BEFORE_MS)
    return;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      cell_task_t *task = worker->tasks->pdata[i];
      if (task->state == RUN_LIVE && !task->group->spec->gang)
        cell_stop_task (task);
    }
}

static void
remove_worker (cell_t *cell, guint at)
{
  cell_worker_t *worker = g_ptr_array_remove_index (cell->worker_list, at);
  cell_forget_worker (cell, worker);
  /* It may come back, and refuses what carries a lower token.  */
  if (worker->raises > 0)
    g_hash_table_insert (cell->raises, g_strdup (worker->id),
                         GUINT_TO_POINTER (worker->raises));
  g_hash_table_remove (cell->workers, worker->id);
}

void
cell_check_workers (cell_t *cell)
{
  uint32_t busy_workers = 0;
  for (guint i = 0; i < cell->worker_list->len;)
    {
      cell_worker_t *worker = cell->worker_list->pdata[i];
      if (!worker->responsive && worker->tasks->len > 0
          && cell_leases_have_ended (cell, worker))
        {
          cell_worker_stayed_silent (cell, worker);
          end_all_runs (worker, END_LAPSED);
        }
      if (worker->draining)
        evacuate (cell, worker);
      worker->check_due
          = worker->check_due
            || (worker->listed && worker->sampled_ms != 0
                && cell->now_ms - worker->sampled_ms > IDLE_POLL_PERIOD_MS);
      if (!worker->listed && worker->tasks->len == 0 && !worker->poll_in_flight
          && (!worker->responsive
              || worker->acknowledged_end >= worker->processed_end))
        {
          remove_worker (cell, i);
          continue;
        }
      cell_poll_if_due (cell, worker);
      busy_workers += worker->tasks->len > 0;
      i++;
    }
  cell->busy_workers = busy_workers;
}
