#include "gang.h"

#include <string.h>

/* Estimates are off; a reservation that has not come true after this time
   leaves the turn to the next job.  */
#define DEADLINE_SLACK_MS 60000

void
gang_init (gang_t *gang)
{
  memset (gang, 0, sizeof *gang);
  gang->counts = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  gang->room = g_array_new (FALSE, TRUE, sizeof (resource_t));
}

void
gang_clear (gang_t *gang)
{
  g_free (gang->job);
  g_array_unref (gang->counts);
  g_array_unref (gang->room);
}

void
gang_drop (gang_t *gang, fleet_t *fleet)
{
  g_clear_pointer (&gang->job, g_free);
  for (uint32_t i = 0; i < fleet->slots->len; i++)
    fleet_slot (fleet, i)->reserved = false;
}

static int
by_end (gconstpointer a, gconstpointer b)
{
  const gang_release_t *first = a;
  const gang_release_t *second = b;
  return (first->end_ms > second->end_ms) - (first->end_ms < second->end_ms);
}

static uint32_t
tasks_in (resource_t size, resource_t room)
{
  if (!resource_fits (size, room))
    return 0;
  int64_t fit = INT32_MAX;
  if (size.cpu_millis > 0)
    fit = MIN (fit, room.cpu_millis / size.cpu_millis);
  if (size.memory_mib > 0)
    fit = MIN (fit, room.memory_mib / size.memory_mib);
  if (size.accelerators > 0)
    fit = MIN (fit, room.accelerators / size.accelerators);
  return (uint32_t)fit;
}

static resource_t *
room_of (const gang_t *gang, uint32_t worker)
{
  return &g_array_index (gang->room, resource_t, worker);
}

static uint32_t *
count_of (const gang_t *gang, uint32_t worker)
{
  return &g_array_index (gang->counts, uint32_t, worker);
}

/* Gives back releases in the order of their ends until TASKS tasks fit.
   Returns the instant, INT64_MAX if there is none.  */
static int64_t
find_instant (gang_t *gang, const fleet_t *fleet, const GArray *releases,
              int64_t now_ms)
{
  uint64_t fit = 0;
  for (uint32_t i = 0; i < fleet->slots->len; i++)
    {
      *room_of (gang, i) = fleet_free (fleet, i);
      *count_of (gang, i) = fleet_slot (fleet, i)->usable
                                ? tasks_in (gang->size, *room_of (gang, i))
                                : 0;
      fit += *count_of (gang, i);
    }
  if (fit >= gang->tasks)
    return now_ms;
  for (guint i = 0; i < releases->len; i++)
    {
      const gang_release_t *release
          = &g_array_index (releases, gang_release_t, i);
      if (release->end_ms == INT64_MAX)
        break;
      if (!fleet_slot (fleet, release->worker)->usable)
        continue;
      resource_t *room = room_of (gang, release->worker);
      uint32_t *count = count_of (gang, release->worker);
      *room = resource_add (*room, release->size);
      fit -= *count;
      *count = tasks_in (gang->size, *room);
      fit += *count;
      if (fit >= gang->tasks)
        return MAX (release->end_ms, now_ms);
    }
  return INT64_MAX;
}

/* Keeps only as many workers as the job needs, those that hold most of its
   tasks first, so that few workers are bound.  */
static void
trim (gang_t *gang, fleet_t *fleet)
{
  uint32_t left = gang->tasks;
  uint32_t most = 0;
  for (uint32_t i = 0; i < fleet->slots->len; i++)
    most = MAX (most, MIN (*count_of (gang, i), gang->tasks));
  for (uint32_t level = most; level > 0; level--)
    for (uint32_t i = 0; i < fleet->slots->len; i++)
      {
        uint32_t *count = count_of (gang, i);
        if (MIN (*count, most) != level || fleet_slot (fleet, i)->reserved)
          continue;
        *count = MIN (*count, left);
        left -= *count;
        fleet_slot (fleet, i)->reserved = *count > 0;
      }
}

bool
gang_reserve (gang_t *gang, fleet_t *fleet, const char *job, resource_t size,
              uint32_t tasks, GArray *releases, int64_t now_ms)
{
  bool same = gang->job != NULL && strcmp (gang->job, job) == 0;
  char *name = g_strdup (job);
  gang_drop (gang, fleet);
  gang->size = size;
  gang->tasks = tasks;
  g_array_set_size (gang->counts, fleet->slots->len);
  g_array_set_size (gang->room, fleet->slots->len);
  g_array_sort (releases, by_end);
  gang->ready_ms = find_instant (gang, fleet, releases, now_ms);
  if (gang->ready_ms == INT64_MAX)
    {
      g_free (name);
      return false;
    }
  gang->job = name;
  gang->made_ms = now_ms;
  if (!same)
    gang->deadline_ms
        = gang->ready_ms + DEADLINE_SLACK_MS + (gang->ready_ms - now_ms) / 4;
  trim (gang, fleet);
  return true;
}

bool
gang_may_use (const gang_t *gang, uint32_t worker, resource_t size,
              int64_t end_ms)
{
  if (gang->job == NULL || worker >= gang->counts->len)
    return true;
  if (end_ms <= gang->ready_ms)
    return true;
  int64_t count = *count_of (gang, worker);
  resource_t kept
      = { gang->size.cpu_millis * count, gang->size.memory_mib * count,
          gang->size.accelerators * count };
  return resource_fits (resource_add (size, kept), *room_of (gang, worker));
}

void
gang_used (gang_t *gang, uint32_t worker, resource_t size, int64_t end_ms)
{
  if (gang->job == NULL || worker >= gang->room->len
      || end_ms <= gang->ready_ms)
    return;
  resource_t *room = room_of (gang, worker);
  *room = resource_sub (*room, size);
}
