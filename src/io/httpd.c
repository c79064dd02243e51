#include "httpd.h"

#include "log.h"
#include "options.h"

#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <microhttpd.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Holds the headers of a request and of its answer.  libmicrohttpd clears it
   between requests; at 48 KiB that took 8% of an entry's time.  */
#define CONNECTION_MEMORY (32 * 1024)
#define IDLE_LIMIT_S 75
#define LISTEN_BACKLOG 1024
#define ANSWER_BLOCK (16 * 1024)
/* Bytes of a body that are read and dropped after the answer is decided;
   libmicrohttpd can answer only before or after the body.  */
#define DISCARD_LIMIT (4 * 1024 * 1024)
/* How often callers of waiting exchanges are checked for having gone.  */
#define GONE_CHECK_S 0.25

typedef struct
{
  const httpd_route_t *routes;
  void *context;
} route_table_t;

struct httpd
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  httpd_options_t options;
  GArray *tables; /* route_table_t */
  const httpd_stream_ops_t *stream;
  void *stream_context;
  httpd_exchange_t *waiting; /* list of suspended exchanges */
  uint32_t open;
  bool ending; /* answers end their connection */
  bool stopped;
  bool dirty; /* libmicrohttpd has work without a socket event */
  int listen_fd;
  uint16_t port;
  ev_io epoll_watcher;
  ev_prepare prepare;
  ev_idle no_block;
  ev_timer timeout;
  ev_timer gone_check;
};

struct httpd_exchange
{
  httpd_t *server;
  struct MHD_Connection *connection;
  httpd_exchange_t *next_waiting, *previous_waiting;
  char *raw_path;
  httpd_request_t request;
  char *path;
  char *method;
  const httpd_route_t *route;
  void *route_context;
  void *state; /* of the streaming handler */
  GString *body;
  size_t discarded;
  struct MHD_Response *response;
  GPtrArray *headers; /* name, value, name, value, ...; owned */
  uint16_t status;
  bool begun, ended, suspended, dead, queued, too_large;
};

static void
suspend (httpd_exchange_t *exchange)
{
  httpd_t *server = exchange->server;
  if (exchange->suspended)
    return;
  exchange->suspended = true;
  exchange->previous_waiting = NULL;
  exchange->next_waiting = server->waiting;
  if (server->waiting != NULL)
    server->waiting->previous_waiting = exchange;
  server->waiting = exchange;
  MHD_suspend_connection (exchange->connection);
}

void
httpd_wake (httpd_exchange_t *exchange)
{
  httpd_t *server = exchange->server;
  if (!exchange->suspended)
    return;
  exchange->suspended = false;
  if (exchange->previous_waiting != NULL)
    exchange->previous_waiting->next_waiting = exchange->next_waiting;
  else
    server->waiting = exchange->next_waiting;
  if (exchange->next_waiting != NULL)
    exchange->next_waiting->previous_waiting = exchange->previous_waiting;
  MHD_resume_connection (exchange->connection);
  server->dirty = true;
}

static void *
on_uri (void *context, const char *uri, struct MHD_Connection *connection)
{
  httpd_exchange_t *exchange = g_new0 (httpd_exchange_t, 1);
  exchange->server = context;
  exchange->connection = connection;
  exchange->raw_path = g_strdup (uri);
  exchange->server->open++;
  return exchange;
}

