#ifndef MAGNOLIADOCK_QUOTA_H
#define MAGNOLIADOCK_QUOTA_H

#include "dispatch.h"
#include "resource.h"

/* NAME
     quota - what teams and classes use, and who goes next

   The order is that of dominant-resource fairness (Ghodsi et al., 2011): the
   team whose dominant share is the smallest part of its quota goes first.  A
   quota orders; it does not leave capacity idle.  */

typedef struct
{
  char *name;
  resource_t quota; /* all 0: a fiftieth of the zone */
  resource_t used;
} quota_team_t;

typedef struct
{
  GArray *teams; /* quota_team_t */
  GHashTable *index;
  uint32_t percent[CLASS_COUNT]; /* guaranteed share of each class */
  resource_t class_used[CLASS_COUNT];
} quota_t;

void quota_init (quota_t *quota);
void quota_clear (quota_t *quota);

/* Index of team NAME, added on first use; never changes.  */
uint16_t quota_team (quota_t *quota, const char *name);
static inline quota_team_t *
quota_team_at (const quota_t *quota, uint16_t team)
{
  return &g_array_index (quota->teams, quota_team_t, team);
}

/* Forgets all usage.  */
void quota_reset (quota_t *quota);
/* Adds TASKS times SIZE.  */
void quota_use (quota_t *quota, uint16_t team, class_t class, resource_t size,
                int64_t tasks);

/* The team's dominant share of its quota; TOTAL is the zone's capacity.  */
double quota_team_share (const quota_t *quota, uint16_t team,
                         resource_t total);

/* The class's dominant share of TOTAL, as a part of its guaranteed share.  */
double quota_class_share (const quota_t *quota, class_t class,
                          resource_t total);

/* The class that goes next among those with WAITING set: first those under
   their guaranteed share, the furthest below first, then by urgency.  Returns
   CLASS_COUNT if none is waiting.  */
class_t quota_next_class (const quota_t *quota,
                          const bool waiting[CLASS_COUNT], resource_t total);

/* Whether waiting work of CLASS and SIZE may take the room of running batch
   work of VICTIM and VICTIM_SIZE.  The victim's class must keep its guaranteed
   share without that task; the other class must be more urgent, or stay within
   its own share with the new one.  So no two classes preempt each other in
   turn.  */
bool quota_may_preempt (const quota_t *quota, class_t class, resource_t size,
                        class_t victim, resource_t victim_size,
                        resource_t total);

#endif
