#include "conf_internal.h"
#include "log.h"

#include <inttypes.h>
#include <string.h>
#include <time.h>

/* An edit that has not committed by then ends: as unknown if one of its
   transactions may have committed, else as failed.  */
#define EDIT_TIMEOUT_MS 10000
#define RETRY_PERIOD_MS 200
/* Longest wait for peers to confirm a committed edit, see conf_edit.  */
#define CONFIRM_TIMEOUT_MS 1500
/* Entries without a report for longer count as unreachable.  */
#define MAX_PEER_SILENCE_MS 3000

/* Steps: read the head, wait until its revision is in force here, check the
   edit, read the section row, commit.  If the section's version has changed,
   the history row tells whether this edit wrote it.  */
typedef struct
{
  conf_t *conf;
  char *name, *text, *why;
  char *write_id; /* identifies this edit in its history row */
  auth_identity_t identity;
  bool checks_role, force;
  int64_t version;
  int64_t deadline_ms;
  int64_t next_step_ms; /* time of the next step, -1: a call is in flight */
  bool outcome_unknown; /* the reply to a transaction was lost */
  int64_t sent_head_row_version; /* checked by the last transaction sent */
  conf_head_t head;
  doc_t *candidate;            /* document with the edit, once checked */
  int64_t committed_revision;  /* contains the edit, 0: not committed yet */
  int64_t confirm_deadline_ms; /* of a committed edit */
  uint32_t confirmed, reachable;
  conf_done_t done;
  void *context;
} edit_t;

static void read_head (edit_t *edit);

static void
edit_free (edit_t *edit)
{
  conf_head_clear (&edit->head);
  doc_unref (edit->candidate);
  g_free (edit->name);
  g_free (edit->text);
  g_free (edit->why);
  g_free (edit->write_id);
  g_free (edit);
}

static void
edit_finish (edit_t *edit, err_kind_t kind, const char *message,
             int64_t version, int64_t revision)
{
  conf_result_t result = { .kind = kind,
                           .message = message,
                           .version = version,
                           .revision = revision,
                           .confirmed = edit->confirmed,
                           .reachable = edit->reachable };
  char text[24];
  g_snprintf (text, sizeof text, "%" PRId64, version);
  log_event (LOG_INFO, "config_edit", "section", edit->name, "who",
             edit->identity.name, "result", err_name (kind), "version", text,
             "write_id", edit->write_id, NULL);
  g_ptr_array_remove_fast (edit->conf->edits, edit);
  edit->done (edit->context, &result);
  edit_free (edit);
}

/* A read from the store failed: retries if an earlier transaction may have
   committed, gives up otherwise.  */
static void
retry_or_fail (edit_t *edit)
{
  if (!edit->outcome_unknown)
    edit_finish (edit, ERR_STORE_UNAVAILABLE,
                 "the table service does not answer; nothing was changed", 0,
                 0);
  else
    edit->next_step_ms = clk_now_ms (edit->conf->clock) + RETRY_PERIOD_MS;
}

static void
count_peer (void *context, const confrev_peer_t *peer)
{
  edit_t *edit = context;
  if (!peer->direct || peer->age_ms > MAX_PEER_SILENCE_MS)
    return;
  edit->reachable++;
  edit->confirmed += peer->revision >= edit->committed_revision;
}

/* Answers a committed edit if it is in force on all reachable entries, or at
   its deadline.  An edit that is not in force here, because the store failed
   right after the commit, is not answered as accepted: nothing would ensure
   that it comes into force within seconds.  */
static void
finish_if_confirmed (edit_t *edit)
{
  conf_t *conf = edit->conf;
  int64_t now_ms = clk_now_ms (conf->clock);
  bool in_force = confrev_revision (conf->state) >= edit->committed_revision;
  edit->confirmed = edit->reachable = 0;
  confrev_each_peer (conf->state, count_peer, edit);
  if (in_force
      && (edit->confirmed == edit->reachable
          || now_ms >= edit->confirm_deadline_ms))
    edit_finish (edit, ERR_OK, NULL, edit->version + 1,
                 edit->committed_revision);
  else if (!in_force && now_ms >= edit->deadline_ms)
    edit_finish (edit, ERR_TIMEOUT,
                 "the edit is committed, but the table service failed before "
                 "it came into force; it will when the service answers again",
                 edit->version + 1, edit->committed_revision);
}

