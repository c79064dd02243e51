#ifndef MAGNOLIADOCK_MEMBERSHIP_H
#define MAGNOLIADOCK_MEMBERSHIP_H

#include "clk.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     membership - which other entries exist, and which of them are alive

   An entry process is named "ID@INCARNATION": the instance id of the entry and
   the incarnation of its process.  The instance list has only ids; the
   incarnation comes with the Hello of the process.  The module decides which
   entries to connect to: all entries of its own zone and at most K of each
   other zone.  Does no I/O.  */

typedef struct membership membership_t;

typedef enum
{
  MEMBER_KNOWN,   /* listed, but has never sent a Hello */
  MEMBER_LIVE,    /* connected */
  MEMBER_SUSPECT, /* was connected before, but is not now */
  MEMBER_LEAVING, /* connected, but announced or listed as leaving */
  /* Listed as gone, and either no frame has ever arrived, or it is not
     connected and none has arrived for as long as the list may lag.  */
  MEMBER_GONE
} member_state_t;

typedef struct
{
  /* Starts a connection to ID; the caller reports the result by
     membership_hello or membership_connect_failed.  */
  void (*connect) (void *context, const char *id, const char *address);
  /* Drops the connection to ENTRY; REASON is a short text for the log.  */
  void (*disconnect) (void *context, const char *entry, const char *reason);
  /* ENTRY is now connected, or no longer.  */
  void (*up) (void *context, const char *entry, const char *zone);
  void (*down) (void *context, const char *entry);
} membership_actions_t;

/* What to do with a connection whose Hello has arrived.  */
typedef enum
{
  MEMBERSHIP_ACCEPT,
  /* Accept; the older connection to the same process has been dropped through
     the disconnect action.  */
  MEMBERSHIP_REPLACE,
  MEMBERSHIP_REFUSE_LOWER, /* a higher incarnation of the same id is known */
  MEMBERSHIP_REFUSE_SELF,  /* the id is that of this entry */
  MEMBERSHIP_REFUSE_SECOND /* the existing connection is kept */
} membership_verdict_t;

/* SELF_ID and SELF_ZONE are copied; ACTIONS, CONTEXT and CLOCK must outlive
   the result.  REMOTE_PEERS is K; SEED is for random retry delays.  */
membership_t *membership_new (const char *self_id, int64_t self_incarnation,
                              const char *self_zone, uint32_t remote_peers,
                              const membership_actions_t *actions,
                              void *context, const clk_t *clock,
                              uint32_t seed);
void membership_free (membership_t *members);

/* The instance list shows entry ID.  ADDRESS is that of its peer port; NULL
   leaves a known address unchanged.  */
void membership_listed (membership_t *members, const char *id,
                        const char *zone, const char *address, bool leaving,
                        bool gone);

/* A Hello has arrived.  DIALED: this entry made the connection.  */
membership_verdict_t membership_hello (membership_t *members, const char *id,
                                       int64_t incarnation, const char *zone,
                                       bool dialed);
/* A frame of any type has arrived from ENTRY.  */
void membership_frame_received (membership_t *members, const char *entry);
/* The connection to ENTRY has ended.  */
void membership_closed (membership_t *members, const char *entry);
void membership_connect_failed (membership_t *members, const char *id);
/* ENTRY has announced its planned stop.  */
void membership_leaving (membership_t *members, const char *entry);

/* Starts connections and drops silent ones.  To be called at least 5 times a
   second.  */
void membership_tick (membership_t *members);

/* Returns whether the process ENTRY can never act again: a Hello with a higher
   incarnation of its id has arrived, or its id is in state MEMBER_GONE.  */
bool membership_is_gone (const membership_t *members, const char *entry);

/* Returns the state of the newest known process of ID; MEMBER_GONE for an
   unknown id.  */
member_state_t membership_state (const membership_t *members, const char *id);

/* Appends the names (char *) of the live entries of ZONE (NULL: of all zones)
   to OUT, and this entry if it is of that zone; then sorts OUT.  The free
   function of OUT has to free the names.  */
void membership_live (const membership_t *members, const char *zone,
                      GPtrArray *out);

/* Returns a number that grows whenever the result of membership_live may have
   changed.  */
uint64_t membership_version (const membership_t *members);

/* Splits "ID@INCARNATION" and returns whether ENTRY has this form.  *ID is
   owned by the caller.  */
bool membership_parse_entry (const char *entry, char **id,
                             int64_t *incarnation);

#endif
