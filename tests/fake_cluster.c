#include "fake_worker.h"

#include <stdio.h>
#include <string.h>

#define MESSAGE_TIMEOUT_MS 2000

static bool
chance (fake_cluster_t *cluster, uint32_t percent)
{
  return (uint32_t)g_rand_int_range (cluster->random, 0, 100) < percent;
}

void
fake_cluster_violation (fake_cluster_t *cluster, const char *what,
                        const char *detail)
{
  if (cluster->violations++ == 0)
    g_snprintf (cluster->first_violation, sizeof cluster->first_violation,
                "%s: %s at %ld ms", what, detail,
                (long)fake_cluster_now (cluster));
}

static void
row_clear (gpointer data)
{
  sched_row_t *row = data;
  g_free ((char *)row->key);
  json_decref (row->value);
}

static void
item_clear (gpointer data)
{
  g_free (((fake_item_t *)data)->task);
}

static void
report_clear (gpointer data)
{
  g_free ((char *)((sched_task_report_t *)data)->task);
}

static GArray *
new_list (guint size, GDestroyNotify clear)
{
  GArray *list = g_array_new (FALSE, TRUE, size);
  if (clear != NULL)
    g_array_set_clear_func (list, clear);
  return list;
}

static void
message_free (gpointer data)
{
  fake_message_t *message = data;
  if (message->keys != NULL)
    g_ptr_array_unref (message->keys);
  g_array_unref (message->checks);
  g_array_unref (message->writes);
  g_array_unref (message->items);
  g_array_unref (message->rows);
  g_array_unref (message->versions);
  g_array_unref (message->result_codes);
  g_array_unref (message->reports);
  g_free (message);
}

static fake_message_t *
send_message (fake_entry_t *entry, message_kind_t kind, uint64_t tag)
{
  fake_cluster_t *cluster = entry->cluster;
  const fake_faults_t *faults = &cluster->faults;
  fake_message_t *message = g_new0 (fake_message_t, 1);
  int64_t now_ms = fake_cluster_now (cluster);
  message->kind = kind;
  message->entry = entry->index;
  message->entry_incarnation = entry->incarnation;
  message->tag = tag;
  message->checks = new_list (sizeof (sched_row_t), row_clear);
  message->writes = new_list (sizeof (sched_row_t), row_clear);
  message->items = new_list (sizeof (fake_item_t), item_clear);
  message->rows = new_list (sizeof (sched_row_t), row_clear);
  message->versions = new_list (sizeof (int64_t), NULL);
  message->result_codes = new_list (sizeof (uint32_t), NULL);
  message->reports = new_list (sizeof (sched_task_report_t), report_clear);
  int64_t delay_ms = g_rand_int_range (cluster->random, 1,
                                       (gint32)faults->max_delay_ms + 1);
  message->effect_ms = now_ms + delay_ms;
  message->reply_ms = message->effect_ms
                      + g_rand_int_range (cluster->random, 1,
                                          (gint32)faults->max_delay_ms + 1);
  message->second_effect_ms = -1;
  if (chance (cluster, faults->request_lost_percent))
    {
      message->effect_ms = -1;
      message->timed_out = true;
    }
  else if (chance (cluster, faults->reply_lost_percent))
    message->timed_out = true;
  else if (chance (cluster, faults->late_percent))
    {
      message->timed_out = true;
      message->effect_ms = now_ms + MESSAGE_TIMEOUT_MS
                           + g_rand_int_range (cluster->random, 0, 20000);
    }
  if (kind >= MESSAGE_START && chance (cluster, faults->duplicate_percent))
    message->second_effect_ms
        = now_ms + g_rand_int_range (cluster->random, 0, 20000);
  if (message->timed_out)
    message->reply_ms = now_ms + MESSAGE_TIMEOUT_MS;
  g_queue_push_tail (&cluster->messages, message);
  return message;
}

static void
action_read (void *context, uint64_t tag, const char *const *keys,
             uint32_t count)
{
  fake_message_t *message = send_message (context, MESSAGE_READ, tag);
  message->keys = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t i = 0; i < count; i++)
    g_ptr_array_add (message->keys, g_strdup (keys[i]));
}

