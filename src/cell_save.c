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
#define SAVE_MAX_ROWS 90u
/* Takes a link of 10 Mbit/s about 0.3 s.  */
#define SAVE_MAX_BYTES (256 * 1024)
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

/* A save that is about to begin.  */
typedef struct
{
  cell_t *cell;
  GArray *records; /* cell_record_t; keys and texts are owned */
  size_t bytes;
  uint32_t max_rows;
} new_save_t;

static bool
has_room (const new_save_t *save)
{
  return save->records->len < save->max_rows && save->bytes < SAVE_MAX_BYTES;
}

/* Takes ownership of KEY and TEXT.  */
static void
add_row (new_save_t *save, const saved_row_t *row, char *key, char *text)
{
  cell_record_t record = { key, text };
  save->bytes += text != NULL ? strlen (text) : 0;
  g_array_append_val (save->records, record);
  g_array_append_val (save->cell->rows_in_save, *row);
}

static void
mark_in_save (void *context, cell_group_t *group, uint32_t from, uint32_t to)
{
  for (uint32_t i = from; i < to; i++)
    if (group->tasks[i].state == RUN_ASSIGNED)
      group->tasks[i].in_save = true;
}

/* Adds the row under the id of JOB.  */
static void
add_head (new_save_t *save, cell_job_t *job, char *text)
{
  saved_row_t row
      = { .job = job, .whole = job->segments == NULL, .state = job->state };
  job->head_dirty = false;
  add_row (save, &row, g_strdup (job->id), text);
}

static void
set_finish_stored (void *context, cell_group_t *group, uint32_t from,
                   uint32_t to)
{
  const bool *stored = context;
  if (from == 0 && group->finished)
    group->finish_stored = *stored;
}

/* Adds changed segments of JOB: those with lines, or REMOVED ones, which have
   none any more.  Leaves out the others and those that the save has no room
   for.  */
static void
add_segments (new_save_t *save, cell_job_t *job, bool removed)
{
  guint kept = 0;
  for (guint i = 0; i < job->dirty_segments->len; i++)
    {
      cell_segment_t *segment = job->dirty_segments->pdata[i];
      char *text = has_room (save) ? cell_encode_segment (job, segment) : NULL;
      if (text == NULL || (text[0] == '\0') != removed)
        {
          job->dirty_segments->pdata[kept++] = segment;
          g_free (text);
          continue;
        }
      segment->dirty = false;
      if (removed)
        g_clear_pointer (&text, g_free);
      if (removed && !segment->stored)
        {
          g_hash_table_remove (job->segments, &segment->number);
          continue;
        }
      saved_row_t row = { .job = job, .segment = segment, .removed = removed };
      segment->stored = true;
      cell_each_in_segment (job, segment, mark_in_save, NULL);
      cell_each_in_segment (job, segment, set_finish_stored, &segment->stored);
      add_row (save, &row, cell_segment_key (job, segment), text);
    }
  g_ptr_array_set_size (job->dirty_segments, (gint)kept);
}

/* Whether a segment of JOB with lines is to be saved.  */
static bool
has_lines_to_save (const cell_job_t *job)
{
  bool found = false;
  for (guint i = 0; i < job->dirty_segments->len && !found; i++)
    {
      char *text = cell_encode_segment (job, job->dirty_segments->pdata[i]);
      found = text[0] != '\0';
      g_free (text);
    }
  return found;
}

/* The runs of a job that has ended are of no interest once they are over.  */
static void
close_if_over (cell_job_t *job)
{
  if (job->closed || job->state <= JOB_STATE_RUNNING)
    return;
  for (guint i = 0; i < job->groups->len; i++)
    {
      const cell_group_t *group = job->groups->pdata[i];
      for (uint32_t j = 0; j < group->spec->count; j++)
        if (group->tasks[j].worker != NULL)
          return;
    }
  job->closed = true;
  job->head_dirty = true;
  cell_mark_all_segments (job);
}

/* Adds the head of JOB if it has changed.  Returns false if there is no room
   for it.  */
static bool
take_head (new_save_t *save, cell_job_t *job)
{
  if (!job->head_dirty)
    return true;
  if (!has_room (save))
    return false;
  add_head (save, job, cell_encode_record (job));
  return true;
}

/* Adds the rows of a split record that have changed, in the order that
   cell_segment.c asks for.  Returns false if some are left.  */
