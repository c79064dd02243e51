#include "entry.h"

#include "log.h"
#include "loop.h"
#include "admin.h"
#include "options.h"
#include "table_http.h"

#include <curl/curl.h>
#include <signal.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

/* Limits of each process of a backend server when there is no table service,
   and so no configuration that sets them.  */
#define REQUESTS_PER_PROCESS 8
#define CONNECTIONS_PER_PROCESS 64
#define MAX_HTTP_CONNECTIONS 4096
#define MAX_HEADER_BYTES ((size_t)16 * 1024)
#define MAX_BODY_BYTES ((size_t)1024 * 1024)
#define MAX_PARTS 16
#define DRAIN_CHECK_PERIOD_MS 20
/* After the port is closed, the process runs at least this long, because open
   connections may still bring a request, which has to be refused with an
   answer.  */
#define DRAIN_LINGER_MS 300

#define FIELD(name) offsetof (entry_settings_t, name)

const option_t entry_options[] = {
  { "instance-id", OPTION_TEXT, FIELD (instance_id), NULL, true, 0, 0, NULL,
    "Id of this instance in the instance list" },
  { "zone", OPTION_TEXT, FIELD (zone), NULL, true, 0, 0, NULL,
    "Availability zone of this instance" },
  { "http", OPTION_ADDRESS, FIELD (http), NULL, true, 0, 0, NULL,
    "Address for callers and operators" },
  { "peer", OPTION_ADDRESS, FIELD (peer), NULL, true, 0, 0, NULL,
    "Address for other entries" },
  { "list-url", OPTION_URL, FIELD (list_url), NULL, true, 0, 0, NULL,
    "Instance list" },
  { "table-url", OPTION_URL, FIELD (table_url), NULL, false, 0, 0, NULL,
    "Table service; without it the entry counts as alone in its zone" },
  { "objects-url", OPTION_URL, FIELD (objects_url), NULL, false, 0, 0, NULL,
    "Object store" },
  { "bootstrap-token-hash", OPTION_TEXT, FIELD (bootstrap_token_hash), NULL,
    false, 0, 0, NULL,
    "Hash (see hash-token) of operator-bootstrap's token, accepted while the "
    "document has no operator token" },
  { "log-level", OPTION_CHOICE, FIELD (log_level), "info", false, 0, 0,
    "debug|info|warn|error", "Lowest level of log lines" },
  { "drain-notice-ms", OPTION_INTEGER, FIELD (drain_notice_ms), "3000", false,
    0, 600000, NULL, "Time between failing readiness and closing the port" },
  { "drain-limit-ms", OPTION_INTEGER, FIELD (drain_limit_ms), "70000", false,
    0, 600000, NULL, "Longest wait for requests in flight at a planned stop" },
  { "remote-peers", OPTION_INTEGER, FIELD (remote_peers), "2", false, 0, 64,
    NULL, "Connections to entries of each other zone" },
  { "seed", OPTION_INTEGER, FIELD (seed), NULL, false, 0, G_MAXUINT32, NULL,
    "Seed of random choices (default: from the start time)" },
  { NULL, 0, 0, NULL, false, 0, 0, NULL, NULL },
};

/* An entry and what is used in this file only.  The entry_t comes first, so
   that entry_ready can convert a pointer to it.  */
typedef struct
{
  entry_t entry;
  void *parts[MAX_PARTS];
  unsigned part_count;
  ev_signal terminate;
  ev_signal interrupt;
  loop_timer_t *drain_timer;
  int64_t drain_begun_ms; /* 0: not draining */
  bool accepting;         /* the port is open */
  bool list_received;     /* the instance list has named an instance */
} entry_process_t;

static void
act_send (void *context, uint64_t id, uint32_t attempt, const char *backend,
          const char *url, bool new_connection)
{
  proxy_send (((entry_t *)context)->proxy, id, attempt, backend, url,
              new_connection);
}

static void
act_hand_over (void *context, uint64_t id, uint32_t attempt, const char *entry)
{
  peer_hand_over (((entry_t *)context)->peer, id, attempt, entry);
}

static void
act_refuse (void *context, uint64_t id, err_kind_t kind, outcome_t outcome,
            int64_t retry_after_ms, const char *detail)
{
  if (kind == ERR_UNKNOWN_SERVICE && !admin_can_route (context))
    {
      kind = ERR_NO_CONFIG;
      detail = "this entry has no configuration yet";
    }
  proxy_refuse (((entry_t *)context)->proxy, id, kind, outcome, retry_after_ms,
                detail);
}

