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

/* Memory of a connection for the headers of a request and of its answer.
   libmicrohttpd clears it between requests; with 48 KiB, that took 8% of an
   entry's time.  */
#define CONNECTION_MEMORY_BYTES (32 * 1024)
#define IDLE_TIMEOUT_S 75
#define LISTEN_BACKLOG 1024
#define ANSWER_BLOCK_BYTES (16 * 1024)
/* A longer request body, or one of unknown length, counts as long.  */
#define LONG_BODY_BYTES (16 * 1024)
/* Maximum number of bytes of a body that are read and discarded once the
   answer is known, because libmicrohttpd can answer only before or after the
   body.  Beyond this, the connection is closed.  */
#define MAX_DISCARDED_BYTES (4 * 1024 * 1024)
/* How often suspended exchanges are checked for callers that have
   disconnected.  */
#define DISCONNECT_CHECK_PERIOD_S 0.25

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
  GArray *route_tables; /* route_table_t */
  const httpd_stream_ops_t *stream_ops;
  void *stream_context;
  httpd_exchange_t *first_suspended; /* head of the list */
  uint32_t open_count;
  bool close_connections; /* after each answer */
  bool listener_closed;
  bool run_needed; /* MHD_run has to be called */
  int listen_fd;
  uint16_t port;
  ev_io epoll_watcher;
  ev_prepare prepare;
  ev_idle keep_running;
  ev_timer timeout;
  ev_timer disconnect_check;
};

struct httpd_exchange
{
  httpd_t *server;
  struct MHD_Connection *connection;
  httpd_exchange_t *next_suspended, *previous_suspended;
  char *raw_path;
  httpd_request_t request;
  char *path;
  char *method;
  const httpd_route_t *route;
  void *route_context;
  void *state;                   /* of the streaming handler */
  GString *body;                 /* buffered; NULL if the route needs none */
  size_t discarded_bytes;        /* of the body */
  struct MHD_Response *response; /* the answer until it is queued */
  GPtrArray *headers; /* of the answer: name, value, name, value, ...; owned */
  uint16_t status;
  bool headers_handled, body_ended, suspended, aborted, answer_queued,
      too_large;
};

static void
suspend (httpd_exchange_t *exchange)
{
  httpd_t *server = exchange->server;
  if (exchange->suspended)
    return;
  exchange->suspended = true;
  exchange->previous_suspended = NULL;
  exchange->next_suspended = server->first_suspended;
  if (server->first_suspended != NULL)
    server->first_suspended->previous_suspended = exchange;
  server->first_suspended = exchange;
  MHD_suspend_connection (exchange->connection);
}

void
httpd_wake (httpd_exchange_t *exchange)
{
  httpd_t *server = exchange->server;
  if (!exchange->suspended)
    return;
  exchange->suspended = false;
  if (exchange->previous_suspended != NULL)
    exchange->previous_suspended->next_suspended = exchange->next_suspended;
  else
    server->first_suspended = exchange->next_suspended;
  if (exchange->next_suspended != NULL)
    exchange->next_suspended->previous_suspended
        = exchange->previous_suspended;
  MHD_resume_connection (exchange->connection);
  server->run_needed = true;
}

static void *
on_uri (void *context, const char *uri, struct MHD_Connection *connection)
{
  httpd_exchange_t *exchange = g_new0 (httpd_exchange_t, 1);
  exchange->server = context;
  exchange->connection = connection;
  exchange->raw_path = g_strdup (uri);
  exchange->server->open_count++;
  return exchange;
}

