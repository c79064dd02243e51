#include "dispatch_internal.h"

#include <string.h>

/* Pause after a SlotWant that is not answered, or after all peers were asked
   and none gave a slot.  */
#define WANT_PAUSE_MS 100
/* Pause before a SlotWant of a service without queued requests, which only
   asks for the rest of the even share.  */
#define BALANCE_PERIOD_MS 1000
/* In one SlotWant.  */
#define MAX_WANTED_SLOTS 1024
#define RESEND_PERIOD_MS 500
#define CLOSING_REQUEST_PERIOD_MS 500
/* After this, a stopping entry no longer tries to take itself out of the row;
   the others retire it like a dead one.  */
#define LEAVE_TIMEOUT_MS 3000
/* Read period while no change is pending; a large row is expensive to read. */
#define IDLE_READ_PERIOD_MS 10000
#define READ_PERIOD_MS 1000
/* Keeps a SlotLedger within the frame limit of 1 MiB.  */
#define MAX_LEDGER_ITEMS 4096

peer_load_t *
dispatch_peer_load_of (service_t *service, uint32_t peer)
{
  if (peer >= service->peer_loads->len)
    g_array_set_size (service->peer_loads, peer + 1);
  return &g_array_index (service->peer_loads, peer_load_t, peer);
}

static uint32_t
find_peer (const dispatch_t *dispatch, const char *name)
{
  for (guint i = 0; i < dispatch->peers->len; i++)
    {
      const peer_t *peer = g_ptr_array_index (dispatch->peers, i);
      if (peer->up && g_strcmp0 (peer->name, name) == 0)
        return i;
    }
  return SHARE_NONE;
}

static peer_t *
peer_at (const dispatch_t *dispatch, uint32_t peer)
{
  return g_ptr_array_index (dispatch->peers, peer);
}

static void
send_ledger (dispatch_t *dispatch, const peer_t *peer, bool resend)
{
  if (!resend && !share_has_message (dispatch->share, peer->member_number))
    return;
  uint32_t count = 0;
  const dispatch_ledger_item_t *items = share_build_message (
      dispatch->share, peer->member_number, resend, &count);
  for (uint32_t sent = 0; sent < count; sent += MAX_LEDGER_ITEMS)
    dispatch->actions->send_ledger (dispatch->context, peer->name,
                                    items + sent,
                                    MIN (count - sent, MAX_LEDGER_ITEMS));
}

void
dispatch_peer_up (dispatch_t *dispatch, const char *entry, const char *zone)
{
  dispatch_read_clock (dispatch);
  uint32_t number = find_peer (dispatch, entry);
  if (number == SHARE_NONE)
    {
      for (number = 0;
           number < dispatch->peers->len && peer_at (dispatch, number)->up;
           number++)
        ;
      if (number == dispatch->peers->len)
        g_ptr_array_add (dispatch->peers, g_new0 (peer_t, 1));
    }
  peer_t *peer = peer_at (dispatch, number);
  char *name = g_strdup (entry);
  g_free (peer->name);
  g_free (peer->zone);
  peer->name = name;
  peer->zone = g_strdup (zone);
  peer->up = true;
  peer->leaving = false;
  peer->own_zone = g_strcmp0 (zone, dispatch->zone) == 0;
  if (!peer->own_zone)
    return;
  peer->member_number = share_ensure_member (dispatch->share, entry);
  send_ledger (dispatch, peer, true);
}

void
dispatch_peer_down (dispatch_t *dispatch, const char *entry)
{
  uint32_t number = find_peer (dispatch, entry);
  if (number == SHARE_NONE)
    return;
  peer_at (dispatch, number)->up = false;
  for (guint i = 0; i < dispatch->service_list->len; i++)
    {
      service_t *service = g_ptr_array_index (dispatch->service_list, i);
      peer_load_t *load = dispatch_peer_load_of (service, number);
      service->promised_slots -= load->promised_slots;
      *load = (peer_load_t){ 0 };
    }
}

void
dispatch_peer_leaving (dispatch_t *dispatch, const char *entry)
{
  uint32_t number = find_peer (dispatch, entry);
  if (number != SHARE_NONE)
    peer_at (dispatch, number)->leaving = true;
}

