#ifndef MAGNOLIADOCK_LOG_H
#define MAGNOLIADOCK_LOG_H

#include <stdbool.h>

/* NAME
     log - one key=value line for each event, on standard error unless told
     otherwise

   Example:
     time=2026-12-04T07:00:00.123Z level=info event=peer_up entry=e2 zone=t2

   Values that hold spaces, quotes or control characters are quoted and
   escaped.  A line is written with one write(2).  */

typedef enum
{
  LOG_DEBUG,
  LOG_INFO,
  LOG_WARN,
  LOG_ERROR
} log_level_t;

/* Lines below LEVEL are dropped.  Default: LOG_INFO.  */
void log_set_level (log_level_t level);

/* Writes to FD from now on, and never waits for its reader: a line that cannot
   be written at once is dropped, and the next one states their number as
   dropped=N.  */
void log_set_output (int fd);

/* Reads "debug", "info", "warn" or "error" into *LEVEL.  Returns whether NAME
   is one of them.  */
bool log_level_parse (const char *name, log_level_t *level);

/* Writes EVENT with pairs (const char *key, const char *value) that end with a
   NULL key.  Repeats of the same EVENT above 20 a second are dropped and their
   number is stated in a later line of the same event as suppressed=N.  */
void log_event (log_level_t level, const char *event, ...)
    __attribute__ ((sentinel));

#endif