static void
on_completed (void *context, struct MHD_Connection *connection,
              void **exchange_pointer, enum MHD_RequestTerminationCode code)
{
  httpd_exchange_t *exchange = *exchange_pointer;
  if (exchange == NULL)
    return;
  *exchange_pointer = NULL;
  exchange->server->open_count--;
  if (exchange->state != NULL)
    exchange->server->stream_ops->closed (
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
  exchange->answer_queued = true;
  for (guint i = 0; exchange->headers && i + 1 < exchange->headers->len;
       i += 2)
    MHD_add_response_header (response, exchange->headers->pdata[i],
                             exchange->headers->pdata[i + 1]);
  if (exchange->server->close_connections)
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
  /* 4 bytes for ": " and CRLF.  */
  *(size_t *)context += strlen (name) + (value ? strlen (value) : 0) + 4;
  return MHD_YES;
}

static bool
find_route (httpd_exchange_t *exchange, bool *wrong_method)
{
  httpd_t *server = exchange->server;
  const char *path = exchange->path;
  *wrong_method = false;
  for (guint t = 0; t < server->route_tables->len; t++)
    {
      route_table_t *table
          = &g_array_index (server->route_tables, route_table_t, t);
      for (const httpd_route_t *route = table->routes; route->prefix; route++)
        {
          size_t length = strlen (route->prefix);
          bool is_prefix = length > 0 && route->prefix[length - 1] == '/';
          if (is_prefix ? strncmp (path, route->prefix, length) != 0
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
  if (header_size > server->options.max_header_bytes)
    {
      httpd_answer_error (exchange, ERR_TOO_LARGE,
                          "the request headers are too large");
      exchange->status = MHD_HTTP_REQUEST_HEADER_FIELDS_TOO_LARGE;
      return;
    }
  if (server->stream_ops != NULL && strncmp (exchange->path, "/s/", 3) == 0)
    {
      exchange->request.rest = exchange->path + 3;
      exchange->state = server->stream_ops->begin (
          server->stream_context, exchange, &exchange->request);
      return;
    }
  bool wrong_method;
  if (find_route (exchange, &wrong_method))
    {
      const char *length = httpd_header (exchange, "Content-Length");
      if (length != NULL
          && g_ascii_strtoull (length, NULL, 10)
                 > server->options.max_body_bytes)
        httpd_answer_error (exchange, ERR_TOO_LARGE,
                            "the request body is too large");
      else
        exchange->body = g_string_new (NULL);
      return;
    }
  if (wrong_method)
    {
      httpd_answer_error (exchange, ERR_BAD_REQUEST,
                          "this path does not support this method");
      exchange->status = MHD_HTTP_METHOD_NOT_ALLOWED;
    }
  else
    httpd_answer_error (exchange, ERR_NOT_FOUND, "no such path");
}

static bool
has_long_body (httpd_exchange_t *exchange)
{
  const char *length = httpd_header (exchange, "Content-Length");
  return httpd_header (exchange, "Transfer-Encoding") != NULL
         || (length != NULL
             && g_ascii_strtoull (length, NULL, 10) > LONG_BODY_BYTES);
}

/* Takes a piece of the body and sets *LENGTH to the bytes not taken; returns
   false if the connection is to be closed.  */
static bool
take_body (httpd_exchange_t *exchange, const char *data, size_t *length)
{
  httpd_t *server = exchange->server;
  if (exchange->response != NULL || exchange->too_large)
    {
      exchange->discarded_bytes += *length;
      *length = 0;
      return exchange->discarded_bytes <= MAX_DISCARDED_BYTES;
    }
  if (exchange->state != NULL)
    {
      size_t taken = server->stream_ops->body (exchange->state, data, *length);
      *length -= taken;
      if (*length > 0 && exchange->response == NULL)
        suspend (exchange);
      return true;
    }
  if (exchange->body->len + *length > server->options.max_body_bytes)
    exchange->too_large = true;
  else
    g_string_append_len (exchange->body, data, (gssize)*length);
  *length = 0;
  return true;
}

static void
end_body (httpd_exchange_t *exchange)
{
  exchange->body_ended = true;
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
      exchange->server->stream_ops->body_end (exchange->state);
      return;
    }
  exchange->request.body = exchange->body->str;
  exchange->request.body_length = exchange->body->len;
  exchange->route->handler (exchange->route_context, exchange,
                            &exchange->request);
}

static enum MHD_Result
on_request (void *context, struct MHD_Connection *connection, const char *path,
            const char *method, const char *version, const char *data,
            size_t *length, void **exchange_pointer)
{
  httpd_exchange_t *exchange = *exchange_pointer;
  if (exchange == NULL || exchange->aborted)
    return MHD_NO;
  if (!exchange->headers_handled)
    {
      exchange->headers_handled = true;
      exchange->path = g_strdup (path);
      exchange->method = g_strdup (method);
      begin_exchange (exchange);
      /* An answer before the body closes the connection, which is worth it
         only if it spares the transfer of a long body.  */
      if (exchange->response != NULL && has_long_body (exchange))
        return queue_answer (exchange);
      return MHD_YES;
    }
  if (*length > 0)
    return take_body (exchange, data, length) ? MHD_YES : MHD_NO;
  if (!exchange->body_ended)
    end_body (exchange);
  if (exchange->response != NULL)
    return queue_answer (exchange);
  if (!exchange->answer_queued)
    suspend (exchange);
  return MHD_YES;
}

static ssize_t
on_read (void *context, uint64_t position, char *into, size_t room)
{
  httpd_exchange_t *exchange = context;
  if (exchange->aborted)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  ssize_t got
      = exchange->server->stream_ops->read (exchange->state, into, room);
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
  if (exchange->response != NULL || exchange->answer_queued)
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
                      ANSWER_BLOCK_BYTES, on_read, exchange, NULL));
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
} each_header_t;

static enum MHD_Result
on_each_header (void *context, enum MHD_ValueKind kind, const char *name,
                const char *value)
{
  const each_header_t *call = context;
  call->each (call->context, name, value ? value : "");
  return MHD_YES;
}

void
httpd_each_header (httpd_exchange_t *exchange,
                   void (*each) (void *context, const char *name,
                                 const char *value),
                   void *context)
{
  each_header_t call = { each, context };
  MHD_get_connection_values (exchange->connection, MHD_HEADER_KIND,
                             on_each_header, &call);
}

static void
on_prepare (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  httpd_t *server = watcher->data;
  if (server->run_needed)
    {
      server->run_needed = false;
      MHD_run (server->daemon);
    }
  MHD_UNSIGNED_LONG_LONG timeout_ms;
  ev_timer_stop (loop, &server->timeout);
  if (MHD_get_timeout (server->daemon, &timeout_ms) == MHD_YES)
    {
      if (timeout_ms == 0)
        server->run_needed = true;
      else
        {
          ev_timer_set (&server->timeout, (double)timeout_ms / 1000.0, 0.0);
          ev_timer_start (loop, &server->timeout);
        }
    }
  /* An active idle watcher keeps the event loop from blocking, so that this
     function is called again at once.  */
  if (server->run_needed)
    ev_idle_start (loop, &server->keep_running);
  else
    ev_idle_stop (loop, &server->keep_running);
}

static void
on_epoll_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  ((httpd_t *)watcher->data)->run_needed = true;
}

