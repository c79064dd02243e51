#ifndef MAGNOLIADOCK_FRESHNESS_H
#define MAGNOLIADOCK_FRESHNESS_H

#include <stdbool.h>
#include <stdint.h>

/* NAME
     freshness - whether a copy of a stored value may be relied on

   A copy of a value that others change may be out of date without showing it.
   It is relied on only as long as somebody who knows has confirmed, no longer
   ago than a limit, that no newer version existed.  So what is decided by it
   is never later than the limit behind an acknowledged change, whatever
   becomes of the ways by which changes are told.

   Times are those of one monotonic clock that also runs while the machine is
   suspended, versions those of the store.  No input, output or memory of its
   own.  */

typedef struct
{
  int64_t limit_ms;       /* longest age of a confirmation */
  int64_t heard_limit_ms; /* for how long a version may be missing that is
                             known to exist */
  uint64_t version;       /* of the copy; 0: none */
  int64_t confirmed_ms;   /* no version newer than VERSION existed then */
  uint64_t heard_version; /* the newest one known to exist */
  int64_t heard_ms;       /* since when one newer than VERSION is known */
  int64_t last_heard_ms;  /* when it was heard of last */
} freshness_t;

void freshness_init (freshness_t *freshness, int64_t limit_ms,
                     int64_t heard_limit_ms);

/* The copy has VERSION from now on.  Lower ones than before are ignored.  */
void freshness_replaced (freshness_t *freshness, uint64_t version);
/* VERSION was the newest one at AS_OF_MS.  Tells nothing about a copy of
   another version.  */
void freshness_confirmed (freshness_t *freshness, uint64_t version,
                          int64_t as_of_ms);
/* VERSION exists, as somebody has told at NOW_MS.  */
void freshness_heard (freshness_t *freshness, uint64_t version,
                      int64_t now_ms);

/* The moment for which an answer at NOW_MS to a call for changes speaks.  The
   call was sent at SENT_MS and answered after WAIT_MS at the latest, or as
   soon as there were changes; CHANGED: the answer has some.  */
int64_t freshness_as_of_ms (int64_t sent_ms, int64_t wait_ms, int64_t now_ms,
                            bool changed);

/* Whether a version that the copy does not have is known to exist.  */
bool freshness_is_behind (const freshness_t *freshness);
/* Time since the last confirmation, or INT64_MAX without a copy.  */
int64_t freshness_age_ms (const freshness_t *freshness, int64_t now_ms);
/* Whether what is decided at NOW_MS may rely on the copy.  */
bool freshness_is_current (const freshness_t *freshness, int64_t now_ms);

#endif
