#include "node_internal.h"
#include "platform_internal.h"
#include "test.h"

#include <string.h>
#include <unistd.h>

/* Rows of the list of workers that another writer left.  */

static const char good_row[]
    = "{\"service\":\"s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"z\","
      "\"version\":\"v1\",\"slots\":8,\"state\":\"draining\","
      "\"cold_remaining_ms\":0,\"remaining_ms\":1200,\"machine\":\"m-1\","
      "\"born\":1765000000123,\"capacity\":{\"cpu\":16000,\"mem_mb\":32768,"
      "\"gpu\":8},\"labels\":[\"a\",\"r1-3\"],\"sequence\":4}";

typedef struct
{
  uint32_t calls;
  resource_t capacity;
  int64_t remaining_ms, start_ms;
} seen_t;

static void
record_row (void *context, const worker_row_t *row)
{
  seen_t *seen = context;
  seen->calls++;
  seen->capacity = row->capacity;
  seen->remaining_ms = row->remaining_ms;
  seen->start_ms = row->start_ms;
}

/* Returns TEXT with FROM replaced by TO (g_free).  */
static char *
changed_text (const char *text, const char *from, const char *to)
{
  char **parts = g_strsplit (text, from, 2);
  char *changed = g_strjoinv (to, parts);
  CU_ASSERT_STRING_NOT_EQUAL (changed, text);
  g_strfreev (parts);
  return changed;
}

static bool
is_usable (const char *key, const char *text, seen_t *seen)
{
  *seen = (seen_t){ 0 };
  bool usable = platform_parse_worker (NULL, key, text, strlen (text),
                                       record_row, seen);
  CU_ASSERT_EQUAL (seen->calls, usable ? 1 : 0);
  return usable;
}

/* Guards against numbers that do not fit, or texts in their place, that end
   the process or are taken for a worker's.  A start in the far future made
   the answers of a live worker look like those of an earlier life.  */
static void
test_numbers (void)
{
  static const char *const fields[]
      = { "\"born\":1765000000123", "\"cpu\":16000",
          "\"mem_mb\":32768",       "\"gpu\":8",
          "\"remaining_ms\":1200",  "\"slots\":8",
          "\"sequence\":4",         "\"cold_remaining_ms\":0" };
  static const char *const values[] = { "1e300",
                                        "-1e300",
                                        "-1",
                                        "1e19",
                                        "9223372036854775807",
                                        "-0.5",
                                        "1e400",
                                        "NaN",
                                        "10000000000000000000",
                                        "true",
                                        "\"12\"",
                                        "null",
                                        "[]",
                                        "{}" };
  seen_t seen;
  CU_ASSERT_TRUE_FATAL (is_usable ("i-1", good_row, &seen));
  CU_ASSERT_EQUAL (seen.start_ms, 1765000000123);
  CU_ASSERT_EQUAL (seen.remaining_ms, 1200);
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (values); j++)
      {
        char *name = g_strndup (fields[i], strcspn (fields[i], ":") + 1);
        char *field = g_strconcat (name, values[j], NULL);
        char *text = changed_text (good_row, fields[i], field);
        CU_ASSERT_FALSE (is_usable ("i-1", text, &seen));
        if (seen.calls > 0)
          g_printerr ("usable: %s\n", field);
        g_free (text);
        g_free (field);
        g_free (name);
      }
}

/* Guards against a value left out that not each worker writes, or a fraction,
   that makes a worker unusable.  */
static void
test_numbers_left_out (void)
{
  static const char *const fields[]
      = { "\"born\":1765000000123,", "\"remaining_ms\":1200,", ",\"gpu\":8",
          "\"machine\":\"m-1\"," };
  seen_t seen;
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      char *text = changed_text (good_row, fields[i], "");
      CU_ASSERT_TRUE (is_usable ("i-1", text, &seen));
      g_free (text);
    }
  char *text = changed_text (good_row, "16000", "16000.5");
  CU_ASSERT_TRUE (is_usable ("i-1", text, &seen));
  CU_ASSERT_EQUAL (seen.capacity.cpu_millis, 16000);
  g_free (text);
}

