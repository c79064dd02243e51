#include "test.h"

#include "auth.h"

#include <string.h>

static doc_t *
document (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  GPtrArray *errors = doc_errors_new ();
  doc_t *doc = doc_parse (text, strlen (text), errors);
  CU_ASSERT_PTR_NOT_NULL_FATAL (doc);
  g_ptr_array_free (errors, TRUE);
  g_free (text);
  return doc;
}

/* Guards against tokens that give more, or less, than the role of their
   holder. */
static void
test_check (void)
{
  static const struct
  {
    const char *header;
    err_kind_t kind;
    auth_role_t role;
    const char *name;
  } rows[] = {
    { "Bearer operator-anna:right", ERR_OK, AUTH_OPERATOR, "anna" },
    { "Bearer operator-anna:second", ERR_OK, AUTH_OPERATOR, "anna" },
    { "Bearer team-red:right", ERR_OK, AUTH_TEAM, "red" },
    { "Bearer operator-anna:wrong", ERR_UNAUTHENTICATED, AUTH_NONE, "" },
    { "Bearer operator-anna:", ERR_UNAUTHENTICATED, AUTH_NONE, "" },
    { "Bearer operator-ben:right", ERR_UNAUTHENTICATED, AUTH_NONE, "" },
    { "Bearer operator-bootstrap:boot", ERR_UNAUTHENTICATED, AUTH_NONE, "" },
    { "Bearer right", ERR_UNAUTHENTICATED, AUTH_NONE, "" },
    { "Basic operator-anna:right", ERR_UNAUTHENTICATED, AUTH_NONE, "" },
    { NULL, ERR_UNAUTHENTICATED, AUTH_NONE, "" },
  };
  char *right = auth_hash_new ("right"), *second = auth_hash_new ("second"),
       *boot = auth_hash_new ("boot");
  doc_t *doc = document ("[team red]\n[access]\noperator-anna = %s;%s\n"
                         "team-red = %s\n",
                         right, second, right);
  clk_fake_t clock;
  clk_fake_init (&clock, 0);
  auth_t *auth = auth_new (&clock.base, true, boot);
  auth_set_document (auth, doc);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      auth_identity_t identity;
      clk_fake_advance_ms (&clock, 1000);
      CU_ASSERT_EQUAL (auth_check (auth, rows[i].header, &identity),
                       rows[i].kind);
      CU_ASSERT_EQUAL (identity.role, rows[i].role);
      CU_ASSERT_STRING_EQUAL (identity.name, rows[i].name);
    }
  /* Guessing is limited, and verified tokens stay usable meanwhile.  */
  auth_identity_t identity;
  for (unsigned i = 0; i < 6; i++)
    CU_ASSERT_EQUAL (
        auth_check (auth, "Bearer operator-anna:guess", &identity),
        i < 5 ? ERR_UNAUTHENTICATED : ERR_QUOTA);
  CU_ASSERT_EQUAL (auth_check (auth, rows[0].header, &identity), ERR_OK);
  /* A token is refused as soon as the document no longer has its hash.  */
  doc_t *revoked = document ("[access]\noperator-anna = %s\n", second);
  auth_set_document (auth, revoked);
  clk_fake_advance_ms (&clock, 1000);
  CU_ASSERT_EQUAL (auth_check (auth, rows[0].header, &identity),
                   ERR_UNAUTHENTICATED);
  doc_unref (revoked);
  doc_unref (doc);
  auth_free (auth);
  g_free (right);
  g_free (second);
  g_free (boot);
}

/* Guards against access without a token on a listener that other machines can
   reach.  */
