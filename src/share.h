#ifndef MAGNOLIADOCK_SHARE_H
#define MAGNOLIADOCK_SHARE_H

#include "dispatch.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     share - escrow ledger of request slots

   Divides the request slots of each backend server process between the entries
   of a zone.  given[A][B][p] is a total that only A raises; B learns its
   highest value from A's messages.  An entry's slots for p are its base in the
   row shares/ZONE, minus all it has given, plus all it has learned.

   Processes and members (entries, by "ENTRY@INCARNATION") are addressed by
   small numbers, valid until the row drops them.  */

#define SHARE_NONE UINT32_MAX

typedef struct share share_t;

/* Steps whose order carries the safety argument.  Tests switch one off to show
   that their checks notice.  */
typedef struct
{
  bool deduct_before_send;  /* a gift counts before its message is made */
  bool wait_for_statements; /* a retirement needs every closing statement */
} share_rules_t;

share_t *share_new (const char *self);
void share_free (share_t *share);
void share_set_rules (share_t *share, share_rules_t rules);

/* From now on there are no slots until a row that names this entry is
   loaded.  Without it the whole limit of each process counts as own.  */
void share_require_row (share_t *share);

/* Returns the number of process KEY, making it.  */
uint32_t share_ensure_process (share_t *share, const char *key);
/* Returns the number that stands for backend server ID, which runs now as
   INCARNATION.  A restarted process goes on under the key that the row has for
   its id: entries that have not yet seen the restart still send to the same
   address, so its slots must not be divided anew.  */
uint32_t share_resolve (share_t *share, const char *id, int64_t incarnation);
/* The instance list shows the process; LIMIT is what it takes at once.  Where
   the row has divided more, each entry cuts its part; where it has divided
   less, one of them adds the rest.  */
void share_process_listed (share_t *share, uint32_t process, uint32_t limit,
                           int64_t now_ms);
/* The process does not run any more, or goes on under another number.  PROCESS
   must be resolved again before it is used.  */
void share_process_gone (share_t *share, uint32_t process, int64_t now_ms);
/* Returns whether PROCESS is gone, but still divided by the row.  Its slots
   are then given to its collector, which drops it from the row once it holds
   all of them: no entry can be left that still uses it, however long it was
   paused. */
bool share_process_awaits_drop (const share_t *share, uint32_t process);
/* Returns the member that collects the slots of PROCESS, SHARE_NONE if it is
   this entry.  */
uint32_t share_collector (const share_t *share, uint32_t process);
/* Returns the id of the backend server that PROCESS stands for (new).  */
char *share_process_id (const share_t *share, uint32_t process);
/* Numbers are below this.  */
uint32_t share_process_count (const share_t *share);
/* Slots of this entry, in use or not; may be below what is in use.  */
int32_t share_slots (const share_t *share, uint32_t process);
/* Tells how many of the slots are in use, before share_propose.  */
void share_set_in_use (share_t *share, uint32_t process, uint32_t in_use);
/* Returns what the row (or the list, while alone) says of the limit.  */
uint32_t share_limit (const share_t *share, uint32_t process);

/* Loads row shares/ZONE; see dispatch_shares_load.  */
err_kind_t share_load (share_t *share, int64_t version, const json_t *value,
                       int64_t now_ms);
/* Returns a new row or NULL; see dispatch_shares_propose.  LEAVE: this entry
   uses no slot any more and takes itself out, once every other member has made
   its closing statement about it.  */
json_t *share_propose (share_t *share, bool leave, int64_t now_ms,
                       int64_t *version);
int64_t share_version (const share_t *share);
/* Returns whether a row was loaded that names this entry.  */
bool share_is_member (const share_t *share);
/* Returns whether something waits for a newer row.  */
bool share_needs_row_update (const share_t *share);
/* Members of the row that are not gone, this entry included; at least 1.  */
uint32_t share_live_member_count (const share_t *share);
/* Names of the row's members; NULL at the end (I from 0).  */
const char *share_member_name (const share_t *share, uint32_t i);
json_t *share_row (const share_t *share); /* borrowed, NULL if absent */

/* Returns the number of member NAME, making it.  */
uint32_t share_ensure_member (share_t *share, const char *name);
/* Returns whether slots may be given to MEMBER: it is in the row and neither
   gone nor closed.  */
bool share_may_give (const share_t *share, uint32_t member);
/* Gives COUNT slots of PROCESS; the caller has checked that so many are idle.
   The message is made by share_build_message.  */
void share_give (share_t *share, uint32_t member, uint32_t process,
                 uint32_t count);
/* Takes one item of a ledger message.  Returns the process if this entry has
   more slots for it now, else SHARE_NONE.  */
uint32_t share_receive (share_t *share, uint32_t member,
                        const dispatch_given_t *item);
/* Returns the items that MEMBER has to be sent, all unconfirmed ones if
   RESEND; they live until the next call.  */
const dispatch_given_t *share_build_message (share_t *share, uint32_t member,
                                             bool resend, uint32_t *count);
/* Returns whether share_build_message would return anything without RESEND. */
bool share_has_message (const share_t *share, uint32_t member);
/* Returns whether MEMBER has confirmed all that was given to it.  */
bool share_all_confirmed (const share_t *share, uint32_t member);
/* Counts gifts that were sent before they were deducted; nothing under the
   proper rules.  */
void share_apply_late_deductions (share_t *share);

/* Retirement.  */
void share_member_gone (share_t *share, uint32_t member, int64_t now_ms);
/* Closes NAMES for good and returns this entry's statement (a new array of
   dispatch_closing_t, its strings the ledger's).  */
GArray *share_close_members (share_t *share, const char *const *names,
                             uint32_t count);
/* Takes the statement of MEMBER about NAMES.  */
void share_receive_statement (share_t *share, uint32_t member,
                              const char *const *names, uint32_t count,
                              const dispatch_closing_t *items,
                              uint32_t item_count);
/* Returns the gone members that are to be retired by this entry now (new array
   of strings, the ledger's), NULL if none.  */
GPtrArray *share_members_to_retire (share_t *share, int64_t now_ms);
/* The same for this entry if it may take itself out of the row; no member that
   is gone may be in it, as that one's statement would be missing.  */
GPtrArray *share_self_to_retire (share_t *share);
/* Returns whether the statement of member I of the row is still missing.  */
bool share_statement_missing (const share_t *share, uint32_t i,
                              const GPtrArray *retiring);

#endif
