#!/usr/bin/env bash
# The time of day jumps back while a backend restarts under its id; the backend leaves later.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
# Needs the build of the deploy file and review/build-2.sh. Writes record.txt beside itself.
cd "$(dirname "$0")/../.." || exit 2
program=review/standin-2/target/release/standin-2
if [ ! -x target/release/aspenspring ] || [ ! -x "$program" ]; then
    echo "build first: cargo build --release, review/build-2.sh" >&2
    exit 2
fi
"$program" clock-back review/8
code=$?
# Only 0 and 1 are results.
[ "$code" -le 1 ] || exit 2
exit "$code"
