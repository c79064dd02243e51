#ifndef MAGNOLIADOCK_LOAD_H
#define MAGNOLIADOCK_LOAD_H

#include "queues.h"
#include "resource.h"
#include "work.h"

/* NAME
     load - what a fleet is asked to run: recorded, or drawn from a pattern

   A load is a fleet of equal workers and the jobs of one step that arrive
   there.  Its text form has one entry a line, words separated by spaces; "#"
   begins a comment:

     workers COUNT CPU_MILLIS MEMORY_MIB ACCELERATORS
     kind NAME PRIORITY STRETCH TARGET_MS ADVICE_MS ADVICE_EACH_MS ALLOWED GANG
     job AT_MS KIND TASKS CPU_MILLIS MEMORY_MIB ACCELERATORS TASK_MS
   ESTIMATE_MS

   ALLOWED is the share of the workers that the advice service allows for a
   step, GANG 1 if the tasks of a job run all together.  TASK_MS is the
   duration of a task, ESTIMATE_MS what the job says of it.  A pattern has
   lines "pattern" instead of "job":

     pattern KIND PER_S TASKS TASKS_MAX CPU_MILLIS MEMORY_MIB ACCELERATORS
       TASK_MS TASK_MS_MAX

   ACCELERATORS is a list with commas, of which each job has one; TASKS and
   TASK_MS are means.  A load has at most LOAD_MAX_JOBS jobs.  */

#define LOAD_MAX_JOBS 20000u
#define LOAD_MAX_KINDS 16u

typedef struct
{
  char *name;
  uint32_t priority;
  double stretch;
  int64_t target_ms;
  double advice_ms, advice_each_ms;
  double allowed_share;
  bool gang;
} load_kind_t;

typedef struct
{
  int64_t at_ms;
  uint32_t kind;
  uint32_t tasks;
  resource_t need; /* of each task */
  int64_t task_ms, estimate_ms;
} load_job_t;

typedef struct
{
  uint32_t kind;
  double per_s;
  double tasks;
  uint32_t tasks_max;
  int64_t cpu_millis, memory_mib;
  GArray *accelerators; /* int64_t, owned */
  double task_ms;
  int64_t task_ms_max;
} load_pattern_t;

typedef struct
{
  uint32_t workers;
  resource_t capacity; /* of each worker */
  GArray *kinds;       /* load_kind_t */
  GArray *jobs;        /* load_job_t, in the order of AT_MS */
  GArray *patterns;    /* load_pattern_t */
} load_t;

/* Returns NULL and sets ERROR (ERR_BAD_REQUEST), which names the line, if TEXT
   cannot be read (load_free).  */
load_t *load_parse (const char *text, GError **error);
void load_free (load_t *load);

/* Adds jobs drawn by the patterns of LOAD, FOR_MS long.  RATE multiplies their
   number.  */
void load_draw (load_t *load, uint32_t seed, int64_t for_ms, double rate);

const load_kind_t *load_kind_of (const load_t *load, const load_job_t *job);

/* Time from its arrival in which JOB should end, as its callers count it: by
   its true duration on a sound worker.  */
int64_t load_objective_ms (const load_t *load, const load_job_t *job);

/* Seconds of a core that JOB needs, see resource_cores.  */
double load_core_seconds (const load_job_t *job);

/* Sizes by which a load is judged: the jobs of a kind in the order of their
   work.  */
typedef enum
{
  LOAD_LARGEST_TENTH,
  LOAD_NEXT_FIFTH,
  LOAD_OTHERS,
  LOAD_SIZES
} load_size_t;

/* Sets SIZES, one for each job of LOAD.  */
void load_sizes (const load_t *load, load_size_t *sizes);

/* Jobs of one kind and size, and what became of them.  */
typedef struct
{
  uint32_t jobs, in_time, late;
} load_result_t;

/* Adds up what became of the jobs: ENDED_MS, one for each job, says when it
   ended, 0: it did not.  RESULTS: by kind, then size.  */
void load_results (const load_t *load, const int64_t *ended_ms,
                   load_result_t results[][LOAD_SIZES]);

/* What the best packing could serve, whatever the decisions.  */
typedef struct
{
  /* At most this share of all work can be done in time, and late: by adding up
     room, as if tasks could be cut at will.  */
  double work_in_time, work_late;
} load_bound_t;

load_bound_t load_bound (const load_t *load);

/* Returns the jobs by the priority of their kind, those of one priority by
   their work, most first: indexes (uint32_t; g_array_unref).  */
GArray *load_by_work (const load_t *load);

/* Packs LOAD with full knowledge of it: one job after another, in the order of
   load_by_work, starts as early as its tasks fit into what
   is left of the workers that may run them.  Sets ENDED_MS as for
   load_results.  What this serves, a scheduler could serve at best or
   better.  ALLOWED says whether a worker may run a job.  */
void load_pack (const load_t *load,
                bool (*allowed) (const load_t *load, uint32_t job,
                                 uint32_t worker),
                int64_t *ended_ms);

#endif
