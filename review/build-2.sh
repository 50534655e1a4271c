#!/usr/bin/env bash
# Builds the stand-ins of the cases of this review into target/review-2/. Needs a C++ compiler and
# the header of nlohmann-json, which the build of the deploy file needs as well.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/*.cc; do
  name=$(basename "$source" .cc)
  echo "g++ $name"
  "${CXX:-g++}" -std=c++20 -O1 -pthread -o "target/review-2/$name" "$source"
done
