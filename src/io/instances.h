#ifndef MAGNOLIADOCK_INSTANCES_H
#define MAGNOLIADOCK_INSTANCES_H

#include "clk.h"
#include "error.h"
#include "httpc.h"
#include "resource.h"

/* NAME
     instances - client of the platform's instance list

   Polls the list once a second for the changes since the last revision seen,
   so that a list without changes costs a few hundred bytes a second whatever
   its size.  */

typedef enum
{
  INSTANCE_WORKER,
  INSTANCE_BACKEND,
  INSTANCE_ENTRY
} instance_kind_t;

typedef enum
{
  INSTANCE_LIVE,
  INSTANCE_LEAVING,
  INSTANCE_GONE
} instance_state_t;

typedef struct
{
  char *id;
  instance_kind_t kind;
  instance_state_t state;
  char *zone;
  char *rack;
  int64_t incarnation;
  char *url;
  char *peer;    /* IP:PORT of an entry's peer port, or NULL */
  char *service; /* of a backend server, or NULL */
  resource_t capacity;
} instance_t;

typedef struct instances instances_t;

/* Called for every instance that is new or has changed, also for one that has
   become INSTANCE_GONE.  INSTANCE lives until the next call for the same id.
 */
typedef void (*instance_changed_t) (void *context, const instance_t *instance);

/* CLIENT and CLOCK are borrowed; CLIENT may be NULL in tests, which do not
   run LOOP.  LIST_URL is copied.  ZONE (copied) is sent with each poll:
   the service lists the workers and backend servers of that zone and the
   entries of all zones.  */
instances_t *instances_new (httpc_t *client, const clk_t *clock,
                            struct ev_loop *loop, const char *list_url,
                            const char *zone, instance_changed_t changed,
                            void *context);
void instances_free (instances_t *instances);

/* Returns the time since the last valid answer, -1 if there was none.  */
int64_t instances_age_ms (const instances_t *instances);

/* Handles one answer of the service; called after each poll, and by tests.
   Returns ERR_OK, or ERR_STORE_UNAVAILABLE or ERR_INTERNAL (answer not
   understood), which change nothing.  */
err_kind_t instances_handle_answer (instances_t *instances,
                                    const httpc_result_t *result);

#endif
