#include "test.h"

#include "burn_report.h"
#include "burn_store.h"
#include "fake_store.h"
#include "io/log.h"

#include <string.h>

#define START_MS ((int64_t)1000 * 3600 * 1000)
#define MINUTE_MS 60000

/* A table_t over fake_store_t that answers at once.  */
typedef struct
{
  table_t table; /* first, so that SELF of the calls can be cast */
  fake_store_t store;
  err_kind_t txn_fault; /* ERR_OK: none; ERR_TIMEOUT: committed anyway */
} fake_table_t;

static void
fake_get (table_t *self, const char *key, table_read_done_t done,
          void *context)
{
  sched_row_t row = fake_store_get (&((fake_table_t *)self)->store, key);
  table_row_t out = { key, row.version, row.value };
  done (context, ERR_OK, &out, 1);
}

static void
fake_scan (table_t *self, const char *prefix, table_read_done_t done,
           void *context)
{
  GArray *rows = fake_store_scan (&((fake_table_t *)self)->store, prefix);
  table_row_t *out = g_new (table_row_t, rows->len);
  for (unsigned i = 0; i < rows->len; i++)
    {
      const sched_row_t *row = &g_array_index (rows, sched_row_t, i);
      out[i] = (table_row_t){ row->key, row->version, row->value };
    }
  done (context, ERR_OK, out, rows->len);
  g_free (out);
  g_array_free (rows, TRUE);
}

static void
fake_txn (table_t *self, const table_row_t *checks, uint32_t check_count,
          const table_row_t *writes, uint32_t write_count,
          table_txn_done_t done, void *context)
{
  fake_table_t *table = (fake_table_t *)self;
  sched_row_t in[32], out[32];
  int64_t versions[32];
  CU_ASSERT_FATAL (check_count <= 32 && write_count <= 32);
  for (uint32_t i = 0; i < check_count; i++)
    in[i] = (sched_row_t){ checks[i].key, checks[i].version, NULL };
  for (uint32_t i = 0; i < write_count; i++)
    out[i] = (sched_row_t){ writes[i].key, 0, writes[i].value };
  err_kind_t kind = table->txn_fault;
  if (kind != ERR_STORE_UNAVAILABLE
      && !fake_store_txn (&table->store, in, check_count, out, write_count,
                          versions))
    kind = ERR_CONFLICT;
  done (context, kind, versions, kind == ERR_OK ? write_count : 0);
}

static const table_ops_t fake_ops = { fake_get, fake_scan, fake_txn };

typedef struct
{
  err_kind_t kind;
  json_int_t total, bad;
} sum_t;

static void
read_sum (void *context, err_kind_t kind, const burn_t *burn, doc_t *doc)
{
  sum_t *sum = context;
  sum->kind = kind;
  doc_objective_t objective;
  doc_objective (doc, "a", &objective);
  burn_status_t status;
  json_t *row = burn_total_row (burn);
  json_t *hour
      = json_array_get (json_object_get (json_object_get (row, "h"), "a"), 0);
  sum->total = json_integer_value (json_array_get (hour, 1));
  sum->bad = json_integer_value (json_array_get (hour, 2));
  json_decref (row);
  burn_status (burn, "a", &objective, BURN_AVAILABILITY, START_MS, &status);
  CU_ASSERT_EQUAL ((json_int_t)status.total, sum->total);
}

static doc_t *
document (void)
{
  static const char text[] = "[service a]\n[objective a]\n";
  GPtrArray *errors = doc_errors_new ();
  doc_t *doc = doc_parse (text, strlen (text), errors);
  g_ptr_array_free (errors, TRUE);
  return doc;
}

/* Guards against counts that are lost or counted twice when an entry is
   replaced, answers of the table service are lost or hours are folded, and
   against more writes than the header of burn_store states.  */
