#include "site_standin.h"

#include "site_door.h"

#include "options.h"

#include <ev.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TICKET_VALIDITY_MS 1500
#define ADVICE_MS 10
#define FOLLOW_CHECK_S 0.05
#define HISTORY_ROWS 4000
/* The port of the first door, counted from that of the store.  */
#define FIRST_DOOR 301
/* Limits of a transaction.  */
#define MAX_ENTRIES 100u
#define MAX_CALL_BYTES ((size_t)1000 * 1000)

typedef enum
{
  MODE_NORMAL,
  MODE_REFUSING,
  MODE_SILENT
} store_mode_t;

typedef struct
{
  char *table, *part, *key;
  char *value; /* base64; NULL: removed */
  uint64_t version;
} row_t;

typedef struct
{
  httpd_exchange_t *exchange;
  char *table;
  uint64_t after;
  int64_t until_ms;
} follower_t;

static struct
{
  struct ev_loop *loop;
  httpd_t *server;
  GHashTable *rows;   /* "TABLE\nPART\nKEY" -> row_t, owned */
  GPtrArray *history; /* row_t, owned copies */
  GPtrArray *followers;
  uint64_t version;
  store_mode_t mode;
  int64_t mode_until_ms;
  uint32_t lost_commits_per_1000; /* applied and not answered */
  uint32_t lost_answers_per_1000;
  uint32_t violations;
  uint32_t reads,
      inbox_writes; /* calls; of jobs and cancels by their tables */
  size_t row_bytes;
  uint32_t services;
  uint32_t config_version;
  char *route_service;    /* of the first route; NULL: it is dropped */
  uint32_t added_routes;  /* further ones */
  char *quiet_table;      /* calls for its changes are not answered ... */
  int64_t quiet_until_ms; /* ... until then */
  char *refused_job; /* rows of its record over REFUSED_BYTES are refused */
  size_t refused_bytes;
  GRand *random;
} platform;

typedef struct
{
  int64_t port, workers, seed, row_bytes, services, doors;
} settings_t;

static const option_t options[] = {
  { "port", OPTION_INTEGER, offsetof (settings_t, port), "25000", false, 1024,
    60000, NULL, "Port of the store; the workers use the ports above it" },
  { "workers", OPTION_INTEGER, offsetof (settings_t, workers), "8", false, 1,
    1000, NULL, "Number of workers" },
  { "seed", OPTION_INTEGER, offsetof (settings_t, seed), "1", false, 0,
    G_MAXUINT32, NULL, "Seed of the injected faults" },
  { "row-bytes", OPTION_INTEGER, offsetof (settings_t, row_bytes), "65536",
    false, 1, 1 << 20, NULL, "Longest value of a row" },
  { "services", OPTION_INTEGER, offsetof (settings_t, services), "1", false, 1,
    SITE_MAX_SERVICES, NULL, "Services that share the workers" },
  { "doors", OPTION_INTEGER, offsetof (settings_t, doors), "0", false, 0, 90,
    NULL, "Doors to the store, on the ports from 301 above its own" },
  { NULL, 0, 0, NULL, false, 0, 0, NULL, NULL },
};

struct ev_loop *
site_loop (void)
{
  return platform.loop;
}

int64_t
site_now_ms (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * INT64_C (1000) + now.tv_nsec / 1000000;
}

void
site_violation (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fprintf (stderr, "violation: ");
  vfprintf (stderr, format, args);
  fprintf (stderr, "\n");
  va_end (args);
  platform.violations++;
}

uint32_t
site_lost_answers_per_1000 (void)
{
  return platform.lost_answers_per_1000;
}

void
site_answer_json (httpd_exchange_t *exchange, uint16_t status, json_t *body)
{
  char *text = json_dumps (body, JSON_COMPACT);
  httpd_answer (exchange, status, "application/json", text, strlen (text));
  free (text);
  json_decref (body);
}

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
                  g_strdup (value), platform.version };
  return row;
}

