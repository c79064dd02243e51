#ifndef MAGNOLIADOCK_BYTEPIPE_H
#define MAGNOLIADOCK_BYTEPIPE_H

#include <stdbool.h>
#include <stddef.h>

/* NAME
     bytepipe - bounded byte queue for one direction of a body

   Holds at most BYTEPIPE_LIMIT bytes.  With KEEP set, taken bytes stay, so
   that the body can be read again for a retry; a pipe that may grow past the
   limit cannot be kept.  */

#define BYTEPIPE_LIMIT ((size_t)64 * 1024)

typedef struct
{
  char *data;
  size_t start;    /* first byte kept */
  size_t position; /* next byte to take */
  size_t end;
  size_t capacity;
  bool keep;
  bool ended; /* no more bytes will be put */
  bool cut;   /* the rest is lost: the reader has to fail */
} bytepipe_t;

/* A zeroed bytepipe_t is empty and ready for use.  */
void bytepipe_clear (bytepipe_t *pipe);

/* Appends up to LENGTH bytes of DATA and returns how many fit.  */
size_t bytepipe_put (bytepipe_t *pipe, const char *data, size_t length);

/* Moves up to ROOM bytes to INTO and returns their number.  */
size_t bytepipe_take (bytepipe_t *pipe, char *into, size_t room);

/* Starts reading again from the first byte; with KEEP only.  */
void bytepipe_rewind (bytepipe_t *pipe);

/* Drops the bytes taken so far and keeps no more.  */
void bytepipe_release (bytepipe_t *pipe);

/* Bytes that can be taken, and bytes that can be put.  */
size_t bytepipe_unread (const bytepipe_t *pipe);
size_t bytepipe_room (const bytepipe_t *pipe);

#endif
