#include "peer.h"
#include "peer_internal.h"

#include "link.h"
#include "log.h"
#include "loop.h"
#include "options.h"

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PROTOCOL_VERSION 1
#define HEARTBEAT_PERIOD_MS 1000
#define TICK_PERIOD_MS 100
/* A connection on which no Hello has been accepted is closed after this.  */
#define HELLO_TIMEOUT_MS 2000
#define LISTEN_BACKLOG 128
/* The document is sent in pieces, because a frame holds at most FRAME_LIMIT
   bytes.  */
#define CONFIG_PIECE_BYTES (256 * 1024)
#define MAX_CONFIG_BYTES (8 * 1024 * 1024)

/* State of a link, which is a connection to another entry, or one whose Hello
   is still awaited.  */
typedef struct
{
  char *dialed_id; /* id connected to; NULL for an accepted connection */
  char *entry;     /* ID@INCARNATION after Hello, else NULL */
  char *zone;
  int64_t opened_ms;
  GByteArray *document;   /* pieces of the document so far */
  uint64_t counted_bytes; /* sent and received until the last heartbeat */
} connection_t;

struct peer
{
  peer_options_t options;
  membership_t *membership;
  handover_t *handover;
  proxy_t *proxy;
  dispatch_t *dispatch;
  const peer_config_ops_t *config_ops;
  void *config_context;
  uint64_t config_revision;
  GHashTable *links;       /* link_t -> connection_t */
  GHashTable *entry_links; /* ID@INCARNATION -> link_t */
  GHashTable *services;    /* set of names, see peer_add_service */
  int listen_fd;
  ev_io acceptor;
  loop_timer_t *tick_timer;
  loop_timer_t *heartbeat_timer;
  uint64_t sequence; /* of the last heartbeat sent */
  counter_t *bad_frames;
  counter_t *connect_count;
  counter_t *lost_count;
  counter_t *total_bytes;
  counter_t *max_bytes_per_s; /* with the busiest entry */
};

static void
connection_free (gpointer data)
{
  connection_t *connection = data;
  g_free (connection->dialed_id);
  g_free (connection->entry);
  g_free (connection->zone);
  if (connection->document != NULL)
    g_byte_array_unref (connection->document);
  g_free (connection);
}

bool
peer_connected (const peer_t *peer, const char *entry)
{
  return g_hash_table_contains (peer->entry_links, entry);
}

bool
peer_send (peer_t *peer, const char *entry, const frame_t *frame)
{
  link_t *link = g_hash_table_lookup (peer->entry_links, entry);
  if (link == NULL)
    return false;
  link_send (link, frame);
  return true;
}

dispatch_t *
peer_dispatch (const peer_t *peer)
{
  return peer->dispatch;
}

/* REFUSED is the reason why the connection is refused, or NULL.  */
static void
send_hello (peer_t *peer, link_t *link, const char *refused)
{
  Magnoliadock__Hello hello = MAGNOLIADOCK__HELLO__INIT;
  hello.entry = (char *)peer->options.id;
  hello.incarnation = (uint64_t)peer->options.incarnation;
  hello.zone = (char *)peer->options.zone;
  hello.min_version = PROTOCOL_VERSION;
  hello.max_version = PROTOCOL_VERSION;
  hello.config_revision = peer->config_revision;
  hello.refused = refused != NULL;
  hello.reason = (char *)(refused ? refused : "");
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_HELLO;
  frame.hello = &hello;
  link_send (link, &frame);
}

/* Removes LINK from the tables and frees its connection_t, but does not close
   LINK.  */
static void
remove_link (peer_t *peer, link_t *link)
{
  connection_t *connection = g_hash_table_lookup (peer->links, link);
  if (connection->entry != NULL
      && g_hash_table_lookup (peer->entry_links, connection->entry) == link)
    g_hash_table_remove (peer->entry_links, connection->entry);
  g_hash_table_remove (peer->links, link);
}

static void act_connect (void *context, const char *id, const char *address);

static void
act_disconnect (void *context, const char *entry, const char *reason)
{
  peer_t *peer = context;
  link_t *link = g_hash_table_lookup (peer->entry_links, entry);
  if (link == NULL)
    return;
  log_event (LOG_INFO, "peer_disconnected", "entry", entry, "why", reason,
             NULL);
  counter_add (peer->lost_count, 1);
  remove_link (peer, link);
  link_close (link, false);
  handover_peer_down (peer->handover, entry);
}

static void
on_up (void *context, const char *entry, const char *zone)
{
  /* accept_hello reports the new peer to dispatch, once the link is in
     entry_links and messages can be sent.  */
}

