#include "fake_zone.h"

#include "dispatch_internal.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#define ENTRIES_MAX 8
#define PROCESSES_MAX 16
#define TICK_PERIOD_MS 10
#define HEARTBEAT_MS 1000
#define PEER_DEAD_MS 3000
#define LIST_LAG_MS 10000
#define STORE_TIMEOUT_MS 2000
#define LONGEST_DEADLINE_MS 60000
/* Retirement after 62 s and list lag, its messages, and time to settle.  */
#define HEAL_MS 110000
#define MEAN_RUN_MS 40

typedef enum
{
  EVENT_TICK,
  EVENT_MESSAGE,
  EVENT_RUN_ENDS,
  EVENT_ATTEMPT_ENDS,
  EVENT_ARRIVAL,
  EVENT_STORE_READ,
  EVENT_STORE_WRITE,
  EVENT_STORE_REPLY,
  EVENT_FAULT,
  EVENT_RESTART,
  EVENT_GONE,
  EVENT_PROCESS_GONE,
  EVENT_PROCESS_RETURNS
} event_kind_t;

typedef enum
{
  MESSAGE_LOAD,
  MESSAGE_LEDGER,
  MESSAGE_WANT,
  MESSAGE_CLOSING_REQUEST,
  MESSAGE_CLOSING_STATEMENT
} message_kind_t;

typedef struct
{
  message_kind_t kind;
  char *from;
  uint32_t from_index;
  uint32_t a, b;
  GPtrArray *names; /* strings of the items, owned */
  GArray *given;    /* dispatch_given_t */
  GArray *closing;  /* dispatch_closing_t */
} message_t;

typedef struct
{
  int64_t at_ms;
  uint64_t order;
  event_kind_t kind;
  uint32_t entry;
  uint64_t birth; /* of the entry that it is for, 0: any */
  uint64_t id;
  uint32_t attempt;
  uint32_t process;
  int64_t incarnation;
  err_kind_t result;
  message_t *message;
  json_t *row;
  int64_t version;
} event_t;

typedef struct zone zone_t;

typedef struct
{
  zone_t *zone;
  uint32_t index;
  uint64_t birth; /* 0: not running */
  char *name;
  dispatch_t *dispatch;
  counter_registry_t *registry;
  int64_t paused_until_ms;
  int64_t next_heartbeat_ms;
  bool store_busy;
  uint32_t actions_left; /* dies in the midst of an event; 0: does not */
  bool dying;
  int64_t heard_ms[ENTRIES_MAX];
  char *heard_name[ENTRIES_MAX]; /* NULL: peer is down */
  uint32_t answered_after_heal;
} entry_t;

typedef struct
{
  int64_t incarnation;
  uint32_t running;
  bool gone; /* for longer than the list lags */
} process_sim_t;

typedef struct
{
  uint32_t entry;
  bool idempotent;
  bool ended;
  bool told;
  outcome_t claim;
  uint32_t delivered;
  uint32_t ran;
  uint64_t
      repeats; /* first request with the same caller's id, own id if none */
} record_t;

struct zone
{
  zone_case_t run;
  zone_report_t report;
  clk_fake_t clock;
  int64_t now_ms;
  GRand *random;
  GArray *heap; /* event_t */
  uint64_t order;
  uint64_t births;
  entry_t entries[ENTRIES_MAX];
  process_sim_t processes[PROCESSES_MAX];
  bool cut[ENTRIES_MAX][ENTRIES_MAX];
  bool store_down;
  bool healed;
  json_t *row;
  int64_t version;
  GArray *records; /* record_t by request id - 1 */
  GPtrArray *dead; /* names of entries that are gone */
};

