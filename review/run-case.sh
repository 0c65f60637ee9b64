#!/usr/bin/env bash
# Runs a case by its number. Exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case couldn't run. The case writes what it saw to record.txt in its folder.
set -u
cd "$(dirname "$0")/.."
number=$1
export RECORD="review/$number/record.txt"
PIDS=$(mktemp)
export PIDS
timeout 118 "target/review/case$number"
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
