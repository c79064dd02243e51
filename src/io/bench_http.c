#include "bench.h"

#include "bench_histogram.h"
#include "error.h"
#include "httpc_easy.h"
#include "loop.h"
#include "options.h"

#include <errno.h>
#include <math.h>
#include <stddef.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#define MAX_CHOICES 16
#define MAX_URLS 64
#define MAX_STATUS 599
#define NS_PER_S INT64_C (1000000000)
/* Time for the missing answers after sending has stopped, longer than the
   longest deadline.  */
#define DRAIN_TIMEOUT_S 65

typedef struct
{
  char *targets;
  char *direct;
  char *service;
  char *path;
  char *classes;
  char *teams;
  char *bodies;
  char *prefix;
  char *not_run_file;
  double rate;
  double direct_percent;
  double duration_s;
  double warmup_s;
  int64_t count;
  int64_t idempotent_percent;
  int64_t service_ms;
  int64_t deadline_ms;
  int64_t in_flight;
  int64_t seed;
  bool plot;
} settings_t;

#define FIELD(name) offsetof (settings_t, name)

const option_t bench_http_options[] = {
  { "targets", OPTION_TEXT, FIELD (targets), NULL, true, 0, 0, NULL,
    "Entries: URL[,URL...]" },
  { "direct", OPTION_TEXT, FIELD (direct), NULL, false, 0, 0, NULL,
    "Backend servers that get requests directly: URL[,URL...]" },
  { "direct-percent", OPTION_REAL, FIELD (direct_percent), "50", false, 0, 100,
    NULL, "Share of the requests that go to --direct" },
  { "service", OPTION_TEXT, FIELD (service), "ordering", false, 0, 0, NULL,
    "Service to call" },
  { "path", OPTION_TEXT, FIELD (path), "/bench", false, 0, 0, NULL,
    "Path after the service" },
  { "rate", OPTION_REAL, FIELD (rate), "100", false, 0, 100000, NULL,
    "Requests per second, Poisson arrivals" },
  { "duration-s", OPTION_REAL, FIELD (duration_s), "5", false, 0, 600, NULL,
    "Time during which requests are sent" },
  { "warmup-s", OPTION_REAL, FIELD (warmup_s), "0", false, 0, 60, NULL,
    "First part of the duration that is left out of the latencies" },
  { "count", OPTION_INTEGER, FIELD (count), "2000000", false, 1, 2000000, NULL,
    "Maximum number of requests, including those not sent" },
  { "classes", OPTION_TEXT, FIELD (classes), "standard=1", false, 0, 0, NULL,
    "Mix of classes: NAME=WEIGHT[,...]" },
  { "teams", OPTION_TEXT, FIELD (teams), "bench=1", false, 0, 0, NULL,
    "Mix of teams: NAME=WEIGHT[,...]" },
  { "bodies", OPTION_TEXT, FIELD (bodies), "1024=1", false, 0, 0, NULL,
    "Mix of body sizes: BYTES=WEIGHT[,...]" },
  { "idempotent-percent", OPTION_INTEGER, FIELD (idempotent_percent), "100",
    false, 0, 100, NULL, "Share of idempotent requests" },
  { "service-ms", OPTION_INTEGER, FIELD (service_ms), "-1", false, -1, 600000,
    NULL,
    "Service time asked of the stand-in's servers (X-Service-Ms); -1: "
    "their default" },
  { "deadline-ms", OPTION_INTEGER, FIELD (deadline_ms), "10000", false, 1,
    60000, NULL, "Deadline of each request" },
  { "in-flight", OPTION_INTEGER, FIELD (in_flight), "4096", false, 1, 16384,
    NULL,
    "Maximum number of requests in flight; more are counted as not sent" },
  { "prefix", OPTION_TEXT, FIELD (prefix), "bench", false, 0, 0, NULL,
    "First part of the request ids" },
  { "not-run-file", OPTION_TEXT, FIELD (not_run_file), NULL, false, 0, 0, NULL,
    "Write the ids of requests with the outcome not-run here" },
  { "seed", OPTION_INTEGER, FIELD (seed), "1", false, 0, G_MAXUINT32, NULL,
    "Seed of arrivals and mixes" },
  { "plot", OPTION_FLAG, FIELD (plot), NULL, false, 0, 0, NULL,
    "Print bar charts of the latencies on standard error" },
  { NULL, 0, 0, NULL, false, 0, 0, NULL, NULL },
};

