#include "test.h"

#include "auth.h"
#include "doc.h"

#include <stdio.h>
#include <string.h>

#define TEAM "[team red]\ncpu-millis = 1000\n"

static const char sample[] = "# whole fleet\n"
                             "[fleet]\npacking = best-fit\n\n"
                             "# red pays\n" TEAM "\n"
                             "[service ordering]\nowner = red\n"
                             "request-limit = 6\n\n"
                             "[objective ordering]\nwait-ms = 250\n\n"
                             "[class urgent]\nweight = 60\n";

static doc_t *
parse (const char *text, GPtrArray *errors)
{
  return doc_parse (text, strlen (text), errors);
}

/* Guards against errors without position, or without what was expected.  */
static void
test_error_positions (void)
{
  static const struct
  {
    const char *text, *error;
  } rows[] = {
    { "[service a]\nrequest-limit = 0\n",
      "line 2, column 17: [service a] request-limit: \"0\", expected a whole "
      "number from 1 to 1024 (requests)" },
    { "[service a]\n  colour = red\n", "line 2, column 3: [service a] colour: "
                                       "unknown key, expected one of: "
                                       "request-limit" },
    { "[srv a]\n", "line 1, column 1: [srv a] unknown section, expected one "
                   "of the section types: access fleet" },
    { "[class odd]\n", "expected one of urgent|standard|bulk" },
    { "[service]\n", "expected [service NAME]" },
    { "[fleet x]\n", "expected [fleet] without a name" },
    { "[service a\n", "line 1, column 11: unterminated section header" },
    { "weight = 1\n", "line 1, column 1: weight: key outside of a section" },
    { "[fleet]\nnonsense\n",
      "line 2, column 1: [fleet] \"nonsense\" is not a" },
    { "[fleet]\n= 3\n", "is not a setting" },
    { "[fleet]\n[fleet]\n", "line 2, column 1: [fleet] duplicate section" },
    { "[zone a]\nentries=1\nentries=2\n", "line 3, column 1: [zone a] "
                                          "entries: duplicate key" },
    { "[fleet]\npacking = fast\n", "\"fast\", expected one of first-fit|" },
    { "[team a]\nurgent-rate = 1e1\n", "expected a decimal number from 0" },
    { "[team a]\nurgent-rate = nan\n", "expected a decimal number from 0" },
    { "[zone a]\nentries = 99999999999999999999\n", "expected a whole" },
    { "[access]\noperator-a = secret\n", "not a hash, expected hashes" },
    { "[service a]\nowner = red\n", "line 2, column 1: [service a] owner: "
                                    "there is no section [team red]" },
    { "[objective a]\n", "there is no section [service a]" },
    { "[service a]\nrequest-limit = 80\n", "64 is below request-limit 80" },
    { "[fleet]\n\xff\n", "line 2, column 1: byte 0xff, expected UTF-8" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GPtrArray *errors = doc_errors_new ();
      doc_t *doc = parse (rows[i].text, errors);
      char *text = doc_errors_text (errors);
      CU_ASSERT_PTR_NULL (doc);
      CU_ASSERT_EQUAL (errors->len, 1);
      CU_ASSERT_PTR_NOT_NULL (strstr (text, rows[i].error));
      if (strstr (text, rows[i].error) == NULL)
        printf ("row %zu: %s\n", i, text);
      g_free (text);
      doc_unref (doc);
      g_ptr_array_free (errors, TRUE);
    }
}

/* Guards against accessors that return wrong values or defaults.  */
static void
test_accessors (void)
{
  GPtrArray *errors = doc_errors_new ();
  doc_t *doc = parse (sample, errors);
  CU_ASSERT_PTR_NOT_NULL_FATAL (doc);
  doc_service_t service;
  CU_ASSERT (doc_service (doc, "ordering", &service));
  CU_ASSERT_EQUAL (service.request_limit, 6);
  CU_ASSERT_EQUAL (service.connection_limit, 64);
  CU_ASSERT_STRING_EQUAL (service.owner, "red");
  CU_ASSERT_FALSE (doc_service (NULL, "ordering", &service));
  CU_ASSERT_EQUAL (service.request_limit, 8);
  CU_ASSERT_EQUAL (service.connection_limit, 64);
  static const uint32_t weights[CLASS_COUNT] = { 60, 35, 15 };
  for (unsigned i = 0; i < CLASS_COUNT; i++)
    {
      doc_class_t class;
      doc_class (doc, (class_t)i, &class);
      CU_ASSERT_EQUAL (class.weight, weights[i]);
    }
  doc_team_t team;
  CU_ASSERT (doc_team (doc, "red", &team));
  CU_ASSERT_EQUAL (team.quota.cpu_millis, 1000);
  CU_ASSERT_EQUAL (team.urgent_rate, 10);
  CU_ASSERT_FALSE (doc_team (doc, "blue", &team));
  CU_ASSERT_FALSE (team.has_quota);
  doc_objective_t objective;
  CU_ASSERT (doc_objective (doc, "ordering", &objective));
  CU_ASSERT_EQUAL (objective.wait_ms, 250);
  CU_ASSERT_DOUBLE_EQUAL (objective.availability, 0.999, 1e-9);
  doc_fleet_t fleet;
  CU_ASSERT (doc_fleet (doc, &fleet));
  CU_ASSERT_STRING_EQUAL (fleet.packing, "best-fit");
  doc_unref (doc);
  g_ptr_array_free (errors, TRUE);
}

/* Guards against comments that get lost or move to another section.  */
static void
test_print_keeps_text (void)
{
  GPtrArray *errors = doc_errors_new ();
  doc_t *doc = parse (sample, errors);
  CU_ASSERT_PTR_NOT_NULL_FATAL (doc);
  GString *out = g_string_new (NULL);
  doc_print (doc, out);
  CU_ASSERT_STRING_EQUAL (out->str, sample);
  CU_ASSERT_STRING_EQUAL (doc_section_text (doc_section (doc, "team red")),
                          "# red pays\n" TEAM);
  g_string_free (out, TRUE);
  doc_unref (doc);
  g_ptr_array_free (errors, TRUE);
}

/* Guards against an edit of one section that breaks another, and against
   unknown keys of a newer version that block edits of other sections.  */
static void
test_replace_section (void)
{
  static const struct
  {
    const char *name, *text, *error;
  } rows[] = {
    { "service ordering", "[service ordering]\nrequest-limit = 5\n", NULL },
    { "zone new", "[zone new]\n", NULL },
    { "objective ordering", "", NULL },
    { "service ordering", "", "there is no section [service ordering]" },
    { "team red", " \n", "there is no section [team red]" },
    { "team red", TEAM "[fleet]\n", "holds 2 sections" },
    { "team red", "[team blue]\n", "expected only [team red]" },
    { "team red", "[team red]\nnew = 1\n",
      "line 2, column 1: [team red] new" },
  };
  GPtrArray *errors = doc_errors_new (), *unknown = doc_errors_new ();
  char *newer
      = g_strconcat (sample, "[fleet-2]\na = b\n[zone z]\nnew = 1\n", NULL);
  doc_t *doc = doc_parse_stored (newer, strlen (newer), errors, unknown);
  CU_ASSERT_PTR_NOT_NULL_FATAL (doc);
  CU_ASSERT_EQUAL (unknown->len, 2);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GPtrArray *found = doc_errors_new ();
      doc_t *after
          = doc_replace_section (doc, rows[i].name, rows[i].text, found);
      char *text = doc_errors_text (found);
      CU_ASSERT_EQUAL (after == NULL, rows[i].error != NULL);
      if (rows[i].error != NULL)
        CU_ASSERT_PTR_NOT_NULL (strstr (text, rows[i].error));
      g_free (text);
      doc_unref (after);
      g_ptr_array_free (found, TRUE);
    }
  doc_unref (doc);
  g_free (newer);
  g_ptr_array_free (errors, TRUE);
  g_ptr_array_free (unknown, TRUE);
}

