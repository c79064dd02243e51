#include "fleet.h"

#include <string.h>

static void
rack_clear (gpointer data)
{
  fleet_rack_t *rack = data;
  g_free (rack->name);
}

void
fleet_init (fleet_t *fleet)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->workers = g_array_new (FALSE, TRUE, sizeof (fleet_worker_t));
  fleet->racks = g_array_new (FALSE, TRUE, sizeof (fleet_rack_t));
  g_array_set_clear_func (fleet->racks, rack_clear);
  fleet->rack_index
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
fleet_clear (fleet_t *fleet)
{
  g_array_unref (fleet->workers);
  g_array_unref (fleet->racks);
  g_hash_table_unref (fleet->rack_index);
}

/* Returns the index of the rack called NAME, adding it if needed.  */
static uint16_t
rack_by_name (fleet_t *fleet, const char *name)
{
  gpointer index;
  if (g_hash_table_lookup_extended (fleet->rack_index, name, NULL, &index))
    return (uint16_t)GPOINTER_TO_UINT (index);
  fleet_rack_t rack = { .name = g_strdup (name) };
  g_array_append_val (fleet->racks, rack);
  g_hash_table_insert (fleet->rack_index, g_strdup (name),
                       GUINT_TO_POINTER (fleet->racks->len - 1));
  return (uint16_t)(fleet->racks->len - 1);
}

uint32_t
fleet_add_worker (fleet_t *fleet)
{
  fleet_worker_t worker = { .rack = rack_by_name (fleet, "") };
  g_array_append_val (fleet->workers, worker);
  g_array_index (fleet->racks, fleet_rack_t, worker.rack).worker_count++;
  return fleet->workers->len - 1;
}

static resource_t
worker_capacity (const fleet_worker_t *worker)
{
  resource_t capacity
      = { worker->cpu_millis, worker->memory_mib, worker->accelerators };
  return capacity;
}

static float
reciprocal (int32_t capacity)
{
  return capacity > 0 ? 1.0f / (float)capacity : 0.0f;
}

void
fleet_set_worker (fleet_t *fleet, uint32_t index, resource_t capacity,
                  const char *rack, bool usable)
{
  fleet_worker_t *worker = fleet_worker (fleet, index);
  if (worker->usable)
    fleet->total = resource_sub (fleet->total, worker_capacity (worker));
  worker->free_cpu_millis += (int32_t)capacity.cpu_millis - worker->cpu_millis;
  worker->free_memory_mib += (int32_t)capacity.memory_mib - worker->memory_mib;
  worker->free_accelerators
      += (int32_t)capacity.accelerators - worker->accelerators;
  worker->cpu_millis = (int32_t)capacity.cpu_millis;
  worker->memory_mib = (int32_t)capacity.memory_mib;
  worker->accelerators = (int32_t)capacity.accelerators;
  worker->inverse_cpu = reciprocal (worker->cpu_millis);
  worker->inverse_memory = reciprocal (worker->memory_mib);
  worker->inverse_accelerators = reciprocal (worker->accelerators);
  worker->usable = usable;
  if (usable)
    fleet->total = resource_add (fleet->total, capacity);

  fleet_rack_t *old
      = &g_array_index (fleet->racks, fleet_rack_t, worker->rack);
  old->worker_count--;
  old->task_count -= worker->task_count;
  worker->rack = rack_by_name (fleet, rack != NULL ? rack : "");
  fleet_rack_t *new
      = &g_array_index (fleet->racks, fleet_rack_t, worker->rack);
  new->worker_count++;
  new->task_count += worker->task_count;
}

void
fleet_allocate (fleet_t *fleet, uint32_t index, resource_t size)
{
  fleet_worker_t *worker = fleet_worker (fleet, index);
  worker->free_cpu_millis -= (int32_t)size.cpu_millis;
  worker->free_memory_mib -= (int32_t)size.memory_mib;
  worker->free_accelerators -= (int32_t)size.accelerators;
  worker->task_count++;
  g_array_index (fleet->racks, fleet_rack_t, worker->rack).task_count++;
  fleet->used = resource_add (fleet->used, size);
}

void
fleet_release (fleet_t *fleet, uint32_t index, resource_t size)
{
  fleet_worker_t *worker = fleet_worker (fleet, index);
  worker->free_cpu_millis += (int32_t)size.cpu_millis;
  worker->free_memory_mib += (int32_t)size.memory_mib;
  worker->free_accelerators += (int32_t)size.accelerators;
  worker->task_count--;
  g_array_index (fleet->racks, fleet_rack_t, worker->rack).task_count--;
  fleet->used = resource_sub (fleet->used, size);
}

resource_t
fleet_free_capacity (const fleet_t *fleet, uint32_t index)
{
  const fleet_worker_t *worker = fleet_worker (fleet, index);
  resource_t free = { worker->free_cpu_millis, worker->free_memory_mib,
                      worker->free_accelerators };
  return free;
}

/* Returns how many tasks of SIZE fit in FREE.  */
static uint64_t
max_tasks_that_fit (resource_t size, resource_t free)
{
  if (!resource_fits (size, free))
    return 0;
  uint64_t fit = UINT64_MAX;
  if (size.cpu_millis > 0)
    fit = MIN (fit, (uint64_t)(free.cpu_millis / size.cpu_millis));
  if (size.memory_mib > 0)
    fit = MIN (fit, (uint64_t)(free.memory_mib / size.memory_mib));
  if (size.accelerators > 0)
    fit = MIN (fit, (uint64_t)(free.accelerators / size.accelerators));
  return fit;
}

uint64_t
fleet_max_tasks_if_empty (const fleet_t *fleet, resource_t size,
                          uint64_t limit, resource_t *closest)
{
  uint64_t fit = 0;
  double best = -1.0;
  for (uint32_t i = 0; i < fleet->workers->len; i++)
    {
      const fleet_worker_t *worker = fleet_worker (fleet, i);
      resource_t capacity = worker_capacity (worker);
      if (capacity.cpu_millis <= 0)
        continue;
      if (fit < limit)
        fit += MIN (limit, max_tasks_that_fit (size, capacity));
      /* The inverse of the dominant share.  A worker with too few accelerators
         scores far below any that has enough.  */
      double closeness = 1.0 / resource_dominant_share (size, capacity);
      if (size.accelerators > capacity.accelerators)
        closeness
            = (double)capacity.accelerators / (double)size.accelerators * 1e-3;
      if (closeness > best)
        {
          best = closeness;
          *closest = capacity;
        }
    }
  return MIN (fit, limit);
}

fleet_fit_counts_t
fleet_count_fitting (const fleet_t *fleet, resource_t size)
{
  fleet_fit_counts_t counts = { 0 };
  for (uint32_t i = 0; i < fleet->workers->len; i++)
    {
      const fleet_worker_t *worker = fleet_worker (fleet, i);
      if (worker->cpu_millis <= 0)
        continue;
      counts.workers++;
      bool lacks_cpu = worker->free_cpu_millis < size.cpu_millis;
      bool lacks_memory = worker->free_memory_mib < size.memory_mib;
      bool lacks_accelerators = worker->free_accelerators < size.accelerators;
      counts.unusable += !worker->usable;
      counts.short_cpu += lacks_cpu;
      counts.short_memory += lacks_memory;
      counts.short_accelerators += lacks_accelerators;
      if (lacks_cpu || lacks_memory || lacks_accelerators || !worker->usable)
        continue;
      if (worker->reserved)
        counts.fitting_reserved++;
      else
        counts.fitting++;
    }
  return counts;
}
