#include "ops.h"

#include "api.h"
#include "auth.h"
#include "burn_store.h"
#include "log.h"
#include "loop.h"
#include "tasks.h"

#include <string.h>

#define CONF_TICK_PERIOD_MS 100
#define BURN_TICK_PERIOD_MS 1000

/* A backend server of the own zone, from the instance list.  */
typedef struct
{
  char *id, *service, *url;
  int64_t incarnation;
  bool leaving;
  /* The request limit that this incarnation was first set in dispatch with, 0:
     not set yet.  */
  uint32_t first_request_limit;
} backend_t;

/* An entry of any zone, from the instance list.  */
typedef struct
{
  char *zone;
  instance_state_t state;
} listed_entry_t;

typedef struct
{
  entry_t *entry;
  conf_t *conf; /* NULL without a table service */
  auth_t *auth;
  burn_store_t *burn_store;
  api_t *api;
  loop_timer_t *conf_timer, *burn_timer;
  GHashTable *backends; /* id -> backend_t */
  GHashTable *entries;  /* id -> listed_entry_t */
  GHashTable *teams;    /* set of names that were set in dispatch */
  GArray *use;          /* doc_use_t with owned SECTION; see current_use */
} ops_t;

static void
backend_free (void *data)
{
  backend_t *backend = data;
  g_free (backend->id);
  g_free (backend->service);
  g_free (backend->url);
  g_free (backend);
}

static void
listed_entry_free (void *data)
{
  listed_entry_t *listed = data;
  g_free (listed->zone);
  g_free (listed);
}

api_t *
ops_api (const entry_t *entry)
{
  return entry->api;
}

bool
ops_can_route (const entry_t *entry)
{
  return entry->conf == NULL
         || confrev_check_operation (conf_state (entry->conf), CONFREV_ROUTE)
                == ERR_OK;
}

static void
set_backend (ops_t *ops, backend_t *backend)
{
  doc_service_t limits;
  if (!ops_can_route (ops->entry))
    return;
  doc_service (confrev_document (conf_state (ops->conf)), backend->service,
               &limits);
  dispatch_backend_t row = {
    .id = backend->id,
    .service = backend->service,
    .zone = ops->entry->settings->zone,
    .url = backend->url,
    .leaving = backend->leaving,
    .request_limit = limits.request_limit,
    .connection_limit = limits.connection_limit,
    .incarnation = backend->incarnation,
  };
  if (backend->first_request_limit == 0)
    backend->first_request_limit = limits.request_limit;
  peer_add_service (ops->entry->peer, backend->service);
  dispatch_backend_set (ops->entry->dispatch, &row);
}

static void
set_service (ops_t *ops, doc_t *doc, const char *name)
{
  doc_service_t service;
  doc_service (doc, name, &service);
  dispatch_policy_t policy = { .policy = service.admission,
                               .queue_limit = service.queue_limit,
                               .spill_after_ms = service.spill_after_ms,
                               .retry_percent = service.retry_percent };
  for (unsigned i = 0; i < CLASS_COUNT; i++)
    {
      doc_class_t class;
      doc_class (doc, (class_t)i, &class);
      policy.weight[i] = class.weight;
    }
  dispatch_service_set (ops->entry->dispatch, name, &policy);
}

static void
set_team (ops_t *ops, doc_t *doc, const char *name)
{
  /* Dispatch cannot remove a team; one that the document no longer has is set
     to have no limit.  */
  static const doc_team_t unlimited
      = { .urgent_rate = 1e6, .urgent_burst = 1e6, .request_weight = 1 };
  doc_team_t team;
  if (!doc_team (doc, name, &team))
    team = unlimited;
  dispatch_team_set (ops->entry->dispatch, name, team.urgent_rate,
                     team.urgent_burst, team.request_weight);
}

