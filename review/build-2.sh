#!/bin/sh
# Builds what the scripts of the second review start, beside the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/6 review/7 review/8 review/9 review/10; do
    [ -f "$case/check.cpp" ] || continue
    g++ -std=c++20 -O1 -pthread "$case/check.cpp" -o "target/review-2/check-$(basename "$case")"
done
