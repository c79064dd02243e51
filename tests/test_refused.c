#include "fake_cell.h"
#include "node_internal.h"
#include "platform_internal.h"
#include "test.h"

#include <string.h>

/* What a store refuses for good: writes that it would refuse again.  */

static work_job_t *
job_new (uint32_t number, uint32_t count, int64_t work_ms)
{
  char id[WORK_ID_LENGTH + 1];
  g_snprintf (id, sizeof id, "%016x", number);
  work_job_t *job = work_job_new (id, "queue", 1);
  job->spec = g_strdup ("spec");
  job->accepted_ms = 1000;
  job->steps[0].count = count;
  job->steps[0].need = (resource_t){ 100, 10, 0 };
  job->steps[0].estimate_ms = work_ms;
  return job;
}

static uint32_t
count_state (const fake_cell_t *sim, uint32_t jobs, const char *state)
{
  uint32_t count = 0;
  for (uint32_t i = 1; i <= jobs; i++)
    {
      char id[WORK_ID_LENGTH + 1];
      g_snprintf (id, sizeof id, "%016x", i);
      count += strcmp (fake_cell_saved_state (sim, id), state) == 0;
    }
  return count;
}

/* Guards against a job whose record the store refuses that stops its whole
   cell, at each owner in turn: the other jobs go on, and the job fails within
   seconds.  */
static void
test_refused_record (void)
{
  const fake_faults_t faults = { .row_bytes = 400 };
  const uint32_t jobs = 40;
  fake_cell_t *sim = fake_cell_new (1, 12, &faults, DEFECT_NONE);
  for (uint32_t i = 1; i <= jobs; i++)
    {
      fake_cell_submit (sim, job_new (i, i == 4 ? 60 : 2, 200));
      fake_cell_run (sim, i < 20 ? 1 : 100);
      if (i == 25)
        fake_cell_take_over (sim);
    }
  fake_cell_run (sim, 1500);
  CU_ASSERT_EQUAL (count_state (sim, jobs, "completed"), jobs - 1);
  fake_cell_run (sim, 10000);
  CU_ASSERT_STRING_EQUAL (fake_cell_saved_state (sim, "0000000000000004"),
                          "failed");
  CU_ASSERT_TRUE (fake_cell_refused_saves (sim) > 0);
  /* Two owners: at most seven halvings and five saves of the job alone.  */
  CU_ASSERT_TRUE (fake_cell_refused_saves (sim) <= 24);
  CU_ASSERT_PTR_NULL (fake_cell_violation (sim));
  fake_cell_free (sim);
}

/* Guards against a record that outgrows a row of the store: a job as wide as
   one may be is saved in several rows, runs on at the next owner, and leaves
   no row behind.  */
static void
test_wide_job (void)
{
  /* The workers have short ids and addresses.  */
  const fake_faults_t faults
      = { .row_bytes = 16384, .known_row_bytes = 16384 };
  const uint32_t jobs = 20;
  fake_cell_t *sim = fake_cell_new (1, 20, &faults, DEFECT_NONE);
  for (uint32_t i = 1; i <= jobs; i++)
    {
      fake_cell_submit (sim,
                        job_new (i, i == 1 ? WORK_MAX_STEP_TASKS : 2, 3000));
      fake_cell_run (sim, 100);
    }
  fake_cell_take_over (sim);
  fake_cell_run (sim, 8000);
  CU_ASSERT_EQUAL (fake_cell_refused_saves (sim), 0);
  CU_ASSERT_EQUAL (count_state (sim, jobs, "completed"), jobs);
  CU_ASSERT_EQUAL (fake_cell_starts (sim),
                   WORK_MAX_STEP_TASKS + 2 * (jobs - 1));
  CU_ASSERT_PTR_NULL (fake_cell_violation (sim));
  fake_cell_run (sim, 200000);
  CU_ASSERT_STRING_EQUAL (fake_cell_saved_state (sim, "0000000000000001"),
                          "queued"); /* deleted */
  CU_ASSERT_PTR_NULL (fake_cell_violation (sim));
  fake_cell_free (sim);
}

