#!/usr/bin/env bash
# run_case.sh N FILE: runs the case of review/N after the build of the deploy file and review/build.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. The daemons end with
# the program that starts them.
set -uo pipefail
cd "$(dirname "$0")/.."
if [ ! -x target/bamboograde_sidecar ] || [ ! -x "review/bin/case-$1" ]; then
  echo "build the deploy file and review/build.sh first" >&2
  exit 2
fi
REVIEW_RECORD="review/$1/$2" timeout -k 1 118 "review/bin/case-$1"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
