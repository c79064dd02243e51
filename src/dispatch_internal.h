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

/* Shared by dispatch.c (life cycle of requests), dispatch_place.c (choice of a
   process or entry for a request), dispatch_slots.c (slot transfers between
   entries, shares row and drain) and dispatch_status.c (teams, metrics and
   status).  */

/* Timer wheel of the requests.  */
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
  uint32_t ledger_number; /* SHARE_NONE: not in the ledger */
  uint32_t service_index; /* in service->processes */
  bool leaving;
  bool removed;                  /* gone from the instance list */
  uint32_t request_limit;        /* from the instance list */
  uint32_t own_connection_limit; /* this entry's part of the limit */
  int32_t slots;                 /* copy of share_slots */
  uint32_t in_flight;  /* includes abandoned attempts until their release */
  uint32_t free_slots; /* as counted in service->free_slots */
  uint32_t free_index; /* in service->free_processes, else SHARE_NONE */
  outlier_t outlier;
} process_t;

/* Load that one peer advertises for one service, and the slots promised to
   it.  */
typedef struct
{
  uint32_t free_slots;
  uint32_t queued;
  uint32_t promised_slots; /* given to it as they become free */
} peer_load_t;

/* Slot that an abandoned attempt occupies until RELEASE_MS.  */
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
  process_t **free_processes; /* those with free slots */
  uint32_t free_process_count;
  uint32_t free_process_capacity;
  uint32_t free_slots; /* sum over the processes */
  uint32_t own_slots;  /* sum over the processes, used or not */
  uint32_t in_flight;
  uint32_t ejected_count;
  GArray *peer_loads;      /* peer_load_t by peer number */
  uint32_t promised_slots; /* sum over the peers */
  int64_t next_want_ms;    /* earliest time of the next SlotWant */
  int64_t next_balance_ms; /* the same while no request is queued */
  uint32_t last_asked_peer;
  uint32_t unmet_wants; /* SlotWants in succession that brought no slot */
  uint32_t next_peer;   /* to be asked if no peer advertises free slots */
  /* Most requests in flight at once in the previous and the current demand
     window (see DEMAND_WINDOW_MS).  */
  uint32_t previous_peak_in_flight;
  uint32_t peak_in_flight;
  /* Slots of this service divided by the live entries of the zone.  Updated
     every second and with each SlotWant of a peer.  */
  uint32_t even_share;
};

typedef struct
{
  char *name;
  char *zone;
  bool up; /* else its number may be reused */
  bool leaving;
  bool own_zone;
  uint32_t member_number; /* in the ledger; set for the own zone only */
} peer_t;

typedef struct
{
  char *name;
  bool urgent_limited; /* URGENT_LIMIT holds */
  ratelimit_t urgent_limit;
  uint32_t weight;
} team_t;

typedef enum
{
  PHASE_QUEUED,
  PHASE_BACKOFF,
  PHASE_IN_FLIGHT,
  PHASE_AT_PEER /* handed over to request_t.peer */
} phase_t;

struct request
{
  admit_item_t item; /* first, as its address is cast to request_t */
  uint64_t id;
  request_t *next; /* in its bucket of the request table or the free list */
  request_t *wheel_next;
  /* The pointer to this request in its bucket, NULL if no timer is set.  */
  request_t **wheel_link;
  service_t *service;
  process_t *process;       /* of the attempt in flight */
  process_t *last_process;  /* compared only: may have been freed */
  uint32_t peer;            /* number of the one it was handed over to */
  uint32_t attempt;         /* number of the last attempt, from 1 */
  uint32_t broken_attempts; /* see retry_is_broken */
  int64_t deadline_ms;
  int64_t timer_due_ms;
  int64_t submitted_us;
  int64_t sent_us;
  int64_t first_byte_us;
  outcome_key_t outcome_key;
  outcome_table_t *outcome_table; /* that holds OUTCOME_KEY, NULL: none */
  uint8_t phase;                  /* phase_t */
  uint8_t combined_outcome;       /* outcome_t of all attempts */
  bool idempotent;
  bool replayable;
  bool handed_over;  /* by another entry */
  bool no_hand_over; /* another zone has refused it */
  bool answer_started;
  bool cancelled;
  bool abandoned; /* the current attempt */
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
  int64_t now_us; /* read once per call from outside */
  int64_t now_ms;
  GHashTable *services; /* name -> service_t */
  GPtrArray *service_list;
  GHashTable *processes;          /* id -> process_t */
  GPtrArray *processes_by_number; /* process_t or NULL by ledger number */
  GPtrArray *removed_processes;   /* process_t with requests in flight */
  GPtrArray *peers;               /* peer_t by number */
  GHashTable *team_numbers;       /* name -> uint32_t */
  GArray *teams;           /* team_t; the first stands for unknown teams */
  GArray *abandoned_slots; /* abandoned_slot_t */
  share_t *share;
  outcome_table_t *caller_outcomes;      /* by the callers' request ids */
  outcome_table_t *handed_over_outcomes; /* by (incarnation, id) */
  request_t **request_table;             /* hash table by id, chained */
  uint32_t request_table_size;
  uint32_t request_count;
  request_t *free_requests;
  GPtrArray *request_chunks; /* arrays that the requests live in */
  request_t *timer_wheel[WHEEL_BUCKETS];
  int64_t wheel_last_bucket; /* last one processed */
  /* When the periodic work is due next.  */
  int64_t next_review_ms;
  int64_t next_probe_ms;
  int64_t next_demand_window_ms;
  int64_t next_resend_ms;
  int64_t next_closing_request_ms;
  int64_t next_row_read_ms;
  bool draining;
  /* When a draining entry had no request left and its peers had confirmed all
     slots given to them, 0 before that.  */
  int64_t quiesced_ms;
};

