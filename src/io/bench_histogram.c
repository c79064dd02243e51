#include "bench_histogram.h"

#include <glib.h>
#include <inttypes.h>
#include <math.h>
#include <string.h>

#define PLOT_WIDTH_CHARS 60

static unsigned
bucket_of (uint64_t value_us)
{
  if (value_us < BENCH_SUB_BUCKETS)
    return (unsigned)value_us;
  /* 5 is the binary logarithm of BENCH_SUB_BUCKETS.  */
  unsigned shift = 63 - (unsigned)__builtin_clzll (value_us) - 5;
  unsigned bucket = (shift + 1) * BENCH_SUB_BUCKETS
                    + (unsigned)(value_us >> shift) % BENCH_SUB_BUCKETS;
  return MIN (bucket, BENCH_BUCKET_COUNT - 1);
}

static uint64_t
bucket_upper_us (unsigned bucket)
{
  if (bucket < BENCH_SUB_BUCKETS)
    return bucket;
  unsigned shift = bucket / BENCH_SUB_BUCKETS - 1;
  uint64_t sub = bucket % BENCH_SUB_BUCKETS + BENCH_SUB_BUCKETS;
  return ((sub + 1) << shift) - 1;
}

void
bench_histogram_add (bench_histogram_t *histogram, uint64_t value_us)
{
  histogram->count++;
  histogram->sum_us += value_us;
  histogram->max_us = MAX (histogram->max_us, value_us);
  histogram->buckets[bucket_of (value_us)]++;
}

uint64_t
bench_histogram_quantile_us (const bench_histogram_t *histogram,
                             double quantile)
{
  uint64_t rank = (uint64_t)ceil (quantile * (double)histogram->count);
  uint64_t cumulative = 0;
  for (unsigned i = 0; i < BENCH_BUCKET_COUNT && rank > 0; i++)
    {
      cumulative += histogram->buckets[i];
      if (cumulative >= rank)
        return MIN (bucket_upper_us (i), histogram->max_us);
    }
  return histogram->max_us;
}

json_t *
bench_histogram_json (const bench_histogram_t *histogram)
{
  static const struct
  {
    const char *name;
    double quantile;
  } quantiles[] = { { "p50_us", 0.5 },
                    { "p90_us", 0.9 },
                    { "p99_us", 0.99 },
                    { "p999_us", 0.999 } };
  uint64_t count = histogram->count;
  json_t *json
      = json_pack ("{s:I,s:I}", "count", (json_int_t)count, "mean_us",
                   (json_int_t)(count > 0 ? histogram->sum_us / count : 0));
  for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
    json_object_set_new (
        json, quantiles[i].name,
        json_integer ((json_int_t)bench_histogram_quantile_us (
            histogram, quantiles[i].quantile)));
  json_object_set_new (json, "max_us",
                       json_integer ((json_int_t)histogram->max_us));
  return json;
}

void
bench_histogram_plot (const bench_histogram_t *histogram, const char *title,
                      FILE *out)
{
  enum
  {
    BUCKETS_PER_LINE = BENCH_SUB_BUCKETS / 2,
    LINE_COUNT = BENCH_BUCKET_COUNT / BUCKETS_PER_LINE
  };
  uint64_t line_counts[LINE_COUNT] = { 0 };
  uint64_t largest = 0;
  for (unsigned i = 0; i < BENCH_BUCKET_COUNT; i++)
    line_counts[i / BUCKETS_PER_LINE] += histogram->buckets[i];
  for (unsigned i = 0; i < LINE_COUNT; i++)
    largest = MAX (largest, line_counts[i]);
  fprintf (out, "%s (%" PRIu64 " requests)\n", title, histogram->count);
  for (unsigned i = 0; i < LINE_COUNT; i++)
    {
      if (line_counts[i] == 0)
        continue;
      char bar[PLOT_WIDTH_CHARS + 1];
      size_t length = (size_t)(line_counts[i] * PLOT_WIDTH_CHARS / largest);
      memset (bar, '#', length);
      bar[length] = '\0';
      fprintf (out, "  <= %9.3f ms %8" PRIu64 " %s\n",
               (double)bucket_upper_us ((i + 1) * BUCKETS_PER_LINE - 1)
                   / 1000.0,
               line_counts[i], bar);
    }
}
