#!/usr/bin/env bash
# Plays the case; see claim.txt. TROUBLE=0 leaves out the disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/anvilcroft ] && [ -x review/out/2/cases ] || exit 2
folder="$(mktemp -d)" || exit 2
review/out/2/cases frozen-submission target/anvilcroft "$folder" "$here/record.txt"
code=$?
rm -rf "$folder"
exit "$code"