/* Guards against limits below what is in use, removal of a section that work
   needs, and removal of the last operator.  */
static void
test_check_use (void)
{
  static const doc_use_t use[] = {
    { "service a", "request-limit", 7, "requests at a-1" },
    { "service a", NULL, 3, "processes" },
    { "team red", "cpu-millis", 9000, "thousandths of a core" },
  };
#define HASH                                                                  \
  "sha256:1:00000000000000000000000000000000:"                                \
  "0000000000000000000000000000000000000000000000000000000000000000"
  static const struct
  {
    const char *name, *before, *after, *error;
  } rows[] = {
    { "service a", "[service a]\n", "[service a]\nrequest-limit = 7\n", NULL },
    { "service a", "[service a]\n", "[service a]\nrequest-limit = 6\n",
      "request-limit: 6 is below the current use of 7 requests at a-1" },
    { "service a", "[service a]\nrequest-limit = 6\n",
      "[service a]\nrequest-limit = 6\nspill-after-ms = 9\n", NULL },
    { "service a", "[service a]\n", NULL, "blocked by 3 processes" },
    { "service b", "[service b]\n", NULL, NULL },
    { "team red", "[team red]\ncpu-millis = 10000\n", "[team red]\n",
      "cpu-millis: 0 is below" },
    { "access", "[access]\noperator-a = " HASH "\n", "[access]\n",
      "no operator token is left" },
    { "access", "[access]\noperator-a = " HASH "\n",
      "[access]\noperator-b = " HASH "\n", NULL },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GPtrArray *errors = doc_errors_new ();
      doc_t *before = parse (rows[i].before, errors);
      doc_t *after
          = rows[i].after != NULL ? parse (rows[i].after, errors) : NULL;
      CU_ASSERT_EQUAL_FATAL (errors->len, 0);
      bool allowed = doc_check_use (
          rows[i].name, doc_section (before, rows[i].name),
          doc_section (after, rows[i].name), use, G_N_ELEMENTS (use), errors);
      char *text = doc_errors_text (errors);
      CU_ASSERT_EQUAL (allowed, rows[i].error == NULL);
      if (rows[i].error != NULL)
        CU_ASSERT_PTR_NOT_NULL (strstr (text, rows[i].error));
      g_free (text);
      doc_unref (before);
      doc_unref (after);
      g_ptr_array_free (errors, TRUE);
    }
}

