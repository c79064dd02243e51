/* Stand-in of the users' platform for the cases of the review: the store, the
   workers and a control interface, in one process on one loopback address.

   Usage: standin IP PORT RECORD SERVICE:COUNT:CPU:MEM...

   The store listens on PORT, worker K (from 0, over all services) on
   PORT + 1 + K, each with CPU thousandths of a core and MEM MB.  It follows
   PROTOCOL.md: atomic transactions within one part, the limits of rows and
   calls, ordered feeds; fences, leases, numbered ends and lifetimes of workers.
   A task works as many ms as its spec says, 0: until it is stopped.

   Every start, stop and end is appended to RECORD.  Control calls:
     POST /control/row?key=K         writes the body as row op/K (the operator)
     POST /control/crash?worker=K&down_ms=N   worker K loses all it runs, is
                                     silent for N ms and starts again
     POST /control/late_hold?worker=K&after_ms=N&with_end=0|1  the next hold of
                                     worker K gets no answer and is carried out
                                     N ms later; with_end: at the first moment
                                     from then on when an end is not listed yet
     POST /control/cut?worker=K&for_ms=N&hold_ms=M  worker K is cut off from the
                                     nodes for N ms and runs on; the cut begins
                                     once a hold has waited M ms there
     POST /control/clock?worker=K&ahead_ms=N  the time of day on the machine of
                                     worker K is N ms ahead from now on
     GET /control/job?id=ID          what is known of the runs of a job
     GET /control/used               runs and capacity in use by service
     GET /control/breaks             broken rules that the workers saw  */

#include "httpd.h"

#include <jansson.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define ROW_BYTES 65536
#define NAME_BYTES 200
#define CALL_ENTRIES 100
#define CALL_BYTES (1024 * 1024)
#define READ_ROWS 500
#define MAX_HOLD_MS 6000
#define STOP_MS 50
#define HEARTBEAT_MS 1500
#define SILENT_HEARTBEATS 3
#define MAX_WORKERS 64
#define MAX_WAIT_MS 2000
/* A transaction takes 6 ms, and the store's answer 4 ms.  */
#define TRANSACTION_MS 10
/* A hold that is to be carried out beside an end that is not listed yet waits
   this long for one.  */
#define LATE_CHOICE_MS 1000

typedef struct
{
  char *table, *part, *key, *value;
  int64_t version;
} row_t;

typedef struct
{
  httpd_exchange_t *exchange;
  char *table;
  int64_t after, until_ms;
} feed_t;

typedef struct
{
  httpd_exchange_t *exchange;
  uint16_t status;
  json_t *body;
  int64_t due_ms;
} slow_answer_t;

typedef struct
{
  char *task;
  int64_t run, end_ms, stop_ms;
} run_t;

typedef struct
{
  int64_t number, run;
  char *task;
  const char *how;
  bool listed; /* in a report */
} end_t;

typedef struct
{
  httpd_exchange_t *exchange;
  int64_t until_ms, since_ms;
} hold_t;

typedef struct
{
  char id[24], address[32], rack[16];
  const char *service;
  int64_t cpu, mem;
  httpd_t *server;
  int64_t start_ms;          /* steady time of its start */
  int64_t born_ms, ahead_ms; /* by the clock of its machine */
  int64_t down_until_ms, silent_since_ms, next_beat_ms, sequence;
  bool down, listed;
  int64_t token, lease_end_ms, last_end;
  int64_t late_after_ms; /* of the next hold; 0: it is not late */
  json_t *late_hold;     /* to be carried out at LATE_AT_MS; NULL: none */
  int64_t late_at_ms;
  bool late_needs_end; /* ... and an end is not listed yet */
  uint32_t late_moments;
  int64_t cut_for_ms, cut_hold_ms; /* of a cut that is to begin; 0: none */
  int64_t cut_until_ms;
  GPtrArray *runs, *ends;
  GHashTable *highest; /* task -> highest run that ended or was stopped */
  GArray *holds;
} worker_t;

static struct ev_loop *loop;
static GHashTable *rows; /* "TABLE\nPART\nKEY" -> row_t */
static GPtrArray *history, *feeds;
static GQueue slow_answers = G_QUEUE_INIT; /* slow_answer_t, by DUE_MS */
static int64_t version = 1;
static worker_t workers[MAX_WORKERS];
static int worker_count;
static GHashTable *done; /* tasks with an acknowledged end "done" */
static GHashTable *ends_of; /* "JOB HOW" -> count */
static GHashTable *most;    /* "ID.K.STEP" -> most tasks on one worker */
static GPtrArray *breaks;
static FILE *record_file;

static int64_t
clock_ms (clockid_t id)
{
  struct timespec now;
  clock_gettime (id, &now);
  return now.tv_sec * INT64_C (1000) + now.tv_nsec / 1000000;
}

