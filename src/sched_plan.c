#include "sched_internal.h"

#include <string.h>

/* Starts write at most this many worker rows in one transaction, and so do
   ends: 20 transactions per second then stay below the several hundred row
   writes per second that the table service takes.  */
#define MAX_TXN_WORKER_ROWS 11
/* Ends are written together with a start on the same worker, or after this
   time.  */
#define END_WRITE_DELAY_MS 1000
/* Parts that plan_stops_and_closes closes in one transaction.  */
#define MAX_TXN_CLOSED_PARTS 16
#define PREEMPT_PERIOD_MS 250
#define RESERVATION_UPDATE_PERIOD_MS 1000
/* Sizes that fitted on no worker in a pass and are remembered; a job that
   needs at least as much as one of them is not tried.  */
#define MAX_UNPLACED_SIZES 8

/* The waiting jobs of one class and team, in the order in which they start. */
typedef struct
{
  class_t class;
  uint16_t team;
  guint next, end; /* range in pass->jobs */
} pass_queue_t;

/* One pass of plan_starts over the waiting jobs.  */
typedef struct
{
  sched_t *s;
  GPtrArray *jobs; /* sched_job_t with waiting tasks, sorted by queue */
  GArray *queues;  /* pass_queue_t */
  resource_t unplaced_sizes[MAX_UNPLACED_SIZES];
  uint32_t unplaced_count;
  uint32_t worker_rows_left;
  bool txn_full;         /* the transaction may write no further worker */
  sched_job_t *rack_job; /* whose tasks rack_tasks counts */
  GArray *rack_tasks;    /* uint32_t for each rack */
  /* Of the task that is being placed.  */
  const sched_job_t *job;
  int64_t end_ms;
} pass_t;

/* Whether another row may be written for an end or a closed job: the share of
   such rows is not used up, and enough row tokens are left for more urgent
   writes.  */
static bool
may_add_end_row (const sched_t *s)
{
  return s->row_tokens - s->plan_txn.rows->len >= CLOSE_RESERVE_ROWS
         && (double)(s->plan_txn.rows->len - s->start_rows)
                < s->end_row_tokens;
}

static int
by_queue_order (gconstpointer a, gconstpointer b)
{
  const sched_job_t *first = *(sched_job_t *const *)a;
  const sched_job_t *second = *(sched_job_t *const *)b;
  const job_spec_t *first_spec = first->row->spec;
  const job_spec_t *second_spec = second->row->spec;
  if (first_spec->class != second_spec->class)
    return first_spec->class < second_spec->class ? -1 : 1;
  if (first->team_index != second->team_index)
    return first->team_index < second->team_index ? -1 : 1;
  if (first_spec->priority != second_spec->priority)
    return first_spec->priority > second_spec->priority ? -1 : 1;
  if (first->row->created_ms != second->row->created_ms)
    return first->row->created_ms < second->row->created_ms ? -1 : 1;
  return strcmp (first->id, second->id);
}

static bool
part_is_open (const sched_t *s, const sched_job_t *job)
{
  if (job->row == NULL || job->part_version == 0)
    return false;
  const job_part_t *part = job_row_find_part (job->row, s->zone);
  return part != NULL && !part->all_done;
}

/* Counts what every class and team uses, and sorts the jobs with waiting tasks
   into queues.  */
static void
collect_jobs (pass_t *pass)
{
  sched_t *s = pass->s;
  GHashTableIter iter;
  gpointer value;
  quota_reset_usage (&s->quota);
  g_hash_table_iter_init (&iter, s->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      sched_job_t *job = value;
      if (job->row == NULL || job->task_count == 0)
        continue;
      job->task_size = estimate_reserved_size (
          &job->estimate, job->row->spec->size, job->row->spec->throttleable);
      if (job->assigned > 0)
        quota_add_usage (&s->quota, job->team_index, job->row->spec->class,
                         job->task_size, job->assigned);
      if (job->waiting > 0 && !job->stopping && part_is_open (s, job))
        g_ptr_array_add (pass->jobs, job);
    }
  g_ptr_array_sort (pass->jobs, by_queue_order);
  for (guint i = 0; i < pass->jobs->len; i++)
    {
      const sched_job_t *job = pass->jobs->pdata[i];
      pass_queue_t *last = pass->queues->len > 0
                               ? &g_array_index (pass->queues, pass_queue_t,
                                                 pass->queues->len - 1)
                               : NULL;
      if (last == NULL || last->class != job->row->spec->class
          || last->team != job->team_index)
        {
          pass_queue_t queue = { .class = job->row->spec->class,
                                 .team = job->team_index,
                                 .next = i,
                                 .end = i };
          g_array_append_val (pass->queues, queue);
          last = &g_array_index (pass->queues, pass_queue_t,
                                 pass->queues->len - 1);
        }
      last->end = i + 1;
    }
}

