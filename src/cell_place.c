#include "cell_internal.h"

#include <math.h>

/* A pass looks at every waiting step and worker.  To leave processor time for
   network calls, passes are at least 1 ms apart for each GROUPS_PER_MS waiting
   groups, up to MAX_PLACE_PERIOD_MS, and the pause after a pass is as long as
   the pass was, up to the same.  */
#define GROUPS_PER_MS 4u
#define MAX_PLACE_PERIOD_MS 100
/* While more than SHED_GROUPS steps wait, those whose jobs have lost their
   value are left out of most passes: they get one each TOO_LATE_PERIOD_MS, so
   that the others get the owner's time and the calls for advice.  */
#define SHED_GROUPS 100u
#define TOO_LATE_PERIOD_MS 250
/* Tasks that are expected to end within this time count as free capacity when
   asking for advice: a call takes up to 1 s, its tickets last about 2 s.  */
#define SOON_MS 1500
/* From this progress on, the end of a run is extrapolated from its progress
   rather than taken from the job's estimate.  */
#define PROGRESS_MIN_PERCENT 10u
/* No further gang gets room kept for it once this share of the cell's room is
   kept; the second one holds for a queue that misses more objectives than the
   cell.  A limit in gangs would not grow with the cell.  */
#define MAX_KEPT_SHARE (1.0 / 6.0)
#define MAX_KEPT_SHARE_BEHIND (1.0 / 3.0)
/* The reasons why a step waits are logged when it has waited this long, and
   again after each period.  */
#define EXPLAIN_AFTER_MS 1000
#define EXPLAIN_PERIOD_MS 2000
/* Steps explained in one second, the most urgent ones: each costs a look at
   every worker, and hundreds wait when the owner has least time for it.  */
#define EXPLAIN_MAX_PER_S 20u

resource_t
cell_task_need (const work_step_t *step)
{
  resource_t need = step->need;
  if (step->filler)
    need.cpu_millis = 0;
  return need;
}

/* Whether WORKER takes new tasks, and could run GROUP if it were empty.  */
static bool
eligible (const cell_t *cell, const cell_group_t *group,
          const cell_worker_t *worker)
{
  const work_step_t *step = group->spec;
  return worker->listed && cell_worker_takes_starts (worker)
         && worker->stray_runs == 0 && cell->now_ms >= worker->avoid_until_ms
         && cell_worker_open_to (worker, group->job)
         && (step->label == NULL
             || g_hash_table_contains (worker->labels, step->label))
         && resource_fits (cell_task_need (step), worker->capacity);
}

static uint32_t
tasks_of_group (const cell_worker_t *worker, const cell_group_t *group)
{
  uint32_t count = 0;
  for (guint i = 0; i < worker->tasks->len; i++)
    count += ((cell_task_t *)worker->tasks->pdata[i])->group == group;
  return count;
}

uint32_t
cell_spread_left (const cell_group_t *group, const cell_worker_t *worker)
{
  uint32_t limit = group->spec->spread;
  if (limit == 0)
    return group->spec->count;
  return limit
         - MIN (limit, tasks_of_group (worker, group) + worker->planned_tasks);
}

static bool
has_serving (const cell_worker_t *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    if (((cell_task_t *)worker->tasks->pdata[i])->group->spec->tail_limit_ms
        > 0)
      return true;
  return false;
}

static bool
has_fillers (const cell_worker_t *worker)
{
  for (guint i = 0; i < worker->tasks->len; i++)
    if (((cell_task_t *)worker->tasks->pdata[i])->group->spec->filler)
      return true;
  return false;
}

/* Lower is better.  Prefers a tight fit, which keeps capacity for large tasks
   elsewhere, but above all the rack of the data, then the separation of
   fillers and serving tasks, then workers without recent failures.  A
   suspected task goes where it would do least harm: to the worker that runs
   others of its job apart, else to the emptiest one.  */
static double
score (const cell_group_t *group, const cell_worker_t *worker, bool suspected)
{
  const work_step_t *step = group->spec;
  resource_t left
      = resource_sub (cell_room_now (worker), cell_task_need (step));
  double value = resource_dominant_share (left, worker->capacity);
  if (suspected && worker->isolated_for == group->job)
    value = -1.0;
  else if (suspected)
    value = 1.0 - value;
  if (step->data_rack != NULL && g_strcmp0 (step->data_rack, worker->rack))
    value += 10.0;
  if (step->filler && has_serving (worker))
    value += 5.0;
  if (step->tail_limit_ms > 0 && has_fillers (worker))
    value += 5.0;
  if (worker->fail_streak > 0)
    value += 2.0;
  return value;
}

