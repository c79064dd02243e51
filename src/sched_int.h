#ifndef MAGNOLIADOCK_SCHED_INT_H
#define MAGNOLIADOCK_SCHED_INT_H

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
#include "suspect.h"

/* NAME
     sched_int - state shared by the files of sched

   Only src/sched*.c include this.  In memory every row has one object; the
   object holds the row's content as last read or committed, plus the changes
   of the transaction that is under way, which can be undone.  */

#define SCHED_TICK_MS 50
/* Rows of the burst that cancels leave to starts, and those that the closing
   of ended and cancelled jobs leaves to both.  */
#define CANCEL_RESERVE_ROWS 24.0
#define CLOSE_RESERVE_ROWS 40.0

/* What this entry knows of an assigned task beyond its row.  */
typedef enum
{
  PHASE_NONE,
  PHASE_PLANNED,     /* its start is in the transaction under way */
  PHASE_UNCONFIRMED, /* learned from a row: the worker's next report decides */
  PHASE_STARTING,    /* committed, to be started */
  PHASE_RUNNING,
  PHASE_REJECTED, /* the worker refuses the start: the next report decides */
  PHASE_STOPPING, /* to be stopped */
  /* Confirmed; the end is to be written.  */
  PHASE_ENDED,
  PHASE_FAILED,
  PHASE_STOPPED,
  PHASE_LOST
} phase_t;

typedef struct sched_worker sched_worker_t;
typedef struct sched_job sched_job_t;

typedef struct
{
  sched_worker_t *worker; /* NULL unless assigned */
  int64_t since_ms; /* assigned: begin of the phase; waiting: not before */
  uint32_t generation;
  uint16_t failures;
  uint16_t revision;     /* of the specification that it was started with */
  char state;            /* task_state_t */
  uint8_t phase;         /* phase_t */
  uint8_t stop_mode;     /* stop_mode_t, in PHASE_STOPPING */
  bool start_in_flight;  /* a start or stop is on its way to the worker */
  bool stop_found_ended; /* a stop was answered with "ended" */
  bool stop_due;         /* in PHASE_STOPPING: to be sent (again) */
  bool start_counted;    /* its run counts as a success of its worker */
  bool preempted;        /* stopped to make room */
} sched_task_t;

struct sched_job
{
  char *id;
  /* Row job/ID.  */
  job_row_t *row; /* NULL: not read */
  int64_t row_version;
  bool row_in_txn;
  /* Row part/ZONE/ID.  */
  int64_t part_version; /* 0: no part in this zone */
  bool part_in_txn;
  uint32_t first_task, task_count;
  sched_task_t *tasks;
  uint32_t waiting, assigned, done, failed;
  uint32_t next_waiting; /* no waiting task has a lower index */
  GPtrArray *failed_on;  /* char * */
  uint64_t row_stamp, part_stamp;
  /* Decisions, memory only.  */
  resource_t task_size;  /* what a new task reserves */
  int64_t first_seen_ms; /* when its waiting tasks were first seen */
  int64_t
      view_refreshed_ms; /* when its rows were last asked for, for the views */
  uint16_t team_index;   /* index in the quota table */
  bool blocked;          /* found no room in this pass */
  bool stopping;         /* cancelled or given up: no starts */
  estimate_t estimate;
};

/* One line of a worker row.  */
typedef struct
{
  sched_job_t *job;
  uint32_t number;
  uint32_t generation;
  int32_t cpu_millis;
  int32_t memory_mib;
  int32_t accelerators;
  bool freed;    /* its end is confirmed: counts as free for placement */
  bool reported; /* in the report that is being read */
} sched_assignment_t;

/* A reported task that no row explains yet.  */
typedef struct
{
  char *task;
  uint32_t generation;
  uint64_t reported_stamp; /* of the report */
} sched_unknown_task_t;

typedef struct
{
  char *task;
  uint32_t generation;
} sched_task_ref_t;

