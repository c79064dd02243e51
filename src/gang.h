#ifndef MAGNOLIADOCK_GANG_H
#define MAGNOLIADOCK_GANG_H

#include "fleet.h"

/* NAME
     gang - reservation for the all-at-once job (gang) that has waited longest

   A zone has one reservation at a time, so that two large jobs cannot each
   hold half of what the other one needs.  It records the ready time, at which
   all tasks of the job are expected to fit according to the estimated run
   times, and how many of them are reserved on each worker.  Other tasks may
   use these workers only if they end by then or leave that much capacity
   free.  */

/* Expected end of a running task, which releases SIZE on WORKER.  */
typedef struct
{
  uint32_t worker;
  int64_t end_ms; /* INT64_MAX: unknown */
  resource_t size;
} gang_release_t;

/* The reservation of a zone.  */
typedef struct
{
  char *job; /* NULL: no reservation */
  resource_t size;
  uint32_t task_count;
  int64_t ready_ms;        /* when all tasks are expected to fit */
  int64_t deadline_ms;     /* when the reservation expires, whether or not the
                              tasks fit */
  int64_t computed_ms;     /* when it was last computed */
  GArray *reserved_tasks;  /* uint32_t by worker */
  GArray *free_when_ready; /* resource_t by worker: free at ready_ms */
} gang_t;

void gang_init (gang_t *gang);
void gang_clear (gang_t *gang);

/* Reserves for JOB, replacing any reservation, and marks the workers as
   reserved.  Sorts RELEASES (gang_release_t).  A reservation for the same job
   keeps its deadline.  Returns whether a ready time was found; otherwise there
   is no reservation afterwards.  */
bool gang_reserve (gang_t *gang, fleet_t *fleet, const char *job,
                   resource_t size, uint32_t task_count, GArray *releases,
                   int64_t now_ms);
void gang_cancel (gang_t *gang, fleet_t *fleet);

/* Returns whether a task of SIZE that ends at END_MS may be placed on WORKER
   without delaying the reservation.  */
bool gang_may_use (const gang_t *gang, uint32_t worker, resource_t size,
                   int64_t end_ms);
/* Deducts a task that was placed on WORKER from what is free at ready_ms,
   unless it ends by then.  */
void gang_deduct (gang_t *gang, uint32_t worker, resource_t size,
                  int64_t end_ms);

#endif
