#include "node_int.h"

#include "log.h"

#include <jansson.h>
#include <string.h>

/* NAME
     node_advice - calls for advice, spread over the nodes

   The platform serves one call at a time for each calling node, so an owner
   lets other nodes call too.  Short calls have nodes of their own: behind a
   long one they would miss their objective.  */

/* Calls that take less are short.  */
#define SHORT_CALL_MS 60.0
/* Share of the nodes kept for short calls: one in this many.  */
#define SHORT_NODE_SHARE 3
/* Calls in flight to one node, so that a later and more urgent one need not
   wait behind many.  */
#define SHORT_CALLS 3
#define LONG_CALLS 1
/* A node whose call failed is left out for this long.  */
#define BAD_MS 1000
/* Longest time, reached by doubling.  */
#define BAD_MOST_MS 8000
/* Limit of a call: this many times its duration, and more for the way.  */
#define LIMIT_FACTOR 3.0
#define LIMIT_SLACK_MS 350

typedef struct
{
  node_cell_t *cell;
  uint32_t epoch;
  char *step;
  uint32_t number;
  char *adviser;
} advice_call_t;

void
node_adviser_free (void *data)
{
  adviser_t *adviser = data;
  g_free (adviser->name);
  g_free (adviser->address);
  g_free (adviser);
}

adviser_t *
node_adviser_find (const node_t *node, const char *name)
{
  for (guint i = 0; i < node->advisers->len; i++)
    {
      adviser_t *adviser = node->advisers->pdata[i];
      if (strcmp (adviser->name, name) == 0)
        return adviser;
    }
  return NULL;
}

static gint
compare_advisers (gconstpointer a, gconstpointer b)
{
  const adviser_t *left = *(adviser_t *const *)a;
  const adviser_t *right = *(adviser_t *const *)b;
  return strcmp (left->name, right->name);
}

void
node_adviser_set (node_t *node, const char *name, const char *address,
                  int64_t cpu_millis)
{
  adviser_t *adviser = node_adviser_find (node, name);
  if (adviser == NULL)
    {
      adviser = g_new0 (adviser_t, 1);
      adviser->name = g_strdup (name);
      g_ptr_array_add (node->advisers, adviser);
      g_ptr_array_sort (node->advisers, compare_advisers);
    }
  g_free (adviser->address);
  adviser->address = g_strdup (address);
  adviser->cpu_millis = cpu_millis;
  adviser->bad_until_ms = 0;
}

void
node_adviser_remove (node_t *node, const char *name)
{
  adviser_t *adviser = node_adviser_find (node, name);
  if (adviser != NULL)
    g_ptr_array_remove (node->advisers, adviser);
}

void
node_adviser_failed (node_t *node, const char *name, int64_t for_ms)
{
  adviser_t *adviser = node_adviser_find (node, name);
  if (adviser != NULL)
    adviser->bad_until_ms = node_now (node) + for_ms;
}

const char *
node_adviser_pick (node_t *node, const char **address)
{
  int64_t now_ms = node_now (node);
  for (guint i = 0; i < node->advisers->len; i++)
    {
      const adviser_t *adviser
          = node->advisers->pdata[node->next_peer++ % node->advisers->len];
      if (adviser->bad_until_ms > now_ms
          || strcmp (adviser->name, node->site->settings.name) == 0)
        continue;
      *address = adviser->address;
      return adviser->name;
    }
  return NULL;
}

static void
finish_call (advice_call_t *call, bool ok, const advice_row_t *rows,
             uint32_t count, int64_t valid_ms)
{
  node_cell_t *cell = call->cell;
  node_t *node = cell->node;
  adviser_t *adviser = node_adviser_find (node, call->adviser);
  if (adviser != NULL)
    {
      adviser->calls -= adviser->calls > 0;
      if (ok)
        adviser->failures = 0;
      else if (adviser->bad_until_ms <= node_now (node))
        /* Several calls that fail together count once.  */
        {
          int64_t bad_ms = BAD_MS << MIN (adviser->failures, 3u);
          adviser->failures++;
          node_adviser_failed (node, call->adviser, MIN (bad_ms, BAD_MOST_MS));
        }
    }
  if (!ok)
    log_event (LOG_WARN, "advice_failed", "subject", call->step, "node",
               call->adviser, NULL);
  if (call->epoch == cell->epoch && cell->cell != NULL)
    {
      cell_advised (cell->cell, call->step, call->number, ok, rows, count,
                    valid_ms);
      node->input = true;
    }
  g_free (call->step);
  g_free (call->adviser);
  g_free (call);
}

static void
on_advised (void *context, bool ok, const advice_row_t *rows, uint32_t count,
            int64_t valid_ms)
{
  finish_call (context, ok, rows, count, valid_ms);
}

static void
on_peer_advised (void *context, const httpc_result_t *result)
{
  json_t *reply = NULL;
  GArray *rows = g_array_new (FALSE, FALSE, sizeof (advice_row_t));
  if (result->kind == ERR_OK && result->status == 200)
    reply = json_loadb (result->body, result->length, 0, NULL);
  json_t *good = json_object_get (reply, "rows");
  for (size_t i = 0; i < json_array_size (good); i++)
    {
      json_t *pair = json_array_get (good, i);
      advice_row_t row = { json_string_value (json_array_get (pair, 0)),
                           json_string_value (json_array_get (pair, 1)) };
      if (row.worker != NULL && row.ticket != NULL)
        g_array_append_val (rows, row);
    }
  finish_call (context, reply != NULL, (advice_row_t *)(void *)rows->data,
               rows->len,
               json_integer_value (json_object_get (reply, "valid_ms")));
  g_array_unref (rows);
  json_decref (reply);
}

