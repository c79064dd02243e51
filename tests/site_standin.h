#ifndef MAGNOLIADOCK_SITE_STANDIN_H
#define MAGNOLIADOCK_SITE_STANDIN_H

#include "httpd.h"

#include <jansson.h>

/* NAME
     site_standin - simulates the platform for nodes on one machine

   One process serves the store and the advice service on --port and each
   worker on a port of its own above it.  It checks what the workers are
   ordered to do and counts violations.  */

typedef struct standin_site standin_site_t;

struct ev_loop *site_loop (void);
int64_t site_now_ms (void);
/* Counts and prints a violation.  */
void site_violation (const char *format, ...) G_GNUC_PRINTF (1, 2);
/* Writes a row of the store with an empty part.  */
void site_put_row (const char *table, const char *key, json_t *value);
void site_remove_row (const char *table, const char *key);
/* Chance in 1000 that a worker's answer to an accepted order is lost.  */
uint32_t site_lost_answers_per_1000 (void);

void site_answer_json (httpd_exchange_t *exchange, uint16_t status,
                       json_t *body);

/* Names of the services; the workers are divided between the first SERVICES.
 */
#define SITE_MAX_SERVICES 2u
extern const char *const site_services[SITE_MAX_SERVICES];
/* Starts WORKERS workers on ports from FIRST_PORT.  */
bool site_workers_start (uint32_t workers, uint32_t services,
                         uint16_t first_port, GError **error);
/* Drops all that a worker runs and restarts it under its id.  */
void site_worker_crash (uint32_t index);
/* A worker reports that it drains, for good; starts from SITE_DRAIN_MS later
   on are violations.  */
#define SITE_DRAIN_MS 2000
void site_worker_drain (uint32_t index);
/* A worker does not answer for FOR_MS.  */
void site_worker_silence (uint32_t index, int64_t for_ms);
/* Number of runs started so far, and of those running now.  */
uint32_t site_starts (void);
uint32_t site_running (void);
/* Most workers that crashed with a run of one task of JOB.  */
uint32_t site_crashes_under (const char *job);
/* Submits JOBS_PER_S jobs to the node with the front ADDRESS; 0 ends it.  */
void site_load (const char *address, uint32_t jobs_per_s);
uint32_t site_load_accepted (void);
/* Rows [id, ticket] for the given workers.  */
json_t *site_advice (const json_t *workers);

#endif
