#include "sched_internal.h"

#include <string.h>

#define MIN_RETRY_MS 100
#define MAX_RETRY_MS 2000

static void
row_clear (gpointer data)
{
  txn_row_t *row = data;
  g_free (row->key);
  json_decref (row->value);
}

void
txn_init (txn_t *txn, bool for_requests)
{
  memset (txn, 0, sizeof *txn);
  txn->for_requests = for_requests;
  txn->rows = g_array_new (FALSE, TRUE, sizeof (txn_row_t));
  g_array_set_clear_func (txn->rows, row_clear);
  txn->ops = g_array_new (FALSE, TRUE, sizeof (op_t));
  g_array_set_clear_func (txn->ops, op_clear);
  txn->requests = g_ptr_array_new_with_free_func (sched_request_free);
}

void
txn_clear (txn_t *txn)
{
  g_array_unref (txn->rows);
  g_array_unref (txn->ops);
  g_ptr_array_unref (txn->requests);
  g_free (txn->write_id);
}

txn_row_t *
txn_add_row (txn_t *txn, row_kind_t kind, void *object, char *key,
             int64_t version, json_t *value)
{
  txn_row_t row = { .kind = kind,
                    .object = object,
                    .key = key,
                    .version = version,
                    .value = value,
                    .write = true };
  g_array_append_val (txn->rows, row);
  return &g_array_index (txn->rows, txn_row_t, txn->rows->len - 1);
}

void
txn_touch_job (txn_t *txn, sched_job_t *job)
{
  if (job->row_in_txn)
    return;
  job->row_in_txn = true;
  txn_add_row (txn, ROW_JOB, job, job_key (job->id), job->row_version, NULL);
}

/* The key is filled in when the transaction is sent; rows that are added in
   this way always belong to this entry's zone.  */
void
txn_touch_part (txn_t *txn, sched_job_t *job)
{
  if (job->part_in_txn)
    return;
  job->part_in_txn = true;
  txn_add_row (txn, ROW_PART, job, NULL, job->part_version, NULL);
}

void
txn_touch_worker (txn_t *txn, sched_worker_t *worker)
{
  if (worker->row_in_txn)
    return;
  worker->row_in_txn = true;
  txn_add_row (txn, ROW_WORKER, worker, NULL, worker->row_version, NULL);
}

/* Sets the transaction's write id and fills in keys and values of the rows
   that are written from memory.  */
static void
fill_rows (sched_t *s, txn_t *txn)
{
  txn->write_id = g_strdup_printf ("%s:%" G_GUINT64_FORMAT, s->writer_id,
                                   ++s->last_write);
  for (guint i = 0; i < txn->rows->len; i++)
    {
      txn_row_t *row = &g_array_index (txn->rows, txn_row_t, i);
      sched_job_t *job = row->object;
      sched_worker_t *worker = row->object;
      switch (row->kind)
        {
        case ROW_JOB:
          if (row->value == NULL && !row->delete)
            row->value = job_row_to_json (job->row, txn->write_id);
          break;
        case ROW_PART:
          if (row->key == NULL)
            row->key = part_key (s->zone, job->id);
          if (row->value == NULL && !row->delete)
            row->value = sched_part_json (job, txn->write_id);
          break;
        case ROW_WORKER:
          row->key = worker_key (s->zone, worker->id);
          row->value = sched_worker_json (worker, txn->write_id);
          break;
        case ROW_CHANGES:
          row->value = sched_changes_json (row->object, txn->write_id);
          break;
        default:
          break;
        }
      if (row->value != NULL)
        json_object_set_new (row->value, "write_id",
                             json_string (txn->write_id));
    }
}

void
txn_send (sched_t *s, txn_t *txn)
{
  if (txn->write_id == NULL)
    {
      fill_rows (s, txn);
      counter_add (s->row_writes, txn->rows->len);
    }
  sched_row_t *rows = g_new (sched_row_t, txn->rows->len);
  sched_row_t *writes = g_new (sched_row_t, txn->rows->len);
  uint32_t write_count = 0;
  for (guint i = 0; i < txn->rows->len; i++)
    {
      const txn_row_t *row = &g_array_index (txn->rows, txn_row_t, i);
      rows[i] = (sched_row_t){ row->key, row->version, row->value };
      if (row->write)
        writes[write_count++] = rows[i];
    }
  uint64_t tag;
  call_t *call = sched_call_new (s, CALL_TXN, &tag);
  call->txn = txn;
  txn->tag = tag;
  txn->state = TXN_SENT;
  txn->attempts++;
  s->actions->txn (s->context, tag, rows, txn->rows->len, writes, write_count);
  g_free (rows);
  g_free (writes);
}

