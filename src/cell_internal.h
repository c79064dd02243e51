#ifndef MAGNOLIADOCK_CELL_INTERNAL_H
#define MAGNOLIADOCK_CELL_INTERNAL_H

#include "blame.h"
#include "cell.h"
#include "rank.h"
#include "tenure.h"

/* NAME
     cell_internal - structures shared by the cell's source files only

   A group is the set of tasks of one step in one occurrence of a job.  In a
   gang all tasks of the group run together or not at all, and share the run
   number and the checkpoint.  A serving task has a limit for its tail latency.
   An incarnation of a worker is the time between two of its starts: its clock
   and the numbers of its ends begin anew with each one.  */

/* Workers' clocks may be slow by this share, as the platform documents.  */
#define CLOCK_MAX_SLOW_SHARE 0.02

typedef struct cell_job cell_job_t;
typedef struct cell_group cell_group_t;
typedef struct cell_task cell_task_t;
typedef struct cell_worker cell_worker_t;
typedef struct queue_sizes queue_sizes_t;
typedef struct room_list room_list_t;

/* State of a task with regard to its last run.  */
typedef enum
{
  RUN_WAITING,  /* needs a run */
  RUN_ASSIGNED, /* a worker is chosen; the record is not saved yet */
  RUN_ORDERED,  /* the start was sent; no answer yet */
  RUN_LIVE,     /* the worker has confirmed the start, or a record that an
                   earlier owner saved names the run */
  RUN_STOPPING, /* has to end before the task gets another run */
  RUN_DONE,
  RUN_JOB_ENDED /* gets no other run: its job has ended */
} run_state_t;

struct cell_task
{
  cell_group_t *group;
  cell_worker_t *worker;      /* on which it holds capacity; NULL: none */
  char *checkpoint;           /* NULL: none */
  int64_t start_sent_ms;      /* when the start was last sent */
  int64_t start_confirmed_ms; /* by the worker */
  int64_t stop_sent_ms;
  int64_t stop_confirmed_ms; /* by the worker; 0: not yet */
  int64_t seen_running_ms;   /* when this owner first knew that the run had
                                started; 0: not yet */
  int64_t worker_start_ms;   /* wall time of the start of the worker on which
                                the run was ordered; 0: unknown */
  int64_t progress_ms;       /* when PERCENT last rose */
  int64_t failed_runs_ms;    /* total duration of its failed runs */
  int64_t next_start_ms;     /* it gets no run before */
  uint32_t quick_ends; /* runs in a row that have ended at once; lasting */
  uint32_t index;
  uint32_t run; /* number of the last run, 0: none yet */
  uint32_t failures;
  uint32_t percent;     /* reported progress */
  int64_t measure;      /* of the last report, see report_run_t */
  uint8_t pace_percent; /* fillers: speed set last */
  uint8_t state;        /* run_state_t */
  blame_history_t blame;
  uint32_t lapsed_runs[BLAME_MAX_LOSSES]; /* counted in BLAME because their
                                             lease expired; withdrawn if the
                                             worker still lists their end */
  uint8_t lapsed_count;
  uint8_t verdict;      /* blame_verdict_t, if VERDICT_PENDING */
  bool verdict_pending; /* the worker was lost; VERDICT counts if the run turns
                           out to be over */
  bool in_save;         /* its assignment is in the save in flight */
  bool start_in_flight;
  bool stop_in_flight;
  bool start_unanswered; /* a start of this run got no answer, so it may be
                            carried out, also later */
  bool loaded;           /* from the record of an earlier owner */
  bool reported;         /* listed in the last report of its worker */
};

/* What a gang that can't start waits for.  */
typedef enum
{
  WAIT_PLACE,   /* room is kept for gangs that go before it */
  WAIT_ANSWERS, /* of the advice service */
  WAIT_ROOM,    /* that is kept for it to become free */
  WAIT_PAUSE,   /* after a hold that did not lead to a start */
  WAIT_MISFIT,  /* it does not fit, whatever ends */
  WAIT_VALUE,   /* its result has lost its value, so no room is kept */
  WAIT_REASONS
} wait_reason_t;

/* What the advice service said about one worker for a group.  */
typedef struct
{
  cell_worker_t *worker;
  bool answered; /* a call that named the worker was answered */
  char *ticket;  /* if ANSWERED, NULL: the worker may not run the step */
  uint32_t call; /* number of the call in flight that names it; 0: none */
  int64_t valid_until_ms;
  int64_t worker_start_ms; /* incarnation for which the ticket was given */
  bool used;               /* a start has carried TICKET */
} advice_t;

