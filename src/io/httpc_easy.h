#ifndef MAGNOLIADOCK_HTTPC_EASY_H
#define MAGNOLIADOCK_HTTPC_EASY_H

#include "httpc.h"

#include <curl/curl.h>

/* NAME
     httpc_easy - streaming transfers on an httpc_t

   For callers that need their own body callbacks.  A handle is taken, gets
   its options, is started, and is given back once it is finished.  */

typedef struct httpc_transfer httpc_transfer_t;

struct httpc_transfer
{
  CURL *easy;
  httpc_t *client;
  bool started;
  /* Called once from the loop; the transfer is already removed and has to be
     given back by httpc_transfer_free, at once or later.  */
  void (*finished) (void *context, CURLcode code);
  void *context;
};

/* Returns a transfer with the client's common options set, never NULL.  */
httpc_transfer_t *httpc_transfer_new (httpc_t *client,
                                      void (*finished) (void *context,
                                                        CURLcode code),
                                      void *context);
/* Returns whether the transfer was started; if not, FINISHED is not called. */
bool httpc_transfer_start (httpc_transfer_t *transfer);
/* Stops TRANSFER if it still runs, without calling FINISHED.  */
void httpc_transfer_free (httpc_transfer_t *transfer);

/* Kind of a finished transfer; *OUTCOME is OUTCOME_NOT_RUN only if no byte of
   the request was written to a connection.  */
err_kind_t httpc_transfer_kind (const httpc_transfer_t *transfer,
                                CURLcode code, outcome_t *outcome);

/* Whether CODE means that the other side closed the connection, so that it no
   longer works on the request.  */
bool httpc_closed_by_peer (CURLcode code);

#endif
