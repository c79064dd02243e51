#include "workers.h"

#include "answer.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  workers_t base;
  httpc_t *client;
  GHashTable *in_flight; /* call_t, owned */
} workers_http_t;

typedef struct
{
  workers_http_t *workers;
  httpc_call_t *http;
  char *url;
  char **tasks; /* names in the order of the request */
  uint32_t count;
  /* The callback of this kind of call; the others are NULL.  */
  workers_start_done_t start_done;
  workers_lease_done_t lease_done;
  workers_stop_done_t stop_done;
  workers_throttle_done_t throttle_done;
  void *context;
} call_t;

static const char *const start_results[]
    = { "running", "stale", "no_capacity", "wrong_incarnation", "failed" };
static const char *const stop_results[]
    = { "stopped", "ended", "stopping", "unknown" };
static const char *const stop_modes[] = { "graceful", "now", "checkpoint" };
static const char *const task_states[]
    = { "running", "ended", "failed", "stopped" };

/* Returns the index of TEXT (may be NULL) in NAMES, -1 if it is not there.  */
static int
index_of (const char *const *names, unsigned count, const char *text)
{
  for (unsigned i = 0; text != NULL && i < count; i++)
    if (strcmp (names[i], text) == 0)
      return (int)i;
  return -1;
}

/* Returns the kind for the callback.  Every call is safe to repeat, so a
   missing answer to a request that was sent, and status 429 and 500 or more,
   are all ERR_TIMEOUT.  */
static err_kind_t
kind_of (const httpc_result_t *result)
{
  if (result->kind != ERR_OK)
    return result->outcome == OUTCOME_NOT_RUN ? ERR_CONNECT_FAILED
                                              : ERR_TIMEOUT;
  err_kind_t kind = answer_kind (result);
  return kind == ERR_STORE_UNAVAILABLE ? ERR_TIMEOUT : kind;
}

/* Parses the list "results" of {"task","result"} from the answer and sets
   INDEXES[i] to the index in NAMES of the result of TASKS[i].  */
static err_kind_t
parse_results (const httpc_result_t *result, const char *const *tasks,
               uint32_t count, const char *const *names, unsigned name_count,
               int *indexes, const char **detail)
{
  *detail = NULL;
  err_kind_t kind = kind_of (result);
  if (kind != ERR_OK)
    return kind;
  json_t *answer = answer_parse (result, detail);
  const json_t *list = json_object_get (answer, "results");
  GHashTable *by_task = g_hash_table_new (g_str_hash, g_str_equal);
  for (size_t i = 0; i < json_array_size (list); i++)
    {
      const json_t *row = json_array_get (list, i);
      const char *task = answer_string (row, "task");
      const char *result_name = answer_string (row, "result");
      if (task != NULL && result_name != NULL)
        g_hash_table_insert (by_task, (char *)task, (char *)result_name);
    }
  for (uint32_t i = 0; i < count && kind == ERR_OK; i++)
    {
      const char *result_name = g_hash_table_lookup (by_task, tasks[i]);
      indexes[i] = index_of (names, name_count, result_name);
      if (indexes[i] >= 0)
        continue;
      kind = ERR_INTERNAL;
      if (*detail == NULL)
        *detail = result_name ? "results[].result" : "results lacks a task";
    }
  if (answer == NULL)
    kind = ERR_INTERNAL;
  g_hash_table_unref (by_task);
  json_decref (answer);
  return kind;
}

err_kind_t
workers_http_parse_start (const httpc_result_t *result,
                          const char *const *tasks, uint32_t count,
                          workers_start_result_t *results, const char **detail)
{
  int *indexes = g_new0 (int, count + 1);
  err_kind_t kind
      = parse_results (result, tasks, count, start_results,
                       G_N_ELEMENTS (start_results), indexes, detail);
  for (uint32_t i = 0; kind == ERR_OK && i < count; i++)
    results[i] = (workers_start_result_t)indexes[i];
  g_free (indexes);
  return kind;
}

err_kind_t
workers_http_parse_stop (const httpc_result_t *result,
                         const char *const *tasks, uint32_t count,
                         workers_stop_result_t *results, const char **detail)
{
  int *indexes = g_new0 (int, count + 1);
  err_kind_t kind
      = parse_results (result, tasks, count, stop_results,
                       G_N_ELEMENTS (stop_results), indexes, detail);
  for (uint32_t i = 0; kind == ERR_OK && i < count; i++)
    results[i] = (workers_stop_result_t)indexes[i];
  g_free (indexes);
  return kind;
}

