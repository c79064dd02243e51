#include "standin.h"

#include <string.h>

/* Ids of the requests that a backend server has begun to run, to check callers
   that were told that their request was not run.  */

static GHashTable *executed_ids;

void
standin_record_executed (const char *id)
{
  if (executed_ids == NULL)
    executed_ids
        = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  if (id != NULL)
    g_hash_table_add (executed_ids, g_strdup (id));
}

/* POST not-run: each line of the body is the id of a request whose caller was
   told that it was not run.  */
void
standin_check_not_run (standin_request_t *request)
{
  unsigned checked = 0, false_claims = 0;
  /* The data of an empty array is NULL.  */
  char *text
      = request->body->len > 0
            ? g_strndup ((const char *)request->body->data, request->body->len)
            : g_strdup ("");
  char **ids = g_strsplit (text, "\n", 0);
  for (unsigned i = 0; ids[i] != NULL; i++)
    {
      if (ids[i][0] == '\0')
        continue;
      checked++;
      if (executed_ids == NULL
          || !g_hash_table_contains (executed_ids, ids[i]))
        continue;
      false_claims++;
      standin_violation ("ran_but_said_not_run", "request %s", ids[i]);
    }
  g_strfreev (ids);
  g_free (text);
  standin_answer_json (request, 200,
                       json_pack ("{s:i, s:i}", "checked", (int)checked,
                                  "false", (int)false_claims));
}
