#ifndef MAGNOLIADOCK_PROXY_H
#define MAGNOLIADOCK_PROXY_H

#include "counter.h"
#include "dispatch.h"
#include "httpd.h"
#include "relay.h"

/* NAME
     proxy - carries requests between callers, backend servers and entries

   Owns the requests in flight and drives dispatch with what happens to
   them.  */

typedef struct
{
  const char *self; /* ENTRY@INCARNATION, in X-Magnoliadock-Entry */
  struct ev_loop *loop;
  const clk_t *clock;
  counter_registry_t *registry;
} proxy_options_t;

/* OPTIONS is copied, what it points to stays the caller's.  */
proxy_t *proxy_new (const proxy_options_t *options);
void proxy_free (proxy_t *proxy);

/* The decisions come from DISPATCH; set before the first request.  */
void proxy_set_dispatch (proxy_t *proxy, dispatch_t *dispatch);
/* Serves the requests under /s/ of SERVER.  */
void proxy_serve (proxy_t *proxy, httpd_t *server);

/* Told once for each request of a caller of this entry, when its end is
   decided: relay->reason, status and outcome are set.  WAIT_MS is the time
   before the first attempt.  */
typedef void (*proxy_observer_t) (void *context, const relay_t *relay,
                                  int64_t latency_ms, int64_t wait_ms);
void proxy_set_observer (proxy_t *proxy, proxy_observer_t observer,
                         void *context);

/* Actions of dispatch_actions_t that concern requests.  */
void proxy_send (proxy_t *proxy, uint64_t id, uint32_t attempt,
                 const char *backend, const char *url, bool fresh);
void proxy_refuse (proxy_t *proxy, uint64_t id, err_kind_t kind,
                   outcome_t outcome, int64_t retry_after_ms,
                   const char *detail);
void proxy_probe (proxy_t *proxy, const char *backend, const char *url);

/* Returns the request for an attempt that another module carries out, NULL if
   it is unknown.  The module sets server_ops and server.  */
relay_t *proxy_begin_attempt (proxy_t *proxy, uint64_t id, uint32_t attempt);
/* Ends an attempt that could not begin, from the loop instead of from inside
   a dispatch action.  */
void proxy_fail_later (proxy_t *proxy, relay_t *relay, err_kind_t kind);

dispatch_t *proxy_dispatch (const proxy_t *proxy);
const proxy_options_t *proxy_options (const proxy_t *proxy);
/* Requests that are not over yet.  */
uint32_t proxy_open_requests (const proxy_t *proxy);

#endif
