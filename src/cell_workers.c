#include "cell_int.h"

#include <string.h>

/* How long a worker may wait with the answer of a look for an end; also the
   longest time between two renewals.  */
#define LOOK_WAIT_MS 1000
/* The same while tasks that serve share the worker with fillers, so that their
   pace follows the reported tail.  */
#define LOOK_WAIT_PACED_MS 300
/* Pause after a look without an answer.  */
#define LOOK_REPEAT_MS 200
/* Workers' clocks may be slow by this share; from the platform's page.  */
#define CLOCK_SLOW_SHARE 0.02
#define LAPSE_MARGIN_MS 150
/* A clock that is further back than it can be is that of a new life.  */
#define CLOCK_MARGIN_MS 100
/* Renewals go on without a save for this long; then ends are listed again by
   every look.  */
#define UNSAVED_LOOK_MS 1000
/* A leaving worker's tasks are stopped this long before it may leave, so that
   they save their progress and their ends can be seen.  */
#define EVACUATE_BEFORE_MS 900

cell_worker_t *
cell_worker_find (const cell_t *cell, const char *id)
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
  g_free (worker);
}

static cell_worker_t *
worker_new (cell_t *cell, const char *id)
{
  cell_worker_t *worker = g_new0 (cell_worker_t, 1);
  worker->id = g_strdup (id);
  worker->address = g_strdup ("");
  worker->machine = g_strdup ("");
  worker->rack = g_strdup ("");
  worker->labels
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  worker->tasks = g_ptr_array_new ();
  g_hash_table_insert (cell->workers, worker->id, worker);
  g_ptr_array_add (cell->worker_list, worker);
  return worker;
}

/* Everything that ran on WORKER is over.  */
static void
end_all_runs (cell_worker_t *worker)
{
  while (worker->tasks->len > 0)
    {
      cell_task_t *task = worker->tasks->pdata[worker->tasks->len - 1];
      if (task->state != RUN_ASSIGNED)
        cell_run_ended (task, END_LAPSED, NULL);
      else if (task->group->spec->gang)
        cell_break_gang (task->group);
      else
        cell_want_stop (task);
    }
}

/* The worker has started anew.  A start that was sent to it before and not
   answered may still be carried out by its new life, so such a run is stopped
   there first.  Of the others the next report tells: one that was confirmed
   lately may run in the new life.  */
static void
doubt_runs_of_old_life (cell_worker_t *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      cell_task_t *task = worker->tasks->pdata[i];
      if (task->state != RUN_ASSIGNED && (task->unsure || task->start_open))
        cell_stop_again (task);
    }
}

static void
worker_reborn (cell_t *cell, cell_worker_t *worker, int64_t born_ms)
{
  cell_note (cell, "worker_restarted", worker->id, "tasks=%u",
             worker->tasks->len);
  worker->born_ms = born_ms;
  worker->seen = worker->saved_seen = worker->in_save_seen = 0;
  worker->told_seen = worker->sent_seen = 0;
  worker->lease_until_ms = 0;
  worker->anchor_ms = 0;
  worker->fail_streak = 0;
  worker->avoid_until_ms = 0;
  worker->fenced = false;
  worker->renewable_until_ms = cell->now_ms + cell->options.evidence_ms;
  doubt_runs_of_old_life (worker);
}

void
cell_worker_clock (cell_t *cell, cell_worker_t *worker, int64_t sent_ms,
                   int64_t clock_ms)
{
  if (worker->anchor_ms == 0 || clock_ms <= 0)
    return;
  /* The answer was given after the order was sent, which may be before the
     anchor: answers overtake each other.  */
  double since_ms = (double)(sent_ms - worker->anchor_ms);
  if (since_ms > 0)
    since_ms *= 1.0 - CLOCK_SLOW_SHARE;
  /* Its ends are numbered anew: the next look must not acknowledge them by the
     numbers of the life before.  */
  if ((double)(clock_ms + CLOCK_MARGIN_MS)
      < (double)worker->anchor_clock_ms + since_ms)
    worker_reborn (cell, worker, worker->born_ms);
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
  cell_worker_t *worker = cell_worker_find (cell, row->id);
  if (worker == NULL)
    worker = worker_new (cell, row->id);
  bool was_draining = worker->draining;
  replace_text (&worker->address, row->address != NULL ? row->address : "");
  replace_text (&worker->machine, row->machine != NULL ? row->machine : "");
  replace_text (&worker->rack, row->rack != NULL ? row->rack : "");
  g_hash_table_remove_all (worker->labels);
  for (uint32_t i = 0; i < row->label_count; i++)
    g_hash_table_add (worker->labels, g_strdup (row->labels[i]));
  worker->capacity = row->capacity;
  worker->listed = true;
  worker->draining = row->draining;
  if (row->draining && row->remaining_ms >= 0)
    worker->leave_ms = cell->now_ms + row->remaining_ms;
  if (row->draining && !was_draining)
    cell_note (cell, "worker_draining", worker->id, "remaining_ms=%lld",
               (long long)row->remaining_ms);
  if (row->born_ms > worker->born_ms)
    {
      if (worker->born_ms != 0)
        worker_reborn (cell, worker, row->born_ms);
      worker->born_ms = row->born_ms;
    }
  cell->place_wanted = true;
}