/* The queue whose job starts next, NULL if none is left.  */
static pass_queue_t *
next_queue (pass_t *pass)
{
  sched_t *s = pass->s;
  bool waiting[CLASS_COUNT] = { false };
  for (guint i = 0; i < pass->queues->len; i++)
    {
      const pass_queue_t *queue
          = &g_array_index (pass->queues, pass_queue_t, i);
      if (queue->next < queue->end)
        waiting[queue->class] = true;
    }
  class_t class = quota_next_class (&s->quota, waiting, s->fleet.total);
  pass_queue_t *best = NULL;
  double lowest_share = 0.0;
  for (guint i = 0; class < CLASS_COUNT && i < pass->queues->len; i++)
    {
      pass_queue_t *queue = &g_array_index (pass->queues, pass_queue_t, i);
      if (queue->class != class || queue->next >= queue->end)
        continue;
      double share = quota_team_share (&s->quota, queue->team, s->fleet.total);
      if (best == NULL || share < lowest_share)
        {
          best = queue;
          lowest_share = share;
        }
    }
  return best;
}

static int64_t
expected_end (const sched_t *s, const sched_job_t *job, int64_t started_ms)
{
  if (job->row == NULL || job->row->spec->kind == JOB_SERVICE)
    return INT64_MAX;
  return estimate_end_ms (&job->estimate, job->row->spec->run_ms,
                          s->now_ms - started_ms, s->now_ms);
}

static bool
may_use_reserved (void *context, uint32_t worker)
{
  const pass_t *pass = context;
  const gang_t *gang = &pass->s->gang;
  if (gang->job == NULL || strcmp (gang->job, pass->job->id) == 0)
    return true;
  const sched_job_t *owner = g_hash_table_lookup (pass->s->jobs, gang->job);
  if (owner == NULL || owner->row == NULL
      || pass->job->row->spec->class < owner->row->spec->class)
    return true;
  return gang_may_use (gang, worker, pass->job->task_size, pass->end_ms);
}

/* Counts the tasks of service JOB in each rack.  */
static void
count_racks (pass_t *pass, sched_job_t *job)
{
  sched_t *s = pass->s;
  if (pass->rack_job == job)
    return;
  pass->rack_job = job;
  g_array_set_size (pass->rack_tasks, 0);
  g_array_set_size (pass->rack_tasks, s->fleet.racks->len);
  for (uint32_t i = 0; i < job->task_count; i++)
    if (job->tasks[i].worker != NULL)
      g_array_index (
          pass->rack_tasks, uint32_t,
          fleet_worker (&s->fleet, job->tasks[i].worker->index)->rack)++;
}

/* Most tasks of service JOB in one rack: an even share and one more.  */
static uint32_t
rack_limit (const sched_t *s, const sched_job_t *job)
{
  uint32_t racks = 0;
  for (guint i = 0; i < s->fleet.racks->len; i++)
    racks += g_array_index (s->fleet.racks, fleet_rack_t, i).worker_count > 0;
  racks = MAX (racks, 1);
  return (job->task_count + racks - 1) / racks + 1;
}

/* Fleet index of the worker for a task of JOB, -1 if there is none.  */
static int64_t
choose_worker (pass_t *pass, sched_job_t *job)
{
  sched_t *s = pass->s;
  pass->job = job;
  pass->end_ms = expected_end (s, job, s->now_ms);
  pack_limits_t limits
      = { .may_use_reserved = may_use_reserved, .context = pass };
  if (job->row->spec->kind == JOB_SERVICE)
    {
      count_racks (pass, job);
      limits.rack_tasks = (const uint32_t *)pass->rack_tasks->data;
      limits.rack_limit = rack_limit (s, job);
    }
  return pack_choose (s->pack_rule, &s->fleet, job->task_size, &limits);
}

/* Index of the next task that may start now, job->task_count if there is
   none.  */