static void
on_completed (void *context, struct MHD_Connection *connection,
              void **exchange_slot, enum MHD_RequestTerminationCode code)
{
  httpd_exchange_t *exchange = *exchange_slot;
  if (exchange == NULL)
    return;
  *exchange_slot = NULL;
  exchange->server->open--;
  if (exchange->state != NULL)
    exchange->server->stream->closed (
        exchange->state, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  if (exchange->response != NULL)
    MHD_destroy_response (exchange->response);
  if (exchange->body != NULL)
    g_string_free (exchange->body, TRUE);
  if (exchange->headers != NULL)
    g_ptr_array_unref (exchange->headers);
  g_free (exchange->raw_path);
  g_free (exchange->path);
  g_free (exchange->method);
  g_free (exchange);
}

/* Queues the prepared answer of EXCHANGE.  */
static enum MHD_Result
queue_answer (httpd_exchange_t *exchange)
{
  struct MHD_Response *response = exchange->response;
  exchange->response = NULL;
  exchange->queued = true;
  for (guint i = 0; exchange->headers && i + 1 < exchange->headers->len;
       i += 2)
    MHD_add_response_header (response, exchange->headers->pdata[i],
                             exchange->headers->pdata[i + 1]);
  if (exchange->server->ending)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
  enum MHD_Result result
      = MHD_queue_response (exchange->connection, exchange->status, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
add_header_size (void *context, enum MHD_ValueKind kind, const char *name,
                 const char *value)
{
  *(size_t *)context += strlen (name) + (value ? strlen (value) : 0) + 4;
  return MHD_YES;
}

static bool
find_route (httpd_exchange_t *exchange, bool *wrong_method)
{
  httpd_t *server = exchange->server;
  const char *path = exchange->path;
  *wrong_method = false;
  for (guint t = 0; t < server->tables->len; t++)
    {
      route_table_t *table = &g_array_index (server->tables, route_table_t, t);
      for (const httpd_route_t *route = table->routes; route->prefix; route++)
        {
          size_t length = strlen (route->prefix);
          bool prefix = length > 0 && route->prefix[length - 1] == '/';
          if (prefix ? strncmp (path, route->prefix, length) != 0
                     : strcmp (path, route->prefix) != 0)
            continue;
          if (route->method && strcmp (route->method, exchange->method) != 0)
            {
              *wrong_method = true;
              continue;
            }
          exchange->route = route;
          exchange->route_context = table->context;
          exchange->request.rest = path + length;
          return true;
        }
    }
  return false;
}

static void
begin_exchange (httpd_exchange_t *exchange)
{
  httpd_t *server = exchange->server;
  size_t header_size = strlen (exchange->raw_path);
  MHD_get_connection_values (exchange->connection, MHD_HEADER_KIND,
                             add_header_size, &header_size);
  exchange->request.method = exchange->method;
  exchange->request.path = exchange->path;
  exchange->request.rest = "";
  if (header_size > server->options.header_limit)
    {
      httpd_answer_error (exchange, ERR_TOO_LARGE,
                          "the request headers are too large");
      exchange->status = MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
      return;
    }
  if (server->stream != NULL && strncmp (exchange->path, "/s/", 3) == 0)
    {
      exchange->request.rest = exchange->path + 3;
      exchange->state = server->stream->begin (server->stream_context,
                                               exchange, &exchange->request);
      return;
    }
  bool wrong_method;
  if (find_route (exchange, &wrong_method))
    {
      const char *length = httpd_header (exchange, "Content-Length");
      if (length != NULL
          && g_ascii_strtoull (length, NULL, 10) > server->options.body_limit)
        httpd_answer_error (exchange, ERR_TOO_LARGE,
                            "the request body is too large");
      else
        exchange->body = g_string_new (NULL);
      return;
    }
  if (wrong_method)
    {
      httpd_answer_error (exchange, ERR_BAD_REQUEST,
                          "this path does not take this method");
      exchange->status = MHD_HTTP_METHOD_NOT_ALLOWED;
    }
  else
    httpd_answer_error (exchange, ERR_NOT_FOUND, "there is nothing here");
}

static bool
has_long_body (httpd_exchange_t *exchange)
{
  const char *length = httpd_header (exchange, "Content-Length");
  return httpd_header (exchange, "Transfer-Encoding") != NULL
         || (length != NULL
             && g_ascii_strtoull (length, NULL, 10) > ANSWER_BLOCK);
}

/* Takes a piece of the body; returns false to close the connection.  */
static bool
take_body (httpd_exchange_t *exchange, const char *data, size_t *length)
{
  httpd_t *server = exchange->server;
  if (exchange->response != NULL || exchange->too_large)
    {
      exchange->discarded += *length;
      *length = 0;
      return exchange->discarded <= DISCARD_LIMIT;
    }
  if (exchange->state != NULL)
    {
      size_t taken = server->stream->body (exchange->state, data, *length);
      *length -= taken;
      if (*length > 0 && exchange->response == NULL)
        suspend (exchange);
      return true;
    }
  if (exchange->body->len + *length > server->options.body_limit)
    exchange->too_large = true;
  else
    g_string_append_len (exchange->body, data, (gssize)*length);
  *length = 0;
  return true;
}

static void
end_body (httpd_exchange_t *exchange)
{
  exchange->ended = true;
  if (exchange->response != NULL)
    return;
  if (exchange->too_large)
    {
      httpd_answer_error (exchange, ERR_TOO_LARGE,
                          "the request body is too large");
      return;
    }
  if (exchange->state != NULL)
    {
      exchange->server->stream->body_end (exchange->state);
      return;
    }
  exchange->request.body = exchange->body->str;
  exchange->request.length = exchange->body->len;
  exchange->route->handler (exchange->route_context, exchange,
                            &exchange->request);
}

static enum MHD_Result
on_request (void *context, struct MHD_Connection *connection, const char *path,
            const char *method, const char *version, const char *data,
            size_t *length, void **exchange_slot)
{
  httpd_exchange_t *exchange = *exchange_slot;
  if (exchange == NULL || exchange->dead)
    return MHD_NO;
  if (!exchange->begun)
    {
      exchange->begun = true;
      exchange->path = g_strdup (path);
      exchange->method = g_strdup (method);
      begin_exchange (exchange);
      /* An answer before the body costs the connection, so it is worth it
         only if there is a body to be spared.  */
      if (exchange->response != NULL && has_long_body (exchange))
        return queue_answer (exchange);
      return MHD_YES;
    }
  if (*length > 0)
    return take_body (exchange, data, length) ? MHD_YES : MHD_NO;
  if (!exchange->ended)
    end_body (exchange);
  if (exchange->response != NULL)
    return queue_answer (exchange);
  if (!exchange->queued)
    suspend (exchange);
  return MHD_YES;
}

static ssize_t
on_read (void *context, uint64_t position, char *into, size_t room)
{
  httpd_exchange_t *exchange = context;
  if (exchange->dead)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  ssize_t got = exchange->server->stream->read (exchange->state, into, room);
  if (got > 0)
    return got;
  if (got == HTTPD_END)
    return MHD_CONTENT_READER_END_OF_STREAM;
  if (got == HTTPD_CUT)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  suspend (exchange);
  return 0;
}

void
httpd_answer_header (httpd_exchange_t *exchange, const char *name,
                     const char *value)
{
  if (exchange->headers == NULL)
    exchange->headers = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (exchange->headers, g_strdup (name));
  g_ptr_array_add (exchange->headers, g_strdup (value));
}

static void
prepare_answer (httpd_exchange_t *exchange, uint16_t status,
                struct MHD_Response *response)
{
  if (exchange->response != NULL || exchange->queued)
    {
      log_event (LOG_ERROR, "answered_twice", "path", exchange->raw_path,
                 NULL);
      MHD_destroy_response (response);
      return;
    }
  exchange->status = status;
  exchange->response = response;
  httpd_wake (exchange);
}

void
httpd_answer (httpd_exchange_t *exchange, uint16_t status,
              const char *content_type, const char *body, size_t length)
{
  if (content_type != NULL)
    httpd_answer_header (exchange, "Content-Type", content_type);
  prepare_answer (exchange, status,
                  MHD_create_response_from_buffer (length, (void *)body,
                                                   MHD_RESPMEM_MUST_COPY));
}

void
httpd_answer_stream (httpd_exchange_t *exchange, uint16_t status,
                     int64_t length)
{
  prepare_answer (exchange, status,
                  MHD_create_response_from_callback (
                      length < 0 ? MHD_SIZE_UNKNOWN : (uint64_t)length,
                      ANSWER_BLOCK, on_read, exchange, NULL));
}

void
httpd_answer_error (httpd_exchange_t *exchange, err_kind_t kind,
                    const char *message)
{
  const err_info_t *info = err_info (kind);
  json_t *body = json_pack ("{s:s,s:s,s:s}", "error", info->name, "message",
                            message, "outcome", outcome_name (info->outcome));
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;
  if (text == NULL)
    text = strdup ("{\"error\":\"internal\"}");
  httpd_answer (exchange, info->http_status, "application/json", text,
                strlen (text));
  free (text);
  json_decref (body);
}

const char *
httpd_query (httpd_exchange_t *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->connection,
                                      MHD_GET_ARGUMENT_KIND, name);
}

const char *
httpd_header (httpd_exchange_t *exchange, const char *name)
{
  return MHD_lookup_connection_value (exchange->connection, MHD_HEADER_KIND,
                                      name);
}

const char *
httpd_raw_path (httpd_exchange_t *exchange)
{
  return exchange->raw_path;
}

typedef struct
{
  void (*each) (void *context, const char *name, const char *value);
  void *context;
} each_t;

static enum MHD_Result
on_each (void *context, enum MHD_ValueKind kind, const char *name,
         const char *value)
{
  const each_t *call = context;
  call->each (call->context, name, value ? value : "");
  return MHD_YES;
}

void
httpd_each_header (httpd_exchange_t *exchange,
                   void (*each) (void *context, const char *name,
                                 const char *value),
                   void *context)
{
  each_t call = { each, context };
  MHD_get_connection_values (exchange->connection, MHD_HEADER_KIND, on_each,
                             &call);
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  httpd_t *server = watcher->data;
  if (server->dirty)
    {
      server->dirty = false;
      MHD_run (server->daemon);
    }
  MHD_UNSIGNED_LONG_LONG timeout_ms;
  ev_timer_stop (loop, &server->timeout);
  if (MHD_get_timeout (server->daemon, &timeout_ms) == MHD_YES)
    {
      if (timeout_ms == 0)
        server->dirty = true;
      else
        {
          ev_timer_set (&server->timeout, (double)timeout_ms / 1000.0, 0.0);
          ev_timer_start (loop, &server->timeout);
        }
    }
  /* An idle watcher keeps the loop from blocking while work is left.  */
  if (server->dirty)
    ev_idle_start (loop, &server->no_block);
  else
    ev_idle_stop (loop, &server->no_block);
}

static void
on_epoll_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  ((httpd_t *)watcher->data)->dirty = true;
}

static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  ((httpd_t *)watcher->data)->dirty = true;
}

