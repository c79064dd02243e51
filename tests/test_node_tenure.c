#include "node_internal.h"
#include "test.h"

#include <stdlib.h>
#include <string.h>

/* What nodes tell one another about the leases of a cell's owners.  */

#define START_MS 100000
#define MAX_LEASE_MS 10000

/* One node with one cell.  */
typedef struct
{
  platform_api_t platform;
  node_t node;
  node_cell_t cell;
  clk_fake_t clock;
  char told[96]; /* value of the row LEASES_KEY that it wrote last */
} peer_t;

static void
keep_commit (platform_api_t *platform, const store_row_t *expect,
             uint32_t expect_count, const store_row_t *writes,
             uint32_t write_count, int64_t timeout_ms, store_reply_done_t done,
             void *context)
{
  peer_t *peer = (peer_t *)platform;
  store_reply_t reply = { .result = STORE_OK };
  CU_ASSERT_STRING_EQUAL (writes[0].key, LEASES_KEY);
  g_strlcpy (peer->told, writes[0].value, sizeof peer->told);
  done (context, &reply);
}

static void
peer_init (peer_t *peer, const char *name, uint64_t token)
{
  static const platform_api_ops_t ops = { .commit = keep_commit };
  memset (peer, 0, sizeof *peer);
  clk_fake_init (&peer->clock, START_MS);
  peer->platform.ops = &ops;
  peer->platform.settings.name = (char *)name;
  peer->platform.settings.cells.max_lease_ms = MAX_LEASE_MS;
  peer->node.clock = &peer->clock.base;
  peer->node.platform = &peer->platform;
  g_strlcpy (peer->node.incarnation, "19bafe", sizeof peer->node.incarnation);
  peer->cell.node = &peer->node;
  peer->cell.name = (char *)"pool";
  peer->cell.token = token;
  peer->cell.state = CELL_CLAIMING;
  peer->cell.commit_begun_ms = peer->cell.heartbeat_sent_ms = START_MS;
}

static void
ignore_log (void *context, const char *event, const char *subject,
            const char *detail)
{
}

static const cell_actions_t no_actions = { .log = ignore_log };

/* Lets OWNER schedule, after owners whose leases end at END_MS.  */
static void
own (peer_t *owner, int64_t end_ms)
{
  cell_inheritance_t inheritance = { end_ms, end_ms, NULL };
  owner->cell.former.leases_end_ms = end_ms;
  owner->cell.former.unreached_end_ms = end_ms;
  owner->cell.scheduler = cell_new (&owner->platform.settings.cells,
                                    &owner->clock.base, &no_actions, owner);
  cell_begin (owner->cell.scheduler, &inheritance);
  owner->cell.state = CELL_OWNED;
}

/* READER reads the fence row of OWNER, which it saw beat at HEARD_MS.  */
static void
read_fence_of (peer_t *reader, const peer_t *owner, const char *name,
               int64_t heard_ms, bool restarted)
{
  char *text = node_fence_text (&owner->cell, name);
  json_t *fence = json_loads (text, 0, NULL);
  reader->cell.seen_token = owner->cell.token;
  reader->cell.heartbeat_number = owner->cell.heartbeat_commit;
  reader->cell.heartbeat_seen_ms = heard_ms;
  node_former_read (&reader->cell, fence, restarted);
  node_former_claimed (&reader->cell);
  json_decref (fence);
  free (text);
}

static void
peer_clear (peer_t *peer)
{
  node_former_free (&peer->cell);
  cell_free (peer->cell.scheduler);
}

/* Guards against a successor that trusts an owner with more than its row
   promises: a node that still loads gives no leases, one that owns the cell
   does, one that releases it gives no more, and a commit that is sent again
   counts from the first time.  */
