#include "test.h"

#include "settings_page.h"

/* Guards against a settings page that differs from the tables of options and
   keys; run "magnoliadock settings > docs/settings.md" after changing one.  */
static void
test_page (void)
{
  GString *expected = g_string_new (NULL);
  char *page;
  settings_page_append (expected);
  CU_ASSERT_FATAL (
      g_file_get_contents ("docs/settings.md", &page, NULL, NULL));
  CU_ASSERT_STRING_EQUAL (page, expected->str);
  g_free (page);
  g_string_free (expected, TRUE);
}

static CU_TestInfo settings_tests[] = {
  { "docs/settings.md", test_page },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_settings_suites[] = {
  { "settings", NULL, NULL, NULL, NULL, settings_tests },
  CU_SUITE_INFO_NULL,
};
