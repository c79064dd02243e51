#include "dispatch_internal.h"

#define TICK_MS 10
#define US_PER_MS 1000
#define REQUESTS_PER_CHUNK 1024
#define INITIAL_TABLE_SIZE 4096
#define REVIEW_PERIOD_MS 1000
#define PROBE_PERIOD_MS 100
/* An entry keeps as many slots as it had in use at once within two such
   windows; longer ones delay giving slots away when callers move to another
   entry.  */
#define DEMAND_WINDOW_MS 50
/* Outcomes are guaranteed to be kept for twice the longest deadline.  */
#define OUTCOME_RETENTION_MS 120000
/* Enough for 8,333 non-idempotent requests with an id per second; 46 MB when
   full.  */
#define MAX_CALLER_OUTCOMES 1000000
/* Enough for 2,083 hand-overs per second; 12 MB when full.  */
#define MAX_HANDED_OVER_OUTCOMES 250000
#define DEFAULT_RETRY_AFTER_MS 1000
/* A backend server stops at the deadline sent with the request; this covers
   the network latency and the difference between both clocks.  */
#define ABANDONED_MARGIN_MS 2000

void
dispatch_read_clock (dispatch_t *dispatch)
{
  dispatch->now_us = clk_now_ns (dispatch->clock) / 1000;
  dispatch->now_ms = dispatch->now_us / US_PER_MS;
}

dispatch_t *
dispatch_new (const char *self, const char *zone,
              const dispatch_actions_t *actions, void *context,
              const clk_t *clock, counter_registry_t *registry, uint32_t seed)
{
  dispatch_t *dispatch = g_new0 (dispatch_t, 1);
  dispatch->self = g_strdup (self);
  dispatch->zone = g_strdup (zone);
  dispatch->actions = actions;
  dispatch->context = context;
  dispatch->clock = clock;
  dispatch->random = g_rand_new_with_seed (seed);
  dispatch_metrics_init (&dispatch->metrics, registry);
  dispatch->services = g_hash_table_new (g_str_hash, g_str_equal);
  dispatch->service_list
      = g_ptr_array_new_with_free_func (dispatch_service_free);
  dispatch->processes = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                               dispatch_process_free);
  dispatch->processes_by_number = g_ptr_array_new ();
  dispatch->abandoned_slots
      = g_array_new (FALSE, FALSE, sizeof (abandoned_slot_t));
  dispatch->removed_processes
      = g_ptr_array_new_with_free_func (dispatch_process_free);
  dispatch->peers = g_ptr_array_new ();
  dispatch->team_numbers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  dispatch->teams = g_array_new (FALSE, TRUE, sizeof (team_t));
  dispatch_team_number (dispatch, "", true);
  dispatch->share = share_new (self);
  dispatch->caller_outcomes
      = outcome_table_new (OUTCOME_RETENTION_MS, MAX_CALLER_OUTCOMES);
  dispatch->handed_over_outcomes
      = outcome_table_new (OUTCOME_RETENTION_MS, MAX_HANDED_OVER_OUTCOMES);
  dispatch->request_table_size = INITIAL_TABLE_SIZE;
  dispatch->request_table = g_new0 (request_t *, INITIAL_TABLE_SIZE);
  dispatch->request_chunks = g_ptr_array_new_with_free_func (g_free);
  dispatch_read_clock (dispatch);
  dispatch->wheel_last_bucket = dispatch->now_ms / WHEEL_BUCKET_MS;
  return dispatch;
}

void
dispatch_free (dispatch_t *dispatch)
{
  if (dispatch == NULL)
    return;
  for (guint i = 0; i < dispatch->peers->len; i++)
    {
      peer_t *peer = g_ptr_array_index (dispatch->peers, i);
      g_free (peer->name);
      g_free (peer->zone);
      g_free (peer);
    }
  g_ptr_array_unref (dispatch->peers);
  dispatch_teams_free (dispatch);
  g_hash_table_unref (dispatch->processes);
  g_ptr_array_unref (dispatch->processes_by_number);
  g_array_unref (dispatch->abandoned_slots);
  g_ptr_array_unref (dispatch->removed_processes);
  g_hash_table_unref (dispatch->services);
  g_ptr_array_unref (dispatch->service_list);
  share_free (dispatch->share);
  outcome_table_free (dispatch->caller_outcomes);
  outcome_table_free (dispatch->handed_over_outcomes);
  g_ptr_array_unref (dispatch->request_chunks);
  g_free (dispatch->request_table);
  g_rand_free (dispatch->random);
  g_free (dispatch->self);
  g_free (dispatch->zone);
  g_free (dispatch);
}