void
cell_worker_unlisted (cell_t *cell, const char *id)
{
  cell_worker_t *worker = cell_worker_find (cell, id);
  if (worker == NULL || !worker->listed)
    return;
  worker->listed = false;
  cell_note (cell, "worker_unlisted", id, "tasks=%u draining=%d",
             worker->tasks->len, worker->draining);
}

int64_t
cell_lease_until (cell_worker_t *worker, const cell_t *cell)
{
  /* Every order that goes unanswered may be carried out: a silent worker's
     lease would never be known to have expired.  */
  if (!worker->ok && worker->lease_until_ms > 0)
    return worker->lease_until_ms;
  int64_t until_ms = worker->anchor_clock_ms
                     + (cell->now_ms - worker->anchor_ms)
                     + cell->options.lease_ms;
  worker->lease_until_ms = MAX (worker->lease_until_ms, until_ms);
  return until_ms;
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
      if (task->state == RUN_STOPPING && task->stopped_ms > 0)
        return true;
    }
  return false;
}

/* Whether ownership was confirmed lately enough to extend leases: a successor
   waits this long for workers that it cannot reach.  */
static bool
may_extend (const cell_t *cell)
{
  return cell->now_ms - cell->confirmed_ms < cell->options.evidence_ms;
}

/* Ends up to this number are acknowledged.  A worker that has not answered
   lately, or to which nothing new is told, may have started anew meanwhile and
   number its ends from 1: it is told 0, which acknowledges none of them.  */
static uint64_t
seen_to_tell (const cell_worker_t *worker)
{
  return worker->ok && worker->saved_seen > worker->told_seen
             ? worker->saved_seen
             : 0;
}

static void
send_look (cell_t *cell, cell_worker_t *worker, int64_t wait_ms)
{
  cell_worker_ref_t ref = { worker->id, worker->address };
  int64_t until_ms = 0;
  if (worker->fenced && worker->ok && worker->anchor_ms != 0
      && may_extend (cell))
    until_ms = cell_lease_until (worker, cell);
  worker->look_open = true;
  worker->sent_seen = seen_to_tell (worker);
  cell->actions->look (cell->context, &ref, until_ms, worker->sent_seen,
                       wait_ms);
}

void
cell_look_if_due (cell_t *cell, cell_worker_t *worker)
{
  if (worker->look_open || !cell->begun || cell->fenced
      || worker->address[0] == '\0' || cell->now_ms < worker->look_after_ms)
    return;
  bool unsaved = worker->seen > worker->saved_seen;
  if (unsaved && cell->now_ms - worker->ended_ms < UNSAVED_LOOK_MS)
    return;
  if (!worker->fenced)
    {
      if (worker->listed || worker->tasks->len > 0)
        send_look (cell, worker, 0);
      return;
    }
  if (worker->tasks->len == 0 && worker->ghosts == 0
      && worker->told_seen >= worker->saved_seen
      && (worker->ok || !worker->listed))
    return;
  int64_t wait_ms = LOOK_WAIT_MS;
  if (serves_beside_fillers (worker))
    wait_ms = LOOK_WAIT_PACED_MS;
  if (unsaved || worker->anchor_ms == 0 || has_confirmed_stop (worker)
      || worker->tasks->len == 0)
    wait_ms = 0;
  if (unsaved)
    worker->ended_ms = cell->now_ms;
  if (wait_ms == 0)
    worker->look_after_ms = cell->now_ms + CELL_TICK_MS;
  send_look (cell, worker, wait_ms);
}

