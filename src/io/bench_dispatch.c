#include "bench.h"
#include "bench_sim.h"
#include "error.h"
#include "loop.h"
#include "options.h"

#include <jansson.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define SLOTS_PER_PROCESS 8
/* Fraction of the slots in use while decisions with a free slot are timed.  */
#define BUSY_FRACTION 0.7
#define QUEUED_REQUESTS 1000
#define TEAM_COUNT 50
#define SERVICE "bench"

typedef struct
{
  int64_t seed;
  char *only;
  int64_t decisions;
  int64_t processes;
  int64_t entries;
  double run_ms;
  int64_t hop_us;
  double flood;
  int64_t phase_ms;
  int64_t settle_ms;
  int64_t deadline_ms;
} settings_t;

#define FIELD(name) offsetof (settings_t, name)

static const option_t options[] = {
  BENCH_SEED_OPTION (FIELD (seed)),
  { .name = "only",
    .kind = OPTION_CHOICE,
    .offset = FIELD (only),
    .default_text = "all",
    .choices = "all|decision|flood|skew",
    .help = "which measurement to run" },
  { .name = "decisions",
    .kind = OPTION_INTEGER,
    .offset = FIELD (decisions),
    .default_text = "200000",
    .min = 1000,
    .max = 10000000,
    .help = "timed decisions for each size" },
  { .name = "processes",
    .kind = OPTION_INTEGER,
    .offset = FIELD (processes),
    .default_text = "48",
    .min = 1,
    .max = 10000,
    .help = "backend server processes of the flood and skew runs" },
  { .name = "entries",
    .kind = OPTION_INTEGER,
    .offset = FIELD (entries),
    .default_text = "3",
    .min = 2,
    .max = BENCH_SIM_MAX_ENTRIES,
    .help = "entries of the zone in the skew runs" },
  { .name = "run-ms",
    .kind = OPTION_REAL,
    .offset = FIELD (run_ms),
    .default_text = "20",
    .min = 1,
    .max = 1000,
    .help = "mean time of a request at a backend server" },
  { .name = "hop-us",
    .kind = OPTION_INTEGER,
    .offset = FIELD (hop_us),
    .default_text = "250",
    .min = 0,
    .max = 100000,
    .help = "one-way latency between two entries of a zone" },
  { .name = "flood",
    .kind = OPTION_REAL,
    .offset = FIELD (flood),
    .default_text = "10",
    .min = 1,
    .max = 100,
    .help = "offered load of a flood as a multiple of the capacity" },
  { .name = "phase-ms",
    .kind = OPTION_INTEGER,
    .offset = FIELD (phase_ms),
    .default_text = "6000",
    .min = 1000,
    .max = 600000,
    .help = "simulated length of each phase" },
  { .name = "settle-ms",
    .kind = OPTION_INTEGER,
    .offset = FIELD (settle_ms),
    .default_text = "1000",
    .min = 0,
    .max = 60000,
    .help = "first part of each phase, left out of the results" },
  { .name = "deadline-ms",
    .kind = OPTION_INTEGER,
    .offset = FIELD (deadline_ms),
    .default_text = "10000",
    .min = 100,
    .max = 60000,
    .help = "deadline of the simulated requests" },
  { .name = NULL },
};

/* Decision: time of the submission and of the end of a request.  */

typedef struct
{
  GArray *ids; /* uint64_t; each request is at attempt 1 */
} in_flight_t;

static void
record_send (void *context, uint64_t id, uint32_t attempt, const char *backend,
             const char *url, bool new_connection)
{
  in_flight_t *in_flight = context;
  g_array_append_val (in_flight->ids, id);
}

static void
ignore_refusal (void *context, uint64_t id, err_kind_t kind, outcome_t outcome,
                int64_t retry_after_ms, const char *detail)
{
}

static const dispatch_actions_t decision_actions
    = { .send = record_send, .refuse = ignore_refusal };

static void
submit_request (dispatch_t *dispatch, uint64_t id, const char *const *teams)
{
  dispatch_request_t request
      = { .id = id,
          .service = SERVICE,
          .team = teams[id % TEAM_COUNT],
          .class = (class_t)(id % CLASS_COUNT),
          .idempotent = true,
          .replayable = true,
          .deadline_ms = clk_now_ms (loop_clock ()) + 60000 };
  dispatch_submit (dispatch, &request);
}

static void
end_random_request (dispatch_t *dispatch, in_flight_t *in_flight,
                    GRand *random)
{
  guint count = in_flight->ids->len;
  guint at = g_rand_int (random) % count;
  uint64_t id = g_array_index (in_flight->ids, uint64_t, at);
  g_array_remove_index_fast (in_flight->ids, at);
  dispatch_attempt_ended (dispatch, id, 1, ERR_OK, 200, OUTCOME_RAN);
}