struct cell_group
{
  cell_job_t *job;
  uint32_t occurrence;
  uint32_t step;
  const work_step_t *spec;  /* of STEP */
  uint32_t first_task;      /* tasks of its occurrence in the steps before */
  cell_task_t *tasks;       /* spec->count */
  uint32_t waiting;         /* tasks in RUN_WAITING without a worker */
  uint32_t done;            /* tasks in RUN_DONE */
  uint32_t gang_failures;   /* runs of which a member has failed */
  uint32_t gang_failed_run; /* the last one counted, saved with the count */
  char *gang_checkpoint;
  int64_t ready_ms;      /* when the steps before it were done; 0: not yet */
  int64_t last_start_ms; /* when a start of its tasks was last confirmed */
  int64_t finished_ms;   /* 0: not yet */
  int64_t longest_ms;    /* duration of its longest done task, with the failed
                            runs of that task; 0: none known */
  rank_t rank;           /* in the current pass */
  int64_t objective_ms;  /* of its job, in the current pass */
  bool finished;
  bool finish_stored;       /* the segment of its first task says that it has
                               finished, or will with the save in flight */
  uint32_t calls_in_flight; /* calls for advice in flight */
  uint32_t last_call;       /* number of the last call */
  int64_t next_ask_ms;
  uint32_t ask_failures;   /* calls without an answer since the last one */
  uint32_t invalid_starts; /* starts refused as invalid since the last one that
                              was accepted */
  int64_t next_start_ms;   /* none of its tasks is placed before */
  int64_t tickets_until_ms; /* when the last ticket expires */
  int64_t next_explain_ms;  /* when to log again why it waits */
  /* Of a gang, see cell_reserve.c.  */
  int64_t hold_since_ms; /* since when room is kept for it; 0: none is */
  int64_t hold_until_ms; /* latest end of that hold */
  int64_t hold_ended_ms; /* end of the last one; 0: there was none */
  int64_t next_hold_ms;  /* no room is kept for it before */
  int64_t next_hold_log_ms;
  int64_t wait_ms[WAIT_REASONS]; /* what it has waited for so far ... */
  int64_t wait_seen_ms;          /* ... until then; 0: it does not wait */
  bool hold_logged;
  bool misfit; /* it would not fit if all that ends had ended, as was found ...
                */
  uint64_t misfit_epoch; /* ... at that FIT_EPOCH of the cell */
  int64_t next_fit_ms;   /* and is not found out again before */
  int64_t kept_out_ms;   /* since when only kept room keeps a task of the group
                            from starting; 0: nothing does */
  GPtrArray *advice; /* advice_t, owned, by the number of their worker; empty
                        unless the group is in ready_groups */
};

typedef enum
{
  JOB_STATE_QUEUED,
  JOB_STATE_RUNNING,
  JOB_STATE_COMPLETED,
  JOB_STATE_FAILED,
  JOB_STATE_CANCELLED,
  JOB_STATE_NONE
} cell_job_state_t;

/* A row of a record that is split, see cell_segment.c.  */
typedef struct
{
  uint64_t number;
  bool dirty;  /* differs from the row, and is in DIRTY_SEGMENTS of its job */
  bool stored; /* the row may be in the store */
} cell_segment_t;

