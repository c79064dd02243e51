#include "backoff.h"
#include "cell_internal.h"

#include <math.h>

/* NAME
     cell_advice - which workers may run a step, and its tickets

   A call to the advice service takes up to a second, during which the calling
   node serves few or no other steps, and its tickets last two seconds.  So
   calls name only workers that have free capacity now or soon, after
   subtracting what the steps that asked earlier in the pass are expected to
   place there.  The most urgent gangs, for which capacity is reserved, may
   name any worker and renew their tickets; other gangs ask only if capacity
   for all their tasks is expected.  */

/* Workers named in one call, which takes longer with each.  The objectives of
   jobs leave time for calls that name 30.  */
#define CALL_MAX_WORKERS 30u
/* Concurrent calls for a gang with reserved capacity: one, and one more for
   each GANG_TASKS_PER_CALL tasks, up to GANG_MAX_CALLS.  */
#define GANG_MAX_CALLS 3u
#define GANG_TASKS_PER_CALL 3u
/* A ticket is renewed this long before it expires, on top of the duration of
   the call.  */
#define TICKET_RENEW_BEFORE_MS 150
/* A ticket with less time left may expire before it reaches the worker, since
   a save comes before the start.  */
#define TICKET_MARGIN_MS 60
/* First and longest pause after calls of a step without an answer.  The first
   is short, since another node makes the next call.  */
#define ASK_RETRY_MS 20
#define ASK_MAX_RETRY_MS 500
/* Share of allowed workers that is assumed for a new queue; it counts as much
   as answers for PRIOR_WEIGHT workers.  Deployments have 0.3 to 0.7.  */
#define PRIOR_ALLOWED_SHARE 0.5
#define PRIOR_WEIGHT 20.0
/* A call names first the workers with the highest score: the free share of
   their capacity, from 0 to 1, plus these bonuses if a task fits there now and
   if they were allowed before.  */
#define FITS_BONUS 1.0
#define ALLOWED_BONUS 0.5

void
cell_advice_free (void *data)
{
  advice_t *advice = data;
  g_free (advice->ticket);
  g_free (advice);
}

/* Returns the index in GROUP->advice of the first one about WORKER or a later
   one.  */