static uint32_t
next_task (const sched_t *s, sched_job_t *job)
{
  bool found = false;
  for (uint32_t i = job->next_waiting; i < job->task_count; i++)
    {
      if (job->tasks[i].state != TASK_WAITING)
        continue;
      if (!found)
        job->next_waiting = i;
      found = true;
      if (job->tasks[i].since_ms <= s->now_ms)
        return i;
    }
  return job->task_count;
}

/* What is free on WORKER by its row, in which unwritten ends still take
   capacity.  */
static resource_t
free_by_row (const sched_t *s, const sched_worker_t *worker)
{
  resource_t free = fleet_free_capacity (&s->fleet, worker->index);
  for (guint i = 0; worker->unwritten_ends > 0 && i < worker->assignments->len;
       i++)
    {
      const sched_assignment_t *assignment
          = &g_array_index (worker->assignments, sched_assignment_t, i);
      if (assignment->freed)
        free = resource_sub (free, sched_assignment_size (assignment));
    }
  return free;
}

/* Plans to write confirmed ends on WORKER: if NEED is NULL as many as the row
   tokens allow, else as many as a task of size NEED needs to fit by the row.
   Returns false, and reloads the rows, if they do not agree.  */
static bool
plan_worker_ends (sched_t *s, sched_worker_t *worker, const resource_t *need)
{
  for (guint i = worker->assignments->len;
       worker->unwritten_ends > 0 && i-- > 0;)
    {
      if (i >= worker->assignments->len)
        continue;
      const sched_assignment_t *assignment
          = &g_array_index (worker->assignments, sched_assignment_t, i);
      if (!assignment->freed)
        continue;
      if (need != NULL ? resource_fits (*need, free_by_row (s, worker))
                       : !may_add_end_row (s))
        break;
      sched_job_t *job = assignment->job;
      const sched_task_t *task = sched_task_find (job, assignment->number);
      if (task == NULL || task->worker != worker
          || task->generation != assignment->generation
          || !op_end (s, job, assignment->number - job->first_task))
        {
          sched_queue_reload (s, worker_key (s->zone, worker->id));
          sched_queue_reload (s, part_key (s->zone, job->id));
          return false;
        }
    }
  return true;
}

/* Plans one start on worker INDEX of the fleet.  Returns false if the
   transaction is full or the worker's row does not agree with its tasks.  */
static bool
start_on (pass_t *pass, sched_job_t *job, uint32_t task, uint32_t index)
{
  sched_t *s = pass->s;
  sched_worker_t *worker = s->workers->pdata[index];
  if (!worker->row_in_txn)
    {
      if (pass->worker_rows_left == 0)
        {
          pass->txn_full = true;
          return false;
        }
      pass->worker_rows_left--;
    }
  if (!plan_worker_ends (s, worker, &job->task_size))
    {
      worker->avoid_until_ms = s->now_ms + 2 * SCHED_TICK_PERIOD_MS;
      sched_worker_refresh (s, worker);
      return false;
    }
  op_start (s, job, task, worker);
  if (worker->health.held_back)
    {
      worker->health.probing = true;
      sched_worker_refresh (s, worker);
    }
  quota_add_usage (&s->quota, job->team_index, job->row->spec->class,
                   job->task_size, 1);
  gang_deduct (&s->gang, index, job->task_size, pass->end_ms);
  if (pass->rack_job == job)
    g_array_index (pass->rack_tasks, uint32_t,
                   fleet_worker (&s->fleet, index)->rack)++;
  return true;
}

/* Whether a size that needs no more than JOB's fitted on no worker in this
   pass.  */
static bool
known_not_to_fit (const pass_t *pass, const sched_job_t *job)
{
  for (uint32_t i = 0; i < pass->unplaced_count; i++)
    if (resource_fits (pass->unplaced_sizes[i], job->task_size))
      return true;
  return false;
}

/* Plans the start of one task of JOB.  Returns whether it is to be tried again
   in this pass.  */
