#include "cell_internal.h"

/* NAME
     cell_room - which workers have room for a step, in one pass

   Room only shrinks during a pass.  So for each label, and each need rounded
   down to powers of two, a list of the workers with that much room is made
   when a step first asks for it; a worker without the room any more leaves the
   list for the rest of the pass.  Kept room is no room, but for a step to
   which it is open.  A step that fits nowhere then looks at few workers or
   none, instead of at all.  */

struct room_list
{
  const char *label; /* NULL: any worker; borrowed from a step */
  resource_t floor;
  bool soon;
  GPtrArray *workers; /* cell_worker_t, in the order of worker_list */
};

static guint
room_list_hash (gconstpointer key)
{
  const room_list_t *list = key;
  guint hash = list->label != NULL ? g_str_hash (list->label) : 0;
  hash = hash * 31 + (guint)list->floor.cpu_millis;
  hash = hash * 31 + (guint)list->floor.memory_mib;
  hash = hash * 31 + (guint)list->floor.accelerators;
  return hash * 2 + list->soon;
}

static gboolean
room_list_equal (gconstpointer a, gconstpointer b)
{
  const room_list_t *left = a;
  const room_list_t *right = b;
  return left->soon == right->soon
         && left->floor.cpu_millis == right->floor.cpu_millis
         && left->floor.memory_mib == right->floor.memory_mib
         && left->floor.accelerators == right->floor.accelerators
         && g_strcmp0 (left->label, right->label) == 0;
}

static void
room_list_free (void *data)
{
  room_list_t *list = data;
  g_ptr_array_unref (list->workers);
  g_free (list);
}

GHashTable *
cell_room_lists_new (void)
{
  return g_hash_table_new_full (room_list_hash, room_list_equal,
                                room_list_free, NULL);
}

resource_t
cell_room_now (const cell_worker_t *worker)
{
  resource_t room = resource_sub (worker->capacity, worker->used);
  return worker->kept_room_open ? room : resource_sub (room, worker->reserved);
}

resource_t
cell_room_soon (const cell_worker_t *worker)
{
  resource_t room = resource_sub (worker->free_soon, worker->expected_use);
  return worker->kept_room_open ? room : resource_sub (room, worker->reserved);
}

static resource_t
room_of (const cell_worker_t *worker, bool soon)
{
  return soon ? cell_room_soon (worker) : cell_room_now (worker);
}

static int64_t
round_down (int64_t amount)
{
  int64_t rounded = 1;
  if (amount <= 0)
    return amount;
  while (rounded <= amount / 2)
    rounded *= 2;
  return rounded;
}

static room_list_t *
find_list (cell_t *cell, const room_list_t *key)
{
  return g_hash_table_lookup (cell->room_lists, key);
}

static room_list_t *
add_list (cell_t *cell, const room_list_t *key)
{
  room_list_t *list = g_new (room_list_t, 1);
  *list = *key;
  list->workers = g_ptr_array_new ();
  g_hash_table_add (cell->room_lists, list);
  return list;
}

const GPtrArray *
cell_workers_with_label (cell_t *cell, const char *label)
{
  /* A list without a floor: of all workers, full or not.  */
  room_list_t key
      = { .label = label, .floor = { INT64_MIN, INT64_MIN, INT64_MIN } };
  if (label == NULL)
    return cell->worker_list;
  room_list_t *list = find_list (cell, &key);
  if (list != NULL)
    return list->workers;
  list = add_list (cell, &key);
  cell->pass_stats.workers_looked_at += cell->worker_list->len;
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      cell_worker_t *worker = cell->worker_list->pdata[i];
      if (g_hash_table_contains (worker->labels, label))
        g_ptr_array_add (list->workers, worker);
    }
  return list->workers;
}

static room_list_t *
list_for (cell_t *cell, const cell_group_t *group, bool soon)
{
  resource_t need = cell_task_need (group->spec);
  room_list_t key = { .label = group->spec->label,
                      .floor = { round_down (need.cpu_millis),
                                 round_down (need.memory_mib),
                                 round_down (need.accelerators) },
                      .soon = soon };
  room_list_t *list = find_list (cell, &key);
  if (list != NULL)
    return list;
  const GPtrArray *all = cell_workers_with_label (cell, key.label);
  list = add_list (cell, &key);
  cell->pass_stats.workers_looked_at += all->len;
  for (guint i = 0; i < all->len; i++)
    if (resource_fits (key.floor, room_of (all->pdata[i], soon)))
      g_ptr_array_add (list->workers, all->pdata[i]);
  return list;
}

void
cell_find_room (cell_t *cell, const cell_group_t *group, bool soon,
                GPtrArray *found)
{
  room_list_t *list = list_for (cell, group, soon);
  resource_t need = cell_task_need (group->spec);
  guint kept = 0;
  cell->pass_stats.workers_looked_at += list->workers->len;
  for (guint i = 0; i < list->workers->len; i++)
    {
      cell_worker_t *worker = list->workers->pdata[i];
      resource_t room = room_of (worker, soon);
      if (!resource_fits (list->floor, room))
        continue;
      list->workers->pdata[kept++] = worker;
      if (resource_fits (need, room))
        g_ptr_array_add (found, worker);
    }
  g_ptr_array_set_size (list->workers, (gint)kept);
  for (guint i = 0; i < cell->kept_workers->len; i++)
    {
      cell_worker_t *worker = cell->kept_workers->pdata[i];
      if (worker->kept_room_open
          && resource_fits (need, room_of (worker, soon))
          && !g_ptr_array_find (found, worker, NULL))
        g_ptr_array_add (found, worker);
    }
}
