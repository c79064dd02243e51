#include "explain.h"

#include <stdarg.h>
#include <string.h>

void
explain_init (explain_t *explain)
{
  explain->records = g_new0 (explain_record_t, EXPLAIN_RECORDS);
  explain->next = 0;
  explain->newest = g_hash_table_new (g_str_hash, g_str_equal);
}

void
explain_clear (explain_t *explain)
{
  g_hash_table_unref (explain->newest);
  for (uint32_t i = 0; i < EXPLAIN_RECORDS; i++)
    g_free (explain->records[i].job);
  g_free (explain->records);
}

/* Clears the oldest record and assigns it to JOB.  */
static explain_record_t *
reuse_oldest_record (explain_t *explain, const char *job)
{
  uint32_t index = explain->next;
  explain->next = (index + 1) % EXPLAIN_RECORDS;
  explain_record_t *record = &explain->records[index];
  if (record->job != NULL)
    {
      gpointer newest = g_hash_table_lookup (explain->newest, record->job);
      if (GPOINTER_TO_UINT (newest) == index + 1)
        g_hash_table_remove (explain->newest, record->job);
      g_free (record->job);
    }
  memset (record, 0, sizeof *record);
  record->job = g_strdup (job);
  /* The key is borrowed, so it has to be replaced by that of the newest
     record, which is freed last.  */
  g_hash_table_remove (explain->newest, job);
  g_hash_table_insert (explain->newest, record->job,
                       GUINT_TO_POINTER (index + 1));
  return record;
}

void
explain_add (explain_t *explain, int64_t wall_ms, const char *job,
             int64_t task, const char *event, const char *format, ...)
{
  gpointer newest = g_hash_table_lookup (explain->newest, job);
  explain_record_t *record
      = newest != NULL ? &explain->records[GPOINTER_TO_UINT (newest) - 1]
                       : NULL;
  if (record == NULL || strcmp (record->event, event) != 0)
    {
      record = reuse_oldest_record (explain, job);
      record->event = event;
      record->first_ms = wall_ms;
    }
  record->last_ms = wall_ms;
  record->task = task;
  record->count++;
  va_list args;
  va_start (args, format);
  g_vsnprintf (record->text, sizeof record->text, format, args);
  va_end (args);
}

json_t *
explain_list (const explain_t *explain, const char *job)
{
  json_t *list = json_array ();
  for (uint32_t i = 0; i < EXPLAIN_RECORDS; i++)
    {
      const explain_record_t *record
          = &explain->records[(explain->next + i) % EXPLAIN_RECORDS];
      if (record->job == NULL || strcmp (record->job, job) != 0)
        continue;
      json_t *item = json_pack (
          "{s:s,s:I,s:I,s:I,s:s}", "event", record->event, "first_ms",
          (json_int_t)record->first_ms, "last_ms", (json_int_t)record->last_ms,
          "count", (json_int_t)record->count, "reason", record->text);
      if (record->task >= 0)
        json_object_set_new (item, "task", json_integer (record->task));
      json_array_append_new (list, item);
    }
  return list;
}
