#ifndef MAGNOLIADOCK_LOG_H
#define MAGNOLIADOCK_LOG_H

#include <stdbool.h>

/* NAME
     log - one line of key=value pairs for each event, on standard error by
     default

   Example:
     time=2026-12-04T07:00:00.123Z level=info event=peer_up entry=e2 zone=t2

   Values that are empty or hold a space, tab, line break, '"', '\' or '=' are
   quoted and escaped.  A line is written with one write(2) and cut at PIPE_BUF
   bytes.  */

typedef enum
{
  LOG_DEBUG,
  LOG_INFO,
  LOG_WARN,
  LOG_ERROR
} log_level_t;

/* Drops lines below LEVEL from now on.  Default: LOG_INFO.  */
void log_set_level (log_level_t level);

/* Writes to FD from now on.  FD is made non-blocking, so that a log line never
   waits for its reader: a line that can't be written at once is dropped, and
   the next one that is written carries their number as dropped=N.  */
void log_set_output (int fd);

/* Reads "debug", "info", "warn" or "error" into *LEVEL.  Returns whether NAME
   is one of them.  */
bool log_level_parse (const char *name, log_level_t *level);

/* Writes EVENT with pairs (const char *key, const char *value) that end with a
   NULL key.  EVENT must stay valid, such as a string literal.  At most 20
   lines a second of the same EVENT are written, further ones are suppressed;
   the first line of EVENT in a later second carries their number as
   suppressed=N.  */
void log_event (log_level_t level, const char *event, ...)
    __attribute__ ((sentinel));

#endif