/* Guards against a diff that hides or invents a change.  */
static void
test_diff (void)
{
  static const struct
  {
    const char *before, *after, *diff;
  } rows[] = {
    { "[zone a]\nentries = 2\n", "# more\n[zone a]\nentries = 3\n",
      "-entries = 2\n+entries = 3\n" },
    { "[zone a]\nentries = 2\n", "[zone a]\n",
      "-entries = 2\n+entries = 1\n" },
    { "[zone a]\nentries = 2\n", "# note\n[zone a]\nentries=2\n", "" },
    { NULL, "[zone a]\nentries = 2\n", "+entries = 2\n" },
    { "[zone a]\nentries = 2\n", NULL, "-entries = 2\n" },
  };
  GPtrArray *errors = doc_errors_new ();
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      doc_t *before = rows[i].before ? parse (rows[i].before, errors) : NULL;
      doc_t *after = rows[i].after ? parse (rows[i].after, errors) : NULL;
      GString *out = g_string_new (NULL);
      bool differs = doc_diff (doc_section (before, "zone a"),
                               doc_section (after, "zone a"), out);
      CU_ASSERT_EQUAL (differs, rows[i].diff[0] != '\0');
      CU_ASSERT_STRING_EQUAL (out->str, rows[i].diff);
      g_string_free (out, TRUE);
      doc_unref (before);
      doc_unref (after);
    }
  g_ptr_array_free (errors, TRUE);
}

/* Compares DOC with how GKeyFile parses the same TEXT.  */
static void
compare_with_key_file (const doc_t *doc, const char *text)
{
  GKeyFile *file = g_key_file_new ();
  CU_ASSERT (g_key_file_load_from_data (file, text, strlen (text),
                                        G_KEY_FILE_NONE, NULL));
  for (size_t i = 0; i < doc_section_count (doc); i++)
    {
      const doc_section_t *section = doc_section_at (doc, i);
      const char *name = doc_section_full_name (section);
      char **names = g_key_file_get_keys (file, name, NULL, NULL);
      for (char **key = names; key != NULL && *key != NULL; key++)
        {
          char *value = g_key_file_get_value (file, name, *key, NULL);
          CU_ASSERT_STRING_EQUAL (g_strchomp (value),
                                  doc_section_value (section, *key));
          g_free (value);
        }
      g_strfreev (names);
    }
  g_key_file_free (file);
}

/* Guards against crashes on malformed text, against a document that changes
   when it is printed and parsed, and against values that differ from those of
   GKeyFile.  */