/* Guards against one accepted job that takes all of the memory of each owner
   in turn: 200,000 occurrences that are due at once.  */
static void
test_many_occurrences (void)
{
  const fake_faults_t no_faults = { 0 };
  fake_cell_t *sim = fake_cell_new (1, 4, &no_faults, DEFECT_NONE);
  work_job_t *job = job_new (1, 5, 100);
  job->times = 200000;
  job->first_due_ms = 1;
  fake_cell_submit (sim, job);
  for (uint32_t i = 2; i <= 5; i++)
    fake_cell_submit (sim, job_new (i, 2, 100));
  uint32_t most_waiting = 0;
  for (int i = 0; i < 20; i++)
    {
      cell_totals_t totals;
      fake_cell_run (sim, 50);
      cell_totals (fake_cell_owner (sim), &totals);
      most_waiting = MAX (most_waiting, totals.waiting_tasks);
    }
  CU_ASSERT_TRUE (most_waiting <= 5010);
  CU_ASSERT_TRUE (fake_cell_starts (sim) > 1000);
  CU_ASSERT_PTR_NULL (fake_cell_violation (sim));
  fake_cell_take_over (sim);
  fake_cell_run (sim, 1000);
  CU_ASSERT_TRUE (fake_cell_starts (sim) > 4000);
  CU_ASSERT_PTR_NULL (fake_cell_violation (sim));
  fake_cell_free (sim);
}

/* The rows that an owner has saved of one job.  */
typedef struct
{
  GHashTable *rows; /* key -> text, owned */
  size_t longest;
  size_t longest_save;
  uint32_t most_rows;
  bool pending;
} saved_t;

static void
keep_rows (void *context, const cell_record_t *records, uint32_t count)
{
  saved_t *saved = context;
  size_t bytes = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      size_t length = records[i].text != NULL ? strlen (records[i].text) : 0;
      saved->longest = MAX (saved->longest, length);
      bytes += length;
      if (records[i].text != NULL)
        g_hash_table_insert (saved->rows, g_strdup (records[i].key),
                             g_strdup (records[i].text));
      else
        g_hash_table_remove (saved->rows, records[i].key);
    }
  saved->longest_save = MAX (saved->longest_save, bytes);
  saved->most_rows = MAX (saved->most_rows, count);
  saved->pending = true;
}

static void
ignore_poll (void *context, const cell_worker_ref_t *worker,
             int64_t lease_until_ms, uint64_t acknowledged_end,
             int64_t wait_ms)
{
}

static void
ignore_stop (void *context, const cell_worker_ref_t *worker, const char *task,
             uint32_t run)
{
}

static void
ignore_log (void *context, const char *event, const char *subject,
            const char *detail)
{
}

static const cell_actions_t keeping_actions = { .save = keep_rows,
                                                .poll = ignore_poll,
                                                .stop = ignore_stop,
                                                .log = ignore_log };
static const cell_options_t keeping_options
    = { .max_lease_ms = 6000, .retention_ms = 120000 };

/* Guards against rows and transactions beyond the store's limits with the
   longest ids, addresses and checkpoints that there can be.  */
