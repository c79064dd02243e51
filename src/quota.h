#ifndef MAGNOLIADOCK_QUOTA_H
#define MAGNOLIADOCK_QUOTA_H

#include "dispatch.h"
#include "resource.h"

/* NAME
     quota - resource usage of teams and classes, and which is served next

   The order is that of dominant-resource fairness (Ghodsi et al., 2011): the
   team whose dominant share is the smallest part of its quota goes first.  A
   quota only sets the order and is no upper limit, so it leaves no capacity
   idle.  */

typedef struct
{
  char *name;
  resource_t quota; /* all 0: a fiftieth of the zone */
  resource_t used;
} quota_team_t;

typedef struct
{
  GArray *teams;             /* quota_team_t */
  GHashTable *index_by_name; /* name -> index in TEAMS */
  uint32_t guaranteed_percent[CLASS_COUNT];
  resource_t class_used[CLASS_COUNT];
} quota_t;

void quota_init (quota_t *quota);
void quota_clear (quota_t *quota);

/* Returns the index of team NAME, which is added on first use.  The index
   never changes.  Teams beyond the largest index share the last one.  */
uint16_t quota_team_index (quota_t *quota, const char *name);
static inline quota_team_t *
quota_team_at (const quota_t *quota, uint16_t team)
{
  return &g_array_index (quota->teams, quota_team_t, team);
}

/* Sets all usage to 0.  */
void quota_reset_usage (quota_t *quota);
/* Adds TASKS times SIZE to the usage of TEAM and CLASS; a negative TASKS
   subtracts.  */
void quota_add_usage (quota_t *quota, uint16_t team, class_t class,
                      resource_t size, int64_t tasks);

/* Returns the team's dominant share of its quota; TOTAL is the capacity of the
   zone.  */
double quota_team_share (const quota_t *quota, uint16_t team,
                         resource_t total);

/* Returns the class's dominant share of TOTAL, divided by its guaranteed
   share.  */
double quota_class_share (const quota_t *quota, class_t class,
                          resource_t total);

/* Returns the class to be served next among those with WAITING set: the one
   that uses the smallest part of its guaranteed share; if all use at least
   their share, the most urgent one.  Returns CLASS_COUNT if none is
   waiting.  */
class_t quota_next_class (const quota_t *quota,
                          const bool waiting[CLASS_COUNT], resource_t total);

/* Returns whether a waiting task of CLASS and SIZE may preempt a running batch
   task of class VICTIM and VICTIM_SIZE.  The victim's class must keep its
   guaranteed share without that task; the other class must be more urgent, or
   stay within its own share with the new task.  So no two classes preempt each
   other in turn.  */
bool quota_may_preempt (const quota_t *quota, class_t class, resource_t size,
                        class_t victim, resource_t victim_size,
                        resource_t total);

#endif
