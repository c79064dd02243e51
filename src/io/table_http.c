#include "table_http.h"

#include "answer.h"
#include "log.h"

#include <glib.h>
#include <string.h>

#define PAGE_ROWS 500
/* Retries of one call that exceeds the rate limit (429).  A large scan, all
   its pages counted, exceeds the limit on reads by itself.  */
#define MAX_SCAN_RETRIES 10
#define MAX_CALL_RETRIES 2
/* The pause after a refusal without Retry-After.  */
#define DEFAULT_PAUSE_MS 1000
/* Spreads the retries of entries that were refused at the same time.  */
#define PAUSE_JITTER_MS 250

typedef struct
{
  table_t base;
  httpc_t *client;
  struct ev_loop *loop;
  const clk_t *clock;
  char *url;
  GHashTable *in_flight; /* call_t, owned; also calls that wait to be sent */
  /* Until then nothing is sent (after 503), or no reads or no writes (429). */
  int64_t down_until_ms, reads_paused_until_ms, writes_paused_until_ms;
} table_http_t;

typedef struct call call_t;

struct call
{
  table_http_t *table;
  httpc_call_t *http;
  ev_timer timer; /* runs while the call waits to be sent or to fail */
  void (*send) (call_t *call);
  char *key_or_prefix; /* of a transaction: the first key, for logs only */
  table_read_done_t read_done;
  table_txn_done_t txn_done;
  void *context;
  json_t *rows; /* those read so far by a scan; else NULL */
  int retries;
  char *body;          /* of a transaction */
  table_row_t *writes; /* of a transaction; keys only, owned */
  uint32_t write_count;
};

static err_kind_t
parse_row (json_t *object, table_row_t *row, const char **detail)
{
  row->key = answer_string (object, "key");
  row->version = answer_integer (object, "version", -1);
  row->value = json_object_get (object, "value");
  *detail = row->key == NULL     ? "key is not a string"
            : row->version < 1   ? "version is not a positive integer"
            : row->value == NULL ? "value is missing"
                                 : NULL;
  return *detail == NULL ? ERR_OK : ERR_INTERNAL;
}

err_kind_t
table_http_parse_row (const httpc_result_t *result, const char *key,
                      json_t **value, table_row_t *row, const char **detail)
{
  *detail = NULL;
  *value = NULL;
  *row = (table_row_t){ .key = key };
  err_kind_t kind = answer_kind (result);
  if (kind == ERR_NOT_FOUND)
    return ERR_OK;
  if (kind != ERR_OK)
    return kind;
  *value = answer_parse (result, detail);
  kind = *value ? parse_row (*value, row, detail) : ERR_INTERNAL;
  if (kind == ERR_OK && strcmp (row->key, key) != 0)
    {
      *detail = "key is not the one asked for";
      kind = ERR_INTERNAL;
    }
  if (kind != ERR_OK)
    {
      json_decref (*value);
      *value = NULL;
    }
  return kind;
}

err_kind_t
table_http_parse_page (const httpc_result_t *result, json_t **rows, bool *more,
                       const char **detail)
{
  *detail = NULL;
  *rows = NULL;
  err_kind_t kind = answer_kind (result);
  if (kind != ERR_OK)
    return kind == ERR_NOT_FOUND ? ERR_INTERNAL : kind;
  json_t *answer = answer_parse (result, detail);
  if (answer == NULL)
    return ERR_INTERNAL;
  json_t *list = json_object_get (answer, "rows");
  const json_t *flag = json_object_get (answer, "more");
  if (!json_is_array (list) || !json_is_boolean (flag))
    {
      *detail = "rows is not an array or more is not a boolean";
      kind = ERR_INTERNAL;
    }
  *more = json_is_true (flag);
  if (kind == ERR_OK && *more && json_array_size (list) == 0)
    {
      *detail = "more is true, but rows is empty";
      kind = ERR_INTERNAL;
    }
  size_t i;
  json_t *one;
  table_row_t row;
  json_array_foreach (list, i, one)
  {
    if (kind == ERR_OK)
      kind = parse_row (one, &row, detail);
  }
  if (kind == ERR_OK)
    *rows = json_incref (list);
  json_decref (answer);
  return kind;
}