static void
test_longest_rows (void)
{
  /* The runs count as alive until then.  */
  static const cell_inheritance_t leases
      = { .leases_end_ms = 102000, .unreached_end_ms = 102000 };
  saved_t saved = { .rows = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                   g_free, g_free) };
  clk_fake_t clock;
  char *long_text = g_strnfill (200, 'x');
  GString *record = g_string_new ("1 R 0\ng 0 0 3 -\n");
  for (uint32_t i = 0; i < WORK_MAX_STEP_TASKS; i++)
    g_string_append_printf (
        record,
        "t %u a 4294967295 4294967295 %s %s 1764950400000 "
        "255.255.255.255:65535 4294967295 4294967295 4294967295 "
        "4294967291,4294967292,4294967293,4294967294,4294967295\n",
        i, long_text, long_text);
  clk_fake_init (&clock, 100000);
  cell_t *cell
      = cell_new (&keeping_options, &clock.base, &keeping_actions, &saved);
  work_job_t *job = job_new (1, WORK_MAX_STEP_TASKS, 500);
  cell_record_t row = { "0000000000000001", record->str };
  cell_add_job (cell, job);
  CU_ASSERT_TRUE (cell_load_record (cell, row.key, &row, 1));
  cell_begin (cell, &leases);
  cell_cancel_job (cell, row.key);
  for (int i = 0; i < 200; i++)
    {
      clk_fake_advance_ms (&clock, 20);
      cell_run (cell, 100000);
      cell_ownership_confirmed (cell, 100000 + i * 20);
      if (saved.pending)
        cell_save_done (cell);
      saved.pending = false;
      if (i != 50)
        continue;
      CU_ASSERT_EQUAL (g_hash_table_size (saved.rows),
                       1 + (WORK_MAX_STEP_TASKS + 31) / 32);
      CU_ASSERT_STRING_EQUAL (g_hash_table_lookup (saved.rows, row.key),
                              "2 X 0\n");
    }
  CU_ASSERT_TRUE (saved.longest <= 65536);
  CU_ASSERT_TRUE (saved.most_rows <= 90);
  /* In base64, with names and the other rows of the owner.  */
  CU_ASSERT_TRUE (saved.longest_save / 3 * 4 + 200000 < 1000000);
  CU_ASSERT_EQUAL (g_hash_table_size (saved.rows), 1);
  CU_ASSERT_STRING_EQUAL (g_hash_table_lookup (saved.rows, row.key),
                          "1 X 0\n");
  cell_free (cell);
  g_hash_table_unref (saved.rows);
  g_string_free (record, TRUE);
  g_free (long_text);
}

/* Guards against rows that are kept for good, and keep those of later jobs: an
   owner is lost after it has saved that a job has ended, and before it has
   removed the segments, which name no run.  */
static void
test_segments_of_ended_job (void)
{
  static const cell_inheritance_t nothing = { 0 };
  static const cell_record_t rows[] = { { "0000000000000001", "2 C 0\n" },
                                        { "0000000000000001/0", "f 0 0\n" },
                                        { "0000000000000001/1", "f 0 0\n" } };
  saved_t saved = { .rows = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                   g_free, g_free) };
  clk_fake_t clock;
  clk_fake_init (&clock, 100000);
  cell_t *cell
      = cell_new (&keeping_options, &clock.base, &keeping_actions, &saved);
  cell_add_job (cell, job_new (1, 40, 500));
  CU_ASSERT_TRUE (
      cell_load_record (cell, rows[0].key, rows, G_N_ELEMENTS (rows)));
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    g_hash_table_insert (saved.rows, g_strdup (rows[i].key),
                         g_strdup (rows[i].text));
  cell_begin (cell, &nothing);
  for (int i = 0; i < 10; i++)
    {
      clk_fake_advance_ms (&clock, 30);
      cell_run (cell, 100000);
      if (saved.pending)
        cell_save_done (cell);
      saved.pending = false;
    }
  CU_ASSERT_EQUAL (g_hash_table_size (saved.rows), 1);
  CU_ASSERT_STRING_EQUAL (g_hash_table_lookup (saved.rows, rows[0].key),
                          "1 C 0\n");
  cell_free (cell);
  g_hash_table_unref (saved.rows);
}

/* Guards against refused saves without an end, and against ends of other jobs
   that are never acknowledged, if the store takes no record at all of a job
   that runs.  */
