#include "queues.h"

#include <string.h>

queue_t *
queue_new (void)
{
  return g_new0 (queue_t, 1);
}

void
queue_free (queue_t *queue)
{
  if (queue == NULL)
    return;
  g_free (queue->name);
  g_free (queue->host);
  g_free (queue->path_prefix);
  g_free (queue->service);
  g_free (queue);
}

queue_t *
queue_copy (const queue_t *queue)
{
  queue_t *copy = g_new (queue_t, 1);
  *copy = *queue;
  copy->name = g_strdup (queue->name);
  copy->host = g_strdup (queue->host);
  copy->path_prefix = g_strdup (queue->path_prefix);
  copy->service = g_strdup (queue->service);
  return copy;
}

queue_table_t *
queue_table_new (uint64_t version)
{
  queue_table_t *table = g_new0 (queue_table_t, 1);
  table->version = version;
  table->queues = g_ptr_array_new_with_free_func ((GDestroyNotify)queue_free);
  table->unreadable
      = g_ptr_array_new_with_free_func ((GDestroyNotify)queue_free);
  table->services = g_ptr_array_new_with_free_func (g_free);
  return table;
}

void
queue_table_free (queue_table_t *table)
{
  if (table == NULL)
    return;
  g_ptr_array_unref (table->queues);
  g_ptr_array_unref (table->unreadable);
  g_ptr_array_unref (table->services);
  g_free (table);
}

/* Returns the one of QUEUES with the longest matching prefix and sets *LENGTH
   to the length of that; NULL if there is none.  */
static const queue_t *
longest_match (const GPtrArray *queues, const char *host, const char *path,
               size_t *length)
{
  const queue_t *best = NULL;
  size_t host_length = strcspn (host, ":");
  for (guint i = 0; i < queues->len; i++)
    {
      const queue_t *queue = queues->pdata[i];
      size_t prefix = strlen (queue->path_prefix);
      if (strlen (queue->host) != host_length
          || g_ascii_strncasecmp (queue->host, host, host_length) != 0
          || strncmp (path, queue->path_prefix, prefix) != 0
          || (best != NULL && prefix <= *length))
        continue;
      best = queue;
      *length = prefix;
    }
  return best;
}

const queue_t *
queue_table_match (const queue_table_t *table, const char *host,
                   const char *path, const char **rest, bool *unreadable)
{
  size_t length = 0;
  size_t unreadable_length = 0;
  const queue_t *best = longest_match (table->queues, host, path, &length);
  *unreadable
      = longest_match (table->unreadable, host, path, &unreadable_length)
            != NULL
        && (best == NULL || unreadable_length > length);
  if (*unreadable)
    return NULL;
  if (best != NULL)
    *rest = path + length;
  return best;
}
