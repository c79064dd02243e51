#ifndef MAGNOLIADOCK_CONF_H
#define MAGNOLIADOCK_CONF_H

#include "auth.h"
#include "clk.h"
#include "confrev.h"
#include "counter.h"
#include "doc.h"
#include "error.h"
#include "table.h"

#include <stddef.h>
#include <stdint.h>

/* NAME
     conf - keeps the configuration in force up to date and makes edits

   Reads doc/head of the table service once a second and tells peers of a new
   revision at once; peers fetch the changed sections from each other, so that
   an entry without the store still follows.  Sections are read from their
   history rows, which never change, so a loaded revision is consistent.

   An edit is one transaction on the head, section and history row.  A race on
   the head with an edit of another section is repeated here; after a lost
   reply the rows are read back before anything is said.  */

typedef struct conf conf_t;

/* Messages to other entries, which may get lost.  Entries are named
   "ID@INCARNATION".  */
typedef struct
{
  /* Tells all connected entries that REVISION is in force here
     (ConfigAnnounce), and states it in heartbeats from now on.  */
  void (*announce) (void *context, int64_t revision);
  /* Asks ENTRY for what came after HAVE_REVISION (ConfigFetch).  */
  void (*fetch) (void *context, const char *entry, int64_t have_revision);
  /* Sends the JSON text BYTES to ENTRY (ConfigSections).  */
  void (*send) (void *context, const char *entry, int64_t revision,
                const char *bytes, size_t length);
} conf_peers_t;

/* The document of a new revision is in force.  DOC is borrowed (doc_ref to
   keep it).  */
typedef void (*conf_changed_t) (void *context, doc_t *doc, int64_t revision);

/* Present use for doc_check_use; *ROWS is owned by the callee and lives until
   the next call.  */
typedef size_t (*conf_use_t) (void *context, const doc_use_t **rows);

typedef struct
{
  const char *name;      /* section "service ordering" */
  int64_t version;       /* that the author has seen; 0: the section is new */
  const char *text;      /* "" removes the section */
  const char *why;       /* free text for the history */
  const auth_who_t *who; /* NULL: skip the check of roles */
  bool force;            /* skip the check of the present use */
} conf_edit_t;

typedef struct
{
  err_kind_t kind;     /* ERR_OK: committed; ERR_TIMEOUT: unknown */
  const char *message; /* for kinds other than ERR_OK; one line per error */
  int64_t version;     /* of the section, also of the one in the way */
  int64_t revision;    /* that contains the edit, or a later one */
  uint32_t confirmed;  /* entries with a connection that have it in force */
  uint32_t reachable;  /* entries with a connection */
} conf_result_t;

/* RESULT lives until the callback returns.  */
typedef void (*conf_done_t) (void *context, const conf_result_t *result);

/* Everything passed in stays the caller's and outlives the result, strings
   are copied.  SELF is "ENTRY@INCARNATION".  USE may be NULL.  */
conf_t *conf_new (const clk_t *clock, table_t *table,
                  counter_registry_t *registry, const char *self,
                  const char *zone, const conf_peers_t *peers,
                  void *peer_context);
/* To be called after TABLE has dropped its open calls.  Edits that are still
   open are not called back.  */
void conf_free (conf_t *conf);

void conf_set_use (conf_t *conf, conf_use_t use, void *context);
/* Adds a listener; it is called at once if a document is in force.  */
void conf_listen (conf_t *conf, conf_changed_t changed, void *context);

/* Polls and repeats; to be called every 100 ms.  */
void conf_tick (conf_t *conf);

/* Hello, Heartbeat or ConfigAnnounce of ENTRY states REVISION.  */
void conf_peer_seen (conf_t *conf, const char *entry, const char *zone,
                     int64_t revision);
/* ConfigFetch of ENTRY.  */
void conf_peer_fetch (conf_t *conf, const char *entry, int64_t have_revision);
/* ConfigSections.  */
void conf_peer_sections (conf_t *conf, const char *bytes, size_t length);
/* The instance called ID was terminated.  */
void conf_peer_gone (conf_t *conf, const char *id);

/* State for status, judging and accessors; borrowed.  */
const confrev_t *conf_state (const conf_t *conf);

/* Checks and commits EDIT (copied); DONE is called exactly once, possibly
   before this returns, within about 14 s.  A committed edit is answered when
   every entry with a connection has it in force, or after 1.5 s: otherwise the
   death of this entry together with an outage of the store could keep an
   accepted edit from coming into force.  */
void conf_edit (conf_t *conf, const conf_edit_t *edit, conf_done_t done,
                void *context);

/* Checks EDIT against the document in force without writing.  Returns ERR_OK
   or another kind with *MESSAGE (free with g_free).  */
err_kind_t conf_check (conf_t *conf, const conf_edit_t *edit, char **message);

/* Reads the history of section NAME: an array of the rows' values, oldest
   first, borrowed by the callback; NULL unless KIND is ERR_OK.  */
typedef void (*conf_history_done_t) (void *context, err_kind_t kind,
                                     json_t *rows);
void conf_history (conf_t *conf, const char *name, conf_history_done_t done,
                   void *context);

#endif
