#include "tasks.h"

#include "log.h"
#include "loop.h"

#include <string.h>

#define TICK_PERIOD_MS 50

struct tasks
{
  sched_t *sched;
  table_t *table;
  workers_t *workers;
  loop_timer_t *timer;
  char *entry, *zone;
  bool draining;
  GHashTable *pending; /* pending_t, owned */
  /* Contexts of the calls in flight to the table service and the workers.  */
  GHashTable *calls; /* call_t, owned */
  GHashTable *reads; /* read_t, owned */
};

/* A submission or cancel that sched has not answered yet.  */
typedef struct
{
  tasks_t *tasks;
  tasks_done_t done;
  void *context;
} pending_t;

/* A read of several rows, each of which is a call of its own.  */
typedef struct
{
  tasks_t *tasks;
  uint64_t tag;
  uint32_t rows_left;
  err_kind_t kind;
  GPtrArray *keys; /* char * */
  GArray *rows;    /* sched_row_t, values owned */
  struct row_read *row_reads;
} read_t;

typedef struct row_read
{
  read_t *read;
  uint32_t index;
} row_read_t;

typedef struct
{
  tasks_t *tasks;
  uint64_t tag;
} call_t;

static call_t *
call_new (tasks_t *tasks, uint64_t tag)
{
  call_t *call = g_new (call_t, 1);
  call->tasks = tasks;
  call->tag = tag;
  g_hash_table_add (tasks->calls, call);
  return call;
}

static void
read_free (gpointer data)
{
  read_t *read = data;
  for (guint i = 0; i < read->rows->len; i++)
    json_decref (g_array_index (read->rows, sched_row_t, i).value);
  g_array_unref (read->rows);
  g_ptr_array_unref (read->keys);
  g_free (read->row_reads);
  g_free (read);
}

static void
finish_read (read_t *read)
{
  sched_rows_read (read->tasks->sched, read->tag, read->kind,
                   (const sched_row_t *)read->rows->data, read->rows->len);
  g_hash_table_remove (read->tasks->reads, read);
}

static void
call_free (call_t *call)
{
  g_hash_table_remove (call->tasks->calls, call);
}

static void
on_row (void *context, err_kind_t kind, const table_row_t *rows,
        uint32_t count)
{
  row_read_t *row_read = context;
  read_t *read = row_read->read;
  sched_row_t *row = &g_array_index (read->rows, sched_row_t, row_read->index);
  if (kind != ERR_OK)
    read->kind = kind;
  else if (count > 0 && rows[0].version > 0)
    {
      row->version = rows[0].version;
      row->value = json_incref (rows[0].value);
    }
  if (--read->rows_left == 0)
    finish_read (read);
}

static void
act_read (void *context, uint64_t tag, const char *const *keys, uint32_t count)
{
  tasks_t *tasks = context;
  read_t *read = g_new0 (read_t, 1);
  read->tasks = tasks;
  read->tag = tag;
  read->rows_left = count;
  read->row_reads = g_new0 (row_read_t, count + 1);
  g_hash_table_add (tasks->reads, read);
  read->keys = g_ptr_array_new_with_free_func (g_free);
  read->rows = g_array_new (FALSE, TRUE, sizeof (sched_row_t));
  if (count == 0)
    {
      finish_read (read);
      return;
    }
  for (uint32_t i = 0; i < count; i++)
    {
      g_ptr_array_add (read->keys, g_strdup (keys[i]));
      sched_row_t row = { .key = read->keys->pdata[i] };
      g_array_append_val (read->rows, row);
    }
  for (uint32_t i = 0; i < count; i++)
    {
      row_read_t *row_read = &read->row_reads[i];
      row_read->read = read;
      row_read->index = i;
      tasks->table->ops->get (tasks->table, read->keys->pdata[i], on_row,
                              row_read);
    }
}

static void
on_scan (void *context, err_kind_t kind, const table_row_t *rows,
         uint32_t count)
{
  call_t *call = context;
  sched_row_t *copy = g_new (sched_row_t, count + 1);
  for (uint32_t i = 0; i < count; i++)
    copy[i] = (sched_row_t){ rows[i].key, rows[i].version, rows[i].value };
  sched_rows_read (call->tasks->sched, call->tag, kind, copy, count);
  g_free (copy);
  call_free (call);
}