/* Guards against a row at the parser's limit of depth that ends the process.
 */
static void
test_depth (void)
{
  static const uint32_t depths[] = { 2046, 2047, 2048, 2049, 100000 };
  seen_t seen;
  for (size_t i = 0; i < G_N_ELEMENTS (depths); i++)
    {
      char *open = g_strnfill (depths[i], '[');
      char *close = g_strnfill (depths[i], ']');
      char *list = g_strconcat ("\"sequence\":", open, close, NULL);
      char *text = changed_text (good_row, "\"sequence\":4", list);
      CU_ASSERT_FALSE (is_usable ("i-1", text, &seen));
      CU_ASSERT_FALSE (is_usable ("i-1", open, &seen));
      g_free (text);
      /* A field that is not read.  */
      g_free (list);
      list = g_strconcat ("{\"more\":", open, close, ",", NULL);
      text = changed_text (good_row, "{", list);
      is_usable ("i-1", text, &seen);
      g_free (text);
      g_free (list);
      g_free (open);
      g_free (close);
    }
}

/* Guards against addresses and ids that cannot be called, or that change the
   request or the stored records that hold them.  */
static void
test_addresses_and_ids (void)
{
  static const char *const addresses[] = { "",
                                           "10.128.0.9",
                                           "10.128.0.9:",
                                           "10.128.0.9:0",
                                           "10.128.0.9:70000",
                                           "10.128.0.9:-1",
                                           "10.128.0.9:+80",
                                           "10.128.0.9: 80",
                                           "10.128.0.9:80 ",
                                           "10.128.0.9:80x",
                                           "10.128.0.9:80/path?",
                                           "10.128.0.9:80\\r\\nX-A: b",
                                           " 10.128.0.9:80",
                                           "user@10.128.0.9:80",
                                           "10.128.0:80",
                                           "10.128.0.900:80",
                                           ":8080",
                                           "letters",
                                           "letters:80" };
  static const char *const ids[] = {
    "", "-", "i 1", "i-1\n", "i-1\r\nX-A: b", "i\t1", "i-\xff", "i-\x7f"
  };
  seen_t seen;
  for (size_t i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      char *text = changed_text (good_row, "10.128.0.9:8080", addresses[i]);
      CU_ASSERT_FALSE (is_usable ("i-1", text, &seen));
      g_free (text);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    CU_ASSERT_FALSE (is_usable (ids[i], good_row, &seen));
}

/* Guards against tasks that start on a worker because another writer has put
   an entry under its id that lacks what each worker writes, with the service
   of another one (ROUTE).  */
static void
test_missing_fields (void)
{
  static const char *const fields[] = { "\"service\":\"s\",",
                                        "\"address\":\"10.128.0.9:8080\",",
                                        "\"zone\":\"z\",",
                                        "\"version\":\"v1\",",
                                        "\"slots\":8,",
                                        "\"state\":\"draining\",",
                                        "\"cold_remaining_ms\":0,",
                                        ",\"sequence\":4" };
  seen_t seen;
  CU_ASSERT_TRUE (is_usable ("i-1", good_row, &seen));
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    {
      char *text = changed_text (good_row, fields[i], "");
      CU_ASSERT_FALSE (is_usable ("i-1", text, &seen));
      g_free (text);
    }
}

/* Guards against texts of any length that are kept for each worker, logged and
   stored with each of its runs, and against other types in their place.  */
static void
test_texts (void)
{
  static const char *const fields[]
      = { "\"service\":\"s\"", "\"address\":\"10.128.0.9:8080\"",
          "\"state\":\"draining\"", "\"machine\":\"m-1\"",
          "\"labels\":[\"a\",\"r1-3\"]" };
  char *long_text = g_strnfill (10240, '7');
  char *long_value = g_strdup_printf ("\"%s\"", long_text);
  char *long_list = g_strdup_printf ("[\"%s\"]", long_text);
  const char *const values[]
      = { "7", "null", "true", "{}", "[7]", long_value, long_list };
  seen_t seen;
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (values); j++)
      {
        char *name = g_strndup (fields[i], strcspn (fields[i], ":") + 1);
        char *field = g_strconcat (name, values[j], NULL);
        char *text = changed_text (good_row, fields[i], field);
        CU_ASSERT_FALSE (is_usable ("i-1", text, &seen));
        g_free (text);
        g_free (field);
        g_free (name);
      }
  CU_ASSERT_FALSE (is_usable (long_text, good_row, &seen));
  g_free (long_list);
  g_free (long_value);
  g_free (long_text);
}

