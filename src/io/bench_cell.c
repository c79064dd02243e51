#include "bench.h"
#include "cell_site.h"

#include <stdio.h>
#include <string.h>

#define TICKET_MS 2000
#define ALLOWED_SHARE 0.5
#define UNEVEN 0.3
/* Results begin after this simulated time.  */
#define WARM_UP_MS 3000
#define RACK_WORKERS 16u
/* One worker in that many has accelerators.  */
#define ACCELERATOR_EVERY 4u
/* Lasting jobs, of two tasks each, in all: one for that many workers.  */
#define WORKERS_PER_LASTING_JOB 20u
#define MAX_RACK_BYTES 24u

typedef struct
{
  int64_t workers, groups, callers, run_ms, look_ns, jobs_per_s, seed;
} settings_t;

#define FIELD(name) offsetof (settings_t, name)

static const option_t options[] = {
  BENCH_SEED_OPTION (FIELD (seed)),
  { .name = "workers",
    .kind = OPTION_INTEGER,
    .offset = FIELD (workers),
    .default_text = "400",
    .min = 1,
    .max = 10000,
    .help = "workers of the cell" },
  { .name = "groups",
    .kind = OPTION_INTEGER,
    .offset = FIELD (groups),
    .default_text = "200",
    .min = 1,
    .max = 10000,
    .help = "steps that always wait" },
  { .name = "callers",
    .kind = OPTION_INTEGER,
    .offset = FIELD (callers),
    .default_text = "100",
    .min = 1,
    .max = 10000,
    .help = "calls for advice that can be made at once; few leave workers "
            "empty" },
  { .name = "run-ms",
    .kind = OPTION_INTEGER,
    .offset = FIELD (run_ms),
    .default_text = "5000",
    .min = 1,
    .max = 600000,
    .help = "simulated time after the warm-up" },
  { .name = "look-ns",
    .kind = OPTION_INTEGER,
    .offset = FIELD (look_ns),
    .default_text = "0",
    .min = 0,
    .max = 1000000,
    .help = "simulated time that a pass takes for each worker it looks at, "
            "in which the owner does nothing else" },
  { .name = "jobs-per-s",
    .kind = OPTION_INTEGER,
    .offset = FIELD (jobs_per_s),
    .default_text = "0",
    .min = 0,
    .max = 10000,
    .help = "jobs submitted in a second; 0: as many as keep GROUPS waiting" },
  { .name = NULL },
};

/* A kind of job.  */
typedef struct
{
  const char *queue;
  uint32_t of_100; /* share of the jobs */
  uint32_t max_steps;
  uint32_t min_tasks, max_tasks;
  int64_t task_ms;
  resource_t min_need, max_need;
  uint32_t priority;
  double advice_ms, advice_each_ms;
  bool gang, lasting;
} kind_t;

static const kind_t kinds[] = {
  { "urgent",
    55,
    2,
    5,
    13,
    500,
    { 500, 500, 0 },
    { 2000, 4000, 0 },
    0,
    60.0,
    2.0,
    false,
    false },
  { "batch",
    25,
    3,
    14,
    30,
    3600,
    { 1000, 1000, 0 },
    { 4000, 9000, 0 },
    2,
    150.0,
    5.0,
    false,
    false },
  { "gang",
    18,
    1,
    2,
    13,
    2500,
    { 2000, 8000, 2 },
    { 4000, 16000, 8 },
    1,
    400.0,
    10.0,
    true,
    false },
  { "lasting",
    2,
    1,
    2,
    2,
    1000,
    { 500, 500, 0 },
    { 1000, 2000, 0 },
    0,
    60.0,
    2.0,
    false,
    true },
};

/* The site, and what is submitted to it.  */
typedef struct
{
  const settings_t *settings;
  cell_site_t *site;
  GRand *random;
  int64_t jobs_due; /* in thousandths */
  uint32_t jobs, lasting_jobs;
  uint64_t jobs_ended, jobs_in_time;
} bench_load_t;