static void
act_scan (void *context, uint64_t tag, const char *prefix)
{
  tasks_t *tasks = context;
  tasks->table->ops->scan (tasks->table, prefix, on_scan,
                           call_new (tasks, tag));
}

static void
on_txn (void *context, err_kind_t kind, const int64_t *versions,
        uint32_t count)
{
  call_t *call = context;
  sched_txn_ended (call->tasks->sched, call->tag, kind, versions, count);
  call_free (call);
}

static table_row_t *
to_table_rows (const sched_row_t *rows, uint32_t count)
{
  table_row_t *copy = g_new (table_row_t, count + 1);
  for (uint32_t i = 0; i < count; i++)
    copy[i] = (table_row_t){ rows[i].key, rows[i].version, rows[i].value };
  return copy;
}

static void
act_txn (void *context, uint64_t tag, const sched_row_t *checks,
         uint32_t check_count, const sched_row_t *writes, uint32_t write_count)
{
  tasks_t *tasks = context;
  table_row_t *check_rows = to_table_rows (checks, check_count);
  table_row_t *write_rows = to_table_rows (writes, write_count);
  tasks->table->ops->txn (tasks->table, check_rows, check_count, write_rows,
                          write_count, on_txn, call_new (tasks, tag));
  g_free (check_rows);
  g_free (write_rows);
}

static void
on_started (void *context, err_kind_t kind,
            const workers_start_result_t *results, uint32_t count)
{
  static const start_result_t map[]
      = { [WORKERS_RUNNING] = START_RUNNING,
          [WORKERS_STALE] = START_STALE,
          [WORKERS_NO_CAPACITY] = START_NO_CAPACITY,
          [WORKERS_WRONG_INCARNATION] = START_WRONG_INCARNATION,
          [WORKERS_FAILED] = START_FAILED };
  call_t *call = context;
  start_result_t *copy = g_new (start_result_t, count + 1);
  for (uint32_t i = 0; i < count; i++)
    copy[i] = map[results[i]];
  sched_started (call->tasks->sched, call->tag, kind, copy, count);
  g_free (copy);
  call_free (call);
}

static void
act_start (void *context, uint64_t tag, const sched_worker_ref_t *worker,
           int64_t lease_ms, const sched_start_t *starts, uint32_t count)
{
  tasks_t *tasks = context;
  workers_start_t *copy = g_new0 (workers_start_t, count);
  for (uint32_t i = 0; i < count; i++)
    copy[i] = (workers_start_t){ .task = starts[i].task,
                                 .generation = starts[i].generation,
                                 .job = starts[i].job,
                                 .kind = job_kind_name (starts[i].kind),
                                 .size = starts[i].size,
                                 .command = starts[i].command,
                                 .run_ms = starts[i].run_ms };
  tasks->workers->ops->start (tasks->workers, worker->url, worker->incarnation,
                              lease_ms, copy, count, on_started,
                              call_new (tasks, tag));
  g_free (copy);
}

static void
on_leased (void *context, err_kind_t kind, int64_t incarnation,
           const workers_task_t *list, uint32_t count)
{
  static const report_state_t map[]
      = { [WORKERS_TASK_RUNNING] = REPORT_RUNNING,
          [WORKERS_TASK_ENDED] = REPORT_ENDED,
          [WORKERS_TASK_FAILED] = REPORT_FAILED,
          [WORKERS_TASK_STOPPED] = REPORT_STOPPED };
  call_t *call = context;
  sched_task_report_t *copy = g_new0 (sched_task_report_t, count + 1);
  for (uint32_t i = 0; i < count; i++)
    copy[i]
        = (sched_task_report_t){ .task = list[i].task,
                                 .generation = (uint32_t)list[i].generation,
                                 .state = map[list[i].state],
                                 .exit = list[i].exit,
                                 .cpu_millis = list[i].cpu_millis,
                                 .memory_mib = list[i].memory_mib,
                                 .usage_age_ms = list[i].usage_age_ms };
  sched_leased (call->tasks->sched, call->tag, kind, incarnation, copy, count);
  g_free (copy);
  call_free (call);
}

