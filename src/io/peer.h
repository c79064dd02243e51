#ifndef MAGNOLIADOCK_PEER_H
#define MAGNOLIADOCK_PEER_H

#include "clk.h"
#include "counter.h"
#include "dispatch.h"
#include "instances.h"
#include "membership.h"

#include <ev.h>
#include <glib.h>

/* NAME
     peer - connections between entries

   Listens on the peer port and keeps connections to the entries that the
   module membership selects.  Entries are named "ID@INCARNATION".  A message
   to an entry that is not connected is dropped; a function that returns a bool
   then returns false.  */

typedef struct peer peer_t;
typedef struct proxy proxy_t;

typedef struct
{
  const char *id;
  const char *zone;
  const char *listen; /* "IP:PORT" */
  int64_t incarnation;
  /* Maximum number of connections to the entries of any one other zone.  */
  uint32_t remote_peers;
  uint32_t seed;
  struct ev_loop *loop;
  const clk_t *clock;
  counter_registry_t *registry;
} peer_options_t;

/* Handlers of configuration messages, set by the module admin.  "The document"
   is the text of the configuration in the form that the module conf
   chooses.  */
typedef struct
{
  /* ENTRY states that it has REVISION, in a Hello, Heartbeat or
     ConfigAnnounce.  */
  void (*announced) (void *context, const char *entry, const char *zone,
                     uint64_t revision);
  /* ENTRY has HAVE_REVISION and asks for a newer document.  */
  void (*document_requested) (void *context, const char *entry,
                              uint64_t have_revision);
  /* The last piece of the document of REVISION has arrived from ENTRY.  DATA
     is its pieces joined and lives until this returns.  */
  void (*document_received) (void *context, const char *entry,
                             uint64_t revision, const void *data,
                             size_t length);
} peer_config_ops_t;

/* Listens.  Returns NULL and sets ERROR if the address cannot be bound.  What
   OPTIONS points to is borrowed and must outlive the result.  */
peer_t *peer_new (const peer_options_t *options, GError **error);
void peer_free (peer_t *peer);

/* Both are called before the event loop runs; peer_set_config only if the
   entry has a configuration.  */
void peer_set_proxy (peer_t *peer, proxy_t *proxy, dispatch_t *dispatch);
void peer_set_config (peer_t *peer, const peer_config_ops_t *ops,
                      void *context);

/* INSTANCE is new or changed in the instance list; other kinds than entries
   are ignored.  */
void peer_instance_changed (peer_t *peer, const instance_t *instance);
/* Adds SERVICE, which has backend servers in this zone, to the services whose
   load the heartbeats state.  */
void peer_add_service (peer_t *peer, const char *service);

/* Sets the revision stated in Hello and Heartbeat, and announces it to all
   connected entries.  */
void peer_announce_config (peer_t *peer, uint64_t revision);
/* Asks ENTRY for a document newer than HAVE_REVISION.  Returns false if ENTRY
   is not connected.  */
bool peer_fetch_config (peer_t *peer, const char *entry,
                        uint64_t have_revision);
/* Sends the document (copied) to ENTRY.  Returns false if it is larger than
   8 MiB or if ENTRY is not connected.  */
bool peer_send_config (peer_t *peer, const char *entry, uint64_t revision,
                       const void *data, size_t length);

/* These forward to membership_live, membership_version and membership_is_gone;
   see membership.h.  The list of live entries has to be read again when
   peer_version has changed.  */
void peer_live_entries (const peer_t *peer, const char *zone, GPtrArray *out);
uint64_t peer_version (const peer_t *peer);
bool peer_is_gone (const peer_t *peer, const char *entry);

/* Tells all connected entries of the planned stop.  */
void peer_announce_leaving (peer_t *peer);

/* Implementations of the dispatch_actions_t that concern other entries;
   dispatch.h explains the slot ledger and the closing statements.  */
void peer_hand_over (peer_t *peer, uint64_t id, uint32_t attempt,
                     const char *entry);
void peer_send_ledger (peer_t *peer, const char *entry,
                       const dispatch_ledger_item_t *items, uint32_t count);
void peer_want_slots (peer_t *peer, const char *entry, const char *service,
                      uint32_t count);
/* A closing statement reports the slots exchanged with MEMBERS, entries that
   are gone or stopping.  */
void peer_closing_request (peer_t *peer, const char *entry,
                           const char *const *members, uint32_t count);
void peer_closing_statement (peer_t *peer, const char *entry,
                             const char *const *members, uint32_t count,
                             const dispatch_closing_item_t *items,
                             uint32_t item_count);

#endif
