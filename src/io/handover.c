#include "peer_internal.h"

#include "inquiry.h"
#include "log.h"
#include "loop.h"
#include "relay.h"

#include <string.h>

/* Maximum number of bytes of a body that are sent and not yet consumed.  The
   sender starts with this credit; the receiver grants more with
   BodyCredit.  */
#define CREDIT_WINDOW_BYTES BYTEPIPE_MAX_BYTES
#define MAX_CHUNK_BYTES ((size_t)32 * 1024)
/* A BodyCredit is sent once the reader has consumed this many more bytes.  */
#define CREDIT_STEP_BYTES ((size_t)16 * 1024)
#define TICK_PERIOD_MS 100
/* Bound of HandOver.deadline_ms, the time left until the deadline.  */
#define MAX_TIMEOUT_MS 60000

struct handover
{
  peer_t *peer;
  peer_options_t options;
  proxy_t *proxy;
  uint64_t last_id;
  GHashTable *outbound; /* id -> outbound_t */
  GHashTable *inbound;  /* "ENTRY#id" -> inbound_t */
  loop_timer_t *timer;
};

/* A request handed over to another entry.  */
typedef struct
{
  handover_t *handover;
  uint64_t id; /* chosen here */
  char *entry;
  relay_t *relay;
  size_t credit_bytes;     /* of the body, that may still be sent */
  uint64_t received_bytes; /* of the answer */
  uint64_t granted_bytes;  /* of the answer, total credit given so far */
  bool body_sent;
  inquiry_t inquiry;
} outbound_t;

/* A request received from another entry, to be run here.  */
typedef struct
{
  handover_t *handover;
  char *key;   /* in the table inbound */
  uint64_t id; /* chosen by the other entry */
  char *entry;
  relay_t *relay;
  size_t credit_bytes;     /* of the answer, that may still be sent */
  uint64_t received_bytes; /* of the body */
  uint64_t granted_bytes;  /* of the body, total credit given so far */
  /* The last chunk of the answer, ended or cut, has been sent.  */
  bool sent_all;
  /* Set while a piece of the answer is sent.  Taking bytes from relay->answer
     may make the server's side add more and call answer_ready again; that call
     must not send the newer bytes before those just taken.  */
  bool sending;
} inbound_t;

/* TO_ORIGIN, here and in send_chunk: the bytes belong to the answer, which is
   sent to the entry that handed the request over; else to the body of the
   request.  */
static void
send_credit (handover_t *handover, const char *entry, uint64_t id,
             bool to_origin, size_t bytes)
{
  Magnoliadock__BodyCredit credit = MAGNOLIADOCK__BODY_CREDIT__INIT;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  credit.id = id;
  credit.to_origin = to_origin;
  credit.bytes = (uint32_t)bytes;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_BODY_CREDIT;
  frame.body_credit = &credit;
  peer_send (handover->peer, entry, &frame);
}

static void
send_chunk (handover_t *handover, const char *entry, uint64_t id,
            bool to_origin, const char *data, size_t length, bool ended,
            bool cut)
{
  Magnoliadock__BodyChunk chunk = MAGNOLIADOCK__BODY_CHUNK__INIT;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  chunk.id = id;
  chunk.to_origin = to_origin;
  chunk.data.data = (uint8_t *)data;
  chunk.data.len = length;
  chunk.ended = ended;
  chunk.cut = cut;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_BODY_CHUNK;
  frame.body_chunk = &chunk;
  peer_send (handover->peer, entry, &frame);
}

static void
send_ack (handover_t *handover, const char *entry, uint64_t id)
{
  Magnoliadock__AnswerAck ack = MAGNOLIADOCK__ANSWER_ACK__INIT;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  ack.id = id;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_ANSWER_ACK;
  frame.answer_ack = &ack;
  peer_send (handover->peer, entry, &frame);
}

static void
send_cancel (handover_t *handover, const char *entry, uint64_t id)
{
  Magnoliadock__CancelRequest cancel = MAGNOLIADOCK__CANCEL_REQUEST__INIT;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  cancel.id = id;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_CANCEL_REQUEST;
  frame.cancel_request = &cancel;
  peer_send (handover->peer, entry, &frame);
}

