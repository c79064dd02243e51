#include "sched_internal.h"

#include <string.h>
#include <xxhash.h>

#define CHANGES_POLL_DUTY_PERIOD_MS 500
#define CHANGES_POLL_OFF_DUTY_PERIOD_MS 5000
#define ZONES_POLL_PERIOD_MS 5000
/* A full scan finds changes that were missed and removes jobs whose rows are
   gone.  It is rare, since the table service allows only 2,000 reads per
   second.  */
#define RESCAN_PERIOD_MS 600000
/* A worker that has a row but that the instance list has not shown within this
   time counts as gone.  */
#define UNLISTED_GONE_MS 600000
#define READ_RETRY_MS 500
#define MAX_RELOAD_KEYS 200
#define MISMATCH_CHECK_PERIOD_MS 2000
#define JOB_REFRESH_PERIOD_MS 5000
#define MAX_REFRESH_JOBS 10
/* Rate of the stops by plan_stops_and_closes, so that enough is left to
   starts.  */
#define STOPS_PER_S 400.0
#define DEFAULT_ROWS_PER_S 200
/* Row writes per second for ends and closed jobs, over all zones: half of what
   the table service takes.  Each zone has an equal share, so that many
   tasks that end at once leave the rest to starts.  */
#define END_ROWS_PER_S 200.0
#define END_BURST_ROWS 16.0
/* Rows that may be written at once above the steady rate.  */
#define BURST_ROWS 64.0

/* Prefixes of a full scan in order; %s is this entry's zone.  Changes come
   first: whatever is added while the rest is read shows up in the next
   poll.  */
static const char *const scan_steps[]
    = { "changes/%s/", "job/", "part/%s/", "worker/%s/", "zone/" };
enum
{
  SCAN_STEP_JOBS = 1,
  SCAN_STEP_PARTS = 2
};
/* Not part of a full scan.  */
#define SCAN_STEP_POLL UINT32_MAX

void
sched_call_free (gpointer data)
{
  call_t *call = data;
  if (call->keys != NULL)
    g_ptr_array_unref (call->keys);
  if (call->tasks != NULL)
    g_array_unref (call->tasks);
  g_free (call);
}

call_t *
sched_call_new (sched_t *s, call_kind_t kind, uint64_t *tag)
{
  call_t *call = g_new0 (call_t, 1);
  call->kind = kind;
  call->sent_stamp = ++s->stamp;
  call->sent_ms = s->now_ms;
  *tag = ++s->last_tag;
  g_hash_table_insert (s->calls, g_memdup2 (tag, sizeof *tag), call);
  return call;
}

static void
entry_free (gpointer data)
{
  sched_entry_t *entry = data;
  g_free (entry->id);
  g_free (entry->zone);
  g_free (entry);
}

static void
changes_free (gpointer data)
{
  sched_changes_t *changes = data;
  g_free (changes->zone);
  g_queue_clear_full (&changes->ids, g_free);
  g_free (changes);
}

static void
zone_free (gpointer data)
{
  sched_zone_t *zone = data;
  g_free (zone->zone);
  g_array_unref (zone->shapes);
  g_free (zone);
}

static void
make_containers (sched_t *s)
{
  s->calls = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free,
                                    sched_call_free);
  s->jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, sched_job_free);
  s->workers_by_id = g_hash_table_new (g_str_hash, g_str_equal);
  s->workers = g_ptr_array_new_with_free_func (sched_worker_free);
  s->zones = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, zone_free);
  s->entries = g_ptr_array_new_with_free_func (entry_free);
  s->changes
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, changes_free);
  s->seen_sequences
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->reload_keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet_init (&s->fleet);
  quota_init (&s->quota);
  gang_init (&s->gang);
  explain_init (&s->explain);
  txn_init (&s->plan_txn, false);
  txn_init (&s->request_txn, true);
  g_queue_init (&s->submit_queue);
  g_queue_init (&s->cancel_queue);
}

