#ifndef MAGNOLIADOCK_ANSWER_H
#define MAGNOLIADOCK_ANSWER_H

#include "httpc.h"

#include <jansson.h>

/* NAME
     answer - parsing and classifying the JSON answers of platform services
     and workers  */

/* Timeout of a call to a platform service or worker.  */
#define ANSWER_TIMEOUT_MS 2000

/* Parses the body of RESULT as a JSON object.  Returns a new reference, or
   NULL with *DETAIL set to a static text that says what is wrong.  */
json_t *answer_parse (const httpc_result_t *result, const char **detail);

/* Error kind of RESULT, whose body is not looked at, for a request that only
   reads or that is harmless to repeat: ERR_OK for status 200 to 299,
   ERR_NOT_FOUND for 404, ERR_STORE_UNAVAILABLE for no answer, 429 and 500 or
   more, else ERR_INTERNAL.  */
err_kind_t answer_kind (const httpc_result_t *result);

/* Integer member NAME of OBJECT, or MISSING if there is none.  */
int64_t answer_integer (const json_t *object, const char *name,
                        int64_t missing);
/* String member NAME of OBJECT, NULL if there is none.  Borrowed.  */
const char *answer_string (const json_t *object, const char *name);

/* Logs an answer that is malformed or has an unexpected status.  SOURCE is
   "table", "worker"..., PATH_OR_URL that of the request, "-" if unknown;
   DETAIL may be NULL.  */
void answer_log_unexpected (const char *source, const char *path_or_url,
                            const httpc_result_t *result, const char *detail);

#endif
