#!/usr/bin/env bash
# Runs the soak with COUNT random seeds, AT_A_TIME of them in parallel, and prints the seeds that failed.
# Usage: tools/soak.sh BUILD [COUNT] [AT_A_TIME]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:?build directory}
count=${2:-50}
at_a_time=${3:-4}
logs=$(mktemp -d)
play() {
    if TRAY_SOAK_SEEDS=$3 "$1/bin/test-soak" >"$2/$3.log" 2>&1; then
        rm "$2/$3.log"
    else
        echo "failed: seed $3, log $2/$3.log"
    fi
}
export -f play
for _ in $(seq "$count"); do od -An -N4 -tu4 /dev/urandom | tr -d ' '; done |
    xargs -P "$at_a_time" -I{} bash -c 'play "$@"' _ "$build" "$logs" {}
echo "$count seeds played"
