#include "sched_internal.h"

#include <string.h>

/* A worker with an unconfirmed start, stop or end gets the next lease message
   after this time.  */
#define LEASE_SOON_MS 250
#define MAX_CALL_TASKS 64
/* The start of a task that has run this long counts as a success.  If the task
   fails later, that counts towards max_failures, but neither against its
   worker nor towards FAULTY_JOB_WORKERS.  */
#define START_SUCCESS_MS 60000
/* Nothing is placed this long on a worker that had no capacity for a start. */
#define NO_CAPACITY_AVOID_MS 5000
/* A graceful stop or checkpoint that takes longer is made a STOP_NOW.  */
#define STOP_FORCE_AFTER_MS 30000

static void
task_ref_clear (gpointer data)
{
  sched_task_ref_t *task_ref = data;
  g_free (task_ref->task);
}

static call_t *
worker_call_new (sched_t *s, call_kind_t kind, sched_worker_t *worker,
                 uint64_t *tag)
{
  call_t *call = sched_call_new (s, kind, tag);
  call->worker = worker;
  call->incarnation = worker->incarnation;
  call->tasks = g_array_new (FALSE, TRUE, sizeof (sched_task_ref_t));
  g_array_set_clear_func (call->tasks, task_ref_clear);
  return call;
}

static sched_worker_ref_t
worker_ref (const sched_worker_t *worker, int64_t incarnation)
{
  sched_worker_ref_t ref
      = { .id = worker->id, .url = worker->url, .incarnation = incarnation };
  return ref;
}

static void
add_task_ref (call_t *call, const sched_job_t *job, uint32_t index,
              uint32_t generation)
{
  sched_task_ref_t task_ref
      = { .task = sched_task_name (job, index), .generation = generation };
  g_array_append_val (call->tasks, task_ref);
}

/* Sends up to MAX_CALL_TASKS starts that are due on WORKER.  */
static void
send_starts (sched_t *s, sched_worker_t *worker)
{
  GArray *starts = g_array_new (FALSE, TRUE, sizeof (sched_start_t));
  uint64_t tag;
  call_t *call = worker_call_new (s, CALL_START, worker, &tag);
  call->incarnation = worker->row_incarnation;
  for (guint i = 0; i < worker->assignments->len; i++)
    {
      const sched_assignment_t *assignment
          = &g_array_index (worker->assignments, sched_assignment_t, i);
      sched_job_t *job = assignment->job;
      sched_task_t *task = sched_task_find (job, assignment->number);
      if (task == NULL || task->phase != PHASE_STARTING
          || task->start_in_flight || task->worker != worker
          || task->generation != assignment->generation || job->row == NULL
          || job->stopping || starts->len >= MAX_CALL_TASKS)
        continue;
      task->start_in_flight = true;
      add_task_ref (call, job, assignment->number - job->first_task,
                    assignment->generation);
      sched_start_t start = {
        .task
        = g_array_index (call->tasks, sched_task_ref_t, starts->len).task,
        .generation = assignment->generation,
        .job = job->id,
        .kind = job->row->spec->kind,
        .size = sched_assignment_size (assignment),
        .command = job->row->spec->command,
        .run_ms = job->row->spec->run_ms
      };
      g_array_append_val (starts, start);
    }
  worker->start_or_stop_due |= starts->len >= MAX_CALL_TASKS;
  if (starts->len > 0)
    {
      sched_worker_ref_t ref = worker_ref (worker, call->incarnation);
      s->actions->start (s->context, tag, &ref, LEASE_MS,
                         (const sched_start_t *)starts->data, starts->len);
    }
  else
    g_hash_table_remove (s->calls, &tag);
  g_array_unref (starts);
}

