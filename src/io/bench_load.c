#include "bench.h"
#include "error.h"
#include "load_play.h"

#include <stdio.h>

/* Share by which durations differ from what a load says.  */
#define UNEVEN 0.15

typedef struct
{
  int64_t seed, seeds, callers, for_ms, finish_ms;
  double rate;
  bool bound;
} settings_t;

#define FIELD(name) offsetof (settings_t, name)

static const option_t options[] = {
  BENCH_SEED_OPTION (FIELD (seed)),
  { .name = "seeds",
    .kind = OPTION_INTEGER,
    .offset = FIELD (seeds),
    .default_text = "1",
    .min = 1,
    .max = 1000,
    .help = "plays, with consecutive seeds" },
  { .name = "callers",
    .kind = OPTION_INTEGER,
    .offset = FIELD (callers),
    .default_text = "48",
    .min = 1,
    .max = 10000,
    .help = "calls for advice that can be made at once" },
  { .name = "for-ms",
    .kind = OPTION_INTEGER,
    .offset = FIELD (for_ms),
    .default_text = "45000",
    .min = 1,
    .max = 600000,
    .help = "time in which the jobs of patterns arrive" },
  { .name = "finish-ms",
    .kind = OPTION_INTEGER,
    .offset = FIELD (finish_ms),
    .default_text = "15000",
    .min = 1,
    .max = 600000,
    .help = "time after the last arrival in which jobs may end" },
  { .name = "rate",
    .kind = OPTION_REAL,
    .offset = FIELD (rate),
    .default_text = "1",
    .min = 0,
    .max = 100,
    .help = "factor for the rates of patterns" },
  { .name = "bound",
    .kind = OPTION_FLAG,
    .offset = FIELD (bound),
    .help = "also show what the best packing could serve" },
  { .name = NULL },
};

static const char *const size_names[LOAD_SIZES]
    = { "largest_tenth", "next_fifth", "others" };

static void
print_results (const char *how, uint32_t seed, const load_t *load,
               const int64_t *ended_ms)
{
  load_result_t results[LOAD_MAX_KINDS][LOAD_SIZES] = { 0 };
  load_results (load, ended_ms, results);
  for (guint kind = 0; kind < load->kinds->len; kind++)
    for (int size = 0; size < LOAD_SIZES; size++)
      {
        const load_result_t *result = &results[kind][size];
        double jobs = MAX (result->jobs, 1u);
        printf ("%s seed=%u kind=%s size=%s jobs=%u in_time=%.3f late=%.3f "
                "served=%.3f\n",
                how, seed, g_array_index (load->kinds, load_kind_t, kind).name,
                size_names[size], result->jobs, result->in_time / jobs,
                result->late / jobs, (result->in_time + result->late) / jobs);
      }
}

static void
print_bound (uint32_t seed, const load_t *load, int64_t *ended_ms)
{
  load_bound_t bound = load_bound (load);
  printf ("bound seed=%u work_in_time=%.3f work_late=%.3f\n", seed,
          bound.work_in_time, bound.work_late);
  load_pack (load, load_play_allows, ended_ms);
  print_results ("packing", seed, load, ended_ms);
}

static bool
measure (const settings_t *settings, const char *text)
{
  bool ok = false;
  for (int64_t i = 0; i < settings->seeds; i++)
    {
      GError *error = NULL;
      uint32_t seed = (uint32_t)(settings->seed + i);
      load_t *load = load_parse (text, &error);
      if (load == NULL)
        {
          fprintf (stderr, "bench load: %s\n", error->message);
          g_error_free (error);
          return false;
        }
      load_draw (load, seed, settings->for_ms, settings->rate);
      const load_play_options_t play
          = { .seed = seed,
              .callers = (uint32_t)settings->callers,
              .finish_ms = settings->finish_ms,
              .uneven = UNEVEN };
      int64_t *ended_ms = g_new0 (int64_t, load->jobs->len + 1);
      load_play_stats_t stats = load_play (load, &play, ended_ms);
      printf ("load seed=%u jobs=%u advice_calls=%llu starving=%u "
              "most_kept=%.2f\n",
              seed, load->jobs->len, (unsigned long long)stats.advice_calls,
              stats.starving, stats.most_kept_share);
      print_results ("play", seed, load, ended_ms);
      if (settings->bound)
        print_bound (seed, load, ended_ms);
      g_free (ended_ms);
      load_free (load);
      ok = true;
    }
  return ok;
}

int
bench_load_run (int argc, char **argv)
{
  settings_t settings = { 0 };
  char **files = NULL;
  char *text = NULL;
  GError *error = NULL;
  int code = err_info (ERR_USAGE)->exit_code;
  if (!options_parse (options, &settings,
                      "play loads against a cell, without sockets: FILE", argc,
                      argv, &files))
    return code;
  if (g_strv_length (files) != 1)
    fputs ("bench load: expected one file with a load\n", stderr);
  else if (!g_file_get_contents (files[0], &text, NULL, &error))
    fprintf (stderr, "bench load: %s\n", error->message);
  else if (measure (&settings, text))
    code = 0;
  g_clear_error (&error);
  g_free (text);
  g_strfreev (files);
  options_clear (options, &settings);
  return code;
}
