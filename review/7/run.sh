#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hickorylift ] && [ -x review/build/pipelined_stop ] || exit 2
TROUBLE="${TROUBLE:-1}" PROJECT_ROOT="$PWD" exec review/build/pipelined_stop 7