/* Sends up to MAX_CALL_TASKS stops that are due on WORKER.  */
static void
send_stops (sched_t *s, sched_worker_t *worker)
{
  GArray *stops = g_array_new (FALSE, TRUE, sizeof (sched_stop_t));
  uint64_t tag;
  call_t *call = worker_call_new (s, CALL_STOP, worker, &tag);
  call->incarnation = worker->row_incarnation;
  for (guint i = 0; i < worker->assignments->len; i++)
    {
      const sched_assignment_t *assignment
          = &g_array_index (worker->assignments, sched_assignment_t, i);
      sched_job_t *job = assignment->job;
      sched_task_t *task = sched_task_find (job, assignment->number);
      if (task == NULL || task->phase != PHASE_STOPPING || !task->stop_due
          || task->worker != worker
          || task->generation != assignment->generation
          || stops->len >= MAX_CALL_TASKS)
        continue;
      task->stop_due = false;
      add_task_ref (call, job, assignment->number - job->first_task,
                    assignment->generation);
      sched_stop_t stop
          = { .task
              = g_array_index (call->tasks, sched_task_ref_t, stops->len).task,
              .generation = assignment->generation,
              .mode = (stop_mode_t)task->stop_mode };
      g_array_append_val (stops, stop);
    }
  worker->start_or_stop_due |= stops->len >= MAX_CALL_TASKS;
  if (stops->len > 0)
    {
      sched_worker_ref_t ref = worker_ref (worker, call->incarnation);
      s->actions->stop (s->context, tag, &ref,
                        (const sched_stop_t *)stops->data, stops->len);
    }
  else
    g_hash_table_remove (s->calls, &tag);
  g_array_unref (stops);
}

/* Renews the lease of WORKER's tasks, acknowledges written ends and asks for a
   report.  */
static void
send_lease (sched_t *s, sched_worker_t *worker)
{
  uint64_t tag;
  call_t *call = worker_call_new (s, CALL_LEASE, worker, &tag);
  GArray *acks = g_array_new (FALSE, TRUE, sizeof (sched_stop_t));
  GArray *empty = call->tasks;
  call->tasks = worker->acks;
  worker->acks = empty;
  for (guint i = 0; i < call->tasks->len; i++)
    {
      const sched_task_ref_t *task_ref
          = &g_array_index (call->tasks, sched_task_ref_t, i);
      sched_stop_t ack
          = { .task = task_ref->task, .generation = task_ref->generation };
      g_array_append_val (acks, ack);
    }
  worker->lease_in_flight = true;
  bool idle = s->ready && worker->assignments->len == 0 && acks->len == 0
              && worker->unknown_tasks->len == 0;
  worker->lease_due_ms
      = s->now_ms + (idle ? LEASE_IDLE_RENEW_MS : LEASE_RENEW_MS);
  sched_worker_ref_t ref = worker_ref (worker, worker->incarnation);
  s->actions->lease (s->context, tag, &ref, LEASE_MS,
                     (const sched_stop_t *)acks->data, acks->len);
  g_array_unref (acks);
}

/* Brings the next lease message forward to IN_MS from now at the latest.  */
static void
lease_soon (sched_t *s, sched_worker_t *worker, int64_t in_ms)
{
  worker->lease_due_ms = MIN (worker->lease_due_ms, s->now_ms + in_ms);
}

/* Records the result of one start on WORKER in its health.  */
static void
record_start_result (sched_t *s, sched_worker_t *worker, bool failed)
{
  worker_health_starts_t peers = { 0 };
  if (failed)
    for (guint i = 0; i < s->workers->len; i++)
      {
        const sched_worker_t *other = s->workers->pdata[i];
        if (other != worker)
          worker_health_add_starts (&other->health, &peers);
      }
  if (!worker_health_record_start (&worker->health, failed, &peers, s->now_ms))
    return;
  worker->held_back_unwritten = true;
  sched_worker_refresh (s, worker);
}

/* Records a failure of JOB on WORKER after RAN_MS.  A job that has failed on
   another healthy worker does not count against WORKER, so that one bad job
   cannot get many workers held back.  */
