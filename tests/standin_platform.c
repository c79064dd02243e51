#include "standin.h"

#include <stdlib.h>
#include <string.h>

#define DEFAULT_PAGE_ROWS 500
#define MAX_PAGE_ROWS 1000
#define WRITE_HISTORY_S 3600

/* VALUE is NULL for a deleted row, which is kept so that its versions continue
   to rise when it is created again.  */
typedef struct
{
  int64_t version;
  json_t *value;
} row_t;

/* Token bucket: one token per row; holds at most those of one second.  */
typedef struct
{
  double tokens;
  int64_t filled_ms;
} token_bucket_t;

static GTree *table;
static GHashTable *objects;
static int64_t revision = 1;
static standin_fault_t list_fault, table_fault, objects_fault;
static GHashTable *zone_faults; /* zone -> standin_fault_t */
static int replies_to_lose;     /* to transactions that write */
static bool lose_silently;      /* leave the connection open */
static token_bucket_t write_bucket, read_bucket;
static GArray *writes_by_second; /* unsigned, since first_write_ms */
static int64_t first_write_ms;

static int
compare_keys (const void *a, const void *b, void *unused)
{
  return strcmp (a, b);
}

static void
free_row (void *row)
{
  json_decref (((row_t *)row)->value);
  g_free (row);
}

static void
free_bytes (void *bytes)
{
  g_bytes_unref (bytes);
}

void
standin_platform_init (void)
{
  table = g_tree_new_full (compare_keys, NULL, g_free, free_row);
  objects
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_bytes);
  zone_faults
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  writes_by_second = g_array_new (FALSE, TRUE, sizeof (unsigned));
}

/* Applies FAULT, which may be NULL, to REQUEST.  Returns true if that settles
   the request: the answer is 503, or there will be none.  */
static bool
apply_fault (standin_request_t *request, const standin_fault_t *fault)
{
  if (fault == NULL)
    return false;
  if (fault->mode == MODE_DOWN)
    {
      standin_answer_error (request, 503, "store_unavailable",
                            "injected fault");
      request->retry_after_s = 1;
      return true;
    }
  bool never_answered = fault->mode == MODE_HANG || fault->mode == MODE_CUT;
  if (never_answered)
    request->delay_ms = STANDIN_NEVER;
  else if (fault->mode == MODE_SLOW)
    request->delay_ms = fault->delay_ms;
  return never_answered;
}

/* Takes COUNT tokens from BUCKET, which fills with RATE a second.  Returns
   false if there are too few.  A COUNT above what the bucket can hold is taken
   when it is full, and leaves a debt.  */
static bool
take_tokens (token_bucket_t *bucket, int rate, unsigned count)
{
  int64_t now_ms = standin_now_ms ();
  if (rate <= 0)
    return true;
  bucket->tokens += (double)(now_ms - bucket->filled_ms) * rate / 1000.0;
  bucket->filled_ms = now_ms;
  if (bucket->tokens > rate)
    bucket->tokens = rate;
  if (bucket->tokens < (count < (unsigned)rate ? count : (unsigned)rate))
    {
      standin_add_to_counter ("throttled", 1);
      return false;
    }
  bucket->tokens -= count;
  return true;
}

static void
answer_over_rate (standin_request_t *request)
{
  standin_answer_error (request, 429, "over_rate",
                        "rate of row reads or writes exceeded");
  request->retry_after_s = 1;
}

/* Makes the instance list show the changes that are older than its lag.  */
static void
publish_changes (void)
{
  if (list_fault.mode == MODE_STALE)
    return;
  int64_t due_ms = standin_now_ms () - standin_options.list_lag_ms;
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      standin_instance_t *instance = g_ptr_array_index (standin_instances, i);
      if (instance->changed_ms > due_ms
          || (strcmp (instance->state, instance->shown_state) == 0
              && instance->incarnation == instance->shown_incarnation))
        continue;
      g_free (instance->shown_state);
      instance->shown_state = g_strdup (instance->state);
      instance->shown_incarnation = instance->incarnation;
      instance->shown_revision = ++revision;
    }
}