struct cell_job
{
  cell_t *cell;
  work_job_t
      *work; /* NULL: added by cell_add_ended_job, so the job has ended */
  char id[WORK_ID_LENGTH + 1];
  queue_t *queue;              /* owned copy; NULL: not configured */
  rank_durations_t *durations; /* of its queue; belongs to the cell */
  GPtrArray *groups;           /* cell_group_t, owned */
  uint32_t tasks_per_occurrence;
  uint32_t next_occurrence; /* first one without groups */
  uint32_t finished_below; /* occurrences below this are finished, their groups
                              freed */
  int64_t added_ms;        /* when accepted, converted from wall time */
  int64_t ended_ms;
  int64_t first_start_ms; /* 0: none was confirmed yet */
  uint32_t runs;          /* starts ordered by this owner */
  uint32_t failed_runs;
  uint32_t lost_runs; /* runs that ended because the lease expired or the
                         worker was gone */
  cell_job_state_t state;
  cell_job_state_t saved_state;
  bool started;         /* a task has started */
  queue_sizes_t *sizes; /* of its queue; belongs to the cell */
  size_class_t size;    /* among the jobs of its queue */
  bool judged;          /* counted as in time or missed */
  bool dirty;           /* the record differs from what was saved */
  bool head_dirty;      /* its row under the id does */
  bool closed;          /* it has ended, and no run of it is left */
  GHashTable *segments; /* number -> cell_segment_t, owned; NULL: its record
                           is one row */
  bool head_split;      /* the stored row under the id says that the record is
                           split, so it has no lines of tasks */
  GPtrArray *dirty_segments; /* cell_segment_t to be saved */
  bool start_awaits_save;    /* a start waits for the next save */
  bool starts_in_save;  /* the save in flight holds all that had changed of it,
                           with starts */
  uint32_t refusals;    /* of saves of this job alone, since its last start was
                           saved */
  int64_t next_save_ms; /* while held: when it is saved again */
  bool held;      /* the last save of it alone was refused: starts nothing */
  bool reduced;   /* its record holds nothing but its state */
  bool abandoned; /* is saved no more */
};

/* A row in the save in flight.  */
typedef struct
{
  cell_job_t *job;
  cell_segment_t *segment; /* NULL: the row under the id of JOB */
  bool whole;              /* that row holds all of the record */
  bool removed;
  cell_job_state_t state; /* of JOB when the save began */
} saved_row_t;

/* An end that was processed and is not acknowledged to be saved.  */
typedef struct
{
  uint64_t number;
  char job[WORK_ID_LENGTH + 1];
} unsaved_end_t;

struct cell_worker
{
  char *id;
  uint64_t number; /* rises in the order of worker_list */
  char *address;
  char *machine;
  char *rack;
  GHashTable *labels; /* set of char * */
  resource_t capacity;
  resource_t used;
  GPtrArray *tasks;    /* cell_task_t that hold capacity here */
  uint32_t stray_runs; /* runs in the last report that belong to no task */
  bool listed;         /* in the platform's list */
  bool draining;
  int64_t may_leave_ms; /* while draining: earliest time at which it may leave;
                           0: unknown */
  int64_t start_ms;     /* wall time of its start, 0: unknown; tells lives
                           apart, but a later life may have a lower one */
  int64_t start_known_ms;   /* when START_MS was learned */
  int64_t highest_start_ms; /* of all lives known so far */
  int64_t listed_start_ms; /* of the start to which CAPACITY and LABELS belong;
                              0: unknown */
  uint32_t raises;         /* of the token of orders to it, see cell.h */
  bool has_fencing_token;  /* it has answered a poll with the current token, so
                              it refuses the orders of earlier owners and to
                              its earlier lives; also set when it is gone and
                              can carry out none */
  bool responsive;   /* cleared when a call fails, set by the next report */
  int64_t added_ms;  /* when this owner first saw it */
  int64_t silent_ms; /* when RESPONSIVE was last cleared */
  int64_t alive_ms;  /* last sign of life: an answer, or a connection that it
                        held until then; 0: none yet */
  int64_t poll_sent_ms, poll_wait_ms; /* of the last poll */
  bool check_due;                     /* poll it although it runs nothing */
  bool poll_in_flight;
  uint32_t failed_polls;
  int64_t next_poll_ms;
  /* Numbers of ends; all ends up to that number ...  */
  uint64_t processed_end;      /* were processed */
  uint64_t saved_end;          /* are covered by a completed save */
  uint64_t end_in_save;        /* are covered by the last save begun */
  GArray *unsaved_ends;        /* unsaved_end_t, of those beyond SAVED_END */
  uint64_t acknowledged_end;   /* were acknowledged by an answered poll */
  uint64_t acknowledging_end;  /* are acknowledged by the last poll sent */
  int64_t polls_held_since_ms; /* when an end was last processed, or a poll
                                  was last sent while ends were not saved; a
                                  poll before they are saved is sent at the
                                  earliest UNSAVED_POLL_PERIOD_MS later */
  int64_t sampled_ms;          /* when SAMPLED_CLOCK_MS arrived; 0: unknown */
  int64_t sampled_clock_ms;    /* worker's clock in its last report */
  int64_t lease_end_ms;        /* no lease that it was given ends later */
  int64_t reached_ms; /* when HAS_FENCING_TOKEN was last set by an answer; 0:
                         never */
  bool unreached_before; /* the owner before this one has not reached it */
  int64_t late_renewal_until_ms; /* until then, a delayed order sent before its
                                    restart may still extend its lease */
  int64_t awaited_until_ms; /* end of its leases that was logged last, while
                               its runs wait for it */
  uint32_t fail_streak;     /* failed runs since a run was last done; repeated
                               failures of one job count once */
  char last_failed_job[WORK_ID_LENGTH + 1]; /* id */
  int64_t avoid_until_ms;
  const cell_job_t *held_for; /* other jobs start nothing here until
                                 HELD_UNTIL_MS; only compared */
  int64_t held_until_ms;
  /* In the current pass, see cell_isolation.c.  */
  const cell_job_t *isolated_for; /* other jobs start nothing here; NULL: all
                                     may */
  const cell_job_t *recent_job;   /* a job with a recent start; NULL: none */
  bool several_recent_jobs;       /* there are others */
  resource_t reserved;            /* for gangs, in the current pass */
  resource_t lasting_use;         /* of tasks that do not end by themselves */
  uint32_t planned_tasks;         /* of the gang that is being placed */
  GArray *ends;          /* cell_end_t of its tasks, in their order, as
                            of ... */
  uint64_t ends_pass;    /* ... this pass; 0: not known */
  uint64_t kept_pass;    /* the last pass that kept room here */
  int64_t kept_since_ms; /* without an interruption; 0: not kept */
  int64_t kept_limit_ms; /* latest end of that time */
  int64_t kept_until_ms; /* the first gang for which it is kept is expected to
                            start */
  int64_t open_until_ms; /* no room is kept here before */
  bool kept_room_open;   /* to the group that is being placed */
  resource_t free_soon;  /* free now or within SOON_MS, in the current pass */
  resource_t expected_use; /* part of FREE_SOON that the steps that asked for
                              advice so far are expected to take */
  /* In the search for workers to name in a call, see cell_advice.c.  */
  const advice_t *advice; /* of the searching group ... */
  uint64_t advice_search; /* ... if the search has this number */
};