static bool
take_segments (new_save_t *save, cell_job_t *job)
{
  close_if_over (job);
  if (job->head_split && !take_head (save, job))
    return false;
  add_segments (save, job, false);
  if (has_lines_to_save (job) || !take_head (save, job))
    return false;
  add_segments (save, job, true);
  return job->dirty_segments->len == 0;
}

/* Adds the record of JOB, which is split first if it has outgrown a row.
   Returns false if some of its rows are left for a later save.  */
static bool
take_job (new_save_t *save, cell_job_t *job)
{
  if (job->state == JOB_STATE_QUEUED && job->started)
    job->state = JOB_STATE_RUNNING;
  g_ptr_array_add (save->cell->jobs_in_save, job);
  if (job->segments == NULL)
    {
      char *text = cell_encode_record (job);
      if (strlen (text) <= cell_row_limit (&save->cell->options))
        {
          for (guint i = 0; i < job->groups->len; i++)
            {
              cell_group_t *group = job->groups->pdata[i];
              mark_in_save (NULL, group, 0, group->spec->count);
            }
          add_head (save, job, text);
          return true;
        }
      cell_log (save->cell, "record_split", job->id, "bytes=%zu",
                strlen (text));
      g_free (text);
      cell_begin_segments (job);
      cell_mark_all_segments (job);
      job->head_dirty = true;
    }
  return take_segments (save, job);
}

/* Moves jobs from FROM into the save, up to its limits.  A job with rows left
   goes to the end of FROM.  */
