#include "log.h"
#include "proxy.h"
#include "proxy_internal.h"

#include <string.h>

/* The caller's side of requests that arrive over HTTP under "/s/".  */

#define DEFAULT_TIMEOUT_MS 10000
#define MAX_TIMEOUT_MS 60000
#define MAX_NAME_BYTES 64
#define MAX_REQUEST_ID_BYTES 128

/* Whether TEXT has 1 to LIMIT characters, each a letter, a digit or one of
   "._-:@/".  */
static bool
is_name (const char *text, size_t length, size_t limit)
{
  if (length == 0 || length > limit)
    return false;
  for (size_t i = 0; i < length; i++)
    if (!g_ascii_isalnum (text[i]) && strchr ("._-:@/", text[i]) == NULL)
      return false;
  return true;
}

static void
refuse_exchange (httpd_exchange_t *exchange, err_kind_t kind,
                 const char *message)
{
  httpd_answer_header (exchange, "X-Magnoliadock-Outcome",
                       outcome_name (OUTCOME_NOT_RUN));
  httpd_answer_header (exchange, "X-Magnoliadock-Reason", err_name (kind));
  httpd_answer_error (exchange, kind, message);
}

/* Sets service and path of RELAY from RAW, "/s/SERVICE/PATH" as received.
   Returns NULL, or a static message if RAW is malformed.  */
static const char *
read_path (relay_t *relay, const char *raw)
{
  if (strncmp (raw, "/s/", 3) != 0)
    return "the path must begin with /s/SERVICE/";
  const char *service = raw + 3;
  size_t length = strcspn (service, "/?");
  if (!is_name (service, length, MAX_NAME_BYTES))
    return "the service name must have 1 to 64 letters, digits, '.', '_' "
           "or '-'";
  for (const char *at = service + length; *at; at++)
    if (*at <= ' ' || *at >= 0x7f)
      return "the path contains a character that must be percent-encoded";
  relay->service = g_strndup (service, length);
  const char *rest = service + length;
  relay->path
      = rest[0] == '/' ? g_strdup (rest) : g_strconcat ("/", rest, NULL);
  return NULL;
}

static bool
is_idempotent_method (const char *method)
{
  static const char *const methods[]
      = { "GET", "HEAD", "PUT", "DELETE", "OPTIONS" };
  for (size_t i = 0; i < G_N_ELEMENTS (methods); i++)
    if (strcmp (methods[i], method) == 0)
      return true;
  return false;
}

/* Sets fields of RELAY from the X-Magnoliadock-* headers, or their defaults.
   Returns NULL, or a static message if a header is malformed.  */
static const char *
read_own_headers (relay_t *relay, httpd_exchange_t *exchange)
{
  static const char *const classes[] = { "urgent", "standard", "bulk" };
  const char *value = httpd_header (exchange, "X-Magnoliadock-Class");
  relay->class = CLASS_STANDARD;
  if (value != NULL)
    {
      unsigned i = 0;
      while (i < CLASS_COUNT && strcmp (classes[i], value) != 0)
        i++;
      if (i == CLASS_COUNT)
        return "X-Magnoliadock-Class must be urgent, standard or bulk";
      relay->class = (class_t)i;
    }
  value = httpd_header (exchange, "X-Magnoliadock-Team");
  if (value != NULL && !is_name (value, strlen (value), MAX_NAME_BYTES))
    return "X-Magnoliadock-Team must be a name of 1 to 64 characters";
  relay->team = g_strdup (value ? value : "none");
  value = httpd_header (exchange, "X-Magnoliadock-Idempotent");
  if (value != NULL && strcmp (value, "true") != 0
      && strcmp (value, "false") != 0)
    return "X-Magnoliadock-Idempotent must be true or false";
  relay->idempotent = value != NULL ? strcmp (value, "true") == 0
                                    : is_idempotent_method (relay->method);
  value = httpd_header (exchange, "X-Magnoliadock-Deadline-Ms");
  guint64 timeout_ms = DEFAULT_TIMEOUT_MS;
  if (value != NULL
      && !g_ascii_string_to_unsigned (value, 10, 1, MAX_TIMEOUT_MS,
                                      &timeout_ms, NULL))
    return "X-Magnoliadock-Deadline-Ms must be a number from 1 to 60000";
  relay->received_ms = clk_now_ms (proxy_options (relay->proxy)->clock);
  relay->deadline_ms = relay->received_ms + (int64_t)timeout_ms;
  value = httpd_header (exchange, "X-Magnoliadock-Request-Id");
  if (value != NULL && !is_name (value, strlen (value), MAX_REQUEST_ID_BYTES))
    return "X-Magnoliadock-Request-Id must be a name of 1 to 128 characters";
  relay->caller_chose_id = value != NULL;
  relay->request_id
      = value != NULL
            ? g_strdup (value)
            : g_strdup_printf ("%s-%" G_GUINT64_FORMAT,
                               proxy_options (relay->proxy)->self, relay->id);
  return NULL;
}

