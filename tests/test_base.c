#include "test.h"

#include "clk.h"
#include "counter.h"
#include "error.h"
#include "resource.h"

/* Guards against an error kind without a table entry, which would be
   reported without a name.  */
static void
test_every_error_kind_has_an_entry (void)
{
  for (unsigned kind = 0; kind < ERR_KIND_COUNT; kind++)
    {
      const err_info_t *info = err_info ((err_kind_t)kind);
      CU_ASSERT_PTR_NOT_NULL_FATAL (info->name);
      CU_ASSERT (info->http_status >= 200);
      CU_ASSERT_EQUAL (err_from_name (info->name), kind);
    }
}

/* Guards against a median below the value or more than the stated 25% above
   it.  */
static void
test_histogram_quantiles (void)
{
  static const struct
  {
    uint64_t value_us;
  } rows[] = { { 0 }, { 1 }, { 3 }, { 4 }, { 7 }, { 100 }, { 1000000 } };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      histogram_t histogram = { 0 };
      histogram_add (&histogram, rows[i].value_us);
      histogram_add (&histogram, rows[i].value_us * 100);
      uint64_t median_us = histogram_quantile_us (&histogram, 0.5);
      CU_ASSERT (median_us >= rows[i].value_us);
      CU_ASSERT (median_us * 100 <= rows[i].value_us * 125);
    }
}

/* Guards against a size that counts as fitting although one dimension is too
   small.  */
static void
test_resource_fits (void)
{
  static const struct
  {
    resource_t need, free;
    bool fits;
  } rows[] = {
    { { 1000, 10, 0 }, { 1000, 10, 0 }, true },
    { { 1001, 10, 0 }, { 1000, 10, 0 }, false },
    { { 1000, 11, 0 }, { 1000, 10, 0 }, false },
    { { 1000, 10, 1 }, { 1000, 10, 0 }, false },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    CU_ASSERT_EQUAL (resource_fits (rows[i].need, rows[i].free), rows[i].fits);
}

static CU_TestInfo base_tests[] = {
  { "every error kind has an entry", test_every_error_kind_has_an_entry },
  { "histogram quantiles", test_histogram_quantiles },
  { "resource fits", test_resource_fits },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_base_suites[] = {
  { "base", NULL, NULL, NULL, NULL, base_tests },
  CU_SUITE_INFO_NULL,
};
