#ifndef MAGNOLIADOCK_HTTPC_DIRECT_H
#define MAGNOLIADOCK_HTTPC_DIRECT_H

#include "httpc.h"

/* NAME
     httpc_direct - calls of an httpc_t to numeric addresses, without libcurl

   libcurl looks at each idle connection once a second and before each reuse,
   registers the socket anew for each call, and walks over all connections at
   the end of each call.  With several hundred workers that is most of the
   system calls of a node.  Here an idle connection costs nothing: its end
   shows as an event.  */

typedef struct httpc_direct httpc_direct_t;

/* First member of each kind of call.  */
struct httpc_call
{
  void (*cancel) (httpc_call_t *call);
};

httpc_direct_t *httpc_direct_new (struct ev_loop *loop,
                                  const httpc_options_t *options);
/* Cancels the calls; their callbacks are not called.  */
void httpc_direct_free (httpc_direct_t *direct);
/* Whether URL is "http://IPv4:PORT" with a path or none.  */
bool httpc_direct_handles (const char *url);
/* As httpc_call_headers.  A call whose reused connection turns out to be dead
   before any byte of the reply is sent once more, on a new one.  */
httpc_call_t *httpc_direct_call (httpc_direct_t *direct, const char *method,
                                 const char *url, const char *const *headers,
                                 const char *body, int64_t timeout_ms,
                                 httpc_done_t done, void *context);

#endif
