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

   An exchange is one request and its answer.  Requests are matched against a
   table of routes, whose handlers get the whole body in a buffer; a handler
   may answer at once, or keep the exchange and answer later from the event
   loop.  If a streaming handler is set, requests under "/s/" go to it
   instead.  */

typedef struct httpd httpd_t;
typedef struct httpd_exchange httpd_exchange_t;

typedef struct
{
  const char *method; /* as received */
  const char *path;   /* decoded, without query */
  const char *rest;   /* part of path after the route's prefix or "/s/" */
  const char *body;   /* ends with a NUL that is not counted in the length */
  size_t body_length;
} httpd_request_t;

/* REQUEST lives until EXCHANGE is answered.  */
typedef void (*httpd_handler_t) (void *context, httpd_exchange_t *exchange,
                                 const httpd_request_t *request);

typedef struct
{
  const char *method; /* NULL: any */
  const char *prefix; /* exact path, or a prefix if it ends with '/' */
  httpd_handler_t handler;
} httpd_route_t;

/* Streaming handler of the requests under "/s/".  The functions are called by
   the server; they may answer or wake the exchange they are called for.  */
typedef struct
{
  /* The headers have arrived.  Returns the handler's state, or NULL after it
     has answered EXCHANGE.  REQUEST lives until this returns.  */
  void *(*begin) (void *context, httpd_exchange_t *exchange,
                  const httpd_request_t *request);
  /* Takes up to LENGTH bytes of the request body and returns how many.  If it
     takes fewer, no more is read from the caller until httpd_wake.  */
  size_t (*body) (void *state, const char *data, size_t length);
  void (*body_end) (void *state);
  /* Fills INTO with up to ROOM bytes of an answer begun by
     httpd_answer_stream.  Returns their number, 0 if there are none yet (the
     handler calls httpd_wake later), HTTPD_END or HTTPD_CUT.  */
  ssize_t (*read) (void *state, char *into, size_t room);
  /* The exchange has ended and must not be used any more; COMPLETE tells
     whether the whole answer was sent.  Always called once if begin returned a
     state.  */
  void (*closed) (void *state, bool complete);
} httpd_stream_ops_t;

#define HTTPD_END ((ssize_t)-1) /* the answer is complete */
#define HTTPD_CUT ((ssize_t)-2) /* the rest of the answer is lost */

typedef struct
{
  const char *listen;       /* "IP:PORT" */
  uint32_t max_connections; /* connections at once */
  size_t max_header_bytes;  /* bytes of all header lines of a request */
  size_t max_body_bytes;    /* bytes of a buffered body */
} httpd_options_t;

/* Listens.  Returns NULL and sets ERROR if the address cannot be bound.  */
httpd_t *httpd_new (struct ev_loop *loop, const httpd_options_t *options,
                    GError **error);
/* Closes all connections.  Exchanges kept by handlers must not be used any
   more.  */
void httpd_free (httpd_t *server);

/* Adds the rows of ROUTES (ends with a NULL prefix; borrowed, must outlive
   SERVER).  The first row that matches a request is taken.  */
void httpd_add_routes (httpd_t *server, const httpd_route_t *routes,
                       void *context);
void httpd_set_stream (httpd_t *server, const httpd_stream_ops_t *ops,
                       void *context);

/* From now on each answer closes its connection, so that callers move to other
   entries while this one still serves.  */
void httpd_disable_keep_alive (httpd_t *server);
void httpd_enable_keep_alive (httpd_t *server);
/* Stops accepting connections; from now on each answer closes its
   connection.  */
void httpd_stop_accepting (httpd_t *server);
/* Number of requests that have begun and are not yet completely answered.  */
uint32_t httpd_open_exchanges (const httpd_t *server);
/* The port listened on, also if "listen" left the choice to the system.  */
uint16_t httpd_port (const httpd_t *server);

/* The path of EXCHANGE as received: not decoded, with the query.  */
const char *httpd_raw_path (httpd_exchange_t *exchange);

/* Calls EACH for every request header.  */
void httpd_each_header (httpd_exchange_t *exchange,
                        void (*each) (void *context, const char *name,
                                      const char *value),
                        void *context);

/* Adds a header to the answer.  Has to be called before the answer is
   given.  */
void httpd_answer_header (httpd_exchange_t *exchange, const char *name,
                          const char *value);

/* Begins an answer whose body is read with the function read of the streaming
   handler; LENGTH is -1 if unknown.  */
void httpd_answer_stream (httpd_exchange_t *exchange, uint16_t status,
                          int64_t length);

/* Resumes a suspended EXCHANGE: from the event loop, body or read is called
   again, or the answer that was given in the meantime is sent.  */
void httpd_wake (httpd_exchange_t *exchange);

/* Query argument (decoded) or request header of EXCHANGE, NULL if absent.  */
const char *httpd_query (httpd_exchange_t *exchange, const char *name);
const char *httpd_header (httpd_exchange_t *exchange, const char *name);

/* Answers with BODY (copied).  Each exchange is answered exactly once.  */
void httpd_answer (httpd_exchange_t *exchange, uint16_t status,
                   const char *content_type, const char *body, size_t length);

/* Answers with the status of KIND and the JSON object
   {"error","message","outcome"}.  */
void httpd_answer_error (httpd_exchange_t *exchange, err_kind_t kind,
                         const char *message);

#endif