static int64_t
now_ms (void)
{
  return clock_ms (CLOCK_MONOTONIC);
}

static void note (const char *format, ...) G_GNUC_PRINTF (1, 2);

static void
note (const char *format, ...)
{
  va_list args;
  int64_t wall = clock_ms (CLOCK_REALTIME);
  char *text;
  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  fprintf (record_file, "%lld.%03lld %s\n", (long long)wall / 1000,
           (long long)wall % 1000, text);
  fflush (record_file);
  g_free (text);
}

static void rule_broken (const char *format, ...) G_GNUC_PRINTF (1, 2);

static void
rule_broken (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  char *text = g_strdup_vprintf (format, args);
  va_end (args);
  note ("BROKEN %s", text);
  g_ptr_array_add (breaks, text);
}

static void
answer (httpd_exchange_t *exchange, uint16_t status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  httpd_answer (exchange, status, "application/json", text, strlen (text));
  free (text);
  json_decref (body);
}

static const char *
text_of (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text != NULL ? text : "";
}

static int64_t
integer_of (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

static int64_t
query_number (httpd_exchange_t *exchange, const char *name)
{
  const char *text = httpd_query (exchange, name);
  return text != NULL ? atoll (text) : 0;
}

static const char *
query_text (httpd_exchange_t *exchange, const char *name)
{
  const char *text = httpd_query (exchange, name);
  return text != NULL ? text : "";
}

/* The store.  */

static void
row_free (void *data)
{
  row_t *row = data;
  g_free (row->table);
  g_free (row->part);
  g_free (row->key);
  g_free (row->value);
  g_free (row);
}

static row_t *
row_new (const char *table, const char *part, const char *key,
         const char *value)
{
  row_t *row = g_new0 (row_t, 1);
  *row = (row_t){ g_strdup (table), g_strdup (part), g_strdup (key),
                  g_strdup (value), version };
  return row;
}

static json_t *
row_json (const row_t *row)
{
  json_t *object
      = json_pack ("{s:s, s:s, s:s, s:I}", "table", row->table, "part",
                   row->part, "key", row->key, "schema_version",
                   (json_int_t)row->version);
  if (row->value != NULL)
    json_object_set_new (object, "value", json_string (row->value));
  else
    json_object_set_new (object, "deleted", json_true ());
  return object;
}

static json_t *
rows_reply (json_t *list, bool more)
{
  return json_pack ("{s:o, s:b, s:I, s:I}", "rows", list, "has_more", more,
                    "schema_version", (json_int_t)version, "now_ms",
                    (json_int_t)now_ms ());
}

static char *
row_name (const char *table, const char *part, const char *key)
{
  return g_strdup_printf ("%s\n%s\n%s", table, part, key);
}

static void
set_row (const char *table, const char *part, const char *key,
         const char *value)
{
  char *name = row_name (table, part, key);
  if (value != NULL)
    g_hash_table_replace (rows, name, row_new (table, part, key, value));
  else
    {
      g_hash_table_remove (rows, name);
      g_free (name);
    }
  g_ptr_array_add (history, row_new (table, part, key, value));
}

static bool
serve_feed (const feed_t *feed)
{
  json_t *list = json_array ();
  guint from = history->len;
  while (from > 0
         && ((row_t *)history->pdata[from - 1])->version > feed->after)
    from--;
  for (guint i = from; i < history->len; i++)
    if (strcmp (((row_t *)history->pdata[i])->table, feed->table) == 0)
      json_array_append_new (list, row_json (history->pdata[i]));
  if (json_array_size (list) == 0 && now_ms () < feed->until_ms)
    {
      json_decref (list);
      return false;
    }
  answer (feed->exchange, 200, rows_reply (list, false));
  return true;
}

static void
serve_feeds (void)
{
  for (guint i = feeds->len; i > 0; i--)
    {
      feed_t *feed = feeds->pdata[i - 1];
      if (!serve_feed (feed))
        continue;
      g_free (feed->table);
      g_free (feed);
      g_ptr_array_remove_index_fast (feeds, i - 1);
    }
}

/* Why the store refuses ENTRIES of a call; NULL: it does not.  */
static const char *
refusal_of (const json_t *entries, const char *part, bool writes)
{
  for (size_t i = 0; i < json_array_size (entries); i++)
    {
      const json_t *entry = json_array_get (entries, i);
      const char *value = text_of (entry, "value");
      size_t padding = g_str_has_suffix (value, "==")  ? 2
                       : g_str_has_suffix (value, "=") ? 1
                                                       : 0;
      if (strcmp (text_of (entry, "part"), part) != 0)
        return "several parts";
      if (strlen (text_of (entry, "table")) > NAME_BYTES
          || strlen (part) > NAME_BYTES
          || strlen (text_of (entry, "key")) > NAME_BYTES)
        return "name too long";
      if (writes && strlen (value) / 4 * 3 - padding > ROW_BYTES)
        return "row over row_bytes";
    }
  return NULL;
}

static bool
is_foreign (const json_t *entries)
{
  for (size_t i = 0; i < json_array_size (entries); i++)
    {
      const char *table = text_of (json_array_get (entries, i), "table");
      if (strcmp (table, "op") == 0 || strcmp (table, "servers") == 0)
        return true;
    }
  return false;
}

static void
on_tx (void *context, httpd_exchange_t *exchange,
       const httpd_request_t *request)
{
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  const json_t *lists[] = { json_object_get (body, "expect"),
                            json_object_get (body, "writes"),
                            json_object_get (body, "remove") };
  const char *part = NULL;
  const char *refusal = body == NULL ? "not JSON" : NULL;
  size_t entries = 0;
  for (int i = 0; i < 3; i++)
    {
      entries += json_array_size (lists[i]);
      if (part == NULL && json_array_size (lists[i]) > 0)
        part = text_of (json_array_get (lists[i], 0), "part");
    }
  for (int i = 0; i < 3 && refusal == NULL; i++)
    refusal = refusal_of (lists[i], part, i == 1);
  if (entries > CALL_ENTRIES)
    refusal = "too many entries";
  if (request->body_length > CALL_BYTES)
    refusal = "call too long";
  if (refusal != NULL)
    {
      note ("store refuses a transaction: %s (part %s, %zu bytes)", refusal,
            part != NULL ? part : "-", request->body_length);
      answer (exchange, 400, json_pack ("{s:s}", "error", refusal));
      json_decref (body);
      return;
    }
  if (is_foreign (lists[1]) || is_foreign (lists[2]))
    {
      answer (exchange, 403, json_object ());
      json_decref (body);
      return;
    }
  bool met = true;
  json_t *current = json_array ();
  for (size_t i = 0; i < json_array_size (lists[0]); i++)
    {
      const json_t *entry = json_array_get (lists[0], i);
      char *name = row_name (text_of (entry, "table"), part,
                             text_of (entry, "key"));
      const row_t *row = g_hash_table_lookup (rows, name);
      g_free (name);
      met = met
            && (row != NULL ? row->version : 0)
                   == integer_of (entry, "schema_version");
      if (row != NULL)
        json_array_append_new (current, row_json (row));
    }
  if (met)
    {
      json_array_clear (current);
      version++;
      for (int list = 1; list < 3; list++)
        for (size_t i = 0; i < json_array_size (lists[list]); i++)
          {
            const json_t *entry = json_array_get (lists[list], i);
            set_row (text_of (entry, "table"), part, text_of (entry, "key"),
                     list == 1 ? text_of (entry, "value") : NULL);
          }
    }
  slow_answer_t *slow = g_new (slow_answer_t, 1);
  *slow = (slow_answer_t){ exchange, met ? 200 : 412,
                           rows_reply (current, false),
                           now_ms () + TRANSACTION_MS };
  g_queue_push_tail (&slow_answers, slow);
  json_decref (body);
  if (met)
    serve_feeds ();
}

static void
send_slow_answers (void)
{
  slow_answer_t *slow;
  while ((slow = g_queue_peek_head (&slow_answers)) != NULL
         && now_ms () >= slow->due_ms)
    {
      answer (slow->exchange, slow->status, slow->body);
      g_free (g_queue_pop_head (&slow_answers));
    }
}

static gint
compare_rows (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

static void
on_get (void *context, httpd_exchange_t *exchange,
        const httpd_request_t *request)
{
  const char *from = httpd_query (exchange, "from");
  const char *to = httpd_query (exchange, "target");
  int64_t limit = query_number (exchange, "limit");
  if (limit <= 0 || limit > READ_ROWS)
    limit = READ_ROWS;
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, rows);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const row_t *row = value;
      if (strcmp (row->table, query_text (exchange, "table")) == 0
          && strcmp (row->part, query_text (exchange, "part")) == 0
          && (from == NULL || strcmp (row->key, from) >= 0)
          && (to == NULL || strcmp (row->key, to) < 0))
        g_ptr_array_add (found, value);
    }
  g_ptr_array_sort (found, compare_rows);
  json_t *list = json_array ();
  size_t bytes = 0;
  guint taken = 0;
  for (; taken < found->len && taken < limit; taken++)
    {
      bytes += strlen (((row_t *)found->pdata[taken])->value);
      if (taken > 0 && bytes > CALL_BYTES)
        break;
      json_array_append_new (list, row_json (found->pdata[taken]));
    }
  answer (exchange, 200, rows_reply (list, taken < found->len));
  g_ptr_array_unref (found);
}

