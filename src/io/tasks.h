#ifndef MAGNOLIADOCK_TASKS_H
#define MAGNOLIADOCK_TASKS_H

#include "instances.h"
#include "sched.h"
#include "table.h"
#include "workers.h"

#include <ev.h>

/* NAME
     tasks - I/O layer of sched

   Carries out the actions of sched on the table service and the workers, and
   passes their answers and the instance list on to it.  */

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

/* KIND is ERR_OK if the job's row is committed, ERR_TIMEOUT if that is not
   known, else why the request was refused.  ID (may be NULL) and MESSAGE live
   until the callback returns.  */
typedef void (*tasks_done_t) (void *context, err_kind_t kind, const char *id,
                              const char *message);

/* OPTIONS is copied; the rest stays the caller's and outlives the result.  */
tasks_t *tasks_new (const tasks_options_t *options, struct ev_loop *loop,
                    const clk_t *clock, counter_registry_t *registry,
                    table_t *table, workers_t *workers);
/* To be called after TABLE and WORKERS have cancelled their calls in flight.
   DONE is not called for submissions and cancels that are still pending.  */
void tasks_free (tasks_t *tasks);

/* Reports a changed instance; all but workers and entries are ignored.  */
void tasks_instance_changed (tasks_t *tasks, const instance_t *instance);
/* Reports that the instance list was read within the last few seconds.  */
void tasks_instance_list_read (tasks_t *tasks);
/* Reports whether entry ID of ZONE answers its peers; only a live entry can be
   on duty.  Ignored for this entry itself.  */
void tasks_set_entry_live (tasks_t *tasks, const char *id, const char *zone,
                           bool live);

/* Gives up the duty; submissions and cancels are refused with ERR_DRAINING
   from now on.  */
void tasks_drain (tasks_t *tasks);
/* Returns whether no transaction is in flight or waits to be sent.  */
bool tasks_drained (const tasks_t *tasks);

/* DONE is called once, possibly before these functions return.  */
void tasks_submit (tasks_t *tasks, const json_t *spec, tasks_done_t done,
                   void *context);
void tasks_cancel (tasks_t *tasks, const char *id, tasks_done_t done,
                   void *context);

/* Borrowed; for the functions of sched that read its state or set what the
   configuration says: sched_jobs, sched_job, sched_explain, sched_status,
   sched_job_team, sched_pack_rule_set, sched_team_set, sched_class_set.  */
sched_t *tasks_sched (tasks_t *tasks);

#endif
