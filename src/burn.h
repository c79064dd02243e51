#ifndef MAGNOLIADOCK_BURN_H
#define MAGNOLIADOCK_BURN_H

#include "doc.h"

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     burn - error budgets of the service-level objectives

   Counts requests by minute for 6 h and by hour for 30 days.  Minutes and
   hours are those of the wall clock, so that the counts of several entries can
   be added.  The burn rate is the share of bad requests divided by the share
   that the objective allows; a constant rate of 1 uses up the budget in
   exactly the objective's window.  An alarm needs a high burn rate over a long
   and over a short window (Google SRE Workbook, chapter 5): the long one
   prevents alarms on single errors, the short one ends the alarm soon after
   the fault.  */

/* Length of the history that is kept by minute and by hour.  */
#define BURN_MINUTES_KEPT 360
#define BURN_HOURS_KEPT 720

/* The objectives that a service has.  */
typedef enum
{
  BURN_AVAILABILITY, /* share of requests that are answered */
  BURN_LATENCY,      /* share of requests answered within the latency bound */
  BURN_WAIT,         /* share of requests that wait no longer than the bound */
  BURN_KIND_COUNT
} burn_kind_t;

typedef enum
{
  BURN_OK,
  BURN_TICKET, /* needs attention in working hours */
  BURN_PAGE    /* needs attention now */
} burn_level_t;

typedef struct
{
  uint32_t total;
  uint32_t bad[BURN_KIND_COUNT];
} burn_count_t;

/* An alarm of LEVEL while the burn rate is at least BURN_RATE over both
   windows.  */
typedef struct
{
  burn_level_t level;
  uint32_t long_window_min, short_window_min;
  double burn_rate;
} burn_alarm_rule_t;

#define BURN_ALARM_RULE_COUNT 3
/* In descending order of burn rate.  */
extern const burn_alarm_rule_t burn_alarm_rules[BURN_ALARM_RULE_COUNT];
/* Windows shown in reports: 5 min, 30 min, 1 h, 6 h, 3 days.  */
#define BURN_WINDOW_COUNT 5
extern const uint32_t burn_windows_min[BURN_WINDOW_COUNT];

typedef struct
{
  double target;       /* share of requests that have to be good */
  uint64_t total, bad; /* requests in the objective's window */
  double burn_rates[BURN_WINDOW_COUNT]; /* over burn_windows_min */
  double budget_left; /* 1: unused, 0: used up, negative: overdrawn */
  burn_level_t level;
} burn_status_t;

typedef struct burn burn_t;

burn_t *burn_new (void);
void burn_free (burn_t *burn);

/* Counts one request of SERVICE that ended at WALL_MS.  ANSWERED says whether
   the caller got a complete answer that is not a server error, WAIT_MS is the
   time before the first attempt.  OBJECTIVE gives the bounds.  */
void burn_count (burn_t *burn, const char *service,
                 const doc_objective_t *objective, int64_t wall_ms,
                 bool answered, int64_t latency_ms, int64_t wait_ms);

/* Adds COUNT to MINUTE (wall-clock minutes since 1970) and to its hour.  A
   minute or hour that is no longer kept, since a later one has replaced it, is
   left out.  */
void burn_add (burn_t *burn, const char *service, int64_t minute,
               const burn_count_t *count);

/* Returns the counts of HOUR (wall-clock hours since 1970) by minute of the
   hour, as a row for the table service:
   {"h":HOUR,"m":{SERVICE:[[minute,total,unanswered,slow,waited],...]}}, owned
   by the caller; NULL if there are none.  The last three numbers are the bad
   requests in the order of burn_kind_t.  */
json_t *burn_hour_row (const burn_t *burn, int64_t hour);

/* Returns the counts of all hours as a row for the table service, with the
   same numbers:
   {"h":{SERVICE:[[hour,total,unanswered,slow,waited],...]}}, owned by the
   caller.  */
json_t *burn_total_row (const burn_t *burn);

/* Adds the counts of ROW, made by burn_hour_row or burn_total_row.  Returns
   false and adds nothing if ROW is malformed.  */
bool burn_merge (burn_t *burn, const json_t *row);

/* Fills STATUS with the state of objective KIND of SERVICE as of WALL_MS.  */
void burn_status (const burn_t *burn, const char *service,
                  const doc_objective_t *objective, burn_kind_t kind,
                  int64_t wall_ms, burn_status_t *status);

/* Fills BURN_RATES with the burn rate of each of the last COUNT hours, oldest
   first; -1 for an hour without requests.  */
void burn_hourly_rates (const burn_t *burn, const char *service,
                        const doc_objective_t *objective, burn_kind_t kind,
                        int64_t wall_ms, double *burn_rates, unsigned count);

const char *burn_kind_name (burn_kind_t kind);
/* Returns "ok", "ticket" or "page".  */
const char *burn_level_name (burn_level_t level);

#endif
