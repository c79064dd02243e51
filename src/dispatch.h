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

   Facade of the request side of the core: admission queues, slot shares,
   outlier tracking, retries and outcomes.  Does no I/O; what has to happen is
   told through dispatch_actions_t, what has happened comes in through the
   functions below.  Strings passed in are copied, strings passed out live
   until the callback returns.  A callback must not call back into the same
   dispatch_t before it returns, except for dispatch_attempt_started.

   Entries are named "ENTRY@INCARNATION" everywhere in this interface, so that
   a replaced entry is another one.  */

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
  uint64_t id; /* chosen by the caller of dispatch, unique in this process */
  const char *service;
  const char *team;
  class_t class;
  bool idempotent;
  bool replayable;     /* the whole request body is kept for a retry */
  bool handed_over;    /* came from another entry: never handed over again */
  int64_t deadline_ms; /* instant of the clock */
  /* Id given by the caller, NULL if it gave none.  Repeats of the same id
     (same service and team) are recognised.  */
  const char *request_id;
  /* Of a handed-over request: incarnation of the sending entry and the id it
     gave in HandOver.  */
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
  uint32_t request_limit;    /* requests at once */
  uint32_t connection_limit; /* connections at once */
  /* From the instance list.  A higher one is a restarted process: its record
     of failures starts anew, its slots stay divided as they are.  */
  int64_t incarnation;
} dispatch_backend_t;

/* One process's slots in a message between entries.  BACKEND is the ledger's
   name of the process, opaque to the I/O layer.  */
typedef struct
{
  const char *backend;
  uint64_t given;   /* total ever given by the sender to the receiver */
  uint64_t learned; /* total the sender has learned from the receiver */
  bool confirm;     /* the sender asks for a ledger in return */
} dispatch_given_t;

/* One process's transfers between the sender of a closing statement and the
   gone or stopping entry MEMBER.  */
typedef struct
{
  const char *member;
  const char *backend;
  uint64_t given;   /* by the sender to MEMBER */
  uint64_t learned; /* by the sender from MEMBER */
} dispatch_closing_t;

/* Admission policy and limits of one service.  Fields that are 0 or NULL take
   the default.  */
typedef struct
{
  const char *policy;           /* "fair" (default), "fifo" or "strict" */
  uint32_t weight[CLASS_COUNT]; /* guaranteed shares, default 50, 35, 15 */
  uint32_t queue_limit;         /* queued per class and team, default 2048 */
  int64_t spill_after_ms;       /* queue wait before a hand-over, 50 */
  uint32_t retry_percent;       /* retries per 100 requests, default 10 */
} dispatch_policy_t;

typedef struct
{
  /* Sends request ID to a backend server.  NEW_CONNECTION: not over a kept
     one. The answer comes back as dispatch_attempt_ended with the same
     ATTEMPT.  */
  void (*send) (void *context, uint64_t id, uint32_t attempt,
                const char *backend, const char *url, bool new_connection);
  /* Hands request ID to an entry of another availability zone.  */
  void (*hand_over) (void *context, uint64_t id, uint32_t attempt,
                     const char *entry);
  /* Ends request ID with an answer of our own.  RETRY_AFTER_MS is 0 if the
     answer carries none.  Nothing more is said about ID.  */
  void (*refuse) (void *context, uint64_t id, err_kind_t kind,
                  outcome_t outcome, int64_t retry_after_ms,
                  const char *detail);
  /* Opens a new connection to BACKEND and answers dispatch_probe_ended.  */
  void (*probe) (void *context, const char *backend, const char *url);
  /* Sends the sender's ledger (totals given to ENTRY) to ENTRY.  COUNT may be
     0, which answers a SlotWant that brings nothing.  */
  void (*send_ledger) (void *context, const char *entry,
                       const dispatch_given_t *given, uint32_t count);
  /* Asks ENTRY for up to COUNT slots of SERVICE.  */
  void (*want_slots) (void *context, const char *entry, const char *service,
                      uint32_t count);
  /* Asks ENTRY for its closing statement about MEMBERS: gone entries, or this
     one when it stops.  Repeated until it is answered.  */
  void (*closing_request) (void *context, const char *entry,
                           const char *const *members, uint32_t count);
  /* Sends ENTRY the closing statement about MEMBERS.  */
  void (*closing_statement) (void *context, const char *entry,
                             const char *const *members, uint32_t count,
                             const dispatch_closing_t *items,
                             uint32_t item_count);
} dispatch_actions_t;

