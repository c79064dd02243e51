#ifndef MAGNOLIADOCK_CELL_H
#define MAGNOLIADOCK_CELL_H

#include "clk.h"
#include "queues.h"
#include "size_stats.h"
#include "work.h"

/* NAME
     cell - scheduler of one cell: a pool of workers and the jobs that run
     there

   Only one node at a time owns a cell.  The owner makes a cell_t, loads the
   jobs and their records, and calls cell_begin.  Every order to a worker
   carries the owner's fencing token, which the caller adds.  An order may be
   carried out late, in the next life of its worker.  So the owner raises the
   token for a worker with each restart that it learns of, and relies on a
   worker only once that has answered a poll with the raised token: it then
   refuses orders to earlier lives.

   A run is one attempt at a task; runs of a task are numbered from 1.  A start
   is ordered only after the record that names task, run and worker was saved.
   An end is acknowledged to its worker only after the record that holds it was
   saved.  So the next owner finds in the records every run that may exist.  A
   task gets another run only once its previous run is known to be over: its
   worker listed the end, or confirmed the stop and does not list the run, or
   restarted, or its lease must have expired.

   For some queues an advice service decides which workers may run a step.  It
   issues a ticket for each such worker, which the start has to carry.  A
   filler is a task that uses only processor time that other tasks leave idle.

   Times are milliseconds of the clock passed in unless noted otherwise.
   Strings passed in are copied; strings passed to actions live until the
   action returns.  */

typedef struct cell cell_t;

typedef struct
{
  int64_t max_lease_ms; /* the longest that workers accept */
  int64_t retention_ms; /* how long the state of an ended job can be queried */
  int64_t max_row_bytes;  /* of a row of the store; 0: 64 KiB */
  uint32_t max_save_rows; /* of a save; 0: 90 */
  /* No task is started while the list of workers was confirmed longer ago: a
     worker that drains shows only there.  0: no limit.  */
  int64_t list_limit_ms;
} cell_options_t;

/* Returns the limit of a row in bytes.  */
size_t cell_row_limit (const cell_options_t *options);

/* Most times that an owner raises its token for one worker.  */
#define CELL_MAX_RAISES 1023u

typedef struct
{
  const char *id;
  const char *address;
  uint32_t raises; /* to be added to the owner's token */
} cell_worker_ref_t;

typedef struct
{
  const char *task;
  uint32_t run;
  const char *spec;
  int64_t lease_until_ms; /* worker's clock */
  const char *checkpoint; /* "": none */
  const char *ticket;     /* NULL: none */
} cell_start_order_t;

/* A row of a job's record.  The key of the first one is the job's id; others
   have keys that begin with the id and a slash.  */
typedef struct
{
  const char *key;
  const char *text; /* NULL: remove */
} cell_record_t;

typedef struct
{
  /* Writes RECORDS, all or none; answered by cell_save_done or
     cell_save_refused.  One save at a time.  */
  void (*save) (void *context, const cell_record_t *records, uint32_t count);
  void (*start) (void *context, const cell_worker_ref_t *worker,
                 const cell_start_order_t *order);
  void (*stop) (void *context, const cell_worker_ref_t *worker,
                const char *task, uint32_t run);
  /* Polls WORKER for its runs and ends: renews the lease unless LEASE_UNTIL_MS
     is 0, acknowledges the ends numbered up to ACKNOWLEDGED_END, and waits up
     to WAIT_MS for a new end.  Answered by cell_poll_answered or
     cell_poll_failed. */
  void (*poll) (void *context, const cell_worker_ref_t *worker,
                int64_t lease_until_ms, uint64_t acknowledged_end,
                int64_t wait_ms);
  /* Sets the speed of a filler's run to PERCENT of full speed.  */
  void (*pace) (void *context, const cell_worker_ref_t *worker,
                const char *task, uint32_t run, uint32_t percent);
  /* Asks the advice service which of WORKERS may run STEP; CALL numbers the
     calls of the step.  Returns false, and sends nothing, if no node is
     free to make a call that is expected to take EXPECTED_MS.  */
  bool (*advise) (void *context, const char *step, uint32_t call,
                  const char *const *workers, uint32_t count,
                  double expected_ms);
  /* Deletes everything stored about a job whose retention has expired.  */
  void (*delete_job) (void *context, const char *id);
  /* Logs and counts EVENT.  */
  void (*log) (void *context, const char *event, const char *subject,
               const char *detail);
} cell_actions_t;

/* Result of an order or a poll.  */
typedef enum
{
  ORDER_ACCEPTED,
  ORDER_FENCED, /* another owner has a higher token */
  ORDER_STALE,  /* a run with this or a higher number has ended there */
  ORDER_LATE,   /* its lease had expired on arrival */
  ORDER_NO_CAPACITY,
  ORDER_NO_TICKET, /* ticket missing or expired */
  ORDER_INVALID,
  ORDER_UNAVAILABLE, /* the worker reports that it cannot carry out orders now,
                        and did nothing */
  ORDER_NOT_DELIVERED, /* certainly not delivered */
  ORDER_OTHER_WORKER,  /* another worker answers at this address */
  ORDER_UNKNOWN        /* no answer: carried out, not carried out, or later */
} order_result_t;

