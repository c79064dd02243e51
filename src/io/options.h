#ifndef MAGNOLIADOCK_OPTIONS_H
#define MAGNOLIADOCK_OPTIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* NAME
     options - reads the flags of a command as a table describes them

   Each flag --some-name can also be set by the environment variable
   MAGNOLIADOCK_SOME_NAME; the flag wins.  Every value is checked; the error
   message names the flag or variable, the value and what was expected.  */

/* Kinds with the type of their field; the settings struct owns each char *. */
typedef enum
{
  OPTION_TEXT,    /* char *, not empty */
  OPTION_URL,     /* char *: http://HOST[:PORT][/PATH]; trailing '/' removed */
  OPTION_ADDRESS, /* char *: IPv4 address and port, "127.0.0.1:8080" */
  OPTION_CHOICE,  /* char *: one of CHOICES */
  OPTION_INTEGER, /* int64_t between MIN and MAX */
  OPTION_REAL,    /* double between MIN and MAX */
  OPTION_FLAG     /* bool, takes no value; environment: true or false */
} option_kind_t;

typedef struct
{
  const char *name;
  option_kind_t kind;
  size_t offset;            /* of the field in the settings struct */
  const char *default_text; /* default as text; NULL: none */
  bool required;            /* ignored if there is a default */
  int64_t min;
  int64_t max;
  const char *choices; /* "a|b|c" */
  const char *help;
} option_t;

/* Reads ARGV and the environment into the struct SETTINGS as described by
   OPTIONS (ends with a NULL name).  *REST receives the other arguments, owned
   by the caller (g_strfreev); REST NULL means that there must be none. SUMMARY
   is printed by --help, which ends the process.  Returns false after printing
   an error message (the caller exits with 2).  */
bool options_parse (const option_t *options, void *settings,
                    const char *summary, int argc, char **argv, char ***rest);

/* Frees the text fields of SETTINGS.  */
void options_clear (const option_t *options, void *settings);

/* Splits "IP:PORT" (IPv4) into *IP (network byte order) and *PORT (host byte
   order).  Returns whether TEXT is such an address.  */
bool options_parse_address (const char *text, uint32_t *ip, uint16_t *port);

#endif
