#include "fake_zone_internal.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

static bool
event_before (const event_t *a, const event_t *b)
{
  return a->at_ms != b->at_ms ? a->at_ms < b->at_ms
                              : a->sequence < b->sequence;
}

void
zone_schedule (zone_t *zone, event_t event, int64_t delay_ms)
{
  event.at_ms = zone->now_ms + MAX (delay_ms, 0);
  event.sequence = zone->next_sequence++;
  g_array_append_val (zone->event_heap, event);
  event_t *heap = (event_t *)(void *)zone->event_heap->data;
  for (guint i = zone->event_heap->len - 1; i > 0; i = (i - 1) / 2)
    {
      if (!event_before (&heap[i], &heap[(i - 1) / 2]))
        break;
      event_t swap = heap[i];
      heap[i] = heap[(i - 1) / 2];
      heap[(i - 1) / 2] = swap;
    }
}

static event_t
pop_event (zone_t *zone)
{
  event_t *heap = (event_t *)(void *)zone->event_heap->data;
  event_t first = heap[0];
  guint count = zone->event_heap->len - 1;
  heap[0] = heap[count];
  g_array_set_size (zone->event_heap, count);
  for (guint i = 0;;)
    {
      guint child = 2 * i + 1;
      if (child + 1 < count && event_before (&heap[child + 1], &heap[child]))
        child++;
      if (child >= count || !event_before (&heap[child], &heap[i]))
        break;
      event_t swap = heap[i];
      heap[i] = heap[child];
      heap[child] = swap;
      i = child;
    }
  return first;
}

uint32_t
zone_random_below (zone_t *zone, uint32_t below)
{
  return (uint32_t)g_rand_int_range (zone->random, 0, (gint32)below);
}

bool
zone_chance (zone_t *zone, double probability)
{
  return !zone->faults_over && g_rand_double (zone->random) < probability;
}

request_record_t *
zone_request (zone_t *zone, uint64_t id)
{
  return &g_array_index (zone->requests, request_record_t, id - 1);
}

static void
read_row (entry_t *entry)
{
  event_t read = { .kind = EVENT_STORE_READ,
                   .entry = entry->index,
                   .entry_incarnation = entry->incarnation };
  entry->store_busy = true;
  zone_schedule (entry->zone, read, 1 + zone_random_below (entry->zone, 5));
}

static void
handle_tick (zone_t *zone, entry_t *entry)
{
  dispatch_tick (entry->dispatch);
  if (zone->now_ms >= entry->next_heartbeat_ms)
    {
      zone_heartbeat (entry);
      if (!entry->store_busy && dispatch_shares_read_due (entry->dispatch))
        read_row (entry);
    }
  if (entry->draining && dispatch_is_drained (entry->dispatch))
    {
      zone->report.stops++;
      zone_stop_entry (zone, entry->index);
      return;
    }
  event_t tick = { .kind = EVENT_TICK,
                   .entry = entry->index,
                   .entry_incarnation = entry->incarnation };
  zone_schedule (zone, tick, TICK_PERIOD_MS);
}

static void
store_reply (zone_t *zone, const event_t *request, err_kind_t result,
             int64_t delay_ms)
{
  event_t reply = { .kind = EVENT_STORE_REPLY,
                    .entry = request->entry,
                    .entry_incarnation = request->entry_incarnation,
                    .result = result };
  if (request->kind == EVENT_STORE_READ && result == ERR_OK)
    {
      reply.row = zone->shares_row != NULL ? json_deep_copy (zone->shares_row)
                                           : NULL;
      reply.version = zone->shares_version;
    }
  else
    reply.version = -1;
  zone_schedule (zone, reply, delay_ms);
}

/* Counts the members that ROW drops from the shares row.  */
static void
count_retired (zone_t *zone, const json_t *row)
{
  const char *name;
  json_t *bases;
  json_object_foreach (json_object_get (zone->shares_row, "members"), name,
                       bases)
  {
    if (json_object_get (json_object_get (row, "members"), name) == NULL)
      zone->report.retirements++;
  }
}

