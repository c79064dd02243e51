#!/bin/sh
# Guards against real nodes that lose, double or misreport work while they are
# killed, paused and restarted and the platform's services fail; seeds that ever
# failed are listed here with their cause.
set -eu
cd "$(dirname "$0")/.."
PORT=${PORT:-25000}
export PORT
tests/soak_node.sh 1 10 3
