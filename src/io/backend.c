#include "backend.h"

#include "httpc_easy.h"
#include "loop.h"
#include "log.h"
#include "proxy.h"

#include <string.h>

/* An equal share of the 64 connections of a backend server for each of 8
   entries.  */
#define CONNECTIONS_PER_SERVER 8
#define MAX_IDLE_S 5
#define MAX_AGE_S 60
#define CONNECT_TIMEOUT_MS 1000
#define PROBE_TIMEOUT_MS 1000
#define SILENCE_CHECK_PERIOD_MS 250
/* If an idempotent request has had no answer headers for longer than this, and
   for longer than SILENCE_FACTOR times the slowest recent answer of its
   service, its connection counts as suspect and the backend server is
   probed.  */
#define MIN_SILENCE_MS 1000
#define SILENCE_FACTOR 3.0
/* The slowest recent time is multiplied by this with each answer, so that it
   follows when a service becomes faster.  */
#define SLOWEST_DECAY 0.98
#define MAX_ANSWER_HEADERS 200
/* These headers have to fit into the HTTP server's memory for a connection,
   beside the headers of the request.  */
#define MAX_ANSWER_HEADER_BYTES (12 * 1024)

typedef struct attempt attempt_t;

struct backend_pool
{
  proxy_t *proxy;
  httpc_t *client;
  GHashTable *attempts;   /* attempt_t, owned */
  GHashTable *probes;     /* probe_t, owned */
  GHashTable *slowest_ms; /* service -> double *, slowest recent answer */
  loop_timer_t *silence_timer;
  counter_t *silent_connections;
};

struct attempt
{
  backend_pool_t *pool;
  relay_t *relay;
  httpc_transfer_t *transfer;
  struct curl_slist *headers;
  char *backend;
  char *url;
  int64_t start_ms;
  uint16_t status;
  int64_t content_length; /* of the answer, -1 if unknown */
  size_t header_bytes;
  unsigned header_count;
  bool headers_complete; /* those of the final answer */
  bool body_paused;
  bool answer_paused;
  bool probed; /* a probe was started because of silence */
  bool caller_gone;
};

typedef struct
{
  backend_pool_t *pool;
  httpc_transfer_t *transfer;
  char *backend;
  bool for_dispatch; /* dispatch asked for it and waits for the result */
  /* The attempt without an answer that the probe was started for; NULL if
     there is none or once it has ended.  */
  attempt_t *suspect;
} probe_t;

static void
attempt_free (attempt_t *attempt)
{
  g_hash_table_remove (attempt->pool->attempts, attempt);
  GHashTableIter iterator;
  gpointer key;
  g_hash_table_iter_init (&iterator, attempt->pool->probes);
  while (attempt->probed && g_hash_table_iter_next (&iterator, &key, NULL))
    if (((probe_t *)key)->suspect == attempt)
      ((probe_t *)key)->suspect = NULL;
  httpc_transfer_free (attempt->transfer);
  curl_slist_free_all (attempt->headers);
  g_free (attempt->backend);
  g_free (attempt->url);
  g_free (attempt);
}

/* Reports to dispatch that this side closes the connection of ATTEMPT while
   the backend server may still work on the request.  */
static void
report_abandoned (attempt_t *attempt)
{
  dispatch_attempt_abandoned (proxy_dispatch (attempt->pool->proxy),
                              attempt->relay->id, attempt->relay->attempt);
}

static void
end_attempt (attempt_t *attempt, err_kind_t kind, outcome_t outcome)
{
  relay_t *relay = attempt->relay;
  uint16_t status = attempt->headers_complete ? attempt->status : 0;
  attempt_free (attempt);
  relay_attempt_ended (relay, kind, status, outcome);
}

static void
record_latency (attempt_t *attempt)
{
  GHashTable *services = attempt->pool->slowest_ms;
  double latency_ms
      = (double)(clk_now_ms (proxy_options (attempt->pool->proxy)->clock)
                 - attempt->start_ms);
  double *slowest_ms = g_hash_table_lookup (services, attempt->relay->service);
  if (slowest_ms == NULL)
    {
      slowest_ms = g_new0 (double, 1);
      g_hash_table_insert (services, g_strdup (attempt->relay->service),
                           slowest_ms);
    }
  *slowest_ms = MAX (latency_ms, *slowest_ms * SLOWEST_DECAY);
}

