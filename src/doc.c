#include "doc.h"
#include "doc_keys.h"

#include <stdlib.h>
#include <string.h>

typedef struct
{
  char *value;
  int line, column; /* of the key */
} setting_t;

struct doc_section
{
  doc_section_type_t type;
  char *full_name;
  const char *name; /* points into full_name */
  char *text;
  int line;
  GHashTable *values; /* key -> setting_t; without defaults */
};

struct doc
{
  int reference_count;
  GPtrArray *sections;
  GHashTable *section_by_name;
};

typedef struct
{
  doc_t *doc;
  doc_section_t *current;    /* latest valid one, NULL before the first */
  bool skip_section;         /* the current section header was refused */
  const char *section_start; /* first byte of the text of the section */
  const char *comment_start; /* of the comment right above, NULL: none */
  int line_number;
  GPtrArray *errors;
  GPtrArray *unknown; /* errors about unknown keys and sections; may be the
                         same array as errors */
} parser_t;

static void
setting_free (void *data)
{
  setting_t *setting = data;
  g_free (setting->value);
  g_free (setting);
}

static void
section_free (void *data)
{
  doc_section_t *section = data;
  g_free (section->full_name);
  g_free (section->text);
  g_hash_table_destroy (section->values);
  g_free (section);
}

static void
error_free (void *data)
{
  doc_error_t *error = data;
  g_free (error->section);
  g_free (error->key);
  g_free (error->message);
  g_free (error);
}

GPtrArray *
doc_errors_new (void)
{
  return g_ptr_array_new_with_free_func (error_free);
}

__attribute__ ((format (printf, 6, 7))) static void
add_error (GPtrArray *errors, int line, int column, const char *section,
           const char *key, const char *format, ...)
{
  if (errors->len >= DOC_MAX_ERRORS)
    return;
  doc_error_t *error = g_new0 (doc_error_t, 1);
  error->line = line;
  error->column = column;
  error->section = g_strdup (section);
  error->key = g_strdup (key);
  va_list args;
  va_start (args, format);
  error->message = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (errors, error);
}

void
doc_error_print (const doc_error_t *error, GString *out)
{
  if (error->line > 0)
    g_string_append_printf (out, "line %d, column %d: ", error->line,
                            error->column);
  if (error->section != NULL)
    g_string_append_printf (out, "[%s] ", error->section);
  if (error->key != NULL)
    g_string_append_printf (out, "%s: ", error->key);
  g_string_append (out, error->message);
}

char *
doc_errors_text (const GPtrArray *errors)
{
  GString *out = g_string_new (NULL);
  for (unsigned i = 0; i < errors->len; i++)
    {
      if (i > 0)
        g_string_append_c (out, '\n');
      doc_error_print (g_ptr_array_index (errors, i), out);
    }
  return g_string_free (out, FALSE);
}

/* Sets the text of the current section, which ends at END, without trailing
   blank lines.  */
static void
close_section (parser_t *parser, const char *end)
{
  if (parser->current == NULL || parser->current->text != NULL)
    return;
  while (end > parser->section_start && g_ascii_isspace (end[-1]))
    end--;
  parser->current->text = g_strdup_printf (
      "%.*s\n", (int)(end - parser->section_start), parser->section_start);
}

/* LINE is the start of the line, TEXT the line without surrounding space,
   which begins at COLUMN.  */
