#include "cell_internal.h"

#include <string.h>

/* NAME
     cell_sizes - outcomes of jobs by queue and size, and where gangs wait

   Lasting jobs and recurring ones have no size.  A job counts as missed as
   soon as it is not expected to end in time any more, so that starvation shows
   while it lasts.  */

#define CHECK_PERIOD_MS 5000
/* A queue without jobs is shown for so long, until its counts are 0.  */
#define SHOWN_MS (2 * SIZE_WINDOW_MS)

static const char *const wait_names[WAIT_REASONS]
    = { "place", "answers", "room", "pause", "misfit", "value" };

struct queue_sizes
{
  size_stats_t *stats;
  /* In the current pass: whether it misses more objectives than ...  */
  bool fares_worse[SIZE_CLASSES]; /* ... the queue, by size */
  bool queue_fares_worse;         /* ... the cell */
  int64_t active_ms;              /* when a job last came, ended or waited */
  int64_t longest_wait_ms[SIZE_CLASSES + 1]; /* at the last look; the last one
                                                is of all sizes */
};

static void
queue_sizes_free (void *data)
{
  queue_sizes_t *sizes = data;
  size_stats_free (sizes->stats);
  g_free (sizes);
}

GHashTable *
cell_sizes_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                queue_sizes_free);
}

queue_sizes_t *
cell_sizes_of (cell_t *cell, const char *queue)
{
  queue_sizes_t *sizes = g_hash_table_lookup (cell->sizes, queue);
  if (sizes == NULL)
    {
      sizes = g_new0 (queue_sizes_t, 1);
      sizes->stats = size_stats_new ();
      g_hash_table_insert (cell->sizes, g_strdup (queue), sizes);
    }
  return sizes;
}

/* What became of the jobs of all queues lately.  */
static size_counts_t
all_counts (const cell_t *cell)
{
  GHashTableIter iterator;
  gpointer value;
  size_counts_t all = { 0 };
  g_hash_table_iter_init (&iterator, cell->sizes);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    all = size_counts_add (all,
                           size_stats_recent (((queue_sizes_t *)value)->stats,
                                              SIZE_CLASSES, cell->now_ms));
  return all;
}

void
cell_compare_sizes (cell_t *cell)
{
  GHashTableIter iterator;
  gpointer value;
  size_counts_t all = all_counts (cell);
  g_hash_table_iter_init (&iterator, cell->sizes);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      queue_sizes_t *sizes = value;
      size_counts_t of_queue
          = size_stats_recent (sizes->stats, SIZE_CLASSES, cell->now_ms);
      sizes->queue_fares_worse = size_fares_worse (of_queue, all);
      for (int i = 0; i < SIZE_CLASSES; i++)
        sizes->fares_worse[i] = size_fares_worse (
            size_stats_recent (sizes->stats, (size_class_t)i, cell->now_ms),
            of_queue);
    }
}

bool
cell_queue_fares_worse (const cell_job_t *job)
{
  return job->sizes->queue_fares_worse;
}

bool
cell_size_fares_worse (const cell_job_t *job)
{
  return job->sizes->fares_worse[job->size];
}

static bool
has_size (const cell_job_t *job)
{
  return job->work->times == 0 && !work_job_has_lasting_step (job->work);
}

static double
core_seconds (const work_job_t *work)
{
  double sum = 0.0;
  for (uint32_t i = 0; i < work->step_count; i++)
    {
      const work_step_t *step = &work->steps[i];
      sum += resource_cores (step->need) * step->count
             * (double)step->estimate_ms / 1000.0;
    }
  return sum;
}

void
cell_size_job (cell_job_t *job)
{
  job->sizes = cell_sizes_of (job->cell, job->work->queue);
  job->sizes->active_ms = job->cell->now_ms;
  job->size = SIZE_OTHERS;
  if (has_size (job))
    job->size = size_stats_add (job->sizes->stats, core_seconds (job->work));
}

void
cell_judge_job (cell_job_t *job, size_outcome_t outcome)
{
  if (job->judged || !has_size (job))
    return;
  job->judged = true;
  job->sizes->active_ms = job->cell->now_ms;
  size_stats_judge (job->sizes->stats, job->size, outcome, job->cell->now_ms);
}

