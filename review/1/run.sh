#!/bin/sh
# A job of 1,800 small tasks is handed in beside small jobs.  TROUBLE=0 hands in
# the same tasks as six jobs of 300.
CASE_DIR=$(cd "$(dirname "$0")" && pwd)
# What was sent, answered and run; copied here when the script ends.
RECORD_COPY=$CASE_DIR/record.txt
. "$CASE_DIR/../lib.sh"
WIDE_TASKS=1800
PARTS=6

start_all "orders:/orders/:dispatch" dispatch:12:64000:131072

wide_job () { # ID COUNT
  submit "/orders/$1" "{\"spec\":\"8000\",\"steps\":[{\"count\":$2,\"cpu\":200,\"mem_mb\":64,\"estimated_ms\":8000}]}" \
    || cannot_run "job $1 was not accepted"
}

jobs=
if [ "$TROUBLE" = 0 ]; then
  for part in $(seq 1 $PARTS); do
    id=$(printf 'aa%014x' "$part")
    wide_job "$id" $((WIDE_TASKS / PARTS))
    jobs="$jobs $id"
  done
else
  wide_job aa00000000000000 $WIDE_TASKS
  jobs=aa00000000000000
fi

# Small jobs for 10 s, one task of 0.3 s each.
for number in $(seq 1 20); do
  id=$(printf 'bb%014x' "$number")
  submit "/orders/$id" '{"spec":"300","steps":[{"count":1,"cpu":500,"mem_mb":64,"estimated_ms":300}]}' \
    && jobs="$jobs $id"
  sleep 0.4
done
note "end of the traffic"

# finish_s later every accepted job is asked for.  The capacity for a waiting
# task is there twice over, and under half of the service's is in use: the
# workers have 768 cores, all tasks together need 190.
sleep 14
check_nodes
check_workers
waiting=
for id in $jobs; do
  shown=$(state 1 "/orders/$id")
  case $shown in
    completed) ;;
    *) waiting="$waiting $id:$shown" ;;
  esac
done
[ -n "$waiting" ] || held "all accepted jobs are completed"
# LOST: for 3 s such a job has nothing running.
for sample in $(seq 1 15); do
  idle=
  for entry in $waiting; do
    [ "$(job_number "${entry%%:*}" runs)" = 0 ] && idle="$idle $entry"
  done
  waiting=$idle
  sleep 0.2
done
[ -n "$waiting" ] || held "jobs are late, but run"
# shellcheck disable=SC2086
set -- $waiting
check_nodes
broken "LOST: $# accepted jobs have nothing running for 3 s, $(control GET used), first: $1"