static bool
needs_ticket (const cell_group_t *group)
{
  return group->job->queue != NULL && group->job->queue->advised;
}

/* Appends the workers to FOUND that have room for a task of GROUP, which needs
   a ticket, and for which it has one.  */
static void
find_ticketed (cell_t *cell, const cell_group_t *group, GPtrArray *found)
{
  resource_t need = cell_task_need (group->spec);
  cell->pass_stats.workers_looked_at += group->advice->len;
  for (guint i = 0; i < group->advice->len; i++)
    {
      const advice_t *advice = group->advice->pdata[i];
      if (cell_advice_ticket (group, advice) != NULL
          && resource_fits (need, cell_room_now (advice->worker)))
        g_ptr_array_add (found, advice->worker);
    }
}

/* Collects the workers that GROUP may run on now: eligible, with room for one
   of its tasks, and with a ticket if it needs one.  */
static GPtrArray *
collect_workers (cell_t *cell, const cell_group_t *group)
{
  GPtrArray *found = g_ptr_array_new ();
  guint kept = 0;
  if (needs_ticket (group))
    find_ticketed (cell, group, found);
  else
    cell_find_room (cell, group, false, found);
  for (guint i = 0; i < found->len; i++)
    if (eligible (cell, group, found->pdata[i]))
      found->pdata[kept++] = found->pdata[i];
  g_ptr_array_set_size (found, (gint)kept);
  return found;
}

/* Returns the best of WORKERS for TASK, NULL if it fits on none.  RACK: only
   workers of this rack; NULL: any.  */
static cell_worker_t *
best_worker (const cell_task_t *task, const GPtrArray *workers,
             const char *rack)
{
  const cell_group_t *group = task->group;
  bool suspected = cell_task_suspected (task);
  cell_worker_t *best = NULL;
  double best_score = INFINITY;
  resource_t need = cell_task_need (group->spec);
  group->job->cell->pass_stats.workers_looked_at += workers->len;
  for (guint i = 0; i < workers->len; i++)
    {
      cell_worker_t *worker = workers->pdata[i];
      if ((rack != NULL && g_strcmp0 (rack, worker->rack) != 0)
          || !resource_fits (need, cell_room_now (worker))
          || cell_spread_left (group, worker) == 0
          || (suspected && !cell_worker_settled_for (worker, group->job)))
        continue;
      double value = score (group, worker, suspected);
      if (value < best_score)
        {
          best = worker;
          best_score = value;
        }
    }
  return best;
}

static void
place_tasks (cell_group_t *group, const GPtrArray *workers)
{
  for (uint32_t i = 0; i < group->spec->count && group->waiting > 0; i++)
    {
      cell_task_t *task = &group->tasks[i];
      if (task->state != RUN_WAITING || task->worker != NULL
          || group->job->cell->now_ms < task->next_start_ms)
        continue;
      cell_worker_t *worker = best_worker (task, workers, NULL);
      /* A suspected task leaves out workers that others may still use.  */
      if (worker == NULL && !cell_task_suspected (task))
        return;
      if (worker != NULL)
        cell_assign_task (task, worker);
    }
}

/* Assigns workers to all members of the gang, or to none.  Returns whether it
   did.  */
static bool
place_gang_on (cell_group_t *group, const GPtrArray *workers, const char *rack)
{
  uint32_t count = group->spec->count;
  uint32_t run = 0;
  uint32_t placed = 0;
  for (uint32_t i = 0; i < count; i++)
    run = MAX (run, group->tasks[i].run);
  cell_worker_t **chosen = g_new0 (cell_worker_t *, count);
  resource_t need = cell_task_need (group->spec);
  for (; placed < count; placed++)
    {
      chosen[placed] = best_worker (&group->tasks[placed], workers, rack);
      if (chosen[placed] == NULL)
        break;
      chosen[placed]->used = resource_add (chosen[placed]->used, need);
      chosen[placed]->planned_tasks++;
    }
  for (uint32_t i = 0; i < placed; i++)
    {
      chosen[i]->used = resource_sub (chosen[i]->used, need);
      chosen[i]->planned_tasks = 0;
    }
  for (uint32_t i = 0; i < count && placed == count; i++)
    {
      group->tasks[i].run = run; /* members share one run */
      cell_assign_task (&group->tasks[i], chosen[i]);
    }
  g_free (chosen);
  return placed == count;
}

