#include "node_internal.h"

#include "backoff.h"
#include "log.h"

#include <jansson.h>
#include <string.h>

/* NAME
     node_commit - the owner's writes

   Every commit expects the fence row as this owner last wrote it, and writes
   it with the next number.  So a former owner cannot write anything, and a
   commit whose answer was lost is recognised when it is repeated.  One commit
   at a time.

   A commit that the store refuses for good is not repeated: the next one has
   no records.  If that one is stored, the records are at fault, and the cell
   chooses what to save next; the heartbeat goes on meanwhile.  */

#define COMMIT_RETRY_S 0.03
/* First and longest pause after refused commits without records.  */
#define REFUSED_RETRY_MS 30
#define REFUSED_MAX_RETRY_MS 2000
/* After a lost answer, a longer timeout would delay the next heartbeat too
   much.  */
#define COMMIT_MAX_TIMEOUT_MS 1000
/* Longest list of pending jobs in a heartbeat, which is one row; a count and
   its punctuation have at most PENDING_COUNT_BYTES.  */
#define MAX_PENDING_BYTES ((size_t)32 * 1024)
#define PENDING_COUNT_BYTES 16
/* The store's limit of rows in a transaction.  */
#define MAX_WRITES 100
/* Records of expired jobs that one commit removes, beside up to 90 records
   that it saves.  */
#define MAX_REMOVALS 7

typedef struct
{
  node_cell_t *cell;
  uint32_t epoch;
  uint32_t attempt;
  int64_t sent_ms;
  int64_t timeout_ms;
} commit_call_t;

/* Pending jobs by queue, for a heartbeat.  */
typedef struct
{
  json_t *counts;
  size_t bytes;
  bool cut;
} pending_list_t;

static void
append_pending (void *context, const char *queue, uint32_t pending)
{
  pending_list_t *list = context;
  list->bytes += strlen (queue) + PENDING_COUNT_BYTES;
  list->cut = list->cut || list->bytes > MAX_PENDING_BYTES;
  if (!list->cut)
    json_object_set_new (list->counts, queue, json_integer (pending));
}

static void
append_heartbeat_pending (void *queue, void *count, void *list)
{
  append_pending (list, queue, GPOINTER_TO_UINT (count));
}