static void
test_refused_job (void)
{
  const fake_faults_t faults = { .refused_job = "0000000000000002" };
  const uint32_t jobs = 20;
  fake_cell_t *sim = fake_cell_new (1, 2, &faults, DEFECT_NONE);
  for (uint32_t i = 1; i <= jobs; i++)
    fake_cell_submit (sim, job_new (i, 2, 200));
  fake_cell_run (sim, 30000);
  CU_ASSERT_EQUAL (count_state (sim, jobs, "completed"), jobs - 1);
  CU_ASSERT_TRUE (fake_cell_refused_saves (sim) <= 12);
  CU_ASSERT_PTR_NULL (fake_cell_violation (sim));
  fake_cell_free (sim);
}

/* Guards against a refusal that can't pass the next time and counts as one
   that can, or as no answer.  */
static void
test_statuses (void)
{
  static const struct
  {
    uint16_t status;
    bool repeated; /* libcurl has sent the call twice */
    store_result_t result;
  } rows[] = {
    { 200, false, STORE_OK },           { 412, false, STORE_CONFLICT },
    { 410, false, STORE_HISTORY_LOST }, { 429, false, STORE_BUSY },
    { 503, false, STORE_REFUSED },      { 429, true, STORE_UNKNOWN },
    { 503, true, STORE_UNKNOWN },       { 400, false, STORE_INVALID },
    { 403, false, STORE_INVALID },      { 404, false, STORE_INVALID },
    { 413, false, STORE_INVALID },      { 422, false, STORE_INVALID },
    { 507, false, STORE_FULL },         { 400, true, STORE_UNKNOWN },
    { 507, true, STORE_UNKNOWN },       { 408, false, STORE_UNKNOWN },
    { 500, false, STORE_UNKNOWN },      { 502, false, STORE_UNKNOWN },
    { 504, false, STORE_UNKNOWN },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      httpc_result_t reply = { .kind = ERR_OK,
                               .status = rows[i].status,
                               .repeated = rows[i].repeated };
      CU_ASSERT_EQUAL (platform_store_result (&reply), rows[i].result);
    }
}

enum
{
  MAX_COMMITS = 32
};

/* Records the commits, which the test answers, and the answer to a caller.  */
typedef struct
{
  platform_api_t
      platform; /* first: a platform_api_t * is a fake_platform_t * */
  struct
  {
    store_reply_done_t done;
    void *context;
    uint32_t records;
    bool heartbeat;
  } commits[MAX_COMMITS];
  uint32_t sent;
  uint32_t answers;
  uint32_t pending;
  err_kind_t answer;
} fake_platform_t;

static void
record_commit (platform_api_t *platform, const store_row_t *expect,
               uint32_t expect_count, const store_row_t *writes,
               uint32_t write_count, int64_t timeout_ms,
               store_reply_done_t done, void *context)
{
  fake_platform_t *fake = (fake_platform_t *)platform;
  uint32_t at = fake->sent++ % MAX_COMMITS;
  fake->commits[at].done = done;
  fake->commits[at].context = context;
  fake->commits[at].records = 0;
  fake->commits[at].heartbeat = false;
  for (uint32_t i = 0; i < write_count; i++)
    {
      fake->commits[at].records += strcmp (writes[i].table, "record") == 0;
      fake->commits[at].heartbeat
          = fake->commits[at].heartbeat || strcmp (writes[i].key, "beat") == 0;
    }
}

static void
answer_last (fake_platform_t *fake, store_result_t result)
{
  uint32_t at = (fake->sent - 1) % MAX_COMMITS;
  store_reply_t reply = { .result = result, .version = fake->sent };
  fake->commits[at].done (fake->commits[at].context, &reply);
}

static void
record_answer (caller_request_t *request, err_kind_t kind, int64_t retry_ms)
{
  fake_platform_t *fake = (fake_platform_t *)request;
  fake->answers++;
  fake->answer = kind;
}

static void
record_accepted (caller_request_t *request)
{
  record_answer (request, ERR_OK, 0);
}

