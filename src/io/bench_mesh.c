#include "bench.h"

#include "counter.h"
#include "error.h"
#include "membership.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

/* Runs the membership module of many entries on a network in memory and a fake
   clock, and measures for each number K of peers in another zone how much of
   the time entries and zones have no connection to that zone.  */

#define STEP_MS 200
#define HEARTBEAT_PERIOD_MS 1000
#define LIST_DELAY_MS 10000    /* until a change is in the instance list */
#define REPLACE_DELAY_MS 60000 /* from the failure of an instance */
#define RESTART_DELAY_MS 5000  /* from the end of a process */
#define MAX_ENTRIES 128
#define MAX_ZONES 16
#define WARM_UP_MS 30000
#define MS_PER_HOUR 3600000.0
/* Sizes of texts, zero byte included; a name is "ID@INCARNATION".  */
#define MAX_NAME_BYTES 48
#define MAX_ID_BYTES 24
#define MAX_ZONE_BYTES 16
#define MAX_ADDRESS_BYTES 24
/* One failure in this many is that of an instance, the others end a process
   only: the target load has 13 instance failures to 170 process restarts.  */
#define FAILURES_PER_INSTANCE_FAILURE 14
/* Heartbeat and its acknowledgement with TCP and IP headers.  */
#define HEARTBEAT_BYTES 280

typedef struct
{
  int64_t seed;
  int64_t zones;
  int64_t per_zone;
  int64_t hours;
  int64_t cut_s;
} settings_t;

#define FIELD(name) offsetof (settings_t, name)

static const option_t options[]
    = { BENCH_SEED_OPTION (FIELD (seed)),
        { .name = "zones",
          .kind = OPTION_INTEGER,
          .offset = FIELD (zones),
          .default_text = "8",
          .min = 2,
          .max = MAX_ZONES,
          .help = "availability zones" },
        { .name = "per-zone",
          .kind = OPTION_INTEGER,
          .offset = FIELD (per_zone),
          .default_text = "4",
          .min = 1,
          .max = 8,
          .help = "entries of each zone" },
        { .name = "hours",
          .kind = OPTION_INTEGER,
          .offset = FIELD (hours),
          .default_text = "1",
          .min = 1,
          .max = 24,
          .help = "simulated hours of each run" },
        { .name = "cut-s",
          .kind = OPTION_INTEGER,
          .offset = FIELD (cut_s),
          .default_text = "60",
          .min = 0,
          .max = 3600,
          .help = "length of the network partition of one zone in the middle "
                  "of each run" },
        { .name = NULL } };

typedef struct mesh mesh_t;

typedef struct
{
  mesh_t *mesh;
  uint32_t index;
  char id[MAX_ID_BYTES];
  char zone[MAX_ZONE_BYTES];
  char address[MAX_ADDRESS_BYTES];
  int64_t incarnation;
  membership_t *membership; /* NULL: no process runs */
  bool instance_failed;     /* its peers see no close and no refusal */
  int64_t restart_ms;       /* of the next process, if none runs */
  bool new_id;              /* the next process runs on a new instance */
} entry_t;

typedef enum
{
  EVENT_CONNECT,
  EVENT_CLOSED
} event_kind_t;

typedef struct
{
  event_kind_t kind;
  uint32_t from, to; /* indices; TO is UINT32_MAX if no entry has the id */
  uint64_t link_id;  /* EVENT_CLOSED; ignored if there is a newer link */
  /* EVENT_CONNECT: id of TO; EVENT_CLOSED: name of FROM.  */
  char name[MAX_NAME_BYTES];
} event_t;

typedef struct
{
  char id[MAX_ID_BYTES];
  char zone[MAX_ZONE_BYTES];
  char address[MAX_ADDRESS_BYTES];
  bool gone;
  int64_t visible_ms;
} list_change_t;

