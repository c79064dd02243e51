# Shared by the scripts review/1[1-5]/run.sh; sourced with CASE set to the
# folder of the case.  Starts the platform's stand-in and nodes with the command
# of deploy/system.toml on loopback addresses, and ends by process id what it
# started.  A script exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run.

TROUBLE=${TROUBLE:-1}
ROOT=$(cd "$CASE/../.." && pwd)
RECORD=$CASE/record.txt
WORK=$(mktemp -d "${TMPDIR:-/tmp}/review3.XXXXXX") || exit 2
# The first two bytes of the nodes' addresses; nothing else may listen there.
for try in 0 1 2 3 4 5 6 7; do
  NET=127.$((16 + ($$ + try * 37) % 200))
  curl -s -m 1 -o /dev/null "http://$NET.0.1:8149/"
  [ $? = 7 ] && break
done
NODE_COMMAND="target/magnoliadock node --metrics-port=9464"
cd "$ROOT" || exit 2
: >"$RECORD"

now_ms () { date +%s%3N; }
BEGUN=$(now_ms)

# Writes a line with the milliseconds since the start.
record () { echo "$(($(now_ms) - BEGUN)) $*" >>"$RECORD"; }

cleanup () {
  for file in "$WORK"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  [ "${KEEP:-}" ] || rm -rf "$WORK"
}
trap cleanup EXIT
trap 'exit 2' INT TERM HUP

cannot_run () {
  record "cannot run: $*"
  echo "cannot run: $*"
  exit 2
}

finish () { # STATUS TEXT
  record "result: $2"
  echo "$2"
  exit "$1"
}

# start_standin PROGRAM [FLAG...] starts the stand-in on a free port.
start_standin () {
  program=$1
  shift
  [ -x "$program" ] || cannot_run "$program is not built"
  for try in 0 1 2 3 4 5 6 7; do
    PORT=$((20000 + ($$ * 7 + try * 911) % 9000))
    CONTROL=http://127.0.0.1:$PORT/control
    "$program" --port "$PORT" "$@" >"$WORK/standin.log" 2>&1 &
    echo $! >"$WORK/standin.pid"
    sleep 0.5
    kill -0 "$(cat "$WORK/standin.pid")" 2>/dev/null && return
  done
  cannot_run "the stand-in does not start: $(tail -n 1 "$WORK/standin.log")"
}

# write_settings NAME IP CPU_SHARE
write_settings () {
  cat >"$WORK/$1.conf" <<END
node=$1
role=node
machine_class=edge
serves=edge
ip=$2
zone=z
region=r
zones.z=r
listen_addresses.front=$2:8149
listen_addresses.readiness=$2:8141
internal_ports=7380,7395
bootstrap=true
limits.cpu_share=$3
limits.cores=1
limits.memory_mb=260
limits.fd_limit=4100
limits.link_mbps=1000.0
discovery=platform
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_hold_ms=6000
bounds.stop_timeout_ms=400
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.finish_s=14
bounds.status_s=120
orders=call
advice=127.0.0.1:$PORT
platform.address=127.0.0.1:$PORT
platform.form=table
platform.row_bytes=65536
END
}

start_node () { # NAME IP CPU_SHARE
  write_settings "$1" "$2" "$3"
  MAGNOLIADOCK_SETTINGS=$WORK/$1.conf $NODE_COMMAND >"$WORK/$1.log" 2>&1 &
  echo $! >"$WORK/$1.pid"
}

pid_of () { cat "$WORK/$1.pid" 2>/dev/null; }

# Removes a machine for good.
remove_node () {
  kill -KILL "$(pid_of "$1")" 2>/dev/null
  rm -f "$WORK/$1.pid"
}

wait_ready () { # IP
  for _ in $(seq 1 150); do
    [ "$(curl -s -m 1 -o /dev/null -w '%{http_code}' \
      "http://$1:8141/api/readiness")" = 200 ] && return
    sleep 0.1
  done
  cannot_run "node at $1 is not ready"
}

# Prints the status of the answer.
submit () { # IP ID BODY
  curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: host' \
    -H 'Content-Type: application/json' -H 'X-Request-Deadline: 3000' \
    -X POST "http://$1:8149/queue/$2" -d "$3"
}

state () { # IP ID
  curl -s -m 3 -H 'Host: host' "http://$1:8149/queue/$2"
}

control () { curl -s -m 3 -X POST "$CONTROL/$1" >/dev/null; }

# Prints the number of runs on all workers.
running () {
  curl -s -m 3 "$CONTROL/check" | sed 's/.*"running":\([0-9]*\).*/\1/'
}

# Whether node $1 is the owner of the cell, by its log.
owns () { grep -q 'event=cell_owned' "$WORK/$1.log" 2>/dev/null; }
