#!/usr/bin/env bash
# Runs the tests of a build: tools/run-tests.sh BUILD KIND [LIST]. Cases that the list, KNOWN-RED.txt by default, names as known
# red for this kind of build ("CI: KIND PROGRAM CASE") are run by themselves and their results printed; all other cases must pass.
set -euo pipefail
build=${1:?build directory}
kind=${2:?kind of build}
list=${3:-$(dirname "$0")/../KNOWN-RED.txt}

# Prints the known red cases of a program, or the programs that have any if none is given.
known_red() {
    local program=${1:-}
    if [ -n "$program" ]; then
        sed -n "s/^ *CI: $kind $program //p" "$list"
    else
        sed -n "s/^ *CI: $kind \([^ ]*\) .*/\1/p" "$list" | sort -u
    fi
}

# Prints the arguments, joined by the first one.
join() {
    local IFS=$1
    shift
    printf '%s' "$*"
}

excluded=()
mapfile -t programs < <(known_red)
for program in "${programs[@]}"; do
    mapfile -t cases < <(known_red "$program")
    # The test programs take a list of filters, in which a comma separates.
    filters=("${cases[@]//,/\\,}")
    printf "KNOWN-RED: case \"%s\" of $program is passed over in the $kind build\n" "${cases[@]}"
    "$build/bin/test-$program" --test-case-exclude="$(join , "${filters[@]}")"
    for filter in "${filters[@]}"; do
        "$build/bin/test-$program" --test-case="$filter" || echo "KNOWN-RED: \"$filter\" failed in this run"
    done
done
# ctest heeds the last -E alone, so that all programs go into one expression.
[ "${#programs[@]}" = 0 ] || excluded=(-E "^($(join '|' "${programs[@]}"))\$")
ctest --test-dir "$build" --output-on-failure -j 4 "${excluded[@]}"
