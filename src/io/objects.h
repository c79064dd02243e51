#ifndef MAGNOLIADOCK_OBJECTS_H
#define MAGNOLIADOCK_OBJECTS_H

#include "error.h"
#include "httpc.h"

#include <stddef.h>

/* NAME
     objects - client of the platform's object store

   Whole objects by name (docs/contracts/object-store.md).  The calls go
   through a table of function pointers, so that another form of the same
   service is one new file.  */

typedef struct objects objects_t;

/* KIND: ERR_OK, ERR_NOT_FOUND, ERR_STORE_UNAVAILABLE (surely not carried out),
   ERR_TIMEOUT (unknown; a repeated put or delete of the same object is
   harmless) or ERR_INTERNAL.  DATA (get only) lives until the callback
   returns.  */
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
   end and is copied.  NAME in the calls holds letters, digits and "-_./" only;
   any other one fails with ERR_BAD_REQUEST before the call returns.  */
objects_t *objects_http_new (httpc_t *client, const char *url);
/* Ends open calls without calling them back.  */
void objects_http_free (objects_t *objects);

/* What an answer means; used by the calls above and tested by itself.  */
err_kind_t objects_http_kind (const httpc_result_t *result);

#endif
