#include "log.h"

#include <fcntl.h>
#include <glib.h>
#include <limits.h>
#include <stdarg.h>
#include <stdint.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINES_PER_EVENT_PER_S 20
#define RATE_BUCKETS 64

/* Lines of one event in one second.  */
typedef struct
{
  const char *event;
  time_t second;
  uint32_t written_count;
  uint32_t suppressed_count;
} event_rate_t;

static const char *const level_names[] = { "debug", "info", "warn", "error" };

static struct
{
  log_level_t threshold;
  int fd;
  uint64_t dropped; /* failed writes since the last complete one */
  /* By the hash of the event; an event replaces another in its bucket.  */
  event_rate_t rates[RATE_BUCKETS];
} state = { .threshold = LOG_INFO, .fd = STDERR_FILENO };

void
log_set_output (int fd)
{
  int flags = fcntl (fd, F_GETFL);
  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
  state.fd = fd;
}

void
log_set_level (log_level_t level)
{
  state.threshold = level;
}

bool
log_level_parse (const char *name, log_level_t *level)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (level_names); i++)
    if (strcmp (name, level_names[i]) == 0)
      {
        *level = (log_level_t)i;
        return true;
      }
  return false;
}

/* Counts a line of EVENT and returns whether it may be written.  For the first
   line of EVENT in a second, *SUPPRESSED is the number of its lines that were
   suppressed in the latest earlier second with a line of EVENT; else 0.  */
static bool
check_rate_limit (const char *event, time_t second, uint32_t *suppressed)
{
  event_rate_t *rate = &state.rates[g_str_hash (event) % RATE_BUCKETS];
  *suppressed = 0;
  if (rate->event == NULL || strcmp (rate->event, event) != 0)
    *rate = (event_rate_t){ .event = event, .second = second };
  if (rate->second != second)
    {
      *suppressed = rate->suppressed_count;
      *rate = (event_rate_t){ .event = event, .second = second };
    }
  if (rate->written_count >= LINES_PER_EVENT_PER_S)
    {
      rate->suppressed_count++;
      return false;
    }
  rate->written_count++;
  return true;
}

static void
append_value (GString *line, const char *value)
{
  if (value != NULL && value[0] != '\0'
      && strpbrk (value, " \t\r\n\"\\=") == NULL)
    {
      g_string_append (line, value);
      return;
    }
  char *escaped = g_strescape (value != NULL ? value : "", NULL);
  g_string_append_printf (line, "\"%s\"", escaped);
  g_free (escaped);
}

void
log_event (log_level_t level, const char *event, ...)
{
  if (level < state.threshold)
    return;

  struct timespec now;
  clock_gettime (CLOCK_REALTIME, &now);
  uint32_t suppressed;
  if (!check_rate_limit (event, now.tv_sec, &suppressed))
    return;

  struct tm utc;
  gmtime_r (&now.tv_sec, &utc);
  char stamp[32];
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  GString *line = g_string_sized_new (160);
  g_string_append_printf (line, "time=%s.%03ldZ level=%s event=%s", stamp,
                          now.tv_nsec / 1000000, level_names[level], event);
  if (suppressed > 0)
    g_string_append_printf (line, " suppressed=%u", suppressed);
  if (state.dropped > 0)
    g_string_append_printf (line, " dropped=%" G_GUINT64_FORMAT,
                            state.dropped);

  va_list args;
  va_start (args, event);
  const char *key;
  while ((key = va_arg (args, const char *)) != NULL)
    {
      g_string_append_printf (line, " %s=", key);
      append_value (line, va_arg (args, const char *));
    }
  va_end (args);
  g_string_append_c (line, '\n');
  /* A pipe may take only a part of a longer line.  */
  if (line->len > PIPE_BUF)
    {
      g_string_truncate (line, PIPE_BUF - 1);
      g_string_append_c (line, '\n');
    }
  if (write (state.fd, line->str, line->len) == (ssize_t)line->len)
    state.dropped = 0;
  else
    state.dropped++;
  g_string_free (line, TRUE);
}
