#include "node_internal.h"

#include "backoff.h"
#include "log.h"

#include <string.h>

/* NAME
     node_cell - life cycle of a cell on this node: load, run, step down  */

#define READ_TIMEOUT_MS 3000
/* First and longest pause after reads of the records that failed.  */
#define READ_RETRY_MS 100
#define READ_MAX_RETRY_MS 800
#define INBOX_WAIT_MS 1000
#define INBOX_SLACK_MS 1200
/* Period of the line "owner_load".  */
#define LOAD_PERIOD_MS 1000

typedef struct
{
  node_cell_t *cell;
  uint32_t epoch;
} load_call_t;

static void read_records (node_cell_t *cell, const char *from);

static void
record_free (void *data)
{
  stored_record_t *record = data;
  g_free (record->key);
  g_free (record->text);
  g_free (record);
}

static stored_record_t *
record_new (const char *key, const char *text, size_t length)
{
  stored_record_t *record = g_new0 (stored_record_t, 1);
  record->key = g_strdup (key);
  record->length = length;
  if (text != NULL)
    {
      record->text = g_malloc (length + 1);
      memcpy (record->text, text, length);
      record->text[length] = '\0';
    }
  return record;
}

static void
on_read_retry (struct ev_loop *loop, ev_timer *watcher, int events)
{
  read_records (watcher->data, NULL);
}

node_cell_t *
node_cell_new (node_t *node, const char *name)
{
  node_cell_t *cell = g_new0 (node_cell_t, 1);
  cell->node = node;
  cell->name = g_strdup (name);
  cell->inbox_table = g_strconcat ("inbox.", name, NULL);
  cell->heartbeat_seen_ms = node_now (node);
  cell->pending_by_queue
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cell->records = g_ptr_array_new_with_free_func (record_free);
  cell->expired_ids = g_ptr_array_new_with_free_func (g_free);
  cell->records_to_save = g_ptr_array_new_with_free_func (record_free);
  ev_init (&cell->commit_retry, node_commit_retry);
  ev_init (&cell->read_retry, on_read_retry);
  cell->commit_retry.data = cell->read_retry.data = cell;
  return cell;
}

static void
set_gauge (const node_cell_t *cell, const char *name, int64_t value)
{
  char *labels = g_strdup_printf ("cell=\"%s\"", cell->name);
  counter_set (counter_gauge (cell->node->metrics, name, labels), value);
  g_free (labels);
}

static void
show_kept_room (const node_cell_t *cell, const cell_load_t *load)
{
  set_gauge (cell, "magnoliadock_holding_steps", load->holding_steps);
  set_gauge (cell, "magnoliadock_misfit_steps", load->misfit_steps);
  set_gauge (cell, "magnoliadock_kept_cpu_millis", load->kept_cpu_millis);
  set_gauge (cell, "magnoliadock_kept_accelerators", load->kept_accelerators);
  set_gauge (cell, "magnoliadock_longest_hold_ms", load->longest_hold_ms);
}

static void
show_size (void *context, const cell_size_t *size)
{
  const node_cell_t *cell = context;
  const struct
  {
    const char *name;
    int64_t value;
  } gauges[]
      = { { "magnoliadock_size_in_time_jobs", size->counts.in_time },
          { "magnoliadock_size_late_jobs", size->counts.late },
          { "magnoliadock_size_missed_jobs", size->counts.missed },
          { "magnoliadock_size_longest_wait_ms", size->longest_wait_ms },
          { "magnoliadock_size_starves", size->starves } };
  char *labels = g_strdup_printf ("cell=\"%s\",queue=\"%s\",size=\"%s\"",
                                  cell->name, size->queue, size->size);
  for (size_t i = 0; i < G_N_ELEMENTS (gauges); i++)
    counter_set (counter_gauge (cell->node->metrics, gauges[i].name, labels),
                 gauges[i].value);
  g_free (labels);
}

