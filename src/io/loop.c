#include "loop.h"

#include <glib.h>

struct loop_timer
{
  ev_timer watcher;
  struct ev_loop *loop;
  void (*callback) (void *context);
  void *context;
};

static struct timespec
read_boottime (const clk_t *self)
{
  struct timespec now;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return now;
}

static struct timespec
read_realtime (const clk_t *self)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  return now;
}

const clk_t *
loop_clock (void)
{
  static const clk_t clock = { read_boottime, read_realtime };
  return &clock;
}

static void
on_timer (struct ev_loop *loop, ev_timer *watcher, int events)
{
  loop_timer_t *timer = watcher->data;
  timer->callback (timer->context);
}

loop_timer_t *
loop_timer_new (struct ev_loop *loop, int64_t period_ms,
                void (*callback) (void *context), void *context)
{
  loop_timer_t *timer = g_new0 (loop_timer_t, 1);
  double period_s = (double)period_ms / 1000.0;
  timer->loop = loop;
  timer->callback = callback;
  timer->context = context;
  ev_timer_init (&timer->watcher, on_timer, period_s, period_s);
  timer->watcher.data = timer;
  ev_timer_start (loop, &timer->watcher);
  return timer;
}

void
loop_timer_free (loop_timer_t *timer)
{
  if (timer == NULL)
    return;
  ev_timer_stop (timer->loop, &timer->watcher);
  g_free (timer);
}
