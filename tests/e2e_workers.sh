#!/bin/sh
# Workers freeze, restart, die and are listed as gone while the instance list
# is stale or down and connections stop answering.  Guards against tasks that
# run in two places or stay lost, and against a move to another worker before
# the task has certainly ended on the old one.
# Usage: tests/e2e_workers.sh [SEED]
set -u
cd "$(dirname "$0")/.."
PORT=${PORT:-23200}
SEED=${1:-1}
. tests/lib.sh
CLI=$BUILD/magnoliadock
TASKS=12

# "WHAT TASK WORKER" of every event of job web.
events () {
  get tasks | tr '{' '\n' | sed -n \
    's|.*"what":"\([a-z]*\)","task":"\(web/[0-9]*\)".*"worker":"\([^"]*\)".*|\1 \2 \3|p'
}
running () {
  events | awk '{ n += $1 == "started" ? 1 : -1 } END { print n + 0 }'
}
all_run () { [ "$(running)" = "$TASKS" ]; }
# The worker of ZONE on which a task of web runs.
worker_in () {
  events | awk -v zone="$1-" '$1 == "started" && index($3, zone) == 1 { w = $3 }
    END { print w }'
}
ran_on () { events | awk -v w="$1" '$1 == "started" && $3 == w' | wc -l; }
elapsed () { echo $(($(date +%s) - STARTED)); }

STARTED=$(date +%s)
start_standin --entries 4 --list-lag-ms 500
start_entries --seed "$SEED"
URL=http://$(entry_http catania-e1)
cat >"$WORK/web.json" <<END
{"id":"web","kind":"service","class":"standard","team":"t","replicas":$TASKS,
 "size":{"cpu_millis":1000,"memory_mib":1024},"command":"serve"}
END
"$CLI" submit --url "$URL" "$WORK/web.json" >/dev/null || fail "submit"
wait_for 15 "$TASKS tasks run" all_run
FROZEN=$(worker_in palermo)
REBOOTED=$(worker_in messina)
LOST=$(worker_in siracusa)

say "== $FROZEN freezes, $LOST dies while the instance list is stale"
inject "worker?id=$FROZEN&mode=frozen"
inject "list?mode=stale"
inject "worker?id=$LOST&mode=dead"
inject "instance?id=$LOST&state=gone"
GONE_SINCE=$(date +%s)

say "== $REBOOTED restarts; connections stop answering"
before=$(ran_on "$REBOOTED")
inject "worker?id=$REBOOTED&mode=reboot"
inject "silence?scope=workers"
inject "silence?scope=platform"
inject "list?mode=up"
rebooted_tasks_run () {
  events | awk '{ n[$2] += $1 == "started" ? 1 : -1; w[$2] = $3 }
    END { for (t in n) if (w[t] ~ /^messina-/ && n[t] != 1) exit 1 }'
}
wait_for 20 "tasks of the restarted worker run again" rebooted_tasks_run
[ "$before" -gt 0 ] || fail "nothing ran on $REBOOTED"

say "== the instance list is down, $FROZEN resumes after its leases have ended"
# A lease lasts 15 s.
lease_over () { [ $(($(date +%s) - GONE_SINCE)) -gt 17 ]; }
wait_for 20 "a lease has passed" lease_over
inject "list?mode=down"
inject "worker?id=$FROZEN&mode=ok"
frozen_zone_runs () {
  events | awk '{ n[$2] += $1 == "started" ? 1 : -1; w[$2] = $3 }
    END { for (t in n) if (w[t] ~ /^palermo-/ && n[t] != 1) exit 1 }'
}
wait_for 15 "tasks of the frozen worker run again" frozen_zone_runs
inject "list?mode=up"

say "== tasks of the gone worker move"
wait_for $((58 - $(elapsed))) "$TASKS tasks run" all_run
moved=$(events | awk -v w="$LOST" '$3 == w && $1 == "started"' | wc -l)
[ "$moved" -gt 0 ] || fail "nothing ran on $LOST"
say "took $(elapsed) s"
finish
