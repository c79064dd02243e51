#ifndef MAGNOLIADOCK_JOB_H
#define MAGNOLIADOCK_JOB_H

#include "dispatch.h"
#include "error.h"
#include "resource.h"

#include <jansson.h>

/* NAME
     job - job specification and the job, part and worker rows

   The tasks of a job are divided between zones; one zone's share is a part.
   The rows of the table service are JSON; each kind has a structure here that
   is parsed from it and written to it.  The structures own their strings and
   arrays unless stated.  */

#define JOB_MAX_TASKS 20000
#define JOB_ID_MAX_BYTES 64

typedef enum
{
  JOB_SERVICE,
  JOB_BATCH,
  JOB_ALL_AT_ONCE,
  JOB_KIND_COUNT
} job_kind_t;

typedef enum
{
  JOB_ACCEPTED,
  JOB_CANCELLING,
  JOB_CANCELLED,
  JOB_ENDED,
  JOB_REFUSED,
  JOB_STATE_COUNT
} job_state_t;

/* State of a task: its letter in the "state" string of a part row.  */
typedef enum
{
  TASK_WAITING = 'w',
  TASK_ASSIGNED = 'a',
  TASK_ENDED = 'e',
  TASK_FAILED = 'f',
  TASK_CANCELLED = 'x'
} task_state_t;

typedef struct
{
  char *id; /* NULL until one is assigned */
  job_kind_t kind;
  class_t class;
  char *team;
  uint32_t task_count;
  resource_t size; /* of each task */
  char *command;
  int64_t run_ms;       /* declared run time, 0: unknown */
  int32_t max_failures; /* restarts after failures per task, -1: no limit */
  int64_t backoff_ms;   /* before the first restart, doubled for each next */
  char **zones;         /* NULL-terminated; NULL: every zone */
  int32_t priority;     /* -100 to 100, highest first in its class and team */
  bool throttleable;    /* CPU may be cut to the reserved size under load */
} job_spec_t;

/* Returns a new specification, or NULL and an error in ERROR_DOMAIN that names
   the invalid field and what was expected.  */
job_spec_t *job_spec_parse (const json_t *json, GError **error);
json_t *job_spec_to_json (const job_spec_t *spec);
void job_spec_free (job_spec_t *spec);

const char *job_kind_name (job_kind_t kind);
const char *job_state_name (job_state_t state);
const char *job_class_name (class_t class);
bool job_class_parse (const char *name, class_t *class);

/* Returns whether ID is 1 to JOB_ID_MAX_BYTES letters, digits, '.', '_' or
 * '-'.  */
bool job_id_valid (const char *id);

/* Part of a job, as listed in the job row.  */
typedef struct
{
  char *zone;
  uint32_t first_task; /* number of its first task */
  uint32_t task_count;
  bool all_done; /* all its tasks have ended, failed or been cancelled */
  bool failed;   /* a task exceeded max_failures */
} job_part_t;

/* Row job/ID.  */
typedef struct
{
  job_spec_t *spec;
  job_state_t state;
  char *reason;       /* why refused or stopped, "" if none */
  char *submit_id;    /* of the submission or update that set SPEC */
  int64_t created_ms; /* wall clock */
  int64_t revision;   /* of the specification, raised by each update */
  int64_t ended_ms;   /* wall clock, 0 until the job has ended */
  GPtrArray *parts;   /* job_part_t */
} job_row_t;

/* Takes ownership of SPEC; the new row has revision 1 and no parts.  */
job_row_t *job_row_new (job_spec_t *spec, const char *submit_id,
                        int64_t created_ms);
void job_row_add_part (job_row_t *row, const char *zone, uint32_t first_task,
                       uint32_t task_count);
/* Returns the part of ZONE, owned by ROW, or NULL.  */
job_part_t *job_row_find_part (const job_row_t *row, const char *zone);
job_row_t *job_row_parse (const json_t *json, GError **error);
/* WRITE_ID identifies the transaction that writes the row: a writer that lost
   the reply finds out by it whether its write took effect.  The same holds for
   the rows below.  */
json_t *job_row_to_json (const job_row_t *row, const char *write_id);
void job_row_free (job_row_t *row);

/* One task of a part row.  */
typedef struct
{
  uint32_t generation;
  int32_t worker; /* index in part_row_t.worker_ids, -1: none */
  uint16_t failure_count;
  char state;        /* task_state_t */
  uint16_t revision; /* of the specification that it was started with */
} part_task_t;

/* Row part/ZONE/ID.  */
typedef struct
{
  uint32_t first_task;
  GArray *tasks;         /* part_task_t */
  GPtrArray *worker_ids; /* char *: ids that part_task_t.worker indexes */
  /* char *: ids of healthy workers on which a task of this part failed.  */
  GPtrArray *failed_on;
} part_row_t;

part_row_t *part_row_new (uint32_t first_task, uint32_t task_count);
part_row_t *part_row_parse (const json_t *json, GError **error);
json_t *part_row_to_json (const part_row_t *row, const char *write_id);
void part_row_free (part_row_t *row);

/* One task that a worker row reserves capacity for.  */
typedef struct
{
  char *task; /* "JOB/NUMBER" */
  uint32_t generation;
  resource_t size; /* what is reserved for it */
} worker_assignment_t;

/* Row worker/ZONE/ID.  */
typedef struct
{
  int64_t incarnation;
  GArray *assignments; /* worker_assignment_t */
  bool held_back;      /* only probes (worker_health.h) are placed here */
} worker_row_t;

worker_row_t *worker_row_new (int64_t incarnation);
void worker_row_assign (worker_row_t *row, const char *task,
                        uint32_t generation, resource_t size);
worker_row_t *worker_row_parse (const json_t *json, GError **error);
json_t *worker_row_to_json (const worker_row_t *row, const char *write_id);
void worker_row_free (worker_row_t *row);

/* Row keys; the caller frees them.  */
char *job_key (const char *id);
char *part_key (const char *zone, const char *id);
char *worker_key (const char *zone, const char *id);

/* Splits TASK, "JOB/NUMBER", into JOB, a buffer of JOB_ID_MAX_BYTES + 1 bytes,
   and NUMBER.  Returns whether TASK has that form.  */
bool task_name_split (const char *task, char *job, uint32_t *number);

json_t *resource_to_json (resource_t size);
/* Returns "cpu_millis=1 memory_mib=2 accelerators=0" as a new string.  */
char *resource_to_text (resource_t size);

#endif
