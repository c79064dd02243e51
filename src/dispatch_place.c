#include "dispatch_internal.h"

#include <string.h>

/* Each entry may use the connection limit of a process divided by this, so
   that up to this many entries of a zone together stay within the limit.  */
#define MAX_ENTRIES_PER_ZONE 8
#define DEFAULT_CONNECTION_LIMIT 64
#define DEFAULT_QUEUE_LIMIT 2048
#define DEFAULT_SPILL_AFTER_MS 50
/* A queued request is sent only if at least the mean hold time of a slot times
   this is left until its deadline (see is_too_late).  In an overload requests
   are sent when just that time is left; with the mean alone about half of them
   would end after their deadline.  */
#define HOLD_TIME_FACTOR 1.5
#define DEFAULT_RETRY_PERCENT 10

static const uint32_t default_weight[CLASS_COUNT] = { 50, 35, 15 };

service_t *
dispatch_ensure_service (dispatch_t *dispatch, const char *name)
{
  service_t *service = g_hash_table_lookup (dispatch->services, name);
  if (service != NULL)
    return service;
  service = g_new0 (service_t, 1);
  service->name = g_strdup (name);
  admit_settings_t settings = { .queue_limit = DEFAULT_QUEUE_LIMIT };
  memcpy (settings.weight, default_weight, sizeof settings.weight);
  service->admit = admit_new (&settings);
  for (guint i = 0; i < dispatch->teams->len; i++)
    admit_set_team_weight (service->admit, i,
                           g_array_index (dispatch->teams, team_t, i).weight);
  retry_budget_init (&service->retry_budget, DEFAULT_RETRY_PERCENT);
  service->spill_after_ms = DEFAULT_SPILL_AFTER_MS;
  service->processes = g_ptr_array_new ();
  service->peer_loads = g_array_new (FALSE, TRUE, sizeof (peer_load_t));
  g_hash_table_insert (dispatch->services, service->name, service);
  g_ptr_array_add (dispatch->service_list, service);
  return service;
}

void
dispatch_service_free (gpointer data)
{
  service_t *service = data;
  admit_free (service->admit);
  g_ptr_array_unref (service->processes);
  g_array_unref (service->peer_loads);
  g_free (service->free_processes);
  g_free (service->name);
  g_free (service);
}

err_kind_t
dispatch_service_set (dispatch_t *dispatch, const char *name,
                      const dispatch_policy_t *policy)
{
  service_t *service = dispatch_ensure_service (dispatch, name);
  admit_settings_t settings = { policy->policy, { 0 }, policy->queue_limit };
  if (settings.queue_limit == 0)
    settings.queue_limit = DEFAULT_QUEUE_LIMIT;
  for (int i = 0; i < CLASS_COUNT; i++)
    settings.weight[i]
        = policy->weight[i] > 0 ? policy->weight[i] : default_weight[i];
  if (!admit_configure (service->admit, &settings))
    return ERR_BAD_REQUEST;
  service->spill_after_ms = policy->spill_after_ms > 0
                                ? policy->spill_after_ms
                                : DEFAULT_SPILL_AFTER_MS;
  service->retry_budget.tokens_per_request
      = (policy->retry_percent > 0 ? policy->retry_percent
                                   : DEFAULT_RETRY_PERCENT)
        / 100.0;
  return ERR_OK;
}

void
dispatch_process_free (gpointer data)
{
  process_t *process = data;
  g_free (process->id);
  g_free (process->url);
  g_free (process);
}

static void
update_free_processes (service_t *service, process_t *process,
                       bool has_free_slots)
{
  if (has_free_slots == (process->free_index != SHARE_NONE))
    return;
  if (has_free_slots)
    {
      process->free_index = service->free_process_count;
      service->free_processes[service->free_process_count++] = process;
      return;
    }
  process_t *last = service->free_processes[--service->free_process_count];
  service->free_processes[process->free_index] = last;
  last->free_index = process->free_index;
  process->free_index = SHARE_NONE;
}

void
dispatch_refresh_process (dispatch_t *dispatch, process_t *process)
{
  service_t *service = process->service;
  int32_t slots = share_slots (dispatch->share, process->ledger_number);
  service->own_slots
      += (uint32_t)MAX (slots, 0) - (uint32_t)MAX (process->slots, 0);
  process->slots = slots;
  uint32_t usable = (uint32_t)MAX (slots, 0);
  /* A lowered limit holds at once, before the row follows it.  */
  uint32_t limit = share_limit (dispatch->share, process->ledger_number);
  if (process->request_limit < limit)
    usable = (uint32_t)((uint64_t)usable * process->request_limit / limit);
  usable
      = MIN (usable, process->own_connection_limit - process->outlier.probing);
  uint32_t free_slots = 0;
  if (!process->leaving && !process->removed && !process->outlier.ejected
      && usable > process->in_flight)
    free_slots = usable - process->in_flight;
  service->free_slots += free_slots - process->free_slots;
  process->free_slots = free_slots;
  update_free_processes (service, process, free_slots > 0);
}