static bool
before (const event_t *a, const event_t *b)
{
  return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

static void
schedule (zone_t *zone, event_t event, int64_t delay_ms)
{
  event.at_ms = zone->now_ms + MAX (delay_ms, 0);
  event.order = zone->order++;
  g_array_append_val (zone->heap, event);
  event_t *heap = (event_t *)(void *)zone->heap->data;
  for (guint i = zone->heap->len - 1; i > 0; i = (i - 1) / 2)
    {
      if (!before (&heap[i], &heap[(i - 1) / 2]))
        break;
      event_t swap = heap[i];
      heap[i] = heap[(i - 1) / 2];
      heap[(i - 1) / 2] = swap;
    }
}

static event_t
take_event (zone_t *zone)
{
  event_t *heap = (event_t *)(void *)zone->heap->data;
  event_t first = heap[0];
  guint count = zone->heap->len - 1;
  heap[0] = heap[count];
  g_array_set_size (zone->heap, count);
  for (guint i = 0;;)
    {
      guint child = 2 * i + 1;
      if (child + 1 < count && before (&heap[child + 1], &heap[child]))
        child++;
      if (child >= count || !before (&heap[child], &heap[i]))
        break;
      event_t swap = heap[i];
      heap[i] = heap[child];
      heap[child] = swap;
      i = child;
    }
  return first;
}

static uint32_t
draw (zone_t *zone, uint32_t below)
{
  return (uint32_t)g_rand_int_range (zone->random, 0, (gint32)below);
}

static bool
chance (zone_t *zone, double probability)
{
  return !zone->healed && g_rand_double (zone->random) < probability;
}

static record_t *
record_of (zone_t *zone, uint64_t id)
{
  return &g_array_index (zone->records, record_t, id - 1);
}

/* Returns whether the action of ENTRY still takes place: a dying entry does
   none after the one that it dies at.  */
static bool
acts (entry_t *entry)
{
  if (entry->dying)
    return false;
  if (entry->actions_left > 0 && --entry->actions_left == 0)
    entry->dying = true;
  return true;
}

static void
note_end (entry_t *entry, uint64_t id, bool told, outcome_t claim)
{
  zone_t *zone = entry->zone;
  record_t *record = record_of (zone, id);
  if (record->ended)
    zone->report.double_ends++;
  record->ended = true;
  record->told = told;
  record->claim = claim;
  if (claim == OUTCOME_RAN && zone->healed)
    entry->answered_after_heal++;
}

static void
act_refuse (void *context, uint64_t id, err_kind_t kind, outcome_t outcome,
            int64_t retry_after_ms, const char *detail)
{
  entry_t *entry = context;
  if (!acts (entry))
    return;
  /* A repeated id is told of the earlier request, not of itself.  */
  bool own = kind != ERR_IN_FLIGHT && kind != ERR_CONFLICT;
  note_end (entry, id, own, outcome);
  entry->zone->report.refused++;
}

static void
act_send (void *context, uint64_t id, uint32_t attempt, const char *backend,
          const char *url, bool fresh)
{
  entry_t *entry = context;
  zone_t *zone = entry->zone;
  if (!acts (entry))
    return;
  uint32_t p = (uint32_t)g_ascii_strtoull (backend + 1, NULL, 10);
  event_t ends = { .kind = EVENT_ATTEMPT_ENDS,
                   .entry = entry->index,
                   .birth = entry->birth,
                   .id = id,
                   .attempt = attempt,
                   .process = p,
                   .result = ERR_CONNECT_FAILED };
  process_sim_t *process = &zone->processes[p];
  if (process->gone || chance (zone, 0.03))
    {
      schedule (zone, ends, 1);
      return;
    }
  record_t *record = record_of (zone, id);
  record->delivered++;
  record->ran++;
  record_of (zone, record->repeats)->ran += record->repeats != id;
  if (!record->idempotent && record->delivered > 1)
    zone->report.delivered_twice++;
  if (++process->running > zone->run.limit)
    {
      if (zone->report.over_limit++ == 0)
        zone->report.first_fault_ms = (uint32_t)zone->now_ms;
    }
  int64_t run_ms = 1 + draw (zone, 2 * MEAN_RUN_MS);
  /* Some run until the longest deadline, so that a dead entry's requests are
     still there when its slots are retired.  */
  if (chance (zone, 0.0005))
    run_ms = LONGEST_DEADLINE_MS - 1 - draw (zone, 5000);
  ends.kind = EVENT_RUN_ENDS;
  ends.incarnation = process->incarnation;
  ends.result = chance (zone, 0.03) ? ERR_CONNECTION_LOST : ERR_OK;
  schedule (zone, ends, run_ms);
}

static void
act_unused_hand_over (void *context, uint64_t id, uint32_t attempt,
                      const char *entry)
{
}

static void
act_probe (void *context, const char *backend, const char *url)
{
  entry_t *entry = context;
  event_t ends
      = { .kind = EVENT_ATTEMPT_ENDS,
          .entry = entry->index,
          .birth = entry->birth,
          .process = (uint32_t)g_ascii_strtoull (backend + 1, NULL, 10) };
  schedule (entry->zone, ends, 2);
}

static int
entry_by_name (const zone_t *zone, const char *name)
{
  for (uint32_t i = 0; i < zone->run.entries; i++)
    if (g_strcmp0 (zone->entries[i].name, name) == 0)
      return (int)i;
  return -1;
}

static message_t *
message_new (const entry_t *from, message_kind_t kind)
{
  message_t *message = g_new0 (message_t, 1);
  message->kind = kind;
  message->from = g_strdup (from->name);
  message->from_index = from->index;
  message->names = g_ptr_array_new_with_free_func (g_free);
  message->given = g_array_new (FALSE, FALSE, sizeof (dispatch_given_t));
  message->closing = g_array_new (FALSE, FALSE, sizeof (dispatch_closing_t));
  return message;
}

static message_t *
message_copy (const message_t *from)
{
  message_t *copy = g_new0 (message_t, 1);
  *copy = *from;
  copy->from = g_strdup (from->from);
  g_ptr_array_ref (copy->names);
  g_array_ref (copy->given);
  g_array_ref (copy->closing);
  return copy;
}

static void
message_free (message_t *message)
{
  if (message == NULL)
    return;
  g_free (message->from);
  g_ptr_array_unref (message->names);
  g_array_unref (message->given);
  g_array_unref (message->closing);
  g_free (message);
}

static const char *
keep (message_t *message, const char *text)
{
  char *copy = g_strdup (text);
  g_ptr_array_add (message->names, copy);
  return copy;
}

/* Takes MESSAGE.  Frames may be lost, doubled and overtake each other, which
   TCP would not do; a reconnect does.  */
static void
post (entry_t *from, const char *to_name, message_t *message)
{
  zone_t *zone = from->zone;
  int to = entry_by_name (zone, to_name);
  bool live = acts (from) && to >= 0;
  int copies = live && chance (zone, 0.05) ? 2 : 1;
  for (int i = 0; live && i < copies; i++)
    {
      zone->report.messages++;
      if (zone->cut[from->index][to] || chance (zone, 0.1))
        {
          zone->report.messages_lost++;
          continue;
        }
      int64_t delay_ms = 1 + draw (zone, 3);
      if (chance (zone, 0.1))
        delay_ms += draw (zone, 2000);
      if (chance (zone, 0.005))
        delay_ms += draw (zone, 100000);
      event_t event = { .kind = EVENT_MESSAGE,
                        .entry = (uint32_t)to,
                        .birth = zone->entries[to].birth,
                        .message = message_copy (message) };
      schedule (zone, event, delay_ms);
    }
  message_free (message);
}

static void
act_send_ledger (void *context, const char *to, const dispatch_given_t *given,
                 uint32_t count)
{
  entry_t *entry = context;
  message_t *message = message_new (entry, MESSAGE_LEDGER);
  for (uint32_t i = 0; i < count; i++)
    {
      dispatch_given_t item = given[i];
      item.backend = keep (message, item.backend);
      g_array_append_val (message->given, item);
      entry->zone->report.slots_moved += item.confirm;
    }
  post (entry, to, message);
}

static void
act_want_slots (void *context, const char *to, const char *service,
                uint32_t count)
{
  entry_t *entry = context;
  message_t *message = message_new (entry, MESSAGE_WANT);
  message->a = count;
  post (entry, to, message);
}

static void
act_closing_request (void *context, const char *to, const char *const *members,
                     uint32_t count)
{
  entry_t *entry = context;
  message_t *message = message_new (entry, MESSAGE_CLOSING_REQUEST);
  for (uint32_t i = 0; i < count; i++)
    keep (message, members[i]);
  message->a = count;
  post (entry, to, message);
}

static void
act_closing_statement (void *context, const char *to,
                       const char *const *members, uint32_t count,
                       const dispatch_closing_t *items, uint32_t item_count)
{
  entry_t *entry = context;
  message_t *message = message_new (entry, MESSAGE_CLOSING_STATEMENT);
  for (uint32_t i = 0; i < count; i++)
    keep (message, members[i]);
  message->a = count;
  for (uint32_t i = 0; i < item_count; i++)
    {
      dispatch_closing_t item = items[i];
      item.member = keep (message, item.member);
      item.backend = keep (message, item.backend);
      g_array_append_val (message->closing, item);
    }
  post (entry, to, message);
}

static const dispatch_actions_t actions = { act_send,
                                            act_unused_hand_over,
                                            act_refuse,
                                            act_probe,
                                            act_send_ledger,
                                            act_want_slots,
                                            act_closing_request,
                                            act_closing_statement };

static void
tell_process (entry_t *entry, uint32_t p)
{
  const process_sim_t *process = &entry->zone->processes[p];
  char *id = g_strdup_printf ("b%u", p);
  dispatch_backend_t backend = { id,    "svc",
                                 "z",   "http://b",
                                 false, entry->zone->run.limit,
                                 64,    process->incarnation };
  if (process->gone)
    dispatch_backend_remove (entry->dispatch, id);
  else
    dispatch_backend_set (entry->dispatch, &backend);
  g_free (id);
}

static void
start_entry (zone_t *zone, uint32_t index)
{
  entry_t *entry = &zone->entries[index];
  *entry = (entry_t){ .zone = zone, .index = index };
  entry->birth = ++zone->births;
  entry->name
      = g_strdup_printf ("e%u@%" G_GUINT64_FORMAT, index, entry->birth);
  entry->registry = counter_registry_new ();
  entry->dispatch
      = dispatch_new (entry->name, "z", &actions, entry, &zone->clock.base,
                      entry->registry, zone->run.seed + index);
  dispatch_shares_expect (entry->dispatch);
  share_set_rules (entry->dispatch->share, zone->run.rules);
  for (uint32_t p = 0; p < zone->run.processes; p++)
    tell_process (entry, p);
  event_t tick = { .kind = EVENT_TICK, .entry = index, .birth = entry->birth };
  schedule (zone, tick, draw (zone, TICK_PERIOD_MS));
}

static void
stop_entry (zone_t *zone, uint32_t index)
{
  entry_t *entry = &zone->entries[index];
  for (guint i = 0; i < zone->records->len; i++)
    {
      record_t *record = &g_array_index (zone->records, record_t, i);
      if (record->entry != index || record->ended)
        continue;
      record->ended = true;
      zone->report.lost_with_entry++;
    }
  event_t gone = { .kind = EVENT_GONE };
  for (uint32_t i = 0; i < zone->run.entries; i++)
    {
      if (i == index)
        continue;
      gone.entry = i;
      gone.message = message_new (entry, MESSAGE_LOAD);
      schedule (zone, gone, draw (zone, LIST_LAG_MS));
    }
  g_ptr_array_add (zone->dead, g_strdup (entry->name));
  gone = (event_t){ .kind = EVENT_RESTART, .entry = index };
  schedule (zone, gone, 500 + draw (zone, 5000));
  dispatch_free (entry->dispatch);
  counter_registry_free (entry->registry);
  g_free (entry->name);
  for (uint32_t i = 0; i < ENTRIES_MAX; i++)
    g_free (entry->heard_name[i]);
  *entry = (entry_t){ .zone = zone, .index = index };
}

static uint64_t
birth_of (const char *name)
{
  return g_ascii_strtoull (strchr (name, '@') + 1, NULL, 10);
}

static void
heard_from (entry_t *entry, const message_t *message)
{
  uint32_t from = message->from_index;
  entry->heard_ms[from] = entry->zone->now_ms;
  if (g_strcmp0 (entry->heard_name[from], message->from) == 0)
    return;
  /* Late frames of a dead incarnation do not replace a newer one.  */
  if (entry->heard_name[from] != NULL)
    {
      if (birth_of (message->from) < birth_of (entry->heard_name[from]))
        return;
      dispatch_peer_down (entry->dispatch, entry->heard_name[from]);
      g_free (entry->heard_name[from]);
    }
  entry->heard_name[from] = g_strdup (message->from);
  dispatch_peer_up (entry->dispatch, message->from, "z");
}

static void
deliver (entry_t *entry, const message_t *message)
{
  dispatch_t *dispatch = entry->dispatch;
  const char *const *names = (const char *const *)message->names->pdata;
  heard_from (entry, message);
  switch (message->kind)
    {
    case MESSAGE_LOAD:
      dispatch_peer_load (dispatch, message->from, "svc", message->a,
                          message->b);
      break;
    case MESSAGE_LEDGER:
      dispatch_peer_ledger (dispatch, message->from,
                            (dispatch_given_t *)(void *)message->given->data,
                            message->given->len);
      break;
    case MESSAGE_WANT:
      dispatch_peer_wants (dispatch, message->from, "svc", message->a);
      break;
    case MESSAGE_CLOSING_REQUEST:
      dispatch_peer_closing_request (dispatch, message->from, names,
                                     message->a);
      break;
    case MESSAGE_CLOSING_STATEMENT:
      dispatch_peer_closing_statement (
          dispatch, message->from, names, message->a,
          (dispatch_closing_t *)(void *)message->closing->data,
          message->closing->len);
      break;
    }
}

static void
heartbeat (entry_t *entry)
{
  zone_t *zone = entry->zone;
  entry->next_heartbeat_ms = zone->now_ms + HEARTBEAT_MS;
  for (uint32_t i = 0; i < zone->run.entries; i++)
    {
      if (i == entry->index)
        continue;
      if (entry->heard_name[i] != NULL
          && entry->heard_ms[i] + PEER_DEAD_MS < zone->now_ms)
        {
          dispatch_peer_down (entry->dispatch, entry->heard_name[i]);
          g_clear_pointer (&entry->heard_name[i], g_free);
        }
      if (zone->entries[i].birth == 0)
        continue;
      message_t *message = message_new (entry, MESSAGE_LOAD);
      dispatch_load (entry->dispatch, "svc", &message->a, &message->b);
      post (entry, zone->entries[i].name, message);
    }
}

static void
read_row (entry_t *entry)
{
  event_t read = { .kind = EVENT_STORE_READ,
                   .entry = entry->index,
                   .birth = entry->birth };
  entry->store_busy = true;
  schedule (entry->zone, read, 1 + draw (entry->zone, 5));
}

static void
run_tick (zone_t *zone, entry_t *entry)
{
  dispatch_tick (entry->dispatch);
  if (zone->now_ms >= entry->next_heartbeat_ms)
    {
      heartbeat (entry);
      if (!entry->store_busy && dispatch_shares_read_due (entry->dispatch))
        read_row (entry);
    }
  event_t tick
      = { .kind = EVENT_TICK, .entry = entry->index, .birth = entry->birth };
  schedule (zone, tick, TICK_PERIOD_MS);
}

static void
store_reply (zone_t *zone, const event_t *request, err_kind_t result,
             int64_t delay_ms)
{
  event_t reply = { .kind = EVENT_STORE_REPLY,
                    .entry = request->entry,
                    .birth = request->birth,
                    .result = result };
  if (request->kind == EVENT_STORE_READ && result == ERR_OK)
    {
      reply.row = zone->row != NULL ? json_deep_copy (zone->row) : NULL;
      reply.version = zone->version;
    }
  else
    reply.version = -1;
  schedule (zone, reply, delay_ms);
}

static void
count_retired (zone_t *zone, const json_t *row)
{
  const char *name;
  json_t *bases;
  json_object_foreach (json_object_get (zone->row, "members"), name, bases)
  {
    if (json_object_get (json_object_get (row, "members"), name) == NULL)
      zone->report.retirements++;
  }
}

static void
run_store (zone_t *zone, const event_t *event)
{
  bool write = event->kind == EVENT_STORE_WRITE;
  if (zone->store_down)
    {
      store_reply (zone, event, ERR_STORE_UNAVAILABLE, 1);
      return;
    }
  bool lost = chance (zone, 0.1);
  err_kind_t result = ERR_OK;
  if (write && event->version != zone->version)
    result = ERR_CONFLICT;
  else if (write)
    {
      count_retired (zone, event->row);
      json_decref (zone->row);
      zone->row = json_deep_copy (event->row);
      zone->version++;
    }
  zone->report.lost_replies += lost;
  if (lost)
    store_reply (zone, event, ERR_TIMEOUT, STORE_TIMEOUT_MS);
  else
    store_reply (zone, event, result, 1 + draw (zone, 20));
}

static void
run_store_reply (zone_t *zone, entry_t *entry, const event_t *event)
{
  entry->store_busy = false;
  if (event->version < 0)
    {
      /* After a write, whatever its result, the row is read back.  */
      if (event->result != ERR_STORE_UNAVAILABLE)
        read_row (entry);
      return;
    }
  zone->report.rows_refused
      += dispatch_shares_load (entry->dispatch, event->version, event->row)
         != ERR_OK;
  int64_t version = 0;
  json_t *row = dispatch_shares_propose (entry->dispatch, &version);
  if (row == NULL)
    return;
  event_t write = { .kind = EVENT_STORE_WRITE,
                    .entry = entry->index,
                    .birth = entry->birth,
                    .row = row,
                    .version = version };
  entry->store_busy = true;
  schedule (zone, write, chance (zone, 0.1) ? draw (zone, 3000) : 2);
}

static void
submit (zone_t *zone, uint32_t index)
{
  entry_t *entry = &zone->entries[index];
  if (entry->birth == 0 || entry->paused_until_ms > zone->now_ms)
    return;
  record_t record = { .entry = index,
                      .idempotent = draw (zone, 3) != 0,
                      .repeats = zone->records->len + 1 };
  /* Some callers repeat the id of an earlier request.  */
  if (!record.idempotent && zone->records->len > 50 && draw (zone, 4) == 0)
    {
      uint64_t earlier = zone->records->len - draw (zone, 50);
      const record_t *first = record_of (zone, earlier);
      if (first->entry == index && !first->idempotent && !first->ended)
        record.repeats = first->repeats;
    }
  g_array_append_val (zone->records, record);
  uint64_t id = zone->records->len;
  char *request_id
      = g_strdup_printf ("%" G_GUINT64_FORMAT, record_of (zone, id)->repeats);
  dispatch_request_t request
      = { .id = id,
          .service = "svc",
          .team = record_of (zone, id)->repeats % 2 ? "a" : "b",
          .class = (class_t)draw (zone, CLASS_COUNT),
          .idempotent = record.idempotent,
          .replayable = draw (zone, 10) != 0,
          .deadline_ms = zone->now_ms + 200 + draw (zone, 3000),
          .request_id = record.idempotent ? NULL : request_id };
  zone->report.requests++;
  dispatch_submit (entry->dispatch, &request);
  if (draw (zone, 50) == 0)
    {
      record_t *own = record_of (zone, id);
      if (!own->ended)
        {
          own->ended = true;
          dispatch_cancel (entry->dispatch, id);
        }
    }
  g_free (request_id);
}

static void
run_arrival (zone_t *zone, const event_t *event)
{
  /* Callers favour one entry at a time, so that slots have to move.  */
  uint32_t favoured = (uint32_t)(zone->now_ms / 7000) % zone->run.entries;
  uint32_t index
      = draw (zone, 3) == 0 ? draw (zone, zone->run.entries) : favoured;
  submit (zone, index);
  double rate_per_ms
      = zone->run.load * zone->run.processes * zone->run.limit / MEAN_RUN_MS;
  if (zone->healed)
    rate_per_ms *= 0.2;
  double gap_ms = -log (1.0 - g_rand_double (zone->random)) / rate_per_ms;
  if (zone->now_ms < zone->run.chaos_ms + HEAL_MS - 5000)
    schedule (zone, *event, (int64_t)(gap_ms + g_rand_double (zone->random)));
}

static void
run_attempt_end (zone_t *zone, entry_t *entry, const event_t *event)
{
  if (event->id == 0)
    {
      char *id = g_strdup_printf ("b%u", event->process);
      dispatch_probe_ended (entry->dispatch, id,
                            chance (zone, 0.3) ? ERR_CONNECT_FAILED : ERR_OK);
      g_free (id);
      return;
    }
  record_t *record = record_of (zone, event->id);
  outcome_t outcome = OUTCOME_UNKNOWN;
  bool started = event->result == ERR_CONNECTION_LOST && chance (zone, 0.2);
  if (event->result == ERR_CONNECT_FAILED)
    outcome = OUTCOME_NOT_RUN;
  if (started)
    dispatch_attempt_started (entry->dispatch, event->id, event->attempt);
  if ((event->result == ERR_OK || started) && !record->ended)
    {
      note_end (entry, event->id, false, OUTCOME_RAN);
      zone->report.answered++;
    }
  dispatch_attempt_ended (entry->dispatch, event->id, event->attempt,
                          event->result, event->result == ERR_OK ? 200 : 0,
                          outcome);
  if (chance (zone, 0.05))
    dispatch_attempt_ended (entry->dispatch, event->id, event->attempt, ERR_OK,
                            200, OUTCOME_RAN);
}

static void
run_run_end (zone_t *zone, const event_t *event)
{
  process_sim_t *process = &zone->processes[event->process];
  event_t ends = *event;
  ends.kind = EVENT_ATTEMPT_ENDS;
  if (process->incarnation == event->incarnation)
    process->running--;
  else
    ends.result = ERR_CONNECTION_LOST;
  schedule (zone, ends, 0);
}

static void
tell_all (zone_t *zone, uint32_t p)
{
  for (uint32_t i = 0; i < zone->run.entries; i++)
    {
      event_t told = { .kind = EVENT_PROCESS_GONE, .entry = i, .process = p };
      schedule (zone, told, draw (zone, LIST_LAG_MS));
    }
}

/* Half of the processes come back at once, the others after longer than it
   takes to drop them from the row.  */
static void
replace_process (zone_t *zone, uint32_t p)
{
  process_sim_t *process = &zone->processes[p];
  if (process->gone)
    return;
  zone->report.process_deaths++;
  process->incarnation++;
  process->running = 0;
  if (draw (zone, 2) == 0)
    {
      process->gone = true;
      event_t returns = { .kind = EVENT_PROCESS_RETURNS, .process = p };
      schedule (zone, returns, 20000 + draw (zone, 80000));
    }
  tell_all (zone, p);
}

static void
run_fault (zone_t *zone, const event_t *event)
{
  if (zone->now_ms >= zone->run.chaos_ms)
    {
      zone->healed = true;
      zone->store_down = false;
      memset (zone->cut, 0, sizeof zone->cut);
      for (uint32_t i = 0; i < zone->run.entries; i++)
        zone->entries[i].actions_left = 0;
      return;
    }
  uint32_t i = draw (zone, zone->run.entries);
  uint32_t k = draw (zone, zone->run.entries);
  switch (draw (zone, 8))
    {
    case 0:
      if (zone->entries[i].birth != 0)
        {
          zone->report.crashes++;
          zone->entries[i].actions_left = 1 + draw (zone, 200);
        }
      break;
    case 1:
      zone->report.pauses++;
      zone->entries[i].paused_until_ms
          = zone->now_ms + draw (zone, draw (zone, 10) == 0 ? 80000 : 6000);
      /* All entries run while the zone heals.  */
      zone->entries[i].paused_until_ms
          = MIN (zone->entries[i].paused_until_ms, zone->run.chaos_ms);
      break;
    case 2:
    case 3:
      zone->report.cuts++;
      zone->cut[i][k] = true;
      break;
    case 4:
    case 5:
      memset (zone->cut, 0, sizeof zone->cut);
      zone->store_down = false;
      break;
    case 6:
      zone->report.outages++;
      zone->store_down = true;
      break;
    default:
      replace_process (zone, draw (zone, zone->run.processes));
      break;
    }
  schedule (zone, *event, 500 + draw (zone, 6000));
}

static void
run_entry_event (zone_t *zone, entry_t *entry, const event_t *event)
{
  switch (event->kind)
    {
    case EVENT_TICK:
      run_tick (zone, entry);
      break;
    case EVENT_MESSAGE:
      deliver (entry, event->message);
      break;
    case EVENT_ATTEMPT_ENDS:
      run_attempt_end (zone, entry, event);
      break;
    case EVENT_STORE_REPLY:
      run_store_reply (zone, entry, event);
      break;
    case EVENT_GONE:
      dispatch_member_gone (entry->dispatch, event->message->from);
      break;
    case EVENT_PROCESS_GONE:
      tell_process (entry, event->process);
      break;
    default:
      break;
    }
  if (entry->dying)
    stop_entry (zone, entry->index);
}

static void
run_event (zone_t *zone, event_t *event)
{
  entry_t *entry = &zone->entries[event->entry];
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      run_arrival (zone, event);
      break;
    case EVENT_FAULT:
      run_fault (zone, event);
      break;
    case EVENT_PROCESS_RETURNS:
      zone->processes[event->process].gone = false;
      tell_all (zone, event->process);
      break;
    case EVENT_RUN_ENDS:
      run_run_end (zone, event);
      break;
    case EVENT_STORE_READ:
    case EVENT_STORE_WRITE:
      run_store (zone, event);
      break;
    case EVENT_RESTART:
      start_entry (zone, event->entry);
      for (guint i = 0; i < zone->dead->len; i++)
        dispatch_member_gone (entry->dispatch, zone->dead->pdata[i]);
      break;
    default:
      if (entry->birth == 0
          || (event->birth != 0 && event->birth != entry->birth))
        {
          /* An entry that is not there yet reads the list when it starts. */
          if (event->kind == EVENT_GONE && entry->birth == 0)
            {
              event_t again = *event;
              again.message = message_copy (event->message);
              schedule (zone, again, 1000);
            }
          break;
        }
      if (entry->paused_until_ms > zone->now_ms && !zone->healed)
        {
          event_t later = *event;
          event->message = NULL;
          event->row = NULL;
          schedule (zone, later, entry->paused_until_ms - zone->now_ms);
          break;
        }
      run_entry_event (zone, entry, event);
      break;
    }
  message_free (event->message);
  json_decref (event->row);
}

