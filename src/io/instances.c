#include "instances.h"

#include "answer.h"
#include "log.h"
#include "loop.h"

#include <glib.h>
#include <string.h>

#define POLL_PERIOD_MS 1000

struct instances
{
  httpc_t *client;
  const clk_t *clock;
  char *list_url;
  char *zone;
  instance_changed_t changed;
  void *context;
  loop_timer_t *timer;
  httpc_call_t *call;
  GHashTable *known; /* id -> instance_t */
  int64_t revision;
  int64_t answered_ms; /* clock time of the last valid answer, -1: none */
};

static void
instance_free (void *pointer)
{
  instance_t *instance = pointer;
  g_free (instance->id);
  g_free (instance->zone);
  g_free (instance->rack);
  g_free (instance->url);
  g_free (instance->peer);
  g_free (instance->service);
  g_free (instance);
}

/* Returns the index of TEXT (may be NULL) in NAMES, a list that ends with
   NULL; -1 if it is not there.  */
static int
index_of (const char *const *names, const char *text)
{
  for (int i = 0; text != NULL && names[i] != NULL; i++)
    if (strcmp (names[i], text) == 0)
      return i;
  return -1;
}

/* Returns a new instance, or NULL.  *DETAIL names the malformed or missing
   member of a row; it stays NULL for a row of a kind that this version does
   not know.  */
static instance_t *
parse_instance (const json_t *row, const char **detail)
{
  static const char *const kinds[] = { "worker", "backend", "entry", NULL };
  static const char *const states[] = { "live", "leaving", "gone", NULL };
  const char *id = answer_string (row, "id");
  const char *zone = answer_string (row, "zone");
  const char *kind_name = answer_string (row, "kind");
  const char *url = answer_string (row, "url");
  const char *service = answer_string (row, "service");
  int kind = index_of (kinds, kind_name);
  int state = index_of (states, answer_string (row, "state"));
  int64_t incarnation = answer_integer (row, "incarnation", -1);
  if (kind < 0 && kind_name != NULL)
    return NULL;
  *detail = id == NULL || *id == '\0' ? "instances[].id"
            : kind < 0                ? "instances[].kind"
            : zone == NULL            ? "instances[].zone"
            : state < 0               ? "instances[].state"
            : incarnation < 0         ? "instances[].incarnation"
            : url == NULL             ? "instances[].url"
            : kind == INSTANCE_BACKEND && service == NULL
                ? "instances[].service"
                : NULL;
  if (*detail != NULL)
    return NULL;
  instance_t *instance = g_new0 (instance_t, 1);
  instance->id = g_strdup (id);
  instance->kind = (instance_kind_t)kind;
  instance->state = (instance_state_t)state;
  instance->zone = g_strdup (zone);
  instance->rack = g_strdup (answer_string (row, "rack"));
  instance->incarnation = incarnation;
  instance->url = g_strdup (url);
  instance->peer = g_strdup (answer_string (row, "peer"));
  instance->service = g_strdup (service);
  instance->capacity = (resource_t){
    answer_integer (row, "cpu_millis", 0),
    answer_integer (row, "memory_mib", 0),
    answer_integer (row, "accelerators", 0),
  };
  return instance;
}

static bool
instance_equal (const instance_t *a, const instance_t *b)
{
  return a->kind == b->kind && a->state == b->state
         && a->incarnation == b->incarnation
         && g_strcmp0 (a->zone, b->zone) == 0
         && g_strcmp0 (a->rack, b->rack) == 0
         && g_strcmp0 (a->url, b->url) == 0
         && g_strcmp0 (a->peer, b->peer) == 0
         && g_strcmp0 (a->service, b->service) == 0
         && memcmp (&a->capacity, &b->capacity, sizeof a->capacity) == 0;
}

/* Returns whether NEXT has to be ignored: it has a lower incarnation than
   KNOWN, or would revive an incarnation that is gone, which is final.  */
static bool
is_outdated (const instance_t *known, const instance_t *next)
{
  return next->incarnation < known->incarnation
         || (next->incarnation == known->incarnation
             && known->state == INSTANCE_GONE && next->state != INSTANCE_GONE);
}

