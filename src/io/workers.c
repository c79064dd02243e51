#include "workers.h"

#include "answer.h"

#include <glib.h>
#include <string.h>

typedef struct
{
  workers_t base;
  httpc_t *client;
  GHashTable *open; /* call_t, owned */
} workers_http_t;

typedef struct
{
  workers_http_t *workers;
  httpc_call_t *http;
  char *url;
  char **tasks; /* names in the order of the request */
  uint32_t count;
  workers_start_done_t started;
  workers_lease_done_t leased;
  workers_stop_done_t stopped;
  workers_throttle_done_t throttled;
  void *context;
} call_t;

static const char *const start_results[]
    = { "running", "stale", "no_capacity", "wrong_incarnation", "failed" };
static const char *const stop_results[]
    = { "stopped", "ended", "stopping", "unknown" };
static const char *const stop_modes[] = { "graceful", "now", "checkpoint" };
static const char *const task_states[]
    = { "running", "ended", "failed", "stopped" };

static int
index_of (const char *const *names, unsigned count, const char *text)
{
  for (unsigned i = 0; text != NULL && i < count; i++)
    if (strcmp (names[i], text) == 0)
      return (int)i;
  return -1;
}

/* Every call is safe to repeat, so all failures after the connection was made
   are alike.  */
static err_kind_t
kind_of (const httpc_result_t *result)
{
  if (result->kind != ERR_OK)
    return result->outcome == OUTCOME_NOT_RUN ? ERR_CONNECT_FAILED
                                              : ERR_TIMEOUT;
  err_kind_t kind = answer_kind (result);
  return kind == ERR_STORE_UNAVAILABLE ? ERR_TIMEOUT : kind;
}

/* Reads the list "results" of {"task","result"} and puts the index of each
   result's name into FOUND, in the order of TASKS.  */
static err_kind_t
read_results (const httpc_result_t *result, const char *const *tasks,
              uint32_t count, const char *const *names, unsigned name_count,
              int *found, const char **detail)
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
      const json_t *one = json_array_get (list, i);
      const char *task = answer_string (one, "task");
      const char *word = answer_string (one, "result");
      if (task != NULL && word != NULL)
        g_hash_table_insert (by_task, (char *)task, (char *)word);
    }
  for (uint32_t i = 0; i < count && kind == ERR_OK; i++)
    {
      const char *word = g_hash_table_lookup (by_task, tasks[i]);
      found[i] = index_of (names, name_count, word);
      if (found[i] >= 0)
        continue;
      kind = ERR_INTERNAL;
      if (*detail == NULL)
        *detail = word ? "results[].result" : "results lacks a task";
    }
  if (answer == NULL)
    kind = ERR_INTERNAL;
  g_hash_table_unref (by_task);
  json_decref (answer);
  return kind;
}

err_kind_t
workers_http_read_start (const httpc_result_t *result,
                         const char *const *tasks, uint32_t count,
                         workers_start_result_t *results, const char **detail)
{
  int *found = g_new0 (int, count + 1);
  err_kind_t kind = read_results (result, tasks, count, start_results,
                                  G_N_ELEMENTS (start_results), found, detail);
  for (uint32_t i = 0; kind == ERR_OK && i < count; i++)
    results[i] = (workers_start_result_t)found[i];
  g_free (found);
  return kind;
}

err_kind_t
workers_http_read_stop (const httpc_result_t *result, const char *const *tasks,
                        uint32_t count, workers_stop_result_t *results,
                        const char **detail)
{
  int *found = g_new0 (int, count + 1);
  err_kind_t kind = read_results (result, tasks, count, stop_results,
                                  G_N_ELEMENTS (stop_results), found, detail);
  for (uint32_t i = 0; kind == ERR_OK && i < count; i++)
    results[i] = (workers_stop_result_t)found[i];
  g_free (found);
  return kind;
}

static const char *
read_task (const json_t *row, workers_task_t *task)
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
workers_http_read_lease (const httpc_result_t *result, int64_t *incarnation,
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
    *detail = read_task (json_array_get (list, i), &(*tasks)[i]);
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
  g_hash_table_remove (call->workers->open, call);
  g_strfreev (call->tasks);
  g_free (call->url);
  g_free (call);
}

/* Takes ownership of BODY.  */
static void
post (workers_t *self, const char *url, const char *path, json_t *body,
      const call_t *what, httpc_done_t done)
{
  workers_http_t *workers = (workers_http_t *)self;
  call_t *call = g_memdup2 (what, sizeof *what);
  call->workers = workers;
  call->url = g_strconcat (url, path, NULL);
  g_hash_table_add (workers->open, call);
  char *text = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  call->http = httpc_call (workers->client, "POST", call->url, text,
                           ANSWER_LIMIT_MS, done, call);
  free (text);
}

