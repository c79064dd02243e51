#ifndef MAGNOLIADOCK_STANDIN_H
#define MAGNOLIADOCK_STANDIN_H

#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     standin - simulates the platform, the workers and the backend servers

   One process answers as the contracts of docs/contracts/ say, injects the
   faults requested over /control, and counts violations of the rules that must
   always hold.  All state but the list of suspended requests in standin_http.c
   is guarded by standin_lock.  */

/* Value of delay_ms for a request that is never answered.  */
#define STANDIN_NEVER INT64_C (-1)

/* Which simulated part a connection talks to.  */
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
  MODE_DOWN,   /* platform: status 503; worker: all tasks end, requests are
                  closed unanswered; backend server: no listening socket */
  MODE_HANG,   /* accepts requests, never answers */
  MODE_SLOW,   /* answers delay_ms later */
  MODE_STALE,  /* instance list: shows no further change */
  MODE_FAIL,   /* worker: new tasks fail after 50 ms; backend server: 500 */
  MODE_REFUSE, /* worker: starts get the result "failed" */
  MODE_CUT,    /* backend server: closes after half of the answer;
                  platform: as MODE_HANG */
  MODE_LOSE    /* backend server: runs the request, closes without answer */
} standin_mode_t;

typedef struct
{
  standin_mode_t mode;
  int64_t delay_ms;
} standin_fault_t;

typedef struct standin_worker standin_worker_t;
typedef struct standin_backend standin_backend_t;

/* An instance of the deployment; KIND is "entry", "worker" or "backend".  */
typedef struct
{
  char *id, *kind, *zone, *rack, *url, *peer, *service;
  int64_t cpu_millis, memory_mib, accelerators;
  /* Of a backend server: exceeding either is a violation.  */
  int64_t request_limit, connection_limit;
  /* The true state, and since when.  */
  char *state;
  int64_t incarnation;
  int64_t changed_ms;
  /* What the instance list shows, since its revision SHOWN_REVISION.  */
  char *shown_state;
  int64_t shown_incarnation;
  int64_t shown_revision;
  /* When a list for its own zone first showed it as not "live"; 0: not yet. */
  int64_t leaving_shown_ms;
  standin_worker_t *worker;   /* NULL if not a worker */
  standin_backend_t *backend; /* NULL if not a backend server */
} standin_instance_t;

typedef struct
{
  int fd;
  standin_scope_t scope;        /* of the latest request */
  bool silent;                  /* no more answers are sent */
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
  bool run_called;
  int64_t delay_ms;      /* of the answer, or STANDIN_NEVER */
  bool close_unanswered; /* close the connection instead of answering */
  bool cut_answer;       /* close it after half of the answer */
  uint16_t status;
  int32_t retry_after_s; /* 0: no Retry-After header */
  char *answer;          /* owned */
  size_t answer_length;
  /* The next three are only set for a backend server.  */
  bool in_flight; /* is in the in_flight array of the backend server */
  int64_t arrived_ms;
  int64_t work_ends_ms;      /* end of the work if the connection is closed */
  GPtrArray *answer_headers; /* name, value, name, value... */
};

/* Command line options; "standin --help" describes them.  */
typedef struct
{
  int port;
  int backend_port;
  int threads;
  int write_rate; /* rows a second; 0: no limit */
  int read_rate;  /* rows a second; 0: no limit */
  int service_ms;
  int usage_lag_ms;
  int stop_ms;
  int list_lag_ms;
} standin_options_t;

extern GMutex standin_lock;
extern standin_options_t standin_options;
extern GPtrArray *standin_instances;

/* standin_http.c */
/* Monotonic clock.  */
int64_t standin_now_ms (void);
/* Starts a daemon on PORT of 127.0.0.1, or without a listening socket if PORT
   is 0.  START runs when the headers of a request are there, RUN when its body
   is, FINISHED when its answer is sent or its connection is gone; each with
   standin_lock held, and START and FINISHED may be NULL.  */
struct MHD_Daemon *standin_start_daemon (
    standin_scope_t scope, int port, void (*start) (standin_request_t *),
    void (*run) (standin_request_t *), void (*finished) (standin_request_t *));
void standin_http_start (void);
/* Resumes all suspended requests and suspends no more, so that the daemons can
   be stopped.  */
void standin_http_stop (void);
/* Sends no more answers on the connections of SCOPE that are open now, but
   keeps them open.  Returns their number.  */
