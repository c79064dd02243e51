#ifndef MAGNOLIADOCK_FAKE_ZONE_INTERNAL_H
#define MAGNOLIADOCK_FAKE_ZONE_INTERNAL_H

#include "dispatch_internal.h"
#include "fake_zone.h"

/* Shared by fake_zone.c (events, store, faults, checks) and fake_zone_entry.c
   (one entry: its actions, messages and backend servers).  */

#define MAX_ENTRIES 8
#define MAX_PROCESSES 16
#define TICK_PERIOD_MS 10
#define HEARTBEAT_MS 1000
#define PEER_TIMEOUT_MS 3000
#define LIST_LAG_MS 10000
#define STORE_TIMEOUT_MS 2000
#define MAX_DEADLINE_MS 60000
/* Simulated time after the last fault.  A planned stop takes up to 60 s until
   its requests have ended, then the list lags by 10 s and the retirement
   of the entry (share.h) waits 62 s; the rest is for its messages and for all
   entries to settle.  */
#define RECOVERY_MS 180000
#define MEAN_RUN_MS 40

typedef enum
{
  EVENT_TICK,
  EVENT_MESSAGE,
  EVENT_RUN_ENDS,     /* of a request on its backend server */
  EVENT_ATTEMPT_ENDS, /* as the entry sees it */
  EVENT_ARRIVAL,
  EVENT_STORE_READ,
  EVENT_STORE_WRITE,
  EVENT_STORE_REPLY,
  EVENT_FAULT,
  EVENT_ENTRY_RESTART,
  EVENT_ENTRY_GONE,
  EVENT_PROCESS_CHANGED,
  EVENT_PROCESS_RETURNS
} event_kind_t;

typedef enum
{
  MESSAGE_LOAD,
  MESSAGE_LEDGER,
  MESSAGE_SLOT_WANT,
  MESSAGE_CLOSING_REQUEST, /* closing statements: see share.h */
  MESSAGE_CLOSING_STATEMENT,
  MESSAGE_LEAVING
} message_kind_t;

typedef struct
{
  message_kind_t kind;
  char *from;
  uint32_t from_index;
  uint32_t count;     /* free slots, slots wanted or member names */
  uint32_t queued;    /* MESSAGE_LOAD only */
  GPtrArray *strings; /* member names and strings of the items, owned */
  GArray *ledger;     /* dispatch_ledger_item_t */
  GArray *closing;    /* dispatch_closing_item_t */
} message_t;

typedef struct
{
  int64_t at_ms;
  uint64_t sequence; /* orders events of the same time */
  event_kind_t kind;
  uint32_t entry;
  uint64_t entry_incarnation; /* that it is for, 0: any */
  uint64_t request_id;        /* 0: the attempt is a probe */
  uint32_t attempt;
  uint32_t process;
  int64_t process_incarnation;
  err_kind_t result;
  bool abandoned; /* by the entry, before the run ends */
  message_t *message;
  json_t *row;
  int64_t version;
} event_t;

typedef struct zone zone_t;

typedef struct
{
  zone_t *zone;
  uint32_t index;
  uint64_t incarnation; /* 0: not running */
  char *name;
  dispatch_t *dispatch;
  counter_registry_t *registry;
  int64_t paused_until_ms;
  int64_t next_heartbeat_ms;
  bool store_busy;
  uint32_t actions_until_crash; /* 0: no crash; the last action may be in
                                   the middle of an event */
  bool crashing;                /* until the event has been handled */
  bool draining;
  int64_t last_received_ms[MAX_ENTRIES];
  char *peer_name[MAX_ENTRIES]; /* NULL: peer is down */
  uint32_t answered_after_faults;
} entry_t;

typedef struct
{
  int64_t incarnation;
  uint32_t running; /* requests */
  bool gone;        /* not running, and to be listed as gone */
} fake_process_t;

typedef struct
{
  uint32_t entry;
  bool idempotent;
  bool ended;
  bool check_outcome; /* OUTCOME is reported for this request, not for an
                         earlier one with the same id */
  outcome_t outcome;
  int64_t deadline_ms;
  uint32_t deliveries; /* of this request */
  uint32_t runs; /* of it and, if it is the first one with its caller's id, of
                    the later ones */
  uint64_t first_id; /* of the first request with the same caller's id */
} request_record_t;

struct zone
{
  zone_scenario_t scenario;
  zone_report_t report;
  clk_fake_t clock;
  int64_t now_ms;
  GRand *random;
  GArray *event_heap; /* event_t */
  uint64_t next_sequence;
  uint64_t last_incarnation;
  entry_t entries[MAX_ENTRIES];
  fake_process_t processes[MAX_PROCESSES];
  bool link_cut[MAX_ENTRIES][MAX_ENTRIES]; /* from, to */
  bool store_down;
  bool faults_over;
  json_t *shares_row;
  int64_t shares_version;
  GArray *requests;        /* request_record_t by request id - 1 */
  GPtrArray *gone_entries; /* names of entries that are gone */
};

void zone_schedule (zone_t *zone, event_t event, int64_t delay_ms);
/* Returns a random number from 0 to BELOW - 1.  */
uint32_t zone_random_below (zone_t *zone, uint32_t below);
/* Returns whether a fault of this probability happens; never once the faults
   have ended.  */
bool zone_chance (zone_t *zone, double probability);
request_record_t *zone_request (zone_t *zone, uint64_t id);

void zone_start_entry (zone_t *zone, uint32_t index);
void zone_stop_entry (zone_t *zone, uint32_t index);
/* CHECK_OUTCOME and OUTCOME: as in request_record_t.  */
void zone_end_request (entry_t *entry, uint64_t id, bool check_outcome,
                       outcome_t outcome);
/* Tells ENTRY the current state of process P.  */
void zone_announce_process (entry_t *entry, uint32_t p);
void zone_deliver (entry_t *entry, const message_t *message);
void zone_heartbeat (entry_t *entry);
/* Begins a planned stop.  */
void zone_begin_stop (entry_t *entry);
message_t *zone_message_copy (const message_t *from);
void zone_message_free (message_t *message);

#endif
