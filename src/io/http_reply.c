#include "http_reply.h"

#include <string.h>

#define MAX_HEAD_BYTES (64 * 1024)
#define FIRST_FINAL_STATUS 200

void
http_reply_init (http_reply_t *reply, bool is_head, uint64_t max_body_bytes)
{
  *reply = (http_reply_t){ .body = g_string_new (NULL),
                           .line = g_string_new (NULL),
                           .is_head = is_head,
                           .max_body_bytes = max_body_bytes };
}

void
http_reply_clear (http_reply_t *reply)
{
  g_string_free (reply->body, TRUE);
  g_string_free (reply->line, TRUE);
}

static bool
read_status_line (http_reply_t *reply, const char *line)
{
  static const char version[] = "HTTP/1.";
  const size_t digits_at = strlen ("HTTP/1.1 ");
  if (!g_str_has_prefix (line, version) || strlen (line) < digits_at + 3
      || line[digits_at - 1] != ' ')
    return false;
  uint32_t status = 0;
  for (size_t i = digits_at; i < digits_at + 3; i++)
    {
      if (!g_ascii_isdigit (line[i]))
        return false;
      status = status * 10 + (uint32_t)g_ascii_digit_value (line[i]);
    }
  reply->status = (uint16_t)status;
  reply->keeps_connection = line[strlen (version)] != '0';
  reply->has_status = true;
  return true;
}

/* Returns the value if LINE is the header NAME, else NULL.  */
static const char *
header_value (const char *line, const char *name)
{
  size_t length = strlen (name);
  if (g_ascii_strncasecmp (line, name, length) != 0 || line[length] != ':')
    return NULL;
  line += length + 1;
  return line + strspn (line, " \t");
}

static bool
read_header (http_reply_t *reply, const char *line)
{
  const char *value = header_value (line, "Content-Length");
  if (value != NULL)
    {
      char *end = NULL;
      reply->left = g_ascii_strtoull (value, &end, 10);
      reply->has_length = true;
      return g_ascii_isdigit (value[0]) && *end == '\0';
    }
  value = header_value (line, "Transfer-Encoding");
  if (value != NULL)
    {
      reply->is_chunked = g_ascii_strcasecmp (value, "chunked") == 0;
      return reply->is_chunked;
    }
  value = header_value (line, "Connection");
  if (value != NULL && g_ascii_strncasecmp (value, "close", 5) == 0)
    reply->keeps_connection = false;
  value = header_value (line, "Retry-After");
  if (value != NULL && g_ascii_isdigit (value[0]))
    reply->retry_after_s
        = (uint32_t)MIN (g_ascii_strtoull (value, NULL, 10), G_MAXUINT32);
  return true;
}

static http_reply_status_t
end_head (http_reply_t *reply)
{
  if (!reply->has_status)
    return HTTP_REPLY_INVALID;
  if (reply->status < FIRST_FINAL_STATUS)
    {
      reply->has_status = reply->has_length = reply->is_chunked = false;
      return HTTP_REPLY_MORE;
    }
  const uint16_t no_content = 204;
  const uint16_t not_modified = 304;
  if (reply->is_head || reply->status == no_content
      || reply->status == not_modified)
    return HTTP_REPLY_COMPLETE;
  if (reply->is_chunked)
    {
      reply->part = HTTP_REPLY_IN_CHUNK_LINE;
      return HTTP_REPLY_MORE;
    }
  reply->part = HTTP_REPLY_IN_BODY;
  if (!reply->has_length)
    {
      reply->keeps_connection = false;
      reply->left = G_MAXUINT64;
      return HTTP_REPLY_MORE;
    }
  if (reply->left > reply->max_body_bytes)
    return HTTP_REPLY_TOO_LARGE;
  return reply->left == 0 ? HTTP_REPLY_COMPLETE : HTTP_REPLY_MORE;
}