unsigned standin_silence_connections (standin_scope_t scope);
/* Number of open connections to BACKEND whose other side has not closed.  */
unsigned standin_count_connections (const standin_instance_t *backend);
/* Shuts down all connections to BACKEND.  */
void standin_reset_connections (const standin_instance_t *backend);
/* Whether the other side of CONNECTION has closed it.  */
bool standin_peer_closed (const standin_connection_t *connection);
/* Makes STATUS and VALUE, of which it takes ownership, the answer.  */
void standin_answer_json (standin_request_t *request, uint16_t status,
                          json_t *value);
void standin_answer_error (standin_request_t *request, uint16_t status,
                           const char *kind, const char *message);
const char *standin_query (const standin_request_t *request, const char *name);
/* The number of query argument NAME, FALLBACK if it is absent.  */
int64_t standin_query_number (const standin_request_t *request,
                              const char *name, int64_t fallback);
const char *standin_header (const standin_request_t *request,
                            const char *name);
/* The request's body as JSON, owned by the caller.  If it is not an object,
   answers 400 and returns NULL.  */
json_t *standin_parse_body (standin_request_t *request);

/* standin_deploy.c */
/* Fills standin_instances for "carta", "authority" or "target".  Returns
   whether NAME is one of them.  Negative WORKERS or BACKENDS: as many as the
   deployment has.  */
bool standin_deploy_named (const char *name, int entries, int workers,
                           int backends);
/* Fills standin_instances from a file {"instances":[...]}.  */
bool standin_deploy_file (const char *path, GError **error);
json_t *standin_deployment_json (void);
/* INSTANCE as a row of the instance list.  */
json_t *standin_instance_json (const standin_instance_t *instance,
                               const char *state, int64_t incarnation);
/* NULL if there is none, or if ID is NULL.  */
standin_instance_t *standin_find_instance (const char *id);

/* standin_platform.c */
void standin_platform_init (void);
/* Answers /list, /table and /objects paths.  ZONE is that of the /zone/ZONE
   prefix, NULL without one.  */
void standin_handle_platform (standin_request_t *request, const char *path,
                              const char *zone);
/* Changes the true state; the instance list shows it list_lag_ms later.  */
void standin_set_state (standin_instance_t *instance, const char *state,
                        int64_t incarnation);
/* Sets the fault of "list", "table", "objects" or "zone" from the query of
   REQUEST.  Returns false if NAME or the query is not understood.  */
bool standin_set_platform_fault (standin_request_t *request, const char *name);
json_t *standin_platform_summary (void);

/* standin_worker.c */
void standin_worker_init (standin_instance_t *instance);
/* Answers PATH, which is WORKER/CALL.  */
void standin_handle_worker (standin_request_t *request, const char *path);
void standin_worker_set_fault (standin_instance_t *instance,
                               const standin_fault_t *fault);
/* Ends all tasks, clears the fault and raises the incarnation.  */
void standin_worker_reboot (standin_instance_t *instance);
json_t *standin_worker_summary (void);
/* Starts and ends of tasks on all workers; an end has the time at which it was
   noticed.  */
json_t *standin_task_events_json (void);

/* standin_backend.c */
bool standin_backends_start (void);
void standin_backends_stop (void);
/* The backend server that the accepted socket FD is connected to.  */
standin_instance_t *standin_backend_of_socket (int fd);
void standin_backend_set_fault (standin_instance_t *instance,
                                const standin_fault_t *fault);
json_t *standin_backend_summary (void);

/* standin_executed.c */
/* Records that a backend server began to run request ID, which may be NULL. */
void standin_record_executed (const char *id);
/* Counts a violation for each request of the body that was executed although
   its caller was told that it was not run.  */
void standin_check_not_run (standin_request_t *request);

/* standin_control.c */
void standin_handle_control (standin_request_t *request, const char *path);
/* Adds BY to the counter NAME of the summary.  */
void standin_add_to_counter (const char *name, unsigned by);
/* Returns false if NAME, which may be NULL, names no mode.  */
bool standin_parse_mode (const char *name, standin_mode_t *mode);
/* Counts a violation of KIND; the first 100 are logged and kept with their
   details.  */
void standin_violation (const char *kind, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
unsigned standin_violation_count (void);
/* Makes the program end; safe in a signal handler.  */
void standin_quit (void);

#endif