static void
on_log (void *context, const char *event, const char *subject)
{
  bench_load_t *load = context;
  bool in_time = strcmp (event, "job_completed") == 0;
  load->jobs_in_time += in_time;
  load->jobs_ended += in_time || strcmp (event, "job_late") == 0;
}

static int64_t
draw (bench_load_t *load, int64_t low, int64_t high)
{
  return g_rand_int_range (load->random, (gint32)low, (gint32)high + 1);
}

static void
fill_step (bench_load_t *load, const kind_t *kind, work_step_t *step)
{
  const resource_t *low = &kind->min_need;
  const resource_t *high = &kind->max_need;
  step->count = (uint32_t)draw (load, kind->min_tasks, kind->max_tasks);
  step->need.cpu_millis = draw (load, low->cpu_millis, high->cpu_millis);
  step->need.memory_mib = draw (load, low->memory_mib, high->memory_mib);
  step->need.accelerators = draw (load, low->accelerators, high->accelerators);
  step->estimate_ms = kind->task_ms;
  step->gang = kind->gang;
  step->rack_bound = kind->gang;
  step->lasting = kind->lasting;
  step->label = g_strdup (kind->gang ? "accelerator" : NULL);
  step->spread = kind->lasting || draw (load, 0, 3) == 0 ? 2 : 0;
}

static const kind_t *
draw_kind (bench_load_t *load)
{
  uint32_t at = (uint32_t)draw (load, 0, 99);
  const kind_t *kind = kinds;
  while (at >= kind->of_100)
    at -= (kind++)->of_100;
  if (kind->lasting
      && load->lasting_jobs++
             >= load->settings->workers / WORKERS_PER_LASTING_JOB)
    return kinds;
  return kind;
}

static void
submit_job (bench_load_t *load)
{
  const kind_t *kind = draw_kind (load);
  char id[WORK_ID_LENGTH + 1];
  g_snprintf (id, sizeof id, "%016x", ++load->jobs);
  work_job_t *job = work_job_new (id, kind->queue,
                                  (uint32_t)draw (load, 1, kind->max_steps));
  job->spec = g_strdup_printf ("%lld",
                               (long long)(kind->lasting ? 0 : kind->task_ms));
  for (uint32_t i = 0; i < job->step_count; i++)
    {
      work_step_t *step = &job->steps[i];
      fill_step (load, kind, step);
      if (i == 0)
        continue;
      step->after = g_new (uint32_t, 1);
      step->after[0] = i - 1;
      step->after_count = 1;
    }
  cell_site_submit (load->site, job);
}

/* Runs the site, and submits jobs at their rate or until enough steps wait.
 */
static void
run_site (bench_load_t *load, int64_t for_ms)
{
  const settings_t *settings = load->settings;
  for (int64_t i = 0; i < for_ms; i++)
    {
      for (load->jobs_due += settings->jobs_per_s; load->jobs_due >= 1000;
           load->jobs_due -= 1000)
        submit_job (load);
      int64_t waiting = cell_site_advance (load->site);
      for (; settings->jobs_per_s == 0 && waiting >= 0
             && waiting < settings->groups;
           waiting++)
        submit_job (load);
    }
}

static void
add_worker (bench_load_t *load, uint32_t at)
{
  static const char *const accelerated[] = { "accelerator", NULL };
  static const char *const plain[] = { NULL };
  bool is_accelerated = at % ACCELERATOR_EVERY == 0;
  char rack[MAX_RACK_BYTES];
  g_snprintf (rack, sizeof rack, "r%u", at / RACK_WORKERS);
  resource_t capacity
      = { 8000 + 8000 * (at % 2), 32768, is_accelerated ? 8 : 0 };
  cell_site_add_worker (load->site, capacity, 1.0, rack,
                        is_accelerated ? accelerated : plain);
}

