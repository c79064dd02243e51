#include "job.h"

#include <stdlib.h>
#include <string.h>

/* Of batch and all-at-once jobs; services restart without limit.  */
#define DEFAULT_MAX_FAILURES 3
#define DEFAULT_BACKOFF_MS 1000
#define MAX_RUN_MS (INT64_C (30) * 24 * 3600 * 1000)

static const char *const kind_names[JOB_KIND_COUNT]
    = { "service", "batch", "all-at-once" };
static const char *const state_names[JOB_STATE_COUNT]
    = { "accepted", "cancelling", "cancelled", "ended", "refused" };
static const char *const class_names[CLASS_COUNT]
    = { "urgent", "standard", "bulk" };

/* Returns the index of NAME in NAMES, -1 if it is not there.  */
static int
name_index (const char *const *names, int count, const char *name)
{
  for (int i = 0; name != NULL && i < count; i++)
    if (strcmp (names[i], name) == 0)
      return i;
  return -1;
}

const char *
job_kind_name (job_kind_t kind)
{
  return kind < JOB_KIND_COUNT ? kind_names[kind] : "unknown";
}

const char *
job_state_name (job_state_t state)
{
  return state < JOB_STATE_COUNT ? state_names[state] : "unknown";
}

const char *
job_class_name (class_t class)
{
  return class < CLASS_COUNT ? class_names[class] : "unknown";
}

bool
job_class_parse (const char *name, class_t *class)
{
  int index = name_index (class_names, CLASS_COUNT, name);
  if (index >= 0)
    *class = (class_t)index;
  return index >= 0;
}

bool
job_id_valid (const char *id)
{
  size_t length = strlen (id);
  return length > 0 && length <= JOB_ID_MAX_BYTES
         && strspn (id, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                        "0123456789._-")
                == length;
}

/* Sets ERROR and returns false.  */
static bool
set_bad_field (GError **error, const char *field, const char *expected)
{
  g_set_error (error, ERROR_DOMAIN, ERR_BAD_REQUEST, "field \"%s\": %s", field,
               expected);
  return false;
}

/* Parses an optional integer from LOW to HIGH; *VALUE stays if it is absent.
   JSON may be NULL.  */
static bool
parse_integer (const json_t *json, const char *field, int64_t low,
               int64_t high, int64_t *value, GError **error)
{
  const json_t *member = json_object_get (json, field);
  if (member == NULL)
    return true;
  if (json_is_integer (member) && json_integer_value (member) >= low
      && json_integer_value (member) <= high)
    {
      *value = json_integer_value (member);
      return true;
    }
  char *got = json_dumps (member, JSON_ENCODE_ANY | JSON_COMPACT);
  g_set_error (error, ERROR_DOMAIN, ERR_BAD_REQUEST,
               "field \"%s\": expected a whole number from %" G_GINT64_FORMAT
               " to %" G_GINT64_FORMAT ", got %.40s",
               field, low, high, got);
  free (got);
  return false;
}

static bool
parse_string (const json_t *json, const char *field, size_t max_bytes,
              bool required, char **value, GError **error)
{
  const json_t *member = json_object_get (json, field);
  if (member == NULL && !required)
    return true;
  const char *text = json_string_value (member);
  if (text == NULL || *text == '\0' || strlen (text) > max_bytes)
    {
      g_set_error (error, ERROR_DOMAIN, ERR_BAD_REQUEST,
                   "field \"%s\": expected a string of 1 to %zu bytes%s",
                   field, max_bytes, member == NULL ? ", got none" : "");
      return false;
    }
  *value = g_strdup (text);
  return true;
}

static bool
parse_kind_and_class (job_spec_t *spec, const json_t *json, GError **error)
{
  int kind = name_index (kind_names, JOB_KIND_COUNT,
                         json_string_value (json_object_get (json, "kind")));
  if (kind < 0)
    return set_bad_field (
        error, "kind", "expected \"service\", \"batch\" or \"all-at-once\"");
  spec->kind = (job_kind_t)kind;
  const json_t *class = json_object_get (json, "class");
  spec->class = CLASS_STANDARD;
  if (class != NULL
      && (!json_is_string (class)
          || !job_class_parse (json_string_value (class), &spec->class)))
    return set_bad_field (error, "class",
                          "expected \"urgent\", \"standard\" or \"bulk\"");
  return true;
}

