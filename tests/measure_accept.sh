#!/bin/sh
# Measures what callers pay for a job: the time until it is accepted, and the
# calls to the store for its acceptance, its state and its cancel.
#   tests/measure_accept.sh [JOBS]
#   BUILD=DIR      the build whose node is measured
#   STANDIN=FILE   the stand-in, that of BUILD unless set
# One node accepts the jobs and owns no cell, another owns both.
set -u
cd "$(dirname "$0")/.."
JOBS=${1:-300}
PORT=${PORT:-26500}
BUILD=${BUILD:-build/release}
STANDIN=${STANDIN:-$BUILD/site-standin}
WORK=$(mktemp -d "${TMPDIR:-/tmp}/magnoliadock.XXXXXX")
CONTROL=http://127.0.0.1:$PORT/control

pids=
# Ends only what this script has started.
cleanup () {
  for pid in $pids; do kill -TERM "$pid" 2>/dev/null; done
  for pid in $pids; do wait "$pid" 2>/dev/null; done
  rm -rf "$WORK"
}
trap cleanup EXIT

start_node () { # NODE CPU_SHARE
  cat >"$WORK/$1.conf" <<END
node=edge-$1
zone=z
ip=127.0.0.$((10 + $1))
internal_ports=$((PORT + 400)),$((PORT + 410))
listen_addresses.front=127.0.0.$((10 + $1)):$((PORT + 401))
listen_addresses.readiness=127.0.0.$((10 + $1)):$((PORT + 402))
platform.address=127.0.0.1:$PORT
advice=127.0.0.1:$PORT
limits.cpu_share=$2
limits.cores=1
bounds.grace_s=6
bounds.max_hold_ms=6000
bounds.status_s=120
END
  MAGNOLIADOCK_SETTINGS=$WORK/$1.conf "$BUILD/magnoliadock" node \
    >"$WORK/$1.log" 2>&1 &
  pids="$pids $!"
}

calls () { # NAME
  curl -s -m 3 "$CONTROL/check" | sed 's/.*"'"$1"'":\([0-9]*\).*/\1/'
}

# Sends METHOD for each job; prints the median time in ms and the store's calls.
measure () { # METHOD NAME [BODY]
  reads=$(calls reads)
  writes=$(calls inbox_writes)
  for number in $(seq "$first" $((first + JOBS - 1))); do
    curl -s -m 3 -o /dev/null -w '%{time_total} %{http_code}\n' -X "$1" \
      -H 'Host: host' ${3:+-d "$3"} \
      "http://127.0.0.12:$((PORT + 401))/queue/$(printf '%016x' "$number")"
  done >"$WORK/times"
  sort -n "$WORK/times" | sed -n "$((JOBS / 2))p" \
    | awk -v name="$2" -v jobs="$JOBS" -v reads="$(($(calls reads) - reads))" \
      -v writes="$(($(calls inbox_writes) - writes))" \
      '{ printf "%s: median %.2f ms, status %s, %.2f reads and %.2f writes a job\n", name, $1 * 1000, $2, reads / jobs, writes / jobs }'
}

"$STANDIN" --port "$PORT" --workers 8 --services 2 2>"$WORK/standin.log" &
pids="$pids $!"
sleep 0.3
start_node 1 1
sleep 2
start_node 2 0.1
sleep 2
first=1
# The jobs wait: none of the workers has so much memory.
body='{"spec":"0","steps":[{"count":1,"cpu":1000,"mem_mb":90000,"estimated_ms":100}]}'
measure GET "state of an unknown id"
measure POST accept "$body"
measure POST "accept again" "$body"
measure GET "state of a waiting job"
measure DELETE cancel
sleep 0.5
measure GET "state of a cancelled job"
first=$((JOBS + 1))
measure DELETE "cancel of an unknown id"
