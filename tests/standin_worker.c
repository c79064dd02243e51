#include "standin.h"

#include <stdlib.h>
#include <string.h>

#define CPU_OVERCOMMIT_PERCENT 125
#define UNKNOWN_AGE_MS 3600000
#define FAIL_AFTER_MS 50
#define EVENTS_KEPT 200000

typedef enum
{
  TASK_RUNNING,
  TASK_ENDED,
  TASK_FAILED,
  TASK_STOPPED
} task_state_t;

static const char *const state_names[]
    = { "running", "ended", "failed", "stopped" };

typedef struct
{
  char *task, *job;
  int64_t generation;
  int64_t cpu_millis, memory_mib, accelerators; /* declared */
  int64_t real_cpu_millis, real_memory_mib;
  int64_t cpu_limit_millis; /* by throttle */
  int64_t started_ms, ends_ms, stops_ms, lease_until_ms;
  task_state_t state;
  int exit;
  standin_worker_t *worker;
} task_t;

struct standin_worker
{
  standin_instance_t *instance;
  standin_fault_t fault;
  GHashTable *held;    /* "TASK#GENERATION" -> task_t, until acknowledged */
  GHashTable *refused; /* task -> highest generation that is never started */
};

static GHashTable *latest; /* task -> task_t that was started last */
static GHashTable *over;   /* task -> highest generation confirmed as over */
static GArray *events;     /* event_t, for standin_tasks */

typedef struct
{
  char *task, *worker;
  int64_t generation, at_wall_ms;
  const char *what;
} event_t;

static void
free_task (void *pointer)
{
  task_t *task = pointer;
  if (g_hash_table_lookup (latest, task->task) == task)
    g_hash_table_remove (latest, task->task);
  g_free (task->task);
  g_free (task->job);
  g_free (task);
}

void
standin_worker_begin (standin_instance_t *instance)
{
  if (latest == NULL)
    {
      latest = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      over = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      events = g_array_new (FALSE, FALSE, sizeof (event_t));
    }
  standin_worker_t *worker = g_new0 (standin_worker_t, 1);
  worker->instance = instance;
  worker->held
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_task);
  worker->refused
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  instance->worker = worker;
}

static void
note (const standin_worker_t *worker, const char *task, int64_t generation,
      const char *what)
{
  event_t event = { g_strdup (task), g_strdup (worker->instance->id),
                    generation, g_get_real_time () / 1000, what };
  if (events->len < EVENTS_KEPT)
    g_array_append_val (events, event);
}

static int64_t
highest (GHashTable *table, const char *task)
{
  const int64_t *value = g_hash_table_lookup (table, task);
  return value != NULL ? *value : 0;
}

static void
raise_to (GHashTable *table, const char *task, int64_t generation)
{
  if (highest (table, task) < generation)
    g_hash_table_insert (table, g_strdup (task),
                         g_memdup2 (&generation, sizeof generation));
}

static void
finish (task_t *task, task_state_t state, int exit)
{
  task->state = state;
  task->exit = exit;
  raise_to (task->worker->refused, task->task, task->generation);
  raise_to (over, task->task, task->generation);
  standin_count (state_names[state], 1);
  note (task->worker, task->task, task->generation, state_names[state]);
}

/* Brings what happened by itself up to date: ends and expired leases.  */
static void
update (standin_worker_t *worker)
{
  int64_t now_ms = standin_now_ms ();
  GHashTableIter iter;
  task_t *task;
  g_hash_table_iter_init (&iter, worker->held);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&task))
    {
      if (task->state != TASK_RUNNING)
        continue;
      int64_t first_ms = MIN (task->ends_ms, task->stops_ms);
      if (task->lease_until_ms <= now_ms && task->lease_until_ms < first_ms)
        {
          standin_count ("lease_expired", 1);
          finish (task, TASK_STOPPED, 0);
        }
      else if (first_ms > now_ms)
        continue;
      else if (task->stops_ms < task->ends_ms)
        finish (task, TASK_STOPPED, 0);
      else
        finish (task, task->exit == 0 ? TASK_ENDED : TASK_FAILED, task->exit);
    }
}

static int64_t
integer (json_t *object, const char *name)
{
  return json_integer_value (json_object_get (object, name));
}

/* Reads NAME=NUMBER out of a task's command, which tells the stand-in what the
   task really does: run_ms, exit, memory_mib, cpu_millis.  */
