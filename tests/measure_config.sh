#!/bin/sh
# Measures the calls to the store of three idle nodes, by the state of node 2's
# way to the store.
#   tests/measure_config.sh [SECONDS]
#   BUILD=DIR      the build whose nodes are measured
#   STANDIN=FILE   the stand-in, that of BUILD unless set
set -u
cd "$(dirname "$0")/.."
MEASURED_S=${1:-10}
PORT=${PORT:-27500}
NODES=3
BUILD=${BUILD:-build/release}

fail () {
  echo "FAILED: $*"
  exit 1
}

. tests/node_lib.sh

calls () {
  curl -s -m 3 "$CONTROL/check" | sed 's/.*"calls":\([0-9]*\).*/\1/'
}

start_all --workers 4
sleep 3
for mode in none busy silent reset; do
  [ $mode = none ] \
    || control "door?node=2&mode=$mode&for_ms=$((MEASURED_S * 1000 + 1000))"
  sleep 1
  before=$(calls)
  sleep "$MEASURED_S"
  after=$(calls)
  echo "$mode: $((after - before)) calls in $MEASURED_S s"
  sleep 3
done
failed=0
