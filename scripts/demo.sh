#!/usr/bin/env bash
# Builds the project, runs a small site on loopback and serves two calls through it.
#
# usage: scripts/demo.sh [--once] [--debug] [--port N]
#   --once   exit after the two calls; fails unless both answers are complete
#   --debug  build without optimisation
#   --port   first port of the range to use (default 21000)
#
# Every node, target and platform service is a separate process, started and stopped by this script.
set -euo pipefail
cd "$(dirname "$0")/.."

once=false
profile=release
port=21000
while [ $# -gt 0 ]; do
    case $1 in
        --once) once=true ;;
        --debug) profile=debug ;;
        --port) port=$2; shift ;;
        *) sed -n '2,9s/^# \{0,1\}//p' "$0" >&2; exit 2 ;;
    esac
    shift
done

# The time within which the site must be ready, in tenths of a second.
readonly START_TENTHS=300
# The ports reserved for each node, from the first: its caller, target, peer and operator listeners,
# then the listener of the target.
readonly PORTS_PER_NODE=10

scripts/setup.sh
if [ "$profile" = release ]; then
    cargo build --release --locked --quiet
else
    cargo build --locked --quiet
fi
program=${CARGO_TARGET_DIR:-target}/$profile/aspenspring

work=$(mktemp -d)
pids=()
names=()

# Stops all started processes in reverse order and waits for them; fails if one exits with an error.
finish() {
    trap '' INT TERM
    local i
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill -TERM "${pids[i]}" 2>/dev/null || true
    done
    local failed=0 status
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        status=0
        wait "${pids[i]}" || status=$?
        if [ "$status" != 0 ]; then
            echo "${names[i]} exited with status $status; its last log lines:" >&2
            tail -n 5 "$work/${names[i]}.log" >&2
            failed=1
        fi
    done
    pids=()
    rm -rf "$work"
    return "$failed"
}
trap 'finish || true' EXIT
trap 'stop' INT TERM

# Stops all processes and exits; the exit status is 1 if one of them exited with an error.
stop() {
    trap - EXIT
    echo
    finish || exit 1
    echo "All processes have exited."
    exit 0
}

# start NAME ARGUMENTS..: runs the program in the background and records its process ID.
start() {
    local name=$1
    shift
    # A separate process group, so that Ctrl-C reaches only this script, which then stops the others.
    set -m
    "$program" "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
    set +m
    names+=("$name")
}

# Fails if a started process has exited.
check_running() {
    local i
    for i in "${!pids[@]}"; do
        kill -0 "${pids[i]}" 2>/dev/null && continue
        echo "${names[i]} has exited; its last log lines:" >&2
        tail -n 20 "$work/${names[i]}.log" >&2
        exit 1
    done
}

next_port=$((port + 10))
# URLs by which the nodes reach the services that their targets call.
called_urls=()

# node SERVICE NAME DOMAIN SERVICE_MS [CALLS]: starts a node and its target.
node() {
    local service=$1 name=$2 domain=$3 service_ms=$4 calls=${5:-}
    local at=$next_port
    next_port=$((next_port + PORTS_PER_NODE))
    cat >"$work/$name.json" <<JSON
{
  "node": {
    "name": "$name",
    "failure_domain": "$domain",
    "service": "$service",
    "caller_listen": "127.0.0.1:$at",
    "target_listen": "127.0.0.1:$((at + 1))",
    "peer_listen": "127.0.0.1:$((at + 2))",
    "operator_listen": "127.0.0.1:$((at + 3))"
  }
}
JSON
    start "node-$name" node --settings scripts/demo/base.json --settings "$work/site.json" \
        --settings "$work/$name.json"
    start "target-$name" standin target --service "$service" --name "$name" \
        --listen "127.0.0.1:$((at + 4))" --node "127.0.0.1:$((at + 1))" \
        --service-ms "$service_ms" --seed "$at" --calls "$calls"
    if [ -n "$calls" ]; then
        called_urls+=("http://127.0.0.1:$at/$calls/items/1")
    fi
}

sed "s/:21000/:$port/; s/:21001/:$((port + 1))/" scripts/demo/site.json >"$work/site.json"
ASPENSPRING_OPERATOR_KEY=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
export ASPENSPRING_OPERATOR_KEY
echo "$ASPENSPRING_OPERATOR_KEY" >"$work/operator-key"

start table standin table --listen "127.0.0.1:$port"
start objects standin objects --listen "127.0.0.1:$((port + 1))"
entry=127.0.0.1:$next_port
node souq-catalogue catalogue-a amman-hall-a 4 souq-stock
operator=127.0.0.1:$((port + 13))
node souq-catalogue catalogue-b amman-hall-b 4 souq-stock
node souq-stock stock-a amman-hall-a 3 souq-ledger
node souq-stock stock-b amman-hall-b 3 souq-ledger
node souq-orders orders-a amman-hall-a 5 souq-stock
node souq-ledger ledger-a amman-hall-a 2

fetch_page() {
    "$program" standin fetch --url "http://$entry/souq-catalogue/pages/1" --depth 3
}

# Reads an order, through the same services as its confirmation.
fetch_order() {
    "$program" standin fetch --url "http://$entry/souq-orders/orders/7" --depth 3
}

# Fails unless each node reaches the service that its target calls.
fetch_called() {
    local url
    for url in "${called_urls[@]}"; do
        "$program" standin fetch --url "$url" || return 1
    done
}

echo "Waiting until ${#pids[@]} processes are ready .."
tenths=0
# Nodes discover each other one by one, and a page or an order takes one of several ways, so that an
# answer does not show that the next request is answered. If the target of the orders cannot make its
# calls yet, a confirmation fails after it has run.
until { fetch_called && fetch_page && fetch_order; } >"$work/fetch.log" 2>&1; do
    check_running
    tenths=$((tenths + 1))
    if [ "$tenths" -ge "$START_TENTHS" ]; then
        echo "no complete answer within $((START_TENTHS / 10)) s:" >&2
        cat "$work/fetch.log" >&2
        exit 1
    fi
    sleep 0.1
done

echo
echo "A catalogue page, through three services:"
fetch_page
echo
echo "An order confirmation, which runs at most once:"
confirm_order() {
    "$program" standin fetch --url "http://$entry/souq-orders/orders/7/confirm" --depth 3 \
        --method POST --body '{"order":7}'
}
# The entry node may have discovered the nodes of the pages before those of the orders. A confirmation
# that was not run may be retried; any other verdict is final.
tenths=0
until confirm_order >"$work/confirm.log" 2>&1; do
    check_running
    tenths=$((tenths + 1))
    if [ "$tenths" -ge "$START_TENTHS" ] || ! grep -q 'verdict "not-run' "$work/confirm.log"; then
        cat "$work/confirm.log" >&2
        exit 1
    fi
    sleep 0.1
done
cat "$work/confirm.log"
check_running

if [ "$once" = true ]; then
    stop
fi
cat <<TEXT

The site is running. To try it by hand:
  curl -i http://$entry/souq-catalogue/pages/1
  curl -i -X POST -H 'aspenspring-deadline-ms: 1000' -d '{"order":8}' http://$entry/souq-orders/orders/8/confirm
  curl -s -H "Authorization: Bearer \$(cat $work/operator-key)" http://$operator/metrics
Settings and logs of the processes are in $work.
Ctrl-C stops all ${#pids[@]} processes.
TEXT
while true; do
    check_running
    sleep 0.5
done
