#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, with the JDK alone. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
rm -rf stand-ins-2/target
mkdir -p stand-ins-2/target
shopt -s nullglob
javac -d stand-ins-2/target stand-ins-2/*.java
