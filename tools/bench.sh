#!/usr/bin/env bash
# Measures the added latency of the entry path, idle memory and the decision core: tools/bench.sh [BUILD].
# Results are written to out/bench. The machine's load is printed with them, because others may use the machine.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
out=out/bench
logs=$out/logs
settings=$out/settings
mkdir -p "$settings"
rm -f "$settings"/*.ini
# shellcheck source=tools/deployment-lib.sh
source tools/deployment-lib.sh
trap 'stop_deployment 10 >/dev/null 2>&1 || true' EXIT

network=127.30.0
platform=$network.1:6000
common() {
    printf '[instance]\nid = %s\ndata_centre = dc\nregion = region\n' "$1"
    printf '[admin]\nlisten = %s:9000\n[platform]\naddress = %s\n' "$2" "$platform"
    printf '[control]\nlisten = %s:7000\npeers = %s.11:7000\n' "$2" "$network"
}
printf '[admin]\nlisten = %s.1:9000\n[fake_platform]\nlisten = %s\n' $network $platform >"$settings/fake-platform.ini"
printf '[admin]\nlisten = %s.50:9001\n[service]\nlisten = %s.50:8000\nexecute_ms = 0\n' \
    $network $network >"$settings/fake-service-desk.ini"
{
    common agent-desk $network.50
    printf '[agent]\nlisten = %s.50:7001\nguard_listen = %s.50:7002\n' $network $network
    printf '[upstream]\nname = desk\npool = desks\nkind = service\naddress = %s.50:8000\nconcurrency = 256\n' $network
} >"$settings/tray-agent-desk.ini"
{
    common entry-1 $network.11
    printf '[entry]\nlisten = %s.11:8080\n' $network
} >"$settings/tray-entry-1.ini"
digest=$(printf 'bench-key' | sha256sum | cut -d' ' -f1)
cat >"$settings/ticket.json" <<END
{"number":1,"author":"bench","objects":[{"name":"desks","pool":{}},{"name":"gold","tier":{"deadline_ms":5000}},
{"name":"bench","client_account":{"tier":"gold","credential_digests":["$digest"]}},{"name":"desk","service":{"pool":"desks"}}]}
END
flow() {
    printf '[flow.%s]\nmember = bench\ndata_centre = %s\nkind = service\nservice = desk\nrate = 2000\n' "$1" "$2"
    printf 'start_s = %s\nstop_s = %s\nexpectation_ms = 1000\n' "$3" "$4"
}
# The two paths alternate within one run, so that a change of the machine's load affects both.
{
    printf '[load]\nname = added-latency\nduration_s = 20\nseed = 1\n[client_account.bench]\ncredential = bench-key\n'
    printf '[entry.direct]\naddress = %s.50:8000\ndata_centre = direct\n' $network
    printf '[entry.tray]\naddress = %s.11:8080\ndata_centre = tray\n' $network
    flow direct-warm-up direct 0 2
    flow entry-warm-up tray 2 4
    flow direct-1 direct 4 8
    flow entry-1 tray 8 12
    flow direct-2 direct 12 16
    flow entry-2 tray 16 20
} >"$settings/load.ini"

echo "== added latency at 2,000 requests/s; load of the machine: $(cut -d' ' -f1-3 /proc/loadavg), $(nproc) cores"
start_deployment "$settings"
wait_ready "$settings" 20
timeout 30 "$build/bin/trayctl" --entry $network.11:7000 --platform $platform ticket submit "$settings/ticket.json"
for ((i = 0; i < 50; i++)); do
    [ "$(http_status GET $network.11:8080 /services/desk/ready '' bench-key)" = 200 ] && break
    sleep 0.2
done
echo "== idle memory, MB"
sleep 2
for name in "${!deployment_pids[@]}"; do
    awk -v name="$name" '/^VmRSS/ { printf "%-24s %6.1f\n", name, $2 / 1024 }' \
        "/proc/${deployment_pids[$name]}/status"
done | sort | tee "$out/memory.txt"
timeout 60 "$build/bin/tray-load" --config "$settings/load.ini" --set load.output=$out/added-latency |
    tee "$out/added-latency.txt"
echo "load of the machine afterwards: $(cut -d' ' -f1-3 /proc/loadavg)"
awk '$1 ~ /^(direct|entry)-[12]$/ { split($1, part, "-"); p50[part[1]] += $6 / 2; p99[part[1]] += $7 / 2 }
    END { printf "added latency: p50 %.2f ms (target 0.3), p99 %.2f ms (target 1)\n",
        p50["entry"] - p50["direct"], p99["entry"] - p99["direct"] }' "$out/added-latency.txt" | tee "$out/added.txt"
stop_deployment 10
trap - EXIT

for program in "$build"/bin/bench-*; do
    [ -x "$program" ] || continue
    echo "== $(basename "$program")"
    timeout 300 "$program" --benchmark_min_time=0.2 | tee "$out/$(basename "$program").txt"
done
