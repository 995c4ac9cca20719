#!/usr/bin/env bash
# Compares the policy arms on a site of real processes on loopback, four services deep.
#
# usage: scripts/experiment.sh [--out DIR] [--repeats N] [--runs "surge stall ..."] [--port N] [--bench]
#   --out      directory for records, metrics, figures and plots (default experiment-out)
#   --repeats  how often each run is repeated (default 5)
#   --runs     any of surge stall storm straggler both (default all)
#   --port     first port of the range to use (default 23000)
#   --bench    instead measures the latency that two nodes add to a call, and their throughput
#
# Every service has two nodes with one target each. All arms run at the same time with equal shares,
# each with its own slots on every target, so that they share only processor time. The deepest service
# is the bottleneck: 2 targets with 5 slots per arm and 125 ms per call, which is 80 calls per second
# for each arm. One call in 20 is a confirmation, so at 10x the confirmations alone take half of the
# capacity. All processes are started and stopped by this script.
set -euo pipefail
cd "$(dirname "$0")/.."

out=experiment-out
repeats=5
runs="surge stall storm straggler both"
port=23000
bench=false
while [ $# -gt 0 ]; do
    case $1 in
        --out) out=$2; shift ;;
        --repeats) repeats=$2; shift ;;
        --runs) runs=$2; shift ;;
        --port) port=$2; shift ;;
        --bench) bench=true ;;
        *) sed -n '2,15s/^# \{0,1\}//p' "$0" >&2; exit 2 ;;
    esac
    shift
done

readonly START_TENTHS=300
readonly PORTS_PER_NODE=10
readonly ARMS="none naive static gradient threshold"
readonly ARM_COUNT=5
# The slots of each arm on a target of the deepest service, and of the services that call it.
readonly LEDGER_SLOTS=5
readonly UPPER_SLOTS=32
readonly LEDGER_MS=125
readonly UPPER_MS=5
# Calls per second that the deepest service can complete, for all arms together.
readonly CAPACITY=$((2 * LEDGER_SLOTS * 1000 / LEDGER_MS * ARM_COUNT))
readonly DEADLINE_MS=1000

scripts/setup.sh
cargo build --release --locked --quiet
program=${CARGO_TARGET_DIR:-target}/release/aspenspring
mkdir -p "$out"

work=$(mktemp -d)
pids=()
names=()
operators=()

