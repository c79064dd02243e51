#include "standin.h"

#include <string.h>

#define REQUESTS_PER_PROCESS 8
#define CONNECTIONS_PER_PROCESS 64
#define MIB_PER_GB 1024

/* Workers of one size and the processes of one service beside them.  */
typedef struct
{
  const char *service;
  int count;
  int per_rack;
  int64_t cores, memory_gb, accelerators;
} group_t;

typedef struct
{
  const char *name;
  const char *zones[9];
  group_t groups[2];
} deployment_t;

static const deployment_t deployments[] = {
  { "carta",
    { "catania", "palermo", "messina", "siracusa" },
    { { "ordering", 35, 4, 16, 64, 0 }, { "inspection", 13, 3, 32, 64, 8 } } },
  { "authority",
    { "t3-arrivals", "t3-car-park", "t2-kerb", "cargo-yard" },
    { { "dispatch", 35, 4, 64, 128, 0 },
      { "yard-vision", 13, 3, 128, 256, 8 } } },
  /* The size planned within two years: 3,800 accelerators in all.  */
  { "target",
    { "a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2" },
    { { "ordering", 1425, 4, 16, 64, 0 },
      { "inspection", 475, 3, 32, 64, 8 } } },
};

standin_instance_t *
standin_find (const char *id)
{
  for (unsigned i = 0; id != NULL && i < standin_instances->len; i++)
    {
      standin_instance_t *instance = g_ptr_array_index (standin_instances, i);
      if (strcmp (instance->id, id) == 0)
        return instance;
    }
  return NULL;
}

static standin_instance_t *
add_instance (const char *kind, const char *zone, char *id)
{
  standin_instance_t *instance = g_new0 (standin_instance_t, 1);
  instance->id = id;
  instance->kind = g_strdup (kind);
  instance->zone = g_strdup (zone);
  instance->state = g_strdup ("live");
  instance->shown_state = g_strdup ("live");
  instance->incarnation = instance->shown_incarnation = 1;
  instance->shown_revision = 1;
  instance->request_limit = REQUESTS_PER_PROCESS;
  instance->connection_limit = CONNECTIONS_PER_PROCESS;
  g_ptr_array_add (standin_instances, instance);
  return instance;
}

static void
add_group (const deployment_t *deployment, unsigned zones,
           const group_t *group, int workers, int backends)
{
  int in_zone[9] = { 0 };
  for (int i = 0; i < workers; i++)
    {
      unsigned z = (unsigned)i % zones;
      const char *zone = deployment->zones[z];
      int n = in_zone[z]++;
      standin_instance_t *worker = add_instance (
          "worker", zone,
          g_strdup_printf ("%s-%s-w%d", zone, group->service, n + 1));
      worker->rack = g_strdup_printf ("%s-%s-r%d", zone, group->service,
                                      n / group->per_rack + 1);
      worker->url = g_strdup_printf ("http://127.0.0.1:%d/w/%s",
                                     standin_options.port, worker->id);
      worker->cpu_millis = group->cores * 1000;
      worker->memory_mib = group->memory_gb * MIB_PER_GB;
      worker->accelerators = group->accelerators;
    }
  memset (in_zone, 0, sizeof in_zone);
  int block = group->accelerators > 0 ? 128 : 0; /* half of the addresses */
  for (int i = 0; i < backends; i++)
    {
      unsigned z = (unsigned)i % zones;
      const char *zone = deployment->zones[z];
      int n = in_zone[z]++;
      standin_instance_t *backend = add_instance (
          "backend", zone,
          g_strdup_printf ("%s-%s-p%d", zone, group->service, n + 1));
      backend->rack = g_strdup_printf ("%s-%s-r%d", zone, group->service,
                                       n / group->per_rack + 1);
      backend->service = g_strdup (group->service);
      backend->url
          = g_strdup_printf ("http://127.%u.%d.%d:%d", 10 + z, block + n / 250,
                             n % 250 + 1, standin_options.backend_port);
    }
}

