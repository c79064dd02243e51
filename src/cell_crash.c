#include "cell_internal.h"

#include <string.h>

/* NAME
     cell_crash - workers that crash, and the tasks that may be to blame

   See blame.h.  A verdict is kept with the task until its run is known to be
   over, since a run that was ordered around the crash may go on in the next
   life of the worker.  */

/* Losses of workers are compared with others of this age at most.  */
#define LOSSES_KEPT_MS 30000
/* Runs that a line about a crashed worker names.  */
#define LOGGED_RUNS_MAX 8u
/* An idle worker that has answered this recently is not looked at again.  */
#define CHECK_GAP_MS 1000

int64_t
cell_run_age_ms (const cell_task_t *task, int64_t at_ms)
{
  return task->seen_running_ms == 0 ? -1
                                    : MAX (at_ms - task->seen_running_ms, 0);
}

/* When the loss of WORKER showed first.  */
static int64_t
lost_at_ms (const cell_t *cell, const cell_worker_t *worker)
{
  return worker->responsive || worker->silent_ms == 0 ? cell->now_ms
                                                      : worker->silent_ms;
}

/* The run of TASK on a worker that was lost.  It counts as old as it was at
   the last sign of life: what was started after that may not have arrived.
   Estimates are rough, so it may have ended after half of its own.  */
static blame_run_t
blame_run_of (const cell_t *cell, const cell_task_t *task)
{
  const work_step_t *step = task->group->spec;
  int64_t longest_ms = cell_run_age_ms (task, lost_at_ms (cell, task->worker));
  return (blame_run_t){
    .job = task->group->job->id,
    .history = task->blame,
    .age_ms = cell_run_age_ms (task, task->worker->alive_ms),
    .lasting = step->lasting,
    .may_have_ended = !step->lasting && longest_ms * 2 >= step->estimate_ms
  };
}

/* See blame_loss_t.  */
static uint32_t
hash_of_last_job (const cell_worker_t *worker)
{
  const cell_task_t *last = NULL;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const cell_task_t *task = worker->tasks->pdata[i];
      if (task->state != RUN_ASSIGNED
          && (last == NULL || task->start_sent_ms > last->start_sent_ms))
        last = task;
    }
  return last != NULL ? g_str_hash (last->group->job->id) : 0;
}

/* When WORKER was lost: between its last sign of life and when that showed. */
static blame_loss_t
loss_of (const cell_t *cell, const cell_worker_t *worker)
{
  int64_t to_ms = lost_at_ms (cell, worker);
  int64_t from_ms = worker->alive_ms != 0 ? worker->alive_ms : cell->begun_ms;
  /* Workers whose rack is unknown share none.  */
  const char *rack = worker->rack[0] != '\0' ? worker->rack : worker->id;
  return (blame_loss_t){ g_str_hash (worker->id), g_str_hash (rack),
                         hash_of_last_job (worker), MIN (from_ms, to_ms),
                         to_ms };
}

/* Returns the hashes of the ids of the other workers that were in the rack of
   WORKER when it was lost (g_array_unref).  */
static GArray *
others_in_rack (const cell_t *cell, const cell_worker_t *worker)
{
  GArray *others = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      const cell_worker_t *other = cell->worker_list->pdata[i];
      uint32_t hash = g_str_hash (other->id);
      /* A worker that was added later may be the next life of a lost one.  */
      if (other != worker && other->listed
          && other->added_ms <= lost_at_ms (cell, worker)
          && strcmp (other->rack, worker->rack) == 0)
        g_array_append_val (others, hash);
    }
  return others;
}

/* Notes the loss of WORKER, and returns whether others were lost with it.  */
static bool
has_common_cause (cell_t *cell, const cell_worker_t *worker)
{
  blame_loss_t loss = loss_of (cell, worker);
  while (cell->losses->len > 0
         && g_array_index (cell->losses, blame_loss_t, 0).to_ms
                < cell->now_ms - LOSSES_KEPT_MS)
    g_array_remove_index (cell->losses, 0);
  g_array_append_val (cell->losses, loss);
  GArray *losses = g_array_new (FALSE, FALSE, sizeof (blame_loss_t));
  g_array_append_vals (losses, cell->losses->data, cell->losses->len);
  /* Those that are not known to have crashed yet.  */
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      const cell_worker_t *other = cell->worker_list->pdata[i];
      blame_loss_t silent = loss_of (cell, other);
      if (!other->responsive && other->silent_ms > 0)
        g_array_append_val (losses, silent);
    }
  GArray *rack = others_in_rack (cell, worker);
  blame_others_t others = { (const uint32_t *)(const void *)rack->data,
                            rack->len, cell->worker_list->len };
  bool common
      = blame_common_cause ((const blame_loss_t *)(const void *)losses->data,
                            losses->len, &loss, &others);
  g_array_unref (rack);
  g_array_unref (losses);
  return common;
}