struct sched_worker
{
  char *id, *rack, *url;
  uint32_t index; /* in the fleet and in sched->workers */
  bool listed;
  sched_instance_state_t state;
  int64_t incarnation;   /* highest seen */
  int64_t gone_since_ms; /* when the list first showed it gone, -1: not */
  int64_t
      unlisted_since_ms; /* when it was first missed in the list, 0: was not */
  resource_t capacity;
  /* Row worker/ZONE/ID.  */
  int64_t row_version;
  int64_t row_incarnation;
  bool row_in_txn;
  GArray *assignments; /* sched_assignment_t */
  uint64_t row_stamp;
  uint64_t row_read_stamp; /* when the latest finished read was sent */
  /* Exchange.  */
  bool lease_in_flight;
  int64_t lease_due_ms;
  int64_t answered_ms; /* -1: never */
  uint64_t answer_stamp;
  bool calls_due;          /* starts or stops are due */
  GArray *acks;            /* sched_task_ref_t */
  GArray *unknown_tasks;   /* sched_unknown_task_t */
  bool held_unwritten;     /* the held-back state is to be written */
  uint32_t unwritten_ends; /* confirmed ends to be written */
  int64_t ends_since_ms;
  int64_t avoid_until_ms;
  suspect_t health;
  uint32_t part_row_position; /* scratch for writing part rows */
};

typedef enum
{
  ROW_JOB,
  ROW_PART,
  ROW_WORKER,
  ROW_CHANGES,
  ROW_ZONE,
  ROW_OTHER
} row_kind_t;

typedef struct
{
  row_kind_t kind;
  void *object; /* sched_job_t, sched_worker_t or sched_changes_t */
  char *key;
  int64_t version;
  json_t *value; /* NULL: only checked, or deleted */
  bool write;
  bool delete; /* deleted */
} txn_row_t;

typedef enum
{
  OP_START,
  OP_END,
  OP_CLOSE_PART,
  OP_CANCEL_WAITING,
  OP_WRITE_HELD,
  OP_MOVE,  /* of an unassigned part to the zone named by reason */
  OP_DELETE /* removes the part row or job row of an ended job */
} op_kind_t;

typedef struct
{
  op_kind_t kind;
  sched_job_t *job;
  sched_worker_t *worker;
  uint32_t index;
  sched_task_t old_task;             /* before */
  sched_assignment_t old_assignment; /* before, of an end */
  job_state_t old_job_state;         /* before */
  char *reason_or_zone;              /* before, owned */
  char *ack; /* task name to acknowledge, owned, or NULL */
} op_t;

typedef enum
{
  TXN_IDLE,
  TXN_SENT,
  TXN_WAIT_READBACK, /* outcome unknown, read back at retry_ms */
  TXN_READING_BACK,
  TXN_WAIT_RESEND /* sent again, unchanged, at retry_ms */
} txn_state_t;

/* One group commit.  There are two at a time: that of the duty and that of
   submissions and cancels.  */
typedef struct
{
  txn_state_t state;
  uint64_t tag;
  char *write_id;
  GArray *rows;        /* txn_row_t */
  GArray *ops;         /* op_t, duty only */
  GPtrArray *requests; /* sched_request_t, front only */
  bool outcome_unknown;
  uint32_t attempts;
  int64_t retry_ms;
  bool for_requests;
} txn_t;

/* Row changes/ZONE/ENTRY: the jobs that this entry made or cancelled last.  */
typedef struct
{
  char *zone;
  int64_t version; /* -1: not read yet */
  int64_t sequence;
  GQueue ids; /* char *, newest last */
  bool in_txn;
  bool in_plan_txn; /* in_txn: in the duty's transaction */
  int64_t old_sequence;
} sched_changes_t;

typedef struct
{
  bool cancel;
  bool update; /* a new specification of a running service */
  void *token;
  char *id;
  job_row_t *row; /* of a submission */
  int64_t deadline_ms;
  bool alone; /* retried without company after a conflict */
  bool outcome_unknown;
  bool answered; /* its time was up while its transaction is under way */
} sched_request_t;

/* What another zone advertises in zone/ZONE.  */
typedef struct
{
  char *zone;
  int64_t version;
  resource_t free, waiting;
  GArray *shapes; /* zone_shape_t */
} sched_zone_t;

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
  CALL_SCAN,
  CALL_READBACK,
  CALL_TXN,
  CALL_START,
  CALL_LEASE,
  CALL_STOP
} call_kind_t;

typedef struct
{
  call_kind_t kind;
  uint64_t sent_stamp;
  int64_t sent_ms;
  sched_worker_t *worker;
  txn_t *txn;
  GPtrArray *keys; /* char *, of a reload */
  GArray
      *tasks; /* sched_task_ref_t: tasks of a start, stop or acknowledgement */
  uint32_t scan_step; /* of a scan */
  int64_t incarnation;
} call_t;

