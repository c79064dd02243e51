#include "replica.h"

#include "log.h"

#include <string.h>

/* Pause after a call that failed.  */
#define RETRY_S 0.1
/* Reads of a range hold up to 1 MB.  */
#define READ_LIMIT_MS 3000

typedef struct
{
  char *part;
  char *key;
  char *value;
  size_t length;
  uint64_t version;
  uint32_t round; /* of the last reading that held it */
} copy_t;

struct replica
{
  site_t *site;
  struct ev_loop *loop;
  char *table;
  char **parts;
  int64_t wait_ms, slack_ms, gap_ms;
  replica_events_t events;
  void *context;
  GHashTable *rows; /* "PART\nKEY" -> copy_t, owned */
  ev_timer retry;
  uint64_t after;
  uint64_t read_version; /* smallest of the reading under way */
  uint32_t part;         /* being read */
  char *from;            /* next key of the part, NULL: its first */
  uint32_t round;
  bool loaded, reading, open, dead, failing;
};

static void next_call (replica_t *replica);

static void
copy_free (void *data)
{
  copy_t *copy = data;
  g_free (copy->part);
  g_free (copy->key);
  g_free (copy->value);
  g_free (copy);
}

static char *
row_name (const char *part, const char *key)
{
  return g_strconcat (part, "\n", key, NULL);
}

static void
take_row (replica_t *replica, const site_row_t *row)
{
  char *name = row_name (row->part, row->key);
  copy_t *copy = g_hash_table_lookup (replica->rows, name);
  if (copy != NULL && row->version != 0 && copy->version >= row->version
      && row->value != NULL)
    {
      copy->round = replica->round;
      g_free (name);
      return;
    }
  if (row->value == NULL)
    {
      if (copy != NULL && row->version != 0 && row->version < copy->version)
        {
          g_free (name);
          return;
        }
      bool known = g_hash_table_remove (replica->rows, name);
      g_free (name);
      if (known)
        replica->events.changed (replica->context, row->part, row->key, NULL,
                                 0);
      return;
    }
  copy = g_new0 (copy_t, 1);
  copy->part = g_strdup (row->part);
  copy->key = g_strdup (row->key);
  copy->value = g_malloc (row->length + 1);
  memcpy (copy->value, row->value, row->length);
  copy->value[row->length] = '\0';
  copy->length = row->length;
  copy->version = row->version;
  copy->round = replica->round;
  g_hash_table_replace (replica->rows, name, copy);
  replica->events.changed (replica->context, row->part, row->key, copy->value,
                           copy->length);
}

/* Removes the rows that the reading just finished did not hold.  */
static void
drop_missing (replica_t *replica)
{
  GPtrArray *missing = g_ptr_array_new ();
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, replica->rows);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    if (((copy_t *)value)->round != replica->round)
      g_ptr_array_add (missing, value);
  for (guint i = 0; i < missing->len; i++)
    {
      const copy_t *copy = missing->pdata[i];
      char *part = g_strdup (copy->part);
      char *key = g_strdup (copy->key);
      site_row_t row = { replica->table, part, key, 0, NULL, 0 };
      take_row (replica, &row);
      g_free (part);
      g_free (key);
    }
  g_ptr_array_unref (missing);
}

static void
finish_reading (replica_t *replica)
{
  drop_missing (replica);
  replica->reading = false;
  replica->after = replica->read_version;
  if (replica->loaded)
    return;
  replica->loaded = true;
  if (replica->events.loaded != NULL)
    replica->events.loaded (replica->context);
}

static void
begin_reading (replica_t *replica)
{
  replica->reading = true;
  replica->round++;
  replica->part = 0;
  replica->read_version = G_MAXUINT64;
  g_clear_pointer (&replica->from, g_free);
}

static void
take_page (replica_t *replica, const site_rows_t *reply)
{
  replica->read_version = MIN (replica->read_version, reply->version);
  for (uint32_t i = 0; i < reply->count; i++)
    take_row (replica, &reply->rows[i]);
  g_clear_pointer (&replica->from, g_free);
  if (reply->more && reply->count > 0)
    /* The smallest key above the last one.  */
    replica->from
        = g_strconcat (reply->rows[reply->count - 1].key, "\x01", NULL);
  else if (replica->parts[++replica->part] == NULL)
    finish_reading (replica);
}

