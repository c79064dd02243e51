#include "sched_internal.h"

#include <string.h>

/* Ids kept in a changes row; a reader that fell further behind scans all
   rows.  */
#define CHANGES_KEPT 200

void
sched_job_free (gpointer data)
{
  sched_job_t *job = data;
  g_free (job->id);
  job_row_free (job->row);
  g_free (job->tasks);
  if (job->failed_on != NULL)
    g_ptr_array_unref (job->failed_on);
  g_free (job);
}

sched_job_t *
sched_job_get (sched_t *s, const char *id, bool create)
{
  sched_job_t *job = g_hash_table_lookup (s->jobs, id);
  if (job != NULL || !create)
    return job;
  job = g_new0 (sched_job_t, 1);
  job->id = g_strdup (id);
  job->first_seen_ms = s->now_ms;
  g_hash_table_insert (s->jobs, job->id, job);
  return job;
}

static void
task_ref_clear (gpointer data)
{
  sched_task_ref_t *ref = data;
  g_free (ref->task);
}

static void
unknown_task_clear (gpointer data)
{
  sched_unknown_task_t *unknown = data;
  g_free (unknown->task);
}

void
sched_worker_free (gpointer data)
{
  sched_worker_t *worker = data;
  g_free (worker->id);
  g_free (worker->rack);
  g_free (worker->url);
  g_array_unref (worker->assignments);
  g_array_unref (worker->acks);
  g_array_unref (worker->unknown_tasks);
  g_free (worker);
}

sched_worker_t *
sched_worker_get (sched_t *s, const char *id, bool create)
{
  sched_worker_t *worker = g_hash_table_lookup (s->workers_by_id, id);
  if (worker != NULL || !create)
    return worker;
  worker = g_new0 (sched_worker_t, 1);
  worker->id = g_strdup (id);
  worker->index = fleet_add_worker (&s->fleet);
  worker->gone_since_ms = -1;
  worker->answered_ms = -1;
  worker->assignments = g_array_new (FALSE, TRUE, sizeof (sched_assignment_t));
  worker->acks = g_array_new (FALSE, TRUE, sizeof (sched_task_ref_t));
  g_array_set_clear_func (worker->acks, task_ref_clear);
  worker->unknown_tasks
      = g_array_new (FALSE, TRUE, sizeof (sched_unknown_task_t));
  g_array_set_clear_func (worker->unknown_tasks, unknown_task_clear);
  g_ptr_array_add (s->workers, worker);
  g_hash_table_insert (s->workers_by_id, worker->id, worker);
  return worker;
}

void
sched_worker_refresh (sched_t *s, sched_worker_t *worker)
{
  if (!worker->row_in_txn && worker->assignments->len == 0
      && worker->row_incarnation < worker->incarnation)
    worker->row_incarnation = worker->incarnation;
  bool usable = worker->listed && worker->state == SCHED_LIVE
                && worker->row_incarnation == worker->incarnation
                && s->now_ms >= worker->avoid_until_ms
                && worker_health_may_place (&worker->health, s->now_ms);
  const fleet_worker_t *current = fleet_worker (&s->fleet, worker->index);
  if (current->usable != usable
      || current->cpu_millis != worker->capacity.cpu_millis
      || current->memory_mib != worker->capacity.memory_mib
      || current->accelerators != worker->capacity.accelerators)
    fleet_set_worker (&s->fleet, worker->index, worker->capacity, worker->rack,
                      usable);
}

char *
sched_task_name (const sched_job_t *job, uint32_t index)
{
  return g_strdup_printf ("%s/%u", job->id, job->first_task + index);
}

sched_task_t *
sched_task_find (sched_job_t *job, uint32_t number)
{
  if (job == NULL || number < job->first_task
      || number - job->first_task >= job->task_count)
    return NULL;
  return &job->tasks[number - job->first_task];
}

sched_assignment_t *
sched_assignment_find (sched_worker_t *worker, const sched_job_t *job,
                       uint32_t number, uint32_t generation)
{
  for (guint i = 0; i < worker->assignments->len; i++)
    {
      sched_assignment_t *assignment
          = &g_array_index (worker->assignments, sched_assignment_t, i);
      if (assignment->job == job && assignment->number == number
          && assignment->generation == generation)
        return assignment;
    }
  return NULL;
}

static uint32_t *
state_count (sched_job_t *job, char state)
{
  switch (state)
    {
    case TASK_WAITING:
      return &job->waiting;
    case TASK_ASSIGNED:
      return &job->assigned;
    case TASK_FAILED:
      return &job->failed;
    default:
      return &job->done;
    }
}

