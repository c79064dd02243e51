#ifndef MAGNOLIADOCK_TABLE_H
#define MAGNOLIADOCK_TABLE_H

#include "error.h"

#include <jansson.h>
#include <stdint.h>

/* NAME
     table - interface of the platform's table service

   The calls go through the function pointers of table_ops_t, so that another
   implementation can be added as one new file.  */

typedef struct table table_t;

typedef struct
{
  const char *key;
  int64_t version; /* 0: the row is absent; ignored in a write */
  json_t *value;   /* borrowed; NULL: absent, in a write: delete the row */
} table_row_t;

/* KIND: ERR_OK, ERR_STORE_UNAVAILABLE (not read), ERR_INTERNAL (answer not
   understood).  ROWS live until the callback returns; take a reference to keep
   a value.  */
typedef void (*table_read_done_t) (void *context, err_kind_t kind,
                                   const table_row_t *rows, uint32_t count);

/* KIND: ERR_OK (committed, VERSIONS in the order of the writes), ERR_CONFLICT
   (a check failed, not committed), ERR_STORE_UNAVAILABLE (certainly not
   committed), ERR_TIMEOUT (unknown: read the rows back before reporting a
   result or retrying).  */
typedef void (*table_txn_done_t) (void *context, err_kind_t kind,
                                  const int64_t *versions, uint32_t count);

typedef struct
{
  /* Reads one row; an absent one is a row with version 0.  */
  void (*get) (table_t *self, const char *key, table_read_done_t done,
               void *context);
  /* Reads all rows whose key starts with PREFIX, in key order.  */
  void (*scan) (table_t *self, const char *prefix, table_read_done_t done,
                void *context);
  /* Commits all WRITES if every row of CHECKS has the version given there (the
     values of CHECKS are ignored).  Arguments are copied.  */
  void (*txn) (table_t *self, const table_row_t *checks, uint32_t check_count,
               const table_row_t *writes, uint32_t write_count,
               table_txn_done_t done, void *context);
} table_ops_t;

struct table
{
  const table_ops_t *ops;
};

#endif
