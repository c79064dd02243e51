#include "sched_internal.h"

/* NAME
     sched_lost - ends of the tasks of a worker that is lost

   See blame.h.  Suspected tasks are not kept apart here: they wait for
   different times, so that the next crash tells them apart.  */

/* The tasks assigned to WORKER that may run there, as sched_assignment_t.  */
static GPtrArray *
assigned_tasks (sched_worker_t *worker)
{
  GPtrArray *found = g_ptr_array_new ();
  for (guint i = 0; i < worker->assignments->len; i++)
    {
      sched_assignment_t *assignment
          = &g_array_index (worker->assignments, sched_assignment_t, i);
      const sched_task_t *task
          = sched_task_find (assignment->job, assignment->number);
      if (task != NULL && task->worker == worker
          && task->generation == assignment->generation)
        g_ptr_array_add (found, assignment);
    }
  return found;
}

/* The run of ASSIGNMENT for blame_judge.  Only differences of ages matter, so
   they are counted until now, not until the unknown time of the crash.  */
static blame_run_t
blame_run_of (const sched_t *s, const sched_assignment_t *assignment)
{
  const sched_task_t *task
      = sched_task_find (assignment->job, assignment->number);
  return (blame_run_t){ .job = assignment->job->id,
                        .age_ms = s->now_ms - task->since_ms };
}

void
sched_mark_all_lost (sched_t *s, sched_worker_t *worker, bool crashed)
{
  GPtrArray *lost = assigned_tasks (worker);
  GArray *runs = g_array_new (FALSE, TRUE, sizeof (blame_run_t));
  blame_verdict_t *verdicts = g_new0 (blame_verdict_t, lost->len + 1);
  for (guint i = 0; i < lost->len; i++)
    {
      const sched_assignment_t *assignment = lost->pdata[i];
      blame_run_t run = blame_run_of (s, assignment);
      if (sched_task_find (assignment->job, assignment->number)->phase
          == PHASE_RUNNING)
        g_array_append_val (runs, run);
    }
  blame_judge ((const blame_run_t *)(const void *)runs->data, runs->len, false,
               verdicts);
  guint running = 0;
  for (guint i = 0; i < lost->len; i++)
    {
      const sched_assignment_t *assignment = lost->pdata[i];
      sched_task_t *task
          = sched_task_find (assignment->job, assignment->number);
      bool suspected = task->phase == PHASE_RUNNING
                           ? verdicts[running++] >= BLAME_SUSPECT
                           : task->phase != PHASE_STOPPING;
      task_confirm_end (s, assignment->job, task,
                        crashed && suspected ? PHASE_CRASHED : PHASE_LOST);
    }
  g_free (verdicts);
  g_array_unref (runs);
  g_ptr_array_unref (lost);
}
