#include "cell_internal.h"

/* NAME
     cell_reserve - room that is kept for waiting gangs

   A gang needs room for all its members at a time.  Beside a stream of small
   work it never finds that, unless what becomes free is kept for it.  Kept
   room is lost to all others, so:

   - Room is kept only for a gang that fits once all work that ends has ended:
     not for one that is too wide, too large, or in the way of tasks that last.
   - It is kept for as long as the gang is expected to start in time: within
     HOLD_MS, or as long as the gang has waited, HOLD_MAX_MS at most.  A hold
     that has failed is followed by a pause of the same length.
   - Less than half of the cell's room is kept beyond HOLD_MS while less than
     half of it is in use.
   - A worker is kept for WORKER_HOLD_MS in a row, or as long as the first gang
     of that time may hold it, whatever gangs follow, unless one starts there.
   - A lasting step that only kept room keeps from starting takes it after
     KEPT_OUT_MS; while less than half of the room is in use, a step that ends
     before the gang is expected to start takes it at once.  */

#define HOLD_MS 10000
#define HOLD_MAX_MS 60000
#define HOLD_MIN_PAUSE_MS 2000
/* What ends may end this much later than expected when a hold begins.  */
#define HOLD_MARGIN_MS 2000
#define WORKER_HOLD_MS 15000
#define WORKER_PAUSE_MS 5000
/* A lasting task has to run within 7 s of calm if there is room.  */
#define KEPT_OUT_MS 2000
/* Steps take up to this many times their estimate.  */
#define OVERRUN_FACTOR 1.5
/* A run that is overdue takes at least this much longer.  */
#define OVERDUE_MIN_MS 500
/* Kept room is logged once it has been kept this long, and again after each
   period.  */
#define LOG_AFTER_MS 1000
#define LOG_PERIOD_MS 2000
/* Gangs that do not fit and are found out in one pass; the others wait for the
   next one.  */
#define MISFITS_PER_PASS 20u
/* A gang that does not fit is looked at again after this time if the workers
   or the lasting tasks have changed.  */
#define MISFIT_RETRY_MS 1000

/* When the run of TASK is expected to end; INT64_MAX: not by itself.  One that
   is overdue is expected to stay so for as long again.  */
static int64_t
expected_end_ms (const cell_t *cell, const cell_task_t *task)
{
  const work_step_t *step = task->group->spec;
  int64_t now_ms = cell->now_ms;
  if (task->state == RUN_STOPPING || task->state == RUN_DONE)
    return now_ms;
  if (step->lasting)
    return INT64_MAX;
  if (task->state != RUN_LIVE || task->start_confirmed_ms == 0)
    return now_ms + step->estimate_ms;
  int64_t end_ms = task->start_confirmed_ms + cell_run_length_ms (task);
  return end_ms > now_ms ? end_ms
                         : now_ms + MAX (now_ms - end_ms, OVERDUE_MIN_MS);
}

static int
compare_ends (gconstpointer a, gconstpointer b)
{
  const cell_end_t *left = a;
  const cell_end_t *right = b;
  return left->at_ms < right->at_ms ? -1 : left->at_ms > right->at_ms;
}

/* Finds out when the runs on WORKER are expected to end, unless this pass has
   done so.  */
static void
find_ends (const cell_t *cell, cell_worker_t *worker)
{
  if (worker->ends_pass == cell->pass_stats.passes)
    return;
  worker->ends_pass = cell->pass_stats.passes;
  g_array_set_size (worker->ends, 0);
  for (guint i = 0; i < worker->tasks->len; i++)
    {
      const cell_task_t *task = worker->tasks->pdata[i];
      cell_end_t end = { expected_end_ms (cell, task),
                         cell_task_need (task->group->spec) };
      g_array_append_val (worker->ends, end);
    }
  g_array_sort (worker->ends, compare_ends);
}

