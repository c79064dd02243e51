#include "sched_int.h"

#include <string.h>

#define ZONE_ROW_EVERY_MS 5000
#define PREEMPT_EVERY_MS 250
#define PREEMPT_MAX 32
#define VICTIMS_MAX 32

static void
add_shape (GArray *shapes, resource_t capacity)
{
  for (guint i = 0; i < shapes->len; i++)
    {
      zone_shape_t *shape = &g_array_index (shapes, zone_shape_t, i);
      if (memcmp (&shape->capacity, &capacity, sizeof capacity) == 0)
        {
          shape->count++;
          return;
        }
    }
  zone_shape_t shape = { .capacity = capacity, .count = 1 };
  g_array_append_val (shapes, shape);
}

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
      if (fleet_slot (&s->fleet, i)->usable)
        free = resource_add (free, fleet_free (&s->fleet, i));
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
      waiting.cpu_millis += job->size.cpu_millis * job->waiting;
      waiting.memory_mib += job->size.memory_mib * job->waiting;
      waiting.accelerators += job->size.accelerators * job->waiting;
    }
  json_t *list = json_array ();
  for (guint i = 0; i < shapes->len; i++)
    {
      const zone_shape_t *shape = &g_array_index (shapes, zone_shape_t, i);
      json_t *item = resource_to_json (shape->capacity);
      json_object_set_new (item, "count", json_integer (shape->count));
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
  s->zone_row_due_ms = s->now_ms + ZONE_ROW_EVERY_MS;
  json_t *json = zone_json (s);
  char *text = json_dumps (json, JSON_SORT_KEYS | JSON_COMPACT);
  if (s->zone_text != NULL && strcmp (text, s->zone_text) == 0)
    {
      free (text);
      json_decref (json);
      return;
    }
  g_free (s->zone_text);
  s->zone_text = g_strdup (text);
  free (text);
  const sched_zone_t *zone = g_hash_table_lookup (s->zones, s->zone);
  txn_add_row (&s->duty, ROW_ZONE, NULL, g_strconcat ("zone/", s->zone, NULL),
               zone != NULL ? zone->version : 0, json);
}

/* Preemption.  */

/* Whether TASK of JOB is running batch work that WANTS may take room from.  */
static bool
is_victim (const sched_t *s, const sched_job_t *wants, const sched_job_t *job,
           const sched_task_t *task)
{
  return job->row != NULL && job->row->spec->kind == JOB_BATCH
         && !job->stopping && !task->preempted && task->phase == PHASE_RUNNING
         && quota_may_preempt (&s->quota, wants->row->spec->class, wants->size,
                               job->row->spec->class, job->size,
                               s->fleet.total);
}

/* Room on WORKER if all possible victims were stopped.  *VICTIMS receives
   their number.  */
static resource_t
room_after (const sched_t *s, const sched_job_t *wants,
            const sched_worker_t *worker, uint32_t *victims)
{
  resource_t room = fleet_free (&s->fleet, worker->index);
  *victims = 0;
  for (guint i = 0; i < worker->assigned->len; i++)
    {
      const sched_assign_t *assign
          = &g_array_index (worker->assigned, sched_assign_t, i);
      const sched_task_t *task = sched_task_find (assign->job, assign->number);
      if (task == NULL || task->worker != worker || assign->freed
          || !is_victim (s, wants, assign->job, task))
        continue;
      room = resource_add (room, sched_assign_size (assign));
      ++*victims;
    }
  return room;
}

/* Takes TASKS tasks of JOB out of what its class uses.  */
static void
release (sched_t *s, const sched_job_t *job, int64_t tasks)
{
  if (job->row != NULL)
    quota_use (&s->quota, job->team, job->row->spec->class, job->size, -tasks);
}

/* The least urgent task on WORKER that may make room for WANTS.  */
static sched_assign_t *
next_victim (const sched_t *s, const sched_job_t *wants,
             const sched_worker_t *worker)
{
  sched_assign_t *next = NULL;
  for (guint i = 0; i < worker->assigned->len; i++)
    {
      sched_assign_t *assign
          = &g_array_index (worker->assigned, sched_assign_t, i);
      const sched_task_t *task = sched_task_find (assign->job, assign->number);
      if (task == NULL || task->worker != worker || assign->freed
          || !is_victim (s, wants, assign->job, task))
        continue;
      if (next == NULL
          || assign->job->row->spec->class > next->job->row->spec->class)
        next = assign;
    }
  return next;
}

/* Checkpoints tasks on WORKER, least urgent first, until WANTS fits; none if
   it would not fit in the end.  Returns how many.  */
