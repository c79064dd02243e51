#include "fake_cell.h"
#include "fake_rows.h"
#include "log.h"
#include "test.h"

#include <glib.h>
#include <stdio.h>
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
  if (read == NULL)
    return;
  CU_ASSERT_PTR_NOT_NULL_FATAL (read->terms);
  if (read->terms == NULL)
    return;
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
  if (read == NULL)
    return;
  CU_ASSERT_PTR_NULL (read->terms);
  free (text);
  work_job_free (read);
  work_job_free (job);
}

/* Guards against a row without the version of the configuration, as an earlier
   build has written it, that is read with an arbitrary one: a node that hears
   of a version which does not exist refuses requests until the store says so.
   */
static void
test_row_without_version (void)
{
  for (int i = 0; i < 3; i++)
    {
      work_job_t *job = job_new (NULL);
      job->config_version = (uint64_t)i;
      char *text = work_job_encode (job);
      work_job_t *read = work_job_decode (text, strlen (text), NULL);
      CU_ASSERT_PTR_NOT_NULL_FATAL (read);
      CU_ASSERT_TRUE (read != NULL && read->config_version == (uint64_t)i);
      free (text);
      work_job_free (read);
      work_job_free (job);
    }
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

/* Two nodes on one store.  */
typedef struct
{
  fake_rows_t rows;
  clk_fake_t clock;
  fake_site_t sites[2];
  node_t nodes[2];
} two_nodes_t;

static void
two_nodes_init (two_nodes_t *two)
{
  clk_fake_init (&two->clock, 100000);
  fake_rows_init (&two->rows);
  fake_site_init (&two->sites[0], &two->nodes[0], &two->rows, "edge-1",
                  &two->clock.base);
  fake_site_init (&two->sites[1], &two->nodes[1], &two->rows, "edge-2",
                  &two->clock.base);
  for (int i = 0; i < 2; i++)
    {
      node_get_cell (&two->nodes[i], "old");
      node_get_cell (&two->nodes[i], "new");
    }
}

static void
two_nodes_clear (two_nodes_t *two)
{
  fake_site_clear (&two->nodes[0]);
  fake_site_clear (&two->nodes[1]);
  fake_rows_clear (&two->rows);
}

static void
route_both (two_nodes_t *two, const char *service)
{
  fake_site_route (&two->nodes[0], service);
  fake_site_route (&two->nodes[1], service);
}

static const queue_t *
queue_of (const node_t *node)
{
  return node->queues->queues->pdata[0];
}

/* The part of JOB_ID.  */
#define PART "00"

static void
send_submission (node_t *node, fake_caller_t *caller)
{
  *caller = (fake_caller_t){ 0 };
  node_request_handlers.submit (node, (caller_request_t *)caller,
                                queue_of (node), job_new (NULL), 3000);
}

static fake_caller_t
submit (two_nodes_t *two, int node)
{
  fake_caller_t caller;
  send_submission (&two->nodes[node], &caller);
  fake_rows_settle (&two->rows);
  return caller;
}

static fake_caller_t
ask (two_nodes_t *two, int node)
{
  fake_caller_t caller = { 0 };
  node_request_handlers.state (&two->nodes[node], (caller_request_t *)&caller,
                               queue_of (&two->nodes[node]), JOB_ID);
  fake_rows_settle (&two->rows);
  return caller;
}

static fake_caller_t
cancel (two_nodes_t *two, int node)
{
  fake_caller_t caller = { 0 };
  node_request_handlers.cancel (&two->nodes[node], (caller_request_t *)&caller,
                                queue_of (&two->nodes[node]), JOB_ID);
  fake_rows_settle (&two->rows);
  return caller;
}

static bool
is_stored (const two_nodes_t *two, const char *cell)
{
  char *table = g_strconcat ("inbox.", cell, NULL);
  bool stored = fake_rows_get (&two->rows, table, PART, JOB_ID) != NULL;
  g_free (table);
  return stored;
}

static void
expect_one_job (two_nodes_t *two, const char *cell)
{
  CU_ASSERT_EQUAL (is_stored (two, "old"), strcmp (cell, "old") == 0);
  CU_ASSERT_EQUAL (is_stored (two, "new"), strcmp (cell, "new") == 0);
}

/* Guards against a job that is accepted a second time, not found, or not
   cancelled, because its route names another service than when it was
   accepted: moved, moved and back, dropped and added again.  */
static void
test_moved_route (void)
{
  static const struct
  {
    const char *at_acceptance;
    const char *later[3]; /* services; "-": the route is dropped */
    const char *record;   /* of the owner; NULL: none yet */
    const char *state;
  } rows[] = {
    { "old", { "new" }, NULL, "queued" },
    { "old", { "new" }, "1 R 0\n", "running" },
    { "old", { "new", "old" }, "1 R 0\n", "running" },
    { "old", { "new", "old", "new" }, "1 C 0\n", "completed" },
    { "old", { "-", "old" }, NULL, "queued" },
    { "old", { "-", "new" }, "1 R 0\n", "running" },
    { "new", { "old", "-", "new" }, "1 F 0\n", "failed" },
    { "old", { "third" }, "1 R 0\n", "running" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      two_nodes_t two;
      two_nodes_init (&two);
      route_both (&two, rows[i].at_acceptance);
      CU_ASSERT_EQUAL (submit (&two, 0).kind, ERR_OK);
      fake_rows_put (&two.rows, "record", rows[i].at_acceptance, JOB_ID,
                     rows[i].record);
      for (size_t j = 0; j < 3 && rows[i].later[j] != NULL; j++)
        route_both (&two, strcmp (rows[i].later[j], "-") == 0
                              ? NULL
                              : rows[i].later[j]);
      for (int node = 0; node < 2; node++)
        {
          fake_caller_t caller = ask (&two, node);
          CU_ASSERT_EQUAL (caller.kind, ERR_OK);
          CU_ASSERT_STRING_EQUAL (caller.state, rows[i].state);
          CU_ASSERT_EQUAL (submit (&two, node).kind, ERR_OK);
          expect_one_job (&two, rows[i].at_acceptance);
        }
      CU_ASSERT_EQUAL (cancel (&two, 1).kind, ERR_OK);
      char *table = g_strconcat ("inbox.", rows[i].at_acceptance, NULL);
      CU_ASSERT_PTR_NOT_NULL (
          fake_rows_get (&two.rows, table, PART, JOB_ID "/c"));
      g_free (table);
      two_nodes_clear (&two);
    }
}

/* Guards against a job that a node of the build before has stored, which is
   accepted again or not found once its route has moved.  */
static void
test_job_without_home (void)
{
  two_nodes_t two;
  two_nodes_init (&two);
  route_both (&two, "new");
  fake_rows_put (&two.rows, "inbox.old", PART, JOB_ID, "{}");
  CU_ASSERT_EQUAL (submit (&two, 0).kind, ERR_OK);
  expect_one_job (&two, "old");
  CU_ASSERT_STRING_EQUAL (ask (&two, 1).state, "queued");
  fake_rows_put (&two.rows, "record", "old", JOB_ID, "1 R 0\n");
  CU_ASSERT_STRING_EQUAL (ask (&two, 1).state, "running");
  CU_ASSERT_EQUAL (cancel (&two, 1).kind, ERR_OK);
  CU_ASSERT_PTR_NOT_NULL (
      fake_rows_get (&two.rows, "inbox.old", PART, JOB_ID "/c"));
  two_nodes_clear (&two);
}

/* Guards against an id that counts as known for good although its job was
   deleted after its retention, by this build or, with the home left behind, by
   the build before; and against its deletion in the wrong cell.  */
static void
test_deleted_job (void)
{
  for (int leaves_home = 0; leaves_home <= 1; leaves_home++)
    {
      two_nodes_t two;
      two_nodes_init (&two);
      route_both (&two, "old");
      CU_ASSERT_EQUAL (submit (&two, 0).kind, ERR_OK);
      route_both (&two, "new");
      if (leaves_home)
        fake_rows_put (&two.rows, "inbox.old", PART, JOB_ID, NULL);
      else
        node_delete_job (node_get_cell (&two.nodes[1], "old"), JOB_ID);
      fake_rows_settle (&two.rows);
      CU_ASSERT_EQUAL (fake_rows_get (&two.rows, "home", PART, JOB_ID) != NULL,
                       leaves_home == 1);
      CU_ASSERT_TRUE (ask (&two, 0).no_job);
      CU_ASSERT_TRUE (cancel (&two, 0).no_job);
      fake_caller_t caller;
      send_submission (&two.nodes[1], &caller);
      for (int i = 0; i < 10 && caller.answers == 0; i++)
        {
          fake_rows_settle (&two.rows);
          ev_run (two.nodes[1].loop,
                  caller.answers == 0 ? EVRUN_ONCE : EVRUN_NOWAIT);
        }
      CU_ASSERT_EQUAL (caller.kind, ERR_OK);
      expect_one_job (&two, "new");
      CU_ASSERT_STRING_EQUAL (fake_rows_get (&two.rows, "home", PART, JOB_ID),
                              "new");
      CU_ASSERT_STRING_EQUAL (ask (&two, 0).state, "queued");
      two_nodes_clear (&two);
    }
}

/* Guards against a job that is submitted again after its deletion and loses
   its record, so that the next owner starts it anew, to the late removal of
   the old one.  */
static void
test_id_used_again (void)
{
  static const cell_options_t options = { .max_lease_ms = 6000 };
  static const cell_inheritance_t nothing = { 0 };
  two_nodes_t two;
  two_nodes_init (&two);
  node_cell_t *cell = node_get_cell (&two.nodes[0], "old");
  cell->scheduler
      = cell_new (&options, &two.clock.base, &node_cell_actions, cell);
  cell_begin (cell->scheduler, &nothing);
  cell->state = CELL_OWNED;
  fake_rows_put (&two.rows, "record", "old", JOB_ID, "1 R 0\n");
  fake_rows_put (&two.rows, "record", "old", "0000000000000002", "1 C 0\n");
  g_ptr_array_add (cell->expired_ids, g_strdup (JOB_ID));
  g_ptr_array_add (cell->expired_ids, g_strdup ("0000000000000002"));
  cell_add_job (cell->scheduler, job_new (NULL));
  node_commit (cell);
  fake_rows_settle (&two.rows);
  CU_ASSERT_PTR_NOT_NULL (fake_rows_get (&two.rows, "record", "old", JOB_ID));
  CU_ASSERT_PTR_NULL (
      fake_rows_get (&two.rows, "record", "old", "0000000000000002"));
  two_nodes_clear (&two);
}

/* Guards against a cancel that is stored, and answered as done, although the
   job has been deleted since it was found.  */
static void
test_cancel_of_deleted_job (void)
{
  two_nodes_t two;
  fake_caller_t caller = { 0 };
  two_nodes_init (&two);
  route_both (&two, "old");
  submit (&two, 0);
  node_request_handlers.cancel (&two.nodes[0], (caller_request_t *)&caller,
                                queue_of (&two.nodes[0]), JOB_ID);
  fake_rows_deliver (&two.rows, 0, DELIVERED); /* the search */
  fake_rows_put (&two.rows, "inbox.old", PART, JOB_ID, NULL);
  fake_rows_settle (&two.rows);
  CU_ASSERT_TRUE (caller.no_job);
  CU_ASSERT_PTR_NULL (
      fake_rows_get (&two.rows, "inbox.old", PART, JOB_ID "/c"));
  two_nodes_clear (&two);
}

/* Guards against "no such job" while the store is away.  */
static void
test_store_away (void)
{
  two_nodes_t two;
  two_nodes_init (&two);
  route_both (&two, "old");
  submit (&two, 0);
  route_both (&two, "new");
  /* Each of the calls of a search fails in turn, twice.  */
  for (guint failing = 0; failing < 4; failing++)
    {
      fake_caller_t caller = { 0 };
      node_request_handlers.state (&two.nodes[1], (caller_request_t *)&caller,
                                   queue_of (&two.nodes[1]), JOB_ID);
      for (guint i = 0; i < failing; i++)
        fake_rows_deliver (&two.rows, 0, DELIVERED);
      while (two.rows.calls->len > 0)
        fake_rows_deliver (&two.rows, 0, REFUSED);
      CU_ASSERT_EQUAL (caller.answers, 1);
      CU_ASSERT_EQUAL (caller.kind, ERR_STORE_UNAVAILABLE);
    }
  CU_ASSERT_STRING_EQUAL (ask (&two, 1).state, "queued");
  two_nodes_clear (&two);
}

/* Guards against a count that leaves out the jobs which wait where the route
   led before.  */
static void
test_pending_of_moved_route (void)
{
  two_nodes_t two;
  fake_caller_t caller = { 0 };
  static const char old_beat[]
      = "{\"owner\":\"edge-2\",\"pending\":{\"queue\":3,\"other\":9}}";
  static const char new_beat[]
      = "{\"owner\":\"edge-2\",\"pending\":{\"queue\":2}}";
  two_nodes_init (&two);
  route_both (&two, "new");
  node_heartbeat_changed (node_get_cell (&two.nodes[0], "old"), old_beat,
                          strlen (old_beat));
  node_heartbeat_changed (node_get_cell (&two.nodes[0], "new"), new_beat,
                          strlen (new_beat));
  node_request_handlers.pending (&two.nodes[0], (caller_request_t *)&caller,
                                 queue_of (&two.nodes[0]));
  CU_ASSERT_EQUAL (caller.pending, 5);
  two_nodes_clear (&two);
}

/* The choices of one run of an exploration, and how many there were each time;
   the next run differs in the last choice that has another option.  */
typedef struct
{
  guint chosen[64], options[64];
  guint length, at;
} choices_t;

static guint
choose (choices_t *choices, guint options)
{
  if (choices->at == choices->length)
    {
      choices->chosen[choices->at] = 0;
      choices->length++;
    }
  choices->options[choices->at] = options;
  return choices->chosen[choices->at++];
}

static bool
next_choices (choices_t *choices)
{
  while (choices->length > 0
         && choices->chosen[choices->length - 1] + 1
                >= choices->options[choices->length - 1])
    choices->length--;
  if (choices->length == 0)
    return false;
  choices->chosen[choices->length - 1]++;
  choices->at = 0;
  return true;
}

/* Delivers the calls that wait in a chosen order; LOSSES of them, at chosen
   moments, have no answer, and of these some are carried out at the end.  */
static void
deliver_chosen (two_nodes_t *two, choices_t *choices, guint *losses)
{
  while (two->rows.calls->len > 0)
    {
      guint index = choose (choices, two->rows.calls->len);
      fake_delivery_t delivery = DELIVERED;
      if (*losses > 0)
        {
          static const fake_delivery_t kinds[]
              = { DELIVERED, ANSWER_LOST, CARRIED_OUT_LATE };
          delivery = kinds[choose (choices, G_N_ELEMENTS (kinds))];
          *losses -= delivery != DELIVERED;
        }
      fake_rows_deliver (&two->rows, index, delivery);
      CU_ASSERT_FALSE (is_stored (two, "old") && is_stored (two, "new"));
      if (is_stored (two, "old") || is_stored (two, "new"))
        CU_ASSERT_STRING_EQUAL (
            fake_rows_get (&two->rows, "home", PART, JOB_ID),
            is_stored (two, "old") ? "old" : "new");
    }
}

/* Runs the loops of the nodes until no retry waits.  */
static void
run_retries (two_nodes_t *two, choices_t *choices, guint *losses,
             const fake_caller_t *callers, guint count)
{
  bool open = true;
  while (open)
    {
      open = false;
      for (guint i = 0; i < count; i++)
        open = open || callers[i].answers == 0;
      if (open)
        for (int i = 0; i < 2; i++)
          ev_run (two->nodes[i].loop, EVRUN_NOWAIT);
      deliver_chosen (two, choices, losses);
    }
}

/* Guards against any order of calls in which a job is stored in two cells, is
   answered as accepted and is not stored, or as not accepted and is, or in
   which a cancel is answered as done and is not stored: two nodes, of which
   one has not seen the new configuration yet, accept the same id while a third
   caller cancels it, and one answer of the store is lost or one call is late.
 */
static void
test_all_orders (void)
{
  choices_t choices = { .length = 0 };
  uint32_t runs = 0;
  do
    {
      two_nodes_t two;
      fake_caller_t callers[3] = { { 0 } };
      guint losses = 1;
      two_nodes_init (&two);
      fake_site_route (&two.nodes[0], "old");
      fake_site_route (&two.nodes[1], "new");
      send_submission (&two.nodes[0], &callers[0]);
      send_submission (&two.nodes[1], &callers[1]);
      node_request_handlers.cancel (&two.nodes[1],
                                    (caller_request_t *)&callers[2],
                                    queue_of (&two.nodes[1]), JOB_ID);
      run_retries (&two, &choices, &losses, callers, G_N_ELEMENTS (callers));
      fake_rows_deliver_late (&two.rows);
      const char *cell = is_stored (&two, "old") ? "old" : "new";
      expect_one_job (&two, cell);
      for (guint i = 0; i < G_N_ELEMENTS (callers); i++)
        CU_ASSERT_EQUAL (callers[i].answers, 1);
      CU_ASSERT_EQUAL (callers[0].kind, ERR_OK);
      CU_ASSERT_EQUAL (callers[1].kind, ERR_OK);
      char *inbox = g_strconcat ("inbox.", cell, NULL);
      bool cancelled
          = fake_rows_get (&two.rows, inbox, PART, JOB_ID "/c") != NULL;
      /* A cancel may be without an answer.  */
      if (callers[2].kind == ERR_OK || callers[2].no_job)
        CU_ASSERT_TRUE (cancelled);
      CU_ASSERT_STRING_EQUAL (ask (&two, 0).state, "queued");
      CU_ASSERT_STRING_EQUAL (ask (&two, 1).state, "queued");
      g_free (inbox);
      two_nodes_clear (&two);
      runs++;
    }
  while (next_choices (&choices));
  printf ("home: %u orders of calls\n", runs);
}

/* Delivers the calls that wait in a chosen order, and runs the loops, until
   all callers have their answers.  */
static void
finish_chosen (two_nodes_t *two, choices_t *choices, guint *losses,
               const fake_caller_t *callers, guint count)
{
  run_retries (two, choices, losses, callers, count);
  fake_rows_deliver_late (&two->rows);
}

/* Whether the job is stored and would run.  */
static bool
would_run (const two_nodes_t *two)
{
  bool runs = false;
  for (int i = 0; i < 2; i++)
    {
      char *table = g_strconcat ("inbox.", i == 0 ? "old" : "new", NULL);
      runs = runs
             || (fake_rows_get (&two->rows, table, PART, JOB_ID) != NULL
                 && fake_rows_get (&two->rows, table, PART, JOB_ID "/c")
                        == NULL);
      g_free (table);
    }
  return runs;
}

/* Plays all orders of the calls of a submission and CANCELS, one or two, of
   which the first is sent by a node that may have another route; LOSSES
   answers of the store are lost, or calls late.  Returns in how many the job
   would run although a cancel was answered.  */
static uint32_t
explore_cancels (const char *other_route, int cancels, guint most_losses,
                 const char *unchecked_table, uint32_t *runs)
{
  choices_t choices = { .length = 0 };
  uint32_t bad = 0;
  do
    {
      two_nodes_t two;
      fake_caller_t callers[3] = { { 0 } };
      guint losses = most_losses;
      two_nodes_init (&two);
      two.rows.unchecked_table = unchecked_table;
      fake_site_route (&two.nodes[0], "old");
      fake_site_route (&two.nodes[1], other_route);
      send_submission (&two.nodes[0], &callers[0]);
      for (int i = 0; i < 2; i++)
        node_request_handlers.cancel (&two.nodes[i],
                                      (caller_request_t *)&callers[1 + i],
                                      queue_of (&two.nodes[i]), JOB_ID);
      finish_chosen (&two, &choices, &losses, callers, 3);
      for (int i = 1; i <= cancels; i++)
        bad += (callers[i].kind == ERR_OK || callers[i].no_job)
               && would_run (&two);
      /* The submission arrives again.  */
      CU_ASSERT_EQUAL (submit (&two, 1).kind, ERR_OK);
      if (unchecked_table == NULL && !is_stored (&two, "old"))
        CU_ASSERT_TRUE (is_stored (&two, "new"));
      for (int i = 1; i <= cancels; i++)
        bad += (callers[i].kind == ERR_OK || callers[i].no_job)
               && would_run (&two);
      two_nodes_clear (&two);
      ++*runs;
    }
  while (next_choices (&choices));
  return bad;
}

/* Guards against a job that runs although its cancel was answered, as done or
   with "no such job": its submission was under way, given up by its caller, or
   carried out late by the store, or it arrives again afterwards.  */
static void
test_cancel_before_submission (void)
{
  uint32_t runs = 0;
  log_set_level (LOG_ERROR);
  CU_ASSERT_EQUAL (explore_cancels ("old", 1, 0, NULL, &runs), 0);
  CU_ASSERT_EQUAL (explore_cancels ("new", 1, 1, NULL, &runs), 0);
  CU_ASSERT_EQUAL (explore_cancels ("new", 2, 0, NULL, &runs), 0);
  printf ("home: %u orders of a submission and cancels\n", runs);
  CU_ASSERT_TRUE (explore_cancels ("old", 1, 0, "tombstone", &runs) > 0);
  log_set_level (LOG_INFO);
}

/* Plays all orders of the calls of a submission and a query that begins
   meanwhile.  Returns in how many the query was answered with "no such job"
   although the job was stored when it began, or was found at its home.  */
static uint32_t
explore_query (const char *route, const char *other_route,
               const char *hidden_table, uint32_t *runs)
{
  choices_t choices = { .length = 0 };
  uint32_t bad = 0;
  do
    {
      two_nodes_t two;
      fake_caller_t callers[2] = { { 0 } };
      two_nodes_init (&two);
      two.rows.hidden_table = hidden_table;
      fake_site_route (&two.nodes[0], route);
      fake_site_route (&two.nodes[1], other_route);
      send_submission (&two.nodes[0], &callers[0]);
      bool stored_before = choose (&choices, 2) == 1;
      if (stored_before)
        fake_rows_settle (&two.rows);
      node_request_handlers.state (&two.nodes[1],
                                   (caller_request_t *)&callers[1],
                                   queue_of (&two.nodes[1]), JOB_ID);
      bool home_found = false;
      while (two.rows.calls->len > 0)
        {
          guint before = two.rows.calls->len;
          guint at = choose (&choices, before);
          bool reads_home = fake_rows_reads (&two.rows, at, "home");
          home_found = home_found
                       || (reads_home
                           && fake_rows_get (&two.rows, "home", PART, JOB_ID)
                                  != NULL);
          fake_rows_deliver (&two.rows, at, DELIVERED);
        }
      CU_ASSERT_EQUAL (callers[1].answers, 1);
      bad += callers[1].no_job && (stored_before || home_found);
      two_nodes_clear (&two);
      ++*runs;
    }
  while (next_choices (&choices));
  return bad;
}

/* Guards against "no such job" about a job that is stored between two reads of
   the search, or was before the first.  */
static void
test_query_during_submission (void)
{
  uint32_t runs = 0;
  CU_ASSERT_EQUAL (explore_query ("old", "old", NULL, &runs), 0);
  CU_ASSERT_EQUAL (explore_query ("old", "new", NULL, &runs), 0);
  printf ("home: %u orders of a submission and a query\n", runs);
  CU_ASSERT_TRUE (explore_query ("old", "old", "home", &runs) > 0);
}

/* Guards against a submission that finds a tombstone and runs all the same at
   the owner, and against tombstones of such jobs that stay.  */
static void
test_cancelled_submission (void)
{
  static const cell_options_t options = { .max_lease_ms = 6000 };
  static const cell_inheritance_t nothing = { 0 };
  two_nodes_t two;
  cell_totals_t totals;
  two_nodes_init (&two);
  route_both (&two, "old");
  CU_ASSERT_TRUE (cancel (&two, 1).no_job);
  CU_ASSERT_PTR_NOT_NULL (
      fake_rows_get (&two.rows, "tombstone", PART, JOB_ID));
  CU_ASSERT_TRUE (cancel (&two, 0).no_job);
  CU_ASSERT_TRUE (ask (&two, 0).no_job);
  CU_ASSERT_EQUAL (submit (&two, 1).kind, ERR_OK);
  CU_ASSERT_PTR_NULL (fake_rows_get (&two.rows, "tombstone", PART, JOB_ID));
  CU_ASSERT_EQUAL (submit (&two, 0).kind, ERR_OK);
  CU_ASSERT_EQUAL (cancel (&two, 0).kind, ERR_OK);
  const char *row = fake_rows_get (&two.rows, "inbox.old", PART, JOB_ID);
  CU_ASSERT_PTR_NOT_NULL_FATAL (row);
  node_cell_t *cell = node_get_cell (&two.nodes[0], "old");
  cell->scheduler
      = cell_new (&options, &two.clock.base, &node_cell_actions, cell);
  cell_begin (cell->scheduler, &nothing);
  cell->state = CELL_OWNED;
  cell->replay_pass = REPLAY_DONE;
  if (row != NULL)
    node_cell_add_row (cell, JOB_ID, row, strlen (row));
  cell_totals (cell->scheduler, &totals);
  CU_ASSERT_EQUAL (totals.jobs, 1);
  CU_ASSERT_EQUAL (totals.waiting_tasks, 0);
  two_nodes_clear (&two);
}

static uint32_t
count_tombstones (const fake_rows_t *rows)
{
  uint32_t count = 0;
  GHashTableIter iterator;
  gpointer name;
  g_hash_table_iter_init (&iterator, rows->rows);
  while (g_hash_table_iter_next (&iterator, &name, NULL))
    count += g_str_has_prefix (name, "tombstone ");
  return count;
}

/* Cancels COUNT ids from FIRST on that never existed.  Returns how many were
   answered with "no such job"; the others must be refused.  */
static uint32_t
cancel_unknown (two_nodes_t *two, uint32_t first, uint32_t count)
{
  uint32_t answered = 0;
  for (uint32_t i = first; i < first + count; i++)
    {
      fake_caller_t caller = { 0 };
      char id[WORK_ID_LENGTH + 1];
      g_snprintf (id, sizeof id, "%02x%014x", i % 256, i);
      node_request_handlers.cancel (&two->nodes[0],
                                    (caller_request_t *)&caller,
                                    queue_of (&two->nodes[0]), id);
      fake_rows_settle (&two->rows);
      answered += caller.no_job;
      CU_ASSERT_TRUE (caller.no_job || caller.kind == ERR_STORE_UNAVAILABLE);
    }
  return answered;
}

/* Guards against tombstones that stay for good, or go while a submission may
   still be under way, and against a caller who fills the store with them.  */
static void
test_tombstones_removed (void)
{
  const int64_t period_ms = 150000;
  two_nodes_t two;
  two_nodes_init (&two);
  route_both (&two, "old");
  node_t *node = &two.nodes[0];
  CU_ASSERT_EQUAL (cancel_unknown (&two, 0, 600), 600);
  /* Only the owner of the first cell removes them.  */
  node_sweep_tombstones_if_due (node);
  CU_ASSERT_EQUAL (two.rows.calls->len, 0);
  node_get_cell (node, "new")->state = CELL_OWNED;
  node_sweep_tombstones_if_due (node);
  fake_rows_settle (&two.rows);
  CU_ASSERT_EQUAL (count_tombstones (&two.rows), 600);
  clk_fake_advance_ms (&two.clock, period_ms - 1);
  node->cluster_answered_ms = node_now (node);
  CU_ASSERT_EQUAL (cancel_unknown (&two, 600, 500), 400);
  node_sweep_tombstones_if_due (node);
  CU_ASSERT_EQUAL (two.rows.calls->len, 0);
  clk_fake_advance_ms (&two.clock, 1);
  /* One in which the store fails removes some, or none.  */
  node_sweep_tombstones_if_due (node);
  fake_rows_deliver (&two.rows, 0, DELIVERED);
  fake_rows_deliver (&two.rows, 0, REFUSED);
  CU_ASSERT_EQUAL (two.rows.calls->len, 0);
  clk_fake_advance_ms (&two.clock, period_ms);
  node_sweep_tombstones_if_due (node);
  fake_rows_settle (&two.rows);
  CU_ASSERT_EQUAL (count_tombstones (&two.rows), 400);
  clk_fake_advance_ms (&two.clock, period_ms);
  node_sweep_tombstones_if_due (node);
  fake_rows_settle (&two.rows);
  CU_ASSERT_EQUAL (count_tombstones (&two.rows), 0);
  node->cluster_answered_ms = node_now (node);
  CU_ASSERT_EQUAL (cancel_unknown (&two, 2000, 1), 1);
  node_get_cell (node, "new")->state = CELL_IDLE;
  two_nodes_clear (&two);
}

/* Guards against "no such job" in answer to a cancel that the store has not
   confirmed, and against one without an answer.  */
static void
test_cancel_while_store_away (void)
{
  for (guint failing = 0; failing < 4; failing++)
    {
      two_nodes_t two;
      fake_caller_t caller = { 0 };
      two_nodes_init (&two);
      route_both (&two, "old");
      node_request_handlers.cancel (&two.nodes[1], (caller_request_t *)&caller,
                                    queue_of (&two.nodes[1]), JOB_ID);
      for (guint i = 0; i < failing && two.rows.calls->len > 0; i++)
        fake_rows_deliver (&two.rows, 0, DELIVERED);
      for (int i = 0; i < 10 && caller.answers == 0; i++)
        {
          while (two.rows.calls->len > 0)
            fake_rows_deliver (&two.rows, 0, REFUSED);
          if (caller.answers == 0)
            ev_run (two.nodes[1].loop, EVRUN_ONCE);
        }
      CU_ASSERT_EQUAL (caller.answers, 1);
      CU_ASSERT_EQUAL (caller.kind, ERR_STORE_UNAVAILABLE);
      CU_ASSERT_EQUAL (count_tombstones (&two.rows), 0);
      two_nodes_clear (&two);
    }
}

static CU_TestInfo home_tests[] = {
  { "terms in the row of a job", test_terms_in_row },
  { "a row without the version of the configuration",
    test_row_without_version },
  { "attempts of a job without a route", test_attempts_without_route },
  { "tickets of a job without a route", test_tickets_without_route },
  { "a route that moves", test_moved_route },
  { "a job without a home", test_job_without_home },
  { "a deleted job", test_deleted_job },
  { "an id that is used again", test_id_used_again },
  { "a cancel of a deleted job", test_cancel_of_deleted_job },
  { "a search while the store is away", test_store_away },
  { "pending jobs of a route that moved", test_pending_of_moved_route },
  { "all orders of two submissions", test_all_orders },
  { "all orders of a submission and cancels", test_cancel_before_submission },
  { "all orders of a submission and a query", test_query_during_submission },
  { "a submission that was cancelled before", test_cancelled_submission },
  { "tombstones that are old", test_tombstones_removed },
  { "a cancel while the store is away", test_cancel_while_store_away },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_home_suites[] = {
  { "home", NULL, NULL, NULL, NULL, home_tests },
  CU_SUITE_INFO_NULL,
};
