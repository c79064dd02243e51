#include "fake_rows.h"

#include <string.h>

typedef struct
{
  char *table, *part, *key;
  char *value; /* NULL: to be removed */
  uint64_t version;
} fake_row_t;

typedef struct
{
  GPtrArray *expect, *writes;     /* fake_row_t, owned; NULL: a read */
  char *table, *part, *from, *to; /* PART NULL: lists the parts */
  store_reply_done_t done;
  void *context;
} fake_call_t;

static char *
row_name (const char *table, const char *part, const char *key)
{
  return g_strdup_printf ("%s %s %s", table, part, key);
}

static fake_row_t *
row_new (const char *table, const char *part, const char *key,
         const char *value, size_t length, uint64_t version)
{
  fake_row_t *row = g_new (fake_row_t, 1);
  *row = (fake_row_t){ g_strdup (table), g_strdup (part), g_strdup (key),
                       value != NULL ? g_strndup (value, length) : NULL,
                       version };
  return row;
}

static void
row_free (void *data)
{
  fake_row_t *row = data;
  g_free (row->table);
  g_free (row->part);
  g_free (row->key);
  g_free (row->value);
  g_free (row);
}

static void
call_free (void *data)
{
  fake_call_t *call = data;
  g_clear_pointer (&call->expect, g_ptr_array_unref);
  g_clear_pointer (&call->writes, g_ptr_array_unref);
  g_free (call->table);
  g_free (call->part);
  g_free (call->from);
  g_free (call->to);
  g_free (call);
}

void
fake_rows_init (fake_rows_t *rows)
{
  *rows = (fake_rows_t){
    .rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free),
    .calls = g_ptr_array_new_with_free_func (call_free),
    .late = g_ptr_array_new_with_free_func (call_free),
  };
}

void
fake_rows_clear (fake_rows_t *rows)
{
  g_hash_table_unref (rows->rows);
  g_ptr_array_unref (rows->calls);
  g_ptr_array_unref (rows->late);
}

static const fake_row_t *
find_row (const fake_rows_t *rows, const char *table, const char *part,
          const char *key)
{
  char *name = row_name (table, part, key);
  const fake_row_t *row = g_hash_table_lookup (rows->rows, name);
  g_free (name);
  return row;
}

const char *
fake_rows_get (const fake_rows_t *rows, const char *table, const char *part,
               const char *key)
{
  const fake_row_t *row = find_row (rows, table, part, key);
  return row != NULL ? row->value : NULL;
}

void
fake_rows_put (fake_rows_t *rows, const char *table, const char *part,
               const char *key, const char *value)
{
  char *name = row_name (table, part, key);
  rows->version++;
  if (value != NULL)
    g_hash_table_replace (
        rows->rows, name,
        row_new (table, part, key, value, strlen (value), rows->version));
  else
    {
      g_hash_table_remove (rows->rows, name);
      g_free (name);
    }
}

static GPtrArray *
copy_rows (const store_row_t *rows, uint32_t count)
{
  GPtrArray *copies = g_ptr_array_new_with_free_func (row_free);
  for (uint32_t i = 0; i < count; i++)
    g_ptr_array_add (copies,
                     row_new (rows[i].table, rows[i].part, rows[i].key,
                              rows[i].value, rows[i].length, rows[i].version));
  return copies;
}

static void
send_commit (platform_api_t *api, const store_row_t *expect,
             uint32_t expect_count, const store_row_t *writes,
             uint32_t write_count, int64_t timeout_ms, store_reply_done_t done,
             void *context)
{
  fake_call_t *call = g_new0 (fake_call_t, 1);
  call->expect = copy_rows (expect, expect_count);
  call->writes = copy_rows (writes, write_count);
  call->done = done;
  call->context = context;
  g_ptr_array_add (((fake_site_t *)api)->rows->calls, call);
}

