#include "node_int.h"

#include "log.h"

#include <jansson.h>
#include <string.h>

/* NAME
     node_commit - the owner's writes

   Every commit expects the fence row as this owner left it and numbers it
   anew, so that a deposed owner writes nothing, and a commit whose answer was
   lost is recognised when it is repeated.  One commit at a time.  */

/* Time between two beats.  Other nodes take an owner for lost after several.
 */
#define BEAT_MS 200
#define COMMIT_RETRY_S 0.03
/* A longer wait for a lost answer would let other nodes miss the beat.  */
#define COMMIT_MOST_MS 1000
#define MOST_WRITES 100
/* Records of forgotten jobs that a commit removes beside up to 90 others.  */
#define MOST_REMOVALS 7

typedef struct
{
  node_cell_t *cell;
  uint32_t epoch;
  uint32_t attempt;
  int64_t sent_ms;
  int64_t limit_ms;
} commit_call_t;

static void
append_pending (void *context, const char *queue, uint32_t pending)
{
  json_object_set_new (context, queue, json_integer (pending));
}

static void
append_known (void *queue, void *count, void *pending)
{
  append_pending (pending, queue, GPOINTER_TO_UINT (count));
}

char *
node_beat_text (const node_cell_t *cell, const char *owner)
{
  json_t *pending = json_object ();
  /* Until the jobs are loaded, what the previous owner told holds.  */
  if (cell->state == CELL_OWNED || cell->state == CELL_RELEASING)
    cell_each_pending (cell->cell, append_pending, pending);
  else
    g_hash_table_foreach (cell->pending, append_known, pending);
  json_t *object = json_pack (
      "{s:s, s:s, s:I, s:I, s:o}", "owner", owner, "incarnation",
      cell->node->incarnation, "token", (json_int_t)cell->token, "number",
      (json_int_t)cell->save_number, "pending", pending);
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

static void send_commit (node_cell_t *cell);

static void
finish_commit (node_cell_t *cell, uint64_t version)
{
  node_t *node = cell->node;
  cell->fence_version = version;
  if (cell->commit_releases)
    {
      node_cell_stand_down (cell, "released");
      return;
    }
  if (cell->cell != NULL)
    cell_confirmed (cell->cell, node_now (node));
  if (cell->commit_removes > 0)
    g_ptr_array_remove_range (cell->forgotten, 0, cell->commit_removes);
  cell->commit_removes = 0;
  if (cell->commit_saves)
    {
      cell->commit_saves = false;
      cell->save_wanted = false;
      g_ptr_array_set_size (cell->unsaved, 0);
      cell_saved (cell->cell);
      node->input = true;
    }
  node_commit (cell);
}

/* Reads the fence row that a refused commit has met.  */
static void
settle_conflict (node_cell_t *cell, const site_rows_t *reply)
{
  for (uint32_t i = 0; i < reply->count; i++)
    {
      const site_row_t *row = &reply->rows[i];
      if (strcmp (row->key, FENCE_KEY) != 0 || row->value == NULL)
        continue;
      uint64_t number;
      if (!node_fence_is_mine (cell, row->value, row->length, &number))
        break;
      if (number == cell->save_number)
        {
          finish_commit (cell, row->version);
          return;
        }
      /* The previous commit's answer named a newer version than its own.  */
      cell->fence_version = row->version;
      send_commit (cell);
      return;
    }
  node_cell_stand_down (cell, "deposed");
}

static void
on_committed (void *context, const site_rows_t *reply)
{
  commit_call_t *call = context;
  node_cell_t *cell = call->cell;
  /* An answer to an earlier sending says nothing of a later commit.  */
  bool current = call->epoch == cell->epoch && cell->commit_open
                 && call->attempt == cell->commit_attempt;
  patience_t *patience = &cell->node->patience;
  int64_t took_ms = node_now (cell->node) - call->sent_ms;
  node_observe (cell->node, "magnoliadock_commit_us", took_ms);
  if (reply->result == STORE_OK || reply->result == STORE_CONFLICT)
    patience_answered (patience, took_ms);
  else if (reply->result == STORE_UNKNOWN)
    patience_missed (patience, call->limit_ms);
  g_free (call);
  if (!current)
    return;
  cell->commit_open = false;
  switch (reply->result)
    {
    case STORE_OK:
      finish_commit (cell, reply->version);
      return;
    case STORE_CONFLICT:
      settle_conflict (cell, reply);
      return;
    default:
      node_count (cell->node, "magnoliadock_commit_retries_total", NULL);
      ev_timer_set (&cell->retry, COMMIT_RETRY_S, 0.0);
      ev_timer_start (cell->node->loop, &cell->retry);
    }
}

static void
send_commit (node_cell_t *cell)
{
  node_t *node = cell->node;
  const char *owner = cell->commit_releases ? "" : node->site->settings.name;
  site_row_t expect
      = { FENCE_TABLE, cell->name, FENCE_KEY, cell->fence_version, NULL, 0 };
  site_row_t writes[MOST_WRITES];
  uint32_t count = 0;
  char *fence = node_fence_text (cell, owner);
  char *beat = cell->commit_beats ? node_beat_text (cell, owner) : NULL;
  writes[count++] = (site_row_t){ FENCE_TABLE, cell->name, FENCE_KEY,
                                  0,           fence,      strlen (fence) };
  if (beat != NULL)
    writes[count++] = (site_row_t){ CLUSTER_TABLE, cell->name,   BEAT_KEY, 0,
                                    beat,          strlen (beat) };
  for (guint i = 0; i < cell->commit_removes; i++)
    writes[count++]
        = (site_row_t){ RECORD_TABLE, cell->name, cell->forgotten->pdata[i], 0,
                        NULL,         0 };
  for (guint i = 0; cell->commit_saves && i < cell->unsaved->len; i++)
    {
      const stored_record_t *record = cell->unsaved->pdata[i];
      writes[count++]
          = (site_row_t){ RECORD_TABLE, cell->name,    record->id, 0,
                          record->text, record->length };
    }
  commit_call_t *call = g_new (commit_call_t, 1);
  *call = (commit_call_t){ cell, cell->epoch, ++cell->commit_attempt,
                           node_now (node),
                           MIN (node->patience.limit_ms, COMMIT_MOST_MS) };
  cell->commit_open = true;
  node->site->ops->commit (node->site, &expect, 1, writes, count,
                           call->limit_ms, on_committed, call);
  g_free (fence);
  free (beat);
}

void
node_commit_retry (struct ev_loop *loop, ev_timer *watcher, int events)
{
  send_commit (watcher->data);
}

void
node_commit (node_cell_t *cell)
{
  /* A timer that has just expired is pending, and no longer active, until it
     is its turn.  */
  if (cell->commit_open || ev_is_active (&cell->retry)
      || ev_is_pending (&cell->retry)
      || (cell->state != CELL_LOADING && cell->state != CELL_OWNED
          && cell->state != CELL_RELEASING))
    return;
  int64_t now_ms = node_now (cell->node);
  bool beat_due = now_ms - cell->last_beat_ms >= BEAT_MS
                  || cell->state == CELL_RELEASING;
  if (!cell->save_wanted && !beat_due)
    return;
  /* A commit is repeated as it is until its outcome is known.  */
  cell->commit_saves = cell->save_wanted;
  cell->commit_beats = beat_due;
  cell->commit_removes = MIN (cell->forgotten->len, MOST_REMOVALS);
  cell->commit_releases = cell->state == CELL_RELEASING && !cell->save_wanted;
  if (beat_due)
    cell->last_beat_ms = now_ms;
  cell->save_number++;
  send_commit (cell);
}

void
node_release (node_cell_t *cell)
{
  /* A cell that is still loading is left to the claim of another node.  */
  if (cell->state != CELL_OWNED)
    {
      if (cell->state != CELL_IDLE)
        node_cell_stand_down (cell, "stopping");
      return;
    }
  log_event (LOG_INFO, "cell_releasing", "cell", cell->name, NULL);
  cell->state = CELL_RELEASING;
  node_commit (cell);
}
