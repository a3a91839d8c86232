#!/usr/bin/env bash
# Installs the Debian packages that gypsumdale is built with. Does nothing if all are installed.
set -euo pipefail
packages=(
    build-essential ca-certificates ccache clang-format clang-tidy cmake curl git ninja-build
    pkg-config
    libboost1.81-dev libboost-fiber1.81-dev libboost-context1.81-dev libboost-url1.81-dev
    libthrift-dev libcxxopts-dev libfmt-dev libyaml-cpp-dev libssl-dev libxxhash-dev libpcg-cpp-dev
    nlohmann-json3-dev catch2 librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
    exit 0
fi
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
"${sudo[@]}" apt-get update -qq
DEBIAN_FRONTEND=noninteractive "${sudo[@]}" apt-get install -y -qq "${missing[@]}"
