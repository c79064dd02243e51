#include "node_internal.h"

#include "log.h"
#include "number.h"

#include <jansson.h>
#include <string.h>

/* NAME
     node_tenure - what owners of a cell tell one another about leases

   See tenure.h.  The fence row holds what the owner promises.  A former owner
   that lives adds when its leases end, in the row LEASES_KEY, so that its
   successor need not wait for the longest that the promises allow.  */

/* With more ids the fence row could outgrow a row of the store.  The next
   owner then waits for all workers as for those that this one has reached.  */
#define MAX_UNREACHED_BYTES ((size_t)16 * 1024)
#define TELL_TIMEOUT_MS 500
#define TELL_RETRY_MS 100

static void
append_unreached (void *context, const char *worker)
{
  json_array_append_new (context, json_string (worker));
}

/* Time from FROM_MS to END_MS.  */
static int64_t
left_ms (int64_t end_ms, int64_t from_ms)
{
  return end_ms == 0 ? 0 : MAX (end_ms - from_ms, 0);
}

/* Bytes of the ids in LIST.  */
static size_t
length_of_ids (const json_t *list)
{
  size_t length = 0;
  for (size_t i = 0; i < json_array_size (list); i++)
    length += json_string_length (json_array_get (list, i));
  return length;
}

json_t *
node_tenure_json (const node_cell_t *cell, bool releases)
{
  const former_owner_t *former = &cell->former;
  json_t *unreached = json_array ();
  /* Also of a commit that is sent again: readers count from the first time. */
  int64_t begun_ms = cell->commit_begun_ms;
  bool owns = cell->scheduler != NULL && !releases;
  int64_t end_ms = former->leases_end_ms;
  int64_t unreached_end_ms = former->unreached_end_ms;
  if (releases && cell->scheduler != NULL)
    end_ms = cell_leases_end_ms (cell->scheduler);
  if (owns)
    unreached_end_ms
        = cell_each_unreached (cell->scheduler, append_unreached, unreached);
  /* Until it is loaded, this node has reached none.  */
  for (char **id = former->unreached;
       cell->scheduler == NULL && id != NULL && *id != NULL; id++)
    append_unreached (unreached, *id);
  if (length_of_ids (unreached) > MAX_UNREACHED_BYTES)
    {
      json_array_clear (unreached);
      end_ms = MAX (end_ms, unreached_end_ms);
    }
  return json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:o}", "since_beat_ms",
      (json_int_t)(cell->commit_begun_ms - cell->heartbeat_sent_ms),
      "bound_ms", (json_int_t)(owns ? TENURE_BOUND_MS : 0), "lease_ms",
      (json_int_t)TENURE_LEASE_MS, "inherited_ms",
      (json_int_t)left_ms (end_ms, begun_ms), "unreached_ms",
      (json_int_t)left_ms (unreached_end_ms, begun_ms), "unreached",
      unreached);
}

/* Reads a promise, which a row of a version without them lacks.  */
static bool
read_promise (const json_t *tenure, const char *key, int64_t *ms)
{
  return number_read (json_object_get (tenure, key), 0, NUMBER_MAX_DURATION_MS,
                      ms);
}

/* Reads the promises in FENCE, which may be of a version that makes none.  */
static tenure_row_t
row_of (const json_t *fence)
{
  const json_t *tenure = json_object_get (fence, "tenure");
  const char *owner = json_string_value (json_object_get (fence, "owner"));
  tenure_row_t row = { .released = owner == NULL || owner[0] == '\0' };
  row.known = read_promise (tenure, "bound_ms", &row.bound_ms)
              && read_promise (tenure, "lease_ms", &row.lease_ms)
              && read_promise (tenure, "inherited_ms", &row.inherited_ms)
              && read_promise (tenure, "unreached_ms", &row.unreached_ms)
              && read_promise (tenure, "since_beat_ms", &row.since_beat_ms);
  return row;
}

static char **
unreached_of (const json_t *fence)
{
  const json_t *list
      = json_object_get (json_object_get (fence, "tenure"), "unreached");
  size_t count = json_array_size (list);
  char **ids = g_new0 (char *, count + 1);
  size_t used = 0;
  for (size_t i = 0; i < count; i++)
    {
      const char *id = json_string_value (json_array_get (list, i));
      if (id != NULL)
        ids[used++] = g_strdup (id);
    }
  return ids;
}

void
node_former_free (node_cell_t *cell)
{
  g_free (cell->former.owner);
  g_free (cell->former.incarnation);
  g_strfreev (cell->former.unreached);
  cell->former = (former_owner_t){ 0 };
}

void
node_former_read (node_cell_t *cell, const json_t *fence, bool restarted)
{
  node_t *node = cell->node;
  former_owner_t *former = &cell->former;
  tenure_row_t row = row_of (fence);
  uint64_t beat
      = (uint64_t)json_integer_value (json_object_get (fence, "beat"));
  uint64_t token
      = (uint64_t)json_integer_value (json_object_get (fence, "token"));
  tenure_view_t view
      = { .now_ms = node_now (node),
          .max_lease_ms = node->platform->settings.cells.max_lease_ms,
          .restarted = restarted };
  if (cell->seen_token == token && cell->heartbeat_number == beat)
    view.heard_ms = cell->heartbeat_seen_ms;
  node_former_free (cell);
  former->owner
      = g_strdup (json_string_value (json_object_get (fence, "owner")));
  former->incarnation
      = g_strdup (json_string_value (json_object_get (fence, "incarnation")));
  former->token = token;
  former->row = row;
  former->restarted = restarted;
  former->heard_ms = view.heard_ms;
  former->unreached = unreached_of (fence);
  former->leases_end_ms = tenure_leases_end_ms (&row, &view);
  former->unreached_end_ms = tenure_unreached_end_ms (&row, &view);
}

