#include "outlier.h"

#include <glib.h>
#include <stdlib.h>

#define CONNECT_FAILURES_LIMIT 3
#define DECAY_PER_S 0.9
/* Fewer answers than this say too little about a rate or a mean.  */
#define MIN_ANSWERS 10.0
/* Differences from the median below these are noise at that sample size.  */
#define ERROR_MARGIN 0.3
#define LATENCY_FACTOR 4.0
#define LATENCY_MARGIN_MS 50.0
#define PROBE_FIRST_MS 1000
#define PROBE_MAX_MS 60000
/* An ejection this long after the last return starts from the short pause. */
#define CALM_MS 300000
/* Median of a sample, so that a review costs the same in a large group.  */
#define SAMPLE 256

bool
outlier_note (outlier_t *process, outlier_result_t result, double latency_ms)
{
  process->answers += 1.0;
  if (result == OUTLIER_OK)
    {
      process->connect_failures = 0;
      process->latency_sum_ms += latency_ms;
      return false;
    }
  process->failures += 1.0;
  if (result != OUTLIER_CONNECT_FAILED)
    return false;
  process->connect_failures++;
  return !process->ejected
         && process->connect_failures >= CONNECT_FAILURES_LIMIT;
}

static int64_t
probe_pause_ms (const outlier_t *process)
{
  uint32_t doublings = MIN (process->ejections - 1, 6);
  return MIN (PROBE_FIRST_MS << doublings, PROBE_MAX_MS);
}

bool
outlier_eject (outlier_t *process, uint32_t ejected, uint32_t count,
               int64_t now_ms)
{
  if (process->ejected || (ejected + 1) * 3 > count)
    return false;
  if (process->returned_ms + CALM_MS < now_ms)
    process->ejections = 0;
  process->ejections++;
  process->ejected = true;
  process->probing = false;
  process->probe_at_ms = now_ms + probe_pause_ms (process);
  return true;
}

static void
take_back (outlier_t *process, int64_t now_ms)
{
  process->ejected = false;
  process->probing = false;
  process->connect_failures = 0;
  process->answers = process->failures = process->latency_sum_ms = 0.0;
  process->returned_ms = now_ms;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;
  return (x > y) - (x < y);
}

static double
error_rate (const outlier_t *process)
{
  return process->failures / process->answers;
}

static double
mean_latency_ms (const outlier_t *process)
{
  double answered = process->answers - process->failures;
  return answered < 1.0 ? 0.0 : process->latency_sum_ms / answered;
}

static double
median (outlier_t *const *members, uint32_t count,
        double (*value) (const outlier_t *))
{
  double values[SAMPLE];
  uint32_t found = 0;
  uint32_t step = count / SAMPLE + 1;
  for (uint32_t i = 0; i < count && found < SAMPLE; i += step)
    if (!members[i]->ejected && members[i]->answers >= MIN_ANSWERS)
      values[found++] = value (members[i]);
  if (found == 0)
    return 0.0;
  qsort (values, found, sizeof values[0], compare_doubles);
  return values[found / 2];
}

void
outlier_review (outlier_t *const *members, uint32_t count, int64_t now_ms,
                outlier_changed_t changed, void *context)
{
  double errors = median (members, count, error_rate);
  double latency_ms = median (members, count, mean_latency_ms);
  uint32_t ejected = 0;
  for (uint32_t i = 0; i < count; i++)
    ejected += members[i]->ejected;
  for (uint32_t i = 0; i < count; i++)
    {
      outlier_t *process = members[i];
      if (process->ejected && ejected * 3 > count)
        {
          take_back (process, now_ms);
          ejected--;
          changed (context, i, OUTLIER_NONE);
        }
      outlier_reason_t reason = OUTLIER_NONE;
      if (process->connect_failures >= CONNECT_FAILURES_LIMIT)
        reason = OUTLIER_CONNECT;
      else if (process->answers >= MIN_ANSWERS
               && error_rate (process) > errors + ERROR_MARGIN)
        reason = OUTLIER_ERRORS;
      else if (process->answers >= MIN_ANSWERS
               && mean_latency_ms (process)
                      > latency_ms * LATENCY_FACTOR + LATENCY_MARGIN_MS)
        reason = OUTLIER_LATENCY;
      if (reason != OUTLIER_NONE
          && outlier_eject (process, ejected, count, now_ms))
        {
          ejected++;
          changed (context, i, reason);
        }
      process->answers *= DECAY_PER_S;
      process->failures *= DECAY_PER_S;
      process->latency_sum_ms *= DECAY_PER_S;
    }
}

bool
outlier_probe_due (const outlier_t *process, int64_t now_ms)
{
  return process->ejected && !process->probing
         && process->probe_at_ms <= now_ms;
}

void
outlier_probe_started (outlier_t *process)
{
  process->probing = true;
}

void
outlier_probe_ended (outlier_t *process, bool answered, int64_t now_ms)
{
  if (!process->ejected || !process->probing)
    return;
  if (answered)
    {
      take_back (process, now_ms);
      return;
    }
  process->probing = false;
  process->ejections++;
  process->probe_at_ms = now_ms + probe_pause_ms (process);
}
