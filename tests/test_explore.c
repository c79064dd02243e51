#include "test.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

/* Model check of the lease and move protocol of one task: visits every state
   that can be reached with two entries, two workers, the store, the instance
   list, and a network that may deliver a start message late and any number of
   times.  Time passes in ticks.  The rules are those of src/lease.c, with
   small numbers.  */

#define ENTRIES 2
#define WORKERS 2
/* Two generations are explored, and three with the environment variable
   EXPLORE_GENERATIONS=3, which takes half a minute and 2 GB.  */
#define MAX_GENERATIONS 3
#define LEASE_TICKS 2
#define LIST_LAG_TICKS 1
/* Lag, lease and one tick of margin for clocks that drift apart.  */
#define GONE_WAIT_TICKS (LIST_LAG_TICKS + LEASE_TICKS + 1)
#define NO_WORKER 2

typedef struct
{
  /* Copy of the row as last read or committed.  */
  uint8_t generation, worker, incarnation;
  uint8_t confirmed;           /* the stop of that generation is confirmed */
  uint8_t planned_worker;      /* planned transaction's worker + 1, 0: none */
  uint8_t gone_ticks[WORKERS]; /* since seen gone, + 1; 0: not seen as gone */
} entry_t;

typedef struct
{
  uint8_t running_generation; /* 0: none */
  uint8_t barred_generation;  /* no generation up to this one starts */
  uint8_t lease_ticks;        /* left */
  uint8_t incarnation;
  uint8_t terminated; /* by the platform; tasks may run until the lease ends */
  uint8_t terminated_ticks; /* since then, at most LIST_LAG_TICKS */
} worker_t;

typedef struct
{
  /* The row; its generation also serves as version.  */
  uint8_t generation, worker, incarnation;
  entry_t entries[ENTRIES];
  worker_t workers[WORKERS];
  /* Start messages under way: bit worker * 2 + incarnation.  */
  uint8_t messages[MAX_GENERATIONS + 1];
} state_t;

/* Rules that are broken on purpose, to show that the search detects them.  */
typedef struct
{
  bool move_unconfirmed;    /* moves a task without a confirmed stop */
  bool start_before_commit; /* sends the start before the transaction */
  bool short_wait;          /* moves a task once its worker is seen as gone */
} variant_t;

typedef struct
{
  GHashTable *visited; /* state_t */
  GQueue unexpanded;   /* state_t, owned by visited */
  variant_t variant;
  uint8_t max_generation;
  uint32_t violations;
} search_t;

static guint
state_hash (gconstpointer state)
{
  return (guint)XXH64 (state, sizeof (state_t), 0);
}

static gboolean
state_equal (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (state_t)) == 0;
}

static void
visit (search_t *search, const state_t *state)
{
  if (g_hash_table_contains (search->visited, state))
    return;
  state_t *copy = g_memdup2 (state, sizeof *state);
  g_hash_table_add (search->visited, copy);
  if (state->workers[0].running_generation > 0
      && state->workers[1].running_generation > 0)
    search->violations++;
  else
    g_queue_push_tail (&search->unexpanded, copy);
}

static bool
may_move (const search_t *search, const state_t *state, const entry_t *entry)
{
  if (entry->worker == NO_WORKER || entry->confirmed
      || search->variant.move_unconfirmed)
    return true;
  const worker_t *worker = &state->workers[entry->worker];
  uint8_t wait = search->variant.short_wait ? 1 : GONE_WAIT_TICKS + 1;
  return worker->incarnation > entry->incarnation
         || entry->gone_ticks[entry->worker] >= wait;
}

/* Entry E plans a start on a worker that it does not see as gone.  */
static void
plan_start (search_t *search, const state_t *from, int e)
{
  const entry_t *entry = &from->entries[e];
  if (entry->planned_worker > 0 || entry->generation >= search->max_generation
      || !may_move (search, from, entry))
    return;
  for (uint8_t w = 0; w < WORKERS; w++)
    {
      if (entry->gone_ticks[w] > 0)
        continue;
      state_t to = *from;
      to.entries[e].planned_worker = w + 1;
      if (search->variant.start_before_commit)
        to.messages[entry->generation + 1]
            |= (uint8_t)(1u << (w * 2 + from->workers[w].incarnation));
      visit (search, &to);
    }
}

/* The planned transaction of entry E takes effect or fails its check, and the
   reply arrives or is lost.  */
