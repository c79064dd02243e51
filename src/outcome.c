#include "outcome.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define NONE UINT32_MAX
#define FIRST_SIZE 256

typedef struct
{
  outcome_key_t key;
  uint32_t ended_ms; /* low bits: the table holds up to a million of these */
  uint32_t chain;    /* next in the hash bucket or in the free list */
  uint32_t older;    /* neighbours in the order of ending; NONE at the ends */
  uint32_t newer;
  uint16_t status;
  uint8_t seen;
  uint8_t outcome;
  uint8_t kind;
} entry_t;

struct outcome_table
{
  uint32_t keep_ms;
  uint32_t capacity;
  entry_t *entries;
  uint32_t *buckets;
  uint32_t size; /* of both arrays, a power of two */
  uint32_t used; /* entries that were ever taken */
  uint32_t free;
  uint32_t count;
  uint32_t oldest;
  uint32_t newest;
};

outcome_table_t *
outcome_table_new (uint32_t keep_ms, uint32_t capacity)
{
  outcome_table_t *table = g_new0 (outcome_table_t, 1);
  table->keep_ms = keep_ms;
  table->capacity = capacity;
  table->size = FIRST_SIZE;
  table->entries = g_new (entry_t, FIRST_SIZE);
  table->buckets = g_new (uint32_t, FIRST_SIZE);
  memset (table->buckets, 0xff, FIRST_SIZE * sizeof *table->buckets);
  table->free = table->oldest = table->newest = NONE;
  return table;
}

void
outcome_table_free (outcome_table_t *table)
{
  if (table == NULL)
    return;
  g_free (table->entries);
  g_free (table->buckets);
  g_free (table);
}

outcome_key_t
outcome_caller_key (const char *service, const char *team,
                    const char *request_id)
{
  /* Hashed one by one, so that no joining of names gives another's key.  */
  XXH64_hash_t seed = XXH3_64bits (service, strlen (service));
  seed = XXH3_64bits_withSeed (team, strlen (team), seed);
  XXH128_hash_t hash
      = XXH3_128bits_withSeed (request_id, strlen (request_id), seed);
  return (outcome_key_t){ hash.high64, hash.low64 };
}

static uint32_t *
bucket_of (const outcome_table_t *table, outcome_key_t key)
{
  /* Ids between entries are consecutive, so they are mixed first.  */
  uint64_t mixed = (key.high ^ key.low) * UINT64_C (0x9e3779b97f4a7c15);
  return &table->buckets[(mixed >> 32) & (table->size - 1)];
}

static uint32_t
find (const outcome_table_t *table, outcome_key_t key)
{
  uint32_t at = *bucket_of (table, key);
  while (at != NONE
         && (table->entries[at].key.low != key.low
             || table->entries[at].key.high != key.high))
    at = table->entries[at].chain;
  return at;
}

static void
grow (outcome_table_t *table)
{
  table->size *= 2;
  table->entries = g_renew (entry_t, table->entries, table->size);
  table->buckets = g_renew (uint32_t, table->buckets, table->size);
  memset (table->buckets, 0xff, table->size * sizeof *table->buckets);
  /* Grows only when no entry is free, so all of them are in use.  */
  for (uint32_t i = 0; i < table->used; i++)
    {
      uint32_t *bucket = bucket_of (table, table->entries[i].key);
      table->entries[i].chain = *bucket;
      *bucket = i;
    }
}

static uint32_t
add (outcome_table_t *table, outcome_key_t key, outcome_seen_t seen)
{
  if (table->count >= table->capacity)
    return NONE;
  uint32_t at = table->free;
  if (at != NONE)
    table->free = table->entries[at].chain;
  else
    {
      if (table->used == table->size)
        grow (table);
      at = table->used++;
    }
  uint32_t *bucket = bucket_of (table, key);
  table->entries[at] = (entry_t){ .key = key,
                                  .chain = *bucket,
                                  .older = NONE,
                                  .newer = NONE,
                                  .seen = (uint8_t)seen };
  *bucket = at;
  table->count++;
  return at;
}

static void
append_ended (outcome_table_t *table, uint32_t at, int64_t now_ms)
{
  entry_t *entry = &table->entries[at];
  entry->ended_ms = (uint32_t)now_ms;
  entry->older = table->newest;
  if (table->newest != NONE)
    table->entries[table->newest].newer = at;
  else
    table->oldest = at;
  table->newest = at;
}

static void
drop (outcome_table_t *table, uint32_t at)
{
  entry_t *entry = &table->entries[at];
  uint32_t *link = bucket_of (table, entry->key);
  while (*link != at)
    link = &table->entries[*link].chain;
  *link = entry->chain;
  if (entry->seen != OUTCOME_SEEN_IN_FLIGHT)
    {
      if (entry->older != NONE)
        table->entries[entry->older].newer = entry->newer;
      else
        table->oldest = entry->newer;
      if (entry->newer != NONE)
        table->entries[entry->newer].older = entry->older;
      else
        table->newest = entry->older;
    }
  entry->chain = table->free;
  table->free = at;
  table->count--;
}

static outcome_seen_t
read_entry (const outcome_table_t *table, uint32_t at,
            outcome_record_t *record)
{
  const entry_t *entry = &table->entries[at];
  if (entry->seen == OUTCOME_SEEN_ENDED && record != NULL)
    {
      record->outcome = (outcome_t)entry->outcome;
      record->kind = (err_kind_t)entry->kind;
      record->status = entry->status;
    }
  return (outcome_seen_t)entry->seen;
}

outcome_seen_t
outcome_begin (outcome_table_t *table, outcome_key_t key, int64_t now_ms,
               outcome_record_t *record)
{
  outcome_expire (table, now_ms);
  uint32_t at = find (table, key);
  if (at != NONE)
    return read_entry (table, at, record);
  return add (table, key, OUTCOME_SEEN_IN_FLIGHT) == NONE ? OUTCOME_TABLE_FULL
                                                          : OUTCOME_SEEN_NEVER;
}

void
outcome_end (outcome_table_t *table, outcome_key_t key, int64_t now_ms,
             outcome_record_t record)
{
  uint32_t at = find (table, key);
  if (at == NONE || table->entries[at].seen != OUTCOME_SEEN_IN_FLIGHT)
    return;
  entry_t *entry = &table->entries[at];
  entry->seen = OUTCOME_SEEN_ENDED;
  entry->outcome = (uint8_t)record.outcome;
  entry->kind = (uint8_t)record.kind;
  entry->status = record.status;
  append_ended (table, at, now_ms);
}

void
outcome_forget (outcome_table_t *table, outcome_key_t key)
{
  uint32_t at = find (table, key);
  if (at != NONE)
    drop (table, at);
}

outcome_seen_t
outcome_query (outcome_table_t *table, outcome_key_t key, int64_t now_ms,
               outcome_record_t *record)
{
  outcome_expire (table, now_ms);
  uint32_t at = find (table, key);
  if (at != NONE)
    return read_entry (table, at, record);
  at = add (table, key, OUTCOME_SEEN_BARRED);
  if (at == NONE)
    return OUTCOME_TABLE_FULL;
  append_ended (table, at, now_ms);
  return OUTCOME_SEEN_NEVER;
}

void
outcome_expire (outcome_table_t *table, int64_t now_ms)
{
  while (table->oldest != NONE)
    {
      uint32_t ended_ms = table->entries[table->oldest].ended_ms;
      if ((uint32_t)now_ms - ended_ms < table->keep_ms)
        return;
      drop (table, table->oldest);
    }
}

uint32_t
outcome_count (const outcome_table_t *table)
{
  return table->count;
}