static void
parse_section_header (parser_t *parser, const char *line, const char *text,
                      int column)
{
  size_t length = strlen (text);
  const char *start
      = parser->comment_start != NULL ? parser->comment_start : line;
  close_section (parser, start);
  parser->skip_section = true;
  if (text[length - 1] != ']')
    {
      add_error (parser->errors, parser->line_number, column + (int)length,
                 NULL, NULL, "unterminated section header, expected ']'");
      return;
    }
  char *full_name = g_strndup (text + 1, length - 2);
  doc_section_type_t type;
  const char *name;
  char *expected;
  if (!doc_full_name_check (full_name, &type, &name, &expected))
    add_error (parser->unknown, parser->line_number, column, full_name, NULL,
               "unknown section, expected %s", expected);
  else if (g_hash_table_contains (parser->doc->section_by_name, full_name))
    add_error (parser->errors, parser->line_number, column, full_name, NULL,
               "duplicate section, expected only one");
  else
    {
      doc_section_t *section = g_new0 (doc_section_t, 1);
      section->type = type;
      section->full_name = g_strdup (full_name);
      section->name = section->full_name + (name - full_name);
      section->line = parser->line_number;
      section->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                               setting_free);
      g_ptr_array_add (parser->doc->sections, section);
      g_hash_table_insert (parser->doc->section_by_name, section->full_name,
                           section);
      parser->current = section;
      /* Everything above the first valid section belongs to its text.  */
      parser->section_start
          = parser->doc->sections->len == 1 && parser->section_start != NULL
                ? parser->section_start
                : start;
      parser->skip_section = false;
    }
  g_free (expected);
  g_free (full_name);
}

static void
parse_setting (parser_t *parser, const char *text, int column)
{
  const char *section
      = parser->current != NULL ? parser->current->full_name : NULL;
  const char *equals = strchr (text, '=');
  if (equals == NULL || equals == text)
    {
      add_error (parser->errors, parser->line_number, column, section, NULL,
                 "\"%.40s\" is not a setting, expected KEY = VALUE, a "
                 "[section] or a comment after '#'",
                 text);
      return;
    }
  char *key = g_strchomp (g_strndup (text, (gsize)(equals - text)));
  char *value = g_strstrip (g_strdup (equals + 1));
  char *expected = NULL;
  const doc_key_t *row = NULL;
  if (section == NULL)
    add_error (parser->errors, parser->line_number, column, NULL, key,
               "key outside of a section, expected a [section] above it");
  else if ((row = doc_key_find (parser->current->type, key)) == NULL)
    {
      GString *known = g_string_new (NULL);
      size_t count;
      const doc_key_t *rows = doc_keys (&count);
      for (size_t i = 0; i < count; i++)
        if (rows[i].type == parser->current->type)
          g_string_append_printf (known, " %s", rows[i].name);
      add_error (parser->unknown, parser->line_number, column, section, key,
                 "unknown key, expected one of:%s", known->str);
      g_string_free (known, TRUE);
    }
  else if (g_hash_table_contains (parser->current->values, key))
    add_error (parser->errors, parser->line_number, column, section, key,
               "duplicate key, expected only one");
  else if (!doc_key_check (row, value, &expected))
    {
      const char *value_start = equals + 1;
      value_start += strspn (value_start, " \t");
      /* Hashes are not repeated in messages and logs.  */
      bool secret = row->kind == DOC_HASHES;
      add_error (parser->errors, parser->line_number,
                 column + (int)(value_start - text), section, key,
                 "%s%.40s%s, expected %s", secret ? "" : "\"",
                 secret ? "not a hash" : value, secret ? "" : "\"", expected);
    }
  else
    {
      setting_t *setting = g_new0 (setting_t, 1);
      setting->value = g_strdup (value);
      setting->line = parser->line_number;
      setting->column = column;
      g_hash_table_insert (parser->current->values, g_strdup (key), setting);
    }
  g_free (expected);
  g_free (key);
  g_free (value);
}

static void
parse_line (parser_t *parser, const char *line, size_t length)
{
  char *copy = g_strndup (line, length);
  char *text = g_strchomp (copy);
  int column = 1;
  while (*text == ' ' || *text == '\t')
    {
      text++;
      column++;
    }
  if (*text == '#')
    {
      if (parser->comment_start == NULL)
        parser->comment_start = line;
      g_free (copy);
      return;
    }
  if (*text == '[')
    parse_section_header (parser, line, text, column);
  else if (*text != '\0' && !parser->skip_section)
    parse_setting (parser, text, column);
  parser->comment_start = NULL;
  g_free (copy);
}

/* Checks that section "TYPE NAME" exists, to which SECTION refers by KEY or,
   if KEY is NULL, by its own name.  */
