#include "test.h"

#include "membership.h"

#include <string.h>

/* A membership_t on a fake clock; LOG lists the actions that it calls and the
   results of membership_hello.  */
typedef struct
{
  GString *log;
  clk_fake_t clock;
  membership_t *members;
} fixture_t;

static void
on_connect (void *context, const char *id, const char *address)
{
  g_string_append_printf (((fixture_t *)context)->log, "connect %s;", id);
}

static void
on_disconnect (void *context, const char *entry, const char *reason)
{
  g_string_append_printf (((fixture_t *)context)->log, "drop %s %s;", entry,
                          reason);
}

static void
on_up (void *context, const char *entry, const char *zone)
{
  g_string_append_printf (((fixture_t *)context)->log, "up %s;", entry);
}

static void
on_down (void *context, const char *entry)
{
  g_string_append_printf (((fixture_t *)context)->log, "down %s;", entry);
}

static const membership_actions_t actions
    = { on_connect, on_disconnect, on_up, on_down };

static void
set_up (fixture_t *fixture, uint32_t remote_peers)
{
  fixture->log = g_string_new (NULL);
  clk_fake_init (&fixture->clock, 1000);
  fixture->members
      = membership_new ("e2", 100, "home", remote_peers, &actions, fixture,
                        &fixture->clock.base, test_seed ());
}

static void
tear_down (fixture_t *fixture)
{
  membership_free (fixture->members);
  g_string_free (fixture->log, TRUE);
}

static void
pass_time (fixture_t *fixture, int64_t ms)
{
  for (; ms > 0; ms -= 100)
    {
      clk_fake_advance_ms (&fixture->clock, MIN (ms, 100));
      membership_tick (fixture->members);
    }
}

/* Runs one step of a fault table: "list ID [gone|leaving]", "hello ID@INC
   in|out" (out: the connection was made by this entry), "heard ENTRY" (a frame
   of it has arrived), "closed ENTRY", "leaving ENTRY", "wait MS".  */
static void
step (fixture_t *fixture, const char *text)
{
  char **words = g_strsplit (text, " ", 3);
  const char *what = words[0];
  const char *name = words[1];
  const char *more = words[2];
  if (strcmp (what, "list") == 0)
    membership_listed (
        fixture->members, name, "home", more == NULL ? "127.0.0.1:1" : NULL,
        g_strcmp0 (more, "leaving") == 0, g_strcmp0 (more, "gone") == 0);
  else if (strcmp (what, "hello") == 0)
    {
      static const char *const verdicts[]
          = { "accept;", "replace;", "lower;", "self;", "second;" };
      char *id;
      int64_t incarnation;
      CU_ASSERT_FATAL (membership_parse_entry (name, &id, &incarnation));
      g_string_append (
          fixture->log,
          verdicts[membership_hello (fixture->members, id, incarnation, "home",
                                     strcmp (more, "out") == 0)]);
      g_free (id);
    }
  else if (strcmp (what, "heard") == 0)
    membership_frame_received (fixture->members, name);
  else if (strcmp (what, "closed") == 0)
    membership_closed (fixture->members, name);
  else if (strcmp (what, "leaving") == 0)
    membership_leaving (fixture->members, name);
  else if (strcmp (what, "wait") == 0)
    pass_time (fixture, g_ascii_strtoll (name, NULL, 10));
  else
    CU_FAIL ("unknown step");
  g_strfreev (words);
}

