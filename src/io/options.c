#include "options.h"

#include "error.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Longest text value: no setting needs more, and error messages stay short. */
#define MAX_TEXT_BYTES 4096

typedef struct
{
  const option_t *options;
  void *settings;
  bool *given; /* for each option: a flag has set it */
} parse_t;

static char **
text_field (const option_t *option, void *settings)
{
  return (char **)((char *)settings + option->offset);
}

bool
options_parse_address (const char *text, uint32_t *ip, uint16_t *port)
{
  const char *colon = strrchr (text, ':');
  char host[INET_ADDRSTRLEN];
  struct in_addr parsed;
  guint64 number;
  if (colon == NULL || (size_t)(colon - text) >= sizeof host)
    return false;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  if (inet_pton (AF_INET, host, &parsed) != 1
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, G_MAXUINT16, &number,
                                      NULL))
    return false;
  *ip = parsed.s_addr;
  *port = (uint16_t)number;
  return true;
}

static bool
is_url (const char *text)
{
  static const char scheme[] = "http://";
  if (strncmp (text, scheme, strlen (scheme)) != 0)
    return false;
  text += strlen (scheme);
  if (text[0] == '\0' || text[0] == '/' || text[0] == ':')
    return false;
  for (const char *at = text; *at; at++)
    if (*at <= ' ' || *at >= 0x7f || strchr ("\"<>\\^`{|}#?", *at) != NULL)
      return false;
  return true;
}

static bool
is_choice (const char *choices, const char *text)
{
  char **names = g_strsplit (choices, "|", 0);
  bool found = g_strv_contains ((const char *const *)names, text);
  g_strfreev (names);
  return found;
}

/* Replaces the text of the field; removes a trailing '/' of a URL.  Returns
   true.  */
static bool
store_text (const option_t *option, void *settings, const char *text)
{
  char **field = text_field (option, settings);
  g_free (*field);
  *field = g_strdup (text);
  size_t length = strlen (text);
  if (option->kind == OPTION_URL && text[length - 1] == '/')
    (*field)[length - 1] = '\0';
  return true;
}

/* Stores TEXT in the field of OPTION.  Returns whether it is valid; *EXPECTED
   says what is, owned by the caller.  */
static bool
store_value (const option_t *option, void *settings, const char *text,
             char **expected)
{
  void *field = (char *)settings + option->offset;
  uint32_t ip;
  uint16_t port;
  char *end;
  double real;
  switch (option->kind)
    {
    case OPTION_TEXT:
      *expected
          = g_strdup_printf ("1 to %d bytes of UTF-8 text", MAX_TEXT_BYTES);
      return text[0] != '\0' && strlen (text) <= MAX_TEXT_BYTES
             && g_utf8_validate (text, -1, NULL)
             && store_text (option, settings, text);
    case OPTION_URL:
      *expected = g_strdup ("http://HOST[:PORT][/PATH]");
      return is_url (text) && store_text (option, settings, text);
    case OPTION_ADDRESS:
      *expected = g_strdup ("IP:PORT such as 127.0.0.1:8080");
      return options_parse_address (text, &ip, &port)
             && store_text (option, settings, text);
    case OPTION_CHOICE:
      *expected = g_strdup_printf ("one of %s", option->choices);
      return is_choice (option->choices, text)
             && store_text (option, settings, text);
    case OPTION_INTEGER:
      *expected = g_strdup_printf ("a whole number from %" G_GINT64_FORMAT
                                   " to %" G_GINT64_FORMAT,
                                   option->min, option->max);
      return g_ascii_string_to_signed (text, 10, option->min, option->max,
                                       (gint64 *)field, NULL);
    case OPTION_REAL:
      *expected = g_strdup_printf ("a number from %" G_GINT64_FORMAT
                                   " to %" G_GINT64_FORMAT,
                                   option->min, option->max);
      real = g_ascii_strtod (text, &end);
      if (end == text || *end != '\0' || !(real >= (double)option->min)
          || !(real <= (double)option->max))
        return false;
      *(double *)field = real;
      return true;
    case OPTION_FLAG:
      *expected = g_strdup ("true or false");
      *(bool *)field = strcmp (text, "true") == 0;
      return *(bool *)field || strcmp (text, "false") == 0;
    }
  return false;
}

