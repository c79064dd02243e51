#include "frame.h"

#include <arpa/inet.h>
#include <string.h>

#define PREFIX_BYTES 4
/* Decoded bytes are removed from the buffer once there are this many.  */
#define COMPACT_AFTER_BYTES (64 * 1024)

void
frame_reader_init (frame_reader_t *reader)
{
  reader->bytes = g_byte_array_new ();
  reader->start = 0;
}

void
frame_reader_clear (frame_reader_t *reader)
{
  if (reader->bytes != NULL)
    g_byte_array_unref (reader->bytes);
  reader->bytes = NULL;
  reader->start = 0;
}

void
frame_reader_feed (frame_reader_t *reader, const void *data, size_t length)
{
  if (reader->start == reader->bytes->len)
    {
      g_byte_array_set_size (reader->bytes, 0);
      reader->start = 0;
    }
  else if (reader->start >= COMPACT_AFTER_BYTES)
    {
      g_byte_array_remove_range (reader->bytes, 0, (guint)reader->start);
      reader->start = 0;
    }
  g_byte_array_append (reader->bytes, data, (guint)length);
}

/* Returns whether no string in MESSAGE holds a control character other than
   tab.  protobuf-c accepts any bytes in a string, and names and headers must
   not carry control characters into logs or HTTP.  UTF-8 is not checked.  */
static bool
has_no_control_chars (const ProtobufCMessage *message)
{
  const ProtobufCMessageDescriptor *descriptor = message->descriptor;
  for (unsigned i = 0; i < descriptor->n_fields; i++)
    {
      const ProtobufCFieldDescriptor *field = &descriptor->fields[i];
      const char *address = (const char *)message + field->offset;
      size_t count = 1;
      const void *values = address;
      if (field->type != PROTOBUF_C_TYPE_STRING
          && field->type != PROTOBUF_C_TYPE_MESSAGE)
        continue;
      if (field->label == PROTOBUF_C_LABEL_REPEATED)
        {
          memcpy (&count, (const char *)message + field->quantifier_offset,
                  sizeof count);
          memcpy (&values, address, sizeof values);
        }
      else if ((field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0)
        {
          uint32_t set;
          memcpy (&set, (const char *)message + field->quantifier_offset,
                  sizeof set);
          if (set != field->id)
            continue;
        }
      for (size_t n = 0; n < count; n++)
        {
          const void *value;
          memcpy (&value, (const char *)values + n * sizeof value,
                  sizeof value);
          if (value == NULL)
            continue;
          if (field->type == PROTOBUF_C_TYPE_MESSAGE)
            {
              if (!has_no_control_chars (value))
                return false;
              continue;
            }
          for (const char *at = value; *at; at++)
            if ((unsigned char)*at < ' ' && *at != '\t')
              return false;
        }
    }
  return true;
}

frame_result_t
frame_reader_next (frame_reader_t *reader, frame_t **frame)
{
  while (true)
    {
      size_t available = reader->bytes->len - reader->start;
      const uint8_t *start = reader->bytes->data + reader->start;
      uint32_t length;
      if (available < PREFIX_BYTES)
        return FRAME_INCOMPLETE;
      memcpy (&length, start, PREFIX_BYTES);
      length = ntohl (length);
      if (length == 0 || length > FRAME_MAX_BYTES)
        return FRAME_INVALID;
      if (available < PREFIX_BYTES + (size_t)length)
        return FRAME_INCOMPLETE;
      frame_t *decoded
          = magnoliadock__frame__unpack (NULL, length, start + PREFIX_BYTES);
      reader->start += PREFIX_BYTES + (size_t)length;
      if (decoded == NULL)
        return FRAME_INVALID;
      if (!has_no_control_chars (&decoded->base))
        {
          frame_free (decoded);
          return FRAME_INVALID;
        }
      if (decoded->body_case != MAGNOLIADOCK__FRAME__BODY__NOT_SET)
        {
          *frame = decoded;
          return FRAME_READY;
        }
      frame_free (decoded);
    }
}

void
frame_free (frame_t *frame)
{
  magnoliadock__frame__free_unpacked (frame, NULL);
}

bool
frame_append (GByteArray *out, const frame_t *frame)
{
  size_t length = magnoliadock__frame__get_packed_size (frame);
  if (length == 0 || length > FRAME_MAX_BYTES)
    return false;
  guint before = out->len;
  uint32_t prefix = htonl ((uint32_t)length);
  g_byte_array_set_size (out, before + PREFIX_BYTES + (guint)length);
  memcpy (out->data + before, &prefix, PREFIX_BYTES);
  magnoliadock__frame__pack (frame, out->data + before + PREFIX_BYTES);
  return true;
}
