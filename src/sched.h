#ifndef MAGNOLIADOCK_SCHED_H
#define MAGNOLIADOCK_SCHED_H

#include "clk.h"
#include "counter.h"
#include "error.h"
#include "job.h"
#include "resource.h"

#include <jansson.h>

/* NAME
     sched - scheduler of jobs and their tasks in one entry

   An entry is a server process that accepts jobs; see src/io/entry.h.  Every
   entry of a zone runs one scheduler.  One of them is on duty for the zone, as
   its leader: it is chosen by rendezvous hashing over the live entries, places
   tasks and renews leases.  Every entry takes submissions and cancels.

   Does no I/O.  The caller passes in rows of the table service, worker reports
   and changes of the instance list; transactions and messages to workers go
   out through sched_actions_t.  Two entries that both believe to be on duty do
   no harm: every change is a transaction that checks the versions of all rows
   it was derived from.

   Strings and JSON passed in are copied or referenced, those passed out live
   until the callback returns.  The caller must answer every action with a tag
   exactly once, from inside the action or later.  */

typedef struct sched sched_t;

typedef struct
{
  const char *key;
  int64_t version; /* 0: the row does not exist */
  json_t *value;   /* borrowed; NULL: does not exist; in a write: delete */
} sched_row_t;

typedef struct
{
  const char *task; /* "JOB/NUMBER" */
  uint32_t generation;
  const char *job;
  job_kind_t kind;
  resource_t size;
  const char *command;
  int64_t run_ms; /* declared run time, 0: unknown */
} sched_start_t;

typedef enum
{
  STOP_GRACEFUL,
  STOP_NOW,
  STOP_CHECKPOINT
} stop_mode_t;

/* A task to be stopped, or whose end is acknowledged.  */
typedef struct
{
  const char *task;
  uint32_t generation;
  stop_mode_t mode; /* unused in an acknowledgement */
} sched_stop_t;

typedef enum
{
  START_RUNNING,
  START_STALE,
  START_NO_CAPACITY,
  START_WRONG_INCARNATION,
  START_FAILED
} start_result_t;

typedef enum
{
  STOP_RESULT_STOPPED, /* confirmed */
  STOP_RESULT_ENDED,   /* it had ended before; the next report says how */
  STOP_RESULT_STOPPING,
  STOP_RESULT_UNKNOWN /* the worker now refuses this generation */
} stop_result_t;

typedef enum
{
  REPORT_RUNNING,
  REPORT_ENDED,
  REPORT_FAILED,
  REPORT_STOPPED
} report_state_t;

/* One task in a worker's answer to a lease message.  */
typedef struct
{
  const char *task;
  uint32_t generation;
  report_state_t state;
  int32_t exit;         /* exit status */
  int64_t cpu_millis;   /* used, -1: not reported */
  int64_t memory_mib;   /* used, -1: not reported */
  int64_t usage_age_ms; /* of the two above; negative or INT64_MAX: unknown */
} sched_task_report_t;

typedef struct
{
  const char *id;
  const char *url;
  int64_t incarnation;
} sched_worker_ref_t;

typedef struct
{
  /* Answered by sched_rows_read.  A read asks for the rows KEYS, a scan for
     all rows whose key starts with PREFIX.  */
  void (*read) (void *context, uint64_t tag, const char *const *keys,
                uint32_t count);
  void (*scan) (void *context, uint64_t tag, const char *prefix);
  /* Answered by sched_txn_ended.  */
  void (*txn) (void *context, uint64_t tag, const sched_row_t *checks,
               uint32_t check_count, const sched_row_t *writes,
               uint32_t write_count);
  /* Messages to a worker, answered by sched_started, sched_leased and
     sched_stopped.  A lease message renews the lease of all its tasks for
     LEASE_MS and asks for a report; ACKS are ended tasks that it may drop from
     its reports.  */
  void (*start) (void *context, uint64_t tag, const sched_worker_ref_t *worker,
                 int64_t lease_ms, const sched_start_t *starts,
                 uint32_t count);
  void (*lease) (void *context, uint64_t tag, const sched_worker_ref_t *worker,
                 int64_t lease_ms, const sched_stop_t *acks, uint32_t count);
  void (*stop) (void *context, uint64_t tag, const sched_worker_ref_t *worker,
                const sched_stop_t *stops, uint32_t count);
  /* Not answered.  */
  void (*throttle) (void *context, const sched_worker_ref_t *worker,
                    const char *task, uint32_t generation, int64_t cpu_millis);
  /* Answers sched_submit and sched_cancel.  KIND is ERR_OK when the change is
     committed or was not needed, ERR_TIMEOUT when it is unknown whether it is
     committed, else why it was refused; MESSAGE is for people.  ID is the
     job's, NULL if the specification cannot be read.  */
  void (*answer) (void *context, void *token, err_kind_t kind, const char *id,
                  const char *message);
} sched_actions_t;

