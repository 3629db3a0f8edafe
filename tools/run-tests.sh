#!/usr/bin/env bash
# Runs the tests of a build: tools/run-tests.sh BUILD KIND [LIST]. LIST, by default KNOWN-RED.txt, names the test cases with
# known failures in this kind of build ("CI: KIND PROGRAM CASE"). These run separately and their results are printed; all
# other cases must pass.
set -euo pipefail
build=${1:?build directory}
kind=${2:?kind of build}
list=${3:-$(dirname "$0")/../KNOWN-RED.txt}

# Prints the known red cases of a program or, without an argument, the programs that have such cases.
known_red() {
    local program=${1:-}
    if [ -n "$program" ]; then
        sed -n "s/^ *CI: $kind $program //p" "$list"
    else
        sed -n "s/^ *CI: $kind \([^ ]*\) .*/\1/p" "$list" | sort -u
    fi
}

# Prints the arguments after the first one, with the first one as separator.
join() {
    local IFS=$1
    shift
    printf '%s' "$*"
}

excluded=()
mapfile -t programs < <(known_red)
for program in "${programs[@]}"; do
    mapfile -t cases < <(known_red "$program")
    # The test programs take a comma-separated list of filters.
    filters=("${cases[@]//,/\\,}")
    printf "KNOWN-RED: case \"%s\" of $program is passed over in the $kind build\n" "${cases[@]}"
    "$build/bin/test-$program" --test-case-exclude="$(join , "${filters[@]}")"
    for filter in "${filters[@]}"; do
        "$build/bin/test-$program" --test-case="$filter" || echo "KNOWN-RED: \"$filter\" failed in this run"
    done
done
# ctest uses only the last -E, so all programs are combined in one expression.
[ "${#programs[@]}" = 0 ] || excluded=(-E "^($(join '|' "${programs[@]}"))\$")
ctest --test-dir "$build" --output-on-failure -j 4 "${excluded[@]}"
