#include "cli.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

const option_t cli_report_options[] = {
  CLI_SERVER_OPTIONS ("text|json|html"),
  { NULL, 0, 0, NULL, false, 0, 0, NULL, NULL },
};

int
cli_report (int argc, char **argv)
{
  cli_settings_t settings = { .command = argv[0] };
  char **rest = NULL;
  int code = 2;
  if (!options_parse (cli_report_options, &settings,
                      "report burn: prints the error budgets of all "
                      "objectives as a table with a plot, as JSON, or as an "
                      "HTML page.",
                      argc, argv, &rest))
    goto out;
  if (g_strv_length (rest) != 1 || strcmp (rest[0], "burn") != 0)
    {
      code = cli_usage_error (&settings, "%s: expected the report \"burn\"",
                              rest[0] != NULL ? rest[0] : "REPORT");
      goto out;
    }
  settings.command = "report burn";
  char *path = g_strconcat ("/v1/report/burn?format=", settings.format, NULL);
  char *text;
  code = 1;
  if (cli_call (&settings, "GET", path, NULL, &text))
    {
      fputs (text, stdout);
      if (strcmp (settings.format, "json") == 0)
        putchar ('\n');
      g_free (text);
      code = 0;
    }
  g_free (path);
out:
  g_strfreev (rest);
  options_clear (cli_report_options, &settings);
  return code;
}
