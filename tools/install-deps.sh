#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Does nothing if all are installed.
set -euo pipefail
packages=(g++ cmake ninja-build ccache clang clang-format clang-tidy libclang-rt-14-dev
    libboost1.81-dev libnng-dev libcli11-dev libspdlog-dev libfmt-dev doctest-dev librapidcheck-dev
    protobuf-compiler libprotobuf-dev libxxhash-dev libssl-dev libbenchmark-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
