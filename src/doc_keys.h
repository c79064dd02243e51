#ifndef MAGNOLIADOCK_DOC_KEYS_H
#define MAGNOLIADOCK_DOC_KEYS_H

#include "doc.h"

/* NAME
     doc_keys - section types and keys of the document, and their checks  */

/* Returns the row of KEY in sections of TYPE, NULL if there is none.  */
const doc_key_t *doc_key_find (doc_section_type_t type, const char *key);

/* Returns whether VALUE is allowed for the key of ROW.  If not, *EXPECTED is
   set to what is allowed, free with g_free; else to NULL.  */
bool doc_key_check (const doc_key_t *row, const char *value, char **expected);

/* Splits the text of a section header ("service ordering") into type and name
   and checks both.  *NAME points into FULL_NAME.  Returns whether they are
   valid; if not, *EXPECTED is set to what is allowed, free with g_free, else
   to NULL.  */
bool doc_full_name_check (const char *full_name, doc_section_type_t *type,
                          const char **name, char **expected);

/* Returns whether NAME is 1 to 63 of a-z, 0-9 and '-', not starting with
   '-'.  */
bool doc_name_valid (const char *name);

#endif