static request_t **
request_bucket (const dispatch_t *dispatch, uint64_t id)
{
  uint64_t mixed = id * UINT64_C (0x9e3779b97f4a7c15);
  return &dispatch->request_table[(mixed >> 32)
                                  & (dispatch->request_table_size - 1)];
}

static request_t *
find_request (const dispatch_t *dispatch, uint64_t id)
{
  request_t *request = *request_bucket (dispatch, id);
  while (request != NULL && request->id != id)
    request = request->next;
  return request;
}

static void
grow_request_table (dispatch_t *dispatch)
{
  request_t **old = dispatch->request_table;
  uint32_t old_size = dispatch->request_table_size;
  dispatch->request_table_size *= 2;
  dispatch->request_table = g_new0 (request_t *, dispatch->request_table_size);
  for (uint32_t i = 0; i < old_size; i++)
    while (old[i] != NULL)
      {
        request_t *request = old[i];
        old[i] = request->next;
        request_t **bucket = request_bucket (dispatch, request->id);
        request->next = *bucket;
        *bucket = request;
      }
  g_free (old);
}

static request_t *
allocate_request (dispatch_t *dispatch, uint64_t id)
{
  if (dispatch->free_requests == NULL)
    {
      request_t *chunk = g_new0 (request_t, REQUESTS_PER_CHUNK);
      g_ptr_array_add (dispatch->request_chunks, chunk);
      for (int i = 0; i < REQUESTS_PER_CHUNK; i++)
        {
          chunk[i].next = dispatch->free_requests;
          dispatch->free_requests = &chunk[i];
        }
    }
  if (dispatch->request_count >= dispatch->request_table_size)
    grow_request_table (dispatch);
  request_t *request = dispatch->free_requests;
  dispatch->free_requests = request->next;
  *request = (request_t){ .id = id };
  request_t **bucket = request_bucket (dispatch, id);
  request->next = *bucket;
  *bucket = request;
  dispatch->request_count++;
  return request;
}

static void
release_request (dispatch_t *dispatch, request_t *request)
{
  dispatch_clear_timer (request);
  request_t **link = request_bucket (dispatch, request->id);
  while (*link != request)
    link = &(*link)->next;
  *link = request->next;
  request->next = dispatch->free_requests;
  dispatch->free_requests = request;
  dispatch->request_count--;
}

void
dispatch_set_timer (dispatch_t *dispatch, request_t *request, int64_t due_ms)
{
  dispatch_clear_timer (request);
  request->timer_due_ms = due_ms;
  int64_t bucket = (due_ms + WHEEL_BUCKET_MS - 1) / WHEEL_BUCKET_MS;
  /* A timer beyond the wheel is set again when its bucket is processed.  */
  bucket = CLAMP (bucket, dispatch->wheel_last_bucket + 1,
                  dispatch->wheel_last_bucket + WHEEL_BUCKETS - 1);
  request_t **head = &dispatch->timer_wheel[bucket % WHEEL_BUCKETS];
  request->wheel_next = *head;
  request->wheel_link = head;
  if (*head != NULL)
    (*head)->wheel_link = &request->wheel_next;
  *head = request;
}

void
dispatch_clear_timer (request_t *request)
{
  if (request->wheel_link == NULL)
    return;
  *request->wheel_link = request->wheel_next;
  if (request->wheel_next != NULL)
    request->wheel_next->wheel_link = request->wheel_link;
  request->wheel_link = NULL;
}

