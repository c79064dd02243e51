#include "node_internal.h"

#include "backoff.h"
#include "log.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* NAME
     node_claim - decides when this node claims a cell

   An owner renews its heartbeat.  A node that has followed the heartbeats
   without a gap and has seen no change for a while claims the cell: it writes
   the fence row with the next token, which makes every later commit of the
   former owner fail.  */

/* An owner whose heartbeat has not changed for this long is presumed lost:
   three heartbeats of 200 ms and the time of a commit.  */
#define HEARTBEAT_TIMEOUT_MS 700
/* The heartbeat timeout grows by this many times the mean time of a commit or
   the delay of answers about the cluster, whichever is longer: with a slow
   store a heartbeat arrives later by a commit and two answers.  */
#define SLOW_STORE_FACTOR 4
/* Delay between claimants of successive ranks, so that they do not race.  */
#define RANK_DELAY_MS 100
/* Delay of a node for each cell that it already holds.  */
#define HELD_CELL_DELAY_MS 250
#define CLAIM_TIMEOUT_MS 1500
/* Delay before a cell that never had an owner is claimed: all nodes start
   within 300 ms, and those with more processor time have to be known before.
   */
#define FIRST_CLAIM_DELAY_MS 600
/* A node with at least this rank for every cell follows the heartbeats at
   longer gaps.  */
#define CANDIDATE_RANKS 4u
/* First and longest pause after claims that the store refused or did not
   answer; the longest delays a takeover once the store is back.  */
#define CLAIM_RETRY_MS 100
#define CLAIM_MAX_RETRY_MS 800
/* The last answer about the cluster must be younger than this.  */
#define CLUSTER_FRESH_MS 400

typedef struct
{
  node_cell_t *cell;
  uint32_t epoch;
} claim_call_t;

static claim_call_t *
claim_call_new (node_cell_t *cell)
{
  claim_call_t *call = g_new (claim_call_t, 1);
  *call = (claim_call_t){ cell, cell->epoch };
  return call;
}

static bool
owner_is_self (const node_cell_t *cell)
{
  const node_t *node = cell->node;
  return g_strcmp0 (cell->owner, node->platform->settings.name) == 0
         && g_strcmp0 (cell->owner_incarnation, node->incarnation) == 0;
}

static void
parse_pending (node_cell_t *cell, json_t *pending)
{
  const char *queue;
  json_t *count;
  g_hash_table_remove_all (cell->pending_by_queue);
  json_object_foreach (pending, queue, count) g_hash_table_insert (
      cell->pending_by_queue, g_strdup (queue),
      GUINT_TO_POINTER ((guint)json_integer_value (count)));
}

void
node_heartbeat_changed (node_cell_t *cell, const char *value, size_t length)
{
  cell->heartbeat_seen_ms = node_now (cell->node);
  cell->claim_failures = 0;
  json_t *heartbeat
      = value != NULL ? json_loadb (value, length, 0, NULL) : NULL;
  const char *owner = json_string_value (json_object_get (heartbeat, "owner"));
  const char *incarnation
      = json_string_value (json_object_get (heartbeat, "incarnation"));
  if (g_strcmp0 (owner, cell->owner) != 0)
    log_event (LOG_INFO, "cell_owner", "cell", cell->name, "owner",
               owner != NULL ? owner : "", NULL);
  g_free (cell->owner);
  g_free (cell->owner_incarnation);
  cell->owner = g_strdup (owner != NULL ? owner : "");
  cell->owner_incarnation = g_strdup (incarnation);
  cell->seen_token = MAX (
      cell->seen_token,
      (uint64_t)json_integer_value (json_object_get (heartbeat, "token")));
  cell->heartbeat_number
      = (uint64_t)json_integer_value (json_object_get (heartbeat, "number"));
  parse_pending (cell, json_object_get (heartbeat, "pending"));
  cell->pending_cut
      = json_is_true (json_object_get (heartbeat, "pending_cut"));
  json_decref (heartbeat);
}

