#include "standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LEAVING_GRACE_MS 3000
#define DEADLINE_GRACE_MS 1000
#define MAX_SERVICE_MS 600000
#define MAX_ANSWER_BYTES (64 << 20)

struct standin_backend
{
  standin_fault_t fault;
  int listener;         /* -1: closed */
  GPtrArray *in_flight; /* standin_request_t */
  unsigned requests, most_at_once;
  int64_t begun_ms; /* start of the present process */
};

static struct MHD_Daemon *daemon_;
static GThread *accept_thread;
static int wake[2] = { -1, -1 };
static bool ending;
static GHashTable *by_address; /* IPv4 address -> standin_instance_t */
static GHashTable *run_once;   /* ids of non-idempotent requests */

standin_instance_t *
standin_backend_at (int fd)
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
  int one = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, 1024) != 0)
    {
      fprintf (stderr, "standin: %s: %s\n", instance->url, g_strerror (errno));
      close (fd);
      return -1;
    }
  return fd;
}

/* Poll set of the open listening sockets; the first one is the wake pipe.  */
static GArray *
listeners (void)
{
  GArray *set = g_array_new (FALSE, FALSE, sizeof (struct pollfd));
  struct pollfd one = { .fd = wake[0], .events = POLLIN };
  g_array_append_val (set, one);
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      const standin_instance_t *instance
          = g_ptr_array_index (standin_instances, i);
      if (instance->backend == NULL || instance->backend->listener < 0)
        continue;
      one.fd = instance->backend->listener;
      g_array_append_val (set, one);
    }
  return set;
}

/* Accepts for all backend servers, so that each has a listening socket of its
   own, which a dead one lacks.  */
