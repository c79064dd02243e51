#ifndef MAGNOLIADOCK_OBJECTS_H
#define MAGNOLIADOCK_OBJECTS_H

#include "error.h"
#include "httpc.h"

#include <stddef.h>

/* NAME
     objects - client of the platform's object store

   Stores, reads and removes whole objects by name
   (docs/contracts/object-store.md).  The calls go through a table of function
   pointers, so that another implementation can be added as one new file.  */

typedef struct objects objects_t;

/* KIND: ERR_OK, ERR_NOT_FOUND, ERR_STORE_UNAVAILABLE (certainly not carried
   out), ERR_TIMEOUT (unknown; a repeated put or remove of the same object is
   harmless), ERR_INTERNAL (unexpected status) or ERR_BAD_REQUEST (see
   objects_http_new).  DATA (get only) lives until the callback returns.  */
typedef void (*objects_done_t) (void *context, err_kind_t kind,
                                const char *data, size_t length);

typedef struct
{
  /* DATA is JSON or other text without NUL; it is copied.  */
  void (*put) (objects_t *self, const char *name, const char *data,
               objects_done_t done, void *context);
  void (*get) (objects_t *self, const char *name, objects_done_t done,
               void *context);
  void (*remove) (objects_t *self, const char *name, objects_done_t done,
                  void *context);
} objects_ops_t;

struct objects
{
  const objects_ops_t *ops;
};

/* CLIENT stays the caller's and outlives the result.  URL has no '/' at the
   end and is copied.  NAME in the calls may have only letters, digits and
   "-_./" and not be empty; for any other NAME, DONE gets ERR_BAD_REQUEST
   before the call returns.  */
objects_t *objects_http_new (httpc_t *client, const char *url);
/* Cancels the calls in flight without calling their callbacks.  */
void objects_http_free (objects_t *objects);

/* Returns the kind for the callback; used by the calls above and tested on its
   own.  */
err_kind_t objects_http_kind (const httpc_result_t *result);

#endif
