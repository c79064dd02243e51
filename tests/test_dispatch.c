#include "test.h"

#include "dispatch.h"
#include "fake_zone.h"

#include <stdio.h>
#include <string.h>

#define RANDOM_ZONE_RUNS 6

/* A dispatch_t and a record of the actions that it requested: how many of each
   kind, and the arguments of the last ones.  */
typedef struct
{
  clk_fake_t clock;
  counter_registry_t *registry;
  dispatch_t *dispatch;
  unsigned sends, refusals, hand_overs, probes, wants, ledgers, closings;
  uint64_t sent_id, refused_id;
  uint32_t attempt;
  char backend[16];
  char peer[16];
  bool new_connection;
  err_kind_t kind;
  outcome_t outcome;
  int64_t retry_after_ms;
} fixture_t;

static void
on_send (void *context, uint64_t id, uint32_t attempt, const char *backend,
         const char *url, bool new_connection)
{
  fixture_t *fixture = context;
  fixture->sends++;
  fixture->sent_id = id;
  fixture->attempt = attempt;
  fixture->new_connection = new_connection;
  snprintf (fixture->backend, sizeof fixture->backend, "%s", backend);
}

static void
on_hand_over (void *context, uint64_t id, uint32_t attempt, const char *entry)
{
  fixture_t *fixture = context;
  fixture->hand_overs++;
  fixture->attempt = attempt;
  snprintf (fixture->peer, sizeof fixture->peer, "%s", entry);
}

static void
on_refuse (void *context, uint64_t id, err_kind_t kind, outcome_t outcome,
           int64_t retry_after_ms, const char *detail)
{
  fixture_t *fixture = context;
  fixture->refusals++;
  fixture->refused_id = id;
  fixture->kind = kind;
  fixture->outcome = outcome;
  fixture->retry_after_ms = retry_after_ms;
  CU_ASSERT_PTR_NOT_NULL (detail);
}

static void
on_probe (void *context, const char *backend, const char *url)
{
  ((fixture_t *)context)->probes++;
}

static void
on_ledger (void *context, const char *entry,
           const dispatch_ledger_item_t *items, uint32_t count)
{
  ((fixture_t *)context)->ledgers++;
}

static void
on_want (void *context, const char *entry, const char *service, uint32_t count)
{
  ((fixture_t *)context)->wants++;
}

static void
on_closing (void *context, const char *entry, const char *const *members,
            uint32_t count)
{
  ((fixture_t *)context)->closings++;
}

static const dispatch_actions_t actions = { .send = on_send,
                                            .hand_over = on_hand_over,
                                            .refuse = on_refuse,
                                            .probe = on_probe,
                                            .send_ledger = on_ledger,
                                            .want_slots = on_want,
                                            .closing_request = on_closing };

static void
set_backend (fixture_t *fixture, unsigned number, uint32_t limit, bool leaving)
{
  char id[16];
  snprintf (id, sizeof id, "b%u", number);
  dispatch_backend_t backend
      = { id, "svc", "z", "http://b", leaving, limit, 64, 1 };
  dispatch_backend_set (fixture->dispatch, &backend);
}

/* FIXTURE must not be moved, as dispatch keeps its address.  */
static void
fixture_init (fixture_t *fixture, unsigned backends, uint32_t limit)
{
  *fixture = (fixture_t){ 0 };
  clk_fake_init (&fixture->clock, 1000000);
  fixture->registry = counter_registry_new ();
  fixture->dispatch
      = dispatch_new ("e@1", "z", &actions, fixture, &fixture->clock.base,
                      fixture->registry, test_seed ());
  for (unsigned i = 0; i < backends; i++)
    set_backend (fixture, i, limit, false);
}

static void
fixture_clear (fixture_t *fixture)
{
  dispatch_free (fixture->dispatch);
  counter_registry_free (fixture->registry);
}

static void
run_for (fixture_t *fixture, int64_t ms)
{
  for (int64_t passed = 0; passed < ms; passed += 10)
    {
      clk_fake_advance_ms (&fixture->clock, 10);
      dispatch_tick (fixture->dispatch);
    }
}

static dispatch_request_t
request_of (const fixture_t *fixture, uint64_t id)
{
  dispatch_request_t request
      = { .id = id,
          .service = "svc",
          .team = "t",
          .class = CLASS_STANDARD,
          .idempotent = true,
          .replayable = true,
          .deadline_ms = clk_now_ms (&fixture->clock.base) + 10000 };
  return request;
}

