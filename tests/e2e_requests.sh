#!/bin/sh
# Sends requests through entries while entries are killed, paused and replaced
# and backend servers die, hang, cut answers and stop answering.  Guards
# against wrong or duplicate answers, false outcomes, and limits that do not
# hold under faults.
# Usage: tests/e2e_requests.sh [SEED]
PORT=${PORT:-21100}
SEED=${1:-1}
. tests/lib.sh

load () { # NAME RATE SECONDS FLAG...
  load_name=$1 load_rate=$2 load_time=$3
  shift 3
  "$BUILD/magnoliadock" bench http --targets "$TARGETS" --rate "$load_rate" \
    --duration-s "$load_time" --seed "$SEED" --prefix "$load_name" \
    --not-run-file "$WORK/$load_name.not-run" "$@" \
    >"$WORK/$load_name.json" 2>"$WORK/$load_name.err"
}
field () { number "$2" <"$WORK/$1.json"; }

# Every request has exactly one outcome, and the stand-in has run none of those
# that ended as not run.
check_load () { # NAME
  say "$1: sent $(field "$1" sent) ran $(field "$1" ran)" \
    "not-run $(field "$1" not_run) unknown $(field "$1" unknown)" \
    "no connection $(field "$1" no_connection) cut $(field "$1" cut) wrong $(field "$1" wrong_answers)"
  [ "$(field "$1" wrong_answers)" = 0 ] || fail "$1: wrong answers"
  [ "$(field "$1" unfinished)" = 0 ] || fail "$1: requests without an end"
  sum=$(($(field "$1" ran) + $(field "$1" not_run) + $(field "$1" unknown) \
    + $(field "$1" no_connection) + $(field "$1" cut)))
  [ "$sum" = "$(field "$1" sent)" ] || fail "$1: outcomes do not add up"
  curl -sf -m 10 --data-binary "@$WORK/$1.not-run" "$CONTROL/not-run" \
    >/dev/null || fail "$1: check of the requests that did not run"
}

start_standin --deployment carta --entries 8 --workers 0 --list-lag-ms 1000 \
  --service-ms 20
entry_ids >"$WORK/ids"
start_entries --seed "$SEED"
CATANIA_ENTRY=$(awk '$2 == "catania" {print $1; exit}' "$WORK/entries")
PALERMO_ENTRY=$(awk '$2 == "palermo" {print $1; exit}' "$WORK/entries")
TARGETS=http://$(entry_http "$CATANIA_ENTRY"),http://$(entry_http "$PALERMO_ENTRY")
MIX="--classes urgent=1,standard=3,bulk=2 --teams a=1,b=2
  --bodies 0=3,1024=3,30000=1,200000=1 --idempotent-percent 60
  --deadline-ms 4000"

say "== no fault"
# shellcheck disable=SC2086
load calm 300 3 $MIX || fail "calm load: $(cat "$WORK/calm.err")"
check_load calm
[ "$(field calm ran)" = "$(field calm sent)" ] || fail "calm: not all ran"

say "== backend servers fail in every way, connections stop answering"
# shellcheck disable=SC2086
load backends 200 14 $MIX &
LOAD=$!
sleep 1; inject "backend?id=catania-ordering-p1&mode=dead"
sleep 1; inject "backend?id=catania-ordering-p2&mode=cut"
sleep 1; inject "backend?id=catania-ordering-p3&mode=lose"
sleep 1; inject "backend?id=palermo-ordering-p1&mode=hang"
sleep 1; inject "backend?id=palermo-ordering-p2&mode=slow&delay_ms=1500"
sleep 1; inject "instance?id=catania-ordering-p4&state=leaving"
sleep 1; inject "silence?scope=backends"
sleep 2; inject "backend?kind=backend&mode=ok"
sleep 1; inject "silence?scope=backends"
wait $LOAD || fail "load with failing backend servers"
check_load backends

say "== entries are paused, killed and replaced"
inject "backend?kind=backend&mode=ok"
# shellcheck disable=SC2086
load entries 200 11 $MIX &
LOAD=$!
sleep 1; signal_entry "$PALERMO_ENTRY" STOP
sleep 5; signal_entry "$PALERMO_ENTRY" CONT
sleep 1; kill_entry "$CATANIA_ENTRY"; start_entry "$CATANIA_ENTRY" --seed "$SEED"
wait $LOAD || fail "load with failing entries"
check_load entries

say "== planned stop: no request in flight is cut"
# shellcheck disable=SC2086
load stop 150 4 $MIX --service-ms 150 &
LOAD=$!
sleep 1; signal_entry "$PALERMO_ENTRY" TERM
wait "$(entry_pid "$PALERMO_ENTRY")" || fail "planned stop of $PALERMO_ENTRY ended with $?"
rm -f "$WORK/$PALERMO_ENTRY.pid"; start_entry "$PALERMO_ENTRY" --seed "$SEED"
wait $LOAD || fail "load with a planned stop"
check_load stop
[ "$(field stop cut)" = 0 ] || fail "a planned stop cut requests"
[ "$(field stop unknown)" = 0 ] || fail "a planned stop left outcomes unknown"

say "== catania has no backend server: other zones run the requests; then an" \
  "entry in palermo is paused"
inject "instance?zone=catania&kind=backend&state=leaving"
sleep 3
TARGETS=http://$(entry_http "$CATANIA_ENTRY")
# shellcheck disable=SC2086
load handed 150 8 $MIX &
LOAD=$!
sleep 1; signal_entry "$PALERMO_ENTRY" STOP
sleep 4; signal_entry "$PALERMO_ENTRY" CONT
wait $LOAD || fail "load that is handed over"
check_load handed
[ "$(field handed ran)" -gt 600 ] || fail "hardly anything was handed over"
inject "instance?zone=catania&kind=backend&state=live"
wait_entry "$CATANIA_ENTRY"; wait_entry "$PALERMO_ENTRY"
load after 200 2 || fail "load after the faults"
check_load after
[ "$(field after ran)" -gt 0 ] || fail "nothing runs after the faults"
finish
