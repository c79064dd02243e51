#include "node_internal.h"

#include "log.h"

#include <string.h>

/* NAME
     node_requests - callers' requests: submit, state, cancel, pending

   Any node accepts a job by writing its inbox row, where the cell's owner
   finds it, and its home, which names that cell; no other node can then store
   the same id in another cell.  A cancel of an id that has no job leaves a
   tombstone, see node_tombstone.c.  A write with an unknown outcome is
   repeated until the outcome is known or the caller's deadline has passed; the
   caller then gets ERR_TIMEOUT, never an error that says that nothing was
   stored. While the store is slow the owner may have read the row before the
   answer to the write arrives, so it is asked meanwhile.  */

/* Retries of a write that was certainly not applied.  */
#define MAX_REFUSED_RETRIES 3
/* Deadline of a request that names none, and the part of any deadline that is
   reserved for the answer.  */
#define DEFAULT_CALLER_WAIT_MS 3000
#define ANSWER_MARGIN_MS 250
#define RETRY_AFTER_MS 500
/* A full store has room again once jobs that have ended are deleted.  */
#define RETRY_AFTER_FULL_MS 5000
/* Less time is not enough for an attempt.  */
#define MIN_ATTEMPT_MS 100
/* Time between the questions to the owner whether it has read the row of a
   write without an answer.  */
#define ASK_OWNER_S 0.3
/* For a job that is to be cancelled and is stored or deleted meanwhile.  */
#define MAX_SEARCHES 4u
#define CANCEL_VALUE "cancelled"

typedef struct
{
  node_t *node;
  caller_request_t *request;
  char *key;
  char *value;
  char *id;
  node_cell_t *cell;
  uint64_t home_version; /* of a home that a deleted job has left; 0: none */
  uint64_t job_version;  /* of the row of the job that is cancelled; 0: there
                            is no job */
  uint64_t tombstone_version; /* of the one that a submission removes */
  char *cancel_key; /* of a submission that is stored as cancelled; NULL: of
                       any other */
  int64_t deadline_ms;
  int64_t started_ms;
  int64_t sent_ms;
  int64_t timeout_ms;
  uint32_t failed_attempts;
  uint32_t searches;    /* for the job that is cancelled */
  bool outcome_unknown; /* an attempt had no answer, may be applied */
  bool via_peer;        /* the store fails for this node */
  bool is_cancel;
  bool answered;       /* the caller has its answer */
  uint32_t open_calls; /* to the store and to the owner */
  ev_timer retry;
  ev_timer ask_owner;
} inbox_write_t;

static void send_write (inbox_write_t *write);
static void find_and_cancel (node_t *node, caller_request_t *request,
                             node_cell_t *first, const char *id,
                             const inbox_write_t *before);

/* Frees WRITE once its caller has an answer and no call refers to it.  */
static void
free_if_finished (inbox_write_t *write)
{
  if (!write->answered || write->open_calls > 0)
    return;
  g_free (write->key);
  g_free (write->cancel_key);
  g_free (write->value);
  g_free (write->id);
  g_free (write);
}

static void
finish_write (inbox_write_t *write)
{
  write->answered = true;
  ev_timer_stop (write->node->loop, &write->retry);
  ev_timer_stop (write->node->loop, &write->ask_owner);
}

/* The tombstone is stored.  */
static void
answer_tombstone_stored (inbox_write_t *write)
{
  log_event (LOG_INFO, "tombstone_stored", "id", write->id, NULL);
  write->node->platform->ops->answer_no_job (write->request);
  finish_write (write);
}

/* The row is stored.  KNOWN: it was before, or somebody else found it.  */
static void
answer_written (inbox_write_t *write, bool known)
{
  node_t *node = write->node;
  const platform_api_ops_t *ops = node->platform->ops;
  log_event (LOG_INFO, write->is_cancel ? "cancel_stored" : "job_accepted",
             "id", write->id, "cell", write->cell->name, "known",
             known ? "1" : "0", NULL);
  node_counter_increment (node,
                          write->is_cancel ? "magnoliadock_cancels_total"
                                           : "magnoliadock_accepted_total",
                          NULL);
  node_histogram_add (node, "magnoliadock_write_us",
                      node_now (node) - write->started_ms);
  if (write->is_cancel)
    ops->answer_cancelled (write->request);
  else
    ops->answer_accepted (write->request);
  finish_write (write);
}