struct mesh
{
  const settings_t *settings;
  clk_fake_t clock;
  GRand *random;
  uint32_t count;
  entry_t entries[MAX_ENTRIES];
  uint64_t link_ids[MAX_ENTRIES][MAX_ENTRIES]; /* 0: no link; symmetric */
  uint64_t last_link_id;
  GArray *events;           /* event_t */
  GArray *list_changes;     /* list_change_t, oldest first */
  guint published;          /* number of changes in the instance list */
  int64_t partitioned_zone; /* has no network to the others; -1: none */
  uint32_t next_id;
  /* Sums over all samples.  An entry pair is an entry and another zone, a zone
     pair a zone and another one.  */
  uint64_t entry_pairs, unlinked_entry_pairs;
  uint64_t zone_pairs, unlinked_zone_pairs;
  uint64_t link_samples, entry_samples;
};

static int64_t
now_ms (const mesh_t *mesh)
{
  return clk_now_ms (&mesh->clock.base);
}

static bool
are_partitioned (const mesh_t *mesh, const entry_t *a, const entry_t *b)
{
  if (mesh->partitioned_zone < 0 || strcmp (a->zone, b->zone) == 0)
    return false;
  int64_t zones = mesh->settings->zones;
  return a->index % zones == mesh->partitioned_zone
         || b->index % zones == mesh->partitioned_zone;
}

static void
format_name (const entry_t *entry, char *out, size_t size)
{
  snprintf (out, size, "%s@%" G_GINT64_FORMAT, entry->id, entry->incarnation);
}

static entry_t *
find_entry (mesh_t *mesh, const char *id)
{
  for (uint32_t i = 0; i < mesh->count; i++)
    if (strcmp (mesh->entries[i].id, id) == 0)
      return &mesh->entries[i];
  return NULL;
}

static void
remove_link (mesh_t *mesh, uint32_t a, uint32_t b)
{
  mesh->link_ids[a][b] = 0;
  mesh->link_ids[b][a] = 0;
}

static void
queue_closed (mesh_t *mesh, uint32_t from, uint32_t to)
{
  event_t event = { .kind = EVENT_CLOSED,
                    .from = from,
                    .to = to,
                    .link_id = mesh->link_ids[from][to] };
  format_name (&mesh->entries[from], event.name, sizeof event.name);
  g_array_append_val (mesh->events, event);
}

static void
act_connect (void *context, const char *id, const char *address)
{
  entry_t *from = context;
  event_t event = { .kind = EVENT_CONNECT, .from = from->index };
  const entry_t *to = find_entry (from->mesh, id);
  event.to = to != NULL ? to->index : UINT32_MAX;
  snprintf (event.name, sizeof event.name, "%s", id);
  g_array_append_val (from->mesh->events, event);
}

static void
act_disconnect (void *context, const char *name, const char *reason)
{
  entry_t *from = context;
  char *id;
  int64_t incarnation;
  if (!membership_parse_entry (name, &id, &incarnation))
    return;
  const entry_t *to = find_entry (from->mesh, id);
  g_free (id);
  if (to == NULL || from->mesh->link_ids[from->index][to->index] == 0)
    return;
  queue_closed (from->mesh, from->index, to->index);
  remove_link (from->mesh, from->index, to->index);
}

static void
act_up (void *context, const char *name, const char *zone)
{
}

static void
act_down (void *context, const char *name)
{
}

static const membership_actions_t actions
    = { act_connect, act_disconnect, act_up, act_down };

static void
announce (const list_change_t *change, entry_t *entry)
{
  membership_listed (entry->membership, change->id, change->zone,
                     change->address, false, change->gone);
}

static void
add_list_change (mesh_t *mesh, const entry_t *entry, bool gone,
                 int64_t visible_ms)
{
  list_change_t change = { .gone = gone, .visible_ms = visible_ms };
  snprintf (change.id, sizeof change.id, "%s", entry->id);
  snprintf (change.zone, sizeof change.zone, "%s", entry->zone);
  snprintf (change.address, sizeof change.address, "%s", entry->address);
  g_array_append_val (mesh->list_changes, change);
}

