#include "node_int.h"

#include "log.h"
#include "loop.h"

#include <curl/curl.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Longest waits of the calls that follow tables.  Channels may go silent for
   good, which only the time-out of such a call shows; configurations have to
   be in force within 2 s.  */
#define CONFIG_WAIT_MS 700
#define WORKERS_WAIT_MS 1000
#define FOLLOW_SLACK_MS 900
/* Every worker renews its row once a heartbeat; without a pause each of these
   would be an answer of its own.  Draining workers get no work after 2 s.  */
#define WORKERS_GAP_MS 300
/* Claims need fresh answers about the beats.  */
#define CLUSTER_WAIT_MS 250
#define CLUSTER_SLACK_MS 600
/* Beats are watched anew after a longer time without an answer about them.  */
#define BEAT_GAP_MS 700
/* Share by which the lateness of the store's answers is forgotten with each
   answer that tells one.  The beats of several cells leave few of these: the
   answers about the configuration tell it too.  */
#define LATE_FALL_DIVISOR 3
#define TICK_S (CELL_TICK_MS / 1000.0)
#define CLAIM_CHECK_S 0.05
#define ENROLL_LIMIT_MS 1500
/* The platform needs two looks, one a second, to send no new channels.  */
#define LINGER_MS 2300
/* Nothing has been open for this long before the process ends.  */
#define IDLE_BEFORE_EXIT_MS 300
#define EXIT_MARGIN_MS 700
/* Waits for the store's answer to a transaction: a sound one takes 10 to 30
   ms, a slow one 700 ms.  */
#define STORE_LEAST_WAIT_MS 250
#define STORE_MOST_WAIT_MS 2000
/* A larger difference between two readings is a jump of the time of day.  */
#define WALL_DRIFT_MS 100

int64_t
node_now (const node_t *node)
{
  return clk_now_ms (node->clock);
}

/* Time of day that does not follow jumps.  */
static int64_t
steady_wall_ms (node_t *node)
{
  int64_t now_ms = node_now (node);
  int64_t offset_ms = clk_wall_ms (node->clock) - now_ms;
  if (node->wall_offset_ms == 0
      || ABS (offset_ms - node->wall_offset_ms) < WALL_DRIFT_MS)
    node->wall_offset_ms = offset_ms;
  return now_ms + node->wall_offset_ms;
}

void
node_count (node_t *node, const char *name, const char *labels)
{
  counter_add (counter_get (node->metrics, name, labels), 1);
}

void
node_observe (node_t *node, const char *name, int64_t took_ms)
{
  const int64_t us_per_ms = 1000;
  histogram_add (counter_histogram (node->metrics, name, NULL),
                 (uint64_t)(MAX (took_ms, 0) * us_per_ms));
}

static node_cell_t *
cell_named (node_t *node, const char *name)
{
  node_cell_t *cell = g_hash_table_lookup (node->cells, name);
  if (cell == NULL)
    {
      cell = node_cell_new (node, name);
      g_hash_table_insert (node->cells, cell->name, cell);
    }
  return cell;
}

node_cell_t *
node_cell_of (node_t *node, const queue_t *queue)
{
  return cell_named (node, queue->service);
}

static void
each_cell (node_t *node, void (*each) (node_cell_t *cell))
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    each (value);
}

static void
on_cluster_changed (void *context, const char *part, const char *key,
                    const char *value, size_t length)
{
  node_t *node = context;
  if (part[0] != '\0' && strcmp (key, BEAT_KEY) == 0)
    {
      node_beat_changed (cell_named (node, part), value, length);
      return;
    }
  if (!g_str_has_prefix (key, ENTRY_PREFIX))
    return;
  const char *name = key + strlen (ENTRY_PREFIX);
  json_t *entry = value != NULL ? json_loadb (value, length, 0, NULL) : NULL;
  const char *address = json_string_value (json_object_get (entry, "address"));
  if (address != NULL)
    node_adviser_set (
        node, name, address,
        json_integer_value (json_object_get (entry, "cpu_millis")));
  else if (strcmp (name, node->site->settings.name) != 0)
    node_adviser_remove (node, name);
  json_decref (entry);
}

