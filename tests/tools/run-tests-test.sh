#!/usr/bin/env bash
# Tests tools/run-tests.sh with fake programs that only print their name and arguments.
set -euo pipefail
script=$(cd "$(dirname "$0")/../../tools" && pwd)/run-tests.sh
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
mkdir -p "$work/build/bin" "$work/path"

# Creates a program that prints its name and arguments, and fails if it is called for a single red case.
make_program() {
    printf '#!/bin/sh\necho "%s $*"\ncase "$*" in --test-case=*) exit 1 ;; esac\n' "$(basename "$1")" >"$1"
    chmod +x "$1"
}
make_program "$work/build/bin/test-alpha"
make_program "$work/build/bin/test-beta"
make_program "$work/path/ctest"

expect() {
    local about=$1 kind=$2 wanted=$3 got
    got=$(PATH="$work/path:$PATH" "$script" "$work/build" "$kind" "$work/list" | grep -v '^KNOWN-RED')
    if [ "$got" != "$wanted" ]; then
        printf 'FAILED: %s\nwanted:\n%s\ngot:\n%s\n' "$about" "$wanted" "$got"
        exit 1
    fi
    printf 'passed: %s\n' "$about"
}

cat >"$work/list" <<'LIST'
1. Test: alpha, two cases.
   CI: thread alpha A slow, paused caller
   CI: thread alpha A second one
2. Test: beta.
   CI: thread beta A third one
   CI: address beta A fourth one
LIST
expect "no red case of two programs is left to ctest" thread "test-alpha --test-case-exclude=A slow\\, paused caller,A second one
test-alpha --test-case=A slow\\, paused caller
test-alpha --test-case=A second one
test-beta --test-case-exclude=A third one
test-beta --test-case=A third one
ctest --test-dir $work/build --output-on-failure -j 4 -E ^(alpha|beta)\$"
expect "cases of other kinds of build are not passed over" address "test-beta --test-case-exclude=A fourth one
test-beta --test-case=A fourth one
ctest --test-dir $work/build --output-on-failure -j 4 -E ^(beta)\$"
expect "all tests run if the list names none" plain "ctest --test-dir $work/build --output-on-failure -j 4"
