#!/usr/bin/env bash
# All nodes are killed and start again while the store is slow and one tenant sends many times its usual.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
# Needs the build of the deploy file and review/build-2.sh. Writes record.txt beside itself.
exec "$(dirname "$0")/../standin-2/run.sh" quota-restart "$(dirname "$0")"
