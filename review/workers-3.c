/* Workers of the platform's stand-in for review/13 and later; linked with
   tests/site_standin.c in place of tests/site_worker.c.  Beyond those they
   run gangs and fail runs as the spec asks, and write what they do to the file
   named by STANDIN_EVENTS.

   A spec is "CPU_MILLIS WORK_MS [gang=N] [fail=R]".  WORK_MS 0 runs until it
   is stopped.  A run numbered up to R ends as failed after WORK_MS, a later
   one as done.  The members of a gang of N work from the moment when all of
   one run are present, and end together; if one ends otherwise, the others
   end as broken.  */

#include "site_standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define LEASE_MS 6000
#define GANG_TIMEOUT_MS 3000
#define STOP_DELAY_MS 50
#define TICKET_VALIDITY_MS 1500
#define HEARTBEAT_S 1.0
#define TICK_S 0.01
#define CPU_MILLIS 16000
#define MEMORY_MB 32000
#define WORKERS_PER_RACK 2
#define MAX_ENDS 500u

typedef struct
{
  char *task;
  uint32_t number;
  int64_t cpu_millis, work_ms;
  uint32_t gang, fails; /* as in the spec */
  int64_t start_ms;
  int64_t work_from_ms; /* 0: waits for the other members */
  int64_t stop_ms;      /* 0: is not being stopped */
} run_t;

typedef struct
{
  uint64_t number;
  char *task;
  uint32_t run;
  const char *how;
} end_t;

typedef struct
{
  httpd_exchange_t *exchange;
  int64_t until_ms;
} waiting_t;

typedef struct
{
  char id[16], address[32], rack[16];
  const char *service;
  httpd_t *server;
  uint32_t sequence;
  int64_t born_ms, clock_from_ms;
  int64_t lease_end_ms, silent_until_ms, drains_since_ms;
  bool down; /* crashed; starts anew when SILENT_UNTIL_MS has passed */
  uint64_t token, last_end;
  GPtrArray *runs, *ends;
  GHashTable *highest; /* task -> highest run stopped or ended */
  GArray *waiting;
} worker_t;

const char *const site_services[SITE_MAX_SERVICES] = { "pool", "pool-2" };

static GPtrArray *workers;
static uint32_t starts;
static FILE *events;

static void
note (const worker_t *worker, const char *what, const char *task, uint32_t run)
{
  if (events == NULL)
    return;
  fprintf (events, "%lld %s %s run=%u worker=%s\n", (long long)site_now_ms (),
           what, task, run, worker->id);
  fflush (events);
}

static void
run_free (void *data)
{
  run_t *run = data;
  g_free (run->task);
  g_free (run);
}

static void
end_free (void *data)
{
  end_t *end = data;
  g_free (end->task);
  g_free (end);
}

static int64_t
clock_of (const worker_t *worker)
{
  return site_now_ms () - worker->clock_from_ms;
}

static bool
is_silent (const worker_t *worker)
{
  return site_now_ms () < worker->silent_until_ms;
}

/* Whether both are members of one run of one gang.  */
static bool
same_gang (const run_t *one, const run_t *other)
{
  size_t length = (size_t)(strrchr (one->task, '.') - one->task) + 1;
  return one->gang > 0 && one->number == other->number
         && strncmp (one->task, other->task, length) == 0;
}

static void
end_run (worker_t *worker, guint index, const char *how)
{
  run_t *run = worker->runs->pdata[index];
  end_t *end = g_new0 (end_t, 1);
  *end = (end_t){ ++worker->last_end, g_strdup (run->task), run->number, how };
  g_ptr_array_add (worker->ends, end);
  g_hash_table_insert (worker->highest, g_strdup (run->task),
                       GUINT_TO_POINTER (run->number));
  note (worker, how, run->task, run->number);
  g_ptr_array_remove_index (worker->runs, index);
}

/* The run at INDEX ends HOW, and the other members of its gang with it.  */
static void
end_with_gang (worker_t *worker, guint index, const char *how)
{
  run_t copy = *(run_t *)worker->runs->pdata[index];
  bool together = strcmp (how, "done") == 0 || strcmp (how, "failed") == 0;
  copy.task = g_strdup (copy.task);
  end_run (worker, index, how);
  for (guint i = 0; copy.gang > 0 && copy.work_from_ms > 0 && i < workers->len;
       i++)
    {
      worker_t *other = workers->pdata[i];
      for (guint j = other->runs->len; j > 0; j--)
        if (same_gang (&copy, other->runs->pdata[j - 1]))
          end_run (other, j - 1, together ? how : "broken");
    }
  g_free (copy.task);
}

