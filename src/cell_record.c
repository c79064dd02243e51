#include "cell_internal.h"

#include <string.h>

/* The record of a job: a line "1 STATE FINISHED_BELOW", where 1 is the version
   of the format and STATE a letter of STATE_LETTERS; then for each group with
   a task that has had a run
     g OCCURRENCE STEP GANG_FAILURES CHECKPOINT [FAILED_RUN]
   followed by a line for each such task
     t INDEX STATE RUN FAILURES WORKER CHECKPOINT
       [START ADDRESS SUSPECTED CRASHES LOSSES LAPSED]
   with STATE d (done), a (holds capacity of WORKER) or w (waits) and "-" for
   an empty text.  START is the wall time at which WORKER had started, 0 if it
   is unknown, and ADDRESS where it was; SUSPECTED, CRASHES and LOSSES are
   those of blame_history_t, LAPSED the numbers of lapsed runs among the lost
   ones, joined by commas.  Records of earlier versions lack these six.  A
   group all of whose tasks are done has the single line "f OCCURRENCE STEP".

   A record that is split, see cell_segment.c, has "2 STATE FINISHED_BELOW" as
   its only line; the others stand in its segments, of which several may have
   the line of a finished group.  */

#define WHOLE_RECORD '1'
#define HEAD_OF_SEGMENTS '2'

/* By cell_job_state_t.  */
static const char state_letters[] = "QRCFX";

static const char *
or_dash (const char *text)
{
  return text != NULL && text[0] != '\0' ? text : "-";
}

/* Appends a space and NUMBER.  A save writes thousands of these, and printf
   takes most of its time.  */
static void
append_number (GString *text, int64_t number)
{
  char digits[24];
  size_t at = sizeof digits;
  uint64_t left = number < 0 ? -(uint64_t)number : (uint64_t)number;
  digits[--at] = '\0';
  do
    digits[--at] = (char)('0' + left % 10);
  while ((left /= 10) > 0);
  if (number < 0)
    digits[--at] = '-';
  digits[--at] = ' ';
  g_string_append_len (text, digits + at, (gssize)(sizeof digits - 1 - at));
}

static void
append_word (GString *text, const char *word)
{
  g_string_append_c (text, ' ');
  g_string_append (text, or_dash (word));
}

static char
task_letter (const cell_task_t *task)
{
  if (task->state == RUN_DONE)
    return 'd';
  return task->worker != NULL ? 'a' : 'w';
}

static void
append_blame (GString *text, const cell_task_t *task)
{
  const cell_worker_t *worker = task->worker;
  append_number (text, worker != NULL ? task->worker_start_ms : 0);
  append_word (text, worker != NULL ? worker->address : NULL);
  append_number (text, task->blame.suspected);
  append_number (text, task->blame.crashes);
  append_number (text, task->blame.losses);
  g_string_append_c (text, ' ');
  for (uint32_t i = 0; i < task->lapsed_count; i++)
    g_string_append_printf (text, "%s%u", i > 0 ? "," : "",
                            task->lapsed_runs[i]);
  if (task->lapsed_count == 0)
    g_string_append_c (text, '-');
}

/* A text that is being written.  */
typedef struct
{
  GString *text;
  bool leaves_out_checkpoints;
} writer_t;

static void
append_task (const writer_t *writer, const cell_task_t *task)
{
  GString *text = writer->text;
  g_string_append_c (text, 't');
  append_number (text, task->index);
  g_string_append_c (text, ' ');
  g_string_append_c (text, task_letter (task));
  append_number (text, task->run);
  append_number (text, task->failures);
  append_word (text, task->worker != NULL ? task->worker->id : NULL);
  append_word (text, writer->leaves_out_checkpoints ? NULL : task->checkpoint);
  if (task->worker != NULL || task->blame.losses > 0)
    append_blame (text, task);
  g_string_append_c (text, '\n');
}

static void
append_group (const writer_t *writer, const cell_group_t *group)
{
  GString *text = writer->text;
  g_string_append_c (text, 'g');
  append_number (text, group->occurrence);
  append_number (text, group->step);
  append_number (text, group->gang_failures);
  append_word (text,
               writer->leaves_out_checkpoints ? NULL : group->gang_checkpoint);
  if (group->gang_failed_run > 0)
    append_number (text, group->gang_failed_run);
  g_string_append_c (text, '\n');
}