static void
send_query (handover_t *handover, const char *entry, uint64_t id)
{
  Magnoliadock__OutcomeQuery query = MAGNOLIADOCK__OUTCOME_QUERY__INIT;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  query.incarnation = (uint64_t)handover->options.incarnation;
  query.id = id;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_OUTCOME_QUERY;
  frame.outcome_query = &query;
  peer_send (handover->peer, entry, &frame);
}

/* Sending side: requests handed over to another entry.  */

static void
outbound_free (outbound_t *outbound)
{
  g_hash_table_remove (outbound->handover->outbound, &outbound->id);
  g_free (outbound->entry);
  g_free (outbound);
}

static void
end_outbound (outbound_t *outbound, err_kind_t kind, uint16_t status,
              outcome_t outcome)
{
  relay_t *relay = outbound->relay;
  outbound_free (outbound);
  relay_attempt_ended (relay, kind, status, outcome);
}

/* Carries out RESULT, which the inquiry into the outcome of OUTBOUND has
   returned; may free OUTBOUND.  */
static void
apply_inquiry_result (outbound_t *outbound, inquiry_result_t result,
                      uint16_t status)
{
  if (result.step == INQUIRY_QUERY)
    send_query (outbound->handover, outbound->entry, outbound->id);
  if (result.step == INQUIRY_CANCEL)
    send_cancel (outbound->handover, outbound->entry, outbound->id);
  if (result.step == INQUIRY_CANCEL || result.step == INQUIRY_END)
    end_outbound (outbound, result.kind, status, result.outcome);
}

static void
send_body (outbound_t *outbound)
{
  char buffer[MAX_CHUNK_BYTES];
  relay_t *relay = outbound->relay;
  if (outbound->inquiry.connection_lost || outbound->body_sent)
    return;
  while (outbound->credit_bytes > 0 && bytepipe_unread (&relay->body) > 0)
    {
      size_t length = relay_body_take (
          relay, buffer, MIN (outbound->credit_bytes, sizeof buffer));
      outbound->credit_bytes -= length;
      outbound->body_sent
          = relay->body.ended && bytepipe_unread (&relay->body) == 0;
      send_chunk (outbound->handover, outbound->entry, outbound->id, false,
                  buffer, length, outbound->body_sent, false);
    }
  if (outbound->body_sent || bytepipe_unread (&relay->body) > 0)
    return;
  if (relay->body.ended || relay->body.cut)
    {
      outbound->body_sent = true;
      send_chunk (outbound->handover, outbound->entry, outbound->id, false,
                  NULL, 0, relay->body.ended, relay->body.cut);
    }
}

static void
on_outbound_body_ready (relay_t *relay)
{
  send_body (relay->server_state);
}

static void
on_outbound_answer_room (relay_t *relay)
{
  outbound_t *outbound = relay->server_state;
  uint64_t allowed_bytes = outbound->received_bytes
                           - bytepipe_unread (&relay->answer)
                           + CREDIT_WINDOW_BYTES;
  if (outbound->inquiry.connection_lost
      || allowed_bytes < outbound->granted_bytes + CREDIT_STEP_BYTES)
    return;
  send_credit (outbound->handover, outbound->entry, outbound->id, true,
               allowed_bytes - outbound->granted_bytes);
  outbound->granted_bytes = allowed_bytes;
}

static void
on_outbound_caller_gone (relay_t *relay)
{
  outbound_t *outbound = relay->server_state;
  send_cancel (outbound->handover, outbound->entry, outbound->id);
  end_outbound (outbound, ERR_CANCELLED, 0, OUTCOME_UNKNOWN);
}

static void
on_outbound_drop (relay_t *relay)
{
  outbound_free (relay->server_state);
  relay->server_state = NULL;
  relay->server_ops = NULL;
}

static const relay_server_ops_t outbound_ops
    = { on_outbound_body_ready, on_outbound_answer_room,
        on_outbound_caller_gone, on_outbound_drop };

/* Sends the HandOver with the first bytes of the body, as many as are there
   and the credit allows.  */