static uint32_t
preempt_on (sched_t *s, sched_job_t *wants, sched_worker_t *worker)
{
  sched_assign_t *chosen[VICTIMS_MAX];
  uint32_t count = 0;
  resource_t room = fleet_free (&s->fleet, worker->index);
  while (!resource_fits (wants->size, room) && count < VICTIMS_MAX)
    {
      sched_assign_t *next = next_victim (s, wants, worker);
      if (next == NULL)
        break;
      room = resource_add (room, sched_assign_size (next));
      sched_task_find (next->job, next->number)->preempted = true;
      release (s, next->job, 1);
      chosen[count++] = next;
    }
  bool enough = resource_fits (wants->size, room);
  for (uint32_t i = 0; i < count; i++)
    {
      sched_job_t *job = chosen[i]->job;
      sched_task_t *task = sched_task_find (job, chosen[i]->number);
      if (!enough)
        {
          task->preempted = false;
          release (s, job, -1);
          continue;
        }
      work_stop (s, job, task, STOP_CHECKPOINT);
      counter_add (s->preempted, 1);
      explain_add (&s->explain, clk_wall_ms (s->clock), job->id,
                   chosen[i]->number, "preempted",
                   "checkpointed on worker %s for %s job %s", worker->id,
                   job_class_name (wants->row->spec->class), wants->id);
    }
  return enough ? count : 0;
}

/* Takes preempted tasks whose stop is not confirmed yet out of what their
   classes use.  Returns their number.  */
static uint32_t
preempting (sched_t *s)
{
  uint32_t count = 0;
  for (guint i = 0; i < s->workers->len; i++)
    {
      const sched_worker_t *worker = s->workers->pdata[i];
      for (guint j = 0; j < worker->assigned->len; j++)
        {
          const sched_assign_t *assign
              = &g_array_index (worker->assigned, sched_assign_t, j);
          const sched_task_t *task
              = sched_task_find (assign->job, assign->number);
          if (task == NULL || task->phase != PHASE_STOP || !task->preempted)
            continue;
          release (s, assign->job, 1);
          count++;
        }
    }
  return count;
}

/* The worker on which the fewest tasks must make room for one of WANTS.  */
static sched_worker_t *
cheapest (const sched_t *s, const sched_job_t *wants)
{
  sched_worker_t *best = NULL;
  uint32_t fewest = UINT32_MAX;
  for (guint i = 0; i < s->workers->len; i++)
    {
      uint32_t victims = 0;
      if (!fleet_slot (&s->fleet, i)->usable
          || !resource_fits (
              wants->size,
              room_after (s, wants, s->workers->pdata[i], &victims))
          || victims == 0 || victims >= fewest)
        continue;
      best = s->workers->pdata[i];
      fewest = victims;
    }
  return best;
}

/* Whether any class could lose work to WANTS.  */
static bool
may_claim (const sched_t *s, const sched_job_t *wants)
{
  static const resource_t nothing = { 0 };
  if (!wants->blocked || wants->waiting == 0
      || wants->row->spec->kind == JOB_ALL_AT_ONCE)
    return false;
  for (class_t class = 0; class < CLASS_COUNT; class ++)
    if (quota_may_preempt (&s->quota, wants->row->spec->class, wants->size,
                           class, nothing, s->fleet.total))
      return true;
  return false;
}

void
preempt_for (sched_t *s, const GPtrArray *jobs)
{
  if (s->now_ms < s->preempt_ms)
    return;
  s->preempt_ms = s->now_ms + PREEMPT_EVERY_MS;
  int64_t wanted = 0;
  for (guint i = 0; i < jobs->len; i++)
    if (may_claim (s, jobs->pdata[i]))
      wanted += ((const sched_job_t *)jobs->pdata[i])->waiting;
  if (wanted == 0)
    return;
  /* Room that is already being made is waited for first.  */
  int64_t left = MIN (wanted, PREEMPT_MAX) - preempting (s);
  for (guint i = 0; i < jobs->len; i++)
    {
      sched_job_t *wants = jobs->pdata[i];
      if (!may_claim (s, wants))
        continue;
      for (uint32_t n = 0; n < wants->waiting && left > 0; n++)
        {
          sched_worker_t *worker = cheapest (s, wants);
          if (worker == NULL)
            break;
          uint32_t victims = preempt_on (s, wants, worker);
          if (victims == 0)
            break;
          left -= victims;
          quota_use (&s->quota, wants->team, wants->row->spec->class,
                     wants->size, 1);
        }
    }
}