static const struct
{
  const char *fault;
  const char *steps[10];
  const char *log;
  const char *gone;     /* a process that is gone at the end, or NULL */
  const char *alive;    /* a process that is not gone */
  member_state_t state; /* of e1 */
} faults[] = {
  { "silence",
    { "hello e1@5 in", "wait 2900", "wait 200" },
    "up e1@5;accept;drop e1@5 silent;down e1@5;",
    NULL,
    "e1@5",
    MEMBER_SUSPECT },
  { "paused, resumed, reconnected",
    { "hello e1@5 in", "wait 20000", "hello e1@5 in" },
    "up e1@5;accept;drop e1@5 silent;down e1@5;up e1@5;accept;",
    NULL,
    "e1@5",
    MEMBER_LIVE },
  { "restart",
    { "hello e1@5 in", "hello e1@6 in" },
    "up e1@5;accept;drop e1@5 newer_incarnation;down e1@5;up e1@6;accept;",
    "e1@5",
    "e1@6",
    MEMBER_LIVE },
  { "lower incarnation",
    { "hello e1@6 in", "hello e1@5 in" },
    "up e1@6;accept;lower;",
    "e1@5",
    "e1@6",
    MEMBER_LIVE },
  { "own id", { "hello e2@900 in" }, "self;", "e2@99", "e2@100", MEMBER_GONE },
  { "both sides connect: the connection of the lower id is kept",
    { "hello e1@5 out", "hello e1@5 in" },
    "up e1@5;accept;drop e1@5 replaced;replace;",
    NULL,
    "e1@5",
    MEMBER_LIVE },
  { "the same, other order",
    { "hello e1@5 in", "hello e1@5 out" },
    "up e1@5;accept;second;",
    NULL,
    "e1@5",
    MEMBER_LIVE },
  { "listed as gone while it still sends frames",
    { "hello e1@5 in", "list e1 gone" },
    "up e1@5;accept;",
    NULL,
    "e1@5",
    MEMBER_LIVE },
  { "listed as gone and silent for the list's lag",
    { "hello e1@5 in", "list e1 gone", "closed e1@5", "wait 10000" },
    "up e1@5;accept;down e1@5;",
    "e1@5",
    "e1@x",
    MEMBER_GONE },
  { "list lags behind a replacement",
    { "hello e1@5 in", "closed e1@5", "wait 500", "hello e1@9 in",
      "list e1 gone", "wait 1000" },
    "up e1@5;accept;down e1@5;up e1@9;accept;",
    "e1@5",
    "e1@9",
    MEMBER_LIVE },
  { "dead, but not listed as gone",
    { "hello e1@5 in", "closed e1@5", "wait 60000" },
    "up e1@5;accept;down e1@5;",
    NULL,
    "e1@5",
    MEMBER_SUSPECT },
  { "leaving",
    { "hello e1@5 in", "leaving e1@5" },
    "up e1@5;accept;",
    NULL,
    "e1@5",
    MEMBER_LEAVING },
  { "frames of an old process do not keep the new one alive",
    { "hello e1@5 in", "hello e1@6 in", "wait 2900", "heard e1@5",
      "wait 200" },
    "up e1@5;accept;drop e1@5 newer_incarnation;down e1@5;up e1@6;accept;"
    "drop e1@6 silent;down e1@6;",
    "e1@5",
    "e1@6",
    MEMBER_SUSPECT },
};

/* Guards against two live processes of one id, against a running entry that is
   considered gone, and against a silent entry that stays connected.  */
static void
test_membership_faults (void)
{
  for (size_t i = 0; i < sizeof faults / sizeof faults[0]; i++)
    {
      fixture_t fixture;
      set_up (&fixture, 2);
      for (size_t s = 0; faults[i].steps[s] != NULL; s++)
        step (&fixture, faults[i].steps[s]);
      if (strcmp (fixture.log->str, faults[i].log) != 0)
        printf ("%s: %s\n", faults[i].fault, fixture.log->str);
      CU_ASSERT_STRING_EQUAL (fixture.log->str, faults[i].log);
      if (faults[i].gone != NULL)
        CU_ASSERT (membership_is_gone (fixture.members, faults[i].gone));
      CU_ASSERT (!membership_is_gone (fixture.members, faults[i].alive));
      CU_ASSERT_EQUAL (membership_state (fixture.members, "e1"),
                       faults[i].state);
      tear_down (&fixture);
    }
}

/* Guards against entries that neither side connects to, or both at once, and
   against retries without a pause.  */
