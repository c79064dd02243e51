#ifndef MAGNOLIADOCK_TABLE_HTTP_H
#define MAGNOLIADOCK_TABLE_HTTP_H

#include "clk.h"
#include "httpc.h"
#include "table.h"

#include <stdbool.h>

/* NAME
     table_http - table service over HTTP (docs/contracts/table-service.md)

   An answer takes at most 2 s for each page.  The service is left alone as
   long as it asks for by Retry-After: while it is down (503) calls fail at
   once with ERR_STORE_UNAVAILABLE; when a rate was exceeded (429) calls wait
   and are sent then, a scan at most 10 times, others twice.  */

/* CLIENT, LOOP and CLOCK stay the caller's.  URL ("http://IP:PORT"
   with an optional path, no '/' at the end) is copied.  Free the result with
   table_http_free, which ends open calls without calling them back.  */
table_t *table_http_new (httpc_t *client, struct ev_loop *loop,
                         const clk_t *clock, const char *url);
void table_http_free (table_t *table);

/* What an answer of the table service means; used by table_http and tested by
   itself.  Each returns the kind for the callback.  *DETAIL is set to a static
   text that names what was wrong with an answer, or NULL.  */

/* Reads the answer to a GET of one row.  On ERR_OK *VALUE holds the answer
   (owned by the caller, keeps the row's strings) or NULL for an absent row,
   and ROW borrows from it.  */
err_kind_t table_http_read_row (const httpc_result_t *result, const char *key,
                                json_t **value, table_row_t *row,
                                const char **detail);
/* Reads one page.  *ROWS gets the array (owned by the caller).  */
err_kind_t table_http_read_page (const httpc_result_t *result, json_t **rows,
                                 bool *more, const char **detail);
/* Reads the answer to a transaction; on ERR_OK fills the versions of the
   COUNT keys of WRITES.  */
err_kind_t table_http_read_txn (const httpc_result_t *result,
                                const table_row_t *writes, uint32_t count,
                                int64_t *versions, const char **detail);

#endif