static json_t *
row_to_json (const row_t *row)
{
  json_t *object = json_pack ("{s:s, s:s, s:s, s:I}", "table", row->table,
                              "part", row->part, "key", row->key,
                              "schema_version", (json_int_t)row->version);
  if (row->value != NULL)
    json_object_set_new (object, "value", json_string (row->value));
  else
    json_object_set_new (object, "deleted", json_true ());
  return object;
}

static json_t *
reply_new (json_t *rows)
{
  return json_pack ("{s:o, s:b, s:I, s:I}", "rows", rows, "has_more", 0,
                    "schema_version", (json_int_t)platform.version, "now_ms",
                    (json_int_t)site_now_ms ());
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
    g_hash_table_replace (platform.rows, name,
                          row_new (table, part, key, value));
  else
    {
      g_hash_table_remove (platform.rows, name);
      g_free (name);
    }
  g_ptr_array_add (platform.history, row_new (table, part, key, value));
  if (platform.history->len > HISTORY_ROWS)
    g_ptr_array_remove_range (platform.history, 0, HISTORY_ROWS / 4);
}

/* Answers FOLLOWER if there are changes or its wait has ended.  */
static bool
serve_follower (const follower_t *follower)
{
  if (site_now_ms () < platform.quiet_until_ms
      && strcmp (follower->table, platform.quiet_table) == 0)
    return false;
  json_t *rows = json_array ();
  const row_t *oldest
      = platform.history->len > 0 ? platform.history->pdata[0] : NULL;
  if (oldest != NULL && follower->after + 1 < oldest->version
      && platform.history->len >= HISTORY_ROWS / 2)
    {
      json_decref (rows);
      site_answer_json (follower->exchange, 410, json_object ());
      return true;
    }
  for (guint i = 0; i < platform.history->len; i++)
    {
      const row_t *row = platform.history->pdata[i];
      if (row->version > follower->after
          && strcmp (row->table, follower->table) == 0)
        json_array_append_new (rows, row_to_json (row));
    }
  if (json_array_size (rows) == 0 && site_now_ms () < follower->until_ms)
    {
      json_decref (rows);
      return false;
    }
  site_answer_json (follower->exchange, 200, reply_new (rows));
  return true;
}

static void
serve_followers (void)
{
  for (guint i = platform.followers->len; i > 0; i--)
    {
      follower_t *follower = platform.followers->pdata[i - 1];
      if (!serve_follower (follower))
        continue;
      g_free (follower->table);
      g_free (follower);
      g_ptr_array_remove_index_fast (platform.followers, i - 1);
    }
}

static store_mode_t
mode_now (void)
{
  return site_now_ms () < platform.mode_until_ms ? platform.mode : MODE_NORMAL;
}

static bool
chance (uint32_t of_1000)
{
  return (uint32_t)g_rand_int_range (platform.random, 0, 1000) < of_1000;
}

/* Whether the store serves EXCHANGE; if not, refuses it or leaves it without
   an answer.  */
static bool
store_serves (httpd_exchange_t *exchange)
{
  /* Read once: the mode may end between two readings, and an exchange that was
     refused must not be kept as a waiting one.  */
  store_mode_t mode = mode_now ();
  if (mode == MODE_REFUSING)
    site_answer_json (exchange, 503, json_object ());
  return mode == MODE_NORMAL;
}

static const char *
text_of (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text != NULL ? text : "";
}

static const row_t *
row_named (const json_t *object)
{
  char *name = row_name (text_of (object, "table"), text_of (object, "part"),
                         text_of (object, "key"));
  const row_t *row = g_hash_table_lookup (platform.rows, name);
  g_free (name);
  return row;
}

static void
apply_entries (const json_t *entries, bool removes)
{
  for (size_t i = 0; i < json_array_size (entries); i++)
    {
      const json_t *entry = json_array_get (entries, i);
      set_row (text_of (entry, "table"), text_of (entry, "part"),
               text_of (entry, "key"),
               removes ? NULL : text_of (entry, "value"));
    }
}

