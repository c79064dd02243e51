#include "conf.h"
#include "conf_internal.h"
#include "log.h"

#include <inttypes.h>
#include <string.h>

#define POLL_PERIOD_MS 1000
/* A fetch that no peer has answered is repeated after this time.  */
#define FETCH_RETRY_MS 500
/* A new process waits this long for the store and for reports of several peers
   before it fetches from a peer, which may be behind.  */
#define STARTUP_WAIT_MS 1000
/* Connected entries of other zones are sent the revisions of the entries of
   this zone: at this interval, and after a change at the shorter one.  */
#define RELAY_PERIOD_MS 10000
#define RELAY_CHANGED_PERIOD_MS 250
/* If more sections than this have changed, one scan reads them instead of
   single reads.  */
#define MAX_SINGLE_READS 8

typedef struct
{
  conf_changed_t changed;
  void *context;
} listener_t;

struct conf_load
{
  conf_t *conf;
  int64_t revision;
  GArray *sections; /* confrev_section_t; text is NULL while missing */
  struct section_read *reads; /* one for each of SECTIONS */
  unsigned reads_in_flight;
  bool failed; /* a section could not be read */
};

/* Context of the read of one section's history row.  */
typedef struct section_read
{
  conf_load_t *load;
  unsigned section_index;
} section_read_t;

bool
conf_head_parse (const table_row_t *row, conf_head_t *head)
{
  *head = (conf_head_t){ .row_version = row->version };
  head->section_versions
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  if (row->version == 0 || row->value == NULL)
    return true;
  const json_t *revision = json_object_get (row->value, "revision");
  json_t *sections = json_object_get (row->value, "sections");
  bool valid = json_is_integer (revision) && json_is_object (sections);
  const char *name;
  json_t *version;
  json_object_foreach (sections, name, version)
  {
    valid = valid && json_is_integer (version);
    int64_t *copy = g_new (int64_t, 1);
    *copy = json_integer_value (version);
    g_hash_table_insert (head->section_versions, g_strdup (name), copy);
  }
  head->revision = json_integer_value (revision);
  if (!valid)
    conf_head_clear (head);
  return valid;
}

void
conf_head_clear (conf_head_t *head)
{
  if (head->section_versions != NULL)
    g_hash_table_destroy (head->section_versions);
  *head = (conf_head_t){ 0 };
}

int64_t
conf_head_version (const conf_head_t *head, const char *name)
{
  const int64_t *version = g_hash_table_lookup (head->section_versions, name);
  return version != NULL ? *version : 0;
}

static void
report_refused (conf_t *conf, int64_t revision, const char *message)
{
  char text[24];
  g_snprintf (text, sizeof text, "%" PRId64, revision);
  counter_add (conf->refused_total, 1);
  log_event (LOG_ERROR, "config_refused", "revision", text, "error", message,
             NULL);
}

typedef struct
{
  const conf_t *conf;
  json_t *own_revisions; /* entry -> revision, of the own zone */
  GPtrArray *targets;    /* names of connected entries of other zones */
} zone_report_t;

static void
add_peer_to_report (void *context, const confrev_peer_t *peer)
{
  zone_report_t *report = context;
  if (!peer->direct || peer->age_ms >= RELAY_PERIOD_MS)
    return;
  if (strcmp (peer->zone, report->conf->zone) == 0)
    json_object_set_new (report->own_revisions, peer->entry,
                         json_integer (peer->revision));
  else
    g_ptr_array_add (report->targets, (void *)peer->entry);
}

static void
relay_own_zone (conf_t *conf)
{
  zone_report_t report = { .conf = conf,
                           .own_revisions = json_object (),
                           .targets = g_ptr_array_new () };
  confrev_each_peer (conf->state, add_peer_to_report, &report);
  json_t *message = json_pack ("{s:s,s:o}", "zone", conf->zone, "entries",
                               report.own_revisions);
  char *bytes = json_dumps (message, JSON_COMPACT);
  conf->next_relay_ms = clk_now_ms (conf->clock) + RELAY_PERIOD_MS;
  conf->own_zone_changed = false;
  for (unsigned i = 0; i < report.targets->len; i++)
    conf->peers->send (conf->peer_context,
                       g_ptr_array_index (report.targets, i),
                       confrev_revision (conf->state), bytes, strlen (bytes));
  free (bytes);
  json_decref (message);
  g_ptr_array_free (report.targets, TRUE);
}

