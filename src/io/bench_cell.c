#include "bench.h"
#include "cell.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Delays of the simulated store and network.  */
#define SAVE_MS 10
#define CALL_MS 3
#define LEASE_MS 6000
#define TICKET_MS 2000
/* Results begin after this simulated time.  */
#define WARM_UP_MS 3000
#define RACK_WORKERS 16u
/* One worker in that many has accelerators.  */
#define ACCELERATOR_EVERY 4u
/* Lasting jobs, of two tasks each, in all: one for that many workers.  */
#define WORKERS_PER_LASTING_JOB 20u
#define MAX_ID_BYTES 24u

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

typedef struct
{
  char task[WORK_NAME_BYTES];
  uint32_t run;
  int64_t end_ms; /* 0: lasting */
  end_kind_t how; /* once it has ended */
  uint64_t number;
} run_t;

typedef struct
{
  char id[MAX_ID_BYTES];
  char address[MAX_ID_BYTES];
  char rack[MAX_ID_BYTES];
  resource_t capacity;
  GArray *runs; /* run_t */
  GArray *ends; /* run_t that are not acknowledged */
  uint64_t last_end;
  bool polled;
  int64_t poll_sent_ms, poll_until_ms;
} site_worker_t;

/* A start, or a stop, on its way.  */
typedef struct
{
  int64_t at_ms;
  site_worker_t *worker;
  run_t run;
  bool stop;
} order_t;

typedef struct
{
  int64_t at_ms;
  char step[WORK_NAME_BYTES];
  uint32_t call;
  GPtrArray *workers; /* char *, owned */
} call_t;

/* An answered call.  */
typedef struct
{
  int64_t answered_ms;
  bool used; /* a task of its step started with one of its tickets */
} answer_t;

typedef struct
{
  const settings_t *settings;
  clk_fake_t clock;
  GRand *random;
  cell_t *cell;
  GPtrArray *workers;  /* site_worker_t, owned */
  GHashTable *by_id;   /* site_worker_t, borrowed */
  GArray *orders;      /* order_t */
  GArray *calls;       /* call_t */
  GArray *answers;     /* answer_t */
  GHashTable *tickets; /* "STEP WORKER", owned -> index of the last answer */
  int64_t save_done_ms;
  int64_t busy_until_ms; /* the owner is in a pass until then */
  int64_t jobs_due;      /* in thousandths */
  uint32_t jobs, lasting_jobs;
  uint64_t starts, advice_calls;
  uint64_t jobs_ended, jobs_in_time;
  uint32_t decisions; /* hash of all starts and calls for advice */
  double pass_us;
} site_t;

static int64_t
now_ms (const site_t *site)
{
  return clk_now_ms (&site->clock.base);
}

