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

   The text has GKeyFile syntax.  It is parsed here and not by GKeyFile,
   because GKeyFile's errors carry neither line nor column.  A doc_t is
   immutable and reference counted.  */

/* Limits the time that every entry (a process that accepts the requests of
   callers) takes to parse the whole document after each edit: 18 ms for
   100 KB.  */
#define DOC_MAX_BYTES (256 * 1024)
#define DOC_MAX_ERRORS 20 /* parsing drops further ones */

typedef struct doc doc_t;
typedef struct doc_section doc_section_t;

/* Type of a section: the first word of its header.  */
typedef enum
{
  DOC_ACCESS,
  DOC_FLEET,
  DOC_ZONE,
  DOC_CLASS,
  DOC_TEAM,
  DOC_SERVICE,
  DOC_OBJECTIVE,
  DOC_SECTION_TYPE_COUNT
} doc_section_type_t;

/* Kind of values that a key takes.  */
typedef enum
{
  DOC_INT,    /* whole number from min to max */
  DOC_REAL,   /* decimal number from min to max */
  DOC_NAME,   /* see doc_name_valid, or empty */
  DOC_CHOICE, /* one of the words in unit_or_choices, separated by '|' */
  DOC_HASHES  /* token hashes separated by ';' */
} doc_value_kind_t;

/* One row of the table of keys.  A name that ends with '*' stands for that
   prefix followed by any valid name.  */
typedef struct
{
  doc_section_type_t type;
  const char *name;
  doc_value_kind_t kind;
  double min, max;
  /* Unit of a number, choices of a DOC_CHOICE, what a DOC_NAME names; or
     NULL.  */
  const char *unit_or_choices;
  const char *default_value; /* value when the key is absent; NULL: none */
  const char *summary;
} doc_key_t;

typedef struct
{
  int line, column; /* from 1, in bytes; line 0: no position in the text */
  char *section;    /* "service ordering", or NULL */
  char *key;        /* or NULL */
  char *message;    /* what was found and what was expected */
} doc_error_t;

/* Returns the table of keys, which is static.  */
const doc_key_t *doc_keys (size_t *count);
const char *doc_section_type_name (doc_section_type_t type);

/* Returns an empty array of doc_error_t that owns its elements.  */
GPtrArray *doc_errors_new (void);
/* Appends ERROR to OUT as one line without a newline.  */
void doc_error_print (const doc_error_t *error, GString *out);
/* Returns all errors, one a line; free with g_free.  */
char *doc_errors_text (const GPtrArray *errors);

/* Parses and checks a whole document.  Returns a new reference, or NULL and
   adds to ERRORS if the document has errors.  */
doc_t *doc_parse (const char *text, size_t length, GPtrArray *errors);
/* Like doc_parse for a partial document: neither references between sections
   nor limits that depend on other keys are checked.  */
doc_t *doc_parse_partial (const char *text, size_t length, GPtrArray *errors);
/* Like doc_parse for sections that an entry has accepted before.  While
   versions of magnoliadock are mixed, a newer entry may accept keys and
   sections that this one does not know: they are skipped and reported in
   UNKNOWN, so that an accepted configuration comes into force everywhere.  */
doc_t *doc_parse_stored (const char *text, size_t length, GPtrArray *errors,
                         GPtrArray *unknown);
doc_t *doc_ref (doc_t *doc);
void doc_unref (doc_t *doc);

/* Returns a copy of DOC (NULL: empty) in which section NAME ("service
   ordering") is replaced by TEXT or added.  TEXT holds exactly that section; a
   blank TEXT removes it.  Unknown keys are errors in TEXT and skipped in the
   other sections.  Returns NULL and adds to ERRORS if the result has errors,
   which have line numbers only if they are about TEXT alone.  */
doc_t *doc_replace_section (const doc_t *doc, const char *name,
                            const char *text, GPtrArray *errors);

/* Appends the text of all sections; parsing it gives an equal document.  */
void doc_print (const doc_t *doc, GString *out);