static process_t *
find_process (const dispatch_t *dispatch, const char *id)
{
  return g_hash_table_lookup (dispatch->processes, id);
}

/* Gives up the ledger number of PROCESS, which no longer stands for it.  */
static void
release_number (dispatch_t *dispatch, process_t *process)
{
  if (process->ledger_number == SHARE_NONE)
    return;
  dispatch->processes_by_number->pdata[process->ledger_number] = NULL;
  share_process_gone (dispatch->share, process->ledger_number,
                      dispatch->now_ms);
  process->ledger_number = SHARE_NONE;
}

void
dispatch_resolve_process (dispatch_t *dispatch, process_t *process)
{
  uint32_t number = share_resolve_process (dispatch->share, process->id,
                                           process->incarnation);
  if (number != process->ledger_number)
    {
      release_number (dispatch, process);
      process->ledger_number = number;
      if (number >= dispatch->processes_by_number->len)
        g_ptr_array_set_size (dispatch->processes_by_number, (gint)number + 1);
      dispatch->processes_by_number->pdata[number] = process;
    }
  share_process_listed (dispatch->share, number, process->request_limit,
                        dispatch->now_ms);
  dispatch_refresh_process (dispatch, process);
}

/* Takes process ID out of the removed processes with requests in flight and
   returns it, NULL if it is not there.  Those requests must go on counting:
   they may have reached the process that runs now.  */
static process_t *
take_removed_process (dispatch_t *dispatch, const char *id,
                      const service_t *service)
{
  for (guint i = 0; i < dispatch->removed_processes->len; i++)
    {
      process_t *process = dispatch->removed_processes->pdata[i];
      if (process->service == service && strcmp (process->id, id) == 0)
        return g_ptr_array_steal_index_fast (dispatch->removed_processes, i);
    }
  return NULL;
}

static process_t *
add_process (dispatch_t *dispatch, const dispatch_backend_t *backend)
{
  service_t *service = dispatch_ensure_service (dispatch, backend->service);
  process_t *process = take_removed_process (dispatch, backend->id, service);
  if (process == NULL)
    {
      process = g_new0 (process_t, 1);
      process->id = g_strdup (backend->id);
      process->service = service;
      process->free_index = SHARE_NONE;
    }
  process->removed = false;
  process->outlier = (outlier_t){ 0 };
  process->slots = 0;
  process->incarnation = backend->incarnation;
  process->ledger_number = SHARE_NONE;
  process->service_index = service->processes->len;
  g_ptr_array_add (service->processes, process);
  if (service->processes->len > service->free_process_capacity)
    {
      service->free_process_capacity
          = MAX (64, service->free_process_capacity * 2);
      service->free_processes = g_renew (process_t *, service->free_processes,
                                         service->free_process_capacity);
    }
  g_hash_table_insert (dispatch->processes, process->id, process);
  return process;
}

void
dispatch_backend_remove (dispatch_t *dispatch, const char *id)
{
  dispatch_read_clock (dispatch);
  process_t *process = find_process (dispatch, id);
  if (process == NULL)
    return;
  service_t *service = process->service;
  process->removed = true;
  dispatch_refresh_process (dispatch, process);
  release_number (dispatch, process);
  service->own_slots -= (uint32_t)MAX (process->slots, 0);
  service->ejected_count -= process->outlier.ejected;
  g_ptr_array_remove_index_fast (service->processes, process->service_index);
  if (process->service_index < service->processes->len)
    ((process_t *)service->processes->pdata[process->service_index])
        ->service_index
        = process->service_index;
  g_hash_table_steal (dispatch->processes, id);
  if (process->in_flight > 0)
    g_ptr_array_add (dispatch->removed_processes, process);
  else
    dispatch_process_free (process);
}