static double
processor_us (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
add_decision (site_t *site, const char *text)
{
  site->decisions = site->decisions * 16777619u ^ g_str_hash (text);
}

static void
on_save (void *context, const cell_record_t *records, uint32_t count)
{
  site_t *site = context;
  site->save_done_ms = now_ms (site) + SAVE_MS;
}

static void
add_order (site_t *site, const cell_worker_ref_t *ref, const char *task,
           uint32_t run, bool stop, int64_t task_ms)
{
  order_t order = { .at_ms = now_ms (site) + CALL_MS,
                    .worker = g_hash_table_lookup (site->by_id, ref->id),
                    .stop = stop };
  order.run.run = run;
  g_strlcpy (order.run.task, task, sizeof order.run.task);
  if (task_ms > 0)
    order.run.end_ms
        = order.at_ms
          + (int64_t)((double)task_ms
                      * g_rand_double_range (site->random, 0.7, 1.3));
  g_array_append_val (site->orders, order);
}

static char *
ticket_key (const char *step, const char *worker)
{
  return g_strconcat (step, " ", worker, NULL);
}

static void
note_ticket_used (site_t *site, const char *task, const char *worker)
{
  char *step = g_strndup (task, (gsize)(strrchr (task, '.') - task));
  char *key = ticket_key (step, worker);
  gpointer at;
  if (g_hash_table_lookup_extended (site->tickets, key, NULL, &at))
    g_array_index (site->answers, answer_t, GPOINTER_TO_UINT (at)).used = true;
  g_free (key);
  g_free (step);
}

static void
on_start (void *context, const cell_worker_ref_t *worker,
          const cell_start_order_t *order)
{
  site_t *site = context;
  note_ticket_used (site, order->task, worker->id);
  site->starts++;
  add_decision (site, order->task);
  add_decision (site, worker->id);
  /* The spec of a task is its duration.  */
  add_order (site, worker, order->task, order->run, false,
             strtoll (order->spec, NULL, 10));
}

static void
on_stop (void *context, const cell_worker_ref_t *worker, const char *task,
         uint32_t run)
{
  add_order (context, worker, task, run, true, 0);
}

static void
on_poll (void *context, const cell_worker_ref_t *ref, int64_t lease_until_ms,
         uint64_t acknowledged_end, int64_t wait_ms)
{
  site_t *site = context;
  site_worker_t *worker = g_hash_table_lookup (site->by_id, ref->id);
  worker->polled = true;
  worker->poll_sent_ms = now_ms (site);
  worker->poll_until_ms = now_ms (site) + MAX (wait_ms, CALL_MS);
  while (worker->ends->len > 0
         && g_array_index (worker->ends, run_t, 0).number <= acknowledged_end)
    g_array_remove_index (worker->ends, 0);
}

static void
on_pace (void *context, const cell_worker_ref_t *worker, const char *task,
         uint32_t run, uint32_t percent)
{
}

static bool
on_advise (void *context, const char *step, uint32_t number,
           const char *const *workers, uint32_t count, double expected_ms)
{
  site_t *site = context;
  if (site->calls->len >= (guint)site->settings->callers)
    return false;
  call_t call = { .at_ms = now_ms (site) + (int64_t)expected_ms,
                  .call = number,
                  .workers = g_ptr_array_new_with_free_func (g_free) };
  g_strlcpy (call.step, step, sizeof call.step);
  add_decision (site, step);
  for (uint32_t i = 0; i < count; i++)
    {
      add_decision (site, workers[i]);
      g_ptr_array_add (call.workers, g_strdup (workers[i]));
    }
  g_array_append_val (site->calls, call);
  site->advice_calls++;
  return true;
}

static void
on_delete_job (void *context, const char *id)
{
}

static void
on_log (void *context, const char *event, const char *subject,
        const char *detail)
{
  site_t *site = context;
  bool in_time = strcmp (event, "job_completed") == 0;
  site->jobs_in_time += in_time;
  site->jobs_ended += in_time || strcmp (event, "job_late") == 0;
}

static const cell_actions_t actions
    = { on_save, on_start,  on_stop,       on_poll,
        on_pace, on_advise, on_delete_job, on_log };

/* Delivers the orders that have arrived.  */
static void
deliver_orders (site_t *site)
{
  while (site->orders->len > 0
         && g_array_index (site->orders, order_t, 0).at_ms <= now_ms (site))
    {
      order_t order = g_array_index (site->orders, order_t, 0);
      g_array_remove_index (site->orders, 0);
      site_worker_t *worker = order.worker;
      if (!order.stop)
        {
          g_array_append_val (worker->runs, order.run);
          cell_start_answered (site->cell, worker->id, order.run.task,
                               order.run.run, ORDER_ACCEPTED, 0);
          continue;
        }
      for (guint i = 0; i < worker->runs->len; i++)
        {
          run_t *run = &g_array_index (worker->runs, run_t, i);
          if (strcmp (run->task, order.run.task) != 0)
            continue;
          run->end_ms = now_ms (site);
          run->how = END_STOPPED;
        }
      cell_stop_answered (site->cell, worker->id, order.run.task,
                          order.run.run, ORDER_ACCEPTED);
    }
}

static void
end_runs (site_t *site, site_worker_t *worker)
{
  for (guint i = worker->runs->len; i > 0; i--)
    {
      run_t run = g_array_index (worker->runs, run_t, i - 1);
      if (run.end_ms == 0 || run.end_ms > now_ms (site))
        continue;
      run.number = ++worker->last_end;
      g_array_append_val (worker->ends, run);
      g_array_remove_index (worker->runs, i - 1);
    }
}

/* Answers an open poll if there is an end to list or its wait is over.  */
static void
answer_poll (site_t *site, site_worker_t *worker)
{
  if (!worker->polled || now_ms (site) < worker->poll_sent_ms + CALL_MS
      || (worker->ends->len == 0 && now_ms (site) < worker->poll_until_ms))
    return;
  GArray *runs = g_array_new (FALSE, FALSE, sizeof (report_run_t));
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (report_end_t));
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = &g_array_index (worker->runs, run_t, i);
      report_run_t row
          = { .task = run->task, .run = run->run, .checkpoint = "" };
      g_array_append_val (runs, row);
    }
  for (guint i = 0; i < worker->ends->len; i++)
    {
      const run_t *run = &g_array_index (worker->ends, run_t, i);
      report_end_t row = { run->number, run->task, run->run, run->how, "" };
      g_array_append_val (ends, row);
    }
  worker_report_t report
      = { .sent_ms = worker->poll_sent_ms,
          .clock_ms = now_ms (site),
          .start_ms = 1,
          .runs = (const report_run_t *)(const void *)runs->data,
          .run_count = runs->len,
          .ends = (const report_end_t *)(const void *)ends->data,
          .end_count = ends->len };
  worker->polled = false;
  cell_poll_answered (site->cell, worker->id, &report);
  g_array_unref (runs);
  g_array_unref (ends);
}

