#ifndef MAGNOLIADOCK_SIZE_STATS_H
#define MAGNOLIADOCK_SIZE_STATS_H

#include <stdbool.h>
#include <stdint.h>

/* NAME
     size_stats - how the jobs of a queue fare, by their size

   Pure: no input, output or clock.  The size of a job is its rank by work
   among the last SIZE_RECENT jobs of its queue.  Outcomes are counted over the
   last SIZE_WINDOW_MS.  */

#define SIZE_RECENT 256u
#define SIZE_WINDOW_MS 60000

typedef enum
{
  SIZE_LARGEST_TENTH,
  SIZE_NEXT_FIFTH,
  SIZE_OTHERS,
  SIZE_CLASSES
} size_class_t;

/* "largest_tenth" and so on; SIZE_CLASSES: "all".  */
const char *size_class_name (size_class_t size);

/* What became of a job.  */
typedef enum
{
  SIZE_IN_TIME,
  SIZE_LATE,  /* all of it has run, and ended after its objective */
  SIZE_MISSED /* while it waited it was too late to end in time */
} size_outcome_t;

typedef struct
{
  uint32_t in_time, late, missed;
} size_counts_t;

typedef struct size_stats size_stats_t;

size_stats_t *size_stats_new (void);
void size_stats_free (size_stats_t *stats);

/* Notes that a job with so much WORK (of any unit) has arrived.  Returns its
   size.  */
size_class_t size_stats_add (size_stats_t *stats, double work);

/* Counts a job of SIZE.  Times rise.  */
void size_stats_judge (size_stats_t *stats, size_class_t size,
                       size_outcome_t outcome, int64_t now_ms);
/* What was counted for SIZE, or for all if that is SIZE_CLASSES.  */
size_counts_t size_stats_recent (const size_stats_t *stats, size_class_t size,
                                 int64_t now_ms);
size_counts_t size_counts_add (size_counts_t a, size_counts_t b);

/* Whether PART of ALL jobs starves: it ends in time less than half as often,
   and at least five jobs say so.  */
bool size_starves (size_counts_t part, size_counts_t all);
/* Whether jobs of PART miss their objectives while they wait more often than
   ALL do.  What ends late although it ran at once does not count: it gains
   nothing by going before others.  */
bool size_fares_worse (size_counts_t part, size_counts_t all);

#endif
