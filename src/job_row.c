#include "job.h"

#include <string.h>

static void
job_part_free (gpointer data)
{
  job_part_t *part = data;
  g_free (part->zone);
  g_free (part);
}

job_row_t *
job_row_new (job_spec_t *spec, const char *submit_id, int64_t created_ms)
{
  job_row_t *row = g_new0 (job_row_t, 1);
  row->spec = spec;
  row->reason = g_strdup ("");
  row->submit_id = g_strdup (submit_id);
  row->created_ms = created_ms;
  row->revision = 1;
  row->parts = g_ptr_array_new_with_free_func (job_part_free);
  return row;
}

void
job_row_add_part (job_row_t *row, const char *zone, uint32_t first_task,
                  uint32_t task_count)
{
  job_part_t *part = g_new0 (job_part_t, 1);
  part->zone = g_strdup (zone);
  part->first_task = first_task;
  part->task_count = task_count;
  g_ptr_array_add (row->parts, part);
}

job_part_t *
job_row_find_part (const job_row_t *row, const char *zone)
{
  for (guint i = 0; i < row->parts->len; i++)
    {
      job_part_t *part = g_ptr_array_index (row->parts, i);
      if (strcmp (part->zone, zone) == 0)
        return part;
    }
  return NULL;
}

void
job_row_free (job_row_t *row)
{
  if (row == NULL)
    return;
  job_spec_free (row->spec);
  g_free (row->reason);
  g_free (row->submit_id);
  g_ptr_array_unref (row->parts);
  g_free (row);
}

/* Sets ERROR, unless a more specific one is set already.  */
static void
set_unreadable_row (GError **error, const char *what)
{
  if (error != NULL && *error == NULL)
    g_set_error (error, ERROR_DOMAIN, ERR_INTERNAL, "unreadable %s row", what);
}

job_row_t *
job_row_parse (const json_t *json, GError **error)
{
  job_spec_t *spec = job_spec_parse (json_object_get (json, "spec"), error);
  if (spec == NULL)
    return NULL;
  const char *submit_id
      = json_string_value (json_object_get (json, "submit_id"));
  job_row_t *row = job_row_new (
      spec, submit_id ? submit_id : "",
      json_integer_value (json_object_get (json, "created_ms")));
  row->ended_ms = json_integer_value (json_object_get (json, "ended_ms"));
  row->revision = json_integer_value (json_object_get (json, "revision"));
  const char *reason = json_string_value (json_object_get (json, "reason"));
  if (reason != NULL)
    {
      g_free (row->reason);
      row->reason = g_strdup (reason);
    }
  const char *state = json_string_value (json_object_get (json, "state"));
  row->state = JOB_STATE_COUNT;
  for (job_state_t i = 0; state != NULL && i < JOB_STATE_COUNT; i++)
    if (strcmp (job_state_name (i), state) == 0)
      row->state = i;
  const char *zone;
  json_t *value;
  json_object_foreach (json_object_get (json, "parts"), zone, value)
  {
    job_row_add_part (
        row, zone,
        (uint32_t)json_integer_value (json_object_get (value, "first")),
        (uint32_t)json_integer_value (json_object_get (value, "tasks")));
    job_part_t *part = g_ptr_array_index (row->parts, row->parts->len - 1);
    part->all_done = json_is_true (json_object_get (value, "done"));
    part->failed = json_is_true (json_object_get (value, "failed"));
  }
  if (row->state < JOB_STATE_COUNT && row->spec->id != NULL)
    return row;
  set_unreadable_row (error, "job");
  job_row_free (row);
  return NULL;
}

