#include "bench_pack.h"

#include "pack.h"

#include <math.h>
#include <stdio.h>
#include <time.h>

/* Simulated time of a run, in steps of one second; the results leave out the
   warm-up.  */
#define RUN_S 6000
#define WARM_UP_S 1500
/* Once this many waiting tasks have fit on no worker, a step tries no more. */
#define BACKFILL_DEPTH 400
#define DEMAND_SAMPLES 4000

typedef struct
{
  const char *name;
  uint32_t plain_workers, accelerator_workers;
  resource_t plain_capacity, accelerator_capacity;
  uint32_t plain_workers_per_rack, accelerator_workers_per_rack;
} deployment_t;

static const deployment_t deployments[] = {
  { "Carta", 35, 13, { 16000, 65536, 0 }, { 32000, 65536, 8 }, 4, 3 },
  { "Authority", 35, 13, { 64000, 131072, 0 }, { 128000, 262144, 8 }, 4, 3 },
};

/* A kind of task in the reference mix.  Memory-heavy and processor-heavy tasks
   are equally frequent; 13 of 83 need accelerators.  */
typedef struct
{
  double cpu, memory; /* fractions of a plain worker */
  int64_t accelerators;
  uint32_t weight;
  int64_t run_s;
} task_kind_t;

static const task_kind_t task_kinds[] = {
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
  /* Fractions of the capacity that are free although waiting tasks ask for
     them.  */
  double stranded_cpu, stranded_memory, stranded_accelerators;
  /* Sum of the stranded fractions under an ideal packing of the same tasks. */
  double lower_bound;
  double wait_s;      /* mean */
  double decision_ns; /* mean */
  double cpu_use;     /* fraction of the capacity */
} result_t;

static sim_task_t
draw_task (GRand *random, const deployment_t *deployment, int64_t now_s)
{
  uint32_t total = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (task_kinds); i++)
    total += task_kinds[i].weight;
  uint32_t pick = (uint32_t)g_rand_int_range (random, 0, (gint32)total);
  size_t kind = 0;
  while (pick >= task_kinds[kind].weight)
    pick -= task_kinds[kind++].weight;
  double scale = g_rand_double_range (random, 0.7, 1.3);
  sim_task_t task
      = { .size = { (int64_t)(task_kinds[kind].cpu * scale
                              * (double)deployment->plain_capacity.cpu_millis),
                    (int64_t)(task_kinds[kind].memory * scale
                              * (double)deployment->plain_capacity.memory_mib),
                    task_kinds[kind].accelerators },
          .run_s = (int64_t)((double)task_kinds[kind].run_s
                             * g_rand_double_range (random, 0.5, 1.5)),
          .arrived_s = now_s };
  task.size.cpu_millis = MIN (task.size.cpu_millis,
                              task_kinds[kind].accelerators > 0
                                  ? deployment->accelerator_capacity.cpu_millis
                                  : deployment->plain_capacity.cpu_millis);
  return task;
}