static void
fail_write (inbox_write_t *write)
{
  node_counter_increment (write->node, "magnoliadock_refused_total",
                          write->outcome_unknown
                              ? "reason=\"unanswered\""
                              : "reason=\"store_unavailable\"");
  log_event (LOG_WARN, "write_failed", "id", write->id, "unsure",
             write->outcome_unknown ? "1" : "0", NULL);
  write->node->platform->ops->answer_error (
      write->request,
      write->outcome_unknown ? ERR_TIMEOUT : ERR_STORE_UNAVAILABLE,
      RETRY_AFTER_MS);
  finish_write (write);
}

/* The store refuses the row, which is at fault unless the store is full.  An
   earlier attempt without an answer may have been stored all the same.  */
static void
refuse_write (inbox_write_t *write, bool full)
{
  err_kind_t kind = full ? ERR_STORE_UNAVAILABLE : ERR_BAD_REQUEST;
  node_counter_increment (write->node, "magnoliadock_refused_total",
                          full ? "reason=\"store_full\""
                               : "reason=\"row_refused\"");
  log_event (LOG_ERROR, full ? "store_full" : "row_refused", "id", write->id,
             "row", write->key, "unsure", write->outcome_unknown ? "1" : "0",
             NULL);
  write->node->platform->ops->answer_error (
      write->request, write->outcome_unknown ? ERR_TIMEOUT : kind,
      full ? RETRY_AFTER_FULL_MS : 0);
  finish_write (write);
}

/* The last attempt of WRITE was not applied, or had no answer.  Returns
   whether there may be another one; else gives it up.  */
static bool
begin_attempt (inbox_write_t *write)
{
  write->failed_attempts++;
  if (node_now (write->node) < write->deadline_ms - MIN_ATTEMPT_MS
      && (write->outcome_unknown
          || write->failed_attempts <= MAX_REFUSED_RETRIES))
    return true;
  fail_write (write);
  return false;
}

/* Sends WRITE again after a pause, or gives it up.  */
static void
retry_write (inbox_write_t *write)
{
  if (!begin_attempt (write))
    return;
  ev_timer_set (&write->retry, write->node->write_retry_s, 0.0);
  ev_timer_start (write->node->loop, &write->retry);
}

/* A row was not as WRITE expected, which is known now.  */
static void
replace_attempt (inbox_write_t *write)
{
  if (write->failed_attempts >= MAX_REFUSED_RETRIES)
    retry_write (write);
  else if (begin_attempt (write))
    send_write (write);
}

/* Returns the row KEY of TABLE in REPLY, NULL if it is absent.  */
static const store_row_t *
row_in (const store_reply_t *reply, const char *table, const char *key)
{
  for (uint32_t i = 0; i < reply->count; i++)
    if (strcmp (reply->rows[i].table, table) == 0
        && strcmp (reply->rows[i].key, key) == 0
        && reply->rows[i].value != NULL)
      return &reply->rows[i];
  return NULL;
}

/* Has the next attempt store the submission as a cancelled job.  */
static void
cancel_submission (inbox_write_t *write, const store_row_t *tombstone)
{
  write->tombstone_version = tombstone->version;
  if (write->cancel_key != NULL)
    return;
  work_job_t *job
      = work_job_decode (write->value, strlen (write->value), NULL);
  job->cancelled = true;
  char *value = work_job_encode (job);
  g_free (write->value);
  write->value = g_strdup (value);
  write->cancel_key = g_strconcat (write->id, CANCEL_SUFFIX, NULL);
  log_event (LOG_INFO, "submission_cancelled", "id", write->id, NULL);
  free (value);
  work_job_free (job);
}

/* A row that the submission expected to be absent is there.  Returns whether
   it is the job; else it is a tombstone, or only a home that a node of an
   earlier version has left of a deleted job, and the next attempt replaces
   it.  */
