#include "cell_internal.h"

#include <string.h>

/* A job that is added counts as at most this old, since its age is computed
   from wall clocks that may differ or jump.  */
#define MAX_AGE_WHEN_ADDED_MS 60000

/* An ended job is stored for longer than its state has to be served, since a
   repeated submission may arrive seconds after the first.  */
#define RETENTION_MARGIN_MS 30000
#define DELETE_BATCH_JOBS 16
/* Occurrences of one job, and their tasks, that are kept at a time, so that a
   job whose occurrences are all due at once does not take all of the owner's
   memory.  Later ones wait until the oldest is finished.  */
#define MAX_OPEN_OCCURRENCES 1000u
#define MAX_OPEN_TASKS 20000u

static void
group_free (void *data)
{
  cell_group_t *group = data;
  for (uint32_t i = 0; i < group->spec->count; i++)
    {
      cell_release_task (&group->tasks[i]);
      g_free (group->tasks[i].checkpoint);
    }
  g_ptr_array_remove_fast (group->job->cell->ready_groups, group);
  g_ptr_array_unref (group->advice);
  g_free (group->gang_checkpoint);
  g_free (group->tasks);
  g_free (group);
}

void
cell_job_free (cell_job_t *job)
{
  if (job->segments != NULL)
    {
      g_hash_table_unref (job->segments);
      g_ptr_array_unref (job->dirty_segments);
    }
  if (job->groups != NULL)
    g_ptr_array_unref (job->groups);
  work_job_free (job->work);
  queue_free (job->queue);
  g_free (job);
}

cell_group_t *
cell_job_group (const cell_job_t *job, uint32_t occurrence, uint32_t step)
{
  /* Groups are sorted by occurrence and step; those of occurrences below
     FINISHED_BELOW were removed.  */
  if (occurrence < job->finished_below || step >= job->work->step_count)
    return NULL;
  guint at = (occurrence - job->finished_below) * job->work->step_count + step;
  return at < job->groups->len ? job->groups->pdata[at] : NULL;
}

void
cell_job_add_groups (cell_job_t *job, uint32_t occurrence)
{
  uint32_t first_task = 0;
  for (uint32_t step = 0; step < job->work->step_count; step++)
    {
      cell_group_t *group = g_new0 (cell_group_t, 1);
      group->job = job;
      group->occurrence = occurrence;
      group->step = step;
      group->spec = &job->work->steps[step];
      group->first_task = first_task;
      first_task += group->spec->count;
      group->tasks = g_new0 (cell_task_t, group->spec->count);
      group->waiting = group->spec->count;
      group->advice = g_ptr_array_new_with_free_func (cell_advice_free);
      for (uint32_t i = 0; i < group->spec->count; i++)
        {
          group->tasks[i].group = group;
          group->tasks[i].index = i;
          group->tasks[i].pace_percent = 100;
        }
      g_ptr_array_add (job->groups, group);
    }
  job->next_occurrence = occurrence + 1;
}

static bool
predecessors_finished (const cell_group_t *group)
{
  for (uint32_t i = 0; i < group->spec->after_count; i++)
    if (!cell_job_group (group->job, group->occurrence, group->spec->after[i])
             ->finished)
      return false;
  return true;
}

static void
mark_ready_groups (cell_job_t *job)
{
  cell_t *cell = job->cell;
  for (guint i = 0; i < job->groups->len; i++)
    {
      cell_group_t *group = job->groups->pdata[i];
      if (group->ready_ms != 0 || group->finished
          || !predecessors_finished (group))
        continue;
      group->ready_ms = MAX (cell->now_ms, 1);
      g_ptr_array_add (cell->ready_groups, group);
      cell->place_pending = true;
    }
}

/* Removes the groups of the oldest occurrences as far as they are finished and
   hold no capacity.  */
static void
drop_finished_occurrences (cell_job_t *job)
{
  uint32_t steps = job->work->step_count;
  /* The record is being split.  */
  if (job->segments != NULL && !job->head_split)
    return;
  while (job->groups->len >= steps && job->work->times > 0)
    {
      for (uint32_t i = 0; i < steps; i++)
        {
          const cell_group_t *group = job->groups->pdata[i];
          if (!group->finished)
            return;
          for (uint32_t j = 0; j < group->spec->count; j++)
            if (group->tasks[j].worker != NULL)
              return;
        }
      for (uint32_t i = 0; i < steps; i++)
        cell_mark_group_segments (job->groups->pdata[i]);
      g_ptr_array_remove_range (job->groups, 0, steps);
      job->finished_below++;
      cell_mark_dirty (job);
    }
}