static void
record_failure (sched_t *s, sched_job_t *job, sched_worker_t *worker,
                int64_t ran_ms)
{
  if (ran_ms >= START_SUCCESS_MS)
    return;
  bool listed = false;
  guint others = 0;
  if (job->failed_on == NULL)
    job->failed_on = g_ptr_array_new_with_free_func (g_free);
  for (guint i = 0; i < job->failed_on->len; i++)
    if (strcmp (job->failed_on->pdata[i], worker->id) == 0)
      listed = true;
    else
      others++;
  if (others == 0)
    record_start_result (s, worker, true);
  if (!listed && !worker->health.held_back
      && job->failed_on->len < FAULTY_JOB_WORKERS)
    g_ptr_array_add (job->failed_on, g_strdup (worker->id));
}

void
task_confirm_end (sched_t *s, sched_job_t *job, sched_task_t *task,
                  phase_t phase)
{
  if (task->phase >= PHASE_ENDED || task->phase == PHASE_PLANNED)
    return;
  sched_worker_t *worker = task->worker;
  int64_t ran_ms = s->now_ms - task->since_ms;
  if (phase == PHASE_FAILED)
    {
      record_failure (s, job, worker, ran_ms);
    }
  else if (phase == PHASE_ENDED)
    {
      if (task->phase == PHASE_RUNNING)
        estimate_add_run (&job->estimate, ran_ms);
      record_start_result (s, worker, false);
      g_clear_pointer (&job->failed_on, g_ptr_array_unref);
    }
  task->phase = (uint8_t)phase;
  sched_assignment_t *assignment = sched_assignment_find (
      worker, job, job->first_task + (uint32_t)(task - job->tasks),
      task->generation);
  if (assignment == NULL || assignment->freed)
    return;
  assignment->freed = true;
  fleet_release (&s->fleet, worker->index, sched_assignment_size (assignment));
  if (worker->unwritten_ends++ == 0)
    worker->ends_since_ms = s->now_ms;
}

void
task_stop (sched_t *s, sched_job_t *job, sched_task_t *task, stop_mode_t mode)
{
  if (task->state != TASK_ASSIGNED || task->phase >= PHASE_ENDED
      || task->phase == PHASE_PLANNED || task->phase == PHASE_STOPPING)
    return;
  task->phase = PHASE_STOPPING;
  task->stop_mode = (uint8_t)mode;
  task->start_in_flight = false;
  task->stop_due = true;
  task->since_ms = s->now_ms;
  task->worker->start_or_stop_due = true;
}

/* The task called NAME if memory holds it as assigned to WORKER in GENERATION,
   and its assignment is committed; else NULL.  *JOB receives its job, which
   may be set when the task is not found.  */
static sched_task_t *
find_assigned (sched_t *s, const sched_worker_t *worker, const char *name,
               uint32_t generation, sched_job_t **job)
{
  char id[JOB_ID_MAX_BYTES + 1];
  uint32_t number;
  if (!task_name_split (name, id, &number))
    return NULL;
  *job = g_hash_table_lookup (s->jobs, id);
  sched_task_t *task = sched_task_find (*job, number);
  if (task == NULL || task->worker != worker || task->generation != generation
      || task->phase == PHASE_PLANNED)
    return NULL;
  return task;
}

void
sched_started (sched_t *s, uint64_t tag, err_kind_t kind,
               const start_result_t *results, uint32_t count)
{
  call_t *call = g_hash_table_lookup (s->calls, &tag);
  if (call == NULL || call->kind != CALL_START)
    return;
  s->now_ms = clk_now_ms (s->clock);
  sched_worker_t *worker = call->worker;
  for (guint i = 0; i < call->tasks->len; i++)
    {
      const sched_task_ref_t *task_ref
          = &g_array_index (call->tasks, sched_task_ref_t, i);
      sched_job_t *job = NULL;
      sched_task_t *task = find_assigned (s, worker, task_ref->task,
                                          task_ref->generation, &job);
      if (task == NULL || task->phase != PHASE_STARTING)
        continue;
      task->start_in_flight = false;
      /* Without an answer the next report decides.  */
      if (kind != ERR_OK || i >= count)
        {
          task->phase = PHASE_UNCONFIRMED;
          task->since_ms = s->now_ms;
          continue;
        }
      switch (results[i])
        {
        case START_RUNNING:
          task->phase = PHASE_RUNNING;
          task->since_ms = s->now_ms;
          break;
        case START_FAILED:
          task_confirm_end (s, job, task, PHASE_FAILED);
          break;
        case START_NO_CAPACITY:
          worker->avoid_until_ms = s->now_ms + NO_CAPACITY_AVOID_MS;
          sched_queue_reload (s, worker_key (s->zone, worker->id));
          task_stop (s, job, task, STOP_NOW);
          break;
        default:
          task->phase = PHASE_REJECTED;
          task->since_ms = s->now_ms;
          break;
        }
    }
  lease_soon (s, worker, kind == ERR_OK ? LEASE_SOON_MS : LEASE_SOON_MS * 4);
  g_hash_table_remove (s->calls, &tag);
}

