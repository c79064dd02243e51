#include "cell_internal.h"

#include <stdarg.h>
#include <string.h>

#define DEFAULT_ROW_BYTES (64u * 1024u)

size_t
cell_row_limit (const cell_options_t *options)
{
  return options->max_row_bytes > 0 ? (size_t)options->max_row_bytes
                                    : DEFAULT_ROW_BYTES;
}

cell_t *
cell_new (const cell_options_t *options, const clk_t *clock,
          const cell_actions_t *actions, void *context)
{
  cell_t *cell = g_new0 (cell_t, 1);
  cell->options = *options;
  cell->clock = clock;
  cell->actions = actions;
  cell->context = context;
  cell->now_ms = clk_now_ms (clock);
  cell->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                      (GDestroyNotify)cell_job_free);
  cell->raises = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cell->workers = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                         (GDestroyNotify)cell_worker_free);
  cell->queues = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                        (GDestroyNotify)queue_free);
  cell->worker_list = g_ptr_array_new ();
  cell->queues_without_free_node
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  cell->room_lists = cell_room_lists_new ();
  cell->advice_counts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cell->durations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cell->sizes = cell_sizes_new ();
  cell->ready_groups = g_ptr_array_new ();
  cell->recurring_jobs = g_ptr_array_new ();
  cell->dirty_jobs = g_ptr_array_new ();
  cell->suspects = g_queue_new ();
  cell->held_jobs = g_ptr_array_new ();
  cell->ended_jobs = g_ptr_array_new ();
  cell->jobs_in_save = g_ptr_array_new ();
  cell->kept_workers = g_ptr_array_new ();
  cell->losses = g_array_new (FALSE, FALSE, sizeof (blame_loss_t));
  cell->rows_in_save = g_array_new (FALSE, FALSE, sizeof (saved_row_t));
  return cell;
}

void
cell_free (cell_t *cell)
{
  if (cell == NULL)
    return;
  g_hash_table_unref (cell->jobs);
  g_hash_table_unref (cell->workers);
  g_hash_table_unref (cell->raises);
  g_hash_table_unref (cell->queues);
  g_hash_table_unref (cell->queues_without_free_node);
  g_hash_table_unref (cell->room_lists);
  g_hash_table_unref (cell->advice_counts);
  g_hash_table_unref (cell->durations);
  g_hash_table_unref (cell->sizes);
  g_ptr_array_unref (cell->worker_list);
  g_ptr_array_unref (cell->ready_groups);
  g_ptr_array_unref (cell->recurring_jobs);
  g_ptr_array_unref (cell->dirty_jobs);
  g_queue_free_full (cell->suspects, (GDestroyNotify)g_ptr_array_unref);
  g_ptr_array_unref (cell->held_jobs);
  g_ptr_array_unref (cell->ended_jobs);
  g_ptr_array_unref (cell->jobs_in_save);
  g_ptr_array_unref (cell->kept_workers);
  g_array_unref (cell->rows_in_save);
  g_array_unref (cell->losses);
  g_free (cell);
}

void
cell_log (cell_t *cell, const char *event, const char *subject,
          const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *detail = g_strdup_vprintf (format, args);
  va_end (args);
  cell->actions->log (cell->context, event, subject, detail);
  g_free (detail);
}

void
cell_log_group (const cell_group_t *group, const char *event,
                const char *format, ...)
{
  const cell_t *cell = group->job->cell;
  char name[WORK_NAME_BYTES];
  va_list args;
  va_start (args, format);
  char *detail = g_strdup_vprintf (format, args);
  va_end (args);
  work_step_name_format (name, group->job->id, group->occurrence, group->step);
  cell->actions->log (cell->context, event, name, detail);
  g_free (detail);
}

static void
add_dirty_job (cell_job_t *job)
{
  if (job->dirty || job->abandoned)
    return;
  job->dirty = true;
  g_ptr_array_add (job->cell->dirty_jobs, job);
}

void
cell_mark_dirty (cell_job_t *job)
{
  job->head_dirty = true;
  add_dirty_job (job);
}

void
cell_mark_task_dirty (const cell_task_t *task)
{
  cell_mark_task_segment (task);
  add_dirty_job (task->group->job);
}

