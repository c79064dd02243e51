#include "cell_internal.h"

#include <string.h>

/* The record of a job: a line "1 STATE FINISHED_BELOW", where 1 is the version
   of the format and STATE a letter of STATE_LETTERS; then for each group with
   a task that has had a run
     g OCCURRENCE STEP GANG_FAILURES CHECKPOINT
   followed by a line for each such task
     t INDEX STATE RUN FAILURES WORKER CHECKPOINT
       [START ADDRESS SUSPECTED CRASHES LOSSES LAPSED]
   with STATE d (done), a (holds capacity of WORKER) or w (waits) and "-" for
   an empty text.  START is the wall time at which WORKER had started, 0 if it
   is unknown, and ADDRESS where it was; SUSPECTED, CRASHES and LOSSES are
   those of blame_history_t, LAPSED the numbers of lapsed runs among the lost
   ones, joined by commas.  Records of earlier versions lack these six.  A
   group all of whose tasks are done has the single line "f OCCURRENCE STEP".
 */

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

static void
append_task (GString *text, const cell_task_t *task)
{
  g_string_append_c (text, 't');
  append_number (text, task->index);
  g_string_append_c (text, ' ');
  g_string_append_c (text, task_letter (task));
  append_number (text, task->run);
  append_number (text, task->failures);
  append_word (text, task->worker != NULL ? task->worker->id : NULL);
  append_word (text, task->checkpoint);
  if (task->worker != NULL || task->blame.losses > 0)
    append_blame (text, task);
  g_string_append_c (text, '\n');
}

static void
append_group (GString *text, const cell_group_t *group)
{
  if (group->finished)
    {
      g_string_append_printf (text, "f %u %u\n", group->occurrence,
                              group->step);
      return;
    }
  if (group->waiting == group->spec->count && group->gang_failures == 0
      && group->tasks[0].run == 0 && group->done == 0)
    {
      bool never_run = true;
      for (uint32_t i = 0; i < group->spec->count; i++)
        never_run = never_run && group->tasks[i].run == 0;
      if (never_run)
        return;
    }
  g_string_append_printf (text, "g %u %u %u %s\n", group->occurrence,
                          group->step, group->gang_failures,
                          or_dash (group->gang_checkpoint));
  for (uint32_t i = 0; i < group->spec->count; i++)
    {
      const cell_task_t *task = &group->tasks[i];
      if (task->run == 0)
        continue;
      append_task (text, task);
    }
}

char *
cell_encode_record (const cell_job_t *job)
{
  GString *text = g_string_sized_new (256);
  g_string_append_printf (text, "1 %c %u\n", state_letters[job->state],
                          job->finished_below);
  for (guint i = 0; i < job->groups->len && !job->reduced; i++)
    append_group (text, job->groups->pdata[i]);
  return g_string_free (text, FALSE);
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
  if (task->loaded)
    return false;
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
        worker->start_ms = MAX (worker->start_ms, task->worker_start_ms);
      worker->used = resource_add (worker->used, cell_task_need (group->spec));
      g_ptr_array_add (worker->tasks, task);
      group->waiting -= task->state == RUN_WAITING;
      task->worker = worker;
      if (task->state != RUN_DONE)
        cell_set_task_state (task, RUN_LIVE);
    }
  return true;
}

static cell_group_t *
find_loaded_group (cell_job_t *job, char **fields)
{
  uint32_t occurrence = (uint32_t)g_ascii_strtoull (fields[1], NULL, 10);
  uint32_t step = (uint32_t)g_ascii_strtoull (fields[2], NULL, 10);
  while (job->work->times > 0 && job->next_occurrence <= occurrence
         && job->next_occurrence < job->work->times)
    cell_job_add_groups (job, job->next_occurrence);
  return cell_job_group (job, occurrence, step);
}

static bool
load_line (cell_job_t *job, cell_group_t **group, char **fields)
{
  guint count = g_strv_length (fields);
  if (count >= 3 && fields[0][0] == 'f')
    {
      *group = find_loaded_group (job, fields);
      if (*group == NULL || (*group)->finished)
        return false;
      for (uint32_t i = 0; i < (*group)->spec->count; i++)
        cell_set_task_state (&(*group)->tasks[i], RUN_DONE);
      (*group)->finished = true;
      g_ptr_array_remove_fast (job->cell->ready_groups, *group);
      return true;
    }
  if (count >= 5 && fields[0][0] == 'g')
    {
      *group = find_loaded_group (job, fields);
      if (*group == NULL || (*group)->finished
          || (*group)->gang_checkpoint != NULL)
        return false;
      (*group)->gang_failures
          = (uint32_t)g_ascii_strtoull (fields[3], NULL, 10);
      if (strcmp (fields[4], "-") != 0)
        (*group)->gang_checkpoint = g_strdup (fields[4]);
      return true;
    }
  return count >= 7 && fields[0][0] == 't' && *group != NULL
         && load_task (*group, fields);
}

/* Reads the first line.  Returns false if its format is unknown.  */
static bool
load_head (cell_job_t *job, const char *line, cell_job_state_t *state)
{
  const char *letter
      = strlen (line) >= 5 ? strchr (state_letters, line[2]) : NULL;
  if (letter == NULL || line[0] != '1')
    return false;
  guint64 finished_below = g_ascii_strtoull (line + 4, NULL, 10);
  if (*letter == '\0' || finished_below > job->work->times)
    return false;
  *state = (cell_job_state_t)(letter - state_letters);
  job->finished_below = (uint32_t)finished_below;
  if (job->finished_below > 0)
    job->next_occurrence = job->finished_below;
  return true;
}

bool
cell_load_record (cell_t *cell, const char *id, const char *text,
                  size_t length)
{
  cell_job_t *job = g_hash_table_lookup (cell->jobs, id);
  if (job == NULL || job->work == NULL)
    return false;
  char *copy = g_strndup (text, length);
  char **lines = g_strsplit (copy, "\n", 0);
  cell_job_state_t state = JOB_STATE_QUEUED;
  bool ok = lines[0] != NULL && load_head (job, lines[0], &state);
  cell_group_t *group = NULL;
  for (char **line = lines + 1; ok && lines[0] != NULL && *line != NULL;
       line++)
    {
      if (**line == '\0')
        continue;
      char **fields = g_strsplit (*line, " ", 0);
      ok = load_line (job, &group, fields);
      g_strfreev (fields);
    }
  g_strfreev (lines);
  g_free (copy);
  job->started = state != JOB_STATE_QUEUED;
  job->saved_state = state;
  if (state > JOB_STATE_RUNNING)
    cell_job_load_ended (job, state);
  else
    {
      job->state = state;
      cell_job_advance (job);
    }
  return ok;
}

bool
cell_add_ended_job (cell_t *cell, const char *id, const char *text,
                    size_t length)
{
  const char *letter = length >= 5 ? strchr (state_letters, text[2]) : NULL;
  if (letter == NULL || *letter == '\0'
      || letter - state_letters <= JOB_STATE_RUNNING
      || g_hash_table_contains (cell->jobs, id))
    return false;
  /* A task that holds capacity of a worker may still run there.  */
  for (const char *line = memchr (text, '\n', length); line != NULL;
       line = memchr (line + 1, '\n', length - (size_t)(line + 1 - text)))
    if (line[1] == 't' && g_strstr_len (line + 1, 16, " a ") != NULL)
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
  return true;
}