static void
test_unchecked_only_on_loopback (void)
{
  static const struct
  {
    bool loopback, document, bootstrap_hash;
    err_kind_t kind;
  } rows[] = {
    { true, false, false, ERR_OK },
    { true, true, false, ERR_OK },
    { true, true, true, ERR_UNAUTHENTICATED },
    { false, false, false, ERR_NO_CONFIG },
    { false, true, false, ERR_UNAUTHENTICATED },
    { false, true, true, ERR_UNAUTHENTICATED },
  };
  char *boot = auth_hash_new ("boot");
  clk_fake_t clock;
  clk_fake_init (&clock, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      auth_t *auth = auth_new (&clock.base, rows[i].loopback,
                               rows[i].bootstrap_hash ? boot : NULL);
      doc_t *doc = rows[i].document ? document ("[fleet]\n") : NULL;
      auth_set_document (auth, doc);
      auth_identity_t identity;
      CU_ASSERT_EQUAL (auth_check (auth, NULL, &identity), rows[i].kind);
      CU_ASSERT_EQUAL (auth_enabled (auth), rows[i].kind != ERR_OK);
      if (rows[i].bootstrap_hash)
        CU_ASSERT_EQUAL (
            auth_check (auth, "Bearer operator-bootstrap:boot", &identity),
            ERR_OK);
      doc_unref (doc);
      auth_free (auth);
    }
  g_free (boot);
}

/* Guards against a team that changes sections of other teams or the owner of
   its own.  */
static void
test_may_edit (void)
{
  static const char own[] = "[team red]\n[team blue]\n[service a]\nowner = "
                            "red\n",
                    other[] = "[team red]\n[team blue]\n[service a]\nowner = "
                              "blue\n",
                    none[] = "[service a]\n";
  static const struct
  {
    auth_role_t role;
    const char *before, *after;
    bool may;
  } rows[] = {
    { AUTH_TEAM, own, own, true },        { AUTH_TEAM, own, other, false },
    { AUTH_TEAM, other, own, false },     { AUTH_TEAM, none, own, false },
    { AUTH_TEAM, NULL, own, false },      { AUTH_TEAM, own, NULL, false },
    { AUTH_OPERATOR, other, NULL, true }, { AUTH_OPERATOR, NULL, own, true },
    { AUTH_NONE, own, own, false },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      auth_identity_t identity = { .role = rows[i].role, .name = "red" };
      doc_t *before = rows[i].before ? document ("%s", rows[i].before) : NULL;
      doc_t *after = rows[i].after ? document ("%s", rows[i].after) : NULL;
      CU_ASSERT_EQUAL (auth_may_edit (&identity,
                                      doc_section (before, "service a"),
                                      doc_section (after, "service a")),
                       rows[i].may);
      doc_unref (before);
      doc_unref (after);
    }
  auth_identity_t red = { .role = AUTH_TEAM, .name = "red" };
  CU_ASSERT (auth_may_act_for (&red, "red"));
  CU_ASSERT_FALSE (auth_may_act_for (&red, "blue"));
  CU_ASSERT_FALSE (auth_may_force (&red));
}

/* Guards against hashes that other PBKDF2 implementations would compute
   differently; this one is from Python's hashlib.pbkdf2_hmac.  */
static void
test_hash (void)
{
  static const char known[]
      = "sha256:3:000102030405060708090a0b0c0d0e0f:"
        "6cb02705136ff33baebde17e15ee7b9707000d71f7179455008bd38fbac45645";
  CU_ASSERT (auth_hash_matches (known, "passwd"));
  CU_ASSERT_FALSE (auth_hash_matches (known, "passwe"));
  CU_ASSERT_FALSE (auth_hash_matches (known, ""));
  CU_ASSERT_FALSE (auth_hash_valid ("sha256:0:00:00"));
  CU_ASSERT_FALSE (auth_hash_valid ("md5:1:00:00"));
  CU_ASSERT_FALSE (auth_hash_valid (""));
  char *a = auth_hash_new ("x"), *b = auth_hash_new ("x");
  CU_ASSERT_STRING_NOT_EQUAL (a, b);
  g_free (a);
  g_free (b);
}

static CU_TestInfo auth_tests[] = {
  { "tokens and roles", test_check },
  { "unchecked only on loopback", test_unchecked_only_on_loopback },
  { "who may edit what", test_may_edit },
  { "hashes", test_hash },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_auth_suites[] = {
  { "auth", NULL, NULL, NULL, NULL, auth_tests },
  CU_SUITE_INFO_NULL,
};
