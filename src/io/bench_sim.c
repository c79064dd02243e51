#include "bench_sim.h"

#include <math.h>
#include <string.h>

#define TICK_PERIOD_US 10000
#define HEARTBEAT_PERIOD_US 1000000
#define US_PER_MS 1000
#define US_PER_S 1000000.0
#define SERVICE "bench"
#define ZONE "zone"

typedef enum
{
  EVENT_ARRIVAL,
  EVENT_SUBMIT, /* a forwarded request reaches the responsible entry */
  EVENT_RUN_ENDED,
  EVENT_TICK,
  EVENT_HEARTBEAT,
  EVENT_LEDGER,    /* a message that gives slots arrives */
  EVENT_WANT_SLOTS /* a message that asks for slots arrives */
} event_kind_t;

typedef struct
{
  int64_t at_us;
  uint64_t sequence; /* order of events at the same time */
  event_kind_t kind;
  uint32_t entry; /* where the event happens */
  uint32_t from;  /* sending entry of a message */
  uint32_t class;
  uint64_t id; /* of the request */
  uint32_t attempt;
  uint32_t phase_or_count; /* of EVENT_ARRIVAL, or slots of EVENT_WANT_SLOTS */
  GArray *ledger; /* dispatch_ledger_item_t whose names are interned */
} event_t;

typedef struct
{
  int64_t arrived_us;
  int64_t started_us; /* sent to a backend server */
  uint8_t class;
  uint8_t phase; /* of the arrival */
  bool counted;  /* arrived after the settle time */
} request_t;

typedef struct sim sim_t;

typedef struct
{
  sim_t *sim;
  uint32_t index;
  char *name;
  dispatch_t *dispatch;
  counter_registry_t *registry;
} entry_t;

struct sim
{
  const bench_scenario_t *scenario;
  bench_report_t *report;
  clk_fake_t clock;
  GRand *random;
  GArray *events; /* event_t, binary heap, earliest first */
  uint64_t sequence;
  int64_t now_us;
  int64_t phase_start_us;
  uint32_t phase;
  uint32_t slots_in_use;
  entry_t entries[BENCH_SIM_MAX_ENTRIES];
  GArray *requests; /* request_t by id */
  GArray *free_ids; /* uint64_t, reusable */
};

static bool
is_earlier (const event_t *a, const event_t *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us
                              : a->sequence < b->sequence;
}

static void
schedule (sim_t *sim, event_t event, int64_t delay_us)
{
  event.at_us = sim->now_us + delay_us;
  event.sequence = sim->sequence++;
  g_array_append_val (sim->events, event);
  event_t *events = (event_t *)(void *)sim->events->data;
  guint at = sim->events->len - 1;
  for (; at > 0 && is_earlier (&event, &events[(at - 1) / 2]);
       at = (at - 1) / 2)
    events[at] = events[(at - 1) / 2];
  events[at] = event;
}

static event_t
pop_event (sim_t *sim)
{
  event_t *events = (event_t *)(void *)sim->events->data;
  event_t first = events[0];
  guint count = sim->events->len - 1;
  event_t last = events[count];
  g_array_set_size (sim->events, count);
  guint at = 0;
  for (guint child = 1; child < count; child = 2 * at + 1)
    {
      if (child + 1 < count && is_earlier (&events[child + 1], &events[child]))
        child++;
      if (is_earlier (&last, &events[child]))
        break;
      events[at] = events[child];
      at = child;
    }
  if (count > 0)
    events[at] = last;
  return first;
}

static int64_t
exponential_us (sim_t *sim, double mean_us)
{
  return (int64_t)(-log (1.0 - g_rand_double (sim->random)) * mean_us);
}

static request_t *
request_of (const sim_t *sim, uint64_t id)
{
  return &g_array_index (sim->requests, request_t, id);
}

static bool
is_settled (const sim_t *sim)
{
  return sim->now_us - sim->phase_start_us
         >= sim->scenario->settle_ms * US_PER_MS;
}