/* Times the submission and the end of settings->decisions requests at
   PROCESSES backend server processes.  QUEUED requests stay queued; with 0
   every submission finds a free slot.  */
static json_t *
time_decisions (const settings_t *settings, uint32_t processes,
                uint32_t queued)
{
  in_flight_t in_flight = { g_array_new (FALSE, FALSE, sizeof (uint64_t)) };
  counter_registry_t *registry = counter_registry_new ();
  dispatch_t *dispatch
      = dispatch_new ("bench@1", "zone", &decision_actions, &in_flight,
                      loop_clock (), registry, (uint32_t)settings->seed);
  GRand *random = g_rand_new_with_seed ((uint32_t)settings->seed);
  for (uint32_t p = 0; p < processes; p++)
    {
      char *id = g_strdup_printf ("p%u", p);
      dispatch_backend_t backend
          = { id,    SERVICE,           "zone", "http://127.0.0.1",
              false, SLOTS_PER_PROCESS, 64,     1 };
      dispatch_backend_set (dispatch, &backend);
      g_free (id);
    }
  char *teams[TEAM_COUNT];
  for (unsigned i = 0; i < TEAM_COUNT; i++)
    teams[i] = g_strdup_printf ("team-%u", i);
  uint64_t id = 1;
  uint32_t slots = processes * SLOTS_PER_PROCESS;
  uint32_t initial_requests
      = queued > 0 ? slots + queued : (uint32_t)(slots * BUSY_FRACTION);
  while (id <= initial_requests)
    submit_request (dispatch, id++, (const char *const *)teams);
  GArray *submits = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  for (int64_t i = 0; i < settings->decisions; i++)
    {
      int64_t start_ns = clk_now_ns (loop_clock ());
      submit_request (dispatch, id++, (const char *const *)teams);
      int64_t submitted_ns = clk_now_ns (loop_clock ());
      end_random_request (dispatch, &in_flight, random);
      uint32_t end_ns = (uint32_t)(clk_now_ns (loop_clock ()) - submitted_ns);
      uint32_t submit_ns = (uint32_t)(submitted_ns - start_ns);
      g_array_append_val (submits, submit_ns);
      g_array_append_val (ends, end_ns);
    }
  bench_sort (submits);
  bench_sort (ends);
  json_t *row
      = json_pack ("{s:I, s:I, s:I, s:I, s:I, s:I, s:I}", "processes",
                   (json_int_t)processes, "waiting", (json_int_t)queued,
                   "submit_p50_ns", (json_int_t)bench_quantile (submits, 0.5),
                   "submit_p99_ns", (json_int_t)bench_quantile (submits, 0.99),
                   "end_p50_ns", (json_int_t)bench_quantile (ends, 0.5),
                   "end_p99_ns", (json_int_t)bench_quantile (ends, 0.99),
                   "submit_max_ns", (json_int_t)bench_quantile (submits, 1.0));
  printf ("%9u %8u %10u %10u %10u %10u\n", processes, queued,
          bench_quantile (submits, 0.5), bench_quantile (submits, 0.99),
          bench_quantile (ends, 0.5), bench_quantile (ends, 0.99));
  for (unsigned i = 0; i < TEAM_COUNT; i++)
    g_free (teams[i]);
  g_array_unref (submits);
  g_array_unref (ends);
  g_array_unref (in_flight.ids);
  g_rand_free (random);
  dispatch_free (dispatch);
  counter_registry_free (registry);
  return row;
}

static json_t *
measure_decisions (const settings_t *settings)
{
  static const uint32_t process_counts[] = { 48, 480, 1900, 9200 };
  json_t *rows = json_array ();
  puts ("decision time (ns)\nprocesses  waiting submit-p50 submit-p99 "
        "   end-p50    end-p99");
  for (unsigned queued = 0; queued < 2; queued++)
    for (unsigned i = 0; i < G_N_ELEMENTS (process_counts); i++)
      json_array_append_new (rows, time_decisions (settings, process_counts[i],
                                                   queued * QUEUED_REQUESTS));
  return rows;
}

/* Flood: one class offers a multiple of the capacity.  */

static const char *const class_names[CLASS_COUNT]
    = { "urgent", "standard", "bulk" };

static double
capacity_per_s (const settings_t *settings)
{
  return (double)settings->processes * SLOTS_PER_PROCESS * 1000.0
         / settings->run_ms;
}