static void
record_pending (caller_request_t *request, uint32_t pending)
{
  fake_platform_t *fake = (fake_platform_t *)request;
  record_answer (request, ERR_OK, 0);
  fake->pending = pending;
}

static const platform_api_ops_t fake_ops
    = { .commit = record_commit,
        .answer_error = record_answer,
        .answer_accepted = record_accepted,
        .answer_pending = record_pending };

static void
node_init (node_t *node, fake_platform_t *fake, clk_fake_t *clock)
{
  clk_fake_init (clock, 100000);
  fake->platform.ops = &fake_ops;
  fake->platform.settings.name = (char *)"edge-1";
  fake->platform.settings.cells.max_lease_ms = 6000;
  node->platform = &fake->platform;
  node->clock = &clock->base;
  node->loop = ev_loop_new (0);
  node->metrics = counter_registry_new ();
  node->cells = g_hash_table_new (g_str_hash, g_str_equal);
  node->members = g_ptr_array_new_with_free_func (node_member_free);
  node->cluster_answered_ms = node_now (node);
  adaptive_timeout_init (&node->store_timeout, 250, 2000);
}

static void
node_clear (node_t *node)
{
  counter_registry_free (node->metrics);
  g_hash_table_unref (node->cells);
  g_ptr_array_unref (node->members);
  ev_loop_destroy (node->loop);
}

/* An owned cell with a job whose first run is about to be saved.  */
static node_cell_t *
owned_cell (node_t *node)
{
  static const cell_inheritance_t nothing = { 0 };
  node_cell_t *cell = node_cell_new (node, "pool");
  cell_options_t options = { .max_lease_ms = 6000, .retention_ms = 120000 };
  cell->scheduler = cell_new (&options, node->clock, &node_cell_actions, cell);
  cell->state = CELL_OWNED;
  cell_begin (cell->scheduler, &nothing);
  cell_add_job (cell->scheduler, job_new (1, 1, 500));
  cell_cancel_job (cell->scheduler, "0000000000000001");
  return cell;
}

/* Guards against an owner whose heartbeat ends with a refused save: the next
   commit after the refusal has the heartbeat and no records, and the records
   are at fault only once it is stored.  */
static void
test_heartbeat_beside_refusal (void)
{
  fake_platform_t fake = { .sent = 0 };
  node_t node = { 0 };
  clk_fake_t clock;
  node_init (&node, &fake, &clock);
  node_cell_t *cell = owned_cell (&node);
  cell_run (cell->scheduler, 1000);
  CU_ASSERT_EQUAL (fake.sent, 1);
  CU_ASSERT_EQUAL (fake.commits[0].records, 1);
  answer_last (&fake, STORE_INVALID);
  CU_ASSERT_EQUAL (fake.sent, 2);
  CU_ASSERT_EQUAL (fake.commits[1].records, 0);
  CU_ASSERT_TRUE (fake.commits[1].heartbeat);
  answer_last (&fake, STORE_OK);
  CU_ASSERT_FALSE (cell->save_pending);
  /* For 20 s the heartbeat goes on and the record is refused: the save is
     tried six times in all.  */
  uint32_t refusals = 1;
  uint32_t heartbeats = 0;
  for (int i = 0; i < 1000; i++)
    {
      uint32_t before = fake.sent;
      clk_fake_advance_ms (&clock, 20);
      cell_run (cell->scheduler, 1000);
      node_commit (cell);
      if (fake.sent == before)
        continue;
      bool refused = fake.commits[(fake.sent - 1) % MAX_COMMITS].records > 0;
      refusals += refused;
      answer_last (&fake, refused ? STORE_INVALID : STORE_OK);
      if (refused)
        answer_last (&fake, STORE_OK);
      heartbeats++;
    }
  CU_ASSERT_EQUAL (refusals, 6);
  CU_ASSERT_TRUE (heartbeats >= 90);
  node_cell_free (cell);
  node_clear (&node);
}

/* Guards against an owner that sends a refused heartbeat again without a
   pause, and against records that are blamed for it.  */
