#include "admit.h"

#include <glib.h>
#include <math.h>

/* An idle class or team may be served this many requests ahead of its share
   when it comes back, so that ordinary bursts do not wait.  */
#define BURST_ITEMS 16.0
#define RATE_WINDOW_MS 250
#define MS_PER_S 1000.0
/* Part of the requests within a share that may still find no free slot.  */
#define WAIT_CHANCE 0.01
/* At most one slot in this many is kept free.  */
#define SLOTS_PER_KEPT 16
/* Weight of a new sample in the mean time that a slot is held.  */
#define HELD_WEIGHT 0.02

typedef struct
{
  admit_item_t *head;
  admit_item_t *tail;
  uint32_t count;
  uint32_t weight;
  double start; /* start tag of the head */
} row_t;

/* The waiting items of one class (all classes under fifo).  */
typedef struct
{
  GArray *rows; /* row_t by team (one row if teams are not kept apart) */
  uint32_t count;
  uint32_t waiting_rows;
  double start;        /* start tag of the class */
  double virtual_time; /* start tag of the row last served */
} lane_t;

typedef struct
{
  const char *name;
  bool by_class;
  bool by_team;
  bool shares;
} policy_t;

static const policy_t policies[] = {
  { "fair", true, true, true },
  { "strict", true, false, false },
  { "fifo", false, false, false },
};

struct admit
{
  const policy_t *policy;
  lane_t lanes[CLASS_COUNT];
  double weight[CLASS_COUNT];
  double weight_sum;
  uint32_t queue_limit;
  GArray *team_weights; /* uint32_t by team */
  uint32_t count;
  uint32_t class_count[CLASS_COUNT];
  /* Slot time given out so far; a class is entitled to its share of it.  */
  double virtual_time;
  double held_ms[CLASS_COUNT]; /* mean time a slot is held, 0: unknown */
  double all_held_ms;
  int64_t window_ms;
  uint32_t window_popped[CLASS_COUNT];
  double rate_per_s[CLASS_COUNT];
  uint32_t keep[CLASS_COUNT]; /* slots a class above its share leaves free */
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
    admit->lanes[i].rows = g_array_new (FALSE, TRUE, sizeof (row_t));
  return admit;
}

void
admit_free (admit_t *admit)
{
  if (admit == NULL)
    return;
  for (int i = 0; i < CLASS_COUNT; i++)
    g_array_unref (admit->lanes[i].rows);
  g_array_unref (admit->team_weights);
  g_free (admit);
}

static row_t *
row_of (const lane_t *lane, uint32_t row)
{
  return &g_array_index (lane->rows, row_t, row);
}

static uint32_t
team_weight (const admit_t *admit, uint32_t team)
{
  if (team >= admit->team_weights->len)
    return 1;
  return MAX (g_array_index (admit->team_weights, uint32_t, team), 1);
}

void
admit_team_weight (admit_t *admit, uint32_t team, uint32_t weight)
{
  if (team >= admit->team_weights->len)
    g_array_set_size (admit->team_weights, team + 1);
  g_array_index (admit->team_weights, uint32_t, team) = weight;
  for (int i = 0; admit->policy->by_team && i < CLASS_COUNT; i++)
    if (team < admit->lanes[i].rows->len)
      row_of (&admit->lanes[i], team)->weight = MAX (weight, 1);
}

/* Sets where ITEM stands under the present policy, adding its row.  */
static row_t *
locate (admit_t *admit, admit_item_t *item)
{
  item->lane = admit->policy->by_class ? (uint8_t)item->class : 0;
  item->row = admit->policy->by_team ? item->team : 0;
  lane_t *lane = &admit->lanes[item->lane];
  if (item->row >= lane->rows->len)
    {
      uint32_t old = lane->rows->len;
      g_array_set_size (lane->rows, item->row + 1);
      for (uint32_t i = old; i < lane->rows->len; i++)
        row_of (lane, i)->weight
            = admit->policy->by_team ? team_weight (admit, i) : 1;
    }
  return row_of (lane, item->row);
}

/* Slot time that a request of the class of LANE is expected to take, relative
   to the others.  */
static double
cost_of (const admit_t *admit, unsigned lane)
{
  if (admit->held_ms[lane] > 0.0)
    return admit->held_ms[lane];
  return admit->all_held_ms > 0.0 ? admit->all_held_ms : 1.0;
}

