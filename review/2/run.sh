#!/bin/sh
# A node is stopped while a caller reads its answers slowly. TROUBLE=0 leaves the
# stop out. Exit: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hickorylift ] && [ -x review/build/slow_reader ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
folder=$(mktemp -d) || exit 2
timeout -k 5 100 review/build/slow_reader review/2 "$folder"
code=$?
rm -rf "$folder"
[ "$code" -le 2 ] || code=2
exit "$code"
