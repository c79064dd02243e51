#include "standin.h"

#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#define KEPT 100

static json_t *counters;
static json_t *counts; /* kind -> number of violations */
static json_t *details;
static unsigned total;

static void
add_to (json_t **object, const char *name, unsigned by)
{
  if (*object == NULL)
    *object = json_object ();
  json_int_t before = json_integer_value (json_object_get (*object, name));
  json_object_set_new (*object, name, json_integer (before + by));
}

void
standin_count (const char *name, unsigned by)
{
  add_to (&counters, name, by);
}

void
standin_violation (const char *kind, const char *format, ...)
{
  total++;
  add_to (&counts, kind, 1);
  if (details == NULL)
    details = json_array ();
  if (json_array_size (details) >= KEPT)
    return;
  va_list arguments;
  va_start (arguments, format);
  g_autofree char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  json_array_append_new (details, json_sprintf ("%s: %s", kind, text));
  fprintf (stderr, "standin: violation: %s: %s\n", kind, text);
}

unsigned
standin_violation_count (void)
{
  return total;
}

static json_t *
violations (void)
{
  return json_pack ("{s:i, s:i, s:O*, s:O*}", "violations", (int)total, "pid",
                    (int)getpid (), "kinds", counts, "details", details);
}

/* Whether ONE is what the query of REQUEST names: an id, or all of a zone,
   kind, rack or service.  */
static bool
is_named (const standin_request_t *request, const standin_instance_t *one)
{
  const struct
  {
    const char *name, *value;
  } filters[] = { { "id", one->id },
                  { "zone", one->zone },
                  { "kind", one->kind },
                  { "rack", one->rack },
                  { "service", one->service } };
  bool any = false;
  for (size_t i = 0; i < G_N_ELEMENTS (filters); i++)
    {
      const char *wanted = standin_query (request, filters[i].name);
      if (wanted != NULL && g_strcmp0 (wanted, filters[i].value) != 0)
        return false;
      any |= wanted != NULL;
    }
  return any;
}

static void
set_state (standin_request_t *request, standin_instance_t *one)
{
  const char *state = standin_query (request, "state");
  const standin_fault_t dead = { .mode = MODE_DOWN };
  standin_set_state (
      one, state,
      standin_query_number (request, "incarnation", one->incarnation));
  if (strcmp (state, "gone") == 0 && one->worker != NULL)
    standin_worker_mode (one, &dead);
  if (strcmp (state, "gone") == 0 && one->backend != NULL)
    standin_backend_mode (one, &dead);
}

bool
standin_mode_named (const char *name, standin_mode_t *mode)
{
  static const struct
  {
    const char *name;
    standin_mode_t mode;
  } modes[] = {
    { "ok", MODE_UP },         { "up", MODE_UP },
    { "down", MODE_DOWN },     { "dead", MODE_DOWN },
    { "hang", MODE_HANG },     { "cut", MODE_CUT },
    { "frozen", MODE_HANG },   { "slow", MODE_SLOW },
    { "stale", MODE_STALE },   { "fail", MODE_FAIL },
    { "refuse", MODE_REFUSE }, { "lose", MODE_LOSE },
  };
  for (size_t i = 0; name != NULL && i < G_N_ELEMENTS (modes); i++)
    if (strcmp (name, modes[i].name) == 0)
      {
        *mode = modes[i].mode;
        return true;
      }
  return false;
}

/* POST instance|worker|backend.  Returns the number of instances changed, -1
   if the query is not understood.  */
static int
change_instances (standin_request_t *request, const char *name)
{
  const char *state = standin_query (request, "state");
  const char *mode = standin_query (request, "mode");
  bool reboot = g_strcmp0 (mode, "reboot") == 0;
  standin_fault_t fault
      = { .delay_ms = standin_query_number (request, "delay_ms", 0) };
  bool by_state = strcmp (name, "instance") == 0;
  if (by_state ? state == NULL
               : !reboot && !standin_mode_named (mode, &fault.mode))
    return -1;
  int changed = 0;
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      standin_instance_t *one = g_ptr_array_index (standin_instances, i);
      if (!is_named (request, one))
        continue;
      bool worker = strcmp (name, "worker") == 0 && one->worker != NULL;
      bool backend = strcmp (name, "backend") == 0 && one->backend != NULL;
      if (by_state)
        set_state (request, one);
      else if (worker && reboot)
        standin_worker_reboot (one);
      else if (worker)
        standin_worker_mode (one, &fault);
      else if (backend && !reboot)
        standin_backend_mode (one, &fault);
      changed += by_state || worker || backend;
    }
  return changed;
}

static void
silence (standin_request_t *request)
{
  static const struct
  {
    const char *name;
    standin_scope_t scope;
  } scopes[] = { { "platform", SCOPE_PLATFORM },
                 { "workers", SCOPE_WORKERS },
                 { "backends", SCOPE_BACKENDS } };
  const char *name = standin_query (request, "scope");
  unsigned count = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (scopes); i++)
    if (name == NULL || strcmp (name, scopes[i].name) == 0)
      count += standin_silence (scopes[i].scope);
  standin_answer (request, 200,
                  json_pack ("{s:i}", "connections", (int)count));
}

static void
answer_get (standin_request_t *request, const char *path)
{
  if (strcmp (path, "violations") == 0)
    standin_answer (request, 200, violations ());
  else if (strcmp (path, "summary") == 0)
    standin_answer (request, 200,
                    json_pack ("{s:i, s:O*, s:o, s:o, s:o}", "violations",
                               (int)total, "counters", counters, "table",
                               standin_platform_summary (), "workers",
                               standin_worker_summary (), "requests",
                               standin_backend_summary ()));
  else if (strcmp (path, "tasks") == 0)
    standin_answer (request, 200, standin_tasks ());
  else if (strcmp (path, "deployment") == 0)
    standin_answer (request, 200, standin_deployment ());
  else
    standin_error (request, 404, "not_found", path);
}

void
standin_control (standin_request_t *request, const char *path)
{
  if (strcmp (request->method, "GET") == 0)
    {
      answer_get (request, path);
      return;
    }
  if (strcmp (path, "quit") == 0)
    standin_quit ();
  else if (strcmp (path, "not-run") == 0)
    {
      standin_ran_check (request);
      return;
    }
  else if (strcmp (path, "silence") == 0)
    {
      silence (request);
      return;
    }
  else if (strcmp (path, "instance") == 0 || strcmp (path, "worker") == 0
           || strcmp (path, "backend") == 0)
    {
      int changed = change_instances (request, path);
      if (changed <= 0)
        standin_error (request, 400, "bad_request", "no such change");
      else
        standin_answer (request, 200, json_pack ("{s:i}", "changed", changed));
      return;
    }
  else if (!standin_platform_control (request, path))
    {
      standin_error (request, 400, "bad_request", "no such fault");
      return;
    }
  standin_answer (request, 200, json_object ());
}
