#!/bin/sh
# A version allows more attempts than usual. TROUBLE=0 keeps to ten. Exit: 0 the
# rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hickorylift ] && [ -x review/build/many_attempts ] || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
folder=$(mktemp -d) || exit 2
timeout -k 5 100 review/build/many_attempts review/3 "$folder"
code=$?
rm -rf "$folder"
[ "$code" -le 2 ] || code=2
exit "$code"
