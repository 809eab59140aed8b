#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it was kept, 2 if the case could not run. TROUBLE=0 plays it without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd) || exit 2
[ -f "$root/review/out/UnansweredCase.class" ] && [ -f "$root/balancer/target/gorsestack.jar" ] || exit 2
exec java -Xmx512m -cp "$root/review/out" UnansweredCase "$root" "$folder"
