#!/bin/sh
# A gang whose tasks last and for which there is not enough room waits beside
# small jobs.  TROUBLE=0 leaves it out.
CASE_DIR=$(cd "$(dirname "$0")" && pwd)
# What was sent, answered and run; copied here when the script ends.
RECORD_COPY=$CASE_DIR/record.txt
. "$CASE_DIR/../lib.sh"

start_all "tally:/tally/:dispatch scan:/scan/:dispatch" dispatch:8:16000:65536

# One core of one worker is taken by a task that lasts.
submit /tally/ab00000000000001 '{"spec":"0","steps":[{"count":1,"cpu":1000,"mem_mb":64,"estimated_ms":1000,"daemon":true}]}' \
  || cannot_run "the first job was not accepted"
sleep 1
# Eight tasks of 16 cores that work only together: seven workers are empty.
[ "$TROUBLE" = 0 ] \
  || submit /tally/ab00000000000002 '{"spec":"0","steps":[{"count":8,"cpu":16000,"mem_mb":64,"estimated_ms":1000,"daemon":true,"gang_scheduled":true}]}' \
  || cannot_run "the gang was not accepted"

jobs=
for number in $(seq 1 20); do
  id=$(printf 'bc%014x' "$number")
  submit "/scan/$id" '{"spec":"500","steps":[{"count":2,"cpu":1000,"mem_mb":64,"estimated_ms":500}]}' \
    && jobs="$jobs $id"
  sleep 0.4
done
note "end of the traffic"

# finish_s later every accepted job is asked for.
sleep 14
check_nodes
check_workers
waiting=
for id in $jobs; do
  shown=$(state 1 "/scan/$id")
  [ "$shown" = completed ] || waiting="$waiting $id:$shown"
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
broken "LOST: $# accepted jobs have nothing running for 3 s, $(control GET used), first: $1"
