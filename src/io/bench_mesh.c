#include "bench.h"

#include "counter.h"
#include "error.h"
#include "member.h"

#include <stddef.h>
#include <stdio.h>
#include <string.h>

/* Runs the member module of many entries against a network in memory and a
   clock that is moved by hand: how long is a zone without a connection to
   another one, for each number of peers K?  */

#define STEP_MS 200
#define HELLO_MS 1000
#define LIST_LAG_MS 10000
#define REPLACE_MS 60000
#define RESTART_MS 5000
#define ENTRIES_MAX 128
#define ZONES_MAX 16
#define WARM_UP_MS 30000
#define HOUR_MS 3600000.0
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
          .initial = "8",
          .min = 2,
          .max = ZONES_MAX,
          .help = "availability zones" },
        { .name = "per-zone",
          .kind = OPTION_INTEGER,
          .offset = FIELD (per_zone),
          .initial = "4",
          .min = 1,
          .max = 8,
          .help = "entries of each zone" },
        { .name = "hours",
          .kind = OPTION_INTEGER,
          .offset = FIELD (hours),
          .initial = "1",
          .min = 1,
          .max = 24,
          .help = "simulated hours of each run" },
        { .name = "cut-s",
          .kind = OPTION_INTEGER,
          .offset = FIELD (cut_s),
          .initial = "60",
          .min = 0,
          .max = 3600,
          .help = "length of one cut of a zone in the middle of each run" },
        { .name = NULL } };

typedef struct mesh mesh_t;

typedef struct
{
  mesh_t *mesh;
  uint32_t slot;
  char id[24];
  char zone[16];
  char address[24];
  int64_t incarnation;
  member_t *member; /* NULL: no process */
  bool silent_end;  /* the instance failed, so nobody closes its links */
  int64_t back_ms;  /* when a process runs here again */
  bool new_id;
} node_t;

typedef enum
{
  EVENT_CONNECT,
  EVENT_CLOSED
} event_kind_t;

typedef struct
{
  event_kind_t kind;
  uint32_t from, to;
  uint64_t link; /* EVENT_CLOSED: ignored once another link is there */
  char entry[48];
} event_t;

typedef struct
{
  char id[24];
  char zone[16];
  char address[24];
  bool gone;
  int64_t shown_ms;
} listing_t;

struct mesh
{
  const settings_t *settings;
  clk_fake_t clock;
  GRand *random;
  uint32_t count;
  node_t nodes[ENTRIES_MAX];
  uint64_t links[ENTRIES_MAX][ENTRIES_MAX]; /* 0: none; symmetric */
  uint64_t next_link;
  GArray *events;   /* event_t */
  GArray *listings; /* listing_t, oldest first */
  guint listed;     /* listings that the list shows already */
  int64_t cut_zone; /* -1: none */
  uint32_t names;
  uint64_t pairs, unreachable; /* samples of (entry, other zone) */
  uint64_t zone_pairs, zone_unreachable;
  uint64_t links_seen, nodes_seen;
};

static int64_t
now_ms (const mesh_t *mesh)
{
  return clk_now_ms (&mesh->clock.base);
}

static bool
is_cut (const mesh_t *mesh, const node_t *a, const node_t *b)
{
  if (mesh->cut_zone < 0 || strcmp (a->zone, b->zone) == 0)
    return false;
  int64_t zones = mesh->settings->zones;
  return a->slot % zones == mesh->cut_zone
         || b->slot % zones == mesh->cut_zone;
}

static void
node_name (const node_t *node, char *out, size_t size)
{
  snprintf (out, size, "%s@%" G_GINT64_FORMAT, node->id, node->incarnation);
}

static node_t *
find_id (mesh_t *mesh, const char *id)
{
  for (uint32_t i = 0; i < mesh->count; i++)
    if (strcmp (mesh->nodes[i].id, id) == 0)
      return &mesh->nodes[i];
  return NULL;
}

static void
unlink_pair (mesh_t *mesh, uint32_t a, uint32_t b)
{
  mesh->links[a][b] = 0;
  mesh->links[b][a] = 0;
}

