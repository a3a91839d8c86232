#!/usr/bin/env bash
# Runs all tests of a build. Tests named in KNOWN-RED.txt run too: their result is printed and does
# not decide the verdict.
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
    echo "known red, run without deciding the verdict:"
    cat KNOWN-RED.txt
    ctest --test-dir "$build" --output-on-failure -R "$pattern" || true
    exclude=(-E "$pattern")
fi
ctest --test-dir "$build" --output-on-failure -j "$(nproc)" "${exclude[@]}"
