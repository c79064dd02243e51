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
  { "http", bench_http_run, "requests to entries at a fixed rate" },
  { "dispatch", bench_dispatch_run, "the request core without sockets" },
  { "mesh", bench_mesh_run, "reachability of zones against peers" },
  { "sched", bench_sched_run, "the task core without sockets" },
  { NULL, NULL, NULL },
};

int
bench_run (int argc, char **argv)
{
  for (const subcommand_t *one = subcommands; argc > 1 && one->name; one++)
    if (strcmp (one->name, argv[1]) == 0)
      return one->run (argc - 1, argv + 1);
  fputs ("usage: magnoliadock bench SUBCOMMAND [OPTION...]\n\nsubcommands:\n",
         stderr);
  for (const subcommand_t *one = subcommands; one->name; one++)
    fprintf (stderr, "  %-10s %s\n", one->name, one->summary);
  return err_info (ERR_USAGE)->exit_code;
}
