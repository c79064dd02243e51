#include "burnrow.h"
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

struct burnrow
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
  burnrow_t *burnrow;
  GPtrArray *keys;
  GArray *versions; /* int64_t for each of KEYS */
  burn_t *sum;
} fold_t;

static int64_t
hour_now (const burnrow_t *burnrow)
{
  return clk_wall_ms (burnrow->clock) / 3600000;
}

burnrow_t *
burnrow_new (const clk_t *clock, table_t *table, const char *self,
             const char *zone)
{
  burnrow_t *burnrow = g_new0 (burnrow_t, 1);
  burnrow->clock = clock;
  burnrow->table = table;
  burnrow->self = g_strdup (self);
  burnrow->zone = g_strdup (zone);
  burnrow->burn = burn_new ();
  /* Spreads the writes of entries that started at the same time.  */
  int64_t spread_ms = g_str_hash (self) % WRITE_PERIOD_MS;
  burnrow->write_at_ms = clk_now_ms (clock) + spread_ms;
  burnrow->fold_at_ms = clk_now_ms (clock) + FOLD_PERIOD_MS + spread_ms;
  return burnrow;
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
burnrow_free (burnrow_t *burnrow)
{
  if (burnrow == NULL)
    return;
  if (burnrow->fold != NULL)
    fold_free (burnrow->fold);
  doc_unref (burnrow->doc);
  burn_free (burnrow->burn);
  g_free (burnrow->self);
  g_free (burnrow->zone);
  g_free (burnrow);
}

void
burnrow_set_document (burnrow_t *burnrow, doc_t *doc)
{
  doc_unref (burnrow->doc);
  burnrow->doc = doc_ref (doc);
}

void
burnrow_count (burnrow_t *burnrow, const char *service, bool answered,
               int64_t latency_ms, int64_t wait_ms)
{
  doc_objective_t objective;
  if (!doc_objective (burnrow->doc, service, &objective))
    return;
  burn_count (burnrow->burn, service, &objective, clk_wall_ms (burnrow->clock),
              answered, latency_ms, wait_ms);
  int64_t hour = hour_now (burnrow);
  hour_state_t *state = &burnrow->hours[hour % KEPT_HOURS];
  /* While the row of the hour that STATE held before is being written, the
     state keeps that hour; a later count takes it over.  */
  if (state->hour != hour && state != burnrow->writing)
    *state = (hour_state_t){ .hour = hour };
  state->dirty = true;
}

static void
on_own_row_written (void *context, err_kind_t kind, const int64_t *versions,
                    uint32_t count)
{
  burnrow_t *burnrow = context;
  hour_state_t *state = burnrow->writing;
  burnrow->writing = NULL;
  /* Only this process writes its rows, so the version is known until a write
     fails; then the next write reads it first.  */
  state->row_version
      = kind == ERR_OK && count == 1 && versions != NULL ? versions[0] : -1;
  if (kind != ERR_OK)
    state->dirty = true;
}

static char *
own_row_key (const burnrow_t *burnrow, int64_t hour)
{
  return g_strdup_printf ("burn/%s/hour/%" PRId64 "/%s", burnrow->zone, hour,
                          burnrow->self);
}

static void
write_own_row (burnrow_t *burnrow)
{
  hour_state_t *state = burnrow->writing;
  json_t *value = burn_hour_row (burnrow->burn, state->hour);
  state->dirty = false;
  if (value == NULL)
    {
      burnrow->writing = NULL;
      return;
    }
  char *key = own_row_key (burnrow, state->hour);
  const table_row_t check = { .key = key, .version = state->row_version };
  const table_row_t row = { .key = key, .value = value };
  burnrow->table->ops->txn (burnrow->table, &check, 1, &row, 1,
                            on_own_row_written, burnrow);
  json_decref (value);
  g_free (key);
}

static void
on_own_row_read (void *context, err_kind_t kind, const table_row_t *rows,
                 uint32_t count)
{
  burnrow_t *burnrow = context;
  if (kind != ERR_OK || count != 1)
    {
      burnrow->writing = NULL;
      return;
    }
  burnrow->writing->row_version = rows[0].version;
  write_own_row (burnrow);
}

/* Starts to write the row of the oldest hour that has unwritten counts.  */
static void
start_write (burnrow_t *burnrow)
{
  hour_state_t *oldest = NULL;
  for (unsigned i = 0; i < KEPT_HOURS; i++)
    {
      hour_state_t *state = &burnrow->hours[i];
      /* The rows of older hours may have been folded already.  */
      if (state->dirty && state->hour > hour_now (burnrow) - KEPT_HOURS
          && (oldest == NULL || state->hour < oldest->hour))
        oldest = state;
    }
  if (oldest == NULL)
    return;
  burnrow->writing = oldest;
  if (oldest->row_version >= 0)
    {
      write_own_row (burnrow);
      return;
    }
  char *key = own_row_key (burnrow, oldest->hour);
  burnrow->table->ops->get (burnrow->table, key, on_own_row_read, burnrow);
  g_free (key);
}

static void
end_fold (void *context, err_kind_t kind, const int64_t *versions,
          uint32_t count)
{
  fold_t *fold = context;
  burnrow_t *burnrow = fold->burnrow;
  char rows[16];
  g_snprintf (rows, sizeof rows, "%u", fold->keys->len);
  log_event (LOG_INFO, "burn_folded", "rows", rows, "result", err_name (kind),
             NULL);
  fold_free (fold);
  burnrow->fold = NULL;
  burnrow->folding = false;
}

/* Writes the total with the hour's rows added and deletes these rows in one
   transaction that checks all versions, so that a repeated or late fold cannot
   count a row twice.  */
static void
on_total_read (void *context, err_kind_t kind, const table_row_t *rows,
               uint32_t count)
{
  fold_t *fold = context;
  burnrow_t *burnrow = fold->burnrow;
  if (kind != ERR_OK || count != 1
      || (rows[0].value != NULL && !burn_merge (fold->sum, rows[0].value)))
    {
      end_fold (fold, kind != ERR_OK ? kind : ERR_INTERNAL, NULL, 0);
      return;
    }
  char *total_key = g_strdup_printf ("burn/%s/total", burnrow->zone);
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
  burnrow->table->ops->txn (burnrow->table, checks, size, writes, size,
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
  burnrow_t *burnrow = context;
  if (kind != ERR_OK)
    {
      burnrow->folding = false;
      return;
    }
  fold_t *fold = g_new0 (fold_t, 1);
  fold->burnrow = burnrow;
  fold->keys = g_ptr_array_new_with_free_func (g_free);
  fold->versions = g_array_new (FALSE, FALSE, sizeof (int64_t));
  fold->sum = burn_new ();
  int64_t oldest = -1;
  for (uint32_t i = 0; i < count; i++)
    {
      int64_t hour = hour_of_key (rows[i].key);
      if (hour < 0 || hour > hour_now (burnrow) - FOLD_AFTER_HOURS)
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
      burnrow->folding = false;
      return;
    }
  burnrow->fold = fold;
  char *key = g_strdup_printf ("burn/%s/total", burnrow->zone);
  burnrow->table->ops->get (burnrow->table, key, on_total_read, fold);
  g_free (key);
}

void
burnrow_tick (burnrow_t *burnrow, bool folds)
{
  int64_t now_ms = clk_now_ms (burnrow->clock);
  if (burnrow->table == NULL)
    return;
  if (burnrow->writing == NULL && now_ms >= burnrow->write_at_ms)
    {
      burnrow->write_at_ms = now_ms + WRITE_PERIOD_MS;
      start_write (burnrow);
    }
  if (folds && !burnrow->folding && now_ms >= burnrow->fold_at_ms)
    {
      burnrow->fold_at_ms = now_ms + FOLD_PERIOD_MS;
      burnrow->folding = true;
      char *prefix = g_strdup_printf ("burn/%s/hour/", burnrow->zone);
      burnrow->table->ops->scan (burnrow->table, prefix, on_hour_rows_scanned,
                                 burnrow);
      g_free (prefix);
    }
}

void
burnrow_flush (burnrow_t *burnrow)
{
  if (burnrow->table != NULL && burnrow->writing == NULL)
    start_write (burnrow);
}

bool
burnrow_settled (const burnrow_t *burnrow)
{
  return burnrow->writing == NULL;
}

typedef struct
{
  burnrow_t *burnrow;
  burnrow_done_t done;
  void *context;
} read_t;

static void
on_all_scanned (void *context, err_kind_t kind, const table_row_t *rows,
                uint32_t count)
{
  read_t *read = context;
  burnrow_t *burnrow = read->burnrow;
  burn_t *sum = burn_new ();
  int64_t hour = hour_now (burnrow);
  /* For the hours in memory this process's own rows are skipped, since its
     counts are newer.  */
  for (uint32_t i = 0; kind == ERR_OK && i < count; i++)
    if (!g_str_has_suffix (rows[i].key, burnrow->self)
        || hour_of_key (rows[i].key) <= hour - KEPT_HOURS)
      burn_merge (sum, rows[i].value);
  for (int64_t kept_hour = hour - KEPT_HOURS + 1; kept_hour <= hour;
       kept_hour++)
    {
      json_t *own = burn_hour_row (burnrow->burn, kept_hour);
      if (own != NULL)
        burn_merge (sum, own);
      json_decref (own);
    }
  read->done (read->context, kind, sum, burnrow->doc);
  burn_free (sum);
  g_free (read);
}

void
burnrow_read (burnrow_t *burnrow, burnrow_done_t done, void *context)
{
  read_t *read = g_new (read_t, 1);
  *read = (read_t){ .burnrow = burnrow, .done = done, .context = context };
  if (burnrow->table == NULL)
    on_all_scanned (read, ERR_STORE_UNAVAILABLE, NULL, 0);
  else
    burnrow->table->ops->scan (burnrow->table, "burn/", on_all_scanned, read);
}

void
burnrow_each_own (const burnrow_t *burnrow,
                  void (*each) (void *context, const char *service,
                                burn_kind_t kind, const burn_status_t *status),
                  void *context)
{
  doc_t *doc = burnrow->doc;
  int64_t wall_ms = clk_wall_ms (burnrow->clock);
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
          burn_status (burnrow->burn, service, &objective, (burn_kind_t)kind,
                       wall_ms, &status);
          each (context, service, (burn_kind_t)kind, &status);
        }
    }
}
