#ifndef MAGNOLIADOCK_CELL_H
#define MAGNOLIADOCK_CELL_H

#include "clk.h"
#include "queues.h"
#include "work.h"

/* NAME
     cell - scheduler of one cell: a pool of workers and the jobs that run
   there

   One entry at a time owns a cell.  The owner makes a cell_t, loads the jobs
   and their records, and calls cell_begin.  Every order to a worker carries
   the owner's fencing token, which the caller adds.

   A start is ordered only after the record that names task, run and worker was
   saved.  An end is acknowledged to its worker only after the record that
   holds it was saved.  So a successor finds in the records every run that may
   exist.  A task gets another run only once its previous run is known to be
   over: its worker listed the end, or confirmed the stop and does not list the
   run, or started anew, or its lease must have expired.

   Instants are milliseconds of the clock passed in unless named otherwise.
   Strings passed in are copied; strings passed to actions live until the
   action returns.  */

typedef struct cell cell_t;

typedef struct
{
  int64_t lease_ms;    /* longest lease that workers grant */
  int64_t evidence_ms; /* after a takeover, age of the last renewal that
                          the previous owner may still send */
  int64_t keep_ms;     /* how long the state of an ended job is told */
} cell_options_t;

typedef struct
{
  const char *id;
  const char *address;
} cell_worker_ref_t;

typedef struct
{
  const char *task;
  uint32_t run;
  const char *spec;
  int64_t lease_until_ms; /* worker's clock */
  const char *checkpoint; /* "": none */
  const char *ticket;     /* NULL: none */
} cell_order_t;

typedef struct
{
  const char *id;   /* of the job */
  const char *text; /* NULL: remove */
} cell_record_t;

typedef struct
{
  /* Writes RECORDS (may be none); answered by cell_saved.  One at a time.  */
  void (*save) (void *context, const cell_record_t *records, uint32_t count);
  void (*start) (void *context, const cell_worker_ref_t *worker,
                 const cell_order_t *order);
  void (*stop) (void *context, const cell_worker_ref_t *worker,
                const char *task, uint32_t run);
  /* Renews the lease (0: does not), acknowledges ends up to SEEN, and waits up
     to WAIT_MS for an end.  */
  void (*look) (void *context, const cell_worker_ref_t *worker,
                int64_t lease_until_ms, uint64_t seen, int64_t wait_ms);
  void (*pace) (void *context, const cell_worker_ref_t *worker,
                const char *task, uint32_t run, uint32_t percent);
  /* Asks which of WORKERS may run STEP, in the step's call CALL.  Returns
     whether the call was sent; if not, every adviser of that kind is busy.  */
  bool (*advise) (void *context, const char *step, uint32_t call,
                  const char *const *workers, uint32_t count,
                  double expected_ms);
  /* Removes everything stored about a job that ended long ago.  */
  void (*forget) (void *context, const char *id);
  void (*note) (void *context, const char *event, const char *subject,
                const char *detail);
} cell_actions_t;

/* What a worker answered to an order.  */
typedef enum
{
  ORDER_TAKEN,
  ORDER_FENCED, /* another owner has a higher token */
  ORDER_STALE,  /* a run at least as high has ended there */
  ORDER_LATE,   /* its lease time had passed */
  ORDER_NO_ROOM,
  ORDER_NO_TICKET, /* ticket missing or expired */
  ORDER_INVALID,
  ORDER_REFUSED,   /* nothing was done; the worker is unwell */
  ORDER_UNREACHED, /* surely not delivered */
  ORDER_MOVED,     /* the worker is another one by now */
  ORDER_UNKNOWN    /* no answer: may be carried out, also later */
} order_result_t;

typedef enum
{
  END_DONE,
  END_FAILED,
  END_STOPPED,
  END_LAPSED,
  END_BROKEN,
  END_ALONE
} end_kind_t;

typedef struct
{
  const char *task;
  uint32_t run;
  const char *checkpoint;
  uint32_t percent;
  int64_t measure; /* serving task: tail in ms; else thousandths of a core */
} report_run_t;

