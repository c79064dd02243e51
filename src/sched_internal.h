#ifndef MAGNOLIADOCK_SCHED_INTERNAL_H
#define MAGNOLIADOCK_SCHED_INTERNAL_H

#include "blame.h"
#include "estimate.h"
#include "explain.h"
#include "fleet.h"
#include "gang.h"
#include "job.h"
#include "lease.h"
#include "pack.h"
#include "pressure.h"
#include "quota.h"
#include "sched.h"
#include "worker_health.h"

/* NAME
     sched_internal - state shared by the files of sched

   Only src/sched*.c and the benchmark src/io/bench_sched.c include this.  In
   memory every row has one object; the object holds the row's content as last
   read or committed, plus the changes of the transaction that is under way,
   which can be undone.

   Words: a job is split into one part for each zone that runs tasks of it.  A
   part has a row (part/ZONE/ID) with the state of its tasks; a worker has a
   row (worker/ZONE/ID) with its assignments.  To plan a change is to make it
   in memory and add it to the transaction that is sent next.  To reload a row
   is to queue its key for the next read.  A stamp is a value of the logical
   clock sched_t.stamp; it tells whether a read was sent before or after a
   change in memory.  */

#define SCHED_TICK_PERIOD_MS 50
/* Row tokens (see sched_t.row_tokens) that cancels must leave for starts, and
   that ends and the closing of jobs must leave for starts and cancels.  */
#define CANCEL_RESERVE_ROWS 24.0
#define CLOSE_RESERVE_ROWS 40.0

/* What this entry knows of an assigned task beyond its row.  */
typedef enum
{
  PHASE_NONE,
  PHASE_PLANNED,     /* its start is in the transaction under way */
  PHASE_UNCONFIRMED, /* read from a row, or the start was not answered: the
                        worker's next report decides */
  PHASE_STARTING,    /* committed; the start is to be sent, or unanswered */
  PHASE_RUNNING,
  PHASE_REJECTED, /* the worker rejected the start: the next report decides */
  PHASE_STOPPING, /* the stop is to be sent, or not confirmed yet */
  /* The end is confirmed and is to be written.  */
  PHASE_ENDED,
  PHASE_FAILED,
  PHASE_STOPPED,
  PHASE_LOST,
  PHASE_CRASHED /* lost when its worker restarted, for which it may be to
                   blame: counts as a failure */
} phase_t;

typedef struct sched_worker sched_worker_t;
typedef struct sched_job sched_job_t;

typedef struct
{
  sched_worker_t *worker; /* NULL unless assigned */
  int64_t since_ms;       /* assigned: when the phase began;
                             waiting: earliest time of its start */
  uint32_t generation;
  uint16_t failures;
  uint16_t revision;     /* of the specification that it was started with */
  char state;            /* task_state_t */
  uint8_t phase;         /* phase_t */
  uint8_t stop_mode;     /* stop_mode_t, in PHASE_STOPPING */
  bool start_in_flight;  /* a start was sent and is not answered yet */
  bool stop_found_ended; /* a stop was answered with "ended" */
  bool stop_due;      /* in PHASE_STOPPING: the stop is to be sent (again) */
  bool start_counted; /* its start was counted as a success of its worker */
  bool preempted;     /* chosen to be stopped to free capacity */
} sched_task_t;

struct sched_job
{
  char *id;
  /* Row job/ID.  */
  job_row_t *row; /* NULL: not read */
  int64_t row_version;
  bool row_in_txn;
  /* Row part/ZONE/ID of this entry's zone.  */
  int64_t part_version; /* 0: no part in this zone */
  bool part_in_txn;
  uint32_t first_task, task_count; /* of this part */
  sched_task_t *tasks;
  uint32_t waiting, assigned, done, failed; /* tasks of the part by state;
                                               done: ended or cancelled */
  uint32_t next_waiting; /* no waiting task has a lower index */
  GPtrArray *failed_on;  /* char *: ids of healthy workers; NULL: none */
  uint64_t row_stamp, part_stamp; /* when they last changed in memory */
  /* In memory only.  */
  resource_t task_size;  /* what a new task reserves: spec->size, corrected by
                            reported usage */
  int64_t first_seen_ms; /* when this entry first saw the job */
  int64_t refreshed_ms;  /* when refresh_jobs last reloaded its rows */
  uint16_t team_index;   /* in the quota table */
  bool blocked;          /* did not fit when it was last tried */
  bool stopping; /* nothing is started: the row is not JOB_ACCEPTED, or tasks
                    failed on FAULTY_JOB_WORKERS healthy workers */
  estimate_t estimate;
};