static void
make_counters (sched_t *s)
{
  s->starts = counter_get (s->registry, "task_starts_total", NULL);
  s->ends = counter_get (s->registry, "task_ends_total", NULL);
  s->commits = counter_get (s->registry, "task_commits_total", NULL);
  s->conflicts = counter_get (s->registry, "task_conflicts_total", NULL);
  s->unknown_outcomes
      = counter_get (s->registry, "task_commits_unknown_total", NULL);
  s->row_writes = counter_get (s->registry, "task_row_writes_total", NULL);
  s->preempted = counter_get (s->registry, "task_preemptions_total", NULL);
  s->orphans = counter_get (s->registry, "task_orphans_total", NULL);
  s->plan_us = counter_histogram (s->registry, "task_plan_us", NULL);
}

sched_t *
sched_new (const sched_options_t *options, const sched_actions_t *actions,
           void *context, const clk_t *clock, counter_registry_t *registry)
{
  sched_t *s = g_new0 (sched_t, 1);
  s->entry_id = g_strdup (options->entry_id);
  s->zone = g_strdup (options->zone);
  s->writer_id = g_strdup_printf ("%s@%" G_GINT64_FORMAT, options->entry_id,
                                  options->incarnation);
  s->actions = actions;
  s->context = context;
  s->clock = clock;
  s->registry = registry;
  s->random = g_rand_new_with_seed (options->seed);
  s->pack_rule = pack_rule_find (
      options->pack_rule != NULL ? options->pack_rule : "keep-accelerators");
  if (s->pack_rule == NULL)
    s->pack_rule = &pack_rules[0];
  s->rows_per_s
      = options->rows_per_s > 0 ? options->rows_per_s : DEFAULT_ROWS_PER_S;
  s->row_tokens = BURST_ROWS;
  s->now_ms = clk_now_ms (clock);
  s->refilled_ms = s->now_ms;
  make_containers (s);
  make_counters (s);
  sched_entry_set (s, s->entry_id, s->zone, true);
  s->scan_wanted = true;
  return s;
}

void
sched_free (sched_t *s)
{
  if (s == NULL)
    return;
  g_hash_table_unref (s->calls);
  txn_clear (&s->plan_txn);
  txn_clear (&s->request_txn);
  g_queue_clear_full (&s->submit_queue, sched_request_free);
  g_queue_clear_full (&s->cancel_queue, sched_request_free);
  g_hash_table_unref (s->jobs);
  g_hash_table_unref (s->workers_by_id);
  g_ptr_array_unref (s->workers);
  g_hash_table_unref (s->zones);
  g_ptr_array_unref (s->entries);
  g_hash_table_unref (s->changes);
  g_hash_table_unref (s->seen_sequences);
  g_hash_table_unref (s->reload_keys);
  fleet_clear (&s->fleet);
  quota_clear (&s->quota);
  gang_clear (&s->gang);
  explain_clear (&s->explain);
  g_rand_free (s->random);
  g_free (s->advertised_text);
  g_free (s->entry_id);
  g_free (s->zone);
  g_free (s->writer_id);
  g_free (s);
}

void
sched_worker_set (sched_t *s, const sched_instance_t *instance)
{
  s->now_ms = clk_now_ms (s->clock);
  sched_worker_t *worker = sched_worker_get (s, instance->id, true);
  if (instance->incarnation < worker->incarnation)
    return;
  bool first = !worker->listed;
  worker->listed = true;
  g_free (worker->rack);
  g_free (worker->url);
  worker->rack = g_strdup (instance->rack != NULL ? instance->rack : "");
  worker->url = g_strdup (instance->url);
  worker->incarnation = instance->incarnation;
  worker->state = instance->state;
  worker->capacity = instance->capacity;
  if (instance->state != SCHED_GONE)
    worker->gone_since_ms = -1;
  else if (worker->gone_since_ms < 0)
    worker->gone_since_ms = s->now_ms;
  /* It may hold tasks, so it is asked at once.  */
  if (first)
    worker->lease_due_ms = s->now_ms;
  sched_worker_refresh (s, worker);
}

void
sched_instance_list_read (sched_t *s)
{
  s->now_ms = clk_now_ms (s->clock);
  s->list_read = true;
  for (guint i = 0; i < s->workers->len; i++)
    {
      sched_worker_t *worker = s->workers->pdata[i];
      if (worker->listed || worker->gone_since_ms >= 0)
        continue;
      if (worker->unlisted_since_ms == 0)
        worker->unlisted_since_ms = s->now_ms;
      else if (s->now_ms - worker->unlisted_since_ms >= UNLISTED_GONE_MS)
        worker->gone_since_ms = s->now_ms;
    }
}

