#include "sched_internal.h"

#include <string.h>

/* Longest wait before a restart.  */
#define MAX_BACKOFF_MS 300000

void
op_clear (gpointer data)
{
  op_t *op = data;
  g_free (op->reason_or_zone);
  g_free (op->ack);
}

static op_t *
add_op (sched_t *s, op_kind_t kind)
{
  op_t op = { .kind = kind };
  g_array_append_val (s->plan_txn.ops, op);
  return &g_array_index (s->plan_txn.ops, op_t, s->plan_txn.ops->len - 1);
}

void
op_start (sched_t *s, sched_job_t *job, uint32_t index, sched_worker_t *worker)
{
  sched_task_t *task = &job->tasks[index];
  op_t *op = add_op (s, OP_START);
  op->job = job;
  op->worker = worker;
  op->index_or_flag = index;
  op->old_task = *task;
  txn_touch_part (&s->plan_txn, job);
  txn_touch_worker (&s->plan_txn, worker);
  task->generation++;
  task->revision = (uint16_t)job->row->revision;
  task->worker = worker;
  task->phase = PHASE_PLANNED;
  task->since_ms = s->now_ms;
  task->start_in_flight = false;
  task->stop_found_ended = false;
  task->stop_due = false;
  task->start_counted = false;
  task->preempted = false;
  sched_task_set_state (job, task, TASK_ASSIGNED);
  sched_assignment_t assignment
      = { .job = job,
          .number = job->first_task + index,
          .generation = task->generation,
          .cpu_millis = (int32_t)job->task_size.cpu_millis,
          .memory_mib = (int32_t)job->task_size.memory_mib,
          .accelerators = (int32_t)job->task_size.accelerators };
  g_array_append_val (worker->assignments, assignment);
  fleet_allocate (&s->fleet, worker->index, job->task_size);
}

static void
remove_assignment (sched_t *s, sched_worker_t *worker,
                   sched_assignment_t *assignment)
{
  if (assignment->freed)
    worker->unwritten_ends--;
  else
    fleet_release (&s->fleet, worker->index,
                   sched_assignment_size (assignment));
  g_array_remove_index_fast (
      worker->assignments,
      (guint)(assignment
              - &g_array_index (worker->assignments, sched_assignment_t, 0)));
}

/* Whether the confirmed end of TASK is a failure.  */
static bool
has_failed (const sched_task_t *task)
{
  return task->phase == PHASE_FAILED || task->phase == PHASE_CRASHED;
}

/* The new state (task_state_t) of a task whose end is confirmed.  */
static char
state_after_end (const sched_job_t *job, const sched_task_t *task)
{
  const job_spec_t *spec = job->row->spec;
  if (task->phase == PHASE_ENDED && spec->kind != JOB_SERVICE)
    return TASK_ENDED;
  if (job->stopping)
    return TASK_CANCELLED;
  if (has_failed (task) && spec->max_failures >= 0
      && task->failures > spec->max_failures)
    return TASK_FAILED;
  return TASK_WAITING;
}

/* How long task INDEX of JOB waits for its next start after it has failed,
   crashed its worker perhaps, or ended.  Tasks that were lost with one worker
   get different waits, so that the next crash tells them apart.  */
static int64_t
restart_wait_ms (const sched_job_t *job, uint32_t index)
{
  const sched_task_t *task = &job->tasks[index];
  uint32_t shift = MIN (task->failures, 8);
  int64_t wait_ms = job->row->spec->backoff_ms << (shift > 0 ? shift - 1 : 0);
  if (task->phase == PHASE_CRASHED && wait_ms > 0)
    wait_ms += (g_str_hash (job->id) + index) % wait_ms;
  return MIN (wait_ms, MAX_BACKOFF_MS);
}

bool
op_end (sched_t *s, sched_job_t *job, uint32_t index)
{
  sched_task_t *task = &job->tasks[index];
  sched_worker_t *worker = task->worker;
  sched_assignment_t *assignment = sched_assignment_find (
      worker, job, job->first_task + index, task->generation);
  if (assignment == NULL || job->row == NULL)
    {
      sched_queue_reload (s, worker_key (s->zone, worker->id));
      sched_queue_reload (s, part_key (s->zone, job->id));
      sched_queue_reload (s, job_key (job->id));
      return false;
    }
  op_t *op = add_op (s, OP_END);
  op->job = job;
  op->worker = worker;
  op->index_or_flag = index;
  op->old_task = *task;
  op->old_assignment = *assignment;
  if (task->phase != PHASE_LOST && task->phase != PHASE_CRASHED)
    op->ack = sched_task_name (job, index);
  txn_touch_part (&s->plan_txn, job);
  txn_touch_worker (&s->plan_txn, worker);
  remove_assignment (s, worker, assignment);
  /* Counted here, since the row may be written for another task before this
     end is, and an entry that then reads the row has to count the end.  */
  if (has_failed (task))
    task->failures = (uint16_t)MIN (task->failures + 1, UINT16_MAX);
  char state = state_after_end (job, task);
  bool restart = state == TASK_WAITING
                 && (has_failed (task) || task->phase == PHASE_ENDED);
  task->since_ms = s->now_ms + (restart ? restart_wait_ms (job, index) : 0);
  task->phase = PHASE_NONE;
  task->worker = NULL;
  sched_task_set_state (job, task, state);
  return true;
}