size_t doc_section_count (const doc_t *doc);
const doc_section_t *doc_section_at (const doc_t *doc, size_t index);
/* Returns the section called NAME ("service ordering") or NULL.  */
const doc_section_t *doc_section (const doc_t *doc, const char *name);
const char *doc_section_full_name (const doc_section_t *section);
/* Returns the name without the type: "ordering"; "" for [fleet].  */
const char *doc_section_name (const doc_section_t *section);
doc_section_type_t doc_section_type (const doc_section_t *section);
const char *doc_section_text (const doc_section_t *section);
/* Returns the team that may edit SECTION, "" if only operators may.  */
const char *doc_section_owner (const doc_section_t *section);
/* Returns the value of KEY, its default, or NULL.  */
const char *doc_section_value (const doc_section_t *section, const char *key);

/* Appends the keys whose values differ as lines "-key = old" and "+key = new".
   An absent known key has its default; unknown keys are not compared.  BEFORE
   is NULL for an added section, AFTER for a removed one; both are differences.
   Returns whether the sections differ.  */
bool doc_diff (const doc_section_t *before, const doc_section_t *after,
               GString *out);

/* Current use of one section.  KEY is the limit that AMOUNT counts against,
   or NULL for work that only prevents removal of the section.  */
typedef struct
{
  const char *section;
  const char *key;
  int64_t amount;
  const char *description; /* "requests in flight at ordering-7" */
} doc_use_t;

/* Checks the change of section NAME from BEFORE (NULL: added) to AFTER (NULL:
   removed) against the current use: a changed limit must not be below what is
   in use, a section that work needs must not be removed, and neither must the
   last operator key.  Returns false and adds to ERRORS otherwise.  Callers
   skip this check for forced edits.  */
bool doc_check_use (const char *name, const doc_section_t *before,
                    const doc_section_t *after, const doc_use_t *use,
                    size_t use_count, GPtrArray *errors);

/* Typed accessors.  They fill in OUT, with the defaults if the section is
   absent, and return whether it is present.  DOC may be NULL.  Strings in OUT
   live as long as DOC.  */
typedef struct
{
  uint32_t request_limit;    /* concurrent requests per process */
  uint32_t connection_limit; /* concurrent connections per process */
  int64_t spill_after_ms;    /* wait after which another zone is tried */
  uint32_t queue_limit;      /* queued requests of one class and team */
  uint32_t retry_percent;    /* retries per 100 requests */
  const char *admission;     /* "fair", "fifo" or "strict" */
  const char *owner;         /* team, "": only operators edit the section */
} doc_service_t;

typedef struct
{
  bool has_quota; /* false: the section is absent, QUOTA is all 0 */
  /* Teams that use the least of theirs go first; not enforced as a limit.  */
  resource_t quota;
  double urgent_rate;      /* urgent requests per second */
  double urgent_burst;     /* urgent requests allowed at once above it */
  uint32_t request_weight; /* share of a class relative to other teams */
} doc_team_t;

typedef struct
{
  uint32_t weight; /* guaranteed share relative to the other classes */
} doc_class_t;

typedef struct
{
  const char *region;
  uint32_t entries; /* expected number of entries */
} doc_zone_t;

typedef struct
{
  double availability;  /* fraction of requests answered, 0 to 1 */
  int64_t latency_ms;   /* time to the complete answer */
  double latency_share; /* fraction of answers within latency_ms */
  int64_t wait_ms;      /* time in the queue */
  double wait_share;    /* fraction of requests queued at most wait_ms */
  uint32_t window_days; /* period of the error budget */
} doc_objective_t;

typedef struct
{
  const char *packing; /* rule that chooses among workers that fit */
} doc_fleet_t;

bool doc_service (const doc_t *doc, const char *name, doc_service_t *out);
bool doc_team (const doc_t *doc, const char *name, doc_team_t *out);
bool doc_class (const doc_t *doc, class_t class, doc_class_t *out);
bool doc_zone (const doc_t *doc, const char *name, doc_zone_t *out);
bool doc_objective (const doc_t *doc, const char *name, doc_objective_t *out);
bool doc_fleet (const doc_t *doc, doc_fleet_t *out);

#endif