static void
on_feed (void *context, httpd_exchange_t *exchange,
         const httpd_request_t *request)
{
  feed_t *feed = g_new0 (feed_t, 1);
  *feed = (feed_t){ exchange, g_strdup (query_text (exchange, "table")),
                    query_number (exchange, "after"),
                    now_ms () + query_number (exchange, "wait_ms") };
  g_ptr_array_add (feeds, feed);
  serve_feeds ();
}

/* Writes a row of another writer than the system.  */
static void
put_row (const char *table, const char *key, const char *text)
{
  char *value = text != NULL ? g_base64_encode ((const guchar *)text,
                                                strlen (text))
                             : NULL;
  version++;
  set_row (table, "", key, value);
  g_free (value);
  serve_feeds ();
}

/* The workers.  */

static int64_t
clock_of (const worker_t *worker)
{
  return now_ms () - worker->start_ms;
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

static void
count_end (const char *task, const char *how)
{
  char *key = g_strdup_printf ("%.16s %s", task, how);
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (ends_of, key));
  g_hash_table_replace (ends_of, key, GUINT_TO_POINTER (count + 1));
}

static void
end_run (worker_t *worker, guint at, const char *how)
{
  const run_t *run = worker->runs->pdata[at];
  end_t *end = g_new0 (end_t, 1);
  *end = (end_t){ ++worker->last_end, run->run, g_strdup (run->task), how,
                  false };
  g_ptr_array_add (worker->ends, end);
  g_hash_table_replace (worker->highest, g_strdup (run->task),
                        GINT_TO_POINTER ((gint)run->run));
  note ("end %s run %lld on %s: %s", run->task, (long long)run->run,
        worker->id, how);
  count_end (run->task, how);
  g_ptr_array_remove_index (worker->runs, at);
}

