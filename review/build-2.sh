#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with their stand-ins, from the standard library
# alone. The gateways are those of the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/{6,7,8,9,10}; do
    if [ -f "$case/case.rs" ]; then
        rustc --edition 2024 -C opt-level=2 -o "target/review-2/case-$(basename "$case")" "$case/case.rs"
    fi
done
