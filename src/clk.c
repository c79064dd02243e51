#include "clk.h"

#define NS_PER_S INT64_C (1000000000)
#define NS_PER_MS INT64_C (1000000)
#define MS_PER_S INT64_C (1000)

int64_t
clk_to_ms (struct timespec time)
{
  return time.tv_sec * MS_PER_S + time.tv_nsec / NS_PER_MS;
}

struct timespec
clk_from_ms (int64_t time_ms)
{
  struct timespec time = { .tv_sec = time_ms / MS_PER_S,
                           .tv_nsec = (time_ms % MS_PER_S) * NS_PER_MS };
  return time;
}

int64_t
clk_now_ms (const clk_t *clock)
{
  return clk_to_ms (clock->now (clock));
}

int64_t
clk_now_ns (const clk_t *clock)
{
  struct timespec now = clock->now (clock);
  return now.tv_sec * NS_PER_S + now.tv_nsec;
}

int64_t
clk_wall_ms (const clk_t *clock)
{
  return clk_to_ms (clock->wall (clock));
}

static struct timespec
fake_now (const clk_t *self)
{
  return ((const clk_fake_t *)self)->now;
}

void
clk_fake_init (clk_fake_t *clock, int64_t start_ms)
{
  clock->base.now = fake_now;
  clock->base.wall = fake_now;
  clock->now = clk_from_ms (start_ms);
}

void
clk_fake_advance_ms (clk_fake_t *clock, int64_t by_ms)
{
  clock->now = clk_from_ms (clk_to_ms (clock->now) + by_ms);
}
