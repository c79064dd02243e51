#include "standin.h"

#include <signal.h>
#include <string.h>
#include <unistd.h>

#define DEFAULT_PORT 23000

GMutex standin_lock;
standin_options_t standin_options = {
  .port = DEFAULT_PORT,
  .threads = 4,
  .write_rate = 400,
  .read_rate = 2000,
  .service_ms = 5,
  .usage_lag_ms = 5000,
};
GPtrArray *standin_instances;

static int quit_pipe[2];

static void
on_signal (int number)
{
  standin_quit ();
}

void
standin_quit (void)
{
  if (write (quit_pipe[1], "q", 1) != 1)
    _exit (1);
}

/* Dispatches /control/CALL, /w/WORKER/CALL and the paths of the platform,
   which may follow /zone/ZONE.  */
static void
route (standin_request_t *request)
{
  const char *path = request->path;
  standin_scope_t scope = SCOPE_PLATFORM;
  if (g_str_has_prefix (path, "/control/"))
    scope = SCOPE_CONTROL;
  else if (g_str_has_prefix (path, "/w/"))
    scope = SCOPE_WORKERS;
  request->connection->scope = scope;
  if (scope == SCOPE_CONTROL)
    standin_handle_control (request, path + strlen ("/control/"));
  else if (scope == SCOPE_WORKERS)
    standin_handle_worker (request, path + strlen ("/w/"));
  else if (g_str_has_prefix (path, "/zone/"))
    {
      const char *zone = path + strlen ("/zone/");
      const char *rest = strchr (zone, '/');
      if (rest == NULL)
        rest = zone + strlen (zone);
      g_autofree char *name = g_strndup (zone, (gsize)(rest - zone));
      standin_handle_platform (request, rest, name);
    }
  else
    standin_handle_platform (request, path, NULL);
}

static int
print_entry_addresses (void)
{
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      const standin_instance_t *instance
          = g_ptr_array_index (standin_instances, i);
      if (strcmp (instance->kind, "entry") == 0)
        printf ("%s %s %s %s\n", instance->id, instance->zone,
                instance->url + strlen ("http://"), instance->peer);
    }
  return 0;
}

static int
serve (void)
{
  standin_http_start ();
  standin_platform_init ();
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      standin_instance_t *instance = g_ptr_array_index (standin_instances, i);
      if (strcmp (instance->kind, "worker") == 0)
        standin_worker_init (instance);
    }
  if (!standin_backends_start ())
    {
      fputs ("standin: cannot start the backend servers\n", stderr);
      return 1;
    }
  struct MHD_Daemon *platform = standin_start_daemon (
      SCOPE_PLATFORM, standin_options.port, NULL, route, NULL);
  if (platform == NULL)
    {
      fprintf (stderr, "standin: cannot listen on port %d\n",
               standin_options.port);
      return 1;
    }
  char byte;
  while (read (quit_pipe[0], &byte, 1) < 0)
    ;
  standin_http_stop ();
  MHD_stop_daemon (platform);
  standin_backends_stop ();
  fprintf (stderr, "standin: violations=%u\n", standin_violation_count ());
  return 0;
}

int
main (int argc, char **argv)
{
  g_autofree char *deployment = NULL;
  gboolean print_deployment = FALSE, print_entries = FALSE;
  int entries = 8, workers = -1, backends = -1;
  standin_options_t *o = &standin_options;
  const GOptionEntry options[] = {
    { "deployment", 'd', 0, G_OPTION_ARG_STRING, &deployment,
      "carta (default), authority, target, or a JSON file", "NAME" },
    { "entries", 0, 0, G_OPTION_ARG_INT, &entries, "entry instances", "N" },
    { "workers", 0, 0, G_OPTION_ARG_INT, &workers, "workers", "N" },
    { "backends", 0, 0, G_OPTION_ARG_INT, &backends, "backend servers", "N" },
    { "port", 'p', 0, G_OPTION_ARG_INT, &o->port,
      "port of the platform, the workers and /control on 127.0.0.1; entries "
      "use PORT+2 (HTTP) and PORT+3 (peers)",
      "PORT" },
    { "backend-port", 0, 0, G_OPTION_ARG_INT, &o->backend_port,
      "port of the backend servers (default: that of --port plus 1)", "PORT" },
    { "threads", 0, 0, G_OPTION_ARG_INT, &o->threads,
      "threads of each HTTP daemon", "N" },
    { "write-rate", 0, 0, G_OPTION_ARG_INT, &o->write_rate,
      "row writes per second, 0: no limit", "N" },
    { "read-rate", 0, 0, G_OPTION_ARG_INT, &o->read_rate,
      "row reads per second, 0: no limit", "N" },
    { "service-ms", 0, 0, G_OPTION_ARG_INT, &o->service_ms,
      "service time of a request without X-Service-Ms", "MS" },
    { "usage-lag-ms", 0, 0, G_OPTION_ARG_INT, &o->usage_lag_ms,
      "age of the reported CPU and memory usage", "MS" },
    { "stop-ms", 0, 0, G_OPTION_ARG_INT, &o->stop_ms,
      "time that stopping a task takes", "MS" },
    { "list-lag-ms", 0, 0, G_OPTION_ARG_INT, &o->list_lag_ms,
      "time until the instance list shows a change", "MS" },
    { "print-entries", 0, 0, G_OPTION_ARG_NONE, &print_entries,
      "print ID, zone, HTTP and peer address of each entry and exit", NULL },
    { "print-deployment", 0, 0, G_OPTION_ARG_NONE, &print_deployment,
      "print the deployment as JSON and exit", NULL },
    { NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
  };
  g_autoptr (GError) error = NULL;
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_option_context_add_main_entries (context, options, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "standin: %s\n", error->message);
      return 2;
    }
  if (o->backend_port == 0)
    o->backend_port = o->port + 1;
  standin_instances = g_ptr_array_new ();
  if (deployment == NULL)
    deployment = g_strdup ("carta");
  if (!standin_deploy_named (deployment, entries, workers, backends)
      && !standin_deploy_file (deployment, &error))
    {
      fprintf (stderr, "standin: %s\n", error->message);
      return 2;
    }
  if (print_deployment)
    return json_dumpf (standin_deployment_json (), stdout, JSON_INDENT (1))
           != 0;
  if (print_entries)
    return print_entry_addresses ();
  if (pipe (quit_pipe) != 0)
    return 1;
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGPIPE, SIG_IGN);
  return serve ();
}
