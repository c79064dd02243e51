#ifndef MAGNOLIADOCK_BACKEND_H
#define MAGNOLIADOCK_BACKEND_H

#include "httpc.h"
#include "relay.h"

/* NAME
     backend - attempts at backend servers over libcurl

   At most 8 connections to one backend server, the probe's included.  */

typedef struct backend_pool backend_pool_t;

backend_pool_t *backend_pool_new (proxy_t *proxy);
/* Ends all attempts without telling anybody.  */
void backend_pool_free (backend_pool_t *pool);

/* Sends RELAY to the backend server BACKEND at URL.  FRESH asks for a new
   connection.  Ends with relay_attempt_ended, never from inside.  */
void backend_send (backend_pool_t *pool, relay_t *relay, const char *backend,
                   const char *url, bool fresh);

/* Opens a new connection to BACKEND and reports to dispatch.  */
void backend_probe (backend_pool_t *pool, const char *backend,
                    const char *url);

#endif
