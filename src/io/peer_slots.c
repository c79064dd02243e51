#include "peer_internal.h"

#include "log.h"

/* Converts the messages of the slot ledger between the structs of dispatch and
   frames.  dispatch.h explains the fields; its process_key is called "backend"
   on the wire.  */

static bool
send_frame (peer_t *peer, const char *entry, frame_t *frame,
            Magnoliadock__Frame__BodyCase body_case)
{
  frame->body_case = body_case;
  return peer_send (peer, entry, frame);
}

void
peer_send_ledger (peer_t *peer, const char *entry,
                  const dispatch_ledger_item_t *items, uint32_t count)
{
  Magnoliadock__SlotEntry *copies = g_new (Magnoliadock__SlotEntry, count + 1);
  Magnoliadock__SlotEntry **list
      = g_new (Magnoliadock__SlotEntry *, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      magnoliadock__slot_entry__init (&copies[i]);
      copies[i].backend = (char *)items[i].process_key;
      copies[i].given = items[i].given;
      copies[i].learned = items[i].learned;
      copies[i].confirm = items[i].confirm;
      list[i] = &copies[i];
    }
  Magnoliadock__SlotLedger ledger = MAGNOLIADOCK__SLOT_LEDGER__INIT;
  ledger.n_entries = count;
  ledger.entries = list;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  log_event (LOG_DEBUG, "ledger_sent", "to", entry, NULL);
  frame.slot_ledger = &ledger;
  send_frame (peer, entry, &frame, MAGNOLIADOCK__FRAME__BODY_SLOT_LEDGER);
  g_free (copies);
  g_free (list);
}

void
peer_want_slots (peer_t *peer, const char *entry, const char *service,
                 uint32_t count)
{
  Magnoliadock__SlotWant want = MAGNOLIADOCK__SLOT_WANT__INIT;
  want.service = (char *)service;
  want.count = count;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  log_event (LOG_DEBUG, "slots_wanted", "of", entry, "service", service, NULL);
  frame.slot_want = &want;
  send_frame (peer, entry, &frame, MAGNOLIADOCK__FRAME__BODY_SLOT_WANT);
}

void
peer_closing_request (peer_t *peer, const char *entry,
                      const char *const *members, uint32_t count)
{
  Magnoliadock__ClosingRequest request = MAGNOLIADOCK__CLOSING_REQUEST__INIT;
  request.n_members = count;
  request.members = (char **)members;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  frame.closing_request = &request;
  send_frame (peer, entry, &frame, MAGNOLIADOCK__FRAME__BODY_CLOSING_REQUEST);
}

void
peer_closing_statement (peer_t *peer, const char *entry,
                        const char *const *members, uint32_t count,
                        const dispatch_closing_item_t *items,
                        uint32_t item_count)
{
  Magnoliadock__ClosingItem *copies
      = g_new (Magnoliadock__ClosingItem, item_count + 1);
  Magnoliadock__ClosingItem **list
      = g_new (Magnoliadock__ClosingItem *, item_count + 1);
  for (uint32_t i = 0; i < item_count; i++)
    {
      magnoliadock__closing_item__init (&copies[i]);
      copies[i].member = (char *)items[i].member;
      copies[i].backend = (char *)items[i].process_key;
      copies[i].given = items[i].given;
      copies[i].learned = items[i].learned;
      list[i] = &copies[i];
    }
  Magnoliadock__ClosingStatement statement
      = MAGNOLIADOCK__CLOSING_STATEMENT__INIT;
  statement.n_members = count;
  statement.members = (char **)members;
  statement.n_items = item_count;
  statement.items = list;
  frame_t frame = MAGNOLIADOCK__FRAME__INIT;
  frame.closing_statement = &statement;
  send_frame (peer, entry, &frame,
              MAGNOLIADOCK__FRAME__BODY_CLOSING_STATEMENT);
  g_free (copies);
  g_free (list);
}

static void
handle_ledger (peer_t *peer, const char *entry,
               const Magnoliadock__SlotLedger *ledger)
{
  dispatch_ledger_item_t *items
      = g_new0 (dispatch_ledger_item_t, ledger->n_entries + 1);
  for (size_t i = 0; i < ledger->n_entries; i++)
    {
      items[i].process_key = ledger->entries[i]->backend;
      items[i].given = ledger->entries[i]->given;
      items[i].learned = ledger->entries[i]->learned;
      items[i].confirm = ledger->entries[i]->confirm;
    }
  dispatch_peer_ledger (peer_dispatch (peer), entry, items,
                        (uint32_t)ledger->n_entries);
  g_free (items);
}

static void
handle_statement (peer_t *peer, const char *entry,
                  const Magnoliadock__ClosingStatement *statement)
{
  dispatch_closing_item_t *items
      = g_new0 (dispatch_closing_item_t, statement->n_items + 1);
  for (size_t i = 0; i < statement->n_items; i++)
    {
      items[i].member = statement->items[i]->member;
      items[i].process_key = statement->items[i]->backend;
      items[i].given = statement->items[i]->given;
      items[i].learned = statement->items[i]->learned;
    }
  dispatch_peer_closing_statement (
      peer_dispatch (peer), entry, (const char *const *)statement->members,
      (uint32_t)statement->n_members, items, (uint32_t)statement->n_items);
  g_free (items);
}

bool
peer_slots_handle_frame (peer_t *peer, const char *entry, const frame_t *frame)
{
  dispatch_t *dispatch = peer_dispatch (peer);
  switch (frame->body_case)
    {
    case MAGNOLIADOCK__FRAME__BODY_SLOT_LEDGER:
      handle_ledger (peer, entry, frame->slot_ledger);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_SLOT_WANT:
      dispatch_peer_slot_want (dispatch, entry, frame->slot_want->service,
                               frame->slot_want->count);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_CLOSING_REQUEST:
      dispatch_peer_closing_request (
          dispatch, entry,
          (const char *const *)frame->closing_request->members,
          (uint32_t)frame->closing_request->n_members);
      return true;
    case MAGNOLIADOCK__FRAME__BODY_CLOSING_STATEMENT:
      handle_statement (peer, entry, frame->closing_statement);
      return true;
    default:
      return false;
    }
}