static uint64_t
add_request (sim_t *sim, uint32_t class)
{
  request_t request = { .arrived_us = sim->now_us,
                        .class = (uint8_t) class,
                        .phase = (uint8_t)sim->phase };
  request.counted = sim->now_us - sim->phase_start_us
                    >= sim->scenario->settle_ms * US_PER_MS;
  uint64_t id = sim->requests->len;
  if (sim->free_ids->len > 0)
    {
      id = g_array_index (sim->free_ids, uint64_t, sim->free_ids->len - 1);
      g_array_set_size (sim->free_ids, sim->free_ids->len - 1);
      *request_of (sim, id) = request;
    }
  else
    g_array_append_val (sim->requests, request);
  return id;
}

static bench_result_t *
result_of (const sim_t *sim, const request_t *request)
{
  return &sim->report->results[request->phase][request->class];
}

static void
act_send (void *context, uint64_t id, uint32_t attempt, const char *backend,
          const char *url, bool new_connection)
{
  const entry_t *entry = context;
  sim_t *sim = entry->sim;
  request_of (sim, id)->started_us = sim->now_us;
  event_t ends = { .kind = EVENT_RUN_ENDED,
                   .entry = entry->index,
                   .id = id,
                   .attempt = attempt };
  uint32_t total
      = sim->scenario->process_count * sim->scenario->slots_per_process;
  if (++sim->slots_in_use >= total * 95 / 100
      && sim->report->full_after_ms[sim->phase] < 0)
    sim->report->full_after_ms[sim->phase]
        = (sim->now_us - sim->phase_start_us) / US_PER_MS;
  schedule (sim, ends,
            exponential_us (sim, sim->scenario->mean_run_ms * US_PER_MS));
}

static void
act_refuse (void *context, uint64_t id, err_kind_t kind, outcome_t outcome,
            int64_t retry_after_ms, const char *detail)
{
  sim_t *sim = ((const entry_t *)context)->sim;
  const request_t *request = request_of (sim, id);
  if (request->counted)
    result_of (sim, request)->refused++;
  g_array_append_val (sim->free_ids, id);
}

static void
act_hand_over (void *context, uint64_t id, uint32_t attempt, const char *entry)
{
}

static void
act_probe (void *context, const char *backend, const char *url)
{
}

static void
send_message (const entry_t *from, const char *to, event_t event)
{
  sim_t *sim = from->sim;
  event.from = from->index;
  event.entry = (uint32_t)g_ascii_strtoull (to + 1, NULL, 10);
  sim->report->messages[sim->phase]++;
  schedule (sim, event, sim->scenario->hop_us);
}

static void
act_send_ledger (void *context, const char *to,
                 const dispatch_ledger_item_t *items, uint32_t count)
{
  event_t event = { .kind = EVENT_LEDGER };
  event.ledger = g_array_new (FALSE, FALSE, sizeof (dispatch_ledger_item_t));
  for (uint32_t i = 0; i < count; i++)
    {
      dispatch_ledger_item_t item = items[i];
      item.process_key = g_intern_string (item.process_key);
      g_array_append_val (event.ledger, item);
    }
  send_message (context, to, event);
}

static void
act_want_slots (void *context, const char *to, const char *service,
                uint32_t count)
{
  event_t event = { .kind = EVENT_WANT_SLOTS, .phase_or_count = count };
  send_message (context, to, event);
}

static void
act_closing_request (void *context, const char *entry,
                     const char *const *members, uint32_t count)
{
}

static void
act_closing_statement (void *context, const char *entry,
                       const char *const *members, uint32_t count,
                       const dispatch_closing_item_t *items,
                       uint32_t item_count)
{
}

static const dispatch_actions_t actions = {
  act_send,        act_hand_over,  act_refuse,          act_probe,
  act_send_ledger, act_want_slots, act_closing_request, act_closing_statement
};

/* Returns the shares row, which gives each entry its base: the slots of every
   process that it has at the start.  */