/* One task in a worker row.  */
typedef struct
{
  sched_job_t *job;
  uint32_t number;
  uint32_t generation;
  int32_t cpu_millis;
  int32_t memory_mib;
  int32_t accelerators;
  bool freed;    /* its end is confirmed: its size counts as free */
  bool reported; /* listed in the report that is being handled */
} sched_assignment_t;

/* A task in a report that is not an assignment in memory.  */
typedef struct
{
  char *task;
  uint32_t generation;
  uint64_t reported_stamp; /* when a report first listed it */
} sched_unknown_task_t;

typedef struct
{
  char *task; /* "JOB/NUMBER" */
  uint32_t generation;
} sched_task_ref_t;

struct sched_worker
{
  char *id, *rack, *url;
  uint32_t index; /* in the fleet and in sched->workers */
  bool listed;    /* the instance list has shown it since this process began */
  sched_instance_state_t state;
  int64_t incarnation;   /* highest seen */
  int64_t gone_since_ms; /* when the list first showed it gone, or had lacked
                            it for ten minutes; -1: not gone */
  int64_t unlisted_since_ms; /* when the list first lacked it although it has a
                                row; 0: never */
  resource_t capacity;
  /* Row worker/ZONE/ID.  */
  int64_t row_version;
  int64_t row_incarnation; /* that the assignments are meant for */
  bool row_in_txn;
  GArray *assignments;     /* sched_assignment_t */
  uint64_t row_stamp;      /* when it last changed in memory */
  uint64_t row_read_stamp; /* when the latest finished read was sent */
  /* Messages to the worker.  */
  bool lease_in_flight;
  int64_t lease_due_ms;
  int64_t answered_ms;      /* -1: never */
  uint64_t answer_stamp;    /* unused */
  bool start_or_stop_due;   /* starts or stops are to be sent */
  GArray *acks;             /* sched_task_ref_t: written ends that the next
                               lease message acknowledges */
  GArray *unknown_tasks;    /* sched_unknown_task_t */
  bool held_back_unwritten; /* health.held_back (no task is placed there) is to
                               be written to the row */
  uint32_t unwritten_ends;  /* assignments with freed set */
  int64_t ends_since_ms;    /* when unwritten_ends last rose from 0 */
  int64_t avoid_until_ms;   /* nothing is placed there before */
  worker_health_t health;
  uint32_t part_row_position; /* scratch of sched_part_json */
};

typedef enum
{
  ROW_JOB,
  ROW_PART,
  ROW_WORKER,
  ROW_CHANGES,
  ROW_ZONE,
  ROW_OTHER /* new rows without an object in memory */
} row_kind_t;

/* A row of a transaction: its version is checked, and it is written.  */
typedef struct
{
  row_kind_t kind;
  void *object;    /* sched_job_t, sched_worker_t, sched_changes_t or NULL */
  char *key;       /* NULL: filled in when the transaction is sent */
  int64_t version; /* as read, 0: the row must not exist */
  json_t *value;   /* NULL: filled in when the transaction is sent, or
                      the row is deleted */
  bool write;      /* false: only checked */
  bool delete;
} txn_row_t;

