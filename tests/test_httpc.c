#include "test.h"

#include "clk.h"
#include "fake_wall.h"
#include "http_reply.h"
#include "httpc.h"
#include "loop.h"
#include "node_internal.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_BODY 100
#define LONG_MS 20000
#define HEAD "HTTP/1.1 200 OK\r\n"
#define OK "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

/* Guards against replies that are read wrongly when they arrive in pieces, and
   against connections that are used again though the reply forbids it.  */
static const struct
{
  const char *what;
  const char *text;
  http_reply_status_t status; /* before the connection ends */
  bool complete_at_end;
  uint16_t code;
  const char *body;
  bool keeps;
} replies[] = {
  { "length", OK, HTTP_REPLY_COMPLETE, false, 200, "ok", true },
  { "no content", "HTTP/1.1 204 No Content\r\n\r\n", HTTP_REPLY_COMPLETE,
    false, 204, "", true },
  { "empty body", "HTTP/1.1 503 x\r\ncontent-length:0\r\n\r\n",
    HTTP_REPLY_COMPLETE, false, 503, "", true },
  { "lines without carriage return", "HTTP/1.1 200\nContent-Length: 1\n\nx",
    HTTP_REPLY_COMPLETE, false, 200, "x", true },
  { "interim reply first",
    "HTTP/1.1 100 Continue\r\nContent-Length: 9\r\n\r\n" OK,
    HTTP_REPLY_COMPLETE, false, 200, "ok", true },
  { "asks to close", HEAD "Connection: close\r\nContent-Length: 2\r\n\r\nok",
    HTTP_REPLY_COMPLETE, false, 200, "ok", false },
  { "old protocol", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    HTTP_REPLY_COMPLETE, false, 200, "ok", false },
  { "chunks",
    HEAD "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\nA;x=1\r\n0123456789"
         "\r\n0\r\n\r\n",
    HTTP_REPLY_COMPLETE, false, 200, "ab0123456789", true },
  { "chunks with a trailer",
    HEAD "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX: y\r\n\r\n",
    HTTP_REPLY_COMPLETE, false, 200, "a", true },
  { "chunks cut", HEAD "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
    HTTP_REPLY_MORE, false, 200, "ab", false },
  { "until the end of the connection", HEAD "\r\nabc", HTTP_REPLY_MORE, true,
    200, "abc", false },
  { "body cut", HEAD "Content-Length: 5\r\n\r\nabc", HTTP_REPLY_MORE, false,
    200, "abc", false },
  { "head cut", HEAD "Content-Le", HTTP_REPLY_MORE, false, 200, "", false },
  { "bytes after the end", OK "HTTP", HTTP_REPLY_COMPLETE, false, 200, "ok",
    false },
  { "body too large", HEAD "Content-Length: 101\r\n\r\n", HTTP_REPLY_TOO_LARGE,
    false, 200, "", true },
  { "chunk too large",
    HEAD "Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n",
    HTTP_REPLY_TOO_LARGE, false, 200, "", true },
  { "length is no number", HEAD "Content-Length: 2x\r\n\r\nok",
    HTTP_REPLY_INVALID, false, 200, "", true },
  { "negative length", HEAD "Content-Length: -1\r\n\r\n", HTTP_REPLY_INVALID,
    false, 200, "", true },
  { "chunk without a number", HEAD "Transfer-Encoding: chunked\r\n\r\n\r\n",
    HTTP_REPLY_INVALID, false, 200, "", true },
  { "unknown encoding", HEAD "Transfer-Encoding: gzip\r\n\r\n",
    HTTP_REPLY_INVALID, false, 200, "", true },
  { "not HTTP", "SSH-2.0-x\r\n", HTTP_REPLY_INVALID, false, 0, "", false },
  { "no status", "HTTP/1.1 2x0 OK\r\n", HTTP_REPLY_INVALID, false, 0, "",
    false },
};

/* Feeds TEXT in pieces of STEP bytes, as much as is wanted.  */
static http_reply_status_t
feed (http_reply_t *reply, const char *text, size_t step)
{
  http_reply_status_t status = HTTP_REPLY_MORE;
  size_t length = strlen (text);
  for (size_t at = 0; at < length && status == HTTP_REPLY_MORE; at += step)
    status = http_reply_feed (reply, text + at, MIN (step, length - at));
  return status;
}