static void
back_off (sched_t *s, txn_t *txn, txn_state_t state)
{
  uint32_t shift = MIN (txn->attempts, 5);
  int64_t wait_ms = MIN (MIN_RETRY_MS << shift, MAX_RETRY_MS);
  txn->retry_ms
      = s->now_ms
        + g_rand_int_range (s->random, (gint32)wait_ms / 2, (gint32)wait_ms);
  txn->state = state;
}

/* Marks the rows' objects as no longer part of a transaction and sets their
   new versions; VERSIONS is NULL when nothing was committed.  */
static void
release_rows (sched_t *s, txn_t *txn, const int64_t *versions)
{
  uint32_t next = 0;
  for (guint i = 0; i < txn->rows->len; i++)
    {
      const txn_row_t *row = &g_array_index (txn->rows, txn_row_t, i);
      int64_t version = 0;
      if (versions != NULL && row->write)
        version = versions[next++];
      sched_job_t *job = row->object;
      sched_worker_t *worker = row->object;
      sched_changes_t *changes = row->object;
      switch (row->kind)
        {
        case ROW_JOB:
          job->row_in_txn = false;
          job->row_version = version > 0 ? version : job->row_version;
          job->row_stamp = ++s->stamp;
          break;
        case ROW_PART:
          job->part_in_txn = false;
          job->part_version = version > 0 ? version : job->part_version;
          job->part_stamp = ++s->stamp;
          break;
        case ROW_WORKER:
          worker->row_in_txn = false;
          worker->row_version = version > 0 ? version : worker->row_version;
          worker->row_stamp = ++s->stamp;
          break;
        case ROW_CHANGES:
          changes->in_txn = false;
          changes->in_plan_txn = false;
          changes->version = version > 0 ? version : changes->version;
          break;
        default:
          break;
        }
    }
}

static void
reset (sched_t *s, txn_t *txn)
{
  g_array_set_size (txn->rows, 0);
  g_array_set_size (txn->ops, 0);
  g_ptr_array_set_size (txn->requests, 0);
  g_clear_pointer (&txn->write_id, g_free);
  txn->state = TXN_IDLE;
  txn->outcome_unknown = false;
  txn->attempts = 0;
}

static void
finish_committed (sched_t *s, txn_t *txn, const int64_t *versions)
{
  counter_add (s->commits, 1);
  release_rows (s, txn, versions);
  if (txn->for_requests)
    requests_finished (s, txn, ERR_OK, true);
  else
    {
      s->plan_backoff_ms = 0;
      ops_commit (s, txn);
    }
  reset (s, txn);
}

/* Undoes a transaction of which nothing was committed; KIND says why.  After a
   conflict all its rows are reloaded.  */
static void
finish_failed (sched_t *s, txn_t *txn, err_kind_t kind)
{
  if (!txn->for_requests)
    ops_undo (s, txn);
  sched_undo_changes (txn, kind == ERR_CONFLICT);
  release_rows (s, txn, NULL);
  if (kind == ERR_CONFLICT)
    {
      counter_add (s->conflicts, 1);
      for (guint i = 0; i < txn->rows->len; i++)
        sched_queue_reload (
            s, g_strdup (g_array_index (txn->rows, txn_row_t, i).key));
    }
  if (txn->for_requests)
    requests_finished (s, txn, kind, false);
  else
    {
      s->plan_backoff_ms
          = kind == ERR_CONFLICT
                ? (uint32_t)g_rand_int_range (s->random, 10, 100)
                : MIN (MAX (s->plan_backoff_ms * 2, MIN_RETRY_MS),
                       MAX_RETRY_MS);
      s->plan_retry_ms = s->now_ms + s->plan_backoff_ms;
    }
  reset (s, txn);
}

