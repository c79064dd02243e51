#ifndef MAGNOLIADOCK_PEER_PRIVATE_H
#define MAGNOLIADOCK_PEER_PRIVATE_H

#include "frame.h"
#include "peer.h"
#include "proxy.h"

/* NAME
     peer_private - between peer.c, peer_slots.c and handover.c only  */

/* Sends FRAME to ENTRY.  Returns false if it is not connected.  */
bool peer_send (peer_t *peer, const char *entry, const frame_t *frame);
bool peer_connected (const peer_t *peer, const char *entry);
dispatch_t *peer_dispatch (const peer_t *peer);

/* Handles a slot message from ENTRY.  Returns whether FRAME is one.  */
bool peer_slots_frame (peer_t *peer, const char *entry, const frame_t *frame);

typedef struct handover handover_t;

/* Requests handed to other entries and taken from them.  */
handover_t *handover_new (peer_t *peer, const peer_options_t *options);
void handover_free (handover_t *handover);
void handover_set_proxy (handover_t *handover, proxy_t *proxy);
/* Handles a message from ENTRY that concerns a request.  Returns whether FRAME
   is one.  */
bool handover_frame (handover_t *handover, const char *entry,
                     const frame_t *frame);
/* The connection to ENTRY is new, or has ended.  */
void handover_up (handover_t *handover, const char *entry);
void handover_down (handover_t *handover, const char *entry);
/* Hands request ID to ENTRY.  */
void handover_begin (handover_t *handover, uint64_t id, uint32_t attempt,
                     const char *entry);

#endif
