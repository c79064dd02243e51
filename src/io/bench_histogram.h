#ifndef MAGNOLIADOCK_BENCH_HISTOGRAM_H
#define MAGNOLIADOCK_BENCH_HISTOGRAM_H

#include <jansson.h>
#include <stdint.h>
#include <stdio.h>

/* NAME
     bench_histogram - latency histogram of the load generator

   Each range from one power of two (in microseconds) to the next is divided
   into 32 buckets, so a quantile is at most 3.1% too high.  */

#define BENCH_SUB_BUCKETS 32
#define BENCH_BUCKET_COUNT (32 * BENCH_SUB_BUCKETS)

typedef struct
{
  uint64_t count;
  uint64_t sum_us;
  uint64_t max_us;
  uint32_t buckets[BENCH_BUCKET_COUNT];
} bench_histogram_t;

void bench_histogram_add (bench_histogram_t *histogram, uint64_t value_us);
uint64_t bench_histogram_quantile_us (const bench_histogram_t *histogram,
                                      double quantile);

/* Returns {"count","mean_us","p50_us","p90_us","p99_us","p999_us","max_us"},
   new reference.  */
json_t *bench_histogram_json (const bench_histogram_t *histogram);

/* Prints a bar chart: one line for each non-empty half of the range between
   two powers of two.  */
void bench_histogram_plot (const bench_histogram_t *histogram,
                           const char *title, FILE *out);

#endif
