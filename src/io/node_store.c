#include "node_internal.h"

#include "log.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* NAME
     node_store - store calls for callers' requests, forwarded through a peer
     while the store does not answer this node

   A peer makes the call unchanged and returns its result; it never forwards a
   call itself.  */

/* The store counts as unreachable after this long without an answer about the
   cluster; while it is healthy these come at most about 600 ms apart.  */
#define STORE_UNREACHABLE_MS 700
/* That time grows by this many times the mean time of an answer.  */
#define MEAN_ANSWER_FACTOR 3
/* Added to the timeout of the call that the peer makes.  */
#define PEER_SLACK_MS 300
/* A peer that did not answer is avoided for this long.  */
#define PEER_AVOID_MS 1500

typedef struct
{
  node_t *node;
  char *peer;
  store_reply_done_t done;
  void *context;
} forwarded_call_t;

bool
node_store_unreachable (const node_t *node)
{
  return node_now (node) - node->cluster_answered_ms
         > STORE_UNREACHABLE_MS
               + MEAN_ANSWER_FACTOR * node->store_timeout.mean_answer_ms;
}

static json_t *
row_to_json (const store_row_t *row)
{
  json_t *object = json_pack ("{s:s, s:s, s:s, s:I}", "table", row->table,
                              "part", row->part, "key", row->key, "version",
                              (json_int_t)row->version);
  if (row->value != NULL)
    json_object_set_new (object, "value",
                         json_stringn (row->value, row->length));
  return object;
}

static const char *
text_or_empty (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text != NULL ? text : "";
}

static json_t *
rows_to_json (const store_row_t *rows, uint32_t count)
{
  json_t *array = json_array ();
  for (uint32_t i = 0; i < count; i++)
    json_array_append_new (array, row_to_json (&rows[i]));
  return array;
}

/* Returns an array (g_free) whose strings belong to ARRAY.  */
static store_row_t *
rows_from_json (const json_t *array, uint32_t *count)
{
  *count = (uint32_t)json_array_size (array);
  store_row_t *rows = g_new0 (store_row_t, *count + 1);
  for (uint32_t i = 0; i < *count; i++)
    {
      const json_t *object = json_array_get (array, i);
      const json_t *value = json_object_get (object, "value");
      rows[i] = (store_row_t){
        .table = text_or_empty (object, "table"),
        .part = text_or_empty (object, "part"),
        .key = text_or_empty (object, "key"),
        .version
        = (uint64_t)json_integer_value (json_object_get (object, "version")),
        .value = json_string_value (value),
        .length = json_string_length (value),
      };
    }
  return rows;
}

static void
on_peer_answered (void *context, const httpc_result_t *reply)
{
  forwarded_call_t *call = context;
  json_t *body = reply->kind == ERR_OK && reply->status == 200
                     ? json_loadb (reply->body, reply->body_length, 0, NULL)
                     : NULL;
  store_reply_t result = { .result = STORE_UNKNOWN };
  store_row_t *rows = NULL;
  if (body != NULL)
    {
      rows = rows_from_json (json_object_get (body, "rows"), &result.count);
      result.rows = rows;
      result.result = (store_result_t)json_integer_value (
          json_object_get (body, "result"));
      result.version
          = (uint64_t)json_integer_value (json_object_get (body, "version"));
      result.more = json_is_true (json_object_get (body, "more"));
    }
  else
    {
      node_member_avoid (call->node, call->peer, PEER_AVOID_MS);
      if (reply->kind != ERR_OK && reply->outcome == OUTCOME_NOT_RUN
          && !reply->repeated)
        result.result = STORE_REFUSED;
    }
  call->done (call->context, &result);
  g_free (rows);
  json_decref (body);
  g_free (call->peer);
  g_free (call);
}

/* Takes ownership of BODY and sends it to a peer.  Returns false if there is
   none.  */