char *
cell_wait_times (const cell_group_t *group)
{
  GString *text = g_string_new (NULL);
  for (int i = 0; i < WAIT_REASONS; i++)
    g_string_append_printf (text, "%s%s:%lld", i > 0 ? "," : "", wait_names[i],
                            (long long)group->wait_ms[i]);
  return g_string_free (text, FALSE);
}

const char *
cell_wait_name (wait_reason_t reason)
{
  return wait_names[reason];
}

void
cell_note_wait (cell_group_t *group, wait_reason_t reason)
{
  int64_t now_ms = group->job->cell->now_ms;
  if (group->wait_seen_ms > 0)
    group->wait_ms[reason] += now_ms - group->wait_seen_ms;
  group->wait_seen_ms = now_ms;
}

void
cell_note_missed (cell_group_t *group)
{
  cell_job_t *job = group->job;
  if (job->judged || !has_size (job))
    return;
  cell_judge_job (job, SIZE_MISSED);
  char *waits = cell_wait_times (group);
  cell_log_group (
      group, "objective_missed",
      "queue=%s size=%s tasks=%u cpu_millis=%lld accelerators=%lld "
      "age_ms=%lld objective_ms=%lld waits=%s",
      job->work->queue, size_class_name (job->size), group->spec->count,
      (long long)group->spec->need.cpu_millis,
      (long long)group->spec->need.accelerators,
      (long long)(job->cell->now_ms - job->added_ms),
      (long long)group->objective_ms, waits);
  g_free (waits);
}

/* Finds out for each queue and size how long a job has waited of which no task
   runs.  */
static void
find_longest_waits (const cell_t *cell)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, cell->sizes);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    memset (((queue_sizes_t *)value)->longest_wait_ms, 0,
            sizeof ((queue_sizes_t *)value)->longest_wait_ms);
  for (guint i = 0; i < cell->ready_groups->len; i++)
    {
      const cell_group_t *group = cell->ready_groups->pdata[i];
      const cell_job_t *job = group->job;
      queue_sizes_t *sizes = job->sizes;
      int64_t waited_ms = cell->now_ms - group->ready_ms;
      if (group->waiting < group->spec->count || !has_size (job))
        continue;
      sizes->active_ms = cell->now_ms;
      sizes->longest_wait_ms[job->size]
          = MAX (sizes->longest_wait_ms[job->size], waited_ms);
      sizes->longest_wait_ms[SIZE_CLASSES]
          = MAX (sizes->longest_wait_ms[SIZE_CLASSES], waited_ms);
    }
}

/* Calls EACH with the sizes of QUEUE.  */
static void
each_size_of (const cell_t *cell, const char *queue,
              const queue_sizes_t *sizes, size_counts_t all,
              void (*each) (void *context, const cell_size_t *size),
              void *context)
{
  size_counts_t of_queue
      = size_stats_recent (sizes->stats, SIZE_CLASSES, cell->now_ms);
  for (size_class_t size = 0; size <= SIZE_CLASSES; size++)
    {
      cell_size_t row
          = { .queue = queue,
              .size = size_class_name (size),
              .counts = size_stats_recent (sizes->stats, size, cell->now_ms),
              .longest_wait_ms = sizes->longest_wait_ms[size] };
      row.starves
          = size_starves (row.counts, size == SIZE_CLASSES ? all : of_queue);
      each (context, &row);
    }
}

void
cell_each_size (const cell_t *cell,
                void (*each) (void *context, const cell_size_t *size),
                void *context)
{
  GHashTableIter iterator;
  gpointer key;
  gpointer value;
  size_counts_t all = all_counts (cell);
  find_longest_waits (cell);
  g_hash_table_iter_init (&iterator, cell->sizes);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    {
      const queue_sizes_t *sizes = value;
      if (cell->now_ms - sizes->active_ms < SHOWN_MS)
        each_size_of (cell, key, sizes, all, each, context);
    }
}

static void
log_starving (void *context, const cell_size_t *size)
{
  if (size->starves)
    cell_log (context, "size_starves", size->queue,
              "size=%s in_time=%u late=%u missed=%u longest_wait_ms=%lld",
              size->size, size->counts.in_time, size->counts.late,
              size->counts.missed, (long long)size->longest_wait_ms);
}

void
cell_check_sizes (cell_t *cell)
{
  if (cell->now_ms < cell->next_sizes_ms)
    return;
  cell->next_sizes_ms = cell->now_ms + CHECK_PERIOD_MS;
  cell_each_size (cell, log_starving, cell);
}
