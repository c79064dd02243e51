#include "drive-2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define NODE_PROGRAM "target/magnoliadock"
#define STANDIN_PROGRAM "build/review/standin-2"
#define LIMIT_S 115
#define READY_LIMIT_MS 15000
#define CALL_LIMIT_MS 5000
/* What the store takes for a call, and for a transaction.  */
#define ANSWER_MS 4
#define TRANSACTION_MS 6
#define BUFFER_BYTES (64 * 1024)
/* Ports that a case takes, counted from its first one: those of the stand-in,
   of the nodes' proxies, and of the nodes at addresses of their own.  */
#define PORTS 460
#define FIRST_PORT 28600
#define LAST_PORT 32600
#define PORT_SLOTS 8
#define FIRST_PROXY 440
#define FRONT 401
#define READINESS 402

static struct
{
  char work[64];
  char record[512];
  uint16_t port;
  uint32_t nodes;
  pid_t node_pids[DRIVE_MAX_NODES];
  pid_t standin_pid;
  volatile int64_t answer_ms, transaction_ms; /* of a slow store */
} run;

bool
drive_trouble (void)
{
  const char *text = getenv ("TROUBLE");
  return text == NULL || strcmp (text, "0") != 0;
}

int64_t
drive_now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * INT64_C (1000) + now.tv_nsec / 1000000;
}

void
drive_sleep_ms (int64_t ms)
{
  struct timespec pause = { ms / 1000, ms % 1000 * 1000000 };
  nanosleep (&pause, NULL);
}

void
drive_record (const char *format, ...)
{
  FILE *file = fopen (run.record, "a");
  va_list args;
  if (file == NULL)
    return;
  fprintf (file, "%.3f case: ", (double)drive_now_ms () / 1000.0);
  va_start (args, format);
  vfprintf (file, format, args);
  va_end (args);
  fputc ('\n', file);
  fclose (file);
}

static void
end_process (pid_t *pid)
{
  if (*pid <= 0)
    return;
  kill (*pid, SIGCONT);
  kill (*pid, SIGKILL);
  waitpid (*pid, NULL, 0);
  *pid = 0;
}

static void
remove_work_folder (void)
{
  static const char *const names[]
      = { "standin.log", "node-0.conf", "node-0.log",
          "node-1.conf", "node-1.log",  "node-2.conf",
          "node-2.log",  "node-3.conf", "node-3.log" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char path[128];
      snprintf (path, sizeof path, "%s/%s", run.work, names[i]);
      unlink (path);
    }
  rmdir (run.work);
}

void
drive_end (int status)
{
  for (uint32_t i = 0; i < DRIVE_MAX_NODES; i++)
    end_process (&run.node_pids[i]);
  end_process (&run.standin_pid);
  drive_record ("exit %d (%s)", status,
                status == 0   ? "the rule held"
                : status == 1 ? "the rule was broken"
                              : "the case could not run");
  if (getenv ("KEEP") == NULL)
    remove_work_folder ();
  else
    printf ("%s\n", run.work);
  exit (status);
}

static void
on_limit (int number)
{
  (void)number;
  for (uint32_t i = 0; i < DRIVE_MAX_NODES; i++)
    if (run.node_pids[i] > 0)
      kill (run.node_pids[i], SIGKILL);
  if (run.standin_pid > 0)
    kill (run.standin_pid, SIGKILL);
  _exit (2);
}

static struct sockaddr_in
address_of (uint32_t host, uint16_t port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_addr.s_addr = htonl (0x7f000000 | host),
                               .sin_port = htons (port) };
}

/* The address of NODE in 127.0.0.0/8.  Two cases that run side by side have
   other addresses, since the deploy file names the port of the metrics.  */
static uint32_t
host_of (uint32_t node)
{
  return (1 + run.port % 250u) << 8 | (11 + node);
}

static void
print_host (uint32_t node, char text[16])
{
  struct in_addr address = address_of (host_of (node), 0).sin_addr;
  inet_ntop (AF_INET, &address, text, 16);
}

static int
open_listener (uint32_t host, uint16_t port)
{
  struct sockaddr_in address = address_of (host, port);
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0
      && listen (fd, 256) == 0)
    return fd;
  close (fd);
  return -1;
}