static void
test_replies (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (replies); i++)
    for (size_t step = 1; step <= strlen (replies[i].text); step++)
      {
        http_reply_t reply;
        http_reply_init (&reply, false, MAX_BODY);
        http_reply_status_t status = feed (&reply, replies[i].text, step);
        bool keeps = reply.keeps_connection;
        bool complete = status == HTTP_REPLY_MORE && http_reply_end (&reply);
        /* What follows the end is read only if it comes with it.  */
        bool known = strcmp (replies[i].what, "bytes after the end") != 0
                     || step == strlen (replies[i].text);
        if (status != replies[i].status
            || complete != replies[i].complete_at_end
            || reply.status != replies[i].code
            || strcmp (reply.body->str, replies[i].body) != 0
            || (known && status == HTTP_REPLY_COMPLETE
                && keeps != replies[i].keeps))
          {
            printf ("%s, pieces of %zu: status %d code %u body \"%s\"\n",
                    replies[i].what, step, status, reply.status,
                    reply.body->str);
            CU_FAIL ("reply read wrongly");
          }
        http_reply_clear (&reply);
      }
}

/* Guards against a head without end that fills the memory.  */
static void
test_endless_head (void)
{
  http_reply_t reply;
  http_reply_init (&reply, false, MAX_BODY);
  http_reply_status_t status = feed (&reply, HEAD, 1000);
  for (int i = 0; i < 100000 && status == HTTP_REPLY_MORE; i++)
    status = feed (&reply, "X: yyyyyyyyyyyyyyyy\r\n", 1000);
  CU_ASSERT_EQUAL (status, HTTP_REPLY_INVALID);
  http_reply_clear (&reply);
}

/* A server that follows a script: for each request it writes the next answer,
   closes the connection, or does nothing.  */
typedef enum
{
  END_SCRIPT,
  ANSWER,
  ANSWER_AND_CLOSE,
  CLOSE,
  CUT, /* writes a part of an answer and closes */
  SILENT
} act_t;

#define MAX_CALLS 4
#define MAX_CONNECTIONS 8

static struct
{
  struct ev_loop *loop;
  httpc_t *client;
  ev_io listener;
  ev_io connections[MAX_CONNECTIONS];
  uint32_t accepted, requests, finished, wanted;
  uint32_t silent_connections; /* the first ones; they answer no more */
  const act_t *script;
  char url[64];
  uint16_t port;
  httpc_result_t results[MAX_CALLS];
  httpc_call_t *calls[MAX_CALLS];
} server;

static void
close_connection (ev_io *watcher)
{
  ev_io_stop (server.loop, watcher);
  close (watcher->fd);
}

static void
write_text (int fd, const char *text)
{
  CU_ASSERT_EQUAL (write (fd, text, strlen (text)), (ssize_t)strlen (text));
}

static void
on_request (struct ev_loop *loop, ev_io *watcher, int events)
{
  char text[4096];
  ssize_t length = read (watcher->fd, text, sizeof text);
  if (length <= 0)
    {
      close_connection (watcher);
      return;
    }
  if (watcher < &server.connections[server.silent_connections])
    return;
  act_t act = server.script[server.requests++];
  if (act == ANSWER || act == ANSWER_AND_CLOSE)
    write_text (watcher->fd, OK);
  if (act == CUT)
    write_text (watcher->fd, HEAD "Content-Length: 5\r\n\r\nabc");
  if (act == ANSWER_AND_CLOSE || act == CLOSE || act == CUT)
    close_connection (watcher);
}

static void
on_accept (struct ev_loop *loop, ev_io *watcher, int events)
{
  ev_io *connection = &server.connections[server.accepted++];
  ev_io_init (connection, on_request, accept (watcher->fd, NULL, NULL),
              EV_READ);
  ev_io_start (loop, connection);
}