void
txn_ended (sched_t *s, txn_t *txn, err_kind_t kind, const int64_t *versions,
           uint32_t count)
{
  uint32_t writes = 0;
  for (guint i = 0; i < txn->rows->len; i++)
    writes += g_array_index (txn->rows, txn_row_t, i).write;
  if (kind == ERR_OK && count == writes)
    {
      finish_committed (s, txn, versions);
      return;
    }
  if (kind == ERR_CONFLICT && !txn->outcome_unknown)
    {
      finish_failed (s, txn, kind);
      return;
    }
  if (kind == ERR_STORE_UNAVAILABLE && !txn->outcome_unknown)
    {
      finish_failed (s, txn, kind);
      return;
    }
  /* After an attempt with unknown outcome a conflict may be with that
     attempt's own write, so the rows must be read to tell.  */
  if (!txn->outcome_unknown)
    counter_add (s->unknown_outcomes, 1);
  txn->outcome_unknown = true;
  if (kind == ERR_STORE_UNAVAILABLE)
    back_off (s, txn, TXN_WAIT_RESEND);
  else
    back_off (s, txn, TXN_WAIT_READBACK);
}

static void
send_readback (sched_t *s, txn_t *txn)
{
  uint64_t tag;
  call_t *call = sched_call_new (s, CALL_READBACK, &tag);
  call->txn = txn;
  txn->state = TXN_READING_BACK;
  const char **keys = g_new (const char *, txn->rows->len);
  for (guint i = 0; i < txn->rows->len; i++)
    keys[i] = g_array_index (txn->rows, txn_row_t, i).key;
  s->actions->read (s->context, tag, keys, txn->rows->len);
  g_free (keys);
}

void
txn_tick (sched_t *s, txn_t *txn)
{
  if (s->now_ms < txn->retry_ms)
    return;
  if (txn->state == TXN_WAIT_READBACK)
    send_readback (s, txn);
  else if (txn->state == TXN_WAIT_RESEND)
    txn_send (s, txn);
}

/* What the rows tell about a transaction with unknown outcome: it is
   committed, it cannot be committed since a checked version has changed, or it
   is undecided.  */
typedef enum
{
  READBACK_COMMITTED,
  READBACK_CANNOT_COMMIT,
  READBACK_UNDECIDED
} readback_t;

static readback_t
classify_readback (const txn_t *txn, const sched_row_t *rows, uint32_t count)
{
  readback_t result = READBACK_UNDECIDED;
  bool deletes_only = true;
  uint32_t gone = 0;
  for (guint i = 0; i < txn->rows->len && i < count; i++)
    {
      const txn_row_t *row = &g_array_index (txn->rows, txn_row_t, i);
      const char *write_id
          = json_string_value (json_object_get (rows[i].value, "write_id"));
      if (write_id != NULL && strcmp (write_id, txn->write_id) == 0)
        return READBACK_COMMITTED;
      if (rows[i].version != row->version)
        result = READBACK_CANNOT_COMMIT;
      if (row->write && row->value != NULL)
        deletes_only = false;
      else if (row->write && rows[i].version == 0)
        gone++;
    }
  return deletes_only && gone == txn->rows->len ? READBACK_COMMITTED : result;
}

void
txn_read_back (sched_t *s, txn_t *txn, err_kind_t kind,
               const sched_row_t *rows, uint32_t count, uint64_t stamp)
{
  if (kind != ERR_OK || count != txn->rows->len)
    {
      txn->attempts++;
      back_off (s, txn, TXN_WAIT_READBACK);
      return;
    }
  readback_t result = classify_readback (txn, rows, count);
  if (result == READBACK_UNDECIDED)
    {
      /* An earlier attempt may still arrive.  Sending the same transaction
         again is harmless: at most one of them passes its checks.  */
      back_off (s, txn, TXN_WAIT_RESEND);
      return;
    }
  if (result == READBACK_CANNOT_COMMIT)
    {
      finish_failed (s, txn, ERR_CONFLICT);
      return;
    }
  /* Rows that were overwritten since are reloaded; until then their old
     versions make every further transaction on them fail.  */
  int64_t *versions = g_new0 (int64_t, count);
  uint32_t next = 0;
  for (guint i = 0; i < count; i++)
    {
      const txn_row_t *row = &g_array_index (txn->rows, txn_row_t, i);
      const char *write_id
          = json_string_value (json_object_get (rows[i].value, "write_id"));
      bool ours = write_id != NULL && strcmp (write_id, txn->write_id) == 0;
      if (row->write)
        versions[next++] = ours ? rows[i].version : 0;
      if (!ours)
        sched_queue_reload (s, g_strdup (row->key));
    }
  finish_committed (s, txn, versions);
  g_free (versions);
}