/* Bytes of a value in base64.  */
static size_t
value_bytes (const char *value)
{
  size_t length = strlen (value);
  size_t padding = g_str_has_suffix (value, "==")  ? 2
                   : g_str_has_suffix (value, "=") ? 1
                                                   : 0;
  return length / 4 * 3 - padding;
}

/* Whether the row ENTRY is over the length that is taken of the job chosen by
   POST /control/refuse.  */
static bool
is_refused_record (const json_t *entry)
{
  return platform.refused_job != NULL
         && strcmp (text_of (entry, "table"), "record") == 0
         && g_str_has_prefix (text_of (entry, "key"), platform.refused_job)
         && value_bytes (text_of (entry, "value")) > platform.refused_bytes;
}

/* Why the store refuses the transaction BODY of LENGTH bytes whenever it is
   sent, NULL if it does not.  A refusal that the test has not asked for is a
   violation.  */
static const char *
refusal_of (const json_t *body, size_t length)
{
  static const char *const lists[] = { "expect", "writes", "remove" };
  const char *part = NULL;
  size_t entries = 0;
  const char *why = length > MAX_CALL_BYTES ? "call too long" : NULL;
  for (size_t l = 0; l < G_N_ELEMENTS (lists); l++)
    {
      const json_t *list = json_object_get (body, lists[l]);
      entries += json_array_size (list);
      for (size_t i = 0; i < json_array_size (list); i++)
        {
          const json_t *entry = json_array_get (list, i);
          if (is_refused_record (entry))
            return "refused as asked";
          if (value_bytes (text_of (entry, "value")) > platform.row_bytes)
            why = "row too long";
          if (part != NULL && strcmp (part, text_of (entry, "part")) != 0)
            why = "several parts";
          part = text_of (entry, "part");
        }
    }
  if (entries > MAX_ENTRIES)
    why = "too many entries";
  if (why != NULL)
    site_violation ("a transaction of part %s is refused: %s",
                    part != NULL ? part : "", why);
  return why;
}

static void
on_commit (void *context, httpd_exchange_t *exchange,
           const httpd_request_t *request)
{
  if (!store_serves (exchange))
    return;
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  const json_t *first = json_array_get (json_object_get (body, "writes"), 0);
  platform.inbox_writes
      += g_str_has_prefix (text_of (first, "table"), "inbox")
         || strcmp (text_of (first, "table"), "tombstone") == 0;
  const char *refusal = refusal_of (body, request->body_length);
  if (refusal != NULL)
    {
      site_answer_json (exchange, 400, json_pack ("{s:s}", "error", refusal));
      json_decref (body);
      return;
    }
  const json_t *expects = json_object_get (body, "expect");
  json_t *current = json_array ();
  bool met = true;
  for (size_t i = 0; i < json_array_size (expects); i++)
    {
      const json_t *expect = json_array_get (expects, i);
      const row_t *row = row_named (expect);
      json_int_t wanted
          = json_integer_value (json_object_get (expect, "schema_version"));
      met = met && (json_int_t)(row != NULL ? row->version : 0) == wanted;
      if (row != NULL)
        json_array_append_new (current, row_to_json (row));
    }
  if (met)
    {
      platform.version++;
      apply_entries (json_object_get (body, "writes"), false);
      apply_entries (json_object_get (body, "remove"), true);
      json_array_clear (current);
    }
  json_decref (body);
  if (chance (platform.lost_commits_per_1000))
    json_decref (current); /* applied, and never answered */
  else
    site_answer_json (exchange, met ? 200 : 412, reply_new (current));
  if (met)
    serve_followers ();
}

static gint
compare_rows (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(row_t *const *)a)->key, (*(row_t *const *)b)->key);
}

