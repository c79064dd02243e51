#include "tenure.h"
#include "test.h"

#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum
{
  NOW = 100000
};
static const struct
{
  const char *name;
  tenure_row_t row;
  int64_t heard_ms;
  bool restarted;
  int64_t end_ms, unreached_end_ms;
} former_owners[] = {
  { "no promises: 11 s of renewals and a lease of 10 s",
    { 0 },
    NOW - 900,
    false,
    NOW + 21354,
    NOW + 21354 },
  { "no promises, restarted",
    { 0 },
    NOW - 900,
    true,
    NOW + 10354,
    NOW + 10354 },
  { "no promises, released",
    { .released = true },
    NOW - 900,
    false,
    NOW + 10354,
    NOW + 10354 },
  { "promises, last heartbeat seen",
    { .known = true,
      .since_beat_ms = 50,
      .bound_ms = 10300,
      .lease_ms = 6500 },
    NOW - 900,
    false,
    NOW - 850 + 10450,
    NOW - 850 },
  { "promises, last heartbeat not seen",
    { .known = true,
      .since_beat_ms = 50,
      .bound_ms = 10300,
      .lease_ms = 6500 },
    0,
    false,
    NOW + 10450,
    NOW },
  { "promises, restarted",
    { .known = true, .bound_ms = 10300, .lease_ms = 6500 },
    NOW - 900,
    true,
    NOW + 6650,
    NOW - 900 },
  { "promises, restarted long ago",
    { .known = true, .bound_ms = 10300, .lease_ms = 6500 },
    NOW - 9000,
    true,
    NOW + 1450,
    NOW - 9000 },
  { "gave no lease, inherited more",
    { .known = true, .inherited_ms = 7000, .unreached_ms = 6000 },
    NOW - 900,
    false,
    NOW + 6100,
    NOW + 5100 },
  { "restarted, inherited more",
    { .known = true,
      .bound_ms = 10300,
      .lease_ms = 6500,
      .inherited_ms = 9000,
      .unreached_ms = 9000 },
    NOW - 900,
    true,
    NOW + 8100,
    NOW + 8100 },
};

/* Guards against a version without promises that is trusted with the shorter
   waits of this one, in a rolling upgrade, and against waits that count from
   the wrong moment.  */
static void
test_former_owners (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (former_owners); i++)
    {
      tenure_view_t view = { .now_ms = NOW,
                             .heard_ms = former_owners[i].heard_ms,
                             .max_lease_ms = 10000,
                             .restarted = former_owners[i].restarted };
      int64_t end_ms = tenure_leases_end_ms (&former_owners[i].row, &view);
      int64_t unreached_end_ms
          = tenure_unreached_end_ms (&former_owners[i].row, &view);
      if (end_ms != former_owners[i].end_ms
          || unreached_end_ms != former_owners[i].unreached_end_ms)
        printf ("\n  %s: %lld %lld", former_owners[i].name,
                (long long)(end_ms - NOW),
                (long long)(unreached_end_ms - NOW));
      CU_ASSERT_EQUAL (end_ms, former_owners[i].end_ms);
      CU_ASSERT_EQUAL (unreached_end_ms, former_owners[i].unreached_end_ms);
    }
}

/* Model check of owners that follow one another and a worker that runs a task:
   visits every state that can be reached within HORIZON ticks.  Commits and
   orders may take effect, and be answered, at any later time; owners may pause
   and go on; former owners may tell when their leases end.  The rules are
   those of tenure.h and cell_lease.c, with small numbers.  */

#define OWNERS 3
/* Three owners have too many states: their orders of events are drawn.  */
#define EXPLORED_OWNERS 2
#define WALKS 150000
#define WALK_STEPS 60
#define HORIZON 6
#define LEASE 2
#define BOUND 3
#define MAX_HOLD 3

typedef struct
{
  int8_t confirmed; /* when the confirmed commit was begun; -1: none */
  int8_t reached;   /* when the worker last answered it; -1: never */
  int8_t own_end;   /* of the leases that it gave */
  int8_t inherited_end, unreached_end;
  int8_t ordered; /* end of the longest lease that is under way */
  int8_t begun;   /* commit in flight; -1: none */
  uint8_t begun_unreached, applied, unreached_before, stopped;
} owner_t;

typedef struct
{
  int8_t now, lease_end;
  uint8_t token; /* highest owner that the worker has seen */
  /* The row.  */
  uint8_t row_owner, row_unreached, row_gives;
  int8_t row_begun, row_inherited_end, row_unreached_end;
  owner_t owners[OWNERS];
} state_t;