/* The next owner shows it.  */
static void
hide_size (void *context, const cell_size_t *size)
{
  const cell_size_t nothing = { .queue = size->queue, .size = size->size };
  show_size (context, &nothing);
}

/* Frees everything that belongs to the ownership.  */
static void
drop_ownership (node_cell_t *cell)
{
  cell->epoch++;
  cell->state = CELL_IDLE;
  cell->commit_in_flight = false;
  cell->commit_has_records = false;
  cell->records_suspected = false;
  cell->commit_refusals = 0;
  cell->save_pending = false;
  ev_timer_stop (cell->node->loop, &cell->commit_retry);
  ev_timer_stop (cell->node->loop, &cell->read_retry);
  g_ptr_array_set_size (cell->records, 0);
  g_ptr_array_set_size (cell->records_to_save, 0);
  g_ptr_array_set_size (cell->expired_ids, 0);
  cell->commit_removal_count = 0;
  replica_free (cell->inbox);
  cell->inbox = NULL;
  if (cell->scheduler != NULL)
    {
      show_kept_room (cell, &(cell_load_t){ 0 });
      cell_each_size (cell->scheduler, hide_size, cell);
    }
  cell_free (cell->scheduler);
  cell->scheduler = NULL;
  node_former_free (cell);
}

void
node_cell_free (node_cell_t *cell)
{
  drop_ownership (cell);
  g_hash_table_unref (cell->pending_by_queue);
  g_ptr_array_unref (cell->records);
  g_ptr_array_unref (cell->records_to_save);
  g_ptr_array_unref (cell->expired_ids);
  g_free (cell->owner);
  g_free (cell->owner_incarnation);
  g_free (cell->name);
  g_free (cell->inbox_table);
  g_free (cell);
}

void
node_cell_step_down (node_cell_t *cell, const char *reason)
{
  log_event (LOG_WARN, "cell_lost", "cell", cell->name, "why", reason, NULL);
  cell->heartbeat_seen_ms = node_now (cell->node);
  /* A node that only claimed the cell may have lost the token to another.  */
  if (cell->state != CELL_CLAIMING)
    node_tenure_ended (cell);
  drop_ownership (cell);
  node_follow_workers (cell->node);
}

static void
save_records (void *context, const cell_record_t *records, uint32_t count)
{
  node_cell_t *cell = context;
  g_ptr_array_set_size (cell->records_to_save, 0);
  for (uint32_t i = 0; i < count; i++)
    g_ptr_array_add (
        cell->records_to_save,
        record_new (records[i].key, records[i].text,
                    records[i].text != NULL ? strlen (records[i].text) : 0));
  cell->save_pending = true;
  node_commit (cell);
}

static void
log_cell_event (void *context, const char *event, const char *subject,
                const char *detail)
{
  const node_cell_t *cell = context;
  char labels[64];
  g_snprintf (labels, sizeof labels, "event=\"%s\"", event);
  node_counter_increment (cell->node, "magnoliadock_cell_events_total",
                          labels);
  log_event (LOG_INFO, event, "subject", subject, "cell", cell->name, "detail",
             detail, NULL);
}

const cell_actions_t node_cell_actions
    = { save_records,   node_start_task, node_stop_task,  node_poll_worker,
        node_pace_task, node_advise,     node_delete_job, log_cell_event };

