#include "bench.h"
#include "bench_zone.h"
#include "bench_pack.h"
#include "sched_internal.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

typedef struct
{
  int64_t seed;
  char *only;
  int64_t runs;
  bool json;
} settings_t;

#define MAX_RUNS 100
/* Limit of row writes of one entry, and one that is never reached.  */
#define ROWS_PER_S 400
#define UNLIMITED_ROWS_PER_S 100000
/* The stored state that measure_state loads.  */
#define STATE_WORKERS 1900
#define STATE_JOBS 500
#define STATE_TASKS_PER_JOB 92 /* also in the JSON text of fill_store */
/* One of ZONE_COUNT zones that share 1,900 workers.  */
#define ZONE_COUNT 8
#define ZONE_WORKERS 238
/* 960 cores.  */
#define FLOOD_WORKERS 60
/* Simulated time of a run with steady load; results begin, or the flood
   arrives, after the warm-up.  */
#define LOAD_S 180
#define LOAD_WARM_UP_S 60
/* Urgent jobs whose start is timed.  */
#define PROBE_COUNT 60
#define NOT_STARTED_MS 1e9
#define CANCEL_COUNT 10000
#define FIELD(name) offsetof (settings_t, name)

static const option_t options[] = {
  BENCH_SEED_OPTION (FIELD (seed)),
  { .name = "only",
    .kind = OPTION_CHOICE,
    .offset = FIELD (only),
    .default_text = "all",
    .choices = "all|pass|pack|state|writes|cancel|flood|urgent",
    .help = "which measurement to run" },
  { .name = "runs",
    .kind = OPTION_INTEGER,
    .offset = FIELD (runs),
    .default_text = "5",
    .min = 1,
    .max = MAX_RUNS,
    .help = "repetitions with seeds SEED, SEED+1, ..." },
  { .name = "json",
    .kind = OPTION_FLAG,
    .offset = FIELD (json),
    .help = "print JSON instead of tables" },
  { .name = NULL },
};

static const resource_t plain_worker = { 16000, 65536, 0 };
static const resource_t accelerator_worker = { 32000, 65536, 8 };