/* Returns whether slots may be given to PEER.  */
static bool
may_give (const dispatch_t *dispatch, const peer_t *peer)
{
  return peer->up && peer->own_zone && !peer->leaving
         && share_may_give (dispatch->share, peer->member_number);
}

void
dispatch_peer_load_set (dispatch_t *dispatch, const char *entry,
                        const char *name, uint32_t free_slots, uint32_t queued)
{
  uint32_t number = find_peer (dispatch, entry);
  if (number == SHARE_NONE)
    return;
  peer_load_t *load = dispatch_peer_load_of (
      dispatch_ensure_service (dispatch, name), number);
  load->free_slots = free_slots;
  load->queued = queued;
}

void
dispatch_own_load (const dispatch_t *dispatch, const char *name,
                   uint32_t *free_slots, uint32_t *queued)
{
  const service_t *service = g_hash_table_lookup (dispatch->services, name);
  *queued = service != NULL ? admit_count (service->admit) : 0;
  /* If requests are queued although slots are free, these are kept for other
     classes.  */
  *free_slots = service != NULL && !dispatch->draining && *queued == 0
                    ? service->free_slots
                    : 0;
}

/* Returns the peer of this zone to ask for slots: the one with the most free
   slots; if none has any, first the one with the longest queue, as it may have
   more than its even share, then each in turn.  SHARE_NONE if there is no
   peer.  */
static uint32_t
choose_peer_to_ask (const dispatch_t *dispatch, service_t *service)
{
  uint32_t most_idle_peer = SHARE_NONE, longest_queue_peer = SHARE_NONE,
           next_in_turn = SHARE_NONE;
  uint32_t max_free_slots = 0, max_queued = 0;
  guint count = dispatch->peers->len;
  for (guint offset = 0; offset < count; offset++)
    {
      guint i = (service->next_peer + offset) % count;
      const peer_t *peer = peer_at (dispatch, i);
      if (!peer->up || !peer->own_zone)
        continue;
      const peer_load_t *load = dispatch_peer_load_of (service, i);
      if (load->free_slots > max_free_slots)
        {
          max_free_slots = load->free_slots;
          most_idle_peer = i;
        }
      if (load->queued > max_queued)
        {
          max_queued = load->queued;
          longest_queue_peer = i;
        }
      if (next_in_turn == SHARE_NONE)
        next_in_turn = i;
    }
  if (most_idle_peer != SHARE_NONE)
    return most_idle_peer;
  if (longest_queue_peer != SHARE_NONE && service->unmet_wants == 0)
    return longest_queue_peer;
  if (next_in_turn != SHARE_NONE)
    service->next_peer = next_in_turn + 1;
  return next_in_turn;
}

void
dispatch_update_even_share (const dispatch_t *dispatch, service_t *service)
{
  uint32_t total = 0;
  for (guint i = 0; i < service->processes->len; i++)
    total += share_limit (
        dispatch->share,
        ((const process_t *)service->processes->pdata[i])->ledger_number);
  service->even_share = total / share_live_member_count (dispatch->share);
}

bool
dispatch_is_short_of_slots (const service_t *service)
{
  return service->own_slots == 0
         || service->own_slots < service->even_share / 2;
}

void
dispatch_ask_for_slots (dispatch_t *dispatch, service_t *service)
{
  uint32_t queued = admit_count (service->admit);
  if (dispatch->now_ms < service->next_want_ms)
    return;
  /* Even an idle entry asks for its even share.  Otherwise a killed entry
     could make most of the zone's slots unusable until its retirement.  */
  bool balancing = queued == 0;
  if (balancing
      && (dispatch->draining || !dispatch_is_short_of_slots (service)
          || service->even_share <= service->own_slots
          || dispatch->now_ms < service->next_balance_ms))
    return;
  uint32_t asked_peer = choose_peer_to_ask (dispatch, service);
  if (asked_peer == SHARE_NONE)
    return;
  /* A peer with no more free slots than an even share may soon need them
     itself.  */
  if (balancing
      && dispatch_peer_load_of (service, asked_peer)->free_slots
             <= service->even_share)
    return;
  service->next_want_ms = dispatch->now_ms + WANT_PAUSE_MS;
  service->next_balance_ms = dispatch->now_ms + BALANCE_PERIOD_MS;
  service->last_asked_peer = asked_peer;
  service->unmet_wants++;
  /* The peer gives at most half of its free slots.  If it does not answer,
     repeated halving makes this entry ask others.  */
  dispatch_peer_load_of (service, asked_peer)->free_slots /= 2;
  counter_add (dispatch->metrics.slot_wants, 1);
  /* An entry that is short of slots also asks for half as many as it has,
     which saves it many small SlotWants when it is busy.  */
  uint32_t wanted
      = queued
        + (dispatch_is_short_of_slots (service) ? service->own_slots / 2 : 0);
  if (balancing)
    wanted = service->even_share - service->own_slots;
  dispatch->actions->want_slots (
      dispatch->context, peer_at (dispatch, asked_peer)->name, service->name,
      MIN (wanted, MAX_WANTED_SLOTS));
}

