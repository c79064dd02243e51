#ifndef MAGNOLIADOCK_CELL_INT_H
#define MAGNOLIADOCK_CELL_INT_H

#include "cell.h"

/* NAME
     cell_int - structures shared by the cell's source files only  */

typedef struct cell_job cell_job_t;
typedef struct cell_group cell_group_t;
typedef struct cell_task cell_task_t;
typedef struct cell_worker cell_worker_t;

typedef enum
{
  RUN_WAITING,  /* needs a run */
  RUN_ASSIGNED, /* a worker is chosen; the record is not saved yet */
  RUN_ORDERED,  /* the start was sent or is sent again */
  RUN_LIVE,     /* the worker has confirmed the start */
  RUN_STOPPING, /* has to end before anything else is done */
  RUN_DONE,
  RUN_OVER /* failed for good, or its job has ended */
} run_state_t;

struct cell_task
{
  cell_group_t *group;
  cell_worker_t *worker; /* whose room is held; NULL: none */
  char *checkpoint;      /* NULL: none */
  int64_t ordered_ms;    /* last sending of the start */
  int64_t confirmed_ms;  /* the start was confirmed */
  int64_t stop_sent_ms;
  int64_t stopped_ms;  /* the stop was confirmed; 0: not yet */
  int64_t progress_ms; /* last rise of PERCENT */
  uint32_t index;
  uint32_t run; /* number of the last run, 0: none yet */
  uint32_t failures;
  uint32_t percent;
  int64_t measure; /* of the last report, see report_run_t */
  uint8_t pace;    /* share it may work at, in percent */
  uint8_t state;
  bool in_save; /* ASSIGNED, and in the save in flight */
  bool start_open;
  bool stop_open;
  bool unsure; /* a start of this run was not answered */
  bool seen;   /* in the report being read */
};

typedef struct
{
  bool known;    /* an answer was given */
  char *ticket;  /* NULL: not allowed */
  uint32_t call; /* that asks for it now; 0: none */
  int64_t valid_until_ms;
  int64_t born_ms; /* of the worker that it was given for */
} permit_t;

struct cell_group
{
  cell_job_t *job;
  uint32_t occurrence;
  uint32_t step;
  const work_step_t *spec;
  cell_task_t *tasks; /* spec->count */
  uint32_t waiting;   /* tasks in RUN_WAITING without a worker */
  uint32_t done;
  uint32_t gang_failures;
  uint32_t gang_failed_run; /* last run counted in GANG_FAILURES */
  char *gang_checkpoint;
  int64_t open_ms; /* when its turn came; 0: not yet */
  int64_t rank_ms; /* slack, of the current pass */
  uint8_t tier;    /* of the current pass */
  bool finished;
  uint32_t calls_open; /* calls for advice in flight */
  uint32_t last_call;
  int64_t ask_after_ms;
  int64_t tickets_until_ms; /* when the last ticket expires */
  int64_t explain_ms;       /* when its wait may be explained again */
  GHashTable *permits;      /* worker id -> permit_t; answers of the adviser */
};

typedef enum
{
  JOB_STATE_QUEUED,
  JOB_STATE_RUNNING,
  JOB_STATE_COMPLETED,
  JOB_STATE_FAILED,
  JOB_STATE_CANCELLED,
  JOB_STATE_NONE
} job_show_t;

struct cell_job
{
  cell_t *cell;
  work_job_t *work; /* NULL once the job is over and forgotten in memory */
  char id[WORK_ID_LENGTH + 1];
  queue_t *queue;           /* owned copy; NULL: not configured */
  GPtrArray *groups;        /* cell_group_t, owned */
  uint32_t next_occurrence; /* first one without groups */
  uint32_t finished_below;  /* occurrences below this are over */
  int64_t added_ms;
  int64_t ended_ms;
  int64_t first_start_ms; /* 0: none was confirmed yet */
  uint32_t runs;          /* starts ordered by this owner */
  uint32_t failed_runs;
  uint32_t lost_runs; /* ended with their lease or their worker */
  job_show_t state;
  job_show_t saved_state;
  bool begun;       /* a task has started */
  bool dirty;       /* the record differs from what was saved */
  bool starts_wait; /* for the next save */
};

struct cell_worker
{
  char *id;
  char *address;
  char *machine;
  char *rack;
  GHashTable *labels; /* set of char * */
  resource_t capacity;
  resource_t used;
  GPtrArray *tasks; /* cell_task_t that hold room here */
  uint32_t ghosts;  /* runs here that belong to no task */
  bool listed;
  bool draining;
  int64_t leave_ms; /* while draining: when it may leave; 0: not told */
  int64_t born_ms;
  bool fenced; /* has answered this owner */
  bool ok;     /* the last call was answered */
  bool look_open;
  uint32_t look_misses;
  int64_t look_after_ms;
  uint64_t seen;       /* highest end processed */
  uint64_t saved_seen; /* of it, what a successful save covers */
  uint64_t in_save_seen;
  uint64_t told_seen; /* acknowledged by the last answered look */
  uint64_t sent_seen;
  int64_t ended_ms;                   /* when an end was last processed */
  int64_t anchor_ms, anchor_clock_ms; /* CLOCK was at least this at ANCHOR */
  int64_t lease_until_ms;     /* worker's clock; highest that was sent */
  int64_t renewable_until_ms; /* a late order to its new life may renew */
  uint32_t fail_streak; /* failed runs of jobs in turn, since the last done */
  char failed_job[WORK_ID_LENGTH + 1]; /* of the last failed run */
  int64_t avoid_until_ms;
  resource_t promised; /* kept for gangs in the current pass */
  resource_t soon;     /* room now and in a moment, of the current pass */
  resource_t expected; /* of it, what steps that have asked may take */
};