static void
test_replacement_and_fold (void)
{
  static const struct
  {
    err_kind_t write_fault, fold_fault;
  } rows[] = {
    { ERR_OK, ERR_OK },
    { ERR_TIMEOUT, ERR_OK },
    { ERR_STORE_UNAVAILABLE, ERR_OK },
    { ERR_OK, ERR_TIMEOUT },
    { ERR_OK, ERR_STORE_UNAVAILABLE },
  };
  doc_t *doc = document ();
  log_set_level (LOG_ERROR);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      clk_fake_t clock;
      clk_fake_init (&clock, START_MS);
      fake_table_t table = { .table = { &fake_ops } };
      fake_store_init (&table.store);
      burn_store_t *first
          = burn_store_new (&clock.base, &table.table, "e1@1", "z");
      burn_store_set_document (first, doc);
      /* 30 requests, 10 of them bad; WRITE_FAULT is injected for 2 minutes. */
      for (unsigned minute = 0; minute < 10; minute++)
        {
          for (unsigned request = 0; request < 3; request++)
            burn_store_count (first, "a", request > 0, 1, 1);
          table.txn_fault = minute < 2 ? rows[i].write_fault : ERR_OK;
          for (unsigned second = 0; second < 60; second += 10)
            {
              clk_fake_advance_ms (&clock, 10000);
              burn_store_tick (first, true);
            }
        }
      clk_fake_advance_ms (&clock, MINUTE_MS);
      burn_store_tick (first, true);
      CU_ASSERT (table.store.row_writes <= 12);
      burn_store_free (first); /* killed */

      burn_store_t *replacement
          = burn_store_new (&clock.base, &table.table, "e1@2", "z");
      burn_store_set_document (replacement, doc);
      sum_t sum;
      burn_store_read (replacement, read_sum, &sum);
      CU_ASSERT_EQUAL (sum.total, 30);
      CU_ASSERT_EQUAL (sum.bad, 10);
      for (unsigned minute = 0; minute < 9 * 60; minute++)
        {
          clk_fake_advance_ms (&clock, MINUTE_MS);
          table.txn_fault = minute < 8 * 60 ? rows[i].fold_fault : ERR_OK;
          burn_store_tick (replacement, true);
        }
      GArray *left = fake_store_scan (&table.store, "burn/z/hour/");
      CU_ASSERT_EQUAL (left->len, 0);
      g_array_free (left, TRUE);
      burn_store_read (replacement, read_sum, &sum);
      CU_ASSERT_EQUAL (sum.kind, ERR_OK);
      CU_ASSERT_EQUAL (sum.total, 30);
      CU_ASSERT_EQUAL (sum.bad, 10);
      burn_store_free (replacement);
      fake_store_clear (&table.store);
    }
  log_set_level (LOG_INFO);
  doc_unref (doc);
}

/* Guards against a report that does not show an alarm, or that fails without
   objectives.  */
static void
test_report_formats (void)
{
  doc_t *doc = document ();
  doc_objective_t objective;
  doc_objective (doc, "a", &objective);
  burn_t *burn = burn_new ();
  for (int i = 0; i < 100; i++)
    burn_count (burn, "a", &objective, START_MS, i % 2 == 0, 1, 1);
  json_t *report = burn_report_json (burn, doc, START_MS, false);
  GString *text = g_string_new (NULL), *html = g_string_new (NULL);
  burn_report_text (report, text);
  burn_report_html (report, html);
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "page"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "@|"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "only the counts"));
  CU_ASSERT_PTR_NOT_NULL (strstr (html->str, "<tr class=\"page\"><td>a</td>"));
  CU_ASSERT_PTR_NOT_NULL (strstr (html->str, "</svg>"));
  json_decref (report);
  report = burn_report_json (burn, NULL, START_MS, true);
  g_string_truncate (text, 0);
  burn_report_text (report, text);
  CU_ASSERT_PTR_NOT_NULL (strstr (text->str, "no [objective NAME] section"));
  json_decref (report);
  g_string_free (text, TRUE);
  g_string_free (html, TRUE);
  burn_free (burn);
  doc_unref (doc);
}

static CU_TestInfo burn_store_tests[] = {
  { "replacement and fold", test_replacement_and_fold },
  { "report formats", test_report_formats },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_burn_store_suites[] = {
  { "burn_store", NULL, NULL, NULL, NULL, burn_store_tests },
  CU_SUITE_INFO_NULL,
};
