#!/usr/bin/env bash
# usage: review/standin/run.sh CASE FOLDER
# Runs a case of the review and ends every process that it started. Exits with 0 if the rule held,
# 1 if it was broken, and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/aspenspring target/review/standin; do
    if [ ! -x "$program" ]; then
        echo "$program is missing; see review/REPORT.md" >&2
        exit 2
    fi
done
node_program=$(readlink -f target/release/aspenspring)
work=$(mktemp -d) || exit 2
driver=

finish() {
    if [ -n "$driver" ]; then
        kill "$driver" 2>/dev/null
        wait "$driver" 2>/dev/null
    fi
    # Nodes that the driver has not ended. A number may belong to another process by now.
    if [ -f "$work/pids" ]; then
        while read -r pid; do
            if [ "$(readlink -f "/proc/$pid/exe" 2>/dev/null)" = "$node_program" ]; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done <"$work/pids"
    fi
    rm -rf "$work"
}
trap finish EXIT
trap 'exit 2' INT TERM

target/review/standin "$name" "$folder/record.txt" "$work" &
driver=$!
wait "$driver"
status=$?
driver=
case $status in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
