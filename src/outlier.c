#include "outlier.h"

#include <glib.h>
#include <stdlib.h>

#define CONNECT_FAILURES_TO_EJECT 3
#define DECAY_PER_S 0.9
/* Fewer attempts than this are too few for a rate or a mean.  */
#define MIN_ATTEMPTS 10.0
/* With MIN_ATTEMPTS attempts, smaller differences from the median are noise.
 */
#define ERROR_MARGIN 0.3
#define LATENCY_FACTOR 4.0
#define LATENCY_MARGIN_MS 50.0
#define FIRST_PROBE_PAUSE_MS 1000
#define MAX_PROBE_PAUSE_MS 60000
/* A server ejected this long after it was last reinstated is probed after the
   shortest pause again.  */
#define PAUSE_RESET_MS 300000
/* The median is taken of at most this many servers, which bounds the cost of
   a review of a large group.  */
#define MAX_MEDIAN_SAMPLES 256

bool
outlier_record (outlier_t *server, outlier_result_t result, double latency_ms)
{
  server->attempts += 1.0;
  if (result == OUTLIER_OK)
    {
      server->connect_failures = 0;
      server->latency_sum_ms += latency_ms;
      return false;
    }
  server->failures += 1.0;
  if (result != OUTLIER_CONNECT_FAILED)
    return false;
  server->connect_failures++;
  return !server->ejected
         && server->connect_failures >= CONNECT_FAILURES_TO_EJECT;
}

static int64_t
probe_pause_ms (const outlier_t *server)
{
  uint32_t doublings = MIN (server->ejections - 1, 6);
  return MIN (FIRST_PROBE_PAUSE_MS << doublings, MAX_PROBE_PAUSE_MS);
}

bool
outlier_eject (outlier_t *server, uint32_t ejected, uint32_t count,
               int64_t now_ms)
{
  if (server->ejected || (ejected + 1) * 3 > count)
    return false;
  if (server->reinstated_ms + PAUSE_RESET_MS < now_ms)
    server->ejections = 0;
  server->ejections++;
  server->ejected = true;
  server->probing = false;
  server->probe_at_ms = now_ms + probe_pause_ms (server);
  return true;
}

static void
reinstate (outlier_t *server, int64_t now_ms)
{
  server->ejected = false;
  server->probing = false;
  server->connect_failures = 0;
  server->attempts = server->failures = server->latency_sum_ms = 0.0;
  server->reinstated_ms = now_ms;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;
  return (x > y) - (x < y);
}

static double
error_rate (const outlier_t *server)
{
  return server->failures / server->attempts;
}

static double
mean_latency_ms (const outlier_t *server)
{
  double successes = server->attempts - server->failures;
  return successes < 1.0 ? 0.0 : server->latency_sum_ms / successes;
}

static double
median (outlier_t *const *servers, uint32_t count,
        double (*value) (const outlier_t *))
{
  double values[MAX_MEDIAN_SAMPLES];
  uint32_t found = 0;
  uint32_t step = count / MAX_MEDIAN_SAMPLES + 1;
  for (uint32_t i = 0; i < count && found < MAX_MEDIAN_SAMPLES; i += step)
    if (!servers[i]->ejected && servers[i]->attempts >= MIN_ATTEMPTS)
      values[found++] = value (servers[i]);
  if (found == 0)
    return 0.0;
  qsort (values, found, sizeof values[0], compare_doubles);
  return values[found / 2];
}

void
outlier_review (outlier_t *const *servers, uint32_t count, int64_t now_ms,
                outlier_changed_t changed, void *context)
{
  double median_error_rate = median (servers, count, error_rate);
  double median_latency_ms = median (servers, count, mean_latency_ms);
  uint32_t ejected = 0;
  for (uint32_t i = 0; i < count; i++)
    ejected += servers[i]->ejected;
  for (uint32_t i = 0; i < count; i++)
    {
      outlier_t *server = servers[i];
      if (server->ejected && ejected * 3 > count)
        {
          reinstate (server, now_ms);
          ejected--;
          changed (context, i, OUTLIER_NONE);
        }
      outlier_reason_t reason = OUTLIER_NONE;
      if (server->connect_failures >= CONNECT_FAILURES_TO_EJECT)
        reason = OUTLIER_CONNECT;
      else if (server->attempts >= MIN_ATTEMPTS
               && error_rate (server) > median_error_rate + ERROR_MARGIN)
        reason = OUTLIER_ERRORS;
      else if (server->attempts >= MIN_ATTEMPTS
               && mean_latency_ms (server)
                      > median_latency_ms * LATENCY_FACTOR + LATENCY_MARGIN_MS)
        reason = OUTLIER_LATENCY;
      if (reason != OUTLIER_NONE
          && outlier_eject (server, ejected, count, now_ms))
        {
          ejected++;
          changed (context, i, reason);
        }
      server->attempts *= DECAY_PER_S;
      server->failures *= DECAY_PER_S;
      server->latency_sum_ms *= DECAY_PER_S;
    }
}

bool
outlier_probe_due (const outlier_t *server, int64_t now_ms)
{
  return server->ejected && !server->probing && server->probe_at_ms <= now_ms;
}

void
outlier_probe_started (outlier_t *server)
{
  server->probing = true;
}

void
outlier_probe_ended (outlier_t *server, bool answered, int64_t now_ms)
{
  if (!server->ejected || !server->probing)
    return;
  if (answered)
    {
      reinstate (server, now_ms);
      return;
    }
  server->probing = false;
  server->ejections++;
  server->probe_at_ms = now_ms + probe_pause_ms (server);
}
