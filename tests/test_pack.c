#include "test.h"

#include "estimate.h"
#include "gang.h"
#include "lease.h"
#include "pack.h"
#include "pressure.h"
#include "quota.h"
#include "worker_health.h"

#include <string.h>

/* Guards against a packing rule that ignores its criterion.  Workers: 0 has
   accelerators, 1 is empty, 2 is half full.  */
static void
test_packing_rules (void)
{
  static const struct
  {
    const char *rule;
    resource_t size;
    int64_t worker;
  } rows[] = {
    { "first-fit", { 1000, 1000, 0 }, 0 },
    { "best-fit", { 1000, 1000, 0 }, 2 },
    { "keep-accelerators", { 1000, 1000, 0 }, 2 },
    { "keep-accelerators", { 1000, 1000, 1 }, 0 },
    { "keep-accelerators", { 9000, 1000, 0 }, 1 },
    { "keep-accelerators", { 17000, 1000, 0 }, -1 },
    { "alignment", { 1000, 1000, 8 }, 0 },
  };
  fleet_t fleet;
  fleet_init (&fleet);
  for (int i = 0; i < 3; i++)
    fleet_set_worker (&fleet, fleet_add_worker (&fleet),
                      (resource_t){ 16000, 64000, i == 0 ? 8 : 0 }, "r", true);
  fleet_allocate (&fleet, 2, (resource_t){ 8000, 32000, 0 });
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    CU_ASSERT_EQUAL (pack_choose (pack_rule_find (rows[i].rule), &fleet,
                                  rows[i].size, NULL),
                     rows[i].worker);
  fleet_set_worker (&fleet, 1, (resource_t){ 16000, 64000, 0 }, "r", false);
  CU_ASSERT_EQUAL (pack_choose (pack_rule_find ("best-fit"), &fleet,
                                (resource_t){ 9000, 1, 0 }, NULL),
                   0);
  fleet_clear (&fleet);
}

/* Guards against pack_choose_many choosing other workers than repeated calls
   of pack_choose.  */
static void
test_choose_many (void)
{
  GRand *random = g_rand_new_with_seed (test_seed ());
  for (int run = 0; run < 40; run++)
    {
      const pack_rule_t *rule = &pack_rules[run % 4];
      fleet_t fleet;
      fleet_init (&fleet);
      for (uint32_t i = 0; i < 20; i++)
        {
          fleet_set_worker (&fleet, fleet_add_worker (&fleet),
                            (resource_t){ 16000, 64000, i % 3 ? 0 : 8 }, "r",
                            true);
          fleet_allocate (&fleet, i,
                          (resource_t){ g_rand_int_range (random, 0, 16000),
                                        g_rand_int_range (random, 0, 64000),
                                        0 });
        }
      resource_t size = { g_rand_int_range (random, 500, 4000),
                          g_rand_int_range (random, 500, 9000), run % 2 };
      GArray *many = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      pack_choose_many (rule, &fleet, size, NULL, 30, many);
      for (guint i = 0; i < many->len; i++)
        fleet_release (&fleet, g_array_index (many, uint32_t, i), size);
      guint same = 0;
      for (; same < 30; same++)
        {
          int64_t one = pack_choose (rule, &fleet, size, NULL);
          if (one < 0 || same >= many->len
              || (uint32_t)one != g_array_index (many, uint32_t, same))
            break;
          fleet_allocate (&fleet, (uint32_t)one, size);
        }
      CU_ASSERT_EQUAL (same, many->len);
      g_array_unref (many);
      fleet_clear (&fleet);
    }
  g_rand_free (random);
}

/* Guards against a flood of one class that takes the share of another, and
   against preemption of work that is within its share.  The guaranteed shares
   are 50, 35 and 15%.  */
