#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 11 to 15 start. Needs the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/stand review/stand-ins-3/stand.rs