static json_t *
make_shares_row (const bench_scenario_t *scenario)
{
  json_t *limits = json_object (), *members = json_object ();
  for (uint32_t e = 0; e < scenario->entry_count; e++)
    {
      json_t *bases = json_object ();
      for (uint32_t p = 0; p < scenario->process_count; p++)
        {
          /* The slots left over by the division go to different entries from
             process to process, so that the sums of the shares are even.  */
          uint32_t share
              = scenario->slots_per_process / scenario->entry_count
                + ((e + p) % scenario->entry_count
                   < scenario->slots_per_process % scenario->entry_count);
          if (scenario->shares == BENCH_SHARES_RESPONSIBLE)
            share = e == scenario->entry_count - 1
                        ? scenario->slots_per_process
                        : 0;
          char *key = g_strdup_printf ("p%u@1", p);
          if (share > 0)
            json_object_set_new (bases, key, json_integer (share));
          json_object_set_new (limits, key,
                               json_integer (scenario->slots_per_process));
          g_free (key);
        }
      char *name = g_strdup_printf ("e%u@1", e);
      json_object_set_new (members, name, bases);
      g_free (name);
    }
  return json_pack ("{s:o, s:o}", "members", members, "limits", limits);
}

static void
start_entry (sim_t *sim, uint32_t index, const json_t *row)
{
  const bench_scenario_t *scenario = sim->scenario;
  entry_t *entry = &sim->entries[index];
  entry->sim = sim;
  entry->index = index;
  entry->name = g_strdup_printf ("e%u@1", index);
  entry->registry = counter_registry_new ();
  entry->dispatch
      = dispatch_new (entry->name, ZONE, &actions, entry, &sim->clock.base,
                      entry->registry, scenario->seed + index);
  dispatch_policy_t policy = { .policy = scenario->policy };
  dispatch_service_set (entry->dispatch, SERVICE, &policy);
  for (uint32_t p = 0; p < scenario->process_count; p++)
    {
      char *id = g_strdup_printf ("p%u", p);
      dispatch_backend_t backend = { id,    SERVICE,
                                     ZONE,  "http://127.0.0.1",
                                     false, scenario->slots_per_process,
                                     64,    1 };
      dispatch_backend_set (entry->dispatch, &backend);
      g_free (id);
    }
  dispatch_shares_load (entry->dispatch, 1, row);
  /* The entries tick at different times.  */
  event_t event = { .kind = EVENT_TICK, .entry = index };
  schedule (sim, event, (int64_t)index * 1000);
  event.kind = EVENT_HEARTBEAT;
  schedule (sim, event, (int64_t)index * 2000);
}

static void
connect_entries (sim_t *sim)
{
  for (uint32_t a = 0; a < sim->scenario->entry_count; a++)
    for (uint32_t b = 0; b < sim->scenario->entry_count; b++)
      if (a != b && sim->scenario->shares == BENCH_SHARES_ESCROW)
        dispatch_peer_up (sim->entries[a].dispatch, sim->entries[b].name,
                          ZONE);
}

static void
send_heartbeat (sim_t *sim, const entry_t *entry)
{
  uint32_t free_slots = 0, queued = 0;
  dispatch_own_load (entry->dispatch, SERVICE, &free_slots, &queued);
  for (uint32_t i = 0; i < sim->scenario->entry_count; i++)
    if (i != entry->index)
      dispatch_peer_load_set (sim->entries[i].dispatch, entry->name, SERVICE,
                              free_slots, queued);
  event_t again = { .kind = EVENT_HEARTBEAT, .entry = entry->index };
  schedule (sim, again, HEARTBEAT_PERIOD_US);
}

static void
submit (sim_t *sim, const entry_t *entry, uint64_t id)
{
  const request_t *request = request_of (sim, id);
  dispatch_request_t submission
      = { .id = id,
          .service = SERVICE,
          .team = "bench",
          .class = (class_t)request->class,
          .idempotent = true,
          .replayable = true,
          .deadline_ms
          = request->arrived_us / US_PER_MS + sim->scenario->deadline_ms };
  dispatch_submit (entry->dispatch, &submission);
}

/* Schedules the next arrival of CLASS at ENTRY.  The rates change with the
   phase: each phase schedules its own arrivals, and handle_arrival drops one
   that an earlier phase has scheduled.  */
