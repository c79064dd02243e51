#include "gang.h"

#include <string.h>

/* Run times are estimates, so a job that still does not fit some time after
   its ready time loses the reservation to the next job: after this long, plus
   a quarter of the wait that was expected when the job got the reservation. */
#define DEADLINE_SLACK_MS 60000

void
gang_init (gang_t *gang)
{
  memset (gang, 0, sizeof *gang);
  gang->reserved_tasks = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  gang->free_when_ready = g_array_new (FALSE, TRUE, sizeof (resource_t));
}

void
gang_clear (gang_t *gang)
{
  g_free (gang->job);
  g_array_unref (gang->reserved_tasks);
  g_array_unref (gang->free_when_ready);
}

void
gang_cancel (gang_t *gang, fleet_t *fleet)
{
  g_clear_pointer (&gang->job, g_free);
  for (uint32_t i = 0; i < fleet->workers->len; i++)
    fleet_worker (fleet, i)->reserved = false;
}

static int
compare_ends (gconstpointer a, gconstpointer b)
{
  const gang_release_t *first = a;
  const gang_release_t *second = b;
  return (first->end_ms > second->end_ms) - (first->end_ms < second->end_ms);
}

/* Returns how many tasks of SIZE fit in FREE.  */
static uint32_t
max_tasks_that_fit (resource_t size, resource_t free)
{
  if (!resource_fits (size, free))
    return 0;
  int64_t fit = INT32_MAX;
  if (size.cpu_millis > 0)
    fit = MIN (fit, free.cpu_millis / size.cpu_millis);
  if (size.memory_mib > 0)
    fit = MIN (fit, free.memory_mib / size.memory_mib);
  if (size.accelerators > 0)
    fit = MIN (fit, free.accelerators / size.accelerators);
  return (uint32_t)fit;
}

static resource_t *
free_when_ready_of (const gang_t *gang, uint32_t worker)
{
  return &g_array_index (gang->free_when_ready, resource_t, worker);
}

static uint32_t *
reserved_tasks_of (const gang_t *gang, uint32_t worker)
{
  return &g_array_index (gang->reserved_tasks, uint32_t, worker);
}

/* Applies the releases in the order of their ends until all tasks of the job
   fit.  Returns when, INT64_MAX if never.  Sets free_when_ready, and
   reserved_tasks to how many tasks fit on each worker; keep_fewest_workers
   then reduces it to what is reserved.  */
static int64_t
find_ready_time (gang_t *gang, const fleet_t *fleet, const GArray *releases,
                 int64_t now_ms)
{
  uint64_t fit = 0;
  for (uint32_t i = 0; i < fleet->workers->len; i++)
    {
      *free_when_ready_of (gang, i) = fleet_free_capacity (fleet, i);
      *reserved_tasks_of (gang, i)
          = fleet_worker (fleet, i)->usable ? max_tasks_that_fit (
                gang->size, *free_when_ready_of (gang, i))
                                            : 0;
      fit += *reserved_tasks_of (gang, i);
    }
  if (fit >= gang->task_count)
    return now_ms;
  for (guint i = 0; i < releases->len; i++)
    {
      const gang_release_t *release
          = &g_array_index (releases, gang_release_t, i);
      if (release->end_ms == INT64_MAX)
        break;
      if (!fleet_worker (fleet, release->worker)->usable)
        continue;
      resource_t *free = free_when_ready_of (gang, release->worker);
      uint32_t *count = reserved_tasks_of (gang, release->worker);
      *free = resource_add (*free, release->size);
      fit -= *count;
      *count = max_tasks_that_fit (gang->size, *free);
      fit += *count;
      if (fit >= gang->task_count)
        return MAX (release->end_ms, now_ms);
    }
  return INT64_MAX;
}

/* Reserves only as many workers as the job needs, those that hold most of its
   tasks first.  */
static void
keep_fewest_workers (gang_t *gang, fleet_t *fleet)
{
  uint32_t left = gang->task_count;
  uint32_t max_on_worker = 0;
  for (uint32_t i = 0; i < fleet->workers->len; i++)
    max_on_worker = MAX (max_on_worker,
                         MIN (*reserved_tasks_of (gang, i), gang->task_count));
  for (uint32_t level = max_on_worker; level > 0; level--)
    for (uint32_t i = 0; i < fleet->workers->len; i++)
      {
        uint32_t *count = reserved_tasks_of (gang, i);
        if (MIN (*count, max_on_worker) != level
            || fleet_worker (fleet, i)->reserved)
          continue;
        *count = MIN (*count, left);
        left -= *count;
        fleet_worker (fleet, i)->reserved = *count > 0;
      }
}

bool
gang_reserve (gang_t *gang, fleet_t *fleet, const char *job, resource_t size,
              uint32_t task_count, GArray *releases, int64_t now_ms)
{
  bool same = gang->job != NULL && strcmp (gang->job, job) == 0;
  char *name = g_strdup (job);
  gang_cancel (gang, fleet);
  gang->size = size;
  gang->task_count = task_count;
  g_array_set_size (gang->reserved_tasks, fleet->workers->len);
  g_array_set_size (gang->free_when_ready, fleet->workers->len);
  g_array_sort (releases, compare_ends);
  gang->ready_ms = find_ready_time (gang, fleet, releases, now_ms);
  if (gang->ready_ms == INT64_MAX)
    {
      g_free (name);
      return false;
    }
  gang->job = name;
  gang->computed_ms = now_ms;
  if (!same)
    gang->deadline_ms
        = gang->ready_ms + DEADLINE_SLACK_MS + (gang->ready_ms - now_ms) / 4;
  keep_fewest_workers (gang, fleet);
  return true;
}

bool
gang_may_use (const gang_t *gang, uint32_t worker, resource_t size,
              int64_t end_ms)
{
  if (gang->job == NULL || worker >= gang->reserved_tasks->len)
    return true;
  if (end_ms <= gang->ready_ms)
    return true;
  int64_t count = *reserved_tasks_of (gang, worker);
  resource_t kept
      = { gang->size.cpu_millis * count, gang->size.memory_mib * count,
          gang->size.accelerators * count };
  return resource_fits (resource_add (size, kept),
                        *free_when_ready_of (gang, worker));
}

void
gang_deduct (gang_t *gang, uint32_t worker, resource_t size, int64_t end_ms)
{
  if (gang->job == NULL || worker >= gang->free_when_ready->len
      || end_ms <= gang->ready_ms)
    return;
  resource_t *free = free_when_ready_of (gang, worker);
  *free = resource_sub (*free, size);
}