static void
act_probe (void *context, const char *backend, const char *url)
{
  proxy_probe (((entry_t *)context)->proxy, backend, url);
}

static void
act_send_ledger (void *context, const char *entry,
                 const dispatch_ledger_item_t *items, uint32_t count)
{
  peer_send_ledger (((entry_t *)context)->peer, entry, items, count);
}

static void
act_want_slots (void *context, const char *entry, const char *service,
                uint32_t count)
{
  peer_want_slots (((entry_t *)context)->peer, entry, service, count);
}

static void
act_closing_request (void *context, const char *entry,
                     const char *const *members, uint32_t count)
{
  peer_closing_request (((entry_t *)context)->peer, entry, members, count);
}

static void
act_closing_statement (void *context, const char *entry,
                       const char *const *members, uint32_t count,
                       const dispatch_closing_item_t *items,
                       uint32_t item_count)
{
  peer_closing_statement (((entry_t *)context)->peer, entry, members, count,
                          items, item_count);
}

static const dispatch_actions_t dispatch_actions = {
  .send = act_send,
  .hand_over = act_hand_over,
  .refuse = act_refuse,
  .probe = act_probe,
  .send_ledger = act_send_ledger,
  .want_slots = act_want_slots,
  .closing_request = act_closing_request,
  .closing_statement = act_closing_statement,
};

static void
set_backend (entry_t *entry, const instance_t *instance)
{
  /* With a configuration, the part admin sets the backend servers, with the
     limits from there.  */
  if (entry->conf != NULL)
    return;
  if (instance->state == INSTANCE_GONE)
    {
      dispatch_backend_remove (entry->dispatch, instance->id);
      return;
    }
  if (instance->service == NULL || instance->url == NULL)
    return;
  dispatch_backend_t backend = {
    .id = instance->id,
    .service = instance->service,
    .zone = instance->zone,
    .url = instance->url,
    .leaving = instance->state == INSTANCE_LEAVING,
    .request_limit = REQUESTS_PER_PROCESS,
    .connection_limit = CONNECTIONS_PER_PROCESS,
    .incarnation = instance->incarnation,
  };
  peer_add_service (entry->peer, instance->service);
  dispatch_backend_set (entry->dispatch, &backend);
}

static void
on_instance_changed (void *context, const instance_t *instance)
{
  entry_process_t *process = context;
  entry_t *entry = &process->entry;
  process->list_received = true;
  if (instance->kind == INSTANCE_BACKEND
      && g_strcmp0 (instance->zone, entry->settings->zone) == 0)
    set_backend (entry, instance);
  if (instance->kind == INSTANCE_ENTRY)
    peer_instance_changed (entry->peer, instance);
  for (unsigned i = 0; i < process->part_count; i++)
    if (entry_parts[i]->instance_changed != NULL)
      entry_parts[i]->instance_changed (process->parts[i], instance);
}

bool
entry_ready (const entry_t *entry, const char **reason)
{
  const entry_process_t *process = (const entry_process_t *)entry;
  *reason = NULL;
  if (process->drain_begun_ms != 0)
    *reason = "leaving";
  else if (!process->list_received)
    *reason = "no instance list yet";
  for (unsigned i = 0; *reason == NULL && i < process->part_count; i++)
    {
      const char *part_reason;
      if (entry_parts[i]->ready != NULL
          && !entry_parts[i]->ready (process->parts[i], &part_reason))
        *reason = part_reason;
    }
  return *reason == NULL;
}

static void
answer_healthz (void *context, httpd_exchange_t *exchange,
                const httpd_request_t *request)
{
  httpd_answer (exchange, 200, "text/plain", "ok\n", 3);
}

static void
answer_readyz (void *context, httpd_exchange_t *exchange,
               const httpd_request_t *request)
{
  const char *reason;
  if (entry_ready (context, &reason))
    httpd_answer (exchange, 200, "text/plain", "ready\n", 6);
  else
    httpd_answer (exchange, 503, "text/plain", reason, strlen (reason));
}

static const httpd_route_t entry_routes[] = {
  { "GET", "/healthz", answer_healthz },
  { "GET", "/readyz", answer_readyz },
  { NULL, NULL, NULL },
};

