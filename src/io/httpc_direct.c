#include "httpc_direct.h"

#include "clk.h"
#include "http_reply.h"
#include "log.h"
#include "loop.h"
#include "options.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_ANSWER_BYTES (16 * 1024 * 1024)
#define READ_BYTES (64 * 1024)
#define SCHEME "http://"
/* Time between two looks for connections that were idle for too long.  */
#define SWEEP_S 15.0
#define MS_PER_S 1000

typedef struct host host_t;
typedef struct direct_call direct_call_t;

typedef struct
{
  host_t *host;
  direct_call_t *call; /* NULL: idle */
  ev_io watcher;
  int fd;
  bool connecting;
  bool reused;
  int64_t opened_ms;
  int64_t idle_since_ms;
} connection_t;

struct host
{
  httpc_direct_t *direct;
  const char *name; /* "IP:PORT", owned by the table of hosts */
  struct sockaddr_in address;
  GPtrArray *idle; /* connection_t, owned; the latest last */
  GQueue waiting;  /* direct_call_t without a connection */
  uint32_t open_count;
  uint32_t call_count;
};

struct httpc_direct
{
  struct ev_loop *loop;
  httpc_options_t options;
  GHashTable *hosts; /* "IP:PORT" -> host_t, owned */
  GHashTable *calls; /* set of direct_call_t, owned */
  ev_timer sweep;
};

struct direct_call
{
  httpc_call_t base;
  host_t *host;
  connection_t *connection; /* NULL: none, or it has failed */
  httpc_done_t done;
  void *context;
  GString *request;
  size_t sent;    /* bytes of REQUEST written to CONNECTION */
  bool was_sent;  /* bytes were written to any connection */
  bool resent;    /* the same, and then to another one */
  bool got_bytes; /* of the reply */
  http_reply_t reply;
  int64_t attached_ms; /* to CONNECTION */
  int64_t deadline_ms;
  ev_timer timer;
  err_kind_t failure; /* what the timer reports */
};

static int64_t
now_ms (void)
{
  return clk_now_ms (loop_clock ());
}

static void
connection_free (void *data)
{
  connection_t *connection = data;
  ev_io_stop (connection->host->direct->loop, &connection->watcher);
  close (connection->fd);
  connection->host->open_count--;
  g_free (connection);
}

static void
host_free (void *data)
{
  host_t *host = data;
  g_ptr_array_unref (host->idle);
  g_free (host);
}

/* Takes CALL from its connection, which is closed, or from the queue.  */
static void
detach (direct_call_t *call)
{
  if (call->connection != NULL)
    connection_free (call->connection);
  else
    g_queue_remove (&call->host->waiting, call);
  call->connection = NULL;
}

static void
call_free (direct_call_t *call)
{
  httpc_direct_t *direct = call->host->direct;
  ev_timer_stop (direct->loop, &call->timer);
  detach (call);
  g_hash_table_remove (direct->calls, call);
  call->host->call_count--;
  http_reply_clear (&call->reply);
  g_string_free (call->request, TRUE);
  g_free (call);
}

static void
set_timer (direct_call_t *call, int64_t at_ms)
{
  struct ev_loop *loop = call->host->direct->loop;
  ev_timer_stop (loop, &call->timer);
  /* libev counts the delay from the time at which the loop last looked at the
     clock.  */
  ev_now_update (loop);
  ev_timer_set (&call->timer, (double)MAX (at_ms - now_ms (), 0) / MS_PER_S,
                0.0);
  ev_timer_start (loop, &call->timer);
}

/* The timer reports KIND, since the caller may be httpc_direct_call.  */
static void
fail_later (direct_call_t *call, err_kind_t kind)
{
  call->failure = kind;
  detach (call);
  set_timer (call, now_ms ());
}

static void
watch (connection_t *connection, int events)
{
  struct ev_loop *loop = connection->host->direct->loop;
  if (ev_is_active (&connection->watcher)
      && (connection->watcher.events & (EV_READ | EV_WRITE)) == events)
    return;
  ev_io_stop (loop, &connection->watcher);
  ev_io_set (&connection->watcher, connection->fd, events);
  ev_io_start (loop, &connection->watcher);
}

static bool
is_stale (const connection_t *connection, int64_t at_ms)
{
  const httpc_options_t *options = &connection->host->direct->options;
  return at_ms - connection->idle_since_ms
             > (int64_t)options->max_idle_s * MS_PER_S
         || at_ms - connection->opened_ms
                > (int64_t)options->max_age_s * MS_PER_S;
}

static void on_ready (struct ev_loop *loop, ev_io *watcher, int events);

