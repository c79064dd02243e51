#include "bench.h"
#include "cli.h"
#include "entry.h"
#include "error.h"
#include "platform.h"

#include <stdio.h>
#include <string.h>

#define VERSION "0.1.0"

typedef struct
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *summary;
} command_t;

static const command_t commands[] = {
  { "entry", entry_run, "run an entry process" },
  { "node", platform_node,
    "run an entry on a platform that provides the store and the workers" },
  { "submit", cli_submit, "submit jobs" },
  { "status", cli_status, "print the state of the system or of a job" },
  { "cancel", cli_cancel, "cancel jobs" },
  { "explain", cli_explain, "print the decisions about a job" },
  { "document", cli_document, "get, check, diff and apply the configuration" },
  { "report", cli_report, "print the error budgets" },
  { "settings", cli_settings, "print every flag, variable and key" },
  { "hash-token", cli_hash_token, "make a token and its hash" },
  { "bench", bench_run, "generate load and run benchmarks" },
  { NULL, NULL, NULL },
};

static void
print_usage (FILE *out)
{
  fputs ("usage: magnoliadock COMMAND [OPTION...]\n\ncommands:\n", out);
  for (const command_t *command = commands; command->name; command++)
    fprintf (out, "  %-10s %s\n", command->name, command->summary);
  fputs ("\nmagnoliadock COMMAND --help prints a command's options.\n", out);
}

int
main (int argc, char **argv)
{
  if (argc < 2)
    {
      print_usage (stderr);
      return err_info (ERR_USAGE)->exit_code;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      puts ("magnoliadock " VERSION);
      return 0;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "help") == 0)
    {
      print_usage (stdout);
      return 0;
    }
  for (const command_t *command = commands; command->name; command++)
    if (strcmp (argv[1], command->name) == 0)
      return command->run (argc - 1, argv + 1);
  fprintf (stderr, "magnoliadock: unknown command \"%s\" (see --help)\n",
           argv[1]);
  return err_info (ERR_USAGE)->exit_code;
}