void
node_cell_add_row (node_cell_t *cell, const char *key, const char *value,
                   size_t length)
{
  size_t id_length = strcspn (key, "/");
  if (cell->scheduler == NULL || id_length != WORK_ID_LENGTH)
    return;
  bool cancels = key[id_length] != '\0';
  if (cancels && cell->replay_pass != REPLAY_JOBS)
    {
      char *id = g_strndup (key, id_length);
      cell_cancel_job (cell->scheduler, id);
      g_free (id);
    }
  if (!cancels && cell->replay_pass != REPLAY_CANCELS)
    {
      if (cell_state (cell->scheduler, key) != NULL)
        return;
      GError *error = NULL;
      work_job_t *job = work_job_decode (value, length, &error);
      if (job != NULL && strcmp (job->id, key) != 0)
        g_set_error (&error, ERROR_DOMAIN, ERR_BAD_REQUEST,
                     "the row holds job %s", job->id);
      if (job != NULL)
        node_config_heard (cell->node, job->config_version);
      bool cancelled = job != NULL && job->cancelled;
      if (error == NULL)
        cell_add_job (cell->scheduler, g_steal_pointer (&job));
      else
        log_event (LOG_ERROR, "job_unreadable", "id", key, "cell", cell->name,
                   "message", error->message, NULL);
      /* In a replay the row of the cancel, written with this one, follows.  */
      if (cancelled && cell->replay_pass == REPLAY_DONE)
        cell_cancel_job (cell->scheduler, key);
      g_clear_error (&error);
      work_job_free (job);
    }
  cell->node->input_pending = true;
}

static void
on_inbox_changed (void *context, const char *part, const char *key,
                  const char *value, size_t length)
{
  if (value != NULL)
    node_cell_add_row (context, key, value, length);
}

static bool
same_job (const stored_record_t *one, const stored_record_t *other)
{
  size_t length = strcspn (one->key, "/");
  return length == strcspn (other->key, "/")
         && strncmp (one->key, other->key, length) == 0;
}

/* Calls LOAD with all rows of each record, which are sorted by key, and drops
   the records that it has loaded.  */
static void
load_records (node_cell_t *cell,
              bool (*load) (cell_t *scheduler, const char *id,
                            const cell_record_t *rows, uint32_t count))
{
  GPtrArray *all = cell->records;
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (cell_record_t));
  cell->records = g_ptr_array_new_with_free_func (record_free);
  for (guint from = 0; from < all->len;)
    {
      const stored_record_t *first = all->pdata[from];
      guint to = from;
      g_array_set_size (rows, 0);
      for (; to < all->len && same_job (first, all->pdata[to]); to++)
        {
          const stored_record_t *record = all->pdata[to];
          cell_record_t row = { record->key, record->text };
          g_array_append_val (rows, row);
        }
      char *id = g_strndup (first->key, strcspn (first->key, "/"));
      bool loaded
          = load (cell->scheduler, id,
                  (const cell_record_t *)(const void *)rows->data, rows->len);
      for (; from < to; from++)
        if (loaded)
          record_free (all->pdata[from]);
        else
          g_ptr_array_add (cell->records, all->pdata[from]);
      g_free (id);
    }
  g_array_unref (rows);
  g_ptr_array_set_free_func (all, NULL);
  g_ptr_array_unref (all);
}

static void
log_unreadable_records (const node_cell_t *cell)
{
  for (guint i = 0; i < cell->records->len; i++)
    log_event (LOG_ERROR, "record_unreadable", "row",
               ((const stored_record_t *)cell->records->pdata[i])->key, "cell",
               cell->name, NULL);
}