static void
test_class_order (void)
{
  static const struct
  {
    int64_t used[CLASS_COUNT];
    bool waiting[CLASS_COUNT];
    class_t next;
  } rows[] = {
    { { 0, 0, 0 }, { true, true, true }, CLASS_URGENT },
    { { 90, 0, 0 }, { true, false, true }, CLASS_BULK },
    { { 10, 34, 14 }, { true, true, true }, CLASS_URGENT },
    { { 50, 35, 15 }, { false, true, true }, CLASS_STANDARD },
    { { 50, 0, 0 }, { false, false, false }, CLASS_COUNT },
  };
  resource_t total = { 100, 100, 0 };
  resource_t one = { 1, 1, 0 };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      quota_t quota;
      quota_init (&quota);
      uint16_t team = quota_team_index (&quota, "t");
      for (class_t class = 0; class < CLASS_COUNT; class ++)
        quota_add_usage (&quota, team, class,
                         (resource_t){ rows[i].used[class], 0, 0 }, 1);
      CU_ASSERT_EQUAL (quota_next_class (&quota, rows[i].waiting, total),
                       rows[i].next);
      CU_ASSERT_EQUAL (quota_may_preempt (&quota, CLASS_BULK, one,
                                          CLASS_URGENT, one, total),
                       rows[i].used[CLASS_URGENT] > 50
                           && rows[i].used[CLASS_BULK] < 15);
      quota_clear (&quota);
    }
}

/* Guards against a backfilled task that delays a reservation.  */
static void
test_backfill (void)
{
  static const struct
  {
    int64_t cpu, end_ms;
    uint32_t worker;
    bool may;
  } rows[] = {
    { 4000, 9000, 0, true },   /* ends before ready_ms */
    { 4000, 11000, 0, false }, /* would take reserved capacity */
    { 4000, 11000, 2, true },  /* not reserved */
    { 2000, INT64_MAX, 0, false },
  };
  fleet_t fleet;
  gang_t gang;
  fleet_init (&fleet);
  gang_init (&gang);
  for (int i = 0; i < 3; i++)
    fleet_set_worker (&fleet, fleet_add_worker (&fleet),
                      (resource_t){ 8000, 8000, 0 }, "r", true);
  for (uint32_t i = 0; i < 3; i++)
    fleet_allocate (&fleet, i, (resource_t){ 4000, 1000, 0 });
  GArray *releases = g_array_new (FALSE, FALSE, sizeof (gang_release_t));
  for (uint32_t i = 0; i < 3; i++)
    {
      gang_release_t release
          = { i, i == 2 ? INT64_MAX : 10000, { 4000, 1000, 0 } };
      g_array_append_val (releases, release);
    }
  resource_t size = { 8000, 1000, 0 };
  CU_ASSERT (gang_reserve (&gang, &fleet, "g", size, 2, releases, 0));
  CU_ASSERT_EQUAL (gang.ready_ms, 10000);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    CU_ASSERT_EQUAL (gang_may_use (&gang, rows[i].worker,
                                   (resource_t){ rows[i].cpu, 10, 0 },
                                   rows[i].end_ms),
                     rows[i].may);
  /* Three never fit at once, so nothing may be reserved for them.  */
  CU_ASSERT (!gang_reserve (&gang, &fleet, "h", size, 3, releases, 0));
  CU_ASSERT_PTR_NULL (gang.job);
  CU_ASSERT (!fleet_worker (&fleet, 0)->reserved);
  g_array_unref (releases);
  gang_clear (&gang);
  fleet_clear (&fleet);
}

/* Guards against a move while the task may still run on the old worker.  The
   wait for a gone worker, lease_gone_wait_ms, is 25750 ms.  */
