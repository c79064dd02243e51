#include "fake_zone_internal.h"

#include <string.h>

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

void
zone_note_end (entry_t *entry, uint64_t id, bool told, outcome_t claim)
{
  zone_t *zone = entry->zone;
  record_t *record = zone_record (zone, id);
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
  zone_note_end (entry, id, own, outcome);
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
  if (process->gone || zone_chance (zone, 0.03))
    {
      zone_schedule (zone, ends, 1);
      return;
    }
  record_t *record = zone_record (zone, id);
  record->delivered++;
  record->ran++;
  zone_record (zone, record->repeats)->ran += record->repeats != id;
  if (!record->idempotent && record->delivered > 1)
    zone->report.delivered_twice++;
  if (++process->running > zone->run.limit)
    {
      if (zone->report.over_limit++ == 0)
        zone->report.first_fault_ms = (uint32_t)zone->now_ms;
    }
  int64_t run_ms = 1 + zone_draw (zone, 2 * MEAN_RUN_MS);
  /* Some run until the longest deadline, so that a dead entry's requests are
     still there when its slots are retired.  */
  if (zone_chance (zone, 0.0005))
    run_ms = LONGEST_DEADLINE_MS - 1 - zone_draw (zone, 5000);
  if (zone_chance (zone, 0.01))
    {
      run_ms = MIN (run_ms, record->deadline_ms + 1000 - zone->now_ms);
      event_t gives_up = ends;
      gives_up.result = ERR_TIMEOUT;
      gives_up.abandoned = true;
      zone_schedule (zone, gives_up, zone_draw (zone, (uint32_t)run_ms + 1));
      ends.abandoned = true;
    }
  ends.kind = EVENT_RUN_ENDS;
  ends.incarnation = process->incarnation;
  ends.result = zone_chance (zone, 0.03) ? ERR_CONNECTION_LOST : ERR_OK;
  zone_schedule (zone, ends, run_ms);
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
  zone_schedule (entry->zone, ends, 2);
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

message_t *
zone_message_copy (const message_t *from)
{
  message_t *copy = g_new0 (message_t, 1);
  *copy = *from;
  copy->from = g_strdup (from->from);
  g_ptr_array_ref (copy->names);
  g_array_ref (copy->given);
  g_array_ref (copy->closing);
  return copy;
}

void
zone_message_free (message_t *message)
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
  int copies = live && zone_chance (zone, 0.05) ? 2 : 1;
  for (int i = 0; live && i < copies; i++)
    {
      zone->report.messages++;
      if (zone->cut[from->index][to] || zone_chance (zone, 0.1))
        {
          zone->report.messages_lost++;
          continue;
        }
      int64_t delay_ms = 1 + zone_draw (zone, 3);
      if (zone_chance (zone, 0.1))
        delay_ms += zone_draw (zone, 2000);
      if (zone_chance (zone, 0.005))
        delay_ms += zone_draw (zone, 100000);
      event_t event = { .kind = EVENT_MESSAGE,
                        .entry = (uint32_t)to,
                        .birth = zone->entries[to].birth,
                        .message = zone_message_copy (message) };
      zone_schedule (zone, event, delay_ms);
    }
  zone_message_free (message);
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
    g_ptr_array_add (message->names, g_strdup (members[i]));
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
    g_ptr_array_add (message->names, g_strdup (members[i]));
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

void
zone_tell_process (entry_t *entry, uint32_t p)
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

void
zone_start_entry (zone_t *zone, uint32_t index)
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
    zone_tell_process (entry, p);
  event_t tick = { .kind = EVENT_TICK, .entry = index, .birth = entry->birth };
  zone_schedule (zone, tick, zone_draw (zone, TICK_PERIOD_MS));
}

void
zone_stop_entry (zone_t *zone, uint32_t index)
{
  entry_t *entry = &zone->entries[index];
  for (guint i = 0; i < zone->records->len; i++)
    {
      record_t *record = &g_array_index (zone->records, record_t, i);
      if (record->entry != index || record->ended)
        continue;
      record->ended = true;
      zone->report.lost_with_entry++;
      zone->report.cut_by_stop += entry->draining && !entry->dying;
    }
  event_t gone = { .kind = EVENT_GONE };
  for (uint32_t i = 0; i < zone->run.entries; i++)
    {
      if (i == index)
        continue;
      gone.entry = i;
      gone.message = message_new (entry, MESSAGE_LOAD);
      zone_schedule (zone, gone, zone_draw (zone, LIST_LAG_MS));
    }
  g_ptr_array_add (zone->dead, g_strdup (entry->name));
  gone = (event_t){ .kind = EVENT_RESTART, .entry = index };
  zone_schedule (zone, gone, 500 + zone_draw (zone, 5000));
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

void
zone_deliver (entry_t *entry, const message_t *message)
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
    case MESSAGE_LEAVING:
      dispatch_peer_leaving (dispatch, message->from);
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

void
zone_heartbeat (entry_t *entry)
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

void
zone_drain (entry_t *entry)
{
  zone_t *zone = entry->zone;
  entry->draining = true;
  for (uint32_t i = 0; i < zone->run.entries; i++)
    if (i != entry->index && zone->entries[i].birth != 0)
      post (entry, zone->entries[i].name,
            message_new (entry, MESSAGE_LEAVING));
  dispatch_drain (entry->dispatch);
}