static uint32_t
idle_slots (const process_t *process)
{
  int64_t idle = (int64_t)process->slots - process->in_flight;
  return idle > 0 ? (uint32_t)idle : 0;
}

static void
give_slots (dispatch_t *dispatch, process_t *process, uint32_t member,
            uint32_t count)
{
  share_give (dispatch->share, member, process->ledger_number, count);
  counter_add (dispatch->metrics.slots_given, count);
  dispatch_refresh_process (dispatch, process);
}

/* Gives up to WANTED free slots of SERVICE, in a first pass at most half of
   those of each process, so that both sides can use many processes.  Returns
   the number given.  */
static uint32_t
give_free_slots (dispatch_t *dispatch, service_t *service, uint32_t member,
                 uint32_t wanted)
{
  uint32_t given = 0;
  guint count = service->processes->len;
  guint start = count > 0 ? g_rand_int (dispatch->random) % count : 0;
  for (int pass = 0; pass < 2; pass++)
    for (guint i = 0; i < count && given < wanted; i++)
      {
        process_t *process = service->processes->pdata[(start + i) % count];
        uint32_t available = process->free_slots;
        if (pass == 0)
          available = (available + 1) / 2;
        uint32_t given_here = MIN (available, wanted - given);
        if (given_here == 0)
          continue;
        give_slots (dispatch, process, member, given_here);
        given += given_here;
      }
  return given;
}

void
dispatch_start_demand_window (service_t *service)
{
  service->previous_peak_in_flight = service->peak_in_flight;
  service->peak_in_flight = service->in_flight;
}

/* Returns the free slots that may be given away: this entry keeps as many
   slots as were in use at the peak of the last two demand windows.  */
static uint32_t
spare_slots (const service_t *service)
{
  uint32_t reserved
      = MAX (service->peak_in_flight, service->previous_peak_in_flight)
        - service->in_flight;
  return service->free_slots > reserved ? service->free_slots - reserved : 0;
}

void
dispatch_peer_slot_want (dispatch_t *dispatch, const char *entry,
                         const char *name, uint32_t count)
{
  dispatch_read_clock (dispatch);
  uint32_t number = find_peer (dispatch, entry);
  service_t *service = g_hash_table_lookup (dispatch->services, name);
  if (number == SHARE_NONE || service == NULL
      || !peer_at (dispatch, number)->own_zone)
    return;
  peer_t *peer = peer_at (dispatch, number);
  if (peer->leaving)
    return;
  if (!share_may_give (dispatch->share, peer->member_number))
    {
      /* The member may have joined since the row was last read.  */
      dispatch->next_row_read_ms
          = MIN (dispatch->next_row_read_ms, dispatch->now_ms);
      return;
    }
  peer_load_t *load = dispatch_peer_load_of (service, number);
  uint32_t given = 0;
  uint32_t spare = spare_slots (service);
  if (admit_count (service->admit) == 0)
    given = give_free_slots (dispatch, service, peer->member_number,
                             MIN (count, (spare + 1) / 2));
  send_ledger (dispatch, peer, false);
  service->promised_slots -= load->promised_slots;
  load->promised_slots = 0;
  dispatch_update_even_share (dispatch, service);
  uint32_t even_share = service->even_share;
  if (given == 0 && service->own_slots > even_share + service->promised_slots)
    load->promised_slots = MIN (
        count,
        (service->own_slots - even_share - service->promised_slots + 1) / 2);
  service->promised_slots += load->promised_slots;
  /* On an empty ledger the other entry asks its next peer.  */
  if (given == 0 && load->promised_slots == 0)
    dispatch->actions->send_ledger (dispatch->context, peer->name, NULL, 0);
}

