#ifndef MAGNOLIADOCK_OPTIONS_H
#define MAGNOLIADOCK_OPTIONS_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* NAME
     options - flags of a command from a table

   Each flag --some-name can also be set by the environment variable
   MAGNOLIADOCK_SOME_NAME; the flag wins.  Every value is checked, and the
   message names the flag, the value and what was expected.  */

typedef enum
{
  OPTION_TEXT,    /* char *, owned by the settings struct */
  OPTION_URL,     /* char *: http://HOST[:PORT][/PATH], no trailing slash */
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
  size_t offset;       /* of the field in the settings struct */
  const char *initial; /* default as text; NULL: none */
  bool required;
  int64_t min;
  int64_t max;
  const char *choices; /* "a|b|c" */
  const char *help;
} option_t;

/* Reads ARGV and the environment into SETTINGS by OPTIONS (ends with a NULL
   name).  REST receives the other arguments, owned by the caller
   (g_strfreev); NULL means that there must be none.  Returns false after
   printing a message (the caller exits with 2); --help prints and exits.  */
bool options_parse (const option_t *options, void *settings,
                    const char *summary, int argc, char **argv, char ***rest);

/* Frees the text fields of SETTINGS.  */
void options_clear (const option_t *options, void *settings);

/* Splits "IP:PORT" into *IP (network order) and *PORT.  Returns whether TEXT
   is such an address.  */
bool options_address (const char *text, uint32_t *ip, uint16_t *port);

#endif
