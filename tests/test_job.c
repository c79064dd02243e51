#include "test.h"

#include "job.h"

#include <stdlib.h>
#include <string.h>

#define SIZE "\"size\":{\"cpu_millis\":100,\"memory_mib\":10}"
#define OTHER_FIELDS "\"team\":\"t\",\"command\":\"c\"," SIZE

/* Guards against an invalid specification that is accepted, or refused without
   naming the field.  */
static void
test_bad_fields (void)
{
  static const struct
  {
    const char *json, *field; /* NULL: accepted */
  } rows[] = {
    { "{\"kind\":\"batch\"," OTHER_FIELDS "}", NULL },
    { "{\"kind\":\"service\",\"replicas\":3," OTHER_FIELDS "}", NULL },
    { "[]", "JSON object" },
    { "{" OTHER_FIELDS "}", "\"kind\"" },
    { "{\"kind\":\"job\"," OTHER_FIELDS "}", "\"kind\"" },
    { "{\"kind\":\"batch\",\"class\":\"fast\"," OTHER_FIELDS "}",
      "\"class\"" },
    { "{\"kind\":\"batch\",\"tasks\":0," OTHER_FIELDS "}", "\"tasks\"" },
    { "{\"kind\":\"batch\",\"tasks\":1.5," OTHER_FIELDS "}", "\"tasks\"" },
    { "{\"kind\":\"batch\",\"tasks\":1,\"replicas\":1," OTHER_FIELDS "}",
      "\"replicas\"" },
    { "{\"kind\":\"batch\",\"team\":\"t\",\"command\":\"c\"}", "\"size\"" },
    { "{\"kind\":\"batch\",\"team\":\"t\",\"command\":\"c\",\"size\":{"
      "\"cpu_millis\":-1,\"memory_mib\":1}}",
      "\"cpu_millis\"" },
    { "{\"kind\":\"batch\",\"command\":\"c\"," SIZE "}", "\"team\"" },
    { "{\"kind\":\"batch\",\"team\":\"a/b\",\"command\":\"c\"," SIZE "}",
      "\"team\"" },
    { "{\"kind\":\"batch\",\"id\":\"a/b\"," OTHER_FIELDS "}", "\"id\"" },
    { "{\"kind\":\"batch\",\"run_ms\":-5," OTHER_FIELDS "}", "\"run_ms\"" },
    { "{\"kind\":\"batch\",\"zones\":[]," OTHER_FIELDS "}", "\"zones\"" },
    { "{\"kind\":\"batch\",\"zones\":[\"z\",\"z\"]," OTHER_FIELDS "}",
      "\"zones\"" },
    { "{\"kind\":\"batch\",\"restart\":{\"max_failures\":\"x\"}," OTHER_FIELDS
      "}",
      "\"max_failures\"" },
    { "{\"kind\":\"batch\",\"color\":1," OTHER_FIELDS "}", "\"color\"" },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      GError *error = NULL;
      json_t *json = json_loads (rows[i].json, 0, NULL);
      job_spec_t *spec = job_spec_parse (json, &error);
      CU_ASSERT_EQUAL (spec == NULL, rows[i].field != NULL);
      if (rows[i].field != NULL)
        {
          CU_ASSERT_EQUAL (error->code, ERR_BAD_REQUEST);
          CU_ASSERT_PTR_NOT_NULL (strstr (error->message, rows[i].field));
        }
      g_clear_error (&error);
      job_spec_free (spec);
      json_decref (json);
    }
}

/* Guards against a field that is lost when a row is written and read back.  */
static void
test_rows_round_trip (void)
{
  part_row_t *part = part_row_new (7, 3);
  part_task_t *task = &g_array_index (part->tasks, part_task_t, 1);
  *task = (part_task_t){ 5, 0, 2, TASK_ASSIGNED, 3 };
  g_ptr_array_add (part->worker_ids, g_strdup ("w1"));
  g_ptr_array_add (part->failed_on, g_strdup ("w9"));
  worker_row_t *worker = worker_row_new (42);
  worker->held_back = true;
  worker_row_assign (worker, "j/8", 5, (resource_t){ 1, 2, 3 });
  json_t *spec = json_loads (
      "{\"kind\":\"batch\",\"id\":\"j\"," OTHER_FIELDS "}", 0, NULL);
  job_row_t *job = job_row_new (job_spec_parse (spec, NULL), "s:1", 9);
  job_row_add_part (job, "z", 7, 3);
  job->state = JOB_CANCELLING;
  json_t *first[]
      = { part_row_to_json (part, "x"), worker_row_to_json (worker, "x"),
          job_row_to_json (job, "x") };
  part_row_t *part_again = part_row_parse (first[0], NULL);
  worker_row_t *worker_again = worker_row_parse (first[1], NULL);
  job_row_t *job_again = job_row_parse (first[2], NULL);
  json_t *second[] = { part_row_to_json (part_again, "x"),
                       worker_row_to_json (worker_again, "x"),
                       job_row_to_json (job_again, "x") };
  for (size_t i = 0; i < 3; i++)
    {
      CU_ASSERT (json_equal (first[i], second[i]));
      json_decref (first[i]);
      json_decref (second[i]);
    }
  part_row_free (part);
  part_row_free (part_again);
  worker_row_free (worker);
  worker_row_free (worker_again);
  job_row_free (job);
  job_row_free (job_again);
  json_decref (spec);
}

/* Guards against a damaged part row that is accepted.  */
static void
test_damaged_rows (void)
{
  static const char *const parts[] = {
    "{}",
    "{\"generation\":[1],\"worker\":[0],\"workers\":[],\"state\":\"a\"}",
    "{\"generation\":[1],\"worker\":[-1],\"workers\":[],\"state\":\"a\"}",
    "{\"generation\":[1],\"worker\":[-1],\"workers\":[],\"state\":\"q\"}",
    "{\"generation\":[1,2],\"worker\":[-1],\"workers\":[],\"state\":\"ww\"}",
  };
  for (size_t i = 0; i < sizeof parts / sizeof parts[0]; i++)
    {
      json_t *json = json_loads (parts[i], 0, NULL);
      CU_ASSERT_PTR_NULL (part_row_parse (json, NULL));
      json_decref (json);
    }
}

static CU_TestInfo job_tests[] = {
  { "bad fields are named", test_bad_fields },
  { "rows are read back as written", test_rows_round_trip },
  { "damaged rows are refused", test_damaged_rows },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_job_suites[] = {
  { "job", NULL, NULL, NULL, NULL, job_tests },
  CU_SUITE_INFO_NULL,
};
