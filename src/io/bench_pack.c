#include "bench_pack.h"

#include "pack.h"

#include <math.h>
#include <stdio.h>
#include <time.h>

/* Simulated time, in steps of one second.  */
#define STEPS 6000
#define WARM_UP 1500
#define BACKFILL 400

typedef struct
{
  const char *name;
  uint32_t plain, with;
  resource_t plain_size, with_size;
  uint32_t plain_per_rack, with_per_rack;
} deployment_t;

static const deployment_t deployments[] = {
  { "Carta", 35, 13, { 16000, 65536, 0 }, { 32000, 65536, 8 }, 4, 3 },
  { "Authority", 35, 13, { 64000, 131072, 0 }, { 128000, 262144, 8 }, 4, 3 },
};

/* Reference mix, in parts of the plain worker (processors, memory) and whole
   accelerators.  Memory-heavy and processor-heavy tasks are equally frequent;
   an eighth needs accelerators.  */
typedef struct
{
  double cpu, memory;
  int64_t accelerators;
  uint32_t weight;
  int64_t run_s;
} mix_t;

static const mix_t mix[] = {
  { 1.0 / 32, 1.0 / 64, 0, 20, 60 }, { 1.0 / 16, 1.0 / 4, 0, 12, 200 },
  { 1.0 / 4, 1.0 / 16, 0, 12, 200 }, { 1.0 / 8, 1.0 / 8, 0, 16, 120 },
  { 1.0 / 2, 1.0 / 8, 0, 5, 400 },   { 1.0 / 8, 1.0 / 2, 0, 5, 400 },
  { 1.0 / 8, 1.0 / 16, 1, 6, 300 },  { 1.0 / 4, 1.0 / 8, 2, 4, 400 },
  { 1.0, 1.0 / 2, 4, 2, 500 },       { 1.5, 3.0 / 4, 8, 1, 500 },
};

typedef struct
{
  resource_t size;
  int64_t run_s;
  int64_t arrived_s;
  int64_t end_s;
  uint32_t worker;
} sim_task_t;

typedef struct
{
  double cpu, memory, accelerators; /* stranded parts of the capacity */
  double bound; /* sum that an ideal packing of the same tasks would strand */
  double wait_s;
  double decision_ns;
  double busy;
} result_t;

static sim_task_t
draw (GRand *random, const deployment_t *at, int64_t now_s)
{
  uint32_t total = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (mix); i++)
    total += mix[i].weight;
  uint32_t pick = (uint32_t)g_rand_int_range (random, 0, (gint32)total);
  size_t kind = 0;
  while (pick >= mix[kind].weight)
    pick -= mix[kind++].weight;
  double scale = g_rand_double_range (random, 0.7, 1.3);
  sim_task_t task
      = { .size = { (int64_t)(mix[kind].cpu * scale
                              * (double)at->plain_size.cpu_millis),
                    (int64_t)(mix[kind].memory * scale
                              * (double)at->plain_size.memory_mib),
                    mix[kind].accelerators },
          .run_s = (int64_t)((double)mix[kind].run_s
                             * g_rand_double_range (random, 0.5, 1.5)),
          .arrived_s = now_s };
  task.size.cpu_millis
      = MIN (task.size.cpu_millis, mix[kind].accelerators > 0
                                       ? at->with_size.cpu_millis
                                       : at->plain_size.cpu_millis);
  return task;
}

static void
make_fleet (fleet_t *fleet, const deployment_t *at)
{
  char rack[16];
  fleet_init (fleet);
  for (uint32_t i = 0; i < at->with + at->plain; i++)
    {
      /* Accelerator workers first: the order is no help to first fit.  */
      bool with = i < at->with;
      g_snprintf (rack, sizeof rack, "%c%u", with ? 'a' : 'p',
                  with ? i / at->with_per_rack
                       : (i - at->with) / at->plain_per_rack);
      fleet_set (fleet, fleet_add (fleet),
                 with ? at->with_size : at->plain_size, rack, true);
    }
}

static double
now_ns (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1e9 + (double)now.tv_nsec;
}

typedef struct
{
  fleet_t fleet;
  const pack_rule_t *rule;
  GArray *waiting, *running; /* sim_task_t */
  double placed, wait_s, decisions, spent_ns;
} sim_t;

