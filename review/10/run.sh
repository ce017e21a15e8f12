#!/usr/bin/env bash
# Plays the case on daemons of target/; TROUBLE=0 leaves out the disruption. Exits with 1 if the rule was broken.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/apps/chicorywickd ] && [ -x target/review/review-cases-2 ] || exit 2
timeout --kill-after=3 115 target/review/review-cases-2 spread-jobs "$here/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