static void
action_scan (void *context, uint64_t tag, const char *prefix)
{
  action_read (context, tag, &prefix, 1);
  fake_entry_t *entry = context;
  ((fake_message_t *)g_queue_peek_tail (&entry->cluster->messages))->kind
      = MESSAGE_SCAN;
}

static void
copy_rows (GArray *to, const sched_row_t *rows, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      sched_row_t row
          = { .key = g_strdup (rows[i].key),
              .version = rows[i].version,
              .value = rows[i].value != NULL ? json_deep_copy (rows[i].value)
                                             : NULL };
      g_array_append_val (to, row);
    }
}

static void
action_txn (void *context, uint64_t tag, const sched_row_t *checks,
            uint32_t check_count, const sched_row_t *writes,
            uint32_t write_count)
{
  fake_message_t *message = send_message (context, MESSAGE_TXN, tag);
  copy_rows (message->checks, checks, check_count);
  copy_rows (message->writes, writes, write_count);
}

static void
set_worker (fake_message_t *message, const sched_worker_ref_t *worker)
{
  message->worker = (uint32_t)atoi (worker->id + 1);
  message->incarnation = worker->incarnation;
}

static void
action_start (void *context, uint64_t tag, const sched_worker_ref_t *worker,
              int64_t lease_ms, const sched_start_t *starts, uint32_t count)
{
  fake_message_t *message = send_message (context, MESSAGE_START, tag);
  set_worker (message, worker);
  message->lease_ms = lease_ms;
  for (uint32_t i = 0; i < count; i++)
    {
      fake_item_t item = { .task = g_strdup (starts[i].task),
                           .generation = starts[i].generation,
                           .size = starts[i].size,
                           .kind = starts[i].kind,
                           .run_ms = starts[i].run_ms,
                           .fails = strcmp (starts[i].command, "fail") == 0 };
      g_array_append_val (message->items, item);
    }
}

/* STOPS are tasks to stop or to acknowledge.  */
static void
set_stops (fake_message_t *message, const sched_stop_t *stops, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      fake_item_t item = { .task = g_strdup (stops[i].task),
                           .generation = stops[i].generation,
                           .mode = stops[i].mode };
      g_array_append_val (message->items, item);
    }
}

static void
action_lease (void *context, uint64_t tag, const sched_worker_ref_t *worker,
              int64_t lease_ms, const sched_stop_t *acks, uint32_t count)
{
  fake_message_t *message = send_message (context, MESSAGE_LEASE, tag);
  set_worker (message, worker);
  message->lease_ms = lease_ms;
  set_stops (message, acks, count);
}

static void
action_stop (void *context, uint64_t tag, const sched_worker_ref_t *worker,
             const sched_stop_t *stops, uint32_t count)
{
  fake_message_t *message = send_message (context, MESSAGE_STOP, tag);
  set_worker (message, worker);
  set_stops (message, stops, count);
}

static void
action_throttle (void *context, const sched_worker_ref_t *worker,
                 const char *task, uint32_t generation, int64_t cpu_millis)
{
}

static void
action_answer (void *context, void *token, err_kind_t kind, const char *id,
               const char *message)
{
  fake_entry_t *entry = context;
  if (g_hash_table_contains (entry->cluster->answers, token))
    fake_cluster_violation (entry->cluster, "answered twice",
                            id != NULL ? id : "-");
  g_hash_table_insert (entry->cluster->answers, token,
                       GINT_TO_POINTER ((int)kind + 1));
  if (kind != ERR_OK && kind != ERR_TIMEOUT && id != NULL
      && g_hash_table_contains (entry->cluster->submissions, token))
    g_hash_table_insert (entry->cluster->refused, g_strdup (id),
                         g_strdup_printf ("%s: %s", err_name (kind), message));
}

static const sched_actions_t actions
    = { action_read,  action_scan, action_txn,      action_start,
        action_lease, action_stop, action_throttle, action_answer };

