#include "pack.h"

#include <string.h>

/* Exceeds every other difference in score, so that a task without accelerators
   uses a worker with accelerators only if no other worker fits.  */
#define ACCELERATOR_PENALTY 16.0f
/* Exceeds any difference in score apart from ACCELERATOR_PENALTY, so that
   empty workers, and with them empty racks, stay free.  */
#define EMPTY_PENALTY 4.0f

/* Best fit: prefers the least free capacity left over, as a share of the
   worker, summed over the dimensions.  */
static float
score_best_fit (const fleet_worker_t *worker, resource_t size)
{
  return -(float)(worker->free_cpu_millis - size.cpu_millis)
             * worker->inverse_cpu
         - (float)(worker->free_memory_mib - size.memory_mib)
               * worker->inverse_memory
         - (float)(worker->free_accelerators - size.accelerators)
               * worker->inverse_accelerators;
}

/* Alignment (Grandl et al., Tetris, 2014): dot product of SIZE and the free
   capacity, both as shares of the worker.  */
static float
score_alignment (const fleet_worker_t *worker, resource_t size)
{
  return (float)(size.cpu_millis) * worker->inverse_cpu
             * (float)(worker->free_cpu_millis) * worker->inverse_cpu
         + (float)(size.memory_mib) * worker->inverse_memory
               * (float)(worker->free_memory_mib) * worker->inverse_memory
         + (float)(size.accelerators) * worker->inverse_accelerators
               * (float)(worker->free_accelerators)
               * worker->inverse_accelerators;
}

/* Prefers the worker that the task leaves with equal shares of processors and
   memory free, so that neither is stranded for lack of the other, and among
   those the fullest.  Accelerators, and the processors and memory of the same
   worker, are kept for tasks that need accelerators.  */
static float
score_keep_accelerators (const fleet_worker_t *worker, resource_t size)
{
  float cpu = (float)(worker->free_cpu_millis - size.cpu_millis)
              * worker->inverse_cpu;
  float memory = (float)(worker->free_memory_mib - size.memory_mib)
                 * worker->inverse_memory;
  float imbalance = cpu > memory ? cpu - memory : memory - cpu;
  float score = -imbalance - 0.5f * (cpu + memory);
  if (worker->accelerators > 0)
    {
      float left = (float)(worker->free_accelerators - size.accelerators)
                   * worker->inverse_accelerators;
      if (size.accelerators == 0)
        score -= ACCELERATOR_PENALTY;
      else
        score -= left;
    }
  if (worker->task_count == 0)
    score -= EMPTY_PENALTY;
  return score;
}

const pack_rule_t pack_rules[] = {
  { "first-fit", "the first worker with room", true, NULL },
  { "best-fit", "the worker with the least left over", false, score_best_fit },
  { "alignment",
    "the worker with the largest dot product of size and free capacity", false,
    score_alignment },
  { "keep-accelerators",
    "balanced remainders; accelerators and empty workers are kept free", false,
    score_keep_accelerators },
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
within_limits (const fleet_worker_t *worker, uint32_t index,
               const pack_limits_t *limits)
{
  if (limits == NULL)
    return !worker->reserved;
  if (limits->rack_tasks != NULL
      && limits->rack_tasks[worker->rack] >= limits->rack_limit)
    return false;
  return !worker->reserved
         || (limits->may_use_reserved != NULL
             && limits->may_use_reserved (limits->context, index));
}

int64_t
pack_choose (const pack_rule_t *rule, const fleet_t *fleet, resource_t size,
             const pack_limits_t *limits)
{
  const fleet_worker_t *workers = (const fleet_worker_t *)fleet->workers->data;
  uint32_t count = fleet->workers->len;
  int64_t best = -1;
  float best_score = 0.0f;
  for (uint32_t i = 0; i < count; i++)
    {
      const fleet_worker_t *worker = &workers[i];
      if (!worker->usable || worker->free_cpu_millis < size.cpu_millis
          || worker->free_memory_mib < size.memory_mib
          || worker->free_accelerators < size.accelerators)
        continue;
      if ((worker->reserved || limits != NULL)
          && !within_limits (worker, i, limits))
        continue;
      if (rule->first_fit)
        return i;
      float score = rule->score (worker, size);
      if (best < 0 || score > best_score)
        {
          best = i;
          best_score = score;
        }
    }
  return best;
}

typedef struct
{
  float score;
  uint32_t worker;
} candidate_t;

/* Returns whether A is chosen before B.  */
static bool
ranks_before (const candidate_t *a, const candidate_t *b)
{
  if (a->score != b->score)
    return a->score > b->score;
  return a->worker < b->worker;
}

/* Restores the heap order below index AT.  */
static void
sift_down (candidate_t *heap, uint32_t count, uint32_t at)
{
  for (;;)
    {
      uint32_t best = at;
      uint32_t left = 2 * at + 1;
      if (left < count && ranks_before (&heap[left], &heap[best]))
        best = left;
      if (left + 1 < count && ranks_before (&heap[left + 1], &heap[best]))
        best = left + 1;
      if (best == at)
        return;
      candidate_t moved = heap[at];
      heap[at] = heap[best];
      heap[best] = moved;
      at = best;
    }
}

/* Scores the worker at INDEX into *CANDIDATE.  Returns whether a task of SIZE
   may be placed there.  */
static bool
score_worker (const pack_rule_t *rule, const fleet_t *fleet, resource_t size,
              const pack_limits_t *limits, uint32_t index,
              candidate_t *candidate)
{
  const fleet_worker_t *worker = fleet_worker (fleet, index);
  if (!worker->usable
      || !resource_fits (size, fleet_free_capacity (fleet, index))
      || !within_limits (worker, index, limits))
    return false;
  candidate->worker = index;
  candidate->score = rule->first_fit ? 0.0f : rule->score (worker, size);
  return true;
}

uint32_t
pack_choose_many (const pack_rule_t *rule, fleet_t *fleet, resource_t size,
                  const pack_limits_t *limits, uint32_t count, GArray *chosen)
{
  candidate_t *heap = g_new (candidate_t, fleet->workers->len + 1);
  uint32_t candidate_count = 0;
  for (uint32_t i = 0; i < fleet->workers->len; i++)
    candidate_count
        += score_worker (rule, fleet, size, limits, i, &heap[candidate_count]);
  for (uint32_t i = candidate_count / 2; i-- > 0;)
    sift_down (heap, candidate_count, i);
  while (chosen->len < count && candidate_count > 0)
    {
      uint32_t worker = heap[0].worker;
      fleet_allocate (fleet, worker, size);
      g_array_append_val (chosen, worker);
      /* Only this worker's score has changed.  */
      if (!score_worker (rule, fleet, size, limits, worker, &heap[0]))
        heap[0] = heap[--candidate_count];
      sift_down (heap, candidate_count, 0);
    }
  g_free (heap);
  return chosen->len;
}
