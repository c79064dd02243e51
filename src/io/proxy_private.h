#ifndef MAGNOLIADOCK_PROXY_PRIVATE_H
#define MAGNOLIADOCK_PROXY_PRIVATE_H

#include "proxy.h"

/* NAME
     proxy_private - shared by proxy.c, relay.c and callers.c only  */

void proxy_add (proxy_t *proxy, relay_t *relay);
void proxy_remove (proxy_t *proxy, relay_t *relay);
/* Counts the outcome and the time of RELAY.  */
void proxy_note_end (proxy_t *proxy, const relay_t *relay);

/* Frees RELAY and its attempt without telling anybody.  */
void relay_drop (relay_t *relay);

extern const httpd_stream_ops_t callers_stream_ops;

#endif
