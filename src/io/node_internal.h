#ifndef MAGNOLIADOCK_NODE_INTERNAL_H
#define MAGNOLIADOCK_NODE_INTERNAL_H

#include "counter.h"
#include "httpc.h"
#include "httpd.h"
#include "node.h"
#include "adaptive_timeout.h"
#include "freshness.h"
#include "replica.h"
#include "tenure.h"

#include <jansson.h>

/* NAME
     node_internal - structures shared by the node's source files only

   Tables of the store:

     cluster, part "", key "entry/NAME": address, zone, incarnation and
     processor time of a node

     cluster, part CELL, key "beat": heartbeat of the cell's owner, with its
     name, incarnation and token and the pending jobs of each queue

     cluster, part CELL, key "leases": token of an owner that was replaced, and
     how long its leases last

     fence, part CELL, key "owner": owner, incarnation, token, number of its
     last commit and of the last one with a heartbeat, tenure (see tenure.h)

     record, part CELL, key ID: state of a job and its runs; keys ID/NUMBER:
     runs of a wide job

     inbox.CELL, part of the job's id, key ID: a job as submitted; key ID/c:
     the job is cancelled

     home, the same part, key ID: the cell of the job, over all cells

     tombstone, the same part, key ID: the id was cancelled while there was no
     such job; see node_tombstone.c  */

#define CLUSTER_TABLE "cluster"
#define FENCE_TABLE "fence"
#define RECORD_TABLE "record"
#define HOME_TABLE "home"
#define TOMBSTONE_TABLE "tombstone"
/* Jobs are spread over the parts by the first two digits of their id: a part
   takes its writes one after another, only three a second while the store is
   60 times slower than usual, and a burst in the larger deployments brings 100
   a second.  */
#define INBOX_PARTS 64u
#define INBOX_PART_NAME_BYTES 3 /* two digits and the NUL */
#define HEARTBEAT_KEY "beat"
#define FENCE_KEY "owner"
#define LEASES_KEY "leases"
#define ENTRY_PREFIX "entry/"
#define CANCEL_SUFFIX "/c"

/* A claim reserves this many tokens, of which the fence row holds the last
   one, so that any successor goes above all of them.  */
#define TOKEN_RANGE (CELL_MAX_RAISES + 1)

/* Time between two heartbeats.  Other nodes presume an owner lost after
   several.  */
#define HEARTBEAT_MS 200

/* Pause between an answer about the cluster table and the next call for its
   changes, so that one answer reports the heartbeats of several cells.  It
   is shorter on candidates: nodes that would be among the first to claim some
   cell if its owner is lost.  */
#define NODE_CANDIDATE_GAP_MS 80
#define NODE_OTHER_GAP_MS 350

typedef struct node node_t;
typedef struct node_cell node_cell_t;

/* A node of the cluster, this one included, as its row in the cluster table
   describes it.  */
typedef struct
{
  char *name;
  char *address;         /* "IP:PORT" of its peer port */
  int64_t cpu_millis;    /* thousandths of a core that it may use */
  uint32_t advice_calls; /* calls for advice in flight */
  int64_t avoid_until_ms;
  int64_t next_offer_ms;    /* no cell is offered to it before */
  uint32_t advice_failures; /* since the last answered call */
} node_member_t;

typedef enum
{
  CELL_IDLE, /* owned by another node or by none */
  CELL_CLAIMING,
  CELL_LOADING,
  CELL_OWNED,
  CELL_RELEASING
} node_cell_state_t;

/* The owner before this node, as its fence row describes it.  */
typedef struct
{
  char *owner; /* NULL: there was none */
  char *incarnation;
  uint64_t token; /* the last one that was reserved for it */
  tenure_row_t row;
  bool restarted;           /* since it wrote the row */
  int64_t heard_ms;         /* see tenure_view_t */
  char **unreached;         /* workers that it had not reached */
  int64_t unreached_end_ms; /* of their leases */
  int64_t leases_end_ms;    /* of all leases */
} former_owner_t;

/* The last tenure of this node that has ended, of which its successor is to
   be told.  */
typedef struct
{
  uint64_t token, former_token;
  int64_t own_end_ms;       /* of the leases that it gave */
  int64_t inherited_end_ms; /* of those of the owners before it */
  bool untold, in_flight;
  int64_t next_ms; /* not told again before */
} ended_tenure_t;