/* Returns how RUN ends now, NULL if it goes on.  */
static const char *
end_of (const worker_t *worker, const run_t *run)
{
  int64_t now_ms = site_now_ms ();
  if (now_ms >= worker->lease_end_ms)
    return "lapsed";
  if (run->stop_ms != 0 && now_ms >= run->stop_ms)
    return "stopped";
  if (run->gang > 0 && run->work_from_ms == 0)
    return now_ms >= run->start_ms + GANG_TIMEOUT_MS ? "alone" : NULL;
  if (run->work_ms > 0 && now_ms >= run->work_from_ms + run->work_ms)
    return run->number <= run->fails ? "failed" : "done";
  return NULL;
}

static void
end_due_runs (worker_t *worker)
{
  for (guint i = worker->runs->len; i > 0; i--)
    {
      if (i > worker->runs->len)
        continue;
      const char *how = end_of (worker, worker->runs->pdata[i - 1]);
      if (how != NULL)
        end_with_gang (worker, i - 1, how);
    }
}

/* Lets the gang of RUN work if all its members are present.  */
static void
begin_gang (const run_t *run)
{
  uint32_t present = 0;
  for (int pass = 0; pass < 2; pass++)
    for (guint i = 0; i < workers->len; i++)
      {
        worker_t *worker = workers->pdata[i];
        for (guint j = 0; j < worker->runs->len; j++)
          {
            run_t *member = worker->runs->pdata[j];
            if (!same_gang (run, member))
              continue;
            if (pass == 0)
              present++;
            else if (present >= run->gang)
              member->work_from_ms = site_now_ms ();
          }
      }
}

static json_t *
report_of (const worker_t *worker)
{
  json_t *running = json_array ();
  json_t *ended = json_array ();
  for (guint i = 0; i < worker->runs->len; i++)
    {
      const run_t *run = worker->runs->pdata[i];
      json_array_append_new (running, json_pack ("[s, i, s, i, i]", run->task,
                                                 (int)run->number, "", 50,
                                                 100));
    }
  for (guint i = 0; i < worker->ends->len && i < MAX_ENDS; i++)
    {
      const end_t *end = worker->ends->pdata[i];
      json_array_append_new (
          ended, json_pack ("[I, s, i, s, s]", (json_int_t)end->number,
                            end->task, (int)end->run, end->how, ""));
    }
  return json_pack ("{s:I, s:I, s:o, s:o}", "clock_ms",
                    (json_int_t)clock_of (worker), "born",
                    (json_int_t)worker->born_ms, "running", running, "ended",
                    ended);
}

static void
answer_polls (worker_t *worker)
{
  for (guint i = worker->waiting->len; i > 0; i--)
    {
      waiting_t waiting = g_array_index (worker->waiting, waiting_t, i - 1);
      if (worker->ends->len == 0 && site_now_ms () < waiting.until_ms)
        continue;
      g_array_remove_index_fast (worker->waiting, i - 1);
      site_answer_json (waiting.exchange, 200, report_of (worker));
    }
}

static void
refuse (httpd_exchange_t *exchange, const worker_t *worker, const char *reason)
{
  site_answer_json (exchange, 409,
                    json_pack ("{s:I, s:s}", "clock_ms",
                               (json_int_t)clock_of (worker), "reason",
                               reason));
}

static void
accept_order (httpd_exchange_t *exchange, const worker_t *worker)
{
  site_answer_json (
      exchange, 200,
      json_pack ("{s:I}", "clock_ms", (json_int_t)clock_of (worker)));
}

static bool
accept_token (worker_t *worker, httpd_exchange_t *exchange, const json_t *body)
{
  uint64_t token
      = (uint64_t)json_integer_value (json_object_get (body, "fencing_token"));
  if (token < worker->token)
    {
      refuse (exchange, worker, "fence");
      return false;
    }
  worker->token = token;
  return true;
}

static run_t *
find_run (const worker_t *worker, const char *task)
{
  for (guint i = 0; i < worker->runs->len; i++)
    if (strcmp (((run_t *)worker->runs->pdata[i])->task, task) == 0)
      return worker->runs->pdata[i];
  return NULL;
}

