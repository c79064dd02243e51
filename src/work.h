#ifndef MAGNOLIADOCK_WORK_H
#define MAGNOLIADOCK_WORK_H

#include "error.h"
#include "queues.h"
#include "resource.h"

#include <jansson.h>

/* NAME
     work - jobs made of dependent steps, as the cells of a deployment run them

      The description of a job never changes once it was accepted.  A step has
   COUNT equal tasks.  A job with TIMES above 0 is recurring: it runs all its
   steps once for each of TIMES occurrences.  The cell does not use
   SPECULATIVE, CHECKPOINTS, IMAGE or MAY_MISS.  All strings are owned by the
   structure that holds them.  */

#define WORK_ID_LENGTH 16
#define WORK_MAX_STEPS 64u
/* The stored row of a job has at most 64 KB.  */
#define WORK_MAX_STEP_TASKS 2000u
#define WORK_MAX_SPEC_BYTES 4000u
/* Largest size of a task in one dimension, and longest duration in ms.  Sums
   over the tasks of all jobs fit in an int64_t.  */
#define WORK_MAX_SIZE ((int64_t)1000000000000)
/* "ID.OCCURRENCE.STEP.INDEX" with its NUL.  */
#define WORK_NAME_BYTES 56

typedef struct
{
  uint32_t count;
  resource_t need; /* of each task */
  int64_t estimate_ms;
  uint32_t *after; /* indexes of the steps to be done before; owned */
  uint32_t after_count;
  bool gang;         /* tasks run all together or not at all */
  bool rack_bound;   /* slower when spread over several racks */
  bool speculative;  /* copies of a task may run in parallel */
  bool lasting;      /* runs until the job is cancelled */
  bool checkpoints;  /* saves its progress */
  bool filler;       /* uses only processor time that others leave idle */
  char *label;       /* a worker must have it; NULL: any worker */
  char *data_rack;   /* rack of the data; NULL: none */
  char *image;       /* tasks with the same image behave alike; may be NULL */
  uint32_t spread;   /* most tasks of the step on one worker; 0: no limit */
  uint32_t may_miss; /* tasks that planned actions may take down at once */
  int64_t tail_limit_ms; /* limit of the tail latency; 0: not serving */
} work_step_t;

typedef struct
{
  char id[WORK_ID_LENGTH + 1];
  char *queue;
  char *spec;
  work_step_t *steps;
  uint32_t step_count;
  uint32_t times;          /* occurrences; 0: the job runs once, at once */
  int64_t first_due_ms;    /* wall time of occurrence 0 */
  int64_t interval_ms;     /* between two occurrences */
  int64_t accepted_ms;     /* wall time of its acceptance */
  bool cancelled;          /* before it was stored */
  uint64_t config_version; /* of the row of the configuration by which it was
                              accepted; 0: unknown */
  queue_t *terms;          /* its queue as configured then, without the fields
                              that are about requests; owned; NULL: unknown */
} work_job_t;

/* The parts of a task's name.  */
typedef struct
{
  char id[WORK_ID_LENGTH + 1];
  uint32_t occurrence;
  uint32_t step;
  uint32_t index;
} work_name_t;

/* Returns a job of STEP_COUNT empty steps.  */
work_job_t *work_job_new (const char *id, const char *queue,
                          uint32_t step_count);
void work_job_free (work_job_t *job);

/* Whether ID has WORK_ID_LENGTH hexadecimal digits.  */
bool work_id_valid (const char *id);

/* Whether JOB is valid: counts and sizes within their limits, steps that
   depend only on earlier ones.  Sets ERROR (ERR_BAD_REQUEST) if not.  */
bool work_job_check (const work_job_t *job, GError **error);

/* Sets the steps that STEP, which has none, depends on.  Returns false unless
   LIST is NULL or a list of numbers of steps.  */
bool work_step_set_after (work_step_t *step, const json_t *list);

/* The row of a job in the store, as JSON.  The encoded text belongs to the
   caller (free).  Decoding returns NULL and sets ERROR if TEXT is not a valid
   job.  */
char *work_job_encode (const work_job_t *job);
work_job_t *work_job_decode (const char *text, size_t length, GError **error);

bool work_job_has_lasting_step (const work_job_t *job);

/* "ID.OCCURRENCE.STEP.INDEX".  */
void work_name_format (char out[WORK_NAME_BYTES], const char *id,
                       uint32_t occurrence, uint32_t step, uint32_t index);
/* "ID.OCCURRENCE.STEP".  */
void work_step_name_format (char out[WORK_NAME_BYTES], const char *id,
                            uint32_t occurrence, uint32_t step);
/* Returns whether TEXT is the name of a task, and sets *NAME if so.  */
bool work_name_parse (const char *text, work_name_t *name);

#endif