static void
send_request (outbound_t *outbound, int64_t now_ms)
{
  relay_t *relay = outbound->relay;
  Magnoliadock__HandOver message = MAGNOLIADOCK__HAND_OVER__INIT;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  size_t first_bytes
      = MIN (bytepipe_unread (&relay->body), CREDIT_WINDOW_BYTES);
  char *body = g_malloc (first_bytes + 1);
  message.incarnation = (uint64_t)outbound->handover->options.incarnation;
  message.id = outbound->id;
  message.service = relay->service;
  message.team = relay->team;
  message.class_ = relay->class;
  message.idempotent = relay->idempotent;
  message.method = relay->method;
  message.path = relay->path;
  message.n_headers = relay->headers->len;
  message.headers = (char **)relay->headers->pdata;
  message.request_id = relay->request_id;
  message.deadline_ms = (uint32_t)MAX (relay->deadline_ms - now_ms, 1);
  message.has_body = relay->has_body;
  message.body_length = relay->body_length;
  message.body.len = relay_body_take (relay, body, first_bytes);
  message.body.data = (uint8_t *)body;
  outbound->credit_bytes = CREDIT_WINDOW_BYTES - message.body.len;
  message.body_ended
      = relay->body.ended && bytepipe_unread (&relay->body) == 0;
  outbound->body_sent = message.body_ended;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_HAND_OVER;
  frame.hand_over = &message;
  peer_send (outbound->handover->peer, outbound->entry, &frame);
  g_free (body);
}

void
handover_begin (handover_t *handover, uint64_t id, uint32_t attempt,
                const char *entry)
{
  relay_t *relay = proxy_begin_attempt (handover->proxy, id, attempt);
  if (relay == NULL)
    return;
  if (!peer_connected (handover->peer, entry))
    {
      proxy_fail_later (handover->proxy, relay, ERR_ZONE_UNREACHABLE);
      return;
    }
  outbound_t *outbound = g_new0 (outbound_t, 1);
  outbound->handover = handover;
  outbound->id = ++handover->last_id;
  outbound->entry = g_strdup (entry);
  outbound->relay = relay;
  outbound->granted_bytes = CREDIT_WINDOW_BYTES;
  inquiry_init (&outbound->inquiry, relay->deadline_ms);
  relay->server_ops = &outbound_ops;
  relay->server_state = outbound;
  g_hash_table_insert (handover->outbound, &outbound->id, outbound);
  send_request (outbound, clk_now_ms (handover->options.clock));
}

static void
handle_answer (outbound_t *outbound, const Magnoliadock__Answer *answer)
{
  relay_t *relay = outbound->relay;
  uint16_t status = (uint16_t)answer->status;
  if (answer->load != NULL)
    dispatch_peer_load_set (peer_dispatch (outbound->handover->peer),
                            outbound->entry, answer->load->service,
                            answer->load->free_slots, answer->load->queued);
  if (answer->refused)
    {
      send_ack (outbound->handover, outbound->entry, outbound->id);
      end_outbound (outbound, err_from_name (answer->reason), status,
                    (outcome_t)MIN (answer->outcome, OUTCOME_UNKNOWN));
      return;
    }
  if (relay->answer_begun || status < 200 || status > 599)
    return;
  for (size_t i = 0; i < answer->n_headers; i++)
    if (!relay_is_hop_by_hop_header (answer->headers[i]->name))
      relay_add_answer_header (relay, answer->headers[i]->name,
                               answer->headers[i]->value);
  relay_answer_begun (relay, status, answer->length);
  outbound->received_bytes += answer->body.len;
  if (answer->body.len > 0)
    relay_answer_put (relay, (const char *)answer->body.data,
                      answer->body.len);
  if (!answer->ended)
    return;
  send_ack (outbound->handover, outbound->entry, outbound->id);
  end_outbound (outbound, ERR_OK, status, OUTCOME_RAN);
}