/* Answers the instances of the query's zone and the entries of all zones, only
   those changed after revision SINCE if that is given and known.  */
static void
answer_list (standin_request_t *request)
{
  if (apply_fault (request, &list_fault))
    return;
  publish_changes ();
  standin_add_to_counter ("list_reads", 1);
  const char *zone = standin_query (request, "zone");
  int64_t since = standin_query_number (request, "since", 0);
  bool full = since <= 0 || since > revision;
  json_t *rows = json_array ();
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      standin_instance_t *instance = g_ptr_array_index (standin_instances, i);
      bool in_zone = zone != NULL && strcmp (zone, instance->zone) == 0;
      if ((!full && instance->shown_revision <= since)
          || (!in_zone && strcmp (instance->kind, "entry") != 0))
        continue;
      if (in_zone && strcmp (instance->shown_state, "live") != 0
          && instance->leaving_shown_ms == 0)
        instance->leaving_shown_ms = standin_now_ms ();
      json_array_append_new (
          rows, standin_instance_json (instance, instance->shown_state,
                                       instance->shown_incarnation));
    }
  standin_answer_json (request, 200,
                       json_pack ("{s:I, s:b, s:o}", "revision",
                                  (json_int_t)revision, "full", full,
                                  "instances", rows));
}

void
standin_set_state (standin_instance_t *instance, const char *state,
                   int64_t incarnation)
{
  char *copy = g_strdup (state); /* STATE may be the instance's own */
  g_free (instance->state);
  instance->state = copy;
  instance->incarnation = incarnation;
  instance->changed_ms = standin_now_ms ();
  if (strcmp (instance->state, "live") == 0)
    instance->leaving_shown_ms = 0;
}

/* 0 if there is no row KEY, or it is deleted.  */
static int64_t
row_version (const char *key)
{
  const row_t *row = g_tree_lookup (table, key);
  return row != NULL && row->value != NULL ? row->version : 0;
}

static json_t *
row_json (const char *key, const row_t *row)
{
  return json_pack ("{s:s, s:I, s:O}", "key", key, "version",
                    (json_int_t)row->version, "value", row->value);
}

static void
answer_row (standin_request_t *request, const char *key)
{
  if (!take_tokens (&read_bucket, standin_options.read_rate, 1))
    {
      answer_over_rate (request);
      return;
    }
  standin_add_to_counter ("row_reads", 1);
  const row_t *row = g_tree_lookup (table, key);
  if (row == NULL || row->value == NULL)
    standin_answer_error (request, 404, "not_found", key);
  else
    standin_answer_json (request, 200, row_json (key, row));
}

/* A page counts as one read for each row in it, at least one.  */
static void
answer_page (standin_request_t *request)
{
  const char *prefix = standin_query (request, "prefix");
  const char *after = standin_query (request, "after");
  int64_t limit = standin_query_number (request, "limit", DEFAULT_PAGE_ROWS);
  limit = CLAMP (limit, 1, MAX_PAGE_ROWS);
  if (prefix == NULL)
    prefix = "";
  const char *from = after && strcmp (after, prefix) > 0 ? after : prefix;
  json_t *rows = json_array ();
  bool more = false;
  for (GTreeNode *node = g_tree_lower_bound (table, from); node != NULL;
       node = g_tree_node_next (node))
    {
      const char *key = g_tree_node_key (node);
      const row_t *row = g_tree_node_value (node);
      if (!g_str_has_prefix (key, prefix))
        break;
      if (row->value == NULL || (after && strcmp (key, after) <= 0))
        continue;
      more = json_array_size (rows) >= (size_t)limit;
      if (more)
        break;
      json_array_append_new (rows, row_json (key, row));
    }
  unsigned count = MAX (1, (unsigned)json_array_size (rows));
  if (!take_tokens (&read_bucket, standin_options.read_rate, count))
    {
      json_decref (rows);
      answer_over_rate (request);
      return;
    }
  standin_add_to_counter ("row_reads", count);
  standin_answer_json (request, 200,
                       json_pack ("{s:o, s:b}", "rows", rows, "more", more));
}

