#include "sched_internal.h"

#include <string.h>

#define UNPLACEABLE_CHECK_PERIOD_MS 1000
/* A job that waits longer for capacity moves to a zone that has some.  */
#define MOVE_AFTER_MS 10000
/* Rows of ended jobs are kept this long for operators.  */
#define PART_ROW_RETENTION_MS 600000
/* The job row is kept longer than the part rows, which every zone deletes by
   itself.  */
#define JOB_ROW_RETENTION_MS (PART_ROW_RETENTION_MS + 120000)
#define MAX_DELETIONS 8
#define ROLLING_UPDATE_PERIOD_MS 500
/* The next task of a service is replaced when all have run this long.  */
#define ROLLING_UPDATE_HEALTHY_MS 2000

static op_t *
add_op (sched_t *s, op_kind_t kind, sched_job_t *job)
{
  op_t op = { .kind = kind, .job = job };
  g_array_append_val (s->plan_txn.ops, op);
  return &g_array_index (s->plan_txn.ops, op_t, s->plan_txn.ops->len - 1);
}

/* The other zone in which most tasks of JOB fit now, at least MIN_FIT_NOW, and
   in which NEED would fit if it were empty; NULL if there is none.  *UNKNOWN
   is set if the capacity of a zone is not known.  */
static const char *
choose_other_zone (const sched_t *s, const sched_job_t *job, uint32_t need,
                   double min_fit_now, bool *unknown)
{
  GPtrArray *zones = sched_allowed_zones (s, job->row->spec);
  const char *best = NULL;
  double best_fit_now = 0.0;
  for (guint i = 0; i < zones->len; i++)
    {
      resource_t largest = { 0 };
      const char *zone = zones->pdata[i];
      if (strcmp (zone, s->zone) == 0)
        continue;
      int64_t fit
          = sched_zone_fit_if_empty (s, zone, job->row->spec, &largest);
      if (fit < 0)
        *unknown = true;
      double fit_now = sched_zone_fit_now (s, zone, job->task_size);
      if (fit < (int64_t)need || fit_now < min_fit_now
          || (best != NULL && fit_now <= best_fit_now))
        continue;
      best = zone;
      best_fit_now = fit_now;
    }
  g_ptr_array_unref (zones);
  return best;
}

/* Plans the move of the unassigned part of JOB to ZONE: both part rows, the
   job row and the changes row of the other zone are written in one
   transaction.  */
static void
move_part (sched_t *s, sched_job_t *job, const char *zone)
{
  sched_changes_t *changes = sched_changes_get (s, zone);
  if (changes->version < 0)
    {
      sched_queue_reload (
          s, g_strdup_printf ("changes/%s/%s", zone, s->entry_id));
      return;
    }
  if (changes->in_txn)
    return;
  op_t *op = add_op (s, OP_MOVE, job);
  op->reason_or_zone = g_strdup (zone);
  json_t *part_value = sched_part_json (job, "");
  job_part_t *part = job_row_find_part (job->row, s->zone);
  char *own_zone = part->zone;
  part->zone = op->reason_or_zone;
  json_t *job_value = job_row_to_json (job->row, "");
  part->zone = own_zone;
  job->row_in_txn = true;
  job->part_in_txn = true;
  txn_add_row (&s->plan_txn, ROW_JOB, job, job_key (job->id), job->row_version,
               job_value);
  txn_row_t *deletion
      = txn_add_row (&s->plan_txn, ROW_PART, job, part_key (s->zone, job->id),
                     job->part_version, NULL);
  deletion->delete = true;
  txn_add_row (&s->plan_txn, ROW_OTHER, NULL, part_key (zone, job->id), 0,
               part_value);
  sched_record_change (s, &s->plan_txn, zone, job->id);
  changes->in_plan_txn = true;
}

void
op_move_commit (sched_t *s, op_t *op)
{
  sched_job_t *job = op->job;
  job_part_t *part = job_row_find_part (job->row, s->zone);
  explain_add (&s->explain, clk_wall_ms (s->clock), job->id, -1, "moved",
               "to zone %s, which has room for it", op->reason_or_zone);
  g_free (part->zone);
  part->zone = op->reason_or_zone;
  op->reason_or_zone = NULL;
  job->part_version = 0;
  job->waiting = job->assigned = job->done = job->failed = 0;
  job->task_count = 0;
  g_clear_pointer (&job->tasks, g_free);
}

/* Plans to refuse JOB: of NEED tasks only FIT would fit in the empty zone.  */
static void
refuse_job (sched_t *s, sched_job_t *job, uint32_t need, resource_t largest,
            int64_t fit)
{
  char *size = resource_to_text (job->row->spec->size);
  char *largest_text = resource_to_text (largest);
  char *reason = g_strdup_printf (
      "needs %u tasks of %s at once in one zone; the largest worker has %s "
      "and zone %s takes %" G_GINT64_FORMAT " of them",
      need, size, largest_text, s->zone, fit);
  op_cancel_waiting (s, job);
  op_close_part (s, job, JOB_REFUSED, reason);
  explain_add (&s->explain, clk_wall_ms (s->clock), job->id, -1, "refused",
               "%s", reason);
  g_free (size);
  g_free (largest_text);
  g_free (reason);
}

/* Plans to move JOB if it does not fit in this zone or has waited for
   MOVE_AFTER_MS, and to refuse it if it does not fit and cannot be moved.  */
