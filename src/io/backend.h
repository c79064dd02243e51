#ifndef MAGNOLIADOCK_BACKEND_H
#define MAGNOLIADOCK_BACKEND_H

#include "httpc.h"
#include "relay.h"

/* NAME
     backend - sends requests to backend servers over libcurl

   Opens at most 8 connections to one backend server, those of probes
   included.  */

typedef struct backend_pool backend_pool_t;

backend_pool_t *backend_pool_new (proxy_t *proxy);
/* Frees all attempts and probes without reporting their ends.  */
void backend_pool_free (backend_pool_t *pool);

/* Sends the request of RELAY to the backend server BACKEND at URL, with
   NEW_CONNECTION on a new connection.  The attempt ends with
   relay_attempt_ended, which is never called from inside this function.  */
void backend_send (backend_pool_t *pool, relay_t *relay, const char *backend,
                   const char *url, bool new_connection);

/* Opens a new connection to BACKEND and reports the result with
   dispatch_probe_ended.  */
void backend_probe (backend_pool_t *pool, const char *backend,
                    const char *url);

#endif
