#ifndef MAGNOLIADOCK_JOBS_H
#define MAGNOLIADOCK_JOBS_H

#include "entry.h"
#include "sched_io.h"

/* NAME
     jobs - job scheduling in an entry, with its HTTP endpoints

   Opens sched_io (entry->sched_io is its sched_io_t, NULL without a
   table service), passes the instance list, the live entries and the
   configuration on to it, and serves /v1/jobs and /v1/explain.  */

extern const entry_part_t jobs_part;

#endif