typedef struct
{
  struct ev_loop *loop;
  uint32_t calls;
  order_result_t result;
} answers_t;

static void
record_poll (void *context, order_result_t result, worker_report_t *report)
{
  answers_t *answers = context;
  answers->calls++;
  answers->result = result;
  ev_break (answers->loop, EVBREAK_ALL);
}

/* Guards against an address for which a call is never answered, or answered
   from inside the call: a cell polls a worker again only after an answer, and
   records of earlier versions may hold any address.  */
static void
test_calls_to_odd_addresses (void)
{
  static const char *const addresses[]
      = { "",       "127.0.0.1:0",    "127.0.0.1:70000",  "127.0.0.1:-1", " ",
          "a b:80", "127.0.0.1:80x",  "127.0.0.1:1\r\nA", "[:80",         "%",
          ":80",    "127.0.0.1:1/?#", "127.0.0.1:1" };
  platform_t platform = { 0 };
  httpc_options_t options
      = { .max_connections_per_host = 2, .connect_timeout_ms = 100 };
  answers_t answers = { .loop = ev_loop_new (0) };
  platform.worker_client = httpc_new (answers.loop, &options);
  for (size_t i = 0; i < G_N_ELEMENTS (addresses); i++)
    {
      order_target_t target = { "i-1", addresses[i], 1 };
      answers.calls = 0;
      platform_poll (&platform.api, &target, 0, 0, 0, 200, record_poll,
                     &answers);
      CU_ASSERT_EQUAL (answers.calls, 0);
      ev_run (answers.loop, 0);
      CU_ASSERT_EQUAL (answers.calls, 1);
      CU_ASSERT_NOT_EQUAL (answers.result, ORDER_ACCEPTED);
    }
  httpc_free (platform.worker_client);
  ev_loop_destroy (answers.loop);
}

/* A node that owns the cells "s" and "t", with a job of one task in "s".  */

#define JOB_ID "5c0e7a21d94b36f8"
#define OTHER_JOB_ID "6d1f8b32e05c47a9"
#define WORKER "i-1"
#define WORKER_ADDRESS "10.128.0.9:8080"

static const char ready_row[]
    = "{\"service\":\"s\",\"address\":\"" WORKER_ADDRESS "\",\"zone\":"
      "\"z\",\"version\":\"v1\",\"slots\":8,\"sequence\":4,"
      "\"cold_remaining_ms\":0,\"state\":\"ready\",\"born\":1765000000123,"
      "\"capacity\":{\"cpu\":16000,"
      "\"mem_mb\":32768},\"labels\":[\"r1-3\"]}";

/* Rows that the worker's may turn into.  */
static const struct
{
  const char *from, *to;
} odd_rows[] = {
  { "16000", "1e300" },
  { "1765000000123", "1e300" },
  { "1765000000123", "9223372036854775807" },
  { "1765000000123", "true" },
  { "\"ready\"", "\"new\"" },
  { "\"state\"", "\"stage\"" },
  { ":8080", ":70000" },
  { ":8080", "" },
  { "\"s\"", "\"u\"" }, /* not the name of a cell */
  { "\"s\"", "\"t\"" },
  { "{\"service", "[\"service" },
  { "r1-3", "\xff\xfe" },
  { "}", "" },
};

