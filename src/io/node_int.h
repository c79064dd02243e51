#ifndef MAGNOLIADOCK_NODE_INT_H
#define MAGNOLIADOCK_NODE_INT_H

#include "counter.h"
#include "httpc.h"
#include "httpd.h"
#include "node.h"
#include "patience.h"
#include "replica.h"

/* NAME
     node_int - structures shared by the node's source files only

   Tables of the store:
     cluster    part "" key "entry/NAME": a node's address and incarnation
                part CELL key "beat": owner, token, counts; renewed by the
   owner fence      part CELL key "owner": owner, token, number of its last
   save record     part CELL key ID: state of a job and its runs inbox.CELL
   part "in" key ID: a job; key ID/c: it is cancelled  */

#define CLUSTER_TABLE "cluster"
#define FENCE_TABLE "fence"
#define RECORD_TABLE "record"
/* Jobs are divided by the first two digits of their id: a part takes its
   writes one after another, three a second while the store is 60 times slower,
   and a burst of the grown deployments brings 100 a second.  */
#define INBOX_PARTS 64u
#define INBOX_PART_BYTES 3
#define BEAT_KEY "beat"
#define FENCE_KEY "owner"
#define ENTRY_PREFIX "entry/"
#define CANCEL_SUFFIX "/c"

/* Pause between two answers about the cluster, so that the beats of several
   cells come together: for the nodes that would claim a cell first, and for
   the others.  */
#define NODE_CLOSE_GAP_MS 80
#define NODE_FAR_GAP_MS 350

typedef struct node node_t;
typedef struct node_cell node_cell_t;

/* Another node, or this one, as its row in the cluster table tells.  */
typedef struct
{
  char *name;
  char *address; /* "IP:PORT" of its peer port */
  int64_t cpu_millis;
  uint32_t calls; /* for advice, in flight */
  int64_t bad_until_ms;
  int64_t offer_after_ms; /* has declined a cell; not asked before */
  uint32_t failures;      /* of calls, since the last one that was answered */
} adviser_t;

typedef enum
{
  CELL_IDLE, /* owned by another node or by none */
  CELL_CLAIMING,
  CELL_LOADING,
  CELL_OWNED,
  CELL_RELEASING
} node_cell_state_t;

struct node_cell
{
  node_t *node;
  char *name; /* of its service */
  char *inbox_table;
  node_cell_state_t state;
  uint32_t epoch; /* of the ownership; answers to earlier ones are dropped */

  /* What the store tells about the owner.  */
  char *owner; /* "": none; NULL: no beat was ever seen */
  char *owner_incarnation;
  uint64_t seen_token;     /* highest token that a beat has told */
  int64_t beat_ms;         /* when its beat was last seen to change */
  int64_t agreed_until_ms; /* this node has agreed to take it till then */
  GHashTable *pending;     /* queue -> count, from the beat */

  /* While owned.  */
  cell_t *cell;
  replica_t *inbox;
  uint64_t token, save_number, fence_version;
  bool previous_over;
  GPtrArray *records;   /* loaded_record_t, until the cell begins */
  GPtrArray *forgotten; /* char *, ids whose record is to be removed */
  GPtrArray *unsaved;   /* stored_record_t of the save that was asked for */
  bool save_wanted;
  bool commit_open, commit_saves, commit_beats, commit_releases;
  uint32_t commit_removes; /* forgotten records in the commit in flight */
  uint32_t commit_attempt; /* sendings so far; only the last one counts */
  int64_t last_beat_ms;
  int64_t offer_after_ms; /* to a stronger node */
  int64_t claim_ms;
  ev_timer retry;
  uint8_t replay_pass;
};

typedef struct
{
  char *id;
  char *text;
  size_t length;
} stored_record_t;

struct node
{
  struct ev_loop *loop;
  site_t *site;
  const clk_t *clock;
  char incarnation[24];
  queue_table_t *queues;
  replica_t *config, *cluster;
  replica_t *workers; /* NULL: this node owns no cell */
  GHashTable *cells;  /* name -> node_cell_t, owned */
  httpd_t *internal;
  httpd_t *metrics_server; /* NULL: none of its own */
  httpc_t *peers;
  GPtrArray *advisers; /* adviser_t, owned */
  counter_registry_t *metrics;
  ev_timer tick;
  ev_timer claim_timer;
  ev_prepare decide;
  ev_signal terminate, interrupt, reload;
  bool input; /* a cell has got input */
  bool stopping, enrolled;
  int64_t stop_ms;
  int64_t late_ms;     /* how late answers about the cluster come, lately */
  int64_t answered_ms; /* last answer about the cluster */
  patience_t patience; /* with the store's transactions */
  uint32_t next_peer;
  int64_t idle_ms;        /* while stopping: since when nothing is open */
  int64_t wall_offset_ms; /* wall time less the clock's */
};