char *
node_fence_text (const node_cell_t *cell, const char *owner)
{
  json_t *object = json_pack ("{s:s, s:s, s:I, s:I, s:I, s:o}", "owner", owner,
                              "incarnation", cell->node->incarnation, "token",
                              (json_int_t)cell->token, "number",
                              (json_int_t)cell->commit_number, "beat",
                              (json_int_t)cell->heartbeat_commit, "tenure",
                              node_tenure_json (cell, owner[0] == '\0'));
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

bool
node_fence_matches (const node_cell_t *cell, const char *text, size_t length,
                    uint64_t *number)
{
  json_t *fence = json_loadb (text, length, 0, NULL);
  const char *owner = json_string_value (json_object_get (fence, "owner"));
  const char *incarnation
      = json_string_value (json_object_get (fence, "incarnation"));
  /* The owner's last commit clears the owner's name.  */
  bool matches
      = owner != NULL
        && (owner[0] == '\0'
            || strcmp (owner, cell->node->platform->settings.name) == 0)
        && g_strcmp0 (incarnation, cell->node->incarnation) == 0
        && (uint64_t)json_integer_value (json_object_get (fence, "token"))
               == cell->token;
  *number = (uint64_t)json_integer_value (json_object_get (fence, "number"));
  json_decref (fence);
  return matches;
}

void
node_claim_failed (node_cell_t *cell)
{
  cell->claim_failures++;
  cell->claim_due_ms = node_now (cell->node)
                       + backoff_ms (cell->claim_failures, CLAIM_RETRY_MS,
                                     CLAIM_MAX_RETRY_MS);
}

static void send_claim (node_cell_t *cell, uint64_t version);

static void
on_claimed (void *context, const store_reply_t *reply)
{
  claim_call_t *call = context;
  node_cell_t *cell = call->cell;
  bool current = call->epoch == cell->epoch && cell->state == CELL_CLAIMING;
  g_free (call);
  if (!current)
    return;
  if (reply->result == STORE_UNKNOWN)
    {
      /* To be sent again unchanged: only one of the two can be applied.  */
      node_claim_failed (cell);
      cell->claim_unanswered = true;
      return;
    }
  uint64_t version = reply->version;
  bool won = reply->result == STORE_OK;
  for (uint32_t i = 0; reply->result == STORE_CONFLICT && i < reply->count;
       i++)
    {
      const store_row_t *row = &reply->rows[i];
      if (strcmp (row->key, FENCE_KEY) != 0 || row->value == NULL)
        continue;
      uint64_t number;
      won = node_fence_matches (cell, row->value, row->length, &number);
      version = row->version;
    }
  if (!won)
    {
      cell->state = CELL_IDLE;
      cell->heartbeat_seen_ms = node_now (cell->node);
      node_claim_failed (cell);
      return;
    }
  cell->claim_failures = 0;
  cell->fence_version = version;
  node_former_claimed (cell);
  node_cell_claimed (cell);
}

static void
send_claim (node_cell_t *cell, uint64_t version)
{
  platform_api_t *platform = cell->node->platform;
  const char *name = platform->settings.name;
  char *fence = node_fence_text (cell, name);
  char *heartbeat = node_heartbeat_text (cell, name);
  store_row_t expect
      = { FENCE_TABLE, cell->name, FENCE_KEY, version, NULL, 0 };
  store_row_t writes[]
      = { { FENCE_TABLE, cell->name, FENCE_KEY, 0, fence, strlen (fence) },
          { CLUSTER_TABLE, cell->name, HEARTBEAT_KEY, 0, heartbeat,
            strlen (heartbeat) } };
  platform->ops->commit (platform, &expect, 1, writes, G_N_ELEMENTS (writes),
                         CLAIM_TIMEOUT_MS, on_claimed, claim_call_new (cell));
  free (fence);
  free (heartbeat);
}

/* Whether the node of an owner, as its fence or heartbeat row describes it,
   has started again since.  */
static bool
owner_has_restarted (const node_cell_t *cell, const char *owner,
                     const char *incarnation)
{
  if (owner == NULL || owner[0] == '\0')
    return false;
  char *key = g_strconcat (ENTRY_PREFIX, owner, NULL);
  size_t length;
  const char *text = replica_get (cell->node->cluster, "", key, &length);
  g_free (key);
  if (text == NULL)
    return false;
  json_t *entry = json_loadb (text, length, 0, NULL);
  const char *current
      = json_string_value (json_object_get (entry, "incarnation"));
  bool restarted = current != NULL && g_strcmp0 (current, incarnation) > 0;
  json_decref (entry);
  return restarted;
}

static void
on_fence_read (void *context, const store_reply_t *reply)
{
  claim_call_t *call = context;
  node_cell_t *cell = call->cell;
  bool current = call->epoch == cell->epoch && cell->state == CELL_CLAIMING;
  g_free (call);
  if (!current)
    return;
  if (reply->result != STORE_OK || cell->node->stopping)
    {
      cell->state = CELL_IDLE;
      node_claim_failed (cell);
      return;
    }
  uint64_t token = 0;
  node_former_free (cell);
  cell->fence_version = 0;
  for (uint32_t i = 0; i < reply->count; i++)
    {
      const store_row_t *row = &reply->rows[i];
      json_t *fence = json_loadb (row->value, row->length, 0, NULL);
      token = (uint64_t)json_integer_value (json_object_get (fence, "token"));
      cell->fence_version = row->version;
      node_former_read (
          cell, fence,
          owner_has_restarted (
              cell, json_string_value (json_object_get (fence, "owner")),
              json_string_value (json_object_get (fence, "incarnation"))));
      json_decref (fence);
    }
  /* Another node has claimed the cell since the last heartbeat seen.  */
  if (token > cell->seen_token)
    {
      cell->state = CELL_IDLE;
      cell->heartbeat_seen_ms = node_now (cell->node);
      cell->seen_token = token;
      return;
    }
  cell->token = token + TOKEN_RANGE;
  cell->commit_number = 0;
  cell->heartbeat_commit = 0;
  cell->commit_begun_ms = cell->heartbeat_sent_ms = node_now (cell->node);
  send_claim (cell, cell->fence_version);
}

static void
begin_claim (node_cell_t *cell)
{
  node_t *node = cell->node;
  log_event (LOG_INFO, "cell_claiming", "cell", cell->name, "owner",
             cell->owner != NULL ? cell->owner : "", NULL);
  cell->state = CELL_CLAIMING;
  cell->claim_unanswered = false;
  cell->epoch++;
  cell->claim_started_ms = node_now (node);
  node->platform->ops->read (node->platform, FENCE_TABLE, cell->name,
                             FENCE_KEY, NULL, CLAIM_TIMEOUT_MS, on_fence_read,
                             claim_call_new (cell));
}

static uint64_t
rendezvous_weight (const char *cell, const char *node)
{
  char *text = g_strdup_printf ("%s %s", cell, node);
  uint64_t hash = XXH64 (text, strlen (text), 0);
  g_free (text);
  return hash;
}

/* Number of nodes, other than the current owner, that should claim the cell
   before this one: those with more processor time, and among equal ones those
   with a higher rendezvous weight.  */
static uint32_t
claim_rank (const node_cell_t *cell)
{
  const node_t *node = cell->node;
  const platform_api_settings_t *self = &node->platform->settings;
  uint64_t own_weight = rendezvous_weight (cell->name, self->name);
  uint32_t rank = 0;
  for (guint i = 0; i < node->members->len; i++)
    {
      const node_member_t *other = node->members->pdata[i];
      if (strcmp (other->name, self->name) == 0
          || g_strcmp0 (other->name, cell->owner) == 0)
        continue;
      if (other->cpu_millis > self->cpu_millis
          || (other->cpu_millis == self->cpu_millis
              && rendezvous_weight (cell->name, other->name) > own_weight))
        rank++;
    }
  return rank;
}

uint32_t
node_cells_held (const node_t *node)
{
  GHashTableIter iterator;
  gpointer value;
  uint32_t held = 0;
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    held += ((node_cell_t *)value)->state != CELL_IDLE;
  return held;
}

bool
node_claim_is_due (const node_cell_t *cell, uint32_t rank)
{
  const node_t *node = cell->node;
  int64_t now_ms = node_now (node);
  if (cell->state != CELL_IDLE || now_ms < cell->claim_due_ms)
    return false;
  bool vacant = cell->owner == NULL || cell->owner[0] == '\0';
  bool owned_before_restart
      = !vacant && !owner_is_self (cell)
        && g_strcmp0 (cell->owner, node->platform->settings.name) == 0;
  if (!vacant
      && owner_has_restarted (cell, cell->owner, cell->owner_incarnation))
    vacant = true;
  /* Heartbeats arrive late when the store is slow.  */
  int64_t delay_ms = 0;
  if (!vacant)
    delay_ms
        = HEARTBEAT_TIMEOUT_MS
          + SLOW_STORE_FACTOR
                * MAX (node->store_timeout.mean_answer_ms, node->store_lag_ms);
  else if (cell->owner == NULL)
    delay_ms = FIRST_CLAIM_DELAY_MS;
  delay_ms += (int64_t)rank * RANK_DELAY_MS
              + (int64_t)node_cells_held (node) * HELD_CELL_DELAY_MS;
  /* No delay for the node that owned the cell before its restart, and for the
     one that has agreed to take it from the owner.  */
  if (owned_before_restart || (vacant && now_ms < cell->agreed_until_ms))
    delay_ms = 0;
  return node->cluster_answered_ms - cell->heartbeat_seen_ms >= delay_ms
         && now_ms - node->cluster_answered_ms < CLUSTER_FRESH_MS;
}

static void
claim_if_due (node_cell_t *cell, uint32_t rank)
{
  if (node_claim_is_due (cell, rank))
    begin_claim (cell);
  else if (cell->state == CELL_CLAIMING && cell->claim_unanswered
           && node_now (cell->node) >= cell->claim_due_ms)
    {
      cell->claim_unanswered = false;
      send_claim (cell, cell->fence_version);
    }
}

void
node_claim_check (node_t *node)
{
  GHashTableIter iterator;
  gpointer value;
  if (node->stopping || !node->registered
      || !replica_is_loaded (node->cluster))
    return;
  uint32_t best_rank = G_MAXUINT32;
  g_hash_table_iter_init (&iterator, node->cells);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      uint32_t rank = claim_rank (value);
      best_rank = MIN (best_rank, rank);
      claim_if_due (value, rank);
      node_yield_check (value);
    }
  replica_set_gap (node->cluster, best_rank < CANDIDATE_RANKS
                                      ? NODE_CANDIDATE_GAP_MS
                                      : NODE_OTHER_GAP_MS);
}
