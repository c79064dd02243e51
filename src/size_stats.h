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

typedef struct
{
  uint32_t in_time;
  uint32_t missed; /* their objectives */
} size_counts_t;

typedef struct size_stats size_stats_t;

size_stats_t *size_stats_new (void);
void size_stats_free (size_stats_t *stats);

/* Notes that a job with so much WORK (of any unit) has arrived.  Returns its
   size.  */
size_class_t size_stats_add (size_stats_t *stats, double work);

/* Counts a job of SIZE that has ended in time, or has missed its objective.
   Times rise.  */
void size_stats_judge (size_stats_t *stats, size_class_t size, bool in_time,
                       int64_t now_ms);
/* What was counted for SIZE, or for all if that is SIZE_CLASSES.  */
size_counts_t size_stats_recent (const size_stats_t *stats, size_class_t size,
                                 int64_t now_ms);

/* Whether PART of ALL jobs starves: it ends in time less than half as often,
   and at least five jobs say so.  */
bool size_starves (size_counts_t part, size_counts_t all);

#endif
