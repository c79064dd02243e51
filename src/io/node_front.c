#include "node_int.h"

#include "log.h"

#include <string.h>

/* NAME
     node_front - what callers ask: submit, state, cancel, pending

   Any node accepts a job by writing its row; the owner of the cell finds it
   there.  A submission whose write has an unknown outcome is repeated until it
   is known, and never refused as not run.  */

#define REPEAT_S 0.03
/* Repeats of a write that was surely not done.  */
#define REFUSED_REPEATS 3
/* Callers wait for 3 s; the answer needs a part of it.  */
#define CALLER_WAIT_MS 3000
#define ANSWER_MARGIN_MS 250
#define COME_BACK_MS 500
/* An attempt with less time left makes no sense.  */
#define ATTEMPT_LEAST_MS 100

typedef struct
{
  node_t *node;
  site_request_t *request;
  char *table;
  char *key;
  char *value;
  char *id;
  node_cell_t *cell;
  int64_t until_ms;
  int64_t begun_ms;
  int64_t sent_ms;
  int64_t limit_ms;
  uint32_t refusals;
  bool unsure;  /* a write went unanswered */
  bool by_peer; /* the store does not take it from this node */
  bool cancels;
  ev_timer repeat;
} write_t;

static void send_write (write_t *write);

static void
write_free (write_t *write)
{
  ev_timer_stop (write->node->loop, &write->repeat);
  g_free (write->table);
  g_free (write->key);
  g_free (write->value);
  g_free (write->id);
  g_free (write);
}

static void
answer_written (write_t *write)
{
  const site_ops_t *ops = write->node->site->ops;
  if (write->cancels)
    ops->answer_cancelled (write->request);
  else
    ops->answer_accepted (write->request);
}

static void
give_up (write_t *write)
{
  node_count (write->node, "magnoliadock_refused_total",
              write->unsure ? "reason=\"unanswered\""
                            : "reason=\"store_unavailable\"");
  log_event (LOG_WARN, "write_failed", "id", write->id, "unsure",
             write->unsure ? "1" : "0", NULL);
  write->node->site->ops->answer_error (
      write->request, write->unsure ? ERR_TIMEOUT : ERR_STORE_UNAVAILABLE,
      COME_BACK_MS);
  write_free (write);
}

static void
on_written (void *context, const site_rows_t *reply)
{
  write_t *write = context;
  node_t *node = write->node;
  int64_t now_ms = node_now (node);
  if (reply->result == STORE_OK || reply->result == STORE_CONFLICT)
    {
      if (!write->by_peer)
        patience_answered (&node->patience, now_ms - write->sent_ms);
      log_event (LOG_INFO, write->cancels ? "cancel_stored" : "job_accepted",
                 "id", write->id, "cell", write->cell->name, "known",
                 reply->result == STORE_CONFLICT ? "1" : "0", NULL);
      node_count (node,
                  write->cancels ? "magnoliadock_cancels_total"
                                 : "magnoliadock_accepted_total",
                  NULL);
      node_observe (node, "magnoliadock_write_us", now_ms - write->begun_ms);
      answer_written (write);
      write_free (write);
      return;
    }
  if (reply->result == STORE_UNKNOWN)
    {
      write->unsure = true;
      if (!write->by_peer)
        patience_missed (&node->patience, write->limit_ms);
    }
  if (reply->result != STORE_BUSY)
    write->by_peer = true;
  write->refusals++;
  if (now_ms >= write->until_ms - ATTEMPT_LEAST_MS
      || (!write->unsure && write->refusals > REFUSED_REPEATS))
    {
      give_up (write);
      return;
    }
  ev_timer_set (&write->repeat, REPEAT_S, 0.0);
  ev_timer_start (node->loop, &write->repeat);
}

static void
on_repeat (struct ev_loop *loop, ev_timer *watcher, int events)
{
  send_write (watcher->data);
}

static void
send_write (write_t *write)
{
  node_t *node = write->node;
  char part[INBOX_PART_BYTES];
  node_inbox_part (write->id, part);
  site_row_t expect = { write->table, part, write->key, 0, NULL, 0 };
  site_row_t row = { write->table,         part, write->key, 0, write->value,
                     strlen (write->value) };
  write->sent_ms = node_now (node);
  write->limit_ms = CLAMP (write->until_ms - write->sent_ms, ATTEMPT_LEAST_MS,
                           node->patience.limit_ms);
  node_store_commit (node, write->by_peer, &expect, &row, write->limit_ms,
                     on_written, write);
}

static write_t *
write_new (node_t *node, site_request_t *request, node_cell_t *cell,
           const char *id, int64_t wait_ms)
{
  write_t *write = g_new0 (write_t, 1);
  write->node = node;
  write->request = request;
  write->cell = cell;
  write->table = g_strdup (cell->inbox_table);
  write->id = g_strdup (id);
  write->begun_ms = node_now (node);
  write->until_ms = node_now (node) + (wait_ms > 0 ? wait_ms : CALLER_WAIT_MS)
                    - ANSWER_MARGIN_MS;
  write->by_peer = node_store_lost (node);
  ev_init (&write->repeat, on_repeat);
  write->repeat.data = write;
  return write;
}

