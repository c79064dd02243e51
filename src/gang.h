#ifndef MAGNOLIADOCK_GANG_H
#define MAGNOLIADOCK_GANG_H

#include "fleet.h"

/* NAME
     gang - reservation for the all-at-once job that waits longest

   There is one reservation at a time in a zone, so two large jobs cannot each
   hold half of what the other one needs.  It names the instant at which, by
   the corrected run times, all tasks of the job fit, and how many of them each
   worker will hold then.  Other tasks may use these workers only if they end
   before that instant or leave that much room.  */

/* A running task that will give back SIZE on WORKER.  */
typedef struct
{
  uint32_t worker;
  int64_t end_ms; /* INT64_MAX: not known to end */
  resource_t size;
} gang_release_t;

typedef struct
{
  char *job; /* NULL: no reservation */
  resource_t size;
  uint32_t tasks;
  int64_t ready_ms;    /* when the tasks are expected to fit */
  int64_t deadline_ms; /* then the reservation ends, fitting or not */
  int64_t made_ms;
  GArray *counts; /* uint32_t for each worker: tasks reserved there */
  GArray *room;   /* resource_t for each worker: free at ready_ms */
} gang_t;

void gang_init (gang_t *gang);
void gang_clear (gang_t *gang);

/* Reserves for JOB, replacing any reservation, and marks the fleet's slots.
   RELEASES is sorted by this call.  A reservation for the same job keeps its
   deadline.  Returns whether an instant was found; otherwise there is no
   reservation afterwards.  */
bool gang_reserve (gang_t *gang, fleet_t *fleet, const char *job,
                   resource_t size, uint32_t tasks, GArray *releases,
                   int64_t now_ms);
void gang_drop (gang_t *gang, fleet_t *fleet);

/* Whether a task of SIZE that ends at END_MS may be put on WORKER without
   delaying the reservation.  */
bool gang_may_use (const gang_t *gang, uint32_t worker, resource_t size,
                   int64_t end_ms);
/* Accounts for a task that was put there and ends after ready_ms.  */
void gang_used (gang_t *gang, uint32_t worker, resource_t size,
                int64_t end_ms);

#endif