static void
submit (fixture_t *fixture, uint64_t id)
{
  dispatch_request_t request = request_of (fixture, id);
  dispatch_submit (fixture->dispatch, &request);
}

/* Guards against a wrong retry or a false outcome for each kind of failure.
   Every attempt after the first ends as given by SECOND.  */
static void
test_failures (void)
{
  static const struct
  {
    bool idempotent, replayable, started;
    err_kind_t first, second;
    outcome_t first_outcome, second_outcome;
    unsigned sends;
    unsigned refusals;
    outcome_t reported;
  } cases[] = {
    { true, true, false, ERR_CONNECT_FAILED, ERR_OK, OUTCOME_NOT_RUN,
      OUTCOME_RAN, 2, 0, OUTCOME_RAN },
    { true, true, false, ERR_CONNECTION_LOST, ERR_OK, OUTCOME_UNKNOWN,
      OUTCOME_RAN, 2, 0, OUTCOME_RAN },
    { true, true, false, ERR_CONNECTION_LOST, ERR_CONNECT_FAILED,
      OUTCOME_UNKNOWN, OUTCOME_NOT_RUN, 4, 1, OUTCOME_UNKNOWN },
    { true, true, false, ERR_CONNECT_FAILED, ERR_CONNECT_FAILED,
      OUTCOME_NOT_RUN, OUTCOME_NOT_RUN, 4, 1, OUTCOME_NOT_RUN },
    /* It may be what crashes its servers.  */
    { true, true, false, ERR_CONNECTION_LOST, ERR_CONNECTION_LOST,
      OUTCOME_UNKNOWN, OUTCOME_UNKNOWN, 2, 1, OUTCOME_UNKNOWN },
    { true, false, false, ERR_TIMEOUT, ERR_OK, OUTCOME_UNKNOWN, OUTCOME_RAN, 1,
      1, OUTCOME_UNKNOWN },
    { true, true, true, ERR_ANSWER_CUT, ERR_OK, OUTCOME_RAN, OUTCOME_RAN, 1, 0,
      OUTCOME_RAN },
    { false, true, false, ERR_CONNECTION_LOST, ERR_OK, OUTCOME_UNKNOWN,
      OUTCOME_RAN, 1, 1, OUTCOME_UNKNOWN },
    { false, true, false, ERR_CONNECT_FAILED, ERR_OK, OUTCOME_NOT_RUN,
      OUTCOME_RAN, 2, 0, OUTCOME_RAN },
    { false, true, false, ERR_CONNECT_FAILED, ERR_CONNECTION_LOST,
      OUTCOME_NOT_RUN, OUTCOME_UNKNOWN, 2, 1, OUTCOME_UNKNOWN },
    { false, true, false, ERR_ANSWER_CUT, ERR_OK, OUTCOME_RAN, OUTCOME_RAN, 1,
      1, OUTCOME_RAN },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      fixture_t fixture;
      fixture_init (&fixture, 3, 8);
      dispatch_request_t request = request_of (&fixture, 1);
      request.idempotent = cases[i].idempotent;
      request.replayable = cases[i].replayable;
      dispatch_submit (fixture.dispatch, &request);
      CU_ASSERT_EQUAL (fixture.new_connection, !cases[i].idempotent);
      if (cases[i].started)
        dispatch_answer_started (fixture.dispatch, 1, 1);
      dispatch_attempt_ended (fixture.dispatch, 1, 1, cases[i].first, 0,
                              cases[i].first_outcome);
      for (uint32_t attempt = 2; attempt < 8; attempt++)
        {
          run_for (&fixture, 600);
          if (fixture.attempt == attempt && fixture.refusals == 0)
            dispatch_attempt_ended (fixture.dispatch, 1, attempt,
                                    cases[i].second, 0,
                                    cases[i].second_outcome);
        }
      CU_ASSERT_EQUAL (fixture.sends, cases[i].sends);
      CU_ASSERT_EQUAL (fixture.refusals, cases[i].refusals);
      if (fixture.refusals > 0)
        CU_ASSERT_EQUAL (fixture.outcome, cases[i].reported);
      fixture_clear (&fixture);
    }
}

/* Guards against running a request again that is repeated with the same id,
   and against refusing one that may run again.  The first request ends as
   given by ENDS and is then repeated.  */