static void
on_finished (void *context, CURLcode code)
{
  attempt_t *attempt = context;
  outcome_t outcome;
  err_kind_t kind = httpc_transfer_kind (attempt->transfer, code, &outcome);
  if (kind == ERR_OK && !attempt->headers_complete)
    {
      kind = ERR_CONNECTION_LOST;
      outcome = OUTCOME_UNKNOWN;
    }
  if (kind == ERR_OK)
    record_latency (attempt);
  else if (outcome != OUTCOME_NOT_RUN && !httpc_closed_by_peer (code))
    report_abandoned (attempt);
  end_attempt (attempt, kind, outcome);
}

static void
add_answer_header (attempt_t *attempt, const char *line, size_t length)
{
  const char *colon = memchr (line, ':', length);
  if (colon == NULL || ++attempt->header_count > MAX_ANSWER_HEADERS)
    return;
  char *name = g_strndup (line, (gsize)(colon - line));
  char *value
      = g_strstrip (g_strndup (colon + 1, length - (gsize)(colon - line) - 1));
  if (g_ascii_strcasecmp (name, "Content-Length") == 0)
    attempt->content_length = g_ascii_strtoll (value, NULL, 10);
  if (!relay_is_hop_by_hop_header (name)
      && g_ascii_strncasecmp (name, "X-Magnoliadock-", 15) != 0)
    relay_add_answer_header (attempt->relay, name, value);
  g_free (name);
  g_free (value);
}

static size_t
on_header (char *data, size_t size, size_t count, void *context)
{
  attempt_t *attempt = context;
  size_t length = size * count;
  attempt->header_bytes += length;
  if (attempt->header_bytes > MAX_ANSWER_HEADER_BYTES)
    return 0;
  if (attempt->headers_complete)
    return length; /* trailers are dropped */
  if (length >= 5 && memcmp (data, "HTTP/", 5) == 0)
    {
      const char *space = memchr (data, ' ', length);
      attempt->status
          = space ? (uint16_t)g_ascii_strtoull (space, NULL, 10) : 0;
      attempt->content_length = -1;
      attempt->header_count = 0;
      g_ptr_array_set_size (attempt->relay->answer_headers, 0);
      return length;
    }
  if (data[0] != '\r' && data[0] != '\n')
    {
      add_answer_header (attempt, data, length);
      return length;
    }
  if (attempt->status < 200)
    return length; /* end of an informational (1xx) answer */
  attempt->headers_complete = true;
  if (attempt->status == 204 || attempt->status == 304)
    attempt->content_length = 0;
  relay_answer_begun (attempt->relay, attempt->status,
                      attempt->content_length);
  return length;
}

static size_t
on_answer_bytes (char *data, size_t size, size_t count, void *context)
{
  attempt_t *attempt = context;
  size_t length = size * count;
  relay_t *relay = attempt->relay;
  /* A write callback of libcurl has to take all bytes or, by pausing, none. */
  if (relay->caller_ops != NULL && !relay->decided
      && bytepipe_room (&relay->answer) < length)
    {
      attempt->answer_paused = true;
      return CURL_WRITEFUNC_PAUSE;
    }
  return relay_answer_put (relay, data, length);
}

static size_t
on_body_read (char *into, size_t size, size_t count, void *context)
{
  attempt_t *attempt = context;
  relay_t *relay = attempt->relay;
  size_t taken = relay_body_take (relay, into, size * count);
  if (taken > 0)
    return taken;
  if (relay->body.cut)
    return CURL_READFUNC_ABORT;
  if (relay->body.ended)
    return 0;
  attempt->body_paused = true;
  return CURL_READFUNC_PAUSE;
}

static void
unpause (attempt_t *attempt)
{
  attempt->body_paused = false;
  attempt->answer_paused = false;
  curl_easy_pause (attempt->transfer->easy, CURLPAUSE_CONT);
}

static void
on_body_ready (relay_t *relay)
{
  attempt_t *attempt = relay->server_state;
  if (attempt->body_paused)
    unpause (attempt);
}

static void
on_answer_room (relay_t *relay)
{
  attempt_t *attempt = relay->server_state;
  if (attempt->answer_paused
      && bytepipe_unread (&relay->answer) <= BYTEPIPE_MAX_BYTES / 2)
    unpause (attempt);
}

static void
on_caller_gone (relay_t *relay)
{
  attempt_t *attempt = relay->server_state;
  attempt->caller_gone = true;
  if (attempt->body_paused || attempt->answer_paused)
    unpause (attempt);
}

static void
on_drop (relay_t *relay)
{
  attempt_free (relay->server_state);
  relay->server_ops = NULL;
  relay->server_state = NULL;
}