static void
on_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  ((httpd_t *)watcher->data)->run_needed = true;
}

static void
on_idle (struct ev_loop *loop, ev_idle *watcher, int events)
{
}

/* Finds callers that have disconnected while their exchange is suspended, by
   peeking at the socket, because libmicrohttpd does not read from suspended
   connections.  Only exchanges of the streaming handler are checked.  */
static void
on_disconnect_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  httpd_t *server = watcher->data;
  httpd_exchange_t *next;
  for (httpd_exchange_t *exchange = server->first_suspended; exchange;
       exchange = next)
    {
      next = exchange->next_suspended;
      if (exchange->state == NULL)
        continue;
      const union MHD_ConnectionInfo *info = MHD_get_connection_info (
          exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
      char byte;
      ssize_t got = recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR))
        {
          exchange->aborted = true;
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
  if (fd < 0
      || !options_parse_address (address, &bound.sin_addr.s_addr, &wanted))
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
  ev_idle_init (&server->keep_running, on_idle);
  ev_init (&server->timeout, on_timeout);
  ev_timer_init (&server->disconnect_check, on_disconnect_check,
                 DISCONNECT_CHECK_PERIOD_S, DISCONNECT_CHECK_PERIOD_S);
  server->epoll_watcher.data = server;
  server->prepare.data = server;
  server->timeout.data = server;
  server->disconnect_check.data = server;
  ev_io_start (server->loop, &server->epoll_watcher);
  ev_prepare_start (server->loop, &server->prepare);
  ev_timer_start (server->loop, &server->disconnect_check);
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
  server->route_tables = g_array_new (FALSE, FALSE, sizeof (route_table_t));
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG, 0, NULL,
      NULL, on_request, server, MHD_OPTION_EXTERNAL_LOGGER, on_log, server,
      MHD_OPTION_LISTEN_SOCKET, listen_fd, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)options->max_connections, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned)IDLE_TIMEOUT_S, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
      server, MHD_OPTION_URI_LOG_CALLBACK, on_uri, server, MHD_OPTION_END);
  if (server->daemon == NULL)
    {
      g_set_error (error, ERROR_DOMAIN, ERR_IO,
                   "cannot start the HTTP server on %s", options->listen);
      close (listen_fd);
      g_array_unref (server->route_tables);
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
  httpd_stop_accepting (server);
  /* The daemon may read, and suspend, requests that were waiting in a socket;
     it must not be stopped with any.  */
  do
    {
      while (server->first_suspended != NULL)
        {
          server->first_suspended->aborted = true;
          httpd_wake (server->first_suspended);
        }
      MHD_run (server->daemon);
    }
  while (server->first_suspended != NULL);
  ev_io_stop (server->loop, &server->epoll_watcher);
  ev_prepare_stop (server->loop, &server->prepare);
  ev_idle_stop (server->loop, &server->keep_running);
  ev_timer_stop (server->loop, &server->timeout);
  ev_timer_stop (server->loop, &server->disconnect_check);
  MHD_stop_daemon (server->daemon);
  g_array_unref (server->route_tables);
  g_free (server);
}

void
httpd_add_routes (httpd_t *server, const httpd_route_t *routes, void *context)
{
  route_table_t table = { routes, context };
  g_array_append_val (server->route_tables, table);
}

void
httpd_set_stream (httpd_t *server, const httpd_stream_ops_t *ops,
                  void *context)
{
  server->stream_ops = ops;
  server->stream_context = context;
}

void
httpd_disable_keep_alive (httpd_t *server)
{
  server->close_connections = true;
}

void
httpd_enable_keep_alive (httpd_t *server)
{
  server->close_connections = false;
}

void
httpd_stop_accepting (httpd_t *server)
{
  struct sockaddr_in from;
  socklen_t length = sizeof from;
  int fd;
  if (server->listener_closed)
    return;
  server->listener_closed = true;
  server->close_connections = true;
  MHD_quiesce_daemon (server->daemon);
  /* Accepts the connections in the listen queue, which close would reset.  */
  while ((fd = accept4 (server->listen_fd, (struct sockaddr *)&from, &length,
                        SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      MHD_add_connection (server->daemon, fd, (struct sockaddr *)&from,
                          length);
      length = sizeof from;
    }
  close (server->listen_fd);
  server->run_needed = true;
}

uint32_t
httpd_open_exchanges (const httpd_t *server)
{
  return server->open_count;
}

uint16_t
httpd_port (const httpd_t *server)
{
  return server->port;
}
