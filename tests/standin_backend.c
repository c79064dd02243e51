#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* How long a backend server may get requests after it was shown as leaving. */
#define LEAVING_GRACE_MS 3000
#define DEADLINE_GRACE_MS 1000
#define MAX_SERVICE_MS 600000
#define MAX_ANSWER_BYTES (64 << 20)

struct standin_backend
{
  standin_fault_t fault;
  int listener_fd;      /* -1: not listening */
  GPtrArray *in_flight; /* standin_request_t */
  unsigned requests, max_at_once;
  int64_t process_start_ms; /* 0 until the first restart */
};

static struct MHD_Daemon *backend_daemon;
static GThread *accept_thread;
static int wake_pipe[2] = { -1, -1 };
static bool stopping;
static GHashTable *by_address;         /* IPv4 address -> standin_instance_t */
static GHashTable *non_idempotent_ids; /* of the requests that arrived */

standin_instance_t *
standin_backend_of_socket (int fd)
{
  struct sockaddr_in address = { 0 };
  socklen_t length = sizeof address;
  getsockname (fd, (struct sockaddr *)&address, &length);
  return g_hash_table_lookup (by_address, &address.sin_addr.s_addr);
}

static int
listen_on (standin_instance_t *instance)
{
  char ip[32] = "";
  int port = 0;
  if (instance->url == NULL
      || sscanf (instance->url, "http://%31[0-9.]:%d", ip, &port) != 2)
    return -1;
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };
  inet_pton (AF_INET, ip, &address.sin_addr);
  g_hash_table_insert (
      by_address,
      g_memdup2 (&address.sin_addr.s_addr, sizeof address.sin_addr.s_addr),
      instance);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int enable = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 1024) != 0)
    {
      fprintf (stderr, "standin: cannot listen on %s: %s\n", instance->url,
               g_strerror (errno));
      close (fd);
      return -1;
    }
  return fd;
}

/* Poll set of the wake pipe, which comes first, and the listening sockets.  */
static GArray *
poll_set (void)
{
  GArray *set = g_array_new (FALSE, FALSE, sizeof (struct pollfd));
  struct pollfd polled = { .fd = wake_pipe[0], .events = POLLIN };
  g_array_append_val (set, polled);
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      const standin_instance_t *instance
          = g_ptr_array_index (standin_instances, i);
      if (instance->backend == NULL || instance->backend->listener_fd < 0)
        continue;
      polled.fd = instance->backend->listener_fd;
      g_array_append_val (set, polled);
    }
  return set;
}

/* Accepts connections for all backend servers.  Each has a listening socket of
   its own, so that one that is down can refuse connections.  */
static void *
accept_all (void *unused)
{
  while (true)
    {
      g_mutex_lock (&standin_lock);
      GArray *set = stopping ? NULL : poll_set ();
      g_mutex_unlock (&standin_lock);
      if (set == NULL)
        return NULL;
      bool woken = false;
      while (!woken && poll ((struct pollfd *)set->data, set->len, -1) >= 0)
        for (unsigned i = 0; i < set->len; i++)
          {
            const struct pollfd *polled
                = &g_array_index (set, struct pollfd, i);
            if (polled->revents == 0)
              continue;
            char byte;
            if (i == 0)
              woken = read (wake_pipe[0], &byte, 1) >= 0;
            struct sockaddr_in from;
            socklen_t length = sizeof from;
            int fd = i == 0 ? -1
                            : accept4 (polled->fd, (struct sockaddr *)&from,
                                       &length, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd >= 0)
              MHD_add_connection (backend_daemon, fd, (struct sockaddr *)&from,
                                  length);
            else if (i > 0 && errno != EAGAIN)
              woken = true;
          }
      g_array_unref (set);
    }
}

static void
wake_acceptor (void)
{
  if (write (wake_pipe[1], "w", 1) != 1)
    g_warning ("cannot write to the wake pipe: %s", g_strerror (errno));
}

