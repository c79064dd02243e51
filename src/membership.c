#include "membership.h"

#include <string.h>
#include <xxhash.h>

/* A connection on which no frame arrives for this long is dropped.  */
#define SILENCE_TIMEOUT_MS 3000
/* How far the instance list may lag behind.  */
#define MAX_LIST_LAG_MS 10000
#define FIRST_RETRY_MS 200
#define MAX_RETRY_MS 5000
/* A connection attempt is given up if no Hello arrives within this time.  */
#define CONNECT_TIMEOUT_MS 2000
/* Of two entries of a zone, the one with the lower id makes the connection.
   The other one tries after this time, in case the list of the first lags.  */
#define HIGHER_ID_WAIT_MS 2000
/* If a chosen entry of another zone cannot be connected to for this long,
   another entry is chosen in addition.  */
#define SUBSTITUTE_AFTER_MS 4000
/* A connection to an entry that is no longer chosen is kept for this long, so
   that a flapping entry does not cause reconnections each time.  */
#define UNCHOSEN_KEEP_MS 10000
/* An entry that has announced its stop is tried again this long after its last
   frame, unless it is still connected.  */
#define LEAVING_RETRY_MS 10000
/* An entry that is listed as gone and never sent a Hello is removed this long
   after it was added.  */
#define REMOVE_AFTER_MS 600000

typedef struct
{
  char *id;
  char *zone;
  char *address; /* NULL until listed */
  /* ID@INCARNATION of the newest process, NULL before the first Hello.  */
  char *current_name;
  int64_t incarnation; /* of that process */
  bool connected;
  bool dialed; /* this entry made the connection */
  bool connecting;
  bool leaving; /* the process has announced its stop */
  bool listed_leaving;
  bool listed_gone;
  int64_t added_ms;
  int64_t last_frame_ms;    /* 0: never */
  int64_t attempt_start_ms; /* of the last connection attempt */
  int64_t retry_at_ms;      /* no attempt before this time */
  int64_t retry_delay_ms;
  int64_t last_chosen_ms;
  int64_t trying_since_ms; /* without a Hello; 0: not trying */
  uint64_t rank;           /* rendezvous hash of both ids */
} peer_entry_t;

struct membership
{
  char *self_id;
  char *self_entry;
  char *self_zone;
  int64_t self_incarnation;
  uint32_t remote_peers;
  const membership_actions_t *actions;
  void *context;
  const clk_t *clock;
  GRand *random;
  GHashTable *peers; /* id -> peer_entry_t */
  uint64_t version;  /* see membership_version */
};

static void
peer_entry_free (gpointer data)
{
  peer_entry_t *peer = data;
  g_free (peer->id);
  g_free (peer->zone);
  g_free (peer->address);
  g_free (peer->current_name);
  g_free (peer);
}

static char *
entry_name (const char *id, int64_t incarnation)
{
  return g_strdup_printf ("%s@%" G_GINT64_FORMAT, id, incarnation);
}

bool
membership_parse_entry (const char *entry, char **id, int64_t *incarnation)
{
  const char *at = strrchr (entry, '@');
  gint64 number;
  if (at == NULL || at == entry
      || !g_ascii_string_to_signed (at + 1, 10, 0, G_MAXINT64, &number, NULL))
    return false;
  *id = g_strndup (entry, (gsize)(at - entry));
  *incarnation = number;
  return true;
}

membership_t *
membership_new (const char *self_id, int64_t self_incarnation,
                const char *self_zone, uint32_t remote_peers,
                const membership_actions_t *actions, void *context,
                const clk_t *clock, uint32_t seed)
{
  membership_t *members = g_new0 (membership_t, 1);
  members->self_id = g_strdup (self_id);
  members->self_entry = entry_name (self_id, self_incarnation);
  members->self_zone = g_strdup (self_zone);
  members->self_incarnation = self_incarnation;
  members->remote_peers = remote_peers;
  members->actions = actions;
  members->context = context;
  members->clock = clock;
  members->random = g_rand_new_with_seed (seed);
  members->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, peer_entry_free);
  return members;
}

void
membership_free (membership_t *members)
{
  if (members == NULL)
    return;
  g_hash_table_unref (members->peers);
  g_rand_free (members->random);
  g_free (members->self_id);
  g_free (members->self_entry);
  g_free (members->self_zone);
  g_free (members);
}

