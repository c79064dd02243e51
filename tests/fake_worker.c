#include "fake_worker.h"

#include <string.h>

/* Returns GENERATION of task NAME on WORKER, NULL if it is not there.  */
static fake_task_t *
find_task (const fake_worker_t *worker, const char *name, uint32_t generation)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      fake_task_t *task = &g_array_index (worker->tasks, fake_task_t, i);
      if (task->generation == generation && strcmp (task->name, name) == 0)
        return task;
    }
  return NULL;
}

void
fake_worker_bar (fake_worker_t *worker, const char *name, uint32_t generation)
{
  uint32_t known
      = GPOINTER_TO_UINT (g_hash_table_lookup (worker->barred, name));
  if (generation > known)
    g_hash_table_insert (worker->barred, g_strdup (name),
                         GUINT_TO_POINTER (generation));
}

/* Checks against the rows in the store that GENERATION of NAME may start.  */
static void
check_rows (fake_cluster_t *cluster, const fake_worker_t *worker,
            const char *name, uint32_t generation)
{
  char job[JOB_ID_MAX_BYTES + 1];
  uint32_t number;
  if (!task_name_split (name, job, &number))
    {
      fake_cluster_violation (cluster, "bad task name", name);
      return;
    }
  char *key = part_key ("z", job);
  json_t *part = fake_store_get (&cluster->store, key).value;
  g_free (key);
  int64_t committed = json_integer_value (
      json_array_get (json_object_get (part, "generation"), number));
  const char *states = json_string_value (json_object_get (part, "state"));
  if (committed < generation)
    fake_cluster_violation (cluster, "started before its commit", name);
  else if (states != NULL && strchr ("efx", states[number]) != NULL)
    fake_cluster_violation (cluster, "started after its end was committed",
                            name);
  if (strcmp (fake_cluster_job_state (cluster, job), "cancelled") == 0)
    fake_cluster_violation (cluster, "started after its job was cancelled",
                            name);
  if (g_hash_table_contains (cluster->refused, job))
    fake_cluster_violation (cluster, "started although its job was refused",
                            g_hash_table_lookup (cluster->refused, job));
}

/* Checks the guarantees that concern the start of NAME on WORKER.  */
static void
check_start (fake_cluster_t *cluster, const fake_worker_t *worker,
             const char *name, uint32_t generation)
{
  resource_t used = { 0 };
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const fake_task_t *task = &g_array_index (worker->tasks, fake_task_t, i);
      if (task->state == REPORT_RUNNING)
        used = resource_add (used, task->size);
    }
  if (!resource_fits (used, worker->capacity))
    fake_cluster_violation (cluster, "over capacity", worker->id);
  uint32_t running = 0;
  for (uint32_t w = 0; w < cluster->worker_count; w++)
    for (guint i = 0; i < cluster->workers[w].tasks->len; i++)
      {
        const fake_task_t *task
            = &g_array_index (cluster->workers[w].tasks, fake_task_t, i);
        running
            += task->state == REPORT_RUNNING && strcmp (task->name, name) == 0;
      }
  if (running > 1)
    fake_cluster_violation (cluster, "runs in two places", name);
  if (g_hash_table_contains (cluster->ended, name))
    fake_cluster_violation (cluster, "started after it ended", name);
  check_rows (cluster, worker, name, generation);
}

start_result_t
fake_worker_start (fake_cluster_t *cluster, fake_worker_t *worker,
                   const fake_message_t *message, const fake_item_t *item)
{
  if (find_task (worker, item->task, item->generation) != NULL)
    {
      const fake_task_t *known
          = find_task (worker, item->task, item->generation);
      return known->state == REPORT_RUNNING ? START_RUNNING : START_STALE;
    }
  if (GPOINTER_TO_UINT (g_hash_table_lookup (worker->barred, item->task))
      >= item->generation)
    return START_STALE;
  resource_t free = worker->capacity;
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const fake_task_t *task = &g_array_index (worker->tasks, fake_task_t, i);
      if (task->state == REPORT_RUNNING)
        free = resource_sub (free, task->size);
    }
  if (!resource_fits (item->size, free))
    return START_NO_CAPACITY;
  int64_t now_ms = fake_cluster_now (cluster);
  fake_task_t task = { .name = g_strdup (item->task),
                       .generation = item->generation,
                       .state = REPORT_RUNNING,
                       .size = item->size,
                       .end_ms = item->run_ms > 0 && item->kind != JOB_SERVICE
                                     ? now_ms + item->run_ms
                                     : INT64_MAX,
                       .lease_end_ms = now_ms + message->lease_ms,
                       .stop_at_ms = INT64_MAX,
                       .fails = item->fails || worker->fails };
  if (task.fails)
    task.end_ms = now_ms + 200;
  g_array_append_val (worker->tasks, task);
  if (g_strcmp0 (item->task, cluster->deadly_task) == 0)
    worker->crash_at_ms = now_ms + cluster->deadly_after_ms;
  cluster->worker_starts++;
  check_start (cluster, worker, item->task, item->generation);
  return START_RUNNING;
}

stop_result_t
fake_worker_stop (fake_cluster_t *cluster, fake_worker_t *worker,
                  const fake_item_t *item)
{
  fake_task_t *task = find_task (worker, item->task, item->generation);
  if (task == NULL)
    {
      fake_worker_bar (worker, item->task, item->generation);
      return STOP_RESULT_UNKNOWN;
    }
  if (task->state == REPORT_RUNNING)
    {
      int64_t delay_ms = item->mode == STOP_NOW
                             ? 0
                             : g_rand_int_range (cluster->random, 0, 1000);
      task->stop_at_ms
          = MIN (task->stop_at_ms, fake_cluster_now (cluster) + delay_ms);
      if (delay_ms > 0)
        return STOP_RESULT_STOPPING;
      task->state = REPORT_STOPPED;
    }
  fake_worker_bar (worker, item->task, item->generation);
  return task->state == REPORT_STOPPED ? STOP_RESULT_STOPPED
                                       : STOP_RESULT_ENDED;
}

void
fake_worker_lease (fake_cluster_t *cluster, fake_worker_t *worker,
                   fake_message_t *message)
{
  for (guint i = 0; i < message->items->len; i++)
    {
      const fake_item_t *ack = &g_array_index (message->items, fake_item_t, i);
      fake_task_t *task = find_task (worker, ack->task, ack->generation);
      if (task == NULL || task->state == REPORT_RUNNING)
        continue;
      fake_worker_bar (worker, ack->task, ack->generation);
      g_array_remove_index_fast (
          worker->tasks,
          (guint)(task - &g_array_index (worker->tasks, fake_task_t, 0)));
    }
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      fake_task_t *task = &g_array_index (worker->tasks, fake_task_t, i);
      task->lease_end_ms = MAX (task->lease_end_ms, fake_cluster_now (cluster)
                                                        + message->lease_ms);
      sched_task_report_t report = { .task = g_strdup (task->name),
                                     .generation = task->generation,
                                     .state = task->state,
                                     .cpu_millis = -1,
                                     .memory_mib = -1,
                                     .usage_age_ms = 0 };
      g_array_append_val (message->reports, report);
    }
}
