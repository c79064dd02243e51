#include "admit.h"

#include <glib.h>
#include <math.h>

/* A class or team that was idle may first be served this many requests beyond
   its share, so that ordinary bursts do not wait.  */
#define BURST_ITEMS 16.0
/* The rates of popped requests are measured over windows of this length.  */
#define RATE_WINDOW_MS 250
#define MS_PER_S 1000.0
/* Accepted probability that a request of a class within its share finds no
   free slot.  */
#define NO_SLOT_PROBABILITY 0.01
/* At most one slot in this many is reserved.  */
#define SLOTS_PER_RESERVED 16
/* Weight of a new sample in the mean hold time of a slot.  */
#define HOLD_SAMPLE_WEIGHT 0.02

typedef struct
{
  admit_item_t *head;
  admit_item_t *tail;
  uint32_t count;
  uint32_t weight;
  double start_tag; /* of the head, in requests / weight */
} team_queue_t;

/* The waiting items of one class (all classes under fifo).  */
typedef struct
{
  GArray *team_queues; /* team_queue_t by team; one only without by_team */
  uint32_t count;
  uint32_t waiting_teams;
  double start_tag;    /* of the class, in slot time / share */
  double virtual_time; /* start tag of the team queue last served */
} class_queue_t;

typedef struct
{
  const char *name;
  bool by_class;   /* each class has a queue of its own */
  bool by_team;    /* each team of a class has a queue of its own */
  bool has_shares; /* classes have guaranteed shares */
} policy_t;

static const policy_t policies[] = {
  { "fair", true, true, true },
  { "strict", true, false, false },
  { "fifo", false, false, false },
};

struct admit
{
  const policy_t *policy;
  class_queue_t class_queues[CLASS_COUNT];
  double weight[CLASS_COUNT];
  double weight_sum;
  uint32_t queue_limit;
  GArray *team_weights; /* uint32_t by team */
  uint32_t count;
  uint32_t class_count[CLASS_COUNT];
  /* Slot time handed out so far (estimated hold times of the popped requests);
     a class is entitled to its share of it.  */
  double virtual_time;
  double mean_hold_ms[CLASS_COUNT]; /* 0: unknown */
  double overall_mean_hold_ms;
  int64_t window_start_ms;
  uint32_t window_pops[CLASS_COUNT];
  double pops_per_s[CLASS_COUNT];
  /* Free slots that a class above its share leaves to the other classes.  */
  uint32_t reserved_slots[CLASS_COUNT];
};

static const policy_t *
find_policy (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
    if (name == NULL || g_strcmp0 (policies[i].name, name) == 0)
      return &policies[i];
  return NULL;
}

static void
apply_settings (admit_t *admit, const policy_t *policy,
                const admit_settings_t *settings)
{
  admit->policy = policy;
  admit->queue_limit = settings->queue_limit;
  admit->weight_sum = 0.0;
  for (int i = 0; i < CLASS_COUNT; i++)
    {
      admit->weight[i] = MAX (settings->weight[i], 1);
      admit->weight_sum += admit->weight[i];
    }
}

admit_t *
admit_new (const admit_settings_t *settings)
{
  const policy_t *policy = find_policy (settings->policy);
  if (policy == NULL)
    return NULL;
  admit_t *admit = g_new0 (admit_t, 1);
  apply_settings (admit, policy, settings);
  admit->team_weights = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  for (int i = 0; i < CLASS_COUNT; i++)
    admit->class_queues[i].team_queues
        = g_array_new (FALSE, TRUE, sizeof (team_queue_t));
  return admit;
}

void
admit_free (admit_t *admit)
{
  if (admit == NULL)
    return;
  for (int i = 0; i < CLASS_COUNT; i++)
    g_array_unref (admit->class_queues[i].team_queues);
  g_array_unref (admit->team_weights);
  g_free (admit);
}

static team_queue_t *
team_queue_at (const class_queue_t *class_queue, uint32_t team)
{
  return &g_array_index (class_queue->team_queues, team_queue_t, team);
}

static uint32_t
team_weight (const admit_t *admit, uint32_t team)
{
  if (team >= admit->team_weights->len)
    return 1;
  return MAX (g_array_index (admit->team_weights, uint32_t, team), 1);
}