bool
standin_deploy_named (const char *name, int entries, int workers, int backends)
{
  const deployment_t *deployment = NULL;
  for (size_t i = 0; i < G_N_ELEMENTS (deployments); i++)
    if (strcmp (deployments[i].name, name) == 0)
      deployment = &deployments[i];
  if (deployment == NULL)
    return false;
  unsigned zones = 0;
  do
    zones++;
  while (deployment->zones[zones] != NULL);
  int total = deployment->groups[0].count + deployment->groups[1].count;
  for (int g = 0; g < 2; g++)
    {
      const group_t *group = &deployment->groups[g];
      add_group (deployment, zones, group,
                 workers < 0 ? group->count : workers * group->count / total,
                 backends < 0 ? group->count
                              : backends * group->count / total);
    }
  for (int i = 0; i < entries; i++)
    {
      unsigned z = (unsigned)i % zones;
      unsigned n = (unsigned)i / zones + 1;
      const char *zone = deployment->zones[z];
      standin_instance_t *entry
          = add_instance ("entry", zone, g_strdup_printf ("%s-e%u", zone, n));
      entry->url = g_strdup_printf ("http://127.%u.0.%u:%d", 100 + z, n,
                                    standin_options.port + 2);
      entry->peer = g_strdup_printf ("127.%u.0.%u:%d", 100 + z, n,
                                     standin_options.port + 3);
    }
  return true;
}

static char *
text_of (json_t *row, const char *name)
{
  return g_strdup (json_string_value (json_object_get (row, name)));
}

static int64_t
number_of (json_t *row, const char *name, int64_t missing)
{
  json_t *value = json_object_get (row, name);
  return json_is_integer (value) ? json_integer_value (value) : missing;
}

bool
standin_deploy_file (const char *path, GError **error)
{
  json_error_t where;
  json_t *file = json_load_file (path, 0, &where);
  json_t *rows = json_object_get (file, "instances");
  if (!json_is_array (rows))
    {
      g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
                   "%s: expected {\"instances\":[...]}: %s", path,
                   file == NULL ? where.text : "no such array");
      json_decref (file);
      return false;
    }
  size_t i;
  json_t *row;
  json_array_foreach (rows, i, row)
  {
    g_autofree char *kind = text_of (row, "kind");
    g_autofree char *zone = text_of (row, "zone");
    char *id = text_of (row, "id");
    if (id == NULL || kind == NULL || zone == NULL)
      {
        g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
                     "%s: instance %zu lacks id, kind or zone", path, i);
        g_free (id);
        json_decref (file);
        return false;
      }
    standin_instance_t *instance = add_instance (kind, zone, id);
    instance->rack = text_of (row, "rack");
    instance->url = text_of (row, "url");
    instance->peer = text_of (row, "peer");
    instance->service = text_of (row, "service");
    instance->cpu_millis = number_of (row, "cpu_millis", 0);
    instance->memory_mib = number_of (row, "memory_mib", 0);
    instance->accelerators = number_of (row, "accelerators", 0);
    instance->request_limit
        = number_of (row, "request_limit", REQUESTS_PER_PROCESS);
    instance->connection_limit
        = number_of (row, "connection_limit", CONNECTIONS_PER_PROCESS);
    instance->incarnation = instance->shown_incarnation
        = number_of (row, "incarnation", 1);
  }
  json_decref (file);
  return true;
}

json_t *
standin_instance_json (const standin_instance_t *instance, const char *state,
                       int64_t incarnation)
{
  return json_pack ("{s:s, s:s, s:s, s:s*, s:s, s:I, s:s*, s:s*, s:s*, s:I, "
                    "s:I, s:I}",
                    "id", instance->id, "kind", instance->kind, "zone",
                    instance->zone, "rack", instance->rack, "state", state,
                    "incarnation", (json_int_t)incarnation, "url",
                    instance->url, "peer", instance->peer, "service",
                    instance->service, "cpu_millis",
                    (json_int_t)instance->cpu_millis, "memory_mib",
                    (json_int_t)instance->memory_mib, "accelerators",
                    (json_int_t)instance->accelerators);
}

json_t *
standin_deployment (void)
{
  json_t *rows = json_array ();
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      const standin_instance_t *one = g_ptr_array_index (standin_instances, i);
      json_array_append_new (
          rows, standin_instance_json (one, one->state, one->incarnation));
    }
  return json_pack ("{s:o}", "instances", rows);
}
