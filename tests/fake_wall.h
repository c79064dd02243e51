#ifndef MAGNOLIADOCK_FAKE_WALL_H
#define MAGNOLIADOCK_FAKE_WALL_H

#include <stdint.h>

/* NAME
     fake_wall - jumps of the time of day

   Replaces clock_gettime and gettimeofday for the whole program, libev
   included.  */

/* The time of day differs from the machine's by OFFSET_MS from now on.  */
void fake_wall_set_offset (int64_t offset_ms);

#endif
