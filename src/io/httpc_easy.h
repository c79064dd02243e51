#ifndef MAGNOLIADOCK_HTTPC_EASY_H
#define MAGNOLIADOCK_HTTPC_EASY_H

#include "httpc.h"

#include <curl/curl.h>

/* NAME
     httpc_easy - streaming transfers on an httpc_t

   For users that need their own body callbacks.  They create a transfer, set
   options on its libcurl handle, start it, and free it once it is finished. */

typedef struct httpc_transfer httpc_transfer_t;

struct httpc_transfer
{
  CURL *easy;
  httpc_t *client;
  bool started;
  /* Called once from the event loop when the transfer has ended.  The user
     calls httpc_transfer_free, from inside or later.  */
  void (*finished) (void *context, CURLcode code);
  void *context;
};

/* Returns a transfer with the options common to all of CLIENT set, never
   NULL.  */
httpc_transfer_t *httpc_transfer_new (httpc_t *client,
                                      void (*finished) (void *context,
                                                        CURLcode code),
                                      void *context);
/* Returns whether the transfer was started; if not, FINISHED is not called. */
bool httpc_transfer_start (httpc_transfer_t *transfer);
/* Frees TRANSFER; if it still runs, it is stopped without calling FINISHED.
   NULL is allowed.  */
void httpc_transfer_free (httpc_transfer_t *transfer);

/* Returns the error kind of a transfer that finished with CODE.  *OUTCOME is
   OUTCOME_NOT_RUN only if no byte of the request was written to a
   connection.  */
err_kind_t httpc_transfer_kind (const httpc_transfer_t *transfer,
                                CURLcode code, outcome_t *outcome);

/* Whether CODE means that the server closed the connection, so that it no
   longer works on the request.  */
bool httpc_closed_by_peer (CURLcode code);

#endif