/* Begins to connect.  Returns NULL if that is not possible.  */
static connection_t *
connection_open (host_t *host)
{
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (const struct sockaddr *)&host->address,
               sizeof host->address)
          != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  connection_t *connection = g_new0 (connection_t, 1);
  connection->host = host;
  connection->fd = fd;
  connection->connecting = true;
  connection->opened_ms = now_ms ();
  ev_init (&connection->watcher, on_ready);
  connection->watcher.data = connection;
  host->open_count++;
  watch (connection, EV_WRITE);
  return connection;
}

static void lose_connection (direct_call_t *call);

/* Writes as much of the request as the connection takes.  */
static void
write_request (direct_call_t *call)
{
  connection_t *connection = call->connection;
  ssize_t written
      = send (connection->fd, call->request->str + call->sent,
              call->request->len - call->sent, MSG_NOSIGNAL | MSG_DONTWAIT);
  if (written < 0 && errno != EAGAIN && errno != EINTR)
    {
      lose_connection (call);
      return;
    }
  call->sent += (size_t)MAX (written, 0);
  call->was_sent = call->was_sent || call->sent > 0;
  watch (connection,
         call->sent < call->request->len ? EV_READ | EV_WRITE : EV_READ);
}

static void
attach (direct_call_t *call, connection_t *connection)
{
  call->connection = connection;
  connection->call = call;
  call->attached_ms = now_ms ();
  call->sent = 0;
  if (!connection->connecting)
    {
      write_request (call);
      return;
    }
  uint32_t limit_ms = call->host->direct->options.connect_timeout_ms;
  set_timer (call, MIN (call->deadline_ms, now_ms () + limit_ms));
}

/* Returns a connection for a call to HOST, NULL if there can be none now.
   Sets *FAILED if one cannot be opened.  */
static connection_t *
take_connection (host_t *host, bool *failed)
{
  int64_t at_ms = now_ms ();
  while (host->idle->len > 0)
    {
      connection_t *connection
          = g_ptr_array_steal_index (host->idle, host->idle->len - 1);
      if (!is_stale (connection, at_ms))
        {
          connection->reused = true;
          return connection;
        }
      connection_free (connection);
    }
  if (host->open_count >= host->direct->options.max_connections_per_host)
    return NULL;
  connection_t *connection = connection_open (host);
  *failed = connection == NULL;
  return connection;
}

static void
serve_waiting (host_t *host)
{
  while (!g_queue_is_empty (&host->waiting))
    {
      bool failed = false;
      connection_t *connection = take_connection (host, &failed);
      if (connection == NULL && !failed)
        return;
      direct_call_t *call = g_queue_pop_head (&host->waiting);
      if (failed)
        fail_later (call, ERR_CONNECT_FAILED);
      else
        attach (call, connection);
    }
}

static void
cancel (httpc_call_t *base)
{
  direct_call_t *call = (direct_call_t *)base;
  host_t *host = call->host;
  call_free (call);
  serve_waiting (host);
}

/* Keeps the connection of CALL for further calls.  */
static void
keep_connection (direct_call_t *call)
{
  connection_t *connection = call->connection;
  call->connection = NULL;
  connection->call = NULL;
  connection->idle_since_ms = now_ms ();
  /* An event that is pending is about the reply, which has been read.  */
  ev_clear_pending (connection->host->direct->loop, &connection->watcher);
  watch (connection, EV_READ);
  g_ptr_array_add (connection->host->idle, connection);
}

static void
finish_call (direct_call_t *call, err_kind_t kind)
{
  host_t *host = call->host;
  httpc_result_t result = { .kind = kind,
                            .status = call->reply.status,
                            .retry_after_s = call->reply.retry_after_s,
                            .body = call->reply.body->str,
                            .body_length = call->reply.body->len,
                            .repeated = call->resent };
  if (kind == ERR_OK)
    result.outcome = OUTCOME_RAN;
  else
    result.outcome = call->was_sent ? OUTCOME_UNKNOWN : OUTCOME_NOT_RUN;
  ev_timer_stop (host->direct->loop, &call->timer);
  if (kind == ERR_OK && call->reply.keeps_connection
      && call->sent == call->request->len)
    keep_connection (call);
  else
    detach (call);
  serve_waiting (host);
  call->done (call->context, &result);
  call_free (call);
}

/* The connection of CALL has ended before the reply has.  */
static void
lose_connection (direct_call_t *call)
{
  host_t *host = call->host;
  bool again = call->connection->reused && !call->got_bytes && !call->resent;
  if (!again)
    {
      fail_later (call, call->reply.part == HTTP_REPLY_IN_HEAD
                            ? ERR_CONNECTION_LOST
                            : ERR_ANSWER_CUT);
      return;
    }
  /* The server may have closed it while it was idle.  */
  call->resent = call->was_sent;
  detach (call);
  connection_t *connection = connection_open (host);
  if (connection != NULL)
    attach (call, connection);
  else
    fail_later (call, ERR_CONNECT_FAILED);
}