static void
check_reference (const doc_t *doc, const doc_section_t *section,
                 const char *key, doc_section_type_t type, const char *name,
                 GPtrArray *errors)
{
  char *wanted = g_strdup_printf ("%s %s", doc_section_type_name (type), name);
  const setting_t *setting
      = key != NULL ? g_hash_table_lookup (section->values, key) : NULL;
  if (!g_hash_table_contains (doc->section_by_name, wanted))
    add_error (errors, setting != NULL ? setting->line : section->line,
               setting != NULL ? setting->column : 1, section->full_name, key,
               "there is no section [%s], expected one", wanted);
  g_free (wanted);
}

/* Checks that need the other sections or several keys.  */
static void
check_section (const doc_t *doc, const doc_section_t *section,
               GPtrArray *errors)
{
  const char *owner = doc_section_owner (section);
  if (*owner != '\0')
    check_reference (doc, section, "owner", DOC_TEAM, owner, errors);
  if (section->type == DOC_OBJECTIVE)
    check_reference (doc, section, NULL, DOC_SERVICE, section->name, errors);
  if (section->type == DOC_ACCESS)
    {
      GHashTableIter iter;
      void *key;
      g_hash_table_iter_init (&iter, section->values);
      while (g_hash_table_iter_next (&iter, &key, NULL))
        if (g_str_has_prefix (key, "team-"))
          check_reference (doc, section, key, DOC_TEAM,
                           (char *)key + strlen ("team-"), errors);
    }
  if (section->type == DOC_SERVICE)
    {
      doc_service_t service;
      doc_service (doc, section->name, &service);
      if (service.connection_limit < service.request_limit)
        add_error (errors, section->line, 1, section->full_name,
                   "connection-limit",
                   "%u is below request-limit %u, expected at least as many "
                   "connections as requests",
                   service.connection_limit, service.request_limit);
    }
}

static doc_t *
doc_new (void)
{
  doc_t *doc = g_new0 (doc_t, 1);
  doc->reference_count = 1;
  doc->sections = g_ptr_array_new_with_free_func (section_free);
  doc->section_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  return doc;
}

/* Parses without the checks of check_section.  */
static doc_t *
parse_text (const char *text, size_t length, GPtrArray *errors,
            GPtrArray *unknown)
{
  unsigned errors_before = errors->len;
  const char *bad;
  if (length > DOC_MAX_BYTES)
    {
      add_error (errors, 0, 0, NULL, NULL,
                 "document of %zu bytes, expected at most %d", length,
                 DOC_MAX_BYTES);
      return NULL;
    }
  if (!g_utf8_validate_len (text, length, &bad))
    {
      int line = 1, column = 1;
      for (const char *c = text; c < bad; c++)
        {
          column = *c == '\n' ? 1 : column + 1;
          line += *c == '\n';
        }
      add_error (errors, line, column, NULL, NULL,
                 "byte 0x%02x, expected UTF-8 text without NUL",
                 (unsigned char)*bad);
      return NULL;
    }
  parser_t parser = { .doc = doc_new (),
                      .section_start = text,
                      .errors = errors,
                      .unknown = unknown };
  const char *end = text + length;
  for (const char *line = text; line < end;)
    {
      const char *stop = memchr (line, '\n', (size_t)(end - line));
      if (stop == NULL)
        stop = end;
      parser.line_number++;
      parse_line (&parser, line, (size_t)(stop - line));
      line = stop + 1;
    }
  close_section (&parser, end);
  if (errors->len == errors_before)
    return parser.doc;
  doc_unref (parser.doc);
  return NULL;
}

doc_t *
doc_parse_stored (const char *text, size_t length, GPtrArray *errors,
                  GPtrArray *unknown)
{
  unsigned errors_before = errors->len;
  doc_t *doc = parse_text (text, length, errors, unknown);
  if (doc == NULL)
    return NULL;
  for (unsigned i = 0; i < doc->sections->len; i++)
    check_section (doc, g_ptr_array_index (doc->sections, i), errors);
  if (errors->len == errors_before)
    return doc;
  doc_unref (doc);
  return NULL;
}