static uint32_t
highest_of (const worker_t *worker, const char *task)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (worker->highest, task));
}

static void
extend_lease (worker_t *worker, const json_t *body)
{
  const json_t *deadline = json_object_get (body, "deadline_ms");
  if (!json_is_integer (deadline))
    return;
  int64_t until_ms = json_integer_value (deadline) + worker->clock_from_ms;
  worker->lease_end_ms
      = MAX (worker->lease_end_ms, MIN (until_ms, site_now_ms () + LEASE_MS));
}

static uint32_t
option_of (const char *spec, const char *name)
{
  const char *at = strstr (spec, name);
  return at != NULL ? (uint32_t)atoi (at + strlen (name)) : 0;
}

static void
start_run (worker_t *worker, const char *task, uint32_t number,
           const char *spec)
{
  char *rest = NULL;
  run_t *run = g_new0 (run_t, 1);
  *run = (run_t){ .task = g_strdup (task),
                  .number = number,
                  .cpu_millis = strtoll (spec, &rest, 10),
                  .gang = option_of (spec, "gang="),
                  .fails = option_of (spec, "fail="),
                  .start_ms = site_now_ms () };
  run->work_ms = strtoll (rest, NULL, 10);
  run->work_from_ms = run->gang > 0 ? 0 : run->start_ms;
  note (worker, "start", task, number);
  for (guint i = 0; i < workers->len; i++)
    if (find_run (workers->pdata[i], task) != NULL)
      site_violation ("%s run %u on %s: runs on %s too", task, number,
                      worker->id, ((worker_t *)workers->pdata[i])->id);
  g_ptr_array_add (worker->runs, run);
  starts++;
  if (run->gang > 0)
    begin_gang (run);
}

/* An order without an answer that is carried out late.  */
typedef struct
{
  worker_t *worker;
  json_t *body;
  bool starts;
  ev_timer timer;
} late_order_t;

static void
carry_out_late (struct ev_loop *loop, ev_timer *watcher, int revents)
{
  late_order_t *late = watcher->data;
  worker_t *worker = late->worker;
  const char *task = json_string_value (json_object_get (late->body, "task"));
  const char *spec = json_string_value (json_object_get (late->body, "spec"));
  const char *ticket
      = json_string_value (json_object_get (late->body, "ticket"));
  uint32_t number
      = (uint32_t)json_integer_value (json_object_get (late->body, "run"));
  uint64_t token = (uint64_t)json_integer_value (
      json_object_get (late->body, "fencing_token"));
  run_t *run = find_run (worker, task);
  end_due_runs (worker);
  if (token < worker->token)
    goto out;
  worker->token = token;
  if (late->starts && (run == NULL || run->number != number)
      && number > highest_of (worker, task)
      && json_integer_value (json_object_get (late->body, "deadline_ms"))
             > clock_of (worker)
      && ticket != NULL && atoll (ticket) >= site_now_ms ())
    {
      note (worker, "late", task, number);
      extend_lease (worker, late->body);
      start_run (worker, task, number, spec);
    }
  else if (!late->starts)
    {
      if (run != NULL && run->number == number && run->stop_ms == 0)
        run->stop_ms = site_now_ms () + STOP_DELAY_MS;
      else if (number > highest_of (worker, task))
        g_hash_table_insert (worker->highest, g_strdup (task),
                             GUINT_TO_POINTER (number));
    }
out:
  json_decref (late->body);
  g_free (late);
}

/* Whether the order BODY gets no answer and is carried out 2 to 12 s later.  */
static bool
is_late (worker_t *worker, json_t *body, bool is_start)
{
  if ((uint32_t)g_random_int_range (0, 1000) >= site_lost_answers_per_1000 ())
    return false;
  late_order_t *late = g_new0 (late_order_t, 1);
  *late = (late_order_t){ .worker = worker, .body = json_incref (body),
                          .starts = is_start };
  ev_timer_init (&late->timer, carry_out_late,
                 g_random_double_range (2.0, 12.0), 0.0);
  late->timer.data = late;
  ev_timer_start (site_loop (), &late->timer);
  return true;
}

