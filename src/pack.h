#ifndef MAGNOLIADOCK_PACK_H
#define MAGNOLIADOCK_PACK_H

#include "fleet.h"

/* NAME
     pack - bin-packing rules that choose the worker of a task

   A rule scores each worker on which the task fits; the highest score wins,
   and the lowest index among equal scores.  */

typedef struct
{
  const char *name;
  const char *summary;
  bool first_fit; /* takes the first worker that fits; SCORE is NULL */
  float (*score) (const fleet_worker_t *worker, resource_t size);
} pack_rule_t;

/* Rules in the order of docs/design.md, terminated by a NULL name.  The
   first one is the baseline of bench_pack.c.  */
extern const pack_rule_t pack_rules[];

/* Returns the rule called NAME, or NULL.  */
const pack_rule_t *pack_rule_find (const char *name);

/* Conditions on a worker besides its free capacity.  */
typedef struct
{
  const uint32_t *rack_tasks; /* tasks of the same service by rack, or NULL:
                                 no limit */
  uint32_t rack_limit;        /* maximum of them in one rack */
  /* Returns whether the task may use a worker on which an all-at-once job has
     a reservation; NULL: never.  */
  bool (*may_use_reserved) (void *context, uint32_t worker);
  void *context;
} pack_limits_t;

/* Returns the index of the chosen worker, -1 if the task fits nowhere.  LIMITS
   may be NULL.  */
int64_t pack_choose (const pack_rule_t *rule, const fleet_t *fleet,
                     resource_t size, const pack_limits_t *limits);

/* Chooses workers for up to COUNT tasks of SIZE, the same ones in the same
   order as COUNT calls of pack_choose, in O(workers + COUNT log workers). Rack
   limits are not supported.  Allocates the capacity in FLEET and appends the
   indices (uint32_t) to CHOSEN, which must be empty.  Returns how many were
   found.  */
uint32_t pack_choose_many (const pack_rule_t *rule, fleet_t *fleet,
                           resource_t size, const pack_limits_t *limits,
                           uint32_t count, GArray *chosen);

#endif
