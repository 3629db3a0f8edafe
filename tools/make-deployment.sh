#!/usr/bin/env bash
# Writes the settings files and the first ticket of a deployment: tools/make-deployment.sh NAME [DIRECTORY].
# NAME is valve-shops or association; the sizes are from table 1.6 in docs/design.md.
set -euo pipefail
name=$1
directory=${2:-"$(dirname "$0")/../deployments/$name"}
mkdir -p "$directory"
rm -f "$directory"/*.ini "$directory"/ticket-*.json

case $name in
valve-shops)
    network=127.10 store_region=costa other_region=norte
    data_centres=(costa-a costa-b norte-a) regions=(costa costa norte)
    engines=(4 3 2) entries=(2 1 1)
    engine_pool=advice-llm service_pool=bench-app services=(stock reservations)
    model_prefix=advice models=17 adapter_prefix=pairing adapters=55
    loads_per_second=1 full_speed_loads=9 transit_limit=70
    # name:tier:home region
    client_accounts=(bench-arequipa:gold: bench-trujillo:gold:norte bench-lima:gold: sales-desk:silver: batches:silver:
        reports:bronze:)
    ;;
association)
    network=127.20 store_region=semenanjung other_region=borneo
    data_centres=(putrajaya titiwangsa kota-kinabalu) regions=(semenanjung semenanjung borneo)
    engines=(7 6 5) entries=(2 1 1)
    engine_pool=pembantu service_pool=kaunter services=(boats availability)
    model_prefix=pembantu models=40 adapter_prefix=jeti adapters=95
    loads_per_second=2 full_speed_loads=25 transit_limit=180
    client_accounts=(counter:gold: counter-sabah:gold:borneo phone-apps:silver: briefings:silver: reports:bronze:)
    ;;
*)
    echo "unknown deployment: $name" >&2
    exit 2
    ;;
esac

platform=$network.0.1:6000
store=$network.0.2:6001
relay_host=$network.0.3

write() { cat >"$directory/$1.ini"; }

write fake-platform <<END
[admin]
listen = $network.0.1:9000
[fake_platform]
listen = $platform
END
write fake-store <<END
[admin]
listen = $network.0.2:9000
[store]
listen = $store
loads_per_second = $loads_per_second
full_speed_loads = $full_speed_loads
bytes_per_second = 1000000000
transit_limit = $transit_limit
END
# Processes in the region without the store connect to platform and store over the region link.
write fake-relay <<END
[admin]
listen = $relay_host:9000
[relay]
latency_ms = 30
bandwidth_kbit = 30000
[forward.platform]
listen = $relay_host:6000
target = $platform
[forward.store]
listen = $relay_host:6001
target = $store
END

peers=
for d in "${!data_centres[@]}"; do
    for ((n = 1; n <= entries[d]; n++)); do
        peers+="${peers:+,}$network.$((d + 1)).$n:7000"
    done
done

# Prints the sections that entries and agents share. Arguments: id, index of the data centre, host.
write_common() {
    local address=$platform
    [ "${regions[$2]}" = "$other_region" ] && address=$relay_host:6000
    cat <<END
[instance]
id = $1
data_centre = ${data_centres[$2]}
region = ${regions[$2]}
[admin]
listen = $3:9000
[platform]
address = $address
[control]
listen = $3:7000
peers = $peers
END
}

# Writes an agent and its upstream. Arguments: kind, name, pool, index of the data centre, host, accelerators, concurrency.
write_upstream() {
    local kind=$1 upstream=$2 pool=$3 d=$4 host=$5 accelerators=$6 concurrency=$7
    local store_address=$store
    [ "${regions[$d]}" = "$other_region" ] && store_address=$relay_host:6001
    if [ "$kind" = engine ]; then
        write "fake-engine-$upstream" <<END
[admin]
listen = $host:9001
[engine]
listen = $host:8000
store = $store_address
memory_bytes = 16000000000
kv_bytes_per_token = 131072
slots = $concurrency
step_us = 15000
step_us_per_request = 500
END
    else
        write "fake-service-$upstream" <<END
[admin]
listen = $host:9001
[service]
listen = $host:8000
execute_ms = 5
END
    fi
    { write_common "agent-$upstream" "$d" "$host" && cat <<END; } | write "tray-agent-$upstream"
[agent]
listen = $host:7001
guard_listen = $host:7002
[upstream]
name = $upstream
pool = $pool
kind = $kind
address = $host:8000
accelerators = $accelerators
concurrency = $concurrency
END
}

for d in "${!data_centres[@]}"; do
    for ((n = 1; n <= entries[d]; n++)); do
        host=$network.$((d + 1)).$n
        id=entry-${data_centres[$d]}-$n
        { write_common "$id" "$d" "$host" && cat <<END; } | write "tray-$id"
[entry]
listen = $host:8080
END
    done
    for ((n = 1; n <= engines[d]; n++)); do
        write_upstream engine "$engine_pool-${data_centres[$d]}-$n" "$engine_pool" "$d" "$network.$((d + 1)).$((10 + n))" 8 8
    done
    write_upstream service "$service_pool-${data_centres[$d]}" "$service_pool" "$d" "$network.$((d + 1)).50" 0 32
done

objects=()
add() { objects+=("$1"); }
add "{\"name\":\"$engine_pool\",\"pool\":{\"engines\":true}}"
add "{\"name\":\"$service_pool\",\"pool\":{\"engines\":false}}"
add '{"name":"gold","tier":{"rank":0,"deadline_ms":5000,"first_token_ms":1000}}'
add '{"name":"silver","tier":{"rank":1,"deadline_ms":10000,"first_token_ms":2000}}'
add '{"name":"bronze","tier":{"rank":2,"deadline_ms":30000}}'
for entry in "${client_accounts[@]}"; do
    IFS=: read -r client_account tier home <<<"$entry"
    digest=$(printf '%s' "$client_account-key" | sha256sum | cut -d' ' -f1)
    add "{\"name\":\"$client_account\",\"client_account\":{\"tier\":\"$tier\",\"credential_digests\":[\"$digest\"],\"home_region\":\"$home\"}}"
done
for ((i = 1; i <= models; i++)); do
    # Weights of 2 to 5 GB, so that the engines have memory for about twice the models' minimum.
    weights=$((2000000000 + (i * 7 % 4) * 1000000000))
    add "$(printf '{"name":"%s-%02d","model":{"pool":"%s","version":"1","weight_bytes":%d,"kv_bytes_per_token":131072,"max_context_tokens":4096,"min_replicas":1}}' \
        "$model_prefix" "$i" "$engine_pool" "$weights")"
done
for ((i = 1; i <= adapters; i++)); do
    add "$(printf '{"name":"%s-%02d","adapter":{"base_model":"%s-%02d","version":"1","bytes":40000000}}' \
        "$adapter_prefix" "$i" "$model_prefix" $(((i - 1) % models + 1)))"
done
for service in "${services[@]}"; do
    add "{\"name\":\"$service\",\"service\":{\"pool\":\"$service_pool\",\"non_idempotent_methods\":[\"POST\"]}}"
done
{
    printf '{"number":1,"author":"deployment","objects":[\n'
    for i in "${!objects[@]}"; do
        [ "$i" -gt 0 ] && printf ',\n'
        printf '%s' "${objects[$i]}"
    done
    printf '\n]}\n'
} >"$directory/ticket-1.json"

# A later ticket: adds a client_account and requires two replicas of the first model.
digest=$(printf 'visitor-key' | sha256sum | cut -d' ' -f1)
cat >"$directory/ticket-2.json" <<END
{"number":2,"author":"deployment","objects":[
{"name":"visitor","client_account":{"tier":"bronze","credential_digests":["$digest"]}},
{"name":"$model_prefix-01","model":{"pool":"$engine_pool","version":"1","weight_bytes":5000000000,"kv_bytes_per_token":131072,"max_context_tokens":4096,"min_replicas":2}}
]}
END

names() {
    local text=
    for ((i = 1; i <= $2; i++)); do
        text+="${text:+,}$(printf '%s-%02d' "$1" "$i")"
    done
    printf '%s' "$text"
}
adapter_names() {
    local text=
    for ((i = 1; i <= 12; i++)); do
        text+="${text:+,}$(printf '%s-%02d:%s-%02d' "$model_prefix" $(((i - 1) % models + 1)) "$adapter_prefix" "$i")"
    done
    printf '%s' "$text"
}

total_engines=0
for count in "${engines[@]}"; do total_engines=$((total_engines + count)); done
# The agents of the engines count the moves, so the scenarios read their metrics pages.
move_metrics=agent_orders_total
agent_admins=
for d in "${!data_centres[@]}"; do
    for ((n = 1; n <= engines[d]; n++)); do
        agent_admins+="${agent_admins:+,}$network.$((d + 1)).$((10 + n)):9000"
    done
done

# write_scenario NAME DURATION RATE_FACTOR BURST_FACTOR ROTATE_S: writes a load scenario; stdin is appended.
write_scenario() {
    local scenario=$1 duration=$2 factor=$3 burst=$4 rotate=$5 d n entry client_account tier home
    local local_member=${client_accounts[1]%%:*} main_member=${client_accounts[0]%%:*} silver_member=${client_accounts[3]%%:*}
    rate() { awk "BEGIN { print $1 * $total_engines / 9 * $factor }"; }
    {
        printf '[load]\nname = %s-%s\nseed = 1\nduration_s = %s\nwarm_up_s = 5\naccelerators = %d\n' \
            "$name" "$scenario" "$duration" $((total_engines * 8))
        for d in "${!data_centres[@]}"; do
            for ((n = 1; n <= entries[d]; n++)); do
                printf '[entry.%s-%d]\naddress = %s.%d.%d:8080\ndata_centre = %s\n' \
                    "${data_centres[$d]}" "$n" "$network" $((d + 1)) "$n" "${data_centres[$d]}"
            done
        done
        for entry in "${client_accounts[@]}"; do
            IFS=: read -r client_account tier home <<<"$entry"
            printf '[client_account.%s]\ncredential = %s-key\ntier = %s\n' "$client_account" "$client_account" "$tier"
        done
        cat <<END
[flow.questions]
client_account = $main_member
models = $(names "$model_prefix" "$models")
skew = 0.8
rotate_s = $rotate
rate = $(rate 16)
burst_factor = $burst
burst_every_s = 12
burst_length_s = 4
stream = true
output_tokens = 30
expectation_ms = 5000
first_token_ms = 1000
[flow.local-questions]
client_account = $local_member
data_centre = ${data_centres[2]}
models = $(names "$model_prefix" 4)
rate = $(rate 4)
output_tokens = 30
expectation_ms = 5000
[flow.adapter-questions]
client_account = $silver_member
models = $(adapter_names)
skew = 0.5
rotate_s = $rotate
rate = $(rate 8)
burst_factor = $burst
burst_every_s = 12
burst_length_s = 4
output_tokens = 30
expectation_ms = 10000
[flow.reports]
client_account = reports
kind = completion
models = $(names "$model_prefix" "$models")
rate = $(rate 4)
output_tokens = 100
expectation_ms = 30000
[flow.lookups]
client_account = $silver_member
kind = service
service = ${services[0]}
rate = $(rate 20)
expectation_ms = 10000
[flow.bookings]
client_account = $silver_member
kind = service
service = ${services[1]}
method = POST
path = new
idempotency_key = true
rate = $(rate 5)
expectation_ms = 10000
[counter.link_bytes]
addresses = $relay_host:9000
metrics = relay_bytes_total
[counter.moves]
addresses = $agent_admins
metrics = $move_metrics
END
        cat
    } | write "load-$scenario"
}

write_scenario steady 30 1 1 0 </dev/null
write_scenario burst 30 1 5 0 </dev/null
write_scenario shift 30 1.5 1 4 </dev/null
write_scenario engine-dies 30 1 1 0 <<END
[fault.engine-dies]
at_s = 12
address = $network.1.11:9001
body = '{"die":true}'
END
write_scenario store-out 30 1 1 8 <<END
[fault.store-out]
at_s = 8
address = $network.0.2:9000
body = '{"outage":true}'
END
write_scenario link-cut 30 1 1 0 <<END
[fault.link-cut]
at_s = 10
address = $relay_host:9000
body = '{"cut":true}'
[fault.link-back]
at_s = 20
address = $relay_host:9000
body = '{"cut":false}'
END