static void
on_start (void *context, httpd_exchange_t *exchange,
          const httpd_request_t *request)
{
  worker_t *worker = context;
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  const char *task = json_string_value (json_object_get (body, "task"));
  const char *spec = json_string_value (json_object_get (body, "spec"));
  const char *ticket = json_string_value (json_object_get (body, "ticket"));
  uint32_t number
      = (uint32_t)json_integer_value (json_object_get (body, "run"));
  end_due_runs (worker);
  if (!is_silent (worker) && task != NULL && spec != NULL
      && !is_late (worker, body, true)
      && accept_token (worker, exchange, body))
    {
      const run_t *running = find_run (worker, task);
      if (running != NULL && running->number == number)
        accept_order (exchange, worker);
      else if (number <= highest_of (worker, task))
        refuse (exchange, worker, "old");
      else if (json_integer_value (json_object_get (body, "deadline_ms"))
               <= clock_of (worker))
        refuse (exchange, worker, "late");
      else if (ticket == NULL || atoll (ticket) < site_now_ms ())
        refuse (exchange, worker, "ticket");
      else
        {
          extend_lease (worker, body);
          start_run (worker, task, number, spec);
          accept_order (exchange, worker);
        }
    }
  json_decref (body);
}

static void
on_stop (void *context, httpd_exchange_t *exchange,
         const httpd_request_t *request)
{
  worker_t *worker = context;
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  const char *task = json_string_value (json_object_get (body, "task"));
  uint32_t number
      = (uint32_t)json_integer_value (json_object_get (body, "run"));
  end_due_runs (worker);
  if (!is_silent (worker) && task != NULL && !is_late (worker, body, false)
      && accept_token (worker, exchange, body))
    {
      run_t *run = find_run (worker, task);
      note (worker, "stop_order", task, number);
      if (run != NULL && run->number == number && run->stop_ms == 0)
        run->stop_ms = site_now_ms () + STOP_DELAY_MS;
      else if (number > highest_of (worker, task))
        g_hash_table_insert (worker->highest, g_strdup (task),
                             GUINT_TO_POINTER (number));
      accept_order (exchange, worker);
    }
  json_decref (body);
}

static void
on_poll (void *context, httpd_exchange_t *exchange,
         const httpd_request_t *request)
{
  worker_t *worker = context;
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  end_due_runs (worker);
  if (!is_silent (worker) && accept_token (worker, exchange, body))
    {
      uint64_t seen
          = (uint64_t)json_integer_value (json_object_get (body, "last_seen"));
      waiting_t waiting
          = { exchange,
              site_now_ms ()
                  + json_integer_value (json_object_get (body, "wait_ms")) };
      extend_lease (worker, body);
      while (worker->ends->len > 0
             && ((end_t *)worker->ends->pdata[0])->number <= seen)
        {
          const end_t *end = worker->ends->pdata[0];
          note (worker, "noted", end->task, end->run);
          g_ptr_array_remove_index (worker->ends, 0);
        }
      g_array_append_val (worker->waiting, waiting);
      answer_polls (worker);
    }
  json_decref (body);
}

static const httpd_route_t routes[] = {
  { "POST", "/api/run-start", on_start },
  { "POST", "/api/run-stop", on_stop },
  { "POST", "/api/hold", on_poll },
  { NULL, NULL, NULL },
};

static void
write_row (worker_t *worker)
{
  json_t *row = json_pack (
      "{s:s, s:s, s:s, s:{s:i, s:i, s:i}, s:[s, s], s:s, s:I, s:i, s:s, s:s, "
      "s:i, s:i}",
      "service", worker->service, "address", worker->address, "state",
      worker->drains_since_ms != 0 ? "draining" : "ready", "capacity", "cpu",
      CPU_MILLIS, "mem_mb", MEMORY_MB, "gpu", 0, "labels", "a", worker->rack,
      "machine", worker->id, "born", (json_int_t)worker->born_ms, "sequence",
      (int)++worker->sequence, "zone", "z", "version", "v1", "slots", 8,
      "cold_remaining_ms", 0);
  site_put_row ("servers", worker->id, row);
}

static void
begin_life (worker_t *worker)
{
  struct timespec wall;
  clock_gettime (CLOCK_REALTIME, &wall);
  worker->clock_from_ms = site_now_ms ();
  worker->born_ms = wall.tv_sec * INT64_C (1000) + wall.tv_nsec / 1000000;
  worker->lease_end_ms = 0;
  worker->token = worker->last_end = 0;
  g_ptr_array_set_size (worker->runs, 0);
  g_ptr_array_set_size (worker->ends, 0);
  g_hash_table_remove_all (worker->highest);
}