static http_reply_status_t
read_chunk_line (http_reply_t *reply, const char *line)
{
  const guint hexadecimal = 16;
  char *end = NULL;
  reply->left = g_ascii_strtoull (line, &end, hexadecimal);
  if (!g_ascii_isxdigit (line[0])
      || (*end != '\0' && *end != ';' && *end != ' '))
    return HTTP_REPLY_INVALID;
  if (reply->left > reply->max_body_bytes)
    return HTTP_REPLY_TOO_LARGE;
  reply->part = reply->left == 0 ? HTTP_REPLY_IN_TRAILER : HTTP_REPLY_IN_CHUNK;
  return HTTP_REPLY_MORE;
}

/* Handles the line that has been read, without its line end.  */
static http_reply_status_t
end_line (http_reply_t *reply, const char *line)
{
  switch (reply->part)
    {
    case HTTP_REPLY_IN_HEAD:
      if (line[0] == '\0')
        return end_head (reply);
      if (reply->has_status ? read_header (reply, line)
                            : read_status_line (reply, line))
        return HTTP_REPLY_MORE;
      return HTTP_REPLY_INVALID;
    case HTTP_REPLY_IN_CHUNK_LINE:
      return read_chunk_line (reply, line);
    case HTTP_REPLY_IN_CHUNK_END:
      reply->part = HTTP_REPLY_IN_CHUNK_LINE;
      return line[0] == '\0' ? HTTP_REPLY_MORE : HTTP_REPLY_INVALID;
    default:
      return line[0] == '\0' ? HTTP_REPLY_COMPLETE : HTTP_REPLY_MORE;
    }
}

/* Reads from a line.  Returns the number of bytes read.  */
static size_t
feed_line (http_reply_t *reply, const char *data, size_t length,
           http_reply_status_t *status)
{
  const char *end = memchr (data, '\n', length);
  size_t used = end != NULL ? (size_t)(end - data) + 1 : length;
  g_string_append_len (reply->line, data, (gssize)used);
  reply->head_bytes += (uint32_t)used;
  *status = HTTP_REPLY_MORE;
  if (reply->line->len > MAX_HEAD_BYTES
      || (reply->part == HTTP_REPLY_IN_HEAD
          && reply->head_bytes > MAX_HEAD_BYTES))
    *status = HTTP_REPLY_INVALID;
  else if (end != NULL)
    {
      GString *line = reply->line;
      gsize text = line->len - 1;
      if (text > 0 && line->str[text - 1] == '\r')
        text--;
      g_string_truncate (line, text);
      *status = end_line (reply, line->str);
      g_string_truncate (line, 0);
    }
  return used;
}

/* Reads from the body or a chunk.  Returns the number of bytes read.  */
static size_t
feed_body (http_reply_t *reply, const char *data, size_t length,
           http_reply_status_t *status)
{
  size_t used = (size_t)MIN (reply->left, length);
  *status = HTTP_REPLY_MORE;
  if (reply->body->len + used > reply->max_body_bytes)
    {
      *status = HTTP_REPLY_TOO_LARGE;
      return used;
    }
  g_string_append_len (reply->body, data, (gssize)used);
  if (reply->left != G_MAXUINT64)
    reply->left -= used;
  if (reply->left > 0)
    return used;
  if (reply->part == HTTP_REPLY_IN_CHUNK)
    reply->part = HTTP_REPLY_IN_CHUNK_END;
  else
    *status = HTTP_REPLY_COMPLETE;
  return used;
}

http_reply_status_t
http_reply_feed (http_reply_t *reply, const char *data, size_t length)
{
  http_reply_status_t status = HTTP_REPLY_MORE;
  size_t at = 0;
  while (at < length && status == HTTP_REPLY_MORE)
    {
      bool in_body = reply->part == HTTP_REPLY_IN_BODY
                     || reply->part == HTTP_REPLY_IN_CHUNK;
      at += (in_body ? feed_body : feed_line) (reply, data + at, length - at,
                                               &status);
    }
  if (at < length)
    reply->keeps_connection = false;
  return status;
}

bool
http_reply_end (http_reply_t *reply)
{
  reply->keeps_connection = false;
  return reply->part == HTTP_REPLY_IN_BODY && !reply->has_length;
}