typedef enum
{
  OP_START,
  OP_END,
  OP_CLOSE_PART,
  OP_CANCEL_WAITING, /* of one waiting task */
  OP_WRITE_HELD_BACK,
  OP_MOVE,  /* of an unassigned part to another zone */
  OP_DELETE /* of the part row or job row of an ended job */
} op_kind_t;

/* A planned change, with what is needed to undo it or to finish it when the
   transaction is committed.  */
typedef struct
{
  op_kind_t kind;
  sched_job_t *job;
  sched_worker_t *worker;
  uint32_t index_or_flag; /* index of the task; OP_CLOSE_PART: whether the part
                             had failed before; OP_DELETE: 1 for the part row,
                             0 for the job's */
  sched_task_t old_task;
  sched_assignment_t old_assignment; /* OP_END */
  job_state_t old_job_state;         /* OP_CLOSE_PART */
  char *reason_or_zone;              /* OP_CLOSE_PART: the job's old reason;
                                        OP_MOVE: the new zone; owned */
  char *ack; /* task name to acknowledge, owned, or NULL */
} op_t;

typedef enum
{
  TXN_IDLE,
  TXN_SENT,
  TXN_WAIT_READBACK, /* outcome unknown; its rows are read at retry_ms */
  TXN_READING_BACK,
  TXN_WAIT_RESEND /* sent again, unchanged, at retry_ms */
} txn_state_t;

/* A transaction that commits many changes at once.  There are two: that of
   the planner (sched_t.plan_txn), which is used only on duty, and that of
   submissions and cancels (sched_t.request_txn).  */
typedef struct
{
  txn_state_t state;
  uint64_t tag;
  char *write_id;
  GArray *rows;         /* txn_row_t */
  GArray *ops;          /* op_t, planner only */
  GPtrArray *requests;  /* sched_request_t, unless the planner's */
  bool outcome_unknown; /* of an earlier attempt */
  uint32_t attempts;
  int64_t retry_ms;
  bool for_requests; /* false: the planner's */
} txn_t;

/* Row changes/ZONE/ENTRY: the last jobs of ZONE that this entry created,
   updated, cancelled or moved there.  The entries of the zone poll it.  */
typedef struct
{
  char *zone;
  int64_t version;  /* -1: not read yet */
  int64_t sequence; /* ids ever added */
  GQueue ids;       /* char *, newest last */
  bool in_txn;
  bool in_plan_txn;     /* in_txn: in the planner's transaction */
  int64_t old_sequence; /* before the transaction under way */
} sched_changes_t;

/* A submission or cancel.  */
typedef struct
{
  bool cancel;
  bool update; /* a new specification of a running service */
  void *token;
  char *id;
  job_row_t *row; /* of a submission */
  int64_t deadline_ms;
  bool alone;           /* after a conflict: gets a transaction of its own */
  bool outcome_unknown; /* of a transaction that it was part of */
  bool answered;        /* it timed out while its transaction is under way */
} sched_request_t;

/* What a zone advertises in row zone/ZONE.  */
typedef struct
{
  char *zone;
  int64_t version;
  resource_t free, waiting;
  GArray *shapes; /* zone_shape_t */
} sched_zone_t;

/* The workers of a zone that have one capacity.  */
typedef struct
{
  resource_t capacity;
  uint32_t worker_count;
} zone_shape_t;

typedef struct
{
  char *id, *zone;
  bool live;
} sched_entry_t;

typedef enum
{
  CALL_RELOAD,
  CALL_SCAN, /* a step of a full scan, or a poll */
  CALL_READBACK,
  CALL_TXN,
  CALL_START,
  CALL_LEASE,
  CALL_STOP
} call_kind_t;

/* An action that has not been answered.  */
typedef struct
{
  call_kind_t kind;
  uint64_t sent_stamp;
  int64_t sent_ms;
  sched_worker_t *worker;
  txn_t *txn;
  GPtrArray *keys;    /* char *, of a reload */
  GArray *tasks;      /* sched_task_ref_t: started, stopped or acknowledged */
  uint32_t scan_step; /* index in scan_steps, or SCAN_STEP_POLL */
  int64_t incarnation;
} call_t;

