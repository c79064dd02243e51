#include "size_stats.h"

#include <glib.h>
#include <string.h>

#define BUCKETS 6
#define BUCKET_MS (SIZE_WINDOW_MS / BUCKETS)
/* Fewer jobs say nothing about sizes.  */
#define MIN_JOBS 10u
#define MIN_JUDGED 5u
#define LARGEST_SHARE 0.1
#define LARGE_SHARE 0.3

typedef struct
{
  int64_t number; /* of the time since 0, in units of BUCKET_MS */
  size_counts_t counts[SIZE_CLASSES];
} bucket_t;

struct size_stats
{
  double work[SIZE_RECENT]; /* of the last jobs, as a ring */
  uint32_t count, next;
  bucket_t buckets[BUCKETS];
};

const char *
size_class_name (size_class_t size)
{
  static const char *const names[SIZE_CLASSES + 1]
      = { "largest_tenth", "next_fifth", "others", "all" };
  return names[size];
}

size_stats_t *
size_stats_new (void)
{
  return g_new0 (size_stats_t, 1);
}

void
size_stats_free (size_stats_t *stats)
{
  g_free (stats);
}

size_class_t
size_stats_add (size_stats_t *stats, double work)
{
  double larger = 0.0;
  /* Half of the equal ones, so that a queue of equal jobs has no large ones.
   */
  for (uint32_t i = 0; i < stats->count; i++)
    larger += stats->work[i] > work ? 1.0 : stats->work[i] == work ? 0.5 : 0.0;
  double share = larger / (double)MAX (stats->count, 1u);
  bool known = stats->count >= MIN_JOBS;
  stats->work[stats->next] = work;
  stats->next = (stats->next + 1) % SIZE_RECENT;
  stats->count = MIN (stats->count + 1, SIZE_RECENT);
  if (known && share < LARGEST_SHARE)
    return SIZE_LARGEST_TENTH;
  return known && share < LARGE_SHARE ? SIZE_NEXT_FIFTH : SIZE_OTHERS;
}

void
size_stats_judge (size_stats_t *stats, size_class_t size,
                  size_outcome_t outcome, int64_t now_ms)
{
  int64_t number = now_ms / BUCKET_MS;
  bucket_t *bucket = &stats->buckets[number % BUCKETS];
  if (bucket->number != number)
    {
      memset (bucket, 0, sizeof *bucket);
      bucket->number = number;
    }
  bucket->counts[size].in_time += outcome == SIZE_IN_TIME;
  bucket->counts[size].late += outcome == SIZE_LATE;
  bucket->counts[size].missed += outcome == SIZE_MISSED;
}

size_counts_t
size_counts_add (size_counts_t a, size_counts_t b)
{
  return (size_counts_t){ a.in_time + b.in_time, a.late + b.late,
                          a.missed + b.missed };
}

size_counts_t
size_stats_recent (const size_stats_t *stats, size_class_t size,
                   int64_t now_ms)
{
  size_counts_t sum = { 0 };
  for (int i = 0; i < BUCKETS; i++)
    {
      const bucket_t *bucket = &stats->buckets[i];
      if (bucket->number <= now_ms / BUCKET_MS - BUCKETS)
        continue;
      for (int j = 0; j < SIZE_CLASSES; j++)
        if (size == SIZE_CLASSES || (int)size == j)
          sum = size_counts_add (sum, bucket->counts[j]);
    }
  return sum;
}

static uint64_t
total (size_counts_t counts)
{
  return (uint64_t)counts.in_time + counts.late + counts.missed;
}

bool
size_starves (size_counts_t part, size_counts_t all)
{
  return total (part) >= MIN_JUDGED
         && 2 * part.in_time * total (all) < all.in_time * total (part);
}

bool
size_fares_worse (size_counts_t part, size_counts_t all)
{
  return part.missed * total (all) > all.missed * total (part);
}
