#include "burn.h"

#include <string.h>

/* At these rates a 30-day budget loses 2% in 1 h, 5% in 6 h and 10% in 3 days,
   the long windows.  */
const burn_alarm_rule_t burn_alarm_rules[BURN_ALARM_RULE_COUNT] = {
  { BURN_PAGE, 60, 5, 14.4 },
  { BURN_PAGE, 360, 30, 6 },
  { BURN_TICKET, 4320, 360, 1 },
};

const uint32_t burn_windows_min[BURN_WINDOW_COUNT] = { 5, 30, 60, 360, 4320 };

typedef struct
{
  int64_t period; /* minutes or hours since 1970 */
  burn_count_t count;
} bucket_t;

/* The counts of one service.  */
typedef struct
{
  /* Ring buffers: each period is kept at its number modulo the size.  */
  bucket_t minutes[BURN_MINUTES_KEPT];
  bucket_t hours[BURN_HOURS_KEPT];
} series_t;

struct burn
{
  GHashTable *series; /* service -> series_t */
};

burn_t *
burn_new (void)
{
  burn_t *burn = g_new0 (burn_t, 1);
  burn->series
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return burn;
}

void
burn_free (burn_t *burn)
{
  if (burn == NULL)
    return;
  g_hash_table_destroy (burn->series);
  g_free (burn);
}

static series_t *
series_get (burn_t *burn, const char *service)
{
  series_t *series = g_hash_table_lookup (burn->series, service);
  if (series == NULL)
    {
      series = g_new0 (series_t, 1);
      g_hash_table_insert (burn->series, g_strdup (service), series);
    }
  return series;
}

static void
bucket_add (bucket_t *ring, unsigned size, int64_t period,
            const burn_count_t *count)
{
  bucket_t *bucket = &ring[period % size];
  if (bucket->period > period)
    return;
  if (bucket->period < period)
    *bucket = (bucket_t){ .period = period };
  bucket->count.total += count->total;
  for (unsigned kind = 0; kind < BURN_KIND_COUNT; kind++)
    bucket->count.bad[kind] += count->bad[kind];
}

void
burn_add (burn_t *burn, const char *service, int64_t minute,
          const burn_count_t *count)
{
  if (minute < 0)
    return;
  series_t *series = series_get (burn, service);
  bucket_add (series->minutes, BURN_MINUTES_KEPT, minute, count);
  bucket_add (series->hours, BURN_HOURS_KEPT, minute / 60, count);
}

void
burn_count (burn_t *burn, const char *service,
            const doc_objective_t *objective, int64_t wall_ms, bool answered,
            int64_t latency_ms, int64_t wait_ms)
{
  burn_count_t count = { .total = 1 };
  count.bad[BURN_AVAILABILITY] = !answered;
  /* A request without an answer also misses its latency bound.  */
  count.bad[BURN_LATENCY] = !answered || latency_ms > objective->latency_ms;
  count.bad[BURN_WAIT] = wait_ms > objective->wait_ms;
  burn_add (burn, service, wall_ms / 60000, &count);
}

static json_t *
bucket_json (int64_t period, const burn_count_t *count)
{
  return json_pack (
      "[I,I,I,I,I]", (json_int_t)period, (json_int_t)count->total,
      (json_int_t)count->bad[BURN_AVAILABILITY],
      (json_int_t)count->bad[BURN_LATENCY], (json_int_t)count->bad[BURN_WAIT]);
}

json_t *
burn_hour_row (const burn_t *burn, int64_t hour)
{
  json_t *services = json_object ();
  GHashTableIter iter;
  void *name, *value;
  g_hash_table_iter_init (&iter, burn->series);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const series_t *series = value;
      json_t *list = json_array ();
      for (int64_t minute = hour * 60; minute < hour * 60 + 60; minute++)
        {
          const bucket_t *bucket
              = &series->minutes[minute % BURN_MINUTES_KEPT];
          if (bucket->period == minute && bucket->count.total > 0)
            json_array_append_new (list,
                                   bucket_json (minute % 60, &bucket->count));
        }
      if (json_array_size (list) > 0)
        json_object_set_new (services, name, list);
      else
        json_decref (list);
    }
  if (json_object_size (services) == 0)
    {
      json_decref (services);
      return NULL;
    }
  return json_pack ("{s:I,s:o}", "h", (json_int_t)hour, "m", services);
}

json_t *
burn_total_row (const burn_t *burn)
{
  json_t *services = json_object ();
  GHashTableIter iter;
  void *name, *value;
  g_hash_table_iter_init (&iter, burn->series);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const series_t *series = value;
      json_t *list = json_array ();
      for (unsigned i = 0; i < BURN_HOURS_KEPT; i++)
        if (series->hours[i].count.total > 0)
          json_array_append_new (list, bucket_json (series->hours[i].period,
                                                    &series->hours[i].count));
      json_object_set_new (services, name, list);
    }
  return json_pack ("{s:o}", "h", services);
}

static bool
bucket_parse (const json_t *item, int64_t *period, burn_count_t *count)
{
  json_int_t numbers[5];
  if (!json_is_array (item) || json_array_size (item) != 5)
    return false;
  for (unsigned i = 0; i < 5; i++)
    {
      const json_t *value = json_array_get (item, i);
      if (!json_is_integer (value))
        return false;
      numbers[i] = json_integer_value (value);
      if (numbers[i] < 0 || numbers[i] > UINT32_MAX)
        return false;
    }
  *period = numbers[0];
  *count = (burn_count_t){ .total = (uint32_t)numbers[1] };
  for (unsigned kind = 0; kind < BURN_KIND_COUNT; kind++)
    {
      count->bad[kind] = (uint32_t)numbers[2 + kind];
      if (count->bad[kind] > count->total)
        return false;
    }
  return true;
}

