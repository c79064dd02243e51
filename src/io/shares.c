#include "shares.h"

#include "log.h"
#include "loop.h"

#include <string.h>

#define TICK_PERIOD_MS 200
#define READ_CHECK_PERIOD_MS 1000

typedef struct
{
  entry_t *entry;
  char *key;
  loop_timer_t *timer;
  json_t *value;         /* last row read, or NULL */
  int64_t version;       /* of that row */
  int64_t read_check_ms; /* last call of dispatch_shares_read_due */
  bool call_in_flight;   /* to the table service */
  bool must_read;        /* a write has ended since the row was last read */
  bool joined;           /* the row has named this entry */
} shares_t;

static void
report_gone_members (shares_t *shares)
{
  const char *member;
  json_t *row;
  json_object_foreach (json_object_get (shares->value, "members"), member, row)
  {
    if (peer_is_gone (shares->entry->peer, member))
      dispatch_member_gone (shares->entry->dispatch, member);
  }
}

static void
load_row (shares_t *shares, int64_t version, json_t *value)
{
  entry_t *entry = shares->entry;
  if (dispatch_shares_load (entry->dispatch, version, value) != ERR_OK)
    {
      log_event (LOG_ERROR, "shares_row_malformed", "key", shares->key, NULL);
      return;
    }
  json_decref (shares->value);
  shares->value = json_incref (value);
  shares->version = version;
  bool named
      = json_object_get (json_object_get (value, "members"), entry->self)
        != NULL;
  if (named && !shares->joined)
    log_event (LOG_INFO, "shares_joined", "key", shares->key, NULL);
  shares->joined = shares->joined || named;
}

static void
on_row (void *context, err_kind_t kind, const table_row_t *rows,
        uint32_t count)
{
  shares_t *shares = context;
  shares->call_in_flight = false;
  if (kind != ERR_OK)
    {
      log_event (LOG_WARN, "shares_not_read", "reason", err_name (kind), NULL);
      return;
    }
  shares->must_read = false;
  if (count > 0)
    load_row (shares, rows[0].version, rows[0].value);
  else
    load_row (shares, 0, NULL);
}

static void
on_written (void *context, err_kind_t kind, const int64_t *versions,
            uint32_t count)
{
  shares_t *shares = context;
  shares->call_in_flight = false;
  if (kind != ERR_OK && kind != ERR_CONFLICT)
    log_event (LOG_WARN, "shares_not_written", "reason", err_name (kind),
               NULL);
  /* Whatever the result, only the row itself tells whether the write took
     effect.  */
  shares->must_read = true;
}

static void
read_row (shares_t *shares)
{
  table_t *table = shares->entry->table;
  shares->call_in_flight = true;
  table->ops->get (table, shares->key, on_row, shares);
}

static void
on_tick (void *context)
{
  shares_t *shares = context;
  table_t *table = shares->entry->table;
  int64_t now_ms = clk_now_ms (shares->entry->clock);
  if (shares->call_in_flight)
    return;
  bool check_due = now_ms - shares->read_check_ms >= READ_CHECK_PERIOD_MS;
  if (check_due)
    shares->read_check_ms = now_ms;
  if (shares->must_read
      || (check_due && dispatch_shares_read_due (shares->entry->dispatch)))
    {
      read_row (shares);
      return;
    }
  report_gone_members (shares);
  int64_t version;
  json_t *value = dispatch_shares_propose (shares->entry->dispatch, &version);
  if (value == NULL)
    return;
  table_row_t row = { shares->key, version, value };
  shares->call_in_flight = true;
  table->ops->txn (table, &row, 1, &row, 1, on_written, shares);
  json_decref (value);
}

static void *
shares_open (entry_t *entry, GError **error)
{
  shares_t *shares = g_new0 (shares_t, 1);
  shares->entry = entry;
  shares->key = g_strconcat ("shares/", entry->settings->zone, NULL);
  if (entry->table == NULL)
    return shares;
  dispatch_shares_require_row (entry->dispatch);
  shares->timer
      = loop_timer_new (entry->loop, TICK_PERIOD_MS, on_tick, shares);
  read_row (shares);
  return shares;
}

static void
shares_close (void *part)
{
  shares_t *shares = part;
  loop_timer_free (shares->timer);
  json_decref (shares->value);
  g_free (shares->key);
  g_free (shares);
}

static bool
shares_ready (void *part, const char **reason)
{
  const shares_t *shares = part;
  *reason = "no share of the request slots yet";
  return shares->entry->table == NULL || shares->joined;
}

const entry_part_t shares_part = {
  .name = "shares",
  .open = shares_open,
  .close = shares_close,
  .ready = shares_ready,
};