static void
handle_store_request (zone_t *zone, const event_t *event)
{
  bool write = event->kind == EVENT_STORE_WRITE;
  if (zone->store_down)
    {
      store_reply (zone, event, ERR_STORE_UNAVAILABLE, 1);
      return;
    }
  bool lost = zone_chance (zone, 0.1);
  err_kind_t result = ERR_OK;
  if (write && event->version != zone->shares_version)
    result = ERR_CONFLICT;
  else if (write)
    {
      count_retired (zone, event->row);
      zone->report.processes_dropped
          += json_object_size (json_object_get (zone->shares_row, "limits"))
             > json_object_size (json_object_get (event->row, "limits"));
      json_decref (zone->shares_row);
      zone->shares_row = json_deep_copy (event->row);
      zone->shares_version++;
    }
  zone->report.lost_replies += lost;
  if (lost)
    store_reply (zone, event, ERR_TIMEOUT, STORE_TIMEOUT_MS);
  else
    store_reply (zone, event, result, 1 + zone_random_below (zone, 20));
}

static void
handle_store_reply (zone_t *zone, entry_t *entry, const event_t *event)
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
                    .entry_incarnation = entry->incarnation,
                    .row = row,
                    .version = version };
  entry->store_busy = true;
  zone_schedule (zone, write,
                 zone_chance (zone, 0.1) ? zone_random_below (zone, 3000) : 2);
}

static void
submit (zone_t *zone, uint32_t index)
{
  entry_t *entry = &zone->entries[index];
  if (entry->incarnation == 0 || entry->paused_until_ms > zone->now_ms)
    return;
  request_record_t record = { .entry = index,
                              .idempotent = zone_random_below (zone, 3) != 0,
                              .first_id = zone->requests->len + 1 };
  /* Some callers repeat the id of an earlier request.  */
  if (!record.idempotent && zone->requests->len > 50
      && zone_random_below (zone, 4) == 0)
    {
      uint64_t earlier = zone->requests->len - zone_random_below (zone, 50);
      const request_record_t *first = zone_request (zone, earlier);
      if (first->entry == index && !first->idempotent && !first->ended)
        record.first_id = first->first_id;
    }
  record.deadline_ms = zone->now_ms + 200 + zone_random_below (zone, 3000);
  g_array_append_val (zone->requests, record);
  uint64_t id = zone->requests->len;
  char *request_id = g_strdup_printf ("%" G_GUINT64_FORMAT,
                                      zone_request (zone, id)->first_id);
  dispatch_request_t request
      = { .id = id,
          .service = "svc",
          .team = zone_request (zone, id)->first_id % 2 ? "a" : "b",
          .class = (class_t)zone_random_below (zone, CLASS_COUNT),
          .idempotent = record.idempotent,
          .replayable = zone_random_below (zone, 10) != 0,
          .deadline_ms = record.deadline_ms,
          .request_id = record.idempotent ? NULL : request_id };
  zone->report.requests++;
  dispatch_submit (entry->dispatch, &request);
  if (zone_random_below (zone, 50) == 0)
    {
      request_record_t *own = zone_request (zone, id);
      if (!own->ended)
        {
          own->ended = true;
          dispatch_cancel (entry->dispatch, id);
        }
    }
  g_free (request_id);
}

static void
handle_arrival (zone_t *zone, const event_t *event)
{
  /* Callers prefer one entry for 7 s at a time, so that slots have to move. */
  uint32_t favoured = (uint32_t)(zone->now_ms / 7000) % zone->scenario.entries;
  uint32_t index = zone_random_below (zone, 3) == 0
                       ? zone_random_below (zone, zone->scenario.entries)
                       : favoured;
  submit (zone, index);
  double rate_per_ms = zone->scenario.load * zone->scenario.processes
                       * zone->scenario.slots_per_process / MEAN_RUN_MS;
  if (zone->faults_over)
    rate_per_ms *= 0.2;
  double gap_ms = -log (1.0 - g_rand_double (zone->random)) / rate_per_ms;
  if (zone->now_ms < zone->scenario.fault_period_ms + RECOVERY_MS - 5000)
    zone_schedule (zone, *event,
                   (int64_t)(gap_ms + g_rand_double (zone->random)));
}