static void
handle_answer_chunk (outbound_t *outbound,
                     const Magnoliadock__BodyChunk *chunk)
{
  relay_t *relay = outbound->relay;
  if (!relay->answer_begun)
    return;
  outbound->received_bytes += chunk->data.len;
  bool fits = relay_answer_put (relay, (const char *)chunk->data.data,
                                chunk->data.len)
              == chunk->data.len;
  if (!fits || chunk->cut)
    {
      send_ack (outbound->handover, outbound->entry, outbound->id);
      end_outbound (outbound, ERR_ANSWER_CUT, relay->status, OUTCOME_UNKNOWN);
    }
  else if (chunk->ended)
    {
      send_ack (outbound->handover, outbound->entry, outbound->id);
      end_outbound (outbound, ERR_OK, relay->status, OUTCOME_RAN);
    }
}

static void
handle_outcome_reply (outbound_t *outbound,
                      const Magnoliadock__OutcomeReply *reply)
{
  apply_inquiry_result (
      outbound,
      inquiry_replied (&outbound->inquiry, reply->seen,
                       err_from_name (reply->reason),
                       (outcome_t)MIN (reply->outcome, OUTCOME_UNKNOWN)),
      (uint16_t)reply->status);
}

/* Receiving side: requests that run here for another entry.  */

static char *
inbound_key (const char *entry, uint64_t id)
{
  return g_strdup_printf ("%s#%" G_GUINT64_FORMAT, entry, id);
}

static inbound_t *
find_inbound (handover_t *handover, const char *entry, uint64_t id)
{
  char *key = inbound_key (entry, id);
  inbound_t *inbound = g_hash_table_lookup (handover->inbound, key);
  g_free (key);
  return inbound;
}

static void
inbound_free (inbound_t *inbound)
{
  g_hash_table_remove (inbound->handover->inbound, inbound->key);
  g_free (inbound->key);
  g_free (inbound->entry);
  g_free (inbound);
}

static void
close_inbound (inbound_t *inbound)
{
  relay_t *relay = inbound->relay;
  inbound_free (inbound);
  relay_caller_closed (relay);
}

static void
send_answer (inbound_t *inbound)
{
  relay_t *relay = inbound->relay;
  Magnoliadock__Answer answer = MAGNOLIADOCK__ANSWER__INIT;
  Magnoliadock__ServiceLoad load = MAGNOLIADOCK__SERVICE_LOAD__INIT;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  guint count = relay->answer_headers->len / 2;
  Magnoliadock__Header *headers = g_new (Magnoliadock__Header, count + 1);
  Magnoliadock__Header **list = g_new (Magnoliadock__Header *, count + 1);
  size_t first_bytes
      = MIN (bytepipe_unread (&relay->answer), inbound->credit_bytes);
  char *body = g_malloc (first_bytes + 1);
  for (guint i = 0; i < count; i++)
    {
      magnoliadock__header__init (&headers[i]);
      headers[i].name = relay->answer_headers->pdata[2 * i];
      headers[i].value = relay->answer_headers->pdata[2 * i + 1];
      list[i] = &headers[i];
    }
  answer.id = inbound->id;
  answer.status = relay->status;
  answer.refused = relay->own_answer;
  answer.reason = (char *)err_name (relay->reason);
  answer.outcome = relay->outcome;
  answer.length = relay->answer_length;
  answer.n_headers = count;
  answer.headers = list;
  load.service = relay->service;
  dispatch_own_load (peer_dispatch (inbound->handover->peer), relay->service,
                     &load.free_slots, &load.queued);
  answer.load = &load;
  if (!relay->own_answer)
    {
      answer.body.len = relay_answer_take (relay, body, first_bytes);
      answer.body.data = (uint8_t *)body;
      inbound->credit_bytes -= answer.body.len;
    }
  answer.ended
      = relay->own_answer
        || (relay->answer.ended && bytepipe_unread (&relay->answer) == 0);
  inbound->sent_all = answer.ended;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_ANSWER;
  frame.answer = &answer;
  peer_send (inbound->handover->peer, inbound->entry, &frame);
  g_free (headers);
  g_free (list);
  g_free (body);
}

