#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out. Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../stand-ins-2/run-case.sh" PlacesHeld "$here"