static void
watch_anew (node_cell_t *cell)
{
  cell->beat_ms = node_now (cell->node);
}

static void
on_store_answered (void *context, int64_t late_ms)
{
  node_t *node = context;
  if (late_ms < 0)
    return;
  node->late_ms -= node->late_ms / LATE_FALL_DIVISOR;
  node->late_ms = MAX (node->late_ms, late_ms);
}

static void
on_cluster_answered (void *context, int64_t late_ms)
{
  node_t *node = context;
  int64_t now_ms = node_now (node);
  on_store_answered (node, late_ms);
  /* What happened to the beats meanwhile is not known.  */
  if (now_ms - node->answered_ms > BEAT_GAP_MS)
    each_cell (node, watch_anew);
  node->answered_ms = now_ms;
}

static const replica_events_t cluster_events
    = { on_cluster_changed, NULL, on_cluster_answered };

static void
worker_listed (void *context, const worker_row_t *row)
{
  node_t *node = context;
  node_cell_t *cell = g_hash_table_lookup (node->cells, row->service);
  if (cell != NULL && cell->cell != NULL)
    cell_worker_listed (cell->cell, row);
}

static void
on_worker_changed (void *context, const char *part, const char *key,
                   const char *value, size_t length)
{
  node_t *node = context;
  site_t *site = node->site;
  node->input = true;
  /* A row that cannot be read names no worker to use; the one that it named
     before holds until its next row or its removal.  */
  if (value != NULL)
    {
      if (!site->ops->decode_worker (site, key, value, length, worker_listed,
                                     node))
        log_event (LOG_WARN, "worker_row_unreadable", "id", key, NULL);
      return;
    }
  GHashTableIter iterator;
  gpointer cell;
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &cell))
    if (((node_cell_t *)cell)->cell != NULL)
      cell_worker_unlisted (((node_cell_t *)cell)->cell, key);
}

static void
on_workers_loaded (void *context)
{
  each_cell (context, node_cell_begin_if_loaded);
}

static const replica_events_t worker_events
    = { on_worker_changed, on_workers_loaded, NULL };

void
node_follow_workers (node_t *node)
{
  static const char *const parts[] = { "", NULL };
  bool wanted = node_cells_held (node) > 0;
  if (!wanted)
    {
      replica_free (node->workers);
      node->workers = NULL;
    }
  if (!wanted || node->workers != NULL)
    return;
  replica_options_t options
      = { node->site->ops->workers_table (node->site), parts, WORKERS_WAIT_MS,
          FOLLOW_SLACK_MS, WORKERS_GAP_MS };
  node->workers
      = replica_new (node->site, node->loop, &options, &worker_events, node);
}

static void
apply_queues (node_cell_t *cell)
{
  if (cell->cell != NULL)
    cell_set_queues (cell->cell, cell->node->queues);
}

/* Callers are sent to other nodes while the store does not answer this one. */
static void
check_readiness (node_t *node)
{
  const site_ops_t *ops = node->site->ops;
  bool ready = !node->stopping && !node_store_lost (node);
  ops->set_ready (node->site, ready);
  ops->end_connections (node->site, !ready);
}

static void start_following (node_t *node);

static void
on_config_changed (void *context, const char *part, const char *key,
                   const char *value, size_t length)
{
  node_t *node = context;
  site_t *site = node->site;
  if (strcmp (key, site->ops->config_key (site)) != 0 || value == NULL)
    return;
  GError *error = NULL;
  queue_table_t *table
      = site->ops->decode_config (site, value, length, &error);
  char version[24];
  if (table == NULL)
    {
      log_event (LOG_ERROR, "config_unreadable", "message", error->message,
                 NULL);
      g_clear_error (&error);
      return;
    }
  g_snprintf (version, sizeof version, "%" G_GUINT64_FORMAT, table->version);
  if (node->queues != NULL && table->version <= node->queues->version)
    {
      log_event (LOG_INFO, "config_ignored", "version", version, NULL);
      queue_table_free (table);
      return;
    }
  log_event (LOG_INFO, "config_in_force", "version", version, NULL);
  queue_table_free (node->queues);
  node->queues = table;
  for (guint i = 0; i < table->services->len; i++)
    cell_named (node, table->services->pdata[i]);
  each_cell (node, apply_queues);
  if (node->cluster == NULL)
    start_following (node);
  check_readiness (node);
  node->input = true;
}

