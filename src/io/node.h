#ifndef MAGNOLIADOCK_NODE_H
#define MAGNOLIADOCK_NODE_H

#include "site.h"

/* NAME
     node - entry process on a platform with its own store and list of workers

   Accepts jobs of callers, answers for them, and owns cells: one cell for each
   service of the configuration.  Nodes meet only through the store, and call
   each other for advice.  */

/* Runs a node on SITE until it is told to stop.  METRICS_PORT: where its
   metrics are served beside the peer port, 0: nowhere else.  Returns the exit
   code.  */
int node_run (struct ev_loop *loop, site_t *site, uint16_t metrics_port);

#endif
