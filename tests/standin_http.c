#include "standin.h"

#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

#define MAX_BODY_BYTES (64U << 20)
#define MAX_CONNECTIONS 8000

/* Scope and callbacks of a daemon; see standin_start_daemon.  */
typedef struct
{
  standin_scope_t scope;
  void (*start) (standin_request_t *);
  void (*run) (standin_request_t *);
  void (*finished) (standin_request_t *);
} role_t;

/* DUE_MS is INT64_MAX for a request that is never answered.  */
typedef struct
{
  int64_t due_ms;
  struct MHD_Connection *mhd;
} suspended_request_t;

static GMutex suspended_lock;
static GCond suspended_changed;
static GSequence *suspended_requests; /* suspended_request_t by due_ms */
static bool stopping;
static GThread *resume_thread;
/* Set of standin_connection_t, guarded by standin_lock.  */
static GHashTable *connections;

int64_t
standin_now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * INT64_C (1000) + now.tv_nsec / 1000000;
}

static int
compare_due_times (const void *a, const void *b, void *unused)
{
  const suspended_request_t *left = a, *right = b;
  return (left->due_ms > right->due_ms) - (left->due_ms < right->due_ms);
}

/* Thread: resumes suspended requests when they are due, and all of them at the
   end.  */
static void *
resume_due_requests (void *unused)
{
  g_mutex_lock (&suspended_lock);
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (suspended_requests);
      suspended_request_t *next
          = g_sequence_iter_is_end (first) ? NULL : g_sequence_get (first);
      if (next == NULL && stopping)
        break;
      int64_t now_ms = standin_now_ms ();
      if (next != NULL && (stopping || next->due_ms <= now_ms))
        {
          MHD_resume_connection (next->mhd);
          g_sequence_remove (first);
        }
      else if (next == NULL || next->due_ms == INT64_MAX)
        g_cond_wait (&suspended_changed, &suspended_lock);
      else
        g_cond_wait_until (&suspended_changed, &suspended_lock,
                           g_get_monotonic_time ()
                               + (next->due_ms - now_ms) * 1000);
    }
  g_mutex_unlock (&suspended_lock);
  return NULL;
}

/* Suspends MHD for DELAY_MS, or for good if that is STANDIN_NEVER.  Returns
   false, without suspending it, once the program ends.  */
static bool
suspend (struct MHD_Connection *mhd, int64_t delay_ms)
{
  g_mutex_lock (&suspended_lock);
  bool suspended = !stopping;
  if (suspended)
    {
      suspended_request_t *request = g_new (suspended_request_t, 1);
      request->due_ms = delay_ms == STANDIN_NEVER
                            ? INT64_MAX
                            : standin_now_ms () + delay_ms;
      request->mhd = mhd;
      MHD_suspend_connection (mhd);
      g_sequence_insert_sorted (suspended_requests, request, compare_due_times,
                                NULL);
      g_cond_signal (&suspended_changed);
    }
  g_mutex_unlock (&suspended_lock);
  return suspended;
}

void
standin_answer_json (standin_request_t *request, uint16_t status,
                     json_t *value)
{
  request->status = status;
  g_free (request->answer);
  char *text = json_dumps (value, JSON_COMPACT);
  request->answer = g_strdup (text);
  request->answer_length = strlen (text);
  free (text);
  json_decref (value);
}

void
standin_answer_error (standin_request_t *request, uint16_t status,
                      const char *kind, const char *message)
{
  standin_answer_json (
      request, status,
      json_pack ("{s:s, s:s}", "error", kind, "message", message));
}

const char *
standin_query (const standin_request_t *request, const char *name)
{
  return MHD_lookup_connection_value (request->mhd, MHD_GET_ARGUMENT_KIND,
                                      name);
}

int64_t
standin_query_number (const standin_request_t *request, const char *name,
                      int64_t fallback)
{
  const char *text = standin_query (request, name);
  return text != NULL ? g_ascii_strtoll (text, NULL, 10) : fallback;
}

const char *
standin_header (const standin_request_t *request, const char *name)
{
  return MHD_lookup_connection_value (request->mhd, MHD_HEADER_KIND, name);
}