static void
test_fence_row (void)
{
  peer_t owner;
  peer_t reader;
  const former_owner_t *former = &reader.cell.former;
  peer_init (&owner, "edge-1", 5);
  peer_init (&reader, "edge-2", 6);
  owner.cell.former.leases_end_ms = START_MS + 3000;
  owner.cell.former.unreached_end_ms = START_MS + 2000;
  read_fence_of (&reader, &owner, "edge-1", START_MS + 80, false);
  CU_ASSERT_EQUAL (former->leases_end_ms, START_MS + 3000);
  CU_ASSERT_EQUAL (former->unreached_end_ms, START_MS + 2000);
  own (&owner, START_MS + 3000);
  owner.cell.commit_begun_ms = START_MS + 150;
  clk_fake_advance_ms (&owner.clock, 2500);
  clk_fake_advance_ms (&reader.clock, 2500);
  read_fence_of (&reader, &owner, "edge-1", START_MS + 80, false);
  CU_ASSERT_EQUAL (former->leases_end_ms, START_MS + 80 + 150 + 10450);
  /* A newer heartbeat was stored than the reader has seen.  */
  owner.cell.heartbeat_commit = 9;
  read_fence_of (&reader, &owner, "edge-1", START_MS + 80, false);
  reader.cell.heartbeat_number = 8;
  char *text = node_fence_text (&owner.cell, "edge-1");
  json_t *fence = json_loads (text, 0, NULL);
  node_former_read (&reader.cell, fence, false);
  CU_ASSERT_EQUAL (former->leases_end_ms, START_MS + 2500 + 10450);
  json_decref (fence);
  free (text);
  cell_stop_leases (owner.cell.scheduler);
  read_fence_of (&reader, &owner, "", START_MS + 80, false);
  CU_ASSERT_EQUAL (former->leases_end_ms, START_MS + 80 + 3000);
  peer_clear (&owner);
  peer_clear (&reader);
}

/* Guards against a row of the version before, which promises nothing, and
   against a row with other types, that are taken for promises.  */
static void
test_rows_without_promises (void)
{
  static const char *const rows[] = {
    "{\"owner\":\"edge-1\",\"incarnation\":\"1\",\"token\":5,\"number\":9}",
    "{\"owner\":\"edge-1\",\"incarnation\":\"1\",\"token\":5,\"tenure\":7}",
    "{\"owner\":\"edge-1\",\"incarnation\":\"1\",\"token\":5,\"tenure\":"
    "{\"bound_ms\":\"0\",\"lease_ms\":0,\"inherited_ms\":0,"
    "\"unreached_ms\":0,\"since_beat_ms\":0,\"unreached\":[3]}}",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      peer_t reader;
      peer_init (&reader, "edge-2", 6);
      json_t *fence = json_loads (rows[i], 0, NULL);
      node_former_read (&reader.cell, fence, false);
      clk_fake_advance_ms (&reader.clock, 700);
      node_former_claimed (&reader.cell);
      /* 11 s of renewals and a lease on a slow clock, from the claim.  */
      CU_ASSERT_TRUE (reader.cell.former.leases_end_ms
                      >= START_MS + 700 + 11000 + 10204);
      json_decref (fence);
      peer_clear (&reader);
    }
}

/* Guards against a wait that what a former owner tells does not shorten, or
   that the words of another owner do; and against one that is passed on no
   shorter along a chain of owners.  */