static bool
forward_to_peer (node_t *node, const char *path, json_t *body,
                 int64_t timeout_ms, store_reply_done_t done, void *context)
{
  const char *address;
  const char *name = node_member_next (node, &address);
  if (name == NULL)
    {
      json_decref (body);
      return false;
    }
  forwarded_call_t *call = g_new (forwarded_call_t, 1);
  *call = (forwarded_call_t){ node, g_strdup (name), done, context };
  json_object_set_new (body, "limit_ms", json_integer (timeout_ms));
  char *text = json_dumps (body, JSON_COMPACT);
  char *url = g_strdup_printf ("http://%s%s", address, path);
  node_counter_increment (node, "magnoliadock_passed_calls_total", NULL);
  httpc_call (node->peer_client, "POST", url, text, timeout_ms + PEER_SLACK_MS,
              on_peer_answered, call);
  g_free (url);
  free (text);
  json_decref (body);
  return true;
}

void
node_store_commit (node_t *node, bool via_peer, const store_row_t *expect,
                   uint32_t expect_count, const store_row_t *writes,
                   uint32_t write_count, int64_t timeout_ms,
                   store_reply_done_t done, void *context)
{
  if (via_peer
      && forward_to_peer (node, "/peer/commit",
                          json_pack ("{s:o, s:o}", "expect",
                                     rows_to_json (expect, expect_count),
                                     "writes",
                                     rows_to_json (writes, write_count)),
                          timeout_ms, done, context))
    return;
  node->platform->ops->commit (node->platform, expect, expect_count, writes,
                               write_count, timeout_ms, done, context);
}

void
node_store_read (node_t *node, bool via_peer, const char *table,
                 const char *part, const char *from, const char *to,
                 store_reply_done_t done, void *context)
{
  int64_t timeout_ms = node->store_timeout.timeout_ms;
  if (via_peer
      && forward_to_peer (node, "/peer/read",
                          json_pack ("{s:s, s:s, s:s, s:s}", "table", table,
                                     "part", part, "from", from, "to", to),
                          timeout_ms, done, context))
    return;
  node->platform->ops->read (node->platform, table, part, from, to, timeout_ms,
                             done, context);
}

static void
on_done_for_peer (void *context, const store_reply_t *reply)
{
  httpd_exchange_t *exchange = context;
  json_t *body = json_pack (
      "{s:i, s:I, s:b, s:o}", "result", (int)reply->result, "version",
      (json_int_t)reply->version, "more", (int)reply->more, "rows",
      rows_to_json (reply->rows, reply->count));
  char *text = json_dumps (body, JSON_COMPACT);
  if (text == NULL)
    httpd_answer_error (exchange, ERR_INTERNAL, "row is not valid UTF-8");
  else
    httpd_answer (exchange, 200, "application/json", text, strlen (text));
  free (text);
  json_decref (body);
}

/* Refuses a peer's call if the store is unreachable for this node too.
   Returns whether it did.  */
static bool
refuse_if_unreachable (node_t *node, httpd_exchange_t *exchange)
{
  store_reply_t refusal = { .result = STORE_REFUSED };
  if (!node_store_unreachable (node))
    return false;
  on_done_for_peer (exchange, &refusal);
  return true;
}

void
node_store_serve_commit (void *context, httpd_exchange_t *exchange,
                         const httpd_request_t *request)
{
  node_t *node = context;
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  uint32_t expect_count;
  uint32_t write_count;
  store_row_t *expect
      = rows_from_json (json_object_get (body, "expect"), &expect_count);
  store_row_t *writes
      = rows_from_json (json_object_get (body, "writes"), &write_count);
  if (refuse_if_unreachable (node, exchange))
    ;
  else if (write_count == 0)
    httpd_answer_error (exchange, ERR_BAD_REQUEST, "expected writes");
  else
    node->platform->ops->commit (
        node->platform, expect, expect_count, writes, write_count,
        json_integer_value (json_object_get (body, "limit_ms")),
        on_done_for_peer, exchange);
  g_free (expect);
  g_free (writes);
  json_decref (body);
}

void
node_store_serve_read (void *context, httpd_exchange_t *exchange,
                       const httpd_request_t *request)
{
  node_t *node = context;
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  if (!refuse_if_unreachable (node, exchange))
    node->platform->ops->read (
        node->platform, text_or_empty (body, "table"),
        text_or_empty (body, "part"), text_or_empty (body, "from"),
        text_or_empty (body, "to"),
        json_integer_value (json_object_get (body, "limit_ms")),
        on_done_for_peer, exchange);
  json_decref (body);
}
