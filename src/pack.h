#ifndef MAGNOLIADOCK_PACK_H
#define MAGNOLIADOCK_PACK_H

#include "fleet.h"

/* NAME
     pack - rules that choose the worker of a task

   A rule scores a worker on which the task fits; the highest score wins, the
   lower index among equal ones.  */

typedef struct
{
  const char *name;
  const char *summary;
  bool first; /* the first worker that fits wins, no score needed */
  float (*score) (const fleet_slot_t *slot, resource_t size);
} pack_rule_t;

/* Rules in the order of the design page; ends with a NULL name.  */
extern const pack_rule_t pack_rules[];

/* Returns the rule called NAME, or NULL.  */
const pack_rule_t *pack_rule_find (const char *name);

/* Conditions beside the size.  */
typedef struct
{
  const uint32_t *rack_tasks; /* tasks of the same service in each rack, or
                                 NULL */
  uint32_t rack_limit;        /* most of them that a rack may hold */
  /* Returns whether the task may use a worker that carries a reservation;
     NULL: never.  */
  bool (*may_use_reserved) (void *context, uint32_t worker);
  void *context;
} pack_limits_t;

/* Returns the index of the chosen worker, -1 if the task fits nowhere.  LIMITS
   may be NULL.  */
int64_t pack_choose (const pack_rule_t *rule, const fleet_t *fleet,
                     resource_t size, const pack_limits_t *limits);

/* Chooses workers for COUNT tasks of SIZE, in the same order as COUNT calls of
   pack_choose, in O(workers + COUNT log workers).  Limits by rack are not
   supported.  Takes the room from FLEET and appends the indices (uint32_t) to
   CHOSEN, which is empty before.  Returns how many were found.  */
uint32_t pack_choose_many (const pack_rule_t *rule, fleet_t *fleet,
                           resource_t size, const pack_limits_t *limits,
                           uint32_t count, GArray *chosen);

#endif