/* When WORKER is expected to have the room NEED, as its tasks end.  */
static int64_t
room_at_ms (const cell_t *cell, cell_worker_t *worker, resource_t need)
{
  resource_t free = resource_sub (worker->capacity, worker->used);
  if (resource_fits (need, free))
    return cell->now_ms;
  find_ends (cell, worker);
  for (guint i = 0; i < worker->ends->len; i++)
    {
      const cell_end_t *end = &g_array_index (worker->ends, cell_end_t, i);
      if (end->at_ms == INT64_MAX)
        break;
      free = resource_add (free, end->room);
      if (resource_fits (need, free))
        return end->at_ms;
    }
  return INT64_MAX;
}

/* The room of WORKER that no task holds for good.  */
static resource_t
ending_room (const cell_worker_t *worker)
{
  return resource_sub (worker->capacity, worker->lasting_use);
}

/* Whether all tasks of GROUP fit on the workers that it may use once what ends
   there has ended.  */
static bool
fits_at_last (cell_t *cell, const cell_group_t *group)
{
  const work_step_t *step = group->spec;
  resource_t need = cell_task_need (step);
  const GPtrArray *workers = cell_workers_with_label (cell, step->label);
  uint32_t slots = 0;
  cell->pass_stats.workers_looked_at += workers->len;
  for (guint i = 0; i < workers->len && slots < step->count; i++)
    {
      const cell_worker_t *worker = workers->pdata[i];
      resource_t room = ending_room (worker);
      uint32_t most
          = step->spread > 0 ? MIN (step->spread, step->count) : step->count;
      if (!worker->listed || worker->draining || !worker->responsive
          || cell_worker_denied (group, worker))
        continue;
      for (uint32_t j = 0;
           j < most && slots < step->count && resource_fits (need, room); j++)
        {
          room = resource_sub (room, need);
          slots++;
        }
    }
  return slots >= step->count;
}

bool
cell_gang_fits_at_last (cell_t *cell, cell_group_t *group)
{
  if (group->misfit
      && (group->misfit_epoch == cell->fit_epoch
          || cell->now_ms < group->next_fit_ms))
    return false;
  if (cell->misfits >= MISFITS_PER_PASS)
    return false;
  bool fits = fits_at_last (cell, group);
  if (!fits && !group->misfit)
    cell_log_group (group, "gang_misfit", "tasks=%u", group->spec->count);
  group->misfit = !fits;
  group->misfit_epoch = cell->fit_epoch;
  group->next_fit_ms = cell->now_ms + MISFIT_RETRY_MS;
  cell->misfits += !fits;
  return fits;
}

/* Share of ROOM that is in use, by the dimension of NEED that is used least.
   Memory counts only for a step that needs nothing else.  */
static double
used_share (const cell_t *cell, resource_t need)
{
  double share = 1.0;
  bool only_memory = need.cpu_millis == 0 && need.accelerators == 0;
  if (need.cpu_millis > 0 && cell->room.cpu_millis > 0)
    share = MIN (share, (double)cell->in_use.cpu_millis
                            / (double)cell->room.cpu_millis);
  if (need.accelerators > 0 && cell->room.accelerators > 0)
    share = MIN (share, (double)cell->in_use.accelerators
                            / (double)cell->room.accelerators);
  if (only_memory && cell->room.memory_mib > 0)
    share = (double)cell->in_use.memory_mib / (double)cell->room.memory_mib;
  return share;
}

bool
cell_under_half_in_use (const cell_t *cell, const cell_group_t *group)
{
  return used_share (cell, cell_task_need (group->spec)) < 0.5;
}

/* How long a hold of GROUP that begins now may last.  */
static int64_t
allowance_ms (const cell_t *cell, const cell_group_t *group)
{
  int64_t waited_ms
      = cell->now_ms - MAX (group->ready_ms, group->hold_ended_ms);
  resource_t all = cell->kept;
  resource_t need = cell_task_need (group->spec);
  all.cpu_millis += need.cpu_millis * group->spec->count;
  all.accelerators += need.accelerators * group->spec->count;
  if (cell_under_half_in_use (cell, group)
      && resource_dominant_share (all, cell->room) > 0.5)
    return HOLD_MS;
  return CLAMP (waited_ms, HOLD_MS, HOLD_MAX_MS);
}

