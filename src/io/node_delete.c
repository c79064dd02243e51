#include "node_internal.h"

#include "log.h"

/* NAME
     node_delete - removes the rows of jobs that ended long ago

   The inbox rows and the home are removed first and the record with a later
   commit: a job without a record would be run again.  Rows that remain are
   removed by the next owner.  */

#define DELETE_TIMEOUT_MS 2000

typedef struct
{
  node_cell_t *cell;
  uint32_t epoch;
  char *id;
} delete_call_t;

static void
on_removed (void *context, const store_reply_t *reply)
{
  delete_call_t *call = context;
  if (reply->result != STORE_OK)
    log_event (LOG_WARN, "forget_failed", "id", call->id, "cell",
               call->cell->name, NULL);
  else if (call->epoch == call->cell->epoch)
    g_ptr_array_add (call->cell->expired_ids, g_steal_pointer (&call->id));
  g_free (call->id);
  g_free (call);
}

void
node_delete_job (void *context, const char *id)
{
  node_cell_t *cell = context;
  platform_api_t *platform = cell->node->platform;
  char part[INBOX_PART_NAME_BYTES];
  char *cancel = g_strconcat (id, CANCEL_SUFFIX, NULL);
  node_inbox_part (id, part);
  store_row_t writes[] = { { cell->inbox_table, part, id, 0, NULL, 0 },
                           { cell->inbox_table, part, cancel, 0, NULL, 0 },
                           { HOME_TABLE, part, id, 0, NULL, 0 } };
  delete_call_t *call = g_new (delete_call_t, 1);
  *call = (delete_call_t){ cell, cell->epoch, g_strdup (id) };
  platform->ops->commit (platform, NULL, 0, writes, G_N_ELEMENTS (writes),
                         DELETE_TIMEOUT_MS, on_removed, call);
  g_free (cancel);
}
