# Shared by scripts/demo, scripts/measure-* and tests/e2e_*.sh; sourced in the
# project's root after setting PORT.  Starts the stand-in (it simulates
# the platform, the workers and the backend servers) and entries, and ends by
# process id what it started.  The stand-in takes PORT and PORT+1, each entry
# PORT+2 and PORT+3 on an address of its own.

BUILD=${BUILD:-build/release}
PORT=${PORT:-23000}
CONTROL=http://127.0.0.1:$PORT/control
WORK=$(mktemp -d "${TMPDIR:-/tmp}/magnoliadock.XXXXXX")
STANDIN_PID=

say () { printf '%s\n' "$*"; }

fail () {
  say "FAILED: $*"
  exit 1
}

# wait_for SECONDS WHAT COMMAND... polls COMMAND until it succeeds; after
# SECONDS the script fails with WHAT.
wait_for () {
  wait_end=$(($(date +%s) + $1))
  wait_what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    [ "$(date +%s)" -lt "$wait_end" ] || fail "not in time: $wait_what"
    sleep 0.1
  done
}

# Requests to the stand-in's control interface.
get () { curl -sf -m 5 "$CONTROL/$1"; }
inject () { curl -sf -m 5 -X POST "$CONTROL/$1" >/dev/null || fail "inject $1"; }

# number NAME prints the first integer called NAME in the JSON on its input.
number () { grep -o "\"$1\":-\{0,1\}[0-9]*" | head -n 1 | cut -d: -f2; }

# Number of violations that the stand-in has counted.
violations () { get violations | number violations; }

own_standin_answers () { [ "$(get violations | number pid)" = "$STANDIN_PID" ]; }

# start_standin [FLAG...]
start_standin () {
  STANDIN_ARGS="--port $PORT $*"
  # shellcheck disable=SC2086
  "$BUILD/standin" $STANDIN_ARGS 2>"$WORK/standin.log" &
  STANDIN_PID=$!
  # shellcheck disable=SC2086
  "$BUILD/standin" $STANDIN_ARGS --print-entries >"$WORK/entries"
  # A stand-in of another script may hold the port; it must not be controlled
  # from here.
  wait_for 10 "own stand-in answers on port $PORT" own_standin_answers
}

# entry_zone, entry_http and entry_peer ID print a field of that entry: its zone,
# HTTP address, address for peers.
entry_zone () { awk -v id="$1" '$1 == id { print $2 }' "$WORK/entries"; }
entry_http () { awk -v id="$1" '$1 == id { print $3 }' "$WORK/entries"; }
entry_peer () { awk -v id="$1" '$1 == id { print $4 }' "$WORK/entries"; }
entry_ids () { awk '{ print $1 }' "$WORK/entries"; }
entry_pid () { cat "$WORK/$1.pid"; }

# start_entry ID [FLAG...]
start_entry () {
  entry=$1
  shift
  zone_url=http://127.0.0.1:$PORT/zone/$(entry_zone "$entry")
  "$BUILD/magnoliadock" entry --instance-id "$entry" \
    --zone "$(entry_zone "$entry")" --http "$(entry_http "$entry")" \
    --peer "$(entry_peer "$entry")" --list-url "$zone_url/list" \
    --table-url "$zone_url/table" --objects-url "$zone_url/objects" \
    --drain-notice-ms 200 "$@" 2>>"$WORK/$entry.log" &
  echo $! >"$WORK/$entry.pid"
}

entry_is_ready () { curl -sf -m 2 "http://$(entry_http "$1")/readyz"; }
# wait_entry ID [SECONDS]
wait_entry () { wait_for "${2:-15}" "entry $1 is ready" entry_is_ready "$1"; }

start_entries () {
  for id in $(entry_ids); do start_entry "$id" "$@"; done
  for id in $(entry_ids); do wait_entry "$id"; done
}

# signal_entry ID SIGNAL
signal_entry () { kill "-$2" "$(entry_pid "$1")"; }

# Kills entry ID, waits until its process has ended, and removes its pid file.
kill_entry () {
  signal_entry "$1" KILL
  wait "$(entry_pid "$1")" 2>/dev/null
  rm -f "$WORK/$1.pid"
}

is_gone () { ! kill -0 "$1" 2>/dev/null; }

# Ends the entries that still run, also paused ones: by a planned stop (TERM),
# after 10 s by KILL.
stop_entries () {
  for file in "$WORK"/*.pid; do
    [ -e "$file" ] || continue
    kill -CONT "$(cat "$file")" 2>/dev/null
    kill -TERM "$(cat "$file")" 2>/dev/null
  done
  stop_end=$(($(date +%s) + 10))
  for file in "$WORK"/*.pid; do
    [ -e "$file" ] || continue
    pid=$(cat "$file")
    while ! is_gone "$pid" && [ "$(date +%s)" -lt "$stop_end" ]; do
      sleep 0.1
    done
    is_gone "$pid" || {
      say "entry $(basename "$file" .pid) did not end by itself"
      kill -KILL "$pid"
    }
    wait "$pid" 2>/dev/null
    rm -f "$file"
  done
}

stop_standin () {
  [ -n "$STANDIN_PID" ] || return 0
  kill -TERM "$STANDIN_PID" 2>/dev/null
  wait "$STANDIN_PID" 2>/dev/null
  STANDIN_PID=
}

# Runs when the script ends in any way; keeps the logs of a failure, or if KEEP
# is set.
clean_up () {
  clean_status=$?
  trap - EXIT INT TERM
  stop_entries
  stop_standin
  if [ "$clean_status" -eq 0 ] && [ -z "${KEEP:-}" ]; then
    rm -rf "$WORK"
  else
    say "logs: $WORK"
  fi
  exit "$clean_status"
}
trap clean_up EXIT
trap 'exit 1' INT TERM

# Ends the script: exit code 0, or 1 with the details if there are violations.
finish () {
  count=$(violations)
  say "violations: $count"
  [ "$count" = 0 ] || {
    details=$(get violations)
    echo "$details"
    # Names the kinds, so that KNOWN-RED.txt can list one of them.
    kinds=$(echo "$details" | sed -n 's/.*"kinds":{\([^}]*\)}.*/\1/p' \
      | sed 's/:[0-9]*//g; s/"//g')
    printf '\nFAILED: violations of %s\n' "$kinds"
    exit 1
  }
  exit 0
}
