#ifndef MAGNOLIADOCK_FLEET_H
#define MAGNOLIADOCK_FLEET_H

#include "resource.h"

#include <glib.h>

/* NAME
     fleet - workers of the own zone and what is free on them

   The free capacities lie in one dense array, which a placement reads from
   end to end: 1,900 workers take 80 KB.  */

/* One worker as placement sees it.  */
typedef struct
{
  int32_t free_cpu_millis;
  int32_t free_memory_mib;
  int32_t free_accelerators;
  int32_t cpu_millis;
  int32_t memory_mib;
  int32_t accelerators;
  /* One divided by the capacity, 0 if there is none: scores are shares, and a
     multiplication is cheaper than a division.  */
  float per_cpu, per_memory, per_accelerator;
  uint16_t rack;
  bool usable;    /* live, not held back, row known */
  bool reserved;  /* an all-at-once job has a reservation on it */
  uint32_t tasks; /* assigned here */
} fleet_slot_t;

typedef struct
{
  char *name;
  uint32_t workers;
  uint32_t tasks; /* assigned in this rack */
} fleet_rack_t;

typedef struct
{
  GArray *slots; /* fleet_slot_t */
  GArray *racks; /* fleet_rack_t */
  GHashTable *rack_index;
  resource_t total; /* of the usable workers */
  resource_t used;  /* of all assignments */
} fleet_t;

void fleet_init (fleet_t *fleet);
void fleet_clear (fleet_t *fleet);

/* Adds a worker without capacity and returns its index, which never
   changes.  */
uint32_t fleet_add (fleet_t *fleet);
/* Sets the worker's capacity, rack and whether it may be given tasks; what is
   used on it stays.  */
void fleet_set (fleet_t *fleet, uint32_t index, resource_t capacity,
                const char *rack, bool usable);
/* Takes SIZE for one task, or gives it back.  The free capacity may turn
   negative when a worker shrinks; nothing fits there then.  */
void fleet_take (fleet_t *fleet, uint32_t index, resource_t size);
void fleet_give (fleet_t *fleet, uint32_t index, resource_t size);

static inline fleet_slot_t *
fleet_slot (const fleet_t *fleet, uint32_t index)
{
  return &g_array_index (fleet->slots, fleet_slot_t, index);
}

resource_t fleet_free (const fleet_t *fleet, uint32_t index);

/* How many tasks of SIZE fit in the whole fleet if it were empty, at most
   LIMIT.  *LARGEST receives the largest worker by the dimension that SIZE
   needs most of.  */
uint64_t fleet_fit_empty (const fleet_t *fleet, resource_t size,
                          uint64_t limit, resource_t *largest);

/* Number of workers that SIZE cannot be placed on now, and why; one worker
   counts in every dimension that is short.  */
typedef struct
{
  uint32_t workers;
  uint32_t fitting;
  uint32_t unusable;
  uint32_t short_cpu;
  uint32_t short_memory;
  uint32_t short_accelerators;
  uint32_t reserved; /* fits, but kept for an all-at-once job */
} fleet_why_t;

fleet_why_t fleet_why (const fleet_t *fleet, resource_t size);

#endif