typedef struct
{
  char *name;
  double weight;
  bench_histogram_t *latency;
  uint64_t ran;
  uint64_t other_outcomes; /* or no answer; "refused" in the report */
} choice_t;

typedef struct
{
  choice_t items[MAX_CHOICES];
  unsigned count;
  double total_weight;
} mix_t;

typedef struct bench bench_t;

typedef struct
{
  bench_t *bench;
  httpc_transfer_t *transfer;
  struct curl_slist *headers;
  char *id;
  char *body;
  size_t body_length;
  GString *answer;
  choice_t *class;
  int64_t due_ns; /* intended send time */
  bool direct;
  bool idempotent;
  bool counted;     /* after the warm-up */
  bool id_matches;  /* the answer has the X-Test-Id of the request */
  char outcome[16]; /* from the answer; empty: none */
} request_t;

struct bench
{
  settings_t settings;
  struct ev_loop *loop;
  httpc_t *client;
  httpc_t *direct_client;
  GRand *random;
  ev_io arrival_watcher;
  int timer_fd;
  ev_timer drain_timer;
  char **targets, **directs;
  mix_t classes, teams, bodies;
  int64_t begun_ns;
  int64_t next_ns;  /* next arrival */
  int64_t stop_ns;  /* when sending is to stop */
  int64_t ended_ns; /* when sending has stopped */
  uint64_t sent, not_sent, done, in_flight;
  /* CUT: time-outs, broken connections and answers without an outcome.  */
  uint64_t ran, not_run, unknown, no_connection, cut, wrong_answers,
      direct_done, direct_failed;
  uint64_t statuses[MAX_STATUS + 1]; /* 0: no complete answer */
  bench_histogram_t entry_latency, direct_latency;
  FILE *not_run_file;
  bool sending;
};

static int64_t
now_ns (void)
{
  struct timespec now;
  clock_gettime (CLOCK_MONOTONIC, &now);
  return now.tv_sec * NS_PER_S + now.tv_nsec;
}

/* Parses "NAME=WEIGHT[,...]", the value of FLAG, into MIX.  Returns false
   after printing a message if it is invalid.  */
static bool
parse_mix (mix_t *mix, const char *flag, const char *text)
{
  char **parts = g_strsplit (text, ",", MAX_CHOICES + 1);
  bool valid = parts[0] != NULL;
  for (unsigned i = 0; valid && parts[i] != NULL; i++)
    {
      char *equals = strchr (parts[i], '=');
      char *end;
      valid = equals != NULL && equals != parts[i] && i < MAX_CHOICES;
      if (!valid)
        break;
      choice_t *item = &mix->items[mix->count++];
      item->name = g_strndup (parts[i], (gsize)(equals - parts[i]));
      item->weight = g_ascii_strtod (equals + 1, &end);
      item->latency = g_new0 (bench_histogram_t, 1);
      valid = end != equals + 1 && *end == '\0' && item->weight >= 0;
      mix->total_weight += item->weight;
    }
  valid = valid && mix->total_weight > 0;
  if (!valid)
    fprintf (stderr,
             "magnoliadock bench http: --%s: invalid value \"%s\", expected "
             "NAME=WEIGHT[,NAME=WEIGHT...]\n",
             flag, text);
  g_strfreev (parts);
  return valid;
}

static void
mix_clear (mix_t *mix)
{
  for (unsigned i = 0; i < mix->count; i++)
    {
      g_free (mix->items[i].name);
      g_free (mix->items[i].latency);
    }
}

/* Draws an item of MIX with the probabilities of the weights.  */
static choice_t *
draw_choice (bench_t *bench, mix_t *mix)
{
  double at = g_rand_double (bench->random) * mix->total_weight;
  unsigned i = 0;
  for (; i + 1 < mix->count && at >= mix->items[i].weight; i++)
    at -= mix->items[i].weight;
  return &mix->items[i];
}

