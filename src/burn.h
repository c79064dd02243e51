#ifndef MAGNOLIADOCK_BURN_H
#define MAGNOLIADOCK_BURN_H

#include "doc.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     burn - error budgets of the service-level objectives

   Counts requests by minute for 6 h and by hour for 30 days, by the wall
   clock, so that the counts of several entries can be added.  Burn rate is
   the share of bad requests divided by the share that the objective allows; 1
   uses the budget up in exactly its window.  An alarm needs a high rate over
   a long and a short window (Google SRE Workbook, chapter 5): the long one
   keeps single errors from alarming, the short one ends the alarm soon after
   the fault.  */

#define BURN_MINUTES 360
#define BURN_HOURS 720

typedef enum
{
  BURN_AVAILABILITY,
  BURN_LATENCY,
  BURN_WAIT,
  BURN_KIND_COUNT
} burn_kind_t;

typedef enum
{
  BURN_QUIET,
  BURN_TICKET, /* look at it in working hours */
  BURN_PAGE    /* look at it now */
} burn_level_t;

typedef struct
{
  uint32_t total;
  uint32_t bad[BURN_KIND_COUNT];
} burn_count_t;

/* One row of the alarm table.  */
typedef struct
{
  burn_level_t level;
  uint32_t long_min, short_min;
  double rate;
} burn_rule_t;

#define BURN_RULES 3
/* Windows shown in reports, in minutes: 5 m, 30 m, 1 h, 6 h, 3 d.  */
#define BURN_WINDOWS 5
extern const burn_rule_t burn_rules[BURN_RULES];
extern const uint32_t burn_windows_min[BURN_WINDOWS];

typedef struct
{
  double target;       /* share of good requests */
  uint64_t total, bad; /* in the objective's window */
  double rate[BURN_WINDOWS];
  double budget_left; /* 1: untouched, 0: used up, negative: overdrawn */
  burn_level_t level;
} burn_report_t;

typedef struct burn burn_t;

burn_t *burn_new (void);
void burn_free (burn_t *burn);

/* Counts one request of SERVICE, ended at WALL_MS: ANSWERED says whether its
   caller got a whole answer that is no server error.  OBJECTIVE gives the
   bounds.  */
void burn_count (burn_t *burn, const char *service,
                 const doc_objective_t *objective, int64_t wall_ms,
                 bool answered, int64_t latency_ms, int64_t wait_ms);

/* Adds COUNT to minute MINUTE (wall-clock minutes since 1970).  Minutes that
   have left the rings are dropped.  */
void burn_add (burn_t *burn, const char *service, int64_t minute,
               const burn_count_t *count);

/* Counts of HOUR (wall-clock hours since 1970) as a compact JSON object
   {"h":HOUR,"m":{SERVICE:[[minute,total,bad,slow,waited],...]}}, owned by the
   caller; NULL if there are none.  */
json_t *burn_hour_row (const burn_t *burn, int64_t hour);

/* Counts of all hours as {"h":{SERVICE:[[hour,total,bad,slow,waited],...]}},
   owned by the caller.  */
json_t *burn_total_row (const burn_t *burn);

/* Adds the counts of a row made by either function.  Returns false and adds
   nothing if ROW has another form.  */
bool burn_merge (burn_t *burn, const json_t *row);

/* Fills REPORT for SERVICE as of WALL_MS.  */
void burn_report (const burn_t *burn, const char *service,
                  const doc_objective_t *objective, burn_kind_t kind,
                  int64_t wall_ms, burn_report_t *report);

/* Writes the burn rate of each of the last COUNT hours, oldest first; -1 for
   an hour without requests.  */
void burn_history (const burn_t *burn, const char *service,
                   const doc_objective_t *objective, burn_kind_t kind,
                   int64_t wall_ms, double *rates, unsigned count);

const char *burn_kind_name (burn_kind_t kind);
const char *burn_level_name (burn_level_t level);

#endif
