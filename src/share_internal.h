#ifndef MAGNOLIADOCK_SHARE_INTERNAL_H
#define MAGNOLIADOCK_SHARE_INTERNAL_H

#include "share.h"

/* Shared by share.c (ledger and messages) and share_row.c (row and
   retirement).  */

typedef struct
{
  char *key;      /* NULL: free number */
  uint32_t limit; /* as divided by the row */
  uint32_t listed_limit;
  uint32_t in_use;
  int32_t base;
  int32_t slots;
  int32_t undeducted; /* only under broken rules */
  int32_t withheld;   /* proposed to be cut: not used until a newer row */
  bool in_row;
  bool listed;
  bool gone;
  bool dropped;       /* by a row, for good: its key never returns */
  bool drop_proposed; /* proposed to be dropped: not used until a newer row */
  int64_t
      raise_since_ms; /* since when the list allows more than the row, or 0 */
  int64_t differs_since_ms; /* since when the row and the list differ */
} share_process_t;

/* Totals between this entry and one member for one process.  */
typedef struct
{
  uint64_t given;
  uint64_t learned;
  uint64_t confirmed; /* of given, as the member has said */
  bool dirty;
} share_totals_t;

/* Net transfer of a statement: learned minus given.  */
typedef struct
{
  char *key; /* numbers may be used again before the retirement */
  int64_t net;
} share_net_t;

typedef struct
{
  char *name;
  bool in_row;
  bool closed; /* nothing is given to it or learned from it any more */
  bool gone;
  int64_t gone_ms;
  GArray *totals;          /* share_totals_t by process */
  GArray *dirty_processes; /* uint32_t, processes to be sent */
  uint32_t unconfirmed;
  GHashTable *statements; /* name of a gone member -> GArray of share_net_t */
} share_member_t;

struct share
{
  char *self;
  share_rules_t rules;
  bool row_required;
  bool row_loaded;
  bool was_member;
  bool dropped_from_row; /* the row dropped this entry */
  bool row_outdated;     /* a member unknown to the row has spoken */
  int64_t version;
  json_t *row;
  GArray *processes;           /* share_process_t */
  GArray *free_numbers;        /* uint32_t, numbers to use again */
  GHashTable *process_numbers; /* key -> uint32_t */
  GHashTable
      *row_process_numbers; /* backend id -> uint32_t of its key in the row */
  GPtrArray *members;       /* share_member_t */
  GHashTable *member_numbers; /* name -> uint32_t */
  GArray *message_items;      /* dispatch_given_t */
};

static inline share_process_t *
share_process_at (const share_t *share, uint32_t process)
{
  return &g_array_index (share->processes, share_process_t, process);
}

static inline share_member_t *
share_member_at (const share_t *share, uint32_t member)
{
  return g_ptr_array_index (share->members, member);
}

/* Inserts KEY, which the table keeps, with a copy of NUMBER.  */
static inline void
share_insert_number (GHashTable *table, char *key, uint32_t number)
{
  g_hash_table_insert (table, key, g_memdup2 (&number, sizeof number));
}

/* Returns the number of KEY, or SHARE_NONE.  */
static inline uint32_t
share_lookup_number (GHashTable *table, const char *key)
{
  const uint32_t *number = g_hash_table_lookup (table, key);
  return number != NULL ? *number : SHARE_NONE;
}

/* Returns the totals of MEMBER and PROCESS, making them.  */
share_totals_t *share_totals (share_member_t *member, uint32_t process);

/* Forgets the totals of PROCESS with every member.  */
void share_reset_totals (share_t *share, uint32_t process);

/* Makes the number of PROCESS, whose totals are 0, free for another one.  */
void share_release_number (share_t *share, uint32_t process);

/* Sets the slots of PROCESS from base and totals.  */
void share_recompute_slots (share_t *share, uint32_t process);

#endif