static bool
all_groups_finished (const cell_job_t *job)
{
  if (job->work->times > 0 && job->next_occurrence < job->work->times)
    return false;
  for (guint i = 0; i < job->groups->len; i++)
    if (!((cell_group_t *)job->groups->pdata[i])->finished)
      return false;
  return true;
}

void
cell_job_advance (cell_job_t *job)
{
  if (job->state > JOB_STATE_RUNNING)
    return;
  if (all_groups_finished (job))
    {
      cell_job_end (job, JOB_STATE_COMPLETED);
      return;
    }
  drop_finished_occurrences (job);
  mark_ready_groups (job);
}

void
cell_finish_group_if_done (cell_group_t *group)
{
  if (group->finished || group->done < group->spec->count)
    return;
  group->finished = true;
  cell_mark_group_segments (group);
  cell_note_group_finished (group);
  g_ptr_array_remove_fast (group->job->cell->ready_groups, group);
  g_ptr_array_set_size (group->advice, 0);
  cell_job_advance (group->job);
}

/* AT_MS in ms since the acceptance of JOB; -1 if AT_MS is 0, which is what
   never was, or was before this owner.  */
static long long
since_acceptance (const cell_job_t *job, int64_t at_ms)
{
  return at_ms == 0 ? -1 : at_ms - job->added_ms;
}

/* Returns where the time of JOB went (g_free): for each step, when it could
   begin, when the last of its tasks started and when they were done; see
   since_acceptance.  */
static char *
step_times (const cell_job_t *job)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; i < job->groups->len; i++)
    {
      const cell_group_t *group = job->groups->pdata[i];
      if (group->ready_ms != 0)
        g_string_append_printf (text, "%s%lld/%lld/%lld",
                                text->len > 0 ? "," : "",
                                since_acceptance (job, group->ready_ms),
                                since_acceptance (job, group->last_start_ms),
                                since_acceptance (job, group->finished_ms));
    }
  return g_string_free (text, FALSE);
}

/* Each kind of end is an event of its own, so that many completions don't
   suppress the other kinds in the log.  */
static void
log_job_end (cell_job_t *job)
{
  cell_t *cell = job->cell;
  int64_t age_ms = cell->now_ms - job->added_ms;
  int64_t objective_ms = cell_objective_ms (job, job->finished_below);
  char *times = step_times (job);
  const char *event = "job_completed";
  if (job->state == JOB_STATE_FAILED)
    event = "job_failed";
  else if (job->state == JOB_STATE_CANCELLED)
    event = "job_cancelled";
  else if (objective_ms > 0 && age_ms > objective_ms)
    event = "job_late";
  cell_log (cell, event, job->id,
            "queue=%s size=%s age_ms=%lld objective_ms=%lld "
            "first_start_ms=%lld runs=%u failed=%u lost=%u steps=%s",
            job->work->queue, size_class_name (job->size), (long long)age_ms,
            (long long)objective_ms,
            since_acceptance (job, job->first_start_ms), job->runs,
            job->failed_runs, job->lost_runs, times);
  g_free (times);
}

/* Stops the runs of a job that has ended, and queues it for deletion.  */
static void
stop_job (cell_job_t *job)
{
  job->ended_ms = job->cell->now_ms;
  g_ptr_array_add (job->cell->ended_jobs, job);
  for (guint i = 0; i < job->groups->len; i++)
    {
      cell_group_t *group = job->groups->pdata[i];
      if (!group->finished)
        g_ptr_array_remove_fast (job->cell->ready_groups, group);
      g_ptr_array_set_size (group->advice, 0);
      for (uint32_t j = 0; j < group->spec->count; j++)
        cell_stop_task (&group->tasks[j]);
    }
}

void
cell_job_end (cell_job_t *job, cell_job_state_t state)
{
  if (job->state > JOB_STATE_RUNNING)
    return;
  job->state = state;
  cell_mark_dirty (job);
  if (state == JOB_STATE_COMPLETED)
    cell_judge_job (job, job->cell->now_ms - job->added_ms
                                 <= cell_objective_ms (job, 0)
                             ? SIZE_IN_TIME
                             : SIZE_LATE);
  log_job_end (job);
  stop_job (job);
}

