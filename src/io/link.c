#include "link.h"

#include "options.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A receiver that is this far behind is treated as dead.  */
#define MAX_BACKLOG_BYTES (16 * 1024 * 1024)
#define READ_BYTES (64 * 1024)
/* Longest time to write the buffer of a link that is closed with FLUSH.  */
#define FLUSH_TIMEOUT_S 1.0

struct link
{
  struct ev_loop *loop;
  int fd;
  const link_ops_t *ops;
  void *context;
  void *data;
  ev_io readable;
  ev_io writable;
  ev_prepare write_soon;
  ev_timer free_timer;
  frame_reader_t reader;
  GByteArray *out_buffer;
  size_t out_start;    /* first byte of out_buffer that is not yet written */
  uint64_t byte_count; /* sent and received */
  bool connecting;
  bool closing;
  const char *broken_reason; /* NULL while LINK works; static */
};

static void
link_free (link_t *link)
{
  ev_io_stop (link->loop, &link->readable);
  ev_io_stop (link->loop, &link->writable);
  ev_prepare_stop (link->loop, &link->write_soon);
  ev_timer_stop (link->loop, &link->free_timer);
  frame_reader_clear (&link->reader);
  g_byte_array_unref (link->out_buffer);
  close (link->fd);
  g_free (link);
}

/* Stops LINK now and frees it later, from the event loop.  */
static void
free_soon (link_t *link)
{
  link->closing = true;
  ev_io_stop (link->loop, &link->readable);
  ev_io_stop (link->loop, &link->writable);
  ev_prepare_stop (link->loop, &link->write_soon);
  ev_timer_stop (link->loop, &link->free_timer);
  ev_timer_set (&link->free_timer, 0.0, 0.0);
  ev_timer_start (link->loop, &link->free_timer);
}

static void
fail (link_t *link, const char *reason)
{
  if (link->broken_reason != NULL)
    return;
  link->broken_reason = reason;
  if (!link->closing)
    {
      link->closing = true;
      link->ops->closed (link->context, link, reason);
    }
  free_soon (link);
}

static void
on_free_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  link_free (watcher->data);
}

static void
write_out (link_t *link)
{
  while (link->out_start < link->out_buffer->len)
    {
      ssize_t sent
          = send (link->fd, link->out_buffer->data + link->out_start,
                  link->out_buffer->len - link->out_start, MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && errno == EAGAIN)
        {
          ev_io_start (link->loop, &link->writable);
          return;
        }
      if (sent < 0)
        {
          fail (link, "write_failed");
          return;
        }
      link->out_start += (size_t)sent;
      link->byte_count += (uint64_t)sent;
    }
  g_byte_array_set_size (link->out_buffer, 0);
  link->out_start = 0;
  ev_io_stop (link->loop, &link->writable);
  if (link->closing)
    free_soon (link);
}

static void
on_write_soon (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  link_t *link = watcher->data;
  ev_prepare_stop (loop, watcher);
  if (link->broken_reason == NULL && !link->connecting)
    write_out (link);
}

static void
on_writable (struct ev_loop *loop, ev_io *watcher, int events)
{
  link_t *link = watcher->data;
  if (link->connecting)
    {
      int error = 0;
      socklen_t length = sizeof error;
      getsockopt (link->fd, SOL_SOCKET, SO_ERROR, &error, &length);
      if (error != 0)
        {
          fail (link, "connect_failed");
          return;
        }
      link->connecting = false;
      ev_io_start (loop, &link->readable);
    }
  write_out (link);
}

/* Passes the complete frames received so far to OPS.  */
static void
decode (link_t *link)
{
  frame_t *frame;
  frame_result_t result = FRAME_INCOMPLETE;
  while (!link->closing
         && (result = frame_reader_next (&link->reader, &frame))
                == FRAME_READY)
    {
      link->ops->frame (link->context, link, frame);
      frame_free (frame);
    }
  if (result == FRAME_INVALID && !link->closing)
    fail (link, "bad_frame");
}

static void
on_readable (struct ev_loop *loop, ev_io *watcher, int events)
{
  static char buffer[READ_BYTES];
  link_t *link = watcher->data;
  ssize_t got = recv (link->fd, buffer, sizeof buffer, 0);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return;
  if (got <= 0)
    {
      fail (link, got == 0 ? "closed" : "read_failed");
      return;
    }
  link->byte_count += (uint64_t)got;
  frame_reader_feed (&link->reader, buffer, (size_t)got);
  decode (link);
}

link_t *
link_new (struct ev_loop *loop, int fd, const link_ops_t *ops, void *context)
{
  link_t *link = g_new0 (link_t, 1);
  int one = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  link->loop = loop;
  link->fd = fd;
  link->ops = ops;
  link->context = context;
  link->out_buffer = g_byte_array_new ();
  frame_reader_init (&link->reader);
  ev_io_init (&link->readable, on_readable, fd, EV_READ);
  ev_io_init (&link->writable, on_writable, fd, EV_WRITE);
  ev_prepare_init (&link->write_soon, on_write_soon);
  ev_timer_init (&link->free_timer, on_free_timer, 0.0, 0.0);
  link->readable.data = link;
  link->writable.data = link;
  link->write_soon.data = link;
  link->free_timer.data = link;
  ev_io_start (loop, &link->readable);
  return link;
}

link_t *
link_connect (struct ev_loop *loop, const char *address, const link_ops_t *ops,
              void *context)
{
  struct sockaddr_in target = { .sin_family = AF_INET };
  uint16_t port;
  if (!options_parse_address (address, &target.sin_addr.s_addr, &port))
    return NULL;
  target.sin_port = htons (port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  if (connect (fd, (struct sockaddr *)&target, sizeof target) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  link_t *link = link_new (loop, fd, ops, context);
  link->connecting = true;
  ev_io_stop (loop, &link->readable);
  ev_io_start (loop, &link->writable);
  return link;
}

void
link_send (link_t *link, const frame_t *frame)
{
  if (link->broken_reason != NULL || link->closing)
    return;
  if (link->out_buffer->len - link->out_start > MAX_BACKLOG_BYTES)
    {
      /* The event loop will read the end of the stream and call fail; OPS must
         not be called from inside this function.  */
      shutdown (link->fd, SHUT_RDWR);
      return;
    }
  frame_append (link->out_buffer, frame);
  if (!link->connecting && !ev_is_active (&link->writable))
    ev_prepare_start (link->loop, &link->write_soon);
}

void
link_close (link_t *link, bool flush)
{
  if (link->closing)
    return;
  link->closing = true;
  ev_io_stop (link->loop, &link->readable);
  if (!flush || link->connecting || link->out_start == link->out_buffer->len)
    {
      free_soon (link);
      return;
    }
  ev_timer_set (&link->free_timer, FLUSH_TIMEOUT_S, 0.0);
  ev_timer_start (link->loop, &link->free_timer);
}

void
link_set_data (link_t *link, void *data)
{
  link->data = data;
}

void *
link_data (const link_t *link)
{
  return link->data;
}

uint64_t
link_bytes (const link_t *link)
{
  return link->byte_count;
}

size_t
link_backlog (const link_t *link)
{
  return link->out_buffer->len - link->out_start;
}
