#ifndef MAGNOLIADOCK_BURNROW_H
#define MAGNOLIADOCK_BURNROW_H

#include "burn.h"
#include "clk.h"
#include "table.h"

#include <stdbool.h>

/* NAME
     burnrow - keeps error budgets over the replacement of entries

   Each entry writes its counts of the current hour to
   burn/ZONE/hour/HOUR/ENTRY@INCARNATION once a minute (a killed entry loses
   at most that).  Seven hours later, when no window needs the minutes any
   more, the entry on duty folds the rows of the hour into burn/ZONE/total in
   one transaction and deletes them.  Write rate: one row a minute for each
   entry and, for each zone and hour, one row for each entry and one more: 1.3
   writes/s with 72 entries in 8 zones.  */

typedef struct burnrow burnrow_t;

/* Everything passed in stays the caller's.  SELF is "ENTRY@INCARNATION".
   TABLE may be NULL: then counts live as long as the process.  */
burnrow_t *burnrow_new (const clk_t *clock, table_t *table, const char *self,
                        const char *zone);
/* To be called after TABLE has dropped its open calls.  */
void burnrow_free (burnrow_t *burnrow);

/* Takes the objectives of DOC.  */
void burnrow_set_document (burnrow_t *burnrow, doc_t *doc);

/* Counts a request of SERVICE that has ended now; ignored if the service has
   no objective.  See burn_count.  */
void burnrow_count (burnrow_t *burnrow, const char *service, bool answered,
                    int64_t latency_ms, int64_t wait_ms);

/* Writes and folds; to be called every second.  DUTY says whether this entry
   folds the rows of its zone.  */
void burnrow_tick (burnrow_t *burnrow, bool duty);

/* Reads the counts of all entries and calls DONE with their sum, borrowed, and
   the document with the objectives.  KIND is ERR_OK, or the store's failure;
   then BURN holds only this entry's own counts.  */
typedef void (*burnrow_done_t) (void *context, err_kind_t kind,
                                const burn_t *burn, doc_t *doc);
void burnrow_read (burnrow_t *burnrow, burnrow_done_t done, void *context);

/* Calls EACH with the report on every objective, from this process's own
   counts only.  */
void burnrow_each_own (const burnrow_t *burnrow,
                       void (*each) (void *context, const char *service,
                                     burn_kind_t kind,
                                     const burn_report_t *report),
                       void *context);

/* Writes the last counts at a planned stop; burnrow_settled returns whether
   that is done.  */
void burnrow_flush (burnrow_t *burnrow);
bool burnrow_settled (const burnrow_t *burnrow);

#endif
