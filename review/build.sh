#!/usr/bin/env bash
# Builds the stand-ins and the cases into review/bin/. Needs g++ and nlohmann-json, as the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in */case.cc; do
  number="${source%/case.cc}"
  g++ -std=c++20 -O1 -Wall "$source" standins/fleet.cc -o "bin/case-$number" -lpthread
done