static void
start_entry (mesh_t *mesh, entry_t *entry, uint32_t remote_peers)
{
  entry->incarnation = now_ms (mesh) + 1;
  entry->membership = membership_new (
      entry->id, entry->incarnation, entry->zone, remote_peers, &actions,
      entry, &mesh->clock.base, g_rand_int (mesh->random));
  for (guint i = 0; i < mesh->published; i++)
    announce (&g_array_index (mesh->list_changes, list_change_t, i), entry);
}

/* Ends the process at ENTRY.  A failed instance closes no connection; a killed
   process has its connections closed by the kernel.  */
static void
stop_entry (mesh_t *mesh, entry_t *entry, bool instance_failed)
{
  for (uint32_t i = 0; i < mesh->count; i++)
    if (mesh->link_ids[entry->index][i] != 0 && !instance_failed)
      {
        queue_closed (mesh, entry->index, i);
        remove_link (mesh, entry->index, i);
      }
  membership_free (entry->membership);
  entry->membership = NULL;
  entry->instance_failed = instance_failed;
  entry->new_id = instance_failed;
  entry->restart_ms
      = now_ms (mesh)
        + (instance_failed ? REPLACE_DELAY_MS : RESTART_DELAY_MS);
  if (instance_failed)
    add_list_change (mesh, entry, true, now_ms (mesh) + LIST_DELAY_MS);
}

static void
restart_entry (mesh_t *mesh, entry_t *entry, uint32_t remote_peers)
{
  for (uint32_t i = 0; i < mesh->count; i++)
    remove_link (mesh, entry->index, i);
  if (entry->new_id)
    {
      snprintf (entry->id, sizeof entry->id, "e%u", mesh->next_id++);
      add_list_change (mesh, entry, false, now_ms (mesh) + LIST_DELAY_MS);
    }
  start_entry (mesh, entry, remote_peers);
}

static void
handle_connect (mesh_t *mesh, const event_t *event)
{
  entry_t *from = &mesh->entries[event->from];
  entry_t *to = event->to == UINT32_MAX ? NULL : &mesh->entries[event->to];
  if (from->membership == NULL)
    return;
  if (to == NULL || to->membership == NULL || strcmp (to->id, event->name) != 0
      || are_partitioned (mesh, from, to))
    {
      /* The attempt gets no answer from another partition or a failed
         instance; without a process it is refused.  */
      if (to != NULL && to->membership == NULL && !to->instance_failed)
        membership_connect_failed (from->membership, event->name);
      return;
    }
  membership_verdict_t verdict = membership_hello (
      to->membership, from->id, from->incarnation, from->zone, false);
  if (verdict != MEMBERSHIP_ACCEPT && verdict != MEMBERSHIP_REPLACE)
    {
      membership_connect_failed (from->membership, to->id);
      return;
    }
  verdict = membership_hello (from->membership, to->id, to->incarnation,
                              to->zone, true);
  uint64_t link_id = ++mesh->last_link_id;
  mesh->link_ids[from->index][to->index] = link_id;
  mesh->link_ids[to->index][from->index] = link_id;
  if (verdict == MEMBERSHIP_ACCEPT || verdict == MEMBERSHIP_REPLACE)
    return;
  queue_closed (mesh, from->index, to->index);
  remove_link (mesh, from->index, to->index);
}

static void
handle_events (mesh_t *mesh)
{
  GArray *events = mesh->events;
  mesh->events = g_array_new (FALSE, FALSE, sizeof (event_t));
  for (guint i = 0; i < events->len; i++)
    {
      const event_t *event = &g_array_index (events, event_t, i);
      if (event->kind == EVENT_CONNECT)
        {
          handle_connect (mesh, event);
          continue;
        }
      const entry_t *to = &mesh->entries[event->to];
      uint64_t link_id = mesh->link_ids[event->from][event->to];
      if (to->membership != NULL
          && (link_id == 0 || link_id == event->link_id))
        membership_closed (to->membership, event->name);
    }
  g_array_unref (events);
}

/* Delivers a heartbeat in both directions of each link whose ends both run and
   are not partitioned.  */
