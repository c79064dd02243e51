#include "fake_world.h"

#include <string.h>

void
fake_world_submit (fake_world_t *world, uint32_t entry, const char *text,
                   void *token)
{
  json_t *json = json_loads (text, 0, NULL);
  g_hash_table_add (world->submissions, token);
  sched_submit (world->entries[entry].sched, json, token);
  json_decref (json);
}

void
fake_world_cancel (fake_world_t *world, uint32_t entry, const char *id,
                   void *token)
{
  sched_cancel (world->entries[entry].sched, id, token);
}

int
fake_world_answer (const fake_world_t *world, const void *token)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (world->answers, token)) - 1;
}

const char *
fake_world_job_state (const fake_world_t *world, const char *id)
{
  char *key = job_key (id);
  sched_row_t row = fake_store_get (&world->store, key);
  g_free (key);
  const char *state = json_string_value (json_object_get (row.value, "state"));
  return state != NULL ? state : "";
}

uint32_t
fake_world_running (const fake_world_t *world, const char *id)
{
  uint32_t running = 0;
  for (uint32_t w = 0; w < world->worker_count; w++)
    for (guint i = 0; i < world->workers[w].tasks->len; i++)
      {
        const fake_task_t *task
            = &g_array_index (world->workers[w].tasks, fake_task_t, i);
        char job[JOB_ID_MAX_BYTES + 1];
        uint32_t number;
        if (task->state == REPORT_RUNNING
            && task_name_split (task->name, job, &number)
            && strcmp (job, id) == 0)
          running++;
      }
  return running;
}
