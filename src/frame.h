#ifndef MAGNOLIADOCK_FRAME_H
#define MAGNOLIADOCK_FRAME_H

#include "peer.pb-c.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/* NAME
     frame - length-prefixed protobuf frames between entries

   A frame is the length of a Frame message, as 4 bytes in network order, and
   that message.  Length 0 and lengths above FRAME_MAX_BYTES are errors.  */

#define FRAME_MAX_BYTES (1024 * 1024)

typedef Magnoliadock__Frame frame_t;

typedef struct
{
  GByteArray *bytes;
  size_t start; /* first byte that is not yet decoded */
} frame_reader_t;

typedef enum
{
  FRAME_INCOMPLETE, /* no complete frame yet */
  FRAME_READY,
  FRAME_INVALID /* the connection has to be closed */
} frame_result_t;

void frame_reader_init (frame_reader_t *reader);
void frame_reader_clear (frame_reader_t *reader);

/* Adds received bytes.  */
void frame_reader_feed (frame_reader_t *reader, const void *data,
                        size_t length);

/* Decodes the next frame into *FRAME, owned by the caller (frame_free).  Skips
   frames without a known body, which come from newer versions.  */
frame_result_t frame_reader_next (frame_reader_t *reader, frame_t **frame);
void frame_free (frame_t *frame);

/* Appends FRAME to OUT.  Returns false, and appends nothing, if it is larger
   than FRAME_MAX_BYTES.  */
bool frame_append (GByteArray *out, const frame_t *frame);

#endif
