#include "load.h"

#include "rank.h"

#include <string.h>

/* NAME
     load_pack - what the best packing of a load could serve

   Time is cut into slots of SLOT_MS; a task takes whole slots.  */

#define SLOT_MS 50
/* Slots after the last arrival in which jobs may still run.  */
#define TAIL_SLOTS (120000 / SLOT_MS)

static int64_t
slots_of (int64_t duration_ms)
{
  return (duration_ms + SLOT_MS - 1) / SLOT_MS;
}

static int64_t
slot_count (const load_t *load)
{
  int64_t last_ms
      = load->jobs->len == 0
            ? 0
            : g_array_index (load->jobs, load_job_t, load->jobs->len - 1)
                  .at_ms;
  return slots_of (last_ms) + TAIL_SLOTS;
}

/* Dimensions in which the bound adds up room.  DIMENSION_WORKERS: a task that
   needs more than half of a worker in some way has that worker to itself,
   beside smaller ones.  */
typedef enum
{
  DIMENSION_CPU,
  DIMENSION_MEMORY,
  DIMENSION_ACCELERATORS,
  DIMENSION_WORKERS,
  DIMENSIONS
} dimension_t;

static double
amount_of (resource_t resource, dimension_t dimension, resource_t capacity)
{
  switch (dimension)
    {
    case DIMENSION_CPU:
      return (double)resource.cpu_millis;
    case DIMENSION_MEMORY:
      return (double)resource.memory_mib;
    case DIMENSION_ACCELERATORS:
      return (double)resource.accelerators;
    default:
      return resource_fits (resource_add (resource, resource), capacity) ? 0.0
                                                                         : 1.0;
    }
}

/* A job as an amount of one dimension that can be cut at will.  */
typedef struct
{
  int64_t from_slot, until_slot;
  double left;
  double most_per_slot; /* all its tasks at once */
} fluid_t;

static gint
compare_fluids (gconstpointer a, gconstpointer b)
{
  const fluid_t *left = a;
  const fluid_t *right = b;
  return left->until_slot < right->until_slot
             ? -1
             : left->until_slot > right->until_slot;
}

/* Share of the work in DIMENSION that can be done within OBJECTIVES times the
   objectives.  Earliest deadline first does most of it.  */
static double
fluid_share (const load_t *load, dimension_t dimension, int64_t objectives)
{
  GArray *fluids = g_array_new (FALSE, FALSE, sizeof (fluid_t));
  double all = 0.0;
  double left = 0.0;
  double room
      = load->workers
        * (dimension == DIMENSION_WORKERS
               ? 1.0
               : amount_of (load->capacity, dimension, load->capacity));
  for (guint i = 0; i < load->jobs->len; i++)
    {
      const load_job_t *job = &g_array_index (load->jobs, load_job_t, i);
      double amount = amount_of (job->need, dimension, load->capacity);
      int64_t by_ms = job->at_ms + objectives * load_objective_ms (load, job);
      fluid_t fluid = { job->at_ms / SLOT_MS, by_ms / SLOT_MS,
                        amount * job->tasks * (double)job->task_ms / SLOT_MS,
                        amount * job->tasks };
      all += fluid.left;
      g_array_append_val (fluids, fluid);
    }
  g_array_sort (fluids, compare_fluids);
  for (int64_t slot = 0; slot < slot_count (load); slot++)
    {
      double free = room;
      for (guint i = 0; i < fluids->len && free > 0.0; i++)
        {
          fluid_t *fluid = &g_array_index (fluids, fluid_t, i);
          if (fluid->from_slot > slot || fluid->until_slot <= slot)
            continue;
          double done = MIN (MIN (fluid->left, fluid->most_per_slot), free);
          fluid->left -= done;
          free -= done;
        }
    }
  for (guint i = 0; i < fluids->len; i++)
    left += g_array_index (fluids, fluid_t, i).left;
  g_array_unref (fluids);
  return all > 0.0 ? 1.0 - left / all : 1.0;
}

load_bound_t
load_bound (const load_t *load)
{
  load_bound_t bound = { 1.0, 1.0 };
  for (int i = 0; i < DIMENSIONS; i++)
    {
      bound.work_in_time
          = MIN (bound.work_in_time, fluid_share (load, (dimension_t)i, 1));
      bound.work_late
          = MIN (bound.work_late,
                 fluid_share (load, (dimension_t)i, RANK_LATE_MAX_OBJECTIVES));
    }
  return bound;
}

