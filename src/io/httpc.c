#include "httpc.h"
#include "httpc_direct.h"
#include "httpc_easy.h"

#include <glib.h>
#include <string.h>

#define MAX_ANSWER_BYTES (16 * 1024 * 1024)
/* libcurl handles kept for reuse; a new one costs about 5 us and 6 KB.  */
#define MAX_SPARE_HANDLES 64
#define MAX_POOL_CONNECTIONS 4096

typedef struct
{
  ev_io watcher;
  httpc_t *client;
} socket_watch_t;

struct httpc
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timeout;
  httpc_options_t options;
  GPtrArray *spare_handles; /* CURL, owned */
  GHashTable *calls;        /* curl_call_t, owned */
  GHashTable *transfers;    /* httpc_transfer_t, those of calls included */
  httpc_direct_t *direct;   /* NULL: every call goes through libcurl */
};

typedef struct
{
  httpc_call_t base;
  httpc_transfer_t *transfer;
  httpc_t *client;
  httpc_done_t done;
  void *context;
  GString *answer;
  struct curl_slist *headers;
  char *body;
  bool too_large;
  uint32_t send_count; /* how often libcurl started the request */
} curl_call_t;

static void
collect_finished (httpc_t *client)
{
  CURLMsg *message;
  int left;
  while ((message = curl_multi_info_read (client->multi, &left)) != NULL)
    {
      if (message->msg != CURLMSG_DONE)
        continue;
      httpc_transfer_t *transfer = NULL;
      CURLcode code = message->data.result;
      curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE,
                         (char **)&transfer);
      curl_multi_remove_handle (client->multi, transfer->easy);
      transfer->started = false;
      transfer->finished (transfer->context, code);
    }
}

static void
on_socket_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  httpc_t *client = ((socket_watch_t *)watcher->data)->client;
  int flags = ((events & EV_READ) ? CURL_CSELECT_IN : 0)
              | ((events & EV_WRITE) ? CURL_CSELECT_OUT : 0);
  int running;
  curl_multi_socket_action (client->multi, watcher->fd, flags, &running);
  collect_finished (client);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  httpc_t *client = watcher->data;
  int running;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  collect_finished (client);
}

static int
on_timer_wanted (CURLM *multi, long timeout_ms, void *context)
{
  httpc_t *client = context;
  ev_timer_stop (client->loop, &client->timeout);
  if (timeout_ms >= 0)
    {
      /* libev counts the delay from the time at which the loop last looked at
         the clock.  */
      if (timeout_ms > 0)
        ev_now_update (client->loop);
      ev_timer_set (&client->timeout, (double)timeout_ms / 1000.0, 0.0);
      ev_timer_start (client->loop, &client->timeout);
    }
  return 0;
}

static int
on_socket_wanted (CURL *easy, curl_socket_t fd, int what, void *context,
                  void *socket_context)
{
  httpc_t *client = context;
  socket_watch_t *watch = socket_context;
  if (what == CURL_POLL_REMOVE)
    {
      if (watch != NULL)
        {
          ev_io_stop (client->loop, &watch->watcher);
          g_free (watch);
          curl_multi_assign (client->multi, fd, NULL);
        }
      return 0;
    }
  int events = ((what & CURL_POLL_IN) ? EV_READ : 0)
               | ((what & CURL_POLL_OUT) ? EV_WRITE : 0);
  if (watch == NULL)
    {
      watch = g_new0 (socket_watch_t, 1);
      watch->client = client;
      ev_init (&watch->watcher, on_socket_ready);
      watch->watcher.data = watch;
      curl_multi_assign (client->multi, fd, watch);
    }
  else
    ev_io_stop (client->loop, &watch->watcher);
  ev_io_set (&watch->watcher, fd, events);
  ev_io_start (client->loop, &watch->watcher);
  return 0;
}

