#include "node_internal.h"

/* NAME
     node_peer - HTTP routes for other nodes and for metrics  */

static void
serve_metrics (void *context, httpd_exchange_t *exchange,
               const httpd_request_t *request)
{
  const node_t *node = context;
  GString *text = g_string_new (NULL);
  counter_print (node->metrics, text);
  httpd_answer (exchange, 200, "text/plain; version=0.0.4", text->str,
                text->len);
  g_string_free (text, TRUE);
}

static const httpd_route_t peer_routes[] = {
  { "POST", "/peer/advice", node_advice_serve },
  { "POST", "/peer/commit", node_store_serve_commit },
  { "GET", "/peer/config", node_config_serve },
  { "POST", "/peer/read", node_store_serve_read },
  { "GET", "/peer/job/", node_ask_serve },
  { "POST", "/peer/notify", node_notify_serve },
  { "POST", "/peer/offer", node_yield_serve },
  { "GET", "/metrics", serve_metrics },
  { NULL, NULL, NULL },
};

void
node_add_peer_routes (node_t *node)
{
  httpd_add_routes (node->peer_server, peer_routes, node);
}

static const httpd_route_t metrics_routes[]
    = { { "GET", "/metrics", serve_metrics }, { NULL, NULL, NULL } };

void
node_add_metrics_routes (node_t *node)
{
  httpd_add_routes (node->metrics_server, metrics_routes, node);
}
