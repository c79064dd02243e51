#include "standin.h"

#include <stdlib.h>
#include <string.h>

#define CPU_OVERCOMMIT_PERCENT 125 /* of a worker's CPU may be declared */
/* Age reported while the usage of a task is not known yet.  */
#define USAGE_UNKNOWN_AGE_MS 3600000
#define FAILING_TASK_RUN_MS 50
#define MAX_EVENTS 200000

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
  int64_t cpu_millis, memory_mib, accelerators; /* as the start declared */
  int64_t used_cpu_millis, used_memory_mib;
  int64_t cpu_limit_millis; /* set by a throttle call; 0: none */
  /* ENDS_MS: by itself; STOPS_MS: by a stop call; INT64_MAX: never.  */
  int64_t started_ms, ends_ms, stops_ms, lease_until_ms;
  task_state_t state;
  int exit_status; /* also of a running task: the one it will end with */
  standin_worker_t *worker;
} task_t;

struct standin_worker
{
  standin_instance_t *instance;
  standin_fault_t fault;
  GHashTable *tasks; /* "TASK#GENERATION" -> task_t, until acknowledged */
  GHashTable *stale_generations; /* task -> highest generation whose start
                                    is refused as "stale" */
};

static GHashTable *last_started; /* task -> its latest task_t on any worker */
static GHashTable *ended_generations; /* task -> highest generation that no
                                         worker may run any more */
static GArray *events; /* event_t, for standin_task_events_json */

typedef struct
{
  char *task, *worker;
  int64_t generation, at_wall_ms;
  const char *what; /* "started", or the state at the end */
} event_t;

static void
free_task (void *pointer)
{
  task_t *task = pointer;
  if (g_hash_table_lookup (last_started, task->task) == task)
    g_hash_table_remove (last_started, task->task);
  g_free (task->task);
  g_free (task->job);
  g_free (task);
}

void
standin_worker_init (standin_instance_t *instance)
{
  if (last_started == NULL)
    {
      last_started
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      ended_generations
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
      events = g_array_new (FALSE, FALSE, sizeof (event_t));
    }
  standin_worker_t *worker = g_new0 (standin_worker_t, 1);
  worker->instance = instance;
  worker->tasks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_task);
  worker->stale_generations
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  instance->worker = worker;
}

static void
record_event (const standin_worker_t *worker, const char *task,
              int64_t generation, const char *what)
{
  event_t event = { g_strdup (task), g_strdup (worker->instance->id),
                    generation, g_get_real_time () / 1000, what };
  if (events->len < MAX_EVENTS)
    g_array_append_val (events, event);
}

static int64_t
highest_generation (GHashTable *table, const char *task)
{
  const int64_t *value = g_hash_table_lookup (table, task);
  return value != NULL ? *value : 0;
}

static void
raise_generation (GHashTable *table, const char *task, int64_t generation)
{
  if (highest_generation (table, task) < generation)
    g_hash_table_insert (table, g_strdup (task),
                         g_memdup2 (&generation, sizeof generation));
}

static void
end_task (task_t *task, task_state_t state, int exit)
{
  task->state = state;
  task->exit_status = exit;
  raise_generation (task->worker->stale_generations, task->task,
                    task->generation);
  raise_generation (ended_generations, task->task, task->generation);
  standin_add_to_counter (state_names[state], 1);
  record_event (task->worker, task->task, task->generation,
                state_names[state]);
}

/* Ends the tasks whose end, stop or lease is due.  */
static void
end_due_tasks (standin_worker_t *worker)
{
  int64_t now_ms = standin_now_ms ();
  GHashTableIter iter;
  task_t *task;
  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&task))
    {
      if (task->state != TASK_RUNNING)
        continue;
      int64_t due_ms = MIN (task->ends_ms, task->stops_ms);
      if (task->lease_until_ms <= now_ms && task->lease_until_ms < due_ms)
        {
          standin_add_to_counter ("lease_expired", 1);
          end_task (task, TASK_STOPPED, 0);
        }
      else if (due_ms > now_ms)
        continue;
      else if (task->stops_ms < task->ends_ms)
        end_task (task, TASK_STOPPED, 0);
      else
        end_task (task, task->exit_status == 0 ? TASK_ENDED : TASK_FAILED,
                  task->exit_status);
    }
}