static void
check_slots (zone_t *zone)
{
  for (uint32_t p = 0; p < zone->run.processes; p++)
    {
      char *id = g_strdup_printf ("b%u", p);
      int64_t sum = 0;
      for (uint32_t i = 0; i < zone->run.entries; i++)
        {
          share_t *share = zone->entries[i].dispatch->share;
          sum += share_slots (
              share,
              share_resolve (share, id, zone->processes[p].incarnation));
        }
      if (sum != zone->run.limit)
        {
          zone->report.slots_wrong++;
          printf ("\n  slots of %s: %" G_GINT64_FORMAT " of %u", id, sum,
                  zone->run.limit);
        }
      g_free (id);
    }
  for (uint32_t i = 0; i < zone->run.entries; i++)
    zone->report.not_served += zone->entries[i].answered_after_heal == 0;
}

static void
check_records (zone_t *zone)
{
  zone_report_t *report = &zone->report;
  for (guint i = 0; i < zone->records->len; i++)
    {
      const record_t *record = &g_array_index (zone->records, record_t, i);
      report->never_ended += !record->ended;
      report->false_not_run += record->told && record->ran > 0
                               && record->claim == OUTCOME_NOT_RUN
                               && record->delivered > 0;
      report->false_ran
          += record->told && record->ran == 0 && record->claim == OUTCOME_RAN;
      report->repeated_ids_ran += !record->idempotent
                                  && record->repeats == i + 1
                                  && record->ran > 1;
    }
}

