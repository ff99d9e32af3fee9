#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. Needs
# the build of deploy/system.toml and review/build-2.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/review-2
[ -x "$program" ] && [ -x target/release/apricotledged ] || exit 2
"$program" spoiled-stream review/9 &
pid=$!
trap 'kill -KILL $(pgrep -P "$pid") "$pid" 2>/dev/null' INT TERM
wait "$pid"
