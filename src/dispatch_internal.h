#ifndef MAGNOLIADOCK_DISPATCH_INTERNAL_H
#define MAGNOLIADOCK_DISPATCH_INTERNAL_H

#include "admit.h"
#include "dispatch.h"
#include "outcome.h"
#include "outlier.h"
#include "ratelimit.h"
#include "retry.h"
#include "share.h"

#include <glib.h>

/* Shared by dispatch.c (requests), dispatch_place.c (choice of a process or
   entry), dispatch_lend.c (shares and drain) and dispatch_status.c (settings
   and status).  */

#define WHEEL_BUCKET_MS 10
#define WHEEL_BUCKETS 8192 /* 82 s, more than the longest deadline */

typedef struct service service_t;
typedef struct request request_t;

typedef struct
{
  char *id;
  char *url;
  int64_t incarnation;
  service_t *service;
  uint32_t ledger_number; /* in the ledger */
  uint32_t service_index; /* in service->processes */
  bool leaving;
  bool removed;
  uint32_t request_limit;        /* as listed */
  uint32_t own_connection_limit; /* of this entry */
  int32_t slots;                 /* copy of the ledger's */
  uint32_t in_flight;
  uint32_t free_slots;
  uint32_t free_index; /* in service->free, SHARE_NONE if not there */
  outlier_t outlier;
} process_t;

/* What one peer advertises or is owed for one service.  */
typedef struct
{
  uint32_t free_slots;
  uint32_t queued;
  uint32_t promised_slots; /* slots it gets as they become free */
} peer_load_t;

/* Slot of an attempt that this side gave up.  */
typedef struct
{
  process_t *process;
  int64_t release_ms;
} abandoned_slot_t;

struct service
{
  char *name;
  admit_t *admit;
  retry_budget_t retry_budget;
  int64_t spill_after_ms;
  GPtrArray *processes;       /* process_t, not removed */
  process_t **free_processes; /* those that may take a request now */
  uint32_t free_process_count;
  uint32_t free_process_capacity;
  uint32_t free_slots;
  uint32_t own_slots; /* sum over the processes */
  uint32_t in_flight;
  uint32_t ejected_count;
  GArray *peer_loads; /* peer_load_t by peer */
  uint32_t promised_slots;
  int64_t next_want_ms;     /* no SlotWant before */
  int64_t next_balance_ms;  /* no SlotWant without waiting requests before */
  uint32_t last_asked_peer; /* by the last SlotWant */
  uint32_t unmet_wants;     /* SlotWants without any slot */
  uint32_t next_peer;
  /* Most requests in flight in the last and the present demand window.  */
  uint32_t previous_peak_in_flight;
  uint32_t peak_in_flight;
  uint32_t
      even_share; /* of all slots, per live member; updated now and then */
};

typedef struct
{
  char *name;
  char *zone;
  bool up;
  bool leaving;
  bool own_zone;
  uint32_t member_number; /* in the ledger, own zone only */
} peer_t;

typedef struct
{
  char *name;
  bool urgent_limited;
  ratelimit_t urgent_limit;
  uint32_t weight;
} team_t;

typedef enum
{
  PHASE_QUEUED,
  PHASE_BACKOFF,
  PHASE_IN_FLIGHT,
  PHASE_HANDED_OVER
} phase_t;

struct request
{
  admit_item_t item; /* first, so that an item is its request */
  uint64_t id;
  request_t *next; /* in the id table or the free list */
  request_t *wheel_next;
  request_t **wheel_link; /* NULL if no timer is set */
  service_t *service;
  process_t *process;
  process_t *last_process; /* compared only, may be gone */
  uint32_t peer;
  uint32_t attempt;
  int64_t deadline_ms;
  int64_t timer_due_ms;
  int64_t submitted_us;
  int64_t sent_us;
  int64_t first_byte_us;
  outcome_key_t outcome_key;
  outcome_table_t *outcome_table; /* that holds KEY, NULL: none */
  uint8_t phase;
  uint8_t combined_outcome; /* outcome_t over all attempts */
  bool idempotent;
  bool replayable;
  bool handed_over;
  bool no_hand_over;
  bool answer_started;
  bool cancelled;
  bool abandoned; /* the present attempt */
};

typedef struct
{
  counter_t *requests[CLASS_COUNT];
  counter_t *refused[ERR_KIND_COUNT];
  counter_t *retries;
  counter_t *hand_overs;
  counter_t *late_attempt_ends;
  counter_t *abandoned_attempts;
  counter_t *ejections;
  counter_t *slots_given;
  counter_t *slots_learned;
  counter_t *slot_wants;
  histogram_t *queue_wait[CLASS_COUNT];
} metrics_t;