/* Appends the lines of the tasks of GROUP from index FROM to below TO.  */
static void
append_tasks (void *context, cell_group_t *group, uint32_t from, uint32_t to)
{
  const writer_t *writer = context;
  bool begun = false;
  if (group->finished && (from == 0 || !group->finish_stored))
    g_string_append_printf (writer->text, "f %u %u\n", group->occurrence,
                            group->step);
  for (uint32_t i = from; i < to && !group->finished; i++)
    {
      const cell_task_t *task = &group->tasks[i];
      if (task->run == 0)
        continue;
      if (!begun)
        append_group (writer, group);
      begun = true;
      append_task (writer, task);
    }
}

char *
cell_encode_record (const cell_job_t *job)
{
  writer_t writer = { g_string_sized_new (256), false };
  bool in_segments = job->segments != NULL && !job->closed && !job->reduced;
  g_string_append_printf (writer.text, "%c %c %u\n",
                          in_segments ? HEAD_OF_SEGMENTS : WHOLE_RECORD,
                          state_letters[job->state], job->finished_below);
  for (guint i = 0;
       i < job->groups->len && job->segments == NULL && !job->reduced; i++)
    {
      cell_group_t *group = job->groups->pdata[i];
      append_tasks (&writer, group, 0, group->spec->count);
    }
  return g_string_free (writer.text, FALSE);
}

char *
cell_encode_segment (const cell_job_t *job, const cell_segment_t *segment)
{
  writer_t writer = { g_string_new (NULL), false };
  if (job->closed || job->reduced)
    return g_string_free (writer.text, FALSE);
  cell_each_in_segment (job, segment, append_tasks, &writer);
  if (writer.text->len > cell_row_limit (&job->cell->options))
    {
      /* This costs progress only.  */
      writer.leaves_out_checkpoints = true;
      g_string_truncate (writer.text, 0);
      cell_each_in_segment (job, segment, append_tasks, &writer);
    }
  return g_string_free (writer.text, FALSE);
}

/* Reads the fields that records of earlier versions lack.  */
static void
load_blame (cell_task_t *task, char **fields)
{
  task->worker_start_ms = g_ascii_strtoll (fields[0], NULL, 10);
  task->blame.suspected = (uint32_t)g_ascii_strtoull (fields[2], NULL, 10);
  task->blame.crashes = (uint32_t)g_ascii_strtoull (fields[3], NULL, 10);
  task->blame.losses = (uint32_t)g_ascii_strtoull (fields[4], NULL, 10);
  char **runs = g_strsplit (fields[5], ",", (gint)BLAME_MAX_LOSSES + 1);
  for (uint32_t i = 0; i < BLAME_MAX_LOSSES && runs[i] != NULL; i++)
    if (g_ascii_isdigit (runs[i][0]))
      task->lapsed_runs[task->lapsed_count++]
          = (uint32_t)g_ascii_strtoull (runs[i], NULL, 10);
  g_strfreev (runs);
}

/* Reads a task line, split into FIELDS, of GROUP.  */
static bool
load_task (cell_group_t *group, char **fields)
{
  uint32_t index = (uint32_t)g_ascii_strtoull (fields[1], NULL, 10);
  if (index >= group->spec->count)
    return false;
  cell_t *cell = group->job->cell;
  cell_task_t *task = &group->tasks[index];
  /* What a segment says is newer.  */
  if (task->loaded || group->finished)
    return group->job->segments != NULL;
  task->loaded = true;
  task->run = (uint32_t)g_ascii_strtoull (fields[3], NULL, 10);
  task->failures = (uint32_t)g_ascii_strtoull (fields[4], NULL, 10);
  if (strcmp (fields[6], "-") != 0)
    task->checkpoint = g_strdup (fields[6]);
  bool has_blame = g_strv_length (fields) >= 13;
  if (has_blame)
    load_blame (task, fields + 7);
  if (fields[2][0] == 'd')
    cell_set_task_state (task, RUN_DONE);
  if (strcmp (fields[5], "-") != 0)
    {
      cell_worker_t *worker = cell_find_worker (cell, fields[5]);
      if (worker == NULL)
        {
          /* No longer listed; its runs last until it, or another worker at its
             address, shows their end, or until its lease has expired.  */
          bool has_address = has_blame && strcmp (fields[8], "-") != 0;
          worker_row_t row
              = { .id = fields[5], .address = has_address ? fields[8] : "" };
          cell_worker_listed (cell, &row);
          cell_worker_unlisted (cell, fields[5]);
          worker = cell_find_worker (cell, fields[5]);
        }
      if (!worker->listed)
        worker->start_ms = worker->highest_start_ms
            = MAX (worker->start_ms, task->worker_start_ms);
      worker->used = resource_add (worker->used, cell_task_need (group->spec));
      g_ptr_array_add (worker->tasks, task);
      group->waiting -= task->state == RUN_WAITING;
      task->worker = worker;
      if (task->state != RUN_DONE)
        cell_set_task_state (task, RUN_LIVE);
    }
  return true;
}

