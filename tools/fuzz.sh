#!/usr/bin/env bash
# Runs the property tests with another seed and more cases: tools/fuzz.sh [BUILD [SEED [RUNS]]].
# Without SEED a random seed is used. The seed is printed; the same seed and count reproduce the run.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
seed=${2:-}
runs=${3:-1000}
[ -n "$seed" ] || seed=$(od -An -N4 -tu4 /dev/urandom | tr -d ' ')
echo "FUZZ_SEED=$seed FUZZ_RUNS=$runs"
status=0
for test in "$build"/bin/test-*; do
    # Tests with real processes contain no property tests.
    [ "$(basename "$test")" != test-process ] || continue
    FUZZ_SEED=$seed FUZZ_RUNS=$runs timeout 600 "$test" --no-version || status=1
done
exit $status