static void
plan_unplaceable_job (sched_t *s, sched_job_t *job)
{
  const job_spec_t *spec = job->row->spec;
  uint32_t need = spec->kind == JOB_ALL_AT_ONCE ? spec->task_count : 1;
  resource_t largest = { 0 };
  bool unknown = false;
  int64_t fit = sched_zone_fit_if_empty (s, s->zone, spec, &largest);
  bool may_move = spec->kind != JOB_SERVICE && job->row->parts->len == 1;
  const char *zone = NULL;
  if (fit >= need)
    {
      if (may_move && s->now_ms - job->first_seen_ms >= MOVE_AFTER_MS)
        zone = choose_other_zone (s, job, need, (double)spec->task_count,
                                  &unknown);
    }
  /* -1e18: nothing has to be free there now.  */
  else if (may_move)
    zone = choose_other_zone (s, job, need, -1e18, &unknown);
  if (zone != NULL)
    move_part (s, job, zone);
  else if (fit >= 0 && fit < need && !unknown && job->row->parts->len == 1)
    refuse_job (s, job, need, largest, fit);
}

void
plan_unplaceable (sched_t *s)
{
  if (s->now_ms < s->unplaceable_due_ms || !s->list_read
      || s->workers->len == 0)
    return;
  s->unplaceable_due_ms = s->now_ms + UNPLACEABLE_CHECK_PERIOD_MS;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, s->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      sched_job_t *job = value;
      if (!job->blocked || job->stopping || job->row == NULL
          || job->part_version == 0 || job->row_in_txn || job->part_in_txn
          || job->waiting == 0 || job->waiting < job->task_count)
        continue;
      plan_unplaceable_job (s, job);
    }
}

/* Stops one task of service JOB that runs an old revision, if all its tasks
   run.  */
static void
replace_outdated_task (sched_t *s, sched_job_t *job)
{
  sched_task_t *outdated = NULL;
  for (uint32_t i = 0; i < job->task_count; i++)
    {
      sched_task_t *task = &job->tasks[i];
      if (task->phase != PHASE_RUNNING
          || s->now_ms - task->since_ms < ROLLING_UPDATE_HEALTHY_MS)
        return;
      if (task->revision != (uint16_t)job->row->revision)
        outdated = task;
    }
  if (outdated == NULL)
    return;
  task_stop (s, job, outdated, STOP_GRACEFUL);
  explain_add (&s->explain, clk_wall_ms (s->clock), job->id,
               (int64_t)job->first_task + (outdated - job->tasks), "stopped",
               "replaced by revision %" G_GINT64_FORMAT, job->row->revision);
}

void
plan_rolling_updates (sched_t *s)
{
  if (s->now_ms < s->rolling_update_due_ms)
    return;
  s->rolling_update_due_ms = s->now_ms + ROLLING_UPDATE_PERIOD_MS;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, s->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      sched_job_t *job = value;
      if (job->row != NULL && job->row->spec->kind == JOB_SERVICE
          && job->row->revision > 1 && !job->stopping && job->waiting == 0
          && job->assigned == job->task_count && job->task_count > 0)
        replace_outdated_task (s, job);
    }
}

/* Plans the deletion of one row of an ended job that is old enough.  */
static bool
delete_ended_row (sched_t *s, sched_job_t *job, int64_t wall_ms)
{
  if (job->row == NULL || job->row->ended_ms == 0 || job->row_in_txn
      || job->part_in_txn || job->assigned > 0)
    return false;
  int64_t age_ms = wall_ms - job->row->ended_ms;
  /* The job row is deleted by the zone of its first part.  */
  const job_part_t *first
      = job->row->parts->len > 0 ? job->row->parts->pdata[0] : NULL;
  bool part_row = job->part_version > 0;
  if (part_row ? age_ms < PART_ROW_RETENTION_MS
               : age_ms < JOB_ROW_RETENTION_MS
                     || (first != NULL && strcmp (first->zone, s->zone) != 0))
    return false;
  txn_row_t *row;
  if (part_row)
    row = txn_add_row (&s->plan_txn, ROW_PART, job,
                       part_key (s->zone, job->id), job->part_version, NULL);
  else
    row = txn_add_row (&s->plan_txn, ROW_JOB, job, job_key (job->id),
                       job->row_version, NULL);
  job->part_in_txn = part_row;
  job->row_in_txn = !part_row;
  row->delete = true;
  add_op (s, OP_DELETE, job)->index_or_flag = part_row;
  return true;
}

void
plan_deletions (sched_t *s)
{
  int64_t wall_ms = clk_wall_ms (s->clock);
  uint32_t deletions_left = MAX_DELETIONS;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, s->jobs);
  while (deletions_left > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    if (delete_ended_row (s, value, wall_ms))
      deletions_left--;
}

void
sched_remove_deleted_jobs (sched_t *s)
{
  if (s->plan_txn.state != TXN_IDLE || s->request_txn.state != TXN_IDLE)
    return;
  GHashTable *needed = g_hash_table_new (NULL, NULL);
  for (guint i = 0; i < s->workers->len; i++)
    {
      const sched_worker_t *worker = s->workers->pdata[i];
      for (guint j = 0; j < worker->assignments->len; j++)
        g_hash_table_add (
            needed,
            g_array_index (worker->assignments, sched_assignment_t, j).job);
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, s->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const sched_job_t *job = value;
      if (job->row_version == 0 && job->part_version == 0
          && !g_hash_table_contains (needed, job))
        g_hash_table_iter_remove (&iter);
    }
  g_hash_table_unref (needed);
}
