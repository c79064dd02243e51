#ifndef MAGNOLIADOCK_INQUIRY_H
#define MAGNOLIADOCK_INQUIRY_H

#include "error.h"

#include <stdbool.h>
#include <stdint.h>

/* NAME
     inquiry - what became of a request that was handed to another entry

   Decides what is known of a handed-over request when its connection breaks,
   when the other entry answers an OutcomeQuery, and when time runs out.  Does
   no I/O.  */

typedef struct
{
  int64_t deadline_ms;
  int64_t queried_ms; /* last OutcomeQuery */
  bool lost; /* the connection has broken since the request was sent */
} inquiry_t;

/* What the other entry says; the values are those of OutcomeReply.seen.  */
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

/* The connection broke.  STREAMING: the caller may have seen a part of the
   answer, so that no later word can change anything.  */
inquiry_result_t inquiry_lost (inquiry_t *inquiry, bool streaming);

/* A connection to the same process is there again.  */
inquiry_result_t inquiry_reconnected (inquiry_t *inquiry, int64_t now_ms);

/* An OutcomeReply has arrived.  */
inquiry_result_t inquiry_replied (inquiry_t *inquiry, uint32_t seen,
                                  err_kind_t kind, outcome_t outcome);

/* Called periodically.  GONE: the process that has the request will never
   answer.  */
inquiry_result_t inquiry_tick (inquiry_t *inquiry, int64_t now_ms, bool gone);

#endif
