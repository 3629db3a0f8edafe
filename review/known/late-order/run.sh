#!/usr/bin/env bash
# Runs the case and writes record.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
case=$(cd "$(dirname "$0")" && pwd)
cd "$case/../../.." || exit 2
RECORD="$case/record.txt" timeout -k 2 115 review/rig-2/bin/known-late-order
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
