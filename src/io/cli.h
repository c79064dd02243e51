#ifndef MAGNOLIADOCK_CLI_H
#define MAGNOLIADOCK_CLI_H

#include "options.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/* NAME
     cli - what the commands for operators and callers have in common

   Every command takes --url, --token-file and --format, prints results on
   standard output and each error on one line of standard error that names the
   input and what was expected, and returns 0 (done), 1 (refused or failed) or
   2 (usage).  */

/* Commands for the table in main.c.  */
int cli_document (int argc, char **argv);
int cli_status (int argc, char **argv);
int cli_submit (int argc, char **argv);
int cli_cancel (int argc, char **argv);
int cli_explain (int argc, char **argv);
int cli_report (int argc, char **argv);
int cli_hash_token (int argc, char **argv);

/* Prints docs/settings.md: every flag, environment variable and key.  */
int cli_settings (int argc, char **argv);

/* Flags of the commands; each table ends with a NULL name.  */
extern const option_t cli_plain_options[]; /* document get, history, status */
extern const option_t cli_apply_options[]; /* document diff, apply */
extern const option_t cli_status_options[];
extern const option_t cli_jobs_options[]; /* submit, cancel, explain */
extern const option_t cli_report_options[];
extern const option_t cli_token_options[];

typedef struct
{
  char *url;
  char *token_file;
  char *format;
  char *why;
  bool force;
  bool prune;
  bool jobs;
  char *secret_file;
  char *write_token;
  const char *command; /* for messages: "document apply" */
} cli_settings_t;

/* Rows of the option table that every command with a server has; FORMATS is
   "text|json" or more.  */
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

/* The same for wrong usage; names --help.  Returns 2.  */
__attribute__ ((format (printf, 2, 3))) int
cli_usage (const cli_settings_t *settings, const char *format, ...);

/* Sends METHOD URL/PATH with BODY (may be NULL) and waits up to 20 s.  Returns
   true with the body in *ANSWER (owned by the caller) for status 200 to 299,
   else prints why not.  */
bool cli_call (const cli_settings_t *settings, const char *method,
               const char *path, const char *body, char **answer);
/* The same with an answer in JSON.  */
bool cli_call_json (const cli_settings_t *settings, const char *method,
                    const char *path, const char *body, json_t **answer);

/* Returns the contents of the file NAME ("-": standard input) as text, NULL
   after printing why not.  Free with g_free.  */
char *cli_read_file (const cli_settings_t *settings, const char *name);

/* Prints VALUE indented.  */
void cli_print_json (const json_t *value);

/* Member of a JSON object as text, "" if it is none.  Borrowed.  */
const char *cli_text (const json_t *object, const char *name);
/* Member of a JSON object as a number, 0 if it is none.  */
int64_t cli_number (const json_t *object, const char *name);

#endif