static int64_t
get_integer (json_t *object, const char *name)
{
  return json_integer_value (json_object_get (object, name));
}

/* Reads NAME=NUMBER out of a task's command, which tells what the simulated
   task really does: run_ms, exit, memory_mib, cpu_millis.  */
static int64_t
command_number (const char *command, const char *name, int64_t fallback)
{
  g_autofree char *wanted = g_strconcat (name, "=", NULL);
  const char *found = command ? strstr (command, wanted) : NULL;
  return found ? g_ascii_strtoll (found + strlen (wanted), NULL, 10)
               : fallback;
}

static bool
fits (standin_worker_t *worker, const task_t *next)
{
  int64_t cpu = next->cpu_millis, memory = next->memory_mib,
          accelerators = next->accelerators;
  GHashTableIter iter;
  task_t *task;
  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&task))
    if (task->state == TASK_RUNNING)
      {
        cpu += task->cpu_millis;
        memory += task->memory_mib;
        accelerators += task->accelerators;
      }
  const standin_instance_t *capacity = worker->instance;
  return cpu * 100 <= capacity->cpu_millis * CPU_OVERCOMMIT_PERCENT
         && memory <= capacity->memory_mib
         && accelerators <= capacity->accelerators;
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
  task->generation = get_integer (start, "generation");
  task->cpu_millis = get_integer (start, "cpu_millis");
  task->memory_mib = get_integer (start, "memory_mib");
  task->accelerators = get_integer (start, "accelerators");
  task->used_cpu_millis
      = command_number (command, "cpu_millis", task->cpu_millis);
  task->used_memory_mib
      = command_number (command, "memory_mib", task->memory_mib);
  task->exit_status = (int)command_number (command, "exit", 0);
  int64_t run_ms
      = command_number (command, "run_ms", get_integer (start, "run_ms"));
  if (worker->fault.mode == MODE_FAIL)
    {
      run_ms = FAILING_TASK_RUN_MS;
      task->exit_status = 1;
    }
  task->started_ms = now_ms;
  task->ends_ms = run_ms > 0 ? now_ms + run_ms : INT64_MAX;
  task->stops_ms = INT64_MAX;
  task->lease_until_ms = now_ms + lease_ms;
  return task;
}

/* Counts a violation if the generation of TASK, which is about to start, has
   already ended, or if an earlier one still runs.  */
static void
check_start (const task_t *task)
{
  if (task->generation <= highest_generation (ended_generations, task->task))
    standin_violation (
        "stopped_generation",
        "%s generation %lld accepted by %s, highest ended generation: %lld",
        task->task, (long long)task->generation, task->worker->instance->id,
        (long long)highest_generation (ended_generations, task->task));
  task_t *previous = g_hash_table_lookup (last_started, task->task);
  if (previous == NULL)
    return;
  end_due_tasks (previous->worker);
  if (previous->state == TASK_RUNNING)
    standin_violation (
        "two_places", "%s generation %lld on %s and %lld on %s", task->task,
        (long long)previous->generation, previous->worker->instance->id,
        (long long)task->generation, task->worker->instance->id);
}

static const char *
start_one (standin_worker_t *worker, json_t *start, int64_t lease_ms)
{
  const char *id = json_string_value (json_object_get (start, "task"));
  int64_t generation = get_integer (start, "generation");
  if (id == NULL || generation <= 0)
    return "failed";
  g_autofree char *key
      = g_strdup_printf ("%s#%lld", id, (long long)generation);
  task_t *existing = g_hash_table_lookup (worker->tasks, key);
  if (existing != NULL && existing->state == TASK_RUNNING)
    return "running";
  if (generation <= highest_generation (worker->stale_generations, id))
    {
      standin_add_to_counter ("stale_refused", 1);
      return "stale";
    }
  if (worker->fault.mode == MODE_REFUSE)
    {
      raise_generation (worker->stale_generations, id, generation);
      raise_generation (ended_generations, id, generation);
      standin_add_to_counter ("failed", 1);
      return "failed";
    }
  task_t *task = parse_task (worker, start, lease_ms);
  if (!fits (worker, task))
    {
      standin_violation ("worker_overcommitted", "%s given %s generation %lld",
                         worker->instance->id, id, (long long)generation);
      raise_generation (worker->stale_generations, id, generation);
      raise_generation (ended_generations, id, generation);
      standin_add_to_counter ("no_capacity", 1);
      free_task (task);
      return "no_capacity";
    }
  check_start (task);
  standin_add_to_counter ("started", 1);
  record_event (worker, id, generation, "started");
  g_hash_table_insert (last_started, g_strdup (id), task);
  g_hash_table_insert (worker->tasks, g_steal_pointer (&key), task);
  return "running";
}