static int64_t
from_command (const char *command, const char *name, int64_t missing)
{
  g_autofree char *wanted = g_strconcat (name, "=", NULL);
  const char *found = command ? strstr (command, wanted) : NULL;
  return found ? g_ascii_strtoll (found + strlen (wanted), NULL, 10) : missing;
}

static bool
fits (standin_worker_t *worker, const task_t *next)
{
  int64_t cpu = next->cpu_millis, memory = next->memory_mib,
          accelerators = next->accelerators;
  GHashTableIter iter;
  task_t *task;
  g_hash_table_iter_init (&iter, worker->held);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&task))
    if (task->state == TASK_RUNNING)
      {
        cpu += task->cpu_millis;
        memory += task->memory_mib;
        accelerators += task->accelerators;
      }
  const standin_instance_t *has = worker->instance;
  return cpu * 100 <= has->cpu_millis * CPU_OVERCOMMIT_PERCENT
         && memory <= has->memory_mib && accelerators <= has->accelerators;
}

static task_t *
parse_task (standin_worker_t *worker, json_t *start, int64_t lease_ms)
{
  int64_t now_ms = standin_now_ms ();
  const char *command = json_string_value (json_object_get (start, "command"));
  task_t *task = g_new0 (task_t, 1);
  task->worker = worker;
  task->task = g_strdup (json_string_value (json_object_get (start, "task")));
  task->job = g_strdup (json_string_value (json_object_get (start, "job")));
  task->generation = integer (start, "generation");
  task->cpu_millis = integer (start, "cpu_millis");
  task->memory_mib = integer (start, "memory_mib");
  task->accelerators = integer (start, "accelerators");
  task->real_cpu_millis
      = from_command (command, "cpu_millis", task->cpu_millis);
  task->real_memory_mib
      = from_command (command, "memory_mib", task->memory_mib);
  task->exit = (int)from_command (command, "exit", 0);
  int64_t run_ms = from_command (command, "run_ms", integer (start, "run_ms"));
  if (worker->fault.mode == MODE_FAIL)
    {
      run_ms = FAIL_AFTER_MS;
      task->exit = 1;
    }
  task->started_ms = now_ms;
  task->ends_ms = run_ms > 0 ? now_ms + run_ms : INT64_MAX;
  task->stops_ms = INT64_MAX;
  task->lease_until_ms = now_ms + lease_ms;
  return task;
}

/* Looks for what must never be: an old generation, or the task still running
   somewhere.  */
static void
check_start (const task_t *task)
{
  if (task->generation <= highest (over, task->task))
    standin_violation (
        "stopped_generation", "%s generation %lld accepted by %s, over: %lld",
        task->task, (long long)task->generation, task->worker->instance->id,
        (long long)highest (over, task->task));
  task_t *before = g_hash_table_lookup (latest, task->task);
  if (before == NULL)
    return;
  update (before->worker);
  if (before->state == TASK_RUNNING)
    standin_violation (
        "two_places", "%s generation %lld on %s and %lld on %s", task->task,
        (long long)before->generation, before->worker->instance->id,
        (long long)task->generation, task->worker->instance->id);
}

static const char *
start_one (standin_worker_t *worker, json_t *start, int64_t lease_ms)
{
  const char *id = json_string_value (json_object_get (start, "task"));
  int64_t generation = integer (start, "generation");
  if (id == NULL || generation <= 0)
    return "failed";
  g_autofree char *key
      = g_strdup_printf ("%s#%lld", id, (long long)generation);
  task_t *same = g_hash_table_lookup (worker->held, key);
  if (same != NULL && same->state == TASK_RUNNING)
    return "running";
  if (generation <= highest (worker->refused, id))
    {
      standin_count ("stale_refused", 1);
      return "stale";
    }
  if (worker->fault.mode == MODE_REFUSE)
    {
      raise_to (worker->refused, id, generation);
      raise_to (over, id, generation);
      standin_count ("failed", 1);
      return "failed";
    }
  task_t *task = parse_task (worker, start, lease_ms);
  if (!fits (worker, task))
    {
      standin_violation ("worker_overcommitted", "%s given %s generation %lld",
                         worker->instance->id, id, (long long)generation);
      raise_to (worker->refused, id, generation);
      raise_to (over, id, generation);
      standin_count ("no_capacity", 1);
      free_task (task);
      return "no_capacity";
    }
  check_start (task);
  standin_count ("started", 1);
  note (worker, id, generation, "started");
  g_hash_table_insert (latest, g_strdup (id), task);
  g_hash_table_insert (worker->held, g_steal_pointer (&key), task);
  return "running";
}

