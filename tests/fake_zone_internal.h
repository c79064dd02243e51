#ifndef MAGNOLIADOCK_FAKE_ZONE_INTERNAL_H
#define MAGNOLIADOCK_FAKE_ZONE_INTERNAL_H

#include "dispatch_internal.h"
#include "fake_zone.h"

/* Shared by fake_zone.c (events, store, faults, checks) and fake_zone_entry.c
   (one entry: its actions, messages and backend servers).  */

#define ENTRIES_MAX 8
#define PROCESSES_MAX 16
#define TICK_PERIOD_MS 10
#define HEARTBEAT_MS 1000
#define PEER_DEAD_MS 3000
#define LIST_LAG_MS 10000
#define STORE_TIMEOUT_MS 2000
#define LONGEST_DEADLINE_MS 60000
/* A planned stop that begins last takes 60 s until its requests have ended,
   then the list lags by 10 s and the retirement waits 62 s; the rest is for
   its messages and to settle.  */
#define HEAL_MS 180000
#define MEAN_RUN_MS 40

typedef enum
{
  EVENT_TICK,
  EVENT_MESSAGE,
  EVENT_RUN_ENDS,
  EVENT_ATTEMPT_ENDS,
  EVENT_ARRIVAL,
  EVENT_STORE_READ,
  EVENT_STORE_WRITE,
  EVENT_STORE_REPLY,
  EVENT_FAULT,
  EVENT_RESTART,
  EVENT_GONE,
  EVENT_PROCESS_GONE,
  EVENT_PROCESS_RETURNS
} event_kind_t;

typedef enum
{
  MESSAGE_LOAD,
  MESSAGE_LEDGER,
  MESSAGE_WANT,
  MESSAGE_CLOSING_REQUEST,
  MESSAGE_CLOSING_STATEMENT,
  MESSAGE_LEAVING
} message_kind_t;

typedef struct
{
  message_kind_t kind;
  char *from;
  uint32_t from_index;
  uint32_t a, b;
  GPtrArray *names; /* strings of the items, owned */
  GArray *given;    /* dispatch_given_t */
  GArray *closing;  /* dispatch_closing_t */
} message_t;

typedef struct
{
  int64_t at_ms;
  uint64_t order;
  event_kind_t kind;
  uint32_t entry;
  uint64_t birth; /* of the entry that it is for, 0: any */
  uint64_t id;
  uint32_t attempt;
  uint32_t process;
  int64_t incarnation;
  err_kind_t result;
  bool abandoned; /* the entry gives up before the backend server ends */
  message_t *message;
  json_t *row;
  int64_t version;
} event_t;

typedef struct zone zone_t;

typedef struct
{
  zone_t *zone;
  uint32_t index;
  uint64_t birth; /* 0: not running */
  char *name;
  dispatch_t *dispatch;
  counter_registry_t *registry;
  int64_t paused_until_ms;
  int64_t next_heartbeat_ms;
  bool store_busy;
  uint32_t actions_left; /* dies in the midst of an event; 0: does not */
  bool dying;
  bool draining;
  int64_t heard_ms[ENTRIES_MAX];
  char *heard_name[ENTRIES_MAX]; /* NULL: peer is down */
  uint32_t answered_after_heal;
} entry_t;

typedef struct
{
  int64_t incarnation;
  uint32_t running;
  bool gone; /* for longer than the list lags */
} process_sim_t;

typedef struct
{
  uint32_t entry;
  bool idempotent;
  bool ended;
  bool told;
  outcome_t claim;
  int64_t deadline_ms;
  uint32_t delivered;
  uint32_t ran;
  uint64_t
      repeats; /* first request with the same caller's id, own id if none */
} record_t;

struct zone
{
  zone_case_t run;
  zone_report_t report;
  clk_fake_t clock;
  int64_t now_ms;
  GRand *random;
  GArray *heap; /* event_t */
  uint64_t order;
  uint64_t births;
  entry_t entries[ENTRIES_MAX];
  process_sim_t processes[PROCESSES_MAX];
  bool cut[ENTRIES_MAX][ENTRIES_MAX];
  bool store_down;
  bool healed;
  json_t *row;
  int64_t version;
  GArray *records; /* record_t by request id - 1 */
  GPtrArray *dead; /* names of entries that are gone */
};

void zone_schedule (zone_t *zone, event_t event, int64_t delay_ms);
uint32_t zone_draw (zone_t *zone, uint32_t below);
/* Returns whether a fault of this probability happens; never after healing. */
bool zone_chance (zone_t *zone, double probability);
record_t *zone_record (zone_t *zone, uint64_t id);

void zone_start_entry (zone_t *zone, uint32_t index);
void zone_stop_entry (zone_t *zone, uint32_t index);
void zone_note_end (entry_t *entry, uint64_t id, bool told, outcome_t claim);
void zone_tell_process (entry_t *entry, uint32_t p);
void zone_deliver (entry_t *entry, const message_t *message);
void zone_heartbeat (entry_t *entry);
/* Begins a planned stop.  */
void zone_drain (entry_t *entry);
message_t *zone_message_copy (const message_t *from);
void zone_message_free (message_t *message);

#endif
