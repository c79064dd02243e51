#ifndef MAGNOLIADOCK_CLK_H
#define MAGNOLIADOCK_CLK_H

#include <stdint.h>
#include <time.h>

/* NAME
     clk - clock interface and conversion of times

   The core never reads the system clock, but a clk_t: the I/O layer passes one
   that reads CLOCK_BOOTTIME, tests pass a clk_fake_t.  A clk_t returns
   struct timespec; the core uses int64_t milliseconds or nanoseconds since the
   clock's start, with the unit in the name.  */

typedef struct clk clk_t;

struct clk
{
  /* Monotonic.  */
  struct timespec (*now) (const clk_t *self);
  /* Time of day; may jump, so not for durations.  */
  struct timespec (*wall) (const clk_t *self);
};

/* Clock that only a test advances; wall time equals now.  */
typedef struct
{
  clk_t base;
  struct timespec now;
} clk_fake_t;

int64_t clk_now_ms (const clk_t *clock);
int64_t clk_now_ns (const clk_t *clock);
int64_t clk_wall_ms (const clk_t *clock);

int64_t clk_to_ms (struct timespec time);
struct timespec clk_from_ms (int64_t time_ms);

void clk_fake_init (clk_fake_t *clock, int64_t start_ms);
void clk_fake_advance_ms (clk_fake_t *clock, int64_t by_ms);

#endif
