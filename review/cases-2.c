#include "drive-2.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The cases that need a script: cases NAME FOLDER.  */

/* Bounds of the settings.  */
#define CANCEL_MS 3000
#define CONTACT_MS 3000
/* The largest that a site file names, ...  */
#define SLOW_FACTOR 67
/* ... and the longest that a site file lets the store be slow.  */
#define SLOW_MS 5600

static int64_t
number_after (const char *line)
{
  double seconds = 0;
  return sscanf (line, "%lf", &seconds) == 1 ? (int64_t)(seconds * 1000) : 0;
}

static bool
submit (uint32_t node, const char *id, const char *body, int64_t give_up_ms)
{
  drive_answer_t answer = drive_call (node, "POST", id, body, give_up_ms);
  g_free (answer.body);
  return answer.status == 200;
}

/* Whether the stand-in's figure NAME reaches VALUE within LIMIT_MS.  */
static bool
reaches (const char *name, int64_t value, int64_t limit_ms)
{
  int64_t end_ms = drive_now_ms () + limit_ms;
  while (drive_now_ms () < end_ms)
    {
      if (drive_figure (name) >= value)
        return true;
      drive_sleep_ms (50);
    }
  return false;
}

static bool
state_is (const char *id, const char *state)
{
  drive_answer_t answer = drive_call (0, "GET", id, NULL, 0);
  bool is = strstr (answer.body, state) != NULL;
  g_free (answer.body);
  return is;
}

/* Case "wide": large jobs, whose records take several rows of the store, end
   while the store is slow, and the owner is killed.  */

#define WIDE_JOBS 4
#define WIDE_STEPS 64
#define WIDE_COUNT 35
/* As of a digest in hexadecimal digits.  */
#define WIDE_CHECKPOINT_BYTES "64"
/* When the owner is killed, from then on.  */
#define WIDE_FIRST_KILL_MS 2000
#define WIDE_LAST_KILL_MS 5000
/* Runs that have ended when the store becomes slow.  */
#define WIDE_ENDS 1500
#define SEGMENT_TASKS 32
#define SEGMENTS (WIDE_STEPS * WIDE_COUNT / SEGMENT_TASKS)

typedef struct
{
  char *text[SEGMENTS]; /* rows as read last; NULL: no row */
  bool seen[SEGMENTS][WIDE_STEPS];
} wide_record_t;

static void
wide_id (char id[17], int job)
{
  snprintf (id, 17, "aaaaaaaaaaaaaaa%d", job + 1);
}

static bool
has_line (const char *text, char kind, int step)
{
  char line[24];
  snprintf (line, sizeof line, "%c 0 %d", kind, step);
  size_t length = strlen (line);
  for (const char *at = strstr (text, line); at != NULL;
       at = strstr (at + 1, line))
    if ((at == text || at[-1] == '\n')
        && (at[length] == ' ' || at[length] == '\n'))
      return true;
  return false;
}

/* Reads the rows of all records.  */
static void
read_records (wide_record_t records[WIDE_JOBS])
{
  drive_answer_t answer
      = drive_store_call ("GET", "/api/rows-get?table=record&part=pool", NULL);
  json_t *reply = json_loads (answer.body, 0, NULL);
  const json_t *rows = json_object_get (reply, "rows");
  for (int job = 0; job < WIDE_JOBS; job++)
    for (int n = 0; n < SEGMENTS; n++)
      g_clear_pointer (&records[job].text[n], g_free);
  for (size_t i = 0; i < json_array_size (rows); i++)
    {
      const json_t *row = json_array_get (rows, i);
      const char *key = json_string_value (json_object_get (row, "key"));
      const char *value = json_string_value (json_object_get (row, "value"));
      int job;
      int number;
      if (key != NULL && value != NULL
          && sscanf (key, "aaaaaaaaaaaaaaa%d/%d", &job, &number) == 2
          && job >= 1 && job <= WIDE_JOBS && number < SEGMENTS)
        records[job - 1].text[number] = drive_decode (value);
    }
  json_decref (reply);
  g_free (answer.body);
}

/* Whether a row of JOB no longer has the lines of a step that has ended, while
   the row that is to say so does not yet.  */
