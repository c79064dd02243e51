#include "node_internal.h"

#include "log.h"
#include "loop.h"

#include <curl/curl.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Longest wait of the call that follows the cluster table, and time beyond it
   until the call times out.  A connection may go silent for good, which only
   the timeout shows.  Claims need recent answers about the owners' heartbeats.
 */
#define CLUSTER_WAIT_MS 250
#define CLUSTER_SLACK_MS 600
/* After a longer time without an answer about the cluster, the timeouts of
   all heartbeats start again.  */
#define MAX_CLUSTER_UNANSWERED_MS 700
/* Each answer that reports a delay first lowers store_lag_ms by 1 / this of
   its value.  Only answers without changes report one.  The cluster table
   gives few of these while several cells have heartbeats, so those of the
   configuration's table count too.  */
#define STORE_LAG_DECAY_DIVISOR 3
/* Pause before a caller's write is sent again that the store has not taken, or
   not answered.  */
#define WRITE_RETRY_S 0.03
#define TICK_S (CELL_TICK_MS / 1000.0)
#define CLAIM_CHECK_S 0.05
/* The platform stops sending new connections after two failed readiness
   checks, one per second.  */
#define MIN_DRAIN_MS 2300
/* Time without open requests and held cells after which a stopping process
   ends.  */
#define IDLE_BEFORE_EXIT_MS 300
/* A process that does not become idle ends this long before its stop limit. */
#define EXIT_MARGIN_MS 700
/* Bounds of the timeout of a transaction: it takes 10 to 30 ms, and 700
   ms while the store is slow.  */
#define STORE_MIN_TIMEOUT_MS 250
#define STORE_MAX_TIMEOUT_MS 2000
/* A change of the wall clock's offset by at least this is a jump.  */
#define WALL_JUMP_MS 100

int64_t
node_now (const node_t *node)
{
  return clk_now_ms (node->clock);
}

/* Wall time that ignores jumps of the system's wall clock.  */
static int64_t
steady_wall_ms (node_t *node)
{
  int64_t now_ms = node_now (node);
  int64_t offset_ms = clk_wall_ms (node->clock) - now_ms;
  if (node->wall_offset_ms == 0
      || ABS (offset_ms - node->wall_offset_ms) < WALL_JUMP_MS)
    node->wall_offset_ms = offset_ms;
  return now_ms + node->wall_offset_ms;
}

void
node_counter_increment (node_t *node, const char *name, const char *labels)
{
  counter_add (counter_get (node->metrics, name, labels), 1);
}

void
node_histogram_add (node_t *node, const char *name, int64_t took_ms)
{
  const int64_t us_per_ms = 1000;
  histogram_add (counter_histogram (node->metrics, name, NULL),
                 (uint64_t)(MAX (took_ms, 0) * us_per_ms));
}

node_cell_t *
node_get_cell (node_t *node, const char *name)
{
  node_cell_t *cell = g_hash_table_lookup (node->cells, name);
  if (cell == NULL)
    {
      cell = node_cell_new (node, name);
      g_hash_table_insert (node->cells, cell->name, cell);
      if (node->cluster != NULL)
        replica_add_part (node->cluster, name);
    }
  return cell;
}

node_cell_t *
node_cell_for_queue (node_t *node, const queue_t *queue)
{
  return node_get_cell (node, queue->service);
}

static void
for_each_cell (node_t *node, void (*each) (node_cell_t *cell))
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
  if (part[0] != '\0' && strcmp (key, HEARTBEAT_KEY) == 0)
    {
      node_heartbeat_changed (node_get_cell (node, part), value, length);
      return;
    }
  if (part[0] != '\0' && strcmp (key, LEASES_KEY) == 0)
    {
      node_former_told (node_get_cell (node, part), value, length);
      return;
    }
  if (!g_str_has_prefix (key, ENTRY_PREFIX))
    return;
  const char *name = key + strlen (ENTRY_PREFIX);
  json_t *entry = value != NULL ? json_loadb (value, length, 0, NULL) : NULL;
  const char *address = json_string_value (json_object_get (entry, "address"));
  if (address != NULL)
    node_member_set (
        node, name, address,
        json_integer_value (json_object_get (entry, "cpu_millis")));
  else if (strcmp (name, node->platform->settings.name) != 0)
    node_member_remove (node, name);
  GHashTableIter iterator;
  gpointer cell;
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &cell))
    node_former_restarted (
        cell, name,
        json_string_value (json_object_get (entry, "incarnation")));
  json_decref (entry);
}