/* GET /api/rows-parts, without its pages.  */
static void
on_parts (void *context, httpd_exchange_t *exchange,
          const httpd_request_t *request)
{
  if (!store_serves (exchange))
    return;
  const char *table = httpd_query (exchange, "table");
  const char *after = httpd_query (exchange, "after");
  GHashTable *parts = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, platform.rows);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const row_t *row = value;
      if (g_strcmp0 (row->table, table) == 0
          && (after == NULL || strcmp (row->part, after) > 0))
        g_hash_table_add (parts, row->part);
    }
  json_t *list = json_array ();
  GList *keys
      = g_list_sort (g_hash_table_get_keys (parts), (GCompareFunc)strcmp);
  for (const GList *link = keys; link != NULL; link = link->next)
    json_array_append_new (list, json_string (link->data));
  site_answer_json (exchange, 200, json_pack ("{s:o}", "parts", list));
  g_list_free (keys);
  g_hash_table_unref (parts);
}

static void
on_read (void *context, httpd_exchange_t *exchange,
         const httpd_request_t *request)
{
  if (!store_serves (exchange))
    return;
  platform.reads++;
  const char *table = httpd_query (exchange, "table");
  const char *part = httpd_query (exchange, "part");
  const char *from = httpd_query (exchange, "from");
  const char *to = httpd_query (exchange, "target");
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, platform.rows);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const row_t *row = value;
      if (g_strcmp0 (row->table, table) == 0
          && strcmp (row->part, part != NULL ? part : "") == 0
          && (from == NULL || strcmp (row->key, from) >= 0)
          && (to == NULL || strcmp (row->key, to) < 0))
        g_ptr_array_add (found, value);
    }
  g_ptr_array_sort (found, compare_rows);
  json_t *rows = json_array ();
  for (guint i = 0; i < found->len; i++)
    json_array_append_new (rows, row_to_json (found->pdata[i]));
  site_answer_json (exchange, 200, reply_new (rows));
  g_ptr_array_unref (found);
}

static void
on_follow (void *context, httpd_exchange_t *exchange,
           const httpd_request_t *request)
{
  if (!store_serves (exchange))
    return;
  const char *after = httpd_query (exchange, "after");
  const char *wait = httpd_query (exchange, "wait_ms");
  follower_t *follower = g_new0 (follower_t, 1);
  *follower
      = (follower_t){ exchange, g_strdup (httpd_query (exchange, "table")),
                      g_ascii_strtoull (after, NULL, 10),
                      site_now_ms () + atoll (wait) };
  g_ptr_array_add (platform.followers, follower);
  serve_followers ();
}

static void
on_advise (void *context, httpd_exchange_t *exchange,
           const httpd_request_t *request)
{
  json_t *body = json_loadb (request->body, request->body_length, 0, NULL);
  site_answer_json (exchange, 200,
                    json_pack ("{s:o, s:i}", "good",
                               site_advice (json_object_get (body, "workers")),
                               "validity_ms", TICKET_VALIDITY_MS));
  json_decref (body);
}

void
site_put_row (const char *table, const char *key, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);
  char *encoded = g_base64_encode ((const guchar *)text, strlen (text));
  platform.version++;
  set_row (table, "", key, encoded);
  g_free (encoded);
  free (text);
  json_decref (value);
  serve_followers ();
}

void
site_remove_row (const char *table, const char *key)
{
  platform.version++;
  set_row (table, "", key, NULL);
  serve_followers ();
}

static void
on_check (void *context, httpd_exchange_t *exchange,
          const httpd_request_t *request)
{
  site_answer_json (
      exchange, 200,
      json_pack ("{s:i, s:i, s:i, s:i, s:i, s:i, s:i}", "calls",
                 (int)site_door_requests (), "reads", (int)platform.reads,
                 "inbox_writes", (int)platform.inbox_writes, "violations",
                 (int)platform.violations, "starts", (int)site_starts (),
                 "running", (int)site_running (), "accepted",
                 (int)site_load_accepted ()));
}

