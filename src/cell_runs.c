#include "backoff.h"
#include "cell_internal.h"

#include <string.h>

/* An order without an answer is sent again after this time; a healthy worker
   answers within a few ms.  */
#define ORDER_RETRY_MS 100
/* The same while the worker is not responsive.  */
#define ORDER_RETRY_UNRESPONSIVE_MS 700
/* A worker that refused a start gets no new tasks for this long.  */
#define AVOID_AFTER_REFUSAL_MS 300
/* First and longest pause of a step whose starts are refused as invalid, which
   no other worker may accept either.  */
#define INVALID_RETRY_MS 50
#define INVALID_MAX_RETRY_MS 2000
/* After this many failed runs in a row, of different jobs, a worker gets no
   new tasks for AVOID_AFTER_FAILURES_MS.  That is short because a lasting task
   has to run again within 3 s where there is free capacity.  */
#define AVOID_FAIL_STREAK 3
#define AVOID_AFTER_FAILURES_MS 2000
/* A run of a lasting task that has ended this soon after its start has ended
   quickly.  Such a task pauses before its next run, since its restarts go
   before all urgent work; it has to run again within 7 s.  */
#define QUICK_END_MS 1000
#define QUICK_RETRY_MS 50
#define QUICK_MAX_RETRY_MS 2000

static bool
job_has_ended (const cell_task_t *task)
{
  return task->group->job->state > JOB_STATE_RUNNING;
}

void
cell_assign_task (cell_task_t *task, cell_worker_t *worker)
{
  cell_group_t *group = task->group;
  worker->used = resource_add (worker->used, cell_task_need (group->spec));
  g_ptr_array_add (worker->tasks, task);
  worker->ends_pass = 0;
  group->job->cell->pass_stats.placed++;
  group->waiting -= 1;
  task->worker = worker;
  worker->kept_since_ms = group->spec->gang ? 0 : worker->kept_since_ms;
  group->job->cell->fit_epoch += group->spec->lasting;
  task->run++;
  task->start_unanswered = false;
  task->in_save = false;
  task->start_in_flight = false;
  task->stop_in_flight = false;
  task->stop_confirmed_ms = 0;
  task->stop_sent_ms = 0;
  task->start_confirmed_ms = 0;
  task->reported = false;
  task->seen_running_ms = 0;
  task->worker_start_ms = worker->start_ms;
  task->verdict_pending = false;
  task->percent = 0;
  task->pace_percent = 100;
  cell_set_task_state (task, RUN_ASSIGNED);
  cell_note_isolation (task);
  group->job->start_awaits_save = true;
  cell_mark_task_dirty (task);
}

/* Undoes an assignment whose start was not sent or not carried out.  */
static void
unassign_task (cell_task_t *task)
{
  cell_release_task (task);
  cell_set_task_state (task,
                       job_has_ended (task) ? RUN_JOB_ENDED : RUN_WAITING);
  if (task->group->spec->gang && !job_has_ended (task))
    cell_stop_gang (task->group);
}

static void
send_start (cell_task_t *task)
{
  cell_group_t *group = task->group;
  cell_t *cell = group->job->cell;
  cell_worker_t *worker = task->worker;
  char name[WORK_NAME_BYTES];
  cell_task_name (task, name);
  const char *checkpoint
      = group->spec->gang ? group->gang_checkpoint : task->checkpoint;
  cell_start_order_t order
      = { .task = name,
          .run = task->run,
          .spec = group->job->work->spec,
          .lease_until_ms = cell_give_lease (cell, worker),
          .checkpoint = checkpoint != NULL ? checkpoint : "",
          .ticket = group->job->queue != NULL && group->job->queue->advised
                        ? cell_ticket (group, worker)
                        : NULL };
  cell_worker_ref_t ref = cell_worker_ref (worker);
  cell_note_ticket_used (group, worker);
  cell->load.starts++;
  task->start_in_flight = true;
  task->start_sent_ms = cell->now_ms;
  cell->actions->start (cell->context, &ref, &order);
}

void
cell_order_start (cell_task_t *task)
{
  cell_group_t *group = task->group;
  bool advised = group->job->queue != NULL && group->job->queue->advised;
  /* Much may have changed during a slow save.  */
  if (!cell_list_is_current (group->job->cell)
      || !cell_worker_takes_starts (task->worker)
      || !cell_may_give_lease (group->job->cell, task->worker)
      || task->worker_start_ms != task->worker->start_ms
      || (advised && cell_ticket (group, task->worker) == NULL))
    {
      unassign_task (task);
      return;
    }
  cell_set_task_state (task, RUN_ORDERED);
  group->job->runs++;
  send_start (task);
}

