#include "fake_wall.h"

#include <sys/syscall.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define NS_PER_US 1000

static int64_t offset_ms;

void
fake_wall_set_offset (int64_t new_offset_ms)
{
  offset_ms = new_offset_ms;
}

int
clock_gettime (clockid_t id, struct timespec *time)
{
  int status = (int)syscall (SYS_clock_gettime, id, time);
  if (status != 0 || id != CLOCK_REALTIME || offset_ms == 0)
    return status;
  int64_t wall_ms = time->tv_sec * (int64_t)MS_PER_S
                    + time->tv_nsec / NS_PER_MS + offset_ms;
  time->tv_sec = wall_ms / MS_PER_S;
  time->tv_nsec = wall_ms % MS_PER_S * NS_PER_MS;
  return 0;
}

int
gettimeofday (struct timeval *time, void *zone)
{
  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  time->tv_sec = now.tv_sec;
  time->tv_usec = now.tv_nsec / NS_PER_US;
  return 0;
}