static bool
is_idempotent (const standin_request_t *request)
{
  const char *header = standin_header (request, "X-Idempotent");
  if (header == NULL)
    header = standin_header (request, "X-Magnoliadock-Idempotent");
  if (header != NULL)
    return strcmp (header, "false") != 0;
  return strcmp (request->method, "POST") != 0
         && strcmp (request->method, "PATCH") != 0;
}

/* Prefers X-Test-Id, which tells the requests of a test apart whatever ids the
   entry gives them.  */
static const char *
request_id (const standin_request_t *request)
{
  const char *id = standin_header (request, "X-Test-Id");
  return id != NULL ? id : standin_header (request, "X-Request-Id");
}

/* Number of requests that BACKEND runs.  After its connection was closed, a
   request runs on until 1 s past its deadline; it ends with the process.  */
static unsigned
count_running (const standin_backend_t *backend)
{
  unsigned count = 0;
  for (unsigned i = 0; i < backend->in_flight->len; i++)
    {
      const standin_request_t *request
          = g_ptr_array_index (backend->in_flight, i);
      count += request->arrived_ms >= backend->process_start_ms
               && (request->work_ends_ms > standin_now_ms ()
                   || !standin_peer_closed (request->connection));
    }
  return count;
}

static int64_t
header_number (const standin_request_t *request, const char *name,
               int64_t fallback, int64_t max)
{
  const char *text = standin_header (request, name);
  return text ? CLAMP (g_ascii_strtoll (text, NULL, 10), 0, max) : fallback;
}

static void
start_request (standin_request_t *request)
{
  standin_instance_t *instance = request->connection->instance;
  if (instance == NULL)
    return;
  standin_backend_t *backend = instance->backend;
  g_ptr_array_add (backend->in_flight, request);
  request->in_flight = true;
  request->arrived_ms = standin_now_ms ();
  request->work_ends_ms
      = request->arrived_ms + DEADLINE_GRACE_MS
        + header_number (request, "X-Deadline-Ms", 0, MAX_SERVICE_MS);
  backend->requests++;
  standin_add_to_counter ("requests", 1);
  /* The array may still hold requests that have ended.  The exact count polls
     their connections, so it is only taken above the limit.  */
  unsigned count = backend->in_flight->len;
  if (count > instance->request_limit)
    count = count_running (backend);
  backend->max_at_once = MAX (backend->max_at_once, count);
  if (count > instance->request_limit)
    standin_violation ("backend_requests", "%s runs %u requests", instance->id,
                       count);
  if (instance->leaving_shown_ms > 0
      && standin_now_ms () - instance->leaving_shown_ms > LEAVING_GRACE_MS)
    standin_violation ("work_to_leaving", "%s got a request for %s",
                       instance->id, request->path);
  const char *id = request_id (request);
  if (id != NULL && !is_idempotent (request)
      && !g_hash_table_add (non_idempotent_ids, g_strdup (id)))
    standin_violation ("run_twice", "request %s is run again on %s", id,
                       instance->id);
}

static void
finish_request (standin_request_t *request)
{
  if (request->in_flight)
    g_ptr_array_remove_fast (request->connection->instance->backend->in_flight,
                             request);
}

static void
add_header (standin_request_t *request, const char *name, const char *value)
{
  if (value == NULL)
    return;
  g_ptr_array_add (request->answer_headers, g_strdup (name));
  g_ptr_array_add (request->answer_headers, g_strdup (value));
}

/* Answers with X-Answer-Bytes bytes if the request has that header, else with
   its body, or with a JSON description of it if it has no body.  */
static void
answer_echo (standin_request_t *request, const standin_instance_t *instance)
{
  int64_t answer_bytes
      = header_number (request, "X-Answer-Bytes", -1, MAX_ANSWER_BYTES);
  add_header (request, "X-Backend", instance->id);
  add_header (request, "X-Request-Id",
              standin_header (request, "X-Request-Id"));
  add_header (request, "X-Test-Id", standin_header (request, "X-Test-Id"));
  if (answer_bytes >= 0)
    {
      request->status = 200;
      request->answer = g_malloc ((gsize)answer_bytes + 1);
      memset (request->answer, 'x', (size_t)answer_bytes);
      request->answer_length = (size_t)answer_bytes;
    }
  else if (request->body->len > 0)
    {
      request->status = 200;
      request->answer = g_memdup2 (request->body->data, request->body->len);
      request->answer_length = request->body->len;
    }
  else
    standin_answer_json (request, 200,
                         json_pack ("{s:s*, s:s, s:s, s:s}", "request_id",
                                    request_id (request), "method",
                                    request->method, "path", request->path,
                                    "backend", instance->id));
}