typedef struct
{
  platform_api_t platform;
  node_t node;
  node_cell_t cells[2];
  clk_fake_t clock;
  bool save_pending;
  uint32_t polls, starts, stops; /* at WORKER */
  uint32_t starts_elsewhere;
  char poll_address[32];
} owner_t;

static void
on_save (void *context, const cell_record_t *records, uint32_t count)
{
  ((owner_t *)context)->save_pending = true;
}

static void
on_start (void *context, const cell_worker_ref_t *worker,
          const cell_start_order_t *order)
{
  owner_t *owner = context;
  if (strcmp (worker->id, WORKER) == 0)
    owner->starts++;
  else
    owner->starts_elsewhere++;
}

static void
on_stop (void *context, const cell_worker_ref_t *worker, const char *task,
         uint32_t run)
{
  ((owner_t *)context)->stops++;
}

static void
on_poll (void *context, const cell_worker_ref_t *worker,
         int64_t lease_until_ms, uint64_t acknowledged_end, int64_t wait_ms)
{
  owner_t *owner = context;
  if (strcmp (worker->id, WORKER) != 0)
    return;
  owner->polls++;
  g_strlcpy (owner->poll_address, worker->address, sizeof owner->poll_address);
}

static void
on_log (void *context, const char *event, const char *subject,
        const char *detail)
{
}

static const cell_actions_t cell_actions = { .save = on_save,
                                             .start = on_start,
                                             .stop = on_stop,
                                             .poll = on_poll,
                                             .log = on_log };

static void
add_job (owner_t *owner, const char *id)
{
  work_job_t *job = work_job_new (id, "queue", 1);
  job->spec = g_strdup ("x");
  job->steps[0].count = 1;
  job->steps[0].need = (resource_t){ 1000, 1000, 0 };
  job->steps[0].estimate_ms = 10000;
  cell_add_job (owner->cells[0].scheduler, job);
}

static void
run_for (owner_t *owner, int64_t for_ms)
{
  for (int64_t done_ms = 0; done_ms < for_ms; done_ms += CELL_TICK_MS)
    {
      clk_fake_advance_ms (&owner->clock, CELL_TICK_MS);
      int64_t now_ms = clk_now_ms (&owner->clock.base);
      for (size_t i = 0; i < G_N_ELEMENTS (owner->cells); i++)
        {
          cell_ownership_confirmed (owner->cells[i].scheduler, now_ms - 1);
          cell_run (owner->cells[i].scheduler, now_ms);
        }
      if (!owner->save_pending)
        continue;
      owner->save_pending = false;
      cell_save_done (owner->cells[0].scheduler);
    }
}

/* WORKER's answer to a poll: RUNS the task of the first job or nothing.  */
static void
answer_poll (owner_t *owner, bool runs)
{
  int64_t now_ms = clk_now_ms (&owner->clock.base);
  report_run_t run = { JOB_ID ".0.0.0", 1, "", 10, 0 };
  worker_report_t report = { .sent_ms = now_ms,
                             .clock_ms = now_ms,
                             .start_ms = 1765000000123,
                             .runs = &run,
                             .run_count = runs };
  cell_poll_answered (owner->cells[0].scheduler, WORKER, &report);
}

static void
list_row (owner_t *owner, const char *id, const char *row)
{
  node_worker_changed (&owner->node, "", id, row,
                       row != NULL ? strlen (row) : 0);
}