static void
handle_attempt_end (zone_t *zone, entry_t *entry, const event_t *event)
{
  if (event->request_id == 0)
    {
      char *id = g_strdup_printf ("b%u", event->process);
      dispatch_probe_ended (entry->dispatch, id,
                            zone_chance (zone, 0.3) ? ERR_CONNECT_FAILED
                                                    : ERR_OK);
      g_free (id);
      return;
    }
  request_record_t *record = zone_request (zone, event->request_id);
  outcome_t outcome = OUTCOME_UNKNOWN;
  bool started
      = event->result == ERR_CONNECTION_LOST && zone_chance (zone, 0.2);
  if (event->result == ERR_CONNECT_FAILED)
    outcome = OUTCOME_NOT_RUN;
  if (event->abandoned)
    dispatch_attempt_abandoned (entry->dispatch, event->request_id,
                                event->attempt);
  if (started)
    dispatch_answer_started (entry->dispatch, event->request_id,
                             event->attempt);
  if ((event->result == ERR_OK || started) && !record->ended)
    {
      zone_end_request (entry, event->request_id, false, OUTCOME_RAN);
      zone->report.answered++;
    }
  dispatch_attempt_ended (entry->dispatch, event->request_id, event->attempt,
                          event->result, event->result == ERR_OK ? 200 : 0,
                          outcome);
  /* A duplicate report, which has to be ignored.  */
  if (zone_chance (zone, 0.05))
    dispatch_attempt_ended (entry->dispatch, event->request_id, event->attempt,
                            ERR_OK, 200, OUTCOME_RAN);
}

static void
handle_run_end (zone_t *zone, const event_t *event)
{
  fake_process_t *process = &zone->processes[event->process];
  event_t ends = *event;
  ends.kind = EVENT_ATTEMPT_ENDS;
  if (process->incarnation == event->process_incarnation)
    process->running--;
  else
    ends.result = ERR_CONNECTION_LOST;
  if (!event->abandoned)
    zone_schedule (zone, ends, 0);
}

/* The instance list shows a change of process P to each entry, late.  */
static void
announce_to_all (zone_t *zone, uint32_t p)
{
  for (uint32_t i = 0; i < zone->scenario.entries; i++)
    {
      event_t notice
          = { .kind = EVENT_PROCESS_CHANGED, .entry = i, .process = p };
      zone_schedule (zone, notice, zone_random_below (zone, LIST_LAG_MS));
    }
}

/* Restarts process P: at once, or in half of the cases after 20 to 100 s, so
   that it may have been dropped from the shares row by then.  */
static void
replace_process (zone_t *zone, uint32_t p)
{
  fake_process_t *process = &zone->processes[p];
  if (process->gone)
    return;
  zone->report.process_deaths++;
  process->incarnation++;
  process->running = 0;
  if (zone_random_below (zone, 2) == 0)
    {
      process->gone = true;
      event_t returns = { .kind = EVENT_PROCESS_RETURNS, .process = p };
      zone_schedule (zone, returns, 20000 + zone_random_below (zone, 80000));
    }
  announce_to_all (zone, p);
}

