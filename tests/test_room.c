#include "cell_internal.h"
#include "test.h"

/* NAME
     test_room - workers with room for a step, against a search of all workers
 */

#define CELLS 40
#define SEARCHES 60
#define WORKERS 30

static const char *const labels[] = { "fast", "large" };

static void
add_worker (cell_t *cell, GRand *random, uint32_t at)
{
  char id[16];
  g_snprintf (id, sizeof id, "w%u", at);
  worker_row_t row
      = { .id = id,
          .labels = labels + g_rand_int_range (random, 0, 2),
          .label_count = (uint32_t)g_rand_int_range (random, 0, 2),
          .capacity = { 8000, 32000, 4 } };
  cell_worker_listed (cell, &row);
  cell_worker_t *worker = cell_find_worker (cell, id);
  worker->used.cpu_millis = g_rand_int_range (random, 0, 9000);
  worker->used.memory_mib = g_rand_int_range (random, 0, 33000);
  worker->used.accelerators = g_rand_int_range (random, 0, 5);
  worker->free_soon = resource_sub (worker->capacity, worker->used);
  worker->free_soon.cpu_millis += g_rand_int_range (random, 0, 3000);
}

static work_step_t
draw_step (GRand *random)
{
  work_step_t step = { .need = { g_rand_int_range (random, 0, 6000),
                                 g_rand_int_range (random, 0, 20000),
                                 g_rand_int_range (random, 0, 5) },
                       .filler = g_rand_int_range (random, 0, 8) == 0 };
  if (g_rand_int_range (random, 0, 3) == 0)
    step.label = (char *)(uintptr_t)labels[g_rand_int_range (random, 0, 2)];
  return step;
}

/* Takes some room of a worker, as a pass does.  */
static void
take_room (cell_t *cell, GRand *random)
{
  cell_worker_t *worker
      = cell->worker_list->pdata[g_rand_int_range (random, 0, WORKERS)];
  resource_t taken = { g_rand_int_range (random, 0, 2000),
                       g_rand_int_range (random, 0, 4000),
                       g_rand_int_range (random, 0, 2) };
  resource_t *from[]
      = { &worker->used, &worker->reserved, &worker->expected_use };
  resource_t *to = from[g_rand_int_range (random, 0, 3)];
  *to = resource_add (*to, taken);
}

static void
search_all (const cell_t *cell, const work_step_t *step, bool soon,
            GPtrArray *found)
{
  for (guint i = 0; i < cell->worker_list->len; i++)
    {
      cell_worker_t *worker = cell->worker_list->pdata[i];
      if ((step->label == NULL
           || g_hash_table_contains (worker->labels, step->label))
          && resource_fits (cell_task_need (step),
                            soon ? cell_room_soon (worker)
                                 : cell_room_now (worker)))
        g_ptr_array_add (found, worker);
    }
}

static bool
same_workers (const GPtrArray *left, const GPtrArray *right)
{
  bool same = left->len == right->len;
  for (guint i = 0; same && i < left->len; i++)
    same = left->pdata[i] == right->pdata[i];
  return same;
}

/* Guards against steps that miss a worker with room for them, or are offered
   one without, since lists made for other steps of the pass are used again. */
static void
test_against_search (void)
{
  const cell_options_t options = { .max_lease_ms = 6000 };
  const cell_actions_t actions = { 0 };
  clk_fake_t clock;
  clk_fake_init (&clock, 1000);
  for (uint32_t i = 0; i < CELLS; i++)
    {
      GRand *random = g_rand_new_with_seed (test_seed () + i);
      cell_t *cell = cell_new (&options, &clock.base, &actions, NULL);
      for (uint32_t j = 0; j < WORKERS; j++)
        add_worker (cell, random, j);
      for (uint32_t j = 0; j < SEARCHES; j++)
        {
          work_step_t step = draw_step (random);
          const cell_group_t group = { .spec = &step };
          bool soon = g_rand_boolean (random);
          GPtrArray *found = g_ptr_array_new ();
          GPtrArray *wanted = g_ptr_array_new ();
          cell_find_room (cell, &group, soon, found);
          search_all (cell, &step, soon, wanted);
          CU_ASSERT_TRUE (same_workers (found, wanted));
          g_ptr_array_unref (found);
          g_ptr_array_unref (wanted);
          take_room (cell, random);
        }
      cell_free (cell);
      g_rand_free (random);
    }
}

static CU_TestInfo tests[] = {
  { "lists of room against a search", test_against_search },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_room_suites[] = {
  { .pName = "room", .pTests = tests },
  CU_SUITE_INFO_NULL,
};