static void
server_start (const act_t *script, uint32_t max_connections)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t size = sizeof address;
  memset (&server, 0, sizeof server);
  server.loop = ev_loop_new (0);
  server.script = script;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  CU_ASSERT_EQUAL_FATAL (
      bind (fd, (const struct sockaddr *)&address, sizeof address), 0);
  CU_ASSERT_EQUAL_FATAL (listen (fd, 16), 0);
  getsockname (fd, (struct sockaddr *)&address, &size);
  server.port = ntohs (address.sin_port);
  g_snprintf (server.url, sizeof server.url, "http://127.0.0.1:%u/x?y",
              server.port);
  ev_io_init (&server.listener, on_accept, fd, EV_READ);
  ev_io_start (server.loop, &server.listener);
  httpc_options_t options = { .max_connections_per_host = max_connections,
                              .max_idle_s = 60,
                              .max_age_s = 600,
                              .connect_timeout_ms = LONG_MS,
                              .repeatable = true };
  server.client = httpc_new (server.loop, &options);
}

static void
server_stop (void)
{
  httpc_free (server.client);
  for (uint32_t i = 0; i < server.accepted; i++)
    if (ev_is_active (&server.connections[i]))
      close_connection (&server.connections[i]);
  if (ev_is_active (&server.listener))
    close_connection (&server.listener);
  ev_loop_destroy (server.loop);
}

static void
on_done (void *context, const httpc_result_t *result)
{
  server.results[(httpc_result_t *)context - server.results] = *result;
  if (result->kind == ERR_OK)
    CU_ASSERT_STRING_EQUAL (result->body, "ok");
  if (++server.finished >= server.wanted)
    ev_break (server.loop, EVBREAK_ALL);
}

static void
call (uint32_t number, int64_t timeout_ms)
{
  server.calls[number]
      = httpc_call (server.client, "POST", server.url, "{}", timeout_ms,
                    on_done, &server.results[number]);
}

static void
run_until (uint32_t finished)
{
  server.wanted = finished;
  if (server.finished < finished)
    ev_run (server.loop, 0);
}

/* One call after the other.  Guards against calls that are repeated though
   they may have run, counted as not run, or lost.  */
static const struct
{
  const char *what;
  act_t script[4];
  uint32_t calls;
  int64_t timeout_ms;
  err_kind_t kind; /* of the last call */
  outcome_t outcome;
  bool repeated;
  uint32_t requests, connections;
} cases[] = {
  { "one connection serves all calls",
    { ANSWER, ANSWER, ANSWER },
    3,
    LONG_MS,
    ERR_OK,
    OUTCOME_RAN,
    false,
    3,
    1 },
  { "closed while idle",
    { ANSWER_AND_CLOSE, ANSWER },
    2,
    LONG_MS,
    ERR_OK,
    OUTCOME_RAN,
    false,
    2,
    2 },
  { "reused connection dies",
    { ANSWER, CLOSE, ANSWER },
    2,
    LONG_MS,
    ERR_OK,
    OUTCOME_RAN,
    true,
    3,
    2 },
  { "dies again",
    { ANSWER, CLOSE, CLOSE },
    2,
    LONG_MS,
    ERR_CONNECTION_LOST,
    OUTCOME_UNKNOWN,
    true,
    3,
    2 },
  { "first use dies",
    { CLOSE },
    1,
    LONG_MS,
    ERR_CONNECTION_LOST,
    OUTCOME_UNKNOWN,
    false,
    1,
    1 },
  { "answer cut on a reused connection",
    { ANSWER, CUT },
    2,
    LONG_MS,
    ERR_ANSWER_CUT,
    OUTCOME_UNKNOWN,
    false,
    2,
    1 },
  { "silent", { SILENT }, 1, 50, ERR_TIMEOUT, OUTCOME_UNKNOWN, false, 1, 1 },
};

static void
test_calls (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      server_start (cases[i].script, 4);
      for (uint32_t j = 0; j < cases[i].calls; j++)
        {
          call (j, cases[i].timeout_ms);
          CU_ASSERT_EQUAL (server.finished, j);
          run_until (j + 1);
          /* What the server did after its answer is seen.  */
          ev_run (server.loop, EVRUN_NOWAIT);
        }
      const httpc_result_t *last = &server.results[cases[i].calls - 1];
      if (last->kind != cases[i].kind || last->outcome != cases[i].outcome
          || last->repeated != cases[i].repeated
          || server.requests != cases[i].requests
          || server.accepted != cases[i].connections)
        {
          printf ("%s: kind %d outcome %d repeated %d requests %u "
                  "connections %u\n",
                  cases[i].what, last->kind, last->outcome, last->repeated,
                  server.requests, server.accepted);
          CU_FAIL ("call ended wrongly");
        }
      server_stop ();
    }
}

