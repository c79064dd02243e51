#ifndef MAGNOLIADOCK_DOC_KEYS_H
#define MAGNOLIADOCK_DOC_KEYS_H

#include "doc.h"

/* NAME
     doc_keys - table of section types and keys of the document  */

/* Returns the row of KEY in sections of TYPE, NULL if there is none.  */
const doc_key_t *doc_key_find (doc_type_t type, const char *key);

/* Returns whether VALUE is allowed for ROW; if not, *EXPECTED says what is,
   free with g_free.  */
bool doc_key_check (const doc_key_t *row, const char *value, char **expected);

/* Splits a group name into type and name and checks both.  *NAME points into
   GROUP.  If it is wrong, *EXPECTED says what is allowed, free with g_free. */
bool doc_full_name_check (const char *group, doc_type_t *type,
                          const char **name, char **expected);

/* Returns whether NAME is 1 to 63 of a-z, 0-9 and '-', '-' not first.  */
bool doc_name_valid (const char *name);

#endif