/* When a run is expected to end, and the room that it leaves.  */
typedef struct
{
  int64_t at_ms; /* INT64_MAX: not by itself */
  resource_t room;
} cell_end_t;

/* Workers named in the answered calls for advice of a queue, and how many of
   them were allowed.  */
typedef struct
{
  double named;
  double allowed;
} advice_counts_t;

struct cell
{
  cell_options_t options;
  const clk_t *clock;
  const cell_actions_t *actions;
  void *context;
  int64_t now_ms, wall_ms;
  GHashTable *jobs;        /* id -> cell_job_t, owned */
  GHashTable *workers;     /* id -> cell_worker_t, owned */
  GHashTable *raises;      /* id of a worker that was removed -> its raises */
  GPtrArray *worker_list;  /* borrowed, in the order of appearance */
  GHashTable *queues;      /* name -> queue_t as configured now, owned */
  GPtrArray *ready_groups; /* cell_group_t that can run, not finished */
  GPtrArray *recurring_jobs; /* cell_job_t that may have occurrences to come */
  GPtrArray *dirty_jobs;     /* cell_job_t to be saved, but for the next two */
  GQueue *suspects;      /* GPtrArray of cell_job_t: jobs to be saved together,
                            since a save that held them was refused; owned */
  GPtrArray *held_jobs;  /* cell_job_t that wait for their next save */
  bool suspects_next;    /* the next save may be one of SUSPECTS */
  GPtrArray *ended_jobs; /* cell_job_t, in the order of their ends */
  GPtrArray *jobs_in_save; /* cell_job_t in the save in flight */
  GArray *rows_in_save;    /* saved_row_t of these */
  bool begun, save_in_flight, fenced;
  bool new_ends;      /* ends were processed since the last save was begun */
  bool place_pending; /* a placement pass is due */
  int64_t next_place_ms;
  GHashTable *room_lists;    /* room_list_t of the current pass, owned */
  int64_t next_too_late_ms;  /* when steps that are too late are placed next */
  int64_t explain_second_ms; /* start of the second ... */
  uint32_t explained;        /* ... in which so many steps were explained */
  uint64_t last_worker_number;
  uint64_t last_advice_search;
  cell_pass_stats_t pass_stats;
  GHashTable *queues_without_free_node; /* names of queues for which no node
                                           was free to call for advice in the
                                           current pass */
  GHashTable *advice_counts; /* name of a queue -> advice_counts_t, owned */
  GHashTable *durations;     /* name of a queue -> rank_durations_t, owned */
  GHashTable *sizes;         /* name of a queue -> queue_sizes_t, owned */
  int64_t next_sizes_ms;     /* when sizes that starve are logged next */
  GArray *losses;            /* blame_loss_t of workers that crashed lately */
  resource_t room;   /* capacity of all listed workers, in the last pass */
  resource_t in_use; /* of ROOM */
  resource_t kept;   /* for gangs, in the current pass */
  GPtrArray *kept_workers; /* cell_worker_t with kept room in this pass */
  uint32_t misfits;        /* found in this pass */
  uint64_t fit_epoch; /* changes with what gangs may ever fit on: workers, and
                         the room of tasks that last */
  int64_t begun_ms;
  int64_t inherited_end_ms; /* the leases of earlier owners have ended by then;
                               those of workers that the last of them had not
                               reached by UNREACHED_END_MS */
  int64_t unreached_end_ms;
  int64_t last_lease_end_ms; /* of the leases that this owner has given */
  bool leases_stopped;       /* it gives no more */
  int64_t next_save_ms;
  int64_t save_begun_ms; /* when the save in flight was begun */
  int64_t ownership_confirmed_ms;
  int64_t list_confirmed_ms; /* see cell_workers_confirmed */
  bool list_stale;           /* it was reported */
  uint32_t busy_workers;     /* that ran something in the last scan */
  int64_t answer_lost_ms;    /* when a worker was last found to have answered a
                                poll whose answer was lost; 0: never */
  int64_t next_scan_ms;      /* of workers, orders and ended jobs */
  cell_load_t load;          /* since the last cell_take_load */
};

