#include "error.h"

#include <string.h>

/* OUTCOME_NOT_RUN is only for kinds raised before any byte of a request was
   sent, or by a peer that states that it did not start the request.  */
static const err_info_t error_kinds[ERR_KIND_COUNT] = {
  [ERR_OK] = { "ok", 200, 0, OUTCOME_RAN, false },
  [ERR_USAGE] = { "usage", 400, 2, OUTCOME_NOT_RUN, false },
  [ERR_BAD_REQUEST] = { "bad_request", 400, 1, OUTCOME_NOT_RUN, false },
  [ERR_TOO_LARGE] = { "too_large", 413, 1, OUTCOME_NOT_RUN, false },
  [ERR_UNAUTHENTICATED]
  = { "unauthenticated", 401, 1, OUTCOME_NOT_RUN, false },
  [ERR_FORBIDDEN] = { "forbidden", 403, 1, OUTCOME_NOT_RUN, false },
  [ERR_NOT_FOUND] = { "not_found", 404, 1, OUTCOME_NOT_RUN, false },
  [ERR_CONFLICT] = { "conflict", 409, 1, OUTCOME_NOT_RUN, false },
  [ERR_IN_FLIGHT] = { "in_flight", 409, 1, OUTCOME_UNKNOWN, false },
  [ERR_UNKNOWN_SERVICE]
  = { "unknown_service", 404, 1, OUTCOME_NOT_RUN, false },
  [ERR_QUEUE_FULL] = { "queue_full", 503, 1, OUTCOME_NOT_RUN, true },
  [ERR_DEADLINE] = { "deadline", 503, 1, OUTCOME_NOT_RUN, false },
  [ERR_NO_CAPACITY] = { "no_capacity", 503, 1, OUTCOME_NOT_RUN, true },
  [ERR_QUOTA] = { "quota", 429, 1, OUTCOME_NOT_RUN, false },
  [ERR_NEVER_FITS] = { "never_fits", 422, 1, OUTCOME_NOT_RUN, false },
  [ERR_DRAINING] = { "draining", 503, 1, OUTCOME_NOT_RUN, true },
  [ERR_NO_CONFIG] = { "no_config", 503, 1, OUTCOME_NOT_RUN, true },
  [ERR_STALE_CONFIG] = { "stale_config", 503, 1, OUTCOME_NOT_RUN, true },
  [ERR_STORE_UNAVAILABLE]
  = { "store_unavailable", 503, 1, OUTCOME_NOT_RUN, true },
  [ERR_ZONE_UNREACHABLE]
  = { "zone_unreachable", 503, 1, OUTCOME_NOT_RUN, true },
  [ERR_CONNECT_FAILED] = { "connect_failed", 502, 1, OUTCOME_NOT_RUN, true },
  [ERR_CONNECTION_LOST] = { "connection_lost", 502, 1, OUTCOME_UNKNOWN, true },
  [ERR_ANSWER_CUT] = { "answer_cut", 502, 1, OUTCOME_UNKNOWN, true },
  [ERR_TIMEOUT] = { "timeout", 504, 1, OUTCOME_UNKNOWN, true },
  [ERR_CANCELLED] = { "cancelled", 499, 1, OUTCOME_UNKNOWN, false },
  [ERR_BAD_FRAME] = { "bad_frame", 502, 1, OUTCOME_UNKNOWN, false },
  [ERR_BAD_VERSION] = { "bad_version", 502, 1, OUTCOME_NOT_RUN, false },
  [ERR_IO] = { "io", 500, 1, OUTCOME_UNKNOWN, false },
  [ERR_INTERNAL] = { "internal", 500, 1, OUTCOME_UNKNOWN, false },
};

GQuark
err_domain (void)
{
  return g_quark_from_static_string ("magnoliadock-error");
}

const err_info_t *
err_info (err_kind_t kind)
{
  if ((unsigned)kind >= ERR_KIND_COUNT)
    kind = ERR_INTERNAL;
  return &error_kinds[kind];
}

const char *
err_name (err_kind_t kind)
{
  return err_info (kind)->name;
}

err_kind_t
err_from_name (const char *name)
{
  for (unsigned i = 0; i < ERR_KIND_COUNT; i++)
    if (strcmp (error_kinds[i].name, name) == 0)
      return (err_kind_t)i;
  return ERR_INTERNAL;
}

const char *
outcome_name (outcome_t outcome)
{
  switch (outcome)
    {
    case OUTCOME_NOT_RUN:
      return "not-run";
    case OUTCOME_RAN:
      return "ran";
    default:
      return "unknown";
    }
}
