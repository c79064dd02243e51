#include "fake_zone_internal.h"

#include <string.h>

/* Returns whether an action of ENTRY takes effect.  The one that makes the
   entry crash still does, those after it do not.  */
static bool
action_allowed (entry_t *entry)
{
  if (entry->crashing)
    return false;
  if (entry->actions_until_crash > 0 && --entry->actions_until_crash == 0)
    entry->crashing = true;
  return true;
}

void
zone_end_request (entry_t *entry, uint64_t id, bool check_outcome,
                  outcome_t outcome)
{
  zone_t *zone = entry->zone;
  request_record_t *record = zone_request (zone, id);
  if (record->ended)
    zone->report.double_ends++;
  record->ended = true;
  record->check_outcome = check_outcome;
  record->outcome = outcome;
  if (outcome == OUTCOME_RAN && zone->faults_over)
    entry->answered_after_faults++;
}

static void
act_refuse (void *context, uint64_t id, err_kind_t kind, outcome_t outcome,
            int64_t retry_after_ms, const char *detail)
{
  entry_t *entry = context;
  if (!action_allowed (entry))
    return;
  /* The outcome reported for a repeated id is that of the earlier request, so
     it is not checked against this one.  */
  bool own = kind != ERR_IN_FLIGHT && kind != ERR_CONFLICT;
  zone_end_request (entry, id, own, outcome);
  entry->zone->report.refused++;
}

static void
act_send (void *context, uint64_t id, uint32_t attempt, const char *backend,
          const char *url, bool new_connection)
{
  entry_t *entry = context;
  zone_t *zone = entry->zone;
  if (!action_allowed (entry))
    return;
  uint32_t p = (uint32_t)g_ascii_strtoull (backend + 1, NULL, 10);
  event_t ends = { .kind = EVENT_ATTEMPT_ENDS,
                   .entry = entry->index,
                   .entry_incarnation = entry->incarnation,
                   .request_id = id,
                   .attempt = attempt,
                   .process = p,
                   .result = ERR_CONNECT_FAILED };
  fake_process_t *process = &zone->processes[p];
  if (process->gone || zone_chance (zone, 0.03))
    {
      zone_schedule (zone, ends, 1);
      return;
    }
  request_record_t *record = zone_request (zone, id);
  record->deliveries++;
  record->runs++;
  zone_request (zone, record->first_id)->runs += record->first_id != id;
  if (!record->idempotent && record->deliveries > 1)
    zone->report.delivered_twice++;
  if (++process->running > zone->scenario.slots_per_process)
    {
      if (zone->report.over_limit++ == 0)
        zone->report.first_over_limit_ms = (uint32_t)zone->now_ms;
    }
  int64_t run_ms = 1 + zone_random_below (zone, 2 * MEAN_RUN_MS);
  /* Some run until the longest deadline, so that requests of an entry that is
     gone still run when its slots are retired.  */
  if (zone_chance (zone, 0.0005))
    run_ms = MAX_DEADLINE_MS - 1 - zone_random_below (zone, 5000);
  if (zone_chance (zone, 0.01))
    {
      run_ms = MIN (run_ms, record->deadline_ms + 1000 - zone->now_ms);
      event_t gives_up = ends;
      gives_up.result = ERR_TIMEOUT;
      gives_up.abandoned = true;
      zone_schedule (zone, gives_up,
                     zone_random_below (zone, (uint32_t)run_ms + 1));
      ends.abandoned = true;
    }
  ends.kind = EVENT_RUN_ENDS;
  ends.process_incarnation = process->incarnation;
  ends.result = zone_chance (zone, 0.03) ? ERR_CONNECTION_LOST : ERR_OK;
  zone_schedule (zone, ends, run_ms);
}

static void
ignore_hand_over (void *context, uint64_t id, uint32_t attempt,
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
          .entry_incarnation = entry->incarnation,
          .process = (uint32_t)g_ascii_strtoull (backend + 1, NULL, 10) };
  zone_schedule (entry->zone, ends, 2);
}

static int
entry_by_name (const zone_t *zone, const char *name)
{
  for (uint32_t i = 0; i < zone->scenario.entries; i++)
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
  message->strings = g_ptr_array_new_with_free_func (g_free);
  message->ledger
      = g_array_new (FALSE, FALSE, sizeof (dispatch_ledger_item_t));
  message->closing
      = g_array_new (FALSE, FALSE, sizeof (dispatch_closing_item_t));
  return message;
}

message_t *
zone_message_copy (const message_t *from)
{
  message_t *copy = g_new0 (message_t, 1);
  *copy = *from;
  copy->from = g_strdup (from->from);
  g_ptr_array_ref (copy->strings);
  g_array_ref (copy->ledger);
  g_array_ref (copy->closing);
  return copy;
}

