#include "cell_internal.h"

#include <string.h>

/* NAME
     cell_segment - records that are split over several rows of the store

   A record that outgrows a row is split for the rest of its job's life.  The
   tasks of a job are numbered through, over its occurrences and their steps; a
   segment is the row of SEGMENT_TASKS tasks that follow one another.  Its
   lines are those of cell_record.c.  The row under the job's id, the head,
   then has a first line only.

   The rows are written in several saves, and the owner may be lost after each
   of them.  So all that is stored at any time tells of each task that has run
   that it has run:

   - A segment that is stored goes before what the head says of its tasks.  So
     the head of a record that is being split is replaced once all segments are
     written.
   - A segment whose tasks belong to a finished group says so until the segment
     of the group's first task does.
   - Once the record is split, the head, which tells which occurrences are
     finished, is written before segments that no longer mention them.  Until
     then no finished occurrence is dropped.  */

/* With the longest ids, addresses and checkpoints a segment has 17 KB.  */
#define SEGMENT_TASKS 32u

static uint64_t
task_number (const cell_group_t *group, uint32_t index)
{
  return (uint64_t)group->occurrence * group->job->tasks_per_occurrence
         + group->first_task + index;
}

cell_segment_t *
cell_get_segment (cell_job_t *job, uint64_t number)
{
  cell_segment_t *segment = g_hash_table_lookup (job->segments, &number);
  if (segment == NULL)
    {
      segment = g_new0 (cell_segment_t, 1);
      segment->number = number;
      g_hash_table_insert (job->segments, &segment->number, segment);
    }
  return segment;
}

void
cell_mark_segment (cell_job_t *job, cell_segment_t *segment)
{
  if (segment->dirty)
    return;
  segment->dirty = true;
  g_ptr_array_add (job->dirty_segments, segment);
}

void
cell_mark_group_segments (cell_group_t *group)
{
  cell_job_t *job = group->job;
  if (job->segments == NULL)
    return;
  uint64_t last = task_number (group, group->spec->count - 1) / SEGMENT_TASKS;
  for (uint64_t number = task_number (group, 0) / SEGMENT_TASKS;
       number <= last; number++)
    cell_mark_segment (job, cell_get_segment (job, number));
}

void
cell_mark_task_segment (const cell_task_t *task)
{
  cell_job_t *job = task->group->job;
  if (job->segments != NULL)
    cell_mark_segment (
        job, cell_get_segment (job, task_number (task->group, task->index)
                                        / SEGMENT_TASKS));
}

void
cell_mark_all_segments (cell_job_t *job)
{
  GHashTableIter iterator;
  gpointer value;
  for (guint i = 0; i < job->groups->len; i++)
    cell_mark_group_segments (job->groups->pdata[i]);
  g_hash_table_iter_init (&iterator, job->segments);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    cell_mark_segment (job, value);
}

void
cell_begin_segments (cell_job_t *job)
{
  if (job->segments != NULL)
    return;
  /* The key is the number in the segment itself.  */
  job->segments
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  job->dirty_segments = g_ptr_array_new ();
}

void
cell_each_in_segment (const cell_job_t *job, const cell_segment_t *segment,
                      void (*each) (void *context, cell_group_t *group,
                                    uint32_t from, uint32_t to),
                      void *context)
{
  uint64_t first = segment->number * SEGMENT_TASKS;
  uint64_t end = first + SEGMENT_TASKS;
  uint64_t tasks = job->tasks_per_occurrence;
  if (job->work == NULL || segment->number > UINT64_MAX / SEGMENT_TASKS - 1)
    return;
  for (uint64_t occurrence = first / tasks;
       occurrence < job->next_occurrence && occurrence * tasks < end;
       occurrence++)
    for (uint32_t step = 0; step < job->work->step_count; step++)
      {
        cell_group_t *group = cell_job_group (job, (uint32_t)occurrence, step);
        uint64_t begin = group != NULL ? task_number (group, 0) : 0;
        if (group == NULL || begin >= end
            || begin + group->spec->count <= first)
          continue;
        each (context, group, (uint32_t)(first > begin ? first - begin : 0),
              (uint32_t)MIN (end - begin, group->spec->count));
      }
}

bool
cell_segment_begins (const cell_segment_t *segment, const cell_group_t *group)
{
  return task_number (group, 0) / SEGMENT_TASKS == segment->number;
}

char *
cell_segment_key (const cell_job_t *job, const cell_segment_t *segment)
{
  return g_strdup_printf ("%s/%" G_GUINT64_FORMAT, job->id, segment->number);
}

bool
cell_parse_segment_key (const char *key, uint64_t *number)
{
  char *end = NULL;
  if (strlen (key) <= WORK_ID_LENGTH + 1 || key[WORK_ID_LENGTH] != '/'
      || !g_ascii_isdigit (key[WORK_ID_LENGTH + 1]))
    return false;
  *number = g_ascii_strtoull (key + WORK_ID_LENGTH + 1, &end, 10);
  return *end == '\0';
}
