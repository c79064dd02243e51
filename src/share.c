#include "share_internal.h"

#include <string.h>

static void
member_free (gpointer data)
{
  share_member_t *member = data;
  g_free (member->name);
  g_array_unref (member->totals);
  g_array_unref (member->dirty_processes);
  g_hash_table_unref (member->statements);
  g_free (member);
}

share_t *
share_new (const char *self)
{
  share_t *share = g_new0 (share_t, 1);
  share->self = g_strdup (self);
  share->rules = (share_rules_t){ true, true };
  share->processes = g_array_new (FALSE, TRUE, sizeof (share_process_t));
  share->free_numbers = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  share->process_numbers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  share->row_process_numbers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  share->members = g_ptr_array_new_with_free_func (member_free);
  share->member_numbers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  share->message_items
      = g_array_new (FALSE, FALSE, sizeof (dispatch_ledger_item_t));
  return share;
}

void
share_free (share_t *share)
{
  if (share == NULL)
    return;
  for (guint i = 0; i < share->processes->len; i++)
    g_free (share_process_at (share, i)->key);
  g_array_unref (share->processes);
  g_array_unref (share->free_numbers);
  g_hash_table_unref (share->process_numbers);
  g_hash_table_unref (share->row_process_numbers);
  g_ptr_array_unref (share->members);
  g_hash_table_unref (share->member_numbers);
  g_array_unref (share->message_items);
  json_decref (share->row);
  g_free (share->self);
  g_free (share);
}

void
share_set_rules (share_t *share, share_rules_t rules)
{
  share->rules = rules;
}

void
share_require_row (share_t *share)
{
  share->row_required = true;
  for (guint i = 0; i < share->processes->len; i++)
    share_recompute_slots (share, i);
}

uint32_t
share_ensure_process (share_t *share, const char *key)
{
  uint32_t process = share_lookup_number (share->process_numbers, key);
  if (process != SHARE_NONE)
    return process;
  process = share->processes->len;
  if (share->free_numbers->len > 0)
    {
      process = g_array_index (share->free_numbers, uint32_t,
                               share->free_numbers->len - 1);
      g_array_set_size (share->free_numbers, share->free_numbers->len - 1);
    }
  else
    g_array_set_size (share->processes, process + 1);
  share_process_t *added = share_process_at (share, process);
  *added = (share_process_t){ .key = g_strdup (key) };
  share_insert_number (share->process_numbers, added->key, process);
  return process;
}

uint32_t
share_resolve_process (share_t *share, const char *id, int64_t incarnation)
{
  uint32_t in_row = share_lookup_number (share->row_process_numbers, id);
  if (in_row != SHARE_NONE)
    return in_row;
  char *key = g_strdup_printf ("%s@%" G_GINT64_FORMAT, id, incarnation);
  uint32_t process = share_ensure_process (share, key);
  g_free (key);
  return process;
}

void
share_process_listed (share_t *share, uint32_t process, uint32_t limit,
                      int64_t now_ms)
{
  share_process_t *record = share_process_at (share, process);
  if (record->dropped)
    return;
  if (!record->listed)
    record->differs_since_ms = now_ms;
  record->listed = true;
  record->gone = false;
  record->listed_limit = limit;
  if (!record->in_row)
    record->limit = limit;
  share_recompute_slots (share, process);
}

void
share_reset_totals (share_t *share, uint32_t process)
{
  for (guint i = 0; i < share->members->len; i++)
    {
      share_member_t *member = share_member_at (share, i);
      if (process >= member->totals->len)
        continue;
      share_totals_t *totals = share_totals (member, process);
      if (totals->given > totals->confirmed)
        member->unconfirmed--;
      /* DIRTY stays, as PROCESS stays in the list of dirty processes.  */
      *totals = (share_totals_t){ .dirty = totals->dirty };
    }
}

void
share_release_number (share_t *share, uint32_t process)
{
  share_process_t *record = share_process_at (share, process);
  g_hash_table_remove (share->process_numbers, record->key);
  g_free (record->key);
  *record = (share_process_t){ 0 };
  g_array_append_val (share->free_numbers, process);
}

void
share_process_gone (share_t *share, uint32_t process, int64_t now_ms)
{
  share_process_t *record = share_process_at (share, process);
  if (!record->in_row)
    {
      share_reset_totals (share, process);
      share_release_number (share, process);
      return;
    }
  if (!record->gone)
    record->differs_since_ms = now_ms;
  record->gone = true;
  record->listed = false;
}

uint32_t
share_process_count (const share_t *share)
{
  return share->processes->len;
}

int32_t
share_slots (const share_t *share, uint32_t process)
{
  return share_process_at (share, process)->slots;
}

void
share_set_in_use (share_t *share, uint32_t process, uint32_t in_use)
{
  share_process_at (share, process)->in_use = in_use;
}

uint32_t
share_limit (const share_t *share, uint32_t process)
{
  return share_process_at (share, process)->limit;
}

share_totals_t *
share_totals (share_member_t *member, uint32_t process)
{
  if (process >= member->totals->len)
    g_array_set_size (member->totals, process + 1);
  return &g_array_index (member->totals, share_totals_t, process);
}

