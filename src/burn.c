#include "burn.h"

#include <string.h>

/* The rates use up 2% of a 30-day budget in 1 h, 5% in 6 h, 10% in 3 days. */
const burn_rule_t burn_rules[BURN_RULES] = {
  { BURN_PAGE, 60, 5, 14.4 },
  { BURN_PAGE, 360, 30, 6 },
  { BURN_TICKET, 4320, 360, 1 },
};

const uint32_t burn_windows_min[BURN_WINDOWS] = { 5, 30, 60, 360, 4320 };

typedef struct
{
  int64_t at; /* minute or hour since 1970 that the slot holds */
  burn_count_t count;
} slot_t;

typedef struct
{
  slot_t minutes[BURN_MINUTES];
  slot_t hours[BURN_HOURS];
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
slot_add (slot_t *ring, unsigned size, int64_t at, const burn_count_t *count)
{
  slot_t *slot = &ring[at % size];
  if (slot->at > at)
    return;
  if (slot->at < at)
    *slot = (slot_t){ .at = at };
  slot->count.total += count->total;
  for (unsigned kind = 0; kind < BURN_KIND_COUNT; kind++)
    slot->count.bad[kind] += count->bad[kind];
}

void
burn_add (burn_t *burn, const char *service, int64_t minute,
          const burn_count_t *count)
{
  if (minute < 0)
    return;
  series_t *series = series_get (burn, service);
  slot_add (series->minutes, BURN_MINUTES, minute, count);
  slot_add (series->hours, BURN_HOURS, minute / 60, count);
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
slot_json (int64_t at, const burn_count_t *count)
{
  return json_pack ("[I,I,I,I,I]", (json_int_t)at, (json_int_t)count->total,
                    (json_int_t)count->bad[BURN_AVAILABILITY],
                    (json_int_t)count->bad[BURN_LATENCY],
                    (json_int_t)count->bad[BURN_WAIT]);
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
          const slot_t *slot = &series->minutes[minute % BURN_MINUTES];
          if (slot->at == minute && slot->count.total > 0)
            json_array_append_new (list,
                                   slot_json (minute % 60, &slot->count));
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
      for (unsigned i = 0; i < BURN_HOURS; i++)
        if (series->hours[i].count.total > 0)
          json_array_append_new (
              list, slot_json (series->hours[i].at, &series->hours[i].count));
      json_object_set_new (services, name, list);
    }
  return json_pack ("{s:o}", "h", services);
}

static bool
slot_read (const json_t *item, int64_t *at, burn_count_t *count)
{
  json_int_t values[5];
  if (!json_is_array (item) || json_array_size (item) != 5)
    return false;
  for (unsigned i = 0; i < 5; i++)
    {
      const json_t *value = json_array_get (item, i);
      if (!json_is_integer (value))
        return false;
      values[i] = json_integer_value (value);
      if (values[i] < 0 || values[i] > UINT32_MAX)
        return false;
    }
  *at = values[0];
  *count = (burn_count_t){ .total = (uint32_t)values[1] };
  for (unsigned kind = 0; kind < BURN_KIND_COUNT; kind++)
    {
      count->bad[kind] = (uint32_t)values[2 + kind];
      if (count->bad[kind] > count->total)
        return false;
    }
  return true;
}

/* Calls burn_add or adds to the hours for every slot of SERVICES; only checks
   if BURN is NULL.  HOUR is -1 for lists of hours.  */
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
        int64_t at;
        burn_count_t count;
        if (!slot_read (json_array_get (list, i), &at, &count)
            || (hour >= 0 && at >= 60))
          return false;
        if (burn == NULL)
          continue;
        if (hour >= 0)
          burn_add (burn, service, hour * 60 + at, &count);
        else
          slot_add (series_get (burn, service)->hours, BURN_HOURS, at, &count);
      }
  }
  return true;
}

bool
burn_merge (burn_t *burn, const json_t *row)
{
  const json_t *hour = json_object_get (row, "h");
  const json_t *services
      = json_is_integer (hour) ? json_object_get (row, "m") : hour;
  int64_t number = json_is_integer (hour) ? json_integer_value (hour) : -1;
  if (!json_is_object (services)
      || (json_is_integer (hour) && (number < 0 || number > UINT32_MAX)))
    return false;
  if (!merge_services (NULL, services, number))
    return false;
  return merge_services (burn, services, number);
}

static void
sum_ring (const slot_t *ring, unsigned size, int64_t last, int64_t length,
          burn_kind_t kind, uint64_t *total, uint64_t *bad)
{
  *total = *bad = 0;
  if (length > size)
    length = size;
  for (int64_t at = last - length + 1; at <= last; at++)
    if (at >= 0 && ring[at % size].at == at)
      {
        *total += ring[at % size].count.total;
        *bad += ring[at % size].count.bad[kind];
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
burn_rate (uint64_t total, uint64_t bad, double target)
{
  return total == 0 ? 0 : (double)bad / (double)total / (1 - target);
}

static double
rate_over (const series_t *series, uint32_t window_min, burn_kind_t kind,
           double target, int64_t wall_ms)
{
  uint64_t total, bad;
  if (window_min <= BURN_MINUTES)
    sum_ring (series->minutes, BURN_MINUTES, wall_ms / 60000, window_min, kind,
              &total, &bad);
  else
    sum_ring (series->hours, BURN_HOURS, wall_ms / 3600000, window_min / 60,
              kind, &total, &bad);
  return burn_rate (total, bad, target);
}

void
burn_report (const burn_t *burn, const char *service,
             const doc_objective_t *objective, burn_kind_t kind,
             int64_t wall_ms, burn_report_t *report)
{
  double target = target_of (objective, kind);
  *report = (burn_report_t){ .target = target, .budget_left = 1 };
  const series_t *series = g_hash_table_lookup (burn->series, service);
  if (series == NULL)
    return;
  for (unsigned i = 0; i < BURN_WINDOWS; i++)
    report->rate[i]
        = rate_over (series, burn_windows_min[i], kind, target, wall_ms);
  for (unsigned i = 0; i < BURN_RULES; i++)
    {
      const burn_rule_t *rule = &burn_rules[i];
      if (rule->level > report->level
          && rate_over (series, rule->long_min, kind, target, wall_ms)
                 >= rule->rate
          && rate_over (series, rule->short_min, kind, target, wall_ms)
                 >= rule->rate)
        report->level = rule->level;
    }
  sum_ring (series->hours, BURN_HOURS, wall_ms / 3600000,
            (int64_t)objective->window_days * 24, kind, &report->total,
            &report->bad);
  report->budget_left = 1 - burn_rate (report->total, report->bad, target);
}

void
burn_history (const burn_t *burn, const char *service,
              const doc_objective_t *objective, burn_kind_t kind,
              int64_t wall_ms, double *rates, unsigned count)
{
  const series_t *series = g_hash_table_lookup (burn->series, service);
  for (unsigned i = 0; i < count; i++)
    {
      uint64_t total = 0, bad = 0;
      if (series != NULL)
        sum_ring (series->hours, BURN_HOURS,
                  wall_ms / 3600000 - (int64_t)(count - 1 - i), 1, kind,
                  &total, &bad);
      rates[i] = total == 0
                     ? -1
                     : burn_rate (total, bad, target_of (objective, kind));
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