static void
send_stop (cell_task_t *task)
{
  cell_t *cell = task->group->job->cell;
  char name[WORK_NAME_BYTES];
  task->stop_sent_ms = cell->now_ms;
  /* Known from a record only; its lease expires or it is listed again.  */
  if (task->worker->address[0] == '\0')
    return;
  cell_task_name (task, name);
  cell_worker_ref_t ref = cell_worker_ref (task->worker);
  task->stop_in_flight = true;
  cell->actions->stop (cell->context, &ref, name, task->run);
}

void
cell_stop_task (cell_task_t *task)
{
  switch ((run_state_t)task->state)
    {
    case RUN_WAITING:
      if (job_has_ended (task))
        cell_set_task_state (task, RUN_JOB_ENDED);
      break;
    case RUN_ASSIGNED:
      cell_release_task (task);
      cell_set_task_state (task,
                           job_has_ended (task) ? RUN_JOB_ENDED : RUN_WAITING);
      break;
    case RUN_ORDERED:
    case RUN_LIVE:
      cell_set_task_state (task, RUN_STOPPING);
      task->stop_confirmed_ms = 0;
      send_stop (task);
      break;
    case RUN_STOPPING:
    case RUN_DONE:
    case RUN_JOB_ENDED:
      break;
    }
}

void
cell_resend_stop (cell_task_t *task)
{
  if (task->state != RUN_DONE)
    cell_set_task_state (task, RUN_STOPPING);
  task->stop_confirmed_ms = 0;
  send_stop (task);
}

/* Stores a new checkpoint for the next run of TASK or of its gang.  */
static void
keep_checkpoint (cell_task_t *task, const char *checkpoint)
{
  if (checkpoint == NULL || checkpoint[0] == '\0')
    return;
  char **slot = task->group->spec->gang ? &task->group->gang_checkpoint
                                        : &task->checkpoint;
  if (g_strcmp0 (*slot, checkpoint) == 0)
    return;
  g_free (*slot);
  *slot = g_strdup (checkpoint);
}

void
cell_stop_gang (cell_group_t *group)
{
  if (group->finished)
    return;
  for (uint32_t i = 0; i < group->spec->count; i++)
    cell_stop_task (&group->tasks[i]);
}

static void
mark_gang_done (cell_group_t *group)
{
  for (uint32_t i = 0; i < group->spec->count; i++)
    cell_set_task_state (&group->tasks[i], RUN_DONE);
}

static uint32_t
max_attempts_of (const cell_job_t *job)
{
  return job->queue != NULL && job->queue->max_attempts > 0
             ? job->queue->max_attempts
             : 1;
}

/* Counts the failed run RUN of GROUP, a gang, unless an end of another member
   was counted, perhaps by an earlier owner.  Members share the number of a
   run, and a later run, which has a higher one, starts only after all ends of
   the run before were counted.  */
static void
count_gang_failure (cell_group_t *group, uint32_t run)
{
  if (run <= group->gang_failed_run)
    return;
  group->gang_failures++;
  group->gang_failed_run = run;
}

static void
count_failure (cell_task_t *task)
{
  cell_group_t *group = task->group;
  cell_job_t *job = group->job;
  uint32_t max_attempts = max_attempts_of (job);
  if (group->spec->gang)
    count_gang_failure (group, task->run);
  else
    task->failures++;
  uint32_t failures
      = group->spec->gang ? group->gang_failures : task->failures;
  char name[WORK_NAME_BYTES];
  cell_task_name (task, name);
  cell_log (job->cell, "run_failed", name, "run=%u failures=%u of=%u",
            task->run, failures, max_attempts);
  if (!group->spec->lasting && failures >= max_attempts)
    cell_job_end (job, JOB_STATE_FAILED);
}

/* Whether GROUP, or a task of it, has used up what it may.  */
static bool
is_exhausted (const cell_group_t *group, uint32_t max_attempts)
{
  if (group->finished || group->spec->lasting)
    return false;
  bool found = group->gang_failures >= max_attempts;
  for (uint32_t i = 0; i < group->spec->count && !found; i++)
    found = group->tasks[i].failures >= max_attempts
            || blame_losses_exhausted (&group->tasks[i].blame);
  return found;
}

void
cell_fail_if_exhausted (cell_job_t *job)
{
  if (job->state > JOB_STATE_RUNNING || job->queue == NULL)
    return;
  for (guint i = 0; i < job->groups->len; i++)
    if (is_exhausted (job->groups->pdata[i], max_attempts_of (job)))
      {
        cell_job_end (job, JOB_STATE_FAILED);
        return;
      }
}

/* Counts failed runs in a row, and avoids the worker if there are too many.
   Repeated failures of one job count once: they point to the job, not to the
   worker.  */
