#ifndef MAGNOLIADOCK_EXPLAIN_H
#define MAGNOLIADOCK_EXPLAIN_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

/* NAME
     explain - bounded trace of the decisions for each job and task

   Holds the last EXPLAIN_RECORDS decisions of this process; repeats of the
   same decision for the same job are counted in one record.  */

#define EXPLAIN_RECORDS 4096
#define EXPLAIN_TEXT 160

typedef struct
{
  char *job; /* NULL: unused */
  const char *event;
  int64_t first_ms, last_ms; /* wall clock */
  int64_t task;              /* number of the last one, -1: the whole job */
  uint32_t count;
  char text[EXPLAIN_TEXT];
} explain_record_t;

typedef struct
{
  explain_record_t *records; /* ring */
  uint32_t next;
  GHashTable *last; /* job -> index + 1 of its newest record */
} explain_t;

void explain_init (explain_t *explain);
void explain_clear (explain_t *explain);

/* Records EVENT ("placed", "moved", "preempted", "stopped", "refused",
   "waits"; static) of task TASK of JOB with a reason for people.  */
void explain_add (explain_t *explain, int64_t wall_ms, const char *job,
                  int64_t task, const char *event, const char *format, ...)
    G_GNUC_PRINTF (6, 7);

/* The records of JOB, oldest first, as a new JSON array.  */
json_t *explain_list (const explain_t *explain, const char *job);

#endif
