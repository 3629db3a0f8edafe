#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases 6 to 10, and of those of this review in known/, into review/rig-2/bin. They
# need a C++20 compiler only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p rig-2/bin
compile=("${CXX:-g++}" -std=c++20 -O1 -Wall -Wextra -pthread -Irig-2)
"${compile[@]}" -c rig-2/Rig.cpp -o rig-2/bin/Rig.o
for source in {6..10}/Case.cpp; do
    [ -f "$source" ] || continue
    "${compile[@]}" "$source" rig-2/bin/Rig.o -o "rig-2/bin/case-${source%/*}"
done
for name in added-model late-order; do
    "${compile[@]}" "known/$name/Case.cpp" rig-2/bin/Rig.o -o "rig-2/bin/known-$name"
done
