#include "test.h"

#include "options.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

typedef struct
{
  char *text;
  char *url;
  char *address;
  char *level;
  int64_t number;
  double rate;
  bool plot;
} settings_t;

#define FIELD(name) offsetof (settings_t, name)

static const option_t options[] = {
  { "some-text", OPTION_TEXT, FIELD (text), NULL, false, 0, 0, NULL, "-" },
  { "url", OPTION_URL, FIELD (url), NULL, false, 0, 0, NULL, "-" },
  { "address", OPTION_ADDRESS, FIELD (address), NULL, false, 0, 0, NULL, "-" },
  { "level", OPTION_CHOICE, FIELD (level), "info", false, 0, 0, "debug|info",
    "-" },
  { "number", OPTION_INTEGER, FIELD (number), "5", true, 1, 10, NULL, "-" },
  { "rate", OPTION_REAL, FIELD (rate), "1.5", false, 0, 2, NULL, "-" },
  { "plot", OPTION_FLAG, FIELD (plot), NULL, false, 0, 0, NULL, "-" },
  { NULL, 0, 0, NULL, false, 0, 0, NULL, NULL },
};

static const struct
{
  const char *flag;
  const char *value;
  bool valid;
} rows[] = {
  { "--some-text", "a b", true },
  { "--some-text", "", false },
  { "--some-text", "\xff", false },
  { "--url", "http://127.0.0.1:1/x/", true },
  { "--url", "https://127.0.0.1:1", false },
  { "--url", "http://", false },
  { "--url", "http://a b", false },
  { "--url", "http://a?b=c", false },
  { "--address", "127.0.0.1:80", true },
  { "--address", "127.0.0.1", false },
  { "--address", "localhost:80", false },
  { "--address", "127.0.0.1:65536", false },
  { "--address", "127.0.0.1:-1", false },
  { "--address", "127.0.0.1:", false },
  { "--level", "debug", true },
  { "--level", "debug|info", false },
  { "--number", "10", true },
  { "--number", "11", false },
  { "--number", "0", false },
  { "--number", "1x", false },
  { "--number", " 1", false },
  { "--number", "99999999999999999999", false },
  { "--rate", "0.25", true },
  { "--rate", "nan", false },
  { "--rate", "2.01", false },
  { "--rate", "1,5", false },
};

/* Runs options_parse without its messages.  */
static bool
parse_quietly (settings_t *settings, int argc, char **argv)
{
  fflush (stderr);
  int saved = dup (STDERR_FILENO);
  FILE *sink = freopen ("/dev/null", "w", stderr);
  bool valid = options_parse (options, settings, "Test.", argc, argv, NULL);
  fflush (stderr);
  if (sink != NULL)
    dup2 (saved, STDERR_FILENO);
  close (saved);
  return valid;
}

/* Guards against flags and variables that accept an invalid value or refuse a
   valid one.  */
static void
test_option_values (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      settings_t settings = { 0 };
      char *argv[]
          = { "test", (char *)rows[i].flag, (char *)rows[i].value, NULL };
      if (parse_quietly (&settings, 3, argv) != rows[i].valid)
        {
          printf ("option %s \"%s\"\n", rows[i].flag, rows[i].value);
          CU_FAIL ("value of a flag wrongly accepted or refused");
        }
      options_clear (options, &settings);

      char *variable = g_strconcat ("MAGNOLIADOCK_", rows[i].flag + 2, NULL);
      for (char *at = variable; *at; at++)
        *at = *at == '-' ? '_' : g_ascii_toupper (*at);
      setenv (variable, rows[i].value, 1);
      if (parse_quietly (&settings, 1, argv) != rows[i].valid)
        {
          printf ("variable %s \"%s\"\n", variable, rows[i].value);
          CU_FAIL ("value of a variable wrongly accepted or refused");
        }
      unsetenv (variable);
      g_free (variable);
      options_clear (options, &settings);
    }
}

/* Guards against a variable that wins over its flag, against defaults that are
   not set and against arguments that are accepted where none may be.  */
static void
test_option_order (void)
{
  settings_t settings = { 0 };
  char *argv[] = { "test", "--number=7", "--plot", NULL };
  setenv ("MAGNOLIADOCK_NUMBER", "3", 1);
  setenv ("MAGNOLIADOCK_URL", "http://127.0.0.1/", 1);
  CU_ASSERT (parse_quietly (&settings, 3, argv));
  CU_ASSERT_EQUAL (settings.number, 7);
  CU_ASSERT (settings.plot);
  CU_ASSERT_STRING_EQUAL (settings.level, "info");
  CU_ASSERT_STRING_EQUAL (settings.url, "http://127.0.0.1");
  CU_ASSERT_DOUBLE_EQUAL (settings.rate, 1.5, 0.0);
  options_clear (options, &settings);
  CU_ASSERT (parse_quietly (&settings, 1, argv));
  CU_ASSERT_EQUAL (settings.number, 3);
  options_clear (options, &settings);
  unsetenv ("MAGNOLIADOCK_NUMBER");
  unsetenv ("MAGNOLIADOCK_URL");
  char *extra[] = { "test", "word", NULL };
  CU_ASSERT (!parse_quietly (&settings, 2, extra));
  options_clear (options, &settings);
}

static CU_TestInfo option_tests[] = {
  { "values", test_option_values },
  { "order of flag, variable and default", test_option_order },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_option_suites[] = {
  { "options", NULL, NULL, NULL, NULL, option_tests },
  CU_SUITE_INFO_NULL,
};
