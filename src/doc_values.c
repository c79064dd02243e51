#include "doc.h"
#include "doc_keys.h"

#include <inttypes.h>
#include <string.h>

/* Appends the keys in the text of SECTION, also unknown ones, that are not in
   KEYS yet.  */
static void
collect_keys (const doc_section_t *section, GPtrArray *keys)
{
  if (section == NULL)
    return;
  char **lines = g_strsplit (doc_section_text (section), "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    {
      char *text = g_strstrip (*line);
      char *equals = strchr (text, '=');
      if (*text == '#' || *text == '[' || equals == NULL)
        continue;
      *equals = '\0';
      g_strchomp (text);
      if (!g_ptr_array_find_with_equal_func (keys, text, g_str_equal, NULL))
        g_ptr_array_add (keys, g_strdup (text));
    }
  g_strfreev (lines);
}

bool
doc_diff (const doc_section_t *before, const doc_section_t *after,
          GString *out)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  collect_keys (before, keys);
  collect_keys (after, keys);
  bool differs = (before == NULL) != (after == NULL);
  for (unsigned i = 0; i < keys->len; i++)
    {
      const char *key = g_ptr_array_index (keys, i);
      const char *old_value
          = before != NULL ? doc_section_value (before, key) : NULL;
      const char *new_value
          = after != NULL ? doc_section_value (after, key) : NULL;
      if (g_strcmp0 (old_value, new_value) == 0)
        continue;
      differs = true;
      if (old_value != NULL)
        g_string_append_printf (out, "-%s = %s\n", key, old_value);
      if (new_value != NULL)
        g_string_append_printf (out, "+%s = %s\n", key, new_value);
    }
  g_ptr_array_free (keys, TRUE);
  return differs;
}

static void
add_use_error (GPtrArray *errors, const char *section, const char *key,
               char *message)
{
  doc_error_t *error = g_new0 (doc_error_t, 1);
  error->section = g_strdup (section);
  error->key = g_strdup (key);
  error->message = message;
  g_ptr_array_add (errors, error);
}

static bool
has_operator (const doc_section_t *section)
{
  GPtrArray *keys = g_ptr_array_new_with_free_func (g_free);
  collect_keys (section, keys);
  bool found = false;
  for (unsigned i = 0; i < keys->len && !found; i++)
    found = g_str_has_prefix (g_ptr_array_index (keys, i), "operator-");
  g_ptr_array_free (keys, TRUE);
  return found;
}

bool
doc_check_use (const char *name, const doc_section_t *before,
               const doc_section_t *after, const doc_use_t *use,
               size_t use_count, GPtrArray *errors)
{
  unsigned errors_before = errors->len;
  for (size_t i = 0; i < use_count; i++)
    {
      const doc_use_t *row = &use[i];
      if (strcmp (row->section, name) != 0 || row->amount <= 0)
        continue;
      if (after == NULL && row->key != NULL)
        continue;
      if (after == NULL)
        {
          add_use_error (errors, name, NULL,
                         g_strdup_printf ("removal is blocked by %" PRId64
                                          " %s, expected "
                                          "none (or force)",
                                          row->amount, row->description));
          continue;
        }
      const char *new_value
          = row->key != NULL ? doc_section_value (after, row->key) : NULL;
      const char *old_value = before != NULL && row->key != NULL
                                  ? doc_section_value (before, row->key)
                                  : NULL;
      /* Use above an unchanged limit must not block changes of other keys.  */
      if (new_value == NULL || g_strcmp0 (new_value, old_value) == 0)
        continue;
      if (g_ascii_strtod (new_value, NULL) < (double)row->amount)
        add_use_error (
            errors, name, row->key,
            g_strdup_printf ("%s is below the current use of %" PRId64
                             " %s, expected at least that (or force)",
                             new_value, row->amount, row->description));
    }
  if (before != NULL && has_operator (before) && !has_operator (after))
    add_use_error (errors, name, NULL,
                   g_strdup ("no operator token is left, expected an "
                             "operator-NAME key (or force)"));
  return errors->len == errors_before;
}

static const doc_section_t *
find_section (const doc_t *doc, doc_section_type_t type, const char *name)
{
  char full[80];
  g_snprintf (full, sizeof full, "%s%s%s", doc_section_type_name (type),
              *name != '\0' ? " " : "", name);
  return doc_section (doc, full);
}