struct sched
{
  char *entry_id, *zone;
  char *writer_id; /* "ENTRY@INCARNATION": begins the ids of its writes */
  const sched_actions_t *actions;
  void *context;
  const clk_t *clock;
  counter_registry_t *registry;
  const pack_rule_t *pack_rule;
  GRand *random;
  int64_t now_ms;
  uint64_t last_tag, last_write;
  uint64_t stamp;    /* logical clock: raised by each call and row change */
  GHashTable *calls; /* tag -> call_t */

  GHashTable *jobs; /* id -> sched_job_t */
  GHashTable *workers_by_id;
  GPtrArray *workers; /* sched_worker_t, by fleet index */
  fleet_t fleet;
  GHashTable *zones;          /* name -> sched_zone_t */
  GPtrArray *entries;         /* sched_entry_t */
  GHashTable *changes;        /* zone -> sched_changes_t of this entry */
  GHashTable *seen_sequences; /* key of another entry's changes row ->
                                 int64_t *, the last sequence read */

  bool on_duty;
  bool ready;     /* a full scan has ended since the start and, on duty, since
                     this entry came on duty */
  bool list_read; /* the instance list, at least once */
  bool scanning, scan_wanted; /* a full scan */
  uint64_t scan_stamp;        /* set, but not used */
  int64_t scan_retry_ms, scan_done_ms, changes_poll_due_ms;
  uint32_t polls_in_flight;
  int64_t zones_poll_due_ms;
  GHashTable *reload_keys; /* keys of the rows to be read */
  uint32_t reloads_in_flight;
  int64_t reload_retry_ms;

  txn_t plan_txn;        /* the planner's transaction */
  txn_t request_txn;     /* that of submissions and cancels */
  GQueue submit_queue;   /* sched_request_t */
  GQueue cancel_queue;   /* sched_request_t, go after the submissions */
  int64_t plan_retry_ms; /* no planning before, after a failure */
  uint32_t plan_backoff_ms;
  /* Token buckets: what may be written or sent now.  */
  double row_tokens;     /* rows of any kind */
  double end_row_tokens; /* rows of ends and closed jobs, which also take
                            row_tokens */
  uint32_t start_rows;   /* rows that the planned starts need */
  uint32_t rows_per_s;
  int64_t refilled_ms;
  double stop_tokens;     /* stops by plan_stops_and_closes */
  int64_t preempt_due_ms; /* no further preemption before */
  /* Next runs of plan_zone_row, sched_reload_mismatches, plan_rolling_updates,
     plan_unplaceable and refresh_jobs.  */
  int64_t zone_row_due_ms, mismatch_due_ms, rolling_update_due_ms,
      unplaceable_due_ms, refresh_due_ms;
  char *advertised_text; /* JSON of this zone's row as planned last */

  quota_t quota;
  gang_t gang; /* the zone's reservation for an all-at-once job */
  explain_t explain;
  worker_health_starts_t peers; /* unused */

  counter_t *starts, *ends, *commits, *conflicts, *unknown_outcomes,
      *row_writes, *preempted, *orphans;
  histogram_t *plan_us;
};

/* sched_rows.c */
/* These return NULL if there is none and CREATE is false.  */
sched_job_t *sched_job_get (sched_t *s, const char *id, bool create);
void sched_job_free (gpointer data);
sched_worker_t *sched_worker_get (sched_t *s, const char *id, bool create);
void sched_worker_free (gpointer data);
/* Takes over a row whose read was sent at STAMP, unless memory holds a newer
   one or the row is part of a transaction under way.  */
void sched_row_apply (sched_t *s, const sched_row_t *row, uint64_t stamp);
/* Queues a row to be read; takes ownership of KEY.  */
void sched_queue_reload (sched_t *s, char *key);
/* Reloads part and worker rows that do not agree: they were read at different
   times, with a transaction of another entry between them.  */