/* A row that is being read.  */
typedef struct
{
  cell_job_t *job;
  const cell_segment_t *segment; /* NULL: the row under the id of JOB */
  cell_group_t *group;           /* to which the next task lines belong */
  bool skips;                    /* these lines */
} reader_t;

/* Sets the group that FIELDS name.  Returns false if there is none.  */
static bool
find_loaded_group (reader_t *reader, char **fields)
{
  cell_job_t *job = reader->job;
  uint32_t occurrence = (uint32_t)g_ascii_strtoull (fields[1], NULL, 10);
  uint32_t step = (uint32_t)g_ascii_strtoull (fields[2], NULL, 10);
  /* The head was written first.  */
  reader->skips = reader->segment != NULL && occurrence < job->finished_below;
  while (job->work->times > 0 && job->next_occurrence <= occurrence
         && job->next_occurrence < job->work->times)
    cell_job_add_groups (job, job->next_occurrence);
  reader->group = cell_job_group (job, occurrence, step);
  return reader->group != NULL || reader->skips;
}

static bool
load_finish (reader_t *reader, char **fields)
{
  if (!find_loaded_group (reader, fields))
    return false;
  if (reader->skips)
    return true;
  cell_group_t *group = reader->group;
  if (reader->segment != NULL && cell_segment_begins (reader->segment, group))
    group->finish_stored = true;
  if (group->finished)
    return reader->job->segments != NULL;
  for (uint32_t i = 0; i < group->spec->count; i++)
    cell_set_task_state (&group->tasks[i], RUN_DONE);
  group->finished = true;
  g_ptr_array_remove_fast (reader->job->cell->ready_groups, group);
  return true;
}

static bool
load_group (reader_t *reader, char **fields)
{
  if (!find_loaded_group (reader, fields))
    return false;
  if (reader->skips)
    return true;
  cell_group_t *group = reader->group;
  /* The segments of a gang were written at different times: the highest count
     and its run are the newest, and the checkpoint of each is one of the gang.
   */
  if ((group->finished || group->gang_checkpoint != NULL)
      && reader->job->segments == NULL)
    return false;
  group->gang_failures = MAX (
      group->gang_failures, (uint32_t)g_ascii_strtoull (fields[3], NULL, 10));
  if (fields[5] != NULL)
    group->gang_failed_run
        = MAX (group->gang_failed_run,
               (uint32_t)g_ascii_strtoull (fields[5], NULL, 10));
  if (strcmp (fields[4], "-") != 0 && group->gang_checkpoint == NULL)
    group->gang_checkpoint = g_strdup (fields[4]);
  return true;
}

static bool
load_line (reader_t *reader, char **fields)
{
  guint count = g_strv_length (fields);
  if (count >= 3 && fields[0][0] == 'f')
    return load_finish (reader, fields);
  if (count >= 5 && fields[0][0] == 'g')
    return load_group (reader, fields);
  if (count < 7 || fields[0][0] != 't')
    return false;
  return reader->skips
         || (reader->group != NULL && load_task (reader->group, fields));
}

/* Reads the lines of TEXT, the row of SEGMENT, behind the first SKIPPED ones.
 */
static bool
load_lines (cell_job_t *job, const cell_segment_t *segment, const char *text,
            uint32_t skipped)
{
  char **lines = g_strsplit (text, "\n", 0);
  reader_t reader = { .job = job, .segment = segment };
  bool ok = true;
  for (char **line = lines; ok && *line != NULL; line++)
    {
      if (skipped > 0 || **line == '\0')
        {
          skipped -= skipped > 0;
          continue;
        }
      char **fields = g_strsplit (*line, " ", 0);
      ok = load_line (&reader, fields);
      g_strfreev (fields);
    }
  g_strfreev (lines);
  return ok;
}

