#ifndef MAGNOLIADOCK_PROXY_INTERNAL_H
#define MAGNOLIADOCK_PROXY_INTERNAL_H

#include "proxy.h"

/* NAME
     proxy_internal - shared by proxy.c, relay.c and callers.c only  */

void proxy_add (proxy_t *proxy, relay_t *relay);
void proxy_remove (proxy_t *proxy, relay_t *relay);
/* Updates the metrics with the outcome and latency of RELAY, and calls the
   observer.  */
void proxy_record_end (proxy_t *proxy, const relay_t *relay);

/* Frees RELAY and its attempt without reporting anything to dispatch or to the
   caller's side.  */
void relay_drop (relay_t *relay);

extern const httpd_stream_ops_t callers_stream_ops;

#endif
