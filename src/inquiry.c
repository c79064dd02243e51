#include "inquiry.h"

#define QUERY_PERIOD_MS 500
/* After its deadline a handed-over request gets this long to report its
   outcome, which is worth more than our own "unknown".  */
#define DEADLINE_GRACE_MS 200

static const inquiry_result_t wait_more = { INQUIRY_WAIT, ERR_OK, 0 };

static inquiry_result_t
end (err_kind_t kind, outcome_t outcome)
{
  return (inquiry_result_t){ INQUIRY_END, kind, outcome };
}

static inquiry_result_t
query (inquiry_t *inquiry, int64_t now_ms)
{
  inquiry->queried_ms = now_ms;
  return (inquiry_result_t){ INQUIRY_QUERY, ERR_OK, OUTCOME_UNKNOWN };
}

void
inquiry_init (inquiry_t *inquiry, int64_t deadline_ms)
{
  *inquiry = (inquiry_t){ .deadline_ms = deadline_ms };
}

inquiry_result_t
inquiry_lost (inquiry_t *inquiry, bool streaming)
{
  inquiry->lost = true;
  return streaming ? end (ERR_CONNECTION_LOST, OUTCOME_UNKNOWN) : wait_more;
}

inquiry_result_t
inquiry_reconnected (inquiry_t *inquiry, int64_t now_ms)
{
  return inquiry->lost ? query (inquiry, now_ms) : wait_more;
}

inquiry_result_t
inquiry_replied (inquiry_t *inquiry, uint32_t seen, err_kind_t kind,
                 outcome_t outcome)
{
  /* A reply to a query of an earlier break says nothing new while the answer
     itself is on its way.  */
  if (!inquiry->lost || seen == INQUIRY_IN_FLIGHT || seen > INQUIRY_ENDED)
    return wait_more;
  if (seen == INQUIRY_NEVER_SEEN)
    return end (ERR_ZONE_UNREACHABLE, OUTCOME_NOT_RUN);
  if (outcome == OUTCOME_NOT_RUN && kind != ERR_OK)
    return end (kind, OUTCOME_NOT_RUN);
  /* It ran, or may have, and its answer is lost.  */
  return end (ERR_CONNECTION_LOST,
              outcome == OUTCOME_RAN ? OUTCOME_RAN : OUTCOME_UNKNOWN);
}

inquiry_result_t
inquiry_tick (inquiry_t *inquiry, int64_t now_ms, bool gone)
{
  if (inquiry->lost && gone)
    return end (ERR_CONNECTION_LOST, OUTCOME_UNKNOWN);
  if (now_ms >= inquiry->deadline_ms + DEADLINE_GRACE_MS)
    return (inquiry_result_t){ INQUIRY_CANCEL, ERR_TIMEOUT, OUTCOME_UNKNOWN };
  if (inquiry->lost && now_ms - inquiry->queried_ms >= QUERY_PERIOD_MS)
    return query (inquiry, now_ms);
  return wait_more;
}
