#include "dispatch.h"

#include <glib.h>

#define TICK_MS 10

typedef struct
{
  char *id;
  char *service;
  char *url;
  bool leaving;
  uint32_t limit;
  uint32_t in_flight;
} process_t;

typedef struct
{
  uint64_t id;
  char *service;
  int64_t deadline_ms;
  uint32_t attempt;
  process_t *process; /* NULL while queued */
  bool idempotent;
  bool replayable;
  bool started;
  outcome_t worst;
} request_t;

struct dispatch
{
  const dispatch_actions_t *actions;
  void *context;
  const clk_t *clock;
  GRand *random;
  GPtrArray *processes; /* process_t */
  GHashTable *requests; /* id -> request_t */
  GQueue *queue;        /* request_t without a process */
  bool draining;
};

static void
process_free (gpointer data)
{
  process_t *process = data;
  g_free (process->id);
  g_free (process->service);
  g_free (process->url);
  g_free (process);
}

static void
request_free (gpointer data)
{
  request_t *request = data;
  g_free (request->service);
  g_free (request);
}

dispatch_t *
dispatch_new (const char *self, const char *zone,
              const dispatch_actions_t *actions, void *context,
              const clk_t *clock, counter_registry_t *registry, uint32_t seed)
{
  dispatch_t *dispatch = g_new0 (dispatch_t, 1);
  dispatch->actions = actions;
  dispatch->context = context;
  dispatch->clock = clock;
  dispatch->random = g_rand_new_with_seed (seed);
  dispatch->processes = g_ptr_array_new_with_free_func (process_free);
  dispatch->requests = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                              NULL, request_free);
  dispatch->queue = g_queue_new ();
  return dispatch;
}

void
dispatch_free (dispatch_t *dispatch)
{
  if (dispatch == NULL)
    return;
  g_queue_free (dispatch->queue);
  g_hash_table_unref (dispatch->requests);
  g_ptr_array_unref (dispatch->processes);
  g_rand_free (dispatch->random);
  g_free (dispatch);
}

static process_t *
pick_process (dispatch_t *dispatch, const char *service)
{
  process_t *best = NULL;
  guint count = dispatch->processes->len;
  guint start
      = count > 0 ? g_rand_int_range (dispatch->random, 0, (gint32)count) : 0;
  for (guint i = 0; i < count; i++)
    {
      process_t *process
          = g_ptr_array_index (dispatch->processes, (start + i) % count);
      if (g_strcmp0 (process->service, service) == 0 && !process->leaving
          && process->in_flight < process->limit
          && (best == NULL || process->in_flight < best->in_flight))
        best = process;
    }
  return best;
}

static void
finish (dispatch_t *dispatch, request_t *request, err_kind_t kind)
{
  outcome_t outcome = MAX (err_info (kind)->outcome, request->worst);
  if (kind == ERR_CONNECT_FAILED)
    outcome = request->worst;
  dispatch->actions->refuse (dispatch->context, request->id, kind, outcome,
                             kind == ERR_DRAINING ? 1000 : 0, err_name (kind));
  g_hash_table_remove (dispatch->requests, &request->id);
}

static void
place_queued (dispatch_t *dispatch)
{
  GList *next = NULL;
  for (GList *link = dispatch->queue->head; link != NULL; link = next)
    {
      next = link->next;
      request_t *request = link->data;
      if (request->deadline_ms <= clk_now_ms (dispatch->clock))
        {
          g_queue_delete_link (dispatch->queue, link);
          finish (dispatch, request, ERR_DEADLINE);
          continue;
        }
      process_t *process = pick_process (dispatch, request->service);
      if (process == NULL)
        continue;
      g_queue_delete_link (dispatch->queue, link);
      process->in_flight++;
      request->process = process;
      request->attempt++;
      dispatch->actions->send (dispatch->context, request->id,
                               request->attempt, process->id, process->url,
                               !request->idempotent);
    }
}

void
dispatch_submit (dispatch_t *dispatch, const dispatch_request_t *request)
{
  request_t *own = g_new0 (request_t, 1);
  own->id = request->id;
  own->service = g_strdup (request->service);
  own->deadline_ms = request->deadline_ms;
  own->idempotent = request->idempotent;
  own->replayable = request->replayable;
  own->worst = OUTCOME_NOT_RUN;
  g_hash_table_insert (dispatch->requests, &own->id, own);
  if (dispatch->draining)
    {
      finish (dispatch, own, ERR_DRAINING);
      return;
    }
  g_queue_push_tail (dispatch->queue, own);
  place_queued (dispatch);
}

void
dispatch_cancel (dispatch_t *dispatch, uint64_t id)
{
  request_t *request = g_hash_table_lookup (dispatch->requests, &id);
  if (request == NULL || request->process != NULL)
    return;
  g_queue_remove (dispatch->queue, request);
  g_hash_table_remove (dispatch->requests, &id);
}

void
dispatch_attempt_started (dispatch_t *dispatch, uint64_t id, uint32_t attempt)
{
  request_t *request = g_hash_table_lookup (dispatch->requests, &id);
  if (request != NULL && request->attempt == attempt)
    request->started = true;
}

void
dispatch_set_replayable (dispatch_t *dispatch, uint64_t id, bool replayable)
{
  request_t *request = g_hash_table_lookup (dispatch->requests, &id);
  if (request != NULL)
    request->replayable = replayable;
}