/* Tries each rack before spreading a gang that prefers one rack.  */
static bool
place_gang (cell_group_t *group, const GPtrArray *workers)
{
  if (!group->spec->rack_bound && group->spec->data_rack == NULL)
    return place_gang_on (group, workers, NULL);
  GHashTable *tried = g_hash_table_new (g_str_hash, g_str_equal);
  bool placed = false;
  for (guint i = 0; i < workers->len && !placed; i++)
    {
      const cell_worker_t *worker = workers->pdata[i];
      if (g_hash_table_add (tried, worker->rack))
        placed = place_gang_on (group, workers, worker->rack);
    }
  g_hash_table_unref (tried);
  return placed || place_gang_on (group, workers, NULL);
}

int64_t
cell_run_length_ms (const cell_task_t *task)
{
  if (task->percent < PROGRESS_MIN_PERCENT)
    return task->group->spec->estimate_ms;
  return (task->progress_ms - task->start_confirmed_ms) * 100 / task->percent;
}

static bool
ends_soon (const cell_t *cell, const cell_task_t *task)
{
  if (task->state == RUN_STOPPING || task->state == RUN_DONE)
    return true;
  return task->state == RUN_LIVE && !task->group->spec->lasting
         && task->start_confirmed_ms + cell_run_length_ms (task)
                <= cell->now_ms + SOON_MS;
}

/* Finds out what WORKER has free soon, and what its lasting tasks hold.  */
static void
find_expected_room (const cell_t *cell, cell_worker_t *worker)
{
  resource_t free = resource_sub (worker->capacity, worker->used);
  resource_t lasting = { 0 };
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const cell_task_t *task = worker->tasks->pdata[i];
      const work_step_t *step = task->group->spec;
      if (ends_soon (cell, task))
        free = resource_add (free, cell_task_need (step));
      else if (step->lasting)
        lasting = resource_add (lasting, cell_task_need (step));
    }
  worker->free_soon = free;
  worker->lasting_use = lasting;
}

/* Collects the eligible workers for GROUP, however full; if the queue needs
   advice, only those where it was allowed.  */
static GPtrArray *
collect_reservable (cell_t *cell, const cell_group_t *group)
{
  GPtrArray *found = g_ptr_array_new ();
  bool advised = needs_ticket (group);
  const GPtrArray *from
      = advised ? group->advice
                : cell_workers_with_label (cell, group->spec->label);
  cell->pass_stats.workers_looked_at += from->len;
  for (guint i = 0; i < from->len; i++)
    {
      const advice_t *advice = advised ? from->pdata[i] : NULL;
      cell_worker_t *worker = advised ? advice->worker : from->pdata[i];
      if ((!advised || cell_advice_allows (advice))
          && eligible (cell, group, worker))
        g_ptr_array_add (found, worker);
    }
  return found;
}

/* Whether it is time to log again why GROUP waits.  */
static bool
explanation_due (cell_t *cell, const cell_group_t *group)
{
  if (cell->now_ms < group->next_explain_ms
      || cell->now_ms - group->ready_ms < EXPLAIN_AFTER_MS)
    return false;
  if (cell->now_ms >= cell->explain_second_ms + 1000)
    {
      cell->explain_second_ms = cell->now_ms;
      cell->explained = 0;
    }
  return cell->explained++ < EXPLAIN_MAX_PER_S;
}

/* Logs why tasks of GROUP still wait: how many workers are excluded for which
   reason.  The field "silent" counts the workers that are unresponsive or no
   longer listed, "unfit" the others that are not eligible.  */
