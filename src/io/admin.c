#include "admin.h"

#include "api.h"
#include "auth.h"
#include "burn_store.h"
#include "log.h"
#include "loop.h"
#include "sched_io.h"

#include <string.h>

#define CONF_TICK_PERIOD_MS 100
#define BURN_TICK_PERIOD_MS 1000

/* A backend server of the own zone, from the instance list.  */
typedef struct
{
  char *id, *service, *url;
  int64_t incarnation;
  bool leaving;
  /* Request limit at the first dispatch_backend_set of this incarnation, which
     current_use reports as in use; 0: not called yet.  */
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
} admin_t;

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
admin_api (const entry_t *entry)
{
  return entry->api;
}

bool
admin_can_route (const entry_t *entry)
{
  return entry->conf == NULL
         || confrev_check_operation (conf_state (entry->conf), CONFREV_ROUTE)
                == ERR_OK;
}

static void
set_backend (admin_t *admin, backend_t *backend)
{
  doc_service_t limits;
  if (!admin_can_route (admin->entry))
    return;
  doc_service (confrev_document (conf_state (admin->conf)), backend->service,
               &limits);
  dispatch_backend_t row = {
    .id = backend->id,
    .service = backend->service,
    .zone = admin->entry->settings->zone,
    .url = backend->url,
    .leaving = backend->leaving,
    .request_limit = limits.request_limit,
    .connection_limit = limits.connection_limit,
    .incarnation = backend->incarnation,
  };
  if (backend->first_request_limit == 0)
    backend->first_request_limit = limits.request_limit;
  peer_add_service (admin->entry->peer, backend->service);
  dispatch_backend_set (admin->entry->dispatch, &row);
}

static void
set_service (admin_t *admin, doc_t *doc, const char *name)
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
  dispatch_service_set (admin->entry->dispatch, name, &policy);
}

static void
set_team (admin_t *admin, doc_t *doc, const char *name)
{
  /* Dispatch cannot remove a team; one that the document no longer has is set
     to have no limit.  */
  static const doc_team_t unlimited
      = { .urgent_rate = 1e6, .urgent_burst = 1e6, .request_weight = 1 };
  doc_team_t team;
  if (!doc_team (doc, name, &team))
    team = unlimited;
  dispatch_team_set (admin->entry->dispatch, name, team.urgent_rate,
                     team.urgent_burst, team.request_weight);
}

static void
on_config_changed (void *context, doc_t *doc, int64_t revision)
{
  admin_t *admin = context;
  auth_set_document (admin->auth, doc);
  burn_store_set_document (admin->burn_store, doc);
  for (size_t i = 0; i < doc_section_count (doc); i++)
    {
      const doc_section_t *section = doc_section_at (doc, i);
      const char *name = doc_section_name (section);
      if (doc_section_type (section) == DOC_TEAM)
        g_hash_table_add (admin->teams, g_strdup (name));
      if (doc_section_type (section) == DOC_SERVICE)
        set_service (admin, doc, name);
    }
  GHashTableIter iter;
  void *key, *value;
  g_hash_table_iter_init (&iter, admin->teams);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    set_team (admin, doc, key);
  g_hash_table_iter_init (&iter, admin->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      backend_t *backend = value;
      set_service (admin, doc, backend->service);
      set_backend (admin, backend);
    }
}

/* Counts AMOUNT in the row of KEY of section "TYPE NAME": adds it if KEY is
   NULL, else keeps the greater one.  */
static void
add_use (admin_t *admin, const char *type, const char *name, const char *key,
         int64_t amount, const char *description)
{
  char *section = g_strdup_printf ("%s %s", type, name);
  for (unsigned i = 0; i < admin->use->len; i++)
    {
      doc_use_t *row = &g_array_index (admin->use, doc_use_t, i);
      if (strcmp (row->section, section) != 0
          || g_strcmp0 (row->key, key) != 0)
        continue;
      row->amount
          = key == NULL ? row->amount + amount : MAX (row->amount, amount);
      g_free (section);
      return;
    }
  doc_use_t row = { .section = section,
                    .key = key,
                    .amount = amount,
                    .description = description };
  g_array_append_val (admin->use, row);
}

static void
clear_use (void *data)
{
  g_free ((char *)((doc_use_t *)data)->section);
}

/* Adds the unfinished jobs of this zone, which need the section of their
   team.  */
static void
add_team_use (admin_t *admin)
{
  sched_io_t *sched_io = admin->entry->sched_io;
  json_t *jobs
      = sched_io != NULL ? sched_jobs (sched_io_sched (sched_io)) : NULL;
  size_t index;
  json_t *job;
  json_array_foreach (jobs, index, job)
  {
    const char *state = json_string_value (json_object_get (job, "state"));
    const char *team = json_string_value (json_object_get (job, "team"));
    if (team != NULL
        && (g_strcmp0 (state, "accepted") == 0
            || g_strcmp0 (state, "cancelling") == 0))
      add_use (admin, "team", team, NULL, 1, "unfinished jobs");
  }
  json_decref (jobs);
}