static void
tell_closed (mesh_t *mesh, uint32_t from, uint32_t to)
{
  event_t event = {
    .kind = EVENT_CLOSED, .from = from, .to = to, .link = mesh->links[from][to]
  };
  node_name (&mesh->nodes[from], event.entry, sizeof event.entry);
  g_array_append_val (mesh->events, event);
}

static void
act_connect (void *context, const char *id, const char *address)
{
  node_t *from = context;
  event_t event = { .kind = EVENT_CONNECT, .from = from->slot };
  const node_t *to = find_id (from->mesh, id);
  event.to = to != NULL ? to->slot : UINT32_MAX;
  snprintf (event.entry, sizeof event.entry, "%s", id);
  g_array_append_val (from->mesh->events, event);
}

static void
act_disconnect (void *context, const char *entry, const char *why)
{
  node_t *from = context;
  char *id;
  int64_t incarnation;
  if (!member_parse (entry, &id, &incarnation))
    return;
  const node_t *to = find_id (from->mesh, id);
  g_free (id);
  if (to == NULL || from->mesh->links[from->slot][to->slot] == 0)
    return;
  tell_closed (from->mesh, from->slot, to->slot);
  unlink_pair (from->mesh, from->slot, to->slot);
}

static void
act_up (void *context, const char *entry, const char *zone)
{
}

static void
act_down (void *context, const char *entry)
{
}

static const member_actions_t actions
    = { act_connect, act_disconnect, act_up, act_down };

static void
show (const listing_t *listing, node_t *node)
{
  member_listed (node->member, listing->id, listing->zone, listing->address,
                 false, listing->gone);
}

static void
add_listing (mesh_t *mesh, const node_t *node, bool gone, int64_t shown_ms)
{
  listing_t listing = { .gone = gone, .shown_ms = shown_ms };
  snprintf (listing.id, sizeof listing.id, "%s", node->id);
  snprintf (listing.zone, sizeof listing.zone, "%s", node->zone);
  snprintf (listing.address, sizeof listing.address, "%s", node->address);
  g_array_append_val (mesh->listings, listing);
}

static void
start_node (mesh_t *mesh, node_t *node, uint32_t remote_peers)
{
  node->incarnation = now_ms (mesh) + 1;
  node->member = member_new (node->id, node->incarnation, node->zone,
                             remote_peers, &actions, node, &mesh->clock.base,
                             g_rand_int (mesh->random));
  for (guint i = 0; i < mesh->listed; i++)
    show (&g_array_index (mesh->listings, listing_t, i), node);
}

/* Ends the process at NODE.  A failed instance closes no connection; a killed
   process has its connections closed by the kernel.  */
static void
stop_node (mesh_t *mesh, node_t *node, bool instance_failed)
{
  for (uint32_t i = 0; i < mesh->count; i++)
    if (mesh->links[node->slot][i] != 0 && !instance_failed)
      {
        tell_closed (mesh, node->slot, i);
        unlink_pair (mesh, node->slot, i);
      }
  member_free (node->member);
  node->member = NULL;
  node->silent_end = instance_failed;
  node->new_id = instance_failed;
  node->back_ms = now_ms (mesh) + (instance_failed ? REPLACE_MS : RESTART_MS);
  if (instance_failed)
    add_listing (mesh, node, true, now_ms (mesh) + LIST_LAG_MS);
}

static void
revive (mesh_t *mesh, node_t *node, uint32_t remote_peers)
{
  for (uint32_t i = 0; i < mesh->count; i++)
    unlink_pair (mesh, node->slot, i);
  if (node->new_id)
    {
      snprintf (node->id, sizeof node->id, "e%u", mesh->names++);
      add_listing (mesh, node, false, now_ms (mesh) + LIST_LAG_MS);
    }
  start_node (mesh, node, remote_peers);
}