static void
commit (search_t *search, const state_t *from, int e)
{
  const entry_t *entry = &from->entries[e];
  if (entry->planned_worker == 0)
    return;
  uint8_t worker = entry->planned_worker - 1;
  state_t to = *from;
  to.entries[e].planned_worker = 0;
  if (entry->generation == from->generation)
    {
      to.generation++;
      to.worker = worker;
      to.incarnation = from->workers[worker].incarnation;
      /* The reply is lost; the entry still has the old copy of the row.  */
      visit (search, &to);
      to.entries[e].generation = to.generation;
      to.entries[e].worker = to.worker;
      to.entries[e].incarnation = to.incarnation;
      to.entries[e].confirmed = 0;
    }
  visit (search, &to);
}

static void
read_row (search_t *search, const state_t *from, int e)
{
  state_t to = *from;
  entry_t *entry = &to.entries[e];
  if (entry->planned_worker > 0 || entry->generation == from->generation)
    return;
  entry->generation = from->generation;
  entry->worker = from->worker;
  entry->incarnation = from->incarnation;
  entry->confirmed = 0;
  visit (search, &to);
}

/* Entry E sends the start that is committed in its copy of the row, now or
   much later; the copy may be old.  */
static void
send_start (search_t *search, const state_t *from, int e)
{
  const entry_t *entry = &from->entries[e];
  if (entry->worker == NO_WORKER || entry->confirmed)
    return;
  state_t to = *from;
  to.messages[entry->generation]
      |= (uint8_t)(1u << (entry->worker * 2 + entry->incarnation));
  visit (search, &to);
}

static void
deliver_start (search_t *search, const state_t *from, uint8_t g, uint8_t w)
{
  const worker_t *worker = &from->workers[w];
  if (!(from->messages[g] & (1u << (w * 2 + worker->incarnation)))
      || worker->terminated || worker->barred_generation >= g
      || worker->running_generation >= g)
    return;
  /* An older generation of the task still runs: no room for a second one.  */
  if (worker->running_generation > 0)
    return;
  state_t to = *from;
  to.workers[w].running_generation = g;
  to.workers[w].lease_ticks = LEASE_TICKS;
  visit (search, &to);
}

/* Entry E stops the generation in its copy; the reply arrives or is lost.  */
static void
stop_task (search_t *search, const state_t *from, int e)
{
  const entry_t *entry = &from->entries[e];
  if (entry->worker == NO_WORKER)
    return;
  const worker_t *worker = &from->workers[entry->worker];
  if (worker->terminated || worker->incarnation != entry->incarnation)
    return;
  state_t to = *from;
  worker_t *stopped = &to.workers[entry->worker];
  if (stopped->running_generation == entry->generation)
    stopped->running_generation = 0;
  stopped->barred_generation
      = MAX (stopped->barred_generation, entry->generation);
  visit (search, &to);
  to.entries[e].confirmed = 1;
  visit (search, &to);
}

/* Any entry that does not see the worker as gone may renew its lease, also
   after the platform has terminated it.  */
static void
renew (search_t *search, const state_t *from, uint8_t w)
{
  const worker_t *worker = &from->workers[w];
  if (worker->running_generation == 0)
    return;
  bool reached = false;
  for (int e = 0; e < ENTRIES; e++)
    reached = reached || from->entries[e].gone_ticks[w] == 0;
  if (!reached)
    return;
  state_t to = *from;
  to.workers[w].lease_ticks = LEASE_TICKS;
  visit (search, &to);
}

/* Worker W is terminated, restarts, or is seen as gone by an entry.  */
static void
platform_changes (search_t *search, const state_t *from, uint8_t w)
{
  state_t to = *from;
  worker_t *worker = &to.workers[w];
  /* At most one worker is terminated, so that one can still run the task.  */
  if (!worker->terminated && !from->workers[1 - w].terminated)
    {
      worker->terminated = 1;
      visit (search, &to);
      to = *from;
    }
  if (!worker->terminated && worker->incarnation == 0)
    {
      *worker = (worker_t){ .incarnation = 1 };
      visit (search, &to);
      to = *from;
    }
  for (int e = 0; e < ENTRIES; e++)
    if (worker->terminated && to.entries[e].gone_ticks[w] == 0)
      {
        to.entries[e].gone_ticks[w] = 1;
        visit (search, &to);
        to = *from;
      }
}