/* Both sides compute the same rank, so entries of two zones tend to choose
   each other and share one connection.  */
static uint64_t
pair_rank (const char *a, const char *b)
{
  char *text = strcmp (a, b) < 0 ? g_strconcat (a, "|", b, NULL)
                                 : g_strconcat (b, "|", a, NULL);
  uint64_t rank = XXH64 (text, strlen (text), 0);
  g_free (text);
  return rank;
}

static peer_entry_t *
find_or_add (membership_t *members, const char *id, const char *zone)
{
  peer_entry_t *peer = g_hash_table_lookup (members->peers, id);
  if (peer == NULL)
    {
      peer = g_new0 (peer_entry_t, 1);
      peer->id = g_strdup (id);
      peer->added_ms = clk_now_ms (members->clock);
      peer->last_chosen_ms = peer->added_ms;
      peer->rank = pair_rank (members->self_id, id);
      g_hash_table_insert (members->peers, peer->id, peer);
    }
  if (g_strcmp0 (peer->zone, zone) != 0)
    {
      g_free (peer->zone);
      peer->zone = g_strdup (zone);
    }
  return peer;
}

/* Returns the peer whose newest process is ENTRY, or NULL.  */
static peer_entry_t *
find_peer_by_entry (const membership_t *members, const char *entry)
{
  char *id;
  int64_t incarnation;
  if (!membership_parse_entry (entry, &id, &incarnation))
    return NULL;
  peer_entry_t *peer = g_hash_table_lookup (members->peers, id);
  g_free (id);
  return peer != NULL && peer->current_name != NULL
                 && peer->incarnation == incarnation
             ? peer
             : NULL;
}

/* Returns whether no frame of PEER has arrived for as long as the list may
   lag.  */
static bool
is_silent_past_list_lag (const membership_t *members, const peer_entry_t *peer)
{
  return !peer->connected
         && clk_now_ms (members->clock)
                    - MAX (peer->last_frame_ms, peer->added_ms)
                >= MAX_LIST_LAG_MS;
}

static bool
is_gone (const membership_t *members, const peer_entry_t *peer)
{
  /* A frame that arrived within the list's lag overrides the list: the id may
     belong to a new process that the list does not show yet.  */
  return peer->listed_gone
         && (peer->last_frame_ms == 0
             || is_silent_past_list_lag (members, peer));
}

void
membership_listed (membership_t *members, const char *id, const char *zone,
                   const char *address, bool leaving, bool gone)
{
  if (strcmp (id, members->self_id) == 0)
    return;
  peer_entry_t *peer = find_or_add (members, id, zone);
  if (address != NULL && g_strcmp0 (peer->address, address) != 0)
    {
      g_free (peer->address);
      peer->address = g_strdup (address);
      peer->retry_at_ms = 0;
      peer->retry_delay_ms = 0;
    }
  peer->listed_leaving = leaving;
  peer->listed_gone = gone;
  members->version++;
}

static void
mark_down (membership_t *members, peer_entry_t *peer)
{
  if (!peer->connected)
    return;
  peer->connected = false;
  members->version++;
  members->actions->down (members->context, peer->current_name);
}

membership_verdict_t
membership_hello (membership_t *members, const char *id, int64_t incarnation,
                  const char *zone, bool dialed)
{
  if (strcmp (id, members->self_id) == 0)
    return MEMBERSHIP_REFUSE_SELF;
  peer_entry_t *peer = find_or_add (members, id, zone);
  int64_t now_ms = clk_now_ms (members->clock);
  membership_verdict_t verdict = MEMBERSHIP_ACCEPT;
  if (peer->current_name != NULL && incarnation < peer->incarnation)
    return MEMBERSHIP_REFUSE_LOWER;
  if (peer->connected && incarnation == peer->incarnation)
    {
      /* If both sides connected at once, the connection made by the lower id
         is kept.  A second connection made by the same side replaces the
         first, which that side must have given up.  */
      bool made_by_lower_id = dialed == (strcmp (members->self_id, id) < 0);
      if (dialed != peer->dialed && !made_by_lower_id)
        {
          peer->connecting = false;
          return MEMBERSHIP_REFUSE_SECOND;
        }
      verdict = MEMBERSHIP_REPLACE;
      members->actions->disconnect (members->context, peer->current_name,
                                    "replaced");
    }
  else if (peer->connected)
    {
      members->actions->disconnect (members->context, peer->current_name,
                                    "newer_incarnation");
      mark_down (members, peer);
    }
  if (peer->current_name == NULL || incarnation != peer->incarnation)
    {
      g_free (peer->current_name);
      peer->current_name = entry_name (id, incarnation);
      peer->incarnation = incarnation;
      peer->leaving = false;
    }
  bool was_connected = peer->connected;
  peer->connected = true;
  peer->dialed = dialed;
  peer->connecting = false;
  peer->last_frame_ms = now_ms;
  peer->retry_delay_ms = 0;
  peer->trying_since_ms = 0;
  members->version++;
  if (!was_connected)
    members->actions->up (members->context, peer->current_name, peer->zone);
  return verdict;
}