/* The owner with the first job's task at work on WORKER.  */
static void
owner_begin (owner_t *owner)
{
  static const platform_api_ops_t ops
      = { .parse_worker = platform_parse_worker };
  static const cell_options_t options
      = { .max_lease_ms = 6000, .retention_ms = 120000 };
  const cell_inheritance_t inheritance = { 0 };
  static const char *const names[] = { "s", "t" };
  *owner = (owner_t){ .platform.ops = &ops };
  clk_fake_init (&owner->clock, 100000);
  owner->node.platform = &owner->platform;
  owner->node.clock = &owner->clock.base;
  owner->node.cells = g_hash_table_new (g_str_hash, g_str_equal);
  owner->node.unreadable_workers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      node_cell_t *cell = &owner->cells[i];
      cell->node = &owner->node;
      cell->name = (char *)names[i];
      cell->scheduler
          = cell_new (&options, &owner->clock.base, &cell_actions, owner);
      g_hash_table_insert (owner->node.cells, cell->name, cell);
      cell_begin (cell->scheduler, &inheritance);
    }
  add_job (owner, JOB_ID);
  list_row (owner, WORKER, ready_row);
  run_for (owner, 100);
  answer_poll (owner, false);
  run_for (owner, 100);
  CU_ASSERT_EQUAL_FATAL (owner->starts, 1);
  cell_start_answered (owner->cells[0].scheduler, WORKER, JOB_ID ".0.0.0", 1,
                       ORDER_ACCEPTED, 0);
  answer_poll (owner, true);
}

static void
owner_end (owner_t *owner)
{
  for (size_t i = 0; i < G_N_ELEMENTS (owner->cells); i++)
    cell_free (owner->cells[i].scheduler);
  g_hash_table_unref (owner->node.cells);
  g_hash_table_unref (owner->node.unreadable_workers);
}

/* Lets WORKER answer its polls for longer than a lease.  Returns whether each
   was sent to the known address.  */
static bool
follow_run (owner_t *owner)
{
  bool followed = true;
  for (uint32_t i = 0; i < 10; i++)
    {
      uint32_t polls = owner->polls;
      answer_poll (owner, true);
      run_for (owner, 1000);
      followed = followed && owner->polls > polls
                 && strcmp (owner->poll_address, WORKER_ADDRESS) == 0;
    }
  return followed;
}

/* Guards against an entry that turns bad and takes its worker's runs along, or
   still gets new ones: it names no worker to use, and what runs there goes on.
   "Turns good" is the entry as it was.  */
static void
test_row_turns_bad (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (odd_rows); i++)
    {
      owner_t owner;
      owner_begin (&owner);
      char *row = changed_text (ready_row, odd_rows[i].from, odd_rows[i].to);
      list_row (&owner, WORKER, row);
      add_job (&owner, OTHER_JOB_ID);
      CU_ASSERT_TRUE (follow_run (&owner));
      CU_ASSERT_EQUAL (owner.starts, 1);
      CU_ASSERT_EQUAL (owner.stops, 0);
      CU_ASSERT_EQUAL (owner.starts_elsewhere, 0);
      list_row (&owner, WORKER, ready_row);
      CU_ASSERT_TRUE (follow_run (&owner));
      CU_ASSERT_EQUAL (owner.starts, 2);
      CU_ASSERT_EQUAL (owner.stops, 0);
      g_free (row);
      owner_end (&owner);
    }
}

/* Returns the lines that contain EVENT in the file PATH.  */
static uint32_t
count_lines (const char *path, const char *event)
{
  char *text = NULL;
  uint32_t count = 0;
  CU_ASSERT_TRUE_FATAL (g_file_get_contents (path, &text, NULL, NULL));
  for (const char *at = text; (at = strstr (at, event)) != NULL; at++)
    count++;
  g_free (text);
  return count;
}

/* Guards against bad entries that drop others or flood the log: rows that stay
   bad are reported again and again, with each change and each cell that is
   loaded.  */