typedef struct
{
  bool lease_before_commit; /* gives leases before the row says it may */
  bool count_from_answer;   /* a commit counts from its answer */
  bool forget_owner;        /* waits only for what the last owner inherited */
  bool forget_inherited;    /* waits only for the last owner's own leases */
  bool tell_early;          /* tells its end and goes on */
} variant_t;

typedef struct
{
  GHashTable *visited; /* state_t; NULL: walk at random instead */
  GQueue unexpanded;   /* state_t, owned by visited */
  GRand *random;
  state_t next; /* drawn among CHOICES states */
  uint32_t choices;
  uint8_t owners;
  variant_t variant;
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
  if (search->visited == NULL)
    {
      if (g_rand_int_range (search->random, 0, (gint)++search->choices) == 0)
        search->next = *state;
      return;
    }
  if (g_hash_table_contains (search->visited, state))
    return;
  state_t *copy = g_memdup2 (state, sizeof *state);
  g_hash_table_add (search->visited, copy);
  g_queue_push_tail (&search->unexpanded, copy);
}

static int8_t
inherited_end (const owner_t *owner)
{
  return owner->unreached_before
             ? MIN (owner->unreached_end, owner->inherited_end)
             : owner->inherited_end;
}

/* Owner O begins a commit, one is stored, or its answer arrives.  One that is
   sent again may say more than the first time.  */
static void
commit (search_t *search, const state_t *from, uint8_t o)
{
  const owner_t *owner = &from->owners[o];
  state_t to = *from;
  if (owner->begun < 0)
    {
      if (from->row_owner != o || owner->confirmed >= from->now)
        return;
      to.owners[o].begun = from->now;
      to.owners[o].begun_unreached = owner->reached < 0;
      to.owners[o].applied = 0;
      visit (search, &to);
      return;
    }
  if (owner->applied)
    {
      to.owners[o].confirmed
          = search->variant.count_from_answer ? from->now : owner->begun;
      to.owners[o].begun = -1;
      visit (search, &to);
      return;
    }
  if (from->row_owner != o)
    return;
  to.owners[o].applied = 1;
  to.row_begun = owner->begun;
  to.row_gives = 1;
  to.row_inherited_end = owner->inherited_end;
  to.row_unreached_end = inherited_end (owner);
  to.row_unreached = owner->begun_unreached;
  visit (search, &to);
  to.row_unreached = owner->reached < 0;
  visit (search, &to);
}

static void
give_lease (search_t *search, const state_t *from, uint8_t o)
{
  const owner_t *owner = &from->owners[o];
  if (owner->stopped || owner->confirmed < 0 || owner->reached < 0)
    return;
  if (!search->variant.lease_before_commit
      && owner->confirmed <= owner->reached)
    return;
  int8_t end = (int8_t)MIN (from->now + LEASE, owner->confirmed + BOUND);
  if (end <= from->now)
    return;
  state_t to = *from;
  to.owners[o].own_end = MAX (owner->own_end, end);
  to.owners[o].ordered = MAX (owner->ordered, end);
  visit (search, &to);
}

/* The worker carries out an order of owner O, or answers its poll.  */
static void
reach_worker (search_t *search, const state_t *from, uint8_t o)
{
  const owner_t *owner = &from->owners[o];
  if (from->token > o)
    return;
  state_t to = *from;
  to.token = o;
  to.lease_end = MAX (from->lease_end,
                      MIN (owner->ordered, (int8_t)(from->now + MAX_HOLD)));
  visit (search, &to);
  if (owner->reached >= 0 || owner->stopped)
    return;
  to = *from;
  to.token = o;
  to.owners[o].reached = from->now;
  to.owners[o].own_end
      = MAX (owner->own_end,
             MIN (inherited_end (owner), (int8_t)(from->now + MAX_HOLD)));
  visit (search, &to);
}

/* Owner O is replaced by the next one.  That it learns of its successor, and
   stops, is a step of its own.  */
static void
claim (search_t *search, const state_t *from, uint8_t o)
{
  if (from->row_owner != o || o + 1 >= search->owners)
    return;
  state_t to = *from;
  owner_t *next = &to.owners[o + 1];
  int8_t own_end = (int8_t)(from->row_gives && !search->variant.forget_owner
                                ? from->row_begun + BOUND
                                : 0);
  int8_t before
      = search->variant.forget_inherited ? 0 : from->row_inherited_end;
  next->inherited_end = MAX (own_end, before);
  next->unreached_end = from->row_unreached_end;
  next->unreached_before = from->row_unreached;
  to.row_owner = o + 1;
  to.row_begun = from->now;
  to.row_gives = 0;
  to.row_inherited_end = next->inherited_end;
  to.row_unreached = next->unreached_before;
  to.row_unreached_end = next->unreached_end;
  visit (search, &to);
}

