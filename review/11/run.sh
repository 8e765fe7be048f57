#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
here=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review-3/stand-in-$(basename "$here")"
[ -x "$program" ] && [ -x "$root/target/release/bilberrypost" ] || { echo "build first"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
"$program" "$root" "$folder" "$here/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
