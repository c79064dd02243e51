#ifndef MAGNOLIADOCK_OPS_H
#define MAGNOLIADOCK_OPS_H

#include "api.h"
#include "conf.h"
#include "entry.h"

/* NAME
     ops - the part of an entry that operators deal with

   Opens the configuration (entry->conf is its conf_t, NULL without a table
   service), tokens, error budgets and the operators' endpoints, and passes the
   configuration on to dispatch.  Backend servers are set in dispatch only once
   a configuration is in force, because only it tells their limits.  */

extern const entry_part_t ops_part;

/* The operators' endpoints of ENTRY, for parts that add some; entry->conf is
   not NULL.  */
api_t *ops_api (const entry_t *entry);

/* Returns whether requests can be judged: a configuration is in force, or
   there is no table service to have one.  */
bool ops_can_route (const entry_t *entry);

#endif