static void
test_refused_heartbeat (void)
{
  fake_platform_t fake = { .sent = 0 };
  node_t node = { 0 };
  clk_fake_t clock;
  node_init (&node, &fake, &clock);
  node_cell_t *cell = owned_cell (&node);
  cell_run (cell->scheduler, 1000);
  answer_last (&fake, STORE_INVALID);
  answer_last (&fake, STORE_INVALID);
  CU_ASSERT_EQUAL (fake.sent, 2);
  CU_ASSERT_TRUE (ev_is_active (&cell->commit_retry));
  node_commit (cell);
  CU_ASSERT_EQUAL (fake.sent, 2);
  CU_ASSERT_TRUE (cell->save_pending);
  ev_timer_stop (node.loop, &cell->commit_retry);
  node_commit_retry (node.loop, &cell->commit_retry, EV_TIMER);
  answer_last (&fake, STORE_OK);
  CU_ASSERT_EQUAL (fake.commits[3].records, 1);
  answer_last (&fake, STORE_UNKNOWN);
  node_cell_free (cell);
  node_clear (&node);
}

/* Guards against jobs that fail because the store is full: their records are
   sent again, with pauses, for as long as it is.  */
static void
test_full_store (void)
{
  fake_platform_t fake = { .sent = 0 };
  node_t node = { 0 };
  clk_fake_t clock;
  node_init (&node, &fake, &clock);
  node_cell_t *cell = owned_cell (&node);
  cell_run (cell->scheduler, 1000);
  for (uint32_t i = 1; i <= 20; i++)
    {
      CU_ASSERT_EQUAL (fake.sent, i);
      CU_ASSERT_EQUAL (fake.commits[i - 1].records, 1);
      answer_last (&fake, STORE_FULL);
      CU_ASSERT_EQUAL (fake.sent, i);
      CU_ASSERT_TRUE (ev_is_active (&cell->commit_retry));
      ev_timer_stop (node.loop, &cell->commit_retry);
      node_commit_retry (node.loop, &cell->commit_retry, EV_TIMER);
    }
  CU_ASSERT_TRUE (cell->save_pending);
  answer_last (&fake, STORE_OK);
  CU_ASSERT_FALSE (cell->save_pending);
  CU_ASSERT_STRING_EQUAL (cell_state (cell->scheduler, "0000000000000001"),
                          "cancelled");
  node_cell_free (cell);
  node_clear (&node);
}

/* Guards against a submission that is sent again for as long as its caller
   waits although the store refuses it, against an answer that does not say
   that the job has not been accepted, and against one that blames the job for
   a full store.  */
static void
test_refused_submission (void)
{
  static const struct
  {
    bool unanswered_before;
    store_result_t refusal;
    err_kind_t answer;
  } rows[] = { { false, STORE_INVALID, ERR_BAD_REQUEST },
               { true, STORE_INVALID, ERR_TIMEOUT },
               { false, STORE_FULL, ERR_STORE_UNAVAILABLE },
               { true, STORE_FULL, ERR_TIMEOUT } };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      fake_platform_t fake = { .sent = 0 };
      node_t node = { 0 };
      clk_fake_t clock;
      queue_t queue = { .name = (char *)"queue", .service = (char *)"pool" };
      node_init (&node, &fake, &clock);
      node_cell_t *cell = node_cell_new (&node, "pool");
      g_hash_table_insert (node.cells, cell->name, cell);
      node_request_handlers.submit (&node, (caller_request_t *)&fake, &queue,
                                    job_new (1, 1, 500), 3000);
      if (rows[i].unanswered_before)
        {
          answer_last (&fake, STORE_UNKNOWN);
          ev_sleep (0.04);
          ev_run (node.loop, EVRUN_NOWAIT);
        }
      answer_last (&fake, rows[i].refusal);
      CU_ASSERT_EQUAL (fake.answers, 1);
      CU_ASSERT_EQUAL (fake.answer, rows[i].answer);
      node_clear (&node);
      node_cell_free (cell);
    }
}