static void
come_back (worker_t *worker)
{
  worker->down = false;
  begin_life (worker);
  note (worker, "back", "-", 0);
  write_row (worker);
}

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int revents)
{
  for (guint i = 0; i < workers->len; i++)
    {
      worker_t *worker = workers->pdata[i];
      if (worker->down && !is_silent (worker))
        come_back (worker);
      end_due_runs (worker);
    }
  for (guint i = 0; i < workers->len; i++)
    if (!is_silent (workers->pdata[i]))
      answer_polls (workers->pdata[i]);
}

static void
on_heartbeat (struct ev_loop *loop, ev_timer *watcher, int revents)
{
  for (guint i = 0; i < workers->len; i++)
    if (!((worker_t *)workers->pdata[i])->down)
      write_row (workers->pdata[i]);
}

bool
site_workers_start (uint32_t count, uint32_t services, uint16_t first_port,
                    GError **error)
{
  static ev_timer tick;
  static ev_timer heartbeat;
  const char *path = getenv ("STANDIN_EVENTS");
  events = path != NULL ? fopen (path, "a") : NULL;
  workers = g_ptr_array_new ();
  for (uint32_t i = 0; i < count; i++)
    {
      worker_t *worker = g_new0 (worker_t, 1);
      g_snprintf (worker->id, sizeof worker->id, "i-%u", i);
      g_snprintf (worker->address, sizeof worker->address, "127.0.0.1:%u",
                  first_port + i);
      g_snprintf (worker->rack, sizeof worker->rack, "r1-%u",
                  i / WORKERS_PER_RACK);
      worker->service = site_services[i * services / count];
      worker->runs = g_ptr_array_new_with_free_func (run_free);
      worker->ends = g_ptr_array_new_with_free_func (end_free);
      worker->waiting = g_array_new (FALSE, FALSE, sizeof (waiting_t));
      worker->highest
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      httpd_options_t options = { .listen = worker->address,
                                  .max_connections = 200,
                                  .max_header_bytes = 8192,
                                  .max_body_bytes = 65536 };
      worker->server = httpd_new (site_loop (), &options, error);
      if (worker->server == NULL)
        return false;
      httpd_add_routes (worker->server, routes, worker);
      begin_life (worker);
      write_row (worker);
      g_ptr_array_add (workers, worker);
    }
  ev_timer_init (&tick, on_tick, TICK_S, TICK_S);
  ev_timer_init (&heartbeat, on_heartbeat, HEARTBEAT_S, HEARTBEAT_S);
  ev_timer_start (site_loop (), &tick);
  ev_timer_start (site_loop (), &heartbeat);
  return true;
}

void
site_worker_crash (uint32_t index)
{
  worker_t *worker = workers->pdata[index % workers->len];
  const char *text = getenv ("STANDIN_DOWN_MS");
  note (worker, "crash", "-", 0);
  while (worker->runs->len > 0)
    end_with_gang (worker, worker->runs->len - 1, "crashed");
  worker->down = true;
  worker->silent_until_ms
      = site_now_ms () + (text != NULL ? atoll (text) : 0);
}

void
site_worker_drain (uint32_t index)
{
  worker_t *worker = workers->pdata[index % workers->len];
  worker->drains_since_ms = site_now_ms ();
  write_row (worker);
}

void
site_worker_silence (uint32_t index, int64_t for_ms)
{
  worker_t *worker = workers->pdata[index % workers->len];
  worker->silent_until_ms = site_now_ms () + for_ms;
}

uint32_t
site_starts (void)
{
  return starts;
}

uint32_t
site_running (void)
{
  uint32_t running = 0;
  for (guint i = 0; i < workers->len; i++)
    running += ((worker_t *)workers->pdata[i])->runs->len;
  return running;
}

uint32_t
site_crashes_under (const char *job)
{
  return 0;
}

json_t *
site_advice (const json_t *ids)
{
  char ticket[24];
  const char *text = getenv ("STANDIN_TICKET_MS");
  int64_t ticket_ms = text != NULL ? atoll (text) : TICKET_VALIDITY_MS;
  json_t *good = json_array ();
  g_snprintf (ticket, sizeof ticket, "%lld",
              (long long)site_now_ms () + ticket_ms);
  for (size_t i = 0; i < json_array_size (ids); i++)
    json_array_append_new (
        good, json_pack ("[s, s]", json_string_value (json_array_get (ids, i)),
                         ticket));
  return good;
}
