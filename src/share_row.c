#include "share_internal.h"

#include <string.h>
#include <xxhash.h>

/* Longest request deadline plus 2 s: for that long a request of a dead entry
   can still run at a backend server.  */
#define RETIRE_AFTER_MS 62000
/* Delay between the entries that could make the same change of the row, in
   their rendezvous order: each makes it only if those before it did not.  */
#define RANK_DELAY_MS 2000
/* Longer than a new configuration takes to reach all entries, so that an entry
   with the old one does not raise a limit again that was just lowered.  */
#define RAISE_AFTER_MS 10000

int64_t
share_version (const share_t *share)
{
  return share->version;
}

json_t *
share_row (const share_t *share)
{
  return share->row;
}

bool
share_is_member (const share_t *share)
{
  return share->was_member && !share->dropped_from_row;
}

/* Returns the backend server id in KEY ("ID@INCARNATION") as a new string.  */
static char *
backend_id_of_key (const char *key)
{
  const char *at = strrchr (key, '@');
  return at != NULL ? g_strndup (key, (gsize)(at - key)) : g_strdup (key);
}

static json_t *
row_members (const json_t *row)
{
  return json_object_get (row, "members");
}

static bool
all_integers (json_t *object)
{
  const char *key;
  json_t *value;
  if (!json_is_object (object))
    return false;
  json_object_foreach (object, key, value)
  {
    if (!json_is_integer (value))
      return false;
  }
  return true;
}

static bool
row_is_valid (const json_t *row)
{
  const char *name;
  json_t *bases;
  if (!json_is_object (row_members (row))
      || !all_integers (json_object_get (row, "limits")))
    return false;
  json_object_foreach (row_members (row), name, bases)
  {
    if (!all_integers (bases))
      return false;
  }
  return true;
}

static void
remove_dropped_process (share_t *share, uint32_t process)
{
  share_process_t *record = share_process_at (share, process);
  share_reset_totals (share, process);
  record->base = 0;
  record->gone = false;
  /* Another entry has found it gone, which is final.  The instance list known
     here still shows it, so its key must be kept from being added again.  */
  if (record->listed)
    {
      record->listed = false;
      record->dropped = true;
      return;
    }
  share_release_number (share, process);
}

/* Resets the totals with MEMBER, which the row does not name, if it is closed:
   it was retired with this entry's statement and the new base includes the
   transfers between the two.  A member that is not closed joined later than
   this row and keeps its totals.  */
static void
clear_dropped_member (share_member_t *member)
{
  if (!member->closed)
    return;
  g_array_set_size (member->totals, 0);
  g_array_set_size (member->dirty_processes, 0);
  member->unconfirmed = 0;
  g_hash_table_remove_all (member->statements);
}

static void
load_processes (share_t *share, const json_t *row, int64_t now_ms)
{
  const char *key;
  json_t *value;
  bool *was_in_row = g_new0 (bool, share->processes->len + 1);
  guint known_count = share->processes->len;
  for (guint i = 0; i < known_count; i++)
    {
      was_in_row[i] = share_process_at (share, i)->in_row;
      share_process_at (share, i)->in_row = false;
      share_process_at (share, i)->base = 0;
      share_process_at (share, i)->drop_proposed = false;
      share_process_at (share, i)->withheld = 0;
    }
  g_hash_table_remove_all (share->row_process_numbers);
  json_object_foreach (json_object_get (row, "limits"), key, value)
  {
    uint32_t number = share_ensure_process (share, key);
    share_process_t *process = share_process_at (share, number);
    share_insert_number (share->row_process_numbers, backend_id_of_key (key),
                         number);
    process->in_row = true;
    process->limit = (uint32_t)json_integer_value (value);
  }
  for (guint i = 0; i < known_count; i++)
    if (was_in_row[i] && !share_process_at (share, i)->in_row)
      {
        share_process_at (share, i)->differs_since_ms = now_ms;
        remove_dropped_process (share, i);
      }
  g_free (was_in_row);
  json_object_foreach (json_object_get (row_members (row), share->self), key,
                       value)
  {
    share_process_at (share, share_ensure_process (share, key))->base
        = (int32_t)json_integer_value (value);
  }
}

