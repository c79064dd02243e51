#ifndef MAGNOLIADOCK_FAKE_ZONE_H
#define MAGNOLIADOCK_FAKE_ZONE_H

#include "share.h"

#include <stdbool.h>
#include <stdint.h>

/* NAME
     fake_zone - discrete-event simulation of the entries of one zone

   Connects real dispatch instances to a simulated network, table service,
   instance list and backend servers, which fail at random, on one fake clock.
   The same seed gives the same run.  A backend server closes a connection only
   when the request on it ends; a request that the entry has abandoned runs
   until at most 1 s after its deadline.  */

typedef struct
{
  uint32_t seed;
  uint32_t entries;
  uint32_t processes; /* of the backend server */
  uint32_t slots_per_process;
  double load; /* offered during the faults, 1: all slots are busy */
  int64_t fault_period_ms; /* how long faults are injected */
  share_rules_t rules;
} zone_scenario_t;

typedef struct
{
  /* Violations: each must be 0.  zone_violations leaves out cut_off_by_stop.
   */
  uint32_t over_limit;       /* sends that exceeded the limit of a process */
  uint32_t double_ends;      /* answers to a request that had ended */
  uint32_t unanswered;       /* requests without an answer */
  uint32_t false_not_run;    /* reported "not-run", but ran */
  uint32_t false_ran;        /* reported "ran", but never ran */
  uint32_t delivered_twice;  /* non-idempotent requests */
  uint32_t repeated_ids_ran; /* caller's ids of non-idempotent requests that
                                ran more than once */
  uint32_t slots_wrong;  /* processes whose slots do not add up to the limit */
  uint32_t rows_refused; /* versions of the row shares/ZONE that could not
                            be loaded */
  uint32_t cut_off_by_stop; /* requests that a planned stop ended */
  uint32_t not_served;      /* entries that serve nothing after the faults */
  /* What happened, to show that the faults were exercised.  */
  uint32_t requests, answered, refused, lost_with_entry;
  uint32_t crashes, stops, pauses, link_cuts, outages, lost_replies,
      process_deaths;
  /* Retirements and processes_dropped: entries and processes taken out of the
     row shares/ZONE (share.h).  */
  uint32_t messages, messages_lost, retirements, processes_dropped,
      slots_moved, first_over_limit_ms;
} zone_report_t;

zone_report_t zone_run (const zone_scenario_t *scenario);

/* Returns the sum of the violations.  */
uint32_t zone_violations (const zone_report_t *report);

#endif