static queue_table_t *
make_queues (void)
{
  queue_table_t *table = queue_table_new (1);
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    {
      queue_t *queue = queue_new ();
      queue->name = g_strdup (kinds[i].queue);
      queue->service = g_strdup ("service");
      queue->priority = kinds[i].priority;
      queue->max_attempts = 4;
      queue->stretch = 2.0;
      queue->target_ms = 500;
      queue->advised = true;
      queue->advice_ms = kinds[i].advice_ms;
      queue->advice_each_ms = kinds[i].advice_each_ms;
      queue->ticket_validity_ms = TICKET_MS;
      g_ptr_array_add (table->queues, queue);
    }
  return table;
}

/* Returns the part of the processors of all workers that runs hold.  */
static double
share_in_use (const bench_load_t *load)
{
  cell_totals_t totals;
  cell_totals (cell_site_cell (load->site), &totals);
  return (double)totals.used.cpu_millis
         / (double)MAX (totals.capacity.cpu_millis, 1);
}

static void
print_result (const bench_load_t *load, const cell_pass_stats_t *from_passes,
              const cell_site_stats_t *from)
{
  const settings_t *settings = load->settings;
  cell_pass_stats_t passes;
  cell_site_stats_t to;
  cell_pass_stats (cell_site_cell (load->site), &passes);
  cell_site_stats (load->site, &to);
  uint64_t starts = to.starts - from->starts;
  uint64_t calls = to.advice_calls - from->advice_calls;
  double count = MAX ((double)(passes.passes - from_passes->passes), 1.0);
  printf ("workers=%lld groups=%.0f callers=%lld passes=%.0f all_passes=%llu "
          "looked_at=%.0f us=%.0f cpu_in_use=%.2f starts=%llu calls=%llu "
          "calls_per_start=%.3f useless_calls=%.2f jobs=%llu in_time=%llu "
          "decisions=%08x\n",
          (long long)settings->workers,
          (double)(passes.groups - from_passes->groups) / count,
          (long long)settings->callers, count,
          (unsigned long long)passes.passes,
          (double)(passes.workers_looked_at - from_passes->workers_looked_at)
              / count,
          (to.pass_us - from->pass_us) / count, share_in_use (load),
          (unsigned long long)starts, (unsigned long long)calls,
          (double)calls / MAX ((double)starts, 1.0),
          cell_site_useless_calls (load->site, cell_site_now_ms (load->site)
                                                   - settings->run_ms),
          (unsigned long long)load->jobs_ended,
          (unsigned long long)load->jobs_in_time, to.decisions);
}

static void
measure (const settings_t *settings)
{
  bench_load_t load
      = { .settings = settings,
          .random = g_rand_new_with_seed ((guint32)settings->seed) };
  const cell_site_options_t site_options
      = { .seed = (uint32_t)settings->seed,
          .callers = (uint32_t)settings->callers,
          .look_ns = settings->look_ns,
          .uneven = UNEVEN,
          .logged = on_log,
          .context = &load };
  double shares[G_N_ELEMENTS (kinds)];
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    shares[i] = ALLOWED_SHARE;
  queue_table_t *queues = make_queues ();
  load.site = cell_site_new (&site_options, queues, shares);
  queue_table_free (queues);
  for (uint32_t i = 0; i < (uint32_t)settings->workers; i++)
    add_worker (&load, i);
  cell_site_begin (load.site);
  run_site (&load, WARM_UP_MS);
  cell_pass_stats_t passes;
  cell_site_stats_t from;
  cell_pass_stats (cell_site_cell (load.site), &passes);
  cell_site_stats (load.site, &from);
  run_site (&load, settings->run_ms);
  print_result (&load, &passes, &from);
  cell_site_free (load.site);
  g_rand_free (load.random);
}

int
bench_cell_run (int argc, char **argv)
{
  settings_t settings = { 0 };
  if (!options_parse (options, &settings,
                      "measure the passes of a cell, without sockets", argc,
                      argv, NULL))
    return err_info (ERR_USAGE)->exit_code;
  measure (&settings);
  options_clear (options, &settings);
  return 0;
}
