#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -f target/plumlever.jar ] && [ -d target/review-2 ] || exit 2
timeout -k 2 116 java -Dsun.net.httpserver.nodelay=true -cp target/review-2:target/plumlever.jar \
  Faults "$PWD" faulty-machine "$here/record.txt" &
case=$!
trap 'kill "$case" 2>/dev/null; wait "$case"; exit 2' TERM INT
wait "$case"
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
