#ifndef MAGNOLIADOCK_BENCH_H
#define MAGNOLIADOCK_BENCH_H

#include "options.h"

/* NAME
     bench - the load tool: magnoliadock bench SUBCOMMAND

   Each subcommand has its own file bench_NAME.c and one row in bench.c.  All
   take the arguments after "bench" and return the exit code.  */

int bench_run (int argc, char **argv);

/* The --seed row of the benches that use no network; OFFSET_ is that of an
   int64_t in their settings.  */
#define BENCH_SEED_OPTION(offset_)                                            \
  {                                                                           \
    .name = "seed", .kind = OPTION_INTEGER, .offset = (offset_),              \
    .initial = "20261204", .min = 0, .max = UINT32_MAX,                       \
    .help = "seed of all random numbers"                                      \
  }

/* Flags of "bench http"; ends with a NULL name.  */
extern const option_t bench_http_options[];

/* Requests to entries, in open loop.  */
int bench_http_run (int argc, char **argv);

/* Decision time, floods and slot sharing of the request core.  */
int bench_dispatch_run (int argc, char **argv);

/* Reachability between zones against the number of peers in each.  */
int bench_mesh_run (int argc, char **argv);
/* Placement, packing, working state, row writes, cancels and floods of the
   task core.  */
int bench_sched_run (int argc, char **argv);

#endif
