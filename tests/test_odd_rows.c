#include "platform_internal.h"
#include "test.h"

#include <string.h>

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

/* Guards against a value left out, which is 0 or unknown, or a fraction, that
   makes a worker unusable.  */
static void
test_numbers_left_out (void)
{
  static const char *const fields[] = {
    "\"born\":1765000000123,", "\"slots\":8,", "\"remaining_ms\":1200,",
    ",\"sequence\":4",         ",\"gpu\":8",   "\"cold_remaining_ms\":0,",
    "\"machine\":\"m-1\","
  };
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

static CU_TestInfo odd_row_tests[] = {
  { "numbers out of range and of other types", test_numbers },
  { "numbers that are left out", test_numbers_left_out },
  { "deep nesting", test_depth },
  { "addresses and ids", test_addresses_and_ids },
  { "long texts and other types", test_texts },
  { "calls to odd addresses", test_calls_to_odd_addresses },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_odd_row_suites[] = {
  { "odd rows", NULL, NULL, NULL, NULL, odd_row_tests },
  CU_SUITE_INFO_NULL,
};