void
sched_task_set_state (sched_job_t *job, sched_task_t *task, char state)
{
  --*state_count (job, task->state);
  task->state = state;
  ++*state_count (job, state);
  uint32_t index = (uint32_t)(task - job->tasks);
  if (state == TASK_WAITING && index < job->next_waiting)
    job->next_waiting = index;
}

void
sched_queue_reload (sched_t *s, char *key)
{
  g_hash_table_add (s->reload_keys, key);
}

/* Whether a row that was read at VERSION brings nothing newer than memory,
   which holds MEMORY_VERSION.  A row that is gone (VERSION 0) is newer unless
   memory was changed after the read was sent.  */
static bool
read_is_outdated (int64_t memory_version, uint64_t memory_stamp,
                  int64_t version, uint64_t sent_stamp)
{
  if (version == memory_version)
    return true;
  if (version > memory_version)
    return false;
  return version > 0 || memory_stamp >= sent_stamp;
}

static void
apply_job (sched_t *s, const sched_row_t *row, const char *id, uint64_t stamp)
{
  sched_job_t *job = sched_job_get (s, id, row->version > 0);
  if (job == NULL || job->row_in_txn
      || read_is_outdated (job->row_version, job->row_stamp, row->version,
                           stamp))
    return;
  job_row_t *parsed = NULL;
  if (row->version > 0)
    {
      parsed = job_row_parse (row->value, NULL);
      if (parsed == NULL)
        return;
    }
  job_row_free (job->row);
  job->row = parsed;
  job->row_version = row->version;
  job->row_stamp = ++s->stamp;
  if (parsed == NULL)
    return;
  job->team_index = quota_team_index (&s->quota, parsed->spec->team);
  job->task_size = estimate_reserved_size (&job->estimate, parsed->spec->size,
                                           parsed->spec->throttleable);
  job->stopping = parsed->state != JOB_ACCEPTED;
  /* The job row may have been read before the part row was written.  */
  if (job->part_version == 0 && job_row_find_part (parsed, s->zone) != NULL
      && !job_row_find_part (parsed, s->zone)->all_done)
    sched_queue_reload (s, part_key (s->zone, id));
}

/* Sets one task from its part row; the phase of an unchanged assignment is
   kept.  */
static void
apply_task (sched_t *s, sched_task_t *task, const part_task_t *row_task,
            sched_worker_t *worker)
{
  bool same = task->state == row_task->state
              && task->generation == row_task->generation
              && task->worker == worker;
  task->failures = row_task->failure_count;
  task->revision = MAX (row_task->revision, 1);
  if (same)
    return;
  task->state = row_task->state;
  task->generation = row_task->generation;
  task->worker = worker;
  task->phase = worker != NULL ? PHASE_UNCONFIRMED : PHASE_NONE;
  task->since_ms = worker != NULL ? s->now_ms : 0;
  task->start_in_flight = false;
  task->stop_found_ended = false;
}

static void
apply_part_tasks (sched_t *s, sched_job_t *job, const part_row_t *part)
{
  if (job->task_count != part->tasks->len)
    {
      job->tasks = g_renew (sched_task_t, job->tasks, part->tasks->len);
      for (uint32_t i = job->task_count; i < part->tasks->len; i++)
        memset (&job->tasks[i], 0, sizeof job->tasks[i]);
      job->task_count = part->tasks->len;
    }
  job->first_task = part->first_task;
  job->waiting = job->assigned = job->done = job->failed = 0;
  job->next_waiting = 0;
  for (uint32_t i = 0; i < job->task_count; i++)
    {
      const part_task_t *row_task
          = &g_array_index (part->tasks, part_task_t, i);
      sched_worker_t *worker
          = row_task->worker >= 0 ? sched_worker_get (
                s, part->worker_ids->pdata[row_task->worker], true)
                                  : NULL;
      apply_task (s, &job->tasks[i], row_task, worker);
      ++*state_count (job, job->tasks[i].state);
    }
  if (job->failed_on != NULL)
    g_ptr_array_unref (job->failed_on);
  job->failed_on
      = part->failed_on->len > 0 ? g_ptr_array_ref (part->failed_on) : NULL;
}

