#include "answer.h"

#include "log.h"

#include <glib.h>

json_t *
answer_parse (const httpc_result_t *result, const char **detail)
{
  json_t *value = json_loadb (result->body ? result->body : "",
                              result->body ? result->body_length : 0, 0, NULL);
  if (json_is_object (value))
    return value;
  *detail = value == NULL ? "body is not JSON" : "body is not a JSON object";
  json_decref (value);
  return NULL;
}

err_kind_t
answer_kind (const httpc_result_t *result)
{
  if (result->kind != ERR_OK)
    return ERR_STORE_UNAVAILABLE;
  if (result->status >= 200 && result->status < 300)
    return ERR_OK;
  if (result->status == 404)
    return ERR_NOT_FOUND;
  if (result->status == 429 || result->status >= 500)
    return ERR_STORE_UNAVAILABLE;
  return ERR_INTERNAL;
}

int64_t
answer_integer (const json_t *object, const char *name, int64_t missing)
{
  const json_t *value = json_object_get (object, name);
  return json_is_integer (value) ? json_integer_value (value) : missing;
}

const char *
answer_string (const json_t *object, const char *name)
{
  return json_string_value (json_object_get (object, name));
}

void
answer_log_unexpected (const char *source, const char *path_or_url,
                       const httpc_result_t *result, const char *detail)
{
  char status[8];
  g_snprintf (status, sizeof status, "%u", result->status);
  log_event (LOG_ERROR, "bad_answer", "from", source, "place", path_or_url,
             "status", status, "detail", detail ? detail : "-", NULL);
}