static void
inject_fault (zone_t *zone, const event_t *event)
{
  if (zone->now_ms >= zone->scenario.fault_period_ms)
    {
      zone->faults_over = true;
      zone->store_down = false;
      memset (zone->link_cut, 0, sizeof zone->link_cut);
      for (uint32_t i = 0; i < zone->scenario.entries; i++)
        zone->entries[i].actions_until_crash = 0;
      return;
    }
  uint32_t i = zone_random_below (zone, zone->scenario.entries);
  uint32_t k = zone_random_below (zone, zone->scenario.entries);
  switch (zone_random_below (zone, 9))
    {
    case 0:
      if (zone->entries[i].incarnation != 0)
        {
          zone->report.crashes++;
          zone->entries[i].actions_until_crash
              = 1 + zone_random_below (zone, 200);
        }
      break;
    case 1:
      zone->report.pauses++;
      zone->entries[i].paused_until_ms
          = zone->now_ms
            + zone_random_below (
                zone, zone_random_below (zone, 10) == 0 ? 80000 : 6000);
      /* No pause outlasts the faults.  */
      zone->entries[i].paused_until_ms = MIN (zone->entries[i].paused_until_ms,
                                              zone->scenario.fault_period_ms);
      break;
    case 2:
    case 3:
      zone->report.link_cuts++;
      zone->link_cut[i][k] = true;
      break;
    case 4:
    case 5:
      memset (zone->link_cut, 0, sizeof zone->link_cut);
      zone->store_down = false;
      break;
    case 6:
      zone->report.outages++;
      zone->store_down = true;
      break;
    case 7:
      if (zone->entries[i].incarnation != 0 && !zone->entries[i].draining
          && zone->entries[i].paused_until_ms <= zone->now_ms)
        zone_begin_stop (&zone->entries[i]);
      break;
    default:
      replace_process (zone,
                       zone_random_below (zone, zone->scenario.processes));
      break;
    }
  zone_schedule (zone, *event, 500 + zone_random_below (zone, 6000));
}

static void
handle_entry_event (zone_t *zone, entry_t *entry, const event_t *event)
{
  switch (event->kind)
    {
    case EVENT_TICK:
      handle_tick (zone, entry);
      break;
    case EVENT_MESSAGE:
      zone_deliver (entry, event->message);
      break;
    case EVENT_ATTEMPT_ENDS:
      handle_attempt_end (zone, entry, event);
      break;
    case EVENT_STORE_REPLY:
      handle_store_reply (zone, entry, event);
      break;
    case EVENT_ENTRY_GONE:
      dispatch_member_gone (entry->dispatch, event->message->from);
      break;
    case EVENT_PROCESS_CHANGED:
      zone_announce_process (entry, event->process);
      break;
    default:
      break;
    }
  if (entry->crashing)
    zone_stop_entry (zone, entry->index);
}

static void
handle_event (zone_t *zone, event_t *event)
{
  entry_t *entry = &zone->entries[event->entry];
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      handle_arrival (zone, event);
      break;
    case EVENT_FAULT:
      inject_fault (zone, event);
      break;
    case EVENT_PROCESS_RETURNS:
      zone->processes[event->process].gone = false;
      announce_to_all (zone, event->process);
      break;
    case EVENT_RUN_ENDS:
      handle_run_end (zone, event);
      break;
    case EVENT_STORE_READ:
    case EVENT_STORE_WRITE:
      handle_store_request (zone, event);
      break;
    case EVENT_ENTRY_RESTART:
      zone_start_entry (zone, event->entry);
      for (guint i = 0; i < zone->gone_entries->len; i++)
        dispatch_member_gone (entry->dispatch, zone->gone_entries->pdata[i]);
      break;
    default:
      if (entry->incarnation == 0
          || (event->entry_incarnation != 0
              && event->entry_incarnation != entry->incarnation))
        {
          /* An entry that is not running learns of it after its start.  */
          if (event->kind == EVENT_ENTRY_GONE && entry->incarnation == 0)
            {
              event_t again = *event;
              again.message = zone_message_copy (event->message);
              zone_schedule (zone, again, 1000);
            }
          break;
        }
      if (entry->paused_until_ms > zone->now_ms && !zone->faults_over)
        {
          event_t later = *event;
          event->message = NULL;
          event->row = NULL;
          zone_schedule (zone, later, entry->paused_until_ms - zone->now_ms);
          break;
        }
      handle_entry_event (zone, entry, event);
      break;
    }
  zone_message_free (event->message);
  json_decref (event->row);
}

/* Checks that the entries' slots of each process add up to its limit, and that
   each entry has answered requests after the faults.  */