void
membership_frame_received (membership_t *members, const char *entry)
{
  peer_entry_t *peer = find_peer_by_entry (members, entry);
  if (peer != NULL)
    peer->last_frame_ms = clk_now_ms (members->clock);
}

static void
schedule_retry (membership_t *members, peer_entry_t *peer)
{
  int64_t now_ms = clk_now_ms (members->clock);
  peer->retry_delay_ms = peer->retry_delay_ms == 0
                             ? FIRST_RETRY_MS
                             : MIN (peer->retry_delay_ms * 2, MAX_RETRY_MS);
  peer->retry_at_ms
      = now_ms
        + (int64_t)((double)peer->retry_delay_ms
                    * g_rand_double_range (members->random, 0.5, 1.5));
}

void
membership_closed (membership_t *members, const char *entry)
{
  peer_entry_t *peer = find_peer_by_entry (members, entry);
  if (peer == NULL)
    return;
  mark_down (members, peer);
  schedule_retry (members, peer);
}

void
membership_connect_failed (membership_t *members, const char *id)
{
  peer_entry_t *peer = g_hash_table_lookup (members->peers, id);
  if (peer == NULL || !peer->connecting)
    return;
  peer->connecting = false;
  schedule_retry (members, peer);
}

void
membership_leaving (membership_t *members, const char *entry)
{
  peer_entry_t *peer = find_peer_by_entry (members, entry);
  if (peer != NULL)
    peer->leaving = true;
  members->version++;
}

static void
try_connect (membership_t *members, peer_entry_t *peer, int64_t now_ms)
{
  if (peer->connecting
      && now_ms - peer->attempt_start_ms >= CONNECT_TIMEOUT_MS)
    {
      peer->connecting = false;
      schedule_retry (members, peer);
    }
  if (peer->connected || peer->connecting || peer->address == NULL
      || now_ms < peer->retry_at_ms)
    return;
  if (peer->trying_since_ms == 0)
    peer->trying_since_ms = now_ms;
  peer->connecting = true;
  peer->attempt_start_ms = now_ms;
  members->actions->connect (members->context, peer->id, peer->address);
}

static gint
compare_ranks (gconstpointer a, gconstpointer b)
{
  const peer_entry_t *x = *(peer_entry_t *const *)a;
  const peer_entry_t *y = *(peer_entry_t *const *)b;
  int zones = g_strcmp0 (x->zone, y->zone);
  if (zones != 0)
    return zones;
  if (x->rank != y->rank)
    return x->rank > y->rank ? -1 : 1;
  return strcmp (x->id, y->id);
}

/* Chooses K entries of every other zone, and one more for each of them that
   cannot be connected to for a while.  REMOTE holds the entries of all other
   zones.  */
static void
choose_remote (membership_t *members, GPtrArray *remote, int64_t now_ms)
{
  g_ptr_array_sort (remote, compare_ranks);
  const char *zone = NULL;
  uint32_t chosen = 0;
  for (guint i = 0; i < remote->len; i++)
    {
      peer_entry_t *peer = g_ptr_array_index (remote, i);
      if (g_strcmp0 (zone, peer->zone) != 0)
        {
          zone = peer->zone;
          chosen = 0;
        }
      if (chosen >= members->remote_peers)
        {
          if (peer->connected && peer->dialed
              && now_ms - peer->last_chosen_ms >= UNCHOSEN_KEEP_MS)
            {
              members->actions->disconnect (members->context,
                                            peer->current_name, "not_chosen");
              mark_down (members, peer);
            }
          continue;
        }
      peer->last_chosen_ms = now_ms;
      try_connect (members, peer, now_ms);
      bool failing = !peer->connected && peer->trying_since_ms != 0
                     && now_ms - peer->trying_since_ms >= SUBSTITUTE_AFTER_MS;
      if (!failing)
        chosen++;
    }
}

