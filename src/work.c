#include "work.h"

#include "number.h"

#include <stdio.h>
#include <string.h>

work_job_t *
work_job_new (const char *id, const char *queue, uint32_t step_count)
{
  work_job_t *job = g_new0 (work_job_t, 1);
  g_strlcpy (job->id, id, sizeof job->id);
  job->queue = g_strdup (queue);
  job->steps = g_new0 (work_step_t, step_count);
  job->step_count = step_count;
  return job;
}

void
work_job_free (work_job_t *job)
{
  if (job == NULL)
    return;
  for (uint32_t i = 0; i < job->step_count; i++)
    {
      work_step_t *step = &job->steps[i];
      g_free (step->after);
      g_free (step->label);
      g_free (step->data_rack);
      g_free (step->image);
    }
  g_free (job->steps);
  queue_free (job->terms);
  g_free (job->queue);
  g_free (job->spec);
  g_free (job);
}

bool
work_id_valid (const char *id)
{
  size_t length = strspn (id, "0123456789abcdefABCDEF");
  return length == WORK_ID_LENGTH && id[length] == '\0';
}

static bool
check_step (const work_job_t *job, uint32_t at, GError **error)
{
  const work_step_t *step = &job->steps[at];
  if (step->count == 0 || step->count > WORK_MAX_STEP_TASKS)
    {
      g_set_error (error, ERROR_DOMAIN, ERR_BAD_REQUEST,
                   "step %u: count %u is not between 1 and %u", at,
                   step->count, WORK_MAX_STEP_TASKS);
      return false;
    }
  if (resource_negative (step->need) || step->estimate_ms < 0)
    {
      g_set_error (error, ERROR_DOMAIN, ERR_BAD_REQUEST,
                   "step %u: resource sizes and estimate must not be negative",
                   at);
      return false;
    }
  for (uint32_t i = 0; i < step->after_count; i++)
    if (step->after[i] >= at)
      {
        g_set_error (error, ERROR_DOMAIN, ERR_BAD_REQUEST,
                     "step %u: depends on step %u, expected an earlier step",
                     at, step->after[i]);
        return false;
      }
  return true;
}

bool
work_job_check (const work_job_t *job, GError **error)
{
  if (job->step_count == 0 || job->step_count > WORK_MAX_STEPS)
    {
      g_set_error (error, ERROR_DOMAIN, ERR_BAD_REQUEST,
                   "%u steps, expected 1 to %u", job->step_count,
                   WORK_MAX_STEPS);
      return false;
    }
  if (job->spec == NULL || strlen (job->spec) > WORK_MAX_SPEC_BYTES)
    {
      g_set_error (error, ERROR_DOMAIN, ERR_BAD_REQUEST,
                   "spec: expected a text of at most %u bytes",
                   WORK_MAX_SPEC_BYTES);
      return false;
    }
  for (uint32_t i = 0; i < job->step_count; i++)
    if (!check_step (job, i, error))
      return false;
  return true;
}

static void
set_text (json_t *object, const char *key, const char *value)
{
  if (value != NULL)
    json_object_set_new (object, key, json_string (value));
}

static void
set_integer (json_t *object, const char *key, int64_t value)
{
  if (value != 0)
    json_object_set_new (object, key, json_integer (value));
}

static void
set_flag (json_t *object, const char *key, bool value)
{
  if (value)
    json_object_set_new (object, key, json_true ());
}

static json_t *
step_to_json (const work_step_t *step)
{
  json_t *object = json_object ();
  set_integer (object, "count", step->count);
  set_integer (object, "cpu_millis", step->need.cpu_millis);
  set_integer (object, "memory_mib", step->need.memory_mib);
  set_integer (object, "accelerators", step->need.accelerators);
  set_integer (object, "estimate_ms", step->estimate_ms);
  set_flag (object, "gang", step->gang);
  set_flag (object, "rack_bound", step->rack_bound);
  set_flag (object, "speculative", step->speculative);
  set_flag (object, "lasting", step->lasting);
  set_flag (object, "checkpoints", step->checkpoints);
  set_flag (object, "filler", step->filler);
  set_text (object, "label", step->label);
  set_text (object, "data_rack", step->data_rack);
  set_text (object, "image", step->image);
  set_integer (object, "spread", step->spread);
  set_integer (object, "may_miss", step->may_miss);
  set_integer (object, "tail_limit_ms", step->tail_limit_ms);
  if (step->after_count > 0)
    {
      json_t *after = json_array ();
      for (uint32_t i = 0; i < step->after_count; i++)
        json_array_append_new (after, json_integer (step->after[i]));
      json_object_set_new (object, "after", after);
    }
  return object;
}

