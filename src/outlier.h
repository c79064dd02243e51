#ifndef MAGNOLIADOCK_OUTLIER_H
#define MAGNOLIADOCK_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

/* NAME
     outlier - finds backend servers that do worse than their peers

   Each outlier_t belongs to one server.  An ejected server gets no requests
   until it answers a probe; probes are sent with backoff.  At most a third of
   a group of servers is ejected, so that a fault of the whole group (or of
   this entry's own network) does not leave it without servers.  */

typedef struct
{
  /* Decaying sums over about the last 10 s.  */
  double attempts;
  double failures;
  double latency_sum_ms;     /* of the successes */
  uint32_t connect_failures; /* since the last success */
  /* Ejections and failed probes; each after the first doubles the pause before
     the next probe, up to a maximum.  */
  uint32_t ejections;
  bool ejected;
  bool probing; /* a probe is in flight */
  int64_t probe_at_ms;
  int64_t reinstated_ms;
} outlier_t;

/* Why a server was ejected, or OUTLIER_NONE if it was reinstated.  */
typedef enum
{
  OUTLIER_NONE,
  OUTLIER_CONNECT,
  OUTLIER_ERRORS,
  OUTLIER_LATENCY
} outlier_reason_t;

typedef enum
{
  OUTLIER_OK,
  OUTLIER_FAILED,
  OUTLIER_CONNECT_FAILED
} outlier_result_t;

/* Records the result of an attempt; LATENCY_MS counts with OUTLIER_OK only.
   Returns whether the server is not yet ejected but has so many connect
   failures since its last success that it is to be ejected at once.  */
bool outlier_record (outlier_t *server, outlier_result_t result,
                     double latency_ms);

/* Ejects SERVER, unless more than a third of the COUNT servers of its group
   would be ejected; EJECTED of them already are.  Returns whether it was
   ejected.  */
bool outlier_eject (outlier_t *server, uint32_t ejected, uint32_t count,
                    int64_t now_ms);

/* Called for each server that a review ejects or reinstates; INDEX is its
   index in SERVERS.  */
typedef void (*outlier_changed_t) (void *context, uint32_t index,
                                   outlier_reason_t reason);

/* Compares the error rates and latencies of the COUNT servers of a group with
   the medians and ejects the servers far above them, and those with too many
   connect failures.  Reinstates servers if more than a third of the
   group is ejected because it shrank.  Called once a second.  */
void outlier_review (outlier_t *const *servers, uint32_t count, int64_t now_ms,
                     outlier_changed_t changed, void *context);

bool outlier_probe_due (const outlier_t *server, int64_t now_ms);
void outlier_probe_started (outlier_t *server);
/* Reinstates SERVER if the probe was ANSWERED, else doubles the pause.  */
void outlier_probe_ended (outlier_t *server, bool answered, int64_t now_ms);

#endif