static void
answer_start (standin_worker_t *worker, standin_request_t *request,
              json_t *body)
{
  bool wrong = integer (body, "incarnation") != worker->instance->incarnation;
  json_t *results = json_array ();
  size_t i;
  json_t *start;
  json_array_foreach (json_object_get (body, "starts"), i, start)
  {
    const char *result
        = wrong ? "wrong_incarnation"
                : start_one (worker, start, integer (body, "lease_ms"));
    standin_count ("wrong_incarnation", wrong);
    json_array_append_new (results, json_pack ("{s:O?, s:s}", "task",
                                               json_object_get (start, "task"),
                                               "result", result));
  }
  standin_answer (request, 200, json_pack ("{s:o}", "results", results));
}

static json_t *
task_json (const task_t *task)
{
  int64_t ran_ms = standin_now_ms () - task->started_ms;
  int64_t cpu = task->real_cpu_millis;
  if (task->cpu_limit_millis > 0)
    cpu = MIN (cpu, task->cpu_limit_millis);
  bool known = ran_ms >= standin_options.usage_lag_ms;
  return json_pack (
      "{s:s, s:I, s:s, s:i, s:I, s:I, s:I}", "task", task->task, "generation",
      (json_int_t)task->generation, "state", state_names[task->state], "exit",
      task->state == TASK_RUNNING ? 0 : task->exit, "cpu_millis",
      (json_int_t)(known ? cpu : 0), "memory_mib",
      (json_int_t)(known ? task->real_memory_mib : 0), "usage_age_ms",
      (json_int_t)(known ? standin_options.usage_lag_ms : UNKNOWN_AGE_MS));
}

static void
acknowledge (standin_worker_t *worker, json_t *list)
{
  size_t i;
  json_t *one;
  json_array_foreach (list, i, one)
  {
    g_autofree char *key = g_strdup_printf (
        "%s#%lld", json_string_value (json_object_get (one, "task")),
        (long long)integer (one, "generation"));
    task_t *task = g_hash_table_lookup (worker->held, key);
    if (task != NULL && task->state != TASK_RUNNING)
      g_hash_table_remove (worker->held, key);
  }
}

static void
answer_lease (standin_worker_t *worker, standin_request_t *request,
              json_t *body)
{
  json_t *tasks = json_array ();
  standin_count ("leases", 1);
  if (integer (body, "incarnation") == worker->instance->incarnation)
    {
      acknowledge (worker, json_object_get (body, "ack"));
      int64_t until_ms = standin_now_ms () + integer (body, "lease_ms");
      GHashTableIter iter;
      task_t *task;
      g_hash_table_iter_init (&iter, worker->held);
      while (g_hash_table_iter_next (&iter, NULL, (void **)&task))
        {
          task->lease_until_ms = MAX (task->lease_until_ms, until_ms);
          json_array_append_new (tasks, task_json (task));
        }
    }
  standin_answer (request, 200,
                  json_pack ("{s:I, s:o}", "incarnation",
                             (json_int_t)worker->instance->incarnation,
                             "tasks", tasks));
}

static const char *
stop_one (standin_worker_t *worker, const char *id, int64_t generation,
          const char *mode)
{
  g_autofree char *key
      = g_strdup_printf ("%s#%lld", id, (long long)generation);
  task_t *task = g_hash_table_lookup (worker->held, key);
  standin_count ("stops", 1);
  if (task == NULL)
    {
      raise_to (worker->refused, id, generation);
      raise_to (over, id, generation);
      return "unknown";
    }
  if (task->state == TASK_RUNNING && standin_options.stop_ms > 0
      && (mode == NULL || strcmp (mode, "now") != 0))
    {
      if (task->stops_ms == INT64_MAX)
        task->stops_ms = standin_now_ms () + standin_options.stop_ms;
      return "stopping";
    }
  if (task->state == TASK_RUNNING)
    finish (task, TASK_STOPPED, 0);
  return task->state == TASK_STOPPED ? "stopped" : "ended";
}

/* A stop for another incarnation answers "unknown" too: nothing of that one
   runs any more.  */
static void
answer_stop (standin_worker_t *worker, standin_request_t *request,
             json_t *body)
{
  json_t *results = json_array ();
  size_t i;
  json_t *stop;
  json_array_foreach (json_object_get (body, "stops"), i, stop)
  {
    const char *id = json_string_value (json_object_get (stop, "task"));
    if (id == NULL)
      continue;
    const char *result
        = stop_one (worker, id, integer (stop, "generation"),
                    json_string_value (json_object_get (stop, "mode")));
    json_array_append_new (
        results, json_pack ("{s:s, s:s}", "task", id, "result", result));
  }
  standin_answer (request, 200, json_pack ("{s:o}", "results", results));
}