void
sched_entry_set (sched_t *s, const char *id, const char *zone, bool live)
{
  sched_entry_t *entry = NULL;
  for (guint i = 0; i < s->entries->len && entry == NULL; i++)
    {
      sched_entry_t *known = s->entries->pdata[i];
      if (strcmp (known->id, id) == 0)
        entry = known;
    }
  if (entry == NULL)
    {
      entry = g_new0 (sched_entry_t, 1);
      entry->id = g_strdup (id);
      g_ptr_array_add (s->entries, entry);
    }
  if (g_strcmp0 (entry->zone, zone) != 0)
    {
      g_free (entry->zone);
      entry->zone = g_strdup (zone);
    }
  entry->live = live;
}

const char *
sched_duty_entry (const sched_t *s)
{
  const char *duty = NULL;
  uint64_t highest = 0;
  for (guint i = 0; i < s->entries->len; i++)
    {
      const sched_entry_t *entry = s->entries->pdata[i];
      if (!entry->live || strcmp (entry->zone, s->zone) != 0)
        continue;
      uint64_t seed = XXH64 (s->zone, strlen (s->zone), 0);
      uint64_t weight = XXH64 (entry->id, strlen (entry->id), seed);
      if (duty == NULL || weight > highest)
        {
          duty = entry->id;
          highest = weight;
        }
    }
  return duty;
}

void
sched_team_set (sched_t *s, const char *team, resource_t quota)
{
  quota_team_at (&s->quota, quota_team_index (&s->quota, team))->quota = quota;
}

void
sched_class_set (sched_t *s, class_t class, uint32_t percent)
{
  if (class < CLASS_COUNT)
    s->quota.guaranteed_percent[class] = percent;
}

bool
sched_pack_rule_set (sched_t *s, const char *name)
{
  const pack_rule_t *rule = pack_rule_find (name);
  if (rule != NULL)
    s->pack_rule = rule;
  return rule != NULL;
}

bool
sched_idle (const sched_t *s)
{
  return s->plan_txn.state == TXN_IDLE && s->request_txn.state == TXN_IDLE
         && s->submit_queue.length == 0 && s->cancel_queue.length == 0;
}

bool
sched_ready (const sched_t *s)
{
  return s->ready;
}

static void
send_scan (sched_t *s, uint32_t step)
{
  uint64_t tag;
  call_t *call = sched_call_new (s, CALL_SCAN, &tag);
  call->scan_step = step;
  char *prefix = g_strdup (scan_steps[step]);
  if (strchr (prefix, '%') != NULL)
    {
      g_free (prefix);
      const char *mark = strchr (scan_steps[step], '%');
      prefix = g_strdup_printf ("%.*s%s/", (int)(mark - scan_steps[step]),
                                scan_steps[step], s->zone);
    }
  s->actions->scan (s->context, tag, prefix);
  g_free (prefix);
}

static void
start_scan (sched_t *s)
{
  s->scan_wanted = false;
  s->scanning = true;
  s->scan_stamp = ++s->stamp;
  send_scan (s, 0);
}

/* Reloads rows of known jobs and parts that a full scan did not find.  */
static void
reload_missing (sched_t *s, uint32_t step, const sched_row_t *rows,
                uint32_t count)
{
  if (step != SCAN_STEP_JOBS && step != SCAN_STEP_PARTS)
    return;
  GHashTable *found = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < count; i++)
    g_hash_table_add (found, (gpointer)(strrchr (rows[i].key, '/') + 1));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, s->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      sched_job_t *job = value;
      if (g_hash_table_contains (found, job->id))
        continue;
      if (step == SCAN_STEP_JOBS && job->row_version > 0)
        sched_queue_reload (s, job_key (job->id));
      if (step == SCAN_STEP_PARTS && job->part_version > 0)
        sched_queue_reload (s, part_key (s->zone, job->id));
    }
  g_hash_table_unref (found);
}

