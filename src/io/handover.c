#include "peer_private.h"

#include "inquiry.h"
#include "log.h"
#include "loop.h"
#include "relay.h"

#include <string.h>

/* Bytes of a body that may be on their way without a BodyCredit.  */
#define FIRST_CREDIT BYTEPIPE_LIMIT
#define CHUNK_BYTES ((size_t)32 * 1024)
/* Consumed bytes are granted again in steps of this size.  */
#define CREDIT_STEP ((size_t)16 * 1024)
#define TICK_MS 100
#define MAX_DEADLINE_MS 60000

struct handover
{
  peer_t *peer;
  peer_options_t options;
  proxy_t *proxy;
  uint64_t next_id;
  GHashTable *given; /* id -> given_t: handed to other entries */
  GHashTable *taken; /* "ENTRY#id" -> taken_t: from other entries */
  loop_timer_t *timer;
};

/* A request that another entry runs for us.  */
typedef struct
{
  handover_t *handover;
  uint64_t id;
  char *entry;
  relay_t *relay;
  size_t credit;     /* bytes of the body that may still be sent */
  uint64_t received; /* bytes of the answer */
  uint64_t granted;
  bool body_sent;
  inquiry_t inquiry;
} given_t;

/* A request that we run for another entry.  */
typedef struct
{
  handover_t *handover;
  char *key;
  uint64_t id;
  char *entry;
  relay_t *relay;
  size_t credit;     /* bytes of the answer that may still be sent */
  uint64_t received; /* bytes of the body */
  uint64_t granted;
  bool sent_all;
  /* Taking bytes may bring in more of them at once; they must not be sent
     before those just taken.  */
  bool sending;
} taken_t;

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

/* Side of the entry that hands over.  */

static void
given_free (given_t *given)
{
  g_hash_table_remove (given->handover->given, &given->id);
  g_free (given->entry);
  g_free (given);
}

static void
end_given (given_t *given, err_kind_t kind, uint16_t status, outcome_t outcome)
{
  relay_t *relay = given->relay;
  given_free (given);
  relay_attempt_ended (relay, kind, status, outcome);
}

/* Does what the inquiry into GIVEN asks for; may free GIVEN.  */
static void
carry_out (given_t *given, inquiry_result_t result, uint16_t status)
{
  if (result.step == INQUIRY_QUERY)
    send_query (given->handover, given->entry, given->id);
  if (result.step == INQUIRY_CANCEL)
    send_cancel (given->handover, given->entry, given->id);
  if (result.step == INQUIRY_CANCEL || result.step == INQUIRY_END)
    end_given (given, result.kind, status, result.outcome);
}

static void
send_body (given_t *given)
{
  char buffer[CHUNK_BYTES];
  relay_t *relay = given->relay;
  if (given->inquiry.lost || given->body_sent)
    return;
  while (given->credit > 0 && bytepipe_unread (&relay->body) > 0)
    {
      size_t length = relay_body_take (relay, buffer,
                                       MIN (given->credit, sizeof buffer));
      given->credit -= length;
      given->body_sent
          = relay->body.ended && bytepipe_unread (&relay->body) == 0;
      send_chunk (given->handover, given->entry, given->id, false, buffer,
                  length, given->body_sent, false);
    }
  if (given->body_sent || bytepipe_unread (&relay->body) > 0)
    return;
  if (relay->body.ended || relay->body.cut)
    {
      given->body_sent = true;
      send_chunk (given->handover, given->entry, given->id, false, NULL, 0,
                  relay->body.ended, relay->body.cut);
    }
}

static void
on_given_body_ready (relay_t *relay)
{
  send_body (relay->server);
}

static void
on_given_answer_room (relay_t *relay)
{
  given_t *given = relay->server;
  uint64_t allowed
      = given->received - bytepipe_unread (&relay->answer) + FIRST_CREDIT;
  if (given->inquiry.lost || allowed < given->granted + CREDIT_STEP)
    return;
  send_credit (given->handover, given->entry, given->id, true,
               allowed - given->granted);
  given->granted = allowed;
}

