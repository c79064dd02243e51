#ifndef MAGNOLIADOCK_DISPATCH_H
#define MAGNOLIADOCK_DISPATCH_H

#include "clk.h"
#include "counter.h"
#include "error.h"

#include <stdbool.h>
#include <stdint.h>

/* NAME
     dispatch - decides where each request of a caller runs

   Facade of the request side of the core: admission queues, slot shares,
   outlier tracking, retries and outcomes.  Does no I/O; what has to happen is
   told through dispatch_actions_t, what has happened comes in through the
   functions below.  Strings passed in are copied, strings passed out live
   until the callback returns.  A callback must not call back into the same
   dispatch_t before it returns, except for dispatch_attempt_started.  */

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
} dispatch_backend_t;

/* One process's slots in a message between entries.  */
typedef struct
{
  const char *backend;
  uint64_t given; /* total ever given by the sender to the receiver */
} dispatch_given_t;

typedef struct
{
  /* Sends request ID to a backend server.  FRESH asks for a new connection.
     The answer comes back as dispatch_attempt_ended with the same ATTEMPT.  */
  void (*send) (void *context, uint64_t id, uint32_t attempt,
                const char *backend, const char *url, bool fresh);
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
  /* Sends the sender's ledger (totals given to ENTRY) to ENTRY.  */
  void (*send_ledger) (void *context, const char *entry,
                       const dispatch_given_t *given, uint32_t count);
  /* Asks ENTRY for up to COUNT slots of SERVICE.  */
  void (*want_slots) (void *context, const char *entry, const char *service,
                      uint32_t count);
} dispatch_actions_t;

/* ACTIONS, CLOCK and REGISTRY stay the caller's and outlive the result.
   SELF is "ENTRY@INCARNATION"; ZONE its availability zone.  */
dispatch_t *dispatch_new (const char *self, const char *zone,
                          const dispatch_actions_t *actions, void *context,
                          const clk_t *clock, counter_registry_t *registry,
                          uint32_t seed);
void dispatch_free (dispatch_t *dispatch);

/* Takes a request; it is answered by exactly one of: an attempt that ends with
   ERR_OK, or the refuse action.  The refuse action may run before this
   returns.  */
void dispatch_submit (dispatch_t *dispatch, const dispatch_request_t *request);

/* The caller has gone.  A queued request is dropped; one in flight goes on
   holding its slot until dispatch_attempt_ended.  */
void dispatch_cancel (dispatch_t *dispatch, uint64_t id);

/* The first byte of the answer to ATTEMPT has been passed to the caller, so
   the request can no longer be retried or refused.  */
void dispatch_attempt_started (dispatch_t *dispatch, uint64_t id,
                               uint32_t attempt);

/* ATTEMPT of request ID has ended and its slot is free.  KIND is ERR_OK for a
   whole answer.  STATUS is the HTTP status, 0 if none.  Late or doubled calls
   are ignored and counted.  */
void dispatch_attempt_ended (dispatch_t *dispatch, uint64_t id,
                             uint32_t attempt, err_kind_t kind,
                             uint16_t status, outcome_t outcome);

void dispatch_probe_ended (dispatch_t *dispatch, const char *backend,
                           err_kind_t kind);

/* Adds, changes or removes a backend server of the own zone.  */
void dispatch_backend_set (dispatch_t *dispatch,
                           const dispatch_backend_t *backend);
void dispatch_backend_remove (dispatch_t *dispatch, const char *id);

/* Peers of the own zone (share lending) and of other zones (hand-over).  */
void dispatch_peer_up (dispatch_t *dispatch, const char *entry,
                       const char *zone);
void dispatch_peer_down (dispatch_t *dispatch, const char *entry);
/* Free slots and queue length that ENTRY advertises for SERVICE.  */
void dispatch_peer_load (dispatch_t *dispatch, const char *entry,
                         const char *service, uint32_t free_slots,
                         uint32_t queued);
void dispatch_peer_ledger (dispatch_t *dispatch, const char *entry,
                           const dispatch_given_t *given, uint32_t count);
void dispatch_peer_wants (dispatch_t *dispatch, const char *entry,
                          const char *service, uint32_t count);

/* Own free slots and queue length of SERVICE, for the heartbeat.  */
void dispatch_load (const dispatch_t *dispatch, const char *service,
                    uint32_t *free_slots, uint32_t *queued);

/* Periodic work: deadlines, share requests, probes.  Called every 10 ms or
   sooner; returns the milliseconds until it has to be called again.  */
int64_t dispatch_tick (dispatch_t *dispatch);

#endif