static void
advance_runs (worker_t *worker)
{
  int64_t now = now_ms ();
  bool lapsed = clock_of (worker) >= worker->lease_end_ms;
  for (guint i = worker->runs->len; i > 0; i--)
    {
      const run_t *run = worker->runs->pdata[i - 1];
      if (run->end_ms != 0 && now >= run->end_ms)
        end_run (worker, i - 1, "done");
      else if (run->stop_ms != 0 && now >= run->stop_ms)
        end_run (worker, i - 1, "stopped");
      else if (lapsed)
        end_run (worker, i - 1, "lapsed");
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
      json_array_append_new (running,
                             json_pack ("[s, I, s, i, i]", run->task,
                                        (json_int_t)run->run, "", 100, 0));
    }
  for (guint i = 0; i < worker->ends->len && i < 500; i++)
    {
      end_t *end = worker->ends->pdata[i];
      end->listed = true;
      json_array_append_new (ended,
                             json_pack ("[I, s, I, s, s]",
                                        (json_int_t)end->number, end->task,
                                        (json_int_t)end->run, end->how, ""));
    }
  return json_pack ("{s:I, s:I, s:o, s:o}", "clock_ms",
                    (json_int_t)clock_of (worker), "born",
                    (json_int_t)worker->born_ms, "running", running, "ended",
                    ended);
}

static void
answer_holds (worker_t *worker)
{
  for (guint i = worker->holds->len; i > 0; i--)
    {
      hold_t hold = g_array_index (worker->holds, hold_t, i - 1);
      if (worker->ends->len == 0 && now_ms () < hold.until_ms)
        continue;
      g_array_remove_index_fast (worker->holds, i - 1);
      answer (hold.exchange, 200, report_of (worker));
    }
}

static void
reply_order (httpd_exchange_t *exchange, const worker_t *worker,
             const char *reason)
{
  json_t *body = json_pack ("{s:I, s:I}", "clock_ms",
                            (json_int_t)clock_of (worker), "born",
                            (json_int_t)worker->born_ms);
  if (reason != NULL)
    json_object_set_new (body, "reason", json_string (reason));
  answer (exchange, reason != NULL ? 409 : 200, body);
}

/* Answers a call that is for another lifetime or has a lower fence number.  */
static bool
is_refused (worker_t *worker, httpd_exchange_t *exchange, const json_t *body)
{
  const char *target = httpd_header (exchange, "X-Target-Instance");
  if (target != NULL && strcmp (target, worker->id) != 0)
    {
      answer (exchange, 421, json_object ());
      return true;
    }
  if (integer_of (body, "fencing_token") < worker->token)
    {
      reply_order (exchange, worker, "fence");
      return true;
    }
  worker->token = integer_of (body, "fencing_token");
  return false;
}

static void
extend_lease (worker_t *worker, const json_t *body)
{
  if (json_object_get (body, "deadline_ms") != NULL)
    worker->lease_end_ms
        = MAX (worker->lease_end_ms, MIN (integer_of (body, "deadline_ms"),
                                          clock_of (worker) + MAX_HOLD_MS));
}