static void
restart_heartbeat_watch (node_cell_t *cell)
{
  cell->heartbeat_seen_ms = node_now (cell->node);
}

void
node_store_answered (node_t *node, int64_t late_ms)
{
  if (late_ms < 0)
    return;
  node->store_lag_ms -= node->store_lag_ms / STORE_LAG_DECAY_DIVISOR;
  node->store_lag_ms = MAX (node->store_lag_ms, late_ms);
}

static void
on_cluster_answered (void *context, int64_t late_ms)
{
  node_t *node = context;
  int64_t now_ms = node_now (node);
  node_store_answered (node, late_ms);
  /* Heartbeats may have changed unseen meanwhile.  */
  if (now_ms - node->cluster_answered_ms > MAX_CLUSTER_UNANSWERED_MS)
    for_each_cell (node, restart_heartbeat_watch);
  node->cluster_answered_ms = now_ms;
}

static const replica_events_t cluster_events
    = { on_cluster_changed, NULL, on_cluster_answered };

void
node_check_readiness (node_t *node)
{
  const platform_api_ops_t *ops = node->platform->ops;
  bool ready = !node->stopping && !node_store_unreachable (node)
               && node_config_is_current (node);
  ops->set_ready (node->platform, ready);
  ops->end_connections (node->platform, !ready);
}

void
node_follow_cluster (node_t *node)
{
  static const char *const parts[] = { "", NULL };
  if (node->cluster != NULL)
    return;
  replica_options_t options = { CLUSTER_TABLE, parts, CLUSTER_WAIT_MS,
                                CLUSTER_SLACK_MS, NODE_CANDIDATE_GAP_MS };
  node->cluster = replica_new (node->platform, node->loop, &options,
                               &cluster_events, node);
  node_register_if_due (node);
}

static void
run_cells (node_t *node)
{
  GHashTableIter iterator;
  gpointer value;
  int64_t wall_ms = steady_wall_ms (node);
  node->input_pending = false;
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    node_cell_run (value, wall_ms);
}

static void
on_before_wait (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  node_t *node = watcher->data;
  if (node->input_pending)
    run_cells (node);
  node->wait_began_ns = clk_now_ns (node->clock);
}

static void
on_after_wait (struct ev_loop *loop, ev_check *watcher, int events)
{
  node_t *node = watcher->data;
  node->waited_ns += clk_now_ns (node->clock) - node->wait_began_ns;
}

static void
check_stop (node_t *node)
{
  const platform_api_ops_t *ops = node->platform->ops;
  int64_t now_ms = node_now (node);
  int64_t since_ms = now_ms - node->stopping_since_ms;
  bool idle = ops->open_requests (node->platform) == 0;
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    idle = idle && ((node_cell_t *)value)->state == CELL_IDLE;
  if (!idle)
    node->idle_since_ms = 0;
  else if (node->idle_since_ms == 0)
    node->idle_since_ms = now_ms;
  if ((since_ms >= MIN_DRAIN_MS && idle
       && now_ms - node->idle_since_ms >= IDLE_BEFORE_EXIT_MS)
      || since_ms >= node->platform->settings.stop_limit_ms - EXIT_MARGIN_MS)
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
  node_register_if_due (node);
  node_list_cells_if_due (node);
  node_sweep_tombstones_if_due (node);
  node_claim_check (node);
  node_check_config (node);
  node_check_workers (node);
  node_check_readiness (node);
}

