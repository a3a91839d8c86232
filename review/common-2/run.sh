#!/bin/sh
# Runs the check of the case whose folder is given; see the case's claim.txt. Exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case couldn't run.
root="$(cd "$(dirname "$0")/../.." && pwd)"
case="$1"
check="$root/target/review-2/check-$case"
daemon="$root/target/gypsumdaled"
[ -x "$check" ] && [ -x "$daemon" ] || exit 2
folder="$(mktemp -d)" || exit 2
timeout -k 2 110 "$check" "$daemon" "$folder" "$root/review/$case/record.txt"
result=$?
rm -rf "$folder"
[ "$result" -le 1 ] || exit 2
exit "$result"