static void
test_repeated_ids (void)
{
  static const struct
  {
    bool idempotent;
    bool handed_over;
    err_kind_t ends; /* ERR_KIND_COUNT: still in flight */
    outcome_t outcome;
    err_kind_t kind; /* ERR_OK: runs again */
    outcome_t reported;
  } cases[] = {
    { false, false, ERR_KIND_COUNT, OUTCOME_RAN, ERR_IN_FLIGHT,
      OUTCOME_UNKNOWN },
    { true, false, ERR_KIND_COUNT, OUTCOME_RAN, ERR_IN_FLIGHT,
      OUTCOME_UNKNOWN },
    { false, false, ERR_OK, OUTCOME_RAN, ERR_CONFLICT, OUTCOME_RAN },
    { false, false, ERR_CONNECTION_LOST, OUTCOME_UNKNOWN, ERR_CONFLICT,
      OUTCOME_UNKNOWN },
    { false, false, ERR_INTERNAL, OUTCOME_NOT_RUN, ERR_OK, OUTCOME_RAN },
    { true, false, ERR_OK, OUTCOME_RAN, ERR_OK, OUTCOME_RAN },
    { true, true, ERR_OK, OUTCOME_RAN, ERR_CONFLICT, OUTCOME_RAN },
    { false, true, ERR_INTERNAL, OUTCOME_NOT_RUN, ERR_CONFLICT,
      OUTCOME_NOT_RUN },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      fixture_t fixture;
      fixture_init (&fixture, 1, 8);
      dispatch_request_t request = request_of (&fixture, 1);
      request.idempotent = cases[i].idempotent;
      request.handed_over = cases[i].handed_over;
      request.origin_incarnation = 77;
      request.origin_id = 5;
      request.request_id = "order-1";
      dispatch_submit (fixture.dispatch, &request);
      if (cases[i].ends != ERR_KIND_COUNT)
        dispatch_attempt_ended (fixture.dispatch, 1, 1, cases[i].ends, 0,
                                cases[i].outcome);
      unsigned refusals = fixture.refusals;
      request.id = 2;
      dispatch_submit (fixture.dispatch, &request);
      CU_ASSERT_EQUAL (fixture.refusals - refusals, cases[i].kind != ERR_OK);
      CU_ASSERT_EQUAL (fixture.sent_id, cases[i].kind == ERR_OK ? 2 : 1);
      if (cases[i].kind != ERR_OK)
        {
          CU_ASSERT_EQUAL (fixture.kind, cases[i].kind);
          CU_ASSERT_EQUAL (fixture.outcome, cases[i].reported);
        }
      fixture_clear (&fixture);
    }
}

/* Guards against running a handed-over request after the outcome query of its
   sender was answered with "never seen".  */
static void
test_barred_hand_over (void)
{
  fixture_t fixture;
  fixture_init (&fixture, 1, 8);
  outcome_t outcome;
  err_kind_t kind;
  uint16_t status;
  CU_ASSERT_EQUAL (dispatch_outcome_query (fixture.dispatch, 77, 5, &outcome,
                                           &kind, &status),
                   DISPATCH_NEVER_SEEN);
  dispatch_request_t request = request_of (&fixture, 1);
  request.handed_over = true;
  request.origin_incarnation = 77;
  request.origin_id = 5;
  dispatch_submit (fixture.dispatch, &request);
  CU_ASSERT_EQUAL (fixture.sends, 0);
  CU_ASSERT_EQUAL (fixture.outcome, OUTCOME_NOT_RUN);
  request.origin_id = 6;
  dispatch_submit (fixture.dispatch, &request);
  CU_ASSERT_EQUAL (dispatch_outcome_query (fixture.dispatch, 77, 6, &outcome,
                                           &kind, &status),
                   DISPATCH_IN_FLIGHT);
  dispatch_attempt_ended (fixture.dispatch, 1, 1, ERR_OK, 204, OUTCOME_RAN);
  CU_ASSERT_EQUAL (dispatch_outcome_query (fixture.dispatch, 77, 6, &outcome,
                                           &kind, &status),
                   DISPATCH_ENDED);
  CU_ASSERT_EQUAL (outcome, OUTCOME_RAN);
  CU_ASSERT_EQUAL (status, 204);
  fixture_clear (&fixture);
}

/* Guards against refusals that come too late, lack Retry-After or have a false
   outcome.  */
