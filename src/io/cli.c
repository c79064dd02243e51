#include "cli.h"
#include "error.h"

#include <curl/curl.h>
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CALL_TIMEOUT_S 20L
#define CONNECT_TIMEOUT_S 5L
/* Of an answer or of an input file.  */
#define MAX_INPUT_BYTES ((size_t)16 * 1024 * 1024)

static const char outcome_unknown_text[]
    = "it is not known whether this was carried out";

/* Prints each line of MESSAGE after the command's name; frees MESSAGE.  */
static void
print_lines (const cli_settings_t *settings, char *message)
{
  char **lines = g_strsplit (g_strchomp (message), "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    fprintf (stderr, "magnoliadock %s: %s\n", settings->command, *line);
  g_strfreev (lines);
  g_free (message);
}

int
cli_fail (const cli_settings_t *settings, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  print_lines (settings, g_strdup_vprintf (format, args));
  va_end (args);
  return 1;
}

int
cli_usage_error (const cli_settings_t *settings, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *message = g_strdup_vprintf (format, args);
  va_end (args);
  print_lines (settings, g_strconcat (message, " (see --help)", NULL));
  g_free (message);
  return 2;
}

/* Write callback of libcurl; returning 0 aborts the transfer.  */
static size_t
append_answer (char *data, size_t size, size_t count, void *context)
{
  GString *answer = context;
  if (answer->len + size * count > MAX_INPUT_BYTES)
    return 0;
  g_string_append_len (answer, data, (gssize)(size * count));
  return size * count;
}

/* Adds the Authorization header if there is a token file.  Returns false after
   printing the reason if the file is unusable.  */
static bool
add_token (const cli_settings_t *settings, struct curl_slist **headers)
{
  if (settings->token_file == NULL || settings->token_file[0] == '\0')
    return true;
  char *token = cli_read_file (settings, settings->token_file);
  if (token == NULL)
    return false;
  g_strstrip (token);
  bool valid = strchr (token, ':') != NULL && strpbrk (token, " \r\n") == NULL;
  if (valid)
    {
      char *header = g_strconcat ("Authorization: Bearer ", token, NULL);
      *headers = curl_slist_append (*headers, header);
      g_free (header);
    }
  else
    cli_fail (settings, "%s: expected one line NAME:SECRET",
              settings->token_file);
  g_free (token);
  return valid;
}

/* Prints the error kind and message that an entry answered with, or the HTTP
   status if BODY has none.  */
static void
print_refusal (const cli_settings_t *settings, long status, const char *body)
{
  json_t *error = json_loads (body, 0, NULL);
  const char *kind = cli_json_text (error, "error");
  const char *message = cli_json_text (error, "message");
  if (*kind == '\0')
    cli_fail (settings, "%s: HTTP status %ld, expected the answer of an entry",
              settings->url, status);
  else
    {
      char **lines = g_strsplit (message, "\n", -1);
      for (char **line = lines; *line != NULL; line++)
        cli_fail (settings, "%s: %s", kind, *line);
      g_strfreev (lines);
    }
  if (strcmp (cli_json_text (error, "outcome"), "unknown") == 0)
    cli_fail (settings, "%s", outcome_unknown_text);
  json_decref (error);
}

bool
cli_call (const cli_settings_t *settings, const char *method, const char *path,
          const char *body, char **answer)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  GString *text = g_string_new (NULL);
  char *url = g_strconcat (settings->url, path, NULL);
  bool done = false;
  CURL *curl = curl_easy_init ();
  if (!add_token (settings, &headers))
    goto out;
  headers = curl_slist_append (headers, body != NULL && *body == '{'
                                            ? "Content-Type: application/json"
                                            : "Content-Type: text/plain");
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT, CALL_TIMEOUT_S);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT, CONNECT_TIMEOUT_S);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_answer);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, text);
  if (body != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, (long)strlen (body));
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
    }
  CURLcode code = curl_easy_perform (curl);
  long status = 0;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  if (code != CURLE_OK)
    {
      cli_fail (settings, "%s: %s, expected an entry to answer", settings->url,
                curl_easy_strerror (code));
      /* The entry may have carried out the request and failed before it
         answered.  */
      if (code != CURLE_COULDNT_CONNECT && strcmp (method, "GET") != 0)
        cli_fail (settings, "%s", outcome_unknown_text);
    }
  else if (status < 200 || status > 299)
    print_refusal (settings, status, text->str);
  else
    done = true;
out:
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  g_free (url);
  *answer = g_string_free (text, !done);
  return done;
}

bool
cli_call_json (const cli_settings_t *settings, const char *method,
               const char *path, const char *body, json_t **answer)
{
  char *text;
  *answer = NULL;
  if (!cli_call (settings, method, path, body, &text))
    return false;
  *answer = json_loads (text, 0, NULL);
  g_free (text);
  if (*answer == NULL)
    cli_fail (settings, "%s: not JSON, expected the answer of an entry",
              settings->url);
  return *answer != NULL;
}

char *
cli_read_file (const cli_settings_t *settings, const char *name)
{
  bool is_stdin = strcmp (name, "-") == 0;
  FILE *file = is_stdin ? stdin : fopen (name, "rb");
  if (file == NULL)
    {
      cli_fail (settings, "%s: %s, expected a readable file", name,
                g_strerror (errno));
      return NULL;
    }
  GString *text = g_string_new (NULL);
  char buffer[4096];
  size_t got;
  while ((got = fread (buffer, 1, sizeof buffer, file)) > 0
         && text->len < MAX_INPUT_BYTES)
    g_string_append_len (text, buffer, (gssize)got);
  bool failed = ferror (file) != 0;
  if (!is_stdin)
    fclose (file);
  if (!failed && memchr (text->str, '\0', text->len) == NULL)
    return g_string_free (text, FALSE);
  cli_fail (settings, "%s: expected a readable text file", name);
  g_string_free (text, TRUE);
  return NULL;
}

void
cli_print_json (const json_t *value)
{
  char *text = json_dumps (value, JSON_INDENT (2));
  puts (text);
  free (text);
}

const char *
cli_json_text (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));
  return text != NULL ? text : "";
}

int64_t
cli_json_number (const json_t *object, const char *name)
{
  return json_integer_value (json_object_get (object, name));
}
