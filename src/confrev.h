#ifndef MAGNOLIADOCK_CONFREV_H
#define MAGNOLIADOCK_CONFREV_H

#include "clk.h"
#include "doc.h"
#include "error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     confrev - which revision of the configuration is in force, and where

   Holds the sections of the revision in force here with the parsed document,
   and the revisions that the other entries report.  A lower revision is never
   applied.  "The store" is the table service.  */

typedef struct confrev confrev_t;

/* One section at one version.  A removed section has an empty text.  */
typedef struct
{
  char *name;
  int64_t version;
  char *text;
  int64_t since_revision; /* first revision applied here with this version */
} confrev_section_t;

typedef enum
{
  CONFREV_NONE,  /* no revision is in force yet */
  CONFREV_PEERS, /* only peers have answered since this process started */
  CONFREV_STORE  /* the store has confirmed one since this process started */
} confrev_source_t;

/* What an entry can be asked to do.  */
typedef enum
{
  CONFREV_ROUTE,       /* send a request to a backend server */
  CONFREV_RENEW_LEASE, /* harmless without a configuration */
  CONFREV_STATUS,      /* reports also that there is no configuration */
  CONFREV_AUTHORISE,   /* check a token */
  CONFREV_SUBMIT_JOB,
  CONFREV_EDIT, /* needs the store anyway */
  CONFREV_OPERATION_COUNT
} confrev_operation_t;

confrev_t *confrev_new (const clk_t *clock);
void confrev_free (confrev_t *confrev);

/* Revision in force; 0: none, or an empty store.  */
int64_t confrev_revision (const confrev_t *confrev);
confrev_source_t confrev_source (const confrev_t *confrev);
/* Document in force, borrowed; NULL while the source is CONFREV_NONE.  */
doc_t *confrev_document (const confrev_t *confrev);
/* Milliseconds since the store was last seen to have at least the revision in
   force, -1: never.  */
int64_t confrev_store_age_ms (const confrev_t *confrev);

/* Version of section NAME in force, 0 if it never existed.  */
int64_t confrev_version (const confrev_t *confrev, const char *name);
/* Section NAME in force (also a removed one), NULL if it never existed.  */
const confrev_section_t *confrev_section (const confrev_t *confrev,
                                          const char *name);
/* All sections, borrowed, in the order of their names; free the array with
   g_ptr_array_free (result, TRUE).  */
GPtrArray *confrev_sections (const confrev_t *confrev);

/* Records that the store holds REVISION now.  A lower REVISION than the one in
   force is ignored.  */
void confrev_store_seen (confrev_t *confrev, int64_t revision);

/* Puts REVISION in force, which consists of exactly the COUNT SECTIONS
   (copied).  Returns ERR_OK, ERR_CONFLICT if REVISION is not above the one in
   force (nothing changes), or ERR_BAD_REQUEST with ERRORS if the text is not
   a valid document (nothing changes).  While no document is in force, REVISION
   0 is accepted too: the store holds no document yet.  */
err_kind_t confrev_apply (confrev_t *confrev, int64_t revision,
                          const confrev_section_t *sections, size_t count,
                          confrev_source_t source, GPtrArray *errors);

/* Returns ERR_OK if OPERATION is possible with the configuration in force,
   else ERR_NO_CONFIG.  */
err_kind_t confrev_check_operation (const confrev_t *confrev,
                                    confrev_operation_t operation);

/* ENTRY ("ID@INCARNATION") of ZONE reports that REVISION is in force there.
   Returns whether the incarnation or its revision is new here.  Reports of an
   incarnation lower than the highest known one of the same id are ignored.  */
bool confrev_peer_reported (confrev_t *confrev, const char *entry,
                            const char *zone, int64_t revision);
/* The same, passed on by another entry; ignored while ENTRY's own report is
   recent.  */
void confrev_peer_relayed (confrev_t *confrev, const char *entry,
                           const char *zone, int64_t revision);
/* Removes the reports of ID, whose instance was terminated.  */
void confrev_peer_remove (confrev_t *confrev, const char *id);
/* Highest revision that a peer other than EXCEPT (may be NULL) reported
   itself (relayed reports do not count), 0 without such peers.  If above 0,
   *ENTRY (may be NULL) is set to that peer, borrowed until the peer's next
   report.  */
int64_t confrev_highest_peer_revision (const confrev_t *confrev,
                                       const char *except, const char **entry);

typedef struct
{
  const char *entry;
  const char *zone;
  int64_t revision;
  int64_t age_ms; /* time since the last report */
  bool direct;    /* reported by the entry itself */
} confrev_peer_t;

/* Calls EACH for every known entry, in the order of their ids.  */
void confrev_each_peer (const confrev_t *confrev,
                        void (*each) (void *context,
                                      const confrev_peer_t *peer),
                        void *context);

#endif