/* Records how REQUEST ended.  A caller's request that is idempotent or did not
   run is removed, so that it may be repeated with the same id.  One from
   another entry is always kept, since a late copy of it must not run.  */
static void
record_outcome (dispatch_t *dispatch, const request_t *request,
                err_kind_t kind, uint16_t status, outcome_t outcome)
{
  if (request->outcome_table == NULL)
    return;
  if (request->outcome_table == dispatch->caller_outcomes
      && (request->idempotent || outcome == OUTCOME_NOT_RUN))
    {
      outcome_remove (request->outcome_table, request->outcome_key);
      return;
    }
  outcome_record_t record = { outcome, kind, status };
  outcome_end (request->outcome_table, request->outcome_key, dispatch->now_ms,
               record);
}

static void
refuse (dispatch_t *dispatch, uint64_t id, err_kind_t kind, outcome_t outcome,
        int64_t retry_after_ms, const char *detail)
{
  counter_add (dispatch->metrics.refused[kind], 1);
  dispatch->actions->refuse (dispatch->context, id, kind, outcome,
                             retry_after_ms, detail);
}

static const char *
refusal_detail (err_kind_t kind)
{
  switch (kind)
    {
    case ERR_UNKNOWN_SERVICE:
      return "no backend server of this service is known";
    case ERR_QUEUE_FULL:
      return "the queue of this class and team is full";
    case ERR_DEADLINE:
      return "the deadline does not leave time to wait for a slot";
    case ERR_NO_CAPACITY:
      return "no backend server of this service can be reached";
    case ERR_DRAINING:
      return "this entry is stopping";
    case ERR_IN_FLIGHT:
      return "a request with this id is in flight";
    case ERR_CONFLICT:
      return "a request with this id has ended already";
    default:
      return "the backend server did not answer in full";
    }
}

void
dispatch_refuse_request (dispatch_t *dispatch, request_t *request,
                         err_kind_t kind, int64_t retry_after_ms)
{
  uint64_t id = request->id;
  outcome_t outcome = (outcome_t)request->combined_outcome;
  record_outcome (dispatch, request, kind, 0, outcome);
  release_request (dispatch, request);
  refuse (dispatch, id, kind, outcome, retry_after_ms, refusal_detail (kind));
}

/* Registers the id of a request that has one.  Returns false, after refusing
   the request, if it must not run.  */
static bool
register_id (dispatch_t *dispatch, const dispatch_request_t *submitted,
             outcome_table_t *table, outcome_key_t key)
{
  outcome_record_t record = { OUTCOME_NOT_RUN, ERR_OK, 0 };
  outcome_seen_t known = outcome_begin (table, key, dispatch->now_ms, &record);
  if (known == OUTCOME_SEEN_ENDED && submitted->idempotent
      && table == dispatch->caller_outcomes)
    {
      outcome_remove (table, key);
      known = outcome_begin (table, key, dispatch->now_ms, NULL);
    }
  switch (known)
    {
    case OUTCOME_SEEN_NEVER:
      return true;
    case OUTCOME_SEEN_IN_FLIGHT:
      refuse (dispatch, submitted->id, ERR_IN_FLIGHT, OUTCOME_UNKNOWN, 0,
              refusal_detail (ERR_IN_FLIGHT));
      return false;
    case OUTCOME_SEEN_ENDED:
      refuse (dispatch, submitted->id, ERR_CONFLICT, record.outcome, 0,
              refusal_detail (ERR_CONFLICT));
      return false;
    case OUTCOME_SEEN_BARRED:
      refuse (dispatch, submitted->id, ERR_CONFLICT, OUTCOME_NOT_RUN, 0,
              "the sending entry has queried the outcome already");
      return false;
    default:
      refuse (dispatch, submitted->id, ERR_QUEUE_FULL, OUTCOME_NOT_RUN,
              DEFAULT_RETRY_AFTER_MS, "the table of request outcomes is full");
      return false;
    }
}

/* Returns why a request must be refused at once, or ERR_OK if it may be
   queued.  */
