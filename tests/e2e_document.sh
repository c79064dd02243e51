#!/bin/sh
# Guards against accepted edits of the configuration that are lost, reverted,
# or not in force at every entry within 5 s, while operators edit the same
# sections at once, entries are replaced and replies of the table service get
# lost.
# Usage: tests/e2e_document.sh [EDITS]  (per operator; 3 operators)
set -u
cd "$(dirname "$0")/.."
PORT=${PORT:-24100}
. tests/lib.sh
EDITS=${1:-10}
BOUND_MS=5000
CLI=$BUILD/magnoliadock

now_ms () { date +%s%3N; }
url_of () { echo "http://$(entry_http "$1")"; }

# Writes "MS ENTRY REVISION" for each entry that answers, until $WORK/stop.
observe () {
  while [ ! -e "$WORK/stop" ]; do
    for id in $(cat "$WORK/ids"); do
      revision=$(curl -s -m 1 "$(url_of "$id")/metrics" |
        awk '$1 == "magnoliadock_config_revision" { print $2 }')
      [ -n "$revision" ] && echo "$(now_ms) $id $revision"
    done >>"$WORK/seen"
  done
}

# operator NAME SECTION SECTION edits the second SECTION, through a different
# entry each time, and writes "SENT_MS DONE_MS EXIT_CODE REVISION WHY" per
# edit.
operator () {
  name=$1
  shift
  count=0
  while [ "$count" -lt "$EDITS" ]; do
    count=$((count + 1))
    why=$name-$count
    for section; do :; done
    [ $((count % 2)) -eq 0 ] && section=$2
    entry=$(awk -v n="$((count * 7 + ${#name}))" \
      '{ a[NR] = $1 } END { print a[n % NR + 1] }' "$WORK/ids")
    file=$WORK/$why.conf
    MAGNOLIADOCK_URL=$(url_of "$entry")
    export MAGNOLIADOCK_URL
    if "$CLI" document get "$section" >"$file" 2>>"$WORK/$name.err"; then
      echo "# $why" >>"$file"
      sent=$(now_ms)
      out=$("$CLI" document apply --why "$why" "$file" 2>"$WORK/$why.err")
      result=$?
      revision=$(echo "$out" | sed -n 's/.*revision \([0-9]*\),.*/\1/p')
      echo "$sent $(now_ms) $result ${revision:-0} $why" >>"$WORK/edits"
    fi
    sleep 0.5
  done
}

start_standin --deployment carta --entries 9 --workers 0
start_entries
entry_ids >"$WORK/ids"
MAGNOLIADOCK_URL=$(url_of "$(head -n 1 "$WORK/ids")")
export MAGNOLIADOCK_URL
"$CLI" document apply --why first deploy/carta.conf >"$WORK/first" ||
  fail "first apply"
: >"$WORK/edits"
: >"$WORK/seen"

observe &
observer=$!
pids=
operator ann "service ordering" "class bulk" & pids="$pids $!"
operator ben "service ordering" "service inspection" & pids="$pids $!"
operator eve "class bulk" "service inspection" & pids="$pids $!"

# Entries are killed and started again, which gives them a new incarnation; the
# instance list does not change.
sleep 2
inject "table?lose=2&lose_how=silent"
sleep 1
for id in $(sed -n '3p;6p' "$WORK/ids"); do
  kill_entry "$id"
  start_entry "$id"
done
sleep 2
inject "table?lose=3"
kill_entry "$(sed -n 8p "$WORK/ids")"
start_entry "$(sed -n 8p "$WORK/ids")"
for pid in $pids; do wait "$pid"; done
sleep 6
: >"$WORK/stop"
wait "$observer"

lost=$(get summary | number lost_replies)
[ "$lost" -ge 4 ] || fail "only $lost replies of the table service were lost"
accepted=$(awk '$3 == 0' "$WORK/edits" | wc -l)
say "edits: $(wc -l <"$WORK/edits"), accepted: $accepted"
[ "$accepted" -ge "$EDITS" ] || fail "fewer than $EDITS edits were accepted"

# A replaced entry does not answer for a while and starts again from revision
# 0; every other step back is a revert.
awk '{ if (($2 in last) && $3 < last[$2] && $3 != 0) { print; bad = 1 }
       last[$2] = $3 } END { exit bad }' "$WORK/seen" || fail "a revision reverts"

# For each accepted edit: the time until every entry shows its revision or a
# later one.
awk -v bound="$BOUND_MS" '
  FNR == NR { n[$2]++; at[$2, n[$2]] = $1; rev[$2, n[$2]] = $3; next }
  $3 == 0 {
    worst = 0
    for (id in n) {
      found = 0
      for (i = 1; i <= n[id]; i++)
        if (at[id, i] >= $1 && rev[id, i] >= $4) {
          found = 1
          took = at[id, i] - $1
          if (took > worst) worst = took
          break
        }
      if (!found) { print $5, "never at", id; bad = 1 }
    }
    print worst, $2 - $1, $5 > "/dev/stderr"
    if (worst > bound + $2 - $1) { print $5, "took", worst, "ms"; bad = 1 }
  }
  END { exit bad }' "$WORK/seen" "$WORK/edits" 2>"$WORK/times" ||
  fail "an accepted change is not in force everywhere within $BOUND_MS ms"

# The history holds every accepted change once, and no refused one.
for section in "service ordering" "service inspection" "class bulk"; do
  "$CLI" document history "$section"
done >"$WORK/history"
while read -r sent done result revision why; do
  times=$(grep -c " $why\$" "$WORK/history")
  [ "$result" -ne 0 ] || [ "$times" = 1 ] ||
    fail "$why was accepted and stands $times times in the history"
  [ "$result" -eq 0 ] || [ "$times" = 0 ] ||
    grep -q "not known" "$WORK/$why.err" ||
    fail "$why was refused and stands in the history"
done <"$WORK/edits"

# All entries show the same text.
for id in $(cat "$WORK/ids"); do
  MAGNOLIADOCK_URL=$(url_of "$id") "$CLI" document get | cksum
done | sort -u >"$WORK/texts"
[ "$(wc -l <"$WORK/texts")" = 1 ] || fail "entries show different documents"

# Status names an entry that cannot confirm until the instance list shows it as
# gone.
last=$(tail -n 1 "$WORK/ids")
kill_entry "$last"
"$CLI" document get "class bulk" >"$WORK/bulk.conf" || fail "get"
sed -i "s/weight = .*/weight = 7/" "$WORK/bulk.conf"
"$CLI" document apply "$WORK/bulk.conf" >/dev/null || fail "apply"
"$CLI" document status | grep -q "not confirmed: entry $last\$" ||
  fail "status does not name $last"
inject "instance?id=$last&state=gone"
all_confirmed () { ! "$CLI" document status | grep -q "not confirmed"; }
wait_for 15 "status forgets $last" all_confirmed

say "time in ms from sending an edit until the last entry has it:"
sort -n "$WORK/times" | awk '{ w[NR] = $1; d[NR] = $2 } END {
  print "median", w[int((NR + 1) / 2)], "worst", w[NR], "of", NR }'
finish