/* The keys of CHECKS whose version is another than expected, with their actual
   version.  */
static json_t *
failed_checks (json_t *checks)
{
  json_t *failed = json_array ();
  size_t i;
  json_t *check;
  json_array_foreach (checks, i, check)
  {
    const char *key = json_string_value (json_object_get (check, "key"));
    int64_t expected = json_integer_value (json_object_get (check, "version"));
    if (row_version (key) != expected)
      json_array_append_new (failed,
                             json_pack ("{s:s, s:I}", "key", key, "version",
                                        (json_int_t)row_version (key)));
  }
  return failed;
}

static void
record_writes (unsigned count)
{
  int64_t now_ms = standin_now_ms ();
  if (first_write_ms == 0)
    first_write_ms = now_ms;
  unsigned second = (unsigned)((now_ms - first_write_ms) / 1000);
  if (second >= writes_by_second->len && second < WRITE_HISTORY_S)
    g_array_set_size (writes_by_second, second + 1);
  if (second < writes_by_second->len)
    g_array_index (writes_by_second, unsigned, second) += count;
  standin_add_to_counter ("row_writes", count);
}

/* Returns an object of the new versions by key; 0 for a deleted row.  */
static json_t *
apply_writes (json_t *writes)
{
  json_t *versions = json_object ();
  size_t i;
  json_t *write;
  json_array_foreach (writes, i, write)
  {
    const char *key = json_string_value (json_object_get (write, "key"));
    json_t *value = json_object_get (write, "value");
    row_t *row = g_tree_lookup (table, key);
    if (row == NULL)
      {
        row = g_new0 (row_t, 1);
        g_tree_insert (table, g_strdup (key), row);
      }
    json_decref (row->value);
    row->value = json_is_null (value) ? NULL : json_incref (value);
    row->version++;
    json_object_set_new (versions, key,
                         json_integer (row->value ? row->version : 0));
  }
  return versions;
}

/* Whether LIST is NULL or an array of objects with a string "key" and a value
   REQUIRED.  */
static bool
well_formed (json_t *list, const char *required)
{
  size_t i;
  json_t *item;
  if (list != NULL && !json_is_array (list))
    return false;
  json_array_foreach (list, i, item)
  {
    if (!json_is_string (json_object_get (item, "key"))
        || json_object_get (item, required) == NULL)
      return false;
  }
  return true;
}

static void
run_transaction (standin_request_t *request, json_t *body)
{
  json_t *checks = json_object_get (body, "checks");
  json_t *writes = json_object_get (body, "writes");
  if (!well_formed (checks, "version") || !well_formed (writes, "value"))
    {
      standin_answer_error (request, 400, "bad_request",
                            "malformed transaction");
      return;
    }
  unsigned count = (unsigned)json_array_size (writes);
  if (!take_tokens (&write_bucket, standin_options.write_rate, count))
    {
      answer_over_rate (request);
      return;
    }
  standin_add_to_counter ("transactions", 1);
  json_t *failed = failed_checks (checks);
  if (json_array_size (failed) > 0)
    {
      standin_add_to_counter ("conflicts", 1);
      standin_answer_json (
          request, 409,
          json_pack ("{s:b, s:o}", "committed", 0, "failed", failed));
      return;
    }
  json_decref (failed);
  record_writes (count);
  standin_answer_json (request, 200,
                       json_pack ("{s:b, s:o}", "committed", 1, "versions",
                                  apply_writes (writes)));
  if (replies_to_lose > 0 && count > 0)
    {
      replies_to_lose--;
      standin_add_to_counter ("lost_replies", 1);
      if (lose_silently)
        request->delay_ms = STANDIN_NEVER;
      else
        request->close_unanswered = true;
    }
}