/* Prints the results of CLASS in PHASE as a table row; returns them too.  */
static json_t *
report_class (const bench_scenario_t *scenario, const bench_report_t *report,
              unsigned phase, int class)
{
  const bench_result_t *result = &report->results[phase][class];
  double seconds
      = (double)(scenario->phases[phase].length_ms - scenario->settle_ms)
        / 1000.0;
  double offered = (double)result->offered / seconds;
  double completed = (double)result->completed / seconds;
  uint32_t wait_p50 = bench_quantile (result->wait_us, 0.5);
  uint32_t wait_p99 = bench_quantile (result->wait_us, 0.99);
  uint32_t response_p99 = bench_quantile (result->response_us, 0.99);
  printf ("%-8s %-14s %-9s %9.0f %9.0f %9.2f %9.2f %9.2f\n", scenario->policy,
          scenario->phases[phase].name, class_names[class], offered, completed,
          wait_p50 / 1000.0, wait_p99 / 1000.0, response_p99 / 1000.0);
  return json_pack ("{s:s, s:s, s:s, s:f, s:f, s:I, s:I, s:I, s:I}", "policy",
                    scenario->policy, "phase", scenario->phases[phase].name,
                    "class", class_names[class], "offered_per_s", offered,
                    "completed_per_s", completed, "wait_p50_us",
                    (json_int_t)wait_p50, "wait_p99_us", (json_int_t)wait_p99,
                    "response_p99_us", (json_int_t)response_p99, "refused",
                    (json_int_t)result->refused);
}

static json_t *
measure_floods (const settings_t *settings)
{
  static const char *const policies[] = { "fair", "fifo", "strict" };
  /* Offered load outside the floods, as fractions of the capacity.  */
  static const double base_load[CLASS_COUNT] = { 0.30, 0.25, 0.10 };
  double capacity = capacity_per_s (settings);
  json_t *rows = json_array ();
  puts ("\nflood (requests/s, ms)\npolicy   phase          class       offered"
        " completed  wait-p50  wait-p99  resp-p99");
  for (unsigned i = 0; i < G_N_ELEMENTS (policies); i++)
    {
      bench_scenario_t scenario
          = { .seed = (uint32_t)settings->seed,
              .policy = policies[i],
              .shares = BENCH_SHARES_FIXED,
              .entry_count = 1,
              .process_count = (uint32_t)settings->processes,
              .slots_per_process = SLOTS_PER_PROCESS,
              .mean_run_ms = settings->run_ms,
              .deadline_ms = settings->deadline_ms,
              .settle_ms = settings->settle_ms,
              .phase_count = 4 };
      static const char *const names[]
          = { "calm", "bulk-flood", "calm-again", "urgent-flood" };
      for (unsigned p = 0; p < scenario.phase_count; p++)
        {
          scenario.phases[p].name = names[p];
          scenario.phases[p].length_ms = settings->phase_ms;
          for (int c = 0; c < CLASS_COUNT; c++)
            scenario.phases[p].rate_per_s[0][c] = base_load[c] * capacity;
        }
      scenario.phases[1].rate_per_s[0][CLASS_BULK]
          = settings->flood * capacity;
      scenario.phases[3].rate_per_s[0][CLASS_URGENT]
          = settings->flood * capacity;
      bench_report_t *report = bench_sim_run (&scenario);
      for (unsigned p = 0; p < scenario.phase_count; p++)
        for (int c = 0; c < CLASS_COUNT; c++)
          json_array_append_new (rows, report_class (&scenario, report, p, c));
      bench_report_free (report);
    }
  return rows;
}

/* Skew: all callers on one entry.  */

static json_t *
report_skew (const bench_scenario_t *scenario, const bench_report_t *report,
             const char *shares, unsigned phase, class_t class,
             double capacity)
{
  const bench_result_t *result = &report->results[phase][class];
  double seconds
      = (double)(scenario->phases[phase].length_ms - scenario->settle_ms)
        / 1000.0;
  double completed = (double)result->completed / seconds;
  double used = completed / capacity;
  double messages = result->offered > 0
                        ? (double)report->messages[phase] * 1000.0
                              / (double)result->offered
                        : 0.0;
  /* In measure_skew the callers of the other entries have the class urgent,
     all the rest standard.  */
  const char *callers = class == CLASS_URGENT ? "others" : "most";
  printf (
      "%-12s %-12s %-7s %9.0f %9.0f %8.3f %9.2f %9.2f %9.2f %9" G_GINT64_FORMAT
      "\n",
      shares, scenario->phases[phase].name, callers,
      (double)result->offered / seconds, completed, used,
      bench_quantile (result->wait_us, 0.5) / 1000.0,
      bench_quantile (result->wait_us, 0.99) / 1000.0, messages,
      report->full_after_ms[phase]);
  return json_pack (
      "{s:s, s:s, s:s, s:f, s:f, s:I, s:I, s:I, s:I, s:I}", "shares", shares,
      "phase", scenario->phases[phase].name, "callers", callers,
      "completed_per_s", completed, "of_capacity", used, "wait_p50_us",
      (json_int_t)bench_quantile (result->wait_us, 0.5), "wait_p99_us",
      (json_int_t)bench_quantile (result->wait_us, 0.99), "messages",
      (json_int_t)report->messages[phase], "refused",
      (json_int_t)result->refused, "full_after_ms",
      (json_int_t)report->full_after_ms[phase]);
}

