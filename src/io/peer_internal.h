#ifndef MAGNOLIADOCK_PEER_INTERNAL_H
#define MAGNOLIADOCK_PEER_INTERNAL_H

#include "frame.h"
#include "peer.h"
#include "proxy.h"

/* NAME
     peer_internal - shared by peer.c, peer_slots.c and handover.c only  */

/* Sends FRAME to ENTRY.  Returns false if it is not connected.  */
bool peer_send (peer_t *peer, const char *entry, const frame_t *frame);
bool peer_connected (const peer_t *peer, const char *entry);
dispatch_t *peer_dispatch (const peer_t *peer);

/* Handles FRAME from ENTRY if it is a message of the slot ledger; else returns
   false.  */
bool peer_slots_handle_frame (peer_t *peer, const char *entry,
                              const frame_t *frame);

typedef struct handover handover_t;

/* Requests handed over to other entries (outbound) and received from them
   (inbound).  */
handover_t *handover_new (peer_t *peer, const peer_options_t *options);
void handover_free (handover_t *handover);
void handover_set_proxy (handover_t *handover, proxy_t *proxy);
/* Handles FRAME from ENTRY if it concerns a handed-over request; else returns
   false.  */
bool handover_handle_frame (handover_t *handover, const char *entry,
                            const frame_t *frame);
/* A new connection to ENTRY is ready for messages.  */
void handover_peer_up (handover_t *handover, const char *entry);
/* The connection to ENTRY has ended, or ENTRY counts as down.  */
void handover_peer_down (handover_t *handover, const char *entry);
/* Hands attempt ATTEMPT of request ID over to ENTRY.  */
void handover_begin (handover_t *handover, uint64_t id, uint32_t attempt,
                     const char *entry);

#endif
