#include "node_internal.h"

#include <string.h>

/* NAME
     node_orders - calls to workers on behalf of an owned cell  */

/* An order to a healthy worker takes a few ms, and somewhat more while this
   node is busy; repeating it does no harm.  */
#define ORDER_TIMEOUT_MS 200
/* Added to the time that the worker may wait for a run to end.  */
#define POLL_SLACK_MS 300

/* A call in flight.  */
typedef struct
{
  node_cell_t *cell;
  uint32_t epoch;
  char *worker;
  char *task;
  uint32_t run;
  uint32_t raises; /* of the token */
  int64_t sent_ms;
} order_call_t;

static order_call_t *
call_new (node_cell_t *cell, const cell_worker_ref_t *worker, const char *task,
          uint32_t run)
{
  order_call_t *call = g_new (order_call_t, 1);
  *call = (order_call_t){ .cell = cell,
                          .epoch = cell->epoch,
                          .worker = g_strdup (worker->id),
                          .task = g_strdup (task),
                          .run = run,
                          .raises = worker->raises,
                          .sent_ms = node_now (cell->node) };
  return call;
}

static void
call_free (order_call_t *call)
{
  g_free (call->worker);
  g_free (call->task);
  g_free (call);
}

/* The scheduler of the cell that CALL was made for, NULL if this node no
   longer owns the cell.  */
static cell_t *
owned_scheduler (const order_call_t *call)
{
  if (call->epoch != call->cell->epoch)
    return NULL;
  call->cell->node->input_pending = true;
  return call->cell->scheduler;
}

static order_target_t
target_of (const node_cell_t *cell, const cell_worker_ref_t *worker)
{
  uint64_t token = cell->token - (TOKEN_RANGE - 1) + worker->raises;
  return (order_target_t){ worker->id, worker->address, token };
}

/* RESULT of CALL as it is for the scheduler.  */
static order_result_t
result_of (const order_call_t *call, const cell_t *scheduler,
           order_result_t result)
{
  /* The order was for an earlier life.  */
  if (result == ORDER_FENCED
      && call->raises < cell_worker_raises (scheduler, call->worker))
    return ORDER_NOT_DELIVERED;
  return result;
}

static void
on_started (void *context, order_result_t result, int64_t clock_ms)
{
  order_call_t *call = context;
  cell_t *scheduler = owned_scheduler (call);
  if (scheduler != NULL)
    cell_start_answered (scheduler, call->worker, call->task, call->run,
                         result_of (call, scheduler, result), clock_ms);
  call_free (call);
}

void
node_start_task (void *context, const cell_worker_ref_t *worker,
                 const cell_start_order_t *order)
{
  node_cell_t *cell = context;
  platform_api_t *platform = cell->node->platform;
  order_target_t target = target_of (cell, worker);
  platform->ops->start (platform, &target, order, ORDER_TIMEOUT_MS, on_started,
                        call_new (cell, worker, order->task, order->run));
}

static void
on_stopped (void *context, order_result_t result, int64_t clock_ms)
{
  order_call_t *call = context;
  cell_t *scheduler = owned_scheduler (call);
  if (scheduler != NULL)
    cell_stop_answered (scheduler, call->worker, call->task, call->run,
                        result_of (call, scheduler, result));
  call_free (call);
}

void
node_stop_task (void *context, const cell_worker_ref_t *worker,
                const char *task, uint32_t run)
{
  node_cell_t *cell = context;
  platform_api_t *platform = cell->node->platform;
  order_target_t target = target_of (cell, worker);
  platform->ops->stop (platform, &target, task, run, ORDER_TIMEOUT_MS,
                       on_stopped, call_new (cell, worker, task, run));
}

static void
on_paced (void *context, order_result_t result, int64_t clock_ms)
{
  order_call_t *call = context;
  /* The result is not needed: the next report leads to a new decision.  */
  call_free (call);
}

void
node_pace_task (void *context, const cell_worker_ref_t *worker,
                const char *task, uint32_t run, uint32_t percent)
{
  node_cell_t *cell = context;
  platform_api_t *platform = cell->node->platform;
  order_target_t target = target_of (cell, worker);
  platform->ops->pace (platform, &target, task, run, percent, ORDER_TIMEOUT_MS,
                       on_paced, call_new (cell, worker, task, run));
}

static void
on_polled (void *context, order_result_t result, worker_report_t *report)
{
  order_call_t *call = context;
  cell_t *scheduler = owned_scheduler (call);
  if (scheduler != NULL && report != NULL)
    {
      report->sent_ms = call->sent_ms;
      report->raises = call->raises;
      cell_poll_answered (scheduler, call->worker, report);
    }
  else if (scheduler != NULL)
    cell_poll_failed (scheduler, call->worker,
                      result_of (call, scheduler, result));
  call_free (call);
}

void
node_poll_worker (void *context, const cell_worker_ref_t *worker,
                  int64_t lease_until_ms, uint64_t acknowledged_end,
                  int64_t wait_ms)
{
  node_cell_t *cell = context;
  platform_api_t *platform = cell->node->platform;
  order_target_t target = target_of (cell, worker);
  platform->ops->poll (platform, &target, lease_until_ms, acknowledged_end,
                       wait_ms, wait_ms + POLL_SLACK_MS, on_polled,
                       call_new (cell, worker, "", 0));
}
