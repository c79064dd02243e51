#ifndef MAGNOLIADOCK_RELAY_H
#define MAGNOLIADOCK_RELAY_H

#include "bytepipe.h"
#include "dispatch.h"

#include <glib.h>

/* NAME
     relay - one request on its way through this entry

   Between the side of the caller (an HTTP exchange, or an entry that handed
   the request over) and the side of the server (a backend server, or an entry
   that takes the request over).  Each side sees only this struct and the
   functions of the other one.  */

typedef struct relay relay_t;
typedef struct proxy proxy_t;

/* Functions of the caller's side.  */
typedef struct
{
  /* relay->answer has headers now (first call), more bytes, or has ended or
     been cut.  */
  void (*answer_ready) (relay_t *relay);
  /* relay->body has room again.  */
  void (*body_room) (relay_t *relay);
} relay_caller_ops_t;

/* Functions of the server's side, for the attempt in flight.  */
typedef struct
{
  void (*body_ready) (relay_t *relay);  /* more bytes, the end, or a cut */
  void (*answer_room) (relay_t *relay); /* relay->answer has room again */
  /* The caller has gone and waits for nothing any more.  */
  void (*caller_gone) (relay_t *relay);
  /* Drops the attempt without telling dispatch.  */
  void (*drop) (relay_t *relay);
} relay_server_ops_t;

struct relay
{
  proxy_t *proxy;
  uint64_t id;
  char *request_id;
  char *service;
  char *team;
  char *method;
  char *path;         /* after the service, as received: "/a?b" */
  GPtrArray *headers; /* "Name: value" */
  class_t class;
  bool idempotent;
  bool given_id; /* the caller chose request_id */
  int64_t begun_ms;
  int64_t sent_ms; /* first attempt, 0: none yet */
  int64_t deadline_ms;
  bool handed_over; /* came from another entry */

  bytepipe_t body;
  int64_t body_length; /* -1 if unknown */
  bool has_body;

  bool answer_begun; /* status, headers and length are set */
  bool streaming;    /* the caller may have seen a part of the answer */
  bool own_answer;   /* made by magnoliadock, not by a backend server */
  uint16_t status;
  err_kind_t reason;
  outcome_t outcome;
  int64_t answer_length;     /* -1 if unknown */
  GPtrArray *answer_headers; /* name, value, name, value... */
  bytepipe_t answer;

  const relay_caller_ops_t *caller_ops; /* NULL: gone */
  void *caller;
  const relay_server_ops_t *server_ops; /* NULL: no attempt in flight */
  void *server;
  uint32_t attempt;
  bool told; /* the caller has been given the headers */
  bool submitted;
  bool decided; /* the final answer is in answer, or being streamed into it */
};

/* Headers that belong to one connection or that each side sets itself.  */
bool relay_is_hop_header (const char *name);

void relay_add_answer_header (relay_t *relay, const char *name,
                              const char *value);

/* Answer of an attempt, called by the server's side in this order.  */

/* The final status and headers (already in answer_headers) have arrived.  */
void relay_answer_begun (relay_t *relay, uint16_t status, int64_t length);
/* Takes bytes of the answer; returns how many.  Fewer than LENGTH means that
   answer_room will be called.  */
size_t relay_answer_put (relay_t *relay, const char *data, size_t length);
/* The attempt is over and forgets RELAY.  KIND is ERR_OK for a whole answer;
   otherwise STATUS and OUTCOME say what is known.  */
void relay_attempt_ended (relay_t *relay, err_kind_t kind, uint16_t status,
                          outcome_t outcome);

/* Caller's side: takes bytes of the answer for the caller.  */
size_t relay_answer_take (relay_t *relay, char *into, size_t room);
/* Caller's side: hands over bytes of the body; returns how many fit.  */
size_t relay_body_put (relay_t *relay, const char *data, size_t length);
/* Caller's side: the body is complete.  */
void relay_body_end (relay_t *relay);
/* Caller's side: the caller has gone, or has the whole answer.  RELAY may be
   freed.  */
void relay_caller_closed (relay_t *relay);

/* Server's side: reads the body.  */
size_t relay_body_take (relay_t *relay, char *into, size_t room);

/* Makes a relay for a caller's side; PROXY gives it its id.  Owned by PROXY.
   The caller's side fills the request fields.  */
relay_t *relay_new (proxy_t *proxy, const relay_caller_ops_t *ops,
                    void *caller);
/* Puts the request before dispatch.  ORIGIN_* are 0 unless it was handed
   over.  */
void relay_submit (relay_t *relay, uint64_t origin_incarnation,
                   uint64_t origin_id);

/* Ends RELAY with an answer of our own, or cuts the answer that has begun.  */
void relay_refuse (relay_t *relay, err_kind_t kind, outcome_t outcome,
                   int64_t retry_after_ms, const char *detail);

#endif