static bool
parts_drained (entry_process_t *process)
{
  for (unsigned i = 0; i < process->part_count; i++)
    if (entry_parts[i]->is_drained != NULL
        && !entry_parts[i]->is_drained (process->parts[i]))
      return false;
  return true;
}

/* Steps of a planned stop: for drain_notice_ms, readiness fails while
   everything is still served; then the port is closed, requests in flight end
   and the slots are given to peers; then, or after drain_limit_ms more, the
   process ends.  */
static void
on_drain_check (void *context)
{
  entry_process_t *process = context;
  entry_t *entry = &process->entry;
  int64_t waited_ms = clk_now_ms (entry->clock) - process->drain_begun_ms;
  if (process->accepting)
    {
      if (waited_ms < entry->settings->drain_notice_ms)
        return;
      process->accepting = false;
      httpd_stop_accepting (entry->httpd);
      dispatch_begin_drain (entry->dispatch);
      for (unsigned i = 0; i < process->part_count; i++)
        if (entry_parts[i]->begin_drain != NULL)
          entry_parts[i]->begin_drain (process->parts[i]);
      log_event (LOG_INFO, "drain_port_closed", NULL);
    }
  bool over_limit = waited_ms > entry->settings->drain_notice_ms
                                    + entry->settings->drain_limit_ms;
  bool done = waited_ms >= entry->settings->drain_notice_ms + DRAIN_LINGER_MS
              && proxy_open_requests (entry->proxy) == 0
              && httpd_open_exchanges (entry->httpd) == 0
              && dispatch_is_drained (entry->dispatch)
              && parts_drained (process);
  if (!done && !over_limit)
    return;
  log_event (done ? LOG_INFO : LOG_WARN, "drain_done", "complete",
             done ? "true" : "false", NULL);
  ev_break (entry->loop, EVBREAK_ALL);
}

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  entry_process_t *process = watcher->data;
  if (process->drain_begun_ms != 0)
    return;
  process->drain_begun_ms = clk_now_ms (process->entry.clock);
  log_event (LOG_INFO, "drain_begun", NULL);
  httpd_disable_keep_alive (process->entry.httpd);
  peer_announce_leaving (process->entry.peer);
  process->drain_timer
      = loop_timer_new (loop, DRAIN_CHECK_PERIOD_MS, on_drain_check, process);
}

static void
watch_signal (entry_process_t *process, ev_signal *watcher, int number)
{
  ev_signal_init (watcher, on_signal, number);
  watcher->data = process;
  ev_signal_start (process->entry.loop, watcher);
}

static bool
open_clients (entry_t *entry)
{
  static const httpc_options_t options = { .max_connections_per_host = 32,
                                           .max_idle_s = 5,
                                           .max_age_s = 60,
                                           .connect_timeout_ms = 1000 };
  static const httpc_options_t worker_options
      = { .max_connections_per_host = 256,
          .max_idle_s = 10,
          .max_age_s = 60,
          .connect_timeout_ms = 1000 };
  entry->platform_client = httpc_new (entry->loop, &options);
  entry->worker_client = httpc_new (entry->loop, &worker_options);
  if (entry->settings->table_url != NULL)
    entry->table = table_http_new (entry->platform_client, entry->loop,
                                   entry->clock, entry->settings->table_url);
  return true;
}

static bool
open_servers (entry_t *entry, GError **error)
{
  const entry_settings_t *settings = entry->settings;
  struct rlimit files;
  getrlimit (RLIMIT_NOFILE, &files);
  /* Callers get at most half of the file descriptors; the rest is for backend
     servers, peers, workers and the platform.  */
  rlim_t callers = MIN (files.rlim_cur / 2, MAX_HTTP_CONNECTIONS);
  httpd_options_t http = { .listen = settings->http,
                           .max_connections = (uint32_t)callers,
                           .max_header_bytes = MAX_HEADER_BYTES,
                           .max_body_bytes = MAX_BODY_BYTES };
  peer_options_t peer = { .id = settings->instance_id,
                          .zone = settings->zone,
                          .listen = settings->peer,
                          .incarnation = entry->incarnation,
                          .remote_peers = (uint32_t)settings->remote_peers,
                          .seed = (uint32_t)settings->seed,
                          .loop = entry->loop,
                          .clock = entry->clock,
                          .registry = entry->registry };
  proxy_options_t proxy = { .self = entry->self,
                            .loop = entry->loop,
                            .clock = entry->clock,
                            .registry = entry->registry };
  entry->peer = peer_new (&peer, error);
  if (entry->peer == NULL)
    return false;
  entry->httpd = httpd_new (entry->loop, &http, error);
  if (entry->httpd == NULL)
    return false;
  entry->dispatch
      = dispatch_new (entry->self, settings->zone, &dispatch_actions, entry,
                      entry->clock, entry->registry, (uint32_t)settings->seed);
  entry->proxy = proxy_new (&proxy);
  proxy_set_dispatch (entry->proxy, entry->dispatch);
  proxy_serve (entry->proxy, entry->httpd);
  peer_set_proxy (entry->peer, entry->proxy, entry->dispatch);
  httpd_add_routes (entry->httpd, entry_routes, entry);
  return true;
}