static void
test_refusals (void)
{
  fixture_t fixture;
  fixture_init (&fixture, 1, 1);
  dispatch_request_t request = request_of (&fixture, 1);
  request.service = "other";
  dispatch_submit (fixture.dispatch, &request);
  CU_ASSERT_EQUAL (fixture.kind, ERR_UNKNOWN_SERVICE);
  dispatch_policy_t policy = { .queue_limit = 20 };
  CU_ASSERT_EQUAL (dispatch_service_set (fixture.dispatch, "svc", &policy),
                   ERR_OK);
  /* Requests take 1 s and there is one slot: the last of 12 more would be
     queued for 10 s, until its deadline.  */
  submit (&fixture, 2);
  clk_fake_advance_ms (&fixture.clock, 1000);
  dispatch_attempt_ended (fixture.dispatch, 2, 1, ERR_OK, 200, OUTCOME_RAN);
  unsigned refusals = fixture.refusals;
  for (uint64_t id = 3; id < 3 + 12; id++)
    submit (&fixture, id);
  CU_ASSERT_EQUAL (fixture.refusals, refusals + 1);
  CU_ASSERT_EQUAL (fixture.kind, ERR_DEADLINE);
  CU_ASSERT_EQUAL (fixture.outcome, OUTCOME_NOT_RUN);
  CU_ASSERT (fixture.retry_after_ms >= 5000
             && fixture.retry_after_ms <= 20000);
  request = request_of (&fixture, 20);
  request.deadline_ms += 50000;
  for (; request.id < 40; request.id++)
    dispatch_submit (fixture.dispatch, &request);
  CU_ASSERT_EQUAL (fixture.kind, ERR_QUEUE_FULL);
  CU_ASSERT (fixture.retry_after_ms > 0);
  /* Queued requests are refused at their deadline and not before.  */
  unsigned before = fixture.refusals;
  run_for (&fixture, 9980);
  CU_ASSERT_EQUAL (fixture.refusals, before);
  run_for (&fixture, 30);
  CU_ASSERT (fixture.refusals > before);
  CU_ASSERT_EQUAL (fixture.kind, ERR_DEADLINE);
  /* A queued request is not sent either when the entry was paused until after
     its deadline.  */
  fixture_t paused;
  fixture_init (&paused, 1, 1);
  submit (&paused, 1);
  submit (&paused, 2);
  clk_fake_advance_ms (&paused.clock, 15000);
  dispatch_attempt_ended (paused.dispatch, 1, 1, ERR_OK, 200, OUTCOME_RAN);
  CU_ASSERT_EQUAL (paused.sends, 1);
  CU_ASSERT_EQUAL (paused.refused_id, 2);
  fixture_clear (&paused);
  dispatch_begin_drain (fixture.dispatch);
  submit (&fixture, 99);
  CU_ASSERT_EQUAL (fixture.kind, ERR_DRAINING);
  CU_ASSERT_FALSE (dispatch_is_drained (fixture.dispatch));
  fixture_clear (&fixture);
}

/* Guards against sending requests to a leaving, removed or ejected process,
   and against running a cancelled request.  */
static void
test_unusable_processes (void)
{
  fixture_t fixture;
  fixture_init (&fixture, 3, 2);
  set_backend (&fixture, 0, 2, true);
  dispatch_backend_remove (fixture.dispatch, "b1");
  for (uint64_t id = 1; id <= 3; id++)
    {
      submit (&fixture, id);
      CU_ASSERT_STRING_EQUAL (fixture.backend, "b2");
    }
  CU_ASSERT_EQUAL (fixture.sends, 2);
  dispatch_cancel (fixture.dispatch, 3);
  dispatch_attempt_ended (fixture.dispatch, 1, 1, ERR_OK, 200, OUTCOME_RAN);
  CU_ASSERT_EQUAL (fixture.sends, 2);
  dispatch_attempt_ended (fixture.dispatch, 1, 1, ERR_OK, 200, OUTCOME_RAN);
  dispatch_attempt_ended (fixture.dispatch, 2, 9, ERR_OK, 200, OUTCOME_RAN);
  uint32_t free_slots = 0, queued = 0;
  dispatch_own_load (fixture.dispatch, "svc", &free_slots, &queued);
  CU_ASSERT_EQUAL (free_slots, 1);
  fixture_clear (&fixture);

  fixture_init (&fixture, 3, 2);
  uint64_t id = 1;
  for (unsigned i = 0; i < 60; i++, id++)
    {
      submit (&fixture, id);
      bool is_b0 = strcmp (fixture.backend, "b0") == 0;
      dispatch_attempt_ended (
          fixture.dispatch, id, 1, is_b0 ? ERR_CONNECT_FAILED : ERR_OK,
          is_b0 ? 0 : 200, is_b0 ? OUTCOME_NOT_RUN : OUTCOME_RAN);
    }
  unsigned sent_to_b0 = 0;
  for (unsigned i = 0; i < 60; i++, id++)
    {
      submit (&fixture, id);
      sent_to_b0 += strcmp (fixture.backend, "b0") == 0;
      dispatch_attempt_ended (fixture.dispatch, id, 1, ERR_OK, 200,
                              OUTCOME_RAN);
    }
  CU_ASSERT_EQUAL (sent_to_b0, 0);
  run_for (&fixture, 1500);
  CU_ASSERT_EQUAL (fixture.probes, 1);
  dispatch_probe_ended (fixture.dispatch, "b0", ERR_OK);
  for (unsigned i = 0; i < 60; i++, id++)
    {
      submit (&fixture, id);
      sent_to_b0 += strcmp (fixture.backend, "b0") == 0;
      dispatch_attempt_ended (fixture.dispatch, id, 1, ERR_OK, 200,
                              OUTCOME_RAN);
    }
  CU_ASSERT (sent_to_b0 > 0);
  fixture_clear (&fixture);
}

