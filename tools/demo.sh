#!/usr/bin/env bash
# Demo of the valve shops' deployment in under two minutes: tools/demo.sh [BUILD]. Results are written to out/demo.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
out=out/demo
logs=$out/logs
directory=deployments/valve-shops
mkdir -p "$out"
# shellcheck source=tools/deployment-lib.sh
source tools/deployment-lib.sh
trap 'stop_deployment 10 >/dev/null 2>&1 || true' EXIT

entry=$(setting $directory/tray-entry-costa-a-1.ini entry listen)
control=$(setting $directory/tray-entry-costa-a-1.ini control listen)
platform=$(setting $directory/fake-platform.ini fake_platform listen)
ctl() { timeout 30 "$build/bin/trayctl" --entry "$control" --platform "$platform" "$@"; }

echo "== start $(ls $directory/fake-*.ini $directory/tray-*.ini | wc -l) processes"
start_deployment $directory
wait_ready $directory 20
echo "== submit the first ticket"
ctl ticket submit $directory/ticket-1.json
echo "== wait until all models answer"
mapfile -t models < <(seq -f 'advice-%02.0f' 1 17)
wait_models "$entry" bench-arequipa-key 60 "${models[@]}"
echo "== mixed load for 30 s, and a second ticket meanwhile"
timeout 80 "$build/bin/tray-load" --config $directory/load-steady.ini --set load.output=$out/report \
    --set load.max_failed=0.05 >"$out/report.txt" &
load=$!
sleep 10
ctl ticket submit $directory/ticket-2.json
status=0
wait $load || status=$?
cat "$out/report.txt"
ctl timeline --html "$out/timeline.html"
echo "timeline: $out/timeline.html, plot: $out/report.svg"
all_running || status=1
echo "== stop"
stop_deployment 20 || status=1
trap - EXIT
[ $status -eq 0 ] && echo "demo passed in $SECONDS s" || echo "demo failed"
exit $status