/* Parses an answer with status 200 or 409.  Returns ERR_TIMEOUT (outcome not
   known) if it is not understood.  */
static err_kind_t
parse_txn_body (const httpc_result_t *result, const table_row_t *writes,
                uint32_t count, int64_t *versions, const char **detail)
{
  json_t *answer = answer_parse (result, detail);
  const json_t *committed = json_object_get (answer, "committed");
  const json_t *versions_by_key = json_object_get (answer, "versions");
  err_kind_t kind = ERR_TIMEOUT;
  if (result->status == 409 && json_is_false (committed))
    kind = ERR_CONFLICT;
  else if (result->status == 200 && json_is_true (committed))
    {
      kind = ERR_OK;
      for (uint32_t i = 0; i < count && kind == ERR_OK; i++)
        {
          versions[i] = answer_integer (versions_by_key, writes[i].key, -1);
          if (versions[i] < 0)
            {
              *detail = "versions lacks a written key";
              kind = ERR_TIMEOUT;
            }
        }
    }
  else if (answer != NULL)
    *detail = "committed does not match the status";
  json_decref (answer);
  return kind;
}

err_kind_t
table_http_parse_txn (const httpc_result_t *result, const table_row_t *writes,
                      uint32_t count, int64_t *versions, const char **detail)
{
  *detail = NULL;
  if (result->kind != ERR_OK)
    return result->outcome == OUTCOME_NOT_RUN ? ERR_STORE_UNAVAILABLE
                                              : ERR_TIMEOUT;
  switch (result->status)
    {
    case 200:
    case 409:
      return parse_txn_body (result, writes, count, versions, detail);
    case 429:
    case 503:
      return ERR_STORE_UNAVAILABLE;
    default:
      if (result->status >= 400 && result->status < 500)
        {
          *detail = "transaction refused as malformed";
          return ERR_STORE_UNAVAILABLE;
        }
      *detail = "unexpected status";
      return ERR_TIMEOUT;
    }
}

static void
call_free (call_t *call)
{
  ev_timer_stop (call->table->loop, &call->timer);
  g_hash_table_remove (call->table->in_flight, call);
  for (uint32_t i = 0; i < call->write_count; i++)
    g_free ((char *)call->writes[i].key);
  g_free (call->writes);
  free (call->body);
  json_decref (call->rows);
  g_free (call->key_or_prefix);
  g_free (call);
}

static void
end_read (call_t *call, err_kind_t kind, const table_row_t *rows,
          uint32_t count)
{
  call->read_done (call->context, kind, rows, count);
  call_free (call);
}

static call_t *
call_new (table_http_t *table, const char *key_or_prefix, void *context)
{
  call_t *call = g_new0 (call_t, 1);
  call->table = table;
  call->key_or_prefix = g_strdup (key_or_prefix);
  call->context = context;
  call->timer.data = call;
  g_hash_table_add (table->in_flight, call);
  return call;
}

/* Records the pause that RESULT asks for: of reads or writes if their rate
   limit is exceeded (429), of all calls if the service is down (503).  */
static void
record_pause (table_http_t *table, const httpc_result_t *result, bool write)
{
  if (result->kind != ERR_OK
      || (result->status != 429 && result->status != 503))
    return;
  int64_t pause_ms = result->retry_after_s > 0
                         ? (int64_t)result->retry_after_s * 1000
                         : DEFAULT_PAUSE_MS;
  int64_t paused_until_ms = clk_now_ms (table->clock) + pause_ms
                            + g_random_int_range (0, PAUSE_JITTER_MS);
  int64_t *until = result->status == 503 ? &table->down_until_ms
                   : write               ? &table->writes_paused_until_ms
                                         : &table->reads_paused_until_ms;
  *until = MAX (*until, paused_until_ms);
}

static void
fail_call (call_t *call)
{
  if (call->txn_done != NULL)
    {
      call->txn_done (call->context, ERR_STORE_UNAVAILABLE, NULL, 0);
      call_free (call);
    }
  else
    end_read (call, ERR_STORE_UNAVAILABLE, NULL, 0);
}

static void send_or_wait (call_t *call);

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  call_t *call = timer->data;
  if (clk_now_ms (call->table->clock) < call->table->down_until_ms)
    fail_call (call);
  else
    send_or_wait (call);
}