/* cell.c */
void cell_log (cell_t *cell, const char *event, const char *subject,
               const char *format, ...) G_GNUC_PRINTF (4, 5);
/* The same about the step GROUP.  */
void cell_log_group (const cell_group_t *group, const char *event,
                     const char *format, ...) G_GNUC_PRINTF (3, 4);
/* Marks the record of JOB as to be saved: its state and all that is not about
   one task, ...  */
void cell_mark_dirty (cell_job_t *job);
/* ... and what it says of TASK.  */
void cell_mark_task_dirty (const cell_task_t *task);
/* Gives JOB its queue as it is configured now; if it is not, as it was when
   JOB was accepted; if that is not known, as the job knew it last.  */
void cell_choose_queue (cell_job_t *job);
/* Returns the task of this name, NULL if there is none.  */
cell_task_t *cell_find_task (cell_t *cell, const char *name);
void cell_task_name (const cell_task_t *task, char out[WORK_NAME_BYTES]);
/* Sets the state of TASK and updates the counts of its group.  */
void cell_set_task_state (cell_task_t *task, run_state_t state);
/* Releases the capacity that TASK holds on its worker.  */
void cell_release_task (cell_task_t *task);

/* cell_jobs.c */
void cell_job_free (cell_job_t *job);
/* Marks GROUP as finished, and advances its job, if all tasks are done.  */
void cell_finish_group_if_done (cell_group_t *group);
/* Completes JOB if all its groups are finished; else makes the groups ready
   whose preceding steps are finished.  */
void cell_job_advance (cell_job_t *job);
/* Ends JOB with STATE and stops its tasks; does nothing if it has ended.  */
void cell_job_end (cell_job_t *job, cell_job_state_t state);
/* The same for a job that an earlier owner recorded as ended.  */
void cell_job_load_ended (cell_job_t *job, cell_job_state_t state);
/* Adds the groups of the occurrences that are due by the wall clock.  */
void cell_add_due_occurrences (cell_t *cell);
/* Deletes the jobs whose retention has expired.  */
void cell_delete_expired_jobs (cell_t *cell);
/* Returns NULL if the groups of OCCURRENCE are not added yet or freed.  */
cell_group_t *cell_job_group (const cell_job_t *job, uint32_t occurrence,
                              uint32_t step);
void cell_job_add_groups (cell_job_t *job, uint32_t occurrence);

/* cell_record.c */
/* Returns the text of the row under the id of JOB (g_free).  */
char *cell_encode_record (const cell_job_t *job);
/* The same for SEGMENT; "" if it needs no row.  */
char *cell_encode_segment (const cell_job_t *job,
                           const cell_segment_t *segment);
