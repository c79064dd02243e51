#ifndef MAGNOLIADOCK_MEMBER_H
#define MAGNOLIADOCK_MEMBER_H

#include "clk.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     member - which other entries exist, and which of them are alive

   An entry is known by its instance id and the incarnation of its process,
   written "ID@INCARNATION".  The instance list names ids; the incarnation of
   the process comes with its Hello.  Decides whom to connect to: all entries
   of the own zone and at most K of each other zone.  Does no I/O.  */

typedef struct member member_t;

typedef enum
{
  MEMBER_KNOWN, /* listed, never heard */
  MEMBER_LIVE,
  MEMBER_SUSPECT, /* heard before, silent now */
  MEMBER_LEAVING, /* connected, but has announced its planned stop */
  MEMBER_GONE     /* listed as gone and not heard since */
} member_state_t;

typedef struct
{
  /* Starts a connection to ID; answered by member_hello or
     member_connect_failed.  */
  void (*connect) (void *context, const char *id, const char *address);
  /* Drops the connection to ENTRY.  */
  void (*disconnect) (void *context, const char *entry, const char *why);
  void (*up) (void *context, const char *entry, const char *zone);
  void (*down) (void *context, const char *entry);
} member_actions_t;

/* What to do with a connection whose Hello has arrived.  */
typedef enum
{
  MEMBER_ACCEPT,
  /* Accept; the older connection to the same process has been dropped through
     the disconnect action.  */
  MEMBER_REPLACE,
  MEMBER_REFUSE_LOWER, /* a higher incarnation of the same id is known */
  MEMBER_REFUSE_SELF,
  MEMBER_REFUSE_SECOND /* the existing connection is kept */
} member_verdict_t;

/* SELF_ID and SELF_ZONE are copied; ACTIONS, CONTEXT and CLOCK outlive the
   result.  REMOTE_PEERS is K.  */
member_t *member_new (const char *self_id, int64_t self_incarnation,
                      const char *self_zone, uint32_t remote_peers,
                      const member_actions_t *actions, void *context,
                      const clk_t *clock, uint32_t seed);
void member_free (member_t *member);

/* The instance list shows entry ID.  ADDRESS is its peer port.  */
void member_listed (member_t *member, const char *id, const char *zone,
                    const char *address, bool leaving, bool gone);

/* A Hello has arrived; DIALED if this entry made the connection.  */
member_verdict_t member_hello (member_t *member, const char *id,
                               int64_t incarnation, const char *zone,
                               bool dialed);
/* Any frame has arrived from ENTRY.  */
void member_heard (member_t *member, const char *entry);
/* The connection to ENTRY has ended.  */
void member_closed (member_t *member, const char *entry);
void member_connect_failed (member_t *member, const char *id);
/* ENTRY has announced its planned stop.  */
void member_leaving (member_t *member, const char *entry);

/* Starts connections and drops silent ones; called at least 5 times a
   second.  */
void member_tick (member_t *member);

/* Whether the process ENTRY can never act again: a higher incarnation of its
   id has announced itself, or the list shows the id as gone and the process
   has been silent for the list's lag.  */
bool member_is_gone (const member_t *member, const char *entry);

/* State of the newest known process of ID; MEMBER_GONE for an unknown id.  */
member_state_t member_state (const member_t *member, const char *id);

/* Appends the names of the live entries of ZONE (NULL: all) to OUT (char *,
   owned by OUT's free function), sorted; the own one included if it is of that
   zone.  */
void member_live (const member_t *member, const char *zone, GPtrArray *out);

/* Raised whenever the result of member_live may have changed.  */
uint64_t member_version (const member_t *member);

/* Splits "ID@INCARNATION".  Returns whether ENTRY has this form; *ID is owned
   by the caller.  */
bool member_parse (const char *entry, char **id, int64_t *incarnation);

#endif