/* Guards against a job that is too large for a row and is sent to the store
   until its caller gives up: it is refused before anything is sent.  */
static void
test_too_large_submission (void)
{
  fake_platform_t fake = { .sent = 0 };
  node_t node = { 0 };
  clk_fake_t clock;
  queue_t queue = { .name = (char *)"queue", .service = (char *)"pool" };
  node_init (&node, &fake, &clock);
  node_cell_t *cell = node_cell_new (&node, "pool");
  g_hash_table_insert (node.cells, cell->name, cell);
  work_job_t *job = job_new (1, 1, 500);
  job->steps[0].image = g_strnfill (70000, 'x');
  node_request_handlers.submit (&node, (caller_request_t *)&fake, &queue, job,
                                3000);
  CU_ASSERT_EQUAL (fake.sent, 0);
  CU_ASSERT_EQUAL (fake.answers, 1);
  CU_ASSERT_EQUAL (fake.answer, ERR_TOO_LARGE);
  node_clear (&node);
  node_cell_free (cell);
}

/* Guards against heartbeats that outgrow a row, so that the cell loses each of
   its owners, and against a count of 0 for a queue that was left out.  */
static void
test_many_queues (void)
{
  fake_platform_t fake = { .sent = 0 };
  node_t node = { 0 };
  clk_fake_t clock;
  char name[128];
  queue_t queue = { .name = name, .service = (char *)"pool" };
  uint32_t unknown = 0;
  node_init (&node, &fake, &clock);
  node_cell_t *cell = node_cell_new (&node, "pool");
  g_hash_table_insert (node.cells, cell->name, cell);
  for (int i = 0; i < 2000; i++)
    g_hash_table_insert (cell->pending_by_queue,
                         g_strdup_printf ("queue-%0100d", i),
                         GUINT_TO_POINTER (i + 1));
  cell->state = CELL_CLAIMING;
  char *text = node_heartbeat_text (cell, "edge-2");
  CU_ASSERT_TRUE (strlen (text) <= 65536);
  cell->state = CELL_IDLE;
  node_heartbeat_changed (cell, text, strlen (text));
  for (int i = 0; i < 2000; i++)
    {
      fake.pending = 0;
      g_snprintf (name, sizeof name, "queue-%0100d", i);
      node_request_handlers.pending (&node, (caller_request_t *)&fake, &queue);
      CU_ASSERT_TRUE (fake.answer != ERR_OK
                      || fake.pending == (uint32_t)i + 1);
      unknown += fake.answer == ERR_STORE_UNAVAILABLE;
    }
  CU_ASSERT_EQUAL (fake.answers, 2000);
  CU_ASSERT_TRUE (unknown > 0 && unknown < 2000);
  free (text);
  node_clear (&node);
  node_cell_free (cell);
}

/* Guards against a fence row that outgrows a row because the owner has not
   reached thousands of workers yet, and against a next owner that then waits
   too short for them.  */
static void
test_many_unreached (void)
{
  fake_platform_t fake = { .sent = 0 };
  node_t node = { 0 };
  clk_fake_t clock;
  node_init (&node, &fake, &clock);
  node_cell_t *cell = node_cell_new (&node, "pool");
  cell->former.unreached = g_new0 (char *, 1001);
  for (int i = 0; i < 1000; i++)
    cell->former.unreached[i] = g_strdup_printf ("worker-%0100d", i);
  cell->former.leases_end_ms = node_now (&node) + 3000;
  cell->former.unreached_end_ms = node_now (&node) + 7000;
  cell->commit_begun_ms = cell->heartbeat_sent_ms = node_now (&node);
  cell->state = CELL_LOADING;
  char *text = node_fence_text (cell, "edge-1");
  CU_ASSERT_TRUE (strlen (text) <= 65536);
  json_t *fence = json_loads (text, 0, NULL);
  node_cell_t *next = node_cell_new (&node, "pool");
  node_former_read (next, fence, false);
  CU_ASSERT_TRUE (next->former.leases_end_ms >= node_now (&node) + 7000);
  json_decref (fence);
  free (text);
  node_cell_free (next);
  node_cell_free (cell);
  node_clear (&node);
}

