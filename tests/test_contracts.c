#include "test.h"

#include "instances.h"
#include "objects.h"
#include "table_http.h"
#include "workers.h"

#include <glib.h>
#include <string.h>

/* The result of a request: an answer, or why there is none.  */
typedef struct
{
  err_kind_t kind;
  outcome_t outcome;
  uint16_t status;
  const char *body;
} answer_t;

#define ANSWER(status, body)                                                  \
  {                                                                           \
    ERR_OK, OUTCOME_RAN, status, body                                         \
  }
#define NOT_CONNECTED                                                         \
  {                                                                           \
    ERR_CONNECT_FAILED, OUTCOME_NOT_RUN, 0, ""                                \
  }
#define NO_ANSWER                                                             \
  {                                                                           \
    ERR_TIMEOUT, OUTCOME_UNKNOWN, 0, ""                                       \
  }
#define CONNECTION_LOST                                                       \
  {                                                                           \
    ERR_CONNECTION_LOST, OUTCOME_UNKNOWN, 0, ""                               \
  }
#define ANSWER_CUT                                                            \
  {                                                                           \
    ERR_ANSWER_CUT, OUTCOME_UNKNOWN, 200, "{\"comm"                           \
  }
#define TOO_LARGE                                                             \
  {                                                                           \
    ERR_TOO_LARGE, OUTCOME_UNKNOWN, 200, ""                                   \
  }

static httpc_result_t
result_of (const answer_t *answer)
{
  return (httpc_result_t){ .kind = answer->kind,
                           .outcome = answer->outcome,
                           .status = answer->status,
                           .body = answer->body,
                           .body_length = strlen (answer->body) };
}

/* Guards against a transaction that is reported as not committed when it may
   have been, and against a conflict that the answer does not report.  */
static void
test_txn_answers (void)
{
  static const struct
  {
    answer_t answer;
    err_kind_t kind;
  } rows[] = {
    { ANSWER (200, "{\"committed\":true,\"versions\":{\"a\":3,\"b\":0}}"),
      ERR_OK },
    { ANSWER (409, "{\"committed\":false,\"failed\":[]}"), ERR_CONFLICT },
    { ANSWER (429, "{}"), ERR_STORE_UNAVAILABLE },
    { ANSWER (503, "down"), ERR_STORE_UNAVAILABLE },
    { ANSWER (400, "{}"), ERR_STORE_UNAVAILABLE },
    { NOT_CONNECTED, ERR_STORE_UNAVAILABLE },
    /* Sent, but it is not known whether it was committed.  */
    { NO_ANSWER, ERR_TIMEOUT },
    { CONNECTION_LOST, ERR_TIMEOUT },
    { ANSWER_CUT, ERR_TIMEOUT },
    { TOO_LARGE, ERR_TIMEOUT },
    { ANSWER (500, ""), ERR_TIMEOUT },
    { ANSWER (502, "{}"), ERR_TIMEOUT },
    { ANSWER (200, ""), ERR_TIMEOUT },
    { ANSWER (200, "[]"), ERR_TIMEOUT },
    { ANSWER (200, "{\"committed\":true}"), ERR_TIMEOUT },
    { ANSWER (200, "{\"committed\":true,\"versions\":{\"a\":3}}"),
      ERR_TIMEOUT },
    { ANSWER (200, "{\"committed\":true,\"versions\":{\"a\":3,\"b\":\"x\"}}"),
      ERR_TIMEOUT },
    { ANSWER (200, "{\"committed\":false}"), ERR_TIMEOUT },
    { ANSWER (409, "{\"error\":\"conflict\"}"), ERR_TIMEOUT },
    { ANSWER (409, "{\"committed\":true}"), ERR_TIMEOUT },
  };
  const table_row_t writes[] = { { "a", 0, NULL }, { "b", 0, NULL } };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      int64_t versions[2] = { -1, -1 };
      const char *detail;
      httpc_result_t result = result_of (&rows[i].answer);
      CU_ASSERT_EQUAL (
          table_http_parse_txn (&result, writes, 2, versions, &detail),
          rows[i].kind);
      if (rows[i].kind == ERR_OK)
        CU_ASSERT (versions[0] == 3 && versions[1] == 0);
    }
}

/* Guards against treating a malformed row, or one with another key, as
   absent.  */
