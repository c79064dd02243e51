#ifndef MAGNOLIADOCK_HTTPD_H
#define MAGNOLIADOCK_HTTPD_H

#include "error.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* NAME
     httpd - HTTP server on libmicrohttpd and libev

   Routes whose body is buffered (operators' API) are rows of a table.  A
   handler may answer at once or keep the exchange and answer later from the
   loop.  Requests under "/s/" go to the streaming handler instead.  */

typedef struct httpd httpd_t;
typedef struct httpd_exchange httpd_exchange_t;

typedef struct
{
  const char *method; /* as received */
  const char *path;   /* decoded, without query */
  const char *rest;   /* part of path after the route's prefix */
  const char *body;   /* ends with a NUL that LENGTH does not count */
  size_t length;
} httpd_request_t;

/* REQUEST lives until httpd_answer* is called for EXCHANGE.  */
typedef void (*httpd_handler_t) (void *context, httpd_exchange_t *exchange,
                                 const httpd_request_t *request);

typedef struct
{
  const char *method; /* NULL: any */
  const char *prefix; /* exact path, or a prefix if it ends with '/' */
  httpd_handler_t handler;
} httpd_route_t;

/* Streaming handler of the requests under "/s/".  All functions run inside the
   server; they may answer or wake the exchange they are called for.  */
typedef struct
{
  /* The headers have arrived.  Returns the handler's state, or NULL after it
     has answered EXCHANGE.  REQUEST lives until this returns.  */
  void *(*begin) (void *context, httpd_exchange_t *exchange,
                  const httpd_request_t *request);
  /* Takes up to LENGTH bytes of the request body and returns how many.  If it
     takes fewer, the caller is held back until httpd_wake.  */
  size_t (*body) (void *state, const char *data, size_t length);
  void (*body_end) (void *state);
  /* Fills INTO with up to ROOM bytes of an answer begun by
     httpd_answer_stream.  Returns their number, 0 if none is there yet (call
     httpd_wake later), HTTPD_END or HTTPD_CUT.  */
  ssize_t (*read) (void *state, char *into, size_t room);
  /* The exchange is over and its handle invalid; COMPLETE tells whether the
     whole answer went out.  Always called once if begin returned a state.  */
  void (*closed) (void *state, bool complete);
} httpd_stream_ops_t;

#define HTTPD_END ((ssize_t)-1)
#define HTTPD_CUT ((ssize_t)-2)

typedef struct
{
  const char *listen; /* "IP:PORT" */
  uint32_t connection_limit;
  size_t header_limit; /* bytes of all header lines of a request */
  size_t body_limit;   /* bytes of a buffered body */
} httpd_options_t;

/* Listens.  Returns NULL and sets ERROR if the address cannot be bound.  */
httpd_t *httpd_new (struct ev_loop *loop, const httpd_options_t *options,
                    GError **error);
/* Ends all connections.  Exchanges kept by handlers become invalid.  */
void httpd_free (httpd_t *server);

/* Adds the rows of ROUTES (ends with a NULL prefix; stays the caller's and
   outlives SERVER).  The first row that matches wins.  */
void httpd_add_routes (httpd_t *server, const httpd_route_t *routes,
                       void *context);
void httpd_set_stream (httpd_t *server, const httpd_stream_ops_t *ops,
                       void *context);

/* Answers from now on end their connection, so that callers move to other
   entries while this one still serves.  */
void httpd_end_connections (httpd_t *server);
/* Answers leave their connection open again.  */
void httpd_keep_connections (httpd_t *server);
/* Stops accepting connections; answers from now on end their connection.  */
void httpd_stop_accepting (httpd_t *server);
/* Requests that have begun and are not yet answered in whole.  */
uint32_t httpd_open_exchanges (const httpd_t *server);
/* The port listened on.  */
uint16_t httpd_port (const httpd_t *server);

/* The path as received: not decoded, with the query.  */
const char *httpd_raw_path (httpd_exchange_t *exchange);

/* Calls EACH for every request header.  */
void httpd_each_header (httpd_exchange_t *exchange,
                        void (*each) (void *context, const char *name,
                                      const char *value),
                        void *context);

/* Adds a header to the answer; before httpd_answer* only.  */
void httpd_answer_header (httpd_exchange_t *exchange, const char *name,
                          const char *value);

/* Begins an answer whose body comes from the read function; LENGTH is -1 if
   unknown.  */
void httpd_answer_stream (httpd_exchange_t *exchange, uint16_t status,
                          int64_t length);

/* Calls body or read of EXCHANGE again from the loop.  */
void httpd_wake (httpd_exchange_t *exchange);

/* Query argument or request header of EXCHANGE, NULL if absent.  */
const char *httpd_query (httpd_exchange_t *exchange, const char *name);
const char *httpd_header (httpd_exchange_t *exchange, const char *name);

/* Answers with BODY (copied).  Each exchange is answered exactly once.  */
void httpd_answer (httpd_exchange_t *exchange, uint16_t status,
                   const char *content_type, const char *body, size_t length);

/* Answers with the status of KIND and {"error","message","outcome"}.  */
void httpd_answer_error (httpd_exchange_t *exchange, err_kind_t kind,
                         const char *message);

#endif