static void
send_read (platform_api_t *api, const char *table, const char *part,
           const char *from, const char *to, int64_t timeout_ms,
           store_reply_done_t done, void *context)
{
  fake_call_t *call = g_new0 (fake_call_t, 1);
  *call = (fake_call_t){ .table = g_strdup (table),
                         .part = g_strdup (part),
                         .from = g_strdup (from),
                         .to = g_strdup (to),
                         .done = done,
                         .context = context };
  g_ptr_array_add (((fake_site_t *)api)->rows->calls, call);
}

static void
send_parts (platform_api_t *api, const char *table, const char *after,
            int64_t timeout_ms, store_reply_done_t done, void *context)
{
  send_read (api, table, NULL, after, NULL, timeout_ms, done, context);
}

static store_row_t
as_reply (const fake_row_t *row)
{
  return (store_row_t){ row->table,   row->part,  row->key,
                        row->version, row->value, strlen (row->value) };
}

/* Carries out a transaction, and adds the rows of a conflict to FOUND.  */
static store_result_t
commit (fake_rows_t *rows, const fake_call_t *call, GArray *found)
{
  store_result_t result = STORE_OK;
  for (guint i = 0; i < call->expect->len; i++)
    {
      const fake_row_t *wanted = call->expect->pdata[i];
      const fake_row_t *row
          = find_row (rows, wanted->table, wanted->part, wanted->key);
      if ((row != NULL ? row->version : 0) != wanted->version
          && g_strcmp0 (wanted->table, rows->unchecked_table) != 0)
        result = STORE_CONFLICT;
      if (row == NULL)
        continue;
      store_row_t current = as_reply (row);
      g_array_append_val (found, current);
    }
  if (result == STORE_CONFLICT)
    return result;
  g_array_set_size (found, 0);
  for (guint i = 0; i < call->writes->len; i++)
    {
      const fake_row_t *row = call->writes->pdata[i];
      fake_rows_put (rows, row->table, row->part, row->key, row->value);
    }
  return result;
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp (((const store_row_t *)a)->key, ((const store_row_t *)b)->key);
}

static void
read_rows (const fake_rows_t *rows, const fake_call_t *call, GArray *found)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, rows->rows);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const fake_row_t *row = value;
      store_row_t copy = as_reply (row);
      if (strcmp (row->table, call->table) == 0
          && g_strcmp0 (row->table, rows->hidden_table) != 0
          && strcmp (row->part, call->part) == 0
          && (call->from == NULL || strcmp (row->key, call->from) >= 0)
          && (call->to == NULL || strcmp (row->key, call->to) < 0))
        g_array_append_val (found, copy);
    }
  g_array_sort (found, compare_keys);
}

static void
list_parts (const fake_rows_t *rows, const fake_call_t *call, GArray *found)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, rows->rows);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const fake_row_t *row = value;
      store_row_t part = { "", "", row->part, 0, NULL, 0 };
      bool known = strcmp (row->table, call->table) != 0;
      for (guint i = 0; i < found->len && !known; i++)
        known = strcmp (g_array_index (found, store_row_t, i).key, row->part)
                == 0;
      if (!known)
        g_array_append_val (found, part);
    }
}

void
fake_rows_deliver (fake_rows_t *rows, guint index, fake_delivery_t delivery)
{
  fake_call_t *call = g_ptr_array_steal_index (rows->calls, index);
  GArray *found = g_array_new (FALSE, FALSE, sizeof (store_row_t));
  store_reply_t reply = { .result = STORE_OK };
  if (delivery == REFUSED)
    reply.result = STORE_REFUSED;
  else if (delivery == CARRIED_OUT_LATE)
    reply.result = STORE_UNKNOWN;
  else if (call->writes != NULL)
    reply.result = commit (rows, call, found);
  else if (call->part != NULL)
    read_rows (rows, call, found);
  else
    list_parts (rows, call, found);
  if (delivery == ANSWER_LOST)
    {
      reply.result = STORE_UNKNOWN;
      g_array_set_size (found, 0);
    }
  reply.version = rows->version;
  reply.rows = (const store_row_t *)(const void *)found->data;
  reply.count = found->len;
  call->done (call->context, &reply);
  g_array_unref (found);
  if (delivery == CARRIED_OUT_LATE && call->writes != NULL)
    g_ptr_array_add (rows->late, call);
  else
    call_free (call);
}