static void
exchange_heartbeats (mesh_t *mesh)
{
  char name[MAX_NAME_BYTES];
  for (uint32_t a = 0; a < mesh->count; a++)
    for (uint32_t b = 0; b < mesh->count; b++)
      {
        const entry_t *from = &mesh->entries[a];
        const entry_t *to = &mesh->entries[b];
        if (mesh->link_ids[a][b] == 0 || from->membership == NULL
            || to->membership == NULL || are_partitioned (mesh, from, to))
          continue;
        format_name (from, name, sizeof name);
        membership_frame_received (to->membership, name);
      }
}

static void
publish_list_changes (mesh_t *mesh)
{
  while (mesh->published < mesh->list_changes->len)
    {
      const list_change_t *next = &g_array_index (
          mesh->list_changes, list_change_t, mesh->published);
      if (next->visible_ms > now_ms (mesh))
        return;
      for (uint32_t i = 0; i < mesh->count; i++)
        if (mesh->entries[i].membership != NULL)
          announce (next, &mesh->entries[i]);
      mesh->published++;
    }
}

static bool
has_link_to (const mesh_t *mesh, const entry_t *from, int64_t zone)
{
  for (uint32_t i = (uint32_t)zone; i < mesh->count;
       i += (uint32_t)mesh->settings->zones)
    if (mesh->link_ids[from->index][i] != 0
        && mesh->entries[i].membership != NULL)
      return true;
  return false;
}

/* Counts pairs of an entry and another zone with a running entry, and pairs of
   such zones; and how many of both have no link.  Pairs that a partition
   separates are left out: no choice of peers could connect them.  */
static void
sample (mesh_t *mesh)
{
  int64_t zones = mesh->settings->zones;
  for (int64_t zone = 0; zone < zones; zone++)
    for (int64_t other = 0; other < zones; other++)
      {
        uint32_t running = 0, linked = 0;
        bool other_runs = false;
        if (other == zone || zone == mesh->partitioned_zone
            || other == mesh->partitioned_zone)
          continue;
        for (int64_t i = other; i < mesh->count; i += zones)
          other_runs |= mesh->entries[i].membership != NULL;
        for (int64_t i = zone; other_runs && i < mesh->count; i += zones)
          if (mesh->entries[i].membership != NULL)
            {
              running++;
              linked += has_link_to (mesh, &mesh->entries[i], other);
            }
        mesh->entry_pairs += running;
        mesh->unlinked_entry_pairs += running - linked;
        mesh->zone_pairs += running > 0;
        mesh->unlinked_zone_pairs += running > 0 && linked == 0;
      }
  for (uint32_t a = 0; a < mesh->count; a++)
    {
      mesh->entry_samples += mesh->entries[a].membership != NULL;
      for (uint32_t b = 0; b < mesh->count; b++)
        mesh->link_samples += mesh->link_ids[a][b] != 0;
    }
}

/* Ends a random process, or its whole instance in one case of
   FAILURES_PER_INSTANCE_FAILURE.  */
static void
fail_one (mesh_t *mesh)
{
  entry_t *entry
      = &mesh->entries[g_rand_int_range (mesh->random, 0, (gint)mesh->count)];
  if (entry->membership != NULL)
    stop_entry (
        mesh, entry,
        g_rand_int_range (mesh->random, 0, FAILURES_PER_INSTANCE_FAILURE)
            == 0);
}

static mesh_t *
mesh_new (const settings_t *settings, uint32_t remote_peers)
{
  mesh_t *mesh = g_new0 (mesh_t, 1);
  mesh->settings = settings;
  mesh->random = g_rand_new_with_seed ((uint32_t)settings->seed);
  mesh->events = g_array_new (FALSE, FALSE, sizeof (event_t));
  mesh->list_changes = g_array_new (FALSE, FALSE, sizeof (list_change_t));
  mesh->count = (uint32_t)(settings->zones * settings->per_zone);
  mesh->partitioned_zone = -1;
  clk_fake_init (&mesh->clock, 1000);
  for (uint32_t i = 0; i < mesh->count; i++)
    {
      entry_t *entry = &mesh->entries[i];
      entry->mesh = mesh;
      entry->index = i;
      snprintf (entry->id, sizeof entry->id, "e%u", mesh->next_id++);
      snprintf (entry->zone, sizeof entry->zone, "z%u",
                i % (uint32_t)settings->zones);
      snprintf (entry->address, sizeof entry->address, "127.0.0.%u:1", i + 1);
      add_list_change (mesh, entry, false, 0);
    }
  mesh->published = mesh->list_changes->len;
  for (uint32_t i = 0; i < mesh->count; i++)
    start_entry (mesh, &mesh->entries[i], remote_peers);
  return mesh;
}