static err_kind_t
check_admission (dispatch_t *dispatch, const service_t *service,
                 const dispatch_request_t *submitted, uint32_t team,
                 class_t class, int64_t *retry_after_ms)
{
  *retry_after_ms = DEFAULT_RETRY_AFTER_MS;
  if (dispatch->draining)
    return ERR_DRAINING;
  if (submitted->deadline_ms <= dispatch->now_ms)
    return ERR_DEADLINE;
  if (service->free_process_count > 0 && admit_count (service->admit) == 0)
    return ERR_OK;
  if (service->processes->len == 0
      && (submitted->handed_over
          || !dispatch_has_remote_slots (dispatch, service)))
    return ERR_NO_CAPACITY;
  int64_t wait_ms
      = admit_wait_ms (service->admit, class, team, service->own_slots);
  if (wait_ms > 0)
    *retry_after_ms = wait_ms;
  return dispatch->now_ms + wait_ms >= submitted->deadline_ms ? ERR_DEADLINE
                                                              : ERR_OK;
}

static class_t
effective_class (dispatch_t *dispatch, const dispatch_request_t *submitted,
                 uint32_t team_number)
{
  team_t *team = &g_array_index (dispatch->teams, team_t, team_number);
  /* The entry that handed a request over has already charged it to the
     limit.  */
  if (submitted->class == CLASS_URGENT && team->urgent_limited
      && !submitted->handed_over
      && !ratelimit_take (&team->urgent_limit, dispatch->now_ms))
    return CLASS_STANDARD;
  return submitted->class;
}

static void
enqueue_request (dispatch_t *dispatch, service_t *service,
                 const dispatch_request_t *submitted, uint32_t team,
                 class_t class, outcome_table_t *table, outcome_key_t key)
{
  request_t *request = allocate_request (dispatch, submitted->id);
  request->service = service;
  request->item.class = class;
  request->item.team = team;
  request->item.arrival_ms = dispatch->now_ms;
  request->submitted_us = dispatch->now_us;
  request->deadline_ms = submitted->deadline_ms;
  request->idempotent = submitted->idempotent;
  request->replayable = submitted->replayable;
  request->handed_over = submitted->handed_over;
  request->outcome_table = table;
  request->outcome_key = key;
  request->combined_outcome = OUTCOME_NOT_RUN;
  request->phase = PHASE_QUEUED;
  if (!admit_push (service->admit, &request->item))
    {
      int64_t wait_ms
          = admit_wait_ms (service->admit, class, team, service->own_slots);
      dispatch_refuse_request (dispatch, request, ERR_QUEUE_FULL,
                               wait_ms > 0 ? wait_ms : DEFAULT_RETRY_AFTER_MS);
      return;
    }
  retry_budget_earn (&service->retry_budget);
  dispatch_send_queued (dispatch, service);
  /* It may have been sent, refused and freed, or still be queued.  */
  request = find_request (dispatch, submitted->id);
  if (request == NULL || !request->item.queued)
    return;
  dispatch_set_timer (dispatch, request, request->deadline_ms);
  /* In an entry with many slots most requests get one before the next tick,
     which asks for the rest in one message.  */
  if (dispatch_is_short_of_slots (service))
    dispatch_ask_for_slots (dispatch, service);
  if (service->processes->len == 0)
    dispatch_spill (dispatch, service);
}