static void
answer_start (standin_worker_t *worker, standin_request_t *request,
              json_t *body)
{
  bool wrong_incarnation
      = get_integer (body, "incarnation") != worker->instance->incarnation;
  json_t *results = json_array ();
  size_t i;
  json_t *start;
  json_array_foreach (json_object_get (body, "starts"), i, start)
  {
    const char *result
        = wrong_incarnation
              ? "wrong_incarnation"
              : start_one (worker, start, get_integer (body, "lease_ms"));
    standin_add_to_counter ("wrong_incarnation", wrong_incarnation);
    json_array_append_new (results, json_pack ("{s:O?, s:s}", "task",
                                               json_object_get (start, "task"),
                                               "result", result));
  }
  standin_answer_json (request, 200, json_pack ("{s:o}", "results", results));
}

static json_t *
task_json (const task_t *task)
{
  int64_t ran_ms = standin_now_ms () - task->started_ms;
  int64_t cpu = task->used_cpu_millis;
  if (task->cpu_limit_millis > 0)
    cpu = MIN (cpu, task->cpu_limit_millis);
  bool usage_known = ran_ms >= standin_options.usage_lag_ms;
  return json_pack (
      "{s:s, s:I, s:s, s:i, s:I, s:I, s:I}", "task", task->task, "generation",
      (json_int_t)task->generation, "state", state_names[task->state], "exit",
      task->state == TASK_RUNNING ? 0 : task->exit_status, "cpu_millis",
      (json_int_t)(usage_known ? cpu : 0), "memory_mib",
      (json_int_t)(usage_known ? task->used_memory_mib : 0), "usage_age_ms",
      (json_int_t)(usage_known ? standin_options.usage_lag_ms
                               : USAGE_UNKNOWN_AGE_MS));
}

static void
acknowledge (standin_worker_t *worker, json_t *list)
{
  size_t i;
  json_t *item;
  json_array_foreach (list, i, item)
  {
    g_autofree char *key = g_strdup_printf (
        "%s#%lld", json_string_value (json_object_get (item, "task")),
        (long long)get_integer (item, "generation"));
    task_t *task = g_hash_table_lookup (worker->tasks, key);
    if (task != NULL && task->state != TASK_RUNNING)
      g_hash_table_remove (worker->tasks, key);
  }
}

static void
answer_lease (standin_worker_t *worker, standin_request_t *request,
              json_t *body)
{
  json_t *tasks = json_array ();
  standin_add_to_counter ("leases", 1);
  if (get_integer (body, "incarnation") == worker->instance->incarnation)
    {
      acknowledge (worker, json_object_get (body, "ack"));
      int64_t until_ms = standin_now_ms () + get_integer (body, "lease_ms");
      GHashTableIter iter;
      task_t *task;
      g_hash_table_iter_init (&iter, worker->tasks);
      while (g_hash_table_iter_next (&iter, NULL, (void **)&task))
        {
          task->lease_until_ms = MAX (task->lease_until_ms, until_ms);
          json_array_append_new (tasks, task_json (task));
        }
    }
  standin_answer_json (request, 200,
                       json_pack ("{s:I, s:o}", "incarnation",
                                  (json_int_t)worker->instance->incarnation,
                                  "tasks", tasks));
}

/* If the worker does not have the task, it refuses to start it at GENERATION
   or below from now on.  */