static void
mesh_free (mesh_t *mesh)
{
  for (uint32_t i = 0; i < mesh->count; i++)
    membership_free (mesh->entries[i].membership);
  g_array_unref (mesh->events);
  g_array_unref (mesh->list_changes);
  g_rand_free (mesh->random);
  g_free (mesh);
}

static void
step (mesh_t *mesh, uint32_t remote_peers)
{
  clk_fake_advance_ms (&mesh->clock, STEP_MS);
  publish_list_changes (mesh);
  for (uint32_t i = 0; i < mesh->count; i++)
    {
      entry_t *entry = &mesh->entries[i];
      if (entry->membership == NULL && now_ms (mesh) >= entry->restart_ms)
        restart_entry (mesh, entry, remote_peers);
    }
  if (now_ms (mesh) % HEARTBEAT_PERIOD_MS == 0)
    exchange_heartbeats (mesh);
  handle_events (mesh);
  for (uint32_t i = 0; i < mesh->count; i++)
    if (mesh->entries[i].membership != NULL)
      membership_tick (mesh->entries[i].membership);
}

static void
run_simulation (const settings_t *settings, uint32_t remote_peers,
                double failures_per_hour)
{
  mesh_t *mesh = mesh_new (settings, remote_peers);
  int64_t end_ms = settings->hours * (int64_t)MS_PER_HOUR;
  int64_t partition_start_ms = end_ms / 2;
  while (now_ms (mesh) < end_ms)
    {
      bool partitioned
          = now_ms (mesh) >= partition_start_ms
            && now_ms (mesh) < partition_start_ms + settings->cut_s * 1000;
      mesh->partitioned_zone = partitioned ? 0 : -1;
      if (g_rand_double (mesh->random)
          < failures_per_hour * STEP_MS / MS_PER_HOUR)
        fail_one (mesh);
      step (mesh, remote_peers);
      if (now_ms (mesh) >= WARM_UP_MS)
        sample (mesh);
    }
  double links_per_entry
      = (double)mesh->link_samples / (double)mesh->entry_samples;
  printf ("%2u %10.0f %14.3f%% %13.4f%% %12.1f %14.0f\n", remote_peers,
          failures_per_hour,
          100.0 * (double)mesh->unlinked_entry_pairs
              / (double)mesh->entry_pairs,
          100.0 * (double)mesh->unlinked_zone_pairs / (double)mesh->zone_pairs,
          links_per_entry, links_per_entry * HEARTBEAT_BYTES);
  mesh_free (mesh);
}

int
bench_mesh_run (int argc, char **argv)
{
  static const double rates[] = { 6, 60, 600 };
  settings_t settings = { 0 };
  if (!options_parse (
          options, &settings,
          "measure how often entries and zones have no link to another "
          "zone, by the number of peers there",
          argc, argv, NULL))
    return err_info (ERR_USAGE)->exit_code;
  printf ("%" G_GINT64_FORMAT " zones of %" G_GINT64_FORMAT
          " entries, %" G_GINT64_FORMAT " h a run, seed %" G_GINT64_FORMAT
          "\n",
          settings.zones, settings.per_zone, settings.hours, settings.seed);
  printf ("%2s %10s %15s %14s %12s %14s\n", "K", "failures/h", "entry no link",
          "zone no link", "links/entry", "heartbeat B/s");
  for (uint32_t k = 1; k <= 4 && k <= settings.per_zone; k++)
    for (size_t i = 0; i < G_N_ELEMENTS (rates); i++)
      run_simulation (&settings, k, rates[i]);
  options_clear (options, &settings);
  return 0;
}
