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

# What must be refused: no token, a wrong one, a team's edit of another section.
cd "$WORK/user" || exit 1
expect () {
  text=$1
  shift
  "$@" >"$WORK/out" 2>&1 && fail "not refused: $*"
  grep -q "$text" "$WORK/out" || {
    cat "$WORK/out"
    fail "expected \"$text\": $*"
  }
}
expect "unauthenticated" magnoliadock document get
echo "operator-anna:guess" >wrong.token
expect "unauthenticated" magnoliadock status --token-file wrong.token
magnoliadock document get --token-file kitchen.token "service inspection" \
  >other.conf || fail "get"
sed -i "s/spill-after-ms = .*/spill-after-ms = 1/" other.conf
expect "forbidden" magnoliadock document apply --token-file kitchen.token other.conf
expect "forbidden" magnoliadock document get --token-file kitchen.token access
cp ordering.conf old.conf
sed -i "s/spill-after-ms = .*/spill-after-ms = 2/" old.conf
expect "expected 2; get it" magnoliadock document apply --token-file anna.token old.conf
say "examples run: $(wc -l <"$WORK/lines")"
cd "$root" || exit 1
finish
