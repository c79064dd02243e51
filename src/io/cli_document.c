#include "cli.h"
#include "doc.h"

#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

/* Start of the comment line that "get" prints before each section: its version
   and a checksum of its text.  With them, "apply" sends the version that the
   author edited, and skips a section that the author left as it was, even if
   somebody else has changed it since.  */
#define VERSION_MARK "#: version "
/* Hex digits; repeated as the width in the sscanf format of take_mark.  */
#define CHECKSUM_DIGITS 12

const option_t cli_document_read_options[] = {
  CLI_SERVER_OPTIONS ("text|json"),
  { NULL, 0, 0, NULL, false, 0, 0, NULL, NULL },
};

const option_t cli_document_apply_options[] = {
  CLI_SERVER_OPTIONS ("text|json"),
  { "why", OPTION_TEXT, offsetof (cli_settings_t, why), NULL, false, 0, 0,
    NULL, "Reason, kept in the history" },
  { "prune", OPTION_FLAG, offsetof (cli_settings_t, prune), NULL, false, 0, 0,
    NULL, "Also remove the sections that FILE does not have" },
  { "force", OPTION_FLAG, offsetof (cli_settings_t, force), NULL, false, 0, 0,
    NULL, "Skip the checks against current use (operators only)" },
  { NULL, 0, 0, NULL, false, 0, 0, NULL, NULL },
};

static const option_t check_options[] = {
  { NULL, 0, 0, NULL, false, 0, 0, NULL, NULL },
};

/* A section of the author's file, or one to remove, next to the current
   section of this name.  */
typedef struct
{
  char *name;
  char *text;            /* without the version mark; "": to be removed */
  int64_t version;       /* on which the edit is based */
  const json_t *current; /* borrowed; NULL: there is none */
  bool needed;           /* differs from the current text and was edited */
  doc_section_type_t type;
} section_edit_t;

/* Returns the first CHECKSUM_DIGITS of the SHA-256 of TEXT in hex.  */
static char *
checksum (const char *text)
{
  char *sum = g_compute_checksum_for_string (G_CHECKSUM_SHA256, text, -1);
  sum[CHECKSUM_DIGITS] = '\0';
  return sum;
}

/* Removes the line of the version mark from TEXT.  Returns whether there is
   one with a version and a checksum.  */
static bool
take_mark (char *text, int64_t *version, char sum[CHECKSUM_DIGITS + 1])
{
  char *line = strstr (text, VERSION_MARK);
  if (line == NULL || (line != text && line[-1] != '\n'))
    return false;
  bool valid
      = sscanf (line + strlen (VERSION_MARK), "%" SCNd64 " %12s", version, sum)
        == 2;
  char *end = strchr (line, '\n');
  if (end != NULL)
    memmove (line, end + 1, strlen (end + 1) + 1);
  return valid;
}

/* Reads and parses FILE; prints its errors and returns NULL if it has any.  In
   a PARTIAL document, sections may refer to sections that are not in FILE.  */
static doc_t *
parse_file (const cli_settings_t *settings, const char *file, bool partial)
{
  char *text = cli_read_file (settings, file);
  if (text == NULL)
    return NULL;
  GPtrArray *errors = doc_errors_new ();
  doc_t *doc = partial ? doc_parse_partial (text, strlen (text), errors)
                       : doc_parse (text, strlen (text), errors);
  for (unsigned i = 0; i < errors->len; i++)
    {
      GString *line = g_string_new (NULL);
      doc_error_print (g_ptr_array_index (errors, i), line);
      cli_fail (settings, "%s: %s", file, line->str);
      g_string_free (line, TRUE);
    }
  g_ptr_array_free (errors, TRUE);
  g_free (text);
  return doc;
}

static int
run_check (const cli_settings_t *settings, char **rest)
{
  doc_t *doc = parse_file (settings, rest[0], false);
  if (doc == NULL)
    return 1;
  printf ("%s: %zu sections, no errors\n", rest[0], doc_section_count (doc));
  doc_unref (doc);
  return 0;
}

static void
print_marked (const json_t *section, bool first)
{
  const char *text = cli_json_text (section, "text");
  if (*text == '\0')
    return;
  char *sum = checksum (text);
  printf ("%s" VERSION_MARK "%" PRId64 " %s\n%s", first ? "" : "\n",
          cli_json_number (section, "version"), sum, text);
  g_free (sum);
}