/* Whether all ports from FIRST on that the case takes are free.  */
static bool
ports_are_free (uint16_t first)
{
  for (uint32_t i = 0; i < PORTS; i++)
    {
      int fd = open_listener (1, (uint16_t)(first + i));
      if (fd < 0)
        return false;
      close (fd);
    }
  return true;
}

static pid_t
start_process (char *const argv[], char *const env[], const char *log)
{
  pid_t pid = fork ();
  if (pid != 0)
    return pid;
  int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
  dup2 (fd, STDOUT_FILENO);
  dup2 (fd, STDERR_FILENO);
  execve (argv[0], argv, env);
  _exit (127);
}

static void
write_settings (uint32_t node, const char *path)
{
  FILE *file = fopen (path, "w");
  unsigned port = run.port;
  char host[16];
  if (file == NULL)
    drive_end (2);
  print_host (node, host);
  fprintf (file,
           "node=edge-z-%u\nrole=node\nmachine_class=edge\nserves=edge\n"
           "ip=%s\nzone=z\nregion=r\nzones.z=r\n"
           "listen_addresses.front=%s:%u\n"
           "listen_addresses.readiness=%s:%u\n"
           "internal_ports=%u,%u\nbootstrap=true\n"
           "limits.cpu_share=1\nlimits.cores=1\nlimits.memory_mb=512\n"
           "limits.fd_limit=4100\nheartbeat_ms=1500\norders=call\n"
           "advice=127.0.0.1:%u\nplatform.address=127.0.0.1:%u\n"
           "platform.form=table\nplatform.writes_per_s=800\n"
           "platform.reads_per_s=2000\nplatform.transaction_ms=6.0\n"
           "platform.part_writes_per_s=200\nplatform.row_bytes=65536\n"
           "platform.cross_shard=false\nplatform.history_s=20\n"
           "bounds.contact_ms=3000\nbounds.ack_ms=4000\nbounds.drain_ms=2000\n"
           "bounds.grace_s=6\nbounds.loss_slack_ms=200\n"
           "bounds.config_apply_ms=2000\nbounds.rollback_slack_ms=250\n"
           "bounds.max_hold_ms=6000\nbounds.stop_timeout_ms=400\n"
           "bounds.gang_timeout_ms=3000\nbounds.cancel_ms=3000\n"
           "bounds.visible_ms=3000\nbounds.finish_s=14\nbounds.status_s=120\n"
           "bounds.lease_ms=3000\nbounds.require_fencing=true\n",
           node, host, host, port + FRONT, host, port + READINESS, port + 403,
           port + 410, port, port + FIRST_PROXY + node);
  fclose (file);
}

static void
start_node (uint32_t node)
{
  char settings[160];
  char variable[192];
  char log[160];
  snprintf (settings, sizeof settings, "%s/node-%u.conf", run.work, node);
  snprintf (log, sizeof log, "%s/node-%u.log", run.work, node);
  snprintf (variable, sizeof variable, "MAGNOLIADOCK_SETTINGS=%s", settings);
  write_settings (node, settings);
  char *argv[] = { NODE_PROGRAM, "node", "--metrics-port=9464", NULL };
  char *env[] = { variable, "PATH=/usr/bin:/bin", NULL };
  /* The metrics port is fixed in the deploy file; each node has an address of
     its own.  */
  run.node_pids[node] = start_process (argv, env, log);
}

void
drive_kill_node (uint32_t node)
{
  drive_record ("SIGKILL of node %u", node);
  end_process (&run.node_pids[node]);
}

void
drive_restart_node (uint32_t node)
{
  drive_record ("node %u starts again", node);
  start_node (node);
}

/* Bytes on their way through a proxy.  */
typedef struct chunk
{
  struct chunk *next;
  int64_t due_ms;
  size_t length; /* 0: the end of the connection */
  char data[];
} chunk_t;

typedef struct
{
  int from, to;
  int64_t due_ms; /* of the last piece */
} pipe_t;