struct sched
{
  char *entry_id, *zone, *writer_id;
  const sched_actions_t *actions;
  void *context;
  const clk_t *clock;
  counter_registry_t *registry;
  const pack_rule_t *pack_rule;
  GRand *random;
  int64_t now_ms;
  uint64_t last_tag, last_write, stamp;
  GHashTable *calls; /* tag -> call_t */

  GHashTable *jobs; /* id -> sched_job_t */
  GHashTable *workers_by_id;
  GPtrArray *workers; /* sched_worker_t, by fleet index */
  fleet_t fleet;
  GHashTable *zones;          /* name -> sched_zone_t */
  GPtrArray *entries;         /* sched_entry_t */
  GHashTable *changes;        /* zone -> sched_changes_t, own */
  GHashTable *seen_sequences; /* key of a changes row -> int64_t * sequence */

  bool on_duty;
  bool ready; /* all rows have been read since this became true */
  bool list_read;
  bool scanning, scan_wanted;
  uint64_t scan_stamp;
  int64_t scan_retry_ms, scan_done_ms, changes_poll_due_ms;
  uint32_t polls_in_flight;
  int64_t zones_poll_due_ms;
  GHashTable *reload_keys; /* keys to be read */
  uint32_t reloads_in_flight;
  int64_t reload_retry_ms;

  txn_t duty, request_txn;
  GQueue submit_queue; /* sched_request_t, submissions */
  GQueue cancel_queue; /* sched_request_t, go after the submissions */
  int64_t plan_retry_ms;
  uint32_t plan_backoff_ms;
  double row_tokens;
  double end_row_tokens; /* rows of ends and closed jobs, part of the former */
  uint32_t start_rows;   /* rows of the duty's group that its starts need */
  uint32_t rows_per_s;
  int64_t refilled_ms;
  double stop_tokens;     /* stops of cancelled jobs */
  int64_t preempt_due_ms; /* no further preemption before */
  int64_t zone_row_due_ms, mismatch_due_ms, rolling_update_due_ms,
      unplaceable_due_ms, view_due_ms;
  char *advertised_text; /* what was advertised last */

  quota_t quota;
  gang_t gang;
  explain_t explain;
  suspect_peers_t peers;

  counter_t *starts, *ends, *commits, *conflicts, *unknowns, *row_writes,
      *preempted, *orphans;
  histogram_t *plan_us;
};

/* sched_rows.c */
sched_job_t *sched_job_get (sched_t *s, const char *id, bool create);
void sched_job_free (gpointer data);
sched_worker_t *sched_worker_get (sched_t *s, const char *id, bool create);
void sched_worker_free (gpointer data);
/* Takes a row that was asked for at STAMP into memory, unless what is there is
   newer or part of a transaction under way.  */
void sched_row_apply (sched_t *s, const sched_row_t *row, uint64_t stamp);
void sched_queue_reload (sched_t *s, char *key);
/* Asks again for rows that do not agree: they were read at different times,
   with a transaction of another entry between them.  */
void sched_reload_mismatches (sched_t *s);
sched_changes_t *sched_changes_get (sched_t *s, const char *zone);
json_t *sched_changes_json (const sched_changes_t *changes,
                            const char *write_id);
json_t *sched_part_json (sched_job_t *job, const char *write_id);
json_t *sched_worker_json (sched_worker_t *worker, const char *write_id);
/* Recomputes whether placement may use WORKER.  */
void sched_worker_refresh (sched_t *s, sched_worker_t *worker);
/* The line of WORKER's row for (JOB, NUMBER, GENERATION), or NULL.  */
sched_assignment_t *sched_assignment_find (sched_worker_t *worker,
                                           const sched_job_t *job,
                                           uint32_t number,
                                           uint32_t generation);
sched_task_t *sched_task_find (sched_job_t *job, uint32_t number);
/* Sets a task's state and keeps the job's counts.  */
void sched_task_set_state (sched_job_t *job, sched_task_t *task, char state);
static inline resource_t
sched_assignment_size (const sched_assignment_t *assignment)
{
  resource_t size = { assignment->cpu_millis, assignment->memory_mib,
                      assignment->accelerators };
  return size;
}
char *sched_task_name (const sched_job_t *job, uint32_t index);

