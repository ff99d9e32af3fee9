#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
REVIEW_ROOT="$(cd "$here/../.." && pwd)"
export REVIEW_ROOT
cd "$REVIEW_ROOT" || exit 2
temporary="$(mktemp -d)" || exit 2
trap 'rm -rf "$temporary"' EXIT
[ -x target/release/apricotledged ] && [ -x target/review/release/turned_away ] || {
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
}
timeout 110 target/review/release/turned_away "$here" "$temporary"
code=$?
case $code in 0 | 1) exit $code ;; esac
# The scenario was ended from outside: end its daemons.
[ -f "$temporary/pids" ] && xargs kill -9 < "$temporary/pids" 2> /dev/null
exit 2