static void
on_idle (struct ev_loop *loop, ev_idle *watcher, int events)
{
}

/* libmicrohttpd does not read suspended connections, so a caller that closes
   while its exchange waits is found by peeking at the socket.  */
static void
on_gone_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  httpd_t *server = watcher->data;
  httpd_exchange_t *next;
  for (httpd_exchange_t *exchange = server->waiting; exchange; exchange = next)
    {
      next = exchange->next_waiting;
      if (exchange->state == NULL)
        continue;
      const union MHD_ConnectionInfo *info = MHD_get_connection_info (
          exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
      char byte;
      ssize_t got = recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR))
        {
          exchange->dead = true;
          httpd_wake (exchange);
        }
    }
}

static int
open_listener (const char *address, uint16_t *port, GError **error)
{
  struct sockaddr_in bound = { .sin_family = AF_INET };
  socklen_t length = sizeof bound;
  int one = 1;
  uint16_t wanted;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || !options_address (address, &bound.sin_addr.s_addr, &wanted))
    goto failed;
  bound.sin_port = htons (wanted);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&bound, sizeof bound) != 0
      || listen (fd, LISTEN_BACKLOG) != 0
      || getsockname (fd, (struct sockaddr *)&bound, &length) != 0)
    goto failed;
  *port = ntohs (bound.sin_port);
  return fd;