static void
request_free (request_t *request)
{
  httpc_transfer_free (request->transfer);
  curl_slist_free_all (request->headers);
  g_string_free (request->answer, TRUE);
  g_free (request->id);
  g_free (request->body);
  g_free (request);
}

static size_t
on_body (char *data, size_t size, size_t count, void *context)
{
  request_t *request = context;
  g_string_append_len (request->answer, data, (gssize)(size * count));
  return size * count;
}

/* Returns the value of header NAME in LINE, or NULL; owned by the caller.  */
static char *
header_value (const char *line, size_t length, const char *name)
{
  size_t name_length = strlen (name);
  if (length <= name_length || line[name_length] != ':'
      || g_ascii_strncasecmp (line, name, name_length) != 0)
    return NULL;
  return g_strstrip (
      g_strndup (line + name_length + 1, length - name_length - 1));
}

static size_t
on_header (char *data, size_t size, size_t count, void *context)
{
  request_t *request = context;
  size_t length = size * count;
  char *value = header_value (data, length, "X-Magnoliadock-Outcome");
  if (value != NULL)
    g_strlcpy (request->outcome, value, sizeof request->outcome);
  g_free (value);
  value = header_value (data, length, "X-Test-Id");
  if (value != NULL)
    request->id_matches = strcmp (value, request->id) == 0;
  g_free (value);
  return length;
}

/* Returns whether a complete answer belongs to REQUEST: the stand-in echoes
   the id and the body, or without a body a text that contains the id.  */
static bool
is_own_answer (const request_t *request, long status)
{
  if (status != 200)
    return true;
  if (!request->id_matches)
    return false;
  if (request->body_length > 0)
    return request->answer->len == request->body_length
           && memcmp (request->answer->str, request->body,
                      request->body_length)
                  == 0;
  return strstr (request->answer->str, request->id) != NULL;
}

static void
count_outcome (bench_t *bench, request_t *request, CURLcode code, long status)
{
  if (request->direct)
    {
      bench->direct_done++;
      bench->direct_failed += code != CURLE_OK || status != 200;
      return;
    }
  bench->statuses[code == CURLE_OK ? CLAMP (status, 0, MAX_STATUS) : 0]++;
  if (code == CURLE_COULDNT_CONNECT)
    bench->no_connection++;
  else if (code != CURLE_OK || request->outcome[0] == '\0')
    bench->cut++;
  else if (strcmp (request->outcome, "ran") == 0)
    bench->ran++;
  else if (strcmp (request->outcome, "not-run") == 0)
    {
      bench->not_run++;
      if (bench->not_run_file != NULL)
        fprintf (bench->not_run_file, "%s\n", request->id);
    }
  else
    bench->unknown++;
  bool ran = code == CURLE_OK && strcmp (request->outcome, "ran") == 0;
  if (ran)
    request->class->ran++;
  else
    request->class->other_outcomes++;
  if (ran && !is_own_answer (request, status))
    {
      bench->wrong_answers++;
      fprintf (stderr, "wrong answer to %s: status %ld, %zu bytes\n",
               request->id, status, request->answer->len);
    }
}

static void
on_finished (void *context, CURLcode code)
{
  request_t *request = context;
  bench_t *bench = request->bench;
  long status = 0;
  int64_t took_us = (now_ns () - request->due_ns) / 1000;
  curl_easy_getinfo (request->transfer->easy, CURLINFO_RESPONSE_CODE, &status);
  count_outcome (bench, request, code, status);
  if (code == CURLE_OK && status == 200 && request->counted)
    {
      bench_histogram_add (request->direct ? &bench->direct_latency
                                           : &bench->entry_latency,
                           (uint64_t)took_us);
      if (!request->direct)
        bench_histogram_add (request->class->latency, (uint64_t)took_us);
    }
  bench->done++;
  bench->in_flight--;
  request_free (request);
  if (!bench->sending && bench->in_flight == 0)
    ev_break (bench->loop, EVBREAK_ALL);
}

static void
add_header (request_t *request, const char *name, const char *value)
{
  char *line = g_strconcat (name, ": ", value, NULL);
  request->headers = curl_slist_append (request->headers, line);
  g_free (line);
}