/* GET /control/crashes?job=ID  */
static void
on_crashes (void *context, httpd_exchange_t *exchange,
            const httpd_request_t *request)
{
  const char *job = httpd_query (exchange, "job");
  site_answer_json (
      exchange, 200,
      json_pack ("{s:i}", "crashes",
                 job != NULL ? (int)site_crashes_under (job) : 0));
}

static int64_t
query_number (httpd_exchange_t *exchange, const char *name)
{
  const char *text = httpd_query (exchange, name);
  return text != NULL ? atoll (text) : 0;
}

static json_t *
route_new (const char *name, const char *service)
{
  char *prefix = g_strdup_printf ("/%s/", name);
  json_t *route = json_pack (
      "{s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:f, s:{s:i, s:f, "
      "s:i}}",
      "name", name, "host", "host", "path_prefix", prefix, "service", service,
      "priority", 0, "max_attempts", 3, "target_latency_ms", 500, "stretch",
      2.0, "advice", "decision_ms", ADVICE_MS, "per_worker_ms", 0.1,
      "validity_ms", TICKET_VALIDITY_MS);
  g_free (prefix);
  return route;
}

/* Writes the next version of the configuration.  */
static void
put_config (void)
{
  json_t *services = json_array ();
  json_t *routes = json_array ();
  for (uint32_t i = 0; i < platform.services; i++)
    json_array_append_new (services,
                           json_pack ("{s:s}", "name", site_services[i]));
  if (platform.route_service != NULL)
    json_array_append_new (routes,
                           route_new ("queue", platform.route_service));
  for (uint32_t i = 1; i <= platform.added_routes; i++)
    {
      char name[24];
      g_snprintf (name, sizeof name, "added-%u", i);
      json_array_append_new (routes, route_new (name, site_services[0]));
    }
  site_put_row ("op", "config",
                json_pack ("{s:i, s:o, s:o}", "version",
                           (int)++platform.config_version, "routes", routes,
                           "services", services));
}

static void
set_route (const char *service)
{
  g_free (platform.route_service);
  platform.route_service = g_strdup (service);
  put_config ();
}

/* POST /control/refuse?job=ID&over=BYTES.  */
static void
refuse_job (const char *id, int64_t over_bytes)
{
  g_free (platform.refused_job);
  platform.refused_job = g_strdup (id);
  platform.refused_bytes = (size_t)over_bytes;
}

/* POST /control/store?mode=busy|silent&for_ms=N, /control/lose?commits=N&
   answers=N (of 1000), /control/crash?worker=N, /control/mute?worker=N&
   for_ms=N, /control/route?service=NAME (none: drops the route),
   /control/added?count=N (routes "added-1" to "added-N"),
   /control/quiet?table=NAME&for_ms=N, /control/drain?worker=N,
   /control/door?node=N&mode=MODE&for_ms=N (see site_door.h; from 1),
   /control/load?to=ADDRESS&jobs_per_s=N (0 ends it).  */
