#ifndef MAGNOLIADOCK_HTTP_REPLY_H
#define MAGNOLIADOCK_HTTP_REPLY_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* NAME
     http_reply - reads an HTTP/1.1 reply as its bytes arrive (RFC 9112)

   Interim replies (1xx) and trailers are read and dropped.  Without a length
   the body ends with the connection.  */

typedef enum
{
  HTTP_REPLY_MORE,     /* needs more bytes */
  HTTP_REPLY_COMPLETE, /* the whole reply has been read */
  HTTP_REPLY_INVALID,  /* not an HTTP/1.1 reply, or its head is too long */
  HTTP_REPLY_TOO_LARGE /* the body is longer than allowed */
} http_reply_status_t;

typedef enum
{
  HTTP_REPLY_IN_HEAD,
  HTTP_REPLY_IN_BODY, /* LEFT bytes to come, or those until the end */
  HTTP_REPLY_IN_CHUNK_LINE,
  HTTP_REPLY_IN_CHUNK,
  HTTP_REPLY_IN_CHUNK_END,
  HTTP_REPLY_IN_TRAILER
} http_reply_part_t;

typedef struct
{
  uint16_t status;
  uint32_t retry_after_s; /* 0: none */
  bool keeps_connection;  /* another request may follow on the connection */
  GString *body;          /* owned */
  GString *line;          /* owned; the line that is being read */
  http_reply_part_t part;
  bool has_status, has_length, is_chunked, is_head;
  uint64_t left; /* bytes of the body or chunk that are to come */
  uint64_t max_body_bytes;
  uint32_t head_bytes;
} http_reply_t;

/* IS_HEAD: the request was a HEAD, whose reply has no body.  */
void http_reply_init (http_reply_t *reply, bool is_head,
                      uint64_t max_body_bytes);
void http_reply_clear (http_reply_t *reply);
/* Reads LENGTH bytes.  Bytes after the end of the reply make it one that does
   not keep the connection.  */
http_reply_status_t http_reply_feed (http_reply_t *reply, const char *data,
                                     size_t length);
/* The connection has ended.  Returns whether the reply is complete.  */
bool http_reply_end (http_reply_t *reply);

#endif