doc_t *
doc_parse (const char *text, size_t length, GPtrArray *errors)
{
  return doc_parse_stored (text, length, errors, errors);
}

doc_t *
doc_parse_partial (const char *text, size_t length, GPtrArray *errors)
{
  return parse_text (text, length, errors, errors);
}

doc_t *
doc_ref (doc_t *doc)
{
  doc->reference_count++;
  return doc;
}

void
doc_unref (doc_t *doc)
{
  if (doc == NULL || --doc->reference_count > 0)
    return;
  g_hash_table_destroy (doc->section_by_name);
  g_ptr_array_free (doc->sections, TRUE);
  g_free (doc);
}

/* Checks that TEXT holds section NAME and nothing else.  */
static bool
check_single_section (const char *name, const char *text, GPtrArray *errors)
{
  doc_t *parsed = parse_text (text, strlen (text), errors, errors);
  if (parsed == NULL)
    return false;
  bool valid
      = parsed->sections->len == 1 && doc_section (parsed, name) != NULL;
  if (!valid)
    add_error (errors, 1, 1, name, NULL,
               "the text holds %u sections, expected only [%s]",
               parsed->sections->len, name);
  doc_unref (parsed);
  return valid;
}

doc_t *
doc_replace_section (const doc_t *doc, const char *name, const char *text,
                     GPtrArray *errors)
{
  bool remove = text[strspn (text, " \t\r\n")] == '\0';
  if (!remove && !check_single_section (name, text, errors))
    return NULL;
  GString *whole = g_string_new (NULL);
  bool placed = remove;
  for (unsigned i = 0; doc != NULL && i < doc->sections->len; i++)
    {
      const doc_section_t *section = g_ptr_array_index (doc->sections, i);
      if (strcmp (section->full_name, name) != 0)
        g_string_append_printf (whole, "%s\n", section->text);
      else if (!placed)
        {
          g_string_append_printf (whole, "%s\n", text);
          placed = true;
        }
    }
  if (!placed)
    g_string_append_printf (whole, "%s\n", text);
  unsigned errors_before = errors->len;
  GPtrArray *unknown = doc_errors_new ();
  doc_t *result = doc_parse_stored (whole->str, whole->len, errors, unknown);
  g_ptr_array_free (unknown, TRUE);
  /* Line numbers of the joined text mean nothing to the author.  */
  for (unsigned i = errors_before; i < errors->len; i++)
    ((doc_error_t *)g_ptr_array_index (errors, i))->line = 0;
  g_string_free (whole, TRUE);
  return result;
}

void
doc_print (const doc_t *doc, GString *out)
{
  for (unsigned i = 0; i < doc->sections->len; i++)
    {
      const doc_section_t *section = g_ptr_array_index (doc->sections, i);
      g_string_append_printf (out, "%s%s", i > 0 ? "\n" : "", section->text);
    }
}

size_t
doc_section_count (const doc_t *doc)
{
  return doc->sections->len;
}

const doc_section_t *
doc_section_at (const doc_t *doc, size_t index)
{
  return g_ptr_array_index (doc->sections, index);
}

const doc_section_t *
doc_section (const doc_t *doc, const char *name)
{
  return doc != NULL ? g_hash_table_lookup (doc->section_by_name, name) : NULL;
}

const char *
doc_section_full_name (const doc_section_t *section)
{
  return section->full_name;
}

const char *
doc_section_name (const doc_section_t *section)
{
  return section->name;
}

doc_section_type_t
doc_section_type (const doc_section_t *section)
{
  return section->type;
}

const char *
doc_section_text (const doc_section_t *section)
{
  return section->text;
}

const char *
doc_section_owner (const doc_section_t *section)
{
  const char *owner = doc_section_value (section, "owner");
  return owner != NULL ? owner : "";
}

const char *
doc_section_value (const doc_section_t *section, const char *key)
{
  const setting_t *setting = g_hash_table_lookup (section->values, key);
  if (setting != NULL)
    return setting->value;
  const doc_key_t *row = doc_key_find (section->type, key);
  return row != NULL ? row->default_value : NULL;
}
