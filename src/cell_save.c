#include "cell_internal.h"

#include <string.h>

/* NAME
     cell_save - saves of the jobs' records, and what follows from them: starts
     are sent and ends acknowledged  */

/* Least time between the starts of two saves.  The store's partition that
   takes them serves 200 transactions a second; this leaves some for other
   writes, and lets one save collect the decisions of several events.  */
#define SAVE_PERIOD_MS 20
/* A save that has taken this long may take much longer.  */
#define SLOW_SAVE_MS 40
/* A transaction holds at most 100 entries; node_commit.c adds the fence row,
   the heartbeat row and up to 7 removals of expired jobs' records.  */
#define SAVE_MAX_JOBS 90
#define SAVE_MAX_BYTES (600 * 1024)

/* Whether callers wait for the save: they wait for the start of a step and the
   end of a job, not for the ends of single tasks.  */
static bool
is_awaited (const cell_job_t *job)
{
  return job->start_awaits_save || job->state > JOB_STATE_RUNNING;
}

/* Moves the jobs that callers wait for to the front: while the store is slow,
   a save holds only some of the dirty jobs.  */
static void
put_awaited_first (cell_t *cell)
{
  GPtrArray *ordered = g_ptr_array_sized_new (cell->dirty_jobs->len);
  for (int awaited = 1; awaited >= 0; awaited--)
    for (guint i = 0; i < cell->dirty_jobs->len; i++)
      if (is_awaited (cell->dirty_jobs->pdata[i]) == (awaited == 1))
        g_ptr_array_add (ordered, cell->dirty_jobs->pdata[i]);
  g_ptr_array_unref (cell->dirty_jobs);
  cell->dirty_jobs = ordered;
}

/* Moves dirty jobs into the save that is about to begin, up to its limits.  */
static void
collect_records (cell_t *cell, GArray *records)
{
  size_t bytes = 0;
  if (cell->dirty_jobs->len > SAVE_MAX_JOBS)
    put_awaited_first (cell);
  while (cell->dirty_jobs->len > 0 && records->len < SAVE_MAX_JOBS
         && bytes < SAVE_MAX_BYTES)
    {
      cell_job_t *job = g_ptr_array_steal_index (cell->dirty_jobs, 0);
      job->dirty = false;
      job->start_awaits_save = false;
      for (guint i = 0; i < job->groups->len; i++)
        {
          cell_group_t *group = job->groups->pdata[i];
          for (uint32_t j = 0; j < group->spec->count; j++)
            if (group->tasks[j].state == RUN_ASSIGNED)
              group->tasks[j].in_save = true;
        }
      if (job->state == JOB_STATE_QUEUED && job->started)
        job->state = JOB_STATE_RUNNING;
      cell_record_t record = { job->id, cell_encode_record (job) };
      bytes += strlen (record.text);
      g_array_append_val (records, record);
      g_ptr_array_add (cell->jobs_in_save, job);
      g_array_append_val (cell->states_in_save, job->state);
    }
}

static bool
is_dirty (const cell_t *cell, const char *id)
{
  const cell_job_t *job = g_hash_table_lookup (cell->jobs, id);
  return job != NULL && job->dirty;
}

/* Ends up to the first one whose job was left out are in the records.  A job
   that is not dirty was saved, or is in the save that has just begun.  */
static void
mark_ends_in_save (cell_t *cell)
{
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      cell_worker_t *worker = cell->worker_list->pdata[i];
      GArray *ends = worker->unsaved_ends;
      guint saved = 0;
      while (
          saved < ends->len
          && !is_dirty (cell, g_array_index (ends, unsaved_end_t, saved).job))
        saved++;
      if (saved > 0)
        g_array_remove_range (ends, 0, saved);
      worker->end_in_save
          = ends->len == 0 ? worker->processed_end
                           : g_array_index (ends, unsaved_end_t, 0).number - 1;
    }
}

static void
acknowledge_saved_ends (cell_t *cell)
{
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      cell_worker_t *worker = cell->worker_list->pdata[i];
      worker->saved_end = MAX (worker->saved_end, worker->end_in_save);
      cell_poll_if_due (cell, worker);
    }
}

bool
cell_pass_may_begin (const cell_t *cell)
{
  if (!cell->save_in_flight)
    return cell->now_ms >= cell->next_save_ms;
  return cell->now_ms - cell->save_begun_ms >= SLOW_SAVE_MS;
}

void
cell_save_if_due (cell_t *cell)
{
  if (cell->save_in_flight || cell->now_ms < cell->next_save_ms)
    return;
  if (cell->dirty_jobs->len == 0)
    {
      if (cell->new_ends)
        {
          cell->new_ends = false;
          mark_ends_in_save (cell);
          acknowledge_saved_ends (cell);
        }
      return;
    }
  cell->save_in_flight = true;
  cell->save_begun_ms = cell->now_ms;
  cell->next_save_ms = cell->now_ms + SAVE_PERIOD_MS;
  cell->new_ends = false;
  GArray *records = g_array_new (FALSE, FALSE, sizeof (cell_record_t));
  collect_records (cell, records);
  mark_ends_in_save (cell);
  cell->load.saves++;
  cell->load.saved_records += records->len;
  cell->actions->save (cell->context, (cell_record_t *)(void *)records->data,
                       records->len);
  for (guint i = 0; i < records->len; i++)
    g_free ((char *)g_array_index (records, cell_record_t, i).text);
  g_array_unref (records);
}

/* Sends the starts of JOB that the completed save covers.  */
static void
send_saved_starts (cell_job_t *job)
{
  for (guint i = 0; job->groups != NULL && i < job->groups->len; i++)
    {
      cell_group_t *group = job->groups->pdata[i];
      for (uint32_t j = 0; j < group->spec->count; j++)
        {
          cell_task_t *task = &group->tasks[j];
          if (task->state == RUN_ASSIGNED && task->in_save)
            {
              task->in_save = false;
              cell_order_start (task);
            }
        }
    }
}

void
cell_save_done (cell_t *cell)
{
  cell->now_ms = clk_now_ms (cell->clock);
  cell->save_in_flight = false;
  for (guint i = 0; i < cell->jobs_in_save->len; i++)
    {
      cell_job_t *job = cell->jobs_in_save->pdata[i];
      job->saved_state
          = g_array_index (cell->states_in_save, cell_job_state_t, i);
      send_saved_starts (job);
    }
  g_ptr_array_set_size (cell->jobs_in_save, 0);
  g_array_set_size (cell->states_in_save, 0);
  acknowledge_saved_ends (cell);
}