/* The room that is left of each worker in each slot.  */
typedef struct
{
  const load_t *load;
  resource_t *free; /* by worker, then slot */
  int64_t slots;
} plan_t;

static resource_t *
free_at (const plan_t *plan, uint32_t worker, int64_t slot)
{
  return &plan->free[(int64_t)worker * plan->slots + slot];
}

/* Tasks of NEED, MOST at most, that fit on WORKER from FROM on for LENGTH
   slots.  */
static uint32_t
tasks_that_fit (const plan_t *plan, uint32_t worker, resource_t need,
                int64_t from, int64_t length, uint32_t most)
{
  for (int64_t slot = from; slot < from + length && most > 0; slot++)
    {
      resource_t room = *free_at (plan, worker, slot);
      uint32_t fit = 0;
      while (fit < most && resource_fits (need, room))
        {
          room = resource_sub (room, need);
          fit++;
        }
      most = fit;
    }
  return most;
}

static void
take (const plan_t *plan, uint32_t worker, resource_t need, int64_t from,
      int64_t length)
{
  for (int64_t slot = from; slot < from + length; slot++)
    {
      resource_t *room = free_at (plan, worker, slot);
      *room = resource_sub (*room, need);
    }
}

/* Places up to MOST tasks of JOB from slot FROM on, the fullest workers first;
   fewer than LEAST: none.  Returns how many.  */
static uint32_t
place_at (const plan_t *plan, const load_job_t *job, const bool *allowed,
          int64_t from, uint32_t least, uint32_t most)
{
  const load_t *load = plan->load;
  int64_t length = slots_of (job->task_ms);
  uint32_t *fit = g_new0 (uint32_t, load->workers);
  uint32_t found = 0;
  uint32_t placed = 0;
  for (uint32_t i = 0; i < load->workers; i++)
    if (allowed[i])
      found += fit[i]
          = tasks_that_fit (plan, i, job->need, from, length, most);
  while (found >= least && placed < MIN (found, most))
    {
      uint32_t best = 0;
      double best_left = 2.0;
      for (uint32_t i = 0; i < load->workers; i++)
        {
          double left = resource_dominant_share (*free_at (plan, i, from),
                                                 load->capacity);
          if (fit[i] > 0 && left < best_left)
            {
              best = i;
              best_left = left;
            }
        }
      take (plan, best, job->need, from, length);
      fit[best]--;
      placed++;
    }
  g_free (fit);
  return placed;
}

/* Places JOB as early as it fits.  Returns when it ends, 0: it does not fit.
 */
static int64_t
place_job (const plan_t *plan, const load_job_t *job, const bool *allowed)
{
  const load_kind_t *kind = load_kind_of (plan->load, job);
  int64_t length = slots_of (job->task_ms);
  uint32_t left = job->tasks;
  int64_t from = slots_of (job->at_ms + (int64_t)kind->advice_ms);
  for (; left > 0 && from + length <= plan->slots; from++)
    left -= place_at (plan, job, allowed, from, kind->gang ? left : 1, left);
  return left == 0 ? (from - 1 + length) * SLOT_MS : 0;
}

void
load_pack (const load_t *load,
           bool (*allowed) (const load_t *load, uint32_t job, uint32_t worker),
           int64_t *ended_ms)
{
  plan_t plan = { .load = load, .slots = slot_count (load) };
  GArray *order = load_by_work (load);
  bool *may_run = g_new0 (bool, load->workers);
  plan.free = g_new0 (resource_t, (gsize)plan.slots * load->workers);
  for (int64_t i = 0; i < plan.slots * load->workers; i++)
    plan.free[i] = load->capacity;
  for (guint i = 0; i < order->len; i++)
    {
      uint32_t at = g_array_index (order, uint32_t, i);
      const load_job_t *job = &g_array_index (load->jobs, load_job_t, at);
      for (uint32_t j = 0; j < load->workers; j++)
        may_run[j] = allowed (load, at, j);
      ended_ms[at] = place_job (&plan, job, may_run);
    }
  g_array_unref (order);
  g_free (may_run);
  g_free (plan.free);
}
