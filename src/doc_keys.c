#include "doc_keys.h"
#include "auth.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

static const struct
{
  const char *name;
  bool has_name; /* a name follows the type: [service NAME] */
  const char *allowed_names;
} types[DOC_SECTION_TYPE_COUNT] = {
  [DOC_ACCESS] = { "access", false, NULL },
  [DOC_FLEET] = { "fleet", false, NULL },
  [DOC_ZONE] = { "zone", true, NULL },
  [DOC_CLASS] = { "class", true, "urgent|standard|bulk" },
  [DOC_TEAM] = { "team", true, NULL },
  [DOC_SERVICE] = { "service", true, NULL },
  [DOC_OBJECTIVE] = { "objective", true, NULL },
};

/* The default weight of a class depends on its name, so there is none here;
   see class_defaults in doc_values.c.  */
static const doc_key_t keys[] = {
  { DOC_ACCESS, "operator-*", DOC_HASHES, 0, 0, NULL, NULL,
    "token hashes of an operator" },
  { DOC_ACCESS, "team-*", DOC_HASHES, 0, 0, NULL, NULL,
    "token hashes of a team" },
  { DOC_FLEET, "packing", DOC_CHOICE, 0, 0,
    "first-fit|best-fit|alignment|keep-accelerators", "keep-accelerators",
    "rule that chooses among workers that fit" },
  { DOC_ZONE, "region", DOC_NAME, 0, 0, NULL, "default",
    "region of the availability zone" },
  { DOC_ZONE, "entries", DOC_INT, 1, 99, "entries", "1",
    "expected number of entries; status warns below it" },
  { DOC_CLASS, "weight", DOC_INT, 1, 1000, "parts", NULL,
    "guaranteed share relative to the other classes" },
  { DOC_TEAM, "cpu-millis", DOC_INT, 0, 1e9, "1/1000 core", "0",
    "processor quota; teams that use the least of their quotas go first" },
  { DOC_TEAM, "memory-mib", DOC_INT, 0, 1e9, "MiB", "0", "memory quota" },
  { DOC_TEAM, "accelerators", DOC_INT, 0, 1e6, "accelerators", "0",
    "accelerator quota" },
  { DOC_TEAM, "urgent-rate", DOC_REAL, 0, 1e6, "requests/s", "10",
    "urgent requests above it count as standard" },
  { DOC_TEAM, "urgent-burst", DOC_REAL, 1, 1e6, "requests", "20",
    "urgent requests allowed at once above the rate" },
  { DOC_TEAM, "request-weight", DOC_INT, 1, 1000, "parts", "1",
    "share of a class relative to the other teams" },
  { DOC_SERVICE, "request-limit", DOC_INT, 1, 1024, "requests", "8",
    "concurrent requests per process" },
  { DOC_SERVICE, "connection-limit", DOC_INT, 8, 8192, "connections", "64",
    "concurrent connections per process" },
  { DOC_SERVICE, "spill-after-ms", DOC_INT, 0, 60000, "ms", "50",
    "wait after which another zone is tried" },
  { DOC_SERVICE, "queue-limit", DOC_INT, 1, 100000, "requests", "2048",
    "queued requests of one class and team" },
  { DOC_SERVICE, "retry-percent", DOC_INT, 0, 100, "%", "10",
    "retries per 100 requests" },
  { DOC_SERVICE, "admission", DOC_CHOICE, 0, 0, "fair|fifo|strict", "fair",
    "order of the queue; only fair keeps the guaranteed shares" },
  { DOC_SERVICE, "owner", DOC_NAME, 0, 0, "team", "",
    "team that may edit this section" },
  { DOC_OBJECTIVE, "availability-percent", DOC_REAL, 50, 99.999, "%", "99.9",
    "requests answered" },
  { DOC_OBJECTIVE, "latency-ms", DOC_INT, 1, 600000, "ms", "1000",
    "time to the complete answer" },
  { DOC_OBJECTIVE, "latency-percent", DOC_REAL, 50, 99.999, "%", "99",
    "answers within latency-ms" },
  { DOC_OBJECTIVE, "wait-ms", DOC_INT, 1, 600000, "ms", "500",
    "time in the queue" },
  { DOC_OBJECTIVE, "wait-percent", DOC_REAL, 50, 99.999, "%", "99",
    "requests queued for at most wait-ms" },
  { DOC_OBJECTIVE, "window-days", DOC_INT, 1, 30, "days", "30",
    "period of the error budget" },
  { DOC_OBJECTIVE, "owner", DOC_NAME, 0, 0, "team", "",
    "team that may edit this section" },
};