json_t *
job_row_to_json (const job_row_t *row, const char *write_id)
{
  json_t *parts = json_object ();
  for (guint i = 0; i < row->parts->len; i++)
    {
      const job_part_t *part = g_ptr_array_index (row->parts, i);
      json_object_set_new (parts, part->zone,
                           json_pack ("{s:I,s:I,s:b,s:b}", "first",
                                      (json_int_t)part->first_task, "tasks",
                                      (json_int_t)part->task_count, "done",
                                      part->all_done, "failed", part->failed));
    }
  return json_pack (
      "{s:o,s:s,s:s,s:s,s:s,s:o,s:s,s:I,s:I,s:I,s:s}", "spec",
      job_spec_to_json (row->spec), "class", job_class_name (row->spec->class),
      "team", row->spec->team, "state", job_state_name (row->state), "reason",
      row->reason, "parts", parts, "submit_id", row->submit_id, "created_ms",
      (json_int_t)row->created_ms, "ended_ms", (json_int_t)row->ended_ms,
      "revision", (json_int_t)row->revision, "write_id", write_id);
}

part_row_t *
part_row_new (uint32_t first_task, uint32_t task_count)
{
  part_row_t *row = g_new0 (part_row_t, 1);
  row->first_task = first_task;
  row->tasks
      = g_array_sized_new (FALSE, TRUE, sizeof (part_task_t), task_count);
  part_task_t task = { .worker = -1, .state = TASK_WAITING };
  for (uint32_t i = 0; i < task_count; i++)
    g_array_append_val (row->tasks, task);
  row->worker_ids = g_ptr_array_new_with_free_func (g_free);
  row->failed_on = g_ptr_array_new_with_free_func (g_free);
  return row;
}

void
part_row_free (part_row_t *row)
{
  if (row == NULL)
    return;
  g_array_unref (row->tasks);
  g_ptr_array_unref (row->worker_ids);
  g_ptr_array_unref (row->failed_on);
  g_free (row);
}

static bool
parse_names (const json_t *list, GPtrArray *names)
{
  size_t i;
  json_t *name;
  json_array_foreach (list, i, name)
  {
    if (!json_is_string (name))
      return false;
    g_ptr_array_add (names, g_strdup (json_string_value (name)));
  }
  return true;
}

static json_t *
names_to_json (const GPtrArray *names)
{
  json_t *list = json_array ();
  for (guint i = 0; i < names->len; i++)
    json_array_append_new (list, json_string (names->pdata[i]));
  return list;
}

part_row_t *
part_row_parse (const json_t *json, GError **error)
{
  const json_t *generations = json_object_get (json, "generation");
  const json_t *workers = json_object_get (json, "worker");
  const json_t *failures = json_object_get (json, "failures");
  const json_t *revisions = json_object_get (json, "revision");
  const char *states = json_string_value (json_object_get (json, "state"));
  size_t count = json_array_size (generations);
  if (states == NULL || strlen (states) != count
      || json_array_size (workers) != count)
    {
      set_unreadable_row (error, "part");
      return NULL;
    }
  part_row_t *row = part_row_new (
      (uint32_t)json_integer_value (json_object_get (json, "first")),
      (uint32_t)count);
  bool readable
      = parse_names (json_object_get (json, "workers"), row->worker_ids)
        && parse_names (json_object_get (json, "failed_on"), row->failed_on);
  for (size_t i = 0; i < count; i++)
    {
      part_task_t *task = &g_array_index (row->tasks, part_task_t, i);
      task->generation
          = (uint32_t)json_integer_value (json_array_get (generations, i));
      task->worker = (int32_t)json_integer_value (json_array_get (workers, i));
      task->failure_count
          = (uint16_t)json_integer_value (json_array_get (failures, i));
      task->revision
          = (uint16_t)json_integer_value (json_array_get (revisions, i));
      task->state = states[i];
      readable = readable && strchr ("waefx", states[i]) != NULL
                 && task->worker < (int32_t)row->worker_ids->len
                 && (task->state == TASK_ASSIGNED) == (task->worker >= 0);
    }
  if (readable)
    return row;
  set_unreadable_row (error, "part");
  part_row_free (row);
  return NULL;
}