static void
log_if_bad (const call_t *call, const httpc_result_t *result, err_kind_t kind,
            const char *detail)
{
  if (kind == ERR_INTERNAL)
    answer_log_bad ("worker", call->url, result, detail);
}

static void
on_started (void *context, const httpc_result_t *result)
{
  call_t *call = context;
  const char *detail;
  workers_start_result_t *results
      = g_new0 (workers_start_result_t, call->count + 1);
  err_kind_t kind = workers_http_read_start (
      result, (const char *const *)call->tasks, call->count, results, &detail);
  log_if_bad (call, result, kind, detail);
  call->started (call->context, kind, kind == ERR_OK ? results : NULL,
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
  call_t what = { .started = done, .context = context, .count = count };
  what.tasks = g_new0 (char *, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      const workers_start_t *one = &starts[i];
      what.tasks[i] = g_strdup (one->task);
      json_array_append_new (
          list,
          json_pack ("{s:s, s:I, s:s, s:s, s:I, s:I, s:I, s:s, s:I}", "task",
                     one->task, "generation", (json_int_t)one->generation,
                     "job", one->job, "kind", one->kind, "cpu_millis",
                     (json_int_t)one->size.cpu_millis, "memory_mib",
                     (json_int_t)one->size.memory_mib, "accelerators",
                     (json_int_t)one->size.accelerators, "command",
                     one->command ? one->command : "", "run_ms",
                     (json_int_t)one->run_ms));
    }
  post (self, url, "/start",
        json_pack ("{s:I, s:I, s:o}", "incarnation", (json_int_t)incarnation,
                   "lease_ms", (json_int_t)lease_ms, "starts", list),
        &what, on_started);
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
  err_kind_t kind = workers_http_read_lease (result, &incarnation, &tasks,
                                             &count, &answer, &detail);
  log_if_bad (call, result, kind, detail);
  call->leased (call->context, kind, incarnation, tasks, count);
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
  call_t what = { .leased = done, .context = context };
  post (self, url, "/lease",
        json_pack ("{s:I, s:I, s:o}", "incarnation", (json_int_t)incarnation,
                   "lease_ms", (json_int_t)lease_ms, "ack", list),
        &what, on_leased);
}

static void
on_stopped (void *context, const httpc_result_t *result)
{
  call_t *call = context;
  const char *detail;
  workers_stop_result_t *results
      = g_new0 (workers_stop_result_t, call->count + 1);
  err_kind_t kind = workers_http_read_stop (
      result, (const char *const *)call->tasks, call->count, results, &detail);
  log_if_bad (call, result, kind, detail);
  call->stopped (call->context, kind, kind == ERR_OK ? results : NULL,
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
  call_t what = { .stopped = done, .context = context, .count = count };
  what.tasks = g_new0 (char *, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      what.tasks[i] = g_strdup (stops[i].task);
      json_array_append_new (
          list, json_pack ("{s:s, s:I, s:s}", "task", stops[i].task,
                           "generation", (json_int_t)stops[i].generation,
                           "mode", stop_modes[stops[i].mode]));
    }
  post (self, url, "/stop",
        json_pack ("{s:I, s:o}", "incarnation", (json_int_t)incarnation,
                   "stops", list),
        &what, on_stopped);
}

static void
on_throttled (void *context, const httpc_result_t *result)
{
  call_t *call = context;
  err_kind_t kind = kind_of (result);
  log_if_bad (call, result, kind, "unexpected status");
  call->throttled (call->context, kind);
  call_free (call);
}

static void
workers_throttle (workers_t *self, const char *url, const char *task,
                  int64_t generation, int64_t cpu_millis,
                  workers_throttle_done_t done, void *context)
{
  call_t what = { .throttled = done, .context = context };
  post (self, url, "/throttle",
        json_pack ("{s:s, s:I, s:I}", "task", task, "generation",
                   (json_int_t)generation, "cpu_millis",
                   (json_int_t)cpu_millis),
        &what, on_throttled);
}

workers_t *
workers_http_new (httpc_t *client)
{
  static const workers_ops_t ops
      = { workers_start, workers_lease, workers_stop, workers_throttle };
  workers_http_t *workers = g_new0 (workers_http_t, 1);
  workers->base.ops = &ops;
  workers->client = client;
  workers->open = g_hash_table_new (NULL, NULL);
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
  while (g_hash_table_size (workers->open) > 0)
    {
      g_hash_table_iter_init (&iter, workers->open);
      g_hash_table_iter_next (&iter, (void **)&call, NULL);
      httpc_cancel (call->http);
      call_free (call);
    }
  g_hash_table_unref (workers->open);
  g_free (workers);
}
