#include "burn_store.h"
#include "log.h"

#include <inttypes.h>
#include <string.h>

#define WRITE_PERIOD_MS 60000
/* By then no window needs the minutes of the hour and no entry writes its row
   any more.  */
#define FOLD_AFTER_HOURS 7
#define FOLD_PERIOD_MS 60000
/* The hours whose minutes are in memory: their rows can still be written after
   an outage of the table service.  */
#define KEPT_HOURS (BURN_MINUTES_KEPT / 60)

/* What is known of this process's row of one hour.  */
typedef struct
{
  int64_t hour;
  int64_t row_version; /* -1: not known, has to be read */
  bool dirty;          /* has counts that are not in the row yet */
} hour_state_t;

struct burn_store
{
  const clk_t *clock;
  table_t *table;
  char *self; /* ENTRY@INCARNATION */
  char *zone;
  doc_t *doc;
  burn_t *burn; /* counts of this process */
  int64_t write_at_ms, fold_at_ms;
  hour_state_t hours[KEPT_HOURS]; /* at HOUR modulo the size */
  hour_state_t *writing; /* whose row is being read or written, NULL: none */
  bool folding;          /* from the scan to the end of the transaction */
  struct fold *fold;     /* NULL until the scan is done */
};

/* Rows of one hour that are being added to the total.  */
typedef struct fold
{
  burn_store_t *burn_store;
  GPtrArray *keys;
  GArray *versions; /* int64_t for each of KEYS */
  burn_t *sum;
} fold_t;

static int64_t
hour_now (const burn_store_t *burn_store)
{
  return clk_wall_ms (burn_store->clock) / 3600000;
}

burn_store_t *
burn_store_new (const clk_t *clock, table_t *table, const char *self,
                const char *zone)
{
  burn_store_t *burn_store = g_new0 (burn_store_t, 1);
  burn_store->clock = clock;
  burn_store->table = table;
  burn_store->self = g_strdup (self);
  burn_store->zone = g_strdup (zone);
  burn_store->burn = burn_new ();
  /* Spreads the writes of entries that started at the same time.  */
  int64_t spread_ms = g_str_hash (self) % WRITE_PERIOD_MS;
  burn_store->write_at_ms = clk_now_ms (clock) + spread_ms;
  burn_store->fold_at_ms = clk_now_ms (clock) + FOLD_PERIOD_MS + spread_ms;
  return burn_store;
}

static void
fold_free (fold_t *fold)
{
  g_ptr_array_free (fold->keys, TRUE);
  g_array_free (fold->versions, TRUE);
  burn_free (fold->sum);
  g_free (fold);
}

void
burn_store_free (burn_store_t *burn_store)
{
  if (burn_store == NULL)
    return;
  if (burn_store->fold != NULL)
    fold_free (burn_store->fold);
  doc_unref (burn_store->doc);
  burn_free (burn_store->burn);
  g_free (burn_store->self);
  g_free (burn_store->zone);
  g_free (burn_store);
}

void
burn_store_set_document (burn_store_t *burn_store, doc_t *doc)
{
  doc_unref (burn_store->doc);
  burn_store->doc = doc_ref (doc);
}

void
burn_store_count (burn_store_t *burn_store, const char *service, bool answered,
                  int64_t latency_ms, int64_t wait_ms)
{
  doc_objective_t objective;
  if (!doc_objective (burn_store->doc, service, &objective))
    return;
  burn_count (burn_store->burn, service, &objective,
              clk_wall_ms (burn_store->clock), answered, latency_ms, wait_ms);
  int64_t hour = hour_now (burn_store);
  hour_state_t *state = &burn_store->hours[hour % KEPT_HOURS];
  /* STATE may still hold an earlier hour, and keeps it while the row of that
     hour is being written; the next count after that moves STATE to HOUR.  */
  if (state->hour != hour && state != burn_store->writing)
    *state = (hour_state_t){ .hour = hour };
  state->dirty = true;
}

static void
on_own_row_written (void *context, err_kind_t kind, const int64_t *versions,
                    uint32_t count)
{
  burn_store_t *burn_store = context;
  hour_state_t *state = burn_store->writing;
  burn_store->writing = NULL;
  /* Only this process writes its rows, so the version is known until a write
     fails; then the next write reads it first.  */
  state->row_version
      = kind == ERR_OK && count == 1 && versions != NULL ? versions[0] : -1;
  if (kind != ERR_OK)
    state->dirty = true;
}

static char *
own_row_key (const burn_store_t *burn_store, int64_t hour)
{
  return g_strdup_printf ("burn/%s/hour/%" PRId64 "/%s", burn_store->zone,
                          hour, burn_store->self);
}

