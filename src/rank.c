#include "rank.h"

#include "work.h"

#include <glib.h>
#include <math.h>

/* Assumed for a new queue; counts as much as PRIOR_WEIGHT observed steps.  */
#define PRIOR_GROWTH 0.15
#define PRIOR_WEIGHT 4.0
/* Later steps replace earlier ones, since images and inputs change.  */
#define MAX_WEIGHT 60.0
/* A longer task ran on a slow worker or was reported late.  */
#define MAX_OBSERVED_FACTOR 3.0
/* A step that needs more of the cell's room than this counts as running in
   waves.  */
#define WAVE_ROOM_SHARE 0.25
/* Share of the objective that may pass until a chosen step has started: a gang
   waits for workers to drain.  */
#define START_MARGIN_SHARE 0.1
/* A step may be deferred while its slack is more than this share of its job's
   objective.  */
#define CAN_WAIT_SHARE 0.15

void
rank_durations_init (rank_durations_t *durations)
{
  *durations = (rank_durations_t){ PRIOR_GROWTH, PRIOR_WEIGHT };
}

void
rank_durations_add (rank_durations_t *durations, uint32_t count,
                    int64_t estimate_ms, int64_t longest_ms)
{
  if (count < 2 || estimate_ms <= 0 || longest_ms <= 0)
    return;
  double factor = (double)longest_ms / (double)estimate_ms;
  double growth = (MIN (factor, MAX_OBSERVED_FACTOR) - 1.0) / log (count);
  durations->weight = MIN (durations->weight + 1.0, MAX_WEIGHT);
  durations->growth += (growth - durations->growth) / durations->weight;
}

int64_t
rank_longest_ms (const rank_durations_t *durations, uint32_t count,
                 int64_t estimate_ms)
{
  double growth = count > 1 ? durations->growth * log (count) : 0.0;
  return (int64_t)((double)estimate_ms * MAX (1.0 + growth, 0.0));
}

uint32_t
rank_waves (double share)
{
  return share <= WAVE_ROOM_SHARE ? 1
                                  : (uint32_t)ceil (share / WAVE_ROOM_SHARE);
}

/* Fills CHAIN_MS with the length of the longest chain from each step on.  */
static void
fill_chains (const rank_step_t *steps, uint32_t count, double advice_ms,
             int64_t chain_ms[WORK_MAX_STEPS])
{
  for (uint32_t i = count; i > 0; i--)
    {
      const rank_step_t *step = &steps[i - 1];
      chain_ms[i - 1] += step->length_ms + (int64_t)advice_ms;
      for (uint32_t j = 0; j < step->after_count; j++)
        chain_ms[step->after[j]]
            = MAX (chain_ms[step->after[j]], chain_ms[i - 1]);
    }
}

int64_t
rank_chain_ms (const rank_step_t *steps, uint32_t count, uint32_t from,
               double advice_ms)
{
  int64_t chain_ms[WORK_MAX_STEPS] = { 0 };
  fill_chains (steps, count, advice_ms, chain_ms);
  return chain_ms[from];
}

int64_t
rank_longest_chain_ms (const rank_step_t *steps, uint32_t count,
                       double advice_ms)
{
  int64_t chain_ms[WORK_MAX_STEPS] = { 0 };
  int64_t longest_ms = 0;
  fill_chains (steps, count, advice_ms, chain_ms);
  for (uint32_t i = 0; i < count; i++)
    longest_ms = MAX (longest_ms, chain_ms[i]);
  return longest_ms;
}

int64_t
rank_objective_ms (double stretch, int64_t chain_ms, int64_t target_ms)
{
  return (int64_t)(stretch * (double)chain_ms) + target_ms;
}

rank_t
rank_of_step (uint32_t priority, int64_t since_ms, int64_t objective_ms,
              int64_t left_ms, int64_t now_ms)
{
  rank_t rank = { .tier = RANK_ON_TIME,
                  .priority = priority,
                  .slack_ms = since_ms + objective_ms - now_ms - left_ms };
  if (rank.slack_ms < -(RANK_LATE_MAX_OBJECTIVES - 1) * objective_ms)
    rank.tier = RANK_TOO_LATE;
  else if (rank.slack_ms < 0)
    rank.tier = RANK_LATE;
  else if ((double)rank.slack_ms < START_MARGIN_SHARE * (double)objective_ms)
    rank.tier = RANK_AT_RISK;
  return rank;
}

rank_t
rank_without_objective (uint32_t priority, int64_t since_ms, int64_t now_ms)
{
  return (rank_t){ .tier = RANK_ON_TIME,
                   .priority = priority,
                   .slack_ms = since_ms - now_ms };
}

rank_t
rank_of_restart (uint32_t priority, int64_t since_ms, int64_t now_ms)
{
  return (rank_t){ .tier = RANK_RESTART,
                   .priority = priority,
                   .slack_ms = since_ms - now_ms };
}

void
rank_defer (rank_t *rank, uint32_t highest_priority, int64_t objective_ms)
{
  if (rank->tier == RANK_ON_TIME && !rank->favoured
      && rank->priority > highest_priority
      && (double)rank->slack_ms > CAN_WAIT_SHARE * (double)objective_ms)
    rank->tier = RANK_CAN_WAIT;
}

int
rank_compare (const rank_t *left, const rank_t *right)
{
  if (left->tier != right->tier)
    return left->tier < right->tier ? -1 : 1;
  if (left->priority != right->priority)
    return left->priority < right->priority ? -1 : 1;
  if (left->favoured != right->favoured)
    return left->favoured ? -1 : 1;
  if (left->slack_ms != right->slack_ms)
    return left->slack_ms < right->slack_ms ? -1 : 1;
  return 0;
}
