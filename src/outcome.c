#include "outcome.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#define NO_ITEM UINT32_MAX
#define INITIAL_ITEMS 256

typedef struct
{
  outcome_key_t key;
  /* When the request ended or the key was barred.  Only the low 32 bits, which
     saves memory: the table holds up to a million items.  */
  uint32_t ended_ms;
  uint32_t next_in_chain; /* in the hash bucket or in the free list */
  /* Neighbours in the order of ENDED_MS; NO_ITEM at the ends.  */
  uint32_t older;
  uint32_t newer;
  uint16_t status;
  uint8_t seen;    /* outcome_seen_t */
  uint8_t outcome; /* outcome_t */
  uint8_t kind;    /* err_kind_t */
} item_t;

struct outcome_table
{
  uint32_t retention_ms;
  uint32_t capacity; /* maximum of COUNT */
  item_t *items;
  uint32_t *buckets;     /* index of the first item, or NO_ITEM */
  uint32_t allocated;    /* length of both arrays, a power of two */
  uint32_t first_unused; /* items from this index on were never used */
  uint32_t first_free;   /* list of removed items */
  uint32_t count;
  /* Ends of the list of ended and barred keys.  */
  uint32_t oldest;
  uint32_t newest;
};

outcome_table_t *
outcome_table_new (uint32_t retention_ms, uint32_t capacity)
{
  outcome_table_t *table = g_new0 (outcome_table_t, 1);
  table->retention_ms = retention_ms;
  table->capacity = capacity;
  table->allocated = INITIAL_ITEMS;
  table->items = g_new (item_t, INITIAL_ITEMS);
  table->buckets = g_new (uint32_t, INITIAL_ITEMS);
  memset (table->buckets, 0xff, INITIAL_ITEMS * sizeof *table->buckets);
  table->first_free = table->oldest = table->newest = NO_ITEM;
  return table;
}

void
outcome_table_free (outcome_table_t *table)
{
  if (table == NULL)
    return;
  g_free (table->items);
  g_free (table->buckets);
  g_free (table);
}

outcome_key_t
outcome_caller_key (const char *service, const char *team,
                    const char *request_id)
{
  /* Hashed one by one, so that ("ab", "c") and ("a", "bc") differ.  */
  XXH64_hash_t seed = XXH3_64bits (service, strlen (service));
  seed = XXH3_64bits_withSeed (team, strlen (team), seed);
  XXH128_hash_t hash
      = XXH3_128bits_withSeed (request_id, strlen (request_id), seed);
  return (outcome_key_t){ hash.high64, hash.low64 };
}

static uint32_t *
bucket_of (const outcome_table_t *table, outcome_key_t key)
{
  /* Ids between entries are consecutive, so their bits are mixed first.  */
  uint64_t mixed = (key.high ^ key.low) * UINT64_C (0x9e3779b97f4a7c15);
  return &table->buckets[(mixed >> 32) & (table->allocated - 1)];
}

static uint32_t
find (const outcome_table_t *table, outcome_key_t key)
{
  uint32_t index = *bucket_of (table, key);
  while (index != NO_ITEM
         && (table->items[index].key.low != key.low
             || table->items[index].key.high != key.high))
    index = table->items[index].next_in_chain;
  return index;
}

static void
grow (outcome_table_t *table)
{
  table->allocated *= 2;
  table->items = g_renew (item_t, table->items, table->allocated);
  table->buckets = g_renew (uint32_t, table->buckets, table->allocated);
  memset (table->buckets, 0xff, table->allocated * sizeof *table->buckets);
  /* The table grows only when no item is free, so all are in use.  */
  for (uint32_t i = 0; i < table->first_unused; i++)
    {
      uint32_t *bucket = bucket_of (table, table->items[i].key);
      table->items[i].next_in_chain = *bucket;
      *bucket = i;
    }
}

