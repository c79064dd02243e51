#include "test.h"

#include "inquiry.h"

#include <stdio.h>

typedef enum
{
  LOST,
  LOST_STREAMING,
  BACK,
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
  { "broken, not yet back",
    { AT (LOST, 100), AT (TICK, 200) },
    2,
    { INQUIRY_WAIT, ERR_OK, OUTCOME_UNKNOWN } },
  { "broken while the answer streams",
    { AT (LOST_STREAMING, 100) },
    1,
    { INQUIRY_END, ERR_CONNECTION_LOST, OUTCOME_UNKNOWN } },
  { "back: asks",
    { AT (LOST, 100), AT (BACK, 900) },
    2,
    { INQUIRY_QUERY, ERR_OK, OUTCOME_UNKNOWN } },
  { "back without a break",
    { AT (BACK, 900) },
    1,
    { INQUIRY_WAIT, ERR_OK, OUTCOME_UNKNOWN } },
  { "asks again while it runs",
    { AT (LOST, 100), AT (BACK, 900),
      REPLIED (INQUIRY_IN_FLIGHT, ERR_OK, OUTCOME_UNKNOWN), AT (TICK, 1400) },
    4,
    { INQUIRY_QUERY, ERR_OK, OUTCOME_UNKNOWN } },
  { "does not flood with queries",
    { AT (LOST, 100), AT (BACK, 900), AT (TICK, 1000) },
    3,
    { INQUIRY_WAIT, ERR_OK, OUTCOME_UNKNOWN } },
  { "request was lost",
    { AT (LOST, 100), AT (BACK, 900),
      REPLIED (INQUIRY_NEVER_SEEN, ERR_INTERNAL, OUTCOME_UNKNOWN) },
    3,
    { INQUIRY_END, ERR_ZONE_UNREACHABLE, OUTCOME_NOT_RUN } },
  { "answer was lost",
    { AT (LOST, 100), AT (BACK, 900),
      REPLIED (INQUIRY_ENDED, ERR_OK, OUTCOME_RAN) },
    3,
    { INQUIRY_END, ERR_CONNECTION_LOST, OUTCOME_RAN } },
  { "refusal was lost",
    { AT (LOST, 100), AT (BACK, 900),
      REPLIED (INQUIRY_ENDED, ERR_QUEUE_FULL, OUTCOME_NOT_RUN) },
    3,
    { INQUIRY_END, ERR_QUEUE_FULL, OUTCOME_NOT_RUN } },
  { "ended without a known outcome",
    { AT (LOST, 100), AT (BACK, 900),
      REPLIED (INQUIRY_ENDED, ERR_TIMEOUT, OUTCOME_UNKNOWN) },
    3,
    { INQUIRY_END, ERR_CONNECTION_LOST, OUTCOME_UNKNOWN } },
  { "success that claims not to have run",
    { AT (LOST, 100), AT (BACK, 900),
      REPLIED (INQUIRY_ENDED, ERR_OK, OUTCOME_NOT_RUN) },
    3,
    { INQUIRY_END, ERR_CONNECTION_LOST, OUTCOME_UNKNOWN } },
  { "unknown word of a newer version",
    { AT (LOST, 100), AT (BACK, 900),
      REPLIED ((inquiry_seen_t)7, ERR_OK, OUTCOME_UNKNOWN) },
    3,
    { INQUIRY_WAIT, ERR_OK, OUTCOME_UNKNOWN } },
  { "late reply of an earlier break, answer on its way",
    { REPLIED (INQUIRY_NEVER_SEEN, ERR_INTERNAL, OUTCOME_UNKNOWN) },
    1,
    { INQUIRY_WAIT, ERR_OK, OUTCOME_UNKNOWN } },
  { "process replaced",
    { AT (LOST, 100), AT (TICK_GONE, 900) },
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
  { "deadline while broken",
    { AT (LOST, 100), AT (TICK, 5200) },
    2,
    { INQUIRY_CANCEL, ERR_TIMEOUT, OUTCOME_UNKNOWN } },
};

/* Guards against false claims about requests whose connection between two
   entries broke, and against inquiries without an end.  The deadline is at
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
          const input_t *in = &faults[i].inputs[n];
          if (in->event == LOST || in->event == LOST_STREAMING)
            got = inquiry_lost (&inquiry, in->event == LOST_STREAMING);
          else if (in->event == BACK)
            got = inquiry_reconnected (&inquiry, in->at_ms);
          else if (in->event == REPLY)
            got = inquiry_replied (&inquiry, in->seen, in->kind, in->outcome);
          else
            got = inquiry_tick (&inquiry, in->at_ms, in->event == TICK_GONE);
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