typedef enum
{
  END_DONE,
  END_FAILED,
  END_STOPPED,
  END_LAPSED, /* the lease expired, or the worker is gone */
  /* Kinds that only workers report; handled like END_STOPPED.  */
  END_BROKEN,
  END_ALONE,
  /* The worker has crashed; no worker reports this.  */
  END_CRASHED
} end_kind_t;

typedef struct
{
  const char *task;
  uint32_t run;
  const char *checkpoint;
  uint32_t percent;
  int64_t measure; /* step with a tail_limit_ms: tail latency in ms; other
                      steps: processor use in thousandths of a core */
} report_run_t;

typedef struct
{
  uint64_t number;
  const char *task;
  uint32_t run;
  end_kind_t how;
  const char *checkpoint;
} report_end_t;

/* A worker's answer to a poll.  */
typedef struct
{
  int64_t sent_ms;  /* when the poll was sent */
  uint32_t raises;  /* of the token that it carried */
  int64_t clock_ms; /* worker's clock, which restarts with the worker */
  int64_t start_ms; /* wall time of the worker's start, 0: not reported */
  const report_run_t *runs;
  uint32_t run_count;
  const report_end_t *ends;
  uint32_t end_count;
  bool more_ends; /* ENDS was truncated */
} worker_report_t;

/* A worker's entry in the platform's list.  */
typedef struct
{
  const char *id;
  const char *address;
  const char *service;
  const char *machine;
  const char *rack; /* "": unknown */
  const char *const *labels;
  uint32_t label_count;
  resource_t capacity;
  bool draining;
  int64_t remaining_ms; /* while draining: least time until it may leave; -1:
                           unknown */
  int64_t start_ms;     /* wall time of its start */
} worker_row_t;

/* A worker that may run the step, and the ticket for the start.  */
typedef struct
{
  const char *worker;
  const char *ticket;
} advice_row_t;

cell_t *cell_new (const cell_options_t *options, const clk_t *clock,
                  const cell_actions_t *actions, void *context);
void cell_free (cell_t *cell);

/* Sets the queue configuration, copying what it needs of TABLE.  */
void cell_set_queues (cell_t *cell, const queue_table_t *table);

/* Adds a stored job and takes ownership of WORK.  Ignores known ids.  */
void cell_add_job (cell_t *cell, work_job_t *work);
/* Adds the job ID from its record alone, all COUNT rows of it, if the record
   says that the job has ended and no task can still be running.  Returns
   false, and does nothing, for any other record.  */
bool cell_add_ended_job (cell_t *cell, const char *id,
                         const cell_record_t *rows, uint32_t count);
/* Loads the record that an earlier owner saved of the job ID, all COUNT rows
   of it; called before cell_begin.  Returns whether they could be read.  */
bool cell_load_record (cell_t *cell, const char *id, const cell_record_t *rows,
                       uint32_t count);
void cell_cancel_job (cell_t *cell, const char *id);

/* How often the token was raised for the worker ID so far.  A refusal of an
   order with a lower token is one by the worker's next life, not by the order
   of another owner.  */
uint32_t cell_worker_raises (const cell_t *cell, const char *id);

/* Every change of the list of workers that was acknowledged at AS_OF_MS was
   reported.  */
void cell_workers_confirmed (cell_t *cell, int64_t as_of_ms);

void cell_worker_listed (cell_t *cell, const worker_row_t *row);
void cell_worker_unlisted (cell_t *cell, const char *id);

/* What earlier owners have left behind, see tenure.h.  */
typedef struct
{
  int64_t leases_end_ms;        /* their leases have ended by then ... */
  int64_t unreached_end_ms;     /* ... and by then those of UNREACHED */
  const char *const *unreached; /* ids of workers that the last one had not
                                   reached; ends with a NULL; NULL: none */
} cell_inheritance_t;

/* Starts scheduling; everything stored has been loaded.  */
void cell_begin (cell_t *cell, const cell_inheritance_t *inheritance);
/* The leases of earlier owners have ended by LEASES_END_MS, as is known now;
   has no effect if an earlier time is known.  */
void cell_inherit (cell_t *cell, int64_t leases_end_ms);

/* The save in flight has succeeded; after cell_ownership_confirmed.  */
void cell_save_done (cell_t *cell);
/* Nothing of the save in flight was written, and the same save would be
   refused again, although the store takes other writes of this owner.  */
void cell_save_refused (cell_t *cell);
/* The store has confirmed a commit of this owner that was first sent at
   SENT_MS.  No lease is given before the first one.  */
