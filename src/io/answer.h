#ifndef MAGNOLIADOCK_ANSWER_H
#define MAGNOLIADOCK_ANSWER_H

#include "httpc.h"

#include <jansson.h>

/* NAME
     answer - what the clients of the platform have in common  */

/* A platform call that takes longer counts as failed.  */
#define ANSWER_LIMIT_MS 2000

/* Parses the body of RESULT as a JSON object.  Returns NULL and sets *DETAIL
   to a static text if it is none.  The caller owns the value.  */
json_t *answer_parse (const httpc_result_t *result, const char **detail);

/* Kind for a request that only reads or that is harmless to repeat, from
   everything but the body: ERR_OK for status 200 to 299, ERR_NOT_FOUND for
   404, ERR_STORE_UNAVAILABLE for no answer, 429 and 5xx, else ERR_INTERNAL. */
err_kind_t answer_kind (const httpc_result_t *result);

/* Integer member NAME of OBJECT, MISSING if there is none.  */
int64_t answer_integer (const json_t *object, const char *name,
                        int64_t missing);
/* String member NAME of OBJECT, NULL if there is none.  Borrowed.  */
const char *answer_string (const json_t *object, const char *name);

/* Logs an answer of SERVICE ("table", "worker"...) to a request for PLACE that
   cannot be understood.  */
void answer_log_bad (const char *service, const char *place,
                     const httpc_result_t *result, const char *detail);

#endif
