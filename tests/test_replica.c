#include "node_internal.h"
#include "test.h"

#include <string.h>

/* A copy of a table whose parts are not all known from the start.  */

enum
{
  MAX_CALLS = 16
};

typedef struct
{
  platform_api_t platform; /* first */
  struct
  {
    char part[16]; /* "": a call for changes */
    store_reply_done_t done;
    void *context;
  } calls[MAX_CALLS];
  uint32_t count;
  uint64_t version; /* of the last answer; each one is newer */
  GHashTable *rows; /* key -> value, as the replica reports them; owned */
  uint32_t loaded;
} table_t;

static void
add_call (platform_api_t *api, const char *part, store_reply_done_t done,
          void *context)
{
  table_t *table = (table_t *)api;
  CU_ASSERT_FATAL (table->count < MAX_CALLS);
  g_strlcpy (table->calls[table->count].part, part,
             sizeof table->calls[table->count].part);
  table->calls[table->count].done = done;
  table->calls[table->count++].context = context;
}

static void
on_read (platform_api_t *api, const char *name, const char *part,
         const char *from, const char *to, int64_t timeout_ms,
         store_reply_done_t done, void *context)
{
  add_call (api, part, done, context);
}

static void
on_follow (platform_api_t *api, const char *name, uint64_t after,
           int64_t wait_ms, int64_t timeout_ms, store_reply_done_t done,
           void *context)
{
  add_call (api, "", done, context);
}

static const platform_api_ops_t ops = { .read = on_read, .follow = on_follow };

static void
on_changed (void *context, const char *part, const char *key,
            const char *value, size_t length)
{
  table_t *table = context;
  if (value != NULL)
    g_hash_table_insert (table->rows, g_strdup (key), g_strdup (value));
  else
    g_hash_table_remove (table->rows, key);
}

static void
on_loaded (void *context)
{
  ((table_t *)context)->loaded++;
}

/* Answers the first waiting call about PART with the row PART/KEY, or with
   none.  */
static void
answer (table_t *table, const char *part, const char *key,
        store_result_t result)
{
  uint32_t at = 0;
  while (at < table->count && strcmp (table->calls[at].part, part) != 0)
    at++;
  CU_ASSERT_FATAL (at < table->count);
  store_reply_done_t done = table->calls[at].done;
  void *context = table->calls[at].context;
  uint64_t version = ++table->version;
  store_row_t row
      = { "t", part, key, version, key, key != NULL ? strlen (key) : 0 };
  store_reply_t reply = {
    .result = result, .version = version, .rows = &row, .count = key != NULL
  };
  table->count--;
  memmove (&table->calls[at], &table->calls[at + 1],
           (table->count - at) * sizeof table->calls[0]);
  done (context, &reply);
}

static uint32_t
waiting (const table_t *table, const char *part)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < table->count; i++)
    count += strcmp (table->calls[i].part, part) == 0;
  return count;
}

static bool
has_row (const table_t *table, const char *key)
{
  return g_hash_table_contains (table->rows, key);
}

/* Guards against rows of a part that are dropped, read twice or never read,
   because the part was added while others were read or changes were waited
   for, and against several calls for changes at a time.  */
static void
test_added_part (void)
{
  static const char *const parts[] = { "p1", NULL };
  static const replica_events_t events = { on_changed, on_loaded, NULL };
  for (int adds_while_reading = 0; adds_while_reading <= 1;
       adds_while_reading++)
    {
      table_t table = { .platform.ops = &ops };
      struct ev_loop *loop = ev_loop_new (0);
      replica_options_t options = { "t", parts, 100, 100, 0 };
      table.rows
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      replica_t *replica
          = replica_new (&table.platform, loop, &options, &events, &table);
      if (adds_while_reading)
        {
          replica_add_part (replica, "p2");
          CU_ASSERT_EQUAL (waiting (&table, "p1"), 1);
        }
      answer (&table, "p1", "one", STORE_OK);
      CU_ASSERT_EQUAL (table.loaded, adds_while_reading ? 0 : 1);
      if (!adds_while_reading)
        {
          CU_ASSERT_EQUAL (waiting (&table, ""), 1);
          replica_add_part (replica, "p2");
          replica_add_part (replica, "p2");
          CU_ASSERT_EQUAL (waiting (&table, "p1"), 1);
          answer (&table, "p1", "one", STORE_OK);
        }
      CU_ASSERT_EQUAL (waiting (&table, "p2"), 1);
      answer (&table, "p2", "two", STORE_OK);
      CU_ASSERT_EQUAL (table.loaded, 1);
      CU_ASSERT_TRUE (has_row (&table, "one"));
      CU_ASSERT_TRUE (has_row (&table, "two"));
      CU_ASSERT_EQUAL (waiting (&table, ""), 1);
      CU_ASSERT_EQUAL (table.count, 1);
      answer (&table, "", "three", STORE_OK);
      CU_ASSERT_TRUE (has_row (&table, "three"));
      CU_ASSERT_EQUAL (table.count, 1);
      /* The history is lost: both parts are read again.  */
      answer (&table, "", NULL, STORE_HISTORY_LOST);
      CU_ASSERT_EQUAL (table.count, 2);
      answer (&table, "p2", "two", STORE_OK);
      answer (&table, "p1", NULL, STORE_OK);
      CU_ASSERT_FALSE (has_row (&table, "one"));
      CU_ASSERT_TRUE (has_row (&table, "two"));
      answer (&table, "", NULL, STORE_OK);
      replica_free (replica);
      answer (&table, "", NULL, STORE_OK);
      g_hash_table_unref (table.rows);
      ev_loop_destroy (loop);
    }
}

/* Guards against a read that starts anew, and loses the pages it has, because
   the answer of an older call for changes says that the history is lost.  */
static void
test_history_lost_while_reading (void)
{
  static const char *const parts[] = { "p1", NULL };
  static const replica_events_t events = { on_changed, on_loaded, NULL };
  table_t table = { .platform.ops = &ops };
  struct ev_loop *loop = ev_loop_new (0);
  replica_options_t options = { "t", parts, 100, 100, 0 };
  table.rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  replica_t *replica
      = replica_new (&table.platform, loop, &options, &events, &table);
  answer (&table, "p1", "one", STORE_OK);
  replica_add_part (replica, "p2");
  answer (&table, "p1", "one", STORE_OK);
  answer (&table, "", NULL, STORE_HISTORY_LOST);
  CU_ASSERT_EQUAL (waiting (&table, "p1"), 0);
  answer (&table, "p2", "two", STORE_OK);
  CU_ASSERT_TRUE (has_row (&table, "one"));
  CU_ASSERT_TRUE (has_row (&table, "two"));
  CU_ASSERT_EQUAL (waiting (&table, ""), 1);
  replica_free (replica);
  answer (&table, "", NULL, STORE_OK);
  g_hash_table_unref (table.rows);
  ev_loop_destroy (loop);
}

static CU_TestInfo replica_tests[] = {
  { "a part that is added", test_added_part },
  { "history lost while reading", test_history_lost_while_reading },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_replica_suites[] = {
  { "replica", NULL, NULL, NULL, NULL, replica_tests },
  CU_SUITE_INFO_NULL,
};
