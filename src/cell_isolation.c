#include "cell_internal.h"

/* NAME
     cell_isolation - which jobs may start runs on a worker

   Keeps suspected tasks apart: they start where no other job has started a run
   just before, and no other job starts one there until they have run for a
   while; see blame.h.  */

/* A worker is kept free of new starts for a suspected task for this long.  */
#define HOLD_MS (2 * BLAME_SETTLE_MS)
/* Workers that are kept free for one gang.  */
#define GANG_HOLDS_MAX 4u

bool
cell_task_suspected (const cell_task_t *task)
{
  return blame_isolation_ms (&task->blame) > 0;
}

/* Adds a run of TASK, begun AGE_MS ago, to what keeps other jobs off WORKER.
 */
static void
note_recent_run (cell_worker_t *worker, const cell_task_t *task,
                 int64_t age_ms)
{
  const cell_job_t *job = task->group->job;
  if (age_ms < blame_isolation_ms (&task->blame))
    worker->isolated_for = job;
  if (age_ms >= BLAME_SETTLE_MS)
    return;
  worker->several_recent_jobs
      = worker->several_recent_jobs
        || (worker->recent_job != NULL && worker->recent_job != job);
  worker->recent_job = job;
}

void
cell_find_isolation (const cell_t *cell, cell_worker_t *worker)
{
  worker->isolated_for
      = cell->now_ms < worker->held_until_ms ? worker->held_for : NULL;
  worker->recent_job = NULL;
  worker->several_recent_jobs = false;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const cell_task_t *task = worker->tasks->pdata[i];
      if (task->state != RUN_DONE)
        note_recent_run (worker, task,
                         MAX (cell_run_age_ms (task, cell->now_ms), 0));
    }
}

void
cell_note_isolation (cell_task_t *task)
{
  note_recent_run (task->worker, task, 0);
}

bool
cell_worker_open_to (const cell_worker_t *worker, const cell_job_t *job)
{
  return worker->isolated_for == NULL || worker->isolated_for == job;
}

bool
cell_worker_settled_for (const cell_worker_t *worker, const cell_job_t *job)
{
  return cell_worker_open_to (worker, job) && !worker->several_recent_jobs
         && (worker->recent_job == NULL || worker->recent_job == job);
}

/* Returns the one of WORKERS with most free capacity that can be kept free for
   a task of GROUP, NULL if there is none.  */
static cell_worker_t *
worker_to_hold (const cell_group_t *group, const GPtrArray *workers)
{
  cell_worker_t *best = NULL;
  double best_share = -1.0;
  for (guint i = 0; i < workers->len; i++)
    {
      cell_worker_t *worker = workers->pdata[i];
      resource_t free = resource_sub (worker->capacity, worker->used);
      double share = resource_dominant_share (free, worker->capacity);
      if (worker->isolated_for != NULL || share <= best_share
          || !resource_fits (cell_task_need (group->spec), free)
          || cell_spread_left (group, worker) == 0)
        continue;
      best = worker;
      best_share = share;
    }
  return best;
}

void
cell_hold_workers (cell_t *cell, const cell_group_t *group,
                   const GPtrArray *workers)
{
  uint32_t wanted = 0;
  for (uint32_t i = 0; i < group->spec->count; i++)
    wanted += group->tasks[i].state == RUN_WAITING
              && cell_task_suspected (&group->tasks[i]);
  wanted = MIN (wanted, group->spec->gang ? GANG_HOLDS_MAX : 1u);
  for (guint i = 0; wanted > 0 && i < cell->worker_list->len; i++)
    {
      const cell_worker_t *worker = cell->worker_list->pdata[i];
      wanted -= cell->now_ms < worker->held_until_ms
                && worker->held_for == group->job;
    }
  for (; wanted > 0; wanted--)
    {
      cell_worker_t *worker = worker_to_hold (group, workers);
      if (worker == NULL)
        return;
      worker->held_for = worker->isolated_for = group->job;
      worker->held_until_ms = cell->now_ms + HOLD_MS;
    }
}