void
dispatch_give_promised (dispatch_t *dispatch, process_t *process)
{
  service_t *service = process->service;
  for (guint i = 0; i < service->peer_loads->len && idle_slots (process) > 0;
       i++)
    {
      peer_load_t *load = dispatch_peer_load_of (service, i);
      if (load->promised_slots == 0)
        continue;
      if (!may_give (dispatch, peer_at (dispatch, i)))
        {
          service->promised_slots -= load->promised_slots;
          load->promised_slots = 0;
          continue;
        }
      load->promised_slots--;
      service->promised_slots--;
      give_slots (dispatch, process, peer_at (dispatch, i)->member_number, 1);
      /* Only the last promised slot is sent at once; the next tick sends those
         before it together.  */
      if (load->promised_slots == 0)
        send_ledger (dispatch, peer_at (dispatch, i), false);
    }
}

/* Peer NUMBER had no slot to give: each service that asked it last may ask the
   next peer at once, or after WANT_PAUSE_MS if it has already asked every
   peer.  */
static void
skip_peer_without_slots (dispatch_t *dispatch, uint32_t number)
{
  for (guint i = 0; i < dispatch->service_list->len; i++)
    {
      service_t *service = g_ptr_array_index (dispatch->service_list, i);
      if (service->last_asked_peer != number)
        continue;
      dispatch_peer_load_of (service, number)->free_slots = 0;
      if (service->unmet_wants < share_live_member_count (dispatch->share))
        service->next_want_ms = dispatch->now_ms;
      else
        service->unmet_wants = 0;
    }
}

void
dispatch_peer_ledger (dispatch_t *dispatch, const char *entry,
                      const dispatch_ledger_item_t *items, uint32_t count)
{
  dispatch_read_clock (dispatch);
  uint32_t number = find_peer (dispatch, entry);
  if (number == SHARE_NONE || !peer_at (dispatch, number)->own_zone)
    return;
  peer_t *peer = peer_at (dispatch, number);
  if (count == 0)
    skip_peer_without_slots (dispatch, number);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t ledger_number
          = share_receive (dispatch->share, peer->member_number, &items[i]);
      if (ledger_number == SHARE_NONE
          || ledger_number >= dispatch->processes_by_number->len
          || dispatch->processes_by_number->pdata[ledger_number] == NULL)
        continue;
      process_t *process = dispatch->processes_by_number->pdata[ledger_number];
      int32_t before = process->slots;
      dispatch_refresh_process (dispatch, process);
      counter_add (dispatch->metrics.slots_learned, process->slots - before);
      process->service->next_want_ms = dispatch->now_ms;
      process->service->unmet_wants = 0;
    }
  send_ledger (dispatch, peer, false);
  for (guint i = 0; i < dispatch->service_list->len; i++)
    {
      service_t *service = g_ptr_array_index (dispatch->service_list, i);
      dispatch_send_queued (dispatch, service);
      if (dispatch_is_short_of_slots (service))
        dispatch_ask_for_slots (dispatch, service);
    }
}

static void
refresh_all_processes (dispatch_t *dispatch)
{
  for (guint i = 0; i < dispatch->processes_by_number->len; i++)
    if (dispatch->processes_by_number->pdata[i] != NULL)
      dispatch_refresh_process (dispatch,
                                dispatch->processes_by_number->pdata[i]);
}

void
dispatch_shares_require_row (dispatch_t *dispatch)
{
  share_require_row (dispatch->share);
  refresh_all_processes (dispatch);
}