/* Takes ownership of NEXT.  */
static void
merge_instance (instances_t *instances, instance_t *next)
{
  const instance_t *known = g_hash_table_lookup (instances->known, next->id);
  if (known != NULL && is_outdated (known, next))
    {
      log_event (LOG_WARN, "instance_outdated", "instance", next->id, NULL);
      instance_free (next);
      return;
    }
  if (known != NULL && instance_equal (known, next))
    {
      instance_free (next);
      return;
    }
  g_hash_table_replace (instances->known, next->id, next);
  instances->changed (instances->context, next);
}

static GPtrArray *
parse_rows (const json_t *answer, const char **detail)
{
  const json_t *list = json_object_get (answer, "instances");
  if (!json_is_array (list))
    {
      *detail = "instances";
      return NULL;
    }
  GPtrArray *rows = g_ptr_array_new ();
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      instance_t *row = parse_instance (json_array_get (list, i), detail);
      if (row != NULL)
        g_ptr_array_add (rows, row);
      if (*detail == NULL)
        continue;
      g_ptr_array_set_free_func (rows, instance_free);
      g_ptr_array_unref (rows);
      return NULL;
    }
  return rows;
}

err_kind_t
instances_handle_answer (instances_t *instances, const httpc_result_t *result)
{
  err_kind_t kind = answer_kind (result);
  if (kind == ERR_STORE_UNAVAILABLE)
    return kind;
  const char *detail = NULL;
  json_t *answer = kind == ERR_OK ? answer_parse (result, &detail) : NULL;
  int64_t revision = answer_integer (answer, "revision", -1);
  if (answer != NULL && revision < 0)
    detail = "revision";
  GPtrArray *rows
      = answer && detail == NULL ? parse_rows (answer, &detail) : NULL;
  if (rows == NULL)
    {
      answer_log_unexpected ("list", "/v1/instances", result,
                             detail ? detail : "unexpected status");
      json_decref (answer);
      return ERR_INTERNAL;
    }
  /* An instance that is missing from the answer keeps its state, even if the
     answer lists all instances: only the state "gone" proves that it was
     terminated.  */
  for (unsigned i = 0; i < rows->len; i++)
    merge_instance (instances, g_ptr_array_index (rows, i));
  instances->revision = revision;
  instances->answered_ms = clk_now_ms (instances->clock);
  g_ptr_array_unref (rows);
  json_decref (answer);
  return ERR_OK;
}

static void
on_answer (void *context, const httpc_result_t *result)
{
  instances_t *instances = context;
  instances->call = NULL;
  instances_handle_answer (instances, result);
}

static void
poll_list (void *context)
{
  instances_t *instances = context;
  if (instances->call != NULL)
    return;
  g_autofree char *zone = g_uri_escape_string (instances->zone, NULL, FALSE);
  g_autofree char *url
      = g_strdup_printf ("%s/v1/instances?since=%" G_GINT64_FORMAT "&zone=%s",
                         instances->list_url, instances->revision, zone);
  instances->call = httpc_call (instances->client, "GET", url, NULL,
                                ANSWER_TIMEOUT_MS, on_answer, instances);
}

instances_t *
instances_new (httpc_t *client, const clk_t *clock, struct ev_loop *loop,
               const char *list_url, const char *zone,
               instance_changed_t changed, void *context)
{
  instances_t *instances = g_new0 (instances_t, 1);
  instances->client = client;
  instances->clock = clock;
  instances->list_url = g_strdup (list_url);
  instances->zone = g_strdup (zone);
  instances->changed = changed;
  instances->context = context;
  instances->answered_ms = -1;
  instances->known
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, instance_free);
  instances->timer
      = loop_timer_new (loop, POLL_PERIOD_MS, poll_list, instances);
  if (client != NULL)
    poll_list (instances);
  return instances;
}

void
instances_free (instances_t *instances)
{
  if (instances == NULL)
    return;
  loop_timer_free (instances->timer);
  if (instances->call != NULL)
    httpc_cancel (instances->call);
  g_hash_table_unref (instances->known);
  g_free (instances->list_url);
  g_free (instances->zone);
  g_free (instances);
}

int64_t
instances_age_ms (const instances_t *instances)
{
  return instances->answered_ms < 0
             ? -1
             : clk_now_ms (instances->clock) - instances->answered_ms;
}
