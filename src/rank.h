#ifndef MAGNOLIADOCK_RANK_H
#define MAGNOLIADOCK_RANK_H

#include <stdbool.h>
#include <stdint.h>

/* NAME
     rank - objective of a job, and the order of waiting steps

   Pure decisions: no input, output or clock.

   The objective of a job is the time from its acceptance in which it should
   end: STRETCH times its critical path, plus TARGET_MS.  The critical path
   counts one call for advice for each step, the longest task of each step, and
   the runs that failed by the job's own fault.  A job that takes up to
   RANK_LATE_MAX_OBJECTIVES times its objective is late, but its result still
   has some value.

   Load patterns: while there is room for everything, the order hardly matters.
   When urgent jobs flood in, steps that can still be on time go before those
   that cannot, and steps with much slack give way.  When gangs wait for whole
   workers, those that would just miss their objectives go after those with a
   margin; least slack first would let each of them miss in turn.  When the
   fleet cannot do all, wide steps would be late more often, since they need
   much room at a time; so sizes that have missed more go first until they fare
   like the others.  When one kind of work fills the fleet, jobs whose result
   has lost its value go last.  */

#define RANK_LATE_MAX_OBJECTIVES 3
/* Workers named by the call for advice that an objective counts.  */
#define RANK_ADVICE_WORKERS 30

/* How the durations of a step's tasks differ: the longest of N tasks takes
   1 + GROWTH * ln(N) times the estimate.  */
typedef struct
{
  double growth;
  double weight; /* observations, up to a limit */
} rank_durations_t;

void rank_durations_init (rank_durations_t *durations);
/* Adds a finished step: the longest of its COUNT tasks took LONGEST_MS.
   Ignores steps that say nothing.  */
void rank_durations_add (rank_durations_t *durations, uint32_t count,
                         int64_t estimate_ms, int64_t longest_ms);
/* Expected duration of the longest of COUNT tasks.  */
int64_t rank_longest_ms (const rank_durations_t *durations, uint32_t count,
                         int64_t estimate_ms);

/* How many times in turn a step runs for its objective, if its tasks need
   SHARE of the room of the whole cell.  */
uint32_t rank_waves (double share);

typedef struct
{
  const uint32_t *after; /* indexes of earlier steps; borrowed */
  uint32_t after_count;
  int64_t length_ms; /* its longest task, expected or as it was */
} rank_step_t;

/* Length of the longest chain of dependent steps that begins with step FROM,
   with ADVICE_MS for each of them.  At most WORK_MAX_STEPS steps.  */
int64_t rank_chain_ms (const rank_step_t *steps, uint32_t count, uint32_t from,
                       double advice_ms);
/* The same for the whole job.  */
int64_t rank_longest_chain_ms (const rank_step_t *steps, uint32_t count,
                               double advice_ms);

int64_t rank_objective_ms (double stretch, int64_t chain_ms,
                           int64_t target_ms);

/* Lower tiers go first.  */
typedef enum
{
  RANK_RESTART, /* lasting, and ran before: has to run again within seconds,
                   however full the workers are */
  RANK_ON_TIME,
  RANK_AT_RISK, /* in time only if it starts at once */
  RANK_LATE,
  RANK_CAN_WAIT, /* on time, with slack to spare */
  RANK_TOO_LATE  /* its result has no value any more */
} rank_tier_t;

typedef struct
{
  rank_tier_t tier;
  uint32_t priority; /* of the queue; lower is more urgent */
  bool favoured;    /* jobs of its size have missed their objectives more often
                       than others of its queue */
  int64_t slack_ms; /* time left until the step has to start */
} rank_t;

/* The rank of a step whose job should end OBJECTIVE_MS after SINCE_MS, and of
   which LEFT_MS of the critical path remain.  */
rank_t rank_of_step (uint32_t priority, int64_t since_ms, int64_t objective_ms,
                     int64_t left_ms, int64_t now_ms);
/* The rank of a step without an objective: the longer it waits, the
   sooner.  */
rank_t rank_without_objective (uint32_t priority, int64_t since_ms,
                               int64_t now_ms);
/* The same for a lasting step of which a task has to run again.  */
rank_t rank_of_restart (uint32_t priority, int64_t since_ms, int64_t now_ms);
/* Lets a step with much slack that is not favoured wait while a step of a
   queue with HIGHEST_PRIORITY waits.  */
void rank_defer (rank_t *rank, uint32_t highest_priority,
                 int64_t objective_ms);
/* By tier, then priority, then favour, then slack; as for qsort.  */
int rank_compare (const rank_t *left, const rank_t *right);

#endif
