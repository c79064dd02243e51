#ifndef MAGNOLIADOCK_BLAME_H
#define MAGNOLIADOCK_BLAME_H

#include <stdbool.h>
#include <stdint.h>

/* NAME
     blame - which task is to blame for the crash of its worker

   A task may crash each worker that starts it; all runs beside it are lost
   too.  Nothing tells which run it was, so blame is narrowed down in steps:
   a task that may be to blame runs apart next time, on a worker where no run
   of another job starts shortly before or after it.  If that worker crashes
   too, the task is given up.  Tasks that only ran beside go on.

   A task starts at most BLAME_MAX_LOSSES times on workers that are lost.
   Decisions only; no clock, input or output.  */

/* A run that has survived this long has probably not crashed its worker by
   being started.  */
#define BLAME_SETTLE_MS 500
/* The same for a task whose crashes may come later after the start.  */
#define BLAME_LONG_SETTLE_MS 10000
/* A task whose runs were lost with that many workers is given up even if it
   never ran apart: three crashes and two more starts are the most that the
   platform accepts.  */
#define BLAME_MAX_LOSSES 5u

/* What is known of a task; saved with it.  Each number includes those before
   it.  */
typedef struct
{
  uint32_t suspected; /* crashed workers for which it may be to blame */
  uint32_t crashes;   /* workers that crashed alone, with a run of it */
  uint32_t losses;    /* runs lost with their worker, also with others at the
                         same time or by silence until the lease expired */
} blame_history_t;

/* A run on a worker that is lost.  */
typedef struct
{
  const char *job; /* id */
  blame_history_t history;
  int64_t age_ms; /* from the start to the loss; -1: unknown, perhaps it was
                     never started */
  bool lasting;
  bool may_have_ended; /* before the loss showed */
} blame_run_t;

typedef enum
{
  BLAME_NONE,      /* lost after it had run well for long */
  BLAME_UNRELATED, /* lost with several workers, or with a silent one */
  BLAME_BYSTANDER, /* ran beside */
  BLAME_SUSPECT,   /* may be to blame */
  BLAME_CULPRIT    /* the only job that may be to blame, while it ran apart */
} blame_verdict_t;

/* How long the next run of a task has to be apart from starts of other jobs,
   0 if it need not.  */
int64_t blame_isolation_ms (const blame_history_t *history);

/* Sets VERDICTS[i] for each of the COUNT runs on a worker that has crashed.
   COMMON_CAUSE: other workers were lost at the same time.  */
void blame_judge (const blame_run_t *runs, uint32_t count, bool common_cause,
                  blame_verdict_t *verdicts);
/* The verdict on one run of a worker that stayed silent until its lease
   expired, and has perhaps not crashed.  */
blame_verdict_t blame_judge_silent (const blame_run_t *run);

/* Adds VERDICT to HISTORY.  Returns whether the task is to be given up.  */
bool blame_add (blame_history_t *history, blame_verdict_t verdict);

/* Whether HISTORY has as many losses as a task may have.  */
bool blame_losses_exhausted (const blame_history_t *history);

/* The loss of a worker, which fell between two times.  */
typedef struct
{
  uint32_t worker; /* hash of its id */
  uint32_t rack;   /* hash of its name */
  uint32_t job;    /* hash of the id of the job started there last; 0: none */
  int64_t from_ms;
  int64_t to_ms;
} blame_loss_t;

/* The others that were there when a worker was lost.  */
typedef struct
{
  const uint32_t *rack; /* hashes of the ids of the others in its rack that are
                           still known */
  uint32_t rack_count;
  uint32_t all_count; /* workers of the cell */
} blame_others_t;

/* Whether the loss ONE and some of COUNT LOSSES of other workers may have a
   cause in common: at about the same time all others of its rack were lost, or
   two workers anywhere; if the time of ONE is not known well, a quarter of all
   and three at least.  Losses where the same job was started last are ignored,
   since that job may be the cause.  */
bool blame_common_cause (const blame_loss_t *losses, uint32_t count,
                         const blame_loss_t *one,
                         const blame_others_t *others);

#endif
