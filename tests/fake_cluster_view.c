#include "fake_cluster.h"

#include <string.h>

void
fake_cluster_submit (fake_cluster_t *cluster, uint32_t entry, const char *text,
                     void *token)
{
  json_t *json = json_loads (text, 0, NULL);
  g_hash_table_add (cluster->submissions, token);
  sched_submit (cluster->entries[entry].sched, json, token);
  json_decref (json);
}

void
fake_cluster_cancel (fake_cluster_t *cluster, uint32_t entry, const char *id,
                     void *token)
{
  sched_cancel (cluster->entries[entry].sched, id, token);
}

int
fake_cluster_answer (const fake_cluster_t *cluster, const void *token)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (cluster->answers, token)) - 1;
}

const char *
fake_cluster_job_state (const fake_cluster_t *cluster, const char *id)
{
  char *key = job_key (id);
  sched_row_t row = fake_store_get (&cluster->store, key);
  g_free (key);
  const char *state = json_string_value (json_object_get (row.value, "state"));
  return state != NULL ? state : "";
}

uint32_t
fake_cluster_running (const fake_cluster_t *cluster, const char *id)
{
  uint32_t running = 0;
  for (uint32_t w = 0; w < cluster->worker_count; w++)
    for (guint i = 0; i < cluster->workers[w].tasks->len; i++)
      {
        const fake_task_t *task
            = &g_array_index (cluster->workers[w].tasks, fake_task_t, i);
        char job[JOB_ID_MAX_BYTES + 1];
        uint32_t number;
        if (task->state == REPORT_RUNNING
            && task_name_split (task->name, job, &number)
            && strcmp (job, id) == 0)
          running++;
      }
  return running;
}
