#ifndef MAGNOLIADOCK_INQUIRY_H
#define MAGNOLIADOCK_INQUIRY_H

#include "error.h"

#include <stdbool.h>
#include <stdint.h>

/* NAME
     inquiry - finds out the outcome of a request handed over to another entry

   Decides what to do about a handed-over request when the connection breaks,
   when the other entry answers an OutcomeQuery, and when the deadline passes.
   Does no I/O.  */

typedef struct
{
  int64_t deadline_ms;
  int64_t last_query_ms; /* when the last OutcomeQuery was sent, 0: never */
  bool connection_lost; /* the connection has broken since the request was sent
                         */
} inquiry_t;

/* What the other entry knows; the values are those of OutcomeReply.seen.  */
typedef enum
{
  INQUIRY_NEVER_SEEN, /* and will never run it */
  INQUIRY_IN_FLIGHT,
  INQUIRY_ENDED
} inquiry_seen_t;

typedef enum
{
  INQUIRY_WAIT,
  INQUIRY_QUERY,  /* send an OutcomeQuery */
  INQUIRY_CANCEL, /* send a CancelRequest and end the attempt */
  INQUIRY_END     /* end the attempt */
} inquiry_step_t;

typedef struct
{
  inquiry_step_t step;
  err_kind_t kind; /* with INQUIRY_CANCEL and INQUIRY_END */
  outcome_t outcome;
} inquiry_result_t;

void inquiry_init (inquiry_t *inquiry, int64_t deadline_ms);

/* The connection broke.  STREAMING: the caller may have received part of the
   answer, so a later reply could change nothing.  */
inquiry_result_t inquiry_connection_lost (inquiry_t *inquiry, bool streaming);

/* There is a new connection to the same process.  */
inquiry_result_t inquiry_reconnected (inquiry_t *inquiry, int64_t now_ms);

/* An OutcomeReply has arrived.  */
inquiry_result_t inquiry_replied (inquiry_t *inquiry, uint32_t seen,
                                  err_kind_t kind, outcome_t outcome);

/* Called periodically.  GONE: the process that has the request will never run
   again.  */
inquiry_result_t inquiry_tick (inquiry_t *inquiry, int64_t now_ms, bool gone);

#endif