void
dispatch_submit (dispatch_t *dispatch, const dispatch_request_t *submitted)
{
  dispatch_read_clock (dispatch);
  class_t class = MIN (submitted->class, CLASS_BULK);
  counter_add (dispatch->metrics.requests[class], 1);
  const char *team_name = submitted->team != NULL ? submitted->team : "";
  outcome_table_t *table = NULL;
  outcome_key_t key = { submitted->origin_incarnation, submitted->origin_id };
  if (submitted->handed_over)
    table = dispatch->handed_over_outcomes;
  else if (submitted->request_id != NULL)
    {
      table = dispatch->caller_outcomes;
      key = outcome_caller_key (submitted->service, team_name,
                                submitted->request_id);
    }
  if (table != NULL && !register_id (dispatch, submitted, table, key))
    return;
  service_t *service
      = g_hash_table_lookup (dispatch->services, submitted->service);
  uint32_t team = dispatch_team_number (dispatch, team_name, false);
  int64_t retry_after_ms = 0;
  err_kind_t kind = ERR_UNKNOWN_SERVICE;
  if (service != NULL)
    {
      class = effective_class (dispatch, submitted, team);
      kind = check_admission (dispatch, service, submitted, team, class,
                              &retry_after_ms);
    }
  if (kind == ERR_OK)
    {
      enqueue_request (dispatch, service, submitted, team, class, table, key);
      return;
    }
  request_t refused = { .outcome_table = table, .outcome_key = key };
  record_outcome (dispatch, &refused, kind, 0, OUTCOME_NOT_RUN);
  refuse (dispatch, submitted->id, kind, OUTCOME_NOT_RUN, retry_after_ms,
          refusal_detail (kind));
}

void
dispatch_cancel (dispatch_t *dispatch, uint64_t id)
{
  dispatch_read_clock (dispatch);
  request_t *request = find_request (dispatch, id);
  if (request == NULL)
    return;
  if (request->phase == PHASE_IN_FLIGHT || request->phase == PHASE_AT_PEER)
    {
      request->cancelled = true;
      return;
    }
  if (request->item.queued)
    admit_remove (request->service->admit, &request->item);
  record_outcome (dispatch, request, ERR_CANCELLED, 0,
                  (outcome_t)request->combined_outcome);
  release_request (dispatch, request);
}

void
dispatch_answer_started (dispatch_t *dispatch, uint64_t id, uint32_t attempt)
{
  request_t *request = find_request (dispatch, id);
  if (request == NULL || request->attempt != attempt
      || request->answer_started)
    return;
  request->answer_started = true;
  request->first_byte_us = clk_now_ns (dispatch->clock) / 1000;
}

void
dispatch_set_replayable (dispatch_t *dispatch, uint64_t id, bool replayable)
{
  request_t *request = find_request (dispatch, id);
  if (request != NULL)
    request->replayable = replayable;
}

static void
release_slot (dispatch_t *dispatch, process_t *process)
{
  process->in_flight--;
  process->service->in_flight--;
  if (process->removed)
    {
      if (process->in_flight == 0)
        g_ptr_array_remove_fast (dispatch->removed_processes, process);
      return;
    }
  if (process->service->promised_slots > 0)
    dispatch_give_promised (dispatch, process);
  dispatch_refresh_process (dispatch, process);
}

/* Releases the slots of abandoned attempts that the backend server must have
   ended by now.  */
static void
release_abandoned_slots (dispatch_t *dispatch)
{
  for (guint i = 0; i < dispatch->abandoned_slots->len;)
    {
      abandoned_slot_t abandoned
          = g_array_index (dispatch->abandoned_slots, abandoned_slot_t, i);
      if (abandoned.release_ms > dispatch->now_ms)
        {
          i++;
          continue;
        }
      g_array_remove_index_fast (dispatch->abandoned_slots, i);
      release_slot (dispatch, abandoned.process);
    }
}

/* Records the result of the attempt at the process of REQUEST and releases
   its slot, or keeps it occupied if the attempt was abandoned.  */
static void
end_process_attempt (dispatch_t *dispatch, request_t *request, err_kind_t kind,
                     uint16_t http_status)
{
  process_t *process = request->process;
  service_t *service = request->service;
  double held_ms = (double)(dispatch->now_us - request->sent_us) / US_PER_MS;
  int64_t answered_us
      = request->answer_started ? request->first_byte_us : dispatch->now_us;
  double latency_ms = (double)(answered_us - request->sent_us) / US_PER_MS;
  outlier_result_t result = OUTLIER_OK;
  if (kind == ERR_CONNECT_FAILED)
    result = OUTLIER_CONNECT_FAILED;
  else if (http_status >= 500 || (kind != ERR_OK && kind != ERR_CANCELLED))
    result = OUTLIER_FAILED;
  request->process = NULL;
  if (kind == ERR_OK)
    admit_record_hold (service->admit, request->item.class, held_ms);
  if (!process->removed)
    dispatch_record_result (dispatch, process, result, latency_ms);
  if (!request->abandoned)
    {
      release_slot (dispatch, process);
      return;
    }
  request->abandoned = false;
  abandoned_slot_t abandoned
      = { process, request->deadline_ms + ABANDONED_MARGIN_MS };
  g_array_append_val (dispatch->abandoned_slots, abandoned);
}