static void
set_headers (request_t *request, const settings_t *settings, const char *team)
{
  char value[24];
  add_header (request, "X-Test-Id", request->id);
  if (!request->direct)
    {
      add_header (request, "X-Magnoliadock-Class", request->class->name);
      add_header (request, "X-Magnoliadock-Team", team);
      add_header (request, "X-Magnoliadock-Request-Id", request->id);
      g_snprintf (value, sizeof value, "%" G_GINT64_FORMAT,
                  settings->deadline_ms);
      add_header (request, "X-Magnoliadock-Deadline-Ms", value);
    }
  if (settings->service_ms >= 0)
    {
      g_snprintf (value, sizeof value, "%" G_GINT64_FORMAT,
                  settings->service_ms);
      add_header (request, "X-Service-Ms", value);
    }
  request->headers = curl_slist_append (request->headers, "Expect:");
  request->headers = curl_slist_append (request->headers, "Accept:");
}

/* Makes a body of LENGTH bytes that differs between requests.  */
static void
make_body (bench_t *bench, request_t *request, size_t length)
{
  request->body = g_malloc (length + 1);
  request->body_length = length;
  size_t id_length = strlen (request->id);
  guint32 shift = g_rand_int (bench->random);
  for (size_t i = 0; i < length; i++)
    request->body[i]
        = i < id_length ? request->id[i] : (char)('a' + (i + shift) % 26);
}

static void
send_request (bench_t *bench, int64_t due_ns)
{
  const settings_t *settings = &bench->settings;
  request_t *request = g_new0 (request_t, 1);
  request->bench = bench;
  request->due_ns = due_ns;
  request->answer = g_string_sized_new (1100);
  request->id
      = g_strdup_printf ("%s-%" G_GINT64_FORMAT "-%" G_GUINT64_FORMAT,
                         settings->prefix, settings->seed, bench->sent);
  request->class = draw_choice (bench, &bench->classes);
  const char *team = draw_choice (bench, &bench->teams)->name;
  size_t length = (size_t)g_ascii_strtoull (
      draw_choice (bench, &bench->bodies)->name, NULL, 10);
  request->idempotent = g_rand_double (bench->random) * 100.0
                        < (double)settings->idempotent_percent;
  request->direct
      = bench->directs != NULL
        && g_rand_double (bench->random) * 100.0 < settings->direct_percent;
  request->counted = (double)(due_ns - bench->begun_ns)
                     >= settings->warmup_s * (double)NS_PER_S;
  make_body (bench, request, length);
  char **urls = request->direct ? bench->directs : bench->targets;
  gint32 pick
      = g_rand_int_range (bench->random, 0, (gint32)g_strv_length (urls));
  char *url = request->direct
                  ? g_strconcat (urls[pick], settings->path, NULL)
                  : g_strconcat (urls[pick], "/s/", settings->service,
                                 settings->path, NULL);
  request->transfer = httpc_transfer_new (bench->client, on_finished, request);
  CURL *easy = request->transfer->easy;
  set_headers (request, settings, team);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, request->headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, request);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, request);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS,
                    (long)settings->deadline_ms + 2000);
  if (length > 0)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)length);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request->body);
    }
  else if (!request->idempotent)
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, "");
  if (request->idempotent)
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, length > 0 ? "PUT" : "GET");
  /* On a reused connection that turns out to be dead libcurl would repeat the
     request.  */
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT,
                    request->idempotent ? 0L : 1L);
  g_free (url);
  bench->sent++;
  bench->in_flight++;
  httpc_transfer_start (request->transfer);
}

static void
schedule_next_arrival (bench_t *bench)
{
  double u = 1.0 - g_rand_double (bench->random);
  bench->next_ns
      += (int64_t)(-log (u) / bench->settings.rate * (double)NS_PER_S);
}

static void
stop_sending (bench_t *bench)
{
  bench->sending = false;
  bench->ended_ns = now_ns ();
  ev_io_stop (bench->loop, &bench->arrival_watcher);
  ev_timer_start (bench->loop, &bench->drain_timer);
  if (bench->in_flight == 0)
    ev_break (bench->loop, EVBREAK_ALL);
}

static void
arm_arrival_timer (bench_t *bench)
{
  struct itimerspec when = { .it_value = { bench->next_ns / NS_PER_S,
                                           bench->next_ns % NS_PER_S } };
  timerfd_settime (bench->timer_fd, TFD_TIMER_ABSTIME, &when, NULL);
}