static json_t *
terms_to_json (const queue_t *terms)
{
  json_t *object = json_object ();
  set_integer (object, "priority", terms->priority);
  set_integer (object, "max_attempts", terms->max_attempts);
  json_object_set_new (object, "stretch", json_real (terms->stretch));
  set_integer (object, "target_ms", terms->target_ms);
  if (!terms->advised)
    return object;
  set_flag (object, "advised", true);
  json_object_set_new (object, "advice_ms", json_real (terms->advice_ms));
  json_object_set_new (object, "advice_each_ms",
                       json_real (terms->advice_each_ms));
  set_integer (object, "ticket_validity_ms", terms->ticket_validity_ms);
  return object;
}

char *
work_job_encode (const work_job_t *job)
{
  json_t *object = json_object ();
  set_text (object, "id", job->id);
  set_text (object, "queue", job->queue);
  set_text (object, "spec", job->spec);
  set_integer (object, "times", job->times);
  set_integer (object, "first_due_ms", job->first_due_ms);
  set_integer (object, "interval_ms", job->interval_ms);
  set_integer (object, "accepted_ms", job->accepted_ms);
  set_flag (object, "cancelled", job->cancelled);
  set_integer (object, "config_version", (int64_t)job->config_version);
  if (job->terms != NULL)
    json_object_set_new (object, "terms", terms_to_json (job->terms));
  json_t *steps = json_array ();
  for (uint32_t i = 0; i < job->step_count; i++)
    json_array_append_new (steps, step_to_json (&job->steps[i]));
  json_object_set_new (object, "steps", steps);
  char *text = json_dumps (object, JSON_COMPACT);
  json_decref (object);
  return text;
}

static bool
get_size (const json_t *object, const char *key, int64_t *value)
{
  return number_member (object, key, 0, WORK_MAX_SIZE, value);
}

static bool
get_flag (const json_t *object, const char *key)
{
  return json_is_true (json_object_get (object, key));
}

static char *
get_text (const json_t *object, const char *key)
{
  return g_strdup (json_string_value (json_object_get (object, key)));
}

bool
work_step_set_after (work_step_t *step, const json_t *list)
{
  if (list != NULL && !json_is_array (list))
    return false;
  step->after_count = (uint32_t)json_array_size (list);
  step->after = g_new0 (uint32_t, step->after_count);
  for (uint32_t i = 0; i < step->after_count; i++)
    {
      int64_t number;
      if (!number_read (json_array_get (list, i), 0, WORK_MAX_STEPS, &number))
        return false;
      step->after[i] = (uint32_t)number;
    }
  return true;
}

static bool
step_from_json (work_step_t *step, const json_t *object)
{
  step->gang = get_flag (object, "gang");
  step->rack_bound = get_flag (object, "rack_bound");
  step->speculative = get_flag (object, "speculative");
  step->lasting = get_flag (object, "lasting");
  step->checkpoints = get_flag (object, "checkpoints");
  step->filler = get_flag (object, "filler");
  step->label = get_text (object, "label");
  step->data_rack = get_text (object, "data_rack");
  step->image = get_text (object, "image");
  return number_member_u32 (object, "count", &step->count)
         && get_size (object, "cpu_millis", &step->need.cpu_millis)
         && get_size (object, "memory_mib", &step->need.memory_mib)
         && get_size (object, "accelerators", &step->need.accelerators)
         && get_size (object, "estimate_ms", &step->estimate_ms)
         && get_size (object, "tail_limit_ms", &step->tail_limit_ms)
         && number_member_u32 (object, "spread", &step->spread)
         && number_member_u32 (object, "may_miss", &step->may_miss)
         && work_step_set_after (step, json_object_get (object, "after"));
}

static bool
occurrences_from_json (work_job_t *job, const json_t *object)
{
  return number_member_u32 (object, "times", &job->times)
         && number_member (object, "first_due_ms", 0, NUMBER_MAX_WALL_MS,
                           &job->first_due_ms)
         && get_size (object, "interval_ms", &job->interval_ms)
         && number_member (object, "accepted_ms", 0, NUMBER_MAX_WALL_MS,
                           &job->accepted_ms);
}

#define MAX_STRETCH 1e6

