#!/usr/bin/env bash
# Four clients upload large bodies to one node at the same time.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
# Needs the build of the deploy file and review/build-2.sh. Writes record.txt beside itself.
exec "$(dirname "$0")/../standin-2/run.sh" memory "$(dirname "$0")"
