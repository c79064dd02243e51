#ifndef MAGNOLIADOCK_COUNTER_H
#define MAGNOLIADOCK_COUNTER_H

#include <glib.h>
#include <stdint.h>

/* NAME
     counter - counters, gauges and latency histograms of one process

   A registry owns its metrics.  Callers keep the returned pointers, so that
   incrementing a counter costs one addition and no look-up.  */

typedef struct counter_registry counter_registry_t;
typedef struct counter counter_t;

/* Buckets of a histogram: four for each power of two of a microsecond.  */
#define HISTOGRAM_BUCKETS 160

typedef struct
{
  uint64_t count;
  uint64_t sum_us;
  uint64_t max_us;
  uint64_t buckets[HISTOGRAM_BUCKETS];
} histogram_t;

counter_registry_t *counter_registry_new (void);
void counter_registry_free (counter_registry_t *registry);

/* Returns the counter NAME with LABELS ("class=\"urgent\"" or NULL), which is
   created on first use.  The strings are copied; the registry owns the
   result.  */
counter_t *counter_get (counter_registry_t *registry, const char *name,
                        const char *labels);
/* The same for a value that may fall.  */
counter_t *counter_gauge (counter_registry_t *registry, const char *name,
                          const char *labels);
histogram_t *counter_histogram (counter_registry_t *registry, const char *name,
                                const char *labels);

void counter_add (counter_t *counter, int64_t by);
void counter_set (counter_t *counter, int64_t value);
int64_t counter_value (const counter_t *counter);

void histogram_add (histogram_t *histogram, uint64_t value_us);
void histogram_merge (histogram_t *into, const histogram_t *from);

/* Returns the upper bound in microseconds of the bucket that holds QUANTILE
   (0 to 1), 0 if the histogram is empty.  The result is at most 25% too
   high.  */
uint64_t histogram_quantile_us (const histogram_t *histogram, double quantile);

/* Appends all metrics to OUT in the Prometheus text format.  */
void counter_print (const counter_registry_t *registry, GString *out);

#endif