/* Answers the calls for advice that are over: half of the workers may run a
   step.  */
static void
answer_calls (site_t *site)
{
  for (guint i = site->calls->len; i > 0; i--)
    {
      call_t call = g_array_index (site->calls, call_t, i - 1);
      if (call.at_ms > now_ms (site))
        continue;
      g_array_remove_index (site->calls, i - 1);
      answer_t answer = { .answered_ms = call.at_ms };
      GArray *rows = g_array_new (FALSE, FALSE, sizeof (advice_row_t));
      for (guint j = 0; j < call.workers->len; j++)
        {
          advice_row_t row = { call.workers->pdata[j], "ticket" };
          char *pair = g_strconcat (call.step, row.worker, NULL);
          if (g_str_hash (pair) / 7 % 2 == 0)
            {
              g_array_append_val (rows, row);
              g_hash_table_insert (site->tickets,
                                   ticket_key (call.step, row.worker),
                                   GUINT_TO_POINTER (site->answers->len));
            }
          g_free (pair);
        }
      g_array_append_val (site->answers, answer);
      cell_advice_answered (site->cell, call.step, call.call, true,
                            (const advice_row_t *)(const void *)rows->data,
                            rows->len, call.at_ms + TICKET_MS - now_ms (site));
      g_array_unref (rows);
      g_ptr_array_unref (call.workers);
    }
}

static int64_t
draw (site_t *site, int64_t low, int64_t high)
{
  return g_rand_int_range (site->random, (gint32)low, (gint32)high + 1);
}

static void
fill_step (site_t *site, const kind_t *kind, work_step_t *step)
{
  const resource_t *low = &kind->min_need;
  const resource_t *high = &kind->max_need;
  step->count = (uint32_t)draw (site, kind->min_tasks, kind->max_tasks);
  step->need.cpu_millis = draw (site, low->cpu_millis, high->cpu_millis);
  step->need.memory_mib = draw (site, low->memory_mib, high->memory_mib);
  step->need.accelerators = draw (site, low->accelerators, high->accelerators);
  step->estimate_ms = kind->task_ms;
  step->gang = kind->gang;
  step->rack_bound = kind->gang;
  step->lasting = kind->lasting;
  step->label = g_strdup (kind->gang ? "accelerator" : NULL);
  step->spread = kind->lasting || draw (site, 0, 3) == 0 ? 2 : 0;
}

static const kind_t *
draw_kind (site_t *site)
{
  uint32_t at = (uint32_t)draw (site, 0, 99);
  const kind_t *kind = kinds;
  while (at >= kind->of_100)
    at -= (kind++)->of_100;
  if (kind->lasting
      && site->lasting_jobs++ >= site->workers->len / WORKERS_PER_LASTING_JOB)
    return kinds;
  return kind;
}