static double
now_us (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static int
compare_doubles (const void *a, const void *b)
{
  double first = *(const double *)a;
  double second = *(const double *)b;
  return (first > second) - (first < second);
}

static double
median (double *values, size_t count)
{
  qsort (values, count, sizeof *values, compare_doubles);
  return values[count / 2];
}

/* Returns a zone of WORKERS workers, three quarters without accelerators, on
   each of which 0 to 16 cores and 0 to 32 GiB are in use.  */
static bench_zone_t *
new_partly_used_zone (uint32_t workers, uint32_t seed)
{
  bench_zone_t *zone = bench_zone_new (NULL, UNLIMITED_ROWS_PER_S, seed);
  bench_zone_add_workers (zone, workers * 3 / 4, 4, plain_worker);
  bench_zone_add_workers (zone, workers - workers * 3 / 4, 3,
                          accelerator_worker);
  bench_zone_run (zone, 200);
  GRand *random = g_rand_new_with_seed (seed);
  for (guint i = 0; i < zone->sched->workers->len; i++)
    {
      resource_t used = { g_rand_int_range (random, 0, 17) * 1000,
                          g_rand_int_range (random, 0, 33) * 1024, 0 };
      fleet_allocate (&zone->sched->fleet, i, used);
    }
  g_rand_free (random);
  return zone;
}

/* Returns the time of one planning pass over waiting jobs: one of 512 tasks
   that start all at once if GANG, else 50 of 20 tasks.  *TASK_COUNT receives
   the number of tasks planned.  The plan is dropped.  */
static double
pass_us (uint32_t workers, bool gang, uint32_t seed, uint32_t *task_count)
{
  bench_zone_t *zone = new_partly_used_zone (workers, seed);
  GRand *random = g_rand_new_with_seed (seed);
  sched_t *s = zone->sched;
  for (uint32_t i = 0; i < (gang ? 1u : 50u); i++)
    {
      char id[16], team[16];
      g_snprintf (id, sizeof id, "job%u", i);
      g_snprintf (team, sizeof team, "team%u", i);
      resource_t size = { 250 * g_rand_int_range (random, 1, 9),
                          256 * g_rand_int_range (random, 1, 17), 0 };
      if (gang)
        size = (resource_t){ 1000, 2048, 0 };
      bench_zone_submit (zone, id, gang ? "all-at-once" : "batch", "standard",
                         team, gang ? 512 : 20, size, 60000);
    }
  /* The jobs become known in these ticks, which must not plan them yet.  */
  for (int i = 0; i < 20; i++)
    {
      s->plan_retry_ms = INT64_MAX;
      bench_zone_run (zone, 50);
    }
  double begin_us = now_us ();
  *task_count = plan_starts (s, UINT32_MAX, UINT32_MAX);
  double took_us = now_us () - begin_us;
  ops_undo (s, &s->plan_txn);
  g_rand_free (random);
  bench_zone_free (zone);
  return took_us;
}

static json_t *
measure_pass (const settings_t *settings)
{
  static const uint32_t worker_counts[] = { 190, 475, 950, 1900, 3800 };
  json_t *list = json_array ();
  if (!settings->json)
    printf ("one pass, median of %d runs\n%8s %10s %12s %10s %12s\n",
            (int)settings->runs, "workers", "tasks", "ms", "gang", "ms");
  for (size_t i = 0; i < G_N_ELEMENTS (worker_counts); i++)
    {
      double batch[MAX_RUNS] = { 0 }, gang[MAX_RUNS] = { 0 };
      uint32_t batch_tasks = 0;
      uint32_t gang_tasks = 0;
      for (int run = 0; run < settings->runs; run++)
        {
          uint32_t seed = (uint32_t)settings->seed + (uint32_t)run;
          batch[run] = pass_us (worker_counts[i], false, seed, &batch_tasks);
          gang[run] = pass_us (worker_counts[i], true, seed, &gang_tasks);
        }
      double batch_ms = median (batch, (size_t)settings->runs) / 1000.0;
      double gang_ms = median (gang, (size_t)settings->runs) / 1000.0;
      if (!settings->json)
        printf ("%8u %10u %12.2f %10u %12.2f\n", worker_counts[i], batch_tasks,
                batch_ms, gang_tasks, gang_ms);
      json_array_append_new (
          list, json_pack ("{s:I,s:I,s:f,s:I,s:f}", "workers",
                           (json_int_t)worker_counts[i], "tasks",
                           (json_int_t)batch_tasks, "pass_ms", batch_ms,
                           "gang_tasks", (json_int_t)gang_tasks, "gang_ms",
                           gang_ms));
    }
  return list;
}

static int64_t
resident_kib (void)
{
  char line[128];
  int64_t pages = 0;
  FILE *file = fopen ("/proc/self/statm", "r");
  if (file == NULL)
    return -1;
  if (fgets (line, sizeof line, file) != NULL)
    {
      char *second = strchr (line, ' ');
      pages = second != NULL ? g_ascii_strtoll (second, NULL, 10) : 0;
    }
  fclose (file);
  return pages * sysconf (_SC_PAGESIZE) / 1024;
}

/* Fills the store with 1,900 workers and 46,000 running tasks in 500 jobs.  */
static void
fill_store (bench_zone_t *zone)
{
  worker_row_t *workers[STATE_WORKERS];
  for (int i = 0; i < STATE_WORKERS; i++)
    workers[i] = worker_row_new (1);
  uint32_t next = 0;
  for (uint32_t job = 0; job < STATE_JOBS; job++)
    {
      char text[400], id[16], team[16], key[64];
      g_snprintf (id, sizeof id, "job%u", job);
      g_snprintf (team, sizeof team, "team%u", job % 50);
      g_snprintf (
          text, sizeof text,
          "{\"id\":\"%s\",\"kind\":\"%s\",\"team\":\"%s\",\"tasks\":92,"
          "\"size\":{\"cpu_millis\":500,\"memory_mib\":1024},"
          "\"command\":\"run --input data/%u\",\"run_ms\":%d}",
          id, job % 5 == 0 ? "service" : "batch", team, job,
          job % 5 == 0 ? 0 : 600000);
      json_t *json = json_loads (text, 0, NULL);
      job_row_t *row = job_row_new (job_spec_parse (json, NULL), "e@0:1", 0);
      job_row_add_part (row, "z", 0, STATE_TASKS_PER_JOB);
      part_row_t *part = part_row_new (0, STATE_TASKS_PER_JOB);
      for (uint32_t i = 0; i < STATE_TASKS_PER_JOB; i++)
        {
          uint32_t worker = next++ % STATE_WORKERS;
          char name[32], worker_id[16];
          g_snprintf (name, sizeof name, "%s/%u", id, i);
          g_snprintf (worker_id, sizeof worker_id, "w%u", worker);
          part_task_t *task = &g_array_index (part->tasks, part_task_t, i);
          g_ptr_array_add (part->worker_ids, g_strdup (worker_id));
          task->worker = (int32_t)part->worker_ids->len - 1;
          task->state = TASK_ASSIGNED;
          task->generation = 1;
          worker_row_assign (workers[worker], name, 1, row->spec->size);
        }
      g_snprintf (key, sizeof key, "job/%s", id);
      bench_zone_put_row (zone, key, job_row_to_json (row, "e@0:1"));
      g_snprintf (key, sizeof key, "part/z/%s", id);
      bench_zone_put_row (zone, key, part_row_to_json (part, "e@0:1"));
      part_row_free (part);
      job_row_free (row);
      json_decref (json);
    }
  for (int i = 0; i < STATE_WORKERS; i++)
    {
      char key[32];
      g_snprintf (key, sizeof key, "worker/z/w%d", i);
      bench_zone_put_row (zone, key, worker_row_to_json (workers[i], "e@0:1"));
      worker_row_free (workers[i]);
    }
}

static json_t *
measure_state (const settings_t *settings)
{
  bench_zone_t *zone
      = bench_zone_new (NULL, ROWS_PER_S, (uint32_t)settings->seed);
  fill_store (zone);
  int64_t before_kib = resident_kib ();
  double begin_us = now_us ();
  bench_zone_add_workers (zone, STATE_WORKERS, 4, plain_worker);
  bench_zone_run (zone, 50);
  double rebuild_ms = (now_us () - begin_us) / 1000.0;
  int64_t after_kib = resident_kib ();
  int64_t state_kib = after_kib - before_kib;
  uint32_t assigned = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, zone->sched->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    assigned += ((sched_job_t *)value)->assigned;
  if (!settings->json)
    printf ("working state: 1900 workers, %u assigned tasks: %.1f MiB more, "
            "%.1f MiB with the store's rows, rebuilt from rows in %.0f ms "
            "(target 64 MiB, 5000 ms)\n",
            assigned, (double)state_kib / 1024.0, (double)after_kib / 1024.0,
            rebuild_ms);
  bench_zone_free (zone);
  return json_pack ("{s:I,s:I,s:I,s:f}", "tasks", (json_int_t)assigned,
                    "state_kib", (json_int_t)state_kib, "process_kib",
                    (json_int_t)after_kib, "rebuild_ms", rebuild_ms);
}

/* Counts row writes at 110 task starts and 110 ends a second over 8 zones. One
   zone is run with an eighth of that, in jobs of 20 tasks; the results are for
   all zones.  */
static json_t *
measure_writes (const settings_t *settings)
{
  bench_zone_t *zone
      = bench_zone_new (NULL, ROWS_PER_S, (uint32_t)settings->seed);
  bench_zone_add_workers (zone, ZONE_WORKERS, 4, plain_worker);
  bench_zone_run (zone, 1000);
  GRand *random = g_rand_new_with_seed ((uint32_t)settings->seed);
  uint64_t row_writes_before = 0, started_before = 0;
  double due_jobs = 0.0;
  uint32_t job = 0;
  for (int second = 0; second < LOAD_S; second++)
    {
      if (second == LOAD_WARM_UP_S)
        {
          row_writes_before = zone->row_writes;
          started_before = zone->tasks_started;
        }
      for (due_jobs += 110.0 / ZONE_COUNT / 20.0; due_jobs >= 1.0;
           due_jobs -= 1.0)
        {
          char id[16], team[16];
          g_snprintf (id, sizeof id, "job%u", job++);
          g_snprintf (team, sizeof team, "team%u", job % 50);
          bench_zone_submit (zone, id, "batch", "standard", team, 20,
                             (resource_t){ 1000, 2048, 0 },
                             g_rand_int_range (random, 5000, 55000));
        }
      bench_zone_run (zone, 1000);
    }
  double seconds = LOAD_S - LOAD_WARM_UP_S;
  double rows
      = (double)(zone->row_writes - row_writes_before) / seconds * ZONE_COUNT;
  double starts
      = (double)(zone->tasks_started - started_before) / seconds * ZONE_COUNT;
  if (!settings->json)
    printf ("row writes: %.0f starts/s over 8 zones need %.0f row writes/s "
            "(target 110 and 400)\n",
            starts, rows);
  g_rand_free (random);
  bench_zone_free (zone);
  return json_pack ("{s:f,s:f}", "starts_per_s", starts, "rows_per_s", rows);
}

typedef struct
{
  int64_t submitted_ms[4096];
  int64_t started_ms[4096];
} probes_t;

static void
record_start (void *context, const char *job, int64_t now_ms)
{
  probes_t *probes = context;
  if (strncmp (job, "probe", 5) == 0)
    probes->started_ms[atoi (job + 5)] = now_ms;
}

/* Submits 10,000 bulk jobs of one task, cancels all of them at once if
   WITH_CANCELS, and then submits an urgent job of one task every 500 ms for
   30 s.  Returns the longest time to the start of an urgent task, INT64_MAX if
   one has not started. *LAST_ANSWER_MS receives the time until all cancels
   were answered, rounded down to 500 ms, and stays as it is if that is 0 or
   nothing is cancelled; *REFUSED receives the number of refusals, those of
   submissions included.  */
static int64_t
max_urgent_delay_ms (const settings_t *settings, bool with_cancels,
                     int64_t *last_answer_ms, uint64_t *refused)
{
  bench_zone_t *zone
      = bench_zone_new (NULL, ROWS_PER_S, (uint32_t)settings->seed);
  probes_t *probes = g_new0 (probes_t, 1);
  zone->on_start = record_start;
  zone->context = probes;
  bench_zone_add_workers (zone, ZONE_WORKERS, 4, plain_worker);
  bench_zone_run (zone, 1000);
  char id[16];
  for (int i = 0; i < CANCEL_COUNT; i++)
    {
      g_snprintf (id, sizeof id, "old%d", i);
      bench_zone_submit (zone, id, "batch", "bulk", "old", 1,
                         (resource_t){ 100, 128, 0 }, 3600000);
      if (i % 100 == 99)
        bench_zone_run (zone, 1000);
    }
  bench_zone_run (zone, 120000);
  uint64_t answers_before = zone->answers;
  int64_t begin_ms = clk_now_ms (&zone->clock.base);
  for (int i = 0; with_cancels && i < CANCEL_COUNT; i++)
    {
      g_snprintf (id, sizeof id, "old%d", i);
      sched_cancel (zone->sched, id, NULL);
    }
  int64_t worst_ms = 0;
  for (int i = 0; i < 240; i++)
    {
      if (i < PROBE_COUNT)
        {
          g_snprintf (id, sizeof id, "probe%d", i);
          probes->submitted_ms[i] = clk_now_ms (&zone->clock.base);
          bench_zone_submit (zone, id, "batch", "urgent", "new", 1,
                             (resource_t){ 100, 128, 0 }, 3600000);
        }
      bench_zone_run (zone, 500);
      if (with_cancels && zone->answers - answers_before < CANCEL_COUNT)
        *last_answer_ms = clk_now_ms (&zone->clock.base) - begin_ms;
    }
  for (int i = 0; i < PROBE_COUNT; i++)
    worst_ms = MAX (worst_ms,
                    probes->started_ms[i] == 0
                        ? INT64_MAX
                        : probes->started_ms[i] - probes->submitted_ms[i]);
  *refused = zone->refused;
  g_free (probes);
  bench_zone_free (zone);
  return worst_ms;
}

static json_t *
measure_cancel (const settings_t *settings)
{
  int64_t answered_ms = 0;
  uint64_t refused = 0;
  int64_t without_cancels_ms
      = max_urgent_delay_ms (settings, false, &answered_ms, &refused);
  int64_t with_cancels_ms
      = max_urgent_delay_ms (settings, true, &answered_ms, &refused);
  if (!settings->json)
    printf (
        "10,000 cancels at once: worst urgent start %ld ms, without the "
        "cancels %ld ms (target: at most 1000 ms more); all cancels answered "
        "after %ld ms, %lu of them refused\n",
        (long)with_cancels_ms, (long)without_cancels_ms, (long)answered_ms,
        (unsigned long)refused);
  return json_pack ("{s:I,s:I,s:I,s:I}", "refused", (json_int_t)refused,
                    "quiet_ms", (json_int_t)without_cancels_ms, "wave_ms",
                    (json_int_t)with_cancels_ms, "answered_ms",
                    (json_int_t)answered_ms);
}

/* Returns the number of assigned tasks of jobs whose id begins with PREFIX. */
static uint32_t
count_assigned (bench_zone_t *zone, const char *prefix)
{
  uint32_t running = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, zone->sched->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const sched_job_t *job = value;
      if (g_str_has_prefix (job->id, prefix))
        running += job->assigned;
    }
  return running;
}

