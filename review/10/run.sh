#!/usr/bin/env bash
# Plays the case once. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
folder=$PWD
root=$(cd ../.. && pwd)
program="$root/target/review-2/case-$(basename "$folder")"
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 2 115 "$program" "$root" "$temporary" "$folder/record.txt"
case $? in
0) exit 0 ;;
1) exit 1 ;;
*) exit 2 ;;
esac
