#ifndef MAGNOLIADOCK_OUTCOME_H
#define MAGNOLIADOCK_OUTCOME_H

#include "error.h"

#include <stdbool.h>
#include <stdint.h>

/* NAME
     outcome - requests in flight and remembered outcomes by key

   The key is (incarnation, id) for requests between entries and a 128-bit hash
   for ids that callers choose.  An outcome is kept for the whole time that was
   promised: a full table refuses new keys instead of forgetting old ones,
   since a forgotten non-idempotent request could run twice.  */

typedef struct outcome_table outcome_table_t;

typedef struct
{
  uint64_t high;
  uint64_t low;
} outcome_key_t;

typedef enum
{
  OUTCOME_SEEN_NEVER,
  OUTCOME_SEEN_IN_FLIGHT,
  OUTCOME_SEEN_ENDED,
  OUTCOME_SEEN_BARRED, /* asked for before it arrived: must not run */
  OUTCOME_TABLE_FULL
} outcome_seen_t;

typedef struct
{
  outcome_t outcome;
  err_kind_t kind;
  uint16_t status; /* HTTP status, 0 if none */
} outcome_record_t;

/* KEEP_MS is how long outcomes and bars are kept, CAPACITY the most keys, each
   of which takes 44 bytes.  Memory grows with the keys and is not given back.
 */
outcome_table_t *outcome_table_new (uint32_t keep_ms, uint32_t capacity);
void outcome_table_free (outcome_table_t *table);

/* Returns the id of a caller's request: TEAM, SERVICE and the id it chose.  */
outcome_key_t outcome_caller_key (const char *service, const char *team,
                                  const char *request_id);

/* Registers KEY as in flight and returns OUTCOME_SEEN_NEVER, or returns why it
   must not run (RECORD, which may be NULL, is set for OUTCOME_SEEN_ENDED).  */
outcome_seen_t outcome_begin (outcome_table_t *table, outcome_key_t key,
                              int64_t now_ms, outcome_record_t *record);

/* Remembers how the request in flight ended.  Ignored for unknown keys.  */
void outcome_end (outcome_table_t *table, outcome_key_t key, int64_t now_ms,
                  outcome_record_t record);

/* Forgets a request in flight or an outcome, so that KEY may run again.  */
void outcome_forget (outcome_table_t *table, outcome_key_t key);

/* Returns what is known of KEY.  A key that was never seen is barred, so that
   its later arrival is refused and the answer stays true.  */
outcome_seen_t outcome_query (outcome_table_t *table, outcome_key_t key,
                              int64_t now_ms, outcome_record_t *record);

/* Drops what is older than the time to keep.  */
void outcome_expire (outcome_table_t *table, int64_t now_ms);

uint32_t outcome_count (const outcome_table_t *table);

#endif