static guint
advice_index (const cell_group_t *group, const cell_worker_t *worker)
{
  guint low = 0;
  guint high = group->advice->len;
  while (low < high)
    {
      guint middle = low + (high - low) / 2;
      const advice_t *advice = group->advice->pdata[middle];
      if (advice->worker->number < worker->number)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static advice_t *
find_advice (const cell_group_t *group, const cell_worker_t *worker)
{
  guint at = advice_index (group, worker);
  advice_t *advice = at < group->advice->len ? group->advice->pdata[at] : NULL;
  return advice != NULL && advice->worker == worker ? advice : NULL;
}

void
cell_forget_advice (cell_group_t *group, const cell_worker_t *worker)
{
  if (find_advice (group, worker) != NULL)
    g_ptr_array_remove_index (group->advice, advice_index (group, worker));
}

void
cell_forget_worker (cell_t *cell, const cell_worker_t *worker)
{
  for (guint i = 0; i < cell->ready_groups->len; i++)
    cell_forget_advice (cell->ready_groups->pdata[i], worker);
}

const char *
cell_advice_ticket (const cell_group_t *group, const advice_t *advice)
{
  if (advice->ticket == NULL
      || advice->worker_start_ms != advice->worker->start_ms
      || advice->valid_until_ms < group->job->cell->now_ms + TICKET_MARGIN_MS)
    return NULL;
  return advice->ticket;
}

const char *
cell_ticket (const cell_group_t *group, const cell_worker_t *worker)
{
  const advice_t *advice = find_advice (group, worker);
  return advice != NULL ? cell_advice_ticket (group, advice) : NULL;
}

void
cell_note_ticket_used (const cell_group_t *group, const cell_worker_t *worker)
{
  advice_t *advice = find_advice (group, worker);
  if (advice != NULL)
    advice->used = true;
}

bool
cell_has_tickets (const cell_group_t *group)
{
  return group->tickets_until_ms
         >= group->job->cell->now_ms + TICKET_MARGIN_MS;
}

bool
cell_advice_allows (const advice_t *advice)
{
  return advice->answered && advice->ticket != NULL;
}

static bool
is_denied (const advice_t *advice)
{
  return advice->answered && advice->ticket == NULL;
}

bool
cell_worker_denied (const cell_group_t *group, const cell_worker_t *worker)
{
  const advice_t *advice = find_advice (group, worker);
  return advice != NULL && is_denied (advice);
}

/* A search for workers to name in the next call of a group.  */
typedef struct
{
  cell_t *cell;
  cell_group_t *group;
  double expected_slots; /* that tickets and calls will yield */
  GArray *candidates;    /* candidate_t to name in a call */
  GArray *expected;      /* expected_use_t that this search has added */
  bool reserving;        /* see cell_ask_advice */
  uint64_t number;       /* among the searches of the cell */
} search_t;

/* Part of what a worker is expected to be used for.  */
typedef struct
{
  cell_worker_t *worker;
  resource_t use;
} expected_use_t;

typedef struct
{
  cell_worker_t *worker;
  uint32_t slots; /* tasks of the group that fit there soon */
  double chance;  /* probability of being allowed */
  double score;   /* higher is better */
} candidate_t;

/* Adds CANDIDATE to the best CALL_MAX_WORKERS, behind equal ones.  */
static void
add_candidate (GArray *candidates, const candidate_t *candidate)
{
  guint at = candidates->len;
  while (at > 0
         && g_array_index (candidates, candidate_t, at - 1).score
                < candidate->score)
    at--;
  if (at >= CALL_MAX_WORKERS)
    return;
  if (candidates->len >= CALL_MAX_WORKERS)
    g_array_set_size (candidates, CALL_MAX_WORKERS - 1);
  g_array_insert_vals (candidates, at, candidate, 1);
}

/* Whether GROUP could run on WORKER if it were empty and allowed.  Unlike
   "eligible" in cell_place.c, includes workers that take no new tasks for the
   moment.  */
static bool
usable (const cell_group_t *group, const cell_worker_t *worker)
{
  const work_step_t *step = group->spec;
  return worker->listed && !worker->draining && worker->responsive
         && (step->label == NULL
             || g_hash_table_contains (worker->labels, step->label))
         && resource_fits (cell_task_need (step), worker->capacity);
}

/* Share of the workers named in calls of QUEUE that were allowed so far.  */
static double
allowed_share (const cell_t *cell, const char *queue)
{
  const advice_counts_t *counts
      = g_hash_table_lookup (cell->advice_counts, queue);
  return counts == NULL
             ? PRIOR_ALLOWED_SHARE
             : (counts->allowed + PRIOR_ALLOWED_SHARE * PRIOR_WEIGHT)
                   / (counts->named + PRIOR_WEIGHT);
}

/* Tasks of GROUP that fit on WORKER soon, after subtracting reserved capacity
   and the expected use by groups that asked earlier in the pass.  */
static uint32_t
slots_soon (const cell_group_t *group, const cell_worker_t *worker)
{
  resource_t need = cell_task_need (group->spec);
  resource_t free = cell_room_soon (worker);
  if (!resource_fits (need, free))
    return 0;
  uint32_t max_slots = MIN (group->waiting, cell_spread_left (group, worker));
  uint32_t slots = 0;
  while (slots < max_slots && resource_fits (need, free))
    {
      free = resource_sub (free, need);
      slots++;
    }
  return slots;
}

/* Adds SLOTS slots on WORKER, each with probability CHANCE, to the expected
   slots of SEARCH and to the expected use of WORKER, until slots are expected
   for all waiting tasks of the group.  */
static void
expect_slots (search_t *search, cell_worker_t *worker, uint32_t slots,
              double chance)
{
  resource_t need = cell_task_need (search->group->spec);
  for (uint32_t i = 0;
       i < slots && search->expected_slots < (double)search->group->waiting;
       i++)
    {
      expected_use_t expected
          = { worker,
              { (int64_t)((double)need.cpu_millis * chance),
                (int64_t)((double)need.memory_mib * chance),
                (int64_t)ceil ((double)need.accelerators * chance) } };
      search->expected_slots += chance;
      worker->expected_use = resource_add (worker->expected_use, expected.use);
      g_array_append_val (search->expected, expected);
    }
}

/* The group of SEARCH is not expected to start soon: what it would use is left
   to the steps after it.  */
static void
expect_nothing (search_t *search)
{
  for (guint i = 0; i < search->expected->len; i++)
    {
      const expected_use_t *expected
          = &g_array_index (search->expected, expected_use_t, i);
      expected->worker->expected_use
          = resource_sub (expected->worker->expected_use, expected->use);
    }
  g_array_set_size (search->expected, 0);
}

static double
candidate_score (const cell_group_t *group, const cell_worker_t *worker,
                 bool allowed)
{
  resource_t free = resource_sub (worker->capacity, worker->used);
  double score = resource_dominant_share (free, worker->capacity);
  if (resource_fits (cell_task_need (group->spec), free))
    score += FITS_BONUS;
  return allowed ? score + ALLOWED_BONUS : score;
}

/* Whether ADVICE will still hold a ticket after another call, or a call in
   flight may yield one.  */
static bool
may_yield_slot (const cell_group_t *group, const advice_t *advice)
{
  int64_t soon_ms = group->job->cell->now_ms
                    + (int64_t)group->job->queue->advice_ms
                    + TICKET_RENEW_BEFORE_MS;
  return advice->call != 0
         || (advice->valid_until_ms > soon_ms
             && advice->worker_start_ms == advice->worker->start_ms);
}

/* Adds up the slots that tickets and calls in flight are expected to yield,
   and notes with each worker what was advised about it.  */
static void
count_expected_slots (search_t *search, double share)
{
  cell_group_t *group = search->group;
  search->cell->pass_stats.workers_looked_at += group->advice->len;
  for (guint i = 0; i < group->advice->len; i++)
    {
      const advice_t *advice = group->advice->pdata[i];
      cell_worker_t *worker = advice->worker;
      worker->advice = advice;
      worker->advice_search = search->number;
      if (!is_denied (advice) && may_yield_slot (group, advice)
          && usable (group, worker))
        expect_slots (search, worker, slots_soon (group, worker),
                      cell_advice_allows (advice) ? 1.0 : share);
    }
}

/* Collects the workers to name in a call, best first.  */
static void
collect_candidates (search_t *search, double share)
{
  cell_t *cell = search->cell;
  cell_group_t *group = search->group;
  GPtrArray *found = NULL;
  const GPtrArray *workers;
  if (search->reserving)
    workers = cell_workers_with_label (cell, group->spec->label);
  else
    {
      workers = found = g_ptr_array_new ();
      cell_find_room (cell, group, true, found);
    }
  cell->pass_stats.workers_looked_at += workers->len;
  for (guint i = 0; i < workers->len; i++)
    {
      cell_worker_t *worker = workers->pdata[i];
      uint32_t slots = slots_soon (group, worker);
      if (slots == 0 && !search->reserving)
        continue;
      const advice_t *advice
          = worker->advice_search == search->number ? worker->advice : NULL;
      bool allowed = advice != NULL && cell_advice_allows (advice);
      if ((advice != NULL
           && (is_denied (advice) || may_yield_slot (group, advice)))
          || !usable (group, worker))
        continue;
      candidate_t candidate = { worker, slots, allowed ? 1.0 : share,
                                candidate_score (group, worker, allowed) };
      add_candidate (search->candidates, &candidate);
    }
  if (found != NULL)
    g_ptr_array_unref (found);
}

/* Expects slots on the candidates; leaves none for a gang that a call would
   not help.  */
static void
expect_candidates (search_t *search)
{
  double waiting = (double)search->group->waiting;
  for (guint i = 0; i < search->candidates->len; i++)
    {
      const candidate_t *candidate
          = &g_array_index (search->candidates, candidate_t, i);
      expect_slots (search, candidate->worker, candidate->slots,
                    candidate->chance);
    }
  /* A gang without capacity for all tasks would let its tickets expire
     unused.  */
  if (search->group->spec->gang && !search->reserving
      && search->expected_slots < waiting)
    {
      g_array_set_size (search->candidates, 0);
      expect_nothing (search);
    }
}

static advice_t *
get_advice (cell_group_t *group, cell_worker_t *worker)
{
  advice_t *advice = find_advice (group, worker);
  if (advice == NULL)
    {
      advice = g_new0 (advice_t, 1);
      advice->worker = worker;
      g_ptr_array_insert (group->advice, (gint)advice_index (group, worker),
                          advice);
    }
  return advice;
}

/* Sends the call that names the candidates of SEARCH.  Returns false if every
   node is busy.  */
static bool
send_call (const search_t *search)
{
  cell_t *cell = search->cell;
  cell_group_t *group = search->group;
  const queue_t *queue = group->job->queue;
  const char *names[CALL_MAX_WORKERS];
  char step[WORK_NAME_BYTES];
  guint count = search->candidates->len;
  work_step_name_format (step, group->job->id, group->occurrence, group->step);
  for (guint i = 0; i < count; i++)
    names[i] = g_array_index (search->candidates, candidate_t, i).worker->id;
  if (!cell->actions->advise (
          cell->context, step, group->last_call + 1, names, count,
          queue->advice_ms + queue->advice_each_ms * (double)count))
    {
      cell->load.advice_busy++;
      return false;
    }
  cell->load.advice_calls++;
  group->last_call++;
  group->calls_in_flight++;
  for (guint i = 0; i < count; i++)
    get_advice (group,
                g_array_index (search->candidates, candidate_t, i).worker)
        ->call
        = group->last_call;
  return true;
}

/* Makes one call if it is needed and a node is free.  Returns whether it did.
 */
static bool
try_call (cell_t *cell, cell_group_t *group, bool reserving)
{
  const char *queue = group->job->queue->name;
  if (g_hash_table_contains (cell->queues_without_free_node, queue))
    return false;
  search_t search = { cell,
                      group,
                      0.0,
                      g_array_new (FALSE, FALSE, sizeof (candidate_t)),
                      g_array_new (FALSE, FALSE, sizeof (expected_use_t)),
                      reserving,
                      ++cell->last_advice_search };
  double share = allowed_share (cell, queue);
  count_expected_slots (&search, share);
  if (search.expected_slots < (double)group->waiting || reserving)
    {
      collect_candidates (&search, share);
      expect_candidates (&search);
    }
  bool sent = search.candidates->len > 0 && send_call (&search);
  /* Other steps of the queue would find no free node either.  */
  if (search.candidates->len > 0 && !sent)
    g_hash_table_add (cell->queues_without_free_node, g_strdup (queue));
  g_array_unref (search.candidates);
  g_array_unref (search.expected);
  return sent;
}

void
cell_ask_advice (cell_t *cell, cell_group_t *group, bool reserving)
{
  uint32_t max_calls = 1;
  if (reserving)
    max_calls
        = MIN (GANG_MAX_CALLS, 1 + group->spec->count / GANG_TASKS_PER_CALL);
  /* One whose starts pause, or that does not fit, has no use for tickets.  */
  if (cell->now_ms < group->next_ask_ms || cell->now_ms < group->next_start_ms
      || group->misfit)
    return;
  while (group->calls_in_flight < max_calls
         && try_call (cell, group, reserving))
    ;
}

/* STEP: "ID.OCCURRENCE.STEP".  */
static cell_group_t *
find_group (cell_t *cell, const char *step)
{
  char name[WORK_NAME_BYTES];
  work_name_t parts;
  g_snprintf (name, sizeof name, "%s.0", step);
  if (!work_name_parse (name, &parts))
    return NULL;
  cell_job_t *job = g_hash_table_lookup (cell->jobs, parts.id);
  if (job == NULL || job->work == NULL)
    return NULL;
  return cell_job_group (job, parts.occurrence, parts.step);
}

/* Marks CALL as answered for the workers that it named, all of them denied
   until cell_advice_answered adds the tickets; if not OK, leaves their advice
   as it was.  Returns how many workers the call named.  */
static uint32_t
finish_advice_call (cell_t *cell, cell_group_t *group, uint32_t call, bool ok,
                    int64_t valid_ms)
{
  uint32_t named = 0;
  for (guint i = 0; i < group->advice->len; i++)
    {
      advice_t *advice = group->advice->pdata[i];
      if (advice->call != call)
        continue;
      advice->call = 0;
      named++;
      if (!ok)
        continue;
      advice->answered = true;
      advice->valid_until_ms = cell->now_ms + valid_ms;
      advice->worker_start_ms = advice->worker->start_ms;
      cell->load.tickets_unused += advice->ticket != NULL && !advice->used;
      advice->used = false;
      g_clear_pointer (&advice->ticket, g_free);
    }
  return named;
}

static void
count_answer (cell_t *cell, const char *queue, uint32_t named,
              uint32_t allowed)
{
  advice_counts_t *counts = g_hash_table_lookup (cell->advice_counts, queue);
  if (counts == NULL)
    {
      counts = g_new0 (advice_counts_t, 1);
      g_hash_table_insert (cell->advice_counts, g_strdup (queue), counts);
    }
  counts->named += named;
  counts->allowed += allowed;
}

void
cell_advice_answered (cell_t *cell, const char *step, uint32_t call, bool ok,
                      const advice_row_t *rows, uint32_t count,
                      int64_t valid_ms)
{
  cell->now_ms = clk_now_ms (cell->clock);
  cell->place_pending = true;
  cell_group_t *group = find_group (cell, step);
  if (group == NULL)
    return;
  group->calls_in_flight -= group->calls_in_flight > 0;
  uint32_t named = finish_advice_call (cell, group, call, ok, valid_ms);
  group->ask_failures = ok ? 0 : group->ask_failures + 1;
  cell->load.advice_failures += !ok;
  if (!ok)
    group->next_ask_ms
        = cell->now_ms
          + backoff_ms (group->ask_failures, ASK_RETRY_MS, ASK_MAX_RETRY_MS);
  uint32_t allowed = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      const cell_worker_t *worker = cell_find_worker (cell, rows[i].worker);
      advice_t *advice = worker != NULL ? find_advice (group, worker) : NULL;
      if (advice == NULL || !advice->answered || advice->ticket != NULL)
        continue;
      allowed++;
      advice->ticket = g_strdup (rows[i].ticket);
      cell->load.tickets++;
      group->tickets_until_ms
          = MAX (group->tickets_until_ms, advice->valid_until_ms);
    }
  if (ok && group->job->queue != NULL)
    count_answer (cell, group->job->queue->name, named, allowed);
}
