#ifndef MAGNOLIADOCK_ESTIMATE_H
#define MAGNOLIADOCK_ESTIMATE_H

#include "resource.h"

/* NAME
     estimate - task sizes and run times, corrected by reported usage

   There is one estimate for each job.  Usage reports may be late.  */

/* Older usage reports are ignored.  */
#define ESTIMATE_MAX_AGE_MS 30000
/* Share of its declared processors that a throttleable task reserves: such
   tasks may declare up to 125% of a worker's processors together.  */
#define ESTIMATE_THROTTLEABLE_CPU_PERCENT 80

typedef struct
{
  uint32_t memory_p95_mib; /* 95th percentile */
  uint32_t memory_samples;
  int64_t run_ms; /* high estimate of the run time, 0: none */
  uint32_t runs;
} estimate_t;

/* Adds a sample of one task's used memory.  Samples that are negative or older
   than ESTIMATE_MAX_AGE_MS count as unknown and change nothing.  */
void estimate_add_memory (estimate_t *estimate, int64_t memory_mib,
                          int64_t age_ms);
/* Adds the run time of a task that has ended.  */
void estimate_add_run (estimate_t *estimate, int64_t run_ms);

/* Returns the size that a new task reserves.  */
resource_t estimate_reserved_size (const estimate_t *estimate,
                                   resource_t declared, bool throttleable);

/* Returns when a task that has run for RAN_MS at NOW_MS is expected to end;
   INT64_MAX if no run time is declared or estimated.  */
int64_t estimate_end_ms (const estimate_t *estimate, int64_t declared_ms,
                         int64_t ran_ms, int64_t now_ms);

#endif
