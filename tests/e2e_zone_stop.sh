#!/bin/sh
# Guards against a planned stop of all entries of a zone at once that takes
# longer than draining their requests, because each entry gives its slots to
# the other.
set -u
cd "$(dirname "$0")/.."
PORT=${PORT:-23500}
. tests/lib.sh
start_standin --entries 8 --service-ms 20
start_entries
targets=$(for id in $(entry_ids); do
  printf 'http://%s,' "$(entry_http "$id")"
done)
"$BUILD/magnoliadock" bench http --targets "${targets%,}" --rate 400 \
  --duration-s 4 >"$WORK/load" 2>&1 || fail "load: $(cat "$WORK/load")"
stop_entries >"$WORK/stop"
[ ! -s "$WORK/stop" ] || fail "after 10 s: $(cat "$WORK/stop")"
finish
