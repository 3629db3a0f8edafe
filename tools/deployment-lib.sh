# Functions that start, probe and stop the processes of a deployment. Sourced by the other tools.
# shellcheck shell=bash
# The caller sets: build (build directory), logs (directory for logs). All processes end with the caller.

declare -A deployment_pids=()
# Processes that were ended intentionally before the deployment is stopped.
declare -A deployment_killed=()

# http METHOD HOST:PORT PATH [BODY] [CREDENTIAL]: sends a request and prints the answer, status line first.
http() {
    local method=$1 host=${2%:*} port=${2##*:} path=$3 body=${4:-} credential=${5:-}
    {
        exec 3<>"/dev/tcp/$host/$port" || return 1
    } 2>/dev/null
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Type: application/json\r\n' \
        "$method" "$path" "$2" >&3
    [ -z "$credential" ] || printf 'Authorization: Bearer %s\r\n' "$credential" >&3
    printf 'Content-Length: %d\r\n\r\n%s' "${#body}" "$body" >&3
    timeout 5 cat <&3
    exec 3>&- 3<&-
}

# http_status ...: like http, but prints only the status code; 000 if there is no answer.
http_status() {
    local line
    line=$(http "$@" 2>/dev/null | head -n 1) || true
    line=${line#* }
    printf '%s' "${line:0:3}"
}

# setting FILE SECTION KEY: prints a value of a settings file.
setting() {
    awk -v section="[$2]" -v key="$3" '
        /^\[/ { inside = ($0 == section) }
        inside && $1 == key && $2 == "=" { sub(/^[^=]*= */, ""); print; exit }' "$1"
}

# start_process FILE [ARGUMENT...]: starts the program that the name of the settings file identifies.
start_process() {
    local file=$1 name program
    name=$(basename "$file" .ini)
    for program in fake-platform fake-store fake-relay fake-engine fake-service tray-agent tray-entry; do
        if [[ $name == "$program"* ]]; then
            "$build/bin/$program" --config "$file" "${@:2}" >"$logs/$name.log" 2>&1 &
            deployment_pids[$name]=$!
            return 0
        fi
    done
    echo "no program for $file" >&2
    return 1
}

# Additional arguments for each tray-agent.
agent_arguments=()

# start_deployment DIRECTORY [ARGUMENT for tray-entry...]: starts platform and upstreams, then agents and entries.
start_deployment() {
    local directory=$1 file
    mkdir -p "$logs"
    for file in "$directory"/fake-*.ini; do start_process "$file"; done
    sleep 0.5
    for file in "$directory"/tray-agent-*.ini; do start_process "$file" "${agent_arguments[@]}"; done
    for file in "$directory"/tray-entry-*.ini; do start_process "$file" "${@:2}"; done
    sleep 1
    if ! all_running; then
        echo "not all processes started; are their addresses in use by another run?" >&2
        return 1
    fi
}

# all_running: fails and prints the name of a process that has ended unexpectedly.
all_running() {
    local name status=0
    for name in "${!deployment_pids[@]}"; do
        if [ -z "${deployment_killed[$name]:-}" ] && ! kill -0 "${deployment_pids[$name]}" 2>/dev/null; then
            echo "process $name has ended; see $logs/$name.log" >&2
            status=1
        fi
    done
    return $status
}

# wait_ready DIRECTORY SECONDS: waits until all entries are ready.
wait_ready() {
    local directory=$1 deadline=$((SECONDS + $2)) file
    for file in "$directory"/tray-entry-*.ini; do
        until [ "$(http_status GET "$(setting "$file" admin listen)" /readyz)" = 200 ]; do
            all_running || return 1
            if [ $SECONDS -ge $deadline ]; then
                echo "$(basename "$file" .ini) is not ready" >&2
                return 1
            fi
            sleep 0.2
        done
    done
}

# wait_models ENTRY CREDENTIAL SECONDS MODEL...: waits until each model answers.
wait_models() {
    local entry=$1 credential=$2 deadline=$((SECONDS + $3)) model
    shift 3
    for model in "$@"; do
        until [ "$(http_status POST "$entry" /v1/completions \
            "{\"model\":\"$model\",\"prompt\":\"ready?\",\"max_tokens\":1}" "$credential")" = 200 ]; do
            if [ $SECONDS -ge $deadline ]; then
                echo "model $model does not answer" >&2
                return 1
            fi
            sleep 0.3
        done
    done
}

# stop_deployment SECONDS: sends SIGTERM to entries and agents, then to the others; SIGKILL to those still running.
# Fails if a process did not exit with status 0 after SIGTERM.
stop_deployment() {
    local deadline=$((SECONDS + $1)) group name pid status=0 result
    for group in tray-entry tray-agent fake-; do
        for name in "${!deployment_pids[@]}"; do
            [[ $name == "$group"* ]] || continue
            kill -CONT "${deployment_pids[$name]}" 2>/dev/null || true
            kill -TERM "${deployment_pids[$name]}" 2>/dev/null || true
        done
        for name in "${!deployment_pids[@]}"; do
            [[ $name == "$group"* ]] || continue
            pid=${deployment_pids[$name]}
            while kill -0 "$pid" 2>/dev/null && [ $SECONDS -lt $deadline ]; do sleep 0.05; done
            if kill -0 "$pid" 2>/dev/null; then
                echo "process $name did not stop in time" >&2
                kill -KILL "$pid" 2>/dev/null || true
            fi
            result=0
            wait "$pid" 2>/dev/null || result=$?
            if [ $result -ne 0 ] && [ -z "${deployment_killed[$name]:-}" ]; then
                echo "process $name ended with status $result; see $logs/$name.log" >&2
                status=1
            fi
        done
    done
    deployment_pids=()
    return $status
}
