#ifndef MAGNOLIADOCK_TABLE_HTTP_H
#define MAGNOLIADOCK_TABLE_HTTP_H

#include "clk.h"
#include "httpc.h"
#include "table.h"

#include <stdbool.h>

/* NAME
     table_http - table service over HTTP (docs/contracts/table-service.md)

   Each HTTP request times out after 2 s.  For the time in Retry-After, nothing
   is sent after 503 (service down), and no reads or no writes after 429 (their
   rate limit exceeded).  After 503, calls fail at once with
   ERR_STORE_UNAVAILABLE.  After 429, they wait and are then sent; a scan is
   retried at most 10 times, another call at most twice.  */

/* CLIENT, LOOP and CLOCK stay the caller's.  URL ("http://IP:PORT" with an
   optional path, no '/' at the end) is copied.  Free the result with
   table_http_free, which cancels the calls in flight without calling their
   callbacks.  */
table_t *table_http_new (httpc_t *client, struct ev_loop *loop,
                         const clk_t *clock, const char *url);
void table_http_free (table_t *table);

/* The functions below interpret an answer of the table service; they are used
   by the calls and tested on their own.  Each returns the kind for the
   callback.  *DETAIL is set to a static text that says what is wrong with the
   answer, or to NULL.  */

/* Parses the answer to a GET of one row.  On ERR_OK *VALUE is the parsed
   answer, owned by the caller, and ROW borrows from it; for an absent row
   *VALUE is NULL.  */
err_kind_t table_http_parse_row (const httpc_result_t *result, const char *key,
                                 json_t **value, table_row_t *row,
                                 const char **detail);
/* Parses one page of a scan.  *ROWS is set to the array, owned by the caller,
   or to NULL, *MORE to whether further pages follow.  */
err_kind_t table_http_parse_page (const httpc_result_t *result, json_t **rows,
                                  bool *more, const char **detail);
/* Parses the answer to a transaction; on ERR_OK fills the versions of the
   COUNT keys of WRITES.  */
err_kind_t table_http_parse_txn (const httpc_result_t *result,
                                 const table_row_t *writes, uint32_t count,
                                 int64_t *versions, const char **detail);

#endif
