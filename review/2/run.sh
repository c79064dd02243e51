#!/bin/sh
# The operator moves a route to another service while its jobs run.  TROUBLE=0
# writes the new version of the config without the move.
CASE_DIR=$(cd "$(dirname "$0")" && pwd)
# What was sent, answered and run; copied here when the script ends.
RECORD_COPY=$CASE_DIR/record.txt
. "$CASE_DIR/../lib.sh"

start_all "orders:/orders/:dispatch other:/other/:vision" \
  dispatch:6:64000:131072 vision:6:64000:131072

body='{"spec":"15000","steps":[{"count":4,"cpu":1000,"mem_mb":64,"estimated_ms":15000}]}'
for number in 1 2 3; do
  submit "/orders/$(printf 'cc%014x' "$number")" "$body" \
    || cannot_run "job $number was not accepted"
done
sleep 3

if [ "$TROUBLE" = 0 ]; then
  write_config 7 orders:/orders/:dispatch other:/other/:vision
else
  write_config 7 orders:/orders/:vision other:/other/:vision
fi
# config_apply_ms and visible_ms have passed.
sleep 4
# A consumer asks for its job; a request with the id of job 2 arrives again, some
# seconds after its 2xx answer.
shown=$(state 1 "/orders/cc00000000000001")
submit "/orders/cc00000000000002" "$body"
cancelled=$(client DELETE 2 "/orders/cc00000000000003")
sleep 8
runs_left=$(job_number cc00000000000003 runs)
note "job 1 was shown as $shown; cancel of job 3: $cancelled, $runs_left runs 8 s later"
check_nodes
check_workers
[ "$shown" != 410 ] || broken "LOST: a GET for accepted job 1 was answered 410"
held "job 1 is shown as $shown"