static bool
plan_one_start (pass_t *pass, sched_job_t *job)
{
  uint32_t task = next_task (pass->s, job);
  if (task == job->task_count)
    return false;
  if (known_not_to_fit (pass, job))
    {
      job->blocked = true;
      return false;
    }
  int64_t index = choose_worker (pass, job);
  if (index < 0)
    {
      job->blocked = true;
      /* A service may have been ruled out by the rack limit, a long job by a
         reservation that leaves capacity to shorter ones; neither says
         anything about other jobs.  */
      if (job->row->spec->kind != JOB_SERVICE && pass->s->gang.job == NULL
          && pass->unplaced_count < MAX_UNPLACED_SIZES)
        pass->unplaced_sizes[pass->unplaced_count++] = job->task_size;
      return false;
    }
  return start_on (pass, job, task, (uint32_t)index) || !pass->txn_full;
}

/* How many tasks of SIZE fit now.  Stops counting at LIMIT.  */
static uint64_t
count_fitting_tasks (const sched_t *s, resource_t size, uint64_t limit)
{
  uint64_t count = 0;
  for (guint i = 0; i < s->fleet.workers->len && count < limit; i++)
    {
      const fleet_worker_t *worker = fleet_worker (&s->fleet, i);
      if (!worker->usable
          || !resource_fits (size, fleet_free_capacity (&s->fleet, i)))
        continue;
      int64_t fit = worker->free_cpu_millis / MAX (size.cpu_millis, 1);
      fit = MIN (fit, worker->free_memory_mib / MAX (size.memory_mib, 1));
      if (size.accelerators > 0)
        fit = MIN (fit, worker->free_accelerators / size.accelerators);
      count += (uint64_t)fit;
    }
  return count;
}

/* Finds a worker for every waiting task of JOB.  Returns the fleet indices, or
   NULL if not all of them fit.  */
static GArray *
place_all (pass_t *pass, sched_job_t *job)
{
  sched_t *s = pass->s;
  if (count_fitting_tasks (s, job->task_size, job->waiting) < job->waiting)
    return NULL;
  GArray *chosen = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  pack_limits_t limits
      = { .may_use_reserved = may_use_reserved, .context = pass };
  pass->job = job;
  pass->end_ms = expected_end (s, job, s->now_ms);
  pack_choose_many (s->pack_rule, &s->fleet, job->task_size, &limits,
                    job->waiting, chosen);
  /* op_start allocates the capacity again.  */
  for (guint i = 0; i < chosen->len; i++)
    fleet_release (&s->fleet, g_array_index (chosen, uint32_t, i),
                   job->task_size);
  if (chosen->len == job->waiting)
    return chosen;
  g_array_unref (chosen);
  return NULL;
}

/* Plans the starts of all tasks of an all-at-once job, or none.  Returns
   false, since the job is not to be tried again in this pass.  */
static bool
plan_all_starts (pass_t *pass, sched_job_t *job)
{
  sched_t *s = pass->s;
  /* After a failure the other tasks are stopped first.  */
  if (job->assigned > 0)
    return false;
  for (uint32_t i = 0; i < job->task_count; i++)
    if (job->tasks[i].state == TASK_WAITING
        && job->tasks[i].since_ms > s->now_ms)
      return false;
  GArray *chosen = place_all (pass, job);
  if (chosen == NULL)
    {
      job->blocked = true;
      return false;
    }
  bool agrees = true;
  /* Fits on no worker, so that every confirmed end is written.  */
  static const resource_t no_fit = { INT32_MAX, INT32_MAX, 0 };
  for (guint i = 0; i < chosen->len && agrees; i++)
    agrees = plan_worker_ends (
        s, s->workers->pdata[g_array_index (chosen, uint32_t, i)], &no_fit);
  /* The limit of worker rows does not hold here, since a transaction that is
     partly full must not take only some of the tasks.  */
  uint32_t left = pass->worker_rows_left;
  for (guint i = 0; i < chosen->len && agrees; i++)
    {
      pass->worker_rows_left = 1;
      start_on (pass, job, next_task (s, job),
                g_array_index (chosen, uint32_t, i));
    }
  pass->worker_rows_left = left > chosen->len ? left - chosen->len : 0;
  if (agrees && s->gang.job != NULL && strcmp (s->gang.job, job->id) == 0)
    gang_cancel (&s->gang, &s->fleet);
  g_array_unref (chosen);
  return false;
}

/* When every assigned task is expected to end and free its size
   (gang_release_t).  */