static void
test_telling (void)
{
  peer_t first;
  peer_t second;
  peer_t third;
  peer_init (&first, "edge-1", 5);
  peer_init (&second, "edge-2", 6);
  peer_init (&third, "edge-3", 7);
  own (&first, START_MS + 500);
  read_fence_of (&second, &first, "edge-1", START_MS, false);
  read_fence_of (&third, &second, "edge-2", START_MS, false);
  CU_ASSERT_EQUAL (third.cell.former.leases_end_ms, START_MS + 10450);
  node_tenure_ended (&second.cell);
  node_tenure_tell (&second.cell);
  node_former_told (&third.cell, second.told, strlen (second.told));
  CU_ASSERT_EQUAL (third.cell.former.leases_end_ms, START_MS + 10450);
  node_tenure_ended (&first.cell);
  node_tenure_tell (&first.cell);
  node_former_told (&third.cell, first.told, strlen (first.told));
  CU_ASSERT_EQUAL (third.cell.former.leases_end_ms, START_MS + 10450);
  node_former_told (&second.cell, first.told, strlen (first.told));
  clk_fake_advance_ms (&second.clock, 200);
  node_tenure_tell (&second.cell);
  node_former_told (&third.cell, second.told, strlen (second.told));
  CU_ASSERT_TRUE (third.cell.former.leases_end_ms <= START_MS + 500);
  peer_clear (&first);
  peer_clear (&second);
  peer_clear (&third);
}

/* Guards against a wait for an owner whose process has ended: it gave no lease
   that is longer than one lease from now.  */
static void
test_restarted_owner (void)
{
  peer_t owner;
  peer_t reader;
  peer_init (&owner, "edge-1", 5);
  peer_init (&reader, "edge-2", 6);
  own (&owner, 0);
  read_fence_of (&reader, &owner, "edge-1", START_MS, false);
  clk_fake_advance_ms (&reader.clock, 2000);
  node_former_restarted (&reader.cell, "edge-3", "19baff");
  node_former_restarted (&reader.cell, "edge-1", "19bafe");
  CU_ASSERT_EQUAL (reader.cell.former.leases_end_ms, START_MS + 10450);
  node_former_restarted (&reader.cell, "edge-1", "19baff");
  CU_ASSERT_EQUAL (reader.cell.former.leases_end_ms, START_MS + 2000 + 6650);
  peer_clear (&owner);
  peer_clear (&reader);
}

/* Guards against a node that tells of a token it never owned: it stops while
   it claims the cell, and another one has won that token and gives leases.  */
static void
test_stop_while_claiming (void)
{
  peer_t loser;
  peer_init (&loser, "edge-1", 6);
  loser.cell.pending_by_queue = g_hash_table_new (g_str_hash, g_str_equal);
  loser.cell.records = g_ptr_array_new ();
  loser.cell.records_to_save = g_ptr_array_new ();
  loser.cell.expired_ids = g_ptr_array_new ();
  loser.node.cells = g_hash_table_new (g_str_hash, g_str_equal);
  loser.node.unreadable_workers = g_hash_table_new (g_str_hash, g_str_equal);
  node_release (&loser.cell);
  CU_ASSERT_EQUAL (loser.cell.state, CELL_IDLE);
  node_tenure_tell (&loser.cell);
  CU_ASSERT_STRING_EQUAL (loser.told, "");
  g_hash_table_unref (loser.cell.pending_by_queue);
  g_ptr_array_unref (loser.cell.records);
  g_ptr_array_unref (loser.cell.records_to_save);
  g_ptr_array_unref (loser.cell.expired_ids);
  g_hash_table_unref (loser.node.cells);
  g_hash_table_unref (loser.node.unreadable_workers);
  peer_clear (&loser);
}

/* Guards against sums that overflow, and leases that count as ended, by a row
   with numbers that no owner writes.  */
