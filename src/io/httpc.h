#ifndef MAGNOLIADOCK_HTTPC_H
#define MAGNOLIADOCK_HTTPC_H

#include "error.h"

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* NAME
     httpc - HTTP client on libcurl's multi interface and libev

   One httpc_t holds one connection pool.  Use separate ones for the platform,
   for workers and for backend servers, so that a stuck peer of one kind cannot
   use up the connections of another.  */

typedef struct httpc httpc_t;
typedef struct httpc_call httpc_call_t;

typedef struct
{
  uint32_t max_connections_per_host;
  uint32_t idle_limit_s; /* a connection idle for longer is not reused */
  uint32_t age_limit_s;  /* an older connection is not reused */
  uint32_t connect_limit_ms;
  /* All calls of this client may be repeated by libcurl on a new connection
     when a reused one turns out to be dead.  */
  bool repeatable;
} httpc_options_t;

/* Result of a buffered call.  KIND is ERR_OK whenever an HTTP answer arrived
   whole, whatever its status.  BODY ends with a NUL that LENGTH does not count
   and lives until the callback returns.  */
typedef struct
{
  err_kind_t kind;
  outcome_t outcome; /* OUTCOME_NOT_RUN only if no connection was made */
  uint16_t status;
  uint32_t retry_after_s;
  const char *body;
  size_t length;
  bool repeated; /* the request was sent more than once */
} httpc_result_t;

typedef void (*httpc_done_t) (void *context, const httpc_result_t *result);

httpc_t *httpc_new (struct ev_loop *loop, const httpc_options_t *options);
/* Ends calls that are still open without calling them back.  */
void httpc_free (httpc_t *client);

/* Starts METHOD URL with a JSON body (BODY may be NULL, is copied).  DONE is
   called once, from the loop, never from inside this function.  Answers over
   16 MiB fail with ERR_TOO_LARGE.  Returns a handle for httpc_cancel, owned by
   CLIENT and invalid once DONE was called.  */
httpc_call_t *httpc_call (httpc_t *client, const char *method, const char *url,
                          const char *body, int64_t limit_ms,
                          httpc_done_t done, void *context);
/* The same with HEADERS, lines "Name: value" that end with a NULL, or NULL;
   copied.  */
httpc_call_t *httpc_call_headers (httpc_t *client, const char *method,
                                  const char *url, const char *const *headers,
                                  const char *body, int64_t limit_ms,
                                  httpc_done_t done, void *context);
void httpc_cancel (httpc_call_t *call);

#endif
