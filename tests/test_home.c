#include "fake_cell.h"
#include "test.h"

#include <glib.h>
#include <string.h>

/* Where a job belongs, and under which terms, once the route that it came by
   has changed.  */

#define JOB_ID "0000000000000001"
#define MAX_ATTEMPTS 4

static work_job_t *
job_new (const queue_t *terms)
{
  work_job_t *job = work_job_new (JOB_ID, "queue", 1);
  job->spec = g_strdup ("x");
  job->accepted_ms = 1000;
  job->steps[0].count = 1;
  job->steps[0].need = (resource_t){ 1000, 1000, 0 };
  job->steps[0].estimate_ms = 100;
  job->terms = terms != NULL ? queue_copy (terms) : NULL;
  return job;
}

static const queue_t terms = { .name = (char *)"queue",
                               .host = (char *)"host",
                               .service = (char *)"pool",
                               .priority = 2,
                               .max_attempts = MAX_ATTEMPTS,
                               .stretch = 2.5,
                               .target_ms = 1500,
                               .advised = true,
                               .advice_ms = 170.5,
                               .advice_each_ms = 2.4,
                               .ticket_validity_ms = 1500 };

/* Guards against terms that change on their way through the store, and against
   rows of a version without them that cannot be read.  */
static void
test_terms_in_row (void)
{
  work_job_t *job = job_new (&terms);
  char *text = work_job_encode (job);
  work_job_t *read = work_job_decode (text, strlen (text), NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (read);
  CU_ASSERT_PTR_NOT_NULL_FATAL (read->terms);
  CU_ASSERT_STRING_EQUAL (read->terms->name, "queue");
  CU_ASSERT_EQUAL (read->terms->priority, 2);
  CU_ASSERT_EQUAL (read->terms->max_attempts, MAX_ATTEMPTS);
  CU_ASSERT_DOUBLE_EQUAL (read->terms->stretch, 2.5, 0.0001);
  CU_ASSERT_EQUAL (read->terms->target_ms, 1500);
  CU_ASSERT_TRUE (read->terms->advised);
  CU_ASSERT_DOUBLE_EQUAL (read->terms->advice_ms, 170.5, 0.0001);
  CU_ASSERT_DOUBLE_EQUAL (read->terms->advice_each_ms, 2.4, 0.0001);
  CU_ASSERT_EQUAL (read->terms->ticket_validity_ms, 1500);
  free (text);
  work_job_free (read);
  work_job_free (job);
  job = job_new (NULL);
  text = work_job_encode (job);
  read = work_job_decode (text, strlen (text), NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (read);
  CU_ASSERT_PTR_NULL (read->terms);
  free (text);
  work_job_free (read);
  work_job_free (job);
}

/* Guards against a job that fails with its first failed run because its route
   has gone, and against one without a limit of attempts: at the owner that saw
   the route go, and at the next one, which never knew it.  */
static void
test_attempts_without_route (void)
{
  for (int takes_over = 0; takes_over <= 1; takes_over++)
    {
      const fake_faults_t faults = { .failing_job = JOB_ID };
      fake_cell_t *sim = fake_cell_new (1, 4, &faults, DEFECT_NONE);
      queue_t plain = terms;
      plain.advised = false;
      fake_cell_submit (sim, job_new (&plain));
      fake_cell_run (sim, 50);
      fake_cell_drop_queues (sim);
      if (takes_over)
        fake_cell_take_over (sim);
      fake_cell_run (sim, 10000);
      CU_ASSERT_EQUAL (fake_cell_starts (sim), MAX_ATTEMPTS);
      CU_ASSERT_STRING_EQUAL (fake_cell_saved_state (sim, JOB_ID), "failed");
      CU_ASSERT_PTR_NULL (fake_cell_violation (sim));
      fake_cell_free (sim);
    }
}

/* Guards against starts without a ticket, which workers refuse, because the
   route has gone.  */
static void
test_tickets_without_route (void)
{
  const fake_faults_t faults = { .ticket_validity_ms = 1000 };
  fake_cell_t *sim = fake_cell_new (1, 12, &faults, DEFECT_NONE);
  fake_cell_drop_queues (sim);
  fake_cell_submit (sim, job_new (&terms));
  fake_cell_take_over (sim);
  fake_cell_run (sim, 3000);
  CU_ASSERT_TRUE (fake_cell_advice_calls (sim) > 0);
  CU_ASSERT_STRING_EQUAL (fake_cell_saved_state (sim, JOB_ID), "completed");
  fake_cell_free (sim);
}

static CU_TestInfo home_tests[] = {
  { "terms in the row of a job", test_terms_in_row },
  { "attempts of a job without a route", test_attempts_without_route },
  { "tickets of a job without a route", test_tickets_without_route },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_home_suites[] = {
  { "home", NULL, NULL, NULL, NULL, home_tests },
  CU_SUITE_INFO_NULL,
};