static bool
open_parts (entry_process_t *process, GError **error)
{
  for (unsigned i = 0; i < MAX_PARTS && entry_parts[i] != NULL; i++)
    {
      process->parts[i] = entry_parts[i]->open (&process->entry, error);
      if (process->parts[i] == NULL)
        {
          g_prefix_error (error, "%s: ", entry_parts[i]->name);
          return false;
        }
      process->part_count++;
    }
  return true;
}

static void
close_all (entry_process_t *process)
{
  entry_t *entry = &process->entry;
  for (unsigned i = process->part_count; i > 0; i--)
    entry_parts[i - 1]->close (process->parts[i - 1]);
  loop_timer_free (process->drain_timer);
  if (entry->instances != NULL)
    instances_free (entry->instances);
  if (entry->httpd != NULL)
    httpd_free (entry->httpd);
  peer_free (entry->peer);
  proxy_free (entry->proxy);
  dispatch_free (entry->dispatch);
  if (entry->table != NULL)
    table_http_free (entry->table);
  httpc_free (entry->platform_client);
  httpc_free (entry->worker_client);
  counter_registry_free (entry->registry);
  g_free (entry->self);
}

static int
run (const entry_settings_t *settings)
{
  entry_process_t process = { .accepting = true };
  entry_t *entry = &process.entry;
  GError *error = NULL;
  int code = 0;
  entry->settings = settings;
  entry->clock = loop_clock ();
  /* The clock has a resolution of 1 ms; the digits below that are random.  */
  entry->incarnation
      = clk_wall_ms (entry->clock) * 1000000 + g_random_int_range (0, 1000000);
  entry->self = g_strdup_printf ("%s@%" G_GINT64_FORMAT, settings->instance_id,
                                 entry->incarnation);
  entry->loop = ev_default_loop (EVFLAG_AUTO);
  entry->registry = counter_registry_new ();
  watch_signal (&process, &process.terminate, SIGTERM);
  watch_signal (&process, &process.interrupt, SIGINT);
  if (!open_clients (entry) || !open_servers (entry, &error)
      || !open_parts (&process, &error))
    {
      fprintf (stderr, "magnoliadock entry: %s\n", error->message);
      g_clear_error (&error);
      code = 1;
      goto out;
    }
  entry->instances = instances_new (
      entry->platform_client, entry->clock, entry->loop, settings->list_url,
      settings->zone, on_instance_changed, &process);
  log_event (LOG_INFO, "entry_started", "entry", entry->self, "zone",
             settings->zone, "http", settings->http, "peer", settings->peer,
             NULL);
  ev_run (entry->loop, 0);

out:
  close_all (&process);
  /* Lets the links to peers write what is in their buffers.  */
  ev_run (ev_default_loop (0), EVRUN_NOWAIT);
  ev_run (ev_default_loop (0), EVRUN_NOWAIT);
  log_event (LOG_INFO, "entry_stopped", NULL);
  return code;
}

int
entry_run (int argc, char **argv)
{
  entry_settings_t settings = { 0 };
  log_level_t level;
  int code = err_info (ERR_USAGE)->exit_code;
  settings.seed = (int64_t)(g_get_real_time () & G_MAXUINT32);
  if (options_parse (entry_options, &settings, "Runs an entry.", argc, argv,
                     NULL))
    {
      signal (SIGPIPE, SIG_IGN);
      log_level_parse (settings.log_level, &level);
      log_set_level (level);
      curl_global_init (CURL_GLOBAL_DEFAULT);
      code = run (&settings);
      curl_global_cleanup ();
    }
  options_clear (entry_options, &settings);
  return code;
}