/* Each class asks for about its guaranteed share of 960 cores, then class
   FLOOD submits ten times the capacity.  Returns the mean of what the other
   classes run, as a fraction of what they ask for.  */
static double
kept_fraction (const settings_t *settings, const char *flood)
{
  static const struct
  {
    const char *class;
    uint32_t tasks; /* running at a time, one core each */
  } classes[] = { { "urgent", 480 }, { "standard", 330 }, { "bulk", 140 } };
  bench_zone_t *zone
      = bench_zone_new (NULL, ROWS_PER_S, (uint32_t)settings->seed);
  bench_zone_add_workers (zone, FLOOD_WORKERS, 4, plain_worker);
  bench_zone_run (zone, 1000);
  resource_t size = { 1000, 2048, 0 };
  double kept = 0.0;
  uint32_t samples = 0;
  for (int second = 0; second < LOAD_S; second++)
    {
      char id[24];
      /* Steady load: jobs of ten tasks of 20 s, spread over 20 s.  */
      for (size_t i = 0; i < G_N_ELEMENTS (classes); i++)
        for (uint32_t n = 0; n < classes[i].tasks / 10; n++)
          {
            if ((int)(n % 20) != second % 20)
              continue;
            g_snprintf (id, sizeof id, "%s%d.%u", classes[i].class, second, n);
            bench_zone_submit (zone, id, "batch", classes[i].class,
                               classes[i].class, 10, size, 20000);
          }
      for (int n = 0; second == LOAD_WARM_UP_S && n < 96; n++)
        {
          g_snprintf (id, sizeof id, "flood%d", n);
          bench_zone_submit (zone, id, "batch", flood, "flood", 100, size,
                             20000);
        }
      bench_zone_run (zone, 1000);
      /* Counts from 30 s after the start of the flood.  */
      for (size_t i = 0; second >= 90 && i < G_N_ELEMENTS (classes); i++)
        if (strcmp (classes[i].class, flood) != 0)
          {
            double fraction = (double)count_assigned (zone, classes[i].class)
                              / (double)classes[i].tasks;
            kept += MIN (fraction, 1.0);
            samples++;
          }
    }
  bench_zone_free (zone);
  return kept / (double)samples;
}

