#!/usr/bin/env bash
# Plays one of the sites here: play.sh KIT FOLDER-WITH-WIRE SITE COMMAND..., as
#   deploy/sites/play.sh ../given/kit/more/mass/bin/lbreal ../given/kit/sites deploy/sites/feria-andina.toml score --quick --why "..."
# The bench wants files of its own beside a site; they are laid beside a copy outside the repository and go with it.
set -eu
bench=$1 words=$2 site=$3
shift 3
at=$(mktemp -d)
trap 'rm -rf "$at"' EXIT
cp "$site" "$words/wire.json" "$words/real.json" "$words/unlock.txt" "$at/"
place="$at/$(basename "$site")"
case $1 in
    score|incident|fit) verb=$1; shift; "$bench" "$verb" "$place" "$@" ;;
    *) "$bench" "$place" "$@" ;;
esac