/* Passes over the inbox before scheduling starts.  Cancels are applied only
   after the jobs and their records are loaded: earlier they would be ignored
   or overwritten.  */
typedef enum
{
  REPLAY_JOBS,
  REPLAY_CANCELS,
  REPLAY_DONE /* the replay is complete, changes are applied as they come */
} replay_pass_t;

struct node_cell
{
  node_t *node;
  char *name; /* name of the service */
  char *inbox_table;
  node_cell_state_t state;
  uint32_t epoch; /* changes with each claim and loss of the cell; answers to
                     calls of an earlier epoch are ignored */

  /* The owner as the store reports it.  */
  char *owner; /* "": none; NULL: no heartbeat was ever seen */
  char *owner_incarnation;
  uint64_t seen_token;       /* highest token in a heartbeat */
  uint64_t heartbeat_number; /* number in the last heartbeat */
  int64_t heartbeat_seen_ms; /* when the heartbeat was last seen to change */
  /* Until then this node claims the cell without delay once it is released, as
     agreed with the owner.  */
  int64_t agreed_until_ms;
  GHashTable *pending_by_queue; /* queue -> count, from the heartbeat */
  bool pending_cut;             /* the heartbeat leaves out some queues */

  /* While this node owns the cell.  */
  cell_t *scheduler;
  replica_t *inbox;
  uint64_t token; /* the last one that is reserved for this node */
  uint64_t commit_number, fence_version;
  former_owner_t former;
  uint64_t heartbeat_commit;  /* number of the last commit with a heartbeat */
  int64_t commit_begun_ms;    /* just before its first attempt was sent */
  GPtrArray *records;         /* stored_record_t, until scheduling begins */
  GPtrArray *expired_ids;     /* char *, jobs whose record is to be removed */
  GPtrArray *records_to_save; /* stored_record_t, of the pending save */
  bool save_pending;
  bool commit_in_flight, commit_has_records, commit_has_heartbeat,
      commit_releases;
  bool records_suspected; /* a commit with the pending records was refused, and
                             one without them is to tell whether it was for
                             them */
  uint32_t commit_refusals;      /* in a row, of commits without records */
  uint32_t commit_removal_count; /* expired ids in the commit in flight */
  uint32_t commit_attempt; /* number of the last attempt to send the commit;
                              answers to earlier ones are ignored */
  int64_t heartbeat_sent_ms;
  int64_t next_offer_ms; /* no offer to another node before */
  int64_t claim_started_ms;
  uint32_t claim_failures; /* claims in a row that failed */
  int64_t claim_due_ms;    /* no claim is begun or sent again before */
  bool claim_unanswered;   /* the claim is to be sent again then */
  ev_timer commit_retry;
  ev_timer read_retry; /* of the records, while the cell is loaded */
  uint32_t read_failures;
  replay_pass_t replay_pass;
  int64_t load_logged_ms;
  int64_t load_processor_ms; /* processor time of the process then */
  int64_t load_waited_ns;    /* node->waited_ns then */
  int64_t advice_took_ms;    /* of the calls answered since, in total */
  uint32_t advice_answers;
  ended_tenure_t ended;
};

/* A row of the table of records; one whose TEXT is NULL is to be removed.  */
typedef struct
{
  char *key;
  char *text;
  size_t length;
} stored_record_t;

/* The removal of old tombstones.  */
typedef struct
{
  int64_t next_ms;       /* does not begin before */
  uint64_t old_version;  /* rows up to this version are old enough */
  uint64_t seen_version; /* highest one of a row that was seen */
  GPtrArray *parts; /* char *, still to be read; NULL: none is under way */
  char *from;       /* first key to be read of the first part; NULL: all */
} tombstone_sweep_t;