/* Guards against hand-over loops, hand-overs beyond the advertised slots, and
   losing a request that the other zone refuses.  */
static void
test_spill (void)
{
  fixture_t fixture;
  fixture_init (&fixture, 1, 1);
  dispatch_peer_up (fixture.dispatch, "f@1", "y");
  dispatch_peer_up (fixture.dispatch, "g@1", "x");
  dispatch_peer_load_set (fixture.dispatch, "f@1", "svc", 1, 0);
  dispatch_peer_load_set (fixture.dispatch, "g@1", "svc", 2, 0);
  for (uint64_t id = 1; id <= 6; id++)
    {
      dispatch_request_t request = request_of (&fixture, id);
      request.handed_over = id == 6;
      request.origin_id = id;
      request.replayable = id != 3;
      dispatch_submit (fixture.dispatch, &request);
    }
  CU_ASSERT_EQUAL (fixture.hand_overs, 0);
  run_for (&fixture, 100);
  CU_ASSERT_EQUAL (fixture.hand_overs, 3);
  /* Refused there: request 2 is queued here again and not handed over to
     another zone.  */
  dispatch_attempt_ended (fixture.dispatch, 2, 1, ERR_NO_CAPACITY, 0,
                          OUTCOME_NOT_RUN);
  CU_ASSERT_EQUAL (fixture.refusals, 0);
  dispatch_attempt_ended (fixture.dispatch, 3, 1, ERR_NO_CAPACITY, 0,
                          OUTCOME_NOT_RUN);
  CU_ASSERT_EQUAL (fixture.refusals, 1);
  CU_ASSERT_EQUAL (fixture.outcome, OUTCOME_NOT_RUN);
  dispatch_peer_load_set (fixture.dispatch, "g@1", "svc", 9, 0);
  run_for (&fixture, 100);
  CU_ASSERT_EQUAL (fixture.hand_overs, 3);
  for (uint64_t id = 1; id <= 6; id++)
    dispatch_attempt_ended (fixture.dispatch, id, id == 2 ? 2 : 1, ERR_OK, 200,
                            OUTCOME_RAN);
  CU_ASSERT_EQUAL (fixture.sends, 4);
  fixture_clear (&fixture);
}

/* Guards against a team that marks everything as urgent.  */
static void
test_urgent_rate (void)
{
  fixture_t fixture;
  fixture_init (&fixture, 1, 1);
  dispatch_team_set (fixture.dispatch, "t", 1.0, 3.0, 1);
  submit (&fixture, 1);
  for (uint64_t id = 2; id <= 11; id++)
    {
      dispatch_request_t request = request_of (&fixture, id);
      request.class = CLASS_URGENT;
      dispatch_submit (fixture.dispatch, &request);
    }
  json_t *status = dispatch_status (fixture.dispatch);
  json_int_t urgent = -1, standard = -1;
  CU_ASSERT_EQUAL (json_unpack (status, "{s:{s:{s:{s:{s:I},s:{s:I}}}}}",
                                "services", "svc", "classes", "urgent",
                                "queued", &urgent, "standard", "queued",
                                &standard),
                   0);
  CU_ASSERT_EQUAL (urgent, 3);
  CU_ASSERT_EQUAL (standard, 7);
  json_decref (status);
  fixture_clear (&fixture);
}

/* Guards against using slots before a row names the entry or beyond a lowered
   limit, and against a drain that ends before the peers have confirmed the
   slots that they were given.  */
