#ifndef MAGNOLIADOCK_OUTLIER_H
#define MAGNOLIADOCK_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

/* NAME
     outlier - finds backend servers that do worse than their peers

   One outlier_t stands for one process.  An ejected process gets no requests
   until a probe with backoff is answered.  At most a third of a group is
   ejected, so that a fault of the group as a whole (or of this entry's own
   network) does not take all of it away.  */

typedef struct
{
  /* Decaying sums over about the last ten seconds.  */
  double answers;
  double failures;
  double latency_sum_ms;
  uint32_t connect_failures; /* in a row */
  uint32_t ejections;        /* doubles the pause before the next probe */
  bool ejected;
  bool probing;
  int64_t probe_at_ms;
  int64_t returned_ms;
} outlier_t;

/* Why a process was ejected.  */
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

/* Records an attempt.  Returns whether the process now has enough connect
   failures in a row to be ejected at once.  */
bool outlier_note (outlier_t *process, outlier_result_t result,
                   double latency_ms);

/* Ejects PROCESS unless that would exceed a third of the COUNT members of its
   group, of which EJECTED are out.  Returns whether it was ejected.  */
bool outlier_eject (outlier_t *process, uint32_t ejected, uint32_t count,
                    int64_t now_ms);

/* Called for each process that a review ejects or takes back.  */
typedef void (*outlier_changed_t) (void *context, uint32_t index,
                                   outlier_reason_t reason);

/* Compares the COUNT members of a group with their median and ejects those far
   above it; takes members back if more than a third is out because the group
   shrank (reason OUTLIER_NONE).  Called once a second.  */
void outlier_review (outlier_t *const *members, uint32_t count, int64_t now_ms,
                     outlier_changed_t changed, void *context);

bool outlier_probe_due (const outlier_t *process, int64_t now_ms);
void outlier_probe_started (outlier_t *process);
/* Takes PROCESS back if the probe was ANSWERED, else doubles the pause.  */
void outlier_probe_ended (outlier_t *process, bool answered, int64_t now_ms);

#endif