/* node.c */
int64_t node_now (const node_t *node);
node_cell_t *node_cell_of (node_t *node, const queue_t *queue);
void node_count (node_t *node, const char *name, const char *labels);
/* Adds a time to the histogram NAME.  */
void node_observe (node_t *node, const char *name, int64_t took_ms);

/* Follows the list of workers while this node owns a cell.  */
void node_follow_workers (node_t *node);
uint32_t node_cells_held (const node_t *node);

/* node_cell.c */
/* The cell begins to decide once everything was read.  */
void node_cell_begin_if_loaded (node_cell_t *cell);
node_cell_t *node_cell_new (node_t *node, const char *name);
void node_cell_free (node_cell_t *cell);
void node_cell_claimed (node_cell_t *cell);
void node_cell_stand_down (node_cell_t *cell, const char *why);
void node_cell_run (node_cell_t *cell, int64_t wall_ms);
extern const cell_actions_t node_cell_actions;

/* node_commit.c */
void node_commit (node_cell_t *cell);
void node_commit_retry (struct ev_loop *loop, ev_timer *watcher, int events);
/* Text of the beat row (free).  */
char *node_beat_text (const node_cell_t *cell, const char *owner);
/* Gives the ownership back.  */
void node_release (node_cell_t *cell);

/* node_claim.c */
void node_beat_changed (node_cell_t *cell, const char *value, size_t length);
void node_claim_check (node_t *node);
/* Whether TEXT is a fence row that this ownership wrote, and with which
   number.  */
bool node_fence_is_mine (const node_cell_t *cell, const char *text,
                         size_t length, uint64_t *number);
char *node_fence_text (const node_cell_t *cell, const char *owner);

/* node_forget.c */
/* Removes what is stored of a job, soon.  */
void node_forget (void *context, const char *id);

/* node_orders.c */
void node_start_task (void *context, const cell_worker_ref_t *worker,
                      const cell_order_t *order);
void node_stop_task (void *context, const cell_worker_ref_t *worker,
                     const char *task, uint32_t run);
void node_pace_task (void *context, const cell_worker_ref_t *worker,
                     const char *task, uint32_t run, uint32_t percent);
void node_look (void *context, const cell_worker_ref_t *worker,
                int64_t lease_until_ms, uint64_t seen, int64_t wait_ms);

/* node_advice.c */
bool node_advise (void *context, const char *step, uint32_t number,
                  const char *const *workers, uint32_t count,
                  double expected_ms);
void node_adviser_set (node_t *node, const char *name, const char *address,
                       int64_t cpu_millis);
void node_adviser_remove (node_t *node, const char *name);
void node_advice_serve (void *context, httpd_exchange_t *exchange,
                        const httpd_request_t *request);
/* NULL if there is no such node.  */
adviser_t *node_adviser_find (const node_t *node, const char *name);
void node_adviser_free (void *adviser);

/* Chooses the node for a call for advice, NULL if all are busy.  Short calls
   and long ones have nodes of their own while these answer.  */
adviser_t *node_adviser_choose (const node_t *node, bool is_short);
/* Leaves NAME out for a while.  */
void node_adviser_failed (node_t *node, const char *name, int64_t for_ms);
/* Returns another node that answers and sets *ADDRESS, NULL if there is none;
   in turn.  */
const char *node_adviser_pick (node_t *node, const char **address);

/* node_peer.c */
void node_peer_serve (node_t *node);
void node_metrics_serve (node_t *node);

/* node_yield.c */
/* Offers an owned cell to a stronger node from time to time.  */
void node_yield_check (node_cell_t *cell);
/* The node to offer a cell to, NULL if none is that much stronger.  */
adviser_t *node_yield_choose (const node_t *node);
void node_yield_serve (void *context, httpd_exchange_t *exchange,
                       const httpd_request_t *request);

/* node_store.c */
/* Whether the store has not answered this node for a while.  */
bool node_store_lost (const node_t *node);
/* One write under one condition, and a read.  BY_PEER: through another node if
   there is one.  */
void node_store_commit (node_t *node, bool by_peer, const site_row_t *expect,
                        const site_row_t *write, int64_t limit_ms,
                        site_rows_done_t done, void *context);
void node_store_read (node_t *node, bool by_peer, const char *table,
                      const char *part, const char *from, const char *to,
                      site_rows_done_t done, void *context);
void node_store_serve_commit (void *context, httpd_exchange_t *exchange,
                              const httpd_request_t *request);
void node_store_serve_read (void *context, httpd_exchange_t *exchange,
                            const httpd_request_t *request);

/* Part of the inbox that holds ID.  */
void node_inbox_part (const char *id, char part[INBOX_PART_BYTES]);

/* node_front.c */
extern const site_jobs_t node_jobs;

#endif