void
sched_stopped (sched_t *s, uint64_t tag, err_kind_t kind,
               const stop_result_t *results, uint32_t count)
{
  call_t *call = g_hash_table_lookup (s->calls, &tag);
  if (call == NULL || call->kind != CALL_STOP)
    return;
  s->now_ms = clk_now_ms (s->clock);
  sched_worker_t *worker = call->worker;
  for (guint i = 0; i < call->tasks->len; i++)
    {
      const sched_task_ref_t *task_ref
          = &g_array_index (call->tasks, sched_task_ref_t, i);
      sched_job_t *job = NULL;
      sched_task_t *task = find_assigned (s, worker, task_ref->task,
                                          task_ref->generation, &job);
      if (task == NULL || task->phase != PHASE_STOPPING)
        continue;
      if (kind != ERR_OK || i >= count)
        {
          /* Sent again after the next answer of the worker.  */
          task->stop_due = true;
          continue;
        }
      if (results[i] == STOP_RESULT_STOPPED
          || results[i] == STOP_RESULT_UNKNOWN)
        task_confirm_end (s, job, task, PHASE_STOPPED);
      else if (results[i] == STOP_RESULT_ENDED)
        /* The next report says how it ended.  */
        task->stop_found_ended = true;
    }
  lease_soon (s, worker, LEASE_SOON_MS);
  g_hash_table_remove (s->calls, &tag);
}

/* Handles a reported task that memory does not hold as assigned to WORKER.  It
   may have been assigned or ended by another entry, so nothing is done before
   the worker's row has been read after the first such report.  If the row does
   not hold it either, it is stopped as an orphan, or its end acknowledged.  */
static void
handle_unknown_task (sched_t *s, sched_worker_t *worker,
                     const sched_task_report_t *report)
{
  sched_unknown_task_t *unknown = NULL;
  for (guint i = 0; i < worker->unknown_tasks->len; i++)
    {
      sched_unknown_task_t *known
          = &g_array_index (worker->unknown_tasks, sched_unknown_task_t, i);
      if (known->generation == report->generation
          && strcmp (known->task, report->task) == 0)
        unknown = known;
    }
  if (unknown == NULL)
    {
      sched_unknown_task_t new_unknown = { .task = g_strdup (report->task),
                                           .generation = report->generation,
                                           .reported_stamp = ++s->stamp };
      g_array_append_val (worker->unknown_tasks, new_unknown);
    }
  if (unknown == NULL || worker->row_read_stamp <= unknown->reported_stamp)
    {
      char id[JOB_ID_MAX_BYTES + 1];
      uint32_t number;
      sched_queue_reload (s, worker_key (s->zone, worker->id));
      if (task_name_split (report->task, id, &number) && job_id_valid (id))
        {
          sched_queue_reload (s, part_key (s->zone, id));
          sched_queue_reload (s, job_key (id));
        }
      lease_soon (s, worker, LEASE_SOON_MS);
      return;
    }
  sched_stop_t stop = { .task = report->task,
                        .generation = report->generation,
                        .mode = STOP_NOW };
  if (report->state != REPORT_RUNNING)
    {
      sched_task_ref_t ack = { .task = g_strdup (report->task),
                               .generation = report->generation };
      g_array_append_val (worker->acks, ack);
      return;
    }
  counter_add (s->orphans, 1);
  uint64_t tag;
  worker_call_new (s, CALL_STOP, worker, &tag);
  sched_worker_ref_t ref = worker_ref (worker, worker->incarnation);
  s->actions->stop (s->context, tag, &ref, &stop, 1);
}

