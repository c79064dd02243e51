#include "member.h"

#include <string.h>
#include <xxhash.h>

/* A connection without a frame for this long is dropped.  */
#define SILENCE_LIMIT_MS 3000
/* The instance list may be this much behind.  */
#define LIST_LAG_MS 10000
#define FIRST_RETRY_MS 200
#define MAX_RETRY_MS 5000
/* A connection attempt without a Hello is given up after this.  */
#define CONNECT_LIMIT_MS 2000
/* Of two entries of a zone the one with the lower id connects first; the other
   one joins in after this time, in case the list of the first one lags.  */
#define HIGHER_ID_WAIT_MS 2000
/* A chosen entry of another zone that does not answer for this long gets a
   substitute.  */
#define SUBSTITUTE_AFTER_MS 4000
/* A connection that is no longer chosen is kept for this long, so that an
   entry that comes and goes does not move connections each time.  */
#define UNCHOSEN_KEEP_MS 10000
/* An entry that has left is tried again after this.  */
#define LEFT_RETRY_MS 10000
/* A gone entry is forgotten after this long without news.  */
#define FORGET_AFTER_MS 600000

typedef struct
{
  char *id;
  char *zone;
  char *address; /* NULL until listed */
  char *entry;   /* ID@INCARNATION of the newest process, or NULL */
  int64_t incarnation;
  bool connected;
  bool dialed;
  bool connecting;
  bool leaving;
  bool listed_leaving;
  bool listed_gone;
  int64_t known_ms;
  int64_t heard_ms;   /* last frame; 0: never */
  int64_t attempt_ms; /* start of the last connection attempt */
  int64_t retry_ms;   /* not before this instant */
  int64_t retry_delay_ms;
  int64_t chosen_ms; /* last instant at which it was chosen */
  int64_t trying_since_ms;
  uint64_t rank; /* rendezvous weight between both entries */
} peer_entry_t;

struct member
{
  char *self_id;
  char *self_entry;
  char *self_zone;
  int64_t self_incarnation;
  uint32_t remote_peers;
  const member_actions_t *actions;
  void *context;
  const clk_t *clock;
  GRand *random;
  GHashTable *entries; /* id -> peer_entry_t */
  uint64_t version;
};

static void
entry_free (gpointer data)
{
  peer_entry_t *one = data;
  g_free (one->id);
  g_free (one->zone);
  g_free (one->address);
  g_free (one->entry);
  g_free (one);
}

static char *
entry_name (const char *id, int64_t incarnation)
{
  return g_strdup_printf ("%s@%" G_GINT64_FORMAT, id, incarnation);
}

bool
member_parse (const char *entry, char **id, int64_t *incarnation)
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

member_t *
member_new (const char *self_id, int64_t self_incarnation,
            const char *self_zone, uint32_t remote_peers,
            const member_actions_t *actions, void *context, const clk_t *clock,
            uint32_t seed)
{
  member_t *member = g_new0 (member_t, 1);
  member->self_id = g_strdup (self_id);
  member->self_entry = entry_name (self_id, self_incarnation);
  member->self_zone = g_strdup (self_zone);
  member->self_incarnation = self_incarnation;
  member->remote_peers = remote_peers;
  member->actions = actions;
  member->context = context;
  member->clock = clock;
  member->random = g_rand_new_with_seed (seed);
  member->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, entry_free);
  return member;
}

void
member_free (member_t *member)
{
  if (member == NULL)
    return;
  g_hash_table_unref (member->entries);
  g_rand_free (member->random);
  g_free (member->self_id);
  g_free (member->self_entry);
  g_free (member->self_zone);
  g_free (member);
}

/* The same on both sides, so that entries of two zones tend to choose each
   other and share one connection.  */
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
find_or_add (member_t *member, const char *id, const char *zone)
{
  peer_entry_t *one = g_hash_table_lookup (member->entries, id);
  if (one == NULL)
    {
      one = g_new0 (peer_entry_t, 1);
      one->id = g_strdup (id);
      one->known_ms = clk_now_ms (member->clock);
      one->chosen_ms = one->known_ms;
      one->rank = pair_rank (member->self_id, id);
      g_hash_table_insert (member->entries, one->id, one);
    }
  if (g_strcmp0 (one->zone, zone) != 0)
    {
      g_free (one->zone);
      one->zone = g_strdup (zone);
    }
  return one;
}

/* Looks an entry up by "ID@INCARNATION"; NULL unless it is the newest.  */
static peer_entry_t *
find_process (const member_t *member, const char *entry)
{
  char *id;
  int64_t incarnation;
  if (!member_parse (entry, &id, &incarnation))
    return NULL;
  peer_entry_t *one = g_hash_table_lookup (member->entries, id);
  g_free (id);
  return one != NULL && one->entry != NULL && one->incarnation == incarnation
             ? one
             : NULL;
}