/* Guards against a call that fails inside httpc_call, or that is said to have
   run though nothing was sent.  */
static void
test_refused (void)
{
  static const act_t script[] = { END_SCRIPT };
  server_start (script, 4);
  close_connection (&server.listener);
  call (0, LONG_MS);
  CU_ASSERT_EQUAL (server.finished, 0);
  run_until (1);
  CU_ASSERT_EQUAL (server.results[0].kind, ERR_CONNECT_FAILED);
  CU_ASSERT_EQUAL (server.results[0].outcome, OUTCOME_NOT_RUN);
  server_stop ();
}

/* Guards against more connections than allowed, and against calls that wait
   for one for ever or out of order.  */
static void
test_waiting_calls (void)
{
  static const act_t script[] = { SILENT, ANSWER, ANSWER };
  server_start (script, 1);
  call (0, 100);
  call (1, 20);
  call (2, LONG_MS);
  call (3, LONG_MS);
  run_until (1);
  CU_ASSERT_EQUAL (server.results[1].kind, ERR_CONNECT_FAILED);
  CU_ASSERT_EQUAL (server.results[1].outcome, OUTCOME_NOT_RUN);
  CU_ASSERT_EQUAL (server.accepted, 1);
  run_until (4);
  CU_ASSERT_EQUAL (server.results[0].kind, ERR_TIMEOUT);
  CU_ASSERT_EQUAL (server.results[2].kind, ERR_OK);
  CU_ASSERT_EQUAL (server.results[3].kind, ERR_OK);
  CU_ASSERT_EQUAL (server.accepted, 2);
  server_stop ();
}

/* Guards against callbacks of calls that were cancelled, waiting or sent, and
   against a call that waits on for the connection of a cancelled one.  */
static void
test_cancel (void)
{
  static const act_t script[] = { SILENT, ANSWER, ANSWER };
  server_start (script, 1);
  call (0, LONG_MS);
  call (1, LONG_MS);
  call (2, LONG_MS);
  call (3, LONG_MS);
  httpc_cancel (server.calls[1]);
  while (server.requests == 0)
    ev_run (server.loop, EVRUN_ONCE);
  httpc_cancel (server.calls[0]);
  run_until (2);
  CU_ASSERT_EQUAL (server.results[0].status, 0);
  CU_ASSERT_EQUAL (server.results[1].status, 0);
  CU_ASSERT_EQUAL (server.results[2].status, 200);
  CU_ASSERT_EQUAL (server.results[3].status, 200);
  CU_ASSERT_EQUAL (server.accepted, 2);
  server_stop ();
}

/* Guards against an answer that is counted as lost because the process reads
   it only after its timeout: an owner that is late would order everything
   again.  */
static void
test_late_process (void)
{
  static const act_t script[] = { ANSWER, ANSWER };
  const int64_t timeout_ms = 50;
  server_start (script, 1);
  call (0, timeout_ms);
  while (server.requests == 0)
    ev_run (server.loop, EVRUN_ONCE);
  if (server.finished == 0)
    g_usleep (2 * timeout_ms * 1000);
  run_until (1);
  CU_ASSERT_EQUAL (server.results[0].kind, ERR_OK);
  /* The same on a connection that is used again.  */
  call (1, timeout_ms);
  while (server.requests == 1)
    ev_run (server.loop, EVRUN_ONCE);
  if (server.finished == 1)
    g_usleep (2 * timeout_ms * 1000);
  run_until (2);
  CU_ASSERT_EQUAL (server.results[1].kind, ERR_OK);
  CU_ASSERT_EQUAL (server.accepted, 1);
  server_stop ();
}

/* Guards against one timeout after the other on connections that fell silent
   together.  */
static void
test_silent_connections (void)
{
  static const act_t script[] = { ANSWER, ANSWER, ANSWER, ANSWER };
  const int64_t timeout_ms = 50;
  server_start (script, 4);
  for (uint32_t i = 0; i < 3; i++)
    call (i, LONG_MS);
  run_until (3);
  CU_ASSERT_EQUAL (server.accepted, 3);
  server.silent_connections = 3;
  call (0, timeout_ms);
  run_until (4);
  CU_ASSERT_EQUAL (server.results[0].kind, ERR_TIMEOUT);
  call (1, LONG_MS);
  run_until (5);
  CU_ASSERT_EQUAL (server.results[1].kind, ERR_OK);
  CU_ASSERT_EQUAL (server.accepted, 4);
  server_stop ();
}

