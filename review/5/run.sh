#!/usr/bin/env bash
# Plays the case and writes record.txt; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/apps/chicorywickd ] && [ -x target/review/standin ] || exit 2
exec target/review/standin restart review/5/record.txt