httpc_t *
httpc_new (struct ev_loop *loop, const httpc_options_t *options)
{
  httpc_t *client = g_new0 (httpc_t, 1);
  client->loop = loop;
  client->options = *options;
  client->spare_handles
      = g_ptr_array_new_with_free_func ((GDestroyNotify)curl_easy_cleanup);
  client->calls = g_hash_table_new (NULL, NULL);
  client->transfers = g_hash_table_new (NULL, NULL);
  ev_init (&client->timeout, on_timeout);
  client->timeout.data = client;
  if (options->repeatable)
    client->direct = httpc_direct_new (loop, options);
  client->multi = curl_multi_init ();
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, on_socket_wanted);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, on_timer_wanted);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS,
                     (long)MAX_POOL_CONNECTIONS);
  curl_multi_setopt (client->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     (long)options->max_connections_per_host);
  return client;
}

static void
set_common_options (httpc_t *client, CURL *easy)
{
  const httpc_options_t *options = &client->options;
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  /* The environment variable http_proxy must not redirect internal
     traffic.  */
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, (long)options->max_idle_s);
  curl_easy_setopt (easy, CURLOPT_MAXLIFETIME_CONN, (long)options->max_age_s);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)options->connect_timeout_ms);
}

httpc_transfer_t *
httpc_transfer_new (httpc_t *client,
                    void (*finished) (void *context, CURLcode code),
                    void *context)
{
  httpc_transfer_t *transfer = g_new0 (httpc_transfer_t, 1);
  transfer->client = client;
  transfer->finished = finished;
  transfer->context = context;
  if (client->spare_handles->len > 0)
    transfer->easy = g_ptr_array_steal_index_fast (
        client->spare_handles, client->spare_handles->len - 1);
  else
    transfer->easy = curl_easy_init ();
  set_common_options (client, transfer->easy);
  curl_easy_setopt (transfer->easy, CURLOPT_PRIVATE, transfer);
  g_hash_table_add (client->transfers, transfer);
  return transfer;
}

bool
httpc_transfer_start (httpc_transfer_t *transfer)
{
  transfer->started
      = curl_multi_add_handle (transfer->client->multi, transfer->easy)
        == CURLM_OK;
  return transfer->started;
}

void
httpc_transfer_free (httpc_transfer_t *transfer)
{
  if (transfer == NULL)
    return;
  httpc_t *client = transfer->client;
  if (transfer->started)
    curl_multi_remove_handle (client->multi, transfer->easy);
  g_hash_table_remove (client->transfers, transfer);
  if (client->spare_handles->len < MAX_SPARE_HANDLES)
    {
      curl_easy_reset (transfer->easy);
      g_ptr_array_add (client->spare_handles, transfer->easy);
    }
  else
    curl_easy_cleanup (transfer->easy);
  g_free (transfer);
}

bool
httpc_closed_by_peer (CURLcode code)
{
  return code == CURLE_GOT_NOTHING || code == CURLE_RECV_ERROR
         || code == CURLE_SEND_ERROR || code == CURLE_PARTIAL_FILE;
}