/* Reports what this entry knows to be in use: the backend servers of its zone
   (their slots are divided among the entries for as long as they run), the
   entries of all zones, and the unfinished jobs of its zone.  */
static size_t
current_use (void *context, const doc_use_t **rows)
{
  admin_t *admin = context;
  g_array_set_size (admin->use, 0);
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, admin->backends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const backend_t *backend = value;
      add_use (admin, "service", backend->service, NULL, 1,
               "running processes");
      add_use (admin, "service", backend->service, "request-limit",
               backend->first_request_limit,
               "request slots of each running process");
    }
  g_hash_table_iter_init (&iter, admin->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    add_use (admin, "zone", ((listed_entry_t *)value)->zone, NULL, 1,
             "entries");
  add_team_use (admin);
  *rows = (const doc_use_t *)admin->use->data;
  return admin->use->len;
}

static void
send_announce (void *context, int64_t revision)
{
  peer_announce_config (((admin_t *)context)->entry->peer, (uint64_t)revision);
}

static void
send_fetch (void *context, const char *entry, int64_t have_revision)
{
  peer_fetch_config (((admin_t *)context)->entry->peer, entry,
                     (uint64_t)have_revision);
}

static void
send_sections (void *context, const char *entry, int64_t revision,
               const char *bytes, size_t length)
{
  peer_send_config (((admin_t *)context)->entry->peer, entry,
                    (uint64_t)revision, bytes, length);
}

static const conf_peers_t conf_peers
    = { send_announce, send_fetch, send_sections };

static void
on_announced (void *context, const char *entry, const char *zone,
              uint64_t revision)
{
  conf_peer_reported (((admin_t *)context)->conf, entry, zone,
                      (int64_t)revision);
}

static void
on_fetch (void *context, const char *entry, uint64_t have_revision)
{
  conf_peer_fetch (((admin_t *)context)->conf, entry, (int64_t)have_revision);
}

static void
on_sections (void *context, const char *entry, uint64_t revision,
             const void *data, size_t length)
{
  conf_peer_sections (((admin_t *)context)->conf, data, length);
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
  admin_t *admin = context;
  switch (relay->reason)
    {
    case ERR_CANCELLED:
    case ERR_BAD_REQUEST:
    case ERR_TOO_LARGE:
    case ERR_IN_FLIGHT:
    case ERR_UNKNOWN_SERVICE:
      return;
    default:
      burn_store_count (admin->burn_store, relay->service,
                        relay->reason == ERR_OK && relay->status < 500,
                        latency_ms, wait_ms);
    }
}

static json_t *
requests_status (void *context)
{
  return dispatch_status (((admin_t *)context)->entry->dispatch);
}

static json_t *
tasks_status (void *context)
{
  sched_io_t *sched_io = ((admin_t *)context)->entry->sched_io;
  return sched_io != NULL ? sched_status (sched_io_sched (sched_io)) : NULL;
}

static json_t *
entries_status (void *context)
{
  static const char *const states[] = { "live", "leaving", "gone" };
  const admin_t *admin = context;
  json_t *list = json_array ();
  GHashTableIter iter;
  void *id, *value;
  g_hash_table_iter_init (&iter, admin->entries);
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
instance_list_age_ms (void *context)
{
  const admin_t *admin = context;
  return admin->entry->instances != NULL
             ? instances_age_ms (admin->entry->instances)
             : -1;
}

static bool
is_ready (void *context, const char **reason)
{
  return entry_ready (((admin_t *)context)->entry, reason);
}

static void
on_conf_tick (void *context)
{
  conf_tick (((admin_t *)context)->conf);
}

/* The live entry with the lowest name folds the zone's counts.  If two entries
   both consider themselves the lowest, the versions of the rows let only one
   of the transactions commit.  */
static void
on_burn_tick (void *context)
{
  admin_t *admin = context;
  GPtrArray *live = g_ptr_array_new_with_free_func (g_free);
  peer_live_entries (admin->entry->peer, admin->entry->settings->zone, live);
  const char *lowest = admin->entry->self;
  for (unsigned i = 0; i < live->len; i++)
    if (strcmp (g_ptr_array_index (live, i), lowest) < 0)
      lowest = g_ptr_array_index (live, i);
  burn_store_tick (admin->burn_store, lowest == admin->entry->self);
  g_ptr_array_free (live, TRUE);
}

static void
open_api (admin_t *admin)
{
  entry_t *entry = admin->entry;
  api_options_t options = { .clock = entry->clock,
                            .registry = entry->registry,
                            .conf = admin->conf,
                            .auth = admin->auth,
                            .burn_store = admin->burn_store,
                            .entry = entry->self,
                            .zone = entry->settings->zone,
                            .requests_status = requests_status,
                            .tasks_status = tasks_status,
                            .entries_status = entries_status,
                            .list_age_ms = instance_list_age_ms,
                            .ready = is_ready,
                            .context = admin };
  admin->api = api_new (&options);
  entry->api = admin->api;
  httpd_add_routes (entry->httpd, api_routes (), admin->api);
}

static void *
admin_open (entry_t *entry, GError **error)
{
  const char *hash = entry->settings->bootstrap_token_hash;
  if (hash != NULL && !auth_hash_valid (hash))
    {
      g_set_error (error, ERROR_DOMAIN, ERR_USAGE,
                   "--bootstrap-token-hash: not a hash, expected one printed "
                   "by \"magnoliadock hash-token\"");
      return NULL;
    }
  admin_t *admin = g_new0 (admin_t, 1);
  admin->entry = entry;
  admin->backends
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, backend_free);
  admin->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          listed_entry_free);
  admin->teams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  admin->use = g_array_new (FALSE, FALSE, sizeof (doc_use_t));
  g_array_set_clear_func (admin->use, clear_use);
  bool loopback = g_str_has_prefix (entry->settings->http, "127.");
  admin->auth = auth_new (entry->clock, loopback, hash);
  admin->burn_store = burn_store_new (entry->clock, entry->table, entry->self,
                                      entry->settings->zone);
  if (entry->table == NULL)
    return admin;
  admin->conf
      = conf_new (entry->clock, entry->table, entry->registry, entry->self,
                  entry->settings->zone, &conf_peers, admin);
  entry->conf = admin->conf;
  conf_add_listener (admin->conf, on_config_changed, admin);
  conf_set_use (admin->conf, current_use, admin);
  peer_set_config (entry->peer, &peer_ops, admin);
  proxy_set_observer (entry->proxy, on_request_end, admin);
  open_api (admin);
  admin->conf_timer
      = loop_timer_new (entry->loop, CONF_TICK_PERIOD_MS, on_conf_tick, admin);
  admin->burn_timer
      = loop_timer_new (entry->loop, BURN_TICK_PERIOD_MS, on_burn_tick, admin);
  conf_tick (admin->conf);
  return admin;
}