struct node
{
  struct ev_loop *loop;
  platform_api_t *platform;
  const clk_t *clock;
  char incarnation[24]; /* start time and a random number in hexadecimal; a
                           later start compares greater */
  queue_table_t *queues;
  replica_t *config, *cluster;
  freshness_t config_freshness; /* of the operator's row */
  char *config_row;             /* the newest one that is known, as text */
  size_t config_row_length;
  bool config_unreadable;     /* that row; QUEUES are of an earlier one */
  bool config_unconfirmed;    /* for too long; it was reported */
  int64_t next_config_ask_ms; /* no confirmation is asked for before */
  uint32_t config_asks;       /* questions to other nodes that are open */
  replica_t *workers;         /* NULL: this node holds no cell */
  GHashTable
      *unreadable_workers; /* ids of the list's unreadable rows, owned */
  GHashTable *cells;       /* name -> node_cell_t, freed by the table */
  httpd_t *peer_server;
  httpd_t *metrics_server; /* NULL: no additional metrics port */
  httpc_t *peer_client;
  GPtrArray *members; /* node_member_t, owned, sorted by name */
  counter_registry_t *metrics;
  ev_timer tick;
  ev_timer claim_timer;
  ev_prepare before_wait;
  ev_check after_wait;
  int64_t wait_began_ns; /* the last wait of LOOP for events */
  int64_t waited_ns;     /* in total */
  ev_signal terminate, interrupt, reload;
  bool input_pending; /* cells have input to process */
  bool stopping, registered, register_in_flight;
  bool cells_listed, list_in_flight;
  int64_t next_list_ms; /* the cells are not listed before */
  tombstone_sweep_t sweep;
  uint32_t tombstones; /* written since ... */
  int64_t tombstones_since_ms;
  uint32_t register_failures; /* in a row */
  int64_t next_register_ms;   /* this node does not register before */
  int64_t stopping_since_ms;
  int64_t store_lag_ms; /* recent delay of the store's long polls beyond their
                           wait_ms */
  int64_t cluster_answered_ms; /* time of the last answer about the cluster */
  adaptive_timeout_t store_timeout; /* wait for an answer to a transaction */
  double write_retry_s;   /* pause before a caller's write is sent again */
  uint32_t next_member;   /* where node_member_next continues */
  uint32_t questions;     /* to owners about jobs that wait for an answer */
  int64_t idle_since_ms;  /* while stopping: start of the time without open
                             requests and held cells; 0: there are some */
  int64_t wall_offset_ms; /* wall time minus the clock's time */
};

/* node.c */
int64_t node_now (const node_t *node);
node_cell_t *node_cell_for_queue (node_t *node, const queue_t *queue);
/* Returns the cell NAME, which is added if it is not known yet.  */
node_cell_t *node_get_cell (node_t *node, const char *name);
void node_counter_increment (node_t *node, const char *name,
                             const char *labels);
/* Adds a duration to the histogram NAME.  */
void node_histogram_add (node_t *node, const char *name, int64_t took_ms);

/* Number of cells that this node is claiming, loading or releasing, or owns.
 */
uint32_t node_cells_held (const node_t *node);

/* Follows the cluster table, if the node does not yet.  */
void node_follow_cluster (node_t *node);
/* The store has answered a call for changes LATE_MS later than it could have;
   -1: not known.  */
void node_store_answered (node_t *node, int64_t late_ms);
/* Callers are sent to other nodes while the store does not answer this one,
   and while it cannot decide their requests.  */
void node_check_readiness (node_t *node);

/* node_config.c */
void node_follow_config (node_t *node);
/* Asks for a confirmation of the configuration if the last one is old, and
   reports one that is too old.  */
void node_check_config (node_t *node);
/* Whether requests may be decided by the configuration.  */
bool node_config_is_current (const node_t *node);
/* The store has, or had, VERSION of the operator's row; 0: not known.  */
void node_config_heard (node_t *node, uint64_t version);
/* Tells another node which version this one has, and how old its confirmation
   is.  */
void node_config_serve (void *context, httpd_exchange_t *exchange,
                        const httpd_request_t *request);
/* Implements the handler route of caller_request_handlers_t.  */
const queue_t *node_route_request (void *context, caller_request_t *request,
                                   const char *host, const char *path,
                                   const char **rest);

/* node_register.c */
/* Registers this node if it is not registered yet and no call or pause is
   under way.  */
void node_register_if_due (node_t *node);

/* node_cell.c */
/* Starts scheduling once the records, the inbox and the list of workers are
   loaded.  */
void node_cell_begin_if_loaded (node_cell_t *cell);
node_cell_t *node_cell_new (node_t *node, const char *name);
void node_cell_free (node_cell_t *cell);
void node_cell_claimed (node_cell_t *cell);
void node_cell_step_down (node_cell_t *cell, const char *reason);
void node_cell_run (node_cell_t *cell, int64_t wall_ms);
extern const cell_actions_t node_cell_actions;