static void
test_row_answers (void)
{
  static const struct
  {
    answer_t answer;
    err_kind_t kind;
    int64_t version;
  } rows[] = {
    { ANSWER (200, "{\"key\":\"a\",\"version\":7,\"value\":{}}"), ERR_OK, 7 },
    { ANSWER (404, "{\"error\":\"not_found\"}"), ERR_OK, 0 },
    { ANSWER (200, "{\"key\":\"b\",\"version\":7,\"value\":{}}"), ERR_INTERNAL,
      0 },
    { ANSWER (200, "{\"key\":\"a\",\"version\":0,\"value\":{}}"), ERR_INTERNAL,
      0 },
    { ANSWER (200, "{\"key\":\"a\",\"version\":7}"), ERR_INTERNAL, 0 },
    { ANSWER (200, "{\"key\":\"a\","), ERR_INTERNAL, 0 },
    { ANSWER (400, "{}"), ERR_INTERNAL, 0 },
    { ANSWER (429, "{}"), ERR_STORE_UNAVAILABLE, 0 },
    { ANSWER (500, ""), ERR_STORE_UNAVAILABLE, 0 },
    { ANSWER_CUT, ERR_STORE_UNAVAILABLE, 0 },
    { NO_ANSWER, ERR_STORE_UNAVAILABLE, 0 },
    { NOT_CONNECTED, ERR_STORE_UNAVAILABLE, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      json_t *value;
      table_row_t row;
      const char *detail;
      httpc_result_t result = result_of (&rows[i].answer);
      CU_ASSERT_EQUAL (
          table_http_parse_row (&result, "a", &value, &row, &detail),
          rows[i].kind);
      if (rows[i].kind == ERR_OK)
        CU_ASSERT_EQUAL (row.version, rows[i].version);
      CU_ASSERT_EQUAL (value != NULL, rows[i].version > 0);
      json_decref (value);
    }
}

/* Guards against a scan that misses pages or never ends.  */
static void
test_page_answers (void)
{
  static const struct
  {
    answer_t answer;
    err_kind_t kind;
    size_t count;
    bool more;
  } rows[] = {
    { ANSWER (200, "{\"rows\":[{\"key\":\"a\",\"version\":1,\"value\":1}],"
                   "\"more\":true}"),
      ERR_OK, 1, true },
    { ANSWER (200, "{\"rows\":[],\"more\":false}"), ERR_OK, 0, false },
    { ANSWER (200, "{\"rows\":[],\"more\":true}"), ERR_INTERNAL, 0, false },
    { ANSWER (200, "{\"rows\":[]}"), ERR_INTERNAL, 0, false },
    { ANSWER (200, "{\"more\":false}"), ERR_INTERNAL, 0, false },
    { ANSWER (200, "{\"rows\":[{\"key\":1}],\"more\":false}"), ERR_INTERNAL, 0,
      false },
    { ANSWER (404, "{}"), ERR_INTERNAL, 0, false },
    { ANSWER (503, "{}"), ERR_STORE_UNAVAILABLE, 0, false },
    { ANSWER_CUT, ERR_STORE_UNAVAILABLE, 0, false },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      json_t *list;
      bool more = false;
      const char *detail;
      httpc_result_t result = result_of (&rows[i].answer);
      CU_ASSERT_EQUAL (table_http_parse_page (&result, &list, &more, &detail),
                       rows[i].kind);
      CU_ASSERT_EQUAL (json_array_size (list), rows[i].count);
      if (rows[i].kind == ERR_OK)
        CU_ASSERT_EQUAL (more, rows[i].more);
      json_decref (list);
    }
}

/* Guards against a start or stop that counts as confirmed although the answer
   does not report its result.  */
static void
test_start_and_stop_answers (void)
{
  static const struct
  {
    answer_t answer;
    err_kind_t start, stop;
    unsigned first_result; /* of task "a" */
  } rows[] = {
    { ANSWER (200, "{\"results\":[{\"task\":\"b\",\"result\":\"stale\"},"
                   "{\"task\":\"a\",\"result\":\"running\"}]}"),
      ERR_OK, ERR_INTERNAL, WORKERS_RUNNING },
    { ANSWER (200, "{\"results\":[{\"task\":\"b\",\"result\":\"stopping\"},"
                   "{\"task\":\"a\",\"result\":\"unknown\"}]}"),
      ERR_INTERNAL, ERR_OK, WORKERS_STOP_UNKNOWN },
    { ANSWER (200, "{\"results\":[{\"task\":\"a\",\"result\":\"running\"}]}"),
      ERR_INTERNAL, ERR_INTERNAL, 0 },
    { ANSWER (200, "{\"results\":{}}"), ERR_INTERNAL, ERR_INTERNAL, 0 },
    { ANSWER (200, "nonsense"), ERR_INTERNAL, ERR_INTERNAL, 0 },
    { ANSWER (404, "{}"), ERR_NOT_FOUND, ERR_NOT_FOUND, 0 },
    { ANSWER (503, "{}"), ERR_TIMEOUT, ERR_TIMEOUT, 0 },
    { NO_ANSWER, ERR_TIMEOUT, ERR_TIMEOUT, 0 },
    { CONNECTION_LOST, ERR_TIMEOUT, ERR_TIMEOUT, 0 },
    { NOT_CONNECTED, ERR_CONNECT_FAILED, ERR_CONNECT_FAILED, 0 },
  };
  const char *const tasks[] = { "a", "b" };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      workers_start_result_t starts[2];
      workers_stop_result_t stops[2];
      const char *detail;
      httpc_result_t result = result_of (&rows[i].answer);
      CU_ASSERT_EQUAL (
          workers_http_parse_start (&result, tasks, 2, starts, &detail),
          rows[i].start);
      if (rows[i].start == ERR_OK)
        CU_ASSERT_EQUAL (starts[0], rows[i].first_result);
      CU_ASSERT_EQUAL (
          workers_http_parse_stop (&result, tasks, 2, stops, &detail),
          rows[i].stop);
      if (rows[i].stop == ERR_OK)
        CU_ASSERT_EQUAL (stops[0], rows[i].first_result);
    }
}