static void
end_of_connection (direct_call_t *call)
{
  if (http_reply_end (&call->reply))
    finish_call (call, ERR_OK);
  else
    lose_connection (call);
}

/* Returns whether CALL still waits for more on its connection.  */
static bool
read_reply (direct_call_t *call)
{
  char buffer[READ_BYTES];
  ssize_t length;
  do
    {
      length = recv (call->connection->fd, buffer, sizeof buffer, 0);
      if (length < 0 && (errno == EAGAIN || errno == EINTR))
        return true;
      if (length == 0)
        {
          end_of_connection (call);
          return false;
        }
      if (length < 0)
        {
          lose_connection (call);
          return false;
        }
      call->got_bytes = true;
      switch (http_reply_feed (&call->reply, buffer, (size_t)length))
        {
        case HTTP_REPLY_COMPLETE:
          finish_call (call, ERR_OK);
          return false;
        case HTTP_REPLY_INVALID:
          fail_later (call, ERR_CONNECTION_LOST);
          return false;
        case HTTP_REPLY_TOO_LARGE:
          fail_later (call, ERR_TOO_LARGE);
          return false;
        case HTTP_REPLY_MORE:
          break;
        }
    }
  while (length == (ssize_t)sizeof buffer);
  return true;
}

/* Returns whether CONNECTION is connected.  */
static bool
finish_connecting (connection_t *connection)
{
  direct_call_t *call = connection->call;
  int error = 0;
  socklen_t size = sizeof error;
  getsockopt (connection->fd, SOL_SOCKET, SO_ERROR, &error, &size);
  if (error != 0)
    {
      fail_later (call, ERR_CONNECT_FAILED);
      return false;
    }
  connection->connecting = false;
  set_timer (call, call->deadline_ms);
  return true;
}

static bool
is_connected (const connection_t *connection)
{
  struct sockaddr_in peer;
  socklen_t size = sizeof peer;
  return getpeername (connection->fd, (struct sockaddr *)&peer, &size) == 0;
}

static void
on_ready (struct ev_loop *loop, ev_io *watcher, int events)
{
  connection_t *connection = watcher->data;
  direct_call_t *call = connection->call;
  if (call == NULL)
    {
      /* Ended by the server, or it sends what nobody has asked for.  */
      g_ptr_array_remove (connection->host->idle, connection);
      return;
    }
  if (connection->connecting && !finish_connecting (connection))
    return;
  /* Writing may replace the connection; the reply shows again.  */
  if (events & EV_WRITE)
    write_request (call);
  else
    read_reply (call);
}

/* CALL got no byte on a connection that had served calls before.  Whatever
   made that one silent may have met those that are idle too, and each would
   cost another call its timeout.  */
static void
drop_idle (const direct_call_t *call)
{
  GPtrArray *idle = call->host->idle;
  char waited[24];
  char dropped[16];
  g_snprintf (waited, sizeof waited, "%lld",
              (long long)(now_ms () - call->attached_ms));
  g_snprintf (dropped, sizeof dropped, "%u", idle->len);
  log_event (LOG_WARN, "connection_silent", "host", call->host->name,
             "waited_ms", waited, "dropped", dropped, NULL);
  g_ptr_array_set_size (idle, 0);
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  direct_call_t *call = watcher->data;
  connection_t *connection = call->connection;
  if (call->failure != ERR_OK)
    {
      finish_call (call, call->failure);
      return;
    }
  /* A process that is late sees the timer before what has arrived meanwhile.
     To count that as lost would make it call again, and be later still.  */
  if (connection != NULL && connection->connecting
      && now_ms () < call->deadline_ms && is_connected (connection))
    {
      if (finish_connecting (connection))
        write_request (call);
      return;
    }
  if (connection != NULL && !connection->connecting && !read_reply (call))
    return;
  if (connection != NULL && connection->reused && !call->got_bytes)
    drop_idle (call);
  finish_call (call, call->was_sent ? ERR_TIMEOUT : ERR_CONNECT_FAILED);
}

/* Closes connections that were idle for too long, and forgets hosts that are
   not in use.  */
static void
on_sweep (struct ev_loop *loop, ev_timer *watcher, int events)
{
  httpc_direct_t *direct = watcher->data;
  int64_t at_ms = now_ms ();
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, direct->hosts);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      host_t *host = value;
      for (guint i = host->idle->len; i > 0; i--)
        if (is_stale (host->idle->pdata[i - 1], at_ms))
          g_ptr_array_remove_index (host->idle, i - 1);
      if (host->open_count == 0 && host->call_count == 0)
        g_hash_table_iter_remove (&iterator);
    }
}