static void
make_fleet (fleet_t *fleet, const deployment_t *deployment)
{
  char rack[16];
  fleet_init (fleet);
  for (uint32_t i = 0;
       i < deployment->accelerator_workers + deployment->plain_workers; i++)
    {
      /* Accelerator workers first, so that the order does not favour first
         fit.  */
      bool has_accelerators = i < deployment->accelerator_workers;
      g_snprintf (rack, sizeof rack, "%c%u", has_accelerators ? 'a' : 'p',
                  has_accelerators
                      ? i / deployment->accelerator_workers_per_rack
                      : (i - deployment->accelerator_workers)
                            / deployment->plain_workers_per_rack);
      fleet_set_worker (fleet, fleet_add_worker (fleet),
                        has_accelerators ? deployment->accelerator_capacity
                                         : deployment->plain_capacity,
                        rack, true);
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
  GArray *waiting, *running;  /* sim_task_t */
  double waits, total_wait_s; /* number and sum of the waits counted */
  double decisions, total_decision_ns;
} sim_t;

static void
finish_tasks (sim_t *sim, int64_t now_s)
{
  for (guint i = sim->running->len; i-- > 0;)
    {
      const sim_task_t *task = &g_array_index (sim->running, sim_task_t, i);
      if (task->end_s > now_s)
        continue;
      fleet_release (&sim->fleet, task->worker, task->size);
      g_array_remove_index_fast (sim->running, i);
    }
}

/* Places waiting tasks in the order of arrival; later tasks may overtake one
   that does not fit.  COUNTED: their waits go into the results.  */
static void
place_tasks (sim_t *sim, int64_t now_s, bool counted)
{
  guint kept = 0;
  for (guint i = 0; i < sim->waiting->len; i++)
    {
      sim_task_t task = g_array_index (sim->waiting, sim_task_t, i);
      int64_t worker = -1;
      if (kept < BACKFILL_DEPTH)
        {
          double begin_ns = now_ns ();
          worker = pack_choose (sim->rule, &sim->fleet, task.size, NULL);
          sim->total_decision_ns += now_ns () - begin_ns;
          sim->decisions += 1.0;
        }
      if (worker < 0)
        {
          g_array_index (sim->waiting, sim_task_t, kept++) = task;
          continue;
        }
      task.worker = (uint32_t)worker;
      task.end_s = now_s + task.run_s;
      fleet_allocate (&sim->fleet, task.worker, task.size);
      g_array_append_val (sim->running, task);
      if (!counted)
        continue;
      sim->waits += 1.0;
      sim->total_wait_s += (double)(now_s - task.arrived_s);
    }
  g_array_set_size (sim->waiting, kept);
}

/* Returns the fraction of TOTAL that is stranded: what is free, but no more
   than the waiting tasks ask for.  */
static double
stranded (int64_t free, int64_t wanted, int64_t total)
{
  return (double)MIN (free, wanted) / (double)total;
}

/* Returns the fraction of TOTAL that is still stranded when the fraction
   PLACEABLE of all waiting demand has been placed.  */
static double
lower_bound (int64_t free, int64_t wanted, int64_t total, double placeable)
{
  double left = (double)free - placeable * (double)wanted;
  return MAX (0.0, MIN (left, (1.0 - placeable) * (double)wanted))
         / (double)total;
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
  result->stranded_cpu
      += stranded (free.cpu_millis, wanted.cpu_millis, total.cpu_millis);
  result->stranded_memory
      += stranded (free.memory_mib, wanted.memory_mib, total.memory_mib);
  result->stranded_accelerators
      += stranded (free.accelerators, wanted.accelerators, total.accelerators);
  /* An ideal packing fills the scarcest dimension; what it must leave free in
     the others follows from the mix of the waiting tasks.  */
  double placeable = 1.0;
  if (wanted.cpu_millis > 0)
    placeable
        = MIN (placeable, (double)free.cpu_millis / (double)wanted.cpu_millis);
  if (wanted.memory_mib > 0)
    placeable
        = MIN (placeable, (double)free.memory_mib / (double)wanted.memory_mib);
  if (wanted.accelerators > 0)
    placeable = MIN (placeable,
                     (double)free.accelerators / (double)wanted.accelerators);
  result->lower_bound += lower_bound (free.cpu_millis, wanted.cpu_millis,
                                      total.cpu_millis, placeable)
                         + lower_bound (free.memory_mib, wanted.memory_mib,
                                        total.memory_mib, placeable)
                         + lower_bound (free.accelerators, wanted.accelerators,
                                        total.accelerators, placeable);
  result->cpu_use += 1.0 - (double)free.cpu_millis / (double)total.cpu_millis;
}

static result_t
simulate (const deployment_t *deployment, const pack_rule_t *rule, double load,
          uint32_t seed)
{
  result_t result = { 0 };
  sim_t sim = { .rule = rule,
                .waiting = g_array_new (FALSE, FALSE, sizeof (sim_task_t)),
                .running = g_array_new (FALSE, FALSE, sizeof (sim_task_t)) };
  make_fleet (&sim.fleet, deployment);
  GRand *random = g_rand_new_with_seed (seed);
  /* Mean demand of a task in millicore-seconds and MiB-seconds, by
     sampling.  */
  double cpu_millis_s = 0.0, memory_mib_s = 0.0;
  for (int i = 0; i < DEMAND_SAMPLES; i++)
    {
      sim_task_t task = draw_task (random, deployment, 0);
      cpu_millis_s
          += (double)(task.size.cpu_millis * task.run_s) / DEMAND_SAMPLES;
      memory_mib_s
          += (double)(task.size.memory_mib * task.run_s) / DEMAND_SAMPLES;
    }
  double tasks_per_s
      = load
        * MIN ((double)sim.fleet.total.cpu_millis / cpu_millis_s,
               (double)sim.fleet.total.memory_mib / memory_mib_s);
  double due_tasks = 0.0;
  for (int64_t now_s = 0; now_s < RUN_S; now_s++)
    {
      finish_tasks (&sim, now_s);
      for (due_tasks += tasks_per_s * g_rand_double_range (random, 0.0, 2.0);
           due_tasks >= 1.0; due_tasks -= 1.0)
        {
          sim_task_t task = draw_task (random, deployment, now_s);
          g_array_append_val (sim.waiting, task);
        }
      place_tasks (&sim, now_s, now_s >= WARM_UP_S);
      if (now_s >= WARM_UP_S)
        sample (&sim, &result);
    }
  double samples = RUN_S - WARM_UP_S;
  result.stranded_cpu /= samples;
  result.stranded_memory /= samples;
  result.stranded_accelerators /= samples;
  result.lower_bound /= samples;
  result.cpu_use /= samples;
  /* Tasks still waiting at the end count with their wait so far.  */
  for (guint i = 0; i < sim.waiting->len; i++)
    {
      const sim_task_t *task = &g_array_index (sim.waiting, sim_task_t, i);
      sim.total_wait_s += (double)(RUN_S - task->arrived_s);
      sim.waits += 1.0;
    }
  result.wait_s = sim.waits > 0.0 ? sim.total_wait_s / sim.waits : 0.0;
  result.decision_ns = sim.total_decision_ns / MAX (sim.decisions, 1.0);
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
      double first_fit_sum = 0.0;
      for (const pack_rule_t *rule = pack_rules; rule->name != NULL; rule++)
        {
          result_t mean = { 0 };
          for (uint32_t run = 0; run < runs; run++)
            {
              result_t one = simulate (&deployments[d], rule, 1.0, seed + run);
              mean.stranded_cpu += one.stranded_cpu / runs;
              mean.stranded_memory += one.stranded_memory / runs;
              mean.stranded_accelerators += one.stranded_accelerators / runs;
              mean.lower_bound += one.lower_bound / runs;
              mean.wait_s += one.wait_s / runs;
              mean.decision_ns += one.decision_ns / runs;
              mean.cpu_use += one.cpu_use / runs;
            }
          double sum = mean.stranded_cpu + mean.stranded_memory
                       + mean.stranded_accelerators;
          /* The first rule is first fit ("ff" in the table).  */
          if (rule == pack_rules)
            first_fit_sum = sum;
          if (!quiet)
            printf ("%-10s %-18s %7.2f %7.2f %7.2f %7.2f %7.2f %8.1f %9.1f "
                    "%8.0f\n",
                    deployments[d].name, rule->name, mean.stranded_cpu * 100.0,
                    mean.stranded_memory * 100.0,
                    mean.stranded_accelerators * 100.0, sum * 100.0,
                    mean.lower_bound * 100.0, sum / first_fit_sum * 100.0,
                    mean.wait_s, mean.decision_ns);
          json_array_append_new (
              list,
              json_pack ("{s:s,s:s,s:f,s:f,s:f,s:f,s:f,s:f}", "deployment",
                         deployments[d].name, "rule", rule->name,
                         "stranded_cpu", mean.stranded_cpu, "stranded_memory",
                         mean.stranded_memory, "stranded_accelerators",
                         mean.stranded_accelerators, "lower_bound_sum",
                         mean.lower_bound, "wait_s", mean.wait_s,
                         "decision_ns", mean.decision_ns));
        }
    }
  return list;
}