/* WORKER's assignment that REPORT is about, or NULL.  */
static sched_assignment_t *
reported_assignment (sched_t *s, sched_worker_t *worker,
                     const sched_task_report_t *report)
{
  char id[JOB_ID_MAX_BYTES + 1];
  uint32_t number;
  if (!task_name_split (report->task, id, &number))
    return NULL;
  const sched_job_t *job = g_hash_table_lookup (s->jobs, id);
  if (job == NULL)
    return NULL;
  return sched_assignment_find (worker, job, number, report->generation);
}

static void
apply_report (sched_t *s, sched_worker_t *worker,
              const sched_task_report_t *report)
{
  sched_job_t *job = NULL;
  sched_task_t *task
      = find_assigned (s, worker, report->task, report->generation, &job);
  sched_assignment_t *assignment = reported_assignment (s, worker, report);
  if (assignment != NULL)
    assignment->reported = true;
  if (task == NULL)
    {
      /* While a transaction on the row is under way memory is ahead of it.  An
         assignment in the worker's row proves that the task belongs there.  */
      if (worker->row_in_txn)
        return;
      if (assignment != NULL)
        sched_queue_reload (s, part_key (s->zone, assignment->job->id));
      else
        handle_unknown_task (s, worker, report);
      return;
    }
  switch (report->state)
    {
    case REPORT_RUNNING:
      if (task->phase == PHASE_STARTING || task->phase == PHASE_UNCONFIRMED
          || task->phase == PHASE_REJECTED)
        {
          task->phase = PHASE_RUNNING;
          task->since_ms = s->now_ms;
        }
      if (!task->start_counted && task->phase == PHASE_RUNNING
          && s->now_ms - task->since_ms >= START_SUCCESS_MS)
        {
          task->start_counted = true;
          record_start_result (s, worker, false);
        }
      estimate_add_memory (&job->estimate, report->memory_mib,
                           report->usage_age_ms);
      break;
    case REPORT_ENDED:
      task_confirm_end (s, job, task, PHASE_ENDED);
      break;
    case REPORT_FAILED:
      task_confirm_end (s, job, task, PHASE_FAILED);
      break;
    case REPORT_STOPPED:
      task_confirm_end (s, job, task, PHASE_STOPPED);
      break;
    }
}

/* Handles an assigned task that WORKER's report did not list.  */
static void
apply_absence (sched_t *s, sched_worker_t *worker, sched_job_t *job,
               sched_task_t *task)
{
  switch (task->phase)
    {
    case PHASE_UNCONFIRMED:
    case PHASE_RUNNING:
      task->phase = PHASE_STARTING;
      task->since_ms = s->now_ms;
      worker->start_or_stop_due = true;
      break;
    case PHASE_REJECTED:
      task_confirm_end (s, job, task, PHASE_LOST);
      break;
    case PHASE_STOPPING:
      if (task->stop_found_ended)
        task_confirm_end (s, job, task, PHASE_ENDED);
      else
        task->stop_due = true;
      break;
    default:
      break;
    }
}

static bool
report_lists (const sched_task_report_t *reports, uint32_t count,
              const char *name, uint32_t generation)
{
  for (uint32_t i = 0; i < count; i++)
    if (reports[i].generation == generation
        && strcmp (reports[i].task, name) == 0)
      return true;
  return false;
}

/* Handles the assigned tasks that were not in the report on the lease message
   sent at SENT_MS.  */
