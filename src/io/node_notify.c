#include "node_internal.h"

#include <jansson.h>
#include <string.h>

/* NAME
     node_notify - tells the owner of a cell about a stored job or cancel, and
     asks it about one

   The owner follows the inbox, but the store may report changes late: it may
   be slow, or its followers may hear nothing for a second.  So the node that
   has stored a row also sends it to the owner.  A notification that is lost,
   or reaches a node that is not the owner, has no effect: the owner finds the
   row in the inbox.  */

#define NOTIFY_TIMEOUT_MS 500
#define ASK_TIMEOUT_MS 250
/* Questions of this node that wait for an answer: while the store is slow,
   hundreds of writes wait, and the owner has other things to do.  */
#define MAX_QUESTIONS 16u

/* Returns the node that owns CELL, NULL if that is not known or this one.  */
static const node_member_t *
owner_of (const node_cell_t *cell)
{
  const node_t *node = cell->node;
  const node_member_t *owner
      = cell->owner != NULL ? node_member_find (node, cell->owner) : NULL;
  if (owner == NULL || strcmp (owner->name, node->platform->settings.name) == 0
      || owner->avoid_until_ms > node_now (node))
    return NULL;
  return owner;
}

static void
on_notified (void *context, const httpc_result_t *result)
{
  /* The inbox holds the row in any case.  */
}

void
node_notify_owner (node_cell_t *cell, const char *key, const char *value)
{
  node_t *node = cell->node;
  if (cell->state == CELL_OWNED)
    {
      node_cell_add_row (cell, key, value, strlen (value));
      return;
    }
  const node_member_t *owner = owner_of (cell);
  if (owner == NULL)
    return;
  json_t *body = json_pack ("{s:s, s:s, s:s}", "cell", cell->name, "key", key,
                            "value", value);
  char *text = body != NULL ? json_dumps (body, JSON_COMPACT) : NULL;
  json_decref (body);
  if (text == NULL)
    return;
  char *url = g_strdup_printf ("http://%s/peer/notify", owner->address);
  httpc_call (node->peer_client, "POST", url, text, NOTIFY_TIMEOUT_MS,
              on_notified, NULL);
  g_free (url);
  free (text);
}

void
node_notify_serve (void *context, httpd_exchange_t *exchange,
                   const httpd_request_t *request)
{
  node_t *node = context;
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  const char *name = json_string_value (json_object_get (body, "cell"));
  const char *key = json_string_value (json_object_get (body, "key"));
  json_t *value = json_object_get (body, "value");
  node_cell_t *cell
      = name != NULL ? g_hash_table_lookup (node->cells, name) : NULL;
  if (key == NULL || !json_is_string (value))
    httpd_answer_error (exchange, ERR_BAD_REQUEST, "expected key and value");
  else if (cell == NULL || cell->state != CELL_OWNED)
    httpd_answer_error (exchange, ERR_CONFLICT, "not the owner of the cell");
  else
    {
      node_cell_add_row (cell, key, json_string_value (value),
                         json_string_length (value));
      httpd_answer (exchange, 200, "application/json", "{}", strlen ("{}"));
    }
  json_decref (body);
}

typedef struct
{
  node_t *node;
  node_asked_t done;
  void *context;
} ask_call_t;

static void
on_answered (void *context, const httpc_result_t *result)
{
  ask_call_t *call = context;
  call->node->questions--;
  call->done (call->context, result->kind == ERR_OK && result->status == 200);
  g_free (call);
}

/* Whether this node owns CELL and has read the job ID from the inbox.  */
static bool
has_job (const node_cell_t *cell, const char *id)
{
  return cell->state == CELL_OWNED && cell_state (cell->scheduler, id) != NULL;
}

void
node_ask_owner (node_cell_t *cell, const char *id, node_asked_t done,
                void *context)
{
  node_t *node = cell->node;
  const node_member_t *owner = owner_of (cell);
  if (cell->state == CELL_OWNED || owner == NULL)
    {
      done (context, has_job (cell, id));
      return;
    }
  if (node->questions >= MAX_QUESTIONS)
    {
      done (context, false);
      return;
    }
  node->questions++;
  ask_call_t *call = g_new (ask_call_t, 1);
  *call = (ask_call_t){ node, done, context };
  char *url = g_strdup_printf ("http://%s/peer/job/%s/%s", owner->address,
                               cell->name, id);
  httpc_call (node->peer_client, "GET", url, NULL, ASK_TIMEOUT_MS, on_answered,
              call);
  g_free (url);
}

void
node_ask_serve (void *context, httpd_exchange_t *exchange,
                const httpd_request_t *request)
{
  node_t *node = context;
  char **parts = g_strsplit (request->rest, "/", 2);
  const node_cell_t *cell
      = parts[0] != NULL ? g_hash_table_lookup (node->cells, parts[0]) : NULL;
  if (cell != NULL && parts[1] != NULL && has_job (cell, parts[1]))
    httpd_answer (exchange, 200, "application/json", "{}", strlen ("{}"));
  else
    httpd_answer_error (exchange, ERR_NOT_FOUND, "no such job");
  g_strfreev (parts);
}
