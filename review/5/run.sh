#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
[ -f target/plumlever.jar ] && [ -f target/review-2/Faults.class ] || exit 2
timeout -k 2 116 java -Dsun.net.httpserver.nodelay=true -cp target/review-2:target/plumlever.jar \
  Faults "$PWD" faulty-machine "$here/record.txt" &
child=$!
trap 'kill "$child" 2>/dev/null; wait "$child"; exit 2' TERM INT
wait "$child"
# Java itself ends with 1 after an error of its own, so the case uses other numbers.
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
