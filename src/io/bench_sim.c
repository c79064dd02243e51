#include "bench_sim.h"

#include <math.h>
#include <string.h>

#define TICK_US 10000
#define HEARTBEAT_US 1000000
#define US_PER_MS 1000
#define US_PER_S 1000000.0
#define SERVICE "bench"
#define ZONE "zone"

typedef enum
{
  EVENT_ARRIVAL,
  EVENT_SUBMIT, /* after the hop to the responsible entry */
  EVENT_RUN_ENDS,
  EVENT_TICK,
  EVENT_HEARTBEAT,
  EVENT_LEDGER,
  EVENT_WANT
} event_kind_t;

typedef struct
{
  int64_t at_us;
  uint64_t order;
  event_kind_t kind;
  uint32_t entry;
  uint32_t from;
  uint32_t class;
  uint64_t id;
  uint32_t attempt;
  uint32_t count;
  GArray *given; /* dispatch_given_t whose names are interned */
} event_t;

typedef struct
{
  int64_t arrived_us;
  int64_t sent_us;
  uint8_t class;
  uint8_t phase;
  bool counted;
} record_t;

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
  const bench_sim_t *set;
  bench_report_t *report;
  clk_fake_t clock;
  GRand *random;
  GArray *heap; /* event_t */
  uint64_t order;
  int64_t now_us;
  int64_t phase_start_us;
  uint32_t phase;
  uint32_t in_use;
  entry_t entries[BENCH_SIM_ENTRIES];
  GArray *records; /* record_t by id */
  GArray *free_ids;
};

static bool
before (const event_t *a, const event_t *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->order < b->order;
}

static void
schedule (sim_t *sim, event_t event, int64_t delay_us)
{
  event.at_us = sim->now_us + delay_us;
  event.order = sim->order++;
  g_array_append_val (sim->heap, event);
  event_t *heap = (event_t *)(void *)sim->heap->data;
  guint at = sim->heap->len - 1;
  for (; at > 0 && before (&event, &heap[(at - 1) / 2]); at = (at - 1) / 2)
    heap[at] = heap[(at - 1) / 2];
  heap[at] = event;
}

static event_t
take_event (sim_t *sim)
{
  event_t *heap = (event_t *)(void *)sim->heap->data;
  event_t first = heap[0];
  guint count = sim->heap->len - 1;
  event_t last = heap[count];
  g_array_set_size (sim->heap, count);
  guint at = 0;
  for (guint child = 1; child < count; child = 2 * at + 1)
    {
      if (child + 1 < count && before (&heap[child + 1], &heap[child]))
        child++;
      if (before (&last, &heap[child]))
        break;
      heap[at] = heap[child];
      at = child;
    }
  if (count > 0)
    heap[at] = last;
  return first;
}

static int64_t
exponential_us (sim_t *sim, double mean_us)
{
  return (int64_t)(-log (1.0 - g_rand_double (sim->random)) * mean_us);
}

static record_t *
record_of (const sim_t *sim, uint64_t id)
{
  return &g_array_index (sim->records, record_t, id);
}

static bool
is_counted (const sim_t *sim)
{
  return sim->now_us - sim->phase_start_us >= sim->set->settle_ms * US_PER_MS;
}

static uint64_t
new_record (sim_t *sim, uint32_t class)
{
  record_t record = { .arrived_us = sim->now_us,
                      .class = (uint8_t) class,
                      .phase = (uint8_t)sim->phase };
  record.counted
      = sim->now_us - sim->phase_start_us >= sim->set->settle_ms * US_PER_MS;
  uint64_t id = sim->records->len;
  if (sim->free_ids->len > 0)
    {
      id = g_array_index (sim->free_ids, uint64_t, sim->free_ids->len - 1);
      g_array_set_size (sim->free_ids, sim->free_ids->len - 1);
      *record_of (sim, id) = record;
    }
  else
    g_array_append_val (sim->records, record);
  return id;
}

static bench_result_t *
result_of (const sim_t *sim, const record_t *record)
{
  return &sim->report->classes[record->phase][record->class];
}