static cell_task_t *
task_here (cell_t *cell, const cell_worker_t *worker, const char *name,
           uint32_t run)
{
  cell_task_t *task = cell_find_task (cell, name);
  if (task == NULL || task->worker != worker || task->run != run
      || task->state == RUN_ASSIGNED)
    return NULL;
  return task;
}

/* Returns the task whose run RUN was taken for lost and that has no other run
   yet: its work is done all the same.  */
static cell_task_t *
given_up (cell_t *cell, const char *name, uint32_t run)
{
  cell_task_t *task = cell_find_task (cell, name);
  if (task == NULL || task->state != RUN_WAITING || task->run != run
      || task->worker != NULL || task->group->spec->gang)
    return NULL;
  return task;
}

/* The end of a run that counts for nothing: its task has another one.  */
static void
note_ignored (cell_t *cell, const cell_worker_t *worker,
              const report_end_t *end)
{
  const cell_task_t *task = cell_find_task (cell, end->task);
  if (task == NULL || task->state == RUN_DONE || task->state == RUN_OVER)
    return;
  cell_note (cell, "end_ignored", end->task,
             "run=%u worker=%s state=%d has_run=%u has_worker=%s", end->run,
             worker->id, task->state, task->run,
             task->worker != NULL ? task->worker->id : "-");
}

static void
read_ends (cell_t *cell, cell_worker_t *worker, const worker_report_t *report)
{
  for (uint32_t i = 0; i < report->end_count; i++)
    {
      const report_end_t *end = &report->ends[i];
      if (end->number <= worker->seen)
        continue;
      worker->seen = end->number;
      worker->ended_ms = cell->now_ms;
      cell->seen_dirty = true;
      cell_task_t *task = task_here (cell, worker, end->task, end->run);
      if (task == NULL && end->how == END_DONE)
        task = given_up (cell, end->task, end->run);
      if (task != NULL)
        cell_run_ended (task, end->how, end->checkpoint);
      else if (end->how == END_DONE)
        note_ignored (cell, worker, end);
    }
}