static void
on_down (void *context, const char *entry)
{
  peer_t *peer = context;
  dispatch_peer_down (peer->dispatch, entry);
  handover_peer_down (peer->handover, entry);
}

static const membership_actions_t membership_actions
    = { act_connect, act_disconnect, on_up, on_down };

/* Makes LINK the connection to the entry that sent HELLO.  */
static void
accept_hello (peer_t *peer, link_t *link, connection_t *connection,
              const Magnoliadock__Hello *hello, membership_verdict_t verdict)
{
  connection->entry = g_strdup_printf ("%s@%" G_GUINT64_FORMAT, hello->entry,
                                       hello->incarnation);
  connection->zone = g_strdup (hello->zone);
  g_hash_table_insert (peer->entry_links, connection->entry, link);
  if (connection->dialed_id == NULL)
    send_hello (peer, link, NULL);
  counter_add (peer->connect_count, 1);
  log_event (LOG_INFO, "peer_connected", "entry", connection->entry, "zone",
             connection->zone, "dialed",
             connection->dialed_id ? "true" : "false", NULL);
  if (verdict == MEMBERSHIP_REPLACE)
    dispatch_peer_down (peer->dispatch, connection->entry);
  dispatch_peer_up (peer->dispatch, connection->entry, connection->zone);
  handover_peer_up (peer->handover, connection->entry);
  if (peer->config_ops != NULL)
    peer->config_ops->announced (peer->config_context, connection->entry,
                                 connection->zone, hello->config_revision);
}

static void
refuse_link (peer_t *peer, link_t *link, const char *reason)
{
  connection_t *connection = g_hash_table_lookup (peer->links, link);
  log_event (LOG_INFO, "peer_refused", "why", reason, NULL);
  if (connection->dialed_id != NULL)
    membership_connect_failed (peer->membership, connection->dialed_id);
  else
    send_hello (peer, link, reason);
  remove_link (peer, link);
  link_close (link, true);
}

static void
handle_hello (peer_t *peer, link_t *link, connection_t *connection,
              const Magnoliadock__Hello *hello)
{
  static const char *const reasons[]
      = { [MEMBERSHIP_REFUSE_LOWER] = "lower_incarnation",
          [MEMBERSHIP_REFUSE_SELF] = "own_id",
          [MEMBERSHIP_REFUSE_SECOND] = "second_connection" };
  if (hello->refused || hello->entry[0] == '\0' || hello->zone[0] == '\0'
      || hello->incarnation > G_MAXINT64)
    {
      refuse_link (peer, link, hello->refused ? hello->reason : "bad_hello");
      return;
    }
  if (hello->min_version > PROTOCOL_VERSION
      || hello->max_version < PROTOCOL_VERSION)
    {
      refuse_link (peer, link, err_name (ERR_BAD_VERSION));
      return;
    }
  membership_verdict_t verdict = membership_hello (
      peer->membership, hello->entry, (int64_t)hello->incarnation, hello->zone,
      connection->dialed_id != NULL);
  if (verdict == MEMBERSHIP_ACCEPT || verdict == MEMBERSHIP_REPLACE)
    accept_hello (peer, link, connection, hello, verdict);
  else
    refuse_link (peer, link, reasons[verdict]);
}

static void
handle_heartbeat (peer_t *peer, const connection_t *connection,
                  const Magnoliadock__Heartbeat *heartbeat)
{
  for (size_t i = 0; i < heartbeat->n_loads; i++)
    dispatch_peer_load_set (
        peer->dispatch, connection->entry, heartbeat->loads[i]->service,
        heartbeat->loads[i]->free_slots, heartbeat->loads[i]->queued);
  if (peer->config_ops != NULL)
    peer->config_ops->announced (peer->config_context, connection->entry,
                                 connection->zone, heartbeat->config_revision);
}

static void
handle_document_piece (peer_t *peer, connection_t *connection,
                       const Magnoliadock__ConfigSections *piece)
{
  if (connection->document == NULL)
    connection->document = g_byte_array_new ();
  if (connection->document->len + piece->data.len <= MAX_CONFIG_BYTES)
    g_byte_array_append (connection->document, piece->data.data,
                         (guint)piece->data.len);
  if (!piece->last)
    return;
  GByteArray *document = g_steal_pointer (&connection->document);
  if (peer->config_ops != NULL)
    peer->config_ops->document_received (peer->config_context,
                                         connection->entry, piece->revision,
                                         document->data, document->len);
  g_byte_array_unref (document);
}

