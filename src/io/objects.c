#include "objects.h"

#include "answer.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  objects_t base;
  httpc_t *client;
  char *url;
  GHashTable *in_flight; /* call_t, owned */
} objects_http_t;

typedef struct
{
  objects_http_t *objects;
  httpc_call_t *http;
  objects_done_t done;
  void *context;
} call_t;

err_kind_t
objects_http_kind (const httpc_result_t *result)
{
  if (result->kind != ERR_OK)
    return result->outcome == OUTCOME_NOT_RUN ? ERR_STORE_UNAVAILABLE
                                              : ERR_TIMEOUT;
  /* After 429 and 503 nothing was done; after any other 5xx that is not known.
   */
  if (result->status >= 500 && result->status != 503)
    return ERR_TIMEOUT;
  return answer_kind (result);
}

static bool
name_valid (const char *name)
{
  return *name != '\0'
         && strspn (name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXY"
                          "Z0123456789-_./")
                == strlen (name);
}

static void
call_free (call_t *call)
{
  g_hash_table_remove (call->objects->in_flight, call);
  g_free (call);
}

static void
on_answer (void *context, const httpc_result_t *result)
{
  call_t *call = context;
  err_kind_t kind = objects_http_kind (result);
  if (kind == ERR_INTERNAL)
    answer_log_unexpected ("objects", "-", result, "unexpected status");
  call->done (call->context, kind, kind == ERR_OK ? result->body : NULL,
              kind == ERR_OK ? result->body_length : 0);
  call_free (call);
}

static void
send_request (objects_t *self, const char *method, const char *name,
              const char *data, objects_done_t done, void *context)
{
  objects_http_t *objects = (objects_http_t *)self;
  if (!name_valid (name))
    {
      done (context, ERR_BAD_REQUEST, NULL, 0);
      return;
    }
  call_t *call = g_new0 (call_t, 1);
  *call = (call_t){ objects, NULL, done, context };
  g_hash_table_add (objects->in_flight, call);
  g_autofree char *url
      = g_strdup_printf ("%s/v1/objects/%s", objects->url, name);
  call->http = httpc_call (objects->client, method, url, data,
                           ANSWER_TIMEOUT_MS, on_answer, call);
}

static void
objects_put (objects_t *self, const char *name, const char *data,
             objects_done_t done, void *context)
{
  send_request (self, "PUT", name, data, done, context);
}

static void
objects_get (objects_t *self, const char *name, objects_done_t done,
             void *context)
{
  send_request (self, "GET", name, NULL, done, context);
}

static void
objects_remove (objects_t *self, const char *name, objects_done_t done,
                void *context)
{
  send_request (self, "DELETE", name, NULL, done, context);
}

objects_t *
objects_http_new (httpc_t *client, const char *url)
{
  static const objects_ops_t ops
      = { objects_put, objects_get, objects_remove };
  objects_http_t *objects = g_new0 (objects_http_t, 1);
  objects->base.ops = &ops;
  objects->client = client;
  objects->url = g_strdup (url);
  objects->in_flight = g_hash_table_new (NULL, NULL);
  return &objects->base;
}

void
objects_http_free (objects_t *self)
{
  if (self == NULL)
    return;
  objects_http_t *objects = (objects_http_t *)self;
  GHashTableIter iter;
  call_t *call;
  while (g_hash_table_size (objects->in_flight) > 0)
    {
      g_hash_table_iter_init (&iter, objects->in_flight);
      g_hash_table_iter_next (&iter, (void **)&call, NULL);
      httpc_cancel (call->http);
      call_free (call);
    }
  g_hash_table_unref (objects->in_flight);
  g_free (objects->url);
  g_free (objects);
}