/* Measures the start delays of 60 urgent tasks while bulk tasks fill the whole
   zone and more of them wait.  */
static json_t *
measure_urgent (const settings_t *settings)
{
  bench_zone_t *zone
      = bench_zone_new (NULL, ROWS_PER_S, (uint32_t)settings->seed);
  probes_t *probes = g_new0 (probes_t, 1);
  zone->on_start = record_start;
  zone->context = probes;
  bench_zone_add_workers (zone, FLOOD_WORKERS, 4, plain_worker);
  bench_zone_run (zone, 1000);
  for (int i = 0; i < 20; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "bulk%d", i);
      bench_zone_submit (zone, id, "batch", "bulk", "bulk", 100,
                         (resource_t){ 1000, 2048, 0 }, 600000);
    }
  bench_zone_run (zone, 60000);
  double delays[PROBE_COUNT];
  for (int i = 0; i < PROBE_COUNT; i++)
    {
      char id[16];
      g_snprintf (id, sizeof id, "probe%d", i);
      probes->submitted_ms[i] = clk_now_ms (&zone->clock.base);
      bench_zone_submit (zone, id, "batch", "urgent", "new", 1,
                         (resource_t){ 2000, 4096, 0 }, 30000);
      bench_zone_run (zone, 500);
    }
  bench_zone_run (zone, 10000);
  for (int i = 0; i < PROBE_COUNT; i++)
    delays[i]
        = probes->started_ms[i] == 0
              ? NOT_STARTED_MS
              : (double)(probes->started_ms[i] - probes->submitted_ms[i]);
  double median_ms = median (delays, PROBE_COUNT);
  double worst_ms = delays[PROBE_COUNT - 1];
  if (!settings->json)
    printf ("urgent tasks on a fleet full of bulk work: started after %.0f ms "
            "(median), %.0f ms (worst of 60) (target p99 2400 ms)\n",
            median_ms, worst_ms);
  g_free (probes);
  bench_zone_free (zone);
  return json_pack ("{s:f,s:f}", "median_ms", median_ms, "worst_ms", worst_ms);
}