json_t *
part_row_to_json (const part_row_t *row, const char *write_id)
{
  json_t *generations = json_array ();
  json_t *workers = json_array ();
  json_t *failures = json_array ();
  json_t *revisions = json_array ();
  bool any_update = false;
  bool any_failure = false;
  char *states = g_new0 (char, row->tasks->len + 1);
  for (guint i = 0; i < row->tasks->len; i++)
    {
      const part_task_t *task = &g_array_index (row->tasks, part_task_t, i);
      json_array_append_new (generations, json_integer (task->generation));
      json_array_append_new (workers, json_integer (task->worker));
      json_array_append_new (failures, json_integer (task->failure_count));
      any_failure = any_failure || task->failure_count > 0;
      json_array_append_new (revisions, json_integer (task->revision));
      any_update = any_update || task->revision > 1;
      states[i] = task->state;
    }
  json_t *json = json_pack (
      "{s:I,s:o,s:o,s:o,s:s,s:o,s:s}", "first", (json_int_t)row->first_task,
      "generation", generations, "worker", workers, "workers",
      names_to_json (row->worker_ids), "state", states, "failed_on",
      names_to_json (row->failed_on), "write_id", write_id);
  if (any_failure)
    json_object_set (json, "failures", failures);
  json_decref (failures);
  if (any_update)
    json_object_set (json, "revision", revisions);
  json_decref (revisions);
  g_free (states);
  return json;
}

static void
assignment_clear (gpointer data)
{
  worker_assignment_t *assignment = data;
  g_free (assignment->task);
}

worker_row_t *
worker_row_new (int64_t incarnation)
{
  worker_row_t *row = g_new0 (worker_row_t, 1);
  row->incarnation = incarnation;
  row->assignments = g_array_new (FALSE, TRUE, sizeof (worker_assignment_t));
  g_array_set_clear_func (row->assignments, assignment_clear);
  return row;
}

void
worker_row_assign (worker_row_t *row, const char *task, uint32_t generation,
                   resource_t size)
{
  worker_assignment_t assignment
      = { .task = g_strdup (task), .generation = generation, .size = size };
  g_array_append_val (row->assignments, assignment);
}

void
worker_row_free (worker_row_t *row)
{
  if (row == NULL)
    return;
  g_array_unref (row->assignments);
  g_free (row);
}

worker_row_t *
worker_row_parse (const json_t *json, GError **error)
{
  const json_t *list = json_object_get (json, "assignments");
  const json_t *incarnation = json_object_get (json, "incarnation");
  if (!json_is_array (list) || !json_is_integer (incarnation))
    {
      set_unreadable_row (error, "worker");
      return NULL;
    }
  worker_row_t *row = worker_row_new (json_integer_value (incarnation));
  row->held_back = json_is_true (json_object_get (json, "held"));
  size_t i;
  json_t *item;
  json_array_foreach (list, i, item)
  {
    const char *task;
    json_int_t generation, cpu_millis, memory_mib, accelerators;
    if (json_unpack (item, "[sIIII!]", &task, &generation, &cpu_millis,
                     &memory_mib, &accelerators)
        != 0)
      {
        set_unreadable_row (error, "worker");
        worker_row_free (row);
        return NULL;
      }
    resource_t size = { cpu_millis, memory_mib, accelerators };
    worker_row_assign (row, task, (uint32_t)generation, size);
  }
  return row;
}

json_t *
worker_row_to_json (const worker_row_t *row, const char *write_id)
{
  json_t *list = json_array ();
  for (guint i = 0; i < row->assignments->len; i++)
    {
      const worker_assignment_t *item
          = &g_array_index (row->assignments, worker_assignment_t, i);
      json_array_append_new (
          list, json_pack ("[sIIII]", item->task, (json_int_t)item->generation,
                           (json_int_t)item->size.cpu_millis,
                           (json_int_t)item->size.memory_mib,
                           (json_int_t)item->size.accelerators));
    }
  return json_pack ("{s:I,s:o,s:b,s:s}", "incarnation",
                    (json_int_t)row->incarnation, "assignments", list, "held",
                    row->held_back, "write_id", write_id);
}