static void
apply_part (sched_t *s, const sched_row_t *row, const char *id, uint64_t stamp)
{
  sched_job_t *job = sched_job_get (s, id, row->version > 0);
  if (job == NULL || job->part_in_txn
      || read_is_outdated (job->part_version, job->part_stamp, row->version,
                           stamp))
    return;
  if (row->version == 0)
    {
      job->part_version = 0;
      job->waiting = job->assigned = job->done = job->failed = 0;
      job->task_count = 0;
      g_clear_pointer (&job->tasks, g_free);
      job->part_stamp = ++s->stamp;
      return;
    }
  part_row_t *part = part_row_parse (row->value, NULL);
  if (part == NULL)
    return;
  apply_part_tasks (s, job, part);
  part_row_free (part);
  job->part_version = row->version;
  job->part_stamp = ++s->stamp;
  if (job->row == NULL)
    sched_queue_reload (s, job_key (id));
}

static void
release_assignments (sched_t *s, sched_worker_t *worker)
{
  for (guint i = 0; i < worker->assignments->len; i++)
    {
      const sched_assignment_t *assignment
          = &g_array_index (worker->assignments, sched_assignment_t, i);
      if (!assignment->freed)
        fleet_release (&s->fleet, worker->index,
                       sched_assignment_size (assignment));
    }
  worker->unwritten_ends = 0;
}

static void
add_assignment (sched_t *s, sched_worker_t *worker,
                const worker_assignment_t *row_assignment,
                const GArray *old_assignments)
{
  char id[JOB_ID_MAX_BYTES + 1];
  uint32_t number;
  if (!task_name_split (row_assignment->task, id, &number))
    return;
  sched_assignment_t assignment
      = { .job = sched_job_get (s, id, true),
          .number = number,
          .generation = row_assignment->generation,
          .cpu_millis = (int32_t)row_assignment->size.cpu_millis,
          .memory_mib = (int32_t)row_assignment->size.memory_mib,
          .accelerators = (int32_t)row_assignment->size.accelerators };
  for (guint i = 0; i < old_assignments->len; i++)
    {
      const sched_assignment_t *old
          = &g_array_index (old_assignments, sched_assignment_t, i);
      if (old->job == assignment.job && old->number == number
          && old->generation == assignment.generation)
        assignment.freed = old->freed;
    }
  if (assignment.freed)
    worker->unwritten_ends++;
  else
    fleet_allocate (&s->fleet, worker->index, row_assignment->size);
  g_array_append_val (worker->assignments, assignment);
}

static void
apply_worker (sched_t *s, const sched_row_t *row, const char *id,
              uint64_t stamp)
{
  sched_worker_t *worker = sched_worker_get (s, id, row->version > 0);
  if (worker == NULL || worker->row_in_txn)
    return;
  worker->row_read_stamp = MAX (worker->row_read_stamp, stamp);
  if (read_is_outdated (worker->row_version, worker->row_stamp, row->version,
                        stamp))
    return;
  worker_row_t *parsed = row->version > 0 ? worker_row_parse (row->value, NULL)
                                          : worker_row_new (0);
  if (parsed == NULL)
    return;
  GArray *old_assignments = worker->assignments;
  release_assignments (s, worker);
  worker->assignments = g_array_sized_new (
      FALSE, TRUE, sizeof (sched_assignment_t), parsed->assignments->len);
  for (guint i = 0; i < parsed->assignments->len; i++)
    add_assignment (
        s, worker,
        &g_array_index (parsed->assignments, worker_assignment_t, i),
        old_assignments);
  g_array_unref (old_assignments);
  worker->row_version = row->version;
  worker->row_incarnation = parsed->incarnation;
  worker->incarnation = MAX (worker->incarnation, parsed->incarnation);
  worker_health_set_held_back (&worker->health, parsed->held_back, s->now_ms);
  worker->row_stamp = ++s->stamp;
  worker_row_free (parsed);
  sched_worker_refresh (s, worker);
}

sched_changes_t *
sched_changes_get (sched_t *s, const char *zone)
{
  sched_changes_t *changes = g_hash_table_lookup (s->changes, zone);
  if (changes != NULL)
    return changes;
  changes = g_new0 (sched_changes_t, 1);
  changes->zone = g_strdup (zone);
  changes->version = -1;
  g_queue_init (&changes->ids);
  g_hash_table_insert (s->changes, changes->zone, changes);
  return changes;
}

json_t *
sched_changes_json (const sched_changes_t *changes, const char *write_id)
{
  json_t *ids = json_array ();
  for (const GList *link = changes->ids.head; link != NULL; link = link->next)
    json_array_append_new (ids, json_string (link->data));
  return json_pack ("{s:I,s:o,s:s}", "sequence", (json_int_t)changes->sequence,
                    "jobs", ids, "write_id", write_id);
}

