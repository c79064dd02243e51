#include "cli.h"

#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

static const option_t options[] = {
  CLI_SERVER_OPTIONS ("text|json"),
  { NULL, 0, 0, NULL, false, 0, 0, NULL, NULL },
};

/* "3.2 s" or "never".  */
static void
format_age (const json_t *object, const char *name, char *out, size_t size)
{
  const json_t *age_ms = json_object_get (object, name);
  if (json_is_integer (age_ms))
    g_snprintf (out, size, "%.1f s",
                (double)json_integer_value (age_ms) / 1000);
  else
    g_strlcpy (out, "never", size);
}

static void
print_config (const json_t *status)
{
  const json_t *config = json_object_get (status, "config");
  char store[24], list[24];
  format_age (config, "store_age_ms", store, sizeof store);
  format_age (status, "list_age_ms", list, sizeof list);
  printf ("entry         %s in %s, %s%s\n", cli_text (status, "entry"),
          cli_text (status, "zone"),
          json_is_true (json_object_get (status, "ready")) ? "ready"
                                                           : "not ready: ",
          cli_text (status, "not_ready"));
  printf ("configuration revision %" PRId64 " from %s; tokens %s\n",
          cli_number (config, "revision"), cli_text (config, "source"),
          json_is_true (json_object_get (config, "tokens_checked"))
              ? "are checked"
              : "are not checked");
  printf ("view          table service %s old, instance list %s old\n", store,
          list);
}

static void
print_zones (const json_t *status)
{
  size_t index;
  json_t *zone;
  printf ("\n%-24s %-12s %8s %9s %10s\n", "zone", "region", "entries",
          "expected", "confirmed");
  json_array_foreach (json_object_get (status, "zones"), index, zone)
  {
    int64_t entries = cli_number (zone, "entries");
    int64_t confirmed = cli_number (zone, "confirmed");
    const char *note = entries < cli_number (zone, "expected")
                           ? "  too few entries"
                       : confirmed < entries ? "  behind"
                                             : "";
    printf ("%-24s %-12s %8" PRId64 " %9" PRId64 " %10" PRId64 "%s\n",
            cli_text (zone, "zone"), cli_text (zone, "region"), entries,
            cli_number (zone, "expected"), confirmed, note);
  }
}

static void
print_entries (const json_t *status)
{
  size_t index;
  json_t *entry;
  printf ("\n%-24s %-24s %9s %10s  %s\n", "entry", "zone", "revision",
          "heard of", "state");
  json_array_foreach (json_object_get (status, "entries"), index, entry)
  {
    char age[24], revision[24] = "-";
    format_age (entry, "age_ms", age, sizeof age);
    if (json_is_integer (json_object_get (entry, "revision")))
      g_snprintf (revision, sizeof revision, "%" PRId64,
                  cli_number (entry, "revision"));
    bool confirmed = json_is_true (json_object_get (entry, "confirmed"));
    printf ("%-24s %-24s %9s %10s  %s%s\n", cli_text (entry, "entry"),
            cli_text (entry, "zone"), revision, age, cli_text (entry, "state"),
            confirmed ? "" : " behind");
  }
}

static void
print_part (const json_t *status, const char *name, const char *title)
{
  const json_t *part = json_object_get (status, name);
  if (part == NULL || json_is_null (part))
    return;
  printf ("\n%s\n", title);
  cli_print_json (part);
}

int
cli_status (int argc, char **argv)
{
  cli_settings_t settings = { .command = argv[0] };
  char **rest = NULL;
  json_t *answer = NULL;
  int code = 2;
  if (!options_parse (options, &settings,
                      "status [JOB]: prints the state of the system as one "
                      "entry sees it, or of one job.",
                      argc, argv, &rest))
    goto out;
  code = 1;
  if (rest[0] != NULL)
    {
      char *id = g_uri_escape_string (rest[0], NULL, FALSE);
      char *path = g_strconcat ("/v1/jobs/", id, NULL);
      if (cli_call_json (&settings, "GET", path, NULL, &answer))
        {
          cli_print_json (answer);
          code = 0;
        }
      g_free (path);
      g_free (id);
      goto out;
    }
  if (!cli_call_json (&settings, "GET", "/v1/status", NULL, &answer))
    goto out;
  if (strcmp (settings.format, "json") == 0)
    cli_print_json (answer);
  else
    {
      print_config (answer);
      print_zones (answer);
      print_entries (answer);
      print_part (answer, "requests", "requests");
      print_part (answer, "tasks", "tasks");
    }
  code = 0;
out:
  json_decref (answer);
  g_strfreev (rest);
  options_clear (options, &settings);
  return code;
}