static void
on_arrival_timer (struct ev_loop *loop, ev_io *watcher, int events)
{
  bench_t *bench = watcher->data;
  uint64_t expirations;
  ssize_t ignored = read (bench->timer_fd, &expirations, sizeof expirations);
  (void)ignored;
  int64_t now = now_ns ();
  while (bench->next_ns <= now)
    {
      if (bench->next_ns >= bench->stop_ns
          || bench->sent + bench->not_sent >= (uint64_t)bench->settings.count)
        {
          stop_sending (bench);
          return;
        }
      if (bench->in_flight < (uint64_t)bench->settings.in_flight)
        send_request (bench, bench->next_ns);
      else
        bench->not_sent++;
      schedule_next_arrival (bench);
    }
  arm_arrival_timer (bench);
}

static void
on_drain_timeout (struct ev_loop *loop, ev_timer *watcher, int events)
{
  ev_break (loop, EVBREAK_ALL);
}

static json_t *
statuses_json (const bench_t *bench)
{
  json_t *json = json_object ();
  for (unsigned status = 0; status <= MAX_STATUS; status++)
    {
      char name[16];
      if (bench->statuses[status] == 0)
        continue;
      g_snprintf (name, sizeof name, "%u", status);
      json_object_set_new (json, name,
                           json_integer ((json_int_t)bench->statuses[status]));
    }
  return json;
}

static void
print_report (const bench_t *bench)
{
  double seconds
      = (double)(bench->ended_ns - bench->begun_ns) / (double)NS_PER_S;
  json_t *classes = json_object ();
  for (unsigned i = 0; i < bench->classes.count; i++)
    {
      const choice_t *class = &bench->classes.items[i];
      json_t *json = bench_histogram_json (class->latency);
      json_object_set_new (json, "ran",
                           json_integer ((json_int_t) class->ran));
      json_object_set_new (json, "refused",
                           json_integer ((json_int_t) class->other_outcomes));
      json_object_set_new (classes, class->name, json);
    }
  json_t *report = json_pack (
      "{s:I,s:f,s:f,s:I,s:I,s:I,s:{s:I,s:I,s:I,s:I,s:I},s:I,s:o,s:o,s:o}",
      "seed", (json_int_t)bench->settings.seed, "rate", bench->settings.rate,
      "seconds", seconds, "sent", (json_int_t)bench->sent, "not_sent",
      (json_int_t)bench->not_sent, "unfinished", (json_int_t)bench->in_flight,
      "outcomes", "ran", (json_int_t)bench->ran, "not_run",
      (json_int_t)bench->not_run, "unknown", (json_int_t)bench->unknown,
      "no_connection", (json_int_t)bench->no_connection, "cut",
      (json_int_t)bench->cut, "wrong_answers",
      (json_int_t)bench->wrong_answers, "statuses", statuses_json (bench),
      "latency", bench_histogram_json (&bench->entry_latency), "classes",
      classes);
  if (bench->directs != NULL)
    {
      json_t *direct = bench_histogram_json (&bench->direct_latency);
      json_object_set_new (direct, "failed",
                           json_integer ((json_int_t)bench->direct_failed));
      json_object_set_new (report, "direct", direct);
      json_t *added = json_object ();
      static const struct
      {
        const char *name;
        double quantile;
      } quantiles[]
          = { { "p50_us", 0.5 }, { "p90_us", 0.9 }, { "p99_us", 0.99 } };
      for (size_t i = 0; i < G_N_ELEMENTS (quantiles); i++)
        json_object_set_new (
            added, quantiles[i].name,
            json_integer ((json_int_t)bench_histogram_quantile_us (
                              &bench->entry_latency, quantiles[i].quantile)
                          - (json_int_t)bench_histogram_quantile_us (
                              &bench->direct_latency, quantiles[i].quantile)));
      json_object_set_new (report, "added", added);
    }
  json_dumpf (report, stdout, JSON_COMPACT);
  putchar ('\n');
  json_decref (report);
  if (!bench->settings.plot)
    return;
  bench_histogram_plot (&bench->entry_latency, "through entries", stderr);
  if (bench->directs != NULL)
    bench_histogram_plot (&bench->direct_latency, "direct", stderr);
}