/* The same with a GError that names SOURCE (the flag or the variable).  */
static bool
store_value_from (const option_t *option, void *settings, const char *source,
                  const char *text, GError **error)
{
  char *expected = NULL;
  bool valid = store_value (option, settings, text, &expected);
  if (!valid)
    g_set_error (error, ERROR_DOMAIN, ERR_USAGE,
                 "%s: invalid value \"%.200s\", expected %s", source, text,
                 expected);
  g_free (expected);
  return valid;
}

/* Callback of GOption: stores the value of one flag.  */
static gboolean
on_flag (const gchar *flag, const gchar *value, gpointer data, GError **error)
{
  parse_t *parse = data;
  const char *name = flag + strspn (flag, "-");
  for (size_t i = 0; parse->options[i].name; i++)
    if (strcmp (parse->options[i].name, name) == 0)
      {
        parse->given[i] = true;
        return store_value_from (&parse->options[i], parse->settings, flag,
                                 value ? value : "true", error);
      }
  return FALSE;
}

/* Returns the environment variable of the flag NAME; free with g_free.  */
static char *
variable_name (const char *name)
{
  char *variable = g_strconcat ("MAGNOLIADOCK_", name, NULL);
  for (char *at = variable; *at; at++)
    *at = *at == '-' ? '_' : g_ascii_toupper (*at);
  return variable;
}

/* Sets the options without a flag from the environment or to the default.  */
static bool
fill_missing (const parse_t *parse, GError **error)
{
  for (size_t i = 0; parse->options[i].name; i++)
    {
      const option_t *option = &parse->options[i];
      if (parse->given[i])
        continue;
      char *variable = variable_name (option->name);
      const char *value = getenv (variable);
      bool valid = true;
      if (value != NULL)
        valid = store_value_from (option, parse->settings, variable, value,
                                  error);
      else if (option->default_text != NULL)
        valid = store_value_from (option, parse->settings, option->name,
                                  option->default_text, error);
      else if (option->required)
        {
          g_set_error (error, ERROR_DOMAIN, ERR_USAGE,
                       "--%s (or %s) is required: %s", option->name, variable,
                       option->help);
          valid = false;
        }
      g_free (variable);
      if (!valid)
        return false;
    }
  return true;
}

static GOptionEntry *
make_entries (const option_t *options, size_t count)
{
  GOptionEntry *entries = g_new0 (GOptionEntry, count + 1);
  for (size_t i = 0; i < count; i++)
    {
      entries[i].long_name = options[i].name;
      entries[i].arg = G_OPTION_ARG_CALLBACK;
      entries[i].arg_data = (gpointer)on_flag;
      entries[i].description = options[i].help;
      if (options[i].kind == OPTION_FLAG)
        entries[i].flags = G_OPTION_FLAG_NO_ARG;
      else
        entries[i].arg_description = "VALUE";
    }
  return entries;
}

bool
options_parse (const option_t *options, void *settings, const char *summary,
               int argc, char **argv, char ***rest)
{
  size_t count = 0;
  while (options[count].name)
    count++;
  parse_t parse = { options, settings, g_new0 (bool, count + 1) };
  GOptionEntry *entries = make_entries (options, count);
  char **arguments = g_new0 (char *, (size_t)argc + 1);
  for (int i = 0; i < argc; i++)
    arguments[i] = g_strdup (argv[i]);

  GError *error = NULL;
  GOptionContext *context = g_option_context_new (rest ? "ARGUMENT..." : NULL);
  GOptionGroup *group = g_option_group_new ("main", "", "", &parse, NULL);
  g_option_group_add_entries (group, entries);
  g_option_context_set_main_group (context, group);
  g_option_context_set_summary (context, summary);
  bool valid = g_option_context_parse_strv (context, &arguments, &error)
               && fill_missing (&parse, &error);
  if (valid && rest == NULL && arguments[0] != NULL && arguments[1] != NULL)
    {
      g_set_error (&error, ERROR_DOMAIN, ERR_USAGE,
                   "unexpected argument \"%.200s\"", arguments[1]);
      valid = false;
    }
  if (valid && rest != NULL)
    *rest = g_strdupv (arguments[0] != NULL ? arguments + 1 : arguments);
  if (!valid)
    fprintf (stderr, "magnoliadock %s: %s\n", argv[0], error->message);
  g_clear_error (&error);
  g_option_context_free (context);
  g_strfreev (arguments);
  g_free (entries);
  g_free (parse.given);
  return valid;
}

void
options_clear (const option_t *options, void *settings)
{
  for (; options->name; options++)
    if (options->kind <= OPTION_CHOICE)
      g_clear_pointer (text_field (options, settings), g_free);
}
