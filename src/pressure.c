#include "pressure.h"

/* Share of a worker's memory above which it may soon kill tasks by itself.  */
#define MEMORY_LIMIT_PERCENT 95

static int64_t
cpu_use_millis (const pressure_task_t *task)
{
  return task->used_cpu_millis >= 0 ? task->used_cpu_millis
                                    : task->reserved.cpu_millis;
}

static int64_t
memory_use_mib (const pressure_task_t *task)
{
  return task->used_memory_mib >= 0 ? task->used_memory_mib
                                    : task->reserved.memory_mib;
}

/* Returns whether A is acted on before B.  */
static bool
goes_before (const pressure_task_t *a, const pressure_task_t *b)
{
  if ((a->kind == JOB_BATCH) != (b->kind == JOB_BATCH))
    return a->kind == JOB_BATCH;
  if (a->class != b->class)
    return a->class > b->class;
  return memory_use_mib (a) - a->reserved.memory_mib
         > memory_use_mib (b) - b->reserved.memory_mib;
}

/* Checkpoints or stops tasks until they free EXCESS_MIB.  Returns how many. */
static uint32_t
relieve_memory (pressure_task_t *tasks, uint32_t count, int64_t excess_mib)
{
  uint32_t affected = 0;
  while (excess_mib > 0)
    {
      pressure_task_t *next = NULL;
      for (uint32_t i = 0; i < count; i++)
        if (tasks[i].action < PRESSURE_CHECKPOINT
            && memory_use_mib (&tasks[i]) > 0
            && (next == NULL || goes_before (&tasks[i], next)))
          next = &tasks[i];
      if (next == NULL)
        break;
      next->action
          = next->kind == JOB_BATCH ? PRESSURE_CHECKPOINT : PRESSURE_STOP;
      excess_mib -= memory_use_mib (next);
      affected++;
    }
  return affected;
}

uint32_t
pressure_plan (pressure_task_t *tasks, uint32_t count, resource_t capacity)
{
  int64_t cpu_millis = 0;
  int64_t memory_mib = 0;
  uint32_t affected = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      tasks[i].action = PRESSURE_NONE;
      cpu_millis += cpu_use_millis (&tasks[i]);
      memory_mib += memory_use_mib (&tasks[i]);
    }
  for (class_t class = CLASS_COUNT; class -- > 0;)
    for (uint32_t i = 0; i < count && cpu_millis > capacity.cpu_millis; i++)
      {
        int64_t over
            = cpu_use_millis (&tasks[i]) - tasks[i].reserved.cpu_millis;
        if (tasks[i].class != class || !tasks[i].throttleable || over <= 0)
          continue;
        tasks[i].action = PRESSURE_THROTTLE;
        cpu_millis -= over;
        affected++;
      }
  /* A throttled task may also be chosen to relieve memory: count it once.  */
  for (uint32_t i = 0; i < count; i++)
    if (tasks[i].action == PRESSURE_THROTTLE)
      affected--;
  affected += relieve_memory (
      tasks, count,
      memory_mib - capacity.memory_mib * MEMORY_LIMIT_PERCENT / 100);
  for (uint32_t i = 0; i < count; i++)
    if (tasks[i].action == PRESSURE_THROTTLE)
      affected++;
  return affected;
}
