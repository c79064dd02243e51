#!/bin/sh
# Guards against tasks that an owner starts on a worker later than 2 s after the
# store has acknowledged that it drains, because the owner hears nothing of the
# list of workers while its other calls to the store are answered.
set -u
cd "$(dirname "$0")/.."
PORT=${PORT:-27200}
NODES=3
BUILD=${BUILD:-build/release}

fail () {
  echo "FAILED: $*"
  exit 1
}

. tests/node_lib.sh

submit () { # NUMBER; prints the status
  curl -s -m 3 -o /dev/null -w '%{http_code}' -H 'Host: host' -X POST \
    -H 'Content-Type: application/json' \
    -d '{"spec":"1000 100","steps":[{"count":24,"cpu":1000,"mem_mb":10,"estimated_ms":100}]}' \
    "$(front_url 1)/queue/$(printf '%016x' "$1")"
}

wait_until_done () { # NUMBER
  for _ in $(seq 1 200); do
    is_done "$1" && return
    sleep 0.1
  done
  fail "job $1 is not completed"
}

is_done () { # NUMBER
  curl -s -m 3 -H 'Host: host' \
    "$(front_url 1)/queue/$(printf '%016x' "$1")" | grep -q completed
}

start_all --workers 2
for number in $(seq 1 5); do
  [ "$(submit "$number")" = 200 ] || fail "job $number is not accepted"
done
wait_until_done 5
control "quiet?table=servers&for_ms=6000"
control "drain?worker=0"
sleep 2.1
for number in $(seq 6 20); do
  [ "$(submit "$number")" = 200 ] || fail "job $number is not accepted"
  sleep 0.1
done
for number in $(seq 1 20); do
  wait_until_done "$number"
done
check_processes
check=$(curl -s -m 5 "$CONTROL/check")
case $check in
  *'"violations":0'*) ;;
  *) fail "starts on a worker that drains: $(grep -c violation "$WORK/standin.log")" ;;
esac
check_logs
failed=0
echo "passed: $check"