static void
take_effect_on_worker (fake_cluster_t *cluster, fake_message_t *message)
{
  fake_worker_t *worker = &cluster->workers[message->worker];
  if (worker->partitioned)
    {
      message->result = ERR_CONNECT_FAILED;
      return;
    }
  g_array_set_size (message->result_codes, 0);
  g_array_set_size (message->reports, 0);
  bool wrong_incarnation = message->incarnation != worker->incarnation;
  for (guint i = 0; message->kind != MESSAGE_LEASE && i < message->items->len;
       i++)
    {
      const fake_item_t *item
          = &g_array_index (message->items, fake_item_t, i);
      uint32_t code;
      if (message->kind == MESSAGE_START)
        code = wrong_incarnation
                   ? START_WRONG_INCARNATION
                   : fake_worker_start (cluster, worker, message, item);
      else
        code = wrong_incarnation ? STOP_RESULT_STOPPING
                                 : fake_worker_stop (cluster, worker, item);
      g_array_append_val (message->result_codes, code);
    }
  if (message->kind == MESSAGE_LEASE && !wrong_incarnation)
    fake_worker_lease (cluster, worker, message);
  message->reply_incarnation = worker->incarnation;
}

static void
take_effect (fake_cluster_t *cluster, fake_message_t *message)
{
  message->result = ERR_OK;
  if (message->kind >= MESSAGE_START)
    {
      take_effect_on_worker (cluster, message);
      return;
    }
  if (cluster->store_down)
    {
      message->result = ERR_STORE_UNAVAILABLE;
      return;
    }
  if (message->kind == MESSAGE_TXN)
    {
      g_array_set_size (message->versions, message->writes->len);
      bool committed = fake_store_txn (
          &cluster->store, (const sched_row_t *)message->checks->data,
          message->checks->len, (const sched_row_t *)message->writes->data,
          message->writes->len, (int64_t *)message->versions->data);
      message->result = committed ? ERR_OK : ERR_CONFLICT;
      return;
    }
  g_array_set_size (message->rows, 0);
  if (message->kind == MESSAGE_SCAN)
    {
      GArray *found
          = fake_store_scan (&cluster->store, message->keys->pdata[0]);
      copy_rows (message->rows, (const sched_row_t *)found->data, found->len);
      g_array_unref (found);
      return;
    }
  for (guint i = 0; i < message->keys->len; i++)
    {
      sched_row_t row
          = fake_store_get (&cluster->store, message->keys->pdata[i]);
      copy_rows (message->rows, &row, 1);
    }
}

static void
reply (fake_cluster_t *cluster, fake_message_t *message)
{
  fake_entry_t *entry = &cluster->entries[message->entry];
  if (!entry->up || entry->incarnation != message->entry_incarnation)
    return;
  err_kind_t kind = message->timed_out ? ERR_TIMEOUT : message->result;
  sched_t *sched = entry->sched;
  switch (message->kind)
    {
    case MESSAGE_READ:
    case MESSAGE_SCAN:
      if (kind == ERR_TIMEOUT)
        kind = ERR_STORE_UNAVAILABLE;
      sched_rows_read (sched, message->tag, kind,
                       (const sched_row_t *)message->rows->data,
                       message->rows->len);
      break;
    case MESSAGE_TXN:
      sched_txn_ended (sched, message->tag, kind,
                       (const int64_t *)message->versions->data,
                       kind == ERR_OK ? message->versions->len : 0);
      break;
    case MESSAGE_START:
      sched_started (sched, message->tag, kind,
                     (const start_result_t *)message->result_codes->data,
                     message->result_codes->len);
      break;
    case MESSAGE_STOP:
      sched_stopped (sched, message->tag, kind,
                     (const stop_result_t *)message->result_codes->data,
                     message->result_codes->len);
      break;
    case MESSAGE_LEASE:
      sched_leased (sched, message->tag, kind, message->reply_incarnation,
                    (const sched_task_report_t *)message->reports->data,
                    message->reports->len);
      break;
    }
}

static void
deliver (fake_cluster_t *cluster)
{
  int64_t now_ms = fake_cluster_now (cluster);
  for (GList *link = cluster->messages.head; link != NULL;)
    {
      fake_message_t *message = link->data;
      if (message->effect_ms >= 0 && now_ms >= message->effect_ms)
        {
          message->effect_ms = -1;
          take_effect (cluster, message);
        }
      if (message->second_effect_ms >= 0
          && now_ms >= message->second_effect_ms)
        {
          err_kind_t result = message->result;
          message->second_effect_ms = -1;
          if (message->reply_ms < 0)
            take_effect (cluster, message);
          message->result = result;
        }
      if (message->reply_ms >= 0 && now_ms >= message->reply_ms
          && !cluster->entries[message->entry].paused)
        {
          message->reply_ms = -1;
          reply (cluster, message);
        }
      GList *next = link->next;
      if (message->effect_ms < 0 && message->second_effect_ms < 0
          && message->reply_ms < 0)
        {
          message_free (message);
          g_queue_delete_link (&cluster->messages, link);
        }
      link = next;
    }
}

