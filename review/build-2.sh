#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8, after the build of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/.."
[ -f target/plumlever.jar ] || { echo "run the build of deploy/service.toml first" >&2; exit 2; }
rm -rf target/review-2
mkdir -p target/review-2
javac -cp target/plumlever.jar -d target/review-2 review/stand-in-2/*.java