static bool
submission_is_stored (inbox_write_t *write, const store_reply_t *reply)
{
  const store_row_t *home = row_in (reply, HOME_TABLE, write->id);
  const store_row_t *tombstone = row_in (reply, TOMBSTONE_TABLE, write->id);
  for (uint32_t i = 0; i < reply->count; i++)
    if (reply->rows[i].value != NULL
        && strcmp (reply->rows[i].table, HOME_TABLE) != 0
        && strcmp (reply->rows[i].table, TOMBSTONE_TABLE) != 0)
      return true;
  write->home_version = home != NULL ? home->version : 0;
  write->tombstone_version = 0;
  if (tombstone != NULL)
    cancel_submission (write, tombstone);
  if (home != NULL)
    {
      /* The next attempt expects the job to be absent there too.  */
      char *name = g_strndup (home->value, home->length);
      node_get_cell (write->node, name);
      g_free (name);
    }
  return false;
}

/* A row of a cancel was not as expected.  Answers it if that tells what has
   become of it, has the next attempt expect the row of the job as it is, or
   searches for the job again.  */
static void
resolve_cancel (inbox_write_t *write, const store_reply_t *reply)
{
  const char *table = write->cell->inbox_table;
  const store_row_t *job = row_in (reply, table, write->id);
  if (row_in (reply, table, write->key) != NULL)
    answer_written (write, true);
  else if (write->job_version != 0 && job != NULL)
    {
      write->job_version = job->version;
      replace_attempt (write);
    }
  else if (write->searches >= MAX_SEARCHES)
    fail_write (write);
  else
    {
      find_and_cancel (write->node, write->request, write->cell, write->id,
                       write);
      finish_write (write);
    }
}

/* The store has applied WRITE, or found a row of it in conflict.  */
static void
handle_outcome (inbox_write_t *write, const store_reply_t *reply)
{
  bool leaves_tombstone = write->is_cancel && write->job_version == 0;
  if (reply->result == STORE_OK)
    {
      if (!leaves_tombstone)
        node_notify_owner (write->cell, write->key, write->value);
      if (!write->answered && leaves_tombstone)
        answer_tombstone_stored (write);
      else if (!write->answered)
        answer_written (write, false);
      return;
    }
  if (write->answered)
    return;
  if (write->is_cancel)
    resolve_cancel (write, reply);
  else if (submission_is_stored (write, reply))
    answer_written (write, true);
  else
    replace_attempt (write);
}

static void
handle_reply (inbox_write_t *write, const store_reply_t *reply)
{
  node_t *node = write->node;
  int64_t now_ms = node_now (node);
  if (reply->result == STORE_OK || reply->result == STORE_CONFLICT)
    {
      if (!write->via_peer)
        adaptive_timeout_answered (&node->store_timeout,
                                   now_ms - write->sent_ms);
      handle_outcome (write, reply);
      return;
    }
  if (reply->result == STORE_UNKNOWN)
    {
      write->outcome_unknown = true;
      if (!write->via_peer)
        adaptive_timeout_missed (&node->store_timeout, write->timeout_ms);
    }
  if (write->answered)
    return;
  if (reply->result == STORE_INVALID || reply->result == STORE_FULL)
    {
      refuse_write (write, reply->result == STORE_FULL);
      return;
    }
  if (reply->result != STORE_BUSY)
    write->via_peer = true;
  retry_write (write);
}

static void
on_written (void *context, const store_reply_t *reply)
{
  inbox_write_t *write = context;
  write->open_calls--;
  handle_reply (write, reply);
  free_if_finished (write);
}

static void
on_owner_asked (void *context, bool knows)
{
  inbox_write_t *write = context;
  write->open_calls--;
  if (knows && !write->answered)
    answer_written (write, true);
  free_if_finished (write);
}

/* Cancels are not asked about: a job that is not cancelled yet shows nothing.
 */