const doc_key_t *
doc_keys (size_t *count)
{
  *count = G_N_ELEMENTS (keys);
  return keys;
}

const char *
doc_section_type_name (doc_section_type_t type)
{
  return types[type].name;
}

const doc_key_t *
doc_key_find (doc_section_type_t type, const char *key)
{
  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    {
      if (keys[i].type != type)
        continue;
      size_t length = strlen (keys[i].name);
      if (keys[i].name[length - 1] == '*')
        {
          if (strncmp (keys[i].name, key, length - 1) == 0
              && doc_name_valid (key + length - 1))
            return &keys[i];
        }
      else if (strcmp (keys[i].name, key) == 0)
        return &keys[i];
    }
  return NULL;
}

bool
doc_name_valid (const char *name)
{
  size_t length = strspn (name, "abcdefghijklmnopqrstuvwxyz0123456789-");
  return length > 0 && length < 64 && name[length] == '\0' && name[0] != '-';
}

static bool
choice_valid (const char *choices, const char *value)
{
  char **words = g_strsplit (choices, "|", -1);
  bool found = g_strv_contains ((const char *const *)words, value);
  g_strfreev (words);
  return found;
}

/* Parses with g_ascii_strtod, which ignores the locale.  */
static bool
number_valid (const doc_key_t *row, const char *value)
{
  if (value[strspn (value, "0123456789.")] != '\0' || value[0] == '\0')
    return false;
  if (row->kind == DOC_INT && strchr (value, '.') != NULL)
    return false;
  char *end;
  errno = 0;
  double number = g_ascii_strtod (value, &end);
  return errno == 0 && *end == '\0' && isfinite (number) && number >= row->min
         && number <= row->max;
}

static bool
hashes_valid (const char *value)
{
  char **hashes = g_strsplit (value, ";", -1);
  bool valid = hashes[0] != NULL;
  for (char **hash = hashes; *hash != NULL && valid; hash++)
    valid = auth_hash_valid (g_strstrip (*hash));
  g_strfreev (hashes);
  return valid;
}

bool
doc_key_check (const doc_key_t *row, const char *value, char **expected)
{
  *expected = NULL;
  switch (row->kind)
    {
    case DOC_INT:
    case DOC_REAL:
      if (number_valid (row, value))
        return true;
      *expected
          = g_strdup_printf ("%s number from %g to %g (%s)",
                             row->kind == DOC_INT ? "a whole" : "a decimal",
                             row->min, row->max, row->unit_or_choices);
      return false;
    case DOC_NAME:
      if (value[0] == '\0' || doc_name_valid (value))
        return true;
      *expected = g_strdup ("a name of at most 63 of a-z, 0-9 and '-'");
      return false;
    case DOC_CHOICE:
      if (choice_valid (row->unit_or_choices, value))
        return true;
      *expected = g_strdup_printf ("one of %s", row->unit_or_choices);
      return false;
    default:
      if (hashes_valid (value))
        return true;
      *expected = g_strdup (
          "hashes printed by \"magnoliadock hash-token\", separated by ';'");
      return false;
    }
}

bool
doc_full_name_check (const char *full_name, doc_section_type_t *type,
                     const char **name, char **expected)
{
  *expected = NULL;
  size_t type_length = strcspn (full_name, " ");
  for (unsigned i = 0; i < DOC_SECTION_TYPE_COUNT; i++)
    {
      if (strlen (types[i].name) != type_length
          || strncmp (types[i].name, full_name, type_length) != 0)
        continue;
      *type = (doc_section_type_t)i;
      *name = full_name[type_length] == ' ' ? full_name + type_length + 1
                                            : full_name + type_length;
      if (!types[i].has_name)
        {
          if (full_name[type_length] == '\0')
            return true;
          *expected = g_strdup_printf ("[%s] without a name", types[i].name);
          return false;
        }
      if (types[i].allowed_names != NULL
          && !choice_valid (types[i].allowed_names, *name))
        {
          *expected = g_strdup_printf ("one of %s after \"%s\"",
                                       types[i].allowed_names, types[i].name);
          return false;
        }
      if (doc_name_valid (*name))
        return true;
      *expected = g_strdup_printf ("[%s NAME] with a name of a-z, 0-9 and '-'",
                                   types[i].name);
      return false;
    }
  GString *known = g_string_new ("one of the section types:");
  for (unsigned i = 0; i < DOC_SECTION_TYPE_COUNT; i++)
    g_string_append_printf (known, " %s", types[i].name);
  *expected = g_string_free (known, FALSE);
  return false;
}