static void *
accept_all (void *unused)
{
  while (true)
    {
      g_mutex_lock (&standin_lock);
      GArray *set = ending ? NULL : listeners ();
      g_mutex_unlock (&standin_lock);
      if (set == NULL)
        return NULL;
      bool woken = false;
      while (!woken && poll ((struct pollfd *)set->data, set->len, -1) >= 0)
        for (unsigned i = 0; i < set->len; i++)
          {
            const struct pollfd *one = &g_array_index (set, struct pollfd, i);
            if (one->revents == 0)
              continue;
            char byte;
            if (i == 0)
              woken = read (wake[0], &byte, 1) >= 0;
            struct sockaddr_in from;
            socklen_t length = sizeof from;
            int fd = i == 0 ? -1
                            : accept4 (one->fd, (struct sockaddr *)&from,
                                       &length, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd >= 0)
              MHD_add_connection (daemon_, fd, (struct sockaddr *)&from,
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
  if (write (wake[1], "w", 1) != 1)
    g_warning ("wake pipe: %s", g_strerror (errno));
}

static bool
is_idempotent (const standin_request_t *request)
{
  const char *said = standin_header (request, "X-Idempotent");
  if (said == NULL)
    said = standin_header (request, "X-Magnoliadock-Idempotent");
  if (said != NULL)
    return strcmp (said, "false") != 0;
  return strcmp (request->method, "POST") != 0
         && strcmp (request->method, "PATCH") != 0;
}

/* X-Test-Id tells requests of a test apart however the entry numbers them.  */
static const char *
request_id (const standin_request_t *request)
{
  const char *id = standin_header (request, "X-Test-Id");
  return id != NULL ? id : standin_header (request, "X-Request-Id");
}

/* A request goes on after its connection was closed, until its deadline and
   1 s more; it ends with the process.  */
static unsigned
at_once (const standin_backend_t *backend)
{
  unsigned count = 0;
  for (unsigned i = 0; i < backend->in_flight->len; i++)
    {
      const standin_request_t *request
          = g_ptr_array_index (backend->in_flight, i);
      count += request->arrived_ms >= backend->begun_ms
               && (request->until_ms > standin_now_ms ()
                   || !standin_peer_closed (request->connection));
    }
  return count;
}

static int64_t
number_header (const standin_request_t *request, const char *name,
               int64_t missing, int64_t most)
{
  const char *text = standin_header (request, name);
  return text ? CLAMP (g_ascii_strtoll (text, NULL, 10), 0, most) : missing;
}

static void
start_request (standin_request_t *request)
{
  standin_instance_t *instance = request->connection->instance;
  if (instance == NULL)
    return;
  standin_backend_t *backend = instance->backend;
  g_ptr_array_add (backend->in_flight, request);
  request->counted = true;
  request->arrived_ms = standin_now_ms ();
  request->until_ms
      = request->arrived_ms + DEADLINE_GRACE_MS
        + number_header (request, "X-Deadline-Ms", 0, MAX_SERVICE_MS);
  backend->requests++;
  standin_count ("requests", 1);
  unsigned count = backend->in_flight->len;
  if (count > instance->request_limit)
    count = at_once (backend);
  backend->most_at_once = MAX (backend->most_at_once, count);
  if (count > instance->request_limit)
    standin_violation ("backend_requests", "%s has %u requests", instance->id,
                       count);
  if (instance->leaving_shown_ms > 0
      && standin_now_ms () - instance->leaving_shown_ms > LEAVING_GRACE_MS)
    standin_violation ("work_to_leaving", "%s got %s", instance->id,
                       request->path);
  const char *id = request_id (request);
  if (id != NULL && !is_idempotent (request)
      && !g_hash_table_add (run_once, g_strdup (id)))
    standin_violation ("run_twice", "request %s on %s", id, instance->id);
}

static void
finish_request (standin_request_t *request)
{
  if (request->counted)
    g_ptr_array_remove_fast (request->connection->instance->backend->in_flight,
                             request);
}

static void
add_header (standin_request_t *request, const char *name, const char *value)
{
  if (value == NULL)
    return;
  g_ptr_array_add (request->header, g_strdup (name));
  g_ptr_array_add (request->header, g_strdup (value));
}

/* Echoes the body, X-Answer-Bytes of filling, or what the request was.  */
static void
echo (standin_request_t *request, const standin_instance_t *instance)
{
  int64_t filling
      = number_header (request, "X-Answer-Bytes", -1, MAX_ANSWER_BYTES);
  add_header (request, "X-Backend", instance->id);
  add_header (request, "X-Request-Id",
              standin_header (request, "X-Request-Id"));
  add_header (request, "X-Test-Id", standin_header (request, "X-Test-Id"));
  if (filling >= 0)
    {
      request->status = 200;
      request->answer = g_malloc ((gsize)filling + 1);
      memset (request->answer, 'x', (size_t)filling);
      request->answer_length = (size_t)filling;
    }
  else if (request->body->len > 0)
    {
      request->status = 200;
      request->answer = g_memdup2 (request->body->data, request->body->len);
      request->answer_length = request->body->len;
    }
  else
    standin_answer (request, 200,
                    json_pack ("{s:s*, s:s, s:s, s:s}", "request_id",
                               request_id (request), "method", request->method,
                               "path", request->path, "backend",
                               instance->id));
}

static void
run_request (standin_request_t *request)
{
  const standin_instance_t *instance = request->connection->instance;
  if (instance == NULL)
    {
      request->close = true;
      return;
    }
  standin_ran_add (request_id (request));
  const standin_fault_t *fault = &instance->backend->fault;
  request->delay_ms = number_header (
      request, "X-Service-Ms", standin_options.service_ms, MAX_SERVICE_MS);
  if (fault->mode == MODE_HANG)
    request->delay_ms = STANDIN_NEVER;
  else if (fault->mode == MODE_SLOW)
    request->delay_ms += fault->delay_ms;
  request->close = fault->mode == MODE_LOSE || fault->mode == MODE_DOWN;
  request->cut = fault->mode == MODE_CUT;
  if (fault->mode == MODE_FAIL)
    standin_error (request, 500, "internal", "injected fault");
  else
    echo (request, instance);
}

bool
standin_backend_begin (void)
{
  by_address = g_hash_table_new_full (g_int_hash, g_int_equal, g_free, NULL);
  run_once = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (pipe (wake) != 0)
    return false;
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      standin_instance_t *instance = g_ptr_array_index (standin_instances, i);
      if (strcmp (instance->kind, "backend") != 0)
        continue;
      instance->backend = g_new0 (standin_backend_t, 1);
      instance->backend->in_flight = g_ptr_array_new ();
      instance->backend->listener = listen_on (instance);
      if (instance->backend->listener < 0)
        return false;
    }
  daemon_ = standin_serve (SCOPE_BACKENDS, 0, start_request, run_request,
                           finish_request);
  if (daemon_ != NULL)
    accept_thread = g_thread_new ("accept", accept_all, NULL);
  return daemon_ != NULL;
}

void
standin_backend_end (void)
{
  g_mutex_lock (&standin_lock);
  ending = true;
  g_mutex_unlock (&standin_lock);
  wake_acceptor ();
  g_thread_join (accept_thread);
  MHD_stop_daemon (daemon_);
}

void
standin_backend_mode (standin_instance_t *instance,
                      const standin_fault_t *fault)
{
  standin_backend_t *backend = instance->backend;
  backend->fault = *fault;
  if (fault->mode == MODE_DOWN && backend->listener >= 0)
    {
      /* shutdown makes the acceptor's poll return, so that it drops the
         descriptor from its set before the number is used again.  */
      shutdown (backend->listener, SHUT_RDWR);
      close (backend->listener);
      backend->listener = -1;
      standin_reset_connections (instance);
    }
  else if (fault->mode != MODE_DOWN && backend->listener < 0)
    {
      backend->begun_ms = standin_now_ms ();
      backend->listener = listen_on (instance);
    }
  wake_acceptor ();
}

json_t *
standin_backend_summary (void)
{
  json_t *each = json_object ();
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
        json_object_set_new (each, instance->id,
                             json_pack ("{s:i, s:i}", "requests",
                                        (int)backend->requests, "most_at_once",
                                        (int)backend->most_at_once));
    }
  return json_pack ("{s:i, s:o}", "in_flight", (int)in_flight, "backends",
                    each);
}