static run_t *
find_run (const worker_t *worker, const char *task)
{
  for (guint i = 0; i < worker->runs->len; i++)
    if (strcmp (((run_t *)worker->runs->pdata[i])->task, task) == 0)
      return worker->runs->pdata[i];
  return NULL;
}

/* The step "ID.K.STEP" of TASK (g_free).  */
static char *
step_of (const char *task)
{
  const char *dot = strrchr (task, '.');
  return g_strndup (task, dot != NULL ? (gsize)(dot - task) : strlen (task));
}

static void
check_start (const worker_t *worker, const char *task, int64_t number)
{
  char *step = step_of (task);
  guint here = 0;
  for (int i = 0; i < worker_count; i++)
    if (!workers[i].down && find_run (&workers[i], task) != NULL)
      rule_broken ("TWICE: %s run %lld starts on %s and runs on %s", task,
                   (long long)number, worker->id, workers[i].id);
  if (g_hash_table_contains (done, task))
    rule_broken ("TWICE: %s run %lld starts on %s after it was done", task,
                 (long long)number, worker->id);
  for (guint i = 0; i < worker->runs->len; i++)
    {
      char *other = step_of (((run_t *)worker->runs->pdata[i])->task);
      here += strcmp (other, step) == 0;
      g_free (other);
    }
  if (here + 1 > GPOINTER_TO_UINT (g_hash_table_lookup (most, step)))
    g_hash_table_replace (most, g_strdup (step), GUINT_TO_POINTER (here + 1));
  g_free (step);
}

/* Whether no call reaches WORKER.  */
static bool
is_cut_off (const worker_t *worker)
{
  return worker->down || now_ms () < worker->cut_until_ms;
}

static void
on_start (void *context, httpd_exchange_t *exchange,
          const httpd_request_t *request)
{
  worker_t *worker = context;
  if (is_cut_off (worker))
    return;
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  const char *task = text_of (body, "task");
  int64_t number = integer_of (body, "run");
  advance_runs (worker);
  if (is_refused (worker, exchange, body))
    goto out;
  const run_t *running = find_run (worker, task);
  if (running != NULL && running->run == number)
    reply_order (exchange, worker, NULL);
  else if (running != NULL
           || number <= GPOINTER_TO_INT (
                  g_hash_table_lookup (worker->highest, task)))
    {
      extend_lease (worker, body);
      reply_order (exchange, worker, "old");
    }
  else if (integer_of (body, "deadline_ms") <= clock_of (worker))
    reply_order (exchange, worker, "late");
  else
    {
      run_t *run = g_new0 (run_t, 1);
      int64_t work = atoll (text_of (body, "spec"));
      *run = (run_t){ g_strdup (task), number, work > 0 ? now_ms () + work : 0,
                      0 };
      check_start (worker, task, number);
      note ("start %s run %lld on %s (%s)", task, (long long)number,
            worker->id, worker->service);
      extend_lease (worker, body);
      g_ptr_array_add (worker->runs, run);
      reply_order (exchange, worker, NULL);
    }
out:
  json_decref (body);
}

static void
on_stop (void *context, httpd_exchange_t *exchange,
         const httpd_request_t *request)
{
  worker_t *worker = context;
  if (is_cut_off (worker))
    return;
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  const char *task = text_of (body, "task");
  int64_t number = integer_of (body, "run");
  advance_runs (worker);
  if (!is_refused (worker, exchange, body))
    {
      run_t *run = find_run (worker, task);
      if (run != NULL && run->run <= number)
        run->stop_ms = run->stop_ms != 0 ? run->stop_ms : now_ms () + STOP_MS;
      else if (number
               > GPOINTER_TO_INT (g_hash_table_lookup (worker->highest, task)))
        g_hash_table_replace (worker->highest, g_strdup (task),
                              GINT_TO_POINTER ((gint)number));
      note ("stop %s run %lld on %s", task, (long long)number, worker->id);
      reply_order (exchange, worker, NULL);
    }
  json_decref (body);
}

static void
forget_ends (worker_t *worker, int64_t last_seen)
{
  while (worker->ends->len > 0
         && ((end_t *)worker->ends->pdata[0])->number <= last_seen)
    {
      const end_t *end = worker->ends->pdata[0];
      if (strcmp (end->how, "done") == 0)
        g_hash_table_add (done, g_strdup (end->task));
      g_ptr_array_remove_index (worker->ends, 0);
    }
}

