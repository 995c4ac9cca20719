#!/usr/bin/env bash
# A request waits for a slot at a busy backend of another machine while the node that took it gets SIGTERM.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
# Needs the build of the deploy file and review/build-2.sh. Writes record.txt beside itself.
cd "$(dirname "$0")/../.." || exit 2
program=review/standin-2/target/release/standin-2
if [ ! -x target/release/aspenspring ] || [ ! -x "$program" ]; then
    echo "build first: cargo build --release, review/build-2.sh" >&2
    exit 2
fi
"$program" queued review/7
code=$?
# Only 0 and 1 are results.
[ "$code" -le 1 ] || exit 2
exit "$code"
