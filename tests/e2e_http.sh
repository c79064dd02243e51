#!/bin/sh
# Sends malformed, oversized and unusual requests to an entry.  Guards against
# input that ends the process, is passed on, or gets no clear answer.
PORT=${PORT:-21950}
. tests/lib.sh

start_standin --deployment carta --entries 2 --workers 0 --service-ms 0 \
  --list-lag-ms 0
start_entries
ENTRY=$(entry_ids | head -n 1)
ADDRESS=$(entry_http "$ENTRY")
PEER=$(entry_peer "$ENTRY")

# expect STATUS KIND CURL-ARGUMENT...: KIND is the error kind in the body, -
# for an answer without one.
expect () {
  status=$1 kind=$2
  shift 2
  got=$(curl -s -m 10 -o "$WORK/body" -w '%{http_code}' "$@")
  [ "$got" = "$status" ] || fail "status $got instead of $status: $*"
  [ "$kind" = - ] || grep -q "\"error\":\"$kind\"" "$WORK/body" \
    || fail "no kind $kind in $(cat "$WORK/body"): $*"
}

long=$(head -c 13000 /dev/zero | tr '\0' a)
head -c 2000000 /dev/zero >"$WORK/large"
SERVICE=http://$ADDRESS/s/ordering
expect 200 - "$SERVICE/x"
expect 200 - "http://$ADDRESS/s/ordering"
expect 200 - --path-as-is "$SERVICE/a/../b//c%2e?q=%00"
expect 200 - -X OPTIONS "$SERVICE/x"
expect 200 - -X PATCH -d x "$SERVICE/x"
expect 200 - -X POST "$SERVICE/x"
expect 200 - -T "$WORK/large" "$SERVICE/x"
cmp -s "$WORK/body" "$WORK/large" || fail "2 MB body changed on the way"
expect 404 unknown_service "http://$ADDRESS/s/none/x"
expect 400 bad_request "http://$ADDRESS/s//x"
expect 400 bad_request "http://$ADDRESS/s/a%20b/x"
expect 400 bad_request -H 'X-Magnoliadock-Class: high' "$SERVICE/x"
expect 400 bad_request -H 'X-Magnoliadock-Idempotent: 1' "$SERVICE/x"
expect 400 bad_request -H 'X-Magnoliadock-Deadline-Ms: 60001' "$SERVICE/x"
expect 400 bad_request -H 'X-Magnoliadock-Deadline-Ms: -5' "$SERVICE/x"
expect 400 bad_request -H 'X-Magnoliadock-Team: a b' "$SERVICE/x"
expect 400 bad_request -H 'X-Magnoliadock-Request-Id: a"b' "$SERVICE/x"
expect 400 bad_request -X TRACE "$SERVICE/x"
expect 404 not_found "http://$ADDRESS/nothing"
expect 405 bad_request -d x "http://$ADDRESS/healthz"
expect 413 too_large -T "$WORK/large" -X POST "http://$ADDRESS/v1/jobs"
expect 200 - -H "X-Long: $long" "$SERVICE/x"
expect 431 too_large -H "X-Long: $long" -H "X-Longer: $long" "$SERVICE/x"
expect 504 timeout -H 'X-Magnoliadock-Deadline-Ms: 100' \
  -H 'X-Service-Ms: 2000' "$SERVICE/x"
grep -q '"outcome":"unknown"' "$WORK/body" || fail "timeout claims an outcome"

# The same request id again: refused while the first request is in flight;
# afterwards not run again, but answered with its outcome.
curl -s -m 10 -o /dev/null -X POST -H 'X-Magnoliadock-Request-Id: twice' \
  -H 'X-Service-Ms: 1000' "$SERVICE/x" &
FIRST=$!
sleep 0.3
expect 409 in_flight -X POST -H 'X-Magnoliadock-Request-Id: twice' "$SERVICE/x"
wait $FIRST
curl -s -m 10 -D "$WORK/headers" -o /dev/null -X POST \
  -H 'X-Magnoliadock-Request-Id: twice' "$SERVICE/x"
grep -qi '^X-Magnoliadock-Outcome: ran' "$WORK/headers" \
  || fail "the outcome of a repeated request is not remembered"

# Bytes that are neither HTTP nor the peer protocol, on both ports.
for address in "$ADDRESS" "$PEER"; do
  for text in 'nonsense\r\n\r\n' 'GET\r\n\r\n' '\000\000\000\000' \
    '\377\377\377\377\377' 'GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n' \
    '\000\000\000\002\012\177'; do
    # shellcheck disable=SC2059
    printf "$text" | timeout 5 curl -s -m 1 "telnet://$address" >/dev/null
  done
done
entry_is_ready "$ENTRY" || fail "the entry is gone after malformed input"
expect 200 - "$SERVICE/x"

# Callers that close the connection while a request is in flight, while they
# send or while they read; first with backend servers in the entry's zone, then
# with requests that are handed over to another zone.
abandon () { # SECONDS PATH FLAG...
  abandon_s=$1 abandon_path=$2
  shift 2
  curl -s -m "$abandon_s" -o /dev/null -H 'X-Magnoliadock-Deadline-Ms: 1000' \
    "$@" "$SERVICE/$abandon_path" &
}
abandon_round () {
  for after in 0.02 0.05 0.1 0.2 0.3; do
    abandon $after wait -H 'X-Service-Ms: 150'
    abandon $after wait -X POST -d x -H 'X-Service-Ms: 150'
    abandon $after up -T "$WORK/large" --limit-rate 2M
    abandon $after up -X POST -T - -H 'Expect:' --limit-rate 2M <"$WORK/large"
    abandon $after down -H 'X-Answer-Bytes: 30000000' --limit-rate 10M
  done
  sleep 1
}
abandon_round
abandon_round
inject "instance?zone=$(entry_zone "$ENTRY")&kind=backend&state=leaving"
sleep 3
expect 200 - "$SERVICE/x"
abandon_round
abandon_round
expect 200 - "$SERVICE/x"
# Both entries stop within 5 s only if nothing is left of those requests; the
# slot of an abandoned request stays taken until 2 s after its deadline.
for id in $(entry_ids); do signal_entry "$id" TERM; done
for id in $(entry_ids); do
  wait_for 5 "planned stop of $id" is_gone "$(entry_pid "$id")"
  wait "$(entry_pid "$id")" || fail "planned stop of $id ended with $?"
  rm -f "$WORK/$id.pid"
  grep -q 'event=drain_done complete=true' "$WORK/$id.log" \
    || fail "requests of callers that left keep $id from stopping"
done

"$BUILD/magnoliadock" entry --instance-id e --zone z --http nonsense \
  --peer 127.0.0.1:1 --list-url http://127.0.0.1:1 2>"$WORK/usage"
[ $? -eq 2 ] || fail "a bad flag does not end with 2"
grep -q -- '--http: invalid value "nonsense", expected IP:PORT' \
  "$WORK/usage" || fail "unclear message: $(cat "$WORK/usage")"
finish
