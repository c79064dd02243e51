#ifndef MAGNOLIADOCK_BENCH_H
#define MAGNOLIADOCK_BENCH_H

#include "options.h"

/* NAME
     bench - load generator and benchmarks: magnoliadock bench SUBCOMMAND

   Each subcommand has its own file bench_NAME.c and one row in the table of
   bench.c.  Each function takes the arguments from the name of its command on
   and returns the exit code.  */

int bench_run (int argc, char **argv);

/* The option --seed of the benchmarks without network; OFFSET_ is the offset
   of an int64_t in their settings_t.  */
#define BENCH_SEED_OPTION(offset_)                                            \
  {                                                                           \
    .name = "seed", .kind = OPTION_INTEGER, .offset = (offset_),              \
    .default_text = "20261204", .min = 0, .max = UINT32_MAX,                  \
    .help = "seed of all random numbers"                                      \
  }

/* Measures a pass of a cell by its workers and waiting steps.  */
int bench_cell_run (int argc, char **argv);

/* Plays loads against a cell and shows what is served, by kind and size.  */
int bench_load_run (int argc, char **argv);

/* Options of "bench http"; ends with a NULL name.  */
extern const option_t bench_http_options[];

/* Sends requests to entries in an open loop: at a fixed mean rate, without
   waiting for answers.  */
int bench_http_run (int argc, char **argv);

/* Measures the request side of the core: time of a decision, floods in one
   class, sharing of slots between entries.  */
int bench_dispatch_run (int argc, char **argv);

/* Measures how often an entry or a zone has no link to another zone, for each
   number of peers in the other zone.  */
int bench_mesh_run (int argc, char **argv);

/* Measures the task side of the core: planning, packing, memory, row writes,
   cancels, floods in one class and the start of urgent tasks.  */
int bench_sched_run (int argc, char **argv);

#endif