static void
on_hold (void *context, httpd_exchange_t *exchange,
         const httpd_request_t *request)
{
  worker_t *worker = context;
  if (is_cut_off (worker))
    return;
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  advance_runs (worker);
  if (worker->late_after_ms > 0 && integer_of (body, "deadline_ms") > 0)
    {
      note ("hold of %s with last_seen %lld left unanswered, to be carried out "
            "%lld ms later",
            worker->id, (long long)integer_of (body, "last_seen"),
            (long long)worker->late_after_ms);
      worker->late_hold = body;
      worker->late_at_ms = now_ms () + worker->late_after_ms;
      worker->late_after_ms = 0;
      return;
    }
  if (!is_refused (worker, exchange, body))
    {
      extend_lease (worker, body);
      forget_ends (worker, integer_of (body, "last_seen"));
      hold_t hold = { exchange,
                      now_ms ()
                          + MIN (integer_of (body, "wait_ms"), MAX_WAIT_MS),
                      now_ms () };
      g_array_append_val (worker->holds, hold);
      answer_holds (worker);
    }
  json_decref (body);
}

static void
write_entry (worker_t *worker)
{
  json_t *entry = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:s, s:i, s:I, s:{s:I, s:I, s:i}, s:[s, s], "
      "s:s, s:I}",
      "service", worker->service, "address", worker->address, "zone", "a",
      "version", "v1", "slots", 8, "state", "ready", "cold_remaining_ms", 0,
      "sequence", (json_int_t)++worker->sequence, "capacity", "cpu",
      (json_int_t)worker->cpu, "mem_mb", (json_int_t)worker->mem, "gpu", 0,
      "labels", "a", worker->rack, "machine", worker->id, "born",
      (json_int_t)worker->born_ms);
  char *text = json_dumps (entry, JSON_COMPACT);
  put_row ("servers", worker->id, text);
  worker->listed = true;
  worker->next_beat_ms = now_ms () + HEARTBEAT_MS;
  free (text);
  json_decref (entry);
}

static void
start_worker (worker_t *worker)
{
  worker->down = false;
  worker->start_ms = now_ms ();
  worker->born_ms = clock_ms (CLOCK_REALTIME) + worker->ahead_ms;
  worker->token = worker->lease_end_ms = worker->last_end = 0;
  worker->sequence = 0;
  note ("worker %s (%s) starts, born %lld", worker->id, worker->service,
        (long long)worker->born_ms);
  write_entry (worker);
}

static void
crash_worker (worker_t *worker, int64_t down_ms)
{
  note ("worker %s crashes with %u runs, silent for %lld ms", worker->id,
        worker->runs->len, (long long)down_ms);
  g_ptr_array_set_size (worker->runs, 0);
  g_ptr_array_set_size (worker->ends, 0);
  g_hash_table_remove_all (worker->highest);
  g_array_set_size (worker->holds, 0); /* never answered */
  worker->down = true;
  worker->silent_since_ms = now_ms ();
  worker->down_until_ms = now_ms () + down_ms;
}

/* Whether a run has ended of which no report has told yet.  */
static bool
has_unlisted_end (const worker_t *worker)
{
  for (guint i = 0; i < worker->ends->len; i++)
    if (!((const end_t *)worker->ends->pdata[i])->listed)
      return true;
  return false;
}

/* Carries out the late hold of WORKER, if it is time.  */
static void
carry_out_late_hold (worker_t *worker)
{
  if (worker->late_hold == NULL || now_ms () < worker->late_at_ms)
    return;
  worker->late_moments++;
  if (worker->late_needs_end && !has_unlisted_end (worker)
      && now_ms () < worker->late_at_ms + LATE_CHOICE_MS)
    return;
  bool fenced
      = integer_of (worker->late_hold, "fencing_token") < worker->token;
  guint listed = 0;
  guint all = worker->ends->len;
  for (guint i = 0; i < all; i++)
    listed += ((end_t *)worker->ends->pdata[i])->listed;
  if (!fenced)
    {
      extend_lease (worker, worker->late_hold);
      forget_ends (worker, integer_of (worker->late_hold, "last_seen"));
    }
  note ("late hold of %s carried out%s: %lld ends so far, %u of them known, "
        "%u of these listed before, %u known after, at moment %u; lease lasts "
        "%lld ms more",
        worker->id, fenced ? " (refused: fence)" : "",
        (long long)worker->last_end, all, listed, worker->ends->len,
        worker->late_moments,
        (long long)(worker->lease_end_ms - clock_of (worker)));
  json_decref (worker->late_hold);
  worker->late_hold = NULL;
}

