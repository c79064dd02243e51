#ifndef MAGNOLIADOCK_DISPATCH_H
#define MAGNOLIADOCK_DISPATCH_H

#include "clk.h"
#include "counter.h"
#include "error.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     dispatch - decides where each request of a caller runs

   Interface to the part of the core that handles requests: admission queues,
   slot shares, outlier detection, retries and outcomes.  Does no I/O: it
   requests I/O through dispatch_actions_t and is notified of events through
   the functions below.  Strings passed in are copied, strings passed out live
   until the callback returns.  A callback must not call back into the same
   dispatch_t before it returns, except for dispatch_answer_started.

   An entry is a process that accepts requests of callers; a zone has several.
   A slot is the right to have one request in flight at a backend server
   process.  The entries of a zone divide the slots of each process between
   them (their slot shares, see share.h) and transfer idle ones to each other.

   Entries are named "ENTRY@INCARNATION" everywhere in this interface, so that
   a restarted entry counts as another one.  */

typedef struct dispatch dispatch_t;

typedef enum
{
  CLASS_URGENT,
  CLASS_STANDARD,
  CLASS_BULK,
  CLASS_COUNT
} class_t;

typedef struct
{
  uint64_t id; /* chosen by the I/O layer, unique in this process */
  const char *service;
  const char *team;
  class_t class;
  bool idempotent;
  bool replayable;     /* the whole request body is kept for a retry */
  bool handed_over;    /* came from another entry: never handed over again */
  int64_t deadline_ms; /* time of the clock given to dispatch_new */
  /* Id given by the caller, NULL if it gave none.  A repeated id (of the same
     service and team) is detected.  */
  const char *request_id;
  /* Of a handed-over request: incarnation of the sending entry and its id in
     the HandOver message.  */
  uint64_t origin_incarnation;
  uint64_t origin_id;
} dispatch_request_t;

typedef struct
{
  const char *id;
  const char *service;
  const char *zone;
  const char *url;
  bool leaving;
  uint32_t request_limit;    /* concurrent requests */
  uint32_t connection_limit; /* concurrent connections, 0: default of 64 */
  /* From the instance list.  A higher one means that the process was
     restarted: its failure statistics are reset, its slots stay divided as
     they are.  A lower one is ignored.  */
  int64_t incarnation;
} dispatch_backend_t;

/* Slots of one process in a ledger message between entries (SlotEntry).
   PROCESS_KEY is the ledger's key of the process, opaque to the I/O layer.  */
typedef struct
{
  const char *process_key;
  uint64_t given;   /* total ever given by the sender to the receiver */
  uint64_t learned; /* highest GIVEN the sender has got from the receiver */
  bool confirm;     /* the sender asks for a ledger in return */
} dispatch_ledger_item_t;

/* A closing statement (see share.h) reports all slots that its sender has
   exchanged with gone or stopping entries, with which it exchanges none from
   then on.  This is one item of it (ClosingItem): the slots of one process
   transferred between the sender and the gone or stopping entry MEMBER.  */
typedef struct
{
  const char *member;
  const char *process_key;
  uint64_t given;   /* by the sender to MEMBER */
  uint64_t learned; /* by the sender from MEMBER */
} dispatch_closing_item_t;

/* Admission policy and limits of one service.  Fields that are 0 or NULL take
   the default.  */
typedef struct
{
  const char *policy;           /* "fair" (default), "fifo" or "strict" */
  uint32_t weight[CLASS_COUNT]; /* guaranteed shares, default 50, 35, 15 */
  uint32_t queue_limit;         /* queued per class and team, default 2048 */
  int64_t spill_after_ms;       /* queue wait before a hand-over, default 50 */
  uint32_t retry_percent;       /* retries per 100 requests, default 10 */
} dispatch_policy_t;

typedef struct
{
  /* Sends request ID to a backend server, over a new connection if
     NEW_CONNECTION is set.  Answered by dispatch_attempt_ended with the same
     ATTEMPT.  */
  void (*send) (void *context, uint64_t id, uint32_t attempt,
                const char *backend, const char *url, bool new_connection);
  /* Hands request ID over to an entry of another availability zone.  Answered
     by dispatch_attempt_ended as well.  */
  void (*hand_over) (void *context, uint64_t id, uint32_t attempt,
                     const char *entry);
  /* Ends request ID with an error answer made here.  RETRY_AFTER_MS is 0 if
     the answer carries none.  ID is not used again.  */
  void (*refuse) (void *context, uint64_t id, err_kind_t kind,
                  outcome_t outcome, int64_t retry_after_ms,
                  const char *detail);
  /* Opens a new connection to BACKEND.  Answered by dispatch_probe_ended.  */
  void (*probe) (void *context, const char *backend, const char *url);
  /* Sends ENTRY a SlotLedger with the totals of the slots that this entry and
     ENTRY have given each other.  COUNT 0 answers a SlotWant for which no slot
     can be given.  */
  void (*send_ledger) (void *context, const char *entry,
                       const dispatch_ledger_item_t *items, uint32_t count);
  /* Sends ENTRY a SlotWant: asks it for up to COUNT slots of SERVICE.  */
  void (*want_slots) (void *context, const char *entry, const char *service,
                      uint32_t count);
  /* Asks ENTRY for its closing statement about MEMBERS: gone entries, or this
     one when it stops.  Repeated until the statement arrives.  */
  void (*closing_request) (void *context, const char *entry,
                           const char *const *members, uint32_t count);
  /* Sends ENTRY the closing statement about MEMBERS.  */
  void (*closing_statement) (void *context, const char *entry,
                             const char *const *members, uint32_t count,
                             const dispatch_closing_item_t *items,
                             uint32_t item_count);
} dispatch_actions_t;