err_kind_t
dispatch_shares_load (dispatch_t *dispatch, int64_t version,
                      const json_t *value)
{
  dispatch_read_clock (dispatch);
  err_kind_t kind
      = share_load (dispatch->share, version, value, dispatch->now_ms);
  if (kind != ERR_OK)
    return kind;
  dispatch->next_row_read_ms
      = dispatch->now_ms
        + (share_needs_row_update (dispatch->share) ? READ_PERIOD_MS
                                                    : IDLE_READ_PERIOD_MS);
  GHashTableIter iter;
  gpointer process = NULL;
  g_hash_table_iter_init (&iter, dispatch->processes);
  while (g_hash_table_iter_next (&iter, NULL, &process))
    dispatch_resolve_process (dispatch, process);
  for (guint i = 0; i < dispatch->service_list->len; i++)
    dispatch_send_queued (dispatch,
                          g_ptr_array_index (dispatch->service_list, i));
  return ERR_OK;
}

bool
dispatch_shares_read_due (dispatch_t *dispatch)
{
  dispatch_read_clock (dispatch);
  if (share_needs_row_update (dispatch->share))
    dispatch->next_row_read_ms
        = MIN (dispatch->next_row_read_ms, dispatch->now_ms + READ_PERIOD_MS);
  if (dispatch->now_ms < dispatch->next_row_read_ms)
    return false;
  dispatch->next_row_read_ms = dispatch->now_ms + READ_PERIOD_MS;
  return true;
}

json_t *
dispatch_shares_propose (dispatch_t *dispatch, int64_t *version)
{
  dispatch_read_clock (dispatch);
  bool leave = dispatch->quiesced_ms > 0;
  if (dispatch->draining && !leave)
    return NULL;
  for (guint i = 0; i < dispatch->processes_by_number->len; i++)
    {
      const process_t *process = dispatch->processes_by_number->pdata[i];
      if (process != NULL)
        share_set_in_use (dispatch->share, i, process->in_flight);
    }
  json_t *row
      = share_propose (dispatch->share, leave, dispatch->now_ms, version);
  /* The proposal may withhold slots from use.  */
  if (row != NULL)
    refresh_all_processes (dispatch);
  return row;
}

void
dispatch_member_gone (dispatch_t *dispatch, const char *member)
{
  dispatch_read_clock (dispatch);
  share_member_gone (dispatch->share,
                     share_ensure_member (dispatch->share, member),
                     dispatch->now_ms);
}

void
dispatch_peer_closing_request (dispatch_t *dispatch, const char *entry,
                               const char *const *members, uint32_t count)
{
  GArray *items = share_close_members (dispatch->share, members, count);
  dispatch->actions->closing_statement (
      dispatch->context, entry, members, count,
      (const dispatch_closing_item_t *)(void *)items->data, items->len);
  g_array_unref (items);
}

void
dispatch_peer_closing_statement (dispatch_t *dispatch, const char *entry,
                                 const char *const *members, uint32_t count,
                                 const dispatch_closing_item_t *items,
                                 uint32_t item_count)
{
  share_receive_statement (dispatch->share,
                           share_ensure_member (dispatch->share, entry),
                           members, count, items, item_count);
}

static void
request_closing_statements (dispatch_t *dispatch)
{
  GPtrArray *retiring
      = dispatch->quiesced_ms > 0
            ? share_self_to_retire (dispatch->share)
            : share_members_to_retire (dispatch->share, dispatch->now_ms);
  if (retiring == NULL)
    return;
  const char *name;
  for (uint32_t i = 0; (name = share_member_name (dispatch->share, i)) != NULL;
       i++)
    if (share_statement_missing (dispatch->share, i, retiring)
        && find_peer (dispatch, name) != SHARE_NONE)
      dispatch->actions->closing_request (dispatch->context, name,
                                          (const char *const *)retiring->pdata,
                                          retiring->len);
  g_ptr_array_unref (retiring);
}

/* Gives all idle slots of a draining entry to its peers: those of one process
   to one peer, the peers taking turns.  Processes of services with queued
   requests are left out.  */
