#!/bin/bash
# Two streams of one session go on at other hosts after theirs was killed; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
target/review/standin handover review/1
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
