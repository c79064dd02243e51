#include "node_internal.h"

#include "backoff.h"

#include <string.h>

/* NAME
     node_register - writes the row by which other nodes find this one  */

#define REGISTER_TIMEOUT_MS 1500
/* First and longest pause after calls that failed.  */
#define REGISTER_RETRY_MS 50
#define REGISTER_MAX_RETRY_MS 1000

static void
on_registered (void *context, const store_reply_t *reply)
{
  node_t *node = context;
  node->register_in_flight = false;
  node->registered = reply->result == STORE_OK;
  if (node->registered)
    return;
  node->next_register_ms
      = node_now (node)
        + backoff_ms (++node->register_failures, REGISTER_RETRY_MS,
                      REGISTER_MAX_RETRY_MS);
}

void
node_register_if_due (node_t *node)
{
  const platform_api_settings_t *settings = &node->platform->settings;
  if (node->registered || node->register_in_flight
      || node_now (node) < node->next_register_ms)
    return;
  char *key = g_strconcat (ENTRY_PREFIX, settings->name, NULL);
  char *value = g_strdup_printf (
      "{\"address\":\"%s:%u\",\"zone\":\"%s\",\"incarnation\":\"%s\","
      "\"cpu_millis\":%lld}",
      settings->ip, settings->peer_port, settings->zone, node->incarnation,
      (long long)settings->cpu_millis);
  store_row_t row = { CLUSTER_TABLE, "", key, 0, value, strlen (value) };
  node->register_in_flight = true;
  node->platform->ops->commit (node->platform, NULL, 0, &row, 1,
                               REGISTER_TIMEOUT_MS, on_registered, node);
  g_free (key);
  g_free (value);
}