static void
answer_table (standin_request_t *request, const char *path)
{
  if (apply_fault (request, &table_fault))
    return;
  if (strcmp (request->method, "GET") == 0
      && g_str_has_prefix (path, "/v1/rows/"))
    answer_row (request, path + strlen ("/v1/rows/"));
  else if (strcmp (request->method, "GET") == 0
           && strcmp (path, "/v1/rows") == 0)
    answer_page (request);
  else if (strcmp (request->method, "POST") == 0
           && strcmp (path, "/v1/txn") == 0)
    {
      json_t *body = standin_parse_body (request);
      if (body != NULL)
        run_transaction (request, body);
      json_decref (body);
    }
  else
    standin_answer_error (request, 404, "not_found", path);
}

static void
answer_object (standin_request_t *request, const char *path)
{
  if (apply_fault (request, &objects_fault))
    return;
  const char *prefix = "/v1/objects/";
  if (!g_str_has_prefix (path, prefix) || path[strlen (prefix)] == '\0')
    {
      standin_answer_error (request, 404, "not_found", path);
      return;
    }
  const char *name = path + strlen (prefix);
  GBytes *stored = g_hash_table_lookup (objects, name);
  if (strcmp (request->method, "PUT") == 0)
    {
      g_hash_table_insert (
          objects, g_strdup (name),
          g_bytes_new (request->body->data, request->body->len));
      standin_answer_json (request, 200, json_object ());
    }
  else if (stored == NULL)
    standin_answer_error (request, 404, "not_found", name);
  else if (strcmp (request->method, "DELETE") == 0)
    {
      g_hash_table_remove (objects, name);
      standin_answer_json (request, 200, json_object ());
    }
  else
    {
      gsize length;
      const void *data = g_bytes_get_data (stored, &length);
      request->status = 200;
      request->answer = g_memdup2 (data, length);
      request->answer_length = length;
    }
}

void
standin_handle_platform (standin_request_t *request, const char *path,
                         const char *zone)
{
  const standin_fault_t *zone_fault
      = zone ? g_hash_table_lookup (zone_faults, zone) : NULL;
  if (apply_fault (request, zone_fault))
    return;
  if (strcmp (path, "/list/v1/instances") == 0)
    answer_list (request);
  else if (g_str_has_prefix (path, "/table/"))
    answer_table (request, path + strlen ("/table"));
  else if (g_str_has_prefix (path, "/objects/"))
    answer_object (request, path + strlen ("/objects"));
  else
    standin_answer_error (request, 404, "not_found", path);
}

bool
standin_set_platform_fault (standin_request_t *request, const char *name)
{
  const char *mode = standin_query (request, "mode");
  const char *zone = standin_query (request, "zone");
  standin_fault_t *fault = NULL;
  if (strcmp (name, "list") == 0)
    fault = &list_fault;
  else if (strcmp (name, "table") == 0)
    fault = &table_fault;
  else if (strcmp (name, "objects") == 0)
    fault = &objects_fault;
  else if (strcmp (name, "zone") == 0 && zone != NULL)
    {
      fault = g_new0 (standin_fault_t, 1);
      g_hash_table_insert (zone_faults, g_strdup (zone), fault);
    }
  else
    return false;
  fault->delay_ms = standin_query_number (request, "delay_ms", 0);
  int64_t lose_count = standin_query_number (request, "lose", -1);
  if (lose_count >= 0)
    {
      replies_to_lose = (int)lose_count;
      lose_silently
          = g_strcmp0 (standin_query (request, "lose_how"), "silent") == 0;
    }
  return mode ? standin_parse_mode (mode, &fault->mode) : lose_count >= 0;
}

json_t *
standin_platform_summary (void)
{
  unsigned max_in_second = 0;
  json_t *by_second = json_array ();
  for (unsigned i = 0; i < writes_by_second->len; i++)
    {
      unsigned count = g_array_index (writes_by_second, unsigned, i);
      max_in_second = MAX (max_in_second, count);
      json_array_append_new (by_second, json_integer (count));
    }
  return json_pack ("{s:i, s:i, s:o}", "rows", (int)g_tree_nnodes (table),
                    "row_writes_in_a_second_max", (int)max_in_second,
                    "row_writes_each_second", by_second);
}
