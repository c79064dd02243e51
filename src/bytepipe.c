#include "bytepipe.h"

#include <glib.h>
#include <string.h>

#define INITIAL_CAPACITY_BYTES 2048

void
bytepipe_clear (bytepipe_t *pipe)
{
  g_free (pipe->data);
  *pipe = (bytepipe_t){ 0 };
}

size_t
bytepipe_unread (const bytepipe_t *pipe)
{
  return pipe->end - pipe->position;
}

size_t
bytepipe_room (const bytepipe_t *pipe)
{
  return BYTEPIPE_MAX_BYTES - (pipe->end - pipe->start);
}

/* Makes space in DATA for LENGTH more bytes.  */
static void
ensure_capacity (bytepipe_t *pipe, size_t length)
{
  if (pipe->end + length <= pipe->capacity)
    return;
  if (pipe->start > 0)
    {
      memmove (pipe->data, pipe->data + pipe->start, pipe->end - pipe->start);
      pipe->position -= pipe->start;
      pipe->end -= pipe->start;
      pipe->start = 0;
    }
  if (pipe->end + length <= pipe->capacity)
    return;
  size_t capacity = MAX (pipe->capacity, INITIAL_CAPACITY_BYTES);
  while (capacity < pipe->end + length)
    capacity *= 2;
  pipe->data = g_realloc (pipe->data, capacity);
  pipe->capacity = capacity;
}

size_t
bytepipe_put (bytepipe_t *pipe, const char *data, size_t length)
{
  length = MIN (length, bytepipe_room (pipe));
  if (length == 0)
    return 0;
  ensure_capacity (pipe, length);
  memcpy (pipe->data + pipe->end, data, length);
  pipe->end += length;
  return length;
}

size_t
bytepipe_take (bytepipe_t *pipe, char *buffer, size_t size)
{
  size_t length = MIN (size, bytepipe_unread (pipe));
  if (length == 0)
    return 0;
  memcpy (buffer, pipe->data + pipe->position, length);
  pipe->position += length;
  if (!pipe->keep)
    bytepipe_release (pipe);
  return length;
}

void
bytepipe_rewind (bytepipe_t *pipe)
{
  pipe->position = pipe->start;
}

void
bytepipe_release (bytepipe_t *pipe)
{
  pipe->keep = false;
  pipe->start = pipe->position;
  if (pipe->start == pipe->end)
    pipe->start = pipe->position = pipe->end = 0;
}