void
cell_check_rack (cell_t *cell, const cell_worker_t *worker)
{
  if (worker->rack[0] == '\0')
    return;
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      cell_worker_t *other = cell->worker_list->pdata[i];
      other->check_due
          = other->check_due
            || (other != worker && other->tasks->len == 0 && other->listed
                && other->responsive && strcmp (other->rack, worker->rack) == 0
                && cell->now_ms - other->sampled_ms > CHECK_GAP_MS);
    }
}

static bool
is_lost_with_worker (const cell_task_t *task)
{
  return task->state != RUN_ASSIGNED && task->state != RUN_DONE
         && !task->verdict_pending && task->group->job->work != NULL
         && task->group->job->state <= JOB_STATE_RUNNING;
}

static void
set_verdict (cell_task_t *task, blame_verdict_t verdict)
{
  task->verdict = (uint8_t)verdict;
  task->verdict_pending = true;
}

/* Logs that WORKER has crashed, for how long it had not answered, and its runs
   with their numbers, newest first.  */
static void
log_crash (cell_t *cell, const cell_worker_t *worker, const char *evidence,
           bool common_cause)
{
  GString *runs = g_string_new (NULL);
  for (guint i = worker->tasks->len; i > 0; i--)
    {
      const cell_task_t *task = worker->tasks->pdata[i - 1];
      char name[WORK_NAME_BYTES];
      if (worker->tasks->len - i >= LOGGED_RUNS_MAX)
        break;
      cell_task_name (task, name);
      g_string_append_printf (runs, "%s%s:%u", runs->len > 0 ? "," : "", name,
                              task->run);
    }
  cell_log (cell, "worker_crashed", worker->id,
            "evidence=%s silent_ms=%lld rack=%s common_cause=%d tasks=%u "
            "runs=%s",
            evidence, (long long)(cell->now_ms - lost_at_ms (cell, worker)),
            worker->rack, common_cause, worker->tasks->len, runs->str);
  g_string_free (runs, TRUE);
}

void
cell_worker_crashed (cell_t *cell, const cell_worker_t *worker,
                     const char *evidence)
{
  bool common_cause = has_common_cause (cell, worker);
  log_crash (cell, worker, evidence, common_cause);
  GPtrArray *lost = g_ptr_array_new ();
  for (guint i = 0; i < worker->tasks->len; i++)
    if (is_lost_with_worker (worker->tasks->pdata[i]))
      g_ptr_array_add (lost, worker->tasks->pdata[i]);
  blame_run_t *runs = g_new0 (blame_run_t, lost->len + 1);
  blame_verdict_t *verdicts = g_new0 (blame_verdict_t, lost->len + 1);
  for (guint i = 0; i < lost->len; i++)
    runs[i] = blame_run_of (cell, lost->pdata[i]);
  blame_judge (runs, lost->len, common_cause, verdicts);
  for (guint i = 0; i < lost->len; i++)
    set_verdict (lost->pdata[i], verdicts[i]);
  g_free (verdicts);
  g_free (runs);
  g_ptr_array_unref (lost);
}

void
cell_worker_stayed_silent (cell_t *cell, const cell_worker_t *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      cell_task_t *task = worker->tasks->pdata[i];
      if (!is_lost_with_worker (task))
        continue;
      blame_run_t run = blame_run_of (cell, task);
      blame_verdict_t verdict = blame_judge_silent (&run);
      set_verdict (task, verdict);
      if (verdict != BLAME_NONE && task->lapsed_count < BLAME_MAX_LOSSES)
        task->lapsed_runs[task->lapsed_count++] = task->run;
    }
}

void
cell_run_outlived_lease (cell_t *cell, const char *name, uint32_t run)
{
  cell_task_t *task = cell_find_task (cell, name);
  for (uint32_t i = 0; task != NULL && i < task->lapsed_count; i++)
    {
      if (task->lapsed_runs[i] != run)
        continue;
      task->lapsed_runs[i] = task->lapsed_runs[--task->lapsed_count];
      task->blame.losses -= task->blame.losses > 0;
      cell_mark_task_dirty (task);
      return;
    }
}

void
cell_count_lost_run (cell_task_t *task)
{
  static const char *const verdict_names[]
      = { "none", "unrelated", "bystander", "suspect", "culprit" };
  cell_job_t *job = task->group->job;
  blame_verdict_t verdict = (blame_verdict_t)task->verdict;
  char name[WORK_NAME_BYTES];
  task->verdict_pending = false;
  bool give_up = blame_add (&task->blame, verdict);
  /* The losses begin anew, so there is none left to withdraw.  */
  if (verdict == BLAME_NONE)
    task->lapsed_count = 0;
  if (verdict < BLAME_SUSPECT && !give_up)
    return;
  cell_task_name (task, name);
  cell_log (job->cell, give_up ? "task_given_up" : "task_suspected", name,
            "run=%u verdict=%s suspected=%u crashes=%u losses=%u", task->run,
            verdict_names[verdict], task->blame.suspected, task->blame.crashes,
            task->blame.losses);
  if (give_up)
    cell_job_end (job, JOB_STATE_FAILED);
}