static void
start_timer (call_t *call, int64_t after_ms)
{
  ev_now_update (call->table->loop);
  ev_timer_init (&call->timer, on_timer, (double)after_ms / 1000.0, 0.0);
  ev_timer_start (call->table->loop, &call->timer);
}

/* Sends CALL now, or after the pause of reads or writes that the service asked
   for.  While the service is down, the call fails later, from the event
   loop.  */
static void
send_or_wait (call_t *call)
{
  const table_http_t *table = call->table;
  int64_t now_ms = clk_now_ms (table->clock);
  int64_t paused_until_ms = call->txn_done ? table->writes_paused_until_ms
                                           : table->reads_paused_until_ms;
  if (now_ms < table->down_until_ms)
    start_timer (call, 0);
  else if (now_ms < paused_until_ms)
    start_timer (call, paused_until_ms - now_ms);
  else
    call->send (call);
}

/* Records the pause that RESULT asks for, and sends CALL again after it if the
   rate limit was exceeded, as the service has then done nothing.  Returns
   whether CALL is sent again.  */
static bool
retry_after_pause (call_t *call, const httpc_result_t *result)
{
  int max_retries = call->rows ? MAX_SCAN_RETRIES : MAX_CALL_RETRIES;
  call->http = NULL;
  record_pause (call->table, result, call->txn_done != NULL);
  if (result->kind != ERR_OK || result->status != 429
      || call->retries >= max_retries)
    return false;
  call->retries++;
  send_or_wait (call);
  return true;
}

static void
on_row (void *context, const httpc_result_t *result)
{
  call_t *call = context;
  json_t *value;
  table_row_t row;
  const char *detail;
  if (retry_after_pause (call, result))
    return;
  err_kind_t kind = table_http_parse_row (result, call->key_or_prefix, &value,
                                          &row, &detail);
  if (kind == ERR_INTERNAL)
    answer_log_unexpected ("table", call->key_or_prefix, result, detail);
  end_read (call, kind, kind == ERR_OK ? &row : NULL, kind == ERR_OK);
  json_decref (value);
}

static void
send_get (call_t *call)
{
  g_autofree char *escaped
      = g_uri_escape_string (call->key_or_prefix, "/", FALSE);
  g_autofree char *url
      = g_strdup_printf ("%s/v1/rows/%s", call->table->url, escaped);
  call->http = httpc_call (call->table->client, "GET", url, NULL,
                           ANSWER_TIMEOUT_MS, on_row, call);
}

static void
table_get (table_t *self, const char *key, table_read_done_t done,
           void *context)
{
  call_t *call = call_new ((table_http_t *)self, key, context);
  call->read_done = done;
  call->send = send_get;
  send_or_wait (call);
}

static void
end_scan (call_t *call)
{
  size_t count = json_array_size (call->rows);
  table_row_t *rows = g_new0 (table_row_t, count + 1);
  const char *detail;
  for (size_t i = 0; i < count; i++)
    parse_row (json_array_get (call->rows, i), &rows[i], &detail);
  end_read (call, ERR_OK, rows, (uint32_t)count);
  g_free (rows);
}

static void
on_page (void *context, const httpc_result_t *result)
{
  call_t *call = context;
  json_t *rows;
  bool more = false;
  const char *detail;
  if (retry_after_pause (call, result))
    return;
  err_kind_t kind = table_http_parse_page (result, &rows, &more, &detail);
  if (kind == ERR_INTERNAL)
    answer_log_unexpected ("table", call->key_or_prefix, result, detail);
  if (kind == ERR_OK)
    json_array_extend (call->rows, rows);
  json_decref (rows);
  if (kind != ERR_OK)
    end_read (call, kind, NULL, 0);
  else if (more)
    send_or_wait (call);
  else
    end_scan (call);
}

