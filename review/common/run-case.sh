#!/usr/bin/env bash
# Runs the program of a case in the repository's root, for 110 seconds at most. The program writes
# record.txt into the folder of the case and ends the processes that it started.
set -uo pipefail
case_folder=$1
root=$(cd "$(dirname "$0")/../.." && pwd)
program=$root/review/build/case-$(basename "$case_folder")
[ -x "$program" ] && [ -x "$root/target/bin/tray-gateway" ] || {
    echo "not built: run the build of the deploy file and review/build.sh" >&2
    exit 2
}
CASE_FOLDER=$(mktemp -d)
export CASE_FOLDER
cd "$root" || exit 2
RECORD_FILE=$case_folder/record.txt timeout --signal=TERM --kill-after=5 110 "$program"
status=$?
rm -rf "$CASE_FOLDER"
[ "$status" -le 1 ] && exit "$status"
exit 2
