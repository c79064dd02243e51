#include "node_internal.h"

#include "log.h"

#include <string.h>

/* NAME
     node_config - the configuration: follows it, puts its versions into force,
     and chooses the queue of a request  */

/* A configuration has to be in force within 2 s.  A connection may go silent
   for good, which only the timeout of such a call shows.  */
#define CONFIG_WAIT_MS 700
#define CONFIG_SLACK_MS 900
#define RETRY_AFTER_MS 500

static int64_t
age_ms (const node_t *node)
{
  return node_now (node) - replica_confirmed_ms (node->config);
}

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

static void
on_config_changed (void *context, const char *part, const char *key,
                   const char *value, size_t length)
{
  node_t *node = context;
  platform_api_t *platform = node->platform;
  if (strcmp (key, platform->ops->config_key (platform)) != 0 || value == NULL)
    return;
  GError *error = NULL;
  queue_table_t *table
      = platform->ops->parse_config (platform, value, length, &error);
  char version[24];
  char age[24];
  if (table == NULL)
    {
      log_event (LOG_ERROR, "config_unreadable", "message", error->message,
                 NULL);
      g_clear_error (&error);
      return;
    }
  format_number (version, (int64_t)table->version);
  if (node->queues != NULL && table->version <= node->queues->version)
    {
      log_event (LOG_INFO, "config_ignored", "version", version, NULL);
      queue_table_free (table);
      return;
    }
  /* The store has acknowledged it after the last confirmation of the version
     before.  */
  if (node->queues != NULL)
    node_histogram_add (node, "magnoliadock_config_late_us", age_ms (node));
  format_number (age, node->queues != NULL ? age_ms (node) : 0);
  log_event (LOG_INFO, "config_in_force", "version", version,
             "late_at_most_ms", age, NULL);
  put_into_force (node, table);
}

static void
on_config_answered (void *context, int64_t late_ms)
{
  node_store_answered (context, late_ms);
}

static const replica_events_t config_events
    = { on_config_changed, NULL, on_config_answered };

void
node_follow_config (node_t *node)
{
  static const char *const parts[] = { "", NULL };
  platform_api_t *platform = node->platform;
  replica_options_t options = { platform->ops->operator_table (platform),
                                parts, CONFIG_WAIT_MS, CONFIG_SLACK_MS, 0 };
  node->config
      = replica_new (platform, node->loop, &options, &config_events, node);
}

void
node_check_config (node_t *node)
{
  char version[24];
  char age[24];
  if (node->queues == NULL)
    return;
  int64_t now_age_ms = age_ms (node);
  bool unconfirmed = now_age_ms > node->platform->settings.config_apply_ms;
  counter_set (
      counter_gauge (node->metrics, "magnoliadock_config_age_ms", NULL),
      now_age_ms);
  if (unconfirmed == node->config_unconfirmed)
    return;
  node->config_unconfirmed = unconfirmed;
  format_number (version, (int64_t)node->queues->version);
  format_number (age, now_age_ms);
  log_event (unconfirmed ? LOG_WARN : LOG_INFO,
             unconfirmed ? "config_unconfirmed" : "config_confirmed",
             "version", version, "age_ms", age, NULL);
}

const queue_t *
node_route_request (void *context, caller_request_t *request, const char *host,
                    const char *path, const char **rest)
{
  node_t *node = context;
  const platform_api_ops_t *ops = node->platform->ops;
  char version[24];
  char age[24];
  if (node->queues == NULL)
    {
      ops->answer_error (request, ERR_NO_CONFIG, RETRY_AFTER_MS);
      return NULL;
    }
  const queue_t *queue = queue_table_match (node->queues, host, path, rest);
  if (queue != NULL)
    return queue;
  format_number (version, (int64_t)node->queues->version);
  format_number (age, age_ms (node));
  node_counter_increment (node, "magnoliadock_unknown_routes_total", NULL);
  log_event (LOG_INFO, "route_unknown", "path", path, "version", version,
             "age_ms", age, NULL);
  ops->answer_error (request, ERR_NOT_FOUND, 0);
  return NULL;
}
