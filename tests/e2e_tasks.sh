#!/bin/sh
# Runs jobs of the three kinds while entries are killed and paused, the table
# service loses replies and goes down, workers die and fail, and a zone is cut
# off.  Guards against tasks that run twice, are lost, or lose their lease
# although some entry could renew it, and against jobs that never reach their
# last state.
# Usage: tests/e2e_tasks.sh [SEED]
set -u
cd "$(dirname "$0")/.."
PORT=${PORT:-23100}
SEED=${1:-1}
. tests/lib.sh
CLI=$BUILD/magnoliadock

url_of () { echo "http://$(entry_http "$1")"; }

# job ID KIND TASKS COMMAND RUN_MS ZONES EXTRA writes the file of a job; EXTRA
# is more members of its size.
job () {
  cat >"$WORK/$1.json" <<END
{"id":"$1","kind":"$2","class":"standard","team":"t","tasks":$3,
 "size":{"cpu_millis":1000,"memory_mib":1024${7:-}},"command":"$4",
 "run_ms":$5${6:+,\"zones\":[$6]}}
END
}
submit () { # ENTRY ID
  "$CLI" submit --url "$(url_of "$1")" "$WORK/$2.json" >"$WORK/out" 2>&1 ||
    fail "submit $2 to $1: $(cat "$WORK/out")"
}
# Every entry of every zone shows job ID in STATE, except stopped or paused
# ones and those of a zone that is cut off.
job_is () { # ID STATE
  for asked in $(entry_ids); do
    [ -e "$WORK/$asked.pid" ] || continue
    [ "$asked" != "${PAUSED:-}" ] || continue
    [ "$(entry_zone "$asked")" != "${CUT_ZONE:-}" ] || continue
    curl -sf -m 1 "$(url_of "$asked")/v1/jobs/$1" |
      grep -q "\"team\":\"[^\"]*\",\"state\":\"$2\"" || return 1
  done
}
wait_job () { # ID STATE SECONDS
  wait_for "$3" "job $1 is $2" job_is "$1" "$2"
}
# Number of tasks of job ID that were started and have not finished.
running () { # ID
  get tasks | tr '{' '\n' | sed -n "s/.*\"what\":\"\([a-z]*\)\",\"task\":\"$1\/.*/\1/p" |
    awk '{ n += $1 == "started" ? 1 : -1 } END { print n + 0 }'
}
is_running () { [ "$(running "$1")" = "$2" ]; }
worker_of () { # TASK
  get tasks | tr '{' '\n' |
    sed -n "s|.*\"what\":\"started\",\"task\":\"$1\".*\"worker\":\"\([^\"]*\)\".*|\1|p" |
    tail -n 1
}
# Prints the id of the entry on duty in the zone of ENTRY: the one that places
# tasks there.
duty_of () { # ENTRY
  curl -sf -m 2 "$(url_of "$1")/v1/status" | grep -o '"duty":"[^"]*"' |
    cut -d'"' -f4
}
other_of () { # ENTRY: the other entry of its zone
  awk -v id="$1" -v zone="$(entry_zone "$1")" \
    '$2 == zone && $1 != id { print $1; exit }' "$WORK/entries"
}
elapsed () { echo $(($(date +%s) - STARTED)); }

STARTED=$(date +%s)
start_standin --entries 8 --list-lag-ms 500 --stop-ms 100
start_entries --seed "$SEED"

say "== a worker that runs a task of a service dies"
job web service 8 serve 0
submit catania-e1 web
wait_for 15 "8 tasks of web run" is_running web 8
DEAD=$(worker_of web/0)
inject "worker?id=$DEAD&mode=dead"
inject "instance?id=$DEAD&state=gone"

say "== replies are lost after the write took effect"
inject "table?lose=6"
job lost1 batch 5 x 500
submit messina-e2 lost1
inject "table?lose=3&lose_how=silent"
job lost2 all-at-once 2 x 500 '' ',"accelerators":8'
submit siracusa-e1 lost2
wait_job lost1 ended 15
wait_job lost2 ended 15
inject "table?lose=0"

lost=$(get summary | number lost_replies)
[ "${lost:-0}" -gt 0 ] || fail "no reply was lost"

say "== a zone is cut off for longer than a lease"
inject "zone?zone=messina&mode=cut"
CUT_SINCE=$(date +%s)
CUT_ZONE=messina

say "== the entry on duty is killed while a job is waiting"
DUTY=$(duty_of catania-e1)
OTHER=$(other_of "$DUTY")
job killed batch 8 x 800 '"catania"'
submit "$OTHER" killed
kill_entry "$DUTY"
wait_job killed ended 15
start_entry "$DUTY" --seed "$SEED"

say "== the entry on duty is paused and resumed"
DUTY=$(duty_of palermo-e1)
OTHER=$(other_of "$DUTY")
signal_entry "$DUTY" STOP
PAUSED=$DUTY
job paused batch 8 x 800 '"palermo"'
submit "$OTHER" paused
wait_job paused ended 15
signal_entry "$DUTY" CONT
PAUSED=
# A lease lasts 15 s.
lease_is_over () { [ $(($(date +%s) - CUT_SINCE)) -gt 16 ]; }
wait_for 17 "zone cut off for a lease" lease_is_over
inject "zone?zone=messina&mode=up"
CUT_ZONE=

say "== the table service is down"
inject "table?mode=down"
job refused batch 1 x 100
if "$CLI" submit --url "$(url_of siracusa-e1)" "$WORK/refused.json" \
  >"$WORK/out" 2>&1; then
  fail "a job was accepted while the table service was down"
fi
grep -q store_unavailable "$WORK/out" || fail "wrong refusal: $(cat "$WORK/out")"
inject "table?mode=up"

say "== a worker fails every task that it starts; a job is cancelled"
inject "worker?id=siracusa-ordering-w1&mode=fail"
job failing batch 6 x 300 '"siracusa"'
job doomed batch 6 x 0
try_submit () { # ENTRY ID; refused for a while after the outage
  "$CLI" submit --url "$(url_of "$1")" "$WORK/$2.json"
}
wait_for 10 "submissions after the outage" try_submit siracusa-e1 failing
submit siracusa-e2 doomed
wait_job failing ended 25
wait_for 10 "6 tasks of doomed run" is_running doomed 6
"$CLI" cancel --url "$(url_of palermo-e1)" doomed >"$WORK/out" 2>&1 ||
  fail "cancel: $(cat "$WORK/out")"
wait_job doomed cancelled 10
is_running doomed 0 || fail "tasks of a cancelled job run"

say "== the dead worker's task runs elsewhere once list lag and lease are over"
wait_for $((58 - $(elapsed))) "8 tasks of web run again" is_running web 8
[ "$(worker_of web/0)" != "$DEAD" ] || fail "web/0 is on a dead worker"
expired=$(get summary | number lease_expired)
[ "${expired:-0}" = 0 ] || fail "$expired tasks lost their lease"
say "took $(elapsed) s"
finish