struct dispatch
{
  char *self;
  char *zone;
  const dispatch_actions_t *actions;
  void *context;
  const clk_t *clock;
  GRand *random;
  metrics_t metrics;
  int64_t now_us; /* read once for each call from outside */
  int64_t now_ms;
  GHashTable *services; /* name -> service_t */
  GPtrArray *service_list;
  GHashTable *processes; /* id -> process_t */
  GPtrArray
      *processes_by_number; /* process_t by number in the ledger, or NULL */
  GPtrArray
      *removed_processes; /* process_t that still has requests in flight */
  GPtrArray *peers;       /* peer_t */
  GHashTable *team_numbers;
  GArray *teams;           /* team_t; the first stands for unknown ones */
  GArray *abandoned_slots; /* abandoned_slot_t */
  share_t *share;
  outcome_table_t *caller_outcomes;
  outcome_table_t *handed_over_outcomes;
  request_t **request_table; /* id table, chained */
  uint32_t request_table_size;
  uint32_t request_count;
  request_t *free_requests;
  GPtrArray *request_chunks; /* memory of requests */
  request_t *timer_wheel[WHEEL_BUCKETS];
  int64_t wheel_last_bucket; /* last slot run */
  int64_t next_review_ms;
  int64_t next_probe_ms;
  int64_t next_demand_ms;
  int64_t next_resend_ms;
  int64_t next_closing_ms;
  int64_t next_read_ms;
  bool draining;
  int64_t quiesced_ms; /* since when peers know all its slots, or 0 */
};

/* dispatch.c */
void dispatch_read_clock (dispatch_t *dispatch);
/* Answers REQUEST with KIND and frees it.  */
void dispatch_finish (dispatch_t *dispatch, request_t *request,
                      err_kind_t kind, int64_t retry_after_ms);
void dispatch_set_timer (dispatch_t *dispatch, request_t *request,
                         int64_t due_ms);
void dispatch_clear_timer (request_t *request);

/* dispatch_place.c */
service_t *dispatch_ensure_service (dispatch_t *dispatch, const char *name);
void dispatch_service_free (gpointer service);
void dispatch_process_free (gpointer process);
/* Updates the copies of slots and the set of free processes.  */
void dispatch_refresh_process (dispatch_t *dispatch, process_t *process);
/* Finds the number of PROCESS in the ledger, which a new row may change.  */
void dispatch_resolve_process (dispatch_t *dispatch, process_t *process);
/* Sends waiting requests while there are free slots.  */
void dispatch_send_queued (dispatch_t *dispatch, service_t *service);
/* Hands waiting requests over to other zones if they have waited long.  To be
   called after dispatch_send_queued, so that what still waits finds no slot.
 */
void dispatch_spill (dispatch_t *dispatch, service_t *service);
void dispatch_record_result (dispatch_t *dispatch, process_t *process,
                             outlier_result_t result, double latency_ms);
void dispatch_review_outliers (dispatch_t *dispatch, service_t *service);
void dispatch_start_probes (dispatch_t *dispatch, service_t *service);
bool dispatch_has_remote_slots (const dispatch_t *dispatch,
                                const service_t *service);

/* dispatch_lend.c */
peer_load_t *dispatch_peer_load_of (service_t *service, uint32_t peer);
/* Asks a peer for slots if requests of SERVICE wait after
 * dispatch_send_queued.  */
void dispatch_ask_for_slots (dispatch_t *dispatch, service_t *service);
/* Gives a slot that has become free at PROCESS to a peer it is owed to.  */
void dispatch_give_promised (dispatch_t *dispatch, process_t *process);
/* Begins a new demand window of SERVICE.  */
void dispatch_start_demand_window (service_t *service);
/* Returns whether SERVICE has far fewer slots here than an even division would
   give: such an entry does not wait for the tick to ask.  */
bool dispatch_is_short_of_slots (const service_t *service);
void dispatch_update_even_share (const dispatch_t *dispatch,
                                 service_t *service);
void dispatch_lend_tick (dispatch_t *dispatch);

/* dispatch_status.c */
uint32_t dispatch_team_number (dispatch_t *dispatch, const char *name,
                               bool add);
void dispatch_teams_free (dispatch_t *dispatch);
void dispatch_metrics_init (metrics_t *metrics, counter_registry_t *registry);

#endif
