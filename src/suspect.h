#ifndef MAGNOLIADOCK_SUSPECT_H
#define MAGNOLIADOCK_SUSPECT_H

#include <stdbool.h>
#include <stdint.h>

/* NAME
     suspect - tells a bad worker from bad jobs

   A worker is held back when more than half of its last 20 starts failed while
   fewer than a tenth of its peers' did.  Then it is probed with one task after
   30 s, and after twice the time, up to 10 min, each time the probe fails.  */

#define SUSPECT_WINDOW 20
#define SUSPECT_PROBE_MS 30000
#define SUSPECT_PROBE_MAX_MS 600000
/* A job that failed on this many healthy workers is itself bad.  */
#define SUSPECT_JOB_WORKERS 3

typedef struct
{
  uint32_t window; /* bit set: failed; the lowest is the newest */
  uint8_t count;
  bool held;
  bool probing; /* the one task of a probe is there */
  int64_t probe_at_ms;
  int64_t probe_wait_ms;
} suspect_t;

typedef struct
{
  uint32_t starts;
  uint32_t failures;
} suspect_peers_t;

/* Takes the result of one start at NOW_MS.  PEERS counts the starts in the
   windows of the other workers.  Returns whether the worker's held-back state
   changed.  */
bool suspect_record (suspect_t *suspect, bool failed,
                     const suspect_peers_t *peers, int64_t now_ms);

/* Sets the state read from the worker's row.  */
void suspect_set_held (suspect_t *suspect, bool held, int64_t now_ms);

/* Whether a task may be placed there at NOW_MS, as a probe if held back.  */
bool suspect_may_place (const suspect_t *suspect, int64_t now_ms);

/* Adds the worker's window to PEERS.  */
void suspect_count (const suspect_t *suspect, suspect_peers_t *peers);

#endif
