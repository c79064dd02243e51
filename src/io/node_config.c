#include "node_internal.h"

#include "log.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* NAME
     node_config - the configuration: follows it, puts its versions into force,
     and chooses the queue of a request

   A request is decided by the configuration only while that is known to be
   recent (see freshness.h).  Usually the call for changes confirms it.  Once
   that is late, the store is asked without waiting, and other nodes are asked
   for what they know: the store may serve them and not this one.  */

/* A connection may go silent for good, which only the timeout of a call
   shows.  */
#define CONFIG_WAIT_MS 700
#define CONFIG_SLACK_MS 900
/* Time without a confirmation after which one is asked for, as a part of the
   limit.  */
#define ASK_AFTER_DIVISOR 2
#define ASK_PERIOD_MS 150
#define ASK_TIMEOUT_MS 400
#define MAX_ASKS 3u
#define RETRY_AFTER_MS 500

static void
format_number (char text[24], int64_t number)
{
  g_snprintf (text, 24, "%lld", (long long)number);
}

static void
apply_queues (node_cell_t *cell)
{
  if (cell->scheduler != NULL)
    cell_set_queues (cell->scheduler, cell->node->queues);
}

/* Puts TABLE, which is owned by the node from now on, into force.  */
static void
put_into_force (node_t *node, queue_table_t *table)
{
  GHashTableIter iterator;
  gpointer cell;
  queue_table_free (node->queues);
  node->queues = table;
  node_follow_cluster (node);
  for (guint i = 0; i < table->services->len; i++)
    node_get_cell (node, table->services->pdata[i]);
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &cell))
    apply_queues (cell);
  node_check_readiness (node);
  node->input_pending = true;
}

/* Keeps the row for the nodes that ask for it.  */
static void
keep_row (node_t *node, const char *value, size_t length)
{
  g_free (node->config_row);
  node->config_row = g_strndup (value, length);
  node->config_row_length = length;
}

/* VALUE is the row of the configuration, of which the store has VERSION.  */
static void
take_row (node_t *node, uint64_t version, const char *value, size_t length)
{
  freshness_t *freshness = &node->config_freshness;
  int64_t late_ms = freshness_age_ms (freshness, node_now (node));
  if (version <= freshness->version)
    return;
  GError *error = NULL;
  queue_table_t *table = node->platform->ops->parse_config (
      node->platform, value, length, &error);
  freshness_replaced (freshness, version);
  keep_row (node, value, length);
  node->config_unreadable = table == NULL;
  if (table == NULL)
    {
      log_event (LOG_ERROR, "config_unreadable", "message", error->message,
                 NULL);
      g_clear_error (&error);
      return;
    }
  char number[24];
  char late[24];
  format_number (number, (int64_t)table->version);
  if (node->queues != NULL && table->version <= node->queues->version)
    {
      log_event (LOG_INFO, "config_ignored", "version", number, NULL);
      queue_table_free (table);
      return;
    }
  /* The store has acknowledged it after the last confirmation of the version
     before.  */
  if (node->queues == NULL)
    late_ms = 0;
  else
    node_histogram_add (node, "magnoliadock_config_late_us", late_ms);
  format_number (late, late_ms);
  log_event (LOG_INFO, "config_in_force", "version", number, "late_at_most_ms",
             late, NULL);
  put_into_force (node, table);
}

static void
on_config_changed (void *context, const char *part, const char *key,
                   const char *value, size_t length)
{
  node_t *node = context;
  if (strcmp (key, node->platform->ops->config_key (node->platform)) == 0
      && value != NULL)
    take_row (node, replica_version (node->config, part, key), value, length);
}

static void
on_config_answered (void *context, int64_t late_ms)
{
  node_t *node = context;
  const char *key = node->platform->ops->config_key (node->platform);
  node_store_answered (node, late_ms);
  freshness_confirmed (&node->config_freshness,
                       replica_version (node->config, "", key),
                       replica_confirmed_ms (node->config));
}

static const replica_events_t config_events
    = { on_config_changed, NULL, on_config_answered };

void
node_follow_config (node_t *node)
{
  static const char *const parts[] = { "", NULL };
  platform_api_t *platform = node->platform;
  const platform_api_settings_t *settings = &platform->settings;
  replica_options_t options = { platform->ops->operator_table (platform),
                                parts, CONFIG_WAIT_MS, CONFIG_SLACK_MS, 0 };
  freshness_init (&node->config_freshness, settings->config_apply_ms,
                  settings->rollback_slack_ms);
  node->config
      = replica_new (platform, node->loop, &options, &config_events, node);
}

typedef struct
{
  node_t *node;
  int64_t sent_ms;
} ask_call_t;

static void
on_peer_answered (void *context, const httpc_result_t *result)
{
  ask_call_t *call = context;
  node_t *node = call->node;
  json_t *body = result->kind == ERR_OK && result->status == 200
                     ? json_loadb (result->body, result->body_length, 0, NULL)
                     : NULL;
  json_t *value = json_object_get (body, "value");
  uint64_t version
      = (uint64_t)json_integer_value (json_object_get (body, "version"));
  const json_t *age = json_object_get (body, "age_ms");
  node->config_asks--;
  if (json_is_string (value))
    take_row (node, version, json_string_value (value),
              json_string_length (value));
  /* The other node's age was at least this when the question was sent.  */
  if (json_is_integer (age) && json_integer_value (age) >= 0)
    freshness_confirmed (&node->config_freshness, version,
                         call->sent_ms - json_integer_value (age));
  json_decref (body);
  g_free (call);
}