static void
check_slots (zone_t *zone)
{
  for (uint32_t p = 0; p < zone->scenario.processes; p++)
    {
      char *id = g_strdup_printf ("b%u", p);
      int64_t sum = 0;
      for (uint32_t i = 0; i < zone->scenario.entries; i++)
        {
          share_t *share = zone->entries[i].dispatch->share;
          sum += share_slots (
              share, share_resolve_process (share, id,
                                            zone->processes[p].incarnation));
        }
      if (sum != zone->scenario.slots_per_process)
        {
          zone->report.slots_wrong++;
          if (zone->scenario.rules.deduct_before_send
              && zone->scenario.rules.wait_for_statements)
            printf ("\n  slots of %s: %" G_GINT64_FORMAT " of %u", id, sum,
                    zone->scenario.slots_per_process);
        }
      g_free (id);
    }
  for (uint32_t i = 0; i < zone->scenario.entries; i++)
    zone->report.not_served += zone->entries[i].answered_after_faults == 0;
}

static void
check_records (zone_t *zone)
{
  zone_report_t *report = &zone->report;
  for (guint i = 0; i < zone->requests->len; i++)
    {
      const request_record_t *record
          = &g_array_index (zone->requests, request_record_t, i);
      report->unanswered += !record->ended;
      report->false_not_run += record->check_outcome && record->runs > 0
                               && record->outcome == OUTCOME_NOT_RUN
                               && record->deliveries > 0;
      report->false_ran += record->check_outcome && record->runs == 0
                           && record->outcome == OUTCOME_RAN;
      report->repeated_ids_ran += !record->idempotent
                                  && record->first_id == i + 1
                                  && record->runs > 1;
    }
}

zone_report_t
zone_run (const zone_scenario_t *scenario)
{
  zone_t *zone = g_new0 (zone_t, 1);
  zone->scenario = *scenario;
  zone->random = g_rand_new_with_seed (scenario->seed);
  zone->event_heap = g_array_new (FALSE, FALSE, sizeof (event_t));
  zone->requests = g_array_new (FALSE, FALSE, sizeof (request_record_t));
  zone->gone_entries = g_ptr_array_new_with_free_func (g_free);
  clk_fake_init (&zone->clock, 0);
  for (uint32_t p = 0; p < scenario->processes; p++)
    zone->processes[p].incarnation = 1;
  for (uint32_t i = 0; i < scenario->entries; i++)
    zone_start_entry (zone, i);
  event_t arrival = { .kind = EVENT_ARRIVAL };
  zone_schedule (zone, arrival, 1000);
  event_t fault = { .kind = EVENT_FAULT };
  zone_schedule (zone, fault, 5000);
  while (zone->event_heap->len > 0
         && zone->now_ms < scenario->fault_period_ms + RECOVERY_MS)
    {
      event_t event = pop_event (zone);
      zone->now_ms = event.at_ms;
      zone->clock.now = clk_from_ms (zone->now_ms);
      handle_event (zone, &event);
    }
  check_slots (zone);
  check_records (zone);
  zone_report_t report = zone->report;
  while (zone->event_heap->len > 0)
    {
      event_t event = pop_event (zone);
      zone_message_free (event.message);
      json_decref (event.row);
    }
  for (uint32_t i = 0; i < scenario->entries; i++)
    {
      entry_t *entry = &zone->entries[i];
      if (entry->incarnation == 0)
        continue;
      dispatch_free (entry->dispatch);
      counter_registry_free (entry->registry);
      g_free (entry->name);
      for (uint32_t k = 0; k < MAX_ENTRIES; k++)
        g_free (entry->peer_name[k]);
    }
  json_decref (zone->shares_row);
  g_array_unref (zone->event_heap);
  g_array_unref (zone->requests);
  g_ptr_array_unref (zone->gone_entries);
  g_rand_free (zone->random);
  g_free (zone);
  return report;
}

uint32_t
zone_violations (const zone_report_t *report)
{
  return report->over_limit + report->double_ends + report->unanswered
         + report->false_not_run + report->false_ran + report->delivered_twice
         + report->repeated_ids_ran + report->slots_wrong + report->not_served
         + report->rows_refused;
}
