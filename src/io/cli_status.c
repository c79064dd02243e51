#include "cli.h"

#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

const option_t cli_status_options[] = {
  CLI_SERVER_OPTIONS ("text|json"),
  { "jobs", OPTION_FLAG, offsetof (cli_settings_t, list_jobs), NULL, false, 0,
    0, NULL, "List the jobs" },
  { NULL, 0, 0, NULL, false, 0, 0, NULL, NULL },
};

/* Formats the age in ms in member NAME as "3.2 s", or "never" if there is no
   such integer.  */
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
print_overview (const json_t *status)
{
  const json_t *config = json_object_get (status, "config");
  char store[24], list[24];
  format_age (config, "store_age_ms", store, sizeof store);
  format_age (status, "list_age_ms", list, sizeof list);
  printf ("entry         %s in %s, %s%s\n", cli_json_text (status, "entry"),
          cli_json_text (status, "zone"),
          json_is_true (json_object_get (status, "ready")) ? "ready"
                                                           : "not ready: ",
          cli_json_text (status, "not_ready"));
  printf ("configuration revision %" PRId64 " from %s; tokens %s\n",
          cli_json_number (config, "revision"),
          cli_json_text (config, "source"),
          json_is_true (json_object_get (config, "tokens_checked"))
              ? "are checked"
              : "are not checked");
  printf ("last read     table service %s, instance list %s\n", store, list);
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
    int64_t entries = cli_json_number (zone, "entries");
    int64_t confirmed = cli_json_number (zone, "confirmed");
    const char *note = entries < cli_json_number (zone, "expected")
                           ? "  too few entries"
                       : confirmed < entries ? "  behind"
                                             : "";
    printf ("%-24s %-12s %8" PRId64 " %9" PRId64 " %10" PRId64 "%s\n",
            cli_json_text (zone, "zone"), cli_json_text (zone, "region"),
            entries, cli_json_number (zone, "expected"), confirmed, note);
  }
}

static void
print_entries (const json_t *status)
{
  size_t index;
  json_t *entry;
  printf ("\n%-24s %-24s %9s %10s  %s\n", "entry", "zone", "revision",
          "last heard", "state");
  json_array_foreach (json_object_get (status, "entries"), index, entry)
  {
    char age[24], revision[24] = "-";
    format_age (entry, "age_ms", age, sizeof age);
    if (json_is_integer (json_object_get (entry, "revision")))
      g_snprintf (revision, sizeof revision, "%" PRId64,
                  cli_json_number (entry, "revision"));
    bool confirmed = json_is_true (json_object_get (entry, "confirmed"));
    printf ("%-24s %-24s %9s %10s  %s%s\n", cli_json_text (entry, "entry"),
            cli_json_text (entry, "zone"), revision, age,
            cli_json_text (entry, "state"), confirmed ? "" : " behind");
  }
}

static void
print_requests (const json_t *status)
{
  static const char *const classes[] = { "urgent", "standard", "bulk" };
  const json_t *services
      = json_object_get (json_object_get (status, "requests"), "services");
  const char *name;
  json_t *service;
  printf ("\n%-24s %9s %6s %6s %9s  %s\n", "service here", "processes",
          "slots", "free", "in flight", "queued urgent/standard/bulk");
  json_object_foreach ((json_t *)services, name, service)
  {
    printf ("%-24s %9" PRId64 " %6" PRId64 " %6" PRId64 " %9" PRId64 "  ",
            name, cli_json_number (service, "processes"),
            cli_json_number (service, "slots"),
            cli_json_number (service, "free"),
            cli_json_number (service, "in_flight"));
    const json_t *queues = json_object_get (service, "classes");
    for (size_t i = 0; i < G_N_ELEMENTS (classes); i++)
      printf (
          "%s%" PRId64, i > 0 ? "/" : "",
          cli_json_number (json_object_get (queues, classes[i]), "queued"));
    size_t index;
    json_t *ejected;
    json_array_foreach (json_object_get (service, "ejected"), index, ejected)
        printf ("%s%s", index == 0 ? "  ejected: " : " ",
                json_string_value (ejected));
    putchar ('\n');
  }
}

