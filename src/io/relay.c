#include "relay.h"

#include "log.h"
#include "proxy.h"
#include "proxy_internal.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

bool
relay_is_hop_by_hop_header (const char *name)
{
  /* This runs for every header, so the cheap check of the length comes first.
     The rows are sorted by length.  */
  static const struct
  {
    size_t length;
    const char *name;
  } rows[] = { { 2, "TE" },
               { 4, "Host" },
               { 6, "Expect" },
               { 7, "Trailer" },
               { 7, "Upgrade" },
               { 10, "Connection" },
               { 10, "Keep-Alive" },
               { 14, "Content-Length" },
               { 16, "Proxy-Connection" },
               { 17, "Transfer-Encoding" },
               { 18, "Proxy-Authenticate" },
               { 19, "Proxy-Authorization" } };
  size_t length = strlen (name);
  for (size_t i = 0; i < G_N_ELEMENTS (rows) && rows[i].length <= length; i++)
    if (rows[i].length == length
        && g_ascii_strcasecmp (rows[i].name, name) == 0)
      return true;
  return false;
}

relay_t *
relay_new (proxy_t *proxy, const relay_caller_ops_t *ops, void *caller_state)
{
  relay_t *relay = g_new0 (relay_t, 1);
  relay->proxy = proxy;
  relay->caller_ops = ops;
  relay->caller_state = caller_state;
  relay->body.keep = true;
  relay->body_length = -1;
  relay->answer_length = -1;
  relay->headers = g_ptr_array_new_with_free_func (g_free);
  relay->answer_headers = g_ptr_array_new_with_free_func (g_free);
  proxy_add (proxy, relay);
  return relay;
}

static void
relay_free (relay_t *relay)
{
  proxy_remove (relay->proxy, relay);
  bytepipe_clear (&relay->body);
  bytepipe_clear (&relay->answer);
  g_ptr_array_unref (relay->headers);
  g_ptr_array_unref (relay->answer_headers);
  g_free (relay->request_id);
  g_free (relay->service);
  g_free (relay->team);
  g_free (relay->method);
  g_free (relay->path);
  g_free (relay);
}

void
relay_add_answer_header (relay_t *relay, const char *name, const char *value)
{
  g_ptr_array_add (relay->answer_headers, g_strdup (name));
  g_ptr_array_add (relay->answer_headers, g_strdup (value));
}

void
relay_submit (relay_t *relay, uint64_t origin_incarnation, uint64_t origin_id)
{
  dispatch_request_t request = {
    .id = relay->id,
    .service = relay->service,
    .team = relay->team,
    .class = relay->class,
    .idempotent = relay->idempotent,
    .replayable = true,
    .handed_over = origin_incarnation != 0,
    .deadline_ms = relay->deadline_ms,
    .request_id = relay->caller_chose_id ? relay->request_id : NULL,
    .origin_incarnation = origin_incarnation,
    .origin_id = origin_id,
  };
  relay->submitted = true;
  relay->handed_over = origin_incarnation != 0;
  dispatch_submit (proxy_dispatch (relay->proxy), &request);
}

static void
notify_answer_ready (relay_t *relay)
{
  if (relay->caller_ops != NULL)
    relay->caller_ops->answer_ready (relay);
}

/* Discards what has arrived of an answer that was not passed on.  */
static void
reset_answer (relay_t *relay)
{
  bytepipe_clear (&relay->answer);
  g_ptr_array_set_size (relay->answer_headers, 0);
  relay->answer_begun = false;
  relay->answer_length = -1;
  relay->status = 0;
}

static void
record_end (relay_t *relay, err_kind_t kind, outcome_t outcome)
{
  relay->decided = true;
  relay->reason = kind;
  relay->outcome = outcome;
  proxy_record_end (relay->proxy, relay);
  if (kind == ERR_OK)
    return;
  char after_ms[24];
  g_snprintf (after_ms, sizeof after_ms, "%" G_GINT64_FORMAT,
              clk_now_ms (proxy_options (relay->proxy)->clock)
                  - relay->received_ms);
  log_event (LOG_INFO, "request_failed", "id", relay->request_id, "service",
             relay->service, "reason", err_name (kind), "outcome",
             outcome_name (outcome), "after_ms", after_ms, NULL);
}

void
relay_refuse (relay_t *relay, err_kind_t kind, outcome_t outcome,
              int64_t retry_after_ms, const char *detail)
{
  if (relay->decided)
    return;
  record_end (relay, kind, outcome);
  if (relay->streaming)
    {
      relay->answer.cut = true;
      notify_answer_ready (relay);
      return;
    }
  reset_answer (relay);
  json_t *body
      = json_pack ("{s:s,s:s,s:s,s:s}", "error", err_name (kind), "message",
                   detail ? detail : err_name (kind), "outcome",
                   outcome_name (outcome), "request_id", relay->request_id);
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;
  if (text != NULL)
    bytepipe_put (&relay->answer, text, strlen (text));
  relay_add_answer_header (relay, "Content-Type", "application/json");
  if (retry_after_ms > 0)
    {
      char seconds[24];
      g_snprintf (seconds, sizeof seconds, "%" G_GINT64_FORMAT,
                  (retry_after_ms + 999) / 1000);
      relay_add_answer_header (relay, "Retry-After", seconds);
    }
  relay->own_answer = true;
  relay->answer_begun = true;
  relay->status = err_info (kind)->http_status;
  relay->answer_length = (int64_t)bytepipe_unread (&relay->answer);
  relay->answer.ended = true;
  free (text);
  json_decref (body);
  notify_answer_ready (relay);
}