static void
apply_absences (sched_t *s, sched_worker_t *worker, int64_t sent_ms)
{
  for (guint i = 0; i < worker->assignments->len; i++)
    {
      const sched_assignment_t *assignment
          = &g_array_index (worker->assignments, sched_assignment_t, i);
      sched_task_t *task
          = sched_task_find (assignment->job, assignment->number);
      if (task == NULL || task->worker != worker || task->start_in_flight
          || task->generation != assignment->generation
          || task->phase == PHASE_PLANNED || task->phase >= PHASE_ENDED
          || task->phase == PHASE_STARTING)
        continue;
      /* A message that left before the phase began says nothing about it.  */
      if (task->since_ms >= sent_ms && task->phase != PHASE_STOPPING)
        continue;
      if (!assignment->reported)
        apply_absence (s, worker, assignment->job, task);
    }
}

/* After an answer of the worker: marks due starts and stops to be sent again,
   and brings the next lease message forward to when TASK is expected to
   end, so that its capacity is soon free.  */
static void
follow_up (sched_t *s, sched_worker_t *worker, const sched_job_t *job,
           sched_task_t *task)
{
  switch (task->phase)
    {
    case PHASE_STARTING:
      if (!task->start_in_flight)
        worker->start_or_stop_due = true;
      break;
    case PHASE_STOPPING:
      if (s->now_ms - task->since_ms > STOP_FORCE_AFTER_MS
          && task->stop_mode != STOP_NOW)
        {
          task->stop_mode = STOP_NOW;
          task->stop_due = true;
        }
      if (task->stop_due)
        worker->start_or_stop_due = true;
      lease_soon (s, worker, LEASE_SOON_MS);
      break;
    case PHASE_REJECTED:
    case PHASE_UNCONFIRMED:
      lease_soon (s, worker, LEASE_SOON_MS);
      break;
    case PHASE_RUNNING:
      if (job->row != NULL && job->row->spec->run_ms > 0)
        lease_soon (s, worker,
                    CLAMP (task->since_ms + job->row->spec->run_ms - s->now_ms,
                           LEASE_SOON_MS, LEASE_RENEW_MS));
      break;
    default:
      break;
    }
}

static void
follow_up_all (sched_t *s, sched_worker_t *worker)
{
  for (guint i = 0; i < worker->assignments->len; i++)
    {
      const sched_assignment_t *assignment
          = &g_array_index (worker->assignments, sched_assignment_t, i);
      sched_task_t *task
          = sched_task_find (assignment->job, assignment->number);
      if (task != NULL && task->worker == worker && !assignment->freed)
        follow_up (s, worker, assignment->job, task);
    }
}

/* Throttles or stops one task as DECISION->action says.  */
static void
relieve_pressure (sched_t *s, sched_worker_t *worker,
                  const sched_task_report_t *report,
                  const pressure_task_t *decision)
{
  sched_job_t *job = NULL;
  sched_task_t *task
      = find_assigned (s, worker, report->task, report->generation, &job);
  if (task == NULL)
    return;
  sched_worker_ref_t ref = worker_ref (worker, worker->row_incarnation);
  bool throttle = decision->action == PRESSURE_THROTTLE;
  if (throttle)
    s->actions->throttle (s->context, &ref, report->task, report->generation,
                          decision->reserved.cpu_millis);
  else
    task_stop (s, job, task,
               decision->action == PRESSURE_CHECKPOINT ? STOP_CHECKPOINT
                                                       : STOP_GRACEFUL);
  explain_add (&s->explain, clk_wall_ms (s->clock), job->id,
               (int64_t)job->first_task + (task - job->tasks),
               throttle ? "throttled" : "stopped", "worker %s is short of %s",
               worker->id, throttle ? "processors" : "memory");
}