bool
fake_rows_reads (const fake_rows_t *rows, guint index, const char *table)
{
  const fake_call_t *call = rows->calls->pdata[index];
  return g_strcmp0 (call->table, table) == 0;
}

void
fake_rows_settle (fake_rows_t *rows)
{
  while (rows->calls->len > 0)
    fake_rows_deliver (rows, 0, DELIVERED);
}

void
fake_rows_deliver_late (fake_rows_t *rows)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (store_row_t));
  for (guint i = 0; i < rows->late->len; i++)
    commit (rows, rows->late->pdata[i], found);
  g_ptr_array_set_size (rows->late, 0);
  g_array_unref (found);
}

static fake_caller_t *
answered (caller_request_t *request, err_kind_t kind)
{
  fake_caller_t *caller = (fake_caller_t *)request;
  caller->answers++;
  caller->kind = kind;
  return caller;
}

static void
answer_done (caller_request_t *request)
{
  answered (request, ERR_OK);
}

static void
answer_state (caller_request_t *request, const char *state)
{
  fake_caller_t *caller = answered (request, ERR_OK);
  g_strlcpy (caller->state, state, sizeof caller->state);
}

static void
answer_pending (caller_request_t *request, uint32_t pending)
{
  answered (request, ERR_OK)->pending = pending;
}

static void
answer_no_job (caller_request_t *request)
{
  answered (request, ERR_NOT_FOUND)->no_job = true;
}

static void
answer_error (caller_request_t *request, err_kind_t kind, int64_t retry_ms)
{
  answered (request, kind);
}

static const platform_api_ops_t ops = { .commit = send_commit,
                                        .read = send_read,
                                        .parts = send_parts,
                                        .answer_accepted = answer_done,
                                        .answer_state = answer_state,
                                        .answer_pending = answer_pending,
                                        .answer_cancelled = answer_done,
                                        .answer_no_job = answer_no_job,
                                        .answer_error = answer_error };

void
fake_site_init (fake_site_t *site, node_t *node, fake_rows_t *rows,
                const char *name, const clk_t *clock)
{
  *site = (fake_site_t){ .platform = { .ops = &ops }, .rows = rows };
  site->platform.settings.name = (char *)name;
  site->platform.settings.cells.max_lease_ms = 6000;
  site->platform.settings.cells.retention_ms = 120000;
  *node = (node_t){ .platform = &site->platform, .clock = clock };
  node->loop = ev_loop_new (0);
  node->metrics = counter_registry_new ();
  node->cells = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                       (GDestroyNotify)node_cell_free);
  node->members = g_ptr_array_new_with_free_func (node_member_free);
  node->cluster_answered_ms = node_now (node);
  adaptive_timeout_init (&node->store_timeout, 250, 2000);
}

void
fake_site_clear (node_t *node)
{
  g_hash_table_unref (node->cells);
  counter_registry_free (node->metrics);
  g_ptr_array_unref (node->members);
  queue_table_free (node->queues);
  g_clear_pointer (&node->sweep.parts, g_ptr_array_unref);
  g_free (node->sweep.from);
  ev_loop_destroy (node->loop);
}

void
fake_site_route (node_t *node, const char *service)
{
  queue_table_free (node->queues);
  node->queues = queue_table_new (1);
  if (service == NULL)
    return;
  queue_t *queue = queue_new ();
  queue->name = g_strdup ("queue");
  queue->host = g_strdup ("host");
  queue->path_prefix = g_strdup ("/queue/");
  queue->service = g_strdup (service);
  queue->max_attempts = 4;
  g_ptr_array_add (node->queues->queues, queue);
}
