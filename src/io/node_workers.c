#include "node_internal.h"

#include "log.h"

/* NAME
     node_workers - follows the platform's list of workers  */

#define WORKERS_WAIT_MS 1000
#define FOLLOW_SLACK_MS 900
/* Every worker renews its row once per heartbeat; without a pause each renewal
   would come in an answer of its own.  Draining workers must get no work after
   2 s.  */
#define WORKERS_GAP_MS 300
/* Time without a confirmation after which the store is asked for one, as a
   part of the limit up to which tasks are started by the list.  */
#define ASK_AFTER_DIVISOR 2
#define ASK_TIMEOUT_MS 400

/* Unlists ID in all cells but the one with the name KEPT, which may be NULL.
   Its runs there are followed at the known address until they have ended.  */
static void
unlist_elsewhere (node_t *node, const char *id, const char *kept)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const node_cell_t *cell = value;
      if (cell->scheduler != NULL && g_strcmp0 (cell->name, kept) != 0)
        cell_worker_unlisted (cell->scheduler, id);
    }
}

static void
worker_listed (void *context, const worker_row_t *row)
{
  node_t *node = context;
  const node_cell_t *cell = g_hash_table_lookup (node->cells, row->service);
  unlist_elsewhere (node, row->id, row->service);
  if (cell != NULL && cell->scheduler != NULL)
    cell_worker_listed (cell->scheduler, row);
}

void
node_worker_changed (void *context, const char *part, const char *key,
                     const char *value, size_t length)
{
  node_t *node = context;
  platform_api_t *platform = node->platform;
  node->input_pending = true;
  if (value != NULL
      && platform->ops->parse_worker (platform, key, value, length,
                                      worker_listed, node))
    {
      if (g_hash_table_remove (node->unreadable_workers, key))
        log_event (LOG_INFO, "worker_row_readable", "id", key, NULL);
      return;
    }
  unlist_elsewhere (node, key, NULL);
  /* A row that stays unreadable is reported again with each of its changes,
     and with each cell that this node loads.  */
  if (value == NULL)
    g_hash_table_remove (node->unreadable_workers, key);
  else if (g_hash_table_add (node->unreadable_workers, g_strdup (key)))
    log_event (LOG_WARN, "worker_row_unreadable", "id", key, NULL);
}

static void
on_workers_loaded (void *context)
{
  node_t *node = context;
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    node_cell_begin_if_loaded (value);
}

static const replica_events_t worker_events
    = { node_worker_changed, on_workers_loaded, NULL };

void
node_follow_workers (node_t *node)
{
  static const char *const parts[] = { "", NULL };
  bool wanted = node_cells_held (node) > 0;
  if (!wanted)
    {
      replica_free (node->workers);
      node->workers = NULL;
      g_hash_table_remove_all (node->unreadable_workers);
    }
  if (!wanted || node->workers != NULL)
    return;
  replica_options_t options
      = { node->platform->ops->workers_table (node->platform), parts,
          WORKERS_WAIT_MS, FOLLOW_SLACK_MS, WORKERS_GAP_MS };
  node->workers = replica_new (node->platform, node->loop, &options,
                               &worker_events, node);
}

void
node_check_workers (node_t *node)
{
  int64_t limit_ms = node->platform->settings.cells.list_limit_ms;
  if (node->workers != NULL && replica_is_loaded (node->workers)
      && node_now (node) - replica_confirmed_ms (node->workers)
             > limit_ms / ASK_AFTER_DIVISOR)
    replica_check (node->workers, ASK_TIMEOUT_MS);
}
