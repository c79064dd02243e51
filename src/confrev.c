#include "confrev.h"

#include <string.h>

/* An entry's own report excludes relayed ones for this long.  Entries with a
   connection report every second by heartbeat.  */
#define DIRECT_REPORT_VALID_MS 5000

struct confrev
{
  const clk_t *clock;
  int64_t revision;
  confrev_source_t source;
  int64_t store_confirmed_ms; /* see confrev_store_age_ms, -1: never */
  doc_t *doc;
  GHashTable *sections; /* name -> confrev_section_t */
  GHashTable *peers;    /* id of an entry -> peer_t */
};

typedef struct
{
  char *entry; /* ID@INCARNATION */
  char *zone;
  int64_t revision;
  int64_t reported_ms;
  bool direct; /* the entry reported it itself */
} peer_t;

static void
section_free (void *data)
{
  confrev_section_t *section = data;
  g_free (section->name);
  g_free (section->text);
  g_free (section);
}

static void
peer_free (void *data)
{
  peer_t *peer = data;
  g_free (peer->entry);
  g_free (peer->zone);
  g_free (peer);
}

static GHashTable *
sections_new (void)
{
  return g_hash_table_new_full (g_str_hash, g_str_equal, NULL, section_free);
}

confrev_t *
confrev_new (const clk_t *clock)
{
  confrev_t *confrev = g_new0 (confrev_t, 1);
  confrev->clock = clock;
  confrev->store_confirmed_ms = -1;
  confrev->sections = sections_new ();
  confrev->peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, peer_free);
  return confrev;
}

void
confrev_free (confrev_t *confrev)
{
  if (confrev == NULL)
    return;
  doc_unref (confrev->doc);
  g_hash_table_destroy (confrev->sections);
  g_hash_table_destroy (confrev->peers);
  g_free (confrev);
}

int64_t
confrev_revision (const confrev_t *confrev)
{
  return confrev->revision;
}

confrev_source_t
confrev_source (const confrev_t *confrev)
{
  return confrev->source;
}

doc_t *
confrev_document (const confrev_t *confrev)
{
  return confrev->doc;
}

int64_t
confrev_store_age_ms (const confrev_t *confrev)
{
  return confrev->store_confirmed_ms < 0
             ? -1
             : clk_now_ms (confrev->clock) - confrev->store_confirmed_ms;
}

const confrev_section_t *
confrev_section (const confrev_t *confrev, const char *name)
{
  return g_hash_table_lookup (confrev->sections, name);
}

int64_t
confrev_version (const confrev_t *confrev, const char *name)
{
  const confrev_section_t *section = confrev_section (confrev, name);
  return section != NULL ? section->version : 0;
}

static int
compare_names (const void *a, const void *b)
{
  const confrev_section_t *const *left = a;
  const confrev_section_t *const *right = b;
  return strcmp ((*left)->name, (*right)->name);
}

GPtrArray *
confrev_sections (const confrev_t *confrev)
{
  GPtrArray *list = g_ptr_array_new ();
  GHashTableIter iter;
  void *section;
  g_hash_table_iter_init (&iter, confrev->sections);
  while (g_hash_table_iter_next (&iter, NULL, &section))
    g_ptr_array_add (list, section);
  g_ptr_array_sort (list, compare_names);
  return list;
}

void
confrev_store_seen (confrev_t *confrev, int64_t revision)
{
  if (revision < confrev->revision)
    return;
  confrev->store_confirmed_ms = clk_now_ms (confrev->clock);
  if (revision == confrev->revision && confrev->doc != NULL)
    confrev->source = CONFREV_STORE;
}

/* Parses the texts joined in the order of the sections' names, so that all
   entries show the same document.  */
static doc_t *
parse_sections (const confrev_section_t *sections, size_t count,
                GPtrArray *errors)
{
  GPtrArray *order = g_ptr_array_new ();
  for (size_t i = 0; i < count; i++)
    g_ptr_array_add (order, (void *)&sections[i]);
  g_ptr_array_sort (order, compare_names);
  GString *text = g_string_new (NULL);
  for (unsigned i = 0; i < order->len; i++)
    {
      const confrev_section_t *section = g_ptr_array_index (order, i);
      if (section->text[0] != '\0')
        g_string_append_printf (text, "%s\n", section->text);
    }
  GPtrArray *unknown = doc_errors_new ();
  doc_t *doc = doc_parse_stored (text->str, text->len, errors, unknown);
  g_ptr_array_free (unknown, TRUE);
  g_string_free (text, TRUE);
  g_ptr_array_free (order, TRUE);
  return doc;
}

err_kind_t
confrev_apply (confrev_t *confrev, int64_t revision,
               const confrev_section_t *sections, size_t count,
               confrev_source_t source, GPtrArray *errors)
{
  bool initial_empty_store = revision == 0 && confrev->doc == NULL;
  if (revision <= confrev->revision && !initial_empty_store)
    return ERR_CONFLICT;
  doc_t *doc = parse_sections (sections, count, errors);
  if (doc == NULL)
    return ERR_BAD_REQUEST;
  doc_unref (confrev->doc);
  confrev->doc = doc;
  /* SECTIONS may point into the old table.  */
  GHashTable *old = confrev->sections;
  confrev->sections = sections_new ();
  for (size_t i = 0; i < count; i++)
    {
      confrev_section_t *copy = g_new0 (confrev_section_t, 1);
      copy->name = g_strdup (sections[i].name);
      copy->version = sections[i].version;
      copy->text = g_strdup (sections[i].text);
      const confrev_section_t *before = g_hash_table_lookup (old, copy->name);
      copy->since_revision = before != NULL && before->version == copy->version
                                 ? before->since_revision
                                 : revision;
      g_hash_table_insert (confrev->sections, copy->name, copy);
    }
  g_hash_table_destroy (old);
  confrev->revision = revision;
  if (confrev->source != CONFREV_STORE)
    confrev->source = source;
  return ERR_OK;
}