static const replica_events_t config_events
    = { on_config_changed, NULL, on_store_answered };

static void enroll_done (void *context, const site_rows_t *reply);

/* Writes this node's row, so that others find it.  */
static void
enroll (node_t *node)
{
  const site_settings_t *settings = &node->site->settings;
  char *key = g_strconcat (ENTRY_PREFIX, settings->name, NULL);
  char *value = g_strdup_printf (
      "{\"address\":\"%s:%u\",\"zone\":\"%s\",\"incarnation\":\"%s\","
      "\"cpu_millis\":%lld}",
      settings->ip, settings->peer_port, settings->zone, node->incarnation,
      (long long)settings->cpu_millis);
  site_row_t row = { CLUSTER_TABLE, "", key, 0, value, strlen (value) };
  node->site->ops->commit (node->site, NULL, 0, &row, 1, ENROLL_LIMIT_MS,
                           enroll_done, node);
  g_free (key);
  g_free (value);
}

static void
enroll_done (void *context, const site_rows_t *reply)
{
  node_t *node = context;
  if (reply->result == STORE_OK)
    node->enrolled = true;
  else
    enroll (node);
}

static void
start_following (node_t *node)
{
  const queue_table_t *table = node->queues;
  const char **parts = g_new0 (const char *, table->services->len + 2);
  parts[0] = "";
  for (guint i = 0; i < table->services->len; i++)
    parts[i + 1] = table->services->pdata[i];
  replica_options_t options = { CLUSTER_TABLE, parts, CLUSTER_WAIT_MS,
                                CLUSTER_SLACK_MS, NODE_CLOSE_GAP_MS };
  node->cluster
      = replica_new (node->site, node->loop, &options, &cluster_events, node);
  g_free (parts);
  enroll (node);
}

static void
follow_operator (node_t *node)
{
  static const char *const parts[] = { "", NULL };
  site_t *site = node->site;
  replica_options_t options = { site->ops->operator_table (site), parts,
                                CONFIG_WAIT_MS, FOLLOW_SLACK_MS, 0 };
  node->config
      = replica_new (site, node->loop, &options, &config_events, node);
}

static void
run_cells (node_t *node)
{
  GHashTableIter iterator;
  gpointer value;
  int64_t wall_ms = steady_wall_ms (node);
  node->input = false;
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    node_cell_run (value, wall_ms);
}

static void
on_decide (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  node_t *node = watcher->data;
  if (node->input)
    run_cells (node);
}

static void
check_stop (node_t *node)
{
  const site_ops_t *ops = node->site->ops;
  int64_t now_ms = node_now (node);
  int64_t since_ms = now_ms - node->stop_ms;
  bool idle = ops->open_requests (node->site) == 0;
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    idle = idle && ((node_cell_t *)value)->state == CELL_IDLE;
  if (!idle)
    node->idle_ms = 0;
  else if (node->idle_ms == 0)
    node->idle_ms = now_ms;
  if ((since_ms >= LINGER_MS && idle
       && now_ms - node->idle_ms >= IDLE_BEFORE_EXIT_MS)
      || since_ms >= node->site->settings.stop_limit_ms - EXIT_MARGIN_MS)
    ev_break (node->loop, EVBREAK_ALL);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  node_t *node = watcher->data;
  run_cells (node);
  if (node->stopping)
    check_stop (node);
}

static void
on_claim_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  node_t *node = watcher->data;
  if (node->cluster == NULL)
    return;
  node_claim_check (node);
  check_readiness (node);
}

static void
on_terminate (struct ev_loop *loop, ev_signal *watcher, int events)
{
  node_t *node = watcher->data;
  if (node->stopping)
    return;
  log_event (LOG_INFO, "stopping", "node", node->site->settings.name, NULL);
  node->stopping = true;
  node->stop_ms = node_now (node);
  check_readiness (node);
  each_cell (node, node_release);
}