/* Whether room on WORKER may be kept now.  */
static bool
may_be_kept (const cell_t *cell, const cell_worker_t *worker)
{
  return cell->now_ms >= worker->open_until_ms;
}

/* A worker that could take a member of a gang.  */
typedef struct
{
  cell_worker_t *worker;
  int64_t at_ms; /* when it is expected to have the room; INT64_MAX: it does
                    not take one more */
} seat_t;

/* When WORKER is expected to have room for one more member of GROUP, beside
   what is reserved there.  */
static int64_t
next_seat_ms (const cell_t *cell, const cell_group_t *group,
              cell_worker_t *worker)
{
  resource_t need
      = resource_add (worker->reserved, cell_task_need (group->spec));
  if (cell_spread_left (group, worker) == 0
      || !resource_fits (need, ending_room (worker)))
    return INT64_MAX;
  return room_at_ms (cell, worker, need);
}

/* Returns the seats for GROUP on WORKERS: seat_t (g_array_unref).  */
static GArray *
find_seats (cell_t *cell, const cell_group_t *group, const GPtrArray *workers)
{
  GArray *seats = g_array_new (FALSE, FALSE, sizeof (seat_t));
  cell->pass_stats.workers_looked_at += workers->len;
  for (guint i = 0; i < workers->len; i++)
    {
      seat_t seat = { .worker = workers->pdata[i] };
      if (!may_be_kept (cell, seat.worker))
        continue;
      seat.at_ms = next_seat_ms (cell, group, seat.worker);
      if (seat.at_ms != INT64_MAX)
        g_array_append_val (seats, seat);
    }
  return seats;
}

/* Returns the seat that is free first, NULL if there is none.  */
static seat_t *
first_seat (const GArray *seats)
{
  seat_t *first = NULL;
  for (guint i = 0; i < seats->len; i++)
    {
      seat_t *seat = &g_array_index (seats, seat_t, i);
      if (seat->at_ms != INT64_MAX
          && (first == NULL || seat->at_ms < first->at_ms))
        first = seat;
    }
  return first;
}

/* Reserves room for each member of GROUP on those of WORKERS that have it
   first, and appends these to PLAN.  Returns when all of it is expected to be
   free; INT64_MAX: it does not fit, and PLAN has the members that do.  */
static int64_t
plan_members (cell_t *cell, const cell_group_t *group,
              const GPtrArray *workers, GPtrArray *plan)
{
  resource_t need = cell_task_need (group->spec);
  int64_t start_ms = cell->now_ms;
  GArray *seats = find_seats (cell, group, workers);
  while (plan->len < group->spec->count)
    {
      seat_t *seat = first_seat (seats);
      if (seat == NULL)
        break;
      start_ms = MAX (start_ms, seat->at_ms);
      seat->worker->reserved = resource_add (seat->worker->reserved, need);
      seat->worker->planned_tasks++;
      g_ptr_array_add (plan, seat->worker);
      seat->at_ms = next_seat_ms (cell, group, seat->worker);
    }
  for (guint i = 0; i < plan->len; i++)
    ((cell_worker_t *)plan->pdata[i])->planned_tasks = 0;
  g_array_unref (seats);
  return plan->len == group->spec->count ? start_ms : INT64_MAX;
}

/* Takes back what PLAN has reserved for GROUP.  */
static void
drop_plan (const cell_group_t *group, const GPtrArray *plan)
{
  resource_t need = cell_task_need (group->spec);
  for (guint i = 0; i < plan->len; i++)
    {
      cell_worker_t *worker = plan->pdata[i];
      worker->reserved = resource_sub (worker->reserved, need);
    }
}

