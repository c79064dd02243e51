#include "cell_internal.h"

/* Time that a gang needs for each of its members until the workers for all of
   them have drained.  */
#define GANG_GATHER_MS 300

rank_durations_t *
cell_durations_of (cell_t *cell, const char *queue)
{
  rank_durations_t *durations = g_hash_table_lookup (cell->durations, queue);
  if (durations == NULL)
    {
      durations = g_new (rank_durations_t, 1);
      rank_durations_init (durations);
      g_hash_table_insert (cell->durations, g_strdup (queue), durations);
    }
  return durations;
}

/* Expected duration of the longest of TASKS tasks of STEP.  */
static int64_t
expected_longest_ms (const cell_job_t *job, const work_step_t *step,
                     uint32_t tasks)
{
  return rank_longest_ms (job->durations, tasks, step->estimate_ms);
}

/* How long STEP takes for the objective of its job.  GROUP: the step in one
   occurrence, NULL if that is over or not begun.  */
static int64_t
step_length_ms (const cell_job_t *job, const work_step_t *step,
                const cell_group_t *group)
{
  int64_t longest_ms = group != NULL ? group->longest_ms : 0;
  if (group == NULL || !group->finished || longest_ms == 0)
    longest_ms
        = MAX (longest_ms, expected_longest_ms (job, step, step->count));
  resource_t need = cell_task_need (step);
  resource_t total
      = { need.cpu_millis * step->count, need.memory_mib * step->count,
          need.accelerators * step->count };
  return longest_ms
         * rank_waves (resource_dominant_share (total, job->cell->room));
}

static void
fill_steps (const cell_job_t *job, uint32_t occurrence,
            rank_step_t steps[WORK_MAX_STEPS])
{
  for (uint32_t i = 0; i < job->work->step_count; i++)
    {
      const work_step_t *step = &job->work->steps[i];
      steps[i] = (rank_step_t){
        step->after, step->after_count,
        step_length_ms (job, step, cell_job_group (job, occurrence, i))
      };
    }
}

/* Duration of the call for advice that an objective counts for each step.  */
static double
advice_ms (const queue_t *queue)
{
  return queue->advised
             ? queue->advice_ms + queue->advice_each_ms * RANK_ADVICE_WORKERS
             : 0.0;
}

static int64_t
objective_of_steps (const cell_job_t *job,
                    const rank_step_t steps[WORK_MAX_STEPS])
{
  const queue_t *queue = job->queue;
  return rank_objective_ms (
      queue->stretch,
      rank_longest_chain_ms (steps, job->work->step_count, advice_ms (queue)),
      queue->target_ms);
}

int64_t
cell_objective_ms (const cell_job_t *job, uint32_t occurrence)
{
  rank_step_t steps[WORK_MAX_STEPS];
  if (job->queue == NULL || work_job_has_lasting_step (job->work))
    return 0;
  fill_steps (job, occurrence, steps);
  return objective_of_steps (job, steps);
}

/* Whether a task of GROUP waits that has had a run.  */
static bool
has_to_run_again (const cell_group_t *group)
{
  for (uint32_t i = 0; i < group->spec->count; i++)
    {
      const cell_task_t *task = &group->tasks[i];
      if (task->run > 0 && task->state == RUN_WAITING && task->worker == NULL)
        return true;
    }
  return false;
}

void
cell_rank_group (cell_group_t *group)
{
  const cell_job_t *job = group->job;
  const queue_t *queue = job->queue;
  int64_t now_ms = job->cell->now_ms;
  uint32_t priority = queue != NULL ? queue->priority : 0;
  int64_t since_ms = job->work->times > 0 ? group->ready_ms : job->added_ms;
  rank_step_t steps[WORK_MAX_STEPS];
  if (group->spec->lasting && has_to_run_again (group))
    {
      group->rank = rank_of_restart (priority, since_ms, now_ms);
      return;
    }
  /* A step before a lasting one has no objective either.  */
  if (queue == NULL || work_job_has_lasting_step (job->work))
    {
      group->rank = rank_without_objective (priority, since_ms, now_ms);
      return;
    }
  fill_steps (job, group->occurrence, steps);
  group->objective_ms = objective_of_steps (job, steps);
  /* Of this step only the waiting tasks are left.  */
  steps[group->step].length_ms
      = expected_longest_ms (job, group->spec, group->waiting);
  int64_t left_ms = rank_chain_ms (steps, job->work->step_count, group->step,
                                   advice_ms (queue));
  if (cell_has_tickets (group))
    left_ms -= (int64_t)advice_ms (queue);
  if (group->spec->gang)
    left_ms += (int64_t)GANG_GATHER_MS * group->spec->count;
  group->rank = rank_of_step (priority, since_ms, group->objective_ms, left_ms,
                              now_ms);
  group->rank.favoured = cell_size_fares_worse (job);
  if (group->rank.slack_ms < 0)
    cell_note_missed (group);
}

void
cell_note_run_duration (cell_task_t *task, bool failed)
{
  cell_group_t *group = task->group;
  if (task->start_confirmed_ms == 0 || task->state != RUN_LIVE)
    return;
  int64_t took_ms = group->job->cell->now_ms - task->start_confirmed_ms;
  if (failed)
    task->failed_runs_ms += took_ms;
  else
    group->longest_ms
        = MAX (group->longest_ms, task->failed_runs_ms + took_ms);
}

void
cell_note_group_finished (cell_group_t *group)
{
  const work_step_t *step = group->spec;
  const cell_job_t *job = group->job;
  group->finished_ms = job->cell->now_ms;
  for (uint32_t i = 0; i < step->count; i++)
    if (group->tasks[i].run > 1)
      return;
  rank_durations_add (job->durations, step->count, step->estimate_ms,
                      group->longest_ms);
}