static bool
is_wanted (const membership_t *members, const peer_entry_t *peer)
{
  return !is_gone (members, peer) && !peer->leaving;
}

static void
drop_if_silent (membership_t *members, peer_entry_t *peer, int64_t now_ms)
{
  if (!peer->connected || now_ms - peer->last_frame_ms < SILENCE_TIMEOUT_MS)
    return;
  members->actions->disconnect (members->context, peer->current_name,
                                "silent");
  mark_down (members, peer);
  peer->retry_at_ms = 0;
}

void
membership_tick (membership_t *members)
{
  int64_t now_ms = clk_now_ms (members->clock);
  GPtrArray *remote = g_ptr_array_new ();
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, members->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      peer_entry_t *peer = value;
      drop_if_silent (members, peer, now_ms);
      if (peer->listed_gone && !peer->connected
          && now_ms - MAX (peer->last_frame_ms, peer->added_ms)
                 > REMOVE_AFTER_MS
          && peer->current_name == NULL)
        {
          g_hash_table_iter_remove (&iterator);
          continue;
        }
      /* A new process of that id may be running by now.  */
      if (peer->leaving && !peer->connected
          && now_ms - peer->last_frame_ms >= LEAVING_RETRY_MS)
        peer->leaving = false;
      if (!is_wanted (members, peer))
        continue;
      if (g_strcmp0 (peer->zone, members->self_zone) != 0)
        {
          g_ptr_array_add (remote, peer);
          continue;
        }
      bool own_id_is_lower = strcmp (members->self_id, peer->id) < 0;
      if (own_id_is_lower || peer->connecting
          || now_ms - MAX (peer->added_ms, peer->last_frame_ms)
                 >= HIGHER_ID_WAIT_MS)
        try_connect (members, peer, now_ms);
    }
  choose_remote (members, remote, now_ms);
  g_ptr_array_unref (remote);
}

bool
membership_is_gone (const membership_t *members, const char *entry)
{
  char *id;
  int64_t incarnation;
  if (!membership_parse_entry (entry, &id, &incarnation))
    return false;
  bool gone = false;
  /* This process listens on the peer port of its id, so older processes of
     that id have ended.  */
  if (strcmp (id, members->self_id) == 0)
    gone = incarnation < members->self_incarnation;
  else
    {
      const peer_entry_t *peer = g_hash_table_lookup (members->peers, id);
      if (peer != NULL)
        gone = (peer->current_name != NULL && incarnation < peer->incarnation)
               || is_gone (members, peer);
    }
  g_free (id);
  return gone;
}

static member_state_t
state_of (const membership_t *members, const peer_entry_t *peer)
{
  if (is_gone (members, peer))
    return MEMBER_GONE;
  if (peer->connected)
    return peer->leaving || peer->listed_leaving ? MEMBER_LEAVING
                                                 : MEMBER_LIVE;
  return peer->current_name != NULL ? MEMBER_SUSPECT : MEMBER_KNOWN;
}

member_state_t
membership_state (const membership_t *members, const char *id)
{
  const peer_entry_t *peer = g_hash_table_lookup (members->peers, id);
  return peer != NULL ? state_of (members, peer) : MEMBER_GONE;
}

static gint
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

void
membership_live (const membership_t *members, const char *zone, GPtrArray *out)
{
  GHashTableIter iterator;
  gpointer value;
  if (zone == NULL || strcmp (zone, members->self_zone) == 0)
    g_ptr_array_add (out, g_strdup (members->self_entry));
  g_hash_table_iter_init (&iterator, members->peers);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const peer_entry_t *peer = value;
      if ((zone == NULL || g_strcmp0 (peer->zone, zone) == 0)
          && state_of (members, peer) == MEMBER_LIVE)
        g_ptr_array_add (out, g_strdup (peer->current_name));
    }
  g_ptr_array_sort (out, compare_names);
}

uint64_t
membership_version (const membership_t *members)
{
  return members->version;
}
