#ifndef MAGNOLIADOCK_HTTPC_H
#define MAGNOLIADOCK_HTTPC_H

#include "error.h"

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* NAME
     httpc - HTTP client on libev, by libcurl or by httpc_direct

   Each httpc_t has a connection pool of its own.  Use separate ones for the
   platform, for workers and for backend servers, so that a stuck server of one
   kind cannot use up the connections of another.  */

typedef struct httpc httpc_t;
typedef struct httpc_call httpc_call_t;

typedef struct
{
  uint32_t max_connections_per_host;
  uint32_t max_idle_s; /* a connection that was idle longer is not reused */
  uint32_t max_age_s;  /* an older connection is not reused */
  uint32_t connect_timeout_ms;
  /* Any call of this client may be repeated on a new connection when a reused
     one turns out to be dead.  If not set, that holds for GET and HEAD only,
     and other calls always use a new connection.  If set, calls to numeric
     addresses are made by httpc_direct.  */
  bool repeatable;
} httpc_options_t;

/* Result of a buffered call.  KIND is ERR_OK whenever an HTTP answer arrived
   whole, whatever its status.  BODY ends with a NUL that is not counted in its
   length, and lives until the callback returns.  */
typedef struct
{
  err_kind_t kind;
  outcome_t outcome; /* as httpc_transfer_kind says */
  uint16_t status;
  uint32_t retry_after_s;
  const char *body;
  size_t body_length;
  bool repeated; /* the request was sent more than once */
} httpc_result_t;

typedef void (*httpc_done_t) (void *context, const httpc_result_t *result);

httpc_t *httpc_new (struct ev_loop *loop, const httpc_options_t *options);
/* Cancels the calls and transfers in flight; their callbacks are not
   called.  */
void httpc_free (httpc_t *client);

/* Starts a request with the JSON body BODY (copied; NULL for none).  DONE is
   called once, from the event loop and never from inside this function.  A
   call that takes longer than TIMEOUT_MS fails, and so does one with an answer
   over 16 MiB (ERR_TOO_LARGE).  Returns a handle for httpc_cancel, owned by
   CLIENT and invalid once DONE has returned.  */
httpc_call_t *httpc_call (httpc_t *client, const char *method, const char *url,
                          const char *body, int64_t timeout_ms,
                          httpc_done_t done, void *context);
/* The same with HEADERS (copied): an array of "Name: value" that ends with
   NULL, or NULL for none.  */
httpc_call_t *httpc_call_headers (httpc_t *client, const char *method,
                                  const char *url, const char *const *headers,
                                  const char *body, int64_t timeout_ms,
                                  httpc_done_t done, void *context);
/* Cancels CALL; its callback is not called.  */
void httpc_cancel (httpc_call_t *call);

#endif