void
node_cell_begin_if_loaded (node_cell_t *cell)
{
  node_t *node = cell->node;
  if (cell->state != CELL_LOADING || cell->inbox == NULL
      || !replica_is_loaded (cell->inbox) || node->workers == NULL
      || !replica_is_loaded (node->workers))
    return;
  cell->scheduler = cell_new (&node->platform->settings.cells, node->clock,
                              &node_cell_actions, cell);
  if (node->queues != NULL)
    cell_set_queues (cell->scheduler, node->queues);
  /* Ended jobs need only their record, not their inbox row.  */
  load_records (cell, cell_add_ended_job);
  cell->replay_pass = REPLAY_JOBS;
  replica_replay (cell->inbox);
  replica_replay (node->workers);
  load_records (cell, cell_load_record);
  log_unreadable_records (cell);
  g_ptr_array_set_size (cell->records, 0);
  cell->replay_pass = REPLAY_CANCELS;
  replica_replay (cell->inbox);
  cell->replay_pass = REPLAY_DONE;
  cell->state = CELL_OWNED;
  cell->load_logged_ms = 0;
  node_histogram_add (node, "magnoliadock_takeover_us",
                      node_now (node) - cell->claim_started_ms);
  const former_owner_t *former = &cell->former;
  cell_inheritance_t inheritance
      = { former->leases_end_ms, former->unreached_end_ms,
          (const char *const *)former->unreached };
  cell_begin (cell->scheduler, &inheritance);
  cell_totals_t totals;
  cell_totals (cell->scheduler, &totals);
  char jobs[16];
  char token[24];
  char took[24];
  char leases[24];
  g_snprintf (leases, sizeof leases, "%lld",
              (long long)MAX (former->leases_end_ms - node_now (node), 0));
  g_snprintf (jobs, sizeof jobs, "%u", totals.jobs);
  g_snprintf (token, sizeof token, "%" G_GUINT64_FORMAT, cell->token);
  g_snprintf (took, sizeof took, "%lld",
              (long long)(node_now (node) - cell->claim_started_ms));
  log_event (LOG_INFO, "cell_owned", "cell", cell->name, "token", token,
             "jobs", jobs, "took_ms", took, "former_leases_ms", leases, NULL);
  node->input_pending = true;
}

static void
on_inbox_loaded (void *context)
{
  node_cell_begin_if_loaded (context);
}

static const replica_events_t inbox_events
    = { on_inbox_changed, on_inbox_loaded, NULL };

void
node_inbox_part (const char *id, char part[INBOX_PART_NAME_BYTES])
{
  const int bits_per_digit = 4;
  int first = MAX (g_ascii_xdigit_value (id[0]), 0);
  int second = MAX (g_ascii_xdigit_value (id[1]), 0);
  g_snprintf (part, INBOX_PART_NAME_BYTES, "%02x",
              (unsigned)(first << bits_per_digit | second) % INBOX_PARTS);
}

static void
follow_inbox (node_cell_t *cell)
{
  char names[INBOX_PARTS][INBOX_PART_NAME_BYTES];
  const char *parts[INBOX_PARTS + 1] = { NULL };
  for (uint32_t i = 0; i < INBOX_PARTS; i++)
    {
      g_snprintf (names[i], INBOX_PART_NAME_BYTES, "%02x", i);
      parts[i] = names[i];
    }
  replica_options_t options
      = { cell->inbox_table, parts, INBOX_WAIT_MS, INBOX_SLACK_MS, 0 };
  cell->inbox = replica_new (cell->node->platform, cell->node->loop, &options,
                             &inbox_events, cell);
}

static void
on_records_read (void *context, const store_reply_t *reply)
{
  load_call_t *call = context;
  node_cell_t *cell = call->cell;
  bool current = call->epoch == cell->epoch && cell->state == CELL_LOADING;
  g_free (call);
  if (!current)
    return;
  if (reply->result != STORE_OK)
    {
      log_event (LOG_WARN, "records_unread", "cell", cell->name, NULL);
      g_ptr_array_set_size (cell->records, 0);
      int64_t pause_ms = backoff_ms (++cell->read_failures, READ_RETRY_MS,
                                     READ_MAX_RETRY_MS);
      ev_timer_set (&cell->read_retry, (double)pause_ms / 1000.0, 0.0);
      ev_timer_start (cell->node->loop, &cell->read_retry);
      return;
    }
  for (uint32_t i = 0; i < reply->count; i++)
    g_ptr_array_add (cell->records,
                     record_new (reply->rows[i].key, reply->rows[i].value,
                                 reply->rows[i].length));
  if (!reply->more || reply->count == 0)
    {
      follow_inbox (cell);
      return;
    }
  /* The smallest key above the last one.  */
  char *from = g_strconcat (reply->rows[reply->count - 1].key, "\x01", NULL);
  read_records (cell, from);
  g_free (from);
}

