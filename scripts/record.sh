#!/usr/bin/env bash
# Builds the project, runs part of a site on loopback and records the input events of one node.
#
# usage: scripts/record.sh [--debug] [--port N] SITE CASE OUT
#   --debug  build without optimisation
#   --port   first port of the range to use (default 24000)
#   SITE     jordan or donauwelle
#   CASE     healthy, stalled, killed, table, overload, or below (overload of the lower service)
#   OUT      file to create for the trace; replay it with 'aspenspring replay OUT'
#
# The targets get only a few slots, so that a short trace shows overload.
set -euo pipefail
cd "$(dirname "$0")/.."

profile=release
port=24000
while [ $# -gt 3 ]; do
    case $1 in
        --debug) profile=debug ;;
        --port) port=$2; shift ;;
        *) break ;;
    esac
    shift
done
if [ $# != 3 ]; then
    sed -n '2,11s/^# \{0,1\}//p' "$0" >&2
    exit 2
fi
site=$1 case=$2 out=$3
case $site in
    jordan) upper=souq-orders lower=souq-stock path=orders ;;
    donauwelle) upper=hilfebuchung lower=routenkarte path=buchungen ;;
    *) echo "unknown site: $site" >&2; exit 2 ;;
esac
# Calls per second and the length of the load, then the mean service time of the targets of the upper
# and the lower service, in milliseconds.
rate=12 time=4s upper_ms=5 lower_ms=3
upper_slots=2 keys=() orders=()
case $case in
    healthy | stalled) ;;
    killed) lower_ms=100 ;;
    table) keys=(own) ;;
    overload) rate=120 time=1200ms upper_ms=40 lower_ms=30 ;;
    below) rate=60 time=1500ms upper_ms=2 lower_ms=60 upper_slots=16 ;;
    *) echo "unknown case: $case" >&2; exit 2 ;;
esac

# The time within which the site must be ready, in tenths of a second.
readonly START_TENTHS=300
# The ports reserved for each node, from the first: its caller, target, peer and operator listeners,
# then the listener of the target.
readonly PORTS_PER_NODE=10

if [ "$profile" = release ]; then
    cargo build --release --locked --quiet
else
    cargo build --locked --quiet
fi
program=${CARGO_TARGET_DIR:-target}/$profile/aspenspring

work=$(mktemp -d)
pids=()
names=()

# Stops all started processes in reverse order and waits for each; fails if one exits with an error.
finish() {
    trap '' INT TERM
    local i status failed=0
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill -TERM "${pids[i]}" 2>/dev/null || true
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
trap 'exit 1' INT TERM

# start NAME ARGUMENTS..: runs the program in the background and records its process ID.
start() {
    local name=$1
    shift
    "$program" "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
    names+=("$name")
}

# kill_now NAME: kills a process with SIGKILL.
kill_now() {
    local i
    for i in "${!names[@]}"; do
        [ "${names[i]}" = "$1" ] || continue
        kill -KILL "${pids[i]}"
        wait "${pids[i]}" || true
        unset "pids[i]" "names[i]"
        pids=("${pids[@]}")
        names=("${names[@]}")
        return
    done
}

# node SERVICE NAME PORT SERVICE_MS SLOTS CALLS ARGUMENTS..: starts a node and its target.
node() {
    local service=$1 name=$2 at=$3 service_ms=$4 slots=$5 calls=$6
    shift 6
    cat >"$work/$name.json" <<JSON
{
  "node": {
    "name": "$name",
    "failure_domain": "hall-a",
    "service": "$service",
    "caller_listen": "127.0.0.1:$at",
    "target_listen": "127.0.0.1:$((at + 1))",
    "peer_listen": "127.0.0.1:$((at + 2))",
    "operator_listen": "127.0.0.1:$((at + 3))",
    "leave_ms": 500
  }
}
JSON
    start "node-$name" node --settings examples/sites/base.json \
        --settings "examples/sites/$site.json" --settings "$work/site.json" \
        --settings "$work/$name.json" "$@"
    start "target-$name" standin target --service "$service" --name "$name" --slots "$slots" \
        --listen "127.0.0.1:$((at + 4))" --node "127.0.0.1:$((at + 1))" \
        --service-ms "$service_ms" --seed "$at" --calls "$calls"
}

# wait_for PORT SERVICE DEPTH: waits until a call through the node gets a complete answer.
wait_for() {
    local tenths=0
    until "$program" standin fetch --url "http://127.0.0.1:$1/$2/ready" --depth "$3" \
        >"$work/fetch.log" 2>&1; do
        tenths=$((tenths + 5))
        if [ "$tenths" -ge "$START_TENTHS" ]; then
            echo "no complete answer within $((START_TENTHS / 10)) s:" >&2
            cat "$work/fetch.log" >&2
            exit 1
        fi
        sleep 0.5
    done
}

cat >"$work/site.json" <<JSON
{
  "platform": {
    "table_url": "http://127.0.0.1:$port",
    "objects_url": "http://127.0.0.1:$((port + 1))"
  },
  "node": {"seeds": []},
  "rules": {
    "services": [
      {"name": "$upper", "targets": 1, "slots": $upper_slots},
      {"name": "$lower", "targets": 2, "slots": 2}
    ]
  }
}
JSON
ASPENSPRING_OPERATOR_KEY=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
export ASPENSPRING_OPERATOR_KEY

record_upper=(--record "$out") record_lower=()
if [ "$case" = below ]; then
    record_upper=() record_lower=(--record "$out")
fi
top=$((port + 10)) left=$((port + 20)) right=$((port + 30))
start table standin table --listen "127.0.0.1:$port"
node "$lower" lower-a "$left" "$lower_ms" 2 "" "${record_lower[@]}"
node "$lower" lower-b "$right" "$lower_ms" 2 ""
wait_for "$left" "$lower" 1
wait_for "$right" "$lower" 1
node "$upper" upper "$top" "$upper_ms" "$upper_slots" "$lower" "${record_upper[@]}"
wait_for "$top" "$upper" 2

if [ "$case" = stalled ]; then
    fault="http://127.0.0.1:$((top + 4))/_aspenspring/fault"
    orders=(--at "1s $fault {\"mode\":\"stall\",\"for_ms\":1500}")
fi
"$program" standin load --node "http://127.0.0.1:$top" --phase "$rate:$time" \
    --call "commit 70 POST /$upper/$path/{n} ${keys[*]}" \
    --call "status 30 GET /$upper/$path/{n}" --deadline-ms 1000 "${orders[@]}" \
    >"$work/load.log" 2>&1 &
load=$!
case $case in
    killed) sleep 1.5; kill_now node-lower-b ;;
    table) sleep 1; kill_now table ;;
esac
wait "$load" || { cat "$work/load.log" >&2; exit 1; }
cat "$work/load.log"
trap - EXIT
finish
"$program" replay "$out"