void
admit_set_team_weight (admit_t *admit, uint32_t team, uint32_t weight)
{
  if (team >= admit->team_weights->len)
    g_array_set_size (admit->team_weights, team + 1);
  g_array_index (admit->team_weights, uint32_t, team) = weight;
  for (int i = 0; admit->policy->by_team && i < CLASS_COUNT; i++)
    if (team < admit->class_queues[i].team_queues->len)
      team_queue_at (&admit->class_queues[i], team)->weight = MAX (weight, 1);
}

/* Sets the queues of ITEM under the current policy and returns its team queue,
   which is added on first use.  */
static team_queue_t *
assign_queues (admit_t *admit, admit_item_t *item)
{
  item->class_index = admit->policy->by_class ? (uint8_t)item->class : 0;
  item->team_index = admit->policy->by_team ? item->team : 0;
  class_queue_t *class_queue = &admit->class_queues[item->class_index];
  if (item->team_index >= class_queue->team_queues->len)
    {
      uint32_t old = class_queue->team_queues->len;
      g_array_set_size (class_queue->team_queues, item->team_index + 1);
      for (uint32_t i = old; i < class_queue->team_queues->len; i++)
        team_queue_at (class_queue, i)->weight
            = admit->policy->by_team ? team_weight (admit, i) : 1;
    }
  return team_queue_at (class_queue, item->team_index);
}

/* Expected slot time of a request of class CLASS_INDEX, relative to the other
   classes.  */
static double
cost_of (const admit_t *admit, unsigned class_index)
{
  if (admit->mean_hold_ms[class_index] > 0.0)
    return admit->mean_hold_ms[class_index];
  return admit->overall_mean_hold_ms > 0.0 ? admit->overall_mean_hold_ms : 1.0;
}

/* Updates counts and start tags for ITEM, which was added to TEAM_QUEUE.  */
static void
account_queued (admit_t *admit, admit_item_t *item, team_queue_t *team_queue)
{
  class_queue_t *class_queue = &admit->class_queues[item->class_index];
  if (team_queue->count++ == 0)
    {
      class_queue->waiting_teams++;
      team_queue->start_tag
          = MAX (team_queue->start_tag,
                 class_queue->virtual_time - BURST_ITEMS / team_queue->weight);
    }
  if (class_queue->count++ == 0)
    {
      double credit = BURST_ITEMS * cost_of (admit, item->class_index)
                      * admit->weight_sum / admit->weight[item->class_index];
      class_queue->start_tag
          = MAX (class_queue->start_tag, admit->virtual_time - credit);
    }
  admit->count++;
  admit->class_count[item->class]++;
  item->queued = true;
}

static void
append_item (admit_t *admit, admit_item_t *item, team_queue_t *team_queue)
{
  item->next = NULL;
  item->prev = team_queue->tail;
  if (team_queue->tail != NULL)
    team_queue->tail->next = item;
  else
    team_queue->head = item;
  team_queue->tail = item;
  account_queued (admit, item, team_queue);
}

bool
admit_push (admit_t *admit, admit_item_t *item)
{
  team_queue_t *team_queue = assign_queues (admit, item);
  uint32_t limit = admit->queue_limit;
  /* Under fifo one queue holds all classes.  */
  if (!admit->policy->by_class)
    limit *= CLASS_COUNT;
  if (team_queue->count >= limit)
    return false;
  append_item (admit, item, team_queue);
  return true;
}

void
admit_push_front (admit_t *admit, admit_item_t *item)
{
  team_queue_t *team_queue = assign_queues (admit, item);
  item->prev = NULL;
  item->next = team_queue->head;
  if (team_queue->head != NULL)
    team_queue->head->prev = item;
  else
    team_queue->tail = item;
  team_queue->head = item;
  account_queued (admit, item, team_queue);
}

void
admit_remove (admit_t *admit, admit_item_t *item)
{
  class_queue_t *class_queue = &admit->class_queues[item->class_index];
  team_queue_t *team_queue = team_queue_at (class_queue, item->team_index);
  if (item->prev != NULL)
    item->prev->next = item->next;
  else
    team_queue->head = item->next;
  if (item->next != NULL)
    item->next->prev = item->prev;
  else
    team_queue->tail = item->prev;
  if (--team_queue->count == 0)
    class_queue->waiting_teams--;
  class_queue->count--;
  admit->count--;
  admit->class_count[item->class]--;
  item->queued = false;
  item->next = item->prev = NULL;
}

