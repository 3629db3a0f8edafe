#!/usr/bin/env bash
# Runs the case; see claim.txt. With TROUBLE=0 it does the same without the disruption, and must pass.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
TROUBLE=${TROUBLE:-1}
export TROUBLE
exec "$here/../../common/run-case.sh" "$here"