# Stops all started processes in reverse order and waits for them.
finish() {
    trap '' INT TERM
    local i
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        kill -TERM "${pids[i]}" 2>/dev/null || true
    done
    for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
        wait "${pids[i]}" || true
    done
    pids=()
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 1' INT TERM

# start NAME ARGUMENTS..: runs the program in the background and records its process ID.
start() {
    local name=$1
    shift
    "$program" "$@" >"$work/$name.log" 2>&1 &
    pids+=($!)
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

# lanes SLOTS: prints a list that gives each arm this number of slots, such as none=5,naive=5.
lanes() {
    local arm list=
    for arm in $ARMS; do
        list="$list,$arm=$1"
    done
    echo "${list#,}"
}

# node SERVICE NAME DOMAIN SLOTS SERVICE_MS [CALLS]: starts a node and its target. SLOTS is a
# number, or a list from `lanes`.
next_port=$((port + 10))
node() {
    local service=$1 name=$2 domain=$3 slots=$4 service_ms=$5 calls=${6:-}
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
    local own_slots=(--slots "$slots")
    [[ $slots == *=* ]] && own_slots=(--slots 0 --lane-slots "$slots")
    operators+=("$name=127.0.0.1:$((at + 3))")
    start "node-$name" node --settings "$base" --settings "$work/site.json" \
        --settings "$work/$name.json"
    start "target-$name" standin target --service "$service" --name "$name" \
        --listen "127.0.0.1:$((at + 4))" --node "127.0.0.1:$((at + 1))" \
        "${own_slots[@]}" \
        --service-ms "$service_ms" --seed "$at" --calls "$calls"
}

# scrape DIR SUFFIX: saves the metrics of every node.
scrape() {
    local entry
    for entry in "${operators[@]}"; do
        curl -sf -H "authorization: Bearer $ASPENSPRING_OPERATOR_KEY" \
            "http://${entry#*=}/metrics" >"$1/${entry%%=*}.$2"
    done
}

# wait_whole URL DEPTH: waits until a call gets a complete answer.
wait_whole() {
    local tenths=0
    until "$program" standin fetch --url "$1" --depth "$2" >"$work/fetch.log" 2>&1; do
        check_running
        tenths=$((tenths + 1))
        if [ "$tenths" -ge "$START_TENTHS" ]; then
            echo "no complete answer within $((START_TENTHS / 10)) s:" >&2
            cat "$work/fetch.log" >&2
            exit 1
        fi
        sleep 0.1
    done
}

# processes FILE: saves the processor time in ticks and the resident memory in kB of every process.
processes() {
    local i stat rss
    for i in "${!pids[@]}"; do
        read -r -a stat <"/proc/${pids[i]}/stat"
        rss=$(sed -n 's/^VmRSS:[^0-9]*\([0-9]*\).*/\1/p' "/proc/${pids[i]}/status")
        echo "${names[i]} $((stat[13] + stat[14])) $rss"
    done >"$1"
}

# Prints the load average of the last minute.
load_average() {
    cut -d' ' -f1 /proc/loadavg
}

# load NAME SEED ARGUMENTS..: makes one run, and saves the metrics of the nodes before and after it.
load() {
    local dir=$out/$1 seed=$2
    shift 2
    mkdir -p "$dir"
    scrape "$dir" prom.before
    processes "$dir/processes.before"
    local before
    before=$(load_average)
    "$program" standin load --node "http://$entry_a" --node "http://$entry_b" \
        --call 'browse 19 GET /shop-front/pages/{n}' \
        --call 'confirm 1 POST /shop-front/orders/{n}/confirm' \
        --capacity "$CAPACITY" --deadline-ms "$DEADLINE_MS" --depth 4 --seed "$seed" \
        --out "$dir/records.jsonl" "$@" >"$dir/summary.txt" 2>"$dir/orders.txt"
    check_running
    processes "$dir/processes"
    scrape "$dir" prom
    echo "$dir: load average $before before, $(load_average) after" | tee "$dir/load-average.txt"
    # The deadlines of all calls left over from the overload pass in this time.
    sleep 3
}

sed "s/:23000/:$port/; s/:23001/:$((port + 1))/" scripts/experiment/site.json >"$work/site.json"
ASPENSPRING_OPERATOR_KEY=$(od -An -N16 -tx1 /dev/urandom | tr -d ' \n')
export ASPENSPRING_OPERATOR_KEY

start table standin table --listen "127.0.0.1:$port"
start objects standin objects --listen "127.0.0.1:$((port + 1))"

if [ "$bench" = true ]; then
    base=scripts/experiment/bench.json
    entry_a=127.0.0.1:$next_port
    node bench-front front hall-a 1024 0
    five=http://127.0.0.1:$((next_port + 4))
    node bench-five five hall-a 1024 5
    zero=http://127.0.0.1:$((next_port + 4))
    node bench-zero zero hall-a 1024 0
    for service in five zero; do
        wait_whole "http://$entry_a/bench-$service/pages/1" 1
    done
    # New targets get less than their share of the calls for 5 s.
    sleep 6
    for service in five zero; do
        processes "$out/bench-$service.processes.before"
        {
            echo "load average $(load_average)"
            "$program" standin bench --node "http://$entry_a" --target "${!service}" \
                --path "/bench-$service/pages/1" --concurrent 1 --concurrent 64 --concurrent 512 \
                --round-ms 1000
            echo "load average $(load_average)"
        } | tee "$out/bench-$service.txt"
        processes "$out/bench-$service.processes"
    done
    check_running
    exit 0
fi

base=scripts/experiment/base.json
entry_a=127.0.0.1:$next_port
node shop-front front-a hall-a "$(lanes $UPPER_SLOTS)" $UPPER_MS shop-stock
entry_b=127.0.0.1:$next_port
node shop-front front-b hall-b "$(lanes $UPPER_SLOTS)" $UPPER_MS shop-stock
node shop-stock stock-a hall-a "$(lanes $UPPER_SLOTS)" $UPPER_MS shop-price
node shop-stock stock-b hall-b "$(lanes $UPPER_SLOTS)" $UPPER_MS shop-price
node shop-price price-a hall-a "$(lanes $UPPER_SLOTS)" $UPPER_MS shop-ledger
node shop-price price-b hall-b "$(lanes $UPPER_SLOTS)" $UPPER_MS shop-ledger
ledger_a=http://127.0.0.1:$((next_port + 4))
node shop-ledger ledger-a hall-a "$(lanes $LEDGER_SLOTS)" $LEDGER_MS
ledger_b=http://127.0.0.1:$((next_port + 4))
node shop-ledger ledger-b hall-b "$(lanes $LEDGER_SLOTS)" $LEDGER_MS

wait_whole "http://$entry_a/shop-front/pages/1" 4
wait_whole "http://$entry_b/shop-front/pages/1" 4

stall='{"mode":"stall","for_ms":2000}'
# New targets get less than their share of the calls for 5 s.
load warm-up 99 --phase 0.5x:7s
for ((repeat = 1; repeat <= repeats; repeat++)); do
    for run in $runs; do
        case $run in
            surge)
                load "surge-$repeat" "$repeat" --phase 0.5x:5s --phase 2x:5s --phase 10x:3s \
                    --phase 0.5x:6s --trigger 5s..13s ;;
            stall)
                load "stall-$repeat" "$repeat" --phase 0.5x:12s --trigger 4s..6s \
                    --at "4s $ledger_a/_aspenspring/fault $stall" \
                    --at "4s $ledger_b/_aspenspring/fault $stall" ;;
            storm)
                load "storm-$repeat" "$repeat" --phase 0.5x:4s --phase 2x:3s --phase 0.5x:6s \
                    --trigger 4s..7s --retries 3 ;;
            straggler)
                load "straggler-$repeat" "$repeat" --phase 0.4x:12s --trigger 4s..8s \
                    --at "4s $ledger_a/_aspenspring/fault {\"mode\":\"slow\",\"factor\":10,\"for_ms\":4000}" ;;
            both)
                load "both-$repeat" "$repeat" --phase 0.5x:4s --phase 2x:3s --phase 0.5x:6s \
                    --trigger 4s..7s --retries 3 \
                    --at "4s $ledger_a/_aspenspring/fault $stall" \
                    --at "4s $ledger_b/_aspenspring/fault $stall" ;;
            *) echo "unknown run: $run" >&2; exit 2 ;;
        esac
    done
done

# compare_runs FILE RUN ARGUMENTS..: saves the figures of all repeats of a run.
compare_runs() {
    local file=$1 run=$2 dirs=() repeat
    shift 2
    for ((repeat = 1; repeat <= repeats; repeat++)); do
        dirs+=(--run "$out/$run-$repeat")
    done
    "$program" compare "${dirs[@]}" "$@" >"$out/$file.txt"
}

for run in $runs; do
    case $run in
        surge)
            compare_runs surge surge --trigger 5s..13s --plot "$out/surge.svg"
            compare_runs surge-2x surge --during 6s..10s
            compare_runs surge-10x surge --during 11s..13s ;;
        stall) compare_runs stall stall --trigger 4s..6s --plot "$out/stall.svg" ;;
        straggler) compare_runs straggler straggler --trigger 4s..8s --plot "$out/straggler.svg" ;;
        storm) compare_runs storm storm --trigger 4s..7s --plot "$out/storm.svg" ;;
        both) compare_runs both both --trigger 4s..7s --plot "$out/both.svg" ;;
    esac
done
echo "The figures are in $out."