static uint32_t
add_item (outcome_table_t *table, outcome_key_t key, outcome_seen_t seen)
{
  if (table->count >= table->capacity)
    return NO_ITEM;
  uint32_t index = table->first_free;
  if (index != NO_ITEM)
    table->first_free = table->items[index].next_in_chain;
  else
    {
      if (table->first_unused == table->allocated)
        grow (table);
      index = table->first_unused++;
    }
  uint32_t *bucket = bucket_of (table, key);
  table->items[index] = (item_t){ .key = key,
                                  .next_in_chain = *bucket,
                                  .older = NO_ITEM,
                                  .newer = NO_ITEM,
                                  .seen = (uint8_t)seen };
  *bucket = index;
  table->count++;
  return index;
}

static void
append_ended (outcome_table_t *table, uint32_t index, int64_t now_ms)
{
  item_t *item = &table->items[index];
  item->ended_ms = (uint32_t)now_ms;
  item->older = table->newest;
  if (table->newest != NO_ITEM)
    table->items[table->newest].newer = index;
  else
    table->oldest = index;
  table->newest = index;
}

static void
remove_item (outcome_table_t *table, uint32_t index)
{
  item_t *item = &table->items[index];
  uint32_t *link = bucket_of (table, item->key);
  while (*link != index)
    link = &table->items[*link].next_in_chain;
  *link = item->next_in_chain;
  if (item->seen != OUTCOME_SEEN_IN_FLIGHT)
    {
      if (item->older != NO_ITEM)
        table->items[item->older].newer = item->newer;
      else
        table->oldest = item->newer;
      if (item->newer != NO_ITEM)
        table->items[item->newer].older = item->older;
      else
        table->newest = item->older;
    }
  item->next_in_chain = table->first_free;
  table->first_free = index;
  table->count--;
}

static outcome_seen_t
read_item (const outcome_table_t *table, uint32_t index,
           outcome_record_t *record)
{
  const item_t *item = &table->items[index];
  if (item->seen == OUTCOME_SEEN_ENDED && record != NULL)
    {
      record->outcome = (outcome_t)item->outcome;
      record->kind = (err_kind_t)item->kind;
      record->status = item->status;
    }
  return (outcome_seen_t)item->seen;
}

outcome_seen_t
outcome_begin (outcome_table_t *table, outcome_key_t key, int64_t now_ms,
               outcome_record_t *record)
{
  outcome_expire (table, now_ms);
  uint32_t index = find (table, key);
  if (index != NO_ITEM)
    return read_item (table, index, record);
  return add_item (table, key, OUTCOME_SEEN_IN_FLIGHT) == NO_ITEM
             ? OUTCOME_TABLE_FULL
             : OUTCOME_SEEN_NEVER;
}

void
outcome_end (outcome_table_t *table, outcome_key_t key, int64_t now_ms,
             outcome_record_t record)
{
  uint32_t index = find (table, key);
  if (index == NO_ITEM || table->items[index].seen != OUTCOME_SEEN_IN_FLIGHT)
    return;
  item_t *item = &table->items[index];
  item->seen = OUTCOME_SEEN_ENDED;
  item->outcome = (uint8_t)record.outcome;
  item->kind = (uint8_t)record.kind;
  item->status = record.status;
  append_ended (table, index, now_ms);
}

void
outcome_remove (outcome_table_t *table, outcome_key_t key)
{
  uint32_t index = find (table, key);
  if (index != NO_ITEM)
    remove_item (table, index);
}

outcome_seen_t
outcome_query (outcome_table_t *table, outcome_key_t key, int64_t now_ms,
               outcome_record_t *record)
{
  outcome_expire (table, now_ms);
  uint32_t index = find (table, key);
  if (index != NO_ITEM)
    return read_item (table, index, record);
  index = add_item (table, key, OUTCOME_SEEN_BARRED);
  if (index == NO_ITEM)
    return OUTCOME_TABLE_FULL;
  append_ended (table, index, now_ms);
  return OUTCOME_SEEN_NEVER;
}

void
outcome_expire (outcome_table_t *table, int64_t now_ms)
{
  while (table->oldest != NO_ITEM)
    {
      uint32_t ended_ms = table->items[table->oldest].ended_ms;
      if ((uint32_t)now_ms - ended_ms < table->retention_ms)
        return;
      remove_item (table, table->oldest);
    }
}

uint32_t
outcome_count (const outcome_table_t *table)
{
  return table->count;
}
