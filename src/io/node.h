#ifndef MAGNOLIADOCK_NODE_H
#define MAGNOLIADOCK_NODE_H

#include "platform_api.h"

/* NAME
     node - accepts and schedules jobs, on a platform that provides the store
     and the list of workers

   Accepts jobs from callers, answers queries about them, and owns cells.  A
   cell is a pool of workers and the jobs that run there; there is one for each
   service of the configuration.  Nodes coordinate only through the store, and
   ask each other to make calls to the store and to the advice service, which
   says which workers may run a step.  */

/* Runs a node on PLATFORM until a signal stops it.  METRICS_PORT: additional
   port that serves the metrics, which the peer port always does; 0: none.
   Returns the exit code.  */
int node_run (struct ev_loop *loop, platform_api_t *platform,
              uint16_t metrics_port);

#endif