static void
act_lease (void *context, uint64_t tag, const sched_worker_ref_t *worker,
           int64_t lease_ms, const sched_stop_t *acks, uint32_t count)
{
  tasks_t *tasks = context;
  workers_task_id_t *copy = g_new0 (workers_task_id_t, count + 1);
  for (uint32_t i = 0; i < count; i++)
    copy[i] = (workers_task_id_t){ acks[i].task, acks[i].generation };
  tasks->workers->ops->lease (tasks->workers, worker->url, worker->incarnation,
                              lease_ms, copy, count, on_leased,
                              call_new (tasks, tag));
  g_free (copy);
}

static void
on_stopped (void *context, err_kind_t kind,
            const workers_stop_result_t *results, uint32_t count)
{
  static const stop_result_t map[] = { [WORKERS_STOP_STOPPED] = STOP_STOPPED,
                                       [WORKERS_STOP_ENDED] = STOP_ENDED,
                                       [WORKERS_STOP_STOPPING] = STOP_STOPPING,
                                       [WORKERS_STOP_UNKNOWN] = STOP_UNKNOWN };
  call_t *call = context;
  stop_result_t *copy = g_new (stop_result_t, count + 1);
  for (uint32_t i = 0; i < count; i++)
    copy[i] = map[results[i]];
  sched_stopped (call->tasks->sched, call->tag, kind, copy, count);
  g_free (copy);
  call_free (call);
}

static void
act_stop (void *context, uint64_t tag, const sched_worker_ref_t *worker,
          const sched_stop_t *stops, uint32_t count)
{
  static const workers_stop_mode_t map[]
      = { [STOP_GRACEFUL] = WORKERS_STOP_GRACEFUL,
          [STOP_NOW] = WORKERS_STOP_NOW,
          [STOP_CHECKPOINT] = WORKERS_STOP_CHECKPOINT };
  tasks_t *tasks = context;
  workers_stop_t *copy = g_new0 (workers_stop_t, count);
  for (uint32_t i = 0; i < count; i++)
    copy[i] = (workers_stop_t){ stops[i].task, stops[i].generation,
                                map[stops[i].mode] };
  tasks->workers->ops->stop (tasks->workers, worker->url, worker->incarnation,
                             copy, count, on_stopped, call_new (tasks, tag));
  g_free (copy);
}

static void
on_throttled (void *context, err_kind_t kind)
{
  if (kind != ERR_OK)
    log_event (LOG_WARN, "throttle_failed", "error", err_name (kind), NULL);
}

static void
act_throttle (void *context, const sched_worker_ref_t *worker,
              const char *task, uint32_t generation, int64_t cpu_millis)
{
  tasks_t *tasks = context;
  tasks->workers->ops->throttle (tasks->workers, worker->url, task, generation,
                                 cpu_millis, on_throttled, NULL);
}

static void
act_answer (void *context, void *token, err_kind_t kind, const char *id,
            const char *message)
{
  tasks_t *tasks = context;
  pending_t *pending = token;
  tasks_done_t done = pending->done;
  void *done_context = pending->context;
  g_hash_table_remove (tasks->pending, pending);
  if (kind != ERR_OK)
    log_event (LOG_INFO, "job_refused", "job", id != NULL ? id : "-", "error",
               err_name (kind), "reason", message, NULL);
  done (done_context, kind, id, message);
}

static const sched_actions_t actions
    = { act_read,  act_scan, act_txn,      act_start,
        act_lease, act_stop, act_throttle, act_answer };

static void
on_tick (void *context)
{
  tasks_t *tasks = context;
  sched_tick (tasks->sched);
}