void
dispatch_attempt_ended (dispatch_t *dispatch, uint64_t id, uint32_t attempt,
                        err_kind_t kind, uint16_t status, outcome_t outcome)
{
  request_t *request = g_hash_table_lookup (dispatch->requests, &id);
  if (request == NULL || request->attempt != attempt
      || request->process == NULL)
    return;
  request->process->in_flight--;
  request->process = NULL;
  if (outcome == OUTCOME_RAN || request->worst == OUTCOME_NOT_RUN)
    request->worst = outcome;
  bool again = request->idempotent
                   ? err_info (kind)->retryable
                   : kind == ERR_CONNECT_FAILED && outcome == OUTCOME_NOT_RUN;
  if (kind == ERR_OK || request->started)
    g_hash_table_remove (dispatch->requests, &id);
  else if (again && request->replayable && request->attempt < 3)
    g_queue_push_head (dispatch->queue, request);
  else
    finish (dispatch, request, kind);
  place_queued (dispatch);
}

void
dispatch_probe_ended (dispatch_t *dispatch, const char *backend,
                      err_kind_t kind)
{
}

static process_t *
find_process (dispatch_t *dispatch, const char *id)
{
  for (guint i = 0; i < dispatch->processes->len; i++)
    {
      process_t *process = g_ptr_array_index (dispatch->processes, i);
      if (g_strcmp0 (process->id, id) == 0)
        return process;
    }
  return NULL;
}

void
dispatch_backend_set (dispatch_t *dispatch, const dispatch_backend_t *backend)
{
  process_t *process = find_process (dispatch, backend->id);
  if (process == NULL)
    {
      process = g_new0 (process_t, 1);
      process->id = g_strdup (backend->id);
      process->service = g_strdup (backend->service);
      g_ptr_array_add (dispatch->processes, process);
    }
  g_free (process->url);
  process->url = g_strdup (backend->url);
  process->leaving = backend->leaving;
  process->limit = backend->request_limit;
  place_queued (dispatch);
}

void
dispatch_backend_remove (dispatch_t *dispatch, const char *id)
{
  process_t *process = find_process (dispatch, id);
  if (process != NULL)
    process->leaving = true;
}

void
dispatch_peer_up (dispatch_t *dispatch, const char *entry, const char *zone)
{
}

void
dispatch_peer_down (dispatch_t *dispatch, const char *entry)
{
}

void
dispatch_peer_load (dispatch_t *dispatch, const char *entry,
                    const char *service, uint32_t free_slots, uint32_t queued)
{
}

void
dispatch_peer_ledger (dispatch_t *dispatch, const char *entry,
                      const dispatch_given_t *given, uint32_t count)
{
}

void
dispatch_peer_wants (dispatch_t *dispatch, const char *entry,
                     const char *service, uint32_t count)
{
}

err_kind_t
dispatch_service_set (dispatch_t *dispatch, const char *service,
                      const dispatch_policy_t *policy)
{
  return ERR_OK;
}

void
dispatch_team_set (dispatch_t *dispatch, const char *team, double urgent_per_s,
                   double burst, uint32_t weight)
{
}

void
dispatch_shares_expect (dispatch_t *dispatch)
{
}

err_kind_t
dispatch_shares_load (dispatch_t *dispatch, int64_t version,
                      const json_t *value)
{
  return ERR_OK;
}

json_t *
dispatch_shares_propose (dispatch_t *dispatch, int64_t *version)
{
  return NULL;
}

void
dispatch_member_gone (dispatch_t *dispatch, const char *member)
{
}

void
dispatch_peer_closing_request (dispatch_t *dispatch, const char *entry,
                               const char *const *members, uint32_t count)
{
}

void
dispatch_peer_closing_statement (dispatch_t *dispatch, const char *entry,
                                 const char *const *members, uint32_t count,
                                 const dispatch_closing_t *items,
                                 uint32_t item_count)
{
}

void
dispatch_drain (dispatch_t *dispatch)
{
  dispatch->draining = true;
}

bool
dispatch_drained (const dispatch_t *dispatch)
{
  return g_hash_table_size (dispatch->requests) == 0;
}

dispatch_seen_t
dispatch_outcome_query (dispatch_t *dispatch, uint64_t origin_incarnation,
                        uint64_t origin_id, outcome_t *outcome,
                        err_kind_t *kind, uint16_t *status)
{
  *outcome = OUTCOME_UNKNOWN;
  *kind = ERR_INTERNAL;
  *status = 0;
  return DISPATCH_ENDED;
}

json_t *
dispatch_status (const dispatch_t *dispatch)
{
  return json_pack ("{s:i, s:i}", "queued",
                    (int)g_queue_get_length (dispatch->queue), "requests",
                    (int)g_hash_table_size (dispatch->requests));
}

void
dispatch_load (const dispatch_t *dispatch, const char *service,
               uint32_t *free_slots, uint32_t *queued)
{
  *free_slots = 0;
  *queued = 0;
  for (guint i = 0; i < dispatch->processes->len; i++)
    {
      const process_t *process = g_ptr_array_index (dispatch->processes, i);
      if (g_strcmp0 (process->service, service) == 0 && !process->leaving)
        *free_slots
            += process->limit - MIN (process->limit, process->in_flight);
    }
  for (GList *link = dispatch->queue->head; link != NULL; link = link->next)
    if (g_strcmp0 (((request_t *)link->data)->service, service) == 0)
      ++*queued;
}

int64_t
dispatch_tick (dispatch_t *dispatch)
{
  place_queued (dispatch);
  return TICK_MS;
}