static void
act_send (void *context, uint64_t id, uint32_t attempt, const char *backend,
          const char *url, bool fresh)
{
  const entry_t *entry = context;
  sim_t *sim = entry->sim;
  record_of (sim, id)->sent_us = sim->now_us;
  event_t ends = {
    .kind = EVENT_RUN_ENDS, .entry = entry->index, .id = id, .attempt = attempt
  };
  uint32_t total = sim->set->processes * sim->set->limit;
  if (++sim->in_use >= total * 95 / 100
      && sim->report->full_after_ms[sim->phase] < 0)
    sim->report->full_after_ms[sim->phase]
        = (sim->now_us - sim->phase_start_us) / US_PER_MS;
  schedule (sim, ends, exponential_us (sim, sim->set->run_ms * US_PER_MS));
}

static void
act_refuse (void *context, uint64_t id, err_kind_t kind, outcome_t outcome,
            int64_t retry_after_ms, const char *detail)
{
  sim_t *sim = ((const entry_t *)context)->sim;
  const record_t *record = record_of (sim, id);
  if (record->counted)
    result_of (sim, record)->refused++;
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
post (const entry_t *from, const char *to, event_t event)
{
  sim_t *sim = from->sim;
  event.from = from->index;
  event.entry = (uint32_t)g_ascii_strtoull (to + 1, NULL, 10);
  sim->report->messages[sim->phase]++;
  schedule (sim, event, sim->set->hop_us);
}

static void
act_send_ledger (void *context, const char *to, const dispatch_given_t *given,
                 uint32_t count)
{
  event_t event = { .kind = EVENT_LEDGER };
  event.given = g_array_new (FALSE, FALSE, sizeof (dispatch_given_t));
  for (uint32_t i = 0; i < count; i++)
    {
      dispatch_given_t item = given[i];
      item.backend = g_intern_string (item.backend);
      g_array_append_val (event.given, item);
    }
  post (context, to, event);
}

static void
act_want_slots (void *context, const char *to, const char *service,
                uint32_t count)
{
  event_t event = { .kind = EVENT_WANT, .count = count };
  post (context, to, event);
}

static void
act_closing_request (void *context, const char *entry,
                     const char *const *members, uint32_t count)
{
}

static void
act_closing_statement (void *context, const char *entry,
                       const char *const *members, uint32_t count,
                       const dispatch_closing_t *items, uint32_t item_count)
{
}

static const dispatch_actions_t actions = {
  act_send,        act_hand_over,  act_refuse,          act_probe,
  act_send_ledger, act_want_slots, act_closing_request, act_closing_statement
};

/* Returns the row in which each entry has its part of every process.  */
static json_t *
make_row (const bench_sim_t *set)
{
  json_t *limits = json_object (), *members = json_object ();
  for (uint32_t e = 0; e < set->entries; e++)
    {
      json_t *bases = json_object ();
      for (uint32_t p = 0; p < set->processes; p++)
        {
          /* The remainders go round, so that the parts are even in sum.  */
          uint32_t part
              = set->limit / set->entries
                + ((e + p) % set->entries < set->limit % set->entries);
          if (set->shares == BENCH_SHARES_RESPONSIBLE)
            part = e == set->entries - 1 ? set->limit : 0;
          char *key = g_strdup_printf ("p%u@1", p);
          if (part > 0)
            json_object_set_new (bases, key, json_integer (part));
          json_object_set_new (limits, key, json_integer (set->limit));
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
  const bench_sim_t *set = sim->set;
  entry_t *entry = &sim->entries[index];
  entry->sim = sim;
  entry->index = index;
  entry->name = g_strdup_printf ("e%u@1", index);
  entry->registry = counter_registry_new ();
  entry->dispatch
      = dispatch_new (entry->name, ZONE, &actions, entry, &sim->clock.base,
                      entry->registry, set->seed + index);
  dispatch_policy_t policy = { .policy = set->policy };
  dispatch_service_set (entry->dispatch, SERVICE, &policy);
  for (uint32_t p = 0; p < set->processes; p++)
    {
      char *id = g_strdup_printf ("p%u", p);
      dispatch_backend_t backend = {
        id, SERVICE, ZONE, "http://127.0.0.1", false, set->limit, 64, 1
      };
      dispatch_backend_set (entry->dispatch, &backend);
      g_free (id);
    }
  dispatch_shares_load (entry->dispatch, 1, row);
  event_t event = { .kind = EVENT_TICK, .entry = index };
  schedule (sim, event, (int64_t)index * 1000);
  event.kind = EVENT_HEARTBEAT;
  schedule (sim, event, (int64_t)index * 2000);
}

static void
connect_entries (sim_t *sim)
{
  for (uint32_t a = 0; a < sim->set->entries; a++)
    for (uint32_t b = 0; b < sim->set->entries; b++)
      if (a != b && sim->set->shares == BENCH_SHARES_ESCROW)
        dispatch_peer_up (sim->entries[a].dispatch, sim->entries[b].name,
                          ZONE);
}

static void
heartbeat (sim_t *sim, const entry_t *entry)
{
  uint32_t free_slots = 0, queued = 0;
  dispatch_load (entry->dispatch, SERVICE, &free_slots, &queued);
  for (uint32_t i = 0; i < sim->set->entries; i++)
    if (i != entry->index)
      dispatch_peer_load (sim->entries[i].dispatch, entry->name, SERVICE,
                          free_slots, queued);
  event_t again = { .kind = EVENT_HEARTBEAT, .entry = entry->index };
  schedule (sim, again, HEARTBEAT_US);
}

static void
submit (sim_t *sim, const entry_t *entry, uint64_t id)
{
  const record_t *record = record_of (sim, id);
  dispatch_request_t request = { .id = id,
                                 .service = SERVICE,
                                 .team = "bench",
                                 .class = (class_t)record->class,
                                 .idempotent = true,
                                 .replayable = true,
                                 .deadline_ms = record->arrived_us / US_PER_MS
                                                + sim->set->deadline_ms };
  dispatch_submit (entry->dispatch, &request);
}

/* The next arrival of a class at an entry; the rate of a phase holds until its
   end, so the times are drawn anew there.  */
static void
schedule_arrival (sim_t *sim, uint32_t entry, uint32_t class)
{
  double rate = sim->set->phases[sim->phase].rate[entry][class];
  if (rate <= 0.0)
    return;
  event_t event = {
    .kind = EVENT_ARRIVAL, .entry = entry, .class = class, .count = sim->phase
  };
  schedule (sim, event, exponential_us (sim, US_PER_S / rate));
}

static void
run_arrival (sim_t *sim, const event_t *event)
{
  if (event->count != sim->phase)
    return;
  schedule_arrival (sim, event->entry, event->class);
  uint64_t id = new_record (sim, event->class);
  if (record_of (sim, id)->counted)
    result_of (sim, record_of (sim, id))->offered++;
  uint32_t last = sim->set->entries - 1;
  if (sim->set->shares == BENCH_SHARES_RESPONSIBLE && event->entry != last)
    {
      event_t hop = { .kind = EVENT_SUBMIT, .entry = last, .id = id };
      /* One message there and one with the answer.  */
      sim->report->messages[sim->phase] += 2;
      schedule (sim, hop, sim->set->hop_us);
      return;
    }
  submit (sim, &sim->entries[event->entry], id);
}

static void
run_end (sim_t *sim, const entry_t *entry, const event_t *event)
{
  const record_t record = *record_of (sim, event->id);
  sim->in_use--;
  if (is_counted (sim))
    sim->report->classes[sim->phase][record.class].completed++;
  if (record.counted)
    {
      bench_result_t *result = result_of (sim, &record);
      int64_t back_us = sim->set->shares == BENCH_SHARES_RESPONSIBLE
                            ? sim->set->hop_us
                            : 0;
      uint32_t wait_us = (uint32_t)(record.sent_us - record.arrived_us);
      uint32_t response_us
          = (uint32_t)(sim->now_us + back_us - record.arrived_us);
      g_array_append_val (result->wait_us, wait_us);
      g_array_append_val (result->response_us, response_us);
    }
  dispatch_attempt_ended (entry->dispatch, event->id, event->attempt, ERR_OK,
                          200, OUTCOME_RAN);
  g_array_append_val (sim->free_ids, event->id);
}

static void
run_event (sim_t *sim, event_t *event)
{
  const entry_t *entry = &sim->entries[event->entry];
  event_t again = { .kind = event->kind, .entry = event->entry };
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      run_arrival (sim, event);
      break;
    case EVENT_SUBMIT:
      submit (sim, entry, event->id);
      break;
    case EVENT_RUN_ENDS:
      run_end (sim, entry, event);
      break;
    case EVENT_TICK:
      dispatch_tick (entry->dispatch);
      schedule (sim, again, TICK_US);
      break;
    case EVENT_HEARTBEAT:
      heartbeat (sim, entry);
      break;
    case EVENT_LEDGER:
      dispatch_peer_ledger (entry->dispatch, sim->entries[event->from].name,
                            (dispatch_given_t *)(void *)event->given->data,
                            event->given->len);
      g_array_unref (event->given);
      break;
    case EVENT_WANT:
      dispatch_peer_wants (entry->dispatch, sim->entries[event->from].name,
                           SERVICE, event->count);
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
      = sim->now_us + sim->set->phases[sim->phase].length_ms * US_PER_MS;
  for (uint32_t e = 0; e < sim->set->entries; e++)
    for (uint32_t c = 0; c < CLASS_COUNT; c++)
      schedule_arrival (sim, e, c);
  while (sim->heap->len > 0
         && g_array_index (sim->heap, event_t, 0).at_us < end_us)
    {
      event_t event = take_event (sim);
      set_now (sim, event.at_us);
      run_event (sim, &event);
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
  /* Four passes leave the result in the array.  */
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
bench_sim_run (const bench_sim_t *set)
{
  sim_t *sim = g_new0 (sim_t, 1);
  sim->set = set;
  sim->report = g_new0 (bench_report_t, 1);
  sim->random = g_rand_new_with_seed (set->seed);
  sim->heap = g_array_new (FALSE, FALSE, sizeof (event_t));
  sim->records = g_array_new (FALSE, FALSE, sizeof (record_t));
  sim->free_ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (unsigned p = 0; p < BENCH_SIM_PHASES; p++)
    {
      sim->report->full_after_ms[p] = -1;
      for (int c = 0; c < CLASS_COUNT; c++)
        {
          bench_result_t *result = &sim->report->classes[p][c];
          result->wait_us = g_array_new (FALSE, FALSE, sizeof (uint32_t));
          result->response_us = g_array_new (FALSE, FALSE, sizeof (uint32_t));
        }
    }
  clk_fake_init (&sim->clock, 0);
  set_now (sim, 1000000);
  json_t *row = make_row (set);
  for (uint32_t e = 0; e < set->entries; e++)
    start_entry (sim, e, row);
  json_decref (row);
  connect_entries (sim);
  for (sim->phase = 0; sim->phase < set->phase_count; sim->phase++)
    run_phase (sim);
  for (uint32_t e = 0; e < set->entries; e++)
    {
      dispatch_free (sim->entries[e].dispatch);
      counter_registry_free (sim->entries[e].registry);
      g_free (sim->entries[e].name);
    }
  for (guint i = 0; i < sim->heap->len; i++)
    if (g_array_index (sim->heap, event_t, i).kind == EVENT_LEDGER)
      g_array_unref (g_array_index (sim->heap, event_t, i).given);
  bench_report_t *report = sim->report;
  for (unsigned p = 0; p < BENCH_SIM_PHASES; p++)
    for (int c = 0; c < CLASS_COUNT; c++)
      {
        bench_sort (report->classes[p][c].wait_us);
        bench_sort (report->classes[p][c].response_us);
      }
  g_array_unref (sim->heap);
  g_array_unref (sim->records);
  g_array_unref (sim->free_ids);
  g_rand_free (sim->random);
  g_free (sim);
  return report;
}

void
bench_report_free (bench_report_t *report)
{
  for (unsigned p = 0; p < BENCH_SIM_PHASES; p++)
    for (int c = 0; c < CLASS_COUNT; c++)
      {
        g_array_unref (report->classes[p][c].wait_us);
        g_array_unref (report->classes[p][c].response_us);
      }
  g_free (report);
}