cell_task_t *
cell_find_task (cell_t *cell, const char *name)
{
  work_name_t parts;
  if (!work_name_parse (name, &parts))
    return NULL;
  cell_job_t *job = g_hash_table_lookup (cell->jobs, parts.id);
  if (job == NULL || job->work == NULL)
    return NULL;
  cell_group_t *group = cell_job_group (job, parts.occurrence, parts.step);
  if (group == NULL || parts.index >= group->spec->count)
    return NULL;
  return &group->tasks[parts.index];
}

void
cell_task_name (const cell_task_t *task, char out[WORK_NAME_BYTES])
{
  work_name_format (out, task->group->job->id, task->group->occurrence,
                    task->group->step, task->index);
}

static bool
is_waiting (const cell_task_t *task)
{
  return task->state == RUN_WAITING && task->worker == NULL;
}

void
cell_set_task_state (cell_task_t *task, run_state_t state)
{
  cell_group_t *group = task->group;
  group->waiting -= is_waiting (task);
  group->done -= task->state == RUN_DONE;
  task->state = (uint8_t)state;
  group->waiting += is_waiting (task);
  group->done += task->state == RUN_DONE;
  if (state == RUN_WAITING)
    group->job->cell->place_pending = true;
}

void
cell_release_task (cell_task_t *task)
{
  cell_worker_t *worker = task->worker;
  if (worker == NULL)
    return;
  worker->used
      = resource_sub (worker->used, cell_task_need (task->group->spec));
  g_ptr_array_remove_fast (worker->tasks, task);
  task->group->job->cell->fit_epoch += task->group->spec->lasting;
  task->group->waiting -= is_waiting (task);
  task->worker = NULL;
  task->group->waiting += is_waiting (task);
  task->group->job->cell->place_pending = true;
}

void
cell_choose_queue (cell_job_t *job)
{
  const queue_t *queue
      = g_hash_table_lookup (job->cell->queues, job->work->queue);
  if (queue == NULL)
    queue = job->work->terms;
  if (queue == NULL)
    return;
  queue_free (job->queue);
  job->queue = queue_copy (queue);
}

void
cell_set_queues (cell_t *cell, const queue_table_t *table)
{
  g_hash_table_remove_all (cell->queues);
  for (guint i = 0; i < table->queues->len; i++)
    {
      queue_t *queue = queue_copy (table->queues->pdata[i]);
      g_hash_table_replace (cell->queues, queue->name, queue);
    }
  /* Jobs hold copies, since a replaced queue is freed.  */
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, cell->jobs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      cell_job_t *job = value;
      if (job->work != NULL)
        cell_choose_queue (job);
    }
  cell->place_pending = true;
}

/* Whether a record names a run on an earlier life of WORKER.  */
static bool
has_restarted_since_record (const cell_worker_t *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const cell_task_t *task = worker->tasks->pdata[i];
      if (task->worker_start_ms != 0
          && task->worker_start_ms < worker->start_ms)
        return true;
    }
  return false;
}

/* Stops the gangs of which the records name runs of some members only: the
   earlier owner was stopping them, or had not saved the start of all.  */
static void
stop_partial_gangs (cell_t *cell)
{
  GPtrArray *groups = g_ptr_array_copy (cell->ready_groups, NULL, NULL);
  for (guint i = 0; i < groups->len; i++)
    {
      cell_group_t *group = groups->pdata[i];
      if (group->spec->gang && group->waiting > 0
          && group->waiting < group->spec->count)
        cell_stop_gang (group);
    }
  g_ptr_array_unref (groups);
}

void
cell_begin (cell_t *cell, const cell_inheritance_t *inheritance)
{
  cell->now_ms = clk_now_ms (cell->clock);
  cell->begun = true;
  cell->begun_ms = cell->now_ms;
  cell->inherited_end_ms = inheritance->leases_end_ms;
  cell->unreached_end_ms = inheritance->unreached_end_ms;
  for (const char *const *id = inheritance->unreached;
       id != NULL && *id != NULL; id++)
    {
      cell_worker_t *worker = cell_find_worker (cell, *id);
      if (worker != NULL)
        worker->unreached_before = true;
    }
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      cell_worker_t *worker = cell->worker_list->pdata[i];
      if (!has_restarted_since_record (worker))
        continue;
      cell_expect_late_orders (cell, worker);
      cell_worker_crashed (cell, worker, "recorded");
    }
  stop_partial_gangs (cell);
}