failed:
  g_set_error (error, ERROR_DOMAIN, ERR_IO, "cannot listen on %s: %s", address,
               g_strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

static void on_log (void *context, const char *format, va_list args)
    __attribute__ ((format (printf, 2, 0)));

static void
on_log (void *context, const char *format, va_list args)
{
  char *message = g_strdup_vprintf (format, args);
  log_event (LOG_DEBUG, "httpd", "message", g_strchomp (message), NULL);
  g_free (message);
}

static void
start_watchers (httpd_t *server, int epoll_fd)
{
  ev_io_init (&server->epoll_watcher, on_epoll_ready, epoll_fd, EV_READ);
  ev_prepare_init (&server->prepare, on_prepare);
  ev_idle_init (&server->no_block, on_idle);
  ev_init (&server->timeout, on_timeout);
  ev_timer_init (&server->gone_check, on_gone_check, GONE_CHECK_S,
                 GONE_CHECK_S);
  server->epoll_watcher.data = server;
  server->prepare.data = server;
  server->timeout.data = server;
  server->gone_check.data = server;
  ev_io_start (server->loop, &server->epoll_watcher);
  ev_prepare_start (server->loop, &server->prepare);
  ev_timer_start (server->loop, &server->gone_check);
}

httpd_t *
httpd_new (struct ev_loop *loop, const httpd_options_t *options,
           GError **error)
{
  uint16_t port;
  int listen_fd = open_listener (options->listen, &port, error);
  if (listen_fd < 0)
    return NULL;
  httpd_t *server = g_new0 (httpd_t, 1);
  server->loop = loop;
  server->options = *options;
  server->listen_fd = listen_fd;
  server->port = port;
  server->tables = g_array_new (FALSE, FALSE, sizeof (route_table_t));
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0, NULL,
      NULL, on_request, server, MHD_OPTION_EXTERNAL_LOGGER, on_log, server,
      MHD_OPTION_LISTEN_SOCKET, listen_fd, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_MEMORY, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)options->connection_limit, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned)IDLE_LIMIT_S, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
      server, MHD_OPTION_URI_LOG_CALLBACK, on_uri, server, MHD_OPTION_END);
  if (server->daemon == NULL)
    {
      g_set_error (error, ERROR_DOMAIN, ERR_IO,
                   "cannot start the HTTP server on %s", options->listen);
      close (listen_fd);
      g_array_unref (server->tables);
      g_free (server);
      return NULL;
    }
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  start_watchers (server, info->epoll_fd);
  return server;
}

