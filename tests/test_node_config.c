#include "fake_rows.h"
#include "test.h"

#include <stdlib.h>
#include <string.h>

#define LIMIT_MS 2000
#define HEARD_LIMIT_MS 250
#define ROW_VERSION 7

/* What a node answers by the age of the confirmation of its configuration, and
   by a version that it has heard of.  */
static const struct
{
  const char *what;
  const char *path;
  enum
  {
    NO_ROW,
    ROW,
    UNREADABLE_ROW /* after one that could be read */
  } row;
  int64_t age_ms;
  uint64_t heard_version; /* 0: none */
  int64_t heard_ago_ms;
  err_kind_t kind; /* ERR_OK: the queue is found */
} cases[] = {
  { "no configuration", "/queue/x", NO_ROW, 0, 0, 0, ERR_NO_CONFIG },
  { "recent", "/queue/x", ROW, LIMIT_MS, 0, 0, ERR_OK },
  { "recent, no such route", "/other/x", ROW, LIMIT_MS, 0, 0, ERR_NOT_FOUND },
  { "old, the route may be dropped", "/queue/x", ROW, LIMIT_MS + 1, 0, 0,
    ERR_STALE_CONFIG },
  { "old, the route may be added", "/other/x", ROW, LIMIT_MS + 1, 0, 0,
    ERR_STALE_CONFIG },
  { "a newer one was just heard of", "/queue/x", ROW, 100, ROW_VERSION + 1,
    HEARD_LIMIT_MS, ERR_OK },
  { "a newer one is known", "/queue/x", ROW, 100, ROW_VERSION + 1,
    HEARD_LIMIT_MS + 1, ERR_STALE_CONFIG },
  { "its own version was heard of", "/queue/x", ROW, 100, ROW_VERSION,
    HEARD_LIMIT_MS + 1, ERR_OK },
  { "unreadable, the route was there before", "/queue/x", UNREADABLE_ROW, 100,
    0, 0, ERR_OK },
  { "unreadable, the route may be added", "/other/x", UNREADABLE_ROW, 100, 0,
    0, ERR_NO_CONFIG },
};

/* Guards against a request that is decided by a version of the configuration
   that may have been replaced longer ago than allowed.  */
static void
test_answers (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      clk_fake_t clock;
      fake_rows_t rows;
      fake_site_t site;
      node_t node;
      fake_caller_t caller = { 0 };
      const char *rest = NULL;
      clk_fake_init (&clock, 100000);
      fake_rows_init (&rows);
      fake_site_init (&site, &node, &rows, "n1", &clock.base);
      int64_t now_ms = node_now (&node);
      freshness_init (&node.config_freshness, LIMIT_MS, HEARD_LIMIT_MS);
      if (cases[i].row != NO_ROW)
        {
          fake_site_route (&node, "pool");
          node.config_unreadable = cases[i].row == UNREADABLE_ROW;
          freshness_replaced (&node.config_freshness, ROW_VERSION);
          freshness_confirmed (&node.config_freshness, ROW_VERSION,
                               now_ms - cases[i].age_ms);
        }
      freshness_heard (&node.config_freshness, cases[i].heard_version,
                       now_ms - cases[i].heard_ago_ms);
      const queue_t *queue = node_request_handlers.route (
          &node, (caller_request_t *)&caller, "host", cases[i].path, &rest);
      if ((queue != NULL) != (cases[i].kind == ERR_OK)
          || caller.answers != (queue == NULL) || caller.kind != cases[i].kind)
        printf ("%s: kind %s\n", cases[i].what, err_name (caller.kind));
      CU_ASSERT_EQUAL (queue != NULL, cases[i].kind == ERR_OK);
      CU_ASSERT_EQUAL (caller.answers, queue == NULL);
      CU_ASSERT_EQUAL (caller.kind, cases[i].kind);
      fake_site_clear (&node);
      fake_rows_clear (&rows);
    }
}

/* Guards against an owner that starts the tasks of a job which a newer version
   let in, and goes on to decide requests by the version before.  */
static void
test_job_of_newer_version (void)
{
  work_job_t *job = work_job_new ("0123456789abcdef", "queue", 1);
  job->spec = g_strdup ("");
  job->steps[0].count = 1;
  job->config_version = ROW_VERSION + 1;
  char *text = work_job_encode (job);
  work_job_free (job);
  job = work_job_decode (text, strlen (text), NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (job);
  if (job == NULL)
    return;
  CU_ASSERT_EQUAL (job->config_version, ROW_VERSION + 1);
  clk_fake_t clock;
  fake_rows_t rows;
  fake_site_t site;
  node_t node;
  clk_fake_init (&clock, 100000);
  fake_rows_init (&rows);
  fake_site_init (&site, &node, &rows, "n1", &clock.base);
  freshness_init (&node.config_freshness, LIMIT_MS, HEARD_LIMIT_MS);
  freshness_replaced (&node.config_freshness, ROW_VERSION);
  node_cell_t *cell = node_get_cell (&node, "pool");
  cell->scheduler = cell_new (&site.platform.settings.cells, node.clock,
                              &node_cell_actions, cell);
  node_cell_add_row (cell, job->id, text, strlen (text));
  CU_ASSERT_TRUE (freshness_is_behind (&node.config_freshness));
  fake_site_clear (&node);
  fake_rows_clear (&rows);
  work_job_free (job);
  free (text);
}

static CU_TestInfo node_config_tests[] = {
  { "answers by the age of the configuration", test_answers },
  { "a job of a newer version", test_job_of_newer_version },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_node_config_suites[] = {
  { "node config", NULL, NULL, NULL, NULL, node_config_tests },
  CU_SUITE_INFO_NULL,
};