/* node_workers.c */
/* Starts to follow the list of workers if this node holds a cell, and stops if
   it holds none.  */
void node_follow_workers (node_t *node);
/* Asks the store about the list if the last confirmation is old.  */
void node_check_workers (node_t *node);
/* The row KEY of the list has changed; VALUE is NULL for a removed row.  A row
   that can't be read names no worker, as if it were removed.  */
void node_worker_changed (void *context, const char *part, const char *key,
                          const char *value, size_t length);

/* node_commit.c */
void node_commit (node_cell_t *cell);
void node_commit_retry (struct ev_loop *loop, ev_timer *watcher, int events);
/* Returns the value of the heartbeat row, to be freed with free.  */
char *node_heartbeat_text (const node_cell_t *cell, const char *owner);
/* Gives up the ownership: of an owned cell with a last commit, of others at
   once.  */
void node_release (node_cell_t *cell);

/* node_claim.c */
void node_heartbeat_changed (node_cell_t *cell, const char *value,
                             size_t length);
void node_claim_check (node_t *node);
/* Whether this node, RANK others of which go first, is to claim CELL now.  */
bool node_claim_is_due (const node_cell_t *cell, uint32_t rank);
/* A claim of CELL has failed; pauses before the next one.  */
void node_claim_failed (node_cell_t *cell);
/* Whether the fence row TEXT was written by this node with its current token
   for CELL.  Sets *NUMBER to the number of the commit that wrote it.  */
bool node_fence_matches (const node_cell_t *cell, const char *text,
                         size_t length, uint64_t *number);
char *node_fence_text (const node_cell_t *cell, const char *owner);

/* node_tenure.c */
/* What the next fence row promises.  RELEASES: it gives the cell up.  */
json_t *node_tenure_json (const node_cell_t *cell, bool releases);
/* Keeps what FENCE, the row of the owner before, promises.  RESTARTED: the
   process of that owner has ended.  */
void node_former_read (node_cell_t *cell, const json_t *fence, bool restarted);
/* This node has claimed CELL.  */
void node_former_claimed (node_cell_t *cell);
void node_former_free (node_cell_t *cell);
/* The row LEASES_KEY of CELL has changed.  */
void node_former_told (node_cell_t *cell, const char *value, size_t length);
/* Node NAME has started as INCARNATION.  */
void node_former_restarted (node_cell_t *cell, const char *name,
                            const char *incarnation);
/* This node owns CELL no more and sends no orders; to be told.  */
void node_tenure_ended (node_cell_t *cell);
/* Tells it, if there is something to tell.  */
void node_tenure_tell (node_cell_t *cell);

/* node_delete.c */
/* Removes the stored rows of an ended job; the record goes with a later
   commit.  */
void node_delete_job (void *context, const char *id);

/* node_orders.c */
void node_start_task (void *context, const cell_worker_ref_t *worker,
                      const cell_start_order_t *order);
void node_stop_task (void *context, const cell_worker_ref_t *worker,
                     const char *task, uint32_t run);
/* Sets the speed of a run to PERCENT of its full speed.  */
void node_pace_task (void *context, const cell_worker_ref_t *worker,
                     const char *task, uint32_t run, uint32_t percent);
/* Implements the action poll of cell_actions_t.  */
void node_poll_worker (void *context, const cell_worker_ref_t *worker,
                       int64_t lease_until_ms, uint64_t acknowledged_end,
                       int64_t wait_ms);

/* node_advice.c */
/* Implements the action advise of cell_actions_t.  */
bool node_advise (void *context, const char *step, uint32_t call_number,
                  const char *const *workers, uint32_t count,
                  double expected_ms);
void node_member_set (node_t *node, const char *name, const char *address,
                      int64_t cpu_millis);
void node_member_remove (node_t *node, const char *name);
void node_advice_serve (void *context, httpd_exchange_t *exchange,
                        const httpd_request_t *request);
/* NULL if there is no such node.  */
node_member_t *node_member_find (const node_t *node, const char *name);
void node_member_free (void *member);

/* Chooses the node that makes a call to the advice service, NULL if all are
   busy.  Short and long calls go to separate nodes as long as these answer. */
node_member_t *node_advice_choose (const node_t *node, bool is_short);
/* Avoids NAME for FOR_MS: it gets no forwarded store calls and no offers of
   cells, and calls for advice only if every node is avoided.  */
