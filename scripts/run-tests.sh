#!/usr/bin/env bash
# Runs all tests of a build. Tests listed in KNOWN-RED.txt run as well; their results are printed but
# do not affect the exit status.
# Usage: run-tests.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
build=$1
known=()
if [ -f KNOWN-RED.txt ]; then
    mapfile -t known < <(cut -d: -f1 KNOWN-RED.txt | sed '/^\s*$/d')
fi
exclude=()
if [ "${#known[@]}" -gt 0 ]; then
    pattern="^($(IFS='|'; echo "${known[*]}"))\$"
    echo "known failing tests, which do not affect the exit status:"
    cat KNOWN-RED.txt
    ctest --test-dir "$build" --output-on-failure -R "$pattern" || true
    exclude=(-E "$pattern")
fi
ctest --test-dir "$build" --output-on-failure -j "$(nproc)" "${exclude[@]}"