static const relay_server_ops_t server_ops
    = { on_body_ready, on_answer_room, on_caller_gone, on_drop };

static void
set_body (attempt_t *attempt, CURL *easy)
{
  relay_t *relay = attempt->relay;
  if (relay->body.ended && relay->body.keep)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)bytepipe_unread (&relay->body));
      curl_easy_setopt (
          easy, CURLOPT_POSTFIELDS,
          relay->body.data ? relay->body.data + relay->body.position : "");
      return;
    }
  curl_easy_setopt (easy, CURLOPT_UPLOAD, 1L);
  curl_easy_setopt (easy, CURLOPT_INFILESIZE_LARGE,
                    (curl_off_t)relay->body_length);
  curl_easy_setopt (easy, CURLOPT_READFUNCTION, on_body_read);
  curl_easy_setopt (easy, CURLOPT_READDATA, attempt);
}

static void
set_headers (attempt_t *attempt, CURL *easy, int64_t timeout_ms)
{
  relay_t *relay = attempt->relay;
  struct curl_slist *list = NULL;
  bool has_type = false, has_accept = false;
  for (guint i = 0; i < relay->headers->len; i++)
    {
      const char *line = relay->headers->pdata[i];
      has_type
          = has_type || g_ascii_strncasecmp (line, "Content-Type:", 13) == 0;
      has_accept = has_accept || g_ascii_strncasecmp (line, "Accept:", 7) == 0;
      list = curl_slist_append (list, line);
    }
  char *line = g_strconcat ("X-Request-Id: ", relay->request_id, NULL);
  list = curl_slist_append (list, line);
  g_free (line);
  line = g_strdup_printf ("X-Deadline-Ms: %" G_GINT64_FORMAT, timeout_ms);
  list = curl_slist_append (list, line);
  g_free (line);
  list = curl_slist_append (list, relay->idempotent ? "X-Idempotent: true"
                                                    : "X-Idempotent: false");
  /* Keeps libcurl from adding these headers by itself.  */
  if (relay->has_body)
    list = curl_slist_append (list, "Expect:");
  if (relay->has_body && !has_type)
    list = curl_slist_append (list, "Content-Type:");
  if (!has_accept)
    list = curl_slist_append (list, "Accept:");
  attempt->headers = list;
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, list);
}

void
backend_send (backend_pool_t *pool, relay_t *relay, const char *backend,
              const char *url, bool new_connection)
{
  attempt_t *attempt = g_new0 (attempt_t, 1);
  attempt->pool = pool;
  attempt->relay = relay;
  attempt->backend = g_strdup (backend);
  attempt->url = g_strdup (url);
  attempt->content_length = -1;
  attempt->start_ms = clk_now_ms (proxy_options (pool->proxy)->clock);
  attempt->transfer = httpc_transfer_new (pool->client, on_finished, attempt);
  g_hash_table_add (pool->attempts, attempt);
  relay->server_ops = &server_ops;
  relay->server_state = attempt;

  CURL *easy = attempt->transfer->easy;
  int64_t timeout_ms = MAX (relay->deadline_ms - attempt->start_ms, 1);
  char *target = g_strconcat (url, relay->path, NULL);
  curl_easy_setopt (easy, CURLOPT_URL, target);
  g_free (target);
  curl_easy_setopt (easy, CURLOPT_PATH_AS_IS, 1L);
  if (relay->has_body)
    set_body (attempt, easy);
  if (strcmp (relay->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, relay->method);
  set_headers (attempt, easy, timeout_ms);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, new_connection ? 1L : 0L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_answer_bytes);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, attempt);
  if (!httpc_transfer_start (attempt->transfer))
    {
      proxy_fail_later (pool->proxy, relay, ERR_INTERNAL);
      on_drop (relay);
    }
}

static void
probe_free (probe_t *probe)
{
  g_hash_table_remove (probe->pool->probes, probe);
  httpc_transfer_free (probe->transfer);
  g_free (probe->backend);
  g_free (probe);
}

static void
on_probe_finished (void *context, CURLcode code)
{
  probe_t *probe = context;
  backend_pool_t *pool = probe->pool;
  attempt_t *suspect = probe->suspect;
  char *backend = g_steal_pointer (&probe->backend);
  bool for_dispatch = probe->for_dispatch;
  probe_free (probe);
  if (suspect != NULL && !suspect->headers_complete)
    {
      counter_add (pool->silent_connections, 1);
      log_event (LOG_WARN, "connection_silent", "backend", backend, "id",
                 suspect->relay->request_id, "new_connection",
                 code == CURLE_OK ? "answered" : "failed", NULL);
      report_abandoned (suspect);
      end_attempt (suspect, ERR_CONNECTION_LOST, OUTCOME_UNKNOWN);
    }
  else if (for_dispatch)
    dispatch_probe_ended (proxy_dispatch (pool->proxy), backend,
                          code == CURLE_OK ? ERR_OK : ERR_CONNECT_FAILED);
  g_free (backend);
}