static json_t *
measure_flood (const settings_t *settings)
{
  static const char *const floods[] = { "bulk", "standard", "urgent" };
  json_t *json = json_object ();
  for (size_t i = 0; i < G_N_ELEMENTS (floods); i++)
    {
      double kept = kept_fraction (settings, floods[i]);
      if (!settings->json)
        printf ("flood of 10 times capacity in class %-8s: the other classes "
                "keep %.1f%% (target 95%%)\n",
                floods[i], kept * 100.0);
      json_object_set_new (json, floods[i], json_real (kept));
    }
  return json;
}

static json_t *
measure_pack (const settings_t *settings)
{
  return bench_pack (settings->json, (uint32_t)settings->runs,
                     (uint32_t)settings->seed);
}

int
bench_sched_run (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    json_t *(*run) (const settings_t *settings);
  } rows[] = {
    { "pass", measure_pass },     { "pack", measure_pack },
    { "state", measure_state },   { "writes", measure_writes },
    { "cancel", measure_cancel }, { "flood", measure_flood },
    { "urgent", measure_urgent },
  };
  settings_t settings = { 0 };
  if (!options_parse (options, &settings,
                      "measure the task side of the core, without sockets",
                      argc, argv, NULL))
    return err_info (ERR_USAGE)->exit_code;
  json_t *result = json_pack ("{s:I}", "seed", (json_int_t)settings.seed);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    if (strcmp (settings.only, "all") == 0
        || strcmp (settings.only, rows[i].name) == 0)
      json_object_set_new (result, rows[i].name, rows[i].run (&settings));
  if (settings.json)
    {
      json_dumpf (result, stdout, JSON_INDENT (2));
      putchar ('\n');
    }
  json_decref (result);
  options_clear (options, &settings);
  return 0;
}