void
relay_answer_begun (relay_t *relay, uint16_t status, int64_t length)
{
  relay->answer_begun = true;
  relay->status = status;
  relay->answer_length = length;
  /* A short answer is passed on only once it is whole, so that the request can
     still be retried if the connection breaks in between.  */
  if (length >= 0 && (size_t)length <= BYTEPIPE_MAX_BYTES)
    return;
  if (strcmp (relay->method, "HEAD") == 0)
    return;
  relay->streaming = true;
  relay->outcome = OUTCOME_RAN;
  dispatch_answer_started (proxy_dispatch (relay->proxy), relay->id,
                           relay->attempt);
  notify_answer_ready (relay);
}

size_t
relay_answer_put (relay_t *relay, const char *data, size_t length)
{
  /* The slot is in use until the server is done, so the rest of the answer is
     read and discarded even if nobody waits for it.  */
  if (relay->caller_ops == NULL || relay->decided)
    return length;
  size_t taken = bytepipe_put (&relay->answer, data, length);
  if (relay->streaming && taken > 0)
    notify_answer_ready (relay);
  return taken;
}

void
relay_attempt_ended (relay_t *relay, err_kind_t kind, uint16_t status,
                     outcome_t outcome)
{
  uint64_t id = relay->id;
  proxy_t *proxy = relay->proxy;
  relay->server_ops = NULL;
  relay->server_state = NULL;
  if (!relay->decided && kind == ERR_OK)
    {
      record_end (relay, ERR_OK, OUTCOME_RAN);
      relay->answer.ended = true;
      notify_answer_ready (relay);
    }
  else if (!relay->decided && relay->streaming)
    {
      record_end (relay, kind, outcome);
      relay->answer.cut = true;
      notify_answer_ready (relay);
    }
  else if (!relay->decided)
    {
      reset_answer (relay);
      bytepipe_rewind (&relay->body);
    }
  dispatch_attempt_ended (proxy_dispatch (proxy), id, relay->attempt, kind,
                          status, outcome);
  if (relay->caller_ops == NULL && relay->server_ops == NULL)
    relay_free (relay);
}

size_t
relay_answer_take (relay_t *relay, char *into, size_t room)
{
  size_t taken = bytepipe_take (&relay->answer, into, room);
  if (taken > 0 && relay->server_ops != NULL)
    relay->server_ops->answer_room (relay);
  return taken;
}

size_t
relay_body_put (relay_t *relay, const char *data, size_t length)
{
  if (relay->decided)
    return length;
  size_t taken = bytepipe_put (&relay->body, data, length);
  /* A body that fits into the pipe is collected before the request is
     submitted, so that a slow caller with a short body holds no slot.  */
  if (!relay->submitted && bytepipe_room (&relay->body) == 0)
    relay_submit (relay, 0, 0);
  else if (relay->server_ops != NULL && taken > 0)
    relay->server_ops->body_ready (relay);
  return taken;
}

void
relay_body_end (relay_t *relay)
{
  relay->body.ended = true;
  if (relay->decided)
    return;
  if (!relay->submitted)
    {
      relay->body_length = (int64_t)bytepipe_unread (&relay->body);
      relay_submit (relay, 0, 0);
    }
  else if (relay->server_ops != NULL)
    relay->server_ops->body_ready (relay);
}

size_t
relay_body_take (relay_t *relay, char *into, size_t room)
{
  /* A body that has not ended may not fit into the pipe as a whole, so it is
     not kept for a retry.  */
  if (relay->body.keep && !relay->body.ended
      && bytepipe_unread (&relay->body) > 0)
    {
      relay->body.keep = false;
      dispatch_set_replayable (proxy_dispatch (relay->proxy), relay->id,
                               false);
    }
  size_t taken = bytepipe_take (&relay->body, into, room);
  if (taken > 0 && !relay->body.ended && relay->caller_ops != NULL)
    relay->caller_ops->body_room (relay);
  return taken;
}

void
relay_caller_closed (relay_t *relay)
{
  relay->caller_ops = NULL;
  relay->caller_state = NULL;
  if (relay->submitted && !relay->decided)
    dispatch_cancel (proxy_dispatch (relay->proxy), relay->id);
  if (relay->server_ops == NULL)
    {
      relay_free (relay);
      return;
    }
  bool body_incomplete = !relay->body.ended;
  relay->body.cut = body_incomplete;
  relay->server_ops->caller_gone (relay);
}

void
relay_drop (relay_t *relay)
{
  if (relay->server_ops != NULL)
    relay->server_ops->drop (relay);
  relay_free (relay);
}