/* cell_segment.c */
/* Splits the record of JOB from now on.  */
void cell_begin_segments (cell_job_t *job);
/* Adds the segment if JOB does not have it.  */
cell_segment_t *cell_get_segment (cell_job_t *job, uint64_t number);
/* Marks segments as to be saved.  */
void cell_mark_segment (cell_job_t *job, cell_segment_t *segment);
void cell_mark_all_segments (cell_job_t *job);
/* The same for those of GROUP, or of TASK, if the record of its job is split.
 */
void cell_mark_group_segments (cell_group_t *group);
void cell_mark_task_segment (const cell_task_t *task);
/* Calls EACH with each group of which SEGMENT holds tasks: those with indexes
   from FROM to below TO.  */
void cell_each_in_segment (const cell_job_t *job,
                           const cell_segment_t *segment,
                           void (*each) (void *context, cell_group_t *group,
                                         uint32_t from, uint32_t to),
                           void *context);
/* Whether SEGMENT holds the first task of GROUP.  */
bool cell_segment_begins (const cell_segment_t *segment,
                          const cell_group_t *group);
/* Returns the key of the row of SEGMENT (g_free).  */
char *cell_segment_key (const cell_job_t *job, const cell_segment_t *segment);
/* Returns whether KEY is one, and sets *NUMBER.  */
bool cell_parse_segment_key (const char *key, uint64_t *number);

/* cell_save.c */
/* Whether a placement pass may begin: just before a save, which then holds its
   assignments, or while a slow save is in flight, so that steps get their
   advice and their workers meanwhile.  */
bool cell_pass_may_begin (const cell_t *cell);
/* Begins a save if there are changes; does nothing while one is in flight.  */
void cell_save_if_due (cell_t *cell);

/* cell_runs.c: from the assignment of a run to its end */
/* Begins the next run of TASK on WORKER; the start is sent once this is saved.
 */
void cell_assign_task (cell_task_t *task, cell_worker_t *worker);
/* Sends the start of a saved assignment, or undoes the assignment if WORKER
   has restarted or the ticket has expired.  */
void cell_order_start (cell_task_t *task);
/* Stops the run of TASK, if there is one that is not stopping yet.  */
void cell_stop_task (cell_task_t *task);
/* Sends the stop also if the run is stopping already or the task is done.  */
void cell_resend_stop (cell_task_t *task);
/* The run of TASK has ended; CHECKPOINT: its last one, may be NULL.  */
void cell_run_ended (cell_task_t *task, end_kind_t how,
                     const char *checkpoint);
/* Ends JOB as failed if a task of it may not start again: an earlier owner was
   lost before it had saved that.  */
void cell_fail_if_exhausted (cell_job_t *job);
/* Stops all members that are not done, so that they start again together.  */
void cell_stop_gang (cell_group_t *group);
/* Sends unanswered starts and stops again.  */
void cell_retry_orders (cell_t *cell);

/* cell_crash.c */
/* WORKER has crashed, which EVIDENCE (a word) shows: logs it and gives each of
   its runs a verdict, which counts once the run is known to be over.  */
void cell_worker_crashed (cell_t *cell, const cell_worker_t *worker,
                          const char *evidence);
/* The same for a worker that was silent until its lease expired, and has
   perhaps not crashed.  */
void cell_worker_stayed_silent (cell_t *cell, const cell_worker_t *worker);
/* A worker lists the end of the run RUN of the task NAME, so it has not
   crashed: withdraws what cell_worker_stayed_silent has counted.  */
void cell_run_outlived_lease (cell_t *cell, const char *name, uint32_t run);
/* Counts the run of TASK, which was lost with its worker; ends the job if the
   task is to be given up.  */
void cell_count_lost_run (cell_task_t *task);
/* Has the idle workers in the rack of WORKER polled, which has fallen silent:
   whether they are lost too tells a crash from a loss of the rack.  */
void cell_check_rack (cell_t *cell, const cell_worker_t *worker);
/* Age of the run of TASK at AT_MS, -1 if it is not known to have started.  */
int64_t cell_run_age_ms (const cell_task_t *task, int64_t at_ms);

/* cell_isolation.c */
/* Whether TASK has to run apart from starts of other jobs.  */
bool cell_task_suspected (const cell_task_t *task);
/* Finds out, for a pass, which jobs may start runs on WORKER.  */
void cell_find_isolation (const cell_t *cell, cell_worker_t *worker);
/* The same after TASK was assigned to its worker.  */
void cell_note_isolation (cell_task_t *task);
/* Whether JOB may start runs on WORKER.  */
bool cell_worker_open_to (const cell_worker_t *worker, const cell_job_t *job);
/* Whether also a suspected task of JOB may: no other job has a recent start
   there.  */