static const char *
parse_task (const json_t *row, workers_task_t *task)
{
  int state = index_of (task_states, G_N_ELEMENTS (task_states),
                        answer_string (row, "state"));
  task->task = answer_string (row, "task");
  task->generation = answer_integer (row, "generation", -1);
  task->state = (workers_task_state_t)state;
  task->exit = (int32_t)answer_integer (row, "exit", 0);
  task->cpu_millis = answer_integer (row, "cpu_millis", -1);
  task->memory_mib = answer_integer (row, "memory_mib", -1);
  task->usage_age_ms = answer_integer (row, "usage_age_ms", INT64_MAX);
  return task->task == NULL     ? "tasks[].task"
         : task->generation < 0 ? "tasks[].generation"
         : state < 0            ? "tasks[].state"
                                : NULL;
}

err_kind_t
workers_http_parse_lease (const httpc_result_t *result, int64_t *incarnation,
                          workers_task_t **tasks, uint32_t *count,
                          void **answer, const char **detail)
{
  *detail = NULL;
  *tasks = NULL;
  *count = 0;
  *answer = NULL;
  err_kind_t kind = kind_of (result);
  if (kind != ERR_OK)
    return kind;
  json_t *value = answer_parse (result, detail);
  if (value == NULL)
    return ERR_INTERNAL;
  const json_t *list = json_object_get (value, "tasks");
  *incarnation = answer_integer (value, "incarnation", -1);
  if (*incarnation < 0 || !json_is_array (list))
    *detail = *incarnation < 0 ? "incarnation" : "tasks";
  size_t size = json_array_size (list);
  *tasks = g_new0 (workers_task_t, size + 1);
  for (size_t i = 0; i < size && *detail == NULL; i++)
    *detail = parse_task (json_array_get (list, i), &(*tasks)[i]);
  if (*detail != NULL)
    {
      g_free (*tasks);
      *tasks = NULL;
      json_decref (value);
      return ERR_INTERNAL;
    }
  *count = (uint32_t)size;
  *answer = value;
  return ERR_OK;
}

static void
call_free (call_t *call)
{
  g_hash_table_remove (call->workers->in_flight, call);
  g_strfreev (call->tasks);
  g_free (call->url);
  g_free (call);
}

/* Posts BODY to PATH of the worker at URL.  FIELDS holds the tasks, callback
   and context of the call.  Takes ownership of BODY and of the tasks.  */
static void
post (workers_t *self, const char *url, const char *path, json_t *body,
      const call_t *fields, httpc_done_t done)
{
  workers_http_t *workers = (workers_http_t *)self;
  call_t *call = g_memdup2 (fields, sizeof *fields);
  call->workers = workers;
  call->url = g_strconcat (url, path, NULL);
  g_hash_table_add (workers->in_flight, call);
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  call->http = httpc_call (workers->client, "POST", call->url, text,
                           ANSWER_TIMEOUT_MS, done, call);
  free (text);
}

static void
log_if_bad (const call_t *call, const httpc_result_t *result, err_kind_t kind,
            const char *detail)
{
  if (kind == ERR_INTERNAL)
    answer_log_unexpected ("worker", call->url, result, detail);
}

static void
on_started (void *context, const httpc_result_t *result)
{
  call_t *call = context;
  const char *detail;
  workers_start_result_t *results
      = g_new0 (workers_start_result_t, call->count + 1);
  err_kind_t kind = workers_http_parse_start (
      result, (const char *const *)call->tasks, call->count, results, &detail);
  log_if_bad (call, result, kind, detail);
  call->start_done (call->context, kind, kind == ERR_OK ? results : NULL,
                    kind == ERR_OK ? call->count : 0);
  g_free (results);
  call_free (call);
}

static void
workers_start (workers_t *self, const char *url, int64_t incarnation,
               int64_t lease_ms, const workers_start_t *starts, uint32_t count,
               workers_start_done_t done, void *context)
{
  json_t *list = json_array ();
  call_t fields = { .start_done = done, .context = context, .count = count };
  fields.tasks = g_new0 (char *, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      const workers_start_t *start = &starts[i];
      fields.tasks[i] = g_strdup (start->task);
      json_array_append_new (
          list,
          json_pack ("{s:s, s:I, s:s, s:s, s:I, s:I, s:I, s:s, s:I}", "task",
                     start->task, "generation", (json_int_t)start->generation,
                     "job", start->job, "kind", start->kind, "cpu_millis",
                     (json_int_t)start->size.cpu_millis, "memory_mib",
                     (json_int_t)start->size.memory_mib, "accelerators",
                     (json_int_t)start->size.accelerators, "command",
                     start->command ? start->command : "", "run_ms",
                     (json_int_t)start->run_ms));
    }
  post (self, url, "/start",
        json_pack ("{s:I, s:I, s:o}", "incarnation", (json_int_t)incarnation,
                   "lease_ms", (json_int_t)lease_ms, "starts", list),
        &fields, on_started);
}