void
conf_apply (conf_t *conf, int64_t revision, const confrev_section_t *sections,
            size_t count, confrev_source_t source)
{
  GPtrArray *errors = doc_errors_new ();
  err_kind_t kind
      = confrev_apply (conf->state, revision, sections, count, source, errors);
  if (kind == ERR_BAD_REQUEST)
    {
      char *text = doc_errors_text (errors);
      report_refused (conf, revision, text);
      g_free (text);
    }
  g_ptr_array_free (errors, TRUE);
  if (kind != ERR_OK)
    return;
  counter_set (conf->revision_gauge, revision);
  counter_add (conf->applied_total, 1);
  char text[24];
  g_snprintf (text, sizeof text, "%" PRId64, revision);
  log_event (LOG_INFO, "config_applied", "revision", text, "source",
             source == CONFREV_STORE ? "store" : "peers", NULL);
  for (unsigned i = 0; i < conf->listeners->len; i++)
    {
      listener_t *row = &g_array_index (conf->listeners, listener_t, i);
      row->changed (row->context, confrev_document (conf->state), revision);
    }
  if (revision > 0)
    conf->peers->announce (conf->peer_context, revision);
}

static void
load_free (conf_load_t *load)
{
  for (unsigned i = 0; i < load->sections->len; i++)
    {
      confrev_section_t *section
          = &g_array_index (load->sections, confrev_section_t, i);
      g_free (section->name);
      g_free (section->text);
    }
  g_array_free (load->sections, TRUE);
  g_free (load->reads);
  g_free (load);
}

static void
load_finish (conf_load_t *load)
{
  conf_t *conf = load->conf;
  conf->load = NULL;
  if (!load->failed)
    {
      conf_apply (conf, load->revision, (void *)load->sections->data,
                  load->sections->len, CONFREV_STORE);
      confrev_store_seen (conf->state, load->revision);
    }
  load_free (load);
}

/* Takes the text from the row VALUE if that has the version of SECTION.  */
static void
fill_section (confrev_section_t *section, const json_t *value)
{
  const char *text = json_string_value (json_object_get (value, "text"));
  json_int_t version = json_integer_value (json_object_get (value, "version"));
  if (section->text == NULL && text != NULL && version == section->version)
    section->text = g_strdup (text);
}

static void
history_row_read (void *context, err_kind_t kind, const table_row_t *rows,
                  uint32_t count)
{
  section_read_t *read = context;
  conf_load_t *load = read->load;
  confrev_section_t *section = &g_array_index (
      load->sections, confrev_section_t, read->section_index);
  if (kind == ERR_OK && count == 1 && rows[0].value != NULL)
    fill_section (section, rows[0].value);
  if (section->text == NULL)
    load->failed = true;
  if (--load->reads_in_flight == 0)
    load_finish (load);
}

/* Reads the history rows of the sections that are still missing.  Ends the
   load if there are none.  */
static void
read_missing_sections (conf_load_t *load)
{
  conf_t *conf = load->conf;
  /* Counts as a read until all are sent, since a read may end at once.  */
  load->reads_in_flight++;
  load->reads = g_new (section_read_t, load->sections->len);
  for (unsigned i = 0; i < load->sections->len; i++)
    {
      const confrev_section_t *section
          = &g_array_index (load->sections, confrev_section_t, i);
      if (section->text != NULL)
        continue;
      section_read_t *read = &load->reads[i];
      *read = (section_read_t){ .load = load, .section_index = i };
      char *key = g_strdup_printf ("doc/history/%s/%" PRId64, section->name,
                                   section->version);
      load->reads_in_flight++;
      conf->table->ops->get (conf->table, key, history_row_read, read);
      g_free (key);
    }
  if (--load->reads_in_flight == 0)
    load_finish (load);
}

