#include "inquiry.h"

#define QUERY_PERIOD_MS 500
/* After the deadline the other entry has this long to report the outcome,
   which tells the caller more than our own "unknown".  */
#define DEADLINE_GRACE_MS 200

static const inquiry_result_t keep_waiting = { INQUIRY_WAIT, ERR_OK, 0 };

static inquiry_result_t
end_attempt (err_kind_t kind, outcome_t outcome)
{
  return (inquiry_result_t){ INQUIRY_END, kind, outcome };
}

static inquiry_result_t
send_query (inquiry_t *inquiry, int64_t now_ms)
{
  inquiry->last_query_ms = now_ms;
  return (inquiry_result_t){ INQUIRY_QUERY, ERR_OK, OUTCOME_UNKNOWN };
}

void
inquiry_init (inquiry_t *inquiry, int64_t deadline_ms)
{
  *inquiry = (inquiry_t){ .deadline_ms = deadline_ms };
}

inquiry_result_t
inquiry_connection_lost (inquiry_t *inquiry, bool streaming)
{
  inquiry->connection_lost = true;
  return streaming ? end_attempt (ERR_CONNECTION_LOST, OUTCOME_UNKNOWN)
                   : keep_waiting;
}

inquiry_result_t
inquiry_reconnected (inquiry_t *inquiry, int64_t now_ms)
{
  return inquiry->connection_lost ? send_query (inquiry, now_ms)
                                  : keep_waiting;
}

inquiry_result_t
inquiry_replied (inquiry_t *inquiry, uint32_t seen, err_kind_t kind,
                 outcome_t outcome)
{
  /* Without a broken connection the answer itself will arrive; this is a late
     reply to a query after an earlier break.  */
  if (!inquiry->connection_lost || seen == INQUIRY_IN_FLIGHT
      || seen > INQUIRY_ENDED)
    return keep_waiting;
  if (seen == INQUIRY_NEVER_SEEN)
    return end_attempt (ERR_ZONE_UNREACHABLE, OUTCOME_NOT_RUN);
  if (outcome == OUTCOME_NOT_RUN && kind != ERR_OK)
    return end_attempt (kind, OUTCOME_NOT_RUN);
  /* The request ran, or may have run, and its answer is lost.  */
  return end_attempt (ERR_CONNECTION_LOST,
                      outcome == OUTCOME_RAN ? OUTCOME_RAN : OUTCOME_UNKNOWN);
}

inquiry_result_t
inquiry_tick (inquiry_t *inquiry, int64_t now_ms, bool gone)
{
  if (inquiry->connection_lost && gone)
    return end_attempt (ERR_CONNECTION_LOST, OUTCOME_UNKNOWN);
  if (now_ms >= inquiry->deadline_ms + DEADLINE_GRACE_MS)
    return (inquiry_result_t){ INQUIRY_CANCEL, ERR_TIMEOUT, OUTCOME_UNKNOWN };
  if (inquiry->connection_lost
      && now_ms - inquiry->last_query_ms >= QUERY_PERIOD_MS)
    return send_query (inquiry, now_ms);
  return keep_waiting;
}
