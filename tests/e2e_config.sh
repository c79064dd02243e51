#!/bin/sh
# Guards against nodes that decide requests by a version of the configuration
# later than bounds.config_apply_ms after the store has acknowledged a newer one.
#   tests/e2e_config.sh [CASE]
# Each case changes the configuration while the way of node 2, or of all nodes,
# to the store fails, and asks from 2 s after the acknowledgement on.
set -u
cd "$(dirname "$0")/.."
PORT=${PORT:-27000}
NODES=3
BUILD=${BUILD:-build/release}
APPLY_S=2

fail () {
  echo "FAILED: $*"
  exit 1
}

. tests/node_lib.sh

added=0 # number of routes that were added
gone=   # the last one that was dropped

# The acknowledgement of the store is the answer to control.
add_route () {
  added=$((added + 1))
  control "added?count=$added"
}

drop_route () {
  gone=$added
  added=$((added - 1))
  control "added?count=$added"
}

# status NODE ROUTE prints the status of a question for the route's pending jobs.
status () {
  curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: host' \
    "$(front_url "$1")/added-$2/"
}

# ask CASE NODE ROUTE WRONG SECONDS asks NODE again and again for SECONDS and
# fails if the status is WRONG.
ask () {
  end=$(($(date +%s) + $5))
  while [ "$(date +%s)" -lt "$end" ]; do
    [ "$(status "$2" "$3")" != "$4" ] \
      || fail "$1: a request is answered $4 by an old version"
    sleep 0.1
  done
}

served () { # NODE
  [ "$(status "$1" "$added")" = 200 ]
}

wait_until_served () { # CASE NODE...
  in_case=$1
  shift
  for node in "$@"; do
    for _ in $(seq 1 50); do
      served "$node" && continue 2
      sleep 0.1
    done
    fail "$in_case: node $node does not serve the last version"
  done
}

# The store refuses node 2, whose peers have the new version.
case_refused () {
  control "door?node=2&mode=busy&for_ms=8000"
  add_route
  sleep $APPLY_S
  ask "$1" 2 "$added" 404 4
  served 2 || fail "$1: node 2 does not serve what its peers know"
}

case_dropped () {
  add_route
  wait_until_served "$1" 1 2 3
  control "door?node=2&mode=silent&for_ms=8000"
  drop_route
  sleep $APPLY_S
  ask "$1" 2 "$gone" 200 4
}

# No node has the new version.
case_all () {
  for node in 1 2 3; do
    control "door?node=$node&mode=silent&for_ms=6000"
  done
  add_route
  sleep $APPLY_S
  ask "$1" 1 "$added" 404 1
  ask "$1" 2 "$added" 404 1
  ask "$1" 3 "$added" 404 1
  for node in 1 2 3; do
    curl -s -m 3 -o /dev/null -D - -H 'Host: host' \
      "$(front_url "$node")/added-$added/" >"$WORK/headers"
    if ! grep -q '^HTTP/1.1 503' "$WORK/headers" \
      || ! grep -qi '^Retry-After: [1-9]' "$WORK/headers"; then
      fail "$1: expected 503 with Retry-After: $(head -n 1 "$WORK/headers")"
    fi
  done
}

# Many connections of node 2 to the store fall silent.
case_silent () {
  for job in $(seq 1 24); do
    curl -s -m 3 -o /dev/null -H 'Host: host' -X POST \
      -H 'Content-Type: application/json' \
      -d '{"spec":"0","steps":[{"count":1,"cpu":1,"mem_mb":1,"estimated_ms":1}]}' \
      "$(front_url 2)/queue/$(printf '%016x' $((job + 256)))" &
    jobs="${jobs:-} $!"
  done
  # shellcheck disable=SC2086
  wait $jobs
  control "door?node=2&mode=stale"
  add_route
  sleep $APPLY_S
  ask "$1" 2 "$added" 404 6
}

# The request waits in a socket of node 2 while its process stands still.
case_paused () {
  kill -STOP "$(pid_of 2)"
  add_route
  sleep $APPLY_S
  status 2 "$added" >"$WORK/paused" &
  asked=$!
  sleep 0.5
  kill -CONT "$(pid_of 2)"
  wait $asked
  [ "$(cat "$WORK/paused")" != 404 ] \
    || fail "$1: a request is answered 404 by an old version"
}

# A process that stops still answers on open connections.
case_stopping () {
  control "door?node=2&mode=silent&for_ms=8000"
  add_route
  sleep 1
  end_node TERM 2
  sleep 1
  ask "$1" 2 "$added" 404 2
  sleep 3
  start_node 2
}

start_all --workers 4
for name in ${1:-refused dropped all silent paused stopping}; do
  add_route
  wait_until_served "$name" 1 2 3
  "case_$name" "$name"
  sleep 1
  wait_until_served "$name" 1 2 3
  check_processes
  echo "passed: $name"
done
check_logs
failed=0
