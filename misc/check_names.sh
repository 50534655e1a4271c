#!/usr/bin/env bash
# Checks that names of the platform's interfaces occur only in platform/, not in src/.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Bamboograde-(Request-Id|Deadline-Ms|Shard-Key|Target-Instance|Caller-Service|Not-Executed|Server-Stamp)|Store-Era|rows-(tx|get|feed|parts)|/v1/instances|callSeq|coldLeftMs|targetLatencyMs|weightedServices|BAMBOOGRADE_NODE_FILE'
if git grep -nE "$names" -- src; then
  echo "the lines above spell names of the platform outside platform/" >&2
  exit 1
fi
