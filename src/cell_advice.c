#include "cell_int.h"

/* Most workers named in one call; the objective of a job counts on 30.  */
#define ASK_MOST_WORKERS 30
/* A ticket is renewed this long before it expires, on top of the duration of
   the call.  */
#define RENEW_BEFORE_MS 150
/* A ticket that expires sooner may do so on its way to the worker: a save
   comes before the start.  */
#define TICKET_MARGIN_MS 60
/* Pause after a call without an answer.  */
#define ASK_AGAIN_MS 20
/* Calls at the same time for a gang: one, and one more for so many tasks.  */
#define GANG_CALLS 3u
#define GANG_TASKS_A_CALL 3u

static permit_t *
permit_of (const cell_group_t *group, const cell_worker_t *worker)
{
  return g_hash_table_lookup (group->permits, worker->id);
}

const char *
cell_ticket (const cell_group_t *group, const cell_worker_t *worker)
{
  const permit_t *permit = permit_of (group, worker);
  if (permit == NULL || permit->ticket == NULL
      || permit->born_ms != worker->born_ms
      || permit->valid_until_ms < group->job->cell->now_ms + TICKET_MARGIN_MS)
    return NULL;
  return permit->ticket;
}

bool
cell_has_tickets (const cell_group_t *group)
{
  return group->tickets_until_ms
         >= group->job->cell->now_ms + TICKET_MARGIN_MS;
}

bool
cell_denied (const cell_group_t *group, const cell_worker_t *worker)
{
  const permit_t *permit = permit_of (group, worker);
  return permit != NULL && permit->known && permit->ticket == NULL;
}

typedef struct
{
  cell_worker_t *worker;
  double room; /* free share, higher first */
} candidate_t;

static gint
compare_candidates (gconstpointer a, gconstpointer b)
{
  const candidate_t *left = a;
  const candidate_t *right = b;
  return left->room > right->room ? -1 : left->room < right->room;
}

static bool
usable (const cell_group_t *group, const cell_worker_t *worker)
{
  const work_step_t *step = group->spec;
  return worker->listed && !worker->draining && worker->ok
         && !cell_denied (group, worker)
         && (step->label == NULL
             || g_hash_table_contains (worker->labels, step->label))
         && resource_fits (cell_need (step), worker->capacity);
}

/* Fills CANDIDATES with the workers to name.  */
static void
collect_candidates (cell_t *cell, cell_group_t *group, GArray *candidates)
{
  const queue_t *queue = group->job->queue;
  int64_t soon_ms = cell->now_ms + (int64_t)queue->advice_ms + RENEW_BEFORE_MS;
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      cell_worker_t *worker = cell->worker_list->pdata[i];
      const permit_t *permit = permit_of (group, worker);
      if (!usable (group, worker) || (permit != NULL && permit->call != 0)
          || (permit != NULL && permit->valid_until_ms > soon_ms
              && permit->born_ms == worker->born_ms))
        continue;
      resource_t left = resource_sub (worker->capacity, worker->used);
      candidate_t candidate
          = { worker, resource_dominant_share (left, worker->capacity) };
      if (resource_fits (cell_need (group->spec), left))
        candidate.room += 1.0;
      if (permit != NULL && permit->known)
        candidate.room += 0.5; /* known to be allowed */
      g_array_append_val (candidates, candidate);
    }
  g_array_sort (candidates, compare_candidates);
  if (candidates->len > ASK_MOST_WORKERS)
    g_array_set_size (candidates, ASK_MOST_WORKERS);
}

static permit_t *
permit_for (cell_group_t *group, const char *id)
{
  permit_t *permit = g_hash_table_lookup (group->permits, id);
  if (permit == NULL)
    {
      permit = g_new0 (permit_t, 1);
      g_hash_table_insert (group->permits, g_strdup (id), permit);
    }
  return permit;
}

/* The members of a gang need many workers at once; others are asked for in
   turn.  */
static uint32_t
calls_wanted (const cell_group_t *group)
{
  return group->spec->gang
             ? MIN (GANG_CALLS, 1 + group->spec->count / GANG_TASKS_A_CALL)
             : 1;
}

void
cell_ask_advice (cell_t *cell, cell_group_t *group)
{
  const queue_t *queue = group->job->queue;
  char step[WORK_NAME_BYTES];
  if (g_hash_table_contains (cell->unadvised, queue->name))
    return;
  work_step_name_format (step, group->job->id, group->occurrence, group->step);
  while (group->calls_open < calls_wanted (group)
         && cell->now_ms >= group->ask_after_ms)
    {
      GArray *candidates = g_array_new (FALSE, FALSE, sizeof (candidate_t));
      collect_candidates (cell, group, candidates);
      const char *names[ASK_MOST_WORKERS];
      guint count = candidates->len;
      for (guint i = 0; i < count; i++)
        names[i] = g_array_index (candidates, candidate_t, i).worker->id;
      g_array_unref (candidates);
      if (count == 0)
        return;
      if (!cell->actions->advise (
              cell->context, step, group->last_call + 1, names, count,
              queue->advice_ms + queue->advice_each_ms * (double)count))
        {
          /* Other steps of the queue would find no node either.  */
          g_hash_table_add (cell->unadvised, g_strdup (queue->name));
          return;
        }
      group->last_call++;
      group->calls_open++;
      for (guint i = 0; i < count; i++)
        permit_for (group, names[i])->call = group->last_call;
    }
}

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

/* Takes the answer of CALL for all workers that it named.  */
static void
settle_call (const cell_t *cell, cell_group_t *group, uint32_t call, bool ok,
             int64_t valid_ms)
{
  GHashTableIter iterator;
  gpointer id;
  gpointer value;
  g_hash_table_iter_init (&iterator, group->permits);
  while (g_hash_table_iter_next (&iterator, &id, &value))
    {
      permit_t *permit = value;
      if (permit->call != call)
        continue;
      permit->call = 0;
      if (!ok)
        continue;
      const cell_worker_t *worker = cell_worker_find (cell, id);
      permit->known = true;
      permit->valid_until_ms = cell->now_ms + valid_ms;
      permit->born_ms = worker != NULL ? worker->born_ms : 0;
      g_clear_pointer (&permit->ticket, g_free);
    }
}

void
cell_advised (cell_t *cell, const char *step, uint32_t call, bool ok,
              const advice_row_t *rows, uint32_t count, int64_t valid_ms)
{
  cell->now_ms = clk_now_ms (cell->clock);
  cell->place_wanted = true;
  cell_group_t *group = find_group (cell, step);
  if (group == NULL)
    return;
  group->calls_open -= group->calls_open > 0;
  settle_call (cell, group, call, ok, valid_ms);
  if (!ok)
    group->ask_after_ms = cell->now_ms + ASK_AGAIN_MS;
  for (uint32_t i = 0; i < count; i++)
    {
      permit_t *permit = g_hash_table_lookup (group->permits, rows[i].worker);
      if (permit == NULL || !permit->known || permit->ticket != NULL)
        continue;
      permit->ticket = g_strdup (rows[i].ticket);
      group->tickets_until_ms
          = MAX (group->tickets_until_ms, permit->valid_until_ms);
    }
}