/* Relieves a worker whose tasks use more than it has.  */
static void
check_pressure (sched_t *s, sched_worker_t *worker,
                const sched_task_report_t *reports, uint32_t count)
{
  pressure_task_t *tasks = g_new0 (pressure_task_t, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      sched_job_t *job = NULL;
      const sched_assignment_t *assignment
          = reported_assignment (s, worker, &reports[i]);
      if (assignment == NULL || reports[i].state != REPORT_RUNNING
          || find_assigned (s, worker, reports[i].task, reports[i].generation,
                            &job)
                 == NULL
          || job->row == NULL)
        continue;
      bool recent = reports[i].usage_age_ms >= 0
                    && reports[i].usage_age_ms <= ESTIMATE_MAX_AGE_MS;
      tasks[i] = (pressure_task_t){
        .class = job->row->spec->class,
        .kind = job->row->spec->kind,
        .throttleable = job->row->spec->throttleable,
        .reserved = sched_assignment_size (assignment),
        .used_cpu_millis = recent ? reports[i].cpu_millis : -1,
        .used_memory_mib = recent ? reports[i].memory_mib : -1
      };
    }
  uint32_t action_count = pressure_plan (tasks, count, worker->capacity);
  for (uint32_t i = 0; action_count > 0 && i < count; i++)
    if (tasks[i].action != PRESSURE_NONE)
      relieve_pressure (s, worker, &reports[i], &tasks[i]);
  g_free (tasks);
}

/* Removes unknown tasks that the last report no longer lists.  */
static void
prune_unknown_tasks (sched_worker_t *worker,
                     const sched_task_report_t *reports, uint32_t count)
{
  for (guint i = worker->unknown_tasks->len; i-- > 0;)
    {
      const sched_unknown_task_t *known
          = &g_array_index (worker->unknown_tasks, sched_unknown_task_t, i);
      if (!report_lists (reports, count, known->task, known->generation))
        g_array_remove_index_fast (worker->unknown_tasks, i);
    }
}

void
sched_leased (sched_t *s, uint64_t tag, err_kind_t kind, int64_t incarnation,
              const sched_task_report_t *reports, uint32_t count)
{
  call_t *call = g_hash_table_lookup (s->calls, &tag);
  if (call == NULL || call->kind != CALL_LEASE)
    return;
  s->now_ms = clk_now_ms (s->clock);
  sched_worker_t *worker = call->worker;
  worker->lease_in_flight = false;
  int64_t sent_ms = call->sent_ms;
  if (kind != ERR_OK)
    {
      /* The acknowledgements may not have arrived.  */
      for (guint i = 0; i < call->tasks->len; i++)
        {
          sched_task_ref_t *task_ref
              = &g_array_index (call->tasks, sched_task_ref_t, i);
          sched_task_ref_t ack
              = { .task = task_ref->task, .generation = task_ref->generation };
          task_ref->task = NULL;
          g_array_append_val (worker->acks, ack);
        }
      lease_soon (s, worker, LEASE_SOON_MS * 4);
    }
  else
    {
      worker->answered_ms = s->now_ms;
      worker->incarnation = MAX (worker->incarnation, incarnation);
      if (s->ready && incarnation == worker->row_incarnation)
        {
          for (guint i = 0; i < worker->assignments->len; i++)
            g_array_index (worker->assignments, sched_assignment_t, i).reported
                = false;
          for (uint32_t i = 0; i < count; i++)
            apply_report (s, worker, &reports[i]);
          apply_absences (s, worker, sent_ms);
          prune_unknown_tasks (worker, reports, count);
          check_pressure (s, worker, reports, count);
          follow_up_all (s, worker);
        }
    }
  g_hash_table_remove (s->calls, &tag);
}

void
workers_tick (sched_t *s)
{
  for (guint i = 0; i < s->workers->len; i++)
    {
      sched_worker_t *worker = s->workers->pdata[i];
      sched_worker_refresh (s, worker);
      if (s->ready && worker->assignments->len > 0)
        {
          lease_holder_t holder
              = { .assigned_incarnation = worker->row_incarnation,
                  .latest_incarnation = worker->incarnation,
                  .gone_since_ms = worker->gone_since_ms };
          if (lease_may_move (&holder, s->now_ms))
            sched_mark_all_lost (s, worker,
                                 holder.latest_incarnation
                                     > holder.assigned_incarnation);
        }
      if (!worker->listed || worker->state == SCHED_GONE)
        continue;
      if (!worker->lease_in_flight && s->now_ms >= worker->lease_due_ms)
        send_lease (s, worker);
      if (worker->start_or_stop_due && s->ready)
        {
          worker->start_or_stop_due = false;
          send_starts (s, worker);
          send_stops (s, worker);
        }
    }
}