err_kind_t
httpc_transfer_kind (const httpc_transfer_t *transfer, CURLcode code,
                     outcome_t *outcome)
{
  long request_bytes = 0;
  curl_easy_getinfo (transfer->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
  *outcome = request_bytes == 0 ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN;
  switch (code)
    {
    case CURLE_OK:
      *outcome = OUTCOME_RAN;
      return ERR_OK;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
      return ERR_CONNECT_FAILED;
    case CURLE_OPERATION_TIMEDOUT:
      return request_bytes == 0 ? ERR_CONNECT_FAILED : ERR_TIMEOUT;
    case CURLE_PARTIAL_FILE:
      return ERR_ANSWER_CUT;
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
      return ERR_BAD_REQUEST;
    case CURLE_GOT_NOTHING:
    case CURLE_SEND_ERROR:
    case CURLE_RECV_ERROR:
    default:
      return ERR_CONNECTION_LOST;
    }
}

static void
call_free (httpc_call_t *base)
{
  curl_call_t *call = (curl_call_t *)base;
  g_hash_table_remove (call->client->calls, call);
  httpc_transfer_free (call->transfer);
  curl_slist_free_all (call->headers);
  g_string_free (call->answer, TRUE);
  g_free (call->body);
  g_free (call);
}

static void
on_call_finished (void *context, CURLcode code)
{
  curl_call_t *call = context;
  httpc_result_t result = { 0 };
  long status = 0;
  curl_off_t retry_after_s = 0;
  result.kind = httpc_transfer_kind (call->transfer, code, &result.outcome);
  if (call->too_large)
    result.kind = ERR_TOO_LARGE;
  curl_easy_getinfo (call->transfer->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (call->transfer->easy, CURLINFO_RETRY_AFTER,
                     &retry_after_s);
  result.status = (uint16_t)status;
  result.repeated = call->send_count > 1;
  result.retry_after_s = (uint32_t)retry_after_s;
  result.body = call->answer->str;
  result.body_length = call->answer->len;
  call->done (call->context, &result);
  call_free (&call->base);
}

static size_t
on_call_bytes (char *data, size_t size, size_t count, void *context)
{
  curl_call_t *call = context;
  size_t length = size * count;
  if (call->answer->len + length > MAX_ANSWER_BYTES)
    {
      call->too_large = true;
      return 0;
    }
  g_string_append_len (call->answer, data, (gssize)length);
  return length;
}

static int
on_request_begins (void *context, char *remote_ip, char *local_ip,
                   int remote_port, int local_port)
{
  ((curl_call_t *)context)->send_count++;
  return CURL_PREREQFUNC_OK;
}

httpc_call_t *
httpc_call_headers (httpc_t *client, const char *method, const char *url,
                    const char *const *headers, const char *body,
                    int64_t timeout_ms, httpc_done_t done, void *context)
{
  if (client->direct != NULL && httpc_direct_handles (url))
    return httpc_direct_call (client->direct, method, url, headers, body,
                              timeout_ms, done, context);
  curl_call_t *call = g_new0 (curl_call_t, 1);
  call->base.cancel = call_free;
  call->client = client;
  call->done = done;
  call->context = context;
  call->answer = g_string_new (NULL);
  call->transfer = httpc_transfer_new (client, on_call_finished, call);
  CURL *easy = call->transfer->easy;
  curl_easy_setopt (easy, CURLOPT_URL, url);
  for (; headers != NULL && *headers != NULL; headers++)
    call->headers = curl_slist_append (call->headers, *headers);
  if (body != NULL)
    {
      call->body = g_strdup (body);
      call->headers = curl_slist_append (call->headers,
                                         "Content-Type: application/json");
      call->headers = curl_slist_append (call->headers, "Expect:");
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)strlen (body));
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, call->body);
    }
  if (call->headers != NULL)
    curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  if (strcmp (method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_request_begins);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_call_bytes);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  /* libcurl repeats a request on its own when a reused connection turns out to
     be dead, which a call that changes state must not be.  */
  if (!client->options.repeatable && strcmp (method, "GET") != 0
      && strcmp (method, "HEAD") != 0)
    curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
  g_hash_table_add (client->calls, call);
  httpc_transfer_start (call->transfer);
  return &call->base;
}

httpc_call_t *
httpc_call (httpc_t *client, const char *method, const char *url,
            const char *body, int64_t timeout_ms, httpc_done_t done,
            void *context)
{
  return httpc_call_headers (client, method, url, NULL, body, timeout_ms, done,
                             context);
}

void
httpc_cancel (httpc_call_t *call)
{
  call->cancel (call);
}

void
httpc_free (httpc_t *client)
{
  if (client == NULL)
    return;
  GHashTableIter iterator;
  gpointer key;
  while (g_hash_table_size (client->calls) > 0)
    {
      g_hash_table_iter_init (&iterator, client->calls);
      g_hash_table_iter_next (&iterator, &key, NULL);
      call_free (key);
    }
  while (g_hash_table_size (client->transfers) > 0)
    {
      g_hash_table_iter_init (&iterator, client->transfers);
      g_hash_table_iter_next (&iterator, &key, NULL);
      httpc_transfer_free (key);
    }
  httpc_direct_free (client->direct);
  g_ptr_array_unref (client->spare_handles);
  g_hash_table_unref (client->calls);
  g_hash_table_unref (client->transfers);
  curl_multi_cleanup (client->multi);
  ev_timer_stop (client->loop, &client->timeout);
  g_free (client);
}