static bool
lacks_lines (int job, wide_record_t *record)
{
  bool lacks = false;
  for (int step = 0; step < WIDE_STEPS; step++)
    {
      int first = step * WIDE_COUNT / SEGMENT_TASKS;
      int last = ((step + 1) * WIDE_COUNT - 1) / SEGMENT_TASKS;
      for (int n = first; n <= last; n++)
        {
          const char *text = record->text[n];
          bool there = text != NULL && has_line (text, 'g', step);
          if (n > first && text != NULL && !there && record->seen[n][step]
              && record->text[first] != NULL
              && !has_line (record->text[first], 'f', step) && !lacks)
            {
              drive_record ("store: rows %d and %d of job %d say nothing of "
                            "tasks %d to %d of step %d, which have ended",
                            first, n, job + 1,
                            n * SEGMENT_TASKS - step * WIDE_COUNT,
                            WIDE_COUNT - 1, step);
              lacks = true;
            }
          record->seen[n][step] = record->seen[n][step] || there;
        }
    }
  return lacks;
}

static void
kill_owner (int owner)
{
  if (owner < 0)
    drive_end (2);
  drive_kill_node ((uint32_t)owner);
  drive_sleep_ms (500);
  drive_restart_node ((uint32_t)owner);
}

/* Kills the owner between 2 and 5 s after the store has become slow, as soon
   as rows of a record do not fit together.  */
static void
play_wide_trouble (void)
{
  wide_record_t *records = g_new0 (wide_record_t, WIDE_JOBS);
  int owner = drive_owner ();
  drive_slow_store (SLOW_FACTOR);
  int64_t end_ms = drive_now_ms () + SLOW_MS;
  int64_t first_ms = drive_now_ms () + WIDE_FIRST_KILL_MS;
  int64_t last_ms = drive_now_ms () + WIDE_LAST_KILL_MS;
  bool found = false;
  while (!(found && drive_now_ms () >= first_ms) && drive_now_ms () < last_ms)
    {
      found = false;
      read_records (records);
      for (int job = 0; job < WIDE_JOBS; job++)
        found = lacks_lines (job, &records[job]) || found;
    }
  kill_owner (owner);
  while (drive_now_ms () < end_ms)
    drive_sleep_ms (20);
  drive_slow_store (0);
}

static void
submit_wide (int job)
{
  char id[17];
  GString *body = g_string_new ("{\"spec\":\"5 12000 3000\",\"steps\":[");
  wide_id (id, job);
  for (int i = 0; i < WIDE_STEPS; i++)
    g_string_append_printf (
        body,
        "%s{\"count\":%d,\"cpu\":5,\"mem_mb\":1,\"estimated_ms\":12000,"
        "\"use_checkpoints\":true}",
        i > 0 ? "," : "", WIDE_COUNT);
  g_string_append (body, "]}");
  if (!submit (1, id, body->str, 0))
    drive_end (2);
  g_string_free (body, TRUE);
}

static void
play_wide (const char *folder)
{
  const int64_t tasks = WIDE_JOBS * WIDE_STEPS * WIDE_COUNT;
  setenv ("CHECKPOINT_BYTES", WIDE_CHECKPOINT_BYTES, 1);
  drive_start (folder, 8, 1, 3);
  for (int job = 0; job < WIDE_JOBS; job++)
    submit_wide (job);
  /* All have started when the first ones end.  */
  for (int i = 0; i < 400 && drive_count_lines (" done on ") < WIDE_ENDS; i++)
    drive_sleep_ms (50);
  drive_record ("starts=%lld of %lld", (long long)drive_figure ("starts"),
                (long long)tasks);
  if (drive_trouble ())
    play_wide_trouble ();
  int64_t end_ms = drive_now_ms () + 45000;
  bool completed = false;
  while (!completed && drive_now_ms () < end_ms)
    {
      completed = true;
      for (int job = 0; job < WIDE_JOBS && completed; job++)
        {
          char id[17];
          wide_id (id, job);
          completed = state_is (id, "completed");
        }
      drive_sleep_ms (1000);
    }
  drive_sleep_ms (2000);
  drive_record ("tasks that started again after their end as done: %u",
                drive_count_lines (": TWICE "));
  if (drive_count_lines (": TWICE ") > 0)
    drive_end (1);
  drive_end (completed ? 0 : 2);
}

/* Case "cancel": a client hands in a job while the store is slow, leaves, and
   cancels the job.  */

#define CANCEL_SLOW_FACTOR 40
/* Less than half of an objective of 250 ms.  */
#define LEAVES_MS 50

