#!/bin/sh
# Guards against examples of docs/manual.md that do not work: runs every line
# that begins with "$ ", in order, in an empty folder.
set -u
cd "$(dirname "$0")/.."
PORT=${PORT:-24200}
. tests/lib.sh
root=$PWD
start_standin --deployment carta --entries 1 --list-lag-ms 500
start_entries
sed -n 's/^\$ //p' docs/manual.md >"$WORK/lines"
[ "$(wc -l <"$WORK/lines")" -ge 30 ] || fail "too few examples"
MAGNOLIADOCK_URL=http://$(entry_http "$(entry_ids)")
PATH=$root/$BUILD:$PATH
export MAGNOLIADOCK_URL PATH
mkdir "$WORK/user"
ln -s "$root/deploy" "$WORK/user/deploy"
while IFS= read -r line; do
  (cd "$WORK/user" && timeout 20 sh -c "$line") >"$WORK/out" 2>&1 </dev/null || {
    cat "$WORK/out"
    fail "$line"
  }
done <"$WORK/lines"

# What must be refused: no token, a wrong one, a team's use of what belongs to
# others, an edit of an old version.
cd "$WORK/user" || exit 1
expect () { # EXIT-CODE TEXT COMMAND...
  code=$1
  text=$2
  shift 2
  "$@" >"$WORK/out" 2>&1
  result=$?
  [ "$result" = "$code" ] || fail "exit code $result, expected $code: $*"
  grep -q "$text" "$WORK/out" || {
    cat "$WORK/out"
    fail "expected \"$text\": $*"
  }
}
expect 1 "unauthenticated" magnoliadock document get
echo "operator-anna:guess" >wrong.token
expect 1 "unauthenticated" magnoliadock status --token-file wrong.token
magnoliadock document get --token-file kitchen.token "service inspection" \
  >other.conf || fail "get"
sed -i "s/spill-after-ms = .*/spill-after-ms = 1/" other.conf
expect 1 "forbidden" magnoliadock document apply --token-file kitchen.token other.conf
expect 1 "forbidden" magnoliadock document get --token-file kitchen.token access
cp ordering.conf old.conf
sed -i "s/spill-after-ms = .*/spill-after-ms = 2/" old.conf
expect 1 "expected 2; read it again" magnoliadock document apply --token-file anna.token old.conf
sed "s/bulk/standard/; s/kitchen/quality/" job.json >quality.json
expect 1 "forbidden" magnoliadock submit --token-file kitchen.token quality.json
magnoliadock submit --token-file anna.token quality.json >quality.id ||
  fail "submit for another team"
expect 1 "forbidden" magnoliadock cancel --token-file kitchen.token \
  "$(cat quality.id)"

# Wrong usage and wrong input; each error is one line.
expect 2 "unknown command" magnoliadock nonsense
expect 2 "expected FILE" magnoliadock document check
expect 2 "expected one of get, check" magnoliadock document drop
expect 2 "format" magnoliadock status --format xml
expect 1 "no.conf: No such file" magnoliadock document check no.conf
printf '[service x]\nrequest-limit = 0\n' >bad.conf
expect 1 "bad.conf: line 2, column 17: .service x. request-limit: \"0\", expected a whole number" \
  magnoliadock document check bad.conf
expect 1 "expected an entry to answer" magnoliadock status --url http://127.0.0.1:1
[ "$(wc -l <"$WORK/out")" = 1 ] || fail "more than one line"
say "examples run: $(wc -l <"$WORK/lines")"
cd "$root" || exit 1
finish
