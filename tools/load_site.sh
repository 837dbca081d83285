#!/usr/bin/env bash
# Starts one node with stand-ins of the platform and of several engines on loopback addresses, runs a command against
# them and stops them afterwards. Needs a release build.
# Usage: tools/load_site.sh COMMAND [ARG ...]
# In the command, ROUTER, ENGINE, PID and KEY are replaced by the node's caller address, the first engine's address,
# the node's process id and the team's key. The environment may set ENGINES, SEATS, GAP_US and PORT.
set -euo pipefail
cd "$(dirname "$0")/.."
engines="${ENGINES:-4}" seats="${SEATS:-100}" gap_us="${GAP_US:-5000}" port="${PORT:-19480}"
folder=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do
        kill -9 "$pid" 2>/dev/null || true
        wait "$pid" 2>/dev/null || true
    done
    rm -rf "$folder"
}
trap finish EXIT

sha() { printf '%s' "$1" | sha256sum | cut -d' ' -f1; }
platform="127.0.0.1:$((port + 3))"
build/development/standins/geranium-standin platform --listen "$platform" &
pids+=($!)
{
    printf 'number: 1\nauthor: load\nchanges:\n'
    printf '  - {kind: class, name: live, tier: 0, first_token_target_ms: 5000}\n'
    printf '  - {kind: model, name: m}\n  - {kind: pool, name: engines, model: m}\n'
    printf '  - {kind: team, name: t, key_hashes: [%s]}\n' "$(sha load-key)"
} >"$folder/ticket.yaml"
for index in $(seq 1 "$engines"); do
    address="127.0.1.$index:$((port + 5))"
    build/development/standins/geranium-standin engine --listen "$address" --seats "$seats" --token-gap-us "$gap_us" &
    pids+=($!)
    printf '  - {kind: upstream, name: e%s, pool: engines, data_center: a, address: "%s", seats: %s}\n' \
        "$index" "$address" "$seats" >>"$folder/ticket.yaml"
done
cat >"$folder/settings.yaml" <<EOF
node: entry-1
data_center: a
caller_address: 127.0.0.1:$port
operator_address: 127.0.0.1:$((port + 1))
mesh_address: 127.0.0.1:$((port + 2))
mesh_key: load-mesh-key
table_address: $platform
object_address: $platform
vm_list_address: $platform
operator_key_hashes: [$(sha load-operator)]
log_folder: $folder
seed: 1
EOF
build/main/geraniumlever/geraniumlever --settings "$folder/settings.yaml" &
node=$!
pids+=("$node")
for _ in $(seq 100); do
    curl -sf -o /dev/null --data-binary "@$folder/ticket.yaml" -H 'Authorization: Bearer load-operator' \
        "http://127.0.0.1:$((port + 1))/admin/tickets" && break
    sleep 0.1
done
for _ in $(seq 100); do
    curl -sf -o /dev/null "http://127.0.0.1:$((port + 1))/readyz" && break
    sleep 0.1
done
command=("${@/ROUTER/127.0.0.1:$port}")
command=("${command[@]/ENGINE/127.0.1.1:$((port + 5))}")
command=("${command[@]/PID/$node}")
command=("${command[@]/KEY/load-key}")
"${command[@]}"
