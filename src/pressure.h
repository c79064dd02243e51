#ifndef MAGNOLIADOCK_PRESSURE_H
#define MAGNOLIADOCK_PRESSURE_H

#include "job.h"

/* NAME
     pressure - what to do on a worker whose tasks use more than it has

   Processors: tasks that may be throttled are held to what they reserve.
   Memory: batch work is checkpointed, then work that cannot be checkpointed is
   stopped; the least urgent first, and among equals the one that is furthest
   over its reservation.  */

typedef enum
{
  PRESSURE_NONE,
  PRESSURE_THROTTLE,
  PRESSURE_CHECKPOINT,
  PRESSURE_STOP
} pressure_action_t;

typedef struct
{
  class_t class;
  job_kind_t kind;
  bool throttle;
  resource_t reserved;
  int64_t cpu_millis;       /* used, -1: unknown, counts as reserved */
  int64_t memory_mib;       /* used, -1: unknown, counts as reserved */
  pressure_action_t action; /* result */
} pressure_task_t;

/* Sets the action of each of the COUNT TASKS of a worker of CAPACITY.  Returns
   how many differ from PRESSURE_NONE.  */
uint32_t pressure_plan (pressure_task_t *tasks, uint32_t count,
                        resource_t capacity);

#endif