static void
log_wait_reasons (cell_t *cell, cell_group_t *group)
{
  uint32_t unresponsive = 0;
  uint32_t ineligible = 0;
  uint32_t denied = 0;
  uint32_t full = 0;
  uint32_t ticketless = 0;
  if (!explanation_due (cell, group))
    return;
  group->next_explain_ms = cell->now_ms + EXPLAIN_PERIOD_MS;
  cell->pass_stats.workers_looked_at += cell->worker_list->len;
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      const cell_worker_t *worker = cell->worker_list->pdata[i];
      if (!worker->responsive || !worker->listed)
        unresponsive++;
      else if (!eligible (cell, group, worker))
        ineligible++;
      else if (cell_worker_denied (group, worker))
        denied++;
      else if (!resource_fits (cell_task_need (group->spec),
                               cell_room_now (worker)))
        full++;
      else
        ticketless++;
    }
  char *waits = group->spec->gang ? cell_wait_times (group) : NULL;
  cell_log_group (
      group, "step_waits",
      "queue=%s size=%s tasks=%u waited_ms=%lld slack_ms=%lld silent=%u "
      "unfit=%u denied=%u full=%u no_ticket=%u asking=%u%s%s",
      group->job->work->queue, size_class_name (group->job->size),
      group->waiting, (long long)(cell->now_ms - group->ready_ms),
      (long long)group->rank.slack_ms, unresponsive, ineligible, denied, full,
      ticketless, group->calls_in_flight, waits != NULL ? " waits=" : "",
      waits != NULL ? waits : "");
  g_free (waits);
}

/* Places what can be placed of GROUP now.  */
static void
place_now (cell_t *cell, cell_group_t *group)
{
  if (cell->now_ms < group->next_start_ms
      || (needs_ticket (group) && !cell_has_tickets (group)))
    return;
  if (group->spec->gang && group->waiting < group->spec->count)
    return;
  GPtrArray *workers = collect_workers (cell, group);
  if (group->spec->gang)
    place_gang (group, workers);
  else
    place_tasks (group, workers);
  if (group->waiting > 0 && !group->misfit)
    cell_hold_workers (cell, group, workers);
  g_ptr_array_unref (workers);
}

/* Whether so much room is kept that GROUP gets none.  */
static bool
enough_is_kept (const cell_t *cell, const cell_group_t *group)
{
  double limit = cell_queue_fares_worse (group->job) ? MAX_KEPT_SHARE_BEHIND
                                                     : MAX_KEPT_SHARE;
  return resource_dominant_share (cell->kept, cell->room) >= limit;
}

/* What GROUP, a gang that can't start now, waits for; WAIT_ROOM: room is to be
   kept for it.  */
static wait_reason_t
find_wait (cell_t *cell, cell_group_t *group)
{
  if (enough_is_kept (cell, group))
    return WAIT_PLACE;
  if (cell->now_ms < group->next_hold_ms)
    return WAIT_PAUSE;
  if (group->rank.tier == RANK_TOO_LATE
      && !cell_under_half_in_use (cell, group))
    return WAIT_VALUE;
  return cell_gang_fits_at_last (cell, group) ? WAIT_ROOM : WAIT_MISFIT;
}

/* Keeps room for GROUP, a gang.  Returns what it waits for now.  */
static wait_reason_t
keep_room (cell_t *cell, cell_group_t *group)
{
  GPtrArray *workers = collect_reservable (cell, group);
  bool kept = cell_keep_room (cell, group, workers);
  g_ptr_array_unref (workers);
  if (kept)
    return WAIT_ROOM;
  return cell->now_ms < group->next_hold_ms ? WAIT_PAUSE : WAIT_ANSWERS;
}

static void
place_group (cell_t *cell, cell_group_t *group)
{
  bool advised = needs_ticket (group);
  wait_reason_t wait = WAIT_REASONS;
  if (cell->kept_workers->len > 0)
    cell_open_kept_room (cell, group);
  place_now (cell, group);
  if (group->spec->gang && group->waiting == group->spec->count)
    wait = find_wait (cell, group);
  if (group->waiting > 0 && advised)
    cell_ask_advice (cell, group, wait == WAIT_ROOM);
  cell_close_kept_room (cell);
  if (wait == WAIT_ROOM)
    wait = keep_room (cell, group);
  else
    cell_end_hold (group,
                   wait < WAIT_REASONS ? cell_wait_name (wait) : "started");
  if (wait < WAIT_REASONS)
    cell_note_wait (group, wait);
  else
    group->wait_seen_ms = 0;
  if (group->waiting > 0)
    log_wait_reasons (cell, group);
}