static void
on_reload (struct ev_loop *loop, ev_signal *watcher, int events)
{
  node_t *node = watcher->data;
  log_event (LOG_INFO, "reload", "node", node->site->settings.name, NULL);
  node->site->ops->reload (node->site);
}

static void
watch_signals (node_t *node)
{
  signal (SIGPIPE, SIG_IGN);
  ev_signal_init (&node->terminate, on_terminate, SIGTERM);
  ev_signal_init (&node->interrupt, on_terminate, SIGINT);
  ev_signal_init (&node->reload, on_reload, SIGHUP);
  node->terminate.data = node->interrupt.data = node->reload.data = node;
  ev_signal_start (node->loop, &node->terminate);
  ev_signal_start (node->loop, &node->interrupt);
  ev_signal_start (node->loop, &node->reload);
}

static void
start_timers (node_t *node)
{
  ev_timer_init (&node->tick, on_tick, TICK_S, TICK_S);
  ev_timer_init (&node->claim_timer, on_claim_check, CLAIM_CHECK_S,
                 CLAIM_CHECK_S);
  ev_prepare_init (&node->decide, on_decide);
  node->tick.data = node->claim_timer.data = node->decide.data = node;
  ev_timer_start (node->loop, &node->tick);
  ev_timer_start (node->loop, &node->claim_timer);
  ev_prepare_start (node->loop, &node->decide);
}

static bool
start_serving (node_t *node, GError **error)
{
  const site_settings_t *settings = &node->site->settings;
  char *address = g_strdup_printf ("%s:%u", settings->ip, settings->peer_port);
  httpd_options_t options = { .listen = address,
                              .connection_limit = 256,
                              .header_limit = 8192,
                              .body_limit = 1024 * 1024 };
  node->internal = httpd_new (node->loop, &options, error);
  g_free (address);
  if (node->internal == NULL)
    return false;
  node_peer_serve (node);
  httpc_options_t client = { .max_connections_per_host = 4,
                             .idle_limit_s = 60,
                             .age_limit_s = 600,
                             .connect_limit_ms = 300,
                             .repeatable = true };
  node->peers = httpc_new (node->loop, &client);
  return node->site->ops->serve (node->site, &node_jobs, node, error);
}

static bool
start_metrics (node_t *node, uint16_t port, GError **error)
{
  if (port == 0)
    return true;
  char *address = g_strdup_printf ("%s:%u", node->site->settings.ip, port);
  httpd_options_t options = { .listen = address,
                              .connection_limit = 16,
                              .header_limit = 8192,
                              .body_limit = 8192 };
  node->metrics_server = httpd_new (node->loop, &options, error);
  g_free (address);
  if (node->metrics_server == NULL)
    return false;
  node_metrics_serve (node);
  return true;
}

int
node_run (struct ev_loop *loop, site_t *site, uint16_t metrics_port)
{
  GError *error = NULL;
  int status = 1;
  node_t *node = g_new0 (node_t, 1);
  node->loop = loop;
  node->site = site;
  node->clock = loop_clock ();
  node->metrics = counter_registry_new ();
  node->cells = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                       (GDestroyNotify)node_cell_free);
  node->advisers = g_ptr_array_new_with_free_func (node_adviser_free);
  patience_init (&node->patience, STORE_LEAST_WAIT_MS, STORE_MOST_WAIT_MS);
  g_snprintf (node->incarnation, sizeof node->incarnation, "%011llx-%08x",
              (long long)clk_wall_ms (node->clock), g_random_int ());
  if (!start_serving (node, &error)
      || !start_metrics (node, metrics_port, &error))
    {
      log_event (LOG_ERROR, "start_failed", "message", error->message, NULL);
      goto out;
    }
  char port[8];
  g_snprintf (port, sizeof port, "%u", site->settings.peer_port);
  log_event (LOG_INFO, "started", "node", site->settings.name, "zone",
             site->settings.zone, "incarnation", node->incarnation, "port",
             port, NULL);
  watch_signals (node);
  follow_operator (node);
  start_timers (node);
  ev_run (loop, 0);
  log_event (LOG_INFO, "stopped", "node", site->settings.name, NULL);
  status = 0;
out:
  g_clear_error (&error);
  return status;
}