/* ACTIONS, CLOCK and REGISTRY stay the caller's and outlive the result.
   SELF is "ENTRY@INCARNATION"; ZONE its availability zone.  */
dispatch_t *dispatch_new (const char *self, const char *zone,
                          const dispatch_actions_t *actions, void *context,
                          const clk_t *clock, counter_registry_t *registry,
                          uint32_t seed);
void dispatch_free (dispatch_t *dispatch);

/* Takes a request; it is answered by exactly one of: an attempt that ends with
   ERR_OK, an attempt that ends with another kind after
   dispatch_attempt_started (its caller's connection is closed), the refuse
   action, or dispatch_cancel. The refuse action may run before this returns;
   its outcome takes all earlier attempts into account.  Its kinds include
   ERR_IN_FLIGHT and ERR_CONFLICT for a repeated request_id, the latter with
   the remembered outcome.  */
void dispatch_submit (dispatch_t *dispatch, const dispatch_request_t *request);

/* The caller has gone.  A queued request is dropped; one in flight goes on
   holding its slot until dispatch_attempt_ended.  */
void dispatch_cancel (dispatch_t *dispatch, uint64_t id);

/* The first byte of the answer to ATTEMPT has been passed to the caller, so
   the request can no longer be retried or refused.  */
void dispatch_attempt_started (dispatch_t *dispatch, uint64_t id,
                               uint32_t attempt);

/* The request body of ID is no longer kept whole (REPLAYABLE false), or is
   now known to be.  */
void dispatch_set_replayable (dispatch_t *dispatch, uint64_t id,
                              bool replayable);

/* ATTEMPT of request ID has ended and its slot is free.  KIND is ERR_OK for a
   whole answer.  STATUS is the HTTP status, 0 if none.  OUTCOME is what is
   known of this attempt alone; ERR_CONNECT_FAILED with OUTCOME_NOT_RUN
   promises that no byte of the request has left.  The I/O layer ends attempts
   that outlive the request's deadline with ERR_TIMEOUT.  Late or doubled calls
   are ignored and counted.  */
void dispatch_attempt_ended (dispatch_t *dispatch, uint64_t id,
                             uint32_t attempt, err_kind_t kind,
                             uint16_t status, outcome_t outcome);

/* To be called before dispatch_attempt_ended when this side gave ATTEMPT up
   after its request may have reached the backend server: the server may go on
   with it until the deadline it was told, so the slot stays in use until
   then and 2 s more.  */
void dispatch_attempt_abandoned (dispatch_t *dispatch, uint64_t id,
                                 uint32_t attempt);

void dispatch_probe_ended (dispatch_t *dispatch, const char *backend,
                           err_kind_t kind);

/* Adds or changes a backend server of the own zone (its service never
   changes), or removes one that the instance list shows as gone (a leaving one
   is set with LEAVING).  */
void dispatch_backend_set (dispatch_t *dispatch,
                           const dispatch_backend_t *backend);
void dispatch_backend_remove (dispatch_t *dispatch, const char *id);

/* Peers of the own zone (share lending) and of other zones (hand-over).  */
void dispatch_peer_up (dispatch_t *dispatch, const char *entry,
                       const char *zone);
void dispatch_peer_down (dispatch_t *dispatch, const char *entry);
/* ENTRY has begun a planned stop: it is given no more slots or requests.  */
void dispatch_peer_leaving (dispatch_t *dispatch, const char *entry);
/* Free slots and queue length that ENTRY advertises for SERVICE.  */
void dispatch_peer_load (dispatch_t *dispatch, const char *entry,
                         const char *service, uint32_t free_slots,
                         uint32_t queued);
void dispatch_peer_ledger (dispatch_t *dispatch, const char *entry,
                           const dispatch_given_t *given, uint32_t count);
void dispatch_peer_wants (dispatch_t *dispatch, const char *entry,
                          const char *service, uint32_t count);

/* Sets what the configuration says of SERVICE.  Returns ERR_BAD_REQUEST for
   an unknown policy name.  Queued requests stay queued.  */