/* Guards against an answer to a lease call from which tasks are left out, as
   if the worker no longer had them.  */
static void
test_lease_answers (void)
{
  static const struct
  {
    answer_t answer;
    err_kind_t kind;
    uint32_t count;
  } rows[] = {
    { ANSWER (200, "{\"incarnation\":2,\"tasks\":[{\"task\":\"a\","
                   "\"generation\":4,\"state\":\"failed\",\"exit\":3}]}"),
      ERR_OK, 1 },
    { ANSWER (200, "{\"incarnation\":2,\"tasks\":[]}"), ERR_OK, 0 },
    { ANSWER (200, "{\"tasks\":[]}"), ERR_INTERNAL, 0 },
    { ANSWER (200, "{\"incarnation\":2}"), ERR_INTERNAL, 0 },
    { ANSWER (200, "{\"incarnation\":2,\"tasks\":[{\"task\":\"a\","
                   "\"generation\":4,\"state\":\"asleep\"}]}"),
      ERR_INTERNAL, 0 },
    { ANSWER (200, "{\"incarnation\":2,\"tasks\":[{\"generation\":4,"
                   "\"state\":\"ended\"}]}"),
      ERR_INTERNAL, 0 },
    { ANSWER_CUT, ERR_TIMEOUT, 0 },
    { NOT_CONNECTED, ERR_CONNECT_FAILED, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      int64_t incarnation = -1;
      workers_task_t *tasks;
      uint32_t count;
      void *answer;
      const char *detail;
      httpc_result_t result = result_of (&rows[i].answer);
      CU_ASSERT_EQUAL (workers_http_parse_lease (&result, &incarnation, &tasks,
                                                 &count, &answer, &detail),
                       rows[i].kind);
      CU_ASSERT_EQUAL (count, rows[i].count);
      if (count > 0)
        {
          CU_ASSERT_EQUAL (tasks[0].state, WORKERS_TASK_FAILED);
          CU_ASSERT_EQUAL (tasks[0].exit, 3);
          CU_ASSERT_EQUAL (tasks[0].cpu_millis, -1);
        }
      g_free (tasks);
      json_decref (answer);
    }
}

/* Guards against a put that is reported as not carried out when it may have
   been.  */
static void
test_object_answers (void)
{
  static const struct
  {
    answer_t answer;
    err_kind_t kind;
  } rows[] = {
    { ANSWER (200, "data"), ERR_OK },
    { ANSWER (404, ""), ERR_NOT_FOUND },
    { ANSWER (503, ""), ERR_STORE_UNAVAILABLE },
    { ANSWER (500, ""), ERR_TIMEOUT },
    { ANSWER (403, ""), ERR_INTERNAL },
    { NO_ANSWER, ERR_TIMEOUT },
    { ANSWER_CUT, ERR_TIMEOUT },
    { NOT_CONNECTED, ERR_STORE_UNAVAILABLE },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      httpc_result_t result = result_of (&rows[i].answer);
      CU_ASSERT_EQUAL (objects_http_kind (&result), rows[i].kind);
    }
}

typedef struct
{
  unsigned changes;
  instance_state_t state;
  int64_t incarnation;
} last_change_t;

static void
record_change (void *context, const instance_t *instance)
{
  last_change_t *last = context;
  last->changes++;
  last->state = instance->state;
  last->incarnation = instance->incarnation;
}

#define LIST(revision, state, incarnation)                                    \
  "{\"revision\":" revision ",\"full\":true,\"instances\":[{\"id\":\"w\","    \
  "\"kind\":\"worker\",\"zone\":\"z\",\"state\":\"" state                     \
  "\",\"incarnation\":" incarnation ",\"url\":\"u\"}]}"

/* Guards against an instance that becomes gone, or live again, although the
   list does not report it.  */
static void
test_list_answers (void)
{
  static const struct
  {
    answer_t answer;
    err_kind_t kind;
    unsigned changes; /* total so far */
    instance_state_t state;
    int64_t incarnation;
  } rows[] = {
    { NO_ANSWER, ERR_STORE_UNAVAILABLE, 0, INSTANCE_LIVE, 0 },
    { ANSWER (200, LIST ("1", "live", "1")), ERR_OK, 1, INSTANCE_LIVE, 1 },
    { ANSWER (200, LIST ("2", "live", "1")), ERR_OK, 1, INSTANCE_LIVE, 1 },
    { ANSWER (503, ""), ERR_STORE_UNAVAILABLE, 1, INSTANCE_LIVE, 1 },
    { ANSWER (200, "{\"revision\":3,\"instances\":{}}"), ERR_INTERNAL, 1,
      INSTANCE_LIVE, 1 },
    { ANSWER (200, LIST ("3", "missing", "1")), ERR_INTERNAL, 1, INSTANCE_LIVE,
      1 },
    { ANSWER (200, "{\"revision\":3,\"full\":true,\"instances\":[]}"), ERR_OK,
      1, INSTANCE_LIVE, 1 },
    { ANSWER (200, LIST ("4", "leaving", "1")), ERR_OK, 2, INSTANCE_LEAVING,
      1 },
    { ANSWER (200, LIST ("5", "gone", "1")), ERR_OK, 3, INSTANCE_GONE, 1 },
    { ANSWER (200, LIST ("6", "live", "1")), ERR_OK, 3, INSTANCE_GONE, 1 },
    { ANSWER (200, LIST ("7", "live", "2")), ERR_OK, 4, INSTANCE_LIVE, 2 },
    { ANSWER (200, LIST ("8", "gone", "1")), ERR_OK, 4, INSTANCE_LIVE, 2 },
    { ANSWER (200, "{\"revision\":9,\"instances\":[{\"id\":\"d\","
                   "\"kind\":\"disk\"}]}"),
      ERR_OK, 4, INSTANCE_LIVE, 2 },
  };
  last_change_t last = { 0 };
  clk_fake_t clock;
  clk_fake_init (&clock, 1000);
  struct ev_loop *loop = ev_loop_new (0);
  instances_t *instances = instances_new (NULL, &clock.base, loop, "http://x",
                                          "z", record_change, &last);
  CU_ASSERT_EQUAL (instances_age_ms (instances), -1);
  int64_t age_ms = -1;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      httpc_result_t result = result_of (&rows[i].answer);
      clk_fake_advance_ms (&clock, 10);
      age_ms = rows[i].kind == ERR_OK ? 0 : age_ms < 0 ? -1 : age_ms + 10;
      CU_ASSERT_EQUAL (instances_handle_answer (instances, &result),
                       rows[i].kind);
      CU_ASSERT_EQUAL (last.changes, rows[i].changes);
      CU_ASSERT_EQUAL (last.state, rows[i].state);
      CU_ASSERT_EQUAL (last.incarnation, rows[i].incarnation);
      CU_ASSERT_EQUAL (instances_age_ms (instances), age_ms);
    }
  instances_free (instances);
  ev_loop_destroy (loop);
}

static CU_TestInfo contract_tests[] = {
  { "answers to a transaction", test_txn_answers },
  { "answers to reading a row", test_row_answers },
  { "answers to reading a page", test_page_answers },
  { "answers to start and stop", test_start_and_stop_answers },
  { "answers to a lease call", test_lease_answers },
  { "answers of the object store", test_object_answers },
  { "answers of the instance list", test_list_answers },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_contract_suites[] = {
  { "contracts", NULL, NULL, NULL, NULL, contract_tests },
  CU_SUITE_INFO_NULL,
};