static const char *
stop_one (standin_worker_t *worker, const char *id, int64_t generation,
          const char *mode)
{
  g_autofree char *key
      = g_strdup_printf ("%s#%lld", id, (long long)generation);
  task_t *task = g_hash_table_lookup (worker->tasks, key);
  standin_add_to_counter ("stops", 1);
  if (task == NULL)
    {
      raise_generation (worker->stale_generations, id, generation);
      raise_generation (ended_generations, id, generation);
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
    end_task (task, TASK_STOPPED, 0);
  return task->state == TASK_STOPPED ? "stopped" : "ended";
}

/* The incarnation of a stop is not checked: a reboot ends all tasks, so a stop
   for an earlier incarnation finds no task and answers "unknown".  */
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
        = stop_one (worker, id, get_integer (stop, "generation"),
                    json_string_value (json_object_get (stop, "mode")));
    json_array_append_new (
        results, json_pack ("{s:s, s:s}", "task", id, "result", result));
  }
  standin_answer_json (request, 200, json_pack ("{s:o}", "results", results));
}

static void
answer_throttle (standin_worker_t *worker, standin_request_t *request,
                 json_t *body)
{
  const char *id = json_string_value (json_object_get (body, "task"));
  g_autofree char *key = g_strdup_printf (
      "%s#%lld", id, (long long)get_integer (body, "generation"));
  task_t *task = g_hash_table_lookup (worker->tasks, key);
  if (task == NULL || task->state != TASK_RUNNING)
    {
      standin_answer_error (request, 404, "not_found",
                            "task is not running here");
      return;
    }
  task->cpu_limit_millis = get_integer (body, "cpu_millis");
  standin_answer_json (request, 200, json_object ());
}

void
standin_handle_worker (standin_request_t *request, const char *path)
{
  const char *slash = strchr (path, '/');
  g_autofree char *id = slash ? g_strndup (path, (gsize)(slash - path)) : NULL;
  standin_instance_t *instance = standin_find_instance (id);
  if (slash == NULL || instance == NULL || instance->worker == NULL)
    {
      standin_answer_error (request, 404, "not_found", path);
      return;
    }
  standin_worker_t *worker = instance->worker;
  end_due_tasks (worker);
  if (worker->fault.mode == MODE_DOWN)
    request->close_unanswered = true;
  else if (worker->fault.mode == MODE_HANG)
    request->delay_ms = STANDIN_NEVER;
  if (request->close_unanswered || request->delay_ms != 0)
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
  standin_answer_error (request, 404, "not_found", path);
  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    if (strcmp (slash, calls[i].name) == 0)
      {
        json_t *body = standin_parse_body (request);
        if (body != NULL)
          calls[i].answer (worker, request, body);
        json_decref (body);
      }
}

static void
end_all_tasks (standin_worker_t *worker)
{
  GHashTableIter iter;
  task_t *task;
  end_due_tasks (worker);
  g_hash_table_iter_init (&iter, worker->tasks);
  while (g_hash_table_iter_next (&iter, NULL, (void **)&task))
    if (task->state == TASK_RUNNING)
      end_task (task, TASK_STOPPED, 0);
  g_hash_table_remove_all (worker->tasks);
  g_hash_table_remove_all (worker->stale_generations);
}

/* The tasks of a worker that is down end at once; those of one that hangs run
   until their leases expire.  */
void
standin_worker_set_fault (standin_instance_t *instance,
                          const standin_fault_t *fault)
{
  instance->worker->fault = *fault;
  if (fault->mode == MODE_DOWN)
    end_all_tasks (instance->worker);
}

void
standin_worker_reboot (standin_instance_t *instance)
{
  end_all_tasks (instance->worker);
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
      end_due_tasks (instance->worker);
      unsigned count = 0;
      GHashTableIter iter;
      task_t *task;
      g_hash_table_iter_init (&iter, instance->worker->tasks);
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
standin_task_events_json (void)
{
  json_t *list = json_array ();
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      standin_instance_t *instance = g_ptr_array_index (standin_instances, i);
      if (instance->worker != NULL)
        end_due_tasks (instance->worker);
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