/* Reads the first line of TEXT.  Returns false if its format is unknown.  */
static bool
load_head (cell_job_t *job, const char *text, cell_job_state_t *state)
{
  const char *letter
      = strlen (text) >= 5 ? strchr (state_letters, text[2]) : NULL;
  if (letter == NULL || *letter == '\0'
      || (text[0] != WHOLE_RECORD && text[0] != HEAD_OF_SEGMENTS))
    return false;
  guint64 finished_below = g_ascii_strtoull (text + 4, NULL, 10);
  if (finished_below > job->work->times)
    return false;
  *state = (cell_job_state_t)(letter - state_letters);
  job->finished_below = (uint32_t)finished_below;
  if (job->finished_below > 0)
    job->next_occurrence = job->finished_below;
  return true;
}

/* Reads the segments among ROWS; those of a closed record are left to be
   removed.  */
static bool
load_segments (cell_job_t *job, const cell_record_t *rows, uint32_t count)
{
  bool ok = true;
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t number;
      if (!cell_parse_segment_key (rows[i].key, &number))
        continue;
      cell_begin_segments (job);
      cell_segment_t *segment = cell_get_segment (job, number);
      segment->stored = true;
      if (!job->closed)
        ok = load_lines (job, segment, rows[i].text, 0) && ok;
    }
  return ok;
}

bool
cell_load_record (cell_t *cell, const char *id, const cell_record_t *rows,
                  uint32_t count)
{
  cell_job_t *job = g_hash_table_lookup (cell->jobs, id);
  if (job == NULL || job->work == NULL || count == 0)
    return false;
  const char *head = strcmp (rows[0].key, id) == 0 ? rows[0].text : NULL;
  bool whole = head != NULL && head[0] == WHOLE_RECORD;
  cell_job_state_t state = JOB_STATE_QUEUED;
  bool ok = head == NULL || load_head (job, head, &state);
  job->closed = ok && whole && state > JOB_STATE_RUNNING && count > 1;
  job->head_split = head != NULL && !whole;
  ok = ok && load_segments (job, rows, count);
  if (ok && whole && !job->closed)
    ok = load_lines (job, NULL, head, 1);
  job->started = state != JOB_STATE_QUEUED;
  job->saved_state = state;
  if (state > JOB_STATE_RUNNING)
    cell_job_load_ended (job, state);
  else
    {
      job->state = state;
      cell_job_advance (job);
      cell_fail_if_exhausted (job);
    }
  /* It was not split to its end, or its segments were not all removed.  */
  if (job->segments != NULL && !job->head_split)
    cell_mark_all_segments (job);
  if (job->segments != NULL
      && (!job->head_split || job->state > JOB_STATE_RUNNING))
    cell_mark_dirty (job);
  return ok;
}

/* Whether a line of TEXT says that a task holds capacity, so that it may still
   run.  */
static bool
names_holder (const char *text)
{
  for (const char *line = strchr (text, '\n'); line != NULL;
       line = strchr (line + 1, '\n'))
    if (line[1] == 't' && g_strstr_len (line + 1, 16, " a ") != NULL)
      return true;
  return false;
}

bool
cell_add_ended_job (cell_t *cell, const char *id, const cell_record_t *rows,
                    uint32_t count)
{
  const char *head
      = count > 0 && strcmp (rows[0].key, id) == 0 ? rows[0].text : "";
  const char *letter
      = strlen (head) >= 5 ? strchr (state_letters, head[2]) : NULL;
  if (letter == NULL || *letter == '\0' || head[0] != WHOLE_RECORD
      || letter - state_letters <= JOB_STATE_RUNNING
      || g_hash_table_contains (cell->jobs, id) || names_holder (head))
    return false;
  cell_job_t *job = g_new0 (cell_job_t, 1);
  job->cell = cell;
  g_strlcpy (job->id, id, sizeof job->id);
  job->state = (cell_job_state_t)(letter - state_letters);
  job->saved_state = job->state;
  job->ended_ms = clk_now_ms (cell->clock);
  job->groups = g_ptr_array_new ();
  g_hash_table_insert (cell->jobs, job->id, job);
  g_ptr_array_add (cell->ended_jobs, job);
  job->closed = true;
  load_segments (job, rows, count);
  if (job->segments != NULL)
    {
      cell_mark_all_segments (job);
      cell_mark_dirty (job);
    }
  return true;
}
