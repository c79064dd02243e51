#include "sched_internal.h"

#include <string.h>

/* Submissions and cancels in one transaction.  */
#define MAX_TXN_REQUESTS 16
/* Ids kept in a changes row; a reader that fell further behind scans all
   rows.  */
#define CHANGES_KEPT 200
/* After this time a caller is refused, or told that the outcome is unknown if
   the change is in a transaction that has not ended.  */
#define SUBMIT_TIMEOUT_MS 8000
/* Longer, since cancels only take row tokens that starts leave.  */
#define CANCEL_TIMEOUT_MS 60000
#define MAX_QUEUED_REQUESTS 20000

void
sched_request_free (gpointer data)
{
  sched_request_t *request = data;
  g_free (request->id);
  job_row_free (request->row);
  g_free (request);
}

static void
answer_request (sched_t *s, sched_request_t *request, err_kind_t kind,
                const char *message)
{
  s->actions->answer (s->context, request->token, kind, request->id, message);
}

/* How many tasks of SIZE fit in the empty workers of SHAPES, at most LIMIT.
   *LARGEST is raised to the largest worker: most accelerators, then most
   processors.  */
static uint64_t
shapes_fit (const GArray *shapes, resource_t size, uint64_t limit,
            resource_t *largest)
{
  uint64_t fit = 0;
  for (guint i = 0; i < shapes->len; i++)
    {
      const zone_shape_t *shape = &g_array_index (shapes, zone_shape_t, i);
      resource_t capacity = shape->capacity;
      if (capacity.accelerators > largest->accelerators
          || (capacity.accelerators == largest->accelerators
              && capacity.cpu_millis > largest->cpu_millis))
        *largest = capacity;
      if (!resource_fits (size, capacity))
        continue;
      int64_t each = capacity.cpu_millis / MAX (size.cpu_millis, 1);
      each = MIN (each, capacity.memory_mib / MAX (size.memory_mib, 1));
      if (size.accelerators > 0)
        each = MIN (each, capacity.accelerators / size.accelerators);
      fit += (uint64_t)each * shape->worker_count;
    }
  return MIN (fit, limit);
}

int64_t
sched_zone_fit_if_empty (const sched_t *s, const char *zone,
                         const job_spec_t *spec, resource_t *largest)
{
  if (strcmp (zone, s->zone) == 0)
    return s->list_read ? (int64_t)fleet_max_tasks_if_empty (
               &s->fleet, spec->size, spec->task_count, largest)
                        : -1;
  const sched_zone_t *row = g_hash_table_lookup (s->zones, zone);
  if (row == NULL || row->shapes->len == 0)
    return -1;
  return (int64_t)shapes_fit (row->shapes, spec->size, spec->task_count,
                              largest);
}

static void
add_zone_name (GPtrArray *names, const char *zone)
{
  for (guint i = 0; i < names->len; i++)
    if (strcmp (names->pdata[i], zone) == 0)
      return;
  g_ptr_array_add (names, (gpointer)zone);
}

GPtrArray *
sched_allowed_zones (const sched_t *s, const job_spec_t *spec)
{
  GPtrArray *names = g_ptr_array_new ();
  if (spec->zones != NULL)
    {
      for (char **zone = spec->zones; *zone != NULL; zone++)
        g_ptr_array_add (names, *zone);
      return names;
    }
  add_zone_name (names, s->zone);
  for (guint i = 0; i < s->entries->len; i++)
    {
      const sched_entry_t *entry = s->entries->pdata[i];
      if (entry->live && entry->zone != NULL)
        add_zone_name (names, entry->zone);
    }
  return names;
}

/* The scarcest resource decides.  */
double
sched_zone_fit_now (const sched_t *s, const char *zone, resource_t size)
{
  resource_t free = { 0 };
  const sched_zone_t *row = g_hash_table_lookup (s->zones, zone);
  if (strcmp (zone, s->zone) == 0 && s->on_duty)
    free = resource_sub (s->fleet.total, s->fleet.used);
  else if (row != NULL)
    free = resource_sub (row->free, row->waiting);
  double tasks = (double)free.cpu_millis / (double)MAX (size.cpu_millis, 1);
  tasks = MIN (tasks,
               (double)free.memory_mib / (double)MAX (size.memory_mib, 1));
  if (size.accelerators > 0)
    tasks = MIN (tasks, (double)free.accelerators / (double)size.accelerators);
  return tasks;
}

/* Sets the parts of ROW: a service is spread over all zones that can hold a
   task, another job goes to this entry's zone if all its tasks fit there
   now, else to the zone where most fit.  Returns NULL, or why the job can
   never run.  */
