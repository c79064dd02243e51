#include "node_internal.h"

#include "log.h"

#include <jansson.h>
#include <string.h>

/* NAME
     node_advice - calls to the advice service, spread over the nodes

   The platform serves one call at a time for each calling node, so an owner
   lets other nodes call too.  Short calls go to separate nodes: behind a long
   one their jobs would miss their objectives.  */

/* Calls with a shorter expected duration are short.  */
#define SHORT_CALL_MS 60.0
/* One in this many nodes serves short calls.  */
#define SHORT_CALL_NODE_STRIDE 3
/* Calls in flight through one node, limited so that a later and more urgent
   call does not wait behind many.  */
#define MAX_SHORT_CALLS 3
#define MAX_LONG_CALLS 1
/* A node whose call failed is avoided for this long, doubled with each further
   failure up to the maximum.  */
#define AVOID_MS 1000
#define MAX_AVOID_MS 8000
/* Timeout of a call: this many times its expected duration, and the slack for
   the transfer.  */
#define TIMEOUT_FACTOR 3.0
#define TIMEOUT_SLACK_MS 350

typedef struct
{
  node_cell_t *cell;
  uint32_t epoch;
  char *step;
  uint32_t call_number;
  char *member_name;
  int64_t sent_ms;
} advice_call_t;

void
node_member_free (void *data)
{
  node_member_t *member = data;
  g_free (member->name);
  g_free (member->address);
  g_free (member);
}

node_member_t *
node_member_find (const node_t *node, const char *name)
{
  for (guint i = 0; i < node->members->len; i++)
    {
      node_member_t *member = node->members->pdata[i];
      if (strcmp (member->name, name) == 0)
        return member;
    }
  return NULL;
}

static gint
compare_members (gconstpointer a, gconstpointer b)
{
  const node_member_t *left = *(node_member_t *const *)a;
  const node_member_t *right = *(node_member_t *const *)b;
  return strcmp (left->name, right->name);
}

void
node_member_set (node_t *node, const char *name, const char *address,
                 int64_t cpu_millis)
{
  node_member_t *member = node_member_find (node, name);
  if (member == NULL)
    {
      member = g_new0 (node_member_t, 1);
      member->name = g_strdup (name);
      g_ptr_array_add (node->members, member);
      g_ptr_array_sort (node->members, compare_members);
    }
  g_free (member->address);
  member->address = g_strdup (address);
  member->cpu_millis = cpu_millis;
  member->avoid_until_ms = 0;
}

void
node_member_remove (node_t *node, const char *name)
{
  node_member_t *member = node_member_find (node, name);
  if (member != NULL)
    g_ptr_array_remove (node->members, member);
}

void
node_member_avoid (node_t *node, const char *name, int64_t for_ms)
{
  node_member_t *member = node_member_find (node, name);
  if (member != NULL)
    member->avoid_until_ms = node_now (node) + for_ms;
}

const char *
node_member_next (node_t *node, const char **address)
{
  int64_t now_ms = node_now (node);
  for (guint i = 0; i < node->members->len; i++)
    {
      const node_member_t *member
          = node->members->pdata[node->next_member++ % node->members->len];
      if (member->avoid_until_ms > now_ms
          || strcmp (member->name, node->platform->settings.name) == 0)
        continue;
      *address = member->address;
      return member->name;
    }
  return NULL;
}

