#include "jobs.h"

#include "api.h"
#include "conf.h"
#include "loop.h"
#include "admin.h"
#include "workers.h"

#include <string.h>

#define TICK_PERIOD_MS 500
/* An older instance list says nothing about workers that it does not name.  */
#define MAX_LIST_AGE_MS 5000
/* Ample: a usual job specification has a few hundred bytes.  */
#define MAX_SPEC_BYTES ((size_t)64 * 1024)

typedef struct
{
  entry_t *entry;
  workers_t *workers;
  sched_io_t *sched_io; /* NULL without a table service */
  loop_timer_t *timer;
  GHashTable *live_entries; /* set of the ids last reported as live */
} jobs_t;

/* An HTTP exchange that is answered when a submission or cancel is done.  */
typedef struct
{
  httpd_exchange_t *exchange;
  uint16_t status; /* if it succeeds */
  char *id;        /* of the job to cancel, or NULL */
} pending_answer_t;

static void
send_pending_answer (void *context, err_kind_t kind, const char *id,
                     const char *message)
{
  pending_answer_t *answer = context;
  if (id == NULL)
    id = answer->id;
  if (kind != ERR_OK)
    httpd_answer_error (answer->exchange, kind,
                        message != NULL ? message : err_name (kind));
  else
    api_answer_json (answer->exchange, answer->status,
                     json_pack ("{s:s?}", "id", id));
  g_free (answer->id);
  g_free (answer);
}

static pending_answer_t *
pending_answer_new (httpd_exchange_t *exchange, uint16_t status,
                    const char *id)
{
  pending_answer_t *answer = g_new0 (pending_answer_t, 1);
  answer->exchange = exchange;
  answer->status = status;
  answer->id = g_strdup (id);
  return answer;
}

/* Identifies the sender; answers the exchange and returns false if its token
   is refused or cannot be checked.  */
static bool
authorise (jobs_t *jobs, httpd_exchange_t *exchange, auth_identity_t *identity)
{
  return api_authorise (admin_api (jobs->entry), exchange, identity);
}

static void
post_job (void *context, httpd_exchange_t *exchange,
          const httpd_request_t *request)
{
  jobs_t *jobs = context;
  auth_identity_t identity;
  if (!authorise (jobs, exchange, &identity))
    return;
  if (confrev_check_operation (conf_state (jobs->entry->conf),
                               CONFREV_SUBMIT_JOB)
      != ERR_OK)
    {
      httpd_answer_error (exchange, ERR_NO_CONFIG,
                          "this entry has no configuration yet");
      return;
    }
  json_error_t error;
  json_t *spec
      = request->body_length <= MAX_SPEC_BYTES
            ? json_loadb (request->body, request->body_length, 0, &error)
            : NULL;
  const char *team = json_string_value (json_object_get (spec, "team"));
  if (!json_is_object (spec))
    httpd_answer_error (exchange, ERR_BAD_REQUEST,
                        "expected a job as a JSON object of at most 64 KiB");
  else if (!auth_may_act_for (&identity, team))
    httpd_answer_error (
        exchange, ERR_FORBIDDEN,
        "a team may submit only jobs with its own name as \"team\"");
  else
    sched_io_submit (jobs->sched_io, spec, send_pending_answer,
                     pending_answer_new (exchange, 201, NULL));
  json_decref (spec);
}

/* A request about a job that is not in memory, because it was stored a moment
   ago or belongs to another zone: its row is read from the table service.  */
typedef struct
{
  jobs_t *jobs;
  httpd_exchange_t *exchange;
  auth_identity_t identity;
  char *id;
  bool cancel;
} lookup_t;

static void
cancel_job (jobs_t *jobs, httpd_exchange_t *exchange,
            const auth_identity_t *identity, const char *id, const char *team)
{
  if (!auth_may_act_for (identity, team))
    httpd_answer_error (exchange, ERR_FORBIDDEN,
                        "a team cancels only its own jobs");
  else
    sched_io_cancel (jobs->sched_io, id, send_pending_answer,
                     pending_answer_new (exchange, 202, id));
}

static void
answer_not_found (httpd_exchange_t *exchange, const char *id)
{
  char *message = g_strdup_printf (
      "there is no job \"%.100s\", expected an id printed by \"submit\"", id);
  httpd_answer_error (exchange, ERR_NOT_FOUND, message);
  g_free (message);
}

/* Returns the stored row VALUE as the answer about job ID: with the id and an
   empty list of events, without the write id.  */