static void
on_retry (struct ev_loop *loop, ev_timer *watcher, int events)
{
  next_call (watcher->data);
}

static void
note_failure (replica_t *replica, bool failing)
{
  if (failing != replica->failing)
    log_event (failing ? LOG_WARN : LOG_INFO,
               failing ? "store_lost" : "store_back", "table", replica->table,
               NULL);
  replica->failing = failing;
}

static void
replica_destroy (replica_t *replica)
{
  g_hash_table_unref (replica->rows);
  g_strfreev (replica->parts);
  g_free (replica->table);
  g_free (replica->from);
  g_free (replica);
}

/* Takes REPLY.  Returns whether the next call may be made at once.  */
static bool
take_reply (replica_t *replica, const site_rows_t *reply)
{
  if (reply->result == STORE_OK && replica->reading)
    take_page (replica, reply);
  else if (reply->result == STORE_OK)
    {
      for (uint32_t i = 0; i < reply->count; i++)
        take_row (replica, &reply->rows[i]);
      replica->after = MAX (replica->after, reply->version);
    }
  else if (reply->result == STORE_LOST && !replica->reading)
    {
      log_event (LOG_WARN, "history_lost", "table", replica->table, NULL);
      begin_reading (replica);
    }
  else
    {
      note_failure (replica, true);
      return false;
    }
  note_failure (replica, false);
  if (replica->events.answered != NULL)
    replica->events.answered (replica->context);
  return true;
}

static void
on_reply (void *context, const site_rows_t *reply)
{
  replica_t *replica = context;
  /* Stays open meanwhile, so that an event may free the replica.  */
  bool more = !replica->dead && take_reply (replica, reply);
  replica->open = false;
  if (replica->dead)
    replica_destroy (replica);
  else if (more && (replica->gap_ms == 0 || replica->reading))
    next_call (replica);
  else
    {
      double pause_s = more ? (double)replica->gap_ms / 1000.0 : RETRY_S;
      ev_timer_set (&replica->retry, pause_s, 0.0);
      ev_timer_start (replica->loop, &replica->retry);
    }
}

static void
next_call (replica_t *replica)
{
  site_t *site = replica->site;
  replica->open = true;
  if (replica->reading)
    site->ops->read (site, replica->table, replica->parts[replica->part],
                     replica->from, NULL, READ_LIMIT_MS, on_reply, replica);
  else
    site->ops->follow (site, replica->table, replica->after, replica->wait_ms,
                       replica->wait_ms + replica->slack_ms, on_reply,
                       replica);
}

replica_t *
replica_new (site_t *site, struct ev_loop *loop,
             const replica_options_t *options, const replica_events_t *events,
             void *context)
{
  replica_t *replica = g_new0 (replica_t, 1);
  replica->site = site;
  replica->loop = loop;
  replica->table = g_strdup (options->table);
  replica->parts = g_strdupv ((char **)options->parts);
  replica->wait_ms = options->wait_ms;
  replica->slack_ms = options->slack_ms;
  replica->gap_ms = options->gap_ms;
  replica->events = *events;
  replica->context = context;
  replica->rows
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, copy_free);
  ev_init (&replica->retry, on_retry);
  replica->retry.data = replica;
  begin_reading (replica);
  next_call (replica);
  return replica;
}

void
replica_free (replica_t *replica)
{
  if (replica == NULL)
    return;
  ev_timer_stop (replica->loop, &replica->retry);
  replica->dead = true;
  if (!replica->open)
    replica_destroy (replica);
}

bool
replica_is_loaded (const replica_t *replica)
{
  return replica->loaded;
}

void
replica_replay (replica_t *replica)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, replica->rows);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const copy_t *copy = value;
      replica->events.changed (replica->context, copy->part, copy->key,
                               copy->value, copy->length);
    }
}

const char *
replica_get (const replica_t *replica, const char *part, const char *key,
             size_t *length)
{
  char *name = row_name (part, key);
  const copy_t *copy = g_hash_table_lookup (replica->rows, name);
  g_free (name);
  if (copy == NULL)
    return NULL;
  if (length != NULL)
    *length = copy->length;
  return copy->value;
}
