#!/bin/bash
# Runs the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 it does the same without the configurations that remove a route, and must pass.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/gypsumdaled ] && [ -x review/build/case-1 ] || { echo "build first: target/ and review/build.sh"; exit 2; }
export TROUBLE=${TROUBLE:-1}
timeout -k 2 115 review/build/case-1 "$here"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