static void
scan_step_done (sched_t *s, const call_t *call, err_kind_t kind,
                const sched_row_t *rows, uint32_t count)
{
  if (kind != ERR_OK)
    {
      s->scanning = false;
      s->scan_wanted = true;
      s->scan_retry_ms = s->now_ms + READ_RETRY_MS;
      return;
    }
  for (uint32_t i = 0; i < count; i++)
    sched_row_apply (s, &rows[i], call->sent_stamp);
  reload_missing (s, call->scan_step, rows, count);
  if (call->scan_step + 1 < G_N_ELEMENTS (scan_steps))
    {
      send_scan (s, call->scan_step + 1);
      return;
    }
  s->scanning = false;
  s->ready = true;
  s->scan_done_ms = s->now_ms;
  sched_remove_deleted_jobs (s);
}

static void
reload_done (sched_t *s, call_t *call, err_kind_t kind,
             const sched_row_t *rows, uint32_t count)
{
  s->reloads_in_flight--;
  if (kind != ERR_OK)
    {
      s->reload_retry_ms = s->now_ms + READ_RETRY_MS;
      for (guint i = 0; i < call->keys->len; i++)
        sched_queue_reload (s, g_strdup (call->keys->pdata[i]));
      return;
    }
  for (uint32_t i = 0; i < count; i++)
    sched_row_apply (s, &rows[i], call->sent_stamp);
}

void
sched_rows_read (sched_t *s, uint64_t tag, err_kind_t kind,
                 const sched_row_t *rows, uint32_t count)
{
  gpointer key, value;
  if (!g_hash_table_steal_extended (s->calls, &tag, &key, &value))
    return;
  s->now_ms = clk_now_ms (s->clock);
  call_t *call = value;
  if (call->kind == CALL_READBACK)
    txn_read_back (s, call->txn, kind, rows, count, call->sent_stamp);
  else if (call->kind == CALL_RELOAD)
    reload_done (s, call, kind, rows, count);
  else if (call->scan_step == SCAN_STEP_POLL)
    {
      s->polls_in_flight--;
      for (uint32_t i = 0; kind == ERR_OK && i < count; i++)
        sched_row_apply (s, &rows[i], call->sent_stamp);
    }
  else
    scan_step_done (s, call, kind, rows, count);
  g_free (key);
  sched_call_free (call);
}

void
sched_txn_ended (sched_t *s, uint64_t tag, err_kind_t kind,
                 const int64_t *versions, uint32_t count)
{
  call_t *call = g_hash_table_lookup (s->calls, &tag);
  if (call == NULL || call->kind != CALL_TXN)
    return;
  s->now_ms = clk_now_ms (s->clock);
  txn_t *txn = call->txn;
  g_hash_table_remove (s->calls, &tag);
  if (txn->state == TXN_SENT && txn->tag == tag)
    txn_ended (s, txn, kind, versions, count);
}

static void
send_reloads (sched_t *s)
{
  if (s->reloads_in_flight > 0 || s->now_ms < s->reload_retry_ms
      || g_hash_table_size (s->reload_keys) == 0)
    return;
  uint64_t tag;
  call_t *call = sched_call_new (s, CALL_RELOAD, &tag);
  call->keys = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, s->reload_keys);
  while (call->keys->len < MAX_RELOAD_KEYS
         && g_hash_table_iter_next (&iter, &key, NULL))
    {
      g_ptr_array_add (call->keys, key);
      g_hash_table_iter_steal (&iter);
    }
  s->reloads_in_flight++;
  s->actions->read (s->context, tag, (const char *const *)call->keys->pdata,
                    call->keys->len);
}

static void
send_poll (sched_t *s, const char *prefix)
{
  uint64_t tag;
  call_t *call = sched_call_new (s, CALL_SCAN, &tag);
  call->scan_step = SCAN_STEP_POLL;
  s->polls_in_flight++;
  s->actions->scan (s->context, tag, prefix);
}