static void
write_own_row (burn_store_t *burn_store)
{
  hour_state_t *state = burn_store->writing;
  json_t *value = burn_hour_row (burn_store->burn, state->hour);
  state->dirty = false;
  if (value == NULL)
    {
      burn_store->writing = NULL;
      return;
    }
  char *key = own_row_key (burn_store, state->hour);
  const table_row_t check = { .key = key, .version = state->row_version };
  const table_row_t row = { .key = key, .value = value };
  burn_store->table->ops->txn (burn_store->table, &check, 1, &row, 1,
                               on_own_row_written, burn_store);
  json_decref (value);
  g_free (key);
}

static void
on_own_row_read (void *context, err_kind_t kind, const table_row_t *rows,
                 uint32_t count)
{
  burn_store_t *burn_store = context;
  if (kind != ERR_OK || count != 1)
    {
      burn_store->writing = NULL;
      return;
    }
  burn_store->writing->row_version = rows[0].version;
  write_own_row (burn_store);
}

/* Starts to write the row of the oldest hour that has unwritten counts.  */
static void
start_write (burn_store_t *burn_store)
{
  hour_state_t *oldest = NULL;
  for (unsigned i = 0; i < KEPT_HOURS; i++)
    {
      hour_state_t *state = &burn_store->hours[i];
      /* The rows of older hours may have been folded already.  */
      if (state->dirty && state->hour > hour_now (burn_store) - KEPT_HOURS
          && (oldest == NULL || state->hour < oldest->hour))
        oldest = state;
    }
  if (oldest == NULL)
    return;
  burn_store->writing = oldest;
  if (oldest->row_version >= 0)
    {
      write_own_row (burn_store);
      return;
    }
  char *key = own_row_key (burn_store, oldest->hour);
  burn_store->table->ops->get (burn_store->table, key, on_own_row_read,
                               burn_store);
  g_free (key);
}

static void
end_fold (void *context, err_kind_t kind, const int64_t *versions,
          uint32_t count)
{
  fold_t *fold = context;
  burn_store_t *burn_store = fold->burn_store;
  char rows[16];
  g_snprintf (rows, sizeof rows, "%u", fold->keys->len);
  log_event (LOG_INFO, "burn_folded", "rows", rows, "result", err_name (kind),
             NULL);
  fold_free (fold);
  burn_store->fold = NULL;
  burn_store->folding = false;
}

/* Writes the total with the hour's rows added and deletes these rows in one
   transaction that checks all versions, so that a repeated or late fold cannot
   count a row twice.  */
static void
on_total_read (void *context, err_kind_t kind, const table_row_t *rows,
               uint32_t count)
{
  fold_t *fold = context;
  burn_store_t *burn_store = fold->burn_store;
  if (kind != ERR_OK || count != 1
      || (rows[0].value != NULL && !burn_merge (fold->sum, rows[0].value)))
    {
      end_fold (fold, kind != ERR_OK ? kind : ERR_INTERNAL, NULL, 0);
      return;
    }
  char *total_key = g_strdup_printf ("burn/%s/total", burn_store->zone);
  json_t *total = burn_total_row (fold->sum);
  unsigned size = fold->keys->len + 1;
  table_row_t *checks = g_new0 (table_row_t, size);
  table_row_t *writes = g_new0 (table_row_t, size);
  for (unsigned i = 0; i < fold->keys->len; i++)
    {
      checks[i].key = writes[i].key = g_ptr_array_index (fold->keys, i);
      checks[i].version = g_array_index (fold->versions, int64_t, i);
    }
  checks[size - 1]
      = (table_row_t){ .key = total_key, .version = rows[0].version };
  writes[size - 1] = (table_row_t){ .key = total_key, .value = total };
  burn_store->table->ops->txn (burn_store->table, checks, size, writes, size,
                               end_fold, fold);
  json_decref (total);
  g_free (total_key);
  g_free (checks);
  g_free (writes);
}

/* Returns the hour in a key "burn/ZONE/hour/HOUR/ENTRY@INCARNATION", -1 for
   other keys.  */
static int64_t
hour_of_key (const char *key)
{
  const char *hour = strstr (key, "/hour/");
  return hour != NULL ? g_ascii_strtoll (hour + strlen ("/hour/"), NULL, 10)
                      : -1;
}

