#include "site_door.h"

#include "error.h"
#include "site_standin.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 256
#define BUSY_ANSWER "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"

typedef enum
{
  DOOR_PASS,
  DOOR_BUSY,
  DOOR_SILENT,
  DOOR_RESET
} door_mode_t;

typedef struct
{
  door_mode_t mode;
  int64_t until_ms;
  GPtrArray *relays; /* relay_t */
  ev_io listener;
} door_t;

/* A connection of a node and the one to the store that belongs to it.  */
typedef struct
{
  door_t *door;
  ev_io from_node, from_store;
  bool silent; /* for good */
} relay_t;

static struct
{
  struct ev_loop *loop;
  door_t *doors;
  uint32_t count;
  uint16_t store_port;
  uint32_t requests;
} all;

static door_mode_t
mode_now (const door_t *door)
{
  return site_now_ms () < door->until_ms ? door->mode : DOOR_PASS;
}

static void
relay_close (relay_t *relay)
{
  ev_io_stop (all.loop, &relay->from_node);
  ev_io_stop (all.loop, &relay->from_store);
  close (relay->from_node.fd);
  close (relay->from_store.fd);
  g_ptr_array_remove_fast (relay->door->relays, relay);
  g_free (relay);
}

/* Answers are short enough for the buffers of a socket.  */
static bool
send_all (int fd, const char *data, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (fd, data, length, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0)
        return false;
      data += sent;
      length -= (size_t)sent;
    }
  return true;
}

static void
on_bytes (struct ev_loop *loop, ev_io *watcher, int events)
{
  relay_t *relay = watcher->data;
  bool is_request = watcher == &relay->from_node;
  door_mode_t mode = mode_now (relay->door);
  char data[64 * 1024];
  ssize_t length = recv (watcher->fd, data, sizeof data, 0);
  if (length <= 0)
    {
      relay_close (relay);
      return;
    }
  all.requests += is_request;
  relay->silent = relay->silent || mode == DOOR_SILENT;
  if (relay->silent)
    return;
  bool ok = true;
  if (mode == DOOR_BUSY && is_request)
    ok = send_all (watcher->fd, BUSY_ANSWER, strlen (BUSY_ANSWER));
  else if (mode == DOOR_PASS)
    ok = send_all (is_request ? relay->from_store.fd : relay->from_node.fd,
                   data, (size_t)length);
  if (!ok || mode == DOOR_RESET)
    relay_close (relay);
}

static int
connect_to_store (void)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                                 .sin_port = htons (all.store_port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd >= 0
      && connect (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      close (fd);
      fd = -1;
    }
  return fd;
}

static void
watch (relay_t *relay, ev_io *watcher, int fd)
{
  int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ev_io_init (watcher, on_bytes, fd, EV_READ);
  watcher->data = relay;
  ev_io_start (all.loop, watcher);
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  door_t *door = watcher->data;
  int node = accept4 (watcher->fd, NULL, NULL, SOCK_CLOEXEC);
  if (node < 0)
    return;
  int store = mode_now (door) == DOOR_RESET ? -1 : connect_to_store ();
  if (store < 0)
    {
      close (node);
      return;
    }
  relay_t *relay = g_new0 (relay_t, 1);
  relay->door = door;
  watch (relay, &relay->from_node, node);
  watch (relay, &relay->from_store, store);
  g_ptr_array_add (door->relays, relay);
}

static bool
door_open (door_t *door, uint16_t port, GError **error)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
                                 .sin_port = htons (port) };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) != 0
      || bind (fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (fd, LISTEN_BACKLOG) != 0)
    {
      g_set_error (error, ERROR_DOMAIN, ERR_IO, "cannot listen on port %u: %s",
                   port, g_strerror (errno));
      if (fd >= 0)
        close (fd);
      return false;
    }
  door->relays = g_ptr_array_new ();
  ev_io_init (&door->listener, on_accept, fd, EV_READ);
  door->listener.data = door;
  ev_io_start (all.loop, &door->listener);
  return true;
}

bool
site_doors_open (struct ev_loop *loop, uint32_t count, uint16_t first_port,
                 uint16_t store_port, GError **error)
{
  all.loop = loop;
  all.store_port = store_port;
  all.doors = g_new0 (door_t, count);
  all.count = count;
  for (uint32_t i = 0; i < count; i++)
    if (!door_open (&all.doors[i], (uint16_t)(first_port + i), error))
      return false;
  return true;
}

void
site_door_set (uint32_t index, const char *mode, int64_t for_ms)
{
  if (index >= all.count)
    return;
  door_t *door = &all.doors[index];
  if (strcmp (mode, "stale") == 0)
    {
      for (guint i = 0; i < door->relays->len; i++)
        ((relay_t *)door->relays->pdata[i])->silent = true;
      return;
    }
  door->mode = strcmp (mode, "busy") == 0     ? DOOR_BUSY
               : strcmp (mode, "silent") == 0 ? DOOR_SILENT
                                              : DOOR_RESET;
  door->until_ms = site_now_ms () + for_ms;
}

uint32_t
site_door_requests (void)
{
  return all.requests;
}
