#include "node_internal.h"

#include "log.h"

#include <string.h>

/* NAME
     node_find - finds the cell of a stored job, and cells with jobs that the
     configuration does not name

   The row HOME_TABLE, written in the transaction that stores a job, names the
   job's cell for good, whatever the configuration says since.  Most jobs are
   in the cell that their route names, so that cell is looked at first, and the
   home only for an id that it does not have.  Since the job may be stored
   between these two, the cell that the home names is then looked at again.  A
   job that a node of an earlier version has stored has no home; it is looked
   for in every cell.  */

#define LIST_TIMEOUT_MS 1500
#define LIST_RETRY_MS 1000

typedef struct
{
  node_t *node;
  char *id;
  GPtrArray *cells; /* node_cell_t to look at, in this order */
  guint at;         /* the one looked at now; the home once it is CELLS->len */
  bool wants_state;
  bool reads_inbox; /* instead of the record */
  bool home_read;
  uint64_t home_version; /* 0: there is none */
  bool via_peer;
  node_found_t done;
  void *context;
} search_t;

static void on_row_read (void *context, const store_reply_t *reply);

static void
finish (search_t *search, const found_job_t *found)
{
  search->done (search->context, found);
  g_ptr_array_unref (search->cells);
  g_free (search->id);
  g_free (search);
}

/* Makes the call that comes next, or finishes without a job.  */
static void
look_on (search_t *search)
{
  node_t *node = search->node;
  char part[INBOX_PART_NAME_BYTES];
  node_inbox_part (search->id, part);
  if (search->at >= search->cells->len && search->home_read)
    {
      found_job_t none
          = { .result = STORE_OK, .home_version = search->home_version };
      finish (search, &none);
      return;
    }
  /* Lies below the key of the cancel and of segments, so that the range holds
     only ID.  */
  char *to = g_strconcat (search->id, "\x01", NULL);
  const node_cell_t *cell = search->at < search->cells->len
                                ? search->cells->pdata[search->at]
                                : NULL;
  if (cell == NULL)
    node_store_read (node, search->via_peer, HOME_TABLE, part, search->id, to,
                     on_row_read, search);
  else if (search->reads_inbox)
    node_store_read (node, search->via_peer, cell->inbox_table, part,
                     search->id, to, on_row_read, search);
  else
    node_store_read (node, search->via_peer, RECORD_TABLE, cell->name,
                     search->id, to, on_row_read, search);
  g_free (to);
}

/* The row of the home was read; ROW is NULL if there is none.  */
static void
follow_home (search_t *search, const store_row_t *row)
{
  node_t *node = search->node;
  GHashTableIter iterator;
  gpointer cell;
  search->home_read = true;
  if (row != NULL && row->value != NULL)
    {
      char *name = g_strndup (row->value, row->length);
      cell = node_get_cell (node, name);
      g_free (name);
      search->home_version = row->version;
      g_ptr_array_add (search->cells, cell);
      return;
    }
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &cell))
    if (!g_ptr_array_find (search->cells, cell, NULL))
      g_ptr_array_add (search->cells, cell);
}

static void
on_row_read (void *context, const store_reply_t *reply)
{
  search_t *search = context;
  const store_row_t *row = reply->count > 0 ? &reply->rows[0] : NULL;
  if (reply->result != STORE_OK && search->via_peer)
    {
      found_job_t failed = { .result = reply->result };
      finish (search, &failed);
      return;
    }
  if (reply->result != STORE_OK)
    search->via_peer = true;
  else if (search->at >= search->cells->len)
    follow_home (search, row);
  else
    {
      found_job_t found = { .result = STORE_OK,
                            .cell = search->cells->pdata[search->at],
                            .state = "queued" };
      if (!search->reads_inbox && row != NULL)
        found.state = cell_record_state (row->value, row->length);
      else if (row != NULL)
        found.inbox_version = row->version;
      if (row != NULL && found.state != NULL)
        {
          finish (search, &found);
          return;
        }
      search->at += search->reads_inbox;
      search->reads_inbox = !search->reads_inbox || !search->wants_state;
    }
  look_on (search);
}

void
node_find_job (node_t *node, node_cell_t *first, const char *id,
               bool wants_state, node_found_t done, void *context)
{
  search_t *search = g_new0 (search_t, 1);
  *search = (search_t){ .node = node,
                        .id = g_strdup (id),
                        .cells = g_ptr_array_new (),
                        .wants_state = wants_state,
                        .reads_inbox = !wants_state,
                        .via_peer = node_store_unreachable (node),
                        .done = done,
                        .context = context };
  g_ptr_array_add (search->cells, first);
  look_on (search);
}

static void list_cells (node_t *node, const char *after);

static void
on_cells_listed (void *context, const store_reply_t *reply)
{
  node_t *node = context;
  node->list_in_flight = false;
  node->next_list_ms = node_now (node) + LIST_RETRY_MS;
  if (reply->result != STORE_OK && reply->result != STORE_INVALID)
    return;
  /* A store without that call tells of no cells.  */
  if (reply->result == STORE_INVALID)
    log_event (LOG_WARN, "cells_unlisted", "table", FENCE_TABLE, NULL);
  for (uint32_t i = 0; i < reply->count; i++)
    if (reply->rows[i].key[0] != '\0')
      node_get_cell (node, reply->rows[i].key);
  node->cells_listed = !reply->more || reply->count == 0;
  if (!node->cells_listed)
    list_cells (node, reply->rows[reply->count - 1].key);
}

static void
list_cells (node_t *node, const char *after)
{
  node->list_in_flight = true;
  node->platform->ops->parts (node->platform, FENCE_TABLE, after,
                              LIST_TIMEOUT_MS, on_cells_listed, node);
}

void
node_list_cells_if_due (node_t *node)
{
  if (!node->cells_listed && !node->list_in_flight
      && node_now (node) >= node->next_list_ms)
    list_cells (node, NULL);
}