void node_member_avoid (node_t *node, const char *name, int64_t for_ms);
/* Returns the name of the next other node that is not avoided, going through
   them in turn, and sets *ADDRESS; NULL if there is none.  */
const char *node_member_next (node_t *node, const char **address);

/* node_peer.c */
void node_add_peer_routes (node_t *node);
void node_add_metrics_routes (node_t *node);

/* node_yield.c */
/* Offers an owned cell to a node with more processor time, if there is one and
   the last offer is long enough ago.  */
void node_yield_check (node_cell_t *cell);
/* The node to offer a cell to, NULL if none has enough processor time.  */
node_member_t *node_yield_choose (const node_t *node);
/* The node to offer a cell to when this one stops, NULL if there is none.  */
node_member_t *node_yield_choose_successor (const node_t *node);
/* Offers CELL to one successor after the other, and releases it once one has
   agreed or none has in time.  */
void node_yield_and_release (node_cell_t *cell);
void node_yield_serve (void *context, httpd_exchange_t *exchange,
                       const httpd_request_t *request);

/* node_store.c */
/* Whether the store has not answered this node for too long.  */
bool node_store_unreachable (const node_t *node);
/* Writes rows of one part if those of EXPECT have the expected versions.
   VIA_PEER: through another node if there is one.  */
void node_store_commit (node_t *node, bool via_peer, const store_row_t *expect,
                        uint32_t expect_count, const store_row_t *writes,
                        uint32_t write_count, int64_t timeout_ms,
                        store_reply_done_t done, void *context);
/* Reads the rows with FROM <= key < TO; VIA_PEER as above.  */
void node_store_read (node_t *node, bool via_peer, const char *table,
                      const char *part, const char *from, const char *to,
                      store_reply_done_t done, void *context);
void node_store_serve_commit (void *context, httpd_exchange_t *exchange,
                              const httpd_request_t *request);
void node_store_serve_read (void *context, httpd_exchange_t *exchange,
                            const httpd_request_t *request);

/* node_cell.c */
/* Part of the inbox that holds ID.  */
void node_inbox_part (const char *id, char part[INBOX_PART_NAME_BYTES]);

/* Adds the job, or applies the cancel, of the inbox row KEY to an owned cell.
   Has no effect if it is known.  */
void node_cell_add_row (node_cell_t *cell, const char *key, const char *value,
                        size_t length);

/* node_find.c */
typedef struct
{
  store_result_t result;  /* STORE_OK: the search came to its end */
  node_cell_t *cell;      /* NULL: there is no such job */
  const char *state;      /* of its record, "queued" if it has none */
  uint64_t inbox_version; /* of its row, if WANTS_STATE was false */
  uint64_t home_version;  /* without a job: of a home that a deleted one has
                             left; 0: none */
} found_job_t;
typedef void (*node_found_t) (void *context, const found_job_t *found);
/* Finds the cell of the job ID; FIRST is where it is most likely.  FOUND lives
   until DONE returns.  */
void node_find_job (node_t *node, node_cell_t *first, const char *id,
                    bool wants_state, node_found_t done, void *context);

/* Adds the cells that ever had an owner, once after the start: one whose
   service the configuration has dropped may have jobs that need an owner.  */
void node_list_cells_if_due (node_t *node);

/* node_tombstone.c */
/* Whether this node may write another tombstone now; counts it if so.  */
bool node_take_tombstone (node_t *node);
/* Removes tombstones that are old enough, if this node is the one to do so and
   the last time is long enough ago.  */
void node_sweep_tombstones_if_due (node_t *node);

/* node_notify.c */
/* Tells the owner of CELL about the inbox row KEY, which is stored.  */
void node_notify_owner (node_cell_t *cell, const char *key, const char *value);
void node_notify_serve (void *context, httpd_exchange_t *exchange,
                        const httpd_request_t *request);
/* KNOWS: the owner has read the job from the inbox, so it is stored.  False
   says nothing.  */
typedef void (*node_asked_t) (void *context, bool knows);
/* Asks the owner of CELL about the job ID.  DONE may be called from inside. */
void node_ask_owner (node_cell_t *cell, const char *id, node_asked_t done,
                     void *context);
void node_ask_serve (void *context, httpd_exchange_t *exchange,
                     const httpd_request_t *request);

/* node_requests.c */
extern const caller_request_handlers_t node_request_handlers;

#endif