static void
sections_scanned (void *context, err_kind_t kind, const table_row_t *rows,
                  uint32_t count)
{
  conf_load_t *load = context;
  GHashTable *value_by_name = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; kind == ERR_OK && i < count; i++)
    g_hash_table_insert (value_by_name,
                         (char *)rows[i].key + strlen ("doc/section/"),
                         rows[i].value);
  for (unsigned i = 0; i < load->sections->len; i++)
    {
      confrev_section_t *section
          = &g_array_index (load->sections, confrev_section_t, i);
      fill_section (section,
                    g_hash_table_lookup (value_by_name, section->name));
    }
  g_hash_table_destroy (value_by_name);
  read_missing_sections (load);
}

void
conf_load_start (conf_t *conf, const conf_head_t *head)
{
  if (conf->load != NULL)
    return;
  conf_load_t *load = g_new0 (conf_load_t, 1);
  load->conf = conf;
  load->revision = head->revision;
  load->sections = g_array_new (FALSE, TRUE, sizeof (confrev_section_t));
  conf->load = load;
  unsigned missing = 0;
  GHashTableIter iter;
  void *name, *version;
  g_hash_table_iter_init (&iter, head->section_versions);
  while (g_hash_table_iter_next (&iter, &name, &version))
    {
      const confrev_section_t *own = confrev_section (conf->state, name);
      bool known = own != NULL && own->version == *(int64_t *)version;
      g_array_set_size (load->sections, load->sections->len + 1);
      confrev_section_t *section = &g_array_index (
          load->sections, confrev_section_t, load->sections->len - 1);
      section->name = g_strdup (name);
      section->version = *(int64_t *)version;
      section->text = known ? g_strdup (own->text) : NULL;
      missing += !known;
    }
  if (missing > MAX_SINGLE_READS)
    conf->table->ops->scan (conf->table, "doc/section/", sections_scanned,
                            load);
  else
    read_missing_sections (load);
}

static void
head_polled (void *context, err_kind_t kind, const table_row_t *rows,
             uint32_t count)
{
  conf_t *conf = context;
  conf->poll_in_flight = false;
  if (kind != ERR_OK || count != 1)
    return;
  conf_head_t head;
  if (!conf_head_parse (&rows[0], &head))
    {
      report_refused (conf, -1, "doc/head is malformed");
      return;
    }
  int64_t revision = confrev_revision (conf->state);
  if (head.revision < revision)
    {
      /* A restored or lagging store must not undo an accepted revision.  */
      char seen[24];
      g_snprintf (seen, sizeof seen, "%" PRId64, head.revision);
      log_event (LOG_WARN, "config_store_behind", "revision", seen, NULL);
    }
  else if (head.revision > revision)
    conf_load_start (conf, &head);
  else if (confrev_document (conf->state) == NULL)
    conf_apply (conf, 0, NULL, 0, CONFREV_STORE);
  confrev_store_seen (conf->state, head.revision);
  conf_head_clear (&head);
}

/* Reads the head, which names every section, only if its revision is not the
   one in force, so the cost of a poll does not depend on the document's size.
 */
static void
revision_polled (void *context, err_kind_t kind, const table_row_t *rows,
                 uint32_t count)
{
  conf_t *conf = context;
  int64_t revision = 0;
  if (kind == ERR_OK && count == 1)
    revision
        = json_integer_value (json_object_get (rows[0].value, "revision"));
  bool in_force = revision > 0 && revision == confrev_revision (conf->state)
                  && confrev_document (conf->state) != NULL;
  if (kind == ERR_OK && !in_force)
    {
      conf->table->ops->get (conf->table, "doc/head", head_polled, conf);
      return;
    }
  conf->poll_in_flight = false;
  if (in_force)
    confrev_store_seen (conf->state, revision);
}

/* Fetches what this entry lacks from the peer with the highest revision.  A
   peer that has not answered may be dead, so a repeat goes to another one.  */