static void
count_in (admit_t *admit, admit_item_t *item, row_t *row)
{
  lane_t *lane = &admit->lanes[item->lane];
  if (row->count++ == 0)
    {
      lane->waiting_rows++;
      row->start
          = MAX (row->start, lane->virtual_time - BURST_ITEMS / row->weight);
    }
  if (lane->count++ == 0)
    {
      double credit = BURST_ITEMS * cost_of (admit, item->lane)
                      * admit->weight_sum / admit->weight[item->lane];
      lane->start = MAX (lane->start, admit->virtual_time - credit);
    }
  admit->count++;
  admit->class_count[item->class]++;
  item->queued = true;
}

static void
append (admit_t *admit, admit_item_t *item, row_t *row)
{
  item->next = NULL;
  item->prev = row->tail;
  if (row->tail != NULL)
    row->tail->next = item;
  else
    row->head = item;
  row->tail = item;
  count_in (admit, item, row);
}

bool
admit_push (admit_t *admit, admit_item_t *item)
{
  row_t *row = locate (admit, item);
  uint32_t limit = admit->queue_limit;
  /* One queue stands for all classes under fifo.  */
  if (!admit->policy->by_class)
    limit *= CLASS_COUNT;
  if (row->count >= limit)
    return false;
  append (admit, item, row);
  return true;
}

void
admit_push_front (admit_t *admit, admit_item_t *item)
{
  row_t *row = locate (admit, item);
  item->prev = NULL;
  item->next = row->head;
  if (row->head != NULL)
    row->head->prev = item;
  else
    row->tail = item;
  row->head = item;
  count_in (admit, item, row);
}

void
admit_remove (admit_t *admit, admit_item_t *item)
{
  lane_t *lane = &admit->lanes[item->lane];
  row_t *row = row_of (lane, item->row);
  if (item->prev != NULL)
    item->prev->next = item->next;
  else
    row->head = item->next;
  if (item->next != NULL)
    item->next->prev = item->prev;
  else
    row->tail = item->prev;
  if (--row->count == 0)
    lane->waiting_rows--;
  lane->count--;
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
  admit_item_t *kept = NULL, *last = NULL;
  for (int i = 0; i < CLASS_COUNT; i++)
    for (uint32_t r = 0; r < admit->lanes[i].rows->len; r++)
      for (admit_item_t *item = row_of (&admit->lanes[i], r)->head;
           item != NULL; item = row_of (&admit->lanes[i], r)->head)
        {
          admit_remove (admit, item);
          if (last != NULL)
            last->next = item;
          else
            kept = item;
          last = item;
        }
  for (int i = 0; i < CLASS_COUNT; i++)
    g_array_set_size (admit->lanes[i].rows, 0);
  apply_settings (admit, policy, settings);
  while (kept != NULL)
    {
      admit_item_t *item = kept;
      kept = item->next;
      append (admit, item, locate (admit, item));
    }
  return true;
}

/* Returns the class to serve, CLASS_COUNT if none may be.  ENTITLED says
   whether it is served out of its own share.  A class that floods gets no kept
   slot, not even out of its share, which the other slots suffice for.  */
static unsigned
choose_lane (const admit_t *admit, uint32_t free_slots, uint32_t slots,
             bool *entitled)
{
  unsigned first = CLASS_COUNT, behind = CLASS_COUNT;
  for (unsigned i = 0; i < CLASS_COUNT; i++)
    {
      const lane_t *lane = &admit->lanes[i];
      if (lane->count == 0)
        continue;
      bool kept
          = admit->policy->shares
            && free_slots <= MIN (admit->keep[i], slots / SLOTS_PER_KEPT);
      if (first == CLASS_COUNT && !kept)
        first = i;
      if (lane->start <= admit->virtual_time
          && (!kept || lane->count <= BURST_ITEMS)
          && (behind == CLASS_COUNT
              || lane->start < admit->lanes[behind].start))
        behind = i;
    }
  *entitled = admit->policy->shares && behind != CLASS_COUNT;
  return *entitled ? behind : first;
}

static row_t *
choose_row (const lane_t *lane)
{
  row_t *best = NULL;
  for (uint32_t i = 0; i < lane->rows->len; i++)
    {
      row_t *row = row_of (lane, i);
      if (row->count > 0 && (best == NULL || row->start < best->start))
        best = row;
    }
  return best;
}