static json_t *
stored_job_view (const char *id, const json_t *value)
{
  json_t *view = json_copy ((json_t *)value);
  json_object_del (view, "write_id");
  json_object_set_new (view, "id", json_string (id));
  json_object_set_new (view, "events", json_array ());
  return view;
}

static void
on_row_read (void *context, err_kind_t kind, const table_row_t *rows,
             uint32_t count)
{
  lookup_t *lookup = context;
  const json_t *value = kind == ERR_OK && count == 1 ? rows[0].value : NULL;
  const json_t *spec = json_object_get (value, "spec");
  if (kind != ERR_OK)
    httpd_answer_error (lookup->exchange, kind,
                        "the table service does not answer");
  else if (!json_is_object (value))
    answer_not_found (lookup->exchange, lookup->id);
  else if (lookup->cancel)
    cancel_job (lookup->jobs, lookup->exchange, &lookup->identity, lookup->id,
                json_string_value (json_object_get (spec, "team")));
  else
    api_answer_json (lookup->exchange, 200,
                     stored_job_view (lookup->id, value));
  g_free (lookup->id);
  g_free (lookup);
}

static void
look_up (jobs_t *jobs, httpd_exchange_t *exchange,
         const auth_identity_t *identity, const char *id, bool cancel)
{
  /* No job has such an id, and one with a '/' would be the key of another
     row.  */
  if (id[0] == '\0' || strlen (id) > JOB_ID_MAX_BYTES
      || strchr (id, '/') != NULL)
    {
      answer_not_found (exchange, id);
      return;
    }
  lookup_t *lookup = g_new0 (lookup_t, 1);
  *lookup = (lookup_t){ .jobs = jobs,
                        .exchange = exchange,
                        .identity = *identity,
                        .id = g_strdup (id),
                        .cancel = cancel };
  char *key = job_key (id);
  table_t *table = jobs->entry->table;
  table->ops->get (table, key, on_row_read, lookup);
  g_free (key);
}

static void
get_jobs (void *context, httpd_exchange_t *exchange,
          const httpd_request_t *request)
{
  jobs_t *jobs = context;
  auth_identity_t identity;
  if (authorise (jobs, exchange, &identity))
    api_answer_json (exchange, 200,
                     json_pack ("{s:o}", "jobs",
                                sched_jobs (sched_io_sched (jobs->sched_io))));
}

static void
get_job (void *context, httpd_exchange_t *exchange,
         const httpd_request_t *request)
{
  jobs_t *jobs = context;
  auth_identity_t identity;
  if (!authorise (jobs, exchange, &identity))
    return;
  json_t *job = sched_job (sched_io_sched (jobs->sched_io), request->rest);
  if (job != NULL)
    api_answer_json (exchange, 200, job);
  else
    look_up (jobs, exchange, &identity, request->rest, false);
}

static void
get_explain (void *context, httpd_exchange_t *exchange,
             const httpd_request_t *request)
{
  jobs_t *jobs = context;
  auth_identity_t identity;
  if (!authorise (jobs, exchange, &identity))
    return;
  json_t *explanation
      = sched_explain (sched_io_sched (jobs->sched_io), request->rest);
  if (explanation != NULL)
    api_answer_json (exchange, 200, explanation);
  else
    look_up (jobs, exchange, &identity, request->rest, false);
}

static void
delete_job (void *context, httpd_exchange_t *exchange,
            const httpd_request_t *request)
{
  jobs_t *jobs = context;
  auth_identity_t identity;
  if (!authorise (jobs, exchange, &identity))
    return;
  const char *team
      = sched_job_team (sched_io_sched (jobs->sched_io), request->rest);
  if (team != NULL)
    cancel_job (jobs, exchange, &identity, request->rest, team);
  else
    look_up (jobs, exchange, &identity, request->rest, true);
}

static const httpd_route_t routes[] = {
  { "POST", "/v1/jobs", post_job },
  { "GET", "/v1/jobs", get_jobs },
  { "GET", "/v1/jobs/", get_job },
  { "DELETE", "/v1/jobs/", delete_job },
  { "GET", "/v1/explain/", get_explain },
  { NULL, NULL, NULL },
};

