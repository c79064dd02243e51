#include "test.h"

#include "confrev.h"

/* Guards against a revision that decreases or is applied in part.  */
static void
test_apply (void)
{
  static const struct
  {
    int64_t revision;
    const char *text;
    confrev_source_t source;
    err_kind_t kind;
    int64_t in_force;
    confrev_source_t source_after;
  } rows[] = {
    { 0, "", CONFREV_STORE, ERR_OK, 0, CONFREV_STORE },
    { 5, "[zone a]\n", CONFREV_PEERS, ERR_OK, 5, CONFREV_STORE },
    { 4, "[zone a]\nentries = 2\n", CONFREV_STORE, ERR_CONFLICT, 5,
      CONFREV_STORE },
    { 5, "[zone a]\nentries = 2\n", CONFREV_STORE, ERR_CONFLICT, 5,
      CONFREV_STORE },
    { 6, "[zone a]\nentries = x\n", CONFREV_STORE, ERR_BAD_REQUEST, 5,
      CONFREV_STORE },
    { 7, "[zone a]\nlater-key = 2\n", CONFREV_STORE, ERR_OK, 7,
      CONFREV_STORE },
    { 8, "", CONFREV_STORE, ERR_OK, 8, CONFREV_STORE },
  };
  clk_fake_t clock;
  clk_fake_init (&clock, 0);
  confrev_t *state = confrev_new (&clock.base);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GPtrArray *errors = doc_errors_new ();
      confrev_section_t section = { .name = (char *)"zone a",
                                    .version = (int64_t)i + 1,
                                    .text = (char *)rows[i].text };
      CU_ASSERT_EQUAL (confrev_apply (state, rows[i].revision, &section, 1,
                                      rows[i].source, errors),
                       rows[i].kind);
      CU_ASSERT_EQUAL (confrev_revision (state), rows[i].in_force);
      CU_ASSERT_EQUAL (confrev_source (state), rows[i].source_after);
      g_ptr_array_free (errors, TRUE);
    }
  CU_ASSERT_EQUAL (confrev_version (state, "zone a"), 7);
  CU_ASSERT_EQUAL (doc_section_count (confrev_document (state)), 0);
  confrev_free (state);
}

/* Guards against a replaced entry that acts without the configuration that the
   operation needs.  */
static void
test_operations (void)
{
  static const struct
  {
    confrev_operation_t operation;
    err_kind_t without_config, from_peers;
  } rows[] = {
    { CONFREV_ROUTE, ERR_NO_CONFIG, ERR_OK },
    { CONFREV_RENEW_LEASE, ERR_OK, ERR_OK },
    { CONFREV_STATUS, ERR_OK, ERR_OK },
    { CONFREV_AUTHORISE, ERR_NO_CONFIG, ERR_OK },
    { CONFREV_SUBMIT_JOB, ERR_NO_CONFIG, ERR_OK },
    { CONFREV_EDIT, ERR_NO_CONFIG, ERR_NO_CONFIG },
  };
  clk_fake_t clock;
  clk_fake_init (&clock, 0);
  confrev_t *state = confrev_new (&clock.base);
  GPtrArray *errors = doc_errors_new ();
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    CU_ASSERT_EQUAL (confrev_check_operation (state, rows[i].operation),
                     rows[i].without_config);
  CU_ASSERT_EQUAL (confrev_apply (state, 3, NULL, 0, CONFREV_PEERS, errors),
                   ERR_OK);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    CU_ASSERT_EQUAL (confrev_check_operation (state, rows[i].operation),
                     rows[i].from_peers);
  /* A store that is behind confirms nothing.  */
  confrev_store_seen (state, 2);
  CU_ASSERT_EQUAL (confrev_check_operation (state, CONFREV_EDIT),
                   ERR_NO_CONFIG);
  confrev_store_seen (state, 3);
  CU_ASSERT_EQUAL (confrev_check_operation (state, CONFREV_EDIT), ERR_OK);
  g_ptr_array_free (errors, TRUE);
  confrev_free (state);
}

/* Guards against fetching from an entry without a connection, and against an
   older relayed report that replaces an entry's own.  */
static void
test_peers (void)
{
  clk_fake_t clock;
  clk_fake_init (&clock, 0);
  confrev_t *state = confrev_new (&clock.base);
  const char *entry = NULL;
  CU_ASSERT_EQUAL (confrev_highest_peer_revision (state, NULL, &entry), 0);
  CU_ASSERT (confrev_peer_reported (state, "e1", "z", 4));
  CU_ASSERT_FALSE (confrev_peer_reported (state, "e1", "z", 4));
  confrev_peer_relayed (state, "e2", "y", 9);
  confrev_peer_relayed (state, "e1", "z", 3);
  CU_ASSERT_EQUAL (confrev_highest_peer_revision (state, NULL, &entry), 4);
  CU_ASSERT_STRING_EQUAL (entry, "e1");
  CU_ASSERT_EQUAL (confrev_highest_peer_revision (state, "e1", &entry), 0);
  clk_fake_advance_ms (&clock, 6000);
  confrev_peer_relayed (state, "e1", "z", 5);
  CU_ASSERT_EQUAL (confrev_highest_peer_revision (state, NULL, &entry), 0);
  confrev_peer_remove (state, "e1");
  CU_ASSERT (confrev_peer_reported (state, "e1", "z", 5));
  /* A late report of an old incarnation changes nothing.  */
  CU_ASSERT (confrev_peer_reported (state, "e3@20", "z", 5));
  CU_ASSERT_FALSE (confrev_peer_reported (state, "e3@10", "z", 7));
  CU_ASSERT_FALSE (confrev_peer_reported (state, "e3@20", "z", 5));
  CU_ASSERT (confrev_peer_reported (state, "e3@30", "z", 5));
  /* A terminated instance is named by its id, without incarnation.  */
  confrev_peer_remove (state, "e3");
  CU_ASSERT (confrev_peer_reported (state, "e3@30", "z", 5));
  confrev_free (state);
}

static CU_TestInfo confrev_tests[] = {
  { "revisions only increase", test_apply },
  { "operations without configuration", test_operations },
  { "reports of other entries", test_peers },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_confrev_suites[] = {
  { "confrev", NULL, NULL, NULL, NULL, confrev_tests },
  CU_SUITE_INFO_NULL,
};