static void
test_many_bad_rows (void)
{
  owner_t owner;
  char *path = NULL;
  char id[16];
  owner_begin (&owner);
  int fd = g_file_open_tmp ("log-XXXXXX", &path, NULL);
  CU_ASSERT_TRUE_FATAL (fd >= 0);
  int saved_stderr = dup (STDERR_FILENO);
  dup2 (fd, STDERR_FILENO);
  for (uint32_t round = 0; round < 5; round++)
    {
      list_row (&owner, "i-bad", "[");
      list_row (&owner, "i-bad", "{}");
    }
  CU_ASSERT_EQUAL (count_lines (path, "worker_row_unreadable"), 1);
  list_row (&owner, "i-bad", ready_row);
  list_row (&owner, "i-bad", "[");
  CU_ASSERT_EQUAL (count_lines (path, "worker_row_readable"), 1);
  CU_ASSERT_EQUAL (count_lines (path, "worker_row_unreadable"), 2);
  list_row (&owner, "i-bad", NULL);
  for (uint32_t i = 0; i < 2000; i++)
    {
      g_snprintf (id, sizeof id, "i-x%u", i);
      list_row (&owner, id, "{\"state\":1e300}");
    }
  list_row (&owner, "i-2", ready_row);
  dup2 (saved_stderr, STDERR_FILENO);
  close (saved_stderr);
  CU_ASSERT_TRUE (count_lines (path, "worker_row_unreadable") <= 100);
  CU_ASSERT_TRUE (follow_run (&owner));
  cell_totals_t totals;
  cell_totals (owner.cells[0].scheduler, &totals);
  CU_ASSERT_EQUAL (totals.workers, 2);
  close (fd);
  remove (path);
  g_free (path);
  owner_end (&owner);
}

static const char good_report[]
    = "{\"clock_ms\":482113,\"born\":1765000000123,\"running\":[[\"" JOB_ID
      ".0.1.17\",2,\"00000bb87a21d94b\",41,87]],\"ended\":[[58,\"" JOB_ID
      ".0.1.9\",1,\"done\",\"\"]]}";

typedef struct
{
  uint32_t calls;
  worker_report_t report; /* its lists hold one item each */
  report_run_t run;
  report_end_t end;
  char run_checkpoint[32];
} seen_report_t;

static void
record_report (void *context, order_result_t result, worker_report_t *report)
{
  seen_report_t *seen = context;
  seen->calls++;
  seen->report = *report;
  if (report->run_count > 0)
    {
      seen->run = report->runs[0];
      g_strlcpy (seen->run_checkpoint, seen->run.checkpoint,
                 sizeof seen->run_checkpoint);
    }
  if (report->end_count > 0)
    seen->end = report->ends[0];
}

static bool
is_report (const char *text, seen_report_t *seen)
{
  json_t *body = json_loads (text, 0, NULL);
  *seen = (seen_report_t){ 0 };
  bool ok = platform_parse_report (body, record_report, seen);
  CU_ASSERT_EQUAL (seen->calls, ok ? 1 : 0);
  json_decref (body);
  return ok;
}

/* Guards against an answer to a poll of which only a part was understood.  A
   run that is not in it counts as ended and is started again; an end with a
   number out of range hides all later ones.  */