/* Whether the node at AT is one of those kept for short calls.  Names are
   sorted, and those of a zone stand together: a stride takes some of each.  */
static bool
takes_short (guint at)
{
  return at % SHORT_NODE_SHARE == 0;
}

/* What a search for a node looks at.  */
typedef enum
{
  OF_ITS_KIND, /* that answer, and are kept for calls of this length */
  SOUND,       /* that answer */
  ANY
} adviser_set_t;

static bool
in_set (const node_t *node, guint at, bool is_short, adviser_set_t set)
{
  const adviser_t *adviser = node->advisers->pdata[at];
  if (set != ANY && adviser->bad_until_ms > node_now (node))
    return false;
  return set != OF_ITS_KIND || node->advisers->len == 1
         || takes_short (at) == is_short;
}

static adviser_t *
least_busy (const node_t *node, bool is_short, adviser_set_t set, bool *empty)
{
  uint32_t limit = is_short ? SHORT_CALLS : LONG_CALLS;
  adviser_t *best = NULL;
  *empty = true;
  for (guint i = 0; i < node->advisers->len; i++)
    {
      adviser_t *adviser = node->advisers->pdata[i];
      if (!in_set (node, i, is_short, set))
        continue;
      *empty = false;
      if (adviser->calls < limit
          && (best == NULL || adviser->calls < best->calls))
        best = adviser;
    }
  return best;
}

adviser_t *
node_adviser_choose (const node_t *node, bool is_short)
{
  bool empty;
  adviser_t *best = least_busy (node, is_short, OF_ITS_KIND, &empty);
  /* None of its own answers: any other, and if none does, each is tried.  */
  if (empty)
    best = least_busy (node, is_short, SOUND, &empty);
  if (empty)
    best = least_busy (node, is_short, ANY, &empty);
  return best;
}

static char *
call_text (const char *step, const char *const *workers, uint32_t count,
           int64_t limit_ms)
{
  json_t *names = json_array ();
  for (uint32_t i = 0; i < count; i++)
    json_array_append_new (names, json_string (workers[i]));
  json_t *object = json_pack ("{s:s, s:I, s:o}", "step", step, "limit_ms",
                              (json_int_t)limit_ms, "workers", names);
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

bool
node_advise (void *context, const char *step, uint32_t number,
             const char *const *workers, uint32_t count, double expected_ms)
{
  node_cell_t *cell = context;
  node_t *node = cell->node;
  adviser_t *adviser = node_adviser_choose (node, expected_ms < SHORT_CALL_MS);
  if (adviser == NULL)
    return false;
  int64_t limit_ms = (int64_t)(expected_ms * LIMIT_FACTOR) + LIMIT_SLACK_MS;
  advice_call_t *call = g_new (advice_call_t, 1);
  *call = (advice_call_t){ cell, cell->epoch, g_strdup (step), number,
                           g_strdup (adviser->name) };
  adviser->calls++;
  if (strcmp (adviser->name, node->site->settings.name) == 0)
    {
      node->site->ops->advise (node->site, step, workers, count, limit_ms,
                               on_advised, call);
      return true;
    }
  char *url = g_strdup_printf ("http://%s/peer/advice", adviser->address);
  char *text = call_text (step, workers, count, limit_ms);
  httpc_call (node->peers, "POST", url, text, limit_ms, on_peer_advised, call);
  free (text);
  g_free (url);
  return true;
}

static void
on_served (void *context, bool ok, const advice_row_t *rows, uint32_t count,
           int64_t valid_ms)
{
  httpd_exchange_t *exchange = context;
  if (!ok)
    {
      httpd_answer_error (exchange, ERR_STORE_UNAVAILABLE,
                          "the advice service did not answer");
      return;
    }
  json_t *good = json_array ();
  for (uint32_t i = 0; i < count; i++)
    json_array_append_new (
        good, json_pack ("[s, s]", rows[i].worker, rows[i].ticket));
  json_t *reply = json_pack ("{s:o, s:I}", "rows", good, "valid_ms",
                             (json_int_t)valid_ms);
  char *text = json_dumps (reply, JSON_COMPACT);
  httpd_answer (exchange, 200, "application/json", text, strlen (text));
  free (text);
  json_decref (reply);
}

void
node_advice_serve (void *context, httpd_exchange_t *exchange,
                   const httpd_request_t *request)
{
  node_t *node = context;
  json_t *body = json_loadb (request->body, request->length, 0, NULL);
  const char *step = json_string_value (json_object_get (body, "step"));
  json_t *names = json_object_get (body, "workers");
  size_t count = json_array_size (names);
  if (step == NULL || count == 0)
    {
      httpd_answer_error (exchange, ERR_BAD_REQUEST,
                          "expected step and workers");
      json_decref (body);
      return;
    }
  const char **workers = g_new0 (const char *, count);
  for (size_t i = 0; i < count; i++)
    {
      const char *name = json_string_value (json_array_get (names, i));
      workers[i] = name != NULL ? name : "";
    }
  node->site->ops->advise (
      node->site, step, workers, (uint32_t)count,
      json_integer_value (json_object_get (body, "limit_ms")), on_served,
      exchange);
  g_free (workers);
  json_decref (body);
}