void cell_ownership_confirmed (cell_t *cell, int64_t sent_ms);
/* Gives no more leases.  */
void cell_stop_leases (cell_t *cell);
/* By when the leases that this owner has given have ended; 0: it gave none. */
int64_t cell_last_lease_end_ms (const cell_t *cell);
/* The same with those of earlier owners.  */
int64_t cell_leases_end_ms (const cell_t *cell);
/* Calls EACH with the ids of the workers with runs that have not answered this
   owner yet.  Returns the time by which their leases have ended.  */
int64_t cell_each_unreached (const cell_t *cell,
                             void (*each) (void *context, const char *worker),
                             void *context);

/* CLOCK_MS: the worker's clock in its answer, 0: not reported.  */
void cell_start_answered (cell_t *cell, const char *worker, const char *task,
                          uint32_t run, order_result_t result,
                          int64_t clock_ms);
void cell_stop_answered (cell_t *cell, const char *worker, const char *task,
                         uint32_t run, order_result_t result);
void cell_poll_answered (cell_t *cell, const char *worker,
                         const worker_report_t *report);
void cell_poll_failed (cell_t *cell, const char *worker,
                       order_result_t result);
/* The answer to the call for advice on STEP with the number CALL.  ROWS: the
   workers that may run STEP, of those that the call named.  VALID_MS: validity
   of their tickets from now.  OK is false if no answer came.  */
void cell_advice_answered (cell_t *cell, const char *step, uint32_t call,
                           bool ok, const advice_row_t *rows, uint32_t count,
                           int64_t valid_ms);

/* Makes decisions and sends orders; call after inputs and every CELL_TICK_MS.
   WALL_MS: time of day.  */
void cell_run (cell_t *cell, int64_t wall_ms);
#define CELL_TICK_MS 25

/* What the owner did since the last call of cell_take_load.  Growing passes
   and growing delays at the same load mean that it cannot keep up.  */
typedef struct
{
  uint32_t passes;   /* placement passes */
  int64_t passes_ms; /* total duration */
  int64_t longest_pass_ms;
  int64_t late_ms;         /* longest delay of the scan due each
                              CELL_TICK_MS */
  uint32_t waiting_steps;  /* in the last pass */
  uint32_t too_late_steps; /* of these, whose job has lost its value */
  uint32_t advice_calls;
  uint32_t advice_failures; /* calls without an answer */
  uint32_t advice_busy;     /* calls not made, since every node was busy */
  uint32_t tickets;         /* issued */
  uint32_t tickets_unused;  /* replaced, expired, before any start */
  uint32_t starts;          /* ordered, the repeated ones included */
  uint32_t polls;
  uint32_t saves;
  uint32_t saved_records;
  uint32_t refused_saves;
  /* In the last pass: gangs for which room is kept, how much, and for how long
     for the one that has had it longest; gangs that do not fit at all.  */
  uint32_t holding_steps, misfit_steps;
  int64_t kept_cpu_millis, kept_accelerators;
  int64_t longest_hold_ms;
} cell_load_t;
void cell_take_load (cell_t *cell, cell_load_t *load);

/* How the jobs of a queue and size fared in the last minute; jobs that last or
   recur are left out.  */
typedef struct
{
  const char *queue;
  const char *size; /* "largest_tenth", "next_fifth", "others", "all" */
  size_counts_t counts;
  int64_t longest_wait_ms; /* of those of which nothing runs */
  bool starves; /* in time less than half as often as all jobs of the queue, or
                   for "all", of the cell */
} cell_size_t;

/* Calls EACH with each queue and size.  */
void cell_each_size (const cell_t *cell,
                     void (*each) (void *context, const cell_size_t *size),
                     void *context);

/* Whether a worker has refused an order because another owner has a higher
   token.  */
bool cell_fenced (const cell_t *cell);

/* State of a job as it was last saved: "queued", "running", "completed",
   "failed", "cancelled"; NULL if the id is not known.  */
const char *cell_state (const cell_t *cell, const char *id);
/* The state in a record.  NULL if TEXT cannot be read.  */
const char *cell_record_state (const char *text, size_t length);

/* Calls EACH with every queue that has pending jobs and their number: jobs
   that are not recurring, have not ended and of which no task has started.  */
void cell_each_pending (const cell_t *cell,
                        void (*each) (void *context, const char *queue,
                                      uint32_t pending),
                        void *context);

typedef struct
{
  uint32_t jobs, waiting_tasks, placed_tasks, workers, unresponsive_workers;
  resource_t capacity, used; /* of all workers */
} cell_totals_t;
void cell_totals (const cell_t *cell, cell_totals_t *totals);

/* What the placement passes did so far.  */
typedef struct
{
  uint64_t passes;
  uint64_t groups;            /* waiting ones, added up over the passes */
  uint64_t workers_looked_at; /* for some group, each time counted */
  uint64_t placed;            /* tasks */
} cell_pass_stats_t;
void cell_pass_stats (const cell_t *cell, cell_pass_stats_t *stats);

#endif