httpc_direct_t *
httpc_direct_new (struct ev_loop *loop, const httpc_options_t *options)
{
  httpc_direct_t *direct = g_new0 (httpc_direct_t, 1);
  direct->loop = loop;
  direct->options = *options;
  direct->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, host_free);
  direct->calls = g_hash_table_new (NULL, NULL);
  ev_timer_init (&direct->sweep, on_sweep, SWEEP_S, SWEEP_S);
  direct->sweep.data = direct;
  ev_timer_start (loop, &direct->sweep);
  ev_unref (loop);
  return direct;
}

void
httpc_direct_free (httpc_direct_t *direct)
{
  if (direct == NULL)
    return;
  GHashTableIter iterator;
  gpointer call;
  while (g_hash_table_size (direct->calls) > 0)
    {
      g_hash_table_iter_init (&iterator, direct->calls);
      g_hash_table_iter_next (&iterator, &call, NULL);
      call_free (call);
    }
  ev_ref (direct->loop);
  ev_timer_stop (direct->loop, &direct->sweep);
  g_hash_table_unref (direct->hosts);
  g_hash_table_unref (direct->calls);
  g_free (direct);
}

/* Returns "IP:PORT" of URL, owned by the caller.  */
static char *
host_of (const char *url)
{
  const char *host = url + strlen (SCHEME);
  return g_strndup (host, strcspn (host, "/?"));
}

bool
httpc_direct_handles (const char *url)
{
  uint32_t ip;
  uint16_t port;
  if (!g_str_has_prefix (url, SCHEME))
    return false;
  char *host = host_of (url);
  bool handles = options_parse_address (host, &ip, &port) && port != 0;
  g_free (host);
  return handles;
}

static host_t *
find_host (httpc_direct_t *direct, const char *name)
{
  host_t *host = g_hash_table_lookup (direct->hosts, name);
  if (host != NULL)
    return host;
  uint32_t ip = 0;
  uint16_t port = 0;
  options_parse_address (name, &ip, &port);
  host = g_new0 (host_t, 1);
  host->direct = direct;
  host->address.sin_family = AF_INET;
  host->address.sin_addr.s_addr = ip;
  host->address.sin_port = htons (port);
  host->idle = g_ptr_array_new_with_free_func (connection_free);
  g_queue_init (&host->waiting);
  char *key = g_strdup (name);
  host->name = key;
  g_hash_table_insert (direct->hosts, key, host);
  return host;
}

static bool
names_host (const char *const *headers)
{
  static const char name[] = "Host:";
  for (; headers != NULL && *headers != NULL; headers++)
    if (g_ascii_strncasecmp (*headers, name, strlen (name)) == 0)
      return true;
  return false;
}

static GString *
request_text (const char *method, const char *host, const char *target,
              const char *const *headers, const char *body)
{
  size_t length = body != NULL ? strlen (body) : 0;
  GString *text = g_string_sized_new (256 + length);
  g_string_append_printf (text, "%s %s%s HTTP/1.1\r\n", method,
                          target[0] == '/' ? "" : "/", target);
  if (!names_host (headers))
    g_string_append_printf (text, "Host: %s\r\n", host);
  for (; headers != NULL && *headers != NULL; headers++)
    g_string_append_printf (text, "%s\r\n", *headers);
  if (body != NULL)
    g_string_append_printf (
        text, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
        length);
  g_string_append (text, "\r\n");
  g_string_append_len (text, body, (gssize)length);
  return text;
}

httpc_call_t *
httpc_direct_call (httpc_direct_t *direct, const char *method, const char *url,
                   const char *const *headers, const char *body,
                   int64_t timeout_ms, httpc_done_t done, void *context)
{
  char *name = host_of (url);
  const char *target = url + strlen (SCHEME) + strlen (name);
  direct_call_t *call = g_new0 (direct_call_t, 1);
  call->base.cancel = cancel;
  call->host = find_host (direct, name);
  call->host->call_count++;
  call->done = done;
  call->context = context;
  call->request = request_text (method, name, target, headers, body);
  http_reply_init (&call->reply, strcmp (method, "HEAD") == 0,
                   MAX_ANSWER_BYTES);
  call->deadline_ms = now_ms () + timeout_ms;
  ev_init (&call->timer, on_timer);
  call->timer.data = call;
  g_hash_table_add (direct->calls, call);
  set_timer (call, call->deadline_ms);
  g_queue_push_tail (&call->host->waiting, call);
  serve_waiting (call->host);
  g_free (name);
  return &call->base;
}