void sched_reload_mismatches (sched_t *s);
sched_changes_t *sched_changes_get (sched_t *s, const char *zone);
json_t *sched_changes_json (const sched_changes_t *changes,
                            const char *write_id);
json_t *sched_part_json (sched_job_t *job, const char *write_id);
json_t *sched_worker_json (sched_worker_t *worker, const char *write_id);
/* Recomputes whether placement may use WORKER.  A worker without assignments
   takes over its newest incarnation as that of its row.  */
void sched_worker_refresh (sched_t *s, sched_worker_t *worker);
/* WORKER's assignment of task NUMBER of JOB in GENERATION, or NULL.  */
sched_assignment_t *sched_assignment_find (sched_worker_t *worker,
                                           const sched_job_t *job,
                                           uint32_t number,
                                           uint32_t generation);
/* NULL if JOB is NULL or task NUMBER is not in its part here.  */
sched_task_t *sched_task_find (sched_job_t *job, uint32_t number);
/* Sets a task's state (task_state_t) and updates the job's counts.  */
void sched_task_set_state (sched_job_t *job, sched_task_t *task, char state);
static inline resource_t
sched_assignment_size (const sched_assignment_t *assignment)
{
  resource_t size = { assignment->cpu_millis, assignment->memory_mib,
                      assignment->accelerators };
  return size;
}
/* "JOB/NUMBER", a new string.  */
char *sched_task_name (const sched_job_t *job, uint32_t index);

/* sched_txn.c */
void txn_init (txn_t *txn, bool for_requests);
void txn_clear (txn_t *txn);
/* Adds a row to be written from memory, unless the object's row is already
   in a transaction.  */
void txn_touch_job (txn_t *txn, sched_job_t *job);
void txn_touch_part (txn_t *txn, sched_job_t *job);
void txn_touch_worker (txn_t *txn, sched_worker_t *worker);
/* Adds a row to be written; takes ownership of KEY and VALUE, which may be
   NULL (see txn_row_t).  */
txn_row_t *txn_add_row (txn_t *txn, row_kind_t kind, void *object, char *key,
                        int64_t version, json_t *value);
void txn_send (sched_t *s, txn_t *txn);
/* Sends or reads back again a transaction whose retry is due.  */
void txn_tick (sched_t *s, txn_t *txn);
/* Handles the answer to an attempt: VERSIONS are those of the COUNT written
   rows if KIND is ERR_OK.  */
void txn_ended (sched_t *s, txn_t *txn, err_kind_t kind,
                const int64_t *versions, uint32_t count);
/* Handles the rows of TXN as read after an attempt with unknown outcome.  */
void txn_read_back (sched_t *s, txn_t *txn, err_kind_t kind,
                    const sched_row_t *rows, uint32_t count, uint64_t stamp);

/* sched_ops.c */
/* Plans the start of task INDEX of JOB on WORKER.  */
void op_start (sched_t *s, sched_job_t *job, uint32_t index,
               sched_worker_t *worker);
/* Plans to write the confirmed end of task INDEX of JOB.  Returns false, and
   reloads the rows, if the worker's row does not hold the task or the job row
   is not in memory.  */
bool op_end (sched_t *s, sched_job_t *job, uint32_t index);
/* Plans to mark this zone's part of JOB as done in the job row, and sets the
   job's reason unless REASON is NULL.  If no other part is open, the job ends
   in STATE.  */
void op_close_part (sched_t *s, sched_job_t *job, job_state_t state,
                    const char *reason);
/* Plans to cancel the waiting tasks of JOB.  */
void op_cancel_waiting (sched_t *s, sched_job_t *job);
/* Plans to write whether WORKER is held back.  */
void op_write_held_back (sched_t *s, sched_worker_t *worker);
/* Finishes, or undoes, the planned changes of TXN.  */
void ops_commit (sched_t *s, txn_t *txn);
void ops_undo (sched_t *s, txn_t *txn);
void op_clear (gpointer data);