static json_t *
measure_skew (const settings_t *settings)
{
  static const char *const names[BENCH_SHARES_COUNT]
      = { "escrow", "fixed", "responsible" };
  static const struct
  {
    const char *name;
    double load; /* fraction of the capacity */
    bool skewed;
    /* Urgent load at each of the other entries, fraction of the capacity.  */
    double others;
  } phases[] = {
    { "even-90%", 0.9, false, 0.0 },
    { "skew-90%", 0.9, true, 0.0 },
    { "even-again", 0.9, false, 0.0 },
    { "skew-30%", 0.3, true, 0.0 },
    { "even-120%", 1.2, false, 0.0 },
    { "skew-120%", 1.2, true, 0.0 },
    /* What an overload at one entry does to the few callers of the others.  */
    { "neighbour", 1.2, true, 0.02 },
  };
  double capacity = capacity_per_s (settings);
  json_t *rows = json_array ();
  puts ("\nall callers on one entry (requests/s, ms; messages for 1000 "
        "requests)\nshares       phase        callers   offered completed  "
        "of-all"
        "  wait-p50  wait-p99  messages full-after");
  for (unsigned s = 0; s < BENCH_SHARES_COUNT; s++)
    {
      bench_scenario_t scenario
          = { .seed = (uint32_t)settings->seed,
              .policy = "fair",
              .shares = (bench_shares_t)s,
              .entry_count = (uint32_t)settings->entries,
              .process_count = (uint32_t)settings->processes,
              .slots_per_process = SLOTS_PER_PROCESS,
              .mean_run_ms = settings->run_ms,
              .hop_us = settings->hop_us,
              .deadline_ms = settings->deadline_ms,
              .settle_ms = settings->settle_ms,
              .phase_count = G_N_ELEMENTS (phases) };
      for (unsigned p = 0; p < scenario.phase_count; p++)
        {
          double load = phases[p].load * capacity;
          scenario.phases[p].name = phases[p].name;
          scenario.phases[p].length_ms = settings->phase_ms;
          for (uint32_t e = 0; e < scenario.entry_count; e++)
            {
              double rate_per_s = e == 0 ? load : 0.0;
              if (!phases[p].skewed)
                rate_per_s = load / scenario.entry_count;
              scenario.phases[p].rate_per_s[e][CLASS_STANDARD] = rate_per_s;
              if (e > 0)
                scenario.phases[p].rate_per_s[e][CLASS_URGENT]
                    = phases[p].others * capacity;
            }
        }
      bench_report_t *report = bench_sim_run (&scenario);
      for (unsigned p = 0; p < scenario.phase_count; p++)
        {
          json_array_append_new (rows,
                                 report_skew (&scenario, report, names[s], p,
                                              CLASS_STANDARD, capacity));
          if (phases[p].others > 0.0)
            json_array_append_new (rows,
                                   report_skew (&scenario, report, names[s], p,
                                                CLASS_URGENT, capacity));
        }
      bench_report_free (report);
    }
  return rows;
}

int
bench_dispatch_run (int argc, char **argv)
{
  settings_t settings = { 0 };
  if (!options_parse (options, &settings,
                      "measure the request side of the core, without sockets",
                      argc, argv, NULL))
    return err_info (ERR_USAGE)->exit_code;
  bool all = strcmp (settings.only, "all") == 0;
  json_t *result = json_pack ("{s:I}", "seed", (json_int_t)settings.seed);
  if (all || strcmp (settings.only, "decision") == 0)
    json_object_set_new (result, "decision", measure_decisions (&settings));
  if (all || strcmp (settings.only, "flood") == 0)
    json_object_set_new (result, "flood", measure_floods (&settings));
  if (all || strcmp (settings.only, "skew") == 0)
    json_object_set_new (result, "skew", measure_skew (&settings));
  char *text = json_dumps (result, JSON_COMPACT | JSON_REAL_PRECISION (6));
  printf ("\n%s\n", text);
  free (text);
  json_decref (result);
  options_clear (options, &settings);
  return 0;
}