static void
on_leased (void *context, const httpc_result_t *result)
{
  call_t *call = context;
  const char *detail;
  int64_t incarnation = -1;
  workers_task_t *tasks;
  uint32_t count;
  void *answer;
  err_kind_t kind = workers_http_parse_lease (result, &incarnation, &tasks,
                                              &count, &answer, &detail);
  log_if_bad (call, result, kind, detail);
  call->lease_done (call->context, kind, incarnation, tasks, count);
  g_free (tasks);
  json_decref (answer);
  call_free (call);
}

static void
workers_lease (workers_t *self, const char *url, int64_t incarnation,
               int64_t lease_ms, const workers_task_id_t *ack, uint32_t count,
               workers_lease_done_t done, void *context)
{
  json_t *list = json_array ();
  for (uint32_t i = 0; i < count; i++)
    json_array_append_new (list, json_pack ("{s:s, s:I}", "task", ack[i].task,
                                            "generation",
                                            (json_int_t)ack[i].generation));
  call_t fields = { .lease_done = done, .context = context };
  post (self, url, "/lease",
        json_pack ("{s:I, s:I, s:o}", "incarnation", (json_int_t)incarnation,
                   "lease_ms", (json_int_t)lease_ms, "ack", list),
        &fields, on_leased);
}

static void
on_stopped (void *context, const httpc_result_t *result)
{
  call_t *call = context;
  const char *detail;
  workers_stop_result_t *results
      = g_new0 (workers_stop_result_t, call->count + 1);
  err_kind_t kind = workers_http_parse_stop (
      result, (const char *const *)call->tasks, call->count, results, &detail);
  log_if_bad (call, result, kind, detail);
  call->stop_done (call->context, kind, kind == ERR_OK ? results : NULL,
                   kind == ERR_OK ? call->count : 0);
  g_free (results);
  call_free (call);
}

static void
workers_stop (workers_t *self, const char *url, int64_t incarnation,
              const workers_stop_t *stops, uint32_t count,
              workers_stop_done_t done, void *context)
{
  json_t *list = json_array ();
  call_t fields = { .stop_done = done, .context = context, .count = count };
  fields.tasks = g_new0 (char *, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      fields.tasks[i] = g_strdup (stops[i].task);
      json_array_append_new (
          list, json_pack ("{s:s, s:I, s:s}", "task", stops[i].task,
                           "generation", (json_int_t)stops[i].generation,
                           "mode", stop_modes[stops[i].mode]));
    }
  post (self, url, "/stop",
        json_pack ("{s:I, s:o}", "incarnation", (json_int_t)incarnation,
                   "stops", list),
        &fields, on_stopped);
}

static void
on_throttled (void *context, const httpc_result_t *result)
{
  call_t *call = context;
  err_kind_t kind = kind_of (result);
  log_if_bad (call, result, kind, "unexpected status");
  call->throttle_done (call->context, kind);
  call_free (call);
}

static void
workers_throttle (workers_t *self, const char *url, const char *task,
                  int64_t generation, int64_t cpu_millis,
                  workers_throttle_done_t done, void *context)
{
  call_t fields = { .throttle_done = done, .context = context };
  post (self, url, "/throttle",
        json_pack ("{s:s, s:I, s:I}", "task", task, "generation",
                   (json_int_t)generation, "cpu_millis",
                   (json_int_t)cpu_millis),
        &fields, on_throttled);
}

workers_t *
workers_http_new (httpc_t *client)
{
  static const workers_ops_t ops
      = { workers_start, workers_lease, workers_stop, workers_throttle };
  workers_http_t *workers = g_new0 (workers_http_t, 1);
  workers->base.ops = &ops;
  workers->client = client;
  workers->in_flight = g_hash_table_new (NULL, NULL);
  return &workers->base;
}

void
workers_http_free (workers_t *self)
{
  if (self == NULL)
    return;
  workers_http_t *workers = (workers_http_t *)self;
  GHashTableIter iter;
  call_t *call;
  while (g_hash_table_size (workers->in_flight) > 0)
    {
      g_hash_table_iter_init (&iter, workers->in_flight);
      g_hash_table_iter_next (&iter, (void **)&call, NULL);
      httpc_cancel (call->http);
      call_free (call);
    }
  g_hash_table_unref (workers->in_flight);
  g_free (workers);
}