static void
answer_throttle (standin_worker_t *worker, standin_request_t *request,
                 json_t *body)
{
  const char *id = json_string_value (json_object_get (body, "task"));
  g_autofree char *key = g_strdup_printf (
      "%s#%lld", id, (long long)integer (body, "generation"));
  task_t *task = g_hash_table_lookup (worker->held, key);
  if (task == NULL || task->state != TASK_RUNNING)
    {
      standin_error (request, 404, "not_found", "task is not running here");
      return;
    }
  task->cpu_limit_millis = integer (body, "cpu_millis");
  standin_answer (request, 200, json_object ());
}

void
standin_worker (standin_request_t *request, const char *path)
{
  const char *slash = strchr (path, '/');
  g_autofree char *id = slash ? g_strndup (path, (gsize)(slash - path)) : NULL;
  standin_instance_t *instance = standin_find (id);
  if (slash == NULL || instance == NULL || instance->worker == NULL)
    {
      standin_error (request, 404, "not_found", path);
      return;
    }
  standin_worker_t *worker = instance->worker;
  update (worker);
  if (worker->fault.mode == MODE_DOWN)
    request->close = true;
  else if (worker->fault.mode == MODE_HANG)
    request->delay_ms = STANDIN_NEVER;
  if (request->close || request->delay_ms != 0)
    return;
  if (worker->fault.mode == MODE_SLOW)
    request->delay_ms = worker->fault.delay_ms;
  static const struct
  {
    const char *name;
    void (*answer) (standin_worker_t *, standin_request_t *, json_t *);
  } calls[] = { { "/start", answer_start },
                { "/lease", answer_lease },
                { "/stop", answer_stop },
                { "/throttle", answer_throttle } };
  standin_error (request, 404, "not_found", path);
  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    if (strcmp (slash, calls[i].name) == 0)
      {
        json_t *body = standin_body (request);
        if (body != NULL)
          calls[i].answer (worker, request, body);
        json_decref (body);
      }
}

static void
forget_all (standin_worker_t *worker)
{
  GHashTableIter iter;
  task_t *task;
  update (worker);
  g_hash_table_iter_init (&iter, worker->held);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&task))
    if (task->state == TASK_RUNNING)
      finish (task, TASK_STOPPED, 0);
  g_hash_table_remove_all (worker->held);
  g_hash_table_remove_all (worker->refused);
}

/* A dead worker's tasks die with it; a frozen one's run until their lease
   ends.  */
void
standin_worker_mode (standin_instance_t *instance,
                     const standin_fault_t *fault)
{
  instance->worker->fault = *fault;
  if (fault->mode == MODE_DOWN)
    forget_all (instance->worker);
}

void
standin_worker_reboot (standin_instance_t *instance)
{
  forget_all (instance->worker);
  instance->worker->fault = (standin_fault_t){ .mode = MODE_UP };
  standin_set_state (instance, instance->state, instance->incarnation + 1);
}

json_t *
standin_worker_summary (void)
{
  json_t *running = json_object ();
  unsigned total = 0;
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      standin_instance_t *instance = g_ptr_array_index (standin_instances, i);
      if (instance->worker == NULL)
        continue;
      update (instance->worker);
      unsigned count = 0;
      GHashTableIter iter;
      task_t *task;
      g_hash_table_iter_init (&iter, instance->worker->held);
      while (g_hash_table_iter_next (&iter, NULL, (void **)&task))
        count += task->state == TASK_RUNNING;
      if (count > 0)
        json_object_set_new (running, instance->id, json_integer (count));
      total += count;
    }
  return json_pack ("{s:i, s:o}", "running", (int)total, "running_on",
                    running);
}

json_t *
standin_tasks (void)
{
  json_t *list = json_array ();
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      standin_instance_t *instance = g_ptr_array_index (standin_instances, i);
      if (instance->worker != NULL)
        update (instance->worker);
    }
  for (unsigned i = 0; i < events->len; i++)
    {
      const event_t *event = &g_array_index (events, event_t, i);
      json_array_append_new (
          list,
          json_pack ("{s:I, s:s, s:s, s:I, s:s}", "at_ms",
                     (json_int_t)event->at_wall_ms, "what", event->what,
                     "task", event->task, "generation",
                     (json_int_t)event->generation, "worker", event->worker));
    }
  return json_pack ("{s:o}", "events", list);
}
