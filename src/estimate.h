#ifndef MAGNOLIADOCK_ESTIMATE_H
#define MAGNOLIADOCK_ESTIMATE_H

#include "resource.h"

/* NAME
     estimate - corrected sizes and run times from lagging usage  */

#define ESTIMATE_FRESH_MS 30000
/* Processors are promised up to 125%, only to tasks that may be throttled:
   each of these reserves 80% of what it declares.  */
#define ESTIMATE_THROTTLE_PERCENT 80

typedef struct
{
  uint32_t memory_p95_mib;
  uint32_t samples;
  int64_t run_ms; /* high estimate of the run time, 0: none */
  uint32_t runs;
} estimate_t;

/* Takes one task's used memory.  Usage that is older than ESTIMATE_FRESH_MS or
   negative is unknown and changes nothing.  */
void estimate_usage (estimate_t *estimate, int64_t memory_mib, int64_t age_ms);
void estimate_run (estimate_t *estimate, int64_t run_ms);

/* What a new task reserves.  */
resource_t estimate_reserve (const estimate_t *estimate, resource_t declared,
                             bool throttle);

/* When a task that has run for RAN_MS at NOW_MS is expected to end; INT64_MAX
   if nothing is known.  */
int64_t estimate_end_ms (const estimate_t *estimate, int64_t declared_ms,
                         int64_t ran_ms, int64_t now_ms);

#endif