static void
on_given_caller_gone (relay_t *relay)
{
  given_t *given = relay->server;
  send_cancel (given->handover, given->entry, given->id);
  end_given (given, ERR_CANCELLED, 0, OUTCOME_UNKNOWN);
}

static void
on_given_drop (relay_t *relay)
{
  given_free (relay->server);
  relay->server = NULL;
  relay->server_ops = NULL;
}

static const relay_server_ops_t given_ops
    = { on_given_body_ready, on_given_answer_room, on_given_caller_gone,
        on_given_drop };

/* Sends the request itself with as much of its body as fits.  */
static void
send_hand_over (given_t *given, int64_t now_ms)
{
  relay_t *relay = given->relay;
  Magnoliadock__HandOver message = MAGNOLIADOCK__HAND_OVER__INIT;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  size_t first = MIN (bytepipe_unread (&relay->body), FIRST_CREDIT);
  char *body = g_malloc (first + 1);
  message.incarnation = (uint64_t)given->handover->options.incarnation;
  message.id = given->id;
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
  message.body.len = relay_body_take (relay, body, first);
  message.body.data = (uint8_t *)body;
  given->credit = FIRST_CREDIT - message.body.len;
  message.body_ended
      = relay->body.ended && bytepipe_unread (&relay->body) == 0;
  given->body_sent = message.body_ended;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_HAND_OVER;
  frame.hand_over = &message;
  peer_send (given->handover->peer, given->entry, &frame);
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
  given_t *given = g_new0 (given_t, 1);
  given->handover = handover;
  given->id = ++handover->next_id;
  given->entry = g_strdup (entry);
  given->relay = relay;
  given->granted = FIRST_CREDIT;
  inquiry_init (&given->inquiry, relay->deadline_ms);
  relay->server_ops = &given_ops;
  relay->server = given;
  g_hash_table_insert (handover->given, &given->id, given);
  send_hand_over (given, clk_now_ms (handover->options.clock));
}

static void
take_answer (given_t *given, const Magnoliadock__Answer *answer)
{
  relay_t *relay = given->relay;
  uint16_t status = (uint16_t)answer->status;
  if (answer->load != NULL)
    dispatch_peer_load (peer_dispatch (given->handover->peer), given->entry,
                        answer->load->service, answer->load->free_slots,
                        answer->load->queued);
  if (answer->refused)
    {
      send_ack (given->handover, given->entry, given->id);
      end_given (given, err_from_name (answer->reason), status,
                 (outcome_t)MIN (answer->outcome, OUTCOME_UNKNOWN));
      return;
    }
  if (relay->answer_begun || status < 200 || status > 599)
    return;
  for (size_t i = 0; i < answer->n_headers; i++)
    if (!relay_is_hop_header (answer->headers[i]->name))
      relay_add_answer_header (relay, answer->headers[i]->name,
                               answer->headers[i]->value);
  relay_answer_begun (relay, status, answer->length);
  given->received += answer->body.len;
  if (answer->body.len > 0)
    relay_answer_put (relay, (const char *)answer->body.data,
                      answer->body.len);
  if (!answer->ended)
    return;
  send_ack (given->handover, given->entry, given->id);
  end_given (given, ERR_OK, status, OUTCOME_RAN);
}

static void
take_answer_chunk (given_t *given, const Magnoliadock__BodyChunk *chunk)
{
  relay_t *relay = given->relay;
  if (!relay->answer_begun)
    return;
  given->received += chunk->data.len;
  bool fits = relay_answer_put (relay, (const char *)chunk->data.data,
                                chunk->data.len)
              == chunk->data.len;
  if (!fits || chunk->cut)
    {
      send_ack (given->handover, given->entry, given->id);
      end_given (given, ERR_ANSWER_CUT, relay->status, OUTCOME_UNKNOWN);
    }
  else if (chunk->ended)
    {
      send_ack (given->handover, given->entry, given->id);
      end_given (given, ERR_OK, relay->status, OUTCOME_RAN);
    }
}

static void
take_outcome (given_t *given, const Magnoliadock__OutcomeReply *reply)
{
  carry_out (given,
             inquiry_replied (
                 &given->inquiry, reply->seen, err_from_name (reply->reason),
                 (outcome_t)MIN (reply->outcome, OUTCOME_UNKNOWN)),
             (uint16_t)reply->status);
}

