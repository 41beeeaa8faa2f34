#!/bin/sh
# Builds the stand-ins and the cases. The build of the deploy file must have run before.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/out
mkdir -p review/out
javac -cp target/plumlever.jar -d review/out review/kit/*.java