static void
submit_job (site_t *site)
{
  const kind_t *kind = draw_kind (site);
  char id[WORK_ID_LENGTH + 1];
  g_snprintf (id, sizeof id, "%016x", ++site->jobs);
  work_job_t *job = work_job_new (id, kind->queue,
                                  (uint32_t)draw (site, 1, kind->max_steps));
  job->spec = g_strdup_printf ("%lld",
                               (long long)(kind->lasting ? 0 : kind->task_ms));
  job->accepted_ms = clk_wall_ms (&site->clock.base);
  for (uint32_t i = 0; i < job->step_count; i++)
    {
      work_step_t *step = &job->steps[i];
      fill_step (site, kind, step);
      if (i == 0)
        continue;
      step->after = g_new (uint32_t, 1);
      step->after[0] = i - 1;
      step->after_count = 1;
    }
  cell_add_job (site->cell, job);
}

/* Runs the cell, and submits jobs until enough steps wait.  */
static void
run_cell (site_t *site)
{
  cell_pass_stats_t before;
  cell_pass_stats_t after;
  cell_pass_stats (site->cell, &before);
  double begun_us = processor_us ();
  cell_run (site->cell, clk_wall_ms (&site->clock.base));
  double took_us = processor_us () - begun_us;
  cell_pass_stats (site->cell, &after);
  if (after.passes == before.passes)
    return;
  site->pass_us += took_us;
  site->busy_until_ms
      = now_ms (site)
        + (int64_t)(after.workers_looked_at - before.workers_looked_at)
              * site->settings->look_ns / 1000000;
  uint64_t waiting = after.groups - before.groups;
  for (; site->settings->jobs_per_s == 0
         && waiting < (uint64_t)site->settings->groups;
       waiting++)
    submit_job (site);
}

static void
run_site (site_t *site, int64_t for_ms)
{
  for (int64_t i = 0; i < for_ms; i++)
    {
      clk_fake_advance_ms (&site->clock, 1);
      for (guint j = 0; j < site->workers->len; j++)
        end_runs (site, site->workers->pdata[j]);
      for (site->jobs_due += site->settings->jobs_per_s;
           site->jobs_due >= 1000; site->jobs_due -= 1000)
        submit_job (site);
      if (now_ms (site) < site->busy_until_ms)
        continue;
      if (site->save_done_ms != 0 && now_ms (site) >= site->save_done_ms)
        {
          site->save_done_ms = 0;
          cell_save_done (site->cell);
        }
      deliver_orders (site);
      for (guint j = 0; j < site->workers->len; j++)
        answer_poll (site, site->workers->pdata[j]);
      answer_calls (site);
      run_cell (site);
    }
}

static void
site_worker_free (void *data)
{
  site_worker_t *worker = data;
  g_array_unref (worker->runs);
  g_array_unref (worker->ends);
  g_free (worker);
}

