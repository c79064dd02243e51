#include "bench.h"

#include "error.h"

#include <stdio.h>
#include <string.h>

typedef struct
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *summary;
} subcommand_t;

static const subcommand_t subcommands[] = {
  { "cell", bench_cell_run,
    "passes of a cell with many waiting steps, without sockets" },
  { "http", bench_http_run, "requests to entries at a fixed rate" },
  { "dispatch", bench_dispatch_run,
    "the request side of the core, without sockets" },
  { "load", bench_load_run,
    "jobs of a load that are served, by kind and size, without sockets" },
  { "mesh", bench_mesh_run, "links between zones by number of peers" },
  { "sched", bench_sched_run, "the task side of the core, without sockets" },
  { NULL, NULL, NULL },
};

int
bench_run (int argc, char **argv)
{
  for (const subcommand_t *row = subcommands; argc > 1 && row->name; row++)
    if (strcmp (row->name, argv[1]) == 0)
      return row->run (argc - 1, argv + 1);
  fputs ("usage: magnoliadock bench SUBCOMMAND [OPTION...]\n\nsubcommands:\n",
         stderr);
  for (const subcommand_t *row = subcommands; row->name; row++)
    fprintf (stderr, "  %-10s %s\n", row->name, row->summary);
  return err_info (ERR_USAGE)->exit_code;
}
