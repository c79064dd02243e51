#ifndef MAGNOLIADOCK_EXPLAIN_H
#define MAGNOLIADOCK_EXPLAIN_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/* NAME
     explain - history of scheduling decisions by job

   Keeps the last EXPLAIN_RECORDS records of this process; the oldest one is
   overwritten.  Consecutive events of the same name for a job share one
   record, which counts them and keeps the last reason.  */

#define EXPLAIN_RECORDS 4096
#define EXPLAIN_TEXT_BYTES 160

typedef struct
{
  char *job;                 /* NULL: unused */
  const char *event;         /* static */
  int64_t first_ms, last_ms; /* wall clock */
  int64_t task;              /* number of the latest task, -1: the whole job */
  uint32_t count;            /* events */
  char text[EXPLAIN_TEXT_BYTES]; /* latest reason */
} explain_record_t;

typedef struct
{
  explain_record_t *records; /* ring buffer */
  uint32_t next;             /* index of the oldest, used next */
  GHashTable *newest;        /* job -> index + 1 of its newest record */
} explain_t;

void explain_init (explain_t *explain);
void explain_clear (explain_t *explain);

/* Records EVENT ("placed", "moved", "preempted", "stopped", "refused",
   "waits"; a static string) for task TASK of JOB (-1: the whole job).  FORMAT
   gives the reason in plain words, cut at EXPLAIN_TEXT_BYTES - 1 bytes.  */
void explain_add (explain_t *explain, int64_t wall_ms, const char *job,
                  int64_t task, const char *event, const char *format, ...)
    G_GNUC_PRINTF (6, 7);

/* Returns the records of JOB, oldest first, as a new JSON array.  */
json_t *explain_list (const explain_t *explain, const char *job);

#endif
