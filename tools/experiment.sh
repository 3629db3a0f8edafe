#!/usr/bin/env bash
# Compares the current policy with the baseline in fixed scenarios of both deployments:
#   tools/experiment.sh [BUILD [DEPLOYMENT... [-- SCENARIO...]]]
# Reports, plots and the table are written to out/experiment. A scenario runs once for each policy, one after the other.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
shift || true
deployments=()
while [ $# -gt 0 ] && [ "$1" != -- ]; do
    deployments+=("$1")
    shift
done
[ "${1:-}" != -- ] || shift
scenarios=("$@")
[ ${#deployments[@]} -gt 0 ] || deployments=(valve-shops association)
[ ${#scenarios[@]} -gt 0 ] || scenarios=(steady burst shift engine-dies store-out link-cut)
out=out/experiment
mkdir -p "$out"
# shellcheck source=tools/deployment-lib.sh
source tools/deployment-lib.sh
trap 'stop_deployment 10 >/dev/null 2>&1 || true' EXIT

declare -A policy_arguments=(
    [baseline]="--set entry.routing=least-loaded --set placement.strategy=on-demand"
    [present]="--set entry.routing=predictive --set placement.strategy=planned"
)

# field FILE PATH: prints a number of a report. PATH is a key, or a tier name and a key.
field() {
    awk -v tier="${3:-}" -v key="\"$2\":" '
        tier != "" && $1 == "\"name\":" { inside = ($2 == "\"" tier "\",") }
        (tier == "" || inside) && $1 == key { gsub(/[",]/, "", $2); print $2; exit }' "$1"
}

# run_once DEPLOYMENT SCENARIO POLICY: runs a scenario on a newly started system.
run_once() {
    local deployment=$1 scenario=$2 policy=$3 directory=deployments/$1
    local prefix=$out/$deployment-$scenario-$policy entry control platform credential model_prefix count status=0
    logs=$out/logs/$deployment-$scenario-$policy
    control=$(setting "$(ls $directory/tray-entry-*.ini | head -n 1)" control listen)
    entry=$(setting "$(ls $directory/tray-entry-*.ini | head -n 1)" entry listen)
    platform=$(setting $directory/fake-platform.ini fake_platform listen)
    credential=$(setting "$(ls $directory/load-steady.ini)" client_account.reports credential)
    model_prefix=$(grep -o '"name":"[a-z]*-01","model"' $directory/ticket-1.json | cut -d'"' -f4 | cut -d- -f1)
    count=$(grep -c '"model":{' $directory/ticket-1.json)
    # shellcheck disable=SC2086
    # Planners run in the relay processes, which may be agents.
    agent_arguments=()
    [ $policy != baseline ] || agent_arguments=(--set placement.strategy=on-demand)
    start_deployment $directory ${policy_arguments[$policy]} || status=1
    [ $status -ne 0 ] || wait_ready $directory 30 || status=1
    [ $status -ne 0 ] || timeout 40 "$build/bin/trayctl" --entry "$control" --platform "$platform" \
        ticket submit $directory/ticket-1.json >/dev/null || status=1
    # The baseline loads models on demand, so each model is requested once before the run, with both policies.
    mapfile -t models < <(seq -f "$model_prefix-%02.0f" 1 "$count")
    [ $status -ne 0 ] || wait_models "$entry" "$credential" 90 "${models[@]}" || echo "not all models answer" >&2
    [ $status -ne 0 ] || timeout 120 "$build/bin/tray-load" --config "$directory/load-$scenario.ini" \
        --set "load.output=$prefix" >"$prefix.txt" || status=1
    for name in "${!deployment_pids[@]}"; do
        # Engines that the scenario kills may end.
        [[ $scenario == engine-dies && $name == fake-engine-* ]] && deployment_killed[$name]=1
    done
    stop_deployment 30 || echo "stop of $deployment $scenario $policy was not clean" >&2
    deployment_killed=()
    return $status
}

table=$out/table.md
{
    echo "| deployment | scenario | policy | gold | silver | bronze | attained per accelerator | moves | link bytes |" \
        "refused or failed | load average |"
    echo "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
} >"$table"
for deployment in "${deployments[@]}"; do
    for scenario in "${scenarios[@]}"; do
        for policy in baseline present; do
            report=$out/$deployment-$scenario-$policy.json
            rm -f "$report"
            if ! run_once "$deployment" "$scenario" "$policy" || [ ! -f "$report" ]; then
                echo "| $deployment | $scenario | $policy | failed |" >>"$table"
                continue
            fi
            sent=$(field "$report" sent)
            answered=$(field "$report" answered)
            printf '| %s | %s | %s | %.4f | %.4f | %.4f | %.2f | %.0f | %.0f | %d of %d | %s |\n' \
                "$deployment" "$scenario" "$policy" "$(field "$report" attainment gold)" \
                "$(field "$report" attainment silver)" "$(field "$report" attainment bronze)" \
                "$(field "$report" attained_per_accelerator)" "$(field "$report" moves)" \
                "$(field "$report" link_bytes)" $((sent - answered)) "$sent" "$(cut -d' ' -f1 /proc/loadavg)" |
                tee -a "$table"
        done
    done
done
trap - EXIT
cat "$table"