static void
send_answer_body (inbound_t *inbound)
{
  char buffer[MAX_CHUNK_BYTES];
  relay_t *relay = inbound->relay;
  while (inbound->credit_bytes > 0 && bytepipe_unread (&relay->answer) > 0)
    {
      size_t length = relay_answer_take (
          relay, buffer, MIN (inbound->credit_bytes, sizeof buffer));
      inbound->credit_bytes -= length;
      inbound->sent_all
          = relay->answer.ended && bytepipe_unread (&relay->answer) == 0;
      send_chunk (inbound->handover, inbound->entry, inbound->id, true, buffer,
                  length, inbound->sent_all, false);
    }
  if (!inbound->sent_all && bytepipe_unread (&relay->answer) == 0
      && (relay->answer.ended || relay->answer.cut))
    {
      inbound->sent_all = true;
      send_chunk (inbound->handover, inbound->entry, inbound->id, true, NULL,
                  0, relay->answer.ended, relay->answer.cut);
    }
}

static void
on_inbound_answer_ready (relay_t *relay)
{
  inbound_t *inbound = relay->caller_state;
  if (inbound->sent_all || inbound->sending)
    return;
  inbound->sending = true;
  if (!relay->headers_passed_on)
    {
      relay->headers_passed_on = true;
      send_answer (inbound);
    }
  if (!inbound->sent_all)
    send_answer_body (inbound);
  inbound->sending = false;
}

static void
on_inbound_body_room (relay_t *relay)
{
  inbound_t *inbound = relay->caller_state;
  uint64_t allowed_bytes = inbound->received_bytes
                           - bytepipe_unread (&relay->body)
                           + CREDIT_WINDOW_BYTES;
  if (allowed_bytes < inbound->granted_bytes + CREDIT_STEP_BYTES)
    return;
  send_credit (inbound->handover, inbound->entry, inbound->id, false,
               allowed_bytes - inbound->granted_bytes);
  inbound->granted_bytes = allowed_bytes;
}

static const relay_caller_ops_t inbound_ops
    = { on_inbound_answer_ready, on_inbound_body_room };

static bool
is_valid (const Magnoliadock__HandOver *message)
{
  return message->service[0] != '\0' && message->team[0] != '\0'
         && message->method[0] != '\0' && message->path[0] == '/'
         && message->request_id[0] != '\0' && message->class_ < CLASS_COUNT
         && message->deadline_ms > 0 && message->deadline_ms <= MAX_TIMEOUT_MS
         && message->body.len <= CREDIT_WINDOW_BYTES;
}

static void
fill_relay (relay_t *relay, const Magnoliadock__HandOver *message,
            int64_t now_ms)
{
  relay->request_id = g_strdup (message->request_id);
  relay->service = g_strdup (message->service);
  relay->team = g_strdup (message->team);
  relay->method = g_strdup (message->method);
  relay->path = g_strdup (message->path);
  relay->class = (class_t)message->class_;
  relay->idempotent = message->idempotent;
  relay->received_ms = now_ms;
  relay->deadline_ms = now_ms + message->deadline_ms;
  relay->has_body = message->has_body;
  relay->body_length = message->body_length;
  for (size_t i = 0; i < message->n_headers; i++)
    g_ptr_array_add (relay->headers, g_strdup (message->headers[i]));
  bytepipe_put (&relay->body, (const char *)message->body.data,
                message->body.len);
  relay->body.ended = message->body_ended;
}

static void
handle_request (handover_t *handover, const char *entry,
                const Magnoliadock__HandOver *message)
{
  char *key = inbound_key (entry, message->id);
  if (!is_valid (message) || g_hash_table_contains (handover->inbound, key))
    {
      log_event (LOG_WARN, "hand_over_ignored", "entry", entry, NULL);
      g_free (key);
      return;
    }
  inbound_t *inbound = g_new0 (inbound_t, 1);
  inbound->handover = handover;
  inbound->key = key;
  inbound->id = message->id;
  inbound->entry = g_strdup (entry);
  inbound->credit_bytes = CREDIT_WINDOW_BYTES;
  inbound->received_bytes = message->body.len;
  inbound->granted_bytes = CREDIT_WINDOW_BYTES;
  inbound->relay = relay_new (handover->proxy, &inbound_ops, inbound);
  fill_relay (inbound->relay, message, clk_now_ms (handover->options.clock));
  g_hash_table_insert (handover->inbound, inbound->key, inbound);
  relay_submit (inbound->relay, message->incarnation, message->id);
}