static void
tell (search_t *search, const state_t *from, uint8_t o)
{
  const owner_t *owner = &from->owners[o];
  if (from->row_owner <= o || owner->stopped)
    return;
  state_t to = *from;
  to.owners[o].stopped = !search->variant.tell_early;
  owner_t *next = &to.owners[o + 1];
  next->inherited_end
      = MIN (next->inherited_end, MAX (owner->own_end, owner->inherited_end));
  visit (search, &to);
}

/* Owner O starts the task elsewhere once it takes the leases as ended.  */
static void
start_elsewhere (search_t *search, const state_t *from, uint8_t o)
{
  const owner_t *owner = &from->owners[o];
  int8_t end = owner->reached < 0 ? inherited_end (owner) : owner->own_end;
  if (from->row_owner == o && from->now > end && from->lease_end > from->now)
    search->violations++;
}

static state_t
first_state (void)
{
  state_t first;
  memset (&first, 0, sizeof first);
  for (uint8_t o = 0; o < OWNERS; o++)
    first.owners[o].confirmed = first.owners[o].reached = first.owners[o].begun
        = -1;
  return first;
}

static void
expand (search_t *search, const state_t *state)
{
  for (uint8_t o = 0; o <= state->row_owner; o++)
    {
      commit (search, state, o);
      give_lease (search, state, o);
      reach_worker (search, state, o);
      claim (search, state, o);
      tell (search, state, o);
      start_elsewhere (search, state, o);
    }
  state_t later = *state;
  later.now++;
  if (later.now <= HORIZON)
    visit (search, &later);
}

/* Visits the states of EXPLORED_OWNERS until one is wrong.  Returns how many
   wrong ones were found.  */
static uint32_t
explore (variant_t variant, uint32_t *states)
{
  search_t search = { .visited = g_hash_table_new_full (
                          state_hash, state_equal, g_free, NULL),
                      .owners = EXPLORED_OWNERS,
                      .variant = variant };
  g_queue_init (&search.unexpanded);
  state_t first = first_state ();
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

/* The same by random walks with OWNERS.  */
static uint32_t
walk (variant_t variant)
{
  search_t search = { .owners = OWNERS,
                      .variant = variant,
                      .random = g_rand_new_with_seed (test_seed ()) };
  for (uint32_t i = 0; i < WALKS && search.violations == 0; i++)
    {
      state_t state = first_state ();
      for (uint32_t j = 0; j < WALK_STEPS && search.violations == 0; j++)
        {
          search.choices = 0;
          expand (&search, &state);
          if (search.choices == 0)
            break;
          state = search.next;
        }
    }
  g_rand_free (search.random);
  return search.violations;
}

/* Guards against an order of events in which a successor takes the leases of a
   worker as ended that it still has, and against a model too weak to find a
   broken rule.  */
static void
test_order_of_events (void)
{
  static const struct
  {
    const char *name;
    variant_t variant;
    bool safe, safe_explored; /* with three and with two owners */
  } rows[] = {
    { "as designed", { 0 }, true, true },
    { "leases before the commit",
      { .lease_before_commit = true },
      false,
      false },
    { "commits count from their answer",
      { .count_from_answer = true },
      false,
      false },
    { "the last owner is forgotten", { .forget_owner = true }, false, false },
    { "earlier owners are forgotten",
      { .forget_inherited = true },
      false,
      true },
    { "told too early", { .tell_early = true }, false, false },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      uint32_t states = 0;
      uint32_t explored = explore (rows[i].variant, &states);
      uint32_t walked = walk (rows[i].variant);
      printf ("tenure: %s: %u states of two owners %s, walks of three %s\n",
              rows[i].name, states, explored == 0 ? "safe" : "unsafe",
              walked == 0 ? "safe" : "unsafe");
      CU_ASSERT_EQUAL (explored == 0, rows[i].safe_explored);
      CU_ASSERT_EQUAL (walked == 0, rows[i].safe);
    }
}

static CU_TestInfo tenure_tests[] = {
  { "what former owners promise", test_former_owners },
  { "owners that follow one another, all orders of events",
    test_order_of_events },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_tenure_suites[] = {
  { "tenure", NULL, NULL, NULL, NULL, tenure_tests },
  CU_SUITE_INFO_NULL,
};
