#ifndef MAGNOLIADOCK_API_H
#define MAGNOLIADOCK_API_H

#include "auth.h"
#include "burn_store.h"
#include "conf.h"
#include "counter.h"
#include "httpd.h"

#include <jansson.h>

/* NAME
     api - the operators' HTTP endpoints

   Configuration document, status, report on error budgets ("burn") and
   metrics; the endpoints of jobs are in jobs.h.  Errors are answered as
   {"error","message","outcome"}.  */

typedef struct api api_t;

typedef struct
{
  const clk_t *clock;
  counter_registry_t *registry;
  conf_t *conf;
  auth_t *auth;
  burn_store_t *burn_store;
  const char *entry; /* ID@INCARNATION */
  const char *zone;
  /* Each returns a new reference to a part of the status, or NULL.  */
  json_t *(*requests_status) (void *context);
  json_t *(*tasks_status) (void *context);
  json_t *(*entries_status) (void *context);
  /* Milliseconds since the last valid answer to a poll of the instance list,
     -1 if there was none.  */
  int64_t (*list_age_ms) (void *context);
  /* See entry_ready.  */
  bool (*ready) (void *context, const char **reason);
  void *context;
} api_options_t;

/* OPTIONS is copied; what it points to is borrowed and must outlive the
   result.  Free after the HTTP server.  */
api_t *api_new (const api_options_t *options);
void api_free (api_t *api);

/* Routes for httpd_add_routes with the api_t as context; static.  */
const httpd_route_t *api_routes (void);

/* Checks the token of EXCHANGE and sets IDENTITY to its owner.  If the token
   is not accepted, answers EXCHANGE with the error and returns false.  */
bool api_authorise (api_t *api, httpd_exchange_t *exchange,
                    auth_identity_t *identity);

/* Answers with VALUE and releases the reference.  */
void api_answer_json (httpd_exchange_t *exchange, uint16_t status,
                      json_t *value);

/* Status of this entry and of the entries it knows (new reference); see
   docs/manual.md.  */
json_t *api_status (api_t *api);

#endif