static void
test_mutations (void)
{
  static const char alphabet[] = "[]=#\n \t0199-;az\r.\"";
  GRand *random = g_rand_new_with_seed (test_seed ());
  unsigned accepted = 0;
  for (unsigned i = 0; i < 3000; i++)
    {
      GString *text = g_string_new (sample);
      int changes = g_rand_int_range (random, 1, 4);
      for (int change = 0; change < changes; change++)
        {
          gsize at = (gsize)g_rand_int_range (random, 0, (int)text->len);
          char byte
              = alphabet[g_rand_int_range (random, 0, sizeof alphabet - 1)];
          switch (g_rand_int_range (random, 0, 3))
            {
            case 0:
              text->str[at] = byte;
              break;
            case 1:
              g_string_insert_c (text, (gssize)at, byte);
              break;
            default:
              g_string_erase (text, (gssize)at, 1);
            }
        }
      GPtrArray *errors = doc_errors_new ();
      doc_t *doc = doc_parse (text->str, text->len, errors);
      CU_ASSERT_EQUAL (doc == NULL, errors->len > 0);
      if (doc != NULL)
        {
          accepted++;
          compare_with_key_file (doc, text->str);
          GString *once = g_string_new (NULL), *twice = g_string_new (NULL);
          doc_print (doc, once);
          doc_t *again = doc_parse (once->str, once->len, errors);
          CU_ASSERT_PTR_NOT_NULL_FATAL (again);
          doc_print (again, twice);
          CU_ASSERT_STRING_EQUAL (once->str, twice->str);
          doc_unref (again);
          g_string_free (once, TRUE);
          g_string_free (twice, TRUE);
        }
      doc_unref (doc);
      g_ptr_array_free (errors, TRUE);
      g_string_free (text, TRUE);
    }
  CU_ASSERT (accepted > 100);
  g_rand_free (random);
}

/* Guards against a shipped document that an entry would refuse, and against
   class weights that do not fit the deployments: carta gives bulk more weight
   than authority does.  */
static void
test_deployments (void)
{
  static const struct
  {
    const char *file;
    const char *services[2];
    unsigned zones;
  } rows[] = {
    { "deploy/carta.conf", { "ordering", "inspection" }, 4 },
    { "deploy/authority.conf", { "dispatch", "yard-vision" }, 4 },
  };
  doc_class_t bulk[2] = { 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      char *text;
      gsize length;
      CU_ASSERT_FATAL (
          g_file_get_contents (rows[i].file, &text, &length, NULL));
      GPtrArray *errors = doc_errors_new ();
      doc_t *doc = doc_parse (text, length, errors);
      CU_ASSERT_PTR_NOT_NULL_FATAL (doc);
      unsigned zones = 0, entries = 0;
      for (size_t s = 0; s < doc_section_count (doc); s++)
        {
          const doc_section_t *section = doc_section_at (doc, s);
          if (doc_section_type (section) != DOC_ZONE)
            continue;
          doc_zone_t zone;
          doc_zone (doc, doc_section_name (section), &zone);
          zones++;
          entries += zone.entries;
        }
      CU_ASSERT_EQUAL (zones, rows[i].zones);
      CU_ASSERT (entries >= 6 && entries <= 9);
      for (unsigned s = 0; s < 2; s++)
        {
          doc_service_t service;
          doc_objective_t objective;
          CU_ASSERT (doc_service (doc, rows[i].services[s], &service));
          CU_ASSERT_EQUAL (service.request_limit, 8);
          CU_ASSERT_EQUAL (service.connection_limit, 64);
          CU_ASSERT (doc_objective (doc, rows[i].services[s], &objective));
        }
      CU_ASSERT (doc_class (doc, CLASS_BULK, &bulk[i]));
      doc_unref (doc);
      g_ptr_array_free (errors, TRUE);
      g_free (text);
    }
  CU_ASSERT (bulk[0].weight > bulk[1].weight);
}

static CU_TestInfo doc_tests[] = {
  { "errors have a position", test_error_positions },
  { "accessors and defaults", test_accessors },
  { "print keeps the text", test_print_keeps_text },
  { "replacement of one section", test_replace_section },
  { "check against current use", test_check_use },
  { "diff", test_diff },
  { "mutated documents", test_mutations },
  { "shipped documents", test_deployments },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_doc_suites[] = {
  { "doc", NULL, NULL, NULL, NULL, doc_tests },
  CU_SUITE_INFO_NULL,
};