static void
test_shares_and_drain (void)
{
  fixture_t fixture;
  fixture_init (&fixture, 0, 0);
  dispatch_shares_require_row (fixture.dispatch);
  set_backend (&fixture, 0, 8, false);
  submit (&fixture, 1);
  CU_ASSERT_EQUAL (fixture.sends, 0);
  json_t *row = json_pack ("{s:{s:{s:i},s:{}},s:{s:i}}", "members", "e@1",
                           "b0@1", 8, "f@1", "limits", "b0@1", 8);
  CU_ASSERT_EQUAL (dispatch_shares_load (fixture.dispatch, 1, row), ERR_OK);
  CU_ASSERT_EQUAL (fixture.sends, 1);
  dispatch_peer_up (fixture.dispatch, "f@1", "z");
  dispatch_peer_slot_want (fixture.dispatch, "f@1", "svc", 100);
  uint32_t free_slots = 0, queued = 0;
  dispatch_own_load (fixture.dispatch, "svc", &free_slots, &queued);
  CU_ASSERT_EQUAL (free_slots, 3);
  /* A lowered limit holds before the row follows it: of the 4 slots here (of
     8) only 1 may be used under a limit of 2, and it is in use.  */
  set_backend (&fixture, 0, 2, false);
  dispatch_own_load (fixture.dispatch, "svc", &free_slots, &queued);
  CU_ASSERT_EQUAL (free_slots, 0);
  set_backend (&fixture, 0, 8, false);
  dispatch_begin_drain (fixture.dispatch);
  dispatch_attempt_ended (fixture.dispatch, 1, 1, ERR_OK, 200, OUTCOME_RAN);
  run_for (&fixture, 50);
  CU_ASSERT_FALSE (dispatch_is_drained (fixture.dispatch));
  dispatch_ledger_item_t confirmation = { "b0@1", 0, 7, false };
  dispatch_peer_ledger (fixture.dispatch, "f@1", &confirmation, 1);
  run_for (&fixture, 5000);
  CU_ASSERT_FALSE (dispatch_is_drained (fixture.dispatch));
  CU_ASSERT_EQUAL (fixture.closings, 0);
  confirmation.learned = 8;
  dispatch_peer_ledger (fixture.dispatch, "f@1", &confirmation, 1);
  run_for (&fixture, 10);
  CU_ASSERT_EQUAL (fixture.closings, 1);
  /* It leaves the row only with the statement of the other member.  */
  int64_t version = 0;
  CU_ASSERT_PTR_NULL (dispatch_shares_propose (fixture.dispatch, &version));
  CU_ASSERT_FALSE (dispatch_is_drained (fixture.dispatch));
  const char *const self[] = { "e@1" };
  dispatch_closing_item_t item = { "e@1", "b0@1", 0, 8 };
  dispatch_peer_closing_statement (fixture.dispatch, "f@1", self, 1, &item, 1);
  json_t *row_without_self
      = dispatch_shares_propose (fixture.dispatch, &version);
  json_int_t base = 0;
  CU_ASSERT_EQUAL (json_unpack (row_without_self, "{s:{s:{s:I}!}}", "members",
                                "f@1", "b0@1", &base),
                   0);
  CU_ASSERT_EQUAL (base, 8);
  CU_ASSERT_EQUAL (
      dispatch_shares_load (fixture.dispatch, 2, row_without_self), ERR_OK);
  CU_ASSERT_TRUE (dispatch_is_drained (fixture.dispatch));
  json_decref (row_without_self);
  json_decref (row);
  fixture_clear (&fixture);
}

/* Guards against a zone whose only entry stops but stays in the row, so that
   its slots cannot be used for the 62 s until its retirement, and against
   leaving the row while a slot may be in use.  */