static void
test_task_moves (void)
{
  static const struct
  {
    lease_holder_t holder;
    int64_t now_ms;
    bool may;
  } rows[] = {
    { { false, 1, 1, -1 }, 1000000, false },
    { { true, 1, 1, -1 }, 0, true },
    { { false, 1, 2, -1 }, 0, true },
    { { false, 2, 1, -1 }, 0, false },
    { { false, 1, 1, 1000 }, 1000 + 25749, false },
    { { false, 1, 1, 1000 }, 1000 + 25750, true },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    CU_ASSERT_EQUAL (lease_may_move (&rows[i].holder, rows[i].now_ms),
                     rows[i].may);
}

/* Guards against a healthy worker that is held back for faulty jobs, and a
   faulty one that is not.  */
static void
test_faulty_workers (void)
{
  static const struct
  {
    uint32_t failures, starts; /* of this worker; the failures come last */
    worker_health_starts_t peers;
    bool held_back;
  } rows[] = {
    { 20, 20, { 100, 5 }, true },  { 11, 20, { 100, 9 }, true },
    { 10, 20, { 100, 0 }, false }, { 20, 20, { 100, 10 }, false },
    { 19, 19, { 100, 0 }, false }, { 20, 20, { 0, 0 }, false },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      worker_health_t health = { 0 };
      for (uint32_t n = 0; n < rows[i].starts; n++)
        worker_health_record_start (&health,
                                    n >= rows[i].starts - rows[i].failures,
                                    &rows[i].peers, 1000);
      CU_ASSERT_EQUAL (health.held_back, rows[i].held_back);
      CU_ASSERT_EQUAL (worker_health_may_place (&health, 1000),
                       !rows[i].held_back);
      CU_ASSERT (worker_health_may_place (&health, 31000));
      if (!rows[i].held_back)
        continue;
      worker_health_record_start (&health, true, &rows[i].peers, 31000);
      CU_ASSERT (!worker_health_may_place (&health, 31000 + 59999));
      CU_ASSERT (worker_health_may_place (&health, 31000 + 60000));
      CU_ASSERT (
          worker_health_record_start (&health, false, &rows[i].peers, 91000));
      CU_ASSERT (!health.held_back);
    }
}

/* Guards against unknown or old usage that changes the reserved size.  */
static void
test_estimates (void)
{
  static const struct
  {
    int64_t memory_mib, age_ms, reserve_mib;
  } rows[] = {
    { -1, 0, 1000 },      { 2000, 30001, 1000 }, { 2000, -1, 1000 },
    { 2000, 1000, 2400 }, { 100, 1000, 1000 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      estimate_t estimate = { 0 };
      estimate_add_memory (&estimate, rows[i].memory_mib, rows[i].age_ms);
      resource_t size = estimate_reserved_size (
          &estimate, (resource_t){ 1000, 1000, 0 }, false);
      CU_ASSERT_EQUAL (size.memory_mib, rows[i].reserve_mib);
    }
  estimate_t none = { 0 };
  CU_ASSERT_EQUAL (estimate_end_ms (&none, 0, 5, 100), INT64_MAX);
  CU_ASSERT_EQUAL (estimate_end_ms (&none, 50, 20, 100), 130);
  CU_ASSERT (estimate_end_ms (&none, 50, 90, 100) > 100);
}

/* Guards against urgent work or services that are stopped before bulk batch
   work.  */
static void
test_pressure (void)
{
  pressure_task_t tasks[] = {
    { CLASS_URGENT, JOB_BATCH, false, { 100, 100, 0 }, 100, 400, 0 },
    { CLASS_BULK, JOB_BATCH, false, { 100, 100, 0 }, 100, 300, 0 },
    { CLASS_BULK, JOB_SERVICE, true, { 100, 100, 0 }, 900, 300, 0 },
    { CLASS_STANDARD, JOB_SERVICE, false, { 100, 100, 0 }, -1, -1, 0 },
  };
  CU_ASSERT_EQUAL (pressure_plan (tasks, 4, (resource_t){ 1000, 900, 0 }), 2);
  CU_ASSERT_EQUAL (tasks[0].action, PRESSURE_NONE);
  CU_ASSERT_EQUAL (tasks[1].action, PRESSURE_CHECKPOINT);
  CU_ASSERT_EQUAL (tasks[2].action, PRESSURE_THROTTLE);
  CU_ASSERT_EQUAL (tasks[3].action, PRESSURE_NONE);
  CU_ASSERT_EQUAL (pressure_plan (tasks, 4, (resource_t){ 10000, 5000, 0 }),
                   0);
}

static CU_TestInfo pack_tests[] = {
  { "each packing rule follows its criterion", test_packing_rules },
  { "choosing many workers at once", test_choose_many },
  { "classes keep their shares", test_class_order },
  { "unknown or old usage", test_estimates },
  { "least urgent first under pressure", test_pressure },
  CU_TEST_INFO_NULL,
};

static CU_TestInfo gang_tests[] = {
  { "backfill does not delay a reservation", test_backfill },
  CU_TEST_INFO_NULL,
};

static CU_TestInfo lease_tests[] = {
  { "when a task may move", test_task_moves },
  CU_TEST_INFO_NULL,
};

static CU_TestInfo worker_health_tests[] = {
  { "faulty workers and faulty jobs", test_faulty_workers },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_pack_suites[] = {
  { "pack", NULL, NULL, NULL, NULL, pack_tests },
  { "gang", NULL, NULL, NULL, NULL, gang_tests },
  { "lease", NULL, NULL, NULL, NULL, lease_tests },
  { "worker_health", NULL, NULL, NULL, NULL, worker_health_tests },
  CU_SUITE_INFO_NULL,
};