err_kind_t
confrev_check_operation (const confrev_t *confrev,
                         confrev_operation_t operation)
{
  static const confrev_source_t needed[CONFREV_OPERATION_COUNT] = {
    [CONFREV_ROUTE] = CONFREV_PEERS,      [CONFREV_RENEW_LEASE] = CONFREV_NONE,
    [CONFREV_STATUS] = CONFREV_NONE,      [CONFREV_AUTHORISE] = CONFREV_PEERS,
    [CONFREV_SUBMIT_JOB] = CONFREV_PEERS, [CONFREV_EDIT] = CONFREV_STORE,
  };
  return confrev->source >= needed[operation] ? ERR_OK : ERR_NO_CONFIG;
}

static int64_t
incarnation_of (const char *entry)
{
  const char *at = strchr (entry, '@');
  return at != NULL ? g_ascii_strtoll (at + 1, NULL, 10) : 0;
}

/* Returns the latest report about the id of ENTRY, NULL if there is none.  */
static peer_t *
find_peer (const confrev_t *confrev, const char *entry)
{
  char *id = g_strndup (entry, strcspn (entry, "@"));
  peer_t *peer = g_hash_table_lookup (confrev->peers, id);
  g_free (id);
  return peer;
}

/* Records a report; returns NULL if it is about an old incarnation.  */
static peer_t *
record_report (confrev_t *confrev, const char *entry, const char *zone,
               int64_t revision)
{
  peer_t *peer = find_peer (confrev, entry);
  if (peer == NULL)
    {
      peer = g_new0 (peer_t, 1);
      peer->entry = g_strdup (entry);
      g_hash_table_insert (confrev->peers,
                           g_strndup (entry, strcspn (entry, "@")), peer);
    }
  if (incarnation_of (entry) < incarnation_of (peer->entry))
    return NULL;
  g_free (peer->entry);
  peer->entry = g_strdup (entry);
  g_free (peer->zone);
  peer->zone = g_strdup (zone);
  /* Also if lower: a replaced entry starts again without a configuration.  */
  peer->revision = revision;
  peer->reported_ms = clk_now_ms (confrev->clock);
  return peer;
}

bool
confrev_peer_reported (confrev_t *confrev, const char *entry, const char *zone,
                       int64_t revision)
{
  const peer_t *known = find_peer (confrev, entry);
  bool changed = known == NULL || known->revision != revision
                 || strcmp (known->entry, entry) != 0;
  peer_t *peer = record_report (confrev, entry, zone, revision);
  if (peer == NULL)
    return false;
  peer->direct = true;
  return changed;
}

void
confrev_peer_relayed (confrev_t *confrev, const char *entry, const char *zone,
                      int64_t revision)
{
  peer_t *peer = find_peer (confrev, entry);
  if (peer != NULL && peer->direct
      && clk_now_ms (confrev->clock) - peer->reported_ms
             < DIRECT_REPORT_VALID_MS)
    return;
  peer = record_report (confrev, entry, zone, revision);
  if (peer != NULL)
    peer->direct = false;
}

void
confrev_peer_remove (confrev_t *confrev, const char *id)
{
  g_hash_table_remove (confrev->peers, id);
}

int64_t
confrev_highest_peer_revision (const confrev_t *confrev, const char *except,
                               const char **entry)
{
  int64_t highest = 0;
  GHashTableIter iter;
  void *value;
  g_hash_table_iter_init (&iter, confrev->peers);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const peer_t *peer = value;
      if (!peer->direct || peer->revision <= highest
          || g_strcmp0 (peer->entry, except) == 0)
        continue;
      highest = peer->revision;
      if (entry != NULL)
        *entry = peer->entry;
    }
  return highest;
}

static int
compare_strings (const void *a, const void *b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

void
confrev_each_peer (const confrev_t *confrev,
                   void (*each) (void *context, const confrev_peer_t *peer),
                   void *context)
{
  GPtrArray *names = g_ptr_array_new ();
  GHashTableIter iter;
  void *name;
  g_hash_table_iter_init (&iter, confrev->peers);
  while (g_hash_table_iter_next (&iter, &name, NULL))
    g_ptr_array_add (names, name);
  g_ptr_array_sort (names, compare_strings);
  for (unsigned i = 0; i < names->len; i++)
    {
      const peer_t *peer
          = g_hash_table_lookup (confrev->peers, g_ptr_array_index (names, i));
      confrev_peer_t row = {
        .entry = peer->entry,
        .zone = peer->zone,
        .revision = peer->revision,
        .age_ms = clk_now_ms (confrev->clock) - peer->reported_ms,
        .direct = peer->direct,
      };
      each (context, &row);
    }
  g_ptr_array_free (names, TRUE);
}
