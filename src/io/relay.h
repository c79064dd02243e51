#ifndef MAGNOLIADOCK_RELAY_H
#define MAGNOLIADOCK_RELAY_H

#include "bytepipe.h"
#include "dispatch.h"

#include <glib.h>

/* NAME
     relay - one request on its way through this entry

   Connects the caller's side (an HTTP exchange, or an entry that handed the
   request over) with the server's side (a backend server, or an entry to which
   the request is handed over).  Each side sees only this struct and the ops of
   the other one.  */

typedef struct relay relay_t;
typedef struct proxy proxy_t;

/* Functions of the caller's side, called by relay.  */
typedef struct
{
  /* The first call: status and headers of the answer are set.  Later calls:
     relay->answer has more bytes, has ended or has been cut.  */
  void (*answer_ready) (relay_t *relay);
  /* relay->body has room again.  */
  void (*body_room) (relay_t *relay);
} relay_caller_ops_t;

/* Functions of the server's side, called by relay for the attempt in
   flight.  */
typedef struct
{
  void (*body_ready) (relay_t *relay);  /* more bytes, ended or cut */
  void (*answer_room) (relay_t *relay); /* relay->answer has room again */
  /* The caller's side is closed; nobody reads the answer any more.  */
  void (*caller_gone) (relay_t *relay);
  /* Frees the attempt without reporting its end to dispatch.  */
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
  bool caller_chose_id; /* request_id comes from the caller */
  int64_t received_ms;
  int64_t first_sent_ms; /* start of the first attempt, 0: none yet */
  int64_t deadline_ms;   /* clock time, as the two above */
  bool handed_over;      /* came from another entry */

  bytepipe_t body;
  int64_t body_length; /* -1 if unknown */
  bool has_body;

  bool answer_begun; /* status, headers and length are set */
  /* The answer is passed on as it arrives: the caller may have seen a part. */
  bool streaming;
  bool own_answer; /* made by magnoliadock, not by a backend server */
  uint16_t status;
  err_kind_t reason;
  outcome_t outcome;
  int64_t answer_length;     /* -1 if unknown */
  GPtrArray *answer_headers; /* name, value, name, value... */
  bytepipe_t answer;

  const relay_caller_ops_t *caller_ops; /* NULL: the caller has gone */
  void *caller_state;                   /* of the caller's side, for its ops */
  const relay_server_ops_t *server_ops; /* NULL: no attempt in flight */
  void *server_state;                   /* of the attempt, for its ops */
  uint32_t attempt;
  bool headers_passed_on; /* the answer's headers, to the caller */
  bool submitted;         /* to dispatch */
  /* The end is known: reason and outcome are final, and no more bytes are
     added to answer.  */
  bool decided;
};

/* Whether NAME is a header that belongs to one connection, or that each side
   sets itself; it is not passed on.  */
bool relay_is_hop_by_hop_header (const char *name);

void relay_add_answer_header (relay_t *relay, const char *name,
                              const char *value);

/* The server's side calls these three functions in this order for the answer
   of an attempt.  */

/* The final status and headers have arrived; the headers are already in
   answer_headers.  LENGTH is -1 if unknown.  */
void relay_answer_begun (relay_t *relay, uint16_t status, int64_t length);
/* Adds bytes of the answer; returns how many were taken.  If that is fewer
   than LENGTH, answer_room is called when there is room again.  */
size_t relay_answer_put (relay_t *relay, const char *data, size_t length);
/* The attempt has ended and must not use RELAY any more, which may be freed.
   KIND is ERR_OK for a whole answer; otherwise STATUS and OUTCOME say what is
   known.  */
void relay_attempt_ended (relay_t *relay, err_kind_t kind, uint16_t status,
                          outcome_t outcome);

/* Caller's side: moves up to ROOM bytes of the answer to INTO and returns
   their number.  */
size_t relay_answer_take (relay_t *relay, char *into, size_t room);
/* Caller's side: adds bytes of the body; returns how many were taken.  If that
   is fewer than LENGTH, body_room is called when there is room again.  */
size_t relay_body_put (relay_t *relay, const char *data, size_t length);
/* Caller's side: the body is complete.  */
void relay_body_end (relay_t *relay);
/* Caller's side: the caller has gone, or has the whole answer.  The caller's
   side must not use RELAY any more, which may be freed.  */
void relay_caller_closed (relay_t *relay);

/* Server's side: moves up to ROOM bytes of the body to INTO and returns their
   number.  */
size_t relay_body_take (relay_t *relay, char *into, size_t room);

/* Creates a relay for a caller's side.  PROXY owns it and assigns its id; the
   caller's side fills in the fields of the request.  */
relay_t *relay_new (proxy_t *proxy, const relay_caller_ops_t *ops,
                    void *caller_state);
/* Submits the request to dispatch.  ORIGIN_INCARNATION and ORIGIN_ID are those
   of the HandOver, 0 for a request that was not handed over.  */
void relay_submit (relay_t *relay, uint64_t origin_incarnation,
                   uint64_t origin_id);

/* Ends the request with an answer made by magnoliadock, or cuts the answer if
   it is already streamed.  DETAIL is the message, NULL for the name of KIND.
   Does nothing if the end is already decided.  */
void relay_refuse (relay_t *relay, err_kind_t kind, outcome_t outcome,
                   int64_t retry_after_ms, const char *detail);

#endif
