#!/usr/bin/env bash
# Runs clang-tidy on the sources that the build directory compiles, or on the files given after it. A source without
# findings is skipped until the source, a project header that it includes, or the configuration changes; so in a new
# checkout all sources are checked.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
stamps=$build/lint
mkdir -p "$stamps"

# Prints "source<tab>file" for each project file that a source was compiled from. With a base directory, ccache writes
# paths relative to the build directory, which is in the root of the checkout.
dependencies() {
    ninja -C "$build" -t deps | awk -v root="$PWD/" '
        /^[^ ]/ { first = 1; next }
        /^    / { file = $1; sub(/^\.\.\//, root, file)
                  if (first) { source = file; first = 0 }
                  if (index(file, root) == 1 && index(source, root) == 1)
                      print substr(source, length(root) + 1) "\t" substr(file, length(root) + 1) }' | sort -u
}

# Prints "source<tab>digest", a digest of all contents on which the result for a source depends.
digests() {
    local configuration
    configuration=$( (clang-tidy --version; cat .clang-tidy tools/lint.sh) | sha256sum | cut -d' ' -f1)
    local table=$stamps/dependencies
    dependencies >"$table"
    cut -f2 "$table" | sort -u | xargs sha256sum | awk '{ print $2 "\t" $1 }' >"$stamps/contents"
    awk -F'\t' -v configuration="$configuration" '
        NR == FNR { content[$1] = $2; next }
        { text[$1] = text[$1] content[$2] }
        END { for (source in text) print source "\t" configuration text[source] }' "$stamps/contents" "$table" |
        while IFS=$'\t' read -r source text; do
            printf '%s\t%s\n' "$source" "$(printf '%s' "$text" | sha256sum | cut -d' ' -f1)"
        done
}

# Checks one file, and stores its digest if there are no findings.
check() {
    clang-tidy -p "$build" --quiet --extra-arg=-fcoroutines-ts --extra-arg=-D__cpp_impl_coroutine=201902L \
        --extra-arg=-Wno-unknown-warning-option --extra-arg=-Wno-everything "$1" 2>/dev/null || return 1
    if [ -n "${2:-}" ]; then
        printf '%s' "$2" >"$stamps/$(printf '%s' "$1" | tr / _)"
    fi
}
export -f check
export build stamps

# g++ enables coroutines in C++20; clang 14 needs an option for them.
if [ "$#" -gt 0 ]; then
    printf '%s\n' "$@" | xargs -P "$(nproc)" -I{} bash -c 'check "$1"' _ {}
    exit
fi
digests >"$stamps/digests"
git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'fakes/*.cpp' 'tests/*.cpp' 'bench/*.cpp' |
    { grep -v '^src/generated/' || true; } | while read -r source; do
        digest=$(awk -F'\t' -v source="$source" '$1 == source { print $2 }' "$stamps/digests")
        stamp=$stamps/$(printf '%s' "$source" | tr / _)
        if [ -z "$digest" ] || [ ! -f "$stamp" ] || [ "$(cat "$stamp")" != "$digest" ]; then
            printf '%s\t%s\n' "$source" "$digest"
        fi
    done >"$stamps/due"
printf '%s sources to check\n' "$(wc -l <"$stamps/due")"
xargs -r -a "$stamps/due" -P "$(nproc)" -d '\n' -n 1 bash -c 'check "${1%%$'"'"'\t'"'"'*}" "${1##*$'"'"'\t'"'"'}"' _