void
zone_message_free (message_t *message)
{
  if (message == NULL)
    return;
  g_free (message->from);
  g_ptr_array_unref (message->strings);
  g_array_unref (message->ledger);
  g_array_unref (message->closing);
  g_free (message);
}

/* Returns a copy of TEXT that lives as long as MESSAGE.  */
static const char *
keep_string (message_t *message, const char *text)
{
  char *copy = g_strdup (text);
  g_ptr_array_add (message->strings, copy);
  return copy;
}

/* Takes ownership of MESSAGE.  Messages may be lost, duplicated and reordered;
   TCP alone would not do that, but a reconnect can.  */
static void
send_message (entry_t *from, const char *to_name, message_t *message)
{
  zone_t *zone = from->zone;
  int to = entry_by_name (zone, to_name);
  bool live = action_allowed (from) && to >= 0;
  int copies = live && zone_chance (zone, 0.05) ? 2 : 1;
  for (int i = 0; live && i < copies; i++)
    {
      zone->report.messages++;
      if (zone->link_cut[from->index][to] || zone_chance (zone, 0.1))
        {
          zone->report.messages_lost++;
          continue;
        }
      int64_t delay_ms = 1 + zone_random_below (zone, 3);
      if (zone_chance (zone, 0.1))
        delay_ms += zone_random_below (zone, 2000);
      if (zone_chance (zone, 0.005))
        delay_ms += zone_random_below (zone, 100000);
      event_t event = { .kind = EVENT_MESSAGE,
                        .entry = (uint32_t)to,
                        .entry_incarnation = zone->entries[to].incarnation,
                        .message = zone_message_copy (message) };
      zone_schedule (zone, event, delay_ms);
    }
  zone_message_free (message);
}

static void
act_send_ledger (void *context, const char *to,
                 const dispatch_ledger_item_t *items, uint32_t count)
{
  entry_t *entry = context;
  message_t *message = message_new (entry, MESSAGE_LEDGER);
  for (uint32_t i = 0; i < count; i++)
    {
      dispatch_ledger_item_t item = items[i];
      item.process_key = keep_string (message, item.process_key);
      g_array_append_val (message->ledger, item);
      entry->zone->report.slots_moved += item.confirm;
    }
  send_message (entry, to, message);
}

static void
act_want_slots (void *context, const char *to, const char *service,
                uint32_t count)
{
  entry_t *entry = context;
  message_t *message = message_new (entry, MESSAGE_SLOT_WANT);
  message->count = count;
  send_message (entry, to, message);
}

static void
act_closing_request (void *context, const char *to, const char *const *members,
                     uint32_t count)
{
  entry_t *entry = context;
  message_t *message = message_new (entry, MESSAGE_CLOSING_REQUEST);
  for (uint32_t i = 0; i < count; i++)
    g_ptr_array_add (message->strings, g_strdup (members[i]));
  message->count = count;
  send_message (entry, to, message);
}

static void
act_closing_statement (void *context, const char *to,
                       const char *const *members, uint32_t count,
                       const dispatch_closing_item_t *items,
                       uint32_t item_count)
{
  entry_t *entry = context;
  message_t *message = message_new (entry, MESSAGE_CLOSING_STATEMENT);
  for (uint32_t i = 0; i < count; i++)
    g_ptr_array_add (message->strings, g_strdup (members[i]));
  message->count = count;
  for (uint32_t i = 0; i < item_count; i++)
    {
      dispatch_closing_item_t item = items[i];
      item.member = keep_string (message, item.member);
      item.process_key = keep_string (message, item.process_key);
      g_array_append_val (message->closing, item);
    }
  send_message (entry, to, message);
}

static const dispatch_actions_t actions = {
  act_send,        ignore_hand_over, act_refuse,          act_probe,
  act_send_ledger, act_want_slots,   act_closing_request, act_closing_statement
};

