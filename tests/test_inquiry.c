#include "test.h"

#include "inquiry.h"

#include <stdio.h>

typedef enum
{
  BROKEN,
  BROKEN_STREAMING,
  RECONNECTED,
  REPLY,
  TICK,
  TICK_GONE
} event_t;

typedef struct
{
  event_t event;
  int64_t at_ms;
  inquiry_seen_t seen;
  err_kind_t kind;
  outcome_t outcome;
} input_t;

#define AT(event, ms)                                                         \
  {                                                                           \
    event, ms, INQUIRY_IN_FLIGHT, ERR_OK, OUTCOME_UNKNOWN                     \
  }
#define REPLIED(seen, kind, outcome)                                          \
  {                                                                           \
    REPLY, 950, seen, kind, outcome                                           \
  }

static const struct
{
  const char *fault;
  input_t inputs[5];
  unsigned count;
  inquiry_result_t wanted; /* result of the last input */
} faults[] = {
  { "nothing happens",
    { AT (TICK, 100) },
    1,
    { INQUIRY_WAIT, ERR_OK, OUTCOME_UNKNOWN } },
  { "connection broken, not yet reconnected",
    { AT (BROKEN, 100), AT (TICK, 200) },
    2,
    { INQUIRY_WAIT, ERR_OK, OUTCOME_UNKNOWN } },
  { "connection broken while the answer streams",
    { AT (BROKEN_STREAMING, 100) },
    1,
    { INQUIRY_END, ERR_CONNECTION_LOST, OUTCOME_UNKNOWN } },
  { "reconnected: sends a query",
    { AT (BROKEN, 100), AT (RECONNECTED, 900) },
    2,
    { INQUIRY_QUERY, ERR_OK, OUTCOME_UNKNOWN } },
  { "reconnected without a break",
    { AT (RECONNECTED, 900) },
    1,
    { INQUIRY_WAIT, ERR_OK, OUTCOME_UNKNOWN } },
  { "queries again while the request runs",
    { AT (BROKEN, 100), AT (RECONNECTED, 900),
      REPLIED (INQUIRY_IN_FLIGHT, ERR_OK, OUTCOME_UNKNOWN), AT (TICK, 1400) },
    4,
    { INQUIRY_QUERY, ERR_OK, OUTCOME_UNKNOWN } },
  { "pauses between queries",
    { AT (BROKEN, 100), AT (RECONNECTED, 900), AT (TICK, 1000) },
    3,
    { INQUIRY_WAIT, ERR_OK, OUTCOME_UNKNOWN } },
  { "request was lost",
    { AT (BROKEN, 100), AT (RECONNECTED, 900),
      REPLIED (INQUIRY_NEVER_SEEN, ERR_INTERNAL, OUTCOME_UNKNOWN) },
    3,
    { INQUIRY_END, ERR_ZONE_UNREACHABLE, OUTCOME_NOT_RUN } },
  { "answer was lost",
    { AT (BROKEN, 100), AT (RECONNECTED, 900),
      REPLIED (INQUIRY_ENDED, ERR_OK, OUTCOME_RAN) },
    3,
    { INQUIRY_END, ERR_CONNECTION_LOST, OUTCOME_RAN } },
  { "refusal was lost",
    { AT (BROKEN, 100), AT (RECONNECTED, 900),
      REPLIED (INQUIRY_ENDED, ERR_QUEUE_FULL, OUTCOME_NOT_RUN) },
    3,
    { INQUIRY_END, ERR_QUEUE_FULL, OUTCOME_NOT_RUN } },
  { "ended without a known outcome",
    { AT (BROKEN, 100), AT (RECONNECTED, 900),
      REPLIED (INQUIRY_ENDED, ERR_TIMEOUT, OUTCOME_UNKNOWN) },
    3,
    { INQUIRY_END, ERR_CONNECTION_LOST, OUTCOME_UNKNOWN } },
  { "success that claims not to have run",
    { AT (BROKEN, 100), AT (RECONNECTED, 900),
      REPLIED (INQUIRY_ENDED, ERR_OK, OUTCOME_NOT_RUN) },
    3,
    { INQUIRY_END, ERR_CONNECTION_LOST, OUTCOME_UNKNOWN } },
  { "unknown reply of a newer version",
    { AT (BROKEN, 100), AT (RECONNECTED, 900),
      REPLIED ((inquiry_seen_t)7, ERR_OK, OUTCOME_UNKNOWN) },
    3,
    { INQUIRY_WAIT, ERR_OK, OUTCOME_UNKNOWN } },
  { "late reply after an earlier break, while connected",
    { REPLIED (INQUIRY_NEVER_SEEN, ERR_INTERNAL, OUTCOME_UNKNOWN) },
    1,
    { INQUIRY_WAIT, ERR_OK, OUTCOME_UNKNOWN } },
  { "process gone",
    { AT (BROKEN, 100), AT (TICK_GONE, 900) },
    2,
    { INQUIRY_END, ERR_CONNECTION_LOST, OUTCOME_UNKNOWN } },
  { "listed as gone, but still connected",
    { AT (TICK_GONE, 900) },
    1,
    { INQUIRY_WAIT, ERR_OK, OUTCOME_UNKNOWN } },
  { "deadline while connected",
    { AT (TICK, 5200) },
    1,
    { INQUIRY_CANCEL, ERR_TIMEOUT, OUTCOME_UNKNOWN } },
  { "deadline while the connection is broken",
    { AT (BROKEN, 100), AT (TICK, 5200) },
    2,
    { INQUIRY_CANCEL, ERR_TIMEOUT, OUTCOME_UNKNOWN } },
};

/* Guards against wrong outcomes of requests whose connection between two
   entries broke, and against inquiries that never end.  The deadline is at
   5,000 ms.  */
static void
test_outcome_after_break (void)
{
  for (size_t i = 0; i < sizeof faults / sizeof faults[0]; i++)
    {
      inquiry_t inquiry;
      inquiry_result_t got = { INQUIRY_WAIT, ERR_OK, OUTCOME_UNKNOWN };
      inquiry_init (&inquiry, 5000);
      for (unsigned n = 0; n < faults[i].count; n++)
        {
          const input_t *input = &faults[i].inputs[n];
          if (input->event == BROKEN || input->event == BROKEN_STREAMING)
            got = inquiry_connection_lost (&inquiry,
                                           input->event == BROKEN_STREAMING);
          else if (input->event == RECONNECTED)
            got = inquiry_reconnected (&inquiry, input->at_ms);
          else if (input->event == REPLY)
            got = inquiry_replied (&inquiry, input->seen, input->kind,
                                   input->outcome);
          else
            got = inquiry_tick (&inquiry, input->at_ms,
                                input->event == TICK_GONE);
        }
      bool same = got.step == faults[i].wanted.step;
      if (same && (got.step == INQUIRY_END || got.step == INQUIRY_CANCEL))
        same = got.kind == faults[i].wanted.kind
               && got.outcome == faults[i].wanted.outcome;
      if (!same)
        printf ("inquiry: %s\n", faults[i].fault);
      CU_ASSERT (same);
    }
}

static CU_TestInfo inquiry_tests[] = {
  { "outcome after a broken connection", test_outcome_after_break },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_inquiry_suites[] = {
  { "inquiry", NULL, NULL, NULL, NULL, inquiry_tests },
  CU_SUITE_INFO_NULL,
};