static void
add_request_header (void *context, const char *name, const char *value)
{
  static const char own_prefix[] = "X-Magnoliadock-";
  relay_t *relay = context;
  if (relay_is_hop_by_hop_header (name)
      || g_ascii_strncasecmp (name, own_prefix, sizeof own_prefix - 1) == 0
      || g_ascii_strcasecmp (name, "X-Request-Id") == 0
      || g_ascii_strcasecmp (name, "X-Deadline-Ms") == 0
      || g_ascii_strcasecmp (name, "X-Idempotent") == 0)
    return;
  /* libcurl takes "Name:" as an order to leave the header out; "Name;" sends
     it with an empty value.  */
  g_ptr_array_add (relay->headers, value[0] != '\0'
                                       ? g_strconcat (name, ": ", value, NULL)
                                       : g_strconcat (name, ";", NULL));
}

static void
on_answer_ready (relay_t *relay)
{
  httpd_exchange_t *exchange = relay->caller_state;
  if (exchange == NULL)
    return;
  if (relay->headers_passed_on)
    {
      httpd_wake (exchange);
      return;
    }
  relay->headers_passed_on = true;
  GPtrArray *headers = relay->answer_headers;
  for (guint i = 0; i + 1 < headers->len; i += 2)
    httpd_answer_header (exchange, headers->pdata[i], headers->pdata[i + 1]);
  httpd_answer_header (exchange, "X-Magnoliadock-Outcome",
                       outcome_name (relay->outcome));
  if (relay->own_answer)
    httpd_answer_header (exchange, "X-Magnoliadock-Reason",
                         err_name (relay->reason));
  httpd_answer_header (exchange, "X-Magnoliadock-Entry",
                       proxy_options (relay->proxy)->self);
  httpd_answer_header (exchange, "X-Magnoliadock-Request-Id",
                       relay->request_id);
  const bytepipe_t *answer = &relay->answer;
  if (strcmp (relay->method, "HEAD") == 0 || !answer->ended
      || relay->streaming)
    httpd_answer_stream (exchange, relay->status, relay->answer_length);
  else
    httpd_answer (exchange, relay->status, NULL,
                  answer->data ? answer->data + answer->position : "",
                  bytepipe_unread (answer));
}

static void
on_body_room (relay_t *relay)
{
  httpd_wake (relay->caller_state);
}

static const relay_caller_ops_t caller_ops = { on_answer_ready, on_body_room };

static void *
on_begin (void *context, httpd_exchange_t *exchange,
          const httpd_request_t *request)
{
  proxy_t *proxy = context;
  relay_t *relay = relay_new (proxy, &caller_ops, exchange);
  relay->method = g_strdup (request->method);
  const char *problem = read_path (relay, httpd_raw_path (exchange));
  if (problem == NULL)
    problem = read_own_headers (relay, exchange);
  if (problem == NULL
      && (!is_name (request->method, strlen (request->method), 16)
          || strcmp (request->method, "CONNECT") == 0
          || strcmp (request->method, "TRACE") == 0))
    problem = "this HTTP method is not supported";
  if (problem != NULL)
    {
      refuse_exchange (exchange, ERR_BAD_REQUEST, problem);
      relay_drop (relay);
      return NULL;
    }
  const char *length = httpd_header (exchange, "Content-Length");
  relay->has_body
      = length != NULL || httpd_header (exchange, "Transfer-Encoding") != NULL;
  if (length != NULL)
    relay->body_length = g_ascii_strtoll (length, NULL, 10);
  httpd_each_header (exchange, add_request_header, relay);
  return relay;
}

static size_t
on_body (void *state, const char *data, size_t length)
{
  return relay_body_put (state, data, length);
}

static void
on_body_end (void *state)
{
  relay_body_end (state);
}

static ssize_t
on_read (void *state, char *into, size_t room)
{
  relay_t *relay = state;
  size_t taken = relay_answer_take (relay, into, room);
  if (taken > 0)
    return (ssize_t)taken;
  if (relay->answer.cut)
    return HTTPD_CUT;
  return relay->answer.ended ? HTTPD_END : 0;
}

static void
on_closed (void *state, bool complete)
{
  relay_caller_closed (state);
}

const httpd_stream_ops_t callers_stream_ops
    = { on_begin, on_body, on_body_end, on_read, on_closed };