static void
play_cancel (const char *folder)
{
  static const char id[] = "c0ffee00c0ffee00";
  static const char body[]
      = "{\"spec\":\"1000 9000\",\"steps\":[{\"count\":1,\"cpu\":1000,"
        "\"mem_mb\":10,\"estimated_ms\":9000},{\"count\":2,\"cpu\":1000,"
        "\"mem_mb\":10,\"estimated_ms\":9000,\"after\":[0]}]}";
  drive_start (folder, 4, 1, 3);
  int64_t slow_ms = drive_now_ms ();
  if (drive_trouble ())
    {
      drive_slow_store (CANCEL_SLOW_FACTOR);
      drive_sleep_ms (1500);
    }
  submit (0, id, body, LEAVES_MS);
  int64_t acknowledged_ms = 0;
  int status = 0;
  for (int i = 0; i < 20 && acknowledged_ms == 0; i++)
    {
      drive_answer_t answer = drive_call (1, "DELETE", id, NULL, 0);
      status = answer.status;
      g_free (answer.body);
      if (status == 410 || status / 100 == 2)
        acknowledged_ms = drive_now_ms ();
      else
        drive_sleep_ms (100);
    }
  if (acknowledged_ms == 0)
    drive_end (2);
  drive_record ("the cancel is acknowledged with %d", status);
  while (drive_trouble () && drive_now_ms () < slow_ms + SLOW_MS)
    drive_sleep_ms (20);
  int64_t calm_ms = drive_now_ms ();
  if (drive_trouble ())
    drive_slow_store (0);
  drive_sleep_ms (20000);
  drive_answer_t answer = drive_call (2, "GET", id, NULL, 0);
  g_free (answer.body);
  char line[256];
  bool started
      = drive_last_line (": start c0ffee00c0ffee00.0.1.", line, sizeof line);
  int64_t at_ms = started ? number_after (line) : 0;
  if (started)
    drive_record ("a task of the second step started %lld ms after the "
                  "acknowledgement of the cancel and %lld ms after the store "
                  "was as usual again",
                  (long long)(at_ms - acknowledged_ms),
                  (long long)(at_ms - calm_ms));
  drive_end (started && at_ms > acknowledged_ms + CANCEL_MS
                     && at_ms > calm_ms + CONTACT_MS
                 ? 1
                 : 0);
}

/* Case "late": a start without an answer is repeated, and its task is done;
   the minion crashes, and its next life carries out the first start.  */

#define LATE_START_MS "4000"
#define LATE_DOWN_MS "1500"
/* From the first start to the crash of its minion.  */
#define LATE_CRASH_MS 3000

/* The only route, without advice.  */
static void
put_plain_route (void)
{
  static const char config[]
      = "{\"version\":2,\"routes\":[{\"name\":\"queue\",\"host\":\"host\","
        "\"path_prefix\":\"/queue/\",\"service\":\"pool\",\"priority\":0,"
        "\"max_attempts\":3,\"target_latency_ms\":500,\"stretch\":2.0}],"
        "\"services\":[{\"name\":\"pool\"}]}";
  char *encoded = g_base64_encode ((const guchar *)config, strlen (config));
  char *body = g_strdup_printf (
      "{\"expect\":[],\"remove\":[],\"writes\":[{\"table\":\"op\","
      "\"part\":\"\",\"key\":\"config\",\"value\":\"%s\"}]}",
      encoded);
  drive_answer_t answer = drive_store_call ("POST", "/api/rows-tx", body);
  drive_record ("operator: version 2, a route without advice -> %d",
                answer.status);
  g_free (answer.body);
  g_free (body);
  g_free (encoded);
  drive_sleep_ms (2500);
}

static void
play_late (const char *folder)
{
  static const char id[] = "1a7e000000000001";
  static const char body[]
      = "{\"spec\":\"1000 500 late\",\"steps\":[{\"count\":1,\"cpu\":1000,"
        "\"mem_mb\":10,\"estimated_ms\":500}]}";
  char line[256];
  char target[64];
  int worker = -1;
  setenv ("LATE_MS", drive_trouble () ? LATE_START_MS : "0", 1);
  setenv ("DOWN_MS", LATE_DOWN_MS, 1);
  drive_start (folder, 8, 1, 2);
  put_plain_route ();
  if (!submit (0, id, body, 0) || !reaches ("starts", 1, 5000))
    drive_end (2);
  drive_sleep_ms (LATE_CRASH_MS);
  if (!state_is (id, "completed"))
    drive_end (2);
  if (drive_trouble ())
    {
      if (drive_last_line (": no answer to the start of ", line, sizeof line))
        sscanf (strstr (line, " on i-"), " on i-%d", &worker);
      if (worker < 0)
        drive_end (2);
      snprintf (target, sizeof target, "/control/crash?worker=%d", worker);
      drive_answer_t answer = drive_store_call ("POST", target, NULL);
      g_free (answer.body);
    }
  drive_sleep_ms (6000);
  uint32_t twice = drive_count_lines (": TWICE ");
  drive_record ("tasks that started again after their end as done: %u", twice);
  drive_end (twice > 0 ? 1 : 0);
}