static void
on_config_changed (void *context, doc_t *doc, int64_t revision)
{
  ops_t *ops = context;
  auth_set_document (ops->auth, doc);
  burn_store_set_document (ops->burn_store, doc);
  for (size_t i = 0; i < doc_section_count (doc); i++)
    {
      const doc_section_t *section = doc_section_at (doc, i);
      const char *name = doc_section_name (section);
      if (doc_section_type (section) == DOC_TEAM)
        g_hash_table_add (ops->teams, g_strdup (name));
      if (doc_section_type (section) == DOC_SERVICE)
        set_service (ops, doc, name);
    }
  GHashTableIter iter;
  void *key, *value;
  g_hash_table_iter_init (&iter, ops->teams);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    set_team (ops, doc, key);
  g_hash_table_iter_init (&iter, ops->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      backend_t *backend = value;
      set_service (ops, doc, backend->service);
      set_backend (ops, backend);
    }
}

/* Counts AMOUNT in the row of KEY of section "TYPE NAME": adds it if KEY is
   NULL, else keeps the greater one.  */
static void
add_use (ops_t *ops, const char *type, const char *name, const char *key,
         int64_t amount, const char *what)
{
  char *section = g_strdup_printf ("%s %s", type, name);
  for (unsigned i = 0; i < ops->use->len; i++)
    {
      doc_use_t *row = &g_array_index (ops->use, doc_use_t, i);
      if (strcmp (row->section, section) != 0
          || g_strcmp0 (row->key, key) != 0)
        continue;
      row->amount
          = key == NULL ? row->amount + amount : MAX (row->amount, amount);
      g_free (section);
      return;
    }
  doc_use_t row = {
    .section = section, .key = key, .amount = amount, .description = what
  };
  g_array_append_val (ops->use, row);
}

static void
clear_use (void *data)
{
  g_free ((char *)((doc_use_t *)data)->section);
}

/* Adds the unfinished jobs of this zone, which need the section of their
   team.  */
static void
add_team_use (ops_t *ops)
{
  tasks_t *tasks = ops->entry->tasks;
  json_t *jobs = tasks != NULL ? sched_jobs (tasks_sched (tasks)) : NULL;
  size_t index;
  json_t *job;
  json_array_foreach (jobs, index, job)
  {
    const char *state = json_string_value (json_object_get (job, "state"));
    const char *team = json_string_value (json_object_get (job, "team"));
    if (team != NULL
        && (g_strcmp0 (state, "accepted") == 0
            || g_strcmp0 (state, "cancelling") == 0))
      add_use (ops, "team", team, NULL, 1, "unfinished jobs");
  }
  json_decref (jobs);
}

/* Reports what this entry knows to be in use: the backend servers of its zone
   (their slots are divided among the entries for as long as they run), the
   entries of all zones, and the unfinished jobs of its zone.  */
static size_t
current_use (void *context, const doc_use_t **rows)
{
  ops_t *ops = context;
  g_array_set_size (ops->use, 0);
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, ops->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const backend_t *backend = value;
      add_use (ops, "service", backend->service, NULL, 1, "running processes");
      add_use (ops, "service", backend->service, "request-limit",
               backend->first_request_limit,
               "request slots of each running process");
    }
  g_hash_table_iter_init (&iter, ops->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    add_use (ops, "zone", ((listed_entry_t *)value)->zone, NULL, 1, "entries");
  add_team_use (ops);
  *rows = (const doc_use_t *)ops->use->data;
  return ops->use->len;
}

static void
send_announce (void *context, int64_t revision)
{
  peer_announce_config (((ops_t *)context)->entry->peer, (uint64_t)revision);
}

static void
send_fetch (void *context, const char *entry, int64_t have_revision)
{
  peer_fetch_config (((ops_t *)context)->entry->peer, entry,
                     (uint64_t)have_revision);
}

static void
send_sections (void *context, const char *entry, int64_t revision,
               const char *bytes, size_t length)
{
  peer_send_config (((ops_t *)context)->entry->peer, entry, (uint64_t)revision,
                    bytes, length);
}

static const conf_peers_t conf_peers
    = { send_announce, send_fetch, send_sections };

static void
on_announced (void *context, const char *entry, const char *zone,
              uint64_t revision)
{
  conf_peer_reported (((ops_t *)context)->conf, entry, zone,
                      (int64_t)revision);
}

static void
on_fetch (void *context, const char *entry, uint64_t have_revision)
{
  conf_peer_fetch (((ops_t *)context)->conf, entry, (int64_t)have_revision);
}

static void
on_sections (void *context, const char *entry, uint64_t revision,
             const void *data, size_t length)
{
  conf_peer_sections (((ops_t *)context)->conf, data, length);
}

