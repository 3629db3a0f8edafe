#!/usr/bin/env bash
# Builds the stand-ins and clients of the review's scripts into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O1 -c common/Json.cpp -o build/Json.o
for source in */case.cpp known/*/case.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ -std=c++20 -O1 -Wall -Wextra "$source" build/Json.o -o "build/case-$name" -pthread
done
