#include "node_internal.h"

#include "log.h"

#include <string.h>

/* NAME
     node_requests - callers' requests: submit, state, cancel, pending

   Any node accepts a job by writing its inbox row, where the cell's owner
   finds it.  A write with an unknown outcome is repeated until the outcome is
   known or the caller's deadline has passed; the caller then gets
   ERR_TIMEOUT, never an error that says that nothing was stored.  While the
   store is slow the owner may have read the row before the answer to the write
   arrives, so it is asked meanwhile.  */

#define RETRY_S 0.03
/* Retries of a write that was certainly not applied.  */
#define MAX_REFUSED_RETRIES 3
/* Deadline of a request that names none, and the part of any deadline that is
   reserved for the answer.  */
#define DEFAULT_CALLER_WAIT_MS 3000
#define ANSWER_MARGIN_MS 250
#define RETRY_AFTER_MS 500
/* Less time is not enough for an attempt.  */
#define MIN_ATTEMPT_MS 100
/* Time between the questions to the owner whether it has read the row of a
   write without an answer.  */
#define ASK_OWNER_S 0.3

typedef struct
{
  node_t *node;
  caller_request_t *request;
  char *table;
  char *key;
  char *value;
  char *id;
  node_cell_t *cell;
  int64_t deadline_ms;
  int64_t started_ms;
  int64_t sent_ms;
  int64_t timeout_ms;
  uint32_t failed_attempts;
  bool outcome_unknown; /* an attempt had no answer, may be applied */
  bool via_peer;        /* the store fails for this node */
  bool is_cancel;
  bool answered;       /* the caller has its answer */
  uint32_t open_calls; /* to the store and to the owner */
  ev_timer retry;
  ev_timer ask_owner;
} inbox_write_t;

static void send_write (inbox_write_t *write);