static void
edit_committed (edit_t *edit, int64_t revision)
{
  counter_add (edit->conf->edits_total, 1);
  edit->committed_revision = revision;
  edit->confirm_deadline_ms
      = clk_now_ms (edit->conf->clock) + CONFIRM_TIMEOUT_MS;
  finish_if_confirmed (edit);
}

static err_kind_t
check_edit (conf_t *conf, const conf_edit_t *edit, doc_t **candidate,
            char **message)
{
  *message = NULL;
  *candidate = NULL;
  if (confrev_check_operation (conf->state, CONFREV_EDIT) != ERR_OK)
    {
      *message = g_strdup ("no configuration has been read from the table "
                           "service since this entry started");
      return ERR_NO_CONFIG;
    }
  doc_t *current = confrev_document (conf->state);
  const doc_section_t *before = doc_section (current, edit->name);
  GPtrArray *errors = doc_errors_new ();
  err_kind_t kind = ERR_BAD_REQUEST;
  doc_t *after = doc_replace_section (current, edit->name, edit->text, errors);
  if (after == NULL)
    goto out;
  const doc_section_t *section = doc_section (after, edit->name);
  if (edit->identity != NULL
      && !auth_may_edit (edit->identity, before, section))
    {
      kind = ERR_FORBIDDEN;
      *message = g_strdup_printf (
          "team \"%s\" may edit only sections that it owns and keeps owning",
          edit->identity->name);
      goto out;
    }
  if (edit->force && edit->identity != NULL
      && !auth_may_force (edit->identity))
    {
      kind = ERR_FORBIDDEN;
      *message = g_strdup ("only operators may force an edit");
      goto out;
    }
  const doc_use_t *use = NULL;
  size_t count = conf->use != NULL ? conf->use (conf->use_context, &use) : 0;
  kind = edit->force
                 || doc_check_use (edit->name, before, section, use, count,
                                   errors)
             ? ERR_OK
             : ERR_CONFLICT;
out:
  if (kind != ERR_OK && *message == NULL)
    *message = doc_errors_text (errors);
  g_ptr_array_free (errors, TRUE);
  if (kind == ERR_OK)
    *candidate = after;
  else
    doc_unref (after);
  return kind;
}

err_kind_t
conf_check_edit (conf_t *conf, const conf_edit_t *edit, char **message)
{
  doc_t *candidate;
  err_kind_t kind = check_edit (conf, edit, &candidate, message);
  doc_unref (candidate);
  return kind;
}

/* Puts the committed REVISION in force here without reading it, if this edit
   is its only difference from the one in force: that one is the revision
   before and has the section at the version that was edited.  */
static void
apply_committed (edit_t *edit, int64_t revision)
{
  conf_t *conf = edit->conf;
  if (confrev_revision (conf->state) != revision - 1
      || confrev_version (conf->state, edit->name) != edit->version)
    return;
  GPtrArray *current = confrev_sections (conf->state);
  GArray *sections = g_array_new (FALSE, FALSE, sizeof (confrev_section_t));
  confrev_section_t edited = { .name = edit->name,
                               .version = edit->version + 1,
                               .text = edit->text };
  g_array_append_val (sections, edited);
  for (unsigned i = 0; i < current->len; i++)
    {
      confrev_section_t *section = g_ptr_array_index (current, i);
      if (strcmp (section->name, edit->name) != 0)
        g_array_append_val (sections, *section);
    }
  conf_apply (conf, revision, (void *)sections->data, sections->len,
              CONFREV_STORE);
  confrev_store_seen (conf->state, revision);
  g_array_free (sections, TRUE);
  g_ptr_array_free (current, TRUE);
}