/* Cuts WORKER off once a hold has waited long enough there.  */
static void
begin_cut (worker_t *worker)
{
  for (guint i = 0; worker->cut_for_ms > 0 && i < worker->holds->len; i++)
    {
      hold_t hold = g_array_index (worker->holds, hold_t, i);
      if (now_ms () - hold.since_ms < worker->cut_hold_ms)
        continue;
      note ("worker %s is cut off for %lld ms, a hold had waited %lld ms",
            worker->id, (long long)worker->cut_for_ms,
            (long long)(now_ms () - hold.since_ms));
      worker->cut_until_ms = now_ms () + worker->cut_for_ms;
      worker->cut_for_ms = 0;
      g_array_set_size (worker->holds, 0); /* never answered */
    }
}

static void
on_tick (struct ev_loop *unused, ev_timer *timer, int events)
{
  for (int i = 0; i < worker_count; i++)
    {
      worker_t *worker = &workers[i];
      if (worker->down && now_ms () >= worker->down_until_ms)
        start_worker (worker);
      if (worker->down && worker->listed
          && now_ms () - worker->silent_since_ms
                 > SILENT_HEARTBEATS * HEARTBEAT_MS)
        {
          put_row ("servers", worker->id, NULL);
          worker->listed = false;
        }
      if (worker->down)
        continue;
      advance_runs (worker);
      carry_out_late_hold (worker);
      begin_cut (worker);
      answer_holds (worker);
      if (now_ms () >= worker->next_beat_ms)
        write_entry (worker);
    }
  send_slow_answers ();
  serve_feeds ();
}

/* The control interface.  */

static void
on_row (void *context, httpd_exchange_t *exchange,
        const httpd_request_t *request)
{
  put_row ("op", query_text (exchange, "key"), request->body);
  note ("operator writes op/%s: %s", query_text (exchange, "key"),
        request->body);
  answer (exchange, 200, json_object ());
}

static worker_t *
queried_worker (httpd_exchange_t *exchange)
{
  int64_t at = query_number (exchange, "worker");
  return &workers[CLAMP (at, 0, worker_count - 1)];
}

static void
on_crash (void *context, httpd_exchange_t *exchange,
          const httpd_request_t *request)
{
  crash_worker (queried_worker (exchange), query_number (exchange, "down_ms"));
  answer (exchange, 200, json_object ());
}

static void
on_late_hold (void *context, httpd_exchange_t *exchange,
              const httpd_request_t *request)
{
  queried_worker (exchange)->late_after_ms
      = query_number (exchange, "after_ms");
  queried_worker (exchange)->late_needs_end
      = query_number (exchange, "with_end") != 0;
  answer (exchange, 200, json_object ());
}

static void
on_cut (void *context, httpd_exchange_t *exchange,
        const httpd_request_t *request)
{
  worker_t *worker = queried_worker (exchange);
  worker->cut_hold_ms = query_number (exchange, "hold_ms");
  worker->cut_for_ms = query_number (exchange, "for_ms");
  answer (exchange, 200, json_object ());
}

static void
on_clock (void *context, httpd_exchange_t *exchange,
          const httpd_request_t *request)
{
  worker_t *worker = queried_worker (exchange);
  worker->ahead_ms = query_number (exchange, "ahead_ms");
  note ("clock of the machine of %s: %lld ms ahead from now on", worker->id,
        (long long)worker->ahead_ms);
  answer (exchange, 200, json_object ());
}

static int64_t
ends_count (const char *job, const char *how)
{
  char *key = g_strdup_printf ("%s %s", job, how);
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (ends_of, key));
  g_free (key);
  return count;
}

static void
on_job (void *context, httpd_exchange_t *exchange,
        const httpd_request_t *request)
{
  const char *job = query_text (exchange, "id");
  json_t *running = json_array ();
  json_t *widest = json_object ();
  GHashTableIter iterator;
  gpointer step, count;
  for (int i = 0; i < worker_count; i++)
    for (guint j = 0; !workers[i].down && j < workers[i].runs->len; j++)
      {
        const run_t *run = workers[i].runs->pdata[j];
        if (g_str_has_prefix (run->task, job))
          json_array_append_new (running,
                                 json_pack ("[s, I, s, i]", run->task,
                                            (json_int_t)run->run,
                                            workers[i].id, i));
      }
  g_hash_table_iter_init (&iterator, most);
  while (g_hash_table_iter_next (&iterator, &step, &count))
    if (g_str_has_prefix (step, job))
      json_object_set_new (widest, step,
                           json_integer (GPOINTER_TO_UINT (count)));
  answer (exchange, 200,
          json_pack ("{s:I, s:I, s:I, s:o, s:o}", "runs",
                     (json_int_t)json_array_size (running), "done",
                     (json_int_t)ends_count (job, "done"), "failed",
                     (json_int_t)ends_count (job, "failed"),
                     "most_on_one_worker", widest, "running", running));
}

static void
on_used (void *context, httpd_exchange_t *exchange,
         const httpd_request_t *request)
{
  int64_t runs = 0;
  for (int i = 0; i < worker_count; i++)
    runs += workers[i].down ? 0 : workers[i].runs->len;
  answer (exchange, 200, json_pack ("{s:I}", "runs", (json_int_t)runs));
}