static void
add_worker (site_t *site, uint32_t at)
{
  static const char *const labels[] = { "accelerator" };
  bool accelerated = at % ACCELERATOR_EVERY == 0;
  site_worker_t *worker = g_new0 (site_worker_t, 1);
  g_snprintf (worker->id, sizeof worker->id, "w%u", at);
  g_snprintf (worker->address, sizeof worker->address, "a%u", at);
  g_snprintf (worker->rack, sizeof worker->rack, "r%u", at / RACK_WORKERS);
  worker->capacity
      = (resource_t){ 8000 + 8000 * (at % 2), 32768, accelerated ? 8 : 0 };
  worker->runs = g_array_new (FALSE, FALSE, sizeof (run_t));
  worker->ends = g_array_new (FALSE, FALSE, sizeof (run_t));
  g_ptr_array_add (site->workers, worker);
  g_hash_table_insert (site->by_id, worker->id, worker);
  worker_row_t row = { .id = worker->id,
                       .address = worker->address,
                       .service = "service",
                       .machine = worker->id,
                       .rack = worker->rack,
                       .labels = labels,
                       .label_count = accelerated ? 1 : 0,
                       .capacity = worker->capacity,
                       .remaining_ms = -1,
                       .start_ms = 1 };
  cell_worker_listed (site->cell, &row);
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
share_in_use (const site_t *site)
{
  cell_totals_t totals;
  cell_totals (site->cell, &totals);
  return (double)totals.used.cpu_millis
         / (double)MAX (totals.capacity.cpu_millis, 1);
}

/* Returns the part of the calls answered since FROM_MS whose tickets have
   expired unused.  */
static double
useless_share (const site_t *site, int64_t from_ms)
{
  uint32_t expired = 0;
  uint32_t useless = 0;
  for (guint i = 0; i < site->answers->len; i++)
    {
      const answer_t *answer = &g_array_index (site->answers, answer_t, i);
      if (answer->answered_ms < from_ms
          || answer->answered_ms + TICKET_MS > now_ms (site))
        continue;
      expired++;
      useless += !answer->used;
    }
  return (double)useless / (double)MAX (expired, 1u);
}

static void
print_result (const site_t *site, const cell_pass_stats_t *from,
              uint64_t starts, uint64_t calls)
{
  cell_pass_stats_t to;
  cell_pass_stats (site->cell, &to);
  double passes = MAX ((double)(to.passes - from->passes), 1.0);
  printf ("workers=%lld groups=%.0f callers=%lld passes=%.0f all_passes=%llu "
          "looked_at=%.0f us=%.0f cpu_in_use=%.2f starts=%llu calls=%llu "
          "calls_per_start=%.3f useless_calls=%.2f jobs=%llu in_time=%llu "
          "decisions=%08x\n",
          (long long)site->settings->workers,
          (double)(to.groups - from->groups) / passes,
          (long long)site->settings->callers, passes,
          (unsigned long long)to.passes,
          (double)(to.workers_looked_at - from->workers_looked_at) / passes,
          site->pass_us / passes, share_in_use (site),
          (unsigned long long)starts, (unsigned long long)calls,
          (double)calls / MAX ((double)starts, 1.0),
          useless_share (site, now_ms (site) - site->settings->run_ms),
          (unsigned long long)site->jobs_ended,
          (unsigned long long)site->jobs_in_time, site->decisions);
}

static void
site_clear (site_t *site)
{
  for (guint i = 0; i < site->calls->len; i++)
    g_ptr_array_unref (g_array_index (site->calls, call_t, i).workers);
  cell_free (site->cell);
  g_hash_table_unref (site->by_id);
  g_ptr_array_unref (site->workers);
  g_array_unref (site->orders);
  g_array_unref (site->calls);
  g_array_unref (site->answers);
  g_hash_table_unref (site->tickets);
  g_rand_free (site->random);
}

static void
measure (const settings_t *settings)
{
  const cell_options_t cell_options = { .lease_ms = LEASE_MS,
                                        .renewal_grace_ms = 10000,
                                        .retention_ms = 60000 };
  site_t site = { .settings = settings,
                  .random = g_rand_new_with_seed ((guint32)settings->seed),
                  .workers = g_ptr_array_new_with_free_func (site_worker_free),
                  .by_id = g_hash_table_new (g_str_hash, g_str_equal),
                  .orders = g_array_new (FALSE, FALSE, sizeof (order_t)),
                  .calls = g_array_new (FALSE, FALSE, sizeof (call_t)),
                  .answers = g_array_new (FALSE, FALSE, sizeof (answer_t)),
                  .tickets = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                    g_free, NULL) };
  clk_fake_init (&site.clock, 1000);
  site.cell = cell_new (&cell_options, &site.clock.base, &actions, &site);
  queue_table_t *queues = make_queues ();
  cell_set_queues (site.cell, queues);
  queue_table_free (queues);
  for (uint32_t i = 0; i < (uint32_t)settings->workers; i++)
    add_worker (&site, i);
  cell_begin (site.cell, true);
  run_site (&site, WARM_UP_MS);
  cell_pass_stats_t from;
  cell_pass_stats (site.cell, &from);
  uint64_t starts = site.starts;
  uint64_t calls = site.advice_calls;
  site.pass_us = 0.0;
  run_site (&site, settings->run_ms);
  print_result (&site, &from, site.starts - starts, site.advice_calls - calls);
  site_clear (&site);
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