/* Whether nothing was heard from ONE for as long as the list may lag.  */
static bool
is_silent_for_lag (const member_t *member, const peer_entry_t *one)
{
  return !one->connected
         && clk_now_ms (member->clock) - MAX (one->heard_ms, one->known_ms)
                >= LIST_LAG_MS;
}

static bool
is_gone (const member_t *member, const peer_entry_t *one)
{
  /* A frame that is newer than the list's lag outweighs the list: the id may
     already belong to a new process that the list does not show yet.  */
  return one->listed_gone
         && (one->heard_ms == 0 || is_silent_for_lag (member, one));
}

void
member_listed (member_t *member, const char *id, const char *zone,
               const char *address, bool leaving, bool gone)
{
  if (strcmp (id, member->self_id) == 0)
    return;
  peer_entry_t *one = find_or_add (member, id, zone);
  if (address != NULL && g_strcmp0 (one->address, address) != 0)
    {
      g_free (one->address);
      one->address = g_strdup (address);
      one->retry_ms = 0;
      one->retry_delay_ms = 0;
    }
  one->listed_leaving = leaving;
  one->listed_gone = gone;
  member->version++;
}

static void
set_down (member_t *member, peer_entry_t *one)
{
  if (!one->connected)
    return;
  one->connected = false;
  member->version++;
  member->actions->down (member->context, one->entry);
}

member_verdict_t
member_hello (member_t *member, const char *id, int64_t incarnation,
              const char *zone, bool dialed)
{
  if (strcmp (id, member->self_id) == 0)
    return MEMBER_REFUSE_SELF;
  peer_entry_t *one = find_or_add (member, id, zone);
  int64_t now_ms = clk_now_ms (member->clock);
  member_verdict_t verdict = MEMBER_ACCEPT;
  if (one->entry != NULL && incarnation < one->incarnation)
    return MEMBER_REFUSE_LOWER;
  if (one->connected && incarnation == one->incarnation)
    {
      /* Both sides connected at once: the connection made by the lower id
         stays.  A second one of the same direction replaces the first, whose
         other end must have given it up.  */
      bool by_lower = dialed == (strcmp (member->self_id, id) < 0);
      if (dialed != one->dialed && !by_lower)
        {
          one->connecting = false;
          return MEMBER_REFUSE_SECOND;
        }
      verdict = MEMBER_REPLACE;
      member->actions->disconnect (member->context, one->entry, "replaced");
    }
  else if (one->connected)
    {
      member->actions->disconnect (member->context, one->entry,
                                   "newer_incarnation");
      set_down (member, one);
    }
  if (one->entry == NULL || incarnation != one->incarnation)
    {
      g_free (one->entry);
      one->entry = entry_name (id, incarnation);
      one->incarnation = incarnation;
      one->leaving = false;
    }
  bool was_connected = one->connected;
  one->connected = true;
  one->dialed = dialed;
  one->connecting = false;
  one->heard_ms = now_ms;
  one->retry_delay_ms = 0;
  one->trying_since_ms = 0;
  member->version++;
  if (!was_connected)
    member->actions->up (member->context, one->entry, one->zone);
  return verdict;
}

void
member_heard (member_t *member, const char *entry)
{
  peer_entry_t *one = find_process (member, entry);
  if (one != NULL)
    one->heard_ms = clk_now_ms (member->clock);
}

static void
plan_retry (member_t *member, peer_entry_t *one)
{
  int64_t now_ms = clk_now_ms (member->clock);
  one->retry_delay_ms = one->retry_delay_ms == 0
                            ? FIRST_RETRY_MS
                            : MIN (one->retry_delay_ms * 2, MAX_RETRY_MS);
  one->retry_ms
      = now_ms
        + (int64_t)((double)one->retry_delay_ms
                    * g_rand_double_range (member->random, 0.5, 1.5));
}

void
member_closed (member_t *member, const char *entry)
{
  peer_entry_t *one = find_process (member, entry);
  if (one == NULL)
    return;
  set_down (member, one);
  plan_retry (member, one);
}

void
member_connect_failed (member_t *member, const char *id)
{
  peer_entry_t *one = g_hash_table_lookup (member->entries, id);
  if (one == NULL || !one->connecting)
    return;
  one->connecting = false;
  plan_retry (member, one);
}

void
member_leaving (member_t *member, const char *entry)
{
  peer_entry_t *one = find_process (member, entry);
  if (one != NULL)
    one->leaving = true;
  member->version++;
}

static void
try_connect (member_t *member, peer_entry_t *one, int64_t now_ms)
{
  if (one->connecting && now_ms - one->attempt_ms >= CONNECT_LIMIT_MS)
    {
      one->connecting = false;
      plan_retry (member, one);
    }
  if (one->connected || one->connecting || one->address == NULL
      || now_ms < one->retry_ms)
    return;
  if (one->trying_since_ms == 0)
    one->trying_since_ms = now_ms;
  one->connecting = true;
  one->attempt_ms = now_ms;
  member->actions->connect (member->context, one->id, one->address);
}

