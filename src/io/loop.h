#ifndef MAGNOLIADOCK_LOOP_H
#define MAGNOLIADOCK_LOOP_H

#include "clk.h"

#include <ev.h>

/* NAME
     loop - the event loop's clock and periodic timers  */

/* Returns the process's clock (CLOCK_BOOTTIME, which also runs while the
   machine is suspended; CLOCK_REALTIME for wall time).  Static storage.  */
const clk_t *loop_clock (void);

typedef struct loop_timer loop_timer_t;

/* Calls CALLBACK every PERIOD_MS, first after PERIOD_MS.  */
loop_timer_t *loop_timer_new (struct ev_loop *loop, int64_t period_ms,
                              void (*callback) (void *context), void *context);
/* Stops and frees TIMER; NULL is allowed.  */
void loop_timer_free (loop_timer_t *timer);

#endif
