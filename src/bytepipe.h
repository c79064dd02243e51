#ifndef MAGNOLIADOCK_BYTEPIPE_H
#define MAGNOLIADOCK_BYTEPIPE_H

#include <stdbool.h>
#include <stddef.h>

/* NAME
     bytepipe - bounded byte queue for the body of a request or answer

   Holds at most BYTEPIPE_MAX_BYTES bytes.  With KEEP set, taken bytes stay in
   the queue, so that the body can be read again for a retry.  Kept bytes count
   towards the limit, so a larger body cannot be kept.  */

#define BYTEPIPE_MAX_BYTES ((size_t)64 * 1024)

typedef struct
{
  char *data;
  size_t start;    /* first byte that is held */
  size_t position; /* next byte to take */
  size_t end;      /* after the last byte */
  size_t capacity; /* size of DATA */
  bool keep;
  bool ended; /* no more bytes will be put */
  bool cut;   /* the rest is lost: the reader has to fail */
} bytepipe_t;

/* A zeroed bytepipe_t is empty and ready for use.  */
void bytepipe_clear (bytepipe_t *pipe);

/* Appends up to LENGTH bytes of DATA and returns how many fit.  */
size_t bytepipe_put (bytepipe_t *pipe, const char *data, size_t length);

/* Takes up to SIZE bytes, copies them to BUFFER and returns their number.  */
size_t bytepipe_take (bytepipe_t *pipe, char *buffer, size_t size);

/* Starts reading again from the first byte.  Requires KEEP.  */
void bytepipe_rewind (bytepipe_t *pipe);

/* Drops the bytes taken so far and clears KEEP.  */
void bytepipe_release (bytepipe_t *pipe);

/* Returns how many bytes can be taken.  */
size_t bytepipe_unread (const bytepipe_t *pipe);
/* Returns how many bytes can be put.  */
size_t bytepipe_room (const bytepipe_t *pipe);

#endif
