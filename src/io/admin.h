#ifndef MAGNOLIADOCK_ADMIN_H
#define MAGNOLIADOCK_ADMIN_H

#include "api.h"
#include "conf.h"
#include "entry.h"

/* NAME
     admin - the part of an entry with the configuration and the endpoints for
     operators

   Sets up the configuration (entry->conf is its conf_t, NULL without a table
   service), the authentication, the error budgets and the operators'
   endpoints, and passes the configuration on to dispatch.  Backend servers are
   set in dispatch only once a configuration is in force, since their limits
   are part of it.  */

extern const entry_part_t admin_part;

/* Returns the operators' API of ENTRY, for other parts whose endpoints need
   its token check.  Only if entry->conf is not NULL.  */
api_t *admin_api (const entry_t *entry);

/* Returns whether requests can be routed: a configuration is in force, or
   there is no table service that could hold one.  */
bool admin_can_route (const entry_t *entry);

#endif
