#!/usr/bin/env bash
# Regenerates src/generated from proto/. The generated code is committed, so that builds do not need protoc.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=proto --cpp_out=src/generated proto/*.proto
