#!/usr/bin/env bash
# Checks the format of all sources that are not generated, or corrects it with --fix.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files -co --exclude-standard 'src/*' 'platform/*' 'fakes/*' 'tests/*' 'bench/*' 'fuzz/*' |
    grep -E '\.(h|cpp)$' | grep -v '^src/generated/')
[ "${#files[@]}" -gt 0 ] || exit 0
if [ "${1:-}" = --fix ]; then
    clang-format -i "${files[@]}"
else
    clang-format --dry-run --Werror "${files[@]}"
fi
