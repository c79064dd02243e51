#include "test.h"

#include "share.h"

#include <string.h>

/* Two members A and B of one zone with a process p of 8 slots, all in A's
   base.  Messages are delivered by hand, so that each fault is one step.  */
typedef struct
{
  share_t *a, *b;
  uint32_t b_at_a, a_at_b; /* number of B in A's ledger, of A in B's */
  dispatch_ledger_item_t kept_message; /* an older message from A to B */
} pair_t;

static json_t *
row_of (const char *text)
{
  json_t *row = json_loads (text, 0, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (row);
  return row;
}

static void
load (share_t *share, int64_t version, const char *text)
{
  json_t *row = row_of (text);
  CU_ASSERT_EQUAL (share_load (share, version, row, 0), ERR_OK);
  json_decref (row);
}

#define ROW_AB                                                                \
  "{\"members\":{\"a@1\":{\"p@1\":8},\"b@1\":{}},\"limits\":{\"p@1\":8}}"

static pair_t
new_pair (void)
{
  pair_t pair = { .a = share_new ("a@1"), .b = share_new ("b@1") };
  share_require_row (pair.a);
  share_require_row (pair.b);
  load (pair.a, 1, ROW_AB);
  load (pair.b, 1, ROW_AB);
  pair.b_at_a = share_ensure_member (pair.a, "b@1");
  pair.a_at_b = share_ensure_member (pair.b, "a@1");
  return pair;
}

static void
free_pair (pair_t *pair)
{
  share_free (pair->a);
  share_free (pair->b);
}

static uint32_t
process_p (share_t *share)
{
  return share_ensure_process (share, "p@1");
}

/* Carries out one step:
   g  A gives 2 slots to B
   s  A's message is delivered
   k  A's message is kept back
   o  the (old) message kept back is delivered
   l  A's message is lost
   r  A resends what is unconfirmed, and it is delivered
   c  B's message is delivered, with its confirmations
   x  B gives 1 slot to A
   y  B's message is delivered, with the slots that it gives (done like c)  */
static void
run_step (pair_t *pair, char step)
{
  uint32_t count = 0;
  const dispatch_ledger_item_t *items;
  switch (step)
    {
    case 'g':
      share_give (pair->a, pair->b_at_a, process_p (pair->a), 2);
      return;
    case 'x':
      share_give (pair->b, pair->a_at_b, process_p (pair->b), 1);
      return;
    case 'o':
      share_receive (pair->b, pair->a_at_b, &pair->kept_message);
      return;
    case 'c':
    case 'y':
      items = share_build_message (pair->b, pair->a_at_b, false, &count);
      for (uint32_t i = 0; i < count; i++)
        share_receive (pair->a, pair->b_at_a, &items[i]);
      return;
    default:
      items = share_build_message (pair->a, pair->b_at_a, step == 'r', &count);
      for (uint32_t i = 0; i < count && step != 'l'; i++)
        if (step == 'k')
          {
            pair->kept_message = items[i];
            pair->kept_message.process_key = "p@1";
          }
        else
          share_receive (pair->b, pair->a_at_b, &items[i]);
    }
}

/* Guards against slots that two entries use or that nobody has when ledger
   messages are lost, duplicated or reordered.  */
static void
test_messages (void)
{
  static const struct
  {
    const char *steps;
    int32_t a, b;
    bool confirmed;
  } cases[] = {
    { "", 8, 0, true },         { "g", 6, 0, false },
    { "gs", 6, 2, false },      { "gsc", 6, 2, true },
    { "gl", 6, 0, false },      { "glrc", 6, 2, true },
    { "gsrrrc", 6, 2, true },   { "gkgso", 4, 4, false },
    { "gkgsooc", 4, 4, true },  { "gkgrco", 4, 4, true },
    { "gsxy", 7, 1, true },     { "gscx", 6, 1, true },
    { "gscxygsc", 5, 3, true }, { "gsgsgsgsc", 0, 8, true },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      pair_t pair = new_pair ();
      for (const char *step = cases[i].steps; *step != '\0'; step++)
        run_step (&pair, *step);
      CU_ASSERT_EQUAL (share_slots (pair.a, process_p (pair.a)), cases[i].a);
      CU_ASSERT_EQUAL (share_slots (pair.b, process_p (pair.b)), cases[i].b);
      CU_ASSERT_EQUAL (share_all_confirmed (pair.a, pair.b_at_a),
                       cases[i].confirmed);
      free_pair (&pair);
    }
}

/* Guards against slots without a row that names this entry, and against
   accepting a malformed row.  */
static void
test_rows (void)
{
  static const struct
  {
    const char *row; /* NULL: absent */
    err_kind_t kind;
    int32_t slots;
  } cases[] = {
    { NULL, ERR_OK, 0 },
    { "{\"members\":{},\"limits\":{}}", ERR_OK, 0 },
    { ROW_AB, ERR_OK, 8 },
    { "{\"members\":{\"b@1\":{\"p@1\":8}},\"limits\":{\"p@1\":8}}", ERR_OK,
      0 },
    { "{\"members\":{\"a@2\":{\"p@1\":8}},\"limits\":{\"p@1\":8}}", ERR_OK,
      0 },
    { "{\"members\":{\"a@1\":{\"p@1\":\"8\"}},\"limits\":{\"p@1\":8}}",
      ERR_BAD_REQUEST, 0 },
    { "{\"members\":[],\"limits\":{}}", ERR_BAD_REQUEST, 0 },
    { "{\"members\":{}}", ERR_BAD_REQUEST, 0 },
    { "[]", ERR_BAD_REQUEST, 0 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      share_t *share = share_new ("a@1");
      share_require_row (share);
      json_t *row = cases[i].row != NULL ? row_of (cases[i].row) : NULL;
      CU_ASSERT_EQUAL (share_load (share, 3, row, 0), cases[i].kind);
      CU_ASSERT_EQUAL (share_slots (share, process_p (share)), cases[i].slots);
      json_decref (row);
      share_free (share);
    }
}

/* Guards against loading a row that is older than the loaded one, and against
   slots of an entry that the row no longer names.  */
static void
test_row_order (void)
{
  pair_t pair = new_pair ();
  load (pair.a, 0, "{\"members\":{\"b@1\":{}},\"limits\":{}}");
  CU_ASSERT_EQUAL (share_slots (pair.a, process_p (pair.a)), 8);
  load (pair.a, 2, "{\"members\":{\"b@1\":{}},\"limits\":{\"p@1\":8}}");
  CU_ASSERT_EQUAL (share_slots (pair.a, process_p (pair.a)), 0);
  int64_t version = 0;
  CU_ASSERT_PTR_NULL (share_propose (pair.a, false, 1000000, &version));
  free_pair (&pair);
}

/* Guards against a second entry that also takes all slots when it joins, and
   against a new process that no entry or each of them adds to the row.  */
static void
test_propose (void)
{
  share_t *a = share_new ("a@1"), *b = share_new ("b@1");
  share_require_row (a);
  share_require_row (b);
  share_process_listed (a, process_p (a), 8, 0);
  share_process_listed (b, process_p (b), 8, 0);
  share_load (a, 0, NULL, 0);
  share_load (b, 0, NULL, 0);
  int64_t version = -1;
  json_t *first = share_propose (a, false, 0, &version);
  CU_ASSERT_EQUAL (version, 0);
  CU_ASSERT_EQUAL (share_load (a, 1, first, 0), ERR_OK);
  CU_ASSERT_EQUAL (share_load (b, 1, first, 0), ERR_OK);
  CU_ASSERT_EQUAL (share_slots (a, process_p (a)), 8);
  CU_ASSERT_EQUAL (share_slots (b, process_p (b)), 0);
  json_t *second = share_propose (b, false, 0, &version);
  CU_ASSERT_EQUAL (version, 1);
  CU_ASSERT_EQUAL (share_load (a, 2, second, 0), ERR_OK);
  CU_ASSERT_EQUAL (share_load (b, 2, second, 0), ERR_OK);
  CU_ASSERT_EQUAL (share_slots (a, process_p (a)), 8);
  CU_ASSERT_EQUAL (share_slots (b, process_p (b)), 0);
  CU_ASSERT_PTR_NULL (share_propose (a, false, 1000, &version));
  CU_ASSERT_PTR_NULL (share_propose (b, false, 1000, &version));
  uint32_t qa = share_ensure_process (a, "q@1"),
           qb = share_ensure_process (b, "q@1");
  share_process_listed (a, qa, 8, 1000);
  share_process_listed (b, qb, 8, 1000);
  json_t *added_a = share_propose (a, false, 1000, &version);
  json_t *added_b = share_propose (b, false, 1000, &version);
  CU_ASSERT ((added_a == NULL) != (added_b == NULL));
  json_decref (added_a);
  json_decref (added_b);
  /* The first in order may be dead: after a delay the other one adds it.  */
  added_a = share_propose (a, false, 4000, &version);
  added_b = share_propose (b, false, 4000, &version);
  CU_ASSERT (added_a != NULL && added_b != NULL);
  json_decref (added_a);
  json_decref (added_b);
  json_decref (first);
  json_decref (second);
  share_free (a);
  share_free (b);
}

#define ROW_ABC                                                               \
  "{\"members\":{\"a@1\":{\"p@1\":8},\"b@1\":{},\"c@1\":{}},"                 \
  "\"limits\":{\"p@1\":8}}"

/* Guards against retiring a dead entry before its last request must have ended
   or without the statement of a live one, and against losing slots by it.  A
   (dead) gave 3 slots to B and 2 to C; C never got the message.  */
static void
test_retirement (void)
{
  static const struct
  {
    int64_t after_ms; /* since A was found gone */
    bool statement;
    bool retired;
  } cases[] = {
    { 0, true, false },
    { 61900, true, false },
    { 70000, false, false },
    { 70000, true, true },
  };
  const char *gone[] = { "a@1" };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      share_t *b = share_new ("b@1"), *c = share_new ("c@1");
      load (b, 1, ROW_ABC);
      load (c, 1, ROW_ABC);
      dispatch_ledger_item_t item = { "p@1", 3, 0, true };
      share_receive (b, share_ensure_member (b, "a@1"), &item);
      CU_ASSERT_EQUAL (share_slots (b, process_p (b)), 3);
      share_member_gone (c, share_ensure_member (c, "a@1"), 0);
      if (cases[i].statement)
        {
          GArray *items = share_close_members (b, gone, 1);
          share_receive_statement (
              c, share_ensure_member (c, "b@1"), gone, 1,
              (dispatch_closing_item_t *)(void *)items->data, items->len);
          g_array_unref (items);
          /* A late message after the statement changes nothing.  */
          item.given = 5;
          share_receive (b, share_ensure_member (b, "a@1"), &item);
        }
      int64_t version = 0;
      json_t *row = share_propose (c, false, cases[i].after_ms, &version);
      CU_ASSERT_EQUAL (row != NULL, cases[i].retired);
      if (row != NULL)
        {
          CU_ASSERT_EQUAL (share_load (b, 2, row, 0), ERR_OK);
          CU_ASSERT_EQUAL (share_load (c, 2, row, 0), ERR_OK);
          CU_ASSERT_EQUAL (share_slots (b, process_p (b)), 3);
          CU_ASSERT_EQUAL (share_slots (c, process_p (c)), 5);
        }
      json_decref (row);
      share_free (b);
      share_free (c);
    }
}

/* Guards against dividing the slots of a restarted or returning process anew
   while an entry may still use its part of the old division.  */
static void
test_gone_process (void)
{
  pair_t pair = new_pair ();
  uint32_t a = share_resolve_process (pair.a, "p", 2);
  uint32_t b = share_resolve_process (pair.b, "p", 2);
  CU_ASSERT_EQUAL (a, process_p (pair.a));
  CU_ASSERT_EQUAL (b, process_p (pair.b));
  run_step (&pair, 'g');
  run_step (&pair, 's');
  share_process_listed (pair.a, a, 8, 0);
  share_process_listed (pair.b, b, 8, 0);
  share_process_gone (pair.a, a, 1000);
  share_process_gone (pair.b, b, 1000);
  int64_t version = 0;
  CU_ASSERT_PTR_NULL (share_propose (pair.a, false, 100000, &version));
  CU_ASSERT_PTR_NULL (share_propose (pair.b, false, 100000, &version));
  bool a_collects = share_collector (pair.a, a) == SHARE_NONE;
  CU_ASSERT_NOT_EQUAL (a_collects, share_collector (pair.b, b) == SHARE_NONE);
  share_t *collector = a_collects ? pair.a : pair.b;
  uint32_t process = a_collects ? a : b;
  if (a_collects)
    {
      run_step (&pair, 'x');
      run_step (&pair, 'x');
      run_step (&pair, 'y');
    }
  else
    for (const char *step = "gggs"; *step != '\0'; step++)
      run_step (&pair, *step);
  CU_ASSERT_EQUAL (share_slots (collector, process), 8);
  json_t *row = share_propose (collector, false, 100000, &version);
  CU_ASSERT_PTR_NOT_NULL_FATAL (row);
  /* The proposal may still be written, so the slots are not used even if the
     process returns; the next row decides.  */
  share_process_listed (collector, process, 8, 101000);
  CU_ASSERT_EQUAL (share_slots (collector, process), 0);
  json_t *same = share_propose (collector, false, 102000, &version);
  CU_ASSERT_PTR_NOT_NULL_FATAL (same);
  CU_ASSERT_PTR_NOT_NULL (
      json_object_get (json_object_get (same, "limits"), "p@1"));
  CU_ASSERT_EQUAL (share_load (collector, 2, same, 102000), ERR_OK);
  CU_ASSERT_EQUAL (share_slots (collector, process), 8);
  CU_ASSERT_EQUAL (share_load (collector, 3, row, 103000), ERR_OK);
  CU_ASSERT_EQUAL (
      share_slots (collector, share_resolve_process (collector, "p", 3)), 0);
  json_decref (row);
  json_decref (same);
  free_pair (&pair);
}

/* Guards against cutting slots that are in use, against a cut that is lost or
   made twice, and against raising a limit that was just lowered.  A has 6 of 8
   slots, B has 2.  */
static void
test_limit_changes (void)
{
  static const struct
  {
    uint32_t listed, in_use;
    int64_t now_ms;
    int64_t proposed_limit; /* proposed by A, 0: none */
    int32_t slots;          /* of A until a newer row */
  } cases[] = {
    { 8, 0, 20000, 0, 6 },   { 4, 0, 20000, 5, 3 }, { 4, 5, 20000, 7, 5 },
    { 4, 6, 20000, 0, 6 },   { 1, 0, 20000, 2, 0 }, { 10, 0, 5000, 0, 6 },
    { 10, 0, 20000, 10, 6 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      pair_t pair = new_pair ();
      run_step (&pair, 'g');
      run_step (&pair, 's');
      uint32_t p = process_p (pair.a);
      int64_t version = 0;
      share_process_listed (pair.a, p, cases[i].listed, 0);
      share_set_in_use (pair.a, p, cases[i].in_use);
      /* It is unknown whether the first proposal was written: it is made again
         in full.  */
      json_decref (share_propose (pair.a, false, 1, &version));
      json_t *row = share_propose (pair.a, false, cases[i].now_ms, &version);
      json_int_t proposed_limit = json_integer_value (
          json_object_get (json_object_get (row, "limits"), "p@1"));
      CU_ASSERT_EQUAL (proposed_limit, cases[i].proposed_limit);
      CU_ASSERT_EQUAL (share_slots (pair.a, p), cases[i].slots);
      if (row != NULL)
        {
          share_load (pair.a, 2, row, cases[i].now_ms);
          share_load (pair.b, 2, row, cases[i].now_ms);
          CU_ASSERT_EQUAL (share_slots (pair.a, p)
                               + share_slots (pair.b, process_p (pair.b)),
                           proposed_limit);
        }
      json_decref (row);
      free_pair (&pair);
    }
}

static CU_TestInfo share_tests[] = {
  { "messages", test_messages },
  { "rows", test_rows },
  { "order of rows", test_row_order },
  { "proposals", test_propose },
  { "retirement", test_retirement },
  { "gone process", test_gone_process },
  { "limit changes", test_limit_changes },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_share_suites[] = {
  { "share", NULL, NULL, NULL, NULL, share_tests },
  CU_SUITE_INFO_NULL,
};