/* Polls the jobs that other entries changed and what the zones advertise.  */
static void
poll_rows (sched_t *s)
{
  if (s->polls_in_flight > 0 || s->scanning || !s->ready)
    return;
  if (s->now_ms >= s->changes_poll_due_ms)
    {
      s->changes_poll_due_ms
          = s->now_ms
            + (s->on_duty ? CHANGES_POLL_DUTY_PERIOD_MS
                          : CHANGES_POLL_OFF_DUTY_PERIOD_MS);
      char *prefix = g_strdup_printf ("changes/%s/", s->zone);
      send_poll (s, prefix);
      g_free (prefix);
    }
  if (s->now_ms >= s->zones_poll_due_ms)
    {
      s->zones_poll_due_ms = s->now_ms + ZONES_POLL_PERIOD_MS;
      send_poll (s, "zone/");
    }
}

/* Reloads the rows of some unfinished jobs that another entry works on, so
   that the answers to operators are not too old.  With 10 jobs every 5 s all
   entries together take some 300 of the table service's 2,000 reads per
   second.  */
static void
refresh_jobs (sched_t *s)
{
  if (!s->ready || s->now_ms < s->refresh_due_ms)
    return;
  s->refresh_due_ms = s->now_ms + JOB_REFRESH_PERIOD_MS;
  for (int n = 0; n < MAX_REFRESH_JOBS; n++)
    {
      sched_job_t *oldest = NULL;
      GHashTableIter iter;
      gpointer value;
      g_hash_table_iter_init (&iter, s->jobs);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        {
          sched_job_t *job = value;
          if (job->row == NULL || job->row->ended_ms > 0
              || (s->on_duty && job->part_version > 0)
              || s->now_ms - job->refreshed_ms < JOB_REFRESH_PERIOD_MS
              || (oldest != NULL && job->refreshed_ms >= oldest->refreshed_ms))
            continue;
          oldest = job;
        }
      if (oldest == NULL)
        return;
      oldest->refreshed_ms = s->now_ms;
      sched_queue_reload (s, job_key (oldest->id));
      if (job_row_find_part (oldest->row, s->zone) != NULL)
        sched_queue_reload (s, part_key (s->zone, oldest->id));
    }
}

/* Number of zones that have a live entry, at least 1.  */
static uint32_t
count_live_zones (const sched_t *s)
{
  uint32_t count = 0;
  for (guint i = 0; i < s->entries->len; i++)
    {
      const sched_entry_t *entry = s->entries->pdata[i];
      bool skip = !entry->live;
      for (guint k = 0; k < i && !skip; k++)
        {
          const sched_entry_t *other = s->entries->pdata[k];
          skip = other->live && strcmp (other->zone, entry->zone) == 0;
        }
      count += !skip;
    }
  return MAX (count, 1);
}

static void
refill_tokens (sched_t *s)
{
  double seconds = (double)(s->now_ms - s->refilled_ms) / 1000.0;
  s->refilled_ms = s->now_ms;
  s->row_tokens = MIN (s->row_tokens + seconds * s->rows_per_s, BURST_ROWS);
  s->end_row_tokens = MIN (
      s->end_row_tokens + seconds * END_ROWS_PER_S / count_live_zones (s),
      END_BURST_ROWS);
  s->stop_tokens
      = MIN (s->stop_tokens + seconds * STOPS_PER_S, STOPS_PER_S / 4.0);
}

void
sched_tick (sched_t *s)
{
  s->now_ms = clk_now_ms (s->clock);
  refill_tokens (s);
  bool duty = g_strcmp0 (sched_duty_entry (s), s->entry_id) == 0;
  /* The entry that was on duty before may have changed the rows since they
     were read.  */
  if (duty && !s->on_duty)
    {
      s->ready = false;
      s->scan_wanted = true;
    }
  s->on_duty = duty;
  if (s->ready && s->now_ms - s->scan_done_ms >= RESCAN_PERIOD_MS)
    s->scan_wanted = true;
  if (s->scan_wanted && !s->scanning && s->now_ms >= s->scan_retry_ms)
    start_scan (s);
  send_reloads (s);
  poll_rows (s);
  refresh_jobs (s);
  if (s->on_duty && s->ready && s->now_ms >= s->mismatch_due_ms)
    {
      s->mismatch_due_ms = s->now_ms + MISMATCH_CHECK_PERIOD_MS;
      sched_reload_mismatches (s);
    }
  if (s->on_duty)
    workers_tick (s);
  txn_tick (s, &s->plan_txn);
  txn_tick (s, &s->request_txn);
  plan_tick (s);
  requests_tick (s);
}