/* Takes over this entry's own changes row for ZONE.  */
static void
apply_own_changes (sched_t *s, const sched_row_t *row, const char *zone)
{
  sched_changes_t *changes = sched_changes_get (s, zone);
  if (changes->in_txn || row->version <= changes->version)
    return;
  changes->version = row->version;
  changes->sequence
      = json_integer_value (json_object_get (row->value, "sequence"));
  g_queue_clear_full (&changes->ids, g_free);
  size_t i;
  json_t *id;
  json_array_foreach (json_object_get (row->value, "jobs"), i, id)
  {
    const char *name = json_string_value (id);
    if (name == NULL || !job_id_valid (name))
      continue;
    g_queue_push_tail (&changes->ids, g_strdup (name));
    /* A transaction of an earlier process of this entry, or one whose outcome
       stayed unknown, may have been committed late.  */
    if (!s->scanning && strcmp (zone, s->zone) == 0)
      {
        sched_queue_reload (s, job_key (name));
        sched_queue_reload (s, part_key (s->zone, name));
      }
  }
}

/* Reloads the jobs that another entry newly listed in its changes row.  */
static void
apply_changes (sched_t *s, const sched_row_t *row)
{
  const json_t *ids = json_object_get (row->value, "jobs");
  int64_t sequence
      = json_integer_value (json_object_get (row->value, "sequence"));
  int64_t *seen_sequence = g_hash_table_lookup (s->seen_sequences, row->key);
  if (seen_sequence == NULL)
    {
      seen_sequence = g_new0 (int64_t, 1);
      g_hash_table_insert (s->seen_sequences, g_strdup (row->key),
                           seen_sequence);
    }
  int64_t new_count = sequence - *seen_sequence;
  *seen_sequence = sequence;
  if (s->scanning || new_count <= 0)
    return;
  int64_t count = (int64_t)json_array_size (ids);
  if (new_count > count)
    s->scan_wanted = true;
  for (int64_t i = MAX (0, count - new_count); i < count; i++)
    {
      const char *id = json_string_value (json_array_get (ids, (size_t)i));
      if (id == NULL || !job_id_valid (id))
        continue;
      sched_queue_reload (s, job_key (id));
      sched_queue_reload (s, part_key (s->zone, id));
    }
}

static resource_t
parse_resource (const json_t *json)
{
  resource_t size
      = { json_integer_value (json_object_get (json, "cpu_millis")),
          json_integer_value (json_object_get (json, "memory_mib")),
          json_integer_value (json_object_get (json, "accelerators")) };
  return size;
}

static void
apply_zone (sched_t *s, const sched_row_t *row, const char *name)
{
  sched_zone_t *zone = g_hash_table_lookup (s->zones, name);
  if (zone == NULL)
    {
      zone = g_new0 (sched_zone_t, 1);
      zone->zone = g_strdup (name);
      zone->shapes = g_array_new (FALSE, TRUE, sizeof (zone_shape_t));
      g_hash_table_insert (s->zones, zone->zone, zone);
    }
  if (row->version <= zone->version)
    return;
  zone->version = row->version;
  zone->free = parse_resource (json_object_get (row->value, "free"));
  zone->waiting = parse_resource (json_object_get (row->value, "waiting"));
  g_array_set_size (zone->shapes, 0);
  size_t i;
  json_t *item;
  json_array_foreach (json_object_get (row->value, "shapes"), i, item)
  {
    zone_shape_t shape = { .capacity = parse_resource (item),
                           .worker_count = (uint32_t)json_integer_value (
                               json_object_get (item, "count")) };
    g_array_append_val (zone->shapes, shape);
  }
}

/* Returns what follows PREFIX and, if ZONE is set, "ZONE/" in KEY, or NULL if
   KEY does not start with these.  */
static const char *
skip_prefix (const char *key, const char *prefix, const char *zone)
{
  size_t length = strlen (prefix);
  if (strncmp (key, prefix, length) != 0)
    return NULL;
  key += length;
  if (zone == NULL)
    return key;
  length = strlen (zone);
  if (strncmp (key, zone, length) != 0 || key[length] != '/')
    return NULL;
  return key + length + 1;
}