static bool
write_all (int fd, const char *data, size_t length)
{
  while (length > 0)
    {
      ssize_t written = send (fd, data, length, MSG_NOSIGNAL);
      if (written <= 0)
        return false;
      data += written;
      length -= (size_t)written;
    }
  return true;
}

/* A transaction takes its time before it is applied, any other call half of it
   each way.  */
static int64_t
delay_of (const chunk_t *chunk)
{
  static const char transaction[] = "POST /api/rows-tx";
  size_t length = sizeof transaction - 1;
  bool applies = chunk->length > length
                 && memcmp (chunk->data, transaction, length) == 0;
  return applies ? run.transaction_ms : run.answer_ms / 2;
}

static chunk_t *
read_chunk (pipe_t *pipe)
{
  chunk_t *chunk = malloc (sizeof *chunk + BUFFER_BYTES);
  ssize_t length = recv (pipe->from, chunk->data, BUFFER_BYTES, 0);
  chunk->next = NULL;
  chunk->length = length > 0 ? (size_t)length : 0;
  pipe->due_ms = MAX (pipe->due_ms, drive_now_ms () + delay_of (chunk));
  chunk->due_ms = pipe->due_ms;
  return chunk;
}

/* Passes on what comes from one end, each piece after the delay.  */
static void *
run_pipe (void *context)
{
  pipe_t pipe = *(pipe_t *)context;
  chunk_t *first = NULL;
  chunk_t **last = &first;
  bool ended = false;
  bool broken = false;
  free (context);
  while (!broken && (!ended || first != NULL))
    {
      int64_t wait_ms
          = first != NULL ? MAX (first->due_ms - drive_now_ms (), 0) : -1;
      struct pollfd watched = { ended ? -1 : pipe.from, POLLIN, 0 };
      if (poll (&watched, 1, (int)wait_ms) > 0)
        {
          *last = read_chunk (&pipe);
          ended = (*last)->length == 0;
          last = &(*last)->next;
        }
      while (first != NULL && first->due_ms <= drive_now_ms () && !broken)
        {
          chunk_t *chunk = first;
          broken = chunk->length == 0
                   || !write_all (pipe.to, chunk->data, chunk->length);
          first = chunk->next;
          last = first == NULL ? &first : last;
          free (chunk);
        }
    }
  shutdown (pipe.to, SHUT_WR);
  return NULL;
}

typedef struct
{
  int node, store;
} relay_t;

static void *
run_relay (void *context)
{
  relay_t *relay = context;
  pipe_t *up = malloc (sizeof *up);
  pipe_t *down = malloc (sizeof *down);
  pthread_t thread;
  *up = (pipe_t){ relay->node, relay->store, 0 };
  *down = (pipe_t){ relay->store, relay->node, 0 };
  pthread_create (&thread, NULL, run_pipe, up);
  run_pipe (down);
  shutdown (relay->store, SHUT_RDWR);
  shutdown (relay->node, SHUT_RDWR);
  pthread_join (thread, NULL);
  close (relay->node);
  close (relay->store);
  free (relay);
  return NULL;
}

