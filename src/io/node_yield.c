#include "node_int.h"

#include "log.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* NAME
     node_yield - an owner on a weak node gives its cell to a stronger one

   After a loss of the strong nodes, or while they start, a weak node may claim
   a cell that it cannot drive.  It offers the cell to one that has more
   processor time, and gives it back only once that one has agreed, so that the
   cell is claimed at once.  */

/* A node that has this many times the processor time is offered the cell: a
   transfer costs about half a second without starts.  */
#define STRONGER_FACTOR 2
/* Time between two offers; the first one follows as the cell is owned.  */
#define OFFER_GAP_MS 1000
#define OFFER_LIMIT_MS 500
/* A node that does not answer or does not agree is left out for this long.  */
#define OFFER_AGAIN_MS 3000
/* How long an agreement holds: a commit and some answers about the beats.  */
#define AGREED_MS 3000

typedef struct
{
  node_cell_t *cell;
  uint32_t epoch;
  char *peer;
} offer_call_t;

adviser_t *
node_yield_choose (const node_t *node)
{
  int64_t now_ms = node_now (node);
  adviser_t *best = NULL;
  for (guint i = 0; i < node->advisers->len; i++)
    {
      adviser_t *other = node->advisers->pdata[i];
      if (other->cpu_millis < STRONGER_FACTOR * node->site->settings.cpu_millis
          || other->bad_until_ms > now_ms || other->offer_after_ms > now_ms)
        continue;
      if (best == NULL || other->cpu_millis > best->cpu_millis)
        best = other;
    }
  return best;
}

static void
on_offered (void *context, const httpc_result_t *result)
{
  offer_call_t *call = context;
  node_cell_t *cell = call->cell;
  node_t *node = cell->node;
  bool agreed = result->kind == ERR_OK && result->status == 200;
  adviser_t *peer = node_adviser_find (node, call->peer);
  if (!agreed && peer != NULL)
    peer->offer_after_ms = node_now (node) + OFFER_AGAIN_MS;
  log_event (LOG_INFO, "cell_offered", "cell", cell->name, "node", call->peer,
             "agreed", agreed ? "1" : "0", NULL);
  if (agreed && call->epoch == cell->epoch && cell->state == CELL_OWNED)
    node_release (cell);
  g_free (call->peer);
  g_free (call);
}

static void
offer (node_cell_t *cell, const adviser_t *peer)
{
  node_t *node = cell->node;
  offer_call_t *call = g_new (offer_call_t, 1);
  *call = (offer_call_t){ cell, cell->epoch, g_strdup (peer->name) };
  json_t *body = json_pack ("{s:s}", "cell", cell->name);
  char *text = json_dumps (body, JSON_COMPACT);
  char *url = g_strdup_printf ("http://%s/peer/offer", peer->address);
  httpc_call (node->peers, "POST", url, text, OFFER_LIMIT_MS, on_offered,
              call);
  g_free (url);
  free (text);
  json_decref (body);
}

void
node_yield_check (node_cell_t *cell)
{
  node_t *node = cell->node;
  int64_t now_ms = node_now (node);
  if (cell->state != CELL_OWNED || now_ms < cell->offer_after_ms)
    return;
  cell->offer_after_ms = now_ms + OFFER_GAP_MS;
  const adviser_t *peer = node_yield_choose (node);
  if (peer != NULL)
    offer (cell, peer);
}

/* Whether this node has agreed to take a cell lately.  */
static bool
has_agreed (const node_t *node)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (((node_cell_t *)value)->agreed_until_ms > node_now (node))
      return true;
  return false;
}

void
node_yield_serve (void *context, httpd_exchange_t *exchange,
                  const httpd_request_t *request)
{
  node_t *node = context;
  json_t *body = json_loadb (request->body, request->length, 0, NULL);
  const char *name = json_string_value (json_object_get (body, "cell"));
  node_cell_t *cell
      = name != NULL ? g_hash_table_lookup (node->cells, name) : NULL;
  if (cell == NULL || cell->state != CELL_IDLE || node->stopping
      || !node->enrolled || node_store_lost (node)
      || node_cells_held (node) > 0 || has_agreed (node))
    httpd_answer_error (exchange, ERR_CONFLICT, "cannot take the cell");
  else
    {
      cell->agreed_until_ms = node_now (node) + AGREED_MS;
      httpd_answer (exchange, 200, "application/json", "{}", strlen ("{}"));
    }
  json_decref (body);
}