static void
take_jobs (new_save_t *save, GPtrArray *from)
{
  for (guint i = from->len; i > 0 && has_room (save); i--)
    {
      cell_job_t *job = g_ptr_array_steal_index (from, 0);
      job->dirty = !take_job (save, job);
      job->starts_in_save = !job->dirty && job->start_awaits_save;
      if (job->dirty)
        g_ptr_array_add (from, job);
      else
        job->start_awaits_save = false;
    }
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

/* Fills SAVE: with changed jobs, or by turns with a batch of jobs that are
   suspected of the refusal of an earlier save.  */
static void
fill_save (new_save_t *save)
{
  cell_t *cell = save->cell;
  cell->suspects_next = !g_queue_is_empty (cell->suspects)
                        && (cell->suspects_next || cell->dirty_jobs->len == 0);
  if (!cell->suspects_next)
    {
      if (cell->dirty_jobs->len > save->max_rows)
        put_awaited_first (cell);
      take_jobs (save, cell->dirty_jobs);
      cell->suspects_next = true;
      return;
    }
  GPtrArray *batch = g_queue_pop_head (cell->suspects);
  take_jobs (save, batch);
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
  new_save_t save
      = { .cell = cell,
          .records = g_array_new (FALSE, FALSE, sizeof (cell_record_t)),
          .max_rows = cell->options.max_save_rows > 0
                          ? cell->options.max_save_rows
                          : SAVE_MAX_ROWS };
  fill_save (&save);
  mark_ends_in_save (cell);
  cell->load.saves++;
  cell->load.saved_records += save.records->len;
  if (save.records->len > 0)
    cell->actions->save (cell->context,
                         (cell_record_t *)(void *)save.records->data,
                         save.records->len);
  for (guint i = 0; i < save.records->len; i++)
    {
      g_free ((char *)g_array_index (save.records, cell_record_t, i).key);
      g_free ((char *)g_array_index (save.records, cell_record_t, i).text);
    }
  if (save.records->len == 0)
    cell_save_done (cell);
  g_array_unref (save.records);
}

/* Sends the starts that the completed save covers.  */
static void
send_saved_starts (void *context, cell_group_t *group, uint32_t from,
                   uint32_t to)
{
  for (uint32_t i = from; i < to; i++)
    {
      cell_task_t *task = &group->tasks[i];
      if (task->state == RUN_ASSIGNED && task->in_save)
        {
          task->in_save = false;
          cell_order_start (task);
        }
    }
}

static void
head_saved (const saved_row_t *row)
{
  cell_job_t *job = row->job;
  job->saved_state = row->state;
  if (row->whole || job->head_split)
    return;
  job->head_split = true;
  cell_job_advance (job);
}

static void
row_saved (const saved_row_t *row)
{
  cell_job_t *job = row->job;
  if (row->segment == NULL)
    head_saved (row);
  else if (row->removed && !row->segment->dirty)
    g_hash_table_remove (job->segments, &row->segment->number);
  else
    cell_each_in_segment (job, row->segment, send_saved_starts, NULL);
  for (guint i = 0; row->whole && i < job->groups->len; i++)
    {
      cell_group_t *group = job->groups->pdata[i];
      send_saved_starts (NULL, group, 0, group->spec->count);
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
      cell->place_pending = cell->place_pending || job->held;
      job->held = false;
      /* Without starts, or with some of its rows only, it may be what is left
         out that the store refuses.  */
      if (job->starts_in_save && !job->reduced)
        job->refusals = 0;
    }
  for (guint i = 0; i < cell->rows_in_save->len; i++)
    row_saved (&g_array_index (cell->rows_in_save, saved_row_t, i));
  g_ptr_array_set_size (cell->jobs_in_save, 0);
  g_array_set_size (cell->rows_in_save, 0);
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

/* Logs the refusal of the save of JOB alone, which is tried again after
   PAUSE_MS, with the longest of the rows that JOB has still to save.  */
static void
log_refusal (const cell_job_t *job, int64_t pause_ms)
{
  char *key = g_strdup (job->id);
  char *text = cell_encode_record (job);
  size_t bytes = strlen (text);
  g_free (text);
  for (guint i = 0; job->segments != NULL && i < job->dirty_segments->len; i++)
    {
      const cell_segment_t *segment = job->dirty_segments->pdata[i];
      text = cell_encode_segment (job, segment);
      if (strlen (text) > bytes)
        {
          bytes = strlen (text);
          g_free (key);
          key = cell_segment_key (job, segment);
        }
      g_free (text);
    }
  cell_log (job->cell, "record_refused", job->id,
            "row=%s bytes=%zu refusals=%u of=%u next_ms=%lld", key, bytes,
            job->refusals, MAX_REFUSALS, (long long)pause_ms);
  g_free (key);
}

/* The store refuses a save of JOB alone.  */
static void
hold_job (cell_job_t *job)
{
  cell_t *cell = job->cell;
  job->held = true;
  job->refusals++;
  undo_assignments (job);
  job->start_awaits_save = false;
  if (job->refusals > MAX_REFUSALS)
    {
      abandon_job (job);
      return;
    }
  int64_t pause_ms
      = backoff_ms (job->refusals, REFUSED_RETRY_MS, REFUSED_MAX_RETRY_MS);
  log_refusal (job, pause_ms);
  if (job->refusals == MAX_REFUSALS)
    {
      job->reduced = true;
      if (job->segments != NULL)
        cell_mark_all_segments (job);
      cell_job_end (job, JOB_STATE_FAILED);
    }
  job->next_save_ms = cell->now_ms + pause_ms;
  g_ptr_array_add (cell->held_jobs, job);
}

/* ROW was not written.  */
static void
unsave_row (const saved_row_t *row)
{
  bool stored = false;
  if (row->segment != NULL)
    {
      cell_each_in_segment (row->job, row->segment, set_finish_stored,
                            &stored);
      cell_mark_segment (row->job, row->segment);
    }
  else
    row->job->head_dirty = true;
}

/* Removes JOB from what is to be saved.  */
static void
withdraw_job (cell_t *cell, cell_job_t *job)
{
  g_ptr_array_remove (cell->dirty_jobs, job);
  for (GList *link = cell->suspects->head; link != NULL;)
    {
      GList *next = link->next;
      GPtrArray *batch = link->data;
      g_ptr_array_remove (batch, job);
      if (batch->len == 0)
        {
          g_ptr_array_unref (batch);
          g_queue_delete_link (cell->suspects, link);
        }
      link = next;
    }
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
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      cell_worker_t *worker = cell->worker_list->pdata[i];
      worker->end_in_save = worker->saved_end;
    }
  for (guint i = 0; i < jobs->len; i++)
    {
      cell_job_t *job = jobs->pdata[i];
      withdraw_job (cell, job);
      job->dirty = true;
    }
  for (guint i = 0; i < cell->rows_in_save->len; i++)
    unsave_row (&g_array_index (cell->rows_in_save, saved_row_t, i));
  g_array_set_size (cell->rows_in_save, 0);
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