static void
test_only_entry_leaves (void)
{
  fixture_t fixture;
  fixture_init (&fixture, 1, 8);
  json_t *row = json_pack ("{s:{s:{s:i}},s:{s:i}}", "members", "e@1", "b0@1",
                           8, "limits", "b0@1", 8);
  int64_t version = 0;
  CU_ASSERT_EQUAL (dispatch_shares_load (fixture.dispatch, 1, row), ERR_OK);
  dispatch_request_t request = request_of (&fixture, 1);
  request.replayable = false;
  dispatch_submit (fixture.dispatch, &request);
  dispatch_begin_drain (fixture.dispatch);
  CU_ASSERT_PTR_NULL (dispatch_shares_propose (fixture.dispatch, &version));
  /* The backend server may still work on the abandoned request.  */
  dispatch_attempt_abandoned (fixture.dispatch, 1, 1);
  dispatch_attempt_ended (fixture.dispatch, 1, 1, ERR_TIMEOUT, 0,
                          OUTCOME_UNKNOWN);
  run_for (&fixture, 11900);
  CU_ASSERT_PTR_NULL (dispatch_shares_propose (fixture.dispatch, &version));
  run_for (&fixture, 200);
  CU_ASSERT_FALSE (dispatch_is_drained (fixture.dispatch));
  json_t *row_without_self
      = dispatch_shares_propose (fixture.dispatch, &version);
  CU_ASSERT_PTR_NOT_NULL_FATAL (row_without_self);
  CU_ASSERT_EQUAL (
      dispatch_shares_load (fixture.dispatch, 2, row_without_self), ERR_OK);
  CU_ASSERT_TRUE (dispatch_is_drained (fixture.dispatch));
  fixture_clear (&fixture);

  fixture_init (&fixture, 1, 8);
  CU_ASSERT_EQUAL (
      dispatch_shares_load (fixture.dispatch, 2, row_without_self), ERR_OK);
  json_t *first = dispatch_shares_propose (fixture.dispatch, &version);
  CU_ASSERT_PTR_NOT_NULL_FATAL (first);
  CU_ASSERT_EQUAL (dispatch_shares_load (fixture.dispatch, 3, first), ERR_OK);
  submit (&fixture, 1);
  CU_ASSERT_EQUAL (fixture.sends, 1);
  json_decref (row);
  json_decref (row_without_self);
  json_decref (first);
  fixture_clear (&fixture);
}

/* Guards, in random runs with all faults at once, against more requests at a
   process than its limit, requests that end twice or never, false outcomes,
   non-idempotent requests that run twice, and slots that are lost for good. */
static void
test_random_zones (void)
{
  for (uint32_t i = 0; i < RANDOM_ZONE_RUNS; i++)
    {
      zone_scenario_t run = { .seed = test_seed () + i,
                              .entries = 3 + i % 3,
                              .processes = 4,
                              .slots_per_process = 4,
                              .load = 1.5,
                              .fault_period_ms = 150000,
                              .rules = { true, true } };
      zone_report_t report = zone_run (&run);
      CU_ASSERT_EQUAL (zone_violations (&report), 0);
      if (zone_violations (&report) > 0)
        printf ("\n  zone seed %u: over limit %u (first at %u ms),"
                " ended twice %u, unanswered %u, false not-run %u,"
                " false ran %u, delivered twice %u, repeated ids ran %u,"
                " processes with wrong slots %u, not served %u\n",
                run.seed, report.over_limit, report.first_over_limit_ms,
                report.double_ends, report.unanswered, report.false_not_run,
                report.false_ran, report.delivered_twice,
                report.repeated_ids_ran, report.slots_wrong,
                report.not_served);
      CU_ASSERT (report.answered > 1000);
      CU_ASSERT (report.slots_moved > 0);
    }
}

/* Checks that the random test detects a broken ledger.  */
static void
test_zone_detects_broken_ledger (void)
{
  static const share_rules_t broken_rules[]
      = { { false, true }, { true, false } };
  for (size_t b = 0; b < sizeof broken_rules / sizeof broken_rules[0]; b++)
    {
      uint32_t over_limit = 0;
      for (uint32_t i = 0; i < 2 * RANDOM_ZONE_RUNS && over_limit == 0; i++)
        {
          zone_scenario_t run = { .seed = test_seed () + i,
                                  .entries = 3 + i % 3,
                                  .processes = 4,
                                  .slots_per_process = 4,
                                  .load = 1.5,
                                  .fault_period_ms = 150000,
                                  .rules = broken_rules[b] };
          zone_report_t report = zone_run (&run);
          over_limit += report.over_limit;
        }
      CU_ASSERT (over_limit > 0);
    }
}

/* Guards against an idle entry that has no slots when the entry with all of
   them is killed, and against one that asks a peer that needs its slots.  */
static void
test_idle_entry_asks (void)
{
  static const struct
  {
    uint32_t own, peer_free; /* of 16 slots */
    unsigned wants;
  } cases[] = { { 0, 16, 1 }, { 3, 13, 1 }, { 4, 12, 0 }, { 0, 8, 0 } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      fixture_init (&fixture, 0, 0);
      dispatch_shares_require_row (fixture.dispatch);
      set_backend (&fixture, 0, 16, false);
      json_t *row = json_pack ("{s:{s:{s:i},s:{s:i}},s:{s:i}}", "members",
                               "e@1", "b0@1", (int)cases[i].own, "f@1", "b0@1",
                               16 - (int)cases[i].own, "limits", "b0@1", 16);
      CU_ASSERT_EQUAL (dispatch_shares_load (fixture.dispatch, 1, row),
                       ERR_OK);
      json_decref (row);
      dispatch_peer_up (fixture.dispatch, "f@1", "z");
      dispatch_peer_load_set (fixture.dispatch, "f@1", "svc",
                              cases[i].peer_free, 0);
      run_for (&fixture, 1900);
      CU_ASSERT_EQUAL (fixture.wants, cases[i].wants);
      fixture_clear (&fixture);
    }
}