/* ACTIONS, CLOCK and REGISTRY are owned by the caller and must outlive the
   result.  SELF is "ENTRY@INCARNATION", ZONE its availability zone.  */
dispatch_t *dispatch_new (const char *self, const char *zone,
                          const dispatch_actions_t *actions, void *context,
                          const clk_t *clock, counter_registry_t *registry,
                          uint32_t seed);
void dispatch_free (dispatch_t *dispatch);

/* Accepts a request.  It ends by exactly one of: an attempt that ends with
   ERR_OK, an attempt that ends with another kind after
   dispatch_answer_started (its caller's connection is closed), the refuse
   action, or dispatch_cancel.  The refuse action may run before this returns;
   its outcome covers all earlier attempts.  Its kinds include ERR_IN_FLIGHT
   and ERR_CONFLICT for a repeated request_id, the latter with the recorded
   outcome.  */
void dispatch_submit (dispatch_t *dispatch, const dispatch_request_t *request);

/* The caller has disconnected.  A queued request is dropped; one in flight
   keeps its slot until dispatch_attempt_ended.  */
void dispatch_cancel (dispatch_t *dispatch, uint64_t id);

/* The first byte of the answer to ATTEMPT has been passed to the caller, so
   the request can no longer be retried or refused.  */
void dispatch_answer_started (dispatch_t *dispatch, uint64_t id,
                              uint32_t attempt);

/* Sets whether the whole request body of ID is kept for a retry.  */
void dispatch_set_replayable (dispatch_t *dispatch, uint64_t id,
                              bool replayable);

/* ATTEMPT of request ID has ended and its slot is free.  KIND is ERR_OK for a
   complete answer.  STATUS is the HTTP status, 0 if none.  OUTCOME is that
   of this attempt alone; ERR_CONNECT_FAILED with OUTCOME_NOT_RUN guarantees
   that no byte of the request was sent.  The I/O layer ends attempts that
   outlive the request's deadline with ERR_TIMEOUT.  Late or duplicate calls
   are ignored and counted.  */
void dispatch_attempt_ended (dispatch_t *dispatch, uint64_t id,
                             uint32_t attempt, err_kind_t kind,
                             uint16_t status, outcome_t outcome);

/* To be called before dispatch_attempt_ended if ATTEMPT is given up here after
   its request may have reached the backend server.  The server may work on it
   until the deadline sent with it, so the slot stays in use until 2 s after
   that.  */
void dispatch_attempt_abandoned (dispatch_t *dispatch, uint64_t id,
                                 uint32_t attempt);

void dispatch_probe_ended (dispatch_t *dispatch, const char *backend,
                           err_kind_t kind);

/* Adds or changes a backend server of this entry's zone.  Its service never
   changes.  */
void dispatch_backend_set (dispatch_t *dispatch,
                           const dispatch_backend_t *backend);
/* Removes a backend server that the instance list shows as gone.  For one
   that is only leaving, dispatch_backend_set is called with LEAVING.  */
void dispatch_backend_remove (dispatch_t *dispatch, const char *id);

/* Peers of this entry's zone (which slots are exchanged with) and of other
   zones (which requests are handed over to).  */
void dispatch_peer_up (dispatch_t *dispatch, const char *entry,
                       const char *zone);
void dispatch_peer_down (dispatch_t *dispatch, const char *entry);
/* ENTRY has begun a planned stop: it gets no more slots or requests.  */
void dispatch_peer_leaving (dispatch_t *dispatch, const char *entry);
/* Sets the free slots and queue length that ENTRY advertises for SERVICE.  */
void dispatch_peer_load_set (dispatch_t *dispatch, const char *entry,
                             const char *service, uint32_t free_slots,
                             uint32_t queued);
/* ENTRY has sent a SlotLedger; COUNT 0 means that it has no slot to give.  */
void dispatch_peer_ledger (dispatch_t *dispatch, const char *entry,
                           const dispatch_ledger_item_t *items,
                           uint32_t count);
/* ENTRY has sent a SlotWant.  Slots are given, by the send_ledger action, at
   once or as they become free; an empty ledger says that there are none.  */