static void
finish_tasks (sim_t *sim, int64_t now_s)
{
  for (guint i = sim->running->len; i-- > 0;)
    {
      const sim_task_t *task = &g_array_index (sim->running, sim_task_t, i);
      if (task->end_s > now_s)
        continue;
      fleet_give (&sim->fleet, task->worker, task->size);
      g_array_remove_index_fast (sim->running, i);
    }
}

/* Places in the order of arrival; what does not fit lets later tasks pass.  */
static void
place_tasks (sim_t *sim, int64_t now_s, bool count)
{
  guint kept = 0;
  for (guint i = 0; i < sim->waiting->len; i++)
    {
      sim_task_t task = g_array_index (sim->waiting, sim_task_t, i);
      int64_t worker = -1;
      if (kept < BACKFILL)
        {
          double begin_ns = now_ns ();
          worker = pack_choose (sim->rule, &sim->fleet, task.size, NULL);
          sim->spent_ns += now_ns () - begin_ns;
          sim->decisions += 1.0;
        }
      if (worker < 0)
        {
          g_array_index (sim->waiting, sim_task_t, kept++) = task;
          continue;
        }
      task.worker = (uint32_t)worker;
      task.end_s = now_s + task.run_s;
      fleet_take (&sim->fleet, task.worker, task.size);
      g_array_append_val (sim->running, task);
      if (!count)
        continue;
      sim->placed += 1.0;
      sim->wait_s += (double)(now_s - task.arrived_s);
    }
  g_array_set_size (sim->waiting, kept);
}

/* Free capacity counts as stranded up to what the waiting tasks ask for.  */
static double
stranded (int64_t free, int64_t wanted, int64_t total)
{
  return (double)MIN (free, wanted) / (double)total;
}

/* What is still stranded in a dimension when the part FIT of all that waits
   has been given its room.  */
static double
unavoidable (int64_t free, int64_t wanted, int64_t total, double fit)
{
  double left = (double)free - fit * (double)wanted;
  return MAX (0.0, MIN (left, (1.0 - fit) * (double)wanted)) / (double)total;
}

static void
sample (const sim_t *sim, result_t *result)
{
  resource_t wanted = { 0 };
  resource_t total = sim->fleet.total;
  resource_t free = resource_sub (total, sim->fleet.used);
  for (guint i = 0; i < sim->waiting->len; i++)
    wanted = resource_add (wanted,
                           g_array_index (sim->waiting, sim_task_t, i).size);
  result->cpu
      += stranded (free.cpu_millis, wanted.cpu_millis, total.cpu_millis);
  result->memory
      += stranded (free.memory_mib, wanted.memory_mib, total.memory_mib);
  result->accelerators
      += stranded (free.accelerators, wanted.accelerators, total.accelerators);
  /* An ideal packing fills the scarcest dimension; what it must leave in the
     others follows from the mix of what waits.  */
  double fit = 1.0;
  if (wanted.cpu_millis > 0)
    fit = MIN (fit, (double)free.cpu_millis / (double)wanted.cpu_millis);
  if (wanted.memory_mib > 0)
    fit = MIN (fit, (double)free.memory_mib / (double)wanted.memory_mib);
  if (wanted.accelerators > 0)
    fit = MIN (fit, (double)free.accelerators / (double)wanted.accelerators);
  result->bound += unavoidable (free.cpu_millis, wanted.cpu_millis,
                                total.cpu_millis, fit)
                   + unavoidable (free.memory_mib, wanted.memory_mib,
                                  total.memory_mib, fit)
                   + unavoidable (free.accelerators, wanted.accelerators,
                                  total.accelerators, fit);
  result->busy += 1.0 - (double)free.cpu_millis / (double)total.cpu_millis;
}

