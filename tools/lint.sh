#!/usr/bin/env bash
# Runs clang-tidy over the sources that the build directory compiles, or over the files given after it.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
if [ "$#" -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'fakes/*.cpp' 'tests/*.cpp' 'bench/*.cpp' |
        grep -v '^src/generated/')
fi
# g++ has coroutines on in C++20; clang 14 needs to be told.
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy -p "$build" --quiet \
    --extra-arg=-fcoroutines-ts --extra-arg=-D__cpp_impl_coroutine=201902L \
    --extra-arg=-Wno-unknown-warning-option --extra-arg=-Wno-everything 2>/dev/null