static void
fetch_if_behind (conf_t *conf)
{
  int64_t own = confrev_revision (conf->state);
  const char *entry = NULL;
  int64_t highest = confrev_highest_peer_revision (conf->state, NULL, &entry);
  int64_t now_ms = clk_now_ms (conf->clock);
  bool asked_lately
      = highest <= conf->fetch_revision && now_ms < conf->next_fetch_ms;
  if (highest <= own || asked_lately)
    return;
  if (confrev_source (conf->state) == CONFREV_NONE
      && now_ms < conf->started_ms + STARTUP_WAIT_MS)
    return;
  const char *last = conf->fetch_entry, *other = NULL;
  bool repeat = highest <= conf->fetch_revision;
  if (repeat
      && confrev_highest_peer_revision (conf->state, last, &other) > own)
    entry = other;
  conf->next_fetch_ms = now_ms + FETCH_RETRY_MS;
  conf->fetch_revision = highest;
  conf->peers->fetch (conf->peer_context, entry, own);
  /* Without a configuration this entry cannot serve, so it asks two peers.  */
  if (confrev_source (conf->state) == CONFREV_NONE
      && confrev_highest_peer_revision (conf->state, entry, &other) > own)
    conf->peers->fetch (conf->peer_context, other, own);
  g_free (conf->fetch_entry);
  conf->fetch_entry = g_strdup (entry);
}

/* Leaves out the text of sections that have not changed here after
   HAVE_REVISION: the asking entry has it.  */
void
conf_peer_fetch (conf_t *conf, const char *entry, int64_t have_revision)
{
  if (confrev_document (conf->state) == NULL)
    return;
  json_t *list = json_object ();
  GPtrArray *sections = confrev_sections (conf->state);
  for (unsigned i = 0; i < sections->len; i++)
    {
      const confrev_section_t *section = g_ptr_array_index (sections, i);
      json_t *row
          = json_pack ("{s:I}", "version", (json_int_t)section->version);
      if (section->since_revision > have_revision)
        json_object_set_new (row, "text", json_string (section->text));
      json_object_set_new (list, section->name, row);
    }
  g_ptr_array_free (sections, TRUE);
  int64_t revision = confrev_revision (conf->state);
  json_t *answer = json_pack ("{s:I,s:o}", "revision", (json_int_t)revision,
                              "sections", list);
  char *bytes = json_dumps (answer, JSON_COMPACT);
  conf->peers->send (conf->peer_context, entry, revision, bytes,
                     strlen (bytes));
  free (bytes);
  json_decref (answer);
}

static void
apply_peer_sections (conf_t *conf, const json_t *message)
{
  json_t *list = json_object_get (message, "sections");
  int64_t revision
      = json_integer_value (json_object_get (message, "revision"));
  if (revision <= confrev_revision (conf->state) || !json_is_object (list))
    return;
  GArray *sections = g_array_new (FALSE, FALSE, sizeof (confrev_section_t));
  bool complete = true;
  const char *name;
  json_t *row;
  json_object_foreach (list, name, row)
  {
    confrev_section_t section = {
      .name = (char *)name,
      .version = json_integer_value (json_object_get (row, "version")),
      .text = (char *)json_string_value (json_object_get (row, "text")),
    };
    const confrev_section_t *own = confrev_section (conf->state, name);
    if (section.text == NULL && own != NULL && own->version == section.version)
      section.text = own->text;
    complete = complete && section.text != NULL && section.version > 0;
    g_array_append_val (sections, section);
  }
  /* A text may be missing if the sections here have changed since the fetch;
     the next fetch asks again.  */
  if (complete)
    conf_apply (conf, revision, (void *)sections->data, sections->len,
                CONFREV_PEERS);
  g_array_free (sections, TRUE);
}

static void
record_relayed (conf_t *conf, const char *zone, json_t *entries)
{
  const char *entry;
  json_t *revision;
  if (strcmp (zone, conf->zone) == 0)
    return;
  json_object_foreach (entries, entry, revision)
  {
    confrev_peer_relayed (conf->state, entry, zone,
                          json_integer_value (revision));
  }
}