static char *
choose_parts (const sched_t *s, job_row_t *row)
{
  const job_spec_t *spec = row->spec;
  uint32_t need = spec->kind == JOB_ALL_AT_ONCE ? spec->task_count : 1;
  GPtrArray *zones = sched_allowed_zones (s, spec);
  resource_t largest = { 0 };
  int64_t max_fit = 0;
  const char *best = NULL;
  double best_fit_now = 0.0;
  for (guint i = zones->len; i-- > 0;)
    {
      resource_t zone_largest = { 0 };
      int64_t fit
          = sched_zone_fit_if_empty (s, zones->pdata[i], spec, &zone_largest);
      if (fit >= 0 && fit < need)
        {
          if (fit > max_fit || largest.cpu_millis == 0)
            largest = zone_largest;
          max_fit = MAX (max_fit, fit);
          g_ptr_array_remove_index (zones, i);
          continue;
        }
      double fit_now = sched_zone_fit_now (s, zones->pdata[i], spec->size);
      /* A zone of unknown capacity is the last choice.  */
      if (fit < 0)
        fit_now = -G_MAXDOUBLE;
      bool own = strcmp (zones->pdata[i], s->zone) == 0;
      if (own && fit_now >= (double)spec->task_count)
        fit_now = G_MAXDOUBLE;
      if (best == NULL || fit_now > best_fit_now)
        {
          best = zones->pdata[i];
          best_fit_now = fit_now;
        }
    }
  char *reason = NULL;
  if (best == NULL)
    {
      char *size = resource_to_text (spec->size);
      char *largest_text = resource_to_text (largest);
      reason = g_strdup_printf (
          "needs %u tasks of %s at once in one zone; the largest worker has "
          "%s and the largest zone takes %" G_GINT64_FORMAT " of them",
          need, size, largest_text, max_fit);
      g_free (size);
      g_free (largest_text);
    }
  else if (spec->kind == JOB_SERVICE)
    {
      uint32_t first = 0;
      for (guint i = 0; i < zones->len; i++)
        {
          uint32_t tasks = (spec->task_count - first) / (zones->len - i);
          if (tasks > 0)
            job_row_add_part (row, zones->pdata[i], first, tasks);
          first += tasks;
        }
    }
  else
    job_row_add_part (row, best, 0, spec->task_count);
  g_ptr_array_unref (zones);
  return reason;
}

/* Whether SPEC may replace the specification of the known JOB: a running
   service of the same team with the same number of tasks.  */
static bool
may_update (const sched_job_t *job, const job_spec_t *spec)
{
  const job_row_t *row = job->row;
  return row != NULL && row->state == JOB_ACCEPTED
         && row->spec->kind == JOB_SERVICE && spec->kind == JOB_SERVICE
         && row->spec->task_count == spec->task_count
         && strcmp (row->spec->team, spec->team) == 0;
}

static bool
same_spec (const sched_job_t *job, const job_spec_t *spec)
{
  json_t *first = job_spec_to_json (job->row->spec);
  json_t *second = job_spec_to_json (spec);
  bool same = json_equal (first, second);
  json_decref (first);
  json_decref (second);
  return same;
}

void
sched_submit (sched_t *s, const json_t *json, void *token)
{
  GError *error = NULL;
  s->now_ms = clk_now_ms (s->clock);
  job_spec_t *spec = job_spec_parse (json, &error);
  if (spec == NULL)
    {
      s->actions->answer (s->context, token, (err_kind_t)error->code, NULL,
                          error->message);
      g_error_free (error);
      return;
    }
  if (spec->id == NULL)
    spec->id
        = g_strdup_printf ("j%" G_GINT64_MODIFIER "x-%08x",
                           clk_wall_ms (s->clock), g_rand_int (s->random));
  char *submit_id = g_strdup_printf ("%s:%" G_GUINT64_FORMAT, s->writer_id,
                                     ++s->last_write);
  sched_request_t *request = g_new0 (sched_request_t, 1);
  request->token = token;
  request->id = g_strdup (spec->id);
  request->row = job_row_new (spec, submit_id, clk_wall_ms (s->clock));
  request->deadline_ms = s->now_ms + SUBMIT_TIMEOUT_MS;
  g_free (submit_id);
  const sched_job_t *known = g_hash_table_lookup (s->jobs, request->id);
  request->update = known != NULL && may_update (known, spec);
  char *reason = choose_parts (s, request->row);
  if (request->update && same_spec (known, spec))
    answer_request (s, request, ERR_OK, "unchanged");
  else if (known != NULL && known->row_version > 0 && !request->update)
    answer_request (s, request, ERR_CONFLICT, "a job with this id exists");
  else if (reason != NULL)
    {
      explain_add (&s->explain, clk_wall_ms (s->clock), request->id, -1,
                   "refused", "%s", reason);
      answer_request (s, request, ERR_NEVER_FITS, reason);
    }
  else if (s->submit_queue.length >= MAX_QUEUED_REQUESTS)
    answer_request (s, request, ERR_QUEUE_FULL,
                    "too many submissions are waiting");
  else
    {
      g_queue_push_tail (&s->submit_queue, request);
      request = NULL;
    }
  g_free (reason);
  if (request != NULL)
    sched_request_free (request);
}