static void
on_ask_owner (struct ev_loop *loop, ev_timer *watcher, int events)
{
  inbox_write_t *write = watcher->data;
  if (write->is_cancel)
    return;
  write->open_calls++;
  node_ask_owner (write->cell, write->id, on_owner_asked, write);
}

static void
on_retry (struct ev_loop *loop, ev_timer *watcher, int events)
{
  send_write (watcher->data);
}

/* Cells that are expected not to have the job: all that this node knows, since
   jobs that an earlier version has stored have no home.  */
#define MAX_EXPECTED_CELLS 90u
/* Of a submission that is stored as cancelled.  */
#define MAX_WRITES 4u

/* The rows of a transaction.  */
typedef struct
{
  GArray *expect; /* store_row_t */
  store_row_t writes[MAX_WRITES];
  uint32_t write_count;
} rows_t;

static void
add_write (rows_t *rows, store_row_t row, const char *value)
{
  row.value = value;
  row.length = value != NULL ? strlen (value) : 0;
  rows->writes[rows->write_count++] = row;
}

/* Expects that there is no job, in any cell.  */
static void
expect_no_job (const inbox_write_t *write, const char *part, rows_t *rows)
{
  GHashTableIter iterator;
  gpointer value;
  store_row_t home
      = { HOME_TABLE, part, write->id, write->home_version, NULL, 0 };
  store_row_t own = { write->cell->inbox_table, part, write->id, 0, NULL, 0 };
  g_array_append_val (rows->expect, home);
  g_array_append_val (rows->expect, own);
  g_hash_table_iter_init (&iterator, write->node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &value)
         && rows->expect->len < MAX_EXPECTED_CELLS)
    {
      const node_cell_t *cell = value;
      store_row_t other = { cell->inbox_table, part, write->id, 0, NULL, 0 };
      if (cell != write->cell)
        g_array_append_val (rows->expect, other);
    }
}

static void
submission_rows (const inbox_write_t *write, const char *part, rows_t *rows)
{
  const char *table = write->cell->inbox_table;
  store_row_t tombstone = { TOMBSTONE_TABLE,          part, write->id,
                            write->tombstone_version, NULL, 0 };
  expect_no_job (write, part, rows);
  g_array_append_val (rows->expect, tombstone);
  add_write (rows, (store_row_t){ table, part, write->id, 0, NULL, 0 },
             write->value);
  add_write (rows, (store_row_t){ HOME_TABLE, part, write->id, 0, NULL, 0 },
             write->cell->name);
  if (write->cancel_key != NULL)
    add_write (rows,
               (store_row_t){ table, part, write->cancel_key, 0, NULL, 0 },
               CANCEL_VALUE);
  if (write->tombstone_version != 0)
    add_write (rows, tombstone, NULL);
}

/* The rows of the cancel of a job.  */
static void
cancel_rows (const inbox_write_t *write, const char *part, rows_t *rows)
{
  const char *table = write->cell->inbox_table;
  store_row_t job = { table, part, write->id, write->job_version, NULL, 0 };
  store_row_t cancel = { table, part, write->key, 0, NULL, 0 };
  g_array_append_val (rows->expect, job);
  g_array_append_val (rows->expect, cancel);
  add_write (rows, cancel, write->value);
}

/* The rows of the cancel of an id without a job.  Replaces an earlier
   tombstone.  */
static void
tombstone_rows (const inbox_write_t *write, const char *part, rows_t *rows)
{
  expect_no_job (write, part, rows);
  add_write (rows,
             (store_row_t){ TOMBSTONE_TABLE, part, write->id, 0, NULL, 0 },
             write->value);
}

static void
send_write (inbox_write_t *write)
{
  node_t *node = write->node;
  char part[INBOX_PART_NAME_BYTES];
  rows_t rows = { .expect = g_array_new (FALSE, FALSE, sizeof (store_row_t)) };
  node_inbox_part (write->id, part);
  if (!write->is_cancel)
    submission_rows (write, part, &rows);
  else if (write->job_version != 0)
    cancel_rows (write, part, &rows);
  else
    tombstone_rows (write, part, &rows);
  write->sent_ms = node_now (node);
  write->timeout_ms = CLAMP (
      write->deadline_ms - write->sent_ms, MIN_ATTEMPT_MS,
      adaptive_timeout_with_lag (&node->store_timeout, node->store_lag_ms));
  write->open_calls++;
  node_store_commit (node, write->via_peer,
                     (const store_row_t *)(const void *)rows.expect->data,
                     rows.expect->len, rows.writes, rows.write_count,
                     write->timeout_ms, on_written, write);
  g_array_unref (rows.expect);
}