typedef struct
{
  const char *entry_id; /* id of this entry */
  int64_t incarnation;
  const char *zone;
  const char *pack_rule; /* "first-fit", "best-fit", "alignment" or
                            "keep-accelerators"; NULL: keep-accelerators,
                            an unknown name: first-fit */
  uint32_t rows_per_s;   /* limit of row writes per second; 0: 200 */
  uint32_t seed;
} sched_options_t;

/* ACTIONS, CLOCK and REGISTRY stay the caller's and must outlive the
   scheduler; OPTIONS is copied.  */
sched_t *sched_new (const sched_options_t *options,
                    const sched_actions_t *actions, void *context,
                    const clk_t *clock, counter_registry_t *registry);
void sched_free (sched_t *sched);

/* What the instance list says about an instance.  */
typedef enum
{
  SCHED_LIVE,
  SCHED_LEAVING,
  SCHED_GONE
} sched_instance_state_t;

typedef struct
{
  const char *id;
  const char *rack;
  const char *url;
  int64_t incarnation;
  sched_instance_state_t state;
  resource_t capacity;
} sched_instance_t;

void sched_worker_set (sched_t *sched, const sched_instance_t *instance);
/* Sets an entry of any zone, this one included.  LIVE is false if it is gone,
   leaving or not answering.  */
void sched_entry_set (sched_t *sched, const char *id, const char *zone,
                      bool live);
/* To be called after each read of the instance list.  A worker that has a row
   but that the list has not shown within ten minutes counts as gone: the list
   may lack an instance for a while, but not for so long.  */
void sched_instance_list_read (sched_t *sched);

/* Sets the quota of TEAM.  Within a class, the team that uses the smallest
   part of its quota starts the next task.  A team without a quota counts as if
   it had one of a fiftieth of the zone's capacity.  */
void sched_team_set (sched_t *sched, const char *team, resource_t quota);
/* Changes the packing rule (see sched_options_t) for tasks placed from now on.
   Returns false if there is no rule NAME.  */
bool sched_pack_rule_set (sched_t *sched, const char *name);
/* Sets the guaranteed share of CLASS in percent (default 50, 35, 15).  */
void sched_class_set (sched_t *sched, class_t class, uint32_t percent);

/* Answers to actions.  ROWS lists, for a read, every key asked for.  */
void sched_rows_read (sched_t *sched, uint64_t tag, err_kind_t kind,
                      const sched_row_t *rows, uint32_t count);
void sched_txn_ended (sched_t *sched, uint64_t tag, err_kind_t kind,
                      const int64_t *versions, uint32_t count);
/* KIND is ERR_OK if the worker answered.  RESULTS are in the order of the
   starts or stops.  */
void sched_started (sched_t *sched, uint64_t tag, err_kind_t kind,
                    const start_result_t *results, uint32_t count);
void sched_leased (sched_t *sched, uint64_t tag, err_kind_t kind,
                   int64_t incarnation, const sched_task_report_t *reports,
                   uint32_t count);
void sched_stopped (sched_t *sched, uint64_t tag, err_kind_t kind,
                    const stop_result_t *results, uint32_t count);

/* Submits the job in SPEC.  Answered by the answer action with TOKEN, maybe
   before this returns.  A service with the id, team and number of tasks of a
   running one updates it: its tasks are replaced one after another in each
   zone, each when all others run.  */
void sched_submit (sched_t *sched, const json_t *spec, void *token);
/* Cancels job ID.  ERR_OK means that the cancel is committed; the job shows
   "cancelled" once every stop is confirmed.  */
void sched_cancel (sched_t *sched, const char *id, void *token);

/* Does the periodic work; to be called every 50 ms.  */
void sched_tick (sched_t *sched);

/* New JSON values for the operators' API.  */
json_t *sched_jobs (const sched_t *sched);
/* NULL if ID is unknown here.  */
json_t *sched_job (const sched_t *sched, const char *id);
/* Decisions on job ID and why its next task waits; NULL if ID is unknown.  */
json_t *sched_explain (const sched_t *sched, const char *id);
/* Workers, capacity, number of tasks, entry on duty and age of the rows.  */
json_t *sched_status (const sched_t *sched);

/* Id of the entry on duty for this zone, NULL if no entry of it is live.
   Borrowed.  */
const char *sched_duty_entry (const sched_t *sched);
/* Team of job ID, NULL if unknown.  Borrowed.  */
const char *sched_job_team (const sched_t *sched, const char *id);
/* Whether no transaction is under way and no submission or cancel waits.  */
bool sched_idle (const sched_t *sched);
/* Whether all rows have been read since the start and, on duty, since this
   entry came on duty.  */
bool sched_ready (const sched_t *sched);

#endif