/* Case "entry": another writer's entry, with fields missing, stands under the
   id of a minion of another service.  */

#define ODD_ID "i-3"
/* How often it is written, until the minion's next check-in replaces it.  */
#define ODD_WRITES 4
#define ODD_WRITE_MS 500

/* Returns the entry of ODD_ID as its minion wrote it.  */
static json_t *
read_entry (void)
{
  drive_answer_t answer = drive_store_call (
      "GET", "/api/rows-get?table=servers&from=" ODD_ID "&target=" ODD_ID "~",
      NULL);
  json_t *reply = json_loads (answer.body, 0, NULL);
  const char *value = json_string_value (json_object_get (
      json_array_get (json_object_get (reply, "rows"), 0), "value"));
  char *text = drive_decode (value != NULL ? value : "");
  json_t *entry = json_loads (text, 0, NULL);
  json_decref (reply);
  g_free (text);
  g_free (answer.body);
  return entry;
}

static void
write_odd_entry (void)
{
  static const char *const missing[]
      = { "zone", "version", "slots", "sequence", "cold_remaining_ms" };
  json_t *entry = read_entry ();
  if (entry == NULL)
    drive_end (2);
  for (size_t i = 0; i < G_N_ELEMENTS (missing); i++)
    json_object_del (entry, missing[i]);
  json_object_set_new (entry, "service", json_string ("pool"));
  char *odd = json_dumps (entry, JSON_COMPACT);
  char *encoded = g_base64_encode ((const guchar *)odd, strlen (odd));
  char *body = g_strdup_printf (
      "{\"expect\":[],\"remove\":[],\"writes\":[{\"table\":\"servers\","
      "\"part\":\"\",\"key\":\"" ODD_ID "\",\"value\":\"%s\"}]}",
      encoded);
  drive_answer_t answer = drive_store_call ("POST", "/api/rows-tx", body);
  drive_record ("another writer: servers/" ODD_ID " %s -> %d", odd,
                answer.status);
  g_free (answer.body);
  g_free (body);
  g_free (encoded);
  free (odd);
  json_decref (entry);
}

static void
play_entry (const char *folder)
{
  static const char full[]
      = "{\"spec\":\"16000 20000\",\"steps\":[{\"count\":3,\"cpu\":16000,"
        "\"mem_mb\":10,\"estimated_ms\":20000}]}";
  /* The minions 0 and 1 are of "pool", to which the queue's route leads, 2 and
     3 of "pool-2".  */
  drive_start (folder, 4, 2, 2);
  if (!submit (0, "e000000000000001", full, 0)
      || !reaches ("running", 2, 5000))
    drive_end (2);
  drive_sleep_ms (1000);
  for (int i = 0; drive_trouble () && i < ODD_WRITES; i++)
    {
      write_odd_entry ();
      drive_sleep_ms (ODD_WRITE_MS);
    }
  drive_sleep_ms (5000);
  uint32_t starts = drive_count_lines (" run 1 on i-2")
                    + drive_count_lines (" run 1 on i-3");
  drive_record ("tasks started on minions of the other service: %u", starts);
  drive_end (starts > 0 ? 1 : 0);
}

int
main (int argc, char **argv)
{
  static const struct
  {
    const char *name;
    void (*play) (const char *folder);
  } cases[] = { { "wide", play_wide },
                { "cancel", play_cancel },
                { "late", play_late },
                { "entry", play_entry } };
  for (size_t i = 0; argc == 3 && i < G_N_ELEMENTS (cases); i++)
    if (strcmp (argv[1], cases[i].name) == 0)
      cases[i].play (argv[2]);
  fprintf (stderr, "usage: %s CASE FOLDER\n", argv[0]);
  return 2;
}