static const queue_table_t *
front_queues (void *context)
{
  return ((node_t *)context)->queues;
}

static void
front_submit (void *context, site_request_t *request, const queue_t *queue,
              work_job_t *job, int64_t wait_ms)
{
  node_t *node = context;
  node_cell_t *cell = node_cell_of (node, queue);
  job->accepted_ms = clk_wall_ms (node->clock);
  write_t *write = write_new (node, request, cell, job->id, wait_ms);
  write->key = g_strdup (job->id);
  char *value = work_job_encode (job);
  write->value = g_strdup (value);
  free (value);
  work_job_free (job);
  send_write (write);
}

/* A question about one job, answered from the store.  */
typedef struct
{
  node_t *node;
  site_request_t *request;
  node_cell_t *cell;
  char *id;
  bool cancels;
  bool by_peer;
  bool asks_inbox; /* no record was found */
} question_t;

static question_t *
question_new (node_t *node, site_request_t *request, const queue_t *queue,
              const char *id)
{
  question_t *question = g_new0 (question_t, 1);
  question->node = node;
  question->request = request;
  question->cell = node_cell_of (node, queue);
  question->id = g_strdup (id);
  question->by_peer = node_store_lost (node);
  return question;
}

static void
question_free (question_t *question)
{
  g_free (question->id);
  g_free (question);
}

static void on_row_read (void *context, const site_rows_t *reply);

static void
read_row (question_t *question)
{
  char part[INBOX_PART_BYTES];
  char *to = g_strconcat (question->id, "\x01", NULL);
  node_inbox_part (question->id, part);
  if (question->asks_inbox)
    node_store_read (question->node, question->by_peer,
                     question->cell->inbox_table, part, question->id, to,
                     on_row_read, question);
  else
    node_store_read (question->node, question->by_peer, RECORD_TABLE,
                     question->cell->name, question->id, to, on_row_read,
                     question);
  g_free (to);
}

static void
store_cancel (node_t *node, site_request_t *request, node_cell_t *cell,
              const char *id)
{
  write_t *write = write_new (node, request, cell, id, 0);
  write->cancels = true;
  write->key = g_strconcat (id, CANCEL_SUFFIX, NULL);
  write->value = g_strdup ("cancelled");
  send_write (write);
}

static void
take_inbox_row (question_t *question, bool found)
{
  const site_ops_t *ops = question->node->site->ops;
  if (!found)
    ops->answer_no_job (question->request);
  else if (question->cancels)
    store_cancel (question->node, question->request, question->cell,
                  question->id);
  else
    ops->answer_state (question->request, "queued");
  question_free (question);
}

static void
on_row_read (void *context, const site_rows_t *reply)
{
  question_t *question = context;
  const site_ops_t *ops = question->node->site->ops;
  const char *state = NULL;
  if (reply->result != STORE_OK && !question->by_peer)
    {
      question->by_peer = true;
      read_row (question);
      return;
    }
  if (reply->result != STORE_OK)
    {
      ops->answer_error (question->request, ERR_STORE_UNAVAILABLE,
                         COME_BACK_MS);
      question_free (question);
      return;
    }
  if (question->asks_inbox)
    {
      take_inbox_row (question, reply->count > 0);
      return;
    }
  if (reply->count > 0)
    state = cell_record_state (reply->rows[0].value, reply->rows[0].length);
  if (state == NULL)
    {
      question->asks_inbox = true;
      read_row (question);
      return;
    }
  ops->answer_state (question->request, state);
  question_free (question);
}

static void
front_state (void *context, site_request_t *request, const queue_t *queue,
             const char *id)
{
  node_t *node = context;
  node_cell_t *cell = node_cell_of (node, queue);
  const char *state = cell->state == CELL_OWNED && cell->cell != NULL
                          ? cell_state (cell->cell, id)
                          : NULL;
  if (state != NULL)
    {
      node->site->ops->answer_state (request, state);
      return;
    }
  read_row (question_new (node, request, queue, id));
}

static void
front_cancel (void *context, site_request_t *request, const queue_t *queue,
              const char *id)
{
  node_t *node = context;
  question_t *question = question_new (node, request, queue, id);
  question->cancels = true;
  question->asks_inbox = true;
  read_row (question);
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
front_pending (void *context, site_request_t *request, const queue_t *queue)
{
  node_t *node = context;
  const node_cell_t *cell = node_cell_of (node, queue);
  pending_sum_t sum = { queue->name, 0 };
  if (cell->state == CELL_OWNED && cell->cell != NULL)
    cell_each_pending (cell->cell, add_pending, &sum);
  else
    sum.pending
        = GPOINTER_TO_UINT (g_hash_table_lookup (cell->pending, queue->name));
  node->site->ops->answer_pending (request, sum.pending);
}

const site_jobs_t node_jobs
    = { front_queues, front_submit, front_state, front_cancel, front_pending };