static void
on_control (void *context, httpd_exchange_t *exchange,
            const httpd_request_t *request)
{
  const char *what = request->rest;
  if (strcmp (what, "store") == 0)
    {
      const char *mode = httpd_query (exchange, "mode");
      platform.mode
          = g_strcmp0 (mode, "busy") == 0 ? MODE_REFUSING : MODE_SILENT;
      platform.mode_until_ms
          = site_now_ms () + query_number (exchange, "for_ms");
    }
  else if (strcmp (what, "lose") == 0)
    {
      platform.lost_commits_per_1000
          = (uint32_t)query_number (exchange, "commits");
      platform.lost_answers_per_1000
          = (uint32_t)query_number (exchange, "answers");
    }
  else if (strcmp (what, "crash") == 0)
    site_worker_crash ((uint32_t)query_number (exchange, "worker"));
  else if (strcmp (what, "mute") == 0)
    site_worker_silence ((uint32_t)query_number (exchange, "worker"),
                         query_number (exchange, "for_ms"));
  else if (strcmp (what, "drain") == 0)
    site_worker_drain ((uint32_t)query_number (exchange, "worker"));
  else if (strcmp (what, "quiet") == 0)
    {
      g_free (platform.quiet_table);
      platform.quiet_table = g_strdup (httpd_query (exchange, "table"));
      platform.quiet_until_ms
          = site_now_ms () + query_number (exchange, "for_ms");
    }
  else if (strcmp (what, "refuse") == 0)
    refuse_job (httpd_query (exchange, "job"),
                query_number (exchange, "over"));
  else if (strcmp (what, "route") == 0)
    set_route (httpd_query (exchange, "service"));
  else if (strcmp (what, "added") == 0)
    {
      platform.added_routes = (uint32_t)query_number (exchange, "count");
      put_config ();
    }
  else if (strcmp (what, "door") == 0 && httpd_query (exchange, "mode"))
    site_door_set ((uint32_t)query_number (exchange, "node") - 1,
                   httpd_query (exchange, "mode"),
                   query_number (exchange, "for_ms"));
  else if (strcmp (what, "load") == 0)
    site_load (httpd_query (exchange, "to"),
               (uint32_t)query_number (exchange, "jobs_per_s"));
  site_answer_json (exchange, 200, json_object ());
}

static const httpd_route_t routes[] = {
  { "POST", "/api/rows-tx", on_commit },
  { "GET", "/api/rows-get", on_read },
  { "GET", "/api/rows-parts", on_parts },
  { "GET", "/api/rows-feed", on_follow },
  { "POST", "/api/advise", on_advise },
  { "GET", "/control/check", on_check },
  { "GET", "/control/crashes", on_crashes },
  { "POST", "/control/", on_control },
  { NULL, NULL, NULL },
};

static void
on_follow_check (struct ev_loop *loop, ev_timer *watcher, int events)
{
  serve_followers ();
}

static void
on_signal (struct ev_loop *loop, ev_signal *watcher, int events)
{
  ev_break (loop, EVBREAK_ALL);
}

int
main (int argc, char **argv)
{
  settings_t settings = { 0 };
  GError *error = NULL;
  char address[32];
  ev_timer check;
  ev_signal terminate;
  if (!options_parse (options, &settings, "stand-in of the platform", argc,
                      argv, NULL))
    return 2;
  platform.loop = ev_default_loop (0);
  platform.random = g_rand_new_with_seed ((guint32)settings.seed);
  platform.row_bytes = (size_t)settings.row_bytes;
  platform.services = (uint32_t)settings.services;
  platform.rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, row_free);
  platform.history = g_ptr_array_new_with_free_func (row_free);
  platform.followers = g_ptr_array_new ();
  g_snprintf (address, sizeof address, "127.0.0.1:%d", (int)settings.port);
  httpd_options_t server = { .listen = address,
                             .max_connections = 2000,
                             .max_header_bytes = 8192,
                             .max_body_bytes = 2 * 1024 * 1024 };
  platform.server = httpd_new (platform.loop, &server, &error);
  if (platform.server == NULL
      || !site_workers_start ((uint32_t)settings.workers, platform.services,
                              (uint16_t)(settings.port + 1), &error)
      || !site_doors_open (platform.loop, (uint32_t)settings.doors,
                           (uint16_t)(settings.port + FIRST_DOOR),
                           (uint16_t)settings.port, &error))
    {
      fprintf (stderr, "site-standin: %s\n", error->message);
      return 1;
    }
  httpd_add_routes (platform.server, routes, NULL);
  set_route (site_services[0]);
  ev_timer_init (&check, on_follow_check, FOLLOW_CHECK_S, FOLLOW_CHECK_S);
  ev_timer_start (platform.loop, &check);
  ev_signal_init (&terminate, on_signal, SIGTERM);
  ev_signal_start (platform.loop, &terminate);
  ev_run (platform.loop, 0);
  fprintf (stderr, "site-standin: violations=%u starts=%u\n",
           platform.violations, site_starts ());
  return platform.violations > 0 ? 1 : 0;
}
