#ifndef MAGNOLIADOCK_API_PRIVATE_H
#define MAGNOLIADOCK_API_PRIVATE_H

#include "api.h"

struct api
{
  api_options_t options;
  bool auth_logged; /* the state of checks that was logged last */
  bool auth_known;
};

/* Handlers of api_status.c.  */
void api_get_status (void *context, httpd_exchange_t *exchange,
                     const httpd_request_t *request);
void api_get_metrics (void *context, httpd_exchange_t *exchange,
                      const httpd_request_t *request);
void api_get_burn (void *context, httpd_exchange_t *exchange,
                   const httpd_request_t *request);

#endif
