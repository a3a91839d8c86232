#!/usr/bin/env bash
# Runs clang-tidy on the sources of the programs and libraries, several files in parallel.
# Usage: lint.sh BUILD_FOLDER
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=$(( ($(nproc) * 3 + 3) / 4 ))
git ls-files 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'bench/*.cpp' \
    | xargs -P "$jobs" -n 1 clang-tidy -p "$1" --quiet
