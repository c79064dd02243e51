#ifndef MAGNOLIADOCK_CONF_INTERNAL_H
#define MAGNOLIADOCK_CONF_INTERNAL_H

#include "conf.h"

/* NAME
     conf_internal - shared by conf.c, which follows the revisions of the store
     and the peers, and conf_edit.c, which commits edits  */

/* The parsed head row of the store, doc/head.  */
typedef struct
{
  int64_t row_version; /* 0: the row is absent */
  int64_t revision;
  GHashTable *section_versions; /* section name -> int64_t, owned */
} conf_head_t;

typedef struct conf_load conf_load_t;

struct conf
{
  const clk_t *clock;
  table_t *table;
  const conf_peers_t *peers;
  void *peer_context;
  char *self, *zone;
  confrev_t *state;
  GArray *listeners;
  conf_get_use_t use;
  void *use_context;
  int64_t started_ms;
  bool poll_in_flight;
  int64_t next_poll_ms;
  int64_t next_fetch_ms;  /* when the last fetch may be repeated */
  int64_t fetch_revision; /* highest revision of the peers at that fetch */
  char *fetch_entry;      /* peer that was asked by that fetch */
  int64_t next_relay_ms;  /* next report to other zones if nothing changes */
  bool own_zone_changed;  /* an entry of the own zone reported a change */
  conf_load_t *load;      /* in progress, NULL: none */
  GPtrArray *edits;       /* in progress, see conf_edit.c */
  uint64_t edits_started; /* makes the write_id of each edit unique */
  counter_t *revision_gauge, *applied_total, *refused_total, *edits_total,
      *edit_races_total, *edit_readbacks_total;
};

/* Parses a head row; an absent one gives revision 0.  Returns false if it is
   malformed.  On success free the contents of HEAD with conf_head_clear.  */
bool conf_head_parse (const table_row_t *row, conf_head_t *head);
void conf_head_clear (conf_head_t *head);
/* Returns the version of section NAME, 0 if it never existed.  */
int64_t conf_head_version (const conf_head_t *head, const char *name);

/* Reads the sections of HEAD and puts its revision in force.  Does nothing
   while a load is in progress.  */
void conf_load_start (conf_t *conf, const conf_head_t *head);

/* Puts REVISION in force if confrev_apply accepts it, and tells listeners and
   peers.  */
void conf_apply (conf_t *conf, int64_t revision,
                 const confrev_section_t *sections, size_t count,
                 confrev_source_t source);

/* Continues edits whose next step is due.  */
void conf_edits_tick (conf_t *conf);
/* Answers committed edits that a peer's report has confirmed.  */
void conf_edits_check_confirmed (conf_t *conf);
void conf_edits_free (conf_t *conf);

#endif