void
httpd_free (httpd_t *server)
{
  if (server == NULL)
    return;
  while (server->waiting != NULL)
    {
      server->waiting->dead = true;
      httpd_wake (server->waiting);
    }
  MHD_run (server->daemon);
  httpd_stop_accepting (server);
  ev_io_stop (server->loop, &server->epoll_watcher);
  ev_prepare_stop (server->loop, &server->prepare);
  ev_idle_stop (server->loop, &server->no_block);
  ev_timer_stop (server->loop, &server->timeout);
  ev_timer_stop (server->loop, &server->gone_check);
  MHD_stop_daemon (server->daemon);
  g_array_unref (server->tables);
  g_free (server);
}

void
httpd_add_routes (httpd_t *server, const httpd_route_t *routes, void *context)
{
  route_table_t table = { routes, context };
  g_array_append_val (server->tables, table);
}

void
httpd_set_stream (httpd_t *server, const httpd_stream_ops_t *ops,
                  void *context)
{
  server->stream = ops;
  server->stream_context = context;
}

void
httpd_end_connections (httpd_t *server)
{
  server->ending = true;
}

void
httpd_keep_connections (httpd_t *server)
{
  server->ending = false;
}

void
httpd_stop_accepting (httpd_t *server)
{
  struct sockaddr_in from;
  socklen_t length = sizeof from;
  int fd;
  if (server->stopped)
    return;
  server->stopped = true;
  server->ending = true;
  MHD_quiesce_daemon (server->daemon);
  /* Connections that callers have already made would be reset by close.  */
  while ((fd = accept4 (server->listen_fd, (struct sockaddr *)&from, &length,
                        SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      MHD_add_connection (server->daemon, fd, (struct sockaddr *)&from,
                          length);
      length = sizeof from;
    }
  close (server->listen_fd);
  server->dirty = true;
}

uint32_t
httpd_open_exchanges (const httpd_t *server)
{
  return server->open;
}

uint16_t
httpd_port (const httpd_t *server)
{
  return server->port;
}