static int
connect_to (uint32_t host, uint16_t port)
{
  struct sockaddr_in address = address_of (host, port);
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static void *
run_proxy (void *context)
{
  int listener = (int)(intptr_t)context;
  while (true)
    {
      int on = 1;
      pthread_t thread;
      int node = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      if (node < 0)
        continue;
      int store = connect_to (1, run.port);
      if (store < 0)
        {
          close (node);
          continue;
        }
      setsockopt (node, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      relay_t *relay = malloc (sizeof *relay);
      *relay = (relay_t){ node, store };
      pthread_create (&thread, NULL, run_relay, relay);
      pthread_detach (thread);
    }
  return NULL;
}

void
drive_slow_store (int64_t factor)
{
  drive_record (factor > 0 ? "the store is %lld times as slow"
                           : "the store is as usual",
                (long long)factor);
  run.answer_ms = factor * ANSWER_MS;
  run.transaction_ms = factor * TRANSACTION_MS;
}

/* Makes a call and waits for its answer until LIMIT_MS; then the connection is
   closed.  */
static drive_answer_t
call (uint32_t host, uint16_t port, const char *method, const char *target,
      const char *headers, const char *body, int64_t limit_ms)
{
  drive_answer_t answer = { 0, NULL };
  GString *text = g_string_new (NULL);
  int64_t end_ms = drive_now_ms () + limit_ms;
  int fd = connect_to (host, port);
  if (fd < 0)
    goto out;
  GString *request = g_string_new (NULL);
  g_string_append_printf (request, "%s %s HTTP/1.1\r\n%sConnection: close\r\n",
                          method, target, headers);
  if (body != NULL)
    g_string_append_printf (
        request, "Content-Type: application/json\r\nContent-Length: %zu\r\n",
        strlen (body));
  g_string_append_printf (request, "\r\n%s", body != NULL ? body : "");
  bool sent = write_all (fd, request->str, request->len);
  g_string_free (request, TRUE);
  while (sent && drive_now_ms () < end_ms)
    {
      char buffer[BUFFER_BYTES];
      struct pollfd watched = { fd, POLLIN, 0 };
      if (poll (&watched, 1, (int)(end_ms - drive_now_ms ())) <= 0)
        break;
      ssize_t length = recv (fd, buffer, sizeof buffer, 0);
      if (length <= 0)
        {
          if (sscanf (text->str, "HTTP/1.1 %d", &answer.status) != 1)
            answer.status = 0;
          break;
        }
      g_string_append_len (text, buffer, length);
    }
  close (fd);
out:;
  const char *begin = strstr (text->str, "\r\n\r\n");
  answer.body
      = g_strdup (answer.status != 0 && begin != NULL ? begin + 4 : "");
  g_string_free (text, TRUE);
  return answer;
}

drive_answer_t
drive_call (uint32_t node, const char *method, const char *id,
            const char *body, int64_t give_up_ms)
{
  char target[64];
  snprintf (target, sizeof target, "/queue/%s", id);
  drive_answer_t answer
      = call (host_of (node), (uint16_t)(run.port + FRONT), method, target,
              "Host: host\r\nX-Request-Deadline: 3000\r\n", body,
              give_up_ms > 0 ? give_up_ms : CALL_LIMIT_MS);
  drive_record ("client: %s %s at node %u -> %d %s", method, target, node,
                answer.status,
                answer.status != 0 ? answer.body : "no answer, given up");
  return answer;
}

drive_answer_t
drive_store_call (const char *method, const char *target, const char *body)
{
  return call (1, run.port, method, target, "Host: store\r\n", body,
               CALL_LIMIT_MS);
}

int64_t
drive_figure (const char *name)
{
  drive_answer_t answer = drive_store_call ("GET", "/control/check", NULL);
  json_t *object = json_loads (answer.body, 0, NULL);
  int64_t figure = object != NULL
                       ? json_integer_value (json_object_get (object, name))
                       : -1;
  json_decref (object);
  g_free (answer.body);
  return figure;
}

char *
drive_decode (const char *base64)
{
  gsize length = 0;
  guchar *bytes = g_base64_decode (base64, &length);
  char *text = g_strndup ((const char *)bytes, length);
  g_free (bytes);
  return text;
}

int
drive_owner (void)
{
  drive_answer_t answer = drive_store_call (
      "GET", "/api/rows-get?table=cluster&part=pool&from=beat&target=beat~",
      NULL);
  json_t *reply = json_loads (answer.body, 0, NULL);
  const char *value = json_string_value (json_object_get (
      json_array_get (json_object_get (reply, "rows"), 0), "value"));
  char *text = drive_decode (value != NULL ? value : "");
  json_t *beat = json_loads (text, 0, NULL);
  const char *owner = json_string_value (json_object_get (beat, "owner"));
  int node = -1;
  if (owner != NULL && sscanf (owner, "edge-z-%d", &node) != 1)
    node = -1;
  json_decref (beat);
  json_decref (reply);
  g_free (text);
  g_free (answer.body);
  return node;
}

uint32_t
drive_count_lines (const char *text)
{
  char *all = NULL;
  uint32_t count = 0;
  if (!g_file_get_contents (run.record, &all, NULL, NULL))
    return 0;
  for (const char *at = strstr (all, text); at != NULL;
       at = strstr (at + 1, text))
    count++;
  g_free (all);
  return count;
}

bool
drive_last_line (const char *text, char *line, size_t size)
{
  char *all = NULL;
  bool found = false;
  if (!g_file_get_contents (run.record, &all, NULL, NULL))
    return false;
  char **lines = g_strsplit (all, "\n", 0);
  for (char **at = lines; *at != NULL; at++)
    if (strstr (*at, text) != NULL)
      {
        g_strlcpy (line, *at, size);
        found = true;
      }
  g_strfreev (lines);
  g_free (all);
  return found;
}

/* Sets VARIABLE to NAME=VALUE as it is in the environment, 0 if it is not.  */
static void
pass_on (char variable[40], const char *name)
{
  const char *value = getenv (name);
  snprintf (variable, 40, "%s=%s", name, value != NULL ? value : "0");
}

static void
start_standin (uint32_t workers, uint32_t services)
{
  char port[8];
  char count[8];
  char shared[8];
  char record[600];
  char checkpoint[40];
  char late[40];
  char down[40];
  char log[160];
  snprintf (port, sizeof port, "%u", run.port);
  snprintf (count, sizeof count, "%u", workers);
  snprintf (shared, sizeof shared, "%u", services);
  snprintf (record, sizeof record, "RECORD=%s", run.record);
  pass_on (checkpoint, "CHECKPOINT_BYTES");
  pass_on (late, "LATE_MS");
  pass_on (down, "DOWN_MS");
  snprintf (log, sizeof log, "%s/standin.log", run.work);
  char *argv[]
      = { STANDIN_PROGRAM, "--port", port,          "--workers", count,
          "--services",    shared,   "--row-bytes", "65536",     NULL };
  char *env[] = { record, checkpoint, late, down, "PATH=/usr/bin:/bin", NULL };
  run.standin_pid = start_process (argv, env, log);
}

static bool
is_ready (uint32_t node)
{
  drive_answer_t answer
      = call (host_of (node), (uint16_t)(run.port + READINESS), "GET",
              "/api/readiness", "Host: node\r\n", NULL, 1000);
  g_free (answer.body);
  return answer.status == 200;
}

void
drive_start (const char *folder, uint32_t workers, uint32_t services,
             uint32_t nodes)
{
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_limit);
  alarm (LIMIT_S);
  snprintf (run.record, sizeof run.record, "%s/record.txt", folder);
  unlink (run.record);
  snprintf (run.work, sizeof run.work, "/tmp/review.XXXXXX");
  if (mkdtemp (run.work) == NULL)
    drive_end (2);
  /* Cases that run side by side begin at other ports.  */
  uint16_t port = (uint16_t)(FIRST_PORT + getpid () % PORT_SLOTS * PORTS);
  for (int tries = 0; tries < PORT_SLOTS && !ports_are_free (port); tries++)
    port
        = port + 2 * PORTS > LAST_PORT ? FIRST_PORT : (uint16_t)(port + PORTS);
  run.port = port;
  run.nodes = nodes;
  start_standin (workers, services);
  for (uint32_t i = 0; i < nodes; i++)
    {
      pthread_t thread;
      int listener = open_listener (1, (uint16_t)(port + FIRST_PROXY + i));
      if (listener < 0)
        drive_end (2);
      pthread_create (&thread, NULL, run_proxy, (void *)(intptr_t)listener);
    }
  drive_sleep_ms (300);
  for (uint32_t i = 0; i < nodes; i++)
    start_node (i);
  int64_t end_ms = drive_now_ms () + READY_LIMIT_MS;
  for (uint32_t i = 0; i < nodes; i++)
    while (!is_ready (i))
      {
        if (drive_now_ms () > end_ms)
          drive_end (2);
        drive_sleep_ms (100);
      }
  while (drive_owner () < 0)
    {
      if (drive_now_ms () > end_ms)
        drive_end (2);
      drive_sleep_ms (100);
    }
  drive_sleep_ms (1000);
  drive_record ("%u nodes are ready; TROUBLE=%d", nodes, drive_trouble ());
}