void
cell_job_load_ended (cell_job_t *job, cell_job_state_t state)
{
  job->state = state;
  stop_job (job);
}

void
cell_add_job (cell_t *cell, work_job_t *work)
{
  if (g_hash_table_contains (cell->jobs, work->id))
    {
      work_job_free (work);
      return;
    }
  cell->now_ms = clk_now_ms (cell->clock);
  cell_job_t *job = g_new0 (cell_job_t, 1);
  job->cell = cell;
  job->work = work;
  g_strlcpy (job->id, work->id, sizeof job->id);
  for (uint32_t i = 0; i < work->step_count; i++)
    job->tasks_per_occurrence += work->steps[i].count;
  job->groups = g_ptr_array_new_with_free_func (group_free);
  int64_t age_ms = clk_wall_ms (cell->clock) - work->accepted_ms;
  job->added_ms = cell->now_ms - CLAMP (age_ms, 0, MAX_AGE_WHEN_ADDED_MS);
  job->state = JOB_STATE_QUEUED;
  job->saved_state = JOB_STATE_QUEUED;
  job->durations = cell_durations_of (cell, work->queue);
  cell_choose_queue (job);
  cell_size_job (job);
  g_hash_table_insert (cell->jobs, job->id, job);
  if (work->times > 0)
    {
      g_ptr_array_add (cell->recurring_jobs, job);
      return;
    }
  cell_job_add_groups (job, 0);
  mark_ready_groups (job);
}

void
cell_cancel_job (cell_t *cell, const char *id)
{
  cell_job_t *job = g_hash_table_lookup (cell->jobs, id);
  if (job == NULL || job->state > JOB_STATE_RUNNING)
    return;
  cell->now_ms = clk_now_ms (cell->clock);
  cell_job_end (job, JOB_STATE_CANCELLED);
}

static bool
can_be_deleted (const cell_t *cell, const cell_job_t *job)
{
  if (job->dirty || job->saved_state != job->state
      || (job->segments != NULL && g_hash_table_size (job->segments) > 0
          && !job->abandoned)
      || g_ptr_array_find (cell->jobs_in_save, job, NULL))
    return false;
  for (guint i = 0; i < job->groups->len; i++)
    {
      const cell_group_t *group = job->groups->pdata[i];
      for (uint32_t j = 0; j < group->spec->count; j++)
        if (group->tasks[j].worker != NULL)
          return false;
    }
  return true;
}

void
cell_delete_expired_jobs (cell_t *cell)
{
  for (guint i = 0; i < DELETE_BATCH_JOBS && cell->ended_jobs->len > 0; i++)
    {
      cell_job_t *job = cell->ended_jobs->pdata[0];
      if (cell->now_ms - job->ended_ms
              < cell->options.retention_ms + RETENTION_MARGIN_MS
          || !can_be_deleted (cell, job))
        return;
      g_ptr_array_remove_index (cell->ended_jobs, 0);
      g_ptr_array_remove_fast (cell->recurring_jobs, job);
      cell->actions->delete_job (cell->context, job->id);
      g_hash_table_remove (cell->jobs, job->id);
    }
}

/* Whether JOB has as many occurrences as are kept at a time.  */
static bool
is_full (const cell_job_t *job)
{
  uint32_t open = job->next_occurrence - job->finished_below;
  return open >= MAX_OPEN_OCCURRENCES
         || (open > 0
             && (uint64_t)(open + 1) * job->tasks_per_occurrence
                    > MAX_OPEN_TASKS);
}

void
cell_add_due_occurrences (cell_t *cell)
{
  for (guint i = 0; i < cell->recurring_jobs->len;)
    {
      cell_job_t *job = cell->recurring_jobs->pdata[i];
      while (job->state <= JOB_STATE_RUNNING
             && job->next_occurrence < job->work->times && !is_full (job)
             && job->work->first_due_ms
                        + job->next_occurrence * job->work->interval_ms
                    <= cell->wall_ms)
        {
          cell_job_add_groups (job, job->next_occurrence);
          mark_ready_groups (job);
        }
      if (job->state > JOB_STATE_RUNNING
          || job->next_occurrence >= job->work->times)
        g_ptr_array_remove_index_fast (cell->recurring_jobs, i);
      else
        i++;
    }
}