static result_t
simulate (const deployment_t *at, const pack_rule_t *rule, double load,
          uint32_t seed)
{
  result_t result = { 0 };
  sim_t sim = { .rule = rule,
                .waiting = g_array_new (FALSE, FALSE, sizeof (sim_task_t)),
                .running = g_array_new (FALSE, FALSE, sizeof (sim_task_t)) };
  make_fleet (&sim.fleet, at);
  GRand *random = g_rand_new_with_seed (seed);
  /* Mean demand of one task in core-seconds and MiB-seconds, by sampling.  */
  double cpu_s = 0.0, memory_s = 0.0;
  for (int i = 0; i < 4000; i++)
    {
      sim_task_t task = draw (random, at, 0);
      cpu_s += (double)(task.size.cpu_millis * task.run_s) / 4000.0;
      memory_s += (double)(task.size.memory_mib * task.run_s) / 4000.0;
    }
  double rate = load
                * MIN ((double)sim.fleet.total.cpu_millis / cpu_s,
                       (double)sim.fleet.total.memory_mib / memory_s);
  double due = 0.0;
  for (int64_t now_s = 0; now_s < STEPS; now_s++)
    {
      finish_tasks (&sim, now_s);
      for (due += rate * g_rand_double_range (random, 0.0, 2.0); due >= 1.0;
           due -= 1.0)
        {
          sim_task_t task = draw (random, at, now_s);
          g_array_append_val (sim.waiting, task);
        }
      place_tasks (&sim, now_s, now_s >= WARM_UP);
      if (now_s >= WARM_UP)
        sample (&sim, &result);
    }
  double samples = STEPS - WARM_UP;
  result.cpu /= samples;
  result.memory /= samples;
  result.accelerators /= samples;
  result.bound /= samples;
  result.busy /= samples;
  /* Tasks that never got room count with their age.  */
  for (guint i = 0; i < sim.waiting->len; i++)
    {
      const sim_task_t *task = &g_array_index (sim.waiting, sim_task_t, i);
      sim.wait_s += (double)(STEPS - task->arrived_s);
      sim.placed += 1.0;
    }
  result.wait_s = sim.placed > 0.0 ? sim.wait_s / sim.placed : 0.0;
  result.decision_ns = sim.spent_ns / MAX (sim.decisions, 1.0);
  g_rand_free (random);
  g_array_unref (sim.waiting);
  g_array_unref (sim.running);
  fleet_clear (&sim.fleet);
  return result;
}

json_t *
bench_pack (bool quiet, uint32_t runs, uint32_t seed)
{
  json_t *list = json_array ();
  if (!quiet)
    printf ("packing, mean of %u runs, load 1.0\n%-10s %-18s %7s %7s %7s %7s "
            "%7s %8s %9s %8s\n",
            runs, "deployment", "rule", "cpu%", "mem%", "acc%", "sum%",
            "bound%", "of ff%", "wait s", "ns");
  for (size_t d = 0; d < G_N_ELEMENTS (deployments); d++)
    {
      double first = 0.0;
      for (const pack_rule_t *rule = pack_rules; rule->name != NULL; rule++)
        {
          result_t mean = { 0 };
          for (uint32_t run = 0; run < runs; run++)
            {
              result_t one = simulate (&deployments[d], rule, 1.0, seed + run);
              mean.cpu += one.cpu / runs;
              mean.memory += one.memory / runs;
              mean.accelerators += one.accelerators / runs;
              mean.bound += one.bound / runs;
              mean.wait_s += one.wait_s / runs;
              mean.decision_ns += one.decision_ns / runs;
              mean.busy += one.busy / runs;
            }
          double sum = mean.cpu + mean.memory + mean.accelerators;
          if (rule == pack_rules)
            first = sum;
          if (!quiet)
            printf ("%-10s %-18s %7.2f %7.2f %7.2f %7.2f %7.2f %8.1f %9.1f "
                    "%8.0f\n",
                    deployments[d].name, rule->name, mean.cpu * 100.0,
                    mean.memory * 100.0, mean.accelerators * 100.0,
                    sum * 100.0, mean.bound * 100.0, sum / first * 100.0,
                    mean.wait_s, mean.decision_ns);
          json_array_append_new (
              list, json_pack ("{s:s,s:s,s:f,s:f,s:f,s:f,s:f,s:f}",
                               "deployment", deployments[d].name, "rule",
                               rule->name, "stranded_cpu", mean.cpu,
                               "stranded_memory", mean.memory,
                               "stranded_accelerators", mean.accelerators,
                               "lower_bound_sum", mean.bound, "wait_s",
                               mean.wait_s, "decision_ns", mean.decision_ns));
        }
    }
  return list;
}
