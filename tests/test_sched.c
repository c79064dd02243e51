#include "test.h"

#include "fake_world.h"

#include <stdio.h>
#include <string.h>

static const resource_t worker_size = { 8000, 16384, 2 };

#define JOB(ID, KIND, CLASS, TASKS, CPU, RUN)                                 \
  "{\"id\":\"" ID "\",\"kind\":\"" KIND "\",\"class\":\"" CLASS               \
  "\",\"team\":\"t\",\"tasks\":" #TASKS ",\"size\":{\"cpu_millis\":" #CPU     \
  ",\"memory_mib\":1024,\"accelerators\":0},\"command\":\"run\",\"run_"       \
  "ms\":" #RUN "}"

/* Guards against a kind of job that never starts, or never ends.  */
static void
test_each_kind_runs (void)
{
  static const struct
  {
    const char *json, *id, *end;
    uint32_t running;
  } rows[] = {
    { JOB ("s", "service", "urgent", 4, 2000, 0), "s", "accepted", 4 },
    { JOB ("b", "batch", "bulk", 5, 2000, 3000), "b", "ended", 5 },
    { JOB ("g", "all-at-once", "standard", 6, 4000, 3000), "g", "ended", 6 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      int token;
      fake_world_t *world = fake_world_new (2, 4, worker_size, test_seed ());
      fake_world_run (world, 500);
      fake_world_submit (world, 0, rows[i].json, &token);
      fake_world_run (world, 1600);
      CU_ASSERT_EQUAL (fake_world_answer (world, &token), ERR_OK);
      CU_ASSERT_EQUAL (fake_world_running (world, rows[i].id),
                       rows[i].running);
      fake_world_run (world, 10000);
      CU_ASSERT_STRING_EQUAL (fake_world_job_state (world, rows[i].id),
                              rows[i].end);
      CU_ASSERT_EQUAL (world->violations, 0);
      fake_world_free (world);
    }
}

static CU_TestInfo sched_tests[] = {
  { "each kind of job runs", test_each_kind_runs },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_sched_suites[] = {
  { "sched", NULL, NULL, NULL, NULL, sched_tests },
  CU_SUITE_INFO_NULL,
};
