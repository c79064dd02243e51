#ifndef MAGNOLIADOCK_LEASE_H
#define MAGNOLIADOCK_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/* NAME
     lease - lease durations and when a task may move to another worker

   A worker runs a task only while it holds a lease that an entry renews.  */

#define LEASE_MS 15000
#define LEASE_RENEW_MS 5000
/* Renewal interval of a worker without tasks by its row; shorter than a lease,
   as the row may just have changed.  */
#define LEASE_IDLE_RENEW_MS 10000
/* Longest time until every entry's instance list shows that a worker is gone;
   until then another entry may still renew its lease.  */
#define LEASE_LIST_LAG_MS 10000
/* Clocks of two machines may run this much faster or slower.  */
#define LEASE_CLOCK_DRIFT_PERCENT 1
#define LEASE_MARGIN_MS 500

/* What is known about the worker that holds a task.  */
typedef struct
{
  bool confirmed_stop; /* this generation ended, stopped or unknown there */
  int64_t assigned_incarnation; /* incarnation in the assignment */
  int64_t latest_incarnation;   /* highest seen of that worker */
  int64_t gone_since_ms; /* when the list first showed it gone, -1: not */
} lease_holder_t;

/* Returns how long after the list shows a worker as gone every lease that it
   may have been granted has expired on it.  */
int64_t lease_gone_wait_ms (void);

/* Returns whether the task may be given to another worker, under the next
   generation, at NOW_MS.  */
bool lease_may_move (const lease_holder_t *holder, int64_t now_ms);

#endif
