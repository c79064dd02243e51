#include "counter.h"

#include <math.h>

/* Buckets for each power of two.  */
#define SUB_BUCKETS 4

struct counter
{
  char *name;
  char *labels;
  int64_t value;
  const char *type_name; /* "counter" or "gauge" */
};

typedef struct
{
  char *name;
  char *labels;
  histogram_t histogram;
} named_histogram_t;

struct counter_registry
{
  GPtrArray *counters;   /* counter_t */
  GPtrArray *histograms; /* named_histogram_t */
};

static void
counter_free (gpointer data)
{
  counter_t *counter = data;
  g_free (counter->name);
  g_free (counter->labels);
  g_free (counter);
}

static void
named_histogram_free (gpointer data)
{
  named_histogram_t *named = data;
  g_free (named->name);
  g_free (named->labels);
  g_free (named);
}

counter_registry_t *
counter_registry_new (void)
{
  counter_registry_t *registry = g_new0 (counter_registry_t, 1);
  registry->counters = g_ptr_array_new_with_free_func (counter_free);
  registry->histograms = g_ptr_array_new_with_free_func (named_histogram_free);
  return registry;
}

void
counter_registry_free (counter_registry_t *registry)
{
  if (registry == NULL)
    return;
  g_ptr_array_unref (registry->counters);
  g_ptr_array_unref (registry->histograms);
  g_free (registry);
}

static counter_t *
find_or_add (counter_registry_t *registry, const char *name,
             const char *labels, const char *type)
{
  for (guint i = 0; i < registry->counters->len; i++)
    {
      counter_t *known = g_ptr_array_index (registry->counters, i);
      if (g_strcmp0 (known->name, name) == 0
          && g_strcmp0 (known->labels, labels) == 0)
        return known;
    }
  counter_t *counter = g_new0 (counter_t, 1);
  counter->name = g_strdup (name);
  counter->labels = g_strdup (labels);
  counter->type_name = type;
  g_ptr_array_add (registry->counters, counter);
  return counter;
}

counter_t *
counter_get (counter_registry_t *registry, const char *name,
             const char *labels)
{
  return find_or_add (registry, name, labels, "counter");
}

counter_t *
counter_gauge (counter_registry_t *registry, const char *name,
               const char *labels)
{
  return find_or_add (registry, name, labels, "gauge");
}

histogram_t *
counter_histogram (counter_registry_t *registry, const char *name,
                   const char *labels)
{
  for (guint i = 0; i < registry->histograms->len; i++)
    {
      named_histogram_t *known = g_ptr_array_index (registry->histograms, i);
      if (g_strcmp0 (known->name, name) == 0
          && g_strcmp0 (known->labels, labels) == 0)
        return &known->histogram;
    }
  named_histogram_t *named = g_new0 (named_histogram_t, 1);
  named->name = g_strdup (name);
  named->labels = g_strdup (labels);
  g_ptr_array_add (registry->histograms, named);
  return &named->histogram;
}

void
counter_add (counter_t *counter, int64_t by)
{
  counter->value += by;
}

void
counter_set (counter_t *counter, int64_t value)
{
  counter->value = value;
}

int64_t
counter_value (const counter_t *counter)
{
  return counter->value;
}

static unsigned
bucket_of (uint64_t value_us)
{
  if (value_us < SUB_BUCKETS)
    return (unsigned)value_us;
  unsigned exponent = 63 - (unsigned)__builtin_clzll (value_us);
  unsigned sub = (unsigned)(value_us >> (exponent - 2)) & (SUB_BUCKETS - 1);
  unsigned bucket = (exponent - 1) * SUB_BUCKETS + sub;
  return MIN (bucket, HISTOGRAM_BUCKETS - 1);
}

static uint64_t
bucket_upper_us (unsigned bucket)
{
  if (bucket < SUB_BUCKETS)
    return bucket;
  unsigned exponent = bucket / SUB_BUCKETS + 1;
  uint64_t sub = bucket % SUB_BUCKETS;
  return ((SUB_BUCKETS + sub + 1) << (exponent - 2)) - 1;
}

void
histogram_add (histogram_t *histogram, uint64_t value_us)
{
  histogram->count++;
  histogram->sum_us += value_us;
  histogram->max_us = MAX (histogram->max_us, value_us);
  histogram->buckets[bucket_of (value_us)]++;
}

void
histogram_merge (histogram_t *into, const histogram_t *from)
{
  into->count += from->count;
  into->sum_us += from->sum_us;
  into->max_us = MAX (into->max_us, from->max_us);
  for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++)
    into->buckets[i] += from->buckets[i];
}

uint64_t
histogram_quantile_us (const histogram_t *histogram, double quantile)
{
  if (histogram->count == 0)
    return 0;
  uint64_t rank = (uint64_t)ceil (quantile * (double)histogram->count);
  uint64_t seen = 0;
  for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      seen += histogram->buckets[i];
      if (seen >= rank && seen > 0)
        return MIN (bucket_upper_us (i), histogram->max_us);
    }
  return histogram->max_us;
}

static void
print_sample (GString *out, const char *name, const char *suffix,
              const char *labels, int64_t value)
{
  if (labels != NULL)
    g_string_append_printf (out, "%s%s{%s} %" G_GINT64_FORMAT "\n", name,
                            suffix, labels, value);
  else
    g_string_append_printf (out, "%s%s %" G_GINT64_FORMAT "\n", name, suffix,
                            value);
}

static void
print_histogram (GString *out, const named_histogram_t *named)
{
  static const double quantiles[] = { 0.5, 0.9, 0.99, 0.999 };
  const histogram_t *histogram = &named->histogram;
  for (unsigned i = 0; i < G_N_ELEMENTS (quantiles); i++)
    {
      char *labels = g_strdup_printf ("%s%squantile=\"%g\"",
                                      named->labels ? named->labels : "",
                                      named->labels ? "," : "", quantiles[i]);
      print_sample (out, named->name, "", labels,
                    (int64_t)histogram_quantile_us (histogram, quantiles[i]));
      g_free (labels);
    }
  print_sample (out, named->name, "_sum", named->labels,
                (int64_t)histogram->sum_us);
  print_sample (out, named->name, "_count", named->labels,
                (int64_t)histogram->count);
}

void
counter_print (const counter_registry_t *registry, GString *out)
{
  const char *last = NULL;
  for (guint i = 0; i < registry->counters->len; i++)
    {
      const counter_t *counter = g_ptr_array_index (registry->counters, i);
      if (g_strcmp0 (last, counter->name) != 0)
        g_string_append_printf (out, "# TYPE %s %s\n", counter->name,
                                counter->type_name);
      last = counter->name;
      print_sample (out, counter->name, "", counter->labels, counter->value);
    }
  for (guint i = 0; i < registry->histograms->len; i++)
    {
      const named_histogram_t *named
          = g_ptr_array_index (registry->histograms, i);
      g_string_append_printf (out, "# TYPE %s summary\n", named->name);
      print_histogram (out, named);
    }
}
