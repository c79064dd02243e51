#ifndef MAGNOLIADOCK_PROXY_H
#define MAGNOLIADOCK_PROXY_H

#include "counter.h"
#include "dispatch.h"
#include "httpd.h"
#include "relay.h"

/* NAME
     proxy - carries requests between callers, backend servers and entries

   Owns the requests that have not ended, reports what happens to them to
   dispatch and carries out what dispatch decides.  */

typedef struct
{
  const char *self; /* ID@INCARNATION, in X-Magnoliadock-Entry */
  struct ev_loop *loop;
  const clk_t *clock;
  counter_registry_t *registry;
} proxy_options_t;

/* OPTIONS is copied; what it points to is borrowed and must outlive the
   result.  */
proxy_t *proxy_new (const proxy_options_t *options);
void proxy_free (proxy_t *proxy);

/* Sets the dispatch_t that decides where requests run; to be called before the
   first request.  */
void proxy_set_dispatch (proxy_t *proxy, dispatch_t *dispatch);
/* Serves the requests under "/s/" that SERVER receives.  */
void proxy_serve (proxy_t *proxy, httpd_t *server);

/* Called once for each request that came from a caller, not from another
   entry, when its end is decided: relay->reason, status and outcome are set.
   LATENCY_MS is the time since the request was received, WAIT_MS the part of
   it before the first attempt.  */
typedef void (*proxy_observer_t) (void *context, const relay_t *relay,
                                  int64_t latency_ms, int64_t wait_ms);
void proxy_set_observer (proxy_t *proxy, proxy_observer_t observer,
                         void *context);

/* Implementations of the dispatch_actions_t that concern requests and backend
   servers.  */
void proxy_send (proxy_t *proxy, uint64_t id, uint32_t attempt,
                 const char *backend, const char *url, bool new_connection);
void proxy_refuse (proxy_t *proxy, uint64_t id, err_kind_t kind,
                   outcome_t outcome, int64_t retry_after_ms,
                   const char *detail);
void proxy_probe (proxy_t *proxy, const char *backend, const char *url);

/* Starts attempt ATTEMPT of request ID for the module that carries it out.
   Returns the relay, on which that module sets server_ops and server_state, or
   NULL if the request is gone; its attempt then ends with ERR_CANCELLED.  */
relay_t *proxy_begin_attempt (proxy_t *proxy, uint64_t id, uint32_t attempt);
/* Ends an attempt that could not start.  This happens from the event loop,
   because dispatch must not be called from inside one of its actions.  */
void proxy_fail_later (proxy_t *proxy, relay_t *relay, err_kind_t kind);

dispatch_t *proxy_dispatch (const proxy_t *proxy);
const proxy_options_t *proxy_options (const proxy_t *proxy);
/* Number of requests that are still owned by PROXY.  */
uint32_t proxy_open_requests (const proxy_t *proxy);

#endif