bool
admit_configure (admit_t *admit, const admit_settings_t *settings)
{
  const policy_t *policy = find_policy (settings->policy);
  if (policy == NULL)
    return false;
  admit_item_t *first = NULL, *last = NULL;
  for (int i = 0; i < CLASS_COUNT; i++)
    for (uint32_t team = 0; team < admit->class_queues[i].team_queues->len;
         team++)
      for (admit_item_t *item
           = team_queue_at (&admit->class_queues[i], team)->head;
           item != NULL;
           item = team_queue_at (&admit->class_queues[i], team)->head)
        {
          admit_remove (admit, item);
          if (last != NULL)
            last->next = item;
          else
            first = item;
          last = item;
        }
  for (int i = 0; i < CLASS_COUNT; i++)
    g_array_set_size (admit->class_queues[i].team_queues, 0);
  apply_settings (admit, policy, settings);
  while (first != NULL)
    {
      admit_item_t *item = first;
      first = item->next;
      append_item (admit, item, assign_queues (admit, item));
    }
  return true;
}

/* Returns the class to serve, or CLASS_COUNT if none may be served.  Sets
   *ENTITLED to whether it is served out of its own share.  A class with more
   than BURST_ITEMS waiting gets no reserved slot even within its share, since
   the other slots are enough for that share.  */
static unsigned
choose_class (const admit_t *admit, uint32_t free_slots, uint32_t slots,
              bool *entitled)
{
  /* The most urgent class allowed, and the class furthest below its share.  */
  unsigned first = CLASS_COUNT, behind = CLASS_COUNT;
  for (unsigned i = 0; i < CLASS_COUNT; i++)
    {
      const class_queue_t *class_queue = &admit->class_queues[i];
      if (class_queue->count == 0)
        continue;
      bool only_reserved = admit->policy->has_shares
                           && free_slots <= MIN (admit->reserved_slots[i],
                                                 slots / SLOTS_PER_RESERVED);
      if (first == CLASS_COUNT && !only_reserved)
        first = i;
      if (class_queue->start_tag <= admit->virtual_time
          && (!only_reserved || class_queue->count <= BURST_ITEMS)
          && (behind == CLASS_COUNT
              || class_queue->start_tag
                     < admit->class_queues[behind].start_tag))
        behind = i;
    }
  *entitled = admit->policy->has_shares && behind != CLASS_COUNT;
  return *entitled ? behind : first;
}

static team_queue_t *
choose_team_queue (const class_queue_t *class_queue)
{
  team_queue_t *best = NULL;
  for (uint32_t i = 0; i < class_queue->team_queues->len; i++)
    {
      team_queue_t *team_queue = team_queue_at (class_queue, i);
      if (team_queue->count > 0
          && (best == NULL || team_queue->start_tag < best->start_tag))
        best = team_queue;
    }
  return best;
}

admit_item_t *
admit_peek (admit_t *admit)
{
  bool entitled = false;
  unsigned class_index = choose_class (admit, ADMIT_NO_RESERVE, 0, &entitled);
  return class_index == CLASS_COUNT
             ? NULL
             : choose_team_queue (&admit->class_queues[class_index])->head;
}

/* Sets how many slots each class leaves free for the others.  The reserved
   slots are taken at the request rate of the other classes and freed at the
   rate of all requests.  With Q as the quotient of the two rates, all K slots
   are taken with a probability of about Q to the power K.  */
static void
update_reserved_slots (admit_t *admit)
{
  double total = 0.0;
  for (int i = 0; i < CLASS_COUNT; i++)
    total += admit->pops_per_s[i];
  for (int i = 0; i < CLASS_COUNT; i++)
    {
      double others = total - admit->pops_per_s[i];
      admit->reserved_slots[i] = 0;
      if (others >= 1.0)
        admit->reserved_slots[i] = (uint32_t)ceil (
            log (NO_SLOT_PROBABILITY) / log (MIN (others / total, 0.99)));
    }
}

