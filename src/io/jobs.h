#ifndef MAGNOLIADOCK_JOBS_H
#define MAGNOLIADOCK_JOBS_H

#include "entry.h"
#include "tasks.h"

/* NAME
     jobs - the part of an entry that schedules tasks, with its endpoints

   Opens tasks (entry->tasks is its tasks_t, NULL without a table service),
   passes the instance list, the live entries and the configuration on to it,
   and serves /v1/jobs and /v1/explain.  */

extern const entry_part_t jobs_part;

#endif
