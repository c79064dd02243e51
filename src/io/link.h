#ifndef MAGNOLIADOCK_LINK_H
#define MAGNOLIADOCK_LINK_H

#include "frame.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     link - one TCP connection that carries frames

   Frames that are sent are written together before the loop blocks.  */

typedef struct link link_t;

typedef struct
{
  /* A frame has arrived; it lives until this returns.  May close LINK.  */
  void (*frame) (void *context, link_t *link, const frame_t *frame);
  /* LINK is broken and is freed after this returns.  WHY is static.  */
  void (*closed) (void *context, link_t *link, const char *why);
} link_ops_t;

/* Takes the connected or connecting socket FD (non-blocking).  OPS and CONTEXT
   outlive the link.  */
link_t *link_new (struct ev_loop *loop, int fd, const link_ops_t *ops,
                  void *context);
/* Connects to ADDRESS ("IP:PORT").  Returns NULL if that fails at once.  */
link_t *link_connect (struct ev_loop *loop, const char *address,
                      const link_ops_t *ops, void *context);

/* Sends FRAME (copied).  May be called from anywhere: a failure shows only in
   a later call of closed from the loop.  */
void link_send (link_t *link, const frame_t *frame);

/* Closes LINK from the loop, after what was sent before has been written if
   FLUSH is set.  The functions of OPS are not called any more.  */
void link_close (link_t *link, bool flush);

/* Data of the user of LINK.  */
void link_set_data (link_t *link, void *data);
void *link_data (const link_t *link);

/* Bytes sent and received since the start, for the control traffic.  */
uint64_t link_bytes (const link_t *link);

/* Bytes that wait to be written.  */
size_t link_backlog (const link_t *link);

#endif