static void
commit_done (void *context, err_kind_t kind, const int64_t *versions,
             uint32_t count)
{
  edit_t *edit = context;
  switch (kind)
    {
    case ERR_OK:
      apply_committed (edit, edit->head.revision + 1);
      edit_committed (edit, edit->head.revision + 1);
      return;
    case ERR_CONFLICT:
      counter_add (edit->conf->edit_races_total, 1);
      read_head (edit);
      return;
    case ERR_STORE_UNAVAILABLE:
      retry_or_fail (edit);
      return;
    default:
      edit->outcome_unknown = true;
      counter_add (edit->conf->edit_readbacks_total, 1);
      read_head (edit);
    }
}

static json_t *
section_row_value (const edit_t *edit)
{
  const doc_section_t *section = doc_section (edit->candidate, edit->name);
  time_t now_s = clk_wall_ms (edit->conf->clock) / 1000;
  struct tm utc;
  char when[32];
  gmtime_r (&now_s, &utc);
  strftime (when, sizeof when, "%Y-%m-%dT%H:%M:%SZ", &utc);
  return json_pack ("{s:I,s:s,s:s,s:s,s:s,s:s,s:s}", "version",
                    (json_int_t)edit->version + 1, "text", edit->text, "owner",
                    section != NULL ? doc_section_owner (section) : "", "who",
                    edit->identity.name, "when", when, "why", edit->why,
                    "write_id", edit->write_id);
}

static json_t *
head_row_value (const edit_t *edit)
{
  json_t *sections = json_object ();
  GHashTableIter iter;
  void *name, *version;
  g_hash_table_iter_init (&iter, edit->head.section_versions);
  while (g_hash_table_iter_next (&iter, &name, &version))
    json_object_set_new (sections, name, json_integer (*(int64_t *)version));
  json_object_set_new (sections, edit->name, json_integer (edit->version + 1));
  return json_pack ("{s:I,s:o}", "revision",
                    (json_int_t)edit->head.revision + 1, "sections", sections);
}

static void
commit (edit_t *edit, int64_t section_row_version)
{
  conf_t *conf = edit->conf;
  char *section_key = g_strdup_printf ("doc/section/%s", edit->name);
  char *history_key = g_strdup_printf ("doc/history/%s/%" PRId64, edit->name,
                                       edit->version + 1);
  json_t *value = section_row_value (edit), *head = head_row_value (edit);
  json_t *revision
      = json_pack ("{s:I}", "revision", (json_int_t)edit->head.revision + 1);
  const table_row_t checks[] = {
    { .key = "doc/head", .version = edit->head.row_version },
    { .key = section_key, .version = section_row_version },
    { .key = history_key, .version = 0 },
  };
  const table_row_t writes[] = {
    { .key = "doc/head", .value = head },
    { .key = section_key, .value = value },
    { .key = history_key, .value = value },
    { .key = "doc/revision", .value = revision },
  };
  edit->sent_head_row_version = edit->head.row_version;
  edit->next_step_ms = -1;
  conf->table->ops->txn (conf->table, checks, G_N_ELEMENTS (checks), writes,
                         G_N_ELEMENTS (writes), commit_done, edit);
  json_decref (value);
  json_decref (head);
  json_decref (revision);
  g_free (section_key);
  g_free (history_key);
}

/* The section's version is above the one that was edited.  The history row of
   the next version has this edit's write_id if this edit wrote it.  Otherwise
   another edit did, and since that changed the head too, none of this edit's
   transactions can commit any more.  */
static void
history_row_read (void *context, err_kind_t kind, const table_row_t *rows,
                  uint32_t count)
{
  edit_t *edit = context;
  if (kind != ERR_OK || count != 1)
    {
      retry_or_fail (edit);
      return;
    }
  const char *write_id
      = json_string_value (json_object_get (rows[0].value, "write_id"));
  if (g_strcmp0 (write_id, edit->write_id) == 0)
    {
      if (conf_head_version (&edit->head, edit->name) == edit->version + 1)
        apply_committed (edit, edit->head.revision);
      if (edit->head.revision > confrev_revision (edit->conf->state))
        conf_load_start (edit->conf, &edit->head);
      edit_committed (edit, edit->head.revision);
      return;
    }
  int64_t version = conf_head_version (&edit->head, edit->name);
  char *message
      = g_strdup_printf ("[%s] is at version %" PRId64 ", expected %" PRId64
                         "; read it again and repeat the edit",
                         edit->name, version, edit->version);
  edit_finish (edit, ERR_CONFLICT, message, version, edit->head.revision);
  g_free (message);
}