static void
take_progress (cell_t *cell, cell_task_t *task, const report_run_t *run)
{
  task->seen = true;
  if (task->state == RUN_ORDERED)
    {
      cell_set_task (task, RUN_LIVE);
      task->confirmed_ms = cell->now_ms;
      task->progress_ms = cell->now_ms;
      task->group->job->begun = true;
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
read_runs (cell_t *cell, cell_worker_t *worker, const worker_report_t *report)
{
  cell_worker_ref_t ref = { worker->id, worker->address };
  for (guint i = 0; i < worker->tasks->len; i++)
    ((cell_task_t *)worker->tasks->pdata[i])->seen = false;
  worker->ghosts = 0;
  for (uint32_t i = 0; i < report->run_count; i++)
    {
      const report_run_t *run = &report->runs[i];
      cell_task_t *task = task_here (cell, worker, run->task, run->run);
      if (task != NULL)
        {
          take_progress (cell, task, run);
          continue;
        }
      worker->ghosts++;
      cell_note (cell, "stray_run", run->task, "run=%u worker=%s", run->run,
                 worker->id);
      cell->actions->stop (cell->context, &ref, run->task, run->run);
    }
}

/* Whether a report that does not list TASK's run proves that it is over.  */
static bool
absence_proves (const cell_task_t *task, const worker_report_t *report)
{
  switch ((run_state_t)task->state)
    {
    case RUN_LIVE:
      return report->sent_ms > task->confirmed_ms;
    case RUN_STOPPING:
      return task->stopped_ms > 0 && report->sent_ms >= task->stopped_ms;
    case RUN_DONE:
      return true;
    default:
      return false;
    }
}

static void
settle_absent (cell_t *cell, cell_worker_t *worker,
               const worker_report_t *report)
{
  if (report->more_ends)
    return;
  for (guint i = worker->tasks->len; i > 0; i--)
    {
      if (i > worker->tasks->len)
        continue;
      cell_task_t *task = worker->tasks->pdata[i - 1];
      if (task->seen || !absence_proves (task, report))
        continue;
      if (task->state == RUN_LIVE && task->unsure)
        cell_want_stop (task);
      else
        cell_run_ended (task, END_STOPPED, NULL);
    }
}

void
cell_looked (cell_t *cell, const char *id, const worker_report_t *report)
{
  cell->now_ms = clk_now_ms (cell->clock);
  cell_worker_t *worker = cell_worker_find (cell, id);
  if (worker == NULL)
    return;
  worker->look_open = false;
  worker->look_misses = 0;
  if (!worker->ok)
    cell_note (cell, "worker_answers", id, "tasks=%u", worker->tasks->len);
  if (report->born_ms != 0 && worker->born_ms != 0
      && report->born_ms < worker->born_ms)
    return;
  if (report->born_ms > worker->born_ms)
    {
      if (worker->born_ms != 0)
        worker_reborn (cell, worker, report->born_ms);
      worker->born_ms = report->born_ms;
    }
  /* An earlier owner may have extended the lease until now.  */
  if (!worker->fenced)
    worker->lease_until_ms = MAX (worker->lease_until_ms,
                                  report->clock_ms + cell->options.lease_ms);
  worker->ok = true;
  worker->fenced = true;
  worker->anchor_ms = cell->now_ms;
  worker->anchor_clock_ms = report->clock_ms;
  worker->told_seen = MAX (worker->told_seen, worker->sent_seen);
  read_ends (cell, worker, report);
  read_runs (cell, worker, report);
  settle_absent (cell, worker, report);
  cell_adjust_pace (cell, worker);
  cell->place_wanted = true;
  cell_look_if_due (cell, worker);
}

void
cell_look_failed (cell_t *cell, const char *id, order_result_t result)
{
  cell->now_ms = clk_now_ms (cell->clock);
  cell_worker_t *worker = cell_worker_find (cell, id);
  if (result == ORDER_FENCED)
    cell->fenced = true;
  if (worker == NULL)
    return;
  worker->look_open = false;
  worker->look_misses++;
  worker->look_after_ms = cell->now_ms + LOOK_REPEAT_MS;
  if (worker->ok)
    cell_note (cell, "worker_silent", id, "tasks=%u result=%d",
               worker->tasks->len, result);
  worker->ok = false;
  /* Another worker answers at its address: it has ended.  */
  if (result == ORDER_MOVED)
    {
      worker->listed = false;
      worker->fenced = true;
      end_all_runs (worker);
    }
}

/* Whether every lease that WORKER may have been given has expired.  */
static bool
lease_lapsed (const cell_t *cell, const cell_worker_t *worker)
{
  double slow = 1.0 / (1.0 - CLOCK_SLOW_SHARE);
  if (!worker->fenced || worker->anchor_ms == 0)
    return cell->now_ms
           > MAX (cell->previous_renews_until_ms, worker->renewable_until_ms)
                 + (int64_t)((double)cell->options.lease_ms * slow)
                 + LAPSE_MARGIN_MS;
  double left_ms
      = (double)(worker->lease_until_ms - worker->anchor_clock_ms) * slow;
  return cell->now_ms > worker->anchor_ms + (int64_t)left_ms + LAPSE_MARGIN_MS;
}

static void
evacuate (cell_t *cell, cell_worker_t *worker)
{
  if (worker->leave_ms == 0
      || cell->now_ms < worker->leave_ms - EVACUATE_BEFORE_MS)
    return;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      cell_task_t *task = worker->tasks->pdata[i];
      if (task->state == RUN_LIVE && !task->group->spec->gang)
        cell_want_stop (task);
    }
}

static void
remove_worker (cell_t *cell, guint at)
{
  cell_worker_t *worker = g_ptr_array_remove_index (cell->worker_list, at);
  g_hash_table_remove (cell->workers, worker->id);
}

void
cell_check_workers (cell_t *cell)
{
  for (guint i = 0; i < cell->worker_list->len;)
    {
      cell_worker_t *worker = cell->worker_list->pdata[i];
      if (!worker->ok && worker->tasks->len > 0 && lease_lapsed (cell, worker))
        {
          cell_note (
              cell, "lease_expired", worker->id,
              "tasks=%u fenced=%d answered_ago_ms=%lld left_ms=%lld",
              worker->tasks->len, worker->fenced,
              (long long)(cell->now_ms - worker->anchor_ms),
              (long long)(worker->lease_until_ms - worker->anchor_clock_ms));
          end_all_runs (worker);
        }
      if (worker->draining)
        evacuate (cell, worker);
      if (!worker->listed && worker->tasks->len == 0 && !worker->look_open
          && (!worker->ok || worker->told_seen >= worker->seen))
        {
          remove_worker (cell, i);
          continue;
        }
      cell_look_if_due (cell, worker);
      i++;
    }
}
