#ifndef MAGNOLIADOCK_SITE_DOOR_H
#define MAGNOLIADOCK_SITE_DOOR_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     site_door - ways to the store that can fail for one node

   Each door is a port that relays connections to the store.  A test gives
   every node a door of its own and lets it fail.  */

/* Opens COUNT doors, at FIRST_PORT and the ports above it, to STORE_PORT.  */
bool site_doors_open (struct ev_loop *loop, uint32_t count,
                      uint16_t first_port, uint16_t store_port,
                      GError **error);

/* Changes the door INDEX for FOR_MS.  MODE: "busy", requests are answered 503;
   "silent", what arrives is dropped for good; "reset", connections are closed.
   "stale" has no duration: the connections that are open fall silent for
   good, new ones work.  */
void site_door_set (uint32_t index, const char *mode, int64_t for_ms);

/* Requests that have arrived at all doors, those that were refused or dropped
   included.  */
uint32_t site_door_requests (void);

#endif