json_t *
standin_parse_body (standin_request_t *request)
{
  json_t *value = json_loadb ((const char *)request->body->data,
                              request->body->len, 0, NULL);
  if (json_is_object (value))
    return value;
  json_decref (value);
  standin_answer_error (request, 400, "bad_request",
                        "body is not a JSON object");
  return NULL;
}

bool
standin_peer_closed (const standin_connection_t *connection)
{
  struct pollfd polled = { .fd = connection->fd, .events = POLLRDHUP };
  return poll (&polled, 1, 0) > 0
         && (polled.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

unsigned
standin_count_connections (const standin_instance_t *backend)
{
  unsigned open = 0;
  GHashTableIter iter;
  standin_connection_t *connection;
  g_hash_table_iter_init (&iter, connections);
  while (g_hash_table_iter_next (&iter, (void **)&connection, NULL))
    if (connection->instance == backend && !standin_peer_closed (connection))
      open++;
  return open;
}

void
standin_reset_connections (const standin_instance_t *backend)
{
  GHashTableIter iter;
  standin_connection_t *connection;
  g_hash_table_iter_init (&iter, connections);
  while (g_hash_table_iter_next (&iter, (void **)&connection, NULL))
    if (connection->instance == backend)
      shutdown (connection->fd, SHUT_RDWR);
}

unsigned
standin_silence_connections (standin_scope_t scope)
{
  unsigned count = 0;
  GHashTableIter iter;
  standin_connection_t *connection;
  g_hash_table_iter_init (&iter, connections);
  while (g_hash_table_iter_next (&iter, (void **)&connection, NULL))
    if (connection->scope == scope)
      {
        connection->silent = true;
        count++;
      }
  return count;
}

static void
connection_changed (void *context, struct MHD_Connection *mhd,
                    void **socket_context,
                    enum MHD_ConnectionNotificationCode code)
{
  const role_t *role = context;
  g_mutex_lock (&standin_lock);
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      standin_connection_t *connection = g_new0 (standin_connection_t, 1);
      connection->fd
          = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_CONNECTION_FD)
                ->connect_fd;
      connection->scope = role->scope;
      if (role->scope == SCOPE_BACKENDS)
        connection->instance = standin_backend_of_socket (connection->fd);
      *socket_context = connection;
      g_hash_table_add (connections, connection);
      if (connection->instance)
        {
          unsigned open = standin_count_connections (connection->instance);
          if (open > connection->instance->connection_limit)
            standin_violation ("backend_connections", "%s has %u connections",
                               connection->instance->id, open);
        }
    }
  else if (*socket_context != NULL)
    {
      g_hash_table_remove (connections, *socket_context);
      g_free (*socket_context);
      *socket_context = NULL;
    }
  g_mutex_unlock (&standin_lock);
}

/* MHD content reader: gives the first half of CONTEXT, then an error, upon
   which MHD closes the connection.  */
static ssize_t
read_first_half (void *context, uint64_t position, char *out, size_t size)
{
  const GBytes *bytes = context;
  size_t length;
  const char *data = g_bytes_get_data ((GBytes *)bytes, &length);
  if (position >= length / 2)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  size_t remaining = length / 2 - (size_t)position;
  if (size > remaining)
    size = remaining;
  memcpy (out, data + position, size);
  return (ssize_t)size;
}

static void
free_bytes (void *bytes)
{
  g_bytes_unref (bytes);
}

static enum MHD_Result
send_answer (standin_request_t *request)
{
  if (request->close_unanswered)
    return MHD_NO;
  struct MHD_Response *response;
  if (request->cut_answer)
    response = MHD_create_response_from_callback (
        request->answer_length, 4096, read_first_half,
        g_bytes_new (request->answer, request->answer_length), free_bytes);
  else
    response = MHD_create_response_from_buffer (
        request->answer_length, request->answer, MHD_RESPMEM_MUST_COPY);
  if (request->retry_after_s > 0)
    {
      char seconds[16];
      g_snprintf (seconds, sizeof seconds, "%d", request->retry_after_s);
      MHD_add_response_header (response, "Retry-After", seconds);
    }
  for (unsigned i = 0; i + 1 < request->answer_headers->len; i += 2)
    MHD_add_response_header (
        response, g_ptr_array_index (request->answer_headers, i),
        g_ptr_array_index (request->answer_headers, i + 1));
  enum MHD_Result result
      = MHD_queue_response (request->mhd, request->status, response);
  MHD_destroy_response (response);
  return result;
}