static void
finish_call (advice_call_t *call, bool ok, const advice_row_t *rows,
             uint32_t count, int64_t valid_ms)
{
  node_cell_t *cell = call->cell;
  node_t *node = cell->node;
  node_member_t *member = node_member_find (node, call->member_name);
  int64_t took_ms = node_now (node) - call->sent_ms;
  if (ok)
    {
      cell->advice_took_ms += took_ms;
      cell->advice_answers++;
    }
  if (member != NULL)
    {
      member->advice_calls -= member->advice_calls > 0;
      if (ok)
        member->advice_failures = 0;
      else if (member->avoid_until_ms <= node_now (node))
        /* Calls that fail together count as one failure.  */
        {
          int64_t avoid_ms = AVOID_MS << MIN (member->advice_failures, 3u);
          member->advice_failures++;
          node_member_avoid (node, call->member_name,
                             MIN (avoid_ms, MAX_AVOID_MS));
        }
    }
  if (!ok)
    {
      char took[24];
      g_snprintf (took, sizeof took, "%lld", (long long)took_ms);
      log_event (LOG_WARN, "advice_failed", "subject", call->step, "node",
                 call->member_name, "took_ms", took, NULL);
    }
  if (call->epoch == cell->epoch && cell->scheduler != NULL)
    {
      cell_advice_answered (cell->scheduler, call->step, call->call_number, ok,
                            rows, count, valid_ms);
      node->input_pending = true;
    }
  g_free (call->step);
  g_free (call->member_name);
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
    reply = json_loadb (result->body, result->body_length, 0, NULL);
  json_t *row_list = json_object_get (reply, "rows");
  for (size_t i = 0; i < json_array_size (row_list); i++)
    {
      json_t *pair = json_array_get (row_list, i);
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

/* Whether the member at INDEX serves short calls.  Members are sorted by
   name, which groups those of a zone: taking every third selects some of each
   zone.  */
static bool
serves_short_calls (guint index)
{
  return index % SHORT_CALL_NODE_STRIDE == 0;
}

/* Members that may be chosen for a call.  */
typedef enum
{
  FILTER_PREFERRED,  /* responsive members that serve calls of its length */
  FILTER_RESPONSIVE, /* members that are not avoided */
  FILTER_ANY
} member_filter_t;

static bool
passes_filter (const node_t *node, guint index, bool is_short,
               member_filter_t filter)
{
  const node_member_t *member = node->members->pdata[index];
  if (filter != FILTER_ANY && member->avoid_until_ms > node_now (node))
    return false;
  return filter != FILTER_PREFERRED || node->members->len == 1
         || serves_short_calls (index) == is_short;
}

/* Returns the member with the fewest calls in flight, NULL if all are busy.
   Sets *NONE_ELIGIBLE to whether no member passes FILTER.  */
static node_member_t *
least_busy (const node_t *node, bool is_short, member_filter_t filter,
            bool *none_eligible)
{
  uint32_t limit = is_short ? MAX_SHORT_CALLS : MAX_LONG_CALLS;
  node_member_t *best = NULL;
  *none_eligible = true;
  for (guint i = 0; i < node->members->len; i++)
    {
      node_member_t *member = node->members->pdata[i];
      if (!passes_filter (node, i, is_short, filter))
        continue;
      *none_eligible = false;
      /* One call finds out whether a node that failed serves calls again.  */
      if (member->advice_calls < (member->advice_failures > 0 ? 1 : limit)
          && (best == NULL || member->advice_calls < best->advice_calls))
        best = member;
    }
  return best;
}

node_member_t *
node_advice_choose (const node_t *node, bool is_short)
{
  bool none_eligible;
  node_member_t *best
      = least_busy (node, is_short, FILTER_PREFERRED, &none_eligible);
  /* If none of the preferred members answers, any other one; if none answers
     at all, each one is tried.  */
  if (none_eligible)
    best = least_busy (node, is_short, FILTER_RESPONSIVE, &none_eligible);
  if (none_eligible)
    best = least_busy (node, is_short, FILTER_ANY, &none_eligible);
  return best;
}

static char *
request_text (const char *step, const char *const *workers, uint32_t count,
              int64_t timeout_ms)
{
  json_t *names = json_array ();
  for (uint32_t i = 0; i < count; i++)
    json_array_append_new (names, json_string (workers[i]));
  json_t *object = json_pack ("{s:s, s:I, s:o}", "step", step, "limit_ms",
                              (json_int_t)timeout_ms, "workers", names);
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

bool
node_advise (void *context, const char *step, uint32_t call_number,
             const char *const *workers, uint32_t count, double expected_ms)
{
  node_cell_t *cell = context;
  node_t *node = cell->node;
  node_member_t *member
      = node_advice_choose (node, expected_ms < SHORT_CALL_MS);
  if (member == NULL)
    return false;
  int64_t timeout_ms
      = (int64_t)(expected_ms * TIMEOUT_FACTOR) + TIMEOUT_SLACK_MS;
  advice_call_t *call = g_new (advice_call_t, 1);
  *call = (advice_call_t){ cell,
                           cell->epoch,
                           g_strdup (step),
                           call_number,
                           g_strdup (member->name),
                           node_now (node) };
  member->advice_calls++;
  if (strcmp (member->name, node->platform->settings.name) == 0)
    {
      node->platform->ops->advise (node->platform, step, workers, count,
                                   timeout_ms, on_advised, call);
      return true;
    }
  char *url = g_strdup_printf ("http://%s/peer/advice", member->address);
  char *text = request_text (step, workers, count, timeout_ms);
  httpc_call (node->peer_client, "POST", url, text, timeout_ms,
              on_peer_advised, call);
  free (text);
  g_free (url);
  return true;
}

static void
on_advice_for_peer (void *context, bool ok, const advice_row_t *rows,
                    uint32_t count, int64_t valid_ms)
{
  httpd_exchange_t *exchange = context;
  if (!ok)
    {
      httpd_answer_error (exchange, ERR_STORE_UNAVAILABLE,
                          "the advice service did not answer");
      return;
    }
  json_t *row_list = json_array ();
  for (uint32_t i = 0; i < count; i++)
    json_array_append_new (
        row_list, json_pack ("[s, s]", rows[i].worker, rows[i].ticket));
  json_t *reply = json_pack ("{s:o, s:I}", "rows", row_list, "valid_ms",
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
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
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
  node->platform->ops->advise (
      node->platform, step, workers, (uint32_t)count,
      json_integer_value (json_object_get (body, "limit_ms")),
      on_advice_for_peer, exchange);
  g_free (workers);
  json_decref (body);
}
