#include "quota.h"

#include <string.h>

/* A team without a quota is treated as if its quota were the zone's capacity
   divided by this.  */
#define DEFAULT_QUOTAS_PER_ZONE 50

static void
team_clear (gpointer data)
{
  quota_team_t *team = data;
  g_free (team->name);
}

void
quota_init (quota_t *quota)
{
  static const uint32_t percent[CLASS_COUNT] = { 50, 35, 15 };
  memset (quota, 0, sizeof *quota);
  quota->teams = g_array_new (FALSE, TRUE, sizeof (quota_team_t));
  g_array_set_clear_func (quota->teams, team_clear);
  quota->index_by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  memcpy (quota->guaranteed_percent, percent, sizeof percent);
}

void
quota_clear (quota_t *quota)
{
  g_array_unref (quota->teams);
  g_hash_table_unref (quota->index_by_name);
}

uint16_t
quota_team_index (quota_t *quota, const char *name)
{
  gpointer index;
  if (g_hash_table_lookup_extended (quota->index_by_name, name, NULL, &index))
    return (uint16_t)GPOINTER_TO_UINT (index);
  /* All further teams share the last index.  */
  if (quota->teams->len == UINT16_MAX)
    return UINT16_MAX - 1;
  quota_team_t team = { .name = g_strdup (name) };
  g_array_append_val (quota->teams, team);
  g_hash_table_insert (quota->index_by_name, g_strdup (name),
                       GUINT_TO_POINTER (quota->teams->len - 1));
  return (uint16_t)(quota->teams->len - 1);
}

void
quota_reset_usage (quota_t *quota)
{
  memset (quota->class_used, 0, sizeof quota->class_used);
  for (guint i = 0; i < quota->teams->len; i++)
    memset (&quota_team_at (quota, (uint16_t)i)->used, 0, sizeof (resource_t));
}

void
quota_add_usage (quota_t *quota, uint16_t team, class_t class, resource_t size,
                 int64_t tasks)
{
  resource_t all = { size.cpu_millis * tasks, size.memory_mib * tasks,
                     size.accelerators * tasks };
  quota_team_t *record = quota_team_at (quota, team);
  record->used = resource_add (record->used, all);
  quota->class_used[class] = resource_add (quota->class_used[class], all);
}

double
quota_team_share (const quota_t *quota, uint16_t team, resource_t total)
{
  const quota_team_t *record = quota_team_at (quota, team);
  if (record->quota.cpu_millis > 0 || record->quota.memory_mib > 0
      || record->quota.accelerators > 0)
    return resource_dominant_share (record->used, record->quota);
  return resource_dominant_share (record->used, total)
         * DEFAULT_QUOTAS_PER_ZONE;
}

static double
used_part_of_share (const quota_t *quota, class_t class, resource_t used,
                    resource_t total)
{
  return resource_dominant_share (used, total) * 100.0
         / (double)MAX (quota->guaranteed_percent[class], 1);
}

double
quota_class_share (const quota_t *quota, class_t class, resource_t total)
{
  return used_part_of_share (quota, class, quota->class_used[class], total);
}

class_t
quota_next_class (const quota_t *quota, const bool waiting[CLASS_COUNT],
                  resource_t total)
{
  class_t next = CLASS_COUNT;
  double lowest = 1.0;
  for (class_t class = 0; class < CLASS_COUNT; class ++)
    {
      double share = quota_class_share (quota, class, total);
      if (waiting[class] && share < lowest)
        {
          next = class;
          lowest = share;
        }
    }
  for (class_t class = 0; next == CLASS_COUNT && class < CLASS_COUNT; class ++)
    if (waiting[class])
      next = class;
  return next;
}

bool
quota_may_preempt (const quota_t *quota, class_t class, resource_t size,
                   class_t victim, resource_t victim_size, resource_t total)
{
  if (class == victim)
    return false;
  resource_t left = resource_sub (quota->class_used[victim], victim_size);
  if (used_part_of_share (quota, victim, left, total) < 1.0)
    return false;
  resource_t with = resource_add (quota->class_used[class], size);
  return class < victim
         || used_part_of_share (quota, class, with, total) <= 1.0;
}