static void
schedule_arrival (sim_t *sim, uint32_t entry, uint32_t class)
{
  double rate = sim->scenario->phases[sim->phase].rate_per_s[entry][class];
  if (rate <= 0.0)
    return;
  event_t event = { .kind = EVENT_ARRIVAL,
                    .entry = entry,
                    .class = class,
                    .phase_or_count = sim->phase };
  schedule (sim, event, exponential_us (sim, US_PER_S / rate));
}

static void
handle_arrival (sim_t *sim, const event_t *event)
{
  if (event->phase_or_count != sim->phase)
    return;
  schedule_arrival (sim, event->entry, event->class);
  uint64_t id = add_request (sim, event->class);
  if (request_of (sim, id)->counted)
    result_of (sim, request_of (sim, id))->offered++;
  uint32_t responsible = sim->scenario->entry_count - 1;
  if (sim->scenario->shares == BENCH_SHARES_RESPONSIBLE
      && event->entry != responsible)
    {
      event_t hop = { .kind = EVENT_SUBMIT, .entry = responsible, .id = id };
      /* One message with the request, one with the answer.  */
      sim->report->messages[sim->phase] += 2;
      schedule (sim, hop, sim->scenario->hop_us);
      return;
    }
  submit (sim, &sim->entries[event->entry], id);
}

static void
handle_run_end (sim_t *sim, const entry_t *entry, const event_t *event)
{
  const request_t request = *request_of (sim, event->id);
  sim->slots_in_use--;
  if (is_settled (sim))
    sim->report->results[sim->phase][request.class].completed++;
  if (request.counted)
    {
      bench_result_t *result = result_of (sim, &request);
      int64_t back_us = sim->scenario->shares == BENCH_SHARES_RESPONSIBLE
                            ? sim->scenario->hop_us
                            : 0;
      uint32_t wait_us = (uint32_t)(request.started_us - request.arrived_us);
      uint32_t response_us
          = (uint32_t)(sim->now_us + back_us - request.arrived_us);
      g_array_append_val (result->wait_us, wait_us);
      g_array_append_val (result->response_us, response_us);
    }
  dispatch_attempt_ended (entry->dispatch, event->id, event->attempt, ERR_OK,
                          200, OUTCOME_RAN);
  g_array_append_val (sim->free_ids, event->id);
}

static void
handle_event (sim_t *sim, event_t *event)
{
  const entry_t *entry = &sim->entries[event->entry];
  event_t again = { .kind = event->kind, .entry = event->entry };
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      handle_arrival (sim, event);
      break;
    case EVENT_SUBMIT:
      submit (sim, entry, event->id);
      break;
    case EVENT_RUN_ENDED:
      handle_run_end (sim, entry, event);
      break;
    case EVENT_TICK:
      dispatch_tick (entry->dispatch);
      schedule (sim, again, TICK_PERIOD_US);
      break;
    case EVENT_HEARTBEAT:
      send_heartbeat (sim, entry);
      break;
    case EVENT_LEDGER:
      dispatch_peer_ledger (
          entry->dispatch, sim->entries[event->from].name,
          (dispatch_ledger_item_t *)(void *)event->ledger->data,
          event->ledger->len);
      g_array_unref (event->ledger);
      break;
    case EVENT_WANT_SLOTS:
      dispatch_peer_slot_want (entry->dispatch, sim->entries[event->from].name,
                               SERVICE, event->phase_or_count);
      break;
    }
}

static void
set_now (sim_t *sim, int64_t now_us)
{
  sim->now_us = now_us;
  sim->clock.now.tv_sec = now_us / 1000000;
  sim->clock.now.tv_nsec = now_us % 1000000 * 1000;
}

static void
run_phase (sim_t *sim)
{
  sim->phase_start_us = sim->now_us;
  int64_t end_us
      = sim->now_us + sim->scenario->phases[sim->phase].length_ms * US_PER_MS;
  for (uint32_t e = 0; e < sim->scenario->entry_count; e++)
    for (uint32_t c = 0; c < CLASS_COUNT; c++)
      schedule_arrival (sim, e, c);
  while (sim->events->len > 0
         && g_array_index (sim->events, event_t, 0).at_us < end_us)
    {
      event_t event = pop_event (sim);
      set_now (sim, event.at_us);
      handle_event (sim, &event);
    }
  set_now (sim, end_us);
}

