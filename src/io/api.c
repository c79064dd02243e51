#include "api_internal.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

#define JSON_TYPE "application/json"
#define TEXT_TYPE "text/plain; charset=utf-8"

void
api_answer_json (httpd_exchange_t *exchange, uint16_t status, json_t *value)
{
  char *text = json_dumps (value, JSON_COMPACT);
  httpd_answer (exchange, status, JSON_TYPE, text, strlen (text));
  free (text);
  json_decref (value);
}

bool
api_authorise (api_t *api, httpd_exchange_t *exchange,
               auth_identity_t *identity)
{
  auth_t *auth = api->options.auth;
  bool enabled = auth_enabled (auth);
  if (!api->auth_state_logged || enabled != api->logged_auth_enabled)
    {
      api->auth_state_logged = true;
      api->logged_auth_enabled = enabled;
      if (!enabled)
        log_event (LOG_WARN, "auth_off", "reason",
                   "no token in [access] and the listener is on loopback",
                   NULL);
      else
        log_event (LOG_INFO, "auth_on", NULL);
    }
  err_kind_t kind
      = auth_check (auth, httpd_header (exchange, "Authorization"), identity);
  if (kind == ERR_OK)
    return true;
  const char *message = "expected \"Authorization: Bearer NAME:SECRET\"";
  if (kind == ERR_NO_CONFIG)
    message = "this entry has no configuration yet, so it cannot check tokens";
  else if (kind == ERR_QUOTA)
    message = "too many wrong tokens, try again in a second";
  httpd_answer_error (exchange, kind, message);
  return false;
}

/* Whether IDENTITY may read SECTION: only operators may read the token hashes
   in [access].  */
static bool
may_read (const auth_identity_t *identity, const char *section)
{
  return identity->role == AUTH_OPERATOR || strcmp (section, "access") != 0;
}

static json_t *
section_json (const api_t *api, const confrev_section_t *section)
{
  doc_t *doc = confrev_document (conf_state (api->options.conf));
  const doc_section_t *parsed = doc_section (doc, section->name);
  return json_pack ("{s:s,s:I,s:s,s:s}", "section", section->name, "version",
                    (json_int_t)section->version, "owner",
                    parsed != NULL ? doc_section_owner (parsed) : "", "text",
                    section->text);
}

static bool
wants_text (httpd_exchange_t *exchange)
{
  return g_strcmp0 (httpd_query (exchange, "format"), "text") == 0;
}

static void
get_document (void *context, httpd_exchange_t *exchange,
              const httpd_request_t *request)
{
  api_t *api = context;
  auth_identity_t identity;
  if (!api_authorise (api, exchange, &identity))
    return;
  const confrev_t *state = conf_state (api->options.conf);
  if (confrev_document (state) == NULL)
    {
      httpd_answer_error (exchange, ERR_NO_CONFIG,
                          "this entry has no configuration yet; neither the "
                          "table service nor another entry has provided it");
      return;
    }
  json_t *list = json_array ();
  GString *text = g_string_new (NULL);
  GPtrArray *sections = confrev_sections (state);
  for (unsigned i = 0; i < sections->len; i++)
    {
      const confrev_section_t *section = g_ptr_array_index (sections, i);
      if (!may_read (&identity, section->name))
        continue;
      json_array_append_new (list, section_json (api, section));
      if (section->text[0] != '\0')
        g_string_append_printf (text, "%s%s", text->len > 0 ? "\n" : "",
                                section->text);
    }
  g_ptr_array_free (sections, TRUE);
  if (wants_text (exchange))
    httpd_answer (exchange, 200, TEXT_TYPE, text->str, text->len);
  else
    api_answer_json (exchange, 200,
                     json_pack ("{s:I,s:O}", "revision",
                                (json_int_t)confrev_revision (state),
                                "sections", list));
  json_decref (list);
  g_string_free (text, TRUE);
}

static void
on_history (void *context, err_kind_t kind, json_t *rows)
{
  httpd_exchange_t *exchange = context;
  if (kind != ERR_OK)
    httpd_answer_error (exchange, kind, "the table service does not answer");
  else
    api_answer_json (exchange, 200, json_pack ("{s:O}", "history", rows));
}

static void
get_section (void *context, httpd_exchange_t *exchange,
             const httpd_request_t *request)
{
  api_t *api = context;
  auth_identity_t identity;
  if (!api_authorise (api, exchange, &identity))
    return;
  char *name = g_strdup (request->rest);
  bool history = g_str_has_suffix (name, "/history");
  if (history)
    name[strlen (name) - strlen ("/history")] = '\0';
  const confrev_section_t *section
      = confrev_section (conf_state (api->options.conf), name);
  if (!may_read (&identity, name))
    httpd_answer_error (exchange, ERR_FORBIDDEN,
                        "only operators may read [access]");
  else if (history)
    conf_read_history (api->options.conf, name, on_history, exchange);
  else if (section == NULL || section->text[0] == '\0')
    {
      char *message = g_strdup_printf (
          "there is no section [%s]; expected a name like \"service NAME\"",
          name);
      httpd_answer_error (exchange, ERR_NOT_FOUND, message);
      g_free (message);
    }
  else if (wants_text (exchange))
    httpd_answer (exchange, 200, TEXT_TYPE, section->text,
                  strlen (section->text));
  else
    api_answer_json (exchange, 200, section_json (api, section));
  g_free (name);
}