static GArray *
expected_releases (sched_t *s)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (gang_release_t));
  for (guint i = 0; i < s->workers->len; i++)
    {
      const sched_worker_t *worker = s->workers->pdata[i];
      for (guint j = 0; j < worker->assignments->len; j++)
        {
          const sched_assignment_t *assignment
              = &g_array_index (worker->assignments, sched_assignment_t, j);
          if (assignment->freed)
            continue;
          const sched_task_t *task
              = sched_task_find (assignment->job, assignment->number);
          gang_release_t release
              = { .worker = worker->index,
                  .size = sched_assignment_size (assignment),
                  .end_ms
                  = expected_end (s, assignment->job,
                                  task != NULL ? task->since_ms : s->now_ms) };
          g_array_append_val (list, release);
        }
    }
  return list;
}

/* Gives the reservation to the oldest all-at-once job that did not fit, or
   drops it if there is none.  A job whose reservation has expired is passed
   over.  */
static void
update_reservation (pass_t *pass)
{
  sched_t *s = pass->s;
  sched_job_t *oldest = NULL;
  const sched_job_t *holder = s->gang.job != NULL
                                  ? g_hash_table_lookup (s->jobs, s->gang.job)
                                  : NULL;
  bool expired = holder != NULL && s->now_ms >= s->gang.deadline_ms;
  for (guint i = 0; i < pass->jobs->len; i++)
    {
      sched_job_t *job = pass->jobs->pdata[i];
      if (job->row->spec->kind != JOB_ALL_AT_ONCE || !job->blocked
          || job->waiting == 0 || (expired && job == holder))
        continue;
      if (oldest == NULL || job->row->created_ms < oldest->row->created_ms)
        oldest = job;
    }
  if (oldest == NULL)
    {
      if (s->gang.job != NULL)
        gang_cancel (&s->gang, &s->fleet);
      return;
    }
  if (oldest == holder
      && s->now_ms - s->gang.computed_ms < RESERVATION_UPDATE_PERIOD_MS)
    return;
  GArray *list = expected_releases (s);
  if (gang_reserve (&s->gang, &s->fleet, oldest->id, oldest->task_size,
                    oldest->waiting, list, s->now_ms)
      && oldest != holder)
    explain_add (&s->explain, clk_wall_ms (s->clock), oldest->id, -1, "waits",
                 "%u tasks start together, reservation for %" G_GINT64_FORMAT
                 " ms from now",
                 oldest->waiting, s->gang.ready_ms - s->now_ms);
  g_array_unref (list);
}

uint32_t
plan_starts (sched_t *s, uint32_t worker_rows, uint32_t limit)
{
  pass_t pass = { .s = s,
                  .jobs = g_ptr_array_new (),
                  .queues = g_array_new (FALSE, FALSE, sizeof (pass_queue_t)),
                  .rack_tasks = g_array_new (FALSE, TRUE, sizeof (uint32_t)),
                  .worker_rows_left = worker_rows };
  collect_jobs (&pass);
  guint before = s->plan_txn.ops->len;
  pass_queue_t *queue;
  while (!pass.txn_full && s->plan_txn.ops->len - before < limit
         && (queue = next_queue (&pass)) != NULL)
    {
      sched_job_t *job = pass.jobs->pdata[queue->next];
      job->blocked = false;
      bool again = job->row->spec->kind == JOB_ALL_AT_ONCE
                       ? plan_all_starts (&pass, job)
                       : plan_one_start (&pass, job);
      if (!again && !pass.txn_full)
        queue->next++;
    }
  if (!pass.txn_full)
    {
      update_reservation (&pass);
      preempt_for (s, pass.jobs);
    }
  uint32_t planned = s->plan_txn.ops->len - before;
  g_ptr_array_unref (pass.jobs);
  g_array_unref (pass.queues);
  g_array_unref (pass.rack_tasks);
  return planned;
}

/* Plans to write ends that have waited for END_WRITE_DELAY_MS.  */
static void
plan_ends (sched_t *s)
{
  uint32_t worker_rows_left = MAX_TXN_WORKER_ROWS;
  for (guint i = 0; i < s->workers->len && worker_rows_left > 0; i++)
    {
      sched_worker_t *worker = s->workers->pdata[i];
      if (worker->unwritten_ends == 0 || worker->row_in_txn
          || s->now_ms - worker->ends_since_ms < END_WRITE_DELAY_MS)
        continue;
      if (!may_add_end_row (s))
        return;
      plan_worker_ends (s, worker, NULL);
      worker_rows_left--;
    }
}

/* Plans to close JOB's part here if nothing of it is left to do.  Returns
   whether it did.  */