static void
on_breaks (void *context, httpd_exchange_t *exchange,
           const httpd_request_t *request)
{
  json_t *list = json_array ();
  for (guint i = 0; i < breaks->len && i < 5; i++)
    json_array_append_new (list, json_string (breaks->pdata[i]));
  answer (exchange, 200,
          json_pack ("{s:I, s:o}", "breaks", (json_int_t)breaks->len, "first",
                     list));
}

static const httpd_route_t platform_routes[]
    = { { "POST", "/api/rows-tx", on_tx },
        { "GET", "/api/rows-get", on_get },
        { "GET", "/api/rows-feed", on_feed },
        { "POST", "/control/row", on_row },
        { "POST", "/control/crash", on_crash },
        { "POST", "/control/clock", on_clock },
        { "POST", "/control/late_hold", on_late_hold },
        { "POST", "/control/cut", on_cut },
        { "GET", "/control/job", on_job },
        { "GET", "/control/used", on_used },
        { "GET", "/control/breaks", on_breaks },
        { NULL, NULL, NULL } };

static const httpd_route_t worker_routes[]
    = { { "POST", "/api/run-start", on_start },
        { "POST", "/api/run-stop", on_stop },
        { "POST", "/api/hold", on_hold },
        { NULL, NULL, NULL } };

static httpd_t *
listen_on (const char *ip, int port)
{
  GError *error = NULL;
  char address[32];
  g_snprintf (address, sizeof address, "%s:%d", ip, port);
  httpd_options_t options = { .listen = address,
                              .max_connections = 1000,
                              .max_header_bytes = 8192,
                              .max_body_bytes = 4 * 1024 * 1024 };
  httpd_t *server = httpd_new (loop, &options, &error);
  if (server == NULL)
    {
      fprintf (stderr, "standin: %s\n", error->message);
      exit (2);
    }
  return server;
}

/* POOL is SERVICE:COUNT:CPU:MEM.  */
static void
add_workers (const char *ip, int port, const char *pool)
{
  char **fields = g_strsplit (pool, ":", 4);
  if (g_strv_length (fields) != 4)
    {
      fprintf (stderr, "standin: %s: expected SERVICE:COUNT:CPU:MEM\n", pool);
      exit (2);
    }
  for (int i = 0; i < atoi (fields[1]) && worker_count < MAX_WORKERS; i++)
    {
      worker_t *worker = &workers[worker_count];
      g_snprintf (worker->id, sizeof worker->id, "i-%010x",
                  0x3a51c000u + (unsigned)worker_count);
      g_snprintf (worker->address, sizeof worker->address, "%s:%d", ip,
                  port + 1 + worker_count);
      g_snprintf (worker->rack, sizeof worker->rack, "r1-%d",
                  worker_count / 4);
      worker->service = g_strdup (fields[0]);
      worker->cpu = atoll (fields[2]);
      worker->mem = atoll (fields[3]);
      worker->runs = g_ptr_array_new_with_free_func (run_free);
      worker->ends = g_ptr_array_new_with_free_func (end_free);
      worker->highest
          = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
      worker->holds = g_array_new (FALSE, FALSE, sizeof (hold_t));
      worker->server = listen_on (ip, port + 1 + worker_count);
      httpd_add_routes (worker->server, worker_routes, worker);
      worker_count++;
      start_worker (worker);
    }
  g_strfreev (fields);
}

static void
on_signal (struct ev_loop *unused, ev_signal *watcher, int events)
{
  ev_break (loop, EVBREAK_ALL);
}

int
main (int argc, char **argv)
{
  static ev_timer tick;
  static ev_signal terminate;
  if (argc < 5)
    {
      fprintf (stderr, "usage: standin IP PORT RECORD SERVICE:COUNT:CPU:MEM"
                       "...\n");
      return 2;
    }
  loop = ev_default_loop (0);
  record_file = fopen (argv[3], "a");
  if (record_file == NULL)
    return 2;
  rows = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  history = g_ptr_array_new ();
  feeds = g_ptr_array_new ();
  breaks = g_ptr_array_new ();
  done = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  ends_of = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  most = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  httpd_add_routes (listen_on (argv[1], atoi (argv[2])), platform_routes,
                    NULL);
  for (int i = 4; i < argc; i++)
    add_workers (argv[1], atoi (argv[2]), argv[i]);
  ev_timer_init (&tick, on_tick, 0.002, 0.002);
  ev_timer_start (loop, &tick);
  ev_signal_init (&terminate, on_signal, SIGTERM);
  ev_signal_start (loop, &terminate);
  ev_run (loop, 0);
  return 0;
}
