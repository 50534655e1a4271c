#!/usr/bin/env bash
# Installs the packages for building and testing that are missing.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config ccache clang-format clang-tidy curl
  libglib2.0-dev libsoup-3.0-dev libabsl-dev libspdlog-dev libboost-dev libcriterion-dev
  libyaml-cpp-dev nlohmann-json3-dev libxxhash-dev libcsv-dev)
missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  apt-get install -y -qq "${missing[@]}" >/dev/null
fi
