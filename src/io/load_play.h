#ifndef MAGNOLIADOCK_LOAD_PLAY_H
#define MAGNOLIADOCK_LOAD_PLAY_H

#include "load.h"

/* NAME
     load_play - plays a load against a cell and a simulated site  */

typedef struct
{
  uint32_t seed;
  uint32_t callers;  /* calls for advice that can be made at once */
  int64_t finish_ms; /* time after the last arrival in which jobs may end */
  double uneven;     /* durations differ by up to this share */
} load_play_options_t;

typedef struct
{
  uint64_t advice_calls;
  uint32_t starving;      /* lines about a size that starves */
  double most_kept_share; /* of the processors or accelerators, for gangs */
} load_play_stats_t;

/* Sets ENDED_MS, one for each job of LOAD, to when it ended, 0: it did not. */
load_play_stats_t load_play (const load_t *load,
                             const load_play_options_t *options,
                             int64_t *ended_ms);

/* Whether worker WORKER may run the job at index JOB, as the simulated advice
   service decides.  */
bool load_play_allows (const load_t *load, uint32_t job, uint32_t worker);

#endif