void
conf_peer_sections (conf_t *conf, const char *bytes, size_t length)
{
  json_t *message = json_loadb (bytes, length, 0, NULL);
  const char *zone = json_string_value (json_object_get (message, "zone"));
  if (message == NULL)
    log_event (LOG_WARN, "config_message_refused", NULL);
  else if (zone != NULL)
    record_relayed (conf, zone, json_object_get (message, "entries"));
  else
    apply_peer_sections (conf, message);
  json_decref (message);
}

void
conf_peer_reported (conf_t *conf, const char *entry, const char *zone,
                    int64_t revision)
{
  if (confrev_peer_reported (conf->state, entry, zone, revision)
      && strcmp (zone, conf->zone) == 0)
    conf->own_zone_changed = true;
  fetch_if_behind (conf);
  conf_edits_check_confirmed (conf);
}

void
conf_peer_remove (conf_t *conf, const char *id)
{
  confrev_peer_remove (conf->state, id);
}

const confrev_t *
conf_state (const conf_t *conf)
{
  return conf->state;
}

conf_t *
conf_new (const clk_t *clock, table_t *table, counter_registry_t *registry,
          const char *self, const char *zone, const conf_peers_t *peers,
          void *peer_context)
{
  conf_t *conf = g_new0 (conf_t, 1);
  conf->clock = clock;
  conf->table = table;
  conf->peers = peers;
  conf->peer_context = peer_context;
  conf->self = g_strdup (self);
  conf->zone = g_strdup (zone);
  conf->state = confrev_new (clock);
  conf->listeners = g_array_new (FALSE, FALSE, sizeof (listener_t));
  conf->edits = g_ptr_array_new ();
  conf->started_ms = clk_now_ms (clock);
  conf->revision_gauge
      = counter_gauge (registry, "magnoliadock_config_revision", NULL);
  conf->applied_total
      = counter_get (registry, "magnoliadock_config_applied_total", NULL);
  conf->refused_total
      = counter_get (registry, "magnoliadock_config_refused_total", NULL);
  conf->edits_total
      = counter_get (registry, "magnoliadock_config_edits_total", NULL);
  conf->edit_races_total
      = counter_get (registry, "magnoliadock_config_edit_races_total", NULL);
  conf->edit_readbacks_total = counter_get (
      registry, "magnoliadock_config_edit_readbacks_total", NULL);
  return conf;
}

void
conf_free (conf_t *conf)
{
  if (conf == NULL)
    return;
  if (conf->load != NULL)
    load_free (conf->load);
  conf_edits_free (conf);
  confrev_free (conf->state);
  g_array_free (conf->listeners, TRUE);
  g_free (conf->fetch_entry);
  g_free (conf->self);
  g_free (conf->zone);
  g_free (conf);
}

void
conf_set_use (conf_t *conf, conf_get_use_t use, void *context)
{
  conf->use = use;
  conf->use_context = context;
}

void
conf_add_listener (conf_t *conf, conf_changed_t changed, void *context)
{
  listener_t row = { .changed = changed, .context = context };
  g_array_append_val (conf->listeners, row);
  if (confrev_document (conf->state) != NULL)
    changed (context, confrev_document (conf->state),
             confrev_revision (conf->state));
}

void
conf_tick (conf_t *conf)
{
  int64_t now_ms = clk_now_ms (conf->clock);
  if (!conf->poll_in_flight && now_ms >= conf->next_poll_ms)
    {
      conf->poll_in_flight = true;
      conf->next_poll_ms = now_ms + POLL_PERIOD_MS;
      conf->table->ops->get (conf->table, "doc/revision", revision_polled,
                             conf);
    }
  if (now_ms >= conf->next_relay_ms
      || (conf->own_zone_changed
          && now_ms >= conf->next_relay_ms - RELAY_PERIOD_MS
                           + RELAY_CHANGED_PERIOD_MS))
    relay_own_zone (conf);
  fetch_if_behind (conf);
  conf_edits_tick (conf);
}
