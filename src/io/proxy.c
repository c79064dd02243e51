#include "proxy.h"
#include "proxy_internal.h"

#include "backend.h"
#include "log.h"

/* Longest time between two calls of dispatch_tick, while there are requests
   and while there are none.  */
#define BUSY_MAX_TICK_S 0.010
#define IDLE_MAX_TICK_S 0.100

typedef struct
{
  uint64_t id;
  uint32_t attempt;
  err_kind_t kind;
} failed_attempt_t;

struct proxy
{
  proxy_observer_t observer; /* may be NULL */
  void *observer_context;
  proxy_options_t options;
  dispatch_t *dispatch;
  backend_pool_t *backends;
  GHashTable *relays; /* id -> relay_t */
  uint64_t last_id;
  GArray *failed_attempts; /* failed_attempt_t */
  ev_timer failed_timer;
  ev_timer tick_timer;
  counter_t *outcomes[OUTCOME_UNKNOWN + 1];
  histogram_t *latencies_us[CLASS_COUNT];
};

static void
on_tick (struct ev_loop *loop, ev_timer *watcher, int events)
{
  proxy_t *proxy = watcher->data;
  int64_t next_ms = dispatch_tick (proxy->dispatch);
  double limit_s = g_hash_table_size (proxy->relays) > 0 ? BUSY_MAX_TICK_S
                                                         : IDLE_MAX_TICK_S;
  double next_s = CLAMP ((double)next_ms / 1000.0, 0.001, limit_s);
  ev_timer_stop (loop, watcher);
  ev_timer_set (watcher, next_s, 0.0);
  ev_timer_start (loop, watcher);
}

static void
on_failed_attempts (struct ev_loop *loop, ev_timer *watcher, int events)
{
  proxy_t *proxy = watcher->data;
  GArray *failed = proxy->failed_attempts;
  proxy->failed_attempts
      = g_array_new (FALSE, FALSE, sizeof (failed_attempt_t));
  for (guint i = 0; i < failed->len; i++)
    {
      failed_attempt_t *failure = &g_array_index (failed, failed_attempt_t, i);
      relay_t *relay = g_hash_table_lookup (proxy->relays, &failure->id);
      if (relay != NULL && relay->attempt == failure->attempt)
        relay_attempt_ended (relay, failure->kind, 0, OUTCOME_NOT_RUN);
      else
        dispatch_attempt_ended (proxy->dispatch, failure->id, failure->attempt,
                                failure->kind, 0, OUTCOME_NOT_RUN);
    }
  g_array_unref (failed);
}

static void
fail_later (proxy_t *proxy, uint64_t id, uint32_t attempt, err_kind_t kind)
{
  failed_attempt_t failure = { id, attempt, kind };
  g_array_append_val (proxy->failed_attempts, failure);
  ev_timer_start (proxy->options.loop, &proxy->failed_timer);
}

proxy_t *
proxy_new (const proxy_options_t *options)
{
  static const char *const class_labels[]
      = { "class=\"urgent\"", "class=\"standard\"", "class=\"bulk\"" };
  proxy_t *proxy = g_new0 (proxy_t, 1);
  proxy->options = *options;
  proxy->relays = g_hash_table_new (g_int64_hash, g_int64_equal);
  proxy->failed_attempts
      = g_array_new (FALSE, FALSE, sizeof (failed_attempt_t));
  proxy->backends = backend_pool_new (proxy);
  ev_timer_init (&proxy->failed_timer, on_failed_attempts, 0.0, 0.0);
  ev_timer_init (&proxy->tick_timer, on_tick, IDLE_MAX_TICK_S, 0.0);
  proxy->failed_timer.data = proxy;
  proxy->tick_timer.data = proxy;
  for (unsigned i = 0; i < G_N_ELEMENTS (proxy->outcomes); i++)
    {
      char *labels
          = g_strdup_printf ("outcome=\"%s\"", outcome_name ((outcome_t)i));
      proxy->outcomes[i] = counter_get (options->registry,
                                        "magnoliadock_outcomes_total", labels);
      g_free (labels);
    }
  for (unsigned i = 0; i < CLASS_COUNT; i++)
    proxy->latencies_us[i] = counter_histogram (
        options->registry, "magnoliadock_request_us", class_labels[i]);
  return proxy;
}