static const peer_config_ops_t peer_ops
    = { on_announced, on_fetch, on_sections };

/* Counts a request for the objectives, but not one that ended because of its
   caller: cancelled, malformed, too large, with the id of a request in flight,
   or for an unknown service.  */
static void
on_request_end (void *context, const relay_t *relay, int64_t latency_ms,
                int64_t wait_ms)
{
  ops_t *ops = context;
  switch (relay->reason)
    {
    case ERR_CANCELLED:
    case ERR_BAD_REQUEST:
    case ERR_TOO_LARGE:
    case ERR_IN_FLIGHT:
    case ERR_UNKNOWN_SERVICE:
      return;
    default:
      burn_store_count (ops->burn_store, relay->service,
                        relay->reason == ERR_OK && relay->status < 500,
                        latency_ms, wait_ms);
    }
}

static json_t *
requests_status (void *context)
{
  return dispatch_status (((ops_t *)context)->entry->dispatch);
}

static json_t *
tasks_status (void *context)
{
  tasks_t *tasks = ((ops_t *)context)->entry->tasks;
  return tasks != NULL ? sched_status (tasks_sched (tasks)) : NULL;
}

static json_t *
entries_status (void *context)
{
  static const char *const states[] = { "live", "leaving", "gone" };
  const ops_t *ops = context;
  json_t *list = json_array ();
  GHashTableIter iter;
  void *id, *value;
  g_hash_table_iter_init (&iter, ops->entries);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const listed_entry_t *listed = value;
      json_array_append_new (list, json_pack ("{s:s,s:s,s:s}", "entry", id,
                                              "zone", listed->zone, "state",
                                              states[listed->state]));
    }
  return list;
}

static int64_t
list_age_ms (void *context)
{
  const ops_t *ops = context;
  return ops->entry->instances != NULL
             ? instances_age_ms (ops->entry->instances)
             : -1;
}

static bool
is_ready (void *context, const char **why)
{
  return entry_ready (((ops_t *)context)->entry, why);
}

static void
on_conf_tick (void *context)
{
  conf_tick (((ops_t *)context)->conf);
}

/* The live entry with the lowest name folds the zone's counts.  If two entries
   each take themselves for that one, the versions of the rows let only one of
   the transactions commit.  */
static void
on_burn_tick (void *context)
{
  ops_t *ops = context;
  GPtrArray *live = g_ptr_array_new_with_free_func (g_free);
  peer_live_entries (ops->entry->peer, ops->entry->settings->zone, live);
  const char *lowest = ops->entry->self;
  for (unsigned i = 0; i < live->len; i++)
    if (strcmp (g_ptr_array_index (live, i), lowest) < 0)
      lowest = g_ptr_array_index (live, i);
  burn_store_tick (ops->burn_store, lowest == ops->entry->self);
  g_ptr_array_free (live, TRUE);
}

static void
open_api (ops_t *ops)
{
  entry_t *entry = ops->entry;
  api_options_t options = { .clock = entry->clock,
                            .registry = entry->registry,
                            .conf = ops->conf,
                            .auth = ops->auth,
                            .burn_store = ops->burn_store,
                            .entry = entry->self,
                            .zone = entry->settings->zone,
                            .requests_status = requests_status,
                            .tasks_status = tasks_status,
                            .entries_status = entries_status,
                            .list_age_ms = list_age_ms,
                            .ready = is_ready,
                            .context = ops };
  ops->api = api_new (&options);
  entry->api = ops->api;
  httpd_add_routes (entry->httpd, api_routes (), ops->api);
}