/* Notes with the workers of PLAN that they are kept, until START_MS as far as
   is known.  */
static void
keep_workers (cell_t *cell, const cell_group_t *group, const GPtrArray *plan,
              int64_t start_ms)
{
  for (guint i = 0; i < plan->len; i++)
    {
      cell_worker_t *worker = plan->pdata[i];
      if (worker->kept_pass != cell->pass_stats.passes)
        {
          g_ptr_array_add (cell->kept_workers, worker);
          worker->kept_until_ms = start_ms;
          if (worker->kept_since_ms == 0)
            worker->kept_limit_ms = group->hold_until_ms;
        }
      worker->kept_until_ms = MIN (worker->kept_until_ms, start_ms);
      worker->kept_pass = cell->pass_stats.passes;
      cell->kept = resource_add (cell->kept, cell_task_need (group->spec));
    }
}

static void
log_hold (cell_group_t *group, const GPtrArray *plan, int64_t start_ms)
{
  const cell_t *cell = group->job->cell;
  resource_t need = cell_task_need (group->spec);
  long long count = plan->len;
  if (cell->now_ms < group->next_hold_log_ms)
    return;
  group->next_hold_log_ms = cell->now_ms + LOG_PERIOD_MS;
  group->hold_logged = true;
  cell_log_group (group, "room_kept",
                  "queue=%s tasks=%u cpu_millis=%lld accelerators=%lld "
                  "kept_ms=%lld left_ms=%lld starts_in_ms=%lld waited_ms=%lld",
                  group->job->work->queue, plan->len, need.cpu_millis * count,
                  need.accelerators * count,
                  (long long)(cell->now_ms - group->hold_since_ms),
                  (long long)(group->hold_until_ms - cell->now_ms),
                  (long long)(start_ms - cell->now_ms),
                  (long long)(cell->now_ms - group->ready_ms));
}

void
cell_end_hold (cell_group_t *group, const char *why)
{
  const cell_t *cell = group->job->cell;
  if (group->hold_since_ms == 0)
    return;
  if (group->hold_logged)
    cell_log_group (group, "room_released", "why=%s kept_ms=%lld", why,
                    (long long)(cell->now_ms - group->hold_since_ms));
  group->hold_since_ms = 0;
  group->hold_logged = false;
  group->hold_ended_ms = cell->now_ms;
}

/* Ends the hold of GROUP, which did not start in time.  */
static void
fail_hold (cell_group_t *group)
{
  int64_t now_ms = group->job->cell->now_ms;
  int64_t held_ms
      = group->hold_since_ms > 0 ? now_ms - group->hold_since_ms : 0;
  cell_end_hold (group, "late");
  group->next_hold_ms = now_ms + MAX (held_ms, HOLD_MIN_PAUSE_MS);
}

bool
cell_keep_room (cell_t *cell, cell_group_t *group, const GPtrArray *workers)
{
  bool kept = false;
  GPtrArray *plan = g_ptr_array_new ();
  if (cell->now_ms < group->next_hold_ms)
    goto out;
  int64_t start_ms = plan_members (cell, group, workers, plan);
  bool holds = group->hold_since_ms > 0;
  int64_t until_ms = holds ? group->hold_until_ms
                           : cell->now_ms + allowance_ms (cell, group);
  kept = start_ms <= until_ms - (holds ? 0 : HOLD_MARGIN_MS)
         && cell->now_ms < until_ms;
  if (!kept)
    {
      drop_plan (group, plan);
      /* A worker that is missing for a moment does not end the hold.  */
      if (start_ms != INT64_MAX || cell->now_ms >= until_ms)
        fail_hold (group);
      goto out;
    }
  if (group->hold_since_ms == 0)
    {
      group->hold_since_ms = cell->now_ms;
      group->hold_until_ms = until_ms;
      group->next_hold_log_ms = cell->now_ms + LOG_AFTER_MS;
    }
  cell->load.holding_steps++;
  cell->load.longest_hold_ms
      = MAX (cell->load.longest_hold_ms, cell->now_ms - group->hold_since_ms);
  keep_workers (cell, group, plan, start_ms);
  log_hold (group, plan, start_ms);
out:
  g_ptr_array_unref (plan);
  return kept;
}