void
share_recompute_slots (share_t *share, uint32_t process)
{
  share_process_t *record = share_process_at (share, process);
  if (!share->row_required && !share->row_loaded)
    {
      record->slots = (int32_t)record->limit;
      return;
    }
  if (!share_is_member (share) || record->drop_proposed)
    {
      record->slots = 0;
      return;
    }
  int64_t slots = record->base + record->undeducted - record->withheld;
  for (guint i = 0; i < share->members->len; i++)
    {
      const share_member_t *member = share_member_at (share, i);
      if (process >= member->totals->len)
        continue;
      const share_totals_t *totals
          = &g_array_index (member->totals, share_totals_t, process);
      slots += (int64_t)totals->learned - (int64_t)totals->given;
    }
  record->slots = (int32_t)slots;
}

uint32_t
share_ensure_member (share_t *share, const char *name)
{
  uint32_t number = share_lookup_number (share->member_numbers, name);
  if (number != SHARE_NONE)
    return number;
  share_member_t *member = g_new0 (share_member_t, 1);
  member->name = g_strdup (name);
  member->totals = g_array_new (FALSE, TRUE, sizeof (share_totals_t));
  member->dirty_processes = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  member->statements = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                              (GDestroyNotify)g_array_unref);
  g_ptr_array_add (share->members, member);
  number = share->members->len - 1;
  share_insert_number (share->member_numbers, member->name, number);
  return number;
}

bool
share_may_give (const share_t *share, uint32_t member)
{
  const share_member_t *to = share_member_at (share, member);
  return share_is_member (share) && to->in_row && !to->closed && !to->gone;
}

static void
mark_for_sending (share_member_t *member, share_totals_t *totals,
                  uint32_t process)
{
  if (!totals->dirty)
    g_array_append_val (member->dirty_processes, process);
  totals->dirty = true;
}

void
share_give (share_t *share, uint32_t member, uint32_t process, uint32_t count)
{
  share_member_t *to = share_member_at (share, member);
  share_process_t *record = share_process_at (share, process);
  share_totals_t *totals = share_totals (to, process);
  if (totals->given == totals->confirmed)
    to->unconfirmed++;
  totals->given += count;
  if (share->rules.deduct_before_send)
    record->slots -= (int32_t)count;
  else
    record->undeducted += (int32_t)count;
  mark_for_sending (to, totals, process);
}

void
share_apply_late_deductions (share_t *share)
{
  if (share->rules.deduct_before_send)
    return;
  for (guint i = 0; i < share->processes->len; i++)
    {
      share_process_t *process = share_process_at (share, i);
      if (process->undeducted == 0)
        continue;
      process->slots -= process->undeducted;
      process->undeducted = 0;
    }
}

uint32_t
share_receive (share_t *share, uint32_t member,
               const dispatch_ledger_item_t *item)
{
  share_member_t *from = share_member_at (share, member);
  if (from->closed)
    return SHARE_NONE;
  if (share->row_loaded && !from->in_row)
    share->row_outdated = true;
  uint32_t process = share_ensure_process (share, item->process_key);
  share_totals_t *totals = share_totals (from, process);
  uint64_t confirmed = MIN (item->learned, totals->given);
  if (confirmed > totals->confirmed)
    {
      totals->confirmed = confirmed;
      if (confirmed == totals->given)
        from->unconfirmed--;
    }
  if (item->confirm)
    mark_for_sending (from, totals, process);
  if (item->given <= totals->learned)
    return SHARE_NONE;
  totals->learned = item->given;
  share_recompute_slots (share, process);
  return process;
}

bool
share_has_message (const share_t *share, uint32_t member)
{
  return share_member_at (share, member)->dirty_processes->len > 0;
}

const dispatch_ledger_item_t *
share_build_message (share_t *share, uint32_t member, bool resend,
                     uint32_t *count)
{
  share_member_t *to = share_member_at (share, member);
  if (resend && to->unconfirmed > 0)
    for (guint i = 0; i < to->totals->len; i++)
      {
        share_totals_t *totals
            = &g_array_index (to->totals, share_totals_t, i);
        if (totals->given > totals->confirmed)
          mark_for_sending (to, totals, i);
      }
  g_array_set_size (share->message_items, 0);
  for (guint i = 0; i < to->dirty_processes->len; i++)
    {
      uint32_t process = g_array_index (to->dirty_processes, uint32_t, i);
      share_totals_t *totals = share_totals (to, process);
      totals->dirty = false;
      /* The process may have been dropped after it was marked.  */
      if (share_process_at (share, process)->key == NULL || to->closed)
        continue;
      dispatch_ledger_item_t item
          = { share_process_at (share, process)->key, totals->given,
              totals->learned, totals->given > totals->confirmed };
      g_array_append_val (share->message_items, item);
    }
  g_array_set_size (to->dirty_processes, 0);
  *count = share->message_items->len;
  return (const dispatch_ledger_item_t *)(void *)share->message_items->data;
}

bool
share_all_confirmed (const share_t *share, uint32_t member)
{
  return share_member_at (share, member)->unconfirmed == 0;
}