static void
handle_connect (mesh_t *mesh, const event_t *event)
{
  node_t *from = &mesh->nodes[event->from];
  node_t *to = event->to == UINT32_MAX ? NULL : &mesh->nodes[event->to];
  if (from->member == NULL)
    return;
  if (to == NULL || to->member == NULL || strcmp (to->id, event->entry) != 0
      || is_cut (mesh, from, to))
    {
      /* A cut swallows the attempt; a missing process refuses it.  */
      if (to != NULL && to->member == NULL && !to->silent_end)
        member_connect_failed (from->member, event->entry);
      return;
    }
  member_verdict_t verdict = member_hello (
      to->member, from->id, from->incarnation, from->zone, false);
  if (verdict != MEMBER_ACCEPT && verdict != MEMBER_REPLACE)
    {
      member_connect_failed (from->member, to->id);
      return;
    }
  verdict
      = member_hello (from->member, to->id, to->incarnation, to->zone, true);
  uint64_t link = ++mesh->next_link;
  mesh->links[from->slot][to->slot] = link;
  mesh->links[to->slot][from->slot] = link;
  if (verdict == MEMBER_ACCEPT || verdict == MEMBER_REPLACE)
    return;
  tell_closed (mesh, from->slot, to->slot);
  unlink_pair (mesh, from->slot, to->slot);
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
      const node_t *to = &mesh->nodes[event->to];
      uint64_t link = mesh->links[event->from][event->to];
      if (to->member != NULL && (link == 0 || link == event->link))
        member_closed (to->member, event->entry);
    }
  g_array_unref (events);
}

/* Frames between both ends of each link that still has two ends.  */
static void
exchange_heartbeats (mesh_t *mesh)
{
  char name[48];
  for (uint32_t a = 0; a < mesh->count; a++)
    for (uint32_t b = 0; b < mesh->count; b++)
      {
        const node_t *from = &mesh->nodes[a];
        const node_t *to = &mesh->nodes[b];
        if (mesh->links[a][b] == 0 || from->member == NULL
            || to->member == NULL || is_cut (mesh, from, to))
          continue;
        node_name (from, name, sizeof name);
        member_heard (to->member, name);
      }
}

static void
show_listings (mesh_t *mesh)
{
  while (mesh->listed < mesh->listings->len)
    {
      const listing_t *next
          = &g_array_index (mesh->listings, listing_t, mesh->listed);
      if (next->shown_ms > now_ms (mesh))
        return;
      for (uint32_t i = 0; i < mesh->count; i++)
        if (mesh->nodes[i].member != NULL)
          show (next, &mesh->nodes[i]);
      mesh->listed++;
    }
}

static bool
has_link_to (const mesh_t *mesh, const node_t *from, int64_t zone)
{
  for (uint32_t i = (uint32_t)zone; i < mesh->count;
       i += (uint32_t)mesh->settings->zones)
    if (mesh->links[from->slot][i] != 0 && mesh->nodes[i].member != NULL)
      return true;
  return false;
}

/* Counts the pairs (entry, other zone with a live entry) without a link, and
   the pairs of zones without any link.  Pairs that a cut separates are left
   out: no choice of peers could join them.  */
static void
sample (mesh_t *mesh)
{
  int64_t zones = mesh->settings->zones;
  for (int64_t zone = 0; zone < zones; zone++)
    for (int64_t other = 0; other < zones; other++)
      {
        uint32_t here = 0, linked = 0;
        bool there = false;
        if (other == zone || zone == mesh->cut_zone || other == mesh->cut_zone)
          continue;
        for (int64_t i = other; i < mesh->count; i += zones)
          there |= mesh->nodes[i].member != NULL;
        for (int64_t i = zone; there && i < mesh->count; i += zones)
          if (mesh->nodes[i].member != NULL)
            {
              here++;
              linked += has_link_to (mesh, &mesh->nodes[i], other);
            }
        mesh->pairs += here;
        mesh->unreachable += here - linked;
        mesh->zone_pairs += here > 0;
        mesh->zone_unreachable += here > 0 && linked == 0;
      }
  for (uint32_t a = 0; a < mesh->count; a++)
    {
      mesh->nodes_seen += mesh->nodes[a].member != NULL;
      for (uint32_t b = 0; b < mesh->count; b++)
        mesh->links_seen += mesh->links[a][b] != 0;
    }
}

/* Fails a random process; one in fourteen failures takes the instance with it,
   the target's 13 failures against 170 restarts.  */
