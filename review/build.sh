#!/bin/bash
# Builds the stand-ins of the cases into review/build/. Needs a C++20 compiler and nlohmann-json,
# both of which the deploy file's build needs too.
set -e
cd "$(dirname "$0")"
mkdir -p build
for driver in */driver.cpp; do
    name=$(dirname "$driver")
    g++ -std=c++20 -O1 -g -pthread -Wall -Wextra -o "build/case-$name" "$driver" &
done
wait