void
dispatch_backend_set (dispatch_t *dispatch, const dispatch_backend_t *backend)
{
  dispatch_read_clock (dispatch);
  process_t *process = find_process (dispatch, backend->id);
  if (process != NULL && backend->incarnation < process->incarnation)
    return;
  if (process == NULL)
    process = add_process (dispatch, backend);
  /* Requests in flight keep their slots: they may have reached the restarted
     process before the instance list showed it.  */
  if (backend->incarnation > process->incarnation)
    {
      process->incarnation = backend->incarnation;
      process->service->ejected_count -= process->outlier.ejected;
      process->outlier = (outlier_t){ 0 };
    }
  if (g_strcmp0 (process->url, backend->url) != 0)
    {
      g_free (process->url);
      process->url = g_strdup (backend->url);
    }
  process->leaving = backend->leaving;
  uint32_t connections = backend->connection_limit > 0
                             ? backend->connection_limit
                             : DEFAULT_CONNECTION_LIMIT;
  process->own_connection_limit = MAX (connections / MAX_ENTRIES_PER_ZONE, 1);
  process->request_limit = backend->request_limit;
  dispatch_resolve_process (dispatch, process);
  dispatch_send_queued (dispatch, process->service);
}

static bool
is_less_loaded (const process_t *a, const process_t *b)
{
  return (uint64_t)a->in_flight * (uint32_t)b->slots
         < (uint64_t)b->in_flight * (uint32_t)a->slots;
}

/* Draws two of the processes with a free slot and returns the less loaded one
   ("power of two choices"), or not AVOID if that is one of them.  */
static process_t *
pick_process (dispatch_t *dispatch, const service_t *service,
              const process_t *avoid)
{
  uint32_t count = service->free_process_count;
  if (count == 1)
    return service->free_processes[0];
  uint32_t draw = g_rand_int (dispatch->random);
  uint32_t first = (uint32_t)(((uint64_t)(draw & 0xffff) * count) >> 16);
  uint32_t second = (uint32_t)(((uint64_t)(draw >> 16) * (count - 1)) >> 16);
  second += second >= first;
  process_t *first_choice = service->free_processes[first];
  process_t *second_choice = service->free_processes[second];
  if (first_choice == avoid)
    return second_choice;
  if (second_choice == avoid)
    return first_choice;
  return is_less_loaded (second_choice, first_choice) ? second_choice
                                                      : first_choice;
}

static void
send_request (dispatch_t *dispatch, request_t *request, process_t *process)
{
  dispatch_clear_timer (request);
  if (request->attempt == 0)
    histogram_add (dispatch->metrics.queue_wait[request->item.class],
                   (uint64_t)(dispatch->now_us - request->submitted_us));
  request->phase = PHASE_IN_FLIGHT;
  request->process = process;
  request->last_process = process;
  request->sent_us = dispatch->now_us;
  request->attempt++;
  process->in_flight++;
  service_t *service = process->service;
  service->in_flight++;
  service->peak_in_flight = MAX (service->peak_in_flight, service->in_flight);
  dispatch_refresh_process (dispatch, process);
  dispatch->actions->send (dispatch->context, request->id, request->attempt,
                           process->id, process->url, !request->idempotent);
}

/* Returns whether REQUEST was queued for so long that it would probably not
   end before its deadline.  One whose deadline was too short from the start is
   sent all the same: the average may be that of other kinds of requests.  */
static bool
is_too_late (const dispatch_t *dispatch, const service_t *service,
             const request_t *request)
{
  int64_t left_ms = request->deadline_ms - dispatch->now_ms;
  double held_ms = admit_mean_hold_ms (service->admit, request->item.class)
                   * HOLD_TIME_FACTOR;
  return left_ms <= 0
         || ((double)left_ms < held_ms
             && (double)(request->deadline_ms - request->item.arrival_ms)
                    >= held_ms);
}

void
dispatch_send_queued (dispatch_t *dispatch, service_t *service)
{
  while (service->free_process_count > 0)
    {
      /* Idle slots of leaving and ejected processes are left out.  */
      uint32_t usable = service->free_slots + service->in_flight;
      admit_item_t *item = admit_pop (service->admit, dispatch->now_ms,
                                      service->free_slots, usable);
      if (item == NULL)
        return;
      request_t *request = (request_t *)(void *)item;
      if (is_too_late (dispatch, service, request))
        {
          dispatch_refuse_request (dispatch, request, ERR_DEADLINE, 0);
          continue;
        }
      send_request (dispatch, request,
                    pick_process (dispatch, service, request->last_process));
    }
}

/* Returns the peer of another zone that advertises the most free slots for
   SERVICE, or SHARE_NONE.  */
