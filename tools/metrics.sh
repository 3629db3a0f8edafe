#!/usr/bin/env bash
# Compares the metrics that the programs for the platform register with those that docs/OPERATIONS.md describes.
set -euo pipefail
cd "$(dirname "$0")/.."
in_code=$(grep -rhoE '"tray_(gateway|steward)_[a-z_]+"' src platform | tr -d '"' | sort -u)
in_page=$(grep -oE 'tray_(gateway|steward)_[a-z_]+' docs/OPERATIONS.md | sort -u)
if ! diff <(printf '%s\n' "$in_code") <(printf '%s\n' "$in_page"); then
    echo "metrics: left only in the code, right only in docs/OPERATIONS.md" >&2
    exit 1
fi
