#ifndef MAGNOLIADOCK_ERROR_H
#define MAGNOLIADOCK_ERROR_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* NAME
     error - error kinds, with the HTTP status, exit code and outcome of each

   Modules report every refusal and failure as one of these kinds, as a return
   value or as the code of a GError in ERROR_DOMAIN.  */

typedef enum
{
  ERR_OK = 0,
  ERR_USAGE,
  ERR_BAD_REQUEST,
  ERR_TOO_LARGE,
  ERR_UNAUTHENTICATED,
  ERR_FORBIDDEN,
  ERR_NOT_FOUND,
  ERR_CONFLICT,
  ERR_IN_FLIGHT, /* an earlier request with the same id has not ended */
  ERR_UNKNOWN_SERVICE,
  ERR_QUEUE_FULL,
  ERR_DEADLINE, /* no time left to serve it before its deadline */
  ERR_NO_CAPACITY,
  ERR_QUOTA,
  ERR_NEVER_FITS, /* no allowed zone can run the job, even if empty */
  ERR_DRAINING,
  ERR_NO_CONFIG,
  ERR_STALE_CONFIG, /* its configuration may not be the newest one */
  ERR_STORE_UNAVAILABLE,
  ERR_ZONE_UNREACHABLE,
  ERR_CONNECT_FAILED,
  ERR_CONNECTION_LOST,
  ERR_ANSWER_CUT,
  ERR_TIMEOUT, /* no valid answer in time: outcome unknown */
  ERR_CANCELLED,
  ERR_BAD_FRAME,
  ERR_BAD_VERSION,
  ERR_IO,
  ERR_INTERNAL,
  ERR_KIND_COUNT
} err_kind_t;

/* Whether a request was carried out.  */
typedef enum
{
  OUTCOME_NOT_RUN = 0,
  OUTCOME_RAN,
  OUTCOME_UNKNOWN
} outcome_t;

typedef struct
{
  const char *name;     /* as in JSON bodies, headers and log lines */
  uint16_t http_status; /* of an answer made by this program */
  uint8_t exit_code;    /* of the command line: 0, 1 or 2 */
  outcome_t outcome;    /* of a request that ends with this kind */
  bool retryable;       /* an idempotent request may be sent again */
} err_info_t;

#define ERROR_DOMAIN (err_domain ())

GQuark err_domain (void);

/* Returns the properties of KIND, those of ERR_INTERNAL if it is out of range.
   The result is static.  */
const err_info_t *err_info (err_kind_t kind);

const char *err_name (err_kind_t kind);

/* Returns the kind called NAME, or ERR_INTERNAL if there is none.  */
err_kind_t err_from_name (const char *name);

/* Returns "not-run", "ran" or "unknown".  */
const char *outcome_name (outcome_t outcome);

#endif
