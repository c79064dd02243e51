#include "standin.h"

#include <string.h>

#define DEFAULT_REQUEST_LIMIT 8
#define DEFAULT_CONNECTION_LIMIT 64
#define MIB_PER_GIB 1024

/* COUNT workers of one size and COUNT backend servers of one service, in the
   same racks.  */
typedef struct
{
  const char *service;
  int count;
  int per_rack; /* of each of the two kinds */
  int64_t cores, memory_gib, accelerators;
} group_t;

typedef struct
{
  const char *name;
  const char *zones[9]; /* up to 8, and NULL */
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
standin_find_instance (const char *id)
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
  instance->request_limit = DEFAULT_REQUEST_LIMIT;
  instance->connection_limit = DEFAULT_CONNECTION_LIMIT;
  g_ptr_array_add (standin_instances, instance);
  return instance;
}

static void
add_group (const deployment_t *deployment, unsigned zones,
           const group_t *group, int workers, int backends)
{
  int zone_counts[9] = { 0 };
  for (int i = 0; i < workers; i++)
    {
      unsigned zone_index = (unsigned)i % zones;
      const char *zone = deployment->zones[zone_index];
      int index_in_zone = zone_counts[zone_index]++;
      standin_instance_t *worker
          = add_instance ("worker", zone,
                          g_strdup_printf ("%s-%s-w%d", zone, group->service,
                                           index_in_zone + 1));
      worker->rack = g_strdup_printf ("%s-%s-r%d", zone, group->service,
                                      index_in_zone / group->per_rack + 1);
      worker->url = g_strdup_printf ("http://127.0.0.1:%d/w/%s",
                                     standin_options.port, worker->id);
      worker->cpu_millis = group->cores * 1000;
      worker->memory_mib = group->memory_gib * MIB_PER_GIB;
      worker->accelerators = group->accelerators;
    }
  memset (zone_counts, 0, sizeof zone_counts);
  /* Third octet of the addresses: each group has half of the range.  */
  int octet_base = group->accelerators > 0 ? 128 : 0;
  for (int i = 0; i < backends; i++)
    {
      unsigned zone_index = (unsigned)i % zones;
      const char *zone = deployment->zones[zone_index];
      int index_in_zone = zone_counts[zone_index]++;
      standin_instance_t *backend
          = add_instance ("backend", zone,
                          g_strdup_printf ("%s-%s-p%d", zone, group->service,
                                           index_in_zone + 1));
      backend->rack = g_strdup_printf ("%s-%s-r%d", zone, group->service,
                                       index_in_zone / group->per_rack + 1);
      backend->service = g_strdup (group->service);
      backend->url = g_strdup_printf (
          "http://127.%u.%d.%d:%d", 10 + zone_index,
          octet_base + index_in_zone / 250, index_in_zone % 250 + 1,
          standin_options.backend_port);
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
  for (int i = 0; i < 2; i++)
    {
      const group_t *group = &deployment->groups[i];
      add_group (deployment, zones, group,
                 workers < 0 ? group->count : workers * group->count / total,
                 backends < 0 ? group->count
                              : backends * group->count / total);
    }
  for (int i = 0; i < entries; i++)
    {
      unsigned zone_index = (unsigned)i % zones;
      unsigned number_in_zone = (unsigned)i / zones + 1;
      const char *zone = deployment->zones[zone_index];
      standin_instance_t *entry = add_instance (
          "entry", zone, g_strdup_printf ("%s-e%u", zone, number_in_zone));
      entry->url = g_strdup_printf ("http://127.%u.0.%u:%d", 100 + zone_index,
                                    number_in_zone, standin_options.port + 2);
      entry->peer = g_strdup_printf ("127.%u.0.%u:%d", 100 + zone_index,
                                     number_in_zone, standin_options.port + 3);
    }
  return true;
}

/* NULL if there is no such string.  */
static char *
dup_string (json_t *row, const char *name)
{
  return g_strdup (json_string_value (json_object_get (row, name)));
}

static int64_t
integer_or (json_t *row, const char *name, int64_t fallback)
{
  json_t *value = json_object_get (row, name);
  return json_is_integer (value) ? json_integer_value (value) : fallback;
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
    g_autofree char *kind = dup_string (row, "kind");
    g_autofree char *zone = dup_string (row, "zone");
    char *id = dup_string (row, "id");
    if (id == NULL || kind == NULL || zone == NULL)
      {
        g_set_error (error, G_FILE_ERROR, G_FILE_ERROR_INVAL,
                     "%s: instance %zu lacks id, kind or zone", path, i);
        g_free (id);
        json_decref (file);
        return false;
      }
    standin_instance_t *instance = add_instance (kind, zone, id);
    instance->rack = dup_string (row, "rack");
    instance->url = dup_string (row, "url");
    instance->peer = dup_string (row, "peer");
    instance->service = dup_string (row, "service");
    instance->cpu_millis = integer_or (row, "cpu_millis", 0);
    instance->memory_mib = integer_or (row, "memory_mib", 0);
    instance->accelerators = integer_or (row, "accelerators", 0);
    instance->request_limit
        = integer_or (row, "request_limit", DEFAULT_REQUEST_LIMIT);
    instance->connection_limit
        = integer_or (row, "connection_limit", DEFAULT_CONNECTION_LIMIT);
    instance->incarnation = instance->shown_incarnation
        = integer_or (row, "incarnation", 1);
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
standin_deployment_json (void)
{
  json_t *rows = json_array ();
  for (unsigned i = 0; i < standin_instances->len; i++)
    {
      const standin_instance_t *instance
          = g_ptr_array_index (standin_instances, i);
      json_array_append_new (rows,
                             standin_instance_json (instance, instance->state,
                                                    instance->incarnation));
    }
  return json_pack ("{s:o}", "instances", rows);
}