void
bench_sort (GArray *values)
{
  /* Radix sort by bytes: arrays hold millions of values.  */
  guint count = values->len;
  uint32_t *from = (uint32_t *)(void *)values->data;
  uint32_t *to = g_new (uint32_t, count + 1);
  for (unsigned shift = 0; shift < 32; shift += 8)
    {
      guint starts[257] = { 0 };
      for (guint i = 0; i < count; i++)
        starts[((from[i] >> shift) & 0xff) + 1]++;
      for (unsigned b = 0; b < 256; b++)
        starts[b + 1] += starts[b];
      for (guint i = 0; i < count; i++)
        to[starts[(from[i] >> shift) & 0xff]++] = from[i];
      uint32_t *swap = from;
      from = to;
      to = swap;
    }
  /* The number of passes is even, so the result is in VALUES.  */
  g_free (to);
}

uint32_t
bench_quantile (const GArray *sorted, double quantile)
{
  if (sorted->len == 0)
    return 0;
  guint at = (guint)(quantile * sorted->len);
  return g_array_index (sorted, uint32_t, MIN (at, sorted->len - 1));
}

bench_report_t *
bench_sim_run (const bench_scenario_t *scenario)
{
  sim_t *sim = g_new0 (sim_t, 1);
  sim->scenario = scenario;
  sim->report = g_new0 (bench_report_t, 1);
  sim->random = g_rand_new_with_seed (scenario->seed);
  sim->events = g_array_new (FALSE, FALSE, sizeof (event_t));
  sim->requests = g_array_new (FALSE, FALSE, sizeof (request_t));
  sim->free_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (unsigned p = 0; p < BENCH_SIM_MAX_PHASES; p++)
    {
      sim->report->full_after_ms[p] = -1;
      for (int c = 0; c < CLASS_COUNT; c++)
        {
          bench_result_t *result = &sim->report->results[p][c];
          result->wait_us = g_array_new (FALSE, FALSE, sizeof (uint32_t));
          result->response_us = g_array_new (FALSE, FALSE, sizeof (uint32_t));
        }
    }
  clk_fake_init (&sim->clock, 0);
  set_now (sim, 1000000);
  json_t *row = make_shares_row (scenario);
  for (uint32_t e = 0; e < scenario->entry_count; e++)
    start_entry (sim, e, row);
  json_decref (row);
  connect_entries (sim);
  for (sim->phase = 0; sim->phase < scenario->phase_count; sim->phase++)
    run_phase (sim);
  for (uint32_t e = 0; e < scenario->entry_count; e++)
    {
      dispatch_free (sim->entries[e].dispatch);
      counter_registry_free (sim->entries[e].registry);
      g_free (sim->entries[e].name);
    }
  for (guint i = 0; i < sim->events->len; i++)
    if (g_array_index (sim->events, event_t, i).kind == EVENT_LEDGER)
      g_array_unref (g_array_index (sim->events, event_t, i).ledger);
  bench_report_t *report = sim->report;
  for (unsigned p = 0; p < BENCH_SIM_MAX_PHASES; p++)
    for (int c = 0; c < CLASS_COUNT; c++)
      {
        bench_sort (report->results[p][c].wait_us);
        bench_sort (report->results[p][c].response_us);
      }
  g_array_unref (sim->events);
  g_array_unref (sim->requests);
  g_array_unref (sim->free_ids);
  g_rand_free (sim->random);
  g_free (sim);
  return report;
}

void
bench_report_free (bench_report_t *report)
{
  for (unsigned p = 0; p < BENCH_SIM_MAX_PHASES; p++)
    for (int c = 0; c < CLASS_COUNT; c++)
      {
        g_array_unref (report->results[p][c].wait_us);
        g_array_unref (report->results[p][c].response_us);
      }
  g_free (report);
}
