#ifndef MAGNOLIADOCK_ADMIT_H
#define MAGNOLIADOCK_ADMIT_H

#include "dispatch.h"

#include <stdbool.h>
#include <stdint.h>

/* NAME
     admit - waiting requests of one service, by class and team

   Bounded queues and the order in which they are served.  The policies are
   rows of one table:

     fair    start-time fair queueing over classes with guaranteed shares, then
             over the teams of a class.  What a class leaves of its share goes
             to the most urgent class that waits.
     strict  most urgent class first, in order of arrival within it
     fifo    order of arrival

   An item is embedded in the caller's request and owned by it.  */

typedef struct admit admit_t;

#define ADMIT_ALL_FREE UINT32_MAX

typedef struct admit_item admit_item_t;
struct admit_item
{
  admit_item_t *next;
  admit_item_t *prev;
  class_t class;
  uint32_t team; /* small number chosen by the caller */
  int64_t since_ms;
  bool queued;
  /* Set while queued: where the item stands.  */
  uint8_t lane;
  uint32_t row;
};

typedef struct
{
  const char *policy;
  uint32_t weight[CLASS_COUNT];
  uint32_t queue_limit; /* per class and team */
} admit_settings_t;

/* Returns NULL if SETTINGS names an unknown policy.  */
admit_t *admit_new (const admit_settings_t *settings);
void admit_free (admit_t *admit);
/* Returns false, and changes nothing, for an unknown policy.  Waiting items
   stay, in order of class and arrival.  */
bool admit_configure (admit_t *admit, const admit_settings_t *settings);
/* Share of TEAM among the teams of a class, 1 until set.  */
void admit_team_weight (admit_t *admit, uint32_t team, uint32_t weight);

/* Appends ITEM to the queue of its class and team; returns false if that is
   full.  SINCE_MS, CLASS and TEAM are set by the caller.  */
bool admit_push (admit_t *admit, admit_item_t *item);
/* Puts back an item that was popped before, in front, whatever the limit.  */
void admit_push_front (admit_t *admit, admit_item_t *item);
/* Returns the item to be served next without removing it, or NULL.  */
admit_item_t *admit_peek (admit_t *admit);
/* Removes and returns that item.  NULL also if only classes wait that flood or
   are above their share, and the FREE_SLOTS (of SLOTS) are kept for the
   others, so that those do not wait for a slot during a flood; ADMIT_ALL_FREE
   as FREE_SLOTS keeps none.  */
admit_item_t *admit_pop (admit_t *admit, int64_t now_ms, uint32_t free_slots,
                         uint32_t slots);
void admit_remove (admit_t *admit, admit_item_t *item);

/* A request of CLASS held a slot for HELD_MS.  */
void admit_served (admit_t *admit, class_t class, double held_ms);

/* Returns how long requests of CLASS hold a slot on average, 0 if none has
   ended yet.  */
double admit_held_ms (const admit_t *admit, class_t class);

/* Returns how long a new request of CLASS and TEAM would wait with SLOTS
   slots, -1 if nothing has been completed yet.  */
int64_t admit_wait_ms (const admit_t *admit, class_t class, uint32_t team,
                       uint32_t slots);

uint32_t admit_count (const admit_t *admit);
uint32_t admit_class_count (const admit_t *admit, class_t class);
/* 0 if the policy does not keep teams apart.  */
uint32_t admit_team_count (const admit_t *admit, class_t class, uint32_t team);
const char *admit_policy (const admit_t *admit);

#endif