static void
update_fail_streak (cell_t *cell, cell_worker_t *worker, const char *job,
                    end_kind_t how)
{
  if (how == END_DONE)
    worker->fail_streak = 0;
  if (how != END_FAILED || strcmp (worker->last_failed_job, job) == 0)
    return;
  g_strlcpy (worker->last_failed_job, job, sizeof worker->last_failed_job);
  if (++worker->fail_streak < AVOID_FAIL_STREAK)
    return;
  worker->avoid_until_ms = cell->now_ms + AVOID_AFTER_FAILURES_MS;
  cell_log (cell, "worker_avoided", worker->id, "failed_jobs=%u for_ms=%d",
            worker->fail_streak, AVOID_AFTER_FAILURES_MS);
}

/* The run of TASK, which lasts, has ended by itself.  */
static void
pause_after_quick_end (cell_task_t *task)
{
  cell_group_t *group = task->group;
  int64_t now_ms = group->job->cell->now_ms;
  bool quick = now_ms - task->start_sent_ms < QUICK_END_MS;
  task->quick_ends = quick ? task->quick_ends + 1 : 0;
  if (!quick)
    return;
  task->next_start_ms
      = now_ms
        + backoff_ms (task->quick_ends, QUICK_RETRY_MS, QUICK_MAX_RETRY_MS);
  if (group->spec->gang)
    group->next_start_ms = MAX (group->next_start_ms, task->next_start_ms);
}

/* By end_kind_t.  */
static const char *const end_names[]
    = { "done", "failed", "stopped", "lapsed", "broken", "alone", "crashed" };

void
cell_run_ended (cell_task_t *task, end_kind_t how, const char *checkpoint)
{
  cell_group_t *group = task->group;
  cell_job_t *job = group->job;
  cell_t *cell = job->cell;
  run_state_t state = (run_state_t)task->state;
  cell_worker_t *worker = task->worker;
  bool lost = task->verdict_pending && how != END_DONE && how != END_FAILED;
  task->verdict_pending = lost;
  if (lost && how == END_STOPPED)
    how = END_CRASHED; /* absent after a restart of its worker */
  if (how != END_DONE)
    {
      char name[WORK_NAME_BYTES];
      cell_task_name (task, name);
      cell_log (cell, "run_ended", name, "run=%u how=%s worker=%s", task->run,
                end_names[how], worker != NULL ? worker->id : "-");
    }
  if (how == END_DONE || how == END_FAILED)
    cell_note_run_duration (task, how == END_FAILED);
  job->failed_runs += how == END_FAILED;
  job->lost_runs
      += state != RUN_DONE && (how == END_LAPSED || how == END_CRASHED);
  if (worker != NULL)
    update_fail_streak (cell, worker, job->id, how);
  cell_release_task (task);
  cell_mark_task_dirty (task);
  if (state == RUN_DONE)
    return; /* set by the end of another member */
  if (how != END_DONE)
    keep_checkpoint (task, checkpoint);
  if (how == END_DONE && !group->spec->lasting
      && job->state <= JOB_STATE_RUNNING)
    {
      if (group->spec->gang)
        mark_gang_done (group);
      else
        cell_set_task_state (task, RUN_DONE);
      cell_finish_group_if_done (group);
      return;
    }
  cell_set_task_state (task,
                       job_has_ended (task) ? RUN_JOB_ENDED : RUN_WAITING);
  if (job_has_ended (task))
    return;
  if (group->spec->lasting && (how == END_FAILED || how == END_DONE))
    pause_after_quick_end (task);
  if (how == END_FAILED)
    count_failure (task);
  else if (lost)
    cell_count_lost_run (task);
  if (group->spec->gang && !job_has_ended (task))
    cell_stop_gang (group);
}

static void
handle_refused_start (cell_task_t *task, order_result_t result)
{
  cell_group_t *group = task->group;
  cell_t *cell = group->job->cell;
  char name[WORK_NAME_BYTES];
  cell_task_name (task, name);
  cell_log (cell, "start_refused", name,
            "run=%u worker=%s result=%d unsure=%d", task->run,
            task->worker->id, result, task->start_unanswered);
  if (result == ORDER_NO_TICKET)
    cell_forget_advice (group, task->worker);
  if (result == ORDER_NOT_DELIVERED)
    cell_worker_is_silent (cell, task->worker);
  if (result == ORDER_INVALID)
    group->next_start_ms
        = cell->now_ms
          + backoff_ms (++group->invalid_starts, INVALID_RETRY_MS,
                        INVALID_MAX_RETRY_MS);
  if (result == ORDER_UNAVAILABLE || result == ORDER_NO_CAPACITY)
    task->worker->avoid_until_ms = cell->now_ms + AVOID_AFTER_REFUSAL_MS;
  /* Stop the run, and let the next report show how it ended, if an earlier
     copy of the order may still be carried out or the run has ended there.  */
  if (task->start_unanswered || result == ORDER_STALE)
    cell_stop_task (task);
  else
    unassign_task (task);
}