static bool
close_part (sched_t *s, sched_job_t *job)
{
  if (job->row_in_txn || job->assigned > 0 || !part_is_open (s, job))
    return false;
  if (!job->stopping)
    {
      if (job->waiting > 0)
        return false;
      op_close_part (s, job, JOB_ENDED,
                     job->failed > 0 ? "tasks failed too often" : NULL);
      return true;
    }
  bool cancelled = job->row->state != JOB_ACCEPTED;
  char *reason = NULL;
  if (!cancelled)
    reason
        = g_strdup_printf ("failed on %d healthy workers", FAULTY_JOB_WORKERS);
  op_cancel_waiting (s, job);
  op_close_part (s, job, cancelled ? JOB_CANCELLED : JOB_ENDED, reason);
  explain_add (&s->explain, clk_wall_ms (s->clock), job->id, -1, "stopped",
               "%s", reason != NULL ? reason : "cancelled");
  g_free (reason);
  return true;
}

/* Plans to write which workers are held back.  */
static void
plan_held_back_writes (sched_t *s)
{
  for (guint i = 0; i < s->workers->len; i++)
    {
      sched_worker_t *worker = s->workers->pdata[i];
      if (worker->held_back_unwritten && worker->row_version > 0)
        op_write_held_back (s, worker);
    }
}

/* Plans to close parts whose last task ends in this transaction.  */
static void
close_touched_parts (sched_t *s)
{
  guint rows = s->plan_txn.rows->len;
  for (guint i = 0; i < rows; i++)
    {
      const txn_row_t *row = &g_array_index (s->plan_txn.rows, txn_row_t, i);
      if (row->kind == ROW_PART && may_add_end_row (s))
        close_part (s, row->object);
    }
}

/* Plans to close parts with nothing left to do, and stops the tasks of
   cancelled jobs, of jobs that failed on too many workers and of all-at-once
   jobs that have lost a task, within limits that leave enough to starts.  */
static void
plan_stops_and_closes (sched_t *s)
{
  uint32_t closes_left = MAX_TXN_CLOSED_PARTS;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, s->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      sched_job_t *job = value;
      if (!part_is_open (s, job))
        continue;
      if (job->failed_on != NULL && job->failed_on->len >= FAULTY_JOB_WORKERS)
        job->stopping = true;
      bool incomplete = job->row->spec->kind == JOB_ALL_AT_ONCE
                        && job->waiting > 0 && job->assigned > 0;
      if (job->assigned > 0 && (job->stopping || incomplete))
        for (uint32_t i = 0; i < job->task_count && s->stop_tokens >= 1.0; i++)
          if (job->tasks[i].state == TASK_ASSIGNED
              && job->tasks[i].phase < PHASE_STOPPING
              && job->tasks[i].phase != PHASE_PLANNED)
            {
              task_stop (s, job, &job->tasks[i], STOP_GRACEFUL);
              s->stop_tokens -= 1.0;
            }
      if (closes_left > 0 && may_add_end_row (s) && close_part (s, job))
        closes_left--;
    }
}

void
plan_tick (sched_t *s)
{
  if (!s->on_duty || !s->ready || s->plan_txn.state != TXN_IDLE
      || s->now_ms < s->plan_retry_ms || s->row_tokens < 1.0
      || s->reloads_in_flight > 0 || g_hash_table_size (s->reload_keys) > 0)
    return;
  int64_t begin_ns = clk_now_ns (s->clock);
  uint32_t rows = (uint32_t)MIN (s->row_tokens, MAX_TXN_WORKER_ROWS);
  s->start_rows = 0;
  plan_starts (s, rows, UINT32_MAX);
  s->start_rows = s->plan_txn.rows->len;
  plan_ends (s);
  close_touched_parts (s);
  plan_stops_and_closes (s);
  plan_held_back_writes (s);
  plan_rolling_updates (s);
  plan_unplaceable (s);
  if (may_add_end_row (s))
    plan_deletions (s);
  plan_zone_row (s);
  histogram_add (s->plan_us,
                 (uint64_t)(clk_now_ns (s->clock) - begin_ns) / 1000);
  if (s->plan_txn.rows->len == 0)
    return;
  s->row_tokens -= s->plan_txn.rows->len;
  s->end_row_tokens -= s->plan_txn.rows->len - s->start_rows;
  txn_send (s, &s->plan_txn);
}