static void *
ops_open (entry_t *entry, GError **error)
{
  const char *hash = entry->settings->bootstrap_token_hash;
  if (hash != NULL && !auth_hash_valid (hash))
    {
      g_set_error (error, ERROR_DOMAIN, ERR_USAGE,
                   "--bootstrap-token-hash: not a hash, expected one printed "
                   "by \"magnoliadock hash-token\"");
      return NULL;
    }
  ops_t *ops = g_new0 (ops_t, 1);
  ops->entry = entry;
  ops->backends
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, backend_free);
  ops->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        listed_entry_free);
  ops->teams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  ops->use = g_array_new (FALSE, FALSE, sizeof (doc_use_t));
  g_array_set_clear_func (ops->use, clear_use);
  bool loopback = g_str_has_prefix (entry->settings->http, "127.");
  ops->auth = auth_new (entry->clock, loopback, hash);
  ops->burn_store = burn_store_new (entry->clock, entry->table, entry->self,
                                    entry->settings->zone);
  if (entry->table == NULL)
    return ops;
  ops->conf = conf_new (entry->clock, entry->table, entry->registry,
                        entry->self, entry->settings->zone, &conf_peers, ops);
  entry->conf = ops->conf;
  conf_add_listener (ops->conf, on_config_changed, ops);
  conf_set_use (ops->conf, current_use, ops);
  peer_set_config (entry->peer, &peer_ops, ops);
  proxy_set_observer (entry->proxy, on_request_end, ops);
  open_api (ops);
  ops->conf_timer
      = loop_timer_new (entry->loop, CONF_TICK_PERIOD_MS, on_conf_tick, ops);
  ops->burn_timer
      = loop_timer_new (entry->loop, BURN_TICK_PERIOD_MS, on_burn_tick, ops);
  conf_tick (ops->conf);
  return ops;
}

static void
ops_close (void *part)
{
  ops_t *ops = part;
  loop_timer_free (ops->conf_timer);
  loop_timer_free (ops->burn_timer);
  ops->entry->conf = NULL;
  conf_free (ops->conf);
  burn_store_free (ops->burn_store);
  auth_free (ops->auth);
  api_free (ops->api);
  g_array_free (ops->use, TRUE);
  g_hash_table_destroy (ops->backends);
  g_hash_table_destroy (ops->entries);
  g_hash_table_destroy (ops->teams);
  g_free (ops);
}

static void
update_backend (ops_t *ops, const instance_t *instance)
{
  if (instance->state == INSTANCE_GONE || instance->service == NULL
      || instance->url == NULL)
    {
      g_hash_table_remove (ops->backends, instance->id);
      dispatch_backend_remove (ops->entry->dispatch, instance->id);
      return;
    }
  backend_t *backend = g_new0 (backend_t, 1);
  backend->id = g_strdup (instance->id);
  backend->service = g_strdup (instance->service);
  backend->url = g_strdup (instance->url);
  backend->incarnation = instance->incarnation;
  backend->leaving = instance->state == INSTANCE_LEAVING;
  const backend_t *previous = g_hash_table_lookup (ops->backends, backend->id);
  if (previous != NULL && previous->incarnation == backend->incarnation)
    backend->first_request_limit = previous->first_request_limit;
  g_hash_table_replace (ops->backends, backend->id, backend);
  set_backend (ops, backend);
}

static void
update_entry (ops_t *ops, const instance_t *instance)
{
  if (instance->state == INSTANCE_GONE)
    {
      g_hash_table_remove (ops->entries, instance->id);
      conf_peer_remove (ops->conf, instance->id);
      return;
    }
  listed_entry_t *listed = g_new0 (listed_entry_t, 1);
  listed->zone = g_strdup (instance->zone != NULL ? instance->zone : "");
  listed->state = instance->state;
  g_hash_table_replace (ops->entries, g_strdup (instance->id), listed);
}

static void
ops_instance_changed (void *part, const instance_t *instance)
{
  ops_t *ops = part;
  if (ops->conf == NULL)
    return;
  if (instance->kind == INSTANCE_ENTRY)
    update_entry (ops, instance);
  else if (instance->kind == INSTANCE_BACKEND
           && g_strcmp0 (instance->zone, ops->entry->settings->zone) == 0)
    update_backend (ops, instance);
}

static bool
ops_ready (void *part, const char **why)
{
  *why = "no configuration yet";
  return ops_can_route (((ops_t *)part)->entry);
}

static void
ops_drain (void *part)
{
  burn_store_flush (((ops_t *)part)->burn_store);
}

static bool
ops_drained (void *part)
{
  return burn_store_settled (((ops_t *)part)->burn_store);
}

const entry_part_t ops_part = {
  .name = "ops",
  .open = ops_open,
  .close = ops_close,
  .instance_changed = ops_instance_changed,
  .ready = ops_ready,
  .begin_drain = ops_drain,
  .is_drained = ops_drained,
};
