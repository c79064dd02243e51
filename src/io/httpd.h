#ifndef MAGNOLIADOCK_HTTPD_H
#define MAGNOLIADOCK_HTTPD_H

#include "error.h"

#include <ev.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

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