static int
run_get (const cli_settings_t *settings, char **rest)
{
  json_t *answer;
  char *escaped
      = rest[0] != NULL ? g_uri_escape_string (rest[0], NULL, FALSE) : NULL;
  char *path = escaped != NULL ? g_strconcat ("/v1/document/", escaped, NULL)
                               : g_strdup ("/v1/document");
  bool done = cli_call_json (settings, "GET", path, NULL, &answer);
  g_free (path);
  g_free (escaped);
  if (!done)
    return 1;
  if (strcmp (settings->format, "json") == 0)
    cli_print_json (answer);
  else if (rest[0] != NULL)
    print_marked (answer, true);
  else
    {
      size_t index;
      json_t *section;
      json_array_foreach (json_object_get (answer, "sections"), index, section)
          print_marked (section, index == 0);
    }
  json_decref (answer);
  return 0;
}

static void
section_edit_free (void *data)
{
  section_edit_t *edit = data;
  g_free (edit->name);
  g_free (edit->text);
  g_free (edit);
}

static const json_t *
find_current (const json_t *current_json, const char *name)
{
  size_t index;
  json_t *section;
  json_array_foreach (
      json_object_get (current_json, "sections"), index,
      section) if (strcmp (cli_json_text (section, "section"), name)
                   == 0) return section;
  return NULL;
}

static section_edit_t *
section_edit_new (const json_t *current_json, const char *name,
                  const char *text, doc_section_type_t type)
{
  section_edit_t *edit = g_new0 (section_edit_t, 1);
  edit->name = g_strdup (name);
  edit->text = g_strdup (text);
  edit->type = type;
  edit->current = find_current (current_json, name);
  edit->version = cli_json_number (edit->current, "version");
  return edit;
}

/* Order of applying: sections to write, each after those that it refers to,
   then sections to remove, each before those that it refers to.  */
static int
compare_apply_order (const void *a, const void *b)
{
  static const int order[DOC_SECTION_TYPE_COUNT] = {
    [DOC_FLEET] = 0,   [DOC_ZONE] = 1,      [DOC_CLASS] = 2,  [DOC_TEAM] = 3,
    [DOC_SERVICE] = 4, [DOC_OBJECTIVE] = 5, [DOC_ACCESS] = 6,
  };
  const section_edit_t *left = *(const section_edit_t *const *)a;
  const section_edit_t *right = *(const section_edit_t *const *)b;
  bool left_removed = left->text[0] == '\0';
  bool right_removed = right->text[0] == '\0';
  if (left_removed != right_removed)
    return left_removed - right_removed;
  int difference = order[left->type] - order[right->type];
  return left_removed ? -difference : difference;
}

/* Lists all sections of the author's file and, with --prune, those to remove,
   in the order of applying.  */
static GPtrArray *
list_edits (const cli_settings_t *settings, const doc_t *file_doc,
            const json_t *current_json)
{
  GPtrArray *edits = g_ptr_array_new_with_free_func (section_edit_free);
  for (size_t i = 0; i < doc_section_count (file_doc); i++)
    {
      const doc_section_t *section = doc_section_at (file_doc, i);
      section_edit_t *edit = section_edit_new (
          current_json, doc_section_full_name (section),
          doc_section_text (section), doc_section_type (section));
      int64_t marked_version;
      char sum[CHECKSUM_DIGITS + 1] = "";
      bool marked = take_mark (edit->text, &marked_version, sum);
      char *file_sum = checksum (edit->text);
      edit->needed
          = strcmp (edit->text, cli_json_text (edit->current, "text")) != 0
            && !(marked && strcmp (file_sum, sum) == 0);
      if (marked && edit->needed)
        edit->version = marked_version;
      g_free (file_sum);
      g_ptr_array_add (edits, edit);
    }
  size_t index;
  json_t *current_section;
  json_array_foreach (json_object_get (current_json, "sections"), index,
                      current_section)
  {
    const char *name = cli_json_text (current_section, "section");
    if (!settings->prune || doc_section (file_doc, name) != NULL
        || cli_json_text (current_section, "text")[0] == '\0')
      continue;
    doc_section_type_t type = DOC_ACCESS;
    for (unsigned i = 0; i < DOC_SECTION_TYPE_COUNT; i++)
      if (strncmp (doc_section_type_name ((doc_section_type_t)i), name,
                   strcspn (name, " "))
          == 0)
        type = (doc_section_type_t)i;
    section_edit_t *edit = section_edit_new (current_json, name, "", type);
    edit->needed = true;
    g_ptr_array_add (edits, edit);
  }
  g_ptr_array_sort (edits, compare_apply_order);
  return edits;
}

/* Parses the current sections; NULL if they have errors.  */
static doc_t *
parse_document (const json_t *current_json)
{
  GString *text = g_string_new (NULL);
  size_t index;
  json_t *section;
  json_array_foreach (json_object_get (current_json, "sections"), index,
                      section)
      g_string_append_printf (text, "%s\n", cli_json_text (section, "text"));
  GPtrArray *errors = doc_errors_new ();
  doc_t *doc = doc_parse_stored (text->str, text->len, errors, errors);
  g_ptr_array_free (errors, TRUE);
  g_string_free (text, TRUE);
  return doc;
}

