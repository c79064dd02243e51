#include "api_internal.h"
#include "burn_report.h"

#include <stdlib.h>
#include <string.h>

/* The entries in the status, while it is built.  */
typedef struct
{
  int64_t revision;
  json_t *entries;     /* id -> object */
  json_t *unconfirmed; /* ids of entries below the revision */
} status_builder_t;

/* Returns the object of ENTRY (an id, with or without "@INCARNATION"), which
   is added if there is none.  Borrowed.  */
static json_t *
entry_row (status_builder_t *builder, const char *entry)
{
  char *id = g_strndup (entry, strcspn (entry, "@"));
  json_t *row = json_object_get (builder->entries, id);
  if (row == NULL)
    {
      row = json_pack ("{s:s,s:n,s:n}", "entry", id, "revision", "age_ms");
      json_object_set_new (builder->entries, id, row);
    }
  g_free (id);
  return row;
}

/* Entries that are not in the instance list are left out if no message has
   come from them for longer than this.  */
#define MAX_UNLISTED_AGE_MS 30000

static void
add_peer (void *context, const confrev_peer_t *peer)
{
  status_builder_t *builder = context;
  char *id = g_strndup (peer->entry, strcspn (peer->entry, "@"));
  bool listed = json_object_get (builder->entries, id) != NULL;
  g_free (id);
  if (!listed && peer->age_ms > MAX_UNLISTED_AGE_MS)
    return;
  json_t *row = entry_row (context, peer->entry);
  json_object_set_new (row, "zone", json_string (peer->zone));
  json_object_set_new (row, "revision", json_integer (peer->revision));
  json_object_set_new (row, "age_ms", json_integer (peer->age_ms));
}

/* Adds the entries of the instance list.  LISTED is an array of
   {"entry","zone","state"} without the entries that are gone.  */
static void
add_listed (status_builder_t *builder, const json_t *listed)
{
  size_t index;
  json_t *item;
  json_array_foreach (listed, index, item)
  {
    const char *id = json_string_value (json_object_get (item, "entry"));
    json_t *row = id != NULL ? entry_row (builder, id) : NULL;
    json_object_set (row, "zone", json_object_get (item, "zone"));
    json_object_set (row, "state", json_object_get (item, "state"));
  }
}

static json_t *
zone_row (json_t *zones, const char *name)
{
  json_t *row = json_object_get (zones, name);
  if (row == NULL)
    {
      row = json_pack ("{s:s,s:i,s:i,s:i}", "zone", name, "entries", 0,
                       "confirmed", 0, "expected", 0);
      json_object_set_new (zones, name, row);
    }
  return row;
}

static void
increment (json_t *row, const char *name)
{
  json_t *value = json_object_get (row, name);
  json_integer_set (value, json_integer_value (value) + 1);
}

/* Sets "confirmed" of each entry, and adds the entries to the counts of
   ZONES, an object of zone rows by name.  */
static void
count_zone_entries (status_builder_t *builder, json_t *zones)
{
  const char *id;
  json_t *row;
  json_object_foreach (builder->entries, id, row)
  {
    const char *name = json_string_value (json_object_get (row, "zone"));
    json_t *revision = json_object_get (row, "revision");
    bool confirmed = json_is_integer (revision)
                     && json_integer_value (revision) >= builder->revision;
    json_object_set_new (row, "confirmed", json_boolean (confirmed));
    json_t *zone = zone_row (zones, name != NULL ? name : "");
    increment (zone, "entries");
    if (confirmed)
      increment (zone, "confirmed");
    else
      json_array_append_new (builder->unconfirmed, json_string (id));
  }
}

static json_t *
values_of (json_t *object)
{
  json_t *list = json_array ();
  const char *name;
  json_t *value;
  json_object_foreach (object, name, value) json_array_append (list, value);
  return list;
}

static json_t *
zones_json (status_builder_t *builder, doc_t *doc)
{
  json_t *zones = json_object ();
  for (size_t i = 0; doc != NULL && i < doc_section_count (doc); i++)
    {
      const doc_section_t *section = doc_section_at (doc, i);
      if (doc_section_type (section) != DOC_ZONE)
        continue;
      const char *name = doc_section_name (section);
      doc_zone_t zone;
      doc_zone (doc, name, &zone);
      json_t *row = zone_row (zones, name);
      json_object_set_new (row, "region", json_string (zone.region));
      json_object_set_new (row, "expected", json_integer (zone.entries));
    }
  count_zone_entries (builder, zones);
  json_t *list = values_of (zones);
  json_decref (zones);
  return list;
}

/* VALUE may be NULL.  */
static json_t *
or_null (json_t *value)
{
  return value != NULL ? value : json_null ();
}

static json_t *
config_json (const api_t *api)
{
  static const char *const sources[] = { "none", "peers", "store" };
  const confrev_t *state = conf_state (api->options.conf);
  int64_t age_ms = confrev_store_age_ms (state);
  return json_pack ("{s:I,s:s,s:o,s:b}", "revision",
                    (json_int_t)confrev_revision (state), "source",
                    sources[confrev_source (state)], "store_age_ms",
                    age_ms < 0 ? json_null () : json_integer (age_ms),
                    "tokens_checked", auth_enabled (api->options.auth));
}