tasks_t *
tasks_new (const tasks_options_t *options, struct ev_loop *loop,
           const clk_t *clock, counter_registry_t *registry, table_t *table,
           workers_t *workers)
{
  sched_options_t sched_options = { .entry_id = options->entry,
                                    .incarnation = options->incarnation,
                                    .zone = options->zone,
                                    .pack_rule = options->pack_rule,
                                    .rows_per_s = options->rows_per_s,
                                    .seed = options->seed };
  tasks_t *tasks = g_new0 (tasks_t, 1);
  tasks->table = table;
  tasks->workers = workers;
  tasks->entry = g_strdup (options->entry);
  tasks->zone = g_strdup (options->zone);
  tasks->pending = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  tasks->calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  tasks->reads = g_hash_table_new_full (NULL, NULL, read_free, NULL);
  tasks->sched = sched_new (&sched_options, &actions, tasks, clock, registry);
  tasks->timer = loop_timer_new (loop, TICK_PERIOD_MS, on_tick, tasks);
  return tasks;
}

void
tasks_free (tasks_t *tasks)
{
  if (tasks == NULL)
    return;
  loop_timer_free (tasks->timer);
  sched_free (tasks->sched);
  g_hash_table_unref (tasks->pending);
  g_hash_table_unref (tasks->calls);
  g_hash_table_unref (tasks->reads);
  g_free (tasks->entry);
  g_free (tasks->zone);
  g_free (tasks);
}

void
tasks_instance_changed (tasks_t *tasks, const instance_t *instance)
{
  static const sched_instance_state_t states[]
      = { [INSTANCE_LIVE] = SCHED_LIVE,
          [INSTANCE_LEAVING] = SCHED_LEAVING,
          [INSTANCE_GONE] = SCHED_GONE };
  if (instance->kind == INSTANCE_ENTRY
      && strcmp (instance->id, tasks->entry) != 0)
    {
      /* Whether entries of the own zone are live is known from their
         heartbeats; see tasks_set_entry_live.  */
      if (strcmp (instance->zone, tasks->zone) != 0
          || instance->state == INSTANCE_GONE)
        sched_entry_set (tasks->sched, instance->id, instance->zone,
                         instance->state == INSTANCE_LIVE);
      return;
    }
  if (instance->kind != INSTANCE_WORKER
      || strcmp (instance->zone, tasks->zone) != 0)
    return;
  sched_instance_t worker = { .id = instance->id,
                              .rack = instance->rack,
                              .url = instance->url,
                              .incarnation = instance->incarnation,
                              .state = states[instance->state],
                              .capacity = instance->capacity };
  sched_worker_set (tasks->sched, &worker);
}

void
tasks_instance_list_read (tasks_t *tasks)
{
  sched_list_read (tasks->sched);
}

void
tasks_set_entry_live (tasks_t *tasks, const char *id, const char *zone,
                      bool live)
{
  if (strcmp (id, tasks->entry) != 0)
    sched_entry_set (tasks->sched, id, zone, live);
}

void
tasks_drain (tasks_t *tasks)
{
  tasks->draining = true;
  sched_entry_set (tasks->sched, tasks->entry, tasks->zone, false);
}

bool
tasks_drained (const tasks_t *tasks)
{
  return sched_idle (tasks->sched);
}

void
tasks_submit (tasks_t *tasks, const json_t *spec, tasks_done_t done,
              void *context)
{
  if (tasks->draining)
    {
      done (context, ERR_DRAINING, NULL, "this entry is about to stop");
      return;
    }
  pending_t *pending = g_new (pending_t, 1);
  *pending = (pending_t){ tasks, done, context };
  g_hash_table_add (tasks->pending, pending);
  sched_submit (tasks->sched, spec, pending);
}

void
tasks_cancel (tasks_t *tasks, const char *id, tasks_done_t done, void *context)
{
  if (tasks->draining)
    {
      done (context, ERR_DRAINING, id, "this entry is about to stop");
      return;
    }
  pending_t *pending = g_new (pending_t, 1);
  *pending = (pending_t){ tasks, done, context };
  g_hash_table_add (tasks->pending, pending);
  sched_cancel (tasks->sched, id, pending);
}

sched_t *
tasks_sched (tasks_t *tasks)
{
  return tasks->sched;
}