static void
on_config_changed (void *context, doc_t *doc, int64_t revision)
{
  jobs_t *jobs = context;
  sched_t *sched = sched_io_sched (jobs->sched_io);
  doc_fleet_t fleet;
  doc_fleet (doc, &fleet);
  sched_pack_rule_set (sched, fleet.packing);
  doc_class_t classes[CLASS_COUNT];
  uint32_t weight_sum = 0;
  for (unsigned i = 0; i < CLASS_COUNT; i++)
    {
      doc_class (doc, (class_t)i, &classes[i]);
      weight_sum += classes[i].weight;
    }
  for (unsigned i = 0; i < CLASS_COUNT; i++)
    sched_class_set (sched, (class_t)i, classes[i].weight * 100 / weight_sum);
  for (size_t i = 0; i < doc_section_count (doc); i++)
    {
      const doc_section_t *section = doc_section_at (doc, i);
      doc_team_t team;
      if (doc_section_type (section) != DOC_TEAM)
        continue;
      doc_team (doc, doc_section_name (section), &team);
      sched_team_set (sched, doc_section_name (section), team.quota);
    }
}

/* Reports which entries of the zone have become live or ceased to be live
   since the last call.  */
static void
report_live_entries (jobs_t *jobs)
{
  const char *zone = jobs->entry->settings->zone;
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  GHashTable *live_now
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  peer_live_entries (jobs->entry->peer, zone, names);
  for (unsigned i = 0; i < names->len; i++)
    {
      const char *name = g_ptr_array_index (names, i); /* ID@INCARNATION */
      g_hash_table_add (live_now, g_strndup (name, strcspn (name, "@")));
    }
  g_ptr_array_free (names, TRUE);
  GHashTableIter iter;
  void *id;
  g_hash_table_iter_init (&iter, live_now);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    if (!g_hash_table_contains (jobs->live_entries, id))
      sched_io_set_entry_live (jobs->sched_io, id, zone, true);
  g_hash_table_iter_init (&iter, jobs->live_entries);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    if (!g_hash_table_contains (live_now, id))
      sched_io_set_entry_live (jobs->sched_io, id, zone, false);
  g_hash_table_destroy (jobs->live_entries);
  jobs->live_entries = live_now;
}

static void
on_tick (void *context)
{
  jobs_t *jobs = context;
  report_live_entries (jobs);
  const instances_t *instances = jobs->entry->instances;
  int64_t age_ms = instances != NULL ? instances_age_ms (instances) : -1;
  if (age_ms >= 0 && age_ms <= MAX_LIST_AGE_MS)
    sched_io_instance_list_read (jobs->sched_io);
}

static void *
jobs_open (entry_t *entry, GError **error)
{
  jobs_t *jobs = g_new0 (jobs_t, 1);
  jobs->entry = entry;
  jobs->live_entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (entry->table == NULL || entry->conf == NULL)
    return jobs;
  sched_io_options_t options = { .entry = entry->settings->instance_id,
                                 .incarnation = entry->incarnation,
                                 .zone = entry->settings->zone,
                                 .seed = (uint32_t)entry->settings->seed };
  jobs->workers = workers_http_new (entry->worker_client);
  jobs->sched_io = sched_io_new (&options, entry->loop, entry->clock,
                                 entry->registry, entry->table, jobs->workers);
  entry->sched_io = jobs->sched_io;
  conf_add_listener (entry->conf, on_config_changed, jobs);
  httpd_add_routes (entry->httpd, routes, jobs);
  jobs->timer = loop_timer_new (entry->loop, TICK_PERIOD_MS, on_tick, jobs);
  return jobs;
}

static void
jobs_close (void *part)
{
  jobs_t *jobs = part;
  loop_timer_free (jobs->timer);
  if (jobs->sched_io != NULL)
    {
      jobs->entry->sched_io = NULL;
      workers_http_free (jobs->workers);
      sched_io_free (jobs->sched_io);
    }
  g_hash_table_destroy (jobs->live_entries);
  g_free (jobs);
}

static void
jobs_instance_changed (void *part, const instance_t *instance)
{
  const jobs_t *jobs = part;
  if (jobs->sched_io != NULL)
    sched_io_instance_changed (jobs->sched_io, instance);
}

static void
jobs_drain (void *part)
{
  const jobs_t *jobs = part;
  if (jobs->sched_io != NULL)
    sched_io_drain (jobs->sched_io);
}

static bool
jobs_drained (void *part)
{
  const jobs_t *jobs = part;
  return jobs->sched_io == NULL || sched_io_drained (jobs->sched_io);
}

const entry_part_t jobs_part = {
  .name = "jobs",
  .open = jobs_open,
  .close = jobs_close,
  .instance_changed = jobs_instance_changed,
  .begin_drain = jobs_drain,
  .is_drained = jobs_drained,
};