static void
ask_peer (node_t *node)
{
  const char *address;
  if (node->config_asks >= MAX_ASKS
      || node_member_next (node, &address) == NULL)
    return;
  ask_call_t *call = g_new (ask_call_t, 1);
  *call = (ask_call_t){ node, node_now (node) };
  char *url = g_strdup_printf ("http://%s/peer/config?have=%" G_GUINT64_FORMAT,
                               address, node->config_freshness.version);
  node->config_asks++;
  httpc_call (node->peer_client, "GET", url, NULL, ASK_TIMEOUT_MS,
              on_peer_answered, call);
  g_free (url);
}

void
node_config_serve (void *context, httpd_exchange_t *exchange,
                   const httpd_request_t *request)
{
  const node_t *node = context;
  const freshness_t *freshness = &node->config_freshness;
  const char *have = httpd_query (exchange, "have");
  if (freshness->version == 0)
    {
      httpd_answer_error (exchange, ERR_NO_CONFIG, "no configuration yet");
      return;
    }
  json_t *body = json_pack (
      "{s:I, s:I}", "version", (json_int_t)freshness->version, "age_ms",
      (json_int_t)freshness_age_ms (freshness, node_now (node)));
  if (have == NULL || g_ascii_strtoull (have, NULL, 10) < freshness->version)
    json_object_set_new (
        body, "value",
        json_stringn (node->config_row, node->config_row_length));
  char *text = json_dumps (body, JSON_COMPACT);
  httpd_answer (exchange, 200, "application/json", text, strlen (text));
  free (text);
  json_decref (body);
}

static void
ask_for_confirmation (node_t *node)
{
  node->next_config_ask_ms = node_now (node) + ASK_PERIOD_MS;
  replica_check (node->config, ASK_TIMEOUT_MS);
  ask_peer (node);
}

void
node_config_heard (node_t *node, uint64_t version)
{
  freshness_t *freshness = &node->config_freshness;
  bool was_behind = freshness_is_behind (freshness);
  freshness_heard (freshness, version, node_now (node));
  if (!was_behind && freshness_is_behind (freshness) && node->config != NULL)
    ask_for_confirmation (node);
}

bool
node_config_is_current (const node_t *node)
{
  return freshness_is_current (&node->config_freshness, node_now (node));
}

static void
report_age (node_t *node, int64_t age_ms)
{
  bool unconfirmed = !node_config_is_current (node);
  char version[24];
  char age[24];
  counter_set (
      counter_gauge (node->metrics, "magnoliadock_config_age_ms", NULL),
      age_ms);
  if (unconfirmed == node->config_unconfirmed)
    return;
  node->config_unconfirmed = unconfirmed;
  format_number (version, (int64_t)node->queues->version);
  format_number (age, age_ms);
  log_event (unconfirmed ? LOG_WARN : LOG_INFO,
             unconfirmed ? "config_unconfirmed" : "config_confirmed",
             "version", version, "age_ms", age, NULL);
}

void
node_check_config (node_t *node)
{
  const freshness_t *freshness = &node->config_freshness;
  int64_t now_ms = node_now (node);
  if (node->queues == NULL)
    return;
  int64_t age_ms = freshness_age_ms (freshness, now_ms);
  report_age (node, age_ms);
  if (now_ms >= node->next_config_ask_ms
      && (freshness_is_behind (freshness)
          || age_ms > freshness->limit_ms / ASK_AFTER_DIVISOR))
    ask_for_confirmation (node);
}

/* Answers REQUEST, for which there is no queue, or none that is certain.  */
static void
refuse_unrouted (node_t *node, caller_request_t *request, const char *path,
                 err_kind_t kind)
{
  const char *labels = kind == ERR_NOT_FOUND   ? "reason=\"unknown_route\""
                       : kind == ERR_NO_CONFIG ? "reason=\"unreadable_config\""
                                               : "reason=\"stale_config\"";
  char version[24];
  char age[24];
  format_number (version, (int64_t)node->queues->version);
  format_number (age,
                 freshness_age_ms (&node->config_freshness, node_now (node)));
  node_counter_increment (node, "magnoliadock_refused_total", labels);
  log_event (LOG_INFO,
             kind == ERR_NOT_FOUND ? "route_unknown" : "route_unsure", "path",
             path, "version", version, "age_ms", age, NULL);
  node->platform->ops->answer_error (
      request, kind, kind == ERR_NOT_FOUND ? 0 : RETRY_AFTER_MS);
}

const queue_t *
node_route_request (void *context, caller_request_t *request, const char *host,
                    const char *path, const char **rest)
{
  node_t *node = context;
  const queue_t *queue = NULL;
  if (node->queues == NULL)
    node->platform->ops->answer_error (request, ERR_NO_CONFIG, RETRY_AFTER_MS);
  else if (!node_config_is_current (node))
    refuse_unrouted (node, request, path, ERR_STALE_CONFIG);
  else
    {
      bool unreadable = false;
      queue = queue_table_match (node->queues, host, path, rest, &unreadable);
      if (queue == NULL)
        refuse_unrouted (node, request, path,
                         unreadable || node->config_unreadable
                             ? ERR_NO_CONFIG
                             : ERR_NOT_FOUND);
    }
  return queue;
}
