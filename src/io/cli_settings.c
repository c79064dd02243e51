#include "bench.h"
#include "cli.h"
#include "doc_keys.h"
#include "entry.h"
#include "settings_page.h"

#include <stdio.h>
#include <string.h>

static const struct
{
  const char *commands;
  const option_t *options;
} tables[] = {
  { "entry", entry_options },
  { "document get, history, status", cli_document_read_options },
  { "document diff, apply", cli_document_apply_options },
  { "status", cli_status_options },
  { "submit, cancel, explain", cli_jobs_options },
  { "report", cli_report_options },
  { "hash-token", cli_token_options },
  { "bench http", bench_http_options },
};

/* Appends TEXT to a Markdown table cell; escapes '|', which would end it.  */
static void
append_cell (GString *out, const char *text)
{
  for (; *text != '\0'; text++)
    {
      if (*text == '|')
        g_string_append_c (out, '\\');
      g_string_append_c (out, *text);
    }
}

/* Appends a description of the values that OPTION accepts.  */
static void
append_values (GString *out, const option_t *option)
{
  switch (option->kind)
    {
    case OPTION_TEXT:
      g_string_append (out, "text");
      break;
    case OPTION_URL:
      g_string_append (out, "http://HOST[:PORT][/PATH]");
      break;
    case OPTION_ADDRESS:
      g_string_append (out, "IP:PORT");
      break;
    case OPTION_CHOICE:
      append_cell (out, option->choices);
      break;
    case OPTION_INTEGER:
    case OPTION_REAL:
      g_string_append_printf (out,
                              "%s%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
                              option->kind == OPTION_REAL ? "decimal, " : "",
                              option->min, option->max);
      break;
    case OPTION_FLAG:
      g_string_append (out, "no value; variable: true or false");
      break;
    }
}

static void
append_options (GString *out, const char *commands, const option_t *options)
{
  g_string_append_printf (out,
                          "\n### %s\n\n| flag | variable | values | default | "
                          "meaning |\n|---|---|---|---|---|\n",
                          commands);
  for (const option_t *option = options; option->name != NULL; option++)
    {
      char *variable = g_ascii_strup (option->name, -1);
      g_strdelimit (variable, "-", '_');
      g_string_append_printf (out, "| `--%s` | `MAGNOLIADOCK_%s` | ",
                              option->name, variable);
      append_values (out, option);
      const char *initial
          = option->default_text != NULL ? option->default_text : "";
      g_string_append_printf (out, " | %s | ",
                              option->required ? "required" : initial);
      append_cell (out, option->help);
      g_string_append (out, " |\n");
      g_free (variable);
    }
}

static void
append_key (GString *out, const doc_key_t *key)
{
  g_string_append_printf (out, "| `%s` | ", key->name);
  switch (key->kind)
    {
    case DOC_INT:
    case DOC_REAL:
      g_string_append_printf (out, "%g to %g%s", key->min, key->max,
                              key->kind == DOC_REAL ? ", decimal" : "");
      break;
    case DOC_NAME:
      g_string_append (out, "a name");
      break;
    case DOC_CHOICE:
      append_cell (out, key->unit_or_choices);
      break;
    case DOC_HASHES:
      g_string_append (out, "hashes, separated by ;");
      break;
    }
  bool has_unit = key->kind != DOC_CHOICE && key->unit_or_choices != NULL;
  g_string_append_printf (
      out, " | %s | %s | %s |\n", has_unit ? key->unit_or_choices : "",
      key->default_value != NULL ? key->default_value : "", key->summary);
}

static void
append_keys (GString *out)
{
  size_t count;
  const doc_key_t *keys = doc_keys (&count);
  for (unsigned type = 0; type < DOC_SECTION_TYPE_COUNT; type++)
    {
      bool named = type != DOC_ACCESS && type != DOC_FLEET;
      g_string_append_printf (out,
                              "\n### [%s%s]\n\n| key | values | unit | "
                              "default | meaning |\n|---|---|---|---|---|\n",
                              doc_section_type_name ((doc_section_type_t)type),
                              named ? " NAME" : "");
      for (size_t i = 0; i < count; i++)
        if (keys[i].type == type)
          append_key (out, &keys[i]);
    }
}

void
settings_page_append (GString *out)
{
  g_string_append (
      out, "# Settings\n\nPrinted by `magnoliadock settings`; a unit test "
           "compares this page with it.\n\n## Flags and environment "
           "variables\n\nA flag wins over its variable. Every value is "
           "checked; the message names the flag, the value\nand what was "
           "expected.\n");
  for (size_t i = 0; i < G_N_ELEMENTS (tables); i++)
    append_options (out, tables[i].commands, tables[i].options);
  g_string_append (
      out, "\n## Keys of the configuration document\n\nIn force within 5 s at "
           "every entry, without a restart. A changed `request-limit` or "
           "`connection-limit`\napplies to the processes of the service that "
           "start after it. The weight of a class defaults\nto 50 (urgent), "
           "35 (standard) and 15 (bulk).\n");
  append_keys (out);
}

int
cli_settings (int argc, char **argv)
{
  static const option_t none[] = {
    { NULL, 0, 0, NULL, false, 0, 0, NULL, NULL },
  };
  cli_settings_t settings = { .command = argv[0] };
  if (!options_parse (none, &settings,
                      "settings: prints every flag, environment variable and "
                      "key of the document.",
                      argc, argv, NULL))
    return 2;
  GString *out = g_string_new (NULL);
  settings_page_append (out);
  fputs (out->str, stdout);
  g_string_free (out, TRUE);
  return 0;
}
