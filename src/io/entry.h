#ifndef MAGNOLIADOCK_ENTRY_H
#define MAGNOLIADOCK_ENTRY_H

#include "clk.h"
#include "counter.h"
#include "dispatch.h"
#include "httpc.h"
#include "httpd.h"
#include "instances.h"
#include "options.h"
#include "peer.h"
#include "proxy.h"
#include "table.h"

#include <ev.h>
#include <glib.h>
#include <stdbool.h>

/* NAME
     entry - puts an entry process together and runs it

   An entry accepts requests of callers, which it sends to backend servers or
   hands over to other entries, and jobs, whose tasks it starts on workers.

   The parts (operators' API and configuration, slot shares, tasks) are rows of
   the table in entry_parts.c.  They are opened in the order of the table,
   after the other modules of entry_t but before the module instances, and
   closed in reverse order.  */

typedef struct
{
  char *instance_id;
  char *zone;
  char *http;
  char *peer;
  char *list_url;
  char *table_url;
  char *objects_url;
  char *log_level;
  char *bootstrap_token_hash;
  int64_t drain_notice_ms;
  int64_t remote_peers;
  int64_t seed;
  int64_t drain_limit_ms;
} entry_settings_t;

typedef struct entry entry_t;

struct entry
{
  const entry_settings_t *settings;
  int64_t incarnation; /* start time, ns since 1970 */
  char *self;          /* ID@INCARNATION */
  struct ev_loop *loop;
  const clk_t *clock;
  counter_registry_t *registry;
  httpd_t *httpd;
  httpc_t *platform_client; /* instance list, table service, object store */
  httpc_t *worker_client;
  table_t *table; /* NULL without --table-url */
  instances_t *instances;
  dispatch_t *dispatch;
  proxy_t *proxy;
  peer_t *peer;

  /* Set by the parts when they are opened, for the parts after them; NULL
     without a table service.  */
  void *conf;     /* conf_t, of the part admin */
  void *api;      /* api_t, of the part admin */
  void *sched_io; /* sched_io_t (I/O of the job scheduler), of the part jobs */
};

typedef struct
{
  const char *name;
  /* Returns the part's state, or NULL with ERROR set.  ENTRY outlives it.  */
  void *(*open) (entry_t *entry, GError **error);
  void (*close) (void *part);
  /* The functions below may be NULL.  */

  /* An instance is new or changed: any of the own zone, and entries of all
     zones.  */
  void (*instance_changed) (void *part, const instance_t *instance);
  /* Returns whether this part allows the entry to take new work.  If not, sets
     the static text *REASON.  */
  bool (*ready) (void *part, const char **reason);
  /* Called once in a planned stop, after the port is closed: the part writes
     what is pending; the part jobs also stops planning for its zone (goes off
     duty, see sched.h).  */
  void (*begin_drain) (void *part);
  /* Returns whether this part allows the process to end.  */
  bool (*is_drained) (void *part);
} entry_part_t;

/* The table in entry_parts.c; ends with a NULL row.  */
extern const entry_part_t *const entry_parts[];

/* Returns whether the entry takes new work; if not, *REASON (static) says
   why.  This is what /readyz answers.  */
bool entry_ready (const entry_t *entry, const char **reason);

/* Options of the command "entry"; ends with a NULL name.  */
extern const option_t entry_options[];

/* Runs the command "entry".  Returns the exit code.  */
int entry_run (int argc, char **argv);

#endif
