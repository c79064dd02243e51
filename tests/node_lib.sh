# Shared by tests/soak_node.sh and tests/e2e_config.sh; sourced in the project's
# root after setting PORT, NODES and BUILD.  Starts the stand-in of the platform
# and nodes, each with a door of its own to the store, and ends by process id
# what it started.  The stand-in takes PORT and the ports up to PORT+390, each
# node PORT+400 to PORT+402 on an address of its own.

WORK=$(mktemp -d "${TMPDIR:-/tmp}/magnoliadock.XXXXXX")
CONTROL=http://127.0.0.1:$PORT/control

pid_of () { cat "$WORK/$1.pid" 2>/dev/null; }

# Ends only what this script has started.
cleanup () {
  for name in $(seq 1 "$NODES") standin; do
    pid=$(pid_of "$name") && kill -CONT "$pid" 2>/dev/null
    [ -n "${pid:-}" ] && kill -KILL "$pid" 2>/dev/null
  done
  [ "${KEEP:-}" ] || [ "${failed:-1}" = 1 ] || rm -rf "$WORK"
}
trap cleanup EXIT

write_settings () {
  cat >"$WORK/$1.conf" <<END
node=edge-$1
zone=z
ip=127.0.0.$((10 + $1))
internal_ports=$((PORT + 400)),$((PORT + 410))
listen_addresses.front=127.0.0.$((10 + $1)):$((PORT + 401))
listen_addresses.readiness=127.0.0.$((10 + $1)):$((PORT + 402))
platform.address=127.0.0.1:$((PORT + 300 + $1))
platform.row_bytes=16384
advice=127.0.0.1:$PORT
limits.cpu_share=1
limits.cores=1
bounds.config_apply_ms=2000
bounds.grace_s=6
bounds.max_hold_ms=6000
bounds.status_s=120
END
}

start_node () {
  MAGNOLIADOCK_SETTINGS=$WORK/$1.conf "$BUILD/magnoliadock" node \
    >>"$WORK/$1.log" 2>&1 &
  echo $! >"$WORK/$1.pid"
  rm -f "$WORK/$1.ended"
}

# end_node SIGNAL NODE ends a node that may be started again.
end_node () {
  : >"$WORK/$2.ended"
  kill "-$1" "$(pid_of "$2")" 2>/dev/null
}

is_running () { kill -0 "$(pid_of "$1")" 2>/dev/null; }

# Fails if the stand-in, or a node that was not told to, has ended.
check_processes () {
  is_running standin || fail "the stand-in has ended: $(tail -n 1 "$WORK/standin.log")"
  for node in $(seq 1 "$NODES"); do
    is_running "$node" || [ -e "$WORK/$node.ended" ] \
      || fail "node $node has ended: $(tail -n 1 "$WORK/$node.log")"
  done
}

check_logs () {
  report=$(grep -hm 1 -E 'Sanitizer|runtime error:' "$WORK"/*.log | head -n 1)
  [ -z "$report" ] || fail "$report"
}

front_url () { echo "http://127.0.0.$((10 + $1)):$((PORT + 401))"; }

control () { curl -s -m 3 -X POST "$CONTROL/$1" >/dev/null; }

is_ready () { # NODE
  [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' \
    "http://127.0.0.$((10 + $1)):$((PORT + 402))/api/readiness")" = 200 ]
}

# start_all [FLAG...] starts the stand-in with FLAGs and the nodes, and waits
# until the first node is ready.
start_all () {
  "${STANDIN:-$BUILD/site-standin}" --port "$PORT" --doors "$NODES" "$@" \
    2>"$WORK/standin.log" &
  echo $! >"$WORK/standin.pid"
  for node in $(seq 1 "$NODES"); do
    write_settings "$node"
    start_node "$node"
  done
  for _ in $(seq 1 100); do
    is_ready 1 && return
    sleep 0.1
  done
  fail "no node is ready"
}