static void
test_membership_connects (void)
{
  fixture_t fixture;
  set_up (&fixture, 2);
  step (&fixture, "list e3");
  step (&fixture, "list e1");
  step (&fixture, "wait 100");
  CU_ASSERT_STRING_EQUAL (fixture.log->str, "connect e3;");
  step (&fixture, "wait 2000");
  CU_ASSERT_PTR_NOT_NULL (strstr (fixture.log->str, "connect e1;"));
  g_string_truncate (fixture.log, 0);
  for (unsigned i = 0; i < 600; i++)
    {
      membership_connect_failed (fixture.members, "e3");
      step (&fixture, "wait 100");
    }
  unsigned count = 0;
  for (const char *at = fixture.log->str; (at = strstr (at, "connect e3;"));
       at++)
    count++;
  /* 60 s with delays of 2.5 to 7.5 s after the first few.  */
  CU_ASSERT (count >= 8 && count <= 30);
  tear_down (&fixture);
}

static unsigned
connected_remote (const bool *connected, unsigned count)
{
  unsigned sum = 0;
  for (unsigned i = 0; i < count; i++)
    sum += connected[i];
  return sum;
}

/* Lets every connection attempt succeed unless the entry is DEAD, and keeps
   CONNECTED up to date.  */
static void
answer_connects (fixture_t *fixture, bool *connected, const bool *dead,
                 unsigned count)
{
  char *log = g_strdup (fixture->log->str);
  g_string_truncate (fixture->log, 0);
  for (unsigned i = 0; i < count; i++)
    {
      char *id = g_strdup_printf ("far%u", i);
      char *connect = g_strdup_printf ("connect %s;", id);
      char *drop = g_strdup_printf ("drop %s@1 ", id);
      char *entry = g_strdup_printf ("%s@1", id);
      if (strstr (log, drop) != NULL)
        connected[i] = false;
      if (strstr (log, connect) != NULL && dead[i])
        membership_connect_failed (fixture->members, id);
      else if (strstr (log, connect) != NULL)
        {
          membership_hello (fixture->members, id, 1, "far", true);
          connected[i] = true;
        }
      if (connected[i] && !dead[i])
        membership_frame_received (fixture->members, entry);
      g_free (id);
      g_free (connect);
      g_free (drop);
      g_free (entry);
    }
  g_free (log);
}

/* Guards against more than K connections to a zone, against a zone that stays
   unreachable because the chosen entries are dead, and against not returning
   to them once they run again.  */
static void
test_membership_remote_choice (void)
{
  enum
  {
    COUNT = 6
  };
  fixture_t fixture;
  bool connected[COUNT] = { false }, dead[COUNT] = { false };
  bool chosen[COUNT];
  set_up (&fixture, 2);
  for (unsigned i = 0; i < COUNT; i++)
    {
      char *id = g_strdup_printf ("far%u", i);
      membership_listed (fixture.members, id, "far", "127.0.0.1:1", false,
                         false);
      g_free (id);
    }
  for (unsigned n = 0; n < 50; n++)
    {
      step (&fixture, "wait 100");
      answer_connects (&fixture, connected, dead, COUNT);
    }
  CU_ASSERT_EQUAL (connected_remote (connected, COUNT), 2);
  memcpy (chosen, connected, sizeof chosen);
  memcpy (dead, connected, sizeof dead);
  for (unsigned n = 0; n < 200; n++)
    {
      step (&fixture, "wait 100");
      answer_connects (&fixture, connected, dead, COUNT);
    }
  CU_ASSERT_EQUAL (connected_remote (connected, COUNT), 2);
  for (unsigned i = 0; i < COUNT; i++)
    CU_ASSERT (!(connected[i] && dead[i]));
  memset (dead, 0, sizeof dead);
  for (unsigned n = 0; n < 300; n++)
    {
      step (&fixture, "wait 100");
      answer_connects (&fixture, connected, dead, COUNT);
    }
  CU_ASSERT (memcmp (chosen, connected, sizeof chosen) == 0);
  tear_down (&fixture);
}

static CU_TestInfo membership_tests[] = {
  { "faults", test_membership_faults },
  { "connects", test_membership_connects },
  { "choice in other zones", test_membership_remote_choice },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_membership_suites[] = {
  { "membership", NULL, NULL, NULL, NULL, membership_tests },
  CU_SUITE_INFO_NULL,
};
