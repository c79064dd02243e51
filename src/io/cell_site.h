#ifndef MAGNOLIADOCK_CELL_SITE_H
#define MAGNOLIADOCK_CELL_SITE_H

#include "cell.h"

/* NAME
     cell_site - simulated workers, store and advice service around a cell

   For benchmarks and tests of decisions: nothing fails, and each call and save
   takes a fixed time.  Time is a fake clock that moves in steps of 1 ms.  The
   spec of a job is the duration of its tasks in ms.  Which workers may run a
   step depends on their names only, so that runs of different builds are
   comparable.  The members of a gang begin when the last one arrives, and end
   together.  */

typedef struct cell_site cell_site_t;

typedef struct
{
  uint32_t seed;    /* of the durations */
  uint32_t callers; /* calls for advice that can be made at once */
  int64_t look_ns;  /* time that a pass takes for each worker it looks at, in
                       which the owner does nothing else */
  double uneven;    /* durations differ by up to this share */
  /* Gets what the cell logs; may be NULL.  */
  void (*logged) (void *context, const char *event, const char *subject);
  void *context;
} cell_site_options_t;

typedef struct
{
  uint64_t starts;
  uint64_t advice_calls;
  uint32_t decisions; /* hash of all starts and calls for advice */
  double pass_us;     /* processor time of all passes */
} cell_site_stats_t;

/* Returns a site without workers (cell_site_free).  QUEUES is copied;
   ALLOWED_SHARES, by index in QUEUES, has the share of the workers on which a
   step may run.  OPTIONS is copied.  */
cell_site_t *cell_site_new (const cell_site_options_t *options,
                            const queue_table_t *queues,
                            const double *allowed_shares);
void cell_site_free (cell_site_t *site);

/* Adds a worker that takes 1 / SPEED times the duration of a task.  LABELS
   ends with a NULL.  Before cell_site_begin.  */
void cell_site_add_worker (cell_site_t *site, resource_t capacity,
                           double speed, const char *rack,
                           const char *const *labels);
void cell_site_begin (cell_site_t *site);

/* Hands in JOB, of which it takes ownership, now.  */
void cell_site_submit (cell_site_t *site, work_job_t *job);
/* Moves time by 1 ms.  Returns how many steps waited if there was a pass, -1
   otherwise.  */
int64_t cell_site_advance (cell_site_t *site);

cell_t *cell_site_cell (const cell_site_t *site);
int64_t cell_site_now_ms (const cell_site_t *site);
void cell_site_stats (const cell_site_t *site, cell_site_stats_t *stats);
/* Share of the calls answered since FROM_MS, and now expired, of which no
   ticket was used.  */
double cell_site_useless_calls (const cell_site_t *site, int64_t from_ms);
/* Whether STEP ("ID.OCCURRENCE.STEP") may run on worker AT, if its queue
   allows SHARE of the workers.  */
bool cell_site_allows (const char *step, uint32_t at, double share);

#endif