/* sched_plan.c */
/* Plans one transaction and sends it.  */
void plan_tick (sched_t *s);
/* Plans starts on at most WORKER_ROWS workers until LIMIT changes are planned;
   one all-at-once job may exceed both.  Sends nothing.  Returns how many
   changes were planned.  */
uint32_t plan_starts (sched_t *s, uint32_t worker_rows, uint32_t limit);

/* sched_jobs.c */
/* Plans to refuse jobs that cannot start here, or to move them to another
   zone; also moves jobs that have waited long for capacity.  */
void plan_unplaceable (sched_t *s);
/* Plans to delete the rows of jobs that ended a while ago.  */
void plan_deletions (sched_t *s);
/* Stops tasks of services whose specification has changed, one at a time, so
   that they start again with the new one.  */
void plan_rolling_updates (sched_t *s);
/* Finishes a committed OP_MOVE.  */
void op_move_commit (sched_t *s, op_t *op);
/* Frees jobs that have no rows any more.  */
void sched_remove_deleted_jobs (sched_t *s);

/* sched_zone.c */
/* Plans to write the row that advertises this zone's capacity to the others,
   if it has changed.  */
void plan_zone_row (sched_t *s);
/* Stops running batch tasks to free capacity for the blocked ones among
   JOBS.  */
void preempt_for (sched_t *s, const GPtrArray *jobs);

/* sched_lost.c */
/* Ends all tasks assigned to WORKER: its leases have run out, or it has
   CRASHED and runs as a newer incarnation.  After a crash the youngest ones
   and those that are not known to have started may be to blame.  */
void sched_mark_all_lost (sched_t *s, sched_worker_t *worker, bool crashed);

/* sched_workers.c */
/* Sends the due messages to workers.  Records the tasks of a worker that is
   gone or has restarted as lost, once they may run elsewhere.  */
void workers_tick (sched_t *s);
/* Records that TASK ended as PHASE says (PHASE_ENDED or later) and frees its
   size for placement; op_end writes it.  */
void task_confirm_end (sched_t *s, sched_job_t *job, sched_task_t *task,
                       phase_t phase);
/* Marks an assigned task to be stopped by its worker (workers_tick sends the
   stop), unless it is stopping or its start is not committed.  */
void task_stop (sched_t *s, sched_job_t *job, sched_task_t *task,
                stop_mode_t mode);

/* sched_requests.c */
/* Adds ID to the changes row of ZONE, which must have been read.  */
void sched_record_change (sched_t *s, txn_t *txn, const char *zone,
                          const char *id);
/* Undoes what TXN added to changes rows.  After a conflict the rows count as
   not read.  */
void sched_undo_changes (const txn_t *txn, bool conflict);
/* How many tasks of SPEC would fit in ZONE if it were empty, at most
   spec->task_count; -1 if nothing is known of it.  *LARGEST receives the
   capacity of its largest worker.  */
int64_t sched_zone_fit_if_empty (const sched_t *s, const char *zone,
                                 const job_spec_t *spec, resource_t *largest);
/* How many tasks of SIZE fit in ZONE: in this entry's zone, on duty, what is
   free now; else what the zone advertises as free less what waits there.  May
   be negative.  */
double sched_zone_fit_now (const sched_t *s, const char *zone,
                           resource_t size);
/* The zones that SPEC allows; the names are borrowed.  */
GPtrArray *sched_allowed_zones (const sched_t *s, const job_spec_t *spec);
/* Answers requests that timed out and sends the next transaction of
   submissions and cancels.  */
void requests_tick (sched_t *s);
/* Answers the requests of TXN, or queues them again after a conflict.  */
void requests_finished (sched_t *s, txn_t *txn, err_kind_t kind,
                        bool committed);
void sched_request_free (gpointer data);

/* sched.c */
/* Adds a call to s->calls; *TAG receives its tag.  */
call_t *sched_call_new (sched_t *s, call_kind_t kind, uint64_t *tag);
void sched_call_free (gpointer data);

#endif
