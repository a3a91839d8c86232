#!/usr/bin/env bash
# Measures the overhead that one gypsumdaled adds to a call: starts stand-ins and the daemon on free
# ports, runs bench-overhead and stops the started processes.
# Usage: bench.sh BUILD_FOLDER [additional arguments of bench-overhead]
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
shift
folder=$(mktemp -d)
pids=()

finish() {
    local pid
    for pid in "${pids[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    for pid in "${pids[@]}"; do
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$folder"
}
trap finish EXIT

# await_line FILE PATTERN: waits until a line of the file matches the pattern.
await_line() {
    local tries
    for ((tries = 0; tries < 200; ++tries)); do
        grep -q "$2" "$1" && return 0
        sleep 0.05
    done
    echo "bench: timed out waiting for '$2' in $1:" >&2
    cat "$1" >&2
    return 1
}

# Sets `port` to a port that nothing listens on and that no earlier call returned.
next_port=$((20000 + RANDOM % 8000))
free_port() {
    while :; do
        next_port=$((next_port + 1))
        if ! (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; then
            port=$next_port
            return
        fi
    done
}

sha() {
    printf %s "$1" | sha256sum | cut -d' ' -f1
}

for name in control platform caller admin peer app stamped; do
    free_port
    declare "$name=127.0.0.1:$port"
done
paced=() fast=()
for ((number = 0; number < 2; ++number)); do
    free_port
    paced+=("127.0.0.1:$port")
done
for ((number = 0; number < 8; ++number)); do
    free_port
    fast+=("127.0.0.1:$port")
done

# Settings of the stand-ins, and of the daemon with the same upstreams.
{
    echo "{\"control\": \"$control\", \"loops\": 6, \"instances\": ["
    echo "{\"role\": \"platform\", \"name\": \"platform\", \"listen\": \"$platform\"},"
    for address in "${paced[@]}"; do
        echo "{\"role\": \"engine\", \"name\": \"paced-${address##*:}\", \"listen\": \"$address\", \"model\": \"paced\", \"slots\": 32, \"tokenMillis\": 5, \"tokenGrowthMillis\": 0, \"prefillTokensPerSecond\": 1000000},"
    done
    for address in "${fast[@]}"; do
        echo "{\"role\": \"engine\", \"name\": \"fast-${address##*:}\", \"listen\": \"$address\", \"model\": \"fast\", \"slots\": 64, \"tokenMillis\": 0, \"tokenGrowthMillis\": 0, \"prefillTokensPerSecond\": 1000000000},"
    done
    echo "{\"role\": \"service\", \"name\": \"app\", \"listen\": \"$app\", \"service\": \"app\", \"delayMillis\": 0, \"slots\": 256}]}"
} >"$folder/standins.json"

upstream() {
    printf '  - name: %s\n    service: %s\n    data-centre: here\n    address: %s\n    vm: %s\n    class: small\n    slots: %s\n    price-per-hour: 1\n    reclaimable: false\n' \
        "$1" "$2" "$3" "$1" "$4"
}
{
    cat <<END
node: bench-1
data-centre: here
region: here
caller-listen: $caller
admin-listen: $admin
peer-listen: $peer
platform: $platform
operator-hashes:
  - $(sha bench-operator)
peer-secret:
  text: bench-peer-secret
traffic-threads: 1
upstreams:
END
    for address in "${paced[@]}"; do upstream "paced-${address##*:}" paced "$address" 32; done
    for address in "${fast[@]}"; do upstream "fast-${address##*:}" fast "$address" 64; done
    upstream stamped stamped "$stamped" 64
    upstream app app "$app" 256
} >"$folder/node.yaml"

mkdir "$folder/fleet" "$folder/profile" "$folder/member"
cat >"$folder/fleet/settings.yaml" <<END
data-centres:
  - name: here
    region: here
services:
  - name: paced
    kind: model
    concurrency: 64
  - name: fast
    kind: model
    concurrency: 64
  - name: stamped
    kind: model
    concurrency: 64
  - name: app
    kind: plain
    concurrency: 256
END
cat >"$folder/profile/chat.yaml" <<END
latency:
  first-token: 2s
  deadline: 1m
durability: none
repeat: repeatable
priority: 1
queue:
  requests: 512
  wait: 10s
services: [paced, fast, stamped]
END
cat >"$folder/profile/plain.yaml" <<END
latency:
  first-token: 2s
  deadline: 10s
durability: none
repeat: repeatable
priority: 1
queue:
  requests: 512
  wait: 5s
services: [app]
END
cat >"$folder/member/bench.yaml" <<END
weight: 1
concurrency: 4000
key-hashes:
  - $(sha bench-member-key)
END

"$build/gypsumdale-standin" --role fleet --config "$folder/standins.json" >"$folder/standins.out" 2>&1 &
pids+=($!)
await_line "$folder/standins.out" '^listening'
"$build/gypsumdaled" --settings "$folder/node.yaml" >"$folder/daemon.out" 2>&1 &
daemon=$!
pids+=("$daemon")
await_line "$folder/daemon.out" 'started'
export GYPSUMDALE_OPERATOR_KEY=bench-operator
"$build/gypsumctl" --entry "$admin" apply -f "$folder/fleet/settings.yaml" \
    -f "$folder/profile/chat.yaml" -f "$folder/profile/plain.yaml" \
    -f "$folder/member/bench.yaml" --wait >"$folder/apply.out" 2>&1 || {
    cat "$folder/apply.out" >&2
    exit 1
}

arguments=()
for address in "${paced[@]}"; do arguments+=(--paced "$address"); done
for address in "${fast[@]}"; do arguments+=(--fast "$address"); done
uptime
"$build/bench-overhead" --daemon "$caller" --admin "$admin" --plain "$app" --stamped "$stamped" \
    --key bench-member-key --pid "$daemon" "${arguments[@]}" "$@"
uptime