static void
on_edited (void *context, const conf_result_t *result)
{
  httpd_exchange_t *exchange = context;
  if (result->kind != ERR_OK)
    {
      httpd_answer_error (exchange, result->kind, result->message);
      return;
    }
  api_answer_json (
      exchange, 200,
      json_pack ("{s:I,s:I,s:i,s:i}", "version", (json_int_t)result->version,
                 "revision", (json_int_t)result->revision, "confirmed",
                 (int)result->confirmed, "reachable", (int)result->reachable));
}

/* Sets *VALUE to the query argument NAME.  Returns false if it is absent or
   not a whole number.  */
static bool
query_number (httpd_exchange_t *exchange, const char *name, int64_t *value)
{
  const char *text = httpd_query (exchange, name);
  return text != NULL
         && g_ascii_string_to_signed (text, 10, 0, INT64_MAX, value, NULL);
}

/* Checks that the body is UTF-8 without NUL; if not, answers the error and
   returns false.  */
static bool
body_is_text (httpd_exchange_t *exchange, const httpd_request_t *request)
{
  if (strlen (request->body) == request->body_length
      && g_utf8_validate (request->body, -1, NULL))
    return true;
  httpd_answer_error (exchange, ERR_BAD_REQUEST,
                      "the body is not text; expected UTF-8 without NUL");
  return false;
}

static void
put_section (void *context, httpd_exchange_t *exchange,
             const httpd_request_t *request)
{
  api_t *api = context;
  auth_identity_t identity;
  if (!api_authorise (api, exchange, &identity)
      || !body_is_text (exchange, request))
    return;
  int64_t version;
  if (!query_number (exchange, "version", &version))
    {
      httpd_answer_error (exchange, ERR_BAD_REQUEST,
                          "version: expected the version that was edited as a "
                          "whole number (0 for a new section)");
      return;
    }
  const char *force = httpd_query (exchange, "force");
  conf_edit_t edit = { .name = request->rest,
                       .version = version,
                       .text = request->body,
                       .why = httpd_query (exchange, "why"),
                       .identity = &identity,
                       .force = g_strcmp0 (force, "true") == 0 };
  conf_edit (api->options.conf, &edit, on_edited, exchange);
}

/* Checks the body as a whole document, or, with the query argument "section",
   as the new text of that section: whether it fits into the current document,
   and whether its limits allow what is in use now (see doc_check_use).  */
static void
post_check (void *context, httpd_exchange_t *exchange,
            const httpd_request_t *request)
{
  api_t *api = context;
  auth_identity_t identity;
  if (!api_authorise (api, exchange, &identity)
      || !body_is_text (exchange, request))
    return;
  const char *name = httpd_query (exchange, "section");
  char *message = NULL;
  err_kind_t kind = ERR_OK;
  if (name != NULL)
    {
      conf_edit_t edit
          = { .name = name, .text = request->body, .identity = &identity };
      kind = conf_check_edit (api->options.conf, &edit, &message);
    }
  else
    {
      GPtrArray *errors = doc_errors_new ();
      doc_t *doc = doc_parse (request->body, request->body_length, errors);
      if (doc == NULL)
        {
          kind = ERR_BAD_REQUEST;
          message = doc_errors_text (errors);
        }
      doc_unref (doc);
      g_ptr_array_free (errors, TRUE);
    }
  if (kind == ERR_OK)
    api_answer_json (exchange, 200, json_pack ("{s:b}", "ok", 1));
  else
    httpd_answer_error (exchange, kind, message);
  g_free (message);
}

static const httpd_route_t routes[] = {
  { "GET", "/v1/document", get_document },
  { "POST", "/v1/document/check", post_check },
  { "GET", "/v1/document/", get_section },
  { "PUT", "/v1/document/", put_section },
  { "GET", "/v1/status", api_get_status },
  { "GET", "/v1/report/burn", api_get_burn },
  { "GET", "/metrics", api_get_metrics },
  { NULL, NULL, NULL },
};

const httpd_route_t *
api_routes (void)
{
  return routes;
}

api_t *
api_new (const api_options_t *options)
{
  api_t *api = g_new0 (api_t, 1);
  api->options = *options;
  return api;
}

void
api_free (api_t *api)
{
  g_free (api);
}
