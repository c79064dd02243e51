#ifndef MAGNOLIADOCK_LEASE_H
#define MAGNOLIADOCK_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/* NAME
     lease - lease durations and when a task may move to another worker

   A worker runs a task only while it holds a lease that an entry renews.  */

#define LEASE_MS 15000
#define LEASE_RENEW_MS 5000
/* Renewal interval of a worker to which its row, as last read, assigns no
   tasks.  Shorter than a lease, since a newer row may assign one already.  */
#define LEASE_IDLE_RENEW_MS 10000
/* Longest time until every entry's instance list shows that a worker is gone;
   until then another entry may still renew its lease.  */
#define LEASE_LIST_LAG_MS 10000
/* Clocks of two machines may run this much faster or slower.  */
#define LEASE_CLOCK_DRIFT_PERCENT 1
/* Safety margin of lease_gone_wait_ms beyond the drift.  */
#define LEASE_MARGIN_MS 500

/* What is known about the worker that holds a task.  */
typedef struct
{
  /* The worker reported this generation of the task as ended, stopped or
     unknown to it.  */
  bool confirmed_stop;
  int64_t assigned_incarnation; /* incarnation in the assignment */
  int64_t latest_incarnation;   /* highest seen of that worker */
  int64_t gone_since_ms; /* when the list first showed it as gone, -1: it is
                            not gone */
} lease_holder_t;

/* Returns the wait, from when the list first shows a worker as gone, after
   which every lease that it may hold has expired on it.  */
int64_t lease_gone_wait_ms (void);

/* Returns whether the task may be given to another worker, under the next
   generation, at NOW_MS.  */
bool lease_may_move (const lease_holder_t *holder, int64_t now_ms);

#endif
