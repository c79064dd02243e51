#ifndef MAGNOLIADOCK_TASKS_H
#define MAGNOLIADOCK_TASKS_H

#include "instances.h"
#include "sched.h"
#include "table.h"
#include "workers.h"

#include <ev.h>

/* NAME
     tasks - drives sched with the table service, the workers and the instance
     list  */

typedef struct tasks tasks_t;

typedef struct
{
  const char *entry; /* instance id */
  int64_t incarnation;
  const char *zone;
  const char *pack_rule; /* NULL: the default of sched */
  uint32_t rows_per_s;   /* 0: the default of sched */
  uint32_t seed;
} tasks_options_t;

/* KIND is ERR_OK when the row is committed, ERR_TIMEOUT when that is unknown,
   else the refusal.  ID (may be NULL) and MESSAGE live until the callback
   returns.  */
typedef void (*tasks_done_t) (void *context, err_kind_t kind, const char *id,
                              const char *message);

/* Everything but OPTIONS stays the caller's and outlives the result.  */
tasks_t *tasks_new (const tasks_options_t *options, struct ev_loop *loop,
                    const clk_t *clock, counter_registry_t *registry,
                    table_t *table, workers_t *workers);
/* To be called after TABLE and WORKERS have dropped their open calls.
   Submissions and cancels that are still open are not called back.  */
void tasks_free (tasks_t *tasks);

/* Takes workers and entries; others are ignored.  */
void tasks_instance_changed (tasks_t *tasks, const instance_t *instance);
/* The instance list was read within the last seconds.  */
void tasks_instance_list_read (tasks_t *tasks);
/* Whether entry ID answers its peers; it is on duty only while it does.  */
void tasks_set_entry_live (tasks_t *tasks, const char *id, const char *zone,
                           bool live);

/* Gives up the duty; submissions are refused with ERR_DRAINING from now on. */
void tasks_drain (tasks_t *tasks);
/* Whether no transaction is under way.  */
bool tasks_drained (const tasks_t *tasks);

/* DONE is called once, maybe before this returns.  */
void tasks_submit (tasks_t *tasks, const json_t *spec, tasks_done_t done,
                   void *context);
void tasks_cancel (tasks_t *tasks, const char *id, tasks_done_t done,
                   void *context);

/* For the views: sched_jobs, sched_job, sched_explain, sched_status,
   sched_job_team, sched_team_set, sched_class_set.  */
sched_t *tasks_sched (tasks_t *tasks);

#endif