static void
handle_body_chunk (inbound_t *inbound, const Magnoliadock__BodyChunk *chunk)
{
  relay_t *relay = inbound->relay;
  inbound->received_bytes += chunk->data.len;
  size_t taken = relay_body_put (relay, (const char *)chunk->data.data,
                                 chunk->data.len);
  if (taken < chunk->data.len || chunk->cut)
    {
      close_inbound (inbound);
      return;
    }
  if (chunk->ended)
    relay_body_end (relay);
}

static void
reply_to_query (handover_t *handover, const char *entry,
                const Magnoliadock__OutcomeQuery *query)
{
  Magnoliadock__OutcomeReply reply = MAGNOLIADOCK__OUTCOME_REPLY__INIT;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  outcome_t outcome = OUTCOME_UNKNOWN;
  err_kind_t kind = ERR_INTERNAL;
  uint16_t status = 0;
  reply.id = query->id;
  reply.seen = dispatch_outcome_query (peer_dispatch (handover->peer),
                                       query->incarnation, query->id, &outcome,
                                       &kind, &status);
  reply.outcome = outcome;
  reply.reason = (char *)err_name (kind);
  reply.status = status;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_OUTCOME_REPLY;
  frame.outcome_reply = &reply;
  peer_send (handover->peer, entry, &frame);
}

/* Both sides.  */

static outbound_t *
find_outbound (handover_t *handover, const char *entry, uint64_t id)
{
  outbound_t *outbound = g_hash_table_lookup (handover->outbound, &id);
  return outbound != NULL && strcmp (outbound->entry, entry) == 0 ? outbound
                                                                  : NULL;
}

static void
handle_chunk (handover_t *handover, const char *entry,
              const Magnoliadock__BodyChunk *chunk)
{
  if (chunk->to_origin)
    {
      outbound_t *outbound = find_outbound (handover, entry, chunk->id);
      if (outbound != NULL && !outbound->inquiry.connection_lost)
        handle_answer_chunk (outbound, chunk);
      return;
    }
  inbound_t *inbound = find_inbound (handover, entry, chunk->id);
  if (inbound != NULL)
    handle_body_chunk (inbound, chunk);
}

static void
handle_credit (handover_t *handover, const char *entry,
               const Magnoliadock__BodyCredit *credit)
{
  size_t bytes = MIN (credit->bytes, CREDIT_WINDOW_BYTES);
  if (!credit->to_origin)
    {
      outbound_t *outbound = find_outbound (handover, entry, credit->id);
      if (outbound == NULL || outbound->inquiry.connection_lost)
        return;
      outbound->credit_bytes
          = MIN (outbound->credit_bytes + bytes, CREDIT_WINDOW_BYTES);
      send_body (outbound);
      return;
    }
  inbound_t *inbound = find_inbound (handover, entry, credit->id);
  if (inbound == NULL)
    return;
  inbound->credit_bytes
      = MIN (inbound->credit_bytes + bytes, CREDIT_WINDOW_BYTES);
  if (inbound->relay->headers_passed_on)
    on_inbound_answer_ready (inbound->relay);
}

bool
handover_handle_frame (handover_t *handover, const char *entry,
                       const frame_t *frame)
{
  outbound_t *outbound;
  inbound_t *inbound;
  switch (frame->body_case)
    {
    case MAGNOLIADOCK__FRAME__BODY_HAND_OVER:
      handle_request (handover, entry, frame->hand_over);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_BODY_CHUNK:
      handle_chunk (handover, entry, frame->body_chunk);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_BODY_CREDIT:
      handle_credit (handover, entry, frame->body_credit);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_ANSWER:
      outbound = find_outbound (handover, entry, frame->answer->id);
      if (outbound != NULL && !outbound->inquiry.connection_lost)
        handle_answer (outbound, frame->answer);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_ANSWER_ACK:
      inbound = find_inbound (handover, entry, frame->answer_ack->id);
      if (inbound != NULL && inbound->sent_all)
        close_inbound (inbound);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_CANCEL_REQUEST:
      inbound = find_inbound (handover, entry, frame->cancel_request->id);
      if (inbound != NULL)
        close_inbound (inbound);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_OUTCOME_QUERY:
      reply_to_query (handover, entry, frame->outcome_query);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_OUTCOME_REPLY:
      outbound = find_outbound (handover, entry, frame->outcome_reply->id);
      if (outbound != NULL)
        handle_outcome_reply (outbound, frame->outcome_reply);
      return true;
    default:
      return false;
    }
}