/* Frees WRITE once its caller has an answer and no call refers to it.  */
static void
free_if_finished (inbox_write_t *write)
{
  if (!write->answered || write->open_calls > 0)
    return;
  g_free (write->table);
  g_free (write->key);
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

/* The store refuses the row whenever it is sent.  An earlier attempt without
   an answer may have been stored all the same.  */
static void
refuse_write (inbox_write_t *write)
{
  node_counter_increment (write->node, "magnoliadock_refused_total",
                          "reason=\"row_refused\"");
  log_event (LOG_ERROR, "row_refused", "id", write->id, "row", write->key,
             "unsure", write->outcome_unknown ? "1" : "0", NULL);
  write->node->platform->ops->answer_error (
      write->request, write->outcome_unknown ? ERR_TIMEOUT : ERR_BAD_REQUEST,
      0);
  finish_write (write);
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
      if (reply->result == STORE_OK)
        node_notify_owner (write->cell, write->key, write->value);
      if (!write->answered)
        answer_written (write, reply->result == STORE_CONFLICT);
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
  if (reply->result == STORE_INVALID)
    {
      refuse_write (write);
      return;
    }
  if (reply->result != STORE_BUSY)
    write->via_peer = true;
  write->failed_attempts++;
  if (now_ms >= write->deadline_ms - MIN_ATTEMPT_MS
      || (!write->outcome_unknown
          && write->failed_attempts > MAX_REFUSED_RETRIES))
    {
      fail_write (write);
      return;
    }
  ev_timer_set (&write->retry, RETRY_S, 0.0);
  ev_timer_start (node->loop, &write->retry);
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

static void
send_write (inbox_write_t *write)
{
  node_t *node = write->node;
  char part[INBOX_PART_NAME_BYTES];
  node_inbox_part (write->id, part);
  store_row_t expect = { write->table, part, write->key, 0, NULL, 0 };
  store_row_t row = { write->table,         part, write->key, 0, write->value,
                      strlen (write->value) };
  write->sent_ms = node_now (node);
  write->timeout_ms = CLAMP (
      write->deadline_ms - write->sent_ms, MIN_ATTEMPT_MS,
      adaptive_timeout_with_lag (&node->store_timeout, node->store_lag_ms));
  write->open_calls++;
  node_store_commit (node, write->via_peer, &expect, &row, write->timeout_ms,
                     on_written, write);
}

static inbox_write_t *
write_new (node_t *node, caller_request_t *request, node_cell_t *cell,
           const char *id, int64_t wait_ms)
{
  inbox_write_t *write = g_new0 (inbox_write_t, 1);
  write->node = node;
  write->request = request;
  write->cell = cell;
  write->table = g_strdup (cell->inbox_table);
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

static const queue_table_t *
current_queues (void *context)
{
  return ((node_t *)context)->queues;
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

/* A query about one job, answered from the store: from its record, or without
   one from its inbox row.  */
typedef struct
{
  node_t *node;
  caller_request_t *request;
  node_cell_t *cell;
  char *id;
  bool is_cancel;
  bool via_peer;
  bool reads_inbox; /* instead of the record */
} job_query_t;

static job_query_t *
query_new (node_t *node, caller_request_t *request, const queue_t *queue,
           const char *id)
{
  job_query_t *query = g_new0 (job_query_t, 1);
  query->node = node;
  query->request = request;
  query->cell = node_cell_for_queue (node, queue);
  query->id = g_strdup (id);
  query->via_peer = node_store_unreachable (node);
  return query;
}

static void
query_free (job_query_t *query)
{
  g_free (query->id);
  g_free (query);
}

static void on_row_read (void *context, const store_reply_t *reply);

static void
read_row (job_query_t *query)
{
  char part[INBOX_PART_NAME_BYTES];
  /* Lies below the key of the cancel, so that the range holds only ID.  */
  char *to = g_strconcat (query->id, "\x01", NULL);
  node_inbox_part (query->id, part);
  if (query->reads_inbox)
    node_store_read (query->node, query->via_peer, query->cell->inbox_table,
                     part, query->id, to, on_row_read, query);
  else
    node_store_read (query->node, query->via_peer, RECORD_TABLE,
                     query->cell->name, query->id, to, on_row_read, query);
  g_free (to);
}

static void
store_cancel (node_t *node, caller_request_t *request, node_cell_t *cell,
              const char *id)
{
  inbox_write_t *write = write_new (node, request, cell, id, 0);
  write->is_cancel = true;
  write->key = g_strconcat (id, CANCEL_SUFFIX, NULL);
  write->value = g_strdup ("cancelled");
  send_write (write);
}

static void
answer_from_inbox (job_query_t *query, bool found)
{
  const platform_api_ops_t *ops = query->node->platform->ops;
  if (!found)
    ops->answer_no_job (query->request);
  else if (query->is_cancel)
    store_cancel (query->node, query->request, query->cell, query->id);
  else
    ops->answer_state (query->request, "queued");
  query_free (query);
}

static void
on_row_read (void *context, const store_reply_t *reply)
{
  job_query_t *query = context;
  const platform_api_ops_t *ops = query->node->platform->ops;
  const char *state = NULL;
  if (reply->result != STORE_OK && !query->via_peer)
    {
      query->via_peer = true;
      read_row (query);
      return;
    }
  if (reply->result != STORE_OK)
    {
      ops->answer_error (query->request, ERR_STORE_UNAVAILABLE,
                         RETRY_AFTER_MS);
      query_free (query);
      return;
    }
  if (query->reads_inbox)
    {
      answer_from_inbox (query, reply->count > 0);
      return;
    }
  if (reply->count > 0)
    state = cell_record_state (reply->rows[0].value, reply->rows[0].length);
  if (state == NULL)
    {
      query->reads_inbox = true;
      read_row (query);
      return;
    }
  ops->answer_state (query->request, state);
  query_free (query);
}

static void
handle_state (void *context, caller_request_t *request, const queue_t *queue,
              const char *id)
{
  node_t *node = context;
  node_cell_t *cell = node_cell_for_queue (node, queue);
  const char *state = cell->state == CELL_OWNED && cell->scheduler != NULL
                          ? cell_state (cell->scheduler, id)
                          : NULL;
  if (state != NULL)
    {
      node->platform->ops->answer_state (request, state);
      return;
    }
  read_row (query_new (node, request, queue, id));
}

static void
handle_cancel (void *context, caller_request_t *request, const queue_t *queue,
               const char *id)
{
  node_t *node = context;
  job_query_t *query = query_new (node, request, queue, id);
  query->is_cancel = true;
  query->reads_inbox = true;
  read_row (query);
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

static void
handle_pending (void *context, caller_request_t *request, const queue_t *queue)
{
  node_t *node = context;
  const node_cell_t *cell = node_cell_for_queue (node, queue);
  pending_sum_t sum = { queue->name, 0 };
  gpointer count = NULL;
  if (cell->state == CELL_OWNED && cell->scheduler != NULL)
    cell_each_pending (cell->scheduler, add_pending, &sum);
  else if (g_hash_table_lookup_extended (cell->pending_by_queue, queue->name,
                                         NULL, &count))
    sum.pending = GPOINTER_TO_UINT (count);
  else if (cell->pending_cut)
    {
      /* Only the owner knows.  */
      node->platform->ops->answer_error (request, ERR_STORE_UNAVAILABLE,
                                         RETRY_AFTER_MS);
      return;
    }
  node->platform->ops->answer_pending (request, sum.pending);
}

const caller_request_handlers_t node_request_handlers
    = { current_queues, handle_submit, handle_state, handle_cancel,
        handle_pending };