static void
count_pop (admit_t *admit, class_t class, int64_t now_ms)
{
  int64_t passed_ms = now_ms - admit->window_start_ms;
  if (passed_ms >= RATE_WINDOW_MS)
    {
      for (int i = 0; i < CLASS_COUNT; i++)
        {
          double now_per_s
              = admit->window_pops[i] * MS_PER_S / (double)passed_ms;
          admit->pops_per_s[i] = (admit->pops_per_s[i] + now_per_s) / 2.0;
          admit->window_pops[i] = 0;
        }
      admit->window_start_ms = now_ms;
      update_reserved_slots (admit);
    }
  admit->window_pops[class]++;
}

admit_item_t *
admit_pop (admit_t *admit, int64_t now_ms, uint32_t free_slots, uint32_t slots)
{
  bool entitled = false;
  unsigned class_index = choose_class (admit, free_slots, slots, &entitled);
  if (class_index == CLASS_COUNT)
    return NULL;
  class_queue_t *class_queue = &admit->class_queues[class_index];
  team_queue_t *team_queue = choose_team_queue (class_queue);
  admit_item_t *item = team_queue->head;
  double cost = cost_of (admit, class_index);
  admit->virtual_time += cost;
  if (entitled)
    class_queue->start_tag
        += cost * admit->weight_sum / admit->weight[class_index];
  class_queue->virtual_time
      = MAX (class_queue->virtual_time, team_queue->start_tag);
  team_queue->start_tag += 1.0 / team_queue->weight;
  admit_remove (admit, item);
  count_pop (admit, item->class, now_ms);
  return item;
}

static void
update_mean (double *mean, double sample)
{
  *mean = *mean > 0.0 ? *mean + HOLD_SAMPLE_WEIGHT * (sample - *mean) : sample;
}

void
admit_record_hold (admit_t *admit, class_t class, double held_ms)
{
  double sample = MAX (held_ms, 0.001);
  update_mean (&admit->mean_hold_ms[class], sample);
  update_mean (&admit->overall_mean_hold_ms, sample);
}

double
admit_mean_hold_ms (const admit_t *admit, class_t class)
{
  return admit->mean_hold_ms[class];
}

int64_t
admit_wait_ms (const admit_t *admit, class_t class, uint32_t team,
               uint32_t slots)
{
  if (admit->overall_mean_hold_ms <= 0.0)
    return -1;
  double total = 0.0;
  for (int i = 0; i < CLASS_COUNT; i++)
    total += admit->pops_per_s[i];
  /* Under light load the measured rate is below what the slots can serve.  */
  total = MAX (total, slots * MS_PER_S / admit->overall_mean_hold_ms);
  double ahead = 0.0, rate = total;
  if (!admit->policy->has_shares)
    {
      for (unsigned i = 0; i <= (unsigned)class || !admit->policy->by_class;
           i++)
        {
          if (i == CLASS_COUNT)
            break;
          ahead += admit->class_count[i];
        }
    }
  else
    {
      const class_queue_t *class_queue = &admit->class_queues[class];
      ahead = class_queue->count;
      if (team < class_queue->team_queues->len)
        {
          const team_queue_t *team_queue = team_queue_at (class_queue, team);
          uint32_t teams
              = class_queue->waiting_teams + (team_queue->count == 0);
          ahead = MIN (ahead, (double)team_queue->count * teams);
        }
      for (int i = 0; i < CLASS_COUNT; i++)
        if (i != (int)class)
          rate -= admit->pops_per_s[i];
      rate = MAX (rate, total * admit->weight[class] / admit->weight_sum);
    }
  return rate <= 0.0 ? -1 : (int64_t)(ahead * MS_PER_S / rate);
}

uint32_t
admit_count (const admit_t *admit)
{
  return admit->count;
}

uint32_t
admit_class_count (const admit_t *admit, class_t class)
{
  return admit->class_count[class];
}

uint32_t
admit_team_count (const admit_t *admit, class_t class, uint32_t team)
{
  const class_queue_t *class_queue = &admit->class_queues[class];
  if (!admit->policy->by_team || team >= class_queue->team_queues->len)
    return 0;
  return team_queue_at (class_queue, team)->count;
}

const char *
admit_policy (const admit_t *admit)
{
  return admit->policy->name;
}