static void
print_diff (const section_edit_t *edit, const doc_t *before,
            const doc_t *after)
{
  const doc_section_t *old_section = doc_section (before, edit->name);
  const doc_section_t *new_section = doc_section (after, edit->name);
  GString *out = g_string_new (NULL);
  bool differs = doc_diff (old_section, new_section, out);
  printf ("[%s] version %" PRId64 "%s\n%s", edit->name, edit->version,
          old_section == NULL   ? ", new"
          : new_section == NULL ? ", removed"
          : !differs            ? ", only comments or order"
                                : "",
          out->str);
  g_string_free (out, TRUE);
}

static int
apply_section (const cli_settings_t *settings, const section_edit_t *edit)
{
  char *name = g_uri_escape_string (edit->name, NULL, FALSE);
  char *why = g_uri_escape_string (settings->why != NULL ? settings->why : "",
                                   NULL, FALSE);
  char *path = g_strdup_printf ("/v1/document/%s?version=%" PRId64 "&why=%s%s",
                                name, edit->version, why,
                                settings->force ? "&force=true" : "");
  json_t *answer;
  bool done = cli_call_json (settings, "PUT", path, edit->text, &answer);
  /* The answer does not count the entry that gives it: add 1.  */
  if (done)
    printf ("[%s] version %" PRId64 ", revision %" PRId64
            ", in force at %" PRId64 " of %" PRId64 " connected entries\n",
            edit->name, cli_json_number (answer, "version"),
            cli_json_number (answer, "revision"),
            cli_json_number (answer, "confirmed") + 1,
            cli_json_number (answer, "reachable") + 1);
  else
    cli_fail (settings, "[%s] was not applied", edit->name);
  json_decref (answer);
  g_free (path);
  g_free (why);
  g_free (name);
  return done ? 0 : 1;
}

/* Prints, or applies, the edits in FILE.  */
static int
diff_or_apply (const cli_settings_t *settings, const char *file, bool apply)
{
  doc_t *file_doc = parse_file (settings, file, !settings->prune);
  json_t *current_json = NULL;
  int code = 1;
  unsigned edit_count = 0;
  if (file_doc == NULL
      || !cli_call_json (settings, "GET", "/v1/document", NULL, &current_json))
    goto out;
  code = 0;
  GPtrArray *edits = list_edits (settings, file_doc, current_json);
  doc_t *current_doc = parse_document (current_json);
  for (unsigned i = 0; i < edits->len && code == 0; i++)
    {
      const section_edit_t *edit = g_ptr_array_index (edits, i);
      if (!edit->needed)
        continue;
      edit_count++;
      if (apply)
        code = apply_section (settings, edit);
      else
        print_diff (edit, current_doc, file_doc);
    }
  doc_unref (current_doc);
  g_ptr_array_free (edits, TRUE);
  if (edit_count == 0)
    printf ("%s: nothing differs from revision %" PRId64 "\n", file,
            cli_json_number (current_json, "revision"));
out:
  json_decref (current_json);
  doc_unref (file_doc);
  return code;
}

static int
run_diff (const cli_settings_t *settings, char **rest)
{
  return diff_or_apply (settings, rest[0], false);
}

static int
run_apply (const cli_settings_t *settings, char **rest)
{
  return diff_or_apply (settings, rest[0], true);
}

static doc_t *
parse_version (const json_t *row)
{
  const char *text = cli_json_text (row, "text");
  GPtrArray *errors = doc_errors_new ();
  doc_t *doc = doc_parse_partial (text, strlen (text), errors);
  g_ptr_array_free (errors, TRUE);
  return doc;
}

/* Prints each version of section NAME with the keys that it changed.  */
static void
print_history (const json_t *rows, const char *name)
{
  doc_t *before = NULL;
  size_t index;
  json_t *row;
  json_array_foreach (rows, index, row)
  {
    const char *who = cli_json_text (row, "who");
    printf ("version %" PRId64 "  %s  %s  %s%s\n",
            cli_json_number (row, "version"), cli_json_text (row, "when"),
            *who != '\0' ? who : "(tokens off)", cli_json_text (row, "why"),
            cli_json_text (row, "text")[0] == '\0' ? "  (removed)" : "");
    doc_t *after = parse_version (row);
    GString *diff = g_string_new (NULL);
    doc_diff (doc_section (before, name), doc_section (after, name), diff);
    char **lines = g_strsplit (diff->str, "\n", -1);
    for (char **line = lines; *line != NULL && **line != '\0'; line++)
      printf ("    %s\n", *line);
    g_strfreev (lines);
    g_string_free (diff, TRUE);
    doc_unref (before);
    before = after;
  }
  doc_unref (before);
}

