#include "sched_internal.h"

#include <string.h>

static json_t *
job_json (const sched_t *s, const sched_job_t *job)
{
  const job_row_t *row = job->row;
  json_t *json = json_pack (
      "{s:s,s:s,s:s,s:s,s:s,s:I,s:I,s:I,s:s}", "id", job->id, "kind",
      job_kind_name (row->spec->kind), "class",
      job_class_name (row->spec->class), "team", row->spec->team, "state",
      job_state_name (row->state), "tasks", (json_int_t)row->spec->task_count,
      "created_ms", (json_int_t)row->created_ms, "ended_ms",
      (json_int_t)row->ended_ms, "reason", row->reason);
  json_t *zones = json_object ();
  for (guint i = 0; i < row->parts->len; i++)
    {
      const job_part_t *part = row->parts->pdata[i];
      json_t *item
          = json_pack ("{s:I,s:b}", "tasks", (json_int_t)part->task_count,
                       "done", part->all_done);
      if (strcmp (part->zone, s->zone) == 0 && job->part_version > 0)
        {
          uint32_t running = 0;
          for (uint32_t t = 0; t < job->task_count; t++)
            running += job->tasks[t].phase == PHASE_RUNNING;
          json_object_set_new (item, "waiting", json_integer (job->waiting));
          json_object_set_new (item, "assigned", json_integer (job->assigned));
          json_object_set_new (item, "running", json_integer (running));
          json_object_set_new (item, "ended", json_integer (job->done));
          json_object_set_new (item, "failed", json_integer (job->failed));
        }
      json_object_set_new (zones, part->zone, item);
    }
  json_object_set_new (json, "zones", zones);
  return json;
}

static int
by_created (gconstpointer a, gconstpointer b)
{
  const sched_job_t *first = *(sched_job_t *const *)a;
  const sched_job_t *second = *(sched_job_t *const *)b;
  if (first->row->created_ms != second->row->created_ms)
    return first->row->created_ms < second->row->created_ms ? -1 : 1;
  return strcmp (first->id, second->id);
}

json_t *
sched_jobs (const sched_t *s)
{
  GPtrArray *jobs = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, s->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((sched_job_t *)value)->row != NULL)
      g_ptr_array_add (jobs, value);
  g_ptr_array_sort (jobs, by_created);
  json_t *list = json_array ();
  for (guint i = 0; i < jobs->len; i++)
    json_array_append_new (list, job_json (s, jobs->pdata[i]));
  g_ptr_array_unref (jobs);
  return list;
}

json_t *
sched_job (const sched_t *s, const char *id)
{
  const sched_job_t *job = g_hash_table_lookup (s->jobs, id);
  if (job == NULL || job->row == NULL)
    return NULL;
  json_t *json = job_json (s, job);
  json_object_set_new (json, "spec", job_spec_to_json (job->row->spec));
  json_t *tasks = json_array ();
  /* By phase_t.  */
  static const char *const phases[] = { "waiting",  "planned", "assigned",
                                        "starting", "running", "starting",
                                        "stopping", "ended",   "failed",
                                        "stopped",  "lost",    "crashed" };
  for (uint32_t i = 0; i < job->task_count; i++)
    {
      const sched_task_t *task = &job->tasks[i];
      const char *state = task->state == TASK_ENDED    ? "ended"
                          : task->state == TASK_FAILED ? "failed"
                          : task->state == TASK_CANCELLED
                              ? "cancelled"
                              : phases[task->phase];
      json_t *item = json_pack (
          "{s:I,s:s,s:I,s:I}", "task", (json_int_t)job->first_task + i,
          "state", state, "generation", (json_int_t)task->generation,
          "failures", (json_int_t)task->failures);
      if (task->worker != NULL)
        json_object_set_new (item, "worker", json_string (task->worker->id));
      json_array_append_new (tasks, item);
    }
  json_object_set_new (json, "zone", json_string (s->zone));
  json_object_set_new (json, "task_list", tasks);
  return json;
}