static void
send_scan (call_t *call)
{
  size_t count = json_array_size (call->rows);
  const json_t *last
      = count > 0 ? json_array_get (call->rows, count - 1) : NULL;
  const char *after = last ? answer_string (last, "key") : NULL;
  g_autofree char *prefix
      = g_uri_escape_string (call->key_or_prefix, NULL, FALSE);
  g_autofree char *escaped_after
      = after ? g_uri_escape_string (after, NULL, FALSE) : NULL;
  g_autofree char *url = g_strdup_printf (
      "%s/v1/rows?prefix=%s&limit=%d%s%s", call->table->url, prefix, PAGE_ROWS,
      escaped_after ? "&after=" : "", escaped_after ? escaped_after : "");
  call->http = httpc_call (call->table->client, "GET", url, NULL,
                           ANSWER_TIMEOUT_MS, on_page, call);
}

static void
table_scan (table_t *self, const char *prefix, table_read_done_t done,
            void *context)
{
  call_t *call = call_new ((table_http_t *)self, prefix, context);
  call->read_done = done;
  call->rows = json_array ();
  call->send = send_scan;
  send_or_wait (call);
}

static void
on_txn (void *context, const httpc_result_t *result)
{
  call_t *call = context;
  const char *detail;
  if (retry_after_pause (call, result))
    return;
  int64_t *versions = g_new0 (int64_t, call->write_count + 1);
  err_kind_t kind = table_http_parse_txn (
      result, call->writes, call->write_count, versions, &detail);
  if (detail != NULL)
    answer_log_unexpected ("table", call->key_or_prefix, result, detail);
  call->txn_done (call->context, kind, kind == ERR_OK ? versions : NULL,
                  kind == ERR_OK ? call->write_count : 0);
  g_free (versions);
  call_free (call);
}

static char *
txn_body (const table_row_t *checks, uint32_t check_count,
          const table_row_t *writes, uint32_t write_count)
{
  json_t *check_list = json_array (), *write_list = json_array ();
  for (uint32_t i = 0; i < check_count; i++)
    json_array_append_new (
        check_list, json_pack ("{s:s, s:I}", "key", checks[i].key, "version",
                               (json_int_t)checks[i].version));
  for (uint32_t i = 0; i < write_count; i++)
    json_array_append_new (write_list,
                           json_pack ("{s:s, s:O?}", "key", writes[i].key,
                                      "value", writes[i].value));
  json_t *body
      = json_pack ("{s:o, s:o}", "checks", check_list, "writes", write_list);
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return text;
}

static void
send_txn (call_t *call)
{
  g_autofree char *url = g_strconcat (call->table->url, "/v1/txn", NULL);
  call->http = httpc_call (call->table->client, "POST", url, call->body,
                           ANSWER_TIMEOUT_MS, on_txn, call);
}

static void
table_txn (table_t *self, const table_row_t *checks, uint32_t check_count,
           const table_row_t *writes, uint32_t write_count,
           table_txn_done_t done, void *context)
{
  const char *log_key = write_count > 0 ? writes[0].key : "txn";
  call_t *call = call_new ((table_http_t *)self, log_key, context);
  call->txn_done = done;
  call->writes = g_new0 (table_row_t, write_count + 1);
  call->write_count = write_count;
  for (uint32_t i = 0; i < write_count; i++)
    call->writes[i].key = g_strdup (writes[i].key);
  call->body = txn_body (checks, check_count, writes, write_count);
  call->send = send_txn;
  send_or_wait (call);
}

table_t *
table_http_new (httpc_t *client, struct ev_loop *loop, const clk_t *clock,
                const char *url)
{
  static const table_ops_t ops = { table_get, table_scan, table_txn };
  table_http_t *table = g_new0 (table_http_t, 1);
  table->base.ops = &ops;
  table->client = client;
  table->loop = loop;
  table->clock = clock;
  table->url = g_strdup (url);
  table->in_flight = g_hash_table_new (NULL, NULL);
  return &table->base;
}

void
table_http_free (table_t *self)
{
  if (self == NULL)
    return;
  table_http_t *table = (table_http_t *)self;
  GHashTableIter iter;
  call_t *call;
  while (g_hash_table_size (table->in_flight) > 0)
    {
      g_hash_table_iter_init (&iter, table->in_flight);
      g_hash_table_iter_next (&iter, (void **)&call, NULL);
      if (call->http != NULL)
        httpc_cancel (call->http);
      call_free (call);
    }
  g_hash_table_unref (table->in_flight);
  g_free (table->url);
  g_free (table);
}
