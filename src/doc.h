#ifndef MAGNOLIADOCK_DOC_H
#define MAGNOLIADOCK_DOC_H

#include "dispatch.h"
#include "resource.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* NAME
     doc - the operators' configuration document

   The text has GKeyFile syntax.  It is scanned here and not by GKeyFile,
   because GKeyFile's errors carry neither line nor column.  A doc_t never
   changes once it was parsed; it is reference counted.  */

/* Each edit makes every entry parse the whole document: 18 ms for 100 KB.  */
#define DOC_MAX_BYTES (256 * 1024)
#define DOC_MAX_ERRORS 20

typedef struct doc doc_t;
typedef struct doc_section doc_section_t;

typedef enum
{
  DOC_ACCESS,
  DOC_FLEET,
  DOC_ZONE,
  DOC_CLASS,
  DOC_TEAM,
  DOC_SERVICE,
  DOC_OBJECTIVE,
  DOC_TYPE_COUNT
} doc_type_t;

typedef enum
{
  DOC_INT,    /* whole number from min to max */
  DOC_REAL,   /* decimal number from min to max */
  DOC_NAME,   /* lower-case name */
  DOC_CHOICE, /* one of the words in choices, separated by '|' */
  DOC_HASHES  /* token hashes separated by ';' */
} doc_value_kind_t;

/* One row of the table of keys.  A name that ends with '*' stands for every
   key with that prefix.  */
typedef struct
{
  doc_type_t type;
  const char *name;
  doc_value_kind_t kind;
  double min, max;
  const char *unit;     /* or the choices of a DOC_CHOICE */
  const char *fallback; /* value when the key is absent; NULL: none */
  const char *summary;
} doc_key_t;

typedef struct
{
  int line, column; /* from 1; 0: not tied to a place in the text */
  char *section;    /* "service ordering", or NULL */
  char *key;        /* or NULL */
  char *message;    /* what was found and what was expected */
} doc_error_t;

/* Returns the table of keys; static.  */
const doc_key_t *doc_keys (size_t *count);
const char *doc_type_name (doc_type_t type);

/* Errors are collected in an array made by doc_errors_new, which owns them. */
GPtrArray *doc_errors_new (void);
/* Appends ERROR to OUT as one line without a newline.  */
void doc_error_print (const doc_error_t *error, GString *out);
/* Returns all errors as lines; free with g_free.  */
char *doc_errors_text (const GPtrArray *errors);

/* Parses and checks a whole document.  Returns NULL and adds to ERRORS if
   anything is wrong.  The result is owned by the caller.  */
doc_t *doc_parse (const char *text, size_t length, GPtrArray *errors);
/* The same for a part of a document: sections may refer to sections that are
   not in TEXT.  */
doc_t *doc_parse_part (const char *text, size_t length, GPtrArray *errors);
/* The same as doc_parse for sections that an entry has accepted before.  While
   versions of magnoliadock are mixed, a newer entry may accept keys and
   sections that this one does not know: they are skipped and reported in
   UNKNOWN, so that an accepted configuration comes into force everywhere.  */
doc_t *doc_parse_stored (const char *text, size_t length, GPtrArray *errors,
                         GPtrArray *unknown);
doc_t *doc_ref (doc_t *doc);
void doc_unref (doc_t *doc);

/* Returns a document like DOC in which section NAME ("service ordering") has
   TEXT, which holds exactly that section; an empty TEXT removes it.  TEXT is
   checked like a new document, the rest like stored sections.  Returns NULL
   and adds to ERRORS if it is wrong. */
doc_t *doc_replace_section (const doc_t *doc, const char *name,
                            const char *text, GPtrArray *errors);

/* Appends the whole text; parsing it gives an equal document.  */
void doc_print (const doc_t *doc, GString *out);

size_t doc_section_count (const doc_t *doc);
const doc_section_t *doc_section_at (const doc_t *doc, size_t index);
/* Returns the section called NAME ("service ordering") or NULL.  */
const doc_section_t *doc_section (const doc_t *doc, const char *name);
const char *doc_section_full_name (const doc_section_t *section);
/* Returns the name without its type: "ordering"; "" for [fleet].  */
const char *doc_section_name (const doc_section_t *section);
doc_type_t doc_section_type (const doc_section_t *section);
const char *doc_section_text (const doc_section_t *section);
/* Returns the team that owns SECTION, "" if only operators may edit it.  */
const char *doc_section_owner (const doc_section_t *section);
/* Returns the value of KEY, its default, or NULL.  */
const char *doc_section_value (const doc_section_t *section, const char *key);

/* Appends the keys that differ as lines "-key = old" and "+key = new".
   Either section may be NULL (added, removed).  Returns whether any differ. */
bool doc_diff (const doc_section_t *before, const doc_section_t *after,
               GString *out);

/* Present use of one section.  KEY is the limit it counts against, or NULL
   for running work that only keeps the section from being removed.  */
typedef struct
{
  const char *section;
  const char *key;
  int64_t amount;
  const char *what; /* "requests in flight at ordering-7" */
} doc_use_t;

/* Checks the change of section NAME from BEFORE to AFTER (NULL: removed)
   against the present use: no limit may go below what is in use, no section
   may go while work needs it, and the last operator token may not go.  Adds
   to ERRORS and returns false if it does.  Callers skip this when forced.  */
bool doc_check_use (const char *name, const doc_section_t *before,
                    const doc_section_t *after, const doc_use_t *use,
                    size_t use_count, GPtrArray *errors);

/* Typed accessors.  They fill in the defaults for a section that is absent
   and return whether it is present.  Strings live as long as DOC, which may
   be NULL.  */
typedef struct
{
  uint32_t request_limit;    /* requests at once for one process */
  uint32_t connection_limit; /* connections at once for one process */
  int64_t spill_after_ms;    /* wait after which another zone is tried */
  uint32_t queue_limit;      /* waiting requests of one class and team */
  uint32_t retry_percent;    /* retries for each 100 requests */
  const char *admission;     /* "fair", "fifo" or "strict" */
  const char *owner;
} doc_service_t;

typedef struct
{
  bool has_quota; /* false: the section is absent, no quota */
  resource_t quota;
  double urgent_rate; /* urgent requests a second */
  double urgent_burst;
  uint32_t request_weight; /* share of a class among teams */
} doc_team_t;

typedef struct
{
  uint32_t weight; /* guaranteed share relative to the others */
} doc_class_t;

typedef struct
{
  const char *region;
  uint32_t entries; /* expected number */
} doc_zone_t;

typedef struct
{
  double availability; /* share of requests answered, 0 to 1 */
  int64_t latency_ms;
  double latency_share; /* share of answers within latency_ms */
  int64_t wait_ms;
  double wait_share; /* share of requests that wait at most wait_ms */
  uint32_t window_days;
} doc_objective_t;

typedef struct
{
  const char *packing;
} doc_fleet_t;

bool doc_service (const doc_t *doc, const char *name, doc_service_t *out);
bool doc_team (const doc_t *doc, const char *name, doc_team_t *out);
bool doc_class (const doc_t *doc, class_t class, doc_class_t *out);
bool doc_zone (const doc_t *doc, const char *name, doc_zone_t *out);
bool doc_objective (const doc_t *doc, const char *name, doc_objective_t *out);
bool doc_fleet (const doc_t *doc, doc_fleet_t *out);

#endif
