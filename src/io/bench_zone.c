#include "bench_zone.h"

#include <string.h>

#define STEP_MS 50

typedef struct
{
  int64_t version;
  json_t *value; /* NULL: deleted */
} bench_row_t;

typedef struct
{
  char *task;
  uint32_t generation;
  int64_t end_ms; /* INT64_MAX: runs until it is stopped */
  bool stopped;
} bench_task_t;

typedef struct
{
  char *id;
  GArray *tasks; /* bench_task_t */
} bench_worker_t;

static int64_t
now_ms (const bench_zone_t *zone)
{
  return clk_now_ms (&zone->clock.base);
}

static void
row_free (gpointer data)
{
  bench_row_t *row = data;
  json_decref (row->value);
  g_free (row);
}

static void
task_clear (gpointer data)
{
  g_free (((bench_task_t *)data)->task);
}

static void
worker_free (gpointer data)
{
  bench_worker_t *worker = data;
  g_array_unref (worker->tasks);
  g_free (worker->id);
  g_free (worker);
}

static sched_row_t
get_row (const bench_zone_t *zone, const char *key)
{
  const bench_row_t *row = g_hash_table_lookup (zone->rows, key);
  sched_row_t out = { .key = key };
  if (row != NULL && row->value != NULL)
    {
      out.version = row->version;
      out.value = row->value;
    }
  return out;
}

static void
act_read (void *context, uint64_t tag, const char *const *keys, uint32_t count)
{
  bench_zone_t *zone = context;
  sched_row_t *rows = g_new (sched_row_t, count);
  for (uint32_t i = 0; i < count; i++)
    rows[i] = get_row (zone, keys[i]);
  sched_rows_read (zone->sched, tag, ERR_OK, rows, count);
  g_free (rows);
}

static void
act_scan (void *context, uint64_t tag, const char *prefix)
{
  bench_zone_t *zone = context;
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (sched_row_t));
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, zone->rows);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      sched_row_t row = get_row (zone, key);
      if (row.version > 0 && g_str_has_prefix (key, prefix))
        g_array_append_val (rows, row);
    }
  sched_rows_read (zone->sched, tag, ERR_OK, (const sched_row_t *)rows->data,
                   rows->len);
  g_array_unref (rows);
}

static int64_t
put_row (bench_zone_t *zone, const char *key, json_t *value)
{
  bench_row_t *row = g_hash_table_lookup (zone->rows, key);
  if (row == NULL)
    {
      row = g_new0 (bench_row_t, 1);
      g_hash_table_insert (zone->rows, g_strdup (key), row);
    }
  json_decref (row->value);
  row->value = value;
  return ++row->version;
}

static void
act_txn (void *context, uint64_t tag, const sched_row_t *checks,
         uint32_t check_count, const sched_row_t *writes, uint32_t write_count)
{
  bench_zone_t *zone = context;
  int64_t *versions = g_new (int64_t, write_count);
  err_kind_t kind = ERR_OK;
  for (uint32_t i = 0; i < check_count; i++)
    if (get_row (zone, checks[i].key).version != checks[i].version)
      kind = ERR_CONFLICT;
  for (uint32_t i = 0; kind == ERR_OK && i < write_count; i++)
    versions[i] = put_row (
        zone, writes[i].key,
        writes[i].value != NULL ? json_incref (writes[i].value) : NULL);
  if (kind == ERR_OK)
    zone->row_writes += write_count;
  sched_txn_ended (zone->sched, tag, kind, versions,
                   kind == ERR_OK ? write_count : 0);
  g_free (versions);
}

static void
act_start (void *context, uint64_t tag, const sched_worker_ref_t *ref,
           int64_t lease_ms, const sched_start_t *starts, uint32_t count)
{
  bench_zone_t *zone = context;
  bench_worker_t *worker = g_hash_table_lookup (zone->workers, ref->id);
  start_result_t *results = g_new0 (start_result_t, count);
  for (uint32_t i = 0; i < count; i++)
    {
      bench_task_t task
          = { .task = g_strdup (starts[i].task),
              .generation = starts[i].generation,
              .end_ms = starts[i].run_ms > 0 ? now_ms (zone) + starts[i].run_ms
                                             : INT64_MAX };
      g_array_append_val (worker->tasks, task);
      zone->tasks_started++;
      if (zone->on_start != NULL)
        zone->on_start (zone->context, starts[i].job, now_ms (zone));
    }
  sched_started (zone->sched, tag, ERR_OK, results, count);
  g_free (results);
}

static bench_task_t *
find_task (bench_worker_t *worker, const sched_stop_t *which)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      bench_task_t *task = &g_array_index (worker->tasks, bench_task_t, i);
      if (task->generation == which->generation
          && strcmp (task->task, which->task) == 0)
        return task;
    }
  return NULL;
}

