#ifndef MAGNOLIADOCK_BURN_STORE_H
#define MAGNOLIADOCK_BURN_STORE_H

#include "burn.h"
#include "clk.h"
#include "table.h"

#include <stdbool.h>

/* NAME
     burn_store - stores the counts of the error budgets in the table service,
     so that they outlive the entries

   Each entry writes its counts of the current hour to the row
   burn/ZONE/hour/HOUR/ENTRY@INCARNATION once a minute; a killed entry loses
   at most one minute of counts.  Seven hours later, when no window needs the
   minutes any more, one entry of the zone folds the rows of the hour: it adds
   them to the row burn/ZONE/total and deletes them, in one transaction.  Write
   rate: each entry writes one row a minute, and each hour each zone deletes
   one row for each of its entries and writes its total: together 1.2 writes/s
   with 72 entries in 8 zones.  */

typedef struct burn_store burn_store_t;

/* CLOCK and TABLE stay the caller's, SELF ("ENTRY@INCARNATION") and ZONE are
   copied.  TABLE may be NULL: then counts live as long as the process.  */
burn_store_t *burn_store_new (const clk_t *clock, table_t *table,
                              const char *self, const char *zone);
/* To be called after TABLE has cancelled its calls in flight.  */
void burn_store_free (burn_store_t *burn_store);

/* Uses the objectives of DOC from now on and keeps a reference to DOC.  */
void burn_store_set_document (burn_store_t *burn_store, doc_t *doc);

/* Counts a request of SERVICE that has just ended, as burn_count does; ignored
   if the service has no objective.  */
void burn_store_count (burn_store_t *burn_store, const char *service,
                       bool answered, int64_t latency_ms, int64_t wait_ms);

/* Writes and folds what is due; to be called every second.  FOLDS says whether
   this entry folds the rows of its zone.  */
void burn_store_tick (burn_store_t *burn_store, bool folds);

/* Reads the counts of all entries of all zones and calls DONE with their sum
   and with the document that has the objectives, both borrowed.  KIND is
   ERR_OK, or why the rows were not read; then BURN holds only this process's
   own counts of the hours in memory.  */
typedef void (*burn_store_done_t) (void *context, err_kind_t kind,
                                   const burn_t *burn, doc_t *doc);
void burn_store_read (burn_store_t *burn_store, burn_store_done_t done,
                      void *context);

/* Calls EACH with the status of each objective, computed from this process's
   own counts only.  */
void burn_store_each_own (const burn_store_t *burn_store,
                          void (*each) (void *context, const char *service,
                                        burn_kind_t kind,
                                        const burn_status_t *status),
                          void *context);

/* Before a planned stop: starts to write the oldest hour that has unwritten
   counts, unless a write is in flight.  burn_store_idle returns whether none
   is in flight any more.  */
void burn_store_flush (burn_store_t *burn_store);
bool burn_store_idle (const burn_store_t *burn_store);

#endif
