#ifndef MAGNOLIADOCK_FAKE_STORE_H
#define MAGNOLIADOCK_FAKE_STORE_H

#include "sched.h"

/* NAME
     fake_store - table service in memory, without delays or faults  */

typedef struct
{
  int64_t version;
  json_t *value; /* NULL: deleted */
} fake_row_t;

typedef struct
{
  GTree *rows; /* key -> fake_row_t, in key order */
  uint64_t row_writes;
} fake_store_t;

void fake_store_init (fake_store_t *store);
void fake_store_clear (fake_store_t *store);

/* Returns the row of KEY; version 0 and no value if it is absent.  Its value
   is borrowed.  */
sched_row_t fake_store_get (const fake_store_t *store, const char *key);
/* Returns the rows whose key starts with PREFIX, as an array of sched_row_t
   that the caller releases; their keys and values are borrowed.  */
GArray *fake_store_scan (const fake_store_t *store, const char *prefix);
/* Returns whether the transaction was committed; if so, VERSIONS[i] is the new
   version of WRITES[i].  */
bool fake_store_txn (fake_store_t *store, const sched_row_t *checks,
                     uint32_t check_count, const sched_row_t *writes,
                     uint32_t write_count, int64_t *versions);

#endif
