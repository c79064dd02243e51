#include "pack.h"

#include <string.h>

/* A worker with accelerators is taken by a task without need for them only
   when no other worker fits: the penalty exceeds every other score.  */
#define ACCELERATOR_PENALTY 16.0f
/* Opening an empty worker costs more than any difference in alignment, so
   that whole workers, and with them whole racks, stay free.  */
#define EMPTY_PENALTY 4.0f

static float
share (int64_t part, int32_t whole)
{
  return whole > 0 ? (float)part / (float)whole : 0.0f;
}

/* Best fit: the least that is left over, summed over the dimensions.  */
static float
score_best_fit (const fleet_slot_t *slot, resource_t size)
{
  return -share (slot->free_cpu_millis - size.cpu_millis, slot->cpu_millis)
         - share (slot->free_memory_mib - size.memory_mib, slot->memory_mib)
         - share (slot->free_accelerators - size.accelerators,
                  slot->accelerators);
}

/* Alignment (Grandl et al., Tetris, 2014): dot product of the need and what
   is free, both as shares of the worker.  */
static float
score_alignment (const fleet_slot_t *slot, resource_t size)
{
  return share (size.cpu_millis, slot->cpu_millis)
             * share (slot->free_cpu_millis, slot->cpu_millis)
         + share (size.memory_mib, slot->memory_mib)
               * share (slot->free_memory_mib, slot->memory_mib)
         + share (size.accelerators, slot->accelerators)
               * share (slot->free_accelerators, slot->accelerators);
}

/* Prefers the worker on which the task leaves processors and memory in
   balance, so that neither is stranded behind the other, and among those the
   fullest.  Accelerators are kept for tasks that need them, with enough
   processors and memory beside them.  */
static float
score_keep (const fleet_slot_t *slot, resource_t size)
{
  float cpu
      = share (slot->free_cpu_millis - size.cpu_millis, slot->cpu_millis);
  float memory
      = share (slot->free_memory_mib - size.memory_mib, slot->memory_mib);
  float imbalance = cpu > memory ? cpu - memory : memory - cpu;
  float score = -imbalance - 0.5f * (cpu + memory);
  if (slot->accelerators > 0)
    {
      float left = share (slot->free_accelerators - size.accelerators,
                          slot->accelerators);
      if (size.accelerators == 0)
        score -= ACCELERATOR_PENALTY;
      else
        score -= left;
    }
  if (slot->tasks == 0)
    score -= EMPTY_PENALTY;
  return score;
}

const pack_rule_t pack_rules[] = {
  { "first-fit", "the first worker with room", true, NULL },
  { "best-fit", "the worker with the least left over", false, score_best_fit },
  { "alignment", "the worker whose free capacity has the shape of the need",
    false, score_alignment },
  { "keep-accelerators",
    "balanced remainders; accelerators and empty workers are kept free", false,
    score_keep },
  { NULL, NULL, false, NULL },
};

const pack_rule_t *
pack_rule_find (const char *name)
{
  for (const pack_rule_t *rule = pack_rules; rule->name != NULL; rule++)
    if (strcmp (rule->name, name) == 0)
      return rule;
  return NULL;
}

static bool
allowed (const fleet_slot_t *slot, uint32_t index, const pack_limits_t *limits)
{
  if (limits == NULL)
    return !slot->reserved;
  if (limits->rack_tasks != NULL
      && limits->rack_tasks[slot->rack] >= limits->rack_limit)
    return false;
  return !slot->reserved
         || (limits->may_use_reserved != NULL
             && limits->may_use_reserved (limits->context, index));
}

int64_t
pack_choose (const pack_rule_t *rule, const fleet_t *fleet, resource_t size,
             const pack_limits_t *limits)
{
  const fleet_slot_t *slots = (const fleet_slot_t *)fleet->slots->data;
  uint32_t count = fleet->slots->len;
  int64_t best = -1;
  float best_score = 0.0f;
  for (uint32_t i = 0; i < count; i++)
    {
      const fleet_slot_t *slot = &slots[i];
      if (!slot->usable || slot->free_cpu_millis < size.cpu_millis
          || slot->free_memory_mib < size.memory_mib
          || slot->free_accelerators < size.accelerators)
        continue;
      if ((slot->reserved || limits != NULL) && !allowed (slot, i, limits))
        continue;
      if (rule->first)
        return i;
      float score = rule->score (slot, size);
      if (best < 0 || score > best_score)
        {
          best = i;
          best_score = score;
        }
    }
  return best;
}
