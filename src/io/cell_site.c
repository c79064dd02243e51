#include "cell_site.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define SAVE_MS 10
#define CALL_MS 3
#define LEASE_MS 6000
#define TICKET_MS 2000
#define RETENTION_MS 60000
#define MAX_ID_BYTES 24u

typedef struct
{
  char task[WORK_NAME_BYTES];
  uint32_t run;
  int64_t end_ms; /* 0: does not end by itself, or its gang is not complete */
  end_kind_t how; /* once it has ended */
  uint64_t number;
} run_t;

typedef struct
{
  char id[MAX_ID_BYTES];
  char address[MAX_ID_BYTES];
  resource_t capacity;
  double speed;
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
  int64_t task_ms;
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

/* A job that was handed in; WORK belongs to the cell.  */
typedef struct
{
  uint32_t queue;
  uint32_t step_count;
  uint32_t gang_counts[]; /* by step, 0: no gang */
} site_job_t;

struct cell_site
{
  cell_site_options_t options;
  clk_fake_t clock;
  cell_t *cell;
  GPtrArray *workers;   /* site_worker_t, owned */
  GHashTable *by_id;    /* site_worker_t, borrowed */
  GHashTable *queue_at; /* name, owned -> index */
  GArray *shares;       /* double, by index of the queue */
  GHashTable *jobs;     /* id, owned -> site_job_t, owned */
  GArray *orders;       /* order_t */
  GArray *calls;        /* call_t */
  GArray *answers;      /* answer_t */
  GHashTable *tickets;  /* "STEP WORKER", owned -> index of the last answer */
  int64_t save_done_ms;
  int64_t busy_until_ms; /* the owner is in a pass until then */
  cell_site_stats_t stats;
};

int64_t
cell_site_now_ms (const cell_site_t *site)
{
  return clk_now_ms (&site->clock.base);
}

cell_t *
cell_site_cell (const cell_site_t *site)
{
  return site->cell;
}

void
cell_site_stats (const cell_site_t *site, cell_site_stats_t *stats)
{
  *stats = site->stats;
}

static double
processor_us (void)
{
  struct timespec now;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &now);
  return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void
add_decision (cell_site_t *site, const char *text)
{
  site->stats.decisions
      = site->stats.decisions * 16777619u ^ g_str_hash (text);
}

static void
on_save (void *context, const cell_record_t *records, uint32_t count)
{
  cell_site_t *site = context;
  site->save_done_ms = cell_site_now_ms (site) + SAVE_MS;
}

/* Number between 0 and 1 that depends on TEXT and SEED only.  */
static double
draw (const char *text, uint64_t seed)
{
  return (double)(XXH64 (text, strlen (text), seed) >> 11)
         / (double)(UINT64_C (1) << 53);
}

bool
cell_site_allows (const char *step, uint32_t at, double share)
{
  return draw (step, at + 1) < share;
}

/* The job and the step of TASK.  */
static const site_job_t *
job_of (const cell_site_t *site, const char *task, uint32_t *step)
{
  work_name_t name;
  if (!work_name_parse (task, &name))
    return NULL;
  *step = name.step;
  return g_hash_table_lookup (site->jobs, name.id);
}

/* Members of the gang to which TASK belongs, 0 if it does not.  */
static uint32_t
gang_count (const cell_site_t *site, const char *task)
{
  uint32_t step = 0;
  const site_job_t *job = job_of (site, task, &step);
  return job != NULL && step < job->step_count ? job->gang_counts[step] : 0;
}

static char *
step_of_task (const char *task)
{
  return g_strndup (task, (gsize)(strrchr (task, '.') - task));
}

static void
add_order (cell_site_t *site, const cell_worker_ref_t *ref, const char *task,
           uint32_t run, bool stop, int64_t task_ms)
{
  order_t order = { .at_ms = cell_site_now_ms (site) + CALL_MS,
                    .worker = g_hash_table_lookup (site->by_id, ref->id),
                    .stop = stop };
  order.run.run = run;
  g_strlcpy (order.run.task, task, sizeof order.run.task);
  char *step = step_of_task (task);
  double factor
      = draw (gang_count (site, task) > 0 ? step : task, site->options.seed);
  factor = 1.0 + site->options.uneven * (2.0 * factor - 1.0);
  order.task_ms = (int64_t)((double)task_ms * factor / order.worker->speed);
  g_free (step);
  g_array_append_val (site->orders, order);
}

static char *
ticket_key (const char *step, const char *worker)
{
  return g_strconcat (step, " ", worker, NULL);
}

static void
note_ticket_used (cell_site_t *site, const char *task, const char *worker)
{
  char *step = step_of_task (task);
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
  cell_site_t *site = context;
  note_ticket_used (site, order->task, worker->id);
  site->stats.starts++;
  add_decision (site, order->task);
  add_decision (site, worker->id);
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
  cell_site_t *site = context;
  site_worker_t *worker = g_hash_table_lookup (site->by_id, ref->id);
  worker->polled = true;
  worker->poll_sent_ms = cell_site_now_ms (site);
  worker->poll_until_ms = cell_site_now_ms (site) + MAX (wait_ms, CALL_MS);
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
  cell_site_t *site = context;
  if (site->calls->len >= site->options.callers)
    return false;
  call_t call = { .at_ms = cell_site_now_ms (site) + (int64_t)expected_ms,
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
  site->stats.advice_calls++;
  return true;
}

static void
on_delete_job (void *context, const char *id)
{
  cell_site_t *site = context;
  g_hash_table_remove (site->jobs, id);
}

static void
on_log (void *context, const char *event, const char *subject,
        const char *detail)
{
  const cell_site_t *site = context;
  if (site->options.logged != NULL)
    site->options.logged (site->options.context, event, subject);
}

static const cell_actions_t actions
    = { on_save, on_start,  on_stop,       on_poll,
        on_pace, on_advise, on_delete_job, on_log };

/* Lets the gang of the run of ORDER begin if its last member is there: all of
   them take as long as the slowest.  */
static void
begin_gang (cell_site_t *site, const order_t *order, uint32_t count)
{
  char *step = step_of_task (order->run.task);
  GPtrArray *members = g_ptr_array_new ();
  size_t length = strlen (step);
  int64_t longest_ms = 0;
  for (guint i = 0; i < site->workers->len; i++)
    {
      const site_worker_t *worker = site->workers->pdata[i];
      for (guint j = 0; j < worker->runs->len; j++)
        {
          run_t *run = &g_array_index (worker->runs, run_t, j);
          if (run->run != order->run.run
              || strncmp (run->task, step, length) != 0
              || run->task[length] != '.')
            continue;
          g_ptr_array_add (members, run);
          /* Until the gang is complete NUMBER has the duration.  */
          longest_ms = MAX (longest_ms, (int64_t)run->number);
        }
    }
  for (guint i = 0; i < members->len && members->len >= count; i++)
    ((run_t *)members->pdata[i])->end_ms
        = cell_site_now_ms (site) + longest_ms;
  g_ptr_array_unref (members);
  g_free (step);
}

static void
carry_out_start (cell_site_t *site, order_t *order)
{
  uint32_t count = gang_count (site, order->run.task);
  if (count > 0)
    order->run.number = (uint64_t)order->task_ms;
  else if (order->task_ms > 0)
    order->run.end_ms = cell_site_now_ms (site) + order->task_ms;
  g_array_append_val (order->worker->runs, order->run);
  if (count > 0)
    begin_gang (site, order, count);
  cell_start_answered (site->cell, order->worker->id, order->run.task,
                       order->run.run, ORDER_ACCEPTED, 0);
}

static void
carry_out_stop (cell_site_t *site, const order_t *order)
{
  for (guint i = 0; i < order->worker->runs->len; i++)
    {
      run_t *run = &g_array_index (order->worker->runs, run_t, i);
      if (strcmp (run->task, order->run.task) != 0)
        continue;
      run->end_ms = cell_site_now_ms (site);
      run->how = END_STOPPED;
    }
  cell_stop_answered (site->cell, order->worker->id, order->run.task,
                      order->run.run, ORDER_ACCEPTED);
}

/* Delivers the orders that have arrived.  */
static void
deliver_orders (cell_site_t *site)
{
  while (site->orders->len > 0
         && g_array_index (site->orders, order_t, 0).at_ms
                <= cell_site_now_ms (site))
    {
      order_t order = g_array_index (site->orders, order_t, 0);
      g_array_remove_index (site->orders, 0);
      if (order.stop)
        carry_out_stop (site, &order);
      else
        carry_out_start (site, &order);
    }
}

static void
end_runs (cell_site_t *site, site_worker_t *worker)
{
  for (guint i = worker->runs->len; i > 0; i--)
    {
      run_t run = g_array_index (worker->runs, run_t, i - 1);
      if (run.end_ms == 0 || run.end_ms > cell_site_now_ms (site))
        continue;
      run.number = ++worker->last_end;
      g_array_append_val (worker->ends, run);
      g_array_remove_index (worker->runs, i - 1);
    }
}

/* Answers an open poll if there is an end to list or its wait is over.  */
static void
answer_poll (cell_site_t *site, site_worker_t *worker)
{
  int64_t now_ms = cell_site_now_ms (site);
  if (!worker->polled || now_ms < worker->poll_sent_ms + CALL_MS
      || (worker->ends->len == 0 && now_ms < worker->poll_until_ms))
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
          .clock_ms = now_ms,
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

/* Share of the workers that may run STEP.  */
static double
share_of (const cell_site_t *site, const char *step)
{
  char *task = g_strconcat (step, ".0", NULL);
  uint32_t number = 0;
  const site_job_t *job = job_of (site, task, &number);
  g_free (task);
  return job != NULL ? g_array_index (site->shares, double, job->queue) : 0.0;
}

static void
answer_call (cell_site_t *site, const call_t *call)
{
  answer_t answer = { .answered_ms = call->at_ms };
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (advice_row_t));
  double share = share_of (site, call->step);
  for (guint i = 0; i < call->workers->len; i++)
    {
      advice_row_t row = { call->workers->pdata[i], "ticket" };
      if (!cell_site_allows (
              call->step, (uint32_t)strtoul (row.worker + 1, NULL, 10), share))
        continue;
      g_array_append_val (rows, row);
      g_hash_table_insert (site->tickets, ticket_key (call->step, row.worker),
                           GUINT_TO_POINTER (site->answers->len));
    }
  g_array_append_val (site->answers, answer);
  cell_advice_answered (site->cell, call->step, call->call, true,
                        (const advice_row_t *)(const void *)rows->data,
                        rows->len,
                        call->at_ms + TICKET_MS - cell_site_now_ms (site));
  g_array_unref (rows);
}

/* Answers the calls for advice that are over.  */
static void
answer_calls (cell_site_t *site)
{
  for (guint i = site->calls->len; i > 0; i--)
    {
      call_t call = g_array_index (site->calls, call_t, i - 1);
      if (call.at_ms > cell_site_now_ms (site))
        continue;
      g_array_remove_index (site->calls, i - 1);
      answer_call (site, &call);
      g_ptr_array_unref (call.workers);
    }
}

void
cell_site_submit (cell_site_t *site, work_job_t *job)
{
  site_job_t *copy
      = g_malloc0 (sizeof *copy + job->step_count * sizeof (uint32_t));
  copy->queue
      = GPOINTER_TO_UINT (g_hash_table_lookup (site->queue_at, job->queue));
  copy->step_count = job->step_count;
  for (uint32_t i = 0; i < job->step_count; i++)
    copy->gang_counts[i] = job->steps[i].gang ? job->steps[i].count : 0;
  g_hash_table_insert (site->jobs, g_strdup (job->id), copy);
  job->accepted_ms = clk_wall_ms (&site->clock.base);
  cell_add_job (site->cell, job);
}

/* Runs the cell.  Returns how many steps waited in the pass, -1: none was.  */
static int64_t
run_cell (cell_site_t *site)
{
  cell_pass_stats_t before;
  cell_pass_stats_t after;
  cell_pass_stats (site->cell, &before);
  double begun_us = processor_us ();
  cell_run (site->cell, clk_wall_ms (&site->clock.base));
  double took_us = processor_us () - begun_us;
  cell_pass_stats (site->cell, &after);
  if (after.passes == before.passes)
    return -1;
  site->stats.pass_us += took_us;
  site->busy_until_ms
      = cell_site_now_ms (site)
        + (int64_t)(after.workers_looked_at - before.workers_looked_at)
              * site->options.look_ns / 1000000;
  return (int64_t)(after.groups - before.groups);
}

int64_t
cell_site_advance (cell_site_t *site)
{
  clk_fake_advance_ms (&site->clock, 1);
  for (guint i = 0; i < site->workers->len; i++)
    end_runs (site, site->workers->pdata[i]);
  if (cell_site_now_ms (site) < site->busy_until_ms)
    return -1;
  if (site->save_done_ms != 0 && cell_site_now_ms (site) >= site->save_done_ms)
    {
      site->save_done_ms = 0;
      cell_save_done (site->cell);
    }
  /* Heartbeats confirm the ownership between saves.  */
  cell_ownership_confirmed (site->cell, cell_site_now_ms (site) - 1);
  deliver_orders (site);
  for (guint i = 0; i < site->workers->len; i++)
    answer_poll (site, site->workers->pdata[i]);
  answer_calls (site);
  return run_cell (site);
}

static void
site_worker_free (void *data)
{
  site_worker_t *worker = data;
  g_array_unref (worker->runs);
  g_array_unref (worker->ends);
  g_free (worker);
}

void
cell_site_add_worker (cell_site_t *site, resource_t capacity, double speed,
                      const char *rack, const char *const *labels)
{
  site_worker_t *worker = g_new0 (site_worker_t, 1);
  g_snprintf (worker->id, sizeof worker->id, "w%u", site->workers->len);
  g_snprintf (worker->address, sizeof worker->address, "a%u",
              site->workers->len);
  worker->capacity = capacity;
  worker->speed = speed;
  worker->runs = g_array_new (FALSE, FALSE, sizeof (run_t));
  worker->ends = g_array_new (FALSE, FALSE, sizeof (run_t));
  g_ptr_array_add (site->workers, worker);
  g_hash_table_insert (site->by_id, worker->id, worker);
  worker_row_t row = { .id = worker->id,
                       .address = worker->address,
                       .service = "service",
                       .machine = worker->id,
                       .rack = rack,
                       .labels = labels,
                       .label_count = g_strv_length ((char **)labels),
                       .capacity = capacity,
                       .remaining_ms = -1,
                       .start_ms = 1 };
  cell_worker_listed (site->cell, &row);
}

void
cell_site_begin (cell_site_t *site)
{
  const cell_inheritance_t inheritance = { 0 };
  cell_begin (site->cell, &inheritance);
}

double
cell_site_useless_calls (const cell_site_t *site, int64_t from_ms)
{
  uint32_t expired = 0;
  uint32_t useless = 0;
  for (guint i = 0; i < site->answers->len; i++)
    {
      const answer_t *answer = &g_array_index (site->answers, answer_t, i);
      if (answer->answered_ms < from_ms
          || answer->answered_ms + TICKET_MS > cell_site_now_ms (site))
        continue;
      expired++;
      useless += !answer->used;
    }
  return (double)useless / (double)MAX (expired, 1u);
}

cell_site_t *
cell_site_new (const cell_site_options_t *options, const queue_table_t *queues,
               const double *allowed_shares)
{
  const cell_options_t cell_options
      = { .max_lease_ms = LEASE_MS, .retention_ms = RETENTION_MS };
  cell_site_t *site = g_new0 (cell_site_t, 1);
  site->options = *options;
  site->workers = g_ptr_array_new_with_free_func (site_worker_free);
  site->by_id = g_hash_table_new (g_str_hash, g_str_equal);
  site->queue_at
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  site->shares = g_array_new (FALSE, FALSE, sizeof (double));
  site->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  site->orders = g_array_new (FALSE, FALSE, sizeof (order_t));
  site->calls = g_array_new (FALSE, FALSE, sizeof (call_t));
  site->answers = g_array_new (FALSE, FALSE, sizeof (answer_t));
  site->tickets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < queues->queues->len; i++)
    {
      const queue_t *queue = queues->queues->pdata[i];
      g_hash_table_insert (site->queue_at, g_strdup (queue->name),
                           GUINT_TO_POINTER (i));
    }
  g_array_append_vals (site->shares, allowed_shares, queues->queues->len);
  clk_fake_init (&site->clock, 1000);
  site->cell = cell_new (&cell_options, &site->clock.base, &actions, site);
  cell_set_queues (site->cell, queues);
  return site;
}

void
cell_site_free (cell_site_t *site)
{
  for (guint i = 0; i < site->calls->len; i++)
    g_ptr_array_unref (g_array_index (site->calls, call_t, i).workers);
  cell_free (site->cell);
  g_hash_table_unref (site->by_id);
  g_hash_table_unref (site->queue_at);
  g_hash_table_unref (site->jobs);
  g_hash_table_unref (site->tickets);
  g_ptr_array_unref (site->workers);
  g_array_unref (site->shares);
  g_array_unref (site->orders);
  g_array_unref (site->calls);
  g_array_unref (site->answers);
  g_free (site);
}