void
op_cancel_waiting (sched_t *s, sched_job_t *job)
{
  for (uint32_t i = 0; i < job->task_count; i++)
    {
      if (job->tasks[i].state != TASK_WAITING)
        continue;
      op_t *op = add_op (s, OP_CANCEL_WAITING);
      op->job = job;
      op->index_or_flag = i;
      op->old_task = job->tasks[i];
      txn_touch_part (&s->plan_txn, job);
      sched_task_set_state (job, &job->tasks[i], TASK_CANCELLED);
    }
}

void
op_close_part (sched_t *s, sched_job_t *job, job_state_t state,
               const char *reason)
{
  job_part_t *part = job_row_find_part (job->row, s->zone);
  op_t *op = add_op (s, OP_CLOSE_PART);
  op->job = job;
  op->old_job_state = job->row->state;
  op->reason_or_zone = job->row->reason;
  op->index_or_flag = part->failed;
  job->row->reason = g_strdup (reason != NULL ? reason : op->reason_or_zone);
  txn_touch_job (&s->plan_txn, job);
  part->all_done = true;
  part->failed = job->failed > 0;
  bool all_done = true;
  for (guint i = 0; i < job->row->parts->len; i++)
    all_done = all_done && ((job_part_t *)job->row->parts->pdata[i])->all_done;
  if (!all_done)
    return;
  job->row->state = state;
  job->row->ended_ms = clk_wall_ms (s->clock);
}

void
op_write_held_back (sched_t *s, sched_worker_t *worker)
{
  op_t *op = add_op (s, OP_WRITE_HELD_BACK);
  op->worker = worker;
  txn_touch_worker (&s->plan_txn, worker);
}

static void
commit_end (sched_t *s, op_t *op)
{
  counter_add (s->ends, 1);
  if (op->ack == NULL)
    return;
  sched_task_ref_t ack
      = { .task = op->ack, .generation = op->old_assignment.generation };
  op->ack = NULL;
  g_array_append_val (op->worker->acks, ack);
}

static void
commit_deletion (sched_job_t *job, bool part_row)
{
  if (part_row)
    {
      job->part_version = 0;
      job->waiting = job->done = job->failed = 0;
      job->task_count = 0;
      g_clear_pointer (&job->tasks, g_free);
      return;
    }
  job->row_version = 0;
  g_clear_pointer (&job->row, job_row_free);
}

void
ops_commit (sched_t *s, txn_t *txn)
{
  for (guint i = 0; i < txn->ops->len; i++)
    {
      op_t *op = &g_array_index (txn->ops, op_t, i);
      switch (op->kind)
        {
        case OP_START:
          counter_add (s->starts, 1);
          op->job->tasks[op->index_or_flag].phase = PHASE_STARTING;
          op->job->tasks[op->index_or_flag].since_ms = s->now_ms;
          op->worker->start_or_stop_due = true;
          explain_add (&s->explain, clk_wall_ms (s->clock), op->job->id,
                       op->job->first_task + op->index_or_flag,
                       /* Every later start counts as moved, even on the same
                          worker.  */
                       op->old_task.generation > 0 ? "moved" : "placed",
                       "on worker %s, generation %u, rule %s", op->worker->id,
                       op->job->tasks[op->index_or_flag].generation,
                       s->pack_rule->name);
          break;
        case OP_END:
          commit_end (s, op);
          break;
        case OP_MOVE:
          op_move_commit (s, op);
          break;
        case OP_WRITE_HELD_BACK:
          op->worker->held_back_unwritten = false;
          break;
        case OP_DELETE:
          commit_deletion (op->job, op->index_or_flag != 0);
          break;
        default:
          break;
        }
    }
}

static void
undo_start (sched_t *s, op_t *op)
{
  sched_task_t *task = &op->job->tasks[op->index_or_flag];
  sched_assignment_t *assignment = sched_assignment_find (
      op->worker, op->job, op->job->first_task + op->index_or_flag,
      task->generation);
  if (assignment != NULL)
    remove_assignment (s, op->worker, assignment);
  sched_task_set_state (op->job, task, op->old_task.state);
  *task = op->old_task;
}

static void
undo_end (sched_t *s, op_t *op)
{
  sched_task_t *task = &op->job->tasks[op->index_or_flag];
  g_array_append_val (op->worker->assignments, op->old_assignment);
  if (op->old_assignment.freed)
    op->worker->unwritten_ends++;
  else
    fleet_allocate (&s->fleet, op->worker->index,
                    sched_assignment_size (&op->old_assignment));
  sched_task_set_state (op->job, task, op->old_task.state);
  *task = op->old_task;
}

static void
undo_close_part (sched_t *s, op_t *op)
{
  job_part_t *part = job_row_find_part (op->job->row, s->zone);
  part->all_done = false;
  part->failed = op->index_or_flag != 0;
  op->job->row->state = op->old_job_state;
  op->job->row->ended_ms = 0;
  g_free (op->job->row->reason);
  op->job->row->reason = op->reason_or_zone;
  op->reason_or_zone = NULL;
}

void
ops_undo (sched_t *s, txn_t *txn)
{
  for (guint i = txn->ops->len; i-- > 0;)
    {
      op_t *op = &g_array_index (txn->ops, op_t, i);
      switch (op->kind)
        {
        case OP_START:
          undo_start (s, op);
          break;
        case OP_END:
          undo_end (s, op);
          break;
        case OP_CANCEL_WAITING:
          sched_task_set_state (op->job, &op->job->tasks[op->index_or_flag],
                                op->old_task.state);
          op->job->tasks[op->index_or_flag] = op->old_task;
          break;
        case OP_CLOSE_PART:
          undo_close_part (s, op);
          break;
        default:
          break;
        }
    }
}
