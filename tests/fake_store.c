#include "fake_store.h"

#include <string.h>

static int
compare_keys (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}

static void
row_free (gpointer data)
{
  fake_row_t *row = data;
  json_decref (row->value);
  g_free (row);
}

void
fake_store_init (fake_store_t *store)
{
  store->rows = g_tree_new_full (compare_keys, NULL, g_free, row_free);
  store->row_writes = 0;
}

void
fake_store_clear (fake_store_t *store)
{
  g_tree_unref (store->rows);
}

sched_row_t
fake_store_get (const fake_store_t *store, const char *key)
{
  const fake_row_t *row = g_tree_lookup (store->rows, key);
  sched_row_t out = { .key = key };
  if (row != NULL && row->value != NULL)
    {
      out.version = row->version;
      out.value = row->value;
    }
  return out;
}

GArray *
fake_store_scan (const fake_store_t *store, const char *prefix)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (sched_row_t));
  for (GTreeNode *node = g_tree_lower_bound (store->rows, prefix);
       node != NULL; node = g_tree_node_next (node))
    {
      const char *key = g_tree_node_key (node);
      const fake_row_t *row = g_tree_node_value (node);
      if (strncmp (key, prefix, strlen (prefix)) != 0)
        break;
      if (row->value == NULL)
        continue;
      sched_row_t out
          = { .key = key, .version = row->version, .value = row->value };
      g_array_append_val (found, out);
    }
  return found;
}

bool
fake_store_txn (fake_store_t *store, const sched_row_t *checks,
                uint32_t check_count, const sched_row_t *writes,
                uint32_t write_count, int64_t *versions)
{
  for (uint32_t i = 0; i < check_count; i++)
    if (fake_store_get (store, checks[i].key).version != checks[i].version)
      return false;
  for (uint32_t i = 0; i < write_count; i++)
    {
      fake_row_t *row = g_tree_lookup (store->rows, writes[i].key);
      if (row == NULL)
        {
          row = g_new0 (fake_row_t, 1);
          g_tree_insert (store->rows, g_strdup (writes[i].key), row);
        }
      json_decref (row->value);
      row->value
          = writes[i].value != NULL ? json_deep_copy (writes[i].value) : NULL;
      versions[i] = ++row->version;
      store->row_writes++;
    }
  return true;
}