static standin_request_t *
new_request (struct MHD_Connection *mhd, const char *url, const char *method)
{
  standin_request_t *request = g_new0 (standin_request_t, 1);
  request->mhd = mhd;
  request->connection
      = MHD_get_connection_info (mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
            ->socket_context;
  request->method = g_strdup (method);
  request->path = g_strdup (url);
  request->body = g_byte_array_new ();
  request->status = 404;
  request->answer_headers = g_ptr_array_new_with_free_func (g_free);
  return request;
}

/* MHD calls it when the headers are there, for each piece of the body, with
   *SIZE 0 after the body, and again after each resume.  *STATE is kept from
   call to call.  */
static enum MHD_Result
access_request (void *context, struct MHD_Connection *mhd, const char *url,
                const char *method, const char *version, const char *data,
                size_t *size, void **state)
{
  const role_t *role = context;
  standin_request_t *request = *state;
  if (request == NULL)
    {
      *state = request = new_request (mhd, url, method);
      g_mutex_lock (&standin_lock);
      if (role->start != NULL)
        role->start (request);
      g_mutex_unlock (&standin_lock);
      return MHD_YES;
    }
  if (*size > 0)
    {
      if (request->body->len + *size > MAX_BODY_BYTES)
        return MHD_NO;
      g_byte_array_append (request->body, (const guint8 *)data, *size);
      *size = 0;
      return MHD_YES;
    }
  if (!request->run_called)
    {
      request->run_called = true;
      g_mutex_lock (&standin_lock);
      role->run (request);
      g_mutex_unlock (&standin_lock);
      if (request->connection->silent)
        request->delay_ms = STANDIN_NEVER;
      if (request->delay_ms != 0 && suspend (mhd, request->delay_ms))
        return MHD_YES;
    }
  if (request->connection->silent && suspend (mhd, STANDIN_NEVER))
    return MHD_YES;
  return send_answer (request);
}

static void
request_completed (void *context, struct MHD_Connection *mhd, void **state,
                   enum MHD_RequestTerminationCode code)
{
  const role_t *role = context;
  standin_request_t *request = *state;
  if (request == NULL)
    return;
  if (role->finished != NULL)
    {
      g_mutex_lock (&standin_lock);
      role->finished (request);
      g_mutex_unlock (&standin_lock);
    }
  g_free (request->method);
  g_free (request->path);
  g_free (request->answer);
  g_byte_array_unref (request->body);
  g_ptr_array_unref (request->answer_headers);
  g_free (request);
  *state = NULL;
}

struct MHD_Daemon *
standin_start_daemon (standin_scope_t scope, int port,
                      void (*start) (standin_request_t *),
                      void (*run) (standin_request_t *),
                      void (*finished) (standin_request_t *))
{
  role_t *role = g_new (role_t, 1); /* lives as long as the program */
  *role = (role_t){ scope, start, run, finished };
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons ((uint16_t)port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
  if (port == 0)
    flags |= MHD_USE_NO_LISTEN_SOCKET;
  return MHD_start_daemon (
      flags, (uint16_t)port, NULL, NULL, access_request, role,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&address,
      MHD_OPTION_THREAD_POOL_SIZE, (unsigned)standin_options.threads,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)MAX_CONNECTIONS,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U, MHD_OPTION_NOTIFY_CONNECTION,
      connection_changed, role, MHD_OPTION_NOTIFY_COMPLETED, request_completed,
      role, MHD_OPTION_END);
}

void
standin_http_start (void)
{
  connections = g_hash_table_new (NULL, NULL);
  suspended_requests = g_sequence_new (g_free);
  resume_thread = g_thread_new ("resume", resume_due_requests, NULL);
}

void
standin_http_stop (void)
{
  g_mutex_lock (&suspended_lock);
  stopping = true;
  g_cond_signal (&suspended_changed);
  g_mutex_unlock (&suspended_lock);
  g_thread_join (resume_thread);
}
