#include "standin.h"

#include <stdarg.h>
#include <string.h>
#include <unistd.h>

#define MAX_DETAILS 100

static json_t *counters;
static json_t *violations_by_kind; /* kind -> number of them */
static json_t *violation_details;
static unsigned violation_total;

static void
add_to_member (json_t **object, const char *name, unsigned by)
{
  if (*object == NULL)
    *object = json_object ();
  json_int_t old = json_integer_value (json_object_get (*object, name));
  json_object_set_new (*object, name, json_integer (old + by));
}

void
standin_add_to_counter (const char *name, unsigned by)
{
  add_to_member (&counters, name, by);
}

void
standin_violation (const char *kind, const char *format, ...)
{
  violation_total++;
  add_to_member (&violations_by_kind, kind, 1);
  if (violation_details == NULL)
    violation_details = json_array ();
  if (json_array_size (violation_details) >= MAX_DETAILS)
    return;
  va_list arguments;
  va_start (arguments, format);
  g_autofree char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  json_array_append_new (violation_details,
                         json_sprintf ("%s: %s", kind, text));
  fprintf (stderr, "standin: violation: %s: %s\n", kind, text);
}

unsigned
standin_violation_count (void)
{
  return violation_total;
}

static json_t *
violations_json (void)
{
  return json_pack ("{s:i, s:i, s:O*, s:O*}", "violations",
                    (int)violation_total, "pid", (int)getpid (), "kinds",
                    violations_by_kind, "details", violation_details);
}

/* Whether INSTANCE has the id, zone, kind, rack and service that the query of
   REQUEST gives; false if it gives none of them.  */
static bool
matches_query (const standin_request_t *request,
               const standin_instance_t *instance)
{
  const struct
  {
    const char *name, *value;
  } filters[] = { { "id", instance->id },
                  { "zone", instance->zone },
                  { "kind", instance->kind },
                  { "rack", instance->rack },
                  { "service", instance->service } };
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

/* An instance that is gone is also down.  */
static void
change_state (standin_request_t *request, standin_instance_t *instance)
{
  const char *state = standin_query (request, "state");
  const standin_fault_t down = { .mode = MODE_DOWN };
  standin_set_state (
      instance, state,
      standin_query_number (request, "incarnation", instance->incarnation));
  if (strcmp (state, "gone") == 0 && instance->worker != NULL)
    standin_worker_set_fault (instance, &down);
  if (strcmp (state, "gone") == 0 && instance->backend != NULL)
    standin_backend_set_fault (instance, &down);
}

bool
standin_parse_mode (const char *name, standin_mode_t *mode)
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

/* POST instance|worker|backend: changes the state or the mode of all instances
   that match the query.  Returns their number, -1 if the query is not
   understood.  */
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
               : !reboot && !standin_parse_mode (mode, &fault.mode))
    return -1;
  int changed = 0;
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      standin_instance_t *instance = g_ptr_array_index (standin_instances, i);
      if (!matches_query (request, instance))
        continue;
      bool worker = strcmp (name, "worker") == 0 && instance->worker != NULL;
      bool backend
          = strcmp (name, "backend") == 0 && instance->backend != NULL;
      if (by_state)
        change_state (request, instance);
      else if (worker && reboot)
        standin_worker_reboot (instance);
      else if (worker)
        standin_worker_set_fault (instance, &fault);
      else if (backend && !reboot)
        standin_backend_set_fault (instance, &fault);
      changed += by_state || worker || backend;
    }
  return changed;
}

static void
answer_silence (standin_request_t *request)
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
      count += standin_silence_connections (scopes[i].scope);
  standin_answer_json (request, 200,
                       json_pack ("{s:i}", "connections", (int)count));
}

static void
answer_get (standin_request_t *request, const char *path)
{
  if (strcmp (path, "violations") == 0)
    standin_answer_json (request, 200, violations_json ());
  else if (strcmp (path, "summary") == 0)
    standin_answer_json (request, 200,
                         json_pack ("{s:i, s:O*, s:o, s:o, s:o}", "violations",
                                    (int)violation_total, "counters", counters,
                                    "table", standin_platform_summary (),
                                    "workers", standin_worker_summary (),
                                    "requests", standin_backend_summary ()));
  else if (strcmp (path, "tasks") == 0)
    standin_answer_json (request, 200, standin_task_events_json ());
  else if (strcmp (path, "deployment") == 0)
    standin_answer_json (request, 200, standin_deployment_json ());
  else
    standin_answer_error (request, 404, "not_found", path);
}

void
standin_handle_control (standin_request_t *request, const char *path)
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
      standin_check_not_run (request);
      return;
    }
  else if (strcmp (path, "silence") == 0)
    {
      answer_silence (request);
      return;
    }
  else if (strcmp (path, "instance") == 0 || strcmp (path, "worker") == 0
           || strcmp (path, "backend") == 0)
    {
      int changed = change_instances (request, path);
      if (changed <= 0)
        standin_answer_error (
            request, 400, "bad_request",
            "unknown mode, missing state or no matching instance");
      else
        standin_answer_json (request, 200,
                             json_pack ("{s:i}", "changed", changed));
      return;
    }
  else if (!standin_set_platform_fault (request, path))
    {
      standin_answer_error (request, 400, "bad_request",
                            "unknown control call or mode");
      return;
    }
  standin_answer_json (request, 200, json_object ());
}