/* Adds the counts of SERVICES to BURN, or only validates them if BURN is NULL.
   They are counts of the minutes of HOUR, or of whole hours if HOUR is -1.  */
static bool
merge_services (burn_t *burn, const json_t *services, int64_t hour)
{
  const char *service;
  json_t *list;
  json_object_foreach ((json_t *)services, service, list)
  {
    if (!json_is_array (list))
      return false;
    for (size_t i = 0; i < json_array_size (list); i++)
      {
        int64_t period;
        burn_count_t count;
        if (!bucket_parse (json_array_get (list, i), &period, &count)
            || (hour >= 0 && period >= 60))
          return false;
        if (burn == NULL)
          continue;
        if (hour >= 0)
          burn_add (burn, service, hour * 60 + period, &count);
        else
          bucket_add (series_get (burn, service)->hours, BURN_HOURS_KEPT,
                      period, &count);
      }
  }
  return true;
}

bool
burn_merge (burn_t *burn, const json_t *row)
{
  /* The number of the hour, or the services of a row of burn_total_row.  */
  const json_t *h = json_object_get (row, "h");
  const json_t *services
      = json_is_integer (h) ? json_object_get (row, "m") : h;
  int64_t hour = json_is_integer (h) ? json_integer_value (h) : -1;
  if (!json_is_object (services)
      || (json_is_integer (h) && (hour < 0 || hour > UINT32_MAX)))
    return false;
  if (!merge_services (NULL, services, hour))
    return false;
  return merge_services (burn, services, hour);
}

/* Adds up the LENGTH periods of RING that end with LAST.  */
static void
sum_ring (const bucket_t *ring, unsigned size, int64_t last, int64_t length,
          burn_kind_t kind, uint64_t *total, uint64_t *bad)
{
  *total = *bad = 0;
  if (length > size)
    length = size;
  for (int64_t period = last - length + 1; period <= last; period++)
    if (period >= 0 && ring[period % size].period == period)
      {
        *total += ring[period % size].count.total;
        *bad += ring[period % size].count.bad[kind];
      }
}

static double
target_of (const doc_objective_t *objective, burn_kind_t kind)
{
  switch (kind)
    {
    case BURN_LATENCY:
      return objective->latency_share;
    case BURN_WAIT:
      return objective->wait_share;
    default:
      return objective->availability;
    }
}

static double
compute_burn_rate (uint64_t total, uint64_t bad, double target)
{
  return total == 0 ? 0 : (double)bad / (double)total / (1 - target);
}

static double
window_burn_rate (const series_t *series, uint32_t window_min,
                  burn_kind_t kind, double target, int64_t wall_ms)
{
  uint64_t total, bad;
  if (window_min <= BURN_MINUTES_KEPT)
    sum_ring (series->minutes, BURN_MINUTES_KEPT, wall_ms / 60000, window_min,
              kind, &total, &bad);
  else
    sum_ring (series->hours, BURN_HOURS_KEPT, wall_ms / 3600000,
              window_min / 60, kind, &total, &bad);
  return compute_burn_rate (total, bad, target);
}

void
burn_status (const burn_t *burn, const char *service,
             const doc_objective_t *objective, burn_kind_t kind,
             int64_t wall_ms, burn_status_t *status)
{
  double target = target_of (objective, kind);
  *status = (burn_status_t){ .target = target, .budget_left = 1 };
  const series_t *series = g_hash_table_lookup (burn->series, service);
  if (series == NULL)
    return;
  for (unsigned i = 0; i < BURN_WINDOW_COUNT; i++)
    status->burn_rates[i] = window_burn_rate (series, burn_windows_min[i],
                                              kind, target, wall_ms);
  for (unsigned i = 0; i < BURN_ALARM_RULE_COUNT; i++)
    {
      const burn_alarm_rule_t *rule = &burn_alarm_rules[i];
      if (rule->level > status->level
          && window_burn_rate (series, rule->long_window_min, kind, target,
                               wall_ms)
                 >= rule->burn_rate
          && window_burn_rate (series, rule->short_window_min, kind, target,
                               wall_ms)
                 >= rule->burn_rate)
        status->level = rule->level;
    }
  sum_ring (series->hours, BURN_HOURS_KEPT, wall_ms / 3600000,
            (int64_t)objective->window_days * 24, kind, &status->total,
            &status->bad);
  status->budget_left
      = 1 - compute_burn_rate (status->total, status->bad, target);
}

void
burn_hourly_rates (const burn_t *burn, const char *service,
                   const doc_objective_t *objective, burn_kind_t kind,
                   int64_t wall_ms, double *burn_rates, unsigned count)
{
  const series_t *series = g_hash_table_lookup (burn->series, service);
  for (unsigned i = 0; i < count; i++)
    {
      uint64_t total = 0, bad = 0;
      if (series != NULL)
        sum_ring (series->hours, BURN_HOURS_KEPT,
                  wall_ms / 3600000 - (int64_t)(count - 1 - i), 1, kind,
                  &total, &bad);
      burn_rates[i]
          = total == 0
                ? -1
                : compute_burn_rate (total, bad, target_of (objective, kind));
    }
}

const char *
burn_kind_name (burn_kind_t kind)
{
  static const char *const names[BURN_KIND_COUNT]
      = { "availability", "latency", "wait" };
  return names[kind];
}

const char *
burn_level_name (burn_level_t level)
{
  static const char *const names[] = { "ok", "ticket", "page" };
  return names[level];
}
