#!/usr/bin/env bash
# Runs one trouble of case.rs with real processes on the real clock, after the build of
# deploy/system.toml. Exits with 1 if a stream broke ORDER, 0 if none did, and 2 if the case
# couldn't run. What it saw is in target/order/TROUBLE.txt.
set -u
cd "$(dirname "$0")/../.."
trouble=${1:?usage: run.sh in-place|idle|unframed|frozen|restart|none}
mkdir -p target/order
rustc --edition 2024 -O -o "target/order/case-$trouble" scripts/order/case.rs || exit 2
PIDS=$(mktemp)
export PIDS RECORD="target/order/$trouble.txt"
timeout 118 "target/order/case-$trouble" "$trouble"
result=$?
# After an early end, gateways may be left.
while read -r pid; do
    command_line="/proc/$pid/cmdline"
    if [ -r "$command_line" ] && tr '\0' ' ' < "$command_line" | grep -q 'cicadacrankd gateway'; then
        kill -s KILL "$pid"
    fi
done < "$PIDS"
rm -f "$PIDS"
case $result in
    0 | 1) exit "$result" ;;
    *) exit 2 ;;
esac