/* Parses the number of tasks, which services may call "replicas".  */
static bool
parse_count (job_spec_t *spec, const json_t *json, GError **error)
{
  int64_t count = 1;
  const json_t *tasks = json_object_get (json, "tasks");
  const json_t *replicas = json_object_get (json, "replicas");
  if (tasks != NULL && replicas != NULL)
    return set_bad_field (
        error, "replicas",
        "expected either \"tasks\" or \"replicas\", got both");
  if (!parse_integer (json, "tasks", 1, JOB_MAX_TASKS, &count, error)
      || !parse_integer (json, "replicas", 1, JOB_MAX_TASKS, &count, error))
    return false;
  spec->task_count = (uint32_t)count;
  return true;
}

static bool
parse_size (job_spec_t *spec, const json_t *json, GError **error)
{
  const json_t *size = json_object_get (json, "size");
  if (!json_is_object (size))
    return set_bad_field (error, "size",
                          "expected an object with cpu_millis, memory_mib and "
                          "accelerators");
  if (json_object_get (size, "cpu_millis") == NULL
      || json_object_get (size, "memory_mib") == NULL)
    return set_bad_field (
        error, "size",
        "expected cpu_millis and memory_mib, but at least one "
        "of them is missing");
  return parse_integer (size, "cpu_millis", 1, 1000000, &spec->size.cpu_millis,
                        error)
         && parse_integer (size, "memory_mib", 1, 16777216,
                           &spec->size.memory_mib, error)
         && parse_integer (size, "accelerators", 0, 64,
                           &spec->size.accelerators, error);
}

static bool
parse_restart (job_spec_t *spec, const json_t *json, GError **error)
{
  int64_t max_failures = spec->kind == JOB_SERVICE ? -1 : DEFAULT_MAX_FAILURES;
  spec->backoff_ms = DEFAULT_BACKOFF_MS;
  const json_t *restart = json_object_get (json, "restart");
  if (restart != NULL && !json_is_object (restart))
    return set_bad_field (
        error, "restart",
        "expected an object with max_failures and backoff_ms");
  if (!parse_integer (restart, "max_failures", -1, 1000, &max_failures, error)
      || !parse_integer (restart, "backoff_ms", 0, 3600000, &spec->backoff_ms,
                         error))
    return false;
  spec->max_failures = (int32_t)max_failures;
  return true;
}

static bool
parse_zones (job_spec_t *spec, const json_t *json, GError **error)
{
  const json_t *zones = json_object_get (json, "zones");
  if (zones == NULL)
    return true;
  size_t count = json_array_size (zones);
  if (count == 0 || count > 64)
    return set_bad_field (error, "zones",
                          "expected a list of 1 to 64 zone names");
  spec->zones = g_new0 (char *, count + 1);
  for (size_t i = 0; i < count; i++)
    {
      const char *zone = json_string_value (json_array_get (zones, i));
      if (zone == NULL || !job_id_valid (zone))
        return set_bad_field (
            error, "zones",
            "expected zone names of letters, digits, '.', '_' "
            "and '-'");
      for (size_t j = 0; j < i; j++)
        if (strcmp (spec->zones[j], zone) == 0)
          return set_bad_field (error, "zones", "expected each zone once");
      spec->zones[i] = g_strdup (zone);
    }
  return true;
}

static bool
check_known_fields (const json_t *json, GError **error)
{
  static const char *const known[]
      = { "id",       "kind",     "class",   "team",   "tasks",
          "replicas", "size",     "command", "run_ms", "restart",
          "zones",    "priority", "throttle" };
  const char *field;
  json_t *value;
  json_object_foreach ((json_t *)json, field, value)
  {
    if (name_index (known, G_N_ELEMENTS (known), field) < 0)
      return set_bad_field (error, field, "unknown field");
  }
  return true;
}