/* Returns NULL if OBJECT, which rows of earlier versions lack, can't be read.
 */
static queue_t *
terms_from_json (const json_t *object, const char *name)
{
  const double most_ms = (double)NUMBER_MAX_DURATION_MS;
  queue_t *terms = queue_new ();
  terms->name = g_strdup (name);
  terms->advised = get_flag (object, "advised");
  if (json_is_object (object)
      && number_member_u32 (object, "priority", &terms->priority)
      && number_member_u32 (object, "max_attempts", &terms->max_attempts)
      && number_member_real (object, "stretch", 0, MAX_STRETCH,
                             &terms->stretch)
      && number_member (object, "target_ms", 0, NUMBER_MAX_DURATION_MS,
                        &terms->target_ms)
      && number_member_real (object, "advice_ms", 0, most_ms,
                             &terms->advice_ms)
      && number_member_real (object, "advice_each_ms", 0, most_ms,
                             &terms->advice_each_ms)
      && number_member (object, "ticket_validity_ms", 0,
                        NUMBER_MAX_DURATION_MS, &terms->ticket_validity_ms))
    return terms;
  queue_free (terms);
  return NULL;
}

work_job_t *
work_job_decode (const char *text, size_t length, GError **error)
{
  work_job_t *job = NULL;
  json_t *object = json_loadb (text, length, 0, NULL);
  const char *id = json_string_value (json_object_get (object, "id"));
  const char *queue = json_string_value (json_object_get (object, "queue"));
  const json_t *steps = json_object_get (object, "steps");
  if (id == NULL || queue == NULL || !work_id_valid (id))
    {
      g_set_error (error, ERROR_DOMAIN, ERR_BAD_REQUEST,
                   "stored job: expected a JSON object with id and queue");
      goto out;
    }
  job = work_job_new (id, queue, (uint32_t)json_array_size (steps));
  job->spec = get_text (object, "spec");
  job->cancelled = get_flag (object, "cancelled");
  int64_t config_version = 0;
  if (number_member (object, "config_version", 0, NUMBER_MAX, &config_version))
    job->config_version = (uint64_t)config_version;
  job->terms = terms_from_json (json_object_get (object, "terms"), queue);
  bool ok = occurrences_from_json (job, object);
  for (uint32_t i = 0; ok && i < job->step_count; i++)
    ok = step_from_json (&job->steps[i], json_array_get (steps, i));
  if (!ok)
    g_set_error (error, ERROR_DOMAIN, ERR_BAD_REQUEST,
                 "stored job: a number is out of range or of another type");
  if (!ok || !work_job_check (job, error))
    {
      work_job_free (job);
      job = NULL;
    }
out:
  json_decref (object);
  return job;
}

bool
work_job_has_lasting_step (const work_job_t *job)
{
  for (uint32_t i = 0; i < job->step_count; i++)
    if (job->steps[i].lasting)
      return true;
  return false;
}

void
work_name_format (char out[WORK_NAME_BYTES], const char *id,
                  uint32_t occurrence, uint32_t step, uint32_t index)
{
  snprintf (out, WORK_NAME_BYTES, "%s.%u.%u.%u", id, occurrence, step, index);
}

void
work_step_name_format (char out[WORK_NAME_BYTES], const char *id,
                       uint32_t occurrence, uint32_t step)
{
  snprintf (out, WORK_NAME_BYTES, "%s.%u.%u", id, occurrence, step);
}

/* Reads ".NUMBER" at *TEXT and advances *TEXT past it.  */
static bool
read_part (const char **text, uint32_t *value)
{
  if (**text != '.' || !g_ascii_isdigit ((*text)[1]))
    return false;
  char *end;
  guint64 number = g_ascii_strtoull (*text + 1, &end, 10);
  if (number > G_MAXUINT32)
    return false;
  *value = (uint32_t)number;
  *text = end;
  return true;
}

bool
work_name_parse (const char *text, work_name_t *name)
{
  if (strlen (text) <= WORK_ID_LENGTH || text[WORK_ID_LENGTH] != '.')
    return false;
  memcpy (name->id, text, WORK_ID_LENGTH);
  name->id[WORK_ID_LENGTH] = '\0';
  const char *rest = text + WORK_ID_LENGTH;
  return work_id_valid (name->id) && read_part (&rest, &name->occurrence)
         && read_part (&rest, &name->step) && read_part (&rest, &name->index)
         && *rest == '\0';
}