/* sched_txn.c */
void txn_init (txn_t *txn, bool front);
void txn_clear (txn_t *txn);
/* Adds a row to be written (or only checked).  */
void txn_touch_job (txn_t *txn, sched_job_t *job);
void txn_touch_part (txn_t *txn, sched_job_t *job);
void txn_touch_worker (txn_t *txn, sched_worker_t *worker);
txn_row_t *txn_add_row (txn_t *txn, row_kind_t kind, void *object, char *key,
                        int64_t version, json_t *value);
void txn_send (sched_t *s, txn_t *txn);
void txn_tick (sched_t *s, txn_t *txn);
void txn_ended (sched_t *s, txn_t *txn, err_kind_t kind,
                const int64_t *versions, uint32_t count);
void txn_read_back (sched_t *s, txn_t *txn, err_kind_t kind,
                    const sched_row_t *rows, uint32_t count, uint64_t stamp);

/* sched_ops.c */
/* Plans the start of task INDEX of JOB on WORKER in the duty transaction.  */
void op_start (sched_t *s, sched_job_t *job, uint32_t index,
               sched_worker_t *worker);
/* Plans the writing of a confirmed end.  Returns false, and asks for the rows
   again, if the rows in memory do not belong together.  */
bool op_end (sched_t *s, sched_job_t *job, uint32_t index);
/* Plans the job row's change when all tasks of the part are over, or refuses
   it with REASON.  */
void op_close_part (sched_t *s, sched_job_t *job, job_state_t state,
                    const char *reason);
void op_cancel_waiting (sched_t *s, sched_job_t *job);
/* Plans the writing of the held-back state.  */
void op_write_held (sched_t *s, sched_worker_t *worker);
void ops_commit (sched_t *s, txn_t *txn);
void ops_undo (sched_t *s, txn_t *txn);
void op_clear (gpointer data);

/* sched_plan.c */
/* Plans one group and sends it.  */
void plan_tick (sched_t *s);
/* Plans the start of up to LIMIT tasks on at most WORKER_ROWS workers, without
   sending anything.  Returns how many were planned.  */
uint32_t plan_starts (sched_t *s, uint32_t worker_rows, uint32_t limit);

/* sched_jobs.c */
/* Refuses or moves jobs that cannot start here, and drops the rows of jobs
   that ended a while ago.  */
void plan_unplaceable (sched_t *s);
void plan_deletions (sched_t *s);
/* Replaces tasks of services whose specification has changed, one at a
   time.  */
void plan_rolling_updates (sched_t *s);
void op_move_commit (sched_t *s, op_t *op);
/* Forgets jobs that have no rows any more.  */
void sched_forget_jobs (sched_t *s);

/* sched_zone.c */
/* Plans the row that advertises this zone's room, if it has changed.  */
void plan_zone_row (sched_t *s);
/* Asks for the stop of batch work that the blocked among JOBS may displace. */
void preempt_for (sched_t *s, const GPtrArray *jobs);

/* sched_work.c */
void workers_tick (sched_t *s);
void task_confirm_end (sched_t *s, sched_job_t *job, sched_task_t *task,
                       phase_t phase);
/* Asks for the stop of an assigned task.  */
void task_stop (sched_t *s, sched_job_t *job, sched_task_t *task,
                stop_mode_t mode);

/* sched_front.c */
/* Adds ID to the changes row of ZONE, which must have been read.  */
void sched_record_change (sched_t *s, txn_t *txn, const char *zone,
                          const char *id);
/* Undoes the changes rows of TXN; after a conflict they are read again.  */
void sched_undo_changes (const txn_t *txn, bool conflict);
/* How many tasks of SPEC fit in the empty ZONE, at most spec->tasks; -1 if
   nothing is known of it.  */
int64_t sched_zone_fit (const sched_t *s, const char *zone,
                        const job_spec_t *spec, resource_t *largest);
/* Tasks of SIZE that ZONE has room for beside what already waits there.  */
double sched_zone_room (const sched_t *s, const char *zone, resource_t size);
/* The zones that SPEC allows; the names are borrowed.  */
GPtrArray *sched_allowed_zones (const sched_t *s, const job_spec_t *spec);
/* Sends the next group of submissions and cancels.  */
void requests_tick (sched_t *s);
void requests_finished (sched_t *s, txn_t *txn, err_kind_t kind,
                        bool committed);
void sched_request_free (gpointer data);

/* sched.c */
call_t *sched_call_new (sched_t *s, call_kind_t kind, uint64_t *tag);
void sched_call_free (gpointer data);

#endif
