#ifndef MAGNOLIADOCK_SHARE_H
#define MAGNOLIADOCK_SHARE_H

#include "dispatch.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     share - ledger of request slots

   Divides the request slots of each backend server process between the
   entries of a zone.  Each uses its own part without asking the others
   (escrow).  given[A][B][p], the slots of process p that A has ever given to
   B, is a total that only A raises; B learns its highest value from A's
   messages.  An entry's slots for p are its base in the row shares/ZONE, minus
   all that it has given, plus all that it has learned.

   The members of the ledger are the entries of the zone, by
   "ENTRY@INCARNATION".  Processes and members are addressed by small numbers;
   that of a process is valid until the row drops it.  */

#define SHARE_NONE UINT32_MAX

typedef struct share share_t;

/* Rules that keep the entries together from using more slots than there are.
   Tests turn one off to show that they detect the violation.  */
typedef struct
{
  /* Slots are deducted before the message that gives them is sent.  */
  bool deduct_before_send;
  bool wait_for_statements; /* a retirement needs every closing statement */
} share_rules_t;

share_t *share_new (const char *self);
void share_free (share_t *share);
void share_set_rules (share_t *share, share_rules_t rules);

/* From now on there are no slots until a row that names this entry is loaded.
   Without this call, and before the first row, the whole limit of each process
   counts as this entry's.  */
void share_require_row (share_t *share);

/* Returns the number of process KEY, adding it.  */
uint32_t share_ensure_process (share_t *share, const char *key);
/* Returns the number of backend server ID, which now runs as INCARNATION,
   adding it.  A restarted process keeps the key that the row has for its id:
   entries that have not yet seen the restart still send to the same address,
   so its slots must not be divided anew.  */
uint32_t share_resolve_process (share_t *share, const char *id,
                                int64_t incarnation);
/* The instance list shows the process; LIMIT is its number of concurrent
   requests.  If it is below the limit in the row, each entry cuts its part; if
   it is above, one of them adds the new slots.  */
void share_process_listed (share_t *share, uint32_t process, uint32_t limit,
                           int64_t now_ms);
/* The process no longer runs, or has got another number.  PROCESS must be
   resolved again before it is used.  */
void share_process_gone (share_t *share, uint32_t process, int64_t now_ms);
/* Returns whether PROCESS is gone, but still in the row.  All its slots are
   then given to its collector, which drops it from the row once it has all of
   them: no entry can then still use it, however long that entry was paused. */
bool share_process_awaits_drop (const share_t *share, uint32_t process);
/* Returns the member that collects the slots of PROCESS, SHARE_NONE if it is
   this entry.  Entries with the same row choose the same live member, by
   rendezvous hashing.  */
uint32_t share_collector (const share_t *share, uint32_t process);
/* Returns the id of the backend server of PROCESS (new string).  */
char *share_process_id (const share_t *share, uint32_t process);
/* Process numbers are below this.  */
uint32_t share_process_count (const share_t *share);
/* Returns the slots of this entry, in use or not.  There may
   be fewer than are in use.  */
int32_t share_slots (const share_t *share, uint32_t process);
/* Sets how many of the slots are in use, to be called before share_propose. */
void share_set_in_use (share_t *share, uint32_t process, uint32_t in_use);
/* Returns the request limit of PROCESS in the row, or that of the instance
   list while the row does not have it.  */
uint32_t share_limit (const share_t *share, uint32_t process);

/* Loads row shares/ZONE; see dispatch_shares_load.  */
err_kind_t share_load (share_t *share, int64_t version, const json_t *value,
                       int64_t now_ms);
/* Returns a new row or NULL; see dispatch_shares_propose.  With LEAVE, this
   entry no longer uses any slot and takes itself out of the row once every
   other member has made its closing statement about it.  */
json_t *share_propose (share_t *share, bool leave, int64_t now_ms,
                       int64_t *version);
int64_t share_version (const share_t *share);
/* Returns whether the loaded row names this entry.  An entry that a row has
   dropped is never a member again.  */
bool share_is_member (const share_t *share);
/* Returns whether a newer row has to be read or written before the ledger is
   up to date.  */
bool share_needs_row_update (const share_t *share);
/* Returns the number of members of the row that are not gone, this entry
   always included.  */
uint32_t share_live_member_count (const share_t *share);
/* Returns the name of member number I, whether it is in the row or not; NULL
   past the last one.  */
const char *share_member_name (const share_t *share, uint32_t i);
json_t *share_row (const share_t *share); /* borrowed, NULL if absent */

/* Returns the number of member NAME, adding it.  */
uint32_t share_ensure_member (share_t *share, const char *name);
/* Returns whether slots may be given to MEMBER: it is in the row and neither
   gone nor closed.  */
bool share_may_give (const share_t *share, uint32_t member);
/* Gives COUNT slots of PROCESS to MEMBER; the caller has checked that so many
   are idle.  The message is built by share_build_message.  */
void share_give (share_t *share, uint32_t member, uint32_t process,
                 uint32_t count);
/* Processes one item of a ledger message from MEMBER.  Returns the process if
   this entry has more slots for it now, else SHARE_NONE.  */
uint32_t share_receive (share_t *share, uint32_t member,
                        const dispatch_ledger_item_t *item);
/* Returns the items that have not been sent to MEMBER yet, with RESEND also
   all that it has not confirmed, and marks them as sent.  They are valid until
   the next call.  */
const dispatch_ledger_item_t *share_build_message (share_t *share,
                                                   uint32_t member,
                                                   bool resend,
                                                   uint32_t *count);
/* Returns whether share_build_message would return anything without RESEND. */
bool share_has_message (const share_t *share, uint32_t member);
/* Returns whether MEMBER has confirmed all that was given to it.  */
bool share_all_confirmed (const share_t *share, uint32_t member);
/* Deducts the slots that were given without deducting them at once; there are
   none while the rule deduct_before_send is on.  */
void share_apply_late_deductions (share_t *share);

/* Retirement of gone members.  Each survivor makes a closing statement: the
   totals between it and the gone members, which are final as it closes them at
   the same time.  With the statements of all survivors, one of them
   takes the gone members out of the row and sets the bases anew.  */
void share_member_gone (share_t *share, uint32_t member, int64_t now_ms);
/* Closes the members NAMES for good and returns this entry's statement about
   them: a new array of dispatch_closing_item_t, its strings owned by the
   ledger. */
GArray *share_close_members (share_t *share, const char *const *names,
                             uint32_t count);
/* Stores the closing statement of MEMBER about NAMES.  */
void share_receive_statement (share_t *share, uint32_t member,
                              const char *const *names, uint32_t count,
                              const dispatch_closing_item_t *items,
                              uint32_t item_count);
/* Returns the names of the gone members that this entry has to retire now (new
   array, its strings owned by the ledger), NULL if there are none.  */
GPtrArray *share_members_to_retire (share_t *share, int64_t now_ms);
/* Returns this entry's own name in the same way if it may take itself out of
   the row, else NULL.  It may not while a gone member is in the row, as that
   member's statement would be missing.  */
GPtrArray *share_self_to_retire (share_t *share);
/* Returns whether member number I has to make a statement about one of
   RETIRING and has not done so yet.  */
bool share_statement_missing (const share_t *share, uint32_t i,
                              const GPtrArray *retiring);

#endif
