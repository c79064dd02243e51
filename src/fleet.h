#ifndef MAGNOLIADOCK_FLEET_H
#define MAGNOLIADOCK_FLEET_H

#include "resource.h"

#include <glib.h>

/* NAME
     fleet - workers of this zone and their free capacity

   The workers lie in one dense array, since each placement reads all of it:
   1,900 workers take 80 KB.  */

/* One worker, with the data that placement needs.  */
typedef struct
{
  int32_t free_cpu_millis;
  int32_t free_memory_mib;
  int32_t free_accelerators;
  int32_t cpu_millis;
  int32_t memory_mib;
  int32_t accelerators;
  /* One divided by the capacity, 0 if there is none: scores are computed from
     shares, and a multiplication is cheaper than a division.  */
  float inverse_cpu, inverse_memory, inverse_accelerators;
  uint16_t rack;       /* index in fleet_t.racks */
  bool usable;         /* live, not held back, its row known */
  bool reserved;       /* for an all-at-once job */
  uint32_t task_count; /* assigned to it */
} fleet_worker_t;

typedef struct
{
  char *name;
  uint32_t worker_count;
  uint32_t task_count; /* assigned to them */
} fleet_rack_t;

typedef struct
{
  GArray *workers;        /* fleet_worker_t */
  GArray *racks;          /* fleet_rack_t */
  GHashTable *rack_index; /* name -> index in racks */
  resource_t total;       /* of the usable workers */
  resource_t used;        /* of all assignments */
} fleet_t;

void fleet_init (fleet_t *fleet);
void fleet_clear (fleet_t *fleet);

/* Adds a worker without capacity and returns its index, which never
   changes.  */
uint32_t fleet_add_worker (fleet_t *fleet);
/* Sets the worker's capacity, its rack (NULL: "") and whether it may be given
   tasks; what is allocated on it stays.  */
void fleet_set_worker (fleet_t *fleet, uint32_t index, resource_t capacity,
                       const char *rack, bool usable);
/* Allocates SIZE for one task, or releases it.  The free capacity is negative
   after a worker's capacity fell below what is allocated; nothing fits there
   then.  */
void fleet_allocate (fleet_t *fleet, uint32_t index, resource_t size);
void fleet_release (fleet_t *fleet, uint32_t index, resource_t size);

static inline fleet_worker_t *
fleet_worker (const fleet_t *fleet, uint32_t index)
{
  return &g_array_index (fleet->workers, fleet_worker_t, index);
}

resource_t fleet_free_capacity (const fleet_t *fleet, uint32_t index);

/* Returns how many tasks of SIZE would fit if all workers were empty, usable
   or not, but at most LIMIT.  *CLOSEST receives the capacity of the worker
   that comes closest to holding SIZE; it is left unchanged if no worker has
   processors.  */
uint64_t fleet_max_tasks_if_empty (const fleet_t *fleet, resource_t size,
                                   uint64_t limit, resource_t *closest);

/* Numbers of workers on which a task does and does not fit, and why not; a
   worker counts in every dimension that is short.  */
typedef struct
{
  uint32_t workers; /* with capacity */
  uint32_t fitting;
  uint32_t unusable;
  uint32_t short_cpu;
  uint32_t short_memory;
  uint32_t short_accelerators;
  uint32_t fitting_reserved; /* fits, but reserved for an all-at-once job */
} fleet_fit_counts_t;

fleet_fit_counts_t fleet_count_fitting (const fleet_t *fleet, resource_t size);

#endif
