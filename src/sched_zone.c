#include "sched_internal.h"

#include <string.h>

#define ZONE_ROW_PERIOD_MS 5000
#define PREEMPT_PERIOD_MS 250
/* Tasks whose stops may be unconfirmed at a time.  */
#define MAX_PREEMPTED_TASKS 32
/* Tasks stopped on one worker for one task.  */
#define MAX_WORKER_VICTIMS 32

static void
add_shape (GArray *shapes, resource_t capacity)
{
  for (guint i = 0; i < shapes->len; i++)
    {
      zone_shape_t *shape = &g_array_index (shapes, zone_shape_t, i);
      if (memcmp (&shape->capacity, &capacity, sizeof capacity) == 0)
        {
          shape->worker_count++;
          return;
        }
    }
  zone_shape_t shape = { .capacity = capacity, .worker_count = 1 };
  g_array_append_val (shapes, shape);
}

/* Value of the row zone/ZONE: capacities of the workers, what is free on them
   and what the waiting tasks need.  */
static json_t *
zone_json (sched_t *s)
{
  GArray *shapes = g_array_new (FALSE, FALSE, sizeof (zone_shape_t));
  resource_t free = { 0 };
  for (guint i = 0; i < s->workers->len; i++)
    {
      const sched_worker_t *worker = s->workers->pdata[i];
      if (!worker->listed || worker->state == SCHED_GONE)
        continue;
      add_shape (shapes, worker->capacity);
      if (fleet_worker (&s->fleet, i)->usable)
        free = resource_add (free, fleet_free_capacity (&s->fleet, i));
    }
  resource_t waiting = { 0 };
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, s->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const sched_job_t *job = value;
      if (job->row == NULL || job->stopping)
        continue;
      waiting.cpu_millis += job->task_size.cpu_millis * job->waiting;
      waiting.memory_mib += job->task_size.memory_mib * job->waiting;
      waiting.accelerators += job->task_size.accelerators * job->waiting;
    }
  json_t *list = json_array ();
  for (guint i = 0; i < shapes->len; i++)
    {
      const zone_shape_t *shape = &g_array_index (shapes, zone_shape_t, i);
      json_t *item = resource_to_json (shape->capacity);
      json_object_set_new (item, "count", json_integer (shape->worker_count));
      json_array_append_new (list, item);
    }
  g_array_unref (shapes);
  return json_pack ("{s:o,s:o,s:o}", "free", resource_to_json (free),
                    "waiting", resource_to_json (waiting), "shapes", list);
}

void
plan_zone_row (sched_t *s)
{
  if (s->now_ms < s->zone_row_due_ms || !s->list_read)
    return;
  s->zone_row_due_ms = s->now_ms + ZONE_ROW_PERIOD_MS;
  json_t *json = zone_json (s);
  char *text = json_dumps (json, JSON_SORT_KEYS | JSON_COMPACT);
  if (s->advertised_text != NULL && strcmp (text, s->advertised_text) == 0)
    {
      free (text);
      json_decref (json);
      return;
    }
  g_free (s->advertised_text);
  s->advertised_text = g_strdup (text);
  free (text);
  const sched_zone_t *zone = g_hash_table_lookup (s->zones, s->zone);
  txn_add_row (&s->plan_txn, ROW_ZONE, NULL,
               g_strconcat ("zone/", s->zone, NULL),
               zone != NULL ? zone->version : 0, json);
}

/* Preemption: PREEMPTOR is the job that waits, a victim is a running task that
   is stopped for it.  */

/* Whether TASK of JOB is a running batch task that PREEMPTOR may displace.  */
static bool
is_victim (const sched_t *s, const sched_job_t *preemptor,
           const sched_job_t *job, const sched_task_t *task)
{
  return job->row != NULL && job->row->spec->kind == JOB_BATCH
         && !job->stopping && !task->preempted && task->phase == PHASE_RUNNING
         && quota_may_preempt (&s->quota, preemptor->row->spec->class,
                               preemptor->task_size, job->row->spec->class,
                               job->task_size, s->fleet.total);
}

/* What would be free on WORKER if all its possible victims were stopped.
 *VICTIMS receives their number.  */
static resource_t
free_after_preemption (const sched_t *s, const sched_job_t *preemptor,
                       const sched_worker_t *worker, uint32_t *victims)
{
  resource_t free = fleet_free_capacity (&s->fleet, worker->index);
  *victims = 0;
  for (guint i = 0; i < worker->assignments->len; i++)
    {
      const sched_assignment_t *assignment
          = &g_array_index (worker->assignments, sched_assignment_t, i);
      const sched_task_t *task
          = sched_task_find (assignment->job, assignment->number);
      if (task == NULL || task->worker != worker || assignment->freed
          || !is_victim (s, preemptor, assignment->job, task))
        continue;
      free = resource_add (free, sched_assignment_size (assignment));
      ++*victims;
    }
  return free;
}

/* Subtracts TASKS tasks of JOB from what its team and class use.  */
static void
subtract_usage (sched_t *s, const sched_job_t *job, int64_t tasks)
{
  if (job->row != NULL)
    quota_add_usage (&s->quota, job->team_index, job->row->spec->class,
                     job->task_size, -tasks);
}