/* Lets GROUP wait for steps of more urgent queues if its slack permits it.  */
static void
defer_group (cell_group_t *group, uint32_t highest_priority)
{
  if (!group->spec->lasting)
    rank_defer (&group->rank, highest_priority, group->objective_ms);
}

static gint
compare_groups (gconstpointer a, gconstpointer b)
{
  const cell_group_t *left = *(cell_group_t *const *)a;
  const cell_group_t *right = *(cell_group_t *const *)b;
  return rank_compare (&left->rank, &right->rank);
}

/* Prepares the workers for a pass.  */
static void
begin_pass (cell_t *cell)
{
  cell->room = cell->in_use = (resource_t){ 0 };
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      cell_worker_t *worker = cell->worker_list->pdata[i];
      worker->reserved = worker->expected_use = (resource_t){ 0 };
      find_expected_room (cell, worker);
      cell_find_isolation (cell, worker);
      if (!worker->listed)
        continue;
      cell->room = resource_add (cell->room, worker->capacity);
      cell->in_use = resource_add (cell->in_use, worker->used);
    }
  cell_begin_holds (cell);
  cell_compare_sizes (cell);
  g_hash_table_remove_all (cell->queues_without_free_node);
  g_hash_table_remove_all (cell->room_lists);
}

/* Returns the groups that wait, most urgent first (g_ptr_array_unref).  */
static GPtrArray *
rank_groups (cell_t *cell)
{
  GPtrArray *ranked = g_ptr_array_new ();
  uint32_t highest_priority = G_MAXUINT32;
  for (guint i = 0; i < cell->ready_groups->len; i++)
    {
      cell_group_t *group = cell->ready_groups->pdata[i];
      if (group->waiting == 0 || group->job->held)
        continue;
      cell_rank_group (group);
      if (!group->misfit)
        highest_priority = MIN (highest_priority, group->rank.priority);
      g_ptr_array_add (ranked, group);
    }
  for (guint i = 0; i < ranked->len; i++)
    defer_group (ranked->pdata[i], highest_priority);
  g_ptr_array_sort (ranked, compare_groups);
  return ranked;
}

/* Whether the pass over WAITING groups leaves out those that are too late.  */
static bool
sheds_too_late (cell_t *cell, uint32_t waiting)
{
  if (waiting > SHED_GROUPS && cell->now_ms < cell->next_too_late_ms)
    return true;
  cell->next_too_late_ms = cell->now_ms + TOO_LATE_PERIOD_MS;
  return false;
}

/* Ends a pass over WAITING groups.  */
static void
end_pass (cell_t *cell, uint32_t waiting)
{
  int64_t ended_ms = clk_now_ms (cell->clock);
  int64_t took_ms = ended_ms - cell->now_ms;
  int64_t by_groups_ms
      = cell->now_ms + MIN (waiting / GROUPS_PER_MS, MAX_PLACE_PERIOD_MS);
  int64_t by_duration_ms = ended_ms + MIN (took_ms, MAX_PLACE_PERIOD_MS);
  cell->next_place_ms = MAX (by_groups_ms, by_duration_ms);
  cell->load.passes++;
  cell->load.passes_ms += took_ms;
  cell->load.longest_pass_ms = MAX (cell->load.longest_pass_ms, took_ms);
}

void
cell_place (cell_t *cell)
{
  begin_pass (cell);
  GPtrArray *ranked = rank_groups (cell);
  bool sheds = sheds_too_late (cell, ranked->len);
  cell->load.waiting_steps = ranked->len;
  cell->load.too_late_steps = 0;
  cell->load.misfit_steps = 0;
  cell->pass_stats.passes++;
  cell->pass_stats.groups += ranked->len;
  for (guint i = 0; i < ranked->len; i++)
    {
      cell_group_t *group = ranked->pdata[i];
      cell->load.too_late_steps += group->rank.tier == RANK_TOO_LATE;
      cell->load.misfit_steps += group->misfit;
      if (!sheds || group->rank.tier != RANK_TOO_LATE)
        place_group (cell, group);
    }
  cell_end_holds (cell);
  end_pass (cell, ranked->len);
  g_ptr_array_unref (ranked);
}