/* Why the job's next task does not start.  */
static json_t *
waits_json (const sched_t *s, const sched_job_t *job)
{
  fleet_fit_counts_t counts = fleet_count_fitting (&s->fleet, job->task_size);
  json_t *json = json_pack (
      "{s:I,s:o,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "tasks",
      (json_int_t)job->waiting, "needs", resource_to_json (job->task_size),
      "workers", (json_int_t)counts.workers, "fitting",
      (json_int_t)counts.fitting, "not_usable", (json_int_t)counts.unusable,
      "short_of_cpu", (json_int_t)counts.short_cpu, "short_of_memory",
      (json_int_t)counts.short_memory, "short_of_accelerators",
      (json_int_t)counts.short_accelerators, "reserved",
      (json_int_t)counts.fitting_reserved);
  const char *reason = "its start is queued and not planned yet";
  if (!s->ready)
    reason = "the table service has not been read";
  else if (!s->on_duty)
    reason = "another entry is on duty for the zone";
  else if (s->plan_txn.state != TXN_IDLE && s->plan_txn.outcome_unknown)
    reason = "the table service does not answer";
  else if (job->row->spec->kind == JOB_ALL_AT_ONCE && counts.fitting > 0)
    reason = "not all of its tasks fit at once";
  else if (counts.fitting == 0)
    reason = "no worker has room for one task";
  else if (job->next_waiting < job->task_count
           && job->tasks[job->next_waiting].since_ms > s->now_ms)
    reason = "it waits before it is restarted";
  json_object_set_new (json, "reason", json_string (reason));
  json_object_set_new (json, "team_share",
                       json_real (quota_team_share (&s->quota, job->team_index,
                                                    s->fleet.total)));
  json_object_set_new (json, "class_share",
                       json_real (quota_class_share (
                           &s->quota, job->row->spec->class, s->fleet.total)));
  return json;
}

json_t *
sched_explain (const sched_t *s, const char *id)
{
  const sched_job_t *job = g_hash_table_lookup (s->jobs, id);
  json_t *events = explain_list (&s->explain, id);
  if ((job == NULL || job->row == NULL) && json_array_size (events) == 0)
    {
      json_decref (events);
      return NULL;
    }
  json_t *json = json_pack ("{s:s,s:s,s:o}", "id", id, "zone", s->zone,
                            "events", events);
  const char *duty = sched_duty_entry (s);
  if (duty != NULL)
    json_object_set_new (json, "duty", json_string (duty));
  if (job == NULL || job->row == NULL)
    return json;
  json_object_set_new (json, "state",
                       json_string (job_state_name (job->row->state)));
  json_object_set_new (json, "reason", json_string (job->row->reason));
  if (job->waiting > 0)
    json_object_set_new (json, "waits", waits_json (s, job));
  return json;
}

static json_t *
workers_json (const sched_t *s)
{
  static const char *const states[] = { "live", "leaving", "gone" };
  json_t *list = json_array ();
  for (guint i = 0; i < s->workers->len; i++)
    {
      const sched_worker_t *worker = s->workers->pdata[i];
      json_t *item = json_pack (
          "{s:s,s:s,s:s,s:o,s:o,s:I,s:b}", "id", worker->id, "rack",
          worker->rack != NULL ? worker->rack : "", "state",
          worker->listed ? states[worker->state] : "unlisted", "capacity",
          resource_to_json (worker->capacity), "free",
          resource_to_json (fleet_free_capacity (&s->fleet, i)), "tasks",
          (json_int_t)worker->assignments->len, "held_back",
          worker->health.held_back);
      if (worker->answered_ms >= 0)
        json_object_set_new (
            item, "answered_ms_ago",
            json_integer (clk_now_ms (s->clock) - worker->answered_ms));
      json_array_append_new (list, item);
    }
  return list;
}

json_t *
sched_status (const sched_t *s)
{
  uint32_t waiting = 0;
  uint32_t assigned = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, s->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      waiting += ((sched_job_t *)value)->waiting;
      assigned += ((sched_job_t *)value)->assigned;
    }
  const char *duty = sched_duty_entry (s);
  json_t *json = json_pack (
      "{s:s,s:s,s:b,s:I,s:I,s:I,s:o,s:o,s:s,s:o}", "zone", s->zone, "duty",
      duty != NULL ? duty : "", "ready", s->ready, "rows_age_ms",
      (json_int_t)(s->ready ? clk_now_ms (s->clock) - s->scan_done_ms : -1),
      "tasks_waiting", (json_int_t)waiting, "tasks_assigned",
      (json_int_t)assigned, "total", resource_to_json (s->fleet.total), "used",
      resource_to_json (s->fleet.used), "packing", s->pack_rule->name,
      "workers", workers_json (s));
  if (s->gang.job != NULL)
    json_object_set_new (
        json, "reservation",
        json_pack ("{s:s,s:I,s:I}", "job", s->gang.job, "tasks",
                   (json_int_t)s->gang.task_count, "in_ms",
                   (json_int_t)(s->gang.ready_ms - clk_now_ms (s->clock))));
  return json;
}

const char *
sched_job_team (const sched_t *s, const char *id)
{
  const sched_job_t *job = g_hash_table_lookup (s->jobs, id);
  return job != NULL && job->row != NULL ? job->row->spec->team : NULL;
}