void
zone_announce_process (entry_t *entry, uint32_t p)
{
  const fake_process_t *process = &entry->zone->processes[p];
  char *id = g_strdup_printf ("b%u", p);
  dispatch_backend_t backend
      = { id,    "svc",
          "z",   "http://b",
          false, entry->zone->scenario.slots_per_process,
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
  entry->incarnation = ++zone->last_incarnation;
  entry->name
      = g_strdup_printf ("e%u@%" G_GUINT64_FORMAT, index, entry->incarnation);
  entry->registry = counter_registry_new ();
  entry->dispatch
      = dispatch_new (entry->name, "z", &actions, entry, &zone->clock.base,
                      entry->registry, zone->scenario.seed + index);
  dispatch_shares_require_row (entry->dispatch);
  share_set_rules (entry->dispatch->share, zone->scenario.rules);
  for (uint32_t p = 0; p < zone->scenario.processes; p++)
    zone_announce_process (entry, p);
  event_t tick = { .kind = EVENT_TICK,
                   .entry = index,
                   .entry_incarnation = entry->incarnation };
  zone_schedule (zone, tick, zone_random_below (zone, TICK_PERIOD_MS));
}

void
zone_stop_entry (zone_t *zone, uint32_t index)
{
  entry_t *entry = &zone->entries[index];
  for (guint i = 0; i < zone->requests->len; i++)
    {
      request_record_t *record
          = &g_array_index (zone->requests, request_record_t, i);
      if (record->entry != index || record->ended)
        continue;
      record->ended = true;
      zone->report.lost_with_entry++;
      zone->report.cut_off_by_stop += entry->draining && !entry->crashing;
    }
  event_t event = { .kind = EVENT_ENTRY_GONE };
  for (uint32_t i = 0; i < zone->scenario.entries; i++)
    {
      if (i == index)
        continue;
      event.entry = i;
      /* Only its sender's name is used.  */
      event.message = message_new (entry, MESSAGE_LOAD);
      zone_schedule (zone, event, zone_random_below (zone, LIST_LAG_MS));
    }
  g_ptr_array_add (zone->gone_entries, g_strdup (entry->name));
  event = (event_t){ .kind = EVENT_ENTRY_RESTART, .entry = index };
  zone_schedule (zone, event, 500 + zone_random_below (zone, 5000));
  dispatch_free (entry->dispatch);
  counter_registry_free (entry->registry);
  g_free (entry->name);
  for (uint32_t i = 0; i < MAX_ENTRIES; i++)
    g_free (entry->peer_name[i]);
  *entry = (entry_t){ .zone = zone, .index = index };
}

static uint64_t
incarnation_of (const char *name)
{
  return g_ascii_strtoull (strchr (name, '@') + 1, NULL, 10);
}

static void
record_received (entry_t *entry, const message_t *message)
{
  uint32_t from = message->from_index;
  entry->last_received_ms[from] = entry->zone->now_ms;
  if (g_strcmp0 (entry->peer_name[from], message->from) == 0)
    return;
  /* A late message of an earlier incarnation does not replace a newer one.  */
  if (entry->peer_name[from] != NULL)
    {
      if (incarnation_of (message->from)
          < incarnation_of (entry->peer_name[from]))
        return;
      dispatch_peer_down (entry->dispatch, entry->peer_name[from]);
      g_free (entry->peer_name[from]);
    }
  entry->peer_name[from] = g_strdup (message->from);
  dispatch_peer_up (entry->dispatch, message->from, "z");
}

void
zone_deliver (entry_t *entry, const message_t *message)
{
  dispatch_t *dispatch = entry->dispatch;
  const char *const *names = (const char *const *)message->strings->pdata;
  record_received (entry, message);
  switch (message->kind)
    {
    case MESSAGE_LOAD:
      dispatch_peer_load_set (dispatch, message->from, "svc", message->count,
                              message->queued);
      break;
    case MESSAGE_LEDGER:
      dispatch_peer_ledger (
          dispatch, message->from,
          (dispatch_ledger_item_t *)(void *)message->ledger->data,
          message->ledger->len);
      break;
    case MESSAGE_LEAVING:
      dispatch_peer_leaving (dispatch, message->from);
      break;
    case MESSAGE_SLOT_WANT:
      dispatch_peer_slot_want (dispatch, message->from, "svc", message->count);
      break;
    case MESSAGE_CLOSING_REQUEST:
      dispatch_peer_closing_request (dispatch, message->from, names,
                                     message->count);
      break;
    case MESSAGE_CLOSING_STATEMENT:
      dispatch_peer_closing_statement (
          dispatch, message->from, names, message->count,
          (dispatch_closing_item_t *)(void *)message->closing->data,
          message->closing->len);
      break;
    }
}

void
zone_heartbeat (entry_t *entry)
{
  zone_t *zone = entry->zone;
  entry->next_heartbeat_ms = zone->now_ms + HEARTBEAT_MS;
  for (uint32_t i = 0; i < zone->scenario.entries; i++)
    {
      if (i == entry->index)
        continue;
      if (entry->peer_name[i] != NULL
          && entry->last_received_ms[i] + PEER_TIMEOUT_MS < zone->now_ms)
        {
          dispatch_peer_down (entry->dispatch, entry->peer_name[i]);
          g_clear_pointer (&entry->peer_name[i], g_free);
        }
      if (zone->entries[i].incarnation == 0)
        continue;
      message_t *message = message_new (entry, MESSAGE_LOAD);
      dispatch_own_load (entry->dispatch, "svc", &message->count,
                         &message->queued);
      send_message (entry, zone->entries[i].name, message);
    }
}

void
zone_begin_stop (entry_t *entry)
{
  zone_t *zone = entry->zone;
  entry->draining = true;
  for (uint32_t i = 0; i < zone->scenario.entries; i++)
    if (i != entry->index && zone->entries[i].incarnation != 0)
      send_message (entry, zone->entries[i].name,
                    message_new (entry, MESSAGE_LEAVING));
  dispatch_begin_drain (entry->dispatch);
}