static inbox_write_t *
write_new (node_t *node, caller_request_t *request, node_cell_t *cell,
           const char *id, int64_t wait_ms)
{
  inbox_write_t *write = g_new0 (inbox_write_t, 1);
  write->node = node;
  write->request = request;
  write->cell = cell;
  write->id = g_strdup (id);
  write->started_ms = node_now (node);
  write->deadline_ms = node_now (node)
                       + (wait_ms > 0 ? wait_ms : DEFAULT_CALLER_WAIT_MS)
                       - ANSWER_MARGIN_MS;
  write->via_peer = node_store_unreachable (node);
  ev_init (&write->retry, on_retry);
  write->retry.data = write;
  ev_timer_init (&write->ask_owner, on_ask_owner, ASK_OWNER_S, ASK_OWNER_S);
  write->ask_owner.data = write;
  ev_timer_start (node->loop, &write->ask_owner);
  return write;
}

/* The store would refuse the row whenever it is sent.  */
static void
refuse_too_large (inbox_write_t *write)
{
  node_counter_increment (write->node, "magnoliadock_refused_total",
                          "reason=\"too_large\"");
  log_event (LOG_WARN, "job_too_large", "id", write->id, NULL);
  write->node->platform->ops->answer_error (write->request, ERR_TOO_LARGE, 0);
  finish_write (write);
  free_if_finished (write);
}

static void
handle_submit (void *context, caller_request_t *request, const queue_t *queue,
               work_job_t *job, int64_t wait_ms)
{
  node_t *node = context;
  node_cell_t *cell = node_cell_for_queue (node, queue);
  job->accepted_ms = clk_wall_ms (node->clock);
  job->config_version = node->config_freshness.version;
  job->terms = queue_copy (queue);
  inbox_write_t *write = write_new (node, request, cell, job->id, wait_ms);
  write->key = g_strdup (job->id);
  char *value = work_job_encode (job);
  write->value = g_strdup (value);
  free (value);
  work_job_free (job);
  if (strlen (write->value) > cell_row_limit (&node->platform->settings.cells))
    {
      refuse_too_large (write);
      return;
    }
  send_write (write);
}

/* A query about one job that is answered from the store.  */
typedef struct
{
  node_t *node;
  caller_request_t *request;
  char *id;
  node_cell_t *first;  /* of a cancel: where the search begins */
  uint32_t searches;   /* of a cancel, with this one */
  int64_t deadline_ms; /* of a cancel that has had a write; 0: not set */
} job_query_t;

static job_query_t *
query_new (node_t *node, caller_request_t *request, const char *id)
{
  job_query_t *query = g_new (job_query_t, 1);
  *query
      = (job_query_t){ .node = node, .request = request, .id = g_strdup (id) };
  return query;
}

static void
query_free (job_query_t *query)
{
  g_free (query->id);
  g_free (query);
}

static void
on_state_found (void *context, const found_job_t *found)
{
  job_query_t *query = context;
  const platform_api_ops_t *ops = query->node->platform->ops;
  if (found->result != STORE_OK)
    ops->answer_error (query->request, ERR_STORE_UNAVAILABLE, RETRY_AFTER_MS);
  else if (found->cell != NULL)
    ops->answer_state (query->request, found->state);
  else
    ops->answer_no_job (query->request);
  query_free (query);
}

/* Returns the state of the job ID if this node owns its cell, else NULL.  */
static const char *
owned_state (const node_t *node, const char *id)
{
  const char *state = NULL;
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, node->cells);
  while (state == NULL && g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const node_cell_t *cell = value;
      if (cell->state == CELL_OWNED && cell->scheduler != NULL)
        state = cell_state (cell->scheduler, id);
    }
  return state;
}