static void
give_all_idle_slots (dispatch_t *dispatch)
{
  guint peers = dispatch->peers->len;
  guint next_peer = 0;
  for (uint32_t number = 0; number < share_process_count (dispatch->share);
       number++)
    {
      process_t *process = number < dispatch->processes_by_number->len
                               ? dispatch->processes_by_number->pdata[number]
                               : NULL;
      if (process != NULL && admit_count (process->service->admit) > 0)
        continue;
      int64_t idle = share_slots (dispatch->share, number);
      if (process != NULL)
        idle -= process->in_flight;
      for (guint tried = 0; idle > 0 && tried < peers; tried++)
        {
          const peer_t *peer = peer_at (dispatch, next_peer++ % peers);
          if (!may_give (dispatch, peer))
            continue;
          share_give (dispatch->share, peer->member_number, number,
                      (uint32_t)idle);
          if (process != NULL)
            dispatch_refresh_process (dispatch, process);
          break;
        }
    }
}

/* Returns whether requests to the removed backend server ID are still in
   flight.  */
static bool
has_requests_in_flight (const dispatch_t *dispatch, const char *id)
{
  for (guint i = 0; i < dispatch->removed_processes->len; i++)
    if (strcmp (((const process_t *)dispatch->removed_processes->pdata[i])->id,
                id)
        == 0)
      return true;
  return false;
}

/* Gives the slots of gone processes to their collectors.  */
static void
give_slots_to_collectors (dispatch_t *dispatch)
{
  for (uint32_t number = 0; number < share_process_count (dispatch->share);
       number++)
    {
      if (!share_process_awaits_drop (dispatch->share, number))
        continue;
      int32_t slots = share_slots (dispatch->share, number);
      uint32_t collector = share_collector (dispatch->share, number);
      if (slots <= 0 || collector == SHARE_NONE
          || !share_may_give (dispatch->share, collector))
        continue;
      char *id = share_process_id (dispatch->share, number);
      if (!has_requests_in_flight (dispatch, id))
        share_give (dispatch->share, collector, number, (uint32_t)slots);
      g_free (id);
    }
}

/* Returns whether nothing is queued or in flight, abandoned attempts included,
   and all slots have been given to peers, who have confirmed them.  If there
   is no peer to give them to, only the confirmations count.  */
static bool
is_quiescent (const dispatch_t *dispatch)
{
  if (dispatch->request_count > 0 || dispatch->abandoned_slots->len > 0)
    return false;
  bool has_peer = false;
  for (guint i = 0; i < dispatch->peers->len; i++)
    {
      const peer_t *peer = peer_at (dispatch, i);
      if (!peer->up || !peer->own_zone)
        continue;
      has_peer |= may_give (dispatch, peer);
      if (!share_all_confirmed (dispatch->share, peer->member_number))
        return false;
    }
  for (uint32_t number = 0;
       has_peer && number < share_process_count (dispatch->share); number++)
    if (share_slots (dispatch->share, number) > 0)
      return false;
  return true;
}

void
dispatch_slots_tick (dispatch_t *dispatch)
{
  share_apply_late_deductions (dispatch->share);
  if (dispatch->draining)
    give_all_idle_slots (dispatch);
  bool resend = dispatch->now_ms >= dispatch->next_resend_ms;
  if (resend)
    {
      dispatch->next_resend_ms = dispatch->now_ms + RESEND_PERIOD_MS;
      give_slots_to_collectors (dispatch);
    }
  for (guint i = 0; i < dispatch->peers->len; i++)
    {
      const peer_t *peer = peer_at (dispatch, i);
      if (peer->up && peer->own_zone)
        send_ledger (dispatch, peer, resend);
    }
  if (dispatch->draining && dispatch->quiesced_ms == 0
      && is_quiescent (dispatch))
    {
      dispatch->quiesced_ms = dispatch->now_ms;
      dispatch->next_closing_request_ms = dispatch->now_ms;
    }
  if (dispatch->now_ms >= dispatch->next_closing_request_ms)
    {
      dispatch->next_closing_request_ms
          = dispatch->now_ms + CLOSING_REQUEST_PERIOD_MS;
      request_closing_statements (dispatch);
    }
}

void
dispatch_begin_drain (dispatch_t *dispatch)
{
  dispatch->draining = true;
}

bool
dispatch_is_drained (const dispatch_t *dispatch)
{
  return dispatch->quiesced_ms > 0
         && (!share_is_member (dispatch->share)
             || dispatch->now_ms - dispatch->quiesced_ms >= LEAVE_TIMEOUT_MS);
}