err_kind_t
share_load (share_t *share, int64_t version, const json_t *value,
            int64_t now_ms)
{
  if (value != NULL && !row_is_valid (value))
    return ERR_BAD_REQUEST;
  if (share->row_loaded && version <= share->version)
    return ERR_OK;
  json_decref (share->row);
  share->row = value != NULL ? json_deep_copy (value) : NULL;
  share->version = version;
  share->row_loaded = true;
  share->row_outdated = false;

  const char *name;
  json_t *bases;
  for (guint i = 0; i < share->members->len; i++)
    share_member_at (share, i)->in_row = false;
  json_object_foreach (row_members (share->row), name, bases)
  {
    if (strcmp (name, share->self) != 0)
      share_member_at (share, share_ensure_member (share, name))->in_row
          = true;
  }
  for (guint i = 0; i < share->members->len; i++)
    if (!share_member_at (share, i)->in_row)
      clear_dropped_member (share_member_at (share, i));
  load_processes (share, share->row, now_ms);
  if (json_object_get (row_members (share->row), share->self) != NULL)
    share->was_member = true;
  else if (share->was_member)
    share->dropped_from_row = true;
  for (guint i = 0; i < share->processes->len; i++)
    share_recompute_slots (share, i);
  return ERR_OK;
}

uint32_t
share_live_member_count (const share_t *share)
{
  uint32_t count = 1;
  for (guint i = 0; i < share->members->len; i++)
    count += share_member_at (share, i)->in_row
             && !share_member_at (share, i)->gone;
  return count;
}

const char *
share_member_name (const share_t *share, uint32_t i)
{
  return i < share->members->len ? share_member_at (share, i)->name : NULL;
}

/* Returns how many live members come before this entry in the rendezvous order
   (by hash of name and KEY).  */
static uint32_t
rank_of_self (const share_t *share, const char *key)
{
  XXH64_hash_t seed = XXH3_64bits (key, strlen (key));
  XXH64_hash_t own
      = XXH3_64bits_withSeed (share->self, strlen (share->self), seed);
  uint32_t rank = 0;
  for (guint i = 0; i < share->members->len; i++)
    {
      const share_member_t *member = share_member_at (share, i);
      if (!member->in_row || member->gone)
        continue;
      XXH64_hash_t hash
          = XXH3_64bits_withSeed (member->name, strlen (member->name), seed);
      rank += hash > own;
    }
  return rank;
}

bool
share_process_awaits_drop (const share_t *share, uint32_t process)
{
  const share_process_t *record = share_process_at (share, process);
  return record->key != NULL && record->gone && record->in_row;
}

uint32_t
share_collector (const share_t *share, uint32_t process)
{
  const char *key = share_process_at (share, process)->key;
  XXH64_hash_t seed = XXH3_64bits (key, strlen (key));
  XXH64_hash_t best
      = XXH3_64bits_withSeed (share->self, strlen (share->self), seed);
  uint32_t collector = SHARE_NONE;
  for (guint i = 0; i < share->members->len; i++)
    {
      const share_member_t *member = share_member_at (share, i);
      XXH64_hash_t hash
          = XXH3_64bits_withSeed (member->name, strlen (member->name), seed);
      if (!member->in_row || member->gone || hash <= best)
        continue;
      best = hash;
      collector = i;
    }
  return collector;
}

char *
share_process_id (const share_t *share, uint32_t process)
{
  return backend_id_of_key (share_process_at (share, process)->key);
}

/* Returns whether it is this entry's turn to make the change of the row that
   CHANGE identifies and that is due since SINCE_MS.  */
static bool
is_own_turn (const share_t *share, const char *change, int64_t since_ms,
             int64_t now_ms)
{
  return since_ms + rank_of_self (share, change) * RANK_DELAY_MS <= now_ms;
}