void
sched_row_apply (sched_t *s, const sched_row_t *row, uint64_t stamp)
{
  const char *rest;
  if ((rest = skip_prefix (row->key, "job/", NULL)) != NULL)
    apply_job (s, row, rest, stamp);
  else if ((rest = skip_prefix (row->key, "part/", s->zone)) != NULL)
    apply_part (s, row, rest, stamp);
  else if ((rest = skip_prefix (row->key, "worker/", s->zone)) != NULL)
    apply_worker (s, row, rest, stamp);
  else if ((rest = skip_prefix (row->key, "zone/", NULL)) != NULL)
    {
      if (row->version > 0)
        apply_zone (s, row, rest);
    }
  else if ((rest = skip_prefix (row->key, "changes/", NULL)) != NULL)
    {
      const char *entry = strchr (rest, '/');
      if (entry == NULL)
        return;
      char *zone = g_strndup (rest, (gsize)(entry - rest));
      if (strcmp (entry + 1, s->entry_id) == 0)
        apply_own_changes (s, row, zone);
      else if (strcmp (zone, s->zone) == 0 && row->version > 0)
        apply_changes (s, row);
      g_free (zone);
    }
}

/* Whether the task's part row names WORKER and the same generation.  */
static bool
assignment_matches (const sched_worker_t *worker,
                    const sched_assignment_t *assignment)
{
  const sched_task_t *task
      = sched_task_find (assignment->job, assignment->number);
  return task != NULL && task->worker == worker
         && task->generation == assignment->generation;
}

void
sched_reload_mismatches (sched_t *s)
{
  for (guint i = 0; i < s->workers->len; i++)
    {
      sched_worker_t *worker = s->workers->pdata[i];
      for (guint j = 0; j < worker->assignments->len && !worker->row_in_txn;
           j++)
        {
          const sched_assignment_t *assignment
              = &g_array_index (worker->assignments, sched_assignment_t, j);
          if (assignment->job->part_in_txn
              || assignment_matches (worker, assignment))
            continue;
          sched_queue_reload (s, worker_key (s->zone, worker->id));
          sched_queue_reload (s, part_key (s->zone, assignment->job->id));
        }
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, s->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      sched_job_t *job = value;
      if (job->assigned == 0 || job->part_in_txn)
        continue;
      for (uint32_t i = 0; i < job->task_count; i++)
        {
          sched_worker_t *worker = job->tasks[i].worker;
          if (worker == NULL || worker->row_in_txn
              || sched_assignment_find (worker, job, job->first_task + i,
                                        job->tasks[i].generation)
                     != NULL)
            continue;
          sched_queue_reload (s, worker_key (s->zone, worker->id));
          sched_queue_reload (s, part_key (s->zone, job->id));
        }
    }
}

json_t *
sched_part_json (sched_job_t *job, const char *write_id)
{
  part_row_t *part = part_row_new (job->first_task, job->task_count);
  for (uint32_t i = 0; i < job->task_count; i++)
    if (job->tasks[i].worker != NULL)
      job->tasks[i].worker->part_row_position = 0;
  for (uint32_t i = 0; i < job->task_count; i++)
    {
      const sched_task_t *task = &job->tasks[i];
      part_task_t *out = &g_array_index (part->tasks, part_task_t, i);
      out->generation = task->generation;
      out->failure_count = task->failures;
      out->revision = task->revision;
      out->state = task->state;
      if (task->worker == NULL)
        continue;
      if (task->worker->part_row_position == 0)
        {
          g_ptr_array_add (part->worker_ids, g_strdup (task->worker->id));
          task->worker->part_row_position = part->worker_ids->len;
        }
      out->worker = (int32_t)task->worker->part_row_position - 1;
    }
  for (guint i = 0; job->failed_on != NULL && i < job->failed_on->len; i++)
    g_ptr_array_add (part->failed_on, g_strdup (job->failed_on->pdata[i]));
  json_t *json = part_row_to_json (part, write_id);
  part_row_free (part);
  return json;
}

json_t *
sched_worker_json (sched_worker_t *worker, const char *write_id)
{
  worker_row_t *row = worker_row_new (worker->row_incarnation);
  row->held_back = worker->health.held_back;
  for (guint i = 0; i < worker->assignments->len; i++)
    {
      const sched_assignment_t *assignment
          = &g_array_index (worker->assignments, sched_assignment_t, i);
      char name[JOB_ID_MAX_BYTES + 16];
      g_snprintf (name, sizeof name, "%s/%u", assignment->job->id,
                  assignment->number);
      worker_row_assign (row, name, assignment->generation,
                         sched_assignment_size (assignment));
    }
  json_t *json = worker_row_to_json (row, write_id);
  worker_row_free (row);
  return json;
}
