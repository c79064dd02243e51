#ifndef MAGNOLIADOCK_ADMIT_H
#define MAGNOLIADOCK_ADMIT_H

#include "dispatch.h"

#include <stdbool.h>
#include <stdint.h>

/* NAME
     admit - waiting requests of one service, by class and team

   Bounded queues and the order in which they are served, by one of three
   policies:

     fair    start-time fair queueing over classes with guaranteed shares, then
             over the teams of a class.  The unused part of a share goes to the
             most urgent waiting class.
     strict  most urgent class first, in order of arrival within it
     fifo    order of arrival

   An item is embedded in the caller's request and owned by it.  */

typedef struct admit admit_t;

/* Passed to admit_pop as FREE_SLOTS if no slot is reserved.  */
#define ADMIT_NO_RESERVE UINT32_MAX

typedef struct admit_item admit_item_t;
struct admit_item
{
  admit_item_t *next;
  admit_item_t *prev;
  class_t class;
  uint32_t team;      /* chosen by the caller; small, since it is an index */
  int64_t arrival_ms; /* when the request arrived, for the caller's use */
  bool queued;
  /* Set while queued: the queue that holds the item.  */
  uint8_t class_index;
  uint32_t team_index;
};

typedef struct
{
  const char *policy;
  uint32_t weight[CLASS_COUNT];
  /* Maximum length of a queue: fair has one per class and team, strict one per
     class.  The single queue of fifo may be CLASS_COUNT times as long.  */
  uint32_t queue_limit;
} admit_settings_t;

/* A NULL policy name means fair.  Returns NULL for an unknown policy.  */
admit_t *admit_new (const admit_settings_t *settings);
void admit_free (admit_t *admit);
/* Returns false, and changes nothing, for an unknown policy.  Waiting items
   stay queued; those of one class and team keep their order.  */
bool admit_configure (admit_t *admit, const admit_settings_t *settings);
/* Sets the weight of TEAM among the teams of a class, 1 until set.  */
void admit_set_team_weight (admit_t *admit, uint32_t team, uint32_t weight);

/* Appends ITEM to the queue of its class and team; returns false if that is
   full.  The caller sets the class, team and arrival time of ITEM.  */
bool admit_push (admit_t *admit, admit_item_t *item);
/* Puts a popped item back at the front of its queue, even if that is full.  */
void admit_push_front (admit_t *admit, admit_item_t *item);
/* Returns the item to be served next without removing it, or NULL.  */
admit_item_t *admit_peek (admit_t *admit);
/* Removes and returns the item to be served next, or NULL.  FREE_SLOTS of
   SLOTS slots are free; the last of them are reserved.  A class above its
   share, or with a long queue, does not get them, so that the other classes
   find a free slot during its burst.  Returns NULL also if only such classes
   wait.  */
admit_item_t *admit_pop (admit_t *admit, int64_t now_ms, uint32_t free_slots,
                         uint32_t slots);
void admit_remove (admit_t *admit, admit_item_t *item);

/* Records that a request of CLASS held a slot for HELD_MS.  */
void admit_record_hold (admit_t *admit, class_t class, double held_ms);

/* Returns the mean time that requests of CLASS hold a slot, 0 if none has
   ended yet.  */
double admit_mean_hold_ms (const admit_t *admit, class_t class);

/* Returns the estimated wait of a new request of CLASS and TEAM with SLOTS
   slots, -1 if no request has ended yet.  */
int64_t admit_wait_ms (const admit_t *admit, class_t class, uint32_t team,
                       uint32_t slots);

uint32_t admit_count (const admit_t *admit);
uint32_t admit_class_count (const admit_t *admit, class_t class);
/* Returns 0 if the policy has no queues by team.  */
uint32_t admit_team_count (const admit_t *admit, class_t class, uint32_t team);
const char *admit_policy (const admit_t *admit);

#endif
