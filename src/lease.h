#ifndef MAGNOLIADOCK_LEASE_H
#define MAGNOLIADOCK_LEASE_H

#include <stdbool.h>
#include <stdint.h>

/* NAME
     lease - lease times and when a task may be given to another worker  */

#define LEASE_MS 15000
#define LEASE_RENEW_MS 5000
/* A worker that holds no task by its row is asked less often; still within a
   lease, in case a row has just changed.  */
#define LEASE_IDLE_MS 10000
#define LEASE_LIST_LAG_MS 10000
/* Clocks of two machines may run 1% apart.  */
#define LEASE_RATE_PERCENT 1
#define LEASE_MARGIN_MS 500

/* What is known about the worker that holds a task.  */
typedef struct
{
  bool confirmed_stop;   /* this generation ended, stopped or unknown there */
  int64_t held_in;       /* incarnation that the assignment names */
  int64_t incarnation;   /* highest incarnation seen of that worker */
  int64_t gone_since_ms; /* when the list first showed it gone, -1: not */
} lease_holder_t;

/* How long after the list shows a worker as gone the last lease it may have
   been granted has surely run out there.  */
int64_t lease_gone_wait_ms (void);

/* Whether the generation may be raised for another worker at NOW_MS.  */
bool lease_may_move (const lease_holder_t *holder, int64_t now_ms);

#endif
