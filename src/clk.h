#ifndef MAGNOLIADOCK_CLK_H
#define MAGNOLIADOCK_CLK_H

#include <stdint.h>
#include <time.h>

/* NAME
     clk - clock interface and arithmetic on instants

   The core never reads the system's clock.  It is given a clk_t: the ring
   passes one that reads CLOCK_BOOTTIME, tests pass a clk_fake_t.  Instants are
   struct timespec at interfaces; inside the core they are kept as int64_t
   milliseconds or nanoseconds since the clock's start, with the unit in the
   name.  */

typedef struct clk clk_t;

struct clk
{
  struct timespec (*now) (const clk_t *self);  /* never goes back */
  struct timespec (*wall) (const clk_t *self); /* for logs and history only */
};

/* Clock that stands still until a test moves it.  */
typedef struct
{
  clk_t base;
  struct timespec now;
} clk_fake_t;

int64_t clk_now_ms (const clk_t *clock);
int64_t clk_now_ns (const clk_t *clock);
int64_t clk_wall_ms (const clk_t *clock);

int64_t clk_to_ms (struct timespec instant);
struct timespec clk_from_ms (int64_t instant_ms);

/* Sets up CLOCK at START_MS.  */
void clk_fake_init (clk_fake_t *clock, int64_t start_ms);
void clk_fake_advance_ms (clk_fake_t *clock, int64_t by_ms);

#endif
