#include "cell_internal.h"

/* Fillers are stopped while a serving task's tail latency is at its limit or
   above, slowed down from SLOW_DOWN_SHARE of the limit on, and sped up again
   below SPEED_UP_SHARE.  The shares are far apart because the reported tail
   latency covers only half a second and is noisy.  */
#define SLOW_DOWN_SHARE 0.8
#define SPEED_UP_SHARE 0.5
#define SPEED_UP_STEP_PERCENT 20u
#define FULL_PACE_PERCENT 100u

/* Returns the highest ratio of tail latency to limit among the serving tasks
   on WORKER, -1 if there is none.  */
static double
worst_tail_share (const cell_worker_t *worker)
{
  double worst = -1.0;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const cell_task_t *task = worker->tasks->pdata[i];
      int64_t limit_ms = task->group->spec->tail_limit_ms;
      if (limit_ms > 0 && task->state == RUN_LIVE)
        worst = MAX (worst, (double)task->measure / (double)limit_ms);
    }
  return worst;
}

static void
set_pace (cell_t *cell, cell_task_t *task, uint32_t percent)
{
  char name[WORK_NAME_BYTES];
  cell_worker_ref_t ref = cell_worker_ref (task->worker);
  cell_task_name (task, name);
  cell_log (cell, "pace", name, "percent=%u worker=%s", percent,
            task->worker->id);
  task->pace_percent = (uint8_t)percent;
  cell->actions->pace (cell->context, &ref, name, task->run, percent);
}

void
cell_adjust_pace (cell_t *cell, cell_worker_t *worker)
{
  double share = worst_tail_share (worker);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      cell_task_t *task = worker->tasks->pdata[i];
      if (!task->group->spec->filler || task->state != RUN_LIVE)
        continue;
      if (share >= 1.0 && task->pace_percent > 0)
        set_pace (cell, task, 0);
      else if (share >= SLOW_DOWN_SHARE && task->pace_percent > 0)
        set_pace (cell, task, task->pace_percent / 2);
      else if (share < SPEED_UP_SHARE
               && task->pace_percent < FULL_PACE_PERCENT)
        set_pace (cell, task,
                  MIN (FULL_PACE_PERCENT,
                       task->pace_percent + SPEED_UP_STEP_PERCENT));
    }
}
