#ifndef MAGNOLIADOCK_TENURE_H
#define MAGNOLIADOCK_TENURE_H

#include <stdbool.h>
#include <stdint.h>

/* NAME
     tenure - until when the leases of earlier owners of a cell last

   The owner writes with each commit what the next owner has to know.  Nodes'
   clocks differ, so rows hold durations.  What a row promises:

   - BOUND_MS: this owner gives no lease that ends later than this after it
     sent the last commit that the store confirmed; 0: it gives none.  It gives
     a worker leases only once a commit was confirmed that says so and does not
     list the worker as unreached.
   - INHERITED_MS: the leases of the owners before it have ended this long
     after the row was written; those of the workers that it lists as
     unreached UNREACHED_MS after that.

   Times are milliseconds of the reader's clock.  */

/* Longest lease, in true time.  A worker that falls silent is given up after
   it and a margin, and its lasting tasks have to run again within 7 s.  */
#define TENURE_LEASE_MS 6500
/* Leases are renewed until then while the store is away.  Runs have to outlast
   an outage of 9 s and the second until a commit is confirmed again; the
   longest in the users' site files is 6.8 s.  */
#define TENURE_BOUND_MS 10300
/* Polls are short in the last part of that time, so that a renewal follows at
   once when the store is back.  */
#define TENURE_URGENT_MS 3000
/* Beyond the end of each lease.  */
#define TENURE_MARGIN_MS 150

typedef struct
{
  bool known;    /* false: written by a version without these promises */
  bool released; /* the owner gave the cell up with this row */
  int64_t since_beat_ms; /* from the sending of the last heartbeat to that of
                            this row */
  int64_t bound_ms;      /* as above */
  int64_t lease_ms;      /* longest single lease */
  int64_t inherited_ms;  /* as above */
  int64_t unreached_ms;  /* as above */
} tenure_row_t;

/* What a node knows when it claims the cell.  */
typedef struct
{
  int64_t now_ms;       /* the row was read, or the claim won */
  int64_t heard_ms;     /* when the last heartbeat of the former owner that was
                           stored was seen; 0: it was not seen yet */
  int64_t max_lease_ms; /* that workers accept */
  bool restarted;       /* the former owner's process has ended */
} tenure_view_t;

/* Returns the time by which the leases of all earlier owners have ended.  */
int64_t tenure_leases_end_ms (const tenure_row_t *row,
                              const tenure_view_t *view);
/* The same for workers that the former owner lists as unreached.  */
int64_t tenure_unreached_end_ms (const tenure_row_t *row,
                                 const tenure_view_t *view);

#endif
