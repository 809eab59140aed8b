#!/bin/sh
# Builds the stand-ins of all cases. The balancer itself is built by the command build of deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir -p out
javac -d out rig/*.java [1-3]/*.java
