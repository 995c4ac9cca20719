#!/usr/bin/env bash
# usage: review/standin-2/run.sh CASE FOLDER
# Runs a case of the second review and ends every process that it started. Writes record.txt into FOLDER. Exits with 1
# if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
# Needs the build of the deploy file and review/build-2.sh.
set -u
name=$1
folder=$(cd "$2" && pwd) || exit 2
cd "$(dirname "$0")/../.." || exit 2
program=review/standin-2/target/release/standin-2
for needed in target/release/aspenspring "$program"; do
    if [ ! -x "$needed" ]; then
        echo "$needed is missing: cargo build --release, review/build-2.sh" >&2
        exit 2
    fi
done
node_program=$(readlink -f target/release/aspenspring)
work=$(mktemp -d) || exit 2
driver=

finish() {
    if [ -n "$driver" ]; then
        kill -KILL "$driver" 2>/dev/null
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
trap 'exit 2' TERM INT HUP

"$program" "$name" "$folder" "$work" &
driver=$!
wait "$driver"
code=$?
driver=
# Only 0 and 1 are results.
[ "$code" -le 1 ] || exit 2
exit "$code"
