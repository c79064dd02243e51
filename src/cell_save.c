#include "backoff.h"
#include "cell_internal.h"

#include <string.h>

/* NAME
     cell_save - saves of the jobs' records, and what follows from them: starts
     are sent and ends acknowledged

   A save that the store refuses for good is never sent again as it is.  Its
   jobs are saved in two halves, by turns with saves of other jobs, and so on
   until the refused job is alone.  That job starts nothing more and is tried
   again a few times, without the runs that it was about to start; then it
   fails, which needs a record of one line only.  */

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
/* A job fails with its refused save of this number ...  */
#define MAX_REFUSALS 5u
/* ... after pauses that begin and end with these.  */
#define REFUSED_RETRY_MS 250
#define REFUSED_MAX_RETRY_MS 2000

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

/* Adds the record of JOB to the save that is about to begin.  Returns its
   length.  */
static size_t
take_record (cell_t *cell, cell_job_t *job, GArray *records)
{
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
  g_array_append_val (records, record);
  g_ptr_array_add (cell->jobs_in_save, job);
  g_array_append_val (cell->states_in_save, job->state);
  return strlen (record.text);
}

/* Moves jobs from FROM into the save that is about to begin, up to its limits.
 */
static void
collect_records (cell_t *cell, GPtrArray *from, GArray *records)
{
  size_t bytes = 0;
  while (from->len > 0 && records->len < SAVE_MAX_JOBS
         && bytes < SAVE_MAX_BYTES)
    bytes += take_record (cell, g_ptr_array_steal_index (from, 0), records);
}

/* Queues the held jobs whose pause is over, each for a save of its own.  */
static void
retry_held_jobs (cell_t *cell)
{
  for (guint i = cell->held_jobs->len; i > 0; i--)
    {
      cell_job_t *job = cell->held_jobs->pdata[i - 1];
      if (cell->now_ms < job->next_save_ms)
        continue;
      g_ptr_array_remove_index_fast (cell->held_jobs, i - 1);
      GPtrArray *batch = g_ptr_array_new ();
      g_ptr_array_add (batch, job);
      g_queue_push_tail (cell->suspects, batch);
    }
}

/* Fills RECORDS with what the next save holds: changed jobs, by turns with a
   batch of jobs that are suspected of the refusal of an earlier save.  */
static void
choose_records (cell_t *cell, GArray *records)
{
  cell->suspects_next = !g_queue_is_empty (cell->suspects)
                        && (cell->suspects_next || cell->dirty_jobs->len == 0);
  if (!cell->suspects_next)
    {
      if (cell->dirty_jobs->len > SAVE_MAX_JOBS)
        put_awaited_first (cell);
      collect_records (cell, cell->dirty_jobs, records);
      cell->suspects_next = true;
      return;
    }
  GPtrArray *batch = g_queue_pop_head (cell->suspects);
  collect_records (cell, batch, records);
  if (batch->len > 0)
    g_queue_push_tail (cell->suspects, batch);
  else
    g_ptr_array_unref (batch);
  cell->suspects_next = false;
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
      const GArray *ends = worker->unsaved_ends;
      guint saved = 0;
      while (
          saved < ends->len
          && !is_dirty (cell, g_array_index (ends, unsaved_end_t, saved).job))
        saved++;
      worker->end_in_save
          = saved == ends->len
                ? worker->processed_end
                : g_array_index (ends, unsaved_end_t, saved).number - 1;
    }
}

static void
acknowledge_saved_ends (cell_t *cell)
{
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      cell_worker_t *worker = cell->worker_list->pdata[i];
      GArray *ends = worker->unsaved_ends;
      guint saved = 0;
      worker->saved_end = MAX (worker->saved_end, worker->end_in_save);
      while (saved < ends->len
             && g_array_index (ends, unsaved_end_t, saved).number
                    <= worker->saved_end)
        saved++;
      if (saved > 0)
        g_array_remove_range (ends, 0, saved);
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
  retry_held_jobs (cell);
  if (cell->dirty_jobs->len == 0 && g_queue_is_empty (cell->suspects))
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
  choose_records (cell, records);
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
      if (job->held)
        cell->place_pending = true;
      job->held = false;
      send_saved_starts (job);
    }
  g_ptr_array_set_size (cell->jobs_in_save, 0);
  g_array_set_size (cell->states_in_save, 0);
  acknowledge_saved_ends (cell);
}

/* Undoes the assignments of JOB, none of which is saved.  */
static void
undo_assignments (cell_job_t *job)
{
  for (guint i = 0; i < job->groups->len; i++)
    {
      cell_group_t *group = job->groups->pdata[i];
      for (uint32_t j = 0; j < group->spec->count; j++)
        {
          cell_task_t *task = &group->tasks[j];
          if (task->state != RUN_ASSIGNED)
            continue;
          if (group->spec->gang)
            cell_stop_gang (group);
          else
            cell_stop_task (task);
        }
    }
}

/* No more saves of JOB, whose shortest record was refused too.  Its ends count
   as saved: they must not keep those of other jobs from being acknowledged. */
static void
abandon_job (cell_job_t *job)
{
  cell_log (job->cell, "record_abandoned", job->id, "refusals=%u",
            job->refusals);
  job->dirty = false;
  job->abandoned = true;
  job->saved_state = job->state;
  job->cell->new_ends = true;
}

/* The store refuses a save of JOB alone.  */
static void
hold_job (cell_job_t *job)
{
  cell_t *cell = job->cell;
  job->held = true;
  job->refusals++;
  undo_assignments (job);
  if (job->refusals > MAX_REFUSALS)
    {
      abandon_job (job);
      return;
    }
  int64_t pause_ms
      = backoff_ms (job->refusals, REFUSED_RETRY_MS, REFUSED_MAX_RETRY_MS);
  char *text = cell_encode_record (job);
  cell_log (cell, "record_refused", job->id,
            "row=%s bytes=%zu refusals=%u of=%u next_ms=%lld", job->id,
            strlen (text), job->refusals, MAX_REFUSALS, (long long)pause_ms);
  g_free (text);
  if (job->refusals == MAX_REFUSALS)
    {
      job->reduced = true;
      cell_job_end (job, JOB_STATE_FAILED);
    }
  job->next_save_ms = cell->now_ms + pause_ms;
  g_ptr_array_add (cell->held_jobs, job);
}

static void
add_suspects (cell_t *cell, const GPtrArray *jobs, guint from, guint to)
{
  GPtrArray *batch = g_ptr_array_new ();
  for (guint i = from; i < to; i++)
    g_ptr_array_add (batch, jobs->pdata[i]);
  g_queue_push_tail (cell->suspects, batch);
}

void
cell_save_refused (cell_t *cell)
{
  GPtrArray *jobs = cell->jobs_in_save;
  cell->now_ms = clk_now_ms (cell->clock);
  cell->save_in_flight = false;
  cell->jobs_in_save = g_ptr_array_new ();
  g_array_set_size (cell->states_in_save, 0);
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      cell_worker_t *worker = cell->worker_list->pdata[i];
      worker->end_in_save = worker->saved_end;
    }
  for (guint i = 0; i < jobs->len; i++)
    {
      cell_job_t *job = jobs->pdata[i];
      g_ptr_array_remove (cell->dirty_jobs, job);
      job->dirty = true;
    }
  cell->load.refused_saves++;
  if (jobs->len == 1)
    hold_job (jobs->pdata[0]);
  else
    {
      add_suspects (cell, jobs, 0, jobs->len / 2);
      add_suspects (cell, jobs, jobs->len / 2, jobs->len);
    }
  g_ptr_array_unref (jobs);
}