static void
print_resources (const char *title, const json_t *size)
{
  printf ("  %s %" PRId64 " cores, %" PRId64 " GiB, %" PRId64 " accelerators",
          title, cli_json_number (size, "cpu_millis") / 1000,
          cli_json_number (size, "memory_mib") / 1024,
          cli_json_number (size, "accelerators"));
}

static void
print_tasks (const json_t *status)
{
  const json_t *tasks = json_object_get (status, "tasks");
  const json_t *workers = json_object_get (tasks, "workers");
  if (!json_is_object (tasks))
    return;
  char age[24];
  format_age (tasks, "rows_age_ms", age, sizeof age);
  printf ("\ntasks here     %" PRId64 " waiting, %" PRId64
          " assigned; %zu workers; entry on duty: %s; rows last read: %s\n",
          cli_json_number (tasks, "tasks_waiting"),
          cli_json_number (tasks, "tasks_assigned"), json_array_size (workers),
          cli_json_text (tasks, "duty"), age);
  print_resources ("used", json_object_get (tasks, "used"));
  print_resources ("of", json_object_get (tasks, "total"));
  putchar ('\n');
  size_t index;
  json_t *worker;
  json_array_foreach (
      workers, index,
      worker) if (json_is_true (json_object_get (worker, "held_back")))
      printf ("  held back: worker %s, rack %s, %s\n",
              cli_json_text (worker, "id"), cli_json_text (worker, "rack"),
              cli_json_text (worker, "state"));
}

static int
print_jobs (const cli_settings_t *settings)
{
  json_t *answer;
  if (!cli_call_json (settings, "GET", "/v1/jobs", NULL, &answer))
    return 1;
  size_t index;
  json_t *job;
  if (strcmp (settings->format, "json") == 0)
    cli_print_json (answer);
  else
    {
      printf ("%-24s %-12s %-9s %-16s %-11s %7s  %s\n", "job", "kind", "class",
              "team", "state", "tasks", "reason");
      json_array_foreach (json_object_get (answer, "jobs"), index, job)
          printf ("%-24s %-12s %-9s %-16s %-11s %7" PRId64 "  %s\n",
                  cli_json_text (job, "id"), cli_json_text (job, "kind"),
                  cli_json_text (job, "class"), cli_json_text (job, "team"),
                  cli_json_text (job, "state"), cli_json_number (job, "tasks"),
                  cli_json_text (job, "reason"));
    }
  json_decref (answer);
  return 0;
}

static int
print_job (const cli_settings_t *settings, const char *job)
{
  char *id = g_uri_escape_string (job, NULL, FALSE);
  char *path = g_strconcat ("/v1/jobs/", id, NULL);
  json_t *answer;
  bool done = cli_call_json (settings, "GET", path, NULL, &answer);
  if (done)
    cli_print_json (answer);
  json_decref (answer);
  g_free (path);
  g_free (id);
  return done ? 0 : 1;
}

static int
print_status (const cli_settings_t *settings)
{
  json_t *answer;
  if (!cli_call_json (settings, "GET", "/v1/status", NULL, &answer))
    return 1;
  if (strcmp (settings->format, "json") == 0)
    cli_print_json (answer);
  else
    {
      print_overview (answer);
      print_zones (answer);
      print_entries (answer);
      print_requests (answer);
      print_tasks (answer);
    }
  json_decref (answer);
  return 0;
}

int
cli_status (int argc, char **argv)
{
  cli_settings_t settings = { .command = argv[0] };
  char **rest = NULL;
  int code = 2;
  if (!options_parse (cli_status_options, &settings,
                      "status [JOB]: prints the state of the system as one "
                      "entry sees it, of all jobs, or of one job.",
                      argc, argv, &rest))
    goto out;
  if (g_strv_length (rest) > 1)
    code = cli_usage_error (&settings, "%s: expected at most one job id",
                            rest[1]);
  else if (rest[0] != NULL)
    code = print_job (&settings, rest[0]);
  else
    code = settings.list_jobs ? print_jobs (&settings)
                              : print_status (&settings);
out:
  g_strfreev (rest);
  options_clear (cli_status_options, &settings);
  return code;
}