bool cell_worker_settled_for (const cell_worker_t *worker,
                              const cell_job_t *job);
/* Keeps some of WORKERS free of new starts, so that the waiting suspected
   tasks of GROUP find a settled one.  */
void cell_hold_workers (cell_t *cell, const cell_group_t *group,
                        const GPtrArray *workers);

/* cell_workers.c */
cell_worker_t *cell_find_worker (const cell_t *cell, const char *id);
/* Notes that a call to WORKER has failed.  */
void cell_worker_is_silent (cell_t *cell, cell_worker_t *worker);
/* Detects a restart of WORKER, with which its clock begins anew.  CLOCK_MS:
   its clock in the answer to an order sent at SENT_MS.  */
void cell_check_worker_clock (cell_t *cell, cell_worker_t *worker,
                              int64_t sent_ms, int64_t clock_ms);
void cell_poll_if_due (cell_t *cell, cell_worker_t *worker);
/* Ends the runs of workers whose lease has expired, stops tasks of workers
   that leave, removes unlisted workers, and polls.  */
void cell_check_workers (cell_t *cell);
void cell_worker_free (cell_worker_t *worker);
/* Whether a start may be sent to WORKER: it answers, obeys this owner, stays,
   and its capacity is known and not exceeded by the runs it has been given.
   */
bool cell_worker_takes_starts (const cell_worker_t *worker);
cell_worker_ref_t cell_worker_ref (const cell_worker_t *worker);
/* Whether the list of workers is recent enough to start tasks by it.  */
bool cell_list_is_current (const cell_t *cell);

/* cell_lease.c */
/* Gives WORKER a lease, and returns its end in the worker's clock; 0: none may
   be given now.  */
int64_t cell_give_lease (cell_t *cell, cell_worker_t *worker);
bool cell_may_give_lease (const cell_t *cell, const cell_worker_t *worker);
/* WORKER has answered, and refuses the orders of earlier owners from now on.
 */
void cell_worker_reached (cell_t *cell, cell_worker_t *worker);
/* WORKER has restarted: late orders may give the new life leases.  */
void cell_expect_late_orders (cell_t *cell, cell_worker_t *worker);
/* Whether no lease of WORKER, which is silent, lasts any more.  Logs what its
   runs wait for.  */
bool cell_leases_have_ended (cell_t *cell, cell_worker_t *worker);
/* Whether the next renewal of WORKER has to follow soon after the next
   confirmation of the ownership.  */
bool cell_renewal_is_urgent (const cell_t *cell, const cell_worker_t *worker);

/* cell_rank.c: the objective and rank of jobs, see rank.h */
/* Time from its acceptance in which a job should end, 0: no limit.  The runs
   of OCCURRENCE that have ended count as they were.  */
int64_t cell_objective_ms (const cell_job_t *job, uint32_t occurrence);
/* How the durations of tasks of QUEUE differ; belongs to CELL.  */
rank_durations_t *cell_durations_of (cell_t *cell, const char *queue);
/* Sets the rank of a waiting group.  */
void cell_rank_group (cell_group_t *group);
/* Learns from a run of TASK that is done or failed now.  */
void cell_note_run_duration (cell_task_t *task, bool failed);
/* Learns from a group whose tasks are all done.  */
void cell_note_group_finished (cell_group_t *group);

/* cell_sizes.c: outcomes by queue and size, and what gangs wait for */
GHashTable *cell_sizes_new (void);
/* The outcomes of QUEUE; belongs to CELL.  */
queue_sizes_t *cell_sizes_of (cell_t *cell, const char *queue);
/* Finds out, for a pass, which queues and sizes fare worse.  */
void cell_compare_sizes (cell_t *cell);
/* Whether the jobs of the queue of JOB miss more objectives than the cell.  */
bool cell_queue_fares_worse (const cell_job_t *job);
/* Whether the jobs of the size of JOB miss more objectives than its queue.  */
bool cell_size_fares_worse (const cell_job_t *job);
/* Finds out the size of JOB, which has arrived.  */
void cell_size_job (cell_job_t *job);
/* Counts the OUTCOME of JOB, once.  */
void cell_judge_job (cell_job_t *job, size_outcome_t outcome);
/* The job of the waiting GROUP is not expected to end in time any more: counts
   and logs it.  */