bool
share_needs_row_update (const share_t *share)
{
  if (!share->row_loaded || !share_is_member (share) || share->row_outdated)
    return true;
  for (guint i = 0; i < share->members->len; i++)
    if (share_member_at (share, i)->in_row && share_member_at (share, i)->gone)
      return true;
  for (guint i = 0; i < share->processes->len; i++)
    {
      const share_process_t *process = share_process_at (share, i);
      if (process->key != NULL
          && ((process->listed && !process->in_row)
              || (process->gone && process->in_row)
              || (process->listed && process->listed_limit != process->limit)
              || process->drop_proposed || process->withheld > 0))
        return true;
    }
  return false;
}

void
share_member_gone (share_t *share, uint32_t member, int64_t now_ms)
{
  share_member_t *record = share_member_at (share, member);
  if (record->gone)
    return;
  record->gone = true;
  record->gone_ms = now_ms;
}

GArray *
share_close_members (share_t *share, const char *const *names, uint32_t count)
{
  GArray *items = g_array_new (FALSE, FALSE, sizeof (dispatch_closing_item_t));
  for (uint32_t i = 0; i < count; i++)
    {
      share_member_t *member
          = share_member_at (share, share_ensure_member (share, names[i]));
      member->closed = true;
      for (guint p = 0; p < member->totals->len; p++)
        {
          const share_totals_t *totals
              = &g_array_index (member->totals, share_totals_t, p);
          if (totals->given == 0 && totals->learned == 0)
            continue;
          dispatch_closing_item_t item
              = { member->name, share_process_at (share, p)->key,
                  totals->given, totals->learned };
          g_array_append_val (items, item);
        }
    }
  return items;
}

static void
clear_net_transfer (gpointer data)
{
  g_free (((share_net_transfer_t *)data)->key);
}

void
share_receive_statement (share_t *share, uint32_t member,
                         const char *const *names, uint32_t count,
                         const dispatch_closing_item_t *items,
                         uint32_t item_count)
{
  share_member_t *from = share_member_at (share, member);
  for (uint32_t i = 0; i < count; i++)
    {
      GArray *nets = g_array_new (FALSE, FALSE, sizeof (share_net_transfer_t));
      g_array_set_clear_func (nets, clear_net_transfer);
      for (uint32_t k = 0; k < item_count; k++)
        {
          if (strcmp (items[k].member, names[i]) != 0)
            continue;
          share_net_transfer_t net
              = { g_strdup (items[k].process_key),
                  (int64_t)items[k].learned - (int64_t)items[k].given };
          g_array_append_val (nets, net);
        }
      g_hash_table_replace (from->statements, g_strdup (names[i]), nets);
    }
}

GPtrArray *
share_members_to_retire (share_t *share, int64_t now_ms)
{
  if (!share_is_member (share))
    return NULL;
  GPtrArray *names = g_ptr_array_new ();
  int64_t since_ms = 0;
  for (guint i = 0; i < share->members->len; i++)
    {
      share_member_t *member = share_member_at (share, i);
      if (!member->in_row || !member->gone)
        continue;
      g_ptr_array_add (names, member->name);
      since_ms = MAX (since_ms, member->gone_ms + RETIRE_AFTER_MS);
    }
  /* All gone members are retired together: transfers between two of them are
     unknown, but cancel out.  */
  if (names->len > 0 && is_own_turn (share, "retire", since_ms, now_ms))
    return names;
  g_ptr_array_unref (names);
  return NULL;
}

bool
share_statement_missing (const share_t *share, uint32_t i,
                         const GPtrArray *retiring)
{
  const share_member_t *member = share_member_at (share, i);
  if (!member->in_row || member->gone || !share->rules.wait_for_statements)
    return false;
  for (guint k = 0; k < retiring->len; k++)
    if (!g_hash_table_contains (member->statements,
                                g_ptr_array_index (retiring, k)))
      return true;
  return false;
}

static void
add_base (json_t *bases, const char *key, int64_t by)
{
  int64_t value = json_integer_value (json_object_get (bases, key)) + by;
  if (value == 0)
    json_object_del (bases, key);
  else
    json_object_set_new (bases, key, json_integer (value));
}