static void
run_workers (fake_cluster_t *cluster)
{
  int64_t now_ms = fake_cluster_now (cluster);
  for (uint32_t w = 0; w < cluster->worker_count; w++)
    {
      fake_worker_t *worker = &cluster->workers[w];
      for (guint i = 0; i < worker->tasks->len; i++)
        {
          fake_task_t *task = &g_array_index (worker->tasks, fake_task_t, i);
          if (task->state != REPORT_RUNNING)
            continue;
          if (now_ms >= task->end_ms)
            task->state = task->fails ? REPORT_FAILED : REPORT_ENDED;
          else if (now_ms >= task->stop_at_ms || now_ms >= task->lease_end_ms)
            task->state = REPORT_STOPPED;
          else
            continue;
          fake_worker_bar (worker, task->name, task->generation);
          /* The end of a task on a cut-off worker is never reported.  */
          if (task->state == REPORT_ENDED && !worker->partitioned)
            g_hash_table_add (cluster->ended, g_strdup (task->name));
        }
    }
}

static void
crash_workers (fake_cluster_t *cluster)
{
  for (uint32_t i = 0; i < cluster->worker_count; i++)
    {
      fake_worker_t *worker = &cluster->workers[i];
      if (worker->crash_at_ms == 0
          || fake_cluster_now (cluster) < worker->crash_at_ms)
        continue;
      worker->crash_at_ms = 0;
      cluster->deadly_crashes++;
      fake_cluster_worker_restart (cluster, i);
    }
}

void
fake_cluster_run (fake_cluster_t *cluster, int64_t ms)
{
  for (int64_t passed_ms = 0; passed_ms < ms; passed_ms += 10)
    {
      clk_fake_advance_ms (&cluster->clock, 10);
      run_workers (cluster);
      crash_workers (cluster);
      deliver (cluster);
      for (uint32_t i = 0; i < cluster->entry_count; i++)
        {
          fake_entry_t *entry = &cluster->entries[i];
          if (entry->up && !entry->paused
              && (fake_cluster_now (cluster) / 10 + i) % 5 == 0)
            sched_tick (entry->sched);
        }
    }
}

static void
announce_worker (fake_cluster_t *cluster, sched_t *sched, uint32_t index)
{
  const fake_worker_t *worker = &cluster->workers[index];
  sched_instance_t instance = { .id = worker->id,
                                .rack = worker->rack,
                                .url = "http://127.0.0.1",
                                .incarnation = worker->incarnation,
                                .state = worker->listed_state,
                                .capacity = worker->capacity };
  sched_worker_set (sched, &instance);
}

void
fake_cluster_entry_start (fake_cluster_t *cluster, uint32_t index)
{
  fake_entry_t *entry = &cluster->entries[index];
  char id[16];
  g_snprintf (id, sizeof id, "e%u", index);
  sched_options_t options = { .entry_id = id,
                              .incarnation = ++entry->incarnation,
                              .zone = "z",
                              .rows_per_s = 2000,
                              .seed = g_rand_int (cluster->random) };
  entry->cluster = cluster;
  entry->index = index;
  entry->up = true;
  entry->paused = false;
  entry->registry = counter_registry_new ();
  entry->sched = sched_new (&options, &actions, entry, &cluster->clock.base,
                            entry->registry);
  for (uint32_t w = 0; w < cluster->worker_count; w++)
    announce_worker (cluster, entry->sched, w);
  sched_instance_list_read (entry->sched);
  for (uint32_t i = 0; i < cluster->entry_count; i++)
    {
      char other[16];
      g_snprintf (other, sizeof other, "e%u", i);
      sched_entry_set (entry->sched, other, "z", cluster->entries[i].up);
      if (cluster->entries[i].sched != NULL)
        sched_entry_set (cluster->entries[i].sched, id, "z", true);
    }
}