void
cell_start_answered (cell_t *cell, const char *worker_id, const char *name,
                     uint32_t run, order_result_t result, int64_t clock_ms)
{
  cell->now_ms = clk_now_ms (cell->clock);
  cell_task_t *task = cell_find_task (cell, name);
  if (result == ORDER_FENCED)
    cell->fenced = true;
  if (task == NULL || task->run != run || task->worker == NULL
      || strcmp (task->worker->id, worker_id) != 0)
    return;
  cell_worker_t *worker = task->worker;
  /* Before START_IN_FLIGHT is cleared: if the worker turns out to have
     restarted, this run has to be stopped like one whose start is unanswered,
     since a poll with an end number of the previous incarnation may
     acknowledge the end of this run before it was reported.  */
  cell_check_worker_clock (cell, worker, task->start_sent_ms, clock_ms);
  task->start_in_flight = false;
  if (result == ORDER_UNKNOWN)
    {
      /* A single lost answer doesn't make the worker unresponsive.  */
      if (task->start_unanswered)
        cell_worker_is_silent (cell, worker);
      task->start_unanswered = true;
      return;
    }
  if (result == ORDER_OTHER_WORKER)
    {
      cell_poll_failed (cell, worker_id, result);
      return;
    }
  if (task->state != RUN_ORDERED)
    {
      if (task->state == RUN_STOPPING && result != ORDER_ACCEPTED
          && !task->start_unanswered && result != ORDER_STALE)
        cell_run_ended (task, END_STOPPED, NULL);
      return;
    }
  if (result != ORDER_ACCEPTED)
    {
      if (result != ORDER_FENCED)
        handle_refused_start (task, result);
      return;
    }
  cell_set_task_state (task, RUN_LIVE);
  task->start_confirmed_ms = cell->now_ms;
  task->seen_running_ms = cell->now_ms;
  worker->alive_ms = cell->now_ms;
  task->progress_ms = cell->now_ms;
  task->group->last_start_ms = cell->now_ms;
  task->group->invalid_starts = 0;
  task->group->job->started = true;
  if (task->group->job->first_start_ms == 0)
    task->group->job->first_start_ms = cell->now_ms;
  cell_poll_if_due (cell, worker);
}

void
cell_stop_answered (cell_t *cell, const char *worker_id, const char *name,
                    uint32_t run, order_result_t result)
{
  cell->now_ms = clk_now_ms (cell->clock);
  cell_task_t *task = cell_find_task (cell, name);
  if (result == ORDER_FENCED)
    cell->fenced = true;
  if (task == NULL || task->run != run || task->worker == NULL
      || strcmp (task->worker->id, worker_id) != 0)
    return;
  task->stop_in_flight = false;
  if (result == ORDER_OTHER_WORKER)
    cell_poll_failed (cell, worker_id, result);
  else if (task->state == RUN_STOPPING && result == ORDER_ACCEPTED)
    {
      task->stop_confirmed_ms = cell->now_ms;
      cell_poll_if_due (cell, task->worker);
    }
  else if (result == ORDER_UNKNOWN)
    cell_worker_is_silent (cell, task->worker);
}

static void
retry_task (cell_t *cell, cell_task_t *task)
{
  const cell_worker_t *worker = task->worker;
  int64_t gap_ms
      = worker->responsive ? ORDER_RETRY_MS : ORDER_RETRY_UNRESPONSIVE_MS;
  if (task->state == RUN_STOPPING && !task->stop_in_flight
      && task->stop_confirmed_ms == 0
      && cell->now_ms - task->stop_sent_ms >= gap_ms)
    send_stop (task);
  if (task->state != RUN_ORDERED || task->start_in_flight
      || cell->now_ms - task->start_sent_ms < gap_ms)
    return;
  /* A worker that has crashed would carry out the order in its next life.  */
  if (!worker->responsive || !cell_may_give_lease (cell, worker)
      || !cell_list_is_current (cell))
    return;
  const queue_t *queue = task->group->job->queue;
  /* Where the order may no longer be repeated, a stop makes sure that the
     first one is not carried out later.  */
  if (!cell_worker_takes_starts (worker)
      || (queue != NULL && queue->advised
          && cell_ticket (task->group, worker) == NULL))
    cell_stop_task (task);
  else
    send_start (task);
}

void
cell_retry_orders (cell_t *cell)
{
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      cell_worker_t *worker = cell->worker_list->pdata[i];
      if (worker->address[0] == '\0')
        continue;
      for (guint j = 0; j < worker->tasks->len; j++)
        retry_task (cell, worker->tasks->pdata[j]);
    }
}
