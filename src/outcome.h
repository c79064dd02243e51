#ifndef MAGNOLIADOCK_OUTCOME_H
#define MAGNOLIADOCK_OUTCOME_H

#include "error.h"

#include <stdbool.h>
#include <stdint.h>

/* NAME
     outcome - requests in flight and remembered outcomes by key

   The key is (incarnation, id) for requests between entries and a 128-bit hash
   for ids that callers choose.  An outcome is always kept for the promised
   time: a full table refuses new keys instead of dropping old ones, since a
   non-idempotent request whose outcome is no longer kept could run twice.  */

typedef struct outcome_table outcome_table_t;

typedef struct
{
  uint64_t high;
  uint64_t low;
} outcome_key_t;

/* What the table knows of a key.  */
typedef enum
{
  OUTCOME_SEEN_NEVER,
  OUTCOME_SEEN_IN_FLIGHT,
  OUTCOME_SEEN_ENDED,
  /* Queried before the request arrived: the request must not run any more.  */
  OUTCOME_SEEN_BARRED,
  OUTCOME_TABLE_FULL
} outcome_seen_t;

typedef struct
{
  outcome_t outcome;
  err_kind_t kind;
  uint16_t status; /* HTTP status, 0 if none */
} outcome_record_t;

/* Outcomes and barred keys are kept for RETENTION_MS.  CAPACITY is the maximum
   number of keys, each of which takes 44 bytes.  Memory grows with the number
   of keys and does not shrink.  */
outcome_table_t *outcome_table_new (uint32_t retention_ms, uint32_t capacity);
void outcome_table_free (outcome_table_t *table);

/* Returns the key of a caller's request, made from SERVICE, TEAM and the id
   that the caller chose.  */
outcome_key_t outcome_caller_key (const char *service, const char *team,
                                  const char *request_id);

/* Registers KEY as in flight and returns OUTCOME_SEEN_NEVER, or returns why
   the request must not run.  RECORD, which may be NULL, is set for
   OUTCOME_SEEN_ENDED.  */
outcome_seen_t outcome_begin (outcome_table_t *table, outcome_key_t key,
                              int64_t now_ms, outcome_record_t *record);

/* Records how the request ended.  Ignored if KEY is not in flight.  */
void outcome_end (outcome_table_t *table, outcome_key_t key, int64_t now_ms,
                  outcome_record_t record);

/* Removes KEY, in whatever state, so that it may run again.  */
void outcome_remove (outcome_table_t *table, outcome_key_t key);

/* Returns what is known of KEY; RECORD as for outcome_begin.  A key that was
   never seen is barred: a request that arrives later is refused, so the answer
   stays true.  */
outcome_seen_t outcome_query (outcome_table_t *table, outcome_key_t key,
                              int64_t now_ms, outcome_record_t *record);

/* Removes outcomes and barred keys that are older than RETENTION_MS.  */
void outcome_expire (outcome_table_t *table, int64_t now_ms);

/* Returns the number of keys in the table.  */
uint32_t outcome_count (const outcome_table_t *table);

#endif