static void
read_records (node_cell_t *cell, const char *from)
{
  platform_api_t *platform = cell->node->platform;
  load_call_t *call = g_new (load_call_t, 1);
  *call = (load_call_t){ cell, cell->epoch };
  platform->ops->read (platform, RECORD_TABLE, cell->name, from, NULL,
                       READ_TIMEOUT_MS, on_records_read, call);
}

void
node_cell_claimed (node_cell_t *cell)
{
  cell->state = CELL_LOADING;
  cell->read_failures = 0;
  node_counter_increment (cell->node, "magnoliadock_claims_total", NULL);
  node_follow_workers (cell->node);
  read_records (cell, NULL);
}

static int64_t
processor_ms (void)
{
  struct timespec used;
  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &used);
  return clk_to_ms (used);
}

/* Logs what the owner did in the last LOAD_PERIOD_MS.  */
static void
log_load (node_cell_t *cell)
{
  int64_t now_ms = node_now (cell->node);
  int64_t since_ms = now_ms - cell->load_logged_ms;
  if (since_ms < LOAD_PERIOD_MS)
    return;
  const int64_t ns_per_ms = 1000000;
  int64_t used_ms = processor_ms ();
  cell_load_t load;
  char detail[640];
  cell_take_load (cell->scheduler, &load);
  g_snprintf (
      detail, sizeof detail,
      "period_ms=%lld processor_ms=%lld idle_ms=%lld late_ms=%lld passes=%u "
      "passes_ms=%lld longest_pass_ms=%lld waiting_steps=%u too_late_steps=%u "
      "advice_calls=%u advice_answers=%u advice_mean_ms=%lld "
      "advice_failures=%u advice_busy=%u tickets=%u tickets_unused=%u "
      "starts=%u polls=%u saves=%u saved_records=%u refused_saves=%u "
      "holding_steps=%u kept_cpu_millis=%lld kept_accelerators=%lld "
      "longest_hold_ms=%lld misfit_steps=%u",
      (long long)since_ms, (long long)(used_ms - cell->load_processor_ms),
      (long long)((cell->node->waited_ns - cell->load_waited_ns) / ns_per_ms),
      (long long)load.late_ms, load.passes, (long long)load.passes_ms,
      (long long)load.longest_pass_ms, load.waiting_steps, load.too_late_steps,
      load.advice_calls, cell->advice_answers,
      (long long)(cell->advice_took_ms / MAX (cell->advice_answers, 1)),
      load.advice_failures, load.advice_busy, load.tickets,
      load.tickets_unused, load.starts, load.polls, load.saves,
      load.saved_records, load.refused_saves, load.holding_steps,
      (long long)load.kept_cpu_millis, (long long)load.kept_accelerators,
      (long long)load.longest_hold_ms, load.misfit_steps);
  show_kept_room (cell, &load);
  cell_each_size (cell->scheduler, show_size, cell);
  /* The first period began with an earlier ownership.  */
  if (cell->load_logged_ms != 0)
    log_event (LOG_INFO, "owner_load", "cell", cell->name, "detail", detail,
               NULL);
  cell->load_logged_ms = now_ms;
  cell->load_processor_ms = used_ms;
  cell->load_waited_ns = cell->node->waited_ns;
  cell->advice_took_ms = 0;
  cell->advice_answers = 0;
}

void
node_cell_run (node_cell_t *cell, int64_t wall_ms)
{
  if (cell->state == CELL_OWNED)
    {
      if (cell->node->workers != NULL)
        cell_workers_confirmed (cell->scheduler,
                                replica_confirmed_ms (cell->node->workers));
      cell_run (cell->scheduler, wall_ms);
      log_load (cell);
      if (cell_fenced (cell->scheduler))
        {
          node_cell_step_down (cell, "fenced");
          return;
        }
    }
  node_commit (cell);
  node_tenure_tell (cell);
}