static void
note_answer (void *context, bool knows)
{
  *(int *)context = knows;
  ev_break (server.loop, EVBREAK_ALL);
}

/* Guards against a node that cannot ask an owner any more because its open
   connections to that node fell silent for good: one question goes without an
   answer, the next one has a connection of its own.  */
static void
test_silent_peer (void)
{
  static const act_t script[] = { ANSWER, ANSWER, ANSWER };
  clk_fake_t clock;
  node_t node
      = { .members = g_ptr_array_new_with_free_func (node_member_free) };
  server_start (script, 4);
  clk_fake_init (&clock, 100000);
  node.clock = &clock.base;
  node.loop = server.loop;
  node.peer_client = server.client;
  platform_api_t platform = { .settings = { .name = (char *)"edge-1" } };
  node.platform = &platform;
  char *address = g_strdup_printf ("127.0.0.1:%u", server.port);
  node_member_set (&node, "edge-2", address, 250);
  node_cell_t *cell = node_cell_new (&node, "pool");
  cell->owner = g_strdup ("edge-2");
  int knows[4] = { -1, -1, -1, -1 };
  node_ask_owner (cell, "0000000000000001", note_answer, &knows[0]);
  node_ask_owner (cell, "0000000000000001", note_answer, &knows[1]);
  while (knows[0] < 0 || knows[1] < 0)
    ev_run (server.loop, 0);
  server.silent_connections = server.accepted;
  for (int i = 2; i < 4; i++)
    {
      node_ask_owner (cell, "0000000000000001", note_answer, &knows[i]);
      while (knows[i] < 0)
        ev_run (server.loop, 0);
    }
  CU_ASSERT_EQUAL (knows[0] + knows[1], 2);
  CU_ASSERT_EQUAL (knows[2], 0);
  CU_ASSERT_EQUAL (knows[3], 1);
  g_free (address);
  node_cell_free (cell);
  g_ptr_array_unref (node.members);
  server_stop ();
}

/* Guards against timeouts that grow or shrink by a jump of the time of day, in
   both clients.  */
static void
test_wall_jumps (void)
{
  static const act_t script[] = { SILENT };
  static const char *const names[] = { "127.0.0.1", "localhost" };
  static const int64_t jumps_ms[] = { 2400, -2400 };
  const int64_t timeout_ms = 100;
  const int64_t slack_ms = 1000;
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    for (size_t j = 0; j < G_N_ELEMENTS (jumps_ms); j++)
      {
        server_start (script, 1);
        g_snprintf (server.url, sizeof server.url, "http://%s:%u/x", names[i],
                    server.port);
        int64_t sent_ms = clk_now_ms (loop_clock ());
        fake_wall_set_offset (jumps_ms[j]);
        call (0, timeout_ms);
        run_until (1);
        int64_t took_ms = clk_now_ms (loop_clock ()) - sent_ms;
        CU_ASSERT_EQUAL (server.results[0].kind, ERR_TIMEOUT);
        CU_ASSERT_TRUE (took_ms >= timeout_ms);
        CU_ASSERT_TRUE (took_ms < timeout_ms + slack_ms);
        fake_wall_set_offset (0);
        server_stop ();
      }
}

static CU_TestInfo tests[] = {
  { "timeouts while the time of day jumps", test_wall_jumps },
  { "connections that fall silent together", test_silent_connections },
  { "connections to another node that fall silent", test_silent_peer },
  { "replies in pieces", test_replies },
  { "head without end", test_endless_head },
  { "calls and dead connections", test_calls },
  { "address that refuses connections", test_refused },
  { "calls that wait for a connection", test_waiting_calls },
  { "cancelled calls", test_cancel },
  { "process that is late", test_late_process },
  CU_TEST_INFO_NULL,
};

CU_SuiteInfo test_httpc_suites[]
    = { { "httpc", NULL, NULL, NULL, NULL, tests }, CU_SUITE_INFO_NULL };