void dispatch_peer_slot_want (dispatch_t *dispatch, const char *entry,
                              const char *service, uint32_t count);

/* Applies the configuration of SERVICE.  Returns ERR_BAD_REQUEST for an
   unknown policy name.  Queued requests stay queued.  */
err_kind_t dispatch_service_set (dispatch_t *dispatch, const char *service,
                                 const dispatch_policy_t *policy);
/* Requests of TEAM that are marked urgent count as standard above a rate of
   URGENT_PER_S (0: all of them do) with bursts of up to BURST.  WEIGHT is the
   team's share among the teams of a class (0: 1).  Teams that were never set
   have no such limit.  */
void dispatch_team_set (dispatch_t *dispatch, const char *team,
                        double urgent_per_s, double burst, uint32_t weight);

/* Slot shares.  Until dispatch_shares_require_row is called or the first row
   is loaded, an entry counts as alone in its zone and uses the whole limit of
   every process.  An entry with a table service, which stores the row, calls
   dispatch_shares_require_row before anything else and then has no slot until
   a row that names it is loaded.

   The I/O layer reads the row shares/ZONE of the table service when
   dispatch_shares_read_due returns true (called once a second) and after every
   transaction on it, whatever its result, and loads what it read.  It then
   calls dispatch_shares_propose and writes the value if there is one, on
   condition that the row still has the returned version.  */
void dispatch_shares_require_row (dispatch_t *dispatch);
/* Returns whether the row should be read now: every second while the row is
   out of date or a change of it is pending, else every 10 s.  */
bool dispatch_shares_read_due (dispatch_t *dispatch);
/* Loads the row.  VALUE is borrowed; NULL with VERSION 0 if the row is absent.
   A version that is not above the loaded one is ignored.  Returns
   ERR_BAD_REQUEST, and changes nothing, if VALUE is not a shares row.  */
err_kind_t dispatch_shares_load (dispatch_t *dispatch, int64_t version,
                                 const json_t *value);
/* Returns the row that should replace version *VERSION (new reference), or
   NULL if nothing is to be changed now.  The new row adds this entry, adds or
   drops processes, follows changed limits and retires gone entries once all
   closing statements about them are there.  In a drain it only takes this
   entry out.  */
json_t *dispatch_shares_propose (dispatch_t *dispatch, int64_t *version);
/* MEMBER will never run again: the instance list shows it as gone, or a higher
   incarnation of the same instance has connected.  */
void dispatch_member_gone (dispatch_t *dispatch, const char *member);
/* ENTRY asks for this entry's closing statement about MEMBERS, with which this
   entry exchanges no slots from now on.  Answers with the closing_statement
   action.  */
void dispatch_peer_closing_request (dispatch_t *dispatch, const char *entry,
                                    const char *const *members,
                                    uint32_t count);
void dispatch_peer_closing_statement (dispatch_t *dispatch, const char *entry,
                                      const char *const *members,
                                      uint32_t count,
                                      const dispatch_closing_item_t *items,
                                      uint32_t item_count);

/* Begins a planned stop: new requests are refused, queued ones are served, and
   every idle slot is given to peers.  */
void dispatch_begin_drain (dispatch_t *dispatch);
/* Returns whether a drain is complete: nothing is queued or in flight, the
   peers have confirmed all slots given to them (or there is no peer to give
   to), and the row no longer names this entry.  The entry proposes a row
   without itself once its peers have made their closing statements.  If that
   takes longer than 3 s, the drain counts as complete and the others retire
   the entry later.  */
bool dispatch_is_drained (const dispatch_t *dispatch);

/* What this entry knows of a request that another one handed over to it.  */
typedef enum
{
  DISPATCH_NEVER_SEEN, /* and will be refused if it arrives later */
  DISPATCH_IN_FLIGHT,
  DISPATCH_ENDED
} dispatch_seen_t;

/* Answers an OutcomeQuery.  OUTCOME, KIND and STATUS are set for
   DISPATCH_ENDED only.  Outcomes are kept for 120 s.  */
dispatch_seen_t dispatch_outcome_query (dispatch_t *dispatch,
                                        uint64_t origin_incarnation,
                                        uint64_t origin_id, outcome_t *outcome,
                                        err_kind_t *kind, uint16_t *status);

/* Returns queues by class and team, slots, ejected processes and the shares
   row as JSON for status pages (new reference).  */
json_t *dispatch_status (const dispatch_t *dispatch);

/* Returns this entry's free slots and queue length of SERVICE, to be
   advertised in the heartbeat.  No slot counts as free while requests are
   queued or in a drain.  */
void dispatch_own_load (const dispatch_t *dispatch, const char *service,
                        uint32_t *free_slots, uint32_t *queued);

/* Periodic work: deadlines, slot transfers, probes.  Called every 10 ms or
   more often; returns the milliseconds until it has to be called again.  */
int64_t dispatch_tick (dispatch_t *dispatch);

#endif
