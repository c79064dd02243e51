#ifndef MAGNOLIADOCK_PRESSURE_H
#define MAGNOLIADOCK_PRESSURE_H

#include "job.h"

/* NAME
     pressure - relief of a worker whose tasks use more than its capacity

   Processors: throttleable tasks above their reservation are throttled to it,
   the least urgent class first, until the rest fits.  Memory: batch tasks are
   checkpointed, and if that is not enough, other tasks are stopped; the least
   urgent class first, and within a class the task that is furthest above its
   reservation.  */

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
  bool throttleable;
  resource_t reserved;
  int64_t used_cpu_millis;  /* -1: unknown, the reserved size counts */
  int64_t used_memory_mib;  /* -1: as above */
  pressure_action_t action; /* result */
} pressure_task_t;

/* Sets the action of each of the COUNT TASKS of a worker of CAPACITY.  Returns
   how many of them need one.  */
uint32_t pressure_plan (pressure_task_t *tasks, uint32_t count,
                        resource_t capacity);

#endif
