#ifndef MAGNOLIADOCK_CONF_PRIVATE_H
#define MAGNOLIADOCK_CONF_PRIVATE_H

#include "conf.h"

/* NAME
     conf_private - shared by conf.c (following) and conf_edit.c (edits)  */

/* The head row as read.  */
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
  conf_use_t use;
  void *use_context;
  int64_t started_ms;
  bool poll_in_flight;
  int64_t next_poll_ms;
  int64_t next_fetch_ms;  /* earliest repeat of the fetch for ... */
  int64_t fetch_revision; /* ... this revision */
  char *fetch_entry;      /* that was asked last */
  int64_t next_relay_ms;  /* next report to other zones */
  bool own_zone_changed;  /* an entry of the own zone reported a change */
  conf_load_t *load;      /* the one in progress, NULL: none */
  GPtrArray *edits;       /* open edits, see conf_edit.c */
  uint64_t edits_started;
  counter_t *revision_gauge, *applied_total, *refused_total, *edits_total,
      *edit_races_total, *edit_readbacks_total;
};

/* Reads a head row; returns false if its form is wrong.  On success HEAD is
   cleared by conf_head_clear.  */
bool conf_head_parse (const table_row_t *row, conf_head_t *head);
void conf_head_clear (conf_head_t *head);
int64_t conf_head_version (const conf_head_t *head, const char *name);

/* Loads the sections of HEAD and puts them in force, unless a load is in
   progress.  */
void conf_load_start (conf_t *conf, const conf_head_t *head);

/* Puts a revision in force and tells listeners and peers.  */
void conf_apply (conf_t *conf, int64_t revision,
                 const confrev_section_t *sections, size_t count,
                 confrev_source_t source);

/* Continues edits whose time has come.  */
void conf_edits_tick (conf_t *conf);
/* A peer has reported its revision.  */
void conf_edits_check_confirmed (conf_t *conf);
void conf_edits_free (conf_t *conf);

#endif