static void
on_terminate (struct ev_loop *loop, ev_signal *watcher, int events)
{
  node_t *node = watcher->data;
  if (node->stopping)
    return;
  log_event (LOG_INFO, "stopping", "node", node->platform->settings.name,
             NULL);
  node->stopping = true;
  node->stopping_since_ms = node_now (node);
  node_check_readiness (node);
  for_each_cell (node, node_yield_and_release);
}

static void
on_reload (struct ev_loop *loop, ev_signal *watcher, int events)
{
  node_t *node = watcher->data;
  log_event (LOG_INFO, "reload", "node", node->platform->settings.name, NULL);
  node->platform->ops->reload (node->platform);
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
  ev_prepare_init (&node->before_wait, on_before_wait);
  ev_check_init (&node->after_wait, on_after_wait);
  node->tick.data = node->claim_timer.data = node->before_wait.data
      = node->after_wait.data = node;
  ev_timer_start (node->loop, &node->tick);
  ev_timer_start (node->loop, &node->claim_timer);
  ev_prepare_start (node->loop, &node->before_wait);
  ev_check_start (node->loop, &node->after_wait);
}

static bool
start_serving (node_t *node, GError **error)
{
  const platform_api_settings_t *settings = &node->platform->settings;
  char *address = g_strdup_printf ("%s:%u", settings->ip, settings->peer_port);
  httpd_options_t options = { .listen = address,
                              .max_connections = 256,
                              .max_header_bytes = 8192,
                              .max_body_bytes = 1024 * 1024 };
  node->peer_server = httpd_new (node->loop, &options, error);
  g_free (address);
  if (node->peer_server == NULL)
    return false;
  node_add_peer_routes (node);
  httpc_options_t client = { .max_connections_per_host = 4,
                             .max_idle_s = 60,
                             .max_age_s = 600,
                             .connect_timeout_ms = 300,
                             .repeatable = true };
  node->peer_client = httpc_new (node->loop, &client);
  return node->platform->ops->serve (node->platform, &node_request_handlers,
                                     node, error);
}

static bool
start_metrics (node_t *node, uint16_t port, GError **error)
{
  if (port == 0)
    return true;
  char *address = g_strdup_printf ("%s:%u", node->platform->settings.ip, port);
  httpd_options_t options = { .listen = address,
                              .max_connections = 16,
                              .max_header_bytes = 8192,
                              .max_body_bytes = 8192 };
  node->metrics_server = httpd_new (node->loop, &options, error);
  g_free (address);
  if (node->metrics_server == NULL)
    return false;
  node_add_metrics_routes (node);
  return true;
}

int
node_run (struct ev_loop *loop, platform_api_t *platform,
          uint16_t metrics_port)
{
  GError *error = NULL;
  int status = 1;
  node_t *node = g_new0 (node_t, 1);
  node->loop = loop;
  node->platform = platform;
  node->clock = loop_clock ();
  node->metrics = counter_registry_new ();
  node->cells = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                       (GDestroyNotify)node_cell_free);
  node->unreadable_workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  node->members = g_ptr_array_new_with_free_func (node_member_free);
  adaptive_timeout_init (&node->store_timeout, STORE_MIN_TIMEOUT_MS,
                         STORE_MAX_TIMEOUT_MS);
  node->write_retry_s = WRITE_RETRY_S;
  g_snprintf (node->incarnation, sizeof node->incarnation, "%011llx-%08x",
              (long long)clk_wall_ms (node->clock), g_random_int ());
  if (!start_serving (node, &error)
      || !start_metrics (node, metrics_port, &error))
    {
      log_event (LOG_ERROR, "start_failed", "message", error->message, NULL);
      goto out;
    }
  char port[8];
  g_snprintf (port, sizeof port, "%u", platform->settings.peer_port);
  log_event (LOG_INFO, "started", "node", platform->settings.name, "zone",
             platform->settings.zone, "incarnation", node->incarnation, "port",
             port, NULL);
  watch_signals (node);
  node_follow_config (node);
  start_timers (node);
  ev_run (loop, 0);
  log_event (LOG_INFO, "stopped", "node", platform->settings.name, NULL);
  status = 0;
out:
  g_clear_error (&error);
  return status;
}
