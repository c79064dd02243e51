#include "cli.h"

#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

const option_t cli_jobs_options[] = {
  CLI_SERVER_OPTIONS ("text|json"),
  { NULL, 0, 0, NULL, false, 0, 0, NULL, NULL },
};

/* Sends the request for one argument and prints the answer.  Returns 0 for
   success, else 1.  */
typedef int (*argument_command_t) (const cli_settings_t *settings,
                                   const char *argument);

/* Runs a command for each argument; EXPECTED names what one is.  Returns the
   exit code.  */
static int
run_each (int argc, char **argv, const char *summary, const char *expected,
          argument_command_t run)
{
  cli_settings_t settings = { .command = argv[0] };
  char **rest = NULL;
  int code = 2;
  if (!options_parse (cli_jobs_options, &settings, summary, argc, argv, &rest))
    goto out;
  if (rest[0] == NULL)
    {
      code = cli_usage_error (&settings, "expected %s", expected);
      goto out;
    }
  code = 0;
  for (char **argument = rest; *argument != NULL; argument++)
    if (run (&settings, *argument) != 0)
      code = 1;
out:
  g_strfreev (rest);
  options_clear (cli_jobs_options, &settings);
  return code;
}

static int
submit (const cli_settings_t *settings, const char *file)
{
  char *text = cli_read_file (settings, file);
  if (text == NULL)
    return 1;
  json_error_t error;
  json_t *spec = json_loads (text, 0, &error);
  int code = 1;
  json_t *answer = NULL;
  if (!json_is_object (spec))
    cli_fail (settings, "%s: line %d, column %d: %s, expected a JSON object",
              file, error.line, error.column,
              spec == NULL ? error.text : "another value");
  else if (cli_call_json (settings, "POST", "/v1/jobs", text, &answer))
    {
      if (strcmp (settings->format, "json") == 0)
        cli_print_json (answer);
      else
        printf ("%s\n", cli_json_text (answer, "id"));
      code = 0;
    }
  json_decref (answer);
  json_decref (spec);
  g_free (text);
  return code;
}

/* Sends METHOD to the path PREFIX with ID appended.  Returns 0 for success,
   else 1.  */
static int
call_with_id (const cli_settings_t *settings, const char *method,
              const char *prefix, const char *id, json_t **answer)
{
  char *escaped = g_uri_escape_string (id, NULL, FALSE);
  char *path = g_strconcat (prefix, escaped, NULL);
  bool done = cli_call_json (settings, method, path, NULL, answer);
  g_free (path);
  g_free (escaped);
  return done ? 0 : 1;
}

static int
cancel (const cli_settings_t *settings, const char *id)
{
  json_t *answer;
  int code = call_with_id (settings, "DELETE", "/v1/jobs/", id, &answer);
  if (code == 0 && strcmp (settings->format, "json") == 0)
    cli_print_json (answer);
  else if (code == 0)
    printf ("%s: cancel accepted; tasks are being stopped\n", id);
  json_decref (answer);
  return code;
}

/* Prints the members of EVENT that print_explanation does not print.  */
static void
print_other_members (const json_t *event)
{
  static const char *const shown[]
      = { "event", "first_ms", "last_ms", "count", "reason", NULL };
  const char *name;
  json_t *value;
  json_object_foreach ((json_t *)event, name, value)
  {
    if (g_strv_contains (shown, name))
      continue;
    char *text = json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT);
    printf (" %s=%s", name, text);
    free (text);
  }
}

/* Prints one line for each decision, oldest first.  */
static void
print_explanation (const json_t *answer)
{
  printf ("job %s: %s%s%s; zone %s, entry on duty %s\n",
          cli_json_text (answer, "id"), cli_json_text (answer, "state"),
          cli_json_text (answer, "reason")[0] != '\0' ? ", " : "",
          cli_json_text (answer, "reason"), cli_json_text (answer, "zone"),
          cli_json_text (answer, "duty"));
  const json_t *waits = json_object_get (answer, "waits");
  if (waits != NULL)
    {
      char *text = json_dumps (waits, JSON_COMPACT);
      printf ("waits: %s\n", text);
      free (text);
    }
  size_t index;
  json_t *event;
  json_array_foreach (json_object_get (answer, "events"), index, event)
  {
    time_t at = cli_json_number (event, "last_ms") / 1000;
    struct tm utc;
    char when[32];
    gmtime_r (&at, &utc);
    strftime (when, sizeof when, "%Y-%m-%d %H:%M:%S", &utc);
    printf ("%s  %s  %s", when, cli_json_text (event, "event"),
            cli_json_text (event, "reason"));
    if (cli_json_number (event, "count") > 1)
      printf (" (%" PRId64 " times)", cli_json_number (event, "count"));
    print_other_members (event);
    putchar ('\n');
  }
}

static int
explain (const cli_settings_t *settings, const char *id)
{
  json_t *answer;
  int code = call_with_id (settings, "GET", "/v1/explain/", id, &answer);
  if (code == 0 && strcmp (settings->format, "json") == 0)
    cli_print_json (answer);
  else if (code == 0)
    print_explanation (answer);
  json_decref (answer);
  return code;
}

int
cli_submit (int argc, char **argv)
{
  return run_each (argc, argv,
                   "submit FILE...: submits the jobs described in JSON files "
                   "(\"-\": standard input) and prints their ids.",
                   "a file with a job", submit);
}

int
cli_cancel (int argc, char **argv)
{
  return run_each (argc, argv, "cancel JOB...: cancels jobs.", "a job id",
                   cancel);
}

int
cli_explain (int argc, char **argv)
{
  return run_each (argc, argv,
                   "explain JOB...: prints why the tasks of a job run where "
                   "they do, wait, or were refused.",
                   "a job id", explain);
}