/* Side of the entry that runs the request.  */

static char *
taken_key (const char *entry, uint64_t id)
{
  return g_strdup_printf ("%s#%" G_GUINT64_FORMAT, entry, id);
}

static taken_t *
find_taken (handover_t *handover, const char *entry, uint64_t id)
{
  char *key = taken_key (entry, id);
  taken_t *taken = g_hash_table_lookup (handover->taken, key);
  g_free (key);
  return taken;
}

static void
taken_free (taken_t *taken)
{
  g_hash_table_remove (taken->handover->taken, taken->key);
  g_free (taken->key);
  g_free (taken->entry);
  g_free (taken);
}

static void
close_taken (taken_t *taken)
{
  relay_t *relay = taken->relay;
  taken_free (taken);
  relay_caller_closed (relay);
}

static void
send_answer (taken_t *taken)
{
  relay_t *relay = taken->relay;
  Magnoliadock__Answer answer = MAGNOLIADOCK__ANSWER__INIT;
  Magnoliadock__ServiceLoad load = MAGNOLIADOCK__SERVICE_LOAD__INIT;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  guint count = relay->answer_headers->len / 2;
  Magnoliadock__Header *headers = g_new (Magnoliadock__Header, count + 1);
  Magnoliadock__Header **list = g_new (Magnoliadock__Header *, count + 1);
  size_t first = MIN (bytepipe_unread (&relay->answer), taken->credit);
  char *body = g_malloc (first + 1);
  for (guint i = 0; i < count; i++)
    {
      magnoliadock__header__init (&headers[i]);
      headers[i].name = relay->answer_headers->pdata[2 * i];
      headers[i].value = relay->answer_headers->pdata[2 * i + 1];
      list[i] = &headers[i];
    }
  answer.id = taken->id;
  answer.status = relay->status;
  answer.refused = relay->own_answer;
  answer.reason = (char *)err_name (relay->reason);
  answer.outcome = relay->outcome;
  answer.length = relay->answer_length;
  answer.n_headers = count;
  answer.headers = list;
  load.service = relay->service;
  dispatch_load (peer_dispatch (taken->handover->peer), relay->service,
                 &load.free_slots, &load.queued);
  answer.load = &load;
  if (!relay->own_answer)
    {
      answer.body.len = relay_answer_take (relay, body, first);
      answer.body.data = (uint8_t *)body;
      taken->credit -= answer.body.len;
    }
  answer.ended
      = relay->own_answer
        || (relay->answer.ended && bytepipe_unread (&relay->answer) == 0);
  taken->sent_all = answer.ended;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_ANSWER;
  frame.answer = &answer;
  peer_send (taken->handover->peer, taken->entry, &frame);
  g_free (headers);
  g_free (list);
  g_free (body);
}

static void
send_answer_body (taken_t *taken)
{
  char buffer[CHUNK_BYTES];
  relay_t *relay = taken->relay;
  while (taken->credit > 0 && bytepipe_unread (&relay->answer) > 0)
    {
      size_t length = relay_answer_take (relay, buffer,
                                         MIN (taken->credit, sizeof buffer));
      taken->credit -= length;
      taken->sent_all
          = relay->answer.ended && bytepipe_unread (&relay->answer) == 0;
      send_chunk (taken->handover, taken->entry, taken->id, true, buffer,
                  length, taken->sent_all, false);
    }
  if (!taken->sent_all && bytepipe_unread (&relay->answer) == 0
      && (relay->answer.ended || relay->answer.cut))
    {
      taken->sent_all = true;
      send_chunk (taken->handover, taken->entry, taken->id, true, NULL, 0,
                  relay->answer.ended, relay->answer.cut);
    }
}

static void
on_taken_answer_ready (relay_t *relay)
{
  taken_t *taken = relay->caller;
  if (taken->sent_all || taken->sending)
    return;
  taken->sending = true;
  if (!relay->told)
    {
      relay->told = true;
      send_answer (taken);
    }
  if (!taken->sent_all)
    send_answer_body (taken);
  taken->sending = false;
}

