#include "sched_io.h"

#include "log.h"
#include "loop.h"

#include <string.h>

#define TICK_PERIOD_MS 50

struct sched_io
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
  sched_io_t *sched_io;
  sched_io_done_t done;
  void *context;
} pending_t;

/* A read of several rows, each of which is a call of its own.  */
typedef struct
{
  sched_io_t *sched_io;
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
  sched_io_t *sched_io;
  uint64_t tag;
} call_t;

static call_t *
call_new (sched_io_t *sched_io, uint64_t tag)
{
  call_t *call = g_new (call_t, 1);
  call->sched_io = sched_io;
  call->tag = tag;
  g_hash_table_add (sched_io->calls, call);
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
  sched_rows_read (read->sched_io->sched, read->tag, read->kind,
                   (const sched_row_t *)read->rows->data, read->rows->len);
  g_hash_table_remove (read->sched_io->reads, read);
}

static void
call_free (call_t *call)
{
  g_hash_table_remove (call->sched_io->calls, call);
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
  sched_io_t *sched_io = context;
  read_t *read = g_new0 (read_t, 1);
  read->sched_io = sched_io;
  read->tag = tag;
  read->rows_left = count;
  read->row_reads = g_new0 (row_read_t, count + 1);
  g_hash_table_add (sched_io->reads, read);
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
      sched_io->table->ops->get (sched_io->table, read->keys->pdata[i], on_row,
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
  sched_rows_read (call->sched_io->sched, call->tag, kind, copy, count);
  g_free (copy);
  call_free (call);
}

static void
act_scan (void *context, uint64_t tag, const char *prefix)
{
  sched_io_t *sched_io = context;
  sched_io->table->ops->scan (sched_io->table, prefix, on_scan,
                              call_new (sched_io, tag));
}

static void
on_txn (void *context, err_kind_t kind, const int64_t *versions,
        uint32_t count)
{
  call_t *call = context;
  sched_txn_ended (call->sched_io->sched, call->tag, kind, versions, count);
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
  sched_io_t *sched_io = context;
  table_row_t *check_rows = to_table_rows (checks, check_count);
  table_row_t *write_rows = to_table_rows (writes, write_count);
  sched_io->table->ops->txn (sched_io->table, check_rows, check_count,
                             write_rows, write_count, on_txn,
                             call_new (sched_io, tag));
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
  sched_started (call->sched_io->sched, call->tag, kind, copy, count);
  g_free (copy);
  call_free (call);
}

static void
act_start (void *context, uint64_t tag, const sched_worker_ref_t *worker,
           int64_t lease_ms, const sched_start_t *starts, uint32_t count)
{
  sched_io_t *sched_io = context;
  workers_start_t *copy = g_new0 (workers_start_t, count);
  for (uint32_t i = 0; i < count; i++)
    copy[i] = (workers_start_t){ .task = starts[i].task,
                                 .generation = starts[i].generation,
                                 .job = starts[i].job,
                                 .kind = job_kind_name (starts[i].kind),
                                 .size = starts[i].size,
                                 .command = starts[i].command,
                                 .run_ms = starts[i].run_ms };
  sched_io->workers->ops->start (sched_io->workers, worker->url,
                                 worker->incarnation, lease_ms, copy, count,
                                 on_started, call_new (sched_io, tag));
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
  sched_leased (call->sched_io->sched, call->tag, kind, incarnation, copy,
                count);
  g_free (copy);
  call_free (call);
}

static void
act_lease (void *context, uint64_t tag, const sched_worker_ref_t *worker,
           int64_t lease_ms, const sched_stop_t *acks, uint32_t count)
{
  sched_io_t *sched_io = context;
  workers_task_id_t *copy = g_new0 (workers_task_id_t, count + 1);
  for (uint32_t i = 0; i < count; i++)
    copy[i] = (workers_task_id_t){ acks[i].task, acks[i].generation };
  sched_io->workers->ops->lease (sched_io->workers, worker->url,
                                 worker->incarnation, lease_ms, copy, count,
                                 on_leased, call_new (sched_io, tag));
  g_free (copy);
}

static void
on_stopped (void *context, err_kind_t kind,
            const workers_stop_result_t *results, uint32_t count)
{
  static const stop_result_t map[]
      = { [WORKERS_STOP_STOPPED] = STOP_RESULT_STOPPED,
          [WORKERS_STOP_ENDED] = STOP_RESULT_ENDED,
          [WORKERS_STOP_STOPPING] = STOP_RESULT_STOPPING,
          [WORKERS_STOP_UNKNOWN] = STOP_RESULT_UNKNOWN };
  call_t *call = context;
  stop_result_t *copy = g_new (stop_result_t, count + 1);
  for (uint32_t i = 0; i < count; i++)
    copy[i] = map[results[i]];
  sched_stopped (call->sched_io->sched, call->tag, kind, copy, count);
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
  sched_io_t *sched_io = context;
  workers_stop_t *copy = g_new0 (workers_stop_t, count);
  for (uint32_t i = 0; i < count; i++)
    copy[i] = (workers_stop_t){ stops[i].task, stops[i].generation,
                                map[stops[i].mode] };
  sched_io->workers->ops->stop (sched_io->workers, worker->url,
                                worker->incarnation, copy, count, on_stopped,
                                call_new (sched_io, tag));
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
  sched_io_t *sched_io = context;
  sched_io->workers->ops->throttle (sched_io->workers, worker->url, task,
                                    generation, cpu_millis, on_throttled,
                                    NULL);
}

static void
act_answer (void *context, void *token, err_kind_t kind, const char *id,
            const char *message)
{
  sched_io_t *sched_io = context;
  pending_t *pending = token;
  sched_io_done_t done = pending->done;
  void *done_context = pending->context;
  g_hash_table_remove (sched_io->pending, pending);
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
  sched_io_t *sched_io = context;
  sched_tick (sched_io->sched);
}

sched_io_t *
sched_io_new (const sched_io_options_t *options, struct ev_loop *loop,
              const clk_t *clock, counter_registry_t *registry, table_t *table,
              workers_t *workers)
{
  sched_options_t sched_options = { .entry_id = options->entry,
                                    .incarnation = options->incarnation,
                                    .zone = options->zone,
                                    .pack_rule = options->pack_rule,
                                    .rows_per_s = options->rows_per_s,
                                    .seed = options->seed };
  sched_io_t *sched_io = g_new0 (sched_io_t, 1);
  sched_io->table = table;
  sched_io->workers = workers;
  sched_io->entry = g_strdup (options->entry);
  sched_io->zone = g_strdup (options->zone);
  sched_io->pending = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  sched_io->calls = g_hash_table_new_full (NULL, NULL, g_free, NULL);
  sched_io->reads = g_hash_table_new_full (NULL, NULL, read_free, NULL);
  sched_io->sched
      = sched_new (&sched_options, &actions, sched_io, clock, registry);
  sched_io->timer = loop_timer_new (loop, TICK_PERIOD_MS, on_tick, sched_io);
  return sched_io;
}

void
sched_io_free (sched_io_t *sched_io)
{
  if (sched_io == NULL)
    return;
  loop_timer_free (sched_io->timer);
  sched_free (sched_io->sched);
  g_hash_table_unref (sched_io->pending);
  g_hash_table_unref (sched_io->calls);
  g_hash_table_unref (sched_io->reads);
  g_free (sched_io->entry);
  g_free (sched_io->zone);
  g_free (sched_io);
}

void
sched_io_instance_changed (sched_io_t *sched_io, const instance_t *instance)
{
  static const sched_instance_state_t states[]
      = { [INSTANCE_LIVE] = SCHED_LIVE,
          [INSTANCE_LEAVING] = SCHED_LEAVING,
          [INSTANCE_GONE] = SCHED_GONE };
  if (instance->kind == INSTANCE_ENTRY
      && strcmp (instance->id, sched_io->entry) != 0)
    {
      /* Whether entries of this entry's zone are live is known from their
         heartbeats; see sched_io_set_entry_live.  */
      if (strcmp (instance->zone, sched_io->zone) != 0
          || instance->state == INSTANCE_GONE)
        sched_entry_set (sched_io->sched, instance->id, instance->zone,
                         instance->state == INSTANCE_LIVE);
      return;
    }
  if (instance->kind != INSTANCE_WORKER
      || strcmp (instance->zone, sched_io->zone) != 0)
    return;
  sched_instance_t worker = { .id = instance->id,
                              .rack = instance->rack,
                              .url = instance->url,
                              .incarnation = instance->incarnation,
                              .state = states[instance->state],
                              .capacity = instance->capacity };
  sched_worker_set (sched_io->sched, &worker);
}

void
sched_io_instance_list_read (sched_io_t *sched_io)
{
  sched_instance_list_read (sched_io->sched);
}

void
sched_io_set_entry_live (sched_io_t *sched_io, const char *id,
                         const char *zone, bool live)
{
  if (strcmp (id, sched_io->entry) != 0)
    sched_entry_set (sched_io->sched, id, zone, live);
}

void
sched_io_drain (sched_io_t *sched_io)
{
  sched_io->draining = true;
  sched_entry_set (sched_io->sched, sched_io->entry, sched_io->zone, false);
}

bool
sched_io_drained (const sched_io_t *sched_io)
{
  return sched_idle (sched_io->sched);
}

void
sched_io_submit (sched_io_t *sched_io, const json_t *spec,
                 sched_io_done_t done, void *context)
{
  if (sched_io->draining)
    {
      done (context, ERR_DRAINING, NULL, "this entry is about to stop");
      return;
    }
  pending_t *pending = g_new (pending_t, 1);
  *pending = (pending_t){ sched_io, done, context };
  g_hash_table_add (sched_io->pending, pending);
  sched_submit (sched_io->sched, spec, pending);
}

void
sched_io_cancel (sched_io_t *sched_io, const char *id, sched_io_done_t done,
                 void *context)
{
  if (sched_io->draining)
    {
      done (context, ERR_DRAINING, id, "this entry is about to stop");
      return;
    }
  pending_t *pending = g_new (pending_t, 1);
  *pending = (pending_t){ sched_io, done, context };
  g_hash_table_add (sched_io->pending, pending);
  sched_cancel (sched_io->sched, id, pending);
}

sched_t *
sched_io_sched (sched_io_t *sched_io)
{
  return sched_io->sched;
}
