#!/bin/sh
# A gang of two fails as a whole while one of its minions is cut off, and the
# node that owns the cell is killed before that minion is back.  The gang has
# failed once; the next owner must not count that run a second time.
# Writes record.txt beside this file.  TROUBLE=0 leaves out the disruption.
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib-3.sh"

JOB=00000000000000c1
STANDIN_EVENTS=$WORK/events
export STANDIN_EVENTS

# Runs of the gang that have ended as failed.
failed_runs () {
  grep " failed $JOB" "$STANDIN_EVENTS" 2>/dev/null \
    | sed 's/.*\(run=[0-9]*\).*/\1/' | sort -u | wc -l
}

wait_for () { # PATTERN
  for _ in $(seq 1 100); do
    grep -q "$1" "$STANDIN_EVENTS" 2>/dev/null && return
    sleep 0.05
  done
  cannot_run "the stand-in has not seen: $1"
}

start_standin build/standin-3 --workers 12 --seed 1
for i in 1 2 3; do
  start_node "edge-z-$i" "$NET.0.$i" 0.25
done
for i in 1 2 3; do wait_ready "$NET.0.$i"; done

# The queue has max_attempts 3.  Runs 1 and 2 fail by the job's own fault, run 3
# would end as done.  Each member fills one of the two minions of rack r1-0.
status=$(submit "$NET.0.1" $JOB '{"spec":"16000 1500 gang=2 fail=2","steps":[{"count":2,"cpu":16000,"mem_mb":100,"estimated_ms":1500,"gang_scheduled":true,"requirements":"r1-0"}]}')
record "submit job=$JOB max_attempts=3 status=$status"
[ "$status" = 200 ] || cannot_run "the job was not accepted: $status"
wait_for "start $JOB.0.0.0 run=1"
wait_for "start $JOB.0.0.1 run=1"

if [ "$TROUBLE" != 0 ]; then
  sleep 0.5
  control "mute?worker=1&for_ms=4500"
  record "minion i-1 is cut off for 4.5 s and runs on"
  wait_for "failed $JOB.*run=1 worker=i-0"
  sleep 0.5
  owner=
  for i in 1 2 3; do owns "edge-z-$i" && owner=$i; done
  [ "$owner" ] || cannot_run "no owner"
  kill -KILL "$(pid_of "edge-z-$owner")"
  record "the owner edge-z-$owner is killed, and started again"
  sleep 0.5
  start_node "edge-z-$owner" "$NET.0.$owner" 0.25
fi

shown=
for _ in $(seq 1 300); do
  for i in 1 2 3; do
    answer=$(state "$NET.0.$i" $JOB)
    case $answer in
      *failed* | *completed*) shown=$answer; break 2 ;;
    esac
  done
  sleep 0.1
done
sed "s/^/minions: /" "$STANDIN_EVENTS" >>"$RECORD"
record "state: $shown; runs of the gang that failed: $(failed_runs)"
case $shown in
  *completed*) finish 0 "held: the job is completed in its third run" ;;
  *failed*)
    [ "$(failed_runs)" -lt 3 ] && finish 1 "LOST: the job is shown as failed after $(failed_runs) failures of its gang of the 3 that max_attempts allows"
    cannot_run "the gang failed three times" ;;
esac
finish 1 "LOST: the job has not ended in 30 s"