static uint32_t
best_remote_peer (const dispatch_t *dispatch, const service_t *service)
{
  uint32_t best = SHARE_NONE, max_free_slots = 0;
  for (guint i = 0; i < service->peer_loads->len; i++)
    {
      const peer_load_t *load
          = &g_array_index (service->peer_loads, peer_load_t, i);
      const peer_t *peer = g_ptr_array_index (dispatch->peers, i);
      if (!peer->up || peer->leaving || peer->own_zone
          || load->free_slots <= max_free_slots)
        continue;
      max_free_slots = load->free_slots;
      best = i;
    }
  return best;
}

bool
dispatch_has_remote_slots (const dispatch_t *dispatch,
                           const service_t *service)
{
  return best_remote_peer (dispatch, service) != SHARE_NONE;
}

void
dispatch_spill (dispatch_t *dispatch, service_t *service)
{
  while (service->free_process_count == 0)
    {
      request_t *request = (request_t *)(void *)admit_peek (service->admit);
      if (request == NULL || request->handed_over || request->no_hand_over
          || request->deadline_ms <= dispatch->now_ms)
        return;
      if (service->processes->len > 0
          && dispatch->now_ms - request->item.arrival_ms
                 < service->spill_after_ms)
        return;
      uint32_t remote = best_remote_peer (dispatch, service);
      if (remote == SHARE_NONE)
        return;
      const peer_t *peer = g_ptr_array_index (dispatch->peers, remote);
      /* Each hand-over takes one of the advertised slots; the peer's next
         heartbeat brings the true number.  */
      g_array_index (service->peer_loads, peer_load_t, remote).free_slots--;
      admit_pop (service->admit, dispatch->now_ms, ADMIT_NO_RESERVE, 0);
      dispatch_clear_timer (request);
      request->phase = PHASE_AT_PEER;
      request->peer = remote;
      request->attempt++;
      request->sent_us = dispatch->now_us;
      counter_add (dispatch->metrics.hand_overs, 1);
      dispatch->actions->hand_over (dispatch->context, request->id,
                                    request->attempt, peer->name);
    }
}

void
dispatch_record_result (dispatch_t *dispatch, process_t *process,
                        outlier_result_t result, double latency_ms)
{
  service_t *service = process->service;
  if (outlier_record (&process->outlier, result, latency_ms)
      && outlier_eject (&process->outlier, service->ejected_count,
                        service->processes->len, dispatch->now_ms))
    {
      service->ejected_count++;
      counter_add (dispatch->metrics.ejections, 1);
    }
}

typedef struct
{
  dispatch_t *dispatch;
  service_t *service;
} review_context_t;

static void
on_outlier_changed (void *context, uint32_t index, outlier_reason_t reason)
{
  const review_context_t *review = context;
  process_t *process = review->service->processes->pdata[index];
  if (reason == OUTLIER_NONE)
    review->service->ejected_count--;
  else
    {
      review->service->ejected_count++;
      counter_add (review->dispatch->metrics.ejections, 1);
    }
  dispatch_refresh_process (review->dispatch, process);
}

void
dispatch_review_outliers (dispatch_t *dispatch, service_t *service)
{
  guint count = service->processes->len;
  if (count == 0)
    return;
  outlier_t **outliers = g_new (outlier_t *, count);
  for (guint i = 0; i < count; i++)
    outliers[i] = &((process_t *)service->processes->pdata[i])->outlier;
  review_context_t review = { dispatch, service };
  outlier_review (outliers, count, dispatch->now_ms, on_outlier_changed,
                  &review);
  g_free (outliers);
}

void
dispatch_start_probes (dispatch_t *dispatch, service_t *service)
{
  for (guint i = 0; i < service->processes->len; i++)
    {
      process_t *process = service->processes->pdata[i];
      /* A probe needs one of the connections, like a request.  */
      if (!outlier_probe_due (&process->outlier, dispatch->now_ms)
          || process->in_flight >= process->own_connection_limit)
        continue;
      outlier_probe_started (&process->outlier);
      dispatch->actions->probe (dispatch->context, process->id, process->url);
    }
}

void
dispatch_probe_ended (dispatch_t *dispatch, const char *backend,
                      err_kind_t kind)
{
  dispatch_read_clock (dispatch);
  process_t *process = find_process (dispatch, backend);
  if (process == NULL)
    return;
  bool was_ejected = process->outlier.ejected;
  outlier_probe_ended (&process->outlier, kind == ERR_OK, dispatch->now_ms);
  if (was_ejected && !process->outlier.ejected)
    process->service->ejected_count--;
  dispatch_refresh_process (dispatch, process);
  dispatch_send_queued (dispatch, process->service);
}