static void
section_row_read (void *context, err_kind_t kind, const table_row_t *rows,
                  uint32_t count)
{
  edit_t *edit = context;
  if (kind != ERR_OK || count != 1)
    {
      retry_or_fail (edit);
      return;
    }
  json_int_t version
      = json_integer_value (json_object_get (rows[0].value, "version"));
  if (version != edit->version)
    {
      /* The section was written after the head was read.  */
      counter_add (edit->conf->edit_races_total, 1);
      edit->next_step_ms = clk_now_ms (edit->conf->clock);
      return;
    }
  commit (edit, rows[0].version);
}

/* The head that was read is in force here, so the edit can be checked.  */
static void
check_and_commit (edit_t *edit)
{
  conf_edit_t request
      = { .name = edit->name,
          .version = edit->version,
          .text = edit->text,
          .identity = edit->checks_role ? &edit->identity : NULL,
          .force = edit->force };
  /* While the head row is unchanged, a transaction sent earlier may still
     commit, so the edit must not be refused, for example because the use has
     grown.  */
  bool earlier_may_commit
      = edit->outcome_unknown
        && edit->sent_head_row_version == edit->head.row_version;
  char *message;
  err_kind_t kind = ERR_OK;
  if (!earlier_may_commit)
    {
      doc_unref (edit->candidate);
      kind = check_edit (edit->conf, &request, &edit->candidate, &message);
    }
  if (kind != ERR_OK)
    {
      edit_finish (edit, kind, message, edit->version, edit->head.revision);
      g_free (message);
      return;
    }
  char *key = g_strdup_printf ("doc/section/%s", edit->name);
  edit->conf->table->ops->get (edit->conf->table, key, section_row_read, edit);
  g_free (key);
}

static void
head_row_read (void *context, err_kind_t kind, const table_row_t *rows,
               uint32_t count)
{
  edit_t *edit = context;
  conf_t *conf = edit->conf;
  conf_head_clear (&edit->head);
  if (kind != ERR_OK || count != 1 || !conf_head_parse (&rows[0], &edit->head))
    {
      retry_or_fail (edit);
      return;
    }
  int64_t version = conf_head_version (&edit->head, edit->name);
  if (version > edit->version)
    {
      char *key = g_strdup_printf ("doc/history/%s/%" PRId64, edit->name,
                                   edit->version + 1);
      conf->table->ops->get (conf->table, key, history_row_read, edit);
      g_free (key);
      return;
    }
  if (version < edit->version)
    {
      edit_finish (edit, ERR_CONFLICT,
                   "the edit states a version above the section's", version,
                   edit->head.revision);
      return;
    }
  if (edit->head.revision == confrev_revision (conf->state))
    {
      if (confrev_document (conf->state) == NULL)
        conf_apply (conf, 0, NULL, 0, CONFREV_STORE);
      confrev_store_seen (conf->state, edit->head.revision);
      check_and_commit (edit);
      return;
    }
  if (edit->head.revision < confrev_revision (conf->state))
    {
      edit->next_step_ms = clk_now_ms (conf->clock) + RETRY_PERIOD_MS;
      return;
    }
  /* The head's revision has to come into force here first.  */
  edit->next_step_ms = clk_now_ms (conf->clock);
  conf_load_start (conf, &edit->head);
}