zone_report_t
zone_run (const zone_case_t *run)
{
  zone_t *zone = g_new0 (zone_t, 1);
  zone->run = *run;
  zone->random = g_rand_new_with_seed (run->seed);
  zone->heap = g_array_new (FALSE, FALSE, sizeof (event_t));
  zone->records = g_array_new (FALSE, FALSE, sizeof (record_t));
  zone->dead = g_ptr_array_new_with_free_func (g_free);
  clk_fake_init (&zone->clock, 0);
  for (uint32_t p = 0; p < run->processes; p++)
    zone->processes[p].incarnation = 1;
  for (uint32_t i = 0; i < run->entries; i++)
    start_entry (zone, i);
  event_t arrival = { .kind = EVENT_ARRIVAL };
  schedule (zone, arrival, 1000);
  event_t fault = { .kind = EVENT_FAULT };
  schedule (zone, fault, 5000);
  while (zone->heap->len > 0 && zone->now_ms < run->chaos_ms + HEAL_MS)
    {
      event_t event = take_event (zone);
      zone->now_ms = event.at_ms;
      zone->clock.now = clk_from_ms (zone->now_ms);
      run_event (zone, &event);
    }
  check_slots (zone);
  check_records (zone);
  zone_report_t report = zone->report;
  while (zone->heap->len > 0)
    {
      event_t event = take_event (zone);
      message_free (event.message);
      json_decref (event.row);
    }
  for (uint32_t i = 0; i < run->entries; i++)
    {
      entry_t *entry = &zone->entries[i];
      if (entry->birth == 0)
        continue;
      dispatch_free (entry->dispatch);
      counter_registry_free (entry->registry);
      g_free (entry->name);
      for (uint32_t k = 0; k < ENTRIES_MAX; k++)
        g_free (entry->heard_name[k]);
    }
  json_decref (zone->row);
  g_array_unref (zone->heap);
  g_array_unref (zone->records);
  g_ptr_array_unref (zone->dead);
  g_rand_free (zone->random);
  g_free (zone);
  return report;
}

uint32_t
zone_faults (const zone_report_t *report)
{
  return report->over_limit + report->double_ends + report->never_ended
         + report->false_not_run + report->false_ran + report->delivered_twice
         + report->repeated_ids_ran + report->slots_wrong + report->not_served
         + report->rows_refused;
}