err_kind_t dispatch_service_set (dispatch_t *dispatch, const char *service,
                                 const dispatch_policy_t *policy);
/* Urgent marks of TEAM above URGENT_PER_S count as standard (0: none are
   urgent); BURST marks may come at once.  WEIGHT is its share among the teams
   of a class (0: 1).  Teams that were never set have no such limit.  */
void dispatch_team_set (dispatch_t *dispatch, const char *team,
                        double urgent_per_s, double burst, uint32_t weight);

/* Slot shares.  Until dispatch_shares_expect or the first row, an entry counts
   as alone in its zone and uses the whole limit of every process.  An entry
   with a table service calls dispatch_shares_expect before anything else and
   then has no slot until a row that names it is loaded.

   The I/O layer reads the row shares/ZONE when dispatch_shares_read_due says
   so (asked once a second) and after every transaction on it, whatever its
   result, and loads what it found; then it calls dispatch_shares_propose and
   writes the value if there is one, with a check of the returned version.  */
void dispatch_shares_expect (dispatch_t *dispatch);
/* Returns whether the row should be read now: every second while something is
   to be changed in it, else every 10 s.  */
bool dispatch_shares_read_due (dispatch_t *dispatch);
/* VALUE is borrowed; NULL with VERSION 0 if the row is absent.  A version
   below the one loaded is ignored.  Returns ERR_BAD_REQUEST, and changes
   nothing, if VALUE is not a shares row.  */
err_kind_t dispatch_shares_load (dispatch_t *dispatch, int64_t version,
                                 const json_t *value);
/* Returns the row that should replace the one of *VERSION (new reference), or
   NULL if nothing is to be changed now: it adds this entry, adds or drops
   processes and retires gone entries once their statements are complete.  */
json_t *dispatch_shares_propose (dispatch_t *dispatch, int64_t *version);
/* MEMBER will never run again: the instance list shows it as gone, or a higher
   incarnation of the same instance has announced itself.  */
void dispatch_member_gone (dispatch_t *dispatch, const char *member);
/* Answers with the closing_statement action.  */
void dispatch_peer_closing_request (dispatch_t *dispatch, const char *entry,
                                    const char *const *members,
                                    uint32_t count);
void dispatch_peer_closing_statement (dispatch_t *dispatch, const char *entry,
                                      const char *const *members,
                                      uint32_t count,
                                      const dispatch_closing_t *items,
                                      uint32_t item_count);

/* Planned stop: refuses new requests, serves the queued ones and gives every
   idle slot to peers.  */
void dispatch_drain (dispatch_t *dispatch);
/* Returns whether nothing is queued or in flight, the peers have learned all
   slots given to them (or there is no peer to give to), and the row no longer
   names this entry.  It proposes a row without itself once its peers have made
   their closing statements; if that takes longer than 3 s, the others retire
   it later.  */
bool dispatch_drained (const dispatch_t *dispatch);

/* What another entry is told of a request that it handed over.  */
typedef enum
{
  DISPATCH_NEVER_SEEN, /* and a later arrival will be refused */
  DISPATCH_IN_FLIGHT,
  DISPATCH_ENDED
} dispatch_seen_t;

/* Answers an OutcomeQuery.  OUTCOME, KIND and STATUS are set for
   DISPATCH_ENDED only.  Outcomes are remembered for 120 s.  */
dispatch_seen_t dispatch_outcome_query (dispatch_t *dispatch,
                                        uint64_t origin_incarnation,
                                        uint64_t origin_id, outcome_t *outcome,
                                        err_kind_t *kind, uint16_t *status);

/* Returns queues by class and team, slots, ejected processes and the shares
   row as JSON for status pages (new reference).  */
json_t *dispatch_status (const dispatch_t *dispatch);

/* Own free slots and queue length of SERVICE, for the heartbeat.  */
void dispatch_load (const dispatch_t *dispatch, const char *service,
                    uint32_t *free_slots, uint32_t *queued);

/* Periodic work: deadlines, share requests, probes.  Called every 10 ms or
   sooner; returns the milliseconds until it has to be called again.  */
int64_t dispatch_tick (dispatch_t *dispatch);

#endif