void
cell_ownership_confirmed (cell_t *cell, int64_t sent_ms)
{
  cell->ownership_confirmed_ms = MAX (cell->ownership_confirmed_ms, sent_ms);
}

bool
cell_fenced (const cell_t *cell)
{
  return cell->fenced;
}

void
cell_take_load (cell_t *cell, cell_load_t *load)
{
  *load = cell->load;
  cell->load = (cell_load_t){ 0 };
}

/* Tells when tasks can't be started by the list of workers, and again.  */
static void
report_list (cell_t *cell)
{
  bool stale = !cell_list_is_current (cell);
  if (stale == cell->list_stale)
    return;
  cell->list_stale = stale;
  cell_log (cell, stale ? "list_stale" : "list_current", "", "age_ms=%lld",
            (long long)(cell->now_ms - cell->list_confirmed_ms));
}

void
cell_run (cell_t *cell, int64_t wall_ms)
{
  cell->now_ms = clk_now_ms (cell->clock);
  cell->wall_ms = wall_ms;
  if (!cell->begun || cell->fenced)
    return;
  cell_add_due_occurrences (cell);
  if (cell->now_ms >= cell->next_scan_ms)
    {
      if (cell->next_scan_ms != 0)
        cell->load.late_ms
            = MAX (cell->load.late_ms, cell->now_ms - cell->next_scan_ms);
      cell->next_scan_ms = cell->now_ms + CELL_TICK_MS;
      cell_check_workers (cell);
      cell_delete_expired_jobs (cell);
      cell_retry_orders (cell);
      cell_check_sizes (cell);
      cell->place_pending = true;
    }
  report_list (cell);
  if (cell->place_pending && cell->now_ms >= cell->next_place_ms
      && cell_list_is_current (cell) && cell_pass_may_begin (cell))
    {
      cell->place_pending = false;
      cell_place (cell);
    }
  cell_save_if_due (cell);
}

static const char *const job_state_names[]
    = { "queued", "running", "completed", "failed", "cancelled", NULL };

const char *
cell_state (const cell_t *cell, const char *id)
{
  const cell_job_t *job = g_hash_table_lookup (cell->jobs, id);
  return job == NULL ? NULL : job_state_names[job->saved_state];
}

const char *
cell_record_state (const char *text, size_t length)
{
  /* TEXT begins with "1 STATE", see cell_record.c.  */
  static const char state_letters[] = "QRCFX";
  if (length < 3)
    return NULL;
  const char *letter = strchr (state_letters, text[2]);
  return letter == NULL || *letter == '\0'
             ? NULL
             : job_state_names[letter - state_letters];
}

void
cell_each_pending (const cell_t *cell,
                   void (*each) (void *context, const char *queue,
                                 uint32_t pending),
                   void *context)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iterator;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iterator, cell->jobs);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const cell_job_t *job = value;
      if (job->work == NULL || job->work->times > 0 || job->started
          || job->state > JOB_STATE_RUNNING)
        continue;
      guint count
          = GPOINTER_TO_UINT (g_hash_table_lookup (counts, job->work->queue));
      g_hash_table_insert (counts, job->work->queue,
                           GUINT_TO_POINTER (count + 1));
    }
  g_hash_table_iter_init (&iterator, counts);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    each (context, key, GPOINTER_TO_UINT (value));
  g_hash_table_unref (counts);
}

void
cell_totals (const cell_t *cell, cell_totals_t *totals)
{
  *totals = (cell_totals_t){ .jobs = g_hash_table_size (cell->jobs),
                             .workers = cell->worker_list->len };
  for (guint i = 0; i < cell->ready_groups->len; i++)
    totals->waiting_tasks
        += ((cell_group_t *)cell->ready_groups->pdata[i])->waiting;
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      const cell_worker_t *worker = cell->worker_list->pdata[i];
      totals->placed_tasks += worker->tasks->len;
      totals->unresponsive_workers += !worker->responsive;
      totals->capacity = resource_add (totals->capacity, worker->capacity);
      totals->used = resource_add (totals->used, worker->used);
    }
}

void
cell_pass_stats (const cell_t *cell, cell_pass_stats_t *stats)
{
  *stats = cell->pass_stats;
}
