#ifndef MAGNOLIADOCK_STANDIN_H
#define MAGNOLIADOCK_STANDIN_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     standin - plays the platform, the workers and the backend servers

   One process answers by the contracts of docs/contracts/, injects the faults
   that it is told to over /control, and counts violations of what must always
   hold.  State is guarded by the one lock standin_lock.  */

/* Delay of a request that is never answered.  */
#define STANDIN_NEVER INT64_C (-1)

typedef enum
{
  SCOPE_CONTROL,
  SCOPE_PLATFORM,
  SCOPE_WORKERS,
  SCOPE_BACKENDS
} standin_scope_t;

typedef enum
{
  MODE_UP,
  MODE_DOWN,   /* platform: 503; worker, backend server: no connection */
  MODE_HANG,   /* accepts, never answers */
  MODE_SLOW,   /* answers after delay_ms */
  MODE_STALE,  /* instance list: shows no change */
  MODE_FAIL,   /* worker: tasks fail at once; backend server: status 500 */
  MODE_REFUSE, /* worker: starts get the result "failed" */
  MODE_CUT,    /* backend server: half of the answer; zone: as hang */
  MODE_LOSE    /* backend server: runs the request, closes without answer */
} standin_mode_t;

typedef struct
{
  standin_mode_t mode;
  int64_t delay_ms;
} standin_fault_t;

typedef struct standin_worker standin_worker_t;
typedef struct standin_backend standin_backend_t;

typedef struct
{
  char *id, *kind, *zone, *rack, *url, *peer, *service;
  int64_t cpu_millis, memory_mib, accelerators;
  int64_t request_limit, connection_limit;
  /* What is true now, and since when.  */
  char *state;
  int64_t incarnation;
  int64_t changed_ms;
  /* What the instance list shows.  */
  char *shown_state;
  int64_t shown_incarnation;
  int64_t shown_revision;
  int64_t leaving_shown_ms; /* to its own zone; 0: not yet */
  standin_worker_t *worker;
  standin_backend_t *backend;
} standin_instance_t;

typedef struct
{
  int fd;
  standin_scope_t scope;
  bool silent;
  standin_instance_t *instance; /* the backend server, or NULL */
} standin_connection_t;

typedef struct standin_request standin_request_t;

struct standin_request
{
  struct MHD_Connection *mhd;
  standin_connection_t *connection;
  char *method;
  char *path;
  GByteArray *body;
  bool handled;
  int64_t delay_ms;
  bool close; /* close the connection instead of answering */
  bool cut;   /* close it after half of the answer */
  uint16_t status;
  int32_t retry_after_s;
  char *answer; /* owned */
  size_t answer_length;
  bool counted; /* backend server: holds a request slot */
  int64_t arrived_ms;
  int64_t until_ms;  /* end of the work if the connection is closed */
  GPtrArray *header; /* name, value, name, value... of the answer */
};

typedef struct
{
  int port;
  int backend_port;
  int threads;
  int write_rate;
  int read_rate;
  int service_ms;
  int usage_lag_ms;
  int stop_ms;
  int list_lag_ms;
} standin_options_t;

extern GMutex standin_lock;
extern standin_options_t standin_options;
extern GPtrArray *standin_instances;

/* standin_http.c */
int64_t standin_now_ms (void);
/* Starts a daemon on PORT of 127.0.0.1, or without a listening socket if PORT
   is 0.  START runs when the headers of a request are there, RUN when its body
   is, FINISHED when its answer is sent or its connection is gone.  */
struct MHD_Daemon *standin_serve (standin_scope_t scope, int port,
                                  void (*start) (standin_request_t *),
                                  void (*run) (standin_request_t *),
                                  void (*finished) (standin_request_t *));
void standin_http_begin (void);
/* Lets all held requests go, so that the daemons can be stopped.  */
void standin_http_end (void);
/* Makes the connections of SCOPE that are open now silent.  */
unsigned standin_silence (standin_scope_t scope);
/* Number of open connections to BACKEND whose other side has not closed.  */
unsigned standin_connections (const standin_instance_t *backend);
/* Shuts all connections to BACKEND.  */
void standin_reset_connections (const standin_instance_t *backend);
/* Whether the other side of CONNECTION has closed it.  */
bool standin_peer_closed (const standin_connection_t *connection);
/* Takes ownership of VALUE.  */
void standin_answer (standin_request_t *request, uint16_t status,
                     json_t *value);
void standin_error (standin_request_t *request, uint16_t status,
                    const char *kind, const char *message);
const char *standin_query (const standin_request_t *request, const char *name);
int64_t standin_query_number (const standin_request_t *request,
                              const char *name, int64_t missing);
const char *standin_header (const standin_request_t *request,
                            const char *name);
/* The request's body as JSON, owned by the caller; NULL after having answered
   400 if it is not an object.  */
json_t *standin_body (standin_request_t *request);

/* standin_deploy.c */
/* Fills standin_instances for "carta", "authority" or "target".  Returns
   whether NAME is one of them.  */
bool standin_deploy_named (const char *name, int entries, int workers,
                           int backends);
bool standin_deploy_file (const char *path, GError **error);
json_t *standin_deployment (void);
/* The row of INSTANCE in the instance list.  */
json_t *standin_instance_json (const standin_instance_t *instance,
                               const char *state, int64_t incarnation);
standin_instance_t *standin_find (const char *id);

/* standin_platform.c */
void standin_platform_begin (void);
/* Answers /list, /table and /objects paths.  ZONE is NULL outside /zone.  */
void standin_platform (standin_request_t *request, const char *path,
                       const char *zone);
void standin_set_state (standin_instance_t *instance, const char *state,
                        int64_t incarnation);
bool standin_platform_control (standin_request_t *request, const char *name);
json_t *standin_platform_summary (void);

/* standin_worker.c */
void standin_worker_begin (standin_instance_t *instance);
void standin_worker (standin_request_t *request, const char *path);
void standin_worker_mode (standin_instance_t *instance,
                          const standin_fault_t *fault);
void standin_worker_reboot (standin_instance_t *instance);
json_t *standin_worker_summary (void);
json_t *standin_tasks (void);

/* standin_backend.c */
bool standin_backend_begin (void);
void standin_backend_end (void);
/* The backend server that the accepted socket FD is connected to.  */
standin_instance_t *standin_backend_at (int fd);
void standin_backend_mode (standin_instance_t *instance,
                           const standin_fault_t *fault);
json_t *standin_backend_summary (void);

/* standin_ran.c */
void standin_ran_add (const char *id);
void standin_ran_check (standin_request_t *request);

/* standin_control.c */
void standin_control (standin_request_t *request, const char *path);
/* Adds BY to the counter NAME of the summary.  */
void standin_count (const char *name, unsigned by);
bool standin_mode_named (const char *name, standin_mode_t *mode);
/* Counts a violation of KIND and keeps the first 100 with their details.  */
void standin_violation (const char *kind, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
unsigned standin_violation_count (void);
void standin_quit (void);

#endif
