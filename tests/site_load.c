#include "httpc.h"
#include "site_standin.h"

#include <glib.h>
#include <stdio.h>

/* Jobs that the stand-in submits itself, for measurements of a node: at a
   steady rate, to one node, and without waiting for their answers.  */

#define SUBMIT_TIMEOUT_MS 3000

static struct
{
  httpc_t *client;
  char *url; /* "http://ADDRESS/queue/" */
  ev_timer timer;
  uint32_t submitted, accepted;
} load;

static void
on_submitted (void *context, const httpc_result_t *result)
{
  load.accepted += result->kind == ERR_OK && result->status == 200;
}

/* Two steps of 6 and 3 tasks of 0.5 s, the means of the users' busiest kind of
   request.  */
static void
on_next_job (struct ev_loop *loop, ev_timer *watcher, int events)
{
  static const char body[]
      = "{\"spec\":\"1500 500\",\"steps\":[{\"count\":6,\"cpu\":1500,"
        "\"mem_mb\":64,\"estimated_ms\":560},{\"count\":3,\"cpu\":1500,"
        "\"mem_mb\":64,\"estimated_ms\":560,\"after\":[0]}]}";
  static const char *const headers[] = { "Host: host", NULL };
  char *url = g_strdup_printf ("%s%08x%08x", load.url, g_random_int (),
                               ++load.submitted);
  httpc_call_headers (load.client, "POST", url, headers, body,
                      SUBMIT_TIMEOUT_MS, on_submitted, NULL);
  g_free (url);
}

static httpc_t *
client_new (void)
{
  httpc_options_t options = { .max_connections_per_host = 32,
                              .max_idle_s = 60,
                              .max_age_s = 600,
                              .connect_timeout_ms = 1000,
                              .repeatable = true };
  return httpc_new (site_loop (), &options);
}

void
site_load (const char *address, uint32_t jobs_per_s)
{
  ev_timer_stop (site_loop (), &load.timer);
  if (address == NULL || jobs_per_s == 0)
    return;
  if (load.client == NULL)
    load.client = client_new ();
  g_free (load.url);
  load.url = g_strdup_printf ("http://%s/queue/", address);
  ev_timer_init (&load.timer, on_next_job, 0.0, 1.0 / (double)jobs_per_s);
  ev_timer_start (site_loop (), &load.timer);
}

uint32_t
site_load_accepted (void)
{
  return load.accepted;
}