static void
on_taken_body_room (relay_t *relay)
{
  taken_t *taken = relay->caller;
  uint64_t allowed
      = taken->received - bytepipe_unread (&relay->body) + FIRST_CREDIT;
  if (allowed < taken->granted + CREDIT_STEP)
    return;
  send_credit (taken->handover, taken->entry, taken->id, false,
               allowed - taken->granted);
  taken->granted = allowed;
}

static const relay_caller_ops_t taken_ops
    = { on_taken_answer_ready, on_taken_body_room };

static bool
is_valid (const Magnoliadock__HandOver *message)
{
  return message->service[0] != '\0' && message->team[0] != '\0'
         && message->method[0] != '\0' && message->path[0] == '/'
         && message->request_id[0] != '\0' && message->class_ < CLASS_COUNT
         && message->deadline_ms > 0 && message->deadline_ms <= MAX_DEADLINE_MS
         && message->body.len <= FIRST_CREDIT;
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
  relay->begun_ms = now_ms;
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
take_request (handover_t *handover, const char *entry,
              const Magnoliadock__HandOver *message)
{
  char *key = taken_key (entry, message->id);
  if (!is_valid (message) || g_hash_table_contains (handover->taken, key))
    {
      log_event (LOG_WARN, "hand_over_ignored", "entry", entry, NULL);
      g_free (key);
      return;
    }
  taken_t *taken = g_new0 (taken_t, 1);
  taken->handover = handover;
  taken->key = key;
  taken->id = message->id;
  taken->entry = g_strdup (entry);
  taken->credit = FIRST_CREDIT;
  taken->received = message->body.len;
  taken->granted = FIRST_CREDIT;
  taken->relay = relay_new (handover->proxy, &taken_ops, taken);
  fill_relay (taken->relay, message, clk_now_ms (handover->options.clock));
  g_hash_table_insert (handover->taken, taken->key, taken);
  relay_submit (taken->relay, message->incarnation, message->id);
}

static void
take_body_chunk (taken_t *taken, const Magnoliadock__BodyChunk *chunk)
{
  relay_t *relay = taken->relay;
  taken->received += chunk->data.len;
  size_t fit = relay_body_put (relay, (const char *)chunk->data.data,
                               chunk->data.len);
  if (fit < chunk->data.len || chunk->cut)
    {
      close_taken (taken);
      return;
    }
  if (chunk->ended)
    relay_body_end (relay);
}

static void
answer_query (handover_t *handover, const char *entry,
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

static given_t *
find_given (handover_t *handover, const char *entry, uint64_t id)
{
  given_t *given = g_hash_table_lookup (handover->given, &id);
  return given != NULL && strcmp (given->entry, entry) == 0 ? given : NULL;
}

static void
take_chunk (handover_t *handover, const char *entry,
            const Magnoliadock__BodyChunk *chunk)
{
  if (chunk->to_origin)
    {
      given_t *given = find_given (handover, entry, chunk->id);
      if (given != NULL && !given->inquiry.lost)
        take_answer_chunk (given, chunk);
      return;
    }
  taken_t *taken = find_taken (handover, entry, chunk->id);
  if (taken != NULL)
    take_body_chunk (taken, chunk);
}

static void
take_credit (handover_t *handover, const char *entry,
             const Magnoliadock__BodyCredit *credit)
{
  size_t bytes = MIN (credit->bytes, FIRST_CREDIT);
  if (!credit->to_origin)
    {
      given_t *given = find_given (handover, entry, credit->id);
      if (given == NULL || given->inquiry.lost)
        return;
      given->credit = MIN (given->credit + bytes, FIRST_CREDIT);
      send_body (given);
      return;
    }
  taken_t *taken = find_taken (handover, entry, credit->id);
  if (taken == NULL)
    return;
  taken->credit = MIN (taken->credit + bytes, FIRST_CREDIT);
  if (taken->relay->told)
    on_taken_answer_ready (taken->relay);
}

bool
handover_frame (handover_t *handover, const char *entry, const frame_t *frame)
{
  given_t *given;
  taken_t *taken;
  switch (frame->body_case)
    {
    case MAGNOLIADOCK__FRAME__BODY_HAND_OVER:
      take_request (handover, entry, frame->hand_over);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_BODY_CHUNK:
      take_chunk (handover, entry, frame->body_chunk);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_BODY_CREDIT:
      take_credit (handover, entry, frame->body_credit);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_ANSWER:
      given = find_given (handover, entry, frame->answer->id);
      if (given != NULL && !given->inquiry.lost)
        take_answer (given, frame->answer);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_ANSWER_ACK:
      taken = find_taken (handover, entry, frame->answer_ack->id);
      if (taken != NULL && taken->sent_all)
        close_taken (taken);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_CANCEL_REQUEST:
      taken = find_taken (handover, entry, frame->cancel_request->id);
      if (taken != NULL)
        close_taken (taken);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_OUTCOME_QUERY:
      answer_query (handover, entry, frame->outcome_query);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_OUTCOME_REPLY:
      given = find_given (handover, entry, frame->outcome_reply->id);
      if (given != NULL)
        take_outcome (given, frame->outcome_reply);
      return true;
    default:
      return false;
    }
}

/* Returns the values of TABLE whose entry may be acted upon while TABLE
   changes.  */
static GPtrArray *
snapshot (GHashTable *table)
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
handover_up (handover_t *handover, const char *entry)
{
  int64_t now_ms = clk_now_ms (handover->options.clock);
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, handover->given);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      given_t *given = value;
      if (strcmp (given->entry, entry) == 0)
        carry_out (given, inquiry_reconnected (&given->inquiry, now_ms), 0);
    }
}