static probe_t *
start_probe (backend_pool_t *pool, const char *backend, const char *url)
{
  probe_t *probe = g_new0 (probe_t, 1);
  probe->pool = pool;
  probe->backend = g_strdup (backend);
  probe->transfer
      = httpc_transfer_new (pool->client, on_probe_finished, probe);
  g_hash_table_add (pool->probes, probe);
  CURL *easy = probe->transfer->easy;
  curl_easy_setopt (easy, CURLOPT_URL, url);
  /* A probe that sent a request would need a slot; a connection is enough to
     tell a dead connection from a dead process.  */
  curl_easy_setopt (easy, CURLOPT_CONNECT_ONLY, 1L);
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)PROBE_TIMEOUT_MS);
  httpc_transfer_start (probe->transfer);
  return probe;
}

void
backend_probe (backend_pool_t *pool, const char *backend, const char *url)
{
  start_probe (pool, backend, url)->for_dispatch = true;
}

static bool
is_silent (const attempt_t *attempt, int64_t now_ms)
{
  const relay_t *relay = attempt->relay;
  if (attempt->headers_complete || attempt->probed || !relay->idempotent
      || !relay->body.ended || attempt->caller_gone)
    return false;
  double *slowest_ms
      = g_hash_table_lookup (attempt->pool->slowest_ms, relay->service);
  double max_silence_ms
      = slowest_ms ? MAX (MIN_SILENCE_MS, SILENCE_FACTOR * *slowest_ms)
                   : MIN_SILENCE_MS;
  return (double)(now_ms - attempt->start_ms) > max_silence_ms;
}

/* Starts a probe for each attempt that has waited too long for an answer.
   Requests that are not idempotent are left to their deadline: they could not
   be sent again, and a late answer is worth more than none.  */
static void
check_silence (void *context)
{
  backend_pool_t *pool = context;
  int64_t now_ms = clk_now_ms (proxy_options (pool->proxy)->clock);
  GHashTableIter iterator;
  gpointer key;
  g_hash_table_iter_init (&iterator, pool->attempts);
  while (g_hash_table_iter_next (&iterator, &key, NULL))
    {
      attempt_t *attempt = key;
      if (!is_silent (attempt, now_ms))
        continue;
      attempt->probed = true;
      start_probe (pool, attempt->backend, attempt->url)->suspect = attempt;
    }
}

backend_pool_t *
backend_pool_new (proxy_t *proxy)
{
  static const httpc_options_t client_options = {
    .max_connections_per_host = CONNECTIONS_PER_SERVER,
    .max_idle_s = MAX_IDLE_S,
    .max_age_s = MAX_AGE_S,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
  };
  const proxy_options_t *options = proxy_options (proxy);
  backend_pool_t *pool = g_new0 (backend_pool_t, 1);
  pool->proxy = proxy;
  pool->client = httpc_new (options->loop, &client_options);
  pool->attempts = g_hash_table_new (NULL, NULL);
  pool->probes = g_hash_table_new (NULL, NULL);
  pool->slowest_ms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  pool->silence_timer = loop_timer_new (options->loop, SILENCE_CHECK_PERIOD_MS,
                                        check_silence, pool);
  pool->silent_connections = counter_get (
      options->registry, "magnoliadock_silent_connections_total", NULL);
  return pool;
}

void
backend_pool_free (backend_pool_t *pool)
{
  GHashTableIter iterator;
  gpointer key;
  while (g_hash_table_size (pool->probes) > 0)
    {
      g_hash_table_iter_init (&iterator, pool->probes);
      g_hash_table_iter_next (&iterator, &key, NULL);
      probe_free (key);
    }
  while (g_hash_table_size (pool->attempts) > 0)
    {
      g_hash_table_iter_init (&iterator, pool->attempts);
      g_hash_table_iter_next (&iterator, &key, NULL);
      attempt_free (key);
    }
  loop_timer_free (pool->silence_timer);
  httpc_free (pool->client);
  g_hash_table_unref (pool->attempts);
  g_hash_table_unref (pool->probes);
  g_hash_table_unref (pool->slowest_ms);
  g_free (pool);
}
