#!/bin/sh
# Measures what the owner of a cell pays, against the stand-in of the platform.
#   tests/measure_owner.sh [WORKERS [JOBS_PER_S [SECONDS]]]
# Node 1 owns the cell, node 2 accepts the jobs, nodes 1 to 3 ask for advice.
# Prints, for SECONDS under load, the owner's processor time in ms a second,
# the task starts a second.
#   BUILD=DIR      the build whose node is measured
#   STANDIN=FILE   the stand-in, that of BUILD unless set
#   UNDER=COMMAND  runs the owner under a command, as "valgrind
#                  --tool=callgrind --callgrind-out-file=FILE"
#   PERF=FILE      records a profile there; TRACE=FILE counts system calls
set -u
cd "$(dirname "$0")/.."
WORKERS=${1:-100}
JOBS_PER_S=${2:-20}
SECONDS_MEASURED=${3:-10}
PORT=${PORT:-26000}
BUILD=${BUILD:-build/release}
STANDIN=${STANDIN:-$BUILD/site-standin}
WORK=$(mktemp -d "${TMPDIR:-/tmp}/magnoliadock.XXXXXX")
CONTROL=http://127.0.0.1:$PORT/control

pids=
# Ends only what this script has started.
cleanup () {
  for pid in $pids; do kill -TERM "$pid" 2>/dev/null; done
  for pid in $pids; do wait "$pid" 2>/dev/null; done
  [ "${KEEP:-}" ] || rm -rf "$WORK"
}
trap cleanup EXIT

write_settings () { # NODE CPU_SHARE
  cat >"$WORK/$1.conf" <<END
node=edge-$1
zone=z
ip=127.0.0.$((10 + $1))
internal_ports=$((PORT + 1400)),$((PORT + 1410))
listen_addresses.front=127.0.0.$((10 + $1)):$((PORT + 1401))
listen_addresses.readiness=127.0.0.$((10 + $1)):$((PORT + 1402))
platform.address=127.0.0.1:$PORT
advice=127.0.0.1:$PORT
limits.cpu_share=$2
limits.cores=1
bounds.grace_s=6
bounds.max_hold_ms=6000
bounds.status_s=120
END
}

start_node () { # NODE CPU_SHARE [COMMAND...]
  node=$1
  write_settings "$1" "$2"
  shift 2
  MAGNOLIADOCK_SETTINGS=$WORK/$node.conf "$@" "$BUILD/magnoliadock" node \
    >"$WORK/$node.log" 2>&1 &
  pids="$pids $!"
}

cpu_ms () { # PID; user and system time in units of 10 ms
  awk '{ print ($14 + $15) * 10 }' "/proc/$1/stat"
}

count () { # FIELD
  curl -s -m 5 "$CONTROL/check" | sed "s/.*\"$1\":\([0-9]*\).*/\1/"
}

wait_for () { # TEXT; in the log of node 1
  for _ in $(seq 1 300); do
    grep -q "$1" "$WORK/1.log" && return
    sleep 0.1
  done
  echo "FAILED: no $1: $(tail -n 3 "$WORK/1.log")"
  exit 1
}

"$STANDIN" --port "$PORT" --workers "$WORKERS" 2>"$WORK/standin.log" &
pids="$pids $!"
sleep 0.5
# shellcheck disable=SC2086  # UNDER is a command with arguments
start_node 1 1 ${UNDER:-}
owner=${pids##* }
wait_for event=cell_owned
start_node 2 0.1
start_node 3 0.1
sleep 1
curl -s -m 3 -o /dev/null -X POST \
  "$CONTROL/load?to=127.0.0.12:$((PORT + 1401))&jobs_per_s=$JOBS_PER_S"
sleep "${WARM_UP:-4}"
cpu=$(cpu_ms "$owner")
starts=$(count starts)
began=$(date +%s%N)
if [ "${PERF:-}" ]; then
  perf record -q -e cpu-clock -F 1999 --call-graph fp -p "$owner" \
    -o "$PERF" -- sleep "$SECONDS_MEASURED"
elif [ "${TRACE:-}" ]; then
  timeout "$SECONDS_MEASURED" strace -c -f -p "$owner" -o "$TRACE"
else
  sleep "$SECONDS_MEASURED"
fi
took_ms=$((($(date +%s%N) - began) / 1000000))
cpu=$(($(cpu_ms "$owner") - cpu))
starts=$(($(count starts) - starts))
echo "workers=$WORKERS jobs_per_s=$JOBS_PER_S" \
  "owner_ms_per_s=$((cpu * 1000 / took_ms))" \
  "starts_per_s=$((starts * 1000 / took_ms)) running=$(count running)" \
  "accepted=$(count accepted) violations=$(count violations)"
