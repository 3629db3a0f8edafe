#!/usr/bin/env bash
# Measures the control cost of a process against the number of processes: tools/fleet.sh [BUILD] [SIZE...].
# Starts SIZE real processes (a quarter entry instances, the rest agents) over 2 regions and 7 data centres, waits until
# they are synchronised, and samples bytes, processor time and memory of each. Results are written to out/fleet.
# MODELS=N adds N models, each with an adapter, to the ticket that is submitted before memory is sampled.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
sizes=("${@:-}")
[ -n "${sizes[0]:-}" ] || sizes=(28 56 112 224)
seconds=20
out=out/fleet
mkdir -p "$out/logs"
pids=()
stop_all() {
    [ "${#pids[@]}" -eq 0 ] || kill -TERM "${pids[@]}" 2>/dev/null || true
    wait 2>/dev/null || true
    pids=()
}
trap stop_all EXIT
launch() { # NAME COMMAND...
    local name=$1
    shift
    "$@" >"$out/logs/$name.log" 2>&1 &
    pids+=($!)
}
metric() { # NAME PAGE
    awk -v name="$1" '$1 == name { sum += $2 } END { printf "%.0f", sum }' "$2"
}

platform=127.40.0.1:6000
summary=$out/fleet.csv
echo "processes,bytes_per_s_mean,bytes_per_s_max,cpu_percent_mean,cpu_percent_max,rss_mb_mean,rss_mb_max,platform_calls_per_s,head_ms" >"$summary"
for size in "${sizes[@]}"; do
    launch platform "$build/bin/fake-platform" --set fake_platform.listen=$platform --set admin.listen=127.40.0.1:9000
    launch service "$build/bin/fake-service" --set service.listen=127.40.0.2:8000 --set admin.listen=127.40.0.2:9000
    sleep 0.5
    for ((i = 0; i < size; ++i)); do
        host=127.41.$((i / 200)).$((i % 200 + 1))
        centre=dc-$((i % 7))
        region=region-$((i % 7 / 4))
        common=(--set instance.id=node-$i --set instance.data_centre=$centre --set instance.region=$region
            --set admin.listen=$host:9000 --set control.listen=$host:7000 --set platform.address=$platform --set log.level=warn)
        if [ $((i % 4)) -eq 0 ]; then
            launch node-$i "$build/bin/tray-entry" "${common[@]}" --set entry.listen=$host:8080
        else
            launch node-$i "$build/bin/tray-agent" "${common[@]}" --set agent.listen=$host:7001 \
                --set agent.guard_listen=$host:7002 --set upstream.name=up-$i --set upstream.pool=pool \
                --set upstream.kind=service --set upstream.address=127.40.0.2:8000
        fi
        [ $((i % 20)) -ne 19 ] || sleep 0.2
    done
    sleep 15
    sample() { # PREFIX
        for ((i = 0; i < size; ++i)); do
            curl -s -m 5 "http://127.41.$((i / 200)).$((i % 200 + 1)):9000/metrics" >"$out/logs/$1-$i.txt" || true
            awk '{ print $14 + $15 }' "/proc/${pids[$((i + 2))]}/stat" >"$out/logs/$1-$i.cpu"
            date +%s%3N >"$out/logs/$1-$i.at"
        done
        curl -s -m 5 "http://127.40.0.1:9000/stats" >"$out/logs/$1-platform.json" || true
    }
    sample before
    sleep $seconds
    sample after
    ticket=$out/logs/ticket.json
    awk -v n="${MODELS:-0}" 'BEGIN {
        printf "{\"number\":1,\"author\":\"fleet\",\"objects\":[{\"name\":\"gold\",\"tier\":{\"deadline_ms\":5000}}"
        printf ",{\"name\":\"engines\",\"pool\":{\"engines\":true}}"
        for (i = 1; i <= n; ++i) {
            printf ",{\"name\":\"model-%04d\",\"model\":{\"pool\":\"engines\",\"version\":\"1\",\"weight_bytes\":1000000000", i
            printf ",\"kv_bytes_per_token\":1000,\"max_context_tokens\":4096,\"min_replicas\":1}}"
            printf ",{\"name\":\"adapter-%04d\",\"adapter\":{\"base_model\":\"model-%04d\",\"version\":\"1\",\"bytes\":40000000}}", i, i
        }
        print "]}"
    }' >"$ticket"
    # The time from acceptance to "in force everywhere", as the operator's client sees it. Includes the start of the client.
    begin=$(date +%s%3N)
    timeout 30 "$build/bin/trayctl" --entry 127.41.0.1:7000 --platform $platform ticket submit "$ticket" >"$out/logs/ticket-$size.log" 2>&1 || true
    head_ms=$(($(date +%s%3N) - begin))
    rows=$out/fleet-$size.csv
    : >"$rows"
    for ((i = 0; i < size; ++i)); do
        bytes=0
        for name in tray_control_bytes_sent tray_control_bytes_received; do
            bytes=$((bytes + $(metric $name "$out/logs/after-$i.txt") - $(metric $name "$out/logs/before-$i.txt")))
        done
        ms=$(($(cat "$out/logs/after-$i.at") - $(cat "$out/logs/before-$i.at")))
        ticks=$(($(cat "$out/logs/after-$i.cpu") - $(cat "$out/logs/before-$i.cpu")))
        rss=$(awk '/VmRSS/ { print $2 }' "/proc/${pids[$((i + 2))]}/status")
        awk -v b=$bytes -v m=$ms -v t=$ticks -v r="$rss" 'BEGIN { printf "%.1f,%.3f,%.1f\n", b * 1000 / m, t * 10 * 100 / m, r / 1024 }' >>"$rows"
    done
    calls=$(awk -v RS='[^0-9]+' '{ sum += $1 } END { print sum + 0 }' "$out/logs/after-platform.json")
    calls_before=$(awk -v RS='[^0-9]+' '{ sum += $1 } END { print sum + 0 }' "$out/logs/before-platform.json")
    awk -F, -v n="$size" -v h=$head_ms -v c="$(awk -v a="$calls" -v b="$calls_before" -v s=$seconds 'BEGIN { printf "%.1f", (a - b) / s }')" '
        { b += $1; c1 += $2; r += $3; if ($1 > bm) bm = $1; if ($2 > cm) cm = $2; if ($3 > rm) rm = $3 }
        END { printf "%d,%.0f,%.0f,%.3f,%.3f,%.1f,%.1f,%s,%d\n", n, b / NR, bm, c1 / NR, cm, r / NR, rm, c, h }' "$rows" | tee -a "$summary"
    tail -1 "$out/logs/ticket-$size.log"
    stop_all
done
column -s, -t "$summary"
