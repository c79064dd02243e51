#ifndef MAGNOLIADOCK_SCHED_IO_H
#define MAGNOLIADOCK_SCHED_IO_H

#include "instances.h"
#include "sched.h"
#include "table.h"
#include "workers.h"

#include <ev.h>

/* NAME
     sched_io - I/O layer of sched

   Carries out the actions of sched on the table service and the workers, and
   passes their answers and the instance list on to it.  */

typedef struct sched_io sched_io_t;

typedef struct
{
  const char *entry; /* instance id */
  int64_t incarnation;
  const char *zone;
  const char *pack_rule; /* NULL: the default of sched */
  uint32_t rows_per_s;   /* 0: the default of sched */
  uint32_t seed;
} sched_io_options_t;

/* KIND is ERR_OK if the job's row is committed, ERR_TIMEOUT if that is not
   known, else why the request was refused.  ID (may be NULL) and MESSAGE live
   until the callback returns.  */
typedef void (*sched_io_done_t) (void *context, err_kind_t kind,
                                 const char *id, const char *message);

/* OPTIONS is copied; the rest stays the caller's and outlives the result.  */
sched_io_t *sched_io_new (const sched_io_options_t *options,
                          struct ev_loop *loop, const clk_t *clock,
                          counter_registry_t *registry, table_t *table,
                          workers_t *workers);
/* To be called after TABLE and WORKERS have cancelled their calls in flight.
   DONE is not called for submissions and cancels that are still pending.  */
void sched_io_free (sched_io_t *sched_io);

/* Reports a changed instance.  Ignored unless it is a worker of this zone, an
   entry of another zone or another entry of this zone that is gone.  */
void sched_io_instance_changed (sched_io_t *sched_io,
                                const instance_t *instance);
/* Reports that the instance list was read within the last few seconds.  */
void sched_io_instance_list_read (sched_io_t *sched_io);
/* Reports whether entry ID of ZONE answers its peers; only a live entry can be
   on duty.  Ignored for this entry itself.  */
void sched_io_set_entry_live (sched_io_t *sched_io, const char *id,
                              const char *zone, bool live);

/* Takes this entry off duty; submissions and cancels are refused with
   ERR_DRAINING from now on.  */
void sched_io_drain (sched_io_t *sched_io);
/* Returns whether no transaction is in flight or waits to be sent.  */
bool sched_io_drained (const sched_io_t *sched_io);

/* DONE is called once, possibly before these functions return.  */
void sched_io_submit (sched_io_t *sched_io, const json_t *spec,
                      sched_io_done_t done, void *context);
void sched_io_cancel (sched_io_t *sched_io, const char *id,
                      sched_io_done_t done, void *context);

/* Borrowed; for the functions of sched that read its state or set what the
   configuration says: sched_jobs, sched_job, sched_explain, sched_status,
   sched_job_team, sched_pack_rule_set, sched_team_set, sched_class_set.  */
sched_t *sched_io_sched (sched_io_t *sched_io);

#endif