void
fake_cluster_entry_crash (fake_cluster_t *cluster, uint32_t index)
{
  fake_entry_t *entry = &cluster->entries[index];
  char id[16];
  g_snprintf (id, sizeof id, "e%u", index);
  entry->up = false;
  cluster->orphan_count += counter_value (
      counter_get (entry->registry, "task_orphans_total", NULL));
  g_clear_pointer (&entry->sched, sched_free);
  g_clear_pointer (&entry->registry, counter_registry_free);
  for (uint32_t i = 0; i < cluster->entry_count; i++)
    if (cluster->entries[i].sched != NULL)
      sched_entry_set (cluster->entries[i].sched, id, "z", false);
}

static void
announce_to_all (fake_cluster_t *cluster, uint32_t worker)
{
  for (uint32_t i = 0; i < cluster->entry_count; i++)
    if (cluster->entries[i].sched != NULL)
      announce_worker (cluster, cluster->entries[i].sched, worker);
}

/* A task that ended on WORKER may not have been reported, so it may run
   again.  */
static void
remove_ended_tasks (fake_cluster_t *cluster, const fake_worker_t *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    g_hash_table_remove (cluster->ended,
                         g_array_index (worker->tasks, fake_task_t, i).name);
}

void
fake_cluster_worker_gone (fake_cluster_t *cluster, uint32_t worker)
{
  remove_ended_tasks (cluster, &cluster->workers[worker]);
  cluster->workers[worker].partitioned = true;
  cluster->workers[worker].listed_state = SCHED_GONE;
  announce_to_all (cluster, worker);
}

static void
task_clear (gpointer data)
{
  g_free (((fake_task_t *)data)->name);
}

void
fake_cluster_worker_restart (fake_cluster_t *cluster, uint32_t index)
{
  fake_worker_t *worker = &cluster->workers[index];
  remove_ended_tasks (cluster, worker);
  worker->incarnation++;
  worker->partitioned = false;
  worker->listed_state = SCHED_LIVE;
  g_array_set_size (worker->tasks, 0);
  g_hash_table_remove_all (worker->barred);
  announce_to_all (cluster, index);
}

fake_cluster_t *
fake_cluster_new (uint32_t entries, uint32_t workers, resource_t capacity,
                  uint32_t seed)
{
  fake_cluster_t *cluster = g_new0 (fake_cluster_t, 1);
  clk_fake_init (&cluster->clock, 1000000);
  fake_store_init (&cluster->store);
  g_queue_init (&cluster->messages);
  cluster->random = g_rand_new_with_seed (seed);
  cluster->faults.max_delay_ms = 5;
  cluster->answers = g_hash_table_new (NULL, NULL);
  cluster->submissions = g_hash_table_new (NULL, NULL);
  cluster->refused
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cluster->ended
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cluster->worker_count = workers;
  for (uint32_t w = 0; w < workers; w++)
    {
      fake_worker_t *worker = &cluster->workers[w];
      g_snprintf (worker->id, sizeof worker->id, "w%u", w);
      g_snprintf (worker->rack, sizeof worker->rack, "r%u", w % 4);
      worker->capacity = capacity;
      worker->incarnation = 1;
      worker->tasks = new_list (sizeof (fake_task_t), task_clear);
      worker->barred
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
    }
  cluster->entry_count = entries;
  for (uint32_t i = 0; i < entries; i++)
    fake_cluster_entry_start (cluster, i);
  return cluster;
}

void
fake_cluster_free (fake_cluster_t *cluster)
{
  for (uint32_t i = 0; i < cluster->entry_count; i++)
    if (cluster->entries[i].up)
      fake_cluster_entry_crash (cluster, i);
  for (uint32_t w = 0; w < cluster->worker_count; w++)
    {
      g_array_unref (cluster->workers[w].tasks);
      g_hash_table_unref (cluster->workers[w].barred);
    }
  g_queue_clear_full (&cluster->messages, message_free);
  fake_store_clear (&cluster->store);
  g_hash_table_unref (cluster->answers);
  g_hash_table_unref (cluster->submissions);
  g_hash_table_unref (cluster->refused);
  g_hash_table_unref (cluster->ended);
  g_rand_free (cluster->random);
  g_free (cluster);
}