/* Guards against a node that registers again as fast as the store refuses it:
   within 10 s, at most 16 calls, and one within a second once it is back.  */
static void
test_refused_registration (void)
{
  static const store_result_t failures[]
      = { STORE_REFUSED, STORE_BUSY, STORE_INVALID, STORE_UNKNOWN };
  for (size_t f = 0; f < G_N_ELEMENTS (failures); f++)
    {
      fake_platform_t fake = { .sent = 0 };
      node_t node = { 0 };
      clk_fake_t clock;
      node_init (&node, &fake, &clock);
      fake.platform.settings.ip = fake.platform.settings.zone = (char *)"z";
      for (int i = 0; i < 200; i++)
        {
          uint32_t before = fake.sent;
          node_register_if_due (&node);
          if (fake.sent > before)
            answer_last (&fake, failures[f]);
          clk_fake_advance_ms (&clock, 50);
        }
      CU_ASSERT_TRUE (fake.sent > 8);
      CU_ASSERT_TRUE (fake.sent <= 16);
      clk_fake_advance_ms (&clock, 1000);
      node_register_if_due (&node);
      answer_last (&fake, STORE_OK);
      CU_ASSERT_TRUE (node.registered);
      node_clear (&node);
    }
}

static void
count_answer (void *context, bool knows)
{
  *(uint32_t *)context += !knows;
}

/* Guards against an owner that gets as many questions as writes wait while the
   store is slow: a node has 16 at most on their way.  */
static void
test_many_questions (void)
{
  fake_platform_t fake = { .sent = 0 };
  node_t node = { 0 };
  clk_fake_t clock;
  uint32_t answers = 0;
  node_init (&node, &fake, &clock);
  node_cell_t *cell = node_cell_new (&node, "pool");
  cell->owner = g_strdup ("edge-2");
  node_member_set (&node, "edge-2", "127.0.0.1:1", 250);
  httpc_options_t options
      = { .max_connections_per_host = 4, .connect_timeout_ms = 300 };
  node.peer_client = httpc_new (node.loop, &options);
  for (int i = 0; i < 200; i++)
    node_ask_owner (cell, "0000000000000001", count_answer, &answers);
  CU_ASSERT_EQUAL (node.questions, 16);
  CU_ASSERT_EQUAL (answers, 200 - 16);
  while (answers < 200 && ev_run (node.loop, EVRUN_ONCE))
    ;
  CU_ASSERT_EQUAL (node.questions, 0);
  httpc_free (node.peer_client);
  node_cell_free (cell);
  node_clear (&node);
}

static CU_TestInfo refused_tests[] = {
  { "a record that the store refuses", test_refused_record },
  { "a record of several rows", test_wide_job },
  { "the longest rows", test_longest_rows },
  { "segments of a job that has ended", test_segments_of_ended_job },
  { "many occurrences that are due", test_many_occurrences },
  { "a job of which the store takes no record", test_refused_job },
  { "statuses of the store", test_statuses },
  { "heartbeat beside a refused record", test_heartbeat_beside_refusal },
  { "a refused heartbeat", test_refused_heartbeat },
  { "a full store", test_full_store },
  { "a refused submission", test_refused_submission },
  { "a submission that is too large", test_too_large_submission },
  { "a node that the store refuses to register", test_refused_registration },
  { "many questions to an owner", test_many_questions },
  { "pending jobs of many queues", test_many_queues },
  { "many workers that were not reached", test_many_unreached },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_refused_suites[] = {
  { "refused", NULL, NULL, NULL, NULL, refused_tests },
  CU_SUITE_INFO_NULL,
};