static void
handle_config (peer_t *peer, connection_t *connection, const frame_t *frame)
{
  if (peer->config_ops == NULL)
    return;
  switch (frame->body_case)
    {
    case MAGNOLIADOCK__FRAME__BODY_CONFIG_ANNOUNCE:
      peer->config_ops->announced (peer->config_context, connection->entry,
                                   connection->zone,
                                   frame->config_announce->revision);
      break;
    case MAGNOLIADOCK__FRAME__BODY_CONFIG_FETCH:
      peer->config_ops->document_requested (
          peer->config_context, connection->entry,
          frame->config_fetch->have_revision);
      break;
    case MAGNOLIADOCK__FRAME__BODY_CONFIG_SECTIONS:
      handle_document_piece (peer, connection, frame->config_sections);
      break;
    default:
      break;
    }
}

static void
on_frame (void *context, link_t *link, const frame_t *frame)
{
  peer_t *peer = context;
  connection_t *connection = g_hash_table_lookup (peer->links, link);
  if (connection->entry == NULL)
    {
      if (frame->body_case == MAGNOLIADOCK__FRAME__BODY_HELLO)
        handle_hello (peer, link, connection, frame->hello);
      else
        refuse_link (peer, link, "no_hello");
      return;
    }
  membership_frame_received (peer->membership, connection->entry);
  if (frame->body_case == MAGNOLIADOCK__FRAME__BODY_HEARTBEAT)
    handle_heartbeat (peer, connection, frame->heartbeat);
  else if (frame->body_case == MAGNOLIADOCK__FRAME__BODY_LEAVING)
    {
      log_event (LOG_INFO, "peer_leaving", "entry", connection->entry, NULL);
      membership_leaving (peer->membership, connection->entry);
      dispatch_peer_leaving (peer->dispatch, connection->entry);
    }
  else if (!peer_slots_handle_frame (peer, connection->entry, frame)
           && !handover_handle_frame (peer->handover, connection->entry,
                                      frame))
    handle_config (peer, connection, frame);
}

static void
on_link_closed (void *context, link_t *link, const char *reason)
{
  peer_t *peer = context;
  connection_t *connection = g_hash_table_lookup (peer->links, link);
  if (strcmp (reason, "bad_frame") == 0)
    counter_add (peer->bad_frames, 1);
  char *entry = g_strdup (connection->entry);
  char *id = g_strdup (connection->dialed_id);
  remove_link (peer, link);
  if (entry != NULL)
    {
      log_event (LOG_INFO, "peer_disconnected", "entry", entry, "why", reason,
                 NULL);
      counter_add (peer->lost_count, 1);
      membership_closed (peer->membership, entry);
    }
  else if (id != NULL)
    membership_connect_failed (peer->membership, id);
  g_free (entry);
  g_free (id);
}

static const link_ops_t link_ops = { on_frame, on_link_closed };

static connection_t *
add_link (peer_t *peer, link_t *link, const char *id)
{
  connection_t *connection = g_new0 (connection_t, 1);
  connection->dialed_id = g_strdup (id);
  connection->opened_ms = clk_now_ms (peer->options.clock);
  g_hash_table_insert (peer->links, link, connection);
  return connection;
}

static void
act_connect (void *context, const char *id, const char *address)
{
  peer_t *peer = context;
  link_t *link = link_connect (peer->options.loop, address, &link_ops, peer);
  if (link == NULL)
    {
      membership_connect_failed (peer->membership, id);
      return;
    }
  add_link (peer, link, id);
  send_hello (peer, link, NULL);
}