static double
number_value (const doc_section_t *section, doc_section_type_t type,
              const char *key)
{
  const char *value = section != NULL
                          ? doc_section_value (section, key)
                          : doc_key_find (type, key)->default_value;
  return value != NULL ? g_ascii_strtod (value, NULL) : 0;
}

static const char *
text_value (const doc_section_t *section, doc_section_type_t type,
            const char *key)
{
  return section != NULL ? doc_section_value (section, key)
                         : doc_key_find (type, key)->default_value;
}

bool
doc_service (const doc_t *doc, const char *name, doc_service_t *out)
{
  const doc_section_t *section = find_section (doc, DOC_SERVICE, name);
  out->request_limit
      = (uint32_t)number_value (section, DOC_SERVICE, "request-limit");
  out->connection_limit
      = (uint32_t)number_value (section, DOC_SERVICE, "connection-limit");
  out->spill_after_ms
      = (int64_t)number_value (section, DOC_SERVICE, "spill-after-ms");
  out->queue_limit
      = (uint32_t)number_value (section, DOC_SERVICE, "queue-limit");
  out->retry_percent
      = (uint32_t)number_value (section, DOC_SERVICE, "retry-percent");
  out->admission = text_value (section, DOC_SERVICE, "admission");
  out->owner = text_value (section, DOC_SERVICE, "owner");
  return section != NULL;
}

bool
doc_team (const doc_t *doc, const char *name, doc_team_t *out)
{
  const doc_section_t *section = find_section (doc, DOC_TEAM, name);
  out->has_quota = section != NULL;
  out->quota = (resource_t){
    .cpu_millis = (int64_t)number_value (section, DOC_TEAM, "cpu-millis"),
    .memory_mib = (int64_t)number_value (section, DOC_TEAM, "memory-mib"),
    .accelerators = (int64_t)number_value (section, DOC_TEAM, "accelerators"),
  };
  out->urgent_rate = number_value (section, DOC_TEAM, "urgent-rate");
  out->urgent_burst = number_value (section, DOC_TEAM, "urgent-burst");
  out->request_weight
      = (uint32_t)number_value (section, DOC_TEAM, "request-weight");
  return section != NULL;
}

bool
doc_class (const doc_t *doc, class_t class, doc_class_t *out)
{
  static const struct
  {
    const char *name;
    uint32_t weight;
  } class_defaults[CLASS_COUNT] = {
    [CLASS_URGENT] = { "urgent", 50 },
    [CLASS_STANDARD] = { "standard", 35 },
    [CLASS_BULK] = { "bulk", 15 },
  };
  const doc_section_t *section
      = find_section (doc, DOC_CLASS, class_defaults[class].name);
  uint32_t weight = (uint32_t)number_value (section, DOC_CLASS, "weight");
  out->weight = weight > 0 ? weight : class_defaults[class].weight;
  return section != NULL;
}

bool
doc_zone (const doc_t *doc, const char *name, doc_zone_t *out)
{
  const doc_section_t *section = find_section (doc, DOC_ZONE, name);
  out->region = text_value (section, DOC_ZONE, "region");
  out->entries = (uint32_t)number_value (section, DOC_ZONE, "entries");
  return section != NULL;
}

bool
doc_objective (const doc_t *doc, const char *name, doc_objective_t *out)
{
  const doc_section_t *section = find_section (doc, DOC_OBJECTIVE, name);
  out->availability
      = number_value (section, DOC_OBJECTIVE, "availability-percent") / 100;
  out->latency_ms
      = (int64_t)number_value (section, DOC_OBJECTIVE, "latency-ms");
  out->latency_share
      = number_value (section, DOC_OBJECTIVE, "latency-percent") / 100;
  out->wait_ms = (int64_t)number_value (section, DOC_OBJECTIVE, "wait-ms");
  out->wait_share
      = number_value (section, DOC_OBJECTIVE, "wait-percent") / 100;
  out->window_days
      = (uint32_t)number_value (section, DOC_OBJECTIVE, "window-days");
  return section != NULL;
}

bool
doc_fleet (const doc_t *doc, doc_fleet_t *out)
{
  const doc_section_t *section = find_section (doc, DOC_FLEET, "");
  out->packing = text_value (section, DOC_FLEET, "packing");
  return section != NULL;
}