void
node_former_claimed (node_cell_t *cell)
{
  former_owner_t *former = &cell->former;
  tenure_view_t view
      = { .now_ms = node_now (cell->node),
          .max_lease_ms = cell->node->platform->settings.cells.max_lease_ms,
          .restarted = former->restarted };
  /* Without promises its renewals count from now.  */
  if (former->owner == NULL || former->row.known)
    return;
  former->leases_end_ms = tenure_leases_end_ms (&former->row, &view);
  former->unreached_end_ms = former->leases_end_ms;
}

/* The leases of the owners before have ended by END_MS.  */
static void
shorten (node_cell_t *cell, int64_t end_ms, const char *why)
{
  former_owner_t *former = &cell->former;
  if (cell->state == CELL_IDLE || end_ms >= former->leases_end_ms)
    return;
  char left[24];
  g_snprintf (left, sizeof left, "%lld",
              (long long)left_ms (end_ms, node_now (cell->node)));
  log_event (LOG_INFO, "former_owner_stopped", "cell", cell->name, "why", why,
             "left_ms", left, NULL);
  former->leases_end_ms = end_ms;
  former->unreached_end_ms = MIN (former->unreached_end_ms, end_ms);
  if (cell->scheduler != NULL)
    cell_inherit (cell->scheduler, end_ms);
}

void
node_former_told (node_cell_t *cell, const char *value, size_t length)
{
  json_t *row = value != NULL ? json_loadb (value, length, 0, NULL) : NULL;
  uint64_t token
      = (uint64_t)json_integer_value (json_object_get (row, "token"));
  int64_t left = 0;
  bool valid = number_read (json_object_get (row, "left_ms"), 0,
                            NUMBER_MAX_DURATION_MS, &left);
  int64_t end_ms = node_now (cell->node) + left;
  json_decref (row);
  if (!valid)
    return;
  if (token == cell->former.token)
    shorten (cell, end_ms, "told");
  /* This node was replaced too: what it told was too long.  */
  if (token == cell->ended.former_token
      && end_ms < cell->ended.inherited_end_ms)
    {
      cell->ended.inherited_end_ms = end_ms;
      cell->ended.untold = true;
    }
}

void
node_former_restarted (node_cell_t *cell, const char *name,
                       const char *incarnation)
{
  const former_owner_t *former = &cell->former;
  if (incarnation == NULL || g_strcmp0 (former->owner, name) != 0
      || g_strcmp0 (incarnation, former->incarnation) <= 0)
    return;
  tenure_view_t view
      = { .now_ms = node_now (cell->node),
          .heard_ms = former->heard_ms,
          .max_lease_ms = cell->node->platform->settings.cells.max_lease_ms,
          .restarted = true };
  shorten (cell, tenure_leases_end_ms (&former->row, &view), "restarted");
}

typedef struct
{
  node_cell_t *cell;
  uint64_t token;
  int64_t inherited_end_ms;
} tell_call_t;

static void
on_told (void *context, const store_reply_t *reply)
{
  tell_call_t *call = context;
  ended_tenure_t *ended = &call->cell->ended;
  ended->in_flight = false;
  ended->next_ms = node_now (call->cell->node) + TELL_RETRY_MS;
  if (reply->result == STORE_OK && ended->token == call->token
      && ended->inherited_end_ms == call->inherited_end_ms)
    ended->untold = false;
  /* The successor waits for the longest that the promises allow.  */
  if (reply->result == STORE_INVALID)
    ended->untold = false;
  g_free (call);
}

void
node_tenure_ended (node_cell_t *cell)
{
  ended_tenure_t *ended = &cell->ended;
  ended->token = cell->token;
  ended->former_token = cell->former.token;
  ended->untold = true;
  ended->next_ms = 0;
  ended->inherited_end_ms = cell->former.leases_end_ms;
  ended->own_end_ms
      = cell->scheduler != NULL ? cell_last_lease_end_ms (cell->scheduler) : 0;
}

void
node_tenure_tell (node_cell_t *cell)
{
  platform_api_t *platform = cell->node->platform;
  ended_tenure_t *ended = &cell->ended;
  int64_t now_ms = node_now (cell->node);
  if (!ended->untold || ended->in_flight || now_ms < ended->next_ms)
    return;
  int64_t end_ms = MAX (ended->own_end_ms, ended->inherited_end_ms);
  char *text
      = g_strdup_printf ("{\"token\":%" G_GUINT64_FORMAT ",\"left_ms\":%lld}",
                         ended->token, (long long)left_ms (end_ms, now_ms));
  store_row_t write
      = { CLUSTER_TABLE, cell->name, LEASES_KEY, 0, text, strlen (text) };
  tell_call_t *call = g_new (tell_call_t, 1);
  *call = (tell_call_t){ cell, ended->token, ended->inherited_end_ms };
  ended->in_flight = true;
  platform->ops->commit (platform, NULL, 0, &write, 1, TELL_TIMEOUT_MS,
                         on_told, call);
  g_free (text);
}