static int
run_history (const cli_settings_t *settings, char **rest)
{
  char *escaped = g_uri_escape_string (rest[0], NULL, FALSE);
  char *path = g_strconcat ("/v1/document/", escaped, "/history", NULL);
  json_t *answer;
  bool done = cli_call_json (settings, "GET", path, NULL, &answer);
  g_free (path);
  g_free (escaped);
  if (!done)
    return 1;
  if (strcmp (settings->format, "json") == 0)
    cli_print_json (answer);
  else
    print_history (json_object_get (answer, "history"), rest[0]);
  json_decref (answer);
  return 0;
}

static int
run_status (const cli_settings_t *settings, char **rest)
{
  json_t *answer;
  if (!cli_call_json (settings, "GET", "/v1/status", NULL, &answer))
    return 1;
  const json_t *config = json_object_get (answer, "config");
  const json_t *unconfirmed = json_object_get (answer, "unconfirmed");
  if (strcmp (settings->format, "json") == 0)
    {
      json_t *out = json_pack ("{s:O?,s:O?,s:O?}", "config", config, "zones",
                               json_object_get (answer, "zones"),
                               "unconfirmed", unconfirmed);
      cli_print_json (out);
      json_decref (out);
    }
  else
    {
      printf ("revision %" PRId64 " from %s\n",
              cli_json_number (config, "revision"),
              cli_json_text (config, "source"));
      size_t index;
      json_t *zone, *entry;
      json_array_foreach (json_object_get (answer, "zones"), index, zone)
          printf ("zone %s: in force at %" PRId64 " of %" PRId64 " entries\n",
                  cli_json_text (zone, "zone"),
                  cli_json_number (zone, "confirmed"),
                  cli_json_number (zone, "entries"));
      json_array_foreach (unconfirmed, index, entry)
          printf ("not confirmed: entry %s\n", json_string_value (entry));
    }
  json_decref (answer);
  return 0;
}

static const struct
{
  const char *name;
  const option_t *options;
  unsigned min, max; /* number of arguments */
  const char *arguments;
  int (*run) (const cli_settings_t *settings, char **rest);
  const char *summary;
} actions[] = {
  { "get", cli_document_read_options, 0, 1, "[SECTION]", run_get,
    "prints the document in force, or one section, ready to edit and apply" },
  { "check", check_options, 1, 1, "FILE", run_check,
    "checks a file without a server" },
  { "diff", cli_document_apply_options, 1, 1, "FILE", run_diff,
    "prints what apply would change; FILE may hold some sections only" },
  { "apply", cli_document_apply_options, 1, 1, "FILE", run_apply,
    "applies the changed sections; FILE may hold some sections only" },
  { "history", cli_document_read_options, 1, 1, "SECTION", run_history,
    "prints the versions of a section and what each changed" },
  { "status", cli_document_read_options, 0, 0, "", run_status,
    "prints where the revision is in force" },
};

static void
print_actions (FILE *out)
{
  fputs ("usage: magnoliadock document ACTION [OPTION...]\n\nactions:\n", out);
  for (size_t i = 0; i < G_N_ELEMENTS (actions); i++)
    fprintf (out, "  %-8s %-10s %s\n", actions[i].name, actions[i].arguments,
             actions[i].summary);
  fputs ("\nA SECTION is a name like \"service ordering\".  magnoliadock "
         "document ACTION --help\nprints the options.\n",
         out);
}

int
cli_document (int argc, char **argv)
{
  cli_settings_t settings = { .command = "document" };
  const char *name = argc > 1 ? argv[1] : "";
  size_t i = 0;
  if (strcmp (name, "--help") == 0 || strcmp (name, "help") == 0)
    {
      print_actions (stdout);
      return 0;
    }
  while (i < G_N_ELEMENTS (actions) && strcmp (actions[i].name, name) != 0)
    i++;
  if (i == G_N_ELEMENTS (actions))
    return cli_usage_error (&settings,
                            "\"%s\": expected one of get, check, diff, apply, "
                            "history, status",
                            name);
  char *command = g_strconcat ("document ", name, NULL);
  char *summary = g_strconcat (command, " ", actions[i].arguments, ": ",
                               actions[i].summary, ".", NULL);
  settings.command = argv[1] = command;
  char **rest = NULL;
  int code = 2;
  if (options_parse (actions[i].options, &settings, summary, argc - 1,
                     argv + 1, &rest))
    {
      unsigned count = g_strv_length (rest);
      if (count < actions[i].min || count > actions[i].max)
        code = cli_usage_error (&settings, "%u arguments, expected %s", count,
                                actions[i].max == 0 ? "none"
                                                    : actions[i].arguments);
      else
        code = actions[i].run (&settings, rest);
    }
  g_strfreev (rest);
  options_clear (actions[i].options, &settings);
  g_free (summary);
  g_free (command);
  return code;
}
