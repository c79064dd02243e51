#include "fake_zone_internal.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

static bool
before (const event_t *a, const event_t *b)
{
  return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

void
zone_schedule (zone_t *zone, event_t event, int64_t delay_ms)
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

uint32_t
zone_draw (zone_t *zone, uint32_t below)
{
  return (uint32_t)g_rand_int_range (zone->random, 0, (gint32)below);
}

bool
zone_chance (zone_t *zone, double probability)
{
  return !zone->healed && g_rand_double (zone->random) < probability;
}

record_t *
zone_record (zone_t *zone, uint64_t id)
{
  return &g_array_index (zone->records, record_t, id - 1);
}

static void
read_row (entry_t *entry)
{
  event_t read = { .kind = EVENT_STORE_READ,
                   .entry = entry->index,
                   .birth = entry->birth };
  entry->store_busy = true;
  zone_schedule (entry->zone, read, 1 + zone_draw (entry->zone, 5));
}

static void
run_tick (zone_t *zone, entry_t *entry)
{
  dispatch_tick (entry->dispatch);
  if (zone->now_ms >= entry->next_heartbeat_ms)
    {
      zone_heartbeat (entry);
      if (!entry->store_busy && dispatch_shares_read_due (entry->dispatch))
        read_row (entry);
    }
  if (entry->draining && dispatch_drained (entry->dispatch))
    {
      zone->report.stops++;
      zone_stop_entry (zone, entry->index);
      return;
    }
  event_t tick
      = { .kind = EVENT_TICK, .entry = entry->index, .birth = entry->birth };
  zone_schedule (zone, tick, TICK_PERIOD_MS);
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
  zone_schedule (zone, reply, delay_ms);
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
  bool lost = zone_chance (zone, 0.1);
  err_kind_t result = ERR_OK;
  if (write && event->version != zone->version)
    result = ERR_CONFLICT;
  else if (write)
    {
      count_retired (zone, event->row);
      zone->report.processes_dropped
          += json_object_size (json_object_get (zone->row, "limits"))
             > json_object_size (json_object_get (event->row, "limits"));
      json_decref (zone->row);
      zone->row = json_deep_copy (event->row);
      zone->version++;
    }
  zone->report.lost_replies += lost;
  if (lost)
    store_reply (zone, event, ERR_TIMEOUT, STORE_TIMEOUT_MS);
  else
    store_reply (zone, event, result, 1 + zone_draw (zone, 20));
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
  zone_schedule (zone, write,
                 zone_chance (zone, 0.1) ? zone_draw (zone, 3000) : 2);
}

static void
submit (zone_t *zone, uint32_t index)
{
  entry_t *entry = &zone->entries[index];
  if (entry->birth == 0 || entry->paused_until_ms > zone->now_ms)
    return;
  record_t record = { .entry = index,
                      .idempotent = zone_draw (zone, 3) != 0,
                      .repeats = zone->records->len + 1 };
  /* Some callers repeat the id of an earlier request.  */
  if (!record.idempotent && zone->records->len > 50
      && zone_draw (zone, 4) == 0)
    {
      uint64_t earlier = zone->records->len - zone_draw (zone, 50);
      const record_t *first = zone_record (zone, earlier);
      if (first->entry == index && !first->idempotent && !first->ended)
        record.repeats = first->repeats;
    }
  record.deadline_ms = zone->now_ms + 200 + zone_draw (zone, 3000);
  g_array_append_val (zone->records, record);
  uint64_t id = zone->records->len;
  char *request_id = g_strdup_printf ("%" G_GUINT64_FORMAT,
                                      zone_record (zone, id)->repeats);
  dispatch_request_t request
      = { .id = id,
          .service = "svc",
          .team = zone_record (zone, id)->repeats % 2 ? "a" : "b",
          .class = (class_t)zone_draw (zone, CLASS_COUNT),
          .idempotent = record.idempotent,
          .replayable = zone_draw (zone, 10) != 0,
          .deadline_ms = record.deadline_ms,
          .request_id = record.idempotent ? NULL : request_id };
  zone->report.requests++;
  dispatch_submit (entry->dispatch, &request);
  if (zone_draw (zone, 50) == 0)
    {
      record_t *own = zone_record (zone, id);
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
  uint32_t index = zone_draw (zone, 3) == 0
                       ? zone_draw (zone, zone->run.entries)
                       : favoured;
  submit (zone, index);
  double rate_per_ms
      = zone->run.load * zone->run.processes * zone->run.limit / MEAN_RUN_MS;
  if (zone->healed)
    rate_per_ms *= 0.2;
  double gap_ms = -log (1.0 - g_rand_double (zone->random)) / rate_per_ms;
  if (zone->now_ms < zone->run.chaos_ms + HEAL_MS - 5000)
    zone_schedule (zone, *event,
                   (int64_t)(gap_ms + g_rand_double (zone->random)));
}

static void
run_attempt_end (zone_t *zone, entry_t *entry, const event_t *event)
{
  if (event->id == 0)
    {
      char *id = g_strdup_printf ("b%u", event->process);
      dispatch_probe_ended (entry->dispatch, id,
                            zone_chance (zone, 0.3) ? ERR_CONNECT_FAILED
                                                    : ERR_OK);
      g_free (id);
      return;
    }
  record_t *record = zone_record (zone, event->id);
  outcome_t outcome = OUTCOME_UNKNOWN;
  bool started
      = event->result == ERR_CONNECTION_LOST && zone_chance (zone, 0.2);
  if (event->result == ERR_CONNECT_FAILED)
    outcome = OUTCOME_NOT_RUN;
  if (event->abandoned)
    dispatch_attempt_abandoned (entry->dispatch, event->id, event->attempt);
  if (started)
    dispatch_attempt_started (entry->dispatch, event->id, event->attempt);
  if ((event->result == ERR_OK || started) && !record->ended)
    {
      zone_note_end (entry, event->id, false, OUTCOME_RAN);
      zone->report.answered++;
    }
  dispatch_attempt_ended (entry->dispatch, event->id, event->attempt,
                          event->result, event->result == ERR_OK ? 200 : 0,
                          outcome);
  if (zone_chance (zone, 0.05))
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
  if (!event->abandoned)
    zone_schedule (zone, ends, 0);
}

static void
tell_all (zone_t *zone, uint32_t p)
{
  for (uint32_t i = 0; i < zone->run.entries; i++)
    {
      event_t told = { .kind = EVENT_PROCESS_GONE, .entry = i, .process = p };
      zone_schedule (zone, told, zone_draw (zone, LIST_LAG_MS));
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
  if (zone_draw (zone, 2) == 0)
    {
      process->gone = true;
      event_t returns = { .kind = EVENT_PROCESS_RETURNS, .process = p };
      zone_schedule (zone, returns, 20000 + zone_draw (zone, 80000));
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
  uint32_t i = zone_draw (zone, zone->run.entries);
  uint32_t k = zone_draw (zone, zone->run.entries);
  switch (zone_draw (zone, 9))
    {
    case 0:
      if (zone->entries[i].birth != 0)
        {
          zone->report.crashes++;
          zone->entries[i].actions_left = 1 + zone_draw (zone, 200);
        }
      break;
    case 1:
      zone->report.pauses++;
      zone->entries[i].paused_until_ms
          = zone->now_ms
            + zone_draw (zone, zone_draw (zone, 10) == 0 ? 80000 : 6000);
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
    case 7:
      if (zone->entries[i].birth != 0 && !zone->entries[i].draining
          && zone->entries[i].paused_until_ms <= zone->now_ms)
        zone_drain (&zone->entries[i]);
      break;
    default:
      replace_process (zone, zone_draw (zone, zone->run.processes));
      break;
    }
  zone_schedule (zone, *event, 500 + zone_draw (zone, 6000));
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
      zone_deliver (entry, event->message);
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
      zone_tell_process (entry, event->process);
      break;
    default:
      break;
    }
  if (entry->dying)
    zone_stop_entry (zone, entry->index);
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
      zone_start_entry (zone, event->entry);
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
              again.message = zone_message_copy (event->message);
              zone_schedule (zone, again, 1000);
            }
          break;
        }
      if (entry->paused_until_ms > zone->now_ms && !zone->healed)
        {
          event_t later = *event;
          event->message = NULL;
          event->row = NULL;
          zone_schedule (zone, later, entry->paused_until_ms - zone->now_ms);
          break;
        }
      run_entry_event (zone, entry, event);
      break;
    }
  zone_message_free (event->message);
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
          if (zone->run.rules.deduct_before_send
              && zone->run.rules.wait_for_statements)
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
    zone_start_entry (zone, i);
  event_t arrival = { .kind = EVENT_ARRIVAL };
  zone_schedule (zone, arrival, 1000);
  event_t fault = { .kind = EVENT_FAULT };
  zone_schedule (zone, fault, 5000);
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
      zone_message_free (event.message);
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