static gint
by_rank (gconstpointer a, gconstpointer b)
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

/* Chooses K entries of every other zone; those that do not answer stay chosen
   but get substitutes.  */
static void
choose_remote (member_t *member, GPtrArray *remote, int64_t now_ms)
{
  g_ptr_array_sort (remote, by_rank);
  const char *zone = NULL;
  uint32_t chosen = 0;
  for (guint i = 0; i < remote->len; i++)
    {
      peer_entry_t *one = g_ptr_array_index (remote, i);
      if (g_strcmp0 (zone, one->zone) != 0)
        {
          zone = one->zone;
          chosen = 0;
        }
      if (chosen >= member->remote_peers)
        {
          if (one->connected && one->dialed
              && now_ms - one->chosen_ms >= UNCHOSEN_KEEP_MS)
            {
              member->actions->disconnect (member->context, one->entry,
                                           "not_chosen");
              set_down (member, one);
            }
          continue;
        }
      one->chosen_ms = now_ms;
      try_connect (member, one, now_ms);
      bool failing = !one->connected && one->trying_since_ms != 0
                     && now_ms - one->trying_since_ms >= SUBSTITUTE_AFTER_MS;
      if (!failing)
        chosen++;
    }
}

static bool
is_wanted (const member_t *member, const peer_entry_t *one)
{
  return !is_gone (member, one) && !one->leaving;
}

static void
drop_if_silent (member_t *member, peer_entry_t *one, int64_t now_ms)
{
  if (!one->connected || now_ms - one->heard_ms < SILENCE_LIMIT_MS)
    return;
  member->actions->disconnect (member->context, one->entry, "silent");
  set_down (member, one);
  one->retry_ms = 0;
}

void
member_tick (member_t *member)
{
  int64_t now_ms = clk_now_ms (member->clock);
  GPtrArray *remote = g_ptr_array_new ();
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, member->entries);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      peer_entry_t *one = value;
      drop_if_silent (member, one, now_ms);
      if (one->listed_gone && !one->connected
          && now_ms - MAX (one->heard_ms, one->known_ms) > FORGET_AFTER_MS
          && one->entry == NULL)
        {
          g_hash_table_iter_remove (&iterator);
          continue;
        }
      /* A restarted process of that id may listen again.  */
      if (one->leaving && !one->connected
          && now_ms - one->heard_ms >= LEFT_RETRY_MS)
        one->leaving = false;
      if (!is_wanted (member, one))
        continue;
      if (g_strcmp0 (one->zone, member->self_zone) != 0)
        {
          g_ptr_array_add (remote, one);
          continue;
        }
      bool first = strcmp (member->self_id, one->id) < 0;
      if (first || one->connecting
          || now_ms - MAX (one->known_ms, one->heard_ms) >= HIGHER_ID_WAIT_MS)
        try_connect (member, one, now_ms);
    }
  choose_remote (member, remote, now_ms);
  g_ptr_array_unref (remote);
}

bool
member_is_gone (const member_t *member, const char *entry)
{
  char *id;
  int64_t incarnation;
  if (!member_parse (entry, &id, &incarnation))
    return false;
  bool gone = false;
  /* This process holds the port, so an older one of its id has left it.  */
  if (strcmp (id, member->self_id) == 0)
    gone = incarnation < member->self_incarnation;
  else
    {
      const peer_entry_t *one = g_hash_table_lookup (member->entries, id);
      if (one != NULL)
        gone = (one->entry != NULL && incarnation < one->incarnation)
               || is_gone (member, one);
    }
  g_free (id);
  return gone;
}

static member_state_t
state_of (const member_t *member, const peer_entry_t *one)
{
  if (is_gone (member, one))
    return MEMBER_GONE;
  if (one->connected)
    return one->leaving || one->listed_leaving ? MEMBER_LEAVING : MEMBER_LIVE;
  return one->entry != NULL ? MEMBER_SUSPECT : MEMBER_KNOWN;
}

member_state_t
member_state (const member_t *member, const char *id)
{
  const peer_entry_t *one = g_hash_table_lookup (member->entries, id);
  return one != NULL ? state_of (member, one) : MEMBER_GONE;
}

static gint
by_name (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

void
member_live (const member_t *member, const char *zone, GPtrArray *out)
{
  GHashTableIter iterator;
  gpointer value;
  if (zone == NULL || strcmp (zone, member->self_zone) == 0)
    g_ptr_array_add (out, g_strdup (member->self_entry));
  g_hash_table_iter_init (&iterator, member->entries);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const peer_entry_t *one = value;
      if ((zone == NULL || g_strcmp0 (one->zone, zone) == 0)
          && state_of (member, one) == MEMBER_LIVE)
        g_ptr_array_add (out, g_strdup (one->entry));
    }
  g_ptr_array_sort (out, by_name);
}

uint64_t
member_version (const member_t *member)
{
  return member->version;
}
