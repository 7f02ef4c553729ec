#!/bin/sh
# A backend leaves while one node is cut off. TROUBLE=0 leaves the cut
# out. Exit: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hickorylift ] && [ -x review/build/cut_node ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
folder=$(mktemp -d) || exit 2
timeout -k 5 110 review/build/cut_node review/1 "$folder"
code=$?
rm -rf "$folder"
[ "$code" -le 2 ] || code=2
exit "$code"
