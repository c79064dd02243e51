#ifndef MAGNOLIADOCK_FAKE_ZONE_H
#define MAGNOLIADOCK_FAKE_ZONE_H

#include "share.h"

#include <stdbool.h>
#include <stdint.h>

/* NAME
     fake_zone - several dispatch instances of one zone, run event by event

   Joins them by a network, a table service, an instance list and backend
   servers that fail at random, on one fake clock.  The same seed gives the
   same run.  A backend server ends a connection only with its request; one
   that the entry gives up goes on until its deadline and 1 s.  */

typedef struct
{
  uint32_t seed;
  uint32_t entries;
  uint32_t processes;
  uint32_t limit; /* slots of one process */
  double load;    /* offered load during the faults, 1: all slots */
  int64_t chaos_ms;
  share_rules_t rules;
} zone_case_t;

typedef struct
{
  /* Each must be 0.  */
  uint32_t over_limit; /* steps with more requests at a process than allowed */
  uint32_t double_ends;      /* answers to a request that had ended */
  uint32_t never_ended;      /* requests without an answer */
  uint32_t false_not_run;    /* told "not-run", but it ran */
  uint32_t false_ran;        /* told "ran", but it never ran */
  uint32_t delivered_twice;  /* non-idempotent */
  uint32_t repeated_ids_ran; /* non-idempotent, same caller's id ran twice */
  uint32_t slots_wrong; /* processes whose slots do not sum up after healing */
  uint32_t rows_refused; /* shares rows that could not be loaded */
  uint32_t cut_by_stop;  /* requests that a planned stop has cut off */
  uint32_t not_served;   /* entries that serve nothing after healing */
  /* What happened, to see that the faults were exercised.  */
  uint32_t requests, answered, refused, lost_with_entry;
  uint32_t crashes, stops, pauses, cuts, outages, lost_replies, process_deaths;
  uint32_t messages, messages_lost, retirements, processes_dropped,
      slots_moved, first_fault_ms;
} zone_report_t;

zone_report_t zone_run (const zone_case_t *run);

/* Returns the sum of the fields that must be 0.  */
uint32_t zone_faults (const zone_report_t *report);

#endif