void
sched_cancel (sched_t *s, const char *id, void *token)
{
  s->now_ms = clk_now_ms (s->clock);
  if (!job_id_valid (id) || s->cancel_queue.length >= MAX_QUEUED_REQUESTS)
    {
      bool valid = job_id_valid (id);
      s->actions->answer (
          s->context, token, valid ? ERR_QUEUE_FULL : ERR_BAD_REQUEST, id,
          valid ? "too many cancels are waiting" : "not a job id");
      return;
    }
  sched_request_t *request = g_new0 (sched_request_t, 1);
  request->cancel = true;
  request->token = token;
  request->id = g_strdup (id);
  request->deadline_ms = s->now_ms + CANCEL_TIMEOUT_MS;
  g_queue_push_tail (&s->cancel_queue, request);
  /* The job may be new to this entry.  */
  const sched_job_t *job = g_hash_table_lookup (s->jobs, id);
  if (job == NULL || job->row == NULL)
    sched_queue_reload (s, job_key (id));
}

void
sched_record_change (sched_t *s, txn_t *txn, const char *zone, const char *id)
{
  sched_changes_t *changes = sched_changes_get (s, zone);
  if (!changes->in_txn)
    {
      changes->in_txn = true;
      changes->old_sequence = changes->sequence;
      txn_add_row (txn, ROW_CHANGES, changes,
                   g_strdup_printf ("changes/%s/%s", zone, s->entry_id),
                   changes->version, NULL);
    }
  changes->sequence++;
  g_queue_push_tail (&changes->ids, g_strdup (id));
  while (changes->ids.length > CHANGES_KEPT)
    g_free (g_queue_pop_head (&changes->ids));
}

/* Whether this entry's changes rows for all zones of ROW have been read and
   none is in the planner's transaction; reloads those not read yet.  */
static bool
changes_known (sched_t *s, const job_row_t *row)
{
  bool known = true;
  for (guint i = 0; i < row->parts->len; i++)
    {
      const job_part_t *part = row->parts->pdata[i];
      const sched_changes_t *changes = sched_changes_get (s, part->zone);
      known = known && changes->version >= 0 && !changes->in_plan_txn;
      if (changes->version < 0)
        sched_queue_reload (
            s, g_strdup_printf ("changes/%s/%s", part->zone, s->entry_id));
    }
  return known;
}

/* Adds the new job row and part rows, and a change for each zone.  */
static void
add_submission (sched_t *s, txn_t *txn, sched_request_t *request)
{
  txn_add_row (txn, ROW_OTHER, NULL, job_key (request->id), 0,
               job_row_to_json (request->row, ""));
  for (guint i = 0; i < request->row->parts->len; i++)
    {
      const job_part_t *part = request->row->parts->pdata[i];
      part_row_t *row = part_row_new (part->first_task, part->task_count);
      txn_add_row (txn, ROW_OTHER, NULL, part_key (part->zone, request->id), 0,
                   part_row_to_json (row, ""));
      part_row_free (row);
      sched_record_change (s, txn, part->zone, request->id);
    }
}

/* Adds the new state of the job row, and a change for each zone of JOB.  */
static void
add_cancel (sched_t *s, txn_t *txn, sched_request_t *request, sched_job_t *job)
{
  job_state_t before = job->row->state;
  job->row->state = JOB_CANCELLING;
  json_t *value = job_row_to_json (job->row, "");
  job->row->state = before;
  job->row_in_txn = true;
  txn_add_row (txn, ROW_JOB, job, job_key (request->id), job->row_version,
               value);
  for (guint i = 0; i < job->row->parts->len; i++)
    sched_record_change (
        s, txn, ((job_part_t *)job->row->parts->pdata[i])->zone, request->id);
}

/* What became of a request that was to be added to a transaction.  */
typedef enum
{
  ADDED,
  ANSWERED,
  LATER /* stays queued */
} add_result_t;

