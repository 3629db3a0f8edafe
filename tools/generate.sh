#!/usr/bin/env bash
# Regenerates src/generated from proto/. The generated code is committed, so a build does not need protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=proto --cpp_out=src/generated proto/*.proto
