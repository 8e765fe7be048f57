#!/bin/sh
# Builds the stand-ins of the scripts of the second review.
set -eu
root=$(CDPATH= cd -- "$(dirname -- "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
rustc --edition 2024 -O -o "$root/target/review-2/standin" "$root/review/standin-2/main.rs"