/* Answers a cancel that is refused or changes nothing, adds it to TXN, or
   leaves it for later.  */
static add_result_t
try_cancel (sched_t *s, txn_t *txn, sched_request_t *request)
{
  sched_job_t *job = g_hash_table_lookup (s->jobs, request->id);
  bool reload_pending
      = g_hash_table_size (s->reload_keys) > 0 || s->reloads_in_flight > 0;
  if (job == NULL || job->row == NULL)
    {
      if (reload_pending)
        return LATER;
      answer_request (s, request, ERR_NOT_FOUND, "no such job");
      return ANSWERED;
    }
  if (job->row_in_txn)
    return LATER;
  if (job->row->state == JOB_CANCELLING || job->row->state == JOB_CANCELLED)
    {
      answer_request (s, request, ERR_OK, job_state_name (job->row->state));
      return ANSWERED;
    }
  if (job->row->state != JOB_ACCEPTED)
    {
      answer_request (s, request, ERR_CONFLICT, "the job has already ended");
      return ANSWERED;
    }
  if (!changes_known (s, job->row))
    return LATER;
  add_cancel (s, txn, request, job);
  return ADDED;
}

/* Answers a submission that met a conflict by what its reloaded job row says:
   it may have been committed, or the id may be in use.  Returns LATER if the
   request is still to be added to a transaction.  */
static add_result_t
settle_conflict (sched_t *s, sched_request_t *request)
{
  const sched_job_t *job = g_hash_table_lookup (s->jobs, request->id);
  if (request->cancel || job == NULL || job->row == NULL)
    return LATER;
  if (strcmp (job->row->submit_id, request->row->submit_id) == 0)
    answer_request (s, request, ERR_OK, job_state_name (job->row->state));
  else if (request->update)
    return LATER;
  else
    answer_request (s, request, ERR_CONFLICT, "a job with this id exists");
  return ANSWERED;
}

/* Adds the new specification of a service to TXN, answers that this is
   refused, or leaves it for later.  */
static add_result_t
try_update (sched_t *s, txn_t *txn, sched_request_t *request)
{
  sched_job_t *job = g_hash_table_lookup (s->jobs, request->id);
  if (job == NULL || !may_update (job, request->row->spec))
    {
      answer_request (s, request, ERR_CONFLICT,
                      "the service is no longer running");
      return ANSWERED;
    }
  if (job->row_in_txn || !changes_known (s, job->row))
    return LATER;
  job_row_t row = *job->row;
  row.spec = request->row->spec;
  row.submit_id = request->row->submit_id;
  row.revision++;
  job->row_in_txn = true;
  txn_add_row (txn, ROW_JOB, job, job_key (request->id), job->row_version,
               job_row_to_json (&row, ""));
  for (guint i = 0; i < row.parts->len; i++)
    sched_record_change (s, txn, ((job_part_t *)row.parts->pdata[i])->zone,
                         request->id);
  return ADDED;
}

static add_result_t
try_request (sched_t *s, txn_t *txn, sched_request_t *request)
{
  if (request->alone)
    {
      if (g_hash_table_size (s->reload_keys) > 0 || s->reloads_in_flight > 0)
        return LATER;
      if (settle_conflict (s, request) == ANSWERED)
        return ANSWERED;
    }
  if (request->cancel)
    return try_cancel (s, txn, request);
  if (request->update)
    return try_update (s, txn, request);
  if (!changes_known (s, request->row))
    return LATER;
  add_submission (s, txn, request);
  return ADDED;
}

/* Answers a request that timed out.  It may still take effect if UNKNOWN is
   set (it is part of a transaction under way), or if it was part of one whose
   outcome was unknown.  */
static void
expire (sched_t *s, sched_request_t *request, bool unknown)
{
  if (unknown || request->outcome_unknown)
    answer_request (s, request, ERR_TIMEOUT,
                    "it is unknown whether this took effect");
  else if (request->cancel && s->ready)
    answer_request (s, request, ERR_QUEUE_FULL,
                    "too many cancels are waiting");
  else
    answer_request (s, request, ERR_STORE_UNAVAILABLE,
                    "the table service does not answer");
  request->answered = true;
}

static void
expire_queue (sched_t *s, GQueue *queue)
{
  for (GList *link = queue->head; link != NULL;)
    {
      GList *next = link->next;
      sched_request_t *request = link->data;
      if (s->now_ms >= request->deadline_ms)
        {
          expire (s, request, false);
          sched_request_free (request);
          g_queue_delete_link (queue, link);
        }
      link = next;
    }
}

