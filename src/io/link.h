#ifndef MAGNOLIADOCK_LINK_H
#define MAGNOLIADOCK_LINK_H

#include "frame.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     link - one TCP connection that carries frames

   Frames that are sent are buffered, and written together before the event
   loop blocks.  */

typedef struct link link_t;

typedef struct
{
  /* FRAME has arrived; it lives until this returns.  May call link_close.  */
  void (*frame) (void *context, link_t *link, const frame_t *frame);
  /* LINK has failed, or the other end has closed it; it is freed after this
     returns.  REASON is a static name, for log lines.  */
  void (*closed) (void *context, link_t *link, const char *reason);
} link_ops_t;

/* Takes the connected or connecting socket FD (non-blocking).  OPS and CONTEXT
   outlive the link.  */
link_t *link_new (struct ev_loop *loop, int fd, const link_ops_t *ops,
                  void *context);
/* Connects to ADDRESS ("IP:PORT").  Returns NULL if that fails at once.  */
link_t *link_connect (struct ev_loop *loop, const char *address,
                      const link_ops_t *ops, void *context);

/* Sends FRAME (copied).  Never calls OPS from inside: a failure is reported
   later by closed, from the event loop.  */
void link_send (link_t *link, const frame_t *frame);

/* Closes LINK and frees it later, from the event loop.  The bytes in the
   buffer are dropped, unless FLUSH is set and LINK is connected: then they are
   written first, for up to 1 s.  The functions of OPS are not called any
   more.  */
void link_close (link_t *link, bool flush);

/* An arbitrary pointer, kept for the owner of LINK.  */
void link_set_data (link_t *link, void *data);
void *link_data (const link_t *link);

/* Bytes written to and read from the socket so far.  */
uint64_t link_bytes (const link_t *link);

/* Bytes in the buffer, not yet written.  */
size_t link_backlog (const link_t *link);

#endif
