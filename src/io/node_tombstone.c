#include "node_internal.h"

#include <string.h>

/* NAME
     node_tombstone - ids that were cancelled while there was no such job

   The answer that there is no such job promises that the id does not run
   later either, although its submission may be under way, or be carried out
   late by the store.  So the cancel leaves a tombstone, which submissions
   expect to be absent: one that finds it is stored as a cancelled job, and
   removes it.

   The other tombstones are removed by the owner of the first cell once they
   are as old as the records of ended jobs when these are removed.  Their age
   is known from the store's versions: a row that was seen in a sweep is older
   than the time since.  */

#define SWEEP_TIMEOUT_MS 2000
/* Beyond the retention of ended jobs.  */
#define SWEEP_MARGIN_MS 30000
/* A transaction holds at most 100 entries; each row takes two.  */
#define REMOVED_AT_ONCE 45u
/* Tombstones that one node writes in a period, so that a caller who cancels
   ids that never existed does not fill the store.  */
#define MAX_TOMBSTONES 1000u

static int64_t
sweep_period_ms (const node_t *node)
{
  return node->platform->settings.cells.retention_ms + SWEEP_MARGIN_MS;
}

bool
node_take_tombstone (node_t *node)
{
  int64_t now_ms = node_now (node);
  if (node->tombstones == 0
      || now_ms - node->tombstones_since_ms >= sweep_period_ms (node))
    {
      node->tombstones_since_ms = now_ms;
      node->tombstones = 0;
    }
  if (node->tombstones >= MAX_TOMBSTONES)
    return false;
  node->tombstones++;
  node_counter_increment (node, "magnoliadock_tombstones_total", NULL);
  return true;
}

static void read_page (node_t *node);

/* COMPLETE: all rows were seen.  */
static void
end_sweep (node_t *node, bool complete)
{
  tombstone_sweep_t *sweep = &node->sweep;
  g_clear_pointer (&sweep->parts, g_ptr_array_unref);
  g_clear_pointer (&sweep->from, g_free);
  sweep->next_ms = node_now (node) + sweep_period_ms (node);
  if (complete)
    sweep->old_version = sweep->seen_version;
}

/* Rows that were not removed, perhaps since one of them has changed, are left
   for the next sweep.  */
static void
on_removed (void *context, const store_reply_t *reply)
{
  if (reply->result == STORE_OK)
    read_page (context);
  else
    end_sweep (context, false);
}

/* Goes on behind the page in REPLY.  */
static void
read_next_page (node_t *node, const store_reply_t *reply)
{
  tombstone_sweep_t *sweep = &node->sweep;
  g_clear_pointer (&sweep->from, g_free);
  if (reply->more && reply->count > 0)
    sweep->from
        = g_strconcat (reply->rows[reply->count - 1].key, "\x01", NULL);
  else
    g_ptr_array_remove_index (sweep->parts, 0);
  read_page (node);
}

static void
on_page_read (void *context, const store_reply_t *reply)
{
  node_t *node = context;
  tombstone_sweep_t *sweep = &node->sweep;
  store_row_t expect[REMOVED_AT_ONCE];
  store_row_t writes[REMOVED_AT_ONCE];
  uint32_t count = 0;
  if (reply->result != STORE_OK)
    {
      end_sweep (node, false);
      return;
    }
  for (uint32_t i = 0; i < reply->count; i++)
    {
      const store_row_t *row = &reply->rows[i];
      sweep->seen_version = MAX (sweep->seen_version, row->version);
      if (row->version > sweep->old_version || count >= REMOVED_AT_ONCE)
        continue;
      expect[count] = writes[count] = *row;
      writes[count].value = NULL;
      writes[count++].length = 0;
    }
  if (count == 0)
    read_next_page (node, reply);
  else
    node->platform->ops->commit (node->platform, expect, count, writes, count,
                                 SWEEP_TIMEOUT_MS, on_removed, node);
}

/* Reads a page of the rows of the next part, or ends the sweep.  */
static void
read_page (node_t *node)
{
  const tombstone_sweep_t *sweep = &node->sweep;
  if (sweep->parts->len == 0)
    end_sweep (node, true);
  else
    node->platform->ops->read (node->platform, TOMBSTONE_TABLE,
                               sweep->parts->pdata[0], sweep->from, NULL,
                               SWEEP_TIMEOUT_MS, on_page_read, node);
}

static void
on_parts_listed (void *context, const store_reply_t *reply)
{
  node_t *node = context;
  if (reply->result != STORE_OK)
    {
      end_sweep (node, false);
      return;
    }
  for (uint32_t i = 0; i < reply->count; i++)
    g_ptr_array_add (node->sweep.parts, g_strdup (reply->rows[i].key));
  read_page (node);
}

/* Whether this node owns the first of the cells that it knows.  */
static bool
owns_first_cell (const node_t *node)
{
  const node_cell_t *first = NULL;
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const node_cell_t *cell = value;
      if (first == NULL || strcmp (cell->name, first->name) < 0)
        first = cell;
    }
  return first != NULL && first->state == CELL_OWNED;
}

void
node_sweep_tombstones_if_due (node_t *node)
{
  tombstone_sweep_t *sweep = &node->sweep;
  if (sweep->parts != NULL || node_now (node) < sweep->next_ms
      || !owns_first_cell (node))
    return;
  sweep->parts = g_ptr_array_new_with_free_func (g_free);
  node->platform->ops->parts (node->platform, TOMBSTONE_TABLE, NULL,
                              SWEEP_TIMEOUT_MS, on_parts_listed, node);
}