static void
expire_all (sched_t *s)
{
  for (guint i = 0; i < s->request_txn.requests->len; i++)
    {
      sched_request_t *request = s->request_txn.requests->pdata[i];
      if (!request->answered && s->now_ms >= request->deadline_ms)
        expire (s, request, true);
    }
  expire_queue (s, &s->submit_queue);
  expire_queue (s, &s->cancel_queue);
}

/* Whether row tokens are left for REQUEST.  Submissions, which lead to starts,
   may take all; cancels leave CANCEL_RESERVE_ROWS.  */
static bool
may_add (const sched_t *s, const txn_t *txn, const sched_request_t *request)
{
  double left = s->row_tokens - txn->rows->len;
  return left >= (request->cancel ? CANCEL_RESERVE_ROWS : 1.0);
}

/* Moves requests from QUEUE into TXN until it is full or no row tokens are
   left.  */
static void
take_requests (sched_t *s, txn_t *txn, GQueue *queue)
{
  GQueue later = G_QUEUE_INIT;
  sched_request_t *request;
  uint32_t tried = 0;
  while (txn->requests->len < MAX_TXN_REQUESTS
         && tried++ < 4 * MAX_TXN_REQUESTS
         && (request = g_queue_peek_head (queue)) != NULL)
    {
      if ((request->alone && txn->requests->len > 0)
          || !may_add (s, txn, request))
        break;
      g_queue_pop_head (queue);
      add_result_t result = try_request (s, txn, request);
      if (result == ADDED)
        g_ptr_array_add (txn->requests, request);
      else if (result == ANSWERED)
        sched_request_free (request);
      else
        g_queue_push_tail (&later, request);
      if (result == ADDED && request->alone)
        break;
    }
  while ((request = g_queue_pop_tail (&later)) != NULL)
    g_queue_push_head (queue, request);
}

static bool
is_alone (const txn_t *txn)
{
  return txn->requests->len == 1
         && ((const sched_request_t *)txn->requests->pdata[0])->alone;
}

void
requests_tick (sched_t *s)
{
  txn_t *txn = &s->request_txn;
  expire_all (s);
  if (txn->state != TXN_IDLE)
    return;
  take_requests (s, txn, &s->submit_queue);
  if (!is_alone (txn))
    take_requests (s, txn, &s->cancel_queue);
  if (txn->requests->len == 0)
    return;
  s->row_tokens -= txn->rows->len;
  txn_send (s, txn);
}

/* Takes over the committed job rows and reloads the rows that are new.  */
static void
apply_committed (sched_t *s, const txn_t *txn)
{
  for (guint i = 0; i < txn->rows->len; i++)
    {
      const txn_row_t *row = &g_array_index (txn->rows, txn_row_t, i);
      if (row->kind == ROW_JOB)
        {
          sched_job_t *job = row->object;
          job_row_t *parsed = job_row_parse (row->value, NULL);
          job_row_free (job->row);
          job->row = parsed;
          job->stopping = parsed == NULL || parsed->state != JOB_ACCEPTED;
        }
      else if (row->kind == ROW_OTHER)
        sched_queue_reload (s, g_strdup (row->key));
    }
}

void
sched_undo_changes (const txn_t *txn, bool conflict)
{
  for (guint i = 0; i < txn->rows->len; i++)
    {
      const txn_row_t *row = &g_array_index (txn->rows, txn_row_t, i);
      if (row->kind != ROW_CHANGES)
        continue;
      sched_changes_t *changes = row->object;
      while (changes->sequence > changes->old_sequence)
        {
          g_free (g_queue_pop_tail (&changes->ids));
          changes->sequence--;
        }
      if (conflict)
        changes->version = -1;
    }
}

void
requests_finished (sched_t *s, txn_t *txn, err_kind_t kind, bool committed)
{
  if (committed)
    apply_committed (s, txn);
  while (txn->requests->len > 0)
    {
      sched_request_t *request
          = g_ptr_array_steal_index (txn->requests, txn->requests->len - 1);
      request->outcome_unknown
          = request->outcome_unknown || txn->outcome_unknown;
      if (request->answered)
        ;
      else if (committed)
        answer_request (s, request, ERR_OK,
                        request->cancel ? "cancelling" : "accepted");
      else if (kind == ERR_CONFLICT)
        {
          /* Tried again in a transaction of its own, after the rows have been
             reloaded.  */
          request->alone = true;
          g_queue_push_head (
              request->cancel ? &s->cancel_queue : &s->submit_queue, request);
          continue;
        }
      else
        answer_request (s, request, kind, "the table service does not answer");
      sched_request_free (request);
    }
}