/* Removes the RETIRING members from ROW and adds to the base of each survivor
   the net transfers of its statements.  SUCCESSOR, one of the survivors, gets
   what the others leave of each limit.  */
static void
recompute_bases (share_t *share, json_t *row, const GPtrArray *retiring,
                 const char *successor)
{
  json_t *members = row_members (row);
  for (guint k = 0; k < retiring->len; k++)
    json_object_del (members, g_ptr_array_index (retiring, k));
  for (guint i = 0; i < share->members->len; i++)
    {
      share_member_t *member = share_member_at (share, i);
      json_t *bases = json_object_get (members, member->name);
      if (bases == NULL)
        continue;
      for (guint k = 0; k < retiring->len; k++)
        {
          const GArray *nets = g_hash_table_lookup (
              member->statements, g_ptr_array_index (retiring, k));
          for (guint n = 0; nets != NULL && n < nets->len; n++)
            {
              const share_net_transfer_t *net
                  = &g_array_index (nets, share_net_transfer_t, n);
              if (json_object_get (json_object_get (row, "limits"), net->key)
                  != NULL)
                add_base (bases, net->key, net->net_slots);
            }
        }
    }
  const char *key, *name;
  json_t *limit, *bases, *remainders = json_object ();
  json_object_foreach (json_object_get (row, "limits"), key, limit)
  {
    int64_t remainder = json_integer_value (limit);
    json_object_foreach (members, name, bases)
    {
      if (strcmp (name, successor) != 0)
        remainder -= json_integer_value (json_object_get (bases, key));
    }
    if (remainder != 0)
      json_object_set_new (remainders, key, json_integer (remainder));
  }
  json_object_set_new (members, successor, remainders);
}

GPtrArray *
share_self_to_retire (share_t *share)
{
  if (!share_is_member (share))
    return NULL;
  for (guint i = 0; i < share->members->len; i++)
    if (share_member_at (share, i)->in_row && share_member_at (share, i)->gone)
      return NULL;
  GPtrArray *names = g_ptr_array_new ();
  g_ptr_array_add (names, share->self);
  return names;
}

/* Takes this entry, which no longer uses any slot, out of ROW.  Returns
   whether ROW has changed.  If no other member is left, the next entry to join
   gets all slots.  */
static bool
remove_self (share_t *share, json_t *row)
{
  GPtrArray *leaving = share_self_to_retire (share);
  if (leaving == NULL)
    return false;
  const char *successor = NULL;
  bool all_received = true;
  for (guint i = 0; i < share->members->len; i++)
    {
      if (share_member_at (share, i)->in_row)
        successor = share_member_at (share, i)->name;
      if (share_statement_missing (share, i, leaving))
        all_received = false;
    }
  if (all_received && successor != NULL)
    recompute_bases (share, row, leaving, successor);
  else if (all_received)
    json_object_del (row_members (row), share->self);
  g_ptr_array_unref (leaving);
  return all_received;
}

static bool
retire_members (share_t *share, json_t *row, int64_t now_ms)
{
  GPtrArray *retiring = share_members_to_retire (share, now_ms);
  if (retiring == NULL)
    return false;
  bool all_received = true;
  for (guint i = 0; i < share->members->len; i++)
    if (share_statement_missing (share, i, retiring))
      all_received = false;
  if (all_received)
    {
      g_array_unref (share_close_members (
          share, (const char *const *)retiring->pdata, retiring->len));
      recompute_bases (share, row, retiring, share->self);
    }
  g_ptr_array_unref (retiring);
  return all_received;
}

/* Adjusts the limit of process NUMBER in ROW to the listed one: lowers it by
   those slots of this entry that can be cut, or raises it by new slots.
   Returns whether ROW has to be written.  */
