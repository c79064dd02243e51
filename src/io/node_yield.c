#include "node_internal.h"

#include "log.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* NAME
     node_yield - moves a cell to another node

   After a loss of the nodes with the most processor time, or while they start,
   another node may claim a cell for which it has too little.  It offers the
   cell to a node that has more, and releases it only once that node has
   agreed, so that the cell is claimed at once.  A node that stops offers its
   cells too, and releases them in any case.  */

/* A node with at least this many times the processor time is offered the cell.
   A smaller gain is not worth a transfer, during which no run is started for
   about half a second.  */
#define MIN_CPU_FACTOR 2
/* Time between offers; the first is made as soon as the cell is owned.  */
#define OFFER_PERIOD_MS 1000
#define OFFER_TIMEOUT_MS 500
/* The same for a node that stops, which waits for the answer; and how long it
   makes offers.  */
#define LAST_OFFER_TIMEOUT_MS 150
#define LAST_OFFERS_MS 400
/* A node that did not answer or declined gets no offer for this long.  */
#define DECLINED_PAUSE_MS 3000
/* How long an agreement holds: time for a commit and some answers about the
   heartbeats.  */
#define AGREEMENT_MS 3000

typedef struct
{
  node_cell_t *cell;
  uint32_t epoch;
  char *peer;
} offer_call_t;

node_member_t *
node_yield_choose (const node_t *node)
{
  int64_t now_ms = node_now (node);
  node_member_t *best = NULL;
  for (guint i = 0; i < node->members->len; i++)
    {
      node_member_t *other = node->members->pdata[i];
      if (other->cpu_millis
              < MIN_CPU_FACTOR * node->platform->settings.cpu_millis
          || other->avoid_until_ms > now_ms || other->next_offer_ms > now_ms)
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
  node_member_t *peer = node_member_find (node, call->peer);
  if (!agreed && peer != NULL)
    peer->next_offer_ms = node_now (node) + DECLINED_PAUSE_MS;
  log_event (LOG_INFO, "cell_offered", "cell", cell->name, "node", call->peer,
             "agreed", agreed ? "1" : "0", NULL);
  if (call->epoch == cell->epoch && cell->state == CELL_OWNED)
    {
      if (agreed)
        node_release (cell);
      else if (node->stopping)
        node_yield_and_release (cell);
    }
  g_free (call->peer);
  g_free (call);
}

static void
offer (node_cell_t *cell, const node_member_t *peer, int64_t timeout_ms)
{
  node_t *node = cell->node;
  offer_call_t *call = g_new (offer_call_t, 1);
  *call = (offer_call_t){ cell, cell->epoch, g_strdup (peer->name) };
  json_t *body = json_pack ("{s:s}", "cell", cell->name);
  char *text = json_dumps (body, JSON_COMPACT);
  char *url = g_strdup_printf ("http://%s/peer/offer", peer->address);
  httpc_call (node->peer_client, "POST", url, text, timeout_ms, on_offered,
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
  if (cell->state != CELL_OWNED || now_ms < cell->next_offer_ms)
    return;
  cell->next_offer_ms = now_ms + OFFER_PERIOD_MS;
  const node_member_t *peer = node_yield_choose (node);
  if (peer != NULL)
    offer (cell, peer, OFFER_TIMEOUT_MS);
}

static bool
owns_a_cell (const node_t *node, const char *name)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (g_strcmp0 (((node_cell_t *)value)->owner, name) == 0)
      return true;
  return false;
}

node_member_t *
node_yield_choose_successor (const node_t *node)
{
  int64_t now_ms = node_now (node);
  node_member_t *best = NULL;
  for (guint i = 0; i < node->members->len; i++)
    {
      node_member_t *other = node->members->pdata[i];
      if (other->avoid_until_ms > now_ms || other->next_offer_ms > now_ms
          || strcmp (other->name, node->platform->settings.name) == 0
          || owns_a_cell (node, other->name))
        continue;
      if (best == NULL || other->cpu_millis > best->cpu_millis)
        best = other;
    }
  return best;
}

void
node_yield_and_release (node_cell_t *cell)
{
  const node_t *node = cell->node;
  const node_member_t *peer = node_yield_choose_successor (node);
  bool in_time = node_now (node) - node->stopping_since_ms < LAST_OFFERS_MS;
  if (cell->state == CELL_OWNED && peer != NULL && in_time)
    offer (cell, peer, LAST_OFFER_TIMEOUT_MS);
  else
    node_release (cell);
}

/* Whether this node has agreed to take a cell and may still claim it.  */
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
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  const char *name = json_string_value (json_object_get (body, "cell"));
  node_cell_t *cell
      = name != NULL ? g_hash_table_lookup (node->cells, name) : NULL;
  if (cell == NULL || cell->state != CELL_IDLE || node->stopping
      || !node->registered || node_store_unreachable (node)
      || node_cells_held (node) > 0 || has_agreed (node))
    httpd_answer_error (exchange, ERR_CONFLICT, "cannot take the cell");
  else
    {
      cell->agreed_until_ms = node_now (node) + AGREEMENT_MS;
      httpd_answer (exchange, 200, "application/json", "{}", strlen ("{}"));
    }
  json_decref (body);
}