static void
admin_close (void *part)
{
  admin_t *admin = part;
  loop_timer_free (admin->conf_timer);
  loop_timer_free (admin->burn_timer);
  admin->entry->conf = NULL;
  conf_free (admin->conf);
  burn_store_free (admin->burn_store);
  auth_free (admin->auth);
  api_free (admin->api);
  g_array_free (admin->use, TRUE);
  g_hash_table_destroy (admin->backends);
  g_hash_table_destroy (admin->entries);
  g_hash_table_destroy (admin->teams);
  g_free (admin);
}

static void
update_backend (admin_t *admin, const instance_t *instance)
{
  if (instance->state == INSTANCE_GONE || instance->service == NULL
      || instance->url == NULL)
    {
      g_hash_table_remove (admin->backends, instance->id);
      dispatch_backend_remove (admin->entry->dispatch, instance->id);
      return;
    }
  backend_t *backend = g_new0 (backend_t, 1);
  backend->id = g_strdup (instance->id);
  backend->service = g_strdup (instance->service);
  backend->url = g_strdup (instance->url);
  backend->incarnation = instance->incarnation;
  backend->leaving = instance->state == INSTANCE_LEAVING;
  const backend_t *previous
      = g_hash_table_lookup (admin->backends, backend->id);
  if (previous != NULL && previous->incarnation == backend->incarnation)
    backend->first_request_limit = previous->first_request_limit;
  g_hash_table_replace (admin->backends, backend->id, backend);
  set_backend (admin, backend);
}

static void
update_entry (admin_t *admin, const instance_t *instance)
{
  if (instance->state == INSTANCE_GONE)
    {
      g_hash_table_remove (admin->entries, instance->id);
      conf_peer_remove (admin->conf, instance->id);
      return;
    }
  listed_entry_t *listed = g_new0 (listed_entry_t, 1);
  listed->zone = g_strdup (instance->zone != NULL ? instance->zone : "");
  listed->state = instance->state;
  g_hash_table_replace (admin->entries, g_strdup (instance->id), listed);
}

static void
admin_instance_changed (void *part, const instance_t *instance)
{
  admin_t *admin = part;
  if (admin->conf == NULL)
    return;
  if (instance->kind == INSTANCE_ENTRY)
    update_entry (admin, instance);
  else if (instance->kind == INSTANCE_BACKEND
           && g_strcmp0 (instance->zone, admin->entry->settings->zone) == 0)
    update_backend (admin, instance);
}

static bool
admin_ready (void *part, const char **reason)
{
  *reason = "no configuration yet";
  return admin_can_route (((admin_t *)part)->entry);
}

static void
admin_drain (void *part)
{
  burn_store_flush (((admin_t *)part)->burn_store);
}

static bool
admin_drained (void *part)
{
  return burn_store_idle (((admin_t *)part)->burn_store);
}

const entry_part_t admin_part = {
  .name = "ops",
  .open = admin_open,
  .close = admin_close,
  .instance_changed = admin_instance_changed,
  .ready = admin_ready,
  .begin_drain = admin_drain,
  .is_drained = admin_drained,
};