void
handover_down (handover_t *handover, const char *entry)
{
  GPtrArray *all = snapshot (handover->taken);
  for (guint i = 0; i < all->len; i++)
    {
      taken_t *taken = g_ptr_array_index (all, i);
      if (strcmp (taken->entry, entry) == 0)
        close_taken (taken);
    }
  g_ptr_array_unref (all);
  all = snapshot (handover->given);
  for (guint i = 0; i < all->len; i++)
    {
      given_t *given = g_ptr_array_index (all, i);
      if (strcmp (given->entry, entry) == 0)
        carry_out (given,
                   inquiry_lost (&given->inquiry, given->relay->streaming),
                   given->relay->status);
    }
  g_ptr_array_unref (all);
}

static void
on_tick (void *context)
{
  handover_t *handover = context;
  int64_t now_ms = clk_now_ms (handover->options.clock);
  if (g_hash_table_size (handover->given) == 0)
    return;
  GPtrArray *all = snapshot (handover->given);
  for (guint i = 0; i < all->len; i++)
    {
      given_t *given = g_ptr_array_index (all, i);
      bool gone
          = given->inquiry.lost && peer_is_gone (handover->peer, given->entry);
      carry_out (given, inquiry_tick (&given->inquiry, now_ms, gone), 0);
    }
  g_ptr_array_unref (all);
}

handover_t *
handover_new (peer_t *peer, const peer_options_t *options)
{
  handover_t *handover = g_new0 (handover_t, 1);
  handover->peer = peer;
  handover->options = *options;
  handover->given = g_hash_table_new (g_int64_hash, g_int64_equal);
  handover->taken = g_hash_table_new (g_str_hash, g_str_equal);
  handover->timer = loop_timer_new (options->loop, TICK_MS, on_tick, handover);
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
  GPtrArray *all = snapshot (handover->taken);
  for (guint i = 0; i < all->len; i++)
    {
      taken_t *taken = g_ptr_array_index (all, i);
      taken->relay->caller_ops = NULL;
      taken->relay->caller = NULL;
      taken_free (taken);
    }
  g_ptr_array_unref (all);
  all = snapshot (handover->given);
  for (guint i = 0; i < all->len; i++)
    on_given_drop (((given_t *)g_ptr_array_index (all, i))->relay);
  g_ptr_array_unref (all);
  g_hash_table_unref (handover->given);
  g_hash_table_unref (handover->taken);
  g_free (handover);
}