static bool
parse_spec (job_spec_t *spec, const json_t *json, GError **error)
{
  int64_t priority = 0;
  if (!check_known_fields (json, error)
      || !parse_string (json, "id", JOB_ID_MAX_BYTES, false, &spec->id, error))
    return false;
  if (spec->id != NULL && !job_id_valid (spec->id))
    return set_bad_field (error, "id",
                          "expected letters, digits, '.', '_' and '-'");
  const json_t *throttle = json_object_get (json, "throttle");
  if (throttle != NULL && !json_is_boolean (throttle))
    return set_bad_field (error, "throttle", "expected true or false");
  spec->throttleable = json_is_true (throttle);
  if (!parse_kind_and_class (spec, json, error)
      || !parse_string (json, "team", JOB_ID_MAX_BYTES, true, &spec->team,
                        error)
      || !parse_count (spec, json, error) || !parse_size (spec, json, error)
      || !parse_string (json, "command", 4096, true, &spec->command, error)
      || !parse_integer (json, "run_ms", 0, MAX_RUN_MS, &spec->run_ms, error)
      || !parse_integer (json, "priority", -100, 100, &priority, error)
      || !parse_restart (spec, json, error)
      || !parse_zones (spec, json, error))
    return false;
  if (!job_id_valid (spec->team))
    return set_bad_field (error, "team",
                          "expected letters, digits, '.', '_' and '-'");
  spec->priority = (int32_t)priority;
  return true;
}

job_spec_t *
job_spec_parse (const json_t *json, GError **error)
{
  if (!json_is_object (json))
    {
      g_set_error (error, ERROR_DOMAIN, ERR_BAD_REQUEST,
                   "expected a job as a JSON object");
      return NULL;
    }
  job_spec_t *spec = g_new0 (job_spec_t, 1);
  if (parse_spec (spec, json, error))
    return spec;
  job_spec_free (spec);
  return NULL;
}

json_t *
resource_to_json (resource_t size)
{
  return json_pack ("{s:I,s:I,s:I}", "cpu_millis", (json_int_t)size.cpu_millis,
                    "memory_mib", (json_int_t)size.memory_mib, "accelerators",
                    (json_int_t)size.accelerators);
}

char *
resource_to_text (resource_t size)
{
  return g_strdup_printf ("cpu_millis=%" G_GINT64_FORMAT
                          " memory_mib=%" G_GINT64_FORMAT
                          " accelerators=%" G_GINT64_FORMAT,
                          size.cpu_millis, size.memory_mib, size.accelerators);
}

json_t *
job_spec_to_json (const job_spec_t *spec)
{
  json_t *json = json_pack (
      "{s:s*,s:s,s:s,s:s,s:I,s:o,s:s,s:I,s:{s:i,s:I},s:i,s:b}", "id", spec->id,
      "kind", job_kind_name (spec->kind), "class",
      job_class_name (spec->class), "team", spec->team, "tasks",
      (json_int_t)spec->task_count, "size", resource_to_json (spec->size),
      "command", spec->command, "run_ms", (json_int_t)spec->run_ms, "restart",
      "max_failures", (int)spec->max_failures, "backoff_ms",
      (json_int_t)spec->backoff_ms, "priority", (int)spec->priority,
      "throttle", (int)spec->throttleable);
  if (spec->zones != NULL)
    {
      json_t *zones = json_array ();
      for (char **zone = spec->zones; *zone != NULL; zone++)
        json_array_append_new (zones, json_string (*zone));
      json_object_set_new (json, "zones", zones);
    }
  return json;
}

void
job_spec_free (job_spec_t *spec)
{
  if (spec == NULL)
    return;
  g_free (spec->id);
  g_free (spec->team);
  g_free (spec->command);
  g_strfreev (spec->zones);
  g_free (spec);
}

char *
job_key (const char *id)
{
  return g_strconcat ("job/", id, NULL);
}

char *
part_key (const char *zone, const char *id)
{
  return g_strconcat ("part/", zone, "/", id, NULL);
}

char *
worker_key (const char *zone, const char *id)
{
  return g_strconcat ("worker/", zone, "/", id, NULL);
}

bool
task_name_split (const char *task, char *job, uint32_t *number)
{
  const char *slash = strrchr (task, '/');
  if (slash == NULL || slash == task || slash - task > JOB_ID_MAX_BYTES)
    return false;
  memcpy (job, task, (size_t)(slash - task));
  job[slash - task] = '\0';
  char *end = NULL;
  unsigned long value = strtoul (slash + 1, &end, 10);
  *number = (uint32_t)value;
  return end != slash + 1 && *end == '\0' && value < UINT32_MAX;
}
