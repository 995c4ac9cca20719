#!/usr/bin/env bash
# Exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Needs the build of the deploy file and review/build.sh.
exec "$(dirname "$0")/../standin/run.sh" forgotten-leave "$(dirname "$0")"