void cell_note_missed (cell_group_t *group);
/* GROUP has waited for REASON since it was last noted.  */
void cell_note_wait (cell_group_t *group, wait_reason_t reason);
const char *cell_wait_name (wait_reason_t reason);
/* Returns "REASON:MS,..." (g_free).  */
char *cell_wait_times (const cell_group_t *group);
/* Logs the sizes that starve, now and then.  */
void cell_check_sizes (cell_t *cell);

/* cell_place.c */
/* Runs a placement pass over all waiting groups, most urgent first.  */
void cell_place (cell_t *cell);
/* What a task of STEP holds: a filler holds no processor time.  */
resource_t cell_task_need (const work_step_t *step);
/* How many more tasks of GROUP its step allows on WORKER.  */
uint32_t cell_spread_left (const cell_group_t *group,
                           const cell_worker_t *worker);

/* How long the run of TASK, which is live, is expected to take in all.  */
int64_t cell_run_length_ms (const cell_task_t *task);

/* cell_reserve.c: room that is kept for gangs */
/* Begins and ends the keeping of a pass.  */
void cell_begin_holds (cell_t *cell);
void cell_end_holds (cell_t *cell);
/* Whether GROUP, a gang, would fit if all that ends had ended.  */
bool cell_gang_fits_at_last (cell_t *cell, cell_group_t *group);
/* Keeps room for GROUP on WORKERS against the groups after it in the pass.
   Returns whether it did.  */
bool cell_keep_room (cell_t *cell, cell_group_t *group,
                     const GPtrArray *workers);
/* Whether less than half of the room of the kind that GROUP needs is in use.
 */
bool cell_under_half_in_use (const cell_t *cell, const cell_group_t *group);
/* Ends the hold of GROUP, if it has one, for the reason WHY (a word).  */
void cell_end_hold (cell_group_t *group, const char *why);
/* Opens the kept room that GROUP may use, until cell_close_kept_room.  */
void cell_open_kept_room (cell_t *cell, cell_group_t *group);
void cell_close_kept_room (cell_t *cell);

/* cell_room.c: room that is left in the current pass */
GHashTable *cell_room_lists_new (void);
/* The room on WORKER that no task holds and that is not reserved.  */
resource_t cell_room_now (const cell_worker_t *worker);
/* The same within SOON_MS, less what the steps that asked for advice so far
   are expected to take.  */
resource_t cell_room_soon (const cell_worker_t *worker);
/* Workers with LABEL, or all if that is NULL; valid during the pass.  */
const GPtrArray *cell_workers_with_label (cell_t *cell, const char *label);
/* Appends to FOUND the workers that have the label and the room for a task of
   GROUP, now or SOON.  */
void cell_find_room (cell_t *cell, const cell_group_t *group, bool soon,
                     GPtrArray *found);

/* cell_advice.c */
/* Calls for advice if GROUP needs it.  RESERVING: GROUP is a gang for which
   capacity is reserved.  */
void cell_ask_advice (cell_t *cell, cell_group_t *group, bool reserving);
void cell_advice_free (void *advice);
/* Drops what was advised about WORKER for GROUP, or for all groups.  */
void cell_forget_advice (cell_group_t *group, const cell_worker_t *worker);
void cell_forget_worker (cell_t *cell, const cell_worker_t *worker);
/* Whether ADVICE allowed its worker; the ticket may have expired.  */
bool cell_advice_allows (const advice_t *advice);
/* Returns the ticket of GROUP for WORKER, NULL if there is no valid one.  */
const char *cell_ticket (const cell_group_t *group,
                         const cell_worker_t *worker);
/* Notes that a start carries the ticket of GROUP for WORKER.  */
void cell_note_ticket_used (const cell_group_t *group,
                            const cell_worker_t *worker);
/* The same for the worker of ADVICE.  */
const char *cell_advice_ticket (const cell_group_t *group,
                                const advice_t *advice);
/* Whether the last advice denied GROUP on WORKER.  */
bool cell_worker_denied (const cell_group_t *group,
                         const cell_worker_t *worker);
/* Whether GROUP may hold a valid ticket for some worker.  */
bool cell_has_tickets (const cell_group_t *group);

/* cell_pace.c */
/* Sets the speed of the fillers on WORKER by the tail latency of the serving
   tasks beside them.  */
void cell_adjust_pace (cell_t *cell, cell_worker_t *worker);

#endif
