#ifndef MAGNOLIADOCK_API_INTERNAL_H
#define MAGNOLIADOCK_API_INTERNAL_H

#include "api.h"

/* NAME
     api_internal - shared by api.c and api_status.c only  */

struct api
{
  api_options_t options;
  bool logged_auth_enabled; /* value of auth_enabled in the last log line */
  bool auth_state_logged;   /* there was such a log line */
};

/* Handlers of api_status.c.  */
void api_get_status (void *context, httpd_exchange_t *exchange,
                     const httpd_request_t *request);
void api_get_metrics (void *context, httpd_exchange_t *exchange,
                      const httpd_request_t *request);
void api_get_burn (void *context, httpd_exchange_t *exchange,
                   const httpd_request_t *request);

#endif