static void
run_request (standin_request_t *request)
{
  const standin_instance_t *instance = request->connection->instance;
  if (instance == NULL)
    {
      request->close_unanswered = true;
      return;
    }
  standin_record_executed (request_id (request));
  const standin_fault_t *fault = &instance->backend->fault;
  request->delay_ms = header_number (
      request, "X-Service-Ms", standin_options.service_ms, MAX_SERVICE_MS);
  if (fault->mode == MODE_HANG)
    request->delay_ms = STANDIN_NEVER;
  else if (fault->mode == MODE_SLOW)
    request->delay_ms += fault->delay_ms;
  request->close_unanswered
      = fault->mode == MODE_LOSE || fault->mode == MODE_DOWN;
  request->cut_answer = fault->mode == MODE_CUT;
  if (fault->mode == MODE_FAIL)
    standin_answer_error (request, 500, "internal", "injected fault");
  else
    answer_echo (request, instance);
}

bool
standin_backends_start (void)
{
  by_address = g_hash_table_new_full (g_int_hash, g_int_equal, g_free, NULL);
  non_idempotent_ids
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (pipe (wake_pipe) != 0)
    return false;
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      standin_instance_t *instance = g_ptr_array_index (standin_instances, i);
      if (strcmp (instance->kind, "backend") != 0)
        continue;
      instance->backend = g_new0 (standin_backend_t, 1);
      instance->backend->in_flight = g_ptr_array_new ();
      instance->backend->listener_fd = listen_on (instance);
      if (instance->backend->listener_fd < 0)
        return false;
    }
  backend_daemon = standin_start_daemon (SCOPE_BACKENDS, 0, start_request,
                                         run_request, finish_request);
  if (backend_daemon != NULL)
    accept_thread = g_thread_new ("accept", accept_all, NULL);
  return backend_daemon != NULL;
}

void
standin_backends_stop (void)
{
  g_mutex_lock (&standin_lock);
  stopping = true;
  g_mutex_unlock (&standin_lock);
  wake_acceptor ();
  g_thread_join (accept_thread);
  MHD_stop_daemon (backend_daemon);
}

void
standin_backend_set_fault (standin_instance_t *instance,
                           const standin_fault_t *fault)
{
  standin_backend_t *backend = instance->backend;
  backend->fault = *fault;
  if (fault->mode == MODE_DOWN && backend->listener_fd >= 0)
    {
      /* shutdown makes the accept thread's poll return, so that it drops the
         descriptor from its set before the number is used again.  */
      shutdown (backend->listener_fd, SHUT_RDWR);
      close (backend->listener_fd);
      backend->listener_fd = -1;
      standin_reset_connections (instance);
    }
  else if (fault->mode != MODE_DOWN && backend->listener_fd < 0)
    {
      backend->process_start_ms = standin_now_ms ();
      backend->listener_fd = listen_on (instance);
    }
  wake_acceptor ();
}

json_t *
standin_backend_summary (void)
{
  json_t *backends = json_object ();
  unsigned in_flight = 0;
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      const standin_instance_t *instance
          = g_ptr_array_index (standin_instances, i);
      const standin_backend_t *backend = instance->backend;
      if (backend == NULL)
        continue;
      in_flight += backend->in_flight->len;
      if (backend->requests > 0)
        json_object_set_new (backends, instance->id,
                             json_pack ("{s:i, s:i}", "requests",
                                        (int)backend->requests, "most_at_once",
                                        (int)backend->max_at_once));
    }
  return json_pack ("{s:i, s:o}", "in_flight", (int)in_flight, "backends",
                    backends);
}