char *
node_heartbeat_text (const node_cell_t *cell, const char *owner)
{
  pending_list_t list = { .counts = json_object (), .cut = false };
  /* Until the jobs are loaded, the counts in the previous owner's heartbeat
     are repeated.  */
  if (cell->state == CELL_OWNED || cell->state == CELL_RELEASING)
    cell_each_pending (cell->scheduler, append_pending, &list);
  else
    {
      g_hash_table_foreach (cell->pending_by_queue, append_heartbeat_pending,
                            &list);
      list.cut = list.cut || cell->pending_cut;
    }
  json_t *object = json_pack (
      "{s:s, s:s, s:I, s:I, s:o}", "owner", owner, "incarnation",
      cell->node->incarnation, "token", (json_int_t)cell->token, "number",
      (json_int_t)cell->commit_number, "pending", list.counts);
  if (list.cut)
    json_object_set_new (object, "pending_cut", json_true ());
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

static void send_commit (node_cell_t *cell);

static void
finish_commit (node_cell_t *cell, uint64_t version)
{
  node_t *node = cell->node;
  cell->fence_version = version;
  if (cell->commit_releases)
    {
      node_cell_step_down (cell, "released");
      return;
    }
  if (cell->scheduler != NULL)
    cell_ownership_confirmed (cell->scheduler, cell->commit_begun_ms);
  if (cell->commit_removal_count > 0)
    g_ptr_array_remove_range (cell->expired_ids, 0,
                              cell->commit_removal_count);
  cell->commit_removal_count = 0;
  cell->commit_refusals = 0;
  if (cell->records_suspected)
    {
      cell->records_suspected = false;
      cell->save_pending = false;
      g_ptr_array_set_size (cell->records_to_save, 0);
      cell_save_refused (cell->scheduler);
      node->input_pending = true;
    }
  if (cell->commit_has_records)
    {
      cell->commit_has_records = false;
      cell->save_pending = false;
      g_ptr_array_set_size (cell->records_to_save, 0);
      cell_save_done (cell->scheduler);
      node->input_pending = true;
    }
  node_commit (cell);
}

static void
log_refused_commit (const node_cell_t *cell)
{
  char rows[16];
  char bytes[24];
  size_t total = 0;
  for (guint i = 0; cell->commit_has_records && i < cell->records_to_save->len;
       i++)
    total += ((stored_record_t *)cell->records_to_save->pdata[i])->length;
  g_snprintf (rows, sizeof rows, "%u",
              cell->commit_has_records ? cell->records_to_save->len : 0);
  g_snprintf (bytes, sizeof bytes, "%zu", total);
  log_event (LOG_ERROR, "commit_refused", "cell", cell->name, "records", rows,
             "record_bytes", bytes, NULL);
}

/* Sends the commit again after a pause, which grows.  */
static void
pause_refused_commit (node_cell_t *cell)
{
  int64_t pause_ms = backoff_ms (++cell->commit_refusals, REFUSED_RETRY_MS,
                                 REFUSED_MAX_RETRY_MS);
  ev_timer_set (&cell->commit_retry, (double)pause_ms / 1000.0, 0.0);
  ev_timer_start (cell->node->loop, &cell->commit_retry);
}

/* Handles a commit that the store refuses whenever it is sent.  An earlier
   attempt without an answer may still be applied; the next commit then finds
   the fence row changed and is sent again.  */
static void
replace_refused_commit (node_cell_t *cell)
{
  node_counter_increment (cell->node, "magnoliadock_commits_refused_total",
                          NULL);
  log_refused_commit (cell);
  cell->commit_removal_count = 0;
  if (cell->commit_has_records)
    {
      cell->commit_has_records = false;
      cell->records_suspected = true;
      /* The refused commit may have held the last heartbeat.  */
      cell->heartbeat_sent_ms = 0;
      node_commit (cell);
      return;
    }
  /* Not for the records, or not for them alone.  */
  cell->records_suspected = false;
  pause_refused_commit (cell);
}

/* Handles a commit that the store rejected with a conflict.  The fence row in
   REPLY shows whether an earlier attempt was applied, the expected version was
   wrong, or another node owns the cell.  */
static void
resolve_conflict (node_cell_t *cell, const store_reply_t *reply)
{
  for (uint32_t i = 0; i < reply->count; i++)
    {
      const store_row_t *row = &reply->rows[i];
      if (strcmp (row->key, FENCE_KEY) != 0 || row->value == NULL)
        continue;
      uint64_t number;
      if (!node_fence_matches (cell, row->value, row->length, &number))
        break;
      if (number == cell->commit_number)
        {
          finish_commit (cell, row->version);
          return;
        }
      /* The answer to the previous commit named a later version than that of
         the fence row.  */
      cell->fence_version = row->version;
      send_commit (cell);
      return;
    }
  node_cell_step_down (cell, "deposed");
}

static void
on_committed (void *context, const store_reply_t *reply)
{
  commit_call_t *call = context;
  node_cell_t *cell = call->cell;
  /* The answer to an earlier attempt says nothing about a later commit.  */
  bool current = call->epoch == cell->epoch && cell->commit_in_flight
                 && call->attempt == cell->commit_attempt;
  adaptive_timeout_t *timeout = &cell->node->store_timeout;
  int64_t took_ms = node_now (cell->node) - call->sent_ms;
  node_histogram_add (cell->node, "magnoliadock_commit_us", took_ms);
  if (reply->result == STORE_OK || reply->result == STORE_CONFLICT)
    adaptive_timeout_answered (timeout, took_ms);
  else if (reply->result == STORE_UNKNOWN)
    adaptive_timeout_missed (timeout, call->timeout_ms);
  g_free (call);
  if (!current)
    return;
  cell->commit_in_flight = false;
  switch (reply->result)
    {
    case STORE_OK:
      finish_commit (cell, reply->version);
      return;
    case STORE_CONFLICT:
      resolve_conflict (cell, reply);
      return;
    case STORE_INVALID:
      replace_refused_commit (cell);
      return;
    case STORE_FULL:
      /* No record is at fault.  */
      pause_refused_commit (cell);
      return;
    default:
      node_counter_increment (cell->node, "magnoliadock_commit_retries_total",
                              NULL);
      ev_timer_set (&cell->commit_retry, COMMIT_RETRY_S, 0.0);
      ev_timer_start (cell->node->loop, &cell->commit_retry);
    }
}

static void
send_commit (node_cell_t *cell)
{
  node_t *node = cell->node;
  const char *owner
      = cell->commit_releases ? "" : node->platform->settings.name;
  store_row_t expect
      = { FENCE_TABLE, cell->name, FENCE_KEY, cell->fence_version, NULL, 0 };
  store_row_t writes[MAX_WRITES];
  uint32_t count = 0;
  char *fence = node_fence_text (cell, owner);
  char *heartbeat
      = cell->commit_has_heartbeat ? node_heartbeat_text (cell, owner) : NULL;
  writes[count++] = (store_row_t){ FENCE_TABLE, cell->name, FENCE_KEY,
                                   0,           fence,      strlen (fence) };
  if (heartbeat != NULL)
    writes[count++]
        = (store_row_t){ CLUSTER_TABLE, cell->name,        HEARTBEAT_KEY, 0,
                         heartbeat,     strlen (heartbeat) };
  for (guint i = 0; i < cell->commit_removal_count; i++)
    writes[count++] = (store_row_t){
      RECORD_TABLE, cell->name, cell->expired_ids->pdata[i], 0, NULL, 0
    };
  for (guint i = 0; cell->commit_has_records && i < cell->records_to_save->len;
       i++)
    {
      const stored_record_t *record = cell->records_to_save->pdata[i];
      writes[count++]
          = (store_row_t){ RECORD_TABLE, cell->name,    record->key, 0,
                           record->text, record->length };
    }
  commit_call_t *call = g_new (commit_call_t, 1);
  *call = (commit_call_t){
    cell, cell->epoch, ++cell->commit_attempt, node_now (node),
    MIN (node->store_timeout.timeout_ms, COMMIT_MAX_TIMEOUT_MS)
  };
  cell->commit_in_flight = true;
  node->platform->ops->commit (node->platform, &expect, 1, writes, count,
                               call->timeout_ms, on_committed, call);
  free (fence);
  free (heartbeat);
}

void
node_commit_retry (struct ev_loop *loop, ev_timer *watcher, int events)
{
  send_commit (watcher->data);
}

/* Keeps the records of ids that are used again from being removed; the next
   save of the new job replaces them.  */
static void
keep_reused_records (node_cell_t *cell)
{
  for (guint i = cell->expired_ids->len; cell->scheduler != NULL && i > 0; i--)
    if (cell_state (cell->scheduler, cell->expired_ids->pdata[i - 1]) != NULL)
      g_ptr_array_remove_index (cell->expired_ids, i - 1);
}

void
node_commit (node_cell_t *cell)
{
  /* An expired timer is pending, and no longer active, until its callback has
     run.  */
  if (cell->commit_in_flight || ev_is_active (&cell->commit_retry)
      || ev_is_pending (&cell->commit_retry)
      || (cell->state != CELL_LOADING && cell->state != CELL_OWNED
          && cell->state != CELL_RELEASING))
    return;
  int64_t now_ms = node_now (cell->node);
  bool heartbeat_due = now_ms - cell->heartbeat_sent_ms >= HEARTBEAT_MS
                       || cell->state == CELL_RELEASING;
  if (!cell->save_pending && !heartbeat_due)
    return;
  /* A commit is repeated with the same rows until its outcome is known.  */
  cell->commit_has_records = cell->save_pending && !cell->records_suspected;
  cell->commit_has_heartbeat = heartbeat_due;
  keep_reused_records (cell);
  cell->commit_removal_count = MIN (cell->expired_ids->len, MAX_REMOVALS);
  cell->commit_releases = cell->state == CELL_RELEASING && !cell->save_pending;
  cell->commit_number++;
  cell->commit_begun_ms = now_ms;
  if (heartbeat_due)
    {
      cell->heartbeat_sent_ms = now_ms;
      cell->heartbeat_commit = cell->commit_number;
    }
  if (cell->commit_releases)
    cell_stop_leases (cell->scheduler);
  send_commit (cell);
}

void
node_release (node_cell_t *cell)
{
  /* A cell that is not yet loaded is left for another node to claim.  */
  if (cell->state != CELL_OWNED)
    {
      if (cell->state != CELL_IDLE)
        node_cell_step_down (cell, "stopping");
      return;
    }
  log_event (LOG_INFO, "cell_releasing", "cell", cell->name, NULL);
  cell->state = CELL_RELEASING;
  node_commit (cell);
}
