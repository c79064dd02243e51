#include "dispatch_internal.h"

/* Further team names in requests count as the unknown team, number 0, so that
   invented names cannot use up memory.  Configured teams are always added.  */
#define MAX_CALLER_TEAMS 256

static const char *const class_names[CLASS_COUNT]
    = { "urgent", "standard", "bulk" };

uint32_t
dispatch_team_number (dispatch_t *dispatch, const char *name,
                      bool ignore_limit)
{
  const uint32_t *known = g_hash_table_lookup (dispatch->team_numbers, name);
  if (known != NULL)
    return *known;
  if (!ignore_limit && dispatch->teams->len >= MAX_CALLER_TEAMS)
    return 0;
  team_t team = { .name = g_strdup (name), .weight = 1 };
  g_array_append_val (dispatch->teams, team);
  uint32_t number = dispatch->teams->len - 1;
  g_hash_table_insert (dispatch->team_numbers, team.name,
                       g_memdup2 (&number, sizeof number));
  return number;
}

void
dispatch_teams_free (dispatch_t *dispatch)
{
  for (guint i = 0; i < dispatch->teams->len; i++)
    g_free (g_array_index (dispatch->teams, team_t, i).name);
  g_array_unref (dispatch->teams);
  g_hash_table_unref (dispatch->team_numbers);
}

void
dispatch_team_set (dispatch_t *dispatch, const char *name, double urgent_per_s,
                   double burst, uint32_t weight)
{
  dispatch_read_clock (dispatch);
  uint32_t number = dispatch_team_number (dispatch, name, true);
  team_t *team = &g_array_index (dispatch->teams, team_t, number);
  if (team->urgent_limited)
    ratelimit_change (&team->urgent_limit, urgent_per_s, burst,
                      dispatch->now_ms);
  else
    ratelimit_init (&team->urgent_limit, urgent_per_s, burst,
                    dispatch->now_ms);
  team->urgent_limited = true;
  team->weight = MAX (weight, 1);
  for (guint i = 0; i < dispatch->service_list->len; i++)
    {
      service_t *service = g_ptr_array_index (dispatch->service_list, i);
      admit_set_team_weight (service->admit, number, team->weight);
    }
}

void
dispatch_metrics_init (metrics_t *metrics, counter_registry_t *registry)
{
  for (int i = 0; i < CLASS_COUNT; i++)
    {
      char *labels = g_strdup_printf ("class=\"%s\"", class_names[i]);
      metrics->requests[i]
          = counter_get (registry, "magnoliadock_requests_total", labels);
      metrics->queue_wait[i]
          = counter_histogram (registry, "magnoliadock_queue_wait_us", labels);
      g_free (labels);
    }
  for (int i = 0; i < ERR_KIND_COUNT; i++)
    {
      char *labels
          = g_strdup_printf ("reason=\"%s\"", err_name ((err_kind_t)i));
      metrics->refused[i] = counter_get (
          registry, "magnoliadock_requests_refused_total", labels);
      g_free (labels);
    }
  metrics->retries
      = counter_get (registry, "magnoliadock_retries_total", NULL);
  metrics->hand_overs
      = counter_get (registry, "magnoliadock_hand_overs_total", NULL);
  metrics->abandoned_attempts
      = counter_get (registry, "magnoliadock_abandoned_attempts_total", NULL);
  metrics->late_attempt_ends
      = counter_get (registry, "magnoliadock_late_attempt_ends_total", NULL);
  metrics->ejections
      = counter_get (registry, "magnoliadock_ejections_total", NULL);
  metrics->slots_given
      = counter_get (registry, "magnoliadock_slots_given_total", NULL);
  metrics->slots_learned
      = counter_get (registry, "magnoliadock_slots_learned_total", NULL);
  metrics->slot_wants
      = counter_get (registry, "magnoliadock_slot_wants_total", NULL);
}

static json_t *
class_status (const dispatch_t *dispatch, const service_t *service,
              class_t class)
{
  json_t *teams = json_object ();
  for (guint i = 0; i < dispatch->teams->len; i++)
    {
      uint32_t queued = admit_team_count (service->admit, class, i);
      const char *name = g_array_index (dispatch->teams, team_t, i).name;
      if (queued > 0)
        json_object_set_new (teams, name, json_integer (queued));
    }
  return json_pack ("{s:I, s:o}", "queued",
                    (json_int_t)admit_class_count (service->admit, class),
                    "teams", teams);
}

static json_t *
service_status (const dispatch_t *dispatch, const service_t *service)
{
  json_t *classes = json_object ();
  json_t *ejected = json_array ();
  for (int i = 0; i < CLASS_COUNT; i++)
    json_object_set_new (classes, class_names[i],
                         class_status (dispatch, service, (class_t)i));
  for (guint i = 0; i < service->processes->len; i++)
    {
      const process_t *process = service->processes->pdata[i];
      if (process->outlier.ejected)
        json_array_append_new (ejected, json_string (process->id));
    }
  return json_pack ("{s:s, s:I, s:I, s:I, s:I, s:I, s:o, s:o}", "policy",
                    admit_policy (service->admit), "processes",
                    (json_int_t)service->processes->len, "slots",
                    (json_int_t)service->own_slots, "free",
                    (json_int_t)service->free_slots, "in_flight",
                    (json_int_t)service->in_flight, "queued",
                    (json_int_t)admit_count (service->admit), "classes",
                    classes, "ejected", ejected);
}

json_t *
dispatch_status (const dispatch_t *dispatch)
{
  json_t *services = json_object ();
  for (guint i = 0; i < dispatch->service_list->len; i++)
    {
      const service_t *service = g_ptr_array_index (dispatch->service_list, i);
      json_object_set_new (services, service->name,
                           service_status (dispatch, service));
    }
  json_t *row = share_row (dispatch->share);
  json_t *shares
      = json_pack ("{s:I, s:b, s:O?}", "version",
                   (json_int_t)share_version (dispatch->share), "member",
                   (int)share_is_member (dispatch->share), "row", row);
  return json_pack ("{s:s, s:s, s:b, s:I, s:o, s:o}", "entry", dispatch->self,
                    "zone", dispatch->zone, "draining",
                    (int)dispatch->draining, "requests",
                    (json_int_t)dispatch->request_count, "services", services,
                    "shares", shares);
}