/* Returns the values of TABLE in an array, so that they can be removed from
   TABLE while the array is iterated over.  */
static GPtrArray *
copy_values (GHashTable *table)
{
  GPtrArray *values = g_ptr_array_new ();
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, table);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    g_ptr_array_add (values, value);
  return values;
}

void
handover_peer_up (handover_t *handover, const char *entry)
{
  int64_t now_ms = clk_now_ms (handover->options.clock);
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, handover->outbound);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      outbound_t *outbound = value;
      if (strcmp (outbound->entry, entry) == 0)
        apply_inquiry_result (
            outbound, inquiry_reconnected (&outbound->inquiry, now_ms), 0);
    }
}

void
handover_peer_down (handover_t *handover, const char *entry)
{
  GPtrArray *all = copy_values (handover->inbound);
  for (guint i = 0; i < all->len; i++)
    {
      inbound_t *inbound = g_ptr_array_index (all, i);
      if (strcmp (inbound->entry, entry) == 0)
        close_inbound (inbound);
    }
  g_ptr_array_unref (all);
  all = copy_values (handover->outbound);
  for (guint i = 0; i < all->len; i++)
    {
      outbound_t *outbound = g_ptr_array_index (all, i);
      if (strcmp (outbound->entry, entry) == 0)
        apply_inquiry_result (
            outbound,
            inquiry_connection_lost (&outbound->inquiry,
                                     outbound->relay->streaming),
            outbound->relay->status);
    }
  g_ptr_array_unref (all);
}

static void
on_tick (void *context)
{
  handover_t *handover = context;
  int64_t now_ms = clk_now_ms (handover->options.clock);
  if (g_hash_table_size (handover->outbound) == 0)
    return;
  GPtrArray *all = copy_values (handover->outbound);
  for (guint i = 0; i < all->len; i++)
    {
      outbound_t *outbound = g_ptr_array_index (all, i);
      bool gone = outbound->inquiry.connection_lost
                  && peer_is_gone (handover->peer, outbound->entry);
      apply_inquiry_result (
          outbound, inquiry_tick (&outbound->inquiry, now_ms, gone), 0);
    }
  g_ptr_array_unref (all);
}

handover_t *
handover_new (peer_t *peer, const peer_options_t *options)
{
  handover_t *handover = g_new0 (handover_t, 1);
  handover->peer = peer;
  handover->options = *options;
  handover->outbound = g_hash_table_new (g_int64_hash, g_int64_equal);
  handover->inbound = g_hash_table_new (g_str_hash, g_str_equal);
  handover->timer
      = loop_timer_new (options->loop, TICK_PERIOD_MS, on_tick, handover);
  return handover;
}

void
handover_set_proxy (handover_t *handover, proxy_t *proxy)
{
  handover->proxy = proxy;
}

void
handover_free (handover_t *handover)
{
  loop_timer_free (handover->timer);
  GPtrArray *all = copy_values (handover->inbound);
  for (guint i = 0; i < all->len; i++)
    {
      inbound_t *inbound = g_ptr_array_index (all, i);
      inbound->relay->caller_ops = NULL;
      inbound->relay->caller_state = NULL;
      inbound_free (inbound);
    }
  g_ptr_array_unref (all);
  all = copy_values (handover->outbound);
  for (guint i = 0; i < all->len; i++)
    on_outbound_drop (((outbound_t *)g_ptr_array_index (all, i))->relay);
  g_ptr_array_unref (all);
  g_hash_table_unref (handover->outbound);
  g_hash_table_unref (handover->inbound);
  g_free (handover);
}