static void
on_incoming_connection (struct ev_loop *loop, ev_io *watcher, int events)
{
  peer_t *peer = watcher->data;
  int fd;
  while ((fd = accept4 (peer->listen_fd, NULL, NULL,
                        SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    add_link (peer, link_new (loop, fd, &link_ops, peer), NULL);
}

/* Closes connections that are still without an accepted Hello after
   HELLO_TIMEOUT_MS.  */
static void
close_without_hello (peer_t *peer)
{
  int64_t now_ms = clk_now_ms (peer->options.clock);
  GHashTableIter iterator;
  gpointer key, value;
  g_hash_table_iter_init (&iterator, peer->links);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    {
      connection_t *connection = value;
      if (connection->entry != NULL
          || now_ms - connection->opened_ms < HELLO_TIMEOUT_MS)
        continue;
      if (connection->dialed_id != NULL)
        membership_connect_failed (peer->membership, connection->dialed_id);
      link_close (key, false);
      g_hash_table_iter_remove (&iterator);
    }
}

static void
on_tick (void *context)
{
  peer_t *peer = context;
  close_without_hello (peer);
  membership_tick (peer->membership);
}

/* Adds the traffic since the last heartbeat to the counters.  */
static void
count_traffic (peer_t *peer)
{
  GHashTableIter iterator;
  gpointer link, value;
  uint64_t max_bytes_per_s = 0;
  g_hash_table_iter_init (&iterator, peer->links);
  while (g_hash_table_iter_next (&iterator, &link, &value))
    {
      connection_t *connection = value;
      uint64_t new_bytes = link_bytes (link) - connection->counted_bytes;
      connection->counted_bytes += new_bytes;
      counter_add (peer->total_bytes, (int64_t)new_bytes);
      max_bytes_per_s
          = MAX (max_bytes_per_s, new_bytes * 1000 / HEARTBEAT_PERIOD_MS);
    }
  counter_set (peer->max_bytes_per_s, (int64_t)max_bytes_per_s);
}

static void
on_heartbeat (void *context)
{
  peer_t *peer = context;
  count_traffic (peer);
  guint count = g_hash_table_size (peer->services);
  Magnoliadock__ServiceLoad *loads
      = g_new (Magnoliadock__ServiceLoad, count + 1);
  Magnoliadock__ServiceLoad **list
      = g_new (Magnoliadock__ServiceLoad *, count + 1);
  GHashTableIter iterator;
  gpointer key, value;
  guint i = 0;
  g_hash_table_iter_init (&iterator, peer->services);
  for (; g_hash_table_iter_next (&iterator, &key, NULL); i++)
    {
      magnoliadock__service_load__init (&loads[i]);
      loads[i].service = key;
      dispatch_own_load (peer->dispatch, key, &loads[i].free_slots,
                         &loads[i].queued);
      list[i] = &loads[i];
    }
  Magnoliadock__Heartbeat heartbeat = MAGNOLIADOCK__HEARTBEAT__INIT;
  heartbeat.sequence = ++peer->sequence;
  heartbeat.config_revision = peer->config_revision;
  heartbeat.n_loads = count;
  heartbeat.loads = list;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_HEARTBEAT;
  frame.heartbeat = &heartbeat;
  g_hash_table_iter_init (&iterator, peer->entry_links);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    link_send (value, &frame);
  g_free (loads);
  g_free (list);
}

static int
open_listener (const char *address, GError **error)
{
  struct sockaddr_in bound = { .sin_family = AF_INET };
  uint16_t port;
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0
      && options_parse_address (address, &bound.sin_addr.s_addr, &port))
    {
      bound.sin_port = htons (port);
      setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
      if (bind (fd, (struct sockaddr *)&bound, sizeof bound) == 0
          && listen (fd, LISTEN_BACKLOG) == 0)
        return fd;
    }
  g_set_error (error, ERROR_DOMAIN, ERR_IO, "cannot listen on %s: %s", address,
               g_strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

peer_t *
peer_new (const peer_options_t *options, GError **error)
{
  int fd = open_listener (options->listen, error);
  if (fd < 0)
    return NULL;
  peer_t *peer = g_new0 (peer_t, 1);
  peer->options = *options;
  peer->listen_fd = fd;
  peer->links = g_hash_table_new_full (NULL, NULL, NULL, connection_free);
  peer->entry_links = g_hash_table_new (g_str_hash, g_str_equal);
  peer->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  peer->membership = membership_new (
      options->id, options->incarnation, options->zone, options->remote_peers,
      &membership_actions, peer, options->clock, options->seed);
  peer->handover = handover_new (peer, options);
  peer->bad_frames
      = counter_get (options->registry, "magnoliadock_bad_frames_total", NULL);
  peer->connect_count = counter_get (
      options->registry, "magnoliadock_peer_connected_total", NULL);
  peer->lost_count
      = counter_get (options->registry, "magnoliadock_peer_lost_total", NULL);
  peer->total_bytes
      = counter_get (options->registry, "magnoliadock_peer_bytes_total", NULL);
  peer->max_bytes_per_s = counter_gauge (
      options->registry, "magnoliadock_peer_bytes_per_second_max", NULL);
  ev_io_init (&peer->acceptor, on_incoming_connection, fd, EV_READ);
  peer->acceptor.data = peer;
  ev_io_start (options->loop, &peer->acceptor);
  peer->tick_timer
      = loop_timer_new (options->loop, TICK_PERIOD_MS, on_tick, peer);
  peer->heartbeat_timer = loop_timer_new (options->loop, HEARTBEAT_PERIOD_MS,
                                          on_heartbeat, peer);
  return peer;
}

void
peer_free (peer_t *peer)
{
  if (peer == NULL)
    return;
  loop_timer_free (peer->tick_timer);
  loop_timer_free (peer->heartbeat_timer);
  ev_io_stop (peer->options.loop, &peer->acceptor);
  close (peer->listen_fd);
  handover_free (peer->handover);
  GHashTableIter iterator;
  gpointer key;
  g_hash_table_iter_init (&iterator, peer->links);
  while (g_hash_table_iter_next (&iterator, &key, NULL))
    link_close (key, true);
  g_hash_table_unref (peer->entry_links);
  g_hash_table_unref (peer->links);
  g_hash_table_unref (peer->services);
  membership_free (peer->membership);
  g_free (peer);
}

void
peer_set_proxy (peer_t *peer, proxy_t *proxy, dispatch_t *dispatch)
{
  peer->proxy = proxy;
  peer->dispatch = dispatch;
  handover_set_proxy (peer->handover, proxy);
}

void
peer_set_config (peer_t *peer, const peer_config_ops_t *ops, void *context)
{
  peer->config_ops = ops;
  peer->config_context = context;
}

void
peer_instance_changed (peer_t *peer, const instance_t *instance)
{
  if (instance->kind == INSTANCE_ENTRY)
    membership_listed (peer->membership, instance->id, instance->zone,
                       instance->peer, instance->state == INSTANCE_LEAVING,
                       instance->state == INSTANCE_GONE);
}

void
peer_add_service (peer_t *peer, const char *service)
{
  if (!g_hash_table_contains (peer->services, service))
    g_hash_table_add (peer->services, g_strdup (service));
}

void
peer_announce_config (peer_t *peer, uint64_t revision)
{
  Magnoliadock__ConfigAnnounce announce = MAGNOLIADOCK__CONFIG_ANNOUNCE__INIT;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  GHashTableIter iterator;
  gpointer link;
  peer->config_revision = revision;
  announce.revision = revision;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_CONFIG_ANNOUNCE;
  frame.config_announce = &announce;
  g_hash_table_iter_init (&iterator, peer->entry_links);
  while (g_hash_table_iter_next (&iterator, NULL, &link))
    link_send (link, &frame);
}

bool
peer_fetch_config (peer_t *peer, const char *entry, uint64_t have_revision)
{
  Magnoliadock__ConfigFetch fetch = MAGNOLIADOCK__CONFIG_FETCH__INIT;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  fetch.have_revision = have_revision;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_CONFIG_FETCH;
  frame.config_fetch = &fetch;
  return peer_send (peer, entry, &frame);
}

bool
peer_send_config (peer_t *peer, const char *entry, uint64_t revision,
                  const void *data, size_t length)
{
  if (length > MAX_CONFIG_BYTES || !peer_connected (peer, entry))
    return false;
  size_t sent = 0;
  do
    {
      Magnoliadock__ConfigSections piece = MAGNOLIADOCK__CONFIG_SECTIONS__INIT;
      frame_t frame = MAGNOLIADOCK__FRAME__INIT;
      size_t part = MIN (length - sent, CONFIG_PIECE_BYTES);
      piece.revision = revision;
      piece.data.data = (uint8_t *)data + sent;
      piece.data.len = part;
      sent += part;
      piece.last = sent == length;
      frame.body_case = MAGNOLIADOCK__FRAME__BODY_CONFIG_SECTIONS;
      frame.config_sections = &piece;
      peer_send (peer, entry, &frame);
    }
  while (sent < length);
  return true;
}

void
peer_live_entries (const peer_t *peer, const char *zone, GPtrArray *out)
{
  membership_live (peer->membership, zone, out);
}

uint64_t
peer_version (const peer_t *peer)
{
  return membership_version (peer->membership);
}

bool
peer_is_gone (const peer_t *peer, const char *entry)
{
  return membership_is_gone (peer->membership, entry);
}

void
peer_announce_leaving (peer_t *peer)
{
  Magnoliadock__Leaving leaving = MAGNOLIADOCK__LEAVING__INIT;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  GHashTableIter iterator;
  gpointer link;
  frame.body_case = MAGNOLIADOCK__FRAME__BODY_LEAVING;
  frame.leaving = &leaving;
  g_hash_table_iter_init (&iterator, peer->entry_links);
  while (g_hash_table_iter_next (&iterator, NULL, &link))
    link_send (link, &frame);
}

void
peer_hand_over (peer_t *peer, uint64_t id, uint32_t attempt, const char *entry)
{
  handover_begin (peer->handover, id, attempt, entry);
}