static bool
adjust_limit (share_t *share, json_t *row, uint32_t number, int64_t now_ms)
{
  share_process_t *process = share_process_at (share, number);
  json_t *limits = json_object_get (row, "limits");
  json_t *own_bases = json_object_get (row_members (row), share->self);
  int64_t limit = process->limit, listed_limit = process->listed_limit;
  int64_t change = 0;
  if (listed_limit <= limit)
    process->raise_since_ms = 0;
  else if (process->raise_since_ms == 0)
    process->raise_since_ms = now_ms;
  else if (is_own_turn (share, process->key,
                        process->raise_since_ms + RAISE_AFTER_MS, now_ms))
    change = listed_limit - limit;
  if (listed_limit < limit)
    {
      int64_t slots = process->slots;
      int64_t kept = MAX ((slots + process->withheld) * listed_limit / limit,
                          (int64_t)process->in_use);
      int64_t cut
          = MIN (limit - process->withheld - listed_limit, slots - kept);
      process->withheld += (int32_t)MAX (cut, 0);
      share_recompute_slots (share, number);
      change = -process->withheld;
    }
  if (change != 0)
    {
      json_object_set_new (limits, process->key,
                           json_integer (limit + change));
      add_base (own_bases, process->key, change);
    }
  /* An unneeded cut is undone by writing the row unchanged: an earlier
     proposal with the cut then fails on its version.  */
  return change != 0 || process->withheld > 0;
}

static bool
update_processes (share_t *share, json_t *row, bool is_first_row,
                  int64_t now_ms)
{
  bool changed = false;
  json_t *limits = json_object_get (row, "limits");
  json_t *own_bases = json_object_get (row_members (row), share->self);
  for (guint i = 0; i < share->processes->len; i++)
    {
      share_process_t *process = share_process_at (share, i);
      if (process->key == NULL)
        continue;
      bool add = process->listed && !process->in_row && !process->dropped;
      bool drop = share_process_awaits_drop (share, i)
                  && share_collector (share, i) == SHARE_NONE
                  && (process->drop_proposed
                      || process->slots == (int32_t)process->limit);
      /* The process has returned.  The row is written all the same, so that an
         earlier proposal to drop it fails on its version.  */
      changed |= process->drop_proposed && !drop;
      if (process->listed && process->in_row)
        changed |= adjust_limit (share, row, i, now_ms);
      if ((!add && !drop)
          || (!is_first_row
              && !is_own_turn (share, process->key, process->differs_since_ms,
                               now_ms)))
        continue;
      changed = true;
      if (add)
        {
          json_object_set_new (limits, process->key,
                               json_integer (process->limit));
          json_object_set_new (own_bases, process->key,
                               json_integer (process->limit));
          continue;
        }
      const char *name;
      json_t *bases;
      process->drop_proposed = true;
      share_recompute_slots (share, i);
      json_object_del (limits, process->key);
      json_object_foreach (row_members (row), name, bases)
      {
        json_object_del (bases, process->key);
      }
    }
  return changed;
}

/* Returns the row of a zone without members: all slots are this entry's.  */
static json_t *
make_first_row (share_t *share, int64_t now_ms)
{
  json_t *limits
      = share->row != NULL
            ? json_deep_copy (json_object_get (share->row, "limits"))
            : json_object ();
  json_t *row = json_pack ("{s:{s:O}, s:o}", "members", share->self, limits,
                           "limits", json_deep_copy (limits));
  json_decref (limits);
  update_processes (share, row, true, now_ms);
  return row;
}

json_t *
share_propose (share_t *share, bool leave, int64_t now_ms, int64_t *version)
{
  if (!share->row_loaded || share->dropped_from_row)
    return NULL;
  *version = share->version;
  if (json_object_size (row_members (share->row)) == 0)
    return leave ? NULL : make_first_row (share, now_ms);
  /* Copying a large row is expensive, so it is done only if something may
     change.  */
  if (!leave && !share_needs_row_update (share))
    return NULL;
  json_t *row = json_deep_copy (share->row);
  json_t *members = row_members (row);
  bool changed = false;
  if (leave)
    changed = remove_self (share, row);
  else
    {
      if (!share_is_member (share))
        changed
            = json_object_set_new (members, share->self, json_object ()) == 0;
      changed |= update_processes (share, row, false, now_ms);
      changed |= retire_members (share, row, now_ms);
    }
  if (changed)
    return row;
  json_decref (row);
  return NULL;
}