static void
test_reports (void)
{
  static const struct
  {
    const char *from, *to;
  } odd[] = {
    { "482113", "1e300" },
    { "482113", "-1" },
    { "482113", "\"482113\"" },
    { "\"clock_ms\":482113,", "" },
    { "1765000000123", "1e300" },
    { "1765000000123", "-1" },
    { "1765000000123", "true" },
    { "[[\"5c", "[7,[\"5c" },
    { "17\",2", "17\",1e300" },
    { "17\",2", "17\",4294967298" },
    { "17\",2", "17\",0" },
    { "17\",2", "17\",\"2\"" },
    { "\"" JOB_ID ".0.1.17\",2", "2,\"" JOB_ID ".0.1.17\"" },
    { "\"" JOB_ID ".0.1.17\"", "\"\"" },
    { "[58", "[1e300" },
    { "[58", "[-58" },
    { "[58", "[0" },
    { "9\",1,", "9\",1e19," },
    { "9\",1,", "9\",-1," },
    { "\"" JOB_ID ".0.1.9\"", "null" },
    { "\"running\":[", "\"running\":7,\"walking\":[" },
    { "\"ended\":[", "\"ended\":{},\"over\":[" },
  };
  seen_report_t seen;
  CU_ASSERT_TRUE_FATAL (is_report (good_report, &seen));
  CU_ASSERT_EQUAL (seen.report.clock_ms, 482113);
  CU_ASSERT_EQUAL (seen.report.start_ms, 1765000000123);
  CU_ASSERT_EQUAL (seen.run.run, 2);
  CU_ASSERT_EQUAL (seen.run.percent, 41);
  CU_ASSERT_EQUAL (seen.run.measure, 87);
  CU_ASSERT_STRING_EQUAL (seen.run_checkpoint, "00000bb87a21d94b");
  CU_ASSERT_EQUAL (seen.end.number, 58);
  CU_ASSERT_EQUAL (seen.end.run, 1);
  CU_ASSERT_EQUAL (seen.end.how, END_DONE);
  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      char *text = changed_text (good_report, odd[i].from, odd[i].to);
      CU_ASSERT_FALSE (is_report (text, &seen));
      g_free (text);
    }
  CU_ASSERT_FALSE (is_report ("{}", &seen));
  CU_ASSERT_TRUE (is_report ("{\"clock_ms\":1}", &seen));
}

/* Guards against a figure of a run that ends the process or hides the run, and
   against a checkpoint that breaks the record it is stored in.  */
static void
test_figures_of_runs (void)
{
  static const char *const figures[]
      = { "1e300", "-1e300", "1e19", "-1", "null", "\"41\"", "[]" };
  seen_report_t seen;
  for (size_t i = 0; i < G_N_ELEMENTS (figures); i++)
    {
      char *both = g_strdup_printf (",%s,%s]", figures[i], figures[i]);
      char *text = changed_text (good_report, ",41,87]", both);
      CU_ASSERT_TRUE (is_report (text, &seen));
      CU_ASSERT_EQUAL (seen.run.percent, 0);
      CU_ASSERT_EQUAL (seen.run.measure, 0);
      g_free (both);
      g_free (text);
    }
  char *long_text = g_strnfill (10240, '0');
  const char *const checkpoints[] = { "0 1", "0\\n1", long_text };
  for (size_t i = 0; i < G_N_ELEMENTS (checkpoints); i++)
    {
      char *text
          = changed_text (good_report, "00000bb87a21d94b", checkpoints[i]);
      CU_ASSERT_TRUE (is_report (text, &seen));
      CU_ASSERT_STRING_EQUAL (seen.run_checkpoint, "");
      g_free (text);
    }
  g_free (long_text);
}

typedef struct
{
  uint32_t calls, count;
  store_result_t result;
  uint64_t version;
  bool more;
  char keys[4][32];
  char values[4][16];
} seen_reply_t;

static void
record_reply (void *context, const store_reply_t *reply)
{
  seen_reply_t *seen = context;
  seen->calls++;
  seen->result = reply->result;
  seen->version = reply->version;
  seen->more = reply->more;
  seen->count = reply->count;
  for (uint32_t i = 0; i < MIN (reply->count, 4); i++)
    {
      const store_row_t *row = &reply->rows[i];
      g_strlcpy (seen->keys[i], row->key, sizeof seen->keys[i]);
      if (row->value == NULL)
        continue;
      memcpy (seen->values[i], row->value, MIN (row->length, 15));
    }
}

/* Guards against one odd row of a table that makes the answer of the store
   unreadable, and with it the whole list.  */