static void
handle_state (void *context, caller_request_t *request, const queue_t *queue,
              const char *id)
{
  node_t *node = context;
  const char *state = owned_state (node, id);
  if (state != NULL)
    node->platform->ops->answer_state (request, state);
  else
    node_find_job (node, node_cell_for_queue (node, queue), id, true,
                   on_state_found, query_new (node, request, id));
}

static void
on_cancel_found (void *context, const found_job_t *found)
{
  job_query_t *query = context;
  node_t *node = query->node;
  const platform_api_ops_t *ops = node->platform->ops;
  bool has_job = found->cell != NULL;
  bool late = query->deadline_ms != 0
              && node_now (node) >= query->deadline_ms - MIN_ATTEMPT_MS;
  if (found->result != STORE_OK || late
      || (!has_job && !node_take_tombstone (node)))
    ops->answer_error (query->request, ERR_STORE_UNAVAILABLE, RETRY_AFTER_MS);
  else
    {
      inbox_write_t *write
          = write_new (node, query->request,
                       has_job ? found->cell : query->first, query->id, 0);
      write->is_cancel = true;
      write->searches = query->searches;
      write->job_version = found->inbox_version;
      write->home_version = found->home_version;
      write->key = g_strconcat (query->id, CANCEL_SUFFIX, NULL);
      write->value = g_strdup (CANCEL_VALUE);
      if (query->deadline_ms != 0)
        write->deadline_ms = query->deadline_ms;
      send_write (write);
    }
  query_free (query);
}

/* Cancels the job ID, or leaves a tombstone.  BEFORE: the write that has found
   that the last search is out of date; NULL: there was none.  */
static void
find_and_cancel (node_t *node, caller_request_t *request, node_cell_t *first,
                 const char *id, const inbox_write_t *before)
{
  job_query_t *query = query_new (node, request, id);
  query->first = first;
  query->searches = before != NULL ? before->searches + 1 : 1;
  query->deadline_ms = before != NULL ? before->deadline_ms : 0;
  node_find_job (node, first, id, false, on_cancel_found, query);
}

static void
handle_cancel (void *context, caller_request_t *request, const queue_t *queue,
               const char *id)
{
  node_t *node = context;
  find_and_cancel (node, request, node_cell_for_queue (node, queue), id, NULL);
}

typedef struct
{
  const char *queue;
  uint32_t pending;
} pending_sum_t;

static void
add_pending (void *context, const char *queue, uint32_t pending)
{
  pending_sum_t *sum = context;
  if (strcmp (queue, sum->queue) == 0)
    sum->pending += pending;
}

/* Adds the pending jobs of a queue in CELL to SUM.  Returns false if only the
   owner of CELL knows them.  */
static bool
add_pending_of (const node_cell_t *cell, pending_sum_t *sum)
{
  gpointer count = NULL;
  if (cell->state == CELL_OWNED && cell->scheduler != NULL)
    cell_each_pending (cell->scheduler, add_pending, sum);
  else if (g_hash_table_lookup_extended (cell->pending_by_queue, sum->queue,
                                         NULL, &count))
    sum->pending += GPOINTER_TO_UINT (count);
  else
    return !cell->pending_cut;
  return true;
}

/* Jobs of a queue are in several cells once its route has moved.  */
static void
handle_pending (void *context, caller_request_t *request, const queue_t *queue)
{
  node_t *node = context;
  const platform_api_ops_t *ops = node->platform->ops;
  pending_sum_t sum = { queue->name, 0 };
  bool known = true;
  GHashTableIter iterator;
  gpointer cell;
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &cell))
    known = add_pending_of (cell, &sum) && known;
  if (known)
    ops->answer_pending (request, sum.pending);
  else
    ops->answer_error (request, ERR_STORE_UNAVAILABLE, RETRY_AFTER_MS);
}

const caller_request_handlers_t node_request_handlers
    = { node_route_request, handle_submit, handle_state, handle_cancel,
        handle_pending };