void
cell_begin_holds (cell_t *cell)
{
  cell->kept = (resource_t){ 0 };
  cell->misfits = 0;
  cell->load.holding_steps = 0;
  cell->load.longest_hold_ms = 0;
  g_ptr_array_set_size (cell->kept_workers, 0);
}

void
cell_end_holds (cell_t *cell)
{
  uint64_t pass = cell->pass_stats.passes;
  cell->load.kept_cpu_millis = cell->kept.cpu_millis;
  cell->load.kept_accelerators = cell->kept.accelerators;
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      cell_worker_t *worker = cell->worker_list->pdata[i];
      if (worker->kept_pass != pass)
        worker->kept_since_ms = 0;
      else if (worker->kept_since_ms == 0)
        {
          worker->kept_since_ms = cell->now_ms;
          worker->kept_limit_ms
              = MAX (worker->kept_limit_ms, cell->now_ms + WORKER_HOLD_MS);
        }
      else if (cell->now_ms >= worker->kept_limit_ms)
        {
          worker->kept_since_ms = 0;
          worker->open_until_ms = cell->now_ms + WORKER_PAUSE_MS;
        }
    }
}

/* Whether GROUP may run on WORKER, which is kept, and a task fits there.  */
static bool
is_kept_from (const cell_group_t *group, const cell_worker_t *worker)
{
  return worker->listed && cell_worker_takes_starts (worker)
         && worker->reserved.cpu_millis + worker->reserved.memory_mib
                    + worker->reserved.accelerators
                > 0
         && (group->spec->label == NULL
             || g_hash_table_contains (worker->labels, group->spec->label))
         && resource_fits (cell_task_need (group->spec),
                           resource_sub (worker->capacity, worker->used))
         && cell_spread_left (group, worker) > 0
         && !cell_worker_denied (group, worker);
}

/* Whether GROUP, if it starts now, has ended when the gang is to start for
   which WORKER is kept.  */
static bool
ends_before_gang (const cell_group_t *group, const cell_worker_t *worker)
{
  const cell_t *cell = group->job->cell;
  double longest_ms
      = (double)rank_longest_ms (group->job->durations, group->spec->count,
                                 group->spec->estimate_ms)
        * OVERRUN_FACTOR;
  return !group->spec->lasting && !group->spec->gang
         && (double)(worker->kept_until_ms - cell->now_ms) >= longest_ms;
}

void
cell_open_kept_room (cell_t *cell, cell_group_t *group)
{
  bool kept_out = false;
  bool waited = group->kept_out_ms > 0
                && cell->now_ms - group->kept_out_ms >= KEPT_OUT_MS;
  bool calm = cell_under_half_in_use (cell, group);
  cell->pass_stats.workers_looked_at += cell->kept_workers->len;
  for (guint i = 0; i < cell->kept_workers->len; i++)
    {
      cell_worker_t *worker = cell->kept_workers->pdata[i];
      if (!is_kept_from (group, worker))
        continue;
      kept_out = true;
      worker->kept_room_open = group->spec->lasting
                                   ? waited
                                   : calm && ends_before_gang (group, worker);
    }
  if (!kept_out)
    group->kept_out_ms = 0;
  else if (group->kept_out_ms == 0)
    group->kept_out_ms = cell->now_ms;
}

void
cell_close_kept_room (cell_t *cell)
{
  for (guint i = 0; i < cell->kept_workers->len; i++)
    ((cell_worker_t *)cell->kept_workers->pdata[i])->kept_room_open = false;
}
