#ifndef MAGNOLIADOCK_BURN_REPORT_H
#define MAGNOLIADOCK_BURN_REPORT_H

#include "burn.h"
#include "doc.h"

#include <glib.h>
#include <jansson.h>

/* NAME
     burn_report - the service-level burn report for people and programs  */

/* Hours shown in plots.  */
#define BURN_REPORT_HOURS 72

/* Returns the report on every objective of DOC as of WALL_MS, owned by the
   caller: {"as_of":SECONDS,"complete":bool,"objectives":[{"service","kind",
   "target","total","bad","budget_left","level","rates":{"5m","30m","1h","6h",
   "3d"},"hours":[rate or null, oldest first]}]}.  COMPLETE false says that
   only one entry's counts are in it.  */
json_t *burn_report_json (const burn_t *burn, doc_t *doc, int64_t wall_ms,
                          bool complete);

/* Append REPORT, made by burn_report_json, as a table with a plot in text,
   or as an HTML page that needs nothing else.  */
void burn_report_text (const json_t *report, GString *out);
void burn_report_html (const json_t *report, GString *out);

#endif