void
proxy_free (proxy_t *proxy)
{
  if (proxy == NULL)
    return;
  GHashTableIter iterator;
  gpointer relay;
  while (g_hash_table_size (proxy->relays) > 0)
    {
      g_hash_table_iter_init (&iterator, proxy->relays);
      g_hash_table_iter_next (&iterator, NULL, &relay);
      relay_drop (relay);
    }
  ev_timer_stop (proxy->options.loop, &proxy->failed_timer);
  ev_timer_stop (proxy->options.loop, &proxy->tick_timer);
  backend_pool_free (proxy->backends);
  g_hash_table_unref (proxy->relays);
  g_array_unref (proxy->failed_attempts);
  g_free (proxy);
}

void
proxy_set_dispatch (proxy_t *proxy, dispatch_t *dispatch)
{
  proxy->dispatch = dispatch;
  ev_timer_start (proxy->options.loop, &proxy->tick_timer);
}

void
proxy_serve (proxy_t *proxy, httpd_t *server)
{
  httpd_set_stream (server, &callers_stream_ops, proxy);
}

void
proxy_set_observer (proxy_t *proxy, proxy_observer_t observer, void *context)
{
  proxy->observer = observer;
  proxy->observer_context = context;
}

void
proxy_add (proxy_t *proxy, relay_t *relay)
{
  relay->id = ++proxy->last_id;
  g_hash_table_insert (proxy->relays, &relay->id, relay);
  if (g_hash_table_size (proxy->relays) == 1)
    {
      /* The timer may still be set to IDLE_MAX_TICK_S.  */
      ev_timer_stop (proxy->options.loop, &proxy->tick_timer);
      ev_timer_set (&proxy->tick_timer, BUSY_MAX_TICK_S, 0.0);
      ev_timer_start (proxy->options.loop, &proxy->tick_timer);
    }
}

void
proxy_remove (proxy_t *proxy, relay_t *relay)
{
  g_hash_table_remove (proxy->relays, &relay->id);
}

void
proxy_record_end (proxy_t *proxy, const relay_t *relay)
{
  int64_t latency_ms = clk_now_ms (proxy->options.clock) - relay->received_ms;
  counter_add (proxy->outcomes[relay->outcome], 1);
  histogram_add (proxy->latencies_us[relay->class],
                 (uint64_t)latency_ms * 1000);
  if (proxy->observer != NULL && !relay->handed_over)
    proxy->observer (proxy->observer_context, relay, latency_ms,
                     relay->first_sent_ms > 0
                         ? relay->first_sent_ms - relay->received_ms
                         : latency_ms);
}

relay_t *
proxy_begin_attempt (proxy_t *proxy, uint64_t id, uint32_t attempt)
{
  relay_t *relay = g_hash_table_lookup (proxy->relays, &id);
  if (relay == NULL)
    {
      fail_later (proxy, id, attempt, ERR_CANCELLED);
      return NULL;
    }
  relay->attempt = attempt;
  if (relay->first_sent_ms == 0)
    relay->first_sent_ms = clk_now_ms (proxy->options.clock);
  return relay;
}

void
proxy_fail_later (proxy_t *proxy, relay_t *relay, err_kind_t kind)
{
  fail_later (proxy, relay->id, relay->attempt, kind);
}

void
proxy_send (proxy_t *proxy, uint64_t id, uint32_t attempt, const char *backend,
            const char *url, bool new_connection)
{
  relay_t *relay = proxy_begin_attempt (proxy, id, attempt);
  if (relay != NULL)
    backend_send (proxy->backends, relay, backend, url, new_connection);
}

void
proxy_refuse (proxy_t *proxy, uint64_t id, err_kind_t kind, outcome_t outcome,
              int64_t retry_after_ms, const char *detail)
{
  relay_t *relay = g_hash_table_lookup (proxy->relays, &id);
  if (relay != NULL)
    relay_refuse (relay, kind, outcome, retry_after_ms, detail);
}

void
proxy_probe (proxy_t *proxy, const char *backend, const char *url)
{
  backend_probe (proxy->backends, backend, url);
}

dispatch_t *
proxy_dispatch (const proxy_t *proxy)
{
  return proxy->dispatch;
}

const proxy_options_t *
proxy_options (const proxy_t *proxy)
{
  return &proxy->options;
}

uint32_t
proxy_open_requests (const proxy_t *proxy)
{
  return g_hash_table_size (proxy->relays);
}
