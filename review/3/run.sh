#!/bin/sh
# Runs the case against the release build; see claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
standin=$root/target/review/release/review-standin
front=$root/target/release/pomelo-front
[ -x "$standin" ] && [ -x "$front" ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
folder=$(mktemp -d) || exit 2
pid=
finish() {
    [ -n "$pid" ] && kill "$pid" 2>/dev/null
    [ -f "$folder/pids" ] && while read -r child; do kill -9 "$child" 2>/dev/null; done < "$folder/pids"
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
"$standin" reader "$front" "$folder" "$here/record.txt" &
pid=$!
wait "$pid"
code=$?
pid=
exit $code