/* Puts a request that another zone's entry has refused back at the front of
   its queue.  Returns false if it must not be sent again.  */
static bool
requeue_refused (dispatch_t *dispatch, request_t *request, err_kind_t kind,
                 outcome_t outcome)
{
  dispatch_peer_load_of (request->service, request->peer)->free_slots = 0;
  if (outcome != OUTCOME_NOT_RUN || !request->replayable
      || !err_info (kind)->retryable
      || request->deadline_ms <= dispatch->now_ms)
    return false;
  request->no_hand_over = true;
  request->phase = PHASE_QUEUED;
  admit_push_front (request->service->admit, &request->item);
  dispatch_set_timer (dispatch, request, request->deadline_ms);
  return true;
}

static void
retry_or_refuse (dispatch_t *dispatch, request_t *request, err_kind_t kind,
                 outcome_t outcome)
{
  retry_failure_t failed = { request->idempotent,
                             request->replayable,
                             request->answer_started,
                             request->attempt,
                             request->broken_attempts,
                             kind,
                             outcome };
  int64_t due_ms
      = dispatch->now_ms
        + retry_backoff_ms (request->attempt, g_rand_int (dispatch->random));
  if (!retry_allowed (&failed) || due_ms >= request->deadline_ms
      || !retry_budget_take (&request->service->retry_budget))
    {
      dispatch_refuse_request (dispatch, request, kind, 0);
      return;
    }
  counter_add (dispatch->metrics.retries, 1);
  request->phase = PHASE_BACKOFF;
  dispatch_set_timer (dispatch, request, due_ms);
}

void
dispatch_attempt_abandoned (dispatch_t *dispatch, uint64_t id,
                            uint32_t attempt)
{
  request_t *request = find_request (dispatch, id);
  if (request == NULL || request->attempt != attempt
      || request->phase != PHASE_IN_FLIGHT)
    return;
  request->abandoned = true;
  counter_add (dispatch->metrics.abandoned_attempts, 1);
}

void
dispatch_attempt_ended (dispatch_t *dispatch, uint64_t id, uint32_t attempt,
                        err_kind_t kind, uint16_t status, outcome_t outcome)
{
  dispatch_read_clock (dispatch);
  request_t *request = find_request (dispatch, id);
  if (request == NULL || request->attempt != attempt
      || (request->phase != PHASE_IN_FLIGHT
          && request->phase != PHASE_AT_PEER))
    {
      counter_add (dispatch->metrics.late_attempt_ends, 1);
      return;
    }
  service_t *service = request->service;
  bool remote = request->phase == PHASE_AT_PEER;
  if (!remote)
    end_process_attempt (dispatch, request, kind, status);
  if (kind == ERR_OK)
    outcome = OUTCOME_RAN;
  request->broken_attempts += retry_is_broken (kind, outcome);
  request->combined_outcome = (uint8_t)retry_combine_outcomes (
      (outcome_t)request->combined_outcome, outcome);
  if (kind == ERR_OK || request->answer_started || request->cancelled)
    {
      record_outcome (dispatch, request, kind, status,
                      (outcome_t)request->combined_outcome);
      release_request (dispatch, request);
    }
  else if (!remote || !requeue_refused (dispatch, request, kind, outcome))
    retry_or_refuse (dispatch, request, kind, outcome);
  dispatch_send_queued (dispatch, service);
}