/* dispatch.c */
/* Sets now_us and now_ms.  Called by each function that is called from outside
   and needs them.  */
void dispatch_read_clock (dispatch_t *dispatch);
/* Refuses REQUEST with KIND and frees it.  */
void dispatch_refuse_request (dispatch_t *dispatch, request_t *request,
                              err_kind_t kind, int64_t retry_after_ms);
void dispatch_set_timer (dispatch_t *dispatch, request_t *request,
                         int64_t due_ms);
void dispatch_clear_timer (request_t *request);

/* dispatch_place.c */
/* Returns the service NAME, adding it with default settings.  */
service_t *dispatch_ensure_service (dispatch_t *dispatch, const char *name);
void dispatch_service_free (gpointer service);
void dispatch_process_free (gpointer process);
/* Updates what depends on the slots of PROCESS, its limits and its state: its
   free slots and its place among the free processes of the service.  */
void dispatch_refresh_process (dispatch_t *dispatch, process_t *process);
/* Looks up the ledger number of PROCESS, which a new shares row may change,
   and tells the ledger that the process is listed.  */
void dispatch_resolve_process (dispatch_t *dispatch, process_t *process);
/* Sends queued requests while there are free slots.  */
void dispatch_send_queued (dispatch_t *dispatch, service_t *service);
/* Hands queued requests over to other zones once they have waited for the
   service's spill_after_ms, or at once if it has no process here.  To be
   called after dispatch_send_queued, so that what is still queued found no
   slot.  */
void dispatch_spill (dispatch_t *dispatch, service_t *service);
/* Records the result of an attempt at PROCESS, which may eject it.  */
void dispatch_record_result (dispatch_t *dispatch, process_t *process,
                             outlier_result_t result, double latency_ms);
void dispatch_review_outliers (dispatch_t *dispatch, service_t *service);
void dispatch_start_probes (dispatch_t *dispatch, service_t *service);
/* Returns whether another zone advertises free slots for SERVICE.  */
bool dispatch_has_remote_slots (const dispatch_t *dispatch,
                                const service_t *service);

/* dispatch_slots.c */
/* Returns the load of peer number PEER for SERVICE, adding it.  Valid until
   the next call.  */
peer_load_t *dispatch_peer_load_of (service_t *service, uint32_t peer);
/* Sends a SlotWant to a peer if requests of SERVICE are still queued after
   dispatch_send_queued, or if this entry has far fewer than its even share of
   the slots.  */
void dispatch_ask_for_slots (dispatch_t *dispatch, service_t *service);
/* Gives the idle slots of PROCESS to the peers that slots of its service are
   promised to.  */
void dispatch_give_promised (dispatch_t *dispatch, process_t *process);
/* Starts the next demand window of SERVICE.  */
void dispatch_start_demand_window (service_t *service);
/* Returns whether this entry has less than half of its even share of the slots
   of SERVICE, or none.  It then asks for slots without waiting for the
   tick.  */
bool dispatch_is_short_of_slots (const service_t *service);
void dispatch_update_even_share (const dispatch_t *dispatch,
                                 service_t *service);
/* Periodic work of the slot ledger: gives slots away, sends ledgers and
   requests closing statements.  */
void dispatch_slots_tick (dispatch_t *dispatch);

/* dispatch_status.c */
/* Returns the number of team NAME, adding it.  Unless IGNORE_LIMIT is set, a
   new name beyond the limit for callers' team names gets number 0.  */
uint32_t dispatch_team_number (dispatch_t *dispatch, const char *name,
                               bool ignore_limit);
void dispatch_teams_free (dispatch_t *dispatch);
void dispatch_metrics_init (metrics_t *metrics, counter_registry_t *registry);

#endif
