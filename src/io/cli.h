#ifndef MAGNOLIADOCK_CLI_H
#define MAGNOLIADOCK_CLI_H

#include "options.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* NAME
     cli - commands for operators and callers: entry points and helpers

   Every command that asks an entry takes --url, --token-file and --format.
   Results go to standard output.  An error goes to standard error, usually as
   one line that names the input and what was expected; a further line says so
   if it is not known whether a request was carried out.  The exit code is 0
   (done), 1 (refused or failed) or 2 (wrong usage).  */

/* Run one command and return its exit code; listed in main.c.  */
int cli_document (int argc, char **argv);
int cli_status (int argc, char **argv);
int cli_submit (int argc, char **argv);
int cli_cancel (int argc, char **argv);
int cli_explain (int argc, char **argv);
int cli_report (int argc, char **argv);
int cli_hash_token (int argc, char **argv);

/* Generates and prints the text of docs/settings.md: flags, environment
   variables and document keys.  */
int cli_settings (int argc, char **argv);

/* Options of the commands; each table ends with a NULL name.  */
extern const option_t cli_document_read_options[];  /* get, history, status */
extern const option_t cli_document_apply_options[]; /* diff, apply */
extern const option_t cli_status_options[];
extern const option_t cli_jobs_options[]; /* submit, cancel, explain */
extern const option_t cli_report_options[];
extern const option_t cli_token_options[];

/* Option values of all commands; each command sets those that it has.  */
typedef struct
{
  char *url;
  char *token_file;
  char *format;
  char *why;
  bool force;
  bool prune;
  bool list_jobs;
  char *secret_file;
  char *write_token_file;
  const char *command; /* for messages: "document apply" */
} cli_settings_t;

/* Option table rows of every command that asks an entry; FORMATS are the
   choices of --format: "text|json" or more.  */
#define CLI_SERVER_OPTIONS(formats)                                           \
  { "url",                                                                    \
    OPTION_URL,                                                               \
    offsetof (cli_settings_t, url),                                           \
    "http://127.0.0.1:8080",                                                  \
    false,                                                                    \
    0,                                                                        \
    0,                                                                        \
    NULL,                                                                     \
    "An entry, or the balancer before the entries" },                         \
      { "token-file",                                                         \
        OPTION_TEXT,                                                          \
        offsetof (cli_settings_t, token_file),                                \
        NULL,                                                                 \
        false,                                                                \
        0,                                                                    \
        0,                                                                    \
        NULL,                                                                 \
        "File with a token NAME:SECRET" },                                    \
  {                                                                           \
    "format", OPTION_CHOICE, offsetof (cli_settings_t, format), "text",       \
        false, 0, 0, formats, "Form of the output"                            \
  }

/* Prints "magnoliadock COMMAND: MESSAGE" on standard error, one line for each
   line of the message.  Returns 1.  */
__attribute__ ((format (printf, 2, 3))) int
cli_fail (const cli_settings_t *settings, const char *format, ...);

/* The same for wrong usage, with " (see --help)" added.  Returns 2.  */
__attribute__ ((format (printf, 2, 3))) int
cli_usage_error (const cli_settings_t *settings, const char *format, ...);

/* Sends METHOD to --url with PATH and BODY (may be NULL) and waits up to 20 s.
   For status 200 to 299 returns true with the body in *ANSWER (owned by the
   caller).  Else prints the reason, sets *ANSWER to NULL and returns false. */
bool cli_call (const cli_settings_t *settings, const char *method,
               const char *path, const char *body, char **answer);
/* The same, but parses the answer as JSON; release it with json_decref.  */
bool cli_call_json (const cli_settings_t *settings, const char *method,
                    const char *path, const char *body, json_t **answer);

/* Returns the first 16 MiB of the file NAME ("-": standard input) as text;
   free with g_free.  NULL, after printing the reason, if it can't be read or
   holds a NUL byte.  */
char *cli_read_file (const cli_settings_t *settings, const char *name);

/* Prints VALUE, indented, on standard output.  */
void cli_print_json (const json_t *value);

/* Returns string member NAME of a JSON object, "" if there is no such string.
   Borrowed.  */
const char *cli_json_text (const json_t *object, const char *name);
/* Returns integer member NAME of a JSON object, 0 if there is no such
   integer.  */
int64_t cli_json_number (const json_t *object, const char *name);

#endif
