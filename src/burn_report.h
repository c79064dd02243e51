#ifndef MAGNOLIADOCK_BURN_REPORT_H
#define MAGNOLIADOCK_BURN_REPORT_H

#include "burn.h"
#include "doc.h"

#include <glib.h>
#include <jansson.h>

/* NAME
     burn_report - report on the error budgets as JSON, text and HTML  */

/* Hours of burn rates in the report and in its plots.  */
#define BURN_REPORT_HOURS 72

/* Returns the report on every objective of DOC as of WALL_MS, owned by the
   caller: {"as_of":SECONDS,"complete":bool,"objectives":[{"service","kind",
   "target","total","bad","budget_left","level","rates":{"5m","30m","1h","6h",
   "3d"},"hours":[burn rate or null, oldest first]}]}.  COMPLETE false: only
   the counts of one entry are in it.  */
json_t *burn_report_json (const burn_t *burn, doc_t *doc, int64_t wall_ms,
                          bool complete);

/* Append REPORT, made by burn_report_json, to OUT: as a text table with a plot
   of characters, or as a self-contained HTML page.  */
void burn_report_text (const json_t *report, GString *out);
void burn_report_html (const json_t *report, GString *out);

#endif