/* What calls for advice of a queue brought.  */
typedef struct
{
  double named;
  double allowed;
} advice_share_t;

struct cell
{
  cell_options_t options;
  const clk_t *clock;
  const cell_actions_t *actions;
  void *context;
  int64_t now_ms, wall_ms;
  GHashTable *jobs;       /* id -> cell_job_t, owned */
  GHashTable *workers;    /* id -> cell_worker_t, owned */
  GPtrArray *worker_list; /* borrowed, in the order of appearance */
  GHashTable *queues;    /* name -> queue_t, owned; also those removed since */
  GPtrArray *open;       /* cell_group_t whose turn has come, not finished */
  GPtrArray *timed;      /* cell_job_t with occurrences to come */
  GPtrArray *dirty;      /* cell_job_t */
  GPtrArray *expiring;   /* cell_job_t over, in the order of their ends */
  GPtrArray *saving;     /* cell_job_t in the save in flight */
  GArray *saving_states; /* job_show_t of these */
  bool begun, save_open, fenced, seen_dirty;
  bool place_wanted;
  int64_t next_place_ms;
  GHashTable *unadvised; /* names of the queues for which no node could ask for
                            advice in the current pass */
  GHashTable *advice_shares; /* name of a queue -> advice_share_t, owned */
  int64_t begun_ms;
  int64_t previous_renews_until_ms;
  int64_t next_save_ms;
  int64_t confirmed_ms;
  int64_t next_scan_ms;
};

/* cell.c */
void cell_note (cell_t *cell, const char *event, const char *subject,
                const char *format, ...) G_GNUC_PRINTF (4, 5);
void cell_mark_dirty (cell_job_t *job);
cell_task_t *cell_find_task (cell_t *cell, const char *name);
void cell_task_name (const cell_task_t *task, char out[WORK_NAME_BYTES]);
/* Takes the task's state and keeps the group's counts.  */
void cell_set_task (cell_task_t *task, run_state_t state);
/* Releases the room that TASK holds.  */
void cell_release (cell_task_t *task);

/* cell_jobs.c */
void cell_job_free (cell_job_t *job);
void cell_group_check (cell_group_t *group);
void cell_job_settle (cell_job_t *job);
void cell_job_over (cell_job_t *job, job_show_t state);
/* The same for a job that an earlier owner recorded as over.  */
void cell_job_loaded_over (cell_job_t *job, job_show_t state);
void cell_open_occurrences (cell_t *cell);
/* Forgets the jobs that ended long enough ago.  */
void cell_forget_old (cell_t *cell);
cell_group_t *cell_job_group (cell_job_t *job, uint32_t occurrence,
                              uint32_t step);
void cell_job_add_groups (cell_job_t *job, uint32_t occurrence);

/* cell_record.c */
void cell_save_if_due (cell_t *cell);

/* cell_runs.c: the life of a run */
void cell_assign (cell_task_t *task, cell_worker_t *worker);
void cell_order (cell_task_t *task);
void cell_want_stop (cell_task_t *task);
/* The same for a run that may be stopping already.  */
void cell_stop_again (cell_task_t *task);
/* The task's run is over; HOW tells why and CHECKPOINT what it saved.  */
void cell_run_ended (cell_task_t *task, end_kind_t how,
                     const char *checkpoint);
void cell_break_gang (cell_group_t *group);
void cell_retry_orders (cell_t *cell);

/* cell_workers.c */
cell_worker_t *cell_worker_find (const cell_t *cell, const char *id);
int64_t cell_lease_until (cell_worker_t *worker, const cell_t *cell);
/* WORKER has answered an order of SENT_MS with its clock, which starts anew
   with each of its lives.  */
void cell_worker_clock (cell_t *cell, cell_worker_t *worker, int64_t sent_ms,
                        int64_t clock_ms);
void cell_look_if_due (cell_t *cell, cell_worker_t *worker);
void cell_check_workers (cell_t *cell);
void cell_worker_free (cell_worker_t *worker);

/* cell_place.c */
/* What a job may take from its acceptance, 0: no limit.  */
int64_t cell_objective_ms (const cell_job_t *job);
void cell_place (cell_t *cell);
resource_t cell_need (const work_step_t *step);

/* cell_advice.c */
/* Calls for advice as far as GROUP needs it.  PLANNED: it is a gang for which
   workers are kept free.  */
void cell_ask_advice (cell_t *cell, cell_group_t *group, bool planned);
/* Whether GROUP is known to be allowed on WORKER.  */
bool cell_allowed (const cell_group_t *group, const cell_worker_t *worker);
/* Returns the ticket of GROUP for WORKER, NULL if there is no valid one.  */
const char *cell_ticket (const cell_group_t *group,
                         const cell_worker_t *worker);
bool cell_denied (const cell_group_t *group, const cell_worker_t *worker);
/* Whether GROUP may hold a valid ticket for some worker.  */
bool cell_has_tickets (const cell_group_t *group);

/* cell_pace.c */
void cell_adjust_pace (cell_t *cell, cell_worker_t *worker);

#endif