typedef struct
{
  uint64_t number;
  const char *task;
  uint32_t run;
  end_kind_t how;
  const char *checkpoint;
} report_end_t;

typedef struct
{
  int64_t sent_ms; /* when the call was sent */
  int64_t clock_ms;
  int64_t born_ms; /* wall time of the worker's start, 0: not told */
  const report_run_t *runs;
  uint32_t run_count;
  const report_end_t *ends;
  uint32_t end_count;
  bool more_ends; /* the list was cut */
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
  int64_t remaining_ms; /* while draining: least time left; -1: not told */
  int64_t born_ms;
} worker_row_t;

typedef struct
{
  const char *worker;
  const char *ticket;
} advice_row_t;

cell_t *cell_new (const cell_options_t *options, const clk_t *clock,
                  const cell_actions_t *actions, void *context);
void cell_free (cell_t *cell);

/* Configuration in force; TABLE outlives the call only.  */
void cell_set_queues (cell_t *cell, const queue_table_t *table);

/* A stored job; takes WORK.  Known ids are ignored.  */
void cell_add_job (cell_t *cell, work_job_t *work);
/* A job that an earlier owner recorded as over, and of which nothing can run
   any more: TEXT is such a record.  Returns false, and does nothing, for any
   other record.  */
bool cell_add_over (cell_t *cell, const char *id, const char *text,
                    size_t length);
/* What an earlier owner recorded of a job, before cell_begin.  Returns whether
   TEXT could be read.  */
bool cell_load_record (cell_t *cell, const char *id, const char *text,
                       size_t length);
void cell_cancel_job (cell_t *cell, const char *id);

void cell_worker_listed (cell_t *cell, const worker_row_t *row);
void cell_worker_unlisted (cell_t *cell, const char *id);

/* All was loaded.  PREVIOUS_OVER tells that the owner before is known to send
   nothing more.  */
void cell_begin (cell_t *cell, bool previous_over);

/* The save in flight has succeeded.  */
void cell_saved (cell_t *cell);
/* The store has confirmed the ownership at AT_MS.  */
void cell_confirmed (cell_t *cell, int64_t at_ms);

/* CLOCK_MS: the worker's clock in its answer, 0: not told.  */
void cell_started (cell_t *cell, const char *worker, const char *task,
                   uint32_t run, order_result_t result, int64_t clock_ms);
void cell_stopped (cell_t *cell, const char *worker, const char *task,
                   uint32_t run, order_result_t result);
void cell_looked (cell_t *cell, const char *worker,
                  const worker_report_t *report);
void cell_look_failed (cell_t *cell, const char *worker,
                       order_result_t result);
/* ROWS: workers that may run STEP, of those named.  VALID_MS: life of their
   tickets.  OK is false if no answer came.  */
void cell_advised (cell_t *cell, const char *step, uint32_t call, bool ok,
                   const advice_row_t *rows, uint32_t count, int64_t valid_ms);

/* Decides and acts; call after inputs and every CELL_TICK_MS.  WALL_MS: time
   of day.  */
void cell_run (cell_t *cell, int64_t wall_ms);
#define CELL_TICK_MS 25

/* Whether a worker refused an order since another owner has a higher token. */
bool cell_fenced (const cell_t *cell);

/* State of a job as it was last saved: "queued", "running", "completed",
   "failed", "cancelled"; NULL if the id is not known.  */
const char *cell_state (const cell_t *cell, const char *id);
/* The same from a record.  NULL if TEXT cannot be read.  */
const char *cell_record_state (const char *text, size_t length);

/* Calls EACH with every queue that has jobs and the number of its jobs without
   times of which no task has started.  */
void cell_each_pending (const cell_t *cell,
                        void (*each) (void *context, const char *queue,
                                      uint32_t pending),
                        void *context);

typedef struct
{
  uint32_t jobs, waiting_tasks, live_tasks, workers, silent_workers;
} cell_totals_t;
void cell_totals (const cell_t *cell, cell_totals_t *totals);

#endif