static void
act_lease (void *context, uint64_t tag, const sched_worker_ref_t *ref,
           int64_t lease_ms, const sched_stop_t *acks, uint32_t count)
{
  bench_zone_t *zone = context;
  bench_worker_t *worker = g_hash_table_lookup (zone->workers, ref->id);
  for (uint32_t i = 0; i < count; i++)
    {
      bench_task_t *task = find_task (worker, &acks[i]);
      if (task != NULL)
        g_array_remove_index_fast (
            worker->tasks,
            (guint)(task - &g_array_index (worker->tasks, bench_task_t, 0)));
    }
  sched_task_report_t *reports
      = g_new0 (sched_task_report_t, worker->tasks->len + 1);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const bench_task_t *task
          = &g_array_index (worker->tasks, bench_task_t, i);
      reports[i].task = task->task;
      reports[i].generation = task->generation;
      reports[i].cpu_millis = -1;
      reports[i].memory_mib = -1;
      reports[i].state = task->stopped                   ? REPORT_STOPPED
                         : now_ms (zone) >= task->end_ms ? REPORT_ENDED
                                                         : REPORT_RUNNING;
    }
  sched_leased (zone->sched, tag, ERR_OK, ref->incarnation, reports,
                worker->tasks->len);
  g_free (reports);
}

static void
act_stop (void *context, uint64_t tag, const sched_worker_ref_t *ref,
          const sched_stop_t *stops, uint32_t count)
{
  bench_zone_t *zone = context;
  bench_worker_t *worker = g_hash_table_lookup (zone->workers, ref->id);
  stop_result_t *results = g_new0 (stop_result_t, count);
  for (uint32_t i = 0; i < count; i++)
    {
      bench_task_t *task = find_task (worker, &stops[i]);
      if (task != NULL)
        task->stopped = true;
      results[i] = task != NULL ? STOP_RESULT_STOPPED : STOP_RESULT_UNKNOWN;
    }
  sched_stopped (zone->sched, tag, ERR_OK, results, count);
  g_free (results);
}

static void
act_throttle (void *context, const sched_worker_ref_t *worker,
              const char *task, uint32_t generation, int64_t cpu_millis)
{
}

static void
act_answer (void *context, void *token, err_kind_t kind, const char *id,
            const char *message)
{
  bench_zone_t *zone = context;
  zone->answers++;
  zone->refused += kind != ERR_OK;
}

static const sched_actions_t actions
    = { act_read,  act_scan, act_txn,      act_start,
        act_lease, act_stop, act_throttle, act_answer };

bench_zone_t *
bench_zone_new (const char *pack_rule, uint32_t rows_per_s, uint32_t seed)
{
  bench_zone_t *zone = g_new0 (bench_zone_t, 1);
  clk_fake_init (&zone->clock, 1000000);
  zone->registry = counter_registry_new ();
  zone->rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  zone->workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, worker_free);
  sched_options_t options = { .entry_id = "e",
                              .incarnation = 1,
                              .zone = "z",
                              .pack_rule = pack_rule,
                              .rows_per_s = rows_per_s,
                              .seed = seed };
  zone->sched = sched_new (&options, &actions, zone, &zone->clock.base,
                           zone->registry);
  return zone;
}

void
bench_zone_free (bench_zone_t *zone)
{
  sched_free (zone->sched);
  counter_registry_free (zone->registry);
  g_hash_table_unref (zone->rows);
  g_hash_table_unref (zone->workers);
  g_free (zone);
}

void
bench_zone_add_workers (bench_zone_t *zone, uint32_t count, uint32_t per_rack,
                        resource_t capacity)
{
  guint first = g_hash_table_size (zone->workers);
  for (guint i = first; i < first + count; i++)
    {
      char rack[16];
      g_snprintf (rack, sizeof rack, "r%u", i / per_rack);
      bench_worker_t *worker = g_new0 (bench_worker_t, 1);
      worker->id = g_strdup_printf ("w%u", i);
      worker->tasks = g_array_new (FALSE, TRUE, sizeof (bench_task_t));
      g_array_set_clear_func (worker->tasks, task_clear);
      g_hash_table_insert (zone->workers, worker->id, worker);
      sched_instance_t instance = { .id = worker->id,
                                    .rack = rack,
                                    .url = "http://127.0.0.1",
                                    .incarnation = 1,
                                    .state = SCHED_LIVE,
                                    .capacity = capacity };
      sched_worker_set (zone->sched, &instance);
    }
  sched_instance_list_read (zone->sched);
}

void
bench_zone_put_row (bench_zone_t *zone, const char *key, json_t *value)
{
  put_row (zone, key, value);
}

void
bench_zone_run (bench_zone_t *zone, int64_t ms)
{
  for (int64_t done_ms = 0; done_ms < ms; done_ms += STEP_MS)
    {
      clk_fake_advance_ms (&zone->clock, STEP_MS);
      sched_tick (zone->sched);
    }
}

void
bench_zone_submit (bench_zone_t *zone, const char *id, const char *kind,
                   const char *class, const char *team, uint32_t task_count,
                   resource_t task_size, int64_t run_ms)
{
  json_t *json = json_pack ("{s:s,s:s,s:s,s:s,s:I,s:o,s:s,s:I}", "id", id,
                            "kind", kind, "class", class, "team", team,
                            "tasks", (json_int_t)task_count, "size",
                            resource_to_json (task_size), "command", "run",
                            "run_ms", (json_int_t)run_ms);
  sched_submit (zone->sched, json, NULL);
  json_decref (json);
}