static void
fire_timer (dispatch_t *dispatch, request_t *request)
{
  if (request->phase == PHASE_BACKOFF)
    {
      request->phase = PHASE_QUEUED;
      admit_push_front (request->service->admit, &request->item);
      dispatch_set_timer (dispatch, request, request->deadline_ms);
      return;
    }
  if (request->item.queued)
    admit_remove (request->service->admit, &request->item);
  dispatch_refuse_request (dispatch, request, ERR_DEADLINE,
                           DEFAULT_RETRY_AFTER_MS);
}

static void
run_timers (dispatch_t *dispatch)
{
  int64_t last = dispatch->now_ms / WHEEL_BUCKET_MS;
  int64_t first
      = MAX (dispatch->wheel_last_bucket + 1, last - WHEEL_BUCKETS + 1);
  dispatch->wheel_last_bucket = MAX (dispatch->wheel_last_bucket, last);
  for (int64_t bucket = first; bucket <= last; bucket++)
    {
      request_t *request = dispatch->timer_wheel[bucket % WHEEL_BUCKETS];
      while (request != NULL)
        {
          request_t *next = request->wheel_next;
          dispatch_clear_timer (request);
          if (request->timer_due_ms > dispatch->now_ms)
            dispatch_set_timer (dispatch, request, request->timer_due_ms);
          else
            fire_timer (dispatch, request);
          request = next;
        }
    }
}

int64_t
dispatch_tick (dispatch_t *dispatch)
{
  dispatch_read_clock (dispatch);
  bool review_due = dispatch->now_ms >= dispatch->next_review_ms;
  bool probe_due = dispatch->now_ms >= dispatch->next_probe_ms;
  if (review_due)
    dispatch->next_review_ms = dispatch->now_ms + REVIEW_PERIOD_MS;
  if (probe_due)
    dispatch->next_probe_ms = dispatch->now_ms + PROBE_PERIOD_MS;
  bool window_due = dispatch->now_ms >= dispatch->next_demand_window_ms;
  if (window_due)
    dispatch->next_demand_window_ms = dispatch->now_ms + DEMAND_WINDOW_MS;
  run_timers (dispatch);
  release_abandoned_slots (dispatch);
  for (guint i = 0; i < dispatch->service_list->len; i++)
    {
      service_t *service = g_ptr_array_index (dispatch->service_list, i);
      if (review_due)
        {
          dispatch_review_outliers (dispatch, service);
          dispatch_update_even_share (dispatch, service);
        }
      if (probe_due && service->ejected_count > 0)
        dispatch_start_probes (dispatch, service);
      if (window_due)
        dispatch_start_demand_window (service);
      dispatch_send_queued (dispatch, service);
      dispatch_spill (dispatch, service);
      dispatch_ask_for_slots (dispatch, service);
    }
  dispatch_slots_tick (dispatch);
  if (review_due)
    {
      outcome_expire (dispatch->caller_outcomes, dispatch->now_ms);
      outcome_expire (dispatch->handed_over_outcomes, dispatch->now_ms);
    }
  return TICK_MS;
}

dispatch_seen_t
dispatch_outcome_query (dispatch_t *dispatch, uint64_t origin_incarnation,
                        uint64_t origin_id, outcome_t *outcome,
                        err_kind_t *kind, uint16_t *status)
{
  dispatch_read_clock (dispatch);
  outcome_key_t key = { origin_incarnation, origin_id };
  outcome_record_t record = { OUTCOME_NOT_RUN, ERR_CONFLICT, 0 };
  outcome_seen_t known = outcome_query (dispatch->handed_over_outcomes, key,
                                        dispatch->now_ms, &record);
  if (known == OUTCOME_SEEN_IN_FLIGHT)
    return DISPATCH_IN_FLIGHT;
  if (known == OUTCOME_SEEN_NEVER || known == OUTCOME_SEEN_BARRED)
    return DISPATCH_NEVER_SEEN;
  /* The key could not be barred, so a later arrival could still run.  */
  if (known == OUTCOME_TABLE_FULL)
    record = (outcome_record_t){ OUTCOME_UNKNOWN, ERR_INTERNAL, 0 };
  *outcome = record.outcome;
  *kind = record.kind;
  *status = record.status;
  return DISPATCH_ENDED;
}