static void
test_replies_with_odd_row (void)
{
  static const char *const odd[] = {
    "{\"key\":\"a\\u0000b\",\"value\":\"e30=\",\"schema_version\":3}",
    "{\"key\":\"i-1\\u0000\",\"value\":\"e30=\",\"schema_version\":3}",
    "{\"key\":\"a\\ud800\",\"value\":\"e30=\",\"schema_version\":3}",
    "{\"key\":\"a\\uDFFF\\ud800\",\"value\":\"e30=\",\"schema_version\":3}",
    "{\"key\":\"a\xff\xc3\",\"value\":\"e30=\",\"schema_version\":3}",
    "{\"key\":\"a\\ud83d\\ude00\\\\u0000\",\"value\":\"e30=\"}",
    "{\"key\":7,\"value\":\"e30=\",\"schema_version\":3}",
    "{\"key\":\"a\",\"value\":\"\\u00e4~*\",\"schema_version\":3}",
    "{\"key\":\"a\",\"value\":7,\"schema_version\":-3}",
    "{\"key\":\"a\",\"value\":{\"a\":[]},\"schema_version\":1e300}",
    "[]",
    "null",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (odd); i++)
    {
      char *text = g_strdup_printf (
          "{\"rows\":[{\"key\":\"i-1\",\"value\":\"YWJj\",\"schema_version\":"
          "2},%s,{\"key\":\"i-2\",\"value\":\"ZGVm\",\"schema_version\":4}],"
          "\"has_more\":true,\"schema_version\":5}",
          odd[i]);
      seen_reply_t seen = { 0 };
      platform_parse_reply (STORE_OK, text, strlen (text), record_reply,
                            &seen);
      CU_ASSERT_EQUAL (seen.calls, 1);
      CU_ASSERT_EQUAL (seen.result, STORE_OK);
      CU_ASSERT_EQUAL (seen.version, 5);
      CU_ASSERT_TRUE (seen.more);
      CU_ASSERT_EQUAL (seen.count, 3);
      CU_ASSERT_STRING_EQUAL (seen.keys[0], "i-1");
      CU_ASSERT_STRING_EQUAL (seen.values[0], "abc");
      CU_ASSERT_STRING_NOT_EQUAL (seen.keys[1], "i-1");
      CU_ASSERT_STRING_EQUAL (seen.keys[2], "i-2");
      CU_ASSERT_STRING_EQUAL (seen.values[2], "def");
      g_free (text);
    }
}

/* Guards against an answer that can't be read and is taken for a table without
   rows, which would unlist all workers.  */
static void
test_unreadable_replies (void)
{
  static const char *const bodies[] = { "", "{", "[]", "7", "null", "<html>" };
  for (size_t i = 0; i < G_N_ELEMENTS (bodies); i++)
    {
      seen_reply_t seen = { 0 };
      platform_parse_reply (STORE_OK, bodies[i], strlen (bodies[i]),
                            record_reply, &seen);
      CU_ASSERT_EQUAL (seen.calls, 1);
      CU_ASSERT_EQUAL (seen.result, STORE_UNKNOWN);
      seen = (seen_reply_t){ 0 };
      platform_parse_reply (STORE_CONFLICT, bodies[i], strlen (bodies[i]),
                            record_reply, &seen);
      CU_ASSERT_EQUAL (seen.calls, 1);
      CU_ASSERT_EQUAL (seen.result, STORE_CONFLICT);
    }
}

static CU_TestInfo odd_row_tests[] = {
  { "numbers out of range and of other types", test_numbers },
  { "numbers that are left out", test_numbers_left_out },
  { "deep nesting", test_depth },
  { "addresses and ids", test_addresses_and_ids },
  { "rows that lack a field", test_missing_fields },
  { "long texts and other types", test_texts },
  { "calls to odd addresses", test_calls_to_odd_addresses },
  { "a row that turns bad and good again", test_row_turns_bad },
  { "many bad rows", test_many_bad_rows },
  { "answers to polls", test_reports },
  { "figures and checkpoints of runs", test_figures_of_runs },
  { "answers of the store with an odd row", test_replies_with_odd_row },
  { "unreadable answers of the store", test_unreadable_replies },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_odd_row_suites[] = {
  { "odd rows", NULL, NULL, NULL, NULL, odd_row_tests },
  CU_SUITE_INFO_NULL,
};
