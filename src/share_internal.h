#ifndef MAGNOLIADOCK_SHARE_INTERNAL_H
#define MAGNOLIADOCK_SHARE_INTERNAL_H

#include "share.h"

/* Shared by share.c (ledger and its messages) and share_row.c (shares row and
   retirement of members).  */

typedef struct
{
  char *key;      /* "ID@INCARNATION", NULL: the number is free */
  uint32_t limit; /* of the row; the listed one until it is in the row */
  uint32_t listed_limit; /* from the instance list */
  uint32_t in_use;
  int32_t base; /* this entry's slots in the row */
  int32_t slots;
  int32_t undeducted; /* given, still in SLOTS; see deduct_before_send */
  int32_t withheld;   /* slots proposed to be cut, unused until a newer row */
  bool in_row;
  bool listed;
  bool gone;
  bool dropped;       /* by a row, for good: its key never returns */
  bool drop_proposed; /* its slots are not used until a newer row */
  /* Since when the list allows more than the row, 0 if it does not.  */
  int64_t raise_since_ms;
  int64_t differs_since_ms; /* since when the row and the list differ */
} share_process_t;

/* Slots of one process transferred between this entry and one member.  */
typedef struct
{
  uint64_t given;     /* to the member */
  uint64_t learned;   /* from the member, by its messages */
  uint64_t confirmed; /* part of GIVEN that the member has learned */
  bool dirty;         /* listed in the member's dirty_processes */
} share_totals_t;

/* Net transfer of one process in a closing statement: slots that the sender
   has learned from the gone member minus those that it has given to it.  */
typedef struct
{
  char *key; /* not the number, which may be reused before the retirement */
  int64_t net_slots;
} share_net_transfer_t;

typedef struct
{
  char *name;
  bool in_row;
  bool closed; /* for good: nothing is given to it or learned from it */
  bool gone;
  int64_t gone_ms;
  GArray *totals;          /* share_totals_t by process */
  GArray *dirty_processes; /* uint32_t, to be sent in the next message */
  uint32_t unconfirmed;    /* processes with GIVEN above CONFIRMED */
  /* Its closing statements: name of a gone member -> GArray of
     share_net_transfer_t.  */
  GHashTable *statements;
} share_member_t;

struct share
{
  char *self;
  share_rules_t rules;
  bool row_required;     /* no slots until a row is loaded */
  bool row_loaded;       /* or is known to be absent */
  bool was_member;       /* some row has named this entry */
  bool dropped_from_row; /* a later row no longer names it; final */
  bool row_outdated;     /* a ledger came from a member that the row lacks */
  int64_t version;
  json_t *row;                 /* NULL: absent */
  GArray *processes;           /* share_process_t */
  GArray *free_numbers;        /* uint32_t, process numbers to be reused */
  GHashTable *process_numbers; /* key -> uint32_t */
  /* Backend server id -> uint32_t, number of its key in the row */
  GHashTable *row_process_numbers;
  GPtrArray *members;         /* share_member_t */
  GHashTable *member_numbers; /* name -> uint32_t */
  GArray *message_items;      /* dispatch_ledger_item_t, result of
                                 share_build_message */
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

/* Inserts KEY (not copied) with a copy of NUMBER.  */
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

/* Returns the totals between this entry and MEMBER for PROCESS, adding them.
   Valid until the next call.  */
share_totals_t *share_totals (share_member_t *member, uint32_t process);

/* Sets the totals of PROCESS with every member to 0.  */
void share_reset_totals (share_t *share, uint32_t process);

/* Frees the number of PROCESS, whose totals are 0, for another process.  */
void share_release_number (share_t *share, uint32_t process);

/* Computes the slots of PROCESS from its base and totals.  */
void share_recompute_slots (share_t *share, uint32_t process);

#endif