json_t *
api_status (api_t *api)
{
  const api_options_t *options = &api->options;
  const confrev_t *state = conf_state (options->conf);
  status_builder_t builder = { .revision = confrev_revision (state),
                               .entries = json_object (),
                               .unconfirmed = json_array () };
  json_t *listed = options->entries_status (options->context);
  add_listed (&builder, listed);
  json_decref (listed);
  confrev_each_peer (state, add_peer, &builder);
  json_t *own = entry_row (&builder, options->entry);
  json_object_set_new (own, "zone", json_string (options->zone));
  json_object_set_new (own, "revision", json_integer (builder.revision));
  json_object_set_new (own, "age_ms", json_integer (0));
  json_t *zones = zones_json (&builder, confrev_document (state));
  json_t *entries = values_of (builder.entries);
  json_decref (builder.entries);
  const char *reason = NULL;
  bool ready = options->ready (options->context, &reason);
  int64_t list_age_ms = options->list_age_ms (options->context);
  return json_pack (
      "{s:s,s:s,s:b,s:s?,s:o,s:o,s:o,s:o,s:o,s:o,s:o}", "entry",
      options->entry, "zone", options->zone, "ready", ready, "not_ready",
      reason, "config", config_json (api), "list_age_ms",
      list_age_ms < 0 ? json_null () : json_integer (list_age_ms), "zones",
      zones, "entries", entries, "unconfirmed", builder.unconfirmed,
      "requests", or_null (options->requests_status (options->context)),
      "tasks", or_null (options->tasks_status (options->context)));
}

void
api_get_status (void *context, httpd_exchange_t *exchange,
                const httpd_request_t *request)
{
  auth_identity_t identity;
  const confrev_t *state = conf_state (((api_t *)context)->options.conf);
  /* An entry without a configuration cannot check tokens, but operators have
     to be able to see that.  The answer then contains no more than /readyz
     tells anybody, and the names of the entry and its zone.  */
  if (confrev_source (state) == CONFREV_NONE
      && auth_enabled (((api_t *)context)->options.auth))
    {
      api_answer_json (exchange, 200,
                       json_pack ("{s:s,s:s,s:b,s:s}", "entry",
                                  ((api_t *)context)->options.entry, "zone",
                                  ((api_t *)context)->options.zone, "ready", 0,
                                  "not_ready", "no configuration yet"));
      return;
    }
  if (api_authorise (context, exchange, &identity))
    api_answer_json (exchange, 200, api_status (context));
}

static void
set_burn_level (void *context, const char *service, burn_kind_t kind,
                const burn_status_t *status)
{
  char *labels = g_strdup_printf ("service=\"%s\",objective=\"%s\"", service,
                                  burn_kind_name (kind));
  counter_set (counter_gauge (context, "magnoliadock_burn_level", labels),
               status->level);
  g_free (labels);
}

/* Sets the gauges that are computed only when metrics are read.  */
static void
set_gauges (api_t *api)
{
  const api_options_t *options = &api->options;
  counter_registry_t *registry = options->registry;
  const char *reason;
  json_t *status = api_status (api);
  json_t *unconfirmed = json_object_get (status, "unconfirmed");
  counter_set (
      counter_gauge (registry, "magnoliadock_config_unconfirmed", NULL),
      (int64_t)json_array_size (unconfirmed));
  json_decref (status);
  counter_set (counter_gauge (registry, "magnoliadock_ready", NULL),
               options->ready (options->context, &reason));
  counter_set (counter_gauge (registry, "magnoliadock_store_age_ms", NULL),
               confrev_store_age_ms (conf_state (options->conf)));
  counter_set (counter_gauge (registry, "magnoliadock_list_age_ms", NULL),
               options->list_age_ms (options->context));
  burn_store_each_own (options->burn_store, set_burn_level, registry);
}

void
api_get_metrics (void *context, httpd_exchange_t *exchange,
                 const httpd_request_t *request)
{
  api_t *api = context;
  GString *out = g_string_new (NULL);
  set_gauges (api);
  counter_print (api->options.registry, out);
  httpd_answer (exchange, 200, "text/plain; version=0.0.4", out->str,
                out->len);
  g_string_free (out, TRUE);
}

typedef struct
{
  const api_t *api;
  httpd_exchange_t *exchange;
  enum
  {
    FORMAT_JSON,
    FORMAT_TEXT,
    FORMAT_HTML
  } format;
} burn_answer_t;

static void
on_burn_read (void *context, err_kind_t kind, const burn_t *burn, doc_t *doc)
{
  burn_answer_t *answer = context;
  json_t *report = burn_report_json (
      burn, doc, clk_wall_ms (answer->api->options.clock), kind == ERR_OK);
  GString *out = g_string_new (NULL);
  switch (answer->format)
    {
    case FORMAT_JSON:
      api_answer_json (answer->exchange, 200, json_incref (report));
      break;
    case FORMAT_TEXT:
      burn_report_text (report, out);
      httpd_answer (answer->exchange, 200, "text/plain; charset=utf-8",
                    out->str, out->len);
      break;
    case FORMAT_HTML:
      burn_report_html (report, out);
      httpd_answer (answer->exchange, 200, "text/html; charset=utf-8",
                    out->str, out->len);
      break;
    }
  g_string_free (out, TRUE);
  json_decref (report);
  g_free (answer);
}

void
api_get_burn (void *context, httpd_exchange_t *exchange,
              const httpd_request_t *request)
{
  api_t *api = context;
  auth_identity_t identity;
  if (!api_authorise (api, exchange, &identity))
    return;
  const char *format = httpd_query (exchange, "format");
  burn_answer_t *answer = g_new0 (burn_answer_t, 1);
  answer->api = api;
  answer->exchange = exchange;
  if (format == NULL || strcmp (format, "json") == 0)
    answer->format = FORMAT_JSON;
  else if (strcmp (format, "text") == 0)
    answer->format = FORMAT_TEXT;
  else if (strcmp (format, "html") == 0)
    answer->format = FORMAT_HTML;
  else
    {
      g_free (answer);
      httpd_answer_error (exchange, ERR_BAD_REQUEST,
                          "format: expected json, text or html");
      return;
    }
  burn_store_read (api->options.burn_store, on_burn_read, answer);
}