/* One tick passes.  The instance list is at most LIST_LAG_TICKS late.  */
static void
pass_time (search_t *search, const state_t *from)
{
  state_t to = *from;
  for (uint8_t w = 0; w < WORKERS; w++)
    {
      worker_t *worker = &to.workers[w];
      if (worker->running_generation > 0 && --worker->lease_ticks == 0)
        {
          worker->barred_generation
              = MAX (worker->barred_generation, worker->running_generation);
          worker->running_generation = 0;
        }
      if (!worker->terminated)
        continue;
      if (worker->terminated_ticks < LIST_LAG_TICKS)
        worker->terminated_ticks++;
      for (int e = 0; e < ENTRIES; e++)
        {
          uint8_t *seen = &to.entries[e].gone_ticks[w];
          if (*seen == 0 && worker->terminated_ticks >= LIST_LAG_TICKS)
            *seen = 1;
          else if (*seen > 0 && *seen <= GONE_WAIT_TICKS)
            ++*seen;
        }
    }
  visit (search, &to);
}

/* Entry E restarts and reads the row and the instance list.  */
static void
restart_entry (search_t *search, const state_t *from, int e)
{
  state_t to = *from;
  entry_t *entry = &to.entries[e];
  entry->generation = from->generation;
  entry->worker = from->worker;
  entry->incarnation = from->incarnation;
  entry->confirmed = 0;
  entry->planned_worker = 0;
  for (uint8_t w = 0; w < WORKERS; w++)
    entry->gone_ticks[w] = from->workers[w].terminated ? 1 : 0;
  visit (search, &to);
}

static void
expand (search_t *search, const state_t *state)
{
  for (int e = 0; e < ENTRIES; e++)
    {
      plan_start (search, state, e);
      commit (search, state, e);
      read_row (search, state, e);
      send_start (search, state, e);
      stop_task (search, state, e);
      restart_entry (search, state, e);
    }
  for (uint8_t w = 0; w < WORKERS; w++)
    {
      for (uint8_t g = 1; g <= search->max_generation; g++)
        deliver_start (search, state, g, w);
      renew (search, state, w);
      platform_changes (search, state, w);
    }
  pass_time (search, state);
}

/* Visits states until there are no new ones or the task runs on two workers.
   Returns how many states of the latter kind were found.  */
static uint32_t
explore (variant_t variant, uint32_t *states)
{
  search_t search = { .visited = g_hash_table_new_full (
                          state_hash, state_equal, g_free, NULL),
                      .variant = variant,
                      .max_generation = 2 };
  if (g_strcmp0 (g_getenv ("EXPLORE_GENERATIONS"), "3") == 0)
    search.max_generation = 3;
  g_queue_init (&search.unexpanded);
  state_t first;
  memset (&first, 0, sizeof first);
  first.worker = NO_WORKER;
  for (int e = 0; e < ENTRIES; e++)
    first.entries[e].worker = NO_WORKER;
  visit (&search, &first);
  const state_t *state;
  while (search.violations == 0
         && (state = g_queue_pop_head (&search.unexpanded)) != NULL)
    expand (&search, state);
  *states = g_hash_table_size (search.visited);
  g_queue_clear (&search.unexpanded);
  g_hash_table_unref (search.visited);
  return search.violations;
}

/* Guards against an order of events in which a task runs on two workers at
   once, and against a model too weak to find a broken rule.  */
static void
test_lease_and_move (void)
{
  static const struct
  {
    const char *name;
    variant_t variant;
    bool safe;
  } rows[] = {
    { "as designed", { false, false, false }, true },
    { "move without a confirmed stop", { true, false, false }, false },
    { "start before the commit", { false, true, false }, false },
    { "move as soon as the list says gone", { false, false, true }, false },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      uint32_t states = 0;
      uint32_t bad = explore (rows[i].variant, &states);
      printf ("explore: %s: %u states, %s\n", rows[i].name, states,
              bad == 0 ? "never in two places" : "found in two places");
      CU_ASSERT_EQUAL (bad == 0, rows[i].safe);
    }
}

static CU_TestInfo explore_tests[] = {
  { "lease and move, all orders of events", test_lease_and_move },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_explore_suites[] = {
  { "explore", NULL, NULL, NULL, NULL, explore_tests },
  CU_SUITE_INFO_NULL,
};