static void
on_hour_rows_scanned (void *context, err_kind_t kind, const table_row_t *rows,
                      uint32_t count)
{
  burn_store_t *burn_store = context;
  if (kind != ERR_OK)
    {
      burn_store->folding = false;
      return;
    }
  fold_t *fold = g_new0 (fold_t, 1);
  fold->burn_store = burn_store;
  fold->keys = g_ptr_array_new_with_free_func (g_free);
  fold->versions = g_array_new (FALSE, FALSE, sizeof (int64_t));
  fold->sum = burn_new ();
  int64_t oldest = -1;
  for (uint32_t i = 0; i < count; i++)
    {
      int64_t hour = hour_of_key (rows[i].key);
      if (hour < 0 || hour > hour_now (burn_store) - FOLD_AFTER_HOURS)
        continue;
      if (oldest < 0)
        oldest = hour;
      /* A transaction folds one hour; rows are scanned in order of hours.  */
      if (hour != oldest || !burn_merge (fold->sum, rows[i].value))
        continue;
      g_ptr_array_add (fold->keys, g_strdup (rows[i].key));
      g_array_append_val (fold->versions, rows[i].version);
    }
  if (fold->keys->len == 0)
    {
      fold_free (fold);
      burn_store->folding = false;
      return;
    }
  burn_store->fold = fold;
  char *key = g_strdup_printf ("burn/%s/total", burn_store->zone);
  burn_store->table->ops->get (burn_store->table, key, on_total_read, fold);
  g_free (key);
}

void
burn_store_tick (burn_store_t *burn_store, bool folds)
{
  int64_t now_ms = clk_now_ms (burn_store->clock);
  if (burn_store->table == NULL)
    return;
  if (burn_store->writing == NULL && now_ms >= burn_store->write_at_ms)
    {
      burn_store->write_at_ms = now_ms + WRITE_PERIOD_MS;
      start_write (burn_store);
    }
  if (folds && !burn_store->folding && now_ms >= burn_store->fold_at_ms)
    {
      burn_store->fold_at_ms = now_ms + FOLD_PERIOD_MS;
      burn_store->folding = true;
      char *prefix = g_strdup_printf ("burn/%s/hour/", burn_store->zone);
      burn_store->table->ops->scan (burn_store->table, prefix,
                                    on_hour_rows_scanned, burn_store);
      g_free (prefix);
    }
}

void
burn_store_flush (burn_store_t *burn_store)
{
  if (burn_store->table != NULL && burn_store->writing == NULL)
    start_write (burn_store);
}

bool
burn_store_idle (const burn_store_t *burn_store)
{
  return burn_store->writing == NULL;
}

typedef struct
{
  burn_store_t *burn_store;
  burn_store_done_t done;
  void *context;
} read_t;

static void
on_all_scanned (void *context, err_kind_t kind, const table_row_t *rows,
                uint32_t count)
{
  read_t *read = context;
  burn_store_t *burn_store = read->burn_store;
  burn_t *sum = burn_new ();
  int64_t hour = hour_now (burn_store);
  /* For the hours in memory this process's own rows are skipped, since its
     counts are newer.  */
  for (uint32_t i = 0; kind == ERR_OK && i < count; i++)
    if (!g_str_has_suffix (rows[i].key, burn_store->self)
        || hour_of_key (rows[i].key) <= hour - KEPT_HOURS)
      burn_merge (sum, rows[i].value);
  for (int64_t kept_hour = hour - KEPT_HOURS + 1; kept_hour <= hour;
       kept_hour++)
    {
      json_t *own = burn_hour_row (burn_store->burn, kept_hour);
      if (own != NULL)
        burn_merge (sum, own);
      json_decref (own);
    }
  read->done (read->context, kind, sum, burn_store->doc);
  burn_free (sum);
  g_free (read);
}

void
burn_store_read (burn_store_t *burn_store, burn_store_done_t done,
                 void *context)
{
  read_t *read = g_new (read_t, 1);
  *read
      = (read_t){ .burn_store = burn_store, .done = done, .context = context };
  if (burn_store->table == NULL)
    on_all_scanned (read, ERR_STORE_UNAVAILABLE, NULL, 0);
  else
    burn_store->table->ops->scan (burn_store->table, "burn/", on_all_scanned,
                                  read);
}

void
burn_store_each_own (const burn_store_t *burn_store,
                     void (*each) (void *context, const char *service,
                                   burn_kind_t kind,
                                   const burn_status_t *status),
                     void *context)
{
  doc_t *doc = burn_store->doc;
  int64_t wall_ms = clk_wall_ms (burn_store->clock);
  for (size_t i = 0; doc != NULL && i < doc_section_count (doc); i++)
    {
      const doc_section_t *section = doc_section_at (doc, i);
      const char *service = doc_section_name (section);
      doc_objective_t objective;
      if (doc_section_type (section) != DOC_OBJECTIVE)
        continue;
      doc_objective (doc, service, &objective);
      for (unsigned kind = 0; kind < BURN_KIND_COUNT; kind++)
        {
          burn_status_t status;
          burn_status (burn_store->burn, service, &objective,
                       (burn_kind_t)kind, wall_ms, &status);
          each (context, service, (burn_kind_t)kind, &status);
        }
    }
}
