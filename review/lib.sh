# Shared by the scripts of the cases: starts the stand-in and the nodes, plays
# clients, and ends all that was started.  The script sets CASE_DIR and RECORD_COPY
# and calls start_all with the pools of workers (see standin.c).
set -u
cd "$CASE_DIR/../.."
TROUBLE=${TROUBLE:-1}
NODES=${NODES:-3}
WORK=$(mktemp -d "${TMPDIR:-/tmp}/review.XXXXXX")
RECORD=$WORK/record.txt
CALL=build/review/call
HOST_NAME=queue.example
STARTED=$(date +%s)
: >"$RECORD"

# An own loopback network for each run, so that runs do not share ports.
random_byte () {
  od -An -N1 -tu1 /dev/urandom | tr -d ' '
}
NET=127.$((1 + $(random_byte) % 250)).$(random_byte)
PORT=$((21000 + $(random_byte) * 8))
PLATFORM=$NET.1:$PORT

note () {
  echo "$(date +%s.%3N) $*" >>"$RECORD"
}

# Ends the processes of this run and leaves the record beside the script.
finish () {
  for pid_file in "$WORK"/*.pid; do
    [ -e "$pid_file" ] && kill -KILL "$(cat "$pid_file")" 2>/dev/null
  done
  cp "$RECORD" "$RECORD_COPY"
  [ "${KEEP:-}" ] && echo "logs in $WORK" || rm -rf "$WORK"
  exit "$1"
}

trap 'finish 2' INT TERM HUP

cannot_run () {
  note "cannot run: $*"
  echo "cannot run: $*"
  finish 2
}

broken () {
  note "RULE BROKEN: $*"
  echo "broken: $*"
  finish 1
}

held () {
  note "held: $*"
  echo "held: $*"
  finish 0
}

control () { # METHOD PATH [BODY]
  "$CALL" "$1" "$PLATFORM" "/control/$2" control "${3:-}"
}

front () { echo "$NET.$((10 + $1)):$((PORT + 200))"; }

# The settings of the small site gatra-dock, on loopback addresses.
write_settings () {
  cat >"$WORK/node-$1.conf" <<END
node=edge-a-$1
role=node
machine_class=edge
serves=edge
ip=$NET.$((10 + $1))
zone=a
region=r
zones.a=r
listen_addresses.front=$NET.$((10 + $1)):$((PORT + 200))
listen_addresses.readiness=$NET.$((10 + $1)):$((PORT + 201))
internal_ports=$((PORT + 210)),$((PORT + 225))
seeds=
bootstrap=true
in_fault_budget=false
limits.cpu_share=0.25
limits.cores=1
limits.memory_mb=260
limits.fd_limit=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=virtual_ip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform
fault_tolerance.machines=1
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.config_apply_ms=2000
bounds.max_hold_ms=6000
bounds.stop_timeout_ms=400
bounds.gang_timeout_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.require_fencing=true
bounds.lease_ms=3000
orders=call
platform.address=$PLATFORM
platform.form=table
platform.writes_per_s=600
platform.reads_per_s=2000
platform.transaction_ms=6.0
platform.part_writes_per_s=200
platform.row_bytes=65536
platform.cross_shard=false
platform.history_s=20
END
}

# Starts node $1 with the command of the deploy file.
start_node () {
  # shellcheck disable=SC2046
  MAGNOLIADOCK_SETTINGS=$WORK/node-$1.conf \
    $(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml) \
    >>"$WORK/node-$1.log" 2>&1 &
  echo $! >"$WORK/node-$1.pid"
}

# Writes op/config: $1 is its version, the others are routes NAME:PREFIX:SERVICE.
write_config () {
  config_version=$1
  shift
  routes=
  services=
  for route in "$@"; do
    name=${route%%:*}
    rest=${route#*:}
    prefix=${rest%%:*}
    service=${rest#*:}
    routes="$routes,{\"name\":\"$name\",\"host\":\"$HOST_NAME\",\"path_prefix\":\"$prefix\",\"service\":\"$service\",\"priority\":0,\"max_attempts\":4,\"stretch\":2.0,\"target_latency_ms\":2500,\"timeout_ms\":3000}"
  done
  for service in $SERVICES; do
    services="$services,{\"name\":\"$service\",\"rejects_overload\":false}"
  done
  answer=$(control POST row?key=config "{\"version\":$config_version,\"routes\":[${routes#,}],\"services\":[${services#,}],\"limits\":{}}")
  [ "${answer%% *}" = 200 ] || cannot_run "the config was not stored: $answer"
}

# start_all "ROUTE..." POOL...
start_all () {
  [ -x build/review/standin ] && [ -x target/magnoliadock ] \
    || cannot_run "not built: run the build of deploy/system.toml and review/build.sh"
  first_routes=$1
  shift
  SERVICES=
  for pool in "$@"; do
    SERVICES="$SERVICES ${pool%%:*}"
  done
  build/review/standin "$NET.1" "$PORT" "$RECORD" "$@" 2>"$WORK/standin.log" &
  echo $! >"$WORK/standin.pid"
  tries=0
  until [ "$(control GET used | cut -c1-3)" = 200 ]; do
    tries=$((tries + 1))
    [ $tries -lt 50 ] || cannot_run "the stand-in does not answer: $(cat "$WORK/standin.log")"
    sleep 0.1
  done
  # shellcheck disable=SC2086
  write_config 3 $first_routes
  for node in $(seq 1 "$NODES"); do
    write_settings "$node"
    start_node "$node"
  done
  for node in $(seq 1 "$NODES"); do
    tries=0
    until [ "$("$CALL" GET "$NET.$((10 + node)):$((PORT + 201))" /api/readiness ready | cut -c1-3)" = 200 ]; do
      tries=$((tries + 1))
      [ $tries -lt 100 ] || cannot_run "node $node does not become ready"
      sleep 0.1
    done
  done
  # The cells have their owners well before traffic starts, 10 s after the
  # machines do.
  sleep 8
}

# One request of a client to node $2; prints status and body.
client () { # METHOD NODE PATH [BODY]
  text=$("$CALL" "$1" "$(front "$2")" "$3" "$HOST_NAME" "${4:-}")
  note "client: $1 $3 at node $2 $(printf '%.200s' "${4:-}") -> $text"
  echo "$text"
}

# Hands a job in as a consumer does: again with the same id after no answer,
# 502, 504, 429 or 503, at the next node, four more times at most.
submit () { # PATH BODY
  attempt=0
  while :; do
    reply=$(client POST $((1 + attempt % NODES)) "$1" "$2")
    case ${reply%% *} in
      200) return 0 ;;
      000 | 502 | 504 | 429 | 503) ;;
      *) return 1 ;;
    esac
    attempt=$((attempt + 1))
    [ $attempt -le 4 ] || return 1
    sleep 0.5
  done
}

# The state of a job, or the status if that is not 200.
state () { # NODE PATH
  reply=$(client GET "$1" "$2")
  case $reply in
    200*) echo "$reply" | sed 's/.*"state":"\([a-z]*\)".*/\1/' ;;
    *) echo "${reply%% *}" ;;
  esac
}

# A number of /control/job of job $1.
job_number () { # ID NAME
  control GET "job?id=$1" | sed 's/.*"'"$2"'":\([0-9]*\).*/\1/'
}

# Rules that the workers saw broken.
check_workers () {
  seen=$(control GET breaks)
  case $seen in
    '200 {"breaks":0,'*) ;;
    *) broken "$seen" ;;
  esac
}

# A node that ends by itself breaks a rule too.
check_nodes () {
  for node in $(seq 1 "$NODES"); do
    kill -0 "$(cat "$WORK/node-$node.pid")" 2>/dev/null \
      || broken "node $node ended by itself: $(tail -n 1 "$WORK/node-$node.log")"
  done
}
