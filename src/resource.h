#ifndef MAGNOLIADOCK_RESOURCE_H
#define MAGNOLIADOCK_RESOURCE_H

#include <stdbool.h>
#include <stdint.h>

/* NAME
     resource - capacity vector of a worker, a task or a quota  */

typedef struct
{
  int64_t cpu_millis; /* thousandths of a core */
  int64_t memory_mib;
  int64_t accelerators;
} resource_t;

/* Inline, since passes over many workers spend much of their time here.  */
static inline resource_t
resource_add (resource_t a, resource_t b)
{
  return (resource_t){ a.cpu_millis + b.cpu_millis,
                       a.memory_mib + b.memory_mib,
                       a.accelerators + b.accelerators };
}

static inline resource_t
resource_sub (resource_t a, resource_t b)
{
  return (resource_t){ a.cpu_millis - b.cpu_millis,
                       a.memory_mib - b.memory_mib,
                       a.accelerators - b.accelerators };
}

/* Returns whether NEED fits in FREE in every dimension.  */
static inline bool
resource_fits (resource_t need, resource_t free)
{
  return need.cpu_millis <= free.cpu_millis
         && need.memory_mib <= free.memory_mib
         && need.accelerators <= free.accelerators;
}

/* Returns how many cores R counts as, by which work is compared: an
   accelerator counts as 8, memory as none.  */
double resource_cores (resource_t r);

/* Returns whether any dimension of R is negative.  */
bool resource_negative (resource_t r);

/* Returns the largest of used/total over the dimensions whose total is not 0,
   the dominant share of dominant-resource fairness (Ghodsi et al., 2011).  */
double resource_dominant_share (resource_t used, resource_t total);

#endif