admit_item_t *
admit_peek (admit_t *admit)
{
  bool entitled = false;
  unsigned lane = choose_lane (admit, ADMIT_ALL_FREE, 0, &entitled);
  return lane == CLASS_COUNT ? NULL : choose_row (&admit->lanes[lane])->head;
}

/* Requests of the other classes take kept slots at their rate, and each
   request that ends gives one back, so that with the rates' quotient Q all K
   kept slots are taken with a chance of about Q to the power K.  */
static void
size_kept_slots (admit_t *admit)
{
  double total = 0.0;
  for (int i = 0; i < CLASS_COUNT; i++)
    total += admit->rate_per_s[i];
  for (int i = 0; i < CLASS_COUNT; i++)
    {
      double others = total - admit->rate_per_s[i];
      admit->keep[i] = 0;
      if (others >= 1.0)
        admit->keep[i] = (uint32_t)ceil (log (WAIT_CHANCE)
                                         / log (MIN (others / total, 0.99)));
    }
}

static void
note_popped (admit_t *admit, class_t class, int64_t now_ms)
{
  int64_t passed_ms = now_ms - admit->window_ms;
  if (passed_ms >= RATE_WINDOW_MS)
    {
      for (int i = 0; i < CLASS_COUNT; i++)
        {
          double now_per_s
              = admit->window_popped[i] * MS_PER_S / (double)passed_ms;
          admit->rate_per_s[i] = (admit->rate_per_s[i] + now_per_s) / 2.0;
          admit->window_popped[i] = 0;
        }
      admit->window_ms = now_ms;
      size_kept_slots (admit);
    }
  admit->window_popped[class]++;
}

admit_item_t *
admit_pop (admit_t *admit, int64_t now_ms, uint32_t free_slots, uint32_t slots)
{
  bool entitled = false;
  unsigned index = choose_lane (admit, free_slots, slots, &entitled);
  if (index == CLASS_COUNT)
    return NULL;
  lane_t *lane = &admit->lanes[index];
  row_t *row = choose_row (lane);
  admit_item_t *item = row->head;
  double cost = cost_of (admit, index);
  admit->virtual_time += cost;
  if (entitled)
    lane->start += cost * admit->weight_sum / admit->weight[index];
  lane->virtual_time = MAX (lane->virtual_time, row->start);
  row->start += 1.0 / row->weight;
  admit_remove (admit, item);
  note_popped (admit, item->class, now_ms);
  return item;
}

static void
average (double *mean, double sample)
{
  *mean = *mean > 0.0 ? *mean + HELD_WEIGHT * (sample - *mean) : sample;
}

void
admit_served (admit_t *admit, class_t class, double held_ms)
{
  double sample = MAX (held_ms, 0.001);
  average (&admit->held_ms[class], sample);
  average (&admit->all_held_ms, sample);
}

double
admit_held_ms (const admit_t *admit, class_t class)
{
  return admit->held_ms[class];
}

int64_t
admit_wait_ms (const admit_t *admit, class_t class, uint32_t team,
               uint32_t slots)
{
  if (admit->all_held_ms <= 0.0)
    return -1;
  double total = 0.0;
  for (int i = 0; i < CLASS_COUNT; i++)
    total += admit->rate_per_s[i];
  /* A quiet service completes less than it could.  */
  total = MAX (total, slots * MS_PER_S / admit->all_held_ms);
  double ahead = 0.0, rate = total;
  if (!admit->policy->shares)
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
      const lane_t *lane = &admit->lanes[class];
      ahead = lane->count;
      if (team < lane->rows->len)
        {
          const row_t *row = row_of (lane, team);
          uint32_t rows = lane->waiting_rows + (row->count == 0);
          ahead = MIN (ahead, (double)row->count * rows);
        }
      for (int i = 0; i < CLASS_COUNT; i++)
        if (i != (int)class)
          rate -= admit->rate_per_s[i];
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
  const lane_t *lane = &admit->lanes[class];
  if (!admit->policy->by_team || team >= lane->rows->len)
    return 0;
  return row_of (lane, team)->count;
}

const char *
admit_policy (const admit_t *admit)
{
  return admit->policy->name;
}