static void
fail_one (mesh_t *mesh)
{
  node_t *node
      = &mesh->nodes[g_rand_int_range (mesh->random, 0, (gint)mesh->count)];
  if (node->member != NULL)
    stop_node (mesh, node, g_rand_int_range (mesh->random, 0, 14) == 0);
}

static mesh_t *
mesh_new (const settings_t *settings, uint32_t remote_peers)
{
  mesh_t *mesh = g_new0 (mesh_t, 1);
  mesh->settings = settings;
  mesh->random = g_rand_new_with_seed ((uint32_t)settings->seed);
  mesh->events = g_array_new (FALSE, FALSE, sizeof (event_t));
  mesh->listings = g_array_new (FALSE, FALSE, sizeof (listing_t));
  mesh->count = (uint32_t)(settings->zones * settings->per_zone);
  mesh->cut_zone = -1;
  clk_fake_init (&mesh->clock, 1000);
  for (uint32_t i = 0; i < mesh->count; i++)
    {
      node_t *node = &mesh->nodes[i];
      node->mesh = mesh;
      node->slot = i;
      snprintf (node->id, sizeof node->id, "e%u", mesh->names++);
      snprintf (node->zone, sizeof node->zone, "z%u",
                i % (uint32_t)settings->zones);
      snprintf (node->address, sizeof node->address, "127.0.0.%u:1", i + 1);
      add_listing (mesh, node, false, 0);
    }
  mesh->listed = mesh->listings->len;
  for (uint32_t i = 0; i < mesh->count; i++)
    start_node (mesh, &mesh->nodes[i], remote_peers);
  return mesh;
}

static void
mesh_free (mesh_t *mesh)
{
  for (uint32_t i = 0; i < mesh->count; i++)
    member_free (mesh->nodes[i].member);
  g_array_unref (mesh->events);
  g_array_unref (mesh->listings);
  g_rand_free (mesh->random);
  g_free (mesh);
}

static void
step (mesh_t *mesh, uint32_t remote_peers)
{
  clk_fake_advance_ms (&mesh->clock, STEP_MS);
  show_listings (mesh);
  for (uint32_t i = 0; i < mesh->count; i++)
    {
      node_t *node = &mesh->nodes[i];
      if (node->member == NULL && now_ms (mesh) >= node->back_ms)
        revive (mesh, node, remote_peers);
    }
  if (now_ms (mesh) % HELLO_MS == 0)
    exchange_heartbeats (mesh);
  handle_events (mesh);
  for (uint32_t i = 0; i < mesh->count; i++)
    if (mesh->nodes[i].member != NULL)
      member_tick (mesh->nodes[i].member);
}

static void
run_one (const settings_t *settings, uint32_t remote_peers, double per_hour)
{
  mesh_t *mesh = mesh_new (settings, remote_peers);
  int64_t end_ms = settings->hours * (int64_t)HOUR_MS;
  int64_t cut_from_ms = end_ms / 2;
  while (now_ms (mesh) < end_ms)
    {
      bool cut = now_ms (mesh) >= cut_from_ms
                 && now_ms (mesh) < cut_from_ms + settings->cut_s * 1000;
      mesh->cut_zone = cut ? 0 : -1;
      if (g_rand_double (mesh->random) < per_hour * STEP_MS / HOUR_MS)
        fail_one (mesh);
      step (mesh, remote_peers);
      if (now_ms (mesh) >= WARM_UP_MS)
        sample (mesh);
    }
  double links = (double)mesh->links_seen / (double)mesh->nodes_seen;
  printf ("%2u %10.0f %14.3f%% %13.4f%% %12.1f %14.0f\n", remote_peers,
          per_hour, 100.0 * (double)mesh->unreachable / (double)mesh->pairs,
          100.0 * (double)mesh->zone_unreachable / (double)mesh->zone_pairs,
          links, links * HEARTBEAT_BYTES);
  mesh_free (mesh);
}

int
bench_mesh_run (int argc, char **argv)
{
  static const double rates[] = { 6, 60, 600 };
  settings_t settings = { 0 };
  if (!options_parse (options, &settings,
                      "measure reachability between zones against the number "
                      "of peers in each other zone",
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
      run_one (&settings, k, rates[i]);
  options_clear (options, &settings);
  return 0;
}