/* The least urgent victim on WORKER, NULL if there is none.  */
static sched_assignment_t *
next_victim (const sched_t *s, const sched_job_t *preemptor,
             const sched_worker_t *worker)
{
  sched_assignment_t *next = NULL;
  for (guint i = 0; i < worker->assignments->len; i++)
    {
      sched_assignment_t *assignment
          = &g_array_index (worker->assignments, sched_assignment_t, i);
      const sched_task_t *task
          = sched_task_find (assignment->job, assignment->number);
      if (task == NULL || task->worker != worker || assignment->freed
          || !is_victim (s, preemptor, assignment->job, task))
        continue;
      if (next == NULL
          || assignment->job->row->spec->class > next->job->row->spec->class)
        next = assignment;
    }
  return next;
}

/* Checkpoints victims on WORKER, least urgent first, until one task of
   PREEMPTOR fits; none if it would not fit in the end.  Returns how many.  */
static uint32_t
preempt_on (sched_t *s, sched_job_t *preemptor, sched_worker_t *worker)
{
  sched_assignment_t *chosen[MAX_WORKER_VICTIMS];
  uint32_t count = 0;
  resource_t free = fleet_free_capacity (&s->fleet, worker->index);
  while (!resource_fits (preemptor->task_size, free)
         && count < MAX_WORKER_VICTIMS)
    {
      sched_assignment_t *next = next_victim (s, preemptor, worker);
      if (next == NULL)
        break;
      free = resource_add (free, sched_assignment_size (next));
      sched_task_find (next->job, next->number)->preempted = true;
      subtract_usage (s, next->job, 1);
      chosen[count++] = next;
    }
  bool enough = resource_fits (preemptor->task_size, free);
  for (uint32_t i = 0; i < count; i++)
    {
      sched_job_t *job = chosen[i]->job;
      sched_task_t *task = sched_task_find (job, chosen[i]->number);
      if (!enough)
        {
          task->preempted = false;
          subtract_usage (s, job, -1);
          continue;
        }
      task_stop (s, job, task, STOP_CHECKPOINT);
      counter_add (s->preempted, 1);
      explain_add (
          &s->explain, clk_wall_ms (s->clock), job->id, chosen[i]->number,
          "preempted", "checkpointed on worker %s for %s job %s", worker->id,
          job_class_name (preemptor->row->spec->class), preemptor->id);
    }
  return enough ? count : 0;
}

/* Subtracts preempted tasks whose stop is not confirmed yet from what their
   teams and classes use.  Returns their number.  */
static uint32_t
subtract_preempting (sched_t *s)
{
  uint32_t count = 0;
  for (guint i = 0; i < s->workers->len; i++)
    {
      const sched_worker_t *worker = s->workers->pdata[i];
      for (guint j = 0; j < worker->assignments->len; j++)
        {
          const sched_assignment_t *assignment
              = &g_array_index (worker->assignments, sched_assignment_t, j);
          const sched_task_t *task
              = sched_task_find (assignment->job, assignment->number);
          if (task == NULL || task->phase != PHASE_STOPPING
              || !task->preempted)
            continue;
          subtract_usage (s, assignment->job, 1);
          count++;
        }
    }
  return count;
}

/* The worker that has the fewest victims and capacity for a task of PREEMPTOR
   without them; NULL if there is none.  */
static sched_worker_t *
worker_with_fewest_victims (const sched_t *s, const sched_job_t *preemptor)
{
  sched_worker_t *best = NULL;
  uint32_t fewest = UINT32_MAX;
  for (guint i = 0; i < s->workers->len; i++)
    {
      uint32_t victims = 0;
      if (!fleet_worker (&s->fleet, i)->usable
          || !resource_fits (preemptor->task_size,
                             free_after_preemption (
                                 s, preemptor, s->workers->pdata[i], &victims))
          || victims == 0 || victims >= fewest)
        continue;
      best = s->workers->pdata[i];
      fewest = victims;
    }
  return best;
}

/* Whether PREEMPTOR waits for capacity and may preempt tasks of at least one
   class.  */
static bool
may_preempt (const sched_t *s, const sched_job_t *preemptor)
{
  static const resource_t nothing = { 0 };
  if (!preemptor->blocked || preemptor->waiting == 0
      || preemptor->row->spec->kind == JOB_ALL_AT_ONCE)
    return false;
  for (class_t class = 0; class < CLASS_COUNT; class ++)
    if (quota_may_preempt (&s->quota, preemptor->row->spec->class,
                           preemptor->task_size, class, nothing,
                           s->fleet.total))
      return true;
  return false;
}

void
preempt_for (sched_t *s, const GPtrArray *jobs)
{
  if (s->now_ms < s->preempt_due_ms)
    return;
  s->preempt_due_ms = s->now_ms + PREEMPT_PERIOD_MS;
  int64_t needed = 0;
  for (guint i = 0; i < jobs->len; i++)
    if (may_preempt (s, jobs->pdata[i]))
      needed += ((const sched_job_t *)jobs->pdata[i])->waiting;
  if (needed == 0)
    return;
  /* Stops that are not confirmed yet count against the limit.  */
  int64_t stops_left
      = MIN (needed, MAX_PREEMPTED_TASKS) - subtract_preempting (s);
  for (guint i = 0; i < jobs->len; i++)
    {
      sched_job_t *preemptor = jobs->pdata[i];
      if (!may_preempt (s, preemptor))
        continue;
      for (uint32_t n = 0; n < preemptor->waiting && stops_left > 0; n++)
        {
          sched_worker_t *worker = worker_with_fewest_victims (s, preemptor);
          if (worker == NULL)
            break;
          uint32_t victims = preempt_on (s, preemptor, worker);
          if (victims == 0)
            break;
          stops_left -= victims;
          quota_add_usage (&s->quota, preemptor->team_index,
                           preemptor->row->spec->class, preemptor->task_size,
                           1);
        }
    }
}