static int
run_load (bench_t *bench)
{
  static const httpc_options_t options = { .max_connections_per_host = 0,
                                           .max_idle_s = 5,
                                           .max_age_s = 60,
                                           .connect_timeout_ms = 2000 };
  bench->loop = ev_default_loop (EVFLAG_AUTO);
  bench->client = httpc_new (bench->loop, &options);
  /* Below the 64 connections that a backend server accepts.  */
  httpc_options_t direct_options = options;
  direct_options.max_connections_per_host = 60;
  bench->direct_client = httpc_new (bench->loop, &direct_options);
  bench->random = g_rand_new_with_seed ((guint32)bench->settings.seed);
  bench->timer_fd = timerfd_create (CLOCK_MONOTONIC, TFD_NONBLOCK);
  ev_io_init (&bench->arrival_watcher, on_arrival_timer, bench->timer_fd,
              EV_READ);
  ev_timer_init (&bench->drain_timer, on_drain_timeout, DRAIN_TIMEOUT_S, 0.0);
  bench->arrival_watcher.data = bench;
  bench->sending = true;
  bench->begun_ns = bench->next_ns = now_ns ();
  bench->stop_ns = bench->begun_ns
                   + (int64_t)(bench->settings.duration_s * (double)NS_PER_S);
  schedule_next_arrival (bench);
  arm_arrival_timer (bench);
  ev_io_start (bench->loop, &bench->arrival_watcher);
  ev_run (bench->loop, 0);
  print_report (bench);
  bool passed
      = bench->wrong_answers == 0 && bench->in_flight == 0 && bench->sent > 0;
  close (bench->timer_fd);
  httpc_free (bench->client);
  httpc_free (bench->direct_client);
  g_rand_free (bench->random);
  return passed ? 0 : 1;
}

/* Splits TEXT, the value of FLAG, into URLs (g_strfreev).  Returns NULL after
   printing a message if one is invalid.  */
static char **
split_urls (const char *flag, const char *text)
{
  char **urls = g_strsplit (text, ",", MAX_URLS);
  for (unsigned i = 0; urls[i] != NULL; i++)
    if (!g_str_has_prefix (urls[i], "http://"))
      {
        fprintf (stderr,
                 "magnoliadock bench http: --%s: invalid value \"%s\", "
                 "expected http://IP:PORT[,...]\n",
                 flag, urls[i]);
        g_strfreev (urls);
        return NULL;
      }
  return urls;
}

int
bench_http_run (int argc, char **argv)
{
  bench_t *bench = g_new0 (bench_t, 1);
  settings_t *settings = &bench->settings;
  int code = err_info (ERR_USAGE)->exit_code;
  if (!options_parse (bench_http_options, settings,
                      "Sends requests to entries at a fixed rate, however "
                      "long the answers take; latency counts from the "
                      "intended send time.",
                      argc, argv, NULL)
      || !parse_mix (&bench->classes, "classes", settings->classes)
      || !parse_mix (&bench->teams, "teams", settings->teams)
      || !parse_mix (&bench->bodies, "bodies", settings->bodies))
    goto out;
  bench->targets = split_urls ("targets", settings->targets);
  if (settings->direct != NULL)
    bench->directs = split_urls ("direct", settings->direct);
  if (bench->targets == NULL
      || (settings->direct != NULL && bench->directs == NULL))
    goto out;
  if (settings->not_run_file != NULL)
    {
      bench->not_run_file = fopen (settings->not_run_file, "w");
      if (bench->not_run_file == NULL)
        {
          fprintf (stderr, "magnoliadock bench http: --not-run-file: %s: %s\n",
                   settings->not_run_file, g_strerror (errno));
          goto out;
        }
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  code = run_load (bench);
  curl_global_cleanup ();
  if (bench->not_run_file != NULL)
    fclose (bench->not_run_file);

out:
  mix_clear (&bench->classes);
  mix_clear (&bench->teams);
  mix_clear (&bench->bodies);
  g_strfreev (bench->targets);
  g_strfreev (bench->directs);
  options_clear (bench_http_options, settings);
  g_free (bench);
  return code;
}