static void
read_head (edit_t *edit)
{
  conf_t *conf = edit->conf;
  if (clk_now_ms (conf->clock) >= edit->deadline_ms)
    {
      edit_finish (
          edit, edit->outcome_unknown ? ERR_TIMEOUT : ERR_STORE_UNAVAILABLE,
          edit->outcome_unknown
              ? "the table service's reply was lost; read the section's "
                "history before repeating the edit"
              : "the edit could not be committed in time; nothing was changed",
          0, 0);
      return;
    }
  edit->next_step_ms = -1;
  conf->table->ops->get (conf->table, "doc/head", head_row_read, edit);
}

void
conf_edit (conf_t *conf, const conf_edit_t *edit, conf_done_t done,
           void *context)
{
  edit_t *copy = g_new0 (edit_t, 1);
  copy->conf = conf;
  copy->name = g_strdup (edit->name);
  bool remove = edit->text[strspn (edit->text, " \t\r\n")] == '\0';
  copy->text = g_strdup (remove ? "" : edit->text);
  copy->why = g_strdup (edit->why != NULL ? edit->why : "");
  copy->write_id
      = g_strdup_printf ("%s-%" PRIu64, conf->self, ++conf->edits_started);
  copy->checks_role = edit->identity != NULL;
  if (edit->identity != NULL)
    copy->identity = *edit->identity;
  copy->force = edit->force;
  copy->version = edit->version;
  copy->deadline_ms = clk_now_ms (conf->clock) + EDIT_TIMEOUT_MS;
  copy->done = done;
  copy->context = context;
  g_ptr_array_add (conf->edits, copy);
  read_head (copy);
}

void
conf_edits_tick (conf_t *conf)
{
  int64_t now_ms = clk_now_ms (conf->clock);
  /* Backwards, since the last edit takes the place of one that ends.  */
  for (unsigned i = conf->edits->len; i-- > 0;)
    {
      edit_t *edit = g_ptr_array_index (conf->edits, i);
      if (edit->committed_revision > 0)
        finish_if_confirmed (edit);
      else if (edit->next_step_ms >= 0 && now_ms >= edit->next_step_ms)
        read_head (edit);
    }
}

void
conf_edits_check_confirmed (conf_t *conf)
{
  for (unsigned i = conf->edits->len; i-- > 0;)
    {
      edit_t *edit = g_ptr_array_index (conf->edits, i);
      if (edit->committed_revision > 0)
        finish_if_confirmed (edit);
    }
}

void
conf_edits_free (conf_t *conf)
{
  for (unsigned i = 0; i < conf->edits->len; i++)
    edit_free (g_ptr_array_index (conf->edits, i));
  g_ptr_array_free (conf->edits, TRUE);
}

typedef struct
{
  conf_history_done_t done;
  void *context;
} history_read_t;

static int
compare_versions (const void *a, const void *b)
{
  json_t *const *left = a;
  json_t *const *right = b;
  json_int_t l = json_integer_value (json_object_get (*left, "version"));
  json_int_t r = json_integer_value (json_object_get (*right, "version"));
  return l < r ? -1 : l > r;
}

static void
history_scanned (void *context, err_kind_t kind, const table_row_t *rows,
                 uint32_t count)
{
  history_read_t *history = context;
  json_t *list = NULL;
  if (kind == ERR_OK)
    {
      /* Keys are sorted as strings, 10 before 9.  */
      GPtrArray *order = g_ptr_array_new ();
      for (uint32_t i = 0; i < count; i++)
        g_ptr_array_add (order, rows[i].value);
      g_ptr_array_sort (order, compare_versions);
      list = json_array ();
      for (unsigned i = 0; i < order->len; i++)
        json_array_append (list, g_ptr_array_index (order, i));
      g_ptr_array_free (order, TRUE);
    }
  history->done (history->context, kind, list);
  json_decref (list);
  g_free (history);
}

void
conf_read_history (conf_t *conf, const char *name, conf_history_done_t done,
                   void *context)
{
  history_read_t *history = g_new (history_read_t, 1);
  *history = (history_read_t){ .done = done, .context = context };
  char *prefix = g_strdup_printf ("doc/history/%s/", name);
  conf->table->ops->scan (conf->table, prefix, history_scanned, history);
  g_free (prefix);
}