/* Guards against sending requests too late to end before their deadline: they
   would take a slot and end with an unknown outcome.  */
static void
test_late_requests (void)
{
  static const struct
  {
    int64_t deadline_ms, wait_ms;
    bool sent;
  } cases[] = {
    { 1000, 800, true },  /* 200 ms left for a request of 100 ms */
    { 1000, 950, false }, /* 50 ms left */
    { 80, 20, true },     /* the deadline was never long enough */
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      fixture_init (&fixture, 1, 1);
      for (uint64_t id = 1; id <= 20; id++)
        {
          submit (&fixture, id);
          run_for (&fixture, 100);
          dispatch_attempt_ended (fixture.dispatch, id, fixture.attempt,
                                  ERR_OK, 200, OUTCOME_RAN);
        }
      submit (&fixture, 50);
      dispatch_request_t late = request_of (&fixture, 51);
      late.deadline_ms
          = clk_now_ms (&fixture.clock.base) + cases[i].deadline_ms;
      dispatch_submit (fixture.dispatch, &late);
      run_for (&fixture, cases[i].wait_ms);
      dispatch_attempt_ended (fixture.dispatch, 50, fixture.attempt, ERR_OK,
                              200, OUTCOME_RAN);
      CU_ASSERT_EQUAL (fixture.sent_id == 51, cases[i].sent);
      CU_ASSERT_EQUAL (fixture.refusals, cases[i].sent ? 0 : 1);
      if (!cases[i].sent)
        CU_ASSERT_EQUAL (fixture.outcome, OUTCOME_NOT_RUN);
      fixture_clear (&fixture);
    }
}

/* Guards against using a slot again while the backend server may still work on
   an abandoned request.  */
static void
test_abandoned_attempt (void)
{
  static const struct
  {
    bool abandoned;
    err_kind_t kind;
    int64_t after_ms;
    unsigned sends; /* of the next request, which needs the only slot */
  } cases[] = {
    { true, ERR_TIMEOUT, 0, 0 },     { true, ERR_CONNECTION_LOST, 9000, 0 },
    { true, ERR_TIMEOUT, 11900, 0 }, { true, ERR_TIMEOUT, 12100, 1 },
    { false, ERR_ANSWER_CUT, 0, 1 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      fixture_t fixture;
      fixture_init (&fixture, 1, 1);
      dispatch_request_t first = request_of (&fixture, 1);
      first.replayable = false;
      dispatch_submit (fixture.dispatch, &first);
      CU_ASSERT_EQUAL (fixture.sends, 1);
      if (cases[i].abandoned)
        dispatch_attempt_abandoned (fixture.dispatch, 1, fixture.attempt);
      dispatch_attempt_ended (fixture.dispatch, 1, fixture.attempt,
                              cases[i].kind, 0, OUTCOME_UNKNOWN);
      run_for (&fixture, cases[i].after_ms);
      fixture.sends = 0;
      dispatch_request_t second = request_of (&fixture, 2);
      dispatch_submit (fixture.dispatch, &second);
      CU_ASSERT_EQUAL (fixture.sends, cases[i].sends);
      fixture_clear (&fixture);
    }
}

static CU_TestInfo dispatch_tests[] = {
  { "idle entries ask for slots", test_idle_entry_asks },
  { "late requests", test_late_requests },
  { "abandoned attempts keep their slot", test_abandoned_attempt },
  { "failures", test_failures },
  { "repeated ids", test_repeated_ids },
  { "barred hand-overs", test_barred_hand_over },
  { "refusals", test_refusals },
  { "unusable processes", test_unusable_processes },
  { "spill", test_spill },
  { "urgent rate", test_urgent_rate },
  { "shares and drain", test_shares_and_drain },
  { "only entry leaves", test_only_entry_leaves },
  { "random zones", test_random_zones },
  { "random zones detect a broken ledger", test_zone_detects_broken_ledger },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_dispatch_suites[] = {
  { "dispatch", NULL, NULL, NULL, NULL, dispatch_tests },
  CU_SUITE_INFO_NULL,
};