static void
test_numbers_out_of_range (void)
{
  static const struct
  {
    const char *bound, *lease, *inherited, *unreached, *since;
  } rows[] = {
    { "9223372036854775807", "6500", "0", "0", "0" },
    { "-9223372036854775807", "6500", "0", "0", "0" },
    { "10300", "9223372036854775807", "0", "0", "0" },
    { "10300", "-1", "0", "0", "0" },
    { "10300", "6500", "9223372036854775807", "0", "0" },
    { "10300", "6500", "0", "-9000000000000000000", "0" },
    { "10300", "6500", "0", "0", "9223372036854775807" },
    { "10300", "6500", "0", "0", "-9000000000000000000" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      peer_t reader;
      peer_init (&reader, "edge-2", 6);
      char *text = g_strdup_printf (
          "{\"owner\":\"edge-1\",\"incarnation\":\"1\",\"token\":5,"
          "\"beat\":4,\"tenure\":{\"bound_ms\":%s,\"lease_ms\":%s,"
          "\"inherited_ms\":%s,\"unreached_ms\":%s,\"since_beat_ms\":%s,"
          "\"unreached\":[]}}",
          rows[i].bound, rows[i].lease, rows[i].inherited, rows[i].unreached,
          rows[i].since);
      json_t *fence = json_loads (text, 0, NULL);
      reader.cell.seen_token = 5;
      reader.cell.heartbeat_number = 4;
      reader.cell.heartbeat_seen_ms = START_MS - 900;
      node_former_read (&reader.cell, fence, false);
      node_former_claimed (&reader.cell);
      /* Like a row without promises.  */
      CU_ASSERT_TRUE (reader.cell.former.leases_end_ms
                      >= START_MS + 11000 + 10204);
      CU_ASSERT_TRUE (reader.cell.former.unreached_end_ms
                      >= START_MS + 11000 + 10204);
      json_decref (fence);
      g_free (text);
      int64_t end_ms = reader.cell.former.leases_end_ms;
      const char *told = "{\"token\":5,\"left_ms\":9223372036854775807}";
      node_former_told (&reader.cell, told, strlen (told));
      told = "{\"token\":5,\"left_ms\":-5}";
      node_former_told (&reader.cell, told, strlen (told));
      CU_ASSERT_EQUAL (reader.cell.former.leases_end_ms, end_ms);
      peer_clear (&reader);
    }
}

static uint32_t refused_reads;

static void
refuse_read (platform_api_t *platform, const char *table, const char *part,
             const char *from, const char *target, int64_t timeout_ms,
             store_reply_done_t done, void *context)
{
  const uint32_t most = 100;
  store_reply_t reply = { .result = STORE_REFUSED };
  if (++refused_reads < most)
    done (context, &reply);
  else
    g_free (context);
}

/* Guards against a node that reads without a pause while the store turns it
   away: all calls are priced, and nodes share their rate.  */
static void
test_refused_reads (void)
{
  static const platform_api_ops_t ops = { .read = refuse_read };
  peer_t peer;
  peer_init (&peer, "edge-1", 6);
  node_cell_t *cell = &peer.cell;
  peer.platform.ops = &ops;
  peer.node.loop = ev_loop_new (EVFLAG_AUTO);
  peer.node.metrics = counter_registry_new ();
  peer.node.cells = g_hash_table_new (g_str_hash, g_str_equal);
  /* The list of workers is followed already.  */
  peer.node.workers = (replica_t *)&peer;
  cell->records = g_ptr_array_new ();
  g_hash_table_insert (peer.node.cells, cell->name, cell);
  refused_reads = 0;
  node_cell_claimed (cell);
  CU_ASSERT_EQUAL (refused_reads, 1);
  ev_timer_stop (peer.node.loop, &cell->read_retry);
  g_ptr_array_unref (cell->records);
  g_hash_table_unref (peer.node.cells);
  counter_registry_free (peer.node.metrics);
  ev_loop_destroy (peer.node.loop);
  peer_clear (&peer);
}

static CU_TestInfo node_tenure_tests[] = {
  { "what the fence row promises", test_fence_row },
  { "rows without promises", test_rows_without_promises },
  { "former owners tell when their leases end", test_telling },
  { "a former owner that has restarted", test_restarted_owner },
  { "a node that stops while it claims the cell", test_stop_while_claiming },
  { "numbers out of range", test_numbers_out_of_range },
  { "reads that the store refuses", test_refused_reads },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_node_tenure_suites[] = {
  { "node tenure", NULL, NULL, NULL, NULL, node_tenure_tests },
  CU_SUITE_INFO_NULL,
};
