#!/usr/bin/env bash
# run-case.sh CLASS FOLDER: runs the case of a class in the foreground; its record goes to record.txt in the folder.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
folder="$(cd "$2" && pwd)"
if [ ! -f "$here/target/$1.class" ]; then
    echo "could not run: run review/build-2.sh first"
    exit 2
fi
exec java -Xmx1g -Xss256k -Drig.root="$here/../.." -Drig.record="$folder/record.txt" -cp "$here/target" "$1"
