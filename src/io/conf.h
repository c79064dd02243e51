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
     conf - keeps the configuration in force up to date and commits edits

   Reads doc/revision of the table service ("the store") once a second.  If
   its revision is not the one in force, reads doc/head, which has the version
   of each section, and the changed sections.  Announces a new revision to the
   peers at once; peers fetch the changed sections from each other, so that an
   entry that cannot reach the store still gets them.  A section is read from
   its history row, which never changes, or by a scan of the section rows.  It
   is used only if it has the version in the head, so a loaded revision is
   consistent.

   An edit is one transaction on doc/revision, the head, the section row and
   its history row.  It is repeated here if an edit of another section commits
   first; after a lost reply the rows are read back before the edit is
   answered.  */

typedef struct conf conf_t;

/* Messages to other entries, which may get lost.  Entries are named
   "ID@INCARNATION".  */
typedef struct
{
  /* Tells all connected entries that REVISION is in force here
     (ConfigAnnounce), and puts it into heartbeats from now on.  */
  void (*announce) (void *context, int64_t revision);
  /* Asks ENTRY for what came after HAVE_REVISION (ConfigFetch).  */
  void (*fetch) (void *context, const char *entry, int64_t have_revision);
  /* Sends the JSON text BYTES to ENTRY (ConfigSections): the sections of
     REVISION, or the revisions of this zone's entries.  */
  void (*send) (void *context, const char *entry, int64_t revision,
                const char *bytes, size_t length);
} conf_peers_t;

/* Called when the document of a new REVISION is in force.  DOC is borrowed
   (doc_ref to keep it).  */
typedef void (*conf_changed_t) (void *context, doc_t *doc, int64_t revision);

/* Returns the current use for doc_check_use, as the number of *ROWS, which the
   callee owns and keeps until the next call.  */
typedef size_t (*conf_get_use_t) (void *context, const doc_use_t **rows);

typedef struct
{
  const char *name; /* section "service ordering" */
  int64_t version;  /* that the author edited; 0: the section is new */
  const char *text; /* "" removes the section */
  const char *why;  /* free text for the history */
  const auth_identity_t *identity; /* NULL: skip the check of roles */
  bool force;                      /* skip the check of the current use */
} conf_edit_t;

typedef struct
{
  err_kind_t kind;     /* ERR_OK: committed and in force here; ERR_TIMEOUT:
                          committed or unknown, see message */
  const char *message; /* for kinds other than ERR_OK; one line per error */
  int64_t version;     /* of the section: after the edit if committed, else
                          the current one; 0: not known */
  int64_t revision;    /* one that contains the edit, else the one it was
                          checked against; 0: not known */
  uint32_t confirmed;  /* entries with a connection that have it in force */
  uint32_t reachable;  /* entries with a connection */
} conf_result_t;

/* RESULT lives until the callback returns.  */
typedef void (*conf_done_t) (void *context, const conf_result_t *result);

/* Strings are copied; everything else stays the caller's and must outlive the
   result.  SELF is "ID@INCARNATION".  */
conf_t *conf_new (const clk_t *clock, table_t *table,
                  counter_registry_t *registry, const char *self,
                  const char *zone, const conf_peers_t *peers,
                  void *peer_context);
/* Call it only after TABLE has cancelled its calls in flight.  Edits in
   progress get no callback.  */
void conf_free (conf_t *conf);

/* Sets the function that returns the current use, to check edits against;
   NULL: nothing is in use.  */
void conf_set_use (conf_t *conf, conf_get_use_t use, void *context);
/* Adds a listener; it is called at once if a document is in force.  */
void conf_add_listener (conf_t *conf, conf_changed_t changed, void *context);

/* Runs polls, retries and deadlines that are due; call it every 100 ms.  */
void conf_tick (conf_t *conf);

/* Takes REVISION from a Hello, Heartbeat or ConfigAnnounce of ENTRY.  */
void conf_peer_reported (conf_t *conf, const char *entry, const char *zone,
                         int64_t revision);
/* Answers a ConfigFetch of ENTRY.  */
void conf_peer_fetch (conf_t *conf, const char *entry, int64_t have_revision);
/* Takes the JSON text of a ConfigSections: the sections of a revision, or the
   revisions of another zone's entries.  */
void conf_peer_sections (conf_t *conf, const char *bytes, size_t length);
/* Removes the reports of ID, whose instance was terminated.  */
void conf_peer_remove (conf_t *conf, const char *id);

/* Returns the revisions here and on peers, borrowed.  */
const confrev_t *conf_state (const conf_t *conf);

/* Checks and commits EDIT (copied); DONE is called exactly once, possibly
   before this returns, within about 14 s.  A committed edit is answered when
   every entry with a connection has it in force, or 1.5 s after the commit.
   Without this wait, an accepted edit might not come into force if this entry
   died and the store failed.  */
void conf_edit (conf_t *conf, const conf_edit_t *edit, conf_done_t done,
                void *context);

/* Checks EDIT, except for its version, against the document in force and does
   not write it.  Returns ERR_OK, or another kind with *MESSAGE (free with
   g_free).  */
err_kind_t conf_check_edit (conf_t *conf, const conf_edit_t *edit,
                            char **message);

/* Reads the history of section NAME: an array of the rows' values, oldest
   first, borrowed by the callback; NULL unless KIND is ERR_OK.  */
typedef void (*conf_history_done_t) (void *context, err_kind_t kind,
                                     json_t *rows);
void conf_read_history (conf_t *conf, const char *name,
                        conf_history_done_t done, void *context);

#endif
